#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "membership/members_defs.h"
#include "os/clock.h"

/*
 * Failure detection inside the data centre: round-robin probing with indirect
 * pings and suspicion as in SWIM, with three extensions of Lifeguard. The local
 * health slows down the probes of a node that itself works badly, the timeout
 * of a suspicion shortens as other nodes confirm the suspicion, and the
 * suspected node is notified early so that it can refute.
 */

enum {
	SUSPICION_CHECKS_PER_INTERVAL = 4,
	/* A nack is sent 1/4 of the ping timeout before the timeout ends. */
	NACK_MARGIN_DIVISOR = 4,
	RECONNECTS_AT_ONCE = 3,
};

uint32_t swim_bit_length(uint32_t n)
{
	uint32_t bits = 0;

	while (n >> bits)
		bits++;
	return bits;
}

void swim_adjust_health(struct members *members, int32_t change)
{
	int64_t health = (int64_t)members->health + change;

	if (health < 0)
		health = 0;
	if (health > members->options.health_max)
		health = members->options.health_max;
	members->health = (uint32_t)health;
}

static int64_t scale_by_health(const struct members *members, int64_t time_us)
{
	return time_us * (1 + members->health);
}

/* Draws a new random order for each round, so that every member is probed
 * within two rounds. With independent random targets, a member could by chance
 * go without a probe for long. */
static void shuffle(struct members *members)
{
	const struct data_centre *home = members->home;
	uint32_t i;

	if (members->probe_order_capacity < home->count) {
		members->probe_order_capacity = home->capacity;
		members->probe_order =
			realloc(members->probe_order,
				members->probe_order_capacity *
					sizeof(*members->probe_order));
		if (!members->probe_order)
			abort();
	}
	members->probe_order_count = 0;
	members->probe_order_next = 0;
	for (i = 0; i < home->count; i++) {
		uint32_t at;

		if (home->members[i] == members->self ||
		    !table_live(home->members[i]))
			continue;
		at = random_below(&members->random,
				  members->probe_order_count + 1);
		members->probe_order[members->probe_order_count] =
			members->probe_order[at];
		members->probe_order[at] = home->members[i]->id;
		members->probe_order_count++;
	}
}

static struct member *next_target(struct members *members)
{
	uint32_t rounds;

	for (rounds = 0; rounds < 2; rounds++) {
		while (members->probe_order_next < members->probe_order_count) {
			struct member *member = table_find(
				members, members->probe_order
						 [members->probe_order_next++]);

			if (member && table_live(member))
				return member;
		}
		shuffle(members);
	}
	return NULL;
}

static struct packet_mark mark_of(const struct member *member)
{
	return (struct packet_mark){
		.id = member->id,
		.incarnation = member->record.incarnation,
		.sequence = member->record.sequence,
		.status = member->status,
	};
}

static void begin_probe(struct members *members)
{
	struct packet_out out = { .type = PACKET_PING };
	struct probe *probe = &members->probe;
	struct member *target = next_target(members);

	memset(probe, 0, sizeof(*probe));
	if (!target)
		return;
	members->counts.probes++;
	out.nonce = members_nonce(members);
	if (target->status != MEMBER_ALIVE)
		out.mark = mark_of(target);
	probe->target = target->id;
	probe->nonce = out.nonce;
	probe->indirect_at_us =
		members->now_us +
		scale_by_health(members, members->options.ping_timeout_us);
	probe->end_at_us =
		members->now_us +
		scale_by_health(members, members->options.probe_interval_us);
	packet_send(members, &target->record.address, &out);
}

static void send_indirect_pings(struct members *members)
{
	struct probe *probe = &members->probe;
	const struct member *target = table_find(members, probe->target);
	struct packet_out out = { .type = PACKET_PING_REQ,
				  .nonce = probe->nonce };
	const struct data_centre *home = members->home;
	uint32_t draws = members->options.indirect * 4;

	probe->indirect_sent = true;
	if (!target)
		return;
	out.target_address = target->record.address;
	while (draws-- && probe->nacks_missing < members->options.indirect) {
		const struct member *helper = home->members[random_below(
			&members->random, home->count)];

		if (helper == members->self || helper == target ||
		    helper->status != MEMBER_ALIVE)
			continue;
		packet_send(members, &helper->record.address, &out);
		probe->nacks_missing++;
	}
	probe->helpers = probe->nacks_missing;
}

