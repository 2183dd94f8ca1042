#ifndef OPERATOR_PROFILES_H
#define OPERATOR_PROFILES_H

#include "operator/operator_defs.h"
#include "operator/target.h"

/**
 * DOC: profiles
 *
 * The commands on profiles over HTTP. Each exchange runs one command of the
 * editor, and the result becomes the answer. The command goes on if the
 * client disconnects: an interrupted command could leave a partial change.
 */

/**
 * profiles_handle() - handles an exchange on profiles
 *
 * The answer may be sent after the function has returned.
 */
void profiles_handle(struct operator_server *server,
		     struct http_exchange *exchange,
		     const struct target *target);

/** profiles_finish() - detaches from all commands in progress. */
void profiles_finish(struct operator_server *server);

#endif
