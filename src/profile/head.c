#include "profile/head.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void head_init(struct head *head)
{
	memset(head, 0, sizeof(*head));
}

void head_finish(struct head *head)
{
	free(head->profiles);
	head_init(head);
}

static void reserve(struct head *head, uint32_t count)
{
	if (count <= head->profile_capacity)
		return;
	head->profile_capacity = count + count / 4;
	head->profiles =
		realloc(head->profiles,
			head->profile_capacity * sizeof(*head->profiles));
	if (!head->profiles)
		abort();
}

void head_copy(struct head *head, const struct head *from)
{
	*head = *from;
	head->profiles = NULL;
	head->profile_capacity = 0;
	reserve(head, from->profile_count);
	if (from->profile_count)
		memcpy(head->profiles, from->profiles,
		       from->profile_count * sizeof(*head->profiles));
}

/* Returns the index of the profile @name, or the index for its insertion. */
static uint32_t find_index(const struct head *head, const char *name,
			   bool *found)
{
	uint32_t low = 0;
	uint32_t high = head->profile_count;

	*found = false;
	while (low < high) {
		uint32_t middle = low + (high - low) / 2;
		int order = strcmp(head->profiles[middle].name, name);

		if (!order) {
			*found = true;
			return middle;
		}
		if (order < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

const struct head_profile *head_find(const struct head *head, const char *name)
{
	bool found;
	uint32_t index = find_index(head, name, &found);

	return found ? &head->profiles[index] : NULL;
}

uint64_t head_accepted_in(const struct head *head, const char *accept_id)
{
	uint32_t i;

	for (i = 0; i < head->accept_id_count; i++)
		if (!strcmp(head->accept_ids[i], accept_id))
			return head->version - i;
	return 0;
}

void head_advance(struct head *head, const char *accept_id, const char *author,
		  int64_t accepted_ms)
{
	uint32_t kept_count = head->accept_id_count;

	assert(accept_id_valid(accept_id));
	if (kept_count == HEAD_ACCEPT_IDS_MAX)
		kept_count--;
	memmove(head->accept_ids[1], head->accept_ids[0],
		kept_count * sizeof(head->accept_ids[0]));
	snprintf(head->accept_ids[0], ACCEPT_ID_SIZE, "%s", accept_id);
	head->accept_id_count = kept_count + 1;
	memcpy(head->previous, head->chain, CHAIN_HASH_BYTES);
	snprintf(head->author, sizeof(head->author), "%s", author);
	head->accepted_ms = accepted_ms;
	head->version++;
}

static void delete_removed_entry(struct head *head, const char *name)
{
	uint32_t i;

	for (i = 0; i < head->removed_count; i++)
		if (!strcmp(head->removed[i].name, name))
			break;
	if (i == head->removed_count)
		return;
	head->removed_count--;
	memmove(&head->removed[i], &head->removed[i + 1],
		(head->removed_count - i) * sizeof(head->removed[0]));
}

bool head_set(struct head *head, const char *name,
	      const uint8_t hash[CONTENT_HASH_BYTES], struct error *err)
{
	struct head_profile *profile;
	bool found;
	uint32_t index = find_index(head, name, &found);

	if (!found) {
		if (head->profile_count == HEAD_PROFILES_MAX) {
			error_set(err, ERROR_LIMIT,
				  "there are %d profiles already, the maximum",
				  HEAD_PROFILES_MAX);
			return false;
		}
		reserve(head, head->profile_count + 1);
		memmove(&head->profiles[index + 1], &head->profiles[index],
			(head->profile_count - index) *
				sizeof(*head->profiles));
		head->profile_count++;
	}
	profile = &head->profiles[index];
	snprintf(profile->name, sizeof(profile->name), "%s", name);
	memcpy(profile->hash, hash, CONTENT_HASH_BYTES);
	profile->set_in = head->version;
	delete_removed_entry(head, name);
	return true;
}

void head_remove(struct head *head, const char *name)
{
	bool found;
	uint32_t index = find_index(head, name, &found);

	if (!found)
		return;
	head->profile_count--;
	memmove(&head->profiles[index], &head->profiles[index + 1],
		(head->profile_count - index) * sizeof(*head->profiles));
	if (head->removed_count == HEAD_REMOVED_MAX)
		head->removed_count--;
	memmove(&head->removed[1], &head->removed[0],
		head->removed_count * sizeof(head->removed[0]));
	snprintf(head->removed[0].name, PROFILE_NAME_SIZE, "%s", name);
	head->removed[0].removed_in = head->version;
	head->removed_count++;
}
