#ifndef OPERATOR_DRILL_H
#define OPERATOR_DRILL_H

#include "operator/operator_defs.h"

/**
 * DOC: drill
 *
 * Rehearsed partitions: an operator names networks, and this node behaves as
 * if they were cut off, until it is given another list. It is kept in this
 * process only, so a restart ends it.
 */

/** drill_handle() - show or replace the list of networks cut off. */
void drill_handle(struct operator_server *server,
		  struct http_exchange *exchange);

/** drill_check() - warns while a drill goes on; an operator_check_fn. */
void drill_check(struct health_finding *finding, void *data);

#endif
