#include "guavaflow/keeper.h"

#include <assert.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "guavaflow/log.h"
#include "guavaflow/metrics.h"
#include "guavaflow/wait_queue.h"

#define PART "jobs"
#define MAX_PER_ROUND 256
#define MAX_PARTITIONS 256
#define REFUSED_RETRY_MS 50
#define FAILED_RETRY_MS 200
#define LIMIT_RETRY_MS 300
#define SHARE_SLACK_PERCENT 102
#define PERCENT 100
#define ATTEMPTS_PER_EPOCH 4096

typedef struct {
    GfName id;
    GfJob *job;
    UT_hash_handle hh;
} Entry;

typedef struct {
    GfName rack;
    uint64_t seq;
} RackSettled;

typedef struct {
    bool open;
    uint64_t epoch;
    uint64_t seq;
    bool recovering;
    RackSettled *settled;
    size_t settled_count;
} Partition;

struct GfKeeper {
    GfKeeperConfig config;
    GfFleet *fleet;
    const GfControl *control;
    const GfClock *clock;
    const GfKeeperOps *ops;
    void *ctx;
    Entry *jobs;
    GfWaitQueue *queue;
    Partition partitions[MAX_PARTITIONS];
    size_t states[GF_JOB_STATES];
    uint64_t mark;
};

typedef struct {
    GfKeeper *keeper;
    GfName job;
    uint32_t index;
    uint32_t attempt;
    GfAnswerCallback callback;
    void *arg;
} Pending;

/* Creates a keeper that owns no partition. */
GfKeeper *
GfKeeper_Create(const GfKeeperConfig *config, GfFleet *fleet,
                const GfControl *control, const GfClock *clock,
                const GfKeeperOps *ops, void *ctx)
{
    assert(config != NULL && config->partitions <= MAX_PARTITIONS);
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
static void
set_state(GfKeeper *k, GfJobTask *t, GfJobTaskState state)
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
delete_job(GfKeeper *k, Entry *e)
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
    Entry *e;
    Entry *tmp;
    HASH_ITER(hh, keeper->jobs, e, tmp)
    {
        delete_job(keeper, e);
    }
    for (int i = 0; i < MAX_PARTITIONS; i++) {
        free(keeper->partitions[i].settled);
    }
    GfWaitQueue_Destroy(keeper->queue);
    free(keeper);
}

/* Finds a job, or NULL. */
static GfJob *
find_job(const GfKeeper *k, const GfName *id)
{
    Entry *e;
    HASH_FIND(hh, k->jobs, id, sizeof(*id), e);
    return e == NULL ? NULL : e->job;
}

/* Adds a job whose tasks wait. */
static GfJob *
add_job(GfKeeper *k, const GfJobSpec *spec)
{
    Entry *e = calloc(1, sizeof(*e));
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
static GfJobTask *
find_task(const GfKeeper *k, const GfName *id, uint32_t *attempt)
{
    GfName job_id = GfTask_Job(id);
    GfJob *job = find_job(k, &job_id);
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
    Entry *e;
    Entry *tmp;
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
    set_state(k, t, (GfJobTaskState)state);
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
    GfJob *job = find_job(keeper, &id);
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
        set_state(k, t, t->job->cancelled ? GF_JOB_CANCELLED : GF_JOB_WAITING);
        return;
    }
    t->durable = false;
    set_state(k, t, GF_JOB_DOUBT);
}

