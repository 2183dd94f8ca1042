#include "fleet/cluster.h"

#include <dirent.h>
#include <jansson.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <time.h>
#include <unistd.h>

#include "os/clock.h"

enum {
	READY_TIMEOUT_MS = 20000,
	POLL_MS = 20,
	ANSWER_SIZE = 1 << 18,
	LOG_PRINTED_BYTES = 2000,
	OCTETS = 250,
	DOCUMENT_SIZE = 512 * 1024,
};

static void sleep_ms(int64_t ms)
{
	struct timespec wait = { ms / 1000, (ms % 1000) * 1000000 };

	nanosleep(&wait, NULL);
}

static void format_path(const struct cluster *cluster, char *path, size_t size,
			const char *name, uint32_t i, const char *ending)
{
	snprintf(path, size, "%s/%s-%u.%s", cluster->dir, name, i, ending);
}

void cluster_account_path(const struct cluster *cluster, uint32_t i, char *path,
			  size_t size)
{
	format_path(cluster, path, size, "account", i, "txt");
}

void cluster_log_path(const struct cluster *cluster, uint32_t i, char *path,
		      size_t size)
{
	format_path(cluster, path, size, "node", i, "log");
}

static void write_seeds(const struct cluster *cluster, uint32_t self,
			FILE *file)
{
	const char *comma = "";
	uint32_t i;

	fputs("seeds = [", file);
	/* Of those that have an address: the other of the pair, or the first
	 * two of each data centre. */
	for (i = 0; !cluster->options.no_seeds && i < cluster->node_count;
	     i++) {
		if (i == self || !cluster->nodes[i].peer[0])
			continue;
		if (cluster->options.seeds_in_pairs
			    ? i / 2 != self / 2
			    : cluster->nodes[i].index_in_centre > 1)
			continue;
		fprintf(file, "%s\"%s\"", comma, cluster->nodes[i].peer);
		comma = ", ";
	}
	fputs("]\n", file);
}

/* Each process has addresses of its own: a node that restarts would otherwise
 * find its port taken by a node of a cluster that another process starts. */
static uint32_t network_octet(void)
{
	return 1 + (uint32_t)getpid() % OCTETS;
}

static uint32_t host_octet(void)
{
	return 1 + (uint32_t)getpid() / OCTETS % OCTETS;
}

static void write_listen(const struct cluster_node *node, FILE *file)
{
	const struct {
		const char *key, *address;
	} rows[] = {
		{ "peer", node->peer },
		{ "caller", node->caller },
		{ "upstream", node->announce },
		{ "operator", node->operator_address },
	};
	size_t i;

	fputs("[listen]\n", file);
	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++)
		if (rows[i].address[0])
			fprintf(file, "%s = \"%s\"\n", rows[i].key,
				rows[i].address);
		else
			fprintf(file, "%s = \"127.%u.%u.%u:0\"\n", rows[i].key,
				network_octet(), node->centre + 1,
				host_octet());
}

static bool write_settings(struct cluster *cluster, uint32_t i)
{
	struct cluster_node *node = &cluster->nodes[i];
	FILE *file;

	format_path(cluster, node->settings_path, sizeof(node->settings_path),
		    "node", i, "toml");
	file = fopen(node->settings_path, "we");
	if (!file)
		return false;
	fprintf(file,
		"[node]\ndeployment = \"test\"\ndata_centre = \"dc-%u\"\n"
		"instance = \"%s\"\n",
		node->centre + 1, node->instance);
	if (cluster->options.target_platform)
		fprintf(file, "interface = \"platform\"\nservice = \"%s\"\n",
			node->service);
	write_listen(node, file);
	fputs("[peers]\nsecret = \"a secret of the tests\"\n", file);
	write_seeds(cluster, i, file);
	if (!cluster->options.no_platform)
		fprintf(file, "[platform]\naddress = \"%s\"\n",
			cluster->link_address[node->centre][0]
				? cluster->link_address[node->centre]
				: cluster->platform_address);
	if (cluster->options.settings)
		fputs(cluster->options.settings, file);
	return fclose(file) == 0;
}

