#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "profile/task.h"

/* Stores and deletes drafts. The text is written before the list of drafts. */

static void begin_put(struct task *task)
{
	const struct editor_request *request = &task->request;
	struct task_item *item = &task->items[0];
	char key[STORE_KEY_SIZE];
	uint8_t *copy;

	if (!request->text) {
		task_end(task, EDITOR_INVALID, ERROR_INVALID,
			 "the request contains no profile text");
		return;
	}
	if (!task_parse(task, task->name, request->text, request->size))
		return;
	content_hash(request->text, request->size, item->hash);
	copy = malloc(request->size + 1);
	if (!copy)
		abort();
	memcpy(copy, request->text, request->size);
	task_write(task, PHASE_WRITE_BODY, key_body(item->hash, key), copy,
		   request->size, 0);
}

void task_draft_begin(struct task *task)
{
	if (task->request.action == EDITOR_PUT)
		begin_put(task);
	else
		task_read(task, PHASE_HEAD, KEY_HEAD);
}

static void body_written(struct task *task, const struct store_result *result)
{
	/* A text is stored under its own hash: a value that is already stored
	 * is the same text, and a second write of the text is harmless. */
	if (result->outcome == STORE_TOOK_EFFECT ||
	    result->reason == STORE_CONFLICT)
		task_read(task, PHASE_HEAD, KEY_HEAD);
	else if (result->outcome != STORE_UNKNOWN || !task_retry(task))
		task_failed(task, result);
}

static void fill_draft(const struct task *task, struct editor_draft *draft)
{
	const struct head_profile *current = head_find(&task->head, task->name);

	memset(draft, 0, sizeof(*draft));
	memcpy(draft->name, task->name, sizeof(draft->name));
	memcpy(draft->author, task->author, sizeof(draft->author));
	memcpy(draft->hash, task->items[0].hash, CONTENT_HASH_BYTES);
	draft->removes = task->request.action == EDITOR_REMOVE;
	draft->base_version = task->head.version;
	if (current)
		memcpy(draft->base_hash, current->hash, CONTENT_HASH_BYTES);
	draft->stored_ms = task->wall_ms;
}

/* Sets the base of the draft. A text that was edited from an older version must
 * not be stored with the current version as its base: its acceptance would
 * silently undo what another operator accepted in between. Returns false if the
 * command ended with a conflict. */
static bool set_draft_base(struct task *task, struct editor_draft *draft,
			   const struct editor_draft *old)
{
	const struct head_profile *current = head_find(&task->head, task->name);
	uint64_t based_on_version = task->request.expected_version;

	if (!based_on_version) {
		if (old) {
			draft->base_version = old->base_version;
			memcpy(draft->base_hash, old->base_hash,
			       CONTENT_HASH_BYTES);
		}
		return true;
	}
	if (!current || current->set_in <= based_on_version)
		return true;
	task_end(
		task, EDITOR_CONFLICT, ERROR_CONFLICT,
		"profile %s was changed in version %llu, after version %llu, on "
		"which the text is based",
		task->name, (unsigned long long)current->set_in,
		(unsigned long long)based_on_version);
	return false;
}

static bool same_draft(const struct editor_draft *a,
		       const struct editor_draft *b)
{
	return a && a->removes == b->removes && hash_equal(a->hash, b->hash) &&
	       hash_equal(a->base_hash, b->base_hash);
}

static void write_drafts(struct task *task)
{
	size_t size;
	uint8_t *bytes = drafts_encode(&task->drafts, &size);

	task_write(task, PHASE_WRITE_DRAFTS, KEY_DRAFTS, bytes, size,
		   task->drafts_revision);
}

static void discard(struct task *task)
{
	struct editor_draft *draft =
		drafts_find(&task->drafts, task->name, task->author);

	if (draft) {
		drafts_remove(&task->drafts, draft);
		write_drafts(task);
	} else if (task->unknown) {
		task_done(task, task->head.version);
	} else {
		task_end(task, EDITOR_NOT_FOUND, ERROR_NOT_FOUND,
			 "%s has no draft of %s", task->author, task->name);
	}
}

static void set_draft(struct task *task)
{
	const struct editor_draft *old =
		drafts_find(&task->drafts, task->name, task->author);
	struct error err = ERROR_INIT;
	struct editor_draft draft;

	if (task->request.action == EDITOR_REMOVE &&
	    !head_find(&task->head, task->name)) {
		task_end(task, EDITOR_NOT_FOUND, ERROR_NOT_FOUND,
			 "profile %s is not in force", task->name);
		return;
	}
	fill_draft(task, &draft);
	if (!set_draft_base(task, &draft, old))
		return;
	if (same_draft(old, &draft))
		task_done(task, task->head.version);
	else if (drafts_set(&task->drafts, &draft, &err))
		write_drafts(task);
	else
		task_end(task, EDITOR_INVALID, err.code, "%s", err.text);
}

static void drafts_written(struct task *task, const struct store_result *result)
{
	if (result->outcome == STORE_TOOK_EFFECT) {
		task_done(task, task->head.version);
		return;
	}
	task_reread(task, result, PHASE_DRAFTS, KEY_DRAFTS);
}

void task_draft_input(struct task *task, const struct store_result *result)
{
	if (task_handle_common(task, result))
		return;
	switch (task->phase) {
	case PHASE_WRITE_BODY:
		body_written(task, result);
		return;
	case PHASE_HEAD:
		task_read(task, PHASE_DRAFTS, KEY_DRAFTS);
		return;
	case PHASE_DRAFTS:
		if (task->request.action == EDITOR_DISCARD)
			discard(task);
		else
			set_draft(task);
		return;
	default:
		drafts_written(task, result);
		return;
	}
}
