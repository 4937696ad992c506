/* Where the row of an accepted job stands in the platform's store. */
#ifndef GUAVAFLOW_JOB_ROW_H
#define GUAVAFLOW_JOB_ROW_H

#include <stdint.h>

#include "guavaflow/name.h"

/* Parts of the jobs' table. The store works the transactions of a part one
 * after another; at 200 ms each, as measured when it is slow, these take 320
 * new jobs a second, against some 75 in a burst of the largest site. */
#define GF_JOB_ROW_PARTS 64
#define GF_JOB_ROW_PART_BYTES 8

typedef struct {
    char text[GF_JOB_ROW_PART_BYTES];
} GfJobRowPart;

GfJobRowPart GfJobRow_Part(const GfName *id);
GfJobRowPart GfJobRow_PartAt(uint32_t number);

#endif
