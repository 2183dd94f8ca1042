#include "wire/hub.h"

#include <string.h>
#include <utlist.h>

#include "base/counter.h"
#include "base/log.h"
#include "os/clock.h"
#include "os/net.h"
#include "wire/hub_defs.h"

static const char component[] = "wire";

enum {
	DEFAULT_HANDSHAKE_TIMEOUT_MS = 3000,
	CONNS_MAX = 4096,
};

COUNTER(connections_refused, "wire.connections_refused",
	"Connections closed at once because there are too many");

static void accept_ready(struct watch *watch, int ready, void *data)
{
	struct wire_hub *hub = data;
	struct address from;
	int fd;

	while ((fd = net_accept(hub->listen_fd, &from)) != NET_NONE) {
		if (hub->conn_count >= CONNS_MAX) {
			counter_add(&connections_refused, 1);
			net_close(fd);
			continue;
		}
		wire_handshake_begin(wire_conn_new(hub, fd, &from, false));
	}
}

bool wire_hub_init(struct wire_hub *hub, struct loop *loop,
		   const struct identity *self, const struct wire_key *key,
		   struct error *err)
{
	memset(hub, 0, sizeof(*hub));
	hub->loop = loop;
	hub->self = *self;
	hub->key = *key;
	hub->handshake_timeout_ms = DEFAULT_HANDSHAKE_TIMEOUT_MS;
	hub->compress_calls = true;
	encoder_init(&hub->encoder);
	hub->listen_fd = net_listen(&hub->self.address, err);
	if (hub->listen_fd != NET_NONE &&
	    watch_start(&hub->listen_watch, loop, hub->listen_fd, LOOP_READ,
			accept_ready, hub, err))
		return true;
	net_close(hub->listen_fd);
	encoder_finish(&hub->encoder);
	return false;
}

/* Logs what the peers may not get because this process ends. */
static void log_left(const struct wire_hub *hub)
{
	const struct wire_conn *conn;
	int64_t unwritten = 0;
	int64_t undelivered = 0;
	int64_t unread = 0;

	DL_FOREACH(hub->conns, conn) {
		unwritten += (int64_t)wire_conn_queued_bytes(conn);
		undelivered += (int64_t)net_undelivered_bytes(conn->fd);
		unread += (int64_t)net_unread_bytes(conn->fd);
	}
	if (unwritten || undelivered || unread)
		log_info(component, "connections_left",
			 LOG_NUMBER("connections", hub->conn_count),
			 LOG_NUMBER("unwritten_bytes", unwritten),
			 LOG_NUMBER("undelivered_bytes", undelivered),
			 LOG_NUMBER("unread_bytes", unread));
}

void wire_hub_finish(struct wire_hub *hub)
{
	struct wire_conn *conn;
	struct wire_conn *next;

	log_left(hub);
	watch_stop(&hub->listen_watch);
	net_close(hub->listen_fd);
	DL_FOREACH_SAFE(hub->conns, conn, next)
		wire_conn_free(conn);
	encoder_finish(&hub->encoder);
	buffer_finish(&hub->compressed);
	buffer_finish(&hub->decompressed);
}

void wire_hub_register(struct wire_hub *hub, int range, wire_frame_fn *on_frame,
		       wire_state_fn *on_state, void *data)
{
	struct wire_range *entry = &hub->ranges[range / 16];

	entry->on_frame = on_frame;
	entry->on_state = on_state;
	entry->data = data;
}

/* Size of the fields of an address without the padding, whose bytes are
 * unspecified. */
enum { ADDRESS_KEY_BYTES = offsetof(struct address, family) + 1 };

static struct wire_conn *find_preferred(struct wire_hub *hub,
					const struct address *to)
{
	struct wire_conn *conn;

	HASH_FIND(by_address, hub->preferred, to, ADDRESS_KEY_BYTES, conn);
	return conn;
}

void wire_hub_set_preferred(struct wire_conn *conn, bool preferred)
{
	struct wire_hub *hub = conn->hub;

	if (conn->preferred == preferred)
		return;
	conn->preferred = preferred;
	if (preferred)
		HASH_ADD(by_address, hub->preferred, remote_address,
			 ADDRESS_KEY_BYTES, conn);
	else
		HASH_DELETE(by_address, hub->preferred, conn);
}

