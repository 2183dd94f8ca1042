#include <string.h>

#include "base/counter.h"
#include "base/log.h"
#include "call/inbound.h"
#include "call/upstream_load.h"
#include "os/clock.h"

/* What the end of an exchange shows about the upstream. */

static const char component[] = "call";

enum { STATUS_SERVER_ERROR = 500 };

COUNTER(bad_notices, "call.notices_invalid",
	"Answers with an unreadable limit or notice of leaving");

static int64_t now(const struct server *server)
{
	return loop_now_us(server->options.loop);
}

/*
 * Calls the callbacks if the answer shows that the upstream is gone or was
 * replaced. A killed upstream does not report its end, and its address may be
 * reused by another upstream. Without the callbacks each caller's node would
 * detect this only by failed attempts until the announcement expires.
 */
void upstream_run_callbacks(struct server *server,
			    const struct http_answer *answer)
{
	const struct call_names *names = server->options.names;
	const struct serve_callbacks *callbacks = &server->options.callbacks;
	const char *id =
		names->upstream_marker
			? http_answer_header(answer, names->upstream_marker)
			: NULL;

	if (answer->delivery != HTTP_NOT_SENT || answer->timed_out)
		crash_watch_reached(&server->crash_watch);
	else
		crash_watch_refused(&server->crash_watch);
	if (answer->delivery == HTTP_ANSWERED && names->wrong_target_status &&
	    answer->status == names->wrong_target_status && id &&
	    strcmp(id, server->upstream_id) &&
	    callbacks->on_incarnation_changed)
		callbacks->on_incarnation_changed(id, callbacks->data);
	if (server->notice.leaving && callbacks->on_leaving)
		callbacks->on_leaving(callbacks->data);
}

static void log_notice(const struct server *server,
		       const struct upstream_notice *notice)
{
	const struct upstream_notice *before = &server->notice;

	if (notice->has_rate_limit != before->has_rate_limit)
		log_info(component, "upstream_limit",
			 LOG_TEXT("start", server->upstream_id),
			 LOG_NUMBER("named", notice->has_rate_limit),
			 LOG_NUMBER("per_1000_s",
				    (int64_t)(notice->rate_limit_per_s *
					      MS_PER_S)));
	if (notice->leaving != before->leaving)
		log_info(component, "upstream_leaving",
			 LOG_TEXT("start", server->upstream_id),
			 LOG_NUMBER("told", notice->leaving));
}

/*
 * Applies the limit that an answer names, or its absence. An answer without one
 * ends the limit only if its request was sent after the last answer that named
 * it: answers on several connections overtake each other.
 */
static void apply_rate_limit(const struct inbound *inbound,
			     const struct upstream_notice *notice)
{
	struct server *server = inbound->server;
	struct gate *gate = server->options.gate;

	if (!server->options.keep_rate_limit)
		return;
	if (notice->has_rate_limit) {
		server->rate_limit_named_us = clock_monotonic_us();
		gate_set_rate_limit(gate, notice->rate_limit_per_s,
				    now(server));
	} else if (inbound->sent_us > server->rate_limit_named_us) {
		gate_clear_rate_limit(gate);
	}
}

/* Returns true if the answer comes from the present incarnation. An answer of
 * another one at its address, or of the former one, says nothing about it. */
static bool is_of_upstream(const struct inbound *inbound,
			   const struct http_answer *answer)
{
	const struct server *server = inbound->server;
	const struct call_names *names = server->options.names;

	return answer->delivery == HTTP_ANSWERED &&
	       inbound->sent_us >= server->upstream_since_us &&
	       (!names->wrong_target_status ||
		answer->status != names->wrong_target_status);
}

void upstream_observe_load(const struct inbound *inbound,
			   const struct http_answer *answer)
{
	const struct server *server = inbound->server;
	const char *name = server->options.names->load;
	struct upstream_load load;

	if (!server->options.by_speed || !name ||
	    !is_of_upstream(inbound, answer))
		return;
	if (upstream_load_parse(http_answer_header(answer, name), &load))
		gate_set_work_pct(server->options.gate, load.work_pct,
				  now(server));
}

/* Reads what the upstream says of itself in an answer. */
static void receive_notice(const struct inbound *inbound,
			   const struct upstream_result *result,
			   const struct http_answer *answer)
{
	struct server *server = inbound->server;
	const struct call_names *names = server->options.names;
	struct upstream_notice notice;
	struct error err = ERROR_INIT;

	if (result->gate_feedback == GATE_FAILED ||
	    !is_of_upstream(inbound, answer))
		return;
	if (!notice_read(names, answer, &notice, &err)) {
		counter_add(&bad_notices, 1);
		log_warn(component, "notice_refused",
			 LOG_TEXT("start", server->upstream_id),
			 LOG_TEXT("reason", err.text));
		return;
	}
	apply_rate_limit(inbound, &notice);
	/* An upstream that leaves does not come back in this incarnation. */
	notice.leaving = server->notice.leaving ||
			 (notice.leaving && server->options.heed_leaving);
	log_notice(server, &notice);
	server->notice = notice;
}

static void watch_for_crash(const struct inbound *inbound,
			    const struct upstream_result *result,
			    const struct http_answer *answer)
{
	struct server *server = inbound->server;

	if (result->answered)
		crash_watch_answered(&server->crash_watch,
				     &inbound->fingerprint, inbound->sent_us,
				     answer->status < STATUS_SERVER_ERROR);
	else if (answer->delivery == HTTP_MAY_BE_SENT && answer->timed_out)
		crash_watch_aborted(&server->crash_watch,
				    &inbound->fingerprint);
	else if (answer->delivery == HTTP_MAY_BE_SENT)
		crash_watch_lost(&server->crash_watch, &inbound->fingerprint,
				 inbound->sent_us);
}

void upstream_observe(const struct inbound *inbound,
		      const struct upstream_result *result,
		      const struct http_answer *answer)
{
	watch_for_crash(inbound, result, answer);
	receive_notice(inbound, result, answer);
}
