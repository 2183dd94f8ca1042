#include "call/names.h"

#include <string.h>
#include <strings.h>

#include "call/call_defs.h"
#include "http/server.h"
#include "platform/names.h"

enum { STATUS_GATEWAY_TIMEOUT = 504 };

static const char *const no_fields[] = { NULL };

static const struct call_names native_names = {
	.prefix = HEADER_PREFIX,
	.dropped = no_fields,
	.service = HEADER_SERVICE,
	.tenant = HEADER_TENANT,
	.reads_tenant = true,
	.key = "Authorization",
	.key_scheme = "Bearer",
	.deadline_ms = HEADER_DEADLINE,
	.weight = HEADER_WEIGHT,
	.attempts = HEADER_ATTEMPTS,
	.hops = HEADER_HOPS,
	.kind = HEADER_KIND,
	.request_id = HEADER_REQUEST_ID,
	.verdict = HEADER_VERDICT,
	.reason = HEADER_REASON,
	.upstream = HEADER_UPSTREAM,
	.retry_after_ms = HEADER_RETRY_AFTER_MS,
	.deadline_status = STATUS_GATEWAY_TIMEOUT,
	.not_run = HEADER_SHED,
	.rate_limit = HEADER_RATE_LIMIT,
	.leaving = HEADER_LEAVING,
	.not_run_value = "not-run",
};

const struct call_names *call_names(enum interface_form form)
{
	switch (form) {
	case INTERFACE_OWN:
		break;
	case INTERFACE_PLATFORM:
		return &platform_names;
	}
	return &native_names;
}

bool call_names_is_dropped(const struct call_names *names, const char *name)
{
	const char *const *dropped;

	if (!strncasecmp(name, names->prefix, strlen(names->prefix)) ||
	    !strcasecmp(name, "Content-Length") ||
	    http_header_is_hop_by_hop(name))
		return true;
	for (dropped = names->dropped; *dropped; dropped++)
		if (!strcasecmp(name, *dropped))
			return true;
	return false;
}
