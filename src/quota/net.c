#include "quota/net.h"

#include <string.h>
#include <utlist.h>

#include "base/counter.h"
#include "base/log.h"
#include "membership/gossip.h"
#include "membership/pick.h"
#include "os/clock.h"

static const char component[] = "quota";

enum {
	/* Interval at which members are counted and owners chosen. */
	VIEW_US = 200 * 1000,
	/* Interval of log lines on refusals of a tenant. */
	LOG_REFUSED_US = 10 * 1000 * 1000,
	DUMP_TENANTS_MAX = 200,
};

static const double owner_share_min = 0.001;

COUNTER(granted, "quota.granted", "Requests that got a token of their tenant");
COUNTER(refused, "quota.refused",
	"Requests refused because their tenant is over its limit");
COUNTER(returned, "quota.returned",
	"Tokens given back because their request did not run");
COUNTER(asks_sent, "quota.asks_sent", "Frames sent to ask for tokens");
COUNTER(grants_sent, "quota.grants_sent", "Frames sent to grant tokens");
COUNTER(moves_sent, "quota.moves_sent",
	"Frames sent to owners of other data centres");
COUNTER(malformed, "quota.malformed",
	"Frames on tokens that break a rule of the protocol");
HISTOGRAM(wait_time, "quota.wait_us",
	  "Time for which a request waited for a token that it got");

static int64_t now(const struct quota_net *net)
{
	return loop_now_us(net->options.loop);
}

static const struct members *members_of(const struct quota_net *net)
{
	return &net->options.gossip->members;
}

static uint64_t self_incarnation(const struct quota_net *net)
{
	return net->options.hub->self.incarnation;
}

static struct quota_place place_of(const struct members *members,
				   const struct member *member)
{
	struct quota_place place = { .is_known = member != NULL };

	if (!member)
		return place;
	place.is_self = member == members->self;
	place.address = member->record.address;
	memcpy(place.instance, member->record.instance, NAME_SIZE);
	return place;
}

static void log_owner(uint32_t group, const struct quota_place *before,
		      const struct quota_place *after)
{
	if (before->is_self == after->is_self)
		return;
	log_info(component, "quota_share", LOG_NUMBER("group", group),
		 LOG_TEXT("state", after->is_self ? "owner" : "not-owner"),
		 LOG_TEXT("owner", after->instance));
}

/* An own data centre without a candidate leaves this node to itself. */
static void choose_places(struct quota_net *net)
{
	const struct members *members = members_of(net);
	uint32_t group;

	for (group = 0; group < QUOTA_GROUPS; group++) {
		struct quota_place *places = net->places[group];
		const struct member *first =
			members_pick(members, members->home, group, NULL);
		const struct member *second =
			members_pick(members, members->home, group, first);
		const struct quota_place before = places[0];

		places[2] = place_of(members, members->self);
		places[0] = first ? place_of(members, first) : places[2];
		places[1] = second ? place_of(members, second) : places[2];
		log_owner(group, &before, &places[0]);
	}
}

static bool is_other_centre(const struct members *members,
			    const struct data_centre *centre)
{
	return centre != members->home && centre->count;
}

static void log_alone(struct quota_net *net, bool is_alone)
{
	if (net->is_alone == is_alone)
		return;
	net->is_alone = is_alone;
	log_info(component, "quota_share",
		 LOG_TEXT("state", is_alone ? "own-shares-only" : "all-shares"),
		 LOG_TEXT("data_centre", members_of(net)->home->name));
}

static void update_members(struct quota_net *net)
{
	const struct members *members = members_of(net);
	const struct data_centre *centre;
	uint32_t nodes;
	uint32_t nearby = members_live_count(members);
	bool has_others = false;
	bool reaches_others = false;
	uint32_t group;

	for (centre = members->data_centres; centre; centre = centre->next) {
		if (!is_other_centre(members, centre))
			continue;
		has_others = true;
		reaches_others |= centre->reachable;
	}
	log_alone(net, has_others && !reaches_others);
	fleet_size_set_known(&net->size, HASH_COUNT(members->table));
	nodes = fleet_size_get(&net->size, now(net));
	quota_client_await_record(&net->client, net->options.reads_record &&
							!net->size.is_read);
	quota_client_set_members(&net->client, nodes, now(net));
	for (group = 0; group < QUOTA_GROUPS; group++)
		quota_owner_set_members(&net->owners[group], nodes, nearby,
					reaches_others);
}

