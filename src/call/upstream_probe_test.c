#include "call/upstream_probe.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))

/*
 * Symptom: requests go to an upstream that takes none, or to one that is not
 * the announced one.
 * Sequence: a node starts beside an upstream and asks its health check.
 * Cause: an answer taken for more than it says.
 */
Test(upstream_probe, only_a_whole_answer_tells_of_an_upstream)
{
	static const struct {
		const char *name;
		enum http_delivery delivery;
		unsigned int status;
		const char *id;
		const char *load;
		uint32_t slots; /* 0: nothing is learned */
	} cases[] = {
		{ "well", HTTP_ANSWERED, 200, "i-1", "3,0,8", 8 },
		{ "leaving, or ill", HTTP_ANSWERED, 503, "i-1", "3,0,8", 0 },
		{ "no answer", HTTP_MAY_BE_SENT, 0, NULL, NULL, 0 },
		{ "without an id", HTTP_ANSWERED, 200, NULL, "3,0,8", 0 },
		{ "with an empty id", HTTP_ANSWERED, 200, "", "3,0,8", 0 },
		{ "without its load", HTTP_ANSWERED, 200, "i-1", NULL, 0 },
		{ "with another load", HTTP_ANSWERED, 200, "i-1", "0.5", 0 },
		{ "with rubbish", HTTP_ANSWERED, 200, "i-1", "3,0,8x", 0 },
		{ "with no slots", HTTP_ANSWERED, 200, "i-1", "3,0,0", 0 },
		{ "with too many", HTTP_ANSWERED, 200, "i-1", "0,0,999999", 0 },
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
