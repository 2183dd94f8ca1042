#ifndef OPERATOR_DRILL_H
#define OPERATOR_DRILL_H

#include "operator/operator_defs.h"

/**
 * DOC: drill
 *
 * Simulated partitions: an operator lists networks, and this node behaves as
 * if they were unreachable until the list is replaced. The list is only in
 * memory, so a restart of the process ends the drill.
 */

/** drill_handle() - returns or replaces the list of blocked networks. */
void drill_handle(struct operator_server *server,
		  struct http_exchange *exchange);

/** drill_check() - warns during a drill; an operator_check_fn. */
void drill_check(struct health_finding *finding, void *data);

#endif
