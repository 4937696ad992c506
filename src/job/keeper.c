#include <assert.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "guavaflow/log.h"
#include "guavaflow/metrics.h"
#include "keeper_private.h"

/* Creates a keeper that owns no partition. */
GfKeeper *
GfKeeper_Create(const GfKeeperConfig *config, GfFleet *fleet,
                const GfControl *control, const GfClock *clock,
                const GfKeeperOps *ops, void *ctx)
{
    assert(config != NULL && config->partitions <= KEEPER_MAX_PARTITIONS);
    GfKeeper *k = calloc(1, sizeof(*k));
    if (k == NULL) {
        abort();
    }
    k->config = *config;
    k->fleet = fleet;
    k->control = control;
    k->clock = clock;
    k->ops = ops;
    k->ctx = ctx;
    k->queue = GfWaitQueue_Create();
    return k;
}

/* Changes a task's state and keeps count. */
void
Keeper_SetState(GfKeeper *k, GfJobTask *t, GfJobTaskState state)
{
    k->states[t->state]--;
    k->states[state]++;
    t->state = state;
    if (state == GF_JOB_WAITING && !t->queued && t->job->accepted) {
        GfWaitQueue_Push(k->queue, t);
    }
    else if (state != GF_JOB_WAITING) {
        GfWaitQueue_Remove(k->queue, t);
    }
}

/* Removes a job from the keeper and frees it. */
static void
delete_job(GfKeeper *k, KeeperEntry *e)
{
    for (uint32_t i = 0; i < e->job->spec.count; i++) {
        GfWaitQueue_Remove(k->queue, &e->job->tasks[i]);
        k->states[e->job->tasks[i].state]--;
    }
    HASH_DEL(k->jobs, e);
    GfJob_Destroy(e->job);
    free(e);
}

/* Frees the keeper. */
void
GfKeeper_Destroy(GfKeeper *keeper)
{
    if (keeper == NULL) {
        return;
    }
    KeeperEntry *e;
    KeeperEntry *tmp;
    HASH_ITER(hh, keeper->jobs, e, tmp)
    {
        delete_job(keeper, e);
    }
    for (int i = 0; i < KEEPER_MAX_PARTITIONS; i++) {
        free(keeper->partitions[i].settled);
    }
    GfWaitQueue_Destroy(keeper->queue);
    free(keeper);
}

/* Finds a job, or NULL. */
GfJob *
Keeper_FindJob(const GfKeeper *k, const GfName *id)
{
    KeeperEntry *e;
    HASH_FIND(hh, k->jobs, id, sizeof(*id), e);
    return e == NULL ? NULL : e->job;
}

/* Adds a job whose tasks wait. */
static GfJob *
add_job(GfKeeper *k, const GfJobSpec *spec)
{
    KeeperEntry *e = calloc(1, sizeof(*e));
    if (e == NULL) {
        abort();
    }
    e->job = GfJob_Create(spec);
    e->id = spec->id;
    HASH_ADD(hh, k->jobs, id, sizeof(e->id), e);
    k->states[GF_JOB_WAITING] += spec->count;
    return e->job;
}

/* Finds the task that an attempt's id names, or NULL. */
GfJobTask *
Keeper_FindTask(const GfKeeper *k, const GfName *id, uint32_t *attempt)
{
    GfName job_id = GfTask_Job(id);
    GfJob *job = Keeper_FindJob(k, &job_id);
    uint32_t index = 0;
    if (job == NULL || !GfJobTask_ParseId(id, &index, attempt) ||
        index >= job->spec.count) {
        return NULL;
    }
    return &job->tasks[index];
}

/* Forgets a partition that this entry does not own any more, or is about to
 * load. */
void
GfKeeper_Close(GfKeeper *keeper, uint32_t partition)
{
    KeeperEntry *e;
    KeeperEntry *tmp;
    HASH_ITER(hh, keeper->jobs, e, tmp)
    {
        if (e->job->partition == partition) {
            delete_job(keeper, e);
        }
    }
    keeper->partitions[partition].open = false;
}

/* Takes over a task's record. */
static void
replay_task(GfKeeper *k, GfJob *job, const json_t *record)
{
    json_int_t index = json_integer_value(json_object_get(record, "i"));
    json_int_t state = json_integer_value(json_object_get(record, "s"));
    if (index < 0 || index >= job->spec.count || state < 0 ||
        state >= GF_JOB_STATES) {
        return;
    }
    GfJobTask *t = &job->tasks[index];
    Keeper_SetState(k, t, (GfJobTaskState)state);
    t->durable = true;
    t->attempt = (uint32_t)json_integer_value(json_object_get(record, "a"));
    t->exit_code = (int)json_integer_value(json_object_get(record, "x"));
    GfName_SetText(&t->rack, json_string_value(json_object_get(record, "r")));
}

