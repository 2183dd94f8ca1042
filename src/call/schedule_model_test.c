#include "call/schedule_test.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

struct simulation simulation;

__attribute__((format(printf, 1, 2))) static void log_event(const char *fmt,
							    ...)
{
	va_list args;

	va_start(args, fmt);
	if (simulation.log_size < LOG_SIZE - 200)
		simulation.log_size += (size_t)vsnprintf(
			simulation.log + simulation.log_size,
			LOG_SIZE - simulation.log_size, fmt, args);
	va_end(args);
}

void model_violation(const char *what, uint32_t call)
{
	simulation.violations++;
	log_event("VIOLATION: %s, call %u\n", what, call);
}

static void enqueue(struct queue *queue, const struct message_model *message)
{
	if (queue->end < QUEUE_MAX)
		queue->items[queue->end++] = *message;
}

static void apply_event(uint32_t call, const struct attempt_event *event);

void model_step(uint32_t call, enum attempt_event_type type)
{
	const struct attempt_event event = { .type = type };

	apply_event(call, &event);
}

/* Returns the preferred connection to a server, or a new one; -1 if
 * CONNS_MAX connections exist. */
static int connect_to(uint32_t server)
{
	int i = simulation.preferred[server];
	struct conn_model *conn;

	if (i >= 0 && !simulation.conns[i].closed)
		return i;
	if (simulation.conn_count == CONNS_MAX)
		return -1;
	i = (int)simulation.conn_count++;
	conn = &simulation.conns[i];
	conn->exists = true;
	conn->server = server;
	conn->incarnation = simulation.servers[server].incarnation;
	conn->caller_entry = recent_caller_acquire(
		&simulation.servers[server].recent, CALLER);
	simulation.preferred[server] = i;
	return i;
}

static void attach(uint32_t call)
{
	struct call_model *model = &simulation.calls[call];

	model->conn = connect_to(model->server);
	if (model->conn >= 0 && simulation.conns[model->conn].open) {
		const struct attempt_event opened = {
			.type = ATTEMPT_EVENT_OPENED,
			.incarnation =
				simulation.conns[model->conn].incarnation,
		};

		apply_event(call, &opened);
	}
}

void model_begin(uint32_t call)
{
	struct call_model *model = &simulation.calls[call];

	model->server = random_below(&simulation.random, SERVERS);
	model->sequence = ++simulation.sequence;
	call_attempts_begin(&model->call_attempts);
	log_event("call %u starts attempt %llu at server %u\n", call,
		  (unsigned long long)model->sequence, model->server);
	attach(call);
}

static void send_message(uint32_t call, enum message_type type)
{
	struct call_model *model = &simulation.calls[call];
	const struct message_model message = {
		.type = type,
		.id = { CALLER, model->sequence },
		.call = call,
		.incarnation = model->call_attempts.incarnation,
	};

	if (model->conn >= 0 && !simulation.conns[model->conn].closed)
		enqueue(&simulation.conns[model->conn].to_server, &message);
}

static void complete_call(uint32_t call, const struct attempt_action *action)
{
	struct call_model *model = &simulation.calls[call];

	log_event("call %u ends with %s\n", call,
		  verdict_name(action->verdict));
	model->completed = true;
	model->verdict = action->verdict;
	model->answered = action->type == ATTEMPT_REPLY;
	if (action->cancel)
		send_message(call, MESSAGE_CANCEL);
}

static void apply_event(uint32_t call, const struct attempt_event *event)
{
	struct call_model *model = &simulation.calls[call];
	struct attempt_action action =
		call_attempts_step(&model->call_attempts, event, 0);

	switch (action.type) {
	case ATTEMPT_NOTHING:
		break;
	case ATTEMPT_SEND:
		send_message(call, MESSAGE_CALL);
		break;
	case ATTEMPT_QUERY:
		send_message(call, MESSAGE_QUERY);
		break;
	case ATTEMPT_RECONNECT:
		attach(call);
		break;
	case ATTEMPT_TRY:
		if (model->call_attempts.unreachable &&
		    model->call_attempts.incarnation ==
			    model->call_attempts.unreachable_incarnation) {
			model->unresolved_sequence = model->sequence;
			model->unresolved_server = model->server;
		}
		model_begin(call);
		break;
	case ATTEMPT_RESUME:
		model->sequence = model->unresolved_sequence;
		model->server = model->unresolved_server;
		log_event("call %u resumes attempt %llu at server %u\n", call,
			  (unsigned long long)model->sequence, model->server);
		attach(call);
		break;
	case ATTEMPT_REPLY:
	case ATTEMPT_FAIL:
		complete_call(call, &action);
		break;
	}
}

