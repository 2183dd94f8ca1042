#include <jansson.h>
#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http.h"

/*
 * The platform's metadata store: the reads, watches and transactions of the
 * section "The platform's metadata store" of PROTOCOL.md. Leases are left out,
 * because the system takes none. The operator has written one configuration
 * before the system starts. Signals stand for the operator and for the drill of
 * LETTER-8:
 *
 *	SIGUSR1	the operator writes the configuration that the file holds now
 *	SIGUSR2	in turn: a copy is taken; the store is away; it is back, with
 *		the copy, and Store-Era has risen by one
 *
 *	store ADDRESS CONFIG-FILE [LOG]
 */

enum { KEYS_MAX = 4096, ANSWER_DELAY_US = 4000 };

struct item {
	char key[TEXT_MAX];
	char *value; /* base64 */
	long long revision;
	long long created;
	bool tombstone;
};

static struct item items[KEYS_MAX];
static int item_count;
static long long revision = 100;
static struct item copied_items[KEYS_MAX];
static int copied_count;
static long long copied_revision;
static int era = 1;
static bool away;
static char config_text[2 * 1024 * 1024];
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;

static struct item *find(const char *key)
{
	int i;

	for (i = 0; i < item_count; i++)
		if (!strcmp(items[i].key, key))
			return &items[i];
	return NULL;
}

static struct item *find_present(const char *key)
{
	struct item *item = find(key);

	return item && !item->tombstone ? item : NULL;
}

static void put(const char *key, const char *value)
{
	struct item *item = find(key);

	if (!item) {
		if (item_count == KEYS_MAX)
			abort();
		item = &items[item_count++];
		snprintf(item->key, sizeof(item->key), "%s", key);
		item->tombstone = true;
	}
	if (item->tombstone)
		item->created = revision;
	item->tombstone = false;
	free(item->value);
	item->value = strdup(value);
	item->revision = revision;
}

static json_t *item_json(const struct item *item)
{
	if (item->tombstone)
		return json_pack("{s:s,s:I,s:b}", "key", item->key, "revision",
				 (json_int_t)item->revision, "tombstone", 1);
	return json_pack("{s:s,s:s,s:I,s:I,s:i}", "key", item->key, "value",
			 item->value, "revision", (json_int_t)item->revision,
			 "created", (json_int_t)item->created, "lease", 0);
}

static bool has_prefix(const char *text, const char *prefix)
{
	return !strncmp(text, prefix, strlen(prefix));
}

/* Copies an argument of the query, decoded. */
static void argument(const char *target, const char *name, char out[TEXT_MAX])
{
	const char *at = strchr(target, '?');
	size_t size = strlen(name);
	size_t used = 0;

	out[0] = '\0';
	while (at) {
		at++;
		if (!strncmp(at, name, size) && at[size] == '=')
			break;
		at = strchr(at, '&');
	}
	if (!at)
		return;
	for (at += size + 1; *at && *at != '&' && used < TEXT_MAX - 1; at++) {
		char hex[3] = { 0 };

		if (*at == '%' && at[1] && at[2]) {
			memcpy(hex, at + 1, 2);
			out[used++] = (char)strtol(hex, NULL, 16);
			at += 2;
		} else {
			out[used++] = *at;
		}
	}
	out[used] = '\0';
}

static json_t *with_as_of(json_t *body)
{
	json_object_set_new(body, "as_of", json_integer(revision));
	return body;
}

static int read_key(const char *target, json_t **body)
{
	char key[TEXT_MAX];
	struct item *item;

	argument(target, "key", key);
	item = find_present(key);
	*body = with_as_of(item ? item_json(item) : json_object());
	return item ? 200 : 404;
}

static int compare_keys(const void *a, const void *b)
{
	return strcmp((*(struct item *const *)a)->key,
		      (*(struct item *const *)b)->key);
}

static int read_range(const char *target, json_t **body)
{
	struct item *sorted[KEYS_MAX];
	json_t *list = json_array();
	char prefix[TEXT_MAX];
	char after[TEXT_MAX];
	int count = 0;
	int i;

	argument(target, "prefix", prefix);
	argument(target, "after", after);
	for (i = 0; i < item_count; i++)
		if (!items[i].tombstone && has_prefix(items[i].key, prefix) &&
		    strcmp(items[i].key, after) > 0)
			sorted[count++] = &items[i];
	qsort(sorted, (size_t)count, sizeof(sorted[0]), compare_keys);
	for (i = 0; i < count; i++)
		json_array_append_new(list, item_json(sorted[i]));
	*body = with_as_of(
		json_pack("{s:o,s:b}", "items", list, "has_more", 0));
	return 200;
}

