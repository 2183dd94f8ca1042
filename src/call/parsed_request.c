#include "call/parsed_request.h"

#include <errno.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "os/clock.h"

static const char *const methods[] = { "GET",	"HEAD",	  "POST",   "PUT",
				       "PATCH", "DELETE", "OPTIONS" };

static bool is_known_method(const char *method)
{
	size_t i;

	for (i = 0; i < sizeof(methods) / sizeof(methods[0]); i++)
		if (!strcmp(method, methods[i]))
			return true;
	return false;
}

/* Returns true if a list such as "close, X-Trace" contains the field name. */
static bool list_contains(const char *list, const char *name)
{
	size_t size = strlen(name);

	while (list && *list) {
		size_t skip = strspn(list, " \t,");
		size_t length = strcspn(list + skip, " \t,");

		if (length == size && !strncasecmp(list + skip, name, size))
			return true;
		list += skip + length;
	}
	return false;
}

static bool is_not_passed_on(const struct parsed_request *parsed,
			     const char *name)
{
	return call_names_is_dropped(parsed->names, name) ||
	       !strcasecmp(name, "Expect") ||
	       list_contains(parsed->connection, name);
}

static void add_header(struct parsed_request *parsed, const char *name,
		       const char *value)
{
	size_t size = strlen(name) + strlen(value) + 2;

	if (parsed->header_count == CALL_HEADERS_MAX ||
	    buffer_size(&parsed->headers) + size > CALL_HEADERS_MAX_BYTES) {
		parsed->headers_invalid = true;
		return;
	}
	parsed->header_count++;
	buffer_append(&parsed->headers, name, strlen(name) + 1);
	buffer_append(&parsed->headers, value, strlen(value) + 1);
}

static void handle_header(const char *name, const char *value, void *data)
{
	struct parsed_request *parsed = data;

	if (!*name || !http_is_token_part(name, strlen(name)) ||
	    !http_is_value_part(value, strlen(value))) {
		parsed->headers_invalid = true;
		return;
	}
	if (!is_not_passed_on(parsed, name))
		add_header(parsed, name, value);
}

/* Returns NULL if the interface or the request has no such field. */
static const char *header(const struct http_exchange *exchange,
			  const char *name)
{
	return name ? http_exchange_header(exchange, name) : NULL;
}

/* Returns false if the header is present and is not a number up to @max.
 * Leaves the value unchanged if the header is missing. */
static bool read_number(const struct http_exchange *exchange, const char *name,
			uint32_t max, uint32_t *value, struct error *err)
{
	const char *text = header(exchange, name);
	unsigned long number;
	char *end;

	if (!text)
		return true;
	errno = 0;
	number = strtoul(text, &end, 10);
	if (*text >= '0' && *text <= '9' && !*end && !errno && number <= max) {
		*value = (uint32_t)number;
		return true;
	}
	error_set(err, ERROR_INVALID, "%s must be a number from 0 to %u", name,
		  max);
	return false;
}

static bool read_weight(const struct http_exchange *exchange,
			struct parsed_request *parsed, struct error *err)
{
	const char *text = header(exchange, parsed->names->weight);
	double weight;
	char *end;

	if (!text)
		return true;
	weight = strtod(text, &end);
	if (end != text && !*end && isfinite(weight) && weight >= 0 &&
	    weight <= CALL_WEIGHT_MAX) {
		parsed->context.weight = weight;
		parsed->has_weight = true;
		return true;
	}
	error_set(err, ERROR_INVALID, "%s must be a number from 0 to %d",
		  parsed->names->weight, CALL_WEIGHT_MAX);
	return false;
}

/* Names are copied into logs, JSON and headers: only printable ASCII characters
 * are valid. */
static bool read_name(const struct http_exchange *exchange, const char *name,
		      char *out, size_t size, struct error *err)
{
	const char *text = header(exchange, name);
	const char *at;

	if (!text)
		return true;
	for (at = text; *at > ' ' && *at < 0x7f; at++)
		;
	if (!*at && at != text && strlen(text) < size) {
		memcpy(out, text, strlen(text) + 1);
		return true;
	}
	error_set(err, ERROR_INVALID,
		  "%s must be 1 to %zu printable ASCII characters", name,
		  size - 1);
	return false;
}

static bool read_service(const struct http_exchange *exchange,
			 struct parsed_request *parsed, struct error *err)
{
	const char *host = http_exchange_header(exchange, "Host");
	const char *name = parsed->names->service;
	size_t size = host ? strcspn(host, ":") : 0;

	if (parsed->names->by_host) {
		if (!host)
			error_set(err, ERROR_INVALID,
				  "the Host header is missing");
		return host != NULL;
	}
	if (header(exchange, name))
		return read_name(exchange, name, parsed->service,
				 sizeof(parsed->service), err);
	if (size && size < sizeof(parsed->service)) {
		memcpy(parsed->service, host, size);
		return true;
	}
	error_set(err, ERROR_INVALID,
		  "Host or %s must name a service of at most %zu characters",
		  name, sizeof(parsed->service) - 1);
	return false;
}

