#ifndef OPERATOR_METRICS_H
#define OPERATOR_METRICS_H

#include "base/buffer.h"

/**
 * DOC: metrics
 *
 * Counters, gauges and latency histograms in the text form that Prometheus
 * reads. Times are in seconds there, as its collectors expect.
 */

/** metrics_write() - append all metrics of the process to @out. */
void metrics_write(struct buffer *out);

#endif
