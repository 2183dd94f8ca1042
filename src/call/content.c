#include "call/content.h"

#include <stdio.h>

#include "call/headers.h"

enum { CALLER_SIZE = SERVICE_NAME_SIZE + TENANT_SIZE };

/* Returns the calling service and the tenant as one text. Without a tenant it
 * is the calling service alone. */
static const char *caller_of(const struct call_content *content,
			     char text[CALLER_SIZE])
{
	const char *service =
		headers_find(&content->headers, content->names->caller_service);

	if (!*content->tenant)
		return service;
	snprintf(text, CALLER_SIZE, "%s\n%s", service, content->tenant);
	return text;
}

struct fingerprint call_content_fingerprint(const struct fingerprint_key *key,
					    const struct call_content *content)
{
	const struct call_names *names = content->names;
	char caller[CALLER_SIZE];
	struct fingerprint_input input = {
		.method = content->method,
		.host = content->service,
		.target = content->target,
		.caller = content->tenant,
		.body = content->body,
		.body_size = content->body_size,
	};

	if (names->by_host)
		input.host = headers_find(&content->headers, "Host");
	if (names->caller_service)
		input.caller = caller_of(content, caller);
	return fingerprint_of(key, &input);
}
