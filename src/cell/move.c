/* Moves long-running tasks off workers that leave, for the load of a fleet
 * whose workers are released or replaced while they serve. Such a task never
 * completes: left in place it is lost when the worker goes, and then waits for
 * the lease to expire. A worker gives notice of about two seconds at least, so
 * a task is stopped as soon as another worker can take it, with a ticket if
 * its queue needs advice. Other tasks may still complete where they are.
 *
 * With the speeds of workers known, also moves tasks with a checkpoint that
 * cannot complete before their worker leaves, and those on a worker that has
 * become slow that would complete much sooner elsewhere (stragglers; Dean and
 * Ghemawat 2004 run copies of them instead). */
#include <utlist.h>

#include "cell_private.h"
#include "guavaflow/log.h"
#include "guavaflow/metrics.h"

/* How long the capacity for a moved task is kept from others that move; its
 * stop is listed within some 300 ms. */
#define RESERVE_MS 800
/* Pause of a step for which no worker was found; the advice service answers a
 * slow queue within some 500 ms. */
#define PAUSE_MS 100
/* Most tasks stopped in a tick, each after a search of all workers. */
#define MAX_MOVES 16
/* Interval at which stragglers are moved, and the most of them each time. */
#define STRAGGLER_INTERVAL_MS 100
#define MAX_STRAGGLERS 8
/* From the decision to move a task until it runs elsewhere: the stop, its
 * report, the start, and the time to restore the checkpoint. */
#define MOVE_MS 800
/* A straggler is moved if that takes this much off the time that is left. */
#define MIN_GAIN_PERCENT 25
#define MIN_RESTART_GAIN_PERCENT 40 /* without a checkpoint */
/* A task that completes on its worker ends this long before the worker may
 * leave, so that its completion is reported in time. */
#define LEAVE_MARGIN_MS 200
#define PERCENT 100

/* Returns whether a task can be moved. Gangs stay together, and a task stays
 * on the worker that may carry out an earlier start of it. */
static bool
is_movable(const Task *task, struct timespec now)
{
    return task->state == TASK_RUNNING && !task->stopping &&
           !task->step->spec->gang && CellJob_Active(task->step->job) &&
           task->step->job->queue_in_force != NULL &&
           !CellLateStart_IsPending(task, now);
}

/* Returns whether a task is to be moved off its worker, which leaves: it is a
 * long-running one, or has a checkpoint and cannot complete there. */
static bool
leaves_early(const GfCell *cell, const Worker *w, const Task *task,
             struct timespec now)
{
    const GfStepSpec *spec = task->step->spec;
    if (!is_movable(task, now) || spec->long_running) {
        return is_movable(task, now);
    }
    return cell->settings.features.worker_speeds && spec->checkpointed &&
           !spec->backfill &&
           CellSpeed_LeftMs(w, task, now) + LEAVE_MARGIN_MS >
               GfTime_DiffMs(w->leaves_at, now);
}

/* Returns a worker that can take a task beside the tasks that are being moved
 * there, with a ticket if the queue needs advice; NULL if there is none. A
 * slow worker can only take a long-running task. */
static Worker *
find_target(GfCell *cell, const Task *task, struct timespec now)
{
    const Step *step = task->step;
    bool needs_advice = step->job->queue_in_force->needs_advice;
    for (Worker *w = cell->workers; w != NULL; w = w->hh.next) {
        if (!GfTime_Before(now, w->reserved_until)) {
            w->reserved = (GfResources){0};
        }
        GfResources used = GfResources_Add(w->used, w->reserved);
        bool reserved = w->reserved.mcores + w->reserved.memory_mb > 0;
        if (CellFit_IsCandidate(cell, w, step) &&
            !CellCrash_Excludes(cell, w, task) &&
            (step->spec->long_running || !CellSpeed_IsDoubted(cell, w, now)) &&
            GfResources_Fit(w->info.capacity, used, step->spec->need) &&
            !(reserved && step->spec->max_per_worker > 0) &&
            (!needs_advice ||
             CellAdvice_FindTicket(step, w->serial, now) != NULL)) {
            return w;
        }
    }
    return NULL;
}

/* Stops a task if it could start on another worker at once: its job is
 * certain, its team's limit allows it, and a worker has the capacity, which is
 * reserved for RESERVE_MS. Without a ticket, advice is requested first; then,
 * and without a worker, its step pauses. Returns whether the task was
 * stopped. */
