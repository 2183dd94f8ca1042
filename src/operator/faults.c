#include "operator/faults.h"

#include <stdlib.h>

#include "operator/reply.h"

uint32_t faults_recorded(const struct faults *faults)
{
	return faults->count < FAULTS_MAX ? faults->count : FAULTS_MAX;
}

void faults_sort(struct faults *faults)
{
	uint32_t count = faults_recorded(faults);
	uint32_t i;

	for (i = 1; i < count; i++) {
		struct fault fault = faults->items[i];
		uint32_t at = i;

		while (at && faults->items[at - 1].line > fault.line) {
			faults->items[at] = faults->items[at - 1];
			at--;
		}
		faults->items[at] = fault;
	}
}

json_t *faults_to_json(const struct faults *faults)
{
	struct faults *sorted = malloc(sizeof(*sorted));
	json_t *list = json_array();
	uint32_t i;

	if (!sorted)
		abort();
	*sorted = *faults;
	faults_sort(sorted);
	for (i = 0; i < faults_recorded(sorted); i++)
		json_array_append_new(
			list,
			json_pack("{s:I,s:o}", "line",
				  (json_int_t)sorted->items[i].line, "text",
				  reply_string(sorted->items[i].text)));
	free(sorted);
	return list;
}
