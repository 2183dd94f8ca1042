#ifndef OPERATOR_SERVER_H
#define OPERATOR_SERVER_H

#include <stdbool.h>
#include <stdint.h>

#include "base/address.h"
#include "base/error.h"
#include "event/loop.h"
#include "operator/operator_defs.h"

/**
 * DOC: operator server
 *
 * The operators' HTTP interface of a node: status, health, counters, a dump
 * of the whole state, and the profiles. Other components register callbacks
 * for their data, so this component does not depend on them.
 *
 * Reads need no token. Changes need the token if one is set. A POST also needs
 * the content type application/json, which a browser does not send to another
 * site without a preflight request.
 */

/**
 * struct operator_options - configuration of the server
 * @address: address to listen on; with port 0 the kernel selects the port
 * @editor: runs the commands on profiles; NULL if there is no platform. The
 *	editor must outlive the server
 * @token: token required for changes; NULL or empty for none; copied
 * @instance: name of this node; copied
 */
struct operator_options {
	struct address address;
	struct editor *editor;
	const char *token;
	const char *instance;
};

bool operator_server_init(struct operator_server *server, struct loop *loop,
			  const struct operator_options *options,
			  struct error *err);

void operator_server_finish(struct operator_server *server);

/** operator_server_address() - listening address with the actual port. */
const struct address *
operator_server_address(const struct operator_server *server);

/** operator_add_section() - adds a section to the dump; copies @name. */
void operator_add_section(struct operator_server *server, const char *name,
			  operator_section_fn *dump, void *data);

/** operator_add_check() - adds a check to the health view; copies @name. */
void operator_add_check(struct operator_server *server, const char *name,
			operator_check_fn *check, void *data);

/** operator_set_status() - sets the callback that fills in the status. */
void operator_set_status(struct operator_server *server,
			 operator_status_fn *status, void *data);

/**
 * operator_set_drill() - sets the callback that blocks networks in a drill
 *
 * Without a callback the node supports no drills. Adds a health check that
 * warns during a drill.
 */
void operator_set_drill(struct operator_server *server,
			operator_drill_fn *drill, void *data);

#endif
