#include "guavaflow/rack_agent.h"

#include <assert.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "guavaflow/log.h"
#include "guavaflow/metrics.h"
#include "rack_agent_private.h"

#define PART "rack"
#define STATUS_OK 200
#define STATUS_CONFLICT 409
#define RETRY_MS 150
#define REFUSED_RETRY_MS 400
#define RELEASE_TIMEOUT_MS 1000
#define MAX_GRANT_TASKS 65536

typedef struct {
    GfRackAgent *agent;
    GfName worker;
    struct timespec sent_at;
    bool fence;
    json_t *acks;
} LeaseCall;

/* Creates the scheduler of a rack of which no lease is held. */
GfRackAgent *
GfRackAgent_Create(const GfRackEnv *env, const GfName *name,
                   const GfName *domain)
{
    assert(env != NULL && name != NULL && domain != NULL);
    GfRackAgent *agent = calloc(1, sizeof(*agent));
    if (agent == NULL) {
        abort();
    }
    agent->env = env;
    agent->name = *name;
    agent->domain = *domain;
    agent->random = (uint32_t)GfName_Hash(name, env->first_term) | 1;
    GfRackConfig config = {.name = *name,
                           .first_term = env->first_term,
                           .margin_ms =
                               (int32_t)env->settings->lease.margin_ms,
                           .rules = GF_RACK_ALL_RULES};
    agent->rack = GfRack_Create(&config);
    RackAllot_Init(agent);
    return agent;
}

/* Forgets a worker's acknowledgements. */
static void
free_acks(RackWorker *w)
{
    RackAck *ack;
    RackAck *tmp;
    HASH_ITER(hh, w->acks, ack, tmp)
    {
        HASH_DEL(w->acks, ack);
        free(ack);
    }
}

/* Frees the scheduler. */
void
GfRackAgent_Destroy(GfRackAgent *agent)
{
    if (agent == NULL) {
        return;
    }
    for (size_t i = 0; i < agent->worker_count; i++) {
        free_acks(agent->workers[i]);
        free(agent->workers[i]);
    }
    RackAllot_Clear(agent);
    RackTeamLoad *load;
    RackTeamLoad *tmp;
    HASH_ITER(hh, agent->loads, load, tmp)
    {
        HASH_DEL(agent->loads, load);
        free(load);
    }
    free(agent->workers);
    free(agent->instances);
    GfRack_Destroy(agent->rack);
    free(agent);
}

/* Returns the rack's name. */
const GfName *
GfRackAgent_Name(const GfRackAgent *agent)
{
    return &agent->name;
}

/* Returns the time of the agent's clock. */
struct timespec
RackAgent_Now(const GfRackAgent *agent)
{
    return GfClock_Now(agent->env->clock);
}

/* Returns the next pseudo-random number (xorshift, Marsaglia 2003). */
uint32_t
RackAgent_Random(GfRackAgent *agent)
{
    uint32_t x = agent->random;
    x ^= x << 13;
    x ^= x >> 17;
    x ^= x << 5;
    agent->random = x;
    return x;
}

/* Finds a worker's record, or NULL. */
RackWorker *
RackAgent_FindWorker(GfRackAgent *agent, const GfName *name)
{
    for (size_t i = 0; i < agent->worker_count; i++) {
        if (GfName_Equal(&agent->workers[i]->name, name)) {
            return agent->workers[i];
        }
    }
    return NULL;
}

/* Adds a worker's record. */
static RackWorker *
add_worker(GfRackAgent *agent, const GfName *name)
{
    RackWorker *w = calloc(1, sizeof(*w));
    size_t bytes = (agent->worker_count + 1) * sizeof(*agent->workers);
    RackWorker **grown = realloc(agent->workers, bytes);
    if (w == NULL || grown == NULL) {
        abort();
    }
    w->agent = agent;
    w->name = *name;
    agent->workers = grown;
    agent->workers[agent->worker_count++] = w;
    GfRack_AddWorker(agent->rack, name, RackAgent_Now(agent));
    return w;
}

/* Takes what the host list says of a worker or target of this rack. */
void
GfRackAgent_SetHost(GfRackAgent *agent, const GfHost *host)
{
    if (host->kind == GF_HOST_TARGET) {
        RackRequests_SetTarget(agent, host);
        return;
    }
    if (host->kind != GF_HOST_WORKER) {
        return;
    }
    RackWorker *w = RackAgent_FindWorker(agent, &host->name);
    if (w == NULL) {
        if (host->state == GF_HOST_GONE) {
            return;
        }
        w = add_worker(agent, &host->name);
    }
    snprintf(w->address, sizeof(w->address), "%s", host->address);
    w->port = host->port;
    w->state = host->state;
    bool gone = host->state == GF_HOST_GONE;
    if (gone && !w->gone) {
        w->gone_at = RackAgent_Now(agent);
    }
    w->gone = gone;
    if (!gone && !GfRack_HasWorker(agent->rack, &w->name)) {
        GfRack_AddWorker(agent->rack, &w->name, RackAgent_Now(agent));
    }
}

