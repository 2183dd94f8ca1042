#include "call/schedule_test.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

struct played played;

__attribute__((format(printf, 1, 2))) static void note(const char *fmt, ...)
{
	va_list args;

	va_start(args, fmt);
	if (played.log_size < LOG_SIZE - 200)
		played.log_size += (size_t)vsnprintf(
			played.log + played.log_size,
			LOG_SIZE - played.log_size, fmt, args);
	va_end(args);
}

void model_violated(const char *what, uint32_t call)
{
	played.violations++;
	note("VIOLATED: %s, call %u\n", what, call);
}

static void put(struct queue *queue, const struct message_model *message)
{
	if (queue->end < QUEUE_MAX)
		queue->items[queue->end++] = *message;
}

static void apply(uint32_t call, const struct attempt_event *event);

void model_step(uint32_t call, enum attempt_event_type type)
{
	const struct attempt_event event = { .type = type };

	apply(call, &event);
}

/* A connection to a server, new or the one that is preferred. */
static int connect_to(uint32_t server)
{
	int i = played.preferred[server];
	struct conn_model *conn;

	if (i >= 0 && !played.conns[i].closed)
		return i;
	if (played.conn_count == CONNS_MAX)
		return -1;
	i = (int)played.conn_count++;
	conn = &played.conns[i];
	conn->exists = true;
	conn->server = server;
	conn->incarnation = played.servers[server].incarnation;
	conn->met =
		recent_caller_acquire(&played.servers[server].recent, CALLER);
	played.preferred[server] = i;
	return i;
}

static void attach(uint32_t call)
{
	struct call_model *model = &played.calls[call];

	model->conn = connect_to(model->server);
	if (model->conn >= 0 && played.conns[model->conn].open) {
		const struct attempt_event opened = {
			.type = ATTEMPT_EVENT_OPENED,
			.incarnation = played.conns[model->conn].incarnation,
		};

		apply(call, &opened);
	}
}

void model_begin(uint32_t call)
{
	struct call_model *model = &played.calls[call];

	model->server = random_below(&played.random, SERVERS);
	model->sequence = ++played.sequence;
	call_attempts_begin(&model->call_attempts);
	note("call %u tries %llu at server %u\n", call,
	     (unsigned long long)model->sequence, model->server);
	attach(call);
}

static void send_message(uint32_t call, enum message_type type)
{
	struct call_model *model = &played.calls[call];
	const struct message_model message = {
		.type = type,
		.id = { CALLER, model->sequence },
		.call = call,
		.incarnation = model->call_attempts.incarnation,
	};

	if (model->conn >= 0 && !played.conns[model->conn].closed)
		put(&played.conns[model->conn].to_server, &message);
}

static void tell(uint32_t call, const struct attempt_action *action)
{
	struct call_model *model = &played.calls[call];

	note("call %u is told %s\n", call, verdict_name(action->verdict));
	model->told = true;
	model->verdict = action->verdict;
	model->answered = action->type == ATTEMPT_REPLY;
	if (action->cancel)
		send_message(call, MESSAGE_CANCEL);
}

static void apply(uint32_t call, const struct attempt_event *event)
{
	struct call_model *model = &played.calls[call];
	struct attempt_action action =
		call_attempts_step(&model->call_attempts, event, 0);

	switch (action.type) {
	case ATTEMPT_NOTHING:
		break;
	case ATTEMPT_SEND:
		send_message(call, MESSAGE_CALL);
		break;
	case ATTEMPT_QUERY:
		send_message(call, MESSAGE_ASK);
		break;
	case ATTEMPT_RECONNECT:
		attach(call);
		break;
	case ATTEMPT_TRY:
		if (model->call_attempts.unreachable &&
		    model->call_attempts.incarnation ==
			    model->call_attempts.unreachable_incarnation) {
			model->lost_sequence = model->sequence;
			model->lost_server = model->server;
		}
		model_begin(call);
		break;
	case ATTEMPT_RESUME:
		model->sequence = model->lost_sequence;
		model->server = model->lost_server;
		note("call %u resumes %llu at server %u\n", call,
		     (unsigned long long)model->sequence, model->server);
		attach(call);
		break;
	case ATTEMPT_REPLY:
	case ATTEMPT_FAIL:
		tell(call, &action);
		break;
	}
}

