#include "retries/net.h"

#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "base/counter.h"
#include "base/log.h"
#include "membership/gossip.h"
#include "membership/pick.h"
#include "os/clock.h"
#include "retries/frames.h"

static const char component[] = "retries";

enum {
	INTERVAL_US = 250 * 1000,
	CALM_INTERVAL_US = 2000 * 1000,
	/* Time after which the second member is asked. */
	ANSWER_TIMEOUT_US = 300 * 1000,
	SECOND_US = 3000 * 1000,
	/* Least time between messages to all nodes. */
	TELL_INTERVAL_US = 250 * 1000,
	START_US = 2500 * 1000,
};

/* All nodes are told when the chance has fallen by this factor. */
static const double told_factor = 0.75;

COUNTER(reports_sent, "retries.reports_sent",
	"Reports of requests and retries sent to the owner of a service");
COUNTER(news_sent, "retries.news_sent",
	"Messages on the chance of a retry sent to nodes");
COUNTER(malformed, "retries.malformed",
	"Frames on retries that break a rule of the protocol");

static int64_t now(const struct retries_net *net)
{
	return loop_now_us(net->options.loop);
}

static const struct members *members_of(const struct retries_net *net)
{
	return &net->options.gossip->members;
}

static void run_soon(struct retries_net *net)
{
	loop_defer_to_turn_end(net->options.loop, &net->run);
}

static struct retries_service *service_get(struct retries_net *net,
					   const char *name)
{
	struct retries_service *service;
	uint32_t i;

	HASH_FIND_STR(net->services, name, service);
	if (service)
		return service;
	service = calloc(1, sizeof(*service));
	if (!service)
		abort();
	memcpy(service->name, name, strlen(name) + 1);
	service->told_chance = 1;
	retries_client_init(&service->client, net->started_us);
	for (i = 0; i < RETRIES_ACCOUNTS; i++)
		retries_sum_init(&service->sums[i]);
	HASH_ADD_STR(net->services, name, service);
	return service;
}

static const struct member *owner_of(const struct retries_net *net,
				     const struct retries_service *service)
{
	const struct members *members = members_of(net);
	uint64_t key = XXH64(service->name, strlen(service->name), 0);
	const struct member *first =
		members_pick(members, members->home, key, NULL);
	const struct member *second;

	if (now(net) >= service->second_until_us)
		return first;
	second = members_pick(members, members->home, key, first);
	return second ? second : first;
}

static uint32_t count_centres(const struct members *members)
{
	const struct data_centre *centre;
	uint32_t count = 0;

	for (centre = members->data_centres; centre; centre = centre->next)
		count += centre->count > 0;
	return count;
}

static struct retry_budget *budget_of(struct pool *pool,
				      enum retries_account account)
{
	switch (account) {
	case RETRIES_ALL:
		return &pool->budget;
	case RETRIES_AFTER_ERROR:
	case RETRIES_ACCOUNTS:
		break;
	}
	return &pool->error_budget;
}

static void set_chances(struct retries_net *net,
			struct retries_service *service, struct pool *pool)
{
	enum retries_account i;

	for (i = 0; i < RETRIES_ACCOUNTS; i++) {
		struct retry_budget *budget = budget_of(pool, i);

		budget->chance = retries_client_chance(&service->client, i,
						       budget->share, now(net));
	}
}

static void fill_news(struct retries_net *net, struct retries_service *service,
		      struct retries_news *news)
{
	uint32_t i;

	memcpy(news->service, service->name, SERVICE_NAME_SIZE);
	for (i = 0; i < RETRIES_ACCOUNTS; i++)
		news->chance_permille[i] =
			(uint32_t)(retries_sum_chance(&service->sums[i],
						      now(net)) *
				   RETRIES_PERMILLE);
}

static void hear(struct retries_net *net, const struct retries_news *news)
{
	struct retries_service *service = service_get(net, news->service);
	double chance[RETRIES_ACCOUNTS];
	uint32_t i;

	for (i = 0; i < RETRIES_ACCOUNTS; i++)
		chance[i] = (double)news->chance_permille[i] / RETRIES_PERMILLE;
	retries_client_heard(&service->client, chance, now(net));
	service->asked_us = 0;
}

