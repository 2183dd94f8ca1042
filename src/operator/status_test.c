#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#include "operator/status.h"
#include "operator/table.h"
#include "operator/target.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

static void add_data_centre(struct operator_status *status, const char *name,
			    bool reachable, uint32_t nodes, uint64_t lowest)
{
	struct status_data_centre *dc =
		&status->data_centres[status->data_centre_count++];

	snprintf(dc->name, sizeof(dc->name), "%s", name);
	dc->reachable = reachable;
	dc->nodes = nodes;
	dc->lowest = lowest;
	dc->highest = lowest + 1;
	dc->versions[0] = (struct status_version){ lowest + 1, nodes - 1 };
	dc->versions[1] = (struct status_version){ lowest, 1 };
	dc->version_count = 2;
	snprintf(dc->lagging[0], NAME_SIZE, "%s-slow", name);
	dc->lagging_count = 1;
	dc->heard_ms = 12;
}

Test(operator_status, json_is_read_back_as_written)
{
	struct operator_status status = {
		.deployment = "cellar",
		.data_centre = "hcm-1",
		.instance = "seal-desk-1",
		.incarnation = 1764000000000,
		.version = 9,
		.seen_version = 10,
		.chain = "ab",
		.reason = "a body is missing",
		.members = 12,
		.services = 3,
		.platform_reachable = true,
	};
	struct error err = ERROR_INIT;
	struct operator_status parsed;
	json_t *json;

	add_data_centre(&status, "hcm-1", true, 4, 9);
	add_data_centre(&status, "hcm-2", false, 3, 8);
	json = status_to_json(&status);
	cr_assert_not_null(json);
	cr_assert(status_from_json(json, &parsed, &err));
	cr_assert_arr_eq(&parsed, &status, sizeof(parsed));
	json_decref(json);
}

Test(operator_status, data_centres_are_sorted_by_name)
{
	struct operator_status status = { .data_centre_count = 0 };

	add_data_centre(&status, "hcm-2", true, 4, 9);
	add_data_centre(&status, "hcm-1", false, 3, 8);
	status_sort(&status);
	cr_assert_str_eq(status.data_centres[0].name, "hcm-1");
	cr_assert_eq(status.data_centres[0].lowest, 8);
	cr_assert_str_eq(status.data_centres[1].name, "hcm-2");
}

Test(operator_status, applied_means_every_reachable_node)
{
	static const struct {
		uint64_t lowest[2];
		uint32_t nodes[2];
		bool reachable[2];
		bool applied;
	} cases[] = {
		{ { 5, 5 }, { 2, 2 }, { true, true }, true },
		{ { 5, 6 }, { 2, 2 }, { true, true }, true },
		{ { 5, 4 }, { 2, 2 }, { true, true }, false },
		{ { 0, 5 }, { 2, 2 }, { true, true }, false },
		{ { 5, 4 }, { 2, 2 }, { true, false }, true },
		{ { 5, 0 }, { 2, 0 }, { true, true }, true },
		{ { 5, 5 }, { 2, 2 }, { false, false }, false },
	};
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		struct operator_status status = { .data_centre_count = 0 };
		int dc;

		for (dc = 0; dc < 2; dc++)
			add_data_centre(&status, dc ? "b" : "a",
					cases[i].reachable[dc],
					cases[i].nodes[dc],
					cases[i].lowest[dc]);
		cr_assert_eq(status_applied(&status, 5), cases[i].applied,
			     "case %zu", i);
	}
}

Test(operator_status, json_without_a_status_is_rejected)
{
	static const char *const texts[] = { "{}", "{\"data_centres\":3}", "[]",
					     "{\"data_centres\":{}}" };
	struct operator_status status;
	size_t i;

	for (i = 0; i < COUNT(texts); i++) {
		struct error err = ERROR_INIT;
		json_t *json = json_loads(texts[i], 0, NULL);

		cr_assert_not(status_from_json(json, &status, &err));
		cr_assert_eq(err.code, ERROR_PROTOCOL);
		json_decref(json);
	}
}

Test(operator_target, paths)
{
	static const struct {
		const char *path;
		bool valid;
		enum resource resource;
		const char *name;
	} cases[] = {
		{ "/v1/status", true, RESOURCE_STATUS, "" },
		{ "/v1/profiles/a", true, RESOURCE_PROFILES, "a" },
		{ "/v1/profiles/a/draft", true, RESOURCE_DRAFT, "a" },
		{ "/v1/profiles/a/accept", true, RESOURCE_ACCEPT, "a" },
		{ "/v1/accept", true, RESOURCE_ACCEPT, "" },
		{ "/v1/history", true, RESOURCE_HISTORY, "" },
		{ "/v1/profiles/a/history", true, RESOURCE_HISTORY, "a" },
		{ "/v1/profiles/", false, 0, "" },
		{ "/v1/profiles//draft", false, 0, "" },
		{ "/v1/profiles/a/", false, 0, "" },
		{ "/v1/profiles/a/status", false, 0, "" },
		{ "/v1/profiles/a/draft/x", false, 0, "" },
		{ "/v1/dump/a/draft", false, 0, "" },
		{ "/v1/draft", false, 0, "" },
		{ "/v1/", false, 0, "" },
		{ "v1/status", false, 0, "" },
		{ "", false, 0, "" },
		{ "/v1/accept/a", false, 0, "" },
	};
	struct target target;
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		bool valid = target_parse(cases[i].path, &target);

		cr_assert_eq(valid, cases[i].valid, "%s", cases[i].path);
		if (!valid)
			continue;
		cr_assert_eq(target.resource, cases[i].resource);
		cr_assert_str_eq(target.name, cases[i].name);
	}
}

Test(operator_target, methods_are_whole_words)
{
	cr_assert(target_allows_method(RESOURCE_DRAFT, "GET"));
	cr_assert(target_allows_method(RESOURCE_DRAFT, "DELETE"));
	cr_assert_not(target_allows_method(RESOURCE_DRAFT, "DELE"));
	cr_assert_not(target_allows_method(RESOURCE_DRAFT, "ET"));
	cr_assert_not(target_allows_method(RESOURCE_DRAFT, ""));
	cr_assert_not(target_allows_method(RESOURCE_DRAFT, "GET, PUT"));
}

Test(operator_table, columns_are_as_wide_as_their_widest_cell)
{
	static const char *const titles[] = { "A", "LONG", "END", NULL };
	char text[256] = { 0 };
	struct table table;
	FILE *file = fmemopen(text, sizeof(text) - 1, "w");

	table_init(&table, titles);
	table_cell(&table, "Nguyễn");
	table_cell(&table, "1");
	table_cell(&table, "x");
	table_cell(&table, "y");
	table_cell(&table, "%s", "");
	table_cell(&table, "%s", "");
	table_print(&table, file);
	fclose(file);
	table_finish(&table);
	cr_assert_str_eq(text, "A       LONG  END\nNguyễn  1     x\ny\n");
}
