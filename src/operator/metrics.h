#ifndef OPERATOR_METRICS_H
#define OPERATOR_METRICS_H

#include "base/buffer.h"

/**
 * DOC: metrics
 *
 * Counters, gauges and histograms in the text format of Prometheus. Latencies
 * are in seconds.
 */

/** metrics_write() - appends all metrics of the process to @out. */
void metrics_write(struct buffer *out);

#endif
