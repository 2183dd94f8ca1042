#include "standin/upstream.h"

#include <apr_general.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/log.h"
#include "os/clock.h"
#include "standin/standin.h"

enum {
	RENEW_US = 1000 * US_PER_MS,
	RETRY_US = 100 * US_PER_MS,
	LEAVE_CHECK_US = 10 * US_PER_MS,
	REQUEST_TIMEOUT_MS = 500,
	/* Start times of the incarnations, as heartbeats tell them. */
	START_GAP_MS = 60000,
	ADDRESSES_SIZE = UPSTREAMS_MAX * ADDRESS_TEXT_SIZE,
};

/* An upstream and the node that it sends heartbeats to. */
struct announcer {
	struct upstream upstream;
	struct http_client *client;
	char node[ADDRESS_TEXT_SIZE]; /* empty for none */
	struct timer renew;
	int64_t heartbeat_count;
	bool gone;
};

static const json_int_t FIRST_START_MS = 1764720000000;

static struct loop loop;
static struct http_client client;
static struct announcer announcers[UPSTREAMS_MAX];
static uint32_t count;
static char instances[UPSTREAMS_MAX][UPSTREAM_ID_SIZE];
static struct timer leave_check;
static volatile sig_atomic_t leave_requested;

static void on_signal(int number)
{
	leave_requested = 1;
}

static const char *state_of(const struct announcer *announcer)
{
	const struct upstream *upstream = &announcer->upstream;
	int64_t age_us = clock_monotonic_us() - upstream->started_us;

	if (upstream->leaving_us)
		return "leaving";
	if (age_us < upstream->options.starting_ms * US_PER_MS)
		return "starting";
	return "serving";
}

static void heartbeat_answered(const struct http_answer *answer, void *data)
{
	struct announcer *announcer = data;
	bool accepted = answer->delivery == HTTP_ANSWERED &&
			answer->status == 200;

	if (!accepted)
		log_info("standin", "not_announced",
			 LOG_TEXT("error", answer->err->text),
			 LOG_NUMBER("status", answer->status));
	if (!announcer->gone)
		timer_set(&loop, &announcer->renew,
			  clock_monotonic_us() +
				  (accepted ? RENEW_US : RETRY_US));
}

static void removed(const struct http_answer *answer, void *data)
{
	struct announcer *announcer = data;

	announcer->node[0] = '\0';
}

static void send_to_node(struct announcer *announcer, const char *method,
			 const char *path, const char *body,
			 http_answer_fn *done)
{
	const struct http_header headers[] = {
		{ "Content-Type", "application/json" },
	};
	char url[ADDRESS_TEXT_SIZE + UPSTREAM_ID_SIZE + 32];
	struct http_request request = {
		.method = method,
		.url = url,
		.headers = headers,
		.header_count = 1,
		.body = body,
		.body_size = strlen(body),
		.timeout_ms = REQUEST_TIMEOUT_MS,
		.max_answer_bytes = 4096,
	};

	snprintf(url, sizeof(url), "http://%s%s", announcer->node, path);
	http_client_send(announcer->client, &request, done, announcer);
}

/* Sends a heartbeat in the form of the target platform. */
static void send_heartbeat(struct announcer *announcer)
{
	struct upstream *upstream = &announcer->upstream;
	char path[UPSTREAM_ID_SIZE + 32];
	char address[ADDRESS_TEXT_SIZE];
	char id[UPSTREAM_ID_SIZE];
	json_t *body = json_pack(
		"{s:s, s:I, s:{s:s, s:s, s:s, s:i}, s:{s:s, s:I, s:i}}",
		"address",
		address_format(http_server_address(&upstream->server), address),
		"born", FIRST_START_MS + upstream->start * START_GAP_MS, "info",
		"service", upstream->options.service, "version", "v1", "zone",
		"hall", "slots", (int)upstream->options.slots, "status",
		"state", upstream->leaving_us ? "draining" : "ready", "seq",
		(json_int_t)++announcer->heartbeat_count, "cold_left_s", 0);
	char *bytes = json_dumps(body, JSON_COMPACT);

	snprintf(path, sizeof(path), "/-/Instances.Heartbeat/%s",
		 upstream_id(upstream, id));
	send_to_node(announcer, "POST", path, bytes, heartbeat_answered);
	free(bytes);
	json_decref(body);
}

