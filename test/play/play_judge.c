#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "os/clock.h"
#include "play.h"

enum {
	RUNS_SIZE = 1 << 20,
	LINE_SIZE = 8192,
	CASES_MAX = 200,
	STATUS_ERROR = 500,
	/* A node counts the time from the head of a request, a caller from its
	 * last byte. */
	TIMEOUT_SLACK_MS = 20,
};

static const char *const end_names[] = { "open",   "answered", "cut",
					 "closed", "refused",  "given up" };
static const char *const lost_names[] = { "kept",	   "cut",
					  "no-answer-ran", "no-answer-late",
					  "replaced",	   "failed-after-run" };

/* A request whose log lines are printed. */
struct play_case {
	char id[PLAY_ID_SIZE];
	UT_hash_handle hh;
};

/* A text that the log lines of an event hold. */
struct log_text {
	const char *name;
	const char *text;
};

struct totals {
	uint32_t sent;
	uint32_t unsafe;
	uint32_t success;
	uint32_t own_failures; /* 502 and 504 of a node */
	uint32_t promises;     /* 429 and 503 of a node */
	uint32_t refused;
	uint32_t given_up;
	uint32_t around_stop;
	uint32_t lost[PLAY_LOST_KINDS];
	uint32_t lost_unsafe;
	uint32_t outside[PLAY_LOST_KINDS];
	uint32_t twice;
	uint32_t broken_promises;
};

bool play_join_runs(struct play_clients *clients, const char *address,
		    uint32_t upstream)
{
	static char answer[RUNS_SIZE];
	const char *id;
	json_t *runs;
	json_t *run;

	if (fetch_simple("GET", address, "/standin/runs", NULL, answer,
			 sizeof(answer)) != 200)
		return false;
	runs = json_loads(answer, 0, NULL);
	if (!runs)
		return false;
	json_object_foreach(runs, id, run) {
		unsigned long number = strlen(id) > 4
					       ? strtoul(id + 4, NULL, 16)
					       : clients->count;
		struct play_request *request;

		if (number >= clients->count)
			continue;
		request = &clients->requests[number];
		if (strcmp(request->id, id) != 0)
			continue;
		request->runs +=
			(uint32_t)json_integer_value(json_array_get(run, 0));
		request->upstream = upstream;
		request->run_us = json_integer_value(json_array_get(run, 1));
		request->run_end_us =
			json_integer_value(json_array_get(run, 2));
		request->aborted = json_is_true(json_array_get(run, 3));
	}
	json_decref(runs);
	return true;
}

/* The stop that the request lies around; NULL for none. */
static const struct play_stop *stop_of(const struct play_events *events,
				       const struct play_request *request)
{
	const int64_t wait_us =
		(PLAY_GRACE_MS + PLAY_AFTER_GRACE_MS) * US_PER_MS;
	uint32_t i;

	for (i = events->stop_count; i-- > 0;) {
		const struct play_stop *stop = &events->stops[i];

		if (stop->node == request->node &&
		    request->end_us >= stop->term_us &&
		    request->sent_us <= stop->term_us + wait_us)
			return stop;
	}
	return NULL;
}

static bool at_work(const struct play_request *request)
{
	return request->runs && request->run_us <= request->end_us &&
	       request->run_us + (int64_t)request->work_ms * US_PER_MS >
		       request->end_us;
}

static enum play_lost classify(const struct play_options *options,
			       const struct play_request *request)
{
	int64_t took_us = request->end_us - request->sent_us;
	uint32_t limit_ms = options->timeout_ms < options->deadline_ms
				    ? options->timeout_ms
				    : options->deadline_ms;
	bool timed_out = took_us >= (limit_ms - TIMEOUT_SLACK_MS) * US_PER_MS;

	if (!request->sent_us || timed_out)
		return PLAY_KEPT;
	switch (request->end) {
	case PLAY_CUT:
		return request->runs ? PLAY_LOST_CUT : PLAY_KEPT;
	case PLAY_CLOSED:
		if (request->runs)
			return PLAY_LOST_RUN;
		return took_us > PLAY_SLACK_MS * US_PER_MS
			       ? PLAY_LOST_UNANSWERED
			       : PLAY_KEPT;
	case PLAY_ANSWERED:
		if (request->status < 400 || request->stamped || !request->runs)
			return PLAY_KEPT;
		return at_work(request) ? PLAY_LOST_REPLACED
					: PLAY_FAILED_AFTER_RUN;
	default:
		return PLAY_KEPT;
	}
}

