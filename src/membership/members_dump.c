#include <utlist.h>

#include "membership/gossip.h"
#include "membership/members_defs.h"
#include "os/clock.h"

static const char *status_name(enum member_status status)
{
	static const char *const names[] = { "alive", "suspect", "unreachable",
					     "gone" };

	return names[status];
}

static json_t *integer(uint64_t value)
{
	return json_integer((json_int_t)value);
}

static json_t *ago_ms(const struct members *members, int64_t at_us)
{
	return at_us ? json_integer((members->now_us - at_us) / US_PER_MS)
		     : json_null();
}

static json_t *dump_record(const struct record *record)
{
	char text[ADDRESS_TEXT_SIZE];
	json_t *json = json_object();

	json_object_set_new(json, "instance", json_string(record->instance));
	json_object_set_new(
		json, "address",
		json_string(address_format(&record->address, text)));
	json_object_set_new(json, "service", json_string(record->service));
	json_object_set_new(json, "profile", json_string(record->profile));
	if (*record->version)
		json_object_set_new(json, "version",
				    json_string(record->version));
	json_object_set_new(json, "state",
			    json_string(upstream_state_name(record->state)));
	json_object_set_new(json, "slots", integer(record->slots));
	json_object_set_new(json, "incarnation", integer(record->incarnation));
	json_object_set_new(json, "sequence", integer(record->sequence));
	return json;
}

static json_t *dump_member(const struct members *members,
			   const struct member *member)
{
	const struct report *report = member->report;
	json_t *json = dump_record(&member->record);

	json_object_set_new(json, "status",
			    json_string(status_name(member->status)));
	json_object_set_new(json, "reachable",
			    json_boolean(members_reachable(members, member)));
	json_object_set_new(json, "changed_ms_ago",
			    ago_ms(members, member->changed_us));
	if (!report)
		return json;
	json_object_set_new(json, "applied", integer(report->applied.version));
	json_object_set_new(json, "heard_ms_ago",
			    ago_ms(members, report->received_us));
	if (!report->refused_version)
		return json;
	json_object_set_new(json, "refused", integer(report->refused_version));
	json_object_set_new(json, "reason", json_string(report->reason));
	return json;
}

json_t *members_summary_json(const struct summary *summary)
{
	json_t *json = json_object();
	json_t *versions = json_array();
	json_t *lagging = json_array();
	uint32_t i;

	for (i = 0; i < summary->count; i++)
		json_array_append_new(
			versions,
			json_pack("{s:I, s:I}", "version",
				  (json_int_t)summary->versions[i], "nodes",
				  (json_int_t)summary->nodes_at[i]));
	for (i = 0; i < summary->lagging_count; i++)
		json_array_append_new(lagging,
				      json_string(summary->lagging[i]));
	json_object_set_new(json, "lowest", integer(summary->lowest));
	json_object_set_new(json, "nodes", integer(summary->nodes));
	json_object_set_new(json, "versions", versions);
	json_object_set_new(json, "stragglers", lagging);
	return json;
}

static json_t *dump_centre(const struct members *members,
			   const struct data_centre *centre)
{
	json_t *json = json_object();
	json_t *list = json_array();
	struct summary summary;
	uint32_t i;

	json_object_set_new(json, "name", json_string(centre->name));
	json_object_set_new(json, "reachable", json_boolean(centre->reachable));
	json_object_set_new(json, "stamp", integer(centre->stamp));
	json_object_set_new(json, "word_ms_ago",
			    ago_ms(members, centre->current_at_us));
	if (members_summary(members, centre->name, &summary))
		json_object_set_new(json, "summary",
				    members_summary_json(&summary));
	for (i = 0; i < centre->count; i++)
		json_array_append_new(list,
				      dump_member(members, centre->members[i]));
	json_object_set_new(json, "members", list);
	return json;
}

static json_t *dump_counts(const struct members_counts *counts)
{
	const struct {
		const char *name;
		uint64_t value;
	} values[] = {
		{ "probes", counts->probes },
		{ "probes_failed", counts->probes_failed },
		{ "suspected", counts->suspected },
		{ "unreachable", counts->unreachable },
		{ "refuted", counts->refuted },
		{ "dead_told", counts->stale_refused },
		{ "malformed", counts->malformed },
		{ "syncs", counts->syncs },
		{ "records_synced", counts->records_synced },
		{ "busy_told", counts->busy_sent },
		{ "eager_sent", counts->eager_sent },
		{ "head_conflicts", counts->head_conflicts },
		{ "name_conflicts", counts->name_conflicts },
		{ "floor_held", counts->floor_held },
	};
	json_t *json = json_object();
	size_t i;

	for (i = 0; i < sizeof(values) / sizeof(values[0]); i++)
		json_object_set_new(json, values[i].name,
				    integer(values[i].value));
	return json;
}

json_t *members_dump(const struct members *members)
{
	const struct data_centre *centre;
	json_t *json = json_object();
	json_t *centres = json_array();

	LL_FOREACH(members->data_centres, centre)
		json_array_append_new(centres, dump_centre(members, centre));
	json_object_set_new(json, "self", dump_record(&members->self->record));
	json_object_set_new(json, "joined", json_boolean(members->joined));
	json_object_set_new(json, "linking", json_boolean(members->linking));
	json_object_set_new(json, "floor", json_boolean(members->floor_active));
	json_object_set_new(json, "health", integer(members->health));
	json_object_set_new(json, "rumors", integer(members->rumor_count));
	json_object_set_new(json, "forgotten",
			    integer(HASH_COUNT(members->tombstone)));
	json_object_set_new(json, "data_centres", centres);
	json_object_set_new(json, "counts", dump_counts(&members->counts));
	return json;
}

static json_t *dump_kinds(const uint64_t bytes[GOSSIP_PACKET_TYPES])
{
	static const char *const names[GOSSIP_PACKET_TYPES] = {
		"other", "ping",     "ack",	  "ping_request",
		"nack",	 "announce", "link_ping", "link_ack",
	};
	json_t *json = json_object();
	int i;

	for (i = 0; i < GOSSIP_PACKET_TYPES; i++)
		json_object_set_new(json, names[i], integer(bytes[i]));
	return json;
}

json_t *gossip_dump(const struct gossip *gossip)
{
	const struct gossip_traffic *traffic = &gossip->traffic;
	json_t *json = members_dump(&gossip->members);

	json_object_set_new(
		json, "datagrams",
		json_pack("{s:I, s:I, s:I, s:I, s:I, s:o, s:o}", "sent",
			  (json_int_t)traffic->sent, "sent_bytes",
			  (json_int_t)traffic->sent_bytes, "received",
			  (json_int_t)traffic->received, "received_bytes",
			  (json_int_t)traffic->received_bytes, "unsealed",
			  (json_int_t)traffic->unsealed, "sent_bytes_by",
			  dump_kinds(traffic->sent_bytes_by_type),
			  "received_bytes_by",
			  dump_kinds(traffic->received_bytes_by_type)));
	return json;
}
