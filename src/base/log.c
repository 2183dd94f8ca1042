#include "base/log.h"

#include <errno.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>
#include <xxhash.h>

#include "base/log_line.h"

enum {
	RATE_SLOTS = 256,
	BUFFER_SIZE = 256 * 1024,
	/* The remainder is reserved for lines that are not LOG_ORDINARY. */
	BUFFER_ORDINARY_MAX = BUFFER_SIZE / 2,
	/* Lines are written in batches to save system calls: a batch is written
	 * once it has this size or this age. */
	FLUSH_SIZE = LOG_LINE_SIZE,
	FLUSH_MS = 100,
	MS_PER_S = 1000,
	NS_PER_MS = 1000000,
};

/* Rate limit: number of lines that passed in @second, and number of lines that
 * were suppressed since the last line that passed. */
struct rate_slot {
	time_t second;
	uint32_t passed;
	uint32_t suppressed;
};

/**
 * struct log_state - the log of this process
 * @options: options of log_init()
 * @rates: rate limits, by a hash of component and event
 * @requests: rate limits of request lines, by category
 * @bytes: ring buffer of whole lines; a line never wraps around
 * @start: offset in @bytes of the first buffered line
 * @size: number of buffered bytes, including a gap at the end of @bytes
 * @first_ms: when the current batch began, in milliseconds of steady_ms()
 * @dropped: number of dropped lines that are not reported yet
 * @dropped_total: number of dropped lines since log_init()
 * @second: second that @second_text shows
 * @second_text: formatted date and time, without the fraction of the second
 */
struct log_state {
	struct log_options options;
	struct rate_slot rates[RATE_SLOTS];
	struct rate_slot requests[LOG_CATEGORIES];
	char bytes[BUFFER_SIZE];
	size_t start;
	size_t size;
	int64_t first_ms;
	uint64_t dropped;
	uint64_t dropped_total;
	time_t second;
	char second_text[32];
};

static struct log_state state;
static const char *const level_names[] = { "debug", "info", "warn", "error" };

void log_init(const struct log_options *options)
{
	memset(&state, 0, sizeof(state));
	state.options = *options;
	if (!state.options.fd)
		state.options.fd = STDOUT_FILENO;
}

void log_set_limits(const struct log_options *options)
{
	state.options.level = options->level;
	state.options.rate_per_s = options->rate_per_s;
	state.options.requests_per_s = options->requests_per_s;
}

int log_level_parse(const char *name)
{
	int i;

	for (i = 0; i < (int)(sizeof(level_names) / sizeof(char *)); i++)
		if (!strcmp(name, level_names[i]))
			return i;
	return -1;
}

uint64_t log_dropped_count(void)
{
	return state.dropped_total;
}

static struct rate_slot *find_rate_slot(const char *component,
					const char *event)
{
	uint64_t hash = XXH3_64bits(component, strlen(component)) * 31 +
			XXH3_64bits(event, strlen(event));

	return &state.rates[hash % RATE_SLOTS];
}

/* Returns false if the rate limit is exceeded. Otherwise sets @suppressed to
 * the number of lines suppressed since the last one that passed. */
static bool rate_allows(struct rate_slot *slot, uint32_t rate_per_s,
			time_t second, uint32_t *suppressed)
{
	if (!rate_per_s)
		return true;
	if (slot->second != second) {
		slot->second = second;
		slot->passed = 0;
	}
	if (slot->passed >= rate_per_s) {
		slot->suppressed++;
		return false;
	}
	slot->passed++;
	*suppressed = slot->suppressed;
	slot->suppressed = 0;
	return true;
}

static int64_t timespec_ms(const struct timespec *time)
{
	return (int64_t)time->tv_sec * MS_PER_S + time->tv_nsec / NS_PER_MS;
}

static int64_t steady_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC_COARSE, &now);
	return timespec_ms(&now);
}

/* Returns the size of the buffered whole lines that one atomic write to a pipe
 * takes. If a line were split over two writes, a process killed between them
 * would leave half a line, to which the next process appends its first line. */
static size_t next_write_size(void)
{
	size_t contiguous = BUFFER_SIZE - state.start;
	size_t size = state.size < contiguous ? state.size : contiguous;

	if (size > LOG_LINE_SIZE)
		size = LOG_LINE_SIZE;
	while (size && state.bytes[state.start + size - 1] != '\n')
		size--;
	return size;
}

/* Returns false if the descriptor accepts no data now or the write fails. */
static bool write_lines(size_t size)
{
	struct pollfd fd = { .fd = state.options.fd, .events = POLLOUT };
	ssize_t written;

	if (poll(&fd, 1, 0) <= 0 || !(fd.revents & POLLOUT))
		return false;
	written = write(fd.fd, state.bytes + state.start, size);
	if (written <= 0)
		return false;
	state.start = (state.start + (size_t)written) % BUFFER_SIZE;
	state.size -= (size_t)written;
	return true;
}

