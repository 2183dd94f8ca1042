#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <utlist.h>

/* The output of a connection: a server sends no answer twice. */
#include "http/conn.h"
#include "promises/promises.h"
#include "os/clock.h"
#include "standin/upstream.h"

enum {
	BODY_MAX_BYTES = 8 * 1024 * 1024,
	ANSWER_MAX_BYTES = 16 * 1024 * 1024,
	CONNECTIONS_MAX = 2048,
	IDLE_MS = 60000,
	STATUS_OK = 200,
	STATUS_BAD_REQUEST = 400,
	STATUS_MISDIRECTED = 421,
	STATUS_TOO_MANY = 429,
	STATUS_ERROR = 500,
	STATUS_UNAVAILABLE = 503,
	CUT_BYTES = 64,
	NOTICE_HEADERS_MAX = 4,
	ANSWER_HEADERS_MAX = 4 + NOTICE_HEADERS_MAX,
	/* The rules of the target platform. */
	LIMIT_LEARN_US = 3000 * US_PER_MS,
	LIMIT_WINDOW_US = 4000 * US_PER_MS,
	LEAVING_LEARN_US = 2000 * US_PER_MS,
};

/* One request, from its arrival to its answer. */
struct upstream_job {
	struct upstream *upstream;
	struct http_exchange *exchange;
	char id[UPSTREAM_ID_SIZE];
	struct timer timer;
	bool ran;
	struct upstream_job *next;
	struct upstream_job *prev;
};

static void run_next(struct upstream *upstream);

static void tell(const struct upstream *upstream, enum promise_event event,
		 const char *id, unsigned int status)
{
	struct promise_entry entry = { .event = event,
				       .at_us = clock_monotonic_us(),
				       .status = status };

	if (!upstream->account)
		return;
	snprintf(entry.id, sizeof(entry.id), "%s", id);
	upstream_id(upstream, entry.instance);
	promise_write(upstream->account, &entry);
}

static int64_t query_number(const struct http_exchange *exchange,
			    const char *name, int64_t fallback)
{
	const char *text = http_exchange_query(exchange, name);

	return text ? strtoll(text, NULL, 10) : fallback;
}

static void job_free(struct upstream_job *job)
{
	struct upstream *upstream = job->upstream;

	timer_cancel(upstream->loop, &job->timer);
	if (job->ran) {
		DL_DELETE(upstream->running, job);
		upstream->running_count--;
	} else {
		DL_DELETE(upstream->waiting, job);
		upstream->waiting_count--;
	}
	free(job);
}

/* Counts an arrival; called before the answer that names a limit. */
static void count_arrival(struct upstream *upstream, int64_t now_us)
{
	struct upstream_arrivals *arrivals = &upstream->arrivals;
	uint32_t in_window = 0;
	uint32_t i;

	if (arrivals->leaving_told_us &&
	    now_us >= arrivals->leaving_told_us + LEAVING_LEARN_US)
		arrivals->after_leaving++;
	if (!arrivals->limit_named_us ||
	    now_us < arrivals->limit_named_us + LIMIT_LEARN_US)
		return;
	arrivals->at_us[arrivals->count++ % UPSTREAM_ARRIVALS_MAX] = now_us;
	for (i = 1; i <= arrivals->count && i <= UPSTREAM_ARRIVALS_MAX; i++)
		in_window += arrivals->at_us[(arrivals->count - i) %
					     UPSTREAM_ARRIVALS_MAX] >
			     now_us - LIMIT_WINDOW_US;
	if (in_window > arrivals->limit_peak)
		arrivals->limit_peak = in_window;
}

/* Adds what the upstream says of itself, under the names of both interfaces. */
static size_t add_notices(struct upstream *upstream,
			  struct http_header *headers)
{
	const struct upstream_faults *faults = &upstream->faults;
	struct upstream_arrivals *arrivals = &upstream->arrivals;
	int64_t now_us = clock_monotonic_us();
	size_t count = 0;

