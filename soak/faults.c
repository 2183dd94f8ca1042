#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "os/clock.h"
#include "soak/soak.h"

enum {
	FAULT_LEAST_STEPS = 2,
	FAULT_MORE_STEPS = 25,
	/* A stop takes about half of the longest gap to well over it. */
	ROLL_GAP_STEPS = 25,
	RELOADS_MOST = 8,
	ACCEPTS_MOST = 5,
	READY_LOOK_MS = 1,
	LINE_SIZE = 4096,
};

static uint32_t draw_end(struct soak *soak)
{
	return soak->step + FAULT_LEAST_STEPS +
	       random_below(&soak->random, FAULT_MORE_STEPS);
}

static int64_t hung_at(int64_t granted_ms)
{
	return clock_monotonic_us() + (granted_ms + SOAK_LATE_MS) * US_PER_MS;
}

/* A paused node answers no operator, and the callers would stand still. */
static bool answers_operators(const struct soak *soak)
{
	uint32_t i;

	for (i = 0; i < soak->count; i++)
		if (soak->nodes[i].state == NODE_PAUSED)
			return false;
	return true;
}

static void pause_node(struct soak *soak, uint32_t i)
{
	process_signal(&soak->cluster.nodes[i].process, SIGSTOP);
	soak->nodes[i].state = NODE_PAUSED;
	soak->nodes[i].until = draw_end(soak);
}

static void kill_node(struct soak *soak, uint32_t i)
{
	process_kill(&soak->cluster.nodes[i].process);
	soak->nodes[i].state = NODE_GONE;
	soak->nodes[i].until = draw_end(soak);
}

static void stop_node(struct soak *soak, uint32_t i)
{
	process_signal(&soak->cluster.nodes[i].process, SIGTERM);
	soak->nodes[i].state = NODE_STOPPING;
	soak->nodes[i].hung_us = hung_at(SOAK_LINGER_MS + SOAK_DRAIN_MS);
}

static void post_upstream(struct soak *soak, uint32_t i, const char *faults)
{
	char answer[256];

	fetch_simple("POST", soak->cluster.nodes[i].upstream_address,
		     "/standin/faults", faults, answer, sizeof(answer));
}

static void break_upstream(struct soak *soak, uint32_t i)
{
	static const char *const faults[] = {
		"{\"close_run\":2}", "{\"cut\":2}",	"{\"close_unrun\":2}",
		"{\"slow\":4}",	     "{\"slow\":1}",	"{\"stall_ms\":300}",
		"{\"stall_ms\":0}",  "{\"shed\":true}", "{\"shed\":false}",
	};
	uint32_t turn =
		random_below(&soak->random, sizeof(faults) / sizeof(faults[0]));

	post_upstream(soak, i, faults[turn]);
}

/* Only where it can be done at once: the callers would stand still. */
static void accept_version(struct soak *soak, uint32_t i)
{
	uint32_t centre = soak->cluster.nodes[i].centre;
	uint64_t version;

	if (soak->alone[centre])
		return;
	version = cluster_accept(&soak->cluster, i, "default",
				 bench_profile(soak->step));
	if (version > soak->version)
		soak->version = version;
}

static void cut(struct soak *soak, uint32_t centre)
{
	if (soak->cut[centre])
		return;
	cluster_partition(&soak->cluster, centre, true);
	soak->cut[centre] = true;
	soak->cut_until[centre] = draw_end(soak);
}

static void cut_platform(struct soak *soak, uint32_t centre)
{
	if (soak->alone[centre])
		return;
	cluster_partition_platform(&soak->cluster, centre, true);
	soak->alone[centre] = true;
	soak->alone_until[centre] = draw_end(soak);
}

static void stop_many(struct soak *soak, uint32_t first, uint32_t count)
{
	uint32_t i;

	for (i = 0; i < count; i++) {
		uint32_t node = (first + i) % soak->count;

		if (soak->nodes[node].state == NODE_RUNNING)
			stop_node(soak, node);
	}
}

