/* Creation and configuration of a cell, outcomes of start and stop orders, and
 * the periodic tick. */
#include "guavaflow/cell.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "cell_private.h"
#include "guavaflow/log.h"
#include "guavaflow/metrics.h"

/* Longest time between placement rounds while steps wait, as due times are
 * reached and tickets and the uncertainty period expire without any event. */
#define ROUND_INTERVAL_MS 100
/* How long to avoid a worker that refused a start order or gave no answer to
 * it. */
#define REFUSED_PAUSE_MS 300

static const char *const STATE_NAMES[GF_JOB_STATES] = {
    "queued", "started", "completed", "given_up", "withdrawn"};
static const char *const RESULT_NAMES[GF_ORDER_RESULTS] = {
    "done",      "fenced",  "superseded", "late",   "no_room",
    "no_ticket", "refused", "other_life", "unsent", "unknown"};
static const char *const COMPLETION_NAMES[GF_COMPLETION_KINDS] = {
    "done", "failed", "stopped", "lapsed", "broken", "alone"};

/* Returns the name of a job state, as in stored rows and logs. */
const char *
GfJobState_Name(GfJobState state)
{
    assert(state < GF_JOB_STATES);
    return STATE_NAMES[state];
}

/* Returns the name of an order result, as in logs. */
const char *
GfOrderResult_Name(GfOrderResult result)
{
    assert(result < GF_ORDER_RESULTS);
    return RESULT_NAMES[result];
}

/* Returns the name of a completion kind, as workers report it. */
const char *
GfCompletionKind_Name(GfCompletionKind kind)
{
    assert(kind < GF_COMPLETION_KINDS);
    return COMPLETION_NAMES[kind];
}

/* Writes the completion kind of a name to *kind. Returns false if name is NULL
 * or unknown. */
bool
GfCompletionKind_FromName(const char *name, GfCompletionKind *kind)
{
    for (int i = 0; name != NULL && i < GF_COMPLETION_KINDS; i++) {
        if (strcmp(COMPLETION_NAMES[i], name) == 0) {
            *kind = (GfCompletionKind)i;
            return true;
        }
    }
    return false;
}

/* Creates the scheduler for one term of ownership. settings is copied; ops,
 * ctx and clock must outlive the cell. Tasks are placed after
 * GfCell_StartPlacement. */
GfCell *
GfCell_Create(const GfCellOps *ops, void *ctx, const GfCellSettings *settings,
              const GfClock *clock)
{
    assert(ops != NULL && settings != NULL && clock != NULL);
    GfCell *cell = calloc(1, sizeof(*cell));
    if (cell == NULL) {
        abort();
    }
    cell->ops = ops;
    cell->ctx = ctx;
    cell->settings = *settings;
    cell->stored_version = settings->token;
    cell->clock = clock;
    cell->may_grant_leases = true;
    cell->lease_part_count = 1;
    cell->workers_current = true;
    cell->former_owner_ended = settings->former_token == 0;
    cell->callers = GfCallers_Create();
    cell->created_at = GfClock_Now(clock);
    cell->in_uncertainty_period = true;
    cell->uncertain_until =
        GfTime_AddMs(cell->created_at, settings->uncertainty_ms);
    cell->next_serial = settings->serial_base;
    cell->waits = GfWaitReport_Create();
    cell->waits_reported_at = cell->created_at;
    cell->run_times = GfRunTimes_Create();
    if (settings->features.neighbour_separation) {
        cell->interference = GfInterference_Create();
    }
    return cell;
}

/* Frees the scheduler; NULL is ignored. Callers that wait for a cancellation
 * are called with GF_NO_OWNER. No outcome of an order may be reported
 * afterwards. */
