#include "call/starts.h"

#include <stdio.h>
#include <string.h>

static struct start *find_earlier(struct starts *starts, const char *id)
{
	uint32_t i;

	for (i = 0; i < starts->earlier_count; i++)
		if (!strcmp(starts->earlier[i].id, id))
			return &starts->earlier[i];
	return NULL;
}

/* The oldest one is forgotten where there is no room. */
static void retire_present(struct starts *starts)
{
	if (!starts->known)
		return;
	if (starts->earlier_count == STARTS_KEPT) {
		memmove(&starts->earlier[0], &starts->earlier[1],
			(STARTS_KEPT - 1) * sizeof(starts->earlier[0]));
		starts->earlier_count--;
	}
	starts->present.revived = 0;
	starts->earlier[starts->earlier_count++] = starts->present;
	starts->known = false;
}

static void begin(struct starts *starts, const struct start_word *word)
{
	struct start *present = &starts->present;

	memset(present, 0, sizeof(*present));
	snprintf(present->id, sizeof(present->id), "%s", word->id);
	present->start_time_ms = word->start_time_ms;
	present->sequence = word->sequence;
	present->left = word->leaving;
	starts->known = true;
	starts->begun++;
}

static void bring_back(struct starts *starts, struct start *start)
{
	struct start back = *start;

	*start = starts->earlier[--starts->earlier_count];
	retire_present(starts);
	starts->present = back;
	starts->present.revived = 0;
	starts->known = true;
	starts->begun++;
}

/* Of two starts under one id that both told when they began. */
static bool began_before(int64_t start_time_ms, int64_t other_ms)
{
	return start_time_ms && other_ms && start_time_ms < other_ms;
}

/* A word of the present start: news unless it was overtaken. */
static bool take_present(struct starts *starts, const struct start_word *word)
{
	struct start *present = &starts->present;
	uint64_t sequence = word->sequence;
	uint32_t i;

	if (sequence && sequence <= present->sequence && !word->leaving)
		return false;
	if (!present->start_time_ms)
		present->start_time_ms = word->start_time_ms;
	for (i = 0; i < starts->earlier_count; i++)
		starts->earlier[i].revived = 0;
	if (sequence > present->sequence)
		present->sequence = sequence;
	if (present->left && !word->leaving)
		return false;
	present->left = word->leaving;
	return true;
}

static bool take_earlier(struct starts *starts, struct start *start,
			 const struct start_word *word)
{
	if (word->leaving)
		start->left = true;
	if (start->left || word->sequence <= start->sequence)
		return false;
	start->sequence = word->sequence;
	if (++start->revived < STARTS_REVIVED)
		return false;
	bring_back(starts, start);
	return true;
}

/*
 * A process that starts again under its id counts its words from one: judged
 * by their numbers alone all of them would be late, and its node would send it
 * nothing until it has said as much as its predecessor.
 */
static bool take_same_id(struct starts *starts, const struct start_word *word)
{
	int64_t start_time_ms = starts->present.start_time_ms;

	if (began_before(word->start_time_ms, start_time_ms))
		return false;
	if (!began_before(start_time_ms, word->start_time_ms))
		return take_present(starts, word);
	begin(starts, word);
	return true;
}

bool starts_take(struct starts *starts, const struct start_word *word)
{
	struct start *earlier;

	if (starts->known && !strcmp(starts->present.id, word->id))
		return take_same_id(starts, word);
	earlier = find_earlier(starts, word->id);
	if (earlier &&
	    began_before(word->start_time_ms, earlier->start_time_ms))
		return false;
	if (earlier &&
	    !began_before(earlier->start_time_ms, word->start_time_ms))
		return take_earlier(starts, earlier, word);
	/* The leaving of a start that was never here tells nothing of the
	 * one that is. */
	if (word->leaving && starts->known)
		return false;
	if (earlier)
		*earlier = starts->earlier[--starts->earlier_count];
	retire_present(starts);
	begin(starts, word);
	return true;
}

bool starts_correct(struct starts *starts, const char *id)
{
	struct start *earlier;

	if (starts->known && !strcmp(starts->present.id, id))
		return false;
	earlier = find_earlier(starts, id);
	if (earlier) {
		bring_back(starts, earlier);
		return true;
	}
	retire_present(starts);
	begin(starts, &(struct start_word){ .id = id });
	return true;
}