/* Looks at the members, not for each request. */
static void update_view(struct quota_net *net)
{
	if (net->viewed_us && now(net) - net->viewed_us < VIEW_US)
		return;
	net->viewed_us = now(net);
	choose_places(net);
	update_members(net);
}

static void send_frame(struct quota_net *net, const struct address *to)
{
	size_t size;
	const void *frame = encoder_end(&net->encoder, &size);

	wire_conn_send(wire_hub_connect(net->options.hub, to), frame, size);
}

static void send_ask(struct quota_net *net, const struct quota_ask *ask)
{
	const struct quota_link *link = &net->client.links[ask->group];
	const struct quota_place *place = &net->places[ask->group][link->rank];
	struct quota_grant grant;

	if (place->is_self) {
		if (quota_owner_ask(&net->owners[ask->group],
				    self_incarnation(net), ask, now(net),
				    &grant))
			quota_client_granted(&net->client, &grant, now(net));
		return;
	}
	quota_ask_encode(&net->encoder, ask);
	counter_add(&asks_sent, 1);
	send_frame(net, &place->address);
}

static void send_asks(struct quota_net *net, uint32_t group)
{
	struct quota_ask ask;

	while (quota_client_ask(&net->client, group, now(net), &ask))
		send_ask(net, &ask);
}

static void send_move(struct quota_net *net, const struct member *to,
		      enum frame_quota type, const struct quota_move *move)
{
	quota_move_encode(&net->encoder, type, move);
	counter_add(&moves_sent, 1);
	send_frame(net, &to->record.address);
}

static void send_wants(struct quota_net *net, uint32_t group)
{
	const struct members *members = members_of(net);
	const struct data_centre *centre;
	struct quota_move want = { .group = group };

	if (!quota_owner_wants(&net->owners[group], now(net), &want))
		return;
	for (centre = members->data_centres; centre; centre = centre->next) {
		const struct member *owner;

		if (!is_other_centre(members, centre))
			continue;
		owner = members_pick(members, centre, group, NULL);
		if (owner)
			send_move(net, owner, FRAME_QUOTA_WANT, &want);
	}
}

static const char *name_of(const struct quota_net *net, uint64_t tenant)
{
	uint32_t i;

	for (i = 0; net->tenants && i < net->tenants->count; i++) {
		const char *name = net->tenants->tenants[i].tenant->name;

		if (quota_tenant_id(name) == tenant)
			return name;
	}
	return "";
}

/* Writes a line for a tenant at most once in LOG_REFUSED_US. */
static void log_refused(struct quota_net *net, const struct quota_wait *wait)
{
	struct quota_account *account =
		quota_client_find(&net->client, wait->tenant);

	if (!account || (account->logged_us &&
			 now(net) - account->logged_us < LOG_REFUSED_US))
		return;
	account->logged_us = now(net);
	log_info(component, "quota_refused",
		 LOG_TEXT("tenant", name_of(net, wait->tenant)),
		 LOG_NUMBER("refused", (int64_t)account->refused_count),
		 LOG_NUMBER("granted", (int64_t)account->granted_count),
		 LOG_NUMBER("retry_after_ms", wait->request.retry_after_ms));
}

static void count_result(struct quota_net *net, const struct quota_wait *wait)
{
	if (wait->request.result == QUOTA_GRANTED) {
		counter_add(&granted, 1);
		return;
	}
	counter_add(&refused, 1);
	log_refused(net, wait);
}

