#include "operator/drill.h"

#include <stdio.h>
#include <string.h>

#include "base/log.h"
#include "operator/reply.h"

static void reply_filter(const struct operator_server *server,
			 struct http_exchange *exchange)
{
	const struct wire_filter *filter = &server->drill_filter;
	json_t *list = json_array();
	char ip[ADDRESS_TEXT_SIZE];
	char text[ADDRESS_TEXT_SIZE + 8];
	uint32_t i;

	for (i = 0; i < filter->count; i++) {
		snprintf(text, sizeof(text), "%s/%u",
			 address_format_ip(&filter->networks[i].address, ip),
			 filter->networks[i].bits);
		json_array_append_new(list, json_string(text));
	}
	reply_json(exchange, HTTP_OK, json_pack("{s:o}", "networks", list));
}

static bool read_networks(const json_t *json, struct wire_filter *filter,
			  struct error *err)
{
	const json_t *list = json_object_get(json, "networks");
	const json_t *open_only = json_object_get(json, "open_only");
	const json_t *item;
	size_t i;

	if (!json_is_array(list) ||
	    json_object_size(json) != (open_only ? 2 : 1) ||
	    (open_only && !json_is_boolean(open_only))) {
		error_set(err, ERROR_INVALID,
			  "the body must be {\"networks\":[...]}, with "
			  "\"open_only\":true for open connections alone");
		return false;
	}
	filter->open_only = json_is_true(open_only);
	json_array_foreach(list, i, item) {
		if (!json_is_string(item)) {
			error_set(err, ERROR_INVALID,
				  "a network must be a text like "
				  "\"10.2.0.0/16\"");
			return false;
		}
		if (!wire_filter_add(filter, json_string_value(item), err))
			return false;
	}
	return true;
}

static void replace_filter(struct operator_server *server,
			   struct http_exchange *exchange)
{
	struct wire_filter filter = { .count = 0 };
	struct error err = ERROR_INIT;
	size_t size;
	const uint8_t *body = http_exchange_body(exchange, &size);
	json_t *json = json_loadb((const char *)body, size,
				  JSON_REJECT_DUPLICATES, NULL);
	bool valid = read_networks(json, &filter, &err);

	json_decref(json);
	if (!valid) {
		reply_error(exchange, HTTP_BAD_REQUEST, "bad_json", err.text,
			    "");
		return;
	}
	server->drill(&filter, server->drill_data);
	/* Blocking only the open connections cannot be undone, so it does not
	 * count as a drill in progress. */
	if (filter.open_only)
		filter.count = 0;
	server->drill_filter = filter;
	log_warn("operator", "drill", LOG_NUMBER("networks", filter.count));
	reply_filter(server, exchange);
}

void drill_handle(struct operator_server *server,
		  struct http_exchange *exchange)
{
	if (!server->drill)
		reply_error(exchange, HTTP_NOT_FOUND, "not_found",
			    "this node takes part in no drills", "");
	else if (!strcmp(http_exchange_method(exchange), "PUT"))
		replace_filter(server, exchange);
	else
		reply_filter(server, exchange);
}

void drill_check(struct health_finding *finding, void *data)
{
	const struct operator_server *server = data;

	if (server->drill_filter.count)
		health_set(finding, HEALTH_WARN,
			   "a drill cuts this node off from networks",
			   "geraniumplank drill --off ends it");
}
