#include "fuzz/targets.h"

#include <apr_general.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "call/announce.h"
#include "call/frames.h"
#include "call/parsed_request.h"
#include "call/tenant_check.h"
#include "fuzz/answer.h"
#include "http/server.h"
#include "membership/directory.h"
#include "membership/packet.h"
#include "node/tally.h"
#include "node/settings.h"
#include "operator/target.h"
#include "os/clock.h"
#include "os/net.h"
#include "platform/document.h"
#include "platform/heartbeat.h"
#include "profile/head.h"
#include "profile/key_set.h"
#include "profile/profile.h"
#include "quarantine/frames.h"
#include "quota/client.h"
#include "quota/frames.h"
#include "quota/owner.h"
#include "wire/codec.h"
#include "wire/compressor.h"
#include "wire/hub.h"

enum { LOOP_TURNS_MAX = 200, LOOP_TURN_US = 1000, CALLER_TURNS = 4 };

const char *fuzz_target_name(enum fuzz_target target)
{
	switch (target) {
	case FUZZ_FRAME:
		return "frame";
	case FUZZ_HUB:
		return "hub";
	case FUZZ_HEAD:
		return "head";
	case FUZZ_SETTINGS:
		return "settings";
	case FUZZ_PROFILE:
		return "profile";
	case FUZZ_PATH:
		return "path";
	case FUZZ_ANNOUNCE:
		return "announce";
	case FUZZ_CALLER:
		return "caller";
	case FUZZ_HEARTBEAT:
		return "heartbeat";
	case FUZZ_DOCUMENT:
		return "document";
	case FUZZ_DIRECTORY:
		return "directory";
	case FUZZ_PACKED:
		return "packed";
	case FUZZ_LOG:
		return "log";
	case FUZZ_KEY:
		return "key";
	case FUZZ_ANSWER:
		return "answer";
	case FUZZ_TARGETS:
		break;
	}
	return "";
}

static void require(bool holds, const char *what)
{
	if (holds)
		return;
	fprintf(stderr, "fuzz: %s\n", what);
	abort();
}

/* A decoded call frame survives being encoded and decoded again. */
static void check_call_frame(const struct message *message)
{
	struct error err = ERROR_INIT;
	struct call_frame frame;
	struct call_frame again;
	struct message copy;
	struct encoder encoder;
	const uint8_t *bytes;
	size_t size;

	if (!call_frame_decode(&frame, message, &err)) {
		require(error_is_set(&err),
			"input rejected without an error message");
		return;
	}
	encoder_init(&encoder);
	bytes = call_frame_encode(&encoder, &frame, &size);
	require(message_decode(&copy, bytes + CODEC_LENGTH_BYTES,
			       size - CODEC_LENGTH_BYTES, &err) &&
			call_frame_decode(&again, &copy, &err),
		err.text);
	require(again.type == frame.type && call_id_equal(again.id, frame.id),
		"a frame differs after encoding and decoding");
	message_finish(&copy);
	encoder_finish(&encoder);
}

static void check_packet(const struct message *message)
{
	struct error err = ERROR_INIT;
	struct packet_head head;
	struct packet_item item;
	struct summary summary;
	struct address address;
	uint32_t i;

	packet_head_decode(message, &head, &err);
	for (i = 0; i < message->count; i++) {
		error_clear(&err);
		if (!packet_item_decode(&message->fields[i], &item, &err))
			require(error_is_set(&err),
				"item rejected without an error message");
		packet_summary_decode(&message->fields[i], &summary, &err);
		if (i + 1 < message->count)
			packet_address_decode(&message->fields[i], &address,
					      &err);
	}
}

static void check_findings(const struct message *message)
{
	struct error err = ERROR_INIT;
	struct quarantine_finding finding;
	struct quarantine_table table;
	int64_t age_ms;
	uint32_t at;

	quarantine_table_init(&table);
	for (at = 0;
	     quarantine_findings_decode(message, at, &finding, &age_ms, &err);
	     at++) {
		require(finding.crash_count <= QUARANTINE_CRASHES_MAX,
			"a finding has too many crashes");
		quarantine_table_merge(&table, &finding, age_ms * 1000, 0);
	}
	quarantine_table_finish(&table);
}

enum { QUOTA_TENANT = 7, QUOTA_BURST = 30 };

static const struct quota_limit quota_limit = { .tenant = QUOTA_TENANT,
						.per_s = 10,
						.burst = QUOTA_BURST };

