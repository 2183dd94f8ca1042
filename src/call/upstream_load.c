#include "call/upstream_load.h"

#include <stddef.h>

enum {
	FIGURES_MIN = 3,
	FIGURES_MAX = 4,
};

/* Reads the digits at @text into @figure. Returns the end of the number, or
 * NULL if there is none or it exceeds UINT32_MAX. */
static const char *read_figure(const char *text, uint32_t *figure)
{
	const char *at = text;
	uint64_t value = 0;

	for (; *at >= '0' && *at <= '9'; at++) {
		value = value * 10 + (uint64_t)(*at - '0');
		if (value > UINT32_MAX)
			return NULL;
	}
	*figure = (uint32_t)value;
	return at == text ? NULL : at;
}

bool upstream_load_parse(const char *text, struct upstream_load *load)
{
	uint32_t figures[FIGURES_MAX] = { 0 };
	uint32_t count = 0;

	while (text && count < FIGURES_MAX) {
		text = read_figure(text, &figures[count++]);
		if (!text || *text != ',')
			break;
		text++;
	}
	if (!text || *text || text[-1] == ',' || count < FIGURES_MIN)
		return false;
	*load = (struct upstream_load){ .running = figures[0],
					.waiting = figures[1],
					.slots = figures[2],
					.work_pct = figures[3] };
	return true;
}
