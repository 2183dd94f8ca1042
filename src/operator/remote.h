#ifndef OPERATOR_REMOTE_H
#define OPERATOR_REMOTE_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/error.h"
#include "event/loop.h"
#include "http/client.h"
#include "operator/arguments.h"

/**
 * DOC: remote
 *
 * Client of the operators' interface of one node. Each call blocks until the
 * answer arrives; the client runs its own event loop for that.
 */

enum { REMOTE_TEXT_SIZE = 256, REMOTE_TIMEOUT_MS = 15000 };

/**
 * struct remote - client of one node
 * @loop: event loop
 * @client: HTTP client on @loop
 * @node: operator address of the node, "IP:PORT"
 * @token: token for changes; empty to send none
 */
struct remote {
	struct loop loop;
	struct http_client client;
	char node[REMOTE_TEXT_SIZE];
	char token[REMOTE_TEXT_SIZE];
};

/**
 * struct remote_request - a request to a node
 * @method: HTTP method
 * @path: percent-encoded path with the query
 * @content_type: content type of @body; NULL if there is no body
 * @body: body of the request; NULL if there is none
 * @body_size: size of @body in bytes
 * @timeout_ms: longest time until the answer; 0 for REMOTE_TIMEOUT_MS
 */
struct remote_request {
	const char *method;
	const char *path;
	const char *content_type;
	const void *body;
	size_t body_size;
	int64_t timeout_ms;
};

/**
 * struct remote_answer - outcome of a request
 * @status: exit status for this outcome
 * @http_status: HTTP status; 0 if there was no answer
 * @json: body of the answer, NULL if there was none or it is not JSON; owned,
 *	released by remote_answer_finish()
 * @sent: whether the node may have received the request
 * @err: why @json is NULL
 */
struct remote_answer {
	int status;
	unsigned int http_status;
	json_t *json;
	bool sent;
	struct error err;
};

/**
 * remote_init() - reads address and token from the options or the environment
 * @err: ERROR_INVALID for a bad address or token file; otherwise an error of
 *	the event loop or of the HTTP client
 *
 * Return: false on failure; @remote then holds no resources.
 */
bool remote_init(struct remote *remote, const struct arguments *arguments,
		 struct error *err);

void remote_finish(struct remote *remote);

/**
 * remote_call() - sends a request and waits for the answer
 * @answer: the outcome, also of a failure; free with remote_answer_finish()
 *
 * Return: true if the node answered with a success status.
 */
bool remote_call(struct remote *remote, const struct remote_request *request,
		 struct remote_answer *answer);

void remote_answer_finish(struct remote_answer *answer);

/**
 * remote_report() - prints why a request failed and what to do about it
 *
 * Return: the exit status.
 */
int remote_report(const struct remote *remote, const struct arguments *args,
		  const struct remote_answer *answer);

/**
 * remote_get() - sends one GET request to the node of the arguments
 * @keep_errors: also return the JSON of an error answer
 * @status: receives the exit status
 *
 * Return: the answer, owned by the caller; NULL after printing why there is
 * none.
 */
json_t *remote_get(const struct arguments *args, const char *path,
		   bool keep_errors, int *status);

/** remote_print_json() - prints JSON with sorted keys. */
void remote_print_json(const json_t *json);

/**
 * remote_append_segment() - appends a percent-encoded segment to a path
 * @path: the path, terminated by NUL
 * @size: size of the buffer of @path in bytes
 *
 * Return: false if the segment does not fit.
 */
bool remote_append_segment(char *path, size_t size, const char *segment);

#endif
