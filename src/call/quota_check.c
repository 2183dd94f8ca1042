#include "call/quota_check.h"

#include "base/usage.h"
#include "os/clock.h"

enum {
	/* A call waits for a token at most for this part of the time until it
	 * is due, or until its deadline. */
	WAIT_PART = 4,
	WAIT_MAX_US = 500 * 1000,
};

static int64_t wait_us(const struct call *call)
{
	int64_t now_us = loop_now_us(call->caller->options.loop);
	int64_t end_us = call->parsed.context.deadline_us;
	int64_t wait_us;

	if (call->placement.due_us && call->placement.due_us < end_us)
		end_us = call->placement.due_us;
	wait_us = (end_us - now_us) / WAIT_PART;
	if (wait_us < 0)
		return 0;
	return wait_us < WAIT_MAX_US ? wait_us : WAIT_MAX_US;
}

static void refuse(struct call *call)
{
	if (call->match.tenant)
		usage_add(call->match.tenant->name, USAGE_REFUSED);
	call->refusal.reason = CALL_QUOTA;
	call->refusal.retry_after_ms = call->quota.request.retry_after_ms;
	call_step_reason(call, ATTEMPT_EVENT_GIVE_UP, CALL_QUOTA);
}

static void ended(struct quota_wait *wait, void *data)
{
	struct call *call = data;

	if (wait->request.result == QUOTA_REFUSED) {
		refuse(call);
		return;
	}
	call->has_token = true;
	call_begin_attempt(call);
}

bool quota_check_begin(struct call *call)
{
	struct quota_net *quota = call->caller->options.quota;
	const struct call_context *context = &call->parsed.context;

	/* The call of an upstream comes by a public route and serves a request
	 * that has its token. With a key, the field of any caller could name
	 * hops. */
	if (!quota || (context->hops && call->match.is_public))
		return true;
	call->quota.ended = ended;
	call->quota.data = call;
	switch (quota_net_take(quota, context->tenant, &call->quota,
			       wait_us(call))) {
	case QUOTA_GRANTED:
		call->has_token = true;
		return true;
	case QUOTA_REFUSED:
		refuse(call);
		return false;
	case QUOTA_WAITING:
		break;
	}
	return false;
}

void quota_check_not_run(struct call *call)
{
	if (call->has_token)
		quota_net_give_back(call->caller->options.quota, &call->quota);
	call->has_token = false;
}

void quota_check_finish(struct call *call)
{
	if (call->caller->options.quota)
		quota_net_cancel(call->caller->options.quota, &call->quota);
}
