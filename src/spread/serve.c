#include <stdlib.h>
#include <string.h>

#include "membership/packet.h"
#include "os/clock.h"
#include "spread/spread_defs.h"

/*
 * Giving a version to others, bounded in transfers at once and in bytes a
 * second. Past the bound the answer is not silence but "busy": when to come
 * back, and who was given the version last and can serve it too. So a herd
 * that asks one node spreads over a tree of those who have it.
 */

enum {
	SERVE_KEEP_MS = 200, /* a transfer counts for so long */
	BUSY_JITTER_MS = 50,
	/* Who has been given a version that is not yet in force here, the
	 * larger part of the 0.1 to 0.3 s that this takes. */
	PENDING_MS = 100,
	BODY_FRAME_BYTES = 16, /* about what a frame adds to a body */
};

static void refill(struct spread *spread)
{
	double rate = spread->options.serve_bytes_per_s;

	spread->serve_tokens +=
		rate * (double)(spread->now_us - spread->serve_us) / US_PER_S;
	if (spread->serve_tokens > rate)
		spread->serve_tokens = rate;
	spread->serve_us = spread->now_us;
}

/* The place of @conn among the transfers, a free one, or NULL. */
static struct spread_serve *find_serve(struct spread *spread, uint64_t conn)
{
	struct spread_serve *found = NULL;
	uint32_t i;

	for (i = 0; i < spread->options.serves_max; i++) {
		struct spread_serve *serve = &spread->serves[i];

		if (serve->conn == conn)
			return serve;
		if (serve->until_us <= spread->now_us)
			found = serve;
	}
	return found;
}

static bool admit(struct spread *spread, uint64_t conn)
{
	struct spread_serve *serve = find_serve(spread, conn);

	refill(spread);
	if (!serve || spread->serve_tokens <= 0)
		return false;
	serve->conn = conn;
	serve->until_us = spread->now_us + SERVE_KEEP_MS * US_PER_MS;
	return true;
}

static void answer_busy(struct spread *spread, uint64_t conn,
			const struct identity *peer, double wait_ms)
{
	struct encoder *encoder = &spread->encoder;
	uint32_t count = 0;
	uint32_t i;

	if (spread->serve_tokens < 0)
		wait_ms += -spread->serve_tokens * MS_PER_S /
			   spread->options.serve_bytes_per_s;
	if (wait_ms > SPREAD_BUSY_MAX_MS - BUSY_JITTER_MS)
		wait_ms = SPREAD_BUSY_MAX_MS - BUSY_JITTER_MS;
	spread->counts.busy_sent++;
	for (i = 0; i < SPREAD_SERVED_MAX; i++)
		count += spread->served[i].family != 0;
	encoder_begin(encoder, FRAME_SPREAD_BUSY, 3);
	encode_uint(encoder, (uint64_t)wait_ms + random_below(&spread->random,
							      BUSY_JITTER_MS));
	encode_uint(encoder, spread_version(spread));
	encode_array(encoder, 2 * count);
	for (i = 0; i < SPREAD_SERVED_MAX; i++)
		if (spread->served[i].family)
			packet_encode_address(encoder, &spread->served[i]);
	spread_queue_frame(spread, conn, &peer->address, false);
}

static void send_not_held(struct spread *spread, uint64_t conn,
			  const struct identity *peer)
{
	encoder_begin(&spread->encoder, FRAME_SPREAD_NOT_HELD, 1);
	encode_uint(&spread->encoder, spread_version(spread));
	spread_queue_frame(spread, conn, &peer->address, false);
}

static void send_head(struct spread *spread, uint64_t conn,
		      const struct address *to, const uint8_t *head,
		      size_t size, uint32_t bodies)
{
	struct encoder *encoder = &spread->encoder;

	encoder_begin(encoder, FRAME_SPREAD_HEAD, 3);
	encode_uint(encoder, spread_version(spread));
	encode_bytes(encoder, head, size);
	encode_uint(encoder, bodies);
	spread_queue_frame(spread, conn, to, false);
	spread->serve_tokens -= (double)size;
	spread->counts.heads_sent++;
}

/* Return: false if the body is not held any more. */
static bool send_body(struct spread *spread, uint64_t conn,
		      const struct address *to,
		      const uint8_t hash[CONTENT_HASH_BYTES], uint32_t more)
{
	size_t packed_size;
	size_t size;
	const uint8_t *packed =
		keeper_packed(spread->keeper, hash, &packed_size, &size);

	if (!packed)
		return false;
	encoder_begin(&spread->encoder, FRAME_SPREAD_BODY, 3);
	encode_bytes(&spread->encoder, packed, packed_size);
	encode_uint(&spread->encoder, more);
	encode_uint(&spread->encoder, size);
	spread_queue_frame(spread, conn, to, false);
	spread->serve_tokens -= (double)packed_size + BODY_FRAME_BYTES;
	spread->counts.bodies_sent++;
	return true;
}

