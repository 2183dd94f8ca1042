#include "http/conn_log.h"

#include <utlist.h>

#include "base/counter.h"
#include "base/log.h"
#include "os/net.h"

static const char component[] = "http";

COUNTER(cut_count, "http.answers_cut",
	"Answers that were not written whole before their connection ended");

static const char *end_name(enum conn_end end)
{
	static const char *const names[] = {
		[CONN_END_HUNG_UP] = "hung-up",
		[CONN_END_RESET] = "reset",
		[CONN_END_WRITE_FAILED] = "write-failed",
		[CONN_END_IDLE] = "idle",
		[CONN_END_STOPPED] = "stopped",
	};

	return names[end];
}

static bool is_end_by_caller(enum conn_end end)
{
	return end == CONN_END_HUNG_UP || end == CONN_END_RESET;
}

/* A request that its caller gave up before the answer has a line of its call. */
static bool is_cut(const struct http_exchange *exchange, enum conn_end end)
{
	switch (exchange->state) {
	case EXCHANGE_READING:
		return false;
	case EXCHANGE_QUEUED:
	case EXCHANGE_PENDING:
	case EXCHANGE_REPLIED:
		return !is_end_by_caller(end);
	case EXCHANGE_SENDING:
		return !exchange->truncated;
	}
	return false;
}

static size_t unwritten_bytes(const struct http_exchange *exchange)
{
	if (exchange->state == EXCHANGE_SENDING)
		return (size_t)(exchange->output_end -
				exchange->conn->written_bytes);
	return buffer_size(&exchange->reply);
}

static void log_cut(const struct http_exchange *exchange, enum conn_end end)
{
	const char *id_field = exchange->server->options.id_field;
	int fd = exchange->conn->fd;
	const struct log_field fields[] = {
		LOG_TEXT("request",
			 id_field ? http_head_find(&exchange->head, id_field)
				  : NULL),
		LOG_TEXT("end", end_name(end)),
		LOG_NUMBER("begun", exchange->state == EXCHANGE_SENDING),
		LOG_NUMBER("unwritten_bytes",
			   (int64_t)unwritten_bytes(exchange)),
		LOG_NUMBER("undelivered_bytes",
			   (int64_t)net_undelivered_bytes(fd)),
		LOG_NUMBER("unread_bytes", (int64_t)net_unread_bytes(fd)),
	};

	counter_add(&cut_count, 1);
	log_request(LOG_OUTCOME, component, "answer_cut", fields,
		    sizeof(fields) / sizeof(fields[0]));
}

/* All answers are written, and the kernel still holds some of their bytes. */
static void log_undelivered(const struct http_conn *conn)
{
	size_t undelivered = net_undelivered_bytes(conn->fd);

	if (undelivered)
		log_info(component, "closed_undelivered",
			 LOG_NUMBER("undelivered_bytes", (int64_t)undelivered),
			 LOG_NUMBER("unread_bytes",
				    (int64_t)net_unread_bytes(conn->fd)));
}

void conn_log_end(const struct http_conn *conn, enum conn_end end)
{
	const struct http_exchange *exchange;

	DL_FOREACH(conn->exchanges, exchange)
		if (is_cut(exchange, end))
			log_cut(exchange, end);
	if (!conn->exchanges &&
	    (end == CONN_END_STOPPED || end == CONN_END_IDLE))
		log_undelivered(conn);
}
