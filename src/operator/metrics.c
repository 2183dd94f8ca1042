#include "operator/metrics.h"

#include <stdio.h>
#include <string.h>

#include "base/counter.h"
#include "base/latency.h"
#include "base/usage.h"

enum { NAME_SIZE = 96, LABEL_SIZE = 160 };

#define US_PER_S 1e6

static const struct {
	const char *name;
	const char *help;
} parts[LATENCY_METRICS] = {
	[LATENCY_TOTAL] = { "call_seconds",
			    "Time from a caller's request to its answer" },
	[LATENCY_ADDED] = { "call_added_seconds",
			    "Of that, what the upstream did not take" },
	[LATENCY_QUEUE] = { "gate_queue_seconds",
			    "Time that requests waited for the own upstream" },
	[LATENCY_UPSTREAM] = { "upstream_seconds",
			       "Time that the own upstream took" },
};

static const struct {
	const char *name;
	const char *help;
} usage_metrics[USAGE_EVENTS] = {
	[USAGE_REQUESTS] = { "tenant_requests",
			     "Requests with a key of the tenant" },
	[USAGE_REFUSED] = { "tenant_refused",
			    "Of these, refused because of its limit" },
};

static const double quantiles[] = { 0.5, 0.9, 0.99, 1 };

/* Prometheus allows only letters, digits and underscores in these names. */
static const char *metric_name(const char *name, char text[NAME_SIZE])
{
	char *at;

	snprintf(text, NAME_SIZE, "geraniumplank_%s", name);
	for (at = text; *at; at++)
		if (*at == '.' || *at == '-')
			*at = '_';
	return text;
}

/* Escapes a label value: a quote in a service name would end the label. */
static const char *label(const char *value, char text[LABEL_SIZE])
{
	size_t used = 0;

	for (; *value && used + 3 < LABEL_SIZE; value++) {
		if (*value == '"' || *value == '\\')
			text[used++] = '\\';
		text[used++] = *value == '\n' ? ' ' : *value;
	}
	text[used] = '\0';
	return text;
}

static void put_header(struct buffer *out, const char *name, const char *help,
		       const char *type)
{
	buffer_append_format(out, "# HELP %s %s\n# TYPE %s %s\n", name, help,
			     name, type);
}

static void put_counter(struct buffer *out, const struct counter *counter)
{
	char name[NAME_SIZE];

	metric_name(counter->name, name);
	put_header(out, name, counter->help,
		   counter->gauge ? "gauge" : "counter");
	buffer_append_format(out, "%s %lld\n", name, (long long)counter->value);
}

static void put_summary(struct buffer *out, const struct histogram *histogram)
{
	char name[NAME_SIZE];
	size_t i;

	metric_name(histogram->name, name);
	put_header(out, name, histogram->help, "summary");
	for (i = 0; i < sizeof(quantiles) / sizeof(quantiles[0]); i++)
		buffer_append_format(
			out, "%s{quantile=\"%g\"} %lld\n", name, quantiles[i],
			(long long)histogram_quantile(histogram, quantiles[i]));
	buffer_append_format(out, "%s_count %llu\n", name,
			     (unsigned long long)histogram->count);
}

static void put_latency(struct buffer *out, const char *name,
			const struct latency *latency)
{
	char service[LABEL_SIZE];
	char outcome[LABEL_SIZE];
	char labels[LABEL_SIZE * 2 + 32];
	uint64_t cumulative_count = 0;
	uint32_t i;

	snprintf(labels, sizeof(labels), "service=\"%s\",outcome=\"%s\"",
		 label(latency->service, service),
		 label(latency->outcome, outcome));
	for (i = 0; i < LATENCY_BOUNDS; i++) {
		cumulative_count += latency->counts[i];
		buffer_append_format(out, "%s_bucket{%s,le=\"%g\"} %llu\n",
				     name, labels,
				     (double)latency_bounds_us[i] / US_PER_S,
				     (unsigned long long)cumulative_count);
	}
	buffer_append_format(out, "%s_bucket{%s,le=\"+Inf\"} %llu\n", name,
			     labels, (unsigned long long)latency->count);
	buffer_append_format(out, "%s_sum{%s} %.6f\n", name, labels,
			     (double)latency->sum_us / US_PER_S);
	buffer_append_format(out, "%s_count{%s} %llu\n", name, labels,
			     (unsigned long long)latency->count);
}

/* The format requires all lines of one metric in a single group. */
static void put_latency_part(struct buffer *out, enum latency_metric metric)
{
	const struct latency *latency;
	char name[NAME_SIZE];

	metric_name(parts[metric].name, name);
	put_header(out, name, parts[metric].help, "histogram");
	for (latency = latency_first(); latency; latency = latency->next)
		if (latency->metric == metric)
			put_latency(out, name, latency);
}

static void put_usage(struct buffer *out)
{
	struct usage list[USAGE_LISTED_MAX + 1];
	uint32_t count = usage_busiest(list);
	char tenant[LABEL_SIZE];
	char name[NAME_SIZE];
	uint32_t event;
	uint32_t i;

	for (event = 0; count && event < USAGE_EVENTS; event++) {
		metric_name(usage_metrics[event].name, name);
		put_header(out, name, usage_metrics[event].help, "counter");
		for (i = 0; i < count; i++)
			buffer_append_format(
				out, "%s{tenant=\"%s\"} %llu\n", name,
				label(list[i].tenant, tenant),
				(unsigned long long)list[i].counts[event]);
	}
}

void metrics_write(struct buffer *out)
{
	const struct histogram *histogram;
	const struct counter *counter;
	int metric;

	for (counter = counter_first(); counter; counter = counter->next)
		put_counter(out, counter);
	for (histogram = histogram_first(); histogram;
	     histogram = histogram->next)
		put_summary(out, histogram);
	for (metric = 0; metric < LATENCY_METRICS; metric++)
		put_latency_part(out, (enum latency_metric)metric);
	put_usage(out);
}
