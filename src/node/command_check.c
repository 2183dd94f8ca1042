#include <errno.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "node/commands.h"
#include "node/settings.h"
#include "operator/arguments.h"
#include "operator/command.h"
#include "operator/faults.h"
#include "operator/remote.h"
#include "profile/profile.h"

static const char summary[] =
	"Checks a file of settings or a profile and prints every fault with\n"
	"its line. Which of the two it is shows from its content; --kind says\n"
	"so where it does not.";

enum { FILE_MAX_BYTES = 1024 * 1024 };

/** enum file_kind - kind of a checked file. */
enum file_kind { FILE_UNKNOWN, FILE_SETTINGS, FILE_PROFILE };

struct checked {
	const char *path;
	enum file_kind kind;
	char *text;
	size_t size;
	struct faults faults;
};

static const char *kind_name(enum file_kind kind)
{
	switch (kind) {
	case FILE_SETTINGS:
		return "settings";
	case FILE_PROFILE:
		return "profile";
	case FILE_UNKNOWN:
		break;
	}
	return "unknown";
}

static bool read_file(struct checked *checked)
{
	FILE *file = fopen(checked->path, "re");

	if (!file)
		return false;
	checked->text = malloc(FILE_MAX_BYTES + 1);
	if (!checked->text)
		abort();
	checked->size = fread(checked->text, 1, FILE_MAX_BYTES + 1, file);
	if (ferror(file)) {
		(void)fclose(file);
		return false;
	}
	(void)fclose(file);
	return true;
}

/* Only settings have a table "node" or "listen"; only profiles have a table
 * "kind", "route" or "services". */
static enum file_kind guess_kind(const struct checked *checked)
{
	struct error err = ERROR_INIT;
	struct toml_node *root =
		toml_parse(checked->text, checked->size, NULL, &err);
	enum file_kind kind = FILE_UNKNOWN;

	if (!root)
		return FILE_UNKNOWN;
	if (toml_find(root, "node") || toml_find(root, "listen"))
		kind = FILE_SETTINGS;
	else if (toml_find(root, "kind") || toml_find(root, "route") ||
		 toml_find(root, "services"))
		kind = FILE_PROFILE;
	toml_free(root);
	return kind;
}

static void check_settings(struct checked *checked)
{
	struct settings *settings = calloc(1, sizeof(*settings));

	if (!settings)
		abort();
	settings_parse(settings, checked->text, checked->size,
		       &checked->faults);
	free(settings);
}

/* The text of a profile does not contain its name, so the name of the file is
 * used, or "profile" if that is no valid name. */
static void profile_name_of(const char *path, char name[PROFILE_NAME_SIZE])
{
	const char *slash = strrchr(path, '/');
	const char *base = slash ? slash + 1 : path;

	snprintf(name, PROFILE_NAME_SIZE, "%.*s", (int)strcspn(base, "."),
		 base);
	if (!profile_name_valid(name, PROFILE_NAME_SIZE))
		snprintf(name, PROFILE_NAME_SIZE, "profile");
}

static void check_profile(struct checked *checked)
{
	char name[PROFILE_NAME_SIZE];

	profile_name_of(checked->path, name);
	profile_free(profile_parse(name, checked->text, checked->size,
				   &checked->faults));
}

static void check_syntax(struct checked *checked)
{
	struct error err = ERROR_INIT;
	uint32_t line = 0;
	struct toml_node *root =
		toml_parse(checked->text, checked->size, &line, &err);

	if (!root)
		fault_add(&checked->faults, line, "%s", err.text);
	else
		fault_add(&checked->faults, 0,
			  "neither settings nor a profile; say which with "
			  "--kind");
	toml_free(root);
}

static void check(struct checked *checked)
{
	switch (checked->kind) {
	case FILE_SETTINGS:
		check_settings(checked);
		return;
	case FILE_PROFILE:
		check_profile(checked);
		return;
	case FILE_UNKNOWN:
		check_syntax(checked);
		return;
	}
}

static void print_text(const struct checked *checked)
{
	const struct faults *faults = &checked->faults;
	uint32_t i;

	for (i = 0; i < faults_recorded(faults); i++)
		printf("%s:%u: %s\n", checked->path, faults->items[i].line,
		       faults->items[i].text);
	if (!faults->count)
		printf("%s: %s, no faults\n", checked->path,
		       kind_name(checked->kind));
	else
		printf("%s: %s, faults: %u\n", checked->path,
		       kind_name(checked->kind), faults->count);
}

static void print_json(const struct checked *checked)
{
	const struct faults *faults = &checked->faults;
	json_t *json = json_pack("{s:s,s:s,s:b,s:I,s:o}", "file", checked->path,
				 "kind", kind_name(checked->kind), "valid",
				 !faults->count, "fault_count",
				 (json_int_t)faults->count, "faults",
				 faults_to_json(faults));

	remote_print_json(json);
	json_decref(json);
}

static int run(struct checked *checked, bool json)
{
	if (!read_file(checked)) {
		fprintf(stderr, "check: cannot read %s: %s\n", checked->path,
			strerror(errno));
		return EXIT_STATUS_FAILED;
	}
	if (checked->kind == FILE_UNKNOWN)
		checked->kind = guess_kind(checked);
	check(checked);
	faults_sort(&checked->faults);
	if (json)
		print_json(checked);
	else
		print_text(checked);
	return checked->faults.count ? EXIT_STATUS_INVALID : EXIT_STATUS_OK;
}

static bool parse_kind(const char *name, enum file_kind *kind)
{
	if (!strcmp(name, "settings"))
		*kind = FILE_SETTINGS;
	else if (!strcmp(name, "profile"))
		*kind = FILE_PROFILE;
	else
		return false;
	return true;
}

int command_check(int argc, char **argv)
{
	struct arg_str *kind =
		arg_str0(NULL, "kind", "settings|profile", "what the file is");
	struct arg_str *file =
		arg_str1(NULL, NULL, "FILE", "the file to check");
	struct checked *checked = calloc(1, sizeof(*checked));
	struct arguments args;
	int status;

	if (!checked)
		abort();
	arguments_init(&args, "check", summary, ARGUMENTS_LOCAL);
	arguments_add(&args, kind);
	arguments_add(&args, file);
	if (arguments_parse(&args, argc, argv, &status)) {
		checked->path = file->sval[0];
		if (kind->count && !parse_kind(kind->sval[0], &checked->kind))
			status = arguments_usage(
				&args, "--kind must be settings or profile");
		else
			status = run(checked, args.json->count > 0);
	}
	arguments_finish(&args);
	free(checked->text);
	free(checked);
	return status;
}