/* Whatever nodes ask for or give back, an owner makes no token without their
 * contributions, and saves no more than the burst. */
static void check_quota_ask(const struct quota_ask *ask)
{
	struct quota_owner owner;
	struct quota_grant grant;
	uint32_t granted = 0;
	uint32_t i;

	quota_owner_init(&owner, 0);
	quota_owner_set_limits(&owner, &quota_limit, 1, 0);
	require(quota_owner_ask(&owner, 1, ask, US_PER_S, &grant),
		"the first ask of a node was taken for an old one");
	require(!quota_owner_ask(&owner, 1, ask, US_PER_S, &grant),
		"an ask was handled twice");
	for (i = 0; i < grant.count; i++)
		granted += grant.items[i].granted;
	require(granted <= QUOTA_BURST, "more than the burst was granted");
	quota_owner_finish(&owner);
}

static void check_quota_move(const struct quota_move *move)
{
	struct quota_move transfer = { .count = 0 };
	struct quota_owner owner;

	quota_owner_init(&owner, 0);
	quota_owner_set_limits(&owner, &quota_limit, 1, 0);
	require(!quota_owner_wanted(&owner, move, 0, &transfer),
		"an owner without tokens gave some");
	quota_owner_receive(&owner, 1, move, 0);
	quota_owner_wanted(&owner, move, 1, &transfer);
	require(quota_owner_find(&owner, QUOTA_TENANT, 1)->bucket.tokens >= 0,
		"an owner gave tokens that it has not");
	quota_owner_finish(&owner);
}

/* An answer to an ask that was not made has no effect. */
static void check_quota_grant(const struct quota_grant *grant)
{
	struct quota_client client;
	struct quota_request request;

	quota_client_init(&client, 1, 0);
	quota_client_set_limits(&client, &quota_limit, 1, 0);
	quota_client_granted(&client, grant, 0);
	require(quota_client_take(&client, QUOTA_TENANT, &request, 0, 0) !=
			QUOTA_GRANTED,
		"a token was granted without an ask");
	quota_client_finish(&client);
}

static void check_quota(const struct message *message)
{
	struct error err = ERROR_INIT;
	struct quota_grant grant;
	struct quota_move move;
	struct quota_ask ask;

	if (quota_ask_decode(message, &ask, &err))
		check_quota_ask(&ask);
	else
		require(error_is_set(&err), "ask rejected without a message");
	error_clear(&err);
	if (quota_grant_decode(message, &grant, &err))
		check_quota_grant(&grant);
	else
		require(error_is_set(&err), "grant rejected without a message");
	error_clear(&err);
	if (quota_move_decode(message, &move, &err))
		check_quota_move(&move);
	else
		require(error_is_set(&err), "move rejected without a message");
}

static void run_frame(const uint8_t *data, size_t size)
{
	struct error err = ERROR_INIT;
	struct message message;

	if (!message_decode(&message, data, size, &err)) {
		require(error_is_set(&err),
			"input rejected without an error message");
		return;
	}
	require(codec_check(data, size, &err),
		"input decoded, but codec_check() rejects it");
	check_call_frame(&message);
	check_packet(&message);
	check_findings(&message);
	check_quota(&message);
	message_finish(&message);
}

/* One hub serves all inputs: the bytes of one connection must not affect later
 * connections. */
static struct wire_hub *shared_hub(struct loop *loop)
{
	static struct wire_hub hub;
	static bool started;
	struct identity self = {
		.deployment = "fuzz",
		.data_centre = "dc",
		.instance = "i",
	};
	struct error err = ERROR_INIT;
	struct wire_key key;

	if (started)
		return &hub;
	wire_key_init(&key, "a secret of the fuzzer", "fuzz");
	address_parse("127.0.0.1:0", &self.address, &err);
	require(wire_hub_init(&hub, loop, &self, &key, &err), err.text);
	started = true;
	return &hub;
}

static struct loop *shared_loop(void)
{
	static struct loop loop;
	static bool started;
	struct error err = ERROR_INIT;

	if (started)
		return &loop;
	apr_initialize();
	require(loop_init(&loop, &err), err.text);
	started = true;
	return &loop;
}

/* Sends the bytes on a new connection and closes the connection. *@open is the
 * number of connections that the listening side holds open. */
