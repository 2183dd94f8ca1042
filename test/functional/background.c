#include "functional/background.h"

#include <stdio.h>
#include <string.h>
#include <time.h>

#include "os/clock.h"

enum { POLL_MS = 20 };

void sleep_ms(int64_t ms)
{
	struct timespec wait = { ms / 1000, (ms % 1000) * 1000000 };

	nanosleep(&wait, NULL);
}

static void *run(void *data)
{
	struct background_call *call = data;

	call->complete = fetch_run(&call->fetch);
	return NULL;
}

void background_begin(struct background_call *call,
		      const struct cluster *cluster, uint32_t i,
		      const char *service, const char *path, const char *id)
{
	memset(call, 0, sizeof(*call));
	snprintf(call->host, sizeof(call->host), "Host: %s", service);
	snprintf(call->id, sizeof(call->id), "X-Request-Id: %s", id);
	call->fetch.method = "POST";
	call->fetch.body = "{}";
	call->fetch.headers[0] = call->host;
	call->fetch.headers[1] = call->id;
	call->fetch.timeout_ms = BACKGROUND_WAIT_MS;
	snprintf(call->fetch.url, sizeof(call->fetch.url), "http://%s%s",
		 cluster->nodes[i].caller, path);
	pthread_create(&call->thread, NULL, run, call);
}

bool background_wait(struct background_call *call)
{
	pthread_join(call->thread, NULL);
	return call->complete;
}

void background_finish(struct background_call *call)
{
	fetch_finish(&call->fetch);
}

int64_t upstream_stat(const struct cluster *cluster, uint32_t i,
		      const char *name)
{
	json_t *stats = cluster_upstream_stats(cluster, i);
	int64_t number = json_integer_value(json_object_get(stats, name));

	json_decref(stats);
	return number;
}

bool upstream_wait_stat(const struct cluster *cluster, uint32_t i,
			const char *name, int64_t wanted)
{
	int64_t until_us =
		clock_monotonic_us() + BACKGROUND_WAIT_MS * US_PER_MS;

	while (upstream_stat(cluster, i, name) < wanted) {
		if (clock_monotonic_us() >= until_us)
			return false;
		sleep_ms(POLL_MS);
	}
	return true;
}

int64_t upstream_run_count(const struct cluster *cluster, uint32_t i,
			   const char *id)
{
	json_t *stats = cluster_upstream_stats(cluster, i);
	int64_t runs = json_integer_value(
		json_object_get(json_object_get(stats, "runs"), id));

	json_decref(stats);
	return runs;
}

long call_once(struct cluster *cluster, uint32_t i, const char *service,
	       struct fetch *fetch)
{
	memset(fetch, 0, sizeof(*fetch));
	fetch->method = "POST";
	fetch->body = "{}";
	fetch->timeout_ms = BACKGROUND_WAIT_MS;
	cluster_call(cluster, i, service, fetch, "/seal");
	return fetch->status;
}

bool call_wait_status(struct cluster *cluster, uint32_t i, const char *service,
		      long status)
{
	int64_t until_us =
		clock_monotonic_us() + BACKGROUND_WAIT_MS * US_PER_MS;

	for (;;) {
		struct fetch fetch;
		long got = call_once(cluster, i, service, &fetch);

		fetch_finish(&fetch);
		if (got == status)
			return true;
		if (clock_monotonic_us() >= until_us)
			return false;
		sleep_ms(POLL_MS);
	}
}
