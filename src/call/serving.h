#ifndef CALL_SERVING_H
#define CALL_SERVING_H

#include "base/buffer.h"
#include "call/serve.h"

/**
 * DOC: serving
 *
 * One attempt beside the upstream, from its first frame to its end, and the
 * answers that are on their way back. Private to the serving side.
 */

enum serving_state {
	SERVING_RECEIVING, /* its body is not whole yet */
	SERVING_WAITING,   /* at the gate */
	SERVING_RUNNING,   /* at the upstream */
};

/**
 * struct serving - one attempt
 * @peer: where the answer goes; NULL while its connection is lost
 * @headers: "name\0value\0" for each field
 * @orphan: runs while @peer is NULL
 */
struct serving {
	struct server *server;
	struct serve_peer *peer;
	struct recent_entry *entry;
	struct call_id id;
	enum serving_state state;
	struct call_terms terms;
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
	uint64_t evidence_kind;
	uint8_t evidence_edges; /* counted so far */
	bool timed;		/* its time counts in the evidence */
	struct timer orphan;
	struct serving *next;
	struct serving *prev;
	struct serving *peer_next;
	struct serving *peer_prev;
};

/** struct kept_answer - an answer as it is remembered; @bytes is both. */
struct kept_answer {
	uint32_t status;
	uint32_t service_us;
	double error_rate;
	size_t headers_bytes;
	size_t body_bytes;
	uint8_t bytes[];
};

/**
 * struct sending - an answer whose parts wait for room on a link
 *
 * It holds no bytes: they are taken from the memory of recent attempts, so
 * that a slow reader cannot make this node hold more than that.
 */
struct sending {
	struct call_id id;
	uint64_t offset;
	struct sending *next;
	struct sending *prev;
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
 * upstream_keep() - the answer with the fields that are passed on
 * @head_only: it answers HEAD
 */
struct kept_answer *upstream_keep(const struct call_names *names,
				  const struct http_answer *answer,
				  bool head_only, int64_t service_us,
				  size_t *size);

/** upstream_send() - send an attempt to the upstream. */
struct http_transfer *upstream_send(struct serving *serving,
				    http_answer_fn *done, int64_t now_us);

/** serving_new() - an attempt that was never seen has come. */
struct serving *serving_new(struct server *server, struct serve_peer *peer,
			    const struct call_frame *frame);

/** serving_free() - forget it without a word. */
void serving_free(struct serving *serving);

/** serving_attach() - its answer goes to @peer from now on. */
void serving_attach(struct serving *serving, struct serve_peer *peer);

/** serving_detach() - nobody waits for its answer at present. */
void serving_detach(struct serving *serving);

/** serving_take_part() - more of its body; offered to the gate when whole. */
void serving_take_part(struct serving *serving, uint64_t offset,
		       const struct call_bytes *part);

/** serving_refused() - end it before it was run. */
void serving_refused(struct serving *serving, enum call_reason reason);

/** serving_drop() - end it wherever it is, with the verdict it has there. */
void serving_drop(struct serving *serving, enum call_reason reason);

/** serving_give_up() - as serving_drop(), and let the next ones in. */
void serving_give_up(struct serving *serving, enum call_reason reason);

/** serving_orphan() - its connection is gone; its node may ask yet. */
void serving_orphan(struct serving *serving);

/** serving_run_gate() - start what the gate lets in, refuse the rest. */
void serving_run_gate(struct server *server);

/** serving_gate_timer() - a timer_fn for when the gate is to be looked at. */
void serving_gate_timer(struct timer *timer, void *data);

/** serving_count_refused() - one was refused before it became a serving. */
void serving_count_refused(void);

/** serving_count_duplicate() - a copy came and was not run. */
void serving_count_duplicate(void);

/** sending_start() - send the answer of an ended attempt on @peer. */
void sending_start(struct server *server, struct serve_peer *peer,
		   struct recent_entry *entry);

/** sending_push() - send more parts where there is room. */
void sending_push(struct server *server, struct serve_peer *peer);

/** sending_drop_all() - the link is gone. */
void sending_drop_all(struct serve_peer *peer);

#endif