static bool
move_task(GfCell *cell, Task *task, struct timespec now)
{
    Step *step = task->step;
    if (GfTime_Before(now, step->next_move_at) ||
        (step->job->uncertain && cell->in_uncertainty_period) ||
        !CellShare_AllowsAgain(task)) {
        return false;
    }
    Worker *target = find_target(cell, task, now);
    if (target != NULL) {
        target->reserved = GfResources_Add(target->reserved, step->spec->need);
        target->reserved_until = GfTime_AddMs(now, RESERVE_MS);
        CellTask_Stop(task);
        return true;
    }
    if (step->job->queue_in_force->needs_advice &&
        CellAdvice_MayAsk(cell, step, now)) {
        CellAdvice_Ask(cell, step, now);
    }
    step->next_move_at = GfTime_AddMs(now, PAUSE_MS);
    return false;
}

/* Returns whether a task on a slow or stuck worker would complete much sooner
 * elsewhere. A task without a checkpoint starts again there, and loses what it
 * has done. Each task is moved at most once for that reason. */
static bool
is_straggler(const Worker *w, const Task *task, struct timespec now)
{
    const GfStepSpec *spec = task->step->spec;
    if (!is_movable(task, now) || task->moved_off_slow || spec->long_running ||
        spec->backfill || task->step->job->objective_ms == 0) {
        return false;
    }
    int64_t left_percent =
        spec->checkpointed ? PERCENT - task->progress.percent : PERCENT;
    int64_t here_ms = CellSpeed_LeftMs(w, task, now);
    int64_t there_ms = spec->estimate_ms * left_percent / PERCENT + MOVE_MS;
    int64_t min_gain =
        spec->checkpointed ? MIN_GAIN_PERCENT : MIN_RESTART_GAIN_PERCENT;
    return (here_ms - there_ms) * PERCENT >= here_ms * min_gain;
}

/* Moves stragglers for which there is capacity on other workers. */
static void
move_stragglers(GfCell *cell, struct timespec now)
{
    if (cell->doubted_workers == 0 ||
        GfTime_DiffMs(now, cell->stragglers_moved_at) <
            STRAGGLER_INTERVAL_MS) {
        return;
    }
    cell->stragglers_moved_at = now;
    uint32_t moved = 0;
    for (Worker *w = cell->workers; w != NULL; w = w->hh.next) {
        if (w->tasks == NULL || !CellSpeed_IsDoubted(cell, w, now)) {
            continue;
        }
        uint32_t before = moved;
        Task *t;
        DL_FOREACH(w->tasks, t)
        {
            if (moved < MAX_STRAGGLERS && is_straggler(w, t, now) &&
                move_task(cell, t, now)) {
                t->moved_off_slow = true;
                moved++;
            }
        }
        if (moved > before) {
            CellTask_SendStops(w, now);
        }
    }
    if (moved > 0) {
        GfMetrics_Add(GF_METRIC_TASKS_MOVED_OFF_SLOW, moved);
        GfLog(GF_LOG_INFO, CELL_PART, "tasks moved off slow workers tasks=%u",
              moved);
    }
}

/* Moves the tasks of leaving workers for which there is capacity elsewhere. */
void
CellMove_Tick(GfCell *cell, struct timespec now)
{
    if (cell->config == NULL || !cell->placement_started ||
        !cell->may_grant_leases || !cell->workers_current) {
        return;
    }
    move_stragglers(cell, now);
    uint32_t left = MAX_MOVES;
    for (Worker *w = cell->workers; w != NULL && left > 0; w = w->hh.next) {
        if (!w->info.leaving || !w->contacted || w->hold_failures > 0) {
            continue;
        }
        uint32_t moved = 0;
        Task *t;
        DL_FOREACH(w->tasks, t)
        {
            moved += moved < left && leaves_early(cell, w, t, now) &&
                     move_task(cell, t, now);
        }
        left -= moved;
        if (moved > 0) {
            CellTask_SendStops(w, now);
            GfLog(GF_LOG_INFO, CELL_PART,
                  "tasks moved off leaving worker worker=%s tasks=%u",
                  w->info.id.data, moved);
        }
    }
}
