#include "event/loop.h"

#include <apr_portable.h>
#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "os/clock.h"

enum {
	POLLSET_SIZE = 1024,
	MAX_WAIT_US = 1000 * US_PER_MS,
	TIMER_CAPACITY_MIN = 64,
	/* An idle call waits for this many busy turns, or this long, at most. */
	BUSY_TURNS_MAX = 16,
	IDLE_WAIT_MAX_US = 4 * US_PER_MS,
	/* Age of the last poll from which on the descriptors are polled again
	 * before the next timer or deferred call runs. */
	POLL_AGE_MAX_US = 5 * US_PER_MS,
	/* Bounds the time for which ready descriptors alone are served. */
	REFRESH_ROUNDS_MAX = 8,
};

bool loop_init(struct loop *loop, struct error *err)
{
	apr_status_t status;

	memset(loop, 0, sizeof(*loop));
	apr_pool_create(&loop->pool, NULL);
	status = apr_pollset_create_ex(
		&loop->pollset, POLLSET_SIZE, loop->pool,
		APR_POLLSET_NOCOPY | APR_POLLSET_WAKEABLE, APR_POLLSET_EPOLL);
	if (status != APR_SUCCESS) {
		error_set(err, ERROR_IO, "cannot create a pollset: status %d",
			  status);
		apr_pool_destroy(loop->pool);
		return false;
	}
	loop->batch_watches =
		malloc(sizeof(*loop->batch_watches) * POLLSET_SIZE);
	loop->now_us = clock_monotonic_us();
	loop->polled_us = loop->now_us;
	loop->idle_ran_us = loop->now_us;
	loop->idle_wait_max_us = IDLE_WAIT_MAX_US;
	return true;
}

void loop_finish(struct loop *loop)
{
	apr_pollset_destroy(loop->pollset);
	apr_pool_destroy(loop->pool);
	free(loop->batch_watches);
	free(loop->heap);
}

int64_t loop_now_us(const struct loop *loop)
{
	return loop->now_us;
}

void loop_name_work(struct loop *loop, const char *work)
{
	loop->measured.work = work;
}

void loop_wake(struct loop *loop)
{
	apr_pollset_wakeup(loop->pollset);
}

void loop_stop(struct loop *loop)
{
	loop->stopped = true;
	loop_wake(loop);
}

static bool poll_add(struct watch *watch)
{
	watch->poll.reqevents = 0;
	if (watch->events & LOOP_READ)
		watch->poll.reqevents |= APR_POLLIN;
	if (watch->events & LOOP_WRITE)
		watch->poll.reqevents |= APR_POLLOUT;
	return apr_pollset_add(watch->loop->pollset, &watch->poll) ==
	       APR_SUCCESS;
}

bool watch_start_named(struct watch *watch, struct loop *loop, int fd,
		       int events, watch_fn *ready, const char *name,
		       void *data, struct error *err)
{
	apr_os_sock_t os_fd = fd;

	memset(watch, 0, sizeof(*watch));
	watch->loop = loop;
	watch->ready = ready;
	watch->name = name;
	watch->data = data;
	watch->fd = fd;
	watch->events = events;
	apr_pool_create(&watch->pool, NULL);
	watch->poll.desc_type = APR_POLL_SOCKET;
	watch->poll.client_data = watch;
	watch->poll.p = watch->pool;
	apr_os_sock_put(&watch->poll.desc.s, &os_fd, watch->pool);
	if (!events || poll_add(watch))
		return true;
	error_set(err, ERROR_IO, "cannot watch descriptor %d", fd);
	apr_pool_destroy(watch->pool);
	watch->loop = NULL;
	return false;
}

/* Drops events of this turn that are not delivered yet, since the owner may
 * free the watch. */
static void remove_from_batch(struct watch *watch)
{
	int32_t i;

	for (i = 0; i < watch->loop->batch_count; i++)
		if (watch->loop->batch_watches[i] == watch)
			watch->loop->batch_watches[i] = NULL;
}

void watch_change(struct watch *watch, int events)
{
	if (!watch->loop || watch->events == events)
		return;
	if (watch->events)
		apr_pollset_remove(watch->loop->pollset, &watch->poll);
	watch->events = events;
	if (events)
		poll_add(watch);
}

void watch_stop(struct watch *watch)
{
	if (!watch->loop)
		return;
	if (watch->events)
		apr_pollset_remove(watch->loop->pollset, &watch->poll);
	remove_from_batch(watch);
	apr_pool_destroy(watch->pool);
	watch->loop = NULL;
}

void timer_init_named(struct timer *timer, timer_fn *expired, const char *name,
		      void *data)
{
	timer->expired = expired;
	timer->name = name;
	timer->data = data;
	timer->at_us = 0;
	timer->heap_index = 0;
}

