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
 * of its whole state, and the profiles. What other slices know comes in
 * through a registry, so that this slice depends on none of them for it.
 *
 * Reading needs no token; changing needs the token if one is set, and a
 * content type that no page of a browser can send to another site by itself.
 */

/**
 * struct operator_options - where to listen and for whom
 * @address: port 0 takes one from the kernel
 * @editor: runs the commands on profiles; NULL if there is no platform. It
 *	must outlive the server
 * @token: asked for with changes; NULL or empty for none; copied
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

/** operator_server_address() - where it listens, the real port included. */
const struct address *
operator_server_address(const struct operator_server *server);

/** operator_add_section() - a section of the dump, under its name. */
void operator_add_section(struct operator_server *server, const char *name,
			  operator_section_fn *dump, void *data);

/** operator_add_check() - something that "health" looks at. */
void operator_add_check(struct operator_server *server, const char *name,
			operator_check_fn *check, void *data);

/** operator_set_status() - who fills in the status. */
void operator_set_status(struct operator_server *server,
			 operator_status_fn *status, void *data);

/**
 * operator_set_drill() - who cuts networks off in a drill
 *
 * Without it there are no drills. While one goes on, health warns.
 */
void operator_set_drill(struct operator_server *server,
			operator_drill_fn *drill, void *data);

#endif