/* Applies an event to all calls that use the connection before the event. */
static void notify_calls(int conn, const struct attempt_event *event)
{
	bool affected[CALLS];
	uint32_t i;

	for (i = 0; i < CALLS; i++)
		affected[i] = simulation.calls[i].conn == conn &&
			      !simulation.calls[i].completed;
	for (i = 0; i < CALLS; i++)
		if (affected[i])
			apply_event(i, event);
}

static void send_to_caller(int conn, const struct message_model *message)
{
	if (conn >= 0 && !simulation.conns[conn].closed)
		enqueue(&simulation.conns[conn].to_caller, message);
}

static void send_outcome(int conn, const struct recent_entry *entry,
			 uint32_t call)
{
	const struct message_model message = {
		.type = entry->outcome.verdict == VERDICT_RAN ? MESSAGE_ANSWER
							      : MESSAGE_REFUSAL,
		.id = entry->id,
		.call = call,
		.outcome = entry->outcome,
	};

	send_to_caller(conn, &message);
}

static void send_refusal(int conn, const struct message_model *about,
			 enum verdict verdict)
{
	struct message_model message = *about;

	message.type = MESSAGE_REFUSAL;
	message.outcome.verdict = verdict;
	message.outcome.reason = CALL_NEVER_SEEN;
	send_to_caller(conn, &message);
}

static void server_call(struct server_model *server, int conn,
			const struct message_model *message)
{
	const struct call_outcome gate_full = { .verdict = VERDICT_NOT_RUN,
						.reason = CALL_GATE_FULL };
	struct recent_entry *entry;
	struct running_model *running;

	switch (recent_lookup(&server->recent, message->id, RECENT_ARRIVED,
			      &entry)) {
	case RECENT_RUNNING:
		return;
	case RECENT_ENDED:
		send_outcome(conn, entry, message->call);
		return;
	case RECENT_FORGOTTEN:
		send_refusal(conn, message, VERDICT_MAY_HAVE_RUN);
		return;
	case RECENT_NEVER_SEEN:
		break;
	}
	entry = recent_begin(&server->recent, message->id, server);
	if (random_below(&simulation.random, 4) == 0 ||
	    server->running_count == CALLS * 4) {
		recent_end(&server->recent, entry, &gate_full, NULL, 0);
		send_outcome(conn, entry, message->call);
		return;
	}
	simulation.calls[message->call].runs++;
	log_event("server runs attempt %llu of call %u\n",
		  (unsigned long long)message->id.sequence, message->call);
	running = &server->running[server->running_count++];
	running->entry = entry;
	running->call = message->call;
	running->conn = conn;
}

static struct running_model *find_running(struct server_model *server,
					  const struct recent_entry *entry)
{
	uint32_t i;

	for (i = 0; i < server->running_count; i++)
		if (server->running[i].entry == entry)
			return &server->running[i];
	return NULL;
}

static void server_query(struct server_model *server, int conn,
			 const struct message_model *message)
{
	struct message_model query_result = *message;
	struct recent_entry *entry;

	query_result.type = MESSAGE_QUERY_RESULT;
	query_result.query_result = CALL_QUERY_RESTARTED;
	if (message->incarnation != server->incarnation) {
		send_to_caller(conn, &query_result);
		return;
	}
	switch (recent_lookup(&server->recent, message->id, RECENT_QUERIED,
			      &entry)) {
	case RECENT_RUNNING:
		find_running(server, entry)->conn = conn;
		query_result.query_result = CALL_QUERY_RUNNING;
		send_to_caller(conn, &query_result);
		break;
	case RECENT_ENDED:
		send_outcome(conn, entry, message->call);
		break;
	case RECENT_FORGOTTEN:
		query_result.query_result = CALL_QUERY_FORGOTTEN;
		send_to_caller(conn, &query_result);
		break;
	case RECENT_NEVER_SEEN:
		recent_refuse(&server->recent, message->id, CALL_NEVER_SEEN);
		send_refusal(conn, message, VERDICT_NOT_RUN);
		break;
	}
}

void model_finish_one(struct server_model *server)
{
	uint32_t i = random_below(&simulation.random, server->running_count);
	struct running_model running = server->running[i];
	struct call_outcome outcome = { .verdict = VERDICT_RAN };

	if (random_below(&simulation.random, 4) == 0) {
		outcome.verdict = VERDICT_MAY_HAVE_RUN;
		outcome.reason = CALL_UPSTREAM_FAILED;
	}
	server->running[i] = server->running[--server->running_count];
	recent_end(&server->recent, running.entry, &outcome, NULL, 0);
	send_outcome(running.conn, running.entry, running.call);
}

