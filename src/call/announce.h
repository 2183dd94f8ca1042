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
 * Keeps the announcement of the local upstream. The upstream announces itself
 * over HTTP:
 *
 *	PUT    /v1/upstream {"service":S, "profile":P, "address":"IP:PORT",
 *		"slots":N, "state":"starting|serving|leaving", "load":0.0}
 *	DELETE /v1/upstream
 *	GET    /v1/upstream
 *
 * A node that restarts has forgotten that its upstream leaves, and a message
 * that the upstream sent before may still arrive. A restarted node therefore
 * holds back the first message from an address, until the health check there
 * confirms that the upstream takes requests. The upstream itself is asked, and
 * not the peers or the platform's service: they may all have restarted, or may
 * not have heard of the leaving.
 *
 * An announcement expires unless the upstream renews it, so that an upstream
 * that crashes is not listed for longer than the announcement's time to live.
 * Only this module parses this wire format; platform/heartbeat.h parses that of
 * the target platform.
 */

enum { ANNOUNCE_SLOTS_MAX = 100000 };

/**
 * struct announcement - service, address and state that an upstream reports
 * @slots: number of requests that the upstream runs at the same time
 * @load: load that the upstream reports; only a hint, because a report may be
 *	outdated or wrong
 * @id: id of the current incarnation of the upstream; "" if the interface has
 *	no such ids
 * @start: identifies the incarnation at all nodes; 0 if the interface has no ids
 * @version: version of the upstream's software; "" if not reported
 * @cold_ms: remaining cold start time, in milliseconds, in which the upstream
 *	is slower than later
 */
struct announcement {
	char service[SERVICE_NAME_SIZE];
	char profile[PROFILE_NAME_SIZE];
	struct address address;
	uint32_t slots;
	enum upstream_state state;
	double load;
	char id[UPSTREAM_ID_SIZE];
	uint64_t start;
	char version[UPSTREAM_VERSION_SIZE];
	int64_t cold_ms;
};

/**
 * struct announce_message - message of an upstream whose incarnations have ids
 * @upstream: the reported announcement; only its id is set in a deregistration
 * @start_time_ms: start time of the upstream process, in milliseconds since
 *	1970 by the clock of the upstream; 0 if not reported
 * @sequence: number of the message within its incarnation; 0 if not reported
 * @leaving: true if the upstream takes no new requests
 * @is_deregistration: true if the message carries only the id of an upstream
 *	that is shutting down
 * @is_answer: true if the upstream has sent the message in an answer, so that
 *	the message is not older than the question
 */
struct announce_message {
	struct announcement upstream;
	int64_t start_time_ms;
	uint64_t sequence;
	bool leaving;
	bool is_deregistration;
	bool is_answer;
};

/** enum upstream_health - result of a health check. */
enum upstream_health {
	UPSTREAM_TAKES_REQUESTS,
	UPSTREAM_TAKES_NONE, /* it leaves, or is not well */
	UPSTREAM_UNKNOWN,    /* no answer, or one that says neither */
};

/**
 * typedef announce_held_fn - called when an announcement is held back
 * @upstream: the announcement; announce_health() must follow
 */
typedef void announce_held_fn(const struct announcement *upstream, void *data);

/**
 * typedef announce_changed_fn - called after a change other than of the load
 * @upstream: the new announcement; NULL if no upstream is listed
 */
typedef void announce_changed_fn(const struct announcement *upstream,
				 void *data);

/**
 * struct announce_options - options of announce_init()
 * @form: the interface whose wire format the upstream uses
 * @ttl_ms: least time until an announcement expires, in milliseconds
 * @interval_ms: time between two announcements, in milliseconds; 0 if unknown
 * @confirm: hold announcements back until the upstream has confirmed them, see
 *	DOC; for nodes that may have run before
 * @held: callback for announcements that are held back
 * @changed: callback for changes of the announcement
 * @data: passed to @held and @changed
 */
struct announce_options {
	enum interface_form form;
	struct loop *loop;
	int64_t ttl_ms;
	int64_t interval_ms;
	bool confirm;
	announce_held_fn *held;
	announce_changed_fn *changed;
	void *data;
};

/**
 * struct announce - the announcement of the local upstream
 * @current: the newest announcement; valid if @present
 * @held: announcement that is held back; valid if @is_held
 * @unknown_count: health checks of @held in a row without a result
 * @confirmed: address at which the upstream has confirmed that it takes
 *	requests; family 0 for none
 * @incarnations: known incarnations of the upstream
 * @present: true if an upstream is listed
 * @is_held: true if an announcement is held back
 * @told_leaving: true if the listed upstream, which has no id, has said in an
 *	answer that it leaves
 * @expiry: removes the announcement after its time to live
 */
struct announce {
	struct announce_options options;
	struct announcement current;
	struct announcement held;
	struct address confirmed;
	struct incarnations incarnations;
	uint32_t unknown_count;
	bool present;
	bool is_held;
	bool told_leaving;
	struct timer expiry;
};

/** announce_lifetime_ms() - time after an announcement until the upstream is no
 *	longer listed */
int64_t announce_lifetime_ms(const struct announce_options *options);

void announce_init(struct announce *announce,
		   const struct announce_options *options);
void announce_finish(struct announce *announce);

/**
 * announce_unreachable() - remove an upstream that cannot be reached
 *
 * The upstream is listed again after its next announcement. Without the
 * removal, each caller would lose a request to detect that the upstream is
 * gone.
 */
void announce_unreachable(struct announce *announce);

/**
 * announce_confirm_id() - set the current incarnation id of the upstream
 * @id: id that the upstream process itself reported in an answer
 *
 * If the id differs from the announced id, the upstream is removed until its
 * next announcement, because the new process may serve another service.
 */
void announce_confirm_id(struct announce *announce, const char *id);

/**
 * announce_leaving() - the upstream has said in an answer that it leaves
 *
 * Its later announcements do not undo that.
 */
void announce_leaving(struct announce *announce);

/**
 * announce_receive() - process a message of the upstream
 *
 * Ignores a message that is older than the newest known one. The message may
 * come from a heartbeat or from a probe of the upstream.
 */
void announce_receive(struct announce *announce,
		      const struct announce_message *message);

/** announce_held() - return the announcement that is held back, or NULL. */
const struct announcement *announce_held(const struct announce *announce);

/**
 * announce_health() - process a health check of the upstream
 * @id: incarnation that has answered; NULL if not known
 *
 * Does nothing if no announcement is held back.
 */
void announce_health(struct announce *announce, const char *id,
		     enum upstream_health health);

/** announce_handle() - http_handler_fn; @data points to a struct announce. */
void announce_handle(struct http_exchange *exchange, void *data);

/** announce_current() - return the local upstream, NULL if none is listed. */
const struct announcement *announce_current(const struct announce *announce);

/**
 * announce_parse() - parse the JSON body of an announcement
 * @err: ERROR_INVALID; the text names the member that is invalid
 *
 * Return: true if the announcement is valid.
 */
bool announce_parse(const void *text, size_t size,
		    struct announcement *announcement, struct error *err);

/** announce_dump() - return the state as JSON; the caller owns the result. */
json_t *announce_dump(const struct announce *announce);

#endif
