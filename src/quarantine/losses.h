#ifndef QUARANTINE_LOSSES_H
#define QUARANTINE_LOSSES_H

#include <stdbool.h>

#include "quarantine/fingerprint.h"

/**
 * DOC: losses
 *
 * Decides, beside an upstream, which requests were running when it crashed. A
 * run that ends without an answer proves nothing: the upstream may have reset
 * one connection because it is full. The lost runs are therefore kept until
 * either the upstream answers a request that began later, so that it has not
 * crashed, or its end is confirmed. Runs that the node has given up may go on
 * at the upstream; those given up shortly before the end count as well. No
 * sockets, no clock.
 */

enum {
	LOSSES_MAX = 128,
	/* An end long after a lost run has another cause. */
	LOSSES_AGE_MAX_US = 10 * 1000 * 1000,
	LOSSES_ABORTED_MAX = 16,
	LOSSES_ABORTED_AGE_MAX_US = 3 * 1000 * 1000,
};

/** struct aborted_run - a run that was given up; @at_us: when, 0 for none */
struct aborted_run {
	struct fingerprint fingerprint;
	int64_t at_us;
};

/**
 * struct losses - lost runs of one incarnation of an upstream
 * @lost: the lost runs whose cause is not known yet; of too many, the first
 * @last_us: time of the last loss
 * @crash_id: id of the crash once the end is confirmed; 0 before
 * @aborted: the last runs that were given up, as a ring
 * @aborted_next: entry of @aborted that is overwritten next
 */
struct losses {
	struct fingerprint lost[LOSSES_MAX];
	uint32_t count;
	int64_t last_us;
	uint64_t crash_id;
	struct aborted_run aborted[LOSSES_ABORTED_MAX];
	uint32_t aborted_next;
};

/** losses_reset() - forgets all; for the start of another incarnation. */
void losses_reset(struct losses *losses);

/**
 * losses_add() - records a run that ended without an answer
 *
 * Return: id of the crash if the end of the upstream is confirmed already;
 * otherwise 0, and the run is kept.
 */
uint64_t losses_add(struct losses *losses,
		    const struct fingerprint *fingerprint, int64_t now_us);

/** losses_add_aborted() - records a run that the node has given up */
void losses_add_aborted(struct losses *losses,
			const struct fingerprint *fingerprint, int64_t now_us);

/**
 * losses_answered() - the upstream has answered a request
 * @started_us: time at which the request was sent to the upstream
 */
void losses_answered(struct losses *losses, int64_t started_us);

/**
 * losses_confirm() - the upstream has ended
 * @crash_id: id for this crash, not 0
 *
 * Return: true if runs were lost or given up shortly before; they are
 * @losses->lost.
 */
bool losses_confirm(struct losses *losses, uint64_t crash_id, int64_t now_us);

#endif
