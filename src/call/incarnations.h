#ifndef CALL_INCARNATIONS_H
#define CALL_INCARNATIONS_H

#include <stdbool.h>
#include <stdint.h>

#include "call/call_defs.h"

/**
 * DOC: incarnations
 *
 * Determines the present incarnation of the upstream beside a node. An
 * incarnation has an ID and, if the upstream reports it, a start time. A
 * restarted upstream may keep its ID and then numbers its messages from one
 * again. A message of an earlier incarnation may arrive after the next
 * incarnation has started at the same address. If such a message were applied,
 * it would reopen the gate of an upstream that has gone, and requests would be
 * sent to a process that refuses them. This module uses no sockets and no
 * clock.
 */

enum {
	INCARNATIONS_KEPT = 8,
	/* Number of consecutive new messages of an earlier incarnation, without
	 * a message of the present one between them, after which the earlier
	 * incarnation becomes the present one: the message that replaced it
	 * had arrived late. */
	INCARNATIONS_REVIVE_MESSAGES = 2,
};

/**
 * struct incarnation - one incarnation of the upstream
 * @start_time_ms: start time by the upstream's clock, in milliseconds since
 *	1970; 0 if it is not known
 * @sequence: highest sequence of its messages
 * @left: true if it has reported that it leaves; later messages do not undo
 *	that
 * @consecutive_messages: number of consecutive new messages received while
 *	another incarnation is the present one
 */
struct incarnation {
	char id[UPSTREAM_ID_SIZE];
	int64_t start_time_ms;
	uint64_t sequence;
	bool left;
	uint32_t consecutive_messages;
};

/**
 * struct incarnations - present and earlier incarnations of the upstream
 * @has_present: true if there is a present incarnation
 * @change_count: number of times that an incarnation became the present one
 * @earlier: earlier incarnations, oldest first
 */
struct incarnations {
	struct incarnation present;
	bool has_present;
	uint32_t change_count;
	struct incarnation earlier[INCARNATIONS_KEPT];
	uint32_t earlier_count;
};

/**
 * struct incarnation_message - message of the upstream about its incarnation
 * @start_time_ms: start time by the upstream's clock, in milliseconds since
 *	1970; 0 if the message has none
 * @sequence: number of the message within its incarnation; 0 if it has none
 * @leaving: true if the upstream reports that it leaves or has gone
 */
struct incarnation_message {
	const char *id;
	int64_t start_time_ms;
	uint64_t sequence;
	bool leaving;
};

/**
 * incarnations_update() - applies a message of the upstream
 *
 * Return: true if the message is new and of the present incarnation, which it
 * may have changed; false if the message is to be ignored.
 */
bool incarnations_update(struct incarnations *incarnations,
			 const struct incarnation_message *message);

/**
 * incarnations_confirm() - makes an incarnation the present one
 * @id: ID that the upstream itself sent in an answer
 *
 * Return: true if the incarnation was not the present one before.
 */
bool incarnations_confirm(struct incarnations *incarnations, const char *id);

#endif
