#ifndef MEMBERSHIP_SYNC_H
#define MEMBERSHIP_SYNC_H

#include "wire/frame_types.h"

/**
 * DOC: sync
 *
 * Synchronization (anti-entropy) of the tables of two nodes over a connection:
 * they compare the digests of the data centres, then the digests of the
 * buckets of each data centre that differs, then the entries of the buckets
 * that differ, and transfer only the records that one side lacks. A joining
 * node synchronizes in the same way, with a table that holds only itself.
 */

enum frame_membership {
	FRAME_SYNC = FRAME_RANGE_MEMBERSHIP,
	FRAME_SYNC_BUCKETS,
	FRAME_SYNC_ENTRIES,
	FRAME_SYNC_RECORDS,
	FRAME_SYNC_WANT,
	FRAME_SYNC_BUSY,
	FRAME_SYNC_END,
	FRAME_STATUS_QUERY,
	FRAME_STATUS,
};

#endif
