#ifndef HTTP_ANSWER_OWNER_H
#define HTTP_ANSWER_OWNER_H

#include "http/client_conn.h"

/**
 * DOC: answer owner
 *
 * Which request an answer on a connection belongs to. A faulty server may send
 * an answer twice, at the point where the answer to a later request is
 * expected; only the ID that an answer repeats tells them apart.
 */

/** enum answer_owner - request that an answer belongs to. */
enum answer_owner {
	ANSWER_OF_THIS,	   /* the request in progress */
	ANSWER_OF_EARLIER, /* an earlier request on the connection */
	ANSWER_OF_UNKNOWN, /* any request that the connection has carried */
};

/** answer_owner_of() - decides by the head of an answer. */
enum answer_owner answer_owner_of(const struct http_transfer *transfer);

/** answer_names_request() - checks whether the answer repeats the ID. */
bool answer_names_request(const struct http_transfer *transfer);

#endif
