#ifndef PROFILE_PROFILE_PARSE_H
#define PROFILE_PROFILE_PARSE_H

#include "profile/profile.h"

/**
 * DOC: profile parsing
 *
 * Functions shared by profile_parse.c, profile_hosts.c, which reads the host
 * routes, and profile_tenants.c, which reads the tenants.
 */

/**
 * parse_count_children() - counts the children of a table or array
 * @node: may be NULL, which has no children
 */
uint32_t parse_count_children(const struct toml_node *node);

/**
 * parse_alloc_items() - allocates a zeroed array for the children of @node
 * @node: may be NULL, which has no children
 * @name: name of the key, for faults
 * @max_count: maximum number of children, and of items in the array
 * @item_size: size of an item in bytes
 * @faults: receives a fault if @node has no children or more than @max_count
 *
 * Return: the array, for free(); never NULL.
 */
void *parse_alloc_items(const struct toml_node *node, const char *name,
			uint32_t max_count, size_t item_size,
			struct faults *faults);

/**
 * parse_find_kind() - finds the kind with the name @name
 * @kind: receives the index of the kind; unchanged if there is none
 * @line: line for the fault
 * @faults: receives a fault if @profile has no kind with this name
 */
void parse_find_kind(const struct profile *profile, uint32_t *kind,
		     uint32_t line, const char *name, struct faults *faults);

/**
 * parse_host_routes() - reads the array "host_route" into @profile
 * @list: may be NULL
 */
void parse_host_routes(struct profile *profile, const struct toml_node *list,
		       struct faults *faults);

/**
 * parse_tenants() - reads the table "tenant" into @profile
 * @table: may be NULL
 */
void parse_tenants(struct profile *profile, const struct toml_node *table,
		   struct faults *faults);

#endif
