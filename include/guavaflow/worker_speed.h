/* How fast each worker runs tasks, and whether it has become slow or stands
 * still, learned from the progress of its runs. For fleets whose workers are
 * of uneven speed, or turn much slower for some seconds.
 *
 * The speed of a run is the work that was done in a time, by the estimate of
 * its step, divided by that time. A worker of speed 1 needs as long as
 * estimated. All is in memory and bounded: a value of 96 bytes in each worker
 * and one of 40 bytes in each task, and a table of the kinds of workers.
 * Times now are the owner's; times clock_ms are those of the worker's clock
 * in its inventories, so that delays of messages do not count as run time. */
#ifndef GUAVAFLOW_WORKER_SPEED_H
#define GUAVAFLOW_WORKER_SPEED_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#include "guavaflow/name.h"

#define GF_SPEED_MAX_KINDS 16

/* What is believed of a worker. SLOW: several different tasks ran much slower
 * than the worker is known for. STILL: it answers, and none of its runs makes
 * progress. PROBATION: it was one of these, and nothing has shown for a while
 * whether it still is. */
typedef enum {
    GF_SPEED_TRUSTED,
    GF_SPEED_SLOW,
    GF_SPEED_STILL,
    GF_SPEED_PROBATION,
    GF_SPEED_STATES
} GfSpeedState;

/* The usual speed of the workers of one kind. */
typedef struct {
    GfName name;
    float log_speed; /* natural logarithm */
    uint32_t samples;
} GfSpeedKind;

/* The kinds that are known. Zeros are the initial value. */
typedef struct {
    GfSpeedKind kinds[GF_SPEED_MAX_KINDS];
    uint32_t count;
} GfSpeedKinds;

/* The progress of a run, as of the inventories so far. Zeros are the initial
 * value. */
typedef struct {
    int64_t began_ms;   /* start of the run, clock_ms; 0: unknown */
    int64_t clock_ms;   /* start of the interval that is measured next */
    int64_t changed_ms; /* when percent was first listed */
    int32_t begin_percent;
    int32_t percent; /* as listed last */
    bool slow;       /* the latest interval was slow */
    bool learned;    /* an interval was used for the worker's usual speed */
    bool resumed;    /* from a checkpoint */
} GfRunProgress;

/* What is known of a worker. Zeros are the initial value: speed 1, trusted. */
typedef struct {
    int64_t doubted_ms;     /* latest evidence for the state, if not TRUSTED */
    int64_t evidence_ms;    /* latest slow run */
    int64_t lost_ms;        /* latest loss of contact or of its runs */
    int64_t unsteady_until; /* ms; 0: it was not lost repeatedly */
    uint64_t evidence_step; /* step of the latest slow run */
    int64_t evidence_from;  /* latest start of their slow intervals */
    int64_t evidence_middle; /* latest middle of these intervals */
    int64_t normal_from;     /* the same of intervals of usual speed */
    float kind_log;          /* usual speed of its kind, logarithm */
    float own_log;           /* its mean difference from that */
    float speed;             /* usual speed; 0 stands for 1 */
    float slow_speed;        /* speed if SLOW or STILL */
    float best_ratio;        /* the following: in the current inventory */
    uint16_t own_samples;
    uint16_t measured; /* runs with a speed */
    uint16_t standing; /* of these, runs that make no progress */
    uint8_t evidence;  /* different slow tasks since the last good run */
    uint8_t state;     /* a GfSpeedState, as of the latest inventory */
    bool new_slow;     /* a run has become slow */
} GfWorkerSpeed;

/* One measured interval of a run. */
typedef struct {
    double speed;
    double least_speed; /* if one percent less was done */
    int64_t from_ms;    /* start and end of the interval, clock_ms */
    int64_t to_ms;
    uint64_t step;      /* identifies the step */
    bool step_ran_well; /* tasks of the step have had their usual speed */
    bool standing;      /* the run makes no progress */
} GfSpeedSample;

GfSpeedKind *GfSpeedKinds_Find(GfSpeedKinds *kinds, const GfName *name);

void GfRunProgress_Begin(GfRunProgress *progress, bool resumed,
                         int64_t clock_ms);
bool GfRunProgress_Measure(GfRunProgress *progress, int64_t estimate_ms,
                           int percent, int64_t clock_ms,
                           GfSpeedSample *sample);
bool GfRunProgress_Complete(const GfRunProgress *progress, int64_t estimate_ms,
                            int64_t clock_ms, GfSpeedSample *sample);

void GfWorkerSpeed_BeginInventory(GfWorkerSpeed *speed,
                                  const GfSpeedKind *kind,
                                  struct timespec now);
bool GfWorkerSpeed_Observe(GfWorkerSpeed *speed, GfSpeedKind *kind,
                           GfRunProgress *progress,
                           const GfSpeedSample *sample, struct timespec now);
void GfWorkerSpeed_ObserveEnd(GfWorkerSpeed *speed,
                              const GfSpeedSample *sample);
void GfWorkerSpeed_EndInventory(GfWorkerSpeed *speed, struct timespec now);
void GfWorkerSpeed_Restart(GfWorkerSpeed *speed, struct timespec now);
void GfWorkerSpeed_Lost(GfWorkerSpeed *speed, struct timespec now);

GfSpeedState GfWorkerSpeed_State(const GfWorkerSpeed *speed,
                                 struct timespec now);
bool GfWorkerSpeed_IsUnsteady(const GfWorkerSpeed *speed, struct timespec now);
double GfWorkerSpeed_At(const GfWorkerSpeed *speed, struct timespec now);
int64_t GfWorkerSpeed_RunMs(const GfWorkerSpeed *speed, int64_t work_ms,
                            struct timespec now);
const char *GfSpeedState_Name(GfSpeedState state);

#endif
