#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "os/clock.h"
#include "play.h"

enum {
	SERVICES = 3,
	/* Upstreams of a process, as many as its log line has room for. */
	PER_PROCESS = 16,
	PROCESSES_MAX = 24,
	LIST_SIZE = 4096,
	SETTINGS_SIZE = 16 * 1024,
	DOCUMENT_SIZE = 256 * 1024,
	STEP_MS = 5,
	WRITES = 10,
	WRITE_RETRY_MS = 1000,
	WARM_MS = 5000,
	SETTLE_MS = 3000,
	WAIT_MS = 60000,
	/* Callers learn within this time that a node is not ready. */
	NOTICE_MIN_MS = 1000,
	NOTICE_MS = 1800,
	BACK_MS = 1500,
	PAUSE_BEFORE_MS = 500,
	PAUSE_WITHIN_MS = 3000,
};

enum state { RUNNING, STOPPING, DOWN, STARTING };

struct node {
	enum state state;
	uint32_t stop; /* index of its latest stop */
	int64_t since_us;
	int64_t closes_us; /* callers send nothing new from then on */
	bool again;
};

static const char *const services[] = { "cellar-view", "seal-desk",
					"log-archive" };

static struct play_options options = {
	.template = "deploy/node.toml",
	.nodes = 12,
	.pause_min_ms = 300,
	.pause_max_ms = 1500,
	.stops = 10,
	.at_once = 1,
	.gap_ms = 1300,
	.down_ms = 1000,
	.routes = 400,
	.rate = 5,
	.work_ms = 200,
	.big_bytes = 30 * 1024,
	.timeout_ms = 1200,
	.deadline_ms = 2000,
	.seed = 1,
};
static struct cluster cluster;
static struct play_clients clients;
static struct play_pauses pauses;
static struct play_events events;
static struct node nodes[CLUSTER_NODES_MAX];
static struct random draws;
static struct process upstreams[PROCESSES_MAX];
static uint32_t upstream_processes;
static char addresses[CLUSTER_NODES_MAX][ENDPOINT_SIZE];
static uint64_t version;

static bool read_options(int argc, char **argv)
{
	const struct {
		const char *name;
		uint32_t *number;
	} rows[] = {
		{ "--nodes", &options.nodes },
		{ "--pauses", &options.pauses },
		{ "--pause-min-ms", &options.pause_min_ms },
		{ "--pause-max-ms", &options.pause_max_ms },
		{ "--stops", &options.stops },
		{ "--at-once", &options.at_once },
		{ "--gap-ms", &options.gap_ms },
		{ "--down-ms", &options.down_ms },
		{ "--again-ms", &options.again_ms },
		{ "--document-ms", &options.document_ms },
		{ "--routes", &options.routes },
		{ "--work-ms", &options.work_ms },
		{ "--big-bytes", &options.big_bytes },
		{ "--timeout-ms", &options.timeout_ms },
		{ "--deadline-ms", &options.deadline_ms },
	};
	int i;

	for (i = 1; i + 1 < argc; i += 2) {
		bool known = true;
		size_t j;

		if (!strcmp(argv[i], "--program"))
			options.program = argv[i + 1];
		else if (!strcmp(argv[i], "--template"))
			options.template = argv[i + 1];
		else if (!strcmp(argv[i], "--share"))
			options.share = strtod(argv[i + 1], NULL);
		else if (!strcmp(argv[i], "--quota"))
			options.quota = strtol(argv[i + 1], NULL, 10) != 0;
		else if (!strcmp(argv[i], "--rate"))
			options.rate = strtod(argv[i + 1], NULL);
		else if (!strcmp(argv[i], "--seed"))
			options.seed = strtoull(argv[i + 1], NULL, 10);
		else
			known = false;
		for (j = 0; j < sizeof(rows) / sizeof(rows[0]); j++)
			if (!strcmp(argv[i], rows[j].name)) {
				*rows[j].number = (uint32_t)strtoul(argv[i + 1],
								    NULL, 10);
				known = true;
			}
		if (!known)
			fprintf(stderr, "unknown option %s\n", argv[i]);
		if (!known)
			return false;
	}
	return i == argc && options.nodes >= SERVICES &&
	       options.nodes <= CLUSTER_NODES_MAX &&
	       options.stops <= PLAY_STOPS_MAX && options.at_once &&
	       options.pause_max_ms >= options.pause_min_ms;
}

/* The settings after the platform's address, without those that the platform
 * fills in. */
