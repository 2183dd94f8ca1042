#include "route/balance.h"

#include "route/split.h"
#include "route/subset.h"

/* Weight of one sample in the moving averages of an endpoint's service time,
 * and of a pool's service time and load. */
#define SERVICE_WEIGHT (1.0 / 8)
#define POOL_WEIGHT (1.0 / 32)
/* Minimum share of its slots that counts for an endpoint during its warm-up. */
#define WARM_SHARE_MIN 0.1
/* Weight of one answer in the error rates of an endpoint and of its pool. */
#define ERROR_WEIGHT (1.0 / 16)
#define POOL_ERROR_WEIGHT (1.0 / 128)
/* Difference to the error rate of the pool from which an endpoint counts as
 * faulty. Five errors in a row exceed it, or a third of many answers. Errors of
 * a common dependency raise both rates alike. */
#define ERROR_RATE_EXCESS_MIN 0.25
/* Ratio to the pool's service time from which an endpoint counts as slow. */
#define SLOW_FACTOR 1.5

enum {
	/* Lifetime of a reported load, as a number of service times of the pool
	 * and its bounds: after that time other calls run at the endpoint. */
	LOAD_AGE_SERVICES = 10,
	LOAD_AGE_MIN_US = 20 * 1000,
	LOAD_AGE_MAX_US = 2 * 1000 * 1000,
	/* Lifetime of a service time without new samples, after which that of
	 * the pool is used; also of the average load of a pool. */
	SERVICE_AGE_US = 10 * 1000 * 1000,
	/* Lifetime of a reported limit. Without requests there are no reports,
	 * and the end of the limit would not be noticed. */
	USABLE_SHARE_AGE_US = 4 * 1000 * 1000,
	REFUSED_AVOID_US = 5 * 1000,
	REFUSED_AVOID_MAX_US = 320 * 1000,
	FAILED_AVOID_US = 100 * 1000,
	FAILED_AVOID_MAX_US = 12800 * 1000,
	/* Shorter than for endpoints that do not answer: an attempt that gets
	 * an error answer ends quickly, and a recovered endpoint returns
	 * sooner. */
	ERROR_AVOID_MAX_US = 1600 * 1000,
	/* Time for the outcome of a probe to arrive before the next probe. */
	PROBE_WAIT_US = 500 * 1000,
	/* Longest pause between two probes, within which an endpoint that is
	 * wrongly considered unreachable is detected. */
	PROBE_GAP_MAX_US = 1600 * 1000,
	/* A single failure may be a fault of the endpoint alone. */
	CENTRE_UNANSWERED_MIN = 2,
	AVOID_DOUBLINGS_MAX = 7,
	CHOICES = 3,
	FREE_SLOT_CHOICES = 8,
	DRAWS_MAX = 4,
	US_PER_MS = 1000,
};

/* Levels of the requirements on an endpoint. Each level drops a requirement of
 * the level before it, so that a pool whose endpoints all had failures still
 * serves requests. */
enum level {
	LEVEL_GOOD,
	LEVEL_AVOIDED,
	LEVEL_TRIED,
	LEVEL_UNREACHABLE,
	LEVEL_COUNT,
};

static bool was_tried(const struct pick *pick, const struct endpoint *endpoint)
{
	uint32_t i;

	for (i = 0; i < pick->tried_count; i++) {
		if (pick->tried[i] == endpoint)
			return true;
	}
	return false;
}

static bool is_reachable(const struct pick *pick,
			 const struct endpoint *endpoint)
{
	const struct remote_centre *remote_centre = endpoint->remote_centre;

	return endpoint->reachable &&
	       (!remote_centre ||
		remote_centre->unreachable_until_us <= pick->now_us);
}

/*
 * Membership may be wrong about unreachable endpoints, so from time to time a
 * request is sent to one as a probe. A request to an endpoint that is really
 * unreachable waits until its deadline for a connection that does not open. For
 * that reason there is one probe at a time for the whole pool: otherwise each
 * caller would lose one request to each of the unreachable endpoints. A request
 * that a reachable gate may still answer or refuse in time is no probe.
 */