struct wire_conn *wire_hub_reconnect(struct wire_hub *hub,
				     const struct address *to)
{
	struct wire_conn *old = find_preferred(hub, to);
	struct error err = ERROR_INIT;
	struct wire_conn *conn;

	if (old)
		wire_hub_set_preferred(old, false);
	conn = wire_conn_new(hub, net_connect(to, &hub->self.address, &err), to,
			     true);
	wire_hub_set_preferred(conn, conn->state != WIRE_CONN_CLOSED);
	return conn;
}

struct wire_conn *wire_hub_connect(struct wire_hub *hub,
				   const struct address *to)
{
	struct wire_conn *conn = find_preferred(hub, to);

	return conn ? conn : wire_hub_reconnect(hub, to);
}

bool wire_hub_has_connection(struct wire_hub *hub, const struct address *to)
{
	return find_preferred(hub, to) != NULL;
}

static struct wire_conn *find_id(struct wire_hub *hub, uint64_t id)
{
	struct wire_conn *conn;

	DL_FOREACH(hub->conns, conn)
		if (conn->id == id)
			return conn;
	return NULL;
}

struct wire_conn *wire_hub_route(struct wire_hub *hub, uint64_t id,
				 const struct address *to, bool new_connection)
{
	if (id)
		return find_id(hub, id);
	if (new_connection)
		return wire_hub_reconnect(hub, to);
	return wire_hub_connect(hub, to);
}

void wire_hub_set_filter(struct wire_hub *hub, const struct wire_filter *filter)
{
	struct wire_conn *conn;

	if (filter->open_only)
		hub->filter.count = 0;
	else
		hub->filter = *filter;
	DL_FOREACH(hub->conns, conn) {
		bool blocked =
			wire_filter_blocks(filter, &conn->remote_address);

		conn->blocked_permanently |= blocked && filter->open_only;
		conn->blocked = blocked || conn->blocked_permanently;
		wire_conn_watch(conn);
	}
}

enum delivery_state wire_hub_delivery(struct wire_hub *hub, int64_t now_us)
{
	enum delivery_state most = DELIVERY_COMPLETE;
	struct wire_conn *conn;

	DL_FOREACH(hub->conns, conn) {
		enum delivery_state state;

		if (conn->state != WIRE_CONN_OPEN || conn->dialed)
			continue;
		state = delivery_update(&conn->delivery,
					wire_conn_queued_bytes(conn) +
						net_undelivered_bytes(conn->fd),
					now_us);
		if (state > most)
			most = state;
	}
	return most;
}

static const char *state_name(enum wire_conn_state state)
{
	static const char *const names[] = { "connecting", "handshake", "open",
					     "closed" };

	return names[state];
}

static json_t *dump_conn(const struct wire_conn *conn, int64_t now_us)
{
	char address[ADDRESS_TEXT_SIZE];

	return json_pack(
		"{s:I,s:s,s:s,s:s,s:b,s:b,s:I,s:I}", "id", (json_int_t)conn->id,
		"state", state_name(conn->state), "peer", conn->peer.instance,
		"address", address_format(&conn->remote_address, address),
		"dialed", conn->dialed, "blocked", conn->blocked,
		"queued_bytes", (json_int_t)wire_conn_queued_bytes(conn),
		"received_ms_ago",
		(json_int_t)((now_us - conn->received_us) / US_PER_MS));
}

static json_t *dump_traffic(const struct wire_traffic *traffic, int type)
{
	return json_pack("{s:i,s:I,s:I,s:I,s:I}", "type", type, "sent_frames",
			 (json_int_t)traffic->sent_frames, "sent_bytes",
			 (json_int_t)traffic->sent_bytes, "received_frames",
			 (json_int_t)traffic->received_frames, "received_bytes",
			 (json_int_t)traffic->received_bytes);
}

json_t *wire_hub_dump(const struct wire_hub *hub)
{
	json_t *conns = json_array();
	json_t *traffic = json_array();
	const struct wire_conn *conn;
	int type;

	DL_FOREACH(hub->conns, conn)
		json_array_append_new(conns,
				      dump_conn(conn, loop_now_us(hub->loop)));
	for (type = 0; type < FRAME_TYPES; type++)
		if (hub->traffic[type].sent_frames ||
		    hub->traffic[type].received_frames)
			json_array_append_new(traffic,
					      dump_traffic(&hub->traffic[type],
							   type));
	return json_pack("{s:o,s:o}", "connections", conns, "traffic", traffic);
}
