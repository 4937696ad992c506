#include <assert.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "guavaflow/log.h"
#include "guavaflow/metrics.h"
#include "keeper_private.h"

#define REFUSED_RETRY_MS 50
#define FAILED_RETRY_MS 200
#define LIMIT_RETRY_MS 300

/* Puts a task that surely does not run back into its queue. */
void
Keeper_Requeue(GfKeeper *k, GfJobTask *t, int64_t delay_ms)
{
    if (t->job->cancelled) {
        Keeper_FinishTask(k, t, GF_JOB_CANCELLED);
        return;
    }
    t->next_try = GfTime_AddMs(GfClock_Now(k->clock), delay_ms);
    Keeper_SetState(k, t, GF_JOB_WAITING);
}

/* Notes that a task runs, and stops it if its job was cancelled meanwhile. */
void
Keeper_NoteRunning(GfKeeper *k, GfJobTask *t, const GfName *rack,
                   const GfName *worker)
{
    t->rack = *rack;
    t->worker = *worker;
    Keeper_SetState(k, t, GF_JOB_RUNNING);
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
    GfJobTask *t = Keeper_FindTask(keeper, &placement->spec.id, &attempt);
    if (t == NULL || attempt != t->attempt || t->state != GF_JOB_PLACING) {
        return;
    }
    if (placed->kind == GF_OK) {
        Keeper_NoteRunning(keeper, t, &placement->rack, &placed->worker);
    }
    else if (placed->ran == GF_RAN_NO) {
        if (placed->kind == GF_LIMIT_REACHED) {
            struct timespec now = GfClock_Now(keeper->clock);
            GfFleet_BlockTeam(keeper->fleet, &placement->rack,
                              &placement->spec.team,
                              GfTime_AddMs(now, LIMIT_RETRY_MS));
        }
        Keeper_Requeue(keeper, t, REFUSED_RETRY_MS);
    }
    else {
        Keeper_SetState(keeper, t, GF_JOB_DOUBT);
    }
}

/* Takes the end of an attempt. */
static void
take_end(GfKeeper *k, GfJobTask *t, const GfTaskEvent *event)
{
    const GfJobSpec *job = &t->job->spec;
    t->rack = event->rack;
    t->worker = event->worker;
    t->exit_code = event->exit_code;
    GfMetrics_Add(event->state == GF_TASK_ENDED ? GF_METRIC_TASKS_COMPLETED
                                                : GF_METRIC_TASKS_FAILED,
                  1);
    if (t->job->cancelled) {
        Keeper_FinishTask(k, t, GF_JOB_CANCELLED);
        return;
    }
    bool endless = job->work_class == GF_CLASS_SERVICE && job->run_ms == 0;
    if (event->state == GF_TASK_ENDED && !endless) {
        Keeper_FinishTask(k, t, GF_JOB_DONE);
        return;
    }
    if (event->state == GF_TASK_FAILED) {
        t->failures++;
    }
    bool spent = t->failures >= k->config.max_failures && !endless;
    if (!job->repeatable || spent) {
        Keeper_FinishTask(k, t,
                          event->state == GF_TASK_LOST ? GF_JOB_UNKNOWN
                                                       : GF_JOB_FAILED);
        return;
    }
    Keeper_Requeue(k, t, event->state == GF_TASK_FAILED ? FAILED_RETRY_MS : 0);
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
    GfJobTask *t = Keeper_FindTask(keeper, &event->task, &attempt);
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
            Keeper_NoteRunning(keeper, t, &event->rack, &event->worker);
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
    const KeeperPartition *p = &keeper->partitions[partition];
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
        GfJobTask *t = Keeper_FindTask(k, &events[i].task, &attempt);
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
        Keeper_FinishTask(k, t, GF_JOB_UNKNOWN);
        return;
    }
    Keeper_Requeue(k, t, 0);
}

/* Notes that a rack was found complete during recovery; tells whether all
 * racks of the fleet have been. */
static bool
note_settled(GfKeeper *k, KeeperPartition *p, const GfName *rack)
{
    bool known = false;
    for (size_t i = 0; i < p->settled_count; i++) {
        known = known || GfName_Equal(&p->settled[i].rack, rack);
    }
    if (!known) {
        size_t bytes = (p->settled_count + 1) * sizeof(*p->settled);
        KeeperRack *grown = realloc(p->settled, bytes);
        if (grown == NULL) {
            abort();
        }
        p->settled = grown;
        p->settled[p->settled_count++] = (KeeperRack){.rack = *rack};
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
    KeeperPartition *p = &keeper->partitions[partition];
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
    KeeperEntry *e;
    KeeperEntry *tmp;
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
