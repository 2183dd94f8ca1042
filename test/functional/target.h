#ifndef FUNCTIONAL_TARGET_H
#define FUNCTIONAL_TARGET_H

#include <stdbool.h>
#include <stdint.h>

#include "fleet/process.h"
#include "functional/background.h"

/**
 * DOC: target
 *
 * Real nodes with the interface of the target platform: its metadata store, an
 * operator who writes documents there, upstreams that send heartbeats, and
 * callers whose requests are routed by host and path. Node 0 is beside the
 * upstream. The functions assert that the processes start and answer.
 */

enum {
	NODES = 2,
	POLL_MS = 20,
	WAIT_MS = BACKGROUND_WAIT_MS,
	PATH_SIZE = 192,
	ADDRESS_SIZE = 64,
	TEXT_SIZE = 4096,
	DOCUMENT_SIZE = 1024,
};

struct target_node {
	struct process process;
	char settings[PATH_SIZE];
	char peer[ADDRESS_SIZE]; /* kept after a restart */
	char caller[ADDRESS_SIZE];
	char upstream[ADDRESS_SIZE];
	char operator_address[ADDRESS_SIZE];
};

/**
 * struct target - the processes of a test
 * @sequence: number of the last heartbeat
 * @start_time_ms: start time of the incarnation of the upstream
 */
struct target {
	struct process metadata;
	char metadata_address[ADDRESS_SIZE];
	struct process upstream;
	char upstream_address[ADDRESS_SIZE];
	struct target_node nodes[NODES];
	int64_t sequence;
	int64_t start_time_ms;
};

extern struct target target;

/** Temporary directory of the settings and log files. */
extern char target_directory[PATH_SIZE];

/* What a heartbeat of an upstream reports. */
struct heartbeat {
	const char *address;
	const char *id;
	const char *version;
	const char *state;
};

/** target_start() - start the store, the upstream and the nodes. */
void target_start(void);
void target_stop(void);

/** target_write_settings() - write the settings of a node, and @more lines. */
void target_write_settings(int i, const char *more);

/** target_start_node() - start a node, also again at the same address. */
void target_start_node(int i);

/** target_start_child() - start a program and wait until it is ready. */
void target_start_child(struct process *process, const char *program,
			const char *const args[], const char *name);

/** target_post() - send a POST. Returns the status; 0 without an answer. */
long target_post(const char *address, const char *path, const char *body);

/**
 * target_set_health() - set the answer of the upstream's health check
 * @id: ID of its incarnation
 * @status: status; 0 for 200
 */
void target_set_health(const char *id, int status);

/** target_set_faults() - set faults of the store. */
void target_set_faults(const char *faults);

/** target_write_key() - write @text under @key, as the operator does. */
void target_write_key(const char *key, const char *text);

/**
 * target_write_document_with() - write a document with one route
 * @service: service that the requests go to
 * @more: further members, which begin with a comma
 */
void target_write_document_with(int version, const char *service,
				const char *more);

/** target_write_document() - write a document with one route and no more. */
void target_write_document(int version, const char *service);

/** target_post_heartbeat() - send a heartbeat to a node; returns the status. */
long target_post_heartbeat(int node, const struct heartbeat *heartbeat);

/** target_send_heartbeat() - the same of the upstream of the test. */
long target_send_heartbeat(int node, const char *id, const char *state);

/** target_call() - send a request through a node. Returns the status. */
long target_call(int node);

/**
 * target_call_until() - repeat a call until its status is @wanted
 * @state: state that upstream i-1 reports before each call; NULL for none
 *
 * Return: false on a timeout.
 */
bool target_call_until(int node, long wanted, const char *state);

/**
 * target_read_number() - a number of a JSON answer
 * @section: member that holds it; NULL for the top level
 *
 * Return: -1 without an answer.
 */
int64_t target_read_number(const char *address, const char *path,
			   const char *section, const char *name);

/** target_counter() - value of a counter of a node. */
int64_t target_counter(int node, const char *name);

/** target_wait_counter() - wait until a counter is @value or more. */
bool target_wait_counter(int node, const char *name, int64_t value);

/** target_wait_version() - wait until a version is in force at a node. */
bool target_wait_version(int node, int64_t version);

/** target_assert_version() - the same for all nodes. */
void target_assert_version(int64_t version);

#endif
