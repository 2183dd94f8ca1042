#ifndef WIRE_FILTER_H
#define WIRE_FILTER_H

#include <stdbool.h>
#include <stdint.h>

#include "base/address.h"
#include "base/error.h"

/**
 * DOC: filter
 *
 * Simulates a network partition, for drills of operators and for tests. Nothing
 * is sent to peers in the blocked networks and nothing is read from them, but
 * no connection is closed. When the block is removed, connections continue
 * where they stopped, as after a real partition.
 */

enum { FILTER_NETWORKS_MAX = 32 };

/**
 * struct filter_network - a range of IP addresses
 * @address: IP address in the network; the port is ignored
 * @bits: length of the network prefix in bits
 */
struct filter_network {
	struct address address;
	uint32_t bits;
};

/**
 * struct wire_filter - the blocked networks
 * @networks: the first @count entries are in use
 * @count: number of blocked networks
 * @open_only: block the connections that exist now, permanently, and no others;
 *	simulates a middlebox that has lost the state of these connections
 */
struct wire_filter {
	struct filter_network networks[FILTER_NETWORKS_MAX];
	uint32_t count;
	bool open_only;
};

/**
 * wire_filter_add() - block one more network
 * @text: a network such as "10.2.0.0/16" or an address such as "10.2.0.7"
 * @err: ERROR_INVALID if @text is no network, ERROR_LIMIT if there are already
 *	FILTER_NETWORKS_MAX networks
 */
bool wire_filter_add(struct wire_filter *filter, const char *text,
		     struct error *err);

/**
 * wire_filter_blocks() - returns true if @address is in a blocked network; the
 *	port is ignored
 */
bool wire_filter_blocks(const struct wire_filter *filter,
			const struct address *address);

#endif
