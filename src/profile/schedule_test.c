#include "profile/schedule_test.h"

#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "os/clock.h"

/*
 * Guards against a node with a reverted, partial or never accepted version, two
 * holders of one lease, and an acceptance that takes effect twice or after a
 * reported failure. Seeded random schedules combine
 * lost answers, late effects, outages, older heads, reordered, duplicated and
 * damaged messages, and nodes that pause or restart.
 */

static uint32_t outcomes[8];

static void begin_task(struct session *session, uint32_t index)
{
	static const enum editor_action actions[] = {
		EDITOR_PUT,    EDITOR_PUT,    EDITOR_PUT,     EDITOR_ACCEPT,
		EDITOR_ACCEPT, EDITOR_ACCEPT, EDITOR_ACCEPT,  EDITOR_REVERT,
		EDITOR_REVERT, EDITOR_REMOVE, EDITOR_DISCARD,
	};
	const struct config *config = keeper_config(&cluster.nodes[0].keeper);
	char author[16];
	char name[16];
	char text[TEXT_SIZE];
	struct editor_request request = {
		.action = actions[schedule_random(11)],
		.name = name,
		.author = author,
		.accept_id = session->id,
		.text = text,
		.version = 1 + schedule_random(cluster.head_count + 1),
		.expected_version = schedule_random(3) ? 0 : cluster.head_count,
	};

	schedule_text_of(schedule_random(1000), text);
	request.size = strlen(text);
	snprintf(author, sizeof(author), "op%u", index);
	snprintf(name, sizeof(name), "p%u", schedule_random(NAMES));
	/* In some cases the operator retries with the previous accept id. */
	if (!*session->id || schedule_random(3))
		snprintf(session->id, sizeof(session->id), "id-%u",
			 cluster.next_id++);
	if (request.action == EDITOR_ACCEPT && schedule_random(2))
		request.name = NULL;
	schedule_log("%s begins action %d %s\n", author, request.action,
		     session->id);
	task_init(&session->task, &request, 1000, config ? config->version : 0,
		  schedule_random(1000));
	session->busy = true;
}

static void end_task(struct session *session)
{
	struct task *task = &session->task;
	bool accepts = task->request.action == EDITOR_ACCEPT ||
		       task->request.action == EDITOR_REVERT;

	outcomes[task->result.outcome]++;
	schedule_log("%s ends: %s %s\n", task->author,
		     editor_outcome_name(task->result.outcome),
		     task->result.err.text);
	if (accepts) {
		struct acceptance *acceptance =
			&cluster.acceptances[cluster.acceptance_count++];

		memcpy(acceptance->id, session->id, sizeof(acceptance->id));
		acceptance->outcome = task->result.outcome;
		acceptance->committed = task->committed;
		CHECK(cluster.acceptance_count < TASKS, "too many tasks");
	}
	task_finish(task);
	session->busy = false;
}

/* Delays the write of a task: the write takes effect later, or never. */
static void delay_write(const struct step *step, struct store_result *result)
{
	struct call *call = schedule_new_call(CALL_WRITE, 0);

	call->step = *step;
	call->step.value = malloc(step->size + 1);
	memcpy(call->step.value, step->value, step->size);
	call->run_us =
		cluster.now_us + schedule_random(3000) * (int64_t)US_PER_MS;
	schedule_fail(result, STORE_UNKNOWN, STORE_UNREACHABLE);
	schedule_log("  delayed: write to %s\n", step->key);
}

static void step_operator(void)
{
	uint32_t index = schedule_random(OPERATORS);
	struct session *session = &cluster.sessions[index];
	struct task *task = &session->task;
	struct store_result result;

	if (!session->busy) {
		if (!cluster.faults_stopped)
			begin_task(session, index);
		return;
	}
	if (task->step.kind == STEP_END) {
		end_task(session);
		return;
	}
	if (task->step.kind == STEP_WRITE && schedule_fault(8)) {
		delay_write(&task->step, &result);
	} else {
		memory_call(&cluster.memory, &task->step, &result);
		if (schedule_fault(12))
			schedule_fail(&result,
				      task->step.kind == STEP_WRITE
					      ? STORE_UNKNOWN
					      : STORE_NO_EFFECT,
				      STORE_UNREACHABLE);
	}
	schedule_record_head();
	task_input(task, &result);
}

static void inject_fault(void)
{
	struct node *node = &cluster.nodes[schedule_random(NODES)];
	uint32_t index = (uint32_t)(node - cluster.nodes);

	switch (schedule_random(8)) {
	case 0:
		node->paused_until_us =
			cluster.now_us +
			schedule_random(20000) * (int64_t)US_PER_MS;
		schedule_log("node %u pauses\n", index);
		return;
	case 1:
		keeper_finish(&node->keeper);
		schedule_start_node(index);
		schedule_log("node %u restarts\n", index);
		return;
	case 2:
		cluster.serves_older_heads = true;
		schedule_log("the store serves older heads\n");
		return;
	case 3:
		cluster.memory.down = true;
		schedule_log("the store is down\n");
		return;
	case 4:
		cluster.now_us += schedule_random(15000) * (int64_t)US_PER_MS;
		schedule_log("the clock jumps\n");
		return;
	default:
		reader_core_set_rank(&node->core, schedule_random(5),
				     cluster.now_us);
		return;
	}
}

