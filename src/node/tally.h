#ifndef NODE_TALLY_H
#define NODE_TALLY_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <uthash.h>

#include "call/call_defs.h"
#include "membership/record.h"

/**
 * DOC: tally
 *
 * Accounts for the requests of a bad hour from the log lines of any number of
 * nodes: how many were served in time, late, refused or failed, by service,
 * kind, data centre and reason, and over time, beside what changed in what the
 * nodes believed. One pass over the lines; memory is bounded by the rows kept,
 * not by the lines.
 */

enum {
	TALLY_ROWS_MAX = 4096,	  /* more are counted together */
	TALLY_SPANS_MAX = 100000, /* a day of seconds and more */
	TALLY_REASON_SIZE = 32,
};

/** enum tally_outcome - what became of a request, as its caller sees it. */
enum tally_outcome {
	TALLY_IN_TIME,
	TALLY_LATE,
	TALLY_REFUSED, /* certainly not run */
	TALLY_FAILED,
	TALLY_LEFT, /* the caller did not wait for the end */
	TALLY_OUTCOMES,
};

/** struct tally_key - what a row of the account is about. */
struct tally_key {
	char service[SERVICE_NAME_SIZE];
	char kind[KIND_NAME_SIZE];
	char data_centre[NAME_SIZE];
	char reason[TALLY_REASON_SIZE];
	enum tally_outcome outcome;
};

struct tally_row {
	struct tally_key key;
	uint64_t count;
	UT_hash_handle hh;
};

/**
 * struct tally_span - one span of time
 * @at_s: its beginning, since 1970
 * @state_changes: lines of changes: versions, upstreams, members
 */
struct tally_span {
	int64_t at_s;
	uint64_t counts[TALLY_OUTCOMES];
	uint64_t state_changes;
	UT_hash_handle hh;
};

/**
 * struct tally - the account
 * @span_s: length of a span
 * @requests: lines that told the end of a request
 * @damaged: lines with an object that could not be read
 * @unlisted: requests and changes for whose row or span there was no room
 */
struct tally {
	int64_t span_s;
	struct tally_row *rows;
	struct tally_span *spans;
	uint64_t totals[TALLY_OUTCOMES];
	uint64_t requests;
	uint64_t damaged;
	uint64_t unlisted;
};

void tally_init(struct tally *tally, int64_t span_s);
void tally_finish(struct tally *tally);

/** tally_add_line() - one line; what stands before its JSON object is skipped. */
void tally_add_line(struct tally *tally, const char *line);

/** tally_json() - the account, owned by the caller. */
json_t *tally_json(struct tally *tally);

/** tally_print() - the account as tables for people. */
void tally_print(struct tally *tally, FILE *out);

#endif
