#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "call/call_defs.h"
#include "node/commands.h"
#include "node/log_files.h"
#include "operator/arguments.h"
#include "operator/command.h"
#include "operator/remote.h"

/**
 * DOC: command explain
 *
 * Reads log lines of any number of nodes and prints those of one request in the
 * order of their times, followed by the cause of the result of the request.
 */

static const char summary[] =
	"Tell the story of one request from the log lines of the nodes that it\n"
	"passed. Reads the files, or standard input if none are given; what\n"
	"stands before the JSON object of a line is skipped.";

/**
 * struct request_log - log lines of one request
 * @id: identifier of the request
 * @lines: array of the lines as JSON objects
 */
struct request_log {
	const char *id;
	json_t *lines;
};

static const char *text_of(const json_t *line, const char *name)
{
	const char *text = json_string_value(json_object_get(line, name));

	return text ? text : "";
}

static long long number_of(const json_t *line, const char *name)
{
	return json_integer_value(json_object_get(line, name));
}

static void add_line(const char *text, void *data)
{
	struct request_log *request_log = data;
	const char *object = strchr(text, '{');
	json_t *line;

	/* Skips the slow parser for lines of other requests. */
	if (!object || !strstr(object, request_log->id))
		return;
	line = json_loads(object, JSON_DISABLE_EOF_CHECK, NULL);
	if (line && !strcmp(text_of(line, "request"), request_log->id))
		json_array_append(request_log->lines, line);
	json_decref(line);
}

static int by_time(const void *a, const void *b)
{
	const json_t *const *left = a;
	const json_t *const *right = b;

	return strcmp(text_of(*left, "time"), text_of(*right, "time"));
}

/* The lexicographic order of formatted times is their chronological order. */
static json_t *sort_by_time(const json_t *lines)
{
	size_t count = json_array_size(lines);
	json_t **items = calloc(count + 1, sizeof(json_t *));
	json_t *list = json_array();
	size_t i;

	if (!items)
		abort();
	for (i = 0; i < count; i++)
		items[i] = json_array_get(lines, i);
	qsort((void *)items, count, sizeof(json_t *), by_time);
	for (i = 0; i < count; i++)
		json_array_append(list, items[i]);
	free((void *)items);
	return list;
}

static bool is_event(const json_t *line, const char *event)
{
	return !strcmp(text_of(line, "event"), event);
}

/* Returns the line of the caller's node, which holds the result of the request;
 * NULL if the line is missing. */
static const json_t *find_call_line(const json_t *lines)
{
	const json_t *found = NULL;
	const json_t *line;
	size_t i;

	json_array_foreach(lines, i, line)
		if (is_event(line, "call") || is_event(line, "refused"))
			found = line;
	return found;
}

static const char *reason_text(const char *name)
{
	int i;

	for (i = CALL_REASON_NONE + 1; i < CALL_REASONS; i++)
		if (!strcmp(call_reason_name((enum call_reason)i), name))
			return call_reason_text((enum call_reason)i);
	return "";
}

/* Returns the line of an answer that was ready in time and, because it waited
 * on its connection, was late or never sent; NULL if there is none. */
static const json_t *find_harmful_hold(const json_t *lines)
{
	const json_t *line;
	size_t i;

	json_array_foreach(lines, i, line)
		if (is_event(line, "answer_held") &&
		    number_of(line, "ready_late_ms") == 0 &&
		    (number_of(line, "late_ms") > 0 ||
		     strcmp(text_of(line, "end"), "sent") != 0))
			return line;
	return NULL;
}

static void write_hold_cause(const json_t *held, char *cause, size_t size)
{
	const char *ahead = text_of(held, "ahead");
	long long held_ms = number_of(held, "held_ms");

	if (!strcmp(text_of(held, "end"), "sent"))
		snprintf(cause, size,
			 "the answer was ready in time, then waited %lld ms "
			 "for request %.64s on its connection",
			 held_ms, ahead);
	else
		snprintf(cause, size,
			 "the answer was ready; the caller hung up after it "
			 "had waited %lld ms for request %.64s on its "
			 "connection",
			 held_ms, ahead);
}

static void write_cause(const json_t *end, char *cause, size_t size)
{
	const char *reason = end ? text_of(end, "end") : "";
	long long status = end ? number_of(end, "status") : 0;

	if (!end)
		snprintf(cause, size,
			 "the line of the caller's node is missing: its log is "
			 "not among the files, or the line was left out");
	else if (is_event(end, "refused"))
		snprintf(cause, size, "refused before it was read: %s", reason);
	else if (status >= 500)
		snprintf(cause, size, "the upstream itself answered with %lld",
			 status);
	else if (!strcmp(reason, "answered") &&
		 !strcmp(text_of(end, "pass"), "late"))
		snprintf(cause, size,
			 "answered, but no upstream could do so in time");
	else if (!strcmp(reason, "answered"))
		snprintf(cause, size, "answered with %lld", status);
	else if (!strcmp(reason, call_reason_name(CALL_QUOTA)))
		snprintf(cause, size,
			 "quota: tenant %s is over its limit; geraniumplank "
			 "tenants shows limit and use",
			 text_of(end, "tenant"));
	else if (*text_of(end, "text"))
		snprintf(cause, size, "%s: %s", reason, text_of(end, "text"));
	else
		snprintf(cause, size, "%s: %s", reason, reason_text(reason));
}

