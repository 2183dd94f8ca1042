#include <criterion/criterion.h>
#include <string.h>

#include "call/incarnations.h"

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))

enum { WORDS_MAX = 8 };

/* A word, whether it must be taken for news, and who is present after it. */
struct word {
	const char *id; /* NULL ends the list */
	uint64_t sequence;
	bool leaves;
	bool news;
	const char *present;
	int64_t born_ms;
};

static bool take(struct incarnations *incarnations, const char *id,
		 uint64_t sequence)
{
	const struct incarnation_message word = { .id = id,
						  .sequence = sequence };

	return incarnations_update(incarnations, &word);
}

/*
 * Symptom: requests reach a node whose upstream answers that it is another
 * start, or an upstream that has said it leaves gets new work.
 * Sequence: words of one start are overtaken by those of the next, or by its
 * own later ones.
 * Cause: each word believed in the order in which it comes.
 */
Test(incarnations, late_words_do_not_change_what_newer_ones_told)
{
	static const struct {
		const char *name;
		struct word words[WORDS_MAX];
	} cases[] = {
		{ "one start",
		  { { "a", 1, false, true, "a", 0 },
		    { "a", 2, false, true, "a", 0 },
		    { "a", 2, false, false, "a", 0 },
		    { "a", 1, false, false, "a", 0 } } },
		{ "leaving is not taken back",
		  { { "a", 1, false, true, "a", 0 },
		    { "a", 3, true, true, "a", 0 },
		    { "a", 2, false, false, "a", 0 },
		    { "a", 4, false, false, "a", 0 } } },
		{ "a departure has no number",
		  { { "a", 9, false, true, "a", 0 },
		    { "a", 0, true, true, "a", 0 },
		    { "a", 10, false, false, "a", 0 } } },
		{ "the next start",
		  { { "a", 9, false, true, "a", 0 },
		    { "b", 1, false, true, "b", 0 },
		    { "a", 10, false, false, "b", 0 },
		    { "b", 2, false, true, "b", 0 },
		    { "a", 11, false, false, "b", 0 } } },
		{ "the earlier one leaves late",
		  { { "a", 9, false, true, "a", 0 },
		    { "b", 1, false, true, "b", 0 },
		    { "a", 10, true, false, "b", 0 },
		    { "a", 0, true, false, "b", 0 },
		    { "b", 2, false, true, "b", 0 } } },
		{ "a late word of one never seen, then the present one",
		  { { "b", 5, false, true, "b", 0 },
		    { "a", 40, false, true, "a", 0 },
		    { "b", 6, false, false, "a", 0 },
		    { "b", 7, false, true, "b", 0 },
		    { "a", 39, false, false, "b", 0 } } },
		{ "the leaving of one never seen",
		  { { "b", 5, false, true, "b", 0 },
		    { "a", 40, true, false, "b", 0 },
		    { "b", 6, false, true, "b", 0 } } },
		{ "again under the same id: numbers begin anew",
		  { { "a", 40, false, true, "a", 1000 },
		    { "a", 1, false, true, "a", 2000 },
		    { "a", 2, false, true, "a", 2000 },
		    { "a", 2, false, false, "a", 2000 } } },
		{ "a word of the earlier one is late, whatever its number",
		  { { "a", 40, false, true, "a", 1000 },
		    { "a", 1, false, true, "a", 2000 },
		    { "a", 41, false, false, "a", 1000 },
		    { "a", 42, false, false, "a", 1000 },
		    { "a", 0, true, false, "a", 1000 },
		    { "a", 2, false, true, "a", 2000 } } },
		{ "it left, and has started again",
		  { { "a", 40, true, true, "a", 1000 },
		    { "a", 41, false, false, "a", 1000 },
		    { "a", 1, false, true, "a", 2000 } } },
		{ "another id, then the first one again",
		  { { "a", 40, false, true, "a", 1000 },
		    { "b", 1, false, true, "b", 2000 },
		    { "a", 41, false, false, "b", 1000 },
		    { "a", 1, false, true, "a", 3000 },
		    { "b", 2, false, false, "a", 2000 },
		    { "a", 42, false, false, "a", 1000 } } },
		{ "one that did not say when it began, and then does",
		  { { "a", 4, false, true, "a", 0 },
		    { "a", 5, false, true, "a", 1000 },
		    { "a", 1, false, true, "a", 2000 } } },
		{ "one that leaves is the first to be heard of",
		  { { "a", 0, true, true, "a", 0 },
		    { "a", 7, false, false, "a", 0 },
		    { "b", 1, false, true, "b", 0 } } },
	};
	size_t i;
	size_t j;

	for (i = 0; i < COUNT(cases); i++) {
		struct incarnations incarnations = { 0 };

		for (j = 0; j < WORDS_MAX && cases[i].words[j].id; j++) {
			const struct word *word = &cases[i].words[j];
			bool news = incarnations_update(
				&incarnations,
				&(struct incarnation_message){
					.id = word->id,
					.born_ms = word->born_ms,
					.sequence = word->sequence,
					.leaves = word->leaves });

			cr_expect_eq(news, word->news, "%s: word %zu",
				     cases[i].name, j);
			cr_expect_str_eq(incarnations.present.id, word->present,
					 "%s: word %zu", cases[i].name, j);
		}
	}
}

Test(incarnations, the_upstreams_own_word_settles_it)
{
	struct incarnations incarnations = { 0 };

	cr_expect(take(&incarnations, "a", 5));
	cr_expect_not(incarnations_confirm(&incarnations, "a"));
	cr_expect(incarnations_confirm(&incarnations, "b"));
	cr_expect_str_eq(incarnations.present.id, "b");
	cr_expect_not(take(&incarnations, "a", 6));
	cr_expect(take(&incarnations, "b", 1));
	cr_expect(incarnations_confirm(&incarnations, "a"));
	cr_expect(take(&incarnations, "a", 7));
}

/* Many starts: the oldest is forgotten, the present one never. */
Test(incarnations, memory_is_bounded)
{
	struct incarnations incarnations = { 0 };
	char id[2] = "a";
	int i;

	for (i = 0; i < INCARNATIONS_KEPT * 2; i++, id[0]++)
		cr_expect(take(&incarnations, id, 1));
	cr_expect_eq(incarnations.earlier_count, INCARNATIONS_KEPT);
	id[0]--;
	cr_expect_str_eq(incarnations.present.id, id);
}
