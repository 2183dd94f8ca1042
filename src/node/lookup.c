#include "node/lookup.h"

#include <string.h>

#include "base/counter.h"
#include "base/log.h"
#include "os/clock.h"

static const char component[] = "node";
static const char key_directory[] = "directory";
static const char rank_name[] = "directory";

enum {
	/* Maximum random delay of the first read. All nodes may start at the
	 * same moment; with the delay, later nodes find the entries of earlier
	 * nodes. */
	START_SPREAD_MS = 100,
	FIRST_START_SPREAD_MS = 1500,
	ISOLATED_BACKOFF_MIN_MS = 250,
	ISOLATED_BACKOFF_MAX_MS = 2000,
	/* A contact takes one round trip. A node that is still isolated after
	 * this many reads assumes that no listed node will answer. */
	ISOLATED_READS_MAX = 2,
	CONNECTED_READ_INTERVAL_MS = 10000,
	/* Interval while the recorded number of nodes is missing or wrong. */
	RECORD_READ_INTERVAL_MS = 1000,
	CONFLICT_RETRY_JITTER_MS = 60,
	CALL_DEADLINE_MS = 1500,
};

COUNTER(reads, "node.directory_reads", "Reads of the directory of addresses");
COUNTER(stale_reads, "node.directory_old_reads",
	"Reads of the directory that took a copy which may be old");
COUNTER(writes, "node.directory_writes", "Changes of it that took effect");

static void schedule_read(struct lookup *lookup, int64_t delay_ms)
{
	lookup->read_us = loop_now_us(lookup->loop) + delay_ms * US_PER_MS;
	if (!lookup->stopped)
		timer_set(lookup->loop, &lookup->timer, lookup->read_us);
}

static bool has_first_rank(const struct lookup *lookup)
{
	return gossip_rank(lookup->gossip, rank_name) == 0;
}

bool lookup_is_isolated(const struct lookup *lookup)
{
	const struct members *members = &lookup->gossip->members;
	const struct member *member = NULL;

	while ((member = members_next(members, member)))
		if (members_reachable(members, member) &&
		    member->record.state != UPSTREAM_GONE)
			return false;
	return true;
}

static int64_t connected_interval_ms(const struct lookup *lookup)
{
	return quota_net_record_is_old(lookup->quota)
		       ? RECORD_READ_INTERVAL_MS
		       : CONNECTED_READ_INTERVAL_MS;
}

static void schedule_next_read(struct lookup *lookup)
{
	if (!lookup_is_isolated(lookup)) {
		lookup->backoff_ms = ISOLATED_BACKOFF_MIN_MS;
		lookup->isolated_reads = 0;
		if (has_first_rank(lookup))
			schedule_read(lookup, connected_interval_ms(lookup));
		return;
	}
	schedule_read(lookup, lookup->backoff_ms / 2 +
				      random_jitter(&lookup->random,
						    lookup->backoff_ms));
	lookup->backoff_ms *= 2;
	if (lookup->backoff_ms > ISOLATED_BACKOFF_MAX_MS)
		lookup->backoff_ms = ISOLATED_BACKOFF_MAX_MS;
}

static void contact_listed(struct lookup *lookup)
{
	const struct address *own = &lookup->gossip->hub->self.address;
	bool listed = false;
	uint32_t i;

	for (i = 0; i < lookup->directory.count; i++) {
		const struct address *address =
			&lookup->directory.entries[i].address;

		if (address_equal(address, own))
			listed = true;
		else
			gossip_add_seed(lookup->gossip, address);
	}
	if (listed)
		lookup->listed(lookup->data);
}

/* Replaces the entries of the local data centre by its reachable nodes with the
 * highest fitness. Returns true if the directory has changed. */
static bool list_best_nodes(struct lookup *lookup)
{
	const struct members *members = &lookup->gossip->members;
	const char *home = lookup->gossip->hub->self.data_centre;
	const struct record *self = &members->self->record;
	struct directory *directory = &lookup->directory;
	const struct member *member = NULL;
	struct directory_picks picks = { .count = 0 };

	directory_consider(directory, home, &self->address, self->fitness,
			   &picks);
	while ((member = members_next(members, member)))
		if (!strcmp(member->record.data_centre, home) &&
		    members_reachable(members, member))
			directory_consider(directory, home,
					   &member->record.address,
					   member->record.fitness, &picks);
	return directory_replace(directory, home, &picks);
}

/* Returns true if the recorded number of nodes has changed. */
static bool record_nodes(struct lookup *lookup, uint32_t nodes)
{
	if (!nodes)
		return false;
	lookup->directory.nodes = nodes;
	return true;
}

/* Returns true if the directory has changed and must be written. @nodes: number
 * of nodes to record, or 0. */
static bool update_entries(struct lookup *lookup, uint32_t nodes)
{
	bool is_listed_anew;
	bool is_recorded_anew;
	const struct identity *self = &lookup->gossip->hub->self;
	struct directory *directory = &lookup->directory;

	if (!lookup_is_isolated(lookup)) {
		if (!has_first_rank(lookup))
			return false;
		is_listed_anew = list_best_nodes(lookup);
		is_recorded_anew = record_nodes(lookup, nodes);
		return is_listed_anew || is_recorded_anew;
	}
	lookup->isolated_reads++;
	/* After a power failure, a full list may contain only nodes that are
	 * gone. A node that remains isolated then replaces an entry. */
	if (directory_count(directory, self->data_centre) >=
		    DIRECTORY_PER_CENTRE &&
	    lookup->isolated_reads <= ISOLATED_READS_MAX)
		return false;
	return directory_add(directory, self->data_centre, &self->address);
}

