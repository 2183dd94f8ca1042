#ifndef BASE_LOG_H
#define BASE_LOG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * DOC: log
 *
 * Writes one JSON object per line and event: time, level, component (the key is
 * "slice"), event, data centre and instance, then the fields of the event.
 *
 * Logging never blocks: lines wait in a buffer of fixed size until the
 * descriptor accepts them. The rate of each pair of component and event is
 * limited, and so is the rate of each category of request lines. Half of the
 * buffer is reserved for lines that are not LOG_ORDINARY, so that lines about
 * failed, refused or slow requests are dropped last. Dropped lines are counted
 * and reported.
 */

enum log_level { LOG_DEBUG, LOG_INFO, LOG_WARN, LOG_ERROR };

enum log_field_type { LOG_FIELD_NONE, LOG_FIELD_TEXT, LOG_FIELD_NUMBER };

/** struct log_field - name and value of a field of an event. */
struct log_field {
	const char *name;
	enum log_field_type type;
	union {
		const char *text;
		int64_t number;
	};
};

#define LOG_TEXT(n, v)                                                         \
	{                                                                      \
		.name = (n), .type = LOG_FIELD_TEXT, .text = (v)               \
	}
#define LOG_NUMBER(n, v)                                                       \
	{                                                                      \
		.name = (n), .type = LOG_FIELD_NUMBER, .number = (v)           \
	}

/**
 * struct log_options - options of the log of the process
 * @fd: descriptor to write to; 0 for standard output
 * @buffered: true to write lines in batches, false to write each line at once
 * @level: lowest level that is written
 * @data_centre: data centre of this instance, part of each line
 * @instance: name of this instance, part of each line
 * @rate_per_s: maximum number of lines per second of one component and event;
 *	0 for no limit
 * @requests_per_s: maximum number of request lines per second of each category;
 *	0 for no limit
 */
struct log_options {
	int fd;
	bool buffered;
	enum log_level level;
	const char *data_centre;
	const char *instance;
	uint32_t rate_per_s;
	uint32_t requests_per_s;
};

/** log_init() - set up the log of the process; strings must outlive it. */
void log_init(const struct log_options *options);

/** log_set_limits() - take over the level and the rates of @options. */
void log_set_limits(const struct log_options *options);

/** log_level_parse() - parse "debug" to "error"; negative if unknown. */
int log_level_parse(const char *name);

/**
 * log_flush() - write the buffered lines as far as possible without blocking
 * @at_once: also write a batch that is neither large nor old enough
 */
void log_flush(bool at_once);

/** log_dropped_count() - number of lines dropped since log_init(). */
uint64_t log_dropped_count(void);

void log_write(enum log_level level, const char *component, const char *event,
	       const struct log_field *fields, size_t count);

/**
 * enum log_category - category of a line about a request
 *
 * Each category has its own rate limit. Under overload a failing request logs
 * many refused attempts; with a common limit these lines would displace the
 * last line of the request, which is the only one with the outcome.
 */
enum log_category {
	LOG_ORDINARY, /* a normal request or attempt */
	LOG_ATTEMPT,  /* an attempt that failed or was refused */
	LOG_OUTCOME,  /* the end of a request that failed or was slow */
	LOG_CATEGORIES,
};

/** log_request() - log a line about one request at the level LOG_INFO. */
void log_request(enum log_category category, const char *component,
		 const char *event, const struct log_field *fields,
		 size_t count);

#define LOG_EVENT(level, component, event, ...)                                \
	do {                                                                   \
		const struct log_field log_fields[] = {                        \
			{ .type = LOG_FIELD_NONE }, ##__VA_ARGS__              \
		};                                                             \
		log_write(level, component, event, log_fields,                 \
			  sizeof(log_fields) / sizeof(log_fields[0]));         \
	} while (0)

#define log_debug(component, event, ...)                                       \
	LOG_EVENT(LOG_DEBUG, component, event, ##__VA_ARGS__)
#define log_info(component, event, ...)                                        \
	LOG_EVENT(LOG_INFO, component, event, ##__VA_ARGS__)
#define log_warn(component, event, ...)                                        \
	LOG_EVENT(LOG_WARN, component, event, ##__VA_ARGS__)
#define log_error(component, event, ...)                                       \
	LOG_EVENT(LOG_ERROR, component, event, ##__VA_ARGS__)

#endif
