#include <assert.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "guavaflow/log.h"
#include "guavaflow/metrics.h"
#include "job_tracker_private.h"

/* Delays before a task is tried again: after a refused placement, after a
 * failed attempt, and on a rack where its team reached its limit. */
#define REFUSED_RETRY_MS 50
#define FAILED_RETRY_MS 200
#define LIMIT_RETRY_MS 300

/* Queues a task again that is known not to run. It is tried after delay_ms at
 * the earliest. If its job was cancelled, it becomes cancelled instead. */
void
JobTracker_Requeue(GfJobTracker *jt, GfJobTask *t, int64_t delay_ms)
{
    if (t->job->cancelled) {
        JobTracker_FinishTask(jt, t, GF_JOB_CANCELLED);
        return;
    }
    t->next_try = GfTime_AddMs(GfClock_Now(jt->clock), delay_ms);
    JobTracker_SetState(jt, t, GF_JOB_WAITING);
}

/* Marks a task as running on a worker. If its job was cancelled meanwhile, the
 * task is stopped. */
void
JobTracker_MarkRunning(GfJobTracker *jt, GfJobTask *t, const GfName *rack,
                       const GfName *worker)
{
    t->rack = *rack;
    t->worker = *worker;
    JobTracker_SetState(jt, t, GF_JOB_RUNNING);
    if (t->job->cancelled) {
        GfName id = GfJobTask_Id(t);
        jt->ops->stop(jt->ctx, rack, &id, GF_STOP_KILL);
    }
}

/* Handles the outcome of a placement. It is ignored unless the task still
 * waits for just this attempt. A start that certainly did not happen is tried
 * again; one that may have happened makes the task unconfirmed. A team that
 * reached its limit on the rack is not placed there for LIMIT_RETRY_MS. */
void
GfJobTracker_HandlePlacement(GfJobTracker *tracker,
                             const GfPlacement *placement,
                             const GfPlacementResult *placed)
{
    uint32_t attempt = 0;
    GfJobTask *t = JobTracker_FindTask(tracker, &placement->spec.id, &attempt);
    if (t == NULL || attempt != t->attempt || t->state != GF_JOB_PLACING) {
        return;
    }
    if (placed->kind == GF_OK) {
        JobTracker_MarkRunning(tracker, t, &placement->rack, &placed->worker);
    }
    else if (placed->ran == GF_RAN_NO) {
        if (placed->kind == GF_LIMIT_REACHED) {
            struct timespec now = GfClock_Now(tracker->clock);
            GfFleet_BlockTeam(tracker->fleet, &placement->rack,
                              &placement->spec.team,
                              GfTime_AddMs(now, LIMIT_RETRY_MS));
        }
        JobTracker_Requeue(tracker, t, REFUSED_RETRY_MS);
    }
    else {
        JobTracker_SetState(tracker, t, GF_JOB_UNCONFIRMED);
    }
}

/* Handles the completion of the current attempt: decides whether the task is
 * final or starts again. A service that runs until it is stopped starts again
 * however its attempt completed. */
static void
handle_completion(GfJobTracker *jt, GfJobTask *t, const GfTaskEvent *event)
{
    const GfJobSpec *job = &t->job->spec;
    t->rack = event->rack;
    t->worker = event->worker;
    t->exit_code = event->exit_code;
    GfMetrics_Add(event->state == GF_TASK_ENDED ? GF_METRIC_TASKS_COMPLETED
                                                : GF_METRIC_TASKS_FAILED,
                  1);
    if (t->job->cancelled) {
        JobTracker_FinishTask(jt, t, GF_JOB_CANCELLED);
        return;
    }
    bool runs_until_stopped =
        job->work_class == GF_CLASS_SERVICE && job->run_ms == 0;
    if (event->state == GF_TASK_ENDED && !runs_until_stopped) {
        JobTracker_FinishTask(jt, t, GF_JOB_DONE);
        return;
    }
    if (event->state == GF_TASK_FAILED) {
        t->failures++;
    }
    bool retries_exhausted =
        t->failures >= jt->config.max_failures && !runs_until_stopped;
    if (!job->repeatable || retries_exhausted) {
        JobTracker_FinishTask(jt, t,
                              event->state == GF_TASK_LOST ? GF_JOB_UNKNOWN
                                                           : GF_JOB_FAILED);
        return;
    }
    JobTracker_Requeue(jt, t,
                       event->state == GF_TASK_FAILED ? FAILED_RETRY_MS : 0);
}

/* Handles an event of an attempt, reported by the holder of its rack. Returns
 * whether the holder may forget the attempt: its result is durable, the task
 * starts again without it, or the attempt is unknown or superseded and does
 * not run. */
