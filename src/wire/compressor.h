#ifndef WIRE_COMPRESSOR_H
#define WIRE_COMPRESSOR_H

#include <stddef.h>

#include "base/buffer.h"
#include "base/error.h"

/**
 * DOC: compressor
 *
 * Compresses small messages of one connection with the earlier messages of the
 * same direction as context. Requests of a caller repeat their names and
 * headers, while a single request alone would hardly shrink. The format is
 * DEFLATE (RFC 1951): each message ends with an empty stored block, whose last
 * four bytes 00 00 ff ff are not sent.
 */

/**
 * struct compressor - both directions of one connection; zeroed before use
 * @deflate_stream: zlib state for messages to the peer; NULL before the first
 * @inflate_stream: zlib state for messages from the peer; NULL before the first
 *
 * Each direction allocates its memory with its first message: 13 kB to
 * compress, 11 kB to decompress.
 */
struct compressor {
	struct z_stream_s *deflate_stream;
	struct z_stream_s *inflate_stream;
};

void compressor_finish(struct compressor *compressor);

/** compressor_compress() - compress the next message, append to @compressed. */
void compressor_compress(struct compressor *compressor, const void *bytes,
			 size_t size, struct buffer *compressed);

/**
 * compressor_decompress() - decompress the next message of the peer
 * @compressed: what compressor_compress() of the peer produced
 * @size: size of @compressed in bytes
 * @bytes_max: largest accepted size of the message in bytes; a few compressed
 *	bytes can expand to gigabytes
 * @bytes: the message is appended here
 * @err: ERROR_PROTOCOL if false is returned; the direction is unusable then
 */
bool compressor_decompress(struct compressor *compressor,
			   const void *compressed, size_t size,
			   size_t bytes_max, struct buffer *bytes,
			   struct error *err);

#endif
