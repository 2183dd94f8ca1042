#include "profile/keeper.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "base/counter.h"
#include "base/log.h"
#include "base/compress.h"
#include "profile/config_tenants.h"

/* The keys are hashes already, so four of their bytes serve as the hash. */
#define HASH_FUNCTION(key, size, value) memcpy(&(value), key, sizeof(value))
#include <uthash.h>
#include <utlist.h>

/* Each single drop searches the whole version; more than this many are dropped
 * by one sweep. */
enum { SINGLE_DROPS_MAX = 16 };

COUNTER(applied_count, "config.versions_applied",
	"Versions that came into force in this process");
COUNTER(refused_count, "config.versions_refused",
	"Versions that were invalid and not taken");
COUNTER(older_count, "config.older_heads",
	"Heads from the platform's service older than the version in force");
COUNTER(fork_count, "config.forks",
	"Heads whose history is not the one in force here");
COUNTER(unneeded_count, "config.bodies_unwanted",
	"Bodies that came without being missing, or with a wrong hash");
GAUGE(version_gauge, "config.version", "The version in force");

/* Text of a profile by its hash. @bytes is NULL while the body is missing.
 * @profile is the parsed text, under the first name with this text; NULL if the
 * text is invalid or was not parsed on arrival. @compressed is the compressed
 * text, NULL until keeper_compressed_body() compresses it. @needed marks the
 * bodies that sweep_bodies() keeps. */
struct keeper_body {
	uint8_t hash[CONTENT_HASH_BYTES];
	uint8_t *bytes;
	size_t size;
	uint8_t *compressed;
	size_t compressed_size;
	struct profile *profile;
	bool needed;
	UT_hash_handle hh;
};

void keeper_init(struct keeper *keeper)
{
	memset(keeper, 0, sizeof(*keeper));
}

static void body_free(struct keeper_body *body)
{
	free(body->bytes);
	free(body->compressed);
	profile_free(body->profile);
	free(body);
}

void keeper_finish(struct keeper *keeper)
{
	struct keeper_body *body = keeper->bodies;

	HASH_CLEAR(hh, keeper->bodies);
	while (body) {
		struct keeper_body *next = body->hh.next;

		body_free(body);
		body = next;
	}
	head_finish(&keeper->head);
	head_finish(&keeper->pending);
	free(keeper->head_bytes);
	config_unref(keeper->config);
	keeper_init(keeper);
}

void keeper_observe(struct keeper *keeper, struct keeper_observer *observer)
{
	LL_APPEND(keeper->observers, observer);
}

static struct keeper_body *find_body(const struct keeper *keeper,
				     const uint8_t hash[CONTENT_HASH_BYTES])
{
	struct keeper_body *body;

	HASH_FIND(hh, keeper->bodies, hash, CONTENT_HASH_BYTES, body);
	return body;
}

static void add_body(struct keeper *keeper, struct keeper_body *body)
{
	HASH_ADD(hh, keeper->bodies, hash, CONTENT_HASH_BYTES, body);
	keeper->body_count++;
	keeper->body_bytes += body->size;
	if (!body->bytes)
		keeper->missing_count++;
}

static struct keeper_body *ensure_body(struct keeper *keeper,
				       const uint8_t hash[CONTENT_HASH_BYTES])
{
	struct keeper_body *body = find_body(keeper, hash);

	if (body)
		return body;
	body = calloc(1, sizeof(*body));
	if (!body)
		abort();
	memcpy(body->hash, hash, CONTENT_HASH_BYTES);
	add_body(keeper, body);
	return body;
}

static void mark_needed(struct keeper *keeper, const struct head *head)
{
	uint32_t i;

	for (i = 0; i < head->profile_count; i++)
		ensure_body(keeper, head->profiles[i].hash)->needed = true;
}

/*
 * Returns true if @head has a profile with the name and text of @profile. All
 * lists are sorted by name: a caller that iterates over another list in order
 * searches @head only once.
 * @at: index at which the search starts; set to the index of the profile that
 *	was found
 */
static bool has_profile(const struct head *head,
			const struct head_profile *profile, uint32_t *at)
{
	int order = 1;

	while (*at < head->profile_count) {
		order = strcmp(head->profiles[*at].name, profile->name);
		if (order >= 0)
			break;
		(*at)++;
	}
	return !order && !memcmp(head->profiles[*at].hash, profile->hash,
				 CONTENT_HASH_BYTES);
}

static bool uses_body(const struct head *head,
		      const uint8_t hash[CONTENT_HASH_BYTES])
{
	uint32_t i;

	for (i = 0; i < head->profile_count; i++)
		if (!memcmp(head->profiles[i].hash, hash, CONTENT_HASH_BYTES))
			return true;
	return false;
}