	if (faults->rate_limit[0]) {
		headers[count++] =
			(struct http_header){ "Geraniumplank-Rate-Limit",
					      faults->rate_limit };
		headers[count++] = (struct http_header){ "Server-Limit",
							 faults->rate_limit };
		if (!arrivals->limit_named_us)
			arrivals->limit_named_us = now_us;
	}
	if (faults->leaving) {
		headers[count++] =
			(struct http_header){ "Geraniumplank-Leaving", "1" };
		headers[count++] =
			(struct http_header){ "Server-Leaving", "1" };
		if (!arrivals->leaving_told_us)
			arrivals->leaving_told_us = now_us;
	}
	return count;
}

static bool draw(struct upstream *upstream, double share)
{
	return share > 0 && random_share(&upstream->fault_random) < share;
}

/* Sends an answer, behind the copy of an earlier one if that is due. */
static void send_answer(struct upstream *upstream,
			struct http_exchange *exchange, unsigned int status,
			const struct http_header *headers, size_t count,
			const void *body, size_t size)
{
	struct http_conn *conn = exchange->conn;
	size_t before;

	extra_answers_send_due(&upstream->extra, exchange);
	before = buffer_size(&conn->out);
	http_exchange_reply(exchange, status, headers, count, body, size);
	if (!draw(upstream, upstream->faults.again))
		return;
	extra_answers_keep(&upstream->extra, conn,
			   buffer_size(&conn->out) - before,
			   !draw(upstream, upstream->faults.unnamed));
	upstream->sent_again++;
}

static void reply_to_job(struct upstream_job *job)
{
	bool named = !draw(job->upstream, job->upstream->faults.unnamed);
	struct http_header headers[ANSWER_HEADERS_MAX] = {
		{ "Content-Type", "text/plain" },
		{ named ? "X-Request-Id" : "X-Unnamed", job->id },
		{ "X-Instance", job->upstream->options.instance },
		/* Upstreams of the target platform mark what they ran. */
		{ "X-Response-Stamp", job->id },
	};
	const size_t count =
		ANSWER_HEADERS_MAX - NOTICE_HEADERS_MAX +
		add_notices(job->upstream,
			    &headers[ANSWER_HEADERS_MAX - NOTICE_HEADERS_MAX]);
	int64_t size =
		query_number(job->exchange, "bytes", (int64_t)strlen(job->id));
	char *body;

	if (size < (int64_t)strlen(job->id) || size > ANSWER_MAX_BYTES)
		size = (int64_t)strlen(job->id);
	body = malloc((size_t)size + 1);
	memset(body, '.', (size_t)size);
	memcpy(body, job->id, strlen(job->id));
	if (job->upstream->faults.cut > 0) {
		job->upstream->faults.cut--;
		tell(job->upstream, PROMISE_BROKE, job->id, 0);
		http_exchange_reply_truncated(job->exchange, STATUS_OK, body,
					      (size_t)size + CUT_BYTES,
					      (size_t)size / 2);
	} else {
		bool fails = job->upstream->faults.fail > 0;

		job->upstream->faults.fail -= fails;
		tell(job->upstream, PROMISE_REPLIED, job->id,
		     fails ? STATUS_ERROR : STATUS_OK);
		send_answer(job->upstream, job->exchange,
			    fails ? STATUS_ERROR : STATUS_OK, headers, count,
			    body, (size_t)size);
	}
	free(body);
}

static void reply_unavailable(struct upstream_job *job)
{
	const struct http_header headers[] = {
		{ "X-Request-Id", job->id },
		{ "X-Response-Stamp", job->id },
	};

	tell(job->upstream, PROMISE_REPLIED, job->id, STATUS_UNAVAILABLE);
	send_answer(job->upstream, job->exchange, STATUS_UNAVAILABLE, headers,
		    sizeof(headers) / sizeof(headers[0]), "", 0);
}

static void free_jobs(struct upstream *upstream)
{
	struct upstream_job *job;
	struct upstream_job *next;

	DL_FOREACH_SAFE(upstream->running, job, next)
		job_free(job);
	DL_FOREACH_SAFE(upstream->waiting, job, next)
		job_free(job);
}

