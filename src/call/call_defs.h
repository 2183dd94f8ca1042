#ifndef CALL_CALL_DEFS_H
#define CALL_CALL_DEFS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/verdict.h"
#include "gate/gate.h"
#include "profile/profile.h"

/**
 * DOC: call types
 *
 * What both sides of a call share: its identity, the terms that it carries
 * down the chain and the reasons for which it may end without an answer.
 */

enum {
	CALL_HOPS_MAX = 16, /* chains are up to 15 deep */
	CALL_ATTEMPTS_MAX = 16,
	CALL_DEADLINE_MAX_MS = 10 * 60 * 1000,
	CALL_WEIGHT_MAX = KIND_WEIGHT_MAX,
	CALL_PART_BYTES = 64 * 1024,
	CALL_HEADERS_MAX = 64,
	CALL_HEADERS_MAX_BYTES = 16 * 1024,
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

/**
 * struct call_id - one attempt of one call
 * @incarnation: of the node on the caller's side
 * @sequence: counted by that node, never used again
 */
struct call_id {
	uint64_t incarnation;
	uint64_t sequence;
};

static inline bool call_id_equal(struct call_id a, struct call_id b)
{
	return a.incarnation == b.incarnation && a.sequence == b.sequence;
}

/** enum call_reason - why there is no answer of the upstream. */
enum call_reason {
	CALL_REASON_NONE,
	CALL_BAD_REQUEST,     /* the request breaks a rule */
	CALL_BAD_METHOD,      /* a method that is not carried */
	CALL_NO_ROUTE,	      /* service, profile or kind is not known here */
	CALL_NO_CONFIG,	      /* no configuration is in force yet */
	CALL_NO_UPSTREAM,     /* no upstream of the service can take work */
	CALL_HOPS,	      /* the chain of calls is too long */
	CALL_OVERLOAD,	      /* this node holds too many calls or bytes */
	CALL_DRAINING,	      /* this node is stopping */
	CALL_GATE_CLOSED,     /* the upstream does not serve */
	CALL_GATE_LEAVING,    /* the upstream is leaving */
	CALL_GATE_FULL,	      /* the queue at the upstream is full */
	CALL_GATE_LATE,	      /* no answer before the deadline possible */
	CALL_GATE_SHARE,      /* the tenant or kind is over its share */
	CALL_GATE_BUSY,	      /* it would wait there; others may have room */
	CALL_SHED,	      /* the upstream refused and proved it */
	CALL_DEADLINE,	      /* the deadline passed */
	CALL_CANCELLED,	      /* the caller hung up, or the drain time ended */
	CALL_UPSTREAM_FAILED, /* the upstream gave no whole answer */
	CALL_PEER_LOST,	      /* the node beside the upstream was lost */
	CALL_WRONG_SERVICE,   /* that node no longer serves this service */
	CALL_NEVER_SEEN,      /* asked about: it had not arrived */
	CALL_FORGOTTEN,	      /* asked about: fallen out of memory */
	CALL_ANSWER_LOST,     /* it ran, its answer is no longer kept */
	CALL_UPSTREAM_ERROR,  /* the upstream answered with a failure */
	CALL_REASONS,
};

/**
 * struct call_outcome - how an attempt ended without an answer
 * @retry_after_ms: when to come back, 0 if nothing is known
 */
struct call_outcome {
	enum verdict verdict;
	enum call_reason reason;
	uint32_t retry_after_ms;
};

/** CALL_ANSWERED - stands for the name of a reason where there was an answer. */
#define CALL_ANSWERED "answered"

/** call_reason_name() - the stable name, for headers, logs and counters. */
const char *call_reason_name(enum call_reason reason);

/**
 * call_outcome_name() - how a request ended, for metrics
 * @end: CALL_ANSWERED, or the name of a reason
 * @status: of the upstream's answer
 *
 * Return: "2xx" to "5xx" for answers, else @end.
 */
const char *call_outcome_name(const char *end, uint32_t status);

/** call_reason_text() - one sentence for people. */
const char *call_reason_text(enum call_reason reason);

/** call_reason_status() - the HTTP status that goes with it. */
unsigned int call_reason_status(enum call_reason reason, enum verdict verdict);

/** call_reason_of_gate() - a refusal of the gate as a reason. */
enum call_reason call_reason_of_gate(enum gate_refusal refusal);

/**
 * struct call_context - what a call carries down the chain
 * @deadline_us: monotonic, of the process that holds it
 * @attempts: tries left after the present one
 * @hops: calls above this one
 */
struct call_context {
	int64_t deadline_us;
	double weight;
	uint32_t attempts;
	uint32_t hops;
	char tenant[TENANT_SIZE];
	char kind[KIND_NAME_SIZE];
	char request_id[REQUEST_ID_SIZE];
};

#endif
