#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "node/reload_keys.h"

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))

static const char base[] = "[node]\ndeployment = \"d\"\ndata_centre = \"c\"\n"
			   "instance = \"i\"\ninterface = \"platform\"\n"
			   "[listen]\npeer = \"127.0.0.1:1\"\n"
			   "caller = \"127.0.0.1:2\"\n"
			   "[peers]\nsecret = \"0123456789abcdef\"\n";

static void expect_entry(const struct settings_option *option, void *data)
{
	char name[64];

	snprintf(name, sizeof(name), "%s.%s", option->section,
		 option->field->name);
	cr_expect_neq(reload_effect_of(name), RELOAD_UNKNOWN, "%s", name);
	cr_expect_lt(settings_key_index(name), SETTINGS_KEYS_MAX, "%s", name);
	(*(int *)data)++;
}

/* Guards against a key whose change has no effect and is not reported. */
Test(reload_keys, every_key_has_an_effect)
{
	int count = 0;

	settings_each(expect_entry, &count);
	cr_expect_gt(count, 80);
	cr_expect_lt(count, SETTINGS_KEYS_MAX);
	cr_expect_eq(reload_effect_of("call.unknown"), RELOAD_UNKNOWN);
}

static struct settings *read_settings(const char *more)
{
	struct settings *settings = calloc(1, sizeof(*settings));
	struct faults *faults = calloc(1, sizeof(*faults));
	char text[1024];

	cr_assert(settings && faults);
	snprintf(text, sizeof(text), "%s%s", base, more);
	cr_assert(settings_parse(settings, text, strlen(text), faults), "%s",
		  faults->items[0].text);
	free(faults);
	return settings;
}

static void add_name(const char *name, enum reload_effect effect, void *data)
{
	char *names = data;

	snprintf(names + strlen(names), 256 - strlen(names), "%s%s ",
		 effect == RELOAD_AT_ONCE ? "+" : "-", name);
}

/* Guards against a change that is missed, that is reported with each reading,
 * or that is reported though the value is in force. */
Test(reload_keys, changes_are_found_and_reported_once)
{
	static const struct {
		const char *name;
		const char *in_force;
		const char *seen;
		const char *read;
		const char *wanted; /* "+" at once, "-" with a restart */
	} cases[] = {
		{ "nothing", "", "", "", "" },
		{ "address", "[platform]\naddress = \"127.0.0.1:5\"\n",
		  "[platform]\naddress = \"127.0.0.1:5\"\n",
		  "[platform]\naddress = \"127.0.0.1:6\"\n",
		  "+platform.address " },
		{ "seeds", "", "", "seeds = [\"127.0.0.1:9\"]\n",
		  "+peers.seeds " },
		{ "grace period, and what follows from it", "", "",
		  "[call]\ngrace_s = 8\n", "+call.grace_s " },
		{ "a default that is written out", "", "",
		  "[gate]\nqueue_max = 256\n", "" },
		{ "one with a restart", "", "", "[gate]\nqueue_max = 7\n",
		  "-gate.queue_max " },
		{ "reported before", "", "[gate]\nqueue_max = 7\n",
		  "[gate]\nqueue_max = 7\n", "" },
		{ "another value", "", "[gate]\nqueue_max = 7\n",
		  "[gate]\nqueue_max = 8\n", "-gate.queue_max " },
		{ "taken back", "", "[gate]\nqueue_max = 7\n", "", "" },
		{ "several", "", "",
		  "[call]\nretry_slack = 5\nretry_window_s = 7\n"
		  "max_calls = 9\n[log]\nlevel = \"warn\"\n",
		  "+log.level -call.max_calls +call.retry_slack "
		  "+call.retry_window_s " },
	};
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		struct settings *in_force = read_settings(cases[i].in_force);
		struct settings *seen = read_settings(cases[i].seen);
		struct settings *read = read_settings(cases[i].read);
		char names[256] = "";

		reload_compare(in_force, seen, read, add_name, names);
		cr_expect_str_eq(names, cases[i].wanted, "%s: %s",
				 cases[i].name, names);
		reload_take(in_force, read);
		names[0] = '\0';
		reload_compare(in_force, read, read, add_name, names);
		cr_expect_str_eq(names, "", "%s: again %s", cases[i].name,
				 names);
		cr_expect_eq(in_force->call.linger_ms, read->call.linger_ms);
		cr_expect_float_eq(in_force->call.retry_slack,
				   read->call.retry_slack, 1e-9);
		free(in_force);
		free(seen);
		free(read);
	}
}
