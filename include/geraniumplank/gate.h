#ifndef GATE_H
#define GATE_H

/**
 * DOC: gate
 *
 * Admission to something that runs a bounded number of requests at once, with
 * shares by weight and tenant, early refusal and a learned limit. The caller
 * owns struct gate (about 30 KB) and embeds a struct gate_request in each of
 * its requests; nothing is allocated, and time is passed in.
 *
 * After gate_offer(), gate_done(), gate_cancel() and at gate_wake_us(), take
 * what gate_next_refused() and then what gate_next() returns until both return
 * NULL. A request that was refused has certainly not run.
 */

#ifdef __cplusplus
extern "C" {
#endif

#include "gate/gate.h"

#ifdef __cplusplus
}
#endif

#endif
