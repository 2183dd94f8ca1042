#ifndef GATE_GATE_H
#define GATE_GATE_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

#include "gate/limit.h"
#include "profile/profile.h"

/**
 * DOC: gate
 *
 * Admission to the upstream beside this node: how many requests run at once,
 * which wait, in which order they go in, and which are refused at once. A
 * request that was refused or is still waiting has certainly not run.
 * Decision core: the caller owns the requests and passes the time in.
 *
 * After each event (an offer, an end, a cancel, a change of state or slots,
 * the time of gate_wake_us()) the owner calls gate_next_refused() until it
 * returns NULL and answers each request it got with its refusal, then calls
 * gate_next() until it returns NULL and starts each request it got.
 */

enum { TENANT_SIZE = 64, GATE_CLASSES_MAX = 64, GATE_TENANTS_MAX = 256 };

/** enum gate_state - what the upstream beside can take. */
enum gate_state {
	GATE_CLOSED, /* no upstream, or not serving yet */
	GATE_OPEN,
	GATE_LEAVING, /* no new work; what runs and waits ends whole */
};

/** enum gate_refusal - why a request was not let in. */
enum gate_refusal {
	GATE_REFUSED_NONE,
	GATE_REFUSED_CLOSED,
	GATE_REFUSED_LEAVING,
	GATE_REFUSED_FULL,  /* the queue of its kind is full */
	GATE_REFUSED_LATE,  /* cannot be answered before its deadline */
	GATE_REFUSED_SHARE, /* its tenant or kind has more than its share */
	GATE_REFUSED_BUSY,  /* it would wait longer than it wants to here */
};

/** enum gate_phase - where a request stands. */
enum gate_phase {
	GATE_IDLE, /* not at the gate: never offered, refused or ended */
	GATE_WAITING,
	GATE_RUNNING,
};

/** enum gate_decision - what became of an offer. */
enum gate_decision {
	GATE_ADMITTED, /* it runs now: start it */
	GATE_QUEUED,   /* gate_next() or gate_next_refused() will return it */
	GATE_REFUSED,  /* it did not run; @refusal says why */
};

/** enum gate_outcome - how a request that ran has ended. */
enum gate_outcome {
	GATE_OK,	/* answered, whatever the answer says */
	GATE_FAILED,	/* no whole answer: reset, closed */
	GATE_SHED,	/* the upstream turned it away: 503 or 429 */
	GATE_CANCELLED, /* given up by the caller: nothing to learn */
	GATE_TIMED_OUT, /* given up at its deadline: it takes longer than that */
	GATE_OUTCOMES,
};

/**
 * struct gate_request - one request at the gate; embed it in your own
 * @kind: name of its kind; requests share by weight between kinds
 * @tenant: who asks; requests share equally between tenants
 * @weight: of the request that it serves at the head of the chain
 * @queue_max: requests of its kind that may wait here; 0 for no such bound
 * @deadline_us: when its answer must leave here
 * @wait_max_us: longest wait that its caller prefers to looking elsewhere; 0:
 *	any that the deadline allows
 * @arrived_us: set by gate_offer()
 * @started_us: set when it begins to run
 * @refusal: why it was refused, after GATE_REFUSED or gate_next_refused()
 * @retry_after_ms: when to come back here, set together with @refusal; 0:
 *	never, go elsewhere
 * @charged_us: slot time that its level and tenant were charged for it
 * @class_index: the gate's; as are @tenant_index, @next and @prev
 * @user: for the owner
 */
struct gate_request {
	char kind[KIND_NAME_SIZE];
	char tenant[TENANT_SIZE];
	double weight;
	int64_t queue_max;
	int64_t deadline_us;
	int64_t wait_max_us;
	int64_t arrived_us;
	int64_t started_us;
	enum gate_phase phase;
	enum gate_refusal refusal;
	int64_t retry_after_ms;
	double charged_us;
	uint32_t class_index;
	uint32_t tenant_index;
	struct gate_request *next;
	struct gate_request *prev;
	void *user;
};

/**
 * struct gate_options - limits of one gate
 * @slots: requests that the upstream says it runs at once
 * @queue_max: waiting requests, all kinds together
 * @cold_start_us: time over which a new upstream gets its full concurrency
 * @fair: false: first come, first served, no early refusal; the baseline
 * @strict: a heavier weight always goes first, instead of having its share
 * @by_work: with @strict, weight over expected service time decides instead
 * @trust_slots: the announced slots are the limit; nothing is learned about it
 */
struct gate_options {
	uint32_t slots;
	uint32_t queue_max;
	int64_t cold_start_us;
	bool fair;
	bool strict;
	bool by_work;
	bool trust_slots;
};

/**
 * struct gate_level - all classes of one weight, which share as one
 * @tag: slot time received over weight; the least goes next
 *
 * Kinds of equal weight are one to the scheduler: otherwise a tenant would
 * double its share by sending two kinds.
 */
struct gate_level {
	double weight;
	double tag;
	uint32_t waiting_count;
	uint32_t running_count;
};

