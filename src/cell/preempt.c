/* Making room for urgent work. It answers bursts of quick jobs on a fleet
 * that batch work fills: a task of a later class that saves its state when it
 * is stopped gives way to one of an earlier class; it goes on elsewhere, or
 * later, from where it was. */
#include <stdlib.h>

#include <utlist.h>

#include "cell_private.h"
#include "guavaflow/log.h"
#include "guavaflow/metrics.h"

/* A step asks for room again after this; a worker stops a task within 200 ms,
 * and lists the end after that. */
#define PREEMPT_PAUSE_MS 260
/* Waiting shorter than this is not worth a restart elsewhere. */
#define PREEMPT_AFTER_MS 40
/* A task that has run less than this is left alone, so that it is not stopped
 * again and again without getting on. */
#define MIN_RUN_MS 400
/* Most tasks stopped for one more task of an urgent step. */
#define MAX_VICTIMS 2

/* Tells whether a task may be stopped for a step. */
static bool
may_stop(const Task *task, const Step *step, struct timespec now)
{
    const Step *s = task->step;
    return task->state == TASK_RUNNING && !task->stopping && !task->done &&
           s->spec->checkpointed && !s->spec->gang && !s->spec->lasting &&
           !s->spec->filler && s->job->work_class > step->job->work_class &&
           GfTime_DiffMs(now, task->started_at) > MIN_RUN_MS;
}

/* Returns what is free on a worker once all that stops there has ended. */
static GfAmounts
free_soon(const Worker *w)
{
    GfAmounts room = GfAmounts_Minus(w->info.room, w->used);
    const Task *t;
    DL_FOREACH(w->tasks, t)
    {
        if (t->stopping) {
            room = GfAmounts_Plus(room, CellTask_RoomTaken(t->step));
        }
    }
    return room;
}

/* Chooses the tasks to stop on a worker so that one task of the step fits:
 * the largest that may be stopped, one after another. Returns how many, or 0
 * if that is not enough. */
static size_t
choose_victims(const Worker *w, const Step *step, struct timespec now,
               Task **victims)
{
    GfAmounts room = free_soon(w);
    GfAmounts none = {0};
    size_t count = 0;
    while (!GfAmounts_Fit(room, none, step->spec->need)) {
        Task *largest = NULL;
        Task *t;
        DL_FOREACH(w->tasks, t)
        {
            bool taken = false;
            for (size_t i = 0; i < count; i++) {
                taken = taken || victims[i] == t;
            }
            if (!taken && may_stop(t, step, now) &&
                (largest == NULL || t->step->spec->need.mcores >
                                        largest->step->spec->need.mcores)) {
                largest = t;
            }
        }
        if (largest == NULL || count == MAX_VICTIMS) {
            return 0;
        }
        victims[count++] = largest;
        room = GfAmounts_Plus(room, CellTask_RoomTaken(largest->step));
    }
    return count;
}

/* Stops tasks of later classes on workers that advice allows, for as many
 * idle tasks of the step as that can help. */
void
CellPreempt_MakeRoom(GfCell *cell, Step *step, bool needs_advice,
                     struct timespec now)
{
    if (GfTime_Before(now, step->next_preempt_at) ||
        GfTime_DiffMs(now, step->idle_since) < PREEMPT_AFTER_MS) {
        return;
    }
    step->next_preempt_at = GfTime_AddMs(now, PREEMPT_PAUSE_MS);
    uint32_t wanted = step->idle;
    uint32_t stopped = 0;
    for (Worker *w = cell->workers; w != NULL && wanted > 0; w = w->hh.next) {
        if (!CellPlace_Eligible(cell, w, step) ||
            (needs_advice &&
             CellAdvice_Ticket(step, w->serial, now) == NULL) ||
            (step->spec->max_per_worker > 0 &&
             CellPlace_CountOn(w, step) >= step->spec->max_per_worker)) {
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
        GfLog(GF_LOG_INFO, CELL_PART,
              "stopped tasks to make room id=%s step=%u class=%u stopped=%u",
              step->job->id.data, step->number, step->job->work_class,
              stopped);
    }
}
