#ifndef EVENT_LOOP_H
#define EVENT_LOOP_H

#include <apr_poll.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/error.h"
#include "event/turn.h"

/**
 * DOC: loop
 *
 * The event loop of a process: descriptors in an APR pollset, timers in a heap,
 * and queues of deferred calls. A deferred call runs from the loop itself,
 * never nested in the function that queued the call. The loop is
 * single-threaded; only loop_stop() and loop_wake() may be called from a signal
 * handler.
 *
 * Timers and deferred calls run only after the descriptors were polled a short
 * time ago: if a callback takes long, the events that arrived meanwhile are
 * delivered first. A callback of a descriptor therefore reads its input and
 * leaves to a deferred call what other input may change. For instance, the
 * caller of a request that was just read may have hung up already.
 */

struct loop;
struct watch;
struct timer;
struct deferred;

enum { LOOP_READ = 1, LOOP_WRITE = 2 };

/** CALLBACK_NAME() - names a callback by its file and function, for the log. */
#define CALLBACK_NAME(fn) __FILE__ ":" #fn

typedef void watch_fn(struct watch *watch, int ready, void *data);
typedef void timer_fn(struct timer *timer, void *data);
typedef void deferred_fn(void *data);

/** struct watch - a watched descriptor; memory owned by the caller. */
struct watch {
	struct loop *loop;
	watch_fn *ready;
	const char *name; /* of the callback, for the log */
	void *data;
	int fd;
	int events;
	apr_pollfd_t poll;
	apr_pool_t *pool;
};

/** struct timer - a one-shot timer; memory owned by the caller. */
struct timer {
	timer_fn *expired;
	const char *name; /* of the callback, for the log */
	void *data;
	int64_t at_us;
	uint32_t heap_index; /* 1-based index in the heap, 0 while not set */
};

/** enum defer_when - queue of the loop in which a deferred call waits. */
enum defer_when {
	DEFER_NORMAL,	/* see loop_defer() */
	DEFER_TURN_END, /* see loop_defer_to_turn_end() */
	DEFER_IDLE,	/* see loop_defer_idle() */
	DEFER_QUEUES,
};

/** struct deferred - a deferred call; memory owned by the caller. */
struct deferred {
	deferred_fn *run;
	const char *name; /* of the callback, for the log */
	void *data;
	struct deferred *next;
	struct deferred *prev;
	uint64_t turn; /* turn of the loop in which it was queued */
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
	uint32_t busy_turns;	   /* since the last idle call ran */
	int64_t idle_ran_us;	   /* time at which the last idle call ended */
	int64_t idle_wait_max_us;  /* longest wait of an idle call */
	struct turn measured;	   /* durations of this turn */
	int64_t polled_us;	   /* time at which the last poll ended */
	const apr_pollfd_t *batch; /* events being delivered */
	struct watch **batch_watches;
	int32_t batch_count;
	int64_t now_us;
	uint64_t turn;
	bool running_timers;
	volatile bool stopped;
};

/** loop_init() - apr_initialize() must have been called before. */
bool loop_init(struct loop *loop, struct error *err);

/** loop_finish() - all watches must be stopped and all timers cancelled. */
void loop_finish(struct loop *loop);

/** loop_run() - deliver events until loop_stop(). */
void loop_run(struct loop *loop);

/**
 * loop_turn() - deliver the events that are due
 * @wait_us: longest wait for an event in microseconds, rounded up to whole
 *	milliseconds
 */
void loop_turn(struct loop *loop, int64_t wait_us);

/** loop_stop() - make loop_run() return; safe in a signal handler. */
void loop_stop(struct loop *loop);

/** loop_wake() - end a wait in loop_turn(); safe in a signal handler. */
void loop_wake(struct loop *loop);

/**
 * loop_now_us() - returns the monotonic time in microseconds, as of the end of
 *	the wait of this turn
 */
int64_t loop_now_us(const struct loop *loop);

/**
 * loop_name_work() - names what the running callback does, for the log of long
 *	turns; for callbacks that serve several purposes
 * @work: a string literal
 */
void loop_name_work(struct loop *loop, const char *work);

/**
 * watch_start() - begin to watch a descriptor
 * @fd: stays open until watch_stop()
 * @events: LOOP_READ, LOOP_WRITE, both, or 0 for none yet
 * @ready: called with the events that are ready; after an error or a hang-up
 *	possibly with all watched events
 *
 * Return: false with @err set if the descriptor cannot be watched.
 */
#define watch_start(watch, loop, fd, events, ready, ...)                       \
	watch_start_named(watch, loop, fd, events, ready,                      \
			  CALLBACK_NAME(ready), __VA_ARGS__)

bool watch_start_named(struct watch *watch, struct loop *loop, int fd,
		       int events, watch_fn *ready, const char *name,
		       void *data, struct error *err);

/** watch_change() - replace the watched events; 0 pauses the watch. */
void watch_change(struct watch *watch, int events);

/**
 * watch_stop() - stop the watch; must be called before the descriptor is closed
 *
 * Idempotent.
 */
void watch_stop(struct watch *watch);

/** timer_init() - set the callback for the expiry of the timer. */
#define timer_init(timer, expired, ...)                                        \
	timer_init_named(timer, expired, CALLBACK_NAME(expired), __VA_ARGS__)

void timer_init_named(struct timer *timer, timer_fn *expired, const char *name,
		      void *data);

/**
 * timer_set() - make the timer expire once; replaces an earlier time
 * @at_us: monotonic time of the expiry in microseconds
 */
void timer_set(struct loop *loop, struct timer *timer, int64_t at_us);

/** timer_cancel() - unset the timer; idempotent. */
void timer_cancel(struct loop *loop, struct timer *timer);

static inline bool timer_is_set(const struct timer *timer)
{
	return timer->heap_index != 0;
}

/** deferred_init() - set the function of a deferred call that is not queued. */
#define deferred_init(deferred, run, ...)                                      \
	deferred_init_named(deferred, run, CALLBACK_NAME(run), __VA_ARGS__)

void deferred_init_named(struct deferred *deferred, deferred_fn *run,
			 const char *name, void *data);

/**
 * loop_defer() - run a call once from the loop, after events and timers
 *
 * Has no effect on a call that is already queued. A call that is queued by
 * another deferred call waits for the next turn.
 */
void loop_defer(struct loop *loop, struct deferred *deferred);

/**
 * loop_defer_to_turn_end() - run a call once at the end of this turn, after the
 *	calls of loop_defer()
 *
 * Used to write the output that the turn has queued: with loop_defer(), output
 * that is queued by a deferred call would wait for the next turn.
 */
void loop_defer_to_turn_end(struct loop *loop, struct deferred *deferred);

/**
 * loop_defer_idle() - run a call once in a turn that has nothing else to do
 *
 * Used for long work that is divided into short steps: at most one idle call
 * runs in a turn, so that other events wait for one step at most. A loop that
 * is never idle runs one idle call every few turns or milliseconds.
 */
void loop_defer_idle(struct loop *loop, struct deferred *deferred);

/** loop_defer_cancel() - remove a call from its queue; idempotent. */
void loop_defer_cancel(struct loop *loop, struct deferred *deferred);

#endif
