/* The scheduler of one cell: its jobs, its workers, and the decisions. It
 * does no I/O: it is told what happened and issues orders through a table of
 * function pointers. All orders carry the token of the owner's term; a worker
 * obeys the highest token that it has seen. */
#ifndef GUAVAFLOW_CELL_H
#define GUAVAFLOW_CELL_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

#include "guavaflow/admission.h"
#include "guavaflow/cell_config.h"
#include "guavaflow/clock.h"
#include "guavaflow/job_spec.h"
#include "guavaflow/table.h"

#define GF_WORKER_MAX_LABELS 8

typedef struct GfCell GfCell;

typedef enum {
    GF_JOB_QUEUED,
    GF_JOB_STARTED,
    GF_JOB_COMPLETED,
    GF_JOB_GIVEN_UP,
    GF_JOB_WITHDRAWN,
    GF_JOB_STATES
} GfJobState;

/* How a run ended. BROKEN: another member of its gang ended. ALONE: the other
 * members did not come in time. LAPSED: the worker's lease ran out. */
typedef enum {
    GF_END_DONE,
    GF_END_FAILED,
    GF_END_STOPPED,
    GF_END_LAPSED,
    GF_END_BROKEN,
    GF_END_ALONE,
    GF_ENDS
} GfEndKind;

/* The outcome of an order. UNKNOWN: it may have been or may yet be carried
 * out; all others are definite. */
typedef enum {
    GF_ORDER_DONE,
    GF_ORDER_FENCED,     /* the worker has seen a higher token */
    GF_ORDER_SUPERSEDED, /* the run is not higher than one that ended there */
    GF_ORDER_LATE,
    GF_ORDER_NO_ROOM,
    GF_ORDER_NO_TICKET,
    GF_ORDER_REFUSED,
    GF_ORDER_OTHER_LIFE, /* the worker was started anew */
    GF_ORDER_UNSENT,
    GF_ORDER_UNKNOWN,
    GF_ORDER_RESULTS
} GfOrderResult;

typedef struct {
    GfName job;
    uint32_t occurrence;
    uint32_t step;
    uint32_t index;
} GfTaskId;

/* One life of a worker. lifetime is the wall-clock millisecond of its start;
 * a higher one under the same id knows nothing of before. */
typedef struct {
    GfName id;
    int64_t lifetime;
    char address[64];
    uint16_t port;
    GfName service;
    GfName domain;
    GfName labels[GF_WORKER_MAX_LABELS]; /* the last one is the rack */
    size_t label_count;
    GfAmounts room;
    bool leaving;
} GfWorkerInfo;

typedef struct {
    GfTaskId task;
    int64_t run;
    const char *checkpoint;
    int percent;
    int64_t load; /* tail latency in ms if it serves, else mcores in use */
} GfRunRow;

typedef struct {
    int64_t number;
    GfTaskId task;
    int64_t run;
    GfEndKind how;
    const char *checkpoint;
} GfEndRow;

typedef struct {
    int64_t lifetime;
    int64_t clock_ms;
    const GfRunRow *runs;
    size_t run_count;
    const GfEndRow *ends;
    size_t end_count;
} GfInventory;

/* Names the receiver of an order and the life that it is meant for. */
typedef struct {
    const GfWorkerInfo *worker;
    uint32_t serial;
    int64_t token;
} GfOrderTarget;

typedef struct {
    GfOrderTarget target;
    GfTaskId task;
    int64_t run;
    const GfStr *payload;
    int64_t until_ms; /* on the worker's clock */
    const char *checkpoint;
    const char *ticket;
} GfStartOrder;

typedef struct {
    GfOrderTarget target;
    GfTaskId task;
    int64_t run;
} GfStopOrder;

typedef struct {
    GfOrderTarget target;
    int64_t until_ms; /* on the worker's clock; 0: no extension */
    int64_t acked;
    int wait_ms;
    struct timespec sent_at; /* comes back with the outcome */
} GfHoldOrder;

/* A question which of the workers may run a step, put by one of the cell's
 * advice callers. */
typedef struct {
    GfName caller;
    GfName job;
    uint32_t occurrence;
    uint32_t step;
    const GfName *workers;
    size_t worker_count;
    int timeout_ms;
} GfAdviceOrder;

typedef struct {
    GfName worker;
    GfName ticket;
} GfTicket;

/* What is to be stored in one transaction: a row for each named job and,
 * if it changed, the list of workers that hold a lease. */
typedef struct {
    const GfName *jobs;
    json_t *const *rows;
    size_t count;
    json_t *leased; /* NULL: as before */
} GfCellCommit;

