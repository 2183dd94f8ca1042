#ifndef BASE_JSON_SCAN_H
#define BASE_JSON_SCAN_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>

/**
 * DOC: json scan
 *
 * Finds the members of a JSON object in its text without parsing their values.
 * A large object can so be parsed in parts, a few members at a time. The scan
 * checks only the structure: brackets, names, commas and ends of strings. The
 * values are checked by the parser that they are passed to.
 */

/** struct json_span - part of a JSON text; strings include their quotes. */
struct json_span {
	const char *text;
	size_t size;
};

/** enum json_scan_state - progress of a scan of an object. */
enum json_scan_state {
	JSON_SCAN_BEGIN,  /* in front of the first member */
	JSON_SCAN_MEMBER, /* behind a member */
	JSON_SCAN_VALUE,  /* in front of the value of a member */
	JSON_SCAN_END,	  /* behind the object */
	JSON_SCAN_FAILED, /* the text is no JSON object */
};

/**
 * struct json_scan - scan of the members of one object
 * @at: next byte
 * @end: end of the whole text
 */
struct json_scan {
	enum json_scan_state state;
	const char *at;
	const char *end;
};

/** json_scan_init() - begins in front of the object in @text. */
void json_scan_init(struct json_scan *scan, const char *text, size_t size);

/**
 * json_scan_name() - goes on to the value of the next member
 * @name: set to the name of the member
 *
 * Return: false if there is no other member; see @state.
 */
bool json_scan_name(struct json_scan *scan, struct json_span *name);

/** json_scan_value() - passes over the value and sets @value to its text. */
bool json_scan_value(struct json_scan *scan, struct json_span *value);

/**
 * json_scan_enter() - begins a scan of the value, which must be an object
 *
 * json_scan_leave() goes on behind the value when the scan of it has ended.
 */
bool json_scan_enter(const struct json_scan *scan, struct json_scan *inner);
void json_scan_leave(struct json_scan *scan, const struct json_scan *inner);

/** json_scan_is_last() - true if only blanks follow the scanned object. */
bool json_scan_is_last(const struct json_scan *scan);

/** json_span_equals() - compares the string in @span with @text. */
bool json_span_equals(const struct json_span *span, const char *text);

/**
 * json_span_parse() - parses a value of any type
 *
 * Return: NULL if the text is invalid; to be freed by json_decref().
 */
json_t *json_span_parse(const struct json_span *span);

/**
 * json_span_read() - parses a value of any type, and its integers as reals
 * @is_json: set to false if the text is invalid, and to true if it is valid or
 *	only beyond the bounds of the parser: a number that is too large, a
 *	string with a NUL, or too many levels
 *
 * Return: NULL if the value cannot be read; to be freed by json_decref().
 */
json_t *json_span_read(const struct json_span *span, bool *is_json);

/**
 * json_skip_string() - returns the end of the string that begins at the quote
 *	@at, or NULL if the string does not end before @end
 */
const char *json_skip_string(const char *at, const char *end);

#endif
