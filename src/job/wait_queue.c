#include "guavaflow/wait_queue.h"

#include <assert.h>
#include <stdlib.h>

#include <uthash.h>
#include <utlist.h>

/* Only this many tasks at the head of a queue are examined in each call, so
 * that a round stays short. */
#define MAX_EXAMINED_TASKS 16
/* Needs without capacity that are noted for a team and round before its queue
 * is skipped. */
#define MAX_BLOCKED_NEEDS 8

/* The waiting tasks of one class and team, and the state of their team in the
 * current round. */
typedef struct {
    GfName team;
    GfJobTask *tasks;
    size_t count;
    GfResourceVector blocked[MAX_BLOCKED_NEEDS]; /* needs without capacity */
    size_t blocked_count;
    bool exhausted; /* none of its tasks can be placed */
    uint64_t usage; /* the team's use, as GfShareUsageFunction returns it */
    UT_hash_handle hh;
} TeamQueue;

struct GfWaitQueue {
    TeamQueue *classes[GF_CLASSES];
    size_t count;
    bool has_ceiling; /* the next two fields apply to this round */
    GfName favoured;  /* team that is never skipped */
    uint64_t ceiling; /* teams that use more are skipped */
};

/* Creates empty queues. Free with GfWaitQueue_Destroy. */
GfWaitQueue *
GfWaitQueue_Create(void)
{
    GfWaitQueue *queue = calloc(1, sizeof(*queue));
    if (queue == NULL) {
        abort();
    }
    return queue;
}

/* Frees the queues but not the tasks. NULL is allowed. */
void
GfWaitQueue_Destroy(GfWaitQueue *queue)
{
    if (queue == NULL) {
        return;
    }
    for (int c = 0; c < GF_CLASSES; c++) {
        TeamQueue *q;
        TeamQueue *tmp;
        HASH_ITER(hh, queue->classes[c], q, tmp)
        {
            HASH_DEL(queue->classes[c], q);
            free(q);
        }
    }
    free(queue);
}

/* Returns the queue of a task's class and team, creating it if needed. */
static TeamQueue *
get_queue(GfWaitQueue *queue, const GfJobTask *task)
{
    const GfJobSpec *job = &task->job->spec;
    TeamQueue **table = &queue->classes[job->work_class];
    TeamQueue *q;
    HASH_FIND(hh, *table, &job->team, sizeof(job->team), q);
    if (q == NULL) {
        q = calloc(1, sizeof(*q));
        if (q == NULL) {
            abort();
        }
        q->team = job->team;
        HASH_ADD(hh, *table, team, sizeof(q->team), q);
    }
    return q;
}

/* Appends a task, which must not be queued yet, to the queue of its class and
 * team. The task must stay valid until it is removed. */
void
GfWaitQueue_Push(GfWaitQueue *queue, GfJobTask *task)
{
    assert(!task->queued);
    TeamQueue *q = get_queue(queue, task);
    DL_APPEND(q->tasks, task);
    task->queued = true;
    q->count++;
    queue->count++;
}

/* Removes a task from its queue, at any position. Does nothing if the task is
 * not queued. */
void
GfWaitQueue_Remove(GfWaitQueue *queue, GfJobTask *task)
{
    if (!task->queued) {
        return;
    }
    TeamQueue *q = get_queue(queue, task);
    DL_DELETE(q->tasks, task);
    task->queued = false;
    q->count--;
    queue->count--;
}

/* Returns the number of queued tasks. */
size_t
GfWaitQueue_Count(const GfWaitQueue *queue)
{
    return queue->count;
}

/* Begins a round: forgets the blocked needs and the ceiling of the last round,
 * and reads the use of each team that has waiting tasks. */
void
GfWaitQueue_BeginRound(GfWaitQueue *queue, GfShareUsageFunction usage,
                       void *ctx)
{
    queue->has_ceiling = false;
    for (int c = 0; c < GF_CLASSES; c++) {
        for (TeamQueue *q = queue->classes[c]; q != NULL; q = q->hh.next) {
            q->blocked_count = 0;
            q->exhausted = false;
            if (q->tasks != NULL) {
                q->usage = usage(ctx, &q->team, NULL);
            }
        }
    }
}