/* Reads one task of an inventory. */
static bool
parse_task(const json_t *json, GfTask *task)
{
    const json_t *spec = json_object_get(json, "spec");
    memset(task, 0, sizeof(*task));
    task->state = GfTaskState_FromName(
        json_string_value(json_object_get(json, "state")));
    task->exit_code =
        (int)json_integer_value(json_object_get(json, "exit_code"));
    task->started_ms = json_integer_value(json_object_get(spec, "started"));
    GfTaskSpec *s = &task->spec;
    s->need.mcores =
        (uint32_t)json_integer_value(json_object_get(spec, "mcores"));
    s->need.memory_mb =
        (uint32_t)json_integer_value(json_object_get(spec, "memory_mb"));
    s->need.accelerators =
        (uint32_t)json_integer_value(json_object_get(spec, "accelerators"));
    s->repeatable = json_is_true(json_object_get(spec, "repeatable"));
    GfClass work_class = GF_CLASS_BATCH;
    GfClass_FromName(json_string_value(json_object_get(spec, "class")),
                     &work_class);
    s->work_class = work_class;
    return GfName_SetText(&s->id,
                          json_string_value(json_object_get(json, "id"))) &&
           GfName_SetText(&s->team,
                          json_string_value(json_object_get(spec, "team"))) &&
           s->id.len > 0;
}

/* Reads a worker's grant. Returns false if it is malformed. The caller frees
 * the tasks. */
static bool
parse_grant(const json_t *json, int32_t ttl_ms, GfLeaseGrant *grant)
{
    memset(grant, 0, sizeof(*grant));
    json_t *lease = json_object_get(json, "lease");
    json_t *version = json_object_get(json, "version");
    json_t *list = json_object_get(json, "tasks");
    if (!json_is_integer(lease) || !json_is_integer(version) ||
        json_array_size(list) > MAX_GRANT_TASKS ||
        !GfName_SetText(&grant->boot,
                        json_string_value(json_object_get(json, "boot")))) {
        return false;
    }
    grant->lease = json_integer_value(lease);
    grant->version = json_integer_value(version);
    grant->ttl_ms = ttl_ms;
    grant->capacity.mcores =
        (uint32_t)json_integer_value(json_object_get(json, "mcores"));
    grant->capacity.memory_mb =
        (uint32_t)json_integer_value(json_object_get(json, "memory_mb"));
    grant->capacity.accelerators =
        (uint32_t)json_integer_value(json_object_get(json, "accelerators"));
    grant->unchanged = list == NULL;
    grant->task_count = json_array_size(list);
    GfTask *tasks = calloc(grant->task_count + 1, sizeof(*tasks));
    if (tasks == NULL) {
        abort();
    }
    grant->tasks = tasks;
    for (size_t i = 0; i < grant->task_count; i++) {
        if (!parse_task(json_array_get(list, i), &tasks[i])) {
            free(tasks);
            grant->tasks = NULL;
            return false;
        }
    }
    return true;
}

/* Takes the acknowledgements that a call carried off the worker's table. */
static void
drop_acks(RackWorker *w, const json_t *sent)
{
    size_t i;
    json_t *item;
    json_array_foreach(sent, i, item)
    {
        GfName task;
        RackAck *ack = NULL;
        if (GfName_SetText(&task, json_string_value(item))) {
            HASH_FIND(hh, w->acks, &task, sizeof(task), ack);
        }
        if (ack != NULL) {
            HASH_DEL(w->acks, ack);
            free(ack);
        }
    }
}

/* Lists a worker's acknowledgements for a call. */
static json_t *
list_acks(const RackWorker *w)
{
    json_t *list = json_array();
    for (const RackAck *ack = w->acks; ack != NULL; ack = ack->hh.next) {
        json_array_append_new(list, json_string(ack->task.data));
    }
    return list;
}

