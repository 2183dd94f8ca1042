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
 * One command of an operator as a state machine without I/O. The machine
 * says which call it wants next (@step), whoever drives it makes the call
 * and hands in its result, until the step is STEP_END.
 */

enum {
	/* Rounds of a write that is contended or whose answer is lost. */
	TASK_ATTEMPTS_MAX = 8,
	TASK_WAIT_BASE_MS = 20,
	TASK_WAIT_MAX_MS = 500,
	HISTORY_DEFAULT_LIMIT = 20,
};

enum step_kind { STEP_READ, STEP_WRITE, STEP_END };

/**
 * struct step - what a task wants next
 * @wait_ms: before the call is made
 * @value: of a write; owned by the task
 */
struct step {
	enum step_kind kind;
	int64_t wait_ms;
	char key[STORE_KEY_SIZE];
	uint8_t *value;
	size_t size;
	uint64_t revision;
};

/* What the call in progress is for. */
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
	PHASE_HISTORY,
	PHASE_BODY_BEFORE,
	PHASE_BODY_AFTER,
};

/**
 * struct task_item - one profile that a version is to change
 * @base_hash: the text that it replaces; all zero if there is none
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
 * @min_version: in force here; a head before it is not built upon
 * @unknown: a write was sent whose answer was lost, and is not settled
 * @committed: @next has become the head through this task
 * @next_bytes: the head that was written
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

	struct step step;
	enum task_phase phase;
	uint32_t attempts;

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
	uint64_t changes_after; /* version at which a walk back ends */

	char *before;
	size_t before_size;
	uint8_t after_hash[CONTENT_HASH_BYTES];
	bool has_after;

	struct editor_result result;
	char *out_text;
	struct faults *faults;
	struct editor_profile *profiles;
};

/** task_init() - check the request and say what the first call is. */
void task_init(struct task *task, const struct editor_request *request,
	       int64_t wall_ms, uint64_t min_version, uint64_t seed);
void task_finish(struct task *task);

/** task_input() - the call that task->step asked for has ended. */
void task_input(struct task *task, const struct store_result *result);

/* The rest is for the parts of this module. */

void task_read(struct task *task, enum task_phase phase, const char *key);

/** task_write() - @value now belongs to the task. */
void task_write(struct task *task, enum task_phase phase, const char *key,
		uint8_t *value, size_t size, uint64_t revision);

/** task_retry() - the same step once more, after a while; false if too often */
bool task_retry(struct task *task);

/**
 * task_reread() - a conditional write did not take effect, or perhaps it did
 * @phase: in which @key is read to see what is there now
 */
void task_reread(struct task *task, const struct store_result *result,
		 enum task_phase phase, const char *key);

void task_end(struct task *task, enum editor_outcome outcome,
	      enum error_code code, const char *fmt, ...)
	__attribute__((format(printf, 4, 5)));
void task_done(struct task *task, uint64_t version);

/** task_failed() - a call failed on which all depends. */
void task_failed(struct task *task, const struct store_result *result);

/** task_receive_head() - the answer to a read of the head; false if it ended. */
bool task_receive_head(struct task *task, const struct store_result *result);

/** task_receive_drafts() - the answer to a read of the drafts. */
bool task_receive_drafts(struct task *task, const struct store_result *result);

/** task_receive_body() - a text whose hash is checked; false if it ended. */
bool task_receive_body(struct task *task, const struct store_result *result,
		       const uint8_t hash[CONTENT_HASH_BYTES]);

/** task_parse() - false if it ended with the faults of the text. */
bool task_parse(struct task *task, const char *name, const char *text,
		size_t size);

/** task_read_body() - read the text of @hash. */
void task_read_body(struct task *task, enum task_phase phase,
		    const uint8_t hash[CONTENT_HASH_BYTES]);

/** task_complete_history() - put in what the head knows and it lacks. */
void task_complete_history(struct changes *history, const struct head *head,
			   const char *name);

/** task_difference() - end with the difference of two texts by hash. */
void task_difference(struct task *task,
		     const uint8_t before[CONTENT_HASH_BYTES],
		     const uint8_t after[CONTENT_HASH_BYTES]);

/** task_read_changes() - collect changes back from the head's, then end. */
void task_read_changes(struct task *task, uint64_t after_version);

/**
 * task_handle_common() - the answers that mean the same to all commands
 *
 * Takes over a head or drafts, and goes on with a difference or a walk.
 *
 * Return: true if nothing is left to do with @result
 */
bool task_handle_common(struct task *task, const struct store_result *result);

/** task_after_commit() - write histories, then tidy the drafts. */
void task_after_commit(struct task *task);

/** task_cleanup_drafts() - drop drafts that ask for what is in force, then end.
 */
void task_cleanup_drafts(struct task *task);
void task_after_input(struct task *task, const struct store_result *result);

bool hash_is_zero(const uint8_t hash[CONTENT_HASH_BYTES]);
bool hash_equal(const uint8_t a[CONTENT_HASH_BYTES],
		const uint8_t b[CONTENT_HASH_BYTES]);

/* One part for each group of actions. */
void task_draft_begin(struct task *task);
void task_draft_input(struct task *task, const struct store_result *result);
void task_accept_begin(struct task *task);
void task_accept_input(struct task *task, const struct store_result *result);
void task_view_begin(struct task *task);
void task_view_input(struct task *task, const struct store_result *result);

#endif
