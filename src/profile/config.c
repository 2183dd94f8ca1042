#include "profile/config.h"

#include <stdlib.h>
#include <string.h>

struct config *config_new(uint32_t count)
{
	struct config *config = calloc(1, sizeof(*config));

	if (!config)
		abort();
	config->profiles = calloc(count + 1, sizeof(*config->profiles));
	if (!config->profiles)
		abort();
	config->profile_count = count;
	config->references = 1;
	return config;
}

struct config *config_ref(struct config *config)
{
	config->references++;
	return config;
}

void config_unref(struct config *config)
{
	uint32_t i;

	if (!config || --config->references)
		return;
	for (i = 0; i < config->profile_count; i++)
		profile_free(config->profiles[i].profile);
	free(config->profiles);
	free(config);
}

static int compare_name(const void *name, const void *entry)
{
	const struct config_profile *profile = entry;

	return strcmp(name, profile->profile->name);
}

const struct config_profile *config_find_entry(const struct config *config,
					       const char *name)
{
	return bsearch(name, config->profiles, config->profile_count,
		       sizeof(*config->profiles), compare_name);
}

const struct profile *config_find(const struct config *config, const char *name)
{
	const struct config_profile *found = config_find_entry(config, name);

	return found ? found->profile : NULL;
}
