#include <apr_general.h>
#include <sodium.h>
#include <stdio.h>

#include "node/commands.h"
#include "operator/command.h"

int main(int argc, char **argv)
{
	int status;

	if (apr_initialize() != APR_SUCCESS || sodium_init() < 0) {
		fprintf(stderr,
			"geraniumplank: cannot initialize APR or libsodium\n");
		return EXIT_STATUS_FAILED;
	}
	status = commands_run(argc, argv);
	apr_terminate();
	return status;
}
