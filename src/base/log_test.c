#include <criterion/criterion.h>
#include <fcntl.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "base/log.h"
#include "base/log_line.h"

enum { READ_SIZE = 64 * 1024, LINES = 20000 };

static int read_end;

/* Logs into a pipe in packet mode: a read() returns what one write() wrote. */
static void log_into_pipe(uint32_t rate_per_s, bool buffered)
{
	struct log_options options = { .level = LOG_INFO,
				       .data_centre = "dc",
				       .instance = "i",
				       .buffered = buffered,
				       .rate_per_s = rate_per_s };
	int ends[2];

	cr_assert_eq(pipe2(ends, O_DIRECT | O_NONBLOCK), 0);
	read_end = ends[0];
	options.fd = ends[1];
	log_init(&options);
}

static ssize_t next_write(char text[READ_SIZE])
{
	ssize_t size = read(read_end, text, READ_SIZE - 1);

	if (size > 0)
		text[size] = '\0';
	return size;
}

/* A process that is killed between two writes must not leave half a line, to
 * which the next process would append its first line. */
Test(log, a_line_is_written_by_one_write)
{
	static char line[READ_SIZE];
	json_t *json;

	log_into_pipe(0, false);
	log_info("slice", "event", LOG_TEXT("name", "a \"quoted\"\n\x01 one"),
		 LOG_NUMBER("count", -3));
	cr_assert_gt(next_write(line), 0);
	cr_assert_eq(line[strlen(line) - 1], '\n');
	json = json_loads(line, 0, NULL);
	cr_assert_not_null(json, "%s", line);
	cr_assert_str_eq(json_string_value(json_object_get(json, "name")),
			 "a \"quoted\"\n\x01 one");
	cr_assert_eq(json_integer_value(json_object_get(json, "count")), -3);
	json_decref(json);
	cr_assert_lt(next_write(line), 0);
}

Test(log, numbers_are_written_in_decimal)
{
	static const struct {
		int64_t number;
		const char *text;
	} cases[] = {
		{ 0, "{\"n\":0" },
		{ 9, "{\"n\":9" },
		{ -10, "{\"n\":-10" },
		{ 1234567890123456789, "{\"n\":1234567890123456789" },
		{ INT64_MAX, "{\"n\":9223372036854775807" },
		{ INT64_MIN, "{\"n\":-9223372036854775808" },
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct log_line line;

		log_line_begin(&line);
		log_line_add_number(&line, "n", cases[i].number);
		cr_expect_eq(line.size, strlen(cases[i].text));
		cr_expect_arr_eq(line.text, cases[i].text, line.size);
	}
}

Test(log, the_rate_of_each_event_is_limited)
{
	static char line[READ_SIZE];
	int lines = 0;
	int i;

	log_into_pipe(2, false);
	for (i = 0; i < 50; i++)
		log_info("slice", "storm");
	log_info("slice", "another");
	while (next_write(line) > 0)
		lines++;
	/* Two lines of "storm" per second, and a second may have begun. */
	cr_assert_geq(lines, 3);
	cr_assert_leq(lines, 5);
}

Test(log, lines_below_the_level_and_texts_that_are_not_utf8)
{
	static const struct {
		const char *text;
		const char *written;
	} cases[] = {
		{ "\xff\xfe", "(not UTF-8)" }, { "\xc3\xa9", "\xc3\xa9" },
		{ "\xe2\x82", "(not UTF-8)" }, { "\xc0\x80", "(not UTF-8)" },
		{ "", "\"name\":\"\"" },
	};
	static char line[READ_SIZE];
	size_t i;

	log_into_pipe(0, false);
	log_debug("slice", "hidden");
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		log_info("slice", "event", LOG_TEXT("name", cases[i].text));
		cr_assert_gt(next_write(line), 0);
		cr_expect_not_null(strstr(line, cases[i].written), "%s", line);
	}
	cr_assert_lt(next_write(line), 0);
}

