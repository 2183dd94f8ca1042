#include <criterion/criterion.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "route/hosts.h"

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))

static const char text[] =
	"[kind.k]\n"
	"[[host_route]]\n"
	"name = \"short\"\nhost = \"a.example\"\nprefix = \"/x/\"\nkind = \"k\"\n"
	"parts = [{service = \"one\"}]\n"
	"[[host_route]]\n"
	"name = \"long\"\nhost = \"a.example\"\nprefix = \"/x/y/\"\nkind = \"k\"\n"
	"parts = [{service = \"two\"}]\n"
	"[[host_route]]\n"
	"name = \"other\"\nhost = \"B.Example\"\nprefix = \"/\"\nkind = \"k\"\n"
	"parts = [{service = \"one\", weight = 90},"
	" {service = \"none\", weight = 0}, {service = \"two\", weight = 10}]\n";

static struct config *config;
static struct host_table table;
static struct random generator;

static void setup(void)
{
	struct faults *faults = calloc(1, sizeof(*faults));

	random_init(&generator, 7);
	config = config_new(1);
	config->profiles[0].profile =
		profile_parse("mesh", text, strlen(text), faults);
	cr_assert_not_null(config->profiles[0].profile, "%s",
			   faults->items[0].text);
	free(faults);
	hosts_build(&table, config, &generator);
}

static void teardown(void)
{
	hosts_finish(&table);
	config_unref(config);
}

Test(hosts, the_longest_prefix_of_the_host_wins, .init = setup,
     .fini = teardown)
{
	static const struct {
		const char *host;
		const char *path;
		const char *route; /* NULL: none */
	} cases[] = {
		{ "a.example", "/x/", "short" },
		{ "a.example", "/x/z", "short" },
		{ "a.example", "/x/y/", "long" },
		{ "a.example", "/x/y/z", "long" },
		{ "a.example", "/x/y", "short" },
		{ "A.EXAMPLE:8080", "/x/y/", "long" },
		{ "b.example", "/anything", "other" },
		{ "a.example", "/x", NULL },
		{ "a.example", "/", NULL },
		{ "a.example", "", NULL },
		{ "c.example", "/x/", NULL },
		{ "", "/x/", NULL },
	};
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		const struct host_entry *slot =
			hosts_find(&table, cases[i].host, cases[i].path);

		cr_expect_str_eq(slot ? slot->route->name : "(none)",
				 cases[i].route ? cases[i].route : "(none)",
				 "%s%s", cases[i].host, cases[i].path);
	}
}

/*
 * Symptom: a tenth of the requests for a service go to its new part, but the
 * share over some seconds is anything from 0.05 to 0.15.
 * Sequence: few requests a second on each node, the part drawn by chance.
 * Cause: the spread of a random draw over few requests.
 */
Test(hosts, parts_have_their_shares_also_over_few_requests, .init = setup,
     .fini = teardown)
{
	static const uint32_t sizes[] = { 20, 50, 200, 1000 };
	struct host_entry *slot = hosts_find(&table, "b.example", "/");
	size_t i;

	for (i = 0; i < COUNT(sizes); i++) {
		uint32_t second = 0;
		uint32_t n;

		for (n = 0; n < sizes[i]; n++) {
			const struct route_part *part =
				host_entry_next_part(slot);

			cr_assert_str_neq(part->service, "none");
			second += !strcmp(part->service, "two");
		}
		cr_expect(fabs((double)second / sizes[i] - 0.1) <=
				  1.0 / sizes[i] + 0.011,
			  "%u of %u", second, sizes[i]);
	}
}
