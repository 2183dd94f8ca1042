#ifndef STANDIN_EXTRA_ANSWER_H
#define STANDIN_EXTRA_ANSWER_H

#include "http/server.h"

/**
 * DOC: extra answer
 *
 * Complete answers that a faulty upstream sends a second time, at the point
 * where the next answer on their connection is expected.
 */

struct extra_answer;

/**
 * struct extra_answers - answers to be sent again
 * @list: one for each connection that is due one
 */
struct extra_answers {
	struct extra_answer *list;
};

/** extra_answers_send_due() - sends the copy that is due on a connection. */
void extra_answers_send_due(struct extra_answers *extra,
			    struct http_exchange *exchange);

/**
 * extra_answers_keep() - keeps a copy of the answer sent last
 * @conn: connection of the answer
 * @size: size of the answer in bytes
 * @named: whether the copy repeats the ID of the request as the answer does
 */
void extra_answers_keep(struct extra_answers *extra, struct http_conn *conn,
			size_t size, bool named);

void extra_answers_finish(struct extra_answers *extra);

#endif
