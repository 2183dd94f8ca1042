#ifndef BASE_COUNTER_H
#define BASE_COUNTER_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: counter
 *
 * Counters and latency histograms of one process. Each is a static object of
 * the module that counts; it enters the process-wide list before main(), so
 * that a reader sees a counter also while it is zero. Single-threaded.
 */

/**
 * struct counter - one monotonic count or gauge
 * @name: "slice.what", with the unit at the end where there is one
 * @help: one sentence for operators
 * @gauge: it may also fall
 */
struct counter {
	const char *name;
	const char *help;
	int64_t value;
	bool gauge;
	struct counter *next;
};

enum {
	HISTOGRAM_SUB_BUCKETS = 16,
	HISTOGRAM_BUCKETS = 40 * HISTOGRAM_SUB_BUCKETS,
};

/**
 * struct histogram - log-linear buckets, at most 1/16 of relative error
 *
 * Values are microseconds unless the name says otherwise.
 */
struct histogram {
	const char *name;
	const char *help;
	uint64_t count;
	uint64_t buckets[HISTOGRAM_BUCKETS];
	struct histogram *next;
};

void counter_register(struct counter *counter);
void histogram_register(struct histogram *histogram);

#define COUNTER_OF(var, n, h, g)                                               \
	static struct counter var = { .name = (n),                             \
				      .help = (h),                             \
				      .gauge = (g) };                          \
	__attribute__((constructor)) static void register_##var(void)          \
	{                                                                      \
		counter_register(&var);                                        \
	}                                                                      \
	struct counter

/** COUNTER() - define a counter @var of this module, named @n. */
#define COUNTER(var, n, h) COUNTER_OF(var, n, h, false)

/** GAUGE() - the same for a value that may also fall. */
#define GAUGE(var, n, h) COUNTER_OF(var, n, h, true)

/** HISTOGRAM() - define a histogram @var of this module, named @n. */
#define HISTOGRAM(var, n, h)                                                   \
	static struct histogram var = { .name = (n), .help = (h) };            \
	__attribute__((constructor)) static void register_##var(void)          \
	{                                                                      \
		histogram_register(&var);                                      \
	}                                                                      \
	struct histogram

static inline void counter_add(struct counter *counter, int64_t n)
{
	counter->value += n;
}

static inline void counter_set(struct counter *counter, int64_t value)
{
	counter->value = value;
}

/** counter_first() - the list of all counters of the process, by next. */
struct counter *counter_first(void);

/** histogram_first() - the list of all histograms of the process. */
struct histogram *histogram_first(void);

/** histogram_add() - count one value; negative ones count as zero. */
void histogram_add(struct histogram *histogram, int64_t value);

/**
 * histogram_quantile() - the value below which a share of values lies
 * @share: 0 to 1
 *
 * Return: the upper end of the bucket, 0 if nothing was counted.
 */
int64_t histogram_quantile(const struct histogram *histogram, double share);

#endif