static void send_news(struct retries_net *net, struct wire_conn *conn,
		      const struct retries_news *news)
{
	const void *frame;
	size_t size;

	retries_news_encode(&net->encoder, news);
	frame = encoder_end(&net->encoder, &size);
	counter_add(&news_sent, 1);
	wire_conn_send(conn, frame, size);
}

static void tell_all(struct retries_net *net, const struct retries_news *news)
{
	const struct members *members = members_of(net);
	uint32_t i;

	for (i = 0; i < members->home->count; i++) {
		const struct member *member = members->home->members[i];

		if (member == members->self || member->status != MEMBER_ALIVE)
			continue;
		send_news(net,
			  wire_hub_connect(net->options.hub,
					   &member->record.address),
			  news);
	}
}

/* The first limit and a tighter one are told to all nodes. A wider one reaches
 * those that report, which are all that it matters to. */
static void tell_if_lower(struct retries_net *net,
			  struct retries_service *service,
			  const struct retries_news *news)
{
	double chance =
		(double)news->chance_permille[RETRIES_ALL] / RETRIES_PERMILLE;

	if (now(net) - service->told_us < TELL_INTERVAL_US)
		return;
	if (chance > service->told_chance)
		service->told_chance = chance;
	if (chance >= service->told_chance * told_factor)
		return;
	service->told_chance = chance;
	service->told_us = now(net);
	log_info(component, "retries_limited",
		 LOG_TEXT("service", service->name),
		 LOG_NUMBER("chance_permille",
			    news->chance_permille[RETRIES_ALL]));
	hear(net, news);
	run_soon(net);
	tell_all(net, news);
}

/* A run that is repeated after an error repeats its calls, which count at the
 * services called: these retries get no part of the slack. */
static double slack_of(const struct retries_net *net,
		       enum retries_account account)
{
	return account == RETRIES_ALL ? net->options.slack : 0;
}

void retries_net_change(struct retries_net *net, double slack, double window_s)
{
	net->options.slack = slack;
	net->options.window_s = window_s;
}

static void add_report(struct retries_net *net,
		       const struct retries_report *report,
		       struct retries_news *news)
{
	struct retries_service *service = service_get(net, report->service);
	struct retries_limits limits;
	enum retries_account i;

	for (i = 0; i < RETRIES_ACCOUNTS; i++) {
		retries_limits_set(&limits, slack_of(net, i),
				   net->options.window_s,
				   count_centres(members_of(net)));
		retries_sum_add(&service->sums[i], &report->use[i],
				(double)report->share_permille[i] /
					RETRIES_PERMILLE,
				&limits, now(net));
	}
	fill_news(net, service, news);
	tell_if_lower(net, service, news);
}

static void send_report(struct retries_net *net,
			struct retries_service *service,
			const struct retries_report *report)
{
	const struct member *owner = owner_of(net, service);
	struct retries_news news;
	const void *frame;
	size_t size;

	if (!owner || owner == members_of(net)->self) {
		add_report(net, report, &news);
		hear(net, &news);
		return;
	}
	retries_report_encode(&net->encoder, report);
	frame = encoder_end(&net->encoder, &size);
	counter_add(&reports_sent, 1);
	service->asked_us = now(net);
	wire_conn_send(wire_hub_connect(net->options.hub,
					&owner->record.address),
		       frame, size);
}

static void watch_answer(struct retries_net *net,
			 struct retries_service *service)
{
	if (!service->asked_us ||
	    now(net) - service->asked_us < ANSWER_TIMEOUT_US)
		return;
	service->asked_us = 0;
	service->second_until_us = now(net) + SECOND_US;
}

static void collect(struct retries_net *net, struct retries_service *service,
		    struct pool *pool)
{
	struct retry_use use[RETRIES_ACCOUNTS];
	enum retries_account i;

	for (i = 0; i < RETRIES_ACCOUNTS; i++) {
		struct retry_budget *budget = budget_of(pool, i);

		use[i] = budget->use;
		memset(&budget->use, 0, sizeof(budget->use));
	}
	retries_client_count(&service->client, use, now(net));
}

static void run_service(struct retries_net *net, struct pool *pool)
{
	struct retries_service *service = service_get(net, pool->service);
	struct retries_report report;
	enum retries_account i;

	collect(net, service, pool);
	watch_answer(net, service);
	if (retries_client_report(&service->client, report.use, now(net))) {
		memcpy(report.service, service->name, SERVICE_NAME_SIZE);
		for (i = 0; i < RETRIES_ACCOUNTS; i++)
			report.share_permille[i] =
				(uint32_t)(budget_of(pool, i)->share *
					   RETRIES_PERMILLE);
		send_report(net, service, &report);
	}
	set_chances(net, service, pool);
}

