#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#include "profile/profile.h"

static const char valid_text[] = "services = [\"cellar-view\", \"seal-desk\"]\n"
				 "drain_ms = 4000\n"
				 "[kind.check]\n"
				 "weight = 5\n"
				 "repeatable = true\n"
				 "[kind.seal]\n"
				 "weight = 9.5\n"
				 "deadline_ms = 800\n"
				 "[[route]]\n"
				 "method = \"GET\"\n"
				 "path = \"/cellar/*\"\n"
				 "kind = \"check\"\n"
				 "[[route]]\n"
				 "path = \"/cellar/seal\"\n"
				 "kind = \"seal\"\n"
				 "[[route]]\n"
				 "method = \"POST\"\n"
				 "path = \"/cellar/seal\"\n"
				 "kind = \"check\"\n";

Test(profile, a_profile_is_parsed_with_defaults)
{
	struct faults faults = { 0 };
	struct profile *profile = profile_parse("cellar", valid_text,
						strlen(valid_text), &faults);

	cr_assert_not_null(profile, "%s", faults.items[0].text);
	cr_assert_eq(profile->drain_ms, 4000);
	cr_assert_eq(profile->cold_start_ms, 5000);
	cr_assert_eq(profile->kind_count, 2);
	cr_assert_eq(profile->kinds[1].deadline_ms, 800);
	cr_assert(profile->kinds[0].repeatable);
	cr_assert_not(profile->kinds[1].repeatable);
	cr_assert(profile_covers(profile, "seal-desk"));
	cr_assert_not(profile_covers(profile, "log-archive"));
	profile_free(profile);
}

Test(profile, the_longest_path_wins_then_a_named_method)
{
	static const struct {
		const char *method;
		const char *path;
		const char *kind;
	} cases[] = {
		{ "GET", "/cellar/7", "check" },
		{ "POST", "/cellar/7", NULL },
		{ "GET", "/cellar/seal", "seal" },
		{ "POST", "/cellar/seal", "check" },
		{ "GET", "/cellar", NULL },
		{ "GET", "/cellar/seal/2", "check" },
	};
	struct faults faults = { 0 };
	struct profile *profile = profile_parse("cellar", valid_text,
						strlen(valid_text), &faults);
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		const struct kind *kind =
			profile_match(profile, cases[i].method, cases[i].path);

		cr_expect_str_eq(kind ? kind->name : "none",
				 cases[i].kind ? cases[i].kind : "none",
				 "%s %s", cases[i].method, cases[i].path);
	}
	profile_free(profile);
}

#define KIND "services = [\"a\"]\n[kind.k]\n"
#define NAME_64                                                                \
	"sixteen-letters-sixteen-letters-sixteen-letters-sixteen-letters-"
#define NAME_160 NAME_64 NAME_64 "sixteen-letters-sixteen-letters-"
#define RULE                                                                   \
	"[kind.k]\n[[host_route]]\nhost = \"h\"\nkind = \"k\"\n"               \
	"parts = [\"a\"]\n"
#define HOST_ROUTE                                                             \
	"[kind.k]\n[[host_route]]\n\nname = \"r\"\nhost = \"h\"\n"             \
	"prefix = \"/\"\nkind = \"k\"\n"
#define ROUTE "[[route]]\npath = \"/\"\nkind = \"k\"\n"

