/* When the lease of a worker that does not answer has expired, as the stored
 * lease list says it to the next owner. An owner knows the end of a lease that
 * it does not extend any more. Without that knowledge the next owner has to
 * count the longest possible lease from its own takeover, and another one
 * after it once more, so that tasks of a lost worker wait ever longer.
 *
 * The list gives the end on the store's clock, which all owners can read.
 * While it may give one, the owner must not extend the lease: an answering
 * worker is extended again only after the list is stored without its end. A
 * former owner cannot store the list, so it cannot extend the lease later than
 * the list says that it ends. */
#include "cell_private.h"

#define PERCENT 100

/* Returns ms increased by the most that clocks may drift apart in that time,
 * rounded up. */
static int64_t
with_drift(const GfCell *cell, int64_t ms)
{
    return ms + ms * cell->settings.clock_drift_percent / PERCENT + 1;
}

/* Records a reading of the clock that all owners share. */
void
GfCell_SetSharedClock(GfCell *cell, const GfTableClock *reading)
{
    cell->shared_clock = *reading;
    cell->has_shared_clock = true;
}

/* Returns whether it is known when the last run on a worker ends, as its lease
 * is not extended: it does not answer, or has not answered in this term. A
 * worker with unidentified runs may have answered without being contacted. */
bool
CellLeaseEnd_IsKnown(const GfCell *cell, const Worker *w)
{
    return cell->has_shared_clock && (!w->has_clock || w->hold_failures > 0);
}

/* Returns the time on the shared clock, in ms, after which no run goes on
 * where CellLeaseEnd_IsKnown. On a worker that has answered no owner since
 * that is the end which the former owner stored, if there is one. */
int64_t
CellLeaseEnd_Shared(const GfCell *cell, const Worker *w)
{
    if (!w->contacted && !w->has_clock && w->expires_ms > 0) {
        return w->expires_ms;
    }
    const GfTableClock *c = &cell->shared_clock;
    struct timespec end = w->lease_until;
    struct timespec inherited = CellLeaseEnd_Inherited(cell, w);
    if (!w->contacted && GfTime_Before(end, inherited)) {
        end = inherited;
    }
    int64_t ms = GfTime_DiffMs(end, c->earliest);
    return c->ms + (ms > 0 ? with_drift(cell, ms) : 0);
}

/* Returns the time on the local clock after which no run of a former owner
 * goes on on a worker that has not answered in this term. */
struct timespec
CellLeaseEnd_Uncertain(const GfCell *cell, const Worker *w)
{
    int64_t more_ms = w->former_orders ? CellWorker_ForeignLeaseMs(cell) -
                                             CellWorker_LongestLeaseMs(cell)
                                       : 0;
    return GfTime_AddMs(cell->uncertain_until, more_ms);
}

/* Returns the time on the local clock after which none of the inherited tasks
 * of a worker still runs there. */
struct timespec
CellLeaseEnd_Inherited(const GfCell *cell, const Worker *w)
{
    if (w->expires_ms == 0 || !cell->has_shared_clock) {
        return CellLeaseEnd_Uncertain(cell, w);
    }
    const GfTableClock *c = &cell->shared_clock;
    int64_t ms = w->expires_ms - c->ms;
    struct timespec end =
        GfTime_AddMs(c->latest, ms > 0 ? with_drift(cell, ms) : 0);
    struct timespec latest = CellLeaseEnd_Uncertain(cell, w);
    return GfTime_Before(end, latest) ? end : latest;
}
