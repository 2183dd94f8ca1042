#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#include "functional/background.h"
#include "os/clock.h"

/**
 * DOC: odd config
 *
 * Versions with a value that is unusual or past a bound of the program, beside
 * an ordinary change, on real nodes with the interface of the target platform.
 */

enum {
	NODES = 2,
	RESTARTED = 1,
	WAIT_MS = BACKGROUND_WAIT_MS,
	POLL_MS = 20,
	DOCUMENT_SIZE = 16 * 1024,
};

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))
#define TEN "abcdefghij"
#define FORTY TEN TEN TEN TEN
#define BYTES_160 FORTY FORTY FORTY FORTY
#define ODD(settings) "\"odd\":{\"host\":\"o.example\",\"prefix\":" settings "}"

/* @routes begin with a comma; @wanted is the status of a request to @path. */
static const struct {
	const char *name;
	const char *routes;
	const char *path;
	long wanted;
} cases[] = {
	{ "prefix of 162 bytes",
	  "," ODD("\"/" BYTES_160 "/\",\"timeout_s\":5,\"service\":\"kafi\""),
	  "/" BYTES_160 "/1", 200 },
	{ "time limit of 900 s",
	  "," ODD("\"/odd/\",\"timeout_s\":900,\"service\":\"kafi\""), "/odd/1",
	  200 },
	{ "no service", "," ODD("\"/odd/\",\"timeout_s\":5"), "/odd/1", 503 },
	{ "service name of 160 bytes",
	  "," ODD("\"/odd/\",\"timeout_s\":5,\"service\":\"" BYTES_160 "\""),
	  "/odd/1", 503 },
	{ "no object", ",\"odd\":7", "/odd/1", 404 },
};

static struct cluster cluster;

/* Writes a version in which the requests for h.example go to @service. */
static void write_document(int version, const char *service, const char *routes)
{
	static char document[DOCUMENT_SIZE];

	snprintf(document, sizeof(document),
		 "{\"version\":\"r%d\",\"routes\":{\"r-1\":{\"host\":"
		 "\"h.example\",\"prefix\":\"/\",\"kind\":\"safe\","
		 "\"timeout_s\":5,\"target_latency_s\":1,\"priority\":0,"
		 "\"service\":\"%s\",\"max_attempts\":2}%s},\"services\":"
		 "{\"huvo\":{\"health_path\":\"/healthz\"},"
		 "\"kafi\":{\"health_path\":\"/healthz\"}},\"limits\":{}}",
		 version, service, routes);
	cr_assert(cluster_write_document(&cluster, document));
}

static long get(uint32_t node, const char *host, const char *path)
{
	struct fetch fetch = { .headers = { "X-Deadline-Ms: 2000" } };
	long status;

	cluster_call(&cluster, node, host, &fetch, path);
	status = fetch.status;
	fetch_finish(&fetch);
	return status;
}

static void wait_get(uint32_t node, const char *host, const char *path,
		     long wanted, const char *name)
{
	int64_t until_us = clock_monotonic_us() + WAIT_MS * US_PER_MS;
	long status;

	while ((status = get(node, host, path)) != wanted) {
		cr_assert_lt(clock_monotonic_us(), until_us,
			     "%s: node %u answers %ld", name, node, status);
		sleep_ms(POLL_MS);
	}
}

static void start(void)
{
	static const struct cluster_options options = {
		.centres = 1,
		.nodes = NODES,
		.services = { "huvo", "kafi" },
		.profile = "default",
		.settings = "timeout_ms = 1000\n",
		.target_platform = true,
	};

	cr_assert(cluster_start(&cluster, &options));
	cr_assert(cluster_wait_members(&cluster, NODES, WAIT_MS));
}

static void stop(void)
{
	cluster_stop(&cluster);
}

/* Guards against an acknowledged version that never takes effect, on a running
 * node or on one that starts, because one of its routes is odd. */
Test(odd_config, an_odd_route_keeps_no_version_out, .init = start, .fini = stop,
     .timeout = 240)
{
	int version = 1;
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		uint32_t node;

		write_document(version++, "none", "");
		wait_get(0, "h.example", "/", 503, cases[i].name);
		write_document(version, "huvo", cases[i].routes);
		for (node = 0; node < NODES; node++) {
			wait_get(node, "h.example", "/", 200, cases[i].name);
			wait_get(node, "o.example", cases[i].path,
				 cases[i].wanted, cases[i].name);
		}
		process_kill(&cluster.nodes[RESTARTED].process);
		cr_assert(cluster_start_node(&cluster, RESTARTED));
		cr_assert(cluster_wait_version(&cluster, -1, (uint64_t)version,
					       WAIT_MS),
			  "%s: version %d", cases[i].name, version);
		wait_get(RESTARTED, "o.example", cases[i].path, cases[i].wanted,
			 cases[i].name);
		version++;
	}
}
