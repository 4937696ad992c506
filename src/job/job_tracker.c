#include <assert.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "guavaflow/log.h"
#include "guavaflow/metrics.h"
#include "job_tracker_private.h"

/* Creates a job tracker with no open partition. The config is copied; fleet,
 * control, clock, ops and ctx must outlive the tracker. Free with
 * GfJobTracker_Destroy. */
GfJobTracker *
GfJobTracker_Create(const GfJobTrackerConfig *config, GfFleet *fleet,
                    const GfControl *control, const GfClock *clock,
                    const GfJobTrackerOps *ops, void *ctx)
{
    assert(config != NULL && config->partitions <= JOB_TRACKER_MAX_PARTITIONS);
    GfJobTracker *jt = calloc(1, sizeof(*jt));
    if (jt == NULL) {
        abort();
    }
    jt->config = *config;
    jt->fleet = fleet;
    jt->control = control;
    jt->clock = clock;
    jt->ops = ops;
    jt->ctx = ctx;
    jt->queue = GfWaitQueue_Create();
    return jt;
}

/* Changes a task's state, updates the count of tasks in each state, and moves
 * the task into or out of the wait queue. */
void
JobTracker_SetState(GfJobTracker *jt, GfJobTask *t, GfJobTaskState state)
{
    jt->state_counts[t->state]--;
    jt->state_counts[state]++;
    t->state = state;
    if (state == GF_JOB_WAITING && !t->queued && t->job->accepted) {
        GfWaitQueue_Push(jt->queue, t);
    }
    else if (state != GF_JOB_WAITING) {
        GfWaitQueue_Remove(jt->queue, t);
    }
}

/* Removes a job from the job tracker and frees it. */
static void
delete_job(GfJobTracker *jt, JobTrackerJob *e)
{
    for (uint32_t i = 0; i < e->job->spec.count; i++) {
        GfWaitQueue_Remove(jt->queue, &e->job->tasks[i]);
        jt->state_counts[e->job->tasks[i].state]--;
    }
    HASH_DEL(jt->jobs, e);
    GfJob_Destroy(e->job);
    free(e);
}

/* Frees the job tracker and its jobs. No append may call back after this. NULL
 * is allowed. */
void
GfJobTracker_Destroy(GfJobTracker *tracker)
{
    if (tracker == NULL) {
        return;
    }
    JobTrackerJob *e;
    JobTrackerJob *tmp;
    HASH_ITER(hh, tracker->jobs, e, tmp)
    {
        delete_job(tracker, e);
    }
    for (int i = 0; i < JOB_TRACKER_MAX_PARTITIONS; i++) {
        free(tracker->partitions[i].inventoried);
    }
    GfWaitQueue_Destroy(tracker->queue);
    free(tracker);
}

/* Returns the job with an id, or NULL. */
GfJob *
JobTracker_FindJob(const GfJobTracker *jt, const GfName *id)
{
    JobTrackerJob *e;
    HASH_FIND(hh, jt->jobs, id, sizeof(*id), e);
    return e == NULL ? NULL : e->job;
}

/* Adds a job that is not accepted yet and whose tasks wait. */
static GfJob *
add_job(GfJobTracker *jt, const GfJobSpec *spec)
{
    JobTrackerJob *e = calloc(1, sizeof(*e));
    if (e == NULL) {
        abort();
    }
    e->job = GfJob_Create(spec);
    e->id = spec->id;
    HASH_ADD(hh, jt->jobs, id, sizeof(e->id), e);
    jt->state_counts[GF_JOB_WAITING] += spec->count;
    return e->job;
}

/* Returns the task that an attempt's id names and sets *attempt, or returns
 * NULL if there is no such task. The attempt need not be the task's current
 * one. */
GfJobTask *
JobTracker_FindTask(const GfJobTracker *jt, const GfName *id,
                    uint32_t *attempt)
{
    GfName job_id = GfTask_Job(id);
    GfJob *job = JobTracker_FindJob(jt, &job_id);
    uint32_t index = 0;
    if (job == NULL || !GfJobTask_ParseId(id, &index, attempt) ||
        index >= job->spec.count) {
        return NULL;
    }
    return &job->tasks[index];
}

/* Removes the jobs of a partition that this entry no longer owns, or whose
 * journal it is about to replay. */
