/* Tasks that wait for room: a queue for each class and team. The next task
 * comes from the first class, in order, and there from the team that has
 * least of its share. */
#ifndef GUAVAFLOW_WAIT_QUEUE_H
#define GUAVAFLOW_WAIT_QUEUE_H

#include "guavaflow/job.h"

typedef struct GfWaitQueue GfWaitQueue;

/* Returns how much a team has of its share, or, if need is not NULL, how much
 * of it that need is; in any unit that is the same for all teams. */
typedef uint64_t (*GfShareFunction)(void *ctx, const GfName *team,
                                    const GfRoom *need);

GfWaitQueue *GfWaitQueue_Create(void);
void GfWaitQueue_Destroy(GfWaitQueue *queue);
void GfWaitQueue_Push(GfWaitQueue *queue, GfJobTask *task);
void GfWaitQueue_Remove(GfWaitQueue *queue, GfJobTask *task);
size_t GfWaitQueue_Count(const GfWaitQueue *queue);
void GfWaitQueue_BeginRound(GfWaitQueue *queue, GfShareFunction share,
                            void *ctx);
void GfWaitQueue_HoldAbove(GfWaitQueue *queue, const GfName *favoured,
                           uint64_t level);
uint32_t GfWaitQueue_CountTeam(const GfWaitQueue *queue, const GfName *team);
void GfWaitQueue_Charge(GfWaitQueue *queue, const GfJobTask *task,
                        GfShareFunction share, void *ctx);
GfJobTask *GfWaitQueue_Next(GfWaitQueue *queue, struct timespec now);
void GfWaitQueue_Block(GfWaitQueue *queue, const GfJobTask *task);

#endif
