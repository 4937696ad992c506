/* Workers that were removed from the cell a short time ago. Orders to them may
 * still be carried out if they are back under their ids: they are then treated
 * as restarted. An id that is not known from before is that of a new worker.
 */
#include <stdlib.h>

#include "cell_private.h"

/* Remembers a worker that is about to be freed. */
void
CellRemoved_Add(GfCell *cell, const Worker *w)
{
    RemovedWorker *r = calloc(1, sizeof(*r));
    if (r == NULL) {
        abort();
    }
    r->id = w->info.id;
    r->token = w->token;
    r->removed_at = GfClock_Now(cell->clock);
    HASH_ADD(hh, cell->removed, id.data, r->id.len, r);
}

/* Removes a worker from the remembered ones and frees the entry. */
static void
forget(GfCell *cell, RemovedWorker *r)
{
    HASH_DELETE(hh, cell->removed, r);
    free(r);
}

/* Applies to a worker that has just been added what is remembered of it. */
void
CellRemoved_Restore(GfCell *cell, Worker *w)
{
    RemovedWorker *r = NULL;
    HASH_FIND(hh, cell->removed, w->info.id.data, w->info.id.len, r);
    if (r == NULL) {
        return;
    }
    w->former_orders = true;
    w->incarnation_began_at = GfClock_Now(cell->clock);
    w->token = r->token;
    CellFence_Restarted(cell, w);
    forget(cell, r);
}

/* Forgets the workers to which no order can arrive any more; all of them if
 * now is NULL. */
void
CellRemoved_Forget(GfCell *cell, const struct timespec *now)
{
    RemovedWorker *r;
    RemovedWorker *tmp;
    HASH_ITER(hh, cell->removed, r, tmp)
    {
        if (now != NULL &&
            GfTime_DiffMs(*now, r->removed_at) <= CELL_LATE_ORDER_MS) {
            return; /* those after it were removed later */
        }
        forget(cell, r);
    }
}
