#include "call/crash_watch.h"

#include <errno.h>
#include <string.h>

#include "base/log.h"
#include "os/clock.h"
#include "os/net.h"

static const char component[] = "call";

enum {
	RETRY_US = 5 * US_PER_MS,
	/* An upstream that resets connections because it is full gets no more
	 * connections for this purpose than one in this time. */
	PROBE_GAP_US = 100 * US_PER_MS,
};

static void close_probe(struct crash_watch *crash_watch)
{
	watch_stop(&crash_watch->watch);
	net_close(crash_watch->fd);
	crash_watch->fd = NET_NONE;
	timer_cancel(crash_watch->options.loop, &crash_watch->retry);
}

static void confirm_crash(struct crash_watch *crash_watch)
{
	struct quarantine_net *quarantine = crash_watch->options.quarantine;
	struct losses *losses = &crash_watch->losses;
	uint64_t crash_id;
	uint32_t i;

	if (!quarantine || losses->crash_id)
		return;
	crash_id = quarantine_net_crash_id(quarantine);
	if (!losses_confirm(losses, crash_id,
			    loop_now_us(crash_watch->options.loop)) ||
	    crash_watch->leaving)
		return;
	log_warn(component, "upstream_crashed",
		 LOG_NUMBER("running", losses->count));
	for (i = 0; i < losses->count; i++)
		quarantine_net_crashed(quarantine, &losses->lost[i], crash_id);
}

static void probe_succeeded(struct crash_watch *crash_watch)
{
	crash_watch->next_probe_us =
		loop_now_us(crash_watch->options.loop) + PROBE_GAP_US;
	crash_watch_reached(crash_watch);
}

static void probe_ended(struct watch *watch, int ready, void *data)
{
	struct crash_watch *crash_watch = data;
	int result = net_connect_result(crash_watch->fd);

	close_probe(crash_watch);
	if (result == ECONNREFUSED)
		crash_watch_refused(crash_watch);
	else if (!result)
		probe_succeeded(crash_watch);
	else
		log_warn(component, "crash_probe_failed",
			 LOG_TEXT("reason", strerror(result)));
}

static void open_probe(struct crash_watch *crash_watch)
{
	struct error err = ERROR_INIT;

	if (crash_watch->fd != NET_NONE || !crash_watch->address.family)
		return;
	crash_watch->fd = net_connect(&crash_watch->address, NULL, &err);
	if (crash_watch->fd == NET_NONE) {
		log_warn(component, "crash_probe_failed",
			 LOG_TEXT("reason", err.text));
		return;
	}
	if (!watch_start(&crash_watch->watch, crash_watch->options.loop,
			 crash_watch->fd, LOOP_WRITE, probe_ended, crash_watch,
			 &err)) {
		log_warn(component, "crash_probe_failed",
			 LOG_TEXT("reason", err.text));
		close_probe(crash_watch);
	}
}

static void retry_expired(struct timer *timer, void *data)
{
	open_probe(data);
}

static void request_probe(struct crash_watch *crash_watch)
{
	struct loop *loop = crash_watch->options.loop;

	if (loop_now_us(loop) >= crash_watch->next_probe_us)
		open_probe(crash_watch);
	else if (!timer_is_set(&crash_watch->retry))
		timer_set(loop, &crash_watch->retry,
			  crash_watch->next_probe_us);
}

void crash_watch_init(struct crash_watch *crash_watch,
		      const struct crash_watch_options *options)
{
	memset(crash_watch, 0, sizeof(*crash_watch));
	crash_watch->options = *options;
	crash_watch->fd = NET_NONE;
	timer_init(&crash_watch->retry, retry_expired, crash_watch);
}

void crash_watch_finish(struct crash_watch *crash_watch)
{
	close_probe(crash_watch);
}

void crash_watch_set_upstream(struct crash_watch *crash_watch,
			      const struct address *address)
{
	if (crash_watch->address.family)
		confirm_crash(crash_watch);
	close_probe(crash_watch);
	crash_watch->former_crash_id = crash_watch->losses.crash_id;
	crash_watch->former_left = crash_watch->leaving;
	crash_watch->leaving = false;
	crash_watch->since_us = clock_monotonic_us();
	losses_reset(&crash_watch->losses);
	crash_watch->refused_count = 0;
	crash_watch->next_probe_us = 0;
	crash_watch->address = *address;
}

bool crash_watch_has_ended(const struct crash_watch *crash_watch)
{
	return crash_watch->losses.crash_id != 0;
}

void crash_watch_set_leaving(struct crash_watch *crash_watch, bool leaving)
{
	crash_watch->leaving = leaving;
}

/* The next incarnation may announce itself before the node has read the end of
 * the connections to the former one, for instance after a pause of the node. */
static void lost_by_former(struct crash_watch *crash_watch,
			   const struct fingerprint *fingerprint)
{
	struct quarantine_net *quarantine = crash_watch->options.quarantine;

	if (!quarantine || crash_watch->former_left)
		return;
	if (!crash_watch->former_crash_id)
		crash_watch->former_crash_id =
			quarantine_net_crash_id(quarantine);
	quarantine_net_crashed(quarantine, fingerprint,
			       crash_watch->former_crash_id);
}

void crash_watch_lost(struct crash_watch *crash_watch,
		      const struct fingerprint *fingerprint, int64_t started_us)
{
	uint64_t crash_id;

	if (started_us < crash_watch->since_us) {
		lost_by_former(crash_watch, fingerprint);
		return;
	}
	if (crash_watch->leaving)
		return;
	crash_id = losses_add(&crash_watch->losses, fingerprint,
			      loop_now_us(crash_watch->options.loop));
	if (!crash_id)
		request_probe(crash_watch);
	else if (crash_watch->options.quarantine)
		quarantine_net_crashed(crash_watch->options.quarantine,
				       fingerprint, crash_id);
}

void crash_watch_aborted(struct crash_watch *crash_watch,
			 const struct fingerprint *fingerprint)
{
	struct losses *losses = &crash_watch->losses;

	if (crash_watch->leaving)
		return;
	if (losses->crash_id && crash_watch->options.quarantine)
		quarantine_net_crashed(crash_watch->options.quarantine,
				       fingerprint, losses->crash_id);
	else
		losses_add_aborted(losses, fingerprint,
				   loop_now_us(crash_watch->options.loop));
}

void crash_watch_answered(struct crash_watch *crash_watch,
			  const struct fingerprint *fingerprint,
			  int64_t started_us, bool completed)
{
	losses_answered(&crash_watch->losses, started_us);
	if (completed && crash_watch->options.quarantine)
		quarantine_net_completed(crash_watch->options.quarantine,
					 fingerprint);
}

void crash_watch_refused(struct crash_watch *crash_watch)
{
	crash_watch->refused_count++;
	if (crash_watch->refused_count < CRASH_REFUSED_MAX) {
		timer_set(crash_watch->options.loop, &crash_watch->retry,
			  loop_now_us(crash_watch->options.loop) + RETRY_US);
		return;
	}
	confirm_crash(crash_watch);
	if (crash_watch->refused_count == CRASH_REFUSED_MAX &&
	    crash_watch->options.on_ended)
		crash_watch->options.on_ended(crash_watch->options.data);
}

void crash_watch_reached(struct crash_watch *crash_watch)
{
	crash_watch->refused_count = 0;
}