Test(profile, faults_are_reported_with_their_lines)
{
	static const struct {
		const char *text;
		uint32_t count;
		uint32_t line;
		const char *message;
	} cases[] = {
		{ "services = [\"a\"\n", 1, 1, "end-of-file" },
		{ KIND ROUTE "drain = 1\n", 1, 6, "unknown key route.drain" },
		{ "drain_m = 1\n" KIND ROUTE, 1, 1, "did you mean drain_ms?" },
		{ "drain_ms = -1\n" KIND ROUTE, 1, 1, "must be 0 to" },
		{ "drain_ms = \"x\"\n" KIND ROUTE, 1, 1, "must be an integer" },
		{ KIND "wait = 1\n" ROUTE, 1, 3, "unknown key kind.k.wait" },
		/* A nested call could not pass on a larger weight: the node
		 * that receives the call would refuse it as malformed. */
		{ KIND "weight = 1000.5\n" ROUTE, 1, 3, "must be 0 to 1000" },
		{ KIND, 1, 1, "route is missing" },
		{ KIND "[[route]]\npath = \"/\"\nkind = \"kk\"\n", 1, 3,
		  "did you mean k?" },
		{ KIND "[[route]]\npath = \"x\"\nkind = \"k\"\n", 1, 3,
		  "route.path must begin with /" },
		{ KIND "[[route]]\npath = \"/*/x\"\nkind = \"k\"\n", 1, 3,
		  "only at its end" },
		{ KIND ROUTE ROUTE, 1, 6, "already given in line 3" },
		{ KIND
		  "[[route]]\nmethod = \"get\"\npath = \"/\"\nkind = \"k\"",
		  1, 3, "upper case" },
		{ "services = []\n[kind.k]\n" ROUTE, 1, 1,
		  "at least one entry" },
		{ "services = [\"a\", \"a\"]\n[kind.k]\n" ROUTE, 1, 1,
		  "listed twice" },
		{ "services = [\"a b\", 3]\n[kind.k]\n" ROUTE, 2, 1,
		  "no service name" },
		{ "services = [\"a\"]\n[kind.\"K\"]\n" ROUTE, 2, 2,
		  "no kind name" },
		{ "services = 3\nkind = 3\nroute = 3\n", 3, 1,
		  "services must be an array" },
		{ "", 3, 0, "services is missing" },
		{ HOST_ROUTE "parts = [\"\"]\n", 1, 8, "1 to" },
		{ HOST_ROUTE "parts = [3]\n", 2, 8, "names or tables" },
		{ HOST_ROUTE "parts = [\"" NAME_160 "\"]\n", 1, 8, "1 to" },
		{ HOST_ROUTE "parts = []\n", 1, 2, "some weight" },
		{ RULE "name = \"r\"\n", 1, 2, "begin and end with /" },
		{ RULE "prefix = \"/\"\n", 1, 2, "name of a host route" },
		{ RULE "name = \"r\"\n[host_route.prefixes]\nr = \"/\"\n", 1, 2,
		  "but not both" },
		{ RULE "prefixes = {r = \"/a\"}\n", 1, 6, "begin and end" },
		{ RULE "prefixes = {r = 3}\n", 1, 6, "must hold strings" },
		{ RULE "prefixes = {\"\" = \"/\"}\n", 1, 6, "1 to 63" },
		{ RULE "prefixes = \"/\"\n", 1, 6, "must be a table" },
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct faults faults = { 0 };

		cr_expect_null(profile_parse("p", cases[i].text,
					     strlen(cases[i].text), &faults));
		cr_expect_eq(faults.count, cases[i].count, "%zu: %u faults, %s",
			     i, faults.count, faults.items[0].text);
		if (cases[i].line)
			cr_expect_eq(faults.items[0].line, cases[i].line,
				     "%zu: line %u, %s", i,
				     faults.items[0].line,
				     faults.items[0].text);
		cr_expect(strstr(faults.items[0].text, cases[i].message),
			  "%zu: %s", i, faults.items[0].text);
	}
}

Test(profile, names_and_sizes_are_bounded)
{
	static char large[PROFILE_TEXT_MAX + 1];
	struct faults faults = { 0 };

	memset(large, '#', sizeof(large));
	cr_assert_null(profile_parse("p", large, sizeof(large), &faults));
	cr_assert_null(
		profile_parse("../p", valid_text, strlen(valid_text), &faults));
	cr_assert_null(
		profile_parse("", valid_text, strlen(valid_text), &faults));
	cr_assert_eq(faults.count, 3);
}

Test(profile, parts_are_names_or_tables)
{
	static const struct {
		const char *parts;
		uint32_t count;
		double first;
		double sum;
	} cases[] = {
		{ "[\"a\"]", 1, 1, 1 },
		{ "[{service = \"a\"}]", 1, 1, 1 },
		{ "[{service = \"a\", weight = 90}, \"b\"]", 2, 90, 91 },
	};
	char text[512];
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct faults faults = { 0 };
		const struct host_rule *rule;
		struct profile *profile;

		snprintf(text, sizeof(text), HOST_ROUTE "parts = %s\n",
			 cases[i].parts);
		profile = profile_parse("p", text, strlen(text), &faults);
		cr_assert_not_null(profile, "%zu: %s", i, faults.items[0].text);
		rule = &profile->host_rules[0];
		cr_expect_eq(rule->part_count, cases[i].count);
		cr_expect_str_eq(rule->parts[0].service, "a");
		cr_expect_float_eq(rule->parts[0].weight, cases[i].first,
				   0.001);
		cr_expect_float_eq(rule->weight_sum, cases[i].sum, 0.001);
		profile_free(profile);
	}
}

Test(profile, routes_of_a_host_share_their_rule)
{
	static const char text[] = RULE "[host_route.prefixes]\n"
					"r-1 = \"/a/\"\n"
					"\"r 2\" = \"/b/\"\n"
					"[[host_route]]\nhost = \"g\"\n"
					"kind = \"k\"\nparts = [\"b\"]\n"
					"name = \"r-3\"\nprefix = \"/\"\n";
	static const struct {
		const char *name;
		const char *prefix;
		const char *host;
		const char *service;
	} wanted[] = {
		{ "r-1", "/a/", "h", "a" },
		{ "r 2", "/b/", "h", "a" },
		{ "r-3", "/", "g", "b" },
	};
	struct faults faults = { 0 };
	struct profile *profile =
		profile_parse("p", text, strlen(text), &faults);
	size_t i;

	cr_assert_not_null(profile, "%s", faults.items[0].text);
	cr_assert_eq(profile->host_route_count, 3);
	cr_expect_eq(profile->host_rule_count, 2);
	for (i = 0; i < profile->host_route_count; i++) {
		const struct host_route *route = &profile->host_routes[i];
		const struct host_rule *rule =
			&profile->host_rules[route->rule];

		cr_expect_str_eq(route->name, wanted[i].name);
		cr_expect_str_eq(route->prefix, wanted[i].prefix);
		cr_expect_str_eq(rule->host, wanted[i].host);
		cr_expect_str_eq(rule->parts[0].service, wanted[i].service);
	}
	profile_free(profile);
}
