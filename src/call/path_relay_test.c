#include "call/path_test.h"

#include <criterion/criterion.h>

#include "os/net.h"

/* The relay of path_test.h between the nodes. */

static void relay_conn_close(struct relay_conn *relay_conn)
{
	int i;

	for (i = 0; i < 2; i++) {
		watch_stop(&relay_conn->watches[i]);
		net_close(relay_conn->fds[i]);
		relay_conn->fds[i] = NET_NONE;
	}
}

static bool relay_write(int fd, const uint8_t *bytes, size_t size)
{
	size_t done = 0;

	while (done < size) {
		size_t moved = size - done;

		if (net_write(fd, bytes + done, &moved) == NET_FAILED)
			return false;
		done += moved;
	}
	return true;
}

static void relay_conn_ready(struct watch *watch, int ready, void *data)
{
	struct relay_conn *relay_conn = data;
	int from = watch == &relay_conn->watches[1];
	static uint8_t bytes[256 * 1024];
	size_t size = sizeof(bytes);
	int i;
	enum net_result result = net_read(relay_conn->fds[from], bytes, &size);

	if (result == NET_AGAIN)
		return;
	if (result != NET_OK) {
		relay_conn_close(relay_conn);
		return;
	}
	for (i = 0; i <= relay_conn->relay->duplicate; i++)
		if (!relay_write(relay_conn->fds[!from], bytes, size)) {
			relay_conn_close(relay_conn);
			return;
		}
}

static void relay_accept(struct watch *watch, int ready, void *data)
{
	struct path_relay *relay = data;
	struct error err = ERROR_INIT;
	struct address from;
	int fd = net_accept(relay->fd, &from);
	int i;

	for (i = 0; fd != NET_NONE && i < PATH_RELAY_CONNS; i++) {
		struct relay_conn *relay_conn = &relay->conns[i];

		if (relay_conn->fds[0] != NET_NONE)
			continue;
		relay_conn->relay = relay;
		relay_conn->fds[0] = fd;
		relay_conn->fds[1] = net_connect(&relay->to, NULL, &err);
		memset(relay_conn->silent, 0, sizeof(relay_conn->silent));
		relay->accepted++;
		for (i = 0; i < 2; i++)
			watch_start(&relay_conn->watches[i], relay->loop,
				    relay_conn->fds[i], LOOP_READ,
				    relay_conn_ready, relay_conn, &err);
		return;
	}
	net_close(fd);
}

void relay_start(struct path_relay *relay)
{
	struct error err = ERROR_INIT;
	int i;

	relay->loop = &path.loop;
	for (i = 0; i < PATH_RELAY_CONNS; i++)
		relay->conns[i].fds[0] = NET_NONE;
	address_parse("127.0.0.1:0", &relay->address, &err);
	relay->fd = net_listen(&relay->address, &err);
	cr_assert(watch_start(&relay->watch, relay->loop, relay->fd, LOOP_READ,
			      relay_accept, relay, &err));
}

void relay_stop(struct path_relay *relay)
{
	int i;

	watch_stop(&relay->watch);
	net_close(relay->fd);
	for (i = 0; i < PATH_RELAY_CONNS; i++)
		if (relay->conns[i].fds[0] != NET_NONE)
			relay_conn_close(&relay->conns[i]);
}

void path_stall(bool to_b, bool to_a)
{
	int i;

	for (i = 0; i < PATH_RELAY_CONNS; i++) {
		struct relay_conn *relay_conn = &path.relay.conns[i];

		if (relay_conn->fds[0] == NET_NONE)
			continue;
		watch_change(&relay_conn->watches[0], to_b ? 0 : LOOP_READ);
		watch_change(&relay_conn->watches[1], to_a ? 0 : LOOP_READ);
	}
}