typedef struct {
    void (*start)(void *ctx, const GfStartOrder *order);
    void (*stop)(void *ctx, const GfStopOrder *order);
    void (*hold)(void *ctx, const GfHoldOrder *order);
    void (*advise)(void *ctx, const GfAdviceOrder *order);
    void (*commit)(void *ctx, const GfCellCommit *commit);
    /* A worker runs or ran a task of a job that is not known here. The answer
     * is GfCell_AddJob, GfCell_JobAbsent or GfCell_LookupFailed. */
    void (*look_up)(void *ctx, const GfName *job);
    void (*fenced)(void *ctx, const GfName *worker);
} GfCellOps;

typedef struct {
    int64_t token;
    int64_t lease_ms; /* what a hold asks of a worker */
    int64_t proof_ms; /* after it a former owner starts nothing */
    int64_t doubt_ms; /* after it nothing of a former owner runs */
    int64_t clock_drift_percent;
    uint32_t first_serial; /* above those of the process's former terms */
} GfCellSettings;

typedef void (*GfCellDone)(void *arg, GfErrorKind kind);

GfCell *GfCell_Create(const GfCellOps *ops, void *ctx,
                      const GfCellSettings *settings, const GfClock *clock);
void GfCell_Destroy(GfCell *cell);

void GfCell_SetConfig(GfCell *cell, const GfCellConfig *config);
void GfCell_SetEvacuated(GfCell *cell, const GfName *domains, size_t count);
void GfCell_SetCallers(GfCell *cell, const GfName *callers, size_t count);
void GfCell_SetMayExtend(GfCell *cell, bool may_extend);

bool GfCell_AddJob(GfCell *cell, const GfName *id, const GfName *team,
                   const GfName *queue, int64_t age_ms, GfJobSpec *spec,
                   const json_t *progress, bool former_term);
bool GfCell_AddFinished(GfCell *cell, const GfName *id, const char *state);
void GfCell_JobAbsent(GfCell *cell, const GfName *id);
void GfCell_LookupFailed(GfCell *cell, const GfName *id);
bool GfCell_HasJob(const GfCell *cell, const GfName *id);
bool GfCell_JobState(const GfCell *cell, const GfName *id, GfJobState *state);
void GfCell_CancelJob(GfCell *cell, const GfName *id, GfCellDone done,
                      void *arg);
size_t GfCell_Waiting(const GfCell *cell, const GfName *queue);
size_t GfCell_JobCount(const GfCell *cell);
size_t GfCell_TakeExpired(GfCell *cell, int64_t keep_ms, GfName *jobs,
                          size_t max);

void GfCell_SetWorker(GfCell *cell, const GfWorkerInfo *info);
void GfCell_AddLeasedWorker(GfCell *cell, const GfWorkerInfo *info);
void GfCell_AddSilentWorker(GfCell *cell, const GfWorkerInfo *info,
                            const GfTaskId *tasks, size_t count);
void GfCell_UnlistWorker(GfCell *cell, const GfName *id);
void GfCell_UnlistOthers(GfCell *cell, const GfTableRow *rows, size_t count);
bool GfCell_AllHeard(const GfCell *cell);
void GfCell_Begin(GfCell *cell);
bool GfCell_IsReady(const GfCell *cell);

void GfCell_StartDone(GfCell *cell, uint32_t serial, const GfTaskId *task,
                      int64_t run, GfOrderResult result);
void GfCell_StopDone(GfCell *cell, uint32_t serial, const GfTaskId *task,
                     int64_t run, GfOrderResult result);
void GfCell_HoldDone(GfCell *cell, uint32_t serial, struct timespec sent_at,
                     GfOrderResult result, const GfInventory *inventory);
void GfCell_AdviceDone(GfCell *cell, const GfName *caller, const GfName *job,
                       uint32_t occurrence, uint32_t step, bool answered,
                       const GfTicket *tickets, size_t count,
                       int64_t valid_ms);
void GfCell_CommitDone(GfCell *cell, bool committed);

void GfCell_Place(GfCell *cell);
void GfCell_Tick(GfCell *cell);
void GfCell_UpdateAdmission(GfCell *cell, GfAdmission *admission);
void GfCell_UpdateMetrics(const GfCell *cell);
json_t *GfCell_Describe(const GfCell *cell);

const char *GfJobState_Name(GfJobState state);
const char *GfOrderResult_Name(GfOrderResult result);
const char *GfEndKind_Name(GfEndKind how);
bool GfEndKind_FromName(const char *name, GfEndKind *how);

#endif
