#include "base/verdict.h"

#include <string.h>

static const char *const names[] = { "not-run", "may-have-run", "ran" };

const char *verdict_name(enum verdict verdict)
{
	return names[verdict];
}

bool verdict_parse(const char *name, enum verdict *verdict)
{
	unsigned int i;

	for (i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
		if (strcmp(name, names[i]))
			continue;
		*verdict = (enum verdict)i;
		return true;
	}
	return false;
}

enum verdict verdict_join(enum verdict a, enum verdict b)
{
	return a > b ? a : b;
}
