#include <criterion/criterion.h>
#include <ctype.h>
#include <glob.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "call/call_defs.h"
#include "fleet/process.h"
#include "node/reload_keys.h"
#include "node/settings.h"

/*
 * Every setting, profile key, command, counter, refusal reason and log event in
 * the sources must be documented in docs/OPERATORS.md.
 */

enum { FILE_MAX_BYTES = 512 * 1024, NAME_MAX_SIZE = 128 };

static char page[FILE_MAX_BYTES];
static uint32_t checked;

static void read_file(const char *path, char *text)
{
	FILE *file = fopen(path, "re");

	cr_assert_not_null(file, "%s", path);
	text[fread(text, 1, FILE_MAX_BYTES - 1, file)] = '\0';
	fclose(file);
}

static void setup(void)
{
	read_file("docs/OPERATORS.md", page);
}

static void expect_documented(const char *kind, const char *mark,
			      const char *where)
{
	checked++;
	cr_expect_not_null(strstr(page, mark),
			   "docs/OPERATORS.md does not document %s %s (%s)",
			   kind, mark, where);
}

/* Copies the quoted string after the first @commas commas from @at to @name.
 * Returns false if there is no quoted string or it is too long. */
static bool quoted_after(const char *at, int commas, char *name)
{
	size_t length;

	while (commas--) {
		at = strchr(at, ',');
		if (!at)
			return false;
		at++;
	}
	while (isspace((unsigned char)*at) || *at == '(')
		at++;
	if (*at != '"')
		return false;
	length = strcspn(at + 1, "\"");
	if (length >= NAME_MAX_SIZE)
		return false;
	memcpy(name, at + 1, length);
	name[length] = '\0';
	return true;
}

/*
 * Checks that the name in each use of @macro is documented. The name is the
 * argument with index @commas, counted from 0.
 */
static void scan(const char *text, const char *path, const char *macro,
		 int commas, const char *kind, const char *prefix)
{
	const char *at = text;
	char name[NAME_MAX_SIZE];
	char mark[NAME_MAX_SIZE + 16];

	while ((at = strstr(at, macro))) {
		bool whole_name =
			at == text ||
			(!isalnum((unsigned char)at[-1]) && at[-1] != '_');

		at += strlen(macro);
		if (!whole_name || *at != '(' ||
		    !quoted_after(at, commas, name))
			continue;
		snprintf(mark, sizeof(mark), "%s%s`", prefix, name);
		expect_documented(kind, mark, path);
	}
}

static void scan_sources(void (*visit)(const char *text, const char *path))
{
	char *text = malloc(FILE_MAX_BYTES);
	glob_t files;
	size_t i;

	cr_assert_eq(glob("src/*/*.c", 0, NULL, &files), 0);
	for (i = 0; i < files.gl_pathc; i++) {
		const char *path = files.gl_pathv[i];

		if (strstr(path, "_test.c"))
			continue;
		read_file(path, text);
		visit(text, path);
	}
	globfree(&files);
	free(text);
}

static void expect_counters(const char *text, const char *path)
{
	scan(text, path, "COUNTER", 1, "counter", "`");
	scan(text, path, "GAUGE", 1, "gauge", "`");
	scan(text, path, "HISTOGRAM", 1, "histogram", "`");
}

Test(docs, every_counter_is_documented, .init = setup)
{
	scan_sources(expect_counters);
	cr_assert_gt(checked, 20);
}

static void expect_events(const char *text, const char *path)
{
	scan(text, path, "log_debug", 1, "event", "`");
	scan(text, path, "log_info", 1, "event", "`");
	scan(text, path, "log_warn", 1, "event", "`");
	scan(text, path, "log_error", 1, "event", "`");
	scan(text, path, "log_request", 2, "event", "`");
}

Test(docs, every_log_event_is_documented, .init = setup)
{
	scan_sources(expect_events);
	cr_assert_gt(checked, 10);
}