/* Skips, for the rest of this round, the teams whose use is above the ceiling,
 * except the favoured team. Urgent tasks are not skipped. The ceiling has the
 * unit of the round's GfShareUsageFunction. */
void
GfWaitQueue_SetCeiling(GfWaitQueue *queue, const GfName *favoured,
                       uint64_t ceiling)
{
    queue->has_ceiling = true;
    queue->favoured = *favoured;
    queue->ceiling = ceiling;
}

/* Returns the number of queued tasks of a team, of all classes. */
uint32_t
GfWaitQueue_CountTeam(const GfWaitQueue *queue, const GfName *team)
{
    size_t count = 0;
    for (int c = 0; c < GF_CLASSES; c++) {
        TeamQueue *q;
        HASH_FIND(hh, queue->classes[c], team, sizeof(*team), q);
        count += q == NULL ? 0 : q->count;
    }
    return (uint32_t)count;
}

/* Adds the need of a task placed in this round to its team's use. */
void
GfWaitQueue_Charge(GfWaitQueue *queue, const GfJobTask *task,
                   GfShareUsageFunction usage, void *ctx)
{
    const GfJobSpec *job = &task->job->spec;
    uint64_t added = usage(ctx, &job->team, &job->need);
    for (int c = 0; c < GF_CLASSES; c++) {
        TeamQueue *q;
        HASH_FIND(hh, queue->classes[c], &job->team, sizeof(job->team), q);
        if (q != NULL) {
            q->usage += added;
        }
    }
}

/* Returns whether a need that is no larger was blocked in this round. */
static bool
is_blocked(const TeamQueue *q, const GfResourceVector *need)
{
    for (size_t i = 0; i < q->blocked_count; i++) {
        if (GfResourceVector_Fits(need, &q->blocked[i])) {
            return true;
        }
    }
    return false;
}

/* Returns the first task of a queue that may be placed now, or NULL. Only the
 * first MAX_EXAMINED_TASKS tasks are examined. */
static GfJobTask *
first_ready(TeamQueue *q, struct timespec now)
{
    int examined = 0;
    GfJobTask *t;
    DL_FOREACH(q->tasks, t)
    {
        if (++examined > MAX_EXAMINED_TASKS) {
            break;
        }
        if (!GfTime_Before(now, t->next_try) &&
            !is_blocked(q, &t->job->spec.need)) {
            return t;
        }
    }
    return NULL;
}

/* Returns the task to place next at time now, or NULL if the round is over.
 * The task stays queued. */
GfJobTask *
GfWaitQueue_Next(GfWaitQueue *queue, struct timespec now)
{
    for (int c = 0; c < GF_CLASSES; c++) {
        GfJobTask *next = NULL;
        uint64_t lowest = UINT64_MAX;
        for (TeamQueue *q = queue->classes[c]; q != NULL; q = q->hh.next) {
            bool skipped = queue->has_ceiling && c != GF_CLASS_URGENT &&
                           q->usage > queue->ceiling &&
                           !GfName_Equal(&q->team, &queue->favoured);
            if (q->tasks == NULL || q->exhausted || skipped) {
                continue;
            }
            if (next != NULL && q->usage >= lowest) {
                continue;
            }
            GfJobTask *t = first_ready(q, now);
            if (t == NULL) {
                q->exhausted = true;
                continue;
            }
            next = t;
            lowest = q->usage;
        }
        if (next != NULL) {
            return next;
        }
    }
    return NULL;
}

/* Notes that no rack has the capacity for a task, so that this round skips the
 * tasks of its team and class that need as much or more. */
void
GfWaitQueue_Block(GfWaitQueue *queue, const GfJobTask *task)
{
    TeamQueue *q = get_queue(queue, task);
    if (q->blocked_count < MAX_BLOCKED_NEEDS) {
        q->blocked[q->blocked_count++] = task->job->spec.need;
    }
    else {
        q->exhausted = true;
    }
}
