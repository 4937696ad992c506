/* What former owners can still do. After a takeover an owner that has been
 * replaced may go on for a while: it may start runs of any job that it learns
 * of, and extend leases, on workers that have not answered the new owner. That
 * ends when its last proof of ownership expires. It ends sooner if its process
 * is known to have ended, or to have ended its term; then jobs that are
 * accepted later are certain, and the uncertainty period is that much shorter.
 *
 * An owner knows only the one that it has replaced. One further back may still
 * act if the owner in between was replaced too early to outlast it. Therefore
 * each owner is stored as settled once all before it have certainly ended, and
 * the end of an owner that was not settled proves nothing. */
#include <assert.h>

#include "cell_private.h"
#include "guavaflow/log.h"

/* Interval of the lines on workers that a takeover waits for. */
#define UNHEARD_LOG_MS 500

/* Returns whether this owner's term has outlasted the last proof of ownership
 * of all owners before it. */
static bool
has_outlasted(const GfCell *cell)
{
    return GfTime_DiffMs(GfClock_Now(cell->clock), cell->created_at) >=
           cell->settings.ownership_valid_ms;
}

/* Applies what is known of the former owners, if it shows that all of them
 * have ended: no lease is extended any more. */
static void
apply_end(GfCell *cell)
{
    if (cell->former_owners_ended || !cell->former_owner_ended ||
        !cell->former_settled) {
        return;
    }
    cell->former_owners_ended = true;
    cell->dirty = true;
    struct timespec until = GfTime_AddMs(
        GfClock_Now(cell->clock),
        cell->settings.uncertainty_ms - cell->settings.ownership_valid_ms);
    if (GfTime_Before(until, cell->uncertain_until)) {
        cell->uncertain_until = until;
    }
    GfLog(GF_LOG_INFO, CELL_PART, "former owners have ended token=%lld",
          (long long)cell->settings.token);
}

/* Records the token of the owner that the store names as settled, read after
 * this owner's claim; 0 if it names none. */
void
GfCell_SetSettledToken(GfCell *cell, int64_t token)
{
    assert(cell != NULL);
    cell->former_settled = token == cell->settings.former_token;
    apply_end(cell);
}

/* Records that the owner which this one has replaced has ended: its process is
 * gone, or it has ended its term. */
void
GfCell_FormerOwnerEnded(GfCell *cell)
{
    assert(cell != NULL);
    cell->former_owner_ended = true;
    apply_end(cell);
}

/* Returns whether all former owners are known to have ended. */
bool
GfCell_FormerOwnersEnded(const GfCell *cell)
{
    return cell->former_owners_ended;
}

/* Returns whether a former owner may still start runs. */
bool
CellFormer_MayStartRuns(const GfCell *cell)
{
    return !cell->former_owners_ended && !has_outlasted(cell);
}

/* Returns whether this owner is settled and the store does not say so yet. */
bool
CellFormer_MustStoreSettled(const GfCell *cell)
{
    return !cell->settled_stored && !CellFormer_MayStartRuns(cell);
}

/* Returns the number of workers with a lease of a former owner that have not
 * answered in this term. */
size_t
CellFormer_CountUnheard(const GfCell *cell)
{
    size_t count = 0;
    for (const Worker *w = cell->workers; w != NULL; w = w->hh.next) {
        count += w->former_lease && !w->contacted;
    }
    return count;
}

/* Returns whether a former owner's run may go on on a worker that has not
 * answered in this term. */
static bool
may_run_unseen(const GfCell *cell, struct timespec now)
{
    for (const Worker *w = cell->workers; w != NULL; w = w->hh.next) {
        if (w->former_lease && !w->contacted &&
            GfTime_Before(now, CellLeaseEnd_Uncertain(cell, w))) {
            return true;
        }
    }
    return false;
}

/* Logs how many workers all jobs of a former owner wait for, and one of them,
 * once in UNHEARD_LOG_MS. */
static void
log_unheard(GfCell *cell, size_t count, struct timespec now)
{
    if (count == 0 ||
        GfTime_DiffMs(now, cell->unheard_logged_at) < UNHEARD_LOG_MS) {
        return;
    }
    cell->unheard_logged_at = now;
    const Worker *w = cell->workers;
    while (!w->former_lease || w->contacted) {
        w = w->hh.next;
    }
    GfLog(GF_LOG_INFO, CELL_PART,
          "takeover waits for workers unheard=%zu worker=%s failures=%u "
          "since_ms=%lld",
          count, w->info.id.data, w->hold_failures,
          (long long)GfTime_DiffMs(now, cell->created_at));
}

/* Returns whether a worker with a lease has completions of former runs that
 * this owner has not seen. */
static bool
has_unseen_ends(const GfCell *cell, struct timespec now)
{
    for (const Worker *w = cell->workers; w != NULL; w = w->hh.next) {
        if (w->has_unseen_ends && !w->contacted &&
            GfTime_Before(now, w->lease_until)) {
            return true;
        }
    }
    return false;
}

/* Ends the uncertainty period once every worker with a lease of a former owner
 * has answered, or no run of a former owner can be left, and the completions
 * of those that answered have been seen. */
void
CellFormer_Tick(GfCell *cell, struct timespec now)
{
    if (!cell->placement_started || !cell->in_uncertainty_period) {
        return;
    }
    size_t uncontacted = CellFormer_CountUnheard(cell);
    log_unheard(cell, uncontacted, now);
    if (!may_run_unseen(cell, now) && !has_unseen_ends(cell, now)) {
        cell->in_uncertainty_period = false;
        if (uncontacted > 0) {
            CellCrash_Unseen(cell);
        }
        cell->dirty = true;
        for (Job *j = cell->jobs; j != NULL; j = j->hh.next) {
            j->uncertain = false;
        }
        GfLog(GF_LOG_INFO, CELL_PART,
              "takeover uncertainty period ended unheard=%zu", uncontacted);
    }
}
