#include "base/counter.h"
#include "base/log.h"
#include "call/inbound.h"
#include "os/clock.h"

/* Log lines about attempts at the own upstream. */

static const char component[] = "call";

COUNTER(aborted, "call.broken_off",
	"Calls ended by this side while the upstream worked on them");

enum { STATUS_SERVER_ERROR = 500 };

static int64_t now(const struct server *server)
{
	return loop_now_us(server->options.loop);
}

const char *inbound_end_name(const struct call_outcome *outcome)
{
	return outcome->reason == CALL_REASON_NONE
		       ? CALL_ANSWERED
		       : call_reason_name(outcome->reason);
}

/* Returns the time until the deadline. */
static int64_t deadline_left_ms(const struct inbound *inbound)
{
	return (inbound->context.deadline_us - now(inbound->server)) /
	       US_PER_MS;
}

static const char *content_text(const struct inbound *inbound,
				char text[FINGERPRINT_TEXT_SIZE])
{
	return fingerprint_text(inbound->fingerprint.content, text);
}

/* Returns whether the answer named the request; NULL if none was asked to. */
static const char *named_text(const struct call_names *names,
			      const struct http_answer *answer)
{
	if (!names->passes_request_id || answer->delivery != HTTP_ANSWERED)
		return NULL;
	return answer->names_request ? "yes" : "no";
}

/* Logs an attempt that was sent to the upstream. */
void inbound_log_served(const struct inbound *inbound,
			const struct upstream_result *result,
			const struct http_answer *answer, int64_t took_us)
{
	const struct server *server = inbound->server;
	const struct gate_request *gate = &inbound->gate;
	bool well = result->answered && answer->status < STATUS_SERVER_ERROR;
	char content[FINGERPRINT_TEXT_SIZE];
	const struct log_field fields[] = {
		LOG_TEXT("request", inbound->context.request_id),
		LOG_TEXT("from", inbound->peer ? link_name(&inbound->peer->link)
					       : "lost"),
		LOG_NUMBER("attempt", (int64_t)inbound->id.sequence),
		LOG_TEXT("start", server->upstream_id),
		LOG_TEXT("end", inbound_end_name(&result->outcome)),
		LOG_TEXT("verdict", verdict_name(result->outcome.verdict)),
		LOG_TEXT("proof", call_proof_name(result->proof)),
		LOG_NUMBER("status", answer->status),
		LOG_TEXT("named", named_text(server->options.names, answer)),
		LOG_TEXT("text", result->answered ? NULL : answer->err->text),
		LOG_TEXT("kind", inbound->context.kind),
		LOG_TEXT("content", content_text(inbound, content)),
		LOG_NUMBER("queued_ms",
			   (gate->started_us - gate->arrived_us) / US_PER_MS),
		LOG_NUMBER("upstream_ms", took_us / US_PER_MS),
		LOG_NUMBER("left_ms", deadline_left_ms(inbound)),
		LOG_TEXT("connection", answer->reused ? "kept" : "new"),
		LOG_NUMBER("connection_number", answer->connection),
		LOG_NUMBER("running", server->options.gate->running_count),
		LOG_NUMBER("waiting", server->options.gate->waiting_count),
		LOG_NUMBER("limit",
			   gate_limit(server->options.gate, now(server))),
		LOG_NUMBER("work_pct",
			   gate_work_pct(server->options.gate, now(server))),
	};

	log_request(well ? LOG_ORDINARY : LOG_ATTEMPT, component, "served",
		    fields, sizeof(fields) / sizeof(fields[0]));
}

/* Logs an attempt that this node aborted while the upstream ran it. The reason
 * "deadline" with much time left, or "cancelled" without a caller that hung up
 * and without the end of a drain, shows a fault of this node. */
void inbound_log_aborted(const struct inbound *inbound,
			 const struct call_outcome *outcome, int64_t took_us)
{
	const struct gate_request *gate = &inbound->gate;
	char content[FINGERPRINT_TEXT_SIZE];
	const struct log_field fields[] = {
		LOG_TEXT("request", inbound->context.request_id),
		LOG_NUMBER("attempt", (int64_t)inbound->id.sequence),
		LOG_TEXT("start", inbound->server->upstream_id),
		LOG_TEXT("end", inbound_end_name(outcome)),
		LOG_TEXT("verdict", verdict_name(outcome->verdict)),
		LOG_TEXT("kind", inbound->context.kind),
		LOG_TEXT("content", content_text(inbound, content)),
		LOG_NUMBER("queued_ms",
			   (gate->started_us - gate->arrived_us) / US_PER_MS),
		LOG_NUMBER("upstream_ms", took_us / US_PER_MS),
		LOG_NUMBER("left_ms", deadline_left_ms(inbound)),
	};

	counter_add(&aborted, 1);
	log_request(LOG_ATTEMPT, component, "broken_off", fields,
		    sizeof(fields) / sizeof(fields[0]));
}

/* Logs an attempt that was not sent to the upstream. */
void inbound_log_not_run(const struct inbound *inbound,
			 const struct call_outcome *outcome)
{
	const struct gate *gate = inbound->server->options.gate;
	const struct log_field fields[] = {
		LOG_TEXT("request", inbound->context.request_id),
		LOG_TEXT("from", inbound->peer ? link_name(&inbound->peer->link)
					       : "lost"),
		LOG_NUMBER("attempt", (int64_t)inbound->id.sequence),
		LOG_TEXT("end", inbound_end_name(outcome)),
		LOG_TEXT("verdict", verdict_name(outcome->verdict)),
		LOG_TEXT("kind", inbound->context.kind),
		LOG_NUMBER("back_in_ms", outcome->retry_after_ms),
		LOG_NUMBER("running", gate->running_count),
		LOG_NUMBER("waiting", gate->waiting_count),
		LOG_NUMBER("limit", gate_limit(gate, now(inbound->server))),
		LOG_NUMBER("work_pct",
			   gate_work_pct(gate, now(inbound->server))),
		LOG_NUMBER("due_in_ms",
			   (inbound->gate.deadline_us - now(inbound->server)) /
				   US_PER_MS),
	};

	log_request(LOG_ATTEMPT, component, "turned_away", fields,
		    sizeof(fields) / sizeof(fields[0]));
}
