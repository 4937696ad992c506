/* Tasks as the scheduler sees them: the resources that they need, their
 * class, and their state on a worker. Also the resources of workers. */
#ifndef GUAVAFLOW_TASK_H
#define GUAVAFLOW_TASK_H

#include <stdbool.h>
#include <stdint.h>

#include "guavaflow/name.h"

/* Resources: the capacity or free capacity of a worker, or the need of a
 * task. */
typedef struct {
    uint32_t mcores; /* thousandths of a processor core */
    uint32_t memory_mb;
    uint32_t accelerators;
} GfResourceVector;

/* Classes of work; tasks of an earlier class are placed before those of a
 * later one. */
typedef enum {
    GF_CLASS_URGENT,
    GF_CLASS_SERVICE,
    GF_CLASS_GANG,
    GF_CLASS_BATCH,
    GF_CLASSES
} GfClass;

/* State of a task as its worker reports it. Every state but the first is
 * final. */
typedef enum {
    GF_TASK_RUNNING,
    GF_TASK_ENDED,   /* completed by itself */
    GF_TASK_FAILED,  /* completed by itself with a failure */
    GF_TASK_STOPPED, /* stopped or checkpointed on command */
    GF_TASK_LOST,    /* no result, or a state with an unknown name */
    GF_TASK_STATES
} GfTaskState;

/* What a stop command does to a running task. */
typedef enum {
    GF_STOP_KILL,
    GF_STOP_CHECKPOINT, /* save its state, then stop it */
    GF_STOP_THROTTLE,   /* slow it down */
    GF_STOP_MODES
} GfStopMode;

/* What a worker is told to start. */
typedef struct {
    GfName id; /* jPPP-HEX.INDEX.ATTEMPT, where jPPP-HEX is the job */
    GfName team;
    GfResourceVector need;
    uint32_t run_ms; /* run time; 0: a service task, runs until stopped */
    GfClass work_class;
    bool repeatable; /* may run again elsewhere after a stop */
    bool fails;      /* the task ends as failed, for tests of jobs */
} GfTaskSpec;

/* A task in a worker's inventory. */
typedef struct {
    GfTaskSpec spec;
    GfTaskState state;
    int exit_code;      /* once it has completed */
    int64_t started_ms; /* by the worker's clock */
} GfTask;

/* Resources. */
bool GfResourceVector_Fits(const GfResourceVector *capacity,
                           const GfResourceVector *need);
GfResourceVector GfResourceVector_Subtract(const GfResourceVector *capacity,
                                           const GfResourceVector *need);

/* Names on the wire. The texts returned are constant. */
const char *GfClass_Name(GfClass work_class);
bool GfClass_FromName(const char *name, GfClass *work_class);
const char *GfTaskState_Name(GfTaskState state);
GfTaskState GfTaskState_FromName(const char *name);
const char *GfStopMode_Name(GfStopMode mode);

/* Task ids. */
bool GfTask_Partition(const GfName *id, uint32_t *partition);
GfName GfTask_Job(const GfName *id);

#endif
