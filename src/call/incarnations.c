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

/* Discards the oldest earlier incarnation if the list is full. */
static void retire_present(struct incarnations *incarnations)
{
	if (!incarnations->has_present)
		return;
	if (incarnations->earlier_count == INCARNATIONS_KEPT) {
		memmove(&incarnations->earlier[0], &incarnations->earlier[1],
			(INCARNATIONS_KEPT - 1) *
				sizeof(incarnations->earlier[0]));
		incarnations->earlier_count--;
	}
	incarnations->present.consecutive_messages = 0;
	incarnations->earlier[incarnations->earlier_count++] =
		incarnations->present;
	incarnations->has_present = false;
}

static void begin_present(struct incarnations *incarnations,
			  const struct incarnation_message *message)
{
	struct incarnation *present = &incarnations->present;

	memset(present, 0, sizeof(*present));
	snprintf(present->id, sizeof(present->id), "%s", message->id);
	present->start_time_ms = message->start_time_ms;
	present->sequence = message->sequence;
	present->left = message->leaving;
	incarnations->has_present = true;
	incarnations->change_count++;
}

static void restore_earlier(struct incarnations *incarnations,
			    struct incarnation *incarnation)
{
	struct incarnation restored = *incarnation;

	*incarnation = incarnations->earlier[--incarnations->earlier_count];
	retire_present(incarnations);
	incarnations->present = restored;
	incarnations->present.consecutive_messages = 0;
	incarnations->has_present = true;
	incarnations->change_count++;
}

/* Returns false if either start time is not known. */
static bool began_before(int64_t start_time_ms, int64_t other_ms)
{
	return start_time_ms && other_ms && start_time_ms < other_ms;
}

/* Ignores a message that arrives after a newer one. */
static bool update_present(struct incarnations *incarnations,
			   const struct incarnation_message *message)
{
	struct incarnation *present = &incarnations->present;
	uint64_t sequence = message->sequence;
	uint32_t i;

	if (sequence && sequence <= present->sequence && !message->leaving)
		return false;
	if (!present->start_time_ms)
		present->start_time_ms = message->start_time_ms;
	for (i = 0; i < incarnations->earlier_count; i++)
		incarnations->earlier[i].consecutive_messages = 0;
	if (sequence > present->sequence)
		present->sequence = sequence;
	if (present->left && !message->leaving)
		return false;
	present->left = message->leaving;
	return true;
}

static bool update_earlier(struct incarnations *incarnations,
			   struct incarnation *incarnation,
			   const struct incarnation_message *message)
{
	if (message->leaving)
		incarnation->left = true;
	if (incarnation->left || message->sequence <= incarnation->sequence)
		return false;
	incarnation->sequence = message->sequence;
	if (++incarnation->consecutive_messages < INCARNATIONS_REVIVE_MESSAGES)
		return false;
	restore_earlier(incarnations, incarnation);
	return true;
}

/*
 * A process that restarts under the same ID numbers its messages from one
 * again. Without the start time all of them would count as late, and the node
 * would send the upstream no requests until the numbers exceed those of the
 * earlier incarnation.
 */
static bool update_same_id(struct incarnations *incarnations,
			   const struct incarnation_message *message)
{
	int64_t start_time_ms = incarnations->present.start_time_ms;

	if (began_before(message->start_time_ms, start_time_ms))
		return false;
	if (!began_before(start_time_ms, message->start_time_ms))
		return update_present(incarnations, message);
	begin_present(incarnations, message);
	return true;
}

bool incarnations_update(struct incarnations *incarnations,
			 const struct incarnation_message *message)
{
	struct incarnation *earlier;

	if (incarnations->has_present &&
	    !strcmp(incarnations->present.id, message->id))
		return update_same_id(incarnations, message);
	earlier = find_earlier(incarnations, message->id);
	if (earlier &&
	    began_before(message->start_time_ms, earlier->start_time_ms))
		return false;
	if (earlier &&
	    !began_before(earlier->start_time_ms, message->start_time_ms))
		return update_earlier(incarnations, earlier, message);
	/* The departure of an unknown incarnation does not concern the present
	 * one. */
	if (message->leaving && incarnations->has_present)
		return false;
	if (earlier)
		*earlier = incarnations->earlier[--incarnations->earlier_count];
	retire_present(incarnations);
	begin_present(incarnations, message);
	return true;
}

bool incarnations_confirm(struct incarnations *incarnations, const char *id)
{
	struct incarnation *earlier;

	if (incarnations->has_present && !strcmp(incarnations->present.id, id))
		return false;
	earlier = find_earlier(incarnations, id);
	if (earlier) {
		restore_earlier(incarnations, earlier);
		return true;
	}
	retire_present(incarnations);
	begin_present(incarnations, &(struct incarnation_message){ .id = id });
	return true;
}
