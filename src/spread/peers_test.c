#include "spread/peers_test.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "os/clock.h"

enum { TEXT_SIZE = 200, VERSIONS_MAX = 400 };

struct mesh mesh;
struct peer peers[MESH_NODES_MAX];
struct spread_options peers_options;
struct members_options peers_membership;
struct head platform;
static int texts[VERSIONS_MAX];
static int text_count;

static const char *text_of(int number, char text[TEXT_SIZE])
{
	snprintf(text, TEXT_SIZE,
		 "services = [\"*\"]\ndrain_ms = %d\n[kind.k]\n"
		 "[[route]]\npath = \"/\"\nkind = \"k\"\n",
		 number);
	return text;
}

void peers_accept(int number)
{
	struct error err = ERROR_INIT;
	uint8_t hash[CONTENT_HASH_BYTES];
	char name[PROFILE_NAME_SIZE];
	char id[ACCEPT_ID_SIZE];
	char text[TEXT_SIZE];

	snprintf(id, sizeof(id), "id-%d", text_count);
	snprintf(name, sizeof(name), "profile-%d", abs(number) % 4);
	text_of(number, text);
	content_hash(text, strlen(text), hash);
	head_advance(&platform, id, "operator", 1000);
	cr_assert(head_set(&platform, name, hash, &err));
	head_seal(&platform);
	texts[text_count++] = number;
}

static void drain_spread(struct mesh *m, uint32_t at);

void peers_read_part(uint32_t at, int bodies)
{
	struct keeper *keeper = &peers[at].keeper;
	struct error err = ERROR_INIT;
	char text[TEXT_SIZE];
	size_t size;
	uint8_t *head = head_encode(&platform, &size);
	enum keeper_offer_result result =
		keeper_offer_head(keeper, head, size, &err);
	int i;

	free(head);
	/* The reader offers bodies only if the head needs them. */
	for (i = 0; i < text_count && bodies && result == KEEPER_INCOMPLETE &&
		    keeper_pending_version(keeper);
	     i++) {
		uint32_t missing = keeper->missing_count;

		text_of(texts[i], text);
		keeper_offer_body(keeper, text, strlen(text), &err);
		bodies -= keeper->missing_count != missing;
	}
	drain_spread(&mesh, at);
}

void peers_read(uint32_t at)
{
	peers_read_part(at, INT32_MAX);
}

static void on_changed(struct config *config, void *data)
{
	struct peer *peer = data;

	cr_assert_gt(config->version, peer->highest, "%s", mesh.transcript);
	peer->highest = config->version;
	spread_applied(&peer->spread, config);
}

static void applied(struct mesh *m, uint32_t at,
		    const struct spread_action *action)
{
	struct members *members = &m->nodes[at].members;

	members_set_refused(members, 0, "", m->now_us);
	members_set_head(members, &action->head, m->now_us);
	members_announce(members, action->origin, m->now_us);
	mesh_drain(m, at);
}

static void push_all(struct mesh *m, uint32_t at)
{
	const struct member *member = NULL;

	while ((member = members_next(&m->nodes[at].members, member)))
		spread_push(&peers[at].spread, &member->record.address);
}

static void drain_spread(struct mesh *m, uint32_t at)
{
	struct spread_action action;

	while (spread_next_action(&peers[at].spread, &action)) {
		switch (action.type) {
		case SPREAD_FRAME:
			mesh_send_frame(m, at, action.conn, &action.to,
					action.bytes, action.size);
			break;
		case SPREAD_APPLIED:
			applied(m, at, &action);
			break;
		case SPREAD_REFUSED:
			members_set_refused(&m->nodes[at].members,
					    action.head.version, action.reason,
					    m->now_us);
			break;
		case SPREAD_PUSH_ALL:
			push_all(m, at);
			break;
		}
	}
}

static void on_event(struct mesh *m, uint32_t at,
		     const struct members_event *event)
{
	if (event->type != MEMBERS_HEAD || !peers[at].running)
		return;
	spread_peer_applied(&peers[at].spread, event->head.version,
			    &event->from, m->now_us);
	drain_spread(m, at);
}

static void on_frame(struct mesh *m, uint32_t at, uint64_t conn,
		     const struct identity *peer, const struct message *message)
{
	spread_frame(&peers[at].spread, conn, peer, message, m->now_us);
	drain_spread(m, at);
}

static void on_tick(struct mesh *m, uint32_t at)
{
	spread_tick(&peers[at].spread, m->now_us);
	drain_spread(m, at);
}

static int64_t next_us(struct mesh *m, uint32_t at)
{
	return spread_next_us(&peers[at].spread);
}

void peers_start(uint32_t i)
{
	struct peer *peer = &peers[i];

	keeper_init(&peer->keeper);
	peers_options.seed = i;
	spread_init(&peer->spread, &peers_options, &peer->keeper, mesh.now_us);
	peer->observer.changed = on_changed;
	peer->observer.data = peer;
	peer->highest = 0;
	peer->running = true;
	keeper_observe(&peer->keeper, &peer->observer);
	mesh_start(&mesh, i);
}

void peers_kill(uint32_t i)
{
	if (!peers[i].running)
		return;
	peers[i].running = false;
	mesh_kill(&mesh, i);
	spread_finish(&peers[i].spread);
	keeper_finish(&peers[i].keeper);
}

void peers_begin(uint32_t nodes, uint32_t centres, uint64_t seed)
{
	uint32_t i;

	mesh_init(&mesh, nodes, centres, seed);
	peers_membership.seed = mesh.options.seed;
	mesh.options = peers_membership;
	mesh.app = (struct mesh_app){ on_event, on_frame, on_tick, next_us };
	head_init(&platform);
	text_count = 0;
	for (i = 0; i < nodes; i++)
		peers_start(i);
}

void peers_setup(void)
{
	spread_options_init(&peers_options);
	members_options_init(&peers_membership);
}

void peers_end(void)
{
	uint32_t i;

	for (i = 0; i < mesh.count; i++)
		peers_kill(i);
	mesh_finish(&mesh);
	head_finish(&platform);
	memset(&mesh, 0, sizeof(mesh));
}

bool peers_all_at(uint64_t version)
{
	uint32_t i;

	for (i = 0; i < mesh.count; i++)
		if (peers[i].running && peers[i].highest != version)
			return false;
	return true;
}

int64_t peers_all_within(uint64_t version, int64_t max_ms)
{
	int64_t begin_us = mesh.now_us;

	while (!peers_all_at(version)) {
		cr_assert_lt(
			mesh.now_us - begin_us, max_ms * US_PER_MS,
			"version not in force on all nodes after %lld ms:\n%s",
			(long long)max_ms, mesh.transcript);
		mesh_run(&mesh, 5);
	}
	return (mesh.now_us - begin_us) / US_PER_MS;
}

uint64_t peers_bodies_received(void)
{
	uint64_t bodies = 0;
	uint32_t i;

	for (i = 0; i < mesh.count; i++)
		bodies += peers[i].spread.counts.bodies_received;
	return bodies;
}