static void expect_option(const struct settings_option *option, void *data)
{
	char mark[NAME_MAX_SIZE];
	char row[NAME_MAX_SIZE * 2];

	snprintf(mark, sizeof(mark), "`%s.%s`", option->section,
		 option->field->name);
	expect_documented("setting", mark, "geraniumplank settings");
	/* The default is documented in the same table row. */
	snprintf(row, sizeof(row), "| %s | %s | %s | `%s` |", mark,
		 settings_type_name(option->field->type), option->unit,
		 option->field->fallback ? option->field->fallback : "");
	if (option->field->fallback && *option->field->fallback)
		expect_documented("default", row, "geraniumplank settings");
}

static void expect_effect(const struct settings_option *option, void *data)
{
	char name[NAME_MAX_SIZE];
	char row[NAME_MAX_SIZE * 2];

	snprintf(name, sizeof(name), "%s.%s", option->section,
		 option->field->name);
	snprintf(row, sizeof(row), "| `%s` | %s |", name,
		 reload_effect_of(name) == RELOAD_AT_ONCE ? "at once"
							  : "with a restart");
	expect_documented("effect of a change", row, "src/node/reload_keys.c");
}

Test(docs, every_setting_is_documented_with_the_effect_of_a_change,
     .init = setup)
{
	settings_each(expect_effect, NULL);
	cr_assert_gt(checked, 40);
}

Test(docs, every_setting_is_documented_with_its_default, .init = setup)
{
	settings_each(expect_option, NULL);
	cr_assert_gt(checked, 40);
}

static const char profile_sources[] = "src/profile/profile_";

static void expect_profile_keys(const char *text, const char *path)
{
	const char *at = text;
	char name[NAME_MAX_SIZE];
	char mark[NAME_MAX_SIZE + 16];

	if (strncmp(path, profile_sources, strlen(profile_sources)) != 0)
		return;
	scan(text, path, "SCHEMA_FIELD_REAL", 2, "key", "");
	scan(text, path, "SCHEMA_FIELD_INTEGER", 2, "key", "");
	scan(text, path, "SCHEMA_FIELD_BOOLEAN", 2, "key", "");
	scan(text, path, "SCHEMA_FIELD_STRING", 2, "key", "");
	while ((at = strstr(at, ".name = "))) {
		at += strlen(".name = ");
		if (!quoted_after(at, 0, name))
			continue;
		snprintf(mark, sizeof(mark), "`%s%s`",
			 strstr(path, "_tenants.c") ? "tenant.NAME." : "",
			 name);
		expect_documented("key", mark, path);
	}
}

Test(docs, every_profile_key_is_documented, .init = setup)
{
	scan_sources(expect_profile_keys);
	cr_assert_gt(checked, 12);
}

Test(docs, every_refusal_is_documented, .init = setup)
{
	char mark[NAME_MAX_SIZE];
	int i;

	for (i = CALL_REASON_NONE + 1; i < CALL_REASONS; i++) {
		snprintf(mark, sizeof(mark), "| `%s` | ",
			 call_reason_name((enum call_reason)i));
		expect_documented("reason", mark, "src/call/call_defs.c");
	}
}

/* Command names are in the help lines that begin with two spaces. */
static void expect_commands(const char *help, const char *prefix)
{
	char mark[NAME_MAX_SIZE];
	const char *line;

	for (line = help; line; line = strchr(line, '\n')) {
		size_t length;

		line += *line == '\n';
		if (strncmp(line, "  ", 2) != 0 ||
		    !islower((unsigned char)line[2]))
			continue;
		length = strcspn(line + 2, " ");
		snprintf(mark, sizeof(mark), "`geraniumplank %s%.*s", prefix,
			 (int)length, line + 2);
		expect_documented("command", mark, "--help");
	}
}

Test(docs, every_command_is_documented, .init = setup)
{
	const char *const all[] = { "--help", NULL };
	const char *const profile[] = { "profile", "--help", NULL };
	char help[4096];

	cr_assert_eq(process_run("geraniumplank", all, help, sizeof(help)), 0);
	expect_commands(help, "");
	cr_assert_eq(process_run("geraniumplank", profile, help, sizeof(help)),
		     0);
	expect_commands(help, "profile ");
	cr_assert_geq(checked, 17);
}