/* Takes a grant into the rack's state. */
static void
take_grant(GfRackAgent *agent, RackWorker *w, const LeaseCall *call,
           const json_t *body)
{
    GfLeaseGrant grant;
    int32_t ttl = (int32_t)agent->env->settings->lease.ttl_ms;
    if (!parse_grant(body, ttl, &grant)) {
        GfLog(GF_LOG_WARNING, PART, "Worker %s sent a malformed grant.",
              w->name.data);
        return;
    }
    struct timespec now = RackAgent_Now(agent);
    if (GfRack_Granted(agent->rack, &w->name, &grant, call->sent_at, now,
                       RackTasks_OnFlight, agent)) {
        GfMetrics_Add(GF_METRIC_LEASES_GRANTED, 1);
    }
    free((void *)grant.tasks);
}

/* Handles a worker's answer to a lease call. */
static void
on_lease(void *arg, const GfHttpResult *result)
{
    LeaseCall *call = arg;
    GfRackAgent *agent = call->agent;
    RackWorker *w = RackAgent_FindWorker(agent, &call->worker);
    struct timespec now = RackAgent_Now(agent);
    if (w != NULL) {
        w->calls--;
        if (call->fence) {
            w->fencing = false;
        }
        if (json_array_size(call->acks) > 0) {
            w->acking = false;
        }
        json_t *body = GfHttp_ParseJson(result);
        w->next_call = now;
        if (result->kind != GF_OK || body == NULL) {
            w->next_call = GfTime_AddMs(now, RETRY_MS);
        }
        else if (result->status == STATUS_OK) {
            drop_acks(w, call->acks);
            take_grant(agent, w, call, body);
        }
        else {
            GfMetrics_Add(GF_METRIC_LEASES_REFUSED, 1);
            agent->refused = true;
            GfRack_GivenUp(agent->rack, &w->name, now);
            w->next_call = GfTime_AddMs(now, REFUSED_RETRY_MS / 2 +
                                                 RackAgent_Random(agent) %
                                                     REFUSED_RETRY_MS);
        }
        json_decref(body);
    }
    json_decref(call->acks);
    free(call);
}

/* Asks a worker for its lease, or renews it. A fence asks for a new lease,
 * which ends the effect of every command under the old one. */
void
RackAgent_CallLease(RackWorker *worker, bool fence)
{
    GfRackAgent *agent = worker->agent;
    const GfLeaseSettings *lease = &agent->env->settings->lease;
    struct timespec now = RackAgent_Now(agent);
    bool held = GfRack_Holds(agent->rack, &worker->name, now);
    int64_t known = GfRack_SeenVersion(agent->rack, &worker->name);
    int wait_ms =
        held && !fence && worker->acks == NULL ? (int)lease->renew_ms : 0;
    LeaseCall *call = calloc(1, sizeof(*call));
    if (call == NULL) {
        abort();
    }
    *call = (LeaseCall){.agent = agent,
                        .worker = worker->name,
                        .sent_at = now,
                        .fence = fence,
                        .acks = list_acks(worker)};
    json_t *body = json_pack(
        "{s:s,s:I,s:i,s:i,s:O,s:I,s:i}", "holder", agent->env->holder.data,
        "lease",
        (json_int_t)(fence ? 0 : GfRack_Lease(agent->rack, &worker->name)),
        "ttl_ms", (int)lease->ttl_ms, "task_lapse_ms",
        (int)lease->task_lapse_ms, "acks", call->acks, "known",
        (json_int_t)known, "wait_ms", wait_ms);
    worker->calls++;
    if (fence) {
        worker->fencing = true;
        GfMetrics_Add(GF_METRIC_FENCES, 1);
    }
    GfHttp_PostJson(agent->env->http, worker->address, worker->port,
                    "/v1/lease", body,
                    wait_ms + (int)lease->command_timeout_ms, on_lease, call);
}

/* Ignores the answer to a release: an unreleased lease lapses. */
static void
on_released(void *arg, const GfHttpResult *result)
{
    (void)arg;
    (void)result;
}

/* Gives up every lease of the rack that is held. */
static void
release_all(GfRackAgent *agent)
{
    struct timespec now = RackAgent_Now(agent);
    for (size_t i = 0; i < agent->worker_count; i++) {
        RackWorker *w = agent->workers[i];
        if (!GfRack_Holds(agent->rack, &w->name, now)) {
            continue;
        }
        json_t *body = json_pack(
            "{s:I}", "lease", (json_int_t)GfRack_Lease(agent->rack, &w->name));
        GfRack_GivenUp(agent->rack, &w->name, now);
        GfHttp_PostJson(agent->env->http, w->address, w->port, "/v1/release",
                        body, RELEASE_TIMEOUT_MS, on_released, NULL);
    }
}

