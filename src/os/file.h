#ifndef OS_FILE_H
#define OS_FILE_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: file
 *
 * Detects changes of a file without reading its content.
 */

/** struct file_stamp - changes when the file is written or replaced. */
struct file_stamp {
	int64_t modified_ns; /* since 1970 */
	int64_t size;	     /* in bytes */
	uint64_t inode;
};

/**
 * file_stamp_read() - read the metadata of a file
 *
 * Return: false if the file does not exist or cannot be examined; @stamp is
 * zeroed then.
 */
bool file_stamp_read(const char *path, struct file_stamp *stamp);

/** file_stamp_equal() - returns true if the file has not changed in between. */
bool file_stamp_equal(const struct file_stamp *a, const struct file_stamp *b);

#endif
