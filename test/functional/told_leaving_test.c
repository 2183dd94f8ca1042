#include <criterion/criterion.h>

#include "functional/background.h"
#include "functional/loaded.h"

/**
 * DOC: told leaving
 *
 * An upstream says in its answers that it leaves, while its heartbeats still
 * say that it serves.
 */

enum {
	RATE_PER_S = 90,
	WARM_UP_MS = 1000,
	TOLD_MS = 2000 + 4000,
};

static struct loaded loaded;

static void start(void)
{
	static const char *const args[] = { "--service-us", "20000", NULL };
	static const struct load_kind read = {
		.name = "read",
		.method = "GET",
		.path = "/read",
		.service = "alpha",
		.share = 1,
	};

	loaded_start(&loaded, args, &read, 1, RATE_PER_S);
	load_run(&loaded.load, WARM_UP_MS);
}

static void stop(void)
{
	loaded_stop(&loaded);
}

static void check_told_leaving(enum disturbance disturbance)
{
	uint32_t from = loaded.load.count;
	int64_t late;

	loaded_post_upstream(&loaded, 0, "{\"leaving\":true}");
	load_run(&loaded.load, LOADED_RESTART_GAP_MS);
	loaded_disturb(&loaded, disturbance);
	load_run(&loaded.load, TOLD_MS);
	load_drain(&loaded.load, BACKGROUND_WAIT_MS);
	late = upstream_stat(&loaded.cluster, 0, "after_leaving");
	cr_expect_eq(late, 0, "%lld", (long long)late);
	loaded_check_served(&loaded, from, -1);
}

/* Guards against new work for an upstream that has said in its answers, and not
 * in a heartbeat, that it leaves. */
Test(told_leaving, it_gets_no_new_work, .init = start, .fini = stop,
     .timeout = 120)
{
	check_told_leaving(UNDISTURBED);
}

/* Guards against a data centre that was cut off while it was told. */
Test(told_leaving, nor_from_a_data_centre_that_was_cut_off, .init = start,
     .fini = stop, .timeout = 120)
{
	check_told_leaving(DATA_CENTRE_CUT_AND_BACK);
}

Test(told_leaving, nor_over_new_connections_after_silence, .init = start,
     .fini = stop, .timeout = 120)
{
	check_told_leaving(CONNECTIONS_SILENT);
}

Test(told_leaving, nor_from_nodes_that_restart, .init = start, .fini = stop,
     .timeout = 120)
{
	check_told_leaving(OTHER_NODES_RESTART);
}

Test(told_leaving, nor_while_the_platform_is_down, .init = start, .fini = stop,
     .timeout = 120)
{
	check_told_leaving(PLATFORM_DOWN);
}
