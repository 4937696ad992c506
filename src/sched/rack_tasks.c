#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "guavaflow/log.h"
#include "guavaflow/metrics.h"
#include "guavaflow/pick.h"
#include "rack_agent_private.h"

#define PART "rack"
#define STATUS_OK 200
#define STATUS_CONFLICT 409
/* Pace at which tasks are moved off a rack: at most DRAIN_BATCH in each
 * interval. */
#define DRAIN_INTERVAL_MS 200
#define DRAIN_BATCH 16
/* Interval between checks for teams above their allotments. */
#define ENFORCE_INTERVAL_MS 500
/* Starts needed before a worker can be excluded for failing tasks. */
#define MIN_STARTS_TO_EXCLUDE 5
/* How long an excluded worker gets no new tasks. */
#define EXCLUDE_MS 30000

/* The placements of one GfRackAgent_Place call, reported together. */
struct RackBatch {
    GfPlacementResult *placed;
    size_t count;
    size_t references; /* unfinished placements, and the caller */
    GfPlacementCallback callback;
    void *arg;
};

/* A call that starts tasks on one worker; on_start frees it. */
typedef struct {
    GfRackAgent *agent;
    GfName worker;
    GfName *tasks;
    size_t count;
} StartCall;

/* Drops one reference to a batch. The last one calls back with the outcomes
 * and frees the batch. */
static void
release_batch(RackBatch *batch)
{
    batch->references--;
    if (batch->references == 0) {
        batch->callback(batch->arg, batch->placed, batch->count);
        free(batch->placed);
        free(batch);
    }
}

/* Records the outcome of one placement of a batch and drops its reference.
 * worker may be NULL if none was chosen. */
static void
finish_placement(RackBatch *batch, size_t index, GfErrorKind kind, GfRan ran,
                 const GfName *worker)
{
    batch->placed[index].kind = kind;
    batch->placed[index].ran = ran;
    if (worker != NULL) {
        batch->placed[index].worker = *worker;
    }
    release_batch(batch);
}

/* Finishes the placement whose start waits for a result. A task without such a
 * start is ignored: its result came earlier, by a response or by an inventory.
 */
static void
finish_start(GfRackAgent *agent, const GfName *task, GfErrorKind kind,
             GfRan ran, const GfName *worker)
{
    RackStart *s;
    HASH_FIND(hh, agent->starts, task, sizeof(*task), s);
    if (s == NULL) {
        return;
    }
    HASH_DEL(agent->starts, s);
    GfMetrics_Add(
        kind == GF_OK ? GF_METRIC_TASKS_PLACED : GF_METRIC_TASKS_REFUSED, 1);
    finish_placement(s->batch, s->index, kind, ran, worker);
    free(s);
}

/* Finishes a start whose response has not arrived: an inventory lists its task
 * (seen), or the worker's lease was replaced, so that the start can no longer
 * take effect. */
void
RackTasks_OnPendingStart(void *ctx, const GfName *worker,
                         const GfTaskSpec *spec, bool seen)
{
    GfRackAgent *agent = ctx;
    if (seen) {
        finish_start(agent, &spec->id, GF_OK, GF_RAN_YES, worker);
    }
    else {
        finish_start(agent, &spec->id, GF_BUSY, GF_RAN_NO, worker);
    }
}

/* Handles the response to a call that starts tasks, and frees the call. The
 * tasks were started if the worker returned an inventory version, and were not
 * if it reported a conflict or the call was never sent. Otherwise the outcome
 * is unknown: the worker's lease is replaced, and RackTasks_OnPendingStart
 * finishes the placements. */
