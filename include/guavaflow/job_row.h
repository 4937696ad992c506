/* The jobs table in the platform's store: which part holds the row of an
 * accepted job, and the rows of jobs that were cancelled before they were
 * accepted. Such a row keeps a late write of the job from taking effect, as
 * that requires that no row exists. */
#ifndef GUAVAFLOW_JOB_ROW_H
#define GUAVAFLOW_JOB_ROW_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

#include "guavaflow/name.h"

/* Number of parts of the jobs table. The store works through the transactions
 * of one part one after another; at 200 ms each, as measured when it is slow,
 * this many parts take 320 new jobs a second, against some 75 in a burst of
 * the largest site. */
#define GF_JOB_ROW_PARTS 64
/* Size of a part's name, with its terminating null byte. */
#define GF_JOB_ROW_PART_BYTES 8

/* The name of a part, null-terminated. */
typedef struct {
    char text[GF_JOB_ROW_PART_BYTES];
} GfJobRowPart;

/* Returns the part that holds the row of the job with this id. */
GfJobRowPart GfJobRow_Part(const GfName *id);
/* Returns the part with a number below GF_JOB_ROW_PARTS. */
GfJobRowPart GfJobRow_PartAt(uint32_t number);

/* Returns the row of a job that is cancelled before it is accepted, which the
 * caller owns. */
GfStr GfJobRow_EncodeWithdrawn(void);
/* Returns whether a row, given as its text or decoded, is such a row. */
bool GfJobRow_IsWithdrawn(const char *value, size_t len);
bool GfJobRow_SaysWithdrawn(const json_t *row);

#endif
