#ifndef BENCH_COMMON_H
#define BENCH_COMMON_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "fleet/cluster.h"

/**
 * DOC: bench
 *
 * What the benches share: figures as JSON lines, quantiles, what a process
 * has used, and the profile that all benches run under.
 */

enum { SAMPLES_MAX = 200000 };

/** struct samples - values of one figure; init with zeroes. */
struct samples {
	double *values;
	uint32_t count;
	uint32_t capacity;
};

void samples_add(struct samples *samples, double value);

/** samples_quantile() - sorts; 0 if there are none. */
double samples_quantile(struct samples *samples, double share);

void samples_finish(struct samples *samples);

/** struct usage - what one process has used so far. */
struct usage {
	double cpu_s;
	double rss_mb;
};

struct usage usage_of(pid_t pid);

/** bench_build() - take the build directory from the command line. */
void bench_build(int argc, char **argv);

/**
 * bench_report() - print one figure
 * @extra: more members, like "\"nodes\":8", or NULL
 */
void bench_report(const char *name, double value, const char *unit,
		  const char *extra);

/**
 * bench_must() - fail the bench unless @holds, saying what was missed
 *
 * Return: @holds.
 */
bool bench_must(bool holds, const char *what);

/** bench_status() - exit status: 0 if every bench_must() held. */
int bench_status(void);

/**
 * bench_profile_print() - the profile that all benches run under
 * @text: up to @size bytes
 * @service: for whom it is; "*" for all
 * @generation: varies it
 * @added_ms: to the deadline of the kind that takes longest
 *
 * Return: bytes written.
 */
size_t bench_profile_print(char *text, size_t size, const char *service,
			   uint32_t generation, uint32_t added_ms);

/** bench_profile() - a profile of all services; @generation varies it. */
const char *bench_profile(uint32_t generation);

/**
 * bench_ready() - until all nodes know each other, have bench_profile(0) in
 * force and route every service
 */
bool bench_ready(struct cluster *cluster);

/**
 * bench_begin() - until all @nodes know each other, the first version is in
 * force everywhere and every service is routed
 */
bool bench_begin(struct cluster *cluster, uint32_t nodes);

/** bench_control_bytes() - control bytes of node @i, both ways, so far. */
int64_t bench_control_bytes(struct cluster *cluster, uint32_t i);

/** bench_store_calls() - calls that the platform's stand-in has counted. */
int64_t bench_store_calls(struct cluster *cluster, const char *member);

/** bench_upstream_stats() - what upstream @i has run; owned by the caller. */
json_t *bench_upstream_stats(struct cluster *cluster, uint32_t i);

/** bench_sleep_ms() - wait. */
void bench_sleep_ms(int64_t ms);

/**
 * bench_in_force_ms() - when node @i put a version in force, by its log
 *
 * Return: wall clock, 0 if the log does not tell.
 */
int64_t bench_in_force_ms(struct cluster *cluster, uint32_t i,
			  uint64_t version);

/** bench_versions_reverted() - versions that went back, by all logs. */
int64_t bench_versions_reverted(struct cluster *cluster);

#endif