static void drop_body(struct keeper *keeper, struct keeper_body *body)
{
	assert(keeper->bodies);
	HASH_DEL(keeper->bodies, body);
	keeper->body_count--;
	keeper->body_bytes -= body->size;
	if (!body->bytes)
		keeper->missing_count--;
	body_free(body);
}

/* Adds entries for the bodies that the version in force and the pending version
 * lack, and frees the bodies that neither version needs. */
static void sweep_bodies(struct keeper *keeper)
{
	struct keeper_body *body;
	struct keeper_body *next;

	mark_needed(keeper, &keeper->head);
	if (keeper->is_pending)
		mark_needed(keeper, &keeper->pending);
	HASH_ITER(hh, keeper->bodies, body, next) {
		if (!body->needed)
			drop_body(keeper, body);
		else
			body->needed = false;
	}
}

/* Adds entries for the bodies that the pending version needs besides those of
 * the version in force. */
static void add_pending_bodies(struct keeper *keeper)
{
	uint32_t at = 0;
	uint32_t i;

	for (i = 0; i < keeper->pending.profile_count; i++) {
		const struct head_profile *wanted =
			&keeper->pending.profiles[i];

		if (!has_profile(&keeper->head, wanted, &at))
			ensure_body(keeper, wanted->hash);
	}
}

/* Frees the bodies of the previous head @before that the new version does not
 * need. */
static void drop_replaced_bodies(struct keeper *keeper,
				 const struct head *before)
{
	struct keeper_body *body;
	uint32_t dropped = 0;
	uint32_t at = 0;
	uint32_t i;

	for (i = 0; i < before->profile_count; i++) {
		const struct head_profile *old = &before->profiles[i];

		if (has_profile(&keeper->head, old, &at))
			continue;
		if (++dropped > SINGLE_DROPS_MAX) {
			sweep_bodies(keeper);
			return;
		}
		body = find_body(keeper, old->hash);
		if (body && !uses_body(&keeper->head, old->hash))
			drop_body(keeper, body);
	}
}

static void drop_pending(struct keeper *keeper)
{
	head_finish(&keeper->pending);
	keeper->is_pending = false;
	sweep_bodies(keeper);
}

static enum keeper_offer_result refuse(struct keeper *keeper, struct error *err)
{
	keeper->refused_version = keeper->pending.version;
	memcpy(keeper->refused_chain, keeper->pending.chain, CHAIN_HASH_BYTES);
	keeper->refusal = *err;
	counter_add(&refused_count, 1);
	log_error("config", "version_refused",
		  LOG_NUMBER("version", (int64_t)keeper->refused_version),
		  LOG_TEXT("reason", err->text));
	drop_pending(keeper);
	return KEEPER_REFUSED;
}

/* Returns the parsed profile of the version in force if the text is the same,
 * otherwise NULL. */
static struct profile *reuse_profile(const struct keeper *keeper,
				     const struct head_profile *wanted,
				     uint32_t *at)
{
	if (!has_profile(&keeper->head, wanted, at))
		return NULL;
	return profile_ref(keeper->config->profiles[*at].profile);
}

static struct profile *parse_body(const struct keeper *keeper,
				  const struct head_profile *wanted,
				  struct error *err)
{
	const struct keeper_body *body = find_body(keeper, wanted->hash);
	struct faults *faults;
	struct profile *profile;

	if (body->profile && !strcmp(body->profile->name, wanted->name))
		return profile_ref(body->profile);
	faults = calloc(1, sizeof(*faults));
	if (!faults)
		abort();
	profile = profile_parse(wanted->name, (const char *)body->bytes,
				body->size, faults);
	if (!profile)
		faults_to_error(faults, wanted->name, err);
	free(faults);
	return profile;
}

/*
 * Parses a body when it arrives. Parsing all bodies of a large version after
 * the last one has arrived would block the event loop. An error is ignored
 * here: build_config() parses an invalid body again and reports the error.
 */
static void parse_on_arrival(struct keeper *keeper, struct keeper_body *body)
{
	const struct head *head = &keeper->pending;
	struct error err = ERROR_INIT;
	uint32_t i;

	for (i = 0; i < head->profile_count; i++) {
		const struct head_profile *wanted = &head->profiles[i];

		if (memcmp(wanted->hash, body->hash, CONTENT_HASH_BYTES))
			continue;
		body->profile = parse_body(keeper, wanted, &err);
		return;
	}
}

/* Builds the pending version. An invalid profile leaves the version in force
 * unchanged, since nothing is swapped before the whole version is built. */
