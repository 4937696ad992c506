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
/* Pause after a lease call that got no valid response. */
#define RETRY_MS 150
/* Scale of the pause after a refused lease: from half of this to one and a
 * half times it, at random. */
#define REFUSED_RETRY_MS 400
#define RELEASE_TIMEOUT_MS 1000
/* Tasks in one inventory; a grant with more is malformed. */
#define MAX_GRANT_TASKS 65536

/* An open lease call; on_lease frees it. */
typedef struct {
    GfRackAgent *agent;
    GfName worker;
    struct timespec sent_at;
    bool fence;
    json_t *acks;
} LeaseCall;

/* Reads one task of an inventory. Returns false if its id is missing or its id
 * or team is not a valid name. Missing numbers count as 0, an unknown class as
 * batch. */
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

/* Reads a worker's grant of a lease. Returns false if it is malformed;
 * otherwise the caller frees grant->tasks. Without a task list the inventory
 * is unchanged. */
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

/* Removes the acknowledgements that the worker has received with a call. */
static void
remove_acks(RackWorker *w, const json_t *sent)
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

/* Returns a new array of the tasks to acknowledge in a call. They stay on the
 * worker's list until the worker has answered. */
static json_t *
list_acks(const RackWorker *w)
{
    json_t *list = json_array();
    for (const RackAck *ack = w->acks; ack != NULL; ack = ack->hh.next) {
        json_array_append_new(list, json_string(ack->task.data));
    }
    return list;
}

/* Applies a worker's grant to the rack. A malformed grant is logged and
 * ignored; the lease then expires at its old time. */
static void
apply_grant(GfRackAgent *agent, RackWorker *w, const LeaseCall *call,
            const json_t *body)
{
    GfLeaseGrant grant;
    int32_t ttl = (int32_t)agent->env->settings->lease.ttl_ms;
    if (!parse_grant(body, ttl, &grant)) {
        GfLog(GF_LOG_WARNING, PART, "malformed lease grant ignored worker=%s",
              w->name.data);
        return;
    }
    struct timespec now = RackAgent_Now(agent);
    if (GfRack_ApplyGrant(agent->rack, &w->name, &grant, call->sent_at, now,
                          RackTasks_OnPendingStart, agent)) {
        GfMetrics_Add(GF_METRIC_LEASES_GRANTED, 1);
    }
    free((void *)grant.tasks);
}

/* Handles the response to a lease call and frees the call. With a status other
 * than 200 the worker refuses the lease, which is then no longer held here.
 * Without a valid response it is unknown whether the lease was renewed; it
 * expires at its old time unless a later call renews it. */
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
            remove_acks(w, call->acks);
            apply_grant(agent, w, call, body);
        }
        else {
            GfMetrics_Add(GF_METRIC_LEASES_REFUSED, 1);
            agent->lease_refused = true;
            GfRack_DropLease(agent->rack, &w->name, now);
            w->next_call = GfTime_AddMs(now, REFUSED_RETRY_MS / 2 +
                                                 RackAgent_Random(agent) %
                                                     REFUSED_RETRY_MS);
        }
        json_decref(body);
    }
    json_decref(call->acks);
    free(call);
}

/* Requests or renews the lease of a worker and sends its acknowledgements
 * along. With fence set it requests a new lease, which invalidates every
 * command sent under the old one. A renewal with nothing to acknowledge lets
 * the worker delay its response for up to renew_ms until its inventory
 * changes. */
void
RackLeases_CallWorker(RackWorker *worker, bool fence)
{
    GfRackAgent *agent = worker->agent;
    const GfLeaseSettings *lease = &agent->env->settings->lease;
    struct timespec now = RackAgent_Now(agent);
    bool held = GfRack_Holds(agent->rack, &worker->name, now);
    int64_t known = GfRack_InventoryVersion(agent->rack, &worker->name);
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

/* Ignores the response to a release: a lease that was not released expires. */
static void
on_released(void *arg, const GfHttpResult *result)
{
    (void)arg;
    (void)result;
}

/* Releases every lease of the rack that this entry holds. The rack counts them
 * as released from now on, whatever the workers answer. */
void
RackLeases_ReleaseAll(GfRackAgent *agent)
{
    struct timespec now = RackAgent_Now(agent);
    for (size_t i = 0; i < agent->worker_count; i++) {
        RackWorker *w = agent->workers[i];
        if (!GfRack_Holds(agent->rack, &w->name, now)) {
            continue;
        }
        json_t *body = json_pack(
            "{s:I}", "lease", (json_int_t)GfRack_Lease(agent->rack, &w->name));
        GfRack_DropLease(agent->rack, &w->name, now);
        GfHttp_PostJson(agent->env->http, w->address, w->port, "/v1/release",
                        body, RELEASE_TIMEOUT_MS, on_released, NULL);
    }
}

/* Calls the workers that are due: those that need a new lease, those with no
 * open call whose pause is over, and those with acknowledgements to send while
 * one call waits. */
void
RackLeases_Call(GfRackAgent *agent, struct timespec now)
{
    for (size_t i = 0; i < agent->worker_count; i++) {
        RackWorker *w = agent->workers[i];
        if (w->gone && !GfRack_HasWorker(agent->rack, &w->name)) {
            continue;
        }
        if (GfRack_NeedsFence(agent->rack, &w->name) && !w->fencing) {
            RackLeases_CallWorker(w, true);
        }
        else if ((w->calls == 0 && !GfTime_Before(now, w->next_call)) ||
                 (w->calls == 1 && w->acks != NULL && !w->acking)) {
            w->acking = w->acks != NULL;
            RackLeases_CallWorker(w, false);
        }
    }
}
