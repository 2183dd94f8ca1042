#ifndef PROMISES_PROMISES_H
#define PROMISES_PROMISES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

/**
 * DOC: promises
 *
 * Judges the promises to callers from what callers and upstreams saw alone:
 * upstreams write each arrival and each run to an account, callers tell what
 * they sent and got. Nothing that nodes say of themselves is used, except the
 * answers that callers got from them.
 */

enum {
	PROMISE_ID_SIZE = 96,
	/* Time after which a caller's leaving must have reached an upstream. */
	PROMISE_GONE_US = 500 * 1000,
};

/** enum promise_event - an event of a request at an upstream. */
enum promise_event {
	PROMISE_ARRIVED,
	PROMISE_REJECTED, /* the upstream refused to run it */
	PROMISE_BEGAN,	  /* the upstream began to work on it */
	PROMISE_REPLIED,  /* the upstream wrote its answer */
	PROMISE_BROKE,	  /* the upstream ended the connection, or crashed */
	PROMISE_LEFT,	  /* the upstream's caller ended the connection */
	PROMISE_EVENTS,
};

/**
 * struct promise_entry - an event as an upstream wrote it
 * @status: status of the answer, for PROMISE_REPLIED and PROMISE_REJECTED
 * @at_us: time of the event, monotonic clock
 * @instance: incarnation of the upstream
 * @id: id of the request
 */
struct promise_entry {
	enum promise_event event;
	unsigned int status;
	int64_t at_us;
	char instance[PROMISE_ID_SIZE];
	char id[PROMISE_ID_SIZE];
};

/**
 * struct promise_account - entries of all upstreams; all zero is empty
 * @entries: array owned by the account
 */
struct promise_account {
	struct promise_entry *entries;
	size_t count;
	size_t capacity;
};

/** promise_write() - append an entry to the account of an upstream. */
void promise_write(FILE *file, const struct promise_entry *entry);

/** promise_add() - append an entry to @account. */
void promise_add(struct promise_account *account,
		 const struct promise_entry *entry);

/**
 * promise_read() - append the entries that an upstream wrote to the file @path
 *
 * Return: false if the file cannot be read or has a line that is no entry.
 */
bool promise_read(struct promise_account *account, const char *path);

/** promise_sort() - order the entries by id, then by time. */
void promise_sort(struct promise_account *account);

/**
 * promise_find() - entries of one request in a sorted account
 * @count: set to their number
 *
 * Return: the first of them; NULL if there is none.
 */
const struct promise_entry *promise_find(const struct promise_account *account,
					 const char *id, size_t *count);

void promise_finish(struct promise_account *account);

/** promise_event_name() - name of an event in an account. */
const char *promise_event_name(enum promise_event event);

/** enum promise_end - how a request ended for its caller. */
enum promise_end {
	PROMISE_NOT_SENT,
	PROMISE_ANSWERED, /* with a whole answer */
	PROMISE_CLOSED,	  /* the connection ended without a whole answer */
	PROMISE_WAITED,	  /* the caller closed it after the time limit */
	PROMISE_GAVE_UP,  /* the caller closed it before the time limit */
};

/**
 * struct promise_request - a request as its caller saw it
 * @may_repeat: it may run more than once
 * @planned: only planned work was done from some time before it to its end
 * @in_touch: nothing was done to the nodes from some time before it to some
 *time after its end
 * @read: the node is known to have read the whole request
 * @stamped: the answer bears the mark of an upstream
 * @own_body: the body of the answer is that of this request
 * @status: status of the answer; 0 without an answer
 * @sent_us: time at which it was sent, monotonic clock
 * @ended_us: time at which it ended, monotonic clock
 * @limit_us: time at which its deadline is over, monotonic clock
 */
struct promise_request {
	enum promise_end end;
	bool may_repeat;
	bool planned;
	bool in_touch;
	bool read;
	bool stamped;
	bool own_body;
	unsigned int status;
	int64_t sent_us;
	int64_t ended_us;
	int64_t limit_us;
};

/** enum promise_rule - promises to callers. */
enum promise_rule {
	/* A request that a node has read gets a whole answer, and no answer of
	 * a node replaces one whose upstream is at work before the time limit;
	 * around planned work. */
	PROMISE_LOST,
	/* A status that says that a request has not run is true. */
	PROMISE_REFUSED,
	/* A request that must not be repeated runs once at most. */
	PROMISE_TWICE,
	/* A success is the whole answer of an upstream to this request, and a
	 * failure of an upstream keeps its status. */
	PROMISE_MIXED,
	/* A request whose caller has left reaches no upstream, and one that may
	 * be repeated is not worked on; by nodes in touch. */
	PROMISE_GONE,
	PROMISE_RULES,
};

/** promise_rule_name() - name of a rule, for example "LOST". */
const char *promise_rule_name(enum promise_rule rule);

/**
 * promise_is_broken() - judges one request by one rule
 * @entries: its entries in the accounts, ordered by time
 * @count: number of @entries
 */
bool promise_is_broken(enum promise_rule rule,
		       const struct promise_request *request,
		       const struct promise_entry *entries, size_t count);

#endif
