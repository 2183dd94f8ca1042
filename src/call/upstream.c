#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "call/headers.h"
#include "call/inbound.h"
#include "os/clock.h"
#include "os/net.h"

enum {
	RETRY_AFTER_MAX_S = 60,
	NUMBER_SIZE = 32,
	CONTEXT_HEADERS = 8,
	STATUS_OK = 200,
	STATUS_MULTIPLE_CHOICES = 300,
	STATUS_REQUEST_TIMEOUT = 408,
	STATUS_MISDIRECTED = 421,
	STATUS_TOO_MANY = 429,
	STATUS_UNAVAILABLE = 503,
};

static uint32_t retry_after_ms(const struct http_answer *answer)
{
	const char *text = http_answer_header(answer, "Retry-After");
	unsigned long seconds = text ? strtoul(text, NULL, 10) : 0;

	if (seconds > RETRY_AFTER_MAX_S)
		seconds = RETRY_AFTER_MAX_S;
	return (uint32_t)seconds * MS_PER_S;
}

static bool is_shed(const struct http_answer *answer)
{
	return answer->status == STATUS_UNAVAILABLE ||
	       answer->status == STATUS_TOO_MANY;
}

/*
 * A 503 alone does not prove that the request has not run: the upstream may
 * have run a part of the request and then passed on the refusal of one of its
 * own calls. Proof is the header field in which only the upstream itself, never
 * a node, reports that it rejected the request before it ran.
 */
static enum call_proof proof_of(const struct call_names *names,
				const struct http_answer *answer)
{
	const char *header_value = http_answer_header(answer, names->not_run);

	if (names->wrong_target_status &&
	    answer->status == names->wrong_target_status)
		return PROOF_STATUS;
	if (is_shed(answer) && header_value &&
	    (!names->not_run_value ||
	     !strcasecmp(header_value, names->not_run_value)))
		return PROOF_FIELD;
	return PROOF_NONE;
}

const char *call_proof_name(enum call_proof proof)
{
	static const char *const proof_names[] = { NULL, "unsent", "field",
						   "status" };

	return proof_names[proof];
}

/* Statuses from which a caller concludes that its request has not run. */
static bool implies_not_run(unsigned int status)
{
	return status == STATUS_REQUEST_TIMEOUT ||
	       status == STATUS_MISDIRECTED || status == STATUS_TOO_MANY ||
	       status == STATUS_UNAVAILABLE;
}

/*
 * Returns true for an answer that must not be passed on: a success without the
 * marker that all answers of the upstream carry may come from another process;
 * a status from which the caller concludes that the request has not run may be
 * false unless the answer proves it.
 */
static bool is_untrusted(const struct call_names *names,
			 const struct http_answer *answer)
{
	if (!names->upstream_marker)
		return false;
	if (answer->status >= STATUS_OK &&
	    answer->status < STATUS_MULTIPLE_CHOICES)
		return !http_answer_header(answer, names->upstream_marker);
	return implies_not_run(answer->status);
}

struct upstream_result upstream_classify(const struct call_names *names,
					 const struct http_answer *answer)
{
	struct upstream_result result = {
		.outcome = { .verdict = VERDICT_MAY_HAVE_RUN,
			     .reason = CALL_UPSTREAM_FAILED },
		.gate_feedback = GATE_FAILED,
	};

	if (answer->delivery == HTTP_NOT_SENT) {
		result.outcome.verdict = VERDICT_NOT_RUN;
		result.proof = PROOF_UNSENT;
		return result;
	}
	if (answer->timed_out) {
		result.outcome.reason = CALL_DEADLINE;
		result.gate_feedback = GATE_TIMED_OUT;
	}
	if (answer->delivery != HTTP_ANSWERED)
		return result;
	/* Without a length or a last chunk, a truncated answer looks
	 * complete. */
	if (!answer->delimited && !names->close_delimited)
		return result;
	result.gate_feedback = is_shed(answer) ? GATE_SHED : GATE_OK;
	result.proof = proof_of(names, answer);
	if (result.proof != PROOF_NONE) {
		result.outcome.verdict = VERDICT_NOT_RUN;
		result.outcome.reason = CALL_SHED;
		result.outcome.retry_after_ms = retry_after_ms(answer);
		return result;
	}
	if (is_untrusted(names, answer)) {
		result.gate_feedback = GATE_FAILED;
		return result;
	}
	result.answered = true;
	result.outcome.verdict = VERDICT_RAN;
	result.outcome.reason = CALL_REASON_NONE;
	return result;
}

/* Content-Length is computed from the body. An answer to HEAD has no body, so
 * its Content-Length is passed on. */
static bool is_passed_on(const struct call_names *names, const char *name,
			 bool head_only)
{
	return !call_names_is_dropped(names, name) ||
	       (head_only && !strcasecmp(name, "Content-Length"));
}

static size_t headers_size(const struct call_names *names,
			   const struct http_answer *answer, bool head_only)
{
	size_t size = 0;
	size_t i;

	for (i = 0; i < answer->header_count; i++)
		if (is_passed_on(names, answer->headers[i].name, head_only))
			size += strlen(answer->headers[i].name) +
				strlen(answer->headers[i].value) + 2;
	return size;
}

static uint8_t *put_text(uint8_t *at, const char *text)
{
	size_t size = strlen(text) + 1;

	memcpy(at, text, size);
	return at + size;
}

