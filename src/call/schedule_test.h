#ifndef CALL_SCHEDULE_TEST_H
#define CALL_SCHEDULE_TEST_H

#include <stdbool.h>
#include <stdint.h>

#include "base/random.h"
#include "call/attempt.h"
#include "call/recent.h"

/**
 * DOC: schedule model
 *
 * Callers, servers and the connections between them around the real cores of
 * attempts and of the memory of identities, in steps that a schedule chooses.
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
	MESSAGE_ASK,
	MESSAGE_ANSWER,
	MESSAGE_REFUSAL,
	MESSAGE_STANDING,
	MESSAGE_CANCEL
};

struct message_model {
	enum message_type type;
	struct call_id id;
	uint32_t call; /* whose request this is; the wire has no such field */
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
	bool open; /* the caller's side knows that it is */
	bool closed;
	bool silent;
	uint32_t server;
	uint64_t incarnation; /* of the server that took it */
	struct recent_caller *met;
	struct queue to_server;
	struct queue to_caller;
};

struct call_model {
	struct call_attempts call_attempts;
	uint64_t sequence;
	uint64_t lost_sequence;
	uint32_t lost_server;
	uint32_t server;
	int conn;
	bool told;
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

struct played {
	struct random random;
	struct retry_budget budget;
	struct call_model calls[CALLS];
	struct server_model servers[SERVERS];
	struct conn_model conns[CONNS_MAX];
	int preferred[SERVERS];
	uint32_t conn_count;
	uint64_t sequence;
	uint64_t incarnations;
	uint64_t strangers;
	char log[LOG_SIZE];
	size_t log_size;
	uint32_t violations;
};

extern struct played played;

/* A promise is broken: counted and noted. */
void model_violated(const char *what, uint32_t call);

/* An event without further content for a caller's attempt; its first try. */
void model_step(uint32_t call, enum attempt_event_type type);
void model_begin(uint32_t call);

/* The next message of a connection arrives; false if there is none. */
bool model_deliver(int conn, bool to_server);
void model_open(int conn);
void model_close(int conn);
void model_find_silent(int conn);

/* A server: ends a request, starts anew, is called by somebody else. */
void model_finish_one(struct server_model *server);
void model_restart(uint32_t index);
void model_stranger(uint32_t index);

#endif
