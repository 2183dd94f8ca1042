#ifndef NODE_NODE_H
#define NODE_NODE_H

#include "node/settings.h"

/**
 * DOC: node
 *
 * The process beside one upstream: all slices on one loop, joined by
 * callbacks. No decision is taken here.
 */

/**
 * node_run() - be a node until told to stop
 *
 * Ends on SIGTERM and SIGINT once the work in progress has ended.
 *
 * @path: of the file that the settings came from, to read it again
 *
 * Return: an enum exit_status.
 */
int node_run(const struct settings *settings, const char *path);

#endif
