#ifndef FLEET_FETCH_H
#define FLEET_FETCH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * DOC: fetch
 *
 * Sends one HTTP request with libcurl and blocks until it ends.
 */

enum { FETCH_BODY_SIZE = 1 << 20, FETCH_HEADERS_MAX = 16 };

/**
 * struct fetch - an HTTP request and its answer
 * @method: HTTP method
 * @url: URL of the request
 * @headers: header lines, "Name: value"; NULL ends the list
 * @body: NUL-terminated body, NULL for none
 * @timeout_ms: longest duration of the request; 0 selects the default
 * @status: status of the answer, 0 if no complete answer arrived
 * @verdict: value of Geraniumplank-Verdict; empty if absent
 * @upstream: value of Geraniumplank-Upstream; empty if absent
 * @revision: value of Revision, which the platform's service sends with a key
 * @answer: NUL-terminated body of the answer, freed by fetch_finish(); NULL if
 *	it is empty
 * @answer_size: size of @answer in bytes, without the NUL
 * @took_us: duration of the request
 */
struct fetch {
	const char *method;
	char url[512];
	const char *headers[FETCH_HEADERS_MAX];
	const char *body;
	int64_t timeout_ms;

	long status;
	char verdict[32];
	char upstream[64];
	char revision[32];
	char *answer;
	size_t answer_size;
	int64_t took_us;
};

/**
 * fetch_run() - send a request and wait for its answer
 *
 * Return: true if a complete answer arrived, with any status.
 */
bool fetch_run(struct fetch *fetch);

void fetch_finish(struct fetch *fetch);

/**
 * fetch_simple() - send a request with default headers
 * @address: "IP:port"
 * @path: path of the URL with its query
 * @body: NUL-terminated body, sent as JSON if it starts with a brace; or NULL
 * @answer: receives the body of the answer, truncated to @size with its NUL
 *
 * Return: the status, 0 if no complete answer arrived.
 */
long fetch_simple(const char *method, const char *address, const char *path,
		  const char *body, char *answer, size_t size);

#endif