static int watch(const char *target, json_t **body)
{
	char prefix[TEXT_MAX];
	char after_text[TEXT_MAX];
	char wait_text[TEXT_MAX];
	double until_s;
	json_t *events;
	int i;

	argument(target, "prefix", prefix);
	argument(target, "after", after_text);
	argument(target, "wait_ms", wait_text);
	until_s = now_s() + atof(wait_text) / 1000;
	*body = NULL;
	if (atoll(after_text) > revision) {
		*body = with_as_of(json_object());
		return 410;
	}
	for (;;) {
		struct timespec until = {
			(time_t)until_s,
			(long)((until_s - (time_t)until_s) * 1e9)
		};

		if (away)
			return 0;
		events = json_array();
		for (i = 0; i < item_count; i++)
			if (has_prefix(items[i].key, prefix) &&
			    items[i].revision > atoll(after_text))
				json_array_append_new(events,
						      item_json(&items[i]));
		if (json_array_size(events) || now_s() >= until_s)
			break;
		json_decref(events);
		pthread_cond_timedwait(&changed, &lock, &until);
	}
	*body = with_as_of(json_pack("{s:o}", "events", events));
	return 200;
}

static bool is_reserved(const char *key)
{
	return has_prefix(key, "op/") || has_prefix(key, "servers/");
}

static int transact(const char *text, json_t **body)
{
	json_t *root = json_loads(text ? text : "", 0, NULL);
	json_t *states = json_array();
	bool holds = true;
	json_t *row;
	size_t i;

	*body = json_object();
	if (!json_is_object(root))
		return 400;
	json_array_foreach(json_object_get(root, "writes"), i, row)
		if (is_reserved(json_string_value(json_object_get(row, "key"))))
			return 403;
	json_array_foreach(json_object_get(root, "deletes"), i, row)
		if (is_reserved(json_string_value(row)))
			return 403;
	json_array_foreach(json_object_get(root, "precondition"), i, row) {
		const char *key =
			json_string_value(json_object_get(row, "key"));
		struct item *item = find_present(key);

		if ((item ? item->revision : 0) !=
		    json_integer_value(json_object_get(row, "revision")))
			holds = false;
		if (item)
			json_array_append_new(states, item_json(item));
	}
	json_object_set_new(*body, "items", states);
	if (!holds)
		return 412;
	revision++;
	json_array_foreach(json_object_get(root, "writes"), i, row)
		put(json_string_value(json_object_get(row, "key")),
		    json_string_value(json_object_get(row, "value")));
	json_array_foreach(json_object_get(root, "deletes"), i, row) {
		struct item *item = find_present(json_string_value(row));

		if (!item)
			continue;
		item->tombstone = true;
		item->revision = revision;
	}
	json_decref(root);
	json_decref(*body);
	*body = json_pack("{s:I}", "revision", (json_int_t)revision);
	pthread_cond_broadcast(&changed);
	return 200;
}

static int serve(const struct message *request, json_t **body)
{
	char method[8] = "";
	char target[HEAD_MAX] = "";

	sscanf(request->head, "%7s %s", method, target);
	if (!strcmp(method, "GET") && has_prefix(target, "/-/kv-key?"))
		return read_key(target, body);
	if (!strcmp(method, "GET") && has_prefix(target, "/-/kv-range?"))
		return read_range(target, body);
	if (!strcmp(method, "GET") && has_prefix(target, "/-/kv-watch?"))
		return watch(target, body);
	if (!strcmp(method, "POST") && !strcmp(target, "/-/kv-txn"))
		return transact(request->body, body);
	*body = json_object();
	return 404;
}

