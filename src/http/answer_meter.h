#ifndef HTTP_ANSWER_METER_H
#define HTTP_ANSWER_METER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * DOC: answer meter
 *
 * Bounds of what a server may send as the answer to one request. The client
 * reports each piece before it stores the piece, and closes the connection once
 * a bound is passed. Has no I/O.
 */

/** enum answer_limit - bounds of an answer. */
enum answer_limit {
	ANSWER_LIMIT_NONE,
	ANSWER_LIMIT_FIELDS,	  /* fields of the head or the trailers */
	ANSWER_LIMIT_FIELD_BYTES, /* bytes of the head or the trailers */
	ANSWER_LIMIT_BODY_BYTES,
	ANSWER_LIMIT_TOTAL_BYTES, /* bodies of all answers counted together */
	/* All bytes besides the body: heads, answers that are skipped, blank
	 * lines, chunk sizes and extensions. */
	ANSWER_LIMIT_OTHER_BYTES,
	ANSWER_LIMIT_HEAD_MS, /* time from the first byte of a head to its end */
};

enum {
	ANSWER_OTHER_MAX_BYTES = 160 * 1024,
	/* Permits chunks of one byte. */
	ANSWER_OTHER_PER_BODY_BYTE = 8,
	ANSWER_HEAD_MAX_MS = 5000,
};

/**
 * struct answer_total - bodies of several answers, counted together
 * @bytes: size of the bodies that are held
 * @bytes_max: maximum of @bytes
 */
struct answer_total {
	uint64_t bytes;
	uint64_t bytes_max;
};

/**
 * struct answer_meter - what the server has sent
 * @body_max: maximum size of the body in bytes
 * @total: counts the body with those of other answers; NULL for none
 * @fields: fields of the present head or trailers
 * @field_bytes: their size, see HTTP_FIELDS_MAX_BYTES
 * @in_value: whether the last piece of a field belonged to its value
 * @body_bytes: size of the body so far
 * @read_bytes: all bytes read for the request, answers that are skipped
 *	included
 * @passed: first bound that was passed
 * @maximum: value of that bound
 */
struct answer_meter {
	uint64_t body_max;
	struct answer_total *total;
	uint64_t field_bytes;
	uint64_t body_bytes;
	uint64_t read_bytes;
	uint64_t maximum;
	uint32_t fields;
	enum answer_limit passed;
	bool in_value;
};

/**
 * answer_meter_init() - begins to count
 * @total: must outlive the meter; may be NULL
 */
void answer_meter_init(struct answer_meter *meter, uint64_t body_max,
		       struct answer_total *total);

/** answer_meter_finish() - takes the body off the total. */
void answer_meter_finish(struct answer_meter *meter);

/** answer_meter_begin() - begins an answer with its head. */
void answer_meter_begin(struct answer_meter *meter);

/** answer_meter_head_end() - ends the head; later fields are trailers. */
void answer_meter_head_end(struct answer_meter *meter);

/**
 * answer_meter_add_name() - adds a piece of a field name
 *
 * Return: false if a bound is passed.
 */
bool answer_meter_add_name(struct answer_meter *meter, size_t size);

/**
 * answer_meter_add_value() - adds a piece of a field value
 *
 * Return: false if a bound is passed.
 */
bool answer_meter_add_value(struct answer_meter *meter, size_t size);

/**
 * answer_meter_add_body() - adds a piece of the body
 *
 * Return: false if a bound is passed.
 */
bool answer_meter_add_body(struct answer_meter *meter, size_t size);

/** answer_meter_add_read() - adds bytes that were read, before they are parsed.
 */
void answer_meter_add_read(struct answer_meter *meter, size_t size);

/**
 * answer_meter_check_read() - checks the bytes read so far, once parsed
 *
 * Return: false if a bound is passed.
 */
bool answer_meter_check_read(struct answer_meter *meter);

/**
 * answer_meter_head_expired() - records that the head took too long
 * @maximum_ms: the time that was allowed, in milliseconds
 */
void answer_meter_head_expired(struct answer_meter *meter, int64_t maximum_ms);

/** answer_limit_name() - returns the stable name of a bound, for logs. */
const char *answer_limit_name(enum answer_limit limit);

#endif
