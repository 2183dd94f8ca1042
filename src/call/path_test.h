#ifndef CALL_PATH_TEST_H
#define CALL_PATH_TEST_H

#include "call/announce.h"
#include "call/calls.h"
#include "http/client.h"
#include "http/server.h"

/*
 * Test fixture for complete call paths on one event loop: a caller, two nodes,
 * a relay between them that can stop passing on data, and an upstream on raw
 * sockets whose behaviour a test sets.
 */

enum {
	PATH_TURNS = 4000,
	PATH_TURN_US = 2000,
	PATH_SILENCE_MS = 60,
	PATH_RESULTS = 64,
	PATH_RELAY_CONNS = 16,
	PATH_CONNS = 64,
	PATH_HEADERS = 256,
	PATH_BODY_SIZE = 2 * 1024 * 1024,
};

/* Behaviour of the upstream for one request. */
enum behaviour {
	BEHAVE_ANSWER,
	BEHAVE_CLOSE,	    /* runs the request and closes without an answer */
	BEHAVE_CLOSE_UNRUN, /* closes at the first byte of the request */
	BEHAVE_TRUNCATE,    /* sends half of the body, then closes */
	BEHAVE_TRUNCATE_CHUNKED, /* sends one chunk, then closes */
	BEHAVE_NO_LENGTH, /* sends a body that ends with the connection */
	BEHAVE_CHUNKED,
	BEHAVE_HOLD,	   /* answers after path_release() */
	BEHAVE_SHED,	   /* 503 with proof that the request has not run */
	BEHAVE_SHED_PLAIN, /* 503 without that proof */
	BEHAVE_ERROR,
	BEHAVE_FORGED_VERDICT, /* answers with a verdict header */
	BEHAVE_BIG,	       /* answers with PATH_BIG_BYTES */
	BEHAVE_HEAD,	       /* answers with a length but no body */
	BEHAVE_SCRIPT,	       /* sends the bytes of @script */
};

enum { PATH_BIG_BYTES = 700 * 1000 };

struct fake_conn {
	struct fake_upstream *upstream;
	int fd;
	struct watch watch;
	struct buffer in;
	bool held;
	char id[32];
	uint32_t requests_read;
};

struct fake_upstream {
	struct loop *loop;
	struct address address;
	int fd;
	struct watch watch;
	struct fake_conn conns[PATH_CONNS];
	enum behaviour first; /* for the first request */
	enum behaviour then;  /* for all later requests */
	uint32_t requests;
	uint32_t ran;
	uint32_t connections;
	uint32_t reused; /* requests, except GET, on a reused connection */
	uint32_t closed_by_node; /* connections closed before the answer */
	size_t body_bytes;
	char seen[4096]; /* head of the last request */
	const char *script;
	size_t script_size;
};

struct relay_conn {
	struct path_relay *relay;
	int fds[2];
	struct watch watches[2];
	bool silent[2]; /* reset, but never read */
};

struct path_relay {
	struct loop *loop;
	struct address address;
	struct address to;
	int fd;
	struct watch watch;
	struct relay_conn conns[PATH_RELAY_CONNS];
	uint32_t accepted;
	bool duplicate; /* passes on all bytes twice */
};

struct path_node {
	struct wire_hub hub;
	struct router router;
	struct gate gate;
	struct http_client client;
	struct http_server callers;
	struct calls calls;
	bool running;
	uint32_t drained;
};

struct path_result {
	uint32_t answers;
	enum http_delivery delivery;
	unsigned int status;
	char verdict[24];
	char reason[24];
	char upstream[64];
	char retry_after[16];
	char body[64];
	size_t body_size;
	char length[16];
	size_t header_count;
	struct http_transfer *transfer;
};

struct path {
	struct loop loop;
	struct http_client client; /* of the callers */
	struct path_node a;	   /* local node of the callers */
	struct path_node b;	   /* local node of the upstream */
	struct path_relay relay;   /* from a to b */
	struct fake_upstream upstream;
	struct config *config;
	struct path_result results[PATH_RESULTS];
	uint32_t sent;
	uint32_t silent_reports; /* reports of peers that do not respond */
	uint64_t incarnations;
};

extern struct path path;

/* path_upstream_test.c */
void fake_upstream_start(struct fake_upstream *upstream);
void fake_upstream_stop(struct fake_upstream *upstream);

/* path_relay_test.c */
void relay_start(struct path_relay *relay);
void relay_stop(struct path_relay *relay);

/* Start and stop the whole fixture; a has a route to the upstream of b. */
void path_setup(void);
void path_teardown(void);

/* Start and stop only node b. A later start uses the same address and a new
 * incarnation. */
void path_start_b(void);
void path_stop_b(void);

/* Give a a route to the upstream of b through the relay, or to its local
 * upstream. */
void path_route_to_b(void);
void path_route_to_own(void);

struct path_request {
	const char *method;
	const char *path;
	const char *id;
	const struct http_header *headers;
	size_t header_count;
	size_t body_size;
};

/* Send a request of a caller to a. The result is filled in when the answer
 * arrives. */
struct path_result *path_send(const struct path_request *request);

/* Run the loop until *count >= wanted; fail the test after PATH_TURNS turns. */
void path_wait(const uint32_t *count, uint32_t wanted, const char *what);

/* Run the given number of turns of the loop. */
void path_run_turns(uint32_t turns);

/* Answer the held request with this id. */
void path_release(const char *id);

/* Stop accepting connections at the upstream. */
void path_stop_listening(void);

/* Stop or resume passing on data on the open connections between the nodes. */
void path_stall(bool to_b, bool to_a);

/* Return the value of a counter; fail the test if there is none. */
int64_t path_counter(const char *name);

#endif
