#include <signal.h>

#include "os/clock.h"
#include "soak/soak.h"

/* Pauses and planned changes that only deployed seeds have. They are drawn from
 * a source of their own, so that other seeds draw the same faults as ever. */

enum {
	/* On average a pause, and a change, is drawn once in this number of
	 * steps. */
	PAUSE_INTERVAL_STEPS = 4,
	CHANGE_INTERVAL_STEPS = 8,
	PAUSE_MIN_MS = 300,
	PAUSE_EXTRA_MS = 1200,
	SLOW_MIN_MS = 500,
	SLOW_EXTRA_MS = 3500,
	/* A node with a part of a core runs in some slices of each period. */
	PERIOD_SLICES = 10,
	RUNNING_SLICES_MAX = 4,
};

enum change {
	CHANGE_STOP_TWO,
	CHANGE_STOP_STARTED,
	CHANGE_WHILE_STOPPING,
	CHANGES,
};

void soak_note(struct soak *soak, uint32_t i, const char *what)
{
	if (soak->note_count == SOAK_NOTES_MAX)
		return;
	soak->notes[soak->note_count++] =
		(struct soak_note){ clock_monotonic_us(), i, what };
}

static bool is_disturbed(const struct soak_pause *pause, int64_t now_us)
{
	return now_us < pause->until_us || now_us < pause->slow_until_us;
}

/* Half of the nodes keep a whole core, so that requests go on being served. */
static bool may_disturb(const struct soak *soak, int64_t now_us)
{
	uint32_t disturbed = 0;
	uint32_t i;

	for (i = 0; i < soak->count; i++)
		disturbed += is_disturbed(&soak->pauses[i], now_us);
	return disturbed < soak->count / 2;
}

static void draw_pause(struct soak *soak)
{
	struct random *random = &soak->pause_random;
	uint32_t i = random_below(random, soak->count);
	bool slow = random_below(random, 2);
	int64_t pause_ms = PAUSE_MIN_MS + random_below(random, PAUSE_EXTRA_MS);
	int64_t slow_ms = SLOW_MIN_MS + random_below(random, SLOW_EXTRA_MS);
	uint32_t slices = 1 + random_below(random, RUNNING_SLICES_MAX);
	struct soak_pause *pause = &soak->pauses[i];
	int64_t now_us = clock_monotonic_us();

	if (is_disturbed(pause, now_us) || !may_disturb(soak, now_us))
		return;
	soak_note(soak, i,
		  slow ? "gets a part of a core" : "is paused by SIGSTOP");
	pause->pid = soak->cluster.nodes[i].process.pid;
	pause->until_us = slow ? 0 : now_us + pause_ms * US_PER_MS;
	pause->slow_until_us = slow ? now_us + slow_ms * US_PER_MS : 0;
	pause->running_slices = slices;
}

static void stop_running(struct soak *soak, uint32_t i)
{
	if (soak->nodes[i].state == NODE_RUNNING)
		soak_stop_node(soak, i);
}

static void change_while_stopping(struct soak *soak)
{
	bool stopping = false;
	uint32_t i;

	for (i = 0; i < soak->count; i++) {
		if (soak->nodes[i].state != NODE_STOPPING)
			continue;
		stopping = true;
		soak_reload_node(soak, i);
	}
	if (stopping)
		soak_write_document(soak);
}

static void draw_change(struct soak *soak)
{
	struct random *random = &soak->pause_random;
	enum change change = (enum change)random_below(random, CHANGES);
	uint32_t i = random_below(random, soak->count);
	uint32_t other = random_below(random, soak->count);

	switch (change) {
	case CHANGE_STOP_TWO:
		stop_running(soak, i);
		stop_running(soak, other);
		return;
	case CHANGE_STOP_STARTED:
		soak->stop_when_started[i] = true;
		return;
	case CHANGE_WHILE_STOPPING:
	case CHANGES:
		change_while_stopping(soak);
		return;
	}
}

void soak_disturb_planned(struct soak *soak)
{
	if (!soak->deployed || !soak->planned)
		return;
	if (!random_below(&soak->pause_random, PAUSE_INTERVAL_STEPS))
		draw_pause(soak);
	if (!random_below(&soak->pause_random, CHANGE_INTERVAL_STEPS))
		draw_change(soak);
}

static void stop_process(struct soak *soak, uint32_t i)
{
	process_signal(&soak->cluster.nodes[i].process, SIGSTOP);
	soak->pauses[i].stopped_us = clock_monotonic_us();
}

/* A node cannot start or stop while it is paused: it gets this time back. */
static void continue_process(struct soak *soak, uint32_t i)
{
	struct soak_pause *pause = &soak->pauses[i];

	process_signal(&soak->cluster.nodes[i].process, SIGCONT);
	soak->nodes[i].state_deadline_us +=
		clock_monotonic_us() - pause->stopped_us;
	pause->stopped_us = 0;
}

static void apply_pause(struct soak *soak, uint32_t i, int64_t now_us)
{
	struct soak_pause *pause = &soak->pauses[i];
	bool stop = now_us < pause->until_us ||
		    (now_us < pause->slow_until_us &&
		     soak->slice % PERIOD_SLICES >= pause->running_slices);

	if (pause->pid != soak->cluster.nodes[i].process.pid) {
		*pause = (struct soak_pause){ 0 };
		return;
	}
	if (stop && !pause->stopped_us)
		stop_process(soak, i);
	else if (!stop && pause->stopped_us)
		continue_process(soak, i);
	if (pause->until_us && !stop) {
		soak_note(soak, i, "continues");
		pause->until_us = 0;
	}
}

void soak_run_step(struct soak *soak)
{
	int64_t now_us;
	uint32_t ran_ms;
	uint32_t i;

	if (!soak->deployed || !soak->planned) {
		load_run(&soak->load, SOAK_STEP_MS);
		return;
	}
	for (ran_ms = 0; ran_ms < SOAK_STEP_MS; ran_ms += SOAK_SLICE_MS) {
		load_run(&soak->load, SOAK_SLICE_MS);
		soak->slice++;
		now_us = clock_monotonic_us();
		for (i = 0; i < soak->count; i++)
			apply_pause(soak, i, now_us);
	}
}

void soak_end_pauses(struct soak *soak)
{
	uint32_t i;

	for (i = 0; i < soak->count; i++) {
		if (soak->pauses[i].stopped_us)
			continue_process(soak, i);
		soak->pauses[i] = (struct soak_pause){ 0 };
	}
}
