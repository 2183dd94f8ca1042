#include <apr_general.h>
#include <criterion/criterion.h>
#include <string.h>
#include <unistd.h>

#include "event/loop.h"
#include "os/clock.h"

static struct loop loop;
static char order[16];

static void note(const char *letter)
{
	strncat(order, letter, sizeof(order) - strlen(order) - 1);
}

static void on_timer(struct timer *timer, void *data)
{
	note(data);
}

static void on_deferred(void *data)
{
	note(data);
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
	note("q");
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
	note("q");
	loop_defer_to_turn_end(&loop, &last);
}

static void queue_late_again(void *data)
{
	note("l");
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
	note("r");
	watch_stop(&watches[0]);
	watch_stop(&watches[1]);
}

/*
 * Symptom: a crash in a callback of a connection that was closed.
 * Sequence: two descriptors become ready in one turn; the first callback
 * closes both. Cause: the second event of the batch is still delivered.
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
	note("t");
	timer_set(&loop, timer, 0);
}

/*
 * Symptom: a process spins and serves no connection any more.
 * Sequence: a timer's callback sets the timer for a moment in the past.
 * Cause: timers that are due are run until none is left.
 */
Test(loop, a_timer_set_in_the_past_does_not_hold_the_turn, .init = setup)
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

static uint32_t pieces;

static void piece(void *data)
{
	struct deferred *self = data;

	note("i");
	if (--pieces)
		loop_defer_idle(&loop, self);
}

static void take_one(struct watch *watch, int ready, void *data)
{
	char byte;

	note("r");
	cr_assert_eq(read(watch->fd, &byte, 1), 1);
}

/*
 * Symptom: calls take tens of milliseconds while a version is being read.
 * Sequence: much work is queued; something comes in meanwhile.
 * Cause: the work is done in one go, or before what came in.
 */
Test(loop, idle_work_is_done_by_pieces_and_after_all_else, .init = setup)
{
	struct deferred idle = { .run = piece, .data = &idle };
	struct error err = ERROR_INIT;
	int ends[2];

	pieces = 3;
	cr_assert_eq(pipe(ends), 0);
	cr_assert(watch_start(&watches[0], &loop, ends[0], LOOP_READ, take_one,
			      NULL, &err));
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

static void go_on(void *data)
{
	loop_defer(&loop, data);
}

/*
 * Symptom: a version is never put in force on a node under load.
 * Sequence: each turn of the loop has something to do.
 * Cause: idle work waits for a turn that never comes.
 */
Test(loop, idle_work_is_done_in_a_loop_that_is_never_idle, .init = setup)
{
	struct deferred idle = { .run = piece, .data = &idle };
	struct deferred busy = { .run = go_on, .data = &busy };
	uint32_t turns;

	pieces = 1;
	loop_defer(&loop, &busy);
	loop_defer_idle(&loop, &idle);
	for (turns = 0; idle.queued && turns < 100; turns++)
		loop_turn(&loop, 0);
	cr_assert_eq(turns, 16, "after %u turns", turns);
	loop_defer_cancel(&loop, &busy);
	loop_finish(&loop);
}

/*
 * Symptom: a call into memory that was freed.
 * Sequence: idle work is cancelled as its owner ends.
 * Cause: it is taken from the wrong queue.
 */
Test(loop, idle_work_can_be_cancelled, .init = setup)
{
	struct deferred idle = { .run = piece, .data = &idle };

	pieces = 1;
	loop_defer_idle(&loop, &idle);
	loop_defer_cancel(&loop, &idle);
	loop_turn(&loop, 0);
	cr_assert_str_eq(order, "");
	loop_finish(&loop);
}
