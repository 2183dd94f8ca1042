#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "profile/keeper.h"

enum { TEXT_SIZE = 200 };

static struct keeper keeper;
static struct error err;
static uint32_t changes;

static void on_change(struct config *config, void *data)
{
	changes++;
}

static struct keeper_observer observer = { .changed = on_change };

static void setup(void)
{
	keeper_init(&keeper);
	keeper_observe(&keeper, &observer);
}

static void teardown(void)
{
	keeper_finish(&keeper);
}

/* Writes a valid profile text, or an invalid one if @number is negative. */
static const char *text_of(int number, char text[TEXT_SIZE])
{
	snprintf(text, TEXT_SIZE,
		 "services = [\"*\"]\ndrain_ms = %d\n[kind.k]\n"
		 "[[route]]\npath = \"/\"\nkind = \"k\"\n",
		 number);
	return text;
}

static void set(struct head *head, const char *name, int number)
{
	uint8_t hash[CONTENT_HASH_BYTES];
	char text[TEXT_SIZE];

	text_of(number, text);
	content_hash(text, strlen(text), hash);
	cr_assert(head_set(head, name, hash, &err));
}

static void next(struct head *head)
{
	char id[ACCEPT_ID_SIZE];

	snprintf(id, sizeof(id), "id-%d", (int)head->version + 1);
	head_advance(head, id, "operator", 1000);
}

static enum keeper_offer_result offer(const struct head *head)
{
	size_t size;
	uint8_t *bytes = head_encode(head, &size);
	enum keeper_offer_result result =
		keeper_offer_head(&keeper, bytes, size, &err);

	free(bytes);
	return result;
}

static enum keeper_offer_result offer_text(int number)
{
	char text[TEXT_SIZE];

	text_of(number, text);
	return keeper_offer_body(&keeper, text, strlen(text), &err);
}

/* Applies version 1 with profiles a (text 1) and b (text 2). */
static void first_version(struct head *head)
{
	head_init(head);
	next(head);
	set(head, "a", 1);
	set(head, "b", 2);
	head_seal(head);
	cr_assert_eq(offer(head), KEEPER_INCOMPLETE);
	cr_assert_eq(offer_text(2), KEEPER_INCOMPLETE);
	cr_assert_eq(changes, 0);
	cr_assert_eq(offer_text(1), KEEPER_IN_FORCE);
	cr_assert_eq(changes, 1);
}

Test(keeper, a_version_comes_into_force_when_it_is_whole, .init = setup,
     .fini = teardown)
{
	uint8_t hashes[4][CONTENT_HASH_BYTES];
	struct config *old;
	struct head head;

	first_version(&head);
	old = config_ref(keeper_config(&keeper));
	next(&head);
	set(&head, "b", 3);
	head_seal(&head);
	cr_assert_eq(offer(&head), KEEPER_INCOMPLETE);
	cr_assert_eq(keeper_missing(&keeper, hashes, 4), 1);
	cr_assert_eq(keeper_pending_version(&keeper), 2);
	cr_assert_eq(keeper_config(&keeper)->version, 1);
	cr_assert_eq(offer_text(3), KEEPER_IN_FORCE);
	cr_assert_eq(config_find(keeper_config(&keeper), "b")->drain_ms, 3);
	cr_assert_eq(config_find(keeper_config(&keeper), "a"),
		     config_find(old, "a"), "unchanged profiles are shared");
	cr_assert_eq(config_find(old, "b")->drain_ms, 2,
		     "a reference keeps the old version");
	cr_assert_eq(
		config_find_entry(keeper_config(&keeper), "a")->unchanged_since,
		1, "the text is unchanged since version 1");
	cr_assert_eq(
		config_find_entry(keeper_config(&keeper), "b")->unchanged_since,
		2);
	cr_assert_eq(keeper.body_count, 2);
	config_unref(old);
	head_finish(&head);
}

/* Guards against a node that goes back to an older version or applies a version
 * twice, when heads arrive reordered, duplicated and late. */
Test(keeper, only_newer_heads_are_applied, .init = setup, .fini = teardown)
{
	struct head first;
	struct head second;
	struct head third;

	first_version(&first);
	head_copy(&second, &first);
	next(&second);
	set(&second, "a", 4);
	head_seal(&second);
	head_copy(&third, &second);
	next(&third);
	set(&third, "b", 5);
	head_seal(&third);
	cr_expect_eq(offer(&third), KEEPER_INCOMPLETE);
	cr_expect_eq(offer(&second), KEEPER_IGNORED);
	cr_expect_eq(offer(&third), KEEPER_INCOMPLETE, "pending already");
	cr_expect_eq(offer(&first), KEEPER_IGNORED);
	cr_expect_eq(offer_text(5), KEEPER_INCOMPLETE);
	cr_expect_eq(offer_text(5), KEEPER_IGNORED, "duplicate body");
	cr_expect_eq(offer_text(4), KEEPER_IN_FORCE);
	cr_expect_eq(keeper_config(&keeper)->version, 3);
	cr_expect_eq(offer(&second), KEEPER_IGNORED);
	cr_expect_eq(offer(&first), KEEPER_IGNORED);
	cr_expect_eq(changes, 2);
	cr_expect_eq(keeper.forks, 0);
	head_finish(&first);
	head_finish(&second);
	head_finish(&third);
}

