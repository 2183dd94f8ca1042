#include "call/reply.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "call/headers.h"
#include "os/clock.h"

enum {
	NODE_HEADERS_MAX = 8,
	NUMBER_SIZE = 24,
	RETRY_AFTER_DEFAULT_MS = 100,
	STATUS_UNAUTHORIZED = 401,
	STATUS_TOO_MANY = 429,
	STATUS_UNAVAILABLE = 503,
};

/* Omits a field whose name is NULL: the interface lacks the field. */
static void add(struct http_header *headers, size_t *count, const char *name,
		const char *value)
{
	if (!name)
		return;
	headers[*count].name = name;
	headers[*count].value = value;
	(*count)++;
}

void reply_answer(struct http_exchange *exchange,
		  const struct call_names *names,
		  const struct reply_answer *answer)
{
	struct http_header headers[CALL_HEADERS_MAX + NODE_HEADERS_MAX];
	size_t count = headers_split(&answer->headers, headers);

	if (!names->passes_request_id) {
		add(headers, &count, names->verdict, verdict_name(VERDICT_RAN));
		add(headers, &count, names->request_id, answer->request_id);
	}
	add(headers, &count, names->upstream, answer->upstream);
	http_exchange_reply(exchange, answer->status, headers, count,
			    answer->body.data, answer->body.size);
}

static bool may_retry(const struct call_outcome *outcome, unsigned int status)
{
	return outcome->verdict == VERDICT_NOT_RUN &&
	       (status == STATUS_UNAVAILABLE || status == STATUS_TOO_MANY);
}

static char *refusal_body(const struct call_outcome *outcome, const char *text)
{
	json_t *body = json_pack(
		"{s:s, s:s, s:s}", "error", call_reason_name(outcome->reason),
		"verdict", verdict_name(outcome->verdict), "text",
		text ? text : call_reason_text(outcome->reason));
	char *bytes = json_dumps(body, JSON_COMPACT);

	json_decref(body);
	return bytes;
}

static unsigned int status_of(const struct call_names *names,
			      const struct call_outcome *outcome)
{
	if (outcome->reason == CALL_DEADLINE &&
	    outcome->verdict == VERDICT_NOT_RUN)
		return names->deadline_status;
	return call_reason_status(outcome->reason, outcome->verdict);
}

static void write_seconds(char text[NUMBER_SIZE], uint32_t wait_ms,
			  bool fractional)
{
	if (fractional)
		snprintf(text, NUMBER_SIZE, "%u.%03u", wait_ms / MS_PER_S,
			 wait_ms % MS_PER_S);
	else
		snprintf(text, NUMBER_SIZE, "%u",
			 (wait_ms + MS_PER_S - 1) / MS_PER_S);
}

void reply_refusal(struct http_exchange *exchange,
		   const struct call_names *names,
		   const struct call_outcome *outcome, const char *request_id,
		   const char *text)
{
	struct http_header headers[NODE_HEADERS_MAX];
	unsigned int status = status_of(names, outcome);
	uint32_t wait_ms = outcome->retry_after_ms ? outcome->retry_after_ms
						   : RETRY_AFTER_DEFAULT_MS;
	char wait_ms_text[NUMBER_SIZE];
	char wait_s_text[NUMBER_SIZE];
	char *body = refusal_body(outcome, text);
	size_t count = 0;

	add(headers, &count, "Content-Type", "application/json");
	add(headers, &count, names->verdict, verdict_name(outcome->verdict));
	add(headers, &count, names->reason, call_reason_name(outcome->reason));
	if (*request_id)
		add(headers, &count, names->request_id, request_id);
	if (status == STATUS_UNAUTHORIZED)
		add(headers, &count, "WWW-Authenticate", names->key_scheme);
	if (may_retry(outcome, status)) {
		snprintf(wait_ms_text, sizeof(wait_ms_text), "%u", wait_ms);
		write_seconds(wait_s_text, wait_ms,
			      names->fractional_retry_after);
		add(headers, &count, names->retry_after_ms, wait_ms_text);
		add(headers, &count, "Retry-After", wait_s_text);
	}
	http_exchange_reply(exchange, status, headers, count, body,
			    body ? strlen(body) : 0);
	free(body);
}