/* A text that does not fit is replaced, so that the line stays valid JSON. */
Test(log, a_line_has_a_maximum_size)
{
	static char line[READ_SIZE];
	char text[LOG_LINE_SIZE * 2];
	json_t *json;

	memset(text, 'x', sizeof(text) - 1);
	text[sizeof(text) - 1] = '\0';
	log_into_pipe(0, false);
	log_info("slice", "event", LOG_TEXT("name", text),
		 LOG_NUMBER("after", 5));
	cr_assert_gt(next_write(line), 0);
	cr_expect_lt(strlen(line), LOG_LINE_SIZE + 1);
	json = json_loads(line, 0, NULL);
	cr_assert_not_null(json, "%s", line);
	cr_expect_str_eq(json_string_value(json_object_get(json, "name")),
			 "(cut)");
	cr_expect_eq(json_integer_value(json_object_get(json, "after")), 5);
	json_decref(json);
}

static int count_lines(const char *text, const char *part)
{
	int count = 0;

	while ((text = strstr(text, part))) {
		count++;
		text += strlen(part);
	}
	return count;
}

/* A log collector that stops reading must not block the process. Only lines are
 * dropped, ordinary ones first, and their number is reported afterwards. */
Test(log, a_stopped_reader_loses_only_lines)
{
	static char text[READ_SIZE];
	int ordinary = 0;
	int failed = 0;
	int reports = 0;
	int i;

	log_into_pipe(0, true);
	for (i = 0; i < LINES; i++)
		log_request(i % 100 ? LOG_ORDINARY : LOG_OUTCOME, "call",
			    i % 100 ? "fine" : "failed", NULL, 0);
	cr_expect_gt(log_dropped_count(), 0);
	for (i = 0; i < LINES; i++) {
		log_flush(true);
		if (next_write(text) <= 0)
			break;
		ordinary += count_lines(text, "\"fine\"");
		failed += count_lines(text, "\"failed\"");
	}
	log_request(LOG_ORDINARY, "call", "after", NULL, 0);
	log_flush(true);
	while (next_write(text) > 0)
		reports += count_lines(text, "\"lines_left_out\"");
	cr_expect_eq(failed, LINES / 100);
	cr_expect_gt(ordinary, 100);
	cr_expect_eq(reports, 1);
}

Test(log, the_rate_of_request_lines_is_limited)
{
	struct log_options options = { .level = LOG_INFO,
				       .buffered = true,
				       .requests_per_s = 5 };
	int ends[2];
	static char text[READ_SIZE];
	int i;

	cr_assert_eq(pipe2(ends, O_NONBLOCK), 0);
	read_end = ends[0];
	options.fd = ends[1];
	log_init(&options);
	for (i = 0; i < 50; i++)
		log_request(i % 2 ? LOG_ORDINARY : LOG_OUTCOME, "call",
			    i % 2 ? "fine" : "failed", NULL, 0);
	log_flush(true);
	cr_assert_gt(next_write(text), 0);
	cr_expect_leq(count_lines(text, "\"fine\""), 10);
	cr_expect_geq(count_lines(text, "\"failed\""), 5);
	cr_expect_geq(log_dropped_count(), 30);
}

/* Under overload, many lines about refused attempts must not use up the rate of
 * the line with the outcome of a request. */
Test(log, attempts_do_not_displace_outcomes)
{
	struct log_options options = { .level = LOG_INFO,
				       .buffered = true,
				       .requests_per_s = 5 };
	static char text[READ_SIZE];
	int ends[2];
	int i;

	cr_assert_eq(pipe2(ends, O_NONBLOCK), 0);
	read_end = ends[0];
	options.fd = ends[1];
	log_init(&options);
	for (i = 0; i < 50; i++)
		log_request(LOG_ATTEMPT, "call", "turned_away", NULL, 0);
	log_request(LOG_OUTCOME, "call", "failed", NULL, 0);
	log_flush(true);
	cr_assert_gt(next_write(text), 0);
	cr_expect_eq(count_lines(text, "\"failed\""), 1);
}
