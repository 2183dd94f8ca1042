#include "wire/filter.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { BITS_PER_BYTE = 8, IPV4_BITS = 32, IPV6_BITS = 128 };

static bool parse_network(const char *text, struct filter_network *network,
			  struct error *err)
{
	const char *slash = strchr(text, '/');
	int length = slash ? (int)(slash - text) : (int)strlen(text);
	char with_port[ADDRESS_TEXT_SIZE];
	uint32_t bits_max;
	char *end;

	snprintf(with_port, sizeof(with_port), "%.*s:0", length, text);
	if (!address_parse(with_port, &network->address, err))
		return false;
	bits_max = network->address.family == 6 ? IPV6_BITS : IPV4_BITS;
	network->bits = bits_max;
	if (!slash)
		return true;
	network->bits = (uint32_t)strtoul(slash + 1, &end, 10);
	if (slash[1] && !*end && network->bits <= bits_max)
		return true;
	error_set(err, ERROR_INVALID, "\"%.60s\" is not a valid network", text);
	return false;
}

bool wire_filter_add(struct wire_filter *filter, const char *text,
		     struct error *err)
{
	if (filter->count == FILTER_NETWORKS_MAX) {
		error_set(err, ERROR_LIMIT, "more than %d networks",
			  FILTER_NETWORKS_MAX);
		return false;
	}
	if (!parse_network(text, &filter->networks[filter->count], err))
		return false;
	filter->count++;
	return true;
}

static bool network_contains(const struct filter_network *network,
			     const struct address *address)
{
	uint32_t whole_bytes = network->bits / BITS_PER_BYTE;
	uint32_t remaining_bits = network->bits % BITS_PER_BYTE;
	uint8_t mask = (uint8_t)(0xff00 >> remaining_bits);

	if (network->address.family != address->family ||
	    memcmp(network->address.ip, address->ip, whole_bytes))
		return false;
	return !remaining_bits ||
	       ((network->address.ip[whole_bytes] ^ address->ip[whole_bytes]) &
		mask) == 0;
}

bool wire_filter_blocks(const struct wire_filter *filter,
			const struct address *address)
{
	uint32_t i;

	for (i = 0; i < filter->count; i++)
		if (network_contains(&filter->networks[i], address))
			return true;
	return false;
}
