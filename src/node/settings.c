#include "node/settings_defs.h"

#include <assert.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "base/toml.h"
#include "node/stop_times.h"
#include "os/clock.h"

enum { SETTINGS_MAX_BYTES = 256 * 1024 };

/* Returns the line of a key; the line of its table if the key is missing; 0 if
 * the table is missing. */
static uint32_t line_of(const struct toml_node *root, const char *section,
			const char *key)
{
	const struct toml_node *table = toml_find(root, section);
	const struct toml_node *node;

	if (!table || table->type != TOML_TABLE)
		return 0;
	node = toml_find(table, key);
	return node ? node->line : table->line;
}

static void read_sections(const struct toml_node *root,
			  struct settings_draft *draft, struct faults *faults)
{
	struct schema_field tables[SETTINGS_SECTION_COUNT];
	size_t i;

	memset(tables, 0, sizeof(tables));
	for (i = 0; i < SETTINGS_SECTION_COUNT; i++) {
		tables[i].name = settings_sections[i].name;
		tables[i].type = SCHEMA_TABLE;
		tables[i].fallback = "";
	}
	schema_read(root, "", tables, SETTINGS_SECTION_COUNT, draft, faults);
	for (i = 0; i < SETTINGS_SECTION_COUNT; i++) {
		const struct toml_node *table =
			toml_find(root, settings_sections[i].name);

		if (table && table->type != TOML_TABLE)
			table = NULL;
		schema_read(table, settings_sections[i].name,
			    settings_sections[i].fields,
			    settings_sections[i].count, draft, faults);
	}
}

static void read_address(const char *text, uint32_t line, const char *name,
			 struct address *address, struct faults *faults)
{
	struct error err = ERROR_INIT;

	if (*text && !address_parse(text, address, &err))
		fault_add(faults, line, "%s must be IP:port, is \"%s\"", name,
			  text);
}

static bool is_loopback(const struct address *address)
{
	static const uint8_t six[16] = { [15] = 1 };

	if (address->family == 4)
		return address->ip[0] == 127;
	return !memcmp(address->ip, six, sizeof(six));
}

static void check_interface(const struct toml_node *root,
			    struct settings_draft *draft, struct faults *faults)
{
	static const char *const names[] = { "own", "platform" };
	size_t i;

	for (i = 0; i < sizeof(names) / sizeof(names[0]); i++)
		if (!strcmp(draft->interface, names[i])) {
			draft->settings.node.form = (enum interface_form)i;
			return;
		}
	fault_add(faults, line_of(root, "node", "interface"),
		  "node.interface must be own or platform, is \"%s\"",
		  draft->interface);
}

static void check_listen(const struct toml_node *root,
			 struct settings_draft *draft, struct faults *faults)
{
	struct settings_listen *listen = &draft->settings.listen;

	read_address(draft->peer, line_of(root, "listen", "peer"),
		     "listen.peer", &listen->peer, faults);
	read_address(draft->caller, line_of(root, "listen", "caller"),
		     "listen.caller", &listen->caller, faults);
	read_address(draft->upstream, line_of(root, "listen", "upstream"),
		     "listen.upstream", &listen->upstream, faults);
	read_address(draft->operator_, line_of(root, "listen", "operator"),
		     "listen.operator", &listen->operator_, faults);
	read_address(draft->ready, line_of(root, "listen", "ready"),
		     "listen.ready", &listen->ready, faults);
	read_address(draft->metrics, line_of(root, "listen", "metrics"),
		     "listen.metrics", &listen->metrics, faults);
	/* A process that can announce an upstream receives the requests of
	 * callers. With the platform interface, the platform restricts the
	 * access to this address. */
	if (draft->settings.node.form == INTERFACE_OWN &&
	    listen->upstream.family && !is_loopback(&listen->upstream))
		fault_add(faults, line_of(root, "listen", "upstream"),
			  "listen.upstream must be a loopback address, is "
			  "\"%s\"",
			  draft->upstream);
	/* A process that can accept a version controls the whole deployment. */
	if (listen->operator_.family && !is_loopback(&listen->operator_) &&
	    !*draft->settings.operator_.token && !*draft->token_file)
		fault_add(faults, line_of(root, "listen", "operator"),
			  "operator.token or operator.token_file must be set "
			  "when listen.operator is not a loopback address");
}

static void check_seeds(const struct toml_node *root,
			struct settings_draft *draft, struct faults *faults)
{
	const struct toml_node *table = toml_find(root, "peers");
	const struct toml_node *seeds = table && table->type == TOML_TABLE
						? toml_find(table, "seeds")
						: NULL;
	struct settings_peers *peers = &draft->settings.peers;
	const struct toml_node *seed;

