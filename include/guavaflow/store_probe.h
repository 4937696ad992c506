/* When an entry that cannot reach the store tries it again. The store's calls
 * are priced and limited, so a hundred entries must not all try it at a high
 * rate while it is away; yet its return must be noticed at once, since no job
 * can be accepted and no completion shown before. */
#ifndef GUAVAFLOW_STORE_PROBE_H
#define GUAVAFLOW_STORE_PROBE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* What an entry knows when it plans its next probe. */
typedef struct {
    size_t entries;        /* entries of the cell, this one included */
    bool others_reach_it;  /* the owner reports that it reaches the store */
    uint32_t probes;       /* probes since the store became unreachable */
    uint32_t random_value; /* random number below 2^16 */
} GfStoreProbe;

int64_t GfStoreProbe_DelayMs(const GfStoreProbe *p);

#endif
