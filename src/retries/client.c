#include "retries/client.h"

#include <string.h>

#include "os/clock.h"

enum {
	/* Least time between reports that tell of failures. */
	REPORT_MIN_US = 200 * 1000,
	/* Interval of reports without failures: the owner must know how many
	 * requests there are. */
	REPORT_US = 2000 * 1000,
	REPORT_LIMITED_US = 1000 * 1000,
	/* Longer than the interval of reports, each of which is answered. */
	NEWS_VALID_US = 2500 * 1000,
	/* A node that has just started may have done so amid failures. */
	START_US = 2000 * 1000,
};

void retries_client_init(struct retries_client *client, int64_t now_us)
{
	memset(client, 0, sizeof(*client));
	client->started_us = now_us;
}

static bool has_news(const struct retries_client *client, int64_t now_us)
{
	return client->news_us && now_us - client->news_us < NEWS_VALID_US;
}

static bool is_limited(const struct retries_client *client, int64_t now_us)
{
	return has_news(client, now_us) && client->chance[RETRIES_ALL] < 1;
}

void retries_client_count(struct retries_client *client,
			  const struct retry_use use[RETRIES_ACCOUNTS],
			  int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < RETRIES_ACCOUNTS; i++) {
		client->use[i].firsts += use[i].firsts;
		client->use[i].wanted += use[i].wanted;
		client->use[i].taken += use[i].taken;
		if (use[i].wanted)
			client->wanted_us = now_us;
	}
}

static bool has_wanted(const struct retries_client *client)
{
	return client->use[RETRIES_ALL].wanted ||
	       client->use[RETRIES_AFTER_ERROR].wanted;
}

static bool is_due(const struct retries_client *client, int64_t now_us)
{
	int64_t since_us = now_us - client->reported_us;

	if (has_wanted(client))
		return !client->reported_us || since_us >= REPORT_MIN_US;
	if (!client->use[RETRIES_ALL].firsts)
		return false;
	return since_us >=
	       (is_limited(client, now_us) ? REPORT_LIMITED_US : REPORT_US);
}

bool retries_client_report(struct retries_client *client,
			   struct retry_use use[RETRIES_ACCOUNTS],
			   int64_t now_us)
{
	if (!is_due(client, now_us))
		return false;
	memcpy(use, client->use, sizeof(client->use));
	memset(client->use, 0, sizeof(client->use));
	client->reported_us = now_us;
	return true;
}

void retries_client_heard(struct retries_client *client,
			  const double chance[RETRIES_ACCOUNTS], int64_t now_us)
{
	memcpy(client->chance, chance, sizeof(client->chance));
	client->news_us = now_us;
}

double retries_client_chance(const struct retries_client *client,
			     enum retries_account account, double share,
			     int64_t now_us)
{
	bool has_failed = client->wanted_us &&
			  now_us - client->wanted_us < NEWS_VALID_US;

	if (has_news(client, now_us))
		return client->chance[account];
	if (has_failed || now_us - client->started_us < START_US)
		return share;
	return 1;
}