static void crash(struct upstream *upstream)
{
	const struct upstream_job *job;

	DL_FOREACH(upstream->running, job)
		tell(upstream, PROMISE_BROKE, job->id, 0);
	DL_FOREACH(upstream->waiting, job)
		tell(upstream, PROMISE_BROKE, job->id, 0);
	if (!upstream->options.down_ms)
		raise(SIGKILL);
	free_jobs(upstream);
	http_server_finish(&upstream->server);
	timer_set(upstream->loop, &upstream->restart,
		  clock_monotonic_us() + upstream->options.down_ms * US_PER_MS);
}

static void finish_job(struct timer *timer, void *data)
{
	struct upstream_job *job = data;
	struct upstream *upstream = job->upstream;

	if (http_exchange_query(job->exchange, "crash_us") &&
	    !upstream->faults.corrected) {
		upstream->request_crash_count++;
		crash(upstream);
		return;
	}
	upstream_end_run(upstream, job->id, false);
	if (upstream->faults.close_run > 0) {
		upstream->faults.close_run--;
		tell(upstream, PROMISE_BROKE, job->id, 0);
		http_exchange_close(job->exchange);
	} else if (draw(upstream, upstream->faults.lose)) {
		tell(upstream, PROMISE_BROKE, job->id, 0);
		http_exchange_close(job->exchange);
	} else if (draw(upstream, upstream->faults.unavailable)) {
		reply_unavailable(job);
	} else {
		reply_to_job(job);
	}
	job_free(job);
	run_next(upstream);
}

static double warm_up_factor(const struct upstream *upstream)
{
	const struct upstream_options *options = &upstream->options;
	double age_ms =
		(double)(loop_now_us(upstream->loop) - upstream->started_us) /
		US_PER_MS;

	if (!options->cold_ms || age_ms >= (double)options->cold_ms)
		return 1;
	return options->cold_factor -
	       (options->cold_factor - 1) * age_ms / (double)options->cold_ms;
}

static int64_t service_time(struct upstream_job *job)
{
	struct upstream *upstream = job->upstream;
	double us = (double)query_number(job->exchange, "service_us",
					 upstream->options.service_us);

	if (upstream->options.exponential)
		us *= -log(1 - random_share(&upstream->random));
	if (upstream->faults.slow > 0)
		us *= upstream->faults.slow;
	return (int64_t)(us * warm_up_factor(upstream)) +
	       (int64_t)upstream->faults.stall_ms * US_PER_MS;
}

static void job_run(struct upstream_job *job)
{
	struct upstream *upstream = job->upstream;
	int64_t wait_us =
		query_number(job->exchange, "crash_us", service_time(job));
	const char *tenant;

	DL_DELETE(upstream->waiting, job);
	upstream->waiting_count--;
	DL_APPEND(upstream->running, job);
	upstream->running_count++;
	job->ran = true;
	tell(upstream, PROMISE_BEGAN, job->id, 0);
	tenant = http_exchange_header(job->exchange, "Geraniumplank-Tenant");
	upstream_count_run(upstream, job->id, tenant ? tenant : "");
	if (wait_us > 0)
		timer_set(upstream->loop, &job->timer,
			  clock_monotonic_us() + wait_us);
	else
		finish_job(&job->timer, job);
}

static void run_next(struct upstream *upstream)
{
	while (upstream->waiting &&
	       upstream->running_count < upstream->options.slots)
		job_run(upstream->waiting);
}

static void on_abort(struct http_exchange *exchange, void *data)
{
	struct upstream_job *job = data;
	struct upstream *upstream = job->upstream;

	upstream->cancelled++;
	if (job->ran)
		upstream_end_run(upstream, job->id, true);
	tell(upstream, PROMISE_LEFT, job->id, 0);
	job_free(job);
	run_next(upstream);
}