static void *serve_connection(void *data)
{
	struct stream *stream = calloc(1, sizeof(*stream));
	struct message *request = calloc(1, sizeof(*request));

	stream->fd = (int)(intptr_t)data;
	while (read_head(stream, request) &&
	       read_body(stream, request, false)) {
		json_t *body;
		char head[TEXT_MAX];
		char *text;
		int status;

		usleep(ANSWER_DELAY_US);
		pthread_mutex_lock(&lock);
		status = away ? 0 : serve(request, &body);
		pthread_mutex_unlock(&lock);
		/* The connection ends without an answer. */
		if (!status)
			break;
		text = json_dumps(body, JSON_COMPACT);
		json_decref(body);
		snprintf(head, sizeof(head),
			 "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
			 "Store-Era: %d\r\nContent-Length: %zu\r\n\r\n",
			 status, era, strlen(text));
		send_all(stream->fd, head, strlen(head));
		send_all(stream->fd, text, strlen(text));
		free(text);
		message_finish(request);
	}
	message_finish(request);
	close(stream->fd);
	free(request);
	free(stream);
	return NULL;
}

static char *encode(const char *text)
{
	static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmno"
				     "pqrstuvwxyz0123456789+/";
	size_t size = strlen(text);
	char *out = calloc(1, size / 3 * 4 + 8);
	size_t used = 0;
	size_t i;

	for (i = 0; i < size; i += 3) {
		unsigned char part[3] = { 0 };
		size_t left = size - i < 3 ? size - i : 3;

		memcpy(part, text + i, left);
		out[used++] = digits[part[0] >> 2];
		out[used++] = digits[(part[0] & 3) << 4 | part[1] >> 4];
		out[used++] = left > 1 ? digits[(part[1] & 15) << 2 |
						part[2] >> 6]
				       : '=';
		out[used++] = left > 2 ? digits[part[2] & 63] : '=';
	}
	return out;
}

static void write_config(const char *path)
{
	FILE *file = fopen(path, "r");
	size_t size = file ? fread(config_text, 1, sizeof(config_text) - 1,
				   file)
			   : 0;
	char *value;

	if (!size) {
		perror(path);
		exit(2);
	}
	config_text[size] = '\0';
	fclose(file);
	value = encode(config_text);
	pthread_mutex_lock(&lock);
	revision++;
	put("op/config", value);
	pthread_cond_broadcast(&changed);
	pthread_mutex_unlock(&lock);
	free(value);
}

static void copy_items(struct item *to, const struct item *from, int count)
{
	int i;

	for (i = 0; i < count; i++) {
		to[i] = from[i];
		to[i].value = strdup(from[i].value);
	}
}

static const char *go_on_with_drill(void)
{
	static int step;

	switch (step++ % 3) {
	case 0:
		copy_items(copied_items, items, item_count);
		copied_count = item_count;
		copied_revision = revision;
		return "copied";
	case 1:
		away = true;
		pthread_cond_broadcast(&changed);
		return "away";
	}
	copy_items(items, copied_items, copied_count);
	item_count = copied_count;
	revision = copied_revision;
	era++;
	away = false;
	return "back";
}

struct operator {
	const char *config;
	bool logs;
	sigset_t signals;
};

static void *take_signals(void *data)
{
	struct operator *operator = data;
	int number;

	for (;;) {
		const char *done = "acknowledges";

		sigwait(&operator->signals, &number);
		if (number == SIGUSR1) {
			write_config(operator->config);
		} else {
			pthread_mutex_lock(&lock);
			done = go_on_with_drill();
			pthread_mutex_unlock(&lock);
		}
		if (operator->logs)
			record("%s revision=%lld era=%d", done, revision, era);
	}
	return NULL;
}

int main(int argc, char **argv)
{
	struct operator operator = { .config = argc > 2 ? argv[2] : NULL,
				     .logs = argc > 3 };
	pthread_t thread;
	int listener;

	if (argc < 3) {
		fprintf(stderr, "usage: store ADDRESS CONFIG-FILE [LOG]\n");
		return 2;
	}
	if (argc > 3)
		record_open(argv[3], "store");
	signal(SIGPIPE, SIG_IGN);
	sigemptyset(&operator.signals);
	sigaddset(&operator.signals, SIGUSR1);
	sigaddset(&operator.signals, SIGUSR2);
	pthread_sigmask(SIG_BLOCK, &operator.signals, NULL);
	write_config(operator.config);
	pthread_create(&thread, NULL, take_signals, &operator);
	listener = listen_at(argv[1]);
	for (;;) {
		int fd = accept(listener, NULL, NULL);

		if (fd < 0)
			continue;
		pthread_create(&thread, NULL, serve_connection,
			       (void *)(intptr_t)fd);
		pthread_detach(thread);
	}
}
