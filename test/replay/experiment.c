#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "replay/replay.h"

/**
 * DOC: experiment
 *
 * What one policy is worth: the loads of the replay with it on and off, over
 * several seeds, as a table or as JSON lines.
 *
 *	experiment POLICY SEEDS [json]
 */

enum { S = 1000 * 1000, CASES = 8, TABLE_MS = 1000 };

/* Requests as look-ups, short and long reads make them. */
static const struct replay_setup loads[CASES] = {
	{ .callers = 2, .load = 0.85 },
	{ .callers = 10, .load = 0.85 },
	{ .callers = 50, .load = 0.70 },
	{ .callers = 50, .load = 0.85 },
	{ .callers = 50, .load = 0.95 },
	{ .callers = 50, .load = 1.10 },
	/* A burst; and all upstreams cold, as after a loss of power. */
	{ .callers = 50,
	  .load = 0.70,
	  .trouble = { .from_us = 5 * S, .until_us = 10 * S, .burst = 1.4 } },
	{ .callers = 50,
	  .load = 0.70,
	  .trouble = { .from_us = 5 * S,
		       .until_us = 8 * S,
		       .share = 1,
		       .slow = 2 } },
};

static bool *switch_of(struct replay_policy *policy, const char *name)
{
	if (!strcmp(name, "seek_room"))
		return &policy->seek_room;
	return NULL;
}

static void run(const char *policy, size_t at, bool on, uint64_t seed,
		struct replay_result *result)
{
	struct replay_setup setup;

	replay_large(&setup);
	setup.callers = loads[at].callers;
	setup.load = loads[at].load;
	setup.trouble = loads[at].trouble;
	setup.seed = seed;
	*switch_of(&setup.policy, policy) = on;
	replay_run(&setup, result);
}

static double share(uint32_t part, uint32_t whole)
{
	return whole ? (double)part / whole : 0;
}

static void print(const char *policy, size_t at, bool on, uint64_t seed,
		  const struct replay_result *r, bool json)
{
	const char *form =
		json ? "{\"policy\":\"%s\",\"on\":%d,\"case\":%zu,\"callers\":%u,"
		       "\"load\":%.2f,\"seed\":%llu,\"worth\":%.4f,\"in_time\":%.4f,"
		       "\"late\":%.4f,\"refused\":%.4f,\"failed\":%.4f,"
		       "\"wait_ms\":%.2f,\"tries\":%.2f,\"remote\":%.3f}\n"
		     : "%s %d  case %zu callers %2u load %.2f seed %llu: worth %.4f, in "
		       "time %.4f, late %.4f, refused %.4f, failed %.4f, wait "
		       "%.2f ms, tries %.2f, remote %.3f\n";

	printf(form, policy, on, at + 1, loads[at].callers, loads[at].load,
	       (unsigned long long)seed, r->worth, share(r->in_time, r->asked),
	       share(r->late, r->asked), share(r->refused, r->asked),
	       share(r->failed, r->asked), r->wait_mean_us / TABLE_MS,
	       (double)r->attempt_count / r->client_attempts,
	       (double)r->remote / (double)r->runs);
}

int main(int argc, char **argv)
{
	struct replay_policy known = { .seek_room = false };
	bool json = argc > 3 && !strcmp(argv[3], "json");
	unsigned long seeds = argc > 2 ? strtoul(argv[2], NULL, 10) : 0;
	unsigned long seed;
	size_t at;

	if (!seeds || !switch_of(&known, argv[1])) {
		fprintf(stderr, "usage: experiment seek_room SEEDS [json]\n");
		return 2;
	}
	for (at = 0; at < CASES; at++) {
		for (seed = 1; seed <= seeds; seed++) {
			struct replay_result result;

			run(argv[1], at, false, seed, &result);
			print(argv[1], at, false, seed, &result, json);
			run(argv[1], at, true, seed, &result);
			print(argv[1], at, true, seed, &result, json);
		}
	}
	return 0;
}
