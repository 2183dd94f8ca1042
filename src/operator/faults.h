#ifndef OPERATOR_FAULTS_H
#define OPERATOR_FAULTS_H

#include <jansson.h>

#include "base/schema.h"

/**
 * DOC: faults
 *
 * Faults of a document as operators see them: in the order of its lines.
 */

/** faults_recorded() - how many faults are recorded; the rest is only counted. */
uint32_t faults_recorded(const struct faults *faults);

/** faults_sort() - order by line; those of one line keep their order. */
void faults_sort(struct faults *faults);

/** faults_to_json() - a list of lines and texts by line; a new reference. */
json_t *faults_to_json(const struct faults *faults);

#endif
