#include "call/path_test.h"

#include <apr_general.h>
#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/counter.h"
#include "os/clock.h"
#include "os/net.h"

struct path path;

static const char profile_text[] = "services = [\"seal-desk\"]\n"
				   "retry_share = 1.0\n"
				   "cold_start_ms = 0\n"
				   "[kind.seal]\n"
				   "weight = 9.0\n"
				   "deadline_ms = 5000\n"
				   "attempts_max = 3\n"
				   "[kind.view]\n"
				   "weight = 2.0\n"
				   "deadline_ms = 5000\n"
				   "repeatable = true\n"
				   "attempts_max = 3\n"
				   "[kind.aimed]\n"
				   "deadline_ms = 5000\n"
				   "target_ms = 100\n"
				   "repeatable = true\n"
				   "attempts_max = 3\n"
				   "[kind.short]\n"
				   "deadline_ms = 400\n"
				   "[[route]]\n"
				   "path = \"/seal*\"\n"
				   "kind = \"seal\"\n"
				   "[[route]]\n"
				   "path = \"/aimed*\"\n"
				   "kind = \"aimed\"\n"
				   "[[route]]\n"
				   "path = \"/short*\"\n"
				   "kind = \"short\"\n"
				   "[[route]]\n"
				   "path = \"/view*\"\n"
				   "kind = \"view\"\n";

static void count_silent_peer(const struct record *record, void *data)
{
	path.silent_reports++;
}

static void count_drained(void *data)
{
	struct path_node *node = data;

	node->drained++;
}

static void node_start(struct path_node *node, const char *instance,
		       const struct address *address)
{
	struct identity self = { .deployment = "test",
				 .data_centre = "dc",
				 .incarnation = ++path.incarnations,
				 .address = *address };
	struct calls_options options = calls_defaults();
	struct gate_options gate = { .slots = 9,
				     .queue_max = 100,
				     .fair = true };
	struct http_server_options callers = {
		.max_body_bytes = PATH_BODY_SIZE,
		.max_connections = 100,
		.idle_timeout_ms = 60000,
		.handler = calls_handle,
		.data = &node->calls,
	};
	struct error err = ERROR_INIT;
	struct wire_key key;

	snprintf(self.instance, sizeof(self.instance), "%s", instance);
	wire_key_init(&key, "secret", "test");
	address_parse("127.0.0.1:0", &callers.address, &err);
	cr_assert(wire_hub_init(&node->hub, &path.loop, &self, &key, &err),
		  "%s", err.text);
	router_init(&node->router, "dc", 1);
	gate_init(&node->gate, &gate);
	cr_assert(http_client_init(&node->client, &path.loop, &err));
	options.loop = &path.loop;
	options.hub = &node->hub;
	options.router = &node->router;
	options.gate = &node->gate;
	options.client = &node->client;
	options.callers = &node->callers;
	options.drained = count_drained;
	options.data = node;
	options.silence_ms = PATH_SILENCE_MS;
	options.on_peer_silent = count_silent_peer;
	calls_init(&node->calls, &options);
	cr_assert(http_server_init(&node->callers, &path.loop, &callers, &err));
	router_set_config(&node->router, path.config);
	node->running = true;
}

static void node_stop(struct path_node *node)
{
	if (!node->running)
		return;
	calls_finish(&node->calls);
	http_server_finish(&node->callers);
	router_finish(&node->router);
	http_client_finish(&node->client);
	gate_finish(&node->gate);
	wire_hub_finish(&node->hub);
	node->running = false;
}

static void open_gate(struct path_node *node)
{
	gate_set_state(&node->gate, GATE_OPEN, loop_now_us(&path.loop));
	calls_set_upstream(&node->calls, "seal-desk", "", 0,
			   &path.upstream.address);
}

static void route_to(const struct path_node *node,
		     const struct address *address)
{
	struct record record = {
		.data_centre = "dc",
		.service = "seal-desk",
		.profile = "cellar",
		.address = *address,
		.incarnation = node->hub.self.incarnation,
		.sequence = 1,
		.state = UPSTREAM_SERVING,
		.slots = 9,
		.serving_age_ms = 1000000,
	};

	memcpy(record.instance, node->hub.self.instance,
	       sizeof(record.instance));
	router_set_record(&path.a.router, &record, true,
			  loop_now_us(&path.loop));
}

void path_route_to_b(void)
{
	route_to(&path.b, &path.relay.address);
}

void path_route_to_own(void)
{
	router_drop_record(&path.a.router, "b");
	open_gate(&path.a);
	route_to(&path.a, &path.a.hub.self.address);
}

