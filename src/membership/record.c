#include "membership/record.h"

const char *upstream_state_name(enum upstream_state state)
{
	static const char *const names[] = { "none", "starting", "serving",
					     "leaving", "gone" };

	return names[state];
}
