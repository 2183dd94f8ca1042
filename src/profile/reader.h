#ifndef PROFILE_READER_H
#define PROFILE_READER_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/interface.h"
#include "event/loop.h"
#include "store/store.h"
#include "profile/keeper.h"
#include "profile/orders.h"
#include "profile/reader_core.h"

/**
 * DOC: reader
 *
 * Drives reader_core.h over the store: takes a reader lease of the node's
 * data centre when it is this node's turn, watches the head, fetches missing
 * bodies into the keeper, and writes down a bounded list of members, from
 * which a node that starts without peers can find some.
 */

enum {
	READER_BODIES_MAX = 8, /* fetched at once */
	READER_MEMBERS_SIZE = 4096,
	READER_DATA_CENTRE_SIZE = 64,
};

/**
 * typedef reader_members_fn - addresses of live members, for the record
 * @text: up to @size bytes; the same members must give the same text
 *
 * Return: bytes written; 0 writes nothing.
 */
typedef size_t reader_members_fn(char *text, size_t size, void *data);

/**
 * typedef reader_found_fn - the members record was read
 * @text: NULL if there is none or the service did not answer
 */
typedef void reader_found_fn(const char *text, size_t size, void *data);

/**
 * struct reader_options - settings
 * @form: what the head is written in
 * @election: how readers are chosen
 * @holder: of leases, unique for each start of a process
 * @members: may be NULL
 * @orders: may be NULL: orders are not read then; told before the version that
 *	was in force when they were read, so that whoever has a version has them
 */
struct reader_options {
	enum interface_form form;
	enum reader_election election;
	const char *data_centre;
	const char *holder;
	struct lease_options lease;
	uint64_t seed;
	reader_members_fn *members;
	orders_changed_fn *orders;
	void *data;
};

struct reader;

/* One body on its way. */
struct reader_body {
	struct reader *reader;
	struct store_call *call;
	uint8_t hash[CONTENT_HASH_BYTES];
};

/**
 * struct reader - one node's reader
 * @older_head_count: heads older than what is in force
 * @bad_bodies: bodies that did not have the content of their hash
 */
struct reader {
	enum interface_form form;
	struct loop *loop;
	struct store *store;
	struct keeper *keeper;
	struct reader_core core;
	char data_centre[READER_DATA_CENTRE_SIZE];
	char holder[STORE_HOLDER_SIZE];
	reader_members_fn *members;
	struct orders orders;
	void *data;
	struct timer timer;
	struct store_call *lease_call;
	struct store_call *head_call;
	struct store_call *probe_call;
	struct store_call *members_call;
	struct store_call *find_call;
	struct reader_body bodies[READER_BODIES_MAX];
	struct backoff body_backoff;
	int64_t next_body_us;
	reader_found_fn *on_found;
	void *on_found_data;
	uint64_t heads;
	uint64_t older_head_count;
	uint64_t bad_bodies;
	uint64_t members_written;
};

void reader_init(struct reader *reader, struct loop *loop, struct store *store,
		 struct keeper *keeper, const struct reader_options *options);

/** reader_finish() - drop all calls; a lease that is held lapses. */
void reader_finish(struct reader *reader);

/**
 * reader_set_rank() - the node's place among the members of its data centre
 *
 * Call it first once members are known, and with each change: the few first
 * ranks are candidates, all others never call the service.
 */
void reader_set_rank(struct reader *reader, uint32_t rank);

/** reader_activate() - see reader_core_activate(). */
void reader_activate(struct reader *reader);

/** reader_set_nodes() - see reader_core_set_nodes(). */
void reader_set_nodes(struct reader *reader, uint32_t nodes);

/** reader_set_source_read() - see reader_core_set_source_read(). */
void reader_set_source_read(struct reader *reader, int64_t at_us);

/** reader_contact_us() - see reader_core_contact_us(). */
int64_t reader_contact_us(const struct reader *reader);

/** reader_withdraw() - a graceful stop: give the lease back. */
void reader_withdraw(struct reader *reader);

/** reader_is_idle() - whether no lease and no call for one is left. */
bool reader_is_idle(const struct reader *reader);

/** reader_holds() - whether this node is a reader at this moment. */
bool reader_holds(const struct reader *reader);

/**
 * reader_find_members() - read the members record of this data centre once
 *
 * For a node that starts without peers. One read with a few tries; the
 * caller asks again, ever more rarely, while it is alone.
 */
void reader_find_members(struct reader *reader, reader_found_fn *on_found,
			 void *data);

/** reader_dump() - its state for people, to be freed by json_decref(). */
json_t *reader_dump(const struct reader *reader);

#endif
