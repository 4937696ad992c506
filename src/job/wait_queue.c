#include "guavaflow/wait_queue.h"

#include <assert.h>
#include <stdlib.h>

#include <uthash.h>
#include <utlist.h>

#define LOOK_AHEAD 16
#define MAX_BLOCKED_NEEDS 8

typedef struct {
    GfName team;
    GfJobTask *tasks;
    size_t count;
    GfRoom blocked[MAX_BLOCKED_NEEDS];
    size_t blocked_count;
    bool exhausted;
    uint64_t has;
    UT_hash_handle hh;
} TeamQueue;

struct GfWaitQueue {
    TeamQueue *classes[GF_CLASSES];
    size_t count;
    bool hold;
    GfName favoured;
    uint64_t level;
};

/* Creates empty queues. */
GfWaitQueue *
GfWaitQueue_Create(void)
{
    GfWaitQueue *queue = calloc(1, sizeof(*queue));
    if (queue == NULL) {
        abort();
    }
    return queue;
}

/* Frees the queues, not the tasks. */
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

/* Finds the queue of a task's class and team, or adds it. */
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

/* Adds a task at the end of its queue. */
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

/* Takes a task out of its queue, wherever it stands. */
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

/* Returns the number of waiting tasks. */
size_t
GfWaitQueue_Count(const GfWaitQueue *queue)
{
    return queue->count;
}

/* Begins a round: forgets which needs found no room in the last one, and asks
 * once for what each team has of its share. */
void
GfWaitQueue_BeginRound(GfWaitQueue *queue, GfShareFunction share, void *ctx)
{
    queue->hold = false;
    for (int c = 0; c < GF_CLASSES; c++) {
        for (TeamQueue *q = queue->classes[c]; q != NULL; q = q->hh.next) {
            q->blocked_count = 0;
            q->exhausted = false;
            if (q->tasks != NULL) {
                q->has = share(ctx, &q->team, NULL);
            }
        }
    }
}

/* Holds the teams back for this round that have more of their share than the
 * given level, in favour of one team. */
void
GfWaitQueue_HoldAbove(GfWaitQueue *queue, const GfName *favoured,
                      uint64_t level)
{
    queue->hold = true;
    queue->favoured = *favoured;
    queue->level = level;
}

/* Returns how many tasks of a team wait. */
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

/* Counts a task that was placed in this round toward its team's share. */
void
GfWaitQueue_Charge(GfWaitQueue *queue, const GfJobTask *task,
                   GfShareFunction share, void *ctx)
{
    const GfJobSpec *job = &task->job->spec;
    uint64_t part = share(ctx, &job->team, &job->need);
    for (int c = 0; c < GF_CLASSES; c++) {
        TeamQueue *q;
        HASH_FIND(hh, queue->classes[c], &job->team, sizeof(job->team), q);
        if (q != NULL) {
            q->has += part;
        }
    }
}

/* Tells whether a need at least as small was found to have no room in this
 * round. */
static bool
is_blocked(const TeamQueue *q, const GfRoom *need)
{
    for (size_t i = 0; i < q->blocked_count; i++) {
        if (GfRoom_Fits(need, &q->blocked[i])) {
            return true;
        }
    }
    return false;
}

/* Finds the first task of a team's queue that may be tried now. Only the
 * first few are looked at, so that one round stays short. */
static GfJobTask *
first_ready(TeamQueue *q, struct timespec now)
{
    int looked = 0;
    GfJobTask *t;
    DL_FOREACH(q->tasks, t)
    {
        if (++looked > LOOK_AHEAD) {
            break;
        }
        if (!GfTime_Before(now, t->next_try) &&
            !is_blocked(q, &t->job->spec.need)) {
            return t;
        }
    }
    return NULL;
}

/* Returns the task to place next, or NULL if none can be tried in this
 * round. The task stays in its queue. */
GfJobTask *
GfWaitQueue_Next(GfWaitQueue *queue, struct timespec now)
{
    for (int c = 0; c < GF_CLASSES; c++) {
        GfJobTask *best = NULL;
        uint64_t least = UINT64_MAX;
        for (TeamQueue *q = queue->classes[c]; q != NULL; q = q->hh.next) {
            bool held = queue->hold && c != GF_CLASS_URGENT &&
                        q->has > queue->level &&
                        !GfName_Equal(&q->team, &queue->favoured);
            if (q->tasks == NULL || q->exhausted || held) {
                continue;
            }
            if (best != NULL && q->has >= least) {
                continue;
            }
            GfJobTask *t = first_ready(q, now);
            if (t == NULL) {
                q->exhausted = true;
                continue;
            }
            best = t;
            least = q->has;
        }
        if (best != NULL) {
            return best;
        }
    }
    return NULL;
}

/* Notes that a task found no room, so that this round tries no other of its
 * team that needs as much. */
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
