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

struct mesh_letter {
	uint32_t from;
	uint32_t to;
	bool frame;
	int64_t at_us;
	uint32_t size;
	struct mesh_letter *next;
	struct mesh_letter *prev;
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
	size_t used = strlen(mesh->story);
	va_list list;

	used += (size_t)snprintf(mesh->story + used, MESH_STORY_SIZE - used,
				 "%8lld ms ",
				 (long long)(mesh->now_us / US_PER_MS));
	if (used >= MESH_STORY_SIZE)
		return;
	va_start(list, fmt);
	vsnprintf(mesh->story + used, MESH_STORY_SIZE - used, fmt, list);
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
	struct mesh_letter *letter;
	struct mesh_letter *next;
	uint32_t i;

	for (i = 0; i < mesh->count; i++)
		mesh_kill(mesh, i);
	DL_FOREACH_SAFE(mesh->letters, letter, next) {
		DL_DELETE(mesh->letters, letter);
		free(letter);
	}
}

void mesh_start(struct mesh *mesh, uint32_t i)
{
	struct members_options options = mesh->options;
	struct mesh_node *node = &mesh->nodes[i];
	struct members_own own = { .service = "ledger",
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
	members_set_own(&node->members, &own, mesh->now_us);
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
	       mesh->deaf[from][to];
}

static int64_t arrival(struct mesh *mesh)
{
	return mesh->now_us + DELAY_MIN_US +
	       random_jitter(&mesh->random, DELAY_SPAN_US);
}

static void post(struct mesh *mesh, uint32_t from, uint32_t to,
		 const struct members_action *action, int64_t at_us)
{
	struct mesh_letter *letter = malloc(sizeof(*letter) + action->size);
	struct mesh_letter *after;

	letter->from = from;
	letter->to = to;
	letter->frame = action->type == MEMBERS_FRAME;
	letter->at_us = at_us;
	letter->size = action->size;
	memcpy(letter->bytes, action->bytes, action->size);
	/* Frames between two nodes keep their order. */
	DL_FOREACH(mesh->letters, after)
		if (letter->frame && after->frame && after->from == from &&
		    after->to == to && after->at_us >= letter->at_us)
			letter->at_us = after->at_us + 1;
	DL_FOREACH(mesh->letters, after)
		if (after->at_us > letter->at_us)
			break;
	if (after)
		DL_PREPEND_ELEM(mesh->letters, after, letter);
	else
		DL_APPEND(mesh->letters, letter);
}

static void keep_copy(struct mesh *mesh, const struct members_action *action)
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

static void send_one(struct mesh *mesh, uint32_t from,
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
	keep_copy(mesh, action);
	if (to >= mesh->count || blocked(mesh, from, to))
		return;
	if (action->type == MEMBERS_SEND) {
		if (random_share(&mesh->random) < mesh->loss)
			return;
		if (random_share(&mesh->random) < mesh->doubled)
			post(mesh, from, to, action, arrival(mesh) + US_PER_S);
	}
	post(mesh, from, to, action, arrival(mesh));
}

static void note_event(struct mesh_node *node,
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

static void tell(struct mesh *mesh, uint32_t i,
		 const struct members_event *event)
{
	note_event(&mesh->nodes[i], event);
	if (mesh->app.event)
		mesh->app.event(mesh, i, event);
}

void mesh_drain(struct mesh *mesh, uint32_t i)
{
	struct members_action action;

	while (members_next_action(&mesh->nodes[i].members, &action))
		if (action.type == MEMBERS_EVENT)
			tell(mesh, i, &action.event);
		else
			send_one(mesh, i, &action);
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

	send_one(mesh, from, &action);
}

void mesh_leave(struct mesh *mesh, uint32_t i)
{
	members_leave(&mesh->nodes[i].members, mesh->now_us);
	mesh_drain(mesh, i);
	mesh_kill(mesh, i);
}

static void deliver_frame(struct mesh *mesh, const struct mesh_letter *letter)
{
	struct identity peer = { .address = mesh_address(letter->from) };
	struct error err = ERROR_INIT;
	struct message message;

	name_of(letter->from, peer.instance);
	centre_name(mesh, letter->from, peer.data_centre);
	cr_assert(message_decode(&message, letter->bytes + CODEC_LENGTH_BYTES,
				 letter->size - CODEC_LENGTH_BYTES, &err),
		  "%s", err.text);
	if (message.type >= FRAME_RANGE_MEMBERSHIP)
		members_frame(&mesh->nodes[letter->to].members,
			      letter->from + 1, &peer, &message, mesh->now_us);
	else if (mesh->app.frame)
		mesh->app.frame(mesh, letter->to, letter->from + 1, &peer,
				&message);
	message_finish(&message);
}

static void deliver(struct mesh *mesh, struct mesh_letter *letter)
{
	struct mesh_node *node = &mesh->nodes[letter->to];
	struct address from = mesh_address(letter->from);

	if (!node->alive || blocked(mesh, letter->from, letter->to))
		return;
	if (letter->frame)
		deliver_frame(mesh, letter);
	else
		members_datagram(&node->members, &from, letter->bytes,
				 letter->size, mesh->now_us);
	mesh_drain(mesh, letter->to);
}

/* The promise that holds at every moment: what a node holds of another one
 * never becomes older. */
static void check_seen(struct mesh *mesh, uint32_t at)
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
			  "node %u went back on node %u at %lld ms:\n%s", at,
			  of, (long long)(mesh->now_us / US_PER_MS),
			  mesh->story);
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

	if (mesh->letters && mesh->letters->at_us < next_us)
		next_us = mesh->letters->at_us;
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
	struct mesh_letter *letter = mesh->letters;
	uint32_t i;

	if (next_us > mesh->now_us)
		mesh->now_us = next_us;
	/* A paused node's datagrams wait in its socket. */
	while (letter && letter->at_us <= mesh->now_us) {
		struct mesh_letter *next = letter->next;

		if (!mesh->nodes[letter->to].paused) {
			DL_DELETE(mesh->letters, letter);
			deliver(mesh, letter);
			check_seen(mesh, letter->to);
			free(letter);
		} else {
			letter->at_us = mesh->now_us + US_PER_MS;
		}
		letter = next;
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

static bool holds_truth(struct mesh *mesh, uint32_t at, uint32_t of,
			char why[MESH_TEXT_SIZE])
{
	const struct member *member = mesh_member(mesh, at, of);
	const struct record *truth =
		mesh->nodes[of].alive ? &mesh->nodes[of].members.self->record
				      : NULL;
	bool reachable = member &&
			 members_reachable(&mesh->nodes[at].members, member);

	if (truth && reachable &&
	    member->record.incarnation == truth->incarnation &&
	    member->record.sequence == truth->sequence &&
	    mesh->nodes[at].reachable[of])
		return true;
	if (!truth && !reachable && !mesh->nodes[at].reachable[of])
		return true;
	snprintf(why, MESH_TEXT_SIZE,
		 "node %u holds node %u (%s): %s, status %d, %llu.%llu, told "
		 "%d",
		 at, of, truth ? "alive" : "dead", member ? "known" : "unknown",
		 member ? (int)member->status : 0,
		 (unsigned long long)(member ? member->record.incarnation : 0),
		 (unsigned long long)(member ? member->record.sequence : 0),
		 mesh->nodes[at].reachable[of]);
	return false;
}

bool mesh_agree(struct mesh *mesh, char why[MESH_TEXT_SIZE])
{
	uint32_t at;
	uint32_t of;

	for (at = 0; at < mesh->count; at++)
		for (of = 0; of < mesh->count; of++)
			if (at != of && mesh->nodes[at].alive &&
			    !holds_truth(mesh, at, of, why))
				return false;
	return true;
}

int64_t mesh_agree_within(struct mesh *mesh, int64_t most_ms)
{
	int64_t begin_us = mesh->now_us;
	char why[MESH_TEXT_SIZE] = "";

	while (!mesh_agree(mesh, why)) {
		cr_assert_lt(mesh->now_us - begin_us, most_ms * US_PER_MS,
			     "%s:\n%s", why, mesh->story);
		mesh_run(mesh, 50);
	}
	return (mesh->now_us - begin_us) / US_PER_MS;
}
