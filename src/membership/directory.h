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
 * A few addresses of each data centre, kept as one value in the platform's
 * service, by which nodes that know nobody find the others. It may name nodes
 * that are gone, at addresses that others have taken since; whoever knocks
 * there is told apart by the handshake. Decision core: no I/O.
 *
 * One line for each address: "DATA_CENTRE IP:PORT".
 */

enum {
	/* Three that fail at the same moment are rare; then nodes that start
	 * write themselves down. */
	DIRECTORY_PER_CENTRE = 3,
	DIRECTORY_ENTRIES_MAX = 192,
	DIRECTORY_TEXT_SIZE = 16 * 1024,
};

struct directory_entry {
	char data_centre[NAME_SIZE];
	struct address address;
};

struct directory {
	struct directory_entry entries[DIRECTORY_ENTRIES_MAX];
	uint32_t count;
};

/**
 * struct directory_picks - the addresses that a data centre should list
 * @fitness: of the node there, as in struct record
 * @listed: it is listed already
 */
struct directory_picks {
	struct {
		struct address address;
		uint8_t fitness;
		bool listed;
	} best[DIRECTORY_PER_CENTRE];
	uint32_t count;
};

/** directory_parse() - read the text; lines that are none are left out. */
void directory_parse(struct directory *directory, const char *text,
		     size_t size);

/** directory_format() - write the text; returns its size. */
size_t directory_format(const struct directory *directory,
			char text[DIRECTORY_TEXT_SIZE]);

/** directory_count() - addresses of a data centre. */
uint32_t directory_count(const struct directory *directory,
			 const char *data_centre);

/** directory_has() - whether an address is listed in a data centre. */
bool directory_has(const struct directory *directory, const char *data_centre,
		   const struct address *address);

/** directory_remove() - take an address out of a data centre. */
void directory_remove(struct directory *directory, const char *data_centre,
		      const struct address *address);

/**
 * directory_consider() - weigh a live node of a data centre for the list
 *
 * The fittest are picked, since nodes that start get much from those listed:
 * in a data centre whose links differ 20-fold the first ones found took half
 * a second longer to give a version to all (trace of a start). Of equals those
 * that are listed stay.
 */
void directory_consider(const struct directory *directory,
			const char *data_centre, const struct address *address,
			uint8_t fitness, struct directory_picks *picks);

/**
 * directory_replace() - list the picks and nobody else in a data centre
 *
 * Return: whether that changes the list.
 */
bool directory_replace(struct directory *directory, const char *data_centre,
		       const struct directory_picks *picks);

/**
 * directory_add() - list an address first in its data centre
 *
 * Where the data centre has as many as it may, its last one goes.
 *
 * Return: false if it is listed already or there is no room at all.
 */
bool directory_add(struct directory *directory, const char *data_centre,
		   const struct address *address);

#endif
