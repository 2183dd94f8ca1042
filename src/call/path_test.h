#ifndef CALL_PATH_TEST_H
#define CALL_PATH_TEST_H

#include "call/announce.h"
#include "call/calls.h"
#include "http/client.h"
#include "http/server.h"

/*
 * Whole paths on one loop, for the tests of this slice: a caller, two nodes
 * with a relay between them that can fall silent, and an upstream made of
 * raw sockets that does exactly what a test says.
 */

enum {
	PATH_TURNS = 4000,
	PATH_TURN_US = 2000,
	PATH_SILENCE_MS = 60,
	PATH_RESULTS = 64,
	PATH_RELAYED = 16,
	PATH_CONNS = 64,
	PATH_BODY_SIZE = 2 * 1024 * 1024,
};

/* What the upstream does with its next request, then with all further ones. */
enum behaviour {
	BEHAVE_ANSWER,
	BEHAVE_CLOSE,		 /* reads the request, runs it, closes */
	BEHAVE_CLOSE_UNRUN,	 /* closes as soon as the first byte comes */
	BEHAVE_TRUNCATE,	 /* half of the announced body, then closes */
	BEHAVE_TRUNCATE_CHUNKED, /* a chunk, then closes */
	BEHAVE_NO_LENGTH,	 /* body until close, no length */
	BEHAVE_CHUNKED,
	BEHAVE_HOLD, /* answers when path_release() says so */
	BEHAVE_SHED, /* refuses with proof */
	BEHAVE_SHED_PLAIN,
	BEHAVE_ERROR,
	BEHAVE_FORGED_VERDICT, /* an answer with a verdict header of its own */
	BEHAVE_BIG,	       /* a body of PATH_BIG_BYTES */
	BEHAVE_HEAD,	       /* a length and no body */
};

enum { PATH_BIG_BYTES = 700 * 1000 };

struct fake_conn {
	struct fake_upstream *upstream;
	int fd;
	struct watch watch;
	struct buffer in;
	bool held;
	char id[32];
	uint32_t taken;
};

struct fake_upstream {
	struct loop *loop;
	struct address address;
	int fd;
	struct watch watch;
	struct fake_conn conns[PATH_CONNS];
	enum behaviour first;
	enum behaviour then;
	uint32_t requests;
	uint32_t ran;
	uint32_t connections;
	uint32_t reused; /* requests other than GET on a used connection */
	uint32_t closed_by_node;
	size_t body_bytes;
	char seen[4096]; /* head of the last request */
};

struct relay_conn {
	struct relay *relay;
	int fds[2];
	struct watch watches[2];
	bool silent[2]; /* bytes coming from fds[i] are not taken */
};

struct relay {
	struct loop *loop;
	struct address address;
	struct address to;
	int fd;
	struct watch watch;
	struct relay_conn conns[PATH_RELAYED];
	uint32_t accepted;
	bool duplicate; /* every run of bytes is passed on two times */
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
	struct http_transfer *transfer;
};

struct path {
	struct loop loop;
	struct http_client client; /* the callers */
	struct path_node a;	   /* beside the callers */
	struct path_node b;	   /* beside the upstream */
	struct relay relay;	   /* from a to b */
	struct fake_upstream upstream;
	struct config *config;
	struct path_result results[PATH_RESULTS];
	uint32_t sent;
	uint32_t silent_reports; /* peers that did not answer */
	uint64_t incarnations;
};

extern struct path path;

/* path_upstream_test.c */
void fake_upstream_start(struct fake_upstream *upstream);
void fake_upstream_stop(struct fake_upstream *upstream);

/* path_relay_test.c */
void relay_start(struct relay *relay);
void relay_stop(struct relay *relay);

/* Criterion's init and fini: everything up, a knows b's upstream. */
void path_setup(void);
void path_teardown(void);

/* As path_setup() for the node beside the upstream only, under its address;
 * a new incarnation. */
void path_start_b(void);
void path_stop_b(void);

/* a learns of b's upstream by the relay, or of its own one. */
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

/* A caller's request to a; the result is in place from the start. */
struct path_result *path_send(const struct path_request *request);

/* Turn the loop until *count >= wanted; the test fails otherwise. */
void path_wait(const uint32_t *count, uint32_t wanted, const char *what);

/* Turn the loop for a while. */
void path_run_turns(uint32_t turns);

/* Answer the held request with this id. */
void path_release(const char *id);

/* The upstream takes no further connections. */
void path_stop_listening(void);

/* Open connections between the nodes fall silent, or speak again. */
void path_stall(bool to_b, bool to_a);

int64_t path_counter(const char *name);

#endif
