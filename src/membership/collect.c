#include <stdlib.h>
#include <string.h>

#include "membership/members_defs.h"
#include "os/clock.h"

/*
 * Collection of the versions applied in the data centre. After each change of
 * the version that it has applied or refused, a node pings the linking nodes
 * of its data centre until they have answered. Reports from every node to
 * every node would grow with the square of the number of nodes: with 740 nodes
 * and 3,600 versions a day, each node would get 740 reports for each version.
 * So only the linking nodes hold all reports and pass on a summary.
 */

enum { RETRY_PING_TIMEOUTS = 1 };

static const char duty[] = "link";

void collect_changed(struct members *members)
{
	uint32_t i;

	for (i = 0; i < MEMBERS_COLLECTORS; i++)
		members->collectors[i].acknowledged = false;
	members->collect_at_us = members->now_us;
}

static struct collector *find_collector(struct members *members, uint64_t id)
{
	uint32_t i;

	for (i = 0; i < MEMBERS_COLLECTORS; i++)
		if (members->collectors[i].id == id)
			return &members->collectors[i];
	return NULL;
}

static void refresh(struct members *members)
{
	struct collector next[MEMBERS_COLLECTORS] = { 0 };
	struct member *top[MEMBERS_COLLECTORS];
	uint32_t count = table_top(members, members->home, duty, top,
				   MEMBERS_COLLECTORS);
	uint32_t i;

	for (i = 0; i < count; i++) {
		const struct collector *old =
			find_collector(members, top[i]->id);

		if (top[i] == members->self)
			continue;
		if (old)
			next[i] = *old;
		next[i].id = top[i]->id;
		if (!old)
			members->collect_at_us = members->now_us;
	}
	memcpy(members->collectors, next, sizeof(next));
}

void collect_tick(struct members *members)
{
	struct packet_out out = { .type = PACKET_PING };
	uint32_t i;

	if (members->now_us >= members->next_refresh_us) {
		members->next_refresh_us =
			members->now_us + members->options.probe_interval_us;
		refresh(members);
	}
	if (!members->collect_at_us || members->now_us < members->collect_at_us)
		return;
	members->collect_at_us = 0;
	for (i = 0; i < MEMBERS_COLLECTORS; i++) {
		struct collector *collector = &members->collectors[i];
		const struct member *member =
			table_find(members, collector->id);

		if (!member || collector->acknowledged)
			continue;
		collector->nonce = out.nonce = members_nonce(members);
		packet_send(members, &member->record.address, &out);
		members->collect_at_us =
			members->now_us +
			members->options.ping_timeout_us * RETRY_PING_TIMEOUTS;
	}
}

void collect_acked(struct members *members, uint32_t nonce)
{
	uint32_t i;

	for (i = 0; i < MEMBERS_COLLECTORS; i++)
		if (members->collectors[i].id &&
		    members->collectors[i].nonce == nonce)
			members->collectors[i].acknowledged = true;
}

static struct report *report_of(struct member *member)
{
	if (!member->report)
		member->report = calloc(1, sizeof(*member->report));
	if (!member->report)
		abort();
	return member->report;
}

void collect_applied(struct members *members, struct member *member,
		     const struct packet_head *head)
{
	struct report *report = report_of(member);

	/* A delayed datagram must not replace a newer report. */
	if (head->incarnation < report->incarnation ||
	    (head->incarnation == report->incarnation &&
	     head->head.version < report->applied.version))
		return;
	report->incarnation = head->incarnation;
	report->applied = head->head;
	report->received_us = members->now_us;
}

void collect_refused(struct members *members, struct member *member,
		     uint64_t version, const char *reason)
{
	struct report *report = report_of(member);

	report->refused_version = version;
	memcpy(report->reason, reason, strlen(reason) + 1);
}

static uint64_t applied_by(const struct members *members,
			   const struct member *member)
{
	if (member == members->self)
		return members->head.version;
	return member->report ? member->report->applied.version : 0;
}

