#ifndef LEASE_H
#define LEASE_H

/**
 * DOC: lease
 *
 * Holding one of several leases of the same kind in a key-value service, from
 * the side of a candidate. lease_next() says which call to make and when to
 * ask again, lease_result() takes in how it ended, lease_holds() says whether
 * to act as holder at this moment. The caller owns struct lease and makes the
 * calls by a client of its own; nothing is allocated, and the monotonic time
 * is passed in.
 *
 * What must happen once is to be fenced by the token or by compare-and-swap:
 * a holder that was paused may have sent something that arrives late.
 */

#ifdef __cplusplus
extern "C" {
#endif

#include "store/lease.h"

#ifdef __cplusplus
}
#endif

#endif
