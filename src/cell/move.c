/* Moves long-running tasks off workers that leave, for the load of a fleet
 * whose workers are released or replaced while they serve. Such a task never
 * completes: left in place it is lost when the worker goes, and then waits for
 * the lease to expire. A worker gives notice of about two seconds at least, so
 * a task is stopped as soon as another worker can take it, with a ticket if
 * its queue needs advice. Other tasks may still complete where they are. */
#include <utlist.h>

#include "cell_private.h"
#include "guavaflow/log.h"

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

/* Returns the number of a step's tasks that wait for a worker or are being
 * stopped, so will wait soon. */
static uint32_t
count_pending(const Step *step)
{
    uint32_t count = step->idle;
    for (uint32_t i = 0; i < step->spec->task_count; i++) {
        count += step->tasks[i].stopping;
    }
    return count;
}

/* Stops a task if, beside those of its step that will wait for one, a worker
 * has capacity for it. Without a ticket, advice is requested first. Returns
 * whether the task was stopped. */
static bool
move_task(GfCell *cell, Task *task, struct timespec now)
{
    Step *step = task->step;
    bool needs_advice = step->job->queue_in_force->needs_advice;
    if (CellPlace_CountCandidates(cell, step, needs_advice, now) >
        count_pending(step)) {
        CellTask_Stop(task);
        return true;
    }
    if (needs_advice && CellAdvice_MayAsk(cell, step, now)) {
        CellAdvice_Ask(cell, step, now);
    }
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
    for (Worker *w = cell->workers; w != NULL; w = w->hh.next) {
        if (!w->info.leaving || !w->contacted || w->hold_failures > 0) {
            continue;
        }
        uint32_t moved = 0;
        Task *t;
        DL_FOREACH(w->tasks, t)
        {
            moved += is_movable(t) && move_task(cell, t, now);
        }
        if (moved > 0) {
            CellTask_SendStops(w, now);
            GfLog(GF_LOG_INFO, CELL_PART,
                  "tasks moved off leaving worker worker=%s tasks=%u",
                  w->info.id.data, moved);
        }
    }
}
