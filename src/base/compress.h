#ifndef BASE_COMPRESS_H
#define BASE_COMPRESS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error.h"

/**
 * DOC: compress
 *
 * Compression of texts for the network with zlib. The process aborts if an
 * allocation fails.
 */

/**
 * compress_bytes() - compress @size bytes
 * @compressed_size: set to the size of the result in bytes
 *
 * Return: the compressed bytes, to be freed by the caller.
 */
uint8_t *compress_bytes(const void *bytes, size_t size,
			size_t *compressed_size);

/**
 * decompress_bytes() - restore the bytes that compress_bytes() compressed
 * @size: expected size of the result in bytes; the caller checks that it is not
 *	too large, since this many bytes are allocated
 * @err: set to ERROR_PROTOCOL if the data is malformed or has another size
 *
 * Return: @size bytes, to be freed by the caller; NULL on failure.
 */
uint8_t *decompress_bytes(const void *compressed, size_t compressed_size,
			  size_t size, struct error *err);

#endif
