#include "call/upstream_probe.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))

/* Guards against requests to an upstream that takes none, or to an unknown
 * incarnation, after an incomplete or negative answer of the health check. */
Test(upstream_probe, only_a_complete_answer_detects_an_upstream)
{
	static const struct {
		const char *name;
		enum http_delivery delivery;
		unsigned int status;
		const char *id;
		const char *load;
		uint32_t slots; /* 0: no upstream is detected */
	} cases[] = {
		{ "healthy", HTTP_ANSWERED, 200, "i-1", "3,0,8", 8 },
		{ "load with the present pace of work", HTTP_ANSWERED, 200,
		  "i-1", "3,0,8,100", 8 },
		{ "leaving or unhealthy", HTTP_ANSWERED, 503, "i-1", "3,0,8",
		  0 },
		{ "no answer", HTTP_MAY_BE_SENT, 0, NULL, NULL, 0 },
		{ "without an id", HTTP_ANSWERED, 200, NULL, "3,0,8", 0 },
		{ "with an empty id", HTTP_ANSWERED, 200, "", "3,0,8", 0 },
		{ "without a load", HTTP_ANSWERED, 200, "i-1", NULL, 0 },
		{ "load of another format", HTTP_ANSWERED, 200, "i-1", "0.5",
		  0 },
		{ "trailing characters", HTTP_ANSWERED, 200, "i-1", "3,0,8x",
		  0 },
		{ "zero slots", HTTP_ANSWERED, 200, "i-1", "3,0,0", 0 },
		{ "too many slots", HTTP_ANSWERED, 200, "i-1", "0,0,999999",
		  0 },
	};
	const struct call_names *names = call_names(INTERFACE_PLATFORM);
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		struct http_header headers[2];
		struct http_answer answer = { .delivery = cases[i].delivery,
					      .status = cases[i].status,
					      .headers = headers };
		struct announcement upstream = { .slots = 0 };
		bool read;

		if (cases[i].id)
			headers[answer.header_count++] =
				(struct http_header){ names->instance_id,
						      cases[i].id };
		if (cases[i].load)
			headers[answer.header_count++] =
				(struct http_header){ names->load,
						      cases[i].load };
		read = upstream_probe_parse(names, &answer, &upstream);
		cr_expect_eq(read, cases[i].slots != 0, "%s", cases[i].name);
		if (!read)
			continue;
		cr_expect_eq(upstream.slots, cases[i].slots);
		cr_expect_str_eq(upstream.id, cases[i].id);
		cr_expect_eq(upstream.state, UPSTREAM_SERVING);
	}
}

/* Guards against an upstream that counts as leaving, or as well, because it had
 * no slot for the health check. */
Test(upstream_probe, an_answer_confirms_refutes_or_says_nothing)
{
	static const struct {
		const char *name;
		enum http_delivery delivery;
		unsigned int status;
		const char *id;
		const char *not_run;
		enum upstream_health wanted;
	} cases[] = {
		{ "well", HTTP_ANSWERED, 200, "i-1", NULL,
		  UPSTREAM_TAKES_REQUESTS },
		{ "leaving or unhealthy", HTTP_ANSWERED, 503, "i-1", NULL,
		  UPSTREAM_TAKES_NONE },
		{ "rejected, full", HTTP_ANSWERED, 503, "i-1", "1",
		  UPSTREAM_UNKNOWN },
		{ "rejected, too many", HTTP_ANSWERED, 429, "i-1", "1",
		  UPSTREAM_UNKNOWN },
		{ "without an id", HTTP_ANSWERED, 200, NULL, NULL,
		  UPSTREAM_UNKNOWN },
		{ "unavailable without an id", HTTP_ANSWERED, 503, NULL, NULL,
		  UPSTREAM_UNKNOWN },
		{ "no such path", HTTP_ANSWERED, 404, "i-1", NULL,
		  UPSTREAM_UNKNOWN },
		{ "error", HTTP_ANSWERED, 500, "i-1", NULL, UPSTREAM_UNKNOWN },
		{ "no answer", HTTP_MAY_BE_SENT, 0, NULL, NULL,
		  UPSTREAM_UNKNOWN },
		{ "not sent", HTTP_NOT_SENT, 0, NULL, NULL, UPSTREAM_UNKNOWN },
	};
	const struct call_names *names = call_names(INTERFACE_PLATFORM);
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		struct http_header headers[2];
		struct http_answer answer = { .delivery = cases[i].delivery,
					      .status = cases[i].status,
					      .headers = headers };
		const char *id;

		if (cases[i].id)
			headers[answer.header_count++] =
				(struct http_header){ names->instance_id,
						      cases[i].id };
		if (cases[i].not_run)
			headers[answer.header_count++] =
				(struct http_header){ names->not_run,
						      cases[i].not_run };
		cr_expect_eq(upstream_probe_health(names, &answer, &id),
			     cases[i].wanted, "%s", cases[i].name);
	}
}
