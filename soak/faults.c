#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "os/clock.h"
#include "soak/soak.h"

enum {
	FAULT_MIN_STEPS = 2,
	FAULT_EXTRA_STEPS = 25,
	/* A stop takes between half of this gap and well over the gap, so that
	 * some stops overlap. */
	ROLL_GAP_STEPS = 25,
	RELOADS_MAX = 8,
	ACCEPTS_MAX = 5,
	READY_POLL_MS = 1,
	LINE_SIZE = 4096,
};

static uint32_t draw_end(struct soak *soak)
{
	return soak->step + FAULT_MIN_STEPS +
	       random_below(&soak->random, FAULT_EXTRA_STEPS);
}

static int64_t state_deadline(int64_t allowed_ms)
{
	return clock_monotonic_us() +
	       (allowed_ms + SOAK_PROCESS_GRACE_MS) * US_PER_MS;
}

/* A call of the operator interface blocks the load generator. It is therefore
 * not made while a node is paused, since a paused node does not answer. */
static bool operator_interfaces_respond(const struct soak *soak)
{
	uint32_t i;

	for (i = 0; i < soak->count; i++)
		if (soak->nodes[i].state == NODE_PAUSED)
			return false;
	return true;
}

static void pause_node(struct soak *soak, uint32_t i)
{
	soak_note(soak, i, "SIGSTOP");
	process_signal(&soak->cluster.nodes[i].process, SIGSTOP);
	soak->nodes[i].state = NODE_PAUSED;
	soak->nodes[i].ends_at_step = draw_end(soak);
}

static void kill_node(struct soak *soak, uint32_t i)
{
	soak_note(soak, i, "SIGKILL");
	process_kill(&soak->cluster.nodes[i].process);
	soak->nodes[i].state = NODE_GONE;
	soak->nodes[i].ends_at_step = draw_end(soak);
}

void soak_stop_node(struct soak *soak, uint32_t i)
{
	soak_note(soak, i, "SIGTERM");
	process_signal(&soak->cluster.nodes[i].process, SIGTERM);
	soak->nodes[i].state = NODE_STOPPING;
	soak->nodes[i].state_deadline_us =
		state_deadline(SOAK_LINGER_MS + SOAK_DRAIN_MS);
}

static void disturb_upstream(struct soak *soak, uint32_t i)
{
	static const char *const faults[] = {
		"{\"close_run\":2}", "{\"cut\":2}",	"{\"close_unrun\":2}",
		"{\"slow\":4}",	     "{\"slow\":1}",	"{\"stall_ms\":300}",
		"{\"stall_ms\":0}",  "{\"shed\":true}", "{\"shed\":false}",
	};
	uint32_t turn =
		random_below(&soak->random, sizeof(faults) / sizeof(faults[0]));

	soak_post_upstream(soak, i, faults[turn]);
}

/* Does nothing without a connection to the platform: the command would wait for
 * the platform and block the load generator. */
static void accept_version(struct soak *soak, uint32_t i)
{
	uint32_t centre = soak->cluster.nodes[i].centre;
	uint64_t version;

	if (soak->platform_cut[centre])
		return;
	soak_note(soak, i, "a version is accepted");
	version = soak_accept(soak, i);
	if (version > soak->version)
		soak->version = version;
}

static void partition(struct soak *soak, uint32_t centre)
{
	if (soak->partition[centre])
		return;
	cluster_partition(&soak->cluster, centre, true);
	soak->partition[centre] = true;
	soak->partition_until[centre] = draw_end(soak);
}

static void cut_platform(struct soak *soak, uint32_t centre)
{
	if (soak->platform_cut[centre])
		return;
	cluster_partition_platform(&soak->cluster, centre, true);
	soak->platform_cut[centre] = true;
	soak->platform_cut_until[centre] = draw_end(soak);
}

static void stop_many(struct soak *soak, uint32_t first, uint32_t count)
{
	uint32_t i;

	for (i = 0; i < count; i++) {
		uint32_t node = (first + i) % soak->count;

		if (soak->nodes[node].state == NODE_RUNNING)
			soak_stop_node(soak, node);
	}
}

static void stop_again(struct soak *soak, uint32_t i)
{
	uint32_t other;

	soak_stop_node(soak, i);
	for (other = 0; other < soak->count; other++)
		if (soak->nodes[other].state == NODE_STOPPING)
			process_signal(&soak->cluster.nodes[other].process,
				       SIGTERM);
}

static void begin_series(struct soak *soak, enum fault fault, uint32_t first,
			 uint32_t count_max, uint32_t gap_steps)
{
	struct series *series = &soak->series[fault];

	if (series->remaining)
		return;
	series->remaining = 2 + random_below(&soak->random, count_max - 1);
	series->node = first;
	series->gap_steps = gap_steps;
	series->at = soak->step;
}

