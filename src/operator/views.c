#include "operator/views.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/buffer.h"
#include "base/counter.h"
#include "operator/metrics.h"
#include "operator/reply.h"

static const struct {
	const char *name;
	double fraction;
} quantiles[] = {
	{ "p50", 0.5 },
	{ "p90", 0.9 },
	{ "p99", 0.99 },
	{ "max", 1 },
};

enum {
	QUANTILE_COUNT = sizeof(quantiles) / sizeof(quantiles[0]),
	SECTIONS_TEXT_SIZE = 1024,
};

void view_status(struct operator_server *server, struct http_exchange *exchange)
{
	struct operator_status *status = calloc(1, sizeof(*status));

	if (!status)
		abort();
	snprintf(status->instance, sizeof(status->instance), "%s",
		 server->instance);
	if (server->status)
		server->status(status, server->status_data);
	status_sort(status);
	reply_json(exchange, HTTP_OK, status_to_json(status));
	free(status);
}

static json_t *finding_to_json(const char *name,
			       const struct health_finding *finding)
{
	return json_pack("{s:s,s:s,s:o,s:o}", "name", name, "state",
			 health_state_name(finding->state), "text",
			 reply_string(finding->text), "todo",
			 reply_string(finding->todo));
}

void view_health(struct operator_server *server, struct http_exchange *exchange)
{
	enum health_state worst = HEALTH_OK;
	json_t *list = json_array();
	uint32_t i;

	for (i = 0; i < server->check_count; i++) {
		const struct operator_check *check = &server->checks[i];
		struct health_finding finding = { .state = HEALTH_OK };

		check->check(&finding, check->data);
		if (finding.state > worst)
			worst = finding.state;
		json_array_append_new(list,
				      finding_to_json(check->name, &finding));
	}
	reply_json(exchange, worst == HEALTH_BAD ? HTTP_UNAVAILABLE : HTTP_OK,
		   json_pack("{s:s,s:s,s:o}", "instance", server->instance,
			     "state", health_state_name(worst), "checks",
			     list));
}

static json_t *dump_section(const struct operator_section *section)
{
	json_t *json = section->dump(section->data);

	return json ? json : json_string("cannot be written as JSON");
}

static void reply_unknown_section(const struct operator_server *server,
				  struct http_exchange *exchange)
{
	char text[SECTIONS_TEXT_SIZE];
	size_t used = (size_t)snprintf(text, sizeof(text),
				       "no such section; there are:");
	uint32_t i;

	for (i = 0; i < server->section_count && used < sizeof(text); i++)
		used += (size_t)snprintf(text + used, sizeof(text) - used,
					 " %s", server->sections[i].name);
	reply_error(exchange, HTTP_NOT_FOUND, "not_found", text, "");
}

void view_dump(struct operator_server *server, struct http_exchange *exchange,
	       const char *section)
{
	json_t *json = json_object();
	uint32_t i;

	for (i = 0; i < server->section_count; i++) {
		const struct operator_section *item = &server->sections[i];

		if (!*section || !strcmp(section, item->name))
			json_object_set_new(json, item->name,
					    dump_section(item));
	}
	if (!*section || json_object_size(json)) {
		reply_json(exchange, HTTP_OK, json);
		return;
	}
	json_decref(json);
	reply_unknown_section(server, exchange);
}

static json_t *counters_to_json(json_t *help)
{
	json_t *values = json_object();
	const struct counter *counter;

	for (counter = counter_first(); counter; counter = counter->next) {
		json_object_set_new(values, counter->name,
				    json_integer(counter->value));
		json_object_set_new(help, counter->name,
				    json_string(counter->help));
	}
	return values;
}

static json_t *histograms_to_json(json_t *help)
{
	json_t *values = json_object();
	const struct histogram *histogram;
	size_t i;

	for (histogram = histogram_first(); histogram;
	     histogram = histogram->next) {
		json_t *json = json_pack("{s:I}", "count",
					 (json_int_t)histogram->count);

		for (i = 0; i < QUANTILE_COUNT; i++)
			json_object_set_new(
				json, quantiles[i].name,
				json_integer(histogram_quantile(
					histogram, quantiles[i].fraction)));
		json_object_set_new(values, histogram->name, json);
		json_object_set_new(help, histogram->name,
				    json_string(histogram->help));
	}
	return values;
}

void view_counters(struct http_exchange *exchange)
{
	json_t *json = json_object();
	json_t *help = json_object();

	json_object_set_new(json, "counters", counters_to_json(help));
	json_object_set_new(json, "histograms", histograms_to_json(help));
	json_object_set_new(json, "help", help);
	reply_json(exchange, HTTP_OK, json);
}

void view_metrics(struct http_exchange *exchange)
{
	struct buffer buffer = { 0 };

	metrics_write(&buffer);
	reply_text(exchange, (const char *)buffer_data(&buffer),
		   buffer_size(&buffer));
	buffer_finish(&buffer);
}
