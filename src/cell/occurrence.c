/* Memory of a job's steps and tasks. A job may have 1,024 occurrences of 64
 * steps of 4,096 tasks; only what can run needs tasks. An occurrence is
 * opened, that is, gets its steps, when it is due; a step gets its tasks when
 * its prerequisites are done; both are freed when they are finished. What is
 * open is bounded, for each team too: the rest waits until something is freed.
 */
#include <stdlib.h>

#include <utlist.h>

#include "cell_private.h"

/* An occurrence is opened so long before it is due. */
#define OPEN_AHEAD_MS 500
/* Bounds of the steps and tasks that are open, in bytes: of all teams and of
 * one. A team may have TEAM_RESERVE_BYTES in any case; the widest step fits.
 */
#define OPEN_BYTES ((size_t)64 * 1024 * 1024)
#define TEAM_OPEN_BYTES (OPEN_BYTES / 2)
#define TEAM_RESERVE_BYTES ((size_t)5 * 256 * 1024)

/* Returns whether a job may open so many bytes more. */
static bool
fits(const Job *job, size_t bytes)
{
    size_t team = job->use->open_bytes + bytes;
    return team <= TEAM_RESERVE_BYTES ||
           (team <= TEAM_OPEN_BYTES &&
            job->cell->open_bytes + bytes <= OPEN_BYTES);
}

/* Allocates zeroed elements for a job and counts their bytes as open. */
static void *
allocate(Job *job, size_t count, size_t size)
{
    void *elements = calloc(count, size);
    if (elements == NULL) {
        abort();
    }
    job->cell->open_bytes += count * size;
    job->use->open_bytes += count * size;
    return elements;
}

/* Counts bytes of a job that were freed. */
static void
count_freed(Job *job, size_t bytes)
{
    job->cell->open_bytes -= bytes;
    job->use->open_bytes -= bytes;
}

/* Has the next tick look at a job, in which something has to be opened or
 * freed. */
void
CellOccurrence_Review(Job *job)
{
    job->review = true;
    if (!job->in_review) {
        job->in_review = true;
        DL_APPEND2(job->cell->reviews, job, prev_review, next_review);
    }
}

/* Takes a job out of the list of those that the next tick looks at. */
static void
end_review(Job *job)
{
    if (job->in_review) {
        job->in_review = false;
        DL_DELETE2(job->cell->reviews, job, prev_review, next_review);
    }
}

/* Returns when an occurrence is due, in ms of the wall clock; 0: at once. */
static int64_t
due_ms(const Job *job, uint32_t occurrence)
{
    return job->spec.first_due_ms > 0
               ? job->spec.first_due_ms + occurrence * job->spec.interval_ms
               : 0;
}

/* Prepares the occurrences of a new job; none is open. */
void
CellOccurrence_Init(Job *job)
{
    job->occurrences = calloc(job->spec.occurrences, sizeof(Occurrence));
    if (job->occurrences == NULL) {
        abort();
    }
    for (uint32_t k = 0; k < job->spec.occurrences; k++) {
        job->occurrences[k].left = (uint32_t)job->spec.step_count;
    }
    job->steps_left = job->spec.occurrences * (uint32_t)job->spec.step_count;
}

/* Allocates the steps of an occurrence, without their tasks. */
static void
open_steps(Job *job, uint32_t occurrence)
{
    Occurrence *o = &job->occurrences[occurrence];
    o->steps = allocate(job, job->spec.step_count, sizeof(Step));
    for (uint32_t i = 0; i < job->spec.step_count; i++) {
        Step *step = &o->steps[i];
        step->job = job;
        step->spec = &job->spec.steps[i];
        step->occurrence = occurrence;
        step->number = i;
        step->blockers = (uint32_t)step->spec->prerequisite_count;
        step->unfinished = step->spec->task_count;
        step->idle = step->unfinished;
        step->due_ms = due_ms(job, occurrence);
        step->remaining_ms =
            job->remaining_ms == NULL ? 0 : job->remaining_ms[i];
    }
}

/* Allocates the tasks of a step. */
static void
open_tasks(Step *step)
{
    step->tasks = allocate(step->job, step->spec->task_count, sizeof(Task));
    CellJobRows_Open(step);
    for (uint32_t i = 0; i < step->spec->task_count; i++) {
        step->tasks[i].step = step;
        step->tasks[i].index = i;
    }
}

/* Returns the step, whose occurrence is opened if it is not finished, whatever
 * is open already; NULL if it is finished or the job is not active. The
 * numbers must be within the spec. */
static Step *
demand_step(Job *job, uint32_t occurrence, uint32_t number)
{
    Occurrence *o = &job->occurrences[occurrence];
    if (o->steps == NULL && o->left > 0 && CellJob_Active(job)) {
        open_steps(job, occurrence);
        CellOccurrence_Review(job);
    }
    return o->steps == NULL ? NULL : &o->steps[number];
}

/* Returns a task of a step, which is opened if it is not finished, whatever is
 * open already: a worker or a stored row names the task. NULL if the step is
 * finished and freed. The numbers must be within the spec. */
Task *
CellOccurrence_DemandTask(Job *job, uint32_t occurrence, uint32_t number,
                          uint32_t index)
{
    Step *step = demand_step(job, occurrence, number);
    if (step == NULL) {
        return NULL;
    }
    if (step->tasks == NULL && step->unfinished > 0 && CellJob_Active(job)) {
        open_tasks(step);
        CellOccurrence_Review(job);
    }
    return step->tasks == NULL ? NULL : &step->tasks[index];
}

/* Marks all tasks of a step as done, as a stored row says, without opening
 * them. */
