#ifndef WIRE_CODEC_H
#define WIRE_CODEC_H

#include <msgpack.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error.h"

/**
 * DOC: codec
 *
 * Messages between processes: a MessagePack array whose first element is the
 * type. Before a message is unpacked, its depth and all counts and lengths
 * are checked against the bytes that are there: the library allocates what a
 * header claims, and a stranger may claim four billion elements.
 */

enum { CODEC_MAX_DEPTH = 8, CODEC_LENGTH_BYTES = 4 };

/**
 * struct message - one message taken apart
 * @fields: what follows the type; strings and binaries point into the frame
 */
struct message {
	uint8_t type;
	uint32_t count;
	const msgpack_object *fields;
	msgpack_unpacked decompressed;
};

/**
 * message_decode() - take a message apart
 * @message: to be ended by message_finish() if this succeeds
 * @err: ERROR_PROTOCOL
 */
bool message_decode(struct message *message, const void *data, size_t size,
		    struct error *err);

void message_finish(struct message *message);

/** codec_check() - whether @data is one whole, bounded MessagePack value. */
bool codec_check(const void *data, size_t size, struct error *err);

/**
 * struct encoder - one message being written
 *
 * encoder_begin(), then the pack functions for as many fields as announced,
 * then encoder_end(), which yields a frame with its length in front.
 */
struct encoder {
	msgpack_sbuffer buffer;
	msgpack_packer packer;
};

void encoder_init(struct encoder *encoder);
void encoder_finish(struct encoder *encoder);

/** encoder_begin() - a message of @type with @fields fields. */
void encoder_begin(struct encoder *encoder, uint8_t type, uint32_t fields);

/** encoder_end() - the frame, owned by the encoder until the next begin. */
const void *encoder_end(struct encoder *encoder, size_t *size);

/** encoder_body() - the message without its length, for datagrams. */
const void *encoder_body(struct encoder *encoder, size_t *size);

void encode_uint(struct encoder *encoder, uint64_t value);
void encode_int(struct encoder *encoder, int64_t value);
void encode_text(struct encoder *encoder, const char *text);
void encode_bytes(struct encoder *encoder, const void *data, size_t size);
void encode_array(struct encoder *encoder, uint32_t count);
void encode_bool(struct encoder *encoder, bool value);

/*
 * Readers of fields. Each returns false, with @err set to ERROR_PROTOCOL and
 * the place named by @what, if the value is of another type or out of range.
 */
bool decode_uint(const msgpack_object *object, uint64_t most, uint64_t *value,
		 const char *what, struct error *err);
bool decode_int(const msgpack_object *object, int64_t *value, const char *what,
		struct error *err);
/** decode_text() - copies; the text must fit @size with its terminator. */
bool decode_text(const msgpack_object *object, char *text, size_t size,
		 const char *what, struct error *err);
bool decode_bytes(const msgpack_object *object, const uint8_t **data,
		  size_t *size, const char *what, struct error *err);
bool decode_fixed(const msgpack_object *object, void *data, size_t size,
		  const char *what, struct error *err);
bool decode_array(const msgpack_object *object, const msgpack_object **items,
		  uint32_t *count, const char *what, struct error *err);
bool decode_bool(const msgpack_object *object, bool *value, const char *what,
		 struct error *err);
/** decode_count() - whether a message has exactly @count fields. */
bool decode_count(const struct message *message, uint32_t count,
		  const char *what, struct error *err);

#endif
