#ifndef CALL_CRASH_WATCH_H
#define CALL_CRASH_WATCH_H

#include "base/address.h"
#include "event/loop.h"
#include "quarantine/losses.h"
#include "quarantine/net.h"

/**
 * DOC: crash watch
 *
 * Detects, beside the upstream, that the upstream has crashed, and reports the
 * requests that were running. After a run without an answer, a connection to
 * the upstream is opened: if it is refused, nobody listens there any more.
 */

/* Number of consecutive refused connections after which the upstream counts as
 * ended. A single refusal may come from a full listen backlog. */
enum { CRASH_REFUSED_MAX = 2 };

/**
 * struct crash_watch_options - options of crash_watch_init()
 * @quarantine: receives the reports; NULL disables them
 * @on_ended: called when the upstream accepts no connections; may be NULL
 */
struct crash_watch_options {
	struct loop *loop;
	struct quarantine_net *quarantine;
	void (*on_ended)(void *data);
	void *data;
};

/**
 * struct crash_watch - see DOC
 * @address: address of the upstream; family 0 if there is none
 * @fd: connection being opened, or NET_NONE
 * @retry: delay before the next connection is opened
 * @next_probe_us: time before which no connection is opened
 * @refused_count: number of consecutive refused connections
 * @since_us: time from which the present incarnation is known
 * @leaving: the present incarnation ends soon, whatever it runs
 * @former_left: the former incarnation was leaving
 * @former_crash_id: id of the crash of the former incarnation; 0 if none of its
 *	runs is known to be lost
 */
struct crash_watch {
	struct crash_watch_options options;
	struct losses losses;
	struct address address;
	int fd;
	struct watch watch;
	struct timer retry;
	int64_t next_probe_us;
	uint32_t refused_count;
	int64_t since_us;
	bool leaving;
	bool former_left;
	uint64_t former_crash_id;
};

void crash_watch_init(struct crash_watch *crash_watch,
		      const struct crash_watch_options *options);
void crash_watch_finish(struct crash_watch *crash_watch);

/** crash_watch_set_upstream() - another incarnation of the upstream runs. */
void crash_watch_set_upstream(struct crash_watch *crash_watch,
			      const struct address *address);

/** crash_watch_has_ended() - returns true after a confirmed end. */
bool crash_watch_has_ended(const struct crash_watch *crash_watch);

/** crash_watch_set_leaving() - the present incarnation leaves, or does not. */
void crash_watch_set_leaving(struct crash_watch *crash_watch, bool leaving);

/**
 * crash_watch_lost() - a run has ended without an answer
 * @started_us: time at which the request was sent to the upstream
 */
void crash_watch_lost(struct crash_watch *crash_watch,
		      const struct fingerprint *fingerprint,
		      int64_t started_us);

/**
 * crash_watch_aborted() - the node has given up a run, which may still go on
 *
 * The upstream may crash over it all the same. Unlike a lost run, it is no sign
 * that the upstream has ended.
 */
void crash_watch_aborted(struct crash_watch *crash_watch,
			 const struct fingerprint *fingerprint);

/**
 * crash_watch_answered() - the upstream has answered a request
 * @started_us: time at which the request was sent to the upstream
 * @completed: the answer shows that the request ran to its end; a failure does
 *	not, as the upstream may have given up before the part that crashes it
 */
void crash_watch_answered(struct crash_watch *crash_watch,
			  const struct fingerprint *fingerprint,
			  int64_t started_us, bool completed);

/** crash_watch_refused() - the upstream has refused a connection. */
void crash_watch_refused(struct crash_watch *crash_watch);

/** crash_watch_reached() - the upstream has accepted a connection. */
void crash_watch_reached(struct crash_watch *crash_watch);

#endif
