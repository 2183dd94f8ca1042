#include "wire/codec.h"

#include <string.h>

struct scan {
	const uint8_t *at;
	const uint8_t *end;
};

static bool scan_uint(struct scan *scan, unsigned int bytes, uint64_t *value)
{
	unsigned int i;

	if ((size_t)(scan->end - scan->at) < bytes)
		return false;
	*value = 0;
	for (i = 0; i < bytes; i++)
		*value = *value << 8 | *scan->at++;
	return true;
}

static bool scan_skip(struct scan *scan, uint64_t size)
{
	if ((uint64_t)(scan->end - scan->at) < size)
		return false;
	scan->at += size;
	return true;
}

/* Skips a length field of @bytes bytes and then that number of bytes plus
 * @extra. */
static bool scan_sized(struct scan *scan, unsigned int bytes, uint64_t extra)
{
	uint64_t size;

	return scan_uint(scan, bytes, &size) && scan_skip(scan, size + extra);
}

static bool scan_value(struct scan *scan, unsigned int depth);

static bool scan_items(struct scan *scan, uint64_t count, unsigned int depth)
{
	uint64_t i;

	/* Each item takes at least one byte, so a larger count is invalid. */
	if (depth == 0 || count > (uint64_t)(scan->end - scan->at))
		return false;
	for (i = 0; i < count; i++)
		if (!scan_value(scan, depth - 1))
			return false;
	return true;
}

static bool scan_counted(struct scan *scan, unsigned int bytes,
			 uint64_t values_per_entry, unsigned int depth)
{
	uint64_t count;

	return scan_uint(scan, bytes, &count) &&
	       scan_items(scan, count * values_per_entry, depth);
}

/* Skips the value after one of the tags 0xc0 to 0xdf of the MessagePack
 * specification. */
static bool scan_tagged(struct scan *scan, uint8_t tag, unsigned int depth)
{
	switch (tag) {
	case 0xc0: /* nil */
	case 0xc2: /* false */
	case 0xc3: /* true */
		return true;
	case 0xc4: /* bin */
	case 0xd9: /* str */
		return scan_sized(scan, 1, 0);
	case 0xc5:
	case 0xda:
		return scan_sized(scan, 2, 0);
	case 0xc6:
	case 0xdb:
		return scan_sized(scan, 4, 0);
	case 0xcc: /* uint 8, int 8 */
	case 0xd0:
		return scan_skip(scan, 1);
	case 0xcd:
	case 0xd1:
		return scan_skip(scan, 2);
	case 0xca: /* float */
	case 0xce:
	case 0xd2:
		return scan_skip(scan, 4);
	case 0xcb: /* double */
	case 0xcf:
	case 0xd3:
		return scan_skip(scan, 8);
	case 0xdc: /* array */
		return scan_counted(scan, 2, 1, depth);
	case 0xdd:
		return scan_counted(scan, 4, 1, depth);
	case 0xde: /* map */
		return scan_counted(scan, 2, 2, depth);
	case 0xdf:
		return scan_counted(scan, 4, 2, depth);
	default: /* extension types, which no message uses, or reserved */
		return false;
	}
}

static bool scan_value(struct scan *scan, unsigned int depth)
{
	uint8_t tag;

	if (scan->at == scan->end)
		return false;
	tag = *scan->at++;
	if (tag < 0x80 || tag >= 0xe0)
		return true;
	if (tag < 0x90)
		return scan_items(scan, (uint64_t)(tag & 0x0f) * 2, depth);
	if (tag < 0xa0)
		return scan_items(scan, tag & 0x0f, depth);
	if (tag < 0xc0)
		return scan_skip(scan, tag & 0x1f);
	return scan_tagged(scan, tag, depth);
}

bool codec_check(const void *data, size_t size, struct error *err)
{
	struct scan scan = { data, (const uint8_t *)data + size };

	if (scan_value(&scan, CODEC_MAX_DEPTH) && scan.at == scan.end)
		return true;
	error_set(err, ERROR_PROTOCOL,
		  "message of %zu bytes is not well-formed", size);
	return false;
}

bool message_decode(struct message *message, const void *data, size_t size,
		    struct error *err)
{
	const msgpack_object *root;
	size_t offset = 0;