static bool read_template(char *text, size_t size)
{
	FILE *file = fopen(options.template, "re");
	bool copies = false;
	size_t used = 0;
	char line[256];

	while (file && fgets(line, sizeof(line), file)) {
		if (copies && !strstr(line, "{{"))
			used += (size_t)snprintf(text + used, size - used, "%s",
						 line);
		if (!strcmp(line, "[platform]\n"))
			copies = true;
		if (used >= size)
			copies = false;
	}
	if (file)
		fclose(file);
	return copies;
}

static bool start_upstreams_of(const char *service)
{
	char list[LIST_SIZE] = "";
	uint32_t members[PER_PROCESS];
	char instance[64];
	char count[16];
	uint32_t found = 0;
	size_t used = 0;
	uint32_t i;

	for (i = 0; i <= cluster.node_count; i++) {
		const char *args[] = {
			"upstream", "--service",   service,    "--profile",
			"default",  "--announce",  list,       "--instance",
			instance,   "--interface", "platform", "--count",
			count,	    "--slots",	   "9",	       "--queue",
			"18",	    NULL
		};
		struct process *process = &upstreams[upstream_processes];
		char all[PROCESS_READY_SIZE];
		char log[256];
		char *address;
		char *rest;
		uint32_t j;

		if (i < cluster.node_count &&
		    !strcmp(cluster.nodes[i].service, service)) {
			members[found++] = i;
			used += (size_t)snprintf(list + used,
						 sizeof(list) - used, "%s%s",
						 used ? "," : "",
						 cluster.nodes[i].announce);
		}
		if (!found || (i < cluster.node_count && found < PER_PROCESS))
			continue;
		if (upstream_processes == PROCESSES_MAX)
			return false;
		snprintf(count, sizeof(count), "%u", found);
		snprintf(instance, sizeof(instance), "i-%u",
			 upstream_processes++);
		snprintf(log, sizeof(log), "%s/%s.log", cluster.dir, instance);
		if (!process_start(process, "standin", args, log) ||
		    !process_wait_ready(process, WAIT_MS) ||
		    !process_ready_text(process, "addresses", all, sizeof(all)))
			return false;
		rest = all;
		for (j = 0; j < found && (address = strsep(&rest, ",")); j++)
			snprintf(addresses[members[j]], ENDPOINT_SIZE, "%s",
				 address);
		found = 0;
		used = 0;
		list[0] = '\0';
	}
	return true;
}

static bool write_document(void)
{
	static char document[DOCUMENT_SIZE];
	size_t used = 0;
	uint32_t i;

	used += (size_t)snprintf(document, sizeof(document),
				 "{\"version\":\"r%llu\",\"routes\":{",
				 (unsigned long long)++version);
	for (i = 0; i < SERVICES + options.routes; i++) {
		bool first = i < SERVICES;
		char host[64];

		snprintf(host, sizeof(host), first ? "%s" : "%s-%u.example",
			 services[i % SERVICES], i);
		used += (size_t)snprintf(
			document + used, sizeof(document) - used,
			"%s\"r%u\":{\"host\":\"%s\",\"prefix\":\"/read/\","
			"\"kind\":\"safe\",\"timeout_s\":%.3f,"
			"\"target_latency_s\":0.5,\"priority\":1,"
			"\"service\":\"%s\",\"max_attempts\":3},"
			"\"s%u\":{\"host\":\"%s\",\"prefix\":\"/seal/\","
			"\"kind\":\"unsafe\",\"timeout_s\":%.3f,"
			"\"target_latency_s\":0.5,\"priority\":0,"
			"\"service\":\"%s\",\"max_attempts\":3}",
			i ? "," : "", i, host, options.timeout_ms / 1000.0,
			services[i % SERVICES], i, host,
			options.timeout_ms / 1000.0, services[i % SERVICES]);
		if (used + 1024 > sizeof(document))
			return false;
	}
	used += (size_t)snprintf(document + used, sizeof(document) - used,
				 "},\"services\":{");
	for (i = 0; i < SERVICES; i++)
		used += (size_t)snprintf(
			document + used, sizeof(document) - used,
			"%s\"%s\":{\"health_path\":"
			"\"/healthz\",\"max_connections\":110}",
			i ? "," : "", services[i]);
	snprintf(document + used, sizeof(document) - used, "}}");
	return cluster_write_document(&cluster, document);
}

static bool holds(bool holds, const char *what)
{
	if (!holds)
		fprintf(stderr, "not ready: %s\n", what);
	return holds;
}

static void sleep_ms(int64_t ms)
{
	const struct timespec wait = { ms / 1000, (ms % 1000) * 1000000 };

	nanosleep(&wait, NULL);
}

