#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "os/clock.h"
#include "profile/tenant.h"
#include "soak/soak.h"

enum {
	/* Indexes of the tenants of the load. */
	FREE = 0,
	LIMITED = 1,
	CHANGING = 2, /* one for each key */
	UNKNOWN = CHANGING + SOAK_KEYS,
	WITHOUT_KEY,
	LOAD_TENANTS,
	/* On average one acceptance of this number takes a key away, and one
	 * lowers the limit. */
	CHANGE_INTERVAL = 6,
	BURST = 20,
	QUOTA_SLACK = 20,
	PROFILE_SIZE = 8192,
	PRINTED_MAX = 20,
	STATUS_UNAUTHORIZED = 401,
	STATUS_TOO_MANY = 429,
};

static const double quota_overage = 1.1;
static const double limits[SOAK_LIMITS] = { 40, 20, 10 };
static const char public_path[] = "/open";

/* Callers also name a tenant, which nodes must not pass on. */
static const struct load_tenant load_tenants[LOAD_TENANTS] = {
	[FREE] = { .name = "limited", .key = "key-free", .share = 60 },
	[LIMITED] = { .name = "free", .key = "key-limited", .share = 1 },
	[CHANGING] = { .name = "free", .key = "key-changing-0", .share = 4 },
	{ .name = "free", .key = "key-changing-1", .share = 4 },
	{ .name = "free", .key = "key-changing-2", .share = 4 },
	{ .name = "free", .key = "key-changing-3", .share = 4 },
	[UNKNOWN] = { .name = "free", .key = "key-unknown", .share = 2 },
	[WITHOUT_KEY] = { .name = "free", .share = 2 },
};

enum { FAR_OVER_SHARE = 15 };

/**
 * struct run - the first run of a request, on any upstream
 * @tenant: tenant that the upstream was told; NULL if the request did not run
 * @at_us: time of the run, monotonic clock
 */
struct run {
	const char *tenant;
	int64_t at_us;
};

/**
 * struct findings - what is wrong
 * @wrong_tenant: runs whose upstream was told another tenant
 * @unknown_ran: requests without a key, or with one of no version, that ran
 * @removed_ran: requests that ran although their key had been taken away
 * @refused: requests with a valid key that were refused as if it were unknown
 * @peak: largest excess over the bound of a window; 0 or less: none
 */
struct findings {
	uint32_t wrong_tenant;
	uint32_t unknown_ran;
	uint32_t removed_ran;
	uint32_t refused;
	double peak;
};

const char *soak_public_path(const struct soak *soak)
{
	if (soak->target_platform)
		return "/read/1";
	return soak->tenants.on ? public_path : "/read";
}

static size_t print_key(char *text, size_t size, const char *key)
{
	struct key_digest digest = key_digest_of(key, strlen(key));
	char hex[KEY_DIGEST_TEXT_SIZE];

	return (size_t)snprintf(text, size, "\"%s\", ",
				key_digest_text(&digest, hex));
}

static const char *profile(const struct soak *soak)
{
	static char text[PROFILE_SIZE];
	const struct soak_tenants *tenants = &soak->tenants;
	size_t used = (size_t)snprintf(
		text, sizeof(text),
		"%s[[route]]\nmethod = \"GET\"\npath = \"%s\"\n"
		"kind = \"read\"\npublic = true\n[tenant.free]\nkeys = [",
		bench_profile(soak->step), public_path);
	uint32_t i;

	used += print_key(text + used, sizeof(text) - used,
			  load_tenants[FREE].key);
	used += (size_t)snprintf(text + used, sizeof(text) - used,
				 "]\n[tenant.limited]\nper_s = %g\n"
				 "burst = %d\nkeys = [",
				 limits[tenants->lowered], BURST);
	used += print_key(text + used, sizeof(text) - used,
			  load_tenants[LIMITED].key);
	used += (size_t)snprintf(text + used, sizeof(text) - used,
				 "]\n[tenant.changing]\nkeys = [");
	for (i = tenants->removed; i < SOAK_KEYS; i++)
		used += print_key(text + used, sizeof(text) - used,
				  load_tenants[CHANGING + i].key);
	snprintf(text + used, sizeof(text) - used, "]\n");
	return text;
}

void soak_begin_tenants(struct soak *soak, uint64_t seed,
			struct load_options *options)
{
	random_init(&soak->tenants.random, seed ^ UINT32_MAX);
	soak->tenants.far_over = seed % 2 == 1;
	memcpy(options->tenants, load_tenants, sizeof(load_tenants));
	options->tenant_count = LOAD_TENANTS;
	if (soak->tenants.far_over)
		options->tenants[LIMITED].share = FAR_OVER_SHARE;
	options->kinds[options->kind_count++] =
		(struct load_kind){ .name = "open",
				    .method = "GET",
				    .path = public_path,
				    .service = "seal-desk",
				    .share = 0.5,
				    .deadline_ms = SOAK_DEADLINE_MS };
}

