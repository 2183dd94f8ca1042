#ifndef NODE_NODE_H
#define NODE_NODE_H

#include "node/settings.h"

/**
 * DOC: node
 *
 * The process beside one upstream. Runs all components on one event loop and
 * connects the components by callbacks.
 */

/**
 * node_run() - run a node until SIGTERM or SIGINT
 * @settings: settings of the node
 * @path: path of the settings file, which is read again when it changes
 *
 * After the signal, the node completes the work in progress or cancels it at
 * the end of the drain time.
 *
 * Return: an enum exit_status.
 */
int node_run(const struct settings *settings, const char *path);

#endif