void
GfCell_Destroy(GfCell *cell)
{
    if (cell == NULL) {
        return;
    }
    free(cell->commit_jobs);
    CellCrash_Forget(cell, NULL);
    CellRemoved_Forget(cell, NULL);
    Job *job;
    Job *jtmp;
    HASH_ITER(hh, cell->jobs, job, jtmp)
    {
        CellJob_Free(job);
    }
    HASH_CLEAR(by_serial, cell->workers_by_serial);
    Worker *w;
    Worker *wtmp;
    HASH_ITER(hh, cell->workers, w, wtmp)
    {
        HASH_DELETE(hh, cell->workers, w);
        free(w->orphans);
        free(w->inherited);
        free(w);
    }
    Lookup *lookup;
    Lookup *ltmp;
    HASH_ITER(hh, cell->lookups, lookup, ltmp)
    {
        HASH_DELETE(hh, cell->lookups, lookup);
        free(lookup);
    }
    TeamUse *use;
    TeamUse *utmp;
    HASH_ITER(hh, cell->uses, use, utmp)
    {
        HASH_DELETE(hh, cell->uses, use);
        free(use);
    }
    GfCallers_Destroy(cell->callers);
    CellForesee_Destroy(cell->foresight);
    free(cell->evacuated);
    free(cell->order);
    GfWaitReport_Destroy(cell->waits);
    CellOrder_Free(cell);
    GfRunTimes_Destroy(cell->run_times);
    GfInterference_Destroy(cell->interference);
    free(cell);
}

/* Replaces the configuration and looks up the queue and team of every job
 * again. config stays the caller's and must stay valid until it is replaced or
 * the cell is destroyed. */
void
GfCell_SetConfig(GfCell *cell, const GfCellConfig *config)
{
    cell->config = config;
    cell->dirty = true;
    for (Job *j = cell->jobs; j != NULL; j = j->hh.next) {
        CellJob_BindConfig(j);
        CellAttempts_CheckJob(j);
    }
}

/* Replaces the list of failure domains that are out of service; no task is
 * started in them. domains is copied. */
void
GfCell_SetEvacuated(GfCell *cell, const GfName *domains, size_t count)
{
    free(cell->evacuated);
    cell->evacuated = malloc((count + 1) * sizeof(GfName));
    if (cell->evacuated == NULL) {
        abort();
    }
    if (count > 0) {
        memcpy(cell->evacuated, domains, count * sizeof(GfName));
    }
    cell->evacuated_count = count;
    cell->dirty = true;
}

/* Replaces the list of advice callers; names are copied. A caller in both
 * lists keeps its pending request. */
void
GfCell_SetAdviceCallers(GfCell *cell, const GfName *callers, size_t count)
{
    GfCallers_Set(cell->callers, callers, count);
    cell->dirty = true;
}

/* Sets whether leases may be granted and tasks started. The caller allows it
 * only if it has proved its ownership recently. */
void
GfCell_SetMayGrantLeases(GfCell *cell, bool may_grant_leases)
{
    if (cell->may_grant_leases != may_grant_leases) {
        cell->may_grant_leases = may_grant_leases;
        cell->dirty = true;
        GfLog(GF_LOG_WARNING, CELL_PART, "lease grants %s",
              may_grant_leases ? "resumed, ownership confirmed"
                               : "suspended, ownership not confirmed");
    }
}

/* Sets whether what is known of the platform's worker table is recent. While
 * it is not, no task is started: a worker may leave, and an owner that is too
 * busy to read the table must not start tasks there. */
void
GfCell_SetWorkersCurrent(GfCell *cell, bool current)
{
    if (cell->workers_current != current) {
        cell->workers_current = current;
        cell->dirty = true;
        GfLog(GF_LOG_WARNING, CELL_PART, "starts %s",
              current ? "resumed, worker table current"
                      : "suspended, worker table out of date");
    }
}

/* Starts placement, once jobs and workers of the former term have been added.
 * A task that may still run on a worker that has not answered is not started
 * until the worker answers or the uncertainty period ends. */
