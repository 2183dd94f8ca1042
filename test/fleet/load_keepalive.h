#ifndef FLEET_LOAD_KEEPALIVE_H
#define FLEET_LOAD_KEEPALIVE_H

#include "fleet/load.h"

/**
 * DOC: load, keep-alive connections
 *
 * Callers that send one request after another on a connection until the server
 * closes it. They open a new connection when the next request is due. Only for
 * use by load.c.
 *
 * The callers use their own sockets instead of the HTTP client: if a connection
 * ends without an answer, the state of the socket shows whether the server's
 * process has read the request.
 */

/**
 * load_keepalive_begin() - create the callers; their requests follow
 *
 * The loop, the options and the client of @load are initialized before.
 *
 * Return: false if a target is no valid address.
 */
bool load_keepalive_begin(struct load *load);

/** load_keepalive_finish() - close the connections and free the callers. */
void load_keepalive_finish(struct load *load);

/**
 * load_record_new() - append a record
 *
 * Return: the record, all zero; owned by @load. Pointers to other records
 * become invalid.
 */
struct load_record *load_record_new(struct load *load);

/** load_record_answer() - store the outcome of an answer in record @index. */
void load_record_answer(struct load *load, uint32_t index,
			const struct http_answer *answer);

#endif
