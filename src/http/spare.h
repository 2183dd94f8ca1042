#ifndef HTTP_SPARE_H
#define HTTP_SPARE_H

#include "base/address.h"
#include "event/loop.h"

/**
 * DOC: spare connections
 *
 * Connections to one server that are made beforehand and carry nothing until
 * they are taken for one request. A request that may not be repeated must not
 * go on a connection that was used before; this spares it the time of making
 * one. They are short-lived, so that the server's own limit on idle
 * connections does not close them just as they are taken, and none is made
 * while none is taken.
 */

enum { SPARES_MAX = 2 };

/** struct spare - one connection, being made or ready. */
struct spare {
	int fd;
	struct watch watch;
	struct spares *spares;
	bool ready;
	int64_t opened_us;
};

struct spares {
	struct loop *loop;
	struct address server_address;
	struct spare items[SPARES_MAX];
	struct timer expiry;
	int64_t last_taken_us;
};

void spares_init(struct spares *spares, struct loop *loop);

/** spares_finish() - close them all. */
void spares_finish(struct spares *spares);

/**
 * spares_take() - a connection to @server_address that nothing was ever sent on
 *
 * Makes others for those to come.
 *
 * Return: a descriptor that the caller owns, or NET_NONE if none is ready.
 */
int spares_take(struct spares *spares, const struct address *server_address);

#endif