void
GfCell_StartPlacement(GfCell *cell)
{
    cell->placement_started = true;
    size_t closed = 0;
    size_t tasks = 0;
    for (const Worker *w = cell->workers; w != NULL; w = w->hh.next) {
        closed += w->inherited != NULL && !w->contacted;
        tasks += w->contacted ? 0 : w->inherited_count;
        for (size_t i = 0; i < w->inherited_count; i++) {
            Task *task = CellJob_Task(cell, &w->inherited[i].task);
            if (task != NULL) {
                task->uncertain_serial = w->serial;
            }
        }
    }
    GfLog(GF_LOG_INFO, CELL_PART,
          "placement started token=%lld closed_unheard=%zu tasks_unseen=%zu "
          "uncertain_ms=%lld",
          (long long)cell->settings.token, closed, tasks,
          (long long)GfTime_DiffMs(cell->uncertain_until,
                                   GfClock_Now(cell->clock)));
    for (const Worker *w = cell->workers; w != NULL; w = w->hh.next) {
        CellCrash_WorkerSeen(cell, w, w->contacted);
    }
    cell->dirty = true;
}

/* Returns whether placement has started. */
bool
GfCell_IsReady(const GfCell *cell)
{
    return cell->placement_started;
}

/* Handles a start order whose outcome is unknown, or that the worker refused
 * as superseded or when it was repeated: the first one may have been carried
 * out all the same. The next inventory shows whether the task runs; if not,
 * the order is repeated, or a stop order keeps the start from being carried
 * out late. The worker is avoided for REFUSED_PAUSE_MS. */
static void
handle_unconfirmed(GfCell *cell, Task *task)
{
    task->state = TASK_UNCONFIRMED;
    task->stop_acked = false;
    task->unconfirmed_since = GfClock_Now(cell->clock);
    task->avoid_serial = task->worker->serial;
    struct timespec pause =
        GfTime_AddMs(task->unconfirmed_since, REFUSED_PAUSE_MS);
    if (GfTime_Before(task->worker->avoid_until, pause)) {
        task->worker->avoid_until = pause;
    }
    if (task->stopping) {
        CellTask_SendStops(task->worker, task->unconfirmed_since);
    }
    CellWorker_Poll(cell, task->worker);
}

/* Handles a start order that was definitely not carried out: the task waits
 * again. The worker is avoided for REFUSED_PAUSE_MS, its ticket is dropped, or
 * it is taken as gone, depending on the result. */
static void
start_refused(GfCell *cell, Worker *w, Task *task, GfOrderResult result)
{
    struct timespec pause =
        GfTime_AddMs(GfClock_Now(cell->clock), REFUSED_PAUSE_MS);
    switch (result) {
    case GF_ORDER_NO_TICKET:
        CellAdvice_DropTicket(task->step, w->serial);
        break;
    case GF_ORDER_OTHER_INCARNATION:
        CellTask_Release(task); /* it did not run there */
        CellCrash_WorkerGone(cell, w, false);
        CellWorker_ReleaseTasks(w, "gone");
        w->listed = false;
        return;
    default:
        if (GfTime_Before(w->avoid_until, pause)) {
            w->avoid_until = pause;
        }
        break;
    }
    CellTask_Release(task);
}

/* Handles the outcome of a start order; serial, id and run are those of the
 * order. An outcome for a run that is no longer current, or whose start an
 * inventory has confirmed, is ignored; GF_ORDER_FENCED is passed to
 * ops->fenced. */
