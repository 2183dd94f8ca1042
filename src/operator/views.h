#ifndef OPERATOR_VIEWS_H
#define OPERATOR_VIEWS_H

#include "operator/operator_defs.h"

/**
 * DOC: views
 *
 * What the operators' interface shows and does not change. Each function
 * answers one exchange.
 */

void view_status(struct operator_server *server,
		 struct http_exchange *exchange);

void view_health(struct operator_server *server,
		 struct http_exchange *exchange);

/** view_dump() - all sections, or the one that is named. */
void view_dump(struct operator_server *server, struct http_exchange *exchange,
	       const char *section);

void view_counters(struct http_exchange *exchange);

/** view_metrics() - the counters as text for collectors. */
void view_metrics(struct http_exchange *exchange);

#endif
