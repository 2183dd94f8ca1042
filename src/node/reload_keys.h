#ifndef NODE_RELOAD_KEYS_H
#define NODE_RELOAD_KEYS_H

#include "node/settings.h"

/**
 * DOC: reload keys
 *
 * Which keys of the settings file take effect while a node runs, and what a
 * changed file means for a node. Does no I/O.
 */

/** enum reload_effect - when a changed key takes effect. */
enum reload_effect {
	RELOAD_UNKNOWN, /* the key has no entry in the table */
	RELOAD_AT_ONCE,
	RELOAD_RESTART, /* with the next start of the node */
};

/** reload_effect_of() - returns when the key "section.key" takes effect. */
enum reload_effect reload_effect_of(const char *name);

/**
 * typedef reload_key_fn - called for each key that has changed
 * @name: "section.key"
 */
typedef void reload_key_fn(const char *name, enum reload_effect effect,
			   void *data);

/**
 * reload_compare() - find the keys that have changed
 * @in_force: the settings of the node
 * @seen: the settings as last read, of which keys were reported before
 * @read: the settings as read now
 *
 * A key that takes effect with a restart is reported once for each value.
 */
void reload_compare(const struct settings *in_force,
		    const struct settings *seen, const struct settings *read,
		    reload_key_fn *changed, void *data);

/**
 * reload_take() - copy the values that take effect at once
 * @in_force: receives them, with their hashes
 */
void reload_take(struct settings *in_force, const struct settings *read);

#endif
