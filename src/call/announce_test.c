#include <apr_general.h>
#include <criterion/criterion.h>
#include <stdio.h>

#include "call/announce.h"

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))

/* Guards against upstreams that are withdrawn and listed again all the time,
 * since they announce themselves less often than an announcement is valid. */
Test(announce, late_and_lost_announcements_withdraw_no_upstream)
{
	static const struct {
		const char *name;
		int64_t interval_ms;
		int64_t gap_ms; /* between two announcements that arrive */
		bool is_listed;
	} cases[] = {
		{ "on time", 5000, 5000, true },
		{ "3 s late", 5000, 8000, true },
		{ "one lost", 5000, 10000, true },
		{ "one lost, the next one late", 5000, 12900, true },
		{ "none any more", 5000, 20000, false },
		{ "often, on time", 1500, 1500, true },
		{ "often, 3 s late", 1500, 4500, true },
		{ "often, one lost, the next one late", 1500, 5900, true },
		{ "often, none any more", 1500, 8000, false },
		{ "interval not known", 0, 5100, false },
	};
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		const struct announce_options options = {
			.ttl_ms = 5000, .interval_ms = cases[i].interval_ms
		};

		cr_expect_eq(cases[i].gap_ms < announce_lifetime_ms(&options),
			     cases[i].is_listed, "%s: %lld ms", cases[i].name,
			     (long long)announce_lifetime_ms(&options));
	}
}

enum { STEPS_MAX = 6 };

/** enum step_kind - an event of a node that may have run before. */
enum step_kind {
	STEPS_END,
	HEARTBEAT,
	LEAVES,
	DEREGISTERS,
	HEALTH,
	PROBED, /* the upstream has answered the probe of the start */
	ID_IN_ANSWER,
};

/* An event, and what the node has afterwards. */
struct step {
	enum step_kind kind;
	const char *id;
	uint64_t sequence;
	enum upstream_health health;
	const char *listed; /* NULL: none */
	const char *held;   /* NULL: none */
};

static void ignore(const struct announcement *upstream, void *data)
{
}

static void receive(struct announce *announce, const struct step *step)
{
	struct announce_message message = {
		.sequence = step->sequence,
		.leaving = step->kind == LEAVES || step->kind == DEREGISTERS,
		.is_deregistration = step->kind == DEREGISTERS,
		.is_answer = step->kind == PROBED,
		.upstream = { .state = step->kind == LEAVES ? UPSTREAM_LEAVING
							    : UPSTREAM_SERVING }
	};

	snprintf(message.upstream.id, UPSTREAM_ID_SIZE, "%s", step->id);
	address_parse("127.0.0.1:80", &message.upstream.address, NULL);
	announce_receive(announce, &message);
}

static void take(struct announce *announce, const struct step *step)
{
	switch (step->kind) {
	case STEPS_END:
		return;
	case HEARTBEAT:
	case LEAVES:
	case DEREGISTERS:
	case PROBED:
		receive(announce, step);
		return;
	case HEALTH:
		announce_health(announce, step->id, step->health);
		return;
	case ID_IN_ANSWER:
		announce_confirm_id(announce, step->id);
		return;
	}
}

/* Guards against requests to an upstream that has left, after a late message,
 * and against an upstream that is never listed. */
