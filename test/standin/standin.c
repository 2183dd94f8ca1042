#include <stdio.h>
#include <string.h>

#include "standin/standin.h"

/**
 * DOC: stand-ins
 *
 * One program for all stand-ins. Each process runs one of them:
 * standin NAME [--option value]...
 */
int main(int argc, char **argv)
{
	static const struct {
		const char *name;
		int (*run)(int argc, char **argv);
	} kinds[] = {
		{ "platform", standin_platform },
		{ "metadata", standin_metadata },
		{ "upstream", standin_upstream },
		{ "link", standin_link },
		{ NULL, NULL },
	};
	int i;

	for (i = 0; argc > 1 && kinds[i].name; i++)
		if (!strcmp(argv[1], kinds[i].name))
			return kinds[i].run(argc - 1, argv + 1);
	fprintf(stderr, "usage: standin NAME [--option value]...\n");
	return 2;
}
