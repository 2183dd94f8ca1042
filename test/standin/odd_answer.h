#ifndef STANDIN_ODD_ANSWER_H
#define STANDIN_ODD_ANSWER_H

#include <stdio.h>

#include "event/loop.h"
#include "http/server.h"

/**
 * DOC: odd answer
 *
 * Answers of a faulty upstream, by name: bytes that are no answer or that never
 * end, and answers that few upstreams send.
 */

/**
 * struct odd_kind - one kind of answer
 * @name: name on the command line and in requests for faults
 * @text: description for the help text
 * @status: text of the status line; NULL for no head
 * @head: further lines of the head
 * @body: bytes after the head; NULL if the head does not end
 * @again: bytes sent repeatedly until the connection is closed; NULL if the
 *	answer ends
 * @fields: number of further fields
 * @field_bytes: size of the value of each
 * @trailers: number of trailer fields after @body
 * @ends: closes the connection behind the answer
 * @is_marked: adds the ID of the request and the mark of an upstream
 */
struct odd_kind {
	const char *name;
	const char *text;
	const char *status;
	const char *head;
	const char *body;
	const char *again;
	uint32_t fields;
	uint32_t field_bytes;
	uint32_t trailers;
	bool ends;
	bool is_marked;
};

/** odd_kind_find() - returns the kind of this name, or NULL. */
const struct odd_kind *odd_kind_find(const char *name);

/** odd_kind_list() - prints name and description of each kind. */
void odd_kind_list(FILE *file);

/**
 * odd_answer_send() - answers an exchange
 * @id: ID of the request
 *
 * The exchange belongs to the odd answer from then on.
 */
void odd_answer_send(struct http_exchange *exchange, struct loop *loop,
		     const struct odd_kind *kind, const char *id);

#endif