static void
on_start(void *arg, const GfHttpResult *result)
{
    StartCall *call = arg;
    GfRackAgent *agent = call->agent;
    json_t *body = GfHttp_ParseJson(result);
    json_t *version = json_object_get(body, "version");
    bool accepted = result->status == STATUS_OK && json_is_integer(version);
    bool refused =
        (result->kind == GF_OK && result->status == STATUS_CONFLICT) ||
        (result->kind != GF_OK && !result->sent);
    for (size_t i = 0; i < call->count; i++) {
        if (accepted) {
            GfRack_StartAccepted(agent->rack, &call->worker, &call->tasks[i],
                                 json_integer_value(version));
            finish_start(agent, &call->tasks[i], GF_OK, GF_RAN_YES,
                         &call->worker);
        }
        else if (refused) {
            GfRack_StartRefused(agent->rack, &call->worker, &call->tasks[i]);
            finish_start(agent, &call->tasks[i], GF_LEASE_LOST, GF_RAN_NO,
                         &call->worker);
        }
    }
    if (!accepted && !refused) {
        GfMetrics_Add(GF_METRIC_TASKS_UNCONFIRMED, call->count);
        GfRack_StartUnanswered(agent->rack, &call->worker);
        RackWorker *w = RackAgent_FindWorker(agent, &call->worker);
        if (w != NULL && !w->fencing) {
            RackLeases_CallWorker(w, true);
        }
    }
    json_decref(body);
    free(call->tasks);
    free(call);
}

/* Describes a task for a worker. The caller owns the result. */
static json_t *
spec_json(const GfRackAgent *agent, const GfTaskSpec *spec)
{
    return json_pack("{s:s,s:s,s:i,s:i,s:i,s:i,s:s,s:b,s:b,s:i}", "id",
                     spec->id.data, "team", spec->team.data, "mcores",
                     (int)spec->need.mcores, "memory_mb",
                     (int)spec->need.memory_mb, "accelerators",
                     (int)spec->need.accelerators, "run_ms", (int)spec->run_ms,
                     "class", GfClass_Name(spec->work_class), "repeatable",
                     spec->repeatable, "fails", spec->fails, "task_lapse_ms",
                     (int)agent->env->settings->lease.task_lapse_ms);
}

/* Tells whether a worker gets new tasks: it is live and not excluded. */
static bool
accepts_tasks(const RackWorker *w, struct timespec now)
{
    return w->state == GF_HOST_LIVE && !GfTime_Before(now, w->excluded_until);
}

/* Picks the worker for a task among those that get new tasks. Returns NULL if
 * the task fits on none. */
static RackWorker *
pick_worker(GfRackAgent *agent, const GfResourceVector *need,
            struct timespec now)
{
    GfResourceVector free_capacity[RACK_MAX_WORKERS];
    size_t count = agent->worker_count < RACK_MAX_WORKERS ? agent->worker_count
                                                          : RACK_MAX_WORKERS;
    for (size_t i = 0; i < count; i++) {
        const RackWorker *w = agent->workers[i];
        free_capacity[i] =
            accepts_tasks(w, now)
                ? GfRack_FreeCapacity(agent->rack, &w->name, now)
                : (GfResourceVector){0};
    }
    size_t picked = GfPick_BestFit(free_capacity, count, need);
    return picked == GF_PICK_NONE ? NULL : agent->workers[picked];
}

/* Tells whether a placement is for the running term and newer than the fence
 * of its partition, so that it doesn't come from a former owner. */
static bool
is_current(GfRackAgent *agent, const GfPlacement *p)
{
    if (p->partition >= RACK_MAX_FENCES ||
        p->term != GfRack_Term(agent->rack)) {
        return false;
    }
    uint64_t epoch = agent->fences[p->partition].epoch;
    return p->epoch > epoch ||
           (p->epoch == epoch && p->seq > agent->fences[p->partition].seq);
}

/* Checks a placement, chooses its worker and records the start as sent, which
 * reserves the capacity. Returns GF_OK or the reason for a refusal. */
