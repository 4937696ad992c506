/* Jobs, the state of their steps, and the dependencies between these. */
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "cell_private.h"
#include "guavaflow/log.h"
#include "guavaflow/metrics.h"

/* Returns the job, or NULL if it is not known. */
Job *
CellJob_Find(const GfCell *cell, const GfName *id)
{
    Job *job = NULL;
    HASH_FIND(hh, cell->jobs, id->data, id->len, job);
    return job;
}

/* Returns a step of a job, or NULL if a number is out of range or the
 * occurrence is not open. */
Step *
CellJob_Step(Job *job, uint32_t occurrence, uint32_t step)
{
    if (occurrence >= job->spec.occurrences || step >= job->spec.step_count ||
        job->occurrences[occurrence].steps == NULL) {
        return NULL;
    }
    return &job->occurrences[occurrence].steps[step];
}

/* Returns the spec of a task's step, or NULL if its job is not known or has no
 * such task. */
const GfStepSpec *
CellJob_StepSpec(const GfCell *cell, const GfTaskId *id)
{
    const Job *job = CellJob_Find(cell, &id->job);
    if (job == NULL || id->occurrence >= job->spec.occurrences ||
        id->step >= job->spec.step_count ||
        id->index >= job->spec.steps[id->step].task_count) {
        return NULL;
    }
    return &job->spec.steps[id->step];
}

/* Returns the task, or NULL if its job is not known or has no such task, or if
 * the task's step is finished and freed. */
Task *
CellJob_Task(GfCell *cell, const GfTaskId *id)
{
    if (CellJob_StepSpec(cell, id) == NULL) {
        return NULL;
    }
    return CellOccurrence_DemandTask(CellJob_Find(cell, &id->job),
                                     id->occurrence, id->step, id->index);
}

/* Returns whether tasks of the job may run: it is queued or started. */
bool
CellJob_Active(const Job *job)
{
    return job->state == GF_JOB_QUEUED || job->state == GF_JOB_STARTED;
}

/* Adds the step to the list of steps that wait for workers, if it has idle
 * tasks and no unfinished prerequisites, and its tasks are or can be opened.
 */
void
CellJob_AddToWaiting(Step *step)
{
    GfCell *cell = step->job->cell;
    cell->dirty = true;
    if (!step->listed && step->blockers == 0 && step->idle > 0 &&
        CellJob_Active(step->job) && !step->job->loading &&
        CellOccurrence_OpenTasks(step)) {
        DL_APPEND(cell->waiting, step);
        step->listed = true;
        step->idle_since = GfClock_Now(cell->clock);
        step->wait_updated_at = step->idle_since;
        step->wait_cause = WAIT_NONE;
        memset(step->waited_ms, 0, sizeof(step->waited_ms));
        memset(step->reported_ms, 0, sizeof(step->reported_ms));
    }
}

/* Removes the step from the list of waiting steps. */
void
CellJob_RemoveFromWaiting(Step *step)
{
    if (step->listed) {
        DL_DELETE(step->job->cell->waiting, step);
        step->listed = false;
    }
}

/* Records that the job's stored row is out of date. */
void
CellJob_MarkDirty(Job *job)
{
    GfCell *cell = job->cell;
    cell->seq++;
    if (!job->dirty && !job->set_apart) {
        job->dirty = true;
        job->dirty_seq = cell->seq;
        DL_APPEND2(cell->dirty_jobs, job, prev_dirty, next_dirty);
    }
}

/* Changes the state of a job; a final state never changes again. A job that
 * reaches a final state leaves the list of waiting steps with all its
 * steps. */
void
CellJob_SetState(Job *job, GfJobState state)
{
    if (!CellJob_Active(job) || job->state == state) {
        return;
    }
    job->state = state;
    job->set_apart = job->set_apart && CellJob_Active(job);
    CellJob_MarkDirty(job);
    if (CellJob_Active(job)) {
        return;
    }
    job->finished_at = GfClock_Now(job->cell->clock);
    for (uint32_t k = 0; k < job->spec.occurrences; k++) {
        for (uint32_t i = 0; i < job->spec.step_count; i++) {
            Step *step = CellJob_Step(job, k, i);
            if (step != NULL) {
                CellJob_RemoveFromWaiting(step);
                CellAdvice_Clear(step);
            }
        }
    }
    CellOccurrence_Review(job);
    GfMetrics_Observe(GF_HISTOGRAM_JOB,
                      GfTime_DiffMs(job->finished_at, job->accepted_at));
    GfLog(GF_LOG_DETAIL, CELL_PART, "job finished id=%s state=%s age_ms=%lld",
          job->id.data, GfJobState_Name(state),
          (long long)GfTime_DiffMs(job->finished_at, job->accepted_at));
}

