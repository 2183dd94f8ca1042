#ifndef CALL_CALL_DEFS_H
#define CALL_CALL_DEFS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/verdict.h"
#include "gate/gate.h"
#include "http/head.h"
#include "profile/profile.h"

/**
 * DOC: call types
 *
 * Definitions shared by the inbound and the outbound side of a call: the
 * identity of an attempt, the context that a call propagates to the calls it
 * causes, and the reasons for which a call can end without an answer.
 */

enum {
	CALL_HOPS_MAX = 16, /* chains of calls are up to 15 deep */
	CALL_ATTEMPTS_MAX = 16,
	CALL_DEADLINE_MAX_MS = 10 * 60 * 1000,
	CALL_WEIGHT_MAX = KIND_WEIGHT_MAX,
	CALL_PART_BYTES = 64 * 1024,
	/* Frames carry whatever the HTTP client and server accept, and what a
	 * node adds. */
	CALL_HEADERS_MAX = HTTP_FIELDS_MAX + 8,
	CALL_HEADERS_MAX_BYTES = HTTP_FIELDS_MAX_BYTES + 1024,
	CALL_TARGET_SIZE = 8 * 1024,
	REQUEST_ID_SIZE = 64,
	UPSTREAM_ID_SIZE = 64,
};

#define HEADER_PREFIX "Geraniumplank-"
#define HEADER_SERVICE HEADER_PREFIX "Service"
#define HEADER_TENANT HEADER_PREFIX "Tenant"
#define HEADER_DEADLINE HEADER_PREFIX "Deadline-Ms"
#define HEADER_WEIGHT HEADER_PREFIX "Weight"
#define HEADER_ATTEMPTS HEADER_PREFIX "Attempts"
#define HEADER_HOPS HEADER_PREFIX "Hops"
#define HEADER_KIND HEADER_PREFIX "Kind"
#define HEADER_REQUEST_ID HEADER_PREFIX "Request-Id"
#define HEADER_VERDICT HEADER_PREFIX "Verdict"
#define HEADER_REASON HEADER_PREFIX "Reason"
#define HEADER_UPSTREAM HEADER_PREFIX "Upstream"
#define HEADER_RETRY_AFTER_MS HEADER_PREFIX "Retry-After-Ms"
#define HEADER_SHED HEADER_PREFIX "Shed"
#define HEADER_RATE_LIMIT HEADER_PREFIX "Rate-Limit"
#define HEADER_LEAVING HEADER_PREFIX "Leaving"

/**
 * struct call_id - identity of one attempt of a call
 * @incarnation: incarnation of the node beside the caller
 * @sequence: number given by that node; unique within its incarnation
 */
struct call_id {
	uint64_t incarnation;
	uint64_t sequence;
};

static inline bool call_id_equal(struct call_id a, struct call_id b)
{
	return a.incarnation == b.incarnation && a.sequence == b.sequence;
}

/** enum call_reason - why a call has no answer of an upstream. */
enum call_reason {
	CALL_REASON_NONE,
	CALL_BAD_REQUEST,     /* the request is malformed */
	CALL_BAD_METHOD,      /* the HTTP method is not supported */
	CALL_NO_ROUTE,	      /* no service, profile or kind matches */
	CALL_NO_CONFIG,	      /* no configuration is in force */
	CALL_NO_UPSTREAM,     /* no upstream of the service can take work */
	CALL_HOPS,	      /* the chain of calls is too long */
	CALL_OVERLOAD,	      /* this node holds too many calls or bytes */
	CALL_DRAINING,	      /* this node is stopping */
	CALL_GATE_CLOSED,     /* the upstream does not take requests */
	CALL_GATE_LEAVING,    /* the upstream is leaving */
	CALL_GATE_FULL,	      /* the queue at the upstream is full */
	CALL_GATE_LATE,	      /* no answer is possible before the deadline */
	CALL_GATE_SHARE,      /* the tenant or kind is over its share */
	CALL_GATE_BUSY,	      /* the wait would exceed wait_max_us */
	CALL_SHED,	      /* the upstream rejected the request unrun */
	CALL_DEADLINE,	      /* the deadline passed */
	CALL_CANCELLED,	      /* caller hung up, or the drain time ended */
	CALL_UPSTREAM_FAILED, /* the upstream sent no complete answer */
	CALL_PEER_LOST,	      /* the node beside the upstream was lost */
	CALL_WRONG_SERVICE,   /* that node serves another service now */
	CALL_NEVER_SEEN,      /* query: the request had not arrived */
	CALL_FORGOTTEN,	      /* query: the record of the attempt is gone */
	CALL_ANSWER_LOST,     /* query: it ran, the answer is not stored */
	CALL_UPSTREAM_ERROR,  /* the upstream answered with an error */
	CALL_QUARANTINED,     /* the request crashes upstreams */
	CALL_UNAUTHORIZED,    /* no key, or one that no tenant has */
	CALL_QUOTA,	      /* the tenant is over its limit */
	CALL_HOLDS_OTHERS,    /* answers behind it on its connection wait */
	CALL_ROUTE_CLOSED,    /* the route rejects all requests */
	CALL_REASONS,
};

/**
 * struct call_outcome - how an attempt ended without an answer
 * @verdict: whether the upstream ran the request
 * @reason: why there is no answer
 * @retry_after_ms: milliseconds after which a retry can succeed; 0: unknown
 */
struct call_outcome {
	enum verdict verdict;
	enum call_reason reason;
	uint32_t retry_after_ms;
};

/** CALL_ANSWERED - used in place of a reason name for answered calls. */
#define CALL_ANSWERED "answered"

/** call_reason_name() - stable name, for headers, logs and counters. */
const char *call_reason_name(enum call_reason reason);

/**
 * call_outcome_name() - name of the end of a call, for metrics
 * @end: CALL_ANSWERED, or the name of a reason
 * @status: HTTP status of the upstream's answer
 *
 * Return: "1xx" to "5xx" for an answer with such a status, otherwise @end.
 */
const char *call_outcome_name(const char *end, uint32_t status);

/** call_reason_text() - description of the reason, for people. */
const char *call_reason_text(enum call_reason reason);

/** call_reason_status() - HTTP status for a reason and a verdict. */
unsigned int call_reason_status(enum call_reason reason, enum verdict verdict);

/** call_reason_of_gate() - convert a refusal of the gate to a reason. */
enum call_reason call_reason_of_gate(enum gate_refusal refusal);

/**
 * struct call_context - what a call propagates to the calls that it causes
 * @deadline_us: deadline in microseconds, on the monotonic clock of the process
 *	that holds the struct
 * @weight: weight of the request, for gates that share slots by weight
 * @attempts: attempts that may still be made after the current one
 * @hops: number of calls above this call in its chain
 * @tenant: client account that the call is made for
 * @rank: rank of the request before that of its weight, 0 first;
 *	TENANT_PRIORITY_NONE: none
 * @kind: name of the kind of request
 * @request_id: identifier of the request, the same in the whole chain
 */
struct call_context {
	int64_t deadline_us;
	double weight;
	uint32_t attempts;
	uint32_t hops;
	char tenant[TENANT_SIZE];
	int64_t rank;
	char kind[KIND_NAME_SIZE];
	char request_id[REQUEST_ID_SIZE];
};

#endif
