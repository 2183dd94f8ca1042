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
 * Counts requests in the log lines of any number of nodes: how many were served
 * in time, late, refused, failed or cancelled, by service, kind, data centre
 * and reason, by tenant, and per span of time together with the changes in the
 * state of the nodes. The lines are read in one pass, and memory is bounded by
 * the maximum number of rows and spans, not by the number of lines.
 */

enum {
	TALLY_ROWS_MAX = 4096,	  /* requests beyond count as unlisted */
	TALLY_SPANS_MAX = 100000, /* more than a day of seconds */
	TALLY_TENANTS_MAX = 4096,
	TALLY_REASON_SIZE = 32,
};

/** enum tally_outcome - result of a request, as seen by its caller. */
enum tally_outcome {
	TALLY_IN_TIME,
	TALLY_LATE,
	TALLY_REFUSED, /* the request did not run */
	TALLY_FAILED,
	TALLY_LEFT, /* the caller cancelled the request */
	TALLY_OUTCOMES,
};

/**
 * struct tally_key - key of a row; unused bytes must be zero
 * @service: name of the service
 * @kind: name of the kind
 * @data_centre: data centre of the caller's node
 * @reason: reason of the outcome
 * @outcome: outcome of the requests
 */
struct tally_key {
	char service[SERVICE_NAME_SIZE];
	char kind[KIND_NAME_SIZE];
	char data_centre[NAME_SIZE];
	char reason[TALLY_REASON_SIZE];
	enum tally_outcome outcome;
};

/**
 * struct tally_row - requests with the same key
 * @key: key of the row
 * @count: number of requests
 */
struct tally_row {
	struct tally_key key;
	uint64_t count;
	UT_hash_handle hh;
};

/**
 * struct tally_tenant - requests of one tenant
 * @name: name of the tenant
 * @counts: number of requests by outcome
 */
struct tally_tenant {
	char name[TENANT_SIZE];
	uint64_t counts[TALLY_OUTCOMES];
	UT_hash_handle hh;
};

/**
 * struct tally_span - one span of time
 * @at_s: start of the span, in seconds since 1970
 * @counts: number of requests by outcome
 * @state_changes: number of log lines about changes of versions, upstreams and
 *	members
 */
struct tally_span {
	int64_t at_s;
	uint64_t counts[TALLY_OUTCOMES];
	uint64_t state_changes;
	UT_hash_handle hh;
};

/**
 * struct tally - counts of requests
 * @span_s: length of a span, in seconds
 * @rows: hash table of the rows
 * @spans: hash table of the spans
 * @tenants: hash table of the tenants that lines name
 * @totals: number of requests by outcome
 * @requests: number of lines with the result of a request
 * @damaged: number of lines with an object that could not be parsed
 * @unlisted: number of requests and changes without a row, span or tenant,
 *	because the maximum number was reached
 */
struct tally {
	int64_t span_s;
	struct tally_row *rows;
	struct tally_span *spans;
	struct tally_tenant *tenants;
	uint64_t totals[TALLY_OUTCOMES];
	uint64_t requests;
	uint64_t damaged;
	uint64_t unlisted;
};

void tally_init(struct tally *tally, int64_t span_s);
void tally_finish(struct tally *tally);

/** tally_add_line() - count a line; text before its JSON object is ignored. */
void tally_add_line(struct tally *tally, const char *line);

/** tally_json() - return the counts as JSON, owned by the caller. */
json_t *tally_json(struct tally *tally);

/** tally_print() - print the counts as tables. */
void tally_print(struct tally *tally, FILE *out);

#endif
