#include "call/terms.h"

#include <errno.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "os/clock.h"

static const char *const methods[] = { "GET",	"HEAD",	  "POST",   "PUT",
				       "PATCH", "DELETE", "OPTIONS" };

static bool known_method(const char *method)
{
	size_t i;

	for (i = 0; i < sizeof(methods) / sizeof(methods[0]); i++)
		if (!strcmp(method, methods[i]))
			return true;
	return false;
}

/* A token as HTTP defines it: what a field's name is made of. */
static bool is_token(const char *text)
{
	static const char marks[] = "!#$%&'*+-.^_`|~";

	if (!*text)
		return false;
	for (; *text; text++) {
		bool alnum = (*text >= '0' && *text <= '9') ||
			     (*text >= 'a' && *text <= 'z') ||
			     (*text >= 'A' && *text <= 'Z');

		if (!alnum && !strchr(marks, *text))
			return false;
	}
	return true;
}

/* Bytes above ASCII are passed on as they are; control characters could
 * begin another field or request at the upstream. */
static bool is_value(const char *text)
{
	for (; *text; text++)
		if (((uint8_t)*text < ' ' && *text != '\t') || *text == 0x7f)
			return false;
	return true;
}

/* Whether a list such as "close, X-Trace" names a field. */
static bool list_names(const char *list, const char *name)
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

static bool stays_here(const struct call_intake *intake, const char *name)
{
	return call_names_is_dropped(intake->names, name) ||
	       !strcasecmp(name, "Expect") ||
	       list_names(intake->connection, name);
}

static void add_header(struct call_intake *intake, const char *name,
		       const char *value)
{
	size_t size = strlen(name) + strlen(value) + 2;

	if (intake->header_count == CALL_HEADERS_MAX ||
	    buffer_size(&intake->headers) + size > CALL_HEADERS_MAX_BYTES) {
		intake->headers_wrong = true;
		return;
	}
	intake->header_count++;
	buffer_append(&intake->headers, name, strlen(name) + 1);
	buffer_append(&intake->headers, value, strlen(value) + 1);
}

static void take_header(const char *name, const char *value, void *data)
{
	struct call_intake *intake = data;

	if (!is_token(name) || !is_value(value)) {
		intake->headers_wrong = true;
		return;
	}
	if (!stays_here(intake, name))
		add_header(intake, name, value);
}

/* Return: NULL if the interface has no such field or the request lacks it. */
static const char *field(const struct http_exchange *exchange, const char *name)
{
	return name ? http_exchange_header(exchange, name) : NULL;
}

/* Return: false if a header is there but not a number in range. */
static bool read_number(const struct http_exchange *exchange, const char *name,
			uint32_t most, uint32_t *value, struct error *err)
{
	const char *text = field(exchange, name);
	unsigned long number;
	char *end;

	if (!text)
		return true;
	errno = 0;
	number = strtoul(text, &end, 10);
	if (*text >= '0' && *text <= '9' && !*end && !errno && number <= most) {
		*value = (uint32_t)number;
		return true;
	}
	error_set(err, ERROR_INVALID, "%s must be a number up to %u", name,
		  most);
	return false;
}

static bool read_weight(const struct http_exchange *exchange,
			struct call_intake *intake, struct error *err)
{
	const char *text = field(exchange, intake->names->weight);
	double weight;
	char *end;

	if (!text)
		return true;
	weight = strtod(text, &end);
	if (end != text && !*end && isfinite(weight) && weight >= 0 &&
	    weight <= CALL_WEIGHT_MAX) {
		intake->terms.weight = weight;
		intake->has_weight = true;
		return true;
	}
	error_set(err, ERROR_INVALID, "%s must be a number up to %d",
		  intake->names->weight, CALL_WEIGHT_MAX);
	return false;
}

/* Names travel into logs, JSON and headers: printable ASCII only. */
static bool read_name(const struct http_exchange *exchange, const char *name,
		      char *out, size_t size, struct error *err)
{
	const char *text = field(exchange, name);
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
			 struct call_intake *intake, struct error *err)
{
	const char *host = http_exchange_header(exchange, "Host");
	const char *name = intake->names->service;
	size_t size = host ? strcspn(host, ":") : 0;

