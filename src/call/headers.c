#include "call/headers.h"

#include <string.h>

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
