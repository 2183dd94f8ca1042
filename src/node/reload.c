#include <stdlib.h>

#include "base/log.h"
#include "node/node_defs.h"
#include "node/reload_keys.h"
#include "os/clock.h"

/**
 * DOC: reload
 *
 * Reads the settings file again when it changes. A changed key takes effect at
 * once, or a warning names it and says that a restart is needed, see
 * reload_keys.h. A file with any fault is ignored. A change is detected by
 * SIGHUP or, for systems that replace the file without a signal, by a periodic
 * check of the stamp of the file.
 */

enum {
	/* A check costs one system call. */
	CHECK_INTERVAL_MS = 1000,
};

static const char component[] = "node";

/**
 * struct reload_result - numbers of keys that have changed
 * @at_once: those that are in force
 * @for_restart: those that need a restart
 */
struct reload_result {
	uint32_t at_once;
	uint32_t for_restart;
};

static void add_seeds(struct node *node, const struct settings_peers *peers)
{
	uint32_t i;

	for (i = 0; i < peers->seed_count; i++)
		gossip_add_seed(&node->gossip, &peers->seeds[i]);
}

static void report_key(const char *name, enum reload_effect effect, void *data)
{
	struct reload_result *result = data;

	switch (effect) {
	case RELOAD_UNKNOWN:
	case RELOAD_RESTART:
		result->for_restart++;
		log_warn(component, "setting_needs_restart",
			 LOG_TEXT("key", name));
		return;
	case RELOAD_AT_ONCE:
		result->at_once++;
		log_info(component, "setting_changed", LOG_TEXT("key", name));
		return;
	}
}

/* A node that began without the service of the platform, or is to go on without
 * it, takes that over with a restart. */
static void keep_source(const struct settings *in_force, struct settings *read)
{
	uint32_t index = settings_key_index("platform.address");

	if (!in_force->platform.address.family ==
	    !read->platform.address.family)
		return;
	log_warn(component, "setting_needs_restart",
		 LOG_TEXT("key", "platform.address"));
	read->platform.address = in_force->platform.address;
	read->key_hashes[index] = in_force->key_hashes[index];
}

static void apply(struct node *node, struct settings *read)
{
	struct reload_result result = { 0 };
	struct settings *in_force = &node->settings_in_force;
	const struct settings_log *log = &in_force->log;

	keep_source(in_force, read);
	reload_compare(in_force, &node->settings_seen, read, report_key,
		       &result);
	node->settings_seen = *read;
	reload_take(in_force, read);
	log_set_limits(&(struct log_options){
		.level = log->level,
		.rate_per_s = (uint32_t)log->rate_per_s,
		.requests_per_s = (uint32_t)log->requests_per_s,
	});
	if (result.at_once)
		node_source_change(node);
	retries_net_change(&node->retries, in_force->call.retry_slack,
			   in_force->call.retry_window_s);
	add_seeds(node, &in_force->peers);
	log_info(component, "reloaded",
		 LOG_NUMBER("seeds", in_force->peers.seed_count),
		 LOG_NUMBER("changed", result.at_once),
		 LOG_NUMBER("for_restart", result.for_restart));
}

void node_reload(struct node *node)
{
	struct faults *faults = calloc(1, sizeof(*faults));
	struct settings *settings = calloc(1, sizeof(*settings));
	struct error err = ERROR_INIT;

	if (!faults || !settings)
		abort();
	file_stamp_read(node->settings_path, &node->settings_stamp);
	if (settings_load(settings, node->settings_path, faults, &err))
		apply(node, settings);
	else
		log_error(component, "reload_refused",
			  LOG_TEXT("reason", err.text));
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
