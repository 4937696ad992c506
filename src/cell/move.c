/* Moves long-running tasks off workers that leave, for the load of a fleet
 * whose workers are released or replaced while they serve. Such a task never
 * completes: left in place it is lost when the worker goes, and then waits for
 * the lease to expire. A worker gives notice of about two seconds at least, so
 * a task is stopped as soon as another worker can take it, with a ticket if
 * its queue needs advice. Other tasks may still complete where they are. */
#include <utlist.h>

#include "cell_private.h"
#include "guavaflow/log.h"

/* How long the capacity for a moved task is kept from others that move; its
 * stop is listed within some 300 ms. */
#define RESERVE_MS 800
/* Pause of a step for which no worker was found; the advice service answers a
 * slow queue within some 500 ms. */
#define PAUSE_MS 100
/* Most tasks stopped in a tick, each after a search of all workers. */
#define MAX_MOVES 16

/* Returns whether a task is to be moved off its worker, which leaves. Gangs
 * stay together. */
static bool
is_movable(const Task *task)
{
    const GfStepSpec *spec = task->step->spec;
    return task->state == TASK_RUNNING && !task->stopping &&
           spec->long_running && !spec->gang &&
           CellJob_Active(task->step->job) &&
           task->step->job->queue_in_force != NULL;
}

/* Returns a worker that can take a task beside the tasks that are being moved
 * there, with a ticket if the queue needs advice; NULL if there is none. */
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
 * certain, its team within its limit, and a worker has the capacity, which is
 * reserved for RESERVE_MS. Without a ticket, advice is requested first; then,
 * and without a worker, its step pauses. Returns whether the task was
 * stopped. */
static bool
move_task(GfCell *cell, Task *task, struct timespec now)
{
    Step *step = task->step;
    if (GfTime_Before(now, step->next_move_at) ||
        (step->job->uncertain && cell->in_uncertainty_period) ||
        !CellShare_Allows(step, 0)) {
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

/* Moves the tasks of leaving workers for which there is capacity elsewhere. */
void
CellMove_Tick(GfCell *cell, struct timespec now)
{
    if (cell->config == NULL || !cell->placement_started ||
        !cell->may_grant_leases || !cell->workers_current) {
        return;
    }
    uint32_t left = MAX_MOVES;
    for (Worker *w = cell->workers; w != NULL && left > 0; w = w->hh.next) {
        if (!w->info.leaving || !w->contacted || w->hold_failures > 0) {
            continue;
        }
        uint32_t moved = 0;
        Task *t;
        DL_FOREACH(w->tasks, t)
        {
            moved += moved < left && is_movable(t) && move_task(cell, t, now);
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
