/* Takeover order: how long each entry waits before it claims a cell whose
 * owner has failed or asks to be replaced, so that the strongest entry claims
 * first. */
#ifndef GUAVAFLOW_SUCCESSION_H
#define GUAVAFLOW_SUCCESSION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "guavaflow/name.h"

/* An entry that may claim the cell. */
typedef struct {
    GfName name;
    uint32_t strength;   /* thousandths of a processor; reduced by a narrow
                          * link or a slowed event loop */
    uint64_t started_ms; /* wall-clock time at which its process started */
} GfCandidate;

/* What an entry knows when it needs to claim the cell. */
typedef struct {
    GfCandidate self;
    /* The other entries that may be up, without the former owner and those
     * that are stopping; borrowed. */
    const GfCandidate *others;
    size_t other_count;
    int64_t token;                /* of the former owner */
    uint32_t last_owner_strength; /* 0: unknown */
    bool planned;                 /* the owner is up and asks to be replaced */
    int64_t store_ms;  /* duration of a transaction at present; 0: unknown */
    int64_t uptime_ms; /* time since this process started */
    uint32_t random_value; /* random number below 2^16 */
} GfSuccession;

/* Returns how long this entry must wait before it claims the cell, in ms. */
int64_t GfSuccession_ClaimDelayMs(const GfSuccession *s);

#endif