/* Skips the unused bytes at the end of the ring, which begin with a NUL. */
static void skip_gap(void)
{
	size_t gap = BUFFER_SIZE - state.start;

	if (!state.size || state.bytes[state.start] != '\0')
		return;
	state.size -= gap;
	state.start = 0;
}

void log_flush(bool at_once)
{
	if (!state.size)
		return;
	if (!at_once && state.size < FLUSH_SIZE &&
	    steady_ms() - state.first_ms < FLUSH_MS)
		return;
	state.first_ms = steady_ms();
	do
		skip_gap();
	while (state.size && write_lines(next_write_size()));
	if (!state.size)
		state.start = 0;
}

/* Returns false if the ring would hold more than @limit bytes. */
static bool ring_append(const struct log_line *line, size_t limit)
{
	size_t end = state.start + state.size;
	size_t offset = end % BUFFER_SIZE;
	size_t gap = 0;

	if (offset + line->size > BUFFER_SIZE)
		gap = BUFFER_SIZE - offset;
	if (state.size + gap + line->size > limit)
		return false;
	if (gap) {
		state.bytes[offset] = '\0';
		offset = 0;
	}
	if (!state.size)
		state.first_ms = steady_ms();
	memcpy(state.bytes + offset, line->text, line->size);
	state.size += gap + line->size;
	return true;
}

static void add_time(struct log_line *line, const struct timespec *now)
{
	char text[48];
	struct tm utc;

	if (now->tv_sec != state.second) {
		gmtime_r(&now->tv_sec, &utc);
		strftime(state.second_text, sizeof(state.second_text),
			 "%Y-%m-%dT%H:%M:%S", &utc);
		state.second = now->tv_sec;
	}
	snprintf(text, sizeof(text), "%s.%03ldZ", state.second_text,
		 now->tv_nsec / NS_PER_MS);
	log_line_add_text(line, "time", text);
}

static void add_fields(struct log_line *line, const struct log_field *fields,
		       size_t count)
{
	size_t i;

	for (i = 0; i < count; i++) {
		switch (fields[i].type) {
		case LOG_FIELD_NONE:
			break;
		case LOG_FIELD_TEXT:
			log_line_add_text(line, fields[i].name, fields[i].text);
			break;
		case LOG_FIELD_NUMBER:
			log_line_add_number(line, fields[i].name,
					    fields[i].number);
			break;
		}
	}
}

static void add_head(struct log_line *line, const struct timespec *now,
		     enum log_level level, const char *component,
		     const char *event)
{
	log_line_begin(line);
	add_time(line, now);
	log_line_add_text(line, "level", level_names[level]);
	log_line_add_text(line, "slice", component);
	log_line_add_text(line, "event", event);
	log_line_add_text(line, "data_centre", state.options.data_centre);
	log_line_add_text(line, "instance", state.options.instance);
}

/* Reports the number of dropped lines as soon as the ring has space again. */
static void report_dropped(const struct timespec *now)
{
	struct log_line line;

	if (!state.dropped)
		return;
	add_head(&line, now, LOG_WARN, "log", "lines_left_out");
	log_line_add_number(&line, "lines", (int64_t)state.dropped);
	log_line_end(&line);
	if (ring_append(&line, BUFFER_ORDINARY_MAX))
		state.dropped = 0;
}

static void append_or_drop(const struct timespec *now, struct log_line *line,
			   bool ordinary)
{
	log_line_end(line);
	report_dropped(now);
	if (!ring_append(line, ordinary ? BUFFER_ORDINARY_MAX : BUFFER_SIZE)) {
		state.dropped++;
		state.dropped_total++;
	}
	log_flush(!state.options.buffered);
}

void log_write(enum log_level level, const char *component, const char *event,
	       const struct log_field *fields, size_t count)
{
	struct timespec now;
	uint32_t suppressed = 0;
	struct log_line line;

	if (level < state.options.level)
		return;
	if (!state.options.fd)
		state.options.fd = STDOUT_FILENO;
	clock_gettime(CLOCK_REALTIME, &now);
	if (!rate_allows(find_rate_slot(component, event),
			 state.options.rate_per_s, now.tv_sec, &suppressed))
		return;
	add_head(&line, &now, level, component, event);
	add_fields(&line, fields, count);
	if (suppressed)
		log_line_add_number(&line, "suppressed", suppressed);
	append_or_drop(&now, &line, false);
}

void log_request(enum log_category category, const char *component,
		 const char *event, const struct log_field *fields,
		 size_t count)
{
	struct timespec now;
	uint32_t suppressed = 0;
	struct log_line line;

	if (LOG_INFO < state.options.level)
		return;
	clock_gettime(CLOCK_REALTIME, &now);
	if (!rate_allows(&state.requests[category],
			 state.options.requests_per_s, now.tv_sec,
			 &suppressed)) {
		state.dropped++;
		state.dropped_total++;
		return;
	}
	add_head(&line, &now, LOG_INFO, component, event);
	add_fields(&line, fields, count);
	append_or_drop(&now, &line, category == LOG_ORDINARY);
}
