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
	/* Some seconds of lines at the usual rates. */
	BUFFER_SIZE = 256 * 1024,
	/* From here on the rest is kept for lines that matter. */
	BUFFER_ORDINARY = BUFFER_SIZE / 2,
	/* Few lines wait for more, so that they share a system call, but not
	 * for longer than somebody who watches would notice. */
	FLUSH_SIZE = LOG_LINE_SIZE,
	FLUSH_MS = 100,
	MS_PER_S = 1000,
	NS_PER_MS = 1000000,
};

/* Lines of one component and event within the current second. */
struct rate_slot {
	time_t second;
	uint32_t passed;
	uint32_t suppressed;
};

/**
 * struct log_state - the log of this process
 * @start: of what waits in @bytes, a ring of whole lines
 * @first_ms: when the oldest waiting line was written
 * @requests: lines of the current second, ordinary ones and others
 * @left_out: since it was last told
 */
struct log_state {
	struct log_options options;
	struct rate_slot rates[RATE_SLOTS];
	struct rate_slot requests[LOG_WEIGHTS];
	char bytes[BUFFER_SIZE];
	size_t start;
	size_t size;
	int64_t first_ms;
	uint64_t left_out;
	uint64_t left_out_total;
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

int log_level_parse(const char *name)
{
	int i;

	for (i = 0; i < (int)(sizeof(level_names) / sizeof(char *)); i++)
		if (!strcmp(name, level_names[i]))
			return i;
	return -1;
}

uint64_t log_left_out(void)
{
	return state.left_out_total;
}

static struct rate_slot *rate_slot_of(const char *component, const char *event)
{
	uint64_t hash = XXH3_64bits(component, strlen(component)) * 31 +
			XXH3_64bits(event, strlen(event));

	return &state.rates[hash % RATE_SLOTS];
}

/* Return: false if the line must be left out; else what was left out. */
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

static int64_t ms_of(const struct timespec *time)
{
	return (int64_t)time->tv_sec * MS_PER_S + time->tv_nsec / NS_PER_MS;
}

static int64_t steady_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC_COARSE, &now);
	return ms_of(&now);
}

/* Bytes of whole lines at the start that a pipe takes in one piece: a process
 * that is killed between two pieces would leave half a line, to which its
 * successor's first line would be joined. */
static size_t next_piece(void)
{
	size_t most = BUFFER_SIZE - state.start;
	size_t size = state.size < most ? state.size : most;

	if (size > LOG_LINE_SIZE)
		size = LOG_LINE_SIZE;
	while (size && state.bytes[state.start + size - 1] != '\n')
		size--;
	return size;
}

/* Return: false if whoever reads has not taken what came before. */
static bool write_piece(size_t size)
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

/* Lines never run over the end of the ring: what is left there is skipped. */
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
	while (state.size && write_piece(next_piece()));
	if (!state.size)
		state.start = 0;
}

/* Return: false if there is no room. */
static bool keep(const struct log_line *line, size_t most)
{
	size_t end = state.start + state.size;
	size_t place = end % BUFFER_SIZE;
	size_t gap = 0;

	if (place + line->size > BUFFER_SIZE)
		gap = BUFFER_SIZE - place;
	if (state.size + gap + line->size > most)
		return false;
	if (gap) {
		state.bytes[place] = '\0';
		place = 0;
	}
	if (!state.size)
		state.first_ms = steady_ms();
	memcpy(state.bytes + place, line->text, line->size);
	state.size += gap + line->size;
	return true;
}

static void add_time(struct log_line *line, const struct timespec *now)
{
	char text[48];
	struct tm parts;

	if (now->tv_sec != state.second) {
		gmtime_r(&now->tv_sec, &parts);
		strftime(state.second_text, sizeof(state.second_text),
			 "%Y-%m-%dT%H:%M:%S", &parts);
		state.second = now->tv_sec;
	}
	snprintf(text, sizeof(text), "%s.%03ldZ", state.second_text,
		 now->tv_nsec / NS_PER_MS);
	log_line_text(line, "time", text);
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
			log_line_text(line, fields[i].name, fields[i].text);
			break;
		case LOG_FIELD_NUMBER:
			log_line_number(line, fields[i].name, fields[i].number);
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
	log_line_text(line, "level", level_names[level]);
	log_line_text(line, "slice", component);
	log_line_text(line, "event", event);
	log_line_text(line, "data_centre", state.options.data_centre);
	log_line_text(line, "instance", state.options.instance);
}

/* What was left out is told as soon as there is room again. */
static void tell_left_out(const struct timespec *now)
{
	struct log_line line;

	if (!state.left_out)
		return;
	add_head(&line, now, LOG_WARN, "log", "lines_left_out");
	log_line_number(&line, "lines", (int64_t)state.left_out);
	log_line_end(&line);
	if (keep(&line, BUFFER_ORDINARY))
		state.left_out = 0;
}

static void store(const struct timespec *now, struct log_line *line,
		  bool ordinary)
{
	log_line_end(line);
	tell_left_out(now);
	if (!keep(line, ordinary ? BUFFER_ORDINARY : BUFFER_SIZE)) {
		state.left_out++;
		state.left_out_total++;
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
	if (!rate_allows(rate_slot_of(component, event),
			 state.options.rate_per_s, now.tv_sec, &suppressed))
		return;
	add_head(&line, &now, level, component, event);
	add_fields(&line, fields, count);
	if (suppressed)
		log_line_number(&line, "suppressed", suppressed);
	store(&now, &line, false);
}

void log_request(enum log_weight weight, const char *component,
		 const char *event, const struct log_field *fields,
		 size_t count)
{
	struct timespec now;
	uint32_t suppressed = 0;
	struct log_line line;

	if (LOG_INFO < state.options.level)
		return;
	clock_gettime(CLOCK_REALTIME, &now);
	if (!rate_allows(&state.requests[weight], state.options.requests_per_s,
			 now.tv_sec, &suppressed)) {
		state.left_out++;
		state.left_out_total++;
		return;
	}
	add_head(&line, &now, LOG_INFO, component, event);
	add_fields(&line, fields, count);
	store(&now, &line, weight == LOG_ORDINARY);
}
