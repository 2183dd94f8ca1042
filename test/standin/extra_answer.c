#include "standin/extra_answer.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

/* The connection of an exchange: a server sends no answer twice. */
#include "http/conn.h"

/**
 * struct extra_answer - a copy of an answer
 * @conn: connection on which it is due; it may have ended
 * @caller_port: port of the caller, which tells a later connection at the same
 *	address in memory from @conn
 */
struct extra_answer {
	const struct http_conn *conn;
	uint16_t caller_port;
	struct buffer bytes;
	struct extra_answer *next;
};

static void extra_answer_free(struct extra_answers *extra,
			      struct extra_answer *answer)
{
	LL_DELETE(extra->list, answer);
	buffer_finish(&answer->bytes);
	free(answer);
}

static struct extra_answer *find(const struct extra_answers *extra,
				 const struct http_conn *conn)
{
	struct extra_answer *answer;

	LL_FOREACH(extra->list, answer)
		if (answer->conn == conn)
			return answer;
	return NULL;
}

void extra_answers_send_due(struct extra_answers *extra,
			    struct http_exchange *exchange)
{
	struct http_conn *conn = exchange->conn;
	struct extra_answer *answer = find(extra, conn);

	if (!answer)
		return;
	if (answer->caller_port == conn->caller_address.port) {
		buffer_append(&conn->out, buffer_data(&answer->bytes),
			      buffer_size(&answer->bytes));
		conn->queued_bytes += buffer_size(&answer->bytes);
	}
	extra_answer_free(extra, answer);
}

static void remove_name(struct buffer *bytes)
{
	static const char name[] = "X-Request-Id";
	static const char other[] = "X-Without-Id";
	const char *data = (const char *)buffer_data(bytes);
	const char *found =
		memmem(data, buffer_size(bytes), name, sizeof(name) - 1);

	if (found)
		memcpy((char *)buffer_data(bytes) + (found - data), other,
		       sizeof(other) - 1);
}

void extra_answers_keep(struct extra_answers *extra, struct http_conn *conn,
			size_t size, bool named)
{
	struct extra_answer *answer = find(extra, conn);
	const uint8_t *end = buffer_data(&conn->out) + buffer_size(&conn->out);

	if (answer)
		extra_answer_free(extra, answer);
	answer = calloc(1, sizeof(*answer));
	if (!answer)
		abort();
	answer->conn = conn;
	answer->caller_port = conn->caller_address.port;
	buffer_append(&answer->bytes, end - size, size);
	if (!named)
		remove_name(&answer->bytes);
	LL_PREPEND(extra->list, answer);
}

void extra_answers_finish(struct extra_answers *extra)
{
	while (extra->list)
		extra_answer_free(extra, extra->list);
}
