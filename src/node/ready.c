#include <string.h>

#include "base/log.h"
#include "node/node_defs.h"
#include "operator/views.h"
#include "platform/heartbeat.h"

/**
 * DOC: ready
 *
 * Serves the readiness check and the metrics of a node.
 */

static const char own_ready_path[] = "/v1/ready";

enum { STATUS_OK = 200, STATUS_NOT_FOUND = 404, STATUS_UNAVAILABLE = 503 };

bool node_is_ready(const struct node *node)
{
	/* A node without peers is ready: it serves requests for the local
	 * upstream and refuses other requests with a reason. Otherwise the loss
	 * of the peers would make a whole data centre unready. */
	return !node->leaving && keeper_config(&node->keeper);
}

static bool path_is(const struct node *node, const char *path,
		    const char *own_path, const char *platform_path)
{
	switch (node->settings->node.form) {
	case INTERFACE_OWN:
		break;
	case INTERFACE_PLATFORM:
		return !strcmp(path, platform_path);
	}
	return !strcmp(path, own_path);
}

void node_ready_handle(struct http_exchange *exchange, void *data)
{
	const struct node *node = data;
	unsigned int status = STATUS_NOT_FOUND;

	if (path_is(node, http_exchange_path(exchange), own_ready_path,
		    PLATFORM_READY_PATH))
		status = node_is_ready(node) ? STATUS_OK : STATUS_UNAVAILABLE;
	http_exchange_reply(exchange, status, NULL, 0, "", 0);
}

void node_metrics_handle(struct http_exchange *exchange, void *data)
{
	struct node *node = data;

	if (strcmp(http_exchange_path(exchange), PLATFORM_METRICS_PATH)) {
		http_exchange_reply(exchange, STATUS_NOT_FOUND, NULL, 0, "", 0);
		return;
	}
	node_refresh_metrics(node);
	view_metrics(exchange);
}
