#include "crowd.h"

#include <stdio.h>
#include <string.h>

#include "membership/members_defs.h"
#include "os/clock.h"
#include "os/net.h"

enum {
	PING_US = US_PER_S,
	REPLACEMENT_STEP_US = 250 * US_PER_MS,
	DATAGRAM_BYTES = 2048,
	SLOTS = 9,
	SERVICES = 980,
	RECEIVE_ROUNDS = 64,
};

static const int64_t far_future_us = 100000LL * US_PER_S;
/* As large as a wall clock in ms, because smaller numbers encode shorter. */
static const uint64_t first_incarnation = 1700000000000;

static const char home_centre[] = "dc-1";

static struct members *members_of(struct crowd *crowd)
{
	return &crowd->gossip.members;
}

static void drain(struct crowd *crowd)
{
	loop_defer(crowd->loop, &crowd->gossip.drain);
}

static void update_time(struct crowd *crowd)
{
	members_of(crowd)->now_us = loop_now_us(crowd->loop);
}

static void send_packet(struct crowd *crowd, enum packet_type type)
{
	struct packet_out out = { .type = type };

	if (type == PACKET_PING)
		out.nonce = members_nonce(members_of(crowd));
	packet_send(members_of(crowd), &crowd->node, &out);
}

/* Sends an announcement for each ring neighbour that the peer stands in for. */
static void announce_from_ring(struct crowd *crowd)
{
	uint32_t i;

	for (i = 0; i < CROWD_RING_NEIGHBOURS; i++)
		send_packet(crowd, PACKET_ANNOUNCE);
	drain(crowd);
}

/* In a real deployment each node is probed once a second on average. */
static void on_ping_timer(struct timer *timer, void *data)
{
	struct crowd *crowd = data;

	update_time(crowd);
	send_packet(crowd, PACKET_PING);
	drain(crowd);
	timer_set(crowd->loop, timer, loop_now_us(crowd->loop) + PING_US);
}

/* Makes the record of member @i, which serves. Members of a data centre are
 * assigned to racks in a fixed order, so that the members of a lost rack are
 * known. */
static void make_record(struct crowd *crowd, uint32_t i, struct record *record)
{
	uint32_t centre = i % CROWD_CENTRES;

	*record = (struct record){
		.address =
			crowd->racks[i / CROWD_CENTRES % CROWD_RACKS].address,
		.incarnation = first_incarnation + i,
		.sequence = 3,
		.state = UPSTREAM_SERVING,
		.slots = SLOTS,
		.serving_age_ms = MS_PER_S,
	};
	snprintf(record->instance, NAME_SIZE, "dc-%u-instance-%u", centre + 1,
		 i);
	snprintf(record->data_centre, NAME_SIZE, "dc-%u", centre + 1);
	/* Only the real upstream provides the first service. */
	snprintf(record->service, SERVICE_NAME_SIZE, "service-%04u",
		 1 + i % (SERVICES - 1));
	snprintf(record->profile, PROFILE_NAME_SIZE, "profile-%04u",
		 1 + i % (SERVICES - 1));
}

static void put_record(struct crowd *crowd, const struct record *record,
		       bool gossip)
{
	struct member *member =
		table_put(members_of(crowd), record, MEMBER_ALIVE);

	if (member && gossip)
		rumor_record(members_of(crowd), member);
}

void crowd_fill(struct crowd *crowd, uint32_t records)
{
	struct record record;

	update_time(crowd);
	for (; crowd->records < records; crowd->records++) {
		make_record(crowd, crowd->records, &record);
		put_record(crowd, &record, false);
	}
	drain(crowd);
}

static void mark_gone(struct crowd *crowd, const struct record *record)
{
	struct packet_mark mark = {
		.id = packet_member_id(record->data_centre, record->instance),
		.incarnation = record->incarnation,
		.sequence = record->sequence + 1,
		.status = MEMBER_GONE,
	};

	merge_gone(members_of(crowd), table_find(members_of(crowd), mark.id),
		   &mark);
}

/* Steps of a replacement: the member is leaving, then gone; a new member is
 * starting, then serving. */
static void on_replacement_timer(struct timer *timer, void *data)
{
	struct crowd *crowd = data;
	struct record *record = &crowd->replaced_record;

	update_time(crowd);
	switch (crowd->replacement_steps--) {
	case 4:
		record->state = UPSTREAM_LEAVING;
		record->sequence++;
		put_record(crowd, record, true);
		break;
	case 3:
		mark_gone(crowd, record);
		break;
	case 2:
		snprintf(record->instance, NAME_SIZE, "%.32s-replaced-%u",
			 record->data_centre, crowd->replaced);
		record->incarnation += first_incarnation;
		record->sequence = 2;
		record->state = UPSTREAM_STARTING;
		put_record(crowd, record, true);
		break;
	default:
		record->state = UPSTREAM_SERVING;
		record->sequence++;
		put_record(crowd, record, true);
		break;
	}
	announce_from_ring(crowd);
	if (crowd->replacement_steps)
		timer_set(crowd->loop, timer,
			  loop_now_us(crowd->loop) + REPLACEMENT_STEP_US);
}

