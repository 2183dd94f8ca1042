#include "call/incarnations.h"

#include <stdio.h>
#include <string.h>

static struct incarnation *find_earlier(struct incarnations *incarnations,
					const char *id)
{
	uint32_t i;

	for (i = 0; i < incarnations->earlier_count; i++)
		if (!strcmp(incarnations->earlier[i].id, id))
			return &incarnations->earlier[i];
	return NULL;
}

/* The oldest one is forgotten where there is no room. */
static void retire_present(struct incarnations *incarnations)
{
	if (!incarnations->known)
		return;
	if (incarnations->earlier_count == INCARNATIONS_KEPT) {
		memmove(&incarnations->earlier[0], &incarnations->earlier[1],
			(INCARNATIONS_KEPT - 1) *
				sizeof(incarnations->earlier[0]));
		incarnations->earlier_count--;
	}
	incarnations->present.revived = 0;
	incarnations->earlier[incarnations->earlier_count++] =
		incarnations->present;
	incarnations->known = false;
}

static void begin(struct incarnations *incarnations,
		  const struct incarnation_message *word)
{
	struct incarnation *present = &incarnations->present;

	memset(present, 0, sizeof(*present));
	snprintf(present->id, sizeof(present->id), "%s", word->id);
	present->born_ms = word->born_ms;
	present->sequence = word->sequence;
	present->left = word->leaves;
	incarnations->known = true;
	incarnations->change_count++;
}

static void bring_back(struct incarnations *incarnations,
		       struct incarnation *incarnation)
{
	struct incarnation back = *incarnation;

	*incarnation = incarnations->earlier[--incarnations->earlier_count];
	retire_present(incarnations);
	incarnations->present = back;
	incarnations->present.revived = 0;
	incarnations->known = true;
	incarnations->change_count++;
}

/* Of two starts under one id that both told when they began. */
static bool began_before(int64_t born_ms, int64_t other_ms)
{
	return born_ms && other_ms && born_ms < other_ms;
}

/* A word of the present start: news unless it was overtaken. */
static bool take_present(struct incarnations *incarnations,
			 const struct incarnation_message *word)
{
	struct incarnation *present = &incarnations->present;
	uint64_t sequence = word->sequence;
	uint32_t i;

	if (sequence && sequence <= present->sequence && !word->leaves)
		return false;
	if (!present->born_ms)
		present->born_ms = word->born_ms;
	for (i = 0; i < incarnations->earlier_count; i++)
		incarnations->earlier[i].revived = 0;
	if (sequence > present->sequence)
		present->sequence = sequence;
	if (present->left && !word->leaves)
		return false;
	present->left = word->leaves;
	return true;
}

static bool take_earlier(struct incarnations *incarnations,
			 struct incarnation *incarnation,
			 const struct incarnation_message *word)
{
	if (word->leaves)
		incarnation->left = true;
	if (incarnation->left || word->sequence <= incarnation->sequence)
		return false;
	incarnation->sequence = word->sequence;
	if (++incarnation->revived < INCARNATIONS_REVIVE_MESSAGES)
		return false;
	bring_back(incarnations, incarnation);
	return true;
}

/*
 * A process that starts again under its id counts its words from one: judged
 * by their numbers alone all of them would be late, and its node would send it
 * nothing until it has said as much as its predecessor.
 */
static bool take_same_id(struct incarnations *incarnations,
			 const struct incarnation_message *word)
{
	int64_t born_ms = incarnations->present.born_ms;

	if (began_before(word->born_ms, born_ms))
		return false;
	if (!began_before(born_ms, word->born_ms))
		return take_present(incarnations, word);
	begin(incarnations, word);
	return true;
}

bool incarnations_update(struct incarnations *incarnations,
			 const struct incarnation_message *word)
{
	struct incarnation *earlier;

	if (incarnations->known && !strcmp(incarnations->present.id, word->id))
		return take_same_id(incarnations, word);
	earlier = find_earlier(incarnations, word->id);
	if (earlier && began_before(word->born_ms, earlier->born_ms))
		return false;
	if (earlier && !began_before(earlier->born_ms, word->born_ms))
		return take_earlier(incarnations, earlier, word);
	/* The leaving of a start that was never here tells nothing of the
	 * one that is. */
	if (word->leaves && incarnations->known)
		return false;
	if (earlier)
		*earlier = incarnations->earlier[--incarnations->earlier_count];
	retire_present(incarnations);
	begin(incarnations, word);
	return true;
}

bool incarnations_confirm(struct incarnations *incarnations, const char *id)
{
	struct incarnation *earlier;

	if (incarnations->known && !strcmp(incarnations->present.id, id))
		return false;
	earlier = find_earlier(incarnations, id);
	if (earlier) {
		bring_back(incarnations, earlier);
		return true;
	}
	retire_present(incarnations);
	begin(incarnations, &(struct incarnation_message){ .id = id });
	return true;
}
