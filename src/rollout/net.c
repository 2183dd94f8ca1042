#include "rollout/net.h"

#include <stdio.h>
#include <string.h>

#include <xxhash.h>

#include "base/counter.h"
#include "base/log.h"
#include "membership/fanout.h"
#include "os/clock.h"
#include "platform/rollout.h"

static const char component[] = "rollout";

enum {
	/* Reports are sent often, because a bad version gets requests until the
	 * controllers have received the counts of its answers. A bad version
	 * must be out of use 5 s after its 50th bad answer, and gets up to a
	 * thousand requests a second until then. */
	TICK_US = 200 * 1000,
	/* An instance whose counts have not changed still reports. */
	REPORT_EVERY_US = 1000 * 1000,
	/* The table is sent to a random node every few ticks, for nodes that
	 * missed a change. */
	RESEND_TICKS = 5,
	/* Time after the last change during which the table is resent. */
	RESEND_TIME_US = 10 * 1000 * 1000,
	/* Number of nodes that a change is sent to at once, in the own data
	 * centre and in each other data centre. Each node that the change is
	 * new to sends it on. */
	FANOUT_LOCAL = 8,
	FANOUT_REMOTE = 2,
};

COUNTER(orders, "rollout.orders", "Orders of roll-outs that were read");
COUNTER(bad_orders, "rollout.orders_invalid",
	"Orders of roll-outs that could not be understood");
COUNTER(states_sent, "rollout.states_sent", "Frames on states of roll-outs");
COUNTER(reports_sent, "rollout.reports_sent",
	"Reports on the upstream beside, to deciding nodes");
COUNTER(malformed, "rollout.malformed",
	"Frames on roll-outs that break a rule");

static int64_t now(const struct rollout_net *net)
{
	return loop_now_us(net->options.loop);
}

static struct members *members_of(const struct rollout_net *net)
{
	return &net->options.gossip->members;
}

static void send_to(struct rollout_net *net, const struct record *record)
{
	struct wire_conn *conn =
		wire_hub_connect(net->options.hub, &record->address);
	size_t size;
	const void *frame = encoder_end(&net->encoder, &size);

	wire_conn_send(conn, frame, size);
}

static void encode_entry(struct rollout_net *net,
			 const struct rollout_entry *entry)
{
	rollout_states_begin(&net->encoder, 1);
	rollout_states_add(&net->encoder, &entry->rollout,
			   rollout_entry_elapsed_ms(entry, now(net)));
}

static void encode_table(struct rollout_net *net)
{
	const struct rollout_entry *entry;
	uint32_t count = HASH_COUNT(net->table.entries);
	uint32_t left;

	if (count > ROLLOUT_STATES_MAX)
		count = ROLLOUT_STATES_MAX;
	rollout_states_begin(&net->encoder, count);
	entry = net->table.entries;
	for (left = count; left; left--, entry = entry->hh.next)
		rollout_states_add(&net->encoder, &entry->rollout,
				   rollout_entry_elapsed_ms(entry, now(net)));
}

static struct fanout fanout_of(struct rollout_net *net)
{
	const struct fanout fanout = {
		.hub = net->options.hub,
		.members = members_of(net),
		.random = &net->random,
	};

	return fanout;
}

static struct fanout_frame end_frame(struct rollout_net *net)
{
	struct fanout_frame frame;

	frame.data = encoder_end(&net->encoder, &frame.size);
	return frame;
}

static void send_change(struct rollout_net *net,
			const struct rollout_entry *entry)
{
	const struct fanout_reach reach = { .local_max = FANOUT_LOCAL,
					    .remote_max = FANOUT_REMOTE,
					    .always_remote = true };
	const struct fanout fanout = fanout_of(net);
	struct fanout_frame frame;

	encode_entry(net, entry);
	frame = end_frame(net);
	counter_add(&states_sent, fanout_to_all(&fanout, &reach, &frame));
}

static void start_ticks(struct rollout_net *net)
{
	if (!timer_is_set(&net->timer))
		timer_set(net->options.loop, &net->timer, now(net) + TICK_US);
}

