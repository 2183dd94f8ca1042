#include "operator/profiles.h"

#include <assert.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "operator/reply.h"
#include "operator/result.h"
#include "profile/editor.h"

enum { JSON_TEXT_SIZE = 128 };

/* Author of a request that names none. */
static const char default_author[] = "operator";

/**
 * struct profile_task - a command in progress for an exchange
 * @server: the server that received the exchange; not owned
 * @exchange: the exchange to answer; not owned
 * @editor: handle of the command; not owned
 * @next: next task of @server
 * @prev: previous task of @server
 */
struct profile_task {
	struct operator_server *server;
	struct http_exchange *exchange;
	struct editor_task *editor;
	struct profile_task *next;
	struct profile_task *prev;
};

/**
 * struct parsed - a parsed request and storage for its strings
 * @request: request to the editor; may point to @author and @id
 * @author: author of the change; empty if none was given
 * @id: acceptance id; empty if none was given
 */
struct parsed {
	struct editor_request request;
	char author[JSON_TEXT_SIZE];
	char id[JSON_TEXT_SIZE];
};

static void task_free(struct profile_task *task)
{
	DL_DELETE(task->server->tasks, task);
	free(task);
}

static void on_command_done(const struct editor_result *result, void *data)
{
	struct profile_task *task = data;
	struct http_exchange *exchange = task->exchange;

	task_free(task);
	result_reply(exchange, result);
}

static void on_caller_disconnected(struct http_exchange *exchange, void *data)
{
	struct profile_task *task = data;

	editor_detach(task->editor);
	task_free(task);
}

static void start_command(struct operator_server *server,
			  struct http_exchange *exchange,
			  const struct editor_request *request)
{
	struct profile_task *task = calloc(1, sizeof(*task));

	if (!task)
		abort();
	task->server = server;
	task->exchange = exchange;
	DL_APPEND(server->tasks, task);
	task->editor =
		editor_run(server->editor, request, on_command_done, task);
	if (task->editor) {
		http_exchange_on_abort(exchange, on_caller_disconnected, task);
		return;
	}
	task_free(task);
	reply_error(exchange, HTTP_UNAVAILABLE, "busy",
		    "too many commands are in progress on this node; nothing "
		    "was changed",
		    "try again, or ask another node");
}

static bool parse_number(const char *text, uint64_t *number)
{
	char *end;

	errno = 0;
	*number = strtoull(text, &end, 10);
	return *text >= '0' && *text <= '9' && !*end && !errno;
}

static bool query_number(struct http_exchange *exchange, const char *name,
			 uint64_t *number)
{
	const char *text = http_exchange_query(exchange, name);
	char message[JSON_TEXT_SIZE];

	*number = 0;
	if (!text || parse_number(text, number))
		return true;
	snprintf(message, sizeof(message), "%s must be a whole number", name);
	reply_error(exchange, HTTP_BAD_REQUEST, "bad_query", message, "");
	return false;
}

/* Copies a query argument, or the empty string if there is none. Replies with
 * an error if the argument is too long or not UTF-8. */
static bool query_text(struct http_exchange *exchange, const char *name,
		       char text[JSON_TEXT_SIZE])
{
	const char *value = http_exchange_query(exchange, name);
	char message[JSON_TEXT_SIZE];
	json_t *json;

	text[0] = '\0';
	if (!value)
		return true;
	json = json_string(value);
	if (json && strlen(value) < JSON_TEXT_SIZE) {
		snprintf(text, JSON_TEXT_SIZE, "%s", value);
		json_decref(json);
		return true;
	}
	json_decref(json);
	snprintf(message, sizeof(message),
		 "%s must be UTF-8 text of less than %d bytes", name,
		 JSON_TEXT_SIZE);
	reply_error(exchange, HTTP_BAD_REQUEST, "bad_query", message, "");
	return false;
}

enum member_type { MEMBER_TEXT, MEMBER_NUMBER };

