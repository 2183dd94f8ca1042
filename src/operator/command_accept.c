#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "operator/command.h"
#include "operator/command_profile.h"
#include "operator/exchange.h"
#include "profile/editor.h"

enum { ATTEMPTS_MAX = 3 };

/**
 * struct acceptance - a request to accept drafts or to revert a profile
 * @path: path of the request
 * @author: author of the drafts or of the revert; not owned
 * @id: acceptance id
 * @version: version whose text to restore; 0 to accept drafts
 * @expected_version: version that must be in force; 0 for any
 */
struct acceptance {
	char path[EXCHANGE_PATH_SIZE];
	const char *author;
	char id[ACCEPT_ID_SIZE];
	uint64_t version;
	uint64_t expected_version;
};

static char *build_body(const struct acceptance *acceptance)
{
	json_t *json = json_pack("{s:s,s:s}", "id", acceptance->id, "author",
				 acceptance->author);
	char *body = NULL;

	if (json && acceptance->version)
		json_object_set_new(
			json, "version",
			json_integer((json_int_t)acceptance->version));
	if (json && acceptance->expected_version)
		json_object_set_new(
			json, "expected_version",
			json_integer((json_int_t)acceptance->expected_version));
	if (json)
		body = json_dumps(json, JSON_COMPACT);
	json_decref(json);
	return body;
}

/*
 * A node or a connection that fails after the change took effect loses the
 * answer. Without an answer the outcome is unknown; with the status "failed"
 * the operator would accept the change a second time.
 */
static void set_unknown_outcome(struct remote_answer *answer)
{
	if (!answer->json && answer->sent)
		answer->status = EXIT_STATUS_UNKNOWN;
}

static void print_accepted(const struct arguments *args,
			   const struct acceptance *acceptance,
			   const struct remote_answer *answer)
{
	long long version = exchange_number(answer->json, "version");

	if (args->json->count) {
		json_object_set_new(answer->json, "id",
				    json_string(acceptance->id));
		remote_print_json(answer->json);
		return;
	}
	printf("accepted as version %lld (id %s)\n", version, acceptance->id);
	printf("to see it in force everywhere: geraniumplank status --wait "
	       "%lld\n",
	       version);
}

static void print_difference(const json_t *json)
{
	const char *text = exchange_text(json, "difference");
	const json_t *change;
	size_t i;

	json_array_foreach(json_object_get(json, "changes"), i, change)
		fprintf(stderr, "  version %lld by %s changed %s\n",
			exchange_number(change, "version"),
			exchange_text(change, "author"),
			exchange_text(change, "name"));
	if (*text)
		fprintf(stderr, "what changed meanwhile:\n%s", text);
}

static int report_failure(const struct remote *remote,
			  const struct arguments *args,
			  const struct acceptance *acceptance,
			  const struct remote_answer *answer)
{
	int status = remote_report(remote, args, answer);

	if (args->json->count && answer->json)
		return status;
	if (status == EXIT_STATUS_CONFLICT)
		print_difference(answer->json);
	if (status == EXIT_STATUS_UNKNOWN)
		fprintf(stderr,
			"it may have taken effect; run this command again with "
			"--id %s, through any node\n",
			acceptance->id);
	return status;
}

/* Repeats a request with an unknown outcome under the same id. The change
 * cannot take effect twice: if it did once, its id is in the head. */
static int send_acceptance(struct remote *remote, const struct arguments *args,
			   const struct acceptance *acceptance,
			   const char *body)
{
	struct remote_request request = {
		.method = "POST",
		.path = acceptance->path,
		.content_type = "application/json",
		.body = body,
		.body_size = strlen(body),
	};
	struct remote_answer answer;
	int attempts = 0;
	int status;

	for (;;) {
		bool done = remote_call(remote, &request, &answer);

		set_unknown_outcome(&answer);
		if (done || answer.status != EXIT_STATUS_UNKNOWN ||
		    ++attempts == ATTEMPTS_MAX)
			break;
		remote_answer_finish(&answer);
	}
	status = answer.status;
	if (status == EXIT_STATUS_OK)
		print_accepted(args, acceptance, &answer);
	else
		status = report_failure(remote, args, acceptance, &answer);
	remote_answer_finish(&answer);
	return status;
}