/* A callback may ask for further tokens, and cancel further waits. */
static void end_waits(struct quota_net *net)
{
	while (net->client.ended) {
		struct quota_wait *wait =
			(struct quota_wait *)net->client.ended;

		quota_client_cancel(&net->client, &wait->request);
		if (wait->request.result == QUOTA_GRANTED)
			histogram_add(&wait_time,
				      now(net) - wait->request.since_us);
		count_result(net, wait);
		wait->ended(wait, wait->data);
	}
}

static void set_timer(struct quota_net *net)
{
	int64_t next_us = quota_client_next_us(&net->client, now(net));

	if (next_us == INT64_MAX)
		timer_cancel(net->options.loop, &net->timer);
	else
		timer_set(net->options.loop, &net->timer, next_us);
}

static void run(void *data)
{
	struct quota_net *net = data;
	uint32_t group;

	if (net->limit_count)
		update_view(net);
	quota_client_expire(&net->client, now(net));
	for (group = 0; group < QUOTA_GROUPS; group++) {
		send_asks(net, group);
		send_wants(net, group);
	}
	end_waits(net);
	set_timer(net);
}

static void run_soon(struct quota_net *net)
{
	loop_defer_to_turn_end(net->options.loop, &net->run);
}

static void timer_expired(struct timer *timer, void *data)
{
	run_soon(data);
}

static bool on_ask(struct quota_net *net, struct wire_conn *conn,
		   const struct message *message, struct error *err)
{
	struct quota_grant grant;
	struct quota_ask ask;
	const void *frame;
	size_t size;

	if (!quota_ask_decode(message, &ask, err))
		return false;
	if (!quota_owner_ask(&net->owners[ask.group], conn->peer.incarnation,
			     &ask, now(net), &grant))
		return true;
	quota_grant_encode(&net->encoder, &grant);
	frame = encoder_end(&net->encoder, &size);
	counter_add(&grants_sent, 1);
	wire_conn_send(conn, frame, size);
	return true;
}

static bool on_grant(struct quota_net *net, const struct message *message,
		     struct error *err)
{
	struct quota_grant grant;

	if (!quota_grant_decode(message, &grant, err))
		return false;
	quota_client_granted(&net->client, &grant, now(net));
	return true;
}

static bool on_want(struct quota_net *net, struct wire_conn *conn,
		    const struct message *message, struct error *err)
{
	struct quota_move want;
	struct quota_move transfer;
	const void *frame;
	size_t size;

	if (!quota_move_decode(message, &want, err))
		return false;
	if (!quota_owner_wanted(&net->owners[want.group], &want, now(net),
				&transfer))
		return true;
	quota_move_encode(&net->encoder, FRAME_QUOTA_TRANSFER, &transfer);
	frame = encoder_end(&net->encoder, &size);
	counter_add(&moves_sent, 1);
	wire_conn_send(conn, frame, size);
	return true;
}

static bool on_transfer(struct quota_net *net, struct wire_conn *conn,
			const struct message *message, struct error *err)
{
	struct quota_move transfer;

	if (!quota_move_decode(message, &transfer, err))
		return false;
	quota_owner_receive(&net->owners[transfer.group],
			    conn->peer.incarnation, &transfer, now(net));
	return true;
}

static bool handle(struct quota_net *net, struct wire_conn *conn,
		   const struct message *message, struct error *err)
{
	switch (message->type) {
	case FRAME_QUOTA_ASK:
		return on_ask(net, conn, message, err);
	case FRAME_QUOTA_GRANT:
		return on_grant(net, message, err);
	case FRAME_QUOTA_WANT:
		return on_want(net, conn, message, err);
	case FRAME_QUOTA_TRANSFER:
		return on_transfer(net, conn, message, err);
	default:
		error_set(err, ERROR_PROTOCOL, "unknown frame type %u",
			  message->type);
		return false;
	}
}

static void on_frame(struct wire_conn *conn, const struct message *message,
		     void *data)
{
	struct quota_net *net = data;
	struct error err = ERROR_INIT;

	if (handle(net, conn, message, &err)) {
		if (net->limit_count)
			run_soon(net);
		return;
	}
	counter_add(&malformed, 1);
	log_warn(component, "frame_refused", LOG_TEXT("reason", err.text));
}

