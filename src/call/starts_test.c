#include <criterion/criterion.h>
#include <string.h>

#include "call/starts.h"

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))

enum { WORDS_MAX = 8 };

/* A word, whether it must be taken for news, and who is present after it. */
struct word {
	const char *id; /* NULL ends the list */
	uint64_t sequence;
	bool leaves;
	bool news;
	const char *present;
};

/*
 * Symptom: requests reach a node whose upstream answers that it is another
 * start, or an upstream that has said it leaves gets new work.
 * Sequence: words of one start are overtaken by those of the next, or by its
 * own later ones.
 * Cause: each word believed in the order in which it comes.
 */
Test(starts, late_words_do_not_change_what_newer_ones_told)
{
	static const struct {
		const char *name;
		struct word words[WORDS_MAX];
	} cases[] = {
		{ "one start",
		  { { "a", 1, false, true, "a" },
		    { "a", 2, false, true, "a" },
		    { "a", 2, false, false, "a" },
		    { "a", 1, false, false, "a" } } },
		{ "leaving is not taken back",
		  { { "a", 1, false, true, "a" },
		    { "a", 3, true, true, "a" },
		    { "a", 2, false, false, "a" },
		    { "a", 4, false, false, "a" } } },
		{ "a departure has no number",
		  { { "a", 9, false, true, "a" },
		    { "a", 0, true, true, "a" },
		    { "a", 10, false, false, "a" } } },
		{ "the next start",
		  { { "a", 9, false, true, "a" },
		    { "b", 1, false, true, "b" },
		    { "a", 10, false, false, "b" },
		    { "b", 2, false, true, "b" },
		    { "a", 11, false, false, "b" } } },
		{ "the earlier one leaves late",
		  { { "a", 9, false, true, "a" },
		    { "b", 1, false, true, "b" },
		    { "a", 10, true, false, "b" },
		    { "a", 0, true, false, "b" },
		    { "b", 2, false, true, "b" } } },
		{ "a late word of one never seen, then the present one",
		  { { "b", 5, false, true, "b" },
		    { "a", 40, false, true, "a" },
		    { "b", 6, false, false, "a" },
		    { "b", 7, false, true, "b" },
		    { "a", 39, false, false, "b" } } },
		{ "the leaving of one never seen",
		  { { "b", 5, false, true, "b" },
		    { "a", 40, true, false, "b" },
		    { "b", 6, false, true, "b" } } },
		{ "one that leaves is the first to be heard of",
		  { { "a", 0, true, true, "a" },
		    { "a", 7, false, false, "a" },
		    { "b", 1, false, true, "b" } } },
	};
	size_t i;
	size_t j;

	for (i = 0; i < COUNT(cases); i++) {
		struct starts starts = { 0 };

		for (j = 0; j < WORDS_MAX && cases[i].words[j].id; j++) {
			const struct word *word = &cases[i].words[j];
			bool news = starts_take(&starts, word->id,
						word->sequence, word->leaves);

			cr_expect_eq(news, word->news, "%s: word %zu",
				     cases[i].name, j);
			cr_expect_str_eq(starts.present.id, word->present,
					 "%s: word %zu", cases[i].name, j);
		}
	}
}

Test(starts, the_upstreams_own_word_settles_it)
{
	struct starts starts = { 0 };

	cr_expect(starts_take(&starts, "a", 5, false));
	cr_expect_not(starts_correct(&starts, "a"));
	cr_expect(starts_correct(&starts, "b"));
	cr_expect_str_eq(starts.present.id, "b");
	cr_expect_not(starts_take(&starts, "a", 6, false));
	cr_expect(starts_take(&starts, "b", 1, false));
	cr_expect(starts_correct(&starts, "a"));
	cr_expect(starts_take(&starts, "a", 7, false));
}

/* Many starts: the oldest is forgotten, the present one never. */
Test(starts, memory_is_bounded)
{
	struct starts starts = { 0 };
	char id[2] = "a";
	int i;

	for (i = 0; i < STARTS_KEPT * 2; i++, id[0]++)
		cr_expect(starts_take(&starts, id, 1, false));
	cr_expect_eq(starts.earlier_count, STARTS_KEPT);
	id[0]--;
	cr_expect_str_eq(starts.present.id, id);
}
