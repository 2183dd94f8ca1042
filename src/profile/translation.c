#include "profile/translation.h"

#include <string.h>

#include "base/counter.h"
#include "base/log.h"
#include "os/clock.h"

static const char component[] = "config";

COUNTER(adjusted_count, "config.entries_adjusted",
	"Entries of translated documents in force with another value, because "
	"theirs was outside the bounds of this program");
COUNTER(left_out_count, "config.entries_left_out",
	"Entries of translated documents, or parts of them, that are not in "
	"force");

/* A call waits for this long, or for the parsing of one body, at most. */
enum { SLICE_MAX_US = 2 * US_PER_MS };

static void slice_run(void *data);

void translation_init(struct translation *translation, struct loop *loop,
		      struct keeper *keeper, translation_done_fn *done,
		      void *data)
{
	memset(translation, 0, sizeof(*translation));
	translation->loop = loop;
	translation->keeper = keeper;
	translation->done = done;
	translation->data = data;
	deferred_init(&translation->slice, slice_run, translation);
}

bool translation_is_active(const struct translation *translation)
{
	return translation->state != TRANSLATION_IDLE;
}

static void give_up(struct translation *translation)
{
	if (!translation_is_active(translation))
		return;
	loop_defer_cancel(translation->loop, &translation->slice);
	document_work_finish(&translation->work);
	translation->state = TRANSLATION_IDLE;
}

void translation_finish(struct translation *translation)
{
	give_up(translation);
	document_cache_finish(&translation->cache);
}

void translation_start(struct translation *translation, const void *text,
		       size_t size)
{
	give_up(translation);
	document_work_init(&translation->work, &translation->cache, text, size);
	translation->state = TRANSLATION_TRANSLATES;
	loop_defer_idle(translation->loop, &translation->slice);
}

static void end(struct translation *translation, const struct error *err)
{
	document_work_finish(&translation->work);
	translation->state = TRANSLATION_IDLE;
	translation->done(translation->offer, err, translation->data);
}

static void log_notes(const struct document_work *work)
{
	const struct document_notes *notes = &work->notes;
	uint32_t i;

	counter_add(&adjusted_count, notes->adjusted);
	counter_add(&left_out_count, notes->left_out);
	for (i = 0; i < document_notes_stored(notes); i++) {
		const struct document_note *note = &notes->items[i];

		log_warn(component,
			 note->effect == DOCUMENT_LEFT_OUT ? "entry_left_out"
							   : "entry_adjusted",
			 LOG_NUMBER("version", (int64_t)work->document.version),
			 LOG_TEXT("entry", note->entry),
			 LOG_TEXT("name", note->name),
			 LOG_TEXT("reason", note->reason));
	}
}

static void offer_head(struct translation *translation, struct error *err)
{
	const struct document *document = &translation->work.document;

	translation->offer = keeper_offer_head(
		translation->keeper, document->head, document->head_size, err);
	translation->next_body = 0;
	translation->state = TRANSLATION_OFFERS;
}

/* Translates for the time of a slice. */
static void translate(struct translation *translation, struct error *err)
{
	int64_t until_us = clock_monotonic_us() + SLICE_MAX_US;
	enum document_progress progress;

	do {
		progress = document_work_step(&translation->work, err);
	} while (progress == DOCUMENT_MORE && clock_monotonic_us() < until_us);
	switch (progress) {
	case DOCUMENT_MORE:
		return;
	case DOCUMENT_INVALID:
		translation->offer = KEEPER_REFUSED;
		return;
	case DOCUMENT_DONE:
		log_notes(&translation->work);
		offer_head(translation, err);
		return;
	}
}

/* Returns the next body that the keeper lacks, or NULL. */
static const struct buffer *next_missing(struct translation *translation,
					 uint8_t hash[CONTENT_HASH_BYTES])
{
	const struct document *document = &translation->work.document;
	size_t size;

	while (translation->next_body < DOCUMENT_BODIES) {
		const struct buffer *body =
			&document->bodies[translation->next_body++];

		if (!buffer_size(body))
			continue;
		content_hash(buffer_data(body), buffer_size(body), hash);
		if (!keeper_body(translation->keeper, hash, &size))
			return body;
	}
	return NULL;
}

/*
 * Offers one body. The keeper ignores the body if the version has come from a
 * peer since the last slice, or if a newer version is pending.
 * Return: false if all bodies were offered.
 */
static bool offer_body(struct translation *translation, struct error *err)
{
	uint8_t hash[CONTENT_HASH_BYTES];
	const struct buffer *body = next_missing(translation, hash);
	enum keeper_offer_result offer;
	size_t compressed_size;
	size_t size;

	if (!body)
		return false;
	offer = keeper_offer_body(translation->keeper, buffer_data(body),
				  buffer_size(body), err);
	if (offer == KEEPER_REFUSED || offer == KEEPER_IN_FORCE)
		translation->offer = offer;
	/* Peers ask for the compressed bodies soon, for all of them at once. */
	keeper_compressed_body(translation->keeper, hash, &compressed_size,
			       &size);
	return true;
}

static void slice_run(void *data)
{
	struct translation *translation = data;
	struct error err = ERROR_INIT;
	bool more = true;

	switch (translation->state) {
	case TRANSLATION_IDLE:
		return;
	case TRANSLATION_TRANSLATES:
		translation->offer = KEEPER_INCOMPLETE;
		translate(translation, &err);
		break;
	case TRANSLATION_OFFERS:
		more = offer_body(translation, &err);
		break;
	}
	if (more && translation->offer == KEEPER_INCOMPLETE)
		loop_defer_idle(translation->loop, &translation->slice);
	else
		end(translation, &err);
}