/* Starts to keep a partition whose journal has been replayed. */
void
GfKeeper_Open(GfKeeper *keeper, uint32_t partition, uint64_t epoch)
{
    Partition *p = &keeper->partitions[partition];
    p->open = true;
    p->epoch = epoch;
    p->seq = 0;
    p->recovering = true;
    p->settled_count = 0;
    Entry *e;
    Entry *tmp;
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
    for (Entry *e = keeper->jobs; e != NULL; e = e->hh.next) {
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
    Pending *p = arg;
    GfJob *job = find_job(p->keeper, &p->job);
    if (kind == GF_OK && job != NULL) {
        job->accepted = true;
        GfMetrics_Add(GF_METRIC_JOBS_ACCEPTED, 1);
        for (uint32_t i = 0; i < job->spec.count; i++) {
            set_state(p->keeper, &job->tasks[i], GF_JOB_WAITING);
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
    GfJob *known = find_job(keeper, &spec->id);
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
    Pending *p = calloc(1, sizeof(*p));
    if (p == NULL) {
        abort();
    }
    *p = (Pending){.keeper = keeper, .job = spec->id};
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
    GfJob *job = find_job(k, id);
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
    Pending *p = arg;
    GfJob *job = find_job(p->keeper, &p->job);
    if (kind == GF_OK && job != NULL && p->index < job->spec.count) {
        job->tasks[p->index].durable = true;
    }
    free(p);
}

/* Makes the record that carries a task through an append. */
static Pending *
pending_task(GfKeeper *k, const GfJobTask *t)
{
    Pending *p = calloc(1, sizeof(*p));
    if (p == NULL) {
        abort();
    }
    *p = (Pending){.keeper = k,
                   .job = t->job->spec.id,
                   .index = t->index,
                   .attempt = t->attempt};
    return p;
}

/* Gives a task its final state and records it. */
static void
finish_task(GfKeeper *k, GfJobTask *t, GfJobTaskState state)
{
    set_state(k, t, state);
    t->durable = false;
    k->ops->append(k->ctx, t->job->partition, GfJobTask_Record(t),
                   on_task_durable, pending_task(k, t));
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
                finish_task(keeper, t, GF_JOB_CANCELLED);
            }
            else if (t->state == GF_JOB_RUNNING) {
                GfName id = GfJobTask_Id(t);
                keeper->ops->stop(keeper->ctx, &t->rack, &id, GF_STOP_KILL);
            }
        }
    }
    return GfKeeper_Status(keeper, job, team);
}

/* Puts a task that surely does not run back into its queue. */
static void
requeue(GfKeeper *k, GfJobTask *t, int64_t delay_ms)
{
    if (t->job->cancelled) {
        finish_task(k, t, GF_JOB_CANCELLED);
        return;
    }
    t->next_try = GfTime_AddMs(GfClock_Now(k->clock), delay_ms);
    set_state(k, t, GF_JOB_WAITING);
}

/* Notes that a task runs, and stops it if its job was cancelled meanwhile. */
static void
note_running(GfKeeper *k, GfJobTask *t, const GfName *rack,
             const GfName *worker)
{
    t->rack = *rack;
    t->worker = *worker;
    set_state(k, t, GF_JOB_RUNNING);
    if (t->job->cancelled) {
        GfName id = GfJobTask_Id(t);
        k->ops->stop(k->ctx, rack, &id, GF_STOP_KILL);
    }
}

/* Takes the outcome of a placement. */
void
GfKeeper_Placed(GfKeeper *keeper, const GfPlacement *placement,
                const GfPlaced *placed)
{
    uint32_t attempt = 0;
    GfJobTask *t = find_task(keeper, &placement->spec.id, &attempt);
    if (t == NULL || attempt != t->attempt || t->state != GF_JOB_PLACING) {
        return;
    }
    if (placed->kind == GF_OK) {
        note_running(keeper, t, &placement->rack, &placed->worker);
    }
    else if (placed->ran == GF_RAN_NO) {
        if (placed->kind == GF_LIMIT_REACHED) {
            struct timespec now = GfClock_Now(keeper->clock);
            GfFleet_BlockTeam(keeper->fleet, &placement->rack,
                              &placement->spec.team,
                              GfTime_AddMs(now, LIMIT_RETRY_MS));
        }
        requeue(keeper, t, REFUSED_RETRY_MS);
    }
    else {
        set_state(keeper, t, GF_JOB_DOUBT);
    }
}

/* Starts a new attempt's number. Numbers of two owners never meet, because
 * each epoch has a range of its own. */
static void
next_attempt(GfKeeper *k, GfJobTask *t)
{
    uint64_t epoch = k->partitions[t->job->partition].epoch;
    uint32_t first = (uint32_t)epoch * ATTEMPTS_PER_EPOCH;
    t->attempt = t->attempt < first ? first : t->attempt + 1;
}

