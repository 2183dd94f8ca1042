#include "quarantine/fingerprint.h"

#include <criterion/criterion.h>
#include <string.h>

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

static struct fingerprint_key key_of(const char *secret)
{
	struct fingerprint_key key;
	struct wire_key wire_key;

	wire_key_init(&wire_key, secret, "deployment");
	fingerprint_key_init(&key, &wire_key);
	return key;
}

static struct fingerprint fingerprint_with(const char *secret,
					   const char *const fields[5])
{
	const struct fingerprint_key key = key_of(secret);
	const struct fingerprint_input input = {
		.method = fields[0],
		.host = fields[1],
		.target = fields[2],
		.caller = fields[3],
		.body = fields[4],
		.body_size = strlen(fields[4]),
	};

	return fingerprint_of(&key, &input);
}

/* Two different requests with one fingerprint would be blocked together, and
 * one request with two fingerprints would not be recognized. */
Test(fingerprint, each_part_of_the_content_counts)
{
	static const char *const request[5] = { "GET", "host", "/a", "caller",
						"body" };
	static const struct {
		const char *name;
		const char *fields[5];
		bool same_content;
		bool same_by_caller;
	} cases[] = {
		{ "same",
		  { "GET", "host", "/a", "caller", "body" },
		  true,
		  true },
		{ "method",
		  { "PUT", "host", "/a", "caller", "body" },
		  false,
		  false },
		{ "host",
		  { "GET", "hos", "/a", "caller", "body" },
		  false,
		  false },
		{ "target",
		  { "GET", "host", "/a?b", "caller", "body" },
		  false,
		  false },
		{ "body",
		  { "GET", "host", "/a", "caller", "bodY" },
		  false,
		  false },
		{ "no body",
		  { "GET", "host", "/a", "caller", "" },
		  false,
		  false },
		{ "bytes moved",
		  { "GET", "host/", "a", "caller", "body" },
		  false,
		  false },
		{ "caller",
		  { "GET", "host", "/a", "other", "body" },
		  true,
		  false },
	};
	const struct fingerprint want = fingerprint_with("secret", request);
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		struct fingerprint got =
			fingerprint_with("secret", cases[i].fields);

		cr_expect_eq(got.content == want.content, cases[i].same_content,
			     "%s", cases[i].name);
		cr_expect_eq(got.by_caller == want.by_caller,
			     cases[i].same_by_caller, "%s", cases[i].name);
		cr_expect_neq(got.content, got.by_caller, "%s", cases[i].name);
	}
}

/* Without a secret key, a client could search for a request that has the
 * fingerprint of another client's request and get that one blocked. */
Test(fingerprint, depends_on_the_secret_of_the_deployment)
{
	static const char *const request[5] = { "GET", "host", "/a", "caller",
						"body" };

	cr_expect_neq(fingerprint_with("one", request).content,
		      fingerprint_with("two", request).content);
}
