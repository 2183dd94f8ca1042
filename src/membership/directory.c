#include "membership/directory.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const char nodes_prefix[] = "nodes ";

/* Returns false for a line that does not hold a number of nodes. */
static bool parse_nodes(const char *line, uint32_t *nodes)
{
	const char *digits = line + strlen(nodes_prefix);
	unsigned long value;
	char *end;

	if (strncmp(line, nodes_prefix, strlen(nodes_prefix)) != 0)
		return false;
	value = strtoul(digits, &end, 10);
	if (*digits < '0' || *digits > '9' || *end ||
	    value > DIRECTORY_NODES_MAX)
		return false;
	*nodes = (uint32_t)value;
	return true;
}

static bool parse_line(const char *line, struct directory_entry *entry)
{
	const char *space = strchr(line, ' ');
	size_t length = space ? (size_t)(space - line) : 0;

	if (!length || length >= NAME_SIZE)
		return false;
	memset(entry, 0, sizeof(*entry));
	memcpy(entry->data_centre, line, length);
	return address_parse(space + 1, &entry->address, NULL) &&
	       entry->address.port;
}

void directory_parse(struct directory *directory, const char *text, size_t size)
{
	const char *end = text + size;

	directory->count = 0;
	directory->nodes = 0;
	while (text < end && directory->count < DIRECTORY_ENTRIES_MAX) {
		const char *newline = memchr(text, '\n', (size_t)(end - text));
		size_t length = (size_t)((newline ? newline : end) - text);
		char line[NAME_SIZE + ADDRESS_TEXT_SIZE];

		snprintf(line, sizeof(line), "%.*s",
			 length < sizeof(line) ? (int)length : 0, text);
		if (!parse_nodes(line, &directory->nodes))
			directory->count += parse_line(
				line, &directory->entries[directory->count]);
		text += length + 1;
	}
}

size_t directory_format(const struct directory *directory,
			char text[DIRECTORY_TEXT_SIZE])
{
	char address[ADDRESS_TEXT_SIZE];
	size_t used = 0;
	uint32_t i;

	text[0] = '\0';
	if (directory->nodes)
		used = (size_t)snprintf(text, DIRECTORY_TEXT_SIZE, "%s%u\n",
					nodes_prefix, directory->nodes);
	for (i = 0; i < directory->count; i++) {
		const struct directory_entry *entry = &directory->entries[i];
		int size = snprintf(text + used, DIRECTORY_TEXT_SIZE - used,
				    "%s %s\n", entry->data_centre,
				    address_format(&entry->address, address));

		if (used + (size_t)size >= DIRECTORY_TEXT_SIZE)
			break;
		used += (size_t)size;
	}
	return used;
}

static bool is_in_centre(const struct directory_entry *entry,
			 const char *data_centre)
{
	return !strcmp(entry->data_centre, data_centre);
}

uint32_t directory_count(const struct directory *directory,
			 const char *data_centre)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < directory->count; i++)
		count += is_in_centre(&directory->entries[i], data_centre);
	return count;
}

static uint32_t find(const struct directory *directory, const char *data_centre,
		     const struct address *address)
{
	uint32_t i;

	for (i = 0; i < directory->count; i++)
		if (is_in_centre(&directory->entries[i], data_centre) &&
		    address_equal(&directory->entries[i].address, address))
			break;
	return i;
}

bool directory_has(const struct directory *directory, const char *data_centre,
		   const struct address *address)
{
	return find(directory, data_centre, address) < directory->count;
}

static void remove_at(struct directory *directory, uint32_t index)
{
	directory->count--;
	memmove(&directory->entries[index], &directory->entries[index + 1],
		(directory->count - index) * sizeof(directory->entries[0]));
}

void directory_remove(struct directory *directory, const char *data_centre,
		      const struct address *address)
{
	uint32_t index = find(directory, data_centre, address);

	if (index < directory->count)
		remove_at(directory, index);
}

static void remove_last(struct directory *directory, const char *data_centre)
{
	uint32_t i;

	for (i = directory->count; i-- > 0;)
		if (is_in_centre(&directory->entries[i], data_centre)) {
			remove_at(directory, i);
			return;
		}
}

bool directory_add(struct directory *directory, const char *data_centre,
		   const struct address *address)
{
	struct directory_entry *first = &directory->entries[0];

	if (directory_has(directory, data_centre, address))
		return false;
	if (directory_count(directory, data_centre) >= DIRECTORY_PER_CENTRE)
		remove_last(directory, data_centre);
	/* Each node adds itself as the first entry, so the last one is the
	 * oldest, or a line of another writer. */
	if (directory->count == DIRECTORY_ENTRIES_MAX)
		directory->count--;
	memmove(first + 1, first, directory->count * sizeof(*first));
	directory->count++;
	memset(first, 0, sizeof(*first));
	snprintf(first->data_centre, NAME_SIZE, "%s", data_centre);
	first->address = *address;
	return true;
}

static bool is_better(const struct directory_picks *picks, uint32_t index,
		      uint8_t fitness, bool listed)
{
	if (fitness != picks->best[index].fitness)
		return fitness > picks->best[index].fitness;
	return listed && !picks->best[index].listed;
}

void directory_consider(const struct directory *directory,
			const char *data_centre, const struct address *address,
			uint8_t fitness, struct directory_picks *picks)
{
	bool listed = directory_has(directory, data_centre, address);
	uint32_t index = 0;

	while (index < picks->count &&
	       !is_better(picks, index, fitness, listed))
		index++;
	if (index == DIRECTORY_PER_CENTRE)
		return;
	if (picks->count < DIRECTORY_PER_CENTRE)
		picks->count++;
	memmove(&picks->best[index + 1], &picks->best[index],
		(picks->count - index - 1) * sizeof(picks->best[0]));
	picks->best[index].address = *address;
	picks->best[index].fitness = fitness;
	picks->best[index].listed = listed;
}

bool directory_replace(struct directory *directory, const char *data_centre,
		       const struct directory_picks *picks)
{
	uint32_t count_before = directory_count(directory, data_centre);
	uint32_t kept = 0;
	uint32_t i;

	for (i = 0; i < picks->count; i++)
		kept += picks->best[i].listed;
	if (kept == count_before && kept == picks->count)
		return false;
	while (directory_count(directory, data_centre))
		remove_last(directory, data_centre);
	for (i = picks->count; i-- > 0;)
		directory_add(directory, data_centre, &picks->best[i].address);
	return true;
}
