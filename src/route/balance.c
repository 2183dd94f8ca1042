#include "route/balance.h"

#include "route/split.h"

/* Weight of one sample in the moving averages. */
#define SERVICE_WEIGHT (1.0 / 8)
#define POOL_WEIGHT (1.0 / 32)
/* Least share of its slots that a cold endpoint is taken to have. */
#define COLD_SHARE 0.1
/* Of the shares of answers that are errors, for one endpoint and its pool. */
#define ERROR_WEIGHT (1.0 / 16)
#define POOL_ERROR_WEIGHT (1.0 / 128)
/* Above its pool's share by this an endpoint is at fault, and not what all of
 * them call: five errors in a row, or a third of many answers. */
#define ERROR_RATE_FAULTY 0.25
/* Service time over the pool's from which an endpoint counts as slow. */
#define SLOW_FACTOR 1.5

enum {
	/* What an answer said of the load there is worth nothing after as many
	 * service times, within bounds: by then others run there. */
	LOAD_AGE_SERVICES = 10,
	LOAD_AGE_MIN_US = 20 * 1000,
	LOAD_AGE_MAX_US = 2 * 1000 * 1000,
	/* A service time that nothing confirms is taken for the pool's after. */
	SERVICE_AGE_US = 10 * 1000 * 1000,
	REFUSED_AVOID_US = 5 * 1000,
	REFUSED_AVOID_MAX_US = 320 * 1000,
	FAILED_AVOID_US = 100 * 1000,
	FAILED_AVOID_MAX_US = 12800 * 1000,
	/* One that answers errors costs a probe little, and is needed as soon
	 * as it has recovered. */
	ERROR_AVOID_MAX_US = 1600 * 1000,
	/* By then a connection has opened or has been given up. */
	PROBE_WAIT_US = 500 * 1000,
	/* Longest pause between two such requests: a judgement that is wrong
	 * is found out within it. */
	PROBE_GAP_MAX_US = 1600 * 1000,
	/* One may be the endpoint's own trouble. */
	CENTRE_UNANSWERED_MIN = 2,
	AVOID_DOUBLINGS_MAX = 7,
	CHOICES = 3,
	DRAWS_MAX = 4,
	US_PER_MS = 1000,
};

/* How much is asked of an endpoint; each level drops one demand, so that a
 * pool is never empty only because all of it has been in trouble. */
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

static bool in_reach(const struct pick *pick, const struct endpoint *endpoint)
{
	const struct remote_centre *remote_centre = endpoint->remote_centre;

	return endpoint->reachable &&
	       (!remote_centre ||
		remote_centre->unreachable_until_us <= pick->now_us);
}

/*
 * Membership may be wrong about those that it cannot reach, so now and then a
 * request finds out. Each of the others would be held until its deadline by a
 * connection that does not open, and its caller would learn too late that it
 * has to go elsewhere. One at a time for the whole pool: with a hundred of
 * them out of reach each caller would else lose a hundred requests. And none
 * that could still be told by a gate in reach to wait or to come back.
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
	    !split_allows(pick, endpoint))
		return false;
	if ((pick->untried_only || level < LEVEL_TRIED) &&
	    was_tried(pick, endpoint))
		return false;
	if (!in_reach(pick, endpoint))
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
	struct pick again = *pick;

	again.untried_only = false;
	return any_usable(&again, LEVEL_TRIED);
}

/* A part of a pool: the own data centre or the others. */
struct range {
	uint32_t from;
	uint32_t count;
};

/* The first usable endpoint from a random place on, other than @first. */
static struct endpoint *search(struct random *random, const struct pick *pick,
			       struct range range, enum level level,
			       const struct endpoint *first)
{
	const struct pool *pool = pick->match->pool;
	uint32_t start = random_below(random, range.count);
	uint32_t i;

	for (i = 0; i < range.count; i++) {
		uint32_t place = (start + i) % range.count;
		struct endpoint *endpoint = pool->endpoints[range.from + place];

		if (endpoint != first && usable(pick, endpoint, level))
			return endpoint;
	}
	return NULL;
}

/* A usable endpoint at random, other than @first. Searching on from one that
 * is not usable would give its neighbour twice the share, so that is done
 * only where few are usable. */
