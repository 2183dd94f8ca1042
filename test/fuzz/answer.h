#ifndef FUZZ_ANSWER_H
#define FUZZ_ANSWER_H

#include <stddef.h>
#include <stdint.h>

/**
 * DOC: fuzz answer
 *
 * Bytes that a server sends in place of an answer, in pieces. An answer that
 * the HTTP client accepts must reach a caller with the same status, fields and
 * body: through the frame between two nodes and through the HTTP server.
 */

/** fuzz_answer() - runs the target; the first byte is the size of the pieces. */
void fuzz_answer(const uint8_t *data, size_t size);

#endif
