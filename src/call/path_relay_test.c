#include "call/path_test.h"

#include <criterion/criterion.h>

#include "os/net.h"

/*
 * The relay of path_test.h between the nodes, which can fall silent.
 */

static void relayed_close(struct relayed *relayed)
{
	int i;

	for (i = 0; i < 2; i++) {
		watch_stop(&relayed->watches[i]);
		net_close(relayed->fds[i]);
		relayed->fds[i] = NET_NONE;
	}
}

static bool relayed_write(int fd, const uint8_t *bytes, size_t size)
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

static void relayed_ready(struct watch *watch, int ready, void *data)
{
	struct relayed *relayed = data;
	int from = watch == &relayed->watches[1];
	static uint8_t bytes[256 * 1024];
	size_t size = sizeof(bytes);
	int i;
	enum net_result result = net_read(relayed->fds[from], bytes, &size);

	if (result == NET_AGAIN)
		return;
	if (result != NET_OK) {
		relayed_close(relayed);
		return;
	}
	for (i = 0; i <= relayed->relay->twice; i++)
		if (!relayed_write(relayed->fds[!from], bytes, size)) {
			relayed_close(relayed);
			return;
		}
}

static void relay_accept(struct watch *watch, int ready, void *data)
{
	struct relay *relay = data;
	struct error err = ERROR_INIT;
	struct address from;
	int fd = net_accept(relay->fd, &from);
	int i;

	for (i = 0; fd != NET_NONE && i < PATH_RELAYED; i++) {
		struct relayed *relayed = &relay->conns[i];

		if (relayed->fds[0] != NET_NONE)
			continue;
		relayed->relay = relay;
		relayed->fds[0] = fd;
		relayed->fds[1] = net_connect(&relay->to, NULL, &err);
		memset(relayed->silent, 0, sizeof(relayed->silent));
		relay->accepted++;
		for (i = 0; i < 2; i++)
			watch_start(&relayed->watches[i], relay->loop,
				    relayed->fds[i], LOOP_READ, relayed_ready,
				    relayed, &err);
		return;
	}
	net_close(fd);
}

void relay_start(struct relay *relay)
{
	struct error err = ERROR_INIT;
	int i;

	relay->loop = &path.loop;
	for (i = 0; i < PATH_RELAYED; i++)
		relay->conns[i].fds[0] = NET_NONE;
	address_parse("127.0.0.1:0", &relay->address, &err);
	relay->fd = net_listen(&relay->address, &err);
	cr_assert(watch_start(&relay->watch, relay->loop, relay->fd, LOOP_READ,
			      relay_accept, relay, &err));
}

void relay_stop(struct relay *relay)
{
	int i;

	watch_stop(&relay->watch);
	net_close(relay->fd);
	for (i = 0; i < PATH_RELAYED; i++)
		if (relay->conns[i].fds[0] != NET_NONE)
			relayed_close(&relay->conns[i]);
}

void path_silence(bool to_b, bool to_a)
{
	int i;

	for (i = 0; i < PATH_RELAYED; i++) {
		struct relayed *relayed = &path.relay.conns[i];

		if (relayed->fds[0] == NET_NONE)
			continue;
		watch_change(&relayed->watches[0], to_b ? 0 : LOOP_READ);
		watch_change(&relayed->watches[1], to_a ? 0 : LOOP_READ);
	}
}
