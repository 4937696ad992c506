#include "guavaflow/pick.h"

#include <assert.h>

/* Accelerators left idle by a task that needs none weigh more than any number
 * of processors, so that they stay with tasks that need them. */
#define IDLE_ACCELERATOR_SHIFT 40

/* Rates what a task would leave of a room; less is better. */
static uint64_t
leftover(const GfRoom *room, const GfRoom *need)
{
    uint64_t idle = need->accelerators == 0 ? room->accelerators : 0;
    return (idle << IDLE_ACCELERATOR_SHIFT) + (room->mcores - need->mcores);
}

/* Picks the room in which the task leaves the least (best fit, Johnson
 * 1973). */
size_t
GfPick_BestFit(const GfRoom *rooms, size_t count, const GfRoom *need)
{
    assert(rooms != NULL || count == 0);
    size_t best = GF_PICK_NONE;
    uint64_t least = UINT64_MAX;
    for (size_t i = 0; i < count; i++) {
        if (!GfRoom_Fits(&rooms[i], need)) {
            continue;
        }
        uint64_t left = leftover(&rooms[i], need);
        if (left < least) {
            least = left;
            best = i;
        }
    }
    return best;
}