static void draw_change(struct soak_tenants *tenants)
{
	if (!random_below(&tenants->random, CHANGE_INTERVAL) &&
	    tenants->removed < SOAK_KEYS)
		tenants->removed++;
	if (!random_below(&tenants->random, CHANGE_INTERVAL) &&
	    tenants->lowered + 1 < SOAK_LIMITS)
		tenants->lowered++;
}

static void acknowledge(struct soak_tenants *tenants)
{
	int64_t now_us = clock_monotonic_us();
	uint32_t i;

	for (i = 0; i < tenants->removed; i++)
		if (!tenants->removed_us[i])
			tenants->removed_us[i] = now_us;
	for (i = 0; i <= tenants->lowered; i++)
		if (!tenants->lowered_us[i])
			tenants->lowered_us[i] = now_us;
}

uint64_t soak_accept(struct soak *soak, uint32_t i)
{
	struct soak_tenants *tenants = &soak->tenants;
	uint64_t version;

	if (soak->target_platform)
		return soak_write_document(soak);
	if (!tenants->on)
		return cluster_accept(&soak->cluster, i, "default",
				      bench_profile(soak->step));
	if (soak->load.count)
		draw_change(tenants);
	version = cluster_accept(&soak->cluster, i, "default", profile(soak));
	if (version)
		acknowledge(tenants);
	return version;
}

/* Returns the time from which no node goes by what a version accepted at
 * @accepted_us has replaced; INT64_MAX if that may go on until the end. */
static int64_t in_force_us(const struct soak_tenants *tenants,
			   int64_t accepted_us)
{
	int64_t from_us = accepted_us > tenants->faults_end_us
				  ? accepted_us
				  : tenants->faults_end_us;

	if (!accepted_us || !tenants->faults_end_us)
		return INT64_MAX;
	return from_us + SOAK_IN_FORCE_MS * US_PER_MS;
}

static struct run find_run(const struct soak *soak, uint32_t index,
			   json_t *const seen[])
{
	struct run run = { .tenant = NULL };
	char id[LOAD_ID_SIZE];
	uint32_t i;

	load_id(&soak->load, index, id);
	for (i = 0; i < soak->count; i++) {
		const json_t *entry =
			json_object_get(json_object_get(seen[i], "runs"), id);
		int64_t at_us = json_integer_value(json_array_get(entry, 1));

		if (!entry || (run.tenant && run.at_us <= at_us))
			continue;
		run.tenant = json_string_value(json_array_get(entry, 0));
		run.at_us = at_us;
	}
	return run;
}

static bool is_public(const struct soak *soak, const struct load_record *record)
{
	return !strcmp(soak->load.options.kinds[record->kind].path,
		       public_path);
}

static const char *expected_tenant(const struct soak *soak,
				   const struct load_record *record)
{
	if (is_public(soak, record))
		return "";
	if (record->tenant == FREE)
		return "free";
	return record->tenant == LIMITED ? "limited" : "changing";
}

/* Counts a finding and prints the first ones. */
static void report(const struct soak *soak, uint32_t index, const char *what,
		   const struct run *run, uint32_t *count)
{
	const struct load_record *record = &soak->load.records[index];
	const char *key = load_tenants[record->tenant].key;
	char id[LOAD_ID_SIZE];

	if (++*count > PRINTED_MAX)
		return;
	fprintf(stderr,
		"%s: %s with %s by %s, sent at %.3f s, faults ended at %.3f s, "
		"status %u, told \"%s\"\n",
		what, load_id(&soak->load, index, id), key ? key : "no key",
		soak->cluster.nodes[record->target].instance,
		(double)record->sent_us / US_PER_S,
		(double)soak->tenants.faults_end_us / US_PER_S, record->status,
		run->tenant ? run->tenant : "");
}

static bool key_was_removed(const struct soak *soak,
			    const struct load_record *record)
{
	uint32_t key = record->tenant - CHANGING;

	return record->tenant >= CHANGING && key < SOAK_KEYS &&
	       record->sent_us > in_force_us(&soak->tenants,
					     soak->tenants.removed_us[key]);
}

/* Returns true for a key that every version has held. */
static bool key_is_valid(const struct soak *soak,
			 const struct load_record *record)
{
	return record->tenant < UNKNOWN &&
	       (record->tenant < CHANGING ||
		record->tenant - CHANGING >= soak->tenants.removed);
}