void path_start_b(void)
{
	struct address address = path.relay.to;

	if (!address.family)
		address_parse("127.0.0.1:0", &address, NULL);
	node_start(&path.b, "b", &address);
	path.relay.to = path.b.hub.self.address;
	open_gate(&path.b);
}

void path_stop_b(void)
{
	node_stop(&path.b);
}

static void load_config(void)
{
	static struct faults faults;

	path.config = config_new(1);
	path.config->version = 1;
	path.config->profiles[0].profile = profile_parse(
		"cellar", profile_text, strlen(profile_text), &faults);
	cr_assert_not_null(path.config->profiles[0].profile, "%s",
			   faults.items[0].text);
}

void path_setup(void)
{
	struct error err = ERROR_INIT;
	struct address any;

	apr_initialize();
	memset(&path, 0, sizeof(path));
	cr_assert(loop_init(&path.loop, &err));
	cr_assert(http_client_init(&path.client, &path.loop, &err));
	load_config();
	fake_upstream_start(&path.upstream);
	relay_start(&path.relay);
	address_parse("127.0.0.1:0", &any, &err);
	node_start(&path.a, "a", &any);
	path_start_b();
	path_route_to_b();
}

void path_teardown(void)
{
	http_client_finish(&path.client);
	node_stop(&path.a);
	node_stop(&path.b);
	relay_stop(&path.relay);
	fake_upstream_stop(&path.upstream);
	config_unref(path.config);
	loop_finish(&path.loop);
}

/* ---- the callers ---- */

static void copy_header(const struct http_answer *answer, const char *name,
			char *out, size_t size)
{
	const char *value = http_answer_header(answer, name);

	snprintf(out, size, "%s", value ? value : "");
}

static void answer_received(const struct http_answer *answer, void *data)
{
	struct path_result *result = data;

	result->answers++;
	result->delivery = answer->delivery;
	result->status = answer->status;
	result->body_size = answer->body_size;
	result->header_count = answer->header_count;
	copy_header(answer, HEADER_VERDICT, result->verdict,
		    sizeof(result->verdict));
	copy_header(answer, HEADER_REASON, result->reason,
		    sizeof(result->reason));
	copy_header(answer, HEADER_UPSTREAM, result->upstream,
		    sizeof(result->upstream));
	copy_header(answer, "Retry-After", result->retry_after,
		    sizeof(result->retry_after));
	copy_header(answer, "Content-Length", result->length,
		    sizeof(result->length));
	snprintf(result->body, sizeof(result->body), "%.*s",
		 (int)answer->body_size, (const char *)answer->body);
}

struct path_result *path_send(const struct path_request *request)
{
	static char body[PATH_BODY_SIZE + 1];
	struct path_result *result = &path.results[path.sent++];
	struct http_header headers[PATH_HEADERS] = { { "Host", "seal-desk" } };
	char address[ADDRESS_TEXT_SIZE];
	char url[ADDRESS_TEXT_SIZE + 256];
	struct http_request http = {
		.method = request->method,
		.url = url,
		.headers = headers,
		.header_count = 1,
		.body = body,
		.body_size = request->body_size,
		.max_answer_bytes = 4 * PATH_BODY_SIZE,
		.new_connection = true,
	};
	size_t i;

	memset(body, 'r', sizeof(body));
	memset(result, 0, sizeof(*result));
	if (request->id) {
		headers[http.header_count].name = "X-Request-Id";
		headers[http.header_count++].value = request->id;
	}
	for (i = 0; i < request->header_count; i++)
		headers[http.header_count++] = request->headers[i];
	snprintf(url, sizeof(url), "http://%s%s",
		 address_format(http_server_address(&path.a.callers), address),
		 request->path);
	result->transfer =
		http_client_send(&path.client, &http, answer_received, result);
	return result;
}

void path_wait(const uint32_t *count, uint32_t wanted, const char *what)
{
	int i;

	for (i = 0; i < PATH_TURNS && *count < wanted; i++)
		loop_turn(&path.loop, PATH_TURN_US);
	cr_assert_geq(*count, wanted, "%s", what);
}

void path_run_turns(uint32_t turns)
{
	uint32_t i;

	for (i = 0; i < turns; i++)
		loop_turn(&path.loop, PATH_TURN_US);
}

int64_t path_counter(const char *name)
{
	const struct counter *counter;

	for (counter = counter_first(); counter; counter = counter->next)
		if (!strcmp(counter->name, name))
			return counter->value;
	cr_assert_fail("no counter %s", name);
	return -1;
}
