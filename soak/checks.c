#include <stdio.h>
#include <string.h>

#include "os/clock.h"
#include "soak/soak.h"

enum {
	POLL_MS = 50,
	STATUS_OK = 200,
	/* Limits the output of a seed with many failures. */
	PAGES_MAX = 20,
	PATH_SIZE = 256,
};

/**
 * struct findings - what the judge has found
 * @broken: number of requests, by rule
 * @peer_lost: number of requests given up because a node declared a peer lost,
 *	which is allowed if nodes have a short silence timeout and the seed is
 *	not a deployed one; not included in @broken
 * @planned: number of requests sent under planned changes only
 * @given_up: number of requests that were given up while nodes were in touch
 * @pages: number of pages written
 */
struct findings {
	uint32_t broken[PROMISE_RULES];
	uint32_t peer_lost;
	uint32_t planned;
	uint32_t given_up;
	uint32_t pages;
};

static enum promise_end end_of(const struct load_record *record)
{
	switch (record->outcome) {
	case LOAD_NOT_SENT:
		return PROMISE_NOT_SENT;
	case LOAD_PENDING:
	case LOAD_ABORTED:
		if (record->gave_up)
			return PROMISE_GAVE_UP;
		return record->timed_out ? PROMISE_WAITED : PROMISE_CLOSED;
	default:
		return PROMISE_ANSWERED;
	}
}

/* All nodes run undisturbed for SOAK_SETTLE_MS before the second part. */
static bool is_in_touch(const struct soak *soak,
			const struct load_record *record)
{
	int64_t from_us = soak->planned_from_us - SOAK_SETTLE_MS * US_PER_MS;

	return soak->planned_from_us &&
	       record->sent_us >= from_us + SOAK_CALM_MS * US_PER_MS &&
	       record->sent_us + record->latency_us + PROMISE_GONE_US <
		       soak->planned_from_us;
}

/*
 * The caller starts to measure the time before the node does. If the answer
 * reaches the caller before the deadline, the node therefore sent the answer
 * before the deadline. A slow machine can only delay the answer.
 */
void soak_judge_request(const struct soak *soak, uint32_t index,
			struct promise_request *request)
{
	const struct load_record *record = &soak->load.records[index];
	const struct load_kind *kind = &soak->load.options.kinds[record->kind];

	*request = (struct promise_request){
		.end = end_of(record),
		.may_repeat = !kind->non_idempotent,
		.planned = soak->planned_from_us &&
			   record->sent_us >= soak->planned_from_us,
		.in_touch = is_in_touch(soak, record),
		.read = record->request_read,
		.stamped = record->stamped,
		.own_body = !record->mismatched,
		.status = record->status,
		.sent_us = record->sent_us,
		.ended_us = record->sent_us + record->latency_us,
		.limit_us = record->sent_us + kind->deadline_ms * US_PER_MS,
	};
}

/* On a slow machine, a node with a short silence timeout may declare a peer
 * lost although the peer is alive. This is a failure only if the nodes tolerate
 * silence, or have the silence times of a deployment. */
static bool is_peer_lost(const struct soak *soak,
			 const struct load_record *record)
{
	return !soak->tolerates_silence && !soak->deployed &&
	       record->outcome != LOAD_NOT_RUN &&
	       !strcmp(record->reason, "peer-lost");
}

static void judge_record(const struct soak *soak, uint32_t index,
			 const struct promise_account *account,
			 struct findings *findings)
{
	struct promise_request request;
	const struct promise_entry *entries;
	char id[LOAD_ID_SIZE];
	size_t count;
	int i;

	soak_judge_request(soak, index, &request);
	findings->planned += request.planned;
	findings->given_up += request.in_touch &&
			      request.end == PROMISE_GAVE_UP;
	entries =
		promise_find(account, load_id(&soak->load, index, id), &count);
	for (i = 0; i < PROMISE_RULES; i++) {
		enum promise_rule rule = (enum promise_rule)i;

		if (!promise_is_broken(rule, &request, entries, count))
			continue;
		if (rule == PROMISE_LOST &&
		    is_peer_lost(soak, &soak->load.records[index])) {
			findings->peer_lost++;
			continue;
		}
		findings->broken[rule]++;
		if (findings->pages++ < PAGES_MAX)
			soak_write_page(soak, index, rule, account);
	}
}

static void judge_all(const struct soak *soak)
{
	static const char *const promises[PROMISE_RULES] = {
		[PROMISE_LOST] = "LOST: around planned work every request that "
				 "was read gets a whole answer, and no work is "
				 "given up before its deadline",
		[PROMISE_REFUSED] =
			"REFUSED: no request that was refused by its "
			"status has run",
		[PROMISE_TWICE] = "TWICE: no non-idempotent request runs twice",
		[PROMISE_MIXED] = "MIXED: every success is the answer of an "
				  "upstream to its request",
		[PROMISE_GONE] = "GONE: no request runs long after its caller "
				 "has left",
	};
	struct promise_account account = { 0 };
	struct findings findings = { 0 };
	char path[PATH_SIZE];
	uint32_t i;

	for (i = 0; i < soak->count; i++) {
		cluster_account_path(&soak->cluster, i, path, sizeof(path));
		bench_must(promise_read(&account, path),
			   "the account of an upstream can be read");
	}
	promise_sort(&account);
	for (i = 0; i < soak->load.count; i++)
		judge_record(soak, i, &account, &findings);
	for (i = 0; i < PROMISE_RULES; i++)
		bench_must(!findings.broken[i], promises[i]);
	printf("  under planned changes only: %u requests, %u with a lost "
	       "peer; given up in touch: %u; broken promises:",
	       findings.planned, findings.peer_lost, findings.given_up);
	for (i = 0; i < PROMISE_RULES; i++)
		printf(" %s %u", promise_rule_name((enum promise_rule)i),
		       findings.broken[i]);
	printf("\n");
	promise_finish(&account);
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
	bench_must(!audit.duplicate_runs,
		   "no non-idempotent request runs twice");
	bench_must(!audit.false_not_run,
		   "no request reported as not run has run");
	bench_must(!audit.false_promises,
		   "no request that was refused by its status has run");
	bench_must(!audit.answered_not_run, "every answered request has run");
	judge_all(soak);
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