/* Takes over a record of a partition's journal. */
void
GfKeeper_Replay(GfKeeper *keeper, const json_t *record)
{
    const char *type = json_string_value(json_object_get(record, "t"));
    const char *text = json_string_value(json_object_get(record, "id"));
    GfName id;
    if (type == NULL || text == NULL || !GfName_SetText(&id, text)) {
        return;
    }
    GfJob *job = Keeper_FindJob(keeper, &id);
    if (strcmp(type, "job") == 0 && job == NULL) {
        GfJobSpec spec;
        if (GfJob_FromRecord(record, &spec)) {
            add_job(keeper, &spec);
        }
    }
    else if (strcmp(type, "task") == 0 && job != NULL) {
        replay_task(keeper, job, record);
    }
    else if (strcmp(type, "cancel") == 0 && job != NULL) {
        job->cancelled = true;
    }
}

/* Decides where a task stands after its partition was taken over. A
 * repeatable task may run anywhere. One that is not repeatable may run only
 * if its intent is recorded; without one it was never sent. */
static void
recover_task(GfKeeper *k, GfJobTask *t)
{
    if (GfJobTask_IsFinal(t)) {
        t->durable = true;
        return;
    }
    bool intended = t->state == GF_JOB_INTENT;
    if (!t->job->spec.repeatable && !intended) {
        Keeper_SetState(k, t,
                        t->job->cancelled ? GF_JOB_CANCELLED : GF_JOB_WAITING);
        return;
    }
    t->durable = false;
    Keeper_SetState(k, t, GF_JOB_DOUBT);
}

/* Starts to keep a partition whose journal has been replayed. */
void
GfKeeper_Open(GfKeeper *keeper, uint32_t partition, uint64_t epoch)
{
    KeeperPartition *p = &keeper->partitions[partition];
    p->open = true;
    p->epoch = epoch;
    p->seq = 0;
    p->recovering = true;
    p->settled_count = 0;
    KeeperEntry *e;
    KeeperEntry *tmp;
    HASH_ITER(hh, keeper->jobs, e, tmp)
    {
        if (e->job->partition != partition) {
            continue;
        }
        e->job->accepted = true;
        for (uint32_t i = 0; i < e->job->spec.count; i++) {
            recover_task(keeper, &e->job->tasks[i]);
        }
    }
}

/* Appends the records that stand for a partition's jobs. Jobs whose tasks
 * are all final and durable are kept for their status. */
