#ifndef CALL_INBOUND_H
#define CALL_INBOUND_H

#include "base/buffer.h"
#include "call/serve.h"

/**
 * DOC: inbound attempts
 *
 * One attempt on the serving node, from its first frame to its end, and the
 * transmission of answers to the caller's node. Private to the inbound side.
 */

enum inbound_state {
	INBOUND_RECEIVING, /* the body is not complete */
	INBOUND_WAITING,   /* the attempt waits at the gate */
	INBOUND_RUNNING,   /* the attempt runs at the upstream */
};

/**
 * struct inbound - one attempt received from a caller's node
 * @peer: peer that the answer is sent to; NULL while the connection of the
 *	attempt is lost
 * @wait_until_us: time until which the attempt may wait or connect, in
 *	microseconds of the monotonic clock; a refusal at this time still
 *	reaches the caller before the deadline
 * @repeatable: true if the request is idempotent
 * @headers: "name\0value\0" for each field
 * @body_size: size of the complete body, in bytes
 * @fingerprint: fingerprint of the content; valid once the body is complete
 * @transfer: exchange with the upstream; valid in INBOUND_RUNNING
 * @sent_us: time at which the request was sent to the upstream, in
 *	microseconds of the monotonic clock
 * @stats_edges: number of latency edges of the request statistics that the
 *	attempt has been counted as reaching
 * @timed: true if the service time counts in the request statistics
 * @reconnect_timer: runs while @peer is NULL and limits the time in which the
 *	caller's node may query the attempt over a new connection
 */
struct inbound {
	struct server *server;
	struct serve_peer *peer;
	struct recent_entry *entry;
	struct call_id id;
	enum inbound_state state;
	struct call_context context;
	int64_t wait_until_us;
	bool repeatable;
	char method[METHOD_SIZE];
	char *target;
	struct buffer headers;
	struct buffer body;
	uint64_t body_size;
	struct fingerprint fingerprint;
	struct gate_request gate;
	struct http_transfer *transfer;
	int64_t sent_us;
	uint64_t stats_kind;
	uint8_t stats_edges;
	bool timed;
	struct timer reconnect_timer;
	struct inbound *next;
	struct inbound *prev;
	struct inbound *peer_next;
	struct inbound *peer_prev;
};

/**
 * struct stored_answer - answer stored in the record of recent attempts
 * @service_us: time that the upstream took, in microseconds
 * @error_rate: fraction of 5xx among the recent answers of the upstream
 * @leaving_start: see struct call_answer
 * @usual_us: see struct speed_report
 * @bytes: header fields, followed by the body
 */
struct stored_answer {
	uint32_t status;
	uint32_t service_us;
	double error_rate;
	uint64_t leaving_start;
	uint32_t usual_us;
	size_t headers_bytes;
	size_t body_bytes;
	uint8_t bytes[];
};

/**
 * struct answer_stream - answer whose parts wait for free space on a link
 * @offset: position of the next part in the body, in bytes
 *
 * A stream holds no bytes of the answer. Parts are read from the record of
 * recent attempts, whose limit therefore bounds the memory that a slow reader
 * can use.
 */
struct answer_stream {
	struct call_id id;
	uint64_t offset;
	struct answer_stream *next;
	struct answer_stream *prev;
};

/** enum call_proof - what proves that the upstream did not run a request. */
enum call_proof {
	PROOF_NONE,
	PROOF_UNSENT, /* no byte of the request was written */
	PROOF_FIELD,  /* the field of an answer that reports a rejection */
	PROOF_STATUS, /* the status for a request to another incarnation */
};

/** call_proof_name() - stable name, for logs; NULL for PROOF_NONE. */
const char *call_proof_name(enum call_proof proof);

/**
 * struct upstream_result - result of an exchange with the upstream
 * @answered: true if there is a complete answer to pass on
 * @outcome: verdict on the request, and the reason if there is no answer
 * @proof: what the verdict VERDICT_NOT_RUN rests on
 * @gate_feedback: how the exchange ended, as reported to the gate
 */
struct upstream_result {
	bool answered;
	struct call_outcome outcome;
	enum call_proof proof;
	enum gate_outcome gate_feedback;
};

/** upstream_classify() - classifies an exchange that has ended. */
struct upstream_result upstream_classify(const struct call_names *names,
					 const struct http_answer *answer);