/**
 * struct member - a member of a JSON body and where to store its value
 * @name: name of the member
 * @type: type of the value
 * @text: buffer of JSON_TEXT_SIZE bytes for MEMBER_TEXT; not owned
 * @number: destination for MEMBER_NUMBER; not owned
 */
struct member {
	const char *name;
	enum member_type type;
	char *text;
	uint64_t *number;
};

static bool read_member(const struct member *member, const json_t *value,
			char message[JSON_TEXT_SIZE])
{
	switch (member->type) {
	case MEMBER_TEXT:
		if (json_is_string(value) &&
		    json_string_length(value) < JSON_TEXT_SIZE &&
		    strlen(json_string_value(value)) ==
			    json_string_length(value)) {
			snprintf(member->text, JSON_TEXT_SIZE, "%s",
				 json_string_value(value));
			return true;
		}
		snprintf(message, JSON_TEXT_SIZE,
			 "\"%s\" must be a text of less than %d bytes",
			 member->name, JSON_TEXT_SIZE);
		return false;
	case MEMBER_NUMBER:
		if (json_is_integer(value) && json_integer_value(value) >= 0) {
			*member->number = (uint64_t)json_integer_value(value);
			return true;
		}
		snprintf(message, JSON_TEXT_SIZE,
			 "\"%s\" must be a whole number", member->name);
		return false;
	}
	return false;
}

static bool read_object(const json_t *json, const struct member *members,
			size_t count, char message[JSON_TEXT_SIZE])
{
	const char *name;
	json_t *value;

	json_object_foreach((json_t *)(uintptr_t)json, name, value) {
		size_t i;

		for (i = 0; i < count; i++)
			if (!strcmp(name, members[i].name))
				break;
		if (i == count) {
			snprintf(message, JSON_TEXT_SIZE,
				 "unknown member \"%.60s\"", name);
			return false;
		}
		if (!read_member(&members[i], value, message))
			return false;
	}
	return true;
}

static bool read_body(struct http_exchange *exchange,
		      const struct member *members, size_t count)
{
	char message[JSON_TEXT_SIZE];
	json_error_t error;
	size_t size;
	const uint8_t *body = http_exchange_body(exchange, &size);
	json_t *json = json_loadb((const char *)body, size,
				  JSON_REJECT_DUPLICATES, &error);
	bool valid;

	if (!json) {
		snprintf(message, sizeof(message), "line %d: %.100s",
			 error.line, error.text);
		reply_error(exchange, HTTP_BAD_REQUEST, "bad_json", message,
			    "");
		return false;
	}
	if (json_is_object(json)) {
		valid = read_object(json, members, count, message);
	} else {
		valid = false;
		snprintf(message, sizeof(message),
			 "the body must be an object");
	}
	json_decref(json);
	if (!valid)
		reply_error(exchange, HTTP_BAD_REQUEST, "bad_json", message,
			    "");
	return valid;
}

static bool parse_body(struct http_exchange *exchange,
		       const struct target *target, struct parsed *parsed)
{
	struct editor_request *request = &parsed->request;
	const struct member members[] = {
		{ .name = "author",
		  .type = MEMBER_TEXT,
		  .text = parsed->author },
		{ .name = "id", .type = MEMBER_TEXT, .text = parsed->id },
		{ .name = "version",
		  .type = MEMBER_NUMBER,
		  .number = &request->version },
		{ .name = "expected_version",
		  .type = MEMBER_NUMBER,
		  .number = &request->expected_version },
	};

	if (!read_body(exchange, members, sizeof(members) / sizeof(members[0])))
		return false;
	request->name = *target->name ? target->name : NULL;
	if (*parsed->author)
		request->author = parsed->author;
	request->accept_id = *parsed->id ? parsed->id : NULL;
	return true;
}

