#include "membership/pick.h"

#include <xxhash.h>

enum {
	/* Of two live members, the one whose fitness is in a higher class is
	 * chosen; within a class the work is spread. */
	FITNESS_CLASS = 4,
	CLASS_SHIFT = 60,
};

static bool may_be_picked(const struct members *members,
			  const struct member *member)
{
	return member->status == MEMBER_ALIVE &&
	       member->record.state != UPSTREAM_LEAVING &&
	       member->record.state != UPSTREAM_GONE &&
	       members_reachable(members, member);
}

static uint64_t score(const struct member *member, uint64_t key)
{
	const uint64_t parts[] = { member->id, key };
	uint64_t hash = XXH64(parts, sizeof(parts), 0);
	uint64_t class = member->record.fitness / FITNESS_CLASS;

	return class << CLASS_SHIFT | hash >> (64 - CLASS_SHIFT);
}

const struct member *members_pick(const struct members *members,
				  const struct data_centre *centre,
				  uint64_t key, const struct member *other)
{
	const struct member *best = NULL;
	uint64_t best_score = 0;
	uint32_t i;

	for (i = 0; i < centre->count; i++) {
		const struct member *member = centre->members[i];
		uint64_t own = score(member, key);

		if (member == other || !may_be_picked(members, member) ||
		    (best && own <= best_score))
			continue;
		best = member;
		best_score = own;
	}
	return best;
}