static bool may_probe(const struct pick *pick, const struct endpoint *endpoint)
{
	return !pick->untried_only &&
	       endpoint->avoid_until_us <= pick->now_us &&
	       pick->match->pool->probe_after_us <= pick->now_us;
}

static bool usable(const struct pick *pick, const struct endpoint *endpoint,
		   enum level level)
{
	if (endpoint->record.state != UPSTREAM_SERVING ||
	    endpoint->told_leaving || !split_allows(pick, endpoint))
		return false;
	if ((pick->untried_only || level < LEVEL_TRIED) &&
	    was_tried(pick, endpoint))
		return false;
	if (!is_reachable(pick, endpoint))
		return level == LEVEL_UNREACHABLE && may_probe(pick, endpoint);
	return level >= LEVEL_AVOIDED ||
	       (!endpoint->suspect && endpoint->avoid_until_us <= pick->now_us);
}

static bool any_usable(const struct pick *pick, enum level level)
{
	const struct pool *pool = pick->match->pool;
	uint32_t i;

	for (i = 0; i < pool->count; i++)
		if (usable(pick, pool->endpoints[i], level))
			return true;
	return false;
}

bool balance_has_healthy(const struct pick *pick)
{
	return any_usable(pick, LEVEL_GOOD);
}

bool balance_has_serving(const struct pick *pick)
{
	struct pick all = *pick;

	all.untried_only = false;
	return any_usable(&all, LEVEL_TRIED);
}

/* Returns the first usable endpoint other than @first, in the order of the
 * array from a random start, or NULL. */
static struct endpoint *search(struct random *random, const struct pick *pick,
			       struct range range, enum level level,
			       const struct endpoint *first)
{
	uint32_t start = random_below(random, range.count);
	uint32_t i;

	for (i = 0; i < range.count; i++) {
		uint32_t place = (start + i) % range.count;
		struct endpoint *endpoint = range.endpoints[place];

		if (endpoint != first && usable(pick, endpoint, level))
			return endpoint;
	}
	return NULL;
}

/* Returns a random usable endpoint other than @first, or NULL. A linear search
 * from an unusable endpoint would choose the endpoint after it twice as often
 * as others, so the search is used only after DRAWS_MAX random draws failed. */
static struct endpoint *draw(struct random *random, const struct pick *pick,
			     struct range range, enum level level,
			     const struct endpoint *first)
{
	uint32_t tries;

	for (tries = 0; tries < DRAWS_MAX; tries++) {
		uint32_t place = random_below(random, range.count);
		struct endpoint *endpoint = range.endpoints[place];

		if (endpoint != first && usable(pick, endpoint, level))
			return endpoint;
	}
	return search(random, pick, range, level, first);
}

static double warm_share(const struct pick *pick,
			 const struct endpoint *endpoint)
{
	int64_t cold_us = pick->match->profile->cold_start_ms * US_PER_MS;
	int64_t age_us = pick->now_us - endpoint->serving_since_us;
	double share;

	if (age_us >= cold_us)
		return 1;
	share = (double)age_us / (double)cold_us;
	return share < WARM_SHARE_MIN ? WARM_SHARE_MIN : share;
}

/* Returns the weight of a sample: 1 if it is new, 0 from the age @age_us on. */
static double freshness(int64_t at_us, int64_t now_us, int64_t age_us)
{
	int64_t left_us = at_us + age_us - now_us;

	return left_us <= 0 ? 0 : (double)left_us / (double)age_us;
}

static int64_t load_age_us(const struct pick *pick)
{
	double age_us = pick->match->pool->service_us * LOAD_AGE_SERVICES;

	if (age_us < LOAD_AGE_MIN_US)
		return LOAD_AGE_MIN_US;
	return age_us > LOAD_AGE_MAX_US ? LOAD_AGE_MAX_US : (int64_t)age_us;
}