/**
 * upstream_store_answer() - copies an answer without the dropped header fields
 * @head_only: true if the request was a HEAD request
 * @service_us: time that the upstream took, in microseconds
 * @size: set to the size of the copy, in bytes
 *
 * Return: the copy, allocated with malloc() and owned by the caller.
 */
struct stored_answer *upstream_store_answer(const struct call_names *names,
					    const struct http_answer *answer,
					    bool head_only, int64_t service_us,
					    size_t *size);

/**
 * upstream_send() - sends an attempt to the upstream
 * @done: called with the answer and @inbound when the exchange has ended
 */
struct http_transfer *upstream_send(struct inbound *inbound,
				    http_answer_fn *done, int64_t now_us);

/** upstream_observe_load() - applies the pace that an answer reports. */
void upstream_observe_load(const struct inbound *inbound,
			   const struct http_answer *answer);

/**
 * upstream_observe() - applies what the end of an exchange shows about the
 *	upstream: a crash, a limit, that it leaves
 */
void upstream_observe(const struct inbound *inbound,
		      const struct upstream_result *result,
		      const struct http_answer *answer);

/**
 * upstream_run_callbacks() - reports to the owner what an exchange shows
 *
 * The upstream may be gone, may have been replaced, or may be leaving.
 */
void upstream_run_callbacks(struct server *server,
			    const struct http_answer *answer);

/** inbound_end_name() - stable name of the end of an attempt, for logs. */
const char *inbound_end_name(const struct call_outcome *outcome);

/** inbound_log_served() - logs an attempt that was sent to the upstream. */
void inbound_log_served(const struct inbound *inbound,
			const struct upstream_result *result,
			const struct http_answer *answer, int64_t took_us);

/** inbound_log_aborted() - logs an attempt that this node aborted. */
void inbound_log_aborted(const struct inbound *inbound,
			 const struct call_outcome *outcome, int64_t took_us);

/** inbound_log_not_run() - logs an attempt that was not sent. */
void inbound_log_not_run(const struct inbound *inbound,
			 const struct call_outcome *outcome);

/** inbound_new() - creates an attempt that was not received before. */
struct inbound *inbound_new(struct server *server, struct serve_peer *peer,
			    const struct call_frame *frame);

/** inbound_free() - frees an attempt without sending a frame. */
void inbound_free(struct inbound *inbound);

/** inbound_attach() - directs the answer of an attempt to @peer. */
void inbound_attach(struct inbound *inbound, struct serve_peer *peer);

/** inbound_detach() - removes an attempt from its peer, if it has one. */
void inbound_detach(struct inbound *inbound);

/**
 * inbound_append_body() - appends a part of the body
 * @offset: position of the part in the body, in bytes
 *
 * Offers the attempt to the gate when the body is complete. Ignores a part that
 * does not continue the body.
 */
void inbound_append_body(struct inbound *inbound, uint64_t offset,
			 const struct call_bytes *part);

/** inbound_refuse() - ends an attempt that has not run. */
void inbound_refuse(struct inbound *inbound, enum call_reason reason);

/** inbound_abort() - ends an attempt with the verdict that its state allows. */
void inbound_abort(struct inbound *inbound, enum call_reason reason);

/** inbound_abort_and_run_gate() - aborts an attempt and admits waiting ones. */
void inbound_abort_and_run_gate(struct inbound *inbound,
				enum call_reason reason);

/** inbound_connection_lost() - handles the loss of an attempt's connection. */
void inbound_connection_lost(struct inbound *inbound);

/** inbound_run_gate() - runs admitted attempts, ends those the gate refuses. */
void inbound_run_gate(struct server *server);

/** inbound_gate_timer() - a timer_fn that runs the gate; @data is a server. */
void inbound_gate_timer(struct timer *timer, void *data);

/** inbound_count_refused() - counts a call refused before inbound_new(). */
void inbound_count_refused(void);

/** inbound_count_duplicate() - counts a copy of an attempt that was not run. */
void inbound_count_duplicate(void);

/** answer_stream_start() - sends the answer of an ended attempt to @peer. */
void answer_stream_start(struct server *server, struct serve_peer *peer,
			 struct recent_entry *entry);

/** answer_stream_push() - sends more parts while the link has free space. */
void answer_stream_push(struct server *server, struct serve_peer *peer);

/** answer_stream_drop_all() - frees all streams of a peer; their answers are
 * not delivered. */
void answer_stream_drop_all(struct server *server, struct serve_peer *peer);

#endif
