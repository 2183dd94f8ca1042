#include "operator/reply.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void reply_bytes(struct http_exchange *exchange, unsigned int status,
			const char *type, const char *text, size_t size)
{
	const struct http_header headers[] = {
		{ "Content-Type", type },
		{ "Cache-Control", "no-store" },
		{ "X-Content-Type-Options", "nosniff" },
	};

	http_exchange_reply(exchange, status, headers,
			    sizeof(headers) / sizeof(headers[0]), text, size);
}

void reply_json(struct http_exchange *exchange, unsigned int status,
		json_t *json)
{
	char *text = json ? json_dumps(json, JSON_COMPACT) : NULL;

	json_decref(json);
	if (!text) {
		static const char failed[] =
			"{\"error\":\"internal\",\"text\":\"the answer cannot "
			"be written as JSON\",\"todo\":\"\"}";

		reply_bytes(exchange, HTTP_INTERNAL_ERROR, "application/json",
			    failed, strlen(failed));
		return;
	}
	reply_bytes(exchange, status, "application/json", text, strlen(text));
	free(text);
}

void reply_text(struct http_exchange *exchange, const char *text, size_t size)
{
	reply_bytes(exchange, HTTP_OK, "text/plain; version=0.0.4", text, size);
}

json_t *reply_string(const char *text)
{
	json_t *json = json_string(text);
	char *copy;
	char *at;

	if (json)
		return json;
	copy = strdup(text);
	if (!copy)
		abort();
	for (at = copy; *at; at++)
		if ((unsigned char)*at >= 0x80)
			*at = '?';
	json = json_string(copy);
	free(copy);
	return json;
}

static json_t *error_json(const char *name, const char *text, const char *todo)
{
	return json_pack("{s:s,s:o,s:s}", "error", name, "text",
			 reply_string(text), "todo", todo);
}

void reply_error(struct http_exchange *exchange, unsigned int status,
		 const char *name, const char *text, const char *todo)
{
	reply_json(exchange, status, error_json(name, text, todo));
}

void reply_method(struct http_exchange *exchange, const char *allowed)
{
	const struct http_header headers[] = {
		{ "Allow", allowed },
		{ "Content-Type", "application/json" },
	};
	char text[160];
	int size = snprintf(text, sizeof(text),
			    "{\"error\":\"method\",\"text\":\"this path takes "
			    "%s\",\"todo\":\"\"}",
			    allowed);

	http_exchange_reply(exchange, HTTP_METHOD_NOT_ALLOWED, headers,
			    sizeof(headers) / sizeof(headers[0]), text,
			    (size_t)size);
}
