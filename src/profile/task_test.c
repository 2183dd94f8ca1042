#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "profile/memory_test.h"
#include "profile/task.h"

enum { TEXT_SIZE = 200 };

static struct memory memory;
static struct task task;

static void setup(void)
{
	memory_init(&memory);
}

static void teardown(void)
{
	memory_finish(&memory);
}

static const char *text_of(int number)
{
	static char text[TEXT_SIZE];

	snprintf(text, sizeof(text),
		 "services = [\"*\"]\ndrain_ms = %d\n[kind.k]\n"
		 "[[route]]\npath = \"/\"\nkind = \"k\"\n",
		 number);
	return text;
}

/* Runs a command; its result stays valid until the next command. */
static const struct editor_result *run(const struct editor_request *request)
{
	task_finish(&task);
	memory_run(&memory, &task, request);
	return &task.result;
}

static const struct editor_result *put(const char *name, const char *author,
				       int number, uint64_t based_on_version)
{
	const char *text = text_of(number);
	struct editor_request request = { .action = EDITOR_PUT,
					  .name = name,
					  .author = author,
					  .text = text,
					  .size = strlen(text),
					  .expected_version =
						  based_on_version };

	return run(&request);
}

static const struct editor_result *act(enum editor_action action,
				       const char *name, const char *author,
				       const char *id)
{
	struct editor_request request = { .action = action,
					  .name = name,
					  .author = author,
					  .accept_id = id };

	return run(&request);
}

static uint64_t version_now(void)
{
	return act(EDITOR_LIST, NULL, NULL, NULL)->version;
}

static void accept_one(const char *name, const char *author, int number,
		       const char *id)
{
	cr_assert_eq(put(name, author, number, 0)->outcome, EDITOR_DONE);
	cr_assert_eq(act(EDITOR_ACCEPT, name, author, id)->outcome, EDITOR_DONE,
		     "%s", task.result.err.text);
}

Test(task, a_profile_is_stored_shown_accepted_and_reverted, .init = setup,
     .fini = teardown)
{
	struct editor_request revert = { .action = EDITOR_REVERT,
					 .name = "cellar",
					 .author = "an",
					 .version = 1,
					 .accept_id = "r1" };
	const struct editor_result *result;

	cr_expect_eq(put("cellar", "an", 1, 0)->outcome, EDITOR_DONE);
	result = act(EDITOR_DIFF, "cellar", "an", NULL);
	cr_expect(strstr(result->text, "+drain_ms = 1"), "%s", result->text);
	result = act(EDITOR_SHOW, "cellar", "an", NULL);
	cr_expect_str_eq(result->text, text_of(1));
	cr_expect_eq(act(EDITOR_SHOW, "cellar", NULL, NULL)->outcome,
		     EDITOR_NOT_FOUND);
	result = act(EDITOR_ACCEPT, NULL, "an", "a1");
	cr_expect_eq(result->outcome, EDITOR_DONE);
	cr_expect_eq(result->version, 1);
	accept_one("cellar", "an", 2, "a2");
	accept_one("other", "binh", 7, "a3");
	result = run(&revert);
	cr_expect_eq(result->outcome, EDITOR_DONE, "%s", result->err.text);
	cr_expect_eq(result->version, 4);
	result = act(EDITOR_SHOW, "cellar", NULL, NULL);
	cr_expect_str_eq(result->text, text_of(1));
	result = act(EDITOR_HISTORY, "cellar", NULL, NULL);
	cr_assert_eq(result->change_count, 3);
	cr_expect_eq(result->changes[0].version, 4);
	cr_expect_eq(result->changes[2].version, 1);
	cr_expect_str_eq(result->changes[2].accept_id, "a1");
	result = act(EDITOR_HISTORY, NULL, NULL, NULL);
	cr_assert_eq(result->change_count, 4);
	cr_expect_str_eq(result->changes[1].name, "other");
	cr_expect_str_eq(result->changes[1].author, "binh");
	result = act(EDITOR_LIST, NULL, NULL, NULL);
	cr_expect_eq(result->profile_count, 2);
	cr_expect_eq(result->draft_count, 0, "accepted drafts are gone");
	task_finish(&task);
}

Test(task, a_profile_is_removed_and_restored, .init = setup, .fini = teardown)
{
	struct editor_request revert = { .action = EDITOR_REVERT,
					 .name = "a",
					 .author = "an",
					 .version = 1,
					 .accept_id = "r1" };

	accept_one("a", "an", 1, "a1");
	cr_expect_eq(act(EDITOR_REMOVE, "b", "an", NULL)->outcome,
		     EDITOR_NOT_FOUND);
	cr_expect_eq(act(EDITOR_REMOVE, "a", "an", NULL)->outcome, EDITOR_DONE);
	cr_expect_eq(act(EDITOR_ACCEPT, "a", "an", "a2")->version, 2);
	cr_expect_eq(act(EDITOR_LIST, NULL, NULL, NULL)->profile_count, 0);
	cr_expect_eq(run(&revert)->version, 3);
	cr_expect_eq(act(EDITOR_LIST, NULL, NULL, NULL)->profile_count, 1);
	task_finish(&task);
}

