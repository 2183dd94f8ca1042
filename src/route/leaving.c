#include "route/leaving.h"

bool leaving_has(const struct leaving_set *leaving, uint64_t start)
{
	uint32_t i;

	for (i = 0; start && i < LEAVING_MAX; i++)
		if (leaving->starts[i] == start)
			return true;
	return false;
}

bool leaving_add(struct leaving_set *leaving, uint64_t start)
{
	if (leaving_has(leaving, start))
		return false;
	leaving->starts[leaving->next] = start;
	leaving->next = (leaving->next + 1) % LEAVING_MAX;
	return true;
}
