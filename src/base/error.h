#ifndef BASE_ERROR_H
#define BASE_ERROR_H

#include <stdbool.h>

#ifdef __cplusplus
extern "C" {
#endif

/**
 * DOC: error
 *
 * The caller owns the struct error and passes it down as the last parameter.
 * The first failure sets it and later failures do not change it, so that it
 * holds the cause and not a consequence.
 */

/** enum error_code - kind of a failure, for decisions of the caller. */
enum error_code {
	ERROR_NONE = 0,
	ERROR_INVALID, /* malformed or inconsistent input */
	ERROR_LIMIT,   /* a size, count or depth exceeds its maximum */
	ERROR_IO,      /* an input or output operation failed */
	ERROR_TIMEOUT,
	ERROR_CONFLICT, /* another writer was first */
	ERROR_NOT_FOUND,
	ERROR_PROTOCOL, /* a peer violated the protocol */
	ERROR_AUTH,	/* a peer of another deployment or without key */
	ERROR_BUSY,	/* a service refuses calls for now; retry later */
	ERROR_MEMORY,
};

enum { ERROR_TEXT_SIZE = 320 };

/**
 * struct error - the cause of a failure
 * @code: kind of the failure; ERROR_NONE if nothing failed
 * @text: one line for humans, without a full stop
 */
struct error {
	enum error_code code;
	char text[ERROR_TEXT_SIZE];
};

#define ERROR_INIT                                                             \
	{                                                                      \
		.code = ERROR_NONE                                             \
	}

/**
 * error_set() - record a failure unless one is already recorded
 * @err: where to record it; if NULL, the function does nothing
 * @code: kind of the failure, not ERROR_NONE
 * @fmt: format of the text, as for printf()
 */
void error_set(struct error *err, enum error_code code, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

bool error_is_set(const struct error *err);

/** error_clear() - reset @err to ERROR_NONE and an empty text. */
void error_clear(struct error *err);

/** error_code_name() - name of a code in logs and JSON; it never changes. */
const char *error_code_name(enum error_code code);

#ifdef __cplusplus
}
#endif

#endif
