/* Intervals of probing an unreachable store. While no entry reaches it they
 * share the probes: each waits in proportion to the number of entries, and the
 * first that succeeds tells the others. An entry that is cut off from the
 * store alone gets no such news and probes at an interval of its own. */
#include "guavaflow/store_probe.h"

#include <assert.h>

/* Mean interval of the probes of all entries together. */
#define SHARED_INTERVAL_MS 20
/* Limits of the mean interval of one entry. */
#define MIN_INTERVAL_MS 100
#define MAX_INTERVAL_MS 2000
/* First interval of an entry that is cut off alone; it doubles with each
 * probe, up to the longest. */
#define ALONE_INTERVAL_MS 100
#define ALONE_DOUBLINGS 2
/* The first probe follows a failure after up to this time: a single lost call
 * is not an outage, and many entries fail at once. */
#define FIRST_PROBE_MS 40
#define RANDOM_RANGE 65536

/* Returns a random part of ms, from 0 to ms. */
static int64_t
random_part(const GfStoreProbe *p, int64_t ms)
{
    return ms * (int64_t)p->random_value / RANDOM_RANGE;
}

/* Returns how long to wait before the next probe, in ms. p is borrowed. */
int64_t
GfStoreProbe_DelayMs(const GfStoreProbe *p)
{
    assert(p != NULL && p->entries > 0 && p->random_value < RANDOM_RANGE);
    if (p->probes == 0) {
        return random_part(p, FIRST_PROBE_MS);
    }
    int64_t mean = SHARED_INTERVAL_MS * (int64_t)p->entries;
    if (p->others_reach_it) {
        uint32_t doublings =
            p->probes < ALONE_DOUBLINGS ? p->probes : ALONE_DOUBLINGS;
        mean = (int64_t)ALONE_INTERVAL_MS << doublings;
    }
    mean = mean < MIN_INTERVAL_MS ? MIN_INTERVAL_MS : mean;
    mean = mean > MAX_INTERVAL_MS ? MAX_INTERVAL_MS : mean;
    if (p->others_reach_it) {
        return mean / 2 + random_part(p, mean);
    }
    /* From 0 to twice the mean: with a shortest interval, entries that failed
     * at the same time would also pause at the same time. */
    return 1 + random_part(p, 2 * mean);
}
