#include "membership/mesh_test.h"

#include <criterion/criterion.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "os/clock.h"
#include "wire/frame_types.h"

enum { FIRST_PORT = 1000, DELAY_MIN_US = 200, DELAY_SPAN_US = 2000 };

struct mesh_message {
	uint32_t from;
	uint32_t to;
	bool frame;
	int64_t at_us;
	uint32_t size;
	struct mesh_message *next;
	struct mesh_message *prev;
	uint8_t bytes[];
};

struct address mesh_address(uint32_t i)
{
	struct address address = { .ip = { 127, 0, 0, 1 }, .family = 4 };

	address.port = (uint16_t)(FIRST_PORT + i);
	return address;
}

static void name_of(uint32_t i, char name[NAME_SIZE])
{
	snprintf(name, NAME_SIZE, "node-%u", i);
}

static void centre_name(const struct mesh *mesh, uint32_t i,
			char name[NAME_SIZE])
{
	snprintf(name, NAME_SIZE, "dc-%u", i % mesh->centres);
}

void mesh_note(struct mesh *mesh, const char *fmt, ...)
{
	size_t used = strlen(mesh->transcript);
	va_list list;

	used += (size_t)snprintf(mesh->transcript + used,
				 MESH_TRANSCRIPT_SIZE - used, "%8lld ms ",
				 (long long)(mesh->now_us / US_PER_MS));
	if (used >= MESH_TRANSCRIPT_SIZE)
		return;
	va_start(list, fmt);
	vsnprintf(mesh->transcript + used, MESH_TRANSCRIPT_SIZE - used, fmt,
		  list);
	va_end(list);
}

void mesh_init(struct mesh *mesh, uint32_t count, uint32_t centres,
	       uint64_t seed)
{
	memset(mesh, 0, sizeof(*mesh));
	mesh->count = count;
	mesh->centres = centres;
	mesh->now_us = US_PER_S;
	random_init(&mesh->random, seed);
	members_options_init(&mesh->options);
	mesh->options.seed = seed;
}

void mesh_finish(struct mesh *mesh)
{
	struct mesh_message *pending;
	struct mesh_message *next;
	uint32_t i;

	for (i = 0; i < mesh->count; i++)
		mesh_kill(mesh, i);
	DL_FOREACH_SAFE(mesh->in_flight, pending, next) {
		DL_DELETE(mesh->in_flight, pending);
		free(pending);
	}
}

void mesh_start(struct mesh *mesh, uint32_t i)
{
	struct members_options options = mesh->options;
	struct mesh_node *node = &mesh->nodes[i];
	struct members_upstream own = { .service = "ledger",
					.profile = "default",
					.state = UPSTREAM_SERVING,
					.slots = 6 };
	struct record record = { .sequence = 1, .address = mesh_address(i) };
	struct address seeds[] = { mesh_address(0), mesh_address(1),
				   mesh_address(mesh->count - 1) };
	uint32_t s;

	node->alive = true;
	node->paused = false;
	node->centre = i % mesh->centres;
	node->incarnation++;
	memset(node->seen, 0, sizeof(node->seen));
	memset(node->reachable, 0, sizeof(node->reachable));
	memset(node->suspect, 0, sizeof(node->suspect));
	name_of(i, record.instance);
	centre_name(mesh, i, record.data_centre);
	record.incarnation = node->incarnation;
	record.fitness = node->fitness;
	options.seed = mesh->options.seed * 1000 + i;
	members_init(&node->members, &options, &record, mesh->now_us);
	members_set_upstream(&node->members, &own, mesh->now_us);
	for (s = 0; s < 3; s++)
		members_add_seed(&node->members, &seeds[s]);
}

void mesh_start_all(struct mesh *mesh)
{
	uint32_t i;

	for (i = 0; i < mesh->count; i++)
		mesh_start(mesh, i);
}

void mesh_kill(struct mesh *mesh, uint32_t i)
{
	if (!mesh->nodes[i].alive)
		return;
	mesh->nodes[i].alive = false;
	members_finish(&mesh->nodes[i].members);
}

