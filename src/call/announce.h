#ifndef CALL_ANNOUNCE_H
#define CALL_ANNOUNCE_H

#include <jansson.h>

#include "base/interface.h"
#include "call/incarnations.h"
#include "http/server.h"
#include "membership/record.h"

/**
 * DOC: announce
 *
 * How the upstream beside a node makes itself known:
 *
 *	PUT    /v1/upstream {"service":S, "profile":P, "address":"IP:PORT",
 *		"slots":N, "state":"starting|serving|leaving", "load":0.0}
 *	DELETE /v1/upstream
 *	GET    /v1/upstream
 *
 * An announcement holds for a while and must be renewed: an upstream that
 * dies without a word is no longer listed after that. This wire form stands
 * in this module alone; that of the target platform is read by
 * platform/heartbeat.h.
 */

enum { ANNOUNCE_SLOTS_MAX = 100000 };

/**
 * struct announcement - what an upstream says of itself
 * @load: its own report; a hint only, because reports lag and mislead
 * @id: of its present start; "" where starts have none
 * @version: of its software; "" if it does not say
 * @cold_ms: how much longer it is slow after its start
 */
struct announcement {
	char service[SERVICE_NAME_SIZE];
	char profile[PROFILE_NAME_SIZE];
	struct address address;
	uint32_t slots;
	enum upstream_state state;
	double load;
	char id[UPSTREAM_ID_SIZE];
	char version[UPSTREAM_VERSION_SIZE];
	int64_t cold_ms;
};

/**
 * struct announce_message - one message of an upstream whose starts have ids
 * @upstream: only its id if it departs
 * @start_time_ms: when its process began, since 1970 by its clock; 0: not said
 * @leaving: it wants no new work
 * @is_deregistration: it says no more than that it goes
 */
struct announce_message {
	struct announcement upstream;
	int64_t start_time_ms;
	uint64_t sequence;
	bool leaving;
	bool is_deregistration;
};

/**
 * typedef announce_changed_fn - something other than the load has changed
 * @upstream: NULL if there is no upstream any more
 */
typedef void announce_changed_fn(const struct announcement *upstream,
				 void *data);

/** struct announce_options - @ttl_ms is how long an announcement holds. */
struct announce_options {
	enum interface_form form;
	struct loop *loop;
	int64_t ttl_ms;
	announce_changed_fn *changed;
	void *data;
};

struct announce {
	struct announce_options options;
	struct announcement current;
	struct incarnations incarnations;
	bool present;
	struct timer expiry;
};

void announce_init(struct announce *announce,
		   const struct announce_options *options);
void announce_finish(struct announce *announce);

/**
 * announce_unreachable() - the upstream cannot be reached
 *
 * It is not listed any more until it announces itself again: callers would
 * learn one by one, each at the cost of a request, that it has gone.
 */
void announce_unreachable(struct announce *announce);

/**
 * announce_confirm_id() - the upstream has told the id of its present start
 *
 * That id says nothing of its service, which may be another one: it is not
 * listed until it announces itself.
 */
void announce_confirm_id(struct announce *announce, const char *id);

/** announce_receive() - a message of the upstream, whatever way it came. */
void announce_receive(struct announce *announce,
		      const struct announce_message *message);

/** announce_handle() - an http_handler_fn; @data is a struct announce. */
void announce_handle(struct http_exchange *exchange, void *data);

/** announce_current() - the upstream beside, NULL if there is none. */
const struct announcement *announce_current(const struct announce *announce);

/**
 * announce_parse() - read an announcement
 * @err: ERROR_INVALID; says which member is wrong
 */
bool announce_parse(const void *text, size_t size,
		    struct announcement *announcement, struct error *err);

/** announce_dump() - the state as JSON, owned by the caller. */
json_t *announce_dump(const struct announce *announce);

#endif
