#include "promises/promises.h"

#include <string.h>

enum {
	STATUS_OK = 200,
	STATUS_OK_END = 300,
	STATUS_TIMEOUT = 408,
	STATUS_MISDIRECTED = 421,
	STATUS_TOO_MANY = 429,
	STATUS_UNAVAILABLE = 503,
};

const char *promise_rule_name(enum promise_rule rule)
{
	static const char *const names[PROMISE_RULES] = {
		[PROMISE_LOST] = "LOST",   [PROMISE_REFUSED] = "REFUSED",
		[PROMISE_TWICE] = "TWICE", [PROMISE_MIXED] = "MIXED",
		[PROMISE_GONE] = "GONE",
	};

	return names[rule];
}

static size_t count_events(const struct promise_entry *entries, size_t count,
			   enum promise_event event)
{
	size_t found = 0;
	size_t i;

	for (i = 0; i < count; i++)
		found += entries[i].event == event;
	return found;
}

/* Returns true if the upstream broke off the run that @entries begin with. */
static bool run_broke(const struct promise_entry *entries, size_t count)
{
	size_t i;

	for (i = 1; i < count; i++)
		if (entries[i].event == PROMISE_BROKE &&
		    !strcmp(entries[i].instance, entries[0].instance))
			return true;
	return false;
}

/* Returns true if an upstream ran the request and did not break off itself. */
static bool ran_soundly(const struct promise_entry *entries, size_t count)
{
	size_t i;

	for (i = 0; i < count; i++)
		if (entries[i].event == PROMISE_BEGAN &&
		    !run_broke(&entries[i], count - i))
			return true;
	return false;
}

static bool broke_off(const struct promise_entry *entries, size_t count)
{
	return count && entries[count - 1].event == PROMISE_BROKE;
}

static bool is_lost(const struct promise_request *request,
		    const struct promise_entry *entries, size_t count)
{
	bool passed_on = count_events(entries, count, PROMISE_ARRIVED) > 0;

	if (!request->planned)
		return false;
	switch (request->end) {
	case PROMISE_NOT_SENT:
	case PROMISE_GAVE_UP:
		return false;
	case PROMISE_WAITED:
		return true;
	case PROMISE_CLOSED:
		return (request->read || passed_on) &&
		       !broke_off(entries, count);
	case PROMISE_ANSWERED:
		break;
	}
	return !request->stamped && request->ended_us < request->limit_us &&
	       ran_soundly(entries, count);
}

static bool is_refused(const struct promise_request *request,
		       const struct promise_entry *entries, size_t count)
{
	if (request->may_repeat || request->end != PROMISE_ANSWERED ||
	    !count_events(entries, count, PROMISE_BEGAN))
		return false;
	return request->status == STATUS_TIMEOUT ||
	       request->status == STATUS_MISDIRECTED ||
	       request->status == STATUS_TOO_MANY ||
	       request->status == STATUS_UNAVAILABLE;
}

static bool is_twice(const struct promise_request *request,
		     const struct promise_entry *entries, size_t count)
{
	return !request->may_repeat &&
	       count_events(entries, count, PROMISE_BEGAN) > 1;
}

static bool gave_status(const struct promise_entry *entries, size_t count,
			unsigned int status)
{
	size_t i;

	for (i = 0; i < count; i++)
		if ((entries[i].event == PROMISE_REPLIED ||
		     entries[i].event == PROMISE_REJECTED) &&
		    entries[i].status == status)
			return true;
	return false;
}

static bool is_mixed(const struct promise_request *request,
		     const struct promise_entry *entries, size_t count)
{
	bool success = request->status >= STATUS_OK &&
		       request->status < STATUS_OK_END;

	if (request->end != PROMISE_ANSWERED)
		return false;
	if (success && (!request->stamped || !request->own_body))
		return true;
	return request->stamped &&
	       !gave_status(entries, count, request->status);
}

static bool is_gone(const struct promise_request *request,
		    const struct promise_entry *entries, size_t count)
{
	int64_t until_us = request->ended_us + PROMISE_GONE_US;
	size_t i;

	if (request->end != PROMISE_GAVE_UP || !request->in_touch)
		return false;
	for (i = 0; i < count; i++) {
		bool works = request->may_repeat &&
			     (entries[i].event == PROMISE_REPLIED ||
			      entries[i].event == PROMISE_LEFT);

		if (entries[i].at_us > until_us &&
		    (works || entries[i].event == PROMISE_ARRIVED))
			return true;
	}
	return false;
}

bool promise_is_broken(enum promise_rule rule,
		       const struct promise_request *request,
		       const struct promise_entry *entries, size_t count)
{
	switch (rule) {
	case PROMISE_LOST:
		return is_lost(request, entries, count);
	case PROMISE_REFUSED:
		return is_refused(request, entries, count);
	case PROMISE_TWICE:
		return is_twice(request, entries, count);
	case PROMISE_MIXED:
		return is_mixed(request, entries, count);
	case PROMISE_GONE:
		return is_gone(request, entries, count);
	case PROMISE_RULES:
		break;
	}
	return false;
}