static struct config *build_config(const struct keeper *keeper,
				   struct error *err)
{
	const struct head *head = &keeper->pending;
	struct config *config = config_new(head->profile_count);
	uint32_t at = 0;
	uint32_t i;

	config->version = head->version;
	memcpy(config->chain, head->chain, CHAIN_HASH_BYTES);
	for (i = 0; i < head->profile_count; i++) {
		const struct head_profile *wanted = &head->profiles[i];
		struct config_profile *entry = &config->profiles[i];

		memcpy(entry->hash, wanted->hash, CONTENT_HASH_BYTES);
		entry->set_in = wanted->set_in;
		entry->unchanged_since = head->version;
		entry->profile = reuse_profile(keeper, wanted, &at);
		if (entry->profile)
			entry->unchanged_since =
				keeper->config->profiles[at].unchanged_since;
		else
			entry->profile = parse_body(keeper, wanted, err);
		if (!entry->profile) {
			config_unref(config);
			return NULL;
		}
	}
	if (!config_check_tenants(config, keeper->config, err)) {
		config_unref(config);
		return NULL;
	}
	return config;
}

static void notify(struct keeper *keeper)
{
	struct keeper_observer *observer;
	struct keeper_observer *next;

	LL_FOREACH_SAFE(keeper->observers, observer, next)
		observer->changed(keeper->config, observer->data);
}

/* Returns the number of profiles whose text this version has changed. */
static uint32_t count_changed(const struct config *config)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < config->profile_count; i++)
		count += config->profiles[i].unchanged_since == config->version;
	return count;
}

static void swap_config(struct keeper *keeper, struct config *config)
{
	struct config *old = keeper->config;
	struct head before = keeper->head;

	keeper->config = config;
	keeper->head = keeper->pending;
	head_init(&keeper->pending);
	keeper->is_pending = false;
	free(keeper->head_bytes);
	keeper->head_bytes = NULL;
	keeper->refused_version = 0;
	error_clear(&keeper->refusal);
	drop_replaced_bodies(keeper, &before);
	head_finish(&before);
	config_unref(old);
	counter_add(&applied_count, 1);
	counter_set(&version_gauge, (int64_t)config->version);
	log_info("config", "version_in_force",
		 LOG_NUMBER("version", (int64_t)config->version),
		 LOG_NUMBER("profiles", config->profile_count),
		 LOG_NUMBER("changed", count_changed(config)));
}

static enum keeper_offer_result apply_if_complete(struct keeper *keeper,
						  struct error *err)
{
	struct error reason = ERROR_INIT;
	struct config *config;

	if (keeper->missing_count)
		return KEEPER_INCOMPLETE;
	config = build_config(keeper, &reason);
	if (!config) {
		error_set(err, reason.code, "%s", reason.text);
		return refuse(keeper, &reason);
	}
	swap_config(keeper, config);
	notify(keeper);
	return KEEPER_IN_FORCE;
}

static void report_fork(struct keeper *keeper, const struct head *head)
{
	keeper->forks++;
	counter_add(&fork_count, 1);
	log_error("config", "history_forked",
		  LOG_NUMBER("version", (int64_t)head->version),
		  LOG_NUMBER("in_force", (int64_t)keeper->head.version),
		  LOG_TEXT("author", head->author));
}

/* A platform that was restored from a backup can accept a version number a
 * second time with other content. The node does not go back to an older
 * version, but reports the fork to the operators. */
static void check_history(struct keeper *keeper, const struct head *head)
{
	const struct head *in_force = &keeper->head;

	if (head->version == in_force->version &&
	    memcmp(head->chain, in_force->chain, CHAIN_HASH_BYTES))
		report_fork(keeper, head);
	if (in_force->version && head->version == in_force->version + 1 &&
	    !head_has_no_previous(head) &&
	    memcmp(head->previous, in_force->chain, CHAIN_HASH_BYTES))
		report_fork(keeper, head);
}

static bool is_refused(const struct keeper *keeper, const struct head *head)
{
	return keeper->refused_version == head->version &&
	       !memcmp(keeper->refused_chain, head->chain, CHAIN_HASH_BYTES);
}

static bool is_pending_version(const struct keeper *keeper,
			       const struct head *head)
{
	return keeper->is_pending && keeper->pending.version == head->version &&
	       !memcmp(keeper->pending.chain, head->chain, CHAIN_HASH_BYTES);
}

enum keeper_offer_result keeper_offer_head(struct keeper *keeper,
					   const void *head, size_t size,
					   struct error *err)
{
	struct head offered;
	bool was_pending;

