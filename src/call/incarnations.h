#ifndef CALL_INCARNATIONS_H
#define CALL_INCARNATIONS_H

#include <stdbool.h>
#include <stdint.h>

#include "call/call_defs.h"

/**
 * DOC: starts
 *
 * Which start of the upstream beside is the present one. A start has an id and,
 * where upstreams tell it, the time at which it began: one that starts again
 * may keep its id, and numbers its words anew. Words of an earlier start may
 * come late, after a new one has begun at the same address; taken at face value
 * they would reopen the gate of an upstream that has gone, and requests would
 * be sent to a process that refuses them. Decision core: no sockets, no clock.
 */

enum {
	INCARNATIONS_KEPT = 8,
	/* Fresh words of a start taken for gone, without one of its successor
	 * between them, that prove it was the successor's that came late. */
	INCARNATIONS_REVIVE_MESSAGES = 2,
};

/**
 * struct incarnation - one start of the upstream
 * @born_ms: when it began, by its own clock since 1970; 0: it has not said
 * @sequence: of its newest word
 * @left: it has said that it leaves; what it says later does not undo that
 */
struct incarnation {
	char id[UPSTREAM_ID_SIZE];
	int64_t born_ms;
	uint64_t sequence;
	bool left;
	uint32_t revived;
};

/**
 * struct incarnations - the present start and those before it
 * @known: whether there is a present one
 * @change_count: starts that became the present one so far
 */
struct incarnations {
	struct incarnation present;
	bool known;
	uint32_t change_count;
	struct incarnation earlier[INCARNATIONS_KEPT];
	uint32_t earlier_count;
};

/**
 * struct incarnation_message - what a word of an upstream says of its start
 * @born_ms: when that began; 0: not said
 * @sequence: counts the words of one start
 * @leaves: it says that the upstream leaves or has gone
 */
struct incarnation_message {
	const char *id;
	int64_t born_ms;
	uint64_t sequence;
	bool leaves;
};

/**
 * incarnations_update() - a word has come
 *
 * Return: whether it is news of the present start; others change nothing.
 */
bool incarnations_update(struct incarnations *incarnations,
			 const struct incarnation_message *word);

/**
 * incarnations_confirm() - the upstream itself has told its id
 *
 * Return: whether that was not the present start; it is now.
 */
bool incarnations_confirm(struct incarnations *incarnations, const char *id);

#endif