/* Returns the average load of the pool, which decays to 0 without reports. */
static double average_load(const struct pool *pool, int64_t now_us)
{
	return pool->load * freshness(pool->load_at_us, now_us, SERVICE_AGE_US);
}

/* Returns the service time of the request in the pool: that of its kind if it
 * is reported, otherwise the average over all kinds; 0 if it is unknown. */
static double pool_service_us(const struct pick *pick)
{
	const struct pool *pool = pick->match->pool;
	double usual_us = speed_usual_us(&pool->speed, pick->match->kind->name);

	return usual_us > 0 ? usual_us : pool->service_us;
}

/*
 * Returns the service time of the endpoint if it differs from that of the pool
 * by more than SLOW_FACTOR, otherwise that of the pool. Averages of few samples
 * differ by chance, and without this threshold a caller would prefer some
 * endpoints for seconds without reason.
 */
static double measured_service_us(const struct pick *pick,
				  const struct endpoint *endpoint)
{
	double pool_us = pick->match->pool->service_us;
	double gap_us = endpoint->service_us - pool_us;

	if (endpoint->service_us <= 0 || pool_us <= 0)
		return pool_us > 0 ? pool_us : 1;
	if (gap_us < pool_us * (SLOW_FACTOR - 1) &&
	    gap_us > pool_us * (1 / SLOW_FACTOR - 1))
		return pool_us;
	return pool_us + gap_us * freshness(endpoint->service_at_us,
					    pick->now_us, SERVICE_AGE_US);
}

static double expected_service_us(const struct pick *pick,
				  const struct endpoint *endpoint)
{
	double usual_us = speed_usual_us(&pick->match->pool->speed,
					 pick->match->kind->name);

	if (usual_us <= 0)
		return measured_service_us(pick, endpoint);
	return usual_us * speed_factor(&endpoint->speed, pick->now_us);
}

/* Returns how many slots the rate limit of the upstream can keep busy, at least
 * one: an upstream that is idle may take a request at once. */
static double usable_slots(const struct pick *pick,
			   const struct endpoint *endpoint)
{
	double slots = endpoint->record.slots ? endpoint->record.slots : 1;
	double fresh = freshness(endpoint->usable_share_at_us, pick->now_us,
				 USABLE_SHARE_AGE_US);
	double usable;

	if (!endpoint->usable_share_at_us)
		return slots;
	usable = slots * (1 - (1 - endpoint->usable_share) * fresh);
	return usable > 1 ? usable : 1;
}

/*
 * Returns the expected number of calls per slot, the next call included. The
 * calls of this node are counted. Those of other nodes are estimated from the
 * last report; as it ages, the estimate moves to the average of the pool. The
 * count of own calls also protects against an endpoint that always reports no
 * load: without it every caller would send all requests there.
 */
static double expected_load(const struct pick *pick,
			    const struct endpoint *endpoint)
{
	double slots = endpoint->record.slots ? endpoint->record.slots : 1;
	double others_average =
		average_load(pick->match->pool, pick->now_us) * slots;
	double others = endpoint->load * slots - endpoint->load_in_flight;

	/* Other nodes send fewer requests to a slow endpoint. */
	others_average *=
		pool_service_us(pick) / expected_service_us(pick, endpoint);
	if (others < 0)
		others = 0;
	others = others_average +
		 (others - others_average) * freshness(endpoint->load_at_us,
						       pick->now_us,
						       load_age_us(pick));
	slots = usable_slots(pick, endpoint) * warm_share(pick, endpoint);
	return (others + endpoint->in_flight + 1) / slots;
}

static double expected_wait_us(const struct pick *pick,
			       const struct endpoint *endpoint)
{
	double over = expected_load(pick, endpoint) - 1;

	return over > 0 ? over * expected_service_us(pick, endpoint) : 0;
}

/* Returns the cost of a choice. It grows with the load also while slots are
 * free and no wait is expected, so that free slots remain for bursts. */