	if (intake->names->by_host) {
		if (!host)
			error_set(err, ERROR_INVALID, "Host is missing");
		return host != NULL;
	}
	if (field(exchange, name))
		return read_name(exchange, name, intake->service,
				 sizeof(intake->service), err);
	if (size && size < sizeof(intake->service)) {
		memcpy(intake->service, host, size);
		return true;
	}
	error_set(err, ERROR_INVALID,
		  "Host or %s must name a service of at most %zu characters",
		  name, sizeof(intake->service) - 1);
	return false;
}

static bool read_tenant(const struct http_exchange *exchange,
			struct call_intake *intake, struct error *err)
{
	struct address from;
	char text[ADDRESS_TEXT_SIZE];

	if (!intake->names->tenant)
		return true;
	if (field(exchange, intake->names->tenant))
		return read_name(exchange, intake->names->tenant,
				 intake->terms.tenant,
				 sizeof(intake->terms.tenant), err);
	http_exchange_from(exchange, &from);
	address_ip(&from, text);
	memcpy(intake->terms.tenant, text, strlen(text) + 1);
	return true;
}

static bool read_terms(const struct http_exchange *exchange,
		       struct call_intake *intake, int64_t now_us,
		       struct error *err)
{
	const struct call_names *names = intake->names;
	struct call_terms *terms = &intake->terms;
	uint32_t wait_ms = 0;

	if (!read_number(exchange, names->deadline_ms, CALL_DEADLINE_MAX_MS,
			 &wait_ms, err) ||
	    !read_number(exchange, names->attempts, CALL_ATTEMPTS_MAX,
			 &terms->attempts, err) ||
	    !read_number(exchange, names->hops, UINT16_MAX, &terms->hops,
			 err) ||
	    !read_weight(exchange, intake, err) ||
	    !read_name(exchange, names->request_id, terms->request_id,
		       sizeof(terms->request_id), err) ||
	    !read_service(exchange, intake, err) ||
	    !read_tenant(exchange, intake, err))
		return false;
	if (field(exchange, names->deadline_ms))
		terms->deadline_us = now_us + (int64_t)wait_ms * US_PER_MS;
	return true;
}

static bool read_headers(const struct http_exchange *exchange,
			 struct call_intake *intake, const char *caller_service,
			 struct error *err)
{
	intake->connection = http_exchange_header(exchange, "Connection");
	http_exchange_each_header(exchange, take_header, intake);
	if (intake->names->caller_service)
		add_header(intake, intake->names->caller_service,
			   caller_service);
	if (!intake->headers_wrong)
		return true;
	error_set(err, ERROR_INVALID,
		  "headers are malformed, more than %d or over %d bytes",
		  CALL_HEADERS_MAX, CALL_HEADERS_MAX_BYTES);
	return false;
}

static bool read_target(const struct http_exchange *exchange, struct error *err)
{
	const char *target = http_exchange_target(exchange);
	const char *at;

	for (at = target; (uint8_t)*at > ' ' && *at != 0x7f && *at != '#'; at++)
		;
	if (*target == '/' && !*at && strlen(target) < CALL_TARGET_SIZE)
		return true;
	error_set(err, ERROR_INVALID,
		  "the target must be a path of less than %d bytes",
		  CALL_TARGET_SIZE);
	return false;
}

enum call_reason intake_read(struct call_intake *intake,
			     const struct call_names *names,
			     const char *caller_service,
			     const struct http_exchange *exchange,
			     int64_t now_us, struct error *err)
{
	memset(intake, 0, sizeof(*intake));
	intake->names = names;
	if (!known_method(http_exchange_method(exchange))) {
		error_set(err, ERROR_INVALID, "this method is not carried");
		return CALL_BAD_METHOD;
	}
	if (!read_target(exchange, err) ||
	    !read_headers(exchange, intake, caller_service, err) ||
	    !read_terms(exchange, intake, now_us, err))
		return CALL_BAD_REQUEST;
	if (intake->terms.hops >= CALL_HOPS_MAX) {
		error_set(err, ERROR_INVALID, "more than %d calls in a chain",
			  CALL_HOPS_MAX);
		return CALL_HOPS;
	}
	return CALL_REASON_NONE;
}

void intake_finish(struct call_intake *intake)
{
	buffer_finish(&intake->headers);
}
