#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "node/commands.h"
#include "node/node.h"
#include "node/settings.h"
#include "operator/arguments.h"
#include "operator/command.h"
#include "operator/faults.h"
#include "operator/remote.h"

static const char node_summary[] =
	"Runs the node beside one upstream until SIGTERM or SIGINT, on which\n"
	"it takes no new work, ends what is in progress and leaves. Nothing\n"
	"starts if the settings have a fault; all faults are printed.";

/* Environment variable with the path of the settings file; the command line
 * takes precedence. */
#define SETTINGS_VARIABLE "GERANIUMPLANK_SETTINGS"

static const char settings_summary[] =
	"Prints every setting of a node: key, type, unit, default, meaning.";

static void print_faults(const char *path, struct faults *faults, FILE *out)
{
	uint32_t shown = faults_recorded(faults);
	uint32_t i;

	faults_sort(faults);
	for (i = 0; i < shown; i++)
		fprintf(out, "%s:%u: %s\n", path, faults->items[i].line,
			faults->items[i].text);
	if (faults->count > shown)
		fprintf(out, "%s: %u more faults\n", path,
			faults->count - shown);
}

/* Returns false after printing a message if neither the command line nor the
 * environment gives the path of the settings file. */
static bool has_path(const char *path)
{
	if (path)
		return true;
	fputs("node: missing option -s|--settings=FILE, or " SETTINGS_VARIABLE
	      " in the environment\n",
	      stderr);
	return false;
}

static int run_node(const char *path)
{
	struct faults *faults;
	struct settings *settings;
	struct error err = ERROR_INIT;
	int status = EXIT_STATUS_INVALID;

	if (!has_path(path))
		return EXIT_STATUS_USAGE;
	faults = calloc(1, sizeof(*faults));
	settings = calloc(1, sizeof(*settings));
	if (!faults || !settings)
		abort();
	if (settings_load(settings, path, faults, &err))
		status = node_run(settings, path);
	else if (faults->count)
		print_faults(path, faults, stderr);
	else
		fprintf(stderr, "node: %s\n", err.text);
	free(settings);
	free(faults);
	return status;
}

int command_node(int argc, char **argv)
{
	struct arg_str *file = arg_str0("s", "settings", "FILE",
					"settings of this node, in TOML; else "
					"the file that " SETTINGS_VARIABLE
					" names");
	const char *path = getenv(SETTINGS_VARIABLE);
	struct arguments args;
	int status;

	arguments_init(&args, "node", node_summary, ARGUMENTS_LOCAL);
	arguments_add(&args, file);
	if (arguments_parse(&args, argc, argv, &status))
		status = run_node(file->count ? file->sval[0] : path);
	arguments_finish(&args);
	return status;
}

static void collect_option(const struct settings_option *option, void *data)
{
	const struct schema_field *field = option->field;
	const char *fallback = field->fallback;

	json_array_append_new(
		data, json_pack("{s:s,s:s,s:s,s:s,s:s?,s:b,s:s}", "section",
				option->section, "name", field->name, "type",
				settings_type_name(field->type), "unit",
				option->unit, "default", fallback, "required",
				!fallback, "help", field->help));
}

int command_settings(int argc, char **argv)
{
	struct arguments args;
	json_t *list;
	int status;

	arguments_init(&args, "settings", settings_summary, ARGUMENTS_LOCAL);
	if (arguments_parse(&args, argc, argv, &status)) {
		status = EXIT_STATUS_OK;
		list = json_array();
		settings_each(collect_option, list);
		if (args.json->count)
			remote_print_json(list);
		else
			settings_describe(stdout);
		json_decref(list);
	}
	arguments_finish(&args);
	return status;
}