static bool begin(void)
{
	static char settings[SETTINGS_SIZE];
	const struct cluster_options wanted = {
		.centres = options.nodes < PLAY_CENTRES * SERVICES
				   ? 1
				   : PLAY_CENTRES,
		.nodes = options.nodes,
		.services = { services[0], services[1], services[2] },
		.profile = "default",
		.settings = settings,
		.target_platform = true,
		.no_upstreams = true,
		.no_seeds = true,
		.node_program = options.program,
	};
	uint32_t i;

	if (!holds(read_template(settings, sizeof(settings)), "template") ||
	    !holds(cluster_start(&cluster, &wanted), "cluster"))
		return false;
	for (i = 0; i < SERVICES; i++)
		if (!holds(start_upstreams_of(services[i]), services[i]))
			return false;
	for (i = 0; i < WRITES && !write_document(); i++)
		sleep_ms(WRITE_RETRY_MS);
	return holds(i < WRITES, "document") &&
	       holds(cluster_wait_members(&cluster, options.nodes, WAIT_MS),
		     "members") &&
	       holds(cluster_wait_routes(&cluster, WAIT_MS), "routes") &&
	       holds(play_clients_begin(&clients, &cluster, &options),
		     "callers");
}

static void stop_node(uint32_t i)
{
	int64_t now_us = clock_monotonic_us();

	if (nodes[i].state != RUNNING || events.stop_count == PLAY_STOPS_MAX)
		return;
	nodes[i].state = STOPPING;
	nodes[i].since_us = now_us;
	nodes[i].closes_us =
		now_us +
		(NOTICE_MIN_MS + random_below(&draws, NOTICE_MS)) * US_PER_MS;
	nodes[i].stop = events.stop_count;
	events.stops[events.stop_count++] =
		(struct play_stop){ .node = i, .term_us = now_us };
	process_signal(&cluster.nodes[i].process, SIGTERM);
}

static void draw_pauses(uint32_t stopped, int64_t stop_us)
{
	uint32_t range = options.pause_max_ms - options.pause_min_ms + 1;
	uint32_t i;

	for (i = 0; i < options.pauses; i++) {
		uint32_t node = random_below(&draws, options.nodes);
		struct play_pause pause = { .node = node };

		pause.begin_us =
			stop_us +
			((int64_t)random_below(&draws, PAUSE_WITHIN_MS) -
			 PAUSE_BEFORE_MS) *
				US_PER_MS;
		pause.until_us =
			pause.begin_us +
			(options.pause_min_ms + random_below(&draws, range)) *
				US_PER_MS;
		if (node == stopped || events.pause_count == PLAY_PAUSES_MAX)
			continue;
		events.pauses[events.pause_count++] = pause;
		play_pauses_add(&pauses, node, pause.begin_us, pause.until_us);
	}
}

static void reap(uint32_t i, int64_t now_us)
{
	struct process *process = &cluster.nodes[i].process;
	bool ended;

	if (now_us > nodes[i].since_us + PLAY_GRACE_MS * US_PER_MS)
		process_signal(process, SIGKILL);
	pthread_mutex_lock(&pauses.lock);
	ended = process_wait(process, 0);
	if (ended)
		pauses.pid[i] = 0;
	pthread_mutex_unlock(&pauses.lock);
	if (!ended)
		return;
	events.stops[nodes[i].stop].gone_us = now_us;
	events.stops[nodes[i].stop].exit_status = process->exit_status;
	nodes[i].state = DOWN;
	nodes[i].since_us = now_us;
}

static void step_node(uint32_t i, int64_t now_us)
{
	struct node *node = &nodes[i];
	int64_t age_us = now_us - node->since_us;

	switch (node->state) {
	case RUNNING:
		clients.accepts[i] = true;
		if (node->again && age_us >= options.again_ms * US_PER_MS) {
			node->again = false;
			stop_node(i);
		}
		break;
	case STOPPING:
		clients.accepts[i] = now_us < node->closes_us;
		reap(i, now_us);
		break;
	case DOWN:
		clients.accepts[i] = false;
		if (age_us < options.down_ms * US_PER_MS)
			break;
		if (!cluster_spawn_node(&cluster, i))
			fprintf(stderr, "node %u does not start\n", i);
		play_pauses_set(&pauses, i, cluster.nodes[i].process.pid);
		node->state = STARTING;
		node->since_us = now_us;
		break;
	case STARTING:
		if (age_us < BACK_MS * US_PER_MS)
			break;
		node->state = RUNNING;
		node->since_us = now_us;
		break;
	}
}

