#include "operator/health.h"

#include <stdio.h>

const char *health_state_name(enum health_state state)
{
	switch (state) {
	case HEALTH_OK:
		return "ok";
	case HEALTH_WARN:
		return "warn";
	case HEALTH_BAD:
		return "bad";
	}
	return "bad";
}

void health_set(struct health_finding *finding, enum health_state state,
		const char *text, const char *todo)
{
	finding->state = state;
	snprintf(finding->text, sizeof(finding->text), "%s", text);
	snprintf(finding->todo, sizeof(finding->todo), "%s", todo);
}
