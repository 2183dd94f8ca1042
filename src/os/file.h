#ifndef OS_FILE_H
#define OS_FILE_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: file
 *
 * Whether a file is still the same, without reading it.
 */

/** struct file_stamp - changes when a file is written or replaced. */
struct file_stamp {
	int64_t modified_ns; /* wall clock */
	int64_t size;
	uint64_t inode;
};

/** file_stamp_read() - false if there is no such file; @stamp is zero then. */
bool file_stamp_read(const char *path, struct file_stamp *stamp);

/** file_stamp_equal() - whether nothing has changed in between. */
bool file_stamp_equal(const struct file_stamp *a, const struct file_stamp *b);

#endif
