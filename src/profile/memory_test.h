#ifndef PROFILE_MEMORY_TEST_H
#define PROFILE_MEMORY_TEST_H

#include <stdint.h>

#include "profile/task.h"

/* The platform's service in memory, for tests of the tasks. Each call is
 * answered at once, and one write can be made to fail by enum memory_fault. */

enum { MEMORY_KEYS_MAX = 4096 };

enum memory_fault {
	FAULT_NONE,
	FAULT_LOST_AFTER,  /* the write took effect, its answer is lost */
	FAULT_LOST_BEFORE, /* no effect, the outcome is unknown */
	FAULT_REFUSED,	   /* no effect, and reported as such */
};

struct memory_key {
	char name[STORE_KEY_SIZE];
	uint8_t *value;
	size_t size;
	uint64_t revision;
};

struct memory {
	struct memory_key keys[MEMORY_KEYS_MAX];
	uint32_t key_count;
	uint64_t revision;
	uint32_t writes;
	bool down;
	int64_t fault_at; /* index of the write that fails; -1 for none */
	enum memory_fault fault;
	bool down_after; /* all calls after the fault fail */
};

void memory_init(struct memory *memory);
void memory_finish(struct memory *memory);

/* Returns the key, or NULL. */
struct memory_key *memory_find(struct memory *memory, const char *name);

/* Makes the call that a task requests. */
void memory_call(struct memory *memory, const struct step *step,
		 struct store_result *result);

/* Makes the next call of a task; returns false once the task has ended. */
bool memory_step(struct memory *memory, struct task *task);

/* Runs a command from start to end. */
void memory_run(struct memory *memory, struct task *task,
		const struct editor_request *request);

#endif
