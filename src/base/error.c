#include "base/error.h"

#include <assert.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>

void error_set(struct error *err, enum error_code code, const char *fmt, ...)
{
	va_list args;

	assert(code != ERROR_NONE);
	if (!err || err->code != ERROR_NONE)
		return;
	err->code = code;
	va_start(args, fmt);
	vsnprintf(err->text, sizeof(err->text), fmt, args);
	va_end(args);
}

bool error_is_set(const struct error *err)
{
	return err->code != ERROR_NONE;
}

void error_clear(struct error *err)
{
	err->code = ERROR_NONE;
	err->text[0] = '\0';
}

const char *error_code_name(enum error_code code)
{
	switch (code) {
	case ERROR_NONE:
		return "none";
	case ERROR_INVALID:
		return "invalid";
	case ERROR_LIMIT:
		return "limit";
	case ERROR_IO:
		return "io";
	case ERROR_TIMEOUT:
		return "timeout";
	case ERROR_CONFLICT:
		return "conflict";
	case ERROR_NOT_FOUND:
		return "not-found";
	case ERROR_PROTOCOL:
		return "protocol";
	case ERROR_AUTH:
		return "auth";
	case ERROR_BUSY:
		return "busy";
	case ERROR_MEMORY:
		return "memory";
	}
	return "unknown";
}