static void log_change(const struct rollout_entry *entry)
{
	const struct rollout *rollout = &entry->rollout;

	log_info(component, "phase",
		 LOG_TEXT("service", rollout->order.service),
		 LOG_TEXT("target", rollout->order.target),
		 LOG_NUMBER("order", (int64_t)rollout->order.revision),
		 LOG_TEXT("phase", rollout_phase_name(rollout->phase)),
		 LOG_NUMBER("share_in_1000",
			    (int64_t)(rollout_share(rollout) * 1000)),
		 LOG_NUMBER("elapsed_ms", rollout->elapsed_ms),
		 LOG_NUMBER("over_ms", rollout->order.over_ms));
}

static struct rollout_entry *merge(struct rollout_net *net,
				   const struct rollout *rollout)
{
	struct rollout_entry *entry =
		rollout_table_merge(&net->table, rollout, now(net));

	if (!entry)
		return NULL;
	net->changed_us = now(net);
	log_change(entry);
	net->options.on_changed(&entry->rollout, net->options.data);
	send_change(net, entry);
	start_ticks(net);
	return entry;
}

static void on_decision(const struct rollout *rollout, void *data)
{
	merge(data, rollout);
}

static void add_order(struct rollout_net *net, const char *service,
		      const struct store_item *item)
{
	struct rollout rollout = {
		.phase = ROLLOUT_ORDERED,
		.record_revision = ROLLOUT_REVISION_UNKNOWN,
	};
	struct error err = ERROR_INIT;
	struct rollout_entry *entry;

	if (!rollout_order_read(service, item->revision, item->value,
				item->size, &rollout.order, &err)) {
		counter_add(&bad_orders, 1);
		log_error(component, "order_refused",
			  LOG_TEXT("service", service),
			  LOG_NUMBER("order", (int64_t)item->revision),
			  LOG_TEXT("reason", err.text));
		snprintf(net->bad_order, sizeof(net->bad_order),
			 "the order for %.60s cannot be read: %.150s", service,
			 err.text);
		return;
	}
	counter_add(&orders, 1);
	net->bad_order[0] = '\0';
	merge(net, &rollout);
	entry = rollout_table_find(&net->table, service);
	if (entry && entry->rollout.order.revision == item->revision)
		entry->from_platform = true;
}

void rollout_net_receive_orders(struct rollout_net *net,
				const struct store_item *items, uint32_t count)
{
	size_t prefix = strlen(KEY_ORDERS);
	uint32_t i;

	for (i = 0; i < count; i++) {
		const char *service = items[i].key + prefix;

		if (strncmp(items[i].key, KEY_ORDERS, prefix) != 0)
			continue;
		if (items[i].removed)
			log_info(component, "order_withdrawn",
				 LOG_TEXT("service", service));
		else
			add_order(net, service, &items[i]);
	}
}

bool rollout_net_blocks_version(const struct rollout_net *net,
				const char *service, const char *version)
{
	const struct rollout_entry *entry =
		rollout_table_find(&net->table, service);

	return entry && rollout_is_bad(entry->rollout.phase) &&
	       !strcmp(entry->rollout.order.target, version);
}

bool rollout_net_splits_traffic(const struct rollout_net *net,
				const char *service)
{
	const struct rollout_entry *entry =
		rollout_table_find(&net->table, service);

	return entry && entry->rollout.phase != ROLLOUT_DONE;
}

/* Returns true if the same counts were sent recently and no request is busy. */
static bool is_reported(const struct rollout_net *net,
			const struct request_stats *request_stats,
			uint32_t busy)
{
	return net->reported.epoch == request_stats->epoch &&
	       net->reported.started == request_stats->started &&
	       net->reported.busy == busy && !busy &&
	       now(net) - net->reported.at_us < REPORT_EVERY_US;
}

static void mark_reported(struct rollout_net *net,
			  const struct request_stats *request_stats,
			  uint32_t busy)
{
	net->reported.epoch = request_stats->epoch;
	net->reported.started = request_stats->started;
	net->reported.busy = busy;
	net->reported.at_us = now(net);
}

