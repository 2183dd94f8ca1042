#ifndef PROFILE_TRANSLATION_H
#define PROFILE_TRANSLATION_H

#include "event/loop.h"
#include "platform/document.h"
#include "profile/keeper.h"

/**
 * DOC: translation
 *
 * Takes over a configuration document in slices: translates it and offers the
 * head and the bodies to the keeper, one slice in each idle turn of the event
 * loop. A document of thousands of routes takes hundreds of milliseconds on a
 * small share of a processor, and in one turn all calls would wait for it.
 */

/**
 * typedef translation_done_fn - called when a document has been taken over
 * @offer: KEEPER_REFUSED if the document or one of its bodies is invalid;
 *	KEEPER_IGNORED if the version is not newer; otherwise the version is in
 *	force, or pending because of a newer one
 * @err: reason of a refusal
 */
typedef void translation_done_fn(enum keeper_offer_result offer,
				 const struct error *err, void *data);

/** enum translation_state - what the next slice does. */
enum translation_state {
	TRANSLATION_IDLE,
	TRANSLATION_TRANSLATES,
	TRANSLATION_OFFERS,
};

/**
 * struct translation - takes over one document at a time
 * @slice: the next slice, while a document is being taken over
 * @work: the document
 * @next_body: next body to offer
 * @offer: result so far, see translation_done_fn
 * @cache: profiles of the last document
 */
struct translation {
	struct loop *loop;
	struct keeper *keeper;
	translation_done_fn *done;
	void *data;
	enum translation_state state;
	struct deferred slice;
	struct document_work work;
	uint32_t next_body;
	enum keeper_offer_result offer;
	struct document_cache cache;
};

void translation_init(struct translation *translation, struct loop *loop,
		      struct keeper *keeper, translation_done_fn *done,
		      void *data);

/**
 * translation_start() - begins to take over a document
 *
 * A document that is still being taken over is given up, without a call of
 * translation_done_fn: the newer one replaces it.
 */
void translation_start(struct translation *translation, const void *text,
		       size_t size);

/** translation_is_active() - true until translation_done_fn is called. */
bool translation_is_active(const struct translation *translation);

/** translation_finish() - gives the document up and frees all memory. */
void translation_finish(struct translation *translation);

#endif