void swim_receive_ack(struct members *members, uint32_t nonce)
{
	struct probe *probe = &members->probe;
	uint32_t i;

	if (probe->target && probe->nonce == nonce) {
		probe->target = 0;
		swim_adjust_health(members, -1);
	}
	for (i = 0; i < MEMBERS_RELAYS; i++) {
		struct relay *relay = &members->relays[i];
		struct packet_out out = { .type = PACKET_ACK,
					  .nonce = relay->requester_nonce };

		if (!relay->nonce || relay->nonce != nonce)
			continue;
		relay->nonce = 0;
		packet_send(members, &relay->requester, &out);
	}
}

void swim_receive_nack(struct members *members, uint32_t nonce)
{
	struct probe *probe = &members->probe;

	if (probe->target && probe->nonce == nonce && probe->nacks_missing)
		probe->nacks_missing--;
}

void swim_relay(struct members *members, const struct address *from,
		const struct packet_head *head, const struct address *target)
{
	struct packet_out out = { .type = PACKET_PING };
	uint32_t i;

	for (i = 0; i < MEMBERS_RELAYS; i++) {
		struct relay *relay = &members->relays[i];

		if (relay->nonce)
			continue;
		out.nonce = members_nonce(members);
		relay->nonce = out.nonce;
		relay->requester = *from;
		relay->requester_nonce = head->nonce;
		relay->nack_at_us =
			members->now_us + members->options.ping_timeout_us *
						  (NACK_MARGIN_DIVISOR - 1) /
						  NACK_MARGIN_DIVISOR;
		packet_send(members, target, &out);
		return;
	}
}

static void tick_relays(struct members *members)
{
	uint32_t i;

	for (i = 0; i < MEMBERS_RELAYS; i++) {
		struct relay *relay = &members->relays[i];
		struct packet_out out = { .type = PACKET_NACK,
					  .nonce = relay->requester_nonce };

		if (!relay->nonce || relay->nack_at_us > members->now_us)
			continue;
		relay->nonce = 0;
		packet_send(members, &relay->requester, &out);
	}
}

/* Returns the timeout of a suspicion, which shrinks from the longest to the
 * shortest value as independent reporters confirm the suspicion (Lifeguard).
 * One node with a bad link alone cannot shorten the timeout. In a data centre
 * with few members the shortest value applies at once. */
static int64_t suspicion_us(const struct members *members,
			    uint32_t reporter_count)
{
	uint32_t peers = members->home->count - 1;
	double shortest = (double)members->options.suspicion_us *
			  fmax(1, log10(peers + 1.0));
	double longest = shortest * members->options.suspicion_spread;
	uint32_t confirmed_max = peers < MEMBERS_REPORTERS_MAX + 1
					 ? 0
					 : MEMBERS_REPORTERS_MAX - 1;
	uint32_t confirmed = reporter_count ? reporter_count - 1 : 0;

	if (!confirmed_max || confirmed >= confirmed_max)
		return (int64_t)shortest;
	return (int64_t)(longest - (longest - shortest) * log(confirmed + 1.0) /
					   log(confirmed_max + 1.0));
}

static bool add_reporter(struct member *member, uint64_t reporter)
{
	uint32_t i;

	for (i = 0; i < member->reporter_count; i++)
		if (member->reporters[i] == reporter)
			return false;
	if (member->reporter_count == MEMBERS_REPORTERS_MAX)
		return false;
	member->reporters[member->reporter_count++] = reporter;
	return true;
}

