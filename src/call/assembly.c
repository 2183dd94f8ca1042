#include <string.h>

#include "call/outbound_call.h"

static enum assembly_result append_part(struct assembly *assembly,
					const struct call_bytes *part)
{
	buffer_append(&assembly->body, part->data, part->size);
	return buffer_size(&assembly->body) == assembly->body_size
		       ? ASSEMBLY_COMPLETE
		       : ASSEMBLY_INCOMPLETE;
}

enum assembly_result assembly_head(struct assembly *assembly,
				   const struct call_answer *answer)
{
	if (assembly->begun)
		return ASSEMBLY_IGNORED;
	assembly->begun = true;
	assembly->status = answer->status;
	assembly->service_us = answer->service_us;
	assembly->error_rate = answer->error_rate;
	assembly->body_size = answer->body_size;
	assembly->load = answer->load;
	assembly->usable_share = answer->usable_share;
	assembly->leaving_start = answer->leaving_start;
	assembly->speed = answer->speed;
	buffer_append(&assembly->headers, answer->headers.data,
		      answer->headers.size);
	return append_part(assembly, &answer->part);
}

enum assembly_result assembly_part(struct assembly *assembly,
				   const struct call_part *part)
{
	if (!assembly->begun || part->offset != buffer_size(&assembly->body) ||
	    part->part.size > assembly->body_size - part->offset)
		return ASSEMBLY_IGNORED;
	return append_part(assembly, &part->part);
}

void assembly_finish(struct assembly *assembly)
{
	buffer_finish(&assembly->headers);
	buffer_finish(&assembly->body);
	memset(assembly, 0, sizeof(*assembly));
}