static void renew(struct timer *timer, void *data)
{
	struct announcer *announcer = data;
	struct upstream *upstream = &announcer->upstream;
	char text[ADDRESS_TEXT_SIZE];
	json_t *body;
	char *bytes;

	if (!announcer->node[0])
		return;
	if (upstream_is_down(upstream)) {
		timer_set(&loop, timer, clock_monotonic_us() + RETRY_US);
		return;
	}
	if (upstream->options.heartbeats) {
		send_heartbeat(announcer);
		return;
	}
	body = json_pack("{s:s, s:s, s:s, s:i, s:s, s:f}", "service",
			 upstream->options.service, "profile",
			 upstream->options.profile, "address",
			 address_format(http_server_address(&upstream->server),
					text),
			 "slots", (int)upstream->options.slots, "state",
			 state_of(announcer), "load", upstream_load(upstream));
	bytes = json_dumps(body, JSON_COMPACT);
	send_to_node(announcer, "PUT", "/v1/upstream", bytes,
		     heartbeat_answered);
	free(bytes);
	json_decref(body);
}

static void announce_leaving(int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < count; i++) {
		announcers[i].upstream.leaving_us = now_us;
		timer_set(&loop, &announcers[i].renew, now_us);
	}
}

static void deregister(struct announcer *announcer)
{
	char path[UPSTREAM_ID_SIZE + 32];
	char id[UPSTREAM_ID_SIZE];

	if (!announcer->upstream.options.heartbeats) {
		send_to_node(announcer, "DELETE", "/v1/upstream", "", removed);
		return;
	}
	snprintf(path, sizeof(path), "/-/Instances.Deregister/%s",
		 upstream_id(&announcer->upstream, id));
	send_to_node(announcer, "POST", path, "", removed);
}

static bool may_exit(struct announcer *announcer, int64_t now_us)
{
	const struct upstream *upstream = &announcer->upstream;

	return upstream_idle(upstream) &&
	       now_us - upstream->leaving_us >=
		       upstream->options.leave_ms * US_PER_MS;
}

static void log_stopped(const struct upstream *upstream)
{
	json_t *stats = upstream_stats(upstream, false);
	char *text = json_dumps(stats, JSON_COMPACT);

	log_info("standin", "stopped",
		 LOG_TEXT("instance", upstream->options.instance),
		 LOG_TEXT("stats", text));
	free(text);
	json_decref(stats);
}

/* After a signal: announces the leaving, exits once leave_ms has passed and
 * no requests are left. */
static void check_leave(struct timer *timer, void *data)
{
	int64_t now_us = clock_monotonic_us();
	uint32_t gone = 0;
	uint32_t i;

	timer_set(&loop, timer, now_us + LEAVE_CHECK_US);
	if (!leave_requested)
		return;
	if (!announcers[0].upstream.leaving_us) {
		announce_leaving(now_us);
		return;
	}
	for (i = 0; i < count; i++) {
		struct announcer *announcer = &announcers[i];

		if (!announcer->gone && may_exit(announcer, now_us)) {
			announcer->gone = true;
			timer_cancel(&loop, &announcer->renew);
			log_stopped(&announcer->upstream);
			if (announcer->node[0])
				deregister(announcer);
		}
		gone += announcer->gone && !announcer->node[0];
	}
	if (gone == count)
		loop_stop(&loop);
}

static int64_t number(int argc, char **argv, const char *name,
		      const char *fallback)
{
	return strtoll(standin_option(argc, argv, name, fallback), NULL, 10);
}

static void read_options(int argc, char **argv,
			 struct upstream_options *options)
{
	memset(options, 0, sizeof(*options));
	options->service = standin_option(argc, argv, "service", "service");
	options->profile = standin_option(argc, argv, "profile", "profile");
	options->instance = standin_option(argc, argv, "instance", "standin");
	options->heartbeats = !strcmp(
		standin_option(argc, argv, "interface", "own"), "platform");
	options->slots = (uint32_t)number(argc, argv, "slots", "9");
	options->queue_max = (uint32_t)number(argc, argv, "queue", "1000");
	options->service_us = number(argc, argv, "service-us", "0");
	options->exponential =
		strcmp(standin_option(argc, argv, "spread", "fixed"),
		       "fixed") != 0;
	options->starting_ms = number(argc, argv, "starting-ms", "0");
	options->cold_ms = number(argc, argv, "cold-ms", "0");
	options->cold_factor =
		strtod(standin_option(argc, argv, "cold-factor", "5"), NULL);
	options->leave_ms = number(argc, argv, "leave-ms", "500");
	options->down_ms = number(argc, argv, "down-ms", "0");
	options->report_lag_ms = number(argc, argv, "report-lag-ms", "0");
	options->account = standin_option(argc, argv, "account", "");
	options->buffer_bytes = (int)number(argc, argv, "buffer-bytes", "0");
}

/* Copies the first entry of a list "a,b,c"; returns the rest of the list. */
static const char *next_address(const char *list, char *out, size_t size)
{
	size_t length = strcspn(list, ",");

	snprintf(out, size, "%.*s", (int)length, list);
	return list[length] ? list + length + 1 : list + length;
}

