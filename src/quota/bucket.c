#include "quota/bucket.h"

#include <math.h>
#include <string.h>

#include <xxhash.h>

#include "os/clock.h"

enum {
	/* Time over which the share of an owner is averaged. */
	PART_US = 1000 * 1000,
	/* Time in which tokens above the cap fall to a third. */
	ABOVE_CAP_US = 250 * 1000,
	/* A bucket with so many tokens, or this part of what it may save, is
	 * low: tokens come in lumps. */
	LOW_TOKENS = 2,
	LATE_TOGETHER_US = 500 * 1000,
};

static const double low_part = 0.05;

/* Rounding errors must not make a token out of 0.999999 of one. */
static const double rounding = 1e-9;

uint64_t quota_tenant_id(const char *name)
{
	return XXH64(name, strlen(name), 0);
}

uint32_t quota_group(uint64_t tenant)
{
	return (uint32_t)(tenant % QUOTA_GROUPS);
}

static double decay(int64_t elapsed_us, int64_t constant_us)
{
	return elapsed_us > 0 ? exp(-(double)elapsed_us / (double)constant_us)
			      : 1;
}

void quota_share_add(struct quota_share *share, double seconds, int64_t now_us)
{
	share->part *= decay(now_us - share->at_us, PART_US);
	share->part += seconds * US_PER_S / PART_US;
	share->at_us = now_us;
	share->contributed_s += seconds;
}

void quota_bucket_init(struct quota_bucket *bucket,
		       const struct quota_limit *limit,
		       const struct quota_share *share, int64_t now_us)
{
	bucket->per_s = limit->per_s;
	bucket->burst = limit->burst;
	bucket->tokens = 0;
	bucket->contributed_s = share->contributed_s;
	bucket->at_us = now_us;
	bucket->low_since_us = now_us;
}

double quota_bucket_cap(const struct quota_bucket *bucket,
			const struct quota_share *share)
{
	double part = share->part < 1 ? share->part : 1;
	double cap = bucket->burst > QUOTA_SAVED_MIN ? bucket->burst
						     : QUOTA_SAVED_MIN;

	cap *= part;
	if (cap < 1 && part * QUOTA_WHOLE_PARTS >= 1)
		return 1;
	return cap;
}

void quota_bucket_set_limit(struct quota_bucket *bucket,
			    const struct quota_limit *limit,
			    const struct quota_share *share)
{
	double cap;

	bucket->per_s = limit->per_s;
	bucket->burst = limit->burst;
	cap = quota_bucket_cap(bucket, share);
	if (bucket->tokens > cap)
		bucket->tokens = cap;
}

static void note_level(struct quota_bucket *bucket,
		       const struct quota_share *share, int64_t now_us)
{
	double low =
		fmax(LOW_TOKENS, low_part * quota_bucket_cap(bucket, share));

	if (bucket->tokens > low)
		bucket->low_since_us = now_us;
}

void quota_bucket_refill(struct quota_bucket *bucket,
			 const struct quota_share *share, int64_t now_us)
{
	double cap = quota_bucket_cap(bucket, share);
	double made =
		bucket->per_s * (share->contributed_s - bucket->contributed_s);

	if (bucket->tokens > cap)
		bucket->tokens = cap + (bucket->tokens - cap) *
					       decay(now_us - bucket->at_us,
						     ABOVE_CAP_US);
	else
		bucket->tokens = fmin(bucket->tokens + made, cap);
	bucket->contributed_s = share->contributed_s;
	bucket->at_us = now_us;
	note_level(bucket, share, now_us);
}

/* Nodes that were paused together return one after the other: the tokens of the
 * first ones do not count as saved, and all of them are bounded together. */
void quota_bucket_add_late(struct quota_bucket *bucket,
			   const struct quota_share *share, double tokens,
			   int64_t since_us)
{
	double cap = quota_bucket_cap(bucket, share);

	if (bucket->at_us - bucket->late_us >= LATE_TOGETHER_US) {
		bucket->late_low_since_us = bucket->low_since_us;
		bucket->late_tokens = 0;
	}
	if (bucket->late_low_since_us > since_us)
		return;
	tokens = fmin(tokens, cap - bucket->late_tokens);
	if (tokens <= 0)
		return;
	bucket->late_us = bucket->at_us;
	bucket->late_tokens += tokens;
	quota_bucket_add(bucket, share, tokens);
}

void quota_bucket_add(struct quota_bucket *bucket,
		      const struct quota_share *share, double tokens)
{
	double room = quota_bucket_cap(bucket, share) - bucket->tokens;

	if (room > 0)
		bucket->tokens += fmin(tokens, room);
}

uint32_t quota_bucket_take(struct quota_bucket *bucket, uint32_t wanted)
{
	double whole = floor(bucket->tokens + rounding);
	uint32_t taken = whole < wanted ? (uint32_t)whole : wanted;

	bucket->tokens -= taken;
	if (bucket->tokens < 0)
		bucket->tokens = 0;
	return taken;
}
