#ifndef SPREAD_SPREAD_DEFS_H
#define SPREAD_SPREAD_DEFS_H

#include "spread/spread.h"
#include "wire/frame_types.h"

/**
 * DOC: spread internals
 *
 * What the side that pulls (spread.c) and the side that serves (serve.c)
 * share.
 */

/** enum frame_spread - frames of this slice. */
enum frame_spread {
	FRAME_SPREAD_GET = FRAME_RANGE_SPREAD, /* version held */
	FRAME_SPREAD_HEAD,		       /* version, head */
	FRAME_SPREAD_BODY,		       /* body */
	FRAME_SPREAD_GET_BODIES,	       /* hashes */
	FRAME_SPREAD_NOT_HELD,		       /* version held */
	FRAME_SPREAD_BUSY, /* come back after ms, or ask these */
};

enum { SPREAD_HASHES_MAX = 64, SPREAD_BUSY_MAX_MS = 60 * 1000 };

struct spread_action *spread_action(struct spread *spread,
				    enum spread_action_type type);
void spread_queue_frame(struct spread *spread, uint64_t conn,
			const struct address *to, bool new_connection);
uint64_t spread_version(const struct spread *spread);

/* teller.c */
struct spread_source *source_choose(struct spread *spread);
struct spread_source *source_find(struct spread *spread,
				  const struct address *address);
void source_add(struct spread *spread, const struct address *address,
		uint64_t version);

/* serve.c */
bool serve_get(struct spread *spread, uint64_t conn,
	       const struct identity *peer, const struct message *message,
	       struct error *err);
bool serve_bodies(struct spread *spread, uint64_t conn,
		  const struct identity *peer, const struct message *message,
		  struct error *err);

#endif