static double cost(const struct pick *pick, const struct endpoint *endpoint)
{
	return (1 + expected_load(pick, endpoint)) *
	       expected_service_us(pick, endpoint);
}

/* Returns true if @a is the better choice. Of avoided endpoints the one whose
 * avoidance ends first is better: an endpoint that refused is avoided for a
 * shorter time than one that failed. The latter may lose another request, which
 * can then be repeated only if it is idempotent. */
static bool is_better(const struct pick *pick, enum level level,
		      const struct endpoint *a, const struct endpoint *b)
{
	if (a->suspect != b->suspect)
		return b->suspect;
	if (level == LEVEL_AVOIDED && a->avoid_until_us != b->avoid_until_us)
		return a->avoid_until_us < b->avoid_until_us;
	return cost(pick, a) < cost(pick, b);
}

/* Returns how many random endpoints are compared. With the best of all
 * endpoints, every caller would choose the same endpoint until its next report.
 * The search for a free slot may compare more where speeds differ: a gate that
 * has no slot free refuses at once, so that old reports do no harm. */
static uint32_t choice_count(const struct pick *pick)
{
	bool speeds_known = pick->match->pool->speed.count > 0;

	return pick->local_only && speeds_known ? FREE_SLOT_CHOICES : CHOICES;
}

/* Returns the best of a few random endpoints. */
static struct endpoint *choose(struct random *random, const struct pick *pick,
			       struct range range, enum level level)
{
	uint32_t choices = choice_count(pick);
	struct endpoint *best;
	uint32_t i;

	if (!range.count)
		return NULL;
	best = draw(random, pick, range, level, NULL);
	for (i = 1; best && i < choices && i < range.count; i++) {
		struct endpoint *other = draw(random, pick, range, level, best);

		if (other && is_better(pick, level, other, best))
			best = other;
	}
	return best;
}

/* Returns true if the expected wait at the remote endpoint is shorter than at
 * the local one by more than the spill_wait_ms of the profile. */
static bool is_worth_spilling(const struct pick *pick,
			      const struct endpoint *here,
			      const struct endpoint *there)
{
	double gain_us =
		expected_wait_us(pick, here) - expected_wait_us(pick, there);

	return gain_us >
	       (double)(pick->match->profile->spill_wait_ms * US_PER_MS);
}

static struct endpoint *choose_at_level(struct random *random,
					const struct pick *pick,
					enum level level)
{
	struct pool *pool = pick->match->pool;
	struct range local = subset_local(pool);
	struct endpoint *here = choose(random, pick, local, level);
	struct range remote;
	struct endpoint *there;

	if (!pick->match->profile->spill || pick->local_only)
		return here;
	if (here &&
	    expected_wait_us(pick, here) <= (double)pick->local_wait_max_us)
		return here;
	remote = subset_remote(pool);
	there = choose(random, pick, remote, level);
	if (!here)
		return there;
	return there && is_worth_spilling(pick, here, there) ? there : here;
}

/* Returns the healthy endpoint of pick.among with the lowest cost, or NULL. The
 * reports of these endpoints are recent, so no random choice is needed. */
static struct endpoint *choose_among(const struct pick *pick)
{
	struct endpoint *best = NULL;
	uint32_t i;

	for (i = 0; i < pick->among_count; i++) {
		struct endpoint *endpoint = pick->among[i];

		if (!endpoint->listed || endpoint->pool != pick->match->pool ||
		    !usable(pick, endpoint, LEVEL_GOOD))
			continue;
		if (!best || cost(pick, endpoint) < cost(pick, best))
			best = endpoint;
	}
	return best;
}

struct endpoint *balance_pick(struct random *random, const struct pick *pick)
{
	/* With local_only set, only healthy endpoints: a healthy endpoint of
	 * another data centre is better than an avoided local one. */
	enum level end = pick->local_only ? LEVEL_AVOIDED : LEVEL_COUNT;
	struct endpoint *endpoint = NULL;
	enum level level;