static GfErrorKind
admit(GfRackAgent *agent, const GfPlacement *p, RackWorker **worker)
{
    GfErrorKind why = GF_OK;
    if (!RackAgent_MayStart(agent, &why)) {
        return why;
    }
    if (!is_current(agent, p)) {
        return GF_LEASE_LOST;
    }
    if (GfRack_HasTask(agent->rack, &p->spec.id)) {
        return GF_CONFLICT;
    }
    GfQuota need = {.mcores = p->spec.need.mcores};
    if (!RackAllot_Admits(agent, &p->spec.team, need)) {
        return GF_LIMIT_REACHED;
    }
    *worker = pick_worker(agent, &p->spec.need, RackAgent_Now(agent));
    if (*worker == NULL) {
        return GF_BUSY;
    }
    GfRack_StartSent(agent->rack, &(*worker)->name, &p->spec);
    return GF_OK;
}

/* Sends the starts that were chosen for one worker in one call and clears them
 * in chosen. */
static void
send_starts(GfRackAgent *agent, RackWorker *w, const GfPlacement *placements,
            RackWorker **chosen, size_t count)
{
    StartCall *call = calloc(1, sizeof(*call));
    json_t *list = json_array();
    if (call == NULL) {
        abort();
    }
    call->agent = agent;
    call->worker = w->name;
    call->tasks = calloc(count, sizeof(*call->tasks));
    if (call->tasks == NULL) {
        abort();
    }
    for (size_t i = 0; i < count; i++) {
        if (chosen[i] == w) {
            call->tasks[call->count++] = placements[i].spec.id;
            json_array_append_new(list, spec_json(agent, &placements[i].spec));
            chosen[i] = NULL;
        }
    }
    w->starts += (uint32_t)call->count;
    json_t *body = json_pack("{s:I,s:o}", "lease",
                             (json_int_t)GfRack_Lease(agent->rack, &w->name),
                             "tasks", list);
    GfHttp_PostJson(agent->env->http, w->address, w->port, "/v1/start", body,
                    (int)agent->env->settings->lease.command_timeout_ms,
                    on_start, call);
}

/* Cancels the recorded starts of a gang after one of its tasks was refused.
 * None has been sent yet. */
static void
undo_gang(GfRackAgent *agent, const GfPlacement *placements,
          RackWorker **chosen, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        if (chosen[i] != NULL) {
            GfRack_StartRefused(agent->rack, &chosen[i]->name,
                                &placements[i].spec.id);
            chosen[i] = NULL;
        }
    }
}

/* Creates the record of a batch with one reference for each placement and one
 * for the caller, so that the batch isn't finished while its placements are
 * still being added. */
static RackBatch *
new_batch(size_t count, GfPlacementCallback callback, void *arg)
{
    RackBatch *batch = calloc(1, sizeof(*batch));
    if (batch == NULL) {
        abort();
    }
    batch->placed = calloc(count, sizeof(*batch->placed));
    if (batch->placed == NULL) {
        abort();
    }
    batch->count = count;
    batch->references = count + 1;
    batch->callback = callback;
    batch->arg = arg;
    return batch;
}

/* Records that a placement waits for the result of its start. */
static void
await_start(GfRackAgent *agent, const GfName *task, RackBatch *batch,
            size_t index)
{
    RackStart *s = calloc(1, sizeof(*s));
    if (s == NULL) {
        abort();
    }
    s->task = *task;
    s->batch = batch;
    s->index = index;
    HASH_ADD(hh, agent->starts, task, sizeof(s->task), s);
}

/* Starts tasks on workers of the rack, or refuses them. Of a gang, all tasks
 * are started or none. The callback runs exactly once, after the last result,
 * and possibly before this call returns. placements are copied. */
