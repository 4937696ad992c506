/* Assignment of tasks to workers, resource accounting, and stop orders. */
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "cell_private.h"

/* Interval at which a stop order is repeated until the completion is reported;
 * a worker carries one out within 200 ms. */
#define STOP_REPEAT_MS 250

/* Returns the id of a task. */
GfTaskId
CellTask_Id(const Task *task)
{
    return (GfTaskId){.job = task->step->job->id,
                      .occurrence = task->step->occurrence,
                      .step = task->step->number,
                      .index = task->index};
}

/* Returns the target of an order to a worker. */
GfOrderTarget
CellTask_Target(const Worker *w)
{
    return (GfOrderTarget){
        .worker = &w->info, .serial = w->serial, .token = w->token};
}

/* Replaces the task's checkpoint by a copy. Ignored if checkpoint is NULL or
 * empty, or if the task is done. */
void
CellTask_SetCheckpoint(Task *task, const char *checkpoint)
{
    if (checkpoint == NULL || checkpoint[0] == '\0' || task->done ||
        (task->checkpoint != NULL &&
         strcmp(task->checkpoint, checkpoint) == 0)) {
        return;
    }
    free(task->checkpoint);
    task->checkpoint = strdup(checkpoint);
    if (task->checkpoint == NULL) {
        abort();
    }
}

/* Records the failure of a run. Returns false if it was recorded before:
 * completions are reported again after a takeover, in any order. */
bool
CellTask_AddFailure(Task *task, int64_t run)
{
    for (uint32_t i = 0; i < task->failures; i++) {
        if (task->failed_runs[i] == run) {
            return false;
        }
    }
    task->failed_runs =
        realloc(task->failed_runs, (task->failures + 1U) * sizeof(int64_t));
    if (task->failed_runs == NULL) {
        abort();
    }
    task->failed_runs[task->failures++] = run;
    return true;
}

/* Frees the checkpoint, the failed runs, the crashes and the sharing of a
 * task. */
void
CellTask_Clear(Task *task)
{
    free(task->checkpoint);
    free(task->failed_runs);
    free(task->crashed_keys);
    free(task->doubted_keys);
    free(task->sharing);
    task->sharing = NULL;
    task->checkpoint = NULL;
    task->failed_runs = NULL;
    task->crashed_keys = NULL;
    task->doubted_keys = NULL;
    task->failures = 0;
    task->crashes = 0;
    task->doubts = 0;
}

/* Returns the resources that a task of a step takes on its worker; a backfill
 * task takes no processors. */
GfResources
CellTask_CapacityTaken(const GfStepSpec *spec)
{
    GfResources need = spec->need;
    if (spec->backfill) {
        need.mcores = 0;
    }
    return need;
}

/* Adds mcores, which may be negative, to what tasks of the step's kind use of
 * a worker's processors. */
static void
count_mcores(Worker *w, const Step *step, int64_t mcores)
{
    if (step->spec->long_running) {
        w->long_running_mcores += mcores;
    }
    else {
        w->class_mcores[step->job->work_class] += mcores;
    }
}

/* Assigns an idle task to a worker and accounts for its resources there and in
 * its team's use. */
void
CellTask_Assign(Task *task, Worker *w, int64_t run, TaskState state)
{
    assert(task->state == TASK_IDLE && !task->done);
    Step *step = task->step;
    GfCell *cell = step->job->cell;
    task->state = (uint8_t)state;
    task->worker = w;
    task->run = run;
    task->stopping = false;
    task->stop_acked = false;
    task->stop_in_flight = false;
    task->start_repeated = false;
    task->start_final = false;
    task->listed = false;
    task->former_start = false;
    task->pending_crash = 0;
    task->started_at = GfClock_Now(cell->clock);
    task->start_sent_at = task->started_at;
    task->progress = (GfRunProgress){0};
    w->probed_at = task->started_at;
    DL_APPEND(w->tasks, task);
    w->used = GfResources_Add(w->used, CellTask_CapacityTaken(step->spec));
    count_mcores(w, step, CellTask_CapacityTaken(step->spec).mcores);
    task->whole_run = state == TASK_STARTING && task->checkpoint == NULL;
    w->backfill_tasks += step->spec->backfill;
    w->latency_tasks += step->spec->latency_target_ms > 0;
    CellNeighbours_Assigned(task);
    CellShare_AddTask(step);
    cell->running++;
    step->assigned++;
    task->intended_serial = 0;
    task->suspect = CellCrash_Suspicion(task) > 0;
    cell->suspects += task->suspect;
    if (state == TASK_RUNNING && CellCrash_IsRecorded(task)) {
        CellJobRows_MarkTask(task);
    }
    step->idle--;
    if (step->idle == 0) {
        CellJob_RemoveFromWaiting(step);
    }
}

