#ifndef BASE_COUNTER_H
#define BASE_COUNTER_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: counter
 *
 * Counters and histograms of one process. Each is a static object of the module
 * that updates it. A constructor adds it to a process-wide list before main(),
 * so that it is listed even while its value is zero. Not thread-safe.
 */

/**
 * struct counter - a monotonic counter or a gauge
 * @name: "component.name", with the unit, if any, at the end
 * @help: one sentence for operators
 * @value: current value
 * @gauge: true if the value may decrease
 * @next: next counter in the process-wide list, or NULL
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
 * struct histogram - log-linear buckets with a relative error of at most 1/16
 * @name: "component.name", with the unit at the end; no unit means microseconds
 * @help: one sentence for operators
 * @count: number of values in all buckets
 * @buckets: number of values per bucket; the last one also counts larger values
 * @next: next histogram in the process-wide list, or NULL
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

#define DEFINE_COUNTER(var, n, h, g)                                           \
	static struct counter var = { .name = (n),                             \
				      .help = (h),                             \
				      .gauge = (g) };                          \
	__attribute__((constructor)) static void register_##var(void)          \
	{                                                                      \
		counter_register(&var);                                        \
	}                                                                      \
	struct counter

/** COUNTER() - define the counter @var with name @n and help text @h. */
#define COUNTER(var, n, h) DEFINE_COUNTER(var, n, h, false)

/** GAUGE() - like COUNTER(), for a value that may decrease. */
#define GAUGE(var, n, h) DEFINE_COUNTER(var, n, h, true)

/** HISTOGRAM() - define the histogram @var with name @n and help @h. */
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

/** counter_first() - head of the list of all counters of the process. */
struct counter *counter_first(void);

/** histogram_first() - head of the list of all histograms. */
struct histogram *histogram_first(void);

/** histogram_add() - count a value; a negative value counts as zero. */
void histogram_add(struct histogram *histogram, int64_t value);

/**
 * histogram_quantile() - estimate a quantile of the counted values
 * @quantile: 0 to 1, for example 0.99
 *
 * Return: the largest value of the bucket that holds the quantile; 0 if the
 * histogram is empty.
 */
int64_t histogram_quantile(const struct histogram *histogram, double quantile);

#endif
