#ifndef NODE_SETTINGS_DEFS_H
#define NODE_SETTINGS_DEFS_H

#include "node/settings.h"

/**
 * DOC: settings tables
 *
 * Tables shared by the parser of settings and the reference of settings.
 */

enum { SETTINGS_PATH_SIZE = 512, SETTINGS_SECTION_COUNT = 13 };

/**
 * struct settings_draft - parsed settings before the conversion of texts
 * @settings: settings that need no conversion
 * @peer: setting listen.peer, like @caller to @metrics
 * @platform: setting platform.address
 * @upstream_address: setting upstream.address
 * @secret_file: setting peers.secret_file
 * @token_file: setting operator.token_file
 * @interface: setting node.interface
 * @level: setting log.level
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

/**
 * struct settings_section - one table of the settings file
 * @name: name of the table
 * @fields: keys of the table
 * @count: number of @fields
 */
struct settings_section {
	const char *name;
	const struct schema_field *fields;
	size_t count;
};

extern const struct settings_section settings_sections[SETTINGS_SECTION_COUNT];

#endif
