#include "guavaflow/pick.h"

#include <assert.h>

/* One idle accelerator weighs as much as 2^40 millicores, more than any worker
 * has, so that tasks which need no accelerator go to workers without one. */
#define IDLE_ACCELERATOR_SHIFT 40

/* Scores what a task would leave unused of a worker's free capacity, which
 * must be enough for it; lower is better. */
static uint64_t
leftover(const GfResourceVector *available, const GfResourceVector *need)
{
    uint64_t idle = need->accelerators == 0 ? available->accelerators : 0;
    return (idle << IDLE_ACCELERATOR_SHIFT) +
           (available->mcores - need->mcores);
}

/* Picks the worker on which the task leaves the least unused (best fit,
 * Johnson 1973); of equal ones, the first. Returns GF_PICK_NONE if the task
 * fits on none. */
size_t
GfPick_BestFit(const GfResourceVector *free_capacity, size_t count,
               const GfResourceVector *need)
{
    assert(free_capacity != NULL || count == 0);
    size_t best = GF_PICK_NONE;
    uint64_t least = UINT64_MAX;
    for (size_t i = 0; i < count; i++) {
        if (!GfResourceVector_Fits(&free_capacity[i], need)) {
            continue;
        }
        uint64_t left = leftover(&free_capacity[i], need);
        if (left < least) {
            least = left;
            best = i;
        }
    }
    return best;
}
