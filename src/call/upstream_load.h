#ifndef CALL_UPSTREAM_LOAD_H
#define CALL_UPSTREAM_LOAD_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: upstream load
 *
 * The load that an upstream reports with its answers.
 */

/**
 * struct upstream_load - one report
 * @running: number of requests that run
 * @waiting: number of requests that wait for a slot
 * @slots: number of requests that may run at the same time
 * @work_pct: time that work takes on the machine of the upstream now, in
 *	percent of the usual time; 0 if the upstream does not report it
 */
struct upstream_load {
	uint32_t running;
	uint32_t waiting;
	uint32_t slots;
	uint32_t work_pct;
};

/**
 * upstream_load_parse() - parses "running,waiting,slots" or
 * "running,waiting,slots,work_pct"
 * @text: value of the header field; NULL if it is absent
 * @load: result; unchanged if the value is malformed
 *
 * Return: false if @text is anything else than three or four decimal numbers
 * up to UINT32_MAX, separated by commas.
 */
bool upstream_load_parse(const char *text, struct upstream_load *load);

#endif
