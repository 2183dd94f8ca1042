#include "call/announce.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "base/counter.h"
#include "base/log.h"
#include "os/clock.h"
#include "platform/heartbeat.h"

static const char component[] = "call";
static const char path[] = "/v1/upstream";

enum {
	STATUS_OK = 200,
	STATUS_NO_CONTENT = 204,
	STATUS_INVALID = 400,
	STATUS_NOT_FOUND = 404,
	STATUS_BAD_METHOD = 405,
	BODY_MAX_BYTES = 16 * 1024,
	LOAD_MAX = 1000,
	/* Announcements may come late by seconds, and one of them may get
	 * lost. */
	LATE_MAX_MS = 3000,
	INTERVALS_MAX = 2,
	/* Health checks without a result after which the newest message is
	 * believed: each of them has followed a newer message. */
	HEALTH_UNKNOWN_MAX = 2,
};

COUNTER(renewed, "call.announcements", "Announcements of the own upstream");
COUNTER(invalid, "call.announcements_invalid",
	"Announcements refused because they break a rule");
COUNTER(stale, "call.announcements_overtaken",
	"Words of the upstream that came late, after newer ones");
COUNTER(expired_count, "call.announcements_expired",
	"Times that the own upstream stopped renewing");

COUNTER(held_count, "call.announcements_held",
	"Words of the upstream that waited for its health check, since an "
	"earlier process of this node may know that the upstream leaves");
COUNTER(refuted_count, "call.announcements_refuted",
	"Words of the upstream that its health check did not confirm");

static bool set_member_error(struct error *err, const char *name,
			     const char *rule)
{
	error_set(err, ERROR_INVALID, "\"%s\" must be %s", name, rule);
	return false;
}

/* Names are copied into logs, headers and records: only printable ASCII
 * characters are valid. */
static bool parse_name(const json_t *root, const char *name, char *out,
		       size_t size, struct error *err)
{
	const char *text = json_string_value(json_object_get(root, name));
	const char *at = text;

	while (at && *at > ' ' && *at < 0x7f)
		at++;
	if (!text || !*text || *at || strlen(text) >= size)
		return set_member_error(
			err, name,
			"a short name of printable ASCII characters");
	memcpy(out, text, strlen(text) + 1);
	return true;
}

static bool parse_address(const json_t *root, struct address *address,
			  struct error *err)
{
	const char *text = json_string_value(json_object_get(root, "address"));

	if (text && address_parse(text, address, NULL) && address->port)
		return true;
	return set_member_error(err, "address", "an IP address and a port");
}

static bool parse_slots(const json_t *root, uint32_t *slots, struct error *err)
{
	const json_t *value = json_object_get(root, "slots");
	json_int_t number = json_integer_value(value);

	if (!json_is_integer(value) || number < 1 ||
	    number > ANNOUNCE_SLOTS_MAX)
		return set_member_error(err, "slots",
					"a number from 1 to 100000");
	*slots = (uint32_t)number;
	return true;
}

static bool parse_state(const json_t *root, enum upstream_state *state,
			struct error *err)
{
	static const enum upstream_state states[] = { UPSTREAM_STARTING,
						      UPSTREAM_SERVING,
						      UPSTREAM_LEAVING };
	const char *text = json_string_value(json_object_get(root, "state"));
	size_t i;

	for (i = 0; text && i < sizeof(states) / sizeof(states[0]); i++) {
		if (strcmp(text, upstream_state_name(states[i])))
			continue;
		*state = states[i];
		return true;
	}
	return set_member_error(err, "state", "starting, serving or leaving");
}

static bool parse_load(const json_t *root, double *load, struct error *err)
{
	const json_t *value = json_object_get(root, "load");

	*load = json_number_value(value);
	if (value && (!json_is_number(value) || *load < 0 || *load > LOAD_MAX))
		return set_member_error(err, "load", "a number from 0 to 1000");
	return true;
}

static bool check_members(json_t *root, struct error *err)
{
	static const char *const known[] = { "service", "profile", "address",
					     "slots",	"state",   "load" };
	const char *name;
	json_t *value;
	size_t i;

	json_object_foreach(root, name, value) {
		for (i = 0; i < sizeof(known) / sizeof(known[0]); i++)
			if (!strcmp(name, known[i]))
				break;
		if (i < sizeof(known) / sizeof(known[0]))
			continue;
		error_set(err, ERROR_INVALID, "unknown member \"%.40s\"", name);
		return false;
	}
	return true;
}

