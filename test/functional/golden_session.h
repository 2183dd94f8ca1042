#ifndef FUNCTIONAL_GOLDEN_SESSION_H
#define FUNCTIONAL_GOLDEN_SESSION_H

#include "base/buffer.h"
#include "event/loop.h"
#include "fleet/process.h"
#include "http/client.h"
#include "operator/server.h"
#include "store/store.h"
#include "profile/editor.h"
#include "profile/keeper.h"

/**
 * DOC: golden session
 *
 * A session of an operator: runs real commands in sequence against an operator
 * interface that the test process serves, with a stand-in for the platform. The
 * transcript holds the commands and their output.
 */

enum { SESSION_ARGS_MAX = 20 };

struct session {
	struct loop loop;
	struct http_client client;
	struct store store;
	struct keeper keeper;
	struct editor editor;
	struct operator_server server;
	struct operator_status status;
	struct health_finding finding;
	struct process platform;
	char platform_address[ADDRESS_TEXT_SIZE];
	char node[ADDRESS_TEXT_SIZE];
	char directory[64];
	struct buffer transcript;
};

void session_init(struct session *session);
void session_finish(struct session *session);

/** session_note() - append a comment line to the transcript. */
void session_note(struct session *session, const char *text);

/**
 * session_run() - run "geraniumplank" with the arguments in @line
 * @line: arguments separated by spaces; "@NAME" is replaced by the path of file
 *	NAME of session_file()
 *
 * Return: the exit status of the command, -1 if a signal ended it.
 */
int session_run(struct session *session, const char *line);

/** session_file() - write a file that commands can read. */
void session_file(struct session *session, const char *name, const char *text);

/** session_faults() - set faults of the platform stand-in, given as JSON. */
void session_faults(struct session *session, const char *json);

/** session_expect() - compare the transcript with its golden file. */
void session_expect(struct session *session, const char *name);

#endif