struct stored_answer *upstream_store_answer(const struct call_names *names,
					    const struct http_answer *answer,
					    bool head_only, int64_t service_us,
					    size_t *size)
{
	size_t headers_bytes = headers_size(names, answer, head_only);
	struct stored_answer *stored;
	uint8_t *at;
	size_t i;

	*size = sizeof(*stored) + headers_bytes + answer->body_size;
	stored = malloc(*size);
	if (!stored)
		abort();
	stored->status = answer->status;
	stored->service_us = (uint32_t)service_us;
	stored->error_rate = 0;
	stored->leaving_start = 0;
	stored->usual_us = 0;
	stored->headers_bytes = headers_bytes;
	stored->body_bytes = answer->body_size;
	at = stored->bytes;
	for (i = 0; i < answer->header_count; i++) {
		if (!is_passed_on(names, answer->headers[i].name, head_only))
			continue;
		at = put_text(at, answer->headers[i].name);
		at = put_text(at, answer->headers[i].value);
	}
	if (answer->body_size)
		memcpy(at, answer->body, answer->body_size);
	return stored;
}

/* Values of the header fields that the upstream copies into its own calls. */
struct context_headers {
	char deadline[NUMBER_SIZE];
	char weight[NUMBER_SIZE];
	char attempts[NUMBER_SIZE];
	char hops[NUMBER_SIZE];
};

static size_t add_context_headers(const struct inbound *inbound,
				  int64_t wait_ms,
				  struct context_headers *values,
				  struct http_header *headers)
{
	const struct call_names *names = inbound->server->options.names;
	const struct call_context *context = &inbound->context;
	const struct http_header fields[CONTEXT_HEADERS] = {
		{ names->deadline_ms, values->deadline },
		{ names->weight, values->weight },
		{ names->tenant, context->tenant },
		{ names->attempts, values->attempts },
		{ names->hops, values->hops },
		{ names->kind, context->kind },
		{ names->passes_request_id ? NULL : names->request_id,
		  context->request_id },
		{ names->target_id, inbound->server->upstream_id },
	};
	size_t count = 0;
	size_t i;

	snprintf(values->deadline, sizeof(values->deadline), "%lld",
		 (long long)wait_ms);
	snprintf(values->weight, sizeof(values->weight), "%g", context->weight);
	snprintf(values->attempts, sizeof(values->attempts), "%u",
		 context->attempts);
	snprintf(values->hops, sizeof(values->hops), "%u", context->hops + 1);
	for (i = 0; i < CONTEXT_HEADERS; i++)
		if (fields[i].name && *fields[i].value)
			headers[count++] = fields[i];
	return count;
}

static void use_fresh_connection(struct inbound *inbound,
				 struct http_request *request)
{
	int fd = spares_take(&inbound->server->spares,
			     &inbound->server->upstream);

	request->new_connection = true;
	request->connected_fd = fd == NET_NONE ? 0 : fd;
}

/* Returns the timeout of a connection attempt in milliseconds. Before the
 * connection is established the request cannot have run; the attempt ends while
 * there is time to report this to the caller. */
static int64_t connect_ms(const struct inbound *inbound, int64_t now_us)
{
	int64_t max_ms = inbound->server->options.connect_timeout_ms;
	int64_t left_ms = (inbound->wait_until_us - now_us) / US_PER_MS;

	if (left_ms < 1)
		return 1;
	return left_ms < max_ms ? left_ms : max_ms;
}

struct http_transfer *upstream_send(struct inbound *inbound,
				    http_answer_fn *done, int64_t now_us)
{
	struct http_header headers[CALL_HEADERS_MAX + CONTEXT_HEADERS];
	const struct call_names *names = inbound->server->options.names;
	const struct call_bytes bytes = { buffer_data(&inbound->headers),
					  buffer_size(&inbound->headers) };
	size_t count = headers_split(&bytes, headers);
	int64_t wait_us = inbound->context.deadline_us - now_us;
	int64_t wait_ms = (wait_us + US_PER_MS - 1) / US_PER_MS;
	char url[ADDRESS_TEXT_SIZE + 8];
	struct context_headers values;
	struct http_request request = {
		.method = inbound->method,
		.url = url,
		.target = inbound->target,
		.headers = headers,
		.body = buffer_data(&inbound->body),
		.body_size = buffer_size(&inbound->body),
		.connect_timeout_ms = connect_ms(inbound, now_us),
		.timeout_ms = wait_ms > 0 ? wait_ms : 1,
		.max_answer_bytes = inbound->server->options.answer_bytes_max,
		.total = &inbound->server->answers,
		.echo_header = names->passes_request_id ? names->request_id
							: NULL,
	};

	/* The upstream may close an idle connection while a request is sent on
	 * it; the node then cannot know whether the request has run. */
	if (!inbound->repeatable && names->idle_max_ms)
		request.idle_max_ms = names->idle_max_ms;
	else if (!inbound->repeatable)
		use_fresh_connection(inbound, &request);
	count += add_context_headers(inbound, request.timeout_ms, &values,
				     &headers[count]);
	request.header_count = count;
	snprintf(url, sizeof(url), "http://%s", inbound->server->upstream_text);
	return http_client_send(inbound->server->options.client, &request, done,
				inbound);
}
