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
 * Connects the membership core to the network: datagrams with a MAC on the port
 * of the hub's listener, frames through the hub, and one timer. Observers are
 * called from the event loop, never from within a function of this interface,
 * except for gossip_leave().
 */

enum { GOSSIP_OBSERVERS_MAX = 8, GOSSIP_PACKET_TYPES = 8 };

/** typedef gossip_observer_fn - called for each event of the core. */
typedef void gossip_observer_fn(const struct members_event *event, void *data);

/**
 * struct gossip_traffic - datagrams sent and received
 * @sent_bytes: bytes of datagrams sent, with MACs, without IP and UDP headers
 * @sent: number of datagrams sent
 * @received_bytes: bytes of datagrams received, those refused included
 * @received: number of datagrams received, those refused included
 * @unsealed: number of datagrams dropped because of an invalid MAC
 * @sent_bytes_by_type: bytes of datagrams sent, indexed by enum packet_type;
 *	index 0 counts unknown types
 * @received_bytes_by_type: bytes of datagrams received with a valid MAC,
 *	indexed likewise
 */
struct gossip_traffic {
	uint64_t sent_bytes;
	uint64_t sent;
	uint64_t received_bytes;
	uint64_t received;
	uint64_t unsealed;
	uint64_t sent_bytes_by_type[GOSSIP_PACKET_TYPES];
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
 * gossip_init() - starts the membership of this node
 * @options: NULL for the defaults; a seed of 0 is replaced by a random one
 * @hub: must be listening already
 * @seeds: addresses of the first peers to contact
 * @seed_count: number of addresses in @seeds
 *
 * Return: false with @err set if the port cannot be bound or watched.
 */
bool gossip_init(struct gossip *gossip, const struct members_options *options,
		 struct loop *loop, struct wire_hub *hub,
		 const struct address *seeds, uint32_t seed_count,
		 struct error *err);

/** gossip_finish() - must be called before wire_hub_finish(). */
void gossip_finish(struct gossip *gossip);

/**
 * gossip_observe() - registers an observer of later events
 *
 * Does nothing if GOSSIP_OBSERVERS_MAX observers are registered.
 */
void gossip_observe(struct gossip *gossip, gossip_observer_fn *fn, void *data);

/** gossip_add_seed() - adds an address at which to contact peers. */
void gossip_add_seed(struct gossip *gossip, const struct address *seed);

/** gossip_set_upstream() - publishes the state of the upstream of this node. */
void gossip_set_upstream(struct gossip *gossip,
			 const struct members_upstream *own);

/** gossip_set_head() - sets the version in force; does not announce it. */
void gossip_set_head(struct gossip *gossip, const struct head_digest *head);

/** gossip_set_refused() - sets the version refused here; 0 clears it. */
void gossip_set_refused(struct gossip *gossip, uint64_t version,
			const char *reason);

/** gossip_announce() - see members_announce(). */
void gossip_announce(struct gossip *gossip, bool origin);

/** gossip_ask_source_read() - see members_ask_source_read(). */
void gossip_ask_source_read(struct gossip *gossip, const char *duty);

/** gossip_query_status() - see members_query_status(). */
void gossip_query_status(struct gossip *gossip);

/** gossip_report_suspect() - see members_report_suspect(). */
void gossip_report_suspect(struct gossip *gossip, const char *data_centre,
			   const char *instance);

/**
 * gossip_leave() - announces that this node leaves
 *
 * The datagrams are sent, and pending events are reported, before the
 * function returns.
 */
void gossip_leave(struct gossip *gossip);

/** gossip_rank() - see members_rank(). */
static inline uint32_t gossip_rank(const struct gossip *gossip,
				   const char *duty)
{
	return members_rank(&gossip->members, duty);
}

/** gossip_dump() - returns the state as JSON; owned by the caller. */
json_t *gossip_dump(const struct gossip *gossip);

#endif
