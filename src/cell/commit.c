/* Storing of job progress. One transaction is sent at a time, with the rows
 * that changed since the last one. A completion is acknowledged to its worker
 * only after a transaction that contains its effects is committed. */
#include <assert.h>
#include <stdlib.h>

#include <utlist.h>

#include "cell_private.h"

/* Shortest time between transactions; keeps a busy cell under about forty
 * transactions a second. */
#define COMMIT_INTERVAL_MS 25
/* Pause after a failed transaction. */
#define COMMIT_RETRY_PAUSE_MS 200
/* Most rows in a transaction; the store takes 100 entries. */
#define MAX_ROWS 80
/* Most tasks that the lease list names, so that it stays within the size of a
 * row: 15 KB of the store's 64. */
#define MAX_NAMED_TASKS 500

/* Returns a task's entry in the stored lease list. */
static json_t *
encode_task_id(const GfTaskId *id)
{
    return json_pack("[s,i,i,i]", id->job.data, (int)id->occurrence,
                     (int)id->step, (int)id->index);
}

/* Returns a list of the tasks that a closed worker may still run. */
static json_t *
encode_tasks(const Worker *w)
{
    json_t *tasks = json_array();
    const Task *t;
    DL_FOREACH(w->tasks, t)
    {
        GfTaskId id = CellTask_Id(t);
        json_array_append_new(tasks, encode_task_id(&id));
    }
    for (size_t i = 0; !w->contacted && i < w->inherited_count; i++) {
        json_array_append_new(tasks, encode_task_id(&w->inherited[i]));
    }
    return tasks;
}

/* Adds to a worker's entry of the lease list the tasks that it may still run,
 * the end of its lease, 0 if that is not known, and whether it leaves. */
static void
encode_closed(const GfCell *cell, Worker *w, json_t *entry, json_t *tasks)
{
    json_array_append(entry, tasks);
    int64_t end = w->expiry_wanted ? CellLeaseEnd_Shared(cell, w) : 0;
    json_array_append_new(entry, json_integer((json_int_t)end));
    json_array_append_new(entry, json_boolean(w->info.leaving));
    if (w->expiry_wanted) {
        w->lease_frozen = true;
        w->expiry_in_commit = true;
    }
}

/* Returns the list of workers that may hold a lease, for the next owner, and
 * marks the workers as part of this transaction. Closed workers beyond
 * MAX_NAMED_TASKS are listed like the others, without their tasks: then all
 * jobs count as uncertain there. */
static json_t *
encode_lease_list(GfCell *cell)
{
    json_t *list = json_array();
    size_t named = 0;
    for (Worker *w = cell->workers; w != NULL; w = w->hh.next) {
        w->in_commit = w->in_lease_list;
        w->expiry_in_commit = false;
        if (!w->in_lease_list) {
            continue;
        }
        json_t *entry = json_pack("[s,I,s,i]", w->info.id.data,
                                  (json_int_t)w->info.incarnation,
                                  w->info.address, (int)w->info.port);
        w->closed_in_commit = w->closed;
        if (w->closed) {
            json_t *tasks = encode_tasks(w);
            named += json_array_size(tasks);
            if (named <= MAX_NAMED_TASKS) {
                encode_closed(cell, w, entry, tasks);
            }
            json_decref(tasks);
        }
        json_array_append_new(list, entry);
    }
    return list;
}

/* Moves up to MAX_ROWS changed jobs, oldest change first, into the next
 * transaction, together with the callers that wait for them, and sets
 * commit_seq to the last change that the transaction covers. */
static void
collect_jobs(GfCell *cell)
{
    size_t max = MAX_ROWS;
    cell->commit_jobs = malloc(max * sizeof(Job *));
    if (cell->commit_jobs == NULL) {
        abort();
    }
    cell->commit_count = 0;
    Job *job;
    Job *tmp;
    DL_FOREACH_SAFE2(cell->dirty_jobs, job, tmp, next_dirty)
    {
        if (cell->commit_count == max) {
            break;
        }
        DL_DELETE2(cell->dirty_jobs, job, prev_dirty, next_dirty);
        job->dirty = false;
        job->in_commit = true;
        job->commit_first_seq = job->dirty_seq;
        job->commit_state = job->state;
        LL_CONCAT(job->commit_waiters, job->waiters);
        job->waiters = NULL;
        cell->commit_jobs[cell->commit_count++] = job;
    }
    cell->commit_seq =
        cell->dirty_jobs == NULL ? cell->seq : cell->dirty_jobs->dirty_seq - 1;
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
    collect_jobs(cell);
    if (cell->commit_count == 0 && !cell->lease_list_dirty && !settled) {
        /* The completions changed nothing that is stored. */
        cell->commit_has_lease_list = false;
        cell->settled_in_commit = false;
        cell->committing = true;
        GfCell_CommitDone(cell, true);
        return;
    }
    GfName names[MAX_ROWS];
    json_t *rows[MAX_ROWS];
    for (size_t i = 0; i < cell->commit_count; i++) {
        names[i] = cell->commit_jobs[i]->id;
        rows[i] = CellProgress_Save(cell->commit_jobs[i]);
    }
    GfCellCommit commit = {.jobs = names,
                           .rows = rows,
                           .count = cell->commit_count,
                           .settled_token =
                               settled ? cell->settings.token : 0};
    cell->settled_in_commit = settled;
    cell->commit_has_lease_list = cell->lease_list_dirty;
    if (cell->lease_list_dirty) {
        commit.lease_list = encode_lease_list(cell);
        cell->lease_list_dirty = false;
    }
    cell->committing = true;
    cell->next_commit_at = GfTime_AddMs(now, COMMIT_INTERVAL_MS);
    size_t count = cell->commit_count;
    cell->ops->commit(cell->ctx, &commit);
    for (size_t i = 0; i < count; i++) {
        json_decref(rows[i]);
    }
    json_decref(commit.lease_list);
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

/* Marks the workers that the stored lease list now names; only these get
 * tasks. */
static void
mark_stored_list(GfCell *cell)
{
    for (Worker *w = cell->workers; cell->commit_has_lease_list && w != NULL;
         w = w->hh.next) {
        if (w->in_commit && w->in_lease_list && !w->in_stored_list &&
            w->closed_in_commit == w->closed) {
            w->in_stored_list = true;
            cell->dirty = true;
        }
        w->lease_frozen = w->lease_frozen && w->expiry_in_commit;
    }
    cell->commit_has_lease_list = false;
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

/* Handles the outcome of a transaction. committed is false if it was refused;
 * its rows are then sent again. While the outcome is unknown it must not be
 * reported. */
void
GfCell_CommitDone(GfCell *cell, bool committed)
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
    if (committed) {
        cell->stored_seq = cell->commit_seq;
        cell->settled_stored = cell->settled_stored || cell->settled_in_commit;
        mark_stored_list(cell);
        acknowledge_completions(cell);
    }
}
