#ifndef BASE_ADDRESS_H
#define BASE_ADDRESS_H

#include <stdbool.h>
#include <stdint.h>

#include "base/error.h"

/**
 * DOC: address
 *
 * An IP number and a port. Instances talk by numbers; names are not resolved.
 */

enum { ADDRESS_TEXT_SIZE = 56 };

/**
 * struct address - where a process listens
 * @family: 4 or 6; 0 means no address
 * @ip: network order; IPv4 uses the first four bytes, the rest is zero
 * @port: host order
 */
struct address {
	uint8_t ip[16];
	uint16_t port;
	uint8_t family;
};

/**
 * address_parse() - read "127.0.0.1:80" or "[::1]:80"
 * @err: ERROR_INVALID
 *
 * Return: false on failure; @address is then unchanged.
 */
bool address_parse(const char *text, struct address *address,
		   struct error *err);

/** address_format() - the text that address_parse() reads; returns @text. */
char *address_format(const struct address *address,
		     char text[ADDRESS_TEXT_SIZE]);

/** address_format_ip() - the IP number alone; returns @text. */
char *address_format_ip(const struct address *address,
			char text[ADDRESS_TEXT_SIZE]);

bool address_equal(const struct address *a, const struct address *b);

#endif
