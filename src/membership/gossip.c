#include "membership/gossip.h"

#include <string.h>
#include <utlist.h>

#include "base/counter.h"
#include "base/log.h"
#include "membership/members_defs.h"
#include "os/clock.h"
#include "os/net.h"

static const char component[] = "membership";

enum { RECEIVE_ROUNDS = 64, DATAGRAM_MAX_BYTES = 2048 };

COUNTER(sent_bytes, "membership.datagram_sent_bytes",
	"Bytes of datagrams sent, their seals included");
COUNTER(received_bytes, "membership.datagram_received_bytes",
	"Bytes of datagrams received, those refused included");
COUNTER(unsealed, "membership.datagrams_unsealed",
	"Datagrams dropped because their seal was not of this deployment");
GAUGE(records, "membership.records", "Records held, the own one included");
GAUGE(live, "membership.live",
      "Nodes of the own data centre that can be reached, this one included");

/* A datagram is an array of fewer than 16 fields, whose header takes one
 * byte; the packet type is the next byte. Returns 0 for an unknown type. */
static uint8_t packet_type_of(const uint8_t *body, size_t size)
{
	return size > 1 && body[1] < GOSSIP_PACKET_TYPES ? body[1] : 0;
}

static void send_datagram(struct gossip *gossip,
			  const struct members_action *action)
{
	uint8_t datagram[DATAGRAM_MAX_BYTES];
	size_t size = MAC_BYTES + action->size;

	if (size > sizeof(datagram) ||
	    wire_filter_blocks(&gossip->hub->filter, &action->to))
		return;
	memcpy(datagram + MAC_BYTES, action->bytes, action->size);
	wire_compute_mac(&gossip->hub->key, action->bytes, action->size,
			 datagram);
	net_send_to(gossip->fd, &action->to, datagram, size);
	gossip->traffic.sent++;
	gossip->traffic.sent_bytes += size;
	gossip->traffic.sent_bytes_by_type[packet_type_of(
		action->bytes, action->size)] += size;
	counter_add(&sent_bytes, (int64_t)size);
}

static void send_frame(struct gossip *gossip,
		       const struct members_action *action)
{
	struct wire_conn *conn = wire_hub_route(
		gossip->hub, action->conn, &action->to, action->new_connection);

	/* A frame lost with its connection is not sent again: the next
	 * synchronization transfers the same records. */
	if (conn)
		wire_conn_send(conn, action->bytes, action->size);
}

static void log_event(const struct members_event *event)
{
	switch (event->type) {
	case MEMBERS_RECORD:
		log_debug(component, "record",
			  LOG_TEXT("member", event->record->instance),
			  LOG_TEXT("state",
				   upstream_state_name(event->record->state)),
			  LOG_NUMBER("reachable", event->reachable));
		return;
	case MEMBERS_DROPPED:
		log_debug(component, "dropped",
			  LOG_TEXT("member", event->name));
		return;
	case MEMBERS_DATA_CENTRE:
		log_info(component, "data_centre_reachability",
			 LOG_TEXT("of", event->name),
			 LOG_NUMBER("reachable", event->reachable));
		return;
	case MEMBERS_HEAD:
		return;
	}
}

static void notify_observers(struct gossip *gossip,
			     const struct members_event *event)
{
	uint32_t i;

	log_event(event);
	for (i = 0; i < gossip->observer_count; i++)
		gossip->observers[i].fn(event, gossip->observers[i].data);
}

static void set_timer(struct gossip *gossip)
{
	int64_t next_us = members_next_us(&gossip->members);

	if (next_us == INT64_MAX)
		timer_cancel(gossip->loop, &gossip->timer);
	else
		timer_set(gossip->loop, &gossip->timer, next_us);
}

static void drain_run(void *data)
{
	struct gossip *gossip = data;
	struct members_action action;

	while (members_next_action(&gossip->members, &action)) {
		switch (action.type) {
		case MEMBERS_SEND:
			send_datagram(gossip, &action);
			break;
		case MEMBERS_FRAME:
			send_frame(gossip, &action);
			break;
		case MEMBERS_EVENT:
			notify_observers(gossip, &action.event);
			break;
		}
	}
	counter_set(&records, HASH_COUNT(gossip->members.table));
	counter_set(&live, members_live_count(&gossip->members));
	set_timer(gossip);
}

static void drain(struct gossip *gossip)
{
	loop_defer(gossip->loop, &gossip->drain);
}

static void timer_expired(struct timer *timer, void *data)
{
	struct gossip *gossip = data;

	members_tick(&gossip->members, loop_now_us(gossip->loop));
	set_timer(gossip);
	drain(gossip);
}

static void handle_datagram(struct gossip *gossip, const struct address *from,
			    const uint8_t *data, size_t size)
{
	if (wire_filter_blocks(&gossip->hub->filter, from))
		return;
	gossip->traffic.received++;
	gossip->traffic.received_bytes += size;
	counter_add(&received_bytes, (int64_t)size);
	/* Without this check, any host on the network could announce nodes
	 * or have nodes marked unreachable. */
	if (size <= MAC_BYTES ||
	    !wire_mac_is_valid(&gossip->hub->key, data + MAC_BYTES,
			       size - MAC_BYTES, data)) {
		gossip->traffic.unsealed++;
		counter_add(&unsealed, 1);
		return;
	}
	gossip->traffic.received_bytes_by_type[packet_type_of(
		data + MAC_BYTES, size - MAC_BYTES)] += size;
	members_datagram(&gossip->members, from, data + MAC_BYTES,
			 size - MAC_BYTES, loop_now_us(gossip->loop));
}