static void tell_exchange(const struct upstream *upstream,
			  const struct http_exchange *exchange,
			  enum promise_event event, unsigned int status)
{
	const char *id = http_exchange_header(exchange, "X-Request-Id");

	tell(upstream, event, id ? id : "", status);
}

static void shed(struct upstream *upstream, struct http_exchange *exchange,
		 bool proof)
{
	struct http_header headers[ANSWER_HEADERS_MAX] = {
		{ "Geraniumplank-Shed", "not-run" }
	};
	size_t count = proof;

	upstream->shed++;
	tell_exchange(upstream, exchange, PROMISE_REJECTED, STATUS_UNAVAILABLE);
	count += add_notices(upstream, &headers[count]);
	http_exchange_reply(exchange, STATUS_UNAVAILABLE, headers, count, "",
			    0);
}

static void reject(struct upstream *upstream, struct http_exchange *exchange,
		   unsigned int status)
{
	const char *id = http_exchange_header(exchange, "X-Request-Id");
	const struct http_header headers[] = {
		{ "X-Not-Executed", "1" },
		{ "Geraniumplank-Shed", "not-run" },
		{ "X-Request-Id", id },
	};
	size_t count = sizeof(headers) / sizeof(headers[0]);

	if (!id || draw(upstream, upstream->faults.unnamed))
		count--;
	upstream->rejected++;
	tell(upstream, PROMISE_REJECTED, id ? id : "", status);
	send_answer(upstream, exchange, status, headers, count, "", 0);
}

const char *upstream_id(const struct upstream *upstream,
			char id[UPSTREAM_ID_SIZE])
{
	snprintf(id, UPSTREAM_ID_SIZE, "%s-%u", upstream->options.instance,
		 upstream->start);
	return id;
}

/* Returns true if the request names another incarnation. */
static bool is_misdirected(const struct upstream *upstream,
			   const struct http_exchange *exchange)
{
	const char *target =
		http_exchange_header(exchange, "X-Target-Instance");
	char id[UPSTREAM_ID_SIZE];

	return target && upstream->options.heartbeats &&
	       strcmp(target, upstream_id(upstream, id)) != 0;
}

static bool refuse(struct upstream *upstream, struct http_exchange *exchange)
{
	struct upstream_faults *faults = &upstream->faults;

	if (is_misdirected(upstream, exchange)) {
		reject(upstream, exchange, STATUS_MISDIRECTED);
		return true;
	}
	if (draw(upstream, faults->reject)) {
		reject(upstream, exchange, (unsigned int)faults->reject_status);
		return true;
	}

	if (faults->close_unrun > 0) {
		faults->close_unrun--;
		tell_exchange(upstream, exchange, PROMISE_BROKE, 0);
		http_exchange_close(exchange);
		return true;
	}
	if (faults->shed || faults->shed_plain ||
	    (upstream->running_count >= upstream->options.slots &&
	     upstream->waiting_count >= upstream->options.queue_max)) {
		shed(upstream, exchange, !faults->shed_plain);
		return true;
	}
	return false;
}

/* Return: true if the request got an odd answer. */
static bool answer_oddly(struct upstream *upstream,
			 struct http_exchange *exchange, const char *id)
{
	const struct upstream_faults *faults = &upstream->faults;

	if (!faults->odd || ++upstream->odd_due < faults->odd_every)
		return false;
	upstream->odd_due = 0;
	upstream->odd_count++;
	odd_answer_send(exchange, upstream->loop, faults->odd, id);
	return true;
}

static void add_job(struct upstream *upstream, struct http_exchange *exchange)
{
	const char *id = http_exchange_header(exchange, "X-Request-Id");
	struct upstream_job *job;

	upstream->last_arrival_us = loop_now_us(upstream->loop);
	count_arrival(upstream, clock_monotonic_us());
	tell(upstream, PROMISE_ARRIVED, id ? id : "", 0);
	upstream->keys_shown +=
		http_exchange_header(exchange, "Authorization") != NULL;
	if (refuse(upstream, exchange) ||
	    answer_oddly(upstream, exchange, id ? id : ""))
		return;
	job = calloc(1, sizeof(*job));
	job->upstream = upstream;
	job->exchange = exchange;
	snprintf(job->id, sizeof(job->id), "%s", id ? id : "");
	timer_init(&job->timer, finish_job, job);
	DL_APPEND(upstream->waiting, job);
	upstream->waiting_count++;
	http_exchange_on_abort(exchange, on_abort, job);
	run_next(upstream);
}

