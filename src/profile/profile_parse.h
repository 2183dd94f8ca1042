#ifndef PROFILE_PROFILE_PARSE_H
#define PROFILE_PROFILE_PARSE_H

#include "profile/profile.h"

/**
 * DOC: profile parsing
 *
 * What the readers of a profile's tables share (profile_parse.c, and
 * profile_hosts.c for host routes).
 */

/** parse_count_children() - children of a table or array; 0 for NULL. */
uint32_t parse_count_children(const struct toml_node *node);

/**
 * parse_alloc_items() - zeroed room for the children of @node, at most @most
 * @name: of the key, for faults: too many children, or none
 */
void *parse_alloc_items(const struct toml_node *node, const char *name,
			uint32_t most, size_t item_size, struct faults *faults);

/** parse_find_kind() - set *@kind to the index of the kind @name. */
void parse_find_kind(const struct profile *profile, uint32_t *kind,
		     uint32_t line, const char *name, struct faults *faults);

/** parse_host_routes() - read the list "host_route", which may be NULL. */
void parse_host_routes(struct profile *profile, const struct toml_node *list,
		       struct faults *faults);

#endif