static void stop_again(struct soak *soak, uint32_t i)
{
	uint32_t other;

	stop_node(soak, i);
	for (other = 0; other < soak->count; other++)
		if (soak->nodes[other].state == NODE_STOPPING)
			process_signal(&soak->cluster.nodes[other].process,
				       SIGTERM);
}

static void begin_series(struct soak *soak, enum fault fault, uint32_t first,
			 uint32_t most, uint32_t gap_steps)
{
	struct series *series = &soak->series[fault];

	if (series->left)
		return;
	series->left = 2 + random_below(&soak->random, most - 1);
	series->node = first;
	series->gap_steps = gap_steps;
	series->at = soak->step;
}

/* Before a process is ready such a signal would end it. */
static void reload(struct soak *soak, uint32_t i)
{
	enum node_state state = soak->nodes[i].state;

	if (state == NODE_RUNNING || state == NODE_STOPPING)
		process_signal(&soak->cluster.nodes[i].process, SIGHUP);
}

static void do_next(struct soak *soak, enum fault fault, uint32_t i)
{
	bool runs = soak->nodes[i].state == NODE_RUNNING;

	if (fault == FAULT_RELOADS)
		reload(soak, i);
	else if (fault == FAULT_ROLL && runs)
		stop_node(soak, i);
	else if (fault == FAULT_ACCEPT_MANY && runs && answers_operators(soak))
		accept_version(soak, i);
}

void soak_go_on(struct soak *soak)
{
	uint32_t i;

	for (i = 0; i < FAULTS; i++) {
		struct series *series = &soak->series[i];

		if (!series->left || soak->step < series->at)
			continue;
		do_next(soak, (enum fault)i, series->node);
		series->left--;
		series->node = (series->node + 1) % soak->count;
		series->at = soak->step + series->gap_steps;
	}
}

static bool asks_operators(enum fault fault)
{
	return fault == FAULT_SILENCE || fault == FAULT_CUT ||
	       fault == FAULT_ACCEPT || fault == FAULT_ACCEPT_MANY;
}

static bool is_possible(const struct soak *soak, enum fault fault, uint32_t i)
{
	enum node_state state = soak->nodes[i].state;

	/* Nodes that wait out any silence would serve badly until the end. */
	if (fault == FAULT_SILENCE && soak->patient)
		return false;
	if (fault == FAULT_KILL && state == NODE_STOPPING)
		return true;
	return state == NODE_RUNNING &&
	       (!asks_operators(fault) || answers_operators(soak));
}

static void bring_unplanned(struct soak *soak, enum fault fault, uint32_t i)
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
		cut(soak, centre);
		return;
	case FAULT_PLATFORM:
		cut_platform(soak, centre);
		return;
	default:
		break_upstream(soak, i);
		return;
	}
}

static void bring_planned(struct soak *soak, enum fault fault, uint32_t i)
{
	uint32_t count = soak->count;
	uint32_t drawn = random_below(&soak->random, ROLL_GAP_STEPS);

	switch (fault) {
	case FAULT_STOP:
		stop_node(soak, i);
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
		begin_series(soak, fault, i, RELOADS_MOST, drawn % 2);
		return;
	default:
		begin_series(soak, fault, i, ACCEPTS_MOST, drawn % 2);
		return;
	}
}

void soak_bring_about(struct soak *soak)
{
	uint32_t first = soak->planned ? FAULTS_PLANNED : 0;
	enum fault fault = (enum fault)(
		first + random_below(&soak->random, FAULTS - first));
	uint32_t i = random_below(&soak->random, soak->count);

	if (!is_possible(soak, fault, i))
		return;
	soak->brought[fault]++;
	if (fault < FAULTS_PLANNED)
		bring_unplanned(soak, fault, i);
	else
		bring_planned(soak, fault, i);
}