void quota_net_init(struct quota_net *net, const struct quota_options *options)
{
	uint32_t group;

	memset(net, 0, sizeof(*net));
	net->options = *options;
	fleet_size_init(&net->size);
	if (options->seeds)
		fleet_size_set_expected(&net->size, options->seeds, now(net));
	quota_client_init(&net->client, options->seed, now(net));
	for (group = 0; group < QUOTA_GROUPS; group++)
		quota_owner_init(&net->owners[group], now(net));
	encoder_init(&net->encoder);
	timer_init(&net->timer, timer_expired, net);
	deferred_init(&net->run, run, net);
	wire_hub_register(options->hub, FRAME_RANGE_QUOTA, on_frame, NULL, net);
}

void quota_net_finish(struct quota_net *net)
{
	uint32_t group;

	wire_hub_register(net->options.hub, FRAME_RANGE_QUOTA, NULL, NULL,
			  NULL);
	timer_cancel(net->options.loop, &net->timer);
	loop_defer_cancel(net->options.loop, &net->run);
	quota_client_finish(&net->client);
	for (group = 0; group < QUOTA_GROUPS; group++)
		quota_owner_finish(&net->owners[group]);
	encoder_finish(&net->encoder);
}

/* Writes the limits of all tenants; returns their number. */
static uint32_t list_limits(const struct tenant_table *tenants,
			    struct quota_limit *limits)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < tenants->count; i++) {
		const struct tenant *tenant = tenants->tenants[i].tenant;

		if (tenant->per_s <= 0)
			continue;
		limits[count].tenant = quota_tenant_id(tenant->name);
		limits[count].per_s = tenant->per_s;
		limits[count].burst = tenant->burst;
		count++;
	}
	return count;
}

void quota_net_set_tenants(struct quota_net *net,
			   const struct tenant_table *tenants)
{
	struct quota_limit *limits;
	uint32_t group;

	net->tenants = tenants;
	if (!net->options.enabled || (!tenants->count && !net->limit_count))
		return;
	limits = calloc(tenants->count + 1, sizeof(*limits));
	if (!limits)
		abort();
	net->limit_count = list_limits(tenants, limits);
	quota_client_set_limits(&net->client, limits, net->limit_count,
				now(net));
	for (group = 0; group < QUOTA_GROUPS; group++)
		quota_owner_set_limits(&net->owners[group], limits,
				       net->limit_count, now(net));
	free(limits);
	run_soon(net);
}

enum quota_result quota_net_take(struct quota_net *net, const char *tenant,
				 struct quota_wait *wait, int64_t wait_us)
{
	enum quota_result result;

	wait->tenant = 0;
	wait->request.account = NULL;
	if (!net->limit_count || !*tenant)
		return QUOTA_GRANTED;
	wait->tenant = quota_tenant_id(tenant);
	if (!quota_client_find(&net->client, wait->tenant)) {
		wait->tenant = 0;
		return QUOTA_GRANTED;
	}
	result = quota_client_take(&net->client, wait->tenant, &wait->request,
				   wait_us, now(net));
	wait->request.result = result;
	if (result != QUOTA_WAITING)
		count_result(net, wait);
	run_soon(net);
	return result;
}

void quota_net_cancel(struct quota_net *net, struct quota_wait *wait)
{
	quota_client_cancel(&net->client, &wait->request);
}

void quota_net_give_back(struct quota_net *net, const struct quota_wait *wait)
{
	if (!wait->tenant)
		return;
	counter_add(&returned, 1);
	quota_client_give_back(&net->client, wait->tenant);
}

uint32_t quota_net_nodes_to_record(struct quota_net *net, uint32_t recorded)
{
	fleet_size_set_recorded(&net->size, recorded, now(net));
	if (!net->limit_count)
		return 0;
	net->viewed_us = 0;
	update_view(net);
	return fleet_size_to_record(&net->size, now(net));
}

