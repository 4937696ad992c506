/* Inventories: a worker's report of its current runs and its completions,
 * compared with the owner's state. */
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "cell_private.h"
#include "guavaflow/log.h"
#include "guavaflow/metrics.h"

/* A worker is avoided after this many consecutive failures of different
 * tasks. */
#define AVOID_AFTER_FAILURES 2
/* First and longest time that such a worker is avoided; it doubles with each
 * further failure. Gray failures, in which a worker answers but fails its
 * tasks, last several seconds. */
#define AVOID_MS 1500
#define AVOID_MAX_MS 12000
/* Added to the time limit of a start that may have arrived just before it. */
#define CLOCK_SLACK_MS 50

/* Updates the worker's count of consecutive failures. Only the first failure
 * of a task counts, since a task that is at fault itself fails on other
 * workers too. */
static void
record_outcome(GfCell *cell, Worker *w, const Task *task, bool failed)
{
    if (!failed) {
        w->consecutive_failures = 0;
        w->has_success = true;
        w->last_success_at = GfClock_Now(cell->clock);
        return;
    }
    if (task->failures > 1) {
        return;
    }
    w->consecutive_failures++;
    if (w->consecutive_failures >= AVOID_AFTER_FAILURES) {
        int64_t ms = AVOID_MS;
        for (uint32_t i = AVOID_AFTER_FAILURES;
             i < w->consecutive_failures && ms < AVOID_MAX_MS; i++) {
            ms *= 2;
        }
        ms = ms < AVOID_MAX_MS ? ms : AVOID_MAX_MS;
        w->avoid_until = GfTime_AddMs(GfClock_Now(cell->clock), ms);
        GfLog(GF_LOG_WARNING, CELL_PART,
              "worker deprioritized after failures worker=%s failures=%u "
              "for_ms=%lld",
              w->info.id.data, w->consecutive_failures, (long long)ms);
    }
}

/* Counts a failed run of a task and gives the job up when the task has no
 * attempts left. Long-running tasks have no limit of attempts. Returns false
 * if the run was counted before. */
static bool
count_failure(Task *task, int64_t run)
{
    Job *job = task->step->job;
    if (task->step->spec->long_running) {
        return true;
    }
    if (!CellTask_AddFailure(task, run)) {
        return false;
    }
    job->has_failures = true;
    CellJobRows_MarkTask(task);
    CellAttempts_Check(task);
    return true;
}

/* Returns whether a job is known here or known not to exist. If neither, which
 * happens for a job that a former owner accepted late, a lookup in the store
 * is started unless one is pending. */
static bool
is_job_resolved(GfCell *cell, const GfName *job)
{
    return CellJob_Find(cell, job) != NULL || CellJob_IsAbsent(cell, job);
}

/* Passes on how long a run took that has completed its task, if it did all of
 * the task's work. A backfill task's run time depends on what others leave
 * it. */
static void
observe_run_time(GfCell *cell, const Task *task)
{
    const GfStepSpec *spec = task->step->spec;
    if (task->whole_run && !task->stopping && !spec->long_running &&
        !spec->backfill) {
        struct timespec now = GfClock_Now(cell->clock);
        GfRunTimes_Observe(cell->run_times, &task->step->job->queue,
                           &task->step->job->team, spec->estimate_ms,
                           GfTime_DiffMs(now, task->started_at), now);
    }
}

/* Applies a completion that a worker reports: releases the task if this was
 * its current run, and records its result or failure, or its checkpoint. */
