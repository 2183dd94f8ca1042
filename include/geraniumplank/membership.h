#ifndef MEMBERSHIP_H
#define MEMBERSHIP_H

/**
 * DOC: membership
 *
 * Maintains the list of the nodes of a deployment and their reachability, by
 * SWIM within a data centre and by links between data centres. The caller
 * passes in datagrams, frames from connections and the current time;
 * members_next_action() returns what to send and which changes to report. The
 * caller owns the sockets and must authenticate datagrams, since the core
 * trusts all of its input.
 */

#ifdef __cplusplus
extern "C" {
#endif

#include "membership/members.h"

#ifdef __cplusplus
}
#endif

#endif
