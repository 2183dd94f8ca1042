#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common.h"
#include "crowd.h"
#include "fleet/fetch.h"
#include "membership/members_defs.h"
#include "os/clock.h"

/*
 * Creates versions of the configuration with the product's functions for the
 * head, and offers them to the keeper of the crowd's peer as a reader does.
 */

enum {
	TEXT_SIZE = 2048,
	SERVICE_SIZE = 32,
	/* Keeps the deadline of the kind "seal" at four digits. */
	DEADLINE_STEPS = 1000,
};

static size_t make_text(const struct crowd *crowd, uint32_t i, char *text)
{
	uint32_t generation = crowd->generations[i];
	char service[SERVICE_SIZE];

	snprintf(service, sizeof(service), "service-%04u", i);
	return bench_profile_print(text, TEXT_SIZE, service, generation,
				   generation % DEADLINE_STEPS);
}

static void set_profile(struct crowd *crowd, uint32_t i)
{
	uint8_t hash[CONTENT_HASH_BYTES];
	struct error err = ERROR_INIT;
	char name[PROFILE_NAME_SIZE];
	char text[TEXT_SIZE];

	crowd->generations[i]++;
	content_hash(text, make_text(crowd, i, text), hash);
	snprintf(name, sizeof(name), "profile-%04u", i);
	head_set(&crowd->head, name, hash, &err);
}

/* Offers the texts that changed. */
static void offer_texts(struct crowd *crowd)
{
	struct error err = ERROR_INIT;
	char text[TEXT_SIZE];
	uint32_t i;

	for (i = 0; i < crowd->profiles; i++) {
		size_t size = make_text(crowd, i, text);

		if (crowd->text_changed[i])
			keeper_offer_body(&crowd->keeper, text, size, &err);
	}
}

uint64_t crowd_create_version(struct crowd *crowd, uint32_t profiles,
			      uint32_t changed)
{
	char id[ACCEPT_ID_SIZE];
	uint32_t i;

	snprintf(id, sizeof(id), "crowd-%llu",
		 (unsigned long long)crowd->head.version);
	head_advance(&crowd->head, id, "crowd", clock_wall_ms());
	memset(crowd->text_changed, 0, sizeof(crowd->text_changed));
	for (i = 0; i < profiles; i++) {
		if (i >= changed && i < crowd->profiles)
			continue;
		set_profile(crowd, i);
		crowd->text_changed[i] = true;
	}
	crowd->profiles = profiles;
	head_seal(&crowd->head);
	return crowd->head.version;
}

void crowd_offer(struct crowd *crowd)
{
	struct packet_out out = { .type = PACKET_ANNOUNCE };
	struct members *members = &crowd->gossip.members;
	struct error err = ERROR_INIT;
	uint8_t *bytes;
	size_t size;

	bytes = head_encode(&crowd->head, &size);
	keeper_offer_head(&crowd->keeper, bytes, size, &err);
	free(bytes);
	offer_texts(crowd);
	if (error_is_set(&err))
		fprintf(stderr, "crowd: %s\n", err.text);
	/* The spread reports the version to membership in the next turn. */
	loop_turn(crowd->loop, 0);
	loop_turn(crowd->loop, 0);
	members->now_us = loop_now_us(crowd->loop);
	packet_send(members, &crowd->node, &out);
	loop_defer(crowd->loop, &crowd->gossip.drain);
}

static bool write_key(struct crowd *crowd, const char *platform,
		      const char *key, const char *text, uint64_t *revision)
{
	struct fetch fetch = { .method = "PUT", .body = text };
	char match[64];
	bool written;

	snprintf(match, sizeof(match), "If-Match: %llu",
		 (unsigned long long)*revision);
	fetch.headers[0] = match;
	snprintf(fetch.url, sizeof(fetch.url), "http://%s/v1/kv/%s", platform,
		 key);
	written = fetch_run(&fetch) && fetch.status == 200;
	if (!written)
		fprintf(stderr, "crowd: writing %s failed with status %ld\n",
			key, fetch.status);
	*revision = strtoull(fetch.revision, NULL, 10);
	fetch_finish(&fetch);
	loop_turn(crowd->loop, 0);
	return written;
}

bool crowd_publish(struct crowd *crowd, const char *platform)
{
	char key[96] = "body/";
	char text[TEXT_SIZE];
	uint8_t *bytes;
	size_t size;
	uint32_t i;
	bool written;

	for (i = 0; i < crowd->profiles; i++) {
		uint8_t hash[CONTENT_HASH_BYTES];
		uint64_t no_revision = 0;

		if (!crowd->text_changed[i])
			continue;
		content_hash(text, make_text(crowd, i, text), hash);
		hash_format(hash, key + strlen("body/"));
		if (!write_key(crowd, platform, key, text, &no_revision))
			return false;
	}
	bytes = head_encode(&crowd->head, &size);
	bytes = realloc(bytes, size + 1);
	if (!bytes)
		abort();
	bytes[size] = '\0';
	written = write_key(crowd, platform, "head", (const char *)bytes,
			    &crowd->head_revision);
	free(bytes);
	return written;
}
