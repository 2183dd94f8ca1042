#include <stdio.h>
#include <string.h>

#include "operator/arguments.h"
#include "operator/command.h"
#include "operator/remote.h"
#include "operator/status.h"
#include "operator/table.h"
#include "os/clock.h"

enum {
	POLL_MS = 100,
	WAIT_MAX_MS = 24 * 3600 * 1000,
	VERSIONS_TEXT_SIZE = 192,
	LAGGING_TEXT_SIZE = 256,
};

static const char summary[] =
	"Shows which version is in force in every data centre, as the node\n"
	"that is asked knows it. With --wait, asks again until every known\n"
	"node of every data centre that can be reached has that version or a\n"
	"later one; a data centre that is cut off is shown, not waited for.";

static void versions_text(const struct status_data_centre *dc,
			  char text[VERSIONS_TEXT_SIZE])
{
	size_t used = 0;
	uint32_t i;

	text[0] = '\0';
	for (i = 0; i < dc->version_count && used < VERSIONS_TEXT_SIZE; i++)
		used += (size_t)snprintf(
			text + used, VERSIONS_TEXT_SIZE - used, "%s%llu x%u",
			i ? ", " : "",
			(unsigned long long)dc->versions[i].version,
			dc->versions[i].nodes);
}

static void lagging_text(const struct status_data_centre *dc,
			 char text[LAGGING_TEXT_SIZE])
{
	size_t used = 0;
	uint32_t i;

	snprintf(text, LAGGING_TEXT_SIZE, "-");
	for (i = 0; i < dc->lagging_count && used < LAGGING_TEXT_SIZE; i++)
		used += (size_t)snprintf(text + used, LAGGING_TEXT_SIZE - used,
					 "%s%s", i ? ", " : "", dc->lagging[i]);
}

static void print_data_centres(const struct operator_status *status)
{
	static const char *const titles[] = { "DATA CENTRE", "REACHABLE",
					      "NODES",	     "UNREACHABLE",
					      "LOWEST",	     "HIGHEST",
					      "STRAGGLERS",  NULL };
	char lagging[LAGGING_TEXT_SIZE];
	struct table table;
	uint32_t i;

	table_init(&table, titles);
	for (i = 0; i < status->data_centre_count; i++) {
		const struct status_data_centre *dc = &status->data_centres[i];

		lagging_text(dc, lagging);
		table_cell(&table, "%s", dc->name);
		table_cell(&table, "%s", dc->reachable ? "yes" : "no");
		table_cell(&table, "%u", dc->nodes);
		table_cell(&table, "%u", dc->unreachable_nodes);
		table_cell(&table, "%llu", (unsigned long long)dc->lowest);
		table_cell(&table, "%llu", (unsigned long long)dc->highest);
		table_cell(&table, "%s", lagging);
	}
	table_print(&table, stdout);
	table_finish(&table);
}

static void print_warnings(const struct operator_status *status)
{
	char versions[VERSIONS_TEXT_SIZE];
	uint32_t i;

	for (i = 0; i < status->data_centre_count; i++) {
		const struct status_data_centre *dc = &status->data_centres[i];

		if (dc->version_count < 2)
			continue;
		versions_text(dc, versions);
		printf("%s is at mixed versions: %s\n", dc->name, versions);
	}
	for (i = 0; i < status->data_centre_count; i++)
		if (!status->data_centres[i].reachable)
			printf("%s cannot be reached from here; last heard of "
			       "%lld ms ago\n",
			       status->data_centres[i].name,
			       (long long)status->data_centres[i].heard_ms);
}

static void print_status(const struct operator_status *status)
{
	printf("node %s in %s of %s: version %llu", status->instance,
	       status->data_centre, status->deployment,
	       (unsigned long long)status->version);
	if (status->seen_version > status->version)
		printf(", has heard of %llu",
		       (unsigned long long)status->seen_version);
	printf("%s%s\n", status->leaving ? ", leaving" : "",
	       status->platform_reachable ? "" : ", platform not in reach");
	if (*status->reason)
		printf("why not newer: %s\n", status->reason);
	print_data_centres(status);
	print_warnings(status);
}

static bool request_status(struct remote *remote, struct remote_answer *answer,
			   struct operator_status *status)
{
	struct remote_request request = {
		.method = "GET",
		.path = "/v1/status",
	};

	if (!remote_call(remote, &request, answer))
		return false;
	if (status_from_json(answer->json, status, &answer->err))
		return true;
	/* remote_report() must print the parse error, not the answer. */
	remote_answer_finish(answer);
	answer->status = EXIT_STATUS_FAILED;
	return false;
}

static void pause_ms(struct remote *remote, int64_t wait_ms)
{
	int64_t until_us = clock_monotonic_us() + wait_ms * US_PER_MS;

	while (clock_monotonic_us() < until_us)
		loop_turn(&remote->loop, until_us - clock_monotonic_us());
}

/* Polls until the version is applied, the time is up or a request fails. */
static bool poll_status(struct remote *remote, uint64_t version,
			int64_t timeout_ms, struct remote_answer *answer,
			struct operator_status *status)
{
	int64_t end_us = clock_monotonic_us() + timeout_ms * US_PER_MS;

	for (;;) {
		if (!request_status(remote, answer, status))
			return false;
		if (!version || status_applied(status, version))
			return true;
		if (clock_monotonic_us() + (int64_t)POLL_MS * US_PER_MS >=
		    end_us) {
			answer->status = EXIT_STATUS_TIMEOUT;
			return true;
		}
		remote_answer_finish(answer);
		pause_ms(remote, POLL_MS);
	}
}

static int show(struct remote *remote, const struct arguments *args,
		uint64_t version, int64_t timeout_ms)
{
	struct operator_status status;
	struct remote_answer answer;
	int result;

	if (!poll_status(remote, version, timeout_ms, &answer, &status)) {
		result = remote_report(remote, args, &answer);
		remote_answer_finish(&answer);
		return result;
	}
	result = answer.status;
	if (args->json->count)
		remote_print_json(answer.json);
	else
		print_status(&status);
	if (result == EXIT_STATUS_TIMEOUT)
		fprintf(stderr,
			"status: version %llu is not in force everywhere after "
			"%lld ms\nwhat to do: geraniumplank dump spread --node "
			"of a straggler tells why\n",
			(unsigned long long)version, (long long)timeout_ms);
	remote_answer_finish(&answer);
	return result;
}

int command_status(int argc, char **argv)
{
	struct arg_str *wait = arg_str0(NULL, "wait", "VERSION",
					"wait until it is in force everywhere");
	struct arg_str *timeout = arg_str0(NULL, "timeout-ms", "N",
					   "longest wait (default 30000)");
	struct error err = ERROR_INIT;
	struct arguments args;
	struct remote remote;
	uint64_t version;
	uint64_t timeout_ms;
	int status = EXIT_STATUS_USAGE;

	arguments_init(&args, "status", summary, ARGUMENTS_REMOTE);
	arguments_add(&args, wait);
	arguments_add(&args, timeout);
	if (arguments_parse(&args, argc, argv, &status) &&
	    arguments_number(&args, wait, INT64_MAX, 0, &version) &&
	    arguments_number(&args, timeout, WAIT_MAX_MS, 30000, &timeout_ms)) {
		if (remote_init(&remote, &args, &err)) {
			status = show(&remote, &args, version,
				      (int64_t)timeout_ms);
			remote_finish(&remote);
		} else {
			status = arguments_usage(&args, "%s", err.text);
		}
	}
	arguments_finish(&args);
	return status;
}