void
GfCell_StartDone(GfCell *cell, uint32_t serial, const GfTaskId *id,
                 int64_t run, GfOrderResult result)
{
    Worker *target = CellWorker_Find(cell, serial);
    if (CellFence_EndsTerm(cell, target, &result)) {
        return;
    }
    if (target != NULL) {
        CellUnanswered_Record(target, result, GfClock_Now(cell->clock));
    }
    Task *task = CellJob_Task(cell, id);
    if (target != NULL && task != NULL && result == GF_ORDER_UNKNOWN) {
        CellLateStart_Record(task, target);
    }
    if (task == NULL || task->worker == NULL ||
        task->worker->serial != serial || task->run != run ||
        task->state != TASK_STARTING) {
        return;
    }
    Worker *w = task->worker;
    Step *step = task->step;
    if (result == GF_ORDER_DONE) {
        CellTask_Confirm(task);
        task->started_at = GfClock_Now(cell->clock);
        CellSpeed_Started(task, task->started_at);
        GfMetrics_Add(GF_METRIC_TASKS_PLACED, 1);
        CellJob_SetState(step->job, GF_JOB_STARTED);
        if (task->stopping) {
            CellTask_SendStops(w, task->started_at);
        }
        return;
    }
    GfLog(GF_LOG_NOTICE, CELL_PART,
          "start not confirmed id=%s step=%u task=%u worker=%s outcome=%s",
          id->job.data, id->step, id->index, w->info.id.data,
          GfOrderResult_Name(result));
    task->start_final = result == GF_ORDER_SUPERSEDED;
    if (result == GF_ORDER_UNKNOWN || result == GF_ORDER_SUPERSEDED ||
        (task->start_repeated && result != GF_ORDER_OTHER_INCARNATION)) {
        GfMetrics_Add(GF_METRIC_TASKS_UNCONFIRMED, 1);
        handle_unconfirmed(cell, task);
    }
    else {
        GfMetrics_Add(GF_METRIC_TASKS_REFUSED, 1);
        start_refused(cell, w, task, result);
        if (step->spec->gang) {
            CellTask_StopGang(step);
        }
    }
}

/* Handles the outcome of a stop order; serial, id and run are those of the
 * order. A stop only counts as acknowledged here; the task is released when an
 * inventory shows that the run is over, or at once if the worker is gone.
 * GF_ORDER_FENCED is passed to ops->fenced. */
void
GfCell_StopDone(GfCell *cell, uint32_t serial, const GfTaskId *id, int64_t run,
                GfOrderResult result)
{
    Worker *w = CellWorker_Find(cell, serial);
    if (CellFence_EndsTerm(cell, w, &result)) {
        return;
    }
    if (w != NULL) {
        CellUnanswered_Record(w, result, GfClock_Now(cell->clock));
    }
    Task *task = CellJob_Task(cell, id);
    if (task == NULL || w == NULL || task->worker != w || task->run != run) {
        return;
    }
    task->stop_in_flight = false;
    if (result == GF_ORDER_DONE && !task->stop_acked) {
        task->stop_acked = true;
        task->stop_acked_at = GfClock_Now(cell->clock);
        if (task->former_start) {
            CellWorker_AssumeForeignLease(cell, w);
        }
        if (task->state == TASK_UNCONFIRMED) {
            CellWorker_Poll(cell, w);
        }
    }
    else if (result == GF_ORDER_OTHER_INCARNATION) {
        CellCrash_WorkerGone(cell, w, false);
        CellWorker_ReleaseTasks(w, "gone");
        w->listed = false;
    }
}

/* Runs a placement round if anything that affects placement has changed. */
void
GfCell_Place(GfCell *cell)
{
    if (cell->dirty) {
        CellPlace_Round(cell, GfClock_Now(cell->clock));
    }
}

/* Does the periodic work: calls workers, expires leases, runs a placement
 * round if one is due, reports waits, and sends the next transaction. */
void
GfCell_Tick(GfCell *cell)
{
    struct timespec now = GfClock_Now(cell->clock);
    CellWorker_Tick(cell, now);
    CellOccurrence_Tick(cell, GfTime_WallMs());
    CellSpeed_Tick(cell, now);
    CellMove_Tick(cell, now);
    CellNeighbours_Tick(cell, now);
    if (cell->waiting != NULL &&
        GfTime_DiffMs(now, cell->round_at) > ROUND_INTERVAL_MS) {
        cell->dirty = true;
    }
    if (cell->dirty) {
        CellPlace_Round(cell, now);
    }
    CellPlaceLog_ReportWaits(cell, now);
    CellCommit_Tick(cell, now);
}
