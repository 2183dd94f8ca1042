#include "http/target.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>

static int hex_digit_value(char c)
{
	if (!isxdigit((unsigned char)c))
		return -1;
	return isdigit((unsigned char)c) ? c - '0'
					 : tolower((unsigned char)c) - 'a' + 10;
}

/* Invalid escape sequences are copied without changes. */
static char *decode(const char *text, size_t size, bool plus_is_space)
{
	char *out = malloc(size + 1);
	size_t used = 0;
	size_t i;

	if (!out)
		abort();
	for (i = 0; i < size; i++) {
		if (text[i] == '%' && i + 2 < size &&
		    hex_digit_value(text[i + 1]) >= 0 &&
		    hex_digit_value(text[i + 2]) >= 0) {
			out[used++] = (char)(hex_digit_value(text[i + 1]) * 16 +
					     hex_digit_value(text[i + 2]));
			i += 2;
		} else if (plus_is_space && text[i] == '+') {
			out[used++] = ' ';
		} else {
			out[used++] = text[i];
		}
	}
	out[used] = '\0';
	return out;
}

char *http_target_path(const char *target)
{
	return decode(target, strcspn(target, "?"), false);
}

char *http_target_argument(const char *target, const char *name)
{
	const char *at = strchr(target, '?');
	size_t name_size = strlen(name);

	while (at && *at) {
		size_t size = strcspn(++at, "&");
		size_t key_size = strcspn(at, "=&");

		if (key_size == name_size && !strncmp(at, name, key_size))
			return at[key_size] == '='
				       ? decode(at + key_size + 1,
						size - key_size - 1, true)
				       : decode("", 0, true);
		at += size;
	}
	return NULL;
}
