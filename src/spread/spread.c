#include "spread/spread.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/pack.h"
#include "membership/packet.h"
#include "os/clock.h"
#include "spread/spread_defs.h"

enum {
	DEFAULT_PULL_TIMEOUT_MS = 500,
	DEFAULT_REFUSED_HOLD_MS = 30 * 1000,
	RETRY_MS = 1000,
	REFUSED_TELLERS = 3,
	FIRST_ACTIONS = 16,
};

void spread_options_init(struct spread_options *options)
{
	*options = (struct spread_options){
		.pull_timeout_us = DEFAULT_PULL_TIMEOUT_MS * US_PER_MS,
		.refused_hold_us = DEFAULT_REFUSED_HOLD_MS * US_PER_MS,
		.serves_max = 16,
		.serve_bytes_per_s = 8 * 1024 * 1024,
		.push_bytes = 256 * 1024,
	};
}

void spread_init(struct spread *spread, const struct spread_options *options,
		 struct keeper *keeper, int64_t now_us)
{
	memset(spread, 0, sizeof(*spread));
	spread->options = *options;
	if (spread->options.serves_max > SPREAD_SERVES_MAX)
		spread->options.serves_max = SPREAD_SERVES_MAX;
	spread->keeper = keeper;
	spread->now_us = now_us;
	spread->serve_us = now_us;
	spread->serve_tokens = options->serve_bytes_per_s;
	random_init(&spread->random, options->seed);
	encoder_init(&spread->encoder);
}

void spread_finish(struct spread *spread)
{
	encoder_finish(&spread->encoder);
	buffer_finish(&spread->bytes);
	free(spread->actions);
}

struct spread_action *spread_action(struct spread *spread,
				    enum spread_action_type type)
{
	struct spread_action *action;

	if (spread->action_first == spread->action_count) {
		spread->action_first = 0;
		spread->action_count = 0;
		buffer_consume(&spread->bytes, buffer_size(&spread->bytes));
	}
	if (spread->action_count == spread->action_capacity) {
		uint32_t capacity = spread->action_capacity
					    ? spread->action_capacity * 2
					    : FIRST_ACTIONS;

		spread->actions =
			realloc(spread->actions, capacity * sizeof(*action));
		if (!spread->actions)
			abort();
		spread->action_capacity = capacity;
	}
	action = &spread->actions[spread->action_count++];
	memset(action, 0, sizeof(*action));
	action->type = type;
	return action;
}

bool spread_next_action(struct spread *spread, struct spread_action *action)
{
	if (spread->action_first == spread->action_count)
		return false;
	*action = spread->actions[spread->action_first++];
	if (action->type == SPREAD_FRAME)
		action->bytes = buffer_data(&spread->bytes) + action->offset;
	return true;
}

void spread_queue_frame(struct spread *spread, uint64_t conn,
			const struct address *to, bool fresh)
{
	struct spread_action *action = spread_action(spread, SPREAD_FRAME);
	const void *frame;
	size_t size;

	frame = encoder_end(&spread->encoder, &size);
	action->conn = conn;
	action->to = *to;
	action->fresh = fresh;
	action->offset = (uint32_t)buffer_size(&spread->bytes);
	action->size = (uint32_t)size;
	buffer_append(&spread->bytes, frame, size);
}

uint64_t spread_version(const struct spread *spread)
{
	const struct config *config = keeper_config(spread->keeper);

	return config ? config->version : 0;
}

static void ask_head(struct spread *spread, bool fresh)
{
	struct spread_pull *pull = &spread->pull;

	encoder_begin(&spread->encoder, FRAME_SPREAD_GET, 1);
	encode_uint(&spread->encoder, pull->whole ? 0 : spread_version(spread));
	spread_queue_frame(spread, 0, &pull->from, fresh);
	pull->deadline_us = spread->now_us + spread->options.pull_timeout_us;
}

static void pull_next(struct spread *spread)
{
	struct spread_pull *pull = &spread->pull;
	struct spread_teller *teller;

	if (pull->active)
		return;
	teller = teller_choose(spread);
	if (!teller)
		return;
	spread->counts.pulls++;
	pull->active = true;
	pull->whole = false;
	pull->from = teller->address;
	pull->version = teller->version;
	pull->begun_us = spread->now_us;
	ask_head(spread, teller->silent);
	teller->silent = false;
}

void spread_heard(struct spread *spread, uint64_t version,
		  const struct address *from, int64_t now_us)
{
	spread->now_us = now_us;
	if (version <= spread_version(spread))
		return;
	/* Several nodes gave it and it was refused each time: it is the
	 * version that is bad. Every ping would start another pull. */
	if (version == spread->refused_version &&
	    spread->refused_times >= REFUSED_TELLERS &&
	    now_us < spread->refused_until_us)
		return;
	teller_add(spread, from, version);
	pull_next(spread);
}

