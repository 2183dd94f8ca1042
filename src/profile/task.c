#include "profile/task.h"

#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static bool author_valid(const char *author)
{
	json_t *text = json_string(author);
	const char *at;

	/* json_string() returns NULL for text that is not UTF-8, which could
	 * not be stored as JSON. */
	json_decref(text);
	for (at = author; *at; at++)
		if (iscntrl((unsigned char)*at))
			return false;
	return text && *author && strlen(author) < AUTHOR_SIZE;
}

static bool needs_author(enum editor_action action)
{
	return action != EDITOR_LIST && action != EDITOR_SHOW &&
	       action != EDITOR_HISTORY;
}

static bool needs_name(enum editor_action action)
{
	return action != EDITOR_LIST && action != EDITOR_HISTORY &&
	       action != EDITOR_ACCEPT;
}

static bool check_request(struct task *task)
{
	const struct editor_request *request = &task->request;
	const char *id = request->accept_id;

	if (request->name
		    ? !profile_name_valid(request->name, PROFILE_NAME_SIZE)
		    : needs_name(request->action))
		task_end(task, EDITOR_INVALID, ERROR_INVALID,
			 "a profile name consists of a-z, 0-9, '-', '_' and "
			 "'.', and has at most %d bytes",
			 PROFILE_NAME_SIZE - 1);
	else if (request->author ? !author_valid(request->author)
				 : needs_author(request->action))
		task_end(task, EDITOR_INVALID, ERROR_INVALID,
			 "an author name must be UTF-8 text of 1 to %d bytes "
			 "without control characters",
			 AUTHOR_SIZE - 1);
	else if ((request->action == EDITOR_ACCEPT ||
		  request->action == EDITOR_REVERT) &&
		 (!id || !accept_id_valid(id)))
		task_end(task, EDITOR_INVALID, ERROR_INVALID,
			 "an acceptance needs an id of letters, digits and '-' "
			 "with at most %d bytes",
			 ACCEPT_ID_SIZE - 1);
	else
		return true;
	return false;
}

static void copy_request(struct task *task)
{
	struct editor_request *request = &task->request;

	if (request->name) {
		snprintf(task->name, sizeof(task->name), "%s", request->name);
		request->name = task->name;
	}
	if (request->author) {
		snprintf(task->author, sizeof(task->author), "%s",
			 request->author);
		request->author = task->author;
	}
	if (request->accept_id) {
		snprintf(task->accept_id, sizeof(task->accept_id), "%s",
			 request->accept_id);
		request->accept_id = task->accept_id;
	}
	if (!request->text)
		return;
	task->text = malloc(request->size + 1);
	if (!task->text)
		abort();
	memcpy(task->text, request->text, request->size);
	task->text[request->size] = '\0';
	request->text = task->text;
}

void task_init(struct task *task, const struct editor_request *request,
	       int64_t wall_ms, uint64_t min_version, uint64_t seed)
{
	memset(task, 0, sizeof(*task));
	task->request = *request;
	task->wall_ms = wall_ms;
	task->min_version = min_version;
	random_init(&task->random, seed);
	head_init(&task->head);
	head_init(&task->next);
	if (!check_request(task))
		return;
	copy_request(task);
	switch (request->action) {
	case EDITOR_LIST:
	case EDITOR_SHOW:
	case EDITOR_DIFF:
	case EDITOR_HISTORY:
		task_view_begin(task);
		return;
	case EDITOR_PUT:
	case EDITOR_REMOVE:
	case EDITOR_DISCARD:
		task_draft_begin(task);
		return;
	case EDITOR_ACCEPT:
	case EDITOR_REVERT:
		task_accept_begin(task);
		return;
	}
}

void task_input(struct task *task, const struct store_result *result)
{
	switch (task->request.action) {
	case EDITOR_LIST:
	case EDITOR_SHOW:
	case EDITOR_DIFF:
	case EDITOR_HISTORY:
		task_view_input(task, result);
		return;
	case EDITOR_PUT:
	case EDITOR_REMOVE:
	case EDITOR_DISCARD:
		task_draft_input(task, result);
		return;
	case EDITOR_ACCEPT:
	case EDITOR_REVERT:
		task_accept_input(task, result);
		return;
	}
}

void task_finish(struct task *task)
{
	uint32_t i;

	for (i = 0; i < task->item_count; i++)
		free(task->items[i].text);
	free(task->text);
	free(task->step.value);
	free(task->next_bytes);
	free(task->before);
	free(task->out_text);
	free(task->faults);
	free(task->profiles);
	config_unref(task->config);
	head_finish(&task->head);
	head_finish(&task->next);
	drafts_finish(&task->drafts);
	changes_finish(&task->changes);
}
