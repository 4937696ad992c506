/* The job tracker of an entry: accepts the jobs of the partitions that the
 * entry owns, chooses racks for their tasks, follows each task to its final
 * state, and finds out whether an unconfirmed task runs before it starts the
 * task again.
 *
 * It does no I/O of its own. It asks through GfKeeperOps for placements, stops
 * and journal records, and its user reports back what came of them.
 */
#ifndef GUAVAFLOW_KEEPER_H
#define GUAVAFLOW_KEEPER_H

#include "guavaflow/answer.h"
#include "guavaflow/fleet.h"
#include "guavaflow/job.h"
#include "guavaflow/journal.h"
#include "guavaflow/rack_agent.h"

typedef struct GfKeeper GfKeeper;

/* Functions of the user that the job tracker calls. Each gets the ctx of
 * GfKeeper_Create. */
typedef struct {
    /* Sends placements to the entry that holds their racks; a gang is started
     * whole or not at all. The array is freed after the call. Every outcome
     * goes to GfKeeper_Placed. */
    void (*place)(void *ctx, const GfName *holder,
                  const GfPlacement *placements, size_t count, bool gang);
    /* Stops a running attempt, named by its id, on a rack. */
    void (*stop)(void *ctx, const GfName *rack, const GfName *task,
                 GfStopMode mode);
    /* Appends a record to the journal of a partition and takes over the
     * reference. The callback, if not NULL, is called with arg once the record
     * is durable or never will be. */
    void (*append)(void *ctx, uint32_t partition, json_t *record,
                   GfAppendCallback callback, void *arg);
    /* Returns whether this entry may place tasks of a partition now. */
    bool (*may_place)(void *ctx, uint32_t partition);
} GfKeeperOps;

typedef struct {
    uint32_t partitions;   /* number of partitions of all entries */
    uint32_t max_failures; /* failed attempts after which a task fails */
    uint32_t max_waiting;  /* queued tasks before jobs are refused as busy */
} GfKeeperConfig;

GfKeeper *GfKeeper_Create(const GfKeeperConfig *config, GfFleet *fleet,
                          const GfControl *control, const GfClock *clock,
                          const GfKeeperOps *ops, void *ctx);
void GfKeeper_Destroy(GfKeeper *tracker);

void GfKeeper_Close(GfKeeper *tracker, uint32_t partition);
void GfKeeper_Replay(GfKeeper *tracker, const json_t *record);
void GfKeeper_Open(GfKeeper *tracker, uint32_t partition, uint64_t epoch);
void GfKeeper_Snapshot(const GfKeeper *tracker, uint32_t partition,
                       json_t *records);

void GfKeeper_Submit(GfKeeper *tracker, const GfJobSpec *spec,
                     GfAnswerCallback callback, void *arg);
GfAnswer GfKeeper_Status(const GfKeeper *tracker, const GfName *job,
                         const GfName *team);
GfAnswer GfKeeper_Cancel(GfKeeper *tracker, const GfName *job,
                         const GfName *team);

void GfKeeper_Placed(GfKeeper *tracker, const GfPlacement *placement,
                     const GfPlaced *placed);
bool GfKeeper_Event(GfKeeper *tracker, const GfTaskEvent *event);
bool GfKeeper_WantsFind(const GfKeeper *tracker, uint32_t partition,
                        bool *urgent, uint64_t *epoch, uint64_t *seq);
void GfKeeper_Found(GfKeeper *tracker, uint32_t partition, uint64_t seq,
                    const GfName *rack, bool complete,
                    const GfTaskEvent *events, size_t count);
void GfKeeper_Tick(GfKeeper *tracker);
uint32_t GfKeeper_CountWaiting(const GfKeeper *tracker, const GfName *team);
size_t GfKeeper_CountState(const GfKeeper *tracker, GfJobTaskState state);
size_t GfKeeper_ServicesBelowCount(const GfKeeper *tracker);

#endif
