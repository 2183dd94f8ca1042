#include <criterion/criterion.h>
#include <string.h>

#include "call/incarnations.h"

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))

enum { MESSAGES_MAX = 8 };

/* A message, whether it must be accepted, and the present ID after it. */
struct message {
	const char *id; /* NULL ends the list */
	uint64_t sequence;
	bool leaving;
	bool accepted;
	const char *present;
	int64_t start_time_ms;
};

static bool update(struct incarnations *incarnations, const char *id,
		   uint64_t sequence)
{
	const struct incarnation_message message = { .id = id,
						     .sequence = sequence };

	return incarnations_update(incarnations, &message);
}

/* Guards against requests to a replaced or leaving incarnation: a message that
 * arrives after a newer one must not change the state. */
Test(incarnations, late_messages_do_not_override_newer_messages)
{
	static const struct {
		const char *name;
		struct message messages[MESSAGES_MAX];
	} cases[] = {
		{ "one incarnation",
		  { { "a", 1, false, true, "a", 0 },
		    { "a", 2, false, true, "a", 0 },
		    { "a", 2, false, false, "a", 0 },
		    { "a", 1, false, false, "a", 0 } } },
		{ "a departure is final",
		  { { "a", 1, false, true, "a", 0 },
		    { "a", 3, true, true, "a", 0 },
		    { "a", 2, false, false, "a", 0 },
		    { "a", 4, false, false, "a", 0 } } },
		{ "a departure has no number",
		  { { "a", 9, false, true, "a", 0 },
		    { "a", 0, true, true, "a", 0 },
		    { "a", 10, false, false, "a", 0 } } },
		{ "the next incarnation",
		  { { "a", 9, false, true, "a", 0 },
		    { "b", 1, false, true, "b", 0 },
		    { "a", 10, false, false, "b", 0 },
		    { "b", 2, false, true, "b", 0 },
		    { "a", 11, false, false, "b", 0 } } },
		{ "a late departure of the earlier incarnation",
		  { { "a", 9, false, true, "a", 0 },
		    { "b", 1, false, true, "b", 0 },
		    { "a", 10, true, false, "b", 0 },
		    { "a", 0, true, false, "b", 0 },
		    { "b", 2, false, true, "b", 0 } } },
		{ "a late message of an unknown incarnation",
		  { { "b", 5, false, true, "b", 0 },
		    { "a", 40, false, true, "a", 0 },
		    { "b", 6, false, false, "a", 0 },
		    { "b", 7, false, true, "b", 0 },
		    { "a", 39, false, false, "b", 0 } } },
		{ "the departure of an unknown incarnation",
		  { { "b", 5, false, true, "b", 0 },
		    { "a", 40, true, false, "b", 0 },
		    { "b", 6, false, true, "b", 0 } } },
		{ "a restart under the same ID numbers messages from one",
		  { { "a", 40, false, true, "a", 1000 },
		    { "a", 1, false, true, "a", 2000 },
		    { "a", 2, false, true, "a", 2000 },
		    { "a", 2, false, false, "a", 2000 } } },
		{ "messages of the earlier incarnation with the same ID",
		  { { "a", 40, false, true, "a", 1000 },
		    { "a", 1, false, true, "a", 2000 },
		    { "a", 41, false, false, "a", 1000 },
		    { "a", 42, false, false, "a", 1000 },
		    { "a", 0, true, false, "a", 1000 },
		    { "a", 2, false, true, "a", 2000 } } },
		{ "a restart under the same ID after a departure",
		  { { "a", 40, true, true, "a", 1000 },
		    { "a", 41, false, false, "a", 1000 },
		    { "a", 1, false, true, "a", 2000 } } },
		{ "another ID, then a restart under the first ID",
		  { { "a", 40, false, true, "a", 1000 },
		    { "b", 1, false, true, "b", 2000 },
		    { "a", 41, false, false, "b", 1000 },
		    { "a", 1, false, true, "a", 3000 },
		    { "b", 2, false, false, "a", 2000 },
		    { "a", 42, false, false, "a", 1000 } } },
		{ "a start time that is reported later",
		  { { "a", 4, false, true, "a", 0 },
		    { "a", 5, false, true, "a", 1000 },
		    { "a", 1, false, true, "a", 2000 } } },
		{ "the first message is a departure",
		  { { "a", 0, true, true, "a", 0 },
		    { "a", 7, false, false, "a", 0 },
		    { "b", 1, false, true, "b", 0 } } },
	};
	size_t i;
	size_t j;

	for (i = 0; i < COUNT(cases); i++) {
		struct incarnations incarnations = { 0 };

		for (j = 0; j < MESSAGES_MAX && cases[i].messages[j].id; j++) {
			const struct message *message = &cases[i].messages[j];
			bool accepted = incarnations_update(
				&incarnations,
				&(struct incarnation_message){
					.id = message->id,
					.start_time_ms = message->start_time_ms,
					.sequence = message->sequence,
					.leaving = message->leaving });

			cr_expect_eq(accepted, message->accepted,
				     "%s: message %zu", cases[i].name, j);
			cr_expect_str_eq(incarnations.present.id,
					 message->present, "%s: message %zu",
					 cases[i].name, j);
		}
	}
}

Test(incarnations, the_id_in_an_answer_is_decisive)
{
	struct incarnations incarnations = { 0 };

	cr_expect(update(&incarnations, "a", 5));
	cr_expect_not(incarnations_confirm(&incarnations, "a"));
	cr_expect(incarnations_confirm(&incarnations, "b"));
	cr_expect_str_eq(incarnations.present.id, "b");
	cr_expect_not(update(&incarnations, "a", 6));
	cr_expect(update(&incarnations, "b", 1));
	cr_expect(incarnations_confirm(&incarnations, "a"));
	cr_expect(update(&incarnations, "a", 7));
}

Test(incarnations, memory_is_bounded)
{
	struct incarnations incarnations = { 0 };
	char id[2] = "a";
	int i;

	for (i = 0; i < INCARNATIONS_KEPT * 2; i++, id[0]++)
		cr_expect(update(&incarnations, id, 1));
	cr_expect_eq(incarnations.earlier_count, INCARNATIONS_KEPT);
	id[0]--;
	cr_expect_str_eq(incarnations.present.id, id);
}