/* Handles the completion of a step's last task: adds the steps that it blocked
 * to the waiting list, and completes the job with its last step. */
void
CellJob_FinishStep(Step *step)
{
    Job *job = step->job;
    job->steps_left--;
    job->occurrences[step->occurrence].left--;
    CellOccurrence_Review(job);
    CellJob_RemoveFromWaiting(step);
    CellAdvice_Clear(step);
    for (uint32_t i = 0; i < job->spec.step_count; i++) {
        Step *other = CellJob_Step(job, step->occurrence, i);
        for (size_t k = 0; k < other->spec->prerequisite_count; k++) {
            if (other->spec->prerequisites[k] == step->number &&
                --other->blockers == 0) {
                CellJob_AddToWaiting(other);
            }
        }
    }
    if (job->steps_left == 0) {
        CellJob_SetState(job, GF_JOB_COMPLETED);
    }
}

/* Marks a task as done, or all tasks of a gang as soon as one of them is
 * done. */
void
CellJob_TaskDone(Task *task)
{
    Step *step = task->step;
    if (task->done) {
        return;
    }
    uint32_t first = step->spec->gang ? 0 : task->index;
    uint32_t end = step->spec->gang ? step->spec->task_count : first + 1;
    for (uint32_t i = first; i < end; i++) {
        Task *t = &step->tasks[i];
        if (!t->done) {
            t->done = true;
            CellJobRows_MarkTask(t);
            step->unfinished--;
            if (t->state == TASK_IDLE) {
                step->idle--;
            }
            CellTask_Clear(t);
        }
    }
    if (step->idle == 0) {
        CellJob_RemoveFromWaiting(step);
    }
    if (step->unfinished == 0) {
        CellJob_FinishStep(step);
    }
}

/* Discards the lookup of a job in the store, whether pending or answered. */
void
CellJob_ForgetLookup(GfCell *cell, const GfName *id)
{
    Lookup *lookup = NULL;
    HASH_FIND(hh, cell->lookups, id->data, id->len, lookup);
    if (lookup != NULL) {
        HASH_DELETE(hh, cell->lookups, lookup);
        free(lookup);
    }
}

/* Returns whether an unknown job is known not to exist. If the store has not
 * been asked yet, a lookup is started; false is returned until it answers. */
bool
CellJob_IsAbsent(GfCell *cell, const GfName *id)
{
    Lookup *lookup = NULL;
    HASH_FIND(hh, cell->lookups, id->data, id->len, lookup);
    if (lookup == NULL) {
        lookup = calloc(1, sizeof(*lookup));
        if (lookup == NULL) {
            abort();
        }
        lookup->job = *id;
        HASH_ADD(hh, cell->lookups, job.data, lookup->job.len, lookup);
        cell->ops->look_up(cell->ctx, id);
        return false;
    }
    return lookup->absent;
}

/* Handles a lookup that found no such job in the store. */
void
GfCell_JobNotFound(GfCell *cell, const GfName *id)
{
    Lookup *lookup = NULL;
    HASH_FIND(hh, cell->lookups, id->data, id->len, lookup);
    if (lookup != NULL) {
        lookup->absent = true;
    }
}

/* Handles a lookup that failed; the next inventory starts another one. */
void
GfCell_LookupFailed(GfCell *cell, const GfName *id)
{
    CellJob_ForgetLookup(cell, id);
}

/* Caches the job's queue and team of the current configuration, and the team's
 * use, for the placement decisions. */
void
CellJob_BindConfig(Job *job)
{
    const GfCellConfig *config = job->cell->config;
    job->queue_in_force =
        config == NULL ? NULL : GfCellConfig_FindQueue(config, &job->queue);
    job->team_in_force =
        config == NULL ? NULL : GfCellConfig_FindTeam(config, &job->team);
    job->use = Cell_TeamUse(job->cell, &job->team);
}

/* Computes the job's objective, in ms from its acceptance, and for each step
 * the estimated time from its start to the end of the job. All stay unknown if
 * queue is NULL. */
static void
set_objective(Job *job, const GfQueue *queue)
{
    if (queue == NULL) {
        return;
    }
    int64_t per_step = GfQueue_AdviceMs(queue);
    job->objective_ms = GfQueue_ObjectiveMs(
        queue, GfJobSpec_CriticalPathMs(&job->spec, per_step));
    job->remaining_ms = calloc(job->spec.step_count, sizeof(int64_t));
    if (job->remaining_ms == NULL) {
        abort();
    }
    GfJobSpec_RemainingMs(&job->spec, per_step, job->remaining_ms);
}

