#include "http/spare.h"

#include <string.h>

#include "base/counter.h"
#include "os/clock.h"
#include "os/net.h"

enum { SPARE_AGE_MAX_US = US_PER_S, CHECK_INTERVAL_US = US_PER_S / 4 };

COUNTER(taken, "http.spare_connections_taken",
	"Requests sent on a connection made beforehand");

static void spare_close(struct spare *spare)
{
	watch_stop(&spare->watch);
	net_close(spare->fd);
	spare->fd = NET_NONE;
	spare->ready = false;
}

/* Handles the end of connecting. An event on a connection that is ready means
 * that the server closed the connection or sent unexpected bytes. */
static void spare_event(struct watch *watch, int ready, void *data)
{
	struct spare *spare = data;

	if (spare->ready || net_connect_result(spare->fd)) {
		spare_close(spare);
		return;
	}
	spare->ready = true;
	watch_change(&spare->watch, LOOP_READ);
}

static void spare_open(struct spare *spare)
{
	struct spares *spares = spare->spares;
	struct error err = ERROR_INIT;

	spare->fd = net_connect(&spares->server_address, NULL, &err);
	spare->opened_us = loop_now_us(spares->loop);
	if (spare->fd != NET_NONE &&
	    !watch_start(&spare->watch, spares->loop, spare->fd, LOOP_WRITE,
			 spare_event, spare, &err))
		spare_close(spare);
}

static void open_missing(struct spares *spares)
{
	int i;

	for (i = 0; i < SPARES_MAX; i++)
		if (spares->items[i].fd == NET_NONE)
			spare_open(&spares->items[i]);
	if (!timer_is_set(&spares->expiry))
		timer_set(spares->loop, &spares->expiry,
			  loop_now_us(spares->loop) + CHECK_INTERVAL_US);
}

static void check_expiry(struct timer *timer, void *data)
{
	struct spares *spares = data;
	int64_t now_us = loop_now_us(spares->loop);
	int i;

	for (i = 0; i < SPARES_MAX; i++)
		if (spares->items[i].fd != NET_NONE &&
		    now_us - spares->items[i].opened_us >= SPARE_AGE_MAX_US)
			spare_close(&spares->items[i]);
	if (now_us - spares->last_taken_us < SPARE_AGE_MAX_US)
		open_missing(spares);
	else
		for (i = 0; i < SPARES_MAX; i++)
			spare_close(&spares->items[i]);
}

void spares_init(struct spares *spares, struct loop *loop)
{
	int i;

	memset(spares, 0, sizeof(*spares));
	spares->loop = loop;
	timer_init(&spares->expiry, check_expiry, spares);
	for (i = 0; i < SPARES_MAX; i++) {
		spares->items[i].spares = spares;
		spares->items[i].fd = NET_NONE;
	}
}

void spares_finish(struct spares *spares)
{
	int i;

	timer_cancel(spares->loop, &spares->expiry);
	for (i = 0; i < SPARES_MAX; i++)
		spare_close(&spares->items[i]);
}

/* Skips connections that the server has closed or has sent bytes on. */
static int take_ready(struct spares *spares)
{
	int i;

	for (i = 0; i < SPARES_MAX; i++) {
		struct spare *spare = &spares->items[i];
		int fd = spare->fd;

		if (!spare->ready || net_peek(fd) != NET_AGAIN)
			continue;
		watch_stop(&spare->watch);
		spare->fd = NET_NONE;
		spare->ready = false;
		counter_add(&taken, 1);
		return fd;
	}
	return NET_NONE;
}

int spares_take(struct spares *spares, const struct address *server_address)
{
	int fd;
	int i;

	if (!address_equal(&spares->server_address, server_address)) {
		for (i = 0; i < SPARES_MAX; i++)
			spare_close(&spares->items[i]);
		spares->server_address = *server_address;
	}
	spares->last_taken_us = loop_now_us(spares->loop);
	fd = take_ready(spares);
	open_missing(spares);
	return fd;
}
