/* Preemption, for bursts of quick jobs on workers that batch work fills. Tasks
 * that write a checkpoint when they are stopped are stopped for tasks of an
 * earlier class. They resume from the checkpoint, on any worker. */
#include <stdlib.h>

#include <utlist.h>

#include "cell_private.h"
#include "guavaflow/log.h"
#include "guavaflow/metrics.h"

/* Pause before a step preempts again; a worker stops a task within 200 ms and
 * reports the completion after that. */
#define PREEMPT_PAUSE_MS 260
/* A step that has waited for less does not preempt, as a restart of the
 * stopped task costs more. */
#define PREEMPT_AFTER_MS 40
/* A task that has run for less is not stopped, so that repeated preemption
 * does not keep it from making progress. */
#define MIN_RUN_MS 400
/* Most tasks stopped for one task of the preempting step. */
#define MAX_VICTIMS 2

/* Returns whether a task may be stopped for a task of the step. */
static bool
is_preemptible(const Task *task, const Step *step, struct timespec now)
{
    const Step *s = task->step;
    return task->state == TASK_RUNNING && !task->stopping && !task->done &&
           s->spec->checkpointed && !s->spec->gang && !s->spec->long_running &&
           !s->spec->backfill && s->job->work_class > step->job->work_class &&
           GfTime_DiffMs(now, task->started_at) > MIN_RUN_MS &&
           !CellLateStart_IsPending(task, now);
}

/* Returns a worker's free capacity after all tasks that are being stopped
 * there have ended. */
static GfResources
free_after_stops(const Worker *w)
{
    GfResources free_capacity =
        GfResources_Subtract(w->info.capacity, w->used);
    const Task *t;
    DL_FOREACH(w->tasks, t)
    {
        if (t->stopping) {
            free_capacity = GfResources_Add(
                free_capacity, CellTask_CapacityTaken(t->step->spec));
        }
    }
    return free_capacity;
}

/* Writes to victims the tasks to stop on a worker so that one task of the step
 * fits: the preemptible tasks with the most processors. Returns their number,
 * or 0 if none need to be stopped or if stopping MAX_VICTIMS or all
 * preemptible tasks does not free enough. */
static size_t
choose_victims(const Worker *w, const Step *step, struct timespec now,
               Task **victims)
{
    GfResources free_capacity = free_after_stops(w);
    GfResources none = {0};
    size_t count = 0;
    while (!GfResources_Fit(free_capacity, none, step->spec->need)) {
        Task *largest = NULL;
        Task *t;
        DL_FOREACH(w->tasks, t)
        {
            bool taken = false;
            for (size_t i = 0; i < count; i++) {
                taken = taken || victims[i] == t;
            }
            if (!taken && is_preemptible(t, step, now) &&
                (largest == NULL || t->step->spec->need.mcores >
                                        largest->step->spec->need.mcores)) {
                largest = t;
            }
        }
        if (largest == NULL || count == MAX_VICTIMS) {
            return 0;
        }
        victims[count++] = largest;
        free_capacity = GfResources_Add(
            free_capacity, CellTask_CapacityTaken(largest->step->spec));
    }
    return count;
}

/* Stops tasks of later classes on eligible workers, with a valid ticket if the
 * queue needs advice, for as many of the wanted tasks of the step as possible,
 * those that could start at once. Done at most every PREEMPT_PAUSE_MS for a
 * step, and not for a deferred one. */
void
CellPreempt_FreeCapacity(GfCell *cell, Step *step, uint32_t wanted,
                         bool needs_advice, struct timespec now)
{
    if (step->deferred || GfTime_Before(now, step->next_preempt_at) ||
        GfTime_DiffMs(now, step->idle_since) < PREEMPT_AFTER_MS) {
        return;
    }
    step->next_preempt_at = GfTime_AddMs(now, PREEMPT_PAUSE_MS);
    uint32_t stopped = 0;
    for (Worker *w = cell->workers; w != NULL && wanted > 0; w = w->hh.next) {
        if (!CellFit_Eligible(cell, w, step) ||
            !CellSpeed_Allows(cell, w, step, now) ||
            (needs_advice &&
             CellAdvice_FindTicket(step, w->serial, now) == NULL) ||
            (step->spec->max_per_worker > 0 &&
             CellFit_CountOn(w, step) >= step->spec->max_per_worker)) {
            continue;
        }
        Task *victims[MAX_VICTIMS];
        size_t count = choose_victims(w, step, now, victims);
        for (size_t i = 0; i < count; i++) {
            CellTask_Stop(victims[i]);
            stopped++;
        }
        if (count > 0) {
            CellTask_SendStops(w, now);
            wanted--;
        }
    }
    if (stopped > 0) {
        GfMetrics_Add(GF_METRIC_TASKS_PREEMPTED, stopped);
        GfLog(GF_LOG_NOTICE, CELL_PART,
              "tasks preempted to free capacity id=%s step=%u class=%u "
              "stopped=%u",
              step->job->id.data, step->number, step->job->work_class,
              stopped);
    }
}
