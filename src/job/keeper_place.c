#include <assert.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "guavaflow/log.h"
#include "guavaflow/metrics.h"
#include "keeper_private.h"

#define MAX_PER_ROUND 256
#define REFUSED_RETRY_MS 50
#define SHARE_SLACK_PERCENT 102
#define PERCENT 100
#define ATTEMPTS_PER_EPOCH 4096

/* Starts a new attempt's number. Numbers of two owners never meet, because
 * each epoch has a range of its own. */
void
Keeper_NextAttempt(GfKeeper *k, GfJobTask *t)
{
    uint64_t epoch = k->partitions[t->job->partition].epoch;
    uint32_t first = (uint32_t)epoch * ATTEMPTS_PER_EPOCH;
    t->attempt = t->attempt < first ? first : t->attempt + 1;
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
    KeeperPartition *p = &k->partitions[t->job->partition];
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
    KeeperPending *p = arg;
    GfKeeper *k = p->keeper;
    GfJob *job = Keeper_FindJob(k, &p->job);
    GfJobTask *t = job == NULL ? NULL : &job->tasks[p->index];
    if (t != NULL && t->state == GF_JOB_INTENT && t->attempt == p->attempt) {
        const GfRackView *view = GfFleet_Find(k->fleet, &t->rack);
        if (kind != GF_OK || view == NULL || !view->open ||
            !k->ops->may_place(k->ctx, job->partition)) {
            Keeper_Requeue(k, t, REFUSED_RETRY_MS);
        }
        else {
            GfPlacement placement = make_placement(k, t, view);
            Keeper_SetState(k, t, GF_JOB_PLACING);
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
    Keeper_SetState(k, t, GF_JOB_INTENT);
    k->ops->append(k->ctx, t->job->partition, GfJobTask_Record(t), on_intent,
                   Keeper_PendingTask(k, t));
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
        Keeper_NextAttempt(k, t);
        placements[i] = make_placement(k, t, view);
        Keeper_SetState(k, t, GF_JOB_PLACING);
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
    Keeper_NextAttempt(k, t);
    GfFleet_Reserve(k->fleet, &view->rack, &job->spec.need);
    GfWaitQueue_Charge(k->queue, t, share_of, k);
    if (!job->spec.repeatable) {
        intend(k, t, view);
        return;
    }
    GfPlacement placement = make_placement(k, t, view);
    Keeper_SetState(k, t, GF_JOB_PLACING);
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
