#include <string.h>

#include "profile/config_tenants.h"
#include "profile/task.h"

/*
 * The check of tenants before an acceptance. The nodes refuse a version in
 * which a key or a tenant stands in two profiles; without this check such a
 * version would become the head, and no later change would come into force
 * before it is corrected.
 */

void task_set_config(struct task *task, struct config *config)
{
	task->config = config ? config_ref(config) : NULL;
}

/* Returns the item that sets a profile, or NULL. */
static const struct task_item *find_item(const struct task *task,
					 const struct head_profile *profile)
{
	uint32_t i;

	for (i = 0; i < task->item_count; i++) {
		const struct task_item *item = &task->items[i];

		if (item->text && !strcmp(item->name, profile->name))
			return item;
	}
	return NULL;
}

/* Returns a profile of the next version with a reference, or NULL if this node
 * does not have its text. */
static struct profile *load_profile(struct task *task,
				    const struct head_profile *wanted)
{
	const struct task_item *item = find_item(task, wanted);
	const struct config_profile *entry = NULL;

	if (item)
		return profile_parse(item->name, item->text, item->size,
				     task->faults);
	if (task->config)
		entry = config_find_entry(task->config, wanted->name);
	if (!entry || memcmp(entry->hash, wanted->hash, CONTENT_HASH_BYTES))
		return NULL;
	return profile_ref(entry->profile);
}

bool task_check_tenants(struct task *task)
{
	struct config *config = config_new(task->next.profile_count);
	struct error err = ERROR_INIT;
	uint32_t count = 0;
	uint32_t i;
	bool ok;

	for (i = 0; i < task->next.profile_count; i++) {
		struct profile *profile =
			load_profile(task, &task->next.profiles[i]);

		if (profile)
			config->profiles[count++].profile = profile;
	}
	config->profile_count = count;
	ok = config_check_tenants(config, NULL, &err);
	config_unref(config);
	if (!ok)
		task_end(task, EDITOR_INVALID, err.code, "%s", err.text);
	return ok;
}