bool quota_net_record_is_old(const struct quota_net *net)
{
	return net->limit_count && (!net->size.is_read ||
				    fleet_size_to_record(&net->size, now(net)));
}

static void hand_over(struct quota_net *net, uint32_t group)
{
	const struct members *members = members_of(net);
	const struct member *next =
		members_pick(members, members->home, group, members->self);
	struct quota_move transfer;

	if (!next)
		return;
	while (quota_owner_hand_over(&net->owners[group], now(net),
				     &transfer)) {
		transfer.group = group;
		send_move(net, next, FRAME_QUOTA_TRANSFER, &transfer);
	}
}

void quota_net_leave(struct quota_net *net)
{
	uint32_t group;

	for (group = 0; net->limit_count && group < QUOTA_GROUPS; group++)
		hand_over(net, group);
}

static void fill_account(const struct quota_net *net,
			 const struct quota_account *account,
			 struct quota_tenant_view *view)
{
	int64_t due_us = account->due_us - now(net);

	view->per_s = account->per_s;
	view->burst = account->burst;
	view->used_per_s = quota_account_used_per_s(account, now(net));
	view->granted = account->granted_count;
	view->refused = account->refused_count;
	view->waiting = account->waiting_count;
	view->due_ms = due_us > 0 ? due_us / US_PER_MS : 0;
}

static void fill_owner(struct quota_net *net, uint64_t tenant,
		       struct quota_tenant_view *view)
{
	uint32_t group = quota_group(tenant);
	struct quota_owner *owner = &net->owners[group];
	const struct quota_pool *pool =
		quota_owner_find(owner, tenant, now(net));
	const struct quota_place *place =
		&net->places[group][net->client.links[group].rank];

	memcpy(view->owner, place->instance, NAME_SIZE);
	if (!pool)
		return;
	view->share = owner->share.part;
	view->owns = owner->share.part >= owner_share_min;
	view->tokens = pool->bucket.tokens;
}

bool quota_net_tenant_view(struct quota_net *net, const char *name,
			   struct quota_tenant_view *view)
{
	uint64_t tenant = quota_tenant_id(name);
	const struct quota_account *account =
		quota_client_find(&net->client, tenant);

	memset(view, 0, sizeof(*view));
	if (!net->tenants || !tenants_by_name(net->tenants, name))
		return false;
	if (!account)
		return true;
	fill_account(net, account, view);
	fill_owner(net, tenant, view);
	return true;
}

static json_t *dump_tenant(struct quota_net *net, const char *name)
{
	struct quota_tenant_view view;

	quota_net_tenant_view(net, name, &view);
	return json_pack("{s:s, s:f, s:f, s:f, s:I, s:I, s:I, s:I, s:s, s:b, "
			 "s:f, s:f}",
			 "tenant", name, "per_s", view.per_s, "burst",
			 view.burst, "used_per_s", view.used_per_s, "granted",
			 (json_int_t)view.granted, "refused",
			 (json_int_t)view.refused, "waiting",
			 (json_int_t)view.waiting, "due_ms",
			 (json_int_t)view.due_ms, "owner", view.owner, "owns",
			 view.owns, "share", view.share, "tokens", view.tokens);
}

json_t *quota_net_dump(struct quota_net *net)
{
	json_t *list = json_array();
	uint32_t shown = 0;
	uint32_t i;

	for (i = 0; net->tenants && i < net->tenants->count; i++) {
		const struct tenant *tenant = net->tenants->tenants[i].tenant;

		if (tenant->per_s <= 0 || shown >= DUMP_TENANTS_MAX)
			continue;
		json_array_append_new(list, dump_tenant(net, tenant->name));
		shown++;
	}
	return json_pack("{s:b, s:I, s:b, s:I, s:o}", "enabled",
			 net->options.enabled, "limits",
			 (json_int_t)net->limit_count, "own_shares_only",
			 net->is_alone, "members",
			 (json_int_t)net->client.members, "tenants", list);
}
