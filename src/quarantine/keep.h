#ifndef QUARANTINE_KEEP_H
#define QUARANTINE_KEEP_H

#include "quarantine/net.h"
#include "quarantine/record.h"
#include "store/store.h"

/**
 * DOC: quarantine keep
 *
 * Keeps the findings about blocked requests in the platform's service. Nodes
 * hold findings in memory only: if all of them end at once, requests that were
 * blocked crash as many upstreams again, and parts of a deployment that cannot
 * reach each other find them each on its own.
 *
 * The nodes that read the configuration do it: they watch the record and write
 * what it lacks, by compare-and-swap. While the service is away, nothing waits
 * for it.
 */

/** struct quarantine_keep_options - all pointers are borrowed */
struct quarantine_keep_options {
	struct loop *loop;
	struct store *store;
	struct quarantine_net *net;
	uint64_t seed;
};

/**
 * struct quarantine_keep - see DOC
 * @active: this node watches and writes the record
 * @watch: watch of the record in flight, or NULL
 * @write: read before a write, or the write itself, in flight, or NULL
 * @revision: revision after which the next watch starts; 0: read the record
 * @next_watch_us: time before which no watch is started
 * @next_write_us: time before which no write is started
 * @record: record as it was last read or written
 * @written: record of the write in flight
 * @check: deferred check of what is due
 * @timer: runs until the next call is due
 */
struct quarantine_keep {
	struct quarantine_keep_options options;
	bool active;
	struct store_call *watch;
	struct store_call *write;
	uint64_t revision;
	int64_t next_watch_us;
	int64_t next_write_us;
	struct quarantine_record record;
	struct quarantine_record written;
	struct random random;
	struct deferred check;
	struct timer timer;
};

void quarantine_keep_init(struct quarantine_keep *keep,
			  const struct quarantine_keep_options *options);

/** quarantine_keep_finish() - call this before net and store finish. */
void quarantine_keep_finish(struct quarantine_keep *keep);

/** quarantine_keep_set_active() - this node is a reader of the service or not */
void quarantine_keep_set_active(struct quarantine_keep *keep, bool active);

#endif
