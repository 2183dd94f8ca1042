#include <stdio.h>

#include "node/commands.h"
#include "node/log_files.h"
#include "node/tally.h"
#include "operator/arguments.h"
#include "operator/command.h"
#include "operator/remote.h"

/**
 * DOC: command report
 *
 * Summarizes the requests in the log lines of any number of nodes.
 */

enum { SPAN_S = 10, SPAN_MAX_S = 86400 };

static const char summary[] =
	"Account for the requests that were not served in time, from the log\n"
	"lines of nodes: by service, kind, data centre and reason, and over\n"
	"time beside what changed in what the nodes believed. Reads the files,\n"
	"or standard input if none are given; what stands before the JSON\n"
	"object of a line is skipped. Only lines of the callers' nodes count,\n"
	"so give those of all nodes.";

static void add_line(const char *line, void *data)
{
	tally_add_line(data, line);
}

static int print_report(struct tally *tally, bool json)
{
	if (!tally->requests) {
		fprintf(stderr, "report: no line tells of a request\n");
		return EXIT_STATUS_INVALID;
	}
	if (json) {
		json_t *report = tally_json(tally);

		remote_print_json(report);
		json_decref(report);
	} else {
		tally_print(tally, stdout);
	}
	return EXIT_STATUS_OK;
}

static int run_report(const struct arg_file *files, int span_s, bool json)
{
	struct tally tally;
	int status = EXIT_STATUS_FAILED;

	tally_init(&tally, span_s);
	if (log_files_read("report", files->filename, files->count, add_line,
			   &tally))
		status = print_report(&tally, json);
	tally_finish(&tally);
	return status;
}

int command_report(int argc, char **argv)
{
	struct arg_int *span =
		arg_int0(NULL, "every", "SECONDS", "length of a span (10)");
	struct arg_file *files =
		arg_filen(NULL, NULL, "FILE", 0, LOG_FILES_MAX, "log files");
	struct arguments args;
	int span_s;
	int status;

	arguments_init(&args, "report", summary, ARGUMENTS_LOCAL);
	arguments_add(&args, span);
	arguments_add(&args, files);
	if (arguments_parse(&args, argc, argv, &status)) {
		span_s = span->count ? span->ival[0] : SPAN_S;
		if (span_s >= 1 && span_s <= SPAN_MAX_S) {
			status =
				run_report(files, span_s, args.json->count > 0);
		} else {
			fprintf(stderr, "report: --every must be 1 to %d\n",
				SPAN_MAX_S);
			status = EXIT_STATUS_USAGE;
		}
	}
	arguments_finish(&args);
	return status;
}
