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

static void tell(struct orders *orders, const struct store_result *result)
{
	if (orders->on_changed && result->item_count)
		orders->on_changed(result->items, result->item_count,
				   orders->on_changed_data);
}

static void list(struct orders *orders, const char *after);

static void list_done(const struct store_result *result, void *data)
{
	struct orders *orders = data;

	orders->call = NULL;
	/* A service that knows no lists has no orders either, and its versions
	 * must come all the same. */
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
	tell(orders, result);
	if (!orders->revision)
		orders->revision = result->revision;
	if (result->more && result->item_count)
		list(orders, result->items[result->item_count - 1].key);
	else
		orders->on_listed(NULL, orders->on_listed_data);
}

/* What is older than the present is told by the watch that goes on from there;
 * a list of the present costs ten times as much, and every node that steps in
 * asks for one. */
static void list(struct orders *orders, const char *after)
{
	const struct store_request request = {
		.kind = STORE_LIST,
		.key = KEY_ORDERS,
		.after = after,
		.may_be_old = !orders->require_current,
	};

	orders->call = store_send(orders->store, &request, list_done, orders);
}

void orders_list(struct orders *orders)
{
	list(orders, NULL);
}

/* The head is read after the orders: the watch goes on from where those were
 * read, or an order between the two reads would never be heard of. */
void orders_watch_ended(struct orders *orders, struct store_result *result)
{
	tell(orders, result);
	if (orders->revision && orders->revision < result->revision)
		result->revision = orders->revision;
	orders->revision = 0;
	orders->require_current = result->reason == STORE_COMPACTED;
}
