#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#include "call/path_test.h"

/* Requests with many header fields. */

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

enum { FIELDS_MAX = 200, FIELD_NAME_SIZE = 16, OTHER_FIELDS = 3 };

static const struct {
	const char *name;
	uint32_t fields; /* besides Host, X-Request-Id and Content-Length */
	unsigned int status;
} cases[] = {
	{ "few", 5, 200 },
	{ "more than frames of earlier versions carry", 66, 200 },
	{ "as many as field-proven proxies take", 100, 200 },
	{ "the limit", HTTP_FIELDS_MAX - OTHER_FIELDS, 200 },
	{ "more than the limit", HTTP_FIELDS_MAX - OTHER_FIELDS + 1, 431 },
	{ "many more than the limit", FIELDS_MAX, 431 },
};

/* Guards against refusing a proper request for its number of fields, and
 * against a refusal from which the caller cannot see the reason. */
Test(many_fields, a_request_is_carried_or_refused_with_431, .timeout = 60)
{
	static struct http_header headers[FIELDS_MAX];
	static char names[FIELDS_MAX][FIELD_NAME_SIZE];
	size_t i;

	for (i = 0; i < FIELDS_MAX; i++) {
		snprintf(names[i], FIELD_NAME_SIZE, "X-Field-%zu", i);
		headers[i] = (struct http_header){ names[i], "value" };
	}
	for (i = 0; i < 2 * COUNT(cases); i++) {
		size_t row = i / 2;
		const struct path_request request = {
			.method = "POST",
			.path = "/seal",
			.id = "many",
			.headers = headers,
			.header_count = cases[row].fields,
		};
		struct path_result *result;

		path_setup();
		if (i % 2)
			path_route_to_own();
		result = path_send(&request);
		path_wait(&result->answers, 1, cases[row].name);
		cr_expect_eq(result->status, cases[row].status, "%s: %u %s",
			     cases[row].name, result->status, result->reason);
		if (result->status == 200)
			cr_expect_not_null(strstr(path.upstream.seen,
						  names[cases[row].fields - 1]),
					   "%s", cases[row].name);
		path_teardown();
	}
}
