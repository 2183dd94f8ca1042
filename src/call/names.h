#ifndef CALL_NAMES_H
#define CALL_NAMES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/interface.h"

/**
 * DOC: names
 *
 * The names of header fields towards callers and upstreams, one table for
 * each outer interface. A field that an interface lacks is NULL and is then
 * neither read nor written.
 */

/**
 * struct call_names - the fields of one interface
 * @by_host: requests are routed by Host and path, not by a service's name
 * @prefix: fields that begin so belong to this node and are not passed on
 * @dropped: further fields that are not passed on, ends with NULL
 * @service: asked for by the caller, as are all up to @request_id
 * @deadline_ms: how long the caller waits; also told to the upstream
 * @passes_request_id: the field goes to the upstream as the caller wrote it
 * @verdict: told to the caller, as are all up to @retry_after_ms
 * @fractional_retry_after: Retry-After may have a fraction of a second
 * @deadline_status: of a request that did not run before its deadline
 * @caller_service: tells the upstream which service the request comes from
 * @target_id: tells the upstream which start of it is meant
 * @wrong_target_status: it is another start, and has not run the request
 * @not_run: in an answer, proves that the upstream has not run the request
 * @not_run_value: what it must say; NULL for anything
 * @instance_id: in an answer, which start of the upstream gave it
 * @load: in an answer, "running,waiting,slots" of the upstream
 * @close_delimited: an answer may have no length and end with its connection
 * @idle_max_ms: requests that must not run twice go on no connection that was
 *	idle for longer; 0: on fresh ones only
 * @upstream_marker: in each answer of an upstream that ran the request
 */
struct call_names {
	bool by_host;
	const char *prefix;
	const char *const *dropped;
	const char *service;
	const char *tenant;
	const char *deadline_ms;
	const char *weight;
	const char *attempts;
	const char *hops;
	const char *kind;
	const char *request_id;
	bool passes_request_id;
	const char *verdict;
	const char *reason;
	const char *upstream;
	const char *retry_after_ms;
	bool fractional_retry_after;
	unsigned int deadline_status;
	const char *caller_service;
	const char *target_id;
	unsigned int wrong_target_status;
	const char *not_run;
	const char *not_run_value;
	const char *instance_id;
	const char *load;
	bool close_delimited;
	int64_t idle_max_ms;
	const char *upstream_marker;
};

/** call_names() - the table of an interface. */
const struct call_names *call_names(enum interface_form form);

/** call_names_is_dropped() - whether a field is not passed on to the other
 * side. */
bool call_names_is_dropped(const struct call_names *names, const char *name);

#endif
