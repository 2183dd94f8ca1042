#ifndef HTTP_CLIENT_TEST_H
#define HTTP_CLIENT_TEST_H

#include "http/client.h"

/*
 * Test fixture: the HTTP client, its loop, and a server on raw sockets whose
 * behaviour a test sets.
 */

enum { CLIENT_TEST_TURNS = 2000, CLIENT_TEST_TURN_US = 1000 };

struct client_test {
	struct loop loop;
	struct http_client client;
	struct address server_address;
	int listen_fd;
};

extern struct client_test client_test;

void client_test_setup(void);
void client_test_teardown(void);

/* Run the given number of turns of the loop. */
void client_test_run_turns(int count);

/* Run the loop until the client has connected; return the server's socket. */
int client_test_accept(void);

/* Send a request to the server; its URL is filled in. */
void client_test_send(struct http_request *request, http_answer_fn *done,
		      void *data);

#endif
