#ifndef MEMBERSHIP_MESH_TEST_H
#define MEMBERSHIP_MESH_TEST_H

#include "membership/members.h"

/**
 * DOC: mesh
 *
 * Several membership cores in one test process, connected by a simulated
 * network that delays, drops and duplicates messages and can be partitioned.
 * The clock is simulated.
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
 * @members: the membership core; initialised while @alive
 * @alive: whether the node runs
 * @paused: whether the process is paused; messages wait until it resumes
 * @centre: index of the data centre
 * @incarnation: number of starts so far
 * @fitness: fitness of the node from its next start on
 * @seen: for each other node, the highest (incarnation, sequence) that this
 *	node has held since its start
 * @reachable: for each other node, reachability from the last event
 * @suspect: for each other node, whether the last event marked it as suspect
 * @centre_events: number of MEMBERS_DATA_CENTRE events since mesh_init()
 * @record_events: number of MEMBERS_RECORD events since mesh_init()
 */
struct mesh_node {
	struct members members;
	bool alive;
	bool paused;
	uint32_t centre;
	uint64_t incarnation;
	uint8_t fitness;
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

/**
 * struct mesh_app - callbacks of the code under test that uses membership
 * @event: called for each event of a core; may be NULL
 * @frame: called for each received frame that is not of membership; may be NULL
 * @tick: called after each tick of a core; may be NULL
 * @next_us: returns when @tick must be called next, in microseconds; may be
 *	NULL
 */
struct mesh_app {
	void (*event)(struct mesh *mesh, uint32_t at,
		      const struct members_event *event);
	void (*frame)(struct mesh *mesh, uint32_t at, uint64_t conn,
		      const struct identity *peer,
		      const struct message *message);
	void (*tick)(struct mesh *mesh, uint32_t at);
	int64_t (*next_us)(struct mesh *mesh, uint32_t at);
};

/**
 * struct mesh_capture - a copy of a message that was sent
 * @frame: whether the message is a frame instead of a datagram
 * @size: number of bytes in @bytes
 * @bytes: the message; a frame without its length
 */
struct mesh_capture {
	bool frame;
	size_t size;
	uint8_t bytes[MESH_CAPTURE_SIZE];
};

/**
 * struct mesh - a simulated network of nodes
 * @app: callbacks of the code under test
 * @nodes: the nodes
 * @count: number of nodes
 * @centres: number of data centres
 * @options: options of the cores that are started next
 * @random: random numbers of the network
 * @now_us: the simulated time, in microseconds
 * @in_flight: messages on their way, by time of arrival; owned
 * @cut: for each pair of data centres, whether no message passes
 * @drops: for each sender and receiver, whether no message passes
 * @loss: share of the datagrams that are lost, 0 to 1
 * @duplicate_rate: share of the datagrams that are sent twice, 0 to 1
 * @datagrams: number of datagrams sent
 * @datagram_bytes: bytes of the datagrams sent, with their MACs
 * @frames: number of frames sent
 * @frame_bytes: bytes of the frames sent
 * @largest: size of the largest datagram in bytes, with its MAC
 * @capture: whether sent messages are copied to @captured
 * @captured: copies of sent messages
 * @captured_count: number of entries in @captured
 * @transcript: the steps of the test, see mesh_note()
 */
struct mesh {
	struct mesh_app app;
	struct mesh_node nodes[MESH_NODES_MAX];
	uint32_t count;
	uint32_t centres;
	struct members_options options;
	struct random random;
	int64_t now_us;
	struct mesh_message *in_flight;
	bool cut[MESH_CENTRES_MAX][MESH_CENTRES_MAX];
	bool drops[MESH_NODES_MAX][MESH_NODES_MAX];
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

/** mesh_note() - Records a step, which is printed if the test fails later. */
void mesh_note(struct mesh *mesh, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/** mesh_init() - Creates @count nodes, node i in data centre i % @centres. */
void mesh_init(struct mesh *mesh, uint32_t count, uint32_t centres,
	       uint64_t seed);
void mesh_finish(struct mesh *mesh);

/** mesh_start() - Starts node @i with a higher incarnation than before. */
void mesh_start(struct mesh *mesh, uint32_t i);
void mesh_start_all(struct mesh *mesh);
void mesh_kill(struct mesh *mesh, uint32_t i);
/** mesh_leave() - Lets node @i announce that it leaves, and stops the node. */
void mesh_leave(struct mesh *mesh, uint32_t i);
void mesh_cut(struct mesh *mesh, uint32_t a, uint32_t b, bool cut);
/** mesh_cut_off() - Cuts or connects a data centre and all other ones. */
void mesh_cut_off(struct mesh *mesh, uint32_t centre, bool cut);

/**
 * mesh_run() - Runs the network for a time, in milliseconds
 *
 * Fails the test if the record of a node is replaced by an older one.
 */
void mesh_run(struct mesh *mesh, int64_t for_ms);

struct member *mesh_member(struct mesh *mesh, uint32_t at, uint32_t of);

/**
 * mesh_converged() - Returns true if the views of all live nodes are correct
 * @why: receives the first difference, if there is one
 *
 * In a correct view each other live node is reachable and its record is the
 * latest one, and no stopped node is reachable.
 */
bool mesh_converged(struct mesh *mesh, char why[MESH_TEXT_SIZE]);

/**
 * mesh_converge_within() - Runs the network until the views converge
 * @most_ms: time after which the test fails, in milliseconds
 *
 * Return: the time until convergence, in milliseconds.
 */
int64_t mesh_converge_within(struct mesh *mesh, int64_t most_ms);

/**
 * mesh_send_frame() - Sends a frame for the code under test
 * @conn: connection on which a frame was received; 0 to send to @to
 */
void mesh_send_frame(struct mesh *mesh, uint32_t from, uint64_t conn,
		     const struct address *to, const uint8_t *bytes,
		     uint32_t size);

/**
 * mesh_drain() - Executes the queued actions of node @i
 *
 * To be called after the test or the code under test has called the core.
 */
void mesh_drain(struct mesh *mesh, uint32_t i);

/** mesh_discard() - Removes the queued actions of node @i. */
void mesh_discard(struct mesh *mesh, uint32_t i);

struct address mesh_address(uint32_t i);

#endif