void mesh_cut(struct mesh *mesh, uint32_t a, uint32_t b, bool cut)
{
	mesh->cut[a][b] = cut;
	mesh->cut[b][a] = cut;
}

void mesh_cut_off(struct mesh *mesh, uint32_t centre, bool cut)
{
	uint32_t i;

	for (i = 0; i < mesh->centres; i++)
		if (i != centre)
			mesh_cut(mesh, centre, i, cut);
}

static bool blocked(const struct mesh *mesh, uint32_t from, uint32_t to)
{
	return mesh->cut[mesh->nodes[from].centre][mesh->nodes[to].centre] ||
	       mesh->drops[from][to];
}

static int64_t arrival(struct mesh *mesh)
{
	return mesh->now_us + DELAY_MIN_US +
	       random_jitter(&mesh->random, DELAY_SPAN_US);
}

static void enqueue(struct mesh *mesh, uint32_t from, uint32_t to,
		    const struct members_action *action, int64_t at_us)
{
	struct mesh_message *pending = malloc(sizeof(*pending) + action->size);
	struct mesh_message *after;

	pending->from = from;
	pending->to = to;
	pending->frame = action->type == MEMBERS_FRAME;
	pending->at_us = at_us;
	pending->size = action->size;
	memcpy(pending->bytes, action->bytes, action->size);
	/* Frames between two nodes keep their order. */
	DL_FOREACH(mesh->in_flight, after)
		if (pending->frame && after->frame && after->from == from &&
		    after->to == to && after->at_us >= pending->at_us)
			pending->at_us = after->at_us + 1;
	DL_FOREACH(mesh->in_flight, after)
		if (after->at_us > pending->at_us)
			break;
	if (after)
		DL_PREPEND_ELEM(mesh->in_flight, after, pending);
	else
		DL_APPEND(mesh->in_flight, pending);
}

static void capture_message(struct mesh *mesh,
			    const struct members_action *action)
{
	bool frame = action->type == MEMBERS_FRAME;
	size_t skip = frame ? CODEC_LENGTH_BYTES : 0;
	struct mesh_capture *capture = &mesh->captured[mesh->captured_count];

	if (!mesh->capture || mesh->captured_count == MESH_CAPTURES_MAX ||
	    action->size - skip > MESH_CAPTURE_SIZE)
		return;
	mesh->captured_count++;
	capture->frame = frame;
	capture->size = action->size - skip;
	memcpy(capture->bytes, action->bytes + skip, capture->size);
}

static void send_action(struct mesh *mesh, uint32_t from,
			const struct members_action *action)
{
	uint32_t to = action->conn ? (uint32_t)action->conn - 1
				   : (uint32_t)action->to.port - FIRST_PORT;

	if (action->type == MEMBERS_FRAME) {
		mesh->frames++;
		mesh->frame_bytes += action->size;
	} else {
		mesh->datagrams++;
		mesh->datagram_bytes += action->size + MAC_BYTES;
		if (action->size + MAC_BYTES > mesh->largest)
			mesh->largest = action->size + MAC_BYTES;
	}
	capture_message(mesh, action);
	if (to >= mesh->count || blocked(mesh, from, to))
		return;
	if (action->type == MEMBERS_SEND) {
		if (random_share(&mesh->random) < mesh->loss)
			return;
		if (random_share(&mesh->random) < mesh->duplicate_rate)
			enqueue(mesh, from, to, action,
				arrival(mesh) + US_PER_S);
	}
	enqueue(mesh, from, to, action, arrival(mesh));
}

static void update_view(struct mesh_node *node,
			const struct members_event *event)
{
	uint32_t of;

	switch (event->type) {
	case MEMBERS_RECORD:
		sscanf(event->record->instance, "node-%u", &of);
		node->reachable[of] = event->reachable;
		node->suspect[of] = event->suspect;
		node->record_events++;
		return;
	case MEMBERS_DROPPED:
		sscanf(event->name, "node-%u", &of);
		node->reachable[of] = false;
		return;
	case MEMBERS_DATA_CENTRE:
		node->centre_events++;
		return;
	case MEMBERS_HEAD:
		return;
	}
}

