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

static void begin(struct starts *starts, const char *id, uint64_t sequence)
{
	struct start *present = &starts->present;

	memset(present, 0, sizeof(*present));
	snprintf(present->id, sizeof(present->id), "%s", id);
	present->sequence = sequence;
	starts->known = true;
}

static void bring_back(struct starts *starts, struct start *start)
{
	struct start back = *start;

	*start = starts->earlier[--starts->earlier_count];
	retire_present(starts);
	starts->present = back;
	starts->present.revived = 0;
	starts->known = true;
}

/* A word of the present start: news unless it was overtaken. */
static bool take_present(struct starts *starts, uint64_t sequence, bool leaves)
{
	struct start *present = &starts->present;
	uint32_t i;

	if (sequence && sequence <= present->sequence && !leaves)
		return false;
	for (i = 0; i < starts->earlier_count; i++)
		starts->earlier[i].revived = 0;
	if (sequence > present->sequence)
		present->sequence = sequence;
	if (present->left && !leaves)
		return false;
	present->left = leaves;
	return true;
}

static bool take_earlier(struct starts *starts, struct start *start,
			 uint64_t sequence, bool leaves)
{
	if (leaves)
		start->left = true;
	if (start->left || sequence <= start->sequence)
		return false;
	start->sequence = sequence;
	if (++start->revived < STARTS_REVIVED)
		return false;
	bring_back(starts, start);
	return true;
}

bool starts_take(struct starts *starts, const char *id, uint64_t sequence,
		 bool leaves)
{
	struct start *earlier;

	if (starts->known && !strcmp(starts->present.id, id))
		return take_present(starts, sequence, leaves);
	earlier = find_earlier(starts, id);
	if (earlier)
		return take_earlier(starts, earlier, sequence, leaves);
	/* The leaving of a start that was never here tells nothing of the
	 * one that is. */
	if (leaves && starts->known)
		return false;
	retire_present(starts);
	begin(starts, id, sequence);
	starts->present.left = leaves;
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
	begin(starts, id, 0);
	return true;
}
