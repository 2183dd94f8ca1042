#include <stdio.h>
#include <string.h>

#include "os/clock.h"
#include "soak/soak.h"

enum {
	POLL_MS = 50,
	STATUS_OK = 200,
	/* The rest of the failures of a seed are like the first ones. */
	PRINTED_MOST = 100,
};

/**
 * struct planned - what the part with planned changes alone showed
 * @looked_at: requests sent in it
 * @cut: read by a node that then closed without an answer, or left without
 *	one until that can only be a hang
 * @given_up: run by an upstream and given up before their deadline
 * @peers_lost: of those that were, what nodes that are not patient may do
 */
struct planned {
	uint32_t looked_at;
	uint32_t cut;
	uint32_t given_up;
	uint32_t peers_lost;
};

/*
 * A cut request counts where a node is known to have read it: by the kernel or
 * a part of an answer (see load_keepalive.h), or because an upstream ran it.
 * One that came when the node's process was ending may never have been read.
 */
static bool is_cut(const struct load_record *record, uint32_t runs)
{
	if (record->outcome != LOAD_ABORTED)
		return false;
	return record->timed_out || record->request_read || runs;
}

/*
 * The caller's clock starts before the node's: an answer that it gets before
 * its deadline left the node before that, too, and slowness only moves it back.
 */
static bool is_given_up(const struct soak *soak,
			const struct load_record *record, uint32_t runs)
{
	const struct load_kind *kind = &soak->load.options.kinds[record->kind];

	if (record->outcome != LOAD_MAY_HAVE_RUN &&
	    record->outcome != LOAD_RAN_NO_ANSWER)
		return false;
	return runs && record->latency_us < kind->deadline_ms * US_PER_MS;
}

/* A node that takes a quiet connection for a lost one may give up for mere
 * slowness; that counts where nodes are patient. */
static bool is_peer_lost(const struct soak *soak,
			 const struct load_record *record)
{
	return !soak->patient && !strcmp(record->reason, "peer-lost");
}

static void print_record(const struct soak *soak, uint32_t index,
			 const char *what)
{
	const struct load_record *record = &soak->load.records[index];
	const struct load_kind *kind = &soak->load.options.kinds[record->kind];
	char id[LOAD_ID_SIZE];

	fprintf(stderr,
		"%s: %s (%s) by %s, sent at %.3f s of the part, after %lld us "
		"of %lld ms: status %u, reason \"%s\", timed out %d, read %d\n",
		what, load_id(&soak->load, index, id), kind->name,
		soak->cluster.nodes[record->target].instance,
		(double)(record->sent_us - soak->planned_us) / US_PER_S,
		(long long)record->latency_us, (long long)kind->deadline_ms,
		record->status, record->reason, record->timed_out,
		record->request_read);
}

static void look_at(const struct soak *soak, uint32_t index, uint32_t runs,
		    struct planned *planned)
{
	const struct load_record *record = &soak->load.records[index];
	bool cut = is_cut(record, runs);
	bool given_up = is_given_up(soak, record, runs);

	planned->looked_at++;
	if (given_up && is_peer_lost(soak, record)) {
		planned->peers_lost++;
		return;
	}
	planned->cut += cut;
	planned->given_up += given_up;
	if ((cut || given_up) &&
	    planned->cut + planned->given_up <= PRINTED_MOST)
		print_record(soak, index, cut ? "cut" : "given up");
}

/* Nothing of the first part reaches into what is looked at here. */
static void check_planned(const struct soak *soak, json_t *const stats[])
{
	struct planned planned = { 0 };
	uint32_t i;

	for (i = 0; soak->planned_us && i < soak->load.count; i++)
		if (soak->load.records[i].sent_us >= soak->planned_us)
			look_at(soak, i,
				load_runs(&soak->load, i, stats, soak->count),
				&planned);
	bench_must(!planned.cut, "a planned stop cuts nothing");
	bench_must(!planned.given_up,
		   "no work is given up before its deadline");
	printf("  under planned changes alone: %u requests, %u cut, %u given "
	       "up, %u with a peer lost\n",
	       planned.looked_at, planned.cut, planned.given_up,
	       planned.peers_lost);
}

