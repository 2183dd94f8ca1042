#ifndef WIRE_COMPRESSOR_H
#define WIRE_COMPRESSOR_H

#include <stddef.h>

#include "base/buffer.h"
#include "base/error.h"

/**
 * DOC: compressor
 *
 * Small messages of one connection made smaller, each by what came before it
 * in the same direction. Requests of a caller repeat their names and headers,
 * so that 300 bytes become 60 to 120 where each alone would hardly shrink. The
 * bytes are those of RFC 1951, each message ended by an empty stored block
 * whose four bytes 00 00 ff ff are left out.
 */

/**
 * struct compressor - both directions of one connection; zeroed before use
 *
 * Each direction takes its memory with its first message: 33 kB to pack, 11 kB
 * to unpack.
 */
struct compressor {
	struct z_stream_s *deflate_stream;
	struct z_stream_s *inflate_stream;
};

void compressor_finish(struct compressor *compressor);

/** compressor_compress() - append the next message to @compressed. */
void compressor_compress(struct compressor *compressor, const void *bytes,
			 size_t size, struct buffer *compressed);

/**
 * compressor_decompress() - append the next message that the peer packed to
 * @bytes
 * @most: bytes that it may have; a few packed ones could claim gigabytes
 * @err: ERROR_PROTOCOL; the direction cannot be used any more
 */
bool compressor_decompress(struct compressor *compressor,
			   const void *compressed, size_t size, size_t most,
			   struct buffer *bytes, struct error *err);

#endif
