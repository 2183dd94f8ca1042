#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "profile/diff.h"
#include "profile/task.h"

bool hash_is_zero(const uint8_t hash[CONTENT_HASH_BYTES])
{
	static const uint8_t zero[CONTENT_HASH_BYTES];

	return hash_equal(hash, zero);
}

bool hash_equal(const uint8_t a[CONTENT_HASH_BYTES],
		const uint8_t b[CONTENT_HASH_BYTES])
{
	return !memcmp(a, b, CONTENT_HASH_BYTES);
}

void task_read(struct task *task, enum task_phase phase, const char *key)
{
	free(task->step.value);
	memset(&task->step, 0, sizeof(task->step));
	task->step.kind = STEP_READ;
	snprintf(task->step.key, sizeof(task->step.key), "%s", key);
	task->phase = phase;
}

void task_write(struct task *task, enum task_phase phase, const char *key,
		uint8_t *value, size_t size, uint64_t revision)
{
	task_read(task, phase, key);
	task->step.kind = STEP_WRITE;
	task->step.value = value;
	task->step.size = size;
	task->step.revision = revision;
}

static int64_t retry_wait_ms(struct task *task)
{
	struct backoff backoff;

	backoff_init(&backoff, TASK_WAIT_BASE_MS, TASK_WAIT_MAX_MS);
	backoff.failures = task->retry_count;
	return backoff_next_ms(&backoff, &task->random);
}

bool task_retry(struct task *task)
{
	if (++task->retry_count > TASK_RETRIES_MAX)
		return false;
	task->step.wait_ms = retry_wait_ms(task);
	return true;
}

void task_reread(struct task *task, const struct store_result *result,
		 enum task_phase phase, const char *key)
{
	if (result->outcome == STORE_UNKNOWN) {
		task->unknown = true;
	} else if (result->reason != STORE_CONFLICT) {
		task_failed(task, result);
		return;
	}
	task_read(task, phase, key);
	if (!task_retry(task))
		task_failed(task, result);
}

void task_end(struct task *task, enum editor_outcome outcome,
	      enum error_code code, const char *fmt, ...)
{
	char text[ERROR_TEXT_SIZE];
	va_list args;

	va_start(args, fmt);
	vsnprintf(text, sizeof(text), fmt, args);
	va_end(args);
	error_set(&task->result.err, code, "%s", text);
	task->result.outcome = outcome;
	task->step.kind = STEP_END;
}

void task_done(struct task *task, uint64_t version)
{
	task->result.outcome = EDITOR_DONE;
	task->result.version = version;
	task->step.kind = STEP_END;
}

void task_failed(struct task *task, const struct store_result *result)
{
	/* A write whose answer was lost may still take effect. */
	enum editor_outcome outcome = task->unknown ? EDITOR_UNKNOWN
						    : EDITOR_UNAVAILABLE;

	if (result->reason == STORE_REJECTED && !task->unknown)
		outcome = EDITOR_INVALID;
	task_end(task, outcome,
		 result->err.code ? result->err.code : ERROR_PROTOCOL, "%s: %s",
		 task->step.key, result->err.text);
}

static bool answered_read(const struct store_result *result)
{
	return result->outcome == STORE_TOOK_EFFECT ||
	       result->reason == STORE_ABSENT;
}

/* Refuses a head older than the version in force on this node, such as the head
 * of a platform that was restored from a backup. A version accepted on such a
 * head would reuse a number that the nodes already have with other content. The
 * nodes would ignore the version although the operator received a success. */
static bool check_min_version(struct task *task)
{
	if (task->head.version >= task->min_version)
		return true;
	task_end(task, task->unknown ? EDITOR_UNKNOWN : EDITOR_UNAVAILABLE,
		 ERROR_PROTOCOL,
		 "the platform's service returned version %llu, which is older "
		 "than version %llu in force on this node",
		 (unsigned long long)task->head.version,
		 (unsigned long long)task->min_version);
	return false;
}

bool task_receive_head(struct task *task, const struct store_result *result)
{
	struct error err = ERROR_INIT;

	if (!answered_read(result)) {
		task_failed(task, result);
		return false;
	}
	head_finish(&task->head);
	task->head_revision = 0;
	if (result->reason != STORE_ABSENT) {
		if (!head_decode(&task->head, result->value, result->size,
				 &err)) {
			task_end(task, EDITOR_UNAVAILABLE, err.code, "%s",
				 err.text);
			return false;
		}
		task->head_revision = result->revision;
	}
	task->result.version = task->head.version;
	return check_min_version(task);
}

bool task_receive_drafts(struct task *task, const struct store_result *result)
{
	struct error err = ERROR_INIT;

	if (!answered_read(result)) {
		task_failed(task, result);
		return false;
	}
	drafts_finish(&task->drafts);
	task->drafts_revision = 0;
	if (result->reason == STORE_ABSENT)
		return true;
	task->drafts_revision = result->revision;
	if (drafts_decode(&task->drafts, result->value, result->size, &err))
		return true;
	task_end(task, EDITOR_UNAVAILABLE, err.code, "%s", err.text);
	return false;
}

bool task_receive_body(struct task *task, const struct store_result *result,
		       const uint8_t hash[CONTENT_HASH_BYTES])
{
	uint8_t found[CONTENT_HASH_BYTES];

	if (result->reason == STORE_ABSENT) {
		task_end(task, EDITOR_NOT_FOUND, ERROR_NOT_FOUND,
			 "the platform's service has no value for %s",
			 task->step.key);
		return false;
	}
	if (result->outcome != STORE_TOOK_EFFECT) {
		task_failed(task, result);
		return false;
	}
	content_hash(result->value, result->size, found);
	if (hash_equal(found, hash))
		return true;
	task_end(task, EDITOR_UNAVAILABLE, ERROR_PROTOCOL,
		 "the content of %s does not match its hash", task->step.key);
	return false;
}