/* A request that was refused before it became a call has no service yet. */
static bool is_refusal(const json_t *line)
{
	return is_event(line, "call") && !*text_of(line, "service");
}

static void print_refusal(const json_t *line)
{
	printf("refused it: %s, %s, host %s, target %s, version %lld%s%s\n",
	       text_of(line, "end"), text_of(line, "verdict"),
	       text_of(line, "host"), text_of(line, "target"),
	       number_of(line, "version"), *text_of(line, "text") ? ": " : "",
	       text_of(line, "text"));
}

static void print_line(const json_t *line)
{
	printf("%s %s ", text_of(line, "time"), text_of(line, "instance"));
	if (is_refusal(line))
		print_refusal(line);
	else if (is_event(line, "call"))
		printf("ends the call: %s, %s, status %lld, service %s%s%s, "
		       "version %lld, after %lld ms of which %lld at the upstream, %lld "
		       "ms left; tries: %lld: %s\n",
		       text_of(line, "end"), text_of(line, "verdict"),
		       number_of(line, "status"), text_of(line, "service"),
		       *text_of(line, "tenant") ? ", tenant " : "",
		       text_of(line, "tenant"), number_of(line, "version"),
		       number_of(line, "took_ms"),
		       number_of(line, "upstream_ms"),
		       number_of(line, "left_ms"), number_of(line, "tries"),
		       text_of(line, "tried"));
	else if (is_event(line, "answer_held"))
		printf("held the answer %lld ms for request %s on its "
		       "connection: %s, %lld ms late\n",
		       number_of(line, "held_ms"), text_of(line, "ahead"),
		       text_of(line, "end"), number_of(line, "late_ms"));
	else if (is_event(line, "served"))
		printf("asked its upstream for %s, attempt %lld: %s, %s%s%s, "
		       "status %lld, after %lld ms in the queue and %lld ms there, on a %s "
		       "connection%s%s%s\n",
		       text_of(line, "from"), number_of(line, "attempt"),
		       text_of(line, "end"), text_of(line, "verdict"),
		       *text_of(line, "proof") ? " by " : "",
		       text_of(line, "proof"), number_of(line, "status"),
		       number_of(line, "queued_ms"),
		       number_of(line, "upstream_ms"),
		       text_of(line, "connection"),
		       strcmp(text_of(line, "named"), "no")
			       ? ""
			       : ", in an answer that does not name the request",
		       *text_of(line, "text") ? ": " : "",
		       text_of(line, "text"));
	else if (is_event(line, "refused"))
		printf("refused it before it was read: %s, status %lld\n",
		       text_of(line, "end"), number_of(line, "status"));
	else if (is_event(line, "broken_off"))
		printf("broke it off: %s, %s, after %lld ms in the queue and "
		       "%lld ms at its upstream, %lld ms left\n",
		       text_of(line, "end"), text_of(line, "verdict"),
		       number_of(line, "queued_ms"),
		       number_of(line, "upstream_ms"),
		       number_of(line, "left_ms"));
	else if (is_event(line, "turned_away"))
		printf("turned it away for %s: %s, with %lld running, %lld "
		       "waiting, limit %lld, due in %lld ms\n",
		       text_of(line, "from"), text_of(line, "end"),
		       number_of(line, "running"), number_of(line, "waiting"),
		       number_of(line, "limit"), number_of(line, "due_in_ms"));
	else
		printf("%s %s\n", text_of(line, "slice"),
		       text_of(line, "event"));
}

static int print_explanation(const struct request_log *request_log, bool json)
{
	json_t *lines = sort_by_time(request_log->lines);
	const json_t *held = find_harmful_hold(lines);
	char cause[256];
	const json_t *line;
	size_t i;

	if (held)
		write_hold_cause(held, cause, sizeof(cause));
	else
		write_cause(find_call_line(lines), cause, sizeof(cause));
	if (json) {
		json_t *report = json_pack("{s:s,s:s,s:O}", "request",
					   request_log->id, "cause", cause,
					   "lines", lines);

		remote_print_json(report);
		json_decref(report);
	} else {
		json_array_foreach(lines, i, line)
			print_line(line);
		printf("cause: %s\n", cause);
	}
	json_decref(lines);
	return EXIT_STATUS_OK;
}

static int explain(struct request_log *request_log,
		   const struct arg_file *files, bool json)
{
	if (!log_files_read("explain", files->filename, files->count, add_line,
			    request_log))
		return EXIT_STATUS_FAILED;
	if (json_array_size(request_log->lines))
		return print_explanation(request_log, json);
	fprintf(stderr, "explain: no line tells of request %s\n",
		request_log->id);
	return EXIT_STATUS_INVALID;
}

int command_explain(int argc, char **argv)
{
	struct arg_str *id = arg_str1(NULL, NULL, "ID", "the request's id");
	struct arg_file *files =
		arg_filen(NULL, NULL, "FILE", 0, LOG_FILES_MAX, "log files");
	struct request_log request_log;
	struct arguments args;
	int status;

	arguments_init(&args, "explain", summary, ARGUMENTS_LOCAL);
	arguments_add(&args, id);
	arguments_add(&args, files);
	request_log.lines = json_array();
	if (arguments_parse(&args, argc, argv, &status)) {
		request_log.id = id->sval[0];
		status = explain(&request_log, files, args.json->count > 0);
	}
	json_decref(request_log.lines);
	arguments_finish(&args);
	return status;
}
