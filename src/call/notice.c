#include "call/notice.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

enum { VALUE_MAX_SIZE = 32 };

/* A higher limit limits nothing. */
#define RATE_LIMIT_MAX_PER_S 1e9

/* Returns true if the field occurs once at most; *value is NULL if it does not
 * occur. */
static bool find_single(const struct http_answer *answer, const char *name,
			const char **value, struct error *err)
{
	size_t i;

	*value = NULL;
	for (i = 0; name && i < answer->header_count; i++) {
		if (strcasecmp(answer->headers[i].name, name) != 0)
			continue;
		if (*value) {
			error_set(err, ERROR_INVALID,
				  "%s occurs more than once", name);
			return false;
		}
		*value = answer->headers[i].value;
	}
	return true;
}

/* Returns true for digits with at most one point between them. strtod() alone
 * accepts exponents, hexadecimal numbers, "inf" and "nan". */
static bool is_decimal(const char *text)
{
	size_t digits = strspn(text, "0123456789");
	const char *rest = text + digits;

	if (!digits || strlen(text) >= VALUE_MAX_SIZE)
		return false;
	if (*rest == '.') {
		rest++;
		digits = strspn(rest, "0123456789");
		rest += digits;
	}
	return digits && !*rest;
}

static bool read_rate_limit(const char *name, const char *value,
			    struct upstream_notice *notice, struct error *err)
{
	if (!value)
		return true;
	if (!is_decimal(value)) {
		error_set(err, ERROR_INVALID,
			  "%s is not a decimal number: \"%.32s\"", name, value);
		return false;
	}
	notice->has_rate_limit = true;
	notice->rate_limit_per_s =
		fmin(strtod(value, NULL), RATE_LIMIT_MAX_PER_S);
	return true;
}

static bool read_leaving(const char *name, const char *value,
			 struct upstream_notice *notice, struct error *err)
{
	if (!value || !strcmp(value, "0"))
		return true;
	if (strcmp(value, "1") != 0) {
		error_set(err, ERROR_INVALID, "%s is not 0 or 1: \"%.32s\"",
			  name, value);
		return false;
	}
	notice->leaving = true;
	return true;
}

bool notice_read(const struct call_names *names,
		 const struct http_answer *answer,
		 struct upstream_notice *notice, struct error *err)
{
	const char *rate_limit;
	const char *leaving;

	memset(notice, 0, sizeof(*notice));
	return find_single(answer, names->rate_limit, &rate_limit, err) &&
	       find_single(answer, names->leaving, &leaving, err) &&
	       read_rate_limit(names->rate_limit, rate_limit, notice, err) &&
	       read_leaving(names->leaving, leaving, notice, err);
}
