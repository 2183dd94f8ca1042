#ifndef PROFILE_TASK_H
#define PROFILE_TASK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/random.h"
#include "store/store.h"
#include "profile/editor.h"
#include "profile/records.h"

/**
 * DOC: task
 *
 * One command of an operator as a state machine without I/O. The field @step
 * holds the next call to the store. The owner of the task makes this call and
 * passes its result to task_input(), until the step is STEP_END.
 */

enum {
	/* Retries of a write that met another write or lost its answer. */
	TASK_RETRIES_MAX = 8,
	TASK_WAIT_BASE_MS = 20,
	TASK_WAIT_MAX_MS = 500,
	HISTORY_DEFAULT_LIMIT = 20,
};

enum step_kind { STEP_READ, STEP_WRITE, STEP_END };

/**
 * struct step - next call of a task to the store
 * @kind: read, write, or the end of the task
 * @wait_ms: delay before the call, in milliseconds
 * @key: key to read or write
 * @value: value to write, owned by the task; NULL for a read
 * @size: size of @value in bytes
 * @revision: revision that @key must have for the write to take effect; 0 if
 *	the key must be absent
 */
struct step {
	enum step_kind kind;
	int64_t wait_ms;
	char key[STORE_KEY_SIZE];
	uint8_t *value;
	size_t size;
	uint64_t revision;
};

/* Purpose of the call in progress. */
enum task_phase {
	PHASE_HEAD,
	PHASE_DRAFTS,
	PHASE_BODY,
	PHASE_WRITE_BODY,
	PHASE_WRITE_DRAFTS,
	PHASE_FIND_VERSION,
	PHASE_WRITE_CHANGE,
	PHASE_WRITE_HEAD,
	PHASE_READ_BACK,
	PHASE_READ_HISTORY,
	PHASE_WRITE_HISTORY,
	PHASE_CLEANUP_READ,
	PHASE_CLEANUP_WRITE,
	PHASE_READ_CHANGES,
	PHASE_RESULT_HISTORY,
	PHASE_BODY_BEFORE,
	PHASE_BODY_AFTER,
};

/**
 * struct task_item - one profile that the next version changes
 * @name: name of the profile
 * @hash: hash of the new text; all zero if @removes is set
 * @removes: true if the version removes the profile
 * @base_version: version on which the change is based
 * @base_hash: hash of the text that the change replaces; all zero if there is
 *	none
 * @text: new text, owned by the item; NULL until the text was read
 * @size: size of @text in bytes
 */
struct task_item {
	char name[PROFILE_NAME_SIZE];
	uint8_t hash[CONTENT_HASH_BYTES];
	bool removes;
	uint64_t base_version;
	uint8_t base_hash[CONTENT_HASH_BYTES];
	char *text;
	size_t size;
};

/**
 * struct task - one command
 * @request: the command; its texts point into the task
 * @wall_ms: wall clock at the start, in milliseconds
 * @min_version: version in force on this node; a head with a lower version is
 *	refused
 * @config: version in force on this node, with a reference; NULL without one
 * @step: next call to the store
 * @phase: purpose of the call in @step
 * @retry_count: number of retries of writes so far; reset before the cleanup of
 *	the drafts
 * @head: head that was read last
 * @head_revision: revision of @head in the store; 0 if there is no head
 * @next: head that the command writes
 * @next_bytes: encoded form of @next, @next_size bytes
 * @unknown: true if the answer to a write was lost and the effect of the write
 *	is not determined yet
 * @committed: true if this task has made @next the head
 * @drafts: drafts that were read last
 * @drafts_revision: revision of @drafts in the store; 0 if there is no record
 * @items: profiles that the command changes
 * @item: index of the item whose call is in progress
 * @changes: changes that the result lists
 * @changes_after: only changes of versions after this version are read
 * @before: old text of a difference, @before_size bytes; NULL if empty
 * @after_hash: hash of the new text of a difference, or of the text to show
 * @has_after: false if the new text of a difference is empty
 * @result: result of the command, complete once the step is STEP_END
 * @out_text: text of @result, owned by the task
 * @faults: faults of @result, owned by the task; NULL until a text is parsed
 * @profiles: profiles of @result, owned by the task
 */
struct task {
	struct editor_request request;
	char name[PROFILE_NAME_SIZE];
	char author[AUTHOR_SIZE];
	char accept_id[ACCEPT_ID_SIZE];
	char *text;
	int64_t wall_ms;
	uint64_t min_version;
	struct random random;
	struct config *config;

	struct step step;
	enum task_phase phase;
	uint32_t retry_count;

	struct head head;
	uint64_t head_revision;
	struct head next;
	uint8_t *next_bytes;
	size_t next_size;
	bool unknown;
	bool committed;

	struct drafts drafts;
	uint64_t drafts_revision;
	struct task_item items[ACCEPT_DRAFTS_MAX];
	uint32_t item_count;
	uint32_t item;
	struct changes changes;
	uint64_t changes_after;

