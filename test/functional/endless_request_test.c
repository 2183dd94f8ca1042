#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/address.h"
#include "base/buffer.h"
#include "fleet/fetch.h"
#include "fleet/process.h"
#include "functional/background.h"
#include "os/clock.h"

/**
 * DOC: endless request
 *
 * Senders whose bytes do not end, on each listening address of a real node that
 * serves other callers at the same time.
 */

/* Sanitizers put space around each piece of memory. */
#ifdef __SANITIZE_ADDRESS__
enum { MEMORY_FACTOR = 2 };
#else
enum { MEMORY_FACTOR = 1 };
#endif

enum {
	POLL_MS = 20,
	WAIT_MS = BACKGROUND_WAIT_MS,
	PATH_SIZE = 192,
	TEXT_SIZE = 2048,
	SENDERS = 16,
	SENT_MAX_BYTES = 4 * 1024 * 1024, /* by each sender */
	/* Rounds in which no sender gets a byte off: the node does not read. */
	STILL_ROUNDS = 15,
	BLOCK_BYTES = 64 * 1024,
	BODY_MAX_BYTES = 32 * 1024,
	LARGE_BODY_MAX_BYTES = 1024 * 1024,
	MEMORY_MAX_BYTES = 16 * 1024 * 1024,
	HELD_MAX_KB = MEMORY_FACTOR * SENDERS * 1024,
	/* A large document, in the answer and decoded. */
	STORE_HELD_MAX_KB = MEMORY_FACTOR * 2 * 16 * 1024,
	STORE_MS = 3000,
	/* What a node may take in all, see CONTRIBUTING.md. */
	NODE_MAX_KB = MEMORY_FACTOR * 128 * 1000,
};

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))
#define TEXT(text) text, sizeof(text) - 1

enum listener { CALLER, UPSTREAM, OPERATOR, PEER, LISTENERS };

static const char *const listener_names[LISTENERS] = { "caller", "upstream",
						       "operator", "peer" };

static struct {
	char directory[PATH_SIZE];
	struct process metadata;
	char metadata_address[ADDRESS_TEXT_SIZE];
	struct process upstream;
	char upstream_address[ADDRESS_TEXT_SIZE];
	struct process node;
	char listeners[LISTENERS][ADDRESS_TEXT_SIZE];
	int max_body_bytes;
	int slots;
	int64_t sequence; /* of the last heartbeat */
} place;

static const char settings_format[] =
	"[node]\ndeployment = \"test\"\ndata_centre = \"hall\"\n"
	"instance = \"side-0\"\ninterface = \"platform\"\n"
	"service = \"huvo\"\n"
	"[listen]\npeer = \"127.0.0.1:0\"\ncaller = \"127.0.0.1:0\"\n"
	"upstream = \"127.0.0.1:0\"\noperator = \"127.0.0.1:0\"\n"
	"[peers]\nsecret = \"a secret of the tests\"\n"
	"[platform]\naddress = \"%s\"\ntimeout_ms = 1000\n"
	"[call]\nlinger_ms = 0\nkeep_upstream_ms = 0\nmax_body_bytes = %d\n"
	"memory_max_bytes = %d\n";

static const char document[] =
	"{\"version\":\"r1\",\"routes\":{\"r-1\":{\"host\":\"h.example\","
	"\"prefix\":\"/lepu/\",\"kind\":\"safe\",\"timeout_s\":5,"
	"\"target_latency_s\":1,\"priority\":0,\"service\":\"huvo\","
	"\"max_attempts\":1}},\"services\":{\"huvo\":{\"health_path\":"
	"\"/healthz\",\"max_connections\":600}}}";

static long post(const char *address, const char *path, const char *body)
{
	struct fetch fetch = { .method = "POST",
			       .body = body,
			       .headers = {
				       "Content-Type: application/json" } };
	long status;

	snprintf(fetch.url, sizeof(fetch.url), "http://%s%s", address, path);
	fetch_run(&fetch);
	status = fetch.status;
	fetch_finish(&fetch);
	return status;
}

