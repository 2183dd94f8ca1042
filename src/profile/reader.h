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
#include "profile/translation.h"

/**
 * DOC: reader
 *
 * Drives reader_core.h over the store: acquires a reader lease of the node's
 * data centre when the node is elected, watches the head, and fetches missing
 * bodies into the keeper. The reader also writes a record with a bounded list
 * of members, from which a node that starts without peers finds some.
 */

enum {
	READER_BODIES_MAX = 8, /* fetches in flight */
	READER_MEMBERS_SIZE = 4096,
	READER_DATA_CENTRE_SIZE = 64,
};

/**
 * typedef reader_members_fn - writes addresses of live members for the record
 * @text: receives at most @size bytes; equal members must give equal text
 *
 * Return: number of bytes written; 0: the record is not written.
 */
typedef size_t reader_members_fn(char *text, size_t size, void *data);

/**
 * typedef reader_found_fn - callback for the members record
 * @text: the record; NULL if there is none or the read failed
 * @size: size of @text in bytes, 0 without a record
 */
typedef void reader_found_fn(const char *text, size_t size, void *data);

/**
 * struct reader_options - settings
 * @form: format in which the service holds the head
 * @election: how readers are elected
 * @data_centre: name of the data centre of this node
 * @holder: holder of leases, unique for each incarnation of a process
 * @lease: options of the reader lease
 * @seed: seed of the random jitter
 * @members: may be NULL: the members record is not written then
 * @listed: receives the members record before it is written, so that readers
 *	whose nodes do not know each other find each other; may be NULL
 * @orders: may be NULL: orders are not read then. Called before the keeper is
 *	offered the head that was read after the orders, so that a node with a
 *	version has the orders for the version
 * @elected: called when this node becomes a reader or ceases to be one; may be
 *	NULL
 * @data: passed to the callbacks
 */
struct reader_options {
	enum interface_form form;
	enum reader_election election;
	const char *data_centre;
	const char *holder;
	struct lease_options lease;
	uint64_t seed;
	reader_members_fn *members;
	reader_found_fn *listed;
	orders_changed_fn *orders;
	void (*elected)(bool is_reader, void *data);
	void *data;
};

struct reader;

/* A body that is being fetched; @call is NULL if there is none. */
struct reader_body {
	struct reader *reader;
	struct store_call *call;
	uint8_t hash[CONTENT_HASH_BYTES];
};

/**
 * struct reader - reader of one node
 * @form: format in which the service holds the head
 * @translation: takes over documents; used with INTERFACE_PLATFORM only
 * @translated_result: result of the watch that returned the document, without
 *	its value and items
 * @body_backoff: delay between failed fetches of bodies
 * @next_body_us: time from which bodies may be fetched again
 * @on_found: called with @on_found_data when @find_call has ended
 * @heads: number of heads that were read
 * @older_head_count: number of heads that were older than the version in force
 * @bad_bodies: number of bodies whose content did not match their hash
 * @elected: see struct reader_options
 * @was_reader: this node was a reader when @elected was called last
 * @members_written: number of writes of the members record
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
	reader_found_fn *listed;
	struct orders orders;
	void *data;
	struct timer timer;
	struct store_call *lease_call;
	struct store_call *head_call;
	struct store_call *probe_call;
	struct store_call *members_call;
	struct store_call *find_call;
	struct translation translation;
	struct store_result translated_result;
	struct reader_body bodies[READER_BODIES_MAX];
	struct backoff body_backoff;
	int64_t next_body_us;
	reader_found_fn *on_found;
	void *on_found_data;
	uint64_t heads;
	uint64_t older_head_count;
	uint64_t bad_bodies;
	uint64_t members_written;
	void (*elected)(bool is_reader, void *data);
	bool was_reader;
};

void reader_init(struct reader *reader, struct loop *loop, struct store *store,
		 struct keeper *keeper, const struct reader_options *options);

/** reader_finish() - cancels all calls; a lease that is held expires. */
void reader_finish(struct reader *reader);

/**
 * reader_set_rank() - sets the rank among the members of the data centre
 *
 * To be called once members are known, and with each change. With leases, only
 * the first READER_CANDIDATES ranks call the service. By rank, the first
 * READER_WATCHERS ranks do, and a higher rank does when no node of the data
 * centre has read the service for some time.
 */
void reader_set_rank(struct reader *reader, uint32_t rank);

/** reader_activate() - see reader_core_activate(). */
void reader_activate(struct reader *reader);

/** reader_set_nodes() - see reader_core_set_nodes(). */
void reader_set_nodes(struct reader *reader, uint32_t nodes, bool many_lost);

/** reader_set_source_read() - see reader_core_set_source_read(). */
void reader_set_source_read(struct reader *reader, int64_t at_us);

/** reader_contact_us() - see reader_core_contact_us(). */
int64_t reader_contact_us(const struct reader *reader);

/**
 * reader_withdraw() - stops reading for a graceful shutdown
 *
 * A lease that is held is released; see reader_is_idle().
 */
void reader_withdraw(struct reader *reader);

/** reader_is_idle() - returns true if no lease and no lease call is left. */
bool reader_is_idle(const struct reader *reader);

/** reader_holds() - returns true if the node is a reader now. */
bool reader_holds(const struct reader *reader);

/**
 * reader_find_members() - reads the members record of the data centre once
 *
 * For a node that has no peers, or that looks for nodes that its own do not
 * know. The store retries the read until its deadline; the caller repeats the
 * search with growing delays while the node has no peers. If a read is in
 * flight, only the callback is replaced.
 */
void reader_find_members(struct reader *reader, reader_found_fn *on_found,
			 void *data);

/** reader_dump() - returns the state, to be freed by json_decref(). */
json_t *reader_dump(const struct reader *reader);

#endif