void crowd_replace(struct crowd *crowd)
{
	struct member *member;
	char name[NAME_SIZE];
	char centre[NAME_SIZE];
	uint32_t i;

	if (crowd->replacement_steps)
		return;
	i = crowd->records - 1 - crowd->replaced++;
	snprintf(centre, sizeof(centre), "dc-%u", i % CROWD_CENTRES + 1);
	snprintf(name, sizeof(name), "%.16s-instance-%u", centre, i);
	member = members_find(members_of(crowd), centre, name);
	if (!member)
		return;
	crowd->replaced_record = member->record;
	crowd->replacement_steps = 4;
	timer_set(crowd->loop, &crowd->replacement_timer,
		  loop_now_us(crowd->loop));
}

static void set_centre_reachable(struct crowd *crowd, uint32_t centre,
				 bool reachable)
{
	struct packet_centre judgement = { .reachable = reachable };
	struct data_centre *entry;
	char name[NAME_SIZE];

	snprintf(name, sizeof(name), "dc-%u", centre + 1);
	update_time(crowd);
	entry = table_centre_named(members_of(crowd), name);
	judgement.id = entry->id;
	judgement.stamp = entry->stamp + 1;
	link_merge_centre(members_of(crowd), &judgement);
	announce_from_ring(crowd);
}

void crowd_lose_centre(struct crowd *crowd, uint32_t centre)
{
	set_centre_reachable(crowd, centre, false);
}

static uint32_t restart_members(struct crowd *crowd, uint32_t centre, int rack,
				bool gossip)
{
	struct record record;
	uint32_t count = 0;
	uint32_t i;

	update_time(crowd);
	for (i = centre; i < crowd->records - crowd->replaced;
	     i += CROWD_CENTRES) {
		make_record(crowd, i, &record);
		if (rack >= 0 &&
		    i / CROWD_CENTRES % CROWD_RACKS != (uint32_t)rack)
			continue;
		record.incarnation += first_incarnation;
		put_record(crowd, &record, gossip);
		count++;
	}
	return count;
}

/* The records are not gossiped, as they are too many: the node finds different
 * digests and requests them. */
void crowd_return_centre(struct crowd *crowd, uint32_t centre)
{
	restart_members(crowd, centre, -1, false);
	set_centre_reachable(crowd, centre, true);
}

uint32_t crowd_lose_rack(struct crowd *crowd, uint32_t rack)
{
	uint32_t count = 0;
	uint32_t i;

	crowd->racks[rack].dead = true;
	update_time(crowd);
	for (i = 0; i < crowd->records - crowd->replaced; i += CROWD_CENTRES) {
		struct packet_mark mark = { .status = MEMBER_UNREACHABLE };
		struct record record;

		make_record(crowd, i, &record);
		if (i / CROWD_CENTRES % CROWD_RACKS != rack)
			continue;
		mark.id = packet_member_id(record.data_centre, record.instance);
		mark.incarnation = record.incarnation;
		mark.sequence = record.sequence;
		members_merge_mark(members_of(crowd), &mark, SOURCE_HOME);
		count++;
	}
	announce_from_ring(crowd);
	return count;
}

void crowd_return_rack(struct crowd *crowd, uint32_t rack)
{
	crowd->racks[rack].dead = false;
	restart_members(crowd, 0, (int)rack, true);
	announce_from_ring(crowd);
}

/* Lets the peer answer a datagram that was sent to a member of the rack. */
static void handle_rack_datagram(struct crowd_rack *rack,
				 const struct address *from,
				 const uint8_t *datagram, size_t size)
{
	struct crowd *crowd = rack->crowd;
	const uint8_t *body = datagram + MAC_BYTES;

	crowd->rack_received_bytes += size;
	if (rack->dead || size <= MAC_BYTES ||
	    !wire_mac_is_valid(&crowd->hub.key, body, size - MAC_BYTES,
			       datagram))
		return;
	members_datagram(members_of(crowd), from, body, size - MAC_BYTES,
			 loop_now_us(crowd->loop));
}

