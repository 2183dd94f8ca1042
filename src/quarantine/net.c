#include "quarantine/net.h"

#include <string.h>

#include <xxhash.h>

#include "base/counter.h"
#include "base/log.h"
#include "membership/fanout.h"
#include "membership/gossip.h"
#include "os/clock.h"

static const char component[] = "quarantine";

enum {
	/* Interval of the messages to single nodes while findings are new, and
	 * later. */
	RESEND_NEW_US = 1000 * 1000,
	RESEND_US = 10 * 1000 * 1000,
	NEW_US = 30 * 1000 * 1000,
	/* Limits the size of such a message. */
	RESEND_FINDINGS = 64,
	/* Number of nodes that a change is sent to at once, in the own data
	 * centre and in each other data centre. */
	FANOUT_LOCAL = 8,
	FANOUT_REMOTE = 3,
	/* Time for which one node makes the trials of a hash; then another node
	 * does, as the request may not come to the first one. */
	TRIAL_TURN_US = 10 * 1000 * 1000,
	/* Time for the result of a trial to be known everywhere. */
	TRIAL_RESULT_US = 60 * 1000 * 1000,
	RETRY_AFTER_MAX_MS = 10 * 60 * 1000,
};

COUNTER(crashes, "quarantine.crashes",
	"Times that the own upstream was found to have ended");
COUNTER(suspected, "quarantine.suspected",
	"Requests that ran when the own upstream crashed");
COUNTER(blocked, "quarantine.blocked",
	"Requests blocked because each upstream that ran them crashed");
COUNTER(released, "quarantine.released",
	"Suspected or blocked requests that completed");
COUNTER(trials, "quarantine.trials", "Blocked requests that were tried again");
COUNTER(findings_sent, "quarantine.findings_sent",
	"Frames of findings sent to other nodes");
COUNTER(malformed, "quarantine.malformed",
	"Frames of findings that break a rule");

static int64_t now(const struct quarantine_net *net)
{
	return loop_now_us(net->options.loop);
}

static const struct members *members_of(const struct quarantine_net *net)
{
	return &net->options.gossip->members;
}

static void add_to_frame(struct quarantine_net *net,
			 const struct quarantine_entry *entry)
{
	quarantine_findings_add(&net->encoder, &entry->finding,
				(now(net) - entry->changed_us) / US_PER_MS);
}

static uint32_t count_unsent(const struct quarantine_net *net)
{
	const struct quarantine_entry *entry;
	uint32_t count = 0;

	for (entry = net->table.entries; entry; entry = entry->hh.next)
		count += entry->is_unsent;
	return count;
}

/* Encodes at most @count unsent changes, which count as sent from then on. */
static void encode_unsent(struct quarantine_net *net, uint32_t count)
{
	struct quarantine_entry *entry = net->table.entries;

	quarantine_findings_begin(&net->encoder, count);
	for (; count; entry = entry->hh.next) {
		if (!entry->is_unsent)
			continue;
		add_to_frame(net, entry);
		entry->is_unsent = false;
		count--;
	}
}

static struct fanout fanout_of(struct quarantine_net *net)
{
	const struct fanout fanout = {
		.hub = net->options.hub,
		.members = members_of(net),
		.random = &net->random,
	};

	return fanout;
}

static struct fanout_frame end_frame(struct quarantine_net *net)
{
	struct fanout_frame frame;

	frame.data = encoder_end(&net->encoder, &frame.size);
	return frame;
}

static void send_changes(void *data)
{
	struct quarantine_net *net = data;
	const struct fanout_reach reach = { .local_max = FANOUT_LOCAL,
					    .remote_max = FANOUT_REMOTE,
					    .always_remote =
						    net->has_own_changes };
	const struct fanout fanout = fanout_of(net);
	struct fanout_frame frame;
	uint32_t count = count_unsent(net);

	if (!count)
		return;
	if (count > QUARANTINE_FRAME_FINDINGS) {
		count = QUARANTINE_FRAME_FINDINGS;
		loop_defer(net->options.loop, &net->send);
	} else {
		net->has_own_changes = false;
	}
	encode_unsent(net, count);
	frame = end_frame(net);
	counter_add(&findings_sent, fanout_to_all(&fanout, &reach, &frame));
}