/* Takes the end of an attempt. */
static void
take_end(GfKeeper *k, GfJobTask *t, const GfTaskEvent *event)
{
    const GfJobSpec *job = &t->job->spec;
    t->rack = event->rack;
    t->worker = event->worker;
    t->exit_code = event->exit_code;
    GfMetrics_Add(event->state == GF_TASK_ENDED ? GF_METRIC_TASKS_ENDED
                                                : GF_METRIC_TASKS_FAILED,
                  1);
    if (t->job->cancelled) {
        finish_task(k, t, GF_JOB_CANCELLED);
        return;
    }
    bool endless = job->work_class == GF_CLASS_SERVICE && job->run_ms == 0;
    if (event->state == GF_TASK_ENDED && !endless) {
        finish_task(k, t, GF_JOB_DONE);
        return;
    }
    if (event->state == GF_TASK_FAILED) {
        t->failures++;
    }
    bool spent = t->failures >= k->config.max_failures && !endless;
    if (!job->repeatable || spent) {
        finish_task(k, t,
                    event->state == GF_TASK_LOST ? GF_JOB_UNKNOWN
                                                 : GF_JOB_FAILED);
        return;
    }
    requeue(k, t, event->state == GF_TASK_FAILED ? FAILED_RETRY_MS : 0);
}

/* Takes an event of a task on a rack. Returns whether the rack's holder may
 * forget the task: its end is durable, or no job here knows it. */
bool
GfKeeper_Event(GfKeeper *keeper, const GfTaskEvent *event)
{
    uint32_t partition = 0;
    uint32_t attempt = 0;
    if (!GfTask_Partition(&event->task, &partition) ||
        partition >= keeper->config.partitions ||
        !keeper->partitions[partition].open) {
        return false;
    }
    GfJobTask *t = find_task(keeper, &event->task, &attempt);
    if (t == NULL || attempt < t->attempt) {
        return event->state != GF_TASK_RUNNING;
    }
    if (GfJobTask_IsFinal(t)) {
        return t->durable && event->state != GF_TASK_RUNNING;
    }
    bool anywhere = t->state == GF_JOB_DOUBT && t->rack.len == 0;
    if (anywhere && event->state != GF_TASK_RUNNING &&
        event->state != GF_TASK_ENDED) {
        /* A later attempt may still be found running on another rack. */
        return false;
    }
    t->attempt = attempt;
    if (event->state == GF_TASK_RUNNING) {
        if (t->state == GF_JOB_DOUBT || t->state == GF_JOB_PLACING) {
            note_running(keeper, t, &event->rack, &event->worker);
        }
        return false;
    }
    if (t->state == GF_JOB_WAITING) {
        return true;
    }
    take_end(keeper, t, event);
    return !GfJobTask_IsFinal(t);
}

/* Tells whether a partition has tasks whose whereabouts must be asked for,
 * with which epoch and seq to ask, and whether work waits for the answer. */
bool
GfKeeper_WantsFind(const GfKeeper *keeper, uint32_t partition, bool *urgent,
                   uint64_t *epoch, uint64_t *seq)
{
    const Partition *p = &keeper->partitions[partition];
    *epoch = p->epoch;
    *seq = p->seq;
    *urgent = p->recovering || keeper->states[GF_JOB_DOUBT] > 0;
    return p->open && (*urgent || keeper->states[GF_JOB_RUNNING] > 0);
}

/* Marks the tasks whose current attempt an answer lists. */
static void
mark_listed(GfKeeper *k, const GfTaskEvent *events, size_t count)
{
    k->mark++;
    for (size_t i = 0; i < count; i++) {
        uint32_t attempt = 0;
        GfJobTask *t = find_task(k, &events[i].task, &attempt);
        if (t != NULL && attempt == t->attempt) {
            t->mark = k->mark;
        }
    }
}

/* Settles a task that is on no rack it could be on. Whether one that is not
 * repeatable ran before cannot be told, so it does not run again. */
static void
settle_absent(GfKeeper *k, GfJobTask *t)
{
    if (!t->job->spec.repeatable) {
        finish_task(k, t, GF_JOB_UNKNOWN);
        return;
    }
    requeue(k, t, 0);
}

/* Notes that a rack was found complete during recovery; tells whether all
 * racks of the fleet have been. */
static bool
note_settled(GfKeeper *k, Partition *p, const GfName *rack)
{
    bool known = false;
    for (size_t i = 0; i < p->settled_count; i++) {
        known = known || GfName_Equal(&p->settled[i].rack, rack);
    }
    if (!known) {
        size_t bytes = (p->settled_count + 1) * sizeof(*p->settled);
        RackSettled *grown = realloc(p->settled, bytes);
        if (grown == NULL) {
            abort();
        }
        p->settled = grown;
        p->settled[p->settled_count++] = (RackSettled){.rack = *rack};
    }
    return p->settled_count >= GfFleet_Count(k->fleet);
}

/* Takes what a rack answered to a question about a partition. Only a
 * complete answer settles tasks that it does not list, and only those placed
 * before the question was asked. */