/* Tell all calls that are on a connection now. */
static void tell_conn(int conn, const struct attempt_event *event)
{
	bool meant[CALLS];
	uint32_t i;

	for (i = 0; i < CALLS; i++)
		meant[i] = played.calls[i].conn == conn &&
			   !played.calls[i].told;
	for (i = 0; i < CALLS; i++)
		if (meant[i])
			apply(i, event);
}

static void reply_on(int conn, const struct message_model *message)
{
	if (conn >= 0 && !played.conns[conn].closed)
		put(&played.conns[conn].to_caller, message);
}

static void send_ended(int conn, const struct recent_entry *entry,
		       uint32_t call)
{
	const struct message_model message = {
		.type = entry->outcome.verdict == VERDICT_RAN ? MESSAGE_ANSWER
							      : MESSAGE_REFUSAL,
		.id = entry->id,
		.call = call,
		.outcome = entry->outcome,
	};

	reply_on(conn, &message);
}

static void refuse_unseen(int conn, const struct message_model *about,
			  enum verdict verdict)
{
	struct message_model message = *about;

	message.type = MESSAGE_REFUSAL;
	message.outcome.verdict = verdict;
	message.outcome.reason = CALL_NEVER_SEEN;
	reply_on(conn, &message);
}

static void server_call(struct server_model *server, int conn,
			const struct message_model *message)
{
	const struct call_outcome full = { .verdict = VERDICT_NOT_RUN,
					   .reason = CALL_GATE_FULL };
	struct recent_entry *entry;
	struct running_model *running;

	switch (recent_lookup(&server->recent, message->id, RECENT_ARRIVED,
			      &entry)) {
	case RECENT_RUNNING:
		return;
	case RECENT_ENDED:
		send_ended(conn, entry, message->call);
		return;
	case RECENT_FORGOTTEN:
		refuse_unseen(conn, message, VERDICT_MAY_HAVE_RUN);
		return;
	case RECENT_NEVER_SEEN:
		break;
	}
	entry = recent_begin(&server->recent, message->id, server);
	if (random_below(&played.random, 4) == 0 ||
	    server->running_count == CALLS * 4) {
		recent_end(&server->recent, entry, &full, NULL, 0);
		send_ended(conn, entry, message->call);
		return;
	}
	played.calls[message->call].runs++;
	note("server runs %llu of call %u\n",
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

static void server_ask(struct server_model *server, int conn,
		       const struct message_model *message)
{
	struct message_model query_result = *message;
	struct recent_entry *entry;

	query_result.type = MESSAGE_STANDING;
	query_result.query_result = CALL_QUERY_RESTARTED;
	if (message->incarnation != server->incarnation) {
		reply_on(conn, &query_result);
		return;
	}
	switch (recent_lookup(&server->recent, message->id, RECENT_QUERIED,
			      &entry)) {
	case RECENT_RUNNING:
		find_running(server, entry)->conn = conn;
		query_result.query_result = CALL_QUERY_RUNNING;
		reply_on(conn, &query_result);
		break;
	case RECENT_ENDED:
		send_ended(conn, entry, message->call);
		break;
	case RECENT_FORGOTTEN:
		query_result.query_result = CALL_QUERY_FORGOTTEN;
		reply_on(conn, &query_result);
		break;
	case RECENT_NEVER_SEEN:
		recent_refuse(&server->recent, message->id, CALL_NEVER_SEEN);
		refuse_unseen(conn, message, VERDICT_NOT_RUN);
		break;
	}
}

/* The upstream has ended one running request, well or not. */
void model_finish_one(struct server_model *server)
{
	uint32_t i = random_below(&played.random, server->running_count);
	struct running_model running = server->running[i];
	struct call_outcome outcome = { .verdict = VERDICT_RAN };

	if (random_below(&played.random, 4) == 0) {
		outcome.verdict = VERDICT_MAY_HAVE_RUN;
		outcome.reason = CALL_UPSTREAM_FAILED;
	}
	server->running[i] = server->running[--server->running_count];
	recent_end(&server->recent, running.entry, &outcome, NULL, 0);
	send_ended(running.conn, running.entry, running.call);
}

static void caller_message(int conn, const struct message_model *message)
{
	struct attempt_event event = { .type = ATTEMPT_EVENT_REFUSED };
	uint32_t i;

	for (i = 0; i < CALLS; i++)
		if (played.calls[i].sequence == message->id.sequence &&
		    !played.calls[i].told)
			break;
	if (i == CALLS)
		return;
	if (message->call != i)
		model_violated("an answer to another's request", i);
	switch (message->type) {
	case MESSAGE_ANSWER:
		event.type = ATTEMPT_EVENT_ANSWERED;
		break;
	case MESSAGE_REFUSAL:
		event.verdict = message->outcome.verdict;
		event.reason = message->outcome.reason;
		break;
	case MESSAGE_STANDING:
		event.type = ATTEMPT_EVENT_QUERY_RESULT;
		event.query_result = message->query_result;
		break;
	case MESSAGE_CALL:
	case MESSAGE_ASK:
	case MESSAGE_CANCEL:
		return;
	}
	apply(i, &event);
}

static void server_message(int conn, const struct message_model *message)
{
	struct server_model *server =
		&played.servers[played.conns[conn].server];

	if (message->type == MESSAGE_CALL)
		server_call(server, conn, message);
	else if (message->type == MESSAGE_ASK)
		server_ask(server, conn, message);
}

bool model_deliver(int conn, bool to_server)
{
	struct conn_model *model = &played.conns[conn];
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
	struct conn_model *model = &played.conns[conn];
	const struct attempt_event event = {
		.type = ATTEMPT_EVENT_OPENED, .incarnation = model->incarnation
	};

	if (model->open || model->closed || model->silent)
		return;
	model->open = true;
	tell_conn(conn, &event);
}

void model_close(int conn)
{
	const struct attempt_event event = { .type = ATTEMPT_EVENT_CLOSED };
	struct conn_model *model = &played.conns[conn];

	if (model->closed)
		return;
	note("connection %d to server %u closes\n", conn, model->server);
	model->closed = true;
	if (model->met)
		recent_caller_release(&played.servers[model->server].recent,
				      model->met);
	if (played.preferred[model->server] == conn)
		played.preferred[model->server] = -1;
	tell_conn(conn, &event);
}

void model_find_silent(int conn)
{
	const struct attempt_event event = { .type = ATTEMPT_EVENT_SILENT };
	struct conn_model *model = &played.conns[conn];

	if (!model->open || model->closed || !model->silent)
		return;
	note("connection %d to server %u is found silent\n", conn,
	     model->server);
	if (played.preferred[model->server] == conn)
		played.preferred[model->server] = -1;
	tell_conn(conn, &event);
}

void model_restart(uint32_t index)
{
	const struct recent_limits limits = { 4, 100, 2 };
	struct server_model *server = &played.servers[index];
	uint32_t before = played.conn_count;
	uint32_t i;

	note("server %u starts anew\n", index);
	if (server->incarnation)
		recent_finish(&server->recent);
	memset(server, 0, sizeof(*server));
	server->incarnation = ++played.incarnations;
	recent_init(&server->recent, &limits);
	played.preferred[index] = -1;
	for (i = 0; i < before; i++)
		if (played.conns[i].server == index) {
			/* What it had not read is gone with it. */
			played.conns[i].met = NULL;
			model_close((int)i);
		}
}

/* Calls of other nodes push those of ours out of the memory. */
void model_stranger(uint32_t index)
{
	const struct call_outcome outcome = { .verdict = VERDICT_RAN };
	const struct call_id id = { 1000 + played.strangers++, 1 };
	struct recent *recent = &played.servers[index].recent;

	recent_end(recent, recent_begin(recent, id, recent), &outcome, NULL, 0);
}
