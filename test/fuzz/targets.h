#ifndef FUZZ_TARGETS_H
#define FUZZ_TARGETS_H

#include <stddef.h>
#include <stdint.h>

/**
 * DOC: fuzz targets
 *
 * Parsers and decoders of untrusted input, each callable with arbitrary bytes.
 * A target aborts if an invariant is violated; the sanitizers report memory
 * errors and undefined behaviour. libFuzzer calls the targets through fuzzer.c.
 * The tests replay the seeds and deterministic mutations of the seeds, which
 * needs no libFuzzer.
 */

enum fuzz_target {
	FUZZ_FRAME,	/* a message between nodes */
	FUZZ_HUB,	/* bytes on a connection between nodes */
	FUZZ_HEAD,	/* the head of a version */
	FUZZ_SETTINGS,	/* a settings file */
	FUZZ_PROFILE,	/* a profile */
	FUZZ_PATH,	/* a path of the operator interface */
	FUZZ_ANNOUNCE,	/* the announcement of an upstream */
	FUZZ_CALLER,	/* bytes that a caller sends */
	FUZZ_HEARTBEAT, /* a line with a path, then a body */
	FUZZ_DOCUMENT,	/* a configuration document of the platform */
	FUZZ_DIRECTORY, /* the nodes' addresses in the platform's store */
	FUZZ_PACKED,	/* a message that a peer compressed */
	FUZZ_LOG,	/* a line of a log */
	FUZZ_KEY,	/* a header field with the key of a tenant */
	FUZZ_ANSWER,	/* bytes that a server sends as an answer */
	FUZZ_TARGETS,
};

/**
 * fuzz_target_name() - returns the name of a target
 *
 * The seeds of the target are in the folder of this name in test/fuzz/seeds.
 */
const char *fuzz_target_name(enum fuzz_target target);

/** fuzz_run() - runs a target on one input; aborts if an invariant fails. */
void fuzz_run(enum fuzz_target target, const uint8_t *data, size_t size);

#endif
