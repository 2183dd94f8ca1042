#ifndef CALL_PLACEMENT_H
#define CALL_PLACEMENT_H

#include "call/call_defs.h"
#include "route/route.h"

/**
 * DOC: placement
 *
 * Chooses the endpoints for the attempts of one call, and what each attempt
 * demands of the gate there. Decision core beside the caller: no sockets, no
 * clock.
 */

/**
 * enum placement_pass - what an attempt demands of a gate
 *
 * A gate with a free slot is preferred to any gate with a queue. The load that
 * a caller knows of is as old as its last answer from that upstream, and gets
 * older the more callers there are; only the gate knows its current load. The
 * first attempts therefore accept only a free slot. If no gate has a free slot,
 * the request waits at the gate that reported the least load.
 *
 * A gate that can answer in time is preferred to any gate that would answer
 * late. If no gate can answer in time, the least loaded endpoint is asked for a
 * late answer; its gate runs such requests after those that can still be
 * answered in time.
 */
enum placement_pass {
	PLACEMENT_FREE_SLOT, /* only if the request starts almost at once */
	PLACEMENT_IN_TIME,   /* only if the answer is in time */
	PLACEMENT_LATE,	     /* a late answer is accepted */
	PLACEMENT_EXHAUSTED, /* no pass is left */
};

/**
 * struct placement - endpoint choice for one call
 * @due_us: monotonic time in microseconds until which an answer is in time; 0:
 *	the call has no such time
 * @versions_chosen: true once @versions was chosen
 * @versions: versions that the request may be sent to
 * @pass: what the current attempt demands of its gate
 * @free_slot_pool: pool in which the current attempt of PLACEMENT_FREE_SLOT is
 *	counted; NULL for other attempts
 * @free_slot_attempts: attempts made in PLACEMENT_FREE_SLOT
 * @free_slot_attempts_max: most attempts allowed in PLACEMENT_FREE_SLOT
 * @wait_max_us: longest time in microseconds that the current attempt may wait
 *	at its gate; 0: limited only by the deadline
 * @tried: endpoints of earlier attempts, referenced by endpoint_ref()
 * @tried_count: number of endpoints in @tried
 */
struct placement {
	int64_t due_us;
	bool versions_chosen;
	enum route_versions versions;
	enum placement_pass pass;
	struct pool *free_slot_pool;
	uint32_t free_slot_attempts;
	uint32_t free_slot_attempts_max;
	int64_t wait_max_us;
	struct endpoint *tried[CALL_ATTEMPTS_MAX];
	uint32_t tried_count;
};

/**
 * placement_init() - initialize before the first attempt
 * @due_us: see struct placement
 * @seeks_free_slot: begin with PLACEMENT_FREE_SLOT if @due_us is not 0
 */
void placement_init(struct placement *placement, int64_t due_us,
		    bool seeks_free_slot);

/** placement_finish() - release the endpoints in @tried. */
void placement_finish(struct placement *placement, struct router *router);

/**
 * placement_pick() - choose the endpoint for the next attempt
 * @attempt_count: number of attempts begun before this one
 *
 * Return: an endpoint held for the caller, as from router_pick(); NULL if no
 * endpoint can take the attempt.
 */
struct endpoint *placement_pick(struct placement *placement,
				struct router *router,
				const struct route_match *match,
				uint32_t attempt_count, int64_t now_us);

/** placement_tried() - record an attempt at @endpoint without an answer. */
void placement_tried(struct placement *placement, struct endpoint *endpoint);

/** placement_gate_full() - the open gate had no capacity for the attempt. */
void placement_gate_full(struct placement *placement);

/** placement_weight() - weight to send with the current attempt. */
double placement_weight(const struct placement *placement, double weight);

/** placement_pass_name() - stable name, for logs. */
const char *placement_pass_name(enum placement_pass pass);

#endif
