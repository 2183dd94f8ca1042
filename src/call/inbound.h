#ifndef CALL_INBOUND_H
#define CALL_INBOUND_H

#include "base/buffer.h"
#include "call/serve.h"

/**
 * DOC: serving
 *
 * One attempt beside the upstream, from its first frame to its end, and the
 * answers that are on their way back. Private to the serving side.
 */

enum inbound_state {
	INBOUND_RECEIVING, /* its body is not whole yet */
	INBOUND_WAITING,   /* at the gate */
	INBOUND_RUNNING,   /* at the upstream */
};

/**
 * struct inbound - one attempt
 * @peer: where the answer goes; NULL while its connection is lost
 * @headers: "name\0value\0" for each field
 * @orphan: runs while @peer is NULL
 */
struct inbound {
	struct server *server;
	struct serve_peer *peer;
	struct recent_entry *entry;
	struct call_id id;
	enum inbound_state state;
	struct call_context context;
	int64_t wait_until_us; /* while it can be proved that it has not run */
	bool repeatable;
	char method[METHOD_SIZE];
	char *target;
	struct buffer headers;
	struct buffer body;
	uint64_t body_size;
	struct gate_request gate;
	struct http_transfer *transfer;
	int64_t sent_us;
	uint64_t stats_kind;
	uint8_t stats_edges; /* counted so far */
	bool timed;	     /* its time counts in the evidence */
	struct timer orphan;
	struct inbound *next;
	struct inbound *prev;
	struct inbound *peer_next;
	struct inbound *peer_prev;
};

/** struct stored_answer - an answer as it is remembered; @bytes is both. */
struct stored_answer {
	uint32_t status;
	uint32_t service_us;
	double error_rate;
	size_t headers_bytes;
	size_t body_bytes;
	uint8_t bytes[];
};

/**
 * struct answer_stream - an answer whose parts wait for room on a link
 *
 * It holds no bytes: they are taken from the memory of recent attempts, so
 * that a slow reader cannot make this node hold more than that.
 */
struct answer_stream {
	struct call_id id;
	uint64_t offset;
	struct answer_stream *next;
	struct answer_stream *prev;
};

/**
 * struct upstream_result - what an exchange with the upstream means
 * @answered: there is a whole answer to be passed on
 * @outcome: verdict on the request, and the reason if it was not answered
 * @gate_feedback: for the gate
 */
struct upstream_result {
	bool answered;
	struct call_outcome outcome;
	enum gate_outcome gate_feedback;
};

/** upstream_classify() - what is known after an exchange has ended. */
struct upstream_result upstream_classify(const struct call_names *names,
					 const struct http_answer *answer);

/**
 * upstream_store_answer() - the answer with the fields that are passed on
 * @head_only: it answers HEAD
 */
struct stored_answer *upstream_store_answer(const struct call_names *names,
					    const struct http_answer *answer,
					    bool head_only, int64_t service_us,
					    size_t *size);

/** upstream_send() - send an attempt to the upstream. */
struct http_transfer *upstream_send(struct inbound *inbound,
				    http_answer_fn *done, int64_t now_us);

/** inbound_new() - an attempt that was never seen has come. */
struct inbound *inbound_new(struct server *server, struct serve_peer *peer,
			    const struct call_frame *frame);

/** inbound_free() - forget it without a word. */
void inbound_free(struct inbound *inbound);

/** inbound_attach() - its answer goes to @peer from now on. */
void inbound_attach(struct inbound *inbound, struct serve_peer *peer);

/** inbound_detach() - nobody waits for its answer at present. */
void inbound_detach(struct inbound *inbound);

/** inbound_append_body() - more of its body; offered to the gate when whole. */
void inbound_append_body(struct inbound *inbound, uint64_t offset,
			 const struct call_bytes *part);

/** inbound_refuse() - end it before it was run. */
void inbound_refuse(struct inbound *inbound, enum call_reason reason);

/** inbound_abort() - end it wherever it is, with the verdict it has there. */
void inbound_abort(struct inbound *inbound, enum call_reason reason);

/** inbound_abort_and_run_gate() - as inbound_abort(), and let the next ones in.
 */
void inbound_abort_and_run_gate(struct inbound *inbound,
				enum call_reason reason);

/** inbound_orphan() - its connection is gone; its node may ask yet. */
void inbound_orphan(struct inbound *inbound);

/** inbound_run_gate() - start what the gate lets in, refuse the rest. */
void inbound_run_gate(struct server *server);

/** inbound_gate_timer() - a timer_fn for when the gate is to be looked at. */
void inbound_gate_timer(struct timer *timer, void *data);

/** inbound_count_refused() - one was refused before it became a serving. */
void inbound_count_refused(void);

/** inbound_count_duplicate() - a copy came and was not run. */
void inbound_count_duplicate(void);

/** answer_stream_start() - send the answer of an ended attempt on @peer. */
void answer_stream_start(struct server *server, struct serve_peer *peer,
			 struct recent_entry *entry);

/** answer_stream_push() - send more parts where there is room. */
void answer_stream_push(struct server *server, struct serve_peer *peer);

/** answer_stream_drop_all() - the link is gone. */
void answer_stream_drop_all(struct serve_peer *peer);

#endif
