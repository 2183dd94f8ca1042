#ifndef OPERATOR_OPERATOR_DEFS_H
#define OPERATOR_OPERATOR_DEFS_H

#include <jansson.h>
#include <stdint.h>

#include "base/address.h"
#include "event/loop.h"
#include "http/server.h"
#include "operator/health.h"
#include "operator/status.h"
#include "wire/filter.h"

/**
 * DOC: operator definitions
 *
 * What the server of the operators' interface and those who answer its
 * exchanges (views.h, drill.h, profiles.h) share.
 */

enum {
	OPERATOR_SECTIONS_MAX = 32,
	OPERATOR_CHECKS_MAX = 32,
	OPERATOR_NAME_SIZE = 32,
	OPERATOR_TOKEN_SIZE = 256,
	OPERATOR_BODY_MAX_BYTES = 1024 * 1024,
};

/** typedef operator_section_fn - one section of the dump; a new reference. */
typedef json_t *operator_section_fn(void *data);

typedef void operator_check_fn(struct health_finding *finding, void *data);

/** typedef operator_status_fn - fill in a status that is all zero. */
typedef void operator_status_fn(struct operator_status *status, void *data);

/** typedef operator_drill_fn - cut off the networks of @filter, and no others. */
typedef void operator_drill_fn(const struct wire_filter *filter, void *data);

struct operator_section {
	char name[OPERATOR_NAME_SIZE];
	operator_section_fn *dump;
	void *data;
};

struct operator_check {
	char name[OPERATOR_NAME_SIZE];
	operator_check_fn *check;
	void *data;
};

struct editor;
struct profile_task;

/**
 * struct operator_server - the interface of one node; see server.h
 * @tasks: commands on profiles in progress
 * @drill_filter: networks that are cut off now
 */
struct operator_server {
	struct loop *loop;
	struct http_server http;
	struct editor *editor;
	struct profile_task *tasks;
	char token[OPERATOR_TOKEN_SIZE];
	char instance[NAME_SIZE];
	operator_status_fn *status;
	void *status_data;
	operator_drill_fn *drill;
	void *drill_data;
	struct wire_filter drill_filter;
	struct operator_section sections[OPERATOR_SECTIONS_MAX];
	uint32_t section_count;
	struct operator_check checks[OPERATOR_CHECKS_MAX];
	uint32_t check_count;
};

#endif
