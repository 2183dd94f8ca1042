#include "node/log_files.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void read_lines(FILE *file, log_line_fn *on_line, void *data)
{
	char *line = NULL;
	size_t size = 0;

	while (getline(&line, &size, file) >= 0)
		on_line(line, data);
	free(line);
}

static bool read_file(const char *command, const char *path,
		      log_line_fn *on_line, void *data)
{
	FILE *file = fopen(path, "re");

	if (!file) {
		fprintf(stderr, "%s: cannot read %s: %s\n", command, path,
			strerror(errno));
		return false;
	}
	read_lines(file, on_line, data);
	(void)fclose(file);
	return true;
}

bool log_files_read(const char *command, const char *const *paths, int count,
		    log_line_fn *on_line, void *data)
{
	int i;

	for (i = 0; i < count; i++)
		if (!read_file(command, paths[i], on_line, data))
			return false;
	if (!count)
		read_lines(stdin, on_line, data);
	return true;
}