static void dispatch_event(struct mesh *mesh, uint32_t i,
			   const struct members_event *event)
{
	update_view(&mesh->nodes[i], event);
	if (mesh->app.event)
		mesh->app.event(mesh, i, event);
}

void mesh_drain(struct mesh *mesh, uint32_t i)
{
	struct members_action action;

	while (members_next_action(&mesh->nodes[i].members, &action))
		if (action.type == MEMBERS_EVENT)
			dispatch_event(mesh, i, &action.event);
		else
			send_action(mesh, i, &action);
}

void mesh_discard(struct mesh *mesh, uint32_t i)
{
	struct members_action action;

	while (members_next_action(&mesh->nodes[i].members, &action))
		;
}

void mesh_send_frame(struct mesh *mesh, uint32_t from, uint64_t conn,
		     const struct address *to, const uint8_t *bytes,
		     uint32_t size)
{
	struct members_action action = { .type = MEMBERS_FRAME,
					 .conn = conn,
					 .to = *to,
					 .bytes = bytes,
					 .size = size };

	send_action(mesh, from, &action);
}

void mesh_leave(struct mesh *mesh, uint32_t i)
{
	members_leave(&mesh->nodes[i].members, mesh->now_us);
	mesh_drain(mesh, i);
	mesh_kill(mesh, i);
}

static void deliver_frame(struct mesh *mesh, const struct mesh_message *pending)
{
	struct identity peer = { .address = mesh_address(pending->from) };
	struct error err = ERROR_INIT;
	struct message message;

	name_of(pending->from, peer.instance);
	centre_name(mesh, pending->from, peer.data_centre);
	cr_assert(message_decode(&message, pending->bytes + CODEC_LENGTH_BYTES,
				 pending->size - CODEC_LENGTH_BYTES, &err),
		  "%s", err.text);
	if (message.type >= FRAME_RANGE_MEMBERSHIP)
		members_frame(&mesh->nodes[pending->to].members,
			      pending->from + 1, &peer, &message, mesh->now_us);
	else if (mesh->app.frame)
		mesh->app.frame(mesh, pending->to, pending->from + 1, &peer,
				&message);
	message_finish(&message);
}

static void deliver(struct mesh *mesh, struct mesh_message *pending)
{
	struct mesh_node *node = &mesh->nodes[pending->to];
	struct address from = mesh_address(pending->from);

	if (!node->alive || blocked(mesh, pending->from, pending->to))
		return;
	if (pending->frame)
		deliver_frame(mesh, pending);
	else
		members_datagram(&node->members, &from, pending->bytes,
				 pending->size, mesh->now_us);
	mesh_drain(mesh, pending->to);
}

/* Checks the invariant that a record is never replaced by an older one. */
static void check_not_older(struct mesh *mesh, uint32_t at)
{
	struct mesh_node *node = &mesh->nodes[at];
	const struct member *member = NULL;

	while ((member = members_next(&node->members, member))) {
		const struct record *record = &member->record;
		uint32_t of;

		sscanf(record->instance, "node-%u", &of);
		cr_assert(record->incarnation > node->seen[of].incarnation ||
				  (record->incarnation ==
					   node->seen[of].incarnation &&
				   record->sequence >= node->seen[of].sequence),
			  "node %u replaced the record of node %u by an "
			  "older one at %lld ms:\n%s",
			  at, of, (long long)(mesh->now_us / US_PER_MS),
			  mesh->transcript);
		node->seen[of].incarnation = record->incarnation;
		node->seen[of].sequence = record->sequence;
	}
}

static int64_t due_us(struct mesh *mesh, uint32_t i)
{
	int64_t next_us = members_next_us(&mesh->nodes[i].members);
	int64_t app_us = mesh->app.next_us ? mesh->app.next_us(mesh, i)
					   : INT64_MAX;

	return app_us < next_us ? app_us : next_us;
}

