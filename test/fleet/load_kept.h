#ifndef FLEET_LOAD_KEPT_H
#define FLEET_LOAD_KEPT_H

#include "fleet/load.h"

/**
 * DOC: load, kept connections
 *
 * Callers that send one request after another on a connection and go on until
 * the server closes it; then they open the next at once. Private to the load.
 *
 * They use sockets of their own and not the library's client: when such a
 * connection ends without an answer, the kernel is asked whether the server's
 * process had read the request.
 */

/** load_keepalive_begin() - open the connections; the load is ready. */
bool load_keepalive_begin(struct load *load);

/** load_keepalive_finish() - close them. */
void load_keepalive_finish(struct load *load);

/** load_record_new() - one more record; earlier pointers become invalid. */
struct load_record *load_record_new(struct load *load);

/** load_record_answer() - take what a whole answer tells over into its record. */
void load_record_answer(struct load *load, uint32_t index,
			const struct http_answer *answer);

#endif