static long long ms(int64_t us)
{
	return us / US_PER_MS;
}

/* Time for which the node beside the upstream was paused within the request. */
static int64_t paused_us(const struct play_events *events,
			 const struct play_request *request)
{
	int64_t sum = 0;
	uint32_t i;

	for (i = 0; request->runs && i < events->pause_count; i++) {
		const struct play_pause *pause = &events->pauses[i];
		int64_t from = pause->begin_us > request->sent_us
				       ? pause->begin_us
				       : request->sent_us;
		int64_t to = pause->until_us < request->end_us
				     ? pause->until_us
				     : request->end_us;

		if (pause->node == request->upstream && to > from)
			sum += to - from;
	}
	return sum;
}

/* Time since the signal to the node beside the upstream, -1 for none. */
static long long beside_stopping_ms(const struct play_events *events,
				    const struct play_request *request)
{
	uint32_t i;

	for (i = events->stop_count; request->runs && i-- > 0;) {
		const struct play_stop *stop = &events->stops[i];

		if (stop->node == request->upstream &&
		    request->end_us >= stop->term_us &&
		    request->end_us < stop->term_us + PLAY_GRACE_MS * US_PER_MS)
			return ms(request->end_us - stop->term_us);
	}
	return -1;
}

static void print_case(const struct play_clients *clients,
		       const struct play_events *events,
		       const struct play_request *request,
		       const struct play_stop *stop, enum play_lost lost)
{
	const struct cluster_node *nodes = clients->cluster->nodes;

	printf("{\"play\":\"case\",\"kind\":\"%s\",\"around_stop\":%s,"
	       "\"id\":\"%s\",\"unsafe\":%s,\"kept\":%s,\"small\":%s,"
	       "\"node\":\"%s\",\"sent_after_signal_ms\":%lld,\"took_ms\":%lld,"
	       "\"end\":\"%s\",\"status\":%u,\"answer_bytes\":%u,"
	       "\"work_ms\":%u,\"runs\":%u,",
	       lost_names[lost], stop ? "true" : "false", request->id,
	       request->unsafe ? "true" : "false",
	       request->kept ? "true" : "false",
	       request->small ? "true" : "false", nodes[request->node].instance,
	       stop ? ms(request->sent_us - stop->term_us) : 0,
	       ms(request->end_us - request->sent_us), end_names[request->end],
	       request->status, request->answer_bytes, request->work_ms,
	       request->runs);
	printf("\"beside\":\"%s\",\"run_after_sent_ms\":%lld,"
	       "\"run_ended_after_sent_ms\":%lld,\"aborted\":%s,"
	       "\"beside_paused_ms\":%lld,\"beside_stopping_ms\":%lld}\n",
	       request->runs ? nodes[request->upstream].instance : "",
	       request->runs ? ms(request->run_us - request->sent_us) : 0,
	       request->run_end_us ? ms(request->run_end_us - request->sent_us)
				   : 0,
	       request->aborted ? "true" : "false",
	       ms(paused_us(events, request)),
	       beside_stopping_ms(events, request));
}

static void add_case(struct play_case **cases, const char *id)
{
	static struct play_case entries[CASES_MAX];
	uint32_t count = HASH_COUNT(*cases);

	if (count == CASES_MAX)
		return;
	snprintf(entries[count].id, sizeof(entries[count].id), "%s", id);
	HASH_ADD_STR(*cases, id, &entries[count]);
}

static void print_line(const struct play_case *cases,
		       const struct cluster_node *node, char *line)
{
	static const char mark[] = "\"request\":\"";
	const char *at = strstr(line, mark);
	const struct play_case *found;
	char id[PLAY_ID_SIZE];

	if (!at)
		return;
	at += sizeof(mark) - 1;
	snprintf(id, sizeof(id), "%.*s", (int)strcspn(at, "\""), at);
	HASH_FIND_STR(cases, id, found);
	if (!found)
		return;
	line[strcspn(line, "\n")] = '\0';
	printf("{\"play\":\"line\",\"id\":\"%s\",\"node\":\"%s\",\"line\":%s}\n",
	       id, node->instance, line);
}

/* Counts the lines of events that tell of lost work. */
static void count_line(const char *line, uint32_t *counts,
		       const struct log_text *texts)
{
	uint32_t i;

	for (i = 0; texts[i].name; i++)
		counts[i] += strstr(line, texts[i].text) != NULL;
}