static void send_bytes(const struct address *to, const uint32_t *open,
		       const uint8_t *data, size_t size)
{
	struct loop *loop = shared_loop();
	struct error err = ERROR_INIT;
	int fd = net_connect(to, NULL, &err);
	uint32_t before = *open;
	int i;

	require(fd != NET_NONE, err.text);
	for (i = 0; i < LOOP_TURNS_MAX && *open == before; i++)
		loop_turn(loop, LOOP_TURN_US);
	net_write(fd, data, &size);
	net_close(fd);
	for (i = 0; i<LOOP_TURNS_MAX && * open> before; i++)
		loop_turn(loop, LOOP_TURN_US);
	require(*open == before, "the connection was not closed");
}

static void run_hub(const uint8_t *data, size_t size)
{
	struct wire_hub *hub = shared_hub(shared_loop());

	send_bytes(&hub->self.address, &hub->conn_count, data, size);
}

/* Returns a table of one tenant with the key "the-key". */
static const struct tenant_table *shared_tenants(void)
{
	static const char key[] = "the-key";
	static struct tenant_table table;
	static struct faults faults;
	struct key_digest digest = key_digest_of(key, strlen(key));
	char hex[KEY_DIGEST_TEXT_SIZE];
	struct config *config;
	char text[128];

	if (table.count)
		return &table;
	snprintf(text, sizeof(text), "[tenant.shop]\nkeys = [\"%s\"]\n",
		 key_digest_text(&digest, hex));
	config = config_new(1);
	config->profiles[0].profile =
		profile_parse("fuzz", text, strlen(text), &faults);
	require(config->profiles[0].profile, faults.items[0].text);
	tenants_build(&table, config, NULL);
	return &table;
}

/* A key is refused with a reason or names its tenant. */
static void check_key(const struct http_exchange *exchange)
{
	const struct call_names *names = call_names(INTERFACE_OWN);
	const char *field = http_exchange_header(exchange, names->key);
	struct error err = ERROR_INIT;
	const struct tenant *tenant;

	if (!field)
		return;
	tenant = tenant_check_key(shared_tenants(), names->key_scheme, field,
				  &err);
	require(!tenant == error_is_set(&err),
		"a key is refused without an error message");
	require(!tenant || strstr(field, "the-key"),
		"a tenant without its key");
}

static void answer_caller(struct http_exchange *exchange, void *data)
{
	struct error err = ERROR_INIT;
	struct parsed_request parsed;
	enum call_reason reason =
		parsed_request_read(&parsed, call_names(INTERFACE_OWN), "",
				    exchange, clock_monotonic_us(), &err);

	require((reason == CALL_REASON_NONE) == !error_is_set(&err),
		"the reason code and the error message disagree");
	check_key(exchange);
	parsed_request_drop(&parsed, "Authorization");
	parsed_request_finish(&parsed);
	http_exchange_reply(exchange, reason == CALL_REASON_NONE ? 200 : 400,
			    NULL, 0, "", 0);
}

static struct http_server *shared_server(struct loop *loop)
{
	static struct http_server server;
	static bool started;
	struct http_server_options options = {
		.max_body_bytes = 1024,
		.max_connections = 16,
		.idle_timeout_ms = 10000,
		.handler = answer_caller,
	};
	struct error err = ERROR_INIT;

	if (started)
		return &server;
	address_parse("127.0.0.1:0", &options.address, &err);
	require(http_server_init(&server, loop, &options, &err), err.text);
	started = true;
	return &server;
}

/* The HTTP library does not report that it accepted a connection, so that the
 * loop runs for a fixed number of turns instead. */
static void run_caller(const uint8_t *data, size_t size)
{
	struct loop *loop = shared_loop();
	struct http_server *server = shared_server(loop);
	struct error err = ERROR_INIT;
	int fd = net_connect(http_server_address(server), NULL, &err);
	int i;

	require(fd != NET_NONE, err.text);
	for (i = 0; i < CALLER_TURNS; i++)
		loop_turn(loop, 0);
	net_write(fd, data, &size);
	for (i = 0; i < CALLER_TURNS; i++)
		loop_turn(loop, 0);
	net_close(fd);
	for (i = 0; i < LOOP_TURNS_MAX && server->exchange_count; i++)
		loop_turn(loop, LOOP_TURN_US);
	require(!server->exchange_count, "an exchange was not finished");
}

static void run_announce(const uint8_t *data, size_t size)
{
	struct announcement announcement;
	struct error err = ERROR_INIT;
	bool valid = announce_parse(data, size, &announcement, &err);

	require(valid != error_is_set(&err),
		"input rejected without an error message");
	if (valid)
		require(announcement.slots <= ANNOUNCE_SLOTS_MAX,
			"more slots than ANNOUNCE_SLOTS_MAX");
}

