/* The keeper of the jobs whose partitions this entry owns: accepts them,
 * chooses racks for their tasks, follows each task to its end, and settles
 * tasks of unknown whereabouts before it runs them again. No I/O of its own.
 */
#ifndef GUAVAFLOW_KEEPER_H
#define GUAVAFLOW_KEEPER_H

#include "guavaflow/answer.h"
#include "guavaflow/fleet.h"
#include "guavaflow/job.h"
#include "guavaflow/journal.h"
#include "guavaflow/rack_agent.h"

typedef struct GfKeeper GfKeeper;

typedef struct {
    void (*place)(void *ctx, const GfName *holder,
                  const GfPlacement *placements, size_t count, bool gang);
    void (*stop)(void *ctx, const GfName *rack, const GfName *task,
                 GfStopMode mode);
    void (*append)(void *ctx, uint32_t partition, json_t *record,
                   GfAppendCallback callback, void *arg);
    /* Tells whether this entry may place work of a partition now. */
    bool (*may_place)(void *ctx, uint32_t partition);
} GfKeeperOps;

typedef struct {
    uint32_t partitions;
    uint32_t max_failures;
    uint32_t max_waiting;
} GfKeeperConfig;

GfKeeper *GfKeeper_Create(const GfKeeperConfig *config, GfFleet *fleet,
                          const GfControl *control, const GfClock *clock,
                          const GfKeeperOps *ops, void *ctx);
void GfKeeper_Destroy(GfKeeper *keeper);

void GfKeeper_Close(GfKeeper *keeper, uint32_t partition);
void GfKeeper_Replay(GfKeeper *keeper, const json_t *record);
void GfKeeper_Open(GfKeeper *keeper, uint32_t partition, uint64_t epoch);
void GfKeeper_Snapshot(const GfKeeper *keeper, uint32_t partition,
                       json_t *records);

void GfKeeper_Submit(GfKeeper *keeper, const GfJobSpec *spec,
                     GfAnswerCallback callback, void *arg);
GfAnswer GfKeeper_Status(const GfKeeper *keeper, const GfName *job,
                         const GfName *team);
GfAnswer GfKeeper_Cancel(GfKeeper *keeper, const GfName *job,
                         const GfName *team);

void GfKeeper_Placed(GfKeeper *keeper, const GfPlacement *placement,
                     const GfPlaced *placed);
bool GfKeeper_Event(GfKeeper *keeper, const GfTaskEvent *event);
bool GfKeeper_WantsFind(const GfKeeper *keeper, uint32_t partition,
                        bool *urgent, uint64_t *epoch, uint64_t *seq);
void GfKeeper_Found(GfKeeper *keeper, uint32_t partition, uint64_t seq,
                    const GfName *rack, bool complete,
                    const GfTaskEvent *events, size_t count);
void GfKeeper_Tick(GfKeeper *keeper);
uint32_t GfKeeper_CountWaiting(const GfKeeper *keeper, const GfName *team);
size_t GfKeeper_CountState(const GfKeeper *keeper, GfJobTaskState state);
size_t GfKeeper_ServicesBelowCount(const GfKeeper *keeper);

#endif
