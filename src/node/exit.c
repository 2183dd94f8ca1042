#include "node/exit.h"

#include "os/clock.h"

static void decide(void *data)
{
	struct node_exit *node_exit = data;
	const struct node_exit_options *options = &node_exit->options;
	const struct leaving_open open = options->open(options->data);
	int64_t now_us = loop_now_us(options->loop);
	int64_t until_us = leaving_until_us(&node_exit->times, &open);
	int64_t next_us = now_us + LEAVING_DATAGRAMS_MS * US_PER_MS;

	if (now_us < until_us)
		timer_set(options->loop, &node_exit->timer,
			  next_us < until_us ? next_us : until_us);
	else
		options->ended(&open, options->data);
}

/* The call of the loop after which no input is read in the same turn. */
static void timer_expired(struct timer *timer, void *data)
{
	struct node_exit *node_exit = data;

	loop_defer_idle(node_exit->options.loop, &node_exit->decide);
}

void node_exit_init(struct node_exit *node_exit,
		    const struct node_exit_options *options)
{
	node_exit->options = *options;
	timer_init(&node_exit->timer, timer_expired, node_exit);
	deferred_init(&node_exit->decide, decide, node_exit);
}

void node_exit_finish(struct node_exit *node_exit)
{
	timer_cancel(node_exit->options.loop, &node_exit->timer);
	loop_defer_cancel(node_exit->options.loop, &node_exit->decide);
}

void node_exit_drained(struct node_exit *node_exit)
{
	int64_t now_us = loop_now_us(node_exit->options.loop);

	leaving_drained(&node_exit->times, now_us);
	timer_set(node_exit->options.loop, &node_exit->timer,
		  now_us + LEAVING_DATAGRAMS_MS * US_PER_MS);
}
