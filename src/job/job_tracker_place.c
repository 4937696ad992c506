#include <assert.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "guavaflow/log.h"
#include "guavaflow/metrics.h"
#include "job_tracker_private.h"

#define MAX_TASKS_PER_ROUND 256
#define REFUSED_RETRY_MS 50
/* On a full fleet, teams are skipped that use more of their share than this
 * percentage of what the lowest waiting team uses of its own. */
#define CEILING_PERCENT 102
#define PERCENT 100
/* Attempt numbers reserved for each epoch of a partition. */
#define ATTEMPTS_PER_EPOCH 4096

/* Gives a task the number of its next attempt. Each epoch has its own range of
 * numbers, so two owners of a partition don't use the same one, as long as a
 * task has at most ATTEMPTS_PER_EPOCH attempts in an epoch. */
void
JobTracker_NextAttempt(GfJobTracker *jt, GfJobTask *t)
{
    uint64_t epoch = jt->partitions[t->job->partition].epoch;
    uint32_t first = (uint32_t)epoch * ATTEMPTS_PER_EPOCH;
    t->attempt = t->attempt < first ? first : t->attempt + 1;
}

/* Returns what a team uses, or what a need takes, in mcores for each unit of
 * the team's share, times GF_SHARE_SCALE. It orders the teams' queues:
 * dominant resource fairness (Ghodsi and others 2011) with processors as the
 * only resource. */
static uint64_t
weighted_usage(void *ctx, const GfName *team, const GfResourceVector *need)
{
    GfJobTracker *jt = ctx;
    const GfTeam *t = GfBundle_FindTeam(GfControl_Bundle(jt->control), team);
    uint64_t mcores =
        need != NULL ? need->mcores : GfFleet_TeamUse(jt->fleet, team).mcores;
    return mcores * GF_SHARE_SCALE / (t == NULL ? 1 : t->share);
}

/* Returns the placement of a task's current attempt on a rack, and notes its
 * rack and seq in the task. */
