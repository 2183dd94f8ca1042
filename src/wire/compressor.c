#include "wire/compressor.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <zlib.h>

enum {
	/* The quickest; on such short messages the others gain little. */
	LEVEL = 1,
	/* Minus: without zlib's head and checksum, TCP has its own. The window
	 * holds the last one or two answers with their headers. */
	WINDOW_BITS = -12,
	MEMORY_LEVEL = 5,
	CHUNK_BYTES = 1024,
	TAIL_BYTES = 4,
};

static const uint8_t tail[TAIL_BYTES] = { 0x00, 0x00, 0xff, 0xff };

static z_stream *stream_new(void)
{
	z_stream *stream = calloc(1, sizeof(*stream));

	if (!stream)
		abort();
	return stream;
}

void compressor_finish(struct compressor *compressor)
{
	if (compressor->packing)
		deflateEnd(compressor->packing);
	if (compressor->unpacking)
		inflateEnd(compressor->unpacking);
	free(compressor->packing);
	free(compressor->unpacking);
	memset(compressor, 0, sizeof(*compressor));
}

static z_stream *packing_stream(struct compressor *compressor)
{
	if (compressor->packing)
		return compressor->packing;
	compressor->packing = stream_new();
	if (deflateInit2(compressor->packing, LEVEL, Z_DEFLATED, WINDOW_BITS,
			 MEMORY_LEVEL, Z_DEFAULT_STRATEGY) != Z_OK)
		abort();
	return compressor->packing;
}

void compressor_pack(struct compressor *compressor, const void *bytes,
		     size_t size, struct buffer *packed)
{
	z_stream *stream = packing_stream(compressor);

	stream->next_in = (Bytef *)bytes;
	stream->avail_in = (uInt)size;
	do {
		stream->next_out = buffer_reserve(packed, CHUNK_BYTES);
		stream->avail_out = CHUNK_BYTES;
		deflate(stream, Z_SYNC_FLUSH);
		buffer_commit(packed, CHUNK_BYTES - stream->avail_out);
	} while (!stream->avail_out);
	assert(!stream->avail_in);
	assert(buffer_size(packed) >= TAIL_BYTES);
	buffer_remove_last(packed, TAIL_BYTES);
}

static z_stream *unpacking_stream(struct compressor *compressor)
{
	if (compressor->unpacking)
		return compressor->unpacking;
	compressor->unpacking = stream_new();
	if (inflateInit2(compressor->unpacking, WINDOW_BITS) != Z_OK)
		abort();
	return compressor->unpacking;
}

/* Return: whether all of @in was taken and at most @most bytes came out. */
static bool inflate_all(z_stream *stream, const uint8_t *in, size_t size,
			size_t most, struct buffer *bytes)
{
	size_t before = buffer_size(bytes);
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
	} while (!stream->avail_out && buffer_size(bytes) - before <= most);
	return !stream->avail_in && buffer_size(bytes) - before <= most;
}

bool compressor_unpack(struct compressor *compressor, const void *packed,
		       size_t size, size_t most, struct buffer *bytes,
		       struct error *err)
{
	z_stream *stream = unpacking_stream(compressor);
	size_t before = buffer_size(bytes);

	if (inflate_all(stream, packed, size, most, bytes) &&
	    inflate_all(stream, tail, TAIL_BYTES,
			most - (buffer_size(bytes) - before), bytes))
		return true;
	error_set(err, ERROR_PROTOCOL, "packed bytes are not well-formed");
	return false;
}