/*
 * Instances of the new version report to the controllers of all data centres,
 * so that each controller can stop the new version. Instances of the old
 * version report within their own data centre, which gives each controller a
 * baseline. In ROLLOUT_SWITCHED they also report to all data centres, because
 * every controller must know that they have finished their requests.
 */
static void send_report(struct rollout_net *net, const struct rollout *rollout,
			const struct rollout_report *report)
{
	const struct members *members = members_of(net);
	bool everywhere = report->judge.runs_target ||
			  rollout->phase == ROLLOUT_SWITCHED;
	const struct data_centre *centre;

	rollout_report_encode(&net->encoder, report);
	for (centre = members->data_centres; centre; centre = centre->next) {
		const struct member *first;

		if (centre != members->home &&
		    (!everywhere || !centre->reachable))
			continue;
		first = members_first(members, centre, ROLLOUT_DUTY);
		if (!first || first == members->self)
			continue;
		counter_add(&reports_sent, 1);
		send_to(net, &first->record);
	}
}

static void report_own(struct rollout_net *net,
		       const struct rollout_entry *entry)
{
	const struct rollout *rollout = &entry->rollout;
	const struct member *self = members_of(net)->self;
	const struct record *own = &self->record;
	struct rollout_report report = {
		.order_revision = rollout->order.revision,
	};
	const struct request_stats *request_stats;

	if (strcmp(own->service, rollout->order.service) ||
	    (own->state != UPSTREAM_SERVING && own->state != UPSTREAM_LEAVING))
		return;
	request_stats = net->options.request_stats(&report.judge.busy,
						   net->options.data);
	memcpy(report.service, own->service, sizeof(report.service));
	report.judge.instance = self->id;
	report.judge.runs_target = !strcmp(own->version, rollout->order.target);
	report.judge.request_stats = *request_stats;
	controller_report(&net->controller, report.service,
			  report.order_revision, &report.judge);
	if (is_reported(net, request_stats, report.judge.busy))
		return;
	mark_reported(net, request_stats, report.judge.busy);
	send_report(net, rollout, &report);
}

/* Nodes that missed a change receive it by these messages in the end. */
static void send_table_randomly(struct rollout_net *net)
{
	const struct fanout fanout = fanout_of(net);
	struct fanout_frame frame;

	encode_table(net);
	frame = end_frame(net);
	counter_add(&states_sent, fanout_to_one(&fanout, &frame));
}

static void tick(struct timer *timer, void *data)
{
	struct rollout_net *net = data;
	struct rollout_entry *entry;
	struct rollout_entry *next;

	net->ticks++;
	HASH_ITER(hh, net->table.entries, entry, next) {
		if (rollout_is_finished(entry->rollout.phase))
			continue;
		report_own(net, entry);
		controller_tick(&net->controller, entry);
	}
	controller_sweep(&net->controller);
	if (net->ticks % RESEND_TICKS == 0)
		send_table_randomly(net);
	if (rollout_table_has_active(&net->table) ||
	    now(net) - net->changed_us < RESEND_TIME_US)
		start_ticks(net);
}

static void receive_states(struct rollout_net *net,
			   const struct message *message)
{
	struct error err = ERROR_INIT;
	struct rollout rollout;
	uint32_t at;

	for (at = 0; rollout_states_decode(message, at, &rollout, &err); at++)
		merge(net, &rollout);
	if (!error_is_set(&err))
		return;
	counter_add(&malformed, 1);
	log_warn(component, "frame_refused", LOG_TEXT("reason", err.text));
}

static void receive_report(struct rollout_net *net,
			   const struct message *message)
{
	struct error err = ERROR_INIT;
	struct rollout_report report;

	if (rollout_report_decode(message, &report, &err)) {
		controller_report(&net->controller, report.service,
				  report.order_revision, &report.judge);
		return;
	}
	counter_add(&malformed, 1);
	log_warn(component, "frame_refused", LOG_TEXT("reason", err.text));
}

