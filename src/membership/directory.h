#ifndef MEMBERSHIP_DIRECTORY_H
#define MEMBERSHIP_DIRECTORY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/address.h"
#include "wire/identity.h"

/**
 * DOC: directory
 *
 * A few addresses of each data centre, stored as one value in the platform's
 * service, so that nodes without peers find the other nodes. The directory may
 * list the address of a node that is gone, which another process may use by
 * now; the handshake rejects a process that is not a node. No I/O is done here.
 *
 * One line for each address: "DATA_CENTRE IP:PORT". A line "nodes N" holds the
 * number of nodes of the deployment.
 */

enum {
	/* Failures of three nodes at the same moment are rare. In that case,
	 * nodes that start add their own address. */
	DIRECTORY_PER_CENTRE = 3,
	DIRECTORY_ENTRIES_MAX = 192,
	DIRECTORY_TEXT_SIZE = 16 * 1024,
	DIRECTORY_NODES_MAX = 1000 * 1000,
};

struct directory_entry {
	char data_centre[NAME_SIZE];
	struct address address;
};

/**
 * struct directory - see DOC
 * @nodes: number of nodes; 0 if it was not recorded
 */
struct directory {
	struct directory_entry entries[DIRECTORY_ENTRIES_MAX];
	uint32_t count;
	uint32_t nodes;
};

/**
 * struct directory_picks - the addresses that a data centre should list
 * @best: the chosen addresses, the fittest node first
 * @best.address: address of a node
 * @best.fitness: fitness of the node, as in struct record
 * @best.listed: whether the address is in the directory already
 * @count: number of entries in @best
 */
struct directory_picks {
	struct {
		struct address address;
		uint8_t fitness;
		bool listed;
	} best[DIRECTORY_PER_CENTRE];
	uint32_t count;
};

/** directory_parse() - Parses the text; malformed lines are skipped. */
void directory_parse(struct directory *directory, const char *text,
		     size_t size);

/**
 * directory_format() - Formats the directory as text
 *
 * Formatting stops at the first entry that does not fit into @text.
 *
 * Return: number of bytes of all complete lines.
 */
size_t directory_format(const struct directory *directory,
			char text[DIRECTORY_TEXT_SIZE]);

/** directory_count() - Returns the number of addresses of a data centre. */
uint32_t directory_count(const struct directory *directory,
			 const char *data_centre);

/** directory_has() - Returns true if a data centre lists an address. */
bool directory_has(const struct directory *directory, const char *data_centre,
		   const struct address *address);

/** directory_remove() - Removes an address from a data centre, if listed. */
void directory_remove(struct directory *directory, const char *data_centre,
		      const struct address *address);

/**
 * directory_consider() - Adds a live node to the picks if it is fit enough
 *
 * The fittest nodes are picked, since nodes that start load much data from the
 * listed nodes: a listed node with a slow link delays the first version of all
 * of them, by half a second where links differed 20-fold. Of nodes with equal
 * fitness those already listed are preferred.
 */
void directory_consider(const struct directory *directory,
			const char *data_centre, const struct address *address,
			uint8_t fitness, struct directory_picks *picks);

/**
 * directory_replace() - Replaces the entries of a data centre by the picks
 *
 * Return: true if the entries change.
 */
bool directory_replace(struct directory *directory, const char *data_centre,
		       const struct directory_picks *picks);

/**
 * directory_add() - Adds an address as the first entry of the directory
 *
 * If the data centre has DIRECTORY_PER_CENTRE entries, its last entry is
 * removed. If the directory is full, its last entry is removed.
 *
 * Return: false if the address is listed already.
 */
bool directory_add(struct directory *directory, const char *data_centre,
		   const struct address *address);

#endif
