#ifndef CALL_HEAD_OF_LINE_H
#define CALL_HEAD_OF_LINE_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: head of line
 *
 * Answers leave a connection in the order of its requests. Decides whether an
 * unanswered request (the head) is ended so that an answer behind it leaves in
 * time: its caller then repeats it on another connection. Does no I/O and reads
 * no clock.
 */

/**
 * struct head_of_line_held - an answer that is ready and waits for its turn
 * @weight: weight of the request
 * @due_us: time until which the answer is in time; 0: no such time
 * @deadline_us: time until which the caller waits
 */
struct head_of_line_held {
	double weight;
	int64_t due_us;
	int64_t deadline_us;
};

/**
 * struct head_of_line_head - an unanswered request before it
 * @repeatable: the request may run more than once
 * @repeated: the caller may have sent the request before
 * @has_room: its upstreams have free slots for a further run
 * @weight: weight of the request
 * @started_us: when the request was read
 * @due_us: as in struct head_of_line_held
 * @deadline_us: as in struct head_of_line_held
 */
struct head_of_line_head {
	bool repeatable;
	bool repeated;
	bool has_room;
	double weight;
	int64_t started_us;
	int64_t due_us;
	int64_t deadline_us;
};

/**
 * head_of_line_check_us() - returns when to decide about a held answer
 *
 * The decision is made as late as it can help, since the head may be answered
 * before.
 *
 * Return: a time after @now_us; INT64_MAX if no later decision can help.
 */
int64_t head_of_line_check_us(const struct head_of_line_held *held,
			      int64_t now_us);

/** head_of_line_gain() - returns what the held answer is worth if sent now. */
double head_of_line_gain(const struct head_of_line_held *held, int64_t now_us);

/**
 * head_of_line_loss() - returns what ending a head costs
 *
 * Return: a part of its weight; INFINITY if it must not be ended.
 */
double head_of_line_loss(const struct head_of_line_head *head, int64_t now_us);

#endif
