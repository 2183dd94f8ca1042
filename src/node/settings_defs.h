#ifndef NODE_SETTINGS_DEFS_H
#define NODE_SETTINGS_DEFS_H

#include "node/settings.h"

/**
 * DOC: settings tables
 *
 * What the reader of settings and their reference share.
 */

enum { SETTINGS_PATH_SIZE = 512, SETTINGS_SECTION_COUNT = 12 };

/**
 * struct settings_draft - what the file says, before texts are made into
 * addresses and levels
 */
struct settings_draft {
	struct settings settings;
	char peer[ADDRESS_TEXT_SIZE];
	char caller[ADDRESS_TEXT_SIZE];
	char upstream[ADDRESS_TEXT_SIZE];
	char operator_[ADDRESS_TEXT_SIZE];
	char ready[ADDRESS_TEXT_SIZE];
	char metrics[ADDRESS_TEXT_SIZE];
	char platform[ADDRESS_TEXT_SIZE];
	char upstream_address[ADDRESS_TEXT_SIZE];
	char secret_file[SETTINGS_PATH_SIZE];
	char token_file[SETTINGS_PATH_SIZE];
	char interface[16];
	char level[16];
};

/** struct settings_section - one table of the file and its keys. */
struct settings_section {
	const char *name;
	const struct schema_field *fields;
	size_t count;
};

extern const struct settings_section settings_sections[SETTINGS_SECTION_COUNT];

#endif
