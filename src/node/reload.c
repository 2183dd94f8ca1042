#include <stdlib.h>

#include "base/log.h"
#include "node/node_defs.h"

/**
 * DOC: reload
 *
 * The settings file has changed while the process runs. Seeds are taken over
 * at once; everything else is fixed at the start, because addresses and
 * limits that change under calls in progress would cut them. A file with any
 * fault changes nothing.
 */

static const char slice[] = "node";

static void take_seeds(struct node *node, const struct settings_peers *peers)
{
	uint32_t i;

	for (i = 0; i < peers->seed_count; i++)
		gossip_add_seed(&node->gossip, &peers->seeds[i]);
}

void node_reload(struct node *node)
{
	struct faults *faults = calloc(1, sizeof(*faults));
	struct settings *settings = calloc(1, sizeof(*settings));
	struct error err = ERROR_INIT;

	if (!faults || !settings)
		abort();
	if (!settings_load(settings, node->settings_path, faults, &err)) {
		log_error(slice, "reload_refused",
			  LOG_TEXT("reason", err.text));
	} else {
		take_seeds(node, &settings->peers);
		log_info(slice, "reloaded",
			 LOG_NUMBER("seeds", settings->peers.seed_count));
	}
	free(settings);
	free(faults);
}
