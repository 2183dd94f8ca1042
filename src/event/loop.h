#ifndef EVENT_LOOP_H
#define EVENT_LOOP_H

#include <apr_poll.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/error.h"

/**
 * DOC: loop
 *
 * The one event loop of a process: descriptors on an APR pollset, timers on
 * a heap, and a queue of deferred calls that run from the loop itself, never
 * deep in somebody's stack. Single-threaded; only loop_stop() may be called
 * from a signal handler.
 */

struct loop;
struct watch;
struct timer;
struct deferred;

enum { LOOP_READ = 1, LOOP_WRITE = 2 };

typedef void watch_fn(struct watch *watch, int ready, void *data);
typedef void timer_fn(struct timer *timer, void *data);
typedef void deferred_fn(void *data);

/** struct watch - one descriptor; memory owned by whoever watches. */
struct watch {
	struct loop *loop;
	watch_fn *ready;
	void *data;
	int fd;
	int events;
	apr_pollfd_t poll;
	apr_pool_t *pool;
};

/** struct timer - one moment; memory owned by whoever waits. */
struct timer {
	timer_fn *expired;
	void *data;
	int64_t at_us;
	uint32_t heap_index; /* 1-based place in the heap, 0 while not set */
};

/** enum defer_when - which of the loop's queues a call waits in. */
enum defer_when {
	DEFER_NORMAL,	/* see loop_defer() */
	DEFER_TURN_END, /* see loop_defer_to_turn_end() */
	DEFER_IDLE,	/* see loop_defer_idle() */
	DEFER_QUEUES,
};

/** struct deferred - one call queued; memory owned by whoever queues. */
struct deferred {
	deferred_fn *run;
	void *data;
	struct deferred *next;
	struct deferred *prev;
	uint64_t turn; /* of the loop, when queued */
	enum defer_when when;
	bool queued;
};

struct loop {
	apr_pool_t *pool;
	apr_pollset_t *pollset;
	struct timer **heap;
	uint32_t timer_count;
	uint32_t timer_capacity;
	struct deferred *deferred[DEFER_QUEUES];
	uint32_t busy_turns;	   /* since an idle call has run */
	const apr_pollfd_t *batch; /* being delivered */
	struct watch **batch_watches;
	int32_t batch_count;
	int64_t now_us;
	uint64_t turn;
	bool running_timers;
	volatile bool stopped;
};

/** loop_init() - needs apr_initialize() to have been called. */
bool loop_init(struct loop *loop, struct error *err);

/** loop_finish() - all watches and timers must have been removed. */
void loop_finish(struct loop *loop);

/** loop_run() - deliver events until loop_stop(). */
void loop_run(struct loop *loop);

/** loop_turn() - deliver what is due, waiting at most @wait_us. */
void loop_turn(struct loop *loop, int64_t wait_us);

/** loop_stop() - make loop_run() return; safe in a signal handler. */
void loop_stop(struct loop *loop);

/** loop_wake() - end a wait in loop_turn(); safe in a signal handler. */
void loop_wake(struct loop *loop);

/** loop_now_us() - monotonic time at the start of this turn. */
int64_t loop_now_us(const struct loop *loop);

/** watch_start() - begin to watch @fd for LOOP_READ and LOOP_WRITE. */
bool watch_start(struct watch *watch, struct loop *loop, int fd, int events,
		 watch_fn *ready, void *data, struct error *err);

/** watch_change() - watch for other events; 0 pauses. */
void watch_change(struct watch *watch, int events);

/** watch_stop() - idempotent; call it before closing the descriptor. */
void watch_stop(struct watch *watch);

/** timer_init() - what happens when the timer expires. */
void timer_init(struct timer *timer, timer_fn *expired, void *data);

/** timer_set() - expire once at @at_us; replaces an earlier setting. */
void timer_set(struct loop *loop, struct timer *timer, int64_t at_us);

/** timer_cancel() - idempotent. */
void timer_cancel(struct loop *loop, struct timer *timer);

static inline bool timer_is_set(const struct timer *timer)
{
	return timer->heap_index != 0;
}

/** loop_defer() - run once from the loop, soon; queued twice runs once. */
void loop_defer(struct loop *loop, struct deferred *deferred);

/**
 * loop_defer_to_turn_end() - run once at the end of this turn, after all others
 *
 * For writing out what the turn has queued: an ordinary deferred call that
 * another one queues would wait for the next turn, and the bytes with it.
 */
void loop_defer_to_turn_end(struct loop *loop, struct deferred *deferred);

/**
 * loop_defer_idle() - run once, in a turn that has nothing else to do
 *
 * For long work that is done in pieces: one piece a turn, so that whoever
 * waits for an answer waits for one piece at most. A loop that is never idle
 * runs one every few turns.
 */
void loop_defer_idle(struct loop *loop, struct deferred *deferred);

/** loop_defer_cancel() - idempotent. */
void loop_defer_cancel(struct loop *loop, struct deferred *deferred);

#endif