bool announce_parse(const void *text, size_t size,
		    struct announcement *announcement, struct error *err)
{
	json_error_t json_error;
	json_t *root;
	bool valid;

	if (size > BODY_MAX_BYTES) {
		error_set(err, ERROR_INVALID, "the body is larger than 16 KiB");
		return false;
	}
	root = json_loadb(text, size, JSON_REJECT_DUPLICATES, &json_error);
	if (!json_is_object(root)) {
		error_set(err, ERROR_INVALID,
			  "the body is not a JSON object%s%s", root ? "" : ": ",
			  root ? "" : json_error.text);
		json_decref(root);
		return false;
	}
	memset(announcement, 0, sizeof(*announcement));
	valid = check_members(root, err) &&
		parse_name(root, "service", announcement->service,
			   sizeof(announcement->service), err) &&
		parse_name(root, "profile", announcement->profile,
			   sizeof(announcement->profile), err) &&
		parse_address(root, &announcement->address, err) &&
		parse_slots(root, &announcement->slots, err) &&
		parse_state(root, &announcement->state, err) &&
		parse_load(root, &announcement->load, err);
	json_decref(root);
	return valid;
}

static bool equal_except_load(const struct announcement *a,
			      const struct announcement *b)
{
	return !strcmp(a->service, b->service) &&
	       !strcmp(a->profile, b->profile) &&
	       address_equal(&a->address, &b->address) &&
	       !strcmp(a->id, b->id) && a->start == b->start &&
	       !strcmp(a->version, b->version) && a->slots == b->slots &&
	       a->state == b->state;
}

static void remove_upstream(struct announce *announce)
{
	if (!announce->present)
		return;
	announce->present = false;
	announce->told_leaving = false;
	timer_cancel(announce->options.loop, &announce->expiry);
	announce->options.changed(NULL, announce->options.data);
}

static void expiry_elapsed(struct timer *timer, void *data)
{
	struct announce *announce = data;

	counter_add(&expired_count, 1);
	log_warn(component, "upstream_expired",
		 LOG_TEXT("service", announce->current.service));
	remove_upstream(announce);
}

int64_t announce_lifetime_ms(const struct announce_options *options)
{
	int64_t late_ms = INTERVALS_MAX * options->interval_ms + LATE_MAX_MS;

	if (!options->interval_ms || late_ms < options->ttl_ms)
		return options->ttl_ms;
	return late_ms;
}

static void set_announcement(struct announce *announce,
			     const struct announcement *announcement)
{
	bool changed = !announce->present ||
		       !equal_except_load(&announce->current, announcement);

	counter_add(&renewed, 1);
	announce->current = *announcement;
	announce->present = true;
	timer_set(announce->options.loop, &announce->expiry,
		  clock_monotonic_us() +
			  announce_lifetime_ms(&announce->options) * US_PER_MS);
	if (!changed)
		return;
	log_info(component, "upstream_changed",
		 LOG_TEXT("service", announcement->service),
		 LOG_TEXT("start", announcement->id),
		 LOG_TEXT("version", announcement->version),
		 LOG_TEXT("state", upstream_state_name(announcement->state)),
		 LOG_NUMBER("slots", announcement->slots),
		 LOG_NUMBER("cold_ms", announcement->cold_ms));
	announce->options.changed(&announce->current, announce->options.data);
}

static void reply_json(struct http_exchange *exchange, unsigned int status,
		       json_t *body)
{
	const struct http_header header = { "Content-Type",
					    "application/json" };
	char *text = json_dumps(body, JSON_COMPACT);

	http_exchange_reply(exchange, status, &header, 1, text,
			    text ? strlen(text) : 0);
	free(text);
	json_decref(body);
}

static void reply_error(struct http_exchange *exchange, unsigned int status,
			const char *text)
{
	reply_json(exchange, status,
		   json_pack("{s:s, s:s}", "error", "invalid", "text", text));
}