	if (!seeds || seeds->type != TOML_ARRAY)
		return;
	for (seed = seeds->first_child; seed; seed = seed->next) {
		if (seed->type != TOML_STRING) {
			fault_add(faults, seed->line,
				  "peers.seeds must hold strings of IP:port");
			continue;
		}
		if (peers->seed_count == SETTINGS_SEEDS_MAX) {
			fault_add(faults, seed->line,
				  "peers.seeds may hold at most %d addresses",
				  SETTINGS_SEEDS_MAX);
			return;
		}
		read_address(*seed->string ? seed->string : "\"\"", seed->line,
			     "peers.seeds", &peers->seeds[peers->seed_count],
			     faults);
		peers->seed_count++;
	}
}

/* Reads the first line of a file, without its line end. Returns false if the
 * file cannot be opened or has no line. */
static bool read_first_line(const char *path, char *line, size_t size)
{
	FILE *file = fopen(path, "re");
	bool read;

	if (!file)
		return false;
	read = fgets(line, (int)size, file);
	(void)fclose(file);
	if (read)
		line[strcspn(line, "\r\n")] = '\0';
	return read;
}

static void load_secret(const char *path, uint32_t line, const char *name,
			char secret[SECRET_SIZE], struct faults *faults)
{
	if (!*path)
		return;
	if (*secret) {
		fault_add(faults, line, "%s and %s_file exclude each other",
			  name, name);
		return;
	}
	errno = 0;
	if (!read_first_line(path, secret, SECRET_SIZE))
		fault_add(faults, line, "cannot read %s_file %s: %s", name,
			  path, errno ? strerror(errno) : "it is empty");
}

static void check_secrets(const struct toml_node *root,
			  struct settings_draft *draft, struct faults *faults)
{
	char *secret = draft->settings.peers.secret;
	uint32_t before = faults->count;

	load_secret(draft->secret_file, line_of(root, "peers", "secret_file"),
		    "peers.secret", secret, faults);
	load_secret(draft->token_file, line_of(root, "operator", "token_file"),
		    "operator.token", draft->settings.operator_.token, faults);
	if (faults->count == before && strlen(secret) < SECRET_MIN_BYTES)
		fault_add(faults, line_of(root, "peers", "secret"),
			  "peers.secret or peers.secret_file must give a key "
			  "of at least %d bytes",
			  SECRET_MIN_BYTES);
}

static void check_relations(const struct toml_node *root,
			    struct settings_draft *draft, struct faults *faults)
{
	struct settings *s = &draft->settings;
	int level = log_level_parse(draft->level);

	if (level < 0)
		fault_add(faults, line_of(root, "log", "level"),
			  "log.level must be debug, info, warn or error, is "
			  "\"%s\"",
			  draft->level);
	else
		s->log.level = level;
	if (s->membership.probe_timeout_ms >= s->membership.probe_interval_ms)
		fault_add(faults,
			  line_of(root, "membership", "probe_timeout_ms"),
			  "membership.probe_timeout_ms must be less than "
			  "membership.probe_interval_ms");
	if (s->platform.deadline_ms < s->platform.timeout_ms)
		fault_add(faults, line_of(root, "platform", "deadline_ms"),
			  "platform.deadline_ms must not be less than "
			  "platform.timeout_ms");
	/* A lease that is too short expires while it is being renewed. */
	if (s->platform.lease_ms <= 2 * s->platform.timeout_ms)
		fault_add(faults, line_of(root, "platform", "lease_ms"),
			  "platform.lease_ms must be more than twice "
			  "platform.timeout_ms");
	if (s->membership.sync_max_ms < s->membership.sync_min_ms)
		fault_add(faults, line_of(root, "membership", "sync_max_ms"),
			  "membership.sync_max_ms must not be less than "
			  "membership.sync_min_ms");
	if (s->membership.link_timeout_ms <= s->membership.link_interval_ms)
		fault_add(faults,
			  line_of(root, "membership", "link_timeout_ms"),
			  "membership.link_timeout_ms must be more than "
			  "membership.link_interval_ms");
}

static bool is_set(const struct toml_node *root, const char *section,
		   const char *key)
{
	const struct toml_node *table = toml_find(root, section);

	return table && table->type == TOML_TABLE && toml_find(table, key);
}

static bool sets_stop_time(const struct toml_node *root)
{
	return is_set(root, "call", "linger_ms") ||
	       is_set(root, "call", "keep_upstream_ms") ||
	       is_set(root, "call", "drain_ms");
}

/* The times of a stop that are not set follow from the grace period. The target
 * platform ends each process after one, also where it does not tell which. */
static void derive_stop_times(const struct toml_node *root,
			      enum interface_form form,
			      struct settings_call *call)
{
	int64_t grace_ms = (int64_t)(call->grace_s * MS_PER_S);

