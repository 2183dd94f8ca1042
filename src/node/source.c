#include <stdio.h>
#include <string.h>

#include "base/log.h"
#include "node/node_defs.h"
#include "os/clock.h"

/**
 * DOC: source
 *
 * Access to the platform's configuration service: the store, the reader that
 * reads the configuration if this node is elected, and the editor for the
 * commands of operators. A node without a platform in its settings has none of
 * the three and receives versions only from its peers.
 */

static const char component[] = "node";

static const char reader_duty[] = "reader";

enum {
	MEMBERS_WRITTEN_MAX = 16,
	FIRST_RANK_MS = 300,
	RANK_INTERVAL_MS = 1000,
	/* A starting node finds peers within a few round trips, and a version
	 * from peers costs less than a read of the service. */
	GRACE_MS = 400,
	/* During the first start of a deployment there are no requests yet, so
	 * nodes can wait longer for peers. */
	FIRST_START_GRACE_MS = 2500,
	/* Well below the time after which the last read of the service counts
	 * as stale. */
	SOURCE_INTERVAL_MS = 200,
	/* Age of the last read known here from which the reader is asked. It
	 * reads more often than that. */
	ASK_SOURCE_READ_MS = 500,
	/* Time that a starting node with seeds waits for its first member
	 * before it takes part in the election of the reader. */
	NO_MEMBERS_MS = 2000,
	/* Over a slower link, a read of the service takes longer than the
	 * transfer from a peer and delays the transfer. */
	EARLY_READ_LINK_MIN_MBPS = 20,
	FIND_BACKOFF_MIN_MS = 2000,
	FIND_BACKOFF_MAX_MS = 60000,
	FIND_GROUPS_MS = 10000,
	LEASE_RENEW_DIVISOR = 3,
	LEASE_MARGIN_DIVISOR = 5,
	CALL_BURST_S = 2,
};

static bool has_no_members(const struct node *node)
{
	return members_next(&node->gossip.members, NULL) == NULL;
}

/* Writes one address per line, in the order of the table: the same members give
 * the same text, which need not be written again. */
static size_t write_members(char *text, size_t size, void *data)
{
	const struct node *node = data;
	const struct data_centre *home = node->gossip.members.home;
	char address[ADDRESS_TEXT_SIZE];
	uint32_t written = 0;
	size_t used = 0;
	uint32_t i;

	for (i = 0; i < home->count && written < MEMBERS_WRITTEN_MAX; i++) {
		const struct member *member = home->members[i];

		if (!members_reachable(&node->gossip.members, member))
			continue;
		address_format(&member->record.address, address);
		if (used + strlen(address) + 2 > size)
			break;
		used += (size_t)snprintf(text + used, size - used, "%s\n",
					 address);
		written++;
	}
	return used;
}

/* Returns true for addresses of this node and of reachable nodes: as seeds,
 * they would leave no room for others. */
static bool is_known(const struct node *node, const struct address *address)
{
	const struct members *members = &node->gossip.members;
	const struct member *member = NULL;

	if (address_equal(&node->hub.self.address, address))
		return true;
	while ((member = members_next(members, member)))
		if (members_reachable(members, member) &&
		    address_equal(&member->record.address, address))
			return true;
	return false;
}

static void add_member_seeds(const char *text, size_t size, void *data)
{
	struct node *node = data;
	const char *end = text + size;

	while (text && text < end) {
		const char *newline = memchr(text, '\n', (size_t)(end - text));
		size_t length = (size_t)((newline ? newline : end) - text);
		char line[ADDRESS_TEXT_SIZE];
		struct error err = ERROR_INIT;
		struct address address;

		snprintf(line, sizeof(line), "%.*s",
			 length < sizeof(line) ? (int)length : 0, text);
		if (address_parse(line, &address, &err) &&
		    !is_known(node, &address))
			gossip_add_seed(&node->gossip, &address);
		text = newline ? newline + 1 : end;
	}
}

/* A node without members reads the addresses of members from the platform, with
 * exponential backoff: many such nodes must not cause a burst of calls. */
static void find_members_if_none(struct node *node, int64_t now_us)
{
	if (!has_no_members(node) || now_us < node->next_find_us)
		return;
	node->find_backoff_ms = node->find_backoff_ms
					? node->find_backoff_ms * 2
					: FIND_BACKOFF_MIN_MS;
	if (node->find_backoff_ms > FIND_BACKOFF_MAX_MS)
		node->find_backoff_ms = FIND_BACKOFF_MAX_MS;
	node->next_find_us = now_us + node->find_backoff_ms * US_PER_MS;
	reader_find_members(&node->reader, add_member_seeds, node);
}