/* Returns the memory that a job takes without its steps and tasks. */
static size_t
count_bytes(const Job *job)
{
    size_t bytes = sizeof(*job) + job->spec.payload.len +
                   job->spec.occurrences * sizeof(Occurrence) +
                   job->spec.step_count * sizeof(GfStepSpec);
    for (size_t i = 0; i < job->spec.step_count; i++) {
        bytes += job->spec.steps[i].prerequisite_count * sizeof(uint32_t);
    }
    return bytes;
}

/* Adds a job that finished in a former term; its spec is not needed. state is
 * the stored name. Returns false if that names no final state, or if the job
 * is already known. */
bool
GfCell_AddFinished(GfCell *cell, const GfName *id, const char *state)
{
    int found = GF_JOB_COMPLETED;
    while (found < GF_JOB_STATES &&
           strcmp(GfJobState_Name((GfJobState)found), state) != 0) {
        found++;
    }
    if (found == GF_JOB_STATES || CellJob_Find(cell, id) != NULL) {
        return false;
    }
    Job *job = calloc(1, sizeof(*job));
    if (job == NULL) {
        abort();
    }
    job->cell = cell;
    job->id = *id;
    job->state = (GfJobState)found;
    job->stored_state = job->state;
    job->finished_at = GfClock_Now(cell->clock);
    job->accepted_at = job->finished_at;
    CellJob_ForgetLookup(cell, id);
    HASH_ADD(hh, cell->jobs, id.data, job->id.len, job);
    return true;
}

/* Adds a job that was cancelled before it was accepted, unless it is known.
 * Callers are told that there is no such job; its row is removed like that of
 * a finished one. */
void
GfCell_AddWithdrawn(GfCell *cell, const GfName *id)
{
    if (GfCell_AddFinished(cell, id, GfJobState_Name(GF_JOB_WITHDRAWN))) {
        CellJob_Find(cell, id)->never_accepted = true;
    }
}

/* Adds an accepted job. The content of *spec moves to the job and *spec is
 * zeroed. age_ms is the time since acceptance. progress is the row stored in a
 * former term, or NULL, and stays the caller's. former_term says whether a
 * former owner may have started tasks of the job. Returns false, with *spec
 * cleared, if the job is already known. */
bool
GfCell_AddJob(GfCell *cell, const GfName *id, const GfName *team,
              const GfName *queue, int64_t age_ms, GfJobSpec *spec,
              const json_t *progress, bool former_term)
{
    assert(cell != NULL && id != NULL && spec != NULL);
    if (CellJob_Find(cell, id) != NULL) {
        GfJobSpec_Clear(spec);
        return false;
    }
    Job *job = calloc(1, sizeof(*job));
    if (job == NULL) {
        abort();
    }
    job->cell = cell;
    job->id = *id;
    job->team = *team;
    job->queue = *queue;
    job->spec = *spec;
    memset(spec, 0, sizeof(*spec));
    job->accepted_at = GfTime_AddMs(GfClock_Now(cell->clock), -age_ms);
    /* A former owner may start new jobs too until it has ended or all workers
     * fence it. */
    bool fenced = cell->placement_started && !cell->in_uncertainty_period;
    job->former = former_term;
    job->uncertain = former_term || (!fenced && CellFormer_MayStartRuns(cell));
    CellOccurrence_Init(job);
    CellJob_BindConfig(job);
    const GfQueue *q = job->queue_in_force;
    set_objective(job, q);
    job->work_class = q == NULL || q->work_class >= CELL_CLASSES
                          ? CELL_CLASSES - 1
                          : q->work_class;
    job->bytes = count_bytes(job);
    job->use->job_bytes += job->bytes;
    CellOrder_AddJob(job);
    CellJob_ForgetLookup(cell, id);
    HASH_ADD(hh, cell->jobs, id.data, job->id.len, job);
    job->loading = true;
    if (progress != NULL) {
        CellProgress_Load(job, progress);
    }
    job->loading = false;
    CellAttempts_CheckJob(job);
    CellOccurrence_Review(job);
    CellOccurrence_Update(job, GfTime_WallMs());
    return true;
}

/* Frees what only an active job needs, once no step of it is open. */
void
CellJob_Trim(Job *job)
{
    job->use->job_bytes -= job->bytes;
    GfStr_Clear(&job->spec.payload);
    free(job->remaining_ms);
    job->remaining_ms = NULL;
    job->bytes = count_bytes(job);
    job->use->job_bytes += job->bytes;
}

/* Frees a job and releases its tasks. Callers that wait for it are called with
 * GF_NO_OWNER. */