/* Records that the current run of a task has begun: its start was answered, or
 * the worker lists it. */
void
CellTask_Confirm(Task *task)
{
    task->state = TASK_RUNNING;
    if (CellCrash_IsRecorded(task)) {
        CellJobRows_MarkTask(task);
    }
}

/* Removes a task from its worker and frees its resources. The task waits again
 * unless it is done. */
void
CellTask_Release(Task *task)
{
    assert(task->state != TASK_IDLE);
    Step *step = task->step;
    GfCell *cell = step->job->cell;
    Worker *w = task->worker;
    CellNeighbours_Released(task);
    DL_DELETE(w->tasks, task);
    w->used =
        GfResources_Subtract(w->used, CellTask_CapacityTaken(step->spec));
    count_mcores(w, step, -CellTask_CapacityTaken(step->spec).mcores);
    w->backfill_tasks -= step->spec->backfill;
    w->latency_tasks -= step->spec->latency_target_ms > 0;
    CellShare_RemoveTask(step);
    cell->running--;
    step->assigned--;
    cell->suspects -= task->suspect;
    task->suspect = false;
    if (CellCrash_IsRecorded(task) && CellJob_Active(step->job)) {
        CellJobRows_MarkTask(task);
    }
    cell->dirty = true;
    task->state = TASK_IDLE;
    task->worker = NULL;
    task->stopping = false;
    task->stop_in_flight = false;
    if (!task->done) {
        step->idle++;
        CellJob_AddToWaiting(step);
    }
    if (step->assigned == 0 &&
        (step->unfinished == 0 || !CellJob_Active(step->job))) {
        CellOccurrence_Review(step->job);
    }
}

/* Marks the task's run to be stopped; CellTask_SendStops sends the order and
 * repeats it until the run has ended. An idle task is ignored. */
void
CellTask_Stop(Task *task)
{
    if (task->state == TASK_IDLE || task->stopping) {
        return;
    }
    task->stopping = true;
    task->stop_in_flight = false;
    task->stop_sent_at = (struct timespec){0};
}

/* Stops all runs of a step. */
static void
stop_step(Step *step, struct timespec now)
{
    for (uint32_t i = 0; i < step->spec->task_count; i++) {
        Task *task = &step->tasks[i];
        if (task->state != TASK_IDLE) {
            CellTask_Stop(task);
            CellTask_SendStops(task->worker, now);
        }
    }
}

/* Stops all runs of a job. */
void
CellTask_StopJob(Job *job)
{
    struct timespec now = GfClock_Now(job->cell->clock);
    for (uint32_t k = 0; k < job->spec.occurrences; k++) {
        for (uint32_t i = 0; i < job->spec.step_count; i++) {
            Step *step = CellJob_Step(job, k, i);
            if (step != NULL && step->assigned > 0) {
                stop_step(step, now);
            }
        }
    }
}

/* Sends the stop orders that are due on a worker. A pending start is stopped
 * after its outcome is known. */
void
CellTask_SendStops(Worker *w, struct timespec now)
{
    Task *task;
    DL_FOREACH(w->tasks, task)
    {
        if (!task->stopping || task->stop_in_flight ||
            task->state == TASK_STARTING ||
            GfTime_DiffMs(now, task->stop_sent_at) < STOP_REPEAT_MS) {
            continue;
        }
        GfCell *cell = task->step->job->cell;
        task->stop_in_flight = true;
        task->stop_sent_at = now;
        GfStopOrder order = {.target = CellTask_Target(w),
                             .task = CellTask_Id(task),
                             .run = task->run};
        cell->ops->stop(cell->ctx, &order);
    }
}

/* Stops all runs of a gang of which one task could not be started. */
void
CellTask_StopGang(Step *step)
{
    stop_step(step, GfClock_Now(step->job->cell->clock));
}
