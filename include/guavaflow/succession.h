/* In which order entries try to take a cell whose owner is gone. */
#ifndef GUAVAFLOW_SUCCESSION_H
#define GUAVAFLOW_SUCCESSION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "guavaflow/name.h"

/* One entry that may take the cell. */
typedef struct {
    GfName name;
    uint32_t strength;   /* thousandths of a processor, less if slowed */
    uint64_t started_ms; /* wall clock, start of the process */
} GfCandidate;

/* What an entry knows when the owner is gone. others: those that may be up,
 * without the former owner and those that are stopping. */
typedef struct {
    GfCandidate self;
    const GfCandidate *others;
    size_t other_count;
    int64_t token;                /* of the former owner */
    uint32_t last_owner_strength; /* 0: not known */
    bool planned;                 /* the owner is stopping */
    int64_t store_ms;             /* a transaction at present; 0: not known */
    int64_t up_ms;                /* since this process was started */
    uint32_t chance;              /* random, below 2^16 */
} GfSuccession;

int64_t GfSuccession_DelayMs(const GfSuccession *s);

#endif
