#ifndef OPERATOR_HEALTH_H
#define OPERATOR_HEALTH_H

/**
 * DOC: health
 *
 * What a check of a node has found, and what operators can do about it.
 */

enum { HEALTH_TEXT_SIZE = 256 };

/** enum health_state - how grave a finding is. */
enum health_state { HEALTH_OK, HEALTH_WARN, HEALTH_BAD };

/**
 * struct health_finding - what a check found; starts as HEALTH_OK
 * @text: what is wrong, empty if nothing is
 * @todo: what an operator can do
 */
struct health_finding {
	enum health_state state;
	char text[HEALTH_TEXT_SIZE];
	char todo[HEALTH_TEXT_SIZE];
};

/** health_set() - record a finding; the texts are cut to their size. */
void health_set(struct health_finding *finding, enum health_state state,
		const char *text, const char *todo);

/** health_state_name() - "ok", "warn" or "bad". */
const char *health_state_name(enum health_state state);

#endif