/* SIGHUP terminates a process that has not installed its handler yet. */
void soak_reload_node(struct soak *soak, uint32_t i)
{
	enum node_state state = soak->nodes[i].state;

	if (state != NODE_RUNNING && state != NODE_STOPPING)
		return;
	soak_note(soak, i, "SIGHUP");
	process_signal(&soak->cluster.nodes[i].process, SIGHUP);
}

static void apply_series_step(struct soak *soak, enum fault fault, uint32_t i)
{
	bool runs = soak->nodes[i].state == NODE_RUNNING;

	if (fault == FAULT_RELOADS)
		soak_reload_node(soak, i);
	else if (fault == FAULT_ROLL && runs)
		soak_stop_node(soak, i);
	else if (fault == FAULT_ACCEPT_MANY && runs &&
		 operator_interfaces_respond(soak))
		accept_version(soak, i);
}

void soak_continue_series(struct soak *soak)
{
	uint32_t i;

	for (i = 0; i < FAULTS; i++) {
		struct series *series = &soak->series[i];

		if (!series->remaining || soak->step < series->at)
			continue;
		apply_series_step(soak, (enum fault)i, series->node);
		series->remaining--;
		series->node = (series->node + 1) % soak->count;
		series->at = soak->step + series->gap_steps;
	}
}

static bool needs_operator_interface(enum fault fault)
{
	return fault == FAULT_SILENCE || fault == FAULT_CUT ||
	       fault == FAULT_ACCEPT || fault == FAULT_ACCEPT_MANY;
}

static bool is_possible(const struct soak *soak, enum fault fault, uint32_t i)
{
	enum node_state state = soak->nodes[i].state;

	/* With a long silence timeout the nodes would keep using the stalled
	 * connections until the end. */
	if (fault == FAULT_SILENCE && soak->tolerates_silence)
		return false;
	if (fault == FAULT_KILL && state == NODE_STOPPING)
		return true;
	return state == NODE_RUNNING && (!needs_operator_interface(fault) ||
					 operator_interfaces_respond(soak));
}

static void inject_unplanned(struct soak *soak, enum fault fault, uint32_t i)
{
	uint32_t centre = random_below(&soak->random, SOAK_CENTRES);

	switch (fault) {
	case FAULT_PAUSE:
		pause_node(soak, i);
		return;
	case FAULT_KILL:
		kill_node(soak, i);
		return;
	case FAULT_SILENCE:
		cluster_stall_connections(&soak->cluster, i);
		return;
	case FAULT_CUT:
		partition(soak, centre);
		return;
	case FAULT_PLATFORM:
		cut_platform(soak, centre);
		return;
	default:
		disturb_upstream(soak, i);
		return;
	}
}

static void inject_planned(struct soak *soak, enum fault fault, uint32_t i)
{
	uint32_t count = soak->count;
	uint32_t drawn = random_below(&soak->random, ROLL_GAP_STEPS);

	switch (fault) {
	case FAULT_STOP:
		soak_stop_node(soak, i);
		return;
	case FAULT_ACCEPT:
		accept_version(soak, i);
		return;
	case FAULT_STOP_MANY:
		stop_many(soak, i, 2 + drawn % (count - 1));
		return;
	case FAULT_STOP_AGAIN:
		stop_again(soak, i);
		return;
	case FAULT_ROLL:
		begin_series(soak, fault, i, count, drawn);
		return;
	case FAULT_RELOADS:
		begin_series(soak, fault, i, RELOADS_MAX, drawn % 2);
		return;
	default:
		begin_series(soak, fault, i, ACCEPTS_MAX, drawn % 2);
		return;
	}
}

void soak_inject_fault(struct soak *soak)
{
	uint32_t first = soak->planned ? FAULTS_PLANNED : 0;
	enum fault fault = (enum fault)(
		first + random_below(&soak->random, FAULTS - first));
	uint32_t i = random_below(&soak->random, soak->count);

	if (!is_possible(soak, fault, i))
		return;
	soak->injected[fault]++;
	if (fault < FAULTS_PLANNED)
		inject_unplanned(soak, fault, i);
	else
		inject_planned(soak, fault, i);
}

/* Prints the end of the log, since stopping the cluster deletes the file. */
static void print_last_line(const struct process *process)
{
	FILE *file = fopen(process->log_path, "re");
	char line[LINE_SIZE];
	char last[LINE_SIZE] = "";

	while (file && fgets(line, sizeof(line), file))
		memcpy(last, line, sizeof(last));
	if (file)
		fclose(file);
	fprintf(stderr, "last line of the log: %s\n", last);
}