/* Guards against applying a version of which one body is missing or damaged,
 * for example because the sender crashed. */
Test(keeper, a_version_with_a_damaged_or_missing_body_is_not_applied,
     .init = setup, .fini = teardown)
{
	struct head head;

	first_version(&head);
	next(&head);
	set(&head, "a", 6);
	set(&head, "b", 7);
	head_seal(&head);
	cr_expect_eq(offer(&head), KEEPER_INCOMPLETE);
	cr_expect_eq(offer_text(7), KEEPER_INCOMPLETE);
	cr_expect_eq(offer_text(8), KEEPER_IGNORED, "a wrong hash");
	cr_expect_eq(keeper_config(&keeper)->version, 1);
	cr_expect_eq(config_find(keeper_config(&keeper), "b")->drain_ms, 2);
	next(&head);
	set(&head, "a", 9);
	head_seal(&head);
	cr_expect_eq(offer(&head), KEEPER_INCOMPLETE,
		     "a newer version replaces the pending one");
	cr_expect_eq(keeper_missing(&keeper, NULL, 0), 1,
		     "the other text has arrived");
	cr_expect_eq(offer_text(9), KEEPER_IN_FORCE);
	cr_expect_eq(keeper_config(&keeper)->version, 3);
	head_finish(&head);
}

/* Guards against applying a part of a version in which one profile is invalid,
 * and against fetching the refused version again. */
Test(keeper, a_version_with_one_invalid_profile_is_refused_whole, .init = setup,
     .fini = teardown)
{
	struct head head;

	first_version(&head);
	next(&head);
	set(&head, "a", 10);
	set(&head, "b", -1);
	head_seal(&head);
	cr_expect_eq(offer(&head), KEEPER_INCOMPLETE);
	cr_expect_eq(offer_text(-1), KEEPER_INCOMPLETE);
	cr_expect_eq(offer_text(10), KEEPER_REFUSED);
	cr_expect_eq(err.code, ERROR_INVALID);
	cr_expect(strstr(err.text, "b:2: drain_ms"), "%s", err.text);
	cr_expect_eq(keeper.refused_version, 2);
	cr_expect_eq(keeper_config(&keeper)->version, 1);
	cr_expect_eq(config_find(keeper_config(&keeper), "a")->drain_ms, 1);
	cr_expect_eq(keeper.body_count, 2,
		     "the refused version leaves no body");
	error_clear(&err);
	cr_expect_eq(offer(&head), KEEPER_REFUSED,
		     "the refused version is not fetched again");
	cr_expect_eq(keeper_pending_version(&keeper), 0);
	next(&head);
	set(&head, "b", 11);
	head_seal(&head);
	cr_expect_eq(offer(&head), KEEPER_INCOMPLETE);
	cr_expect_eq(offer_text(10), KEEPER_INCOMPLETE);
	cr_expect_eq(offer_text(11), KEEPER_IN_FORCE);
	cr_expect_eq(keeper.refused_version, 0);
	head_finish(&head);
}

/* Guards against going back, or missing the fork, when a platform that was
 * restored from a backup accepts a version number a second time. */
Test(keeper, a_forked_history_is_reported_and_never_followed, .init = setup,
     .fini = teardown)
{
	struct head ours;
	struct head theirs;

	first_version(&ours);
	head_copy(&theirs, &ours);
	next(&ours);
	set(&ours, "a", 2);
	head_seal(&ours);
	cr_assert_eq(offer(&ours), KEEPER_IN_FORCE, "text 2 is held for b");
	next(&theirs);
	set(&theirs, "b", 1);
	head_seal(&theirs);
	cr_expect_eq(offer(&theirs), KEEPER_IGNORED);
	cr_expect_eq(keeper.forks, 1);
	next(&theirs);
	set(&theirs, "a", 2);
	head_seal(&theirs);
	cr_expect_neq(offer(&theirs), KEEPER_IGNORED,
		      "a newer version is taken in spite of the fork");
	cr_expect_eq(keeper.forks, 2);
	cr_expect_geq(keeper_config(&keeper)->version, 2);
	head_finish(&ours);
	head_finish(&theirs);
}

