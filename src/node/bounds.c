#include "node/bounds.h"

static size_t lesser(size_t a, size_t b)
{
	return a < b ? a : b;
}

static void loosen(struct http_server_limits *bounds,
		   const struct caller_limits *by)
{
	if (by->header_bytes > (int64_t)bounds->max_head_bytes)
		bounds->max_head_bytes = (size_t)by->header_bytes;
	if (by->body_bytes > (int64_t)bounds->max_body_bytes)
		bounds->max_body_bytes = (size_t)by->body_bytes;
	if (by->header_timeout_ms > bounds->head_timeout_ms)
		bounds->head_timeout_ms = by->header_timeout_ms;
	if (by->idle_timeout_ms > bounds->idle_timeout_ms)
		bounds->idle_timeout_ms = by->idle_timeout_ms;
}

struct http_server_limits
bounds_from_config(const struct config *config,
		   const struct http_server_limits *most)
{
	struct http_server_limits bounds = { 0 };
	uint32_t i;

	for (i = 0; config && i < config->profile_count; i++) {
		const struct profile *profile = config->profiles[i].profile;

		if (profile->limits.present)
			loosen(&bounds, &profile->limits);
	}
	if (!bounds.max_body_bytes)
		bounds.max_body_bytes = most->max_body_bytes;
	if (!bounds.idle_timeout_ms)
		bounds.idle_timeout_ms = most->idle_timeout_ms;
	bounds.max_head_bytes =
		lesser(bounds.max_head_bytes, most->max_head_bytes);
	bounds.max_body_bytes =
		lesser(bounds.max_body_bytes, most->max_body_bytes);
	return bounds;
}
