#ifndef QUOTA_BUCKET_H
#define QUOTA_BUCKET_H

#include "quota/quota_defs.h"

/**
 * DOC: quota bucket
 *
 * Tokens of one tenant at one owner. A bucket starts empty and is filled only
 * by the time that nodes contribute: an owner without contributions makes no
 * token, however long it waits. No clock.
 */

enum {
	/* Tokens that all buckets of a tenant may save together at least: a
	 * bucket that cannot save a whole token would serve nothing. */
	QUOTA_SAVED_MIN = 9,
	/* A bucket that gets at least this part (1/16) of the limit may save a
	 * whole token. */
	QUOTA_WHOLE_PARTS = 16,
};

/**
 * struct quota_bucket - see DOC
 * @contributed_s: struct quota_share.contributed_s at the last refill
 * @at_us: time of the last refill
 * @low_since_us: time since which it has held few tokens
 * @late_us: time of the last tokens that came late
 * @late_tokens: tokens that came late together
 * @late_low_since_us: @low_since_us before them
 */
struct quota_bucket {
	double per_s;
	double burst;
	double tokens;
	double contributed_s;
	int64_t at_us;
	int64_t low_since_us;
	int64_t late_us;
	double late_tokens;
	int64_t late_low_since_us;
};

/**
 * struct quota_share - the part of all limits that an owner receives
 * @contributed_s: seconds contributed to it so far, each divided by the number
 *	of nodes
 * @part: contributed seconds in a second of late, 0 to 1
 * @at_us: time of the last update of @part
 */
struct quota_share {
	double contributed_s;
	double part;
	int64_t at_us;
};

/** quota_share_add() - adds contributed seconds; 0 only ages @share->part. */
void quota_share_add(struct quota_share *share, double seconds, int64_t now_us);

/** quota_bucket_init() - makes an empty bucket. */
void quota_bucket_init(struct quota_bucket *bucket,
		       const struct quota_limit *limit,
		       const struct quota_share *share, int64_t now_us);

/** quota_bucket_set_limit() - tokens beyond a lower limit are lost. */
void quota_bucket_set_limit(struct quota_bucket *bucket,
			    const struct quota_limit *limit,
			    const struct quota_share *share);

/** quota_bucket_cap() - returns the most tokens that may be saved. */
double quota_bucket_cap(const struct quota_bucket *bucket,
			const struct quota_share *share);

/** quota_bucket_refill() - adds what was contributed since the last refill.
 *
 * Tokens above the cap, which come from other owners or were saved with a
 * larger share, are lost within a second.
 */
void quota_bucket_refill(struct quota_bucket *bucket,
			 const struct quota_share *share, int64_t now_us);

/** quota_bucket_add() - adds tokens that a node gave back, up to the cap. */
void quota_bucket_add(struct quota_bucket *bucket,
		      const struct quota_share *share, double tokens);

/**
 * quota_bucket_add_late() - adds the tokens of a time that a node could not
 *	contribute
 * @tokens: tokens that this time would have made
 * @since_us: begin of that time
 *
 * They count if the bucket has been low since then: it would have had room for
 * them, so that they are no more than what is saved in any case.
 */
void quota_bucket_add_late(struct quota_bucket *bucket,
			   const struct quota_share *share, double tokens,
			   int64_t since_us);

/** quota_bucket_take() - takes whole tokens; returns how many. */
uint32_t quota_bucket_take(struct quota_bucket *bucket, uint32_t wanted);

#endif