static bool all_run(void)
{
	uint32_t i;

	for (i = 0; i < options.nodes; i++)
		if (nodes[i].state != RUNNING)
			return false;
	return true;
}

/* Nodes of a data centre are stopped in turn, as in a rolling restart. */
static void stop_next(uint32_t *next, uint32_t *done)
{
	int64_t now_us = clock_monotonic_us();
	uint32_t i;

	for (i = 0; i < options.at_once && *done < options.stops; i++) {
		uint32_t node = *next % options.nodes;

		*next += 1;
		*done += 1;
		stop_node(node);
		nodes[node].again = options.again_ms > 0;
		draw_pauses(node, now_us);
	}
}

static void play(void)
{
	int64_t now_us = clock_monotonic_us();
	int64_t next_stop_us = now_us + WARM_MS * US_PER_MS;
	int64_t next_document_us = next_stop_us;
	int64_t end_us = 0;
	uint32_t next = random_below(&draws, options.nodes);
	uint32_t done = 0;
	uint32_t i;

	clients.sends = true;
	while (!end_us || now_us < end_us) {
		play_clients_run(&clients, now_us + STEP_MS * US_PER_MS);
		now_us = clock_monotonic_us();
		for (i = 0; i < options.nodes; i++)
			step_node(i, now_us);
		if (done < options.stops && now_us >= next_stop_us) {
			next_stop_us += options.gap_ms * US_PER_MS;
			stop_next(&next, &done);
		}
		if (options.document_ms && now_us >= next_document_us) {
			next_document_us += options.document_ms * US_PER_MS;
			if (!write_document())
				fprintf(stderr, "document not written\n");
		}
		if (!end_us && done == options.stops && all_run() &&
		    now_us > next_stop_us + SETTLE_MS * US_PER_MS)
			end_us = now_us + SETTLE_MS * US_PER_MS;
	}
	clients.sends = false;
	play_clients_run(&clients, now_us + SETTLE_MS * US_PER_MS);
}

static void print_shape(void)
{
	printf("{\"play\":\"shape\",\"program\":\"%s\",\"nodes\":%u,"
	       "\"share\":%.2f,\"quota\":%s,\"pauses\":%u,\"pause_ms\":[%u,%u],"
	       "\"stops\":%u,\"at_once\":%u,\"gap_ms\":%u,\"down_ms\":%u,"
	       "\"again_ms\":%u,\"document_ms\":%u,\"routes\":%u,\"rate\":%.1f,"
	       "\"work_ms\":%u,\"big_bytes\":%u,\"timeout_ms\":%u,\"deadline_ms\":%u,"
	       "\"seed\":%llu}\n",
	       options.program, options.nodes, options.share,
	       options.quota ? "true" : "false", options.pauses,
	       options.pause_min_ms, options.pause_max_ms, options.stops,
	       options.at_once, options.gap_ms, options.down_ms,
	       options.again_ms, options.document_ms, options.routes,
	       options.rate, options.work_ms, options.big_bytes,
	       options.timeout_ms, options.deadline_ms,
	       (unsigned long long)options.seed);
}

static void print_stops(void)
{
	uint32_t i;

	for (i = 0; i < events.stop_count; i++) {
		const struct play_stop *stop = &events.stops[i];
		long long took_ms = (stop->gone_us - stop->term_us) / US_PER_MS;

		printf("{\"play\":\"stop\",\"node\":\"%s\",\"took_ms\":%lld,"
		       "\"exit_status\":%d}\n",
		       cluster.nodes[stop->node].instance, took_ms,
		       stop->exit_status);
	}
}

int main(int argc, char **argv)
{
	uint32_t i;

	if (!read_options(argc, argv)) {
		fprintf(stderr,
			"usage: stop_play [--option value]..., see play.h\n");
		return 2;
	}
	random_init(&draws, options.seed + 2);
	if (!begin()) {
		fprintf(stderr, "the cluster does not start\n");
		cluster_stop(&cluster);
		return 1;
	}
	print_shape();
	if (play_pauses_begin(&pauses, &cluster, &options))
		play();
	play_pauses_end(&pauses);
	for (i = 0; i < options.nodes; i++)
		if (!play_join_runs(&clients, addresses[i], i))
			fprintf(stderr, "no runs of upstream %u\n", i);
	print_stops();
	play_judge(&clients, &events);
	for (i = 0; i < upstream_processes; i++)
		process_kill(&upstreams[i]);
	cluster_stop(&cluster);
	return 0;
}