bool task_parse(struct task *task, const char *name, const char *text,
		size_t size)
{
	struct profile *profile;

	if (!task->faults)
		task->faults = calloc(1, sizeof(*task->faults));
	if (!task->faults)
		abort();
	profile = profile_parse(name, text, size, task->faults);
	if (profile) {
		profile_free(profile);
		return true;
	}
	faults_to_error(task->faults, name, &task->result.err);
	task->result.faults = task->faults;
	task->result.faults_name = name;
	task->result.outcome = EDITOR_INVALID;
	task->step.kind = STEP_END;
	return false;
}

void task_read_body(struct task *task, enum task_phase phase,
		    const uint8_t hash[CONTENT_HASH_BYTES])
{
	char key[STORE_KEY_SIZE];

	task_read(task, phase, key_body(hash, key));
}

static void insert_first(struct changes *changes,
			 const struct editor_change *change)
{
	changes_add(changes, change);
	memmove(&changes->items[1], &changes->items[0],
		(changes->count - 1) * sizeof(*changes->items));
	changes->items[0] = *change;
	if (changes->count > HISTORY_MAX)
		changes->count = HISTORY_MAX;
}

void task_complete_history(struct changes *history, const struct head *head,
			   const char *name)
{
	const struct head_profile *current = head_find(head, name);
	struct editor_change change = { 0 };
	uint32_t i;

	snprintf(change.name, sizeof(change.name), "%s", name);
	change.removed = !current;
	for (i = 0; !current && i < head->removed_count; i++)
		if (!strcmp(head->removed[i].name, name))
			change.version = head->removed[i].removed_in;
	if (current) {
		change.version = current->set_in;
		memcpy(change.hash, current->hash, CONTENT_HASH_BYTES);
	}
	if (!change.version ||
	    (history->count && history->items[0].version >= change.version))
		return;
	if (change.version == head->version) {
		memcpy(change.author, head->author, sizeof(change.author));
		change.accepted_ms = head->accepted_ms;
	}
	if (head->version - change.version < head->accept_id_count)
		memcpy(change.accept_id,
		       head->accept_ids[head->version - change.version],
		       sizeof(change.accept_id));
	insert_first(history, &change);
}

static void end_difference(struct task *task, const char *after, size_t size)
{
	task->out_text = diff_text(task->before ? task->before : "",
				   task->before_size, after, size);
	task->result.text = task->out_text;
	task->result.size = strlen(task->out_text);
	task->step.kind = STEP_END;
}

static void read_after(struct task *task)
{
	if (task->has_after)
		task_read_body(task, PHASE_BODY_AFTER, task->after_hash);
	else
		end_difference(task, "", 0);
}

void task_difference(struct task *task,
		     const uint8_t before[CONTENT_HASH_BYTES],
		     const uint8_t after[CONTENT_HASH_BYTES])
{
	memcpy(task->after_hash, after, CONTENT_HASH_BYTES);
	task->has_after = !hash_is_zero(after);
	if (hash_is_zero(before))
		read_after(task);
	else
		task_read_body(task, PHASE_BODY_BEFORE, before);
}

/* Handles a text of a difference. If the text cannot be read, the result has no
 * difference, and the outcome, which is already set, does not change. */
static bool difference_input(struct task *task,
			     const struct store_result *result)
{
	bool found = result->outcome == STORE_TOOK_EFFECT;

	if (task->phase == PHASE_BODY_AFTER) {
		if (found)
			end_difference(task, (const char *)result->value,
				       result->size);
		else
			task->step.kind = STEP_END;
		return true;
	}
	if (task->phase != PHASE_BODY_BEFORE)
		return false;
	if (!found) {
		task->step.kind = STEP_END;
		return true;
	}
	task->before = malloc(result->size + 1);
	if (!task->before)
		abort();
	memcpy(task->before, result->value, result->size);
	task->before_size = result->size;
	read_after(task);
	return true;
}

static void read_change(struct task *task,
			const uint8_t chain[CHAIN_HASH_BYTES])
{
	char key[STORE_KEY_SIZE];

	task_read(task, PHASE_READ_CHANGES, key_change(chain, key));
}

static void end_changes(struct task *task)
{
	task->result.changes = task->changes.items;
	task->result.change_count = task->changes.count;
	task->step.kind = STEP_END;
}

void task_read_changes(struct task *task, uint64_t after_version)
{
	task->changes_after = after_version;
	if (task->head.version > after_version)
		read_change(task, task->head.chain);
	else
		end_changes(task);
}

static bool changes_input(struct task *task, const struct store_result *result)
{
	struct error err = ERROR_INIT;
	struct changes record;
	uint64_t version = 0;
	uint32_t i;

	if (task->phase != PHASE_READ_CHANGES)
		return false;
	if (result->outcome != STORE_TOOK_EFFECT ||
	    !changes_decode(&record, result->value, result->size, &err)) {
		end_changes(task);
		return true;
	}
	for (i = 0; i < record.count; i++) {
		version = record.items[i].version;
		changes_add(&task->changes, &record.items[i]);
	}
	if (version > task->changes_after + 1 && !hash_is_zero(record.previous))
		read_change(task, record.previous);
	else
		end_changes(task);
	changes_finish(&record);
	return true;
}

bool task_handle_common(struct task *task, const struct store_result *result)
{
	if (difference_input(task, result) || changes_input(task, result))
		return true;
	switch (task->phase) {
	case PHASE_HEAD:
		return !task_receive_head(task, result);
	case PHASE_DRAFTS:
		return !task_receive_drafts(task, result);
	default:
		return false;
	}
}
