#include <stdlib.h>
#include <string.h>
#include <utlist.h>
#include <xxhash.h>

#include "membership/members_defs.h"

enum {
	INITIAL_CAPACITY = 16,
	FLOOR_PEERS_MIN = 3,
	ISOLATED_INTERVALS = 5,
	/* Fitness takes the high bits of a score; the low bits decide between
	 * members of equal fitness. */
	FITNESS_SHIFT = 60,
	/* One member in this number counts as many. */
	MANY_LOST_SHARE = 4,
	/* A probe that failed shows it earlier than the members that are found
	 * lost one by one. */
	MANY_LOST_HEALTH = 1,
};

struct data_centre *table_centre(const struct members *members, uint64_t id)
{
	struct data_centre *centre;

	LL_FOREACH(members->data_centres, centre)
		if (centre->id == id)
			return centre;
	return NULL;
}

struct data_centre *table_centre_named(struct members *members,
				       const char *name)
{
	uint64_t id = packet_centre_id(name);
	struct data_centre *centre = table_centre(members, id);
	uint32_t count;

	if (centre)
		return centre;
	LL_COUNT(members->data_centres, centre, count);
	if (count >= MEMBERS_DATA_CENTRES_MAX)
		return NULL;
	centre = calloc(1, sizeof(*centre));
	if (!centre)
		abort();
	strncpy(centre->name, name, NAME_SIZE - 1);
	centre->id = id;
	centre->index = count;
	centre->reachable = true;
	centre->contact_us = members->now_us;
	centre->unreachable_after_us = members->options.link_timeout_us;
	LL_APPEND(members->data_centres, centre);
	return centre;
}

struct member *table_find(const struct members *members, uint64_t id)
{
	struct member *member;

	HASH_FIND(hh, members->table, &id, sizeof(id), member);
	return member;
}

struct member *members_find(const struct members *members,
			    const char *data_centre, const char *instance)
{
	return table_find(members, packet_member_id(data_centre, instance));
}

const struct member *members_next(const struct members *members,
				  const struct member *member)
{
	const struct member *next = member ? member->hh.next : members->table;

	return next && next == members->self ? next->hh.next : next;
}

bool table_live(const struct member *member)
{
	return member->status < MEMBER_UNREACHABLE;
}

/* Suspicion is not part of the digest: it changes quickly and is gossiped only
 * within the data centre. */
static uint64_t member_digest(const struct member *member)
{
	uint64_t parts[] = { member->id, member->record.incarnation,
			     member->record.sequence, !table_live(member) };

	return XXH3_64bits(parts, sizeof(parts));
}

/* Digests are sums modulo 2^64, so that a changed record updates them in
 * constant time and the order of the records does not matter. */
static void digest_update(struct member *member, bool present)
{
	struct data_centre *centre = member->data_centre;
	uint64_t old = member->digest;

	member->digest = present ? member_digest(member) : 0;
	centre->digest += member->digest - old;
	centre->buckets[member->id % MEMBERS_BUCKETS] += member->digest - old;
}

static uint64_t reachability_digest(const struct data_centre *centre)
{
	uint64_t parts[] = { centre->id, centre->stamp, centre->reachable };

	return centre->stamp ? XXH3_64bits(parts, sizeof(parts)) : 0;
}

/* The digest covers the reachability of the data centres. Otherwise a node that
 * missed a change of it, isolated for a while, would hold a whole data centre
 * for unreachable forever. */
uint64_t table_digest(const struct members *members)
{
	const struct data_centre *centre;
	uint64_t digest = 0;

	LL_FOREACH(members->data_centres, centre)
		digest += centre->digest + reachability_digest(centre);
	return digest;
}

