#include "crowd.h"

#include <stdio.h>
#include <string.h>

#include "membership/members_defs.h"
#include "os/clock.h"
#include "os/net.h"

enum {
	PING_US = US_PER_S,
	MOVE_US = 250 * US_PER_MS,
	DATAGRAM_BYTES = 2048,
	SLOTS = 9,
	SERVICES = 980,
	RECEIVE_ROUNDS = 64,
};

static const int64_t never_us = 100000LL * US_PER_S;
/* As the wall clock gives: small ones take fewer bytes. */
static const uint64_t first_incarnation = 1700000000000;

static const char home[] = "dc-1";

static struct members *members_of(struct crowd *crowd)
{
	return &crowd->gossip.members;
}

static void drain(struct crowd *crowd)
{
	loop_defer(crowd->loop, &crowd->gossip.drain);
}

static void begin(struct crowd *crowd)
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

/* Each neighbour on the ring tells news once; all of them are this peer. */
static void tell(struct crowd *crowd)
{
	uint32_t i;

	for (i = 0; i < CROWD_RING; i++)
		send_packet(crowd, PACKET_ANNOUNCE);
	drain(crowd);
}

/* In life each node is probed once a second on average. */
static void ping_due(struct timer *timer, void *data)
{
	struct crowd *crowd = data;

	begin(crowd);
	send_packet(crowd, PACKET_PING);
	drain(crowd);
	timer_set(crowd->loop, timer, loop_now_us(crowd->loop) + PING_US);
}

/* A record as of a node that serves; the first of each data centre are of the
 * racks, so that a lost rack is a known set. */
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
	/* The first service is the real upstream's alone. */
	snprintf(record->service, SERVICE_NAME_SIZE, "service-%04u",
		 1 + i % (SERVICES - 1));
	snprintf(record->profile, PROFILE_NAME_SIZE, "profile-%04u",
		 1 + i % (SERVICES - 1));
}

static void put(struct crowd *crowd, const struct record *record, bool told)
{
	struct member *member =
		table_put(members_of(crowd), record, MEMBER_ALIVE);

	if (member && told)
		rumor_record(members_of(crowd), member);
}

void crowd_fill(struct crowd *crowd, uint32_t records)
{
	struct record record;

	begin(crowd);
	for (; crowd->records < records; crowd->records++) {
		make_record(crowd, crowd->records, &record);
		put(crowd, &record, false);
	}
	drain(crowd);
}

static void go(struct crowd *crowd, const struct record *record)
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

/* As in life: leaving, gone; another one starting, then serving. */
static void move_due(struct timer *timer, void *data)
{
	struct crowd *crowd = data;
	struct record *record = &crowd->moving;

	begin(crowd);
	switch (crowd->moves--) {
	case 4:
		record->state = UPSTREAM_LEAVING;
		record->sequence++;
		put(crowd, record, true);
		break;
	case 3:
		go(crowd, record);
		break;
	case 2:
		snprintf(record->instance, NAME_SIZE, "%.32s-replaced-%u",
			 record->data_centre, crowd->replaced);
		record->incarnation += first_incarnation;
		record->sequence = 2;
		record->state = UPSTREAM_STARTING;
		put(crowd, record, true);
		break;
	default:
		record->state = UPSTREAM_SERVING;
		record->sequence++;
		put(crowd, record, true);
		break;
	}
	tell(crowd);
	if (crowd->moves)
		timer_set(crowd->loop, timer,
			  loop_now_us(crowd->loop) + MOVE_US);
}

void crowd_replace(struct crowd *crowd)
{
	struct member *member;
	char name[NAME_SIZE];
	char centre[NAME_SIZE];
	uint32_t i;

	if (crowd->moves)
		return;
	i = crowd->records - 1 - crowd->replaced++;
	snprintf(centre, sizeof(centre), "dc-%u", i % CROWD_CENTRES + 1);
	snprintf(name, sizeof(name), "%.16s-instance-%u", centre, i);
	member = members_find(members_of(crowd), centre, name);
	if (!member)
		return;
	crowd->moving = member->record;
	crowd->moves = 4;
	timer_set(crowd->loop, &crowd->move, loop_now_us(crowd->loop));
}