static void step(void)
{
	cluster.now_us += schedule_random(100) * (int64_t)US_PER_MS;
	schedule_run_calls();
	switch (schedule_random(4)) {
	case 0:
		schedule_gossip();
		break;
	case 1:
		schedule_run_reader(schedule_random(NODES));
		break;
	default:
		step_operator();
		break;
	}
	schedule_check();
	if (schedule_fault(40))
		inject_fault();
	if (schedule_random(30) == 0)
		cluster.memory.down = false;
	if (schedule_random(30) == 0)
		cluster.serves_older_heads = false;
	schedule_check();
}

static bool is_accepted(const char *id)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < cluster.head_count; i++)
		count += !strcmp(cluster.heads[i].accept_ids[0], id);
	CHECK(count <= 1, "%s took effect %u times", id, count);
	return count;
}

/* Checks that no reported outcome contradicts the versions that were made. */
static void check_acceptances(void)
{
	uint32_t i;
	uint32_t j;

	for (i = 0; i < cluster.acceptance_count; i++) {
		const struct acceptance *acceptance = &cluster.acceptances[i];
		bool may_be_accepted = false;

		if (acceptance->committed)
			CHECK(is_accepted(acceptance->id),
			      "%s was committed but made no version",
			      acceptance->id);
		if (acceptance->outcome == EDITOR_DONE ||
		    acceptance->outcome == EDITOR_UNKNOWN)
			continue;
		/* The same id may have been sent again and accepted. */
		for (j = 0; j < cluster.acceptance_count; j++)
			may_be_accepted |= !strcmp(cluster.acceptances[j].id,
						   acceptance->id) &&
					   (cluster.acceptances[j].outcome ==
						    EDITOR_DONE ||
					    cluster.acceptances[j].outcome ==
						    EDITOR_UNKNOWN);
		CHECK(may_be_accepted || !is_accepted(acceptance->id),
		      "%s was reported as failed and took effect",
		      acceptance->id);
	}
}

/* Stops all faults and checks that every node reaches the newest version. */
static void check_convergence(void)
{
	uint32_t i;

	cluster.faults_stopped = true;
	cluster.memory.down = false;
	cluster.serves_older_heads = false;
	for (i = 0; i < NODES; i++)
		reader_core_set_rank(&cluster.nodes[i].core, i, cluster.now_us);
	for (i = 0; i < CONVERGENCE_STEPS; i++)
		step();
	for (i = 0; i < NODES && cluster.head_count; i++) {
		const struct config *config =
			keeper_config(&cluster.nodes[i].keeper);

		CHECK(config && config->version == cluster.head_count,
		      "node %u stayed at version %llu of %u", i,
		      (unsigned long long)(config ? config->version : 0),
		      cluster.head_count);
	}
}

static void finish_world(void)
{
	uint32_t i;

	for (i = 0; i < NODES; i++)
		keeper_finish(&cluster.nodes[i].keeper);
	for (i = 0; i < OPERATORS; i++)
		if (cluster.sessions[i].busy)
			task_finish(&cluster.sessions[i].task);
	for (i = 0; i < CALLS_MAX; i++)
		if (cluster.calls[i].used)
			schedule_free_call(&cluster.calls[i]);
	for (i = 0; i < cluster.head_count; i++)
		head_finish(&cluster.heads[i]);
	memory_finish(&cluster.memory);
}

Test(schedule, guarantees_hold_under_any_mixture_of_failures)
{
	struct log_options quiet = { .level = LOG_ERROR + 1 };
	uint64_t seed;
	uint32_t versions = 0;
	uint32_t i;

	log_init(&quiet);
	for (seed = 1; seed <= SEEDS; seed++) {
		memset(&cluster, 0, sizeof(cluster));
		cluster.seed = seed;
		random_init(&cluster.random, seed);
		memory_init(&cluster.memory);
		for (i = 0; i < NODES; i++)
			schedule_start_node(i);
		for (i = 0; i < STEPS; i++)
			step();
		check_convergence();
		check_acceptances();
		versions += cluster.head_count;
		finish_world();
	}
	cr_expect_gt(versions, SEEDS * 10, "only %u versions", versions);
	fprintf(stderr, "schedule: %d seeds, %u versions, outcomes", SEEDS,
		versions);
	for (i = 0; i < 6; i++)
		fprintf(stderr, " %s %u",
			editor_outcome_name((enum editor_outcome)i),
			outcomes[i]);
	fputc('\n', stderr);
}