static uint32_t index_of(const struct data_centre *centre, uint64_t id)
{
	uint32_t low = 0;
	uint32_t high = centre->count;

	while (low < high) {
		uint32_t middle = low + (high - low) / 2;

		if (centre->members[middle]->id < id)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

static void centre_insert(struct data_centre *centre, struct member *member)
{
	uint32_t index = index_of(centre, member->id);

	if (centre->count == centre->capacity) {
		uint32_t capacity = centre->capacity ? centre->capacity * 2
						     : INITIAL_CAPACITY;
		struct member **larger =
			realloc(centre->members, capacity * sizeof(*larger));

		if (!larger)
			abort();
		centre->members = larger;
		centre->capacity = capacity;
	}
	memmove(centre->members + index + 1, centre->members + index,
		(centre->count - index) * sizeof(*centre->members));
	centre->members[index] = member;
	centre->count++;
}

static void centre_remove(struct data_centre *centre, struct member *member)
{
	uint32_t index = index_of(centre, member->id);

	centre->count--;
	memmove(centre->members + index, centre->members + index + 1,
		(centre->count - index) * sizeof(*centre->members));
}

bool members_reachable(const struct members *members,
		       const struct member *member)
{
	if (member == members->self)
		return true;
	if (member->data_centre != members->home)
		return member->data_centre->reachable && table_live(member);
	return members->floor_active || table_live(member);
}

static void push_record(struct members *members, struct member *member)
{
	struct members_action *action = members_push(members, MEMBERS_EVENT);

	action->id = member->id;
	action->event.type = MEMBERS_RECORD;
}

void table_report(struct members *members, struct member *member)
{
	bool reachable = members_reachable(members, member);
	bool suspect = member->status == MEMBER_SUSPECT;

	if (member == members->self || (member->reported == reachable &&
					member->reported_suspect == suspect))
		return;
	member->reported = reachable;
	member->reported_suspect = suspect;
	push_record(members, member);
}

static void report_all(struct members *members, struct data_centre *centre)
{
	uint32_t i;

	for (i = 0; i < centre->count; i++)
		table_report(members, centre->members[i]);
}

void table_report_centre(struct members *members, struct data_centre *centre)
{
	struct members_action *action = members_push(members, MEMBERS_EVENT);

	action->event.type = MEMBERS_DATA_CENTRE;
	action->event.reachable = centre->reachable;
	memcpy(action->event.name, centre->name, NAME_SIZE);
	report_all(members, centre);
}

bool table_is_isolated(const struct members *members)
{
	return members->now_us >
	       members->received_us +
		       ISOLATED_INTERVALS * members->options.probe_interval_us;
}

/*
 * Updates the floor: while the floor holds, all members of the data centre
 * count as reachable. When most of the data centre seems lost at once, the node
 * that cannot be reached may be this one. Without the floor this node would
 * report every pool as empty and refuse all calls, although the upstreams work.
 * The floor holds without limit while this node receives nothing. While this
 * node receives datagrams, its link works and the floor holds for a limited
 * time: the lost members may really have failed, and the other data centres
 * must be informed.
 */
void table_update_floor(struct members *members)
{
	const struct members_options *options = &members->options;
	uint32_t peers = members->home->count ? members->home->count - 1 : 0;
	bool most_lost = peers >= FLOOR_PEERS_MIN &&
			 members->not_alive_count >
				 peers * options->floor_share;
	bool isolated = members->now_us >
			members->received_us +
				ISOLATED_INTERVALS * options->probe_interval_us;
	bool floor_active;

	if (!most_lost)
		members->floor_since_us = 0;
	else if (!members->floor_since_us)
		members->floor_since_us = members->now_us;
	floor_active =
		most_lost &&
		(isolated || members->now_us < members->floor_since_us +
						       options->floor_hold_us);
	if (floor_active == members->floor_active)
		return;
	members->floor_active = floor_active;
	members->counts.floor_held += floor_active;
	report_all(members, members->home);
}

static bool counts_as_not_alive(const struct members *members,
				const struct member *member)
{
	return member->data_centre == members->home &&
	       member->status != MEMBER_ALIVE;
}

static void clear_suspicion(struct member *member)
{
	member->reporter_count = 0;
	member->suspect_since_us = 0;
	member->suspect_until_us = 0;
}

void table_set_status(struct members *members, struct member *member,
		      enum member_status status)
{
	if (member->status == status)
		return;
	members->not_alive_count -= counts_as_not_alive(members, member);
	member->status = status;
	members->not_alive_count += counts_as_not_alive(members, member);
	member->changed_us = members->now_us;
	if (status != MEMBER_SUSPECT)
		clear_suspicion(member);
	digest_update(member, true);
	table_update_floor(members);
	table_report(members, member);
}

static struct member *member_new(struct members *members, uint64_t id,
				 struct data_centre *centre)
{
	struct member *member = calloc(1, sizeof(*member));

	if (!member)
		abort();
	member->id = id;
	member->data_centre = centre;
	HASH_ADD(hh, members->table, id, sizeof(member->id), member);
	centre_insert(centre, member);
	return member;
}

struct member *table_put(struct members *members, const struct record *record,
			 enum member_status status)
{
	uint64_t id = packet_member_id(record->data_centre, record->instance);
	struct member *member = table_find(members, id);
	struct data_centre *centre;

	if (!member) {
		centre = table_centre_named(members, record->data_centre);
		if (!centre)
			return NULL;
		member = member_new(members, id, centre);
	}
	members->not_alive_count -= counts_as_not_alive(members, member);
	member->record = *record;
	member->status = status;
	member->changed_us = members->now_us;
	members->not_alive_count += counts_as_not_alive(members, member);
	clear_suspicion(member);
	digest_update(member, true);
	if (member == members->self || !members->self)
		return member;
	member->reported = members_reachable(members, member);
	member->reported_suspect = status == MEMBER_SUSPECT;
	push_record(members, member);
	table_update_floor(members);
	return member;
}

void table_drop(struct members *members, struct member *member)
{
	struct members_action *action = members_push(members, MEMBERS_EVENT);

	action->event.type = MEMBERS_DROPPED;
	memcpy(action->event.name, member->record.instance, NAME_SIZE);
	members->not_alive_count -= counts_as_not_alive(members, member);
	digest_update(member, false);
	centre_remove(member->data_centre, member);
	HASH_DEL(members->table, member);
	free(member->report);
	free(member);
	table_update_floor(members);
}

const struct tombstone *table_find_tombstone(const struct members *members,
					     uint64_t id)
{
	struct tombstone *tombstone;

	HASH_FIND(hh, members->tombstone, &id, sizeof(id), tombstone);
	return tombstone;
}

bool table_has_tombstone(const struct members *members, uint64_t id,
			 uint64_t incarnation, uint64_t sequence)
{
	const struct tombstone *tombstone = table_find_tombstone(members, id);

	if (!tombstone)
		return false;
	if (incarnation != tombstone->incarnation)
		return incarnation < tombstone->incarnation;
	return sequence <= tombstone->sequence;
}

/* The number of tombstones is bounded. The oldest one is replaced, since a
 * record that old has expired in the tables of the other nodes too. */
void table_add_tombstone(struct members *members, uint64_t id,
			 uint64_t incarnation, uint64_t sequence)
{
	struct tombstone *tombstone;

	if (table_has_tombstone(members, id, incarnation, sequence))
		return;
	HASH_FIND(hh, members->tombstone, &id, sizeof(id), tombstone);
	if (!tombstone &&
	    HASH_COUNT(members->tombstone) >= members->options.tombstones_max)
		tombstone = members->tombstone;
	if (tombstone)
		HASH_DEL(members->tombstone, tombstone);
	else
		tombstone = calloc(1, sizeof(*tombstone));
	if (!tombstone)
		abort();
	tombstone->id = id;
	tombstone->incarnation = incarnation;
	tombstone->sequence = sequence;
	HASH_ADD(hh, members->tombstone, id, sizeof(tombstone->id), tombstone);
}

/* Rendezvous hashing spreads the duties over the members of equal fitness. */
static uint64_t duty_score(const char *duty, const struct member *member)
{
	uint64_t hash = XXH3_64bits_withSeed(duty, strlen(duty), member->id);

	return (uint64_t)member->record.fitness << FITNESS_SHIFT |
	       hash >> (64 - FITNESS_SHIFT);
}

static bool eligible(const struct member *member)
{
	return table_live(member) && member->record.state != UPSTREAM_LEAVING;
}

static uint32_t rank_of_self(const struct members *members, const char *duty,
			     bool with_suspects)
{
	uint64_t own = duty_score(duty, members->self);
	const struct data_centre *home = members->home;
	uint32_t rank = 0;
	uint32_t i;

	if (!eligible(members->self))
		return UINT32_MAX;
	for (i = 0; i < home->count; i++) {
		const struct member *member = home->members[i];

		if (member == members->self || !eligible(member) ||
		    (!with_suspects && member->status == MEMBER_SUSPECT))
			continue;
		rank += duty_score(duty, member) > own;
	}
	return rank;
}

uint32_t members_rank(const struct members *members, const char *duty)
{
	return rank_of_self(members, duty, true);
}

bool members_many_lost(const struct members *members)
{
	return members->health >= MANY_LOST_HEALTH ||
	       members->not_alive_count * MANY_LOST_SHARE >=
		       members->home->count;
}

uint32_t members_responsive_rank(const struct members *members,
				 const char *duty)
{
	return rank_of_self(members, duty, false);
}

/*
 * Selects up to @most members of a data centre with the highest scores for a
 * duty, in descending order, at most MEMBERS_LINKS_MAX.
 *
 * Returns the number of members written to @top.
 */
uint32_t table_top(const struct members *members,
		   const struct data_centre *centre, const char *duty,
		   struct member **top, uint32_t most)
{
	uint64_t scores[MEMBERS_LINKS_MAX];
	uint32_t count = 0;
	uint32_t i;
	uint32_t j;

	if (most > MEMBERS_LINKS_MAX)
		most = MEMBERS_LINKS_MAX;
	for (i = 0; most && i < centre->count; i++) {
		uint64_t score = duty_score(duty, centre->members[i]);

		if (!eligible(centre->members[i]))
			continue;
		if (count == most && score <= scores[count - 1])
			continue;
		j = count < most ? count++ : count - 1;
		for (; j > 0 && scores[j - 1] < score; j--) {
			scores[j] = scores[j - 1];
			top[j] = top[j - 1];
		}
		scores[j] = score;
		top[j] = centre->members[i];
	}
	return count;
}

const struct member *members_first(const struct members *members,
				   const struct data_centre *centre,
				   const char *duty)
{
	struct member *first;

	return table_top(members, centre, duty, &first, 1) ? first : NULL;
}

uint32_t members_live_count(const struct members *members)
{
	uint32_t live = 0;
	uint32_t i;

	for (i = 0; i < members->home->count; i++)
		live += table_live(members->home->members[i]);
	return live;
}

void table_free(struct members *members)
{
	struct data_centre *centre;
	struct data_centre *next_centre;
	struct tombstone *tombstone;
	struct tombstone *next_tombstone;
	struct member *member;
	struct member *next;

	member = members->table;
	HASH_CLEAR(hh, members->table);
	while (member) {
		next = member->hh.next;
		free(member->report);
		free(member);
		member = next;
	}
	tombstone = members->tombstone;
	HASH_CLEAR(hh, members->tombstone);
	while (tombstone) {
		next_tombstone = tombstone->hh.next;
		free(tombstone);
		tombstone = next_tombstone;
	}
	LL_FOREACH_SAFE(members->data_centres, centre, next_centre) {
		free(centre->members);
		free(centre);
	}
}
