#ifndef VERDICT_H
#define VERDICT_H

/**
 * DOC: verdict
 *
 * Whether the upstream ran a request: not run (proved), may have run, or ran.
 * The other parts of the library report the end of a request by these values.
 */

#ifdef __cplusplus
extern "C" {
#endif

#include "base/verdict.h"

#ifdef __cplusplus
}
#endif

#endif