static void start_child(struct process *process, const char *program,
			const char *const args[])
{
	char log[PATH_SIZE + 32];

	snprintf(log, sizeof(log), "%s/%s.log", place.directory, args[0]);
	cr_assert(process_start(process, program, args, log));
	cr_assert(process_wait_ready(process, WAIT_MS), "%s", args[0]);
}

static void start_node(void)
{
	char path[PATH_SIZE + 32];
	const char *args[] = { "node", "--settings", path, NULL };
	FILE *file;
	int i;

	snprintf(path, sizeof(path), "%s/node.toml", place.directory);
	file = fopen(path, "we");
	cr_assert_not_null(file);
	fprintf(file, settings_format, place.metadata_address,
		place.max_body_bytes, MEMORY_MAX_BYTES);
	cr_assert_eq(fclose(file), 0);
	start_child(&place.node, "geraniumplank", args);
	for (i = 0; i < LISTENERS; i++)
		process_ready_text(&place.node, listener_names[i],
				   place.listeners[i], ADDRESS_TEXT_SIZE);
}

static void write_configuration(void)
{
	char value[TEXT_SIZE];
	char body[2 * TEXT_SIZE];

	sodium_bin2base64(value, sizeof(value), (const uint8_t *)document,
			  strlen(document), sodium_base64_VARIANT_ORIGINAL);
	snprintf(body, sizeof(body),
		 "{\"precondition\":[],\"deletes\":[],\"writes\":[{\"key\":"
		 "\"op/config\",\"value\":\"%s\",\"lease\":0}]}",
		 value);
	cr_assert_eq(post(place.metadata_address, "/-/kv-txn", body), 200);
}

static void start(void)
{
	static const char *const metadata[] = { "metadata", NULL };
	static const char *const upstream[] = { "upstream", "--service",
						"huvo",	    "--announce",
						"",	    NULL };

	/* A build with sanitizers would keep the memory that it frees. */
	setenv("ASAN_OPTIONS",
	       "quarantine_size_mb=0:thread_local_quarantine_size_kb=0", 1);
	memset(&place, 0, sizeof(place));
	place.max_body_bytes = BODY_MAX_BYTES;
	place.slots = 6;
	snprintf(place.directory, PATH_SIZE, "/tmp/geraniumplank-XXXXXX");
	cr_assert_not_null(mkdtemp(place.directory));
	start_child(&place.metadata, "standin", metadata);
	process_ready_text(&place.metadata, "address", place.metadata_address,
			   ADDRESS_TEXT_SIZE);
	start_child(&place.upstream, "standin", upstream);
	process_ready_text(&place.upstream, "address", place.upstream_address,
			   ADDRESS_TEXT_SIZE);
	write_configuration();
	start_node();
}

static void stop(void)
{
	char command[PATH_SIZE + 16];

	process_kill(&place.node);
	process_kill(&place.upstream);
	process_kill(&place.metadata);
	snprintf(command, sizeof(command), "rm -r %s", place.directory);
	cr_expect_eq(system(command), 0);
}

static void send_heartbeat(void)
{
	char body[TEXT_SIZE];

	snprintf(body, sizeof(body),
		 "{\"address\":\"%s\",\"born\":1764720000000,"
		 "\"info\":{\"service\":\"huvo\",\"version\":\"v1\","
		 "\"zone\":\"hall\",\"slots\":%d},\"status\":{\"state\":"
		 "\"ready\",\"seq\":%lld,\"cold_left_s\":0}}",
		 place.upstream_address, place.slots,
		 (long long)++place.sequence);
	post(place.listeners[UPSTREAM], "/-/Instances.Heartbeat/i-1", body);
}

static long call(void)
{
	struct fetch fetch = { .method = "GET",
			       .headers = { "Host: h.example",
					    "X-Request-Id: 9c41d07be2a35f68",
					    "X-Deadline-Ms: 4000" } };
	long status;

	snprintf(fetch.url, sizeof(fetch.url), "http://%s/lepu/2f",
		 place.listeners[CALLER]);
	fetch_run(&fetch);
	status = fetch.status;
	fetch_finish(&fetch);
	return status;
}

