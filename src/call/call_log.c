#include "call/call_log.h"

#include "base/latency.h"
#include "base/log.h"
#include "os/clock.h"

static const char component[] = "call";

enum { STATUS_OK = 200, STATUS_MULTIPLE_CHOICES = 300 };

/* Returns true for a call that succeeded in time at its first attempt. */
static bool is_ordinary(const struct call *call, uint32_t status)
{
	int64_t now_us = loop_now_us(call->caller->options.loop);

	return status >= STATUS_OK && status < STATUS_MULTIPLE_CHOICES &&
	       call->call_attempts.attempt_count == 1 &&
	       call->placement.pass <= PLACEMENT_IN_TIME &&
	       (!call->placement.due_us || now_us <= call->placement.due_us);
}

static void count_time(const struct call *call, const char *outcome,
		       int64_t took_us)
{
	const char *service = call->parsed.service;

	latency_add(LATENCY_TOTAL, service, outcome, took_us);
	latency_add(LATENCY_ADDED, service, outcome,
		    took_us - call->answer.service_us);
}

/* Returns how late the call is in microseconds; 0: in time, or no due time. */
static int64_t late_us(const struct call *call, int64_t now_us)
{
	int64_t due_us = call->placement.due_us;

	return due_us && now_us > due_us ? now_us - due_us : 0;
}

void call_log_end(const struct call *call, const char *end,
		  enum verdict verdict, uint32_t status)
{
	int64_t now_us = clock_monotonic_us();
	const struct call_context *context = &call->parsed.context;
	int64_t stopping_us = call->caller->stopping_us;
	char content[FINGERPRINT_TEXT_SIZE];
	const struct log_field fields[] = {
		LOG_TEXT("request", context->request_id),
		LOG_TEXT("end", end),
		LOG_TEXT("verdict", verdict_name(verdict)),
		LOG_NUMBER("status", status),
		LOG_TEXT("service", call->parsed.service),
		LOG_TEXT("kind", context->kind),
		LOG_TEXT("tenant", call_tenant_name(call)),
		LOG_TEXT("content",
			 fingerprint_text(call->fingerprint.content, content)),
		LOG_NUMBER("version", (int64_t)call->config->version),
		LOG_NUMBER("took_ms", (now_us - call->started_us) / US_PER_MS),
		LOG_NUMBER("upstream_ms", call->answer.service_us / US_PER_MS),
		LOG_NUMBER("late_ms", late_us(call, now_us) / US_PER_MS),
		LOG_NUMBER("left_ms",
			   (context->deadline_us - now_us) / US_PER_MS),
		LOG_TEXT("pass", placement_pass_name(call->placement.pass)),
		LOG_NUMBER("tries", call->call_attempts.attempt_count),
		LOG_TEXT("tried", call->trace.text),
		LOG_NUMBER("retry_tokens", (int64_t)retry_budget_available(
						   &call->match.pool->budget)),
		LOG_NUMBER("upstreams", call->match.pool->count),
		LOG_NUMBER("stopping_ms", (now_us - stopping_us) / US_PER_MS),
	};
	size_t count = sizeof(fields) / sizeof(fields[0]);

	log_request(is_ordinary(call, status) ? LOG_ORDINARY : LOG_OUTCOME,
		    component, "call", fields, stopping_us ? count : count - 1);
	count_time(call, call_outcome_name(end, status),
		   now_us - call->started_us);
}