static void on_rack_readable(struct watch *watch, int ready, void *data)
{
	struct crowd_rack *rack = data;
	uint8_t datagram[DATAGRAM_BYTES];
	struct address from;
	uint32_t rounds;

	for (rounds = 0; rounds < RECEIVE_ROUNDS; rounds++) {
		size_t size = sizeof(datagram);

		if (net_receive_from(rack->fd, &from, datagram, &size) !=
		    NET_OK)
			break;
		if (address_equal(&from, &rack->crowd->node))
			handle_rack_datagram(rack, &from, datagram, size);
		else
			rack->crowd->peer_rack_bytes += size;
	}
	drain(rack->crowd);
}

static bool start_rack(struct crowd *crowd, uint32_t i, struct error *err)
{
	struct crowd_rack *rack = &crowd->racks[i];
	char text[ADDRESS_TEXT_SIZE];

	rack->crowd = crowd;
	snprintf(text, sizeof(text), "127.1.0.%u:0", i + 1);
	if (!address_parse(text, &rack->address, err))
		return false;
	rack->fd = net_bind_udp(&rack->address, err);
	return rack->fd != NET_NONE &&
	       watch_start(&rack->watch, crowd->loop, rack->fd, LOOP_READ,
			   on_rack_readable, rack, err);
}

static bool start_peer(struct crowd *crowd, struct error *err)
{
	struct identity self = { .deployment = "test",
				 .instance = "crowd",
				 .incarnation = 1 };
	struct members_options options;
	struct members *members = members_of(crowd);
	struct wire_key key;

	snprintf(self.data_centre, sizeof(self.data_centre), "%s", home_centre);
	wire_key_init(&key, "a secret of the tests", self.deployment);
	if (!address_parse("127.0.1.250:0", &self.address, err) ||
	    !wire_hub_init(&crowd->hub, crowd->loop, &self, &key, err))
		return false;
	members_options_init(&options);
	options.eager = false;
	if (!gossip_init(&crowd->gossip, &options, crowd->loop, &crowd->hub,
			 NULL, 0, err))
		return false;
	members->next_probe_us = loop_now_us(crowd->loop) + far_future_us;
	members->next_link_us = members->next_probe_us;
	members->next_reconnect_us = members->next_probe_us;
	members->next_expiry_us = members->next_probe_us;
	members->joined = true;
	/* The peer starts no comparisons: in a large deployment, one given
	 * peer compares its table with the node only once in minutes. */
	members->sync.not_before_us = members->next_probe_us;
	keeper_init(&crowd->keeper);
	spread_net_init(&crowd->spread, NULL, crowd->loop, &crowd->hub,
			&crowd->gossip, &crowd->keeper);
	return true;
}

bool crowd_start(struct crowd *crowd, struct loop *loop,
		 const struct address *node, struct error *err)
{
	struct packet_out hello = { .type = PACKET_PING,
				    .with_own_record = true };
	uint32_t i;

	memset(crowd, 0, sizeof(*crowd));
	crowd->loop = loop;
	crowd->node = *node;
	random_init(&crowd->random, 1);
	head_init(&crowd->head);
	if (!start_peer(crowd, err))
		return false;
	for (i = 0; i < CROWD_RACKS; i++)
		if (!start_rack(crowd, i, err))
			return false;
	timer_init(&crowd->ping_timer, on_ping_timer, crowd);
	timer_init(&crowd->replacement_timer, on_replacement_timer, crowd);
	update_time(crowd);
	hello.nonce = members_nonce(members_of(crowd));
	packet_send(members_of(crowd), node, &hello);
	drain(crowd);
	timer_set(loop, &crowd->ping_timer, loop_now_us(loop) + PING_US);
	return true;
}

void crowd_finish(struct crowd *crowd)
{
	uint32_t i;

	timer_cancel(crowd->loop, &crowd->ping_timer);
	timer_cancel(crowd->loop, &crowd->replacement_timer);
	for (i = 0; i < CROWD_RACKS; i++) {
		watch_stop(&crowd->racks[i].watch);
		net_close(crowd->racks[i].fd);
	}
	spread_net_finish(&crowd->spread);
	gossip_finish(&crowd->gossip);
	keeper_finish(&crowd->keeper);
	wire_hub_finish(&crowd->hub);
	head_finish(&crowd->head);
}

static uint64_t frame_bytes(const struct crowd *crowd, bool sent)
{
	uint64_t bytes = 0;
	int type;

	for (type = 0; type < FRAME_RANGE_CALL; type++)
		bytes += sent ? crowd->hub.traffic[type].sent_bytes
			      : crowd->hub.traffic[type].received_bytes;
	return bytes;
}

uint64_t crowd_sent_bytes(const struct crowd *crowd)
{
	return crowd->gossip.traffic.sent_bytes - crowd->peer_rack_bytes +
	       frame_bytes(crowd, true);
}

uint64_t crowd_received_bytes(const struct crowd *crowd)
{
	return crowd->gossip.traffic.received_bytes +
	       crowd->rack_received_bytes + frame_bytes(crowd, false);
}
