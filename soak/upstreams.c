#include <stdio.h>
#include <string.h>

#include "os/clock.h"
#include "soak/soak.h"

enum {
	/* On average a fault of an upstream is drawn once in this number of
	 * steps. */
	INTERVAL_STEPS = 5,
	LEAVING_STEPS = 15,
	STATS_POLL_MS = 20,
};

void soak_post_upstream(struct soak *soak, uint32_t i, const char *faults)
{
	char answer[256];

	fetch_simple("POST", soak->cluster.nodes[i].upstream_address,
		     "/standin/faults", faults, answer, sizeof(answer));
}

/* An upstream that has told its leaving ends some time later, and the next
 * incarnation starts. */
static void end_leaving(struct soak *soak)
{
	uint32_t i;

	for (i = 0; i < soak->count; i++) {
		if (!soak->leaving_until[i] ||
		    soak->step < soak->leaving_until[i])
			continue;
		soak->leaving_until[i] = 0;
		soak_post_upstream(soak, i, "{\"crash\":true}");
	}
}

void soak_disturb_upstreams(struct soak *soak)
{
	static const char *const faults[] = {
		"{\"rate_limit\":\"8\"}",    "{\"rate_limit\":\"0\"}",
		"{\"rate_limit\":\"many\"}", "{\"rate_limit\":\"\"}",
		"{\"crash\":true}",	     "{\"leaving\":true}",
	};
	const uint32_t count = sizeof(faults) / sizeof(faults[0]);
	uint32_t turn;
	uint32_t i;

	if (!soak->upstream_faults || soak->planned)
		return;
	end_leaving(soak);
	if (random_below(&soak->upstream_random, INTERVAL_STEPS))
		return;
	turn = random_below(&soak->upstream_random, count);
	i = random_below(&soak->upstream_random, soak->count);
	if (soak->leaving_until[i])
		return;
	soak_post_upstream(soak, i, faults[turn]);
	if (turn == count - 1)
		soak->leaving_until[i] = soak->step + LEAVING_STEPS;
}

void soak_count_forgotten(struct soak *soak)
{
	bool none_runs = true;
	uint32_t i;

	/* No request crashes an upstream in the second part. */
	if (soak->planned)
		return;
	for (i = 0; i < soak->count; i++)
		if (soak->nodes[i].state == NODE_RUNNING ||
		    soak->nodes[i].state == NODE_PAUSED)
			none_runs = false;
	soak->forgotten += none_runs && !soak->none_runs;
	soak->none_runs = none_runs;
}

static void wait_upstreams(struct soak *soak)
{
	uint32_t i;

	for (i = 0; i < soak->count; i++) {
		json_t *stats = cluster_upstream_stats(&soak->cluster, i);

		while (!stats) {
			load_run(&soak->load, STATS_POLL_MS);
			stats = cluster_upstream_stats(&soak->cluster, i);
		}
		json_decref(stats);
	}
}

void soak_end_upstream_faults(struct soak *soak)
{
	struct load *load = &soak->load;
	uint32_t i;

	if (!soak->upstream_faults || soak->planned)
		return;
	for (i = 0; i < load->options.kind_count; i++) {
		struct load_kind *kind = &load->options.kinds[i];

		if (strcmp(kind->name, "crashing") != 0)
			continue;
		load->kind_shares -= kind->share;
		kind->share = 0;
	}
	load_run(load, SOAK_DOWN_MS);
	wait_upstreams(soak);
	for (i = 0; i < soak->count; i++) {
		soak_post_upstream(soak, i, "{\"rate_limit\":\"\"}");
		if (soak->leaving_until[i])
			soak_post_upstream(soak, i, "{\"crash\":true}");
		soak->leaving_until[i] = 0;
	}
	load_run(load, SOAK_DOWN_MS);
	wait_upstreams(soak);
}

/* Returns the number of requests, @crashing or harmless ones, that were
 * blocked. */
static uint32_t count_blocked(const struct soak *soak, bool crashing)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < soak->load.count; i++) {
		const struct load_record *record = &soak->load.records[i];
		const struct load_kind *kind =
			&soak->load.options.kinds[record->kind];

		count += !strcmp(kind->name, "crashing") == crashing &&
			 !strcmp(record->reason, "quarantined");
	}
	return count;
}

void soak_check_crashes(struct soak *soak)
{
	uint32_t harmless_blocked = count_blocked(soak, false);
	uint32_t blocked = count_blocked(soak, true);
	/* Each side of a partition has to recognize it. */
	uint32_t sides = soak->injected[FAULT_CUT] ? SOAK_CENTRES : 1;
	/* The platform keeps what outlasts the end of all nodes, if it can be
	 * reached. */
	uint32_t times =
		1 + (soak->injected[FAULT_PLATFORM] ? soak->forgotten : 0);
	int64_t crashes = 0;
	uint32_t i;

	if (!soak->upstream_faults)
		return;
	for (i = 0; i < soak->count; i++) {
		json_t *stats = cluster_upstream_stats(&soak->cluster, i);

		crashes += json_integer_value(
			json_object_get(stats, "request_crashes"));
		json_decref(stats);
	}
	printf("  requests crashed upstreams %lld times, %u such requests and "
	       "%u harmless ones blocked, findings lost %u times\n",
	       (long long)crashes, blocked, harmless_blocked, soak->forgotten);
	bench_must(!harmless_blocked, "no harmless request is blocked");
	bench_must(crashes <= times * sides * SOAK_CRASHING_KINDS *
				      SOAK_CRASHES_MAX,
		   "requests that crash upstreams are blocked");
	bench_must(blocked > crashes,
		   "most requests that would crash an upstream are blocked");
}
