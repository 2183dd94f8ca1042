#ifndef LEASE_H
#define LEASE_H

/**
 * DOC: lease
 *
 * Acquires and renews one of several equivalent leases in a key-value service,
 * on the side of a candidate. lease_next() returns the call to make, or when to
 * call lease_next() again; lease_result() receives the result of the call;
 * lease_holds() returns true while the caller may act as the holder. The caller
 * owns struct lease, makes the calls with its own client and passes the
 * monotonic time in. The lease allocates no memory.
 *
 * Protect an action that must happen only once by the fencing token or by
 * compare-and-swap: a request that a paused holder has sent may arrive after
 * its lease has expired.
 */

#ifdef __cplusplus
extern "C" {
#endif

#include "store/lease.h"

#ifdef __cplusplus
}
#endif

#endif