static int64_t next_event(struct mesh *mesh, int64_t until_us)
{
	int64_t next_us = until_us;
	uint32_t i;

	if (mesh->in_flight && mesh->in_flight->at_us < next_us)
		next_us = mesh->in_flight->at_us;
	for (i = 0; i < mesh->count; i++) {
		struct mesh_node *node = &mesh->nodes[i];

		if (node->alive && !node->paused && due_us(mesh, i) < next_us)
			next_us = due_us(mesh, i);
	}
	return next_us;
}

static void step(struct mesh *mesh, int64_t until_us)
{
	int64_t next_us = next_event(mesh, until_us);
	struct mesh_message *pending = mesh->in_flight;
	uint32_t i;

	if (next_us > mesh->now_us)
		mesh->now_us = next_us;
	/* The messages to a paused node wait in its sockets. */
	while (pending && pending->at_us <= mesh->now_us) {
		struct mesh_message *next = pending->next;

		if (!mesh->nodes[pending->to].paused) {
			DL_DELETE(mesh->in_flight, pending);
			deliver(mesh, pending);
			check_not_older(mesh, pending->to);
			free(pending);
		} else {
			pending->at_us = mesh->now_us + US_PER_MS;
		}
		pending = next;
	}
	for (i = 0; i < mesh->count; i++) {
		struct mesh_node *node = &mesh->nodes[i];

		if (!node->alive || node->paused ||
		    due_us(mesh, i) > mesh->now_us)
			continue;
		members_tick(&node->members, mesh->now_us);
		if (mesh->app.tick)
			mesh->app.tick(mesh, i);
		mesh_drain(mesh, i);
	}
}

void mesh_run(struct mesh *mesh, int64_t for_ms)
{
	int64_t until_us = mesh->now_us + for_ms * US_PER_MS;

	while (mesh->now_us < until_us)
		step(mesh, until_us);
}

struct member *mesh_member(struct mesh *mesh, uint32_t at, uint32_t of)
{
	char instance[NAME_SIZE];
	char centre[NAME_SIZE];

	name_of(of, instance);
	centre_name(mesh, of, centre);
	return members_find(&mesh->nodes[at].members, centre, instance);
}

static bool view_is_correct(struct mesh *mesh, uint32_t at, uint32_t of,
			    char why[MESH_TEXT_SIZE])
{
	const struct member *member = mesh_member(mesh, at, of);
	const struct record *expected =
		mesh->nodes[of].alive ? &mesh->nodes[of].members.self->record
				      : NULL;
	bool reachable = member &&
			 members_reachable(&mesh->nodes[at].members, member);

	if (expected && reachable &&
	    member->record.incarnation == expected->incarnation &&
	    member->record.sequence == expected->sequence &&
	    mesh->nodes[at].reachable[of])
		return true;
	if (!expected && !reachable && !mesh->nodes[at].reachable[of])
		return true;
	snprintf(why, MESH_TEXT_SIZE,
		 "node %u sees node %u (%s): %s, status %d, %llu.%llu, "
		 "reported %d",
		 at, of, expected ? "alive" : "dead",
		 member ? "known" : "unknown", member ? (int)member->status : 0,
		 (unsigned long long)(member ? member->record.incarnation : 0),
		 (unsigned long long)(member ? member->record.sequence : 0),
		 mesh->nodes[at].reachable[of]);
	return false;
}

bool mesh_converged(struct mesh *mesh, char why[MESH_TEXT_SIZE])
{
	uint32_t at;
	uint32_t of;

	for (at = 0; at < mesh->count; at++)
		for (of = 0; of < mesh->count; of++)
			if (at != of && mesh->nodes[at].alive &&
			    !view_is_correct(mesh, at, of, why))
				return false;
	return true;
}

int64_t mesh_converge_within(struct mesh *mesh, int64_t most_ms)
{
	int64_t begin_us = mesh->now_us;
	char why[MESH_TEXT_SIZE] = "";

	while (!mesh_converged(mesh, why)) {
		cr_assert_lt(mesh->now_us - begin_us, most_ms * US_PER_MS,
			     "%s:\n%s", why, mesh->transcript);
		mesh_run(mesh, 50);
	}
	return (mesh->now_us - begin_us) / US_PER_MS;
}
