/* The tasks that wait for free capacity, in one first-in-first-out queue for
 * each class and team.
 *
 * The next task is taken from the first class that has one, in the order of
 * GfClass, and within the class from the team that uses the smallest part of
 * its share. The caller places tasks in rounds: GfWaitQueue_BeginRound, then
 * GfWaitQueue_Next until it returns NULL. After each task the caller either
 * removes it from the queue or calls GfWaitQueue_Block.
 *
 * The queues link the tasks but don't own them.
 */
#ifndef GUAVAFLOW_WAIT_QUEUE_H
#define GUAVAFLOW_WAIT_QUEUE_H

#include "guavaflow/job.h"

typedef struct GfWaitQueue GfWaitQueue;

/* Returns what a team uses, relative to its share, or, if need is not NULL,
 * what that need adds to it. Any unit will do if it is the same for all
 * teams. */
typedef uint64_t (*GfShareUsageFunction)(void *ctx, const GfName *team,
                                         const GfResourceVector *need);

GfWaitQueue *GfWaitQueue_Create(void);
void GfWaitQueue_Destroy(GfWaitQueue *queue);
void GfWaitQueue_Push(GfWaitQueue *queue, GfJobTask *task);
void GfWaitQueue_Remove(GfWaitQueue *queue, GfJobTask *task);
size_t GfWaitQueue_Count(const GfWaitQueue *queue);
void GfWaitQueue_BeginRound(GfWaitQueue *queue, GfShareUsageFunction usage,
                            void *ctx);
void GfWaitQueue_SetCeiling(GfWaitQueue *queue, const GfName *favoured,
                            uint64_t ceiling);
uint32_t GfWaitQueue_CountTeam(const GfWaitQueue *queue, const GfName *team);
void GfWaitQueue_Charge(GfWaitQueue *queue, const GfJobTask *task,
                        GfShareUsageFunction usage, void *ctx);
GfJobTask *GfWaitQueue_Next(GfWaitQueue *queue, struct timespec now);
void GfWaitQueue_Block(GfWaitQueue *queue, const GfJobTask *task);

#endif