	if (!codec_check(data, size, err))
		return false;
	msgpack_unpacked_init(&message->decompressed);
	if (msgpack_unpack_next(&message->decompressed, data, size, &offset) !=
	    MSGPACK_UNPACK_SUCCESS)
		goto bad;
	root = &message->decompressed.data;
	if (root->type != MSGPACK_OBJECT_ARRAY || root->via.array.size == 0)
		goto bad;
	if (root->via.array.ptr[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    root->via.array.ptr[0].via.u64 > UINT8_MAX)
		goto bad;
	message->type = (uint8_t)root->via.array.ptr[0].via.u64;
	message->count = root->via.array.size - 1;
	message->fields = root->via.array.ptr + 1;
	return true;
bad:
	msgpack_unpacked_destroy(&message->decompressed);
	error_set(err, ERROR_PROTOCOL, "message has no type");
	return false;
}

void message_finish(struct message *message)
{
	msgpack_unpacked_destroy(&message->decompressed);
}

void encoder_init(struct encoder *encoder)
{
	msgpack_sbuffer_init(&encoder->buffer);
	msgpack_packer_init(&encoder->packer, &encoder->buffer,
			    msgpack_sbuffer_write);
}

void encoder_finish(struct encoder *encoder)
{
	msgpack_sbuffer_destroy(&encoder->buffer);
}

void encoder_begin(struct encoder *encoder, uint8_t type, uint32_t fields)
{
	static const char length[CODEC_LENGTH_BYTES];

	msgpack_sbuffer_clear(&encoder->buffer);
	msgpack_sbuffer_write(&encoder->buffer, length, sizeof(length));
	msgpack_pack_array(&encoder->packer, fields + 1);
	msgpack_pack_uint8(&encoder->packer, type);
}

const void *encoder_end(struct encoder *encoder, size_t *size)
{
	uint32_t length = (uint32_t)(encoder->buffer.size - CODEC_LENGTH_BYTES);
	uint8_t *bytes = (uint8_t *)encoder->buffer.data;

	bytes[0] = (uint8_t)(length >> 24);
	bytes[1] = (uint8_t)(length >> 16);
	bytes[2] = (uint8_t)(length >> 8);
	bytes[3] = (uint8_t)length;
	*size = encoder->buffer.size;
	return bytes;
}

const void *encoder_body(struct encoder *encoder, size_t *size)
{
	*size = encoder->buffer.size - CODEC_LENGTH_BYTES;
	return encoder->buffer.data + CODEC_LENGTH_BYTES;
}

void encode_uint(struct encoder *encoder, uint64_t value)
{
	msgpack_pack_uint64(&encoder->packer, value);
}

void encode_int(struct encoder *encoder, int64_t value)
{
	msgpack_pack_int64(&encoder->packer, value);
}

void encode_text(struct encoder *encoder, const char *text)
{
	msgpack_pack_str_with_body(&encoder->packer, text, strlen(text));
}

void encode_bytes(struct encoder *encoder, const void *data, size_t size)
{
	msgpack_pack_bin_with_body(&encoder->packer, data, size);
}

void encode_array(struct encoder *encoder, uint32_t count)
{
	msgpack_pack_array(&encoder->packer, count);
}

void encode_bool(struct encoder *encoder, bool value)
{
	if (value)
		msgpack_pack_true(&encoder->packer);
	else
		msgpack_pack_false(&encoder->packer);
}

static bool set_decode_error(const char *what, struct error *err)
{
	error_set(err, ERROR_PROTOCOL, "%s has a wrong type or range", what);
	return false;
}

bool decode_uint(const msgpack_object *object, uint64_t value_max,
		 uint64_t *value, const char *what, struct error *err)
{
	if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    object->via.u64 > value_max)
		return set_decode_error(what, err);
	*value = object->via.u64;
	return true;
}

bool decode_uint32(const msgpack_object *object, uint32_t value_max,
		   uint32_t *value, const char *what, struct error *err)
{
	uint64_t number;

	if (!decode_uint(object, value_max, &number, what, err))
		return false;
	*value = (uint32_t)number;
	return true;
}

bool decode_ms(const msgpack_object *object, int64_t *value_ms,
	       const char *what, struct error *err)
{
	int64_t value;

	if (object->type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
		value = object->via.i64;
	else if (object->type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
		 object->via.u64 <= INT64_MAX)
		value = (int64_t)object->via.u64;
	else
		return set_decode_error(what, err);
	if (value < -CODEC_MS_MAX || value > CODEC_MS_MAX)
		return set_decode_error(what, err);
	*value_ms = value;
	return true;
}

bool decode_text(const msgpack_object *object, char *text, size_t size,
		 const char *what, struct error *err)
{
	uint32_t length = object->via.str.size;

	/* The pointer of an empty string may be NULL. */
	if (object->type != MSGPACK_OBJECT_STR || length >= size ||
	    (length && memchr(object->via.str.ptr, '\0', length)))
		return set_decode_error(what, err);
	if (length)
		memcpy(text, object->via.str.ptr, length);
	text[length] = '\0';
	return true;
}

bool decode_bytes(const msgpack_object *object, const uint8_t **data,
		  size_t *size, const char *what, struct error *err)
{
	if (object->type != MSGPACK_OBJECT_BIN)
		return set_decode_error(what, err);
	*data = (const uint8_t *)object->via.bin.ptr;
	*size = object->via.bin.size;
	return true;
}

bool decode_fixed(const msgpack_object *object, void *data, size_t size,
		  const char *what, struct error *err)
{
	if (object->type != MSGPACK_OBJECT_BIN || object->via.bin.size != size)
		return set_decode_error(what, err);
	memcpy(data, object->via.bin.ptr, size);
	return true;
}

bool decode_array(const msgpack_object *object, const msgpack_object **items,
		  uint32_t *count, const char *what, struct error *err)
{
	if (object->type != MSGPACK_OBJECT_ARRAY)
		return set_decode_error(what, err);
	*items = object->via.array.ptr;
	*count = object->via.array.size;
	return true;
}

bool decode_bool(const msgpack_object *object, bool *value, const char *what,
		 struct error *err)
{
	if (object->type != MSGPACK_OBJECT_BOOLEAN)
		return set_decode_error(what, err);
	*value = object->via.boolean;
	return true;
}

bool decode_count(const struct message *message, uint32_t count,
		  const char *what, struct error *err)
{
	if (message->count == count)
		return true;
	error_set(err, ERROR_PROTOCOL, "%s has %u fields, not %u", what,
		  message->count, count);
	return false;
}
