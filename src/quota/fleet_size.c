#include "quota/fleet_size.h"

#include <string.h>

#include "os/clock.h"

enum {
	/* A node that knows so many eighths of the recorded number has learned
	 * of the fleet. */
	REACHED_EIGHTHS = 7,
	/* A record that is too low by more than 1/16, or too high by more than
	 * 1/4, is replaced. */
	TOO_LOW_SIXTEENTHS = 17,
	TOO_HIGH_QUARTERS = 3,
};

/* Time after which a node takes the nodes that it has not found for removed. */
static const int64_t record_valid_us = (int64_t)600 * US_PER_S;

void fleet_size_init(struct fleet_size *size)
{
	memset(size, 0, sizeof(*size));
	size->known = 1;
}

static void update_reached(struct fleet_size *size)
{
	if ((uint64_t)size->known * 8 >=
	    (uint64_t)size->recorded * REACHED_EIGHTHS)
		size->has_reached = true;
}

void fleet_size_set_known(struct fleet_size *size, uint32_t known)
{
	size->known = known;
	update_reached(size);
}

void fleet_size_set_recorded(struct fleet_size *size, uint32_t recorded,
			     int64_t now_us)
{
	if (!size->is_read || recorded > size->recorded) {
		size->has_reached = false;
		size->recorded_us = now_us;
	}
	size->is_read = true;
	size->recorded = recorded;
	update_reached(size);
}

void fleet_size_set_expected(struct fleet_size *size, uint32_t nodes,
			     int64_t now_us)
{
	size->recorded = nodes;
	size->recorded_us = now_us;
	update_reached(size);
}

static bool trusts_own_view(const struct fleet_size *size, int64_t now_us)
{
	return size->has_reached ||
	       now_us - size->recorded_us >= record_valid_us;
}

uint32_t fleet_size_get(const struct fleet_size *size, int64_t now_us)
{
	if (size->recorded > size->known && !trusts_own_view(size, now_us))
		return size->recorded;
	return size->known;
}

uint32_t fleet_size_to_record(const struct fleet_size *size, int64_t now_us)
{
	uint64_t known = size->known;
	uint64_t recorded = size->recorded;

	if (!size->is_read || size->known < 2)
		return 0;
	if (known * 16 > recorded * TOO_LOW_SIXTEENTHS)
		return size->known;
	if (known * 4 < recorded * TOO_HIGH_QUARTERS &&
	    trusts_own_view(size, now_us))
		return size->known;
	return 0;
}