json_t *upstream_stats(const struct upstream *upstream, bool list)
{
	int64_t after_us =
		upstream->leaving_us &&
				upstream->last_arrival_us > upstream->leaving_us
			? upstream->last_arrival_us - upstream->leaving_us
			: 0;
	json_t *stats = json_pack(
		"{s:s, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I}", "instance",
		upstream->options.instance, "total",
		(json_int_t)upstream->total, "distinct",
		(json_int_t)HASH_COUNT(upstream->runs), "doubled",
		(json_int_t)upstream->duplicate_runs, "cancelled",
		(json_int_t)upstream->cancelled, "shed",
		(json_int_t)upstream->shed, "running",
		(json_int_t)upstream->running_count, "waiting",
		(json_int_t)upstream->waiting_count, "new_work_after_ms",
		(json_int_t)(after_us / US_PER_MS));

	json_object_set_new(stats, "odd",
			    json_integer((json_int_t)upstream->odd_count));
	json_object_set_new(stats, "rejected",
			    json_integer((json_int_t)upstream->rejected));
	json_object_set_new(stats, "sent_again",
			    json_integer((json_int_t)upstream->sent_again));
	json_object_set_new(stats, "request_crashes",
			    json_integer(upstream->request_crash_count));
	json_object_set_new(stats, "limit_peak",
			    json_integer(upstream->arrivals.limit_peak));
	json_object_set_new(stats, "after_leaving",
			    json_integer(upstream->arrivals.after_leaving));
	if (list)
		json_object_set_new(stats, "runs",
				    upstream_list_runs(upstream));
	return stats;
}

static void reply_json(struct http_exchange *exchange, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	http_exchange_reply(exchange, STATUS_OK, NULL, 0, text, strlen(text));
	free(text);
	json_decref(body);
}

static void read_faults(struct upstream *upstream, const json_t *body)
{
	struct upstream_faults *faults = &upstream->faults;
	const struct {
		const char *name;
		int *number;
		double *real;
	} rows[] = {
		{ "close_run", &faults->close_run, NULL },
		{ "close_unrun", &faults->close_unrun, NULL },
		{ "cut", &faults->cut, NULL },
		{ "fail", &faults->fail, NULL },
		{ "stall_ms", &faults->stall_ms, NULL },
		{ "slow", NULL, &faults->slow },
		{ "shed", &faults->shed, NULL },
		{ "shed_plain", &faults->shed_plain, NULL },
		{ "corrected", &faults->corrected, NULL },
		{ "leaving", &faults->leaving, NULL },
		{ "reject", NULL, &faults->reject },
		{ "reject_status", &faults->reject_status, NULL },
		{ "again", NULL, &faults->again },
		{ "unnamed", NULL, &faults->unnamed },
		{ "lose", NULL, &faults->lose },
		{ "unavailable", NULL, &faults->unavailable },
		{ "health", &faults->health, NULL },
		{ "load", NULL, &faults->load },
	};
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		const json_t *value = json_object_get(body, rows[i].name);

		if (json_is_boolean(value) && rows[i].number)
			*rows[i].number = json_is_true(value);
		else if (json_is_number(value) && rows[i].number)
			*rows[i].number = (int)json_number_value(value);
		else if (json_is_number(value) && rows[i].real)
			*rows[i].real = json_number_value(value);
	}
}

static void read_health_id(struct upstream *upstream, const json_t *body)
{
	const char *text =
		json_string_value(json_object_get(body, "health_id"));

	if (text)
		snprintf(upstream->faults.health_id,
			 sizeof(upstream->faults.health_id), "%s", text);
}