void
GfKeeper_Found(GfKeeper *keeper, uint32_t partition, uint64_t seq,
               const GfName *rack, bool complete, const GfTaskEvent *events,
               size_t count)
{
    Partition *p = &keeper->partitions[partition];
    if (!p->open) {
        return;
    }
    for (size_t i = 0; i < count; i++) {
        GfKeeper_Event(keeper, &events[i]);
    }
    if (!complete) {
        return;
    }
    mark_listed(keeper, events, count);
    bool all = p->recovering && note_settled(keeper, p, rack);
    Entry *e;
    Entry *tmp;
    HASH_ITER(hh, keeper->jobs, e, tmp)
    {
        if (e->job->partition != partition) {
            continue;
        }
        for (uint32_t i = 0; i < e->job->spec.count; i++) {
            GfJobTask *t = &e->job->tasks[i];
            bool here = GfName_Equal(&t->rack, rack) && t->seq <= seq;
            bool lost = t->state == GF_JOB_RUNNING && here;
            bool open =
                t->state == GF_JOB_DOUBT && (t->rack.len > 0 ? here : all);
            if ((lost || open) && t->mark != keeper->mark) {
                settle_absent(keeper, t);
            }
        }
    }
    if (all) {
        p->recovering = false;
    }
}

/* Returns how much of its share a team has, or a need is, for the order of
 * the queues: dominant resource fairness (Ghodsi and others 2011), with
 * processors as the resource that counts. */
static uint64_t
share_of(void *ctx, const GfName *team, const GfRoom *need)
{
    GfKeeper *k = ctx;
    const GfTeam *t = GfBundle_FindTeam(GfControl_Bundle(k->control), team);
    uint64_t mcores =
        need != NULL ? need->mcores : GfFleet_TeamUse(k->fleet, team).mcores;
    return mcores * GF_SHARE_SCALE / (t == NULL ? 1 : t->share);
}

/* Prepares the placement of a task on a rack. */
static GfPlacement
make_placement(GfKeeper *k, GfJobTask *t, const GfRackView *view)
{
    Partition *p = &k->partitions[t->job->partition];
    t->seq = ++p->seq;
    t->rack = view->rack;
    GfPlacement placement = {.rack = view->rack,
                             .term = view->term,
                             .partition = t->job->partition,
                             .epoch = p->epoch,
                             .seq = t->seq,
                             .spec = GfJobTask_Spec(t)};
    return placement;
}

/* Places a task whose intent has become durable, unless its job was
 * cancelled or its rack closed meanwhile: then it was never sent. */
static void
on_intent(void *arg, GfErrorKind kind)
{
    Pending *p = arg;
    GfKeeper *k = p->keeper;
    GfJob *job = find_job(k, &p->job);
    GfJobTask *t = job == NULL ? NULL : &job->tasks[p->index];
    if (t != NULL && t->state == GF_JOB_INTENT && t->attempt == p->attempt) {
        const GfRackView *view = GfFleet_Find(k->fleet, &t->rack);
        if (kind != GF_OK || view == NULL || !view->open ||
            !k->ops->may_place(k->ctx, job->partition)) {
            requeue(k, t, REFUSED_RETRY_MS);
        }
        else {
            GfPlacement placement = make_placement(k, t, view);
            set_state(k, t, GF_JOB_PLACING);
            k->ops->place(k->ctx, &view->holder, &placement, 1, false);
        }
    }
    free(p);
}

/* Records the intent to run a task that must not run twice. */
static void
intend(GfKeeper *k, GfJobTask *t, const GfRackView *view)
{
    t->rack = view->rack;
    set_state(k, t, GF_JOB_INTENT);
    k->ops->append(k->ctx, t->job->partition, GfJobTask_Record(t), on_intent,
                   pending_task(k, t));
}

/* Tells whether all tasks of a gang wait. */
static bool
gang_waits(const GfJob *job)
{
    for (uint32_t i = 0; i < job->spec.count; i++) {
        if (job->tasks[i].state != GF_JOB_WAITING) {
            return false;
        }
    }
    return true;
}

