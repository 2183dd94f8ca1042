#ifndef SPREAD_SPREAD_DEFS_H
#define SPREAD_SPREAD_DEFS_H

#include "spread/spread.h"
#include "wire/frame_types.h"

/**
 * DOC: spread internals
 *
 * Declarations shared by the pulling side, the serving side and the list of
 * sources.
 */

/** enum frame_spread - frame types, with the fields of each. */
enum frame_spread {
	FRAME_SPREAD_GET = FRAME_RANGE_SPREAD, /* version applied, or 0 */
	FRAME_SPREAD_HEAD, /* version, head, number of bodies that follow */
	/* compressed body, bodies that follow, uncompressed size */
	FRAME_SPREAD_BODY,
	FRAME_SPREAD_GET_BODIES, /* hashes */
	FRAME_SPREAD_NOT_HELD,	 /* version applied */
	FRAME_SPREAD_BUSY,	 /* wait in ms, version, other nodes to ask */
};

enum { SPREAD_HASHES_MAX = 64, SPREAD_BUSY_MAX_MS = 60 * 1000 };

struct spread_action *spread_action(struct spread *spread,
				    enum spread_action_type type);
void spread_queue_frame(struct spread *spread, uint64_t conn,
			const struct address *to, bool new_connection);
uint64_t spread_version(const struct spread *spread);

/* Sources: nodes from which a version can be pulled. */
struct spread_source *source_choose(struct spread *spread);
struct spread_source *source_find(struct spread *spread,
				  const struct address *address);
void source_add(struct spread *spread, const struct address *address,
		uint64_t version);

/* Serving side. */
bool serve_get(struct spread *spread, uint64_t conn_id,
	       const struct identity *peer, const struct message *message,
	       struct error *err);
bool serve_bodies(struct spread *spread, uint64_t conn_id,
		  const struct identity *peer, const struct message *message,
		  struct error *err);

#endif