static void heap_place(struct loop *loop, struct timer *timer,
		       uint32_t heap_index)
{
	loop->heap[heap_index - 1] = timer;
	timer->heap_index = heap_index;
}

static void heap_up(struct loop *loop, struct timer *timer, uint32_t heap_index)
{
	while (heap_index > 1) {
		struct timer *parent = loop->heap[heap_index / 2 - 1];

		if (parent->at_us <= timer->at_us)
			break;
		heap_place(loop, parent, heap_index);
		heap_index /= 2;
	}
	heap_place(loop, timer, heap_index);
}

static void heap_down(struct loop *loop, struct timer *timer,
		      uint32_t heap_index)
{
	for (;;) {
		uint32_t child = heap_index * 2;

		if (child > loop->timer_count)
			break;
		if (child < loop->timer_count &&
		    loop->heap[child]->at_us < loop->heap[child - 1]->at_us)
			child++;
		if (loop->heap[child - 1]->at_us >= timer->at_us)
			break;
		heap_place(loop, loop->heap[child - 1], heap_index);
		heap_index = child;
	}
	heap_place(loop, timer, heap_index);
}

void timer_set(struct loop *loop, struct timer *timer, int64_t at_us)
{
	timer_cancel(loop, timer);
	if (loop->timer_count == loop->timer_capacity) {
		uint32_t capacity = loop->timer_capacity
					    ? loop->timer_capacity * 2
					    : TIMER_CAPACITY_MIN;

		loop->heap =
			realloc(loop->heap, capacity * sizeof(*loop->heap));
		if (!loop->heap)
			abort();
		loop->timer_capacity = capacity;
	}
	/* A timer that its callback sets to a time in the past waits for the
	 * next turn; otherwise the timers of this turn would never end. */
	if (loop->running_timers && at_us <= loop->now_us)
		at_us = loop->now_us + 1;
	timer->at_us = at_us;
	loop->timer_count++;
	heap_up(loop, timer, loop->timer_count);
}

void timer_cancel(struct loop *loop, struct timer *timer)
{
	uint32_t heap_index = timer->heap_index;
	struct timer *last;

	if (!heap_index)
		return;
	timer->heap_index = 0;
	last = loop->heap[loop->timer_count - 1];
	loop->timer_count--;
	if (last == timer)
		return;
	heap_down(loop, last, heap_index);
	heap_up(loop, last, last->heap_index);
}

void deferred_init_named(struct deferred *deferred, deferred_fn *run,
			 const char *name, void *data)
{
	memset(deferred, 0, sizeof(*deferred));
	deferred->run = run;
	deferred->name = name;
	deferred->data = data;
}

static void defer(struct loop *loop, struct deferred *deferred,
		  enum defer_when when)
{
	if (deferred->queued)
		return;
	deferred->queued = true;
	deferred->when = when;
	deferred->turn = loop->turn;
	DL_APPEND(loop->deferred[when], deferred);
}

void loop_defer(struct loop *loop, struct deferred *deferred)
{
	defer(loop, deferred, DEFER_NORMAL);
}

void loop_defer_to_turn_end(struct loop *loop, struct deferred *deferred)
{
	defer(loop, deferred, DEFER_TURN_END);
}

void loop_defer_idle(struct loop *loop, struct deferred *deferred)
{
	defer(loop, deferred, DEFER_IDLE);
}

static void remove_deferred(struct loop *loop, struct deferred *deferred)
{
	deferred->queued = false;
	DL_DELETE(loop->deferred[deferred->when], deferred);
}

void loop_defer_cancel(struct loop *loop, struct deferred *deferred)
{
	if (deferred->queued)
		remove_deferred(loop, deferred);
}

static bool has_deferred(const struct loop *loop)
{
	return loop->deferred[DEFER_NORMAL] || loop->deferred[DEFER_TURN_END] ||
	       loop->deferred[DEFER_IDLE];
}

static int64_t wait_time(const struct loop *loop, int64_t wait_us)
{
	int64_t timer_wait_us;

	if (has_deferred(loop) || loop->stopped)
		return 0;
	if (!loop->timer_count)
		return wait_us;
	timer_wait_us = loop->heap[0]->at_us - clock_monotonic_us();
	if (timer_wait_us < 0)
		return 0;
	return timer_wait_us < wait_us ? timer_wait_us : wait_us;
}

/* Rounds up to whole milliseconds. APR rounds down, so that a wait of less than
 * a millisecond would become a busy loop. */
static int64_t round_up_ms(int64_t wait_us)
{
	return (wait_us + US_PER_MS - 1) / US_PER_MS * US_PER_MS;
}

