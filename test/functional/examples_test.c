#include <criterion/criterion.h>
#include <dirent.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "call/calls.h"
#include "fleet/cluster.h"
#include "node/leaving.h"
#include "node/settings.h"

/*
 * Runs the shipped examples: each node with its settings and an upstream, and
 * the accepted profile. Only ports and addresses are replaced, because tests
 * let the kernel assign ports.
 */

enum { NODES_MAX = 16, WAIT_MS = 30000, TEXT_SIZE = 8192, PATH_SIZE = 2048 };

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))

struct example {
	const char *name;
	uint32_t nodes;
	const char *slots;
	const char *paths[4]; /* "service path", one GET each */
};

static struct cluster cluster;

static int compare_names(const void *a, const void *b)
{
	return strcmp(a, b);
}

static uint32_t list_settings(const char *dir, char (*names)[64])
{
	struct dirent *entry;
	uint32_t count = 0;
	DIR *handle = opendir(dir);

	cr_assert_not_null(handle, "%s", dir);
	while ((entry = readdir(handle))) {
		if (!strstr(entry->d_name, ".toml") ||
		    !strcmp(entry->d_name, "profile.toml"))
			continue;
		cr_assert_lt(count, NODES_MAX);
		snprintf(names[count++], 64, "%.63s", entry->d_name);
	}
	closedir(handle);
	qsort(names, count, 64, compare_names);
	return count;
}

/* Copies the settings line of a listener with its port replaced by 0. */
static void copy_listener(const char *line, FILE *out)
{
	const char *colon = strrchr(line, ':');

	fprintf(out, "%.*s:0\"\n", (int)(colon - line), line);
}

static bool is_listener(const char *line)
{
	return !strncmp(line, "peer =", 6) || !strncmp(line, "caller =", 8) ||
	       !strncmp(line, "upstream =", 10) ||
	       !strncmp(line, "operator =", 10);
}

/* Writes the settings of node @i with the addresses of this test run. */
static void write_copy(const char *from, uint32_t i)
{
	struct cluster_node *node = &cluster.nodes[i];
	FILE *in = fopen(from, "re");
	char line[512];
	bool seeds = false;
	FILE *out;
	uint32_t j;

	snprintf(node->settings_path, sizeof(node->settings_path),
		 "%s/node-%u.toml", cluster.dir, i);
	out = fopen(node->settings_path, "we");
	cr_assert(in && out, "%s", from);
	while (fgets(line, sizeof(line), in)) {
		if (!strncmp(line, "seeds = [", 9)) {
			seeds = true;
			fputs("seeds = [", out);
			for (j = 0; j < i; j++)
				fprintf(out, "\"%s\", ", cluster.nodes[j].peer);
			fputs("]\n", out);
		} else if (is_listener(line)) {
			copy_listener(line, out);
		} else if (!strncmp(line, "address =", 9)) {
			fprintf(out, "address = \"%s\"\n",
				cluster.platform_address);
		} else if (!seeds) {
			fputs(line, out);
		}
		if (seeds && strchr(line, ']'))
			seeds = false;
	}
	fclose(in);
	fclose(out);
}

static void start_node(const char *dir, const char *name, uint32_t i)
{
	struct cluster_node *node = &cluster.nodes[i];
	const char *args[] = { "node", "--settings", node->settings_path,
			       NULL };
	char path[PATH_SIZE];

	snprintf(path, sizeof(path), "%s/%s", dir, name);
	write_copy(path, i);
	/* "seal-desk-2.toml" is the node of an upstream of seal-desk. */
	snprintf(node->service, sizeof(node->service), "%.*s",
		 (int)(strrchr(name, '-') - name), name);
	snprintf(node->instance, sizeof(node->instance), "%.*s",
		 (int)(strrchr(name, '.') - name), name);
	snprintf(path, sizeof(path), "%s/node-%u.log", cluster.dir, i);
	cr_assert(process_start(&node->process, "geraniumplank", args, path));
	cr_assert(cluster_wait_node(&cluster, i), "%s", name);
}

static void start_platform(void)
{
	const char *args[] = { "platform", "--port", "0", NULL };
	char log[PATH_SIZE];

	snprintf(cluster.dir, sizeof(cluster.dir), "%s",
		 "/tmp/geraniumplank-XXXXXX");
	cr_assert_not_null(mkdtemp(cluster.dir));
	snprintf(log, sizeof(log), "%s/platform.log", cluster.dir);
	cr_assert(process_start(&cluster.platform, "standin", args, log));
	cr_assert(process_wait_ready(&cluster.platform, WAIT_MS));
	cr_assert(process_ready_text(&cluster.platform, "address",
				     cluster.platform_address, ENDPOINT_SIZE));
}

static char *read_file(const char *path)
{
	char *text = calloc(1, TEXT_SIZE * 2);
	FILE *file = fopen(path, "re");

	cr_assert_not_null(file, "%s", path);
	cr_assert_lt(fread(text, 1, (size_t)TEXT_SIZE * 2 - 1, file),
		     TEXT_SIZE * 2 - 1);
	fclose(file);
	return text;
}

