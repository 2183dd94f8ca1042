#ifndef CALL_SCHEDULE_TEST_H
#define CALL_SCHEDULE_TEST_H

#include <stdbool.h>
#include <stdint.h>

#include "base/random.h"
#include "call/call_attempts.h"
#include "call/recent.h"

/**
 * DOC: schedule model
 *
 * Simulates callers, servers and the connections between them. The state
 * machines of attempts and of the memory of recent attempts are those of the
 * program; the test chooses the order of the steps.
 */

enum {
	CALLS = 6,
	SERVERS = 3,
	CONNS_MAX = 64,
	QUEUE_MAX = 256,
	LOG_SIZE = 64 * 1024,
	CALLER = 1,
	DEADLINE_US = 1000000,
};

enum message_type {
	MESSAGE_CALL,
	MESSAGE_QUERY,
	MESSAGE_ANSWER,
	MESSAGE_REFUSAL,
	MESSAGE_QUERY_RESULT,
	MESSAGE_CANCEL
};

struct message_model {
	enum message_type type;
	struct call_id id;
	uint32_t call; /* index of the call; real messages have no such field */
	uint64_t incarnation;
	struct call_outcome outcome;
	enum call_query_result query_result;
};

struct queue {
	struct message_model items[QUEUE_MAX];
	uint32_t first;
	uint32_t end;
};

struct conn_model {
	bool exists;
	bool open; /* the caller was notified that the connection is open */
	bool closed;
	bool silent;
	uint32_t server;
	uint64_t incarnation; /* of the server that accepted the connection */
	struct recent_caller *caller_entry;
	struct queue to_server;
	struct queue to_caller;
};

struct call_model {
	struct call_attempts call_attempts;
	uint64_t sequence;
	uint64_t unresolved_sequence;
	uint32_t unresolved_server;
	uint32_t server;
	int conn;
	bool completed;
	bool answered;
	enum verdict verdict;
	uint32_t runs;
};

struct running_model {
	struct recent_entry *entry;
	uint32_t call;
	int conn;
};

struct server_model {
	uint64_t incarnation;
	struct recent recent;
	struct running_model running[CALLS * 4];
	uint32_t running_count;
};

struct simulation {
	struct random random;
	struct retry_budget budget;
	struct call_model calls[CALLS];
	struct server_model servers[SERVERS];
	struct conn_model conns[CONNS_MAX];
	int preferred[SERVERS];
	uint32_t conn_count;
	uint64_t sequence;
	uint64_t incarnations;
	uint64_t other_callers;
	char log[LOG_SIZE];
	size_t log_size;
	uint32_t violations;
};

extern struct simulation simulation;

/* Count and log the violation of an invariant. */
void model_violation(const char *what, uint32_t call);

/* Apply an event that has no parameters to a call. */
void model_step(uint32_t call, enum attempt_event_type type);

/* Start an attempt of a call. */
void model_begin(uint32_t call);

/* Deliver the next message of a connection. Returns false if there is none. */
bool model_deliver(int conn, bool to_server);
void model_open(int conn);
void model_close(int conn);
void model_detect_silence(int conn);

/* Complete a running request of a server, restart a server, or let another
 * caller send a request to a server. */
void model_finish_one(struct server_model *server);
void model_restart(uint32_t index);
void model_other_call(uint32_t index);

#endif
