#include "os/clock.h"
#include "spread/spread_defs.h"

static json_t *dump_sources(const struct spread *spread)
{
	char text[ADDRESS_TEXT_SIZE];
	json_t *list = json_array();
	uint32_t i;

	for (i = 0; i < SPREAD_SOURCES_MAX; i++) {
		const struct spread_source *source = &spread->sources[i];

		if (source->version <= spread_version(spread))
			continue;
		json_array_append_new(
			list,
			json_pack("{s:s, s:I}", "address",
				  address_format(&source->address, text),
				  "version", (json_int_t)source->version));
	}
	return list;
}

static json_t *dump_counts(const struct spread_counts *counts)
{
	const struct {
		const char *name;
		uint64_t value;
	} values[] = {
		{ "pulls", counts->pulls },
		{ "pulls_failed", counts->pulls_failed },
		{ "heads_sent", counts->heads_sent },
		{ "bodies_sent", counts->bodies_sent },
		{ "bodies_received", counts->bodies_received },
		{ "bodies_unwanted", counts->bodies_unwanted },
		{ "busy_sent", counts->busy_sent },
		{ "busy_received", counts->busy_received },
		{ "refused", counts->refused },
		{ "malformed", counts->malformed },
	};
	json_t *json = json_object();
	size_t i;

	for (i = 0; i < sizeof(values) / sizeof(values[0]); i++)
		json_object_set_new(json, values[i].name,
				    json_integer((json_int_t)values[i].value));
	return json;
}

static json_t *dump_pull(const struct spread *spread)
{
	const struct spread_pull *pull = &spread->pull;
	char text[ADDRESS_TEXT_SIZE];

	if (!pull->active)
		return json_null();
	return json_pack(
		"{s:s, s:I, s:b, s:I}", "from",
		address_format(&pull->from, text), "version",
		(json_int_t)pull->version, "whole", (int)pull->full_head,
		"for_ms",
		(json_int_t)((spread->now_us - pull->begun_us) / US_PER_MS));
}

json_t *spread_dump(const struct spread *spread)
{
	json_t *json = json_object();

	json_object_set_new(json, "version",
			    json_integer((json_int_t)spread_version(spread)));
	json_object_set_new(json, "pull", dump_pull(spread));
	json_object_set_new(json, "tellers", dump_sources(spread));
	json_object_set_new(json, "refused_version",
			    json_integer((json_int_t)spread->refused_version));
	json_object_set_new(json, "counts", dump_counts(&spread->counts));
	return json;
}
