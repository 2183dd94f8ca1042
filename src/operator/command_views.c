#include <stdio.h>
#include <string.h>

#include "operator/arguments.h"
#include "operator/command.h"
#include "operator/remote.h"
#include "operator/table.h"

enum { PATH_SIZE = 512 };

static const char health_summary[] =
	"Says in words what is wrong with the node that is asked and what to\n"
	"do about it. Status 1 if something is bad; warnings end with 0.";

static const char dump_summary[] =
	"Prints the whole state of the node as JSON, or one section of it:\n"
	"versions, routes, pools, members, leases, calls in progress, limits\n"
	"and budgets. An unknown section lists those that there are.";

static const char counters_summary[] =
	"Prints the node's counters and the quantiles of its histograms.";

static const char *text_of(const json_t *json, const char *name)
{
	const char *text = json_string_value(json_object_get(json, name));

	return text ? text : "";
}

static long long number_of(const json_t *json, const char *name)
{
	return json_integer_value(json_object_get(json, name));
}

static void print_health(const json_t *json)
{
	const json_t *list = json_object_get(json, "checks");
	const json_t *check;
	size_t i;

	printf("node %s: %s\n", text_of(json, "instance"),
	       text_of(json, "state"));
	json_array_foreach(list, i, check) {
		printf("  %-5s %s", text_of(check, "state"),
		       text_of(check, "name"));
		if (*text_of(check, "text"))
			printf(": %s", text_of(check, "text"));
		putchar('\n');
		if (*text_of(check, "todo"))
			printf("        what to do: %s\n",
			       text_of(check, "todo"));
	}
}

int command_health(int argc, char **argv)
{
	struct arguments args;
	json_t *json;
	int status;

	arguments_init(&args, "health", health_summary, ARGUMENTS_REMOTE);
	if (arguments_parse(&args, argc, argv, &status)) {
		json = remote_get(&args, "/v1/health", true, &status);
		if (json && args.json->count)
			remote_print_json(json);
		else if (json)
			print_health(json);
		/* 503 of a bad check does not mean an unreachable node. */
		if (json && !strcmp(text_of(json, "state"), "bad"))
			status = EXIT_STATUS_FAILED;
		json_decref(json);
	}
	arguments_finish(&args);
	return status;
}

int command_dump(int argc, char **argv)
{
	struct arg_str *section =
		arg_str0(NULL, NULL, "SECTION", "one section (default: all)");
	char path[PATH_SIZE];
	struct arguments args;
	json_t *json;
	int status;

	arguments_init(&args, "dump", dump_summary, ARGUMENTS_REMOTE);
	arguments_add(&args, section);
	if (arguments_parse(&args, argc, argv, &status)) {
		snprintf(path, sizeof(path), "/v1/dump%s",
			 section->count ? "/" : "");
		if (section->count &&
		    !remote_append_segment(path, sizeof(path),
					   section->sval[0])) {
			status = arguments_usage(&args, "SECTION is too long");
		} else {
			json = remote_get(&args, path, false, &status);
			if (json)
				remote_print_json(json);
			json_decref(json);
		}
	}
	arguments_finish(&args);
	return status;
}

static void print_counters(const json_t *json)
{
	static const char *const titles[] = { "COUNTER", "VALUE", "MEANING",
					      NULL };
	const json_t *help = json_object_get(json, "help");
	struct table table;
	const char *name;
	json_t *value;

	table_init(&table, titles);
	json_object_foreach(json_object_get(json, "counters"), name, value) {
		table_cell(&table, "%s", name);
		table_cell(&table, "%lld",
			   (long long)json_integer_value(value));
		table_cell(&table, "%s", text_of(help, name));
	}
	table_print(&table, stdout);
	table_finish(&table);
}

static void print_histograms(const json_t *json)
{
	static const char *const titles[] = { "HISTOGRAM", "COUNT", "P50",
					      "P90",	   "P99",   "MEANING",
					      NULL };
	const json_t *help = json_object_get(json, "help");
	struct table table;
	const char *name;
	json_t *item;

	table_init(&table, titles);
	json_object_foreach(json_object_get(json, "histograms"), name, item) {
		table_cell(&table, "%s", name);
		table_cell(&table, "%lld", number_of(item, "count"));
		table_cell(&table, "%lld", number_of(item, "p50"));
		table_cell(&table, "%lld", number_of(item, "p90"));
		table_cell(&table, "%lld", number_of(item, "p99"));
		table_cell(&table, "%s", text_of(help, name));
	}
	table_print(&table, stdout);
	table_finish(&table);
}

int command_counters(int argc, char **argv)
{
	struct arguments args;
	json_t *json;
	int status;

	arguments_init(&args, "counters", counters_summary, ARGUMENTS_REMOTE);
	if (arguments_parse(&args, argc, argv, &status)) {
		json = remote_get(&args, "/v1/counters", false, &status);
		if (json && args.json->count) {
			remote_print_json(json);
		} else if (json) {
			print_counters(json);
			putchar('\n');
			print_histograms(json);
		}
		json_decref(json);
	}
	arguments_finish(&args);
	return status;
}
