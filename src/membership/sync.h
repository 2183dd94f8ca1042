#ifndef MEMBERSHIP_SYNC_H
#define MEMBERSHIP_SYNC_H

#include "wire/frame_types.h"

/**
 * DOC: sync
 *
 * Comparison of two tables over a connection: digests per data centre, then
 * digests of the buckets of those that differ, then what is in the buckets
 * that differ, then only the records that one side lacks. A node that joins
 * is one whose table is empty.
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
