#ifndef NODE_EXIT_H
#define NODE_EXIT_H

#include "event/loop.h"
#include "node/leaving.h"

/**
 * DOC: exit
 *
 * Decides when a drained process ends. The decision is the last call of a turn
 * of the event loop: a request that is read after the decision would get no
 * answer, although its caller sees that it was read.
 */

/**
 * struct node_exit_options - what the owner provides
 * @open: returns the work that is left
 * @ended: the process is to end now, with the work in @left incomplete; called
 *	once
 */
struct node_exit_options {
	struct loop *loop;
	struct leaving_open (*open)(void *data);
	void (*ended)(const struct leaving_open *left, void *data);
	void *data;
};

/**
 * struct node_exit - the end of a process
 * @times: times of the graceful shutdown
 * @timer: time of the next decision
 * @decide: the decision, at the end of a turn
 */
struct node_exit {
	struct node_exit_options options;
	struct leaving times;
	struct timer timer;
	struct deferred decide;
};

void node_exit_init(struct node_exit *node_exit,
		    const struct node_exit_options *options);
void node_exit_finish(struct node_exit *node_exit);

/** node_exit_drained() - all calls have drained; the wait for the end begins. */
void node_exit_drained(struct node_exit *node_exit);

#endif
