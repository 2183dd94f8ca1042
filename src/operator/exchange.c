#include "operator/exchange.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "operator/command.h"
#include "os/clock.h"

struct arg_str *exchange_author_option(void)
{
	return arg_str0("a", "author", "NAME",
			"whose draft; else $GERANIUMPLANK_AUTHOR, else $USER");
}

const char *exchange_author(const struct arg_str *option)
{
	const char *author = getenv("GERANIUMPLANK_AUTHOR");

	if (option->count)
		return option->sval[0];
	if (!author || !*author)
		author = getenv("USER");
	return author && *author ? author : "operator";
}

bool exchange_path(const struct arguments *arguments,
		   char path[EXCHANGE_PATH_SIZE], const char *name,
		   const char *suffix, const char *author)
{
	size_t used;
	bool fits;

	snprintf(path, EXCHANGE_PATH_SIZE, "/v1/profiles/");
	fits = *name && remote_append_segment(path, EXCHANGE_PATH_SIZE, name);
	used = strlen(path);
	snprintf(path + used, EXCHANGE_PATH_SIZE - used, "%s%s", suffix,
		 author ? "?author=" : "");
	if (fits && author)
		fits = remote_append_segment(path, EXCHANGE_PATH_SIZE, author);
	if (!fits)
		arguments_usage(arguments, "NAME or --author is empty or too "
					   "long");
	return fits;
}

int exchange_run(const struct arguments *arguments,
		 const struct remote_request *request, exchange_print_fn *print)
{
	struct error err = ERROR_INIT;
	struct remote_answer answer;
	struct remote remote;
	int status;

	if (!remote_init(&remote, arguments, &err))
		return arguments_usage(arguments, "%s", err.text);
	if (!remote_call(&remote, request, &answer)) {
		status = remote_report(&remote, arguments, &answer);
	} else {
		status = answer.status;
		if (arguments->json->count)
			remote_print_json(answer.json);
		else
			print(answer.json);
	}
	remote_answer_finish(&answer);
	remote_finish(&remote);
	return status;
}

const char *exchange_text(const json_t *json, const char *name)
{
	const char *text = json_string_value(json_object_get(json, name));

	return text ? text : "";
}

long long exchange_number(const json_t *json, const char *name)
{
	return json_integer_value(json_object_get(json, name));
}

char *exchange_date(long long wall_ms, char text[32])
{
	time_t seconds = (time_t)(wall_ms / MS_PER_S);
	struct tm parts;

	text[0] = '\0';
	if (gmtime_r(&seconds, &parts))
		strftime(text, 32, "%Y-%m-%d %H:%M:%SZ", &parts);
	return text;
}
