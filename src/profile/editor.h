#ifndef PROFILE_EDITOR_H
#define PROFILE_EDITOR_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error.h"
#include "base/random.h"
#include "base/schema.h"
#include "store/store.h"
#include "profile/head.h"

/**
 * DOC: editor
 *
 * What operators do to profiles: drafts, differences, acceptance, history.
 * Everything is kept in the platform's service, so any node can serve any
 * operator, and a command may be sent again through another node.
 *
 * A draft belongs to its author: two operators who edit the same profile do
 * not overwrite each other. Each draft remembers the text that it was made
 * from; the second of two acceptances gets EDITOR_CONFLICT with what changed
 * meanwhile, and its draft stays.
 */

struct keeper;
struct editor_task;

enum { ACCEPT_DRAFTS_MAX = 64, HISTORY_MAX = 64, DRAFTS_MAX = 512 };

/** enum editor_action - what is asked for; see struct editor_request. */
enum editor_action {
	EDITOR_LIST,	/* profiles in force and drafts */
	EDITOR_SHOW,	/* a text: in force, of a version, or a draft */
	EDITOR_PUT,	/* store a draft */
	EDITOR_REMOVE,	/* store a draft that takes the profile away */
	EDITOR_DISCARD, /* drop a draft */
	EDITOR_DIFF,	/* a draft against what is in force */
	EDITOR_ACCEPT,	/* make drafts the next version */
	EDITOR_HISTORY, /* versions, newest first */
	EDITOR_REVERT,	/* accept the text that a profile had in a version */
};

/**
 * struct editor_request - one command; everything is copied
 * @name: profile. ACCEPT: NULL accepts all drafts of the author together
 * @author: operator; needed for drafts. SHOW: NULL shows what is in force
 * @text: PUT: the profile's text
 * @version: SHOW, REVERT: the version to take the text from. SHOW: 0 is the
 *	one in force
 * @expected_version: ACCEPT, REVERT: the version that must be in force; 0
 *	lets others have accepted other profiles meanwhile
 * @accept_id: ACCEPT, REVERT: chosen by the command, the same when it tries
 *	again; letters, digits and "-"
 * @limit: HISTORY: entries at most; 0 for 20
 */
struct editor_request {
	enum editor_action action;
	const char *name;
	const char *author;
	const char *text;
	size_t size;
	uint64_t version;
	uint64_t expected_version;
	const char *accept_id;
	uint32_t limit;
};

/** enum editor_outcome - how a command ended. */
enum editor_outcome {
	EDITOR_DONE,	    /* it took effect, or here is the answer */
	EDITOR_INVALID,	    /* did not: the input is at fault */
	EDITOR_CONFLICT,    /* did not: somebody else was first */
	EDITOR_NOT_FOUND,   /* did not: no such profile, draft or version */
	EDITOR_UNAVAILABLE, /* did not: the platform's service is not there */
	EDITOR_UNKNOWN,	    /* not known: ask again with the same accept id */
};

/** struct editor_profile - a profile in force. */
struct editor_profile {
	char name[PROFILE_NAME_SIZE];
	uint8_t hash[CONTENT_HASH_BYTES];
	uint64_t set_in;
};

/**
 * struct editor_draft - a text that is not accepted yet
 * @removes: it takes the profile away; there is no text
 * @base_version: version in force when it was first stored
 * @base_hash: the profile's text then; all zero if there was none
 * @stale: the profile was changed since
 */
struct editor_draft {
	char name[PROFILE_NAME_SIZE];
	char author[AUTHOR_SIZE];
	uint8_t hash[CONTENT_HASH_BYTES];
	bool removes;
	uint64_t base_version;
	uint8_t base_hash[CONTENT_HASH_BYTES];
	int64_t stored_ms;
	bool stale;
};

/** struct editor_change - what a version did to one profile. */
struct editor_change {
	uint64_t version;
	char name[PROFILE_NAME_SIZE];
	char author[AUTHOR_SIZE];
	char accept_id[ACCEPT_ID_SIZE];
	int64_t accepted_ms;
	bool removed;
	uint8_t hash[CONTENT_HASH_BYTES];
};

/**
 * struct editor_result - the end of a command; valid during the callback
 * @version: version in force as far as the command saw it; after ACCEPT and
 *	REVERT that were done, the version that they made
 * @err: why it was not done, for people
 * @text: SHOW: the text. DIFF and CONFLICT: a readable difference
 * @faults: INVALID: what is wrong with the text of @faults_name
 * @profiles: LIST
 * @drafts: LIST
 * @changes: HISTORY, and CONFLICT: what others accepted meanwhile
 */
struct editor_result {
	enum editor_outcome outcome;
	uint64_t version;
	struct error err;
	const char *text;
	size_t size;
	const struct faults *faults;
	const char *faults_name;
	const struct editor_profile *profiles;
	uint32_t profile_count;
	const struct editor_draft *drafts;
	uint32_t draft_count;
	const struct editor_change *changes;
	uint32_t change_count;
};

/** typedef editor_done_fn - called once, from the loop. */
typedef void editor_done_fn(const struct editor_result *result, void *data);

/**
 * struct editor - the commands in progress of one node
 * @keeper: gets what was accepted here at once; may be NULL
 */
struct editor {
	struct loop *loop;
	struct store *store;
	struct keeper *keeper;
	struct random random;
	struct editor_task *tasks;
	uint32_t task_count;
};

void editor_init(struct editor *editor, struct loop *loop, struct store *store,
		 struct keeper *keeper, uint64_t seed);

/** editor_finish() - drop what is in progress without calling back. */
void editor_finish(struct editor *editor);

/**
 * editor_run() - begin a command
 *
 * Return: a handle for editor_detach(), valid until @done is called; NULL
 * if too many commands are in progress. @done is never called from here.
 */
struct editor_task *editor_run(struct editor *editor,
			       const struct editor_request *request,
			       editor_done_fn *done, void *data);

/**
 * editor_detach() - whoever asked has gone
 *
 * The command goes on to its end; @done is not called.
 */
void editor_detach(struct editor_task *task);

/** editor_outcome_name() - "done", "invalid", "conflict", ... */
const char *editor_outcome_name(enum editor_outcome outcome);

/** editor_new_accept_id() - a new unpredictable id; returns @id. */
char *editor_new_accept_id(char id[ACCEPT_ID_SIZE]);

#endif
