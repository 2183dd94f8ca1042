#include "profile/editor.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "base/counter.h"
#include "base/log.h"
#include "os/clock.h"
#include "profile/keeper.h"
#include "profile/task.h"

enum { EDITOR_TASKS_MAX = 64, ACCEPT_ID_BYTES = 16 };

COUNTER(accepted_count, "config.accepted",
	"Versions that were accepted through this process");
COUNTER(conflict_count, "config.conflicts",
	"Commands of operators that lost a race to another");
COUNTER(unknown_count, "config.accept_unknown",
	"Commands of operators whose effect could not be settled");

/* A command in progress: its state machine and its call to the store. */
struct editor_task {
	struct editor *editor;
	struct task task;
	struct store_call *call;
	struct timer timer; /* runs the next step, a call or the end */
	editor_done_fn *done;
	void *data;
	bool offered;
	struct editor_task *next;
	struct editor_task *prev;
};

static const char *const outcome_names[] = {
	[EDITOR_DONE] = "done",
	[EDITOR_INVALID] = "invalid",
	[EDITOR_CONFLICT] = "conflict",
	[EDITOR_NOT_FOUND] = "not-found",
	[EDITOR_UNAVAILABLE] = "unavailable",
	[EDITOR_UNKNOWN] = "unknown",
};

const char *editor_outcome_name(enum editor_outcome outcome)
{
	return outcome_names[outcome];
}

char *editor_new_accept_id(char id[ACCEPT_ID_SIZE])
{
	uint8_t bytes[ACCEPT_ID_BYTES];

	randombytes_buf(bytes, sizeof(bytes));
	return sodium_bin2hex(id, ACCEPT_ID_SIZE, bytes, sizeof(bytes));
}

void editor_init(struct editor *editor, struct loop *loop, struct store *store,
		 struct keeper *keeper, uint64_t seed)
{
	memset(editor, 0, sizeof(*editor));
	editor->loop = loop;
	editor->store = store;
	editor->keeper = keeper;
	random_init(&editor->random, seed);
}

static void command_free(struct editor_task *command)
{
	struct editor *editor = command->editor;

	if (command->call)
		store_cancel(command->call);
	timer_cancel(editor->loop, &command->timer);
	DL_DELETE(editor->tasks, command);
	editor->task_count--;
	task_finish(&command->task);
	free(command);
}

void editor_finish(struct editor *editor)
{
	struct editor_task *command;
	struct editor_task *next;

	DL_FOREACH_SAFE(editor->tasks, command, next)
		command_free(command);
}

void editor_detach(struct editor_task *task)
{
	task->done = NULL;
}

/* Offers an accepted version to the keeper of this node at once, so that the
 * version need not arrive through the watch of the head. */
static void offer_version(struct editor_task *command)
{
	struct keeper *keeper = command->editor->keeper;
	const struct task *task = &command->task;
	struct error err = ERROR_INIT;
	uint32_t i;

	command->offered = true;
	counter_add(&accepted_count, 1);
	log_info("config", "version_accepted",
		 LOG_NUMBER("version", (int64_t)task->next.version),
		 LOG_TEXT("author", task->author),
		 LOG_TEXT("accept_id", task->accept_id));
	if (!keeper ||
	    keeper_offer_head(keeper, task->next_bytes, task->next_size,
			      &err) != KEEPER_INCOMPLETE)
		return;
	for (i = 0; i < task->item_count; i++)
		if (task->items[i].text)
			keeper_offer_body(keeper, task->items[i].text,
					  task->items[i].size, &err);
}

static void end_command(struct editor_task *command)
{
	const struct editor_result *result = &command->task.result;

	if (result->outcome == EDITOR_CONFLICT)
		counter_add(&conflict_count, 1);
	if (result->outcome == EDITOR_UNKNOWN)
		counter_add(&unknown_count, 1);
	if (command->done)
		command->done(result, command->data);
	command_free(command);
}

static void schedule_step(struct editor_task *command)
{
	int64_t wait_ms = command->task.step.wait_ms;

	if (command->task.step.kind == STEP_END)
		wait_ms = 0;
	timer_set(command->editor->loop, &command->timer,
		  clock_monotonic_us() + wait_ms * US_PER_MS);
}

static void call_done(const struct store_result *result, void *data)
{
	struct editor_task *command = data;

	command->call = NULL;
	task_input(&command->task, result);
	if (command->task.committed && !command->offered)
		offer_version(command);
	schedule_step(command);
}

static void run_step(struct timer *timer, void *data)
{
	struct editor_task *command = data;
	const struct step *step = &command->task.step;
	struct store_request request = {
		.kind = step->kind == STEP_READ ? STORE_GET : STORE_PUT,
		.key = step->key,
		.value = step->value,
		.size = step->size,
		.revision = step->revision,
	};

	if (step->kind == STEP_END)
		end_command(command);
	else
		command->call = store_send(command->editor->store, &request,
					   call_done, command);
}

struct editor_task *editor_run(struct editor *editor,
			       const struct editor_request *request,
			       editor_done_fn *done, void *data)
{
	struct config *config = editor->keeper ? keeper_config(editor->keeper)
					       : NULL;
	uint64_t seed = (uint64_t)(random_share(&editor->random) * 1e15);
	struct editor_task *command;

	if (editor->task_count == EDITOR_TASKS_MAX)
		return NULL;
	command = calloc(1, sizeof(*command));
	if (!command)
		abort();
	command->editor = editor;
	command->done = done;
	command->data = data;
	timer_init(&command->timer, run_step, command);
	DL_APPEND(editor->tasks, command);
	editor->task_count++;
	task_init(&command->task, request, clock_wall_ms(),
		  config ? config->version : 0, seed);
	task_set_config(&command->task, config);
	schedule_step(command);
	return command;
}
