#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#include "http/keep_alive.h"
#include "os/clock.h"

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))

/* Guards against a request on a connection that its server closes, and against
 * a time out of range. */
Test(keep_alive, a_connection_is_idle_for_less_than_its_server_allows)
{
	static const struct {
		const char *field; /* NULL: none */
		int64_t wanted_ms;
	} cases[] = {
		{ NULL, 4000 },
		{ "max=5", 4000 },
		{ "timeout=5", 4000 },
		{ "timeout=10, max=3", 8000 },
		{ "Timeout=15", 12000 },
		{ "timeout=60", 48000 },
		{ "timeout=70", 56000 },
		{ "timeout=900", 60000 },
		{ "timeout=99999999999999999999", 60000 },
		{ "timeout=0", 0 },
		{ "timeout=-3", 0 },
		{ "timeout=x", 0 },
	};
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		struct http_head head = { 0 };

		http_head_reset(&head);
		if (cases[i].field) {
			http_head_append_name(&head, "Keep-Alive", 10);
			http_head_append_value(&head, cases[i].field,
					       strlen(cases[i].field));
		}
		http_head_end(&head);
		cr_expect_eq(keep_alive_us(&head),
			     cases[i].wanted_ms * US_PER_MS, "case %zu", i);
		http_head_finish(&head);
	}
}
