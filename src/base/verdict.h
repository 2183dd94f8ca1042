#ifndef BASE_VERDICT_H
#define BASE_VERDICT_H

#include <stdbool.h>

/**
 * DOC: verdict
 *
 * Each failure of a call reports whether the upstream may have run the request.
 * VERDICT_NOT_RUN is a guarantee: it is reported only if it is proved.
 */

/** enum verdict - whether the upstream ran a request. */
enum verdict {
	VERDICT_NOT_RUN = 0,	  /* proved: a retry is safe */
	VERDICT_MAY_HAVE_RUN = 1, /* not known */
	VERDICT_RAN = 2,	  /* the upstream answered */
};

/** verdict_name() - "not-run", "may-have-run" or "ran". */
const char *verdict_name(enum verdict verdict);

/**
 * verdict_parse() - parse a name that verdict_name() returns
 *
 * Return: false if @name is unknown; @verdict is then unchanged.
 */
bool verdict_parse(const char *name, enum verdict *verdict);

/**
 * verdict_join() - combine the verdicts of two attempts of one request
 *
 * Return: the greater verdict. The request is not run only if both attempts are
 * proved not to have run.
 */
enum verdict verdict_join(enum verdict a, enum verdict b);

#endif
