#ifndef OPERATOR_VIEWS_H
#define OPERATOR_VIEWS_H

#include "operator/operator_defs.h"

/**
 * DOC: views
 *
 * Read-only views of the operators' interface. Each function replies to one
 * exchange.
 */

void view_status(struct operator_server *server,
		 struct http_exchange *exchange);

void view_health(struct operator_server *server,
		 struct http_exchange *exchange);

/** view_dump() - replies with the section @section, or with all if empty. */
void view_dump(struct operator_server *server, struct http_exchange *exchange,
	       const char *section);

void view_counters(struct http_exchange *exchange);

/** view_metrics() - replies with all metrics in the format of Prometheus. */
void view_metrics(struct http_exchange *exchange);

#endif
