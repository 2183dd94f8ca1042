#ifndef GATE_H
#define GATE_H

/**
 * DOC: gate
 *
 * Admission control for a server that runs a bounded number of requests at the
 * same time: fair shares by weight and tenant, early refusal and an adaptive
 * concurrency limit. The caller owns struct gate (about 30 KB), embeds a struct
 * gate_request in each of its requests and passes the current time in. The gate
 * allocates no memory.
 *
 * After gate_offer(), gate_done() and gate_cancel() and at the time returned by
 * gate_wake_us(), call gate_next_refused() until it returns NULL, then
 * gate_next() until it returns NULL. A refused request has not run.
 */

#ifdef __cplusplus
extern "C" {
#endif

#include "gate/gate.h"

#ifdef __cplusplus
}
#endif

#endif