/* Does not wait until the node is ready, so that the load continues. */
static bool restart_node(struct soak *soak, uint32_t i)
{
	soak->nodes[i].state = NODE_STARTING;
	soak->nodes[i].state_deadline_us = state_deadline(SOAK_CONVERGE_MS);
	return bench_must(cluster_spawn_node(&soak->cluster, i),
			  "the process of a node is created");
}

static bool check_started(struct soak *soak, uint32_t i)
{
	struct process *process = &soak->cluster.nodes[i].process;

	if (process_wait_ready(process, READY_POLL_MS)) {
		soak->nodes[i].state = NODE_RUNNING;
		soak_note(soak, i, "ready");
		if (!bench_must(cluster_wait_node(&soak->cluster, i),
				"a started node reports its addresses"))
			return false;
		if (soak->stop_when_started[i])
			soak_stop_node(soak, i);
		soak->stop_when_started[i] = false;
		return true;
	}
	if (process->pid > 0 &&
	    clock_monotonic_us() < soak->nodes[i].state_deadline_us)
		return true;
	print_last_line(process);
	return bench_must(false, "a node restarts in time");
}

static bool check_stopped(struct soak *soak, uint32_t i)
{
	struct process *process = &soak->cluster.nodes[i].process;

	if (!process_wait(process, 0))
		return bench_must(clock_monotonic_us() <
					  soak->nodes[i].state_deadline_us,
				  "a node exits in time after SIGTERM");
	if (process->exit_status) {
		fprintf(stderr, "%s: wait status 0x%x\n",
			soak->cluster.nodes[i].instance,
			(unsigned int)process->exit_status);
		print_last_line(process);
	}
	return bench_must(process->exit_status == 0,
			  "a node exits with status 0 after SIGTERM") &&
	       restart_node(soak, i);
}

/* Fails if a node has exited without a kill or a stop. */
static bool end_node_fault(struct soak *soak, uint32_t i)
{
	struct process *process = &soak->cluster.nodes[i].process;
	bool is_over = soak->step >= soak->nodes[i].ends_at_step;

	switch (soak->nodes[i].state) {
	case NODE_RUNNING:
		return bench_must(!process_wait(process, 0),
				  "no node exits unexpectedly");
	case NODE_PAUSED:
		if (is_over) {
			soak_note(soak, i, "SIGCONT");
			process_signal(process, SIGCONT);
			soak->nodes[i].state = NODE_RUNNING;
		}
		return true;
	case NODE_GONE:
		return !is_over || restart_node(soak, i);
	case NODE_STOPPING:
		return check_stopped(soak, i);
	case NODE_STARTING:
		return check_started(soak, i);
	}
	return true;
}

static void end_centre_faults(struct soak *soak, uint32_t centre, bool all)
{
	if (soak->partition[centre] && operator_interfaces_respond(soak) &&
	    (all || soak->step >= soak->partition_until[centre])) {
		cluster_partition(&soak->cluster, centre, false);
		soak->partition[centre] = false;
	}
	if (soak->platform_cut[centre] &&
	    (all || soak->step >= soak->platform_cut_until[centre])) {
		cluster_partition_platform(&soak->cluster, centre, false);
		soak->platform_cut[centre] = false;
	}
}

bool soak_end_faults(struct soak *soak)
{
	bool ok = true;
	uint32_t i;

	for (i = 0; i < soak->count; i++)
		ok &= end_node_fault(soak, i);
	for (i = 0; i < SOAK_CENTRES; i++)
		end_centre_faults(soak, i, false);
	return ok;
}

static bool all_running(const struct soak *soak)
{
	uint32_t i;

	for (i = 0; i < soak->count; i++)
		if (soak->nodes[i].state != NODE_RUNNING)
			return false;
	return true;
}

bool soak_end_all_faults(struct soak *soak)
{
	bool ok = true;
	uint32_t i;

	memset(soak->series, 0, sizeof(soak->series));
	memset(soak->stop_when_started, 0, sizeof(soak->stop_when_started));
	soak_end_pauses(soak);
	soak_end_upstream_faults(soak);
	soak_end_answer_faults(soak);
	while (ok && !all_running(soak)) {
		soak->step++;
		load_run(&soak->load, SOAK_STEP_MS);
		ok = soak_end_faults(soak);
	}
	for (i = 0; i < SOAK_CENTRES; i++)
		end_centre_faults(soak, i, true);
	for (i = 0; i < soak->count; i++)
		soak_post_upstream(soak, i,
				   "{\"slow\":1,\"stall_ms\":0,\"shed\":false,"
				   "\"cut\":0,\"close_run\":0,"
				   "\"close_unrun\":0}");
	return ok;
}