static void start_timer(struct quarantine_net *net)
{
	int64_t interval_us =
		now(net) - net->changed_us < NEW_US ? RESEND_NEW_US : RESEND_US;
	int64_t due_us = now(net) + interval_us;

	if (!timer_is_set(&net->timer) || due_us < net->timer.at_us)
		timer_set(net->options.loop, &net->timer, due_us);
}

static void log_change(const struct quarantine_net *net,
		       const struct quarantine_entry *entry,
		       enum quarantine_state before)
{
	enum quarantine_state after = quarantine_entry_state(entry, now(net));
	char content[FINGERPRINT_TEXT_SIZE];

	if (before < QUARANTINE_TRIAL && after >= QUARANTINE_TRIAL) {
		counter_add(&blocked, 1);
		log_warn(component, "request_blocked",
			 LOG_TEXT("content",
				  fingerprint_text(entry->finding.hash,
						   content)),
			 LOG_NUMBER("crashes", entry->finding.crash_count));
	}
	if (before >= QUARANTINE_TRIAL && after == QUARANTINE_NONE)
		log_info(component, "request_released",
			 LOG_TEXT("content",
				  fingerprint_text(entry->finding.hash,
						   content)));
}

static enum quarantine_state state_before(const struct quarantine_net *net,
					  uint64_t hash)
{
	const struct quarantine_entry *entry =
		quarantine_table_find(&net->table, hash);

	return entry ? quarantine_entry_state(entry, now(net))
		     : QUARANTINE_NONE;
}

static void entry_changed(struct quarantine_net *net,
			  struct quarantine_entry *entry,
			  enum quarantine_state before)
{
	log_change(net, entry, before);
	net->changed_us = now(net);
	entry->is_unsent = true;
	loop_defer(net->options.loop, &net->send);
	start_timer(net);
	if (net->on_changed)
		net->on_changed(net->data);
}

/* Logged by the node beside the upstream alone, not by those that hear of it. */
static void log_suspect(const char *event, const struct quarantine_entry *entry)
{
	char content[FINGERPRINT_TEXT_SIZE];

	log_info(component, event,
		 LOG_TEXT("content",
			  fingerprint_text(entry->finding.hash, content)),
		 LOG_NUMBER("crashes", entry->finding.crash_count));
}

static void complete(struct quarantine_net *net, uint64_t hash)
{
	enum quarantine_state before = state_before(net, hash);
	struct quarantine_entry *entry =
		quarantine_table_complete(&net->table, hash, now(net));

	if (!entry)
		return;
	counter_add(&released, 1);
	if (before == QUARANTINE_SUSPECT)
		log_suspect("suspect_cleared", entry);
	net->has_own_changes = true;
	entry_changed(net, entry, before);
}

static void add_crash(struct quarantine_net *net, uint64_t hash,
		      uint64_t crash_id)
{
	enum quarantine_state before = state_before(net, hash);
	struct quarantine_entry *entry;

	if (completions_has(&net->completions, hash, now(net)))
		return;
	entry = quarantine_table_add_crash(&net->table, hash, crash_id,
					   now(net));
	if (!entry)
		return;
	log_suspect("request_suspected", entry);
	net->has_own_changes = true;
	entry_changed(net, entry, before);
}

void quarantine_net_receive(struct quarantine_net *net,
			    const struct quarantine_finding *finding,
			    int64_t age_ms)
{
	enum quarantine_state before = state_before(net, finding->hash);
	struct quarantine_entry *entry = quarantine_table_merge(
		&net->table, finding, age_ms * US_PER_MS, now(net));

	if (!entry)
		return;
	entry_changed(net, entry, before);
	if (completions_has(&net->completions, finding->hash, now(net)))
		complete(net, finding->hash);
}

/* Encodes @count findings from @entry on, at the end of the list from its
 * start; returns the entry after them. */
static const struct quarantine_entry *
encode_from(struct quarantine_net *net, const struct quarantine_entry *entry,
	    uint32_t count)
{
	quarantine_findings_begin(&net->encoder, count);
	for (; count; count--) {
		add_to_frame(net, entry);
		entry = entry->hh.next ? entry->hh.next : net->table.entries;
	}
	return entry;
}

static void encode_random(struct quarantine_net *net)
{
	const struct quarantine_entry *entry = net->table.entries;
	uint32_t count = HASH_COUNT(net->table.entries);
	uint32_t skip = random_below(&net->random, count);

	while (skip--)
		entry = entry->hh.next;
	encode_from(net, entry,
		    count < RESEND_FINDINGS ? count : RESEND_FINDINGS);
}