/* Sorts the highest version first. A version beyond the end of the list is
 * counted in the total of nodes only. */
static void summary_add(struct summary *summary, uint64_t version)
{
	uint32_t i;

	for (i = 0; i < summary->count && summary->versions[i] > version; i++)
		;
	if (i < summary->count && summary->versions[i] == version) {
		summary->nodes_at[i]++;
		return;
	}
	if (i == MEMBERS_SUMMARY_VERSIONS)
		return;
	if (summary->count < MEMBERS_SUMMARY_VERSIONS)
		summary->count++;
	memmove(&summary->versions[i + 1], &summary->versions[i],
		(summary->count - 1 - i) * sizeof(summary->versions[0]));
	memmove(&summary->nodes_at[i + 1], &summary->nodes_at[i],
		(summary->count - 1 - i) * sizeof(summary->nodes_at[0]));
	summary->versions[i] = version;
	summary->nodes_at[i] = 1;
}

static void summary_lagging(const struct members *members,
			    struct summary *summary)
{
	const struct data_centre *home = members->home;
	uint32_t i;

	for (i = 0;
	     i < home->count && summary->lagging_count < MEMBERS_LAGGING_MAX;
	     i++)
		if (table_live(home->members[i]) &&
		    applied_by(members, home->members[i]) <
			    summary->versions[0])
			memcpy(summary->lagging[summary->lagging_count++],
			       home->members[i]->record.instance, NAME_SIZE);
}

static void summarize(const struct members *members, struct summary *summary)
{
	const struct data_centre *home = members->home;
	uint32_t i;

	memset(summary, 0, sizeof(*summary));
	summary->lowest = UINT64_MAX;
	summary->received_us = members->now_us;
	for (i = 0; i < home->count; i++) {
		uint64_t version;

		if (!table_live(home->members[i]))
			continue;
		version = applied_by(members, home->members[i]);
		summary->nodes++;
		if (version < summary->lowest)
			summary->lowest = version;
		summary_add(summary, version);
	}
	summary_lagging(members, summary);
}

bool members_summary(const struct members *members, const char *data_centre,
		     struct summary *summary)
{
	const struct data_centre *centre;

	if (!data_centre || !strcmp(data_centre, members->home->name)) {
		if (!members->linking && members_status_current(members))
			*summary = members->home->summary;
		else
			summarize(members, summary);
		return true;
	}
	centre = table_centre(members, packet_centre_id(data_centre));
	if (!centre || !centre->summary.received_us)
		return false;
	*summary = centre->summary;
	return true;
}

static void add_refusal(struct refusal *list, uint32_t *count, uint32_t max,
			const struct record *record, uint64_t version,
			const char *reason)
{
	struct refusal *refusal = &list[*count];

	if (!version || *count == max)
		return;
	memcpy(refusal->instance, record->instance, NAME_SIZE);
	memcpy(refusal->reason, reason, MEMBERS_REASON_SIZE);
	refusal->version = version;
	(*count)++;
}

static uint32_t home_refusals(const struct members *members,
			      struct refusal *list, uint32_t max)
{
	const struct data_centre *home = members->home;
	uint32_t count = 0;
	uint32_t i;

	add_refusal(list, &count, max, &members->self->record,
		    members->refused_version, members->refused_reason);
	for (i = 0; i < home->count; i++) {
		const struct report *report = home->members[i]->report;

		if (report && table_live(home->members[i]))
			add_refusal(list, &count, max,
				    &home->members[i]->record,
				    report->refused_version, report->reason);
	}
	return count;
}

uint32_t members_refusals(const struct members *members, struct refusal *list,
			  uint32_t max)
{
	uint32_t i;

	if (members->linking || !members_status_current(members))
		return home_refusals(members, list, max);
	for (i = 0; i < members->refusal_count && i < max; i++)
		list[i] = members->refusals[i];
	return i;
}