static GfPlacement
make_placement(GfJobTracker *jt, GfJobTask *t, const GfRackView *view)
{
    JobTrackerPartition *p = &jt->partitions[t->job->partition];
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

/* Called when the record of an intent is durable or never will be: sends the
 * start. If the record failed, or the rack is closed or the partition lost
 * meanwhile, nothing was sent and the task is queued again. A task cancelled
 * meanwhile has left the state and is skipped. */
static void
on_intent_recorded(void *arg, GfErrorKind kind)
{
    JobTrackerAppendArg *p = arg;
    GfJobTracker *jt = p->tracker;
    GfJob *job = JobTracker_FindJob(jt, &p->job);
    GfJobTask *t = job == NULL ? NULL : &job->tasks[p->index];
    if (t != NULL && t->state == GF_JOB_INTENT && t->attempt == p->attempt) {
        const GfRackView *view = GfFleet_Find(jt->fleet, &t->rack);
        if (kind != GF_OK || view == NULL || !view->open ||
            !jt->ops->may_place(jt->ctx, job->partition)) {
            JobTracker_Requeue(jt, t, REFUSED_RETRY_MS);
        }
        else {
            GfPlacement placement = make_placement(jt, t, view);
            JobTracker_SetState(jt, t, GF_JOB_PLACING);
            jt->ops->place(jt->ctx, &view->holder, &placement, 1, false);
        }
    }
    free(p);
}

/* Appends the record of the intent to start a task that is not repeatable. The
 * start is sent once the record is durable. */
static void
record_intent(GfJobTracker *jt, GfJobTask *t, const GfRackView *view)
{
    t->rack = view->rack;
    JobTracker_SetState(jt, t, GF_JOB_INTENT);
    jt->ops->append(jt->ctx, t->job->partition, GfJobTask_Record(t),
                    on_intent_recorded, JobTracker_MakeAppendArg(jt, t));
}

/* Returns whether all tasks of a gang wait. */
static bool
gang_is_waiting(const GfJob *job)
{
    for (uint32_t i = 0; i < job->spec.count; i++) {
        if (job->tasks[i].state != GF_JOB_WAITING) {
            return false;
        }
    }
    return true;
}

/* Sends the placements of all tasks of a gang to one rack. */
static void
place_gang(GfJobTracker *jt, GfJob *job, const GfRackView *view)
{
    GfPlacement *placements = calloc(job->spec.count, sizeof(*placements));
    if (placements == NULL) {
        abort();
    }
    for (uint32_t i = 0; i < job->spec.count; i++) {
        GfJobTask *t = &job->tasks[i];
        JobTracker_NextAttempt(jt, t);
        placements[i] = make_placement(jt, t, view);
        JobTracker_SetState(jt, t, GF_JOB_PLACING);
        GfFleet_Reserve(jt->fleet, &view->rack, &job->spec.need);
        GfWaitQueue_Charge(jt->queue, t, weighted_usage, jt);
    }
    jt->ops->place(jt->ctx, &view->holder, placements, job->spec.count, true);
    free(placements);
}

/* The placements of a round that go to one holder of racks. */
typedef struct {
    GfName holder;
    GfPlacement *placements;
    size_t count;
} HolderBatch;

/* Adds a placement to the batch of its rack's holder. */
static void
add_to_batch(HolderBatch *batches, size_t *batch_count, const GfName *holder,
             const GfPlacement *placement)
{
    size_t i = 0;
    while (i < *batch_count && !GfName_Equal(&batches[i].holder, holder)) {
        i++;
    }
    if (i == *batch_count) {
        batches[i].holder = *holder;
        batches[i].count = 0;
        batches[i].placements =
            calloc(MAX_TASKS_PER_ROUND, sizeof(GfPlacement));
        if (batches[i].placements == NULL) {
            abort();
        }
        (*batch_count)++;
    }
    batches[i].placements[batches[i].count++] = *placement;
}

/* Places a task, or its whole gang, or starts to record its intent. If no rack
 * fits, the partition may not be placed now, or part of the gang does not
 * wait, the task is blocked for the rest of the round. */
static void
place_or_block(GfJobTracker *jt, GfJobTask *t, HolderBatch *batches,
               size_t *batch_count)
{
    GfJob *job = t->job;
    uint32_t count = job->spec.gang ? job->spec.count : 1;
    const GfRackView *view =
        GfFleet_PickForTask(jt->fleet, jt->control, &job->spec.team,
                            &job->spec.need, count, GfClock_Now(jt->clock));
    if (view == NULL || !jt->ops->may_place(jt->ctx, job->partition) ||
        (job->spec.gang && !gang_is_waiting(job))) {
        GfWaitQueue_Block(jt->queue, t);
        return;
    }
    if (job->spec.gang) {
        place_gang(jt, job, view);
        return;
    }
    JobTracker_NextAttempt(jt, t);
    GfFleet_Reserve(jt->fleet, &view->rack, &job->spec.need);
    GfWaitQueue_Charge(jt->queue, t, weighted_usage, jt);
    if (!job->spec.repeatable) {
        record_intent(jt, t, view);
        return;
    }
    GfPlacement placement = make_placement(jt, t, view);
    JobTracker_SetState(jt, t, GF_JOB_PLACING);
    add_to_batch(batches, batch_count, &view->holder, &placement);
}

/* While the fleet is full, skips the teams that use more of their share than
 * the waiting team that uses least, here or at another entry, so that the
 * capacity freed by completions goes to that team. */
static void
set_ceiling(GfJobTracker *jt)
{
    GfName lowest;
    uint64_t level = 0;
    if (GfFleet_IsFull(jt->fleet, jt->control) &&
        GfFleet_MostUnderservedTeam(jt->fleet, jt->control, &lowest, &level)) {
        GfWaitQueue_SetCeiling(jt->queue, &lowest,
                               level * CEILING_PERCENT / PERCENT +
                                   GF_SHARE_SCALE);
    }
}

/* Returns how many tasks of a team wait in this entry's queues. */
uint32_t
GfJobTracker_CountWaiting(const GfJobTracker *tracker, const GfName *team)
{
    return GfWaitQueue_CountTeam(tracker->queue, team);
}

/* Runs one round of placement, over at most MAX_TASKS_PER_ROUND waiting tasks.
 * Placements of single tasks are sent in one batch for each holder. */
void
GfJobTracker_Tick(GfJobTracker *tracker)
{
    if (GfWaitQueue_Count(tracker->queue) == 0 ||
        GfControl_Bundle(tracker->control) == NULL) {
        return;
    }
    HolderBatch *batches = calloc(MAX_TASKS_PER_ROUND, sizeof(*batches));
    if (batches == NULL) {
        abort();
    }
    size_t batch_count = 0;
    struct timespec now = GfClock_Now(tracker->clock);
    GfWaitQueue_BeginRound(tracker->queue, weighted_usage, tracker);
    set_ceiling(tracker);
    for (int i = 0; i < MAX_TASKS_PER_ROUND; i++) {
        GfJobTask *t = GfWaitQueue_Next(tracker->queue, now);
        if (t == NULL) {
            break;
        }
        place_or_block(tracker, t, batches, &batch_count);
    }
    for (size_t i = 0; i < batch_count; i++) {
        tracker->ops->place(tracker->ctx, &batches[i].holder,
                            batches[i].placements, batches[i].count, false);
        free(batches[i].placements);
    }
    free(batches);
}