static void handle_put(struct announce *announce,
		       struct http_exchange *exchange)
{
	struct announcement announcement;
	struct error err = ERROR_INIT;
	size_t size;
	const uint8_t *body = http_exchange_body(exchange, &size);

	if (!announce_parse(body, size, &announcement, &err)) {
		counter_add(&invalid, 1);
		reply_error(exchange, STATUS_INVALID, err.text);
		return;
	}
	if (!address_equal(&announcement.address, &announce->current.address))
		announce->told_leaving = false;
	if (announce->told_leaving)
		announcement.state = UPSTREAM_LEAVING;
	set_announcement(announce, &announcement);
	reply_json(exchange, STATUS_OK, announce_dump(announce));
}

static void apply_deregistration(struct announce *announce)
{
	struct announcement upstream = announce->current;

	if (!announce->present)
		return;
	/* The upstream may need long to finish its running requests, so its
	 * announcement is kept. */
	upstream.state = UPSTREAM_LEAVING;
	set_announcement(announce, &upstream);
}

/* Returns a hash of the id and the start time: an upstream may start again
 * under the id that it had. */
static uint64_t start_of(const struct incarnation *incarnation)
{
	uint64_t seed = (uint64_t)incarnation->start_time_ms;

	return XXH64(incarnation->id, strlen(incarnation->id), seed);
}

static void drop_held(struct announce *announce)
{
	announce->is_held = false;
	announce->unknown_count = 0;
}

static void hold(struct announce *announce,
		 const struct announcement *announcement)
{
	counter_add(&held_count, 1);
	log_info(component, "upstream_held",
		 LOG_TEXT("start", announcement->id),
		 LOG_TEXT("service", announcement->service));
	announce->held = *announcement;
	announce->is_held = true;
	announce->options.held(&announce->held, announce->options.data);
}

static void list_held(struct announce *announce)
{
	struct announcement held = announce->held;

	drop_held(announce);
	announce->confirmed = held.address;
	log_info(component, "upstream_confirmed", LOG_TEXT("start", held.id));
	set_announcement(announce, &held);
}

static void refute_held(struct announce *announce, const char *id)
{
	counter_add(&refuted_count, 1);
	log_warn(component, "upstream_refuted",
		 LOG_TEXT("start", announce->held.id),
		 LOG_TEXT("answered", id ? id : ""));
	drop_held(announce);
}

void announce_health(struct announce *announce, const char *id,
		     enum upstream_health health)
{
	if (!announce->is_held)
		return;
	if (health != UPSTREAM_UNKNOWN && id && strcmp(id, announce->held.id)) {
		refute_held(announce, id);
		return;
	}
	switch (health) {
	case UPSTREAM_TAKES_REQUESTS:
		list_held(announce);
		return;
	case UPSTREAM_TAKES_NONE:
		refute_held(announce, id);
		return;
	case UPSTREAM_UNKNOWN:
		if (++announce->unknown_count >= HEALTH_UNKNOWN_MAX)
			list_held(announce);
		return;
	}
}

const struct announcement *announce_held(const struct announce *announce)
{
	return announce->is_held ? &announce->held : NULL;
}

/* Returns true if the upstream has to confirm a message that says that it takes
 * requests. Where it has confirmed one, this process has heard all that matters
 * since: an earlier incarnation is gone from the address. */
static bool needs_health(struct announce *announce,
			 const struct announce_message *message)
{
	const struct address *address = &message->upstream.address;

	if (message->is_answer)
		announce->confirmed = *address;
	return announce->options.confirm && !message->leaving &&
	       !address_equal(&announce->confirmed, address);
}

void announce_receive(struct announce *announce,
		      const struct announce_message *message)
{
	struct announcement upstream = message->upstream;
	const struct incarnation_message incarnation = {
		.id = message->upstream.id,
		.start_time_ms = message->start_time_ms,
		.sequence = message->sequence,
		.leaving = message->leaving
	};
	uint32_t change_count = announce->incarnations.change_count;

	if (!incarnations_update(&announce->incarnations, &incarnation)) {
		counter_add(&stale, 1);
		return;
	}
	/* The state of the previous process is not valid for a new process,
	 * even if both have the same id and address. */
	if (change_count != announce->incarnations.change_count) {
		remove_upstream(announce);
		drop_held(announce);
	}
	upstream.start = start_of(&announce->incarnations.present);
	if (needs_health(announce, message)) {
		hold(announce, &upstream);
		return;
	}
	drop_held(announce);
	if (message->is_deregistration)
		apply_deregistration(announce);
	else
		set_announcement(announce, &upstream);
}

