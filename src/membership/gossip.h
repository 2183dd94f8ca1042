#ifndef MEMBERSHIP_GOSSIP_H
#define MEMBERSHIP_GOSSIP_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "event/loop.h"
#include "membership/members.h"
#include "wire/hub.h"

/**
 * DOC: gossip
 *
 * Drives the membership core: sealed datagrams on the port of the hub's
 * listener, frames through the hub, one timer. Events reach observers from
 * the loop, never from within a call of this interface.
 */

enum { GOSSIP_OBSERVERS_MAX = 8, GOSSIP_PACKET_TYPES = 8 };

/** typedef gossip_observer_fn - something that members.h names happened. */
typedef void gossip_observer_fn(const struct members_event *event, void *data);

/** struct gossip_traffic - datagrams, with their seal, without IP and UDP. */
struct gossip_traffic {
	uint64_t sent_bytes;
	uint64_t sent;
	uint64_t received_bytes;
	uint64_t received;
	uint64_t unsealed;
	uint64_t sent_bytes_by_type[GOSSIP_PACKET_TYPES]; /* by enum packet_type
							   */
	uint64_t received_bytes_by_type[GOSSIP_PACKET_TYPES];
};

struct gossip {
	struct members members;
	struct loop *loop;
	struct wire_hub *hub;
	struct watch watch;
	struct timer timer;
	struct deferred drain;
	int fd;
	struct gossip_traffic traffic;
	struct {
		gossip_observer_fn *fn;
		void *data;
	} observers[GOSSIP_OBSERVERS_MAX];
	uint32_t observer_count;
};

/**
 * gossip_init() - begin; the hub must be listening already
 * @options: NULL for the defaults; a seed of 0 is replaced by a random one
 * @seeds: where to look for the first peers
 */
bool gossip_init(struct gossip *gossip, const struct members_options *options,
		 struct loop *loop, struct wire_hub *hub,
		 const struct address *seeds, uint32_t seed_count,
		 struct error *err);

/** gossip_finish() - to be called before wire_hub_finish(). */
void gossip_finish(struct gossip *gossip);

/** gossip_observe() - hear of events from now on. */
void gossip_observe(struct gossip *gossip, gossip_observer_fn *fn, void *data);

/** gossip_add_seed() - another address to look for peers at. */
void gossip_add_seed(struct gossip *gossip, const struct address *seed);

/** gossip_set_own() - what the upstream beside can take. */
void gossip_set_own(struct gossip *gossip, const struct members_own *own);

/** gossip_set_head() - the version in force here; not told on by itself. */
void gossip_set_head(struct gossip *gossip, const struct head_digest *head);

/** gossip_set_refused() - a version refused here; 0 for none any more. */
void gossip_set_refused(struct gossip *gossip, uint64_t version,
			const char *reason);

/** gossip_announce() - see members_announce(). */
void gossip_announce(struct gossip *gossip, bool origin);

/** gossip_ask_status() - see members_ask_status(). */
void gossip_ask_status(struct gossip *gossip);

/** gossip_report_suspect() - see members_report_suspect(). */
void gossip_report_suspect(struct gossip *gossip, const char *data_centre,
			   const char *instance);

/** gossip_leave() - tell that this node stops; sends before it returns. */
void gossip_leave(struct gossip *gossip);

/** gossip_rank() - see members_rank(). */
static inline uint32_t gossip_rank(const struct gossip *gossip,
				   const char *duty)
{
	return members_rank(&gossip->members, duty);
}

/** gossip_dump() - state for people; owned by the caller. */
json_t *gossip_dump(const struct gossip *gossip);

#endif
