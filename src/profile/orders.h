#ifndef PROFILE_ORDERS_H
#define PROFILE_ORDERS_H

#include <stdbool.h>
#include <stdint.h>

#include "store/store.h"

/**
 * DOC: orders
 *
 * Reads the roll-out orders for a reader: first the list of all orders, before
 * the head, then the changes that the watch of the head returns. The first
 * watch starts at the revision of the list, so that no change is missed.
 */

/**
 * typedef orders_changed_fn - callback for orders that were read
 * @items: orders that operators have set or withdrawn, with keys below
 *	KEY_ORDERS, in the order of their changes
 * @count: number of @items
 */
typedef void orders_changed_fn(const struct store_item *items, uint32_t count,
			       void *data);

/**
 * typedef orders_listed_fn - callback for the end of the list
 * @failure: NULL if the whole list was read or the service has no lists
 */
typedef void orders_listed_fn(const struct store_result *failure, void *data);

/**
 * struct orders - state of reading the orders
 * @store: client of the platform's service
 * @on_changed: called with @on_changed_data; NULL: orders are not read
 * @on_listed: called with @on_listed_data
 * @call: list in flight, or NULL
 * @revision: revision of the store at which the list was read; 0 once a watch
 *	has ended since then
 * @require_current: the next list must not be stale, because the history since
 *	a stale list may have been compacted
 */
struct orders {
	struct store *store;
	orders_changed_fn *on_changed;
	void *on_changed_data;
	orders_listed_fn *on_listed;
	void *on_listed_data;
	struct store_call *call;
	uint64_t revision;
	bool require_current;
};

/**
 * orders_init() - prepares reading
 * @on_changed: may be NULL; the caller then does not call orders_list()
 */
void orders_init(struct orders *orders, struct store *store,
		 orders_changed_fn *on_changed, void *on_changed_data,
		 orders_listed_fn *on_listed, void *on_listed_data);

/** orders_cancel() - cancels the list in flight, without a callback. */
void orders_cancel(struct orders *orders);

/** orders_enabled() - returns true if orders are read. */
bool orders_enabled(const struct orders *orders);

/** orders_list() - reads all orders; no other list may be in flight. */
void orders_list(struct orders *orders);

/**
 * orders_watch_ended() - handles the end of a watch of the head
 * @result: its revision is set back to the revision of the list by the first
 *	call after a list, if the list is older
 */
void orders_watch_ended(struct orders *orders, struct store_result *result);

#endif
