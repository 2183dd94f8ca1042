#ifndef BASE_LOG_H
#define BASE_LOG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * DOC: log
 *
 * JSON lines, one event a line: time, level, slice, event, data centre,
 * instance, then the event's own fields.
 *
 * Writing never waits: lines lie in one buffer of fixed size until whoever
 * reads them takes them. Each pair of component and event is limited in rate,
 * and lines about single requests as a whole; of these the ordinary ones are
 * left out first, where the buffer fills or their rate is exceeded, so that
 * what failed, was refused or was slow is still there. What was left out is
 * counted and told.
 */

enum log_level { LOG_DEBUG, LOG_INFO, LOG_WARN, LOG_ERROR };

enum log_field_type { LOG_FIELD_NONE, LOG_FIELD_TEXT, LOG_FIELD_NUMBER };

/** struct log_field - one named value of an event. */
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
 * struct log_options - where lines go and what they carry
 * @fd: descriptor; 0 for standard output
 * @buffered: lines wait for log_flush(); else each is written at once
 * @rate_per_s: lines a second of one component and event; 0 for no limit
 * @requests_per_s: lines a second about requests, of each weight; 0 for no
 *	limit
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

/** log_init() - set up the process's log; strings must outlive it. */
void log_init(const struct log_options *options);

/** log_level_parse() - "debug" to "error"; negative if it is none. */
int log_level_parse(const char *name);

/**
 * log_flush() - write what waits, as far as that does not have to wait
 * @at_once: also the few lines that would wait for more to come
 */
void log_flush(bool at_once);

/** log_left_out() - lines that were left out since the start. */
uint64_t log_left_out(void);

void log_write(enum log_level level, const char *component, const char *event,
	       const struct log_field *fields, size_t count);

/**
 * enum log_weight - what a line about a request is worth
 *
 * Each has a rate of its own: under overload a request that fails leaves ten
 * lines about attempts that were turned away, and its last line, which alone
 * says what became of it, must not be the one that is left out.
 */
enum log_weight {
	LOG_ORDINARY, /* nothing about it needs an explanation */
	LOG_ATTEMPT,  /* an attempt that failed or was refused */
	LOG_OUTCOME,  /* the end of a request that failed or was slow */
	LOG_WEIGHTS,
};

/** log_request() - a line about one request. */
void log_request(enum log_weight weight, const char *component,
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
