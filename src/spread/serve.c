#include <stdlib.h>
#include <string.h>

#include "membership/packet.h"
#include "os/clock.h"
#include "spread/spread_defs.h"

/*
 * Sends versions to other nodes. The number of concurrent transfers and the
 * bytes per second are limited. Above a limit the answer is "busy", with a
 * wait time and the addresses of the last nodes that a version was sent to,
 * which probably have it by now. Many nodes that ask one node at the same time
 * are thus distributed over a tree of nodes that have the version.
 */

enum {
	/* Time for which a transfer occupies its entry, and the wait sent to a
	 * node that is not admitted. */
	TRANSFER_MS = 200,
	BUSY_JITTER_MS = 50,
	/* Wait sent to a node that asks for a version still pending here, the
	 * larger part of the 0.1 to 0.3 s that a version is pending. */
	PENDING_WAIT_MS = 100,
	BODY_FRAME_OVERHEAD_BYTES = 16, /* approximate overhead of a frame */
};

static void refill(struct spread *spread)
{
	double rate = spread->options.serve_bytes_per_s;

	spread->serve_tokens +=
		rate * (double)(spread->now_us - spread->serve_refilled_us) /
		US_PER_S;
	if (spread->serve_tokens > rate)
		spread->serve_tokens = rate;
	spread->serve_refilled_us = spread->now_us;
}

/* Returns the entry of @conn_id, otherwise a free entry, or NULL. */
static struct spread_transfer *find_transfer(struct spread *spread,
					     uint64_t conn_id)
{
	struct spread_transfer *found = NULL;
	uint32_t i;

	for (i = 0; i < spread->options.serves_max; i++) {
		struct spread_transfer *transfer = &spread->transfers[i];

		if (transfer->conn_id == conn_id)
			return transfer;
		if (transfer->until_us <= spread->now_us)
			found = transfer;
	}
	return found;
}

static bool admit(struct spread *spread, uint64_t conn_id)
{
	struct spread_transfer *transfer = find_transfer(spread, conn_id);

	refill(spread);
	if (!transfer || spread->serve_tokens <= 0)
		return false;
	transfer->conn_id = conn_id;
	transfer->until_us = spread->now_us + TRANSFER_MS * US_PER_MS;
	return true;
}

static void send_busy(struct spread *spread, uint64_t conn_id,
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
	for (i = 0; i < SPREAD_RECIPIENTS_MAX; i++)
		count += spread->recipients[i].family != 0;
	encoder_begin(encoder, FRAME_SPREAD_BUSY, 3);
	encode_uint(encoder, (uint64_t)wait_ms + random_below(&spread->random,
							      BUSY_JITTER_MS));
	encode_uint(encoder, spread_version(spread));
	encode_array(encoder, 2 * count);
	for (i = 0; i < SPREAD_RECIPIENTS_MAX; i++)
		if (spread->recipients[i].family)
			packet_encode_address(encoder, &spread->recipients[i]);
	spread_queue_frame(spread, conn_id, &peer->address, false);
}

static void send_not_held(struct spread *spread, uint64_t conn_id,
			  const struct identity *peer)
{
	encoder_begin(&spread->encoder, FRAME_SPREAD_NOT_HELD, 1);
	encode_uint(&spread->encoder, spread_version(spread));
	spread_queue_frame(spread, conn_id, &peer->address, false);
}

static void send_head(struct spread *spread, uint64_t conn_id,
		      const struct address *to, const uint8_t *head,
		      size_t size, uint32_t bodies)
{
	struct encoder *encoder = &spread->encoder;

	encoder_begin(encoder, FRAME_SPREAD_HEAD, 3);
	encode_uint(encoder, spread_version(spread));
	encode_bytes(encoder, head, size);
	encode_uint(encoder, bodies);
	spread_queue_frame(spread, conn_id, to, false);
	spread->serve_tokens -= (double)size;
	spread->counts.heads_sent++;
}

/* Returns false if the keeper no longer holds the body. */
static bool send_body(struct spread *spread, uint64_t conn_id,
		      const struct address *to,
		      const uint8_t hash[CONTENT_HASH_BYTES], uint32_t more)
{
	size_t compressed_size;
	size_t size;
	const uint8_t *compressed = keeper_compressed_body(
		spread->keeper, hash, &compressed_size, &size);

	if (!compressed)
		return false;
	encoder_begin(&spread->encoder, FRAME_SPREAD_BODY, 3);
	encode_bytes(&spread->encoder, compressed, compressed_size);
	encode_uint(&spread->encoder, more);
	encode_uint(&spread->encoder, size);
	spread_queue_frame(spread, conn_id, to, false);
	spread->serve_tokens -=
		(double)compressed_size + BODY_FRAME_OVERHEAD_BYTES;
	spread->counts.bodies_sent++;
	return true;
}