static void send_all(struct quarantine_net *net, struct wire_conn *conn)
{
	const struct quarantine_entry *entry = net->table.entries;
	uint32_t left = HASH_COUNT(net->table.entries);
	struct fanout_frame frame;

	while (left) {
		uint32_t count = left < QUARANTINE_FRAME_FINDINGS
					 ? left
					 : QUARANTINE_FRAME_FINDINGS;

		entry = encode_from(net, entry, count);
		frame = end_frame(net);
		counter_add(&findings_sent, 1);
		wire_conn_send(conn, frame.data, frame.size);
		left -= count;
	}
}

static void timer_expired(struct timer *timer, void *data)
{
	struct quarantine_net *net = data;
	const struct fanout fanout = fanout_of(net);
	struct fanout_frame frame;

	quarantine_table_expire(&net->table, now(net));
	if (!net->table.entries)
		return;
	encode_random(net);
	frame = end_frame(net);
	counter_add(&findings_sent, fanout_to_one(&fanout, &frame));
	start_timer(net);
}

static void on_frame(struct wire_conn *conn, const struct message *message,
		     void *data)
{
	struct quarantine_net *net = data;
	struct error err = ERROR_INIT;
	struct quarantine_finding finding;
	int64_t age_ms;
	uint32_t at;

	if (message->type != FRAME_QUARANTINE_FINDINGS) {
		counter_add(&malformed, 1);
		return;
	}
	for (at = 0;
	     quarantine_findings_decode(message, at, &finding, &age_ms, &err);
	     at++)
		if (net->options.enabled)
			quarantine_net_receive(net, &finding, age_ms);
	if (!error_is_set(&err))
		return;
	counter_add(&malformed, 1);
	log_warn(component, "frame_refused", LOG_TEXT("reason", err.text));
}

static void on_state(struct wire_conn *conn, void *data)
{
	struct quarantine_net *net = data;

	if (conn->state == WIRE_CONN_OPEN)
		send_all(net, conn);
}

void quarantine_net_init(struct quarantine_net *net,
			 const struct quarantine_options *options)
{
	memset(net, 0, sizeof(*net));
	net->options = *options;
	quarantine_table_init(&net->table);
	encoder_init(&net->encoder);
	random_init(&net->random, options->seed);
	timer_init(&net->timer, timer_expired, net);
	deferred_init(&net->send, send_changes, net);
	wire_hub_register(options->hub, FRAME_RANGE_QUARANTINE, on_frame,
			  on_state, net);
}

void quarantine_net_finish(struct quarantine_net *net)
{
	wire_hub_register(net->options.hub, FRAME_RANGE_QUARANTINE, NULL, NULL,
			  NULL);
	timer_cancel(net->options.loop, &net->timer);
	loop_defer_cancel(net->options.loop, &net->send);
	quarantine_table_finish(&net->table);
	encoder_finish(&net->encoder);
}

static uint64_t trial_rank(const struct member *member, uint64_t hash,
			   int64_t turn)
{
	const uint64_t parts[] = { member->id, hash, (uint64_t)turn };

	return XXH64(parts, sizeof(parts), 0);
}

/* Returns true if this node makes the trials of @entry now. Members that are
 * not reachable count as well, so that both sides of a partition agree.
 * @content: the same for both hashes of a request, so that one node makes the
 *	trials of both */
static bool is_own_trial(const struct quarantine_net *net,
			 const struct quarantine_entry *entry, uint64_t content)
{
	const struct members *members = members_of(net);
	int64_t turn = (now(net) - entry->changed_us) / TRIAL_TURN_US;
	uint64_t own = trial_rank(members->self, content, turn);
	const struct data_centre *centre;
	uint32_t i;

	for (centre = members->data_centres; centre; centre = centre->next)
		for (i = 0; i < centre->count; i++)
			if (trial_rank(centre->members[i], content, turn) > own)
				return false;
	return true;
}

static struct quarantine_decision block(const struct quarantine_entry *entry,
					int64_t now_us)
{
	int64_t wait_ms =
		(quarantine_entry_trial_us(entry) - now_us) / US_PER_MS;
	struct quarantine_decision decision = {
		.blocked = true,
		.retry_after_ms = RETRY_AFTER_MAX_MS,
	};

	/* The turn for the trial may be another node's. */
	if (wait_ms < TRIAL_TURN_US / US_PER_MS)
		wait_ms = TRIAL_TURN_US / US_PER_MS;
	if (wait_ms < RETRY_AFTER_MAX_MS)
		decision.retry_after_ms = (uint32_t)wait_ms;
	return decision;
}

