#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/random.h"
#include "profile/head.h"

static struct error err;

static void setup(void)
{
	error_clear(&err);
}

static void next(struct head *head)
{
	char id[ACCEPT_ID_SIZE];

	snprintf(id, sizeof(id), "id-%llu",
		 (unsigned long long)head->version + 1);
	head_advance(head, id, "op", 7);
}

static void set(struct head *head, const char *name, uint8_t fill)
{
	uint8_t hash[CONTENT_HASH_BYTES];

	memset(hash, fill, sizeof(hash));
	cr_assert(head_set(head, name, hash, &err));
}

#define ZERO "000000000000000000000000000000000000000000000000000000000000"
#define HASH "\"" ZERO "0000\""
#define HEAD(ids, version, profiles, removed)                                  \
	"{\"accept_ids\":" ids ",\"accepted_ms\":1,\"author\":\"x\","          \
	"\"chain\":" HASH ",\"previous\":" HASH ",\"profiles\":" profiles      \
	",\"removed\":" removed ",\"version\":" version "}"

Test(head, decoding_is_strict, .init = setup)
{
	static const struct {
		const char *text;
		const char *message;
	} cases[] = {
		{ "", "not an object" },
		{ "[]", "not an object" },
		{ "{\"version\":1}", "not an object" },
		{ "{\"version\":1,\"version\":1}", "not an object" },
		{ HEAD("[\"a\"]", "0", "{}", "[]"), "version" },
		{ HEAD("[\"a\"]", "-1", "{}", "[]"), "version" },
		{ HEAD("[\"a\"]", "\"1\"", "{}", "[]"), "version" },
		{ HEAD("[]", "1", "{}", "[]"), "accept_ids" },
		{ HEAD("[\"a\",\"b\"]", "1", "{}", "[]"), "accept_ids" },
		{ HEAD("[\"a b\"]", "1", "{}", "[]"), "accept_ids" },
		{ HEAD("[\"a\"]", "1", "[]", "[]"), "profiles" },
		{ HEAD("[\"a\"]", "1", "{\"A\":[" HASH ",1]}", "[]"),
		  "profiles" },
		{ HEAD("[\"a\"]", "1", "{\"a\":[" HASH ",2]}", "[]"),
		  "profiles" },
		{ HEAD("[\"a\"]", "1", "{\"a\":[\"00\",1]}", "[]"),
		  "profiles" },
		{ HEAD("[\"a\"]", "1", "{}", "[[\"a\"]]"), "removed" },
		{ HEAD("[\"a\"]", "1", "{}", "{}"), "removed" },
		{ HEAD("[\"a\"]", "1", "{}", "[]"), "chain hash" },
	};
	struct head head;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		error_clear(&err);
		cr_expect_not(head_decode(&head, cases[i].text,
					  strlen(cases[i].text), &err));
		cr_expect(strstr(err.text, cases[i].message), "%zu: %s", i,
			  err.text);
		cr_expect_eq(head.version, 0);
	}
}

Test(head, every_changed_byte_is_rejected, .init = setup)
{
	struct head head;
	struct head decoded;
	uint8_t *bytes;
	size_t size;
	size_t i;

	head_init(&head);
	next(&head);
	set(&head, "a", 1);
	set(&head, "b", 2);
	head_seal(&head);
	bytes = head_encode(&head, &size);
	cr_assert(head_decode(&decoded, bytes, size, &err), "%s", err.text);
	cr_assert_eq(decoded.profile_count, 2);
	head_finish(&decoded);
	for (i = 0; i < size; i++) {
		bytes[i] ^= 1;
		cr_expect_not(head_decode(&decoded, bytes, size, &err),
			      "change of byte %zu was not detected", i);
		bytes[i] ^= 1;
	}
	free(bytes);
	head_finish(&head);
}

Test(head, only_the_newest_accept_ids_are_kept, .init = setup)
{
	struct head head;
	int i;

	head_init(&head);
	for (i = 0; i < HEAD_ACCEPT_IDS_MAX + 10; i++)
		next(&head);
	cr_expect_eq(head_accepted_in(&head, "id-74"), 74);
	cr_expect_eq(head_accepted_in(&head, "id-11"), 11);
	cr_expect_eq(head_accepted_in(&head, "id-10"), 0, "no longer listed");
	head_finish(&head);
}

static void random_step(struct head *head, struct random *random)
{
	char name[PROFILE_NAME_SIZE];
	uint32_t i;

	next(head);
	for (i = random_below(random, 3); i < 3; i++) {
		snprintf(name, sizeof(name), "p%u", random_below(random, 120));
		if (random_below(random, 3))
			set(head, name, (uint8_t)random_below(random, 256));
		else
			head_remove(head, name);
	}
	head_seal(head);
}

/* Applies the changes after @version to @base. The result must be @head, or the
 * changes must be refused with ERROR_NOT_FOUND; returns false then. */
static bool apply_changes(const struct head *head, const struct head *base,
			  uint64_t version, size_t *size)
{
	uint8_t *bytes = head_encode_since(head, version, size);
	struct head merged;
	bool ok = head_decode_onto(&merged, base, bytes, *size, &err);

	if (ok)
		cr_assert_eq(
			memcmp(merged.chain, head->chain, CHAIN_HASH_BYTES), 0);
	else
		cr_assert_eq(err.code, ERROR_NOT_FOUND, "%s", err.text);
	error_clear(&err);
	free(bytes);
	head_finish(&merged);
	return ok;
}

/* A node could have a profile too many or too few after versions that it missed
 * set, removed and set a profile again: only the last state is sent. */
Test(head, changes_since_any_version_give_the_same_head, .init = setup)
{
	enum { STEPS = 200, SEEDS = 5, BACK = 40 };
	uint32_t merged_count = 0;
	uint32_t apply_count = 0;
	uint64_t seed;

	for (seed = 1; seed <= SEEDS; seed++) {
		struct head versions[STEPS + 1];
		struct random random;
		int i;

		random_init(&random, seed);
		head_init(&versions[0]);
		for (i = 1; i <= STEPS; i++) {
			uint32_t back = 1 + random_below(&random, BACK);
			uint32_t since = back + random_below(&random, 5);
			size_t size;

			head_copy(&versions[i], &versions[i - 1]);
			random_step(&versions[i], &random);
			if ((int)since >= i)
				continue;
			apply_count++;
			merged_count += apply_changes(&versions[i],
						      &versions[i - (int)back],
						      (uint64_t)i - since,
						      &size);
		}
		for (i = 0; i <= STEPS; i++)
			head_finish(&versions[i]);
	}
	cr_expect_gt(merged_count, apply_count * 9 / 10, "%u of %u",
		     merged_count, apply_count);
}

Test(head, a_change_is_encoded_in_less_than_512_bytes, .init = setup)
{
	struct head head;
	struct head before;
	char name[PROFILE_NAME_SIZE];
	uint8_t *bytes;
	size_t size;
	int i;

	head_init(&head);
	next(&head);
	for (i = 0; i < 980; i++) {
		snprintf(name, sizeof(name), "service-profile-%d", i);
		set(&head, name, (uint8_t)i);
	}
	head_seal(&head);
	head_copy(&before, &head);
	next(&head);
	set(&head, "service-profile-500", 77);
	head_seal(&head);
	bytes = head_encode(&head, &size);
	cr_expect_lt(size, 128 * 1024);
	free(bytes);
	cr_expect(apply_changes(&head, &before, 1, &size));
	cr_expect_lt(size, 512);
	head_finish(&head);
	head_finish(&before);
}
