#ifndef FUZZ_TARGETS_H
#define FUZZ_TARGETS_H

#include <stddef.h>
#include <stdint.h>

/**
 * DOC: fuzz targets
 *
 * What takes bytes from outside, each callable with any bytes. A target
 * aborts if an invariant breaks; the sanitizers find the rest. The fuzzer of
 * clang calls them through fuzzer.c; the functional tests replay the seeds
 * and fixed mutations of them with any compiler.
 */

enum fuzz_target {
	FUZZ_FRAME,	/* a message between nodes */
	FUZZ_HUB,	/* bytes on a connection between nodes */
	FUZZ_HEAD,	/* the head of a version */
	FUZZ_SETTINGS,	/* a settings file */
	FUZZ_PROFILE,	/* a profile */
	FUZZ_PATH,	/* a path of the operators' interface */
	FUZZ_ANNOUNCE,	/* what an upstream says of itself */
	FUZZ_CALLER,	/* bytes on a connection of a caller */
	FUZZ_HEARTBEAT, /* a line with a path, then a body */
	FUZZ_DOCUMENT,	/* a configuration document of the platform */
	FUZZ_DIRECTORY, /* the nodes' addresses in the platform's store */
	FUZZ_PACKED,	/* a message that a peer compressed */
	FUZZ_LOG,	/* a line of a log */
	FUZZ_TARGETS,
};

/** fuzz_target_name() - also the name of the folder of its seeds. */
const char *fuzz_target_name(enum fuzz_target target);

/** fuzz_run() - run a target on one input. */
void fuzz_run(enum fuzz_target target, const uint8_t *data, size_t size);

#endif