void
CellJob_Free(Job *job)
{
    GfCell *cell = job->cell;
    for (uint32_t k = 0; k < job->spec.occurrences; k++) {
        for (uint32_t i = 0; i < job->spec.step_count; i++) {
            Step *step = CellJob_Step(job, k, i);
            for (uint32_t t = 0; step != NULL && step->tasks != NULL &&
                                 t < step->spec->task_count;
                 t++) {
                if (step->tasks[t].state != TASK_IDLE) {
                    CellTask_Release(&step->tasks[t]);
                }
            }
        }
    }
    CellOccurrence_Free(job);
    if (job->dirty) {
        DL_DELETE2(cell->dirty_jobs, job, prev_dirty, next_dirty);
    }
    Waiter *w;
    Waiter *tmp;
    LL_FOREACH_SAFE(job->waiters, w, tmp)
    {
        w->done(w->arg, GF_NO_OWNER);
        free(w);
    }
    LL_FOREACH_SAFE(job->commit_waiters, w, tmp)
    {
        w->done(w->arg, GF_NO_OWNER);
        free(w);
    }
    if (job->use != NULL) {
        job->use->job_bytes -= job->bytes;
    }
    HASH_DELETE(hh, cell->jobs, job);
    GfJobSpec_Clear(&job->spec);
    free(job);
}

/* Returns whether the job is known. */
bool
GfCell_HasJob(const GfCell *cell, const GfName *id)
{
    return CellJob_Find(cell, id) != NULL;
}

/* Writes the state to report to callers to *state: a final state is reported
 * only once it is stored, so that it holds after a takeover too. Returns false
 * if the job is not known. */
bool
GfCell_JobState(const GfCell *cell, const GfName *id, GfJobState *state)
{
    const Job *job = CellJob_Find(cell, id);
    if (job == NULL || job->never_accepted) {
        return false;
    }
    *state = job->state;
    if (!CellJob_Active(job) && job->stored_state != job->state) {
        *state = GF_JOB_STARTED;
    }
    return true;
}

/* Cancels a job. done is called with GF_OK once the job's final state is
 * stored, or with GF_NOT_FOUND if there is no such job, or with GF_NO_OWNER if
 * the cell is freed first. A finished job keeps its state. */
void
GfCell_CancelJob(GfCell *cell, const GfName *id, GfCellDone done, void *arg)
{
    Job *job = CellJob_Find(cell, id);
    if (job == NULL || job->never_accepted) {
        done(arg, GF_NOT_FOUND);
        return;
    }
    if (CellJob_Active(job)) {
        CellJob_SetState(job, GF_JOB_WITHDRAWN);
        CellTask_StopJob(job);
    }
    if (job->stored_state == job->state) {
        done(arg, GF_OK);
        return;
    }
    Waiter *w = calloc(1, sizeof(*w));
    if (w == NULL) {
        abort();
    }
    w->done = done;
    w->arg = arg;
    LL_PREPEND(job->waiters, w);
}

/* Returns the number of a queue's jobs of which no task has started. */
size_t
GfCell_CountQueuedJobs(const GfCell *cell, const GfName *queue)
{
    size_t count = 0;
    for (const Job *j = cell->jobs; j != NULL; j = j->hh.next) {
        count += j->state == GF_JOB_QUEUED && GfName_Equal(&j->queue, queue);
    }
    return count;
}

/* Returns the number of known jobs, finished ones included. */
size_t
GfCell_JobCount(const GfCell *cell)
{
    return HASH_COUNT(cell->jobs);
}

/* Writes to jobs the ids of up to max jobs that finished more than keep_ms ago
 * and are stored as finished, so that their rows can be removed, and returns
 * their number. The outcome of each must be reported with GfCell_JobRemoved;
 * until then it is not listed again. */
size_t
GfCell_ListExpiredJobs(GfCell *cell, int64_t keep_ms, GfName *jobs, size_t max)
{
    struct timespec now = GfClock_Now(cell->clock);
    size_t count = 0;
    for (Job *job = cell->jobs; job != NULL && count < max;
         job = job->hh.next) {
        if (!CellJob_Active(job) && !job->dirty && !job->in_commit &&
            !job->in_removal &&
            GfTime_DiffMs(now, job->finished_at) > keep_ms) {
            job->in_removal = true;
            jobs[count++] = job->id;
        }
    }
    return count;
}

/* Handles the outcome of the removal of a job's row. The job is forgotten only
 * then: a row that is still there would be taken for that of a new job. */
void
GfCell_JobRemoved(GfCell *cell, const GfName *id, bool removed)
{
    Job *job = CellJob_Find(cell, id);
    if (job == NULL || !job->in_removal) {
        return;
    }
    job->in_removal = false;
    if (removed) {
        CellJob_Free(job);
    }
}
