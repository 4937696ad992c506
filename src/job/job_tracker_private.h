/* What the source files of the job tracker share. */
#ifndef GUAVAFLOW_JOB_TRACKER_PRIVATE_H
#define GUAVAFLOW_JOB_TRACKER_PRIVATE_H

#include <uthash.h>

#include "guavaflow/job_tracker.h"
#include "guavaflow/wait_queue.h"

#define JOB_TRACKER_MAX_PARTITIONS 256

/* A job in the table of jobs, which is keyed by id. */
typedef struct {
    GfName id;
    GfJob *job;
    UT_hash_handle hh;
} JobTrackerJob;

/* A rack that gave a complete inventory during the recovery of a partition. */
typedef struct {
    GfName rack;
    uint64_t seq; /* not used */
} JobTrackerRack;

typedef struct {
    bool open;       /* this entry owns it and its jobs are loaded */
    uint64_t epoch;  /* of this entry's ownership */
    uint64_t seq;    /* of the last placement; starts at 0 each epoch */
    bool recovering; /* some rack gave no complete inventory yet */
    JobTrackerRack *inventoried; /* racks that gave one; owned */
    size_t inventoried_count;
} JobTrackerPartition;

struct GfJobTracker {
    GfJobTrackerConfig config;
    GfFleet *fleet;
    const GfControl *control;
    const GfClock *clock;
    const GfJobTrackerOps *ops;
    void *ctx; /* passed to ops */
    JobTrackerJob *jobs;
    GfWaitQueue *queue;
    JobTrackerPartition partitions[JOB_TRACKER_MAX_PARTITIONS];
    size_t state_counts[GF_JOB_STATES]; /* number of tasks in each state */
    uint64_t inventory_mark; /* number of the last complete inventory */
};

/* Context of the callback of an append, which frees it. Jobs are looked up
 * again by id, as they may be gone when the append completes. */
typedef struct {
    GfJobTracker *tracker;
    GfName job;
    uint32_t index;            /* of the task; unused for a job's record */
    uint32_t attempt;          /* current attempt when the append began */
    GfAnswerCallback callback; /* of the submission, for a job's record */
    void *arg;
} JobTrackerAppendArg;

void JobTracker_SetState(GfJobTracker *tracker, GfJobTask *task,
                         GfJobTaskState state);
GfJob *JobTracker_FindJob(const GfJobTracker *tracker, const GfName *id);
GfJobTask *JobTracker_FindTask(const GfJobTracker *tracker, const GfName *id,
                               uint32_t *attempt);
JobTrackerAppendArg *JobTracker_MakeAppendArg(GfJobTracker *tracker,
                                              const GfJobTask *task);
void JobTracker_FinishTask(GfJobTracker *tracker, GfJobTask *task,
                           GfJobTaskState state);
void JobTracker_Requeue(GfJobTracker *tracker, GfJobTask *task,
                        int64_t delay_ms);
void JobTracker_MarkRunning(GfJobTracker *tracker, GfJobTask *task,
                            const GfName *rack, const GfName *worker);
void JobTracker_NextAttempt(GfJobTracker *tracker, GfJobTask *task);

#endif