static struct endpoint *draw(struct random *random, const struct pick *pick,
			     struct range range, enum level level,
			     const struct endpoint *first)
{
	const struct pool *pool = pick->match->pool;
	uint32_t tries;

	for (tries = 0; tries < DRAWS_MAX; tries++) {
		uint32_t place = random_below(random, range.count);
		struct endpoint *endpoint = pool->endpoints[range.from + place];

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
	return share < COLD_SHARE ? COLD_SHARE : share;
}

/* 1 for what was learned now, 0 for what is as old as @age_us. */
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

/* What endpoints of a pool tell on average; after a quiet time, nothing. */
static double usual_load(const struct pool *pool, int64_t now_us)
{
	return pool->load * freshness(pool->load_at_us, now_us, SERVICE_AGE_US);
}

/*
 * Service times of a few answers differ by chance. Taken at their word each
 * caller would prefer some endpoints for seconds; so only what differs by
 * half counts as slow or fast.
 */
static double expected_service_us(const struct pick *pick,
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

/*
 * Calls there for each slot, this one included. Own calls are known exactly;
 * those of others only as the last answer told, and the older that is, the
 * more it is taken for the pool's average: of one that is long silent nothing
 * is known, neither good nor bad. An endpoint that always tells of no load is
 * still bounded by the own count: otherwise every caller would send it
 * everything.
 */
static double expected_load(const struct pick *pick,
			    const struct endpoint *endpoint)
{
	double slots = endpoint->record.slots ? endpoint->record.slots : 1;
	double usual = usual_load(pick->match->pool, pick->now_us) * slots;
	double others = endpoint->load * slots - endpoint->load_in_flight;

	/* Others send the less the slower it is. */
	usual *= pick->match->pool->service_us /
		 expected_service_us(pick, endpoint);
	if (others < 0)
		others = 0;
	others = usual + (others - usual) * freshness(endpoint->load_at_us,
						      pick->now_us,
						      load_age_us(pick));
	slots *= warm_share(pick, endpoint);
	return (others + endpoint->in_flight + 1) / slots;
}

static double expected_wait_us(const struct pick *pick,
			       const struct endpoint *endpoint)
{
	double over = expected_load(pick, endpoint) - 1;

	return over > 0 ? over * expected_service_us(pick, endpoint) : 0;
}

/* Below its slots an endpoint has no wait; the lesser load still goes first,
 * so that bursts find room. */
static double cost(const struct pick *pick, const struct endpoint *endpoint)
{
	return (1 + expected_load(pick, endpoint)) *
	       expected_service_us(pick, endpoint);
}

/* Of endpoints in trouble the one that is due back first: one that refused
 * is alive, one that failed may swallow a request that must not run twice. */
static bool better(const struct pick *pick, enum level level,
		   const struct endpoint *a, const struct endpoint *b)
{
	if (a->suspect != b->suspect)
		return b->suspect;
	if (level == LEVEL_AVOIDED && a->avoid_until_us != b->avoid_until_us)
		return a->avoid_until_us < b->avoid_until_us;
	return cost(pick, a) < cost(pick, b);
}

/* The best of a few at random: choosing the best of all would send every
 * caller to the same endpoint until its next report. */
static struct endpoint *choose(struct random *random, const struct pick *pick,
			       struct range range, enum level level)
{
	struct endpoint *best;
	uint32_t i;

	if (!range.count)
		return NULL;
	best = draw(random, pick, range, level, NULL);
	for (i = 1; best && i < CHOICES && i < range.count; i++) {
		struct endpoint *other = draw(random, pick, range, level, best);

		if (other && better(pick, level, other, best))
			best = other;
	}
	return best;
}

/* Whether the way to another data centre is worth it. */
static bool spills(const struct pick *pick, const struct endpoint *here,
		   const struct endpoint *there)
{
	double gain_us =
		expected_wait_us(pick, here) - expected_wait_us(pick, there);

	return gain_us >
	       (double)(pick->match->profile->spill_wait_ms * US_PER_MS);
}

static struct endpoint *choose_at(struct random *random,
				  const struct pick *pick, enum level level)
{
	const struct pool *pool = pick->match->pool;
	struct range local = { 0, pool->local_count };
	struct range remote = { pool->local_count,
				pool->count - pool->local_count };
	struct endpoint *here = choose(random, pick, local, level);
	struct endpoint *there;

	if (!pick->match->profile->spill || pick->local_only)
		return here;
	if (here &&
	    expected_wait_us(pick, here) <= (double)pick->local_wait_max_us)
		return here;
	there = choose(random, pick, remote, level);
	if (!here)
		return there;
	return there && spills(pick, here, there) ? there : here;
}

/* What they told of their load is fresh, so chance has no part in it. */
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
	/* In the own data centre alone only sound ones: elsewhere there may be
	 * sound ones, which go before these. */
	enum level end = pick->local_only ? LEVEL_AVOIDED : LEVEL_COUNT;
	struct endpoint *endpoint = NULL;
	enum level level;

	if (pick->among)
		return choose_among(pick);
	for (level = LEVEL_GOOD; !endpoint && level < end; level++)
		endpoint = choose_at(random, pick, level);
	if (endpoint && !in_reach(pick, endpoint))
		endpoint->pool->probe_after_us = pick->now_us + PROBE_WAIT_US;
	return endpoint;
}

static void learn_load(struct endpoint *endpoint, double load, int64_t now_us)
{
	struct pool *pool = endpoint->pool;

	if (load < 0)
		return;
	endpoint->load = load;
	/* It was told while this call was still there. */
	endpoint->load_in_flight = endpoint->in_flight + 1;
	endpoint->load_at_us = now_us;
	if (!pool)
		return;
	pool->load = usual_load(pool, now_us);
	pool->load += (load - pool->load) * POOL_WEIGHT;
	pool->load_at_us = now_us;
}

/*
 * The wait at the gate is taken out by the load that the endpoint tells of or
 * by what is usual in its pool, whichever is more: one that tells of no load
 * would otherwise look slow for its waits, be shunned, and leave the others
 * with more than they can take. One that is truly slow still looks so.
 */
static void learn_service(struct endpoint *endpoint, double load,
			  int64_t latency_us, int64_t now_us)
{
	struct pool *pool = endpoint->pool;
	double waited = load > 1 ? load : 1;
	double sample;

	if (!pool)
		return;
	if (waited < pool->load)
		waited = pool->load;
	sample = (double)latency_us / waited;
	if (endpoint->service_us <= 0)
		endpoint->service_us = sample;
	endpoint->service_us +=
		(sample - endpoint->service_us) * SERVICE_WEIGHT;
	endpoint->service_at_us = now_us;
	if (pool->service_us <= 0)
		pool->service_us = sample;
	pool->service_us += (sample - pool->service_us) * POOL_WEIGHT;
}

/* Doubling with jitter, so that callers do not return all at once. */
static int64_t backoff_us(struct random *random, uint32_t in_a_row,
			  int64_t least_us, int64_t most_us)
{
	uint32_t doublings = in_a_row - 1;
	int64_t wait_us;

	if (doublings > AVOID_DOUBLINGS_MAX)
		doublings = AVOID_DOUBLINGS_MAX;
	wait_us = least_us << doublings;
	if (wait_us > most_us)
		wait_us = most_us;
	return wait_us / 2 + random_jitter(random, wait_us / 2);
}

static void avoid(struct random *random, struct endpoint *endpoint,
		  uint32_t in_a_row, int64_t least_us, int64_t most_us,
		  int64_t now_us)
{
	int64_t avoid_us = backoff_us(random, in_a_row, least_us, most_us);

	if (endpoint->avoid_until_us < now_us + avoid_us)
		endpoint->avoid_until_us = now_us + avoid_us;
}

static void learn_errors(struct endpoint *endpoint, bool error)
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
 * An upstream at fault answers errors faster than others answer well, and so
 * draws more than its share. Against its pool, because where all of them fail
 * alike the cause is something they all call, and there is nowhere better.
 */
static bool is_faulty(const struct endpoint *endpoint)
{
	const struct pool *pool = endpoint->pool;

	return pool &&
	       endpoint->error_rate >= pool->error_rate + ERROR_RATE_FAULTY;
}

/* An answer that is no error proves little of a faulty one: some it answers
 * well. */
static void learn_answered(struct random *random, struct endpoint *endpoint,
			   bool error, int64_t now_us)
{
	endpoint->refusals = 0;
	learn_errors(endpoint, error);
	if (is_faulty(endpoint)) {
		avoid(random, endpoint, ++endpoint->failures, FAILED_AVOID_US,
		      ERROR_AVOID_MAX_US, now_us);
	} else if (!error) {
		endpoint->failures = 0;
		endpoint->avoid_until_us = 0;
	}
}

/* What a request to one out of reach says of the others out of reach. */
static void learn_probe(struct random *random, struct pool *pool, bool failed,
			int64_t now_us)
{
	pool->probe_failures = failed ? pool->probe_failures + 1 : 0;
	pool->probe_after_us = now_us;
	if (failed)
		pool->probe_after_us += backoff_us(random, pool->probe_failures,
						   FAILED_AVOID_US,
						   PROBE_GAP_MAX_US);
}

/* Whatever comes back from there, be it a refusal, shows that it is reached. */
static void learn_centre(struct random *random,
			 struct remote_centre *remote_centre, bool heard,
			 int64_t now_us)
{
	remote_centre->unanswered = heard ? 0 : remote_centre->unanswered + 1;
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
	learn_load(endpoint, load, now_us);
	if (endpoint->remote_centre && (load >= 0 || result == ENDPOINT_FAILED))
		learn_centre(random, endpoint->remote_centre, load >= 0,
			     now_us);
	if (endpoint->pool && !endpoint->reachable &&
	    result != ENDPOINT_CANCELLED)
		learn_probe(random, endpoint->pool, result == ENDPOINT_FAILED,
			    now_us);
	switch (result) {
	case ENDPOINT_ANSWERED:
		learn_service(endpoint, load, latency_us, now_us);
		learn_answered(random, endpoint, false, now_us);
		break;
	case ENDPOINT_ERROR:
		learn_answered(random, endpoint, true, now_us);
		break;
	case ENDPOINT_REFUSED:
		endpoint->failures = 0;
		/* It is full, or the request had no share left there: its load
		 * says as much as there is to know. Avoiding it would let one
		 * tenant's flood drive all others to another data centre. */
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