static void read_rate_limit(struct upstream *upstream, const json_t *body)
{
	const char *text =
		json_string_value(json_object_get(body, "rate_limit"));

	if (!text)
		return;
	snprintf(upstream->faults.rate_limit,
		 sizeof(upstream->faults.rate_limit), "%s", text);
	upstream->arrivals.limit_named_us = 0;
	upstream->arrivals.limit_peak = 0;
	upstream->arrivals.count = 0;
}

bool upstream_set_odd(struct upstream *upstream, const char *name, int every)
{
	const struct odd_kind *kind = odd_kind_find(name);

	if (*name && !kind)
		return false;
	upstream->faults.odd = kind;
	upstream->faults.odd_every = every;
	upstream->odd_due = 0;
	return true;
}

/* Return: false if the kind of odd answers is unknown. */
static bool read_odd(struct upstream *upstream, const json_t *body)
{
	const char *name = json_string_value(json_object_get(body, "odd"));
	const json_t *every = json_object_get(body, "odd_every");

	if (!name)
		return true;
	return upstream_set_odd(
		upstream, name,
		json_is_integer(every) ? (int)json_integer_value(every) : 1);
}

static void set_faults(struct upstream *upstream,
		       struct http_exchange *exchange)
{
	size_t size;
	const uint8_t *bytes = http_exchange_body(exchange, &size);
	json_t *body = json_loadb((const char *)bytes, size, 0, NULL);

	read_faults(upstream, body);
	read_rate_limit(upstream, body);
	read_health_id(upstream, body);
	if (!read_odd(upstream, body)) {
		json_decref(body);
		http_exchange_reply(exchange, STATUS_BAD_REQUEST, NULL, 0,
				    "no such kind of odd answer\n",
				    strlen("no such kind of odd answer\n"));
		return;
	}
	if (json_is_true(json_object_get(body, "replace")))
		upstream->start++;
	if (json_is_true(json_object_get(body, "crash"))) {
		json_decref(body);
		crash(upstream);
		return;
	}
	json_decref(body);
	reply_json(exchange, json_object());
}

static bool has_health_check(const struct upstream *upstream)
{
	return upstream->options.heartbeats || upstream->faults.health_id[0];
}

static void answer_health(struct upstream *upstream,
			  struct http_exchange *exchange)
{
	unsigned int status = (unsigned int)upstream->faults.health;
	char id[UPSTREAM_ID_SIZE];
	char load[64];
	const struct http_header headers[] = {
		{ "X-Instance-Id", upstream->faults.health_id[0]
					   ? upstream->faults.health_id
					   : upstream_id(upstream, id) },
		{ "X-Server-Load", load },
	};

	if (!status)
		status = upstream->leaving_us ? STATUS_UNAVAILABLE : STATUS_OK;
	snprintf(load, sizeof(load), "%u,%u,%u", upstream->running_count,
		 upstream->waiting_count, upstream->options.slots);
	http_exchange_reply(exchange, status, headers,
			    sizeof(headers) / sizeof(headers[0]), "", 0);
}

static void handle(struct http_exchange *exchange, void *data)
{
	struct upstream *upstream = data;
	const char *path = http_exchange_path(exchange);

	if (!strcmp(path, "/standin/stats"))
		reply_json(exchange,
			   upstream_stats(upstream, http_exchange_query(
							    exchange, "list")));
	else if (!strcmp(path, "/standin/runs"))
		reply_json(exchange, upstream_run_times(upstream));
	else if (!strcmp(path, "/standin/tenants"))
		reply_json(exchange, upstream_tenants(upstream));
	else if (!strcmp(path, "/standin/faults"))
		set_faults(upstream, exchange);
	else if (!strcmp(path, "/healthz") && has_health_check(upstream))
		answer_health(upstream, exchange);
	else
		add_job(upstream, exchange);
}

