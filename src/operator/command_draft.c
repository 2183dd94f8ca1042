#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "operator/command.h"
#include "operator/command_profile.h"
#include "operator/exchange.h"
#include "profile/profile.h"

static void print_stored(const json_t *json)
{
	puts("draft stored; look at it with profile diff, then profile accept");
}

static void print_dropped(const json_t *json)
{
	puts("draft dropped");
}

static char *read_input(const char *path, size_t *size)
{
	FILE *file = !strcmp(path, "-") ? stdin : fopen(path, "re");
	char *text = malloc(PROFILE_TEXT_MAX + 1);
	bool failed;

	if (!text)
		abort();
	if (!file) {
		free(text);
		return NULL;
	}
	*size = fread(text, 1, PROFILE_TEXT_MAX + 1, file);
	failed = ferror(file) != 0;
	if (file != stdin)
		(void)fclose(file);
	if (!failed)
		return text;
	free(text);
	return NULL;
}

static int put(const struct arguments *args, const char *name,
	       const char *author, const char *input)
{
	char path[EXCHANGE_PATH_SIZE];
	struct remote_request request = {
		.method = "PUT",
		.path = path,
		.content_type = "application/toml",
	};
	char *text;
	int status;

	if (!exchange_path(args, path, name, "/draft", author))
		return EXIT_STATUS_USAGE;
	text = read_input(input, &request.body_size);
	if (!text) {
		fprintf(stderr, "%s: cannot read %s: %s\n", args->command,
			input, strerror(errno));
		return EXIT_STATUS_FAILED;
	}
	request.body = text;
	if (request.body_size > PROFILE_TEXT_MAX) {
		fprintf(stderr, "%s: %s has more than %d bytes\n",
			args->command, input, PROFILE_TEXT_MAX);
		status = EXIT_STATUS_INVALID;
	} else {
		status = exchange_run(args, &request, print_stored);
	}
	free(text);
	return status;
}

int profile_put(int argc, char **argv)
{
	static const char summary[] =
		"Checks a profile and stores it as the author's draft. Nothing\n"
		"changes for traffic until the draft is accepted.";
	struct arg_str *name = arg_str1(NULL, NULL, "NAME", "the profile");
	struct arg_str *file = arg_str1(NULL, NULL, "FILE",
					"its text in TOML; - is the input");
	struct arg_str *author = exchange_author_option();
	struct arguments args;
	int status;

	arguments_init(&args, "profile put", summary, ARGUMENTS_REMOTE);
	arguments_add(&args, author);
	arguments_add(&args, name);
	arguments_add(&args, file);
	if (arguments_parse(&args, argc, argv, &status))
		status = put(&args, name->sval[0], exchange_author(author),
			     file->sval[0]);
	arguments_finish(&args);
	return status;
}

static int send_remove(const struct arguments *args, const char *name,
		       const char *author)
{
	json_t *json = json_pack("{s:s}", "author", author);
	char *body = json ? json_dumps(json, JSON_COMPACT) : NULL;
	char path[EXCHANGE_PATH_SIZE];
	struct remote_request request = {
		.method = "POST",
		.path = path,
		.content_type = "application/json",
		.body = body,
		.body_size = body ? strlen(body) : 0,
	};
	int status = EXIT_STATUS_USAGE;

	json_decref(json);
	if (!body)
		return arguments_usage(args, "--author is not UTF-8");
	if (exchange_path(args, path, name, "/remove", NULL))
		status = exchange_run(args, &request, print_stored);
	free(body);
	return status;
}

int profile_remove(int argc, char **argv)
{
	static const char summary[] =
		"Stores a draft that takes the profile away. Services that run\n"
		"under it lose their routes once the draft is accepted.";
	struct arg_str *name = arg_str1(NULL, NULL, "NAME", "the profile");
	struct arg_str *author = exchange_author_option();
	struct arguments args;
	int status;

	arguments_init(&args, "profile remove", summary, ARGUMENTS_REMOTE);
	arguments_add(&args, author);
	arguments_add(&args, name);
	if (arguments_parse(&args, argc, argv, &status))
		status = send_remove(&args, name->sval[0],
				     exchange_author(author));
	arguments_finish(&args);
	return status;
}

int profile_discard(int argc, char **argv)
{
	static const char summary[] =
		"Drops the author's draft of a profile; what is in force stays.";
	struct arg_str *name = arg_str1(NULL, NULL, "NAME", "the profile");
	struct arg_str *author = exchange_author_option();
	char path[EXCHANGE_PATH_SIZE];
	struct remote_request request = { .method = "DELETE", .path = path };
	struct arguments args;
	int status;

	arguments_init(&args, "profile discard", summary, ARGUMENTS_REMOTE);
	arguments_add(&args, author);
	arguments_add(&args, name);
	if (arguments_parse(&args, argc, argv, &status))
		status = exchange_path(&args, path, name->sval[0], "/draft",
				       exchange_author(author))
				 ? exchange_run(&args, &request, print_dropped)
				 : EXIT_STATUS_USAGE;
	arguments_finish(&args);
	return status;
}
