#include "profile/orders.h"

#include <string.h>

#include "base/log.h"

void orders_init(struct orders *orders, struct store *store,
		 orders_changed_fn *on_changed, void *on_changed_data,
		 orders_listed_fn *on_listed, void *on_listed_data)
{
	memset(orders, 0, sizeof(*orders));
	orders->store = store;
	orders->on_changed = on_changed;
	orders->on_changed_data = on_changed_data;
	orders->on_listed = on_listed;
	orders->on_listed_data = on_listed_data;
}

void orders_cancel(struct orders *orders)
{
	if (orders->call)
		store_cancel(orders->call);
	orders->call = NULL;
}

bool orders_enabled(const struct orders *orders)
{
	return orders->on_changed != NULL;
}

static void report_changes(struct orders *orders,
			   const struct store_result *result)
{
	if (orders->on_changed && result->item_count)
		orders->on_changed(result->items, result->item_count,
				   orders->on_changed_data);
}

static void request_page(struct orders *orders, const char *after);

static void page_done(const struct store_result *result, void *data)
{
	struct orders *orders = data;

	orders->call = NULL;
	/* A service without lists has no orders either; versions must still
	 * be read. */
	if (result->reason == STORE_REJECTED ||
	    result->reason == STORE_ABSENT) {
		log_warn("reader", "orders_unread",
			 LOG_TEXT("reason", result->err.text));
		orders->on_listed(NULL, orders->on_listed_data);
		return;
	}
	if (result->outcome != STORE_TOOK_EFFECT) {
		orders->on_listed(result, orders->on_listed_data);
		return;
	}
	report_changes(orders, result);
	if (!orders->revision)
		orders->revision = result->revision;
	if (result->more && result->item_count)
		request_page(orders, result->items[result->item_count - 1].key);
	else
		orders->on_listed(NULL, orders->on_listed_data);
}

/* A stale list is enough, since the watch that starts at its revision returns
 * all later changes. A current list costs the service much more, and every node
 * that becomes an active reader requests a list. */
static void request_page(struct orders *orders, const char *after)
{
	const struct store_request request = {
		.kind = STORE_LIST,
		.key = KEY_ORDERS,
		.after = after,
		.allow_stale = !orders->require_current,
	};

	orders->call = store_send(orders->store, &request, page_done, orders);
}

void orders_list(struct orders *orders)
{
	request_page(orders, NULL);
}

/* The watch starts at the revision of the list. If the watch started at the
 * revision of the head, which is read later, a change of an order between the
 * two reads would be lost. */
void orders_watch_ended(struct orders *orders, struct store_result *result)
{
	report_changes(orders, result);
	if (orders->revision && orders->revision < result->revision)
		result->revision = orders->revision;
	orders->revision = 0;
	orders->require_current = result->reason == STORE_COMPACTED;
}
