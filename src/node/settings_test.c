#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#include "node/settings.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

static const char minimal[] = "[node]\n"
			      "deployment = 'd'\n"
			      "data_centre = 'dc1'\n"
			      "instance = 'i1'\n"
			      "[listen]\n"
			      "peer = '127.0.0.1:0'\n"
			      "caller = '127.0.0.1:0'\n"
			      "[peers]\n"
			      "secret = '0123456789abcdef'\n";

static bool parse(const char *text, struct settings *settings,
		  struct faults *faults)
{
	memset(faults, 0, sizeof(*faults));
	return settings_parse(settings, text, strlen(text), faults);
}

Test(settings, the_minimal_file_gets_all_defaults)
{
	struct settings settings;
	struct faults faults;

	cr_assert(parse(minimal, &settings, &faults), "%u: %s",
		  faults.items[0].line, faults.items[0].text);
	cr_assert_str_eq(settings.node.data_centre, "dc1");
	cr_assert_eq(settings.listen.operator_.port, 7103);
	cr_assert_eq(settings.platform.address.family, 0);
	cr_assert_eq(settings.call.silence_ms, 300);
	cr_assert_eq(settings.log.level, LOG_INFO);
	cr_assert(settings.gate.fair);
}

/* Each case appends to the nine lines of the minimal file. */
Test(settings, each_fault_names_line_and_key)
{
	static const struct {
		const char *more;
		uint32_t line;
		const char *text;
	} cases[] = {
		{ "seed = []\n", 10,
		  "unknown key peers.seed, did you mean seeds?" },
		{ "[lok]\n", 10, "unknown key lok, did you mean log?" },
		{ "[call]\nsilence_ms = 1\n", 11,
		  "call.silence_ms must be 20 to 600000, is 1" },
		{ "[call]\nask_back = 1\n", 11,
		  "call.ask_back must be true or false" },
		{ "seeds = [ 3 ]\n", 10,
		  "peers.seeds must hold strings of IP:port" },
		{ "seeds = [ 'host:1' ]\n", 10,
		  "peers.seeds must be IP:port, is \"host:1\"" },
		{ "secret_file = '/x'\n", 10,
		  "peers.secret and peers.secret_file exclude each other" },
		{ "[operator]\ntoken_file = '/nonexistent'\n", 11,
		  "cannot read operator.token_file /nonexistent: No such "
		  "file or directory" },
		{ "[platform]\naddress = 'here'\n", 11,
		  "platform.address must be IP:port, is \"here\"" },
		{ "[platform]\ndeadline_ms = 900\n", 11,
		  "platform.deadline_ms must not be less than "
		  "platform.timeout_ms" },
		{ "[platform]\nlease_ms = 2000\n", 11,
		  "platform.lease_ms must be more than twice "
		  "platform.timeout_ms" },
		{ "[log]\nlevel = 'loud'\n", 11,
		  "log.level must be debug, info, warn or error, is "
		  "\"loud\"" },
		{ "[membership]\nprobe_timeout_ms = 1000\n", 11,
		  "membership.probe_timeout_ms must be less than "
		  "membership.probe_interval_ms" },
		{ "[membership]\nsync_max_ms = 100\n", 11,
		  "membership.sync_max_ms must not be less than "
		  "membership.sync_min_ms" },
		{ "[membership]\nlink_timeout_ms = 1000\n", 11,
		  "membership.link_timeout_ms must be more than "
		  "membership.link_interval_ms" },
	};
	struct settings settings;
	struct faults faults;
	char text[1024];
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		snprintf(text, sizeof(text), "%s%s", minimal, cases[i].more);
		cr_assert_not(parse(text, &settings, &faults), "case %zu", i);
		cr_assert_eq(faults.count, 1, "case %zu: %u", i, faults.count);
		cr_assert_eq(faults.items[0].line, cases[i].line,
			     "case %zu: line %u", i, faults.items[0].line);
		cr_assert_str_eq(faults.items[0].text, cases[i].text);
	}
}

Test(settings, listeners_that_a_stranger_could_misuse_are_refused)
{
	static const struct {
		const char *listen;
		const char *text;
	} cases[] = {
		{ "upstream = '10.0.0.1:1'\n",
		  "listen.upstream must be a loopback address, is "
		  "\"10.0.0.1:1\"" },
		{ "operator = '10.0.0.1:1'\n",
		  "operator.token or operator.token_file must be set when "
		  "listen.operator is not a loopback address" },
	};
	struct settings settings;
	struct faults faults;
	char text[1024];
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		snprintf(text, sizeof(text), "%s[listen]\n%s%s",
			 "[node]\ndeployment='d'\ndata_centre='c'\n"
			 "instance='i'\n[peers]\nsecret='0123456789abcdef'\n",
			 "peer='127.0.0.1:0'\ncaller='127.0.0.1:0'\n",
			 cases[i].listen);
		cr_assert_not(parse(text, &settings, &faults));
		cr_assert_eq(faults.count, 1);
		cr_assert_eq(faults.items[0].line, 10);
		cr_assert_str_eq(faults.items[0].text, cases[i].text);
	}
}

Test(settings, all_faults_at_once)
{
	struct settings settings;
	struct faults faults;

	cr_assert_not(parse("[call]\nsilence_ms='a'\nmax_call=1\n", &settings,
			    &faults));
	/* Three names, two listeners and the secret are missing; the text
	 * contains two faults. */
	cr_assert_eq(faults.count, 8, "%u", faults.count);
}

Test(settings, unreadable_texts)
{
	static const struct {
		const char *text;
		size_t size;
		const char *fault;
	} cases[] = {
		{ "a\0b", 3, "the settings hold a zero byte" },
		{ "a", 1, NULL },
		{ "a = '\xff'", 8, NULL },
	};
	struct settings settings;
	struct faults faults;
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		memset(&faults, 0, sizeof(faults));
		cr_assert_not(settings_parse(&settings, cases[i].text,
					     cases[i].size, &faults));
		cr_assert_eq(faults.count, 1);
		if (cases[i].fault)
			cr_assert_str_eq(faults.items[0].text, cases[i].fault);
	}
}

Test(settings, a_file_that_is_not_there)
{
	struct settings settings;
	struct faults faults = { 0 };
	struct error err = ERROR_INIT;

	cr_assert_not(settings_load(&settings, "/nonexistent", &faults, &err));
	cr_assert_eq(err.code, ERROR_IO);
	cr_assert_eq(faults.count, 0);
}

static void check_option(const struct settings_option *option, void *data)
{
	size_t *count = data;

	(*count)++;
	cr_assert(*option->field->help, "%s", option->field->name);
	cr_assert_leq(strlen(option->section) + strlen(option->field->name),
		      31);
}

Test(settings, every_option_is_described)
{
	size_t count = 0;

	settings_each(check_option, &count);
	cr_assert_gt(count, 30);
}
