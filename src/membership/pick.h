#ifndef MEMBERSHIP_PICK_H
#define MEMBERSHIP_PICK_H

#include "membership/members.h"

/**
 * DOC: pick
 *
 * Chooses the member of a data centre that does a work for the others. All
 * nodes with the same view choose the same one; nothing is agreed, so the work
 * must bear two that do it at once.
 */

/**
 * members_pick() - returns the first live member of a data centre for a work
 * @key: identifies the work; works are spread over the fittest members
 * @other: is not chosen; NULL for none
 *
 * Return: NULL if there is none.
 */
const struct member *members_pick(const struct members *members,
				  const struct data_centre *centre,
				  uint64_t key, const struct member *other);

#endif
