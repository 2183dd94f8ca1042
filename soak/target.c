#include <stdio.h>
#include <string.h>

#include "soak/soak.h"

/* The interface of the target platform, and faults of upstreams that tell by
 * their answers whether a request has run. */

enum {
	DOCUMENT_SIZE = 1024,
	/* On average a fault of the answers is drawn once in this number of
	 * steps. */
	INTERVAL_STEPS = 4,
};

static const char document_format[] =
	"{\"version\":\"r%llu\",\"routes\":{"
	"\"r-read\":{\"host\":\"seal-desk\",\"prefix\":\"/read/\","
	"\"kind\":\"safe\",\"timeout_s\":5,\"target_latency_s\":1,"
	"\"priority\":1,\"service\":\"seal-desk\",\"max_attempts\":3},"
	"\"r-seal\":{\"host\":\"seal-desk\",\"prefix\":\"/seal/\","
	"\"kind\":\"unsafe\",\"timeout_s\":5,\"target_latency_s\":1,"
	"\"priority\":0,\"service\":\"seal-desk\",\"max_attempts\":3}},"
	"\"services\":{\"seal-desk\":{\"health_path\":\"/healthz\","
	"\"max_connections\":200},\"tally\":{\"health_path\":\"/healthz\","
	"\"max_connections\":200},\"print\":{\"health_path\":\"/healthz\","
	"\"max_connections\":200}}}";

uint64_t soak_write_document(struct soak *soak)
{
	uint64_t version = soak->document_version + 1;
	char document[DOCUMENT_SIZE];

	snprintf(document, sizeof(document), document_format,
		 (unsigned long long)version);
	if (!cluster_write_document(&soak->cluster, document))
		return 0;
	soak->document_version = version;
	return version;
}

void soak_disturb_answers(struct soak *soak)
{
	static const char *const faults[] = {
		"{\"reject\":0.3}",
		"{\"reject\":0.3,\"reject_status\":503}",
		"{\"reject\":0,\"reject_status\":429}",
		"{\"again\":0.4}",
		"{\"again\":0.4,\"unnamed\":0.3}",
		"{\"again\":0,\"unnamed\":0}",
		"{\"lose\":0.2}",
		"{\"lose\":0}",
		"{\"unavailable\":0.2}",
		"{\"unavailable\":0}",
		"{\"replace\":true}",
	};
	uint32_t turn;
	uint32_t i;

	if (!soak->target_platform || soak->planned ||
	    random_below(&soak->upstream_random, INTERVAL_STEPS))
		return;
	turn = random_below(&soak->upstream_random,
			    sizeof(faults) / sizeof(faults[0]));
	do
		i = random_below(&soak->upstream_random, soak->count);
	while (strcmp(soak->cluster.nodes[i].service, "seal-desk") != 0);
	soak_post_upstream(soak, i, faults[turn]);
}

void soak_end_answer_faults(struct soak *soak)
{
	uint32_t i;

	for (i = 0; soak->target_platform && i < soak->count; i++)
		soak_post_upstream(soak, i,
				   "{\"reject\":0,\"again\":0,\"unnamed\":0,"
				   "\"lose\":0,\"unavailable\":0}");
}
