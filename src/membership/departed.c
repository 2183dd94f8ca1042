#include <string.h>

#include "membership/members_defs.h"
#include "os/clock.h"

/*
 * Nodes of the data centre that said that they leave. Many of them are back
 * within a second at the same address: they were restarted. Such a node finds
 * the others through the platform's service; while that cannot be reached it
 * would hear nobody, have no version and answer nothing, for as long as the
 * outage lasts. So two of those who stay ping its address for some seconds,
 * and it answers as soon as it is there.
 */

enum {
	KNOCKERS = 2,
	/* A restart takes about half a second; half of that is the most that
	 * it then waits to be found. */
	KNOCK_EVERY_MS = 250,
	/* A drain takes place before the node leaves; it is gone for the time
	 * of a start only. */
	KNOCK_FOR_MS = 10 * 1000,
};

static const char duty[] = "departed";

/* Called after the member was dropped: who leaves has no duties. */
void departed_add(struct members *members, uint64_t id,
		  const struct address *address)
{
	struct departed *oldest = &members->departed[0];
	uint32_t i;

	if (members_rank(members, duty) >= KNOCKERS)
		return;
	for (i = 1; i < MEMBERS_DEPARTED; i++)
		if (members->departed[i].until_us < oldest->until_us)
			oldest = &members->departed[i];
	oldest->id = id;
	oldest->address = *address;
	oldest->until_us = members->now_us + KNOCK_FOR_MS * US_PER_MS;
	if (!members->departed_at_us)
		members->departed_at_us =
			members->now_us + KNOCK_EVERY_MS * US_PER_MS;
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
		more ? members->now_us + KNOCK_EVERY_MS * US_PER_MS : 0;
}
