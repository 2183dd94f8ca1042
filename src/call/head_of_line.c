#include "call/head_of_line.h"

#include <math.h>

#include "os/clock.h"

/* Value of a late answer, as a part of the value of one in time. */
#define LATE_VALUE 0.5
/* Loss by a repeat that can still be in time: a further run, and the risk that
 * it takes longer than the first. */
#define REPEAT_LOSS 0.5

enum {
	/* Time in which an answer gets from this node to its caller. */
	WAY_US = 20 * US_PER_MS,
};

int64_t head_of_line_check_us(const struct head_of_line_held *held,
			      int64_t now_us)
{
	if (held->due_us && now_us < held->due_us - WAY_US)
		return held->due_us - WAY_US;
	if (now_us < held->deadline_us - WAY_US)
		return held->deadline_us - WAY_US;
	return INT64_MAX;
}

double head_of_line_gain(const struct head_of_line_held *held, int64_t now_us)
{
	if (now_us < held->due_us)
		return held->weight;
	return now_us < held->deadline_us ? held->weight * LATE_VALUE : 0;
}

/* A repeat is expected to take as long as the head has run by now. */
double head_of_line_loss(const struct head_of_line_head *head, int64_t now_us)
{
	int64_t repeat_end_us = now_us + (now_us - head->started_us);

	if (!head->repeatable || head->repeated || !head->has_room)
		return INFINITY;
	if (repeat_end_us > head->deadline_us)
		return head->weight;
	if (head->due_us && now_us < head->due_us &&
	    repeat_end_us > head->due_us)
		return head->weight;
	return head->weight * REPEAT_LOSS;
}