static bool wait_served(void)
{
	int64_t until_us = clock_monotonic_us() + WAIT_MS * US_PER_MS;

	while (clock_monotonic_us() < until_us) {
		send_heartbeat();
		if (call() == 200)
			return true;
		sleep_ms(POLL_MS);
	}
	return false;
}

/* Returns the largest memory that the node has occupied so far. */
static long peak_kb(void)
{
	char path[64];
	char line[128];
	long value = -1;
	FILE *file;

	snprintf(path, sizeof(path), "/proc/%d/status", (int)place.node.pid);
	file = fopen(path, "re");
	if (!file)
		return -1;
	while (fgets(line, sizeof(line), file))
		if (!strncmp(line, "VmHWM:", 6))
			value = strtol(line + 6, NULL, 10);
	fclose(file);
	return value;
}

/* The text @before, then @unit without end. */
struct endless {
	const char *name;
	const char *before;
	size_t before_size;
	const char *unit;
	size_t unit_size;
};

#define GET "GET /lepu/2f HTTP/1.1\r\nHost: h.example\r\n"
#define POST "POST /lepu/2f HTTP/1.1\r\nHost: h.example\r\n"
#define CHUNKED POST "Transfer-Encoding: chunked\r\n\r\n"
#define WHOLE                                                                  \
	GET "X-Request-Id: 9c41d07be2a35f68\r\nX-Deadline-Ms: 4000\r\n\r\n"

static const struct endless requests[] = {
	{ "noise", TEXT(""), TEXT("\x01\xff\x80\n") },
	{ "blank lines", TEXT(""), TEXT("\r\n") },
	{ "a target", TEXT("GET /"), TEXT("a") },
	{ "a field name", TEXT(GET), TEXT("a") },
	{ "a field", TEXT(GET "X-Odd: "), TEXT("a") },
	{ "fields", TEXT(GET), TEXT("X-Odd: a\r\n") },
	{ "a body", TEXT(POST "Content-Length: 999999999\r\n\r\n"), TEXT("a") },
	{ "a body past 64 bits",
	  TEXT(POST "Content-Length: 99999999999999999999999\r\n\r\n"),
	  TEXT("a") },
	{ "chunks", TEXT(CHUNKED), TEXT("8\r\naaaaaaaa\r\n") },
	{ "a chunk", TEXT(CHUNKED "7fffffff\r\n"), TEXT("a") },
	{ "a chunk size", TEXT(CHUNKED), TEXT("0") },
	{ "a chunk extension", TEXT(CHUNKED "1;"), TEXT("a") },
	{ "trailers", TEXT(CHUNKED "1\r\na\r\n0\r\n"), TEXT("X-Odd: a\r\n") },
	{ "requests", TEXT(""), TEXT(WHOLE) },
	{ "requests with bodies", TEXT(""),
	  TEXT(POST "X-Request-Id: 9c41d07be2a35f68\r\nX-Deadline-Ms: 4000\r\n"
		    "Content-Length: 8\r\n\r\naaaaaaaa") },
	{ "a body behind a full pipeline",
	  TEXT(WHOLE WHOLE WHOLE WHOLE WHOLE WHOLE WHOLE WHOLE WHOLE WHOLE WHOLE
		       WHOLE WHOLE WHOLE WHOLE WHOLE WHOLE WHOLE WHOLE WHOLE
			       WHOLE WHOLE WHOLE WHOLE WHOLE WHOLE WHOLE WHOLE
				       WHOLE WHOLE WHOLE WHOLE CHUNKED),
	  TEXT("8\r\naaaaaaaa\r\n") },
};

static const struct endless frames[] = {
	{ "noise", TEXT(""), TEXT("\x01\xff\x80\n") },
	{ "a frame of 4 GB", TEXT("\xff\xff\xff\xff"), TEXT("a") },
	{ "a frame of 1 MB", TEXT("\x00\x10\x00\x00"), TEXT("a") },
	{ "empty frames", TEXT(""), TEXT("\0\0\0\0") },
	{ "small frames", TEXT(""), TEXT("\0\0\0\x02\x91\x01") },
	{ "nested frames", TEXT("\0\0\x04\0"), TEXT("\x91") },
	{ "a request", TEXT(""), TEXT(WHOLE) },
};

