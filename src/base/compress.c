#include "base/compress.h"

#include <stdlib.h>
#include <zlib.h>

/* Higher levels are slower and compress these texts only slightly more. */
enum { COMPRESSION_LEVEL = 3 };

uint8_t *compress_bytes(const void *bytes, size_t size, size_t *compressed_size)
{
	uLongf bound = compressBound(size);
	uint8_t *compressed = malloc(bound);

	if (!compressed || compress2(compressed, &bound, bytes, size,
				     COMPRESSION_LEVEL) != Z_OK)
		abort();
	*compressed_size = bound;
	return compressed;
}

uint8_t *decompress_bytes(const void *compressed, size_t compressed_size,
			  size_t size, struct error *err)
{
	uLongf restored = size;
	uint8_t *bytes = malloc(size + 1);

	if (!bytes)
		abort();
	if (uncompress(bytes, &restored, compressed, compressed_size) == Z_OK &&
	    restored == size)
		return bytes;
	error_set(err, ERROR_PROTOCOL,
		  "compressed data does not decompress to %zu bytes", size);
	free(bytes);
	return NULL;
}
