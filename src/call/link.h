#ifndef CALL_LINK_H
#define CALL_LINK_H

#include "base/buffer.h"
#include "call/frames.h"
#include "event/loop.h"
#include "wire/hub.h"

/**
 * DOC: link
 *
 * Transport of call frames: a connection to another node, or a pipe within this
 * process if the chosen upstream is the node's own. Both carry the same bytes,
 * so that both sides of a call run the same code in either case.
 *
 * A link with outstanding requests is pinged. A peer that leaves a ping
 * unanswered for too long is silent.
 */

enum {
	/* Parts of a body wait while this many bytes are queued to a peer. */
	LINK_WINDOW_BYTES = 4 * CALL_PART_BYTES,
};

enum link_kind { LINK_WIRE, LINK_LOCAL };

/** typedef link_frame_fn - callback for a frame received through a pipe. */
typedef void link_frame_fn(const struct call_frame *frame, void *data);

/**
 * struct link_pipe - one direction of frames within this process
 * @bytes: frames that wait for the next turn of the loop
 * @take: called with each frame and @data
 */
struct link_pipe {
	struct loop *loop;
	struct buffer bytes;
	struct deferred run;
	link_frame_fn *take;
	void *data;
};

/**
 * struct link - transport of frames to one peer
 * @conn: connection of a LINK_WIRE, valid until it is reported closed
 * @pipe: pipe of a LINK_LOCAL
 * @outstanding: number of requests on this link that have not ended
 * @pinged_us: time at which the unanswered ping was sent, in microseconds of
 *	the monotonic clock; 0 if no ping is unanswered
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
 * link_send() - encodes a frame and queues it
 *
 * Return: false if the link is closed or its queue is full; no part of the
 * frame is sent then.
 */
bool link_send(struct link *link, struct encoder *encoder,
	       const struct call_frame *frame);

/** link_open() - returns true if frames may be sent. */
bool link_open(const struct link *link);

/** link_name() - returns the peer's instance, "itself" for a LINK_LOCAL. */
const char *link_name(const struct link *link);

/** link_has_room() - returns true if more parts of a body may be queued. */
bool link_has_room(const struct link *link);

/**
 * link_exclude_pause() - excludes a pause of this process from a ping's timeout
 * @late_us: duration of the pause, in microseconds
 *
 * A process that is frozen or throttled reads nothing, and the answer to a ping
 * may be waiting in the socket. Without the exclusion the process would report
 * every peer with outstanding requests as silent.
 */
void link_exclude_pause(struct link *link, int64_t late_us);

/** enum link_health - result of link_check(). */
enum link_health { LINK_ALIVE, LINK_SILENT };

/**
 * link_check() - pings a link with outstanding requests or reports it as silent
 * @interval_us: time without received bytes after which the link is pinged, in
 *	microseconds
 * @silence_us: time without an answer to a ping after which the link is silent,
 *	in microseconds
 * @now_us: present time of the monotonic clock, in microseconds
 *
 * The timeout runs from the ping, not from the last received bytes: a process
 * that was paused would otherwise take every peer for dead when it resumes.
 */
enum link_health link_check(struct link *link, int64_t interval_us,
			    int64_t silence_us, int64_t now_us);

#endif
