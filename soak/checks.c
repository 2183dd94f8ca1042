#include <stdio.h>
#include <string.h>

#include "os/clock.h"
#include "soak/soak.h"

enum {
	POLL_MS = 50,
	STATUS_OK = 200,
	/* Limits the output of a seed with many failures. */
	PRINTED_MAX = 100,
};

/**
 * struct planned - requests sent in the second part, under planned changes only
 * @checked: number of these requests
 * @aborted: number of requests that a node read and did not answer: the node
 *	closed the connection, or the caller timed out
 * @abandoned: number of requests that an upstream ran and that a node gave up
 *	before their deadline
 * @peer_lost_count: number of requests given up in this way because a node
 *	declared a peer lost, which is allowed if nodes do not tolerate silence;
 *	not included in @abandoned
 */
struct planned {
	uint32_t checked;
	uint32_t aborted;
	uint32_t abandoned;
	uint32_t peer_lost_count;
};

/*
 * An aborted request counts as a failure only if a node is known to have read
 * it: the kernel or a partial answer shows it (see load_keepalive.h), the
 * request timed out, or an upstream ran it. A request that arrives while the
 * process of the node is ending may never have been read.
 */
static bool is_aborted(const struct load_record *record, uint32_t runs)
{
	if (record->outcome != LOAD_ABORTED)
		return false;
	return record->timed_out || record->request_read || runs;
}

/*
 * The caller starts to measure the time before the node does. If the answer
 * reaches the caller before the deadline, the node therefore sent the answer
 * before the deadline. A slow machine can only delay the answer.
 */
static bool is_abandoned(const struct soak *soak,
			 const struct load_record *record, uint32_t runs)
{
	const struct load_kind *kind = &soak->load.options.kinds[record->kind];

	if (record->outcome != LOAD_MAY_HAVE_RUN &&
	    record->outcome != LOAD_RAN_NO_ANSWER)
		return false;
	return runs && record->latency_us < kind->deadline_ms * US_PER_MS;
}

/* On a slow machine, a node with a short silence timeout may declare a peer
 * lost although the peer is alive. This is a failure only if the nodes tolerate
 * silence. */
static bool is_peer_lost(const struct soak *soak,
			 const struct load_record *record)
{
	return !soak->tolerates_silence && !strcmp(record->reason, "peer-lost");
}

static void print_record(const struct soak *soak, uint32_t index,
			 const char *what)
{
	const struct load_record *record = &soak->load.records[index];
	const struct load_kind *kind = &soak->load.options.kinds[record->kind];
	char id[LOAD_ID_SIZE];

	fprintf(stderr,
		"%s: %s (%s) by %s, sent %.3f s after the start of the part, "
		"ended after %lld us, deadline %lld ms: status %u, reason "
		"\"%s\", timed out %d, read %d\n",
		what, load_id(&soak->load, index, id), kind->name,
		soak->cluster.nodes[record->target].instance,
		(double)(record->sent_us - soak->planned_from_us) / US_PER_S,
		(long long)record->latency_us, (long long)kind->deadline_ms,
		record->status, record->reason, record->timed_out,
		record->request_read);
}

static void check_record(const struct soak *soak, uint32_t index, uint32_t runs,
			 struct planned *planned)
{
	const struct load_record *record = &soak->load.records[index];
	bool aborted = is_aborted(record, runs);
	bool abandoned = is_abandoned(soak, record, runs);

	planned->checked++;
	if (abandoned && is_peer_lost(soak, record)) {
		planned->peer_lost_count++;
		return;
	}
	planned->aborted += aborted;
	planned->abandoned += abandoned;
	if ((aborted || abandoned) &&
	    planned->aborted + planned->abandoned <= PRINTED_MAX)
		print_record(soak, index,
			     aborted ? "aborted"
				     : "abandoned before its deadline");
}

/* Prints the requests that were refused and ran, or that ran twice. The way of
 * each over all nodes is in the logs: geraniumplank explain ID LOGS. */
static void print_broken(const struct soak *soak, json_t *const stats[])
{
	uint32_t printed = 0;
	uint32_t i;

	for (i = 0; i < soak->load.count && printed < PRINTED_MAX; i++) {
		const struct load_record *record = &soak->load.records[i];
		const struct load_kind *kind =
			&soak->load.options.kinds[record->kind];
		uint32_t runs = load_runs(&soak->load, i, stats, soak->count);
		bool refused = load_is_false_promise(&soak->load, i, runs);

		if (!refused && (!kind->non_idempotent || runs < 2))
			continue;
		print_record(soak, i,
			     refused ? "refused and ran" : "ran twice");
		printed++;
	}
}