	char *before;
	size_t before_size;
	uint8_t after_hash[CONTENT_HASH_BYTES];
	bool has_after;

	struct editor_result result;
	char *out_text;
	struct faults *faults;
	struct editor_profile *profiles;
};

/** task_init() - check the request and set the first step. */
void task_init(struct task *task, const struct editor_request *request,
	       int64_t wall_ms, uint64_t min_version, uint64_t seed);
void task_finish(struct task *task);

/**
 * task_set_config() - set the version that acceptances are checked against
 * @config: version in force on this node, of which a reference is taken; may be
 *	NULL
 */
void task_set_config(struct task *task, struct config *config);

/** task_input() - handle the result of the call in task->step. */
void task_input(struct task *task, const struct store_result *result);

/* The functions below are internal to the task_*.c files. */

/** task_read() - make the read of @key the next step. */
void task_read(struct task *task, enum task_phase phase, const char *key);

/** task_write() - make a write the next step; the task takes over @value. */
void task_write(struct task *task, enum task_phase phase, const char *key,
		uint8_t *value, size_t size, uint64_t revision);

/**
 * task_retry() - repeat the current step after a random backoff
 *
 * Return: false after TASK_RETRIES_MAX retries
 */
bool task_retry(struct task *task);

/**
 * task_reread() - read a key again after a conditional write
 * @result: result of a write that met another write, or whose answer was lost;
 *	any other result ends the task
 * @phase: phase in which @key is read
 */
void task_reread(struct task *task, const struct store_result *result,
		 enum task_phase phase, const char *key);

/** task_end() - end the command with an outcome other than EDITOR_DONE. */
void task_end(struct task *task, enum editor_outcome outcome,
	      enum error_code code, const char *fmt, ...)
	__attribute__((format(printf, 4, 5)));
/** task_done() - end the command with EDITOR_DONE. */
void task_done(struct task *task, uint64_t version);

/**
 * task_failed() - end the command because a required call failed
 *
 * The outcome is EDITOR_UNKNOWN if an earlier write may still take effect.
 */
void task_failed(struct task *task, const struct store_result *result);

/** task_receive_head() - store the head; false if the command has ended. */
bool task_receive_head(struct task *task, const struct store_result *result);

/**
 * task_check_tenants() - check the tenants of the next version together
 *
 * Profiles whose text neither the command nor this node has are left out; the
 * nodes check them when they apply the version.
 *
 * Return: false if the command has ended.
 */
bool task_check_tenants(struct task *task);

/** task_receive_drafts() - store the drafts; false if the command has ended. */
bool task_receive_drafts(struct task *task, const struct store_result *result);

/**
 * task_receive_body() - check that a text was read and matches its hash
 *
 * Return: false if it does not, which ends the command
 */
bool task_receive_body(struct task *task, const struct store_result *result,
		       const uint8_t hash[CONTENT_HASH_BYTES]);

/** task_parse() - check a text; false if the command ended with its faults. */
bool task_parse(struct task *task, const char *name, const char *text,
		size_t size);

/** task_read_body() - make the read of the text with @hash the next step. */
void task_read_body(struct task *task, enum task_phase phase,
		    const uint8_t hash[CONTENT_HASH_BYTES]);

/**
 * task_complete_history() - add the newest change of a profile from the head
 *
 * Does nothing if @history contains this change already.
 */
void task_complete_history(struct changes *history, const struct head *head,
			   const char *name);

/**
 * task_difference() - read two texts and end with their difference
 * @before: hash of the old text; all zero for an empty text
 * @after: hash of the new text; all zero for an empty text
 */
void task_difference(struct task *task,
		     const uint8_t before[CONTENT_HASH_BYTES],
		     const uint8_t after[CONTENT_HASH_BYTES]);

/**
 * task_read_changes() - read the changes of versions, newest first, then end
 * @after_version: the changes of the versions after this version are read
 */
void task_read_changes(struct task *task, uint64_t after_version);

/**
 * task_handle_common() - handle results in the phases that all commands share
 *
 * Stores a head or drafts, or continues a difference or the reading of changes.
 *
 * Return: true if @result needs no further handling
 */
bool task_handle_common(struct task *task, const struct store_result *result);

/** task_after_commit() - write the histories, then remove applied drafts. */
void task_after_commit(struct task *task);

/** task_cleanup_drafts() - remove drafts that the head contains, then end. */
void task_cleanup_drafts(struct task *task);
void task_after_input(struct task *task, const struct store_result *result);

bool hash_is_zero(const uint8_t hash[CONTENT_HASH_BYTES]);
bool hash_equal(const uint8_t a[CONTENT_HASH_BYTES],
		const uint8_t b[CONTENT_HASH_BYTES]);

/* Begin and input functions of each group of actions. */
void task_draft_begin(struct task *task);
void task_draft_input(struct task *task, const struct store_result *result);
void task_accept_begin(struct task *task);
void task_accept_input(struct task *task, const struct store_result *result);
void task_view_begin(struct task *task);
void task_view_input(struct task *task, const struct store_result *result);

#endif