/* Removes the workers that the platform calls gone, once neither a lease nor
 * a task of theirs can be alive. */
static void
remove_gone(GfRackAgent *agent, struct timespec now)
{
    const GfLeaseSettings *lease = &agent->env->settings->lease;
    int64_t lapse_ms = (int64_t)lease->ttl_ms + lease->task_lapse_ms;
    for (size_t i = 0; i < agent->worker_count; i++) {
        RackWorker *w = agent->workers[i];
        if (w->gone && GfRack_HasWorker(agent->rack, &w->name) &&
            GfTime_DiffMs(now, w->gone_at) > lapse_ms) {
            GfRack_RemoveWorker(agent->rack, &w->name, now);
        }
    }
}

/* Calls the workers whose turn it is. */
static void
call_workers(GfRackAgent *agent, struct timespec now)
{
    for (size_t i = 0; i < agent->worker_count; i++) {
        RackWorker *w = agent->workers[i];
        if (w->gone && !GfRack_HasWorker(agent->rack, &w->name)) {
            continue;
        }
        if (GfRack_NeedsFence(agent->rack, &w->name) && !w->fencing) {
            RackAgent_CallLease(w, true);
        }
        else if ((w->calls == 0 && !GfTime_Before(now, w->next_call)) ||
                 (w->calls == 1 && w->acks != NULL && !w->acking)) {
            w->acking = w->acks != NULL;
            RackAgent_CallLease(w, false);
        }
    }
}

/* Gives a minority of leases up after a while, so that two entries that want
 * the same rack do not block each other. */
static void
yield_minority(GfRackAgent *agent, struct timespec now)
{
    const GfLeaseSettings *lease = &agent->env->settings->lease;
    if (!agent->refused || GfRack_HeldCount(agent->rack, now) == 0) {
        agent->minority_since = now;
        return;
    }
    if (GfTime_DiffMs(now, agent->minority_since) < lease->ttl_ms) {
        return;
    }
    release_all(agent);
    agent->refused = false;
    agent->minority_since = now;
    agent->back_off_until =
        GfTime_AddMs(now, RackAgent_Random(agent) % lease->ttl_ms);
}

/* Sums the ids of the workers' leases. */
static uint64_t
sum_leases(const GfRackAgent *agent)
{
    uint64_t sum = 0;
    for (size_t i = 0; i < agent->worker_count; i++) {
        if (GfRack_HasWorker(agent->rack, &agent->workers[i]->name)) {
            sum +=
                (uint64_t)GfRack_Lease(agent->rack, &agent->workers[i]->name);
        }
    }
    return sum;
}

/* Notes the begin and the end of terms. */
static void
watch_term(GfRackAgent *agent, struct timespec now)
{
    if (!GfRack_InTerm(agent->rack, now)) {
        if (agent->term != 0) {
            GfLog(GF_LOG_INFO, PART, "The term on rack %s has ended.",
                  agent->name.data);
            agent->term = 0;
            agent->minority_since = now;
            RackRequests_Fail(agent, GF_LEASE_LOST);
        }
        return;
    }
    uint64_t term = GfRack_Term(agent->rack);
    if (agent->term != term) {
        agent->term = term;
        agent->term_started = now;
        agent->refused = false;
        agent->released_clean = false;
        agent->first_sum = 0;
        GfMetrics_Add(GF_METRIC_TERMS, 1);
        GfLog(GF_LOG_INFO, PART,
              "A term on rack %s has begun with %zu of %zu.", agent->name.data,
              GfRack_HeldCount(agent->rack, now),
              GfRack_WorkerCount(agent->rack));
    }
    if (agent->first_sum == 0 && GfRack_IsComplete(agent->rack, now)) {
        agent->first_sum = sum_leases(agent);
    }
}

/* Hands the rack over: no new work, then, once no request runs and no start
 * is open, all leases are released. */
static void
hand_over(GfRackAgent *agent, struct timespec now)
{
    agent->closing = true;
    RackRequests_Fail(agent, GF_NO_OWNER);
    if (agent->running > 0 || agent->starts != NULL) {
        return;
    }
    if (GfRack_HeldCount(agent->rack, now) > 0) {
        agent->released_clean =
            GfRack_IsComplete(agent->rack, now) && agent->term != 0;
        agent->released_sum = sum_leases(agent);
        GfLog(GF_LOG_INFO, PART, "Rack %s is released.", agent->name.data);
        release_all(agent);
    }
}

/* Moves the rack on: leases, term, allotments, queues. wanted tells whether
 * this entry should schedule the rack. */
