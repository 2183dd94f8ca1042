#include <criterion/criterion.h>

#include "os/clock.h"
#include "os/delivery.h"

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))

enum { STEPS_MAX = 8 };

/* Guards against a receiver that is given up while it reads, and against one
 * that is waited for though it takes nothing. */
Test(delivery, progress_decides_and_not_the_time_since_a_write)
{
	static const struct {
		const char *name;
		struct {
			int64_t at_ms;
			size_t undelivered_bytes;
			enum delivery_state wanted;
		} steps[STEPS_MAX];
	} cases[] = {
		{ "all delivered at once", { { 1, 0, DELIVERY_COMPLETE } } },
		{ "one acknowledgement each three seconds",
		  { { 1, 300, DELIVERY_ACTIVE },
		    { 3001, 200, DELIVERY_ACTIVE },
		    { 6001, 100, DELIVERY_ACTIVE },
		    { 9001, 0, DELIVERY_COMPLETE } } },
		{ "nothing is taken",
		  { { 1, 300, DELIVERY_ACTIVE },
		    { 2000, 300, DELIVERY_ACTIVE },
		    { 4000, 300, DELIVERY_ACTIVE },
		    { 4001, 300, DELIVERY_STALLED },
		    { 9000, 300, DELIVERY_STALLED } } },
		{ "taken again after a silence",
		  { { 1, 300, DELIVERY_ACTIVE },
		    { 5000, 300, DELIVERY_STALLED },
		    { 5100, 299, DELIVERY_ACTIVE },
		    { 9099, 299, DELIVERY_ACTIVE },
		    { 9100, 299, DELIVERY_STALLED } } },
		{ "a byte a second",
		  { { 1, 3, DELIVERY_ACTIVE },
		    { 1001, 2, DELIVERY_ACTIVE },
		    { 2001, 1, DELIVERY_ACTIVE },
		    { 3001, 0, DELIVERY_COMPLETE } } },
		{ "more is written meanwhile",
		  { { 1, 300, DELIVERY_ACTIVE },
		    { 3900, 400, DELIVERY_ACTIVE },
		    { 7000, 400, DELIVERY_ACTIVE },
		    { 7900, 400, DELIVERY_STALLED } } },
		{ "a late first look",
		  { { 60000, 300, DELIVERY_ACTIVE },
		    { 64000, 300, DELIVERY_STALLED } } },
	};
	size_t i;
	size_t j;

	for (i = 0; i < COUNT(cases); i++) {
		struct delivery delivery = { 0 };

		for (j = 0; j < STEPS_MAX && cases[i].steps[j].at_ms; j++)
			cr_expect_eq(
				delivery_update(
					&delivery,
					cases[i].steps[j].undelivered_bytes,
					cases[i].steps[j].at_ms * US_PER_MS),
				cases[i].steps[j].wanted, "%s: step %zu",
				cases[i].name, j);
	}
}
