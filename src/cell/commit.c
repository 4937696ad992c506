/* Storing of job progress. One transaction is sent at a time, with the rows
 * that changed since the last one. A completion is acknowledged to its worker
 * only after a transaction that contains its effects is committed. */
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "cell_private.h"
#include "guavaflow/log.h"
#include "guavaflow/metrics.h"

/* Shortest time between transactions; keeps a busy cell under about forty
 * transactions a second. */
#define COMMIT_INTERVAL_MS 25
/* Pause after a failed transaction. */
#define COMMIT_RETRY_PAUSE_MS 200

/* Moves a changed job into the next transaction, together with the callers
 * that wait for it. added: all of its changes are in the transaction, or a
 * part. */
static void
include_job(GfCell *cell, Job *job, RowsAdded added)
{
    job->commit_first_seq = job->dirty_seq;
    if (added == ROWS_ALL) {
        DL_DELETE2(cell->dirty_jobs, job, prev_dirty, next_dirty);
        job->dirty = false;
    }
    job->in_commit = true;
    job->commit_state = job->state;
    LL_CONCAT(job->commit_waiters, job->waiters);
    job->waiters = NULL;
    cell->commit_jobs[cell->commit_count++] = job;
}

/* Moves changed jobs, oldest change first, into the next transaction, as far
 * as there is space for their rows, and sets commit_seq to the last change
 * that the transaction covers. */
static void
collect_jobs(GfCell *cell, RowSet *set)
{
    size_t max = cell->isolate_left > 0 ? 1 : CELL_COMMIT_ROWS;
    cell->commit_jobs = malloc(CELL_COMMIT_ROWS * sizeof(Job *));
    if (cell->commit_jobs == NULL) {
        abort();
    }
    cell->commit_count = 0;
    Job *job;
    Job *tmp;
    DL_FOREACH_SAFE2(cell->dirty_jobs, job, tmp, next_dirty)
    {
        RowsAdded added =
            cell->commit_count < max ? CellJobRows_Add(set, job) : ROWS_NONE;
        if (added == ROWS_NONE) {
            break;
        }
        include_job(cell, job, added);
        if (added == ROWS_PART) {
            break;
        }
    }
    cell->commit_seq =
        cell->dirty_jobs == NULL ? cell->seq : cell->dirty_jobs->dirty_seq - 1;
}

/* Notifies the callers that waited for the job's change to be stored. */
static void
notify_waiters(Job *job)
{
    Waiter *w;
    Waiter *tmp;
    Waiter *all = job->commit_waiters;
    job->commit_waiters = NULL;
    LL_FOREACH_SAFE(all, w, tmp)
    {
        w->done(w->arg, GF_OK);
        free(w);
    }
}

/* Marks the completions covered by the transaction as acknowledged; the next
 * call to each worker says so, and the worker discards them. */
static void
acknowledge_completions(GfCell *cell)
{
    struct timespec now = GfClock_Now(cell->clock);
    for (Worker *w = cell->workers; w != NULL; w = w->hh.next) {
        if (w->pending_completion > w->acked_completion &&
            w->pending_seq <= cell->commit_seq) {
            w->acked_completion = w->pending_completion;
            w->next_hold_at = now;
            if (w->applied_completion > w->acked_completion) {
                w->pending_completion = w->applied_completion;
                w->pending_seq = cell->seq;
            }
        }
    }
}

/* Puts a job whose row was refused back at the head of the list of changed
 * jobs, with the first change that is not stored. With a later number its
 * changes would count as stored once those of other jobs are. */
static void
restore_dirty(GfCell *cell, Job *job)
{
    if (job->dirty) {
        DL_DELETE2(cell->dirty_jobs, job, prev_dirty, next_dirty);
    }
    job->dirty = true;
    job->dirty_seq = job->commit_first_seq;
    DL_PREPEND2(cell->dirty_jobs, job, prev_dirty, next_dirty);
}

/* Applies the outcome of a transaction. committed is false if it was refused;
 * its rows are then sent again. */