static enum editor_action action_of(const struct target *target,
				    const char *method)
{
	switch (target->resource) {
	case RESOURCE_PROFILES:
		return *target->name ? EDITOR_SHOW : EDITOR_LIST;
	case RESOURCE_DRAFT:
		if (!strcmp(method, "PUT"))
			return EDITOR_PUT;
		return !strcmp(method, "GET") ? EDITOR_SHOW : EDITOR_DISCARD;
	case RESOURCE_DIFF:
		return EDITOR_DIFF;
	case RESOURCE_REMOVE:
		return EDITOR_REMOVE;
	case RESOURCE_ACCEPT:
		return EDITOR_ACCEPT;
	case RESOURCE_REVERT:
		return EDITOR_REVERT;
	case RESOURCE_HISTORY:
	default:
		return EDITOR_HISTORY;
	}
}

static bool parse_query(struct http_exchange *exchange,
			const struct target *target, struct parsed *parsed)
{
	struct editor_request *request = &parsed->request;
	uint64_t limit;

	if (!query_text(exchange, "author", parsed->author) ||
	    !query_number(exchange, "version", &request->version) ||
	    !query_number(exchange, "limit", &limit))
		return false;
	request->limit = limit > HISTORY_MAX ? HISTORY_MAX : (uint32_t)limit;
	request->name = *target->name ? target->name : NULL;
	if (*parsed->author)
		request->author = parsed->author;
	request->text =
		(const char *)http_exchange_body(exchange, &request->size);
	return true;
}

static bool needs_author(enum editor_action action, const struct target *target)
{
	switch (action) {
	case EDITOR_LIST:
	case EDITOR_HISTORY:
		return false;
	case EDITOR_SHOW:
		return target->resource == RESOURCE_DRAFT;
	case EDITOR_PUT:
	case EDITOR_REMOVE:
	case EDITOR_DISCARD:
	case EDITOR_DIFF:
	case EDITOR_ACCEPT:
	case EDITOR_REVERT:
		return true;
	}
	return true;
}

/* Checks the preconditions of the editor. Returns a message that uses the
 * names of the HTTP interface, or NULL if the request is valid. */
static const char *find_problem(const struct editor_request *request)
{
	bool accepts = request->action == EDITOR_ACCEPT ||
		       request->action == EDITOR_REVERT;

	if (accepts && !request->accept_id)
		return "id is missing: choose one and keep it for when you "
		       "try again";
	if (accepts && !accept_id_valid(request->accept_id))
		return "id may hold letters, digits and \"-\", at most 39";
	if (request->action == EDITOR_REVERT && !request->version)
		return "version is missing";
	if (request->name &&
	    !profile_name_valid(request->name, PROFILE_NAME_SIZE))
		return "profiles are named by lower-case letters, digits, "
		       "\"-\", \"_\" and \".\"";
	return NULL;
}

void profiles_handle(struct operator_server *server,
		     struct http_exchange *exchange,
		     const struct target *target)
{
	const char *method = http_exchange_method(exchange);
	struct parsed parsed = { 0 };
	const char *problem;

	if (!server->editor) {
		reply_error(exchange, HTTP_UNAVAILABLE, "no_platform",
			    "this node has no platform to keep profiles in",
			    "set platform.address, or ask another node");
		return;
	}
	if (!strcmp(method, "POST") ? !parse_body(exchange, target, &parsed)
				    : !parse_query(exchange, target, &parsed))
		return;
	parsed.request.action = action_of(target, method);
	if (!parsed.request.author &&
	    needs_author(parsed.request.action, target))
		parsed.request.author = default_author;
	problem = find_problem(&parsed.request);
	if (problem)
		reply_error(exchange, HTTP_BAD_REQUEST, "bad_request", problem,
			    "");
	else
		start_command(server, exchange, &parsed.request);
}

void profiles_finish(struct operator_server *server)
{
	struct profile_task *task;
	struct profile_task *next;

	DL_FOREACH_SAFE(server->tasks, task, next) {
		editor_detach(task->editor);
		free(task);
	}
	server->tasks = NULL;
}