/**
 * struct sender - one connection that sends without end
 * @fd: -1 once the node has closed the connection
 * @sent_bytes: bytes after @before of the text that were written
 * @before_bytes: bytes of @before that were written
 */
struct sender {
	int fd;
	size_t sent_bytes;
	size_t before_bytes;
};

static int open_connection(const char *address)
{
	struct sockaddr_in to = { .sin_family = AF_INET };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	to.sin_port =
		htons((uint16_t)strtoul(strrchr(address, ':') + 1, NULL, 10));
	cr_assert_geq(fd, 0);
	cr_assert_eq(connect(fd, (struct sockaddr *)&to, sizeof(to)), 0);
	cr_assert_eq(fcntl(fd, F_SETFL, O_NONBLOCK), 0);
	return fd;
}

/* Returns true if a byte was written. */
static bool send_some(struct sender *sender, const struct endless *endless,
		      const struct buffer *block)
{
	size_t left = endless->before_size - sender->before_bytes;
	size_t at = sender->sent_bytes % endless->unit_size;
	ssize_t size;

	if (sender->fd < 0 || sender->sent_bytes >= SENT_MAX_BYTES)
		return false;
	if (left)
		size = send(sender->fd, endless->before + sender->before_bytes,
			    left, MSG_NOSIGNAL);
	else
		size = send(sender->fd, buffer_data(block) + at,
			    buffer_size(block) - at, MSG_NOSIGNAL);
	if (size < 0 && errno != EAGAIN) {
		close(sender->fd);
		sender->fd = -1;
	}
	if (size <= 0)
		return false;
	if (left)
		sender->before_bytes += (size_t)size;
	else
		sender->sent_bytes += (size_t)size;
	return true;
}

/* Sends until the node has closed all connections, reads no more, or has read
 * the maximum. */
static void send_all(struct sender senders[SENDERS],
		     const struct endless *endless)
{
	struct buffer block = { .bytes = NULL };
	int still = 0;
	int i;

	while (buffer_size(&block) < BLOCK_BYTES)
		buffer_append(&block, endless->unit, endless->unit_size);
	while (still < STILL_ROUNDS) {
		bool progress = false;

		for (i = 0; i < SENDERS; i++)
			progress |= send_some(&senders[i], endless, &block);
		still = progress ? 0 : still + 1;
		if (!progress)
			sleep_ms(POLL_MS);
	}
	buffer_finish(&block);
}

static void play(enum listener listener, const struct endless *endless,
		 long before_kb)
{
	const char *where = listener_names[listener];
	struct sender senders[SENDERS];
	long held_kb;
	int i;

	for (i = 0; i < SENDERS; i++)
		senders[i] = (struct sender){
			.fd = open_connection(place.listeners[listener]),
		};
	send_all(senders, endless);
	cr_expect(wait_served(), "%s, %s", where, endless->name);
	cr_expect_not(process_wait(&place.node, 0), "%s, %s: node ended", where,
		      endless->name);
	held_kb = peak_kb() - before_kb;
	cr_expect_leq(held_kb, HELD_MAX_KB, "%s, %s: %ld kB", where,
		      endless->name, held_kb);
	for (i = 0; i < SENDERS; i++)
		if (senders[i].fd >= 0)
			close(senders[i].fd);
}

static void play_all(enum listener listener, const struct endless *cases,
		     size_t count)
{
	long before_kb;
	size_t i;

	cr_assert(wait_served());
	before_kb = peak_kb();
	cr_assert_gt(before_kb, 0);
	for (i = 0; i < count; i++)
		play(listener, &cases[i], before_kb);
	printf("%s: %ld kB more than before\n", listener_names[listener],
	       peak_kb() - before_kb);
}

/* Guards against a node that keeps all bytes of a caller until its memory is
 * used up. */
Test(endless_request, of_callers_is_bounded, .init = start, .fini = stop,
     .timeout = 300)
{
	play_all(CALLER, requests, COUNT(requests));
}