static void
apply_completion(GfCell *cell, Worker *w, const GfCompletionRow *completion)
{
    Task *task = CellJob_Task(cell, &completion->task);
    if (task == NULL) {
        if (CellJob_StepSpec(cell, &completion->task) != NULL) {
            return; /* its step is finished */
        }
        GfLog(GF_LOG_NOTICE, CELL_PART,
              "completion of unknown task ignored id=%s worker=%s",
              completion->task.job.data, w->info.id.data);
        return;
    }
    Job *job = task->step->job;
    bool current = task->worker == w && task->run == completion->run;
    if (completion->kind != GF_COMPLETION_DONE) {
        CellTask_SetCheckpoint(task, completion->checkpoint);
    }
    if (current && task->former_start) {
        CellWorker_AssumeForeignLease(cell, w);
    }
    if (current && completion->kind == GF_COMPLETION_DONE) {
        CellSpeed_Completed(cell, w, task);
    }
    if (current) {
        if (completion->kind == GF_COMPLETION_DONE) {
            observe_run_time(cell, task);
            CellNeighbours_Completed(task);
        }
        CellTask_Release(task);
    }
    if (!CellJob_Active(job)) {
        return;
    }
    if (completion->kind == GF_COMPLETION_DONE &&
        !task->step->spec->long_running) {
        record_outcome(cell, w, task, false);
        if (!task->done && task->state != TASK_IDLE) {
            /* An older run has completed successfully; the newer one is not
             * needed. */
            CellTask_Stop(task);
        }
        CellJob_TaskDone(task);
    }
    else if (completion->kind == GF_COMPLETION_FAILED) {
        Task *counted = CellAttempts_CountedTask(task);
        if (count_failure(counted, completion->run)) {
            GfLog(GF_LOG_NOTICE, CELL_PART,
                  "run failed id=%s step=%u task=%u run=%lld worker=%s "
                  "failures=%u",
                  job->id.data, task->step->number, task->index,
                  (long long)completion->run, w->info.id.data,
                  counted->failures);
            task->avoid_serial = w->serial;
            counted->avoid_serial = w->serial;
            counted->failed_at = GfClock_Now(cell->clock);
            record_outcome(cell, w, counted, true);
        }
    }
    else if (task->checkpoint != NULL) {
        CellJobRows_MarkTask(task);
    }
    if (completion->kind == GF_COMPLETION_GANG_INCOMPLETE) {
        GfLog(GF_LOG_WARNING, CELL_PART,
              "gang start failed, members missing id=%s worker=%s",
              job->id.data, w->info.id.data);
    }
}

/* Discards a worker's orphan runs and frees the resources that they took. */
void
CellWorker_ClearOrphans(GfCell *cell, Worker *w)
{
    for (size_t i = 0; i < w->orphan_count; i++) {
        const OrphanRun *o = &w->orphans[i];
        w->used = GfResources_Subtract(w->used, o->need);
        w->backfill_tasks -= o->backfill;
        TeamUse *use = Cell_TeamUse(cell, &o->team);
        use->used = GfResources_Subtract(use->used, o->need);
    }
    free(w->orphans);
    w->orphans = NULL;
    w->orphan_count = 0;
    w->unidentified_runs = 0;
}

/* Accounts for the resources of an orphan run until an inventory does not list
 * it any more. If the task is not known its size is unknown, and the worker
 * gets no tasks meanwhile. */
static void
add_orphan(GfCell *cell, Worker *w, const GfTaskId *task)
{
    const GfStepSpec *spec = CellJob_StepSpec(cell, task);
    if (spec == NULL) {
        w->unidentified_runs++;
        return;
    }
    OrphanRun o = {.team = CellJob_Find(cell, &task->job)->team,
                   .need = CellTask_CapacityTaken(spec),
                   .backfill = spec->backfill};
    w->orphans =
        realloc(w->orphans, (w->orphan_count + 1) * sizeof(OrphanRun));
    if (w->orphans == NULL) {
        abort();
    }
    w->orphans[w->orphan_count++] = o;
    w->used = GfResources_Add(w->used, o.need);
    w->backfill_tasks += o.backfill;
    TeamUse *use = Cell_TeamUse(cell, &o.team);
    use->used = GfResources_Add(use->used, o.need);
}

/* Sends a stop order for an orphan run and accounts for its resources. */
static void
stop_orphan(GfCell *cell, Worker *w, const GfRunRow *row)
{
    GfStopOrder order = {
        .target = CellTask_Target(w), .task = row->task, .run = row->run};
    add_orphan(cell, w, &row->task);
    cell->ops->stop(cell->ctx, &order);
    GfLog(GF_LOG_NOTICE, CELL_PART,
          "stopping orphan run id=%s step=%u task=%u worker=%s known=%d",
          row->task.job.data, row->task.step, row->task.index, w->info.id.data,
          CellJob_StepSpec(cell, &row->task) != NULL);
}

