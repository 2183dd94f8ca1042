#include "http/answer_owner.h"

#include <string.h>

bool answer_names_request(const struct http_transfer *transfer)
{
	return transfer->echo_header &&
	       http_head_find(&transfer->head, transfer->echo_header);
}

enum answer_owner answer_owner_of(const struct http_transfer *transfer)
{
	const char *echoed;

	/* Such a request has a connection of its own. */
	if (!transfer->echo_header)
		return ANSWER_OF_THIS;
	echoed = http_head_find(&transfer->head, transfer->echo_header);
	if (echoed)
		return strcmp(echoed, transfer->echo_value) ? ANSWER_OF_EARLIER
							    : ANSWER_OF_THIS;
	return transfer->reused ? ANSWER_OF_UNKNOWN : ANSWER_OF_THIS;
}
