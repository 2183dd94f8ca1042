#include "spread/spread_net.h"

#include <string.h>
#include <utlist.h>

#include "base/log.h"
#include "spread/spread_defs.h"

static const char component[] = "spread";

static void drain(struct spread_net *net)
{
	loop_defer(net->loop, &net->drain);
}

static void send_frame(struct spread_net *net,
		       const struct spread_action *action)
{
	struct wire_conn *conn = wire_hub_route(
		net->hub, action->conn, &action->to, action->new_connection);

	if (conn)
		wire_conn_send(conn, action->bytes, action->size);
}

static void push_all(struct spread_net *net)
{
	const struct members *members = &net->gossip->members;
	const struct member *member = NULL;

	while ((member = members_next(members, member)))
		spread_push(&net->spread, &member->record.address);
}

static void applied(struct spread_net *net, const struct spread_action *action)
{
	gossip_set_refused(net->gossip, 0, "");
	gossip_set_head(net->gossip, &action->head);
	if (!net->spread.options.plain)
		gossip_announce(net->gossip, action->origin);
}

static void drain_run(void *data)
{
	struct spread_net *net = data;
	struct spread_action action;
	int64_t next_us;

	while (spread_next_action(&net->spread, &action)) {
		switch (action.type) {
		case SPREAD_FRAME:
			send_frame(net, &action);
			break;
		case SPREAD_APPLIED:
			applied(net, &action);
			break;
		case SPREAD_REFUSED:
			log_warn(component, "version_refused",
				 LOG_NUMBER("version",
					    (int64_t)action.head.version),
				 LOG_TEXT("reason", action.reason));
			gossip_set_refused(net->gossip, action.head.version,
					   action.reason);
			break;
		case SPREAD_PUSH_ALL:
			push_all(net);
			break;
		}
	}
	next_us = spread_next_us(&net->spread);
	if (next_us == INT64_MAX)
		timer_cancel(net->loop, &net->timer);
	else
		timer_set(net->loop, &net->timer, next_us);
}

static void timer_expired(struct timer *timer, void *data)
{
	struct spread_net *net = data;

	spread_tick(&net->spread, loop_now_us(net->loop));
	drain(net);
}

static void on_event(const struct members_event *event, void *data)
{
	struct spread_net *net = data;

	if (event->type != MEMBERS_HEAD)
		return;
	spread_peer_applied(&net->spread, event->head.version, &event->from,
			    loop_now_us(net->loop));
	drain(net);
}

static void on_changed(struct config *config, void *data)
{
	struct spread_net *net = data;

	spread_applied(&net->spread, config);
	drain(net);
}

static const char *work_name(uint8_t type)
{
	switch (type) {
	case FRAME_SPREAD_HEAD:
		return "head from a node";
	case FRAME_SPREAD_BODY:
		return "body from a node";
	case FRAME_SPREAD_GET:
	case FRAME_SPREAD_GET_BODIES:
		return "version for a node";
	default:
		return "answer of a node about a version";
	}
}

static void on_frame(struct wire_conn *conn, const struct message *message,
		     void *data)
{
	struct spread_net *net = data;

	loop_name_work(net->loop, work_name(message->type));
	spread_frame(&net->spread, conn->id, &conn->peer, message,
		     loop_now_us(net->loop));
	drain(net);
}

static void on_state(struct wire_conn *conn, void *data)
{
	struct spread_net *net = data;

	if (conn->state != WIRE_CONN_CLOSED || !conn->dialed)
		return;
	spread_disconnected(&net->spread, &conn->remote_address,
			    loop_now_us(net->loop));
	drain(net);
}

void spread_net_init(struct spread_net *net,
		     const struct spread_options *options, struct loop *loop,
		     struct wire_hub *hub, struct gossip *gossip,
		     struct keeper *keeper)
{
	struct spread_options effective;
	uint8_t nonce[NONCE_BYTES];

	memset(net, 0, sizeof(*net));
	net->loop = loop;
	net->hub = hub;
	net->gossip = gossip;
	if (options)
		effective = *options;
	else
		spread_options_init(&effective);
	if (!effective.seed) {
		wire_nonce(nonce);
		memcpy(&effective.seed, nonce, sizeof(effective.seed));
	}
	spread_init(&net->spread, &effective, keeper, loop_now_us(loop));
	timer_init(&net->timer, timer_expired, net);
	deferred_init(&net->drain, drain_run, net);
	net->observer.changed = on_changed;
	net->observer.data = net;
	keeper_observe(keeper, &net->observer);
	gossip_observe(gossip, on_event, net);
	wire_hub_register(hub, FRAME_RANGE_SPREAD, on_frame, on_state, net);
	if (keeper_config(keeper))
		on_changed(keeper_config(keeper), net);
}

void spread_net_finish(struct spread_net *net)
{
	wire_hub_register(net->hub, FRAME_RANGE_SPREAD, NULL, NULL, NULL);
	timer_cancel(net->loop, &net->timer);
	loop_defer_cancel(net->loop, &net->drain);
	spread_finish(&net->spread);
}

json_t *spread_net_dump(const struct spread_net *net)
{
	return spread_dump(&net->spread);
}
