#include "operator/server.h"

#include <assert.h>
#include <jansson.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>

#include "base/counter.h"
#include "operator/drill.h"
#include "operator/profiles.h"
#include "operator/reply.h"
#include "operator/target.h"
#include "operator/views.h"

enum {
	CONNECTIONS_MAX = 64,
	IDLE_TIMEOUT_MS = 30000,
	/* Of the bodies of all connections together. */
	HELD_MAX_BYTES = 8 * OPERATOR_BODY_MAX_BYTES,
};

COUNTER(requests, "operator.requests", "Requests of operators answered");
COUNTER(refused, "operator.refused",
	"Requests of operators refused before they did anything");

static void refuse(struct http_exchange *exchange, unsigned int status,
		   const char *name, const char *text, const char *todo)
{
	counter_add(&refused, 1);
	reply_error(exchange, status, name, text, todo);
}

/* The percent-decoded path may hold any bytes, so it is checked here. */
static bool path_is_text(const struct http_exchange *exchange)
{
	json_t *text = json_string(http_exchange_path(exchange));

	if (!text)
		return false;
	json_decref(text);
	return !strstr(http_exchange_target(exchange), "%00");
}

static bool changes_something(const char *method)
{
	return strcmp(method, "GET") != 0;
}

static bool token_valid(const struct operator_server *server,
			const struct http_exchange *exchange)
{
	static const char scheme[] = "Bearer ";
	const char *given = http_exchange_header(exchange, "Authorization");
	char padded[OPERATOR_TOKEN_SIZE] = { 0 };

	if (!*server->token)
		return true;
	if (!given || strncasecmp(given, scheme, strlen(scheme)) != 0)
		return false;
	given += strlen(scheme);
	if (strlen(given) >= sizeof(padded))
		return false;
	snprintf(padded, sizeof(padded), "%s", given);
	return !sodium_memcmp(padded, server->token, sizeof(padded));
}

/* Guards against cross-site request forgery: a page of another site can make
 * a browser POST forms and plain text to a loopback address, but JSON only
 * after a preflight request. */
static bool content_type_valid(const struct http_exchange *exchange)
{
	const char *type = http_exchange_header(exchange, "Content-Type");

	/* Browsers send a preflight request for other changing methods. */
	if (strcmp(http_exchange_method(exchange), "POST") != 0)
		return true;
	return type && !strncasecmp(type, "application/json", 16);
}

/* Checks path, method, body, token and content type; refuses if one is bad. */
static bool admit(const struct operator_server *server,
		  struct http_exchange *exchange, struct target *target)
{
	const char *method = http_exchange_method(exchange);
	size_t body_size;

	if (!path_is_text(exchange)) {
		refuse(exchange, HTTP_BAD_REQUEST, "bad_path",
		       "the path is not UTF-8 text", "");
		return false;
	}
	if (!target_parse(http_exchange_path(exchange), target)) {
		refuse(exchange, HTTP_NOT_FOUND, "not_found",
		       "there is no such path",
		       "docs/OPERATORS.md lists all paths");
		return false;
	}
	if (!target_allows_method(target->resource, method)) {
		counter_add(&refused, 1);
		reply_method(exchange, target_methods(target->resource));
		return false;
	}
	http_exchange_body(exchange, &body_size);
	if (!changes_something(method)) {
		if (!body_size)
			return true;
		refuse(exchange, HTTP_BAD_REQUEST, "bad_body",
		       "this request takes no body", "");
		return false;
	}
	if (!token_valid(server, exchange)) {
		refuse(exchange, HTTP_UNAUTHORIZED, "unauthorized",
		       "this change needs the operators' token",
		       "give it with --token-file FILE");
		return false;
	}
	if (content_type_valid(exchange))
		return true;
	refuse(exchange, HTTP_UNSUPPORTED_TYPE, "content_type",
	       "this request must be application/json", "");
	return false;
}

static void handle(struct http_exchange *exchange, void *data)
{
	struct operator_server *server = data;
	struct target target;

	if (!admit(server, exchange, &target))
		return;
	counter_add(&requests, 1);
	switch (target.resource) {
	case RESOURCE_STATUS:
		view_status(server, exchange);
		return;
	case RESOURCE_HEALTH:
		view_health(server, exchange);
		return;
	case RESOURCE_DUMP:
		view_dump(server, exchange, target.name);
		return;
	case RESOURCE_COUNTERS:
		view_counters(exchange);
		return;
	case RESOURCE_METRICS:
		view_metrics(exchange);
		return;
	case RESOURCE_DRILL:
		drill_handle(server, exchange);
		return;
	case RESOURCE_PROFILES:
	case RESOURCE_DRAFT:
	case RESOURCE_DIFF:
	case RESOURCE_REMOVE:
	case RESOURCE_ACCEPT:
	case RESOURCE_REVERT:
	case RESOURCE_HISTORY:
		profiles_handle(server, exchange, &target);
		return;
	}
	assert(!"resource");
}

bool operator_server_init(struct operator_server *server, struct loop *loop,
			  const struct operator_options *options,
			  struct error *err)
{
	struct http_server_options http = {
		.address = options->address,
		.max_body_bytes = OPERATOR_BODY_MAX_BYTES,
		.held_bytes_max = HELD_MAX_BYTES,
		.max_connections = CONNECTIONS_MAX,
		.idle_timeout_ms = IDLE_TIMEOUT_MS,
		.handler = handle,
		.data = server,
	};

	memset(server, 0, sizeof(*server));
	server->loop = loop;
	server->editor = options->editor;
	snprintf(server->token, sizeof(server->token), "%s",
		 options->token ? options->token : "");
	snprintf(server->instance, sizeof(server->instance), "%s",
		 options->instance);
	return http_server_init(&server->http, loop, &http, err);
}

void operator_server_finish(struct operator_server *server)
{
	profiles_finish(server);
	http_server_finish(&server->http);
}

const struct address *
operator_server_address(const struct operator_server *server)
{
	return http_server_address(&server->http);
}

void operator_add_section(struct operator_server *server, const char *name,
			  operator_section_fn *dump, void *data)
{
	struct operator_section *section =
		&server->sections[server->section_count++];

	assert(server->section_count <= OPERATOR_SECTIONS_MAX);
	snprintf(section->name, sizeof(section->name), "%s", name);
	section->dump = dump;
	section->data = data;
}

void operator_add_check(struct operator_server *server, const char *name,
			operator_check_fn *check, void *data)
{
	struct operator_check *item = &server->checks[server->check_count++];

	assert(server->check_count <= OPERATOR_CHECKS_MAX);
	snprintf(item->name, sizeof(item->name), "%s", name);
	item->check = check;
	item->data = data;
}

void operator_set_status(struct operator_server *server,
			 operator_status_fn *status, void *data)
{
	server->status = status;
	server->status_data = data;
}

void operator_set_drill(struct operator_server *server,
			operator_drill_fn *drill, void *data)
{
	server->drill = drill;
	server->drill_data = data;
	operator_add_check(server, "drill", drill_check, server);
}
