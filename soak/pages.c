#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <time.h>

#include "os/clock.h"
#include "soak/soak.h"

/* A page of a request holds, in one order of time, what its caller and the
 * upstreams saw, the faults around it and the log lines that name it. */

enum {
	TIME_SIZE = 32,
	TEXT_SIZE = 512,
	LINE_SIZE = 16 * 1024,
	PATH_SIZE = 512,
	LINES_MAX = 4096,
	/* Notes of faults from this time before the request on are shown. */
	BEFORE_US = 5000 * US_PER_MS,
	AFTER_US = 1000 * US_PER_MS,
	US_PER_MS_INT = 1000,
};

/**
 * struct page - lines, each beginning with its time
 * @wall_us: time of day minus monotonic time
 */
struct page {
	char *lines[LINES_MAX];
	size_t count;
	int64_t wall_us;
};

static void add_line(struct page *page, const char *time, const char *source,
		     const char *text)
{
	size_t size = strlen(time) + strlen(source) + strlen(text) + 4;

	if (page->count == LINES_MAX)
		return;
	page->lines[page->count] = malloc(size);
	if (!page->lines[page->count])
		abort();
	snprintf(page->lines[page->count++], size, "%s %s %s", time, source,
		 text);
}

/* Formats a monotonic time like the times of log lines. */
static const char *format_time(const struct page *page, int64_t at_us,
			       char text[TIME_SIZE])
{
	int64_t wall_us = at_us + page->wall_us;
	time_t seconds = wall_us / US_PER_S;
	char date[TIME_SIZE];
	struct tm utc;

	gmtime_r(&seconds, &utc);
	strftime(date, sizeof(date), "%Y-%m-%dT%H:%M:%S", &utc);
	snprintf(text, TIME_SIZE, "%.19s.%03dZ", date,
		 (int)(wall_us % US_PER_S / US_PER_MS_INT));
	return text;
}

__attribute__((format(printf, 4, 5))) static void
add_event(struct page *page, int64_t at_us, const char *source, const char *fmt,
	  ...)
{
	char time[TIME_SIZE];
	char text[TEXT_SIZE];
	va_list args;

	va_start(args, fmt);
	vsnprintf(text, sizeof(text), fmt, args);
	va_end(args);
	add_line(page, format_time(page, at_us, time), source, text);
}

static void add_request(struct page *page, const struct soak *soak,
			uint32_t index)
{
	const struct load_record *record = &soak->load.records[index];
	const struct load_kind *kind = &soak->load.options.kinds[record->kind];
	int64_t ended_us = record->sent_us + record->latency_us;

	add_event(page, record->sent_us, "caller",
		  "sends %s %s (%s) to %s, deadline %" PRId64 " ms",
		  kind->method, kind->path, kind->name,
		  soak->cluster.nodes[record->target].instance,
		  kind->deadline_ms);
	add_event(page, ended_us, "caller",
		  "%s after %" PRId64 " us: status %u, reason \"%s\", mark of "
		  "an upstream %d, read by the node %d",
		  record->outcome == LOAD_ABORTED
			  ? (record->timed_out || record->gave_up
				     ? "closes"
				     : "sees the connection end")
			  : "gets an answer",
		  record->latency_us, record->status, record->reason,
		  record->stamped, record->request_read);
}

static void add_entries(struct page *page, const struct promise_entry *entries,
			size_t count)
{
	size_t i;

	for (i = 0; i < count; i++)
		add_event(page, entries[i].at_us, entries[i].instance,
			  "upstream: %s %u",
			  promise_event_name(entries[i].event),
			  entries[i].status);
}

static void add_notes(struct page *page, const struct soak *soak,
		      const struct load_record *record)
{
	int64_t from_us = record->sent_us - BEFORE_US;
	int64_t to_us = record->sent_us + record->latency_us + AFTER_US;
	uint32_t i;

	for (i = 0; i < soak->note_count; i++) {
		const struct soak_note *note = &soak->notes[i];

		if (note->at_us >= from_us && note->at_us <= to_us)
			add_event(page, note->at_us,
				  soak->cluster.nodes[note->node].instance,
				  "node: %s", note->what);
	}
}

static void add_log_line(struct page *page, const char *source, char *line)
{
	static const char mark[] = "\"time\":\"";
	const char *at = strstr(line, mark);
	char time[TIME_SIZE] = "-";

	if (at)
		snprintf(time, sizeof(time), "%.24s", at + strlen(mark));
	line[strcspn(line, "\n")] = '\0';
	add_line(page, time, source, line);
}

static void add_log(struct page *page, const struct soak *soak, uint32_t i,
		    const char *id)
{
	char line[LINE_SIZE];
	char path[PATH_SIZE];
	char quoted[LOAD_ID_SIZE + 2];
	FILE *file;

	cluster_log_path(&soak->cluster, i, path, sizeof(path));
	file = fopen(path, "re");
	if (!file) {
		fprintf(stderr, "%s cannot be read\n", path);
		return;
	}
	snprintf(quoted, sizeof(quoted), "\"%s\"", id);
	while (fgets(line, sizeof(line), file))
		if (strstr(line, quoted))
			add_log_line(page, soak->cluster.nodes[i].instance,
				     line);
	fclose(file);
}

static int compare_lines(const void *a, const void *b)
{
	return strcmp(*(char *const *)a, *(char *const *)b);
}

static FILE *open_page(const struct soak *soak, const char *rule,
		       const char *id, char path[PATH_SIZE])
{
	char dir[PATH_SIZE / 2];

	snprintf(dir, sizeof(dir), "%s/soak-pages", process_build_dir());
	mkdir(dir, 0777);
	snprintf(path, PATH_SIZE, "%s/seed-%" PRIu64 "-%s-%s.txt", dir,
		 soak->seed, rule, id);
	return fopen(path, "we");
}

static void print_page(struct page *page, FILE *file)
{
	size_t i;

	qsort(page->lines, page->count, sizeof(page->lines[0]), compare_lines);
	for (i = 0; i < page->count; i++) {
		fprintf(file, "%s\n", page->lines[i]);
		free(page->lines[i]);
	}
}

void soak_write_page(const struct soak *soak, uint32_t index,
		     enum promise_rule rule,
		     const struct promise_account *account)
{
	const char *name = promise_rule_name(rule);
	static struct page page;
	const struct promise_entry *entries;
	struct timespec wall;
	char path[PATH_SIZE];
	char id[LOAD_ID_SIZE];
	size_t count;
	FILE *file;
	uint32_t i;

	load_id(&soak->load, index, id);
	file = open_page(soak, name, id, path);
	if (!file) {
		fprintf(stderr, "%s cannot be written\n", path);
		return;
	}
	clock_gettime(CLOCK_REALTIME, &wall);
	page.count = 0;
	page.wall_us = (int64_t)wall.tv_sec * US_PER_S +
		       wall.tv_nsec / US_PER_MS_INT - clock_monotonic_us();
	entries = promise_find(account, id, &count);
	add_request(&page, soak, index);
	add_entries(&page, entries, count);
	add_notes(&page, soak, &soak->load.records[index]);
	for (i = 0; i < soak->count; i++)
		add_log(&page, soak, i, id);
	fprintf(file, "%s: request %s, seed %" PRIu64 ", %u nodes\n", name, id,
		soak->seed, soak->count);
	print_page(&page, file);
	fclose(file);
	fprintf(stderr, "  %s: %s\n", name, path);
}
