#ifndef HTTP_CONN_LOG_H
#define HTTP_CONN_LOG_H

#include "http/conn.h"

/**
 * DOC: conn_log
 *
 * Log lines about requests of callers whose whole answer does not leave this
 * process. Lines about calls do not show that: a call has ended once its answer
 * is known. Private to the server.
 */

/** enum conn_end - why a connection of a caller ends. */
enum conn_end {
	CONN_END_HUNG_UP,      /* the caller closed it */
	CONN_END_RESET,	       /* the caller or the network reset it */
	CONN_END_WRITE_FAILED, /* an answer could not be written */
	CONN_END_IDLE,	       /* a time limit of this process passed */
	CONN_END_STOPPED,      /* this process ends */
};

/**
 * conn_log_end() - log the requests of @conn without a whole answer
 *
 * The unread bytes in the line tell whether closing the connection resets it,
 * in which case the caller may lose undelivered bytes.
 */
void conn_log_end(const struct http_conn *conn, enum conn_end end);

#endif
