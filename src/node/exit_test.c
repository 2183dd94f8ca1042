#include <apr_general.h>
#include <criterion/criterion.h>
#include <unistd.h>

#include "event/loop.h"
#include "node/exit.h"
#include "os/clock.h"

enum {
	/* Longer than the age at which the loop polls again within a turn. */
	SLOW_CALL_US = 20 * US_PER_MS,
};

static struct loop loop;
static struct node_exit node_exit;
static struct watch input;
static struct deferred slow_call;
static struct deferred answer;
static struct deferred flush;
static int ends[2];
static uint32_t unanswered;
static uint32_t answered;
static bool ended;
static bool is_frame; /* the input is a frame of a node, not of a caller */
static bool flushed;

static struct leaving_open open_work(void *data)
{
	const struct leaving_open open = { .callers = unanswered > 0 };

	return open;
}

static void on_ended(const struct leaving_open *left, void *data)
{
	ended = true;
}

static void on_answer(void *data)
{
	unanswered--;
	answered++;
}

/* Frames to other nodes are written at the end of a turn. */
static void on_flush(void *data)
{
	cr_expect_not(ended);
	flushed = true;
}

static void on_input(struct watch *watch, int ready, void *data)
{
	char byte;

	cr_assert_eq(read(ends[0], &byte, 1), 1);
	if (is_frame) {
		loop_defer_to_turn_end(&loop, &flush);
		return;
	}
	unanswered++;
	loop_defer(&loop, &answer);
}

/* A request arrives while another call takes long. */
static void on_slow_call(void *data)
{
	cr_assert_eq(write(ends[1], "x", 1), 1);
	usleep(SLOW_CALL_US);
}

static void on_timer(struct timer *timer, void *data)
{
	loop_defer(&loop, &slow_call);
}

static void setup(void)
{
	const struct node_exit_options options = {
		.loop = &loop,
		.open = open_work,
		.ended = on_ended,
	};
	struct error err = ERROR_INIT;

	apr_initialize();
	cr_assert(loop_init(&loop, &err));
	cr_assert_eq(pipe(ends), 0);
	cr_assert(watch_start(&input, &loop, ends[0], LOOP_READ, on_input, NULL,
			      &err));
	deferred_init(&slow_call, on_slow_call, NULL);
	deferred_init(&answer, on_answer, NULL);
	deferred_init(&flush, on_flush, NULL);
	node_exit_init(&node_exit, &options);
}

static void teardown(void)
{
	node_exit_finish(&node_exit);
	watch_stop(&input);
	loop_finish(&loop);
}

static void run_until_ended(void)
{
	struct timer timer;

	loop_turn(&loop, 0);
	leaving_begin(&node_exit.times, 0, 30000, loop_now_us(&loop));
	timer_init(&timer, on_timer, NULL);
	timer_set(&loop, &timer,
		  loop_now_us(&loop) + LEAVING_DATAGRAMS_MS * US_PER_MS);
	node_exit_drained(&node_exit);
	while (!ended)
		loop_turn(&loop, LEAVING_DATAGRAMS_MS * US_PER_MS);
}

/* Failure: a request is read in the turn in which the process decides to end,
 * and gets no answer. */
Test(node_exit, a_request_read_in_the_last_turn_is_answered, .init = setup,
     .fini = teardown)
{
	run_until_ended();
	cr_expect_eq(unanswered, 0);
	cr_expect_eq(answered, 1);
}

/* Failure: a call of another node is read in that turn, and its refusal is not
 * sent, so that the caller cannot know that the call has not run. */
Test(node_exit, a_frame_read_in_the_last_turn_is_answered, .init = setup,
     .fini = teardown)
{
	is_frame = true;
	run_until_ended();
	cr_expect(flushed);
}
