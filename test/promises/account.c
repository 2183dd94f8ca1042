#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "promises/promises.h"

/*
 * Each line of an account is an entry: event, time in microseconds, status,
 * incarnation and id. An empty id is written as "-".
 */

enum { FIRST_ENTRIES = 4096, FIELDS = 5, NAME_SIZE = 16, LINE_SIZE = 512 };

static const char *const names[PROMISE_EVENTS] = {
	[PROMISE_ARRIVED] = "arrived", [PROMISE_REJECTED] = "rejected",
	[PROMISE_BEGAN] = "began",     [PROMISE_REPLIED] = "replied",
	[PROMISE_BROKE] = "broke",     [PROMISE_LEFT] = "left",
};

const char *promise_event_name(enum promise_event event)
{
	return names[event];
}

void promise_write(FILE *file, const struct promise_entry *entry)
{
	fprintf(file, "%s %" PRId64 " %u %s %s\n", names[entry->event],
		entry->at_us, entry->status, entry->instance,
		entry->id[0] ? entry->id : "-");
}

void promise_add(struct promise_account *account,
		 const struct promise_entry *entry)
{
	if (account->count == account->capacity) {
		account->capacity = account->capacity ? account->capacity * 2
						      : FIRST_ENTRIES;
		account->entries =
			realloc(account->entries,
				account->capacity * sizeof(*account->entries));
		if (!account->entries)
			abort();
	}
	account->entries[account->count++] = *entry;
}

static bool parse(const char *line, struct promise_entry *entry)
{
	char name[NAME_SIZE];
	int i;

	memset(entry, 0, sizeof(*entry));
	if (!strchr(line, '\n') ||
	    sscanf(line, "%15s %" SCNd64 " %u %95s %95s", name, &entry->at_us,
		   &entry->status, entry->instance, entry->id) != FIELDS)
		return false;
	for (i = 0; i < PROMISE_EVENTS; i++)
		if (!strcmp(name, names[i])) {
			entry->event = (enum promise_event)i;
			return true;
		}
	return false;
}

bool promise_read(struct promise_account *account, const char *path)
{
	FILE *file = fopen(path, "re");
	struct promise_entry entry;
	char line[LINE_SIZE];
	bool ok = true;

	if (!file)
		return false;
	while (ok && fgets(line, sizeof(line), file)) {
		ok = parse(line, &entry);
		if (ok)
			promise_add(account, &entry);
	}
	ok &= !ferror(file);
	fclose(file);
	return ok;
}

static int compare_entries(const void *a, const void *b)
{
	const struct promise_entry *x = a;
	const struct promise_entry *y = b;
	int order = strcmp(x->id, y->id);

	if (order)
		return order;
	if (x->at_us != y->at_us)
		return x->at_us < y->at_us ? -1 : 1;
	return (x->event > y->event) - (x->event < y->event);
}

void promise_sort(struct promise_account *account)
{
	if (account->count)
		qsort(account->entries, account->count,
		      sizeof(*account->entries), compare_entries);
}

const struct promise_entry *promise_find(const struct promise_account *account,
					 const char *id, size_t *count)
{
	size_t low = 0;
	size_t high = account->count;
	size_t end;

	while (low < high) {
		size_t middle = low + (high - low) / 2;

		if (strcmp(account->entries[middle].id, id) < 0)
			low = middle + 1;
		else
			high = middle;
	}
	for (end = low; end < account->count; end++)
		if (strcmp(account->entries[end].id, id) != 0)
			break;
	*count = end - low;
	return *count ? &account->entries[low] : NULL;
}

void promise_finish(struct promise_account *account)
{
	free(account->entries);
	memset(account, 0, sizeof(*account));
}