/* The files go with the cluster. */
static void print_last_line(const struct process *process)
{
	FILE *file = fopen(process->log_path, "re");
	char line[LINE_SIZE];
	char last[LINE_SIZE] = "";

	while (file && fgets(line, sizeof(line), file))
		memcpy(last, line, sizeof(last));
	if (file)
		fclose(file);
	fprintf(stderr, "its last line: %s\n", last);
}

/* The callers go on meanwhile. */
static bool start_again(struct soak *soak, uint32_t i)
{
	soak->nodes[i].state = NODE_STARTING;
	soak->nodes[i].hung_us = hung_at(SOAK_AGREE_MS);
	return bench_must(cluster_spawn_node(&soak->cluster, i),
			  "a node's process is made");
}

static bool started(struct soak *soak, uint32_t i)
{
	struct process *process = &soak->cluster.nodes[i].process;

	if (process_wait_ready(process, READY_LOOK_MS)) {
		soak->nodes[i].state = NODE_RUNNING;
		return bench_must(cluster_wait_node(&soak->cluster, i),
				  "a node tells its addresses");
	}
	if (process->pid > 0 && clock_monotonic_us() < soak->nodes[i].hung_us)
		return true;
	print_last_line(process);
	return bench_must(false, "a node starts again");
}

static bool stopped(struct soak *soak, uint32_t i)
{
	struct process *process = &soak->cluster.nodes[i].process;

	if (!process_wait(process, 0))
		return bench_must(clock_monotonic_us() < soak->nodes[i].hung_us,
				  "a node that is told to stop ends");
	if (process->exit_status) {
		fprintf(stderr, "%s: wait status 0x%x\n",
			soak->cluster.nodes[i].instance,
			(unsigned int)process->exit_status);
		print_last_line(process);
	}
	return bench_must(process->exit_status == 0,
			  "a node that is told to stop ends well") &&
	       start_again(soak, i);
}

/* A node that nobody has killed or stopped must still run. */
static bool end_node_fault(struct soak *soak, uint32_t i)
{
	struct process *process = &soak->cluster.nodes[i].process;
	bool over = soak->step >= soak->nodes[i].until;

	switch (soak->nodes[i].state) {
	case NODE_RUNNING:
		return bench_must(!process_wait(process, 0), "nodes run on");
	case NODE_PAUSED:
		if (over) {
			process_signal(process, SIGCONT);
			soak->nodes[i].state = NODE_RUNNING;
		}
		return true;
	case NODE_GONE:
		return !over || start_again(soak, i);
	case NODE_STOPPING:
		return stopped(soak, i);
	case NODE_STARTING:
		return started(soak, i);
	}
	return true;
}

static void end_centre_faults(struct soak *soak, uint32_t centre, bool all)
{
	if (soak->cut[centre] && answers_operators(soak) &&
	    (all || soak->step >= soak->cut_until[centre])) {
		cluster_partition(&soak->cluster, centre, false);
		soak->cut[centre] = false;
	}
	if (soak->alone[centre] &&
	    (all || soak->step >= soak->alone_until[centre])) {
		cluster_partition_platform(&soak->cluster, centre, false);
		soak->alone[centre] = false;
	}
}

bool soak_end_faults(struct soak *soak)
{
	bool good = true;
	uint32_t i;

	for (i = 0; i < soak->count; i++)
		good &= end_node_fault(soak, i);
	for (i = 0; i < SOAK_CENTRES; i++)
		end_centre_faults(soak, i, false);
	return good;
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
	bool good = true;
	uint32_t i;

	memset(soak->series, 0, sizeof(soak->series));
	while (good && !all_running(soak)) {
		soak->step++;
		load_run(&soak->load, SOAK_STEP_MS);
		good = soak_end_faults(soak);
	}
	for (i = 0; i < SOAK_CENTRES; i++)
		end_centre_faults(soak, i, true);
	for (i = 0; i < soak->count; i++)
		post_upstream(soak, i,
			      "{\"slow\":1,\"stall_ms\":0,\"shed\":false,"
			      "\"cut\":0,\"close_run\":0,"
			      "\"close_unrun\":0}");
	return good;
}