static void check_key(const struct soak *soak, uint32_t index,
		      const struct run *run, struct findings *findings)
{
	const struct load_record *record = &soak->load.records[index];

	if (!run->tenant) {
		if (record->status == STATUS_UNAUTHORIZED &&
		    (key_is_valid(soak, record) || is_public(soak, record)))
			report(soak, index, "a valid key was refused", run,
			       &findings->refused);
		return;
	}
	if (record->tenant >= UNKNOWN && !is_public(soak, record))
		report(soak, index, "ran without a valid key", run,
		       &findings->unknown_ran);
	else if (key_was_removed(soak, record) && !is_public(soak, record))
		report(soak, index, "ran after its key was taken away", run,
		       &findings->removed_ran);
	else if (strcmp(run->tenant, expected_tenant(soak, record)) != 0)
		report(soak, index, "told another tenant", run,
		       &findings->wrong_tenant);
}

/* Returns the highest rate that may be in force in a window that begins then.
 * A lower limit binds once it is in force and one window has passed. */
static double rate_at(const struct soak_tenants *tenants, int64_t begin_us)
{
	uint32_t i = 0;

	while (i + 1 < SOAK_LIMITS) {
		int64_t from_us =
			in_force_us(tenants, tenants->lowered_us[i + 1]);

		if (from_us == INT64_MAX ||
		    begin_us < from_us + SOAK_QUOTA_WINDOW_MS * US_PER_MS)
			break;
		i++;
	}
	return limits[i];
}

static bool counts_for_limit(const struct soak *soak, uint32_t index,
			     const struct run *runs)
{
	const struct load_record *record = &soak->load.records[index];

	return record->tenant == LIMITED && runs[index].tenant &&
	       !is_public(soak, record);
}

/* Checks the window that begins as request @first is sent. */
static void check_window(const struct soak *soak, uint32_t first,
			 const struct run *runs, struct findings *findings)
{
	const struct load_record *records = soak->load.records;
	int64_t begin_us = records[first].sent_us;
	int64_t end_us = begin_us + SOAK_QUOTA_WINDOW_MS * US_PER_MS;
	double bound = (rate_at(&soak->tenants, begin_us) *
				SOAK_QUOTA_WINDOW_MS / MS_PER_S +
			BURST) *
			       quota_overage +
		       QUOTA_SLACK;
	uint32_t count = 0;
	uint32_t i;

	/* Records are in the order of sending. */
	for (i = first; i < soak->load.count && records[i].sent_us < end_us;
	     i++)
		if (counts_for_limit(soak, i, runs) && runs[i].at_us < end_us)
			count++;
	if (count - bound > findings->peak)
		findings->peak = count - bound;
}

static void print_limited(const struct soak *soak, const struct run *runs)
{
	uint32_t sent = 0;
	uint32_t ran = 0;
	uint32_t refused = 0;
	uint32_t i;

	for (i = 0; i < soak->load.count; i++) {
		const struct load_record *record = &soak->load.records[i];

		if (record->tenant != LIMITED || is_public(soak, record))
			continue;
		sent++;
		ran += runs[i].tenant != NULL;
		refused += record->status == STATUS_TOO_MANY;
	}
	printf("  tenants: %u keys taken away, limit at last %g; of %u "
	       "requests %s the limit %u ran, %u refused with 429\n",
	       soak->tenants.removed, limits[soak->tenants.lowered], sent,
	       soak->tenants.far_over ? "far over" : "within", ran, refused);
}

static void check_runs(const struct soak *soak, json_t *const seen[])
{
	struct run *runs = calloc(soak->load.count + 1, sizeof(*runs));
	struct findings findings = { 0 };
	uint32_t i;

	if (!runs)
		abort();
	for (i = 0; i < soak->load.count; i++) {
		runs[i] = find_run(soak, i, seen);
		check_key(soak, i, &runs[i], &findings);
	}
	for (i = 0; i < soak->load.count; i++)
		if (counts_for_limit(soak, i, runs))
			check_window(soak, i, runs, &findings);
	print_limited(soak, runs);
	if (findings.peak > 0)
		fprintf(stderr, "%.0f requests over the bound of a window\n",
			findings.peak);
	bench_must(!findings.wrong_tenant,
		   "every upstream is told the tenant of the key");
	bench_must(!findings.unknown_ran,
		   "no request runs without a key of some version");
	bench_must(!findings.removed_ran,
		   "a key that was taken away is refused in time");
	bench_must(!findings.refused, "no valid key is refused");
	bench_must(findings.peak <= 0, "the limit holds over all nodes");
	free(runs);
}

void soak_check_tenants(struct soak *soak)
{
	json_t *seen[SOAK_NODES_MAX] = { NULL };
	json_int_t keys_shown = 0;
	uint32_t i;

	if (!soak->tenants.on)
		return;
	for (i = 0; i < soak->count; i++) {
		seen[i] = cluster_upstream_tenants(&soak->cluster, i);
		bench_must(seen[i] != NULL,
			   "the tenants told to an upstream can be read");
		keys_shown += json_integer_value(
			json_object_get(seen[i], "keys_shown"));
	}
	bench_must(!keys_shown, "no key reaches an upstream");
	check_runs(soak, seen);
	for (i = 0; i < soak->count; i++)
		json_decref(seen[i]);
}