Test(task, requests_are_checked, .init = setup, .fini = teardown)
{
	static const struct {
		struct editor_request request;
		enum editor_outcome outcome;
	} cases[] = {
		{ { .action = EDITOR_PUT,
		    .name = "a",
		    .author = "an",
		    .text = "services = 3",
		    .size = 12 },
		  EDITOR_INVALID },
		{ { .action = EDITOR_PUT, .name = "a", .author = "an" },
		  EDITOR_INVALID },
		{ { .action = EDITOR_PUT, .name = "A/b", .author = "an" },
		  EDITOR_INVALID },
		{ { .action = EDITOR_DIFF, .name = "a" }, EDITOR_INVALID },
		{ { .action = EDITOR_DIFF, .name = "a", .author = "\xff" },
		  EDITOR_INVALID },
		{ { .action = EDITOR_DIFF, .name = "a", .author = "a\nb" },
		  EDITOR_INVALID },
		{ { .action = EDITOR_DIFF, .name = "a", .author = "an" },
		  EDITOR_NOT_FOUND },
		{ { .action = EDITOR_ACCEPT, .author = "an" }, EDITOR_INVALID },
		{ { .action = EDITOR_ACCEPT,
		    .author = "an",
		    .accept_id = "a b" },
		  EDITOR_INVALID },
		{ { .action = EDITOR_ACCEPT, .author = "an", .accept_id = "a" },
		  EDITOR_NOT_FOUND },
		{ { .action = EDITOR_DISCARD, .name = "a", .author = "an" },
		  EDITOR_NOT_FOUND },
		{ { .action = EDITOR_REVERT,
		    .name = "a",
		    .author = "an",
		    .version = 3,
		    .accept_id = "a" },
		  EDITOR_NOT_FOUND },
		{ { .action = EDITOR_HISTORY, .name = "a" }, EDITOR_NOT_FOUND },
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		const struct editor_result *result = run(&cases[i].request);

		cr_expect_eq(result->outcome, cases[i].outcome, "row %zu: %s",
			     i, result->err.text);
		cr_expect(error_is_set(&result->err));
	}
	cr_expect_eq(memory.writes, 0);
	task_finish(&task);
}

/* Guards against an acceptance that takes effect twice, or is reported as
 * failed after it took effect, when the answer to any of its writes is lost. */
Test(task, an_acceptance_survives_a_lost_answer_to_any_write, .init = setup,
     .fini = teardown)
{
	static const enum memory_fault faults[] = { FAULT_LOST_AFTER,
						    FAULT_LOST_BEFORE };
	/* Two texts, two lists of drafts, changes, head, two histories, list
	 * of drafts. */
	enum { WRITES = 9 };
	int64_t write;
	size_t i;

	for (i = 0; i < 2; i++)
		for (write = 0; write < WRITES; write++) {
			memory_finish(&memory);
			memory_init(&memory);
			memory.fault = faults[i];
			memory.fault_at = write;
			cr_expect_eq(put("a", "an", 1, 0)->outcome, EDITOR_DONE,
				     "write %d", (int)write);
			cr_expect_eq(put("b", "an", 2, 0)->outcome,
				     EDITOR_DONE);
			act(EDITOR_ACCEPT, NULL, "an", "id");
			cr_expect_eq(task.result.outcome, EDITOR_DONE,
				     "write %d: %s", (int)write,
				     task.result.err.text);
			cr_expect_eq(task.result.version, 1);
			cr_expect_gt(memory.writes, write);
			cr_expect_eq(version_now(), 1);
			cr_expect_eq(task.result.profile_count, 2);
		}
	task_finish(&task);
}

/* Guards against an acceptance that takes effect twice, or is lost, when an
 * outage of the store begins during the acceptance and the operator sends the
 * command again with the same id. */
