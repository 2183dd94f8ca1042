#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#include "membership/directory.h"

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))

static struct address parse(const char *text)
{
	struct address address;

	cr_assert(address_parse(text, &address, NULL), "%s", text);
	return address;
}

static void expect_text(const struct directory *directory, const char *text)
{
	static char written[DIRECTORY_TEXT_SIZE];
	size_t size = directory_format(directory, written);

	cr_expect_str_eq(written, text);
	cr_expect_eq(size, strlen(text));
}

Test(directory, malformed_lines_are_skipped)
{
	static const struct {
		const char *text;
		const char *formatted;
	} cases[] = {
		{ "", "" },
		{ "\n\n", "" },
		{ "a 10.0.0.1:1\n", "a 10.0.0.1:1\n" },
		{ "a 10.0.0.1:1", "a 10.0.0.1:1\n" },
		{ "a 10.0.0.1:1\nrubbish\nb 10.0.0.2:2\n",
		  "a 10.0.0.1:1\nb 10.0.0.2:2\n" },
		{ " 10.0.0.1:1\n", "" },
		{ "a 10.0.0.1\n", "" },
		{ "nodes 12\na 10.0.0.1:1\n", "nodes 12\na 10.0.0.1:1\n" },
		{ "a 10.0.0.1:1\nnodes 12", "nodes 12\na 10.0.0.1:1\n" },
		{ "nodes 12x\nnodes \nnodes -3\nnodes 1000001\n", "" },
		{ "nodes 10.0.0.1:1\n", "nodes 10.0.0.1:1\n" },
		{ "a  10.0.0.1:1\n", "" },
		{ "a 10.0.0.1:0\na 10.0.0.2:2\n", "a 10.0.0.2:2\n" },
		{ "a 10.0.0.1:65536\na 10.0.0.1:-1\na 10.0.0.2:2\n",
		  "a 10.0.0.2:2\n" },
		{ "a 10.0.0.1:99999999999999999999\na 10.0.0.2:2\n",
		  "a 10.0.0.2:2\n" },
		{ "[[[[[[[[\n{\"a\":1e999}\n\xff\xfe 10.0.0.1\na "
		  "10.0.0.2:2\n",
		  "a 10.0.0.2:2\n" },
	};
	struct directory directory;
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		directory_parse(&directory, cases[i].text,
				strlen(cases[i].text));
		expect_text(&directory, cases[i].formatted);
	}
}

Test(directory, adding_to_a_full_data_centre_removes_its_last_entry)
{
	static const char before[] = "b 10.0.1.1:1\na 10.0.0.1:1\na "
				     "10.0.0.2:1\na 10.0.0.3:1\n";
	struct address fourth = parse("10.0.0.4:1");
	struct address second = parse("10.0.0.2:1");
	struct directory directory;

	directory_parse(&directory, before, strlen(before));
	cr_expect_eq(directory_count(&directory, "a"), DIRECTORY_PER_CENTRE);
	cr_expect_not(directory_add(&directory, "a", &second));
	cr_expect(directory_add(&directory, "a", &fourth));
	expect_text(&directory, "a 10.0.0.4:1\nb 10.0.1.1:1\na 10.0.0.1:1\na "
				"10.0.0.2:1\n");
	directory_remove(&directory, "a", &second);
	directory_remove(&directory, "c", &second);
	cr_expect_not(directory_has(&directory, "a", &second));
	cr_expect_eq(directory_count(&directory, "a"), 2);
	cr_expect_eq(directory_count(&directory, "b"), 1);
}

/* More data centres than fit into the text: no line is cut. */
Test(directory, memory_and_text_are_bounded)
{
	struct directory directory = { .count = 0 };
	char name[NAME_SIZE];
	char text[DIRECTORY_TEXT_SIZE];
	struct address address = parse("10.0.0.1:65535");
	size_t size;
	int i;

	for (i = 0; i < DIRECTORY_ENTRIES_MAX + 10; i++) {
		snprintf(name, sizeof(name), "a-data-centre-of-a-long-name-%d",
			 i);
		directory_add(&directory, name, &address);
	}
	cr_expect_eq(directory.count, DIRECTORY_ENTRIES_MAX);
	size = directory_format(&directory, text);
	cr_expect_lt(size, DIRECTORY_TEXT_SIZE);
	cr_expect_eq(text[size - 1], '\n');
}

/* Guards against nodes that never find each other, because lines of another
 * writer fill the directory. */
Test(directory, a_node_is_listed_in_a_directory_full_of_other_lines)
{
	struct address address = parse("10.0.0.1:65535");
	struct address own = parse("10.0.0.2:1");
	struct directory directory = { .count = 0 };
	char name[NAME_SIZE];
	int i;

	for (i = 0; i < DIRECTORY_ENTRIES_MAX; i++) {
		snprintf(name, sizeof(name), "odd-%d", i);
		cr_assert(directory_add(&directory, name, &address));
	}
	cr_expect(directory_add(&directory, "a", &own));
	cr_expect(directory_has(&directory, "a", &own));
	cr_expect_eq(directory.count, DIRECTORY_ENTRIES_MAX);
}

/* Listed nodes with slow links would delay the first version of all nodes that
 * start, such as after a power failure. */
Test(directory, nodes_with_the_highest_fitness_are_listed)
{
	static const char before[] = "b 10.0.1.1:1\na 10.0.0.1:1\na "
				     "10.0.0.2:1\n";
	static const struct {
		struct {
			const char *address;
			uint8_t fitness;
		} live[6];
		const char *after;
		bool changed;
	} cases[] = {
		/* Listed nodes are formatted if no other node is fitter. */
		{ { { "10.0.0.2:1", 2 }, { "10.0.0.1:1", 2 } },
		  "b 10.0.1.1:1\na 10.0.0.1:1\na 10.0.0.2:1\n",
		  false },
		{ { { "10.0.0.7:1", 2 },
		    { "10.0.0.8:1", 2 },
		    { "10.0.0.2:1", 2 },
		    { "10.0.0.1:1", 2 } },
		  "a 10.0.0.2:1\na 10.0.0.1:1\na 10.0.0.7:1\nb 10.0.1.1:1\n",
		  true },
		/* Fitter nodes replace listed nodes. */
		{ { { "10.0.0.1:1", 2 },
		    { "10.0.0.6:1", 6 },
		    { "10.0.0.7:1", 3 },
		    { "10.0.0.2:1", 2 },
		    { "10.0.0.8:1", 6 } },
		  "a 10.0.0.6:1\na 10.0.0.8:1\na 10.0.0.7:1\nb 10.0.1.1:1\n",
		  true },
		/* A listed node that is not live is removed. */
		{ { { "10.0.0.2:1", 2 } },
		  "a 10.0.0.2:1\nb 10.0.1.1:1\n",
		  true },
	};
	size_t i;
	size_t j;

	for (i = 0; i < COUNT(cases); i++) {
		struct directory_picks picks = { .count = 0 };
		struct directory directory;

		directory_parse(&directory, before, strlen(before));
		for (j = 0; cases[i].live[j].address; j++) {
			struct address address =
				parse(cases[i].live[j].address);

			directory_consider(&directory, "a", &address,
					   cases[i].live[j].fitness, &picks);
		}
		cr_expect_eq(directory_replace(&directory, "a", &picks),
			     cases[i].changed, "case %zu", i);
		expect_text(&directory, cases[i].after);
	}
}