/* Guards against a node that keeps all bytes sent in place of a heartbeat. */
Test(endless_request, of_upstreams_is_bounded, .init = start, .fini = stop,
     .timeout = 300)
{
	play_all(UPSTREAM, requests, COUNT(requests));
}

/* Guards against a node that keeps all bytes sent in place of an operator's
 * command. */
Test(endless_request, of_operators_is_bounded, .init = start, .fini = stop,
     .timeout = 300)
{
	play_all(OPERATOR, requests, COUNT(requests));
}

/* Guards against a node that keeps all bytes of a peer that has not proved that
 * it knows the secret. */
Test(endless_request, of_unproved_peers_is_bounded, .init = start, .fini = stop,
     .timeout = 300)
{
	play_all(PEER, frames, COUNT(frames));
}

/* Guards against a node that keeps all bytes of an answer of the store, in each
 * of its calls, until its memory is used up. */
Test(endless_request, a_store_without_end_is_bounded, .init = start,
     .fini = stop, .timeout = 300)
{
	static const char *const kinds[] = {
		"noise",
		"blank-lines",
		"endless-field",
		"endless-fields",
		"endless-body",
		"endless-chunks",
		"endless-extension",
		"endless-trailers",
		"informational",
	};
	size_t i;

	for (i = 0; i < COUNT(kinds); i++) {
		const char *const args[] = { "upstream",   "--service", "store",
					     "--announce", "",		"--odd",
					     kinds[i],	   NULL };
		int64_t until_us;
		long before_kb;
		long held_kb;

		process_kill(&place.node);
		process_kill(&place.metadata);
		start_child(&place.metadata, "standin", args);
		process_ready_text(&place.metadata, "address",
				   place.metadata_address, ADDRESS_TEXT_SIZE);
		start_node();
		before_kb = peak_kb();
		until_us = clock_monotonic_us() + STORE_MS * US_PER_MS;
		while (clock_monotonic_us() < until_us)
			sleep_ms(POLL_MS);
		cr_expect_not(process_wait(&place.node, 0), "%s: node ended",
			      kinds[i]);
		held_kb = peak_kb() - before_kb;
		cr_expect_leq(held_kb, STORE_HELD_MAX_KB, "%s: %ld kB",
			      kinds[i], held_kb);
		printf("store, %s: %ld kB\n", kinds[i], held_kb);
	}
}

static void set_kind(const char *kind)
{
	char body[TEXT_SIZE];

	snprintf(body, sizeof(body), "{\"odd\":\"%s\"}", kind);
	cr_assert_eq(post(place.upstream_address, "/standin/faults", body), 200,
		     "%s", kind);
}

/* Guards against a node that keeps the answers of a faulty upstream up to the
 * limit of one answer, in each of several hundred calls. */
Test(endless_request, answers_of_many_calls_are_bounded, .init = start,
     .fini = stop, .timeout = 300)
{
	static const char *const kinds[] = { "endless-body", "endless-chunks" };
	static const struct endless calls = { "calls", TEXT(""), TEXT(WHOLE) };
	struct sender senders[SENDERS];
	size_t i;
	int j;

	process_kill(&place.node);
	place.max_body_bytes = LARGE_BODY_MAX_BYTES;
	place.slots = 512;
	start_node();
	cr_assert(wait_served());
	for (i = 0; i < COUNT(kinds); i++) {
		set_kind(kinds[i]);
		for (j = 0; j < SENDERS; j++)
			senders[j] = (struct sender){
				.fd = open_connection(place.listeners[CALLER]),
			};
		send_all(senders, &calls);
		set_kind("");
		for (j = 0; j < SENDERS; j++)
			if (senders[j].fd >= 0)
				close(senders[j].fd);
		cr_expect(wait_served(), "%s", kinds[i]);
		cr_expect_leq(peak_kb(), NODE_MAX_KB, "%s: %ld kB", kinds[i],
			      peak_kb());
		printf("answers, %s: %ld kB in all\n", kinds[i], peak_kb());
	}
}
