#include <criterion/criterion.h>
#include <string.h>

#include "wire/codec.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

/*
 * Guards against a node running out of memory because the MessagePack library
 * allocates the element count that an unauthenticated peer sent in a header.
 */
Test(codec, malformed_messages_are_refused_before_unpacking)
{
	static const struct {
		const char *name;
		const char *bytes;
		size_t size;
	} cases[] = {
		{ "empty", "", 0 },
		{ "huge array", "\xdd\xff\xff\xff\xff\x01", 6 },
		{ "huge map", "\xdf\xff\xff\xff\xff\x01", 6 },
		{ "huge text", "\xdb\xff\xff\xff\xff\x01", 6 },
		{ "truncated", "\x92\x01", 2 },
		{ "trailing byte", "\x91\x01\x01", 3 },
		{ "extension", "\x91\xd4\x01\x01", 4 },
		{ "reserved tag", "\x91\xc1", 2 },
		{ "too deep",
		  "\x91\x91\x91\x91\x91\x91\x91\x91\x91\x91\x91\x01", 12 },
		{ "no type", "\x90", 1 },
		{ "type is text", "\x91\xa1x", 3 },
		{ "not an array", "\x01", 1 },
	};
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		struct error err = ERROR_INIT;
		struct message message;

		cr_assert_not(message_decode(&message, cases[i].bytes,
					     cases[i].size, &err),
			      "%s", cases[i].name);
		cr_assert_eq(err.code, ERROR_PROTOCOL, "%s", cases[i].name);
	}
}

Test(codec, fields_are_read_back)
{
	const msgpack_object *items;
	struct error err = ERROR_INIT;
	struct encoder encoder;
	struct message message;
	uint64_t number;
	uint32_t count;
	char text[8];
	bool flag;
	size_t size;
	const void *body;

	encoder_init(&encoder);
	encoder_begin(&encoder, 40, 4);
	encode_uint(&encoder, 1234567890123);
	encode_text(&encoder, "hello");
	encode_array(&encoder, 1);
	encode_uint(&encoder, 7);
	encode_bool(&encoder, true);
	body = encoder_body(&encoder, &size);
	cr_assert(message_decode(&message, body, size, &err), "%s", err.text);
	cr_assert_eq(message.type, 40);
	cr_assert(decode_count(&message, 4, "sample", &err));
	cr_assert(decode_uint(&message.fields[0], UINT64_MAX, &number, "number",
			      &err));
	cr_assert_eq(number, 1234567890123);
	cr_assert(decode_text(&message.fields[1], text, sizeof(text), "text",
			      &err));
	cr_assert_str_eq(text, "hello");
	cr_assert(decode_array(&message.fields[2], &items, &count, "array",
			       &err));
	cr_assert_eq(count, 1);
	cr_assert(decode_bool(&message.fields[3], &flag, "flag", &err));
	cr_assert(flag);
	cr_assert_not(decode_text(&message.fields[1], text, 5, "text", &err));
	message_finish(&message);
	encoder_finish(&encoder);
}
