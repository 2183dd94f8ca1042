#include "base/log.h"
#include "node/node_defs.h"
#include "os/clock.h"

/**
 * DOC: leave
 *
 * Graceful shutdown of a node: which parts stop when, and which work the end of
 * the process waits for. leaving.h computes the times, exit.h decides.
 */

static const char component[] = "node";

void node_drained(void *data)
{
	struct node *node = data;

	log_info(component, "drained");
	/* New callers find the port closed. Callers that have connected before
	 * are answered until the process ends. */
	http_server_stop_accepting(&node->callers);
	quota_net_leave(&node->quota);
	gossip_leave(&node->gossip);
	node_exit_drained(&node->exit);
}

/* The next reader can start at once if the lease is released, and otherwise
 * only when the lease expires. The wait for the store is bounded, since the
 * store may be down. A caller whose request arrives on a connection that is
 * still open receives its refusal. A caller or a peer that has not received all
 * of an answer would lose the rest if it sent more bytes after the end of this
 * process: the kernel would reset the connection. */
static struct leaving_open open_work(void *data)
{
	struct node *node = data;
	enum delivery_state callers = http_server_delivery(&node->callers);
	enum delivery_state peers =
		wire_hub_delivery(&node->hub, loop_now_us(&node->loop));
	const struct leaving_open open = {
		.store = !node_source_is_idle(node),
		.callers = node->callers.exchange_count > 0 ||
			   callers != DELIVERY_COMPLETE,
		.peers = peers != DELIVERY_COMPLETE,
		.receiving = callers == DELIVERY_ACTIVE ||
			     peers == DELIVERY_ACTIVE,
	};

	return open;
}

/* Logs the work that the shutdown leaves incomplete. */
static void exit_ended(const struct leaving_open *left, void *data)
{
	struct node *node = data;

	if (left->store || left->callers || left->peers)
		log_warn(component, "left_open",
			 LOG_NUMBER("unanswered", node->callers.exchange_count),
			 LOG_NUMBER("peers", left->peers),
			 LOG_NUMBER("store", left->store));
	node->stopped = true;
}

static void init_exit(struct node *node)
{
	const struct node_exit_options options = {
		.loop = &node->loop,
		.open = open_work,
		.ended = exit_ended,
		.data = node,
	};

	node_exit_init(&node->exit, &options);
}

static void close_upstream(struct node *node)
{
	if (node->closing)
		return;
	node->closing = true;
	node_upstream_changed(announce_current(&node->announce), node);
	calls_leave(&node->calls);
}

static void keep_upstream_expired(struct timer *timer, void *data)
{
	close_upstream(data);
}

static void linger_expired(struct timer *timer, void *data)
{
	struct node *node = data;

	close_upstream(node);
	calls_drain(&node->calls, node->settings->call.drain_ms);
}

/*
 * Starts a graceful shutdown. During the linger time the node still serves
 * callers that do not know yet that the node stops; the process ends after all
 * calls have drained. The local upstream is not stopping, but other nodes
 * cannot reach it without this node. The upstream therefore gets new work
 * during keep_upstream_ms, which reduces the number of unavailable upstreams
 * during a rolling restart of all nodes.
 */
void node_leave(struct node *node)
{
	const struct settings_call *from = &node->settings->call;
	int64_t now_us = loop_now_us(&node->loop);

	log_info(component, "leaving");
	node->leaving = true;
	leaving_begin(&node->exit.times, from->linger_ms, from->drain_ms,
		      now_us);
	calls_begin_leaving(&node->calls, node->exit.times.work_until_us);
	node_source_withdraw(node);
	if (from->keep_upstream_ms)
		timer_set(&node->loop, &node->keep_upstream,
			  now_us + from->keep_upstream_ms * US_PER_MS);
	else
		close_upstream(node);
	timer_set(&node->loop, &node->linger,
		  now_us + from->linger_ms * US_PER_MS);
}

void node_leave_init(struct node *node)
{
	init_exit(node);
	timer_init(&node->linger, linger_expired, node);
	timer_init(&node->keep_upstream, keep_upstream_expired, node);
}

void node_leave_finish(struct node *node)
{
	node_exit_finish(&node->exit);
	timer_cancel(&node->loop, &node->linger);
	timer_cancel(&node->loop, &node->keep_upstream);
}
