#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "profile/task.h"

/*
 * Steps after a version was made: update the history of each changed profile,
 * then remove the applied drafts. The version stays in force if these writes
 * fail; the next writer repairs a lost update.
 */

void task_cleanup_drafts(struct task *task)
{
	task->retry_count = 0;
	task_read(task, PHASE_CLEANUP_READ, KEY_DRAFTS);
}

static void read_next_history(struct task *task)
{
	char key[STORE_KEY_SIZE];

	if (task->item == task->item_count) {
		task_cleanup_drafts(task);
		return;
	}
	task_read(task, PHASE_READ_HISTORY,
		  key_history(task->items[task->item].name, key));
}

static void history_read(struct task *task, const struct store_result *result)
{
	const struct task_item *item = &task->items[task->item];
	struct changes history = { .count = 0 };
	struct error err = ERROR_INIT;
	char key[STORE_KEY_SIZE];
	uint64_t revision = 0;
	uint8_t *bytes;
	size_t size;

	if (result->outcome != STORE_TOOK_EFFECT &&
	    result->reason != STORE_ABSENT) {
		task_cleanup_drafts(task);
		return;
	}
	if (result->outcome == STORE_TOOK_EFFECT) {
		revision = result->revision;
		changes_decode(&history, result->value, result->size, &err);
	}
	task_complete_history(&history, &task->head, item->name);
	task_complete_history(&history, &task->next, item->name);
	bytes = changes_encode(&history, &size);
	changes_finish(&history);
	task_write(task, PHASE_WRITE_HISTORY, key_history(item->name, key),
		   bytes, size, revision);
}

/* Returns true if the draft is the author's and the head already contains its
 * change. */
static bool is_applied(const struct task *task,
		       const struct editor_draft *draft)
{
	const struct head *head = task->committed ? &task->next : &task->head;
	const struct head_profile *current = head_find(head, draft->name);

	if (strcmp(draft->author, task->author))
		return false;
	if (draft->removes)
		return !current;
	return current && hash_equal(current->hash, draft->hash);
}

static void cleanup_read(struct task *task, const struct store_result *result)
{
	struct drafts *drafts = &task->drafts;
	uint64_t version = task->result.version;
	bool removed = false;
	uint8_t *bytes;
	size_t size;
	uint32_t i;

	/* The command succeeded even if the cleanup of the drafts fails. */
	task_done(task, version);
	if (result->outcome != STORE_TOOK_EFFECT ||
	    !task_receive_drafts(task, result)) {
		error_clear(&task->result.err);
		task_done(task, version);
		return;
	}
	for (i = drafts->count; i-- > 0;)
		if (is_applied(task, &drafts->items[i])) {
			drafts_remove(drafts, &drafts->items[i]);
			removed = true;
		}
	if (!removed)
		return;
	bytes = drafts_encode(drafts, &size);
	task_write(task, PHASE_CLEANUP_WRITE, KEY_DRAFTS, bytes, size,
		   task->drafts_revision);
}

static void cleanup_written(struct task *task,
			    const struct store_result *result)
{
	if (result->reason == STORE_CONFLICT && task->retry_count < 2) {
		task_read(task, PHASE_CLEANUP_READ, KEY_DRAFTS);
		task_retry(task);
		return;
	}
	task_done(task, task->result.version);
}

void task_after_commit(struct task *task)
{
	task->item = 0;
	read_next_history(task);
}

void task_after_input(struct task *task, const struct store_result *result)
{
	switch (task->phase) {
	case PHASE_READ_HISTORY:
		history_read(task, result);
		return;
	case PHASE_WRITE_HISTORY:
		task->item++;
		read_next_history(task);
		return;
	case PHASE_CLEANUP_READ:
		cleanup_read(task, result);
		return;
	default:
		cleanup_written(task, result);
		return;
	}
}