static int ready_events(const apr_pollfd_t *poll)
{
	int ready = 0;

	if (poll->rtnevents & (APR_POLLIN | APR_POLLHUP | APR_POLLERR))
		ready |= LOOP_READ;
	if (poll->rtnevents & (APR_POLLOUT | APR_POLLERR))
		ready |= LOOP_WRITE;
	return ready;
}

static void callback_ended(struct loop *loop, const char *name)
{
	turn_callback_ended(&loop->measured, name, clock_monotonic_us());
}

static void deliver(struct loop *loop)
{
	int32_t i;

	for (i = 0; i < loop->batch_count; i++) {
		struct watch *watch = loop->batch_watches[i];
		const char *name;
		int ready;

		if (!watch)
			continue;
		ready = ready_events(&loop->batch[i]) &
			(watch->events ? watch->events : 0);
		if (!ready && watch->events)
			ready = watch->events;
		if (!ready)
			continue;
		/* The callback may free the watch. */
		name = watch->name;
		watch->ready(watch, ready, watch->data);
		callback_ended(loop, name);
	}
	loop->batch_count = 0;
}

/* Waits for events. Returns the number of ready descriptors. */
static int32_t poll_events(struct loop *loop, int64_t wait_us)
{
	apr_int32_t count = 0;
	apr_status_t status =
		apr_pollset_poll(loop->pollset, wait_us, &count, &loop->batch);
	int32_t i;

	loop->now_us = clock_monotonic_us();
	loop->polled_us = loop->now_us;
	if (status != APR_SUCCESS)
		return 0;
	for (i = 0; i < count; i++)
		loop->batch_watches[i] = loop->batch[i].client_data;
	loop->batch_count = count;
	return count;
}

/* Polls and delivers again if the last callbacks took long. The next timer or
 * deferred call must not decide on input that is outdated by what has arrived
 * since the last poll. */
static void refresh_input(struct loop *loop)
{
	int round;

	for (round = 0; round < REFRESH_ROUNDS_MAX; round++) {
		if (loop->measured.callback_us - loop->polled_us <
		    POLL_AGE_MAX_US)
			return;
		poll_events(loop, 0);
		loop->measured.callback_us = loop->now_us;
		deliver(loop);
	}
}

/* Runs the calls that are queued now. Calls that these calls queue wait for the
 * next turn, so that a chain of deferred calls cannot starve descriptors and
 * timers. */
static void run_queue(struct loop *loop, enum defer_when when)
{
	struct deferred *next;

	loop->turn++;
	while ((next = loop->deferred[when]) && next->turn < loop->turn) {
		const char *name = next->name;

		remove_deferred(loop, next);
		next->run(next->data);
		callback_ended(loop, name);
		refresh_input(loop);
	}
}

/* Runs one idle call if this turn had nothing else to do, or if the idle call
 * has waited for too many turns or for too long. */
static void run_idle(struct loop *loop, bool busy)
{
	struct deferred *next = loop->deferred[DEFER_IDLE];
	const char *name;

	if (!next) {
		loop->idle_ran_us = loop->measured.callback_us;
		return;
	}
	if (busy && ++loop->busy_turns < BUSY_TURNS_MAX &&
	    loop->measured.callback_us - loop->idle_ran_us <
		    loop->idle_wait_max_us)
		return;
	loop->busy_turns = 0;
	name = next->name;
	remove_deferred(loop, next);
	next->run(next->data);
	callback_ended(loop, name);
	loop->idle_ran_us = loop->measured.callback_us;
}

/* Returns true if any timer was due. */
static bool run_timers(struct loop *loop)
{
	int64_t due_us = loop->now_us;
	bool any_due = false;

	loop->running_timers = true;
	while (loop->timer_count && loop->heap[0]->at_us <= due_us) {
		struct timer *timer = loop->heap[0];
		const char *name = timer->name;

		timer_cancel(loop, timer);
		timer->expired(timer, timer->data);
		callback_ended(loop, name);
		refresh_input(loop);
		any_due = true;
	}
	loop->running_timers = false;
	return any_due;
}

void loop_turn(struct loop *loop, int64_t wait_us)
{
	bool busy;

	busy = poll_events(loop, round_up_ms(wait_time(loop, wait_us))) > 0;
	turn_begin(&loop->measured, loop->now_us);
	deliver(loop);
	refresh_input(loop);
	busy |= run_timers(loop);
	busy |= loop->deferred[DEFER_NORMAL] != NULL;
	run_queue(loop, DEFER_NORMAL);
	run_queue(loop, DEFER_TURN_END);
	run_idle(loop, busy);
	turn_end(&loop->measured, clock_monotonic_us());
}

void loop_run(struct loop *loop)
{
	while (!loop->stopped)
		loop_turn(loop, MAX_WAIT_US);
}