bool cluster_spawn_node(struct cluster *cluster, uint32_t i)
{
	struct cluster_node *node = &cluster->nodes[i];
	const char *args[] = { "node", "--settings", node->settings_path,
			       NULL };
	const char *program = cluster->options.node_program;
	char log[256];

	if (!write_settings(cluster, i))
		return false;
	format_path(cluster, log, sizeof(log), "node", i, "log");
	return process_start(&node->process,
			     program ? program : "geraniumplank", args, log);
}

bool cluster_wait_node(struct cluster *cluster, uint32_t i)
{
	struct cluster_node *node = &cluster->nodes[i];
	struct process *process = &node->process;

	return process_wait_ready(process, READY_TIMEOUT_MS) &&
	       process_ready_text(process, "peer", node->peer, ENDPOINT_SIZE) &&
	       process_ready_text(process, "caller", node->caller,
				  ENDPOINT_SIZE) &&
	       process_ready_text(process, "upstream", node->announce,
				  ENDPOINT_SIZE) &&
	       process_ready_text(process, "operator", node->operator_address,
				  ENDPOINT_SIZE);
}

/* Prints the end of the log of a node: the log is deleted with the cluster. */
static void print_log(const struct cluster *cluster, uint32_t i)
{
	char text[LOG_PRINTED_BYTES + 1];
	char log[256];
	size_t size;
	FILE *file;

	format_path(cluster, log, sizeof(log), "node", i, "log");
	file = fopen(log, "re");
	if (!file)
		return;
	if (fseek(file, -LOG_PRINTED_BYTES, SEEK_END))
		rewind(file);
	size = fread(text, 1, LOG_PRINTED_BYTES, file);
	text[size] = '\0';
	fprintf(stderr, "end of the log of node %u, exit status %d:\n%s\n", i,
		cluster->nodes[i].process.exit_status, text);
	fclose(file);
}

void cluster_print_logs(const struct cluster *cluster)
{
	uint32_t i;

	for (i = 0; i < cluster->node_count; i++)
		print_log(cluster, i);
}

bool cluster_start_node(struct cluster *cluster, uint32_t i)
{
	if (cluster_spawn_node(cluster, i) && cluster_wait_node(cluster, i))
		return true;
	print_log(cluster, i);
	return false;
}

bool cluster_start_upstream(struct cluster *cluster, uint32_t i)
{
	struct cluster_node *node = &cluster->nodes[i];
	const char *args[PROCESS_ARGS_MAX + 1] = {
		"upstream",	"--service",   node->service,
		"--profile",	node->profile, "--announce",
		node->announce, "--instance",  node->instance,
	};
	uint32_t count = 9;
	char account[256];
	char log[256];
	uint32_t j;

	if (cluster->options.target_platform) {
		args[count++] = "--interface";
		args[count++] = "platform";
	}
	if (cluster->options.accounts) {
		cluster_account_path(cluster, i, account, sizeof(account));
		args[count++] = "--account";
		args[count++] = account;
	}
	for (j = 0; cluster->options.upstream_args[j]; j++)
		args[count++] = cluster->options.upstream_args[j];
	format_path(cluster, log, sizeof(log), "upstream", i, "log");
	return process_start(&node->upstream, "standin", args, log) &&
	       process_wait_ready(&node->upstream, READY_TIMEOUT_MS) &&
	       process_ready_text(&node->upstream, "address",
				  node->upstream_address, ENDPOINT_SIZE);
}

static bool start_platform(struct cluster *cluster)
{
	const char *kind = cluster->options.target_platform ? "metadata"
							    : "platform";
	const char *args[] = { kind, "--port", "0", NULL };
	char log[256];

	format_path(cluster, log, sizeof(log), "platform", 0, "log");
	return process_start(&cluster->platform, "standin", args, log) &&
	       process_wait_ready(&cluster->platform, READY_TIMEOUT_MS) &&
	       process_ready_text(&cluster->platform, "address",
				  cluster->platform_address, ENDPOINT_SIZE);
}

