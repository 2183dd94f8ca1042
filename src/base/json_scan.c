#include "base/json_scan.h"

#include <string.h>

void json_scan_init(struct json_scan *scan, const char *text, size_t size)
{
	scan->state = JSON_SCAN_BEGIN;
	scan->at = text;
	scan->end = text + size;
}

static bool is_blank(char c)
{
	return c == ' ' || c == '\t' || c == '\n' || c == '\r';
}

static void skip_blanks(struct json_scan *scan)
{
	while (scan->at < scan->end && is_blank(*scan->at))
		scan->at++;
}

static bool fail(struct json_scan *scan)
{
	scan->state = JSON_SCAN_FAILED;
	return false;
}

/* Passes over blanks and @wanted. */
static bool take(struct json_scan *scan, char wanted)
{
	skip_blanks(scan);
	if (scan->at == scan->end || *scan->at != wanted)
		return false;
	scan->at++;
	return true;
}

/* Returns true if the quote at @quote is escaped by the bytes before it. */
static bool is_escaped(const char *begin, const char *quote)
{
	const char *at = quote;

	while (at > begin && at[-1] == '\\')
		at--;
	return (quote - at) % 2 != 0;
}

const char *json_skip_string(const char *at, const char *end)
{
	const char *begin = at + 1;
	const char *quote = at;

	do {
		quote++;
		quote = memchr(quote, '"', (size_t)(end - quote));
	} while (quote && is_escaped(begin, quote));
	return quote ? quote + 1 : NULL;
}

/* Returns the end of the value at @at: behind its closing bracket or quote, or
 * the next separator. Returns NULL if the value does not end before @end. */
static const char *skip_value(const char *at, const char *end)
{
	size_t depth = 0;

	while (at && at < end) {
		switch (*at) {
		case '"':
			at = json_skip_string(at, end);
			break;
		case '{':
		case '[':
			depth++;
			at++;
			continue;
		case '}':
		case ']':
			if (!depth)
				return at;
			depth--;
			at++;
			break;
		case ',':
			if (!depth)
				return at;
			at++;
			continue;
		default:
			at++;
			continue;
		}
		if (!depth)
			return at;
	}
	return NULL;
}

bool json_scan_name(struct json_scan *scan, struct json_span *name)
{
	const char *end;

	switch (scan->state) {
	case JSON_SCAN_BEGIN:
		if (!take(scan, '{'))
			return fail(scan);
		if (take(scan, '}')) {
			scan->state = JSON_SCAN_END;
			return false;
		}
		break;
	case JSON_SCAN_MEMBER:
		if (take(scan, '}')) {
			scan->state = JSON_SCAN_END;
			return false;
		}
		if (!take(scan, ','))
			return fail(scan);
		break;
	case JSON_SCAN_VALUE:
	case JSON_SCAN_END:
	case JSON_SCAN_FAILED:
		return false;
	}
	skip_blanks(scan);
	if (scan->at == scan->end || *scan->at != '"')
		return fail(scan);
	end = json_skip_string(scan->at, scan->end);
	if (!end)
		return fail(scan);
	name->text = scan->at;
	name->size = (size_t)(end - scan->at);
	scan->at = end;
	if (!take(scan, ':'))
		return fail(scan);
	skip_blanks(scan);
	scan->state = JSON_SCAN_VALUE;
	return true;
}

bool json_scan_value(struct json_scan *scan, struct json_span *value)
{
	const char *end;

	if (scan->state != JSON_SCAN_VALUE)
		return fail(scan);
	end = skip_value(scan->at, scan->end);
	if (!end || end == scan->at)
		return fail(scan);
	value->text = scan->at;
	value->size = (size_t)(end - scan->at);
	scan->at = end;
	scan->state = JSON_SCAN_MEMBER;
	return true;
}

bool json_scan_enter(const struct json_scan *scan, struct json_scan *inner)
{
	if (scan->state != JSON_SCAN_VALUE || scan->at == scan->end ||
	    *scan->at != '{')
		return false;
	json_scan_init(inner, scan->at, (size_t)(scan->end - scan->at));
	return true;
}

void json_scan_leave(struct json_scan *scan, const struct json_scan *inner)
{
	scan->at = inner->at;
	scan->state = inner->state == JSON_SCAN_END ? JSON_SCAN_MEMBER
						    : JSON_SCAN_FAILED;
}

bool json_scan_is_last(const struct json_scan *scan)
{
	struct json_scan rest = *scan;

	skip_blanks(&rest);
	return scan->state == JSON_SCAN_END && rest.at == rest.end;
}

bool json_span_equals(const struct json_span *span, const char *text)
{
	return span->size == strlen(text) + 2 &&
	       !memcmp(span->text + 1, text, span->size - 2);
}

static bool is_beyond_bounds(const json_error_t *error)
{
	switch (json_error_code(error)) {
	case json_error_numeric_overflow:
	case json_error_null_character:
	case json_error_null_byte_in_key:
	case json_error_stack_overflow:
		return true;
	default:
		return false;
	}
}

json_t *json_span_read(const struct json_span *span, bool *is_json)
{
	json_error_t error;
	json_t *value = json_loadb(span->text, span->size,
				   JSON_DECODE_ANY | JSON_DECODE_INT_AS_REAL,
				   &error);

	*is_json = value || is_beyond_bounds(&error);
	return value;
}

json_t *json_span_parse(const struct json_span *span)
{
	return json_loadb(span->text, span->size, JSON_DECODE_ANY, NULL);
}
