#include "base/pack.h"

#include <stdlib.h>
#include <zlib.h>

/* Slower levels gain a few parts in a hundred on such texts. */
enum { LEVEL = 3 };

uint8_t *compress_bytes(const void *bytes, size_t size, size_t *packed_size)
{
	uLongf bound = compressBound(size);
	uint8_t *packed = malloc(bound);

	if (!packed || compress2(packed, &bound, bytes, size, LEVEL) != Z_OK)
		abort();
	*packed_size = bound;
	return packed;
}

uint8_t *decompress_bytes(const void *packed, size_t packed_size, size_t size,
			  struct error *err)
{
	uLongf restored = size;
	uint8_t *bytes = malloc(size + 1);

	if (!bytes)
		abort();
	if (uncompress(bytes, &restored, packed, packed_size) == Z_OK &&
	    restored == size)
		return bytes;
	error_set(err, ERROR_PROTOCOL, "packed bytes are not %zu bytes", size);
	free(bytes);
	return NULL;
}
