#ifndef PROFILE_ORDERS_H
#define PROFILE_ORDERS_H

#include <stdbool.h>
#include <stdint.h>

#include "store/store.h"

/**
 * DOC: orders
 *
 * Reads the orders of roll-outs for a reader: first the list of all, before
 * the head, then what the watch of the head tells of changes. That watch goes
 * on from where the list was read, so that no order is missed in between.
 */

/**
 * typedef orders_changed_fn - operators have ordered or withdrawn roll-outs
 * @items: keys below KEY_ORDERS, in order of change
 */
typedef void orders_changed_fn(const struct store_item *items, uint32_t count,
			       void *data);

/**
 * typedef orders_listed_fn - the list has ended
 * @failure: NULL if all orders were heard, or the service has no lists
 */
typedef void orders_listed_fn(const struct store_result *failure, void *data);

/**
 * struct orders - the reading of one reader
 * @on_changed: NULL: orders are not read; called with @on_changed_data
 * @on_listed: called with @on_listed_data
 * @call: the list that is in flight
 * @revision: the store's when the list was read; 0: the watch has gone on from
 *	there
 * @require_current: an old list will not do the next time: the history since it
 *was made may be gone
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

/** orders_init() - @on_changed may be NULL: then only orders_watch_ended() is
 * called. */
void orders_init(struct orders *orders, struct store *store,
		 orders_changed_fn *on_changed, void *on_changed_data,
		 orders_listed_fn *on_listed, void *on_listed_data);

/** orders_cancel() - drop the list in flight, without calling back. */
void orders_cancel(struct orders *orders);

/** orders_enabled() - whether somebody wants to hear of orders. */
bool orders_enabled(const struct orders *orders);

/** orders_list() - read all; no other list may be in flight. */
void orders_list(struct orders *orders);

/**
 * orders_watch_ended() - a watch of the head has ended
 * @result: its revision is set back to that of the list if it is the first
 *	watch since
 */
void orders_watch_ended(struct orders *orders, struct store_result *result);

#endif