static bool start_link(struct cluster *cluster, uint32_t centre)
{
	const char *args[] = { "link", "--to", cluster->platform_address,
			       NULL };
	struct process *link = &cluster->links[centre];
	char log[256];

	format_path(cluster, log, sizeof(log), "link", centre, "log");
	return process_start(link, "standin", args, log) &&
	       process_wait_ready(link, READY_TIMEOUT_MS) &&
	       process_ready_text(link, "address",
				  cluster->link_address[centre],
				  ENDPOINT_SIZE) &&
	       process_ready_text(link, "control",
				  cluster->link_control[centre], ENDPOINT_SIZE);
}

static void assign_node(struct cluster *cluster, uint32_t i)
{
	const struct cluster_options *options = &cluster->options;
	struct cluster_node *node = &cluster->nodes[i];
	uint32_t count = 0;

	while (count < CLUSTER_SERVICES_MAX && options->services[count])
		count++;
	node->centre = i * options->centres / options->nodes;
	if (i && cluster->nodes[i - 1].centre == node->centre)
		node->index_in_centre =
			cluster->nodes[i - 1].index_in_centre + 1;
	snprintf(node->instance, sizeof(node->instance), "dc-%u-n%u",
		 node->centre + 1, node->index_in_centre + 1);
	if (count)
		snprintf(node->service, sizeof(node->service), "%s",
			 options->services[node->index_in_centre % count]);
	node->profile = options->profile;
	if (count && options->profiles[node->index_in_centre % count])
		node->profile =
			options->profiles[node->index_in_centre % count];
}

bool cluster_start(struct cluster *cluster,
		   const struct cluster_options *options)
{
	const char *tmp = getenv("TMPDIR");
	uint32_t i;

	memset(cluster, 0, sizeof(*cluster));
	cluster->options = *options;
	snprintf(cluster->dir, sizeof(cluster->dir), "%s/geraniumplank-XXXXXX",
		 tmp && *tmp ? tmp : "/tmp");
	if (!mkdtemp(cluster->dir))
		return false;
	if (!options->no_platform && !start_platform(cluster))
		return false;
	for (i = 0; !options->no_platform && i < options->centres; i++)
		if (!start_link(cluster, i))
			return false;
	cluster->node_count = options->nodes;
	for (i = 0; i < cluster->node_count; i++) {
		assign_node(cluster, i);
		if (!cluster_start_node(cluster, i))
			return false;
	}
	for (i = 0; i < cluster->node_count; i++)
		if (cluster->nodes[i].service[0] && !options->no_upstreams &&
		    !cluster_start_upstream(cluster, i))
			return false;
	return true;
}

static void remove_dir(const char *dir)
{
	struct dirent *entry;
	char path[512];
	DIR *handle;

	if (getenv("GERANIUMPLANK_KEEP"))
		return;
	handle = opendir(dir);
	while (handle && (entry = readdir(handle))) {
		snprintf(path, sizeof(path), "%s/%s", dir, entry->d_name);
		unlink(path);
	}
	if (handle)
		closedir(handle);
	rmdir(dir);
}

void cluster_stop(struct cluster *cluster)
{
	uint32_t i;

	for (i = 0; i < cluster->node_count; i++) {
		process_kill(&cluster->nodes[i].upstream);
		process_kill(&cluster->nodes[i].process);
	}
	for (i = 0; i < CLUSTER_CENTRES_MAX; i++)
		process_kill(&cluster->links[i]);
	process_kill(&cluster->platform);
	remove_dir(cluster->dir);
}

static json_t *get_json(const char *address, const char *path)
{
	struct fetch fetch = { .method = "GET" };
	json_t *json = NULL;

	snprintf(fetch.url, sizeof(fetch.url), "http://%s%s", address, path);
	if (fetch_run(&fetch) && fetch.status == 200)
		json = json_loadb(fetch.answer, fetch.answer_size, 0, NULL);
	fetch_finish(&fetch);
	return json;
}

