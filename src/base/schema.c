#include "base/schema.h"

#include <assert.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
	NAME_MAX_LENGTH = 48,
	NEAREST_MAX_DISTANCE = 3,
};

static const char *const type_names[] = {
	[SCHEMA_STRING] = "a string", [SCHEMA_INTEGER] = "an integer",
	[SCHEMA_REAL] = "a number",   [SCHEMA_BOOLEAN] = "true or false",
	[SCHEMA_TABLE] = "a table",   [SCHEMA_ARRAY] = "an array",
};

void fault_add(struct faults *faults, uint32_t line, const char *fmt, ...)
{
	struct fault *fault;
	va_list args;

	if (faults->count++ >= FAULTS_MAX)
		return;
	fault = &faults->items[faults->count - 1];
	fault->line = line;
	va_start(args, fmt);
	vsnprintf(fault->text, sizeof(fault->text), fmt, args);
	va_end(args);
}

void faults_to_error(const struct faults *faults, const char *source,
		     struct error *err)
{
	if (!faults->count)
		return;
	error_set(err, ERROR_INVALID, "%s:%u: %s (%u faults in all)", source,
		  faults->items[0].line, faults->items[0].text, faults->count);
}

static size_t min_of_three(size_t a, size_t b, size_t c)
{
	size_t min = a < b ? a : b;

	return min < c ? min : c;
}

/* Returns the Levenshtein distance of two names, or NAME_MAX_LENGTH if one of
 * them is longer than that. */
static size_t edit_distance(const char *a, const char *b)
{
	size_t row[NAME_MAX_LENGTH + 1];
	size_t len_a = strlen(a);
	size_t len_b = strlen(b);
	size_t i;
	size_t j;

	if (len_a > NAME_MAX_LENGTH || len_b > NAME_MAX_LENGTH)
		return NAME_MAX_LENGTH;
	for (j = 0; j <= len_b; j++)
		row[j] = j;
	for (i = 1; i <= len_a; i++) {
		size_t diagonal = row[0];

		row[0] = i;
		for (j = 1; j <= len_b; j++) {
			size_t above = row[j];
			size_t substitution = a[i - 1] == b[j - 1] ? 0 : 1;

			row[j] = min_of_three(above + 1, row[j - 1] + 1,
					      diagonal + substitution);
			diagonal = above;
		}
	}
	return row[len_b];
}

const char *schema_nearest(const char *name, const struct schema_field *fields,
			   size_t count)
{
	const char *nearest = NULL;
	size_t best = NEAREST_MAX_DISTANCE + 1;
	size_t i;

	for (i = 0; i < count; i++) {
		size_t distance = edit_distance(name, fields[i].name);

		if (distance >= best)
			continue;
		best = distance;
		nearest = fields[i].name;
	}
	return nearest;
}

static void set_default(const struct schema_field *field, void *out)
{
	char *member = (char *)out + field->offset;

	if (!field->fallback)
		return;
	switch (field->type) {
	case SCHEMA_STRING:
		snprintf(member, field->size, "%s", field->fallback);
		return;
	case SCHEMA_INTEGER:
		*(int64_t *)(void *)member = strtoll(field->fallback, NULL, 10);
		return;
	case SCHEMA_REAL:
		*(double *)(void *)member = strtod(field->fallback, NULL);
		return;
	case SCHEMA_BOOLEAN:
		*(bool *)member = !strcmp(field->fallback, "true");
		return;
	case SCHEMA_TABLE:
	case SCHEMA_ARRAY:
		return;
	}
}

static bool type_matches(const struct schema_field *field,
			 const struct toml_node *node)
{
	switch (field->type) {
	case SCHEMA_STRING:
		return node->type == TOML_STRING;
	case SCHEMA_INTEGER:
		return node->type == TOML_INTEGER;
	case SCHEMA_REAL:
		return node->type == TOML_FLOAT || node->type == TOML_INTEGER;
	case SCHEMA_BOOLEAN:
		return node->type == TOML_BOOLEAN;
	case SCHEMA_TABLE:
		return node->type == TOML_TABLE;
	case SCHEMA_ARRAY:
		return node->type == TOML_ARRAY;
	}
	return false;
}

static void read_string(const struct schema_field *field,
			const struct toml_node *node, const char *name,
			char *member, struct faults *faults)
{
	size_t length = strlen(node->string);

	if (length >= field->size || (double)length < field->min) {
		fault_add(faults, node->line,
			  "%s must have %.0f to %zu bytes, has %zu", name,
			  field->min, field->size - 1, length);
		return;
	}
	memcpy(member, node->string, length + 1);
}

static bool in_range(const struct schema_field *field, double value,
		     const struct toml_node *node, const char *name,
		     struct faults *faults)
{
	if (value >= field->min && value <= field->max)
		return true;
	fault_add(faults, node->line, "%s must be %.10g to %.10g, is %.10g",
		  name, field->min, field->max, value);
	return false;
}

static void read_value(const struct schema_field *field,
		       const struct toml_node *node, const char *name,
		       void *out, struct faults *faults)
{
	char *member = (char *)out + field->offset;
	double real;

	switch (field->type) {
	case SCHEMA_STRING:
		read_string(field, node, name, member, faults);
		return;
	case SCHEMA_INTEGER:
		if (in_range(field, (double)node->integer, node, name, faults))
			*(int64_t *)(void *)member = node->integer;
		return;
	case SCHEMA_REAL:
		real = node->type == TOML_FLOAT ? node->real
						: (double)node->integer;
		if (in_range(field, real, node, name, faults))
			*(double *)(void *)member = real;
		return;
	case SCHEMA_BOOLEAN:
		*(bool *)member = node->boolean;
		return;
	case SCHEMA_TABLE:
	case SCHEMA_ARRAY:
		return;
	}
}

static void full_name(char *name, size_t size, const char *path,
		      const char *key)
{
	snprintf(name, size, "%s%s%s", path, *path ? "." : "", key);
}

static void check_unknown(const struct toml_node *table, const char *path,
			  const struct schema_field *fields, size_t count,
			  struct faults *faults)
{
	const struct toml_node *node;
	char name[160];

	for (node = table->first_child; node; node = node->next) {
		const char *nearest;
		size_t i;

		for (i = 0; i < count; i++)
			if (!strcmp(node->key, fields[i].name))
				break;
		if (i < count)
			continue;
		full_name(name, sizeof(name), path, node->key);
		nearest = schema_nearest(node->key, fields, count);
		if (nearest)
			fault_add(faults, node->line,
				  "unknown key %s, did you mean %s?", name,
				  nearest);
		else
			fault_add(faults, node->line, "unknown key %s", name);
	}
}

void schema_read(const struct toml_node *table, const char *path,
		 const struct schema_field *fields, size_t count, void *out,
		 struct faults *faults)
{
	char name[160];
	size_t i;

	for (i = 0; i < count; i++) {
		const struct schema_field *field = &fields[i];
		const struct toml_node *node =
			table ? toml_find(table, field->name) : NULL;

		set_default(field, out);
		full_name(name, sizeof(name), path, field->name);
		if (!node) {
			if (!field->fallback)
				fault_add(faults, table ? table->line : 0,
					  "%s is missing", name);
			continue;
		}
		if (!type_matches(field, node)) {
			fault_add(faults, node->line, "%s must be %s", name,
				  type_names[field->type]);
			continue;
		}
		read_value(field, node, name, out, faults);
	}
	if (table)
		check_unknown(table, path, fields, count, faults);
}
