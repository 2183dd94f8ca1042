#include "golden_session.h"

#include <apr_general.h>
#include <criterion/criterion.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "golden.h"
#include "os/clock.h"

enum {
	OUTPUT_SIZE = 64 * 1024,
	COMMAND_WAIT_US = 20 * 1000000,
	TURN_US = 2000,
	READY_MS = 5000,
	PATH_SIZE = 160,
};

static void session_path(const struct session *session, const char *name,
			 char path[PATH_SIZE])
{
	snprintf(path, PATH_SIZE, "%s/%s", session->directory, name);
}

static void start_platform(struct session *session)
{
	static const char *const args[] = { "platform", NULL };
	char log[PATH_SIZE];

	session_path(session, "platform.log", log);
	cr_assert(process_start(&session->platform, "standin", args, log));
	cr_assert(process_wait_ready(&session->platform, READY_MS));
	cr_assert(process_ready_text(&session->platform, "address",
				     session->platform_address,
				     sizeof(session->platform_address)));
}

static void fill_status(struct operator_status *status, void *data)
{
	const struct session *session = data;

	*status = session->status;
}

static void fill_finding(struct health_finding *finding, void *data)
{
	const struct session *session = data;

	*finding = session->finding;
}

static json_t *dump_keeper(void *data)
{
	struct session *session = data;

	return keeper_dump(&session->keeper);
}

static void start_server(struct session *session)
{
	struct operator_options options = {
		.editor = &session->editor,
		.instance = "cellar-view-1",
	};
	struct error err = ERROR_INIT;

	address_parse("127.0.0.1:0", &options.address, &err);
	cr_assert(operator_server_init(&session->server, &session->loop,
				       &options, &err),
		  "%s", err.text);
	operator_set_status(&session->server, fill_status, session);
	operator_add_check(&session->server, "platform", fill_finding, session);
	operator_add_section(&session->server, "config", dump_keeper, session);
	address_format(operator_server_address(&session->server),
		       session->node);
}

void session_init(struct session *session)
{
	struct store_options options;
	struct error err = ERROR_INIT;

	memset(session, 0, sizeof(*session));
	apr_initialize();
	cr_assert_geq(sodium_init(), 0);
	snprintf(session->directory, sizeof(session->directory),
		 "/tmp/geraniumplank-XXXXXX");
	cr_assert_not_null(mkdtemp(session->directory));
	start_platform(session);
	cr_assert(loop_init(&session->loop, &err));
	cr_assert(http_client_init(&session->client, &session->loop, &err));
	store_options_default(&options);
	cr_assert(address_parse(session->platform_address, &options.address,
				&err));
	options.rate_per_s = 1000;
	options.burst = 1000;
	store_init(&session->store, &session->loop, &session->client, &options);
	keeper_init(&session->keeper);
	editor_init(&session->editor, &session->loop, &session->store,
		    &session->keeper, 1);
	start_server(session);
	setenv("GERANIUMPLANK_NODE", session->node, 1);
	setenv("GERANIUMPLANK_AUTHOR", "linh", 1);
}

void session_finish(struct session *session)
{
	char command[PATH_SIZE];

	operator_server_finish(&session->server);
	editor_finish(&session->editor);
	keeper_finish(&session->keeper);
	store_finish(&session->store);
	http_client_finish(&session->client);
	loop_finish(&session->loop);
	process_kill(&session->platform);
	buffer_finish(&session->transcript);
	snprintf(command, sizeof(command), "rm -r %s", session->directory);
	cr_assert_eq(system(command), 0);
}

static void append(struct session *session, const char *text)
{
	buffer_append(&session->transcript, text, strlen(text));
}

void session_note(struct session *session, const char *text)
{
	append(session, "# ");
	append(session, text);
	append(session, "\n");
}

/* Appends the contents of a file to the transcript, with the path of the
 * session directory removed. */
static void append_output(struct session *session, const char *path)
{
	static char text[OUTPUT_SIZE];
	size_t skip = strlen(session->directory) + 1;
	FILE *file = fopen(path, "re");
	const char *at = text;
	const char *next;

	cr_assert_not_null(file);
	text[fread(text, 1, sizeof(text) - 1, file)] = '\0';
	fclose(file);
	while ((next = strstr(at, session->directory))) {
		buffer_append(&session->transcript, at, (size_t)(next - at));
		at = next + skip;
	}
	append(session, at);
}

static void wait_for(struct session *session, struct process *process)
{
	int64_t end_us = clock_monotonic_us() + COMMAND_WAIT_US;

	while (!process_wait(process, 0)) {
		cr_assert_lt(clock_monotonic_us(), end_us, "command timed out");
		loop_turn(&session->loop, TURN_US);
	}
}

int session_run(struct session *session, const char *line)
{
	char paths[SESSION_ARGS_MAX][PATH_SIZE];
	const char *args[SESSION_ARGS_MAX + 1] = { NULL };
	struct process process;
	char copy[512];
	char output[PATH_SIZE];
	char result[32];
	char *rest = NULL;
	char *arg;
	int count = 0;
	int status;

	snprintf(copy, sizeof(copy), "%s", line);
	for (arg = strtok_r(copy, " ", &rest); arg && count < SESSION_ARGS_MAX;
	     arg = strtok_r(NULL, " ", &rest)) {
		args[count] = arg;
		if (*arg == '@') {
			session_path(session, arg + 1, paths[count]);
			args[count] = paths[count];
		}
		count++;
	}
	append(session, "$ geraniumplank ");
	append(session, line);
	append(session, "\n");
	session_path(session, "output", output);
	unlink(output);
	cr_assert(process_start(&process, "geraniumplank", args, output));
	wait_for(session, &process);
	append_output(session, output);
	status = WIFEXITED(process.exit_status)
			 ? WEXITSTATUS(process.exit_status)
			 : -1;
	snprintf(result, sizeof(result), "[status %d]\n\n", status);
	append(session, result);
	return status;
}

void session_file(struct session *session, const char *name, const char *text)
{
	char path[PATH_SIZE];
	FILE *file;

	session_path(session, name, path);
	file = fopen(path, "we");
	cr_assert_not_null(file);
	fputs(text, file);
	fclose(file);
}

static void on_faults_set(const struct http_answer *answer, void *data)
{
	bool *done = data;

	cr_assert_eq(answer->status, 200);
	*done = true;
}

void session_faults(struct session *session, const char *json)
{
	char url[128];
	struct http_request request = {
		.method = "POST",
		.url = url,
		.body = json,
		.body_size = strlen(json),
		.timeout_ms = READY_MS,
		.max_answer_bytes = OUTPUT_SIZE,
		.new_connection = true,
	};
	bool done = false;

	snprintf(url, sizeof(url), "http://%s/v1/faults",
		 session->platform_address);
	http_client_send(&session->client, &request, on_faults_set, &done);
	while (!done)
		loop_turn(&session->loop, TURN_US);
}

void session_expect(struct session *session, const char *name)
{
	struct buffer difference = { 0 };
	bool matches;

	buffer_append(&session->transcript, "", 1);
	matches = golden_matches(
		name, (const char *)buffer_data(&session->transcript),
		&difference);
	cr_assert(matches, "golden/%s.txt differs:\n%s", name,
		  matches ? "" : (const char *)buffer_data(&difference));
	buffer_finish(&difference);
}