static void run_example(const struct example *example)
{
	char names[NODES_MAX][64];
	char path[PATH_SIZE];
	char dir[64];
	uint32_t count;
	uint32_t i;
	char *text;

	memset(&cluster, 0, sizeof(cluster));
	cluster.options.upstream_args[0] = "--slots";
	cluster.options.upstream_args[1] = example->slots;
	snprintf(dir, sizeof(dir), "examples/%s", example->name);
	count = list_settings(dir, names);
	cr_assert_eq(count, example->nodes, "%s", example->name);
	start_platform();
	for (i = 0; i < count; i++) {
		cluster.node_count = i + 1;
		cluster.nodes[i].profile = example->name;
		start_node(dir, names[i], i);
		cr_assert(cluster_start_upstream(&cluster, i));
	}
	cr_assert(cluster_wait_members(&cluster, count, WAIT_MS));
	snprintf(path, sizeof(path), "%s/profile.toml", dir);
	text = read_file(path);
	cr_assert_eq(cluster_accept(&cluster, 0, example->name, text), 1);
	free(text);
	cr_assert(cluster_wait_version(&cluster, -1, 1, WAIT_MS));
	for (i = 0; example->paths[i]; i++) {
		struct fetch fetch = { .method = "GET" };
		char service[64];

		sscanf(example->paths[i], "%63s %2047s", service, path);
		cr_assert(cluster_call(&cluster, i, service, &fetch, path));
		cr_assert_eq(fetch.status, 200, "%s: %ld %s", example->paths[i],
			     fetch.status, fetch.answer ? fetch.answer : "");
		fetch_finish(&fetch);
	}
	cluster_stop(&cluster);
}

Test(examples, run_as_shipped_at_the_users_sizes, .timeout = 200)
{
	static const struct example examples[] = {
		{ .name = "cellar",
		  .nodes = 12,
		  .slots = "9",
		  .paths = { "cellar-view /cellars/7", "seal-desk /seals/1",
			     "log-archive /seasons/3" } },
		{ .name = "quillgate",
		  .nodes = 11,
		  .slots = "6",
		  .paths = { "open-calls /calls/1",
			     "manuscript-ledger /manuscripts/4",
			     "decision-desk /digests/2" } },
	};
	size_t i;

	for (i = 0; i < sizeof(examples) / sizeof(examples[0]); i++)
		run_example(&examples[i]);
}

/* Fields with which the platform completes deploy/node.toml, and their values
 * as TOML. */
static const struct {
	const char *field;
	const char *value;
} platform_fields[] = {
	{ "zone|json", "\"hall\"" },
	{ "node_id|json", "\"side-1\"" },
	{ "service|json", "\"huvo\"" },
	{ "bootstrap", "true" },
	{ "limits.link_mbps", "1000" },
	{ "ip", "127.0.0.1" },
	{ "port_range.0", "1" },
	{ "listen.outbound|json", "\"127.0.0.1:2\"" },
	{ "listen.control|json", "\"127.0.0.1:3\"" },
	{ "listen.ready|json", "\"127.0.0.1:4\"" },
	{ "provider.address|json", "\"127.0.0.1:5\"" },
	{ "app_addr|json", "\"127.0.0.1:6\"" },
	{ "bounds.budget_slack", "58" },
	{ "bounds.budget_window_s", "10" },
	{ "bounds.grace_s", "6" },
	{ "heartbeat_interval_s", "1.5" },
};

/**
 * struct given - what the platform gives
 * @missing: field without a value; NULL for none
 * @grace_s: value of bounds.grace_s; NULL for the usual one
 * @drops_lines: drops lines that hold a mark of a section, and keeps the others
 *	of each section
 */
struct given {
	const char *missing;
	const char *grace_s;
	bool drops_lines;
};

static const char *value_of(const struct given *given, const char *field)
{
	size_t i;

	if (given->missing && !strcmp(field, given->missing))
		return NULL;
	if (given->grace_s && !strcmp(field, "bounds.grace_s"))
		return given->grace_s;
	for (i = 0; i < COUNT(platform_fields); i++)
		if (!strcmp(field, platform_fields[i].field))
			return platform_fields[i].value;
	cr_assert_fail("the test lacks the field %s", field);
	return NULL;
}

