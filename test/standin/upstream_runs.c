#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "os/clock.h"
#include "standin/upstream.h"

/* The table of runs by the IDs of their requests. */

void upstream_count_run(struct upstream *upstream, const char *id,
			const char *tenant)
{
	struct upstream_run *run;

	upstream->total++;
	HASH_FIND_STR(upstream->runs, id, run);
	if (!run) {
		run = calloc(1, sizeof(*run));
		memcpy(run->id, id, sizeof(run->id));
		snprintf(run->tenant, sizeof(run->tenant), "%s", tenant);
		run->first_us = clock_monotonic_us();
		HASH_ADD_STR(upstream->runs, id, run);
		LL_PREPEND(upstream->run_list, run);
	} else if (*id) {
		upstream->duplicate_runs++;
	}
	run->tenants_differ |= strcmp(run->tenant, tenant) != 0;
	run->count++;
}

void upstream_end_run(struct upstream *upstream, const char *id, bool aborted)
{
	struct upstream_run *run;

	HASH_FIND_STR(upstream->runs, id, run);
	if (!run)
		return;
	run->end_us = clock_monotonic_us();
	run->aborted = aborted;
}

json_t *upstream_list_runs(const struct upstream *upstream)
{
	json_t *list = json_object();
	const struct upstream_run *run;

	for (run = upstream->runs; run; run = run->hh.next)
		json_object_set_new(list, run->id, json_integer(run->count));
	return list;
}

json_t *upstream_tenants(const struct upstream *upstream)
{
	json_t *runs = json_object();
	const struct upstream_run *run;

	for (run = upstream->runs; run; run = run->hh.next)
		json_object_set_new(runs, run->id,
				    json_pack("[s,I]",
					      run->tenants_differ ? "?"
								  : run->tenant,
					      (json_int_t)run->first_us));
	return json_pack("{s:I,s:o}", "keys_shown",
			 (json_int_t)upstream->keys_shown, "runs", runs);
}

json_t *upstream_run_times(const struct upstream *upstream)
{
	json_t *runs = json_object();
	const struct upstream_run *run;

	for (run = upstream->runs; run; run = run->hh.next)
		json_object_set_new(runs, run->id,
				    json_pack("[i,I,I,b]", (int)run->count,
					      (json_int_t)run->first_us,
					      (json_int_t)run->end_us,
					      run->aborted));
	return runs;
}
