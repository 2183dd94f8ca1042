#ifndef BASE_BASE64_H
#define BASE_BASE64_H

#include <stddef.h>
#include <stdint.h>

/**
 * DOC: base64
 *
 * Decodes standard base64 with padding. The decoders of the libraries that this
 * program uses take several times as long: one in constant time, for secrets,
 * and one that passes over the text repeatedly.
 */

/**
 * base64_decode() - decodes a text
 * @length: length of @text
 * @size: set to the number of bytes
 *
 * Return: NULL if the text is invalid; to be freed by free().
 */
uint8_t *base64_decode(const char *text, size_t length, size_t *size);

#endif