bool
GfJobTracker_HandleEvent(GfJobTracker *tracker, const GfTaskEvent *event)
{
    uint32_t partition = 0;
    uint32_t attempt = 0;
    if (!GfTask_Partition(&event->task, &partition) ||
        partition >= tracker->config.partitions ||
        !tracker->partitions[partition].open) {
        return false;
    }
    GfJobTask *t = JobTracker_FindTask(tracker, &event->task, &attempt);
    if (t == NULL || attempt < t->attempt) {
        return event->state != GF_TASK_RUNNING;
    }
    if (GfJobTask_IsFinal(t)) {
        return t->durable && event->state != GF_TASK_RUNNING;
    }
    bool rack_unknown = t->state == GF_JOB_UNCONFIRMED && t->rack.len == 0;
    if (rack_unknown && event->state != GF_TASK_RUNNING &&
        event->state != GF_TASK_ENDED) {
        /* After a takeover a later attempt may be running on another rack. */
        return false;
    }
    t->attempt = attempt;
    if (event->state == GF_TASK_RUNNING) {
        if (t->state == GF_JOB_UNCONFIRMED || t->state == GF_JOB_PLACING) {
            JobTracker_MarkRunning(tracker, t, &event->rack, &event->worker);
        }
        return false;
    }
    if (t->state == GF_JOB_WAITING) {
        return true;
    }
    handle_completion(tracker, t, event);
    return !GfJobTask_IsFinal(t);
}

/* Returns whether the racks must be asked for inventories of a partition. Sets
 * the epoch and seq to send with the query, which invalidate every placement
 * made so far that has not reached its rack. Sets *urgent if the partition is
 * recovering or tasks of any partition are unconfirmed; otherwise the
 * inventories only check on running tasks. */
bool
GfJobTracker_NeedsInventory(const GfJobTracker *tracker, uint32_t partition,
                            bool *urgent, uint64_t *epoch, uint64_t *seq)
{
    const JobTrackerPartition *p = &tracker->partitions[partition];
    *epoch = p->epoch;
    *seq = p->seq;
    *urgent = p->recovering || tracker->state_counts[GF_JOB_UNCONFIRMED] > 0;
    return p->open && (*urgent || tracker->state_counts[GF_JOB_RUNNING] > 0);
}

/* Marks the tasks whose current attempt an inventory lists. */
static void
mark_listed(GfJobTracker *jt, const GfTaskEvent *events, size_t count)
{
    jt->inventory_mark++;
    for (size_t i = 0; i < count; i++) {
        uint32_t attempt = 0;
        GfJobTask *t = JobTracker_FindTask(jt, &events[i].task, &attempt);
        if (t != NULL && attempt == t->attempt) {
            t->inventory_mark = jt->inventory_mark;
        }
    }
}

/* Resolves a task that is on none of the racks where it could be. If it is not
 * repeatable, it may have run before, so it is not started again. */
static void
resolve_missing_task(GfJobTracker *jt, GfJobTask *t)
{
    if (!t->job->spec.repeatable) {
        JobTracker_FinishTask(jt, t, GF_JOB_UNKNOWN);
        return;
    }
    JobTracker_Requeue(jt, t, 0);
}

/* Notes that a rack gave a complete inventory during recovery. Returns whether
 * every rack of the fleet has given one. */
static bool
note_complete_inventory(GfJobTracker *jt, JobTrackerPartition *p,
                        const GfName *rack)
{
    bool known = false;
    for (size_t i = 0; i < p->inventoried_count; i++) {
        known = known || GfName_Equal(&p->inventoried[i].rack, rack);
    }
    if (!known) {
        size_t bytes = (p->inventoried_count + 1) * sizeof(*p->inventoried);
        JobTrackerRack *resized = realloc(p->inventoried, bytes);
        if (resized == NULL) {
            abort();
        }
        p->inventoried = resized;
        p->inventoried[p->inventoried_count++] =
            (JobTrackerRack){.rack = *rack};
    }
    return p->inventoried_count >= GfFleet_Count(jt->fleet);
}

/* Handles the inventory of one rack: the events of the partition's tasks
 * there. seq is the number that was sent with the query. In a complete
 * inventory, an unlisted task that was placed up to seq is not on the rack and
 * cannot appear there later, so it is resolved as missing; an incomplete one
 * resolves no unlisted task. A task whose rack is unknown after a takeover is
 * resolved once all racks have given a complete inventory. */
void
GfJobTracker_HandleInventory(GfJobTracker *tracker, uint32_t partition,
                             uint64_t seq, const GfName *rack, bool complete,
                             const GfTaskEvent *events, size_t count)
{
    JobTrackerPartition *p = &tracker->partitions[partition];
    if (!p->open) {
        return;
    }
    for (size_t i = 0; i < count; i++) {
        GfJobTracker_HandleEvent(tracker, &events[i]);
    }
    if (!complete) {
        return;
    }
    mark_listed(tracker, events, count);
    bool all_racks =
        p->recovering && note_complete_inventory(tracker, p, rack);
    JobTrackerJob *e;
    JobTrackerJob *tmp;
    HASH_ITER(hh, tracker->jobs, e, tmp)
    {
        if (e->job->partition != partition) {
            continue;
        }
        for (uint32_t i = 0; i < e->job->spec.count; i++) {
            GfJobTask *t = &e->job->tasks[i];
            bool placed_here = GfName_Equal(&t->rack, rack) && t->seq <= seq;
            bool lost = t->state == GF_JOB_RUNNING && placed_here;
            bool unconfirmed = t->state == GF_JOB_UNCONFIRMED &&
                               (t->rack.len > 0 ? placed_here : all_racks);
            if ((lost || unconfirmed) &&
                t->inventory_mark != tracker->inventory_mark) {
                resolve_missing_task(tracker, t);
            }
        }
    }
    if (all_racks) {
        p->recovering = false;
    }
}