/* Places all tasks of a gang on one rack. */
static void
place_gang(GfKeeper *k, GfJob *job, const GfRackView *view)
{
    GfPlacement *placements = calloc(job->spec.count, sizeof(*placements));
    if (placements == NULL) {
        abort();
    }
    for (uint32_t i = 0; i < job->spec.count; i++) {
        GfJobTask *t = &job->tasks[i];
        next_attempt(k, t);
        placements[i] = make_placement(k, t, view);
        set_state(k, t, GF_JOB_PLACING);
        GfFleet_Reserve(k->fleet, &view->rack, &job->spec.need);
        GfWaitQueue_Charge(k->queue, t, share_of, k);
    }
    k->ops->place(k->ctx, &view->holder, placements, job->spec.count, true);
    free(placements);
}

typedef struct {
    GfName holder;
    GfPlacement *placements;
    size_t count;
} Group;

/* Adds a placement to the group that goes to its holder. */
static void
add_to_group(Group *groups, size_t *group_count, const GfName *holder,
             const GfPlacement *placement)
{
    size_t i = 0;
    while (i < *group_count && !GfName_Equal(&groups[i].holder, holder)) {
        i++;
    }
    if (i == *group_count) {
        groups[i].holder = *holder;
        groups[i].count = 0;
        groups[i].placements = calloc(MAX_PER_ROUND, sizeof(GfPlacement));
        if (groups[i].placements == NULL) {
            abort();
        }
        (*group_count)++;
    }
    groups[i].placements[groups[i].count++] = *placement;
}

/* Decides one task: places it, records its intent, or leaves it waiting for
 * this round. */
static void
decide(GfKeeper *k, GfJobTask *t, Group *groups, size_t *group_count)
{
    GfJob *job = t->job;
    uint32_t count = job->spec.gang ? job->spec.count : 1;
    const GfRackView *view =
        GfFleet_PickForTask(k->fleet, k->control, &job->spec.team,
                            &job->spec.need, count, GfClock_Now(k->clock));
    if (view == NULL || !k->ops->may_place(k->ctx, job->partition) ||
        (job->spec.gang && !gang_waits(job))) {
        GfWaitQueue_Block(k->queue, t);
        return;
    }
    if (job->spec.gang) {
        place_gang(k, job, view);
        return;
    }
    next_attempt(k, t);
    GfFleet_Reserve(k->fleet, &view->rack, &job->spec.need);
    GfWaitQueue_Charge(k->queue, t, share_of, k);
    if (!job->spec.repeatable) {
        intend(k, t, view);
        return;
    }
    GfPlacement placement = make_placement(k, t, view);
    set_state(k, t, GF_JOB_PLACING);
    add_to_group(groups, group_count, &view->holder, &placement);
}

/* While the fleet is full, holds back the teams that have more of their share
 * than another team that waits, here or at another entry: what ends makes room
 * for that one. */
static void
hold_back(GfKeeper *k)
{
    GfName lowest;
    uint64_t level = 0;
    if (GfFleet_IsFull(k->fleet, k->control) &&
        GfFleet_LowestLevel(k->fleet, k->control, &lowest, &level)) {
        GfWaitQueue_HoldAbove(k->queue, &lowest,
                              level * SHARE_SLACK_PERCENT / PERCENT +
                                  GF_SHARE_SCALE);
    }
}

/* Returns how many tasks of a team wait here. */
uint32_t
GfKeeper_CountWaiting(const GfKeeper *keeper, const GfName *team)
{
    return GfWaitQueue_CountTeam(keeper->queue, team);
}

/* Places waiting tasks, a bounded number in each round. */
void
GfKeeper_Tick(GfKeeper *keeper)
{
    if (GfWaitQueue_Count(keeper->queue) == 0 ||
        GfControl_Bundle(keeper->control) == NULL) {
        return;
    }
    Group *groups = calloc(MAX_PER_ROUND, sizeof(*groups));
    if (groups == NULL) {
        abort();
    }
    size_t group_count = 0;
    struct timespec now = GfClock_Now(keeper->clock);
    GfWaitQueue_BeginRound(keeper->queue, share_of, keeper);
    hold_back(keeper);
    for (int i = 0; i < MAX_PER_ROUND; i++) {
        GfJobTask *t = GfWaitQueue_Next(keeper->queue, now);
        if (t == NULL) {
            break;
        }
        decide(keeper, t, groups, &group_count);
    }
    for (size_t i = 0; i < group_count; i++) {
        keeper->ops->place(keeper->ctx, &groups[i].holder,
                           groups[i].placements, groups[i].count, false);
        free(groups[i].placements);
    }
    free(groups);
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
    for (Entry *e = keeper->jobs; e != NULL; e = e->hh.next) {
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
