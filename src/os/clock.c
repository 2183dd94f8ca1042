#include "os/clock.h"

#include <time.h>

int64_t clock_monotonic_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_BOOTTIME, &now);
	return (int64_t)now.tv_sec * US_PER_S + now.tv_nsec / 1000;
}

int64_t clock_wall_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_REALTIME, &now);
	return (int64_t)now.tv_sec * MS_PER_S + now.tv_nsec / 1000000;
}
