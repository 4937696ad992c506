/* The job tracker of an entry: accepts the jobs of the partitions that the
 * entry owns, chooses racks for their tasks, follows each task to its final
 * state, and finds out whether an unconfirmed task runs before it starts the
 * task again.
 *
 * It does no I/O of its own. It requests placements, stops and journal records
 * through GfJobTrackerOps, and its user reports their outcomes back.
 */
#ifndef GUAVAFLOW_JOB_TRACKER_H
#define GUAVAFLOW_JOB_TRACKER_H

#include "guavaflow/answer.h"
#include "guavaflow/fleet.h"
#include "guavaflow/job.h"
#include "guavaflow/journal.h"
#include "guavaflow/rack_agent.h"

typedef struct GfJobTracker GfJobTracker;

/* Functions of the user that the job tracker calls. Each gets the ctx of
 * GfJobTracker_Create. */
typedef struct {
    /* Sends placements to the entry that holds their racks; a gang is started
     * whole or not at all. The array is freed after the call. Every outcome
     * goes to GfJobTracker_HandlePlacement. */
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
} GfJobTrackerOps;

typedef struct {
    uint32_t partitions;   /* number of partitions of all entries */
    uint32_t max_failures; /* failed attempts after which a task fails */
    uint32_t max_waiting;  /* queued tasks before jobs are refused as busy */
} GfJobTrackerConfig;

GfJobTracker *GfJobTracker_Create(const GfJobTrackerConfig *config,
                                  GfFleet *fleet, const GfControl *control,
                                  const GfClock *clock,
                                  const GfJobTrackerOps *ops, void *ctx);
void GfJobTracker_Destroy(GfJobTracker *tracker);

void GfJobTracker_ClosePartition(GfJobTracker *tracker, uint32_t partition);
void GfJobTracker_ReplayRecord(GfJobTracker *tracker, const json_t *record);
void GfJobTracker_OpenPartition(GfJobTracker *tracker, uint32_t partition,
                                uint64_t epoch);
void GfJobTracker_Snapshot(const GfJobTracker *tracker, uint32_t partition,
                           json_t *records);

void GfJobTracker_Submit(GfJobTracker *tracker, const GfJobSpec *spec,
                         GfAnswerCallback callback, void *arg);
GfAnswer GfJobTracker_Status(const GfJobTracker *tracker, const GfName *job,
                             const GfName *team);
GfAnswer GfJobTracker_Cancel(GfJobTracker *tracker, const GfName *job,
                             const GfName *team);

void GfJobTracker_HandlePlacement(GfJobTracker *tracker,
                                  const GfPlacement *placement,
                                  const GfPlacementResult *placed);
bool GfJobTracker_HandleEvent(GfJobTracker *tracker, const GfTaskEvent *event);
bool GfJobTracker_NeedsInventory(const GfJobTracker *tracker,
                                 uint32_t partition, bool *urgent,
                                 uint64_t *epoch, uint64_t *seq);
void GfJobTracker_HandleInventory(GfJobTracker *tracker, uint32_t partition,
                                  uint64_t seq, const GfName *rack,
                                  bool complete, const GfTaskEvent *events,
                                  size_t count);
void GfJobTracker_Tick(GfJobTracker *tracker);
uint32_t GfJobTracker_CountWaiting(const GfJobTracker *tracker,
                                   const GfName *team);
size_t GfJobTracker_CountState(const GfJobTracker *tracker,
                               GfJobTaskState state);
size_t GfJobTracker_CountIncompleteServices(const GfJobTracker *tracker);

#endif