static void put_off(struct spread *spread, int64_t wait_us)
{
	struct spread_teller *teller = teller_find(spread, &spread->pull.from);

	if (teller)
		teller->not_before_us = spread->now_us + wait_us;
	spread->pull.active = false;
	spread->counts.pulls_failed++;
	pull_next(spread);
}

static void refused(struct spread *spread, uint64_t version,
		    const struct error *err)
{
	struct spread_action *action = spread_action(spread, SPREAD_REFUSED);

	if (version != spread->refused_version)
		spread->refused_times = 0;
	spread->refused_version = version;
	spread->refused_times++;
	spread->refused_until_us =
		spread->now_us + spread->options.refused_hold_us;
	spread->counts.refused++;
	action->head.version = version;
	snprintf(action->reason, SPREAD_REASON_SIZE, "%.*s",
		 SPREAD_REASON_SIZE - 1, err->text);
	put_off(spread, spread->options.refused_hold_us);
}

static void ask_bodies(struct spread *spread)
{
	uint8_t hashes[SPREAD_HASHES_MAX][CONTENT_HASH_BYTES];
	struct encoder *encoder = &spread->encoder;
	uint32_t count =
		keeper_missing(spread->keeper, hashes, SPREAD_HASHES_MAX);
	uint32_t i;

	if (count > SPREAD_HASHES_MAX)
		count = SPREAD_HASHES_MAX;
	if (!count || !spread->pull.active)
		return;
	encoder_begin(encoder, FRAME_SPREAD_GET_BODIES, 1);
	encode_array(encoder, count);
	for (i = 0; i < count; i++)
		encode_bytes(encoder, hashes[i], CONTENT_HASH_BYTES);
	spread_queue_frame(spread, 0, &spread->pull.from, false);
}

static void progress(struct spread *spread)
{
	spread->pull.deadline_us =
		spread->now_us + spread->options.pull_timeout_us;
}

/* Ends the pull when what it was for is in force. */
static void check_end(struct spread *spread)
{
	if (spread->pull.active &&
	    spread_version(spread) < spread->pull.version)
		return;
	spread->pull.active = false;
	pull_next(spread);
}

static bool is_from(const struct spread *spread, const struct identity *peer)
{
	return spread->pull.active &&
	       address_equal(&spread->pull.from, &peer->address);
}

static void head_refused(struct spread *spread, const struct identity *peer,
			 uint64_t version, const struct error *err)
{
	if (!is_from(spread, peer))
		return;
	/* Changes may not fit what is in force here, for instance after the
	 * platform went back and on: ask for the whole before judging. */
	if (!spread->pull.whole) {
		spread->pull.whole = true;
		ask_head(spread, false);
		return;
	}
	refused(spread, version, err);
}

static bool handle_head(struct spread *spread, const struct identity *peer,
			const struct message *message, struct error *err)
{
	struct error why = ERROR_INIT;
	enum keeper_offer_result offer;
	const uint8_t *head;
	uint64_t version;
	uint64_t more;
	size_t size;

	if (!decode_count(message, 3, "head", err) ||
	    !decode_uint(&message->fields[0], UINT64_MAX, &version, "version",
			 err) ||
	    !decode_bytes(&message->fields[1], &head, &size, "head", err) ||
	    !decode_uint(&message->fields[2], UINT32_MAX, &more, "bodies", err))
		return false;
	spread->offering = true;
	offer = keeper_offer_head(spread->keeper, head, size, &why);
	spread->offering = false;
	progress(spread);
	switch (offer) {
	case KEEPER_REFUSED:
		head_refused(spread, peer, version, &why);
		return true;
	case KEEPER_INCOMPLETE:
		/* What comes along unasked need not be asked for. */
		if (!more)
			ask_bodies(spread);
		return true;
	case KEEPER_IGNORED:
		/* In the making by another way: help it along. */
		if (!more && keeper_pending_version(spread->keeper))
			ask_bodies(spread);
		check_end(spread);
		return true;
	case KEEPER_IN_FORCE:
		check_end(spread);
		return true;
	}
	return true;
}

static bool handle_body(struct spread *spread, const struct identity *peer,
			const struct message *message, struct error *err)
{
	uint64_t pending = keeper_pending_version(spread->keeper);
	struct error why = ERROR_INIT;
	enum keeper_offer_result offer;
	const uint8_t *packed;
	uint8_t *body;
	uint64_t more;
	uint64_t size;
	size_t packed_size;

	if (!decode_count(message, 3, "body", err) ||
	    !decode_bytes(&message->fields[0], &packed, &packed_size, "body",
			  err) ||
	    !decode_uint(&message->fields[1], UINT32_MAX, &more, "more", err) ||
	    !decode_uint(&message->fields[2], PROFILE_TEXT_MAX, &size, "size",
			 err))
		return false;
	body = pack_restore(packed, packed_size, size, err);
	if (!body)
		return false;
	spread->counts.bodies_received++;
	spread->offering = true;
	offer = keeper_offer_body(spread->keeper, body, size, &why);
	spread->offering = false;
	free(body);
	progress(spread);
	switch (offer) {
	case KEEPER_REFUSED:
		if (is_from(spread, peer))
			refused(spread, pending, &why);
		return true;
	case KEEPER_IGNORED:
		spread->counts.bodies_unwanted++;
		/* fall through */
	case KEEPER_INCOMPLETE:
		if (!more && is_from(spread, peer))
			ask_bodies(spread);
		return true;
	case KEEPER_IN_FORCE:
		check_end(spread);
		return true;
	}
	return true;
}

