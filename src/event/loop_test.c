#include <apr_general.h>
#include <criterion/criterion.h>
#include <string.h>
#include <unistd.h>

#include "event/loop.h"
#include "os/clock.h"

static struct loop loop;
static char order[16];

static void record(const char *letter)
{
	strncat(order, letter, sizeof(order) - strlen(order) - 1);
}

static void on_timer(struct timer *timer, void *data)
{
	record(data);
}

static void on_deferred(void *data)
{
	record(data);
}

static void setup(void)
{
	struct error err = ERROR_INIT;

	apr_initialize();
	cr_assert(loop_init(&loop, &err));
}

Test(loop, timers_fire_in_order_of_time, .init = setup)
{
	int64_t now_us = clock_monotonic_us();
	struct timer timers[4];
	int i;

	for (i = 0; i < 4; i++)
		timer_init(&timers[i], on_timer,
			   (char *[]){ "a", "b", "c", "d" }[i]);
	timer_set(&loop, &timers[0], now_us - 10);
	timer_set(&loop, &timers[1], now_us - 30);
	timer_set(&loop, &timers[2], now_us - 20);
	timer_set(&loop, &timers[3], now_us - 40);
	timer_cancel(&loop, &timers[2]);
	loop_turn(&loop, 0);
	cr_assert_str_eq(order, "dba");
	loop_finish(&loop);
}

static struct deferred first;

static void queue_again(void *data)
{
	record("q");
	loop_defer(&loop, &first);
}

Test(loop, what_a_deferred_call_queues_waits_for_the_next_turn, .init = setup)
{
	struct deferred second = { .run = on_deferred, .data = "s" };

	first.run = queue_again;
	loop_defer(&loop, &first);
	loop_defer(&loop, &second);
	loop_defer(&loop, &first);
	loop_turn(&loop, 0);
	cr_assert_str_eq(order, "qs");
	loop_turn(&loop, 0);
	cr_assert_str_eq(order, "qsq");
	loop_defer_cancel(&loop, &first);
	loop_finish(&loop);
}

static struct deferred last = { .run = on_deferred, .data = "l" };

static void queue_late(void *data)
{
	record("q");
	loop_defer_to_turn_end(&loop, &last);
}

static void queue_late_again(void *data)
{
	record("l");
	loop_defer_to_turn_end(&loop, &last);
}

Test(loop, late_calls_run_in_the_same_turn_after_the_others, .init = setup)
{
	struct deferred second = { .run = on_deferred, .data = "s" };

	first.run = queue_late;
	loop_defer(&loop, &first);
	loop_defer(&loop, &second);
	loop_turn(&loop, 0);
	cr_assert_str_eq(order, "qsl");
	last.run = queue_late_again;
	loop_defer_to_turn_end(&loop, &last);
	loop_turn(&loop, 0);
	cr_assert_str_eq(order, "qsll");
	loop_defer_cancel(&loop, &last);
	loop_turn(&loop, 0);
	cr_assert_str_eq(order, "qsll");
	loop_finish(&loop);
}

static struct watch watches[2];

static void stop_both(struct watch *watch, int ready, void *data)
{
	record("r");
	watch_stop(&watches[0]);
	watch_stop(&watches[1]);
}

/*
 * Guards against a crash when the callback of one ready descriptor stops
 * another watch whose event of the same turn is not delivered yet.
 */
Test(loop, a_watch_stopped_in_the_same_turn_is_not_called, .init = setup)
{
	struct error err = ERROR_INIT;
	int pipes[2][2];
	int i;

	for (i = 0; i < 2; i++) {
		cr_assert_eq(pipe(pipes[i]), 0);
		cr_assert_eq(write(pipes[i][1], "x", 1), 1);
		cr_assert(watch_start(&watches[i], &loop, pipes[i][0],
				      LOOP_READ, stop_both, NULL, &err));
	}
	loop_turn(&loop, 0);
	loop_turn(&loop, 0);
	cr_assert_str_eq(order, "r");
	loop_finish(&loop);
}

static void set_again(struct timer *timer, void *data)
{
	record("t");
	timer_set(&loop, timer, 0);
}

/*
 * Guards against a process that spins and serves no connection, because the
 * callback of a timer sets the timer to a time in the past.
 */
Test(loop, a_timer_set_in_the_past_does_not_block_the_turn, .init = setup)
{
	struct timer timer;
	struct timer later;

	timer_init(&timer, set_again, NULL);
	timer_init(&later, on_timer, "l");
	timer_set(&loop, &timer, 0);
	timer_set(&loop, &later, clock_monotonic_us() - 1);
	loop_turn(&loop, 0);
	cr_assert_str_eq(order, "tl");
	timer_cancel(&loop, &timer);
	loop_finish(&loop);
}

static uint32_t runs_left;

