#include <apr_general.h>
#include <criterion/criterion.h>
#include <string.h>

#include "profile/keeper.h"
#include "profile/memory_test.h"

enum { TURNS = 2000, TURN_US = 1000, MANY = 200 };

static const char text[] = "services = [\"*\"]\n[kind.k]\n"
			   "[[route]]\npath = \"/\"\nkind = \"k\"\n";

static struct loop loop;
static struct store store;
static struct keeper keeper;
static struct editor editor;
static struct memory memory;
static uint32_t ends;
static enum editor_outcome outcome;
static uint64_t version;

static void done(const struct editor_result *result, void *data)
{
	ends++;
	outcome = result->outcome;
	version = result->version;
}

static void setup(void)
{
	struct store_options options;
	struct error err = ERROR_INIT;

	apr_initialize();
	cr_assert(loop_init(&loop, &err));
	store_options_default(&options);
	options.transport = STORE_MANUAL;
	options.rate_per_s = 100000;
	options.burst = 100000;
	store_init(&store, &loop, NULL, &options);
	keeper_init(&keeper);
	editor_init(&editor, &loop, &store, &keeper, 1);
	memory_init(&memory);
}

static void teardown(void)
{
	editor_finish(&editor);
	cr_expect_null(store.calls, "no call outlives the editor");
	store_finish(&store);
	keeper_finish(&keeper);
	memory_finish(&memory);
	loop_finish(&loop);
}

/* Answers the oldest call from the store in memory. */
static void answer(void)
{
	const struct store_request *request = store_call_request(store.calls);
	struct store_result result;
	struct step step = {
		.kind = request->kind == STORE_GET ? STEP_READ : STEP_WRITE,
		.value = (uint8_t *)(uintptr_t)request->value,
		.size = request->size,
		.revision = request->revision,
	};

	snprintf(step.key, sizeof(step.key), "%s", request->key);
	memory_call(&memory, &step, &result);
	store_end_attempt(store.calls, &result);
}

static void turn(void)
{
	loop_turn(&loop, TURN_US);
	if (store.calls)
		answer();
}

static struct editor_task *run(enum editor_action action, const char *id)
{
	struct editor_request request = { .action = action,
					  .name = "cellar",
					  .author = "an",
					  .text = text,
					  .size = strlen(text),
					  .accept_id = id };

	return editor_run(&editor, &request, done, NULL);
}

static void wait_for_end(uint32_t wanted)
{
	int i;

	for (i = 0; i < TURNS && ends < wanted; i++)
		turn();
	cr_assert_eq(ends, wanted);
}

Test(editor, an_accepted_version_is_in_force_on_its_node_at_once, .init = setup,
     .fini = teardown)
{
	run(EDITOR_PUT, NULL);
	cr_assert_eq(ends, 0, "editor_run() must not call back");
	wait_for_end(1);
	cr_assert_eq(outcome, EDITOR_DONE);
	run(EDITOR_ACCEPT, "a1");
	wait_for_end(2);
	cr_assert_eq(version, 1);
	cr_assert_eq(keeper_config(&keeper)->version, 1);
	run(EDITOR_DIFF, NULL);
	wait_for_end(3);
	cr_assert_eq(outcome, EDITOR_NOT_FOUND);
}

/* Guards against an acceptance that stops halfway when the operator's
 * connection closes. */
Test(editor, a_detached_command_runs_to_its_end, .init = setup,
     .fini = teardown)
{
	int i;

	run(EDITOR_PUT, NULL);
	wait_for_end(1);
	editor_detach(run(EDITOR_ACCEPT, "a1"));
	for (i = 0; i < TURNS && editor.task_count; i++)
		turn();
	cr_assert_eq(ends, 1);
	cr_assert_eq(keeper_config(&keeper)->version, 1);
}

Test(editor, commands_in_progress_are_bounded, .init = setup, .fini = teardown)
{
	uint32_t started = 0;
	int i;

	for (i = 0; i < MANY; i++)
		started += run(EDITOR_PUT, NULL) != NULL;
	cr_assert_eq(started, editor.task_count);
	cr_assert_lt(started, MANY);
	loop_turn(&loop, TURN_US);
}
