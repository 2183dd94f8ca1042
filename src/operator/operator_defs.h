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
 * Types shared by the server of the operators' interface and its request
 * handlers (views.h, drill.h, profiles.h).
 */

enum {
	OPERATOR_SECTIONS_MAX = 32,
	OPERATOR_CHECKS_MAX = 32,
	OPERATOR_NAME_SIZE = 32,
	OPERATOR_TOKEN_SIZE = 256,
	OPERATOR_BODY_MAX_BYTES = 1024 * 1024,
};

/**
 * typedef operator_section_fn - builds one section of the dump
 *
 * Return: a new reference; NULL if the section cannot be represented as JSON.
 */
typedef json_t *operator_section_fn(void *data);

/** typedef operator_check_fn - sets @finding if there is a problem. */
typedef void operator_check_fn(struct health_finding *finding, void *data);

/** typedef operator_status_fn - fills in @status, zero except @instance. */
typedef void operator_status_fn(struct operator_status *status, void *data);

/** typedef operator_drill_fn - blocks exactly the networks of @filter. */
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
 * struct operator_server - the operators' interface of one node; see server.h
 * @loop: event loop; not owned
 * @http: the HTTP server
 * @editor: runs the commands on profiles; not owned, NULL without a platform
 * @tasks: commands on profiles in progress; owned
 * @token: token required for changes; empty for none
 * @instance: name of this node
 * @status: fills in the status; may be NULL
 * @status_data: argument of @status
 * @drill: blocks networks; NULL if the node supports no drills
 * @drill_data: argument of @drill
 * @drill_filter: networks blocked by the current drill
 * @sections: sections of the dump
 * @section_count: number of entries in @sections
 * @checks: health checks
 * @check_count: number of entries in @checks
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
