#include "http/keep_alive.h"

#include <stdlib.h>
#include <string.h>

#include "os/clock.h"

enum {
	/* Used if the server does not send a Keep-Alive timeout. */
	KEEP_ALIVE_DEFAULT_MS = 4000,
	KEEP_ALIVE_MAX_MS = 60 * 1000,
	/* Used share of the Keep-Alive timeout: the idle time of the server
	 * starts earlier. */
	KEEP_ALIVE_PERCENT = 80,
};

int64_t keep_alive_us(const struct http_head *head)
{
	const char *text = http_head_find(head, "Keep-Alive");
	const char *at = text ? strcasestr(text, "timeout=") : NULL;
	long seconds;
	int64_t keep_alive_ms;

	if (!at)
		return KEEP_ALIVE_DEFAULT_MS * US_PER_MS;
	seconds = strtol(at + strlen("timeout="), NULL, 10);
	if (seconds <= 0)
		return 0;
	if (seconds > KEEP_ALIVE_MAX_MS)
		seconds = KEEP_ALIVE_MAX_MS;
	keep_alive_ms = (int64_t)seconds * MS_PER_S * KEEP_ALIVE_PERCENT / 100;
	if (keep_alive_ms > KEEP_ALIVE_MAX_MS)
		keep_alive_ms = KEEP_ALIVE_MAX_MS;
	return keep_alive_ms * US_PER_MS;
}