Test(keeper, changes_since_a_version_are_enough, .init = setup,
     .fini = teardown)
{
	struct keeper empty;
	struct head head;
	uint8_t *bytes;
	size_t size;

	first_version(&head);
	next(&head);
	set(&head, "c", 1);
	head_seal(&head);
	next(&head);
	head_remove(&head, "b");
	head_seal(&head);
	bytes = head_encode_since(&head, 1, &size);
	cr_assert_eq(keeper_offer_head(&keeper, bytes, size, &err),
		     KEEPER_IN_FORCE, "%s", err.text);
	cr_assert_eq(memcmp(keeper.head.chain, head.chain, CHAIN_HASH_BYTES),
		     0);
	cr_assert_null(config_find(keeper_config(&keeper), "b"));
	cr_assert_not_null(config_find(keeper_config(&keeper), "c"));
	keeper_init(&empty);
	cr_assert_eq(keeper_offer_head(&empty, bytes, size, &err),
		     KEEPER_REFUSED);
	cr_assert_eq(err.code, ERROR_NOT_FOUND, "the full head is needed");
	free(bytes);
	keeper_finish(&empty);
	head_finish(&head);
}

static struct config *started_with;

static void keep_first(struct config *config, void *data)
{
	if (!started_with)
		started_with = config_ref(config);
}

Test(keeper, a_version_outlives_its_keeper, .init = setup)
{
	struct keeper_observer keep = { .changed = keep_first };
	struct head head;

	keeper_observe(&keeper, &keep);
	first_version(&head);
	keeper_finish(&keeper);
	cr_assert_eq(started_with->version, 1);
	cr_assert_eq(config_find(started_with, "b")->drain_ms, 2);
	config_unref(started_with);
	head_finish(&head);
}

/* Guards against a text parsed on arrival that is used under the name of
 * another profile, and against an invalid text that arrives first. */
Test(keeper, a_text_parsed_early_serves_each_of_its_names, .init = setup,
     .fini = teardown)
{
	struct head head;
	const struct profile *a;
	const struct profile *b;

	first_version(&head);
	next(&head);
	set(&head, "a", 7);
	set(&head, "b", 7);
	set(&head, "c", 8);
	head_seal(&head);
	cr_assert_eq(offer(&head), KEEPER_INCOMPLETE);
	cr_assert_eq(offer_text(7), KEEPER_INCOMPLETE);
	cr_assert_eq(offer_text(8), KEEPER_IN_FORCE);
	a = config_find(keeper_config(&keeper), "a");
	b = config_find(keeper_config(&keeper), "b");
	cr_assert_str_eq(a->name, "a");
	cr_assert_str_eq(b->name, "b");
	cr_assert_eq(a->drain_ms, 7);
	cr_assert_eq(b->drain_ms, 7);
	next(&head);
	set(&head, "a", -1);
	set(&head, "b", 9);
	head_seal(&head);
	cr_assert_eq(offer(&head), KEEPER_INCOMPLETE);
	cr_assert_eq(offer_text(-1), KEEPER_INCOMPLETE);
	cr_assert_eq(offer_text(9), KEEPER_REFUSED);
	cr_assert_eq(keeper_config(&keeper)->version, 2);
	cr_assert_eq(config_find(keeper_config(&keeper), "b"), b);
	head_finish(&head);
}

/* Guards against a node that compresses all bodies of a version again when it
 * sends them on, which delays its calls. */
Test(keeper, a_body_keeps_the_compressed_form_that_it_came_in)
{
	static const char compressed[] = "as received";
	uint8_t hash[CONTENT_HASH_BYTES];
	char text[TEXT_SIZE];
	size_t compressed_size;
	struct head head;
	size_t size;

	keeper_init(&keeper);
	head_init(&head);
	next(&head);
	set(&head, "a", 1);
	head_seal(&head);
	text_of(1, text);
	content_hash(text, strlen(text), hash);
	keeper_set_compressed(&keeper, hash, compressed, sizeof(compressed));
	cr_expect_null(
		keeper_compressed_body(&keeper, hash, &compressed_size, &size));
	cr_assert_eq(offer(&head), KEEPER_INCOMPLETE);
	cr_assert_eq(keeper_offer_body(&keeper, text, strlen(text), &err),
		     KEEPER_IN_FORCE);
	keeper_set_compressed(&keeper, hash, compressed, sizeof(compressed));
	cr_assert_str_eq((const char *)keeper_compressed_body(
				 &keeper, hash, &compressed_size, &size),
			 compressed);
	cr_expect_eq(compressed_size, sizeof(compressed));
	cr_expect_eq(size, strlen(text));
	head_finish(&head);
	keeper_finish(&keeper);
}
