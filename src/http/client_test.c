#include "http/client_test.h"

#include <apr_general.h>
#include <criterion/criterion.h>
#include <stdio.h>

#include "os/net.h"

struct client_test client_test;

void client_test_setup(void)
{
	struct error err = ERROR_INIT;

	apr_initialize();
	cr_assert(loop_init(&client_test.loop, &err));
	cr_assert(
		http_client_init(&client_test.client, &client_test.loop, &err));
	address_parse("127.0.0.1:0", &client_test.server_address, &err);
	client_test.listen_fd = net_listen(&client_test.server_address, &err);
	cr_assert_neq(client_test.listen_fd, NET_NONE);
}

void client_test_teardown(void)
{
	http_client_finish(&client_test.client);
	net_close(client_test.listen_fd);
	loop_finish(&client_test.loop);
}

void client_test_run_turns(int count)
{
	while (count--)
		loop_turn(&client_test.loop, CLIENT_TEST_TURN_US);
}

int client_test_accept(void)
{
	struct address from;
	int fd = NET_NONE;
	int i;

	for (i = 0; i < CLIENT_TEST_TURNS && fd == NET_NONE; i++) {
		client_test_run_turns(1);
		fd = net_accept(client_test.listen_fd, &from);
	}
	cr_assert_neq(fd, NET_NONE, "the client did not connect");
	return fd;
}

void client_test_send(struct http_request *request, http_answer_fn *done,
		      void *data)
{
	char text[ADDRESS_TEXT_SIZE];
	char url[ADDRESS_TEXT_SIZE + 16];

	snprintf(url, sizeof(url), "http://%s/x",
		 address_format(&client_test.server_address, text));
	request->url = url;
	http_client_send(&client_test.client, request, done, data);
}
