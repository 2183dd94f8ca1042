#include "call/headers.h"

#include <string.h>
#include <strings.h>

size_t headers_split(const struct call_bytes *bytes,
		     struct http_header *headers)
{
	const char *at = (const char *)bytes->data;
	const char *end = at + bytes->size;
	size_t count = 0;

	while (at < end) {
		headers[count].name = at;
		at += strlen(at) + 1;
		headers[count].value = at;
		at += strlen(at) + 1;
		count++;
	}
	return count;
}

const char *headers_find(const struct call_bytes *bytes, const char *name)
{
	const char *at = (const char *)bytes->data;
	const char *end = at + bytes->size;

	while (at < end) {
		const char *value = at + strlen(at) + 1;

		if (!strcasecmp(at, name))
			return value;
		at = value + strlen(value) + 1;
	}
	return "";
}