Test(task, an_acceptance_repeated_after_an_outage_takes_effect_once,
     .init = setup, .fini = teardown)
{
	static const enum memory_fault faults[] = { FAULT_LOST_AFTER,
						    FAULT_LOST_BEFORE,
						    FAULT_REFUSED };
	enum { FIRST = 2, HEAD = 3, WRITES = 6 };
	int64_t write;
	size_t i;

	for (i = 0; i < 3; i++)
		for (write = FIRST; write < WRITES; write++) {
			enum editor_outcome wanted = EDITOR_DONE;

			memory_finish(&memory);
			memory_init(&memory);
			put("a", "an", 1, 0);
			memory.fault = faults[i];
			memory.fault_at = write;
			memory.down_after = true;
			if (write == FIRST)
				wanted = EDITOR_UNAVAILABLE;
			if (write == HEAD)
				wanted = faults[i] == FAULT_REFUSED
						 ? EDITOR_UNAVAILABLE
						 : EDITOR_UNKNOWN;
			cr_expect_eq(
				act(EDITOR_ACCEPT, NULL, "an", "id")->outcome,
				wanted, "write %d fault %zu: %s", (int)write, i,
				editor_outcome_name(task.result.outcome));
			memory.down = false;
			act(EDITOR_ACCEPT, NULL, "an", "id");
			/* After the draft is removed, nothing is left to do. */
			cr_expect_eq(task.result.outcome, EDITOR_DONE, "%s",
				     task.result.err.text);
			cr_expect_eq(task.result.version, 1);
			cr_expect_eq(version_now(), 1);
			cr_expect_eq(task.result.draft_count, 0);
		}
	task_finish(&task);
}

/* Runs an acceptance until its next step is the write of the head. */
static void run_to_head(struct task *command, const char *author,
			const char *id)
{
	struct editor_request request = { .action = EDITOR_ACCEPT,
					  .author = author,
					  .accept_id = id };

	task_init(command, &request, 1000, 0, 1);
	while (command->phase != PHASE_WRITE_HEAD)
		cr_assert(memory_step(&memory, command));
}

/* Guards against an acceptance that undoes a change its operator has not seen,
 * when two operators change one profile from the same version. */
Test(task, the_second_of_two_operators_gets_a_conflict, .init = setup,
     .fini = teardown)
{
	struct task pending;

	accept_one("a", "an", 1, "a1");
	put("a", "an", 2, 0);
	put("a", "binh", 3, 0);
	run_to_head(&pending, "binh", "b1");
	cr_expect_eq(act(EDITOR_ACCEPT, "a", "an", "a2")->version, 2);
	while (memory_step(&memory, &pending))
		;
	cr_expect_eq(pending.result.outcome, EDITOR_CONFLICT);
	cr_expect_eq(pending.result.version, 2);
	cr_assert_eq(pending.result.change_count, 1);
	cr_expect_str_eq(pending.result.changes[0].author, "an");
	cr_expect_str_eq(pending.result.changes[0].accept_id, "a2");
	cr_expect(strstr(pending.result.text, "-drain_ms = 1\n+drain_ms = 2"),
		  "%s", pending.result.text);
	task_finish(&pending);
	cr_expect_eq(act(EDITOR_LIST, NULL, NULL, NULL)->draft_count, 1);
	cr_expect(task.result.drafts[0].stale);
	cr_expect_str_eq(act(EDITOR_SHOW, "a", "binh", NULL)->text, text_of(3));
	cr_expect_eq(act(EDITOR_ACCEPT, "a", "binh", "b2")->outcome,
		     EDITOR_CONFLICT, "a retry must conflict too");
	cr_expect_eq(put("a", "binh", 3, 0)->outcome, EDITOR_DONE);
	cr_expect_eq(act(EDITOR_ACCEPT, "a", "binh", "b3")->outcome,
		     EDITOR_CONFLICT, "a draft stored again keeps its base");
	cr_expect_eq(put("a", "binh", 3, 1)->outcome, EDITOR_CONFLICT);
	cr_expect_eq(put("a", "binh", 3, 2)->outcome, EDITOR_DONE);
	cr_expect_eq(act(EDITOR_ACCEPT, "a", "binh", "b4")->version, 3);
	task_finish(&task);
}

Test(task, operators_of_different_profiles_do_not_disturb_each_other,
     .init = setup, .fini = teardown)
{
	struct editor_request strict = { .action = EDITOR_ACCEPT,
					 .author = "an",
					 .accept_id = "a2",
					 .expected_version = 1 };
	struct task pending;

	accept_one("a", "an", 1, "a1");
	put("b", "binh", 3, 0);
	put("c", "chi", 4, 0);
	run_to_head(&pending, "binh", "b1");
	cr_expect_eq(act(EDITOR_ACCEPT, NULL, "chi", "c1")->version, 2);
	while (memory_step(&memory, &pending))
		;
	cr_expect_eq(pending.result.outcome, EDITOR_DONE);
	cr_expect_eq(pending.result.version, 3);
	task_finish(&pending);
	put("a", "an", 5, 0);
	run(&strict);
	cr_expect_eq(task.result.outcome, EDITOR_CONFLICT);
	cr_expect_eq(task.result.change_count, 2,
		     "changes since the expected version");
	cr_expect_str_eq(task.result.changes[0].name, "b");
	strict.expected_version = 3;
	cr_expect_eq(run(&strict)->version, 4);
	task_finish(&task);
}