/**
 * struct gate_class - requests of one kind and weight
 * @level: index into the gate's levels
 * @waiting: by deadline, soonest first
 * @service_us: moving average of the upstream's service time
 * @spread_us: moving average of its distance from the average
 * @long_average_us: the same average over many more requests
 * @best_us: service time while not overloaded: follows shorter times soon,
 *	longer ones slowly; 0 until enough is known
 * @samples: fed to the averages so far, up to those that @long_average_us needs
 * @sample_at_us: when the averages were last fed; 0: never
 */
struct gate_class {
	char kind[KIND_NAME_SIZE];
	double weight;
	uint32_t level;
	struct gate_request *waiting;
	uint32_t waiting_count;
	uint32_t running_count;
	double service_us;
	double spread_us;
	double long_average_us;
	double best_us;
	uint32_t samples;
	int64_t sample_at_us;
};

/**
 * struct gate_tenant - what one tenant has had
 * @hash: of @name
 * @tag: slot time received; within a level the least goes next
 */
struct gate_tenant {
	char name[TENANT_SIZE];
	uint64_t hash;
	double tag;
	uint32_t waiting_count;
	uint32_t running_count;
};

/** struct gate_totals - counts since the start, for dumps and metrics. */
struct gate_totals {
	uint64_t admitted;
	uint64_t queued;
	uint64_t refused[GATE_REFUSED_BUSY + 1];
	uint64_t ended[GATE_OUTCOMES];
};

/** struct gate - see DOC; the members are private but for dumps. */
struct gate {
	struct gate_options options;
	enum gate_state state;
	struct limit limit;
	struct gate_level levels[GATE_CLASSES_MAX];
	uint32_t level_count;
	struct gate_class classes[GATE_CLASSES_MAX];
	uint32_t class_count;
	struct gate_tenant tenants[GATE_TENANTS_MAX];
	uint32_t tenant_count;
	double level_virtual_time; /* tag that a level starts from when it wakes
				    */
	double tenant_virtual_time; /* likewise for a tenant */
	double service_us;	    /* moving average over all classes */
	struct gate_request *running;
	struct gate_request *evicted; /* to be given out as expired */
	uint32_t running_count;
	uint32_t waiting_count;
	uint32_t background_count; /* running ones of weight 0 */
	double peak;		   /* most others that ran at once; fades */
	int64_t peak_at_us;
	struct gate_totals totals;
};

/** gate_init() - a closed gate; gate_set_state() opens it. */
void gate_init(struct gate *gate, const struct gate_options *options);

/** gate_finish() - nothing may run or wait any more. */
void gate_finish(struct gate *gate);

/**
 * gate_set_state() - the upstream beside has changed
 * @since_us: when it did; for GATE_OPEN the start of the cold start ramp, so
 *	an upstream that has served for long passes a time long ago
 *
 * GATE_CLOSED refuses what waits (by gate_next_refused()); GATE_LEAVING lets
 *what waits run.
 */
void gate_set_state(struct gate *gate, enum gate_state state, int64_t since_us);

/** gate_set_slots() - the upstream has announced another number. */
void gate_set_slots(struct gate *gate, uint32_t slots);

/** gate_set_cold_start() - a new profile gives another ramp. */
void gate_set_cold_start(struct gate *gate, int64_t cold_start_us);

/**
 * gate_offer() - a request has arrived
 * @request: kind, tenant, weight, queue_max and deadline_us are filled in;
 *	it must stay in place until it is refused, done or cancelled
 */
enum gate_decision gate_offer(struct gate *gate, struct gate_request *request,
			      int64_t now_us);

/**
 * gate_done() - a running request has ended
 * @service_us: how long the upstream took, without the wait here
 */
void gate_done(struct gate *gate, struct gate_request *request,
	       enum gate_outcome outcome, int64_t service_us, int64_t now_us);

/**
 * gate_cancel() - the caller has given the request up
 *
 * Allowed in any place. Of a running request this frees the slot, so the
 * owner calls it only once the upstream has let go of it.
 */
void gate_cancel(struct gate *gate, struct gate_request *request,
		 int64_t now_us);

/** gate_next() - the next waiting request, which runs from now on, or NULL. */
struct gate_request *gate_next(struct gate *gate, int64_t now_us);

/**
 * gate_next_refused() - the next waiting request that is refused now, or NULL
 *
 * It can no longer be met, or had to make room for one with a better claim,
 * or the gate has closed. @refusal and @retry_after_ms are set. Each refusal
 * is due as soon as it is known: a caller held until its deadline could not
 * try elsewhere.
 */
struct gate_request *gate_next_refused(struct gate *gate, int64_t now_us);

/** gate_wake_us() - when to look again without an event; INT64_MAX: never. */
int64_t gate_wake_us(const struct gate *gate, int64_t now_us);

/** gate_load() - (running + waiting) / slots, to carry back on answers. */
double gate_load(const struct gate *gate);

/** gate_limit() - requests that may run at once now. */
uint32_t gate_limit(const struct gate *gate, int64_t now_us);

/** gate_refusal_name() - the stable name, for answers and logs. */
const char *gate_refusal_name(enum gate_refusal refusal);

/** gate_state_name() - "closed", "open", "leaving". */
const char *gate_state_name(enum gate_state state);

/** gate_dump() - the state as JSON; owned by the caller. */
json_t *gate_dump(const struct gate *gate, int64_t now_us);

#endif