/* Decides for one hash of a request with the hash @content; @takes_trial is NULL
 * beside the upstream, where the node of the caller has decided on a trial. */
static struct quarantine_decision decide(const struct quarantine_net *net,
					 uint64_t hash, uint64_t content,
					 struct quarantine_entry **takes_trial)
{
	const struct quarantine_decision pass = { .blocked = false };
	struct quarantine_entry *entry =
		quarantine_table_find(&net->table, hash);

	if (!entry)
		return pass;
	switch (quarantine_entry_state(entry, now(net))) {
	case QUARANTINE_NONE:
	case QUARANTINE_SUSPECT:
		return pass;
	case QUARANTINE_TRIAL:
		if (!takes_trial)
			return pass;
		if (now(net) < entry->trial_until_us ||
		    !is_own_trial(net, entry, content))
			break;
		*takes_trial = entry;
		return pass;
	case QUARANTINE_BLOCKED:
		break;
	}
	return block(entry, now(net));
}

static void begin_trial(struct quarantine_net *net,
			struct quarantine_entry *entry)
{
	char content[FINGERPRINT_TEXT_SIZE];

	entry->trial_until_us = now(net) + TRIAL_RESULT_US;
	counter_add(&trials, 1);
	log_info(component, "trial",
		 LOG_TEXT("content",
			  fingerprint_text(entry->finding.hash, content)),
		 LOG_NUMBER("crashes", entry->finding.crash_count));
}

struct quarantine_decision
quarantine_net_decide_caller(struct quarantine_net *net,
			     const struct fingerprint *fingerprint)
{
	uint64_t content = fingerprint->content;
	struct quarantine_entry *trial = NULL;
	struct quarantine_entry *trial_by_caller = NULL;
	struct quarantine_decision decision =
		decide(net, content, content, &trial);

	if (!decision.blocked)
		decision = decide(net, fingerprint->by_caller, content,
				  &trial_by_caller);
	if (decision.blocked)
		return decision;
	if (trial)
		begin_trial(net, trial);
	if (trial_by_caller)
		begin_trial(net, trial_by_caller);
	return decision;
}

struct quarantine_decision
quarantine_net_decide_upstream(const struct quarantine_net *net,
			       const struct fingerprint *fingerprint)
{
	uint64_t content = fingerprint->content;
	struct quarantine_decision decision =
		decide(net, content, content, NULL);

	return decision.blocked
		       ? decision
		       : decide(net, fingerprint->by_caller, content, NULL);
}

bool quarantine_net_may_resend(const struct quarantine_net *net,
			       const struct fingerprint *fingerprint)
{
	return quarantine_table_state(&net->table, fingerprint, now(net)) ==
	       QUARANTINE_NONE;
}

uint64_t quarantine_net_crash_id(struct quarantine_net *net)
{
	const uint64_t parts[] = { net->options.hub->self.incarnation,
				   ++net->crash_count };
	uint64_t id = XXH64(parts, sizeof(parts), 0);

	counter_add(&crashes, 1);
	return id ? id : 1;
}

void quarantine_net_crashed(struct quarantine_net *net,
			    const struct fingerprint *fingerprint,
			    uint64_t crash_id)
{
	if (!net->options.enabled)
		return;
	counter_add(&suspected, 1);
	add_crash(net, fingerprint->content, crash_id);
	add_crash(net, fingerprint->by_caller, crash_id);
}

void quarantine_net_completed(struct quarantine_net *net,
			      const struct fingerprint *fingerprint)
{
	if (!net->options.enabled)
		return;
	completions_add(&net->completions, fingerprint->content, now(net));
	completions_add(&net->completions, fingerprint->by_caller, now(net));
	complete(net, fingerprint->content);
	complete(net, fingerprint->by_caller);
}

uint32_t quarantine_net_blocked_count(const struct quarantine_net *net)
{
	return quarantine_table_blocked_count(&net->table, now(net));
}

json_t *quarantine_net_dump(const struct quarantine_net *net)
{
	return quarantine_table_dump(&net->table, now(net));
}