static void on_frame(struct wire_conn *conn, const struct message *message,
		     void *data)
{
	switch (message->type) {
	case FRAME_ROLLOUT_STATES:
		receive_states(data, message);
		return;
	case FRAME_ROLLOUT_REPORT:
		receive_report(data, message);
		return;
	default:
		counter_add(&malformed, 1);
	}
}

/* Sends the known roll-outs on each new connection, so that a new node receives
 * them before its first configuration, which comes on the same connection. */
static void on_state(struct wire_conn *conn, void *data)
{
	struct rollout_net *net = data;
	const void *frame;
	size_t size;

	if (conn->state != WIRE_CONN_OPEN || !net->table.entries)
		return;
	encode_table(net);
	frame = encoder_end(&net->encoder, &size);
	wire_conn_send(conn, frame, size);
}

void rollout_net_init(struct rollout_net *net,
		      const struct rollout_options *options)
{
	const struct controller_options controller = {
		.loop = options->loop,
		.gossip = options->gossip,
		.store = options->store,
		.table = &net->table,
		.merge = on_decision,
		.data = net,
	};

	memset(net, 0, sizeof(*net));
	net->options = *options;
	rollout_table_init(&net->table);
	controller_init(&net->controller, &controller);
	encoder_init(&net->encoder);
	random_init(&net->random, options->seed);
	timer_init(&net->timer, tick, net);
	wire_hub_register(options->hub, FRAME_RANGE_ROLLOUT, on_frame, on_state,
			  net);
}

void rollout_net_finish(struct rollout_net *net)
{
	wire_hub_register(net->options.hub, FRAME_RANGE_ROLLOUT, NULL, NULL,
			  NULL);
	timer_cancel(net->options.loop, &net->timer);
	controller_finish(&net->controller);
	rollout_table_finish(&net->table);
	encoder_finish(&net->encoder);
}

static bool describe_problem(const struct rollout_entry *entry, int64_t now_us,
			     char text[ROLLOUT_FINDING_SIZE])
{
	const struct rollout *rollout = &entry->rollout;
	int64_t elapsed_ms = rollout_entry_elapsed_ms(entry, now_us);

	if (rollout->phase == ROLLOUT_CONDEMNED)
		snprintf(text, ROLLOUT_FINDING_SIZE,
			 "version %s of %s is bad and gets no requests; the "
			 "record at the platform does not hold this yet",
			 rollout->order.target, rollout->order.service);
	else if (!rollout_is_finished(rollout->phase) &&
		 elapsed_ms > rollout->order.over_ms)
		snprintf(text, ROLLOUT_FINDING_SIZE,
			 "the roll-out of %s to %s is late: %s after %lld ms",
			 rollout->order.service, rollout->order.target,
			 rollout_phase_name(rollout->phase),
			 (long long)elapsed_ms);
	else
		return false;
	return true;
}

bool rollout_net_finding(const struct rollout_net *net,
			 char text[ROLLOUT_FINDING_SIZE])
{
	const struct rollout_entry *entry;

	for (entry = net->table.entries; entry; entry = entry->hh.next)
		if (describe_problem(entry, now(net), text))
			return true;
	memcpy(text, net->bad_order, ROLLOUT_FINDING_SIZE);
	return *text != '\0';
}

json_t *rollout_net_dump(const struct rollout_net *net)
{
	json_t *list = json_array();
	const struct rollout_entry *entry;

	for (entry = net->table.entries; entry; entry = entry->hh.next) {
		const struct rollout *rollout = &entry->rollout;

		json_array_append_new(
			list,
			json_pack("{s:s, s:s, s:I, s:s, s:f, s:I, s:I}",
				  "service", rollout->order.service, "target",
				  rollout->order.target, "order",
				  (json_int_t)rollout->order.revision, "phase",
				  rollout_phase_name(rollout->phase), "share",
				  rollout_share(rollout), "elapsed_ms",
				  (json_int_t)rollout_entry_elapsed_ms(
					  entry, now(net)),
				  "over_ms",
				  (json_int_t)rollout->order.over_ms));
	}
	return list;
}