static void judge(struct crowd *crowd, uint32_t centre, bool reachable)
{
	struct packet_centre told = { .reachable = reachable };
	struct data_centre *of;
	char name[NAME_SIZE];

	snprintf(name, sizeof(name), "dc-%u", centre + 1);
	begin(crowd);
	of = table_centre_named(members_of(crowd), name);
	told.id = of->id;
	told.stamp = of->stamp + 1;
	link_merge_centre(members_of(crowd), &told);
	tell(crowd);
}

void crowd_lose_centre(struct crowd *crowd, uint32_t centre)
{
	judge(crowd, centre, false);
}

static uint32_t start_anew(struct crowd *crowd, uint32_t centre, int rack,
			   bool told)
{
	struct record record;
	uint32_t count = 0;
	uint32_t i;

	begin(crowd);
	for (i = centre; i < crowd->records - crowd->replaced;
	     i += CROWD_CENTRES) {
		make_record(crowd, i, &record);
		if (rack >= 0 &&
		    i / CROWD_CENTRES % CROWD_RACKS != (uint32_t)rack)
			continue;
		record.incarnation += first_incarnation;
		put(crowd, &record, told);
		count++;
	}
	return count;
}

/* More records than news can carry: the digests differ, and the node asks. */
void crowd_return_centre(struct crowd *crowd, uint32_t centre)
{
	start_anew(crowd, centre, -1, false);
	judge(crowd, centre, true);
}

uint32_t crowd_lose_rack(struct crowd *crowd, uint32_t rack)
{
	uint32_t count = 0;
	uint32_t i;

	crowd->racks[rack].dead = true;
	begin(crowd);
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
	tell(crowd);
	return count;
}

void crowd_return_rack(struct crowd *crowd, uint32_t rack)
{
	crowd->racks[rack].dead = false;
	start_anew(crowd, 0, (int)rack, true);
	tell(crowd);
}

/* The peer of the crowd answers for the members of a rack. */
static void answer(struct crowd_rack *rack, const struct address *from,
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

static void rack_ready(struct watch *watch, int ready, void *data)
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
			answer(rack, &from, datagram, size);
		else
			rack->crowd->stray_bytes += size;
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
			   rack_ready, rack, err);
}

static bool start_peer(struct crowd *crowd, struct error *err)
{
	struct identity self = { .deployment = "test",
				 .instance = "crowd",
				 .incarnation = 1 };
	struct members_options options;
	struct members *members = members_of(crowd);
	struct wire_key key;

	snprintf(self.data_centre, sizeof(self.data_centre), "%s", home);
	wire_key_init(&key, "a secret of the tests", self.deployment);
	if (!address_parse("127.0.1.250:0", &self.address, err) ||
	    !wire_hub_init(&crowd->hub, crowd->loop, &self, &key, err))
		return false;
	members_options_init(&options);
	options.eager = false;
	if (!gossip_init(&crowd->gossip, &options, crowd->loop, &crowd->hub,
			 NULL, 0, err))
		return false;
	members->next_probe_us = loop_now_us(crowd->loop) + never_us;
	members->next_link_us = members->next_probe_us;
	members->next_reconnect_us = members->next_probe_us;
	members->next_expiry_us = members->next_probe_us;
	members->joined = true;
	/* In life only the node would notice that it lacks much: it meets
	 * each other node once in minutes. */
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
	timer_init(&crowd->ping, ping_due, crowd);
	timer_init(&crowd->move, move_due, crowd);
	begin(crowd);
	hello.nonce = members_nonce(members_of(crowd));
	packet_send(members_of(crowd), node, &hello);
	drain(crowd);
	timer_set(loop, &crowd->ping, loop_now_us(loop) + PING_US);
	return true;
}

void crowd_finish(struct crowd *crowd)
{
	uint32_t i;

	timer_cancel(crowd->loop, &crowd->ping);
	timer_cancel(crowd->loop, &crowd->move);
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

static uint64_t frames(const struct crowd *crowd, bool sent)
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
	return crowd->gossip.traffic.sent_bytes - crowd->stray_bytes +
	       frames(crowd, true);
}

uint64_t crowd_received_bytes(const struct crowd *crowd)
{
	return crowd->gossip.traffic.received_bytes +
	       crowd->rack_received_bytes + frames(crowd, false);
}
