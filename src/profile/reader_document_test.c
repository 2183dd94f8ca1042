#include <apr_general.h>
#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "os/clock.h"
#include "profile/reader.h"

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))

enum { TURNS = 20000, TURN_US = 1000, ROUTES = 3000, REVISION = 40 };

static struct loop loop;
static struct store store;
static struct keeper keeper;
static struct reader reader;

static void start_reader(uint32_t rank)
{
	struct reader_options options = {
		.form = INTERFACE_PLATFORM,
		.election = READER_BY_RANK,
		.data_centre = "dc",
		.holder = "i/1",
		.seed = 1,
	};

	lease_options_default(&options.lease);
	reader_init(&reader, &loop, &store, &keeper, &options);
	reader_set_rank(&reader, rank);
}

static void setup(void)
{
	struct store_options options;
	struct error err = ERROR_INIT;

	apr_initialize();
	cr_assert(loop_init(&loop, &err));
	store_options_default(&options);
	options.transport = STORE_MANUAL;
	options.rate_per_s = 10000;
	options.burst = 10000;
	store_init(&store, &loop, NULL, &options);
	keeper_init(&keeper);
	start_reader(0);
}

static void teardown(void)
{
	reader_finish(&reader);
	keeper_finish(&keeper);
	store_finish(&store);
	loop_finish(&loop);
}

/* Returns a document; @end comes after its routes. */
static char *make_document(uint64_t version, uint32_t routes, const char *end)
{
	char *text = malloc(1024 + (size_t)routes * 256);
	char *at = text;
	uint32_t i;

	cr_assert_not_null(text);
	at += sprintf(at,
		      "{\"version\":\"r%llu\",\"services\":{\"s\":{}},"
		      "\"routes\":{",
		      (unsigned long long)version);
	for (i = 0; i < routes; i++)
		at += sprintf(at,
			      "%s\"r-%u\":{\"host\":\"h%u.example\",\"prefix\":"
			      "\"/%u/\",\"kind\":\"safe\",\"timeout_s\":1,"
			      "\"service\":\"s\",\"max_attempts\":2}",
			      i ? "," : "", i, i % 5, i);
	sprintf(at, "}%s", end);
	return text;
}

/* Runs the loop until the reader watches; returns the call. */
static struct store_call *await_watch(void)
{
	int i;

	for (i = 0; i < TURNS && !reader.head_call; i++)
		loop_turn(&loop, TURN_US);
	for (i = 0; i < TURNS && !store.attempts[STORE_WATCH]; i++)
		loop_turn(&loop, TURN_US);
	cr_assert_not_null(reader.head_call, "the reader does not watch");
	return reader.head_call;
}

/* Ends the watch with a document. */
static void return_document(const char *text)
{
	const struct store_result result = {
		.outcome = STORE_TOOK_EFFECT,
		.revision = REVISION,
		.value = (const uint8_t *)text,
		.size = strlen(text),
	};

	store_end_attempt(await_watch(), &result);
}

static uint64_t version_in_force(void)
{
	const struct config *config = keeper_config(&keeper);

	return config ? config->version : 0;
}

static uint32_t other_calls;

static void defer_again(void *data)
{
	other_calls++;
	loop_defer(&loop, data);
}

static void ignore_end(enum keeper_offer_result offer, const struct error *err,
		       void *data)
{
}

/* Runs the loop, which always has something else to do, until the document has
 * been taken over. Returns the number of other calls until then. */
static uint32_t take_over(void)
{
	struct deferred busy;
	int i;

	deferred_init(&busy, defer_again, &busy);
	loop_defer(&loop, &busy);
	other_calls = 0;
	for (i = 0; i < TURNS && translation_is_active(&reader.translation);
	     i++)
		loop_turn(&loop, TURN_US);
	loop_defer_cancel(&loop, &busy);
	return other_calls;
}

static const struct {
	const char *name;
	const char *end;
	uint64_t version; /* in force afterwards */
	uint32_t routes;
	uint32_t other_calls_min;
} cases[] = {
	{ "large", ",\"limits\":{}}", 7, ROUTES, DOCUMENT_SHARDS },
	{ "small", "}", 7, 1, 0 },
	{ "a route that is no route", ",\"routes\":{\"r\":{}}}", 7, ROUTES, 0 },
	{ "routes that are no object", ",\"routes\":[]}", 0, ROUTES, 0 },
	{ "cut off", "", 0, ROUTES, 0 },
	{ "followed by other bytes", "}}", 0, ROUTES, 0 },
};

/*
 * Guards against calls that wait for a second while a node takes over a large
 * configuration: other events are handled between its slices.
 */