void announce_leaving(struct announce *announce)
{
	struct announce_message message = { .leaving = true,
					    .is_deregistration = true };

	if (!announce->present)
		return;
	if (*announce->current.id) {
		message.upstream = announce->current;
		announce_receive(announce, &message);
		return;
	}
	announce->told_leaving = true;
	apply_deregistration(announce);
}

/* Answers after the message has taken effect: once a leaving upstream has the
 * answer, the gate admits no more requests to it. */
static void handle_message(struct announce *announce,
			   struct http_exchange *exchange)
{
	struct error err = ERROR_INIT;
	struct announce_message message;
	size_t size;
	const uint8_t *body = http_exchange_body(exchange, &size);

	if (heartbeat_read(http_exchange_method(exchange),
			   http_exchange_path(exchange), body, size, &message,
			   &err)) {
		announce_receive(announce, &message);
		reply_json(exchange, STATUS_OK, json_object());
		return;
	}
	counter_add(&invalid, 1);
	log_warn(component, "announcement_refused",
		 LOG_TEXT("reason", err.text));
	reply_error(exchange,
		    err.code == ERROR_NOT_FOUND ? STATUS_NOT_FOUND
						: STATUS_INVALID,
		    err.text);
}

void announce_unreachable(struct announce *announce)
{
	if (!announce->present)
		return;
	log_warn(component, "upstream_lost",
		 LOG_TEXT("service", announce->current.service),
		 LOG_TEXT("start", announce->current.id));
	remove_upstream(announce);
}

void announce_confirm_id(struct announce *announce, const char *id)
{
	if (!incarnations_confirm(&announce->incarnations, id))
		return;
	drop_held(announce);
	if (!announce->present)
		return;
	log_warn(component, "upstream_corrected", LOG_TEXT("start", id),
		 LOG_TEXT("announced", announce->current.id));
	remove_upstream(announce);
}

void announce_handle(struct http_exchange *exchange, void *data)
{
	struct announce *announce = data;
	const char *method = http_exchange_method(exchange);

	if (announce->options.form == INTERFACE_PLATFORM) {
		handle_message(announce, exchange);
		return;
	}

	if (strcmp(http_exchange_path(exchange), path)) {
		reply_error(exchange, STATUS_NOT_FOUND,
			    "this address serves only /v1/upstream");
	} else if (!strcmp(method, "PUT")) {
		handle_put(announce, exchange);
	} else if (!strcmp(method, "DELETE")) {
		remove_upstream(announce);
		http_exchange_reply(exchange, STATUS_NO_CONTENT, NULL, 0, "",
				    0);
	} else if (!strcmp(method, "GET")) {
		reply_json(exchange, STATUS_OK, announce_dump(announce));
	} else {
		reply_error(exchange, STATUS_BAD_METHOD,
			    "the method must be GET, PUT or DELETE");
	}
}

void announce_init(struct announce *announce,
		   const struct announce_options *options)
{
	memset(announce, 0, sizeof(*announce));
	announce->options = *options;
	timer_init(&announce->expiry, expiry_elapsed, announce);
}

void announce_finish(struct announce *announce)
{
	timer_cancel(announce->options.loop, &announce->expiry);
}

const struct announcement *announce_current(const struct announce *announce)
{
	return announce->present ? &announce->current : NULL;
}

json_t *announce_dump(const struct announce *announce)
{
	const struct announcement *current = &announce->current;
	char text[ADDRESS_TEXT_SIZE];

	if (!announce->present)
		return json_pack("{s:b}", "present", 0);
	return json_pack("{s:b, s:s, s:s, s:s, s:i, s:s, s:f, s:I}", "present",
			 1, "service", current->service, "profile",
			 current->profile, "address",
			 address_format(&current->address, text), "slots",
			 (int)current->slots, "state",
			 upstream_state_name(current->state), "load",
			 current->load, "ttl_ms",
			 (json_int_t)announce_lifetime_ms(&announce->options));
}
