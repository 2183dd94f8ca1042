#include <criterion/criterion.h>
#include <string.h>

#include "base/counter.h"
#include "event/turn.h"

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))

static int64_t long_turn_count(void)
{
	const struct counter *counter;

	for (counter = counter_first(); counter; counter = counter->next)
		if (!strcmp(counter->name, "loop.long_turns"))
			return counter->value;
	cr_assert(false, "there is no counter loop.long_turns");
	return -1;
}

static const struct histogram *turn_times(void)
{
	const struct histogram *histogram;

	for (histogram = histogram_first(); histogram;
	     histogram = histogram->next)
		if (!strcmp(histogram->name, "loop.turn_us"))
			return histogram;
	cr_assert(false, "there is no histogram loop.turn_us");
	return NULL;
}

/* Callbacks that end at @ended_us after the start of the turn. */
static const struct {
	const char *name;
	struct {
		const char *name;
		const char *work;
		int64_t ended_us;
	} callbacks[3];
	int64_t turn_us;
	const char *longest;
	const char *longest_work;
	int64_t longest_us;
	bool is_long;
} cases[] = {
	{ "nothing to do", { { NULL } }, 10, NULL, NULL, 0, false },
	{ "a short turn",
	  { { "a", NULL, 300 }, { "b", NULL, 900 }, { "c", NULL, 1000 } },
	  1000,
	  "b",
	  NULL,
	  600,
	  false },
	{ "the longest callback names its work",
	  { { "a", NULL, 1000 }, { "b", "parse", 30000 }, { "c", NULL, 30010 } },
	  30010,
	  "b",
	  "parse",
	  29000,
	  true },
	{ "work is not taken over by a later callback",
	  { { "a", "parse", 1000 }, { "b", NULL, 19000 } },
	  20000,
	  "b",
	  NULL,
	  18000,
	  true },
	{ "many short callbacks make a long turn",
	  { { "a", NULL, 9000 }, { "b", NULL, 18000 }, { "c", NULL, 27000 } },
	  27000,
	  "a",
	  NULL,
	  9000,
	  true },
};

Test(turn, the_longest_callback_of_a_turn_is_known)
{
	const int64_t start_us = 5000000;
	struct turn turn;
	size_t i;
	size_t j;

	for (i = 0; i < COUNT(cases); i++) {
		int64_t long_before = long_turn_count();
		uint64_t counted_before = turn_times()->count;

		turn_begin(&turn, start_us);
		for (j = 0; j < 3 && cases[i].callbacks[j].name; j++) {
			turn.work = cases[i].callbacks[j].work;
			turn_callback_ended(
				&turn, cases[i].callbacks[j].name,
				start_us + cases[i].callbacks[j].ended_us);
		}
		turn_end(&turn, start_us + cases[i].turn_us);
		cr_expect_eq(turn.callbacks, j, "%s", cases[i].name);
		cr_expect_eq(turn.longest_us, cases[i].longest_us, "%s",
			     cases[i].name);
		cr_expect(turn.longest == cases[i].longest, "%s",
			  cases[i].name);
		cr_expect(turn.longest_work == cases[i].longest_work, "%s",
			  cases[i].name);
		cr_expect_eq(long_turn_count() - long_before, cases[i].is_long,
			     "%s", cases[i].name);
		cr_expect_eq(turn_times()->count - counted_before, 1, "%s",
			     cases[i].name);
	}
}
