#ifndef SPREAD_H
#define SPREAD_H

/**
 * DOC: spread
 *
 * Distributes versions of the configuration to all nodes. A struct keeper holds
 * the version in force and applies a newer version completely or not at all. A
 * struct spread pulls missing parts from nodes that have announced a higher
 * version. The caller passes in frames and the current time;
 * spread_next_action() returns what to send.
 */

#ifdef __cplusplus
extern "C" {
#endif

#include "spread/spread.h"

#ifdef __cplusplus
}
#endif

#endif
