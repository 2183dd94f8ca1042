#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "os/clock.h"
#include "play.h"

/* Pauses nodes by SIGSTOP and SIGCONT: single long pauses, and a share of a
 * core as a part of each period or as a quota of it. */

enum {
	TICK_US = 2 * US_PER_MS,
	/* Reading the times of many processes takes long. */
	LONG_TICK_US = 5 * US_PER_MS,
	MANY_NODES = 64,
	PERIOD_US = 100 * US_PER_MS,
};

/* Time for which the process has run, in nanoseconds. */
static int64_t run_ns(int32_t pid)
{
	long long ns = 0;
	char path[64];
	FILE *file;

	snprintf(path, sizeof(path), "/proc/%d/schedstat", pid);
	file = fopen(path, "re");
	if (!file)
		return 0;
	if (fscanf(file, "%lld", &ns) != 1)
		ns = 0;
	fclose(file);
	return ns;
}

static bool beyond_quota(struct play_pauses *pauses, uint32_t i, int64_t now_us)
{
	int64_t period = (now_us + pauses->phase_us[i]) / PERIOD_US;
	int64_t ns;

	/* A paused process uses nothing until its next period. */
	if (pauses->stopped[i] && pauses->period[i] == period)
		return true;
	ns = run_ns(pauses->pid[i]);
	if (pauses->period[i] != period) {
		pauses->period[i] = period;
		pauses->period_ns[i] = ns;
		return false;
	}
	return (double)(ns - pauses->period_ns[i]) >
	       pauses->options->share * PERIOD_US * 1000;
}

static bool is_throttled(struct play_pauses *pauses, uint32_t i, int64_t now_us)
{
	double share = pauses->options->share;

	if (share <= 0)
		return false;
	if (pauses->options->quota)
		return beyond_quota(pauses, i, now_us);
	return (double)((now_us + pauses->phase_us[i]) % PERIOD_US) >=
	       share * PERIOD_US;
}

static void tick(struct play_pauses *pauses)
{
	int64_t now_us = clock_monotonic_us();
	uint32_t i;

	for (i = 0; i < pauses->count; i++) {
		bool stop;

		if (pauses->pid[i] <= 0)
			continue;
		stop = (now_us >= pauses->begin_us[i] &&
			now_us < pauses->until_us[i]) ||
		       is_throttled(pauses, i, now_us);
		if (stop == pauses->stopped[i])
			continue;
		kill(pauses->pid[i], stop ? SIGSTOP : SIGCONT);
		pauses->stopped[i] = stop;
		pauses->throttled += stop;
	}
}

static void *run(void *data)
{
	struct play_pauses *pauses = data;
	const int64_t tick_us = pauses->count > MANY_NODES ? LONG_TICK_US
							   : TICK_US;
	const struct timespec wait = { 0, tick_us * 1000 };
	bool ends = false;

	while (!ends) {
		pthread_mutex_lock(&pauses->lock);
		tick(pauses);
		ends = pauses->ends;
		pthread_mutex_unlock(&pauses->lock);
		nanosleep(&wait, NULL);
	}
	return NULL;
}

bool play_pauses_begin(struct play_pauses *pauses, struct cluster *cluster,
		       const struct play_options *options)
{
	struct random random;
	uint32_t i;

	memset(pauses, 0, sizeof(*pauses));
	random_init(&random, options->seed + 1);
	pauses->options = options;
	pauses->count = cluster->node_count;
	for (i = 0; i < pauses->count; i++) {
		pauses->pid[i] = cluster->nodes[i].process.pid;
		pauses->phase_us[i] = random_below(&random, PERIOD_US);
	}
	pthread_mutex_init(&pauses->lock, NULL);
	return pthread_create(&pauses->thread, NULL, run, pauses) == 0;
}

void play_pauses_end(struct play_pauses *pauses)
{
	uint32_t i;

	pthread_mutex_lock(&pauses->lock);
	pauses->ends = true;
	pthread_mutex_unlock(&pauses->lock);
	pthread_join(pauses->thread, NULL);
	for (i = 0; i < pauses->count; i++)
		if (pauses->pid[i] > 0 && pauses->stopped[i])
			kill(pauses->pid[i], SIGCONT);
	pthread_mutex_destroy(&pauses->lock);
}

void play_pauses_set(struct play_pauses *pauses, uint32_t i, int32_t pid)
{
	pthread_mutex_lock(&pauses->lock);
	pauses->pid[i] = pid;
	pauses->stopped[i] = false;
	pauses->period[i] = 0;
	pthread_mutex_unlock(&pauses->lock);
}

void play_pauses_add(struct play_pauses *pauses, uint32_t i, int64_t begin_us,
		     int64_t until_us)
{
	pthread_mutex_lock(&pauses->lock);
	pauses->begin_us[i] = begin_us;
	pauses->until_us[i] = until_us;
	pthread_mutex_unlock(&pauses->lock);
}
