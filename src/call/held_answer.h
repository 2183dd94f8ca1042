#ifndef CALL_HELD_ANSWER_H
#define CALL_HELD_ANSWER_H

#include <stdint.h>

struct call;

/**
 * DOC: held answer
 *
 * Answers leave a connection in the order of its requests, so an answer that is
 * ready may wait for the answer to an earlier request. This module logs and
 * counts how long it waited, for which request, and whether the wait made it
 * late or its caller hung up first. With the setting end_heads it ends the
 * requests before such an answer where head_of_line.h decides so.
 */

/**
 * held_answer_watch() - watch the answer of a call if it has to wait
 * @status: HTTP status of the upstream's answer; 0 without an answer
 *
 * Called just before the reply. Does nothing for an answer whose turn has come.
 */
void held_answer_watch(const struct call *call, uint32_t status);

#endif