	if (!head_decode_onto(&offered, &keeper->head, head, size, err))
		return KEEPER_REFUSED;
	keeper->offered_version = offered.version;
	check_history(keeper, &offered);
	/* Whoever offers the version may hold the missing bodies; the node that
	 * offered it first may be gone. */
	if (is_pending_version(keeper, &offered)) {
		head_finish(&offered);
		return KEEPER_INCOMPLETE;
	}
	if (offered.version <= keeper->head.version ||
	    (keeper->is_pending &&
	     offered.version <= keeper->pending.version)) {
		head_finish(&offered);
		return KEEPER_IGNORED;
	}
	if (is_refused(keeper, &offered)) {
		error_set(err, keeper->refusal.code, "%s",
			  keeper->refusal.text);
		head_finish(&offered);
		return KEEPER_REFUSED;
	}
	was_pending = keeper->is_pending;
	head_finish(&keeper->pending);
	keeper->pending = offered;
	keeper->is_pending = true;
	if (was_pending)
		sweep_bodies(keeper);
	else
		add_pending_bodies(keeper);
	return apply_if_complete(keeper, err);
}

enum keeper_offer_result keeper_offer_body(struct keeper *keeper,
					   const void *body, size_t size,
					   struct error *err)
{
	uint8_t hash[CONTENT_HASH_BYTES];
	struct keeper_body *missing;

	content_hash(body, size, hash);
	missing = find_body(keeper, hash);
	if (!missing || missing->bytes) {
		counter_add(&unneeded_count, 1);
		return KEEPER_IGNORED;
	}
	missing->bytes = malloc(size + 1);
	if (!missing->bytes)
		abort();
	memcpy(missing->bytes, body, size);
	missing->size = size;
	keeper->body_bytes += size;
	keeper->missing_count--;
	parse_on_arrival(keeper, missing);
	return apply_if_complete(keeper, err);
}

uint32_t keeper_missing(const struct keeper *keeper,
			uint8_t (*hashes)[CONTENT_HASH_BYTES], uint32_t max)
{
	const struct keeper_body *body;
	uint32_t count = 0;

	for (body = keeper->bodies;
	     body && count < max && count < keeper->missing_count;
	     body = body->hh.next)
		if (!body->bytes)
			memcpy(hashes[count++], body->hash, CONTENT_HASH_BYTES);
	return keeper->missing_count;
}

uint64_t keeper_pending_version(const struct keeper *keeper)
{
	return keeper->is_pending ? keeper->pending.version : 0;
}

struct config *keeper_config(const struct keeper *keeper)
{
	return keeper->config;
}

const uint8_t *keeper_head(struct keeper *keeper, size_t *size)
{
	if (keeper->config && !keeper->head_bytes)
		keeper->head_bytes =
			head_encode(&keeper->head, &keeper->head_size);
	*size = keeper->head_size;
	return keeper->head_bytes;
}

const uint8_t *keeper_body(const struct keeper *keeper,
			   const uint8_t hash[CONTENT_HASH_BYTES], size_t *size)
{
	const struct keeper_body *body = find_body(keeper, hash);

	if (!body || !body->bytes)
		return NULL;
	*size = body->size;
	return body->bytes;
}

const uint8_t *keeper_compressed_body(const struct keeper *keeper,
				      const uint8_t hash[CONTENT_HASH_BYTES],
				      size_t *compressed_size, size_t *size)
{
	struct keeper_body *body = find_body(keeper, hash);

	if (!body || !body->bytes)
		return NULL;
	if (!body->compressed)
		body->compressed = compress_bytes(body->bytes, body->size,
						  &body->compressed_size);
	*compressed_size = body->compressed_size;
	*size = body->size;
	return body->compressed;
}

void keeper_set_compressed(struct keeper *keeper,
			   const uint8_t hash[CONTENT_HASH_BYTES],
			   const void *compressed, size_t compressed_size)
{
	struct keeper_body *body = find_body(keeper, hash);

	if (!body || !body->bytes || body->compressed)
		return;
	body->compressed = malloc(compressed_size);
	if (!body->compressed)
		abort();
	memcpy(body->compressed, compressed, compressed_size);
	body->compressed_size = compressed_size;
}

uint8_t *keeper_head_since(const struct keeper *keeper, uint64_t version,
			   size_t *size)
{
	if (version >= keeper->head.version)
		return NULL;
	return head_encode_since(&keeper->head, version, size);
}

void keeper_count_older_head(struct keeper *keeper, uint64_t version)
{
	keeper->older_heads++;
	counter_add(&older_count, 1);
	log_error("config", "older_head",
		  LOG_NUMBER("version", (int64_t)version),
		  LOG_NUMBER("in_force", (int64_t)keeper->head.version));
}