void swim_suspect(struct members *members, struct member *member,
		  uint64_t reporter)
{
	struct packet_mark mark;

	if (member == members->self || !table_live(member))
		return;
	if (member->status == MEMBER_ALIVE) {
		members->counts.suspected++;
		table_set_status(members, member, MEMBER_SUSPECT);
		member->suspect_since_us = members->now_us;
		/* Spreads the suspicion at once: nodes keep calling a failed
		 * member until they receive the suspicion. */
		rumor_schedule_eager(members);
	}
	if (!add_reporter(member, reporter))
		return;
	member->suspect_until_us =
		member->suspect_since_us +
		suspicion_us(members, member->reporter_count);
	mark = mark_of(member);
	mark.reporter = reporter;
	rumor_mark(members, &mark);
}

/* The ping carries the mark, so that the answer of the suspect can refute the
 * suspicion. */
static void ping_suspect(struct members *members, const struct member *member)
{
	struct packet_out out = { .type = PACKET_PING,
				  .nonce = members_nonce(members),
				  .mark = mark_of(member) };

	packet_send(members, &member->record.address, &out);
}

void members_report_suspect(struct members *members, const char *data_centre,
			    const char *instance, int64_t now_us)
{
	struct member *member = members_find(members, data_centre, instance);
	bool is_new;

	members->now_us = now_us;
	if (!member || member->data_centre != members->home ||
	    !table_live(member))
		return;
	is_new = member->status == MEMBER_ALIVE;
	swim_suspect(members, member, members->id);
	if (is_new)
		ping_suspect(members, member);
}

static void probe_failed(struct members *members)
{
	struct probe *probe = &members->probe;
	struct member *target = table_find(members, probe->target);

	members->counts.probes_failed++;
	/* Each helper that has sent no nack indicates a fault of this node's
	 * own link and counts against the local health. A probe without
	 * helpers counts once. */
	if (probe->helpers)
		swim_adjust_health(members, (int32_t)probe->nacks_missing);
	else
		swim_adjust_health(members, 1);
	probe->target = 0;
	if (target)
		swim_suspect(members, target, members->id);
}

static void mark_unreachable(struct members *members, struct member *member)
{
	struct packet_mark mark;

	members->counts.unreachable++;
	table_set_status(members, member, MEMBER_UNREACHABLE);
	mark = mark_of(member);
	rumor_mark(members, &mark);
	swim_reconnect_soon(members);
}

static void tick_suspicions(struct members *members)
{
	uint32_t i;

	if (members->now_us < members->next_suspicion_check_us)
		return;
	members->next_suspicion_check_us =
		members->now_us + members->options.probe_interval_us /
					  SUSPICION_CHECKS_PER_INTERVAL;
	table_update_floor(members);
	/* While most members seem lost at once, see table_update_floor(), this
	 * node suspects its own link and marks no member unreachable. */
	for (i = 0; members->not_alive_count && !members->floor_active &&
		    i < members->home->count;
	     i++) {
		struct member *member = members->home->members[i];

		if (member->status == MEMBER_SUSPECT &&
		    member->suspect_until_us <= members->now_us)
			mark_unreachable(members, member);
	}
}

void swim_reconnect_soon(struct members *members)
{
	members->reconnect_wait_us = members->options.reconnect_min_us;
	if (members->next_reconnect_us >
	    members->now_us + members->reconnect_wait_us)
		members->next_reconnect_us =
			members->now_us + members->reconnect_wait_us;
}

void swim_reconnect(struct members *members, const struct address *to)
{
	struct packet_out out = { .type = PACKET_PING,
				  .with_own_record = true };

	if (address_equal(to, &members->self->record.address))
		return;
	out.nonce = members_nonce(members);
	packet_send(members, to, &out);
}

static bool seed_known(const struct members *members,
		       const struct address *seed)
{
	const struct member *member;

	if (table_is_isolated(members))
		return false;
	for (member = members->table; member; member = member->hh.next)
		if (table_live(member) &&
		    address_equal(&member->record.address, seed))
			return true;
	return false;
}