double upstream_load(struct upstream *upstream)
{
	int64_t now_us = loop_now_us(upstream->loop);
	int64_t lag_us = upstream->options.report_lag_ms * US_PER_MS;

	if (upstream->faults.load >= 0)
		return upstream->faults.load;
	if (!upstream->reported_load_us ||
	    now_us - upstream->reported_load_us >= lag_us) {
		upstream->reported_load_us = now_us;
		upstream->reported_load = (double)(upstream->running_count +
						   upstream->waiting_count) /
					  upstream->options.slots;
	}
	return upstream->reported_load;
}

bool upstream_idle(const struct upstream *upstream)
{
	return !upstream->running_count && !upstream->waiting_count;
}

/* Connections inherit the sizes from the listening socket. */
static void set_buffers(const struct upstream *upstream)
{
	int size = upstream->options.buffer_bytes;

	if (!size)
		return;
	setsockopt(upstream->server.fd, SOL_SOCKET, SO_RCVBUF, &size,
		   sizeof(size));
	setsockopt(upstream->server.fd, SOL_SOCKET, SO_SNDBUF, &size,
		   sizeof(size));
}

static bool start_listening(struct upstream *upstream, struct error *err)
{
	struct http_server_options server = {
		.max_body_bytes = BODY_MAX_BYTES,
		.max_connections = CONNECTIONS_MAX,
		.idle_timeout_ms = IDLE_MS,
		.handler = handle,
		.data = upstream,
	};

	address_parse("127.0.0.1:0", &server.address, err);
	server.address.port = upstream->port;
	if (!http_server_init(&upstream->server, upstream->loop, &server, err))
		return false;
	set_buffers(upstream);
	upstream->port = http_server_address(&upstream->server)->port;
	return true;
}

/* A crashed upstream starts again, without a limit or a notice of leaving. */
static void restart_expired(struct timer *timer, void *data)
{
	struct upstream *upstream = data;
	struct error err = ERROR_INIT;

	upstream->start++;
	upstream->faults.rate_limit[0] = '\0';
	upstream->faults.leaving = 0;
	memset(&upstream->arrivals, 0, sizeof(upstream->arrivals));
	if (start_listening(upstream, &err))
		return;
	upstream->server.loop = NULL;
	timer_set(upstream->loop, timer,
		  clock_monotonic_us() + upstream->options.down_ms * US_PER_MS);
}

bool upstream_is_down(const struct upstream *upstream)
{
	return timer_is_set(&upstream->restart);
}

static bool open_account(struct upstream *upstream, struct error *err)
{
	const char *path = upstream->options.account;

	if (!path || !*path)
		return true;
	upstream->account = fopen(path, "ae");
	if (!upstream->account) {
		error_set(err, ERROR_IO, "cannot open %s", path);
		return false;
	}
	setvbuf(upstream->account, NULL, _IOLBF, 0);
	return true;
}

bool upstream_init(struct upstream *upstream, struct loop *loop,
		   const struct upstream_options *options, uint16_t port,
		   struct error *err)
{
	memset(upstream, 0, sizeof(*upstream));
	upstream->options = *options;
	upstream->loop = loop;
	upstream->faults.load = -1;
	upstream->faults.reject_status = STATUS_TOO_MANY;
	upstream->start = 1;
	upstream->started_us = clock_monotonic_us();
	if (!open_account(upstream, err))
		return false;
	random_init(&upstream->random, port);
	random_init(&upstream->fault_random, (uint64_t)port + 1);
	timer_init(&upstream->restart, restart_expired, upstream);
	upstream->port = port;
	return start_listening(upstream, err);
}

void upstream_finish(struct upstream *upstream)
{
	struct upstream_run *run;
	struct upstream_run *next;

	free_jobs(upstream);
	timer_cancel(upstream->loop, &upstream->restart);
	http_server_finish(&upstream->server);
	extra_answers_finish(&upstream->extra);
	if (upstream->account)
		fclose(upstream->account);
	HASH_CLEAR(hh, upstream->runs);
	LL_FOREACH_SAFE(upstream->run_list, run, next)
		free(run);
}