/*
 * Whether a node at @since has the text. A head that was made of a document
 * without history says of every profile that it has changed; sent along each
 * time, the unchanged ones would fill thin links. What this node has had all
 * along was the same in the version in between.
 */
static bool is_had(const struct config_profile *entry, uint64_t since)
{
	return entry->set_in <= since || entry->unchanged_since <= since;
}

/* Whether an earlier profile of the list has the same text. */
static bool repeats(const struct config *config, uint32_t at, uint64_t since)
{
	uint32_t i;

	for (i = 0; i < at; i++)
		if (!is_had(&config->profiles[i], since) &&
		    !memcmp(config->profiles[i].hash, config->profiles[at].hash,
			    CONTENT_HASH_BYTES))
			return true;
	return false;
}

/* The bodies that a node at @since cannot have, as far as @most_bytes go. */
static uint32_t choose_bodies(const struct spread *spread, uint64_t since,
			      uint32_t most_bytes, uint32_t *chosen,
			      uint32_t most)
{
	const struct config *config = keeper_config(spread->keeper);
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < config->profile_count && count < most; i++) {
		const struct config_profile *entry = &config->profiles[i];
		size_t size;

		if (is_had(entry, since) || repeats(config, i, since))
			continue;
		if (!keeper_body(spread->keeper, entry->hash, &size) ||
		    size > most_bytes)
			break;
		most_bytes -= (uint32_t)size;
		chosen[count++] = i;
	}
	return count;
}

static void send_bodies(struct spread *spread, uint64_t conn,
			const struct address *to, const uint32_t *chosen,
			uint32_t count)
{
	const struct config *config = keeper_config(spread->keeper);
	uint32_t i;

	for (i = 0; i < count; i++) {
		const struct config_profile *entry =
			&config->profiles[chosen[i]];

		send_body(spread, conn, to, entry->hash, count - 1 - i);
	}
}

static void note_served(struct spread *spread, const struct address *peer)
{
	spread->served[spread->served_at++ % SPREAD_SERVED_MAX] = *peer;
}

/* Head and bodies in one go: what changed since the asker's version is known
 * from the head, so that asking for it would only cost a round trip. */
static void give(struct spread *spread, uint64_t conn, const struct address *to,
		 uint64_t since, uint32_t most_bytes)
{
	uint32_t chosen[SPREAD_HASHES_MAX];
	uint8_t *head;
	uint32_t count;
	size_t size;

	head = keeper_head_since(spread->keeper, since, &size);
	if (!head)
		return;
	count = choose_bodies(spread, since, most_bytes, chosen,
			      SPREAD_HASHES_MAX);
	send_head(spread, conn, to, head, size, count);
	send_bodies(spread, conn, to, chosen, count);
	free(head);
}

bool serve_get(struct spread *spread, uint64_t conn,
	       const struct identity *peer, const struct message *message,
	       struct error *err)
{
	uint64_t since;

	if (!decode_count(message, 1, "get", err) ||
	    !decode_uint(&message->fields[0], UINT64_MAX, &since, "version",
			 err))
		return false;
	if (spread_version(spread) <= since) {
		if (keeper_pending_version(spread->keeper) > since)
			answer_busy(spread, conn, peer, PENDING_MS);
		else
			send_not_held(spread, conn, peer);
		return true;
	}
	if (!admit(spread, conn)) {
		answer_busy(spread, conn, peer, SERVE_KEEP_MS);
		return true;
	}
	give(spread, conn, &peer->address, since, spread->options.push_bytes);
	note_served(spread, &peer->address);
	return true;
}

bool serve_bodies(struct spread *spread, uint64_t conn,
		  const struct identity *peer, const struct message *message,
		  struct error *err)
{
	uint8_t hash[CONTENT_HASH_BYTES];
	const msgpack_object *hashes;
	uint32_t count;
	uint32_t i;

	if (!decode_count(message, 1, "get bodies", err) ||
	    !decode_array(&message->fields[0], &hashes, &count, "hashes", err))
		return false;
	if (!admit(spread, conn)) {
		answer_busy(spread, conn, peer, SERVE_KEEP_MS);
		return true;
	}
	for (i = 0; i < count && i < SPREAD_HASHES_MAX; i++) {
		if (!decode_fixed(&hashes[i], hash, CONTENT_HASH_BYTES, "hash",
				  err))
			return false;
		/* It has moved on: its new head names what to ask for. */
		if (!send_body(spread, conn, &peer->address, hash,
			       count - 1 - i)) {
			send_not_held(spread, conn, peer);
			return true;
		}
	}
	return true;
}

void spread_push(struct spread *spread, const struct address *to)
{
	give(spread, 0, to, 0, UINT32_MAX);
}
