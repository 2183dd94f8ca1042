#include "os/file.h"

#include <string.h>
#include <sys/stat.h>

#define NS_PER_S INT64_C(1000000000)

bool file_stamp_read(const char *path, struct file_stamp *stamp)
{
	struct stat file_status;

	memset(stamp, 0, sizeof(*stamp));
	if (stat(path, &file_status))
		return false;
	stamp->modified_ns = file_status.st_mtim.tv_sec * NS_PER_S +
			     file_status.st_mtim.tv_nsec;
	stamp->size = file_status.st_size;
	stamp->inode = file_status.st_ino;
	return true;
}

bool file_stamp_equal(const struct file_stamp *a, const struct file_stamp *b)
{
	return a->modified_ns == b->modified_ns && a->size == b->size &&
	       a->inode == b->inode;
}