static void check_planned(const struct soak *soak, json_t *const stats[])
{
	struct planned planned = { 0 };
	uint32_t i;

	for (i = 0; soak->planned_from_us && i < soak->load.count; i++)
		if (soak->load.records[i].sent_us >= soak->planned_from_us)
			check_record(soak, i,
				     load_runs(&soak->load, i, stats,
					       soak->count),
				     &planned);
	bench_must(!planned.aborted, "a planned stop cuts nothing");
	bench_must(!planned.abandoned,
		   "no work is given up before its deadline");
	printf("  under planned changes only: %u requests, %u aborted, %u "
	       "abandoned, %u with a lost peer\n",
	       planned.checked, planned.aborted, planned.abandoned,
	       planned.peer_lost_count);
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
	bench_must(!summary.mismatched, "every answer belongs to its request");
	printf("  %u requests, %u answered, %u not run, %u may have run, %u "
	       "ran, %u aborted, %u not sent\n ",
	       summary.count, summary.outcomes[LOAD_ANSWERED],
	       summary.outcomes[LOAD_NOT_RUN],
	       summary.outcomes[LOAD_MAY_HAVE_RUN],
	       summary.outcomes[LOAD_RAN_NO_ANSWER],
	       summary.outcomes[LOAD_ABORTED], summary.outcomes[LOAD_NOT_SENT]);
	for (i = 0; i < FAULTS; i++)
		printf(" %s %u%s", names[i], soak->injected[i],
		       i + 1 < FAULTS ? "," : "\n");
	fflush(stdout);
}

void soak_check_answers(struct soak *soak)
{
	json_t *stats[SOAK_NODES_MAX];
	struct load_audit audit;
	uint32_t i;

	for (i = 0; i < soak->count; i++) {
		stats[i] = cluster_upstream_stats(&soak->cluster, i);
		bench_must(stats[i] != NULL,
			   "the statistics of an upstream can be read");
	}
	load_check(&soak->load, stats, soak->count, &audit);
	if (audit.duplicate_runs || audit.false_promises)
		print_broken(soak, stats);
	bench_must(!audit.duplicate_runs,
		   "no non-idempotent request runs twice");
	bench_must(!audit.false_not_run,
		   "no request reported as not run has run");
	bench_must(!audit.false_promises,
		   "no request that was refused by its status has run");
	bench_must(!audit.answered_not_run, "every answered request has run");
	check_planned(soak, stats);
	print_counts(soak);
	for (i = 0; i < soak->count; i++)
		json_decref(stats[i]);
}

/* Returns true if all nodes have the same version and this version is not older
 * than the last accepted version. */
static bool versions_agree(struct soak *soak)
{
	uint64_t version = cluster_version(&soak->cluster, 0);
	uint32_t i;

	for (i = 1; i < soak->count; i++)
		if (cluster_version(&soak->cluster, i) != version)
			return false;
	return version >= soak->version;
}

static bool wait_versions_agree(struct soak *soak)
{
	int64_t deadline_us =
		clock_monotonic_us() + SOAK_CONVERGE_MS * US_PER_MS;

	while (!versions_agree(soak)) {
		if (clock_monotonic_us() > deadline_us)
			return false;
		bench_sleep_ms(POLL_MS);
	}
	return true;
}

void soak_check_nodes(struct soak *soak)
{
	int64_t started_us = clock_monotonic_us();
	uint32_t i;

	bench_must(cluster_wait_members(&soak->cluster, soak->count,
					SOAK_CONVERGE_MS),
		   "all nodes know each other");
	bench_must(wait_versions_agree(soak),
		   "all nodes have the last accepted version");
	bench_must(cluster_wait_routes(&soak->cluster, SOAK_CONVERGE_MS),
		   "all nodes have routes to the service");
	for (i = 0; i < soak->count; i++) {
		struct fetch fetch = { .method = "GET",
				       .timeout_ms = SOAK_CONVERGE_MS };

		cluster_call(&soak->cluster, i, "seal-desk", &fetch,
			     soak_public_path(soak));
		bench_must(fetch.status == STATUS_OK,
			   "every node serves a call");
		fetch_finish(&fetch);
	}
	printf("  all nodes have converged and serve after %lld ms\n",
	       (long long)(clock_monotonic_us() - started_us) / US_PER_MS);
	fflush(stdout);
}