static bool is_calm(const struct retries_net *net, const struct pool *pool)
{
	const struct retries_service *service;

	if (pool->budget.chance < 1 || pool->error_budget.chance < 1)
		return false;
	HASH_FIND_STR(net->services, pool->service, service);
	return !service || !service->asked_us;
}

static void run(void *data)
{
	struct retries_net *net = data;
	bool calm = now(net) - net->started_us >= START_US;
	struct pool *pool;

	for (pool = net->options.router->pools; pool;
	     pool = pool->by_service.next) {
		run_service(net, pool);
		calm = calm && is_calm(net, pool);
	}
	timer_set(net->options.loop, &net->timer,
		  now(net) + (calm ? CALM_INTERVAL_US : INTERVAL_US));
}

static void timer_expired(struct timer *timer, void *data)
{
	run_soon(data);
}

void retries_net_notice(struct retries_net *net, const struct pool *pool)
{
	if (net->options.enabled &&
	    (pool->budget.use.wanted || pool->error_budget.use.wanted))
		run_soon(net);
}

static bool on_report(struct retries_net *net, struct wire_conn *conn,
		      const struct message *message, struct error *err)
{
	struct retries_report report;
	struct retries_news news;

	if (!retries_report_decode(message, &report, err))
		return false;
	add_report(net, &report, &news);
	send_news(net, conn, &news);
	return true;
}

static bool on_news(struct retries_net *net, const struct message *message,
		    struct error *err)
{
	struct retries_news news;

	if (!retries_news_decode(message, &news, err))
		return false;
	hear(net, &news);
	run_soon(net);
	return true;
}

static bool handle(struct retries_net *net, struct wire_conn *conn,
		   const struct message *message, struct error *err)
{
	switch (message->type) {
	case FRAME_RETRIES_REPORT:
		return on_report(net, conn, message, err);
	case FRAME_RETRIES_NEWS:
		return on_news(net, message, err);
	default:
		error_set(err, ERROR_PROTOCOL, "unknown frame type %u",
			  message->type);
		return false;
	}
}

static void on_frame(struct wire_conn *conn, const struct message *message,
		     void *data)
{
	struct error err = ERROR_INIT;

	if (handle(data, conn, message, &err))
		return;
	counter_add(&malformed, 1);
	log_warn(component, "frame_refused", LOG_TEXT("reason", err.text));
}

void retries_net_init(struct retries_net *net,
		      const struct retries_options *options)
{
	memset(net, 0, sizeof(*net));
	net->options = *options;
	net->started_us = now(net);
	encoder_init(&net->encoder);
	timer_init(&net->timer, timer_expired, net);
	deferred_init(&net->run, run, net);
	wire_hub_register(options->hub, FRAME_RANGE_RETRIES, on_frame, NULL,
			  net);
	if (options->enabled)
		run_soon(net);
}

void retries_net_finish(struct retries_net *net)
{
	struct retries_service *service = net->services;
	struct retries_service *next;

	wire_hub_register(net->options.hub, FRAME_RANGE_RETRIES, NULL, NULL,
			  NULL);
	timer_cancel(net->options.loop, &net->timer);
	loop_defer_cancel(net->options.loop, &net->run);
	HASH_CLEAR(hh, net->services);
	for (; service; service = next) {
		next = service->hh.next;
		free(service);
	}
	encoder_finish(&net->encoder);
}

json_t *retries_net_dump(struct retries_net *net)
{
	json_t *list = json_array();
	const struct retries_service *service;

	for (service = net->services; service; service = service->hh.next)
		json_array_append_new(
			list,
			json_pack("{s:s, s:f, s:f, s:f, s:f}", "service",
				  service->name, "chance",
				  service->client.news_us
					  ? service->client.chance[RETRIES_ALL]
					  : 1.0,
				  "owned_tokens",
				  service->sums[RETRIES_ALL].tokens,
				  "owned_firsts",
				  service->sums[RETRIES_ALL].firsts,
				  "owned_wanted",
				  service->sums[RETRIES_ALL].wanted));
	return json_pack("{s:b, s:o}", "enabled", net->options.enabled,
			 "services", list);
}