/* Pings a few random seeds, except those at which a live member is known; an
 * isolated node pings any seeds. Returns the number of pings. */
static uint32_t reconnect_seeds(struct members *members)
{
	uint32_t ping_count = 0;
	uint32_t i;

	for (i = 0; i < members->seed_count && ping_count < RECONNECTS_AT_ONCE;
	     i++) {
		uint32_t at = i + random_below(&members->random,
					       members->seed_count - i);
		struct address seed = members->seeds[at];

		members->seeds[at] = members->seeds[i];
		members->seeds[i] = seed;
		if (seed_known(members, &seed))
			continue;
		swim_reconnect(members, &seed);
		ping_count++;
	}
	return ping_count;
}

static uint32_t reconnect_lost(struct members *members)
{
	const struct data_centre *home = members->home;
	uint32_t start = random_below(&members->random, home->count);
	uint32_t ping_count = 0;
	uint32_t i;

	for (i = 0; i < home->count && ping_count < RECONNECTS_AT_ONCE; i++) {
		const struct member *member =
			home->members[(start + i) % home->count];

		if (table_live(member))
			continue;
		swim_reconnect(members, &member->record.address);
		ping_count++;
	}
	return ping_count;
}

/*
 * Nothing signals the end of a partition. Each side keeps pinging lost members
 * and seeds, so that both sides find each other again without the platform. The
 * intervals double; while this node is alone and has an address to ping, they
 * grow linearly.
 */
static void tick_reconnect(struct members *members)
{
	bool alone;

	if (members->now_us < members->next_reconnect_us)
		return;
	alone = members_live_count(members) == 1;
	if (reconnect_lost(members) + reconnect_seeds(members) == 0 || !alone)
		members->reconnect_wait_us *= 2;
	else
		members->reconnect_wait_us += members->options.reconnect_min_us;
	if (members->reconnect_wait_us > members->options.reconnect_max_us)
		members->reconnect_wait_us = members->options.reconnect_max_us;
	members->next_reconnect_us =
		members->now_us + members->reconnect_wait_us / 2 +
		random_jitter(&members->random, members->reconnect_wait_us / 2);
}

void swim_paused(struct members *members, int64_t gap_us)
{
	uint32_t i;

	members->probe.target = 0;
	for (i = 0; i < members->home->count; i++)
		members->home->members[i]->suspect_until_us += gap_us;
	memset(members->relays, 0, sizeof(members->relays));
	swim_reconnect_soon(members);
}

void swim_tick(struct members *members)
{
	struct probe *probe = &members->probe;

	if (probe->target && !probe->indirect_sent &&
	    members->now_us >= probe->indirect_at_us)
		send_indirect_pings(members);
	if (probe->target && members->now_us >= probe->end_at_us)
		probe_failed(members);
	if (members->now_us >= members->next_probe_us && !probe->target) {
		begin_probe(members);
		members->next_probe_us =
			members->now_us +
			scale_by_health(members,
					members->options.probe_interval_us);
	}
	tick_relays(members);
	tick_suspicions(members);
	tick_reconnect(members);
}

static void set_earlier(int64_t *next_us, int64_t at_us)
{
	if (at_us < *next_us)
		*next_us = at_us;
}

int64_t swim_next_us(const struct members *members)
{
	const struct probe *probe = &members->probe;
	int64_t next_us =
		members->last_tick_us + members->options.probe_interval_us;
	uint32_t i;

	if (!probe->target)
		set_earlier(&next_us, members->next_probe_us);
	else
		set_earlier(&next_us, probe->indirect_sent
					      ? probe->end_at_us
					      : probe->indirect_at_us);
	set_earlier(&next_us, members->next_reconnect_us);
	if (members->not_alive_count)
		set_earlier(&next_us, members->next_suspicion_check_us);
	for (i = 0; i < MEMBERS_RELAYS; i++)
		if (members->relays[i].nonce)
			set_earlier(&next_us, members->relays[i].nack_at_us);
	return next_us;
}
