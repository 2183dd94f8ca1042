/*
 * Example of a program that uses three parts of libgeraniumplank in a loop: the
 * router chooses an upstream for each job, the gate of the upstream admits the
 * job, and a budget limits the retries. The time is a counter and each job runs
 * for a fixed time, so that the output is always the same.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <geraniumplank/gate.h>
#include <geraniumplank/retry.h>
#include <geraniumplank/route.h>

enum { MS = 1000, JOBS = 32, UPSTREAMS = 3, WORK_US = 20 * MS };

static const char profile[] =
	"services = [\"log-archive\"]\n"
	"spill_wait_ms = 10\n"
	"[kind.today]\nweight = 10\ndeadline_ms = 60\n"
	"[kind.season]\nweight = 1\ndeadline_ms = 70\n"
	"[[route]]\npath = \"/today\"\nkind = \"today\"\n"
	"[[route]]\npath = \"/season*\"\nkind = \"season\"\n";

/* An upstream: its record in the router and its gate. */
struct upstream {
	struct record record;
	struct gate gate;
};

struct job {
	struct gate_request request;
	struct route_match match;
	struct endpoint *endpoint;
	struct upstream *upstream;
	struct retry_chain chain;
	uint32_t attempts_taken;
};

static struct router router;
static struct upstream upstreams[UPSTREAMS];
static struct job jobs[JOBS];
static int64_t now_us;

static void print_job(const struct job *job, const char *what, const char *more)
{
	printf("%3d ms  job %2d %-6s %s%s\n", (int)(now_us / MS),
	       (int)(job - jobs), job->request.kind, what, more);
}

static void set_config(void)
{
	struct config *config = config_new(1);
	struct faults faults = { 0 };

	config->version = 1;
	config->profiles[0].profile =
		profile_parse("archive", profile, strlen(profile), &faults);
	if (!config->profiles[0].profile)
		exit(1);
	router_set_config(&router, config);
	config_unref(config);
}

static void add_upstream(struct upstream *upstream, const char *name,
			 const char *data_centre)
{
	const struct gate_options options = { .slots = 2,
					      .queue_max = 16,
					      .fair = true };

	upstream->record = (struct record){ .service = "log-archive",
					    .profile = "archive",
					    .state = UPSTREAM_SERVING,
					    .slots = options.slots,
					    .serving_age_ms = 3600 * 1000 };
	snprintf(upstream->record.instance, NAME_SIZE, "%s", name);
	snprintf(upstream->record.data_centre, NAME_SIZE, "%s", data_centre);
	router_set_record(&router, &upstream->record, true, 0);
	gate_init(&upstream->gate, &options);
	gate_set_state(&upstream->gate, GATE_OPEN, 0);
}

/* Returns true if a refused job may be sent to another upstream. A refused job
 * has not run, so this is safe also for jobs that are not idempotent. */
static bool retry_elsewhere(struct job *job)
{
	struct retry_request retry = { .verdict = VERDICT_NOT_RUN,
				       .deadline_us = job->request.deadline_us,
				       .now_us = now_us };

	endpoint_done(&router, job->endpoint, ENDPOINT_REFUSED,
		      gate_load(&job->upstream->gate), 0, now_us);
	retry_chain_return(&job->chain, job->attempts_taken - 1);
	retry.attempts_left = job->chain.remaining_attempts;
	if (retry_decide(&job->match.pool->budget, &retry) == RETRY_AGAIN)
		return true;
	print_job(job, "not run: ", gate_refusal_name(job->request.refusal));
	return false;
}

static void send_job(struct job *job)
{
	const struct pick pick = { .match = &job->match, .now_us = now_us };
	enum gate_decision decision;

	do {
		job->endpoint = router_pick(&router, &pick);
		job->upstream =
			&upstreams[job->endpoint->record.instance[0] - 'a'];
		job->attempts_taken = retry_chain_take(&job->chain);
		decision =
			gate_offer(&job->upstream->gate, &job->request, now_us);
	} while (decision == GATE_REFUSED && retry_elsewhere(job));
	if (decision != GATE_REFUSED)
		print_job(job,
			  decision == GATE_ADMITTED ? "runs at " : "waits at ",
			  job->upstream->record.instance);
}

static void new_job(struct job *job, const char *path)
{
	if (router_match(&router, "log-archive", "GET", path, &job->match) !=
	    ROUTE_FOUND)
		return;
	snprintf(job->request.kind, KIND_NAME_SIZE, "%s",
		 job->match.kind->name);
	job->request.weight = job->match.kind->weight;
	job->request.deadline_us = now_us + job->match.kind->deadline_ms * MS;
	job->request.user = job;
	retry_chain_init(&job->chain, 3, 0);
	retry_budget_deposit(&job->match.pool->budget);
	send_job(job);
}

static void end_job(struct job *job)
{
	gate_done(&job->upstream->gate, &job->request, GATE_OK, WORK_US,
		  now_us);
	endpoint_done(&router, job->endpoint, ENDPOINT_ANSWERED,
		      gate_load(&job->upstream->gate),
		      now_us - job->request.arrived_us, now_us);
	print_job(job, "answered", "");
}

/* Runs after each event: sends refused jobs to other upstreams and starts the
 * admitted jobs. */
static void serve_gate(struct upstream *upstream)
{
	struct gate_request *request;

	while ((request = gate_next_refused(&upstream->gate, now_us))) {
		if (retry_elsewhere(request->user))
			send_job(request->user);
	}
	while ((request = gate_next(&upstream->gate, now_us)))
		print_job(request->user, "starts at ",
			  upstream->record.instance);
}

/* Updates the router first, so that no job is sent to a closing gate. */
static void leave(struct upstream *upstream)
{
	upstream->record.state = UPSTREAM_LEAVING;
	router_set_record(&router, &upstream->record, true, now_us);
	gate_set_state(&upstream->gate, GATE_LEAVING, now_us);
	printf("%3d ms  b is leaving\n", (int)(now_us / MS));
}

int main(void)
{
	int i;

	router_init(&router, "hcm-1", 7);
	set_config();
	add_upstream(&upstreams[0], "a", "hcm-1");
	add_upstream(&upstreams[1], "b", "hcm-1");
	add_upstream(&upstreams[2], "c", "hcm-2");
	for (now_us = 0; now_us < 300 * MS; now_us += 2 * MS) {
		int number = (int)(now_us / (2 * MS));

		for (i = 0; i < JOBS; i++) {
			if (jobs[i].request.phase == GATE_RUNNING &&
			    now_us >= jobs[i].request.started_us + WORK_US)
				end_job(&jobs[i]);
		}
		if (now_us == 30 * MS)
			leave(&upstreams[1]);
		if (number < JOBS)
			new_job(&jobs[number],
				number % 3 ? "/season/1" : "/today");
		for (i = 0; i < UPSTREAMS; i++)
			serve_gate(&upstreams[i]);
	}
	for (i = 0; i < UPSTREAMS; i++)
		gate_finish(&upstreams[i].gate);
	router_finish(&router);
	return 0;
}