void
GfRackAgent_Place(GfRackAgent *agent, const GfPlacement *placements,
                  size_t count, bool gang, GfPlacementCallback callback,
                  void *arg)
{
    assert(agent != NULL && placements != NULL && count > 0);
    RackBatch *batch = new_batch(count, callback, arg);
    RackWorker **chosen = calloc(count, sizeof(RackWorker *));
    GfErrorKind *kinds = calloc(count, sizeof(*kinds));
    if (chosen == NULL || kinds == NULL) {
        abort();
    }
    GfErrorKind gang_kind = GF_OK;
    for (size_t i = 0; i < count && gang_kind == GF_OK; i++) {
        kinds[i] = admit(agent, &placements[i], &chosen[i]);
        if (gang && kinds[i] != GF_OK) {
            gang_kind = kinds[i];
        }
    }
    if (gang_kind != GF_OK) {
        undo_gang(agent, placements, chosen, count);
    }
    for (size_t i = 0; i < count; i++) {
        GfErrorKind kind = gang_kind != GF_OK ? gang_kind : kinds[i];
        if (kind == GF_OK) {
            await_start(agent, &placements[i].spec.id, batch, i);
        }
        else {
            GfMetrics_Add(GF_METRIC_TASKS_REFUSED, 1);
            finish_placement(batch, i, kind, GF_RAN_NO, NULL);
        }
    }
    for (size_t i = 0; i < count; i++) {
        if (chosen[i] != NULL) {
            send_starts(agent, chosen[i], placements, chosen, count);
        }
    }
    release_batch(batch);
    free(chosen);
    free(kinds);
}

/* Ignores the response to a stop; the inventory shows its effect. */
static void
on_stop(void *arg, const GfHttpResult *result)
{
    (void)arg;
    (void)result;
}

/* Sends a stop, checkpoint or throttle command for a task to a worker. Nothing
 * is sent to an unknown worker or one whose lease isn't held. */
static void
send_stop(GfRackAgent *agent, const GfName *worker, const GfName *task,
          GfStopMode mode)
{
    RackWorker *w = RackAgent_FindWorker(agent, worker);
    struct timespec now = RackAgent_Now(agent);
    if (w == NULL || !GfRack_Holds(agent->rack, worker, now)) {
        return;
    }
    json_t *body =
        json_pack("{s:I,s:s,s:s}", "lease",
                  (json_int_t)GfRack_Lease(agent->rack, worker), "task",
                  task->data, "mode", GfStopMode_Name(mode));
    GfHttp_PostJson(agent->env->http, w->address, w->port, "/v1/stop", body,
                    (int)agent->env->settings->lease.command_timeout_ms,
                    on_stop, NULL);
}

/* Stops, checkpoints or throttles a task that runs on the rack. A task that
 * isn't running is ignored. There is no result; the inventory shows the
 * effect. */
void
GfRackAgent_Stop(GfRackAgent *agent, const GfName *task, GfStopMode mode)
{
    GfName worker;
    const GfTask *found = GfRack_FindTask(agent->rack, task, &worker);
    if (found != NULL && found->state == GF_TASK_RUNNING) {
        send_stop(agent, &worker, task, mode);
    }
}

/* Which tasks list_task reports, and to which callback: the completed ones
 * that are not acknowledged yet, or all tasks of one partition. */
typedef struct {
    GfRackAgent *agent;
    uint32_t partition;
    bool completed_only;
    GfEventCallback callback;
    void *ctx;
} TaskListing;

/* Tells whether the owner of a task's job has acknowledged its completion and
 * the worker hasn't confirmed that it was told so. */
static bool
is_acked(GfRackAgent *agent, const GfName *worker, const GfName *task)
{
    const RackWorker *w = RackAgent_FindWorker(agent, worker);
    RackAck *ack = NULL;
    if (w != NULL) {
        HASH_FIND(hh, w->acks, task, sizeof(*task), ack);
    }
    return ack != NULL;
}