void
GfJobTracker_ClosePartition(GfJobTracker *tracker, uint32_t partition)
{
    JobTrackerJob *e;
    JobTrackerJob *tmp;
    HASH_ITER(hh, tracker->jobs, e, tmp)
    {
        if (e->job->partition == partition) {
            delete_job(tracker, e);
        }
    }
    tracker->partitions[partition].open = false;
}

/* Applies a task's record. A record with an unknown index or state is
 * ignored. */
static void
replay_task(GfJobTracker *jt, GfJob *job, const json_t *record)
{
    json_int_t index = json_integer_value(json_object_get(record, "i"));
    json_int_t state = json_integer_value(json_object_get(record, "s"));
    if (index < 0 || index >= job->spec.count || state < 0 ||
        state >= GF_JOB_STATES) {
        return;
    }
    GfJobTask *t = &job->tasks[index];
    JobTracker_SetState(jt, t, (GfJobTaskState)state);
    t->durable = true;
    t->attempt = (uint32_t)json_integer_value(json_object_get(record, "a"));
    t->exit_code = (int)json_integer_value(json_object_get(record, "x"));
    GfName_SetText(&t->rack, json_string_value(json_object_get(record, "r")));
}

/* Applies one record of a partition's journal, in the order of the journal.
 * Malformed records and records of unknown jobs are ignored. The record stays
 * with the caller. */
void
GfJobTracker_ReplayRecord(GfJobTracker *tracker, const json_t *record)
{
    const char *type = json_string_value(json_object_get(record, "t"));
    const char *text = json_string_value(json_object_get(record, "id"));
    GfName id;
    if (type == NULL || text == NULL || !GfName_SetText(&id, text)) {
        return;
    }
    GfJob *job = JobTracker_FindJob(tracker, &id);
    if (strcmp(type, "job") == 0 && job == NULL) {
        GfJobSpec spec;
        if (GfJob_FromRecord(record, &spec)) {
            add_job(tracker, &spec);
        }
    }
    else if (strcmp(type, "task") == 0 && job != NULL) {
        replay_task(tracker, job, record);
    }
    else if (strcmp(type, "cancel") == 0 && job != NULL) {
        job->cancelled = true;
    }
}

/* Sets the state of a task after its partition was taken over. A repeatable
 * task may be running anywhere, as no record precedes its start. A task that
 * is not repeatable is sent only after its intent is durable, so without that
 * record it does not run. */
static void
recover_task(GfJobTracker *jt, GfJobTask *t)
{
    if (GfJobTask_IsFinal(t)) {
        t->durable = true;
        return;
    }
    bool intended = t->state == GF_JOB_INTENT;
    if (!t->job->spec.repeatable && !intended) {
        JobTracker_SetState(
            jt, t, t->job->cancelled ? GF_JOB_CANCELLED : GF_JOB_WAITING);
        return;
    }
    t->durable = false;
    JobTracker_SetState(jt, t, GF_JOB_UNCONFIRMED);
}

/* Starts to track a partition of which all records have been replayed. The
 * epoch is that of this entry's ownership; it is higher than that of every
 * former owner. */
void
GfJobTracker_OpenPartition(GfJobTracker *tracker, uint32_t partition,
                           uint64_t epoch)
{
    JobTrackerPartition *p = &tracker->partitions[partition];
    p->open = true;
    p->epoch = epoch;
    p->seq = 0;
    p->recovering = true;
    p->inventoried_count = 0;
    JobTrackerJob *e;
    JobTrackerJob *tmp;
    HASH_ITER(hh, tracker->jobs, e, tmp)
    {
        if (e->job->partition != partition) {
            continue;
        }
        e->job->accepted = true;
        for (uint32_t i = 0; i < e->job->spec.count; i++) {
            recover_task(tracker, &e->job->tasks[i]);
        }
    }
}

/* Appends to records what replaces all records of a partition so far. Finished
 * jobs are included, so that their status can still be asked for. Started
 * tasks that are not repeatable are recorded as intended: the next owner must
 * assume that they run. */
void
GfJobTracker_Snapshot(const GfJobTracker *tracker, uint32_t partition,
                      json_t *records)
{
    for (JobTrackerJob *e = tracker->jobs; e != NULL; e = e->hh.next) {
        const GfJob *job = e->job;
        if (job->partition != partition || !job->accepted) {
            continue;
        }
        json_array_append_new(records, GfJob_Record(job));
        if (job->cancelled) {
            json_array_append_new(records, GfJob_CancelRecord(job));
        }
        for (uint32_t i = 0; i < job->spec.count; i++) {
            const GfJobTask *t = &job->tasks[i];
            bool final = GfJobTask_IsFinal(t) && t->durable;
            bool intended = !job->spec.repeatable &&
                            t->state != GF_JOB_WAITING &&
                            !GfJobTask_IsFinal(t);
            if (final || intended) {
                json_t *record = GfJobTask_Record(t);
                if (intended) {
                    json_object_set_new(record, "s",
                                        json_integer(GF_JOB_INTENT));
                }
                json_array_append_new(records, record);
            }
        }
    }
}

