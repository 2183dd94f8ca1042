#ifndef OPERATOR_HEALTH_H
#define OPERATOR_HEALTH_H

/**
 * DOC: health
 *
 * The result of a health check, with advice for operators.
 */

enum { HEALTH_TEXT_SIZE = 256 };

/** enum health_state - severity of a finding, in ascending order. */
enum health_state { HEALTH_OK, HEALTH_WARN, HEALTH_BAD };

/**
 * struct health_finding - result of a check; HEALTH_OK unless the check sets it
 * @state: severity
 * @text: description of the problem; empty if there is none
 * @todo: what an operator can do; empty if there is nothing to do
 */
struct health_finding {
	enum health_state state;
	char text[HEALTH_TEXT_SIZE];
	char todo[HEALTH_TEXT_SIZE];
};

/** health_set() - sets a finding; texts are truncated to HEALTH_TEXT_SIZE. */
void health_set(struct health_finding *finding, enum health_state state,
		const char *text, const char *todo);

/** health_state_name() - "ok", "warn" or "bad". */
const char *health_state_name(enum health_state state);

#endif
