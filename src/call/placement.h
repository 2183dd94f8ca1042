#ifndef CALL_PLACEMENT_H
#define CALL_PLACEMENT_H

#include "call/call_defs.h"
#include "route/route.h"

/**
 * DOC: placement
 *
 * Where the tries of one call go one after another, and what each asks of the
 * gate there. Decision core beside the caller: no sockets, no clock.
 */

/**
 * enum placement_pass - what is asked of a gate
 *
 * Where some gate has a free slot, none with a queue is used. What a caller
 * knows of an upstream's load is as old as its last answer from there, and the
 * more callers there are, the older that is; a gate knows. A few are asked one
 * after the other, and if none has room, the request waits at that one of them
 * which told of the least load.
 *
 * Where some gate can answer in time, none that would answer late is used.
 * Only when none can, the least loaded one is asked for a late answer, which
 * it gives behind all that it can still answer in time.
 */
enum placement_pass {
	PLACEMENT_FREE_SLOT, /* only if it can start almost at once */
	PLACEMENT_IN_TIME,   /* only if the answer comes in time */
	PLACEMENT_LATE,	     /* a late answer will do */
	PLACEMENT_REFUSED,   /* no gate gives a late one either */
};

/**
 * struct placement - the tries of one call
 * @due_us: until then an answer is worth the most; 0 if that does not count
 * @sided: @versions was drawn: which versions the request may go to
 * @pass: which demands the present try makes
 * @free_slot_pool: where the present try in PLACEMENT_FREE_SLOT is counted
 * @free_slot_attempts: made in it
 * @free_slot_attempts_max: that may be made
 * @wait_max_us: how long the present try may wait at its gate; 0: no bound
 *	but its deadline
 * @tried: endpoints of earlier tries, held
 */
struct placement {
	int64_t due_us;
	bool sided;
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
 * placement_init() - before the first try
 * @due_us: see struct placement
 * @seeks_free_slot: begin with PLACEMENT_FREE_SLOT, if there is a time to be met
 */
void placement_init(struct placement *placement, int64_t due_us,
		    bool seeks_free_slot);

/** placement_finish() - let go of the endpoints that were tried. */
void placement_finish(struct placement *placement, struct router *router);

/**
 * placement_pick() - the endpoint for the next try
 * @attempt_count: begun so far
 *
 * Return: as router_pick(); NULL if none can take it.
 */
struct endpoint *placement_pick(struct placement *placement,
				struct router *router,
				const struct route_match *match,
				uint32_t attempt_count, int64_t now_us);

/** placement_tried() - a try has ended at @endpoint without an answer. */
void placement_tried(struct placement *placement, struct endpoint *endpoint);

/** placement_gate_full() - its gate is open, but had no room for it. */
void placement_gate_full(struct placement *placement);

/** placement_weight() - of the present try, for a request of @weight. */
double placement_weight(const struct placement *placement, double weight);

/** placement_pass_name() - the stable name, for logs. */
const char *placement_pass_name(enum placement_pass pass);

#endif
