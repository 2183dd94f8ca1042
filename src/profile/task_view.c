#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "profile/task.h"

/* Commands that only read: list, show, diff and history. */

void task_view_begin(struct task *task)
{
	task_read(task, PHASE_HEAD, KEY_HEAD);
}

static void end_list(struct task *task)
{
	const struct head *head = &task->head;
	uint32_t i;

	task->profiles =
		calloc(head->profile_count + 1, sizeof(*task->profiles));
	if (!task->profiles)
		abort();
	for (i = 0; i < head->profile_count; i++) {
		struct editor_profile *profile = &task->profiles[i];

		memcpy(profile->name, head->profiles[i].name,
		       sizeof(profile->name));
		memcpy(profile->hash, head->profiles[i].hash,
		       CONTENT_HASH_BYTES);
		profile->set_in = head->profiles[i].set_in;
	}
	for (i = 0; i < task->drafts.count; i++) {
		struct editor_draft *draft = &task->drafts.items[i];
		const struct head_profile *current =
			head_find(head, draft->name);
		static const uint8_t none[CONTENT_HASH_BYTES];

		draft->stale = !hash_equal(draft->base_hash,
					   current ? current->hash : none);
	}
	task->result.profiles = task->profiles;
	task->result.profile_count = head->profile_count;
	task->result.drafts = task->drafts.items;
	task->result.draft_count = task->drafts.count;
	task_done(task, head->version);
}

static void not_found(struct task *task, const char *what)
{
	task_end(task, EDITOR_NOT_FOUND, ERROR_NOT_FOUND, "%s of profile %s",
		 what, task->name);
}

static void show_text(struct task *task, const uint8_t *hash)
{
	memcpy(task->after_hash, hash, CONTENT_HASH_BYTES);
	task_read_body(task, PHASE_BODY, hash);
}

static void show_draft(struct task *task)
{
	const struct editor_draft *draft =
		drafts_find(&task->drafts, task->name, task->author);

	if (draft && !draft->removes)
		show_text(task, draft->hash);
	else
		not_found(task, draft ? "the draft removes the text"
				      : "no draft of this author");
}

static void difference(struct task *task)
{
	static const uint8_t none[CONTENT_HASH_BYTES];
	const struct editor_draft *draft =
		drafts_find(&task->drafts, task->name, task->author);
	const struct head_profile *current = head_find(&task->head, task->name);

	if (draft)
		task_difference(task, current ? current->hash : none,
				draft->removes ? none : draft->hash);
	else
		not_found(task, "no draft of this author");
}

static void drafts_read(struct task *task)
{
	switch (task->request.action) {
	case EDITOR_LIST:
		end_list(task);
		return;
	case EDITOR_SHOW:
		show_draft(task);
		return;
	default:
		difference(task);
		return;
	}
}

static void show_in_force(struct task *task)
{
	const struct head_profile *current = head_find(&task->head, task->name);

	if (current)
		show_text(task, current->hash);
	else
		not_found(task, "no version in force");
}

static void head_read(struct task *task)
{
	const struct editor_request *request = &task->request;
	uint32_t limit = request->limit ? request->limit
					: HISTORY_DEFAULT_LIMIT;
	char key[STORE_KEY_SIZE];

	switch (request->action) {
	case EDITOR_HISTORY:
		if (request->name)
			task_read(task, PHASE_RESULT_HISTORY,
				  key_history(task->name, key));
		else
			task_read_changes(task,
					  task->head.version > limit
						  ? task->head.version - limit
						  : 0);
		return;
	case EDITOR_SHOW:
		if (request->version)
			task_read(task, PHASE_RESULT_HISTORY,
				  key_history(task->name, key));
		else if (request->author)
			task_read(task, PHASE_DRAFTS, KEY_DRAFTS);
		else
			show_in_force(task);
		return;
	default:
		task_read(task, PHASE_DRAFTS, KEY_DRAFTS);
		return;
	}
}

static void show_version(struct task *task)
{
	const struct changes *history = &task->changes;
	uint32_t i;

	for (i = 0; i < history->count; i++)
		if (history->items[i].version <= task->request.version)
			break;
	if (task->request.version > task->head.version)
		not_found(task, "the version does not exist yet");
	else if (i == history->count)
		not_found(task, "the version is older than the history");
	else if (history->items[i].removed)
		not_found(task, "the version has no text");
	else
		show_text(task, history->items[i].hash);
}

static void history_read(struct task *task, const struct store_result *result)
{
	uint32_t limit = task->request.limit ? task->request.limit
					     : HISTORY_DEFAULT_LIMIT;

	if (result->outcome == STORE_TOOK_EFFECT) {
		struct error err = ERROR_INIT;

		/* The next acceptance repairs a malformed history. */
		changes_decode(&task->changes, result->value, result->size,
			       &err);
	} else if (result->reason != STORE_ABSENT) {
		task_failed(task, result);
		return;
	}
	task_complete_history(&task->changes, &task->head, task->name);
	if (task->request.action == EDITOR_SHOW) {
		show_version(task);
		return;
	}
	if (!task->changes.count) {
		not_found(task, "no version");
		return;
	}
	task->result.changes = task->changes.items;
	task->result.change_count =
		task->changes.count < limit ? task->changes.count : limit;
	task_done(task, task->head.version);
}

static void text_read(struct task *task, const struct store_result *result)
{
	if (!task_receive_body(task, result, task->after_hash))
		return;
	task->out_text = malloc(result->size + 1);
	if (!task->out_text)
		abort();
	memcpy(task->out_text, result->value, result->size);
	task->out_text[result->size] = '\0';
	task->result.text = task->out_text;
	task->result.size = result->size;
	task_done(task, task->head.version);
}

void task_view_input(struct task *task, const struct store_result *result)
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
	case PHASE_RESULT_HISTORY:
		history_read(task, result);
		return;
	default:
		text_read(task, result);
		return;
	}
}