/* Reports one task of the inventories, if the listing includes it. */
static void
list_task(void *ctx, const GfName *worker, const GfTask *task)
{
    const TaskListing *listing = ctx;
    uint32_t partition = 0;
    if (listing->completed_only) {
        if (task->state == GF_TASK_RUNNING ||
            is_acked(listing->agent, worker, &task->spec.id)) {
            return;
        }
    }
    else if (!GfTask_Partition(&task->spec.id, &partition) ||
             partition != listing->partition) {
        return;
    }
    GfTaskEvent event = {.task = task->spec.id,
                         .rack = listing->agent->name,
                         .worker = *worker,
                         .state = task->state,
                         .exit_code = task->exit_code};
    listing->callback(listing->ctx, &event);
}

/* Lists the tasks of a partition that are on the rack, and refuses from now on
 * every placement of the partition up to the given epoch and seq. Returns
 * whether the list is complete. If so, a task of such a placement that isn't
 * listed is not on the rack and can't appear there later. Returns false
 * without a list for an epoch older than the fence or a partition of
 * RACK_MAX_FENCES or more. */
bool
GfRackAgent_ListPartitionTasks(GfRackAgent *agent, uint32_t partition,
                               uint64_t epoch, uint64_t seq,
                               GfEventCallback callback, void *ctx)
{
    if (partition >= RACK_MAX_FENCES ||
        epoch < agent->fences[partition].epoch) {
        return false;
    }
    if (epoch > agent->fences[partition].epoch ||
        seq > agent->fences[partition].seq) {
        agent->fences[partition].epoch = epoch;
        agent->fences[partition].seq = seq;
    }
    TaskListing listing = {.agent = agent,
                           .partition = partition,
                           .callback = callback,
                           .ctx = ctx};
    GfRack_ForEachTask(agent->rack, list_task, &listing);
    return GfRack_IsComplete(agent->rack, RackAgent_Now(agent)) &&
           !GfRack_HasPendingStart(agent->rack, partition);
}

/* Lists the completed tasks whose jobs' owners haven't acknowledged the
 * completion. Outside a term there are none. */
void
GfRackAgent_ForEachCompleted(GfRackAgent *agent, GfEventCallback callback,
                             void *ctx)
{
    if (agent->term == 0) {
        return;
    }
    TaskListing listing = {.agent = agent,
                           .completed_only = true,
                           .callback = callback,
                           .ctx = ctx};
    GfRack_ForEachTask(agent->rack, list_task, &listing);
}

/* Counts the completion of a task on a worker if it failed. When at least half
 * of the tasks started there have failed, out of at least
 * MIN_STARTS_TO_EXCLUDE, the worker gets no new tasks for EXCLUDE_MS. */
static void
exclude_if_failing(RackWorker *w, GfTaskState state, struct timespec now)
{
    w->failures += state == GF_TASK_FAILED;
    if (state == GF_TASK_FAILED && w->starts >= MIN_STARTS_TO_EXCLUDE &&
        w->failures * 2 >= w->starts) {
        GfLog(
            GF_LOG_WARNING, PART,
            "worker excluded for failed tasks worker=%s failures=%u tasks=%u",
            w->name.data, w->failures, w->starts);
        w->excluded_until = GfTime_AddMs(now, EXCLUDE_MS);
        w->starts = 0;
        w->failures = 0;
    }
}

/* Records that the completion of a task is durable with its job's owner, so
 * that the worker is told to forget the task. Unknown and running tasks are
 * ignored. */
void
GfRackAgent_Ack(GfRackAgent *agent, const GfName *task)
{
    GfName worker;
    const GfTask *found = GfRack_FindTask(agent->rack, task, &worker);
    RackWorker *w =
        found == NULL ? NULL : RackAgent_FindWorker(agent, &worker);
    if (w == NULL || found->state == GF_TASK_RUNNING ||
        is_acked(agent, &worker, task)) {
        return;
    }
    exclude_if_failing(w, found->state, RackAgent_Now(agent));
    RackAck *ack = calloc(1, sizeof(*ack));
    if (ack == NULL) {
        abort();
    }
    ack->task = *task;
    HASH_ADD(hh, w->acks, task, sizeof(ack->task), ack);
    w->next_call = RackAgent_Now(agent);
}