int64_t cluster_node_status(struct cluster *cluster, uint32_t i,
			    const char *name)
{
	/* Avoids /v1/status, whose requests cause traffic between nodes. */
	json_t *json =
		get_json(cluster->nodes[i].operator_address, "/v1/dump/node");
	json_t *found = json_object_get(json_object_get(json, "node"), name);
	int64_t value = json_is_boolean(found) ? json_is_true(found)
					       : json_integer_value(found);

	json_decref(json);
	return value;
}

uint64_t cluster_version(struct cluster *cluster, uint32_t i)
{
	return (uint64_t)cluster_node_status(cluster, i, "version");
}

int64_t cluster_counter(struct cluster *cluster, uint32_t i, const char *name)
{
	json_t *json =
		get_json(cluster->nodes[i].operator_address, "/v1/counters");
	json_t *value = json_object_get(json, name);
	int64_t number = -1;

	if (!value)
		value = json_object_get(json_object_get(json, "counters"),
					name);
	if (json_is_integer(value))
		number = json_integer_value(value);
	json_decref(json);
	return number;
}

/* Polls until each live node of @centre (-1: all) meets a condition. */
static bool wait_each(struct cluster *cluster, int centre, int64_t timeout_ms,
		      bool (*holds)(struct cluster *cluster, uint32_t i,
				    uint64_t wanted),
		      uint64_t wanted)
{
	int64_t until_us = clock_monotonic_us() + timeout_ms * US_PER_MS;
	uint32_t i = 0;

	while (i < cluster->node_count) {
		const struct cluster_node *node = &cluster->nodes[i];

		if (node->process.pid <= 0 ||
		    (centre >= 0 && node->centre != (uint32_t)centre) ||
		    holds(cluster, i, wanted)) {
			i++;
			continue;
		}
		if (clock_monotonic_us() >= until_us)
			return false;
		sleep_ms(POLL_MS);
	}
	return true;
}

static bool has_members(struct cluster *cluster, uint32_t i, uint64_t wanted)
{
	return cluster_node_status(cluster, i, "members") >= (int64_t)wanted;
}

static bool has_version(struct cluster *cluster, uint32_t i, uint64_t wanted)
{
	return cluster_version(cluster, i) >= wanted;
}

static bool has_routes(struct cluster *cluster, uint32_t i, uint64_t wanted)
{
	return cluster_node_status(cluster, i, "services") >= (int64_t)wanted;
}

bool cluster_wait_members(struct cluster *cluster, uint32_t count,
			  int64_t timeout_ms)
{
	return wait_each(cluster, -1, timeout_ms, has_members, count);
}

bool cluster_wait_version(struct cluster *cluster, int centre, uint64_t version,
			  int64_t timeout_ms)
{
	return wait_each(cluster, centre, timeout_ms, has_version, version);
}

bool cluster_wait_routes(struct cluster *cluster, int64_t timeout_ms)
{
	uint32_t count = 0;

	while (count < CLUSTER_SERVICES_MAX && cluster->options.services[count])
		count++;
	return wait_each(cluster, -1, timeout_ms, has_routes, count);
}

uint64_t cluster_accept(struct cluster *cluster, uint32_t i, const char *name,
			const char *text)
{
	const char *address = cluster->nodes[i].operator_address;
	char answer[1024];
	char body[64];
	char path[256];
	uint64_t version = 0;
	json_t *json;
	long status;

	snprintf(path, sizeof(path), "/v1/profiles/%s/draft", name);
	status = fetch_simple("PUT", address, path, text, answer,
			      sizeof(answer));
	if (status != 200) {
		fprintf(stderr, "put: %ld %s\n", status, answer);
		return 0;
	}
	snprintf(path, sizeof(path), "/v1/profiles/%s/accept", name);
	snprintf(body, sizeof(body), "{\"id\":\"test-%u\"}",
		 cluster->accepts++);
	status = fetch_simple("POST", address, path, body, answer,
			      sizeof(answer));
	if (status != 200)
		fprintf(stderr, "accept: %ld %s\n", status, answer);
	json = json_loads(answer, 0, NULL);
	if (status == 200)
		version = (uint64_t)json_integer_value(
			json_object_get(json, "version"));
	json_decref(json);
	return version;
}

