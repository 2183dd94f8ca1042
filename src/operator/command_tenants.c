#include <stdio.h>
#include <string.h>

#include "operator/arguments.h"
#include "operator/command.h"
#include "operator/remote.h"
#include "operator/table.h"

static const char summary[] =
	"Shows the tenants of the version in force at the node that is asked:\n"
	"limit, rank, number of keys, what each has sent there since the node\n"
	"started, what was refused because of the limit, and the node that\n"
	"grants its requests. Keys and their digests are never shown.";

enum { CELL_SIZE = 32 };

static const char *text_of(const json_t *json, const char *name)
{
	const char *text = json_string_value(json_object_get(json, name));

	return text ? text : "";
}

static long long number_of(const json_t *json, const char *name)
{
	return json_integer_value(json_object_get(json, name));
}

/* Returns the answer with only the tenant @name, as a new reference; NULL if
 * there is none. */
static json_t *select_tenant(const json_t *json, const char *name)
{
	const json_t *list = json_object_get(json, "tenants");
	json_t *tenant;
	json_t *copy;
	size_t i;

	json_array_foreach(list, i, tenant) {
		if (strcmp(text_of(tenant, "name"), name) != 0)
			continue;
		copy = json_copy((json_t *)json);
		json_object_set_new(copy, "tenants", json_pack("[O]", tenant));
		return copy;
	}
	return NULL;
}

static const char *limit_text(const json_t *tenant, const char *name,
			      char text[CELL_SIZE])
{
	double limit = json_number_value(json_object_get(tenant, "per_s"));

	if (limit > 0)
		snprintf(text, CELL_SIZE, "%g",
			 json_number_value(json_object_get(tenant, name)));
	else
		snprintf(text, CELL_SIZE, "-");
	return text;
}

static const char *rank_text(const json_t *tenant, char text[CELL_SIZE])
{
	const json_t *rank = json_object_get(tenant, "priority");

	if (json_is_integer(rank))
		snprintf(text, CELL_SIZE, "%lld",
			 (long long)json_integer_value(rank));
	else
		snprintf(text, CELL_SIZE, "-");
	return text;
}

static void add_row(struct table *table, const json_t *tenant)
{
	char text[CELL_SIZE];

	table_cell(table, "%s", text_of(tenant, "name"));
	table_cell(table, "%s", limit_text(tenant, "per_s", text));
	table_cell(table, "%s", limit_text(tenant, "burst", text));
	table_cell(table, "%s", rank_text(tenant, text));
	table_cell(table, "%lld", number_of(tenant, "keys"));
	table_cell(table, "%lld", number_of(tenant, "requests"));
	table_cell(table, "%lld", number_of(tenant, "refused"));
	table_cell(table, "%lld", number_of(tenant, "waiting"));
	table_cell(table, "%s",
		   *text_of(tenant, "owner") ? text_of(tenant, "owner") : "-");
}

static void print_tenants(const json_t *json)
{
	static const char *const titles[] = { "TENANT",	 "PER S",   "BURST",
					      "RANK",	 "KEYS",    "REQUESTS",
					      "REFUSED", "WAITING", "OWNER",
					      NULL };
	const json_t *list = json_object_get(json, "tenants");
	const json_t *tenant;
	struct table table;
	size_t i;

	if (!json_is_true(json_object_get(json, "checks_keys"))) {
		puts("the configuration has no tenants; no key is asked for");
		return;
	}
	table_init(&table, titles);
	json_array_foreach(list, i, tenant)
		add_row(&table, tenant);
	table_print(&table, stdout);
	if (json_is_true(json_object_get(json, "own_shares_only")))
		puts("no other data centre is reached: limits are kept by the "
		     "own part alone");
	if (!json_is_true(json_object_get(json, "keeps_limits")))
		puts("call.quotas is off: limits are not kept");
	table_finish(&table);
}

static int show(const struct arguments *args, const json_t *json)
{
	if (args->json->count)
		remote_print_json(json);
	else
		print_tenants(json);
	return EXIT_STATUS_OK;
}

static int show_one(const struct arguments *args, const json_t *json,
		    const char *name)
{
	json_t *one = select_tenant(json, name);
	int status = EXIT_STATUS_INVALID;

	if (one)
		status = show(args, one);
	else
		fprintf(stderr,
			"tenants: the version in force has no tenant \"%s\"\n",
			name);
	json_decref(one);
	return status;
}

int command_tenants(int argc, char **argv)
{
	struct arg_str *name =
		arg_str0(NULL, NULL, "NAME", "one tenant (default: all)");
	struct arguments args;
	json_t *json = NULL;
	json_t *answer;
	int status;

	arguments_init(&args, "tenants", summary, ARGUMENTS_REMOTE);
	arguments_add(&args, name);
	if (arguments_parse(&args, argc, argv, &status))
		json = remote_get(&args, "/v1/dump/tenants", false, &status);
	answer = json_object_get(json, "tenants");
	if (answer && name->count)
		status = show_one(&args, answer, name->sval[0]);
	else if (answer)
		status = show(&args, answer);
	json_decref(json);
	arguments_finish(&args);
	return status;
}
