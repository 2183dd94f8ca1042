#ifndef BASE_ADDRESS_H
#define BASE_ADDRESS_H

#include <stdbool.h>
#include <stdint.h>

#include "base/error.h"

/**
 * DOC: address
 *
 * An IP address with a port. Instances connect to each other by IP address;
 * host names are not resolved.
 */

enum { ADDRESS_TEXT_SIZE = 56 };

/**
 * struct address - IP address and port
 * @ip: IP address in network byte order; IPv4 uses the first four bytes, the
 *	others are zero
 * @port: port in host byte order
 * @family: 4 or 6; 0 means that no address is set
 */
struct address {
	uint8_t ip[16];
	uint16_t port;
	uint8_t family;
};

/**
 * address_parse() - parse a text like "127.0.0.1:80" or "[::1]:80"
 * @err: set to ERROR_INVALID on failure
 *
 * Return: false on failure; @address is then unchanged.
 */
bool address_parse(const char *text, struct address *address,
		   struct error *err);

/**
 * address_format() - write the text that address_parse() reads
 *
 * Return: @text
 */
char *address_format(const struct address *address,
		     char text[ADDRESS_TEXT_SIZE]);

/**
 * address_format_ip() - write the IP address without the port
 *
 * Return: @text; the empty string if the address cannot be formatted
 */
char *address_format_ip(const struct address *address,
			char text[ADDRESS_TEXT_SIZE]);

bool address_equal(const struct address *a, const struct address *b);

#endif
