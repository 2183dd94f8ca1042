#include "call/upstream_probe.h"

#include <stdio.h>
#include <string.h>

#include "base/counter.h"
#include "base/log.h"
#include "call/upstream_load.h"
#include "os/clock.h"

static const char component[] = "call";

enum {
	STATUS_OK = 200,
	STATUS_UNAVAILABLE = 503,
	URL_SIZE = ADDRESS_TEXT_SIZE + 16,
	ANSWER_MAX_BYTES = 4096,
};

COUNTER(probe_count, "call.recalls",
	"Times that an upstream was asked for its health as its node started");
COUNTER(confirm_count, "call.confirmations",
	"Times that an upstream was asked for its health before it was listed");
COUNTER(detected_count, "call.recalls_found",
	"Upstreams known by that before they announced themselves");

void upstream_probe_init(struct upstream_probe *upstream_probe,
			 const struct upstream_probe_options *options)
{
	memset(upstream_probe, 0, sizeof(*upstream_probe));
	upstream_probe->options = *options;
}

void upstream_probe_finish(struct upstream_probe *upstream_probe)
{
	if (upstream_probe->transfer)
		http_client_cancel(upstream_probe->transfer);
	upstream_probe->transfer = NULL;
}

/* Returns the slots that the upstream reports; 0 if the value is malformed or
 * out of range. */
static uint32_t read_slots(const char *text)
{
	struct upstream_load load;

	if (!upstream_load_parse(text, &load) ||
	    load.slots > ANNOUNCE_SLOTS_MAX)
		return 0;
	return load.slots;
}

bool upstream_probe_parse(const struct call_names *names,
			  const struct http_answer *answer,
			  struct announcement *upstream)
{
	const char *id = http_answer_header(answer, names->instance_id);
	uint32_t slots = read_slots(http_answer_header(answer, names->load));

	if (answer->delivery != HTTP_ANSWERED || answer->status != STATUS_OK)
		return false;
	if (!id || !*id || strlen(id) >= sizeof(upstream->id) || !slots)
		return false;
	memcpy(upstream->id, id, strlen(id) + 1);
	upstream->slots = slots;
	upstream->state = UPSTREAM_SERVING;
	return true;
}

enum upstream_health upstream_probe_health(const struct call_names *names,
					   const struct http_answer *answer,
					   const char **id)
{
	*id = NULL;
	if (answer->delivery != HTTP_ANSWERED)
		return UPSTREAM_UNKNOWN;
	*id = http_answer_header(answer, names->instance_id);
	/* An upstream that rejects the request says nothing of its health. */
	if (!*id || http_answer_header(answer, names->not_run))
		return UPSTREAM_UNKNOWN;
	switch (answer->status) {
	case STATUS_OK:
		return UPSTREAM_TAKES_REQUESTS;
	case STATUS_UNAVAILABLE:
		return UPSTREAM_TAKES_NONE;
	default:
		return UPSTREAM_UNKNOWN;
	}
}

/* Lists the upstream that has answered the probe. */
static void detect(struct upstream_probe *upstream_probe,
		   const struct http_answer *answer)
{
	const struct upstream_probe_options *options = &upstream_probe->options;
	struct announce_message message = { .is_answer = true };

	if (announce_current(options->announce) ||
	    !upstream_probe_parse(options->names, answer, &message.upstream))
		return;
	snprintf(message.upstream.service, sizeof(message.upstream.service),
		 "%s", options->service);
	memcpy(message.upstream.profile, upstream_probe->profile,
	       sizeof(message.upstream.profile));
	message.upstream.address = options->address;
	counter_add(&detected_count, 1);
	log_info(component, "upstream_recalled",
		 LOG_TEXT("start", message.upstream.id),
		 LOG_NUMBER("slots", message.upstream.slots));
	announce_receive(options->announce, &message);
}

static void probe_answered(const struct http_answer *answer, void *data)
{
	struct upstream_probe *upstream_probe = data;
	const struct upstream_probe_options *options = &upstream_probe->options;
	enum upstream_health health;
	const char *id;

	upstream_probe->transfer = NULL;
	if (answer->delivery != HTTP_ANSWERED)
		log_warn(component, "recall_failed",
			 LOG_TEXT("text", answer->err->text));
	if (!announce_held(options->announce)) {
		detect(upstream_probe, answer);
		return;
	}
	health = upstream_probe_health(options->names, answer, &id);
	announce_health(options->announce, id, health);
}

static void send_probe(struct upstream_probe *upstream_probe,
		       const struct address *to, const char *path)
{
	const struct upstream_probe_options *options = &upstream_probe->options;
	char address[ADDRESS_TEXT_SIZE];
	char url[URL_SIZE];
	const struct http_request request = {
		.method = "GET",
		.url = url,
		.target = path,
		.connect_timeout_ms = options->timeout_ms,
		.timeout_ms = options->timeout_ms,
		.max_answer_bytes = ANSWER_MAX_BYTES,
		.new_connection = true,
	};

	upstream_probe->sent = true;
	snprintf(url, sizeof(url), "http://%s", address_format(to, address));
	upstream_probe->transfer = http_client_send(
		options->client, &request, probe_answered, upstream_probe);
}

void upstream_probe_send(struct upstream_probe *upstream_probe,
			 const char *profile, const char *path)
{
	const struct upstream_probe_options *options = &upstream_probe->options;

	if (upstream_probe->sent || !options->address.family ||
	    !*options->service || !*path || announce_current(options->announce))
		return;
	counter_add(&probe_count, 1);
	snprintf(upstream_probe->profile, sizeof(upstream_probe->profile), "%s",
		 profile);
	send_probe(upstream_probe, &options->address, path);
}

void upstream_probe_confirm(struct upstream_probe *upstream_probe,
			    const struct announcement *held, const char *path)
{
	if (upstream_probe->transfer)
		return;
	if (!*path) {
		announce_health(upstream_probe->options.announce, NULL,
				UPSTREAM_UNKNOWN);
		return;
	}
	counter_add(&confirm_count, 1);
	send_probe(upstream_probe, &held->address, path);
}