static bool handle_not_held(struct spread *spread, const struct identity *peer,
			    const struct message *message, struct error *err)
{
	struct spread_teller *teller;
	uint64_t version;

	if (!decode_count(message, 1, "not held", err) ||
	    !decode_uint(&message->fields[0], UINT64_MAX, &version, "version",
			 err))
		return false;
	if (!is_from(spread, peer))
		return true;
	teller = teller_find(spread, &peer->address);
	if (teller && version < teller->version)
		teller->version = version;
	put_off(spread, 0);
	return true;
}

static bool handle_busy(struct spread *spread, const struct identity *peer,
			const struct message *message, struct error *err)
{
	const msgpack_object *others;
	struct address other;
	uint64_t after_ms;
	uint64_t version;
	uint32_t count;
	uint32_t i;

	if (!decode_count(message, 3, "busy", err) ||
	    !decode_uint(&message->fields[0], SPREAD_BUSY_MAX_MS, &after_ms,
			 "after", err) ||
	    !decode_uint(&message->fields[1], UINT64_MAX, &version, "version",
			 err) ||
	    !decode_array(&message->fields[2], &others, &count, "others", err))
		return false;
	if (!is_from(spread, peer))
		return true;
	spread->counts.busy_received++;
	for (i = 0; i + 1 < count; i += 2) {
		if (!packet_address_decode(&others[i], &other, err))
			return false;
		teller_add(spread, &other, version);
	}
	put_off(spread, (int64_t)after_ms * US_PER_MS);
	return true;
}

void spread_frame(struct spread *spread, uint64_t conn,
		  const struct identity *peer, const struct message *message,
		  int64_t now_us)
{
	struct error err = ERROR_INIT;

	spread->now_us = now_us;
	switch ((enum frame_spread)message->type) {
	case FRAME_SPREAD_GET:
		serve_get(spread, conn, peer, message, &err);
		break;
	case FRAME_SPREAD_HEAD:
		handle_head(spread, peer, message, &err);
		break;
	case FRAME_SPREAD_BODY:
		handle_body(spread, peer, message, &err);
		break;
	case FRAME_SPREAD_GET_BODIES:
		serve_bodies(spread, conn, peer, message, &err);
		break;
	case FRAME_SPREAD_NOT_HELD:
		handle_not_held(spread, peer, message, &err);
		break;
	case FRAME_SPREAD_BUSY:
		handle_busy(spread, peer, message, &err);
		break;
	default:
		error_set(&err, ERROR_PROTOCOL, "no frame of type %u",
			  message->type);
	}
	spread->counts.malformed += error_is_set(&err);
}

void spread_changed(struct spread *spread, const struct config *config)
{
	struct spread_action *action = spread_action(spread, SPREAD_APPLIED);
	uint32_t i;

	action->head.version = config->version;
	for (i = 0; i < sizeof(action->head.chain); i++)
		action->head.chain = action->head.chain << 8 | config->chain[i];
	action->origin = !spread->offering;
	if (spread->options.plain && action->origin)
		spread_action(spread, SPREAD_PUSH_ALL);
}

void spread_lost(struct spread *spread, const struct address *to,
		 int64_t now_us)
{
	spread->now_us = now_us;
	if (spread->pull.active && address_equal(&spread->pull.from, to))
		put_off(spread, RETRY_MS * US_PER_MS);
}

void spread_tick(struct spread *spread, int64_t now_us)
{
	struct spread_pull *pull = &spread->pull;

	spread->now_us = now_us;
	if (pull->active && spread_version(spread) >= pull->version)
		check_end(spread);
	if (pull->active && now_us >= pull->deadline_us) {
		struct spread_teller *teller = teller_find(spread, &pull->from);

		if (teller)
			teller->silent = true;
		put_off(spread, RETRY_MS * US_PER_MS);
	}
	pull_next(spread);
}

int64_t spread_next_us(const struct spread *spread)
{
	int64_t next_us = INT64_MAX;
	uint32_t i;

	if (spread->pull.active)
		return spread->pull.deadline_us;
	for (i = 0; i < SPREAD_TELLERS_MAX; i++)
		if (spread->tellers[i].version > spread_version(spread) &&
		    spread->tellers[i].not_before_us < next_us)
			next_us = spread->tellers[i].not_before_us;
	return next_us;
}