bool cluster_write_document(struct cluster *cluster, const char *document)
{
	static char value[DOCUMENT_SIZE];
	static char body[DOCUMENT_SIZE + 256];
	char answer[256];

	sodium_bin2base64(value, sizeof(value), (const uint8_t *)document,
			  strlen(document), sodium_base64_VARIANT_ORIGINAL);
	snprintf(body, sizeof(body),
		 "{\"precondition\":[],\"deletes\":[],\"writes\":[{\"key\":"
		 "\"op/config\",\"value\":\"%s\",\"lease\":0}]}",
		 value);
	return fetch_simple("POST", cluster->platform_address, "/-/kv-txn",
			    body, answer, sizeof(answer)) == 200;
}

void cluster_partition(struct cluster *cluster, uint32_t centre, bool cut)
{
	char answer[256];
	char body[512];
	uint32_t i;

	for (i = 0; i < cluster->node_count; i++) {
		const struct cluster_node *node = &cluster->nodes[i];
		size_t used = 0;
		uint32_t other;

		if (node->process.pid <= 0)
			continue;
		used += (size_t)snprintf(body, sizeof(body), "{\"networks\":[");
		for (other = 0; cut && other < cluster->options.centres;
		     other++) {
			bool crosses = (other == centre) !=
				       (node->centre == centre);

			if (crosses)
				used += (size_t)snprintf(
					body + used, sizeof(body) - used,
					"%s\"127.%u.%u.0/24\"",
					body[used - 1] == '[' ? "" : ",",
					network_octet(), other + 1);
		}
		snprintf(body + used, sizeof(body) - used, "]}");
		fetch_simple("PUT", node->operator_address, "/v1/drill", body,
			     answer, sizeof(answer));
	}
}

void cluster_stall_connections(struct cluster *cluster, uint32_t i)
{
	char answer[256];

	fetch_simple("PUT", cluster->nodes[i].operator_address, "/v1/drill",
		     "{\"networks\":[\"127.0.0.0/8\"],\"open_only\":true}",
		     answer, sizeof(answer));
}

void cluster_partition_platform(struct cluster *cluster, uint32_t centre,
				bool cut)
{
	char answer[256];

	fetch_simple("POST", cluster->link_control[centre], "/v1/faults",
		     cut ? "{\"cut\":true}" : "{\"cut\":false}", answer,
		     sizeof(answer));
}

bool cluster_platform_faults(struct cluster *cluster, const char *faults)
{
	char answer[256];

	return fetch_simple("POST", cluster->platform_address, "/v1/faults",
			    faults, answer, sizeof(answer)) == 200;
}

json_t *cluster_upstream_stats(const struct cluster *cluster, uint32_t i)
{
	return get_json(cluster->nodes[i].upstream_address,
			"/standin/stats?list=1");
}

json_t *cluster_upstream_tenants(const struct cluster *cluster, uint32_t i)
{
	return get_json(cluster->nodes[i].upstream_address, "/standin/tenants");
}

bool cluster_call(struct cluster *cluster, uint32_t i, const char *service,
		  struct fetch *fetch, const char *path)
{
	static char host[96];
	size_t used = 0;

	snprintf(host, sizeof(host), "Host: %s", service);
	while (used < FETCH_HEADERS_MAX - 1 && fetch->headers[used])
		used++;
	fetch->headers[used] = host;
	if (!fetch->method)
		fetch->method = "GET";
	snprintf(fetch->url, sizeof(fetch->url), "http://%s%s",
		 cluster->nodes[i].caller, path);
	return fetch_run(fetch);
}
