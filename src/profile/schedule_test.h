#ifndef PROFILE_SCHEDULE_TEST_H
#define PROFILE_SCHEDULE_TEST_H

#include <criterion/criterion.h>
#include <stdio.h>

#include "profile/memory_test.h"
#include "profile/reader_core.h"
#include "profile/records.h"

/* Simulation of the random schedules: nodes, the platform's service, calls in
 * progress, and the checks after each step. */

enum {
	NODES = 4,
	OPERATORS = 3,
	CALLS_MAX = 64,
	VERSIONS = 512,
	TASKS = 4096,
	SEEDS = 20,
	STEPS = 3000,
	CONVERGENCE_STEPS = 4000,
	CALL_TIMEOUT_MS = 1000,
	NAMES = 4,
	TEXT_SIZE = 200,
	LOG_SIZE = 1024 * 1024,
};

struct node {
	struct keeper keeper;
	struct reader_core core;
	char holder[16];
	int64_t paused_until_us;
	uint64_t highest_version;
};

enum call_kind { CALL_LEASE, CALL_HEAD, CALL_BODY, CALL_WRITE };

/* A call in progress: the call takes effect at run_us, and its result arrives
 * at end_us. */
struct call {
	bool used;
	bool has_run;
	enum call_kind kind;
	uint32_t node;
	char holder[16];
	enum lease_action action;
	uint32_t slot;
	uint64_t token;
	struct step step;
	struct store_result result;
	uint8_t *value;
	int64_t sent_us;
	int64_t run_us;
	int64_t end_us;
};

struct lease_entry {
	char holder[16];
	uint64_t token;
	int64_t until_us;
};

struct session {
	struct task task;
	bool busy;
	char id[ACCEPT_ID_SIZE];
};

/* The outcome that was reported for an acceptance. */
struct acceptance {
	char id[ACCEPT_ID_SIZE];
	enum editor_outcome outcome;
	bool committed;
};

struct cluster {
	struct random random;
	struct memory memory;
	struct node nodes[NODES];
	struct call calls[CALLS_MAX];
	struct lease_entry leases[2];
	uint64_t lease_token;
	struct session sessions[OPERATORS];
	struct acceptance acceptances[TASKS];
	uint32_t acceptance_count;
	struct head heads[VERSIONS];
	uint32_t head_count;
	uint64_t head_revision;
	uint32_t next_id;
	bool serves_older_heads;
	bool faults_stopped;
	int64_t now_us;
	char log[LOG_SIZE];
	size_t log_length;
	uint64_t seed;
};

extern struct cluster cluster;

#define CHECK(condition, ...)                                                  \
	do {                                                                   \
		if (condition)                                                 \
			break;                                                 \
		fprintf(stderr, "seed %llu, steps:\n%s",                       \
			(unsigned long long)cluster.seed, cluster.log);        \
		cr_assert(condition, __VA_ARGS__);                             \
	} while (0)

void schedule_log(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
uint32_t schedule_random(uint32_t bound);
bool schedule_fault(uint32_t n);
void schedule_text_of(uint32_t number, char text[TEXT_SIZE]);
void schedule_record_head(void);
void schedule_check(void);
void schedule_start_node(uint32_t index);
struct call *schedule_new_call(enum call_kind kind, uint32_t node);
void schedule_free_call(struct call *call);
void schedule_fail(struct store_result *result, enum store_outcome outcome,
		   enum store_reason reason);
void schedule_run_calls(void);
void schedule_run_reader(uint32_t index);
void schedule_gossip(void);

#endif