static void datagram_ready(struct watch *watch, int ready, void *data)
{
	struct gossip *gossip = data;
	uint8_t datagram[DATAGRAM_MAX_BYTES];
	struct address from;
	int rounds;

	for (rounds = 0; rounds < RECEIVE_ROUNDS; rounds++) {
		size_t size = sizeof(datagram);

		if (net_receive_from(gossip->fd, &from, datagram, &size) !=
		    NET_OK)
			break;
		handle_datagram(gossip, &from, datagram, size);
	}
	drain(gossip);
}

static void frame_received(struct wire_conn *conn,
			   const struct message *message, void *data)
{
	struct gossip *gossip = data;

	members_frame(&gossip->members, conn->id, &conn->peer, message,
		      loop_now_us(gossip->loop));
	drain(gossip);
}

static bool begin(struct gossip *gossip, const struct members_options *options,
		  struct error *err)
{
	const struct identity *self = &gossip->hub->self;
	struct record own = { .incarnation = self->incarnation,
			      .sequence = 1,
			      .address = self->address,
			      .fitness = options->fitness };
	struct address address = self->address;

	gossip->fd = net_bind_udp(&address, err);
	if (gossip->fd == NET_NONE)
		return false;
	memcpy(own.instance, self->instance, NAME_SIZE);
	memcpy(own.data_centre, self->data_centre, NAME_SIZE);
	members_init(&gossip->members, options, &own,
		     loop_now_us(gossip->loop));
	if (watch_start(&gossip->watch, gossip->loop, gossip->fd, LOOP_READ,
			datagram_ready, gossip, err))
		return true;
	members_finish(&gossip->members);
	net_close(gossip->fd);
	return false;
}

bool gossip_init(struct gossip *gossip, const struct members_options *options,
		 struct loop *loop, struct wire_hub *hub,
		 const struct address *seeds, uint32_t seed_count,
		 struct error *err)
{
	struct members_options own;
	uint8_t nonce[NONCE_BYTES];
	uint32_t i;

	memset(gossip, 0, sizeof(*gossip));
	gossip->loop = loop;
	gossip->hub = hub;
	if (options)
		own = *options;
	else
		members_options_init(&own);
	if (!own.seed) {
		wire_nonce(nonce);
		memcpy(&own.seed, nonce, sizeof(own.seed));
	}
	timer_init(&gossip->timer, timer_expired, gossip);
	deferred_init(&gossip->drain, drain_run, gossip);
	if (!begin(gossip, &own, err))
		return false;
	for (i = 0; i < seed_count; i++)
		members_add_seed(&gossip->members, &seeds[i]);
	wire_hub_register(hub, FRAME_RANGE_MEMBERSHIP, frame_received, NULL,
			  gossip);
	drain(gossip);
	return true;
}

void gossip_finish(struct gossip *gossip)
{
	wire_hub_register(gossip->hub, FRAME_RANGE_MEMBERSHIP, NULL, NULL,
			  NULL);
	timer_cancel(gossip->loop, &gossip->timer);
	loop_defer_cancel(gossip->loop, &gossip->drain);
	watch_stop(&gossip->watch);
	net_close(gossip->fd);
	members_finish(&gossip->members);
}

void gossip_observe(struct gossip *gossip, gossip_observer_fn *fn, void *data)
{
	if (gossip->observer_count == GOSSIP_OBSERVERS_MAX)
		return;
	gossip->observers[gossip->observer_count].fn = fn;
	gossip->observers[gossip->observer_count].data = data;
	gossip->observer_count++;
}

void gossip_add_seed(struct gossip *gossip, const struct address *seed)
{
	members_add_seed(&gossip->members, seed);
	drain(gossip);
}

void gossip_set_upstream(struct gossip *gossip,
			 const struct members_upstream *own)
{
	members_set_upstream(&gossip->members, own, loop_now_us(gossip->loop));
	drain(gossip);
}

void gossip_set_head(struct gossip *gossip, const struct head_digest *head)
{
	members_set_head(&gossip->members, head, loop_now_us(gossip->loop));
	drain(gossip);
}

void gossip_set_refused(struct gossip *gossip, uint64_t version,
			const char *reason)
{
	members_set_refused(&gossip->members, version, reason,
			    loop_now_us(gossip->loop));
	drain(gossip);
}

void gossip_announce(struct gossip *gossip, bool origin)
{
	members_announce(&gossip->members, origin, loop_now_us(gossip->loop));
	drain(gossip);
}

void gossip_ask_source_read(struct gossip *gossip, const char *duty)
{
	members_ask_source_read(&gossip->members, duty,
				loop_now_us(gossip->loop));
	drain(gossip);
}

void gossip_query_status(struct gossip *gossip)
{
	members_query_status(&gossip->members, loop_now_us(gossip->loop));
	drain(gossip);
}

void gossip_report_suspect(struct gossip *gossip, const char *data_centre,
			   const char *instance)
{
	members_report_suspect(&gossip->members, data_centre, instance,
			       loop_now_us(gossip->loop));
	drain(gossip);
}

void gossip_leave(struct gossip *gossip)
{
	members_leave(&gossip->members, loop_now_us(gossip->loop));
	loop_defer_cancel(gossip->loop, &gossip->drain);
	drain_run(gossip);
}