Test(announce, a_restarted_node_lists_what_the_upstream_confirms)
{
	static const struct {
		const char *name;
		struct step steps[STEPS_MAX];
	} cases[] = {
		{ "confirmed",
		  { { HEARTBEAT, "a", 4, 0, NULL, "a" },
		    { HEALTH, "a", 0, UPSTREAM_TAKES_REQUESTS, "a", NULL },
		    { HEARTBEAT, "a", 5, 0, "a", NULL } } },
		{ "leaves, then well again",
		  { { HEARTBEAT, "a", 4, 0, NULL, "a" },
		    { HEALTH, "a", 0, UPSTREAM_TAKES_NONE, NULL, NULL },
		    { HEARTBEAT, "a", 5, 0, NULL, "a" },
		    { HEALTH, "a", 0, UPSTREAM_TAKES_REQUESTS, "a", NULL } } },
		{ "another incarnation answers",
		  { { HEARTBEAT, "a", 4, 0, NULL, "a" },
		    { HEALTH, "b", 0, UPSTREAM_TAKES_REQUESTS, NULL, NULL },
		    { HEARTBEAT, "b", 1, 0, NULL, "b" },
		    { HEALTH, "b", 0, UPSTREAM_TAKES_REQUESTS, "b", NULL } } },
		{ "no result, twice",
		  { { HEARTBEAT, "a", 4, 0, NULL, "a" },
		    { HEALTH, NULL, 0, UPSTREAM_UNKNOWN, NULL, "a" },
		    { HEARTBEAT, "a", 5, 0, NULL, "a" },
		    { HEALTH, NULL, 0, UPSTREAM_UNKNOWN, "a", NULL } } },
		{ "leaves while it is asked",
		  { { HEARTBEAT, "a", 4, 0, NULL, "a" },
		    { DEREGISTERS, "a", 0, 0, NULL, NULL },
		    { HEALTH, "a", 0, UPSTREAM_TAKES_REQUESTS, NULL, NULL },
		    { HEARTBEAT, "a", 5, 0, NULL, NULL } } },
		{ "drains while it is asked",
		  { { HEARTBEAT, "a", 4, 0, NULL, "a" },
		    { LEAVES, "a", 5, 0, "a", NULL },
		    { HEALTH, "a", 0, UPSTREAM_TAKES_REQUESTS, "a", NULL } } },
		{ "asked as the node started",
		  { { PROBED, "a", 0, 0, "a", NULL },
		    { HEARTBEAT, "a", 4, 0, "a", NULL } } },
		{ "a further incarnation at the address",
		  { { PROBED, "a", 0, 0, "a", NULL },
		    { HEARTBEAT, "b", 1, 0, "b", NULL } } },
		{ "another incarnation in an answer",
		  { { HEARTBEAT, "a", 4, 0, NULL, "a" },
		    { ID_IN_ANSWER, "b", 0, 0, NULL, NULL },
		    { HEALTH, "a", 0, UPSTREAM_TAKES_REQUESTS, NULL, NULL } } },
		{ "a result that nobody waits for",
		  { { HEALTH, "a", 0, UPSTREAM_TAKES_REQUESTS, NULL, NULL } } },
	};
	struct error err = ERROR_INIT;
	struct loop loop;
	size_t i;
	size_t j;

	apr_initialize();
	cr_assert(loop_init(&loop, &err));
	for (i = 0; i < COUNT(cases); i++) {
		const struct announce_options options = {
			.loop = &loop,
			.ttl_ms = 5000,
			.confirm = true,
			.held = ignore,
			.changed = ignore,
		};
		struct announce announce;

		announce_init(&announce, &options);
		for (j = 0; j < STEPS_MAX && cases[i].steps[j].kind; j++) {
			const struct step *step = &cases[i].steps[j];
			const struct announcement *listed;
			const struct announcement *held;

			take(&announce, step);
			listed = announce_current(&announce);
			held = announce_held(&announce);
			cr_expect_str_eq(listed ? listed->id : "none",
					 step->listed ? step->listed : "none",
					 "%s: step %zu", cases[i].name, j);
			cr_expect_str_eq(held ? held->id : "none",
					 step->held ? step->held : "none",
					 "%s: step %zu", cases[i].name, j);
		}
		announce_finish(&announce);
	}
	loop_finish(&loop);
}

/* Guards against a wait for a health check where no earlier process can have
 * acknowledged anything. */
Test(announce, a_first_start_lists_at_once)
{
	static const struct step step = { .kind = HEARTBEAT,
					  .id = "a",
					  .sequence = 1 };
	struct error err = ERROR_INIT;
	struct announce announce;
	struct loop loop;

	apr_initialize();
	cr_assert(loop_init(&loop, &err));
	announce_init(&announce,
		      &(struct announce_options){ .loop = &loop,
						  .ttl_ms = 5000,
						  .changed = ignore });
	take(&announce, &step);
	cr_expect_not_null(announce_current(&announce));
	announce_finish(&announce);
	loop_finish(&loop);
}
