/* Jobs and their tasks as their owner keeps them, and their records. */
#ifndef GUAVAFLOW_JOB_H
#define GUAVAFLOW_JOB_H

#include <jansson.h>

#include "guavaflow/clock.h"
#include "guavaflow/error.h"
#include "guavaflow/task.h"

#define GF_JOB_MAX_TASKS 10000

typedef enum {
    GF_JOB_WAITING,
    GF_JOB_INTENT,
    GF_JOB_PLACING,
    GF_JOB_DOUBT,
    GF_JOB_RUNNING,
    GF_JOB_DONE,
    GF_JOB_FAILED,
    GF_JOB_CANCELLED,
    GF_JOB_UNKNOWN,
    GF_JOB_STATES
} GfJobTaskState;

typedef struct {
    GfName id;
    GfName team;
    GfClass work_class;
    GfRoom need;
    uint32_t count;
    uint32_t run_ms;
    bool repeatable;
    bool gang;
    bool fails;
} GfJobSpec;

typedef struct GfJob GfJob;

typedef struct GfJobTask {
    GfJob *job;
    uint32_t index;
    GfJobTaskState state;
    uint32_t attempt;
    uint32_t failures;
    int exit_code;
    bool durable;
    bool queued;
    uint64_t seq;
    uint64_t mark;
    GfName rack;
    GfName worker;
    struct timespec next_try;
    struct GfJobTask *next;
    struct GfJobTask *prev;
} GfJobTask;

struct GfJob {
    GfJobSpec spec;
    uint32_t partition;
    bool accepted;
    bool cancelled;
    GfJobTask *tasks;
};

bool GfJobSpec_Parse(const json_t *body, GfJobSpec *spec, GfError *error);
GfName GfJob_MakeId(uint32_t partition, uint64_t number);
GfJob *GfJob_Create(const GfJobSpec *spec);
void GfJob_Destroy(GfJob *job);
bool GfJobTask_IsFinal(const GfJobTask *task);
GfName GfJobTask_Id(const GfJobTask *task);
GfTaskSpec GfJobTask_Spec(const GfJobTask *task);
bool GfJobTask_ParseId(const GfName *id, uint32_t *index, uint32_t *attempt);
const char *GfJobTaskState_Name(GfJobTaskState state);
json_t *GfJob_Record(const GfJob *job);
json_t *GfJobTask_Record(const GfJobTask *task);
json_t *GfJob_CancelRecord(const GfJob *job);
bool GfJob_FromRecord(const json_t *record, GfJobSpec *spec);
json_t *GfJob_Status(const GfJob *job);

#endif
