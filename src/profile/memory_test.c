#include "profile/memory_test.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void memory_init(struct memory *memory)
{
	memset(memory, 0, sizeof(*memory));
	memory->fault_at = -1;
}

void memory_finish(struct memory *memory)
{
	uint32_t i;

	for (i = 0; i < memory->key_count; i++)
		free(memory->keys[i].value);
}

struct memory_key *memory_find(struct memory *memory, const char *name)
{
	uint32_t i;

	for (i = 0; i < memory->key_count; i++)
		if (!strcmp(memory->keys[i].name, name))
			return &memory->keys[i];
	return NULL;
}

static void end(struct store_result *result, enum store_outcome outcome,
		enum store_reason reason)
{
	result->outcome = outcome;
	result->reason = reason;
	if (outcome != STORE_TOOK_EFFECT)
		error_set(&result->err, ERROR_IO, "%s",
			  store_reason_name(reason));
}

static void get(struct memory *memory, const struct step *step,
		struct store_result *result)
{
	const struct memory_key *key = memory_find(memory, step->key);

	if (!key) {
		end(result, STORE_NO_EFFECT, STORE_ABSENT);
		return;
	}
	end(result, STORE_TOOK_EFFECT, STORE_OK);
	result->value = key->value;
	result->size = key->size;
	result->revision = key->revision;
}

static void put(struct memory *memory, const struct step *step,
		struct store_result *result)
{
	struct memory_key *key = memory_find(memory, step->key);

	result->revision = key ? key->revision : 0;
	if (result->revision != step->revision) {
		end(result, STORE_NO_EFFECT, STORE_CONFLICT);
		return;
	}
	if (!key) {
		cr_assert_lt(memory->key_count, MEMORY_KEYS_MAX);
		key = &memory->keys[memory->key_count++];
		snprintf(key->name, sizeof(key->name), "%s", step->key);
	}
	free(key->value);
	key->value = malloc(step->size + 1);
	memcpy(key->value, step->value, step->size);
	key->size = step->size;
	key->revision = ++memory->revision;
	result->revision = key->revision;
	end(result, STORE_TOOK_EFFECT, STORE_OK);
}

static void faulty_put(struct memory *memory, const struct step *step,
		       struct store_result *result)
{
	memory->down = memory->down_after;
	switch (memory->fault) {
	case FAULT_NONE:
		break;
	case FAULT_LOST_AFTER:
		put(memory, step, result);
		memset(result, 0, sizeof(*result));
		end(result, STORE_UNKNOWN, STORE_UNREACHABLE);
		return;
	case FAULT_LOST_BEFORE:
		end(result, STORE_UNKNOWN, STORE_UNREACHABLE);
		return;
	case FAULT_REFUSED:
		end(result, STORE_NO_EFFECT, STORE_UNREACHABLE);
		return;
	}
}

void memory_call(struct memory *memory, const struct step *step,
		 struct store_result *result)
{
	memset(result, 0, sizeof(*result));
	if (memory->down) {
		end(result, STORE_NO_EFFECT, STORE_UNREACHABLE);
		return;
	}
	if (step->kind == STEP_READ)
		get(memory, step, result);
	else if (memory->writes++ == memory->fault_at)
		faulty_put(memory, step, result);
	else
		put(memory, step, result);
}

bool memory_step(struct memory *memory, struct task *task)
{
	struct store_result result;

	if (task->step.kind == STEP_END)
		return false;
	memory_call(memory, &task->step, &result);
	task_input(task, &result);
	return true;
}

void memory_run(struct memory *memory, struct task *task,
		const struct editor_request *request)
{
	uint32_t steps = 0;

	task_init(task, request, 1000, 0, 1);
	while (memory_step(memory, task))
		cr_assert_lt(++steps, 1000);
}