static const char help[] =
	"usage: standin upstream [--option value]...\n"
	"\n"
	"Accepts HTTP on the loopback interface and runs requests. Options:\n"
	"  --service, --profile, --instance   what it announces of itself\n"
	"  --announce ADDRESS,...   nodes that it sends heartbeats to\n"
	"  --interface platform   heartbeats in the form of the platform\n"
	"  --port, --count   first port; number of upstreams\n"
	"  --slots, --queue   requests that run at once, and that wait\n"
	"  --service-us, --spread   service time; \"exponential\" spreads it\n"
	"  --starting-ms, --cold-ms, --cold-factor, --leave-ms, --down-ms,\n"
	"  --report-lag-ms   times of its life\n"
	"  --buffer-bytes   size of the buffers of its sockets\n"
	"  --account FILE   receives each arrival and each run\n"
	"  --odd KIND, --odd-every N   an odd answer to each Nth request\n"
	"\n"
	"POST /standin/faults {\"odd\":\"KIND\",\"odd_every\":N} sets the same\n"
	"while it runs; \"\" ends it. Kinds of odd answers:\n";

static bool wants_help(int argc, char **argv)
{
	int i;

	for (i = 1; i < argc; i++)
		if (!strcmp(argv[i], "--help"))
			return true;
	return false;
}

static bool start(int argc, char **argv, struct error *err)
{
	const char *nodes = standin_option(argc, argv, "announce", "");
	uint16_t port = (uint16_t)number(argc, argv, "port", "0");
	const char *instance =
		standin_option(argc, argv, "instance", "standin");
	struct upstream_options options;
	uint32_t i;

	count = (uint32_t)number(argc, argv, "count", "1");
	if (count < 1 || count > UPSTREAMS_MAX) {
		error_set(err, ERROR_INVALID, "--count must be 1 to %d",
			  UPSTREAMS_MAX);
		return false;
	}
	read_options(argc, argv, &options);
	for (i = 0; i < count; i++) {
		struct announcer *announcer = &announcers[i];

		announcer->client = &client;
		/* IDs on the target platform are unique. */
		if (count > 1 && options.heartbeats) {
			snprintf(instances[i], sizeof(instances[i]), "%s-%u",
				 instance, i);
			options.instance = instances[i];
		}
		nodes = next_address(nodes, announcer->node,
				     sizeof(announcer->node));
		if (!upstream_init(&announcer->upstream, &loop, &options,
				   port ? (uint16_t)(port + i) : 0, err))
			return false;
		if (!upstream_set_odd(&announcer->upstream,
				      standin_option(argc, argv, "odd", ""),
				      (int)number(argc, argv, "odd-every",
						  "1"))) {
			error_set(err, ERROR_INVALID,
				  "--odd names no kind of odd answers");
			return false;
		}
		timer_init(&announcer->renew, renew, announcer);
		timer_set(&loop, &announcer->renew, loop_now_us(&loop));
	}
	timer_init(&leave_check, check_leave, NULL);
	timer_set(&loop, &leave_check, loop_now_us(&loop) + LEAVE_CHECK_US);
	return true;
}

static void log_ready(void)
{
	char first[ADDRESS_TEXT_SIZE];
	char all[ADDRESSES_SIZE] = "";
	size_t used = 0;
	uint32_t i;

	for (i = 0; i < count; i++) {
		char text[ADDRESS_TEXT_SIZE];

		used += (size_t)snprintf(
			all + used, sizeof(all) - used, "%s%s", i ? "," : "",
			address_format(http_server_address(
					       &announcers[i].upstream.server),
				       text));
	}
	next_address(all, first, sizeof(first));
	log_info("standin", "ready", LOG_NUMBER("pid", getpid()),
		 LOG_TEXT("address", first), LOG_TEXT("addresses", all));
}

int standin_upstream(int argc, char **argv)
{
	struct error err = ERROR_INIT;
	uint32_t i;

	if (wants_help(argc, argv)) {
		printf("%s", help);
		odd_kind_list(stdout);
		return 0;
	}
	apr_initialize();
	signal(SIGTERM, on_signal);
	signal(SIGINT, on_signal);
	signal(SIGPIPE, SIG_IGN);
	if (!loop_init(&loop, &err) ||
	    !http_client_init(&client, &loop, &err) ||
	    !start(argc, argv, &err)) {
		fprintf(stderr, "standin upstream: %s\n", err.text);
		return 1;
	}
	log_ready();
	loop_run(&loop);
	timer_cancel(&loop, &leave_check);
	for (i = 0; i < count; i++) {
		timer_cancel(&loop, &announcers[i].renew);
		upstream_finish(&announcers[i].upstream);
	}
	http_client_finish(&client);
	loop_finish(&loop);
	return 0;
}