Test(reader_document, a_document_is_taken_over_between_other_events)
{
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		char *text = make_document(7, cases[i].routes, cases[i].end);
		uint32_t calls;

		setup();
		return_document(text);
		cr_expect_eq(version_in_force(), 0, "%s: all in one turn",
			     cases[i].name);
		calls = take_over();
		cr_expect_geq(calls, cases[i].other_calls_min,
			      "%s: %u other calls", cases[i].name, calls);
		cr_expect_eq(version_in_force(), cases[i].version, "%s",
			     cases[i].name);
		cr_expect_eq(reader.heads, 1, "%s", cases[i].name);
		cr_expect_eq(store_call_request(await_watch())->revision,
			     REVISION, "%s", cases[i].name);
		teardown();
		free(text);
	}
}

/* Guards against other nodes taking over the reading, although this node has
 * just read the service: the time of the read is known at once. */
Test(reader_document, the_read_counts_before_the_document_is_in_force)
{
	char *text = make_document(7, ROUTES, "}");

	setup();
	return_document(text);
	cr_expect_neq(reader_contact_us(&reader), 0);
	cr_expect_null(reader.head_call);
	teardown();
	free(text);
}

/* Guards against the loss of a document that was read just before the service
 * failed or the node lost its rank. */
Test(reader_document, a_document_is_taken_over_though_the_watch_is_stopped)
{
	char *text = make_document(7, ROUTES, "}");
	int i;

	setup();
	return_document(text);
	reader_set_rank(&reader, UINT32_MAX);
	reader.core.active_until_us = 0;
	for (i = 0; i < TURNS && !version_in_force(); i++)
		loop_turn(&loop, TURN_US);
	cr_expect_eq(version_in_force(), 7);
	teardown();
	free(text);
}

/* A newer document replaces one that is being taken over. */
Test(reader_document, a_newer_document_replaces_an_unfinished_one)
{
	char *old = make_document(7, ROUTES, "}");
	char *new = make_document(8, ROUTES + 1, "}");

	setup();
	return_document(old);
	loop_turn(&loop, 0);
	translation_start(&reader.translation, new, strlen(new));
	take_over();
	cr_expect_eq(version_in_force(), 8);
	cr_expect_eq(reader.heads, 1);
	teardown();
	free(old);
	free(new);
}

/* Takes a document over in a keeper of its own and offers the head of its
 * version, and @bodies of its bodies, to the keeper of this node. */
static void offer_part(const char *text, uint32_t bodies)
{
	uint8_t missing[DOCUMENT_BODIES][CONTENT_HASH_BYTES];
	struct keeper whole;
	struct translation translation;
	struct error err = ERROR_INIT;
	const void *head;
	size_t size;
	uint32_t i;

	keeper_init(&whole);
	translation_init(&translation, &loop, &whole, ignore_end, NULL);
	translation_start(&translation, text, strlen(text));
	for (i = 0; i < TURNS && translation_is_active(&translation); i++)
		loop_turn(&loop, 0);
	head = keeper_head(&whole, &size);
	cr_assert_not_null(head);
	cr_assert_eq(keeper_offer_head(&keeper, head, size, &err),
		     KEEPER_INCOMPLETE);
	cr_assert_gt(keeper_missing(&keeper, missing, COUNT(missing)), bodies);
	for (i = 0; i < bodies; i++) {
		const void *body = keeper_body(&whole, missing[i], &size);

		cr_assert_eq(keeper_offer_body(&keeper, body, size, &err),
			     KEEPER_INCOMPLETE);
	}
	translation_finish(&translation);
	keeper_finish(&whole);
}

/* Guards against a node that stays at an older version because the peer that
 * handed the new one on is gone, although it has read the version itself. */
Test(reader_document, a_version_held_in_part_is_completed_from_the_store)
{
	static const struct {
		const char *name;
		uint32_t bodies; /* that a peer has handed on */
		uint64_t read;	 /* version read from the store */
	} rows[] = {
		{ "the head alone", 0, 7 },
		{ "some bodies", 5, 7 },
		{ "a newer version in the store", 5, 8 },
	};
	size_t i;

	for (i = 0; i < COUNT(rows); i++) {
		char *pending = make_document(7, ROUTES, "}");
		char *read = make_document(rows[i].read, ROUTES, "}");

		setup();
		offer_part(pending, rows[i].bodies);
		return_document(read);
		take_over();
		cr_expect_eq(version_in_force(), rows[i].read, "%s: %llu",
			     rows[i].name,
			     (unsigned long long)version_in_force());
		cr_expect_eq(keeper_pending_version(&keeper), 0, "%s",
			     rows[i].name);
		teardown();
		free(pending);
		free(read);
	}
}