void
GfRackAgent_Tick(GfRackAgent *agent, bool wanted)
{
    struct timespec now = RackAgent_Now(agent);
    agent->wanted = wanted;
    remove_gone(agent, now);
    watch_term(agent, now);
    if (!wanted) {
        if (GfRack_HeldCount(agent->rack, now) > 0) {
            hand_over(agent, now);
        }
        if (GfRack_HeldCount(agent->rack, now) > 0) {
            call_workers(agent, now);
        }
        return;
    }
    agent->closing = false;
    if (agent->term == 0) {
        yield_minority(agent, now);
    }
    if (!GfTime_Before(now, agent->back_off_until)) {
        call_workers(agent, now);
    }
    RackAllot_Tick(agent);
    RackTasks_Drain(agent);
    RackTasks_EnforceLimits(agent);
    RackRequests_Tick(agent);
}

/* Notes that a holder gave back leases of the given sum with no request
 * running. */
void
GfRackAgent_NoteClean(GfRackAgent *agent, uint64_t lease_sum)
{
    agent->clean_sum = lease_sum;
}

/* Tells whether the leases held here are the direct successors of ones given
 * back with no request running, so that the targets' slots are free. */
bool
RackAgent_IsCleanTakeover(const GfRackAgent *agent)
{
    return agent->clean_sum > 0 && agent->first_sum > 0 &&
           agent->first_sum ==
               agent->clean_sum + GfRack_WorkerCount(agent->rack);
}

/* Tells whether a term is running here. */
bool
GfRackAgent_IsHeld(GfRackAgent *agent)
{
    return GfRack_InTerm(agent->rack, RackAgent_Now(agent));
}

/* Tells whether any lease of the rack is held here. */
bool
GfRackAgent_HoldsAny(GfRackAgent *agent)
{
    return GfRack_HeldCount(agent->rack, RackAgent_Now(agent)) > 0 ||
           agent->running > 0;
}

/* Tells whether this entry gave the rack's leases back with nothing running,
 * and their sum. */
bool
GfRackAgent_WasReleasedClean(const GfRackAgent *agent, uint64_t *lease_sum)
{
    *lease_sum = agent->released_sum;
    return agent->released_clean;
}

/* Tells whether work may be started on the rack now. */
bool
RackAgent_MayStart(GfRackAgent *agent, GfErrorKind *why)
{
    struct timespec now = RackAgent_Now(agent);
    if (!GfRack_InTerm(agent->rack, now)) {
        *why = GF_LEASE_LOST;
        return false;
    }
    if (agent->closing) {
        *why = GF_NO_OWNER;
        return false;
    }
    if (!GfControl_IsConfirmed(agent->env->control, now)) {
        *why = GF_NOT_CONFIRMED;
        return false;
    }
    if (GfControl_DomainIsOut(agent->env->control, &agent->domain)) {
        *why = GF_NO_OWNER;
        return false;
    }
    return true;
}

/* Returns the larger of each dimension. */
static void
widen(GfRoom *room, const GfRoom *other)
{
    if (other->mcores > room->mcores) {
        *room = *other;
    }
}

/* Describes the rack as its holder states it to other entries. */
void
GfRackAgent_View(GfRackAgent *agent, GfRackView *view)
{
    struct timespec now = RackAgent_Now(agent);
    GfErrorKind why = GF_OK;
    memset(view, 0, sizeof(*view));
    view->rack = agent->name;
    view->holder = agent->env->member;
    view->stated_at = now;
    view->open = RackAgent_MayStart(agent, &why);
    view->term = GfRack_Term(agent->rack);
    for (size_t i = 0; i < agent->worker_count; i++) {
        const RackWorker *w = agent->workers[i];
        GfRoom capacity = GfRack_Capacity(agent->rack, &w->name);
        if (w->state != GF_HOST_GONE) {
            widen(&view->largest, &capacity);
        }
        if (w->state != GF_HOST_LIVE || GfTime_Before(now, w->aside_until)) {
            continue;
        }
        GfRoom room = GfRack_FreeRoom(agent->rack, &w->name, now);
        view->free_mcores += room.mcores;
        widen(&view->widest, &room);
    }
    RackRequests_View(agent, view);
}

/* Returns what a team has running on the rack. */
GfAmount
GfRackAgent_TeamUse(GfRackAgent *agent, const GfName *team)
{
    return (GfAmount){.mcores = GfRack_SeenUse(agent->rack, team),
                      .requests = RackRequests_TeamLoad(agent, team)};
}
