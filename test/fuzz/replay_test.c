#include <criterion/criterion.h>
#include <dirent.h>
#include <stdio.h>
#include <string.h>

#include "fuzz/mutate.h"
#include "fuzz/targets.h"

enum { SEEDS_MAX = 64, SEED_MAX_BYTES = 64 * 1024, PATH_SIZE = 512 };

/* Sorts the seeds by name: the order in which the file system lists them must
 * not influence the replay. */
static int compare_names(const struct dirent **a, const struct dirent **b)
{
	return strcmp((*a)->d_name, (*b)->d_name);
}

static int is_seed(const struct dirent *entry)
{
	return entry->d_name[0] != '.';
}

static void read_seed(const char *path, struct buffer *seed)
{
	FILE *file = fopen(path, "re");
	size_t size;

	cr_assert_not_null(file, "%s", path);
	size = fread(buffer_reserve(seed, SEED_MAX_BYTES), 1, SEED_MAX_BYTES,
		     file);
	buffer_commit(seed, size);
	fclose(file);
}

static void replay_seed(enum fuzz_target target, const struct buffer *seed,
			uint32_t mutations)
{
	struct random random;
	uint32_t i;

	random_init(&random, 20);
	fuzz_run(target, buffer_data(seed), buffer_size(seed));
	for (i = 0; i < mutations; i++) {
		struct buffer input = { 0 };

		buffer_append(&input, buffer_data(seed), buffer_size(seed));
		mutate(&input, &random);
		fuzz_run(target, buffer_data(&input), buffer_size(&input));
		buffer_finish(&input);
	}
}

static uint32_t replay_directory(enum fuzz_target target, const char *directory,
				 uint32_t mutations)
{
	struct dirent **entries;
	int count = scandir(directory, &entries, is_seed, compare_names);
	int i;

	cr_assert_geq(count, 0, "%s", directory);
	for (i = 0; i < count; i++) {
		struct buffer seed = { 0 };
		char path[PATH_SIZE];

		snprintf(path, sizeof(path), "%s/%s", directory,
			 entries[i]->d_name);
		read_seed(path, &seed);
		replay_seed(target, &seed, mutations);
		buffer_finish(&seed);
		free(entries[i]);
	}
	free(entries);
	return (uint32_t)count;
}

static void replay(enum fuzz_target target, uint32_t mutations)
{
	char directory[PATH_SIZE / 2];

	snprintf(directory, sizeof(directory), "test/fuzz/seeds/%s",
		 fuzz_target_name(target));
	cr_assert_gt(replay_directory(target, directory, mutations), 0);
}

Test(fuzz, frames_between_nodes, .timeout = 60)
{
	replay(FUZZ_FRAME, 20000);
}

Test(fuzz, bytes_on_a_connection_between_nodes, .timeout = 60)
{
	replay(FUZZ_HUB, 200);
}

Test(fuzz, heads_of_versions, .timeout = 60)
{
	replay(FUZZ_HEAD, 5000);
}

Test(fuzz, settings, .timeout = 60)
{
	replay(FUZZ_SETTINGS, 2000);
}

Test(fuzz, profiles, .timeout = 60)
{
	replay(FUZZ_PROFILE, 2000);
}

Test(fuzz, paths_of_operators, .timeout = 60)
{
	replay(FUZZ_PATH, 20000);
}

Test(fuzz, announcements_of_upstreams, .timeout = 60)
{
	replay(FUZZ_ANNOUNCE, 10000);
}

Test(fuzz, heartbeats, .timeout = 60)
{
	replay(FUZZ_HEARTBEAT, 10000);
}

Test(fuzz, documents, .timeout = 60)
{
	replay(FUZZ_DOCUMENT, 2000);
}

Test(fuzz, entries_of_the_directory, .timeout = 60)
{
	replay(FUZZ_DIRECTORY, 2000);
}

Test(fuzz, messages_that_a_peer_compressed, .timeout = 60)
{
	replay(FUZZ_PACKED, 2000);
}

Test(fuzz, lines_of_logs, .timeout = 60)
{
	replay(FUZZ_LOG, 2000);
}

Test(fuzz, keys_of_tenants, .timeout = 60)
{
	replay(FUZZ_KEY, 20000);
}

/* Guards against an answer that is accepted and then lost, changed or fatal on
 * its way to the caller. */
Test(fuzz, bytes_of_an_answer, .timeout = 120)
{
	replay(FUZZ_ANSWER, 1000);
}

Test(fuzz, bytes_on_a_connection_of_a_caller, .timeout = 60)
{
	replay(FUZZ_CALLER, 1000);
}
