#include <stdio.h>
#include <string.h>

#include "operator/command.h"
#include "operator/command_profile.h"
#include "operator/exchange.h"
#include "operator/table.h"

enum { HASH_SHOWN = 12 };

static void print_profiles(const json_t *json)
{
	static const char *const titles[] = { "PROFILE", "SET IN", "HASH",
					      NULL };
	const json_t *item;
	struct table table;
	size_t i;

	table_init(&table, titles);
	json_array_foreach(json_object_get(json, "profiles"), i, item) {
		table_cell(&table, "%s", exchange_text(item, "name"));
		table_cell(&table, "%lld", exchange_number(item, "set_in"));
		table_cell(&table, "%.*s", HASH_SHOWN,
			   exchange_text(item, "hash"));
	}
	table_print(&table, stdout);
	table_finish(&table);
}

static const char *draft_note(const json_t *item)
{
	bool stale = json_is_true(json_object_get(item, "stale"));
	bool removes = json_is_true(json_object_get(item, "removes"));

	if (removes)
		return stale ? "removes it; changed by others since"
			     : "removes it";
	return stale ? "changed by others since" : "";
}

static void print_drafts(const json_t *json)
{
	static const char *const titles[] = { "DRAFT",	      "AUTHOR",
					      "FROM VERSION", "STORED",
					      "NOTE",	      NULL };
	const json_t *list = json_object_get(json, "drafts");
	const json_t *item;
	struct table table;
	char date[32];
	size_t i;

	if (!json_array_size(list)) {
		puts("no drafts");
		return;
	}
	table_init(&table, titles);
	json_array_foreach(list, i, item) {
		table_cell(&table, "%s", exchange_text(item, "name"));
		table_cell(&table, "%s", exchange_text(item, "author"));
		table_cell(&table, "%lld",
			   exchange_number(item, "base_version"));
		table_cell(&table, "%s",
			   exchange_date(exchange_number(item, "stored_ms"),
					 date));
		table_cell(&table, "%s", draft_note(item));
	}
	table_print(&table, stdout);
	table_finish(&table);
}

static void print_list(const json_t *json)
{
	printf("version %lld\n", exchange_number(json, "version"));
	print_profiles(json);
	putchar('\n');
	print_drafts(json);
}

int profile_list(int argc, char **argv)
{
	static const char summary[] =
		"Lists the profiles in force and the drafts of all authors.";
	struct remote_request request = {
		.method = "GET",
		.path = "/v1/profiles",
	};
	struct arguments args;
	int status;

	arguments_init(&args, "profile list", summary, ARGUMENTS_REMOTE);
	if (arguments_parse(&args, argc, argv, &status))
		status = exchange_run(&args, &request, print_list);
	arguments_finish(&args);
	return status;
}

static void print_text(const json_t *json)
{
	const char *text = exchange_text(json, "text");
	size_t length = strlen(text);

	fputs(text, stdout);
	if (length && text[length - 1] != '\n')
		putchar('\n');
}

static int show(const struct arguments *args, const char *name,
		const char *author, uint64_t version)
{
	char path[EXCHANGE_PATH_SIZE];
	struct remote_request request = { .method = "GET", .path = path };
	size_t used;

	if (!exchange_path(args, path, name, author ? "/draft" : "", author))
		return EXIT_STATUS_USAGE;
	used = strlen(path);
	if (version)
		snprintf(path + used, sizeof(path) - used, "?version=%llu",
			 (unsigned long long)version);
	return exchange_run(args, &request, print_text);
}

