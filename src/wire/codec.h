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
 * type. Before a message is unpacked, its nesting depth and all counts and
 * lengths are checked against the size of the message: the MessagePack library
 * allocates memory for the count in a header, and an unauthenticated peer can
 * send a count of four billion elements in a few bytes.
 */

enum { CODEC_MAX_DEPTH = 8, CODEC_LENGTH_BYTES = 4 };

/* The sum of two such durations fits 64 bits in microseconds. */
#define CODEC_MS_MAX (INT64_MAX / 2000)

/**
 * struct message - one decoded message
 * @type: first element of the array, a frame type
 * @count: number of fields after the type
 * @fields: elements after the type; strings and binaries point into the bytes
 *	that were decoded
 * @unpacked: memory of @fields, freed by message_finish()
 */
struct message {
	uint8_t type;
	uint32_t count;
	const msgpack_object *fields;
	msgpack_unpacked decompressed;
};

/**
 * message_decode() - decode one message
 * @message: to be freed by message_finish() if true is returned
 * @data: message without the length in front of its frame; must outlive
 *	@message
 * @size: size of @data in bytes
 * @err: ERROR_PROTOCOL if false is returned
 */
bool message_decode(struct message *message, const void *data, size_t size,
		    struct error *err);

void message_finish(struct message *message);

/**
 * codec_check() - returns true if @data is exactly one complete MessagePack
 *	value that is nested no deeper than CODEC_MAX_DEPTH
 */
bool codec_check(const void *data, size_t size, struct error *err);

/**
 * struct encoder - writes one message at a time
 *
 * Call encoder_begin(), then the encode functions for exactly the announced
 * number of fields, then encoder_end() for a frame with its length in front or
 * encoder_body() for a datagram.
 */
struct encoder {
	msgpack_sbuffer buffer;
	msgpack_packer packer;
};

void encoder_init(struct encoder *encoder);
void encoder_finish(struct encoder *encoder);

/** encoder_begin() - begin a message of @type with @fields fields. */
void encoder_begin(struct encoder *encoder, uint8_t type, uint32_t fields);

/**
 * encoder_end() - returns the frame, which the encoder owns and overwrites with
 *	the next message
 * @size: set to the size of the frame in bytes, its length prefix included
 */
const void *encoder_end(struct encoder *encoder, size_t *size);

/** encoder_body() - returns the message without its length, for datagrams. */
const void *encoder_body(struct encoder *encoder, size_t *size);

void encode_uint(struct encoder *encoder, uint64_t value);
void encode_int(struct encoder *encoder, int64_t value);
void encode_text(struct encoder *encoder, const char *text);
void encode_bytes(struct encoder *encoder, const void *data, size_t size);
void encode_array(struct encoder *encoder, uint32_t count);
void encode_bool(struct encoder *encoder, bool value);

/*
 * Decoders of fields. Each returns false, with @err set to ERROR_PROTOCOL and a
 * text that names the field by @what, if the value has another type or is out
 * of range.
 */
bool decode_uint(const msgpack_object *object, uint64_t value_max,
		 uint64_t *value, const char *what, struct error *err);
bool decode_uint32(const msgpack_object *object, uint32_t value_max,
		   uint32_t *value, const char *what, struct error *err);
/**
 * decode_ms() - decodes a duration in milliseconds, at most CODEC_MS_MAX
 *
 * It may be negative.
 */
bool decode_ms(const msgpack_object *object, int64_t *value_ms,
	       const char *what, struct error *err);
/**
 * decode_text() - copies a string without NUL bytes, which must fit @size bytes
 *	with its terminator
 */
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
/** decode_count() - returns true if a message has exactly @count fields. */
bool decode_count(const struct message *message, uint32_t count,
		  const char *what, struct error *err);

#endif
