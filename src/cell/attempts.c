/* The limit of failed runs of a task. It is applied whenever a run fails, when
 * a job is loaded and when the configuration changes, and before each start,
 * since a failure may be counted while the job's queue is not in the
 * configuration. */
#include "cell_private.h"
#include "guavaflow/log.h"

/* Returns the task on which failures are counted: for a gang its first member,
 * whichever member reports the failure, so that a failed gang run counts
 * once. */
Task *
CellAttempts_CountedTask(Task *task)
{
    return task->step->spec->gang ? &task->step->tasks[0] : task;
}

/* Returns whether a task has no attempts left. Long-running tasks have no
 * limit, nor has a job whose queue is not in the configuration. */
static bool
is_exhausted(Task *task)
{
    const Task *counted = CellAttempts_CountedTask(task);
    const GfQueue *queue = task->step->job->queue_in_force;
    return queue != NULL && !counted->done &&
           !task->step->spec->long_running && counted->failures > 0 &&
           counted->failures >= queue->max_attempts;
}

/* Gives up the job of a task that has no attempts left. Returns whether the
 * task has some. */
bool
CellAttempts_Check(Task *task)
{
    Job *job = task->step->job;
    if (!is_exhausted(task) || !CellJob_Active(job)) {
        return CellJob_Active(job);
    }
    GfLog(GF_LOG_INFO, CELL_PART,
          "job given up id=%s step=%u task=%u failures=%u", job->id.data,
          task->step->number, task->index,
          CellAttempts_CountedTask(task)->failures);
    CellJob_SetState(job, GF_JOB_GIVEN_UP);
    CellTask_StopJob(job);
    return false;
}

/* Gives up a job if one of its tasks has no attempts left. */
void
CellAttempts_CheckJob(Job *job)
{
    for (uint32_t k = 0; job->has_failures && k < job->spec.occurrences; k++) {
        for (uint32_t i = 0; i < job->spec.step_count; i++) {
            Step *step = CellJob_Step(job, k, i);
            for (uint32_t t = 0; step != NULL && step->tasks != NULL &&
                                 t < step->spec->task_count;
                 t++) {
                if (!CellAttempts_Check(&step->tasks[t])) {
                    return;
                }
            }
        }
    }
}
