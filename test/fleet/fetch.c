#include "fleet/fetch.h"

#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "os/clock.h"

enum { DEFAULT_TIMEOUT_MS = 10000 };

static size_t append_body(char *data, size_t size, size_t count, void *context)
{
	struct fetch *fetch = context;

	size *= count;
	if (fetch->answer_size + size >= FETCH_BODY_SIZE)
		return 0;
	fetch->answer = realloc(fetch->answer, fetch->answer_size + size + 1);
	memcpy(fetch->answer + fetch->answer_size, data, size);
	fetch->answer_size += size;
	fetch->answer[fetch->answer_size] = '\0';
	return size;
}

static void copy_value(char *out, size_t size, const char *line,
		       size_t line_size, const char *name)
{
	size_t length = strlen(name);

	if (line_size <= length || strncasecmp(line, name, length))
		return;
	line += length;
	line_size -= length;
	while (line_size && (*line == ' ' || *line == ':')) {
		line++;
		line_size--;
	}
	while (line_size && strchr("\r\n", line[line_size - 1]))
		line_size--;
	snprintf(out, size, "%.*s", (int)line_size, line);
}

static size_t read_header(char *data, size_t size, size_t count, void *context)
{
	struct fetch *fetch = context;

	size *= count;
	copy_value(fetch->verdict, sizeof(fetch->verdict), data, size,
		   "Geraniumplank-Verdict:");
	copy_value(fetch->upstream, sizeof(fetch->upstream), data, size,
		   "Geraniumplank-Upstream:");
	copy_value(fetch->revision, sizeof(fetch->revision), data, size,
		   "Revision:");
	return size;
}

static CURL *new_handle(struct fetch *fetch, struct curl_slist **list)
{
	CURL *easy = curl_easy_init();
	size_t i;

	for (i = 0; i < FETCH_HEADERS_MAX && fetch->headers[i]; i++)
		*list = curl_slist_append(*list, fetch->headers[i]);
	*list = curl_slist_append(*list, "Expect:");
	curl_easy_setopt(easy, CURLOPT_URL, fetch->url);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, *list);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, append_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, fetch);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, read_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, fetch);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
			 (long)(fetch->timeout_ms ? fetch->timeout_ms
						  : DEFAULT_TIMEOUT_MS));
	if (fetch->body) {
		curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE,
				 (long)strlen(fetch->body));
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, fetch->body);
	}
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, fetch->method);
	return easy;
}

bool fetch_run(struct fetch *fetch)
{
	struct curl_slist *list = NULL;
	int64_t started_us = clock_monotonic_us();
	CURL *easy = new_handle(fetch, &list);
	CURLcode code = curl_easy_perform(easy);

	fetch->status = 0;
	if (code == CURLE_OK)
		curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &fetch->status);
	fetch->took_us = clock_monotonic_us() - started_us;
	curl_easy_cleanup(easy);
	curl_slist_free_all(list);
	return code == CURLE_OK;
}

void fetch_finish(struct fetch *fetch)
{
	free(fetch->answer);
	fetch->answer = NULL;
	fetch->answer_size = 0;
}

long fetch_simple(const char *method, const char *address, const char *path,
		  const char *body, char *answer, size_t size)
{
	struct fetch fetch = { .method = method, .body = body };
	long status;

	snprintf(fetch.url, sizeof(fetch.url), "http://%s%s", address, path);
	if (body && *body == '{')
		fetch.headers[0] = "Content-Type: application/json";
	fetch_run(&fetch);
	status = fetch.status;
	if (size)
		snprintf(answer, size, "%s", fetch.answer ? fetch.answer : "");
	fetch_finish(&fetch);
	return status;
}