	if (pick->among)
		return choose_among(pick);
	for (level = LEVEL_GOOD; !endpoint && level < end; level++)
		endpoint = choose_at_level(random, pick, level);
	if (endpoint && !is_reachable(pick, endpoint))
		endpoint->pool->probe_after_us = pick->now_us + PROBE_WAIT_US;
	return endpoint;
}

static void record_load(struct endpoint *endpoint, double load, int64_t now_us)
{
	struct pool *pool = endpoint->pool;

	if (load < 0)
		return;
	endpoint->load = load;
	/* The report still included the call that has just ended. */
	endpoint->load_in_flight = endpoint->in_flight + 1;
	endpoint->load_at_us = now_us;
	if (!pool)
		return;
	pool->load = average_load(pool, now_us);
	pool->load += (load - pool->load) * POOL_WEIGHT;
	pool->load_at_us = now_us;
}

/* Returns true if a call that began at @began_us may have waited for the rate
 * limit of the upstream, also if the limit has ended since. The age of a report
 * does not end a limit: without calls there are no reports, and the first call
 * after such a time waits. */
static bool may_have_waited_for_limit(const struct endpoint *endpoint,
				      int64_t began_us)
{
	if (!endpoint->limited_at_us)
		return false;
	if (endpoint->usable_share < 1 ||
	    began_us <= endpoint->limit_ended_at_us)
		return true;
	return began_us - endpoint->limited_at_us < USABLE_SHARE_AGE_US;
}

/*
 * Estimates the service time: the latency divided by the number of calls per
 * slot, which removes the wait at the gate. The divisor is the larger one of
 * the reported load and the average load of the pool. Otherwise an endpoint
 * that reports no load would look slow because of its waits, be avoided, and
 * leave the others overloaded. An endpoint that is slow still looks slow.
 */
static void record_service_time(struct endpoint *endpoint, double load,
				int64_t latency_us, int64_t now_us)
{
	struct pool *pool = endpoint->pool;
	double load_divisor = load > 1 ? load : 1;
	double sample;

	if (!pool || may_have_waited_for_limit(endpoint, now_us - latency_us))
		return;
	if (load_divisor < pool->load)
		load_divisor = pool->load;
	sample = (double)latency_us / load_divisor;
	if (endpoint->service_us <= 0)
		endpoint->service_us = sample;
	endpoint->service_us +=
		(sample - endpoint->service_us) * SERVICE_WEIGHT;
	endpoint->service_at_us = now_us;
	if (pool->service_us <= 0)
		pool->service_us = sample;
	pool->service_us += (sample - pool->service_us) * POOL_WEIGHT;
}

/* Returns an exponential backoff with jitter for the @in_a_row-th consecutive
 * failure. The jitter keeps callers from returning all at once. */
static int64_t backoff_us(struct random *random, uint32_t in_a_row,
			  int64_t min_us, int64_t max_us)
{
	uint32_t doublings = in_a_row - 1;
	int64_t wait_us;

	if (doublings > AVOID_DOUBLINGS_MAX)
		doublings = AVOID_DOUBLINGS_MAX;
	wait_us = min_us << doublings;
	if (wait_us > max_us)
		wait_us = max_us;
	return wait_us / 2 + random_jitter(random, wait_us / 2);
}

static void avoid(struct random *random, struct endpoint *endpoint,
		  uint32_t in_a_row, int64_t min_us, int64_t max_us,
		  int64_t now_us)
{
	int64_t avoid_us = backoff_us(random, in_a_row, min_us, max_us);

	if (endpoint->avoid_until_us < now_us + avoid_us)
		endpoint->avoid_until_us = now_us + avoid_us;
}

static void record_error(struct endpoint *endpoint, bool error)
{
	struct pool *pool = endpoint->pool;
	double sample = error ? 1 : 0;

	if (!endpoint->reports_errors)
		endpoint->error_rate +=
			(sample - endpoint->error_rate) * ERROR_WEIGHT;
	if (pool)
		pool->error_rate +=
			(sample - pool->error_rate) * POOL_ERROR_WEIGHT;
}