/* Nodes that start together may form groups that do not know each other: two
 * readers wrote the members record in turn, and each node read one of both. Of
 * each group, the node with the first rank goes on to read the record. */
static void find_groups(struct node *node, int64_t now_us)
{
	if (now_us < node->next_groups_us || has_no_members(node) ||
	    gossip_rank(&node->gossip, reader_duty))
		return;
	node->next_groups_us = now_us + FIND_GROUPS_MS * US_PER_MS;
	reader_find_members(&node->reader, add_member_seeds, node);
}

static int64_t grace_us(const struct node *node)
{
	int64_t grace_ms = node->settings->node.first_start
				   ? FIRST_START_GRACE_MS
				   : GRACE_MS;

	return grace_ms * US_PER_MS;
}

static bool grace_is_over(const struct node *node)
{
	return loop_now_us(&node->loop) >= node->started_us + grace_us(node);
}

/* Asks the reader whether it still reads before this node does so in its place.
 * Only nodes that would do so soon ask, whatever the number of nodes. */
static void ask_source_read(struct node *node)
{
	int64_t age_us =
		loop_now_us(&node->loop) - node->gossip.members.source_read_us;
	uint32_t rank =
		members_responsive_rank(&node->gossip.members, reader_duty);

	if (rank && rank < READER_RANK_STEPS_MAX &&
	    age_us >= ASK_SOURCE_READ_MS * US_PER_MS)
		gossip_ask_source_read(&node->gossip, reader_duty);
}

/* Exchanges the time of the last read of the service between the reader and the
 * membership, and updates the rank of this node. */
static void update_source_state(struct node *node)
{
	if (node->leaving)
		return;
	members_source_read(&node->gossip.members,
			    reader_contact_us(&node->reader));
	reader_set_nodes(&node->reader,
			 members_live_count(&node->gossip.members),
			 members_many_lost(&node->gossip.members));
	reader_set_source_read(&node->reader,
			       node->gossip.members.source_read_us);
	ask_source_read(node);
	if (!lookup_is_isolated(&node->lookup) || grace_is_over(node))
		reader_set_rank(&node->reader,
				members_responsive_rank(&node->gossip.members,
							reader_duty));
	lookup_check(&node->lookup);
}

static void update_reader_by_rank(struct timer *timer, void *data)
{
	struct node *node = data;

	update_source_state(node);
	timer_set(&node->loop, timer,
		  loop_now_us(&node->loop) + SOURCE_INTERVAL_MS * US_PER_MS);
}

static void update_reader_by_lease(struct timer *timer, void *data)
{
	struct node *node = data;
	int64_t now_us = loop_now_us(&node->loop);
	bool wait = has_no_members(node) && node->settings->peers.seed_count &&
		    now_us < node->started_us + NO_MEMBERS_MS * US_PER_MS;

	if (!wait && !node->leaving)
		reader_set_rank(&node->reader,
				gossip_rank(&node->gossip, "reader"));
	if (!node->leaving) {
		find_members_if_none(node, now_us);
		find_groups(node, now_us);
	}
	timer_set(&node->loop, timer, now_us + RANK_INTERVAL_MS * US_PER_MS);
}

/* On the platform interface, readers are elected by rank: its store offers no
 * lease for readers, and its calls are billed. */
static bool elects_by_rank(const struct node *node)
{
	return node->settings->node.form == INTERFACE_PLATFORM;
}

static void set_store_options(const struct node *node,
			      struct store_options *options)
{
	const struct settings_platform *from = &node->settings->platform;

	store_options_default(options);
	options->form = node->settings->node.form;
	options->address = from->address;
	options->deadline_ms = from->timeout_ms * 2;
	options->attempt_timeout_ms = from->timeout_ms;
	options->rate_per_s = (double)from->calls_per_s;
	options->burst = (double)(from->calls_per_s * CALL_BURST_S);
}

void node_source_change(struct node *node)
{
	struct store_options options;

	if (!node->has_source)
		return;
	set_store_options(node, &options);
	store_change(&node->store, &options);
}

static void start_store(struct node *node)
{
	struct store_options options;

	set_store_options(node, &options);
	options.seed = node_seed();
	store_init(&node->store, &node->loop, &node->client, &options);
}

/*
 * Called when the directory lists this node.
 *
 * After a power failure of all nodes, no node has a version or knows which node
 * is elected to read the service, and every request waits. The nodes that the
 * directory lists are contacted by all others, so these nodes read at once.
 */