void
GfKeeper_Snapshot(const GfKeeper *keeper, uint32_t partition, json_t *records)
{
    for (KeeperEntry *e = keeper->jobs; e != NULL; e = e->hh.next) {
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

/* Answers a submission. */
static void
answer_submit(GfAnswerCallback callback, void *arg, const GfJob *job)
{
    GfAnswer answer = GfAnswer_Make(GF_OK, GF_RAN_YES, "accepted");
    GfAnswer_SetJson(&answer, json_pack("{s:s,s:i}", "job", job->spec.id.data,
                                        "count", (int)job->spec.count));
    callback(arg, &answer);
    GfAnswer_Clear(&answer);
}

/* Opens a job once its record is durable. */
static void
on_accepted(void *arg, GfErrorKind kind)
{
    KeeperPending *p = arg;
    GfJob *job = Keeper_FindJob(p->keeper, &p->job);
    if (kind == GF_OK && job != NULL) {
        job->accepted = true;
        GfMetrics_Add(GF_METRIC_JOBS_ACCEPTED, 1);
        for (uint32_t i = 0; i < job->spec.count; i++) {
            Keeper_SetState(p->keeper, &job->tasks[i], GF_JOB_WAITING);
        }
        answer_submit(p->callback, p->arg, job);
    }
    else {
        GfAnswer answer = GfAnswer_Make(GF_NO_OWNER, GF_RAN_NO,
                                        "the partition has another owner");
        p->callback(p->arg, &answer);
    }
    free(p);
}

/* Accepts a job: it is answered once its record is durable. A job that is
 * known already is answered as accepted and not added again. */
void
GfKeeper_Submit(GfKeeper *keeper, const GfJobSpec *spec,
                GfAnswerCallback callback, void *arg)
{
    GfJob *known = Keeper_FindJob(keeper, &spec->id);
    if (known != NULL && known->accepted) {
        answer_submit(callback, arg, known);
        return;
    }
    GfAnswer refusal = {.kind = GF_OK};
    if (known != NULL) {
        refusal = GfAnswer_Make(GF_BUSY, GF_RAN_UNKNOWN,
                                "the same job is being accepted");
    }
    else if (!GfFleet_CanEverFit(keeper->fleet, &spec->need)) {
        refusal = GfAnswer_Make(
            GF_NEVER_FITS, GF_RAN_NO,
            "no worker has %u millicores, %u MB and %u accelerators",
            spec->need.mcores, spec->need.memory_mb, spec->need.accelerators);
    }
    else if (GfWaitQueue_Count(keeper->queue) + spec->count >
             keeper->config.max_waiting) {
        refusal =
            GfAnswer_Make(GF_BUSY, GF_RAN_NO, "too many tasks wait already");
    }
    if (refusal.kind != GF_OK) {
        callback(arg, &refusal);
        return;
    }
    GfJob *job = add_job(keeper, spec);
    KeeperPending *p = calloc(1, sizeof(*p));
    if (p == NULL) {
        abort();
    }
    *p = (KeeperPending){.keeper = keeper, .job = spec->id};
    p->callback = callback;
    p->arg = arg;
    keeper->ops->append(keeper->ctx, job->partition, GfJob_Record(job),
                        on_accepted, p);
}

/* Finds a job that a team may see. */
static GfJob *
find_visible(const GfKeeper *k, const GfName *id, const GfName *team,
             GfAnswer *refusal)
{
    GfJob *job = Keeper_FindJob(k, id);
    if (job == NULL || !job->accepted ||
        !GfName_Equal(&job->spec.team, team)) {
        *refusal = GfAnswer_Make(GF_NOT_FOUND, GF_RAN_NO,
                                 "there is no job %s of this team", id->data);
        return NULL;
    }
    return job;
}

/* Returns how a job of a team stands. */
GfAnswer
GfKeeper_Status(const GfKeeper *keeper, const GfName *job, const GfName *team)
{
    GfAnswer answer;
    const GfJob *found = find_visible(keeper, job, team, &answer);
    if (found != NULL) {
        answer = GfAnswer_Make(GF_OK, GF_RAN_YES, "%s", "");
        GfAnswer_SetJson(&answer, GfJob_Status(found));
    }
    return answer;
}

/* Notes that a task's final state is durable. */
static void
on_task_durable(void *arg, GfErrorKind kind)
{
    KeeperPending *p = arg;
    GfJob *job = Keeper_FindJob(p->keeper, &p->job);
    if (kind == GF_OK && job != NULL && p->index < job->spec.count) {
        job->tasks[p->index].durable = true;
    }
    free(p);
}

/* Makes the record that carries a task through an append. */
KeeperPending *
Keeper_PendingTask(GfKeeper *k, const GfJobTask *t)
{
    KeeperPending *p = calloc(1, sizeof(*p));
    if (p == NULL) {
        abort();
    }
    *p = (KeeperPending){.keeper = k,
                         .job = t->job->spec.id,
                         .index = t->index,
                         .attempt = t->attempt};
    return p;
}

/* Gives a task its final state and records it. */
void
Keeper_FinishTask(GfKeeper *k, GfJobTask *t, GfJobTaskState state)
{
    Keeper_SetState(k, t, state);
    t->durable = false;
    k->ops->append(k->ctx, t->job->partition, GfJobTask_Record(t),
                   on_task_durable, Keeper_PendingTask(k, t));
}

/* Cancels a job: what waits will not run, what runs is stopped. */
GfAnswer
GfKeeper_Cancel(GfKeeper *keeper, const GfName *job, const GfName *team)
{
    GfAnswer answer;
    GfJob *found = find_visible(keeper, job, team, &answer);
    if (found == NULL) {
        return answer;
    }
    if (!found->cancelled) {
        found->cancelled = true;
        keeper->ops->append(keeper->ctx, found->partition,
                            GfJob_CancelRecord(found), NULL, NULL);
        for (uint32_t i = 0; i < found->spec.count; i++) {
            GfJobTask *t = &found->tasks[i];
            if (t->state == GF_JOB_WAITING || t->state == GF_JOB_INTENT) {
                Keeper_FinishTask(keeper, t, GF_JOB_CANCELLED);
            }
            else if (t->state == GF_JOB_RUNNING) {
                GfName id = GfJobTask_Id(t);
                keeper->ops->stop(keeper->ctx, &t->rack, &id, GF_STOP_KILL);
            }
        }
    }
    return GfKeeper_Status(keeper, job, team);
}

/* Counts the tasks in a state. */
size_t
GfKeeper_CountState(const GfKeeper *keeper, GfJobTaskState state)
{
    assert(state < GF_JOB_STATES);
    return keeper->states[state];
}

/* Counts the service jobs that have fewer tasks running than they want. */
size_t
GfKeeper_ServicesBelowCount(const GfKeeper *keeper)
{
    size_t below = 0;
    for (KeeperEntry *e = keeper->jobs; e != NULL; e = e->hh.next) {
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