static void run_head(const uint8_t *data, size_t size)
{
	struct error err = ERROR_INIT;
	struct head again;
	struct head head;
	size_t length;
	uint8_t *bytes;

	head_init(&head);
	head_init(&again);
	if (head_decode(&head, data, size, &err)) {
		bytes = head_encode(&head, &length);
		require(head_decode(&again, bytes, length, &err),
			"an encoded head cannot be decoded");
		require(!memcmp(head.chain, again.chain, sizeof(head.chain)),
			"the chain hash differs after encoding and decoding");
		free(bytes);
	}
	head_finish(&head);
	head_finish(&again);
}

static void run_settings(const uint8_t *data, size_t size)
{
	struct faults *faults = calloc(1, sizeof(*faults));
	struct settings *settings = calloc(1, sizeof(*settings));
	bool valid;

	require(faults && settings, "out of memory");
	valid = settings_parse(settings, (const char *)data, size, faults);
	require(valid == !faults->count,
		"the result and the list of faults disagree");
	free(settings);
	free(faults);
}

/* A tenant without a valid name could not be told to upstreams, and a key of
 * two tenants would prove either. */
static void check_tenants(const struct profile *profile)
{
	struct key_set keys = { 0 };
	uint32_t i;
	uint32_t j;

	require(profile->checks_keys || !profile->tenant_count,
		"a profile with tenants asks for no keys");
	for (i = 0; i < profile->tenant_count; i++) {
		const struct tenant *tenant = &profile->tenants[i];

		require(tenant_name_valid(tenant->name),
			"a tenant has an invalid name");
		require(tenant->per_s >= 0 &&
				tenant->per_s <= TENANT_LIMIT_MAX &&
				tenant->burst >= 0 &&
				tenant->burst <= TENANT_LIMIT_MAX,
			"a tenant has an invalid limit");
		for (j = 0; j < tenant->digest_count; j++)
			require(!key_set_add(&keys, &tenant->digests[j], 1),
				"a key is given twice");
	}
	key_set_finish(&keys);
}

static void run_profile(const uint8_t *data, size_t size)
{
	struct faults *faults = calloc(1, sizeof(*faults));
	struct profile *profile;
	uint32_t i;

	require(faults, "out of memory");
	profile = profile_parse("fuzz", (const char *)data, size, faults);
	require(!profile == !!faults->count,
		"the result and the list of faults disagree");
	for (i = 0; profile && i < profile->route_count; i++)
		require(profile->routes[i].kind < profile->kind_count,
			"a route refers to a kind that does not exist");
	if (profile) {
		profile_match(profile, "GET", "/cellars/7");
		check_tenants(profile);
	}
	profile_free(profile);
	free(faults);
}

static void run_path(const uint8_t *data, size_t size)
{
	struct target target;
	char *path = calloc(1, size + 1);

	require(path, "out of memory");
	if (size)
		memcpy(path, data, size);
	if (target_parse(path, &target))
		target_allows_method(target.resource, path);
	free(path);
}

/* The path has an allocation of exactly its size, so that the address sanitizer
 * detects a read past its end. */
static void run_heartbeat(const uint8_t *data, size_t size)
{
	const uint8_t *end = size ? memchr(data, '\n', size) : NULL;
	size_t path_size = end ? (size_t)(end - data) : size;
	const uint8_t *body = end ? end + 1 : data + size;
	struct announce_message message;
	struct error err = ERROR_INIT;
	char *path = calloc(1, path_size + 1);
	bool valid;

	require(path, "out of memory");
	if (path_size)
		memcpy(path, data, path_size);
	valid = heartbeat_read("POST", path, body, size - (body - data),
			       &message, &err);
	require(valid != error_is_set(&err),
		"input rejected without an error message");
	if (valid)
		require(message.upstream.id[0],
			"a message without an upstream id");
	free(path);
}

/* A document that is accepted must contain only profiles that nodes accept from
 * an operator. */
