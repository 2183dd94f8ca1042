#include <criterion/criterion.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/stat.h>
#include <unistd.h>

#include "os/file.h"

static void write_text(const char *path, const char *text)
{
	FILE *file = fopen(path, "we");

	cr_assert_not_null(file);
	fputs(text, file);
	cr_assert_eq(fclose(file), 0);
}

/* Sets the modification time, so that two writes can have equal times, as
 * within one clock tick of the file system. */
static void set_time(const char *path, int64_t seconds)
{
	const struct timespec times[2] = { { .tv_sec = seconds },
					   { .tv_sec = seconds } };

	cr_assert_eq(utimensat(AT_FDCWD, path, times, 0), 0);
}

Test(file, a_stamp_changes_with_the_file)
{
	char path[] = "/tmp/geraniumplank-file-XXXXXX";
	char other[] = "/tmp/geraniumplank-file-XXXXXX";
	struct file_stamp before;
	struct file_stamp after;

	close(mkstemp(path));
	close(mkstemp(other));
	write_text(path, "a");
	set_time(path, 1000);
	cr_assert(file_stamp_read(path, &before));
	cr_assert(file_stamp_read(path, &after));
	cr_expect(file_stamp_equal(&before, &after));

	set_time(path, 1001);
	cr_assert(file_stamp_read(path, &after));
	cr_expect_not(file_stamp_equal(&before, &after), "written");

	write_text(other, "a");
	set_time(other, 1000);
	cr_assert_eq(rename(other, path), 0);
	cr_assert(file_stamp_read(path, &after));
	cr_expect_not(file_stamp_equal(&before, &after), "replaced");

	cr_assert_eq(unlink(path), 0);
	cr_expect_not(file_stamp_read(path, &after), "gone");
}