/* Tells a caller that its job has been accepted. */
static void
answer_submit(GfAnswerCallback callback, void *arg, const GfJob *job)
{
    GfAnswer answer = GfAnswer_Make(GF_OK, GF_RAN_YES, "accepted");
    GfAnswer_SetJson(&answer, json_pack("{s:s,s:i}", "job", job->spec.id.data,
                                        "count", (int)job->spec.count));
    callback(arg, &answer);
    GfAnswer_Clear(&answer);
}

/* Called when a job's record is durable or never will be: queues the tasks and
 * answers the caller, or answers that the job was not accepted. */
static void
on_accepted(void *arg, GfErrorKind kind)
{
    JobTrackerAppendArg *p = arg;
    GfJob *job = JobTracker_FindJob(p->tracker, &p->job);
    if (kind == GF_OK && job != NULL) {
        job->accepted = true;
        GfMetrics_Add(GF_METRIC_JOBS_ACCEPTED, 1);
        for (uint32_t i = 0; i < job->spec.count; i++) {
            JobTracker_SetState(p->tracker, &job->tasks[i], GF_JOB_WAITING);
        }
        answer_submit(p->callback, p->arg, job);
    }
    else {
        GfAnswer answer = GfAnswer_Make(
            GF_NO_OWNER, GF_RAN_NO,
            "the job was not accepted: its partition has another owner");
        p->callback(p->arg, &answer);
    }
    free(p);
}

/* Accepts a job, or refuses it. The callback is called with arg once: after
 * the job's record is durable, or at once on refusal. A job that is already
 * accepted is answered as accepted and not added again, so submissions may be
 * repeated. The spec must have an id and a team; it is copied.
 *
 * Refusals: GF_BUSY if the same job is still being accepted or too many tasks
 * wait, GF_NEVER_FITS if a task needs more than the largest worker of every
 * rack has, and GF_NO_OWNER if the partition was lost meanwhile. */
void
GfJobTracker_Submit(GfJobTracker *tracker, const GfJobSpec *spec,
                    GfAnswerCallback callback, void *arg)
{
    GfJob *known = JobTracker_FindJob(tracker, &spec->id);
    if (known != NULL && known->accepted) {
        answer_submit(callback, arg, known);
        return;
    }
    GfAnswer refusal = {.kind = GF_OK};
    if (known != NULL) {
        refusal = GfAnswer_Make(GF_BUSY, GF_RAN_UNKNOWN,
                                "a submission of the same job is in progress");
    }
    else if (!GfFleet_CanEverFit(tracker->fleet, &spec->need)) {
        refusal = GfAnswer_Make(
            GF_NEVER_FITS, GF_RAN_NO,
            "no worker has %u millicores, %u MB and %u accelerators",
            spec->need.mcores, spec->need.memory_mb, spec->need.accelerators);
    }
    else if (GfWaitQueue_Count(tracker->queue) + spec->count >
             tracker->config.max_waiting) {
        refusal = GfAnswer_Make(GF_BUSY, GF_RAN_NO,
                                "the queue of waiting tasks is full");
    }
    if (refusal.kind != GF_OK) {
        callback(arg, &refusal);
        return;
    }
    GfJob *job = add_job(tracker, spec);
    JobTrackerAppendArg *p = calloc(1, sizeof(*p));
    if (p == NULL) {
        abort();
    }
    *p = (JobTrackerAppendArg){.tracker = tracker, .job = spec->id};
    p->callback = callback;
    p->arg = arg;
    tracker->ops->append(tracker->ctx, job->partition, GfJob_Record(job),
                         on_accepted, p);
}

/* Returns an accepted job of the team, or NULL with the refusal set. A job of
 * another team is reported as absent. */
