#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "node/bounds.h"
#include "profile/profile.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

static const struct http_server_limits maximum = {
	.max_head_bytes = 9000,
	.max_body_bytes = 100000,
	.idle_timeout_ms = 75000,
};

static struct profile *parse(const char *name, const char *limits)
{
	struct faults *faults = calloc(1, sizeof(*faults));
	char text[512];
	struct profile *profile;

	snprintf(text, sizeof(text),
		 "[kind.k]\n[[host_route]]\nname = \"r\"\nhost = \"%s\"\n"
		 "prefix = \"/\"\nkind = \"k\"\n"
		 "parts = [{service = \"s\"}]\n%s",
		 name, limits);
	profile = profile_parse(name, text, strlen(text), faults);
	cr_assert_not_null(profile, "%s", faults->items[0].text);
	free(faults);
	return profile;
}

/* Failure: the limits of profiles are parsed but not applied, so that callers
 * within their limits are refused and slow callers hold memory forever. */
Test(bounds, the_loosest_profile_holds_up_to_what_fits)
{
	static const struct {
		const char *a;
		const char *b;
		struct http_server_limits wanted;
	} cases[] = {
		{ "", "", { 0, 100000, 0, 75000 } },
		{ "[limits]\nheader_bytes = 4096\nbody_bytes = 2000\n"
		  "header_timeout_ms = 700\nidle_timeout_ms = 9000\n",
		  "",
		  { 4096, 2000, 700, 9000 } },
		{ "[limits]\nheader_bytes = 4096\nbody_bytes = 2000\n"
		  "header_timeout_ms = 700\nidle_timeout_ms = 9000\n",
		  "[limits]\nheader_bytes = 40960\nbody_bytes = 3000\n"
		  "header_timeout_ms = 600\nidle_timeout_ms = 12000\n",
		  { 9000, 3000, 700, 12000 } },
		{ "[limits]\nheader_bytes = 4096\nbody_bytes = 64000000\n"
		  "header_timeout_ms = 700\nidle_timeout_ms = 9000\n",
		  "",
		  { 4096, 100000, 700, 9000 } },
	};
	struct http_server_limits got = bounds_from_config(NULL, &maximum);
	size_t i;

	cr_expect_eq(got.max_body_bytes, maximum.max_body_bytes);
	for (i = 0; i < COUNT(cases); i++) {
		struct config *config = config_new(2);

		config->profiles[0].profile = parse("a", cases[i].a);
		config->profiles[1].profile = parse("b", cases[i].b);
		got = bounds_from_config(config, &maximum);
		cr_expect(!memcmp(&got, &cases[i].wanted, sizeof(got)),
			  "%zu: %zu %zu %lld %lld", i, got.max_head_bytes,
			  got.max_body_bytes, (long long)got.head_timeout_ms,
			  (long long)got.idle_timeout_ms);
		config_unref(config);
	}
}
