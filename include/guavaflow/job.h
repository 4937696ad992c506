/* Jobs and their tasks as the owner of the job's partition keeps them, and
 * the records that its journal holds of them.
 *
 * A job is a number of equal tasks of one team. Its id names the partition
 * that it belongs to. The states of tasks are stored in records by number:
 * never reorder them.
 */
#ifndef GUAVAFLOW_JOB_H
#define GUAVAFLOW_JOB_H

#include <jansson.h>

#include "guavaflow/clock.h"
#include "guavaflow/error.h"
#include "guavaflow/task.h"

/* Highest number of tasks in one job. */
#define GF_JOB_MAX_TASKS 10000

typedef enum {
    /* Not started; queued once the job is accepted. */
    GF_JOB_WAITING,
    /* Not repeatable, and the record of the intent to start it is being
     * written; the start is not sent before that record is durable. */
    GF_JOB_INTENT,
    /* Start sent to the rack's holder, outcome not known yet. */
    GF_JOB_PLACING,
    /* May or may not run: the outcome of its start was lost, or its partition
     * was taken over. Inventories of the racks resolve it. */
    GF_JOB_UNCONFIRMED,
    GF_JOB_RUNNING,
    /* The states from here on are final. */
    GF_JOB_DONE,
    GF_JOB_FAILED,
    GF_JOB_CANCELLED,
    /* Not repeatable and lost: it may or may not have run, so it is not
     * started again. */
    GF_JOB_UNKNOWN,
    GF_JOB_STATES
} GfJobTaskState;

/* What a caller asks for. */
typedef struct {
    GfName id;             /* see GfJob_MakeId */
    GfName team;           /* charged for the tasks; only it may see the job */
    GfClass work_class;    /* decides the order among waiting tasks */
    GfResourceVector need; /* resources of each task */
    uint32_t count;        /* number of tasks, 1 to GF_JOB_MAX_TASKS */
    uint32_t run_ms; /* run time of a task; 0: a service, until stopped */
    bool repeatable; /* a task may run twice if its outcome is lost */
    bool gang;       /* all tasks start together on one rack, or none */
    bool fails;      /* passed to the worker, whose task then fails */
} GfJobSpec;

typedef struct GfJob GfJob;

typedef struct GfJobTask {
    GfJob *job;
    uint32_t index; /* within the job, from 0 */
    GfJobTaskState state;
    uint32_t attempt;  /* number of the current attempt; ids contain it */
    uint32_t failures; /* failed attempts since this owner took over */
    int exit_code;     /* of the last attempt that completed */
    bool durable;      /* the record of the final state is in the store */
    bool queued;       /* is in a wait queue */
    uint64_t seq;      /* of its last placement; rises within an epoch */
    uint64_t inventory_mark; /* last inventory that listed this attempt */
    GfName rack;   /* rack of the current or last attempt; may be empty */
    GfName worker; /* worker that it ran on; empty if it never ran */
    struct timespec next_try; /* not placed before this time */
    struct GfJobTask *next;   /* links of the wait queue */
    struct GfJobTask *prev;
} GfJobTask;

struct GfJob {
    GfJobSpec spec;
    uint32_t partition; /* taken from the id */
    bool accepted;      /* the job's record is durable */
    bool cancelled;     /* by the caller; tasks may still be stopping */
    GfJobTask *tasks;   /* spec.count of them, owned by the job */
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
