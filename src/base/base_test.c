#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#include "base/buffer.h"
#include "base/address.h"
#include "base/counter.h"
#include "base/error.h"
#include "base/schema.h"
#include "base/toml.h"
#include "base/verdict.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

Test(error, keeps_the_first_cause)
{
	struct error err = ERROR_INIT;

	error_set(&err, ERROR_IO, "cause %d", 1);
	error_set(&err, ERROR_LIMIT, "consequence");
	cr_assert_eq(err.code, ERROR_IO);
	cr_assert_str_eq(err.text, "cause 1");
}

Test(verdict, join_is_never_more_certain_than_its_parts)
{
	static const struct {
		enum verdict a, b, joined;
	} cases[] = {
		{ VERDICT_NOT_RUN, VERDICT_NOT_RUN, VERDICT_NOT_RUN },
		{ VERDICT_NOT_RUN, VERDICT_MAY_HAVE_RUN, VERDICT_MAY_HAVE_RUN },
		{ VERDICT_MAY_HAVE_RUN, VERDICT_NOT_RUN, VERDICT_MAY_HAVE_RUN },
		{ VERDICT_RAN, VERDICT_MAY_HAVE_RUN, VERDICT_RAN },
	};
	size_t i;

	for (i = 0; i < COUNT(cases); i++)
		cr_assert_eq(verdict_join(cases[i].a, cases[i].b),
			     cases[i].joined, "case %zu", i);
}

Test(verdict, names_are_read_back)
{
	enum verdict verdict = VERDICT_RAN;

	cr_assert(verdict_parse("may-have-run", &verdict));
	cr_assert_eq(verdict, VERDICT_MAY_HAVE_RUN);
	cr_assert_not(verdict_parse("perhaps", &verdict));
	cr_assert_eq(verdict, VERDICT_MAY_HAVE_RUN);
}

Test(address, parse_accepts_only_an_ip_address_with_a_port)
{
	static const struct {
		const char *text;
		bool valid;
	} cases[] = {
		{ "127.0.0.1:80", true },   { "[::1]:7000", true },
		{ "127.0.0.1", false },	    { "localhost:80", false },
		{ "1.2.3.4:65536", false }, { "1.2.3.4:", false },
		{ ":80", false },	    { "1.2.3.4:8x", false },
	};
	char text[ADDRESS_TEXT_SIZE];
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		struct error err = ERROR_INIT;
		struct address address;
		bool valid = address_parse(cases[i].text, &address, &err);

		cr_assert_eq(valid, cases[i].valid, "%s", cases[i].text);
		if (valid)
			cr_assert_str_eq(address_format(&address, text),
					 cases[i].text);
		else
			cr_assert_eq(err.code, ERROR_INVALID);
	}
}

Test(histogram, quantiles_within_a_sixteenth)
{
	static struct histogram histogram;
	int64_t i;

	for (i = 1; i <= 10000; i++)
		histogram_add(&histogram, i);
	cr_assert_geq(histogram_quantile(&histogram, 0.5), 5000);
	cr_assert_leq(histogram_quantile(&histogram, 0.5), 5000 * 17 / 16);
	cr_assert_geq(histogram_quantile(&histogram, 0.99), 9900);
	cr_assert_leq(histogram_quantile(&histogram, 0.99), 9900 * 17 / 16);
}

struct sample {
	char name[8];
	int64_t limit_ms;
	double share;
	bool on;
};

static const struct schema_field sample_fields[] = {
	SCHEMA_FIELD_STRING(struct sample, name, "name", 1, NULL, "a name"),
	SCHEMA_FIELD_INTEGER(struct sample, limit_ms, "limit_ms", 1, 100, "50",
			     "a limit"),
	SCHEMA_FIELD_REAL(struct sample, share, "share", 0, 1, "0.5",
			  "a share"),
	SCHEMA_FIELD_BOOLEAN(struct sample, on, "on", "true", "a switch"),
};

static void read_sample(const char *text, struct sample *sample,
			struct faults *faults)
{
	struct error err = ERROR_INIT;
	struct toml_node *root = toml_parse(text, strlen(text), NULL, &err);

	cr_assert_not_null(root, "%s", err.text);
	memset(faults, 0, sizeof(*faults));
	schema_read(root, "", sample_fields, COUNT(sample_fields), sample,
		    faults);
	toml_free(root);
}

Test(schema, faults_name_line_and_nearest_key)
{
	static const struct {
		const char *text;
		uint32_t line;
		const char *fault;
	} cases[] = {
		{ "name='a'\nlimit_m=3\n", 2,
		  "unknown key limit_m, did you mean limit_ms?" },
		{ "name='a'\nzzzzzzzz=3\n", 2, "unknown key zzzzzzzz" },
		{ "\nname=3\n", 2, "name must be a string" },
		{ "name='longer than 8'\n", 1,
		  "name must have 1 to 7 bytes, has 13" },
		{ "name='a'\n\nlimit_ms=101\n", 3,
		  "limit_ms must be 1 to 100, is 101" },
		{ "limit_ms=1\n", 1, "name is missing" },
	};
	struct sample sample;
	struct faults faults;
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		read_sample(cases[i].text, &sample, &faults);
		cr_assert_eq(faults.count, 1, "case %zu", i);
		cr_assert_eq(faults.items[0].line, cases[i].line,
			     "case %zu: %u", i, faults.items[0].line);
		cr_assert_str_eq(faults.items[0].text, cases[i].fault);
	}
}

Test(schema, all_faults_are_collected_and_defaults_kept)
{
	struct sample sample;
	struct faults faults;

	read_sample("limit_ms=0\nshare=2\non=1\n", &sample, &faults);
	cr_assert_eq(faults.count, 4);
	cr_assert_eq(sample.limit_ms, 50);
	cr_assert(sample.on);
}

Test(toml, syntax_errors_name_the_line)
{
	struct error err = ERROR_INIT;
	const char text[] = "a = 1\nb = = 2\n";
	uint32_t line = 0;

	cr_assert_null(toml_parse(text, strlen(text), &line, &err));
	cr_assert_eq(line, 2);
	cr_assert_eq(err.code, ERROR_INVALID);
}

/* A long text must not be truncated or omitted. */
Test(buffer, formatted_text_is_appended_whole)
{
	static const int widths[] = { 0, 1, 100, 5000 };
	size_t i;

	for (i = 0; i < sizeof(widths) / sizeof(widths[0]); i++) {
		struct buffer buffer = { 0 };

		buffer_append_text(&buffer, "<");
		buffer_append_format(&buffer, "%*s%d>", widths[i], "", 7);
		cr_expect_eq(buffer_size(&buffer), (size_t)widths[i] + 3);
		cr_expect_eq(buffer_data(&buffer)[0], '<');
		cr_expect_eq(buffer_data(&buffer)[widths[i] + 2], '>');
		buffer_finish(&buffer);
	}
}