static void
finish_commit(GfCell *cell, bool committed)
{
    assert(cell->committing);
    cell->committing = false;
    Job **jobs = cell->commit_jobs;
    size_t count = cell->commit_count;
    cell->commit_jobs = NULL;
    cell->commit_count = 0;
    if (!committed) {
        cell->next_commit_at =
            GfTime_AddMs(GfClock_Now(cell->clock), COMMIT_RETRY_PAUSE_MS);
        cell->lease_list_dirty =
            cell->lease_list_dirty || cell->commit_has_lease_list;
    }
    for (size_t i = count; i-- > 0;) {
        Job *job = jobs[i];
        job->in_commit = false;
        CellJobRows_Done(job, committed);
        if (!committed) {
            LL_CONCAT(job->waiters, job->commit_waiters);
            job->commit_waiters = NULL;
            restore_dirty(cell, job);
            continue;
        }
        job->stored_state = job->commit_state;
        notify_waiters(job);
    }
    free(jobs);
    if (committed && cell->isolate_left > 0) {
        cell->isolate_left -= count > 0;
        cell->isolate_left = cell->dirty_jobs == NULL ? 0 : cell->isolate_left;
    }
    if (committed) {
        cell->stored_seq = cell->commit_seq;
        cell->settled_stored = cell->settled_stored || cell->settled_in_commit;
        if (cell->commit_has_lease_list) {
            CellLeaseList_Stored(cell);
        }
        cell->commit_has_lease_list = false;
        acknowledge_completions(cell);
    }
}

/* Handles the outcome of a transaction. version is the one that the store has
 * given it, or 0 if it was refused; its rows are then sent again. While the
 * outcome is unknown it must not be reported. */
void
GfCell_CommitDone(GfCell *cell, int64_t version)
{
    if (version > 0) {
        CellFence_Stored(cell, version);
    }
    finish_commit(cell, version > 0);
}

/* Sends the next transaction if anything has to be stored or acknowledged and
 * none is pending. */
void
CellCommit_Tick(GfCell *cell, struct timespec now)
{
    CellWorker_UpdateList(cell, now);
    bool settled = CellFormer_MustStoreSettled(cell);
    bool pending =
        cell->dirty_jobs != NULL || cell->lease_list_dirty || settled;
    for (const Worker *w = cell->workers; !pending && w != NULL;
         w = w->hh.next) {
        pending = w->pending_completion > w->acked_completion;
    }
    if (!pending || cell->committing || !cell->placement_started ||
        GfTime_Before(now, cell->next_commit_at)) {
        return;
    }
    RowSet set = {.count = 0};
    bool has_lease_list = cell->lease_list_dirty && cell->isolate_left == 0;
    if (has_lease_list) {
        CellLeaseList_Add(cell, &set);
    }
    collect_jobs(cell, &set);
    cell->committing = true;
    cell->settled_in_commit = settled;
    cell->commit_has_lease_list = has_lease_list;
    if (set.count == 0 && !settled) {
        /* The completions changed nothing that is stored. */
        finish_commit(cell, true);
        return;
    }
    GfCellCommit commit = {.rows = set.rows,
                           .count = set.count,
                           .settled_token =
                               settled ? cell->settings.token : 0};
    cell->next_commit_at = GfTime_AddMs(now, COMMIT_INTERVAL_MS);
    cell->ops->commit(cell->ctx, &commit);
    CellRows_Clear(&set);
}

/* Leaves a job out of the transactions, since the store refuses its row for
 * good, until it has a final state. Its tasks go on; their changes do not hold
 * up those of other jobs. */
static void
set_apart(GfCell *cell, Job *job, size_t bytes)
{
    GfLog(GF_LOG_ERROR, CELL_PART,
          "job's row refused by the store, set apart id=%s bytes=%zu",
          job->id.data, bytes);
    GfMetrics_Add(GF_METRIC_ROWS_SET_APART, 1);
    DL_DELETE2(cell->dirty_jobs, job, prev_dirty, next_dirty);
    job->dirty = false;
    job->set_apart = true;
}

/* Handles a transaction that the store would refuse again. The jobs in it get
 * transactions of their own, to tell which one is refused; that one is set
 * apart. */
void
GfCell_CommitRejected(GfCell *cell)
{
    assert(cell->committing);
    size_t count = cell->commit_count;
    bool alone = count == 1 && !cell->commit_has_lease_list;
    Job *first = count > 0 ? cell->commit_jobs[0] : NULL;
    finish_commit(cell, false);
    if (alone) {
        char *row = CellRows_Dump(CellProgress_Save(first));
        set_apart(cell, first, strlen(row));
        free(row);
        cell->isolate_left -= cell->isolate_left > 0;
        return;
    }
    cell->isolate_left = count;
    GfLog(GF_LOG_ERROR, CELL_PART,
          "transaction refused by the store jobs=%zu lease_list=%d", count,
          cell->commit_has_lease_list);
}
