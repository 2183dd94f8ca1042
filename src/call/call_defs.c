#include "call/call_defs.h"

#include <string.h>

enum {
	STATUS_TOO_MANY = 429,
	STATUS_BAD_GATEWAY = 502,
	STATUS_UNAVAILABLE = 503,
};

struct reason_text {
	const char *name;
	unsigned int status;
	const char *text;
};

static const struct reason_text reasons[CALL_REASONS] = {
	[CALL_REASON_NONE] = { "none", 502, "no reason was given" },
	[CALL_BAD_REQUEST] = { "bad-request", 400,
			       "the request breaks a rule of this interface" },
	[CALL_BAD_METHOD] = { "bad-method", 501, "this method is not carried" },
	[CALL_NO_ROUTE] = { "no-route", 404,
			    "no route matches service, method and path" },
	[CALL_NO_CONFIG] = { "no-config", 503,
			     "this node has no configuration yet" },
	[CALL_NO_UPSTREAM] = { "no-upstream", 503,
			       "no upstream of the service can take work" },
	[CALL_HOPS] = { "hops", 508, "the chain of calls is too long" },
	[CALL_OVERLOAD] = { "overload", 503,
			    "this node holds as many calls as it may" },
	[CALL_DRAINING] = { "draining", 503, "this node is stopping" },
	[CALL_GATE_CLOSED] = { "closed", 503, "the upstream does not serve" },
	[CALL_GATE_LEAVING] = { "leaving", 503, "the upstream is leaving" },
	[CALL_GATE_FULL] = { "full", 503, "the queue at the upstream is full" },
	[CALL_GATE_LATE] = { "late", 503,
			     "no answer is possible before the deadline" },
	[CALL_GATE_SHARE] = { "share", 429,
			      "the tenant or kind has more than its share" },
	[CALL_GATE_BUSY] = { "busy", 503, "no slot of the upstream is free" },
	[CALL_SHED] = { "shed", 503, "the upstream sheds load" },
	[CALL_DEADLINE] = { "deadline", 504, "the deadline has passed" },
	[CALL_CANCELLED] = { "cancelled", 503, "the call was cancelled" },
	[CALL_UPSTREAM_FAILED] = { "upstream-failed", 502,
				   "the upstream gave no whole answer" },
	[CALL_PEER_LOST] = { "peer-lost", 502,
			     "the node beside the upstream was lost" },
	[CALL_WRONG_SERVICE] = { "wrong-service", 503,
				 "the chosen node serves another service" },
	[CALL_NEVER_SEEN] = { "never-seen", 502,
			      "the request had not arrived when asked about" },
	[CALL_FORGOTTEN] = { "forgotten", 502,
			     "the request had left the memory there" },
	[CALL_ANSWER_LOST] = { "answer-lost", 502,
			       "the request ran, its answer is not kept" },
	[CALL_UPSTREAM_ERROR] = { "upstream-error", 502,
				  "the upstream answered with a failure" },
	[CALL_QUARANTINED] = { "quarantined", 503,
			       "the upstreams that ran this request crashed" },
	[CALL_UNAUTHORIZED] = { "unauthorized", 401,
				"the request needs a key of a tenant" },
	[CALL_QUOTA] = { "quota", 429, "the tenant is over its limit" },
	[CALL_HOLDS_OTHERS] = { "holds-others", 504,
				"answers behind it on its connection waited" },
	[CALL_ROUTE_CLOSED] = { "route-closed", 503,
				"the route names no usable service" },
};

const char *call_reason_name(enum call_reason reason)
{
	return reasons[reason].name;
}

const char *call_outcome_name(const char *end, uint32_t status)
{
	static const char *const classes[] = { "1xx", "2xx", "3xx", "4xx",
					       "5xx" };
	uint32_t class = status / 100;

	if (strcmp(end, CALL_ANSWERED) != 0 || class < 1 || class > 5)
		return end;
	return classes[class - 1];
}

const char *call_reason_text(enum call_reason reason)
{
	return reasons[reason].text;
}

unsigned int call_reason_status(enum call_reason reason, enum verdict verdict)
{
	unsigned int status = reasons[reason].status;

	/* Callers retry after 503 and 429. A retry is safe only if the request
	 * did not run. */
	if (verdict == VERDICT_NOT_RUN)
		return status == STATUS_BAD_GATEWAY ? STATUS_UNAVAILABLE
						    : status;
	return status == STATUS_UNAVAILABLE || status == STATUS_TOO_MANY
		       ? STATUS_BAD_GATEWAY
		       : status;
}

enum call_reason call_reason_of_gate(enum gate_refusal refusal)
{
	switch (refusal) {
	case GATE_REFUSED_NONE:
		break;
	case GATE_REFUSED_CLOSED:
		return CALL_GATE_CLOSED;
	case GATE_REFUSED_LEAVING:
		return CALL_GATE_LEAVING;
	case GATE_REFUSED_FULL:
		return CALL_GATE_FULL;
	case GATE_REFUSED_LATE:
		return CALL_GATE_LATE;
	case GATE_REFUSED_SHARE:
		return CALL_GATE_SHARE;
	case GATE_REFUSED_BUSY:
		return CALL_GATE_BUSY;
	}
	return CALL_REASON_NONE;
}