/* Appends the part of the template up to @end, completed. */
static void complete(const struct given *given, char *out, const char *at,
		     const char *end)
{
	while (at < end) {
		const char *mark = strstr(at, "{{");
		const char *close;
		const char *value;
		char field[64];
		char section_end[80];

		if (!mark || mark >= end)
			mark = end;
		strncat(out, at, (size_t)(mark - at));
		if (mark == end)
			return;
		close = strstr(mark, "}}");
		cr_assert_not_null(close);
		snprintf(field, sizeof(field), "%.*s", (int)(close - mark - 2),
			 mark + 2);
		at = close + 2;
		if (field[0] != '#' && field[0] != '^') {
			value = value_of(given, field);
			strncat(out, value ? value : "", TEXT_SIZE / 8);
			continue;
		}
		snprintf(section_end, sizeof(section_end), "{{/%s}}",
			 field + 1);
		close = strstr(at, section_end);
		cr_assert_not_null(close);
		if (!value_of(given, field + 1) == (field[0] == '^'))
			complete(given, out, at, close);
		at = close + strlen(section_end);
	}
}

/* Removes the lines that hold a mark of a section. */
static void drop_marks(char *text)
{
	char *line = text;

	while (*line) {
		char *next = strchr(line, '\n') + 1;
		char *mark = strstr(line, "{{");

		while (mark && mark < next && !strchr("#^/", mark[2]))
			mark = strstr(mark + 2, "{{");
		if (mark && mark < next)
			memmove(line, next, strlen(next) + 1);
		else
			line = next;
	}
}

/* Reads the settings as the platform completes them. */
static void read_deployed(struct settings *settings, const struct given *given)
{
	char *template = read_file("deploy/node.toml");
	static char text[TEXT_SIZE];
	struct faults faults = { 0 };

	cr_assert_lt(strlen(template), sizeof(text) / 2);
	if (given->drops_lines)
		drop_marks(template);
	text[0] = '\0';
	complete(given, text, template, template + strlen(template));
	cr_assert(settings_parse(settings, text, strlen(text), &faults),
		  "without %s, %u: %s", given->missing ? given->missing : "-",
		  faults.items[0].line, faults.items[0].text);
	free(template);
}

/* Guards against a node that refuses its settings because the platform gives no
 * value for a field, or drops the lines around a section. */
Test(examples, deployed_settings_are_valid_without_each_optional_value)
{
	static const char *const fields[] = {
		NULL,
		"bounds.grace_s",
		"bounds.budget_slack",
		"bounds.budget_window_s",
		"heartbeat_interval_s",
	};
	size_t i;

	for (i = 0; i < COUNT(fields); i++) {
		const struct given given = { .missing = fields[i] };
		struct settings settings;

		read_deployed(&settings, &given);
		cr_expect_eq(settings.call.linger_ms, 2300, "without %s",
			     fields[i] ? fields[i] : "-");
	}
	for (i = 0; i < 2; i++) {
		const struct given given = { .drops_lines = true,
					     .grace_s = i ? "6" : NULL };
		struct settings settings;

		read_deployed(&settings, &given);
		cr_expect_eq(settings.call.linger_ms, 2300);
		cr_expect_eq(settings.call.retry_slack, 58);
	}
}

/*
 * Guards against a drain time that is shorter than the deadlines of callers,
 * and against a shutdown that is longer than the grace period, after which the
 * platform kills the node. Work in progress may take five sixths of it.
 */
Test(examples, deployed_drain_times_suit_deadlines_and_the_grace_period)
{
	enum { SLACK_MS = 300 };
	static const struct {
		const char *grace_s; /* NULL: not named */
		long grace_ms;
		long work_ms;
	} cases[] = {
		{ NULL, 6000, 6000 / 6 * 5 }, { "6", 6000, 6000 / 6 * 5 },
		{ "10", 10000, 9000 },	      { "30", 30000, 29000 },
		{ "7.5", 7500, 6500 },	      { "4", 4000, 3000 },
		{ "3", 3000, 2000 },
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct settings settings;
		long work_ms;

		read_deployed(&settings,
			      &(struct given){
				      .grace_s = cases[i].grace_s,
				      .missing = cases[i].grace_s
							 ? NULL
							 : "bounds.grace_s" });
		work_ms = settings.call.linger_ms + settings.call.drain_ms;
		cr_expect_geq(work_ms, cases[i].work_ms, "case %zu: %ld ms", i,
			      work_ms);
		cr_expect_leq(work_ms + CALLS_DRAIN_FLUSH_MS +
				      LEAVING_DATAGRAMS_MS,
			      cases[i].grace_ms - SLACK_MS, "case %zu: %ld ms",
			      i, work_ms);
	}
}

/* Guards against other times of a stop with a grace period of 6 s. */
Test(examples, deployed_times_of_a_stop_within_six_seconds)
{
	static const char *const cases[] = { NULL, "6" };
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct settings settings;

		read_deployed(&settings,
			      &(struct given){
				      .grace_s = cases[i],
				      .missing = cases[i] ? NULL
							  : "bounds.grace_s" });
		cr_expect_eq(settings.call.linger_ms, 2300, "case %zu", i);
		cr_expect_eq(settings.call.keep_upstream_ms, 2000, "case %zu",
			     i);
		cr_expect_eq(settings.call.drain_ms, 2700, "case %zu", i);
	}
}
