#include "spread/spread.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/compress.h"
#include "membership/packet.h"
#include "os/clock.h"
#include "spread/spread_defs.h"

enum {
	DEFAULT_PULL_TIMEOUT_MS = 500,
	DEFAULT_REFUSED_HOLD_MS = 30 * 1000,
	SOURCE_RETRY_MS = 1000,
	REFUSING_SOURCES = 3,
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
	if (spread->options.serves_max > SPREAD_TRANSFERS_MAX)
		spread->options.serves_max = SPREAD_TRANSFERS_MAX;
	spread->keeper = keeper;
	spread->now_us = now_us;
	spread->serve_refilled_us = now_us;
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
			const struct address *to, bool new_connection)
{
	struct spread_action *action = spread_action(spread, SPREAD_FRAME);
	const void *frame;
	size_t size;

	frame = encoder_end(&spread->encoder, &size);
	action->conn = conn;
	action->to = *to;
	action->new_connection = new_connection;
	action->offset = (uint32_t)buffer_size(&spread->bytes);
	action->size = (uint32_t)size;
	buffer_append(&spread->bytes, frame, size);
}

uint64_t spread_version(const struct spread *spread)
{
	const struct config *config = keeper_config(spread->keeper);

	return config ? config->version : 0;
}

static void request_head(struct spread *spread, bool new_connection)
{
	struct spread_pull *pull = &spread->pull;

	encoder_begin(&spread->encoder, FRAME_SPREAD_GET, 1);
	encode_uint(&spread->encoder,
		    pull->full_head ? 0 : spread_version(spread));
	spread_queue_frame(spread, 0, &pull->from, new_connection);
	pull->deadline_us = spread->now_us + spread->options.pull_timeout_us;
}

static void start_pull(struct spread *spread)
{
	struct spread_pull *pull = &spread->pull;
	struct spread_source *source;

	if (pull->active)
		return;
	source = source_choose(spread);
	if (!source)
		return;
	spread->counts.pulls++;
	pull->active = true;
	pull->full_head = false;
	pull->from = source->address;
	pull->version = source->version;
	pull->begun_us = spread->now_us;
	request_head(spread, source->unresponsive);
	source->unresponsive = false;
}

void spread_peer_applied(struct spread *spread, uint64_t version,
			 const struct address *from, int64_t now_us)
{
	spread->now_us = now_us;
	if (version <= spread_version(spread))
		return;
	/* The version was refused from several sources, so the version itself
	 * is invalid. Without this check every ping starts another pull. */
	if (version == spread->refused_version &&
	    spread->refused_times >= REFUSING_SOURCES &&
	    now_us < spread->refused_until_us)
		return;
	source_add(spread, from, version);
	start_pull(spread);
}

static void fail_pull(struct spread *spread, int64_t wait_us)
{
	struct spread_source *source = source_find(spread, &spread->pull.from);

	if (source)
		source->not_before_us = spread->now_us + wait_us;
	spread->pull.active = false;
	spread->counts.pulls_failed++;
	start_pull(spread);
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
	fail_pull(spread, spread->options.refused_hold_us);
}

static void request_bodies(struct spread *spread)
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

static void extend_deadline(struct spread *spread)
{
	spread->pull.deadline_us =
		spread->now_us + spread->options.pull_timeout_us;
}

/* Ends the pull if the requested version is in force, and starts the next. */
static void end_pull_if_done(struct spread *spread)
{
	if (spread->pull.active &&
	    spread_version(spread) < spread->pull.version)
		return;
	spread->pull.active = false;
	start_pull(spread);
}

static bool is_pull_source(const struct spread *spread,
			   const struct identity *peer)
{
	return spread->pull.active &&
	       address_equal(&spread->pull.from, &peer->address);
}

static void handle_refused_head(struct spread *spread,
				const struct identity *peer, uint64_t version,
				const struct error *err)
{
	if (!is_pull_source(spread, peer))
		return;
	/* Changes may start from another history than the version in force
	 * here, for instance after the platform was reset to an older version
	 * and then advanced. Only a full head shows if the version is
	 * invalid. */
	if (!spread->pull.full_head) {
		spread->pull.full_head = true;
		request_head(spread, false);
		return;
	}
	refused(spread, version, err);
}

static bool handle_head(struct spread *spread, const struct identity *peer,
			const struct message *message, struct error *err)
{
	struct error refusal = ERROR_INIT;
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
	spread->offering_from_peer = true;
	offer = keeper_offer_head(spread->keeper, head, size, &refusal);
	spread->offering_from_peer = false;
	extend_deadline(spread);
	switch (offer) {
	case KEEPER_REFUSED:
		handle_refused_head(spread, peer, version, &refusal);
		return true;
	case KEEPER_INCOMPLETE:
		/* Bodies that follow the head need no request. */
		if (!more)
			request_bodies(spread);
		return true;
	case KEEPER_IGNORED:
		/* The version is pending already, for instance from the
		 * platform: request the bodies that are still missing. */
		if (!more && keeper_pending_version(spread->keeper))
			request_bodies(spread);
		end_pull_if_done(spread);
		return true;
	case KEEPER_IN_FORCE:
		end_pull_if_done(spread);
		return true;
	}
	return true;
}

