#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "fleet/cluster.h"
#include "functional/profile.h"
#include "golden.h"

/* Sessions of an operator with real nodes; golden_test.c tests only the
 * operator interface. */

enum { WAIT_MS = 20000, ARGS_MAX = 12, OUTPUT_SIZE = 32 * 1024 };

static struct cluster cluster;
static struct buffer transcript;
static char profile_path[160];

static void append(const char *text)
{
	buffer_append(&transcript, text, strlen(text));
}

static void append_note(const char *text)
{
	append("# ");
	append(text);
	append("\n");
}

static int run_command(const char *line, char *output)
{
	const char *args[ARGS_MAX + 1] = { NULL };
	char copy[256];
	char *rest = NULL;
	char *arg;
	int count = 0;

	snprintf(copy, sizeof(copy), "%s", line);
	for (arg = strtok_r(copy, " ", &rest); arg && count < ARGS_MAX;
	     arg = strtok_r(NULL, " ", &rest))
		args[count++] = !strcmp(arg, "@profile") ? profile_path : arg;
	return process_run("geraniumplank", args, output, OUTPUT_SIZE);
}

/* Runs a command against node @i and appends its output to the transcript. */
static void run(uint32_t i, const char *line)
{
	static char output[OUTPUT_SIZE];
	char result[32];
	int status;

	setenv("GERANIUMPLANK_NODE", cluster.nodes[i].operator_address, 1);
	status = run_command(line, output);
	append("$ geraniumplank ");
	append(line);
	append("\n");
	append(output);
	snprintf(result, sizeof(result), "[status %d]\n\n", status);
	append(result);
}

/* Repeats a command, without the transcript, until it prints @text: the effect
 * of an earlier command may be delayed. */
static void wait_for(uint32_t i, const char *line, const char *text)
{
	static char output[OUTPUT_SIZE];
	int polls;

	setenv("GERANIUMPLANK_NODE", cluster.nodes[i].operator_address, 1);
	for (polls = 0; polls < WAIT_MS / 50; polls++) {
		run_command(line, output);
		if (strstr(output, text))
			return;
		usleep(50000);
	}
	cr_assert_fail("%s did not print \"%s\" in time:\n%s", line, text,
		       output);
}

static void write_profile(void)
{
	FILE *file;

	snprintf(profile_path, sizeof(profile_path), "%s/profile.toml",
		 cluster.dir);
	file = fopen(profile_path, "we");
	cr_assert_not_null(file);
	fputs(functional_profile, file);
	fclose(file);
}

static void start(void)
{
	struct cluster_options options = {
		.centres = 2,
		.nodes = 4,
		.services = { "cellar-view", "seal-desk" },
		.profile = "default",
	};

	cr_assert(cluster_start(&cluster, &options));
	cr_assert(cluster_wait_members(&cluster, 4, WAIT_MS));
	write_profile();
	setenv("GERANIUMPLANK_AUTHOR", "linh", 1);
}

static void stop(void)
{
	cluster_stop(&cluster);
	buffer_finish(&transcript);
}

static void expect_golden(const char *name)
{
	struct buffer difference = { 0 };
	bool matches;

	buffer_append(&transcript, "", 1);
	matches = golden_matches(name, (const char *)buffer_data(&transcript),
				 &difference);
	cr_assert(matches, "golden/%s.txt differs:\n%s", name,
		  matches ? "" : (const char *)buffer_data(&difference));
	buffer_finish(&difference);
}

Test(golden_nodes, from_an_empty_store_through_a_partition, .init = start,
     .fini = stop, .timeout = 120)
{
	append_note("nothing was ever accepted");
	run(0, "health");
	run(0, "profile put default @profile");
	run(0, "profile accept default --id first");
	run(1, "status --wait 1");
	run(3, "health");
	wait_for(0, "status", "dc-2         yes        2      0            1 ");
	append_note(
		"a data centre is cut off; a version is accepted in the other");
	cluster_partition(&cluster, 1, true);
	wait_for(0, "status", "cannot be reached");
	run(0, "profile revert default --to 1 --id same");
	run(0, "profile remove default");
	run(0, "profile accept default --id second");
	run(0, "status --wait 2");
	run(0, "health");
	append_note("and back");
	cluster_partition(&cluster, 1, false);
	wait_for(0, "health", "ok    drill");
	wait_for(0, "status", "dc-2         yes        2      0            2 ");
	wait_for(3, "status", "dc-1         yes        2      0            2 ");
	run(3, "status --wait 2");
	run(3, "profile history");
	expect_golden("nodes");
}