static void listed(void *data)
{
	struct node *node = data;
	double link_mbps = node->settings->node.link_mbps;
	bool slow_link = link_mbps > 0 && link_mbps < EARLY_READ_LINK_MIN_MBPS;

	if (!keeper_config(&node->keeper) && !slow_link)
		reader_activate(&node->reader);
}

static void start_lookup(struct node *node)
{
	const struct lookup_options options = {
		.first_start = node->settings->node.first_start,
		.seed = node_seed(),
		.quota = &node->quota,
		.listed = listed,
		.data = node,
	};

	lookup_init(&node->lookup, &node->loop, &node->store, &node->gossip,
		    &options);
}

static void forward_orders(const struct store_item *items, uint32_t count,
			   void *data)
{
	struct node *node = data;

	rollout_net_receive_orders(&node->rollout, items, count);
}

static void reader_elected(bool is_reader, void *data)
{
	struct node *node = data;

	quarantine_keep_set_active(&node->quarantine_keep,
				   is_reader && !node->leaving);
}

static void start_reader(struct node *node)
{
	const struct settings_platform *from = &node->settings->platform;
	struct reader_options options = {
		.form = node->settings->node.form,
		.election = elects_by_rank(node) ? READER_BY_RANK
						 : READER_BY_LEASE,
		.data_centre = node->settings->node.data_centre,
		.holder = node->holder,
		.seed = node_seed(),
		.members = write_members,
		.listed = add_member_seeds,
		.orders = elects_by_rank(node) &&
					  node->settings->rollout.enabled
				  ? forward_orders
				  : NULL,
		.elected = reader_elected,
		.data = node,
	};

	lease_options_default(&options.lease);
	options.lease.ttl_ms = from->lease_ms;
	options.lease.renew_ms = from->lease_ms / LEASE_RENEW_DIVISOR;
	options.lease.margin_ms = from->lease_ms / LEASE_MARGIN_DIVISOR;
	snprintf(node->holder, sizeof(node->holder), "%s/%llx",
		 node->settings->node.instance,
		 (unsigned long long)node->hub.self.incarnation);
	reader_init(&node->reader, &node->loop, &node->store, &node->keeper,
		    &options);
}

static void start_quarantine_keep(struct node *node)
{
	const struct quarantine_keep_options options = {
		.loop = &node->loop,
		.store = &node->store,
		.net = &node->quarantine,
		.seed = node_seed(),
	};

	if (node->settings->call.quarantine)
		quarantine_keep_init(&node->quarantine_keep, &options);
}

bool node_source_reads_directory(const struct node *node)
{
	return node->settings->platform.address.family && elects_by_rank(node);
}

void node_source_start(struct node *node)
{
	node->started_us = loop_now_us(&node->loop);
	timer_init(&node->rank_timer, update_reader_by_lease, node);
	if (!node->settings->platform.address.family) {
		log_info(component, "no_platform");
		return;
	}
	node->has_source = true;
	start_store(node);
	start_reader(node);
	start_quarantine_keep(node);
	editor_init(&node->editor, &node->loop, &node->store, &node->keeper,
		    node_seed());
	if (elects_by_rank(node)) {
		/* No read is known yet: the reader counts the age of the last
		 * read from the end of the grace period. */
		reader_set_source_read(&node->reader,
				       node->started_us + grace_us(node));
		reader_set_rank(&node->reader, UINT32_MAX);
		start_lookup(node);
		timer_init(&node->rank_timer, update_reader_by_rank, node);
		update_source_state(node);
	}
	timer_set(&node->loop, &node->rank_timer,
		  node->started_us + FIRST_RANK_MS * US_PER_MS);
}

void node_source_withdraw(struct node *node)
{
	if (!node->has_source)
		return;
	reader_withdraw(&node->reader);
	quarantine_keep_set_active(&node->quarantine_keep, false);
	if (elects_by_rank(node))
		lookup_stop(&node->lookup);
}

bool node_source_is_idle(const struct node *node)
{
	return !node->has_source || reader_is_idle(&node->reader);
}

void node_source_finish(struct node *node)
{
	timer_cancel(&node->loop, &node->rank_timer);
	if (!node->has_source)
		return;
	if (elects_by_rank(node))
		lookup_finish(&node->lookup);
	quarantine_keep_finish(&node->quarantine_keep);
	editor_finish(&node->editor);
	reader_finish(&node->reader);
	store_finish(&node->store);
}