int profile_show(int argc, char **argv)
{
	static const char summary[] =
		"Prints the text of a profile: as it is in force, as it was in\n"
		"a version, or a draft of it.";
	struct arg_str *name = arg_str1(NULL, NULL, "NAME", "the profile");
	struct arg_str *version = arg_str0(NULL, "version", "VERSION",
					   "the text that this version had");
	struct arg_lit *draft =
		arg_lit0(NULL, "draft", "the author's draft of it");
	struct arg_str *author = exchange_author_option();
	struct arguments args;
	uint64_t number;
	int status = EXIT_STATUS_USAGE;

	arguments_init(&args, "profile show", summary, ARGUMENTS_REMOTE);
	arguments_add(&args, version);
	arguments_add(&args, draft);
	arguments_add(&args, author);
	arguments_add(&args, name);
	if (arguments_parse(&args, argc, argv, &status) &&
	    arguments_number(&args, version, INT64_MAX, 0, &number)) {
		if (draft->count && number)
			status = arguments_usage(
				&args, "--draft and --version exclude each "
				       "other");
		else
			status = show(&args, name->sval[0],
				      draft->count ? exchange_author(author)
						   : NULL,
				      number);
	}
	arguments_finish(&args);
	return status;
}

int profile_diff(int argc, char **argv)
{
	static const char summary[] =
		"Prints what a draft would change: lines with \"-\" are in\n"
		"force, lines with \"+\" are in the draft.";
	struct arg_str *name = arg_str1(NULL, NULL, "NAME", "the profile");
	struct arg_str *author = exchange_author_option();
	char path[EXCHANGE_PATH_SIZE];
	struct remote_request request = { .method = "GET", .path = path };
	struct arguments args;
	int status;

	arguments_init(&args, "profile diff", summary, ARGUMENTS_REMOTE);
	arguments_add(&args, author);
	arguments_add(&args, name);
	if (arguments_parse(&args, argc, argv, &status))
		status = exchange_path(&args, path, name->sval[0], "/diff",
				       exchange_author(author))
				 ? exchange_run(&args, &request, print_text)
				 : EXIT_STATUS_USAGE;
	arguments_finish(&args);
	return status;
}

static void print_history(const json_t *json)
{
	static const char *const titles[] = { "VERSION", "ACCEPTED", "AUTHOR",
					      "PROFILE", "CHANGE",   "ID",
					      NULL };
	const json_t *item;
	struct table table;
	char date[32];
	size_t i;

	table_init(&table, titles);
	json_array_foreach(json_object_get(json, "changes"), i, item) {
		table_cell(&table, "%lld", exchange_number(item, "version"));
		table_cell(&table, "%s",
			   exchange_date(exchange_number(item, "accepted_ms"),
					 date));
		table_cell(&table, "%s", exchange_text(item, "author"));
		table_cell(&table, "%s", exchange_text(item, "name"));
		if (json_is_true(json_object_get(item, "removed")))
			table_cell(&table, "removed");
		else
			table_cell(&table, "%.*s", HASH_SHOWN,
				   exchange_text(item, "hash"));
		table_cell(&table, "%s", exchange_text(item, "id"));
	}
	table_print(&table, stdout);
	table_finish(&table);
}

int profile_history(int argc, char **argv)
{
	static const char summary[] =
		"Lists accepted versions, the newest first, with what each\n"
		"changed and who accepted it.";
	struct arg_str *name =
		arg_str0(NULL, NULL, "NAME", "only changes of this profile");
	struct arg_str *limit =
		arg_str0(NULL, "limit", "N", "entries at most (default 20)");
	char path[EXCHANGE_PATH_SIZE];
	struct remote_request request = { .method = "GET", .path = path };
	struct arguments args;
	uint64_t number;
	size_t used;
	int status = EXIT_STATUS_USAGE;

	arguments_init(&args, "profile history", summary, ARGUMENTS_REMOTE);
	arguments_add(&args, limit);
	arguments_add(&args, name);
	if (arguments_parse(&args, argc, argv, &status) &&
	    arguments_number(&args, limit, 64, 20, &number)) {
		status = EXIT_STATUS_USAGE;
		snprintf(path, sizeof(path), "/v1/history");
		if (!name->count || exchange_path(&args, path, name->sval[0],
						  "/history", NULL)) {
			used = strlen(path);
			snprintf(path + used, sizeof(path) - used,
				 "?limit=%llu", (unsigned long long)number);
			status = exchange_run(&args, &request, print_history);
		}
	}
	arguments_finish(&args);
	return status;
}