static void caller_message(int conn, const struct message_model *message)
{
	struct attempt_event event = { .type = ATTEMPT_EVENT_REFUSED };
	uint32_t i;

	for (i = 0; i < CALLS; i++)
		if (simulation.calls[i].sequence == message->id.sequence &&
		    !simulation.calls[i].completed)
			break;
	if (i == CALLS)
		return;
	if (message->call != i)
		model_violation("answer to another request", i);
	switch (message->type) {
	case MESSAGE_ANSWER:
		event.type = ATTEMPT_EVENT_ANSWERED;
		break;
	case MESSAGE_REFUSAL:
		event.verdict = message->outcome.verdict;
		event.reason = message->outcome.reason;
		break;
	case MESSAGE_QUERY_RESULT:
		event.type = ATTEMPT_EVENT_QUERY_RESULT;
		event.query_result = message->query_result;
		break;
	case MESSAGE_CALL:
	case MESSAGE_QUERY:
	case MESSAGE_CANCEL:
		return;
	}
	apply_event(i, &event);
}

static void server_message(int conn, const struct message_model *message)
{
	struct server_model *server =
		&simulation.servers[simulation.conns[conn].server];

	if (message->type == MESSAGE_CALL)
		server_call(server, conn, message);
	else if (message->type == MESSAGE_QUERY)
		server_query(server, conn, message);
}

bool model_deliver(int conn, bool to_server)
{
	struct conn_model *model = &simulation.conns[conn];
	struct queue *queue = to_server ? &model->to_server : &model->to_caller;
	struct message_model message;

	if (model->closed || model->silent || queue->first == queue->end)
		return false;
	message = queue->items[queue->first++];
	if (to_server)
		server_message(conn, &message);
	else
		caller_message(conn, &message);
	return true;
}

void model_open(int conn)
{
	struct conn_model *model = &simulation.conns[conn];
	const struct attempt_event event = {
		.type = ATTEMPT_EVENT_OPENED, .incarnation = model->incarnation
	};

	if (model->open || model->closed || model->silent)
		return;
	model->open = true;
	notify_calls(conn, &event);
}

void model_close(int conn)
{
	const struct attempt_event event = { .type = ATTEMPT_EVENT_CLOSED };
	struct conn_model *model = &simulation.conns[conn];

	if (model->closed)
		return;
	log_event("connection %d to server %u closes\n", conn, model->server);
	model->closed = true;
	if (model->caller_entry)
		recent_caller_release(&simulation.servers[model->server].recent,
				      model->caller_entry);
	if (simulation.preferred[model->server] == conn)
		simulation.preferred[model->server] = -1;
	notify_calls(conn, &event);
}

void model_detect_silence(int conn)
{
	const struct attempt_event event = { .type = ATTEMPT_EVENT_SILENT };
	struct conn_model *model = &simulation.conns[conn];

	if (!model->open || model->closed || !model->silent)
		return;
	log_event("connection %d to server %u is detected as silent\n", conn,
		  model->server);
	if (simulation.preferred[model->server] == conn)
		simulation.preferred[model->server] = -1;
	notify_calls(conn, &event);
}

void model_restart(uint32_t index)
{
	const struct recent_limits limits = { 4, 100, 2 };
	struct server_model *server = &simulation.servers[index];
	uint32_t before = simulation.conn_count;
	uint32_t i;

	log_event("server %u restarts\n", index);
	if (server->incarnation)
		recent_finish(&server->recent);
	memset(server, 0, sizeof(*server));
	server->incarnation = ++simulation.incarnations;
	recent_init(&server->recent, &limits);
	simulation.preferred[index] = -1;
	for (i = 0; i < before; i++)
		if (simulation.conns[i].server == index) {
			/* Unread messages and the entry of the caller are lost
			 * with the previous incarnation. */
			simulation.conns[i].caller_entry = NULL;
			model_close((int)i);
		}
}

/* Calls of other callers evict entries from the memory of recent attempts. */
void model_other_call(uint32_t index)
{
	const struct call_outcome outcome = { .verdict = VERDICT_RAN };
	const struct call_id id = { 1000 + simulation.other_callers++, 1 };
	struct recent *recent = &simulation.servers[index].recent;

	recent_end(recent, recent_begin(recent, id, recent), &outcome, NULL, 0);
}