void
CellOccurrence_FinishStep(Job *job, uint32_t occurrence, uint32_t number)
{
    Step *step = demand_step(job, occurrence, number);
    if (step != NULL && step->tasks == NULL && step->unfinished > 0) {
        step->unfinished = 0;
        step->idle = 0;
        CellJob_FinishStep(step);
    }
}

/* Opens the tasks of a step that may run, if what is open leaves room. Returns
 * whether they are open; if not, a later tick tries again. */
bool
CellOccurrence_OpenTasks(Step *step)
{
    Job *job = step->job;
    if (step->tasks == NULL &&
        !fits(job, step->spec->task_count * sizeof(Task))) {
        CellOccurrence_Review(job);
        return false;
    }
    if (step->tasks == NULL) {
        open_tasks(step);
    }
    return true;
}

/* Frees the tasks of a step. */
static void
free_tasks(Step *step)
{
    for (uint32_t i = 0; step->tasks != NULL && i < step->spec->task_count;
         i++) {
        CellTask_Clear(&step->tasks[i]);
    }
    if (step->tasks != NULL) {
        count_freed(step->job, step->spec->task_count * sizeof(Task));
    }
    free(step->tasks);
    step->tasks = NULL;
    CellJobRows_Close(step);
}

/* Frees the tasks of the finished steps of an occurrence, and its steps if all
 * are finished; all of them in a job that is not active. A step of which a run
 * goes on is left. */
static void
reclaim(Job *job, Occurrence *o)
{
    bool active = CellJob_Active(job);
    bool open = false;
    for (uint32_t i = 0; o->steps != NULL && i < job->spec.step_count; i++) {
        Step *step = &o->steps[i];
        if (step->assigned == 0 && (step->unfinished == 0 || !active)) {
            free_tasks(step);
        }
        open = open || step->tasks != NULL;
    }
    if (o->steps != NULL && !open && (o->left == 0 || !active)) {
        for (uint32_t i = 0; i < job->spec.step_count; i++) {
            CellJob_RemoveFromWaiting(&o->steps[i]);
            CellAdvice_Clear(&o->steps[i]);
        }
        count_freed(job, job->spec.step_count * sizeof(Step));
        free(o->steps);
        o->steps = NULL;
    }
}

/* Returns whether any occurrence of a job is open. */
static bool
is_open(const Job *job)
{
    for (uint32_t k = 0; k < job->spec.occurrences; k++) {
        if (job->occurrences[k].steps != NULL) {
            return true;
        }
    }
    return false;
}

/* Adds the steps of an open occurrence that may run to the waiting ones.
 * Returns false if some could not be opened. */
static bool
list_steps(Job *job, Occurrence *o)
{
    bool all = true;
    for (uint32_t i = 0; o->steps != NULL && i < job->spec.step_count; i++) {
        Step *step = &o->steps[i];
        CellJob_AddToWaiting(step);
        all = all && (step->blockers > 0 || step->unfinished == 0 ||
                      step->tasks != NULL);
    }
    return all;
}

/* Returns whether the next occurrence of a job is to be opened. */
static bool
is_next_due(const Job *job, int64_t wall_ms)
{
    return job->next_occurrence < job->spec.occurrences &&
           due_ms(job, job->next_occurrence) <= wall_ms + OPEN_AHEAD_MS;
}

/* Opens what a job may run and frees what it has finished, and takes it out of
 * the list if neither will be needed before another event of the job. */
void
CellOccurrence_Update(Job *job, int64_t wall_ms)
{
    bool pending = false;
    if (job->review) {
        job->review = false;
        for (uint32_t k = 0; k < job->spec.occurrences; k++) {
            if (job->occurrences[k].steps != NULL) {
                reclaim(job, &job->occurrences[k]);
                pending = !list_steps(job, &job->occurrences[k]) || pending;
            }
        }
    }
    while (CellJob_Active(job) && is_next_due(job, wall_ms)) {
        Occurrence *o = &job->occurrences[job->next_occurrence];
        if (o->steps == NULL && o->left > 0) {
            if (!fits(job, job->spec.step_count * sizeof(Step))) {
                break;
            }
            open_steps(job, job->next_occurrence);
        }
        job->next_occurrence++;
        pending = !list_steps(job, o) || pending;
    }
    if (!CellJob_Active(job) && !is_open(job)) {
        CellJob_Trim(job);
    }
    job->review = job->review || pending;
    if (!job->review && (!CellJob_Active(job) ||
                         job->next_occurrence == job->spec.occurrences)) {
        end_review(job);
    }
}

/* Updates the jobs in which something has to be opened or freed. */
void
CellOccurrence_Tick(GfCell *cell, int64_t wall_ms)
{
    Job *job;
    Job *tmp;
    DL_FOREACH_SAFE2(cell->reviews, job, tmp, next_review)
    {
        CellOccurrence_Update(job, wall_ms);
    }
}

/* Frees all occurrences of a job, whose tasks are not on workers any more, and
 * takes it out of the list. */
void
CellOccurrence_Free(Job *job)
{
    end_review(job);
    for (uint32_t k = 0; job->occurrences != NULL && k < job->spec.occurrences;
         k++) {
        Occurrence *o = &job->occurrences[k];
        for (uint32_t i = 0; o->steps != NULL && i < job->spec.step_count;
             i++) {
            CellJob_RemoveFromWaiting(&o->steps[i]);
            CellAdvice_Clear(&o->steps[i]);
            free_tasks(&o->steps[i]);
        }
        if (o->steps != NULL) {
            count_freed(job, job->spec.step_count * sizeof(Step));
        }
        free(o->steps);
    }
    free(job->occurrences);
    free(job->remaining_ms);
    free(job->obsolete);
}