static void run_idle_work(void *data)
{
	struct deferred *self = data;

	record("i");
	if (--runs_left)
		loop_defer_idle(&loop, self);
}

static void read_one_byte(struct watch *watch, int ready, void *data)
{
	char byte;

	record("r");
	cr_assert_eq(read(watch->fd, &byte, 1), 1);
}

/*
 * Guards against calls being delayed while a version is read, because the idle
 * work runs all at once or before pending events.
 */
Test(loop, idle_work_runs_once_a_turn_and_after_other_events, .init = setup)
{
	struct deferred idle = { .run = run_idle_work, .data = &idle };
	struct error err = ERROR_INIT;
	int ends[2];

	runs_left = 3;
	cr_assert_eq(pipe(ends), 0);
	cr_assert(watch_start(&watches[0], &loop, ends[0], LOOP_READ,
			      read_one_byte, NULL, &err));
	loop_defer_idle(&loop, &idle);
	loop_turn(&loop, 0);
	cr_assert_eq(write(ends[1], "xx", 2), 2);
	loop_turn(&loop, 0);
	loop_turn(&loop, 0);
	loop_turn(&loop, 0);
	loop_turn(&loop, 0);
	cr_assert_str_eq(order, "irrii");
	watch_stop(&watches[0]);
	loop_finish(&loop);
}

static void defer_again(void *data)
{
	loop_defer(&loop, data);
}

/*
 * Guards against a version never coming into force on a node under load,
 * because idle work starves when every turn of the loop is busy.
 */
Test(loop, idle_work_runs_in_a_loop_that_is_never_idle, .init = setup)
{
	struct deferred idle = { .run = run_idle_work, .data = &idle };
	struct deferred busy = { .run = defer_again, .data = &busy };
	uint32_t turns;

	runs_left = 1;
	loop.idle_wait_max_us = INT64_MAX;
	loop_defer(&loop, &busy);
	loop_defer_idle(&loop, &idle);
	for (turns = 0; idle.queued && turns < 100; turns++)
		loop_turn(&loop, 0);
	cr_assert_eq(turns, 16, "after %u turns", turns);
	loop_defer_cancel(&loop, &busy);
	loop_finish(&loop);
}

enum { LONG_CALLBACK_US = 50 * US_PER_MS };

static void take_long(void *data)
{
	record("l");
	usleep(LONG_CALLBACK_US);
	if (data)
		loop_defer(&loop, data);
}

/*
 * Guards against a version that comes into force seconds late on a node whose
 * busy turns are long.
 */
Test(loop, idle_work_waits_for_a_limited_time, .init = setup)
{
	struct deferred idle = { .run = run_idle_work, .data = &idle };
	struct deferred busy = { .run = take_long, .data = &busy };

	runs_left = 2;
	loop_defer(&loop, &busy);
	loop_defer_idle(&loop, &idle);
	loop_turn(&loop, 0);
	loop_turn(&loop, 0);
	cr_assert_str_eq(order, "lili");
	loop_defer_cancel(&loop, &busy);
	loop_finish(&loop);
}

static int pipe_ends[2];

static void take_long_and_write(struct timer *timer, void *data)
{
	take_long(NULL);
	cr_assert_eq(write(pipe_ends[1], "x", 1), 1);
}

static void run_long_and_write(void *data)
{
	take_long_and_write(NULL, NULL);
}

/*
 * Guards against decisions on outdated input: what arrives during a long
 * callback is delivered before the next timer or deferred call runs.
 */
Test(loop, input_is_delivered_after_a_long_callback, .init = setup)
{
	struct deferred long_call = { .run = run_long_and_write };
	struct deferred next_call = { .run = on_deferred, .data = "d" };
	struct error err = ERROR_INIT;
	struct timer timers[2];

	cr_assert_eq(pipe(pipe_ends), 0);
	cr_assert(watch_start(&watches[0], &loop, pipe_ends[0], LOOP_READ,
			      read_one_byte, NULL, &err));
	timer_init(&timers[0], take_long_and_write, NULL);
	timer_init(&timers[1], on_timer, "t");
	timer_set(&loop, &timers[0], 0);
	timer_set(&loop, &timers[1], 1);
	loop_defer(&loop, &long_call);
	loop_defer(&loop, &next_call);
	loop_turn(&loop, 0);
	cr_assert_str_eq(order, "lrtlrd");
	watch_stop(&watches[0]);
	loop_finish(&loop);
}

/*
 * Guards against a use after free: a cancelled idle call must be removed from
 * the queue of idle calls.
 */
Test(loop, idle_work_can_be_cancelled, .init = setup)
{
	struct deferred idle = { .run = run_idle_work, .data = &idle };

	runs_left = 1;
	loop_defer_idle(&loop, &idle);
	loop_defer_cancel(&loop, &idle);
	loop_turn(&loop, 0);
	cr_assert_str_eq(order, "");
	loop_finish(&loop);
}
