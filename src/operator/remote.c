#include "operator/remote.h"

#include <ctype.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/address.h"
#include "operator/command.h"

enum {
	LOOP_TURN_MAX_US = 100000,
	ANSWER_MAX_BYTES = 64 * 1024 * 1024,
	CONNECT_TIMEOUT_MS = 3000,
};

static const char default_node[] = "127.0.0.1:7103";

static bool read_token(struct remote *remote, const char *path,
		       struct error *err)
{
	FILE *file = fopen(path, "re");
	bool read;

	if (!file) {
		error_set(err, ERROR_INVALID, "cannot read %s: %s", path,
			  strerror(errno));
		return false;
	}
	read = fgets(remote->token, sizeof(remote->token), file);
	(void)fclose(file);
	remote->token[strcspn(remote->token, "\r\n")] = '\0';
	if (!read)
		error_set(err, ERROR_INVALID, "%s is empty", path);
	return read;
}

static bool select_node(struct remote *remote,
			const struct arguments *arguments, struct error *err)
{
	const char *node = getenv("GERANIUMPLANK_NODE");
	struct address address;

	if (arguments->node->count)
		node = arguments->node->sval[0];
	if (!node || !*node)
		node = default_node;
	snprintf(remote->node, sizeof(remote->node), "%s", node);
	if (address_parse(node, &address, NULL))
		return true;
	error_set(err, ERROR_INVALID, "--node must be IP:port, is \"%s\"",
		  node);
	return false;
}

static bool select_token(struct remote *remote,
			 const struct arguments *arguments, struct error *err)
{
	const char *token = getenv("GERANIUMPLANK_TOKEN");

	if (arguments->token_file->count)
		return read_token(remote, arguments->token_file->sval[0], err);
	if (token)
		snprintf(remote->token, sizeof(remote->token), "%s", token);
	return true;
}

bool remote_init(struct remote *remote, const struct arguments *arguments,
		 struct error *err)
{
	memset(remote, 0, sizeof(*remote));
	if (!select_node(remote, arguments, err) ||
	    !select_token(remote, arguments, err))
		return false;
	if (!loop_init(&remote->loop, err))
		return false;
	if (http_client_init(&remote->client, &remote->loop, err))
		return true;
	loop_finish(&remote->loop);
	return false;
}

void remote_finish(struct remote *remote)
{
	http_client_finish(&remote->client);
	loop_finish(&remote->loop);
}

static int exit_status_of(unsigned int http_status, const json_t *json)
{
	const char *outcome =
		json_string_value(json_object_get(json, "outcome"));

	if (http_status < 300)
		return EXIT_STATUS_OK;
	if (outcome && !strcmp(outcome, "unknown"))
		return EXIT_STATUS_UNKNOWN;
	switch (http_status) {
	case 409:
		return EXIT_STATUS_CONFLICT;
	case 400:
	case 413:
	case 415:
	case 422:
		return EXIT_STATUS_INVALID;
	case 502:
	case 503:
		return EXIT_STATUS_UNREACHABLE;
	case 504:
		return EXIT_STATUS_TIMEOUT;
	default:
		return EXIT_STATUS_FAILED;
	}
}

struct pending_call {
	struct remote_answer *answer;
	bool ended;
};

static void read_answer(const struct http_answer *http,
			struct remote_answer *answer)
{
	json_error_t error;

	answer->http_status = http->status;
	answer->json = json_loadb((const char *)http->body, http->body_size,
				  JSON_DECODE_ANY, &error);
	answer->status = exit_status_of(http->status, answer->json);
	if (answer->json)
		return;
	answer->status = EXIT_STATUS_FAILED;
	error_set(&answer->err, ERROR_PROTOCOL,
		  "the answer (HTTP %u) is not JSON; is this a node's "
		  "operator address?",
		  http->status);
}

static void on_answer(const struct http_answer *http, void *data)
{
	struct pending_call *pending_call = data;
	struct remote_answer *answer = pending_call->answer;

	pending_call->ended = true;
	answer->sent = http->delivery != HTTP_NOT_SENT;
	if (http->delivery == HTTP_ANSWERED) {
		read_answer(http, answer);
		return;
	}
	answer->status = http->timed_out && answer->sent
				 ? EXIT_STATUS_TIMEOUT
				 : EXIT_STATUS_UNREACHABLE;
	error_set(&answer->err, ERROR_IO, "%s",
		  http->err ? http->err->text : "no answer");
}

