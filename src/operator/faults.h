#ifndef OPERATOR_FAULTS_H
#define OPERATOR_FAULTS_H

#include <jansson.h>

#include "base/schema.h"

/**
 * DOC: faults
 *
 * Faults of a document for operators, sorted by line.
 */

/** faults_recorded() - number of faults in @items, at most FAULTS_MAX. */
uint32_t faults_recorded(const struct faults *faults);

/** faults_sort() - sorts by line; the sort is stable. */
void faults_sort(struct faults *faults);

/** faults_to_json() - array of lines and texts by line; a new reference. */
json_t *faults_to_json(const struct faults *faults);

#endif
