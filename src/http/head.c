#include "http/head.h"

#include <string.h>
#include <strings.h>

void http_head_reset(struct http_head *head)
{
	buffer_consume(&head->fields, buffer_size(&head->fields));
	head->count = 0;
	head->value_offset = 0;
	head->in_value = false;
	head->in_field = false;
	head->invalid = false;
}

bool http_is_token_part(const char *at, size_t size)
{
	static const char punctuation[] = "!#$%&'*+-.^_`|~";
	size_t i;

	for (i = 0; i < size; i++) {
		bool alnum = (at[i] >= '0' && at[i] <= '9') ||
			     (at[i] >= 'a' && at[i] <= 'z') ||
			     (at[i] >= 'A' && at[i] <= 'Z');

		if (!alnum && (!at[i] || !strchr(punctuation, at[i])))
			return false;
	}
	return true;
}

bool http_is_value_part(const char *at, size_t size)
{
	size_t i;

	for (i = 0; i < size; i++)
		if (((uint8_t)at[i] < ' ' && at[i] != '\t') || at[i] == 0x7f)
			return false;
	return true;
}

void http_head_finish(struct http_head *head)
{
	buffer_finish(&head->fields);
	http_head_reset(head);
}

/* Removes blanks at the end of the value and completes the field. */
static void end_value(struct http_head *head)
{
	const uint8_t *data = buffer_data(&head->fields);
	size_t size = buffer_size(&head->fields);

	while (size > head->value_offset &&
	       (data[size - 1] == ' ' || data[size - 1] == '\t'))
		size--;
	buffer_remove_last(&head->fields, buffer_size(&head->fields) - size);
	buffer_append(&head->fields, "", 1);
	head->count++;
	head->in_field = false;
	head->in_value = false;
}

void http_head_append_name(struct http_head *head, const char *at, size_t size)
{
	if (head->in_value)
		end_value(head);
	head->in_field = true;
	head->invalid |= !http_is_token_part(at, size);
	buffer_append(&head->fields, at, size);
}

void http_head_append_value(struct http_head *head, const char *at, size_t size)
{
	if (!head->in_value) {
		buffer_append(&head->fields, "", 1);
		head->value_offset = buffer_size(&head->fields);
		head->in_value = true;
	}
	head->invalid |= !http_is_value_part(at, size);
	buffer_append(&head->fields, at, size);
}

void http_head_end(struct http_head *head)
{
	if (!head->in_field)
		return;
	if (!head->in_value)
		http_head_append_value(head, "", 0);
	end_value(head);
}

bool http_head_fits(const struct http_head *head)
{
	return head->count <= HTTP_FIELDS_MAX &&
	       buffer_size(&head->fields) <= HTTP_FIELDS_MAX_BYTES;
}

size_t http_head_split(const struct http_head *head,
		       struct http_header headers[HTTP_FIELDS_MAX])
{
	const char *at = (const char *)buffer_data(&head->fields);
	size_t i;

	for (i = 0; i < head->count && i < HTTP_FIELDS_MAX; i++) {
		headers[i].name = at;
		at += strlen(at) + 1;
		headers[i].value = at;
		at += strlen(at) + 1;
	}
	return i;
}

uint32_t http_head_count(const struct http_head *head, const char *name)
{
	const char *at = (const char *)buffer_data(&head->fields);
	uint32_t found = 0;
	uint32_t i;

	for (i = 0; i < head->count; i++) {
		found += !strcasecmp(at, name);
		at += strlen(at) + 1;
		at += strlen(at) + 1;
	}
	return found;
}

const char *http_head_find(const struct http_head *head, const char *name)
{
	const char *at = (const char *)buffer_data(&head->fields);
	uint32_t i;

	for (i = 0; i < head->count; i++) {
		const char *value = at + strlen(at) + 1;

		if (!strcasecmp(at, name))
			return value;
		at = value + strlen(value) + 1;
	}
	return NULL;
}

bool http_head_is_ambiguous(const struct http_head *head)
{
	/* The parser accepts blanks before the colon, and any first byte of a
	 * value. An upstream could read such a field as a different field than
	 * this process does. */
	if (head->invalid)
		return true;
	if (http_head_find(head, "Transfer-Encoding") &&
	    http_head_find(head, "Content-Length"))
		return true;
	return http_head_count(head, "Content-Length") > 1 ||
	       http_head_count(head, "Transfer-Encoding") > 1 ||
	       http_head_count(head, "Host") > 1;
}
