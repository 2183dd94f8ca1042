#include "node/command_key.h"

#include <string.h>

#include <sodium.h>

#include "node/commands.h"
#include "operator/arguments.h"
#include "operator/command.h"
#include "profile/tenant.h"

/* A longer line is refused, so that a cut key is never taken for the whole. */
enum { LINE_SIZE = KEY_MAX_BYTES + 3 };

static const char summary[] =
	"Reads a tenant's key from the standard input, one line, and prints\n"
	"its digest for \"keys\" of a table [tenant.NAME] of a profile.";

/* Returns why a key is invalid, or NULL. */
static const char *fault_of(const char *key)
{
	const char *at;

	if (!*key)
		return "the key is empty";
	if (strlen(key) > KEY_MAX_BYTES)
		return "the key is too long";
	for (at = key; *at; at++)
		if ((unsigned char)*at < ' ' || *at == 0x7f)
			return "the key has a control character";
	if (*key == ' ' || at[-1] == ' ')
		return "the key begins or ends with a blank";
	return NULL;
}

int key_command_digest(FILE *in, FILE *out, FILE *messages)
{
	char text[KEY_DIGEST_TEXT_SIZE];
	char line[LINE_SIZE] = "";
	struct key_digest digest;
	const char *fault;

	if (!fgets(line, sizeof(line), in))
		line[0] = '\0';
	line[strcspn(line, "\r\n")] = '\0';
	fault = fault_of(line);
	if (fault) {
		fprintf(messages, "key digest: %s\n", fault);
		sodium_memzero(line, sizeof(line));
		return EXIT_STATUS_INVALID;
	}
	digest = key_digest_of(line, strlen(line));
	sodium_memzero(line, sizeof(line));
	fprintf(out, "%s\n", key_digest_text(&digest, text));
	return EXIT_STATUS_OK;
}

int command_key(int argc, char **argv)
{
	struct arg_str *action =
		arg_str1(NULL, NULL, "digest", "print the digest of a key");
	struct arguments args;
	int status;

	arguments_init(&args, "key", summary, ARGUMENTS_LOCAL);
	arguments_add(&args, action);
	/* A message about an unexpected argument would repeat the key. */
	if (argc > 2 && argv[2][0] != '-')
		status = arguments_usage(
			&args, "a key is read from the standard input only");
	else if (arguments_parse(&args, argc, argv, &status)) {
		if (!strcmp(action->sval[0], "digest"))
			status = key_command_digest(stdin, stdout, stderr);
		else
			status = arguments_usage(
				&args, "the only action is \"digest\"");
	}
	arguments_finish(&args);
	return status;
}