	if (form == INTERFACE_PLATFORM && !grace_ms && !sets_stop_time(root))
		grace_ms = STOP_GRACE_DEFAULT_MS;
	if (!grace_ms)
		return;
	if (!is_set(root, "call", "linger_ms"))
		call->linger_ms = stop_times_linger_ms(grace_ms);
	if (!is_set(root, "call", "keep_upstream_ms"))
		call->keep_upstream_ms =
			stop_times_keep_upstream_ms(call->linger_ms);
	if (!is_set(root, "call", "drain_ms"))
		call->drain_ms = stop_times_drain_ms(grace_ms, call->linger_ms);
}

static uint64_t hash_seeds(const struct settings_peers *peers)
{
	return XXH3_64bits(peers->seeds,
			   peers->seed_count * sizeof(peers->seeds[0]));
}

/* Returns a hash of the value as written, before others are derived from it. */
static uint64_t hash_value(const struct settings_draft *draft,
			   const struct schema_field *field)
{
	const char *member = (const char *)draft + field->offset;

	switch (field->type) {
	case SCHEMA_STRING:
		return XXH3_64bits(member, strlen(member));
	case SCHEMA_INTEGER:
		return XXH3_64bits(member, sizeof(int64_t));
	case SCHEMA_REAL:
		return XXH3_64bits(member, sizeof(double));
	case SCHEMA_BOOLEAN:
		return XXH3_64bits(member, sizeof(bool));
	case SCHEMA_ARRAY: /* the only one is that of the seeds */
		return hash_seeds(&draft->settings.peers);
	case SCHEMA_TABLE:
		break;
	}
	return 0;
}

static void hash_values(struct settings_draft *draft)
{
	uint32_t index = 0;
	size_t i;
	size_t j;

	for (i = 0; i < SETTINGS_SECTION_COUNT; i++)
		for (j = 0; j < settings_sections[i].count; j++) {
			assert(index < SETTINGS_KEYS_MAX);
			draft->settings.key_hashes[index++] = hash_value(
				draft, &settings_sections[i].fields[j]);
		}
}

/* An embedded zero byte would silently truncate the text. */
static bool text_is_valid(const char *text, size_t size, struct faults *faults)
{
	if (size > SETTINGS_MAX_BYTES) {
		fault_add(faults, 0, "the settings may have at most %d bytes",
			  SETTINGS_MAX_BYTES);
		return false;
	}
	if (memchr(text, '\0', size)) {
		fault_add(faults, 0, "the settings hold a zero byte");
		return false;
	}
	return true;
}

bool settings_parse(struct settings *settings, const char *text, size_t size,
		    struct faults *faults)
{
	struct error err = ERROR_INIT;
	struct settings_draft draft;
	struct toml_node *root;
	uint32_t line = 0;

	if (!text_is_valid(text, size, faults))
		return false;
	root = toml_parse(text, size, &line, &err);
	if (!root) {
		fault_add(faults, line, "%s", err.text);
		return false;
	}
	memset(&draft, 0, sizeof(draft));
	read_sections(root, &draft, faults);
	check_interface(root, &draft, faults);
	check_listen(root, &draft, faults);
	read_address(draft.platform, line_of(root, "platform", "address"),
		     "platform.address", &draft.settings.platform.address,
		     faults);
	read_address(draft.upstream_address,
		     line_of(root, "upstream", "address"), "upstream.address",
		     &draft.settings.upstream.address, faults);
	check_seeds(root, &draft, faults);
	check_secrets(root, &draft, faults);
	check_relations(root, &draft, faults);
	hash_values(&draft);
	derive_stop_times(root, draft.settings.node.form, &draft.settings.call);
	toml_free(root);
	if (faults->count)
		return false;
	*settings = draft.settings;
	return true;
}

static char *read_file(const char *path, size_t *size, struct error *err)
{
	FILE *file = fopen(path, "re");
	char *text;

	if (!file) {
		error_set(err, ERROR_IO, "cannot read %s: %s", path,
			  strerror(errno));
		return NULL;
	}
	text = malloc(SETTINGS_MAX_BYTES + 1);
	if (!text)
		abort();
	*size = fread(text, 1, SETTINGS_MAX_BYTES + 1, file);
	if (ferror(file)) {
		error_set(err, ERROR_IO, "cannot read %s: %s", path,
			  strerror(errno));
		free(text);
		text = NULL;
	}
	(void)fclose(file);
	return text;
}

bool settings_load(struct settings *settings, const char *path,
		   struct faults *faults, struct error *err)
{
	size_t size = 0;
	char *text = read_file(path, &size, err);
	bool valid;

	if (!text)
		return false;
	valid = settings_parse(settings, text, size, faults);
	free(text);
	if (!valid)
		faults_to_error(faults, path, err);
	return valid;
}