/* The checkpoints sent in one pass over the tasks of a rack. */
typedef struct {
    GfRackAgent *agent;
    uint32_t sent;
} DrainPass;

/* Checkpoints a running task that can run again on another rack. */
static void
checkpoint_task(void *ctx, const GfName *worker, const GfTask *task)
{
    DrainPass *drain = ctx;
    if (task->state == GF_TASK_RUNNING && task->spec.repeatable &&
        drain->sent < DRAIN_BATCH) {
        drain->sent++;
        send_stop(drain->agent, worker, &task->spec.id, GF_STOP_CHECKPOINT);
    }
}

/* While the rack's failure domain is taken out, checkpoints its repeatable
 * tasks, so that their owners start them elsewhere. Tasks that are not
 * repeatable run to completion. */
void
RackTasks_Drain(GfRackAgent *agent)
{
    struct timespec now = RackAgent_Now(agent);
    if (agent->term == 0 || GfTime_Before(now, agent->next_drain) ||
        !GfControl_DomainIsOut(agent->env->control, &agent->domain)) {
        return;
    }
    agent->next_drain = GfTime_AddMs(now, DRAIN_INTERVAL_MS);
    DrainPass drain = {.agent = agent};
    GfRack_ForEachTask(agent->rack, checkpoint_task, &drain);
}

/* A search for the latest-started running task of a team. */
typedef struct {
    GfName team;
    const GfTask *newest; /* NULL if none was found */
    GfName worker;
    int64_t before_ms; /* start time that it must precede */
} NewestTask;

/* Keeps the given task if it is the latest-started running one of the team,
 * among those started before before_ms. */
static void
consider_newest(void *ctx, const GfName *worker, const GfTask *task)
{
    NewestTask *n = ctx;
    if (task->state == GF_TASK_RUNNING &&
        GfName_Equal(&task->spec.team, &n->team) &&
        task->started_ms < n->before_ms &&
        (n->newest == NULL || task->started_ms > n->newest->started_ms)) {
        n->newest = task;
        n->worker = *worker;
    }
}

/* Stops the most recently started tasks of a team until the rest is within the
 * rack's allotment. Repeatable tasks are checkpointed and wait for free
 * capacity; others are killed. */
static void
stop_excess(GfRackAgent *agent, const GfName *team)
{
    uint64_t excess = RackAllot_Excess(agent, team);
    NewestTask n = {.team = *team, .before_ms = INT64_MAX};
    while (excess > 0) {
        n.newest = NULL;
        GfRack_ForEachTask(agent->rack, consider_newest, &n);
        if (n.newest == NULL) {
            return;
        }
        send_stop(agent, &n.worker, &n.newest->spec.id,
                  n.newest->spec.repeatable ? GF_STOP_CHECKPOINT
                                            : GF_STOP_KILL);
        uint64_t freed = n.newest->spec.need.mcores;
        excess = excess > freed ? excess - freed : 0;
        n.before_ms = n.newest->started_ms;
    }
}

/* Stops tasks of the teams that use more than the rack's allotment, as happens
 * after a team limit was lowered. Checks every ENFORCE_INTERVAL_MS. */
void
RackTasks_EnforceLimits(GfRackAgent *agent)
{
    struct timespec now = RackAgent_Now(agent);
    const GfBundle *bundle = GfControl_Bundle(agent->env->control);
    if (agent->term == 0 || GfTime_Before(now, agent->next_enforcement) ||
        bundle == NULL || !RackAllot_IsKnown(agent)) {
        return;
    }
    agent->next_enforcement = GfTime_AddMs(now, ENFORCE_INTERVAL_MS);
    for (size_t i = 0; i < GfBundle_TeamCount(bundle); i++) {
        stop_excess(agent, &GfBundle_TeamAt(bundle, i)->name);
    }
}
