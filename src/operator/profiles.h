#ifndef OPERATOR_PROFILES_H
#define OPERATOR_PROFILES_H

#include "operator/operator_defs.h"
#include "operator/target.h"

/**
 * DOC: profiles
 *
 * The commands on profiles over HTTP. Each exchange becomes one command of
 * the editor; its end becomes the answer. A caller that hangs up does not
 * stop the command: half a change would be worse than an unseen one.
 */

/** profiles_handle() - answer an exchange on profiles, now or later. */
void profiles_handle(struct operator_server *server,
		     struct http_exchange *exchange,
		     const struct target *target);

/** profiles_finish() - forget all commands in progress. */
void profiles_finish(struct operator_server *server);

#endif
