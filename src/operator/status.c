#include "operator/status.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static json_t *versions_to_json(const struct status_data_centre *dc)
{
	json_t *list = json_array();
	uint32_t i;

	for (i = 0; i < dc->version_count; i++)
		json_array_append_new(
			list,
			json_pack("{s:I,s:I}", "version",
				  (json_int_t)dc->versions[i].version, "nodes",
				  (json_int_t)dc->versions[i].nodes));
	return list;
}

static json_t *lagging_to_json(const struct status_data_centre *dc)
{
	json_t *list = json_array();
	uint32_t i;

	for (i = 0; i < dc->lagging_count; i++)
		json_array_append_new(list, json_string(dc->lagging[i]));
	return list;
}

static json_t *data_centre_to_json(const struct status_data_centre *dc)
{
	return json_pack("{s:s,s:b,s:I,s:I,s:I,s:I,s:o,s:o,s:I}", "name",
			 dc->name, "reachable", dc->reachable, "nodes",
			 (json_int_t)dc->nodes, "unreachable_nodes",
			 (json_int_t)dc->unreachable_nodes, "lowest",
			 (json_int_t)dc->lowest, "highest",
			 (json_int_t)dc->highest, "versions",
			 versions_to_json(dc), "stragglers",
			 lagging_to_json(dc), "heard_ms",
			 (json_int_t)dc->heard_ms);
}

json_t *status_to_json(const struct operator_status *status)
{
	json_t *list = json_array();
	uint32_t i;

	for (i = 0; i < status->data_centre_count; i++)
		json_array_append_new(
			list, data_centre_to_json(&status->data_centres[i]));
	return json_pack(
		"{s:s,s:s,s:s,s:I,s:I,s:I,s:s,s:s,s:I,s:I,s:b,s:b,s:o}",
		"deployment", status->deployment, "data_centre",
		status->data_centre, "instance", status->instance,
		"incarnation", (json_int_t)status->incarnation, "version",
		(json_int_t)status->version, "seen_version",
		(json_int_t)status->seen_version, "chain", status->chain,
		"reason", status->reason, "members",
		(json_int_t)status->members, "services",
		(json_int_t)status->services, "platform_reachable",
		status->platform_reachable, "leaving", status->leaving,
		"data_centres", list);
}

static void read_text(const json_t *json, const char *name, char *text,
		      size_t size)
{
	const char *value = json_string_value(json_object_get(json, name));

	snprintf(text, size, "%s", value ? value : "");
}

static uint64_t read_number(const json_t *json, const char *name)
{
	json_int_t value = json_integer_value(json_object_get(json, name));

	return value < 0 ? 0 : (uint64_t)value;
}

static void read_versions(const json_t *list, struct status_data_centre *dc)
{
	const json_t *item;
	size_t i;

	json_array_foreach(list, i, item) {
		if (i == STATUS_VERSIONS_MAX)
			return;
		dc->versions[i].version = read_number(item, "version");
		dc->versions[i].nodes = (uint32_t)read_number(item, "nodes");
		dc->version_count++;
	}
}

static void read_lagging(const json_t *list, struct status_data_centre *dc)
{
	const json_t *item;
	size_t i;

	json_array_foreach(list, i, item) {
		const char *name = json_string_value(item);

		if (i == STATUS_LAGGING_MAX)
			return;
		snprintf(dc->lagging[i], NAME_SIZE, "%s", name ? name : "");
		dc->lagging_count++;
	}
}

static void read_data_centre(const json_t *json, struct status_data_centre *dc)
{
	read_text(json, "name", dc->name, sizeof(dc->name));
	dc->reachable = json_is_true(json_object_get(json, "reachable"));
	dc->nodes = (uint32_t)read_number(json, "nodes");
	dc->unreachable_nodes =
		(uint32_t)read_number(json, "unreachable_nodes");
	dc->lowest = read_number(json, "lowest");
	dc->highest = read_number(json, "highest");
	read_versions(json_object_get(json, "versions"), dc);
	read_lagging(json_object_get(json, "stragglers"), dc);
	dc->heard_ms = (int64_t)read_number(json, "heard_ms");
}

bool status_from_json(const json_t *json, struct operator_status *status,
		      struct error *err)
{
	const json_t *list = json_object_get(json, "data_centres");
	const json_t *item;
	size_t i;

	memset(status, 0, sizeof(*status));
	if (!json_is_array(list) ||
	    json_array_size(list) > STATUS_DATA_CENTRES_MAX) {
		error_set(err, ERROR_PROTOCOL, "the answer is not a status");
		return false;
	}
	read_text(json, "deployment", status->deployment, NAME_SIZE);
	read_text(json, "data_centre", status->data_centre, NAME_SIZE);
	read_text(json, "instance", status->instance, NAME_SIZE);
	read_text(json, "chain", status->chain, sizeof(status->chain));
	read_text(json, "reason", status->reason, sizeof(status->reason));
	status->incarnation = read_number(json, "incarnation");
	status->version = read_number(json, "version");
	status->seen_version = read_number(json, "seen_version");
	status->members = (uint32_t)read_number(json, "members");
	status->services = (uint32_t)read_number(json, "services");
	status->platform_reachable =
		json_is_true(json_object_get(json, "platform_reachable"));
	status->leaving = json_is_true(json_object_get(json, "leaving"));
	json_array_foreach(list, i, item)
		read_data_centre(item, &status->data_centres[i]);
	status->data_centre_count = (uint32_t)json_array_size(list);
	return true;
}

static int compare_names(const void *a, const void *b)
{
	const struct status_data_centre *first = a;
	const struct status_data_centre *second = b;

	return strcmp(first->name, second->name);
}

void status_sort(struct operator_status *status)
{
	qsort(status->data_centres, status->data_centre_count,
	      sizeof(status->data_centres[0]), compare_names);
}

bool status_applied(const struct operator_status *status, uint64_t version)
{
	bool any = false;
	uint32_t i;

	for (i = 0; i < status->data_centre_count; i++) {
		const struct status_data_centre *dc = &status->data_centres[i];

		if (!dc->reachable || !dc->nodes)
			continue;
		if (dc->lowest < version)
			return false;
		any = true;
	}
	return any;
}
