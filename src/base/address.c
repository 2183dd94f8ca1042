#include "base/address.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { PORT_MAX = 65535 };

/* Copies the IP address to @ip without its brackets. Returns false if @text has
 * no port or if the IP address is empty or too long. */
static bool split_ip_and_port(const char *text, char *ip, size_t size,
			      const char **port)
{
	const char *colon = strrchr(text, ':');
	size_t length;

	if (!colon)
		return false;
	*port = colon + 1;
	length = (size_t)(colon - text);
	if (length >= 2 && text[0] == '[' && text[length - 1] == ']') {
		text++;
		length -= 2;
	}
	if (!length || length >= size)
		return false;
	memcpy(ip, text, length);
	ip[length] = '\0';
	return true;
}

bool address_parse(const char *text, struct address *address, struct error *err)
{
	struct address parsed = { 0 };
	char ip[ADDRESS_TEXT_SIZE];
	const char *port;
	char *end;
	long number;

	if (!split_ip_and_port(text, ip, sizeof(ip), &port))
		goto invalid;
	if (inet_pton(AF_INET, ip, parsed.ip) == 1)
		parsed.family = 4;
	else if (inet_pton(AF_INET6, ip, parsed.ip) == 1)
		parsed.family = 6;
	else
		goto invalid;
	number = strtol(port, &end, 10);
	if (!*port || *end || number < 0 || number > PORT_MAX)
		goto invalid;
	parsed.port = (uint16_t)number;
	*address = parsed;
	return true;
invalid:
	error_set(err, ERROR_INVALID,
		  "\"%.60s\" is not an IP address with a port, "
		  "such as 10.0.0.1:7000",
		  text);
	return false;
}

char *address_format_ip(const struct address *address,
			char text[ADDRESS_TEXT_SIZE])
{
	int family = address->family == 6 ? AF_INET6 : AF_INET;

	if (!inet_ntop(family, address->ip, text, ADDRESS_TEXT_SIZE))
		text[0] = '\0';
	return text;
}

char *address_format(const struct address *address,
		     char text[ADDRESS_TEXT_SIZE])
{
	char ip[ADDRESS_TEXT_SIZE];

	if (address->family == 6)
		snprintf(text, ADDRESS_TEXT_SIZE, "[%.45s]:%u",
			 address_format_ip(address, ip), address->port);
	else
		snprintf(text, ADDRESS_TEXT_SIZE, "%.45s:%u",
			 address_format_ip(address, ip), address->port);
	return text;
}

bool address_equal(const struct address *a, const struct address *b)
{
	return a->family == b->family && a->port == b->port &&
	       !memcmp(a->ip, b->ip, sizeof(a->ip));
}