static void run_document(const uint8_t *data, size_t size)
{
	struct faults *faults = calloc(1, sizeof(*faults));
	struct error err = ERROR_INIT;
	struct document document;
	struct head head;
	size_t i;

	require(faults, "out of memory");
	if (!document_translate(&document, data, size, &err)) {
		require(error_is_set(&err),
			"input rejected without an error message");
		free(faults);
		return;
	}
	head_init(&head);
	require(head_decode(&head, document.head, document.head_size, &err),
		err.text);
	head_finish(&head);
	for (i = 0; i < DOCUMENT_BODIES; i++) {
		const struct buffer *body = &document.bodies[i];
		struct profile *profile;

		if (!buffer_size(body))
			continue;
		profile = profile_parse("fuzz", (const char *)buffer_data(body),
					buffer_size(body), faults);
		require(profile,
			"an accepted document contains an invalid profile");
		check_tenants(profile);
		profile_free(profile);
	}
	document_finish(&document);
	free(faults);
}

/* The entries parsed from any value are the same after formatting and parsing
 * them again. */
static void run_directory(const uint8_t *data, size_t size)
{
	static struct directory read;
	static struct directory again;
	static char text[DIRECTORY_TEXT_SIZE];
	static char text_again[DIRECTORY_TEXT_SIZE];
	size_t length;

	directory_parse(&read, (const char *)data, size);
	length = directory_format(&read, text);
	require(length < sizeof(text),
		"formatted text exceeds DIRECTORY_TEXT_SIZE");
	directory_parse(&again, text, length);
	require(directory_format(&again, text_again) == length &&
			!memcmp(text, text_again, length),
		"the directory differs after formatting and parsing");
}

static void run_packed(const uint8_t *data, size_t size)
{
	enum { DECOMPRESSED_MAX_BYTES = 16 * 1024 };
	struct compressor compressor = { 0 };
	struct buffer bytes = { 0 };
	struct error err = ERROR_INIT;
	bool valid = compressor_decompress(
		&compressor, data, size, DECOMPRESSED_MAX_BYTES, &bytes, &err);

	require(valid != error_is_set(&err),
		"input rejected without an error message");
	require(!valid || buffer_size(&bytes) <= DECOMPRESSED_MAX_BYTES,
		"decompressed data exceeds the limit");
	buffer_finish(&bytes);
	compressor_finish(&compressor);
}

static void run_log(const uint8_t *data, size_t size)
{
	struct tally tally;
	char *line = calloc(1, size + 1);

	require(line, "out of memory");
	if (size)
		memcpy(line, data, size);
	tally_init(&tally, 10);
	tally_add_line(&tally, line);
	require(tally.requests + tally.damaged <= 1,
		"one line was counted more than once");
	tally_finish(&tally);
	free(line);
}

/* The field has an allocation of exactly its size, so that the address
 * sanitizer detects a read past its end. */
static void run_key(const uint8_t *data, size_t size)
{
	const struct tenant_table *table = shared_tenants();
	struct error err = ERROR_INIT;
	const struct tenant *tenant;
	char *field = calloc(1, size + 1);

	require(field, "out of memory");
	if (size)
		memcpy(field, data, size);
	tenant = tenant_check_key(table, "Bearer", field, &err);
	require(!tenant == error_is_set(&err),
		"the tenant and the error message disagree");
	require(!tenant || strstr(field, "the-key"),
		"a tenant was found without its key");
	require(!strstr(err.text, "the-key"), "the reason shows the key");
	free(field);
}

void fuzz_run(enum fuzz_target target, const uint8_t *data, size_t size)
{
	switch (target) {
	case FUZZ_FRAME:
		run_frame(data, size);
		return;
	case FUZZ_HUB:
		run_hub(data, size);
		return;
	case FUZZ_HEAD:
		run_head(data, size);
		return;
	case FUZZ_SETTINGS:
		run_settings(data, size);
		return;
	case FUZZ_PROFILE:
		run_profile(data, size);
		return;
	case FUZZ_PATH:
		run_path(data, size);
		return;
	case FUZZ_ANNOUNCE:
		run_announce(data, size);
		return;
	case FUZZ_CALLER:
		run_caller(data, size);
		return;
	case FUZZ_HEARTBEAT:
		run_heartbeat(data, size);
		return;
	case FUZZ_DOCUMENT:
		run_document(data, size);
		return;
	case FUZZ_DIRECTORY:
		run_directory(data, size);
		return;
	case FUZZ_PACKED:
		run_packed(data, size);
		return;
	case FUZZ_LOG:
		run_log(data, size);
		return;
	case FUZZ_KEY:
		run_key(data, size);
		return;
	case FUZZ_ANSWER:
		fuzz_answer(data, size);
		return;
	case FUZZ_TARGETS:
		return;
	}
}