static bool read_tenant(const struct http_exchange *exchange,
			struct parsed_request *parsed, struct error *err)
{
	struct address caller_address;
	char text[ADDRESS_TEXT_SIZE];
	const char *name;

	if (!parsed->names->reads_tenant)
		return true;
	name = header(exchange, parsed->names->tenant);
	if (name && tenant_name_valid(name)) {
		memcpy(parsed->context.tenant, name, strlen(name) + 1);
		return true;
	}
	if (name)
		return read_name(exchange, parsed->names->tenant,
				 parsed->context.tenant,
				 sizeof(parsed->context.tenant), err);
	http_exchange_caller_address(exchange, &caller_address);
	address_format_ip(&caller_address, text);
	memcpy(parsed->context.tenant, text, strlen(text) + 1);
	return true;
}

static bool read_terms(const struct http_exchange *exchange,
		       struct parsed_request *parsed, int64_t now_us,
		       struct error *err)
{
	const struct call_names *names = parsed->names;
	struct call_context *context = &parsed->context;
	uint32_t wait_ms = 0;

	if (!read_number(exchange, names->deadline_ms, CALL_DEADLINE_MAX_MS,
			 &wait_ms, err) ||
	    !read_number(exchange, names->attempts, CALL_ATTEMPTS_MAX,
			 &context->attempts, err) ||
	    !read_number(exchange, names->hops, UINT16_MAX, &context->hops,
			 err) ||
	    !read_weight(exchange, parsed, err) ||
	    !read_name(exchange, names->request_id, context->request_id,
		       sizeof(context->request_id), err) ||
	    !read_service(exchange, parsed, err) ||
	    !read_tenant(exchange, parsed, err))
		return false;
	if (header(exchange, names->deadline_ms))
		context->deadline_us = now_us + (int64_t)wait_ms * US_PER_MS;
	return true;
}

static bool read_headers(const struct http_exchange *exchange,
			 struct parsed_request *parsed,
			 const char *caller_service, struct error *err)
{
	parsed->connection = http_exchange_header(exchange, "Connection");
	http_exchange_each_header(exchange, handle_header, parsed);
	if (parsed->names->caller_service)
		add_header(parsed, parsed->names->caller_service,
			   caller_service);
	if (!parsed->headers_invalid)
		return true;
	error_set(err, ERROR_INVALID,
		  "headers are malformed, more than %d, or larger than %d "
		  "bytes",
		  CALL_HEADERS_MAX, CALL_HEADERS_MAX_BYTES);
	return false;
}

static bool check_target(const struct http_exchange *exchange,
			 struct error *err)
{
	const char *target = http_exchange_target(exchange);
	const char *at;

	for (at = target; (uint8_t)*at > ' ' && *at != 0x7f && *at != '#'; at++)
		;
	if (*target == '/' && !*at && strlen(target) < CALL_TARGET_SIZE)
		return true;
	error_set(err, ERROR_INVALID,
		  "the request target must be a path of less than %d bytes",
		  CALL_TARGET_SIZE);
	return false;
}

enum call_reason parsed_request_read(struct parsed_request *parsed,
				     const struct call_names *names,
				     const char *caller_service,
				     const struct http_exchange *exchange,
				     int64_t now_us, struct error *err)
{
	memset(parsed, 0, sizeof(*parsed));
	parsed->names = names;
	parsed->context.rank = TENANT_PRIORITY_NONE;
	if (!is_known_method(http_exchange_method(exchange))) {
		error_set(err, ERROR_INVALID, "the method is not supported");
		return CALL_BAD_METHOD;
	}
	if (!check_target(exchange, err) ||
	    !read_headers(exchange, parsed, caller_service, err) ||
	    !read_terms(exchange, parsed, now_us, err))
		return CALL_BAD_REQUEST;
	if (parsed->context.hops >= CALL_HOPS_MAX) {
		error_set(err, ERROR_INVALID, "more than %d calls in a chain",
			  CALL_HOPS_MAX);
		return CALL_HOPS;
	}
	return CALL_REASON_NONE;
}

void parsed_request_drop(struct parsed_request *parsed, const char *name)
{
	struct buffer kept = { 0 };
	const char *at = (const char *)buffer_data(&parsed->headers);
	const char *end = at + buffer_size(&parsed->headers);

	parsed->header_count = 0;
	while (at < end) {
		const char *value = at + strlen(at) + 1;
		const char *next = value + strlen(value) + 1;

		if (strcasecmp(at, name) != 0) {
			buffer_append(&kept, at, (size_t)(next - at));
			parsed->header_count++;
		}
		at = next;
	}
	buffer_finish(&parsed->headers);
	parsed->headers = kept;
}

void parsed_request_finish(struct parsed_request *parsed)
{
	buffer_finish(&parsed->headers);
}
