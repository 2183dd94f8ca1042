#ifndef GATE_GATE_H
#define GATE_GATE_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

#include "base/pace.h"
#include "gate/limit.h"
#include "gate/rate.h"
#include "profile/profile.h"

/**
 * DOC: gate
 *
 * Admission control for the local upstream of a node. The gate bounds how many
 * requests run concurrently, queues further requests, chooses the order in
 * which queued requests start, and refuses requests that cannot be served.
 * A request that was refused or is still queued has not run. The gate does no
 * I/O: the caller owns the requests and passes the current time in.
 *
 * After each event (an offer, the end or cancellation of a request, a change
 * of the state or the slots, the time returned by gate_wake_us()) the owner
 * calls gate_next_refused() until it returns NULL and reports the refusal of
 * each returned request, then calls gate_next() until it returns NULL and
 * starts each returned request.
 */

enum {
	GATE_CLASSES_MAX = 64,
	GATE_TENANTS_MAX = 256,
	/* Ranks from 0 to KIND_PRIORITY_MAX, and none. */
	GATE_RANKS = KIND_PRIORITY_MAX + 2,
};

/** enum gate_state - which requests the local upstream accepts. */
enum gate_state {
	GATE_CLOSED, /* there is no upstream, or it does not serve yet */
	GATE_OPEN,
	GATE_LEAVING, /* no new requests; queued and running ones complete */
};

/** enum gate_refusal - why a request was refused. */
enum gate_refusal {
	GATE_REFUSED_NONE,
	GATE_REFUSED_CLOSED,
	GATE_REFUSED_LEAVING,
	GATE_REFUSED_FULL,  /* the queue of the gate or of the class is full */
	GATE_REFUSED_LATE,  /* cannot be answered before its deadline */
	GATE_REFUSED_SHARE, /* its tenant or kind exceeds its fair share */
	GATE_REFUSED_BUSY,  /* the expected wait exceeds @wait_max_us */
};

/** enum gate_phase - the phase of a request at the gate. */
enum gate_phase {
	GATE_IDLE, /* never offered, refused or ended */
	GATE_WAITING,
	GATE_RUNNING,
};

/** enum gate_decision - the result of gate_offer(). */
enum gate_decision {
	GATE_ADMITTED, /* the request runs from now on: start it */
	GATE_QUEUED, /* a later gate_next() or gate_next_refused() returns it */
	GATE_REFUSED, /* the request did not run; @refusal holds the reason */
};

/** enum gate_outcome - how a request that ran has ended. */
enum gate_outcome {
	GATE_OK,	/* complete answer, whatever its status */
	GATE_FAILED,	/* no complete answer: reset or closed connection */
	GATE_SHED,	/* rejected by the upstream with 503 or 429 */
	GATE_CANCELLED, /* cancelled by the caller; updates no estimate */
	GATE_TIMED_OUT, /* ended at its deadline, before the answer */
	GATE_OUTCOMES,
};

/**
 * struct gate_request - one request at the gate; embed it in your own struct
 * @kind: name of the kind; kinds share the slots in proportion to @weight
 * @tenant: name of the tenant; tenants share the slots equally
 * @rank: in a strict gate, requests of a lower rank start first, whatever their
 *	weight; those with TENANT_PRIORITY_NONE last
 * @weight: weight of the request at the head of the call chain that this
 *	request serves; 0: background
 * @queue_max: upper bound of queued requests of its class; 0: no such bound
 * @deadline_us: time by which the answer must leave this node
 * @wait_max_us: longest wait that the caller prefers to a refusal; 0: any
 *	wait that the deadline allows
 * @arrived_us: time of the offer, set by gate_offer()
 * @started_us: time at which the request began to run, set by the gate
 * @phase: phase of the request, set by the gate
 * @refusal: reason of the refusal, set when gate_offer() returns GATE_REFUSED
 *	or gate_next_refused() returns the request
 * @retry_after_ms: delay before a retry at this gate, set together with
 *	@refusal; 0: do not retry here
 * @charged_us: slot time charged to its level and tenant when it started
 * @class_index: index into the gate's classes, set by the gate
 * @tenant_index: index into the gate's tenants, set by the gate
 * @next: links of the gate's lists, as is @prev
 * @user: for the owner of the request
 */
