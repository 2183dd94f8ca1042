#ifndef QUOTA_FLEET_SIZE_H
#define QUOTA_FLEET_SIZE_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: fleet size
 *
 * The number of nodes by which a limit is divided. A node that has just started
 * may know few other nodes, or none, for seconds: it would take too large a
 * part. Until it has learned of the others, it goes by the number that the
 * nodes before it recorded in the platform's service. No I/O, no clock.
 */

/**
 * struct fleet_size - see DOC
 * @known: members that this node knows, itself included
 * @recorded: number in the record; 0 if there is none
 * @recorded_us: time since which @recorded counts
 * @is_read: the record was read, or found absent
 * @has_reached: @known has been close to @recorded since @recorded_us
 */
struct fleet_size {
	uint32_t known;
	uint32_t recorded;
	int64_t recorded_us;
	bool is_read;
	bool has_reached;
};

void fleet_size_init(struct fleet_size *size);

/** fleet_size_set_known() - @known: at least 1. */
void fleet_size_set_known(struct fleet_size *size, uint32_t known);

/** fleet_size_set_recorded() - the record was read; @recorded: 0 if absent. */
void fleet_size_set_recorded(struct fleet_size *size, uint32_t recorded,
			     int64_t now_us);

/** fleet_size_set_expected() - as if @nodes were recorded, before a read. */
void fleet_size_set_expected(struct fleet_size *size, uint32_t nodes,
			     int64_t now_us);

/** fleet_size_get() - returns the number of nodes to divide a limit by. */
uint32_t fleet_size_get(const struct fleet_size *size, int64_t now_us);

/**
 * fleet_size_to_record() - returns the number to write into the record
 *
 * Return: 0 if the record is close enough, or this node may know too few.
 */
uint32_t fleet_size_to_record(const struct fleet_size *size, int64_t now_us);

#endif