/*
 * Returns true if a node at version @since has the body of @entry. A head that
 * was built from a document without history marks every profile as changed;
 * sending the unchanged bodies each time would fill slow links. A body that
 * this node has held since @since or longer was also part of version @since.
 */
static bool peer_has_body(const struct config_profile *entry, uint64_t since)
{
	return entry->set_in <= since || entry->unchanged_since <= since;
}

/* Returns true if an earlier body to be sent is the same. */
static bool is_duplicate(const struct config *config, uint32_t at,
			 uint64_t since)
{
	uint32_t i;

	for (i = 0; i < at; i++)
		if (!peer_has_body(&config->profiles[i], since) &&
		    !memcmp(config->profiles[i].hash, config->profiles[at].hash,
			    CONTENT_HASH_BYTES))
			return true;
	return false;
}

/* Chooses bodies that a node at @since lacks, @max_bytes in total at most.
 * Returns their number. */
static uint32_t choose_bodies(const struct spread *spread, uint64_t since,
			      uint32_t max_bytes, uint32_t *chosen,
			      uint32_t max_count)
{
	const struct config *config = keeper_config(spread->keeper);
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < config->profile_count && count < max_count; i++) {
		const struct config_profile *entry = &config->profiles[i];
		size_t size;

		if (peer_has_body(entry, since) ||
		    is_duplicate(config, i, since))
			continue;
		if (!keeper_body(spread->keeper, entry->hash, &size) ||
		    size > max_bytes)
			break;
		max_bytes -= (uint32_t)size;
		chosen[count++] = i;
	}
	return count;
}

static void send_bodies(struct spread *spread, uint64_t conn_id,
			const struct address *to, const uint32_t *chosen,
			uint32_t count)
{
	const struct config *config = keeper_config(spread->keeper);
	uint32_t i;

	for (i = 0; i < count; i++) {
		const struct config_profile *entry =
			&config->profiles[chosen[i]];

		send_body(spread, conn_id, to, entry->hash, count - 1 - i);
	}
}

static void add_recipient(struct spread *spread, const struct address *peer)
{
	spread->recipients[spread->recipient_next++ % SPREAD_RECIPIENTS_MAX] =
		*peer;
}

/* Sends the head together with bodies: the head shows which bodies changed
 * since version @since, so a separate request would only cost a round trip. */
static void send_version(struct spread *spread, uint64_t conn_id,
			 const struct address *to, uint64_t since,
			 uint32_t max_bytes)
{
	uint32_t chosen[SPREAD_HASHES_MAX];
	uint8_t *head;
	uint32_t count;
	size_t size;

	head = keeper_head_since(spread->keeper, since, &size);
	if (!head)
		return;
	count = choose_bodies(spread, since, max_bytes, chosen,
			      SPREAD_HASHES_MAX);
	send_head(spread, conn_id, to, head, size, count);
	send_bodies(spread, conn_id, to, chosen, count);
	free(head);
}

bool serve_get(struct spread *spread, uint64_t conn_id,
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
			send_busy(spread, conn_id, peer, PENDING_WAIT_MS);
		else
			send_not_held(spread, conn_id, peer);
		return true;
	}
	if (!admit(spread, conn_id)) {
		send_busy(spread, conn_id, peer, TRANSFER_MS);
		return true;
	}
	send_version(spread, conn_id, &peer->address, since,
		     spread->options.push_bytes);
	add_recipient(spread, &peer->address);
	return true;
}

bool serve_bodies(struct spread *spread, uint64_t conn_id,
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
	if (!admit(spread, conn_id)) {
		send_busy(spread, conn_id, peer, TRANSFER_MS);
		return true;
	}
	for (i = 0; i < count && i < SPREAD_HASHES_MAX; i++) {
		if (!decode_fixed(&hashes[i], hash, CONTENT_HASH_BYTES, "hash",
				  err))
			return false;
		/* The version now in force here does not contain this body; the
		 * peer must fetch the new head. */
		if (!send_body(spread, conn_id, &peer->address, hash,
			       count - 1 - i)) {
			send_not_held(spread, conn_id, peer);
			return true;
		}
	}
	return true;
}

void spread_push(struct spread *spread, const struct address *to)
{
	send_version(spread, 0, to, 0, UINT32_MAX);
}