struct gate_request {
	char kind[KIND_NAME_SIZE];
	char tenant[TENANT_SIZE];
	int64_t rank;
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
 * struct gate_options - settings of one gate
 * @slots: number of requests that the upstream announces it runs concurrently
 * @queue_max: upper bound of queued requests of all kinds
 * @cold_start_us: duration of the ramp to the full concurrency of a new
 *	upstream
 * @fair: false: first come, first served, without early refusal (the baseline
 *	of comparisons)
 * @strict: strict priority: a greater weight always starts first, instead of
 *	sharing the slots in proportion to the weights
 * @by_work: with @strict, the priority is the weight over the expected service
 *	time
 * @trust_slots: the limit is always @slots; no lower limit is learned
 * @start_after_leaving_us: time from the start of GATE_LEAVING during which
 *	queued requests may start; 0: without a bound
 */
struct gate_options {
	uint32_t slots;
	uint32_t queue_max;
	int64_t cold_start_us;
	bool fair;
	bool strict;
	bool by_work;
	bool trust_slots;
	int64_t start_after_leaving_us;
};

/**
 * struct gate_level - all classes of one weight, which are scheduled as one
 * @weight: weight of the classes; 0: background
 * @tag: virtual time: slot time received, in microseconds, divided by @weight;
 *	the level with the least tag starts a request next
 * @waiting_count: number of queued requests
 * @running_count: number of running requests
 *
 * If kinds of equal weight were scheduled separately, a tenant would double
 * its share by sending two kinds.
 */
struct gate_level {
	double weight;
	double tag;
	uint32_t waiting_count;
	uint32_t running_count;
};

/**
 * struct gate_class - requests of one kind and weight
 * @kind: name of the kind
 * @weight: weight of the requests
 * @level: index into the gate's levels
 * @waiting: queued requests, ordered by deadline, earliest first; in order of
 *	arrival if the gate is not fair
 * @waiting_count: number of queued requests
 * @running_count: number of running requests
 * @service_us: moving average of the upstream's service time
 * @spread_us: moving average of the absolute deviation from @service_us
 * @long_average_us: average service time over more requests than @service_us
 * @best_us: service time without overload; follows a falling @long_average_us
 *	at once and a rising one slowly; 0: too few samples
 * @samples: number of samples taken, counted up to those that
 *	@long_average_us covers
 * @usual_us: service time at the usual pace of the machine
 * @usual_samples: number of samples in @usual_us, counted up to those that it
 *	covers
 * @sample_at_us: time of the last sample; 0: none
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
	double usual_us;
	uint32_t usual_samples;
	int64_t sample_at_us;
};

/**
 * struct gate_tenant - scheduling state of one tenant
 * @name: name of the tenant
 * @hash: hash of @name
 * @tag: virtual time: slot time received, in microseconds; within a level the
 *	tenant with the least tag starts a request next
 * @waiting_count: number of queued requests
 * @running_count: number of running requests
 */
struct gate_tenant {
	char name[TENANT_SIZE];
	uint64_t hash;
	double tag;
	uint32_t waiting_count;
	uint32_t running_count;
};

/** struct gate_totals - counts since the gate's start, for dumps and metrics */
struct gate_totals {
	uint64_t admitted;
	uint64_t queued;
	uint64_t refused[GATE_REFUSED_BUSY + 1];
	uint64_t ended[GATE_OUTCOMES];
};

/** struct gate - see DOC; all members are private, except for dumps. */
struct gate {
	struct gate_options options;
	enum gate_state state;
	struct limit limit;
	struct rate rate;
	struct pace pace; /* of the machine, as the upstream reports it */
	struct gate_level levels[GATE_CLASSES_MAX];
	uint32_t level_count;
	struct gate_class classes[GATE_CLASSES_MAX];
	uint32_t class_count;
	struct gate_tenant tenants[GATE_TENANTS_MAX];
	uint32_t tenant_count;
	/* Lower bound of the tag of a level that begins to wait, so that a
	 * level without requests earns no credit. */
	double level_virtual_time;
	double tenant_virtual_time; /* likewise for tenants */
	double service_us;	    /* moving average over all classes */
	struct gate_request *running;
	struct gate_request *evicted; /* for gate_next_refused() */
	uint32_t running_count;
	uint32_t waiting_count;
	uint32_t background_count; /* running requests of weight 0 */
	int64_t start_until_us;	   /* latest start; INT64_MAX: any */
	/* Queued requests by rank, and by whether they have any weight. */
	uint32_t rank_counts[GATE_RANKS][2];
	double peak; /* recent maximum of running requests of weight > 0 */
	int64_t peak_at_us;
	struct gate_totals totals;
};

/** gate_init() - Sets up a closed gate; gate_set_state() opens it. */
void gate_init(struct gate *gate, const struct gate_options *options);

/** gate_finish() - Checks that no request is queued or running any more. */
void gate_finish(struct gate *gate);

/**
 * gate_set_state() - Sets the state of the local upstream.
 * @since_us: time of the change; for GATE_OPEN the start of the cold start
 *	ramp; for an upstream that is already warm, a time so early that the
 *	ramp is over
 *
 * In GATE_CLOSED, gate_next_refused() returns all queued requests. In
 * GATE_LEAVING, queued requests still run if they can start within
 * @start_after_leaving_us of the options; gate_next_refused() returns the
 * others. The time counts from the first call with GATE_LEAVING.
 */
void gate_set_state(struct gate *gate, enum gate_state state, int64_t since_us);

/** gate_set_slots() - Sets the number of slots that the upstream announces. */
void gate_set_slots(struct gate *gate, uint32_t slots);

/**
 * gate_set_rate_limit() - Sets how many requests may start in a second.
 * @per_s: limit that the upstream names; not negative
 *
 * Queued requests that a lower limit keeps from starting in time are refused,
 * see gate_next_refused().
 */
void gate_set_rate_limit(struct gate *gate, double per_s, int64_t now_us);

/** gate_clear_rate_limit() - The upstream names no limit any more. */
void gate_clear_rate_limit(struct gate *gate);

/**
 * gate_set_work_pct() - Sets how long work takes at the upstream now.
 * @work_pct: percent of the usual time, as the upstream reports it; 0: not
 *	reported
 *
 * While the machine is slow, requests that prefer a refusal to a wait, or that
 * can probably not be answered in time, are refused also if a slot is free.
 */
void gate_set_work_pct(struct gate *gate, uint32_t work_pct, int64_t now_us);

/** gate_work_pct() - Returns the present pace in percent; 0: not reported. */
uint32_t gate_work_pct(const struct gate *gate, int64_t now_us);

/**
 * gate_usual_us() - Returns how long requests of a kind usually take here.
 *
 * Return: microseconds; 0 if the upstream does not report its pace, or if there
 * are too few samples.
 */
uint32_t gate_usual_us(const struct gate *gate, const char *kind);

/** gate_set_cold_start() - Sets the duration of the cold start ramp. */
void gate_set_cold_start(struct gate *gate, int64_t cold_start_us);

/**
 * gate_offer() - Admits, queues or refuses a request that has arrived.
 * @request: kind, tenant, rank, weight, queue_max, deadline_us and wait_max_us
 *are filled in; its address must not change until the request is refused, done
 *or cancelled
 */
enum gate_decision gate_offer(struct gate *gate, struct gate_request *request,
			      int64_t now_us);

/**
 * gate_done() - Ends a running request.
 * @service_us: service time of the upstream, without the wait at the gate
 */
void gate_done(struct gate *gate, struct gate_request *request,
	       enum gate_outcome outcome, int64_t service_us, int64_t now_us);

/**
 * gate_cancel() - Removes a request that its caller has cancelled.
 *
 * Allowed in any phase. Cancelling a running request frees its slot, so the
 * owner calls this function only after the upstream has stopped working on the
 * request.
 */
void gate_cancel(struct gate *gate, struct gate_request *request,
		 int64_t now_us);

/** gate_next() - Starts and returns the next queued request, or NULL. */
struct gate_request *gate_next(struct gate *gate, int64_t now_us);

/**
 * gate_next_refused() - Returns the next queued request to refuse, or NULL.
 *
 * The request cannot be answered before its deadline, was evicted for a
 * request of higher priority, or the gate has closed. @refusal and
 * @retry_after_ms are set. A request is refused as soon as the reason is
 * known, because a caller that is held until its deadline has no time left to
 * try another instance.
 */
struct gate_request *gate_next_refused(struct gate *gate, int64_t now_us);

/**
 * gate_wake_us() - Returns when gate_next_refused() and gate_next() must be
 * called again if no other event occurs before.
 *
 * Return: a time, @now_us if it is due already, or INT64_MAX for never.
 */
int64_t gate_wake_us(const struct gate *gate, int64_t now_us);

/**
 * gate_load() - Returns (running + waiting) / slots.
 *
 * The load travels back to the callers with each answer.
 */
double gate_load(const struct gate *gate);

/**
 * gate_usable_share() - Returns the share of the slots that the rate limit can
 * keep busy; 1 without a limit.
 *
 * Travels back to the callers like the load, so that they choose upstreams
 * without a limit first.
 */
double gate_usable_share(const struct gate *gate);

/** gate_limit() - Returns how many requests may run concurrently now. */
uint32_t gate_limit(const struct gate *gate, int64_t now_us);

/** gate_refusal_name() - Returns the stable name, for answers and logs. */
const char *gate_refusal_name(enum gate_refusal refusal);

/** gate_state_name() - Returns "closed", "open" or "leaving". */
const char *gate_state_name(enum gate_state state);

/** gate_dump() - Returns the state as JSON; the caller owns the reference. */
json_t *gate_dump(const struct gate *gate, int64_t now_us);

#endif
