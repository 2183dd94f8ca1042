#include "call/content.h"

#include "call/headers.h"

struct fingerprint call_content_fingerprint(const struct fingerprint_key *key,
					    const struct call_content *content)
{
	const struct call_names *names = content->names;
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
		input.caller =
			headers_find(&content->headers, names->caller_service);
	return fingerprint_of(key, &input);
}