bool remote_call(struct remote *remote, const struct remote_request *request,
		 struct remote_answer *answer)
{
	char url[2 * REMOTE_TEXT_SIZE + 1024];
	char authorization[REMOTE_TEXT_SIZE + 16];
	struct http_header headers[2];
	struct http_request http = {
		.method = request->method,
		.url = url,
		.headers = headers,
		.body = request->body,
		.body_size = request->body_size,
		.connect_timeout_ms = CONNECT_TIMEOUT_MS,
		.timeout_ms = request->timeout_ms ? request->timeout_ms
						  : REMOTE_TIMEOUT_MS,
		.max_answer_bytes = ANSWER_MAX_BYTES,
		/* A kept connection may close just as a change is sent;
		 * sending the change again could apply it twice. */
		.new_connection = true,
	};
	struct pending_call pending_call = { .answer = answer };

	memset(answer, 0, sizeof(*answer));
	snprintf(url, sizeof(url), "http://%s%s", remote->node, request->path);
	if (request->content_type)
		headers[http.header_count++] =
			(struct http_header){ "Content-Type",
					      request->content_type };
	snprintf(authorization, sizeof(authorization), "Bearer %s",
		 remote->token);
	if (*remote->token)
		headers[http.header_count++] =
			(struct http_header){ "Authorization", authorization };
	http_client_send(&remote->client, &http, on_answer, &pending_call);
	while (!pending_call.ended)
		loop_turn(&remote->loop, LOOP_TURN_MAX_US);
	return answer->status == EXIT_STATUS_OK;
}

void remote_answer_finish(struct remote_answer *answer)
{
	json_decref(answer->json);
	answer->json = NULL;
}

static const char *text_of(const json_t *json, const char *name)
{
	const char *text = json_string_value(json_object_get(json, name));

	return text ? text : "";
}

static void print_faults(const json_t *faults)
{
	const json_t *fault;
	size_t i;

	json_array_foreach(faults, i, fault)
		fprintf(stderr, "  line %lld: %s\n",
			(long long)json_integer_value(
				json_object_get(fault, "line")),
			text_of(fault, "text"));
}

int remote_report(const struct remote *remote, const struct arguments *args,
		  const struct remote_answer *answer)
{
	const char *todo = text_of(answer->json, "todo");

	if (args->json->count && answer->json) {
		remote_print_json(answer->json);
		return answer->status;
	}
	if (answer->json)
		fprintf(stderr, "%s: %s\n", args->command,
			*text_of(answer->json, "text")
				? text_of(answer->json, "text")
				: text_of(answer->json, "error"));
	else
		fprintf(stderr, "%s: node %s: %s\n", args->command,
			remote->node, answer->err.text);
	print_faults(json_object_get(answer->json, "faults"));
	if (!answer->json && answer->status == EXIT_STATUS_UNREACHABLE)
		todo = "ask another node with --node IP:PORT; all nodes are "
		       "equal";
	if (*todo)
		fprintf(stderr, "what to do: %s\n", todo);
	return answer->status;
}

void remote_print_json(const json_t *json)
{
	json_dumpf(json, stdout, JSON_INDENT(2) | JSON_SORT_KEYS);
	putchar('\n');
}

bool remote_append_segment(char *path, size_t size, const char *segment)
{
	static const char digits[] = "0123456789ABCDEF";
	size_t used = strlen(path);

	for (; *segment; segment++) {
		unsigned char c = (unsigned char)*segment;

		if (used + 4 > size)
			return false;
		if (isalnum(c) || strchr("-._~", c)) {
			path[used++] = (char)c;
		} else {
			path[used++] = '%';
			path[used++] = digits[c >> 4];
			path[used++] = digits[c & 15];
		}
		path[used] = '\0';
	}
	return true;
}

json_t *remote_get(const struct arguments *args, const char *path,
		   bool keep_errors, int *status)
{
	struct remote_request request = { .method = "GET", .path = path };
	struct error err = ERROR_INIT;
	struct remote_answer answer;
	struct remote remote;
	json_t *json = NULL;

	if (!remote_init(&remote, args, &err)) {
		*status = arguments_usage(args, "%s", err.text);
		return NULL;
	}
	if (remote_call(&remote, &request, &answer) ||
	    (keep_errors && answer.json)) {
		json = json_incref(answer.json);
		*status = answer.status;
	} else {
		*status = remote_report(&remote, args, &answer);
	}
	remote_answer_finish(&answer);
	remote_finish(&remote);
	return json;
}
