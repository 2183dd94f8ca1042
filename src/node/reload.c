#include <stdlib.h>

#include "base/log.h"
#include "node/node_defs.h"
#include "os/clock.h"

/**
 * DOC: reload
 *
 * Reads the settings file again when it changes. New seeds are added at once.
 * All other settings are fixed at the start, because a change of addresses or
 * limits would abort calls in progress. A file with any fault is ignored. A
 * change is detected by SIGHUP or, for systems that replace the file without a
 * signal, by a periodic check of the stamp of the file.
 */

enum {
	/* A check costs one system call. */
	CHECK_INTERVAL_MS = 1000,
};

static const char component[] = "node";

static void add_seeds(struct node *node, const struct settings_peers *peers)
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
	file_stamp_read(node->settings_path, &node->settings_stamp);
	if (!settings_load(settings, node->settings_path, faults, &err)) {
		log_error(component, "reload_refused",
			  LOG_TEXT("reason", err.text));
	} else {
		add_seeds(node, &settings->peers);
		log_info(component, "reloaded",
			 LOG_NUMBER("seeds", settings->peers.seed_count));
	}
	free(settings);
	free(faults);
}

static void check_settings_file(struct timer *timer, void *data)
{
	struct node *node = data;
	struct file_stamp stamp;

	/* A missing file is ignored, since it may be about to be replaced. */
	if (file_stamp_read(node->settings_path, &stamp) &&
	    !file_stamp_equal(&stamp, &node->settings_stamp))
		node_reload(node);
	timer_set(&node->loop, timer,
		  loop_now_us(&node->loop) + CHECK_INTERVAL_MS * US_PER_MS);
}

void node_reload_start(struct node *node)
{
	file_stamp_read(node->settings_path, &node->settings_stamp);
	timer_init(&node->settings_timer, check_settings_file, node);
	timer_set(&node->loop, &node->settings_timer,
		  loop_now_us(&node->loop) + CHECK_INTERVAL_MS * US_PER_MS);
}

void node_reload_finish(struct node *node)
{
	timer_cancel(&node->loop, &node->settings_timer);
}
