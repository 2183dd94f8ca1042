#include <criterion/criterion.h>
#include <errno.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/address.h"
#include "functional/background.h"
#include "os/clock.h"

/**
 * DOC: slow reader
 *
 * A node stops while clients read their answers slowly. Each client sends a
 * further request on its connection before it has the first answer: a node that
 * has closed the connection by then resets it, and the rest is lost.
 */

enum {
	STOPPING = 1,
	WAIT_MS = BACKGROUND_WAIT_MS,
	POLL_MS = 20,
	READ_EVERY_MS = 40,
	SIGNAL_MS = 500,
	FURTHER_MS = 4000,
	GRACE_MS = 6000,
	TEXT_SIZE = 512,
};

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

static const char document[] =
	"{\"version\":\"r1\",\"routes\":{\"r-1\":{\"host\":\"h.example\","
	"\"prefix\":\"/\",\"kind\":\"safe\",\"timeout_s\":12,"
	"\"target_latency_s\":5,\"service\":\"huvo\",\"max_attempts\":1}},"
	"\"services\":{\"huvo\":{\"health_path\":\"/healthz\"},\"kafi\":{}}}";

/* The times of a stop within a grace period of 6 s. */
static const char settings[] = "timeout_ms = 1000\n"
			       "[call]\ngrace_s = 6\n";

/**
 * struct reader - a client
 * @window_bytes: size of its receive buffer
 * @answer_bytes: size of its answer
 * @bytes_per_s: rate at which it reads; 0 for none
 * @fd: its connection
 * @received: bytes received, with the head
 * @ended: the connection has ended
 */
struct reader {
	int window_bytes;
	size_t answer_bytes;
	size_t bytes_per_s;
	int fd;
	size_t received;
	bool ended;
};

static struct cluster cluster;

static long get(const char *path)
{
	struct fetch fetch = { .headers = { "X-Deadline-Ms: 2000" } };
	long status;

	cluster_call(&cluster, STOPPING, "h.example", &fetch, path);
	status = fetch.status;
	fetch_finish(&fetch);
	return status;
}

static void start(void)
{
	const struct cluster_options options = {
		.centres = 1,
		.nodes = 2,
		.services = { "huvo", "kafi" },
		.profile = "default",
		.settings = settings,
		.target_platform = true,
	};
	int64_t until_us = clock_monotonic_us() + WAIT_MS * US_PER_MS;

	cr_assert(cluster_start(&cluster, &options));
	cr_assert(cluster_write_document(&cluster, document));
	while (get("/1") != 200) {
		cr_assert_lt(clock_monotonic_us(), until_us);
		sleep_ms(POLL_MS);
	}
}

static void stop(void)
{
	cluster_stop(&cluster);
}

static void send_request(const struct reader *reader, const char *id,
			 size_t bytes)
{
	char text[TEXT_SIZE];

	snprintf(text, sizeof(text),
		 "GET /a?bytes=%zu HTTP/1.1\r\nHost: h.example\r\n"
		 "X-Request-Id: %s\r\nX-Deadline-Ms: 12000\r\n\r\n",
		 bytes, id);
	send(reader->fd, text, strlen(text), MSG_NOSIGNAL);
}

static void begin(struct reader *reader, size_t number)
{
	struct sockaddr_in to = { .sin_family = AF_INET };
	struct address address;
	char id[32];

	reader->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	cr_assert_geq(reader->fd, 0);
	setsockopt(reader->fd, SOL_SOCKET, SO_RCVBUF, &reader->window_bytes,
		   sizeof(reader->window_bytes));
	cr_assert(
		address_parse(cluster.nodes[STOPPING].caller, &address, NULL));
	memcpy(&to.sin_addr, address.ip, sizeof(to.sin_addr));
	to.sin_port = htons(address.port);
	cr_assert_eq(connect(reader->fd, (struct sockaddr *)&to, sizeof(to)),
		     0);
	snprintf(id, sizeof(id), "first-%zu", number);
	send_request(reader, id, reader->answer_bytes);
}

static void read_some(struct reader *reader)
{
	char data[4096];
	size_t size = reader->bytes_per_s * READ_EVERY_MS / 1000;
	ssize_t got;

	if (!size || reader->ended)
		return;
	got = recv(reader->fd, data, size, MSG_DONTWAIT);
	if (got > 0)
		reader->received += (size_t)got;
	else if (got == 0 || errno != EAGAIN)
		reader->ended = true;
}

/* Reads for a while. */
static void read_for(struct reader *readers, size_t count, int64_t time_ms)
{
	int64_t until_us = clock_monotonic_us() + time_ms * US_PER_MS;
	size_t i;

	while (clock_monotonic_us() < until_us) {
		for (i = 0; i < count; i++)
			read_some(&readers[i]);
		sleep_ms(READ_EVERY_MS);
	}
}

static void read_all_and_judge(struct reader *readers, size_t count)
{
	size_t i;

	for (i = 0; i < count; i++)
		begin(&readers[i], i);
	read_for(readers, count, SIGNAL_MS);
	process_signal(&cluster.nodes[STOPPING].process, SIGTERM);
	read_for(readers, count, FURTHER_MS - SIGNAL_MS);
	for (i = 0; i < count; i++)
		send_request(&readers[i], "further", 10);
	read_for(readers, count, GRACE_MS - FURTHER_MS);
	for (i = 0; i < count; i++) {
		if (readers[i].bytes_per_s)
			cr_expect_gt(readers[i].received,
				     readers[i].answer_bytes,
				     "reader %zu: %zu of %zu", i,
				     readers[i].received,
				     readers[i].answer_bytes);
		close(readers[i].fd);
	}
}

/* Guards against a stop that cuts off answers which clients still receive. */
Test(slow_reader, a_stopping_node_waits_for_its_callers, .init = start,
     .fini = stop, .timeout = 120)
{
	struct reader readers[] = {
		{ .window_bytes = 4096,
		  .answer_bytes = 120000,
		  .bytes_per_s = 25000 },
		{ .window_bytes = 4096,
		  .answer_bytes = 60000,
		  .bytes_per_s = 12500 },
		{ .window_bytes = 65536,
		  .answer_bytes = 300000,
		  .bytes_per_s = 60000 },
	};
	struct process *process = &cluster.nodes[STOPPING].process;

	read_all_and_judge(readers, COUNT(readers));
	cr_assert(process_wait(process, WAIT_MS));
	cr_expect_eq(process->exit_status, 0);
}

/* Guards against a stop that lasts until the process is killed, because a
 * client reads nothing. */
Test(slow_reader, a_client_that_reads_nothing_holds_no_stop_up, .init = start,
     .fini = stop, .timeout = 120)
{
	struct reader reader = { .window_bytes = 4096, .answer_bytes = 500000 };
	struct process *process = &cluster.nodes[STOPPING].process;
	int64_t signalled_us;

	begin(&reader, 0);
	sleep_ms(SIGNAL_MS);
	signalled_us = clock_monotonic_us();
	process_signal(process, SIGTERM);
	cr_assert(process_wait(process, WAIT_MS));
	cr_expect_eq(process->exit_status, 0);
	cr_expect_lt(clock_monotonic_us() - signalled_us, GRACE_MS * US_PER_MS);
	close(reader.fd);
}
