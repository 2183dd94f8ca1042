#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "profile/task.h"

/*
 * An acceptance. The texts are already in the store, written with the drafts.
 * The record of the changes is written first, under the chain hash of the new
 * version. Then a conditional write replaces head N by head N+1; only this
 * write makes the version. The histories and drafts are updated afterwards; if
 * such an update is lost, the next writer repairs it.
 */

static void read_drafts(struct task *task)
{
	task_read(task, PHASE_DRAFTS, KEY_DRAFTS);
}

void task_accept_begin(struct task *task)
{
	task_read(task, PHASE_HEAD, KEY_HEAD);
}

static bool expected_version_holds(struct task *task)
{
	uint64_t expected = task->request.expected_version;

	if (!expected || expected == task->head.version)
		return true;
	task_end(task, EDITOR_CONFLICT, ERROR_CONFLICT,
		 "version %llu was expected, %llu is in force",
		 (unsigned long long)expected,
		 (unsigned long long)task->head.version);
	/* The conflict lists the latest changes since that version. */
	if (expected < task->head.version)
		task_read_changes(task, task->head.version - expected >
							HISTORY_DEFAULT_LIMIT
						? task->head.version -
							  HISTORY_DEFAULT_LIMIT
						: expected);
	return false;
}

/* Returns true if a version was already made under this accept id: its answer
 * was lost, or the operator sent the command again. */
static bool accepted_before(struct task *task)
{
	uint64_t version = head_accepted_in(&task->head, task->accept_id);

	if (!version)
		return false;
	task->result.version = version;
	task->unknown = false;
	task_cleanup_drafts(task);
	return true;
}

static void head_read(struct task *task)
{
	char key[STORE_KEY_SIZE];

	if (accepted_before(task) || !expected_version_holds(task))
		return;
	if (task->request.action == EDITOR_ACCEPT)
		read_drafts(task);
	else
		task_read(task, PHASE_FIND_VERSION,
			  key_history(task->name, key));
}

static const uint8_t *current_hash(const struct task *task, const char *name)
{
	static const uint8_t none[CONTENT_HASH_BYTES];
	const struct head_profile *current = head_find(&task->head, name);

	return current ? current->hash : none;
}

/* Returns true if the head already contains the change of this item. */
static bool is_in_force(const struct task *task, const struct task_item *item)
{
	const struct head_profile *current = head_find(&task->head, item->name);

	if (item->removes)
		return !current;
	return current && hash_equal(current->hash, item->hash);
}

static void add_draft(struct task *task, const struct editor_draft *draft)
{
	struct task_item *item = &task->items[task->item_count++];

	memset(item, 0, sizeof(*item));
	memcpy(item->name, draft->name, sizeof(item->name));
	memcpy(item->hash, draft->hash, CONTENT_HASH_BYTES);
	memcpy(item->base_hash, draft->base_hash, CONTENT_HASH_BYTES);
	item->base_version = draft->base_version;
	item->removes = draft->removes;
}

static bool collect_drafts(struct task *task)
{
	const struct drafts *drafts = &task->drafts;
	uint32_t i;

	for (i = 0; i < drafts->count; i++) {
		const struct editor_draft *draft = &drafts->items[i];

		if (strcmp(draft->author, task->author) ||
		    (task->request.name && strcmp(draft->name, task->name)))
			continue;
		if (task->item_count == ACCEPT_DRAFTS_MAX) {
			task_end(task, EDITOR_INVALID, ERROR_LIMIT,
				 "at most %d drafts can be accepted together: "
				 "name a profile",
				 ACCEPT_DRAFTS_MAX);
			return false;
		}
		add_draft(task, draft);
	}
	if (task->item_count)
		return true;
	task_end(task, EDITOR_NOT_FOUND, ERROR_NOT_FOUND, "%s has no draft%s%s",
		 task->author, task->request.name ? " of " : "",
		 task->request.name ? task->name : "");
	return false;
}

/* Returns true if the draft is based on another text than the text in force.
 * Its acceptance would undo a change that the author has not seen. */
static bool is_stale(const struct task *task, const struct task_item *item)
{
	return !is_in_force(task, item) &&
	       !hash_equal(item->base_hash, current_hash(task, item->name));
}

static void end_with_conflict(struct task *task, const struct task_item *item)
{
	char key[STORE_KEY_SIZE];

	task_end(task, EDITOR_CONFLICT, ERROR_CONFLICT,
		 "profile %s was changed since version %llu, from which this "
		 "was made; nothing was accepted, drafts are kept",
		 item->name, (unsigned long long)item->base_version);
	task->item = (uint32_t)(item - task->items);
	task_read(task, PHASE_RESULT_HISTORY, key_history(item->name, key));
}

