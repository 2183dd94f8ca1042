#include <string.h>

#include "membership/members_defs.h"
#include "os/clock.h"

/*
 * Pings to nodes of the data centre that announced that they leave. Many of
 * these nodes are restarts and come back within a second at the same address.
 * A restarted node finds its peers through the platform's service. While that
 * service is unreachable, the node would have no peers and no version and
 * could answer no calls. Therefore two of the remaining members ping the
 * address for some seconds, and the node joins when it answers.
 */

enum {
	PINGERS = 2,
	/* The longest that a restarted node waits for a ping. */
	PING_INTERVAL_MS = 250,
	/* Covers the start of a process. The drain precedes the leaving. */
	PING_DURATION_MS = 10 * 1000,
};

static const char duty[] = "departed";

/* Called after the member was removed from the table, so that the ranks for the
 * duty do not include the member. */
void departed_add(struct members *members, uint64_t id,
		  const struct address *address)
{
	struct departed *oldest = &members->departed[0];
	uint32_t i;

	if (members_rank(members, duty) >= PINGERS)
		return;
	for (i = 1; i < MEMBERS_DEPARTED; i++)
		if (members->departed[i].until_us < oldest->until_us)
			oldest = &members->departed[i];
	oldest->id = id;
	oldest->address = *address;
	oldest->until_us = members->now_us + PING_DURATION_MS * US_PER_MS;
	if (!members->departed_at_us)
		members->departed_at_us =
			members->now_us + PING_INTERVAL_MS * US_PER_MS;
}

static bool is_awaited(const struct members *members,
		       const struct departed *departed)
{
	return departed->until_us > members->now_us &&
	       !table_find(members, departed->id);
}

void departed_tick(struct members *members)
{
	bool more = false;
	uint32_t i;

	if (!members->departed_at_us ||
	    members->now_us < members->departed_at_us)
		return;
	for (i = 0; i < MEMBERS_DEPARTED; i++) {
		struct departed *departed = &members->departed[i];

		if (!is_awaited(members, departed)) {
			departed->until_us = 0;
			continue;
		}
		swim_reconnect(members, &departed->address);
		more = true;
	}
	members->departed_at_us =
		more ? members->now_us + PING_INTERVAL_MS * US_PER_MS : 0;
}