/*
 * An upstream that answers errors often answers faster than others, looks less
 * loaded, and would receive more than its share of the requests. Its error rate
 * is compared with that of the pool: when all endpoints fail alike, the cause
 * is a common dependency, and avoiding some of them does not help.
 */
static bool is_faulty(const struct endpoint *endpoint)
{
	const struct pool *pool = endpoint->pool;

	return pool &&
	       endpoint->error_rate >= pool->error_rate + ERROR_RATE_EXCESS_MIN;
}

/* A successful answer does not end the avoidance of an endpoint that is still
 * faulty, since such an endpoint answers some of its requests well. */
static void record_answer(struct random *random, struct endpoint *endpoint,
			  bool error, int64_t now_us)
{
	endpoint->refusals = 0;
	record_error(endpoint, error);
	if (is_faulty(endpoint)) {
		avoid(random, endpoint, ++endpoint->failures, FAILED_AVOID_US,
		      ERROR_AVOID_MAX_US, now_us);
	} else if (!error) {
		endpoint->failures = 0;
		endpoint->avoid_until_us = 0;
	}
}

/* Sets the time of the next probe after the outcome of a probe. */
static void record_probe(struct random *random, struct pool *pool, bool failed,
			 int64_t now_us)
{
	pool->probe_failures = failed ? pool->probe_failures + 1 : 0;
	pool->probe_after_us = now_us;
	if (failed)
		pool->probe_after_us += backoff_us(random, pool->probe_failures,
						   FAILED_AVOID_US,
						   PROBE_GAP_MAX_US);
}

/* Any answer or refusal shows that the data centre is reachable. */
static void record_remote_centre(struct random *random,
				 struct remote_centre *remote_centre,
				 bool answered, int64_t now_us)
{
	remote_centre->unanswered = answered ? 0
					     : remote_centre->unanswered + 1;
	remote_centre->unreachable_until_us = now_us;
	if (remote_centre->unanswered >= CENTRE_UNANSWERED_MIN)
		remote_centre->unreachable_until_us += backoff_us(
			random,
			remote_centre->unanswered - CENTRE_UNANSWERED_MIN + 1,
			FAILED_AVOID_US, PROBE_GAP_MAX_US);
}

void balance_record_result(struct random *random, struct endpoint *endpoint,
			   enum endpoint_result result, double load,
			   int64_t latency_us, int64_t now_us)
{
	record_load(endpoint, load, now_us);
	if (endpoint->remote_centre && (load >= 0 || result == ENDPOINT_FAILED))
		record_remote_centre(random, endpoint->remote_centre, load >= 0,
				     now_us);
	if (endpoint->pool && !endpoint->reachable &&
	    result != ENDPOINT_CANCELLED)
		record_probe(random, endpoint->pool, result == ENDPOINT_FAILED,
			     now_us);
	switch (result) {
	case ENDPOINT_ANSWERED:
		record_service_time(endpoint, load, latency_us, now_us);
		record_answer(random, endpoint, false, now_us);
		break;
	case ENDPOINT_ERROR:
		record_answer(random, endpoint, true, now_us);
		break;
	case ENDPOINT_REFUSED:
		endpoint->failures = 0;
		/* The gate is full, or the tenant's share is used up, and the
		 * reported load accounts for it. If the endpoint were avoided
		 * as well, the overload of one tenant would send the requests
		 * of all others to another data centre. */
		if (load >= 1)
			break;
		avoid(random, endpoint, ++endpoint->refusals, REFUSED_AVOID_US,
		      REFUSED_AVOID_MAX_US, now_us);
		break;
	case ENDPOINT_FAILED:
		avoid(random, endpoint, ++endpoint->failures, FAILED_AVOID_US,
		      FAILED_AVOID_MAX_US, now_us);
		break;
	case ENDPOINT_CANCELLED:
		break;
	}
}