static int run_acceptance(const struct arguments *args,
			  const struct acceptance *acceptance)
{
	char *body = build_body(acceptance);
	struct error err = ERROR_INIT;
	struct remote remote;
	int status;

	if (!body)
		return arguments_usage(args, "--author must be UTF-8");
	if (remote_init(&remote, args, &err)) {
		status = send_acceptance(&remote, args, acceptance, body);
		remote_finish(&remote);
	} else {
		status = arguments_usage(args, "%s", err.text);
	}
	free(body);
	return status;
}

static struct arg_str *id_option(void)
{
	return arg_str0(NULL, "id", "ID",
			"acceptance id; give that of a first try again");
}

static struct arg_str *expect_option(void)
{
	return arg_str0(NULL, "expect", "VERSION",
			"fail unless this version is in force");
}

static bool read_id(const struct arguments *args, const struct arg_str *option,
		    struct acceptance *acceptance)
{
	if (!option->count) {
		editor_new_accept_id(acceptance->id);
		return true;
	}
	if (!accept_id_valid(option->sval[0])) {
		arguments_usage(args, "--id may hold letters, digits and "
				      "\"-\", at most 39");
		return false;
	}
	snprintf(acceptance->id, sizeof(acceptance->id), "%s", option->sval[0]);
	return true;
}

int profile_accept(int argc, char **argv)
{
	static const char summary[] =
		"Makes the author's draft of a profile, or all drafts of the\n"
		"author together, the next version. If others changed the same\n"
		"profile meanwhile, nothing is changed and the draft stays. The\n"
		"acceptance has an id: after an unclear outcome run it again\n"
		"with the same id, and it takes effect at most once.";
	struct arg_str *name = arg_str0(NULL, NULL, "NAME",
					"the profile (default: all drafts)");
	struct arg_str *author = exchange_author_option();
	struct arg_str *id = id_option();
	struct arg_str *expect = expect_option();
	struct acceptance acceptance = { .path = "/v1/accept" };
	struct arguments args;
	int status = EXIT_STATUS_USAGE;

	arguments_init(&args, "profile accept", summary, ARGUMENTS_REMOTE);
	arguments_add(&args, author);
	arguments_add(&args, id);
	arguments_add(&args, expect);
	arguments_add(&args, name);
	if (arguments_parse(&args, argc, argv, &status) &&
	    arguments_number(&args, expect, INT64_MAX, 0,
			     &acceptance.expected_version) &&
	    read_id(&args, id, &acceptance)) {
		acceptance.author = exchange_author(author);
		status = EXIT_STATUS_USAGE;
		if (!name->count ||
		    exchange_path(&args, acceptance.path, name->sval[0],
				  "/accept", NULL))
			status = run_acceptance(&args, &acceptance);
	}
	arguments_finish(&args);
	return status;
}

int profile_revert(int argc, char **argv)
{
	static const char summary[] =
		"Accepts, as a new version, the text that a profile had in an\n"
		"earlier one. Versions only go up: nothing is undone, the old\n"
		"text comes into force again.";
	struct arg_str *name = arg_str1(NULL, NULL, "NAME", "the profile");
	struct arg_str *version = arg_str1(NULL, "to", "VERSION",
					   "the version whose text it gets");
	struct arg_str *author = exchange_author_option();
	struct arg_str *id = id_option();
	struct arg_str *expect = expect_option();
	struct acceptance acceptance = { .path = "" };
	struct arguments args;
	int status = EXIT_STATUS_USAGE;

	arguments_init(&args, "profile revert", summary, ARGUMENTS_REMOTE);
	arguments_add(&args, version);
	arguments_add(&args, author);
	arguments_add(&args, id);
	arguments_add(&args, expect);
	arguments_add(&args, name);
	if (arguments_parse(&args, argc, argv, &status) &&
	    arguments_number(&args, version, INT64_MAX, 0,
			     &acceptance.version) &&
	    arguments_number(&args, expect, INT64_MAX, 0,
			     &acceptance.expected_version) &&
	    read_id(&args, id, &acceptance)) {
		acceptance.author = exchange_author(author);
		status = EXIT_STATUS_USAGE;
		if (exchange_path(&args, acceptance.path, name->sval[0],
				  "/revert", NULL))
			status = run_acceptance(&args, &acceptance);
	}
	arguments_finish(&args);
	return status;
}