static void write_done(const struct store_result *result, void *data)
{
	struct lookup *lookup = data;

	lookup->call = NULL;
	if (result->outcome == STORE_TOOK_EFFECT)
		counter_add(&writes, 1);
	/* Another node has written the directory, or the answer to an earlier
	 * attempt was lost: the directory is read again. The jitter keeps the
	 * same nodes from conflicting again. */
	if (result->reason == STORE_CONFLICT)
		schedule_read(lookup,
			      1 + random_jitter(&lookup->random,
						CONFLICT_RETRY_JITTER_MS));
	else
		schedule_next_read(lookup);
}

static void write_directory(struct lookup *lookup)
{
	char text[DIRECTORY_TEXT_SIZE];
	const struct store_request request = {
		.kind = STORE_PUT,
		.key = key_directory,
		.value = text,
		.size = directory_format(&lookup->directory, text),
		.revision = lookup->revision,
		.deadline_ms = CALL_DEADLINE_MS,
	};

	lookup->call = store_send(lookup->store, &request, write_done, lookup);
}

/* A stale copy is good enough to find other nodes but must not be written back.
 * If the copy lists no node of the local data centre, the current value is read
 * at once. */
static void handle_stale_copy(struct lookup *lookup)
{
	const char *home = lookup->gossip->hub->self.data_centre;

	if (directory_count(&lookup->directory, home))
		schedule_next_read(lookup);
	else
		schedule_read(lookup, 0);
}

static void read_done(const struct store_result *result, void *data)
{
	struct lookup *lookup = data;
	bool stale = lookup->accept_stale;
	uint32_t nodes;

	lookup->call = NULL;
	lookup->accept_stale = false;
	if (result->outcome != STORE_TOOK_EFFECT &&
	    result->reason != STORE_ABSENT) {
		log_warn(component, "directory_unread",
			 LOG_TEXT("reason", result->err.text));
		schedule_next_read(lookup);
		return;
	}
	lookup->revision = result->reason == STORE_ABSENT ? 0
							  : result->revision;
	directory_parse(&lookup->directory,
			result->size ? (const char *)result->value : "",
			result->size);
	contact_listed(lookup);
	nodes = quota_net_nodes_to_record(lookup->quota,
					  lookup->directory.nodes);
	if (stale)
		handle_stale_copy(lookup);
	else if (update_entries(lookup, nodes))
		write_directory(lookup);
	else
		schedule_next_read(lookup);
}

static void read_directory(struct timer *timer, void *data)
{
	struct lookup *lookup = data;
	const struct store_request request = {
		.kind = STORE_GET,
		.key = key_directory,
		.deadline_ms = CALL_DEADLINE_MS,
		.allow_stale = lookup->accept_stale,
	};

	if (lookup->call || lookup->stopped)
		return;
	/* A node that has found other nodes since the last read does not need
	 * another read. */
	if (!lookup_is_isolated(lookup) && !has_first_rank(lookup)) {
		schedule_next_read(lookup);
		return;
	}
	counter_add(&reads, 1);
	counter_add(&stale_reads, lookup->accept_stale);
	lookup->call = store_send(lookup->store, &request, read_done, lookup);
}

void lookup_init(struct lookup *lookup, struct loop *loop, struct store *store,
		 struct gossip *gossip, const struct lookup_options *options)
{
	int64_t spread_ms = options->first_start ? FIRST_START_SPREAD_MS
						 : START_SPREAD_MS;

	memset(lookup, 0, sizeof(*lookup));
	lookup->loop = loop;
	lookup->store = store;
	lookup->gossip = gossip;
	lookup->quota = options->quota;
	lookup->backoff_ms = ISOLATED_BACKOFF_MIN_MS;
	/* After a power failure all nodes read at the same time, and a read of
	 * a stale copy is cheaper for the store. */
	lookup->accept_stale = true;
	lookup->listed = options->listed;
	lookup->data = options->data;
	random_init(&lookup->random, options->seed);
	timer_init(&lookup->timer, read_directory, lookup);
	schedule_read(lookup, random_jitter(&lookup->random, spread_ms));
}

/* The first limit came into force, or many nodes were added, while a read was
 * scheduled. */
static bool should_read_sooner(const struct lookup *lookup)
{
	int64_t wait_us = lookup->read_us - loop_now_us(lookup->loop);

	return !lookup_is_isolated(lookup) &&
	       wait_us > connected_interval_ms(lookup) * US_PER_MS;
}

void lookup_check(struct lookup *lookup)
{
	bool due = lookup_is_isolated(lookup) || has_first_rank(lookup);

	if (!due || lookup->call)
		return;
	if (timer_is_set(&lookup->timer) && !should_read_sooner(lookup))
		return;
	schedule_next_read(lookup);
}

void lookup_stop(struct lookup *lookup)
{
	lookup->stopped = true;
	timer_cancel(lookup->loop, &lookup->timer);
	if (lookup->call)
		store_cancel(lookup->call);
	lookup->call = NULL;
}

void lookup_finish(struct lookup *lookup)
{
	lookup_stop(lookup);
}
