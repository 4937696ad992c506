/* A task as the scheduler sees it: what it needs and how it stands. */
#ifndef GUAVAFLOW_TASK_H
#define GUAVAFLOW_TASK_H

#include <stdbool.h>
#include <stdint.h>

#include "guavaflow/name.h"

/* Room on a worker, or the need of a task. */
typedef struct {
    uint32_t mcores;
    uint32_t memory_mb;
    uint32_t accelerators;
} GfRoom;

typedef enum {
    GF_CLASS_URGENT,
    GF_CLASS_SERVICE,
    GF_CLASS_GANG,
    GF_CLASS_BATCH,
    GF_CLASSES
} GfClass;

typedef enum {
    GF_TASK_RUNNING,
    GF_TASK_ENDED,
    GF_TASK_FAILED,
    GF_TASK_STOPPED,
    GF_TASK_LOST,
    GF_TASK_STATES
} GfTaskState;

typedef enum {
    GF_STOP_KILL,
    GF_STOP_CHECKPOINT,
    GF_STOP_THROTTLE,
    GF_STOP_MODES
} GfStopMode;

typedef struct {
    GfName id;
    GfName team;
    GfRoom need;
    uint32_t run_ms;
    GfClass work_class;
    bool repeatable;
    bool fails;
} GfTaskSpec;

typedef struct {
    GfTaskSpec spec;
    GfTaskState state;
    int exit_code;
    int64_t started_ms;
} GfTask;

bool GfRoom_Fits(const GfRoom *room, const GfRoom *need);
GfRoom GfRoom_Minus(const GfRoom *room, const GfRoom *need);
const char *GfClass_Name(GfClass work_class);
bool GfClass_FromName(const char *name, GfClass *work_class);
const char *GfTaskState_Name(GfTaskState state);
GfTaskState GfTaskState_FromName(const char *name);
const char *GfStopMode_Name(GfStopMode mode);
bool GfTask_Partition(const GfName *id, uint32_t *partition);
GfName GfTask_Job(const GfName *id);

#endif
