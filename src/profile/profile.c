#include "profile/profile.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>

struct profile *profile_ref(struct profile *profile)
{
	profile->references++;
	return profile;
}

static void free_upstreams(struct profile *profile)
{
	uint32_t i;

	for (i = 0; i < profile->upstream_count; i++)
		free(profile->upstreams[i].health_check);
	free(profile->upstreams);
}

static void free_tenants(struct profile *profile)
{
	uint32_t i;

	for (i = 0; i < profile->tenant_count; i++)
		free(profile->tenants[i].digests);
	free(profile->tenants);
}

void profile_free(struct profile *profile)
{
	if (!profile)
		return;
	if (profile->references) {
		profile->references--;
		return;
	}
	free(profile->services);
	free(profile->kinds);
	free(profile->routes);
	free(profile->host_rules);
	free(profile->host_routes);
	free(profile->host_parts);
	free(profile->host_strings);
	free_upstreams(profile);
	free_tenants(profile);
	free(profile);
}

bool profile_name_valid(const char *name, size_t max_size)
{
	const char *at;

	if (!islower((unsigned char)*name) && !isdigit((unsigned char)*name))
		return false;
	for (at = name; *at; at++)
		if (!islower((unsigned char)*at) &&
		    !isdigit((unsigned char)*at) && !strchr("-_.", *at))
			return false;
	return (size_t)(at - name) < max_size;
}

bool profile_covers(const struct profile *profile, const char *service)
{
	uint32_t i;

	for (i = 0; i < profile->service_count; i++)
		if (!strcmp(profile->services[i], "*") ||
		    !strcmp(profile->services[i], service))
			return true;
	return false;
}

/* Returns 0 if the route does not match. Otherwise the rank grows with the
 * length of the path; at the same length a complete path has a higher rank than
 * a prefix, and then a named method has a higher rank than "*". */
static size_t match_rank(const struct profile_route *route, const char *method,
			 const char *path)
{
	size_t length = strlen(route->path);
	bool is_prefix = length && route->path[length - 1] == '*';
	bool has_method = strcmp(route->method, "*") != 0;

	if (has_method && strcmp(route->method, method))
		return 0;
	if (is_prefix)
		length--;
	if (strncmp(route->path, path, length) || (!is_prefix && path[length]))
		return 0;
	return 1 + length * 4 + (is_prefix ? 0 : 2) + (has_method ? 1 : 0);
}

const struct profile_route *profile_match_route(const struct profile *profile,
						const char *method,
						const char *path)
{
	const struct profile_route *best = NULL;
	size_t best_rank = 0;
	uint32_t i;

	for (i = 0; i < profile->route_count; i++) {
		const struct profile_route *route = &profile->routes[i];
		size_t rank = match_rank(route, method, path);

		if (rank <= best_rank)
			continue;
		best_rank = rank;
		best = route;
	}
	return best;
}

const struct kind *profile_match(const struct profile *profile,
				 const char *method, const char *path)
{
	const struct profile_route *route =
		profile_match_route(profile, method, path);

	return route ? &profile->kinds[route->kind] : NULL;
}
