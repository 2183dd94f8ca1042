#ifndef HTTP_SPARE_H
#define HTTP_SPARE_H

#include "base/address.h"
#include "event/loop.h"

/**
 * DOC: spare connections
 *
 * Connections to one server that are opened in advance and unused until a
 * request takes them. A request that is not idempotent must not reuse a
 * connection; a spare connection saves the time to connect. Spare connections
 * are short-lived, so that the idle timeout of the server does not close a
 * connection that is being taken. No connections are opened while no requests
 * take them.
 */

enum { SPARES_MAX = 2 };

/**
 * struct spare - one spare connection
 * @fd: socket, or NET_NONE if there is no connection
 * @ready: whether the connection is established
 * @opened_us: start of connecting, in microseconds of the loop time
 */
struct spare {
	int fd;
	struct watch watch;
	struct spares *spares;
	bool ready;
	int64_t opened_us;
};

/**
 * struct spares - spare connections to one server
 * @server_address: address that all connections lead to
 * @expiry: periodic check for connections that are too old
 * @last_taken_us: time of the last spares_take(), in microseconds of the loop
 */
struct spares {
	struct loop *loop;
	struct address server_address;
	struct spare items[SPARES_MAX];
	struct timer expiry;
	int64_t last_taken_us;
};

void spares_init(struct spares *spares, struct loop *loop);

/** spares_finish() - closes all spare connections. */
void spares_finish(struct spares *spares);

/**
 * spares_take() - takes an unused connection to @server_address
 *
 * Opens new spare connections for later requests. Closes all connections to
 * another address.
 *
 * Return: a socket that the caller owns, or NET_NONE if no connection is ready.
 */
int spares_take(struct spares *spares, const struct address *server_address);

#endif
