#include "membership/fanout.h"

#include <xxhash.h>

enum {
	/* Nodes of a data centre that send a state on to other ones, on
	 * average. */
	SENDERS_ABROAD = 4,
	/* Targets of messages to one member, in each data centre. */
	ONE_OF = 3,
};

static uint64_t affinity(const struct members *members,
			 const struct member *member)
{
	const uint64_t ids[] = { members->self->id, member->id };

	return XXH64(ids, sizeof(ids), 0);
}

static uint64_t place_of(const struct member *member)
{
	return XXH64(&member->id, sizeof(member->id), 0);
}

static bool is_target(const struct members *members,
		      const struct member *member)
{
	return member != members->self && members_reachable(members, member);
}

/* Returns the member after this node on the ring of a data centre, or NULL. */
static const struct member *successor(const struct members *members,
				      const struct data_centre *centre)
{
	uint64_t own = place_of(members->self);
	const struct member *next = NULL;
	uint64_t nearest = 0;
	uint32_t i;

	for (i = 0; i < centre->count; i++) {
		const struct member *member = centre->members[i];
		uint64_t distance = place_of(member) - own;

		if (!is_target(members, member) ||
		    (next && distance >= nearest))
			continue;
		next = member;
		nearest = distance;
	}
	return next;
}

/* The successor comes first: each node is the successor of another one, while
 * chance alone leaves some node in nobody's targets. */
uint32_t fanout_choose(const struct members *members,
		       const struct data_centre *centre, uint32_t count_max,
		       const struct member *targets[FANOUT_TARGETS_MAX])
{
	const struct member *first = successor(members, centre);
	uint64_t best[FANOUT_TARGETS_MAX];
	uint32_t count = 1;
	uint32_t i;
	uint32_t j;

	if (count_max > FANOUT_TARGETS_MAX)
		count_max = FANOUT_TARGETS_MAX;
	if (!first || !count_max)
		return 0;
	targets[0] = first;
	for (i = 0; i < centre->count; i++) {
		const struct member *member = centre->members[i];
		uint64_t own = affinity(members, member);

		if (member == first || !is_target(members, member))
			continue;
		if (count < count_max)
			count++;
		else if (count == 1 || own >= best[count - 1])
			continue;
		for (j = count - 1; j > 1 && own < best[j - 1]; j--) {
			best[j] = best[j - 1];
			targets[j] = targets[j - 1];
		}
		best[j] = own;
		targets[j] = member;
	}
	return count;
}

bool fanout_is_sent_abroad(struct random *random, uint32_t nearby)
{
	return random_below(random, nearby) < SENDERS_ABROAD;
}

static void send_to(const struct fanout *fanout, const struct member *member,
		    const struct fanout_frame *frame)
{
	struct wire_conn *conn =
		wire_hub_connect(fanout->hub, &member->record.address);

	wire_conn_send(conn, frame->data, frame->size);
}

static uint32_t send_to_centre(const struct fanout *fanout,
			       const struct data_centre *centre,
			       uint32_t count_max,
			       const struct fanout_frame *frame)
{
	const struct member *targets[FANOUT_TARGETS_MAX];
	uint32_t count =
		fanout_choose(fanout->members, centre, count_max, targets);
	uint32_t i;

	for (i = 0; i < count; i++)
		send_to(fanout, targets[i], frame);
	return count;
}

uint32_t fanout_to_all(const struct fanout *fanout,
		       const struct fanout_reach *reach,
		       const struct fanout_frame *frame)
{
	const struct data_centre *home = fanout->members->home;
	const struct data_centre *centre;
	bool is_remote = reach->always_remote ||
			 fanout_is_sent_abroad(fanout->random, home->count);
	uint32_t sent = 0;

	for (centre = fanout->members->data_centres; centre;
	     centre = centre->next) {
		if (centre == home)
			sent += send_to_centre(fanout, centre, reach->local_max,
					       frame);
		else if (is_remote)
			sent += send_to_centre(fanout, centre,
					       reach->remote_max, frame);
	}
	return sent;
}

/* Returns a random data centre, the own one more often the larger it is. */
static const struct data_centre *choose_centre(const struct fanout *fanout)
{
	const struct data_centre *home = fanout->members->home;
	const struct data_centre *chosen = home;
	const struct data_centre *centre;
	uint32_t seen = 0;

	for (centre = fanout->members->data_centres; centre;
	     centre = centre->next)
		if (random_below(fanout->random, ++seen) == 0)
			chosen = centre;
	if (chosen != home &&
	    !fanout_is_sent_abroad(fanout->random, home->count))
		return home;
	return chosen;
}

uint32_t fanout_to_one(const struct fanout *fanout,
		       const struct fanout_frame *frame)
{
	const struct member *targets[FANOUT_TARGETS_MAX];
	uint32_t count = fanout_choose(fanout->members, choose_centre(fanout),
				       ONE_OF, targets);

	if (!count)
		return 0;
	send_to(fanout, targets[random_below(fanout->random, count)], frame);
	return 1;
}
