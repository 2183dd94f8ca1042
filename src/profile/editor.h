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
 * Commands of operators on profiles: drafts, differences, acceptance and
 * history. All state is stored in the platform's service, so that any node can
 * serve any operator, and a command can be retried through another node.
 *
 * A draft belongs to its author: two operators who edit the same profile do
 * not overwrite each other. Each draft records the text on which it is based.
 * When a draft is accepted whose base is no longer in force, the acceptance
 * ends with EDITOR_CONFLICT and the changes since the base, and the draft is
 * kept.
 */

struct keeper;
struct editor_task;

enum { ACCEPT_DRAFTS_MAX = 64, HISTORY_MAX = 64, DRAFTS_MAX = 512 };

/** enum editor_action - action of a command; see struct editor_request. */
enum editor_action {
	EDITOR_LIST,	/* profiles in force and drafts */
	EDITOR_SHOW,	/* text in force, of a version, or of a draft */
	EDITOR_PUT,	/* store a draft */
	EDITOR_REMOVE,	/* store a draft that removes the profile */
	EDITOR_DISCARD, /* delete a draft */
	EDITOR_DIFF,	/* difference from the text in force to a draft */
	EDITOR_ACCEPT,	/* make the next version from drafts */
	EDITOR_HISTORY, /* versions, newest first */
	EDITOR_REVERT,	/* accept the text of a profile from a version */
};

/**
 * struct editor_request - one command; editor_run() copies all texts
 * @action: what the command does
 * @name: name of the profile. ACCEPT: NULL accepts all drafts of the author
 *	together. HISTORY: NULL lists the versions of all profiles
 * @author: name of the operator; NULL only for LIST, SHOW and HISTORY. SHOW:
 *	NULL shows the text in force
 * @text: PUT: text of the profile
 * @size: PUT: size of @text in bytes
 * @version: SHOW, REVERT: the version whose text is used. SHOW: 0 is the
 *	version in force
 * @expected_version: ACCEPT, REVERT: the version that must be in force; 0
 *	permits versions of other profiles accepted in between. PUT, REMOVE: the
 *	version on which the draft is based; 0 keeps the base of the author's
 *	previous draft, if there is one
 * @accept_id: ACCEPT, REVERT: id chosen by the caller, the same in each retry;
 *	letters, digits and "-"
 * @limit: HISTORY: maximum number of entries; 0 for the default of 20
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

/** enum editor_outcome - outcome of a command. */
enum editor_outcome {
	EDITOR_DONE,	    /* took effect, or returned its result */
	EDITOR_INVALID,	    /* no effect: the input is invalid */
	EDITOR_CONFLICT,    /* no effect: another command came first */
	EDITOR_NOT_FOUND,   /* no effect: no such profile, draft, version */
	EDITOR_UNAVAILABLE, /* no effect: the service cannot be used */
	EDITOR_UNKNOWN,	    /* effect unknown: retry with the same id */
};

/**
 * struct editor_profile - a profile in force
 * @name: name of the profile
 * @hash: hash of the profile's text
 * @set_in: version that set this text
 */
struct editor_profile {
	char name[PROFILE_NAME_SIZE];
	uint8_t hash[CONTENT_HASH_BYTES];
	uint64_t set_in;
};

/**
 * struct editor_draft - a change of a profile that is not accepted yet
 * @name: name of the profile
 * @author: operator who stored the draft
 * @hash: hash of the draft's text; all zero if @removes is set
 * @removes: true if the draft removes the profile and has no text
 * @base_version: version of the head on which the draft is based
 * @base_hash: hash of the profile's text in the base; all zero if there was
 *	none
 * @stored_ms: wall clock when the draft was stored, in milliseconds
 * @stale: true if the text in force is no longer the text of @base_hash; set
 *	by LIST only
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

/**
 * struct editor_change - the change of one profile in one version
 * @version: version that made the change
 * @name: name of the profile
 * @author: operator who accepted the version; empty if unknown
 * @accept_id: id of the acceptance; empty if unknown
 * @accepted_ms: wall clock of the acceptance, in milliseconds; 0 if unknown
 * @removed: true if the version removed the profile
 * @hash: hash of the profile's text in this version; all zero if @removed is
 *	set
 */
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
 * struct editor_result - result of a command; valid during the callback
 * @outcome: how the command ended
 * @version: version in force that the command read last. After ACCEPT and
 *	REVERT with EDITOR_DONE: the version that contains the change
 * @err: reason of an outcome other than EDITOR_DONE, for the operator
 * @text: SHOW: the text. DIFF and CONFLICT: a readable difference, or NULL if
 *	a text could not be read
 * @size: size of @text in bytes
 * @faults: INVALID: faults in the text of @faults_name, or NULL
 * @faults_name: name of the profile whose text has @faults
 * @profiles: LIST: profiles in force
 * @profile_count: number of @profiles
 * @drafts: LIST: drafts of all authors
 * @draft_count: number of @drafts
 * @changes: HISTORY: changes, newest first. CONFLICT: changes accepted since
 *	the base of the command
 * @change_count: number of @changes
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

/** typedef editor_done_fn - called once, from the event loop. */
typedef void editor_done_fn(const struct editor_result *result, void *data);

/**
 * struct editor - the commands in progress of one node
 * @loop: event loop of the timers
 * @store: store in the platform's service
 * @keeper: receives each version accepted through this node immediately; may
 *	be NULL
 * @random: source of the seeds of the commands
 * @tasks: list of the commands in progress
 * @task_count: number of @tasks
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

/**
 * editor_finish() - cancel all commands in progress and free them
 *
 * No callback of the commands is called.
 */
void editor_finish(struct editor *editor);

/**
 * editor_run() - start a command
 *
 * Return: a handle for editor_detach(), valid until @done is called; NULL
 * if too many commands are in progress. editor_run() never calls @done.
 */
struct editor_task *editor_run(struct editor *editor,
			       const struct editor_request *request,
			       editor_done_fn *done, void *data);

/**
 * editor_detach() - discard the callback of a command
 *
 * The command runs to its end, but its callback is not called.
 */
void editor_detach(struct editor_task *task);

/** editor_outcome_name() - name of an outcome: "done", "invalid", ... */
const char *editor_outcome_name(enum editor_outcome outcome);

/** editor_new_accept_id() - generate an unpredictable id; returns @id. */
char *editor_new_accept_id(char id[ACCEPT_ID_SIZE]);

#endif