/* Applies a run that an inventory lists: confirms the task's current run,
 * adopts the run if the task is idle, or stops the run as an orphan. A run
 * whose job is still being looked up is only counted as unidentified. */
static void
apply_run(GfCell *cell, Worker *w, const GfRunRow *row, struct timespec now)
{
    Task *task = CellJob_Task(cell, &row->task);
    if (!is_job_resolved(cell, &row->task.job)) {
        w->unidentified_runs++;
        return;
    }
    if (task == NULL) {
        stop_orphan(cell, w, row);
        return;
    }
    Job *job = task->step->job;
    if (task->worker == w && task->run == row->run) {
        if (task->state == TASK_STARTING ||
            (task->state == TASK_UNCONFIRMED && !task->stopping)) {
            /* Inventories of the same millisecond may lack the run. */
            task->started_at = now;
            task->whole_run = false;
            CellTask_Confirm(task);
        }
    }
    else if (task->state == TASK_IDLE && !task->done && CellJob_Active(job)) {
        CellTask_Assign(task, w, row->run, TASK_RUNNING);
    }
    else {
        stop_orphan(cell, w, row);
        return;
    }
    if (!task->listed) {
        CellLateStart_Listed(task, w);
    }
    task->inventory_number = w->inventory_number;
    task->listed = true;
    if (task->former_start) {
        task->former_start = false;
        task->pending_crash = 0;
        CellWorker_AssumeForeignLease(cell, w);
    }
    CellNeighbours_Report(task, row);
    CellTask_SetCheckpoint(task, row->checkpoint);
    CellSpeed_Listed(cell, w, task, row->percent, now);
    if (task->state == TASK_RUNNING && job->state == GF_JOB_QUEUED) {
        CellJob_SetState(job, GF_JOB_STARTED);
    }
}

/* Returns whether an unconfirmed start that the latest inventory does not list
 * can no longer be carried out by this incarnation: its time limit had passed
 * on the worker's clock, whatever incarnation it was meant for, or a stop
 * order was carried out before the inventory was requested at sent_at. */
static bool
is_start_void(const Worker *w, const Task *task, struct timespec sent_at)
{
    return w->inventory_clock_ms > task->start_expires_ms + CLOCK_SLACK_MS ||
           (task->stopping && task->stop_acked &&
            !GfTime_Before(sent_at, task->stop_acked_at));
}

/* Handles the worker's tasks that an inventory requested at sent_at does not
 * list. An unconfirmed start that is not repeated is cancelled by a stop
 * order; its task is released when this incarnation can no longer carry the
 * start out. A started run that is missing is taken as lost. None is released
 * before all completions have been seen, since the task may have been
 * completed. */
static void
handle_missing(Worker *w, struct timespec sent_at, struct timespec now)
{
    Task *t;
    Task *tmp;
    DL_FOREACH_SAFE(w->tasks, t, tmp)
    {
        if (t->inventory_number == w->inventory_number ||
            t->state == TASK_STARTING) {
            continue;
        }
        if (t->state == TASK_UNCONFIRMED && !w->has_unseen_ends &&
            is_start_void(w, t, sent_at)) {
            CellCrash_CountPending(t);
            CellTask_Release(t);
        }
        else if (t->state == TASK_UNCONFIRMED && !t->stopping &&
                 !CellLateStart_MayRepeat(t, now)) {
            if (!GfTime_Before(sent_at, t->unconfirmed_since)) {
                /* The start may still arrive: a stop order keeps it from being
                 * carried out late. */
                CellTask_Stop(t);
                if (t->step->spec->gang) {
                    CellTask_StopGang(t->step);
                }
            }
        }
        else if (t->state != TASK_UNCONFIRMED && !w->has_unseen_ends &&
                 GfTime_Before(t->started_at, sent_at)) {
            GfLog(GF_LOG_WARNING, CELL_PART,
                  "run missing from inventory id=%s step=%u task=%u worker=%s",
                  t->step->job->id.data, t->step->number, t->index,
                  w->info.id.data);
            CellTask_Release(t);
        }
    }
}

/* Logs and counts what an inventory shows of orders that an incarnation has
 * taken from before: completions that were acknowledged before anyone has read
 * them, and runs that go on after the end of the lease as it is known here.
 * Numbers of completions count from 1 in each incarnation, and of one that was
 * noticed in this term none has been acknowledged by another owner. */