/* Guards against an accepted version that all nodes ignore, because the store
 * returned an older head after a restore or from a lagging replica. */
Test(task, nothing_is_accepted_on_an_older_head, .init = setup,
     .fini = teardown)
{
	struct editor_request request = { .action = EDITOR_ACCEPT,
					  .author = "an",
					  .accept_id = "a2" };
	uint32_t writes;

	accept_one("a", "an", 1, "a1");
	put("a", "an", 2, 0);
	writes = memory.writes;
	task_finish(&task);
	task_init(&task, &request, 1000, 5, 1);
	while (memory_step(&memory, &task))
		;
	cr_expect_eq(task.result.outcome, EDITOR_UNAVAILABLE);
	cr_expect(strstr(task.result.err.text,
			 "is older than version 5 in force"),
		  "%s", task.result.err.text);
	cr_expect_eq(memory.writes, writes);
	task_finish(&task);
}

/* Guards against a conflict reported for an acceptance that took effect: the
 * answer to the write of the head is lost, and another operator changes the
 * same profile before the head is read again. */
Test(task, an_acceptance_is_found_although_later_versions_exist, .init = setup,
     .fini = teardown)
{
	struct task pending;

	put("a", "an", 1, 0);
	run_to_head(&pending, "an", "lost");
	memory.fault = FAULT_LOST_AFTER;
	memory.fault_at = memory.writes;
	memory_step(&memory, &pending);
	accept_one("a", "binh", 2, "b1");
	while (memory_step(&memory, &pending))
		;
	cr_expect_eq(pending.result.outcome, EDITOR_DONE, "%s",
		     pending.result.err.text);
	cr_expect_eq(pending.result.version, 1);
	cr_expect_eq(version_now(), 2);
	task_finish(&pending);
	task_finish(&task);
}

/* Guards against a wrong outcome of an acceptance whose answer is lost and
 * whose accept id the head no longer lists when the head is read again. */
Test(task, an_id_dropped_from_the_head_is_reported_as_unknown, .init = setup,
     .fini = teardown)
{
	struct task pending;
	char id[ACCEPT_ID_SIZE];
	int i;

	put("a", "an", 1, 0);
	run_to_head(&pending, "an", "lost");
	memory.fault = FAULT_LOST_AFTER;
	memory.fault_at = memory.writes;
	memory_step(&memory, &pending);
	for (i = 0; i < HEAD_ACCEPT_IDS_MAX; i++) {
		snprintf(id, sizeof(id), "n-%d", i);
		accept_one("b", "binh", i, id);
	}
	while (memory_step(&memory, &pending))
		;
	cr_expect_eq(pending.result.outcome, EDITOR_UNKNOWN);
	task_finish(&pending);
	task_finish(&task);
}

/* Guards against an older text in force again after the wall clock jumps back
 * by an hour between two acceptances. */
Test(task, the_order_of_versions_ignores_the_wall_clock, .init = setup,
     .fini = teardown)
{
	struct editor_request accept = { .action = EDITOR_ACCEPT,
					 .author = "an",
					 .accept_id = "a2" };

	accept_one("a", "an", 1, "a1");
	put("a", "an", 2, 0);
	task_finish(&task);
	task_init(&task, &accept, -3600000, 1, 1);
	while (memory_step(&memory, &task))
		;
	cr_expect_eq(task.result.version, 2, "%s", task.result.err.text);
	cr_expect_str_eq(act(EDITOR_SHOW, "a", NULL, NULL)->text, text_of(2));
	cr_expect_eq(act(EDITOR_HISTORY, "a", NULL, NULL)->change_count, 2);
	task_finish(&task);
}

Test(task, a_lost_history_is_repaired_by_the_next_acceptance, .init = setup,
     .fini = teardown)
{
	const struct editor_result *result;

	accept_one("a", "an", 1, "a1");
	put("a", "an", 2, 0);
	memory.fault = FAULT_LOST_BEFORE;
	memory.fault_at = memory.writes + 2;
	act(EDITOR_ACCEPT, "a", "an", "a2");
	result = act(EDITOR_HISTORY, "a", NULL, NULL);
	cr_expect_eq(result->change_count, 2, "completed from the head");
	accept_one("a", "an", 3, "a3");
	result = act(EDITOR_HISTORY, "a", NULL, NULL);
	cr_assert_eq(result->change_count, 3);
	cr_expect_eq(result->changes[1].version, 2);
	cr_expect_str_eq(result->changes[1].accept_id, "a2");
	task_finish(&task);
}
