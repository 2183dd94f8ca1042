#ifndef CALL_LINK_H
#define CALL_LINK_H

#include "base/buffer.h"
#include "call/frames.h"
#include "event/loop.h"
#include "wire/hub.h"

/**
 * DOC: link
 *
 * What call frames travel on: a connection to another node, or a pipe within
 * this process when the chosen upstream is the node's own. Both carry the
 * same bytes, so that both sides of a call run the same code either way.
 *
 * A link that something is outstanding on is pinged; a peer that has not
 * answered a ping for a while has fallen silent.
 */

enum {
	/* Parts of a body wait while this much is queued to a peer. */
	LINK_WINDOW_BYTES = 4 * CALL_PART_BYTES,
};

enum link_kind { LINK_WIRE, LINK_LOCAL };

/** typedef link_frame_fn - a frame has come through a pipe. */
typedef void link_frame_fn(const struct call_frame *frame, void *data);

/** struct link_pipe - one direction within this process. */
struct link_pipe {
	struct loop *loop;
	struct buffer bytes;
	struct deferred run;
	link_frame_fn *take;
	void *data;
};

/**
 * struct link - one way to send frames
 * @conn: for LINK_WIRE, valid until it is reported closed
 * @pipe: for LINK_LOCAL
 * @outstanding: requests whose end is awaited here
 * @pinged_us: when the ping was sent that is not answered yet, 0 if none is
 */
struct link {
	enum link_kind kind;
	union {
		struct wire_conn *conn;
		struct link_pipe *pipe;
	};
	uint32_t outstanding;
	int64_t pinged_us;
};

void link_pipe_init(struct link_pipe *pipe, struct loop *loop,
		    link_frame_fn *take, void *data);
void link_pipe_finish(struct link_pipe *pipe);

/**
 * link_send() - encode a frame and queue it
 *
 * Return: false if the link takes no more; nothing has left then.
 */
bool link_send(struct link *link, struct encoder *encoder,
	       const struct call_frame *frame);

/** link_open() - whether frames may be sent. */
bool link_open(const struct link *link);

/** link_name() - the instance at the other end, "itself" for the own one. */
const char *link_name(const struct link *link);

/** link_has_room() - whether more parts of a body may be queued. */
bool link_has_room(const struct link *link);

/**
 * link_exclude_pause() - this process itself stood still for @late_us
 *
 * Frozen, or out of its share of the processor, it has read nothing: the answer
 * to its ping may have been waiting all the while. Without this it would accuse
 * every peer that it has calls at.
 */
void link_exclude_pause(struct link *link, int64_t late_us);

/** enum link_health - what link_check() found. */
enum link_health { LINK_ALIVE, LINK_SILENT };

/**
 * link_check() - ping a link with something outstanding, or find it silent
 * @interval_us: without bytes for so long it is pinged
 * @silence_us: without an answer to a ping for so long it is silent
 *
 * Time is counted from a ping, never from the last bytes: a process that was
 * paused itself would otherwise take every peer for dead when it wakes up.
 */
enum link_health link_check(struct link *link, int64_t interval_us,
			    int64_t silence_us, int64_t now_us);

#endif
