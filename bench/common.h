#ifndef BENCH_COMMON_H
#define BENCH_COMMON_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "fleet/cluster.h"

/**
 * DOC: bench
 *
 * Functions shared by the benches: figures printed as JSON lines, quantiles,
 * the resource use of a process, and the profile that all benches use.
 */

enum { SAMPLES_MAX = 200000 };

/**
 * struct samples - values of one figure; all zero is empty
 * @values: array owned by the struct; samples_quantile() sorts it
 * @count: number of values
 * @capacity: number of values that fit into @values
 */
struct samples {
	double *values;
	uint32_t count;
	uint32_t capacity;
};

void samples_add(struct samples *samples, double value);

/**
 * samples_quantile() - compute a quantile; sorts the values
 * @fraction: of the values that lie below the quantile, 0 to 1
 *
 * Return: the quantile, 0 if there are no values.
 */
double samples_quantile(struct samples *samples, double fraction);

void samples_finish(struct samples *samples);

/**
 * struct usage - resource use of a process
 * @cpu_s: CPU time since its start, user and system, in seconds
 * @rss_mb: resident memory at present, in MiB
 */
struct usage {
	double cpu_s;
	double rss_mb;
};

/** usage_of() - resource use of process @pid; zeroes if /proc lacks it. */
struct usage usage_of(pid_t pid);

/** bench_build() - use the first argument, if any, as build directory. */
void bench_build(int argc, char **argv);

/**
 * bench_report() - print one figure as a JSON line
 * @extra: further JSON members, such as "\"nodes\":8", or NULL
 */
void bench_report(const char *name, double value, const char *unit,
		  const char *extra);

/**
 * bench_must() - fail the bench unless @holds, and print @what on stderr
 *
 * Return: @holds.
 */
bool bench_must(bool holds, const char *what);

/** bench_status() - exit status: 0 if every bench_must() held, otherwise 1. */
int bench_status(void);

/**
 * bench_profile_print() - write the profile that all benches use
 * @text: buffer for the profile, NUL-terminated
 * @size: size of @text in bytes
 * @service: service that the profile applies to, "*" for all services
 * @generation: number written into a comment, so that the texts differ
 * @added_ms: added to the deadline of the kind "seal", in ms
 *
 * Return: length of the profile in bytes, without the NUL.
 */
size_t bench_profile_print(char *text, size_t size, const char *service,
			   uint32_t generation, uint32_t added_ms);

/**
 * bench_profile() - profile that applies to all services
 * @generation: number that makes the texts and the deadlines differ
 *
 * Return: static text, valid until the next call.
 */
const char *bench_profile(uint32_t generation);

/**
 * bench_ready() - wait until all nodes are members, bench_profile(0) is in
 * force on all of them and every service is routed
 *
 * Return: false if a step fails or times out.
 */
bool bench_ready(struct cluster *cluster);

/**
 * bench_begin() - as bench_ready(), but with a longer timeout
 * @nodes: number of members to wait for
 *
 * Return: false if a step fails or times out.
 */
bool bench_begin(struct cluster *cluster, uint32_t nodes);

/** bench_control_bytes() - control bytes that node @i sent and received. */
int64_t bench_control_bytes(struct cluster *cluster, uint32_t i);

/**
 * bench_store_calls() - number of calls that the platform's stand-in counted
 * @member: member of its statistics, such as "total"
 */
int64_t bench_store_calls(struct cluster *cluster, const char *member);

/**
 * bench_upstream_stats() - statistics of upstream @i, with its list of runs
 *
 * Return: owned by the caller, NULL on failure.
 */
json_t *bench_upstream_stats(struct cluster *cluster, uint32_t i);

void bench_sleep_ms(int64_t ms);

/**
 * bench_in_force_ms() - time when node @i logged @version or a later version
 * as in force; waits a short time for the log line
 *
 * Return: wall clock in ms since 1970, 0 if the log lacks the event.
 */
int64_t bench_in_force_ms(struct cluster *cluster, uint32_t i,
			  uint64_t version);

/** bench_versions_reverted() - decreases of the version in all node logs. */
int64_t bench_versions_reverted(struct cluster *cluster);

#endif