static void
report_former_orders(const Worker *w, struct timespec sent_at,
                     const GfInventory *inventory)
{
    bool began_here = w->incarnation_began_at.tv_sec != 0;
    if (began_here && inventory->completion_count > 0 &&
        inventory->completions[0].number > w->applied_completion + 1) {
        GfMetrics_Add(GF_METRIC_COMPLETIONS_UNREAD, 1);
        GfLog(GF_LOG_WARNING, CELL_PART,
              "completions acknowledged unread worker=%s applied=%lld "
              "first=%lld",
              w->info.id.data, (long long)w->applied_completion,
              (long long)inventory->completions[0].number);
    }
    if (w->contacted && inventory->run_count > 0 &&
        GfTime_Before(w->lease_until, sent_at)) {
        GfMetrics_Add(GF_METRIC_LEASES_OUTLIVED, 1);
        GfLog(GF_LOG_WARNING, CELL_PART,
              "runs outlive their lease worker=%s runs=%zu by_ms=%lld",
              w->info.id.data, inventory->run_count,
              (long long)GfTime_DiffMs(sent_at, w->lease_until));
    }
}

/* Applies an inventory that was requested at sent_at, unless a newer one has
 * been applied. The inventory stays the caller's. */
void
CellInventory_Apply(GfCell *cell, Worker *w, struct timespec sent_at,
                    const GfInventory *inventory)
{
    if (inventory->incarnation != w->info.incarnation) {
        GfLog(GF_LOG_INFO, CELL_PART, "worker restarted worker=%s",
              w->info.id.data);
        CellWorker_BeginIncarnation(cell, w, inventory->incarnation);
    }
    else if (inventory->clock_ms < w->inventory_clock_ms) {
        return; /* older than one already applied */
    }
    w->inventory_clock_ms = inventory->clock_ms;
    report_former_orders(w, sent_at, inventory);
    CellCrash_WorkerSeen(cell, w, true);
    struct timespec now = GfClock_Now(cell->clock);
    w->inventory_number++;
    w->has_clock = true;
    w->clock_offset_ms = inventory->clock_ms - GfTime_ToMs(now);
    if (!w->contacted) {
        /* A former owner may have granted a lease just now, or the worker may
         * have taken an order that was meant for its former incarnation. */
        int64_t ms = w->former_orders ? CellWorker_ForeignLeaseMs(cell)
                                      : CellWorker_LongestLeaseMs(cell);
        w->lease_until = GfTime_AddMs(now, ms);
    }
    size_t orphans_before = w->orphan_count + w->unidentified_runs;
    CellWorker_ClearOrphans(cell, w);
    CellSpeed_BeginInventory(cell, w, now);
    w->has_unseen_ends = inventory->more_completions;
    for (size_t i = 0; i < inventory->completion_count; i++) {
        const GfCompletionRow *completion = &inventory->completions[i];
        if (completion->number <= w->applied_completion) {
            continue;
        }
        if (!is_job_resolved(cell, &completion->task.job)) {
            /* This completion and those after it are reported again. */
            w->unidentified_runs++;
            w->has_unseen_ends = true;
            break;
        }
        apply_completion(cell, w, completion);
        w->applied_completion = completion->number;
    }
    for (size_t i = 0; i < inventory->run_count; i++) {
        apply_run(cell, w, &inventory->runs[i], now);
    }
    CellSpeed_EndInventory(cell, w, now);
    handle_missing(w, sent_at, now);
    CellNeighbours_InventoryApplied(w);
    if (!w->contacted && w->unidentified_runs == 0 && !w->has_unseen_ends) {
        /* Before, the worker's state stays uncertain. */
        w->contacted = true;
        cell->dirty = true;
    }
    if (orphans_before > 0 && w->orphan_count + w->unidentified_runs == 0) {
        cell->dirty = true;
    }
    if (w->applied_completion > w->acked_completion &&
        w->pending_completion < w->applied_completion) {
        w->pending_completion = w->applied_completion;
        w->pending_seq = cell->seq;
    }
    CellTask_SendStops(w, now);
}
