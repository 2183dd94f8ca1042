#ifndef CALL_NAMES_H
#define CALL_NAMES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/interface.h"

/**
 * DOC: names
 *
 * Names of the HTTP header fields that a node exchanges with callers and
 * upstreams, one table for each external interface. A name is NULL if the
 * interface lacks the field; the field is then neither read nor written.
 */

/**
 * struct call_names - header fields and HTTP rules of one interface
 * @by_host: true if requests are routed by Host and path, false if by the
 *	name of the service
 * @reads_tenant: true if callers may name the tenant in @tenant; false if only
 *	the node sets the field, for the upstream
 * @prefix: fields whose names begin with this prefix belong to the node and
 *	are not passed on
 * @dropped: names of further fields that are not passed on; ends with NULL
 * @service: request field with the name of the called service; the fields up
 *	to @request_id are request fields, too
 * @tenant: request field that names the tenant, also sent to the upstream
 * @key: request field with the key of a tenant
 * @key_scheme: name in front of the key in @key; its case is ignored
 * @deadline_ms: request field with the time that the caller waits, in
 *	milliseconds; also sent to the upstream
 * @passes_request_id: true if the upstream gets the request ID as the caller
 *	wrote it
 * @verdict: field of the answer to the caller, as are the fields up to
 *	@retry_after_ms
 * @fractional_retry_after: true if Retry-After may hold a fraction of a second
 * @deadline_status: HTTP status for a request that did not run before its
 *	deadline
 * @caller_service: field that names the calling service to the upstream
 * @target_id: field with the ID of the upstream incarnation that the request
 *	is for
 * @wrong_target_status: status by which another incarnation of the upstream
 *	refuses a request without running it; 0 if there is none
 * @not_run: field of an answer which proves that the upstream has not run the
 *	request
 * @not_run_value: required value of @not_run; NULL accepts any value
 * @instance_id: field of an answer with the ID of the upstream incarnation
 *	that sent it
 * @load: field of an answer with the load of the upstream as
 *	"running,waiting,slots", see upstream_load_parse()
 * @rate_limit: field of an answer with the number of requests that the upstream
 *	takes in a second
 * @leaving: field of an answer of an upstream that stops soon, with the value 1
 * @close_delimited: true if an answer may lack a length and end with its
 *	connection
 * @idle_max_ms: longest idle time of a connection that may carry a request
 *	which is not idempotent, in milliseconds; 0 requires a new connection
 * @upstream_marker: field present in each answer of an upstream that ran the
 *	request
 */
struct call_names {
	bool by_host;
	bool reads_tenant;
	const char *prefix;
	const char *const *dropped;
	const char *service;
	const char *tenant;
	const char *key;
	const char *key_scheme;
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
	const char *rate_limit;
	const char *leaving;
	bool close_delimited;
	int64_t idle_max_ms;
	const char *upstream_marker;
};

/** call_names() - returns the static table of an interface. */
const struct call_names *call_names(enum interface_form form);

/** call_names_is_dropped() - returns true if a field is not passed on. */
bool call_names_is_dropped(const struct call_names *names, const char *name);

#endif