static void print_counts(const struct soak *soak)
{
	static const char *const names[FAULTS] = {
		[FAULT_PAUSE] = "pauses",
		[FAULT_KILL] = "kills",
		[FAULT_SILENCE] = "silences",
		[FAULT_CUT] = "cuts",
		[FAULT_PLATFORM] = "platform",
		[FAULT_UPSTREAM] = "upstreams",
		[FAULT_STOP] = "stops",
		[FAULT_ACCEPT] = "versions",
		[FAULT_STOP_MANY] = "stops of many",
		[FAULT_STOP_AGAIN] = "stops again",
		[FAULT_ROLL] = "rolling stops",
		[FAULT_RELOADS] = "series of reloads",
		[FAULT_ACCEPT_MANY] = "series of versions",
	};
	const struct load_filter all = { -1, -1 };
	struct load_summary summary;
	uint32_t i;

	load_summarize(&soak->load, &all, &summary);
	bench_must(!summary.mismatched, "no answer is another request's");
	printf("  %u requests, %u answered, %u not run, %u may have run, %u "
	       "ran, %u cut, %u not sent\n ",
	       summary.count, summary.outcomes[LOAD_ANSWERED],
	       summary.outcomes[LOAD_NOT_RUN],
	       summary.outcomes[LOAD_MAY_HAVE_RUN],
	       summary.outcomes[LOAD_RAN_NO_ANSWER],
	       summary.outcomes[LOAD_ABORTED], summary.outcomes[LOAD_NOT_SENT]);
	for (i = 0; i < FAULTS; i++)
		printf(" %s %u%s", names[i], soak->brought[i],
		       i + 1 < FAULTS ? "," : "\n");
	fflush(stdout);
}

void soak_check_answers(struct soak *soak)
{
	json_t *stats[SOAK_NODES_MOST];
	struct load_audit audit;
	uint32_t i;

	for (i = 0; i < soak->count; i++) {
		stats[i] = cluster_upstream_stats(&soak->cluster, i);
		bench_must(stats[i] != NULL, "the count of an upstream");
	}
	load_check(&soak->load, stats, soak->count, &audit);
	bench_must(!audit.duplicate_runs,
		   "nothing that may not be repeated is");
	bench_must(!audit.false_not_run, "every \"not run\" is true");
	bench_must(!audit.answered_not_run, "every answer was run");
	check_planned(soak, stats);
	print_counts(soak);
	for (i = 0; i < soak->count; i++)
		json_decref(stats[i]);
}

/* Whether all have the same version, none older than what was accepted. */
static bool agree(struct soak *soak)
{
	uint64_t version = cluster_version(&soak->cluster, 0);
	uint32_t i;

	for (i = 1; i < soak->count; i++)
		if (cluster_version(&soak->cluster, i) != version)
			return false;
	return version >= soak->version;
}

static bool agree_in_time(struct soak *soak)
{
	int64_t until_us = clock_monotonic_us() + SOAK_AGREE_MS * US_PER_MS;

	while (!agree(soak)) {
		if (clock_monotonic_us() > until_us)
			return false;
		bench_sleep_ms(POLL_MS);
	}
	return true;
}

void soak_check_nodes(struct soak *soak)
{
	int64_t from_us = clock_monotonic_us();
	uint32_t i;

	bench_must(cluster_wait_members(&soak->cluster, soak->count,
					SOAK_AGREE_MS),
		   "all know each other again");
	bench_must(agree_in_time(soak),
		   "all have the same version, the last that was accepted");
	bench_must(cluster_wait_routes(&soak->cluster, SOAK_AGREE_MS),
		   "all route again");
	for (i = 0; i < soak->count; i++) {
		struct fetch fetch = { .method = "GET",
				       .timeout_ms = SOAK_AGREE_MS };

		cluster_call(&soak->cluster, i, "seal-desk", &fetch, "/read");
		bench_must(fetch.status == STATUS_OK, "a node serves again");
		fetch_finish(&fetch);
	}
	printf("  all agree and serve after %lld ms\n",
	       (long long)(clock_monotonic_us() - from_us) / US_PER_MS);
	fflush(stdout);
}
