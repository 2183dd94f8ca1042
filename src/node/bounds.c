#include "node/bounds.h"

static size_t min_size(size_t a, size_t b)
{
	return a < b ? a : b;
}

static void raise_bounds(struct http_server_limits *bounds,
			 const struct caller_limits *profile_limits)
{
	if (profile_limits->header_bytes > (int64_t)bounds->max_head_bytes)
		bounds->max_head_bytes = (size_t)profile_limits->header_bytes;
	if (profile_limits->body_bytes > (int64_t)bounds->max_body_bytes)
		bounds->max_body_bytes = (size_t)profile_limits->body_bytes;
	if (profile_limits->header_timeout_ms > bounds->head_timeout_ms)
		bounds->head_timeout_ms = profile_limits->header_timeout_ms;
	if (profile_limits->idle_timeout_ms > bounds->idle_timeout_ms)
		bounds->idle_timeout_ms = profile_limits->idle_timeout_ms;
}

struct http_server_limits
bounds_from_config(const struct config *config,
		   const struct http_server_limits *maximum)
{
	struct http_server_limits bounds = { 0 };
	uint32_t i;

	for (i = 0; config && i < config->profile_count; i++) {
		const struct profile *profile = config->profiles[i].profile;

		if (profile->limits.present)
			raise_bounds(&bounds, &profile->limits);
	}
	if (!bounds.max_body_bytes)
		bounds.max_body_bytes = maximum->max_body_bytes;
	if (!bounds.idle_timeout_ms)
		bounds.idle_timeout_ms = maximum->idle_timeout_ms;
	bounds.max_head_bytes =
		min_size(bounds.max_head_bytes, maximum->max_head_bytes);
	bounds.max_body_bytes =
		min_size(bounds.max_body_bytes, maximum->max_body_bytes);
	return bounds;
}