static GfJob *
find_visible(const GfJobTracker *jt, const GfName *id, const GfName *team,
             GfAnswer *refusal)
{
    GfJob *job = JobTracker_FindJob(jt, id);
    if (job == NULL || !job->accepted ||
        !GfName_Equal(&job->spec.team, team)) {
        *refusal = GfAnswer_Make(GF_NOT_FOUND, GF_RAN_NO,
                                 "this team has no job %s", id->data);
        return NULL;
    }
    return job;
}

/* Returns the status of a team's job, or GF_NOT_FOUND. The caller clears the
 * answer. */
GfAnswer
GfJobTracker_Status(const GfJobTracker *tracker, const GfName *job,
                    const GfName *team)
{
    GfAnswer answer;
    const GfJob *found = find_visible(tracker, job, team, &answer);
    if (found != NULL) {
        answer = GfAnswer_Make(GF_OK, GF_RAN_YES, "%s", "");
        GfAnswer_SetJson(&answer, GfJob_Status(found));
    }
    return answer;
}

/* Called when the record of a task's final state is durable or never will
 * be. */
static void
on_task_durable(void *arg, GfErrorKind kind)
{
    JobTrackerAppendArg *p = arg;
    GfJob *job = JobTracker_FindJob(p->tracker, &p->job);
    if (kind == GF_OK && job != NULL && p->index < job->spec.count) {
        job->tasks[p->index].durable = true;
    }
    free(p);
}

/* Returns the context for the callback of an append about a task; the callback
 * frees it. */
JobTrackerAppendArg *
JobTracker_MakeAppendArg(GfJobTracker *jt, const GfJobTask *t)
{
    JobTrackerAppendArg *p = calloc(1, sizeof(*p));
    if (p == NULL) {
        abort();
    }
    *p = (JobTrackerAppendArg){.tracker = jt,
                               .job = t->job->spec.id,
                               .index = t->index,
                               .attempt = t->attempt};
    return p;
}

/* Moves a task to a final state and appends the record of it. */
void
JobTracker_FinishTask(GfJobTracker *jt, GfJobTask *t, GfJobTaskState state)
{
    JobTracker_SetState(jt, t, state);
    t->durable = false;
    jt->ops->append(jt->ctx, t->job->partition, GfJobTask_Record(t),
                    on_task_durable, JobTracker_MakeAppendArg(jt, t));
}

/* Cancels a team's job: tasks whose start was not sent become cancelled, and
 * running ones are told to stop. A task whose start is not confirmed is
 * stopped when it is found running. Cancelling twice is no error. Returns the
 * job's status, or GF_NOT_FOUND; the caller clears the answer. */
GfAnswer
GfJobTracker_Cancel(GfJobTracker *tracker, const GfName *job,
                    const GfName *team)
{
    GfAnswer answer;
    GfJob *found = find_visible(tracker, job, team, &answer);
    if (found == NULL) {
        return answer;
    }
    if (!found->cancelled) {
        found->cancelled = true;
        tracker->ops->append(tracker->ctx, found->partition,
                             GfJob_CancelRecord(found), NULL, NULL);
        for (uint32_t i = 0; i < found->spec.count; i++) {
            GfJobTask *t = &found->tasks[i];
            if (t->state == GF_JOB_WAITING || t->state == GF_JOB_INTENT) {
                JobTracker_FinishTask(tracker, t, GF_JOB_CANCELLED);
            }
            else if (t->state == GF_JOB_RUNNING) {
                GfName id = GfJobTask_Id(t);
                tracker->ops->stop(tracker->ctx, &t->rack, &id, GF_STOP_KILL);
            }
        }
    }
    return GfJobTracker_Status(tracker, job, team);
}

/* Returns how many tasks of all jobs are in a state. */
size_t
GfJobTracker_CountState(const GfJobTracker *tracker, GfJobTaskState state)
{
    assert(state < GF_JOB_STATES);
    return tracker->state_counts[state];
}

/* Returns how many services that are not cancelled have fewer running tasks
 * than their job asks for. */
size_t
GfJobTracker_CountIncompleteServices(const GfJobTracker *tracker)
{
    size_t below = 0;
    for (JobTrackerJob *e = tracker->jobs; e != NULL; e = e->hh.next) {
        const GfJob *job = e->job;
        if (job->spec.work_class != GF_CLASS_SERVICE || job->cancelled) {
            continue;
        }
        uint32_t running = 0;
        for (uint32_t i = 0; i < job->spec.count; i++) {
            running += job->tasks[i].state == GF_JOB_RUNNING;
        }
        below += running < job->spec.count;
    }
    return below;
}