static bool check_bases(struct task *task)
{
	uint32_t i;

	for (i = 0; i < task->item_count; i++)
		if (is_stale(task, &task->items[i])) {
			end_with_conflict(task, &task->items[i]);
			return false;
		}
	return true;
}

/* Lists the changes of the profile since the base of the draft, then reads the
 * texts for the difference. */
static void conflict_history_read(struct task *task,
				  const struct store_result *result)
{
	const struct task_item *item = &task->items[task->item];
	struct changes *changes = &task->changes;
	struct error err = ERROR_INIT;
	uint32_t i;

	if (result->outcome == STORE_TOOK_EFFECT)
		changes_decode(changes, result->value, result->size, &err);
	task_complete_history(changes, &task->head, item->name);
	for (i = 0; i < changes->count; i++)
		if (changes->items[i].version <= item->base_version)
			break;
	task->result.changes = changes->items;
	task->result.change_count = i;
	task_difference(task, item->base_hash, current_hash(task, item->name));
}

static void write_head(struct task *task)
{
	uint8_t *copy = malloc(task->next_size);

	if (!copy)
		abort();
	memcpy(copy, task->next_bytes, task->next_size);
	task_write(task, PHASE_WRITE_HEAD, KEY_HEAD, copy, task->next_size,
		   task->head_revision);
}

static void add_change(struct changes *changes, const struct head *head,
		       const struct task_item *item)
{
	struct editor_change change = { .version = head->version,
					.accepted_ms = head->accepted_ms,
					.removed = item->removes };

	memcpy(change.name, item->name, sizeof(change.name));
	memcpy(change.author, head->author, sizeof(change.author));
	memcpy(change.accept_id, head->accept_ids[0], sizeof(change.accept_id));
	memcpy(change.hash, item->hash, CONTENT_HASH_BYTES);
	changes_add(changes, &change);
}

static void write_change(struct task *task)
{
	struct changes record = { .count = 0 };
	char key[STORE_KEY_SIZE];
	uint8_t *bytes;
	size_t size;
	uint32_t i;

	for (i = 0; i < task->item_count; i++)
		if (!is_in_force(task, &task->items[i]))
			add_change(&record, &task->next, &task->items[i]);
	memcpy(record.previous, task->next.previous, CHAIN_HASH_BYTES);
	bytes = changes_encode(&record, &size);
	changes_finish(&record);
	task_write(task, PHASE_WRITE_CHANGE, key_change(task->next.chain, key),
		   bytes, size, 0);
}

/* Builds the version after the head that was read, with the changes of all
 * items, and writes the record of its changes. Without any change to make, no
 * version is made. */
static void build_next_head(struct task *task)
{
	struct error err = ERROR_INIT;
	uint32_t changed = 0;
	uint32_t i;

	head_finish(&task->next);
	head_copy(&task->next, &task->head);
	head_advance(&task->next, task->accept_id, task->author, task->wall_ms);
	for (i = 0; i < task->item_count; i++) {
		const struct task_item *item = &task->items[i];

		if (is_in_force(task, item))
			continue;
		changed++;
		if (item->removes)
			head_remove(&task->next, item->name);
		else
			head_set(&task->next, item->name, item->hash, &err);
	}
	if (error_is_set(&err)) {
		task_end(task, EDITOR_INVALID, err.code, "%s", err.text);
		return;
	}
	if (!changed) {
		task_cleanup_drafts(task);
		return;
	}
	if (!task_check_tenants(task))
		return;
	head_seal(&task->next);
	free(task->next_bytes);
	task->next_bytes = head_encode(&task->next, &task->next_size);
	write_change(task);
}

/* Reads the texts of all items, then builds the next head. */
static void read_next_body(struct task *task)
{
	for (; task->item < task->item_count; task->item++) {
		const struct task_item *item = &task->items[task->item];

		if (item->removes || item->text)
			continue;
		task_read_body(task, PHASE_BODY, item->hash);
		return;
	}
	build_next_head(task);
}

static void drafts_read(struct task *task)
{
	if (!collect_drafts(task) || !check_bases(task))
		return;
	read_next_body(task);
}

static void body_read(struct task *task, const struct store_result *result)
{
	struct task_item *item = &task->items[task->item];

	if (!task_receive_body(task, result, item->hash))
		return;
	item->text = malloc(result->size + 1);
	if (!item->text)
		abort();
	memcpy(item->text, result->value, result->size);
	item->size = result->size;
	if (task_parse(task, item->name, item->text, item->size))
		read_next_body(task);
}

