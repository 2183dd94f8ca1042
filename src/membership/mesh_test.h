#ifndef MEMBERSHIP_MESH_TEST_H
#define MEMBERSHIP_MESH_TEST_H

#include "membership/members.h"

/**
 * DOC: mesh
 *
 * Several membership cores in one test process, joined by a network in
 * memory that delays, loses, doubles and cuts. The clock is the test's.
 */

enum {
	MESH_NODES_MAX = 64,
	MESH_CENTRES_MAX = 4,
	MESH_TEXT_SIZE = 200,
	MESH_TRANSCRIPT_SIZE = 8192,
	MESH_CAPTURES_MAX = 512,
	MESH_CAPTURE_SIZE = 2048,
};

/**
 * struct mesh_node - one node
 * @seen: the highest (incarnation, sequence) that it held of each other one
 * @reachable, @suspect: what its observer was told of each other one
 */
struct mesh_node {
	struct members members;
	bool alive;
	bool paused;
	uint32_t centre;
	uint64_t incarnation;
	uint8_t fitness; /* from the next start on */
	struct {
		uint64_t incarnation;
		uint64_t sequence;
	} seen[MESH_NODES_MAX];
	bool reachable[MESH_NODES_MAX];
	bool suspect[MESH_NODES_MAX];
	uint32_t centre_events;
	uint32_t record_events;
};

struct mesh_message;
struct mesh;

/** struct mesh_app - what runs on top of membership; all may be NULL. */
struct mesh_app {
	void (*event)(struct mesh *mesh, uint32_t at,
		      const struct members_event *event);
	void (*frame)(struct mesh *mesh, uint32_t at, uint64_t conn,
		      const struct identity *peer,
		      const struct message *message);
	void (*tick)(struct mesh *mesh, uint32_t at);
	int64_t (*next_us)(struct mesh *mesh, uint32_t at);
};

/** struct mesh_capture - a message that was sent, frames without length. */
struct mesh_capture {
	bool frame;
	size_t size;
	uint8_t bytes[MESH_CAPTURE_SIZE];
};

struct mesh {
	struct mesh_app app;
	struct mesh_node nodes[MESH_NODES_MAX];
	uint32_t count;
	uint32_t centres;
	struct members_options options;
	struct random random;
	int64_t now_us;
	struct mesh_message *in_flight; /* by time of arrival */
	bool cut[MESH_CENTRES_MAX][MESH_CENTRES_MAX];
	bool drops[MESH_NODES_MAX][MESH_NODES_MAX]; /* from, to */
	double loss;
	double duplicate_rate;
	uint64_t datagrams;
	uint64_t datagram_bytes;
	uint64_t frames;
	uint64_t frame_bytes;
	uint32_t largest;
	bool capture;
	struct mesh_capture captured[MESH_CAPTURES_MAX];
	uint32_t captured_count;
	char transcript[MESH_TRANSCRIPT_SIZE];
};

/** mesh_note() - a step, printed if the test fails later. */
void mesh_note(struct mesh *mesh, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/** mesh_init() - @count nodes, the i-th in data centre i % @centres. */
void mesh_init(struct mesh *mesh, uint32_t count, uint32_t centres,
	       uint64_t seed);
void mesh_finish(struct mesh *mesh);

/** mesh_start() - begin node @i, with a higher incarnation each time. */
void mesh_start(struct mesh *mesh, uint32_t i);
void mesh_start_all(struct mesh *mesh);
void mesh_kill(struct mesh *mesh, uint32_t i);
/** mesh_leave() - a planned stop. */
void mesh_leave(struct mesh *mesh, uint32_t i);
void mesh_cut(struct mesh *mesh, uint32_t a, uint32_t b, bool cut);
/** mesh_cut_off() - one data centre from all others. */
void mesh_cut_off(struct mesh *mesh, uint32_t centre, bool cut);

/** mesh_run() - let time pass; checks after each step that no record goes
 * back at any node. */
void mesh_run(struct mesh *mesh, int64_t for_ms);

struct member *mesh_member(struct mesh *mesh, uint32_t at, uint32_t of);

/**
 * mesh_converged() - whether all live nodes hold the truth
 *
 * Each live node is held reachable with its latest word by every other one,
 * and no dead one is.
 */
bool mesh_converged(struct mesh *mesh, char why[MESH_TEXT_SIZE]);

/** mesh_converge_within() - run until they agree; returns the time it took. */
int64_t mesh_converge_within(struct mesh *mesh, int64_t most_ms);

/** mesh_send_frame() - for the app; @conn as in its actions, or 0. */
void mesh_send_frame(struct mesh *mesh, uint32_t from, uint64_t conn,
		     const struct address *to, const uint8_t *bytes,
		     uint32_t size);

/** mesh_drain() - after the app has called into a core. */
void mesh_drain(struct mesh *mesh, uint32_t i);

/** mesh_discard() - forget what node @i wants to do. */
void mesh_discard(struct mesh *mesh, uint32_t i);

struct address mesh_address(uint32_t i);

#endif