static bool handle_body(struct spread *spread, const struct identity *peer,
			const struct message *message, struct error *err)
{
	uint64_t pending = keeper_pending_version(spread->keeper);
	struct error refusal = ERROR_INIT;
	enum keeper_offer_result offer;
	const uint8_t *compressed;
	uint8_t hash[CONTENT_HASH_BYTES];
	uint8_t *body;
	uint64_t more;
	uint64_t size;
	size_t compressed_size;

	if (!decode_count(message, 3, "body", err) ||
	    !decode_bytes(&message->fields[0], &compressed, &compressed_size,
			  "body", err) ||
	    !decode_uint(&message->fields[1], UINT32_MAX, &more, "more", err) ||
	    !decode_uint(&message->fields[2], PROFILE_TEXT_MAX, &size, "size",
			 err))
		return false;
	body = decompress_bytes(compressed, compressed_size, size, err);
	if (!body)
		return false;
	spread->counts.bodies_received++;
	spread->offering_from_peer = true;
	offer = keeper_offer_body(spread->keeper, body, size, &refusal);
	spread->offering_from_peer = false;
	/* This node will send the body on to others. */
	content_hash(body, size, hash);
	keeper_set_compressed(spread->keeper, hash, compressed,
			      compressed_size);
	free(body);
	extend_deadline(spread);
	switch (offer) {
	case KEEPER_REFUSED:
		if (is_pull_source(spread, peer))
			refused(spread, pending, &refusal);
		return true;
	case KEEPER_IGNORED:
		spread->counts.bodies_unwanted++;
		/* fall through */
	case KEEPER_INCOMPLETE:
		if (!more && is_pull_source(spread, peer))
			request_bodies(spread);
		return true;
	case KEEPER_IN_FORCE:
		end_pull_if_done(spread);
		return true;
	}
	return true;
}

static bool handle_not_held(struct spread *spread, const struct identity *peer,
			    const struct message *message, struct error *err)
{
	struct spread_source *source;
	uint64_t version;

	if (!decode_count(message, 1, "not held", err) ||
	    !decode_uint(&message->fields[0], UINT64_MAX, &version, "version",
			 err))
		return false;
	if (!is_pull_source(spread, peer))
		return true;
	source = source_find(spread, &peer->address);
	if (source && version < source->version)
		source->version = version;
	fail_pull(spread, 0);
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
	if (!is_pull_source(spread, peer))
		return true;
	spread->counts.busy_received++;
	for (i = 0; i + 1 < count; i += 2) {
		if (!packet_address_decode(&others[i], &other, err))
			return false;
		source_add(spread, &other, version);
	}
	fail_pull(spread, (int64_t)after_ms * US_PER_MS);
	return true;
}

void spread_frame(struct spread *spread, uint64_t conn_id,
		  const struct identity *peer, const struct message *message,
		  int64_t now_us)
{
	struct error err = ERROR_INIT;

	spread->now_us = now_us;
	switch ((enum frame_spread)message->type) {
	case FRAME_SPREAD_GET:
		serve_get(spread, conn_id, peer, message, &err);
		break;
	case FRAME_SPREAD_HEAD:
		handle_head(spread, peer, message, &err);
		break;
	case FRAME_SPREAD_BODY:
		handle_body(spread, peer, message, &err);
		break;
	case FRAME_SPREAD_GET_BODIES:
		serve_bodies(spread, conn_id, peer, message, &err);
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

void spread_applied(struct spread *spread, const struct config *config)
{
	struct spread_action *action = spread_action(spread, SPREAD_APPLIED);
	uint32_t i;

	action->head.version = config->version;
	for (i = 0; i < sizeof(action->head.chain); i++)
		action->head.chain = action->head.chain << 8 | config->chain[i];
	action->origin = !spread->offering_from_peer;
	if (spread->options.plain && action->origin)
		spread_action(spread, SPREAD_PUSH_ALL);
}

void spread_disconnected(struct spread *spread, const struct address *to,
			 int64_t now_us)
{
	spread->now_us = now_us;
	if (spread->pull.active && address_equal(&spread->pull.from, to))
		fail_pull(spread, SOURCE_RETRY_MS * US_PER_MS);
}

void spread_tick(struct spread *spread, int64_t now_us)
{
	struct spread_pull *pull = &spread->pull;

	spread->now_us = now_us;
	if (pull->active && spread_version(spread) >= pull->version)
		end_pull_if_done(spread);
	if (pull->active && now_us >= pull->deadline_us) {
		struct spread_source *source = source_find(spread, &pull->from);

		if (source)
			source->unresponsive = true;
		fail_pull(spread, SOURCE_RETRY_MS * US_PER_MS);
	}
	start_pull(spread);
}

int64_t spread_next_us(const struct spread *spread)
{
	int64_t next_us = INT64_MAX;
	uint32_t i;

	if (spread->pull.active)
		return spread->pull.deadline_us;
	for (i = 0; i < SPREAD_SOURCES_MAX; i++)
		if (spread->sources[i].version > spread_version(spread) &&
		    spread->sources[i].not_before_us < next_us)
			next_us = spread->sources[i].not_before_us;
	return next_us;
}