/* REVERT: finds the text that the profile had in the requested version. */
static void find_version(struct task *task, const struct store_result *result)
{
	struct task_item *item = &task->items[0];
	struct error err = ERROR_INIT;
	struct changes history = { .count = 0 };
	uint32_t i;

	if (result->outcome == STORE_TOOK_EFFECT)
		changes_decode(&history, result->value, result->size, &err);
	else if (result->reason != STORE_ABSENT) {
		task_failed(task, result);
		return;
	}
	task_complete_history(&history, &task->head, task->name);
	for (i = 0; i < history.count; i++)
		if (history.items[i].version <= task->request.version)
			break;
	if (task->request.version > task->head.version) {
		task_end(task, EDITOR_NOT_FOUND, ERROR_NOT_FOUND,
			 "version %llu does not exist yet",
			 (unsigned long long)task->request.version);
	} else if (i < history.count) {
		memcpy(item->name, task->name, sizeof(item->name));
		memcpy(item->hash, history.items[i].hash, CONTENT_HASH_BYTES);
		memcpy(item->base_hash, current_hash(task, task->name),
		       CONTENT_HASH_BYTES);
		item->base_version = task->head.version;
		item->removes = history.items[i].removed;
		task->item_count = 1;
		read_next_body(task);
	} else {
		task_end(task, EDITOR_NOT_FOUND, ERROR_NOT_FOUND,
			 "profile %s: the history does not reach back to "
			 "version %llu",
			 task->name, (unsigned long long)task->request.version);
	}
	changes_finish(&history);
}

static void change_written(struct task *task, const struct store_result *result)
{
	if (result->outcome == STORE_TOOK_EFFECT ||
	    result->reason == STORE_CONFLICT)
		write_head(task);
	else if (result->outcome != STORE_UNKNOWN || !task_retry(task))
		task_failed(task, result);
}

static void commit(struct task *task)
{
	task->committed = true;
	task->unknown = false;
	task->result.version = task->next.version;
	task_after_commit(task);
}

static void head_written(struct task *task, const struct store_result *result)
{
	if (result->outcome == STORE_TOOK_EFFECT) {
		commit(task);
		return;
	}
	task_reread(task, result, PHASE_READ_BACK, KEY_HEAD);
}

/* Returns true if so many versions were made since the write was sent that the
 * head may no longer list the accept id of the write. */
static bool id_may_be_dropped(const struct task *task, uint64_t sent_on_version)
{
	return task->unknown &&
	       task->head.version > sent_on_version + HEAD_ACCEPT_IDS_MAX;
}

/*
 * Determines from the head whether the write of the head took effect after its
 * answer was lost or another write came first:
 * - The head lists the accept id: the write took effect.
 * - The revision is unchanged: the same write is sent again, since at most one
 *   of the two writes can take effect.
 * - The revision is another: the write can no longer take effect, so the next
 *   head is built again.
 */
static void read_back(struct task *task, const struct store_result *result)
{
	uint64_t sent_on_version = task->head.version;
	uint64_t sent_revision = task->head_revision;

	if (!task_receive_head(task, result))
		return;
	if (hash_equal(task->head.chain, task->next.chain)) {
		commit(task);
		return;
	}
	if (accepted_before(task))
		return;
	if (task->head_revision == sent_revision) {
		write_head(task);
		return;
	}
	if (task->head.version < sent_on_version ||
	    id_may_be_dropped(task, sent_on_version)) {
		task_end(task, EDITOR_UNKNOWN, ERROR_PROTOCOL,
			 "version %llu is in force; whether this acceptance "
			 "made an earlier version is unknown: see the history",
			 (unsigned long long)task->head.version);
		return;
	}
	task->unknown = false;
	if (expected_version_holds(task) && check_bases(task))
		build_next_head(task);
}

void task_accept_input(struct task *task, const struct store_result *result)
{
	if (task_handle_common(task, result))
		return;
	switch (task->phase) {
	case PHASE_HEAD:
		head_read(task);
		return;
	case PHASE_DRAFTS:
		drafts_read(task);
		return;
	case PHASE_FIND_VERSION:
		find_version(task, result);
		return;
	case PHASE_BODY:
		body_read(task, result);
		return;
	case PHASE_RESULT_HISTORY:
		conflict_history_read(task, result);
		return;
	case PHASE_WRITE_CHANGE:
		change_written(task, result);
		return;
	case PHASE_WRITE_HEAD:
		head_written(task, result);
		return;
	case PHASE_READ_BACK:
		read_back(task, result);
		return;
	default:
		task_after_input(task, result);
		return;
	}
}