static void print_logs(const struct play_clients *clients,
		       const struct play_case *cases)
{
	/* Texts in the lines, each with its name in the output. */
	static const struct log_text texts[] = {
		{ "answer_cut", "\"event\":\"answer_cut\"" },
		{ "link_lost", "\"event\":\"link_lost\"" },
		{ "connections_left", "\"event\":\"connections_left\"" },
		{ "closed_undelivered", "\"event\":\"closed_undelivered\"" },
		{ "connection_closed", "\"event\":\"connection_closed\"" },
		{ "left_open", "\"event\":\"left_open\"" },
		{ "peer-lost", "\"end\":\"peer-lost\"" },
		{ "cancelled", "\"end\":\"cancelled\"" },
		{ "forgotten", "\"end\":\"forgotten\"" },
		{ NULL, NULL },
	};
	uint32_t counts[sizeof(texts) / sizeof(texts[0])] = { 0 };
	static char line[LINE_SIZE];
	uint32_t i;

	for (i = 0; i < clients->cluster->node_count; i++) {
		const struct cluster_node *node = &clients->cluster->nodes[i];
		char path[256];
		FILE *file;

		snprintf(path, sizeof(path), "%s/node-%u.log",
			 clients->cluster->dir, i);
		file = fopen(path, "re");
		while (file && fgets(line, sizeof(line), file)) {
			count_line(line, counts, texts);
			print_line(cases, node, line);
		}
		if (file)
			fclose(file);
	}
	printf("{\"play\":\"log lines\"");
	for (i = 0; texts[i].name; i++)
		printf(",\"%s\":%u", texts[i].name, counts[i]);
	printf("}\n");
}

static void add_request(struct totals *totals,
			const struct play_request *request)
{
	bool own = request->end == PLAY_ANSWERED && !request->stamped;
	bool promise = own &&
		       (request->status == 503 || request->status == 429);

	totals->sent++;
	totals->unsafe += request->unsafe;
	totals->success += request->end == PLAY_ANSWERED && request->stamped &&
			   request->status < 300;
	totals->promises += promise;
	totals->own_failures += own && !promise &&
				request->status >= STATUS_ERROR;
	totals->refused += request->end == PLAY_REFUSED;
	totals->given_up += request->end == PLAY_GIVEN_UP;
	totals->twice += request->unsafe && request->runs > 1;
	totals->broken_promises += request->unsafe && promise && request->runs;
}

static void print_totals(const struct play_clients *clients,
			 const struct totals *totals,
			 const struct play_events *events)
{
	uint32_t i;

	printf("{\"play\":\"totals\",\"stops\":%u,\"pauses\":%u,\"requests\":%u,"
	       "\"unsafe\":%u,\"success\":%u,\"own_failures\":%u,"
	       "\"promises\":%u,\"no_connection\":%u,\"given_up\":%u,"
	       "\"around_stop\":%u,\"twice\":%u,\"broken_promises\":%u",
	       events->stop_count, events->pause_count, totals->sent,
	       totals->unsafe, totals->success, totals->own_failures,
	       totals->promises, totals->refused, totals->given_up,
	       totals->around_stop, totals->twice, totals->broken_promises);
	for (i = PLAY_KEPT + 1; i < PLAY_LOST_KINDS; i++)
		printf(",\"lost %s\":%u,\"outside %s\":%u", lost_names[i],
		       totals->lost[i], lost_names[i], totals->outside[i]);
	printf(",\"lost unsafe\":%u,\"callers' longest turn_ms\":%lld}\n",
	       totals->lost_unsafe, ms(clients->longest_turn_us));
}

void play_judge(const struct play_clients *clients,
		const struct play_events *events)
{
	struct play_case *cases = NULL;
	struct totals totals = { 0 };
	uint32_t i;

	for (i = 0; i < clients->count; i++) {
		const struct play_request *request = &clients->requests[i];
		const struct play_stop *stop = stop_of(events, request);
		enum play_lost lost = classify(clients->options, request);

		add_request(&totals, request);
		totals.around_stop += stop != NULL;
		if (lost == PLAY_KEPT)
			continue;
		if (stop)
			totals.lost[lost]++;
		else
			totals.outside[lost]++;
		totals.lost_unsafe += stop && request->unsafe &&
				      lost != PLAY_FAILED_AFTER_RUN;
		print_case(clients, events, request, stop, lost);
		add_case(&cases, request->id);
	}
	print_logs(clients, cases);
	print_totals(clients, &totals, events);
	HASH_CLEAR(hh, cases);
}
