#ifndef NODE_REPORT_H
#define NODE_REPORT_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <uthash.h>

#include "call/call_defs.h"
#include "membership/record.h"

/**
 * DOC: report
 *
 * Accounts for the requests of a bad hour from the log lines of any number of
 * nodes: how many were served in time, late, refused or failed, by service,
 * kind, data centre and reason, and over time, beside what changed in what the
 * nodes believed. One pass over the lines; memory is bounded by the rows kept,
 * not by the lines.
 */

enum {
	REPORT_ROWS_MAX = 4096,	   /* more are counted together */
	REPORT_TIMES_MAX = 100000, /* a day of seconds and more */
	REPORT_REASON_SIZE = 32,
};

/** enum report_outcome - what became of a request, as its caller sees it. */
enum report_outcome {
	REPORT_IN_TIME,
	REPORT_LATE,
	REPORT_REFUSED, /* certainly not run */
	REPORT_FAILED,
	REPORT_LEFT, /* the caller did not wait for the end */
	REPORT_OUTCOMES,
};

/** struct report_place - what a row of the account is about. */
struct report_place {
	char service[SERVICE_NAME_SIZE];
	char kind[KIND_NAME_SIZE];
	char data_centre[NAME_SIZE];
	char reason[REPORT_REASON_SIZE];
	enum report_outcome outcome;
};

struct report_row {
	struct report_place place;
	uint64_t count;
	UT_hash_handle hh;
};

/**
 * struct report_time - one span of time
 * @at_s: its beginning, since 1970
 * @beliefs: lines of changes: versions, upstreams, members
 */
struct report_time {
	int64_t at_s;
	uint64_t counts[REPORT_OUTCOMES];
	uint64_t beliefs;
	UT_hash_handle hh;
};

/**
 * struct report - the account
 * @span_s: length of a span
 * @requests: lines that told the end of a request
 * @damaged: lines with an object that could not be read
 * @unlisted: requests and changes for whose row or span there was no room
 */
struct report {
	int64_t span_s;
	struct report_row *rows;
	struct report_time *times;
	uint64_t totals[REPORT_OUTCOMES];
	uint64_t requests;
	uint64_t damaged;
	uint64_t unlisted;
};

void report_init(struct report *report, int64_t span_s);
void report_finish(struct report *report);

/** report_take() - one line; what stands before its JSON object is skipped. */
void report_take(struct report *report, const char *line);

/** report_json() - the account, owned by the caller. */
json_t *report_json(struct report *report);

/** report_print() - the account as tables for people. */
void report_print(struct report *report, FILE *out);

#endif
