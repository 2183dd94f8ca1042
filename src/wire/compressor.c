#include "wire/compressor.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <zlib.h>

enum {
	/* The fastest level: higher ones gain little on short messages. */
	COMPRESSION_LEVEL = 1,
	/* Negative: raw DEFLATE without the zlib header and checksum, since TCP
	 * has a checksum. A node has a connection to each node of the other
	 * data centres, so the memory of each counts. */
	DEFLATE_WINDOW_BITS = -10,
	/* Nodes of earlier versions compress with a window of 4 KiB. */
	INFLATE_WINDOW_BITS = -12,
	MEMORY_LEVEL = 2,
	CHUNK_BYTES = 1024,
	FLUSH_MARKER_BYTES = 4,
};

static const uint8_t flush_marker[FLUSH_MARKER_BYTES] = { 0x00, 0x00, 0xff,
							  0xff };

static z_stream *stream_new(void)
{
	z_stream *stream = calloc(1, sizeof(*stream));

	if (!stream)
		abort();
	return stream;
}

void compressor_finish(struct compressor *compressor)
{
	if (compressor->deflate_stream)
		deflateEnd(compressor->deflate_stream);
	if (compressor->inflate_stream)
		inflateEnd(compressor->inflate_stream);
	free(compressor->deflate_stream);
	free(compressor->inflate_stream);
	memset(compressor, 0, sizeof(*compressor));
}

static z_stream *get_deflate_stream(struct compressor *compressor)
{
	if (compressor->deflate_stream)
		return compressor->deflate_stream;
	compressor->deflate_stream = stream_new();
	if (deflateInit2(compressor->deflate_stream, COMPRESSION_LEVEL,
			 Z_DEFLATED, DEFLATE_WINDOW_BITS, MEMORY_LEVEL,
			 Z_DEFAULT_STRATEGY) != Z_OK)
		abort();
	return compressor->deflate_stream;
}

void compressor_compress(struct compressor *compressor, const void *bytes,
			 size_t size, struct buffer *compressed)
{
	z_stream *stream = get_deflate_stream(compressor);

	stream->next_in = (Bytef *)bytes;
	stream->avail_in = (uInt)size;
	do {
		stream->next_out = buffer_reserve(compressed, CHUNK_BYTES);
		stream->avail_out = CHUNK_BYTES;
		deflate(stream, Z_SYNC_FLUSH);
		buffer_commit(compressed, CHUNK_BYTES - stream->avail_out);
	} while (!stream->avail_out);
	assert(!stream->avail_in);
	assert(buffer_size(compressed) >= FLUSH_MARKER_BYTES);
	buffer_remove_last(compressed, FLUSH_MARKER_BYTES);
}

static z_stream *get_inflate_stream(struct compressor *compressor)
{
	if (compressor->inflate_stream)
		return compressor->inflate_stream;
	compressor->inflate_stream = stream_new();
	if (inflateInit2(compressor->inflate_stream, INFLATE_WINDOW_BITS) !=
	    Z_OK)
		abort();
	return compressor->inflate_stream;
}

/* Decompresses @in and appends the result to @bytes. Returns true if all of @in
 * was consumed and produced at most @bytes_max bytes. */
static bool inflate_bytes(z_stream *stream, const uint8_t *in, size_t size,
			  size_t bytes_max, struct buffer *bytes)
{
	size_t size_before = buffer_size(bytes);
	int result;

	stream->next_in = (Bytef *)in;
	stream->avail_in = (uInt)size;
	do {
		stream->next_out = buffer_reserve(bytes, CHUNK_BYTES);
		stream->avail_out = CHUNK_BYTES;
		result = inflate(stream, Z_SYNC_FLUSH);
		buffer_commit(bytes, CHUNK_BYTES - stream->avail_out);
		if (result != Z_OK && result != Z_BUF_ERROR)
			return false;
	} while (!stream->avail_out &&
		 buffer_size(bytes) - size_before <= bytes_max);
	return !stream->avail_in &&
	       buffer_size(bytes) - size_before <= bytes_max;
}

bool compressor_decompress(struct compressor *compressor,
			   const void *compressed, size_t size,
			   size_t bytes_max, struct buffer *bytes,
			   struct error *err)
{
	z_stream *stream = get_inflate_stream(compressor);
	size_t size_before = buffer_size(bytes);

	if (inflate_bytes(stream, compressed, size, bytes_max, bytes) &&
	    inflate_bytes(stream, flush_marker, FLUSH_MARKER_BYTES,
			  bytes_max - (buffer_size(bytes) - size_before),
			  bytes))
		return true;
	error_set(err, ERROR_PROTOCOL,
		  "compressed bytes are malformed or expand too far");
	return false;
}
