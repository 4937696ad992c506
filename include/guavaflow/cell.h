/* The scheduler of one cell: it keeps the state of the cell's jobs and workers
 * and decides which task runs where. It does no I/O: the caller reports events
 * through functions and carries out orders that the scheduler issues through
 * the function table GfCellOps. Each GfCell serves one term of ownership;
 * every order carries the term's token or, to a worker that has restarted, the
 * version of a later transaction of the term, and a worker obeys the highest
 * token that it has seen. A GfCell is not safe for use by several threads.
 *
 * A task has a run each time that it is started; run numbers rise. A worker
 * reports its current runs and its completions in an inventory, in answer to
 * a hold call, which also extends the worker's lease. A worker stops its runs
 * when its lease expires. A takeover is followed by an uncertainty period, in
 * which runs of the former owner may go on unseen. */
#ifndef GUAVAFLOW_CELL_H
#define GUAVAFLOW_CELL_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

#include "guavaflow/admission.h"
#include "guavaflow/cell_config.h"
#include "guavaflow/clock.h"
#include "guavaflow/features.h"
#include "guavaflow/job_spec.h"
#include "guavaflow/table.h"

#define GF_WORKER_MAX_LABELS 8

typedef struct GfCell GfCell;

/* The state of a job. STARTED: at least one task has started. GIVEN_UP: a task
 * failed too often. WITHDRAWN: cancelled. The last three are final. */
typedef enum {
    GF_JOB_QUEUED,
    GF_JOB_STARTED,
    GF_JOB_COMPLETED,
    GF_JOB_GIVEN_UP,
    GF_JOB_WITHDRAWN,
    GF_JOB_STATES
} GfJobState;

/* How a run completed. Only DONE completes its task, unless that is a
 * long-running one, and only FAILED counts as a failed attempt. */
typedef enum {
    GF_COMPLETION_DONE,
    GF_COMPLETION_FAILED,
    GF_COMPLETION_STOPPED,         /* by a stop order */
    GF_COMPLETION_LAPSED,          /* the worker's lease expired */
    GF_COMPLETION_GANG_BROKEN,     /* another member of its gang ended */
    GF_COMPLETION_GANG_INCOMPLETE, /* the other gang members did not start in
                                      time */
    GF_COMPLETION_KINDS
} GfCompletionKind;

/* The outcome of an order. With UNKNOWN it may have been carried out or may
 * still be; all others are definite. */
typedef enum {
    GF_ORDER_DONE,
    GF_ORDER_FENCED,            /* the worker has seen a higher token */
    GF_ORDER_SUPERSEDED,        /* another run of the task goes on there, or
                                   this or a later one ended or was stopped */
    GF_ORDER_LATE,              /* its time limit had passed */
    GF_ORDER_NO_CAPACITY,       /* not enough free capacity */
    GF_ORDER_NO_TICKET,         /* the ticket is missing or not accepted */
    GF_ORDER_REFUSED,           /* for another reason */
    GF_ORDER_OTHER_INCARNATION, /* the worker is in another incarnation */
    GF_ORDER_UNSENT,            /* it was not sent */
    GF_ORDER_UNKNOWN,
    GF_ORDER_RESULTS
} GfOrderResult;

/* Identifies a task; occurrence, step and index count from 0. */
typedef struct {
    GfName job;
    uint32_t occurrence;
    uint32_t step;
    uint32_t index;
} GfTaskId;

/* A task that a former owner had on a worker. confirmed: it is known to have
 * run there; else its start may not have been carried out. */
typedef struct {
    GfTaskId task;
    bool confirmed;
} GfInheritedTask;

/* One incarnation of a worker, identified by its start time. An incarnation
 * has none of the runs and completions of an earlier one. */
typedef struct {
    GfName id;
    int64_t incarnation; /* start time, wall clock in ms */
    char address[64];
    uint16_t port;
    GfName service;
    GfName domain;                       /* failure domain */
    GfName labels[GF_WORKER_MAX_LABELS]; /* the last one is the rack */
    size_t label_count;
    GfResources capacity; /* total capacity */
    bool leaving;         /* gets no more tasks */
    int64_t remaining_ms; /* if it leaves: least time left; 0: unknown */
} GfWorkerInfo;

/* A current run in an inventory. */
typedef struct {
    GfTaskId task;
    int64_t run;
    const char *checkpoint; /* the latest one, or NULL */
    int percent;            /* progress */
    int64_t load; /* tail latency in ms if it serves, else mcores in use */
} GfRunRow;

/* A completion in an inventory. Workers number completions in rising order and
 * report each until it is acknowledged. */
typedef struct {
    int64_t number;
    GfTaskId task;
    int64_t run;
    GfCompletionKind kind;
    const char *checkpoint; /* the latest one, or NULL */
} GfCompletionRow;

/* All current runs and unacknowledged completions of a worker, or only the
 * first of the latter. Strings and rows stay the caller's. */
typedef struct {
    int64_t incarnation; /* start time of the worker's incarnation */
    int64_t clock_ms;    /* time of the inventory, worker's clock */
    const GfRunRow *runs;
    size_t run_count;
    const GfCompletionRow *completions;
    size_t completion_count;
    bool more_completions; /* there may be others after those listed */
} GfInventory;

/* The worker that an order goes to, and the incarnation that it is meant for.
 * serial identifies the worker when the outcome is reported. */
typedef struct {
    const GfWorkerInfo *worker;
    uint32_t serial;
    int64_t token;
} GfOrderTarget;

/* Starts a run and extends the lease. Orders of all kinds, and all that they
 * point to, are valid during the callback only. */
typedef struct {
    GfOrderTarget target;
    GfTaskId task;
    int64_t run;
    const GfStr *payload;   /* of the job */
    int64_t until_ms;       /* new end of the lease, worker's clock */
    const char *checkpoint; /* to resume from, or NULL */
    const char *ticket;     /* from advice, or NULL */
} GfStartOrder;

/* Stops a run and keeps a start of it that arrives later from being carried
 * out. */
typedef struct {
    GfOrderTarget target;
    GfTaskId task;
    int64_t run;
} GfStopOrder;

/* Lets a run work, and disturb other runs, at a share of its full pace. */
typedef struct {
    GfOrderTarget target;
    GfTaskId task;
    int64_t run;
    int percent; /* 0 to 100; a run starts with 100 */
} GfPaceOrder;

/* Extends a worker's lease, acknowledges completions and requests an
 * inventory. The worker may delay its answer until a run ends. */
typedef struct {
    GfOrderTarget target;
    int64_t until_ms; /* new end of the lease, worker's clock; 0: as before */
    int64_t acked;    /* completions up to this number are stored */
    int wait_ms;      /* longest delay of the answer */
    struct timespec sent_at; /* to be returned with the outcome */
} GfHoldOrder;

/* A request for advice: which of the workers may run a step. It is sent by one
 * of the cell's advice callers. */
typedef struct {
    GfName caller;
    GfName job;
    uint32_t occurrence;
    uint32_t step;
    const GfName *workers;
    size_t worker_count;
    int timeout_ms;
} GfAdviceOrder;

/* Advice that allows a worker to run a step; start orders carry the ticket. */
typedef struct {
    GfName worker;
    GfName ticket;
} GfTicket;

#define GF_CELL_KEY_BYTES (GF_NAME_MAX_BYTES + 32)

/* A row to write or remove. It is one of a job, whose key is the job's id or
 * begins with it and a dot, or a part of the list of workers that may hold a
 * lease, whose key is empty or begins with a dot. */
typedef struct {
    bool is_lease_list;
    char key[GF_CELL_KEY_BYTES];
    char *text; /* JSON; NULL: the row is removed */
    size_t len;
} GfCellRow;

/* What to store in one transaction: rows and, if it changed, the token of the
 * owner that is settled: all owners before it can act no more. Valid during
 * the callback only. */
typedef struct {
    const GfCellRow *rows;
    size_t count;
    int64_t settled_token; /* this owner, as settled; 0: unchanged */
} GfCellCommit;

/* Callbacks that carry out orders; ctx is that of GfCell_Create. Outcomes are
 * reported with GfCell_StartDone, GfCell_StopDone, GfCell_PaceDone,
 * GfCell_HoldDone, GfCell_AdviceDone and GfCell_CommitDone or
 * GfCell_CommitRejected. */
typedef struct {
    void (*start)(void *ctx, const GfStartOrder *order);
    void (*stop)(void *ctx, const GfStopOrder *order);
    void (*pace)(void *ctx, const GfPaceOrder *order);
    void (*hold)(void *ctx, const GfHoldOrder *order);
    void (*advise)(void *ctx, const GfAdviceOrder *order);
    void (*commit)(void *ctx, const GfCellCommit *commit);
    /* Looks up a job that a worker reports but that is not known here. The
     * answer is GfCell_AddJob, GfCell_JobNotFound or GfCell_LookupFailed. */
    void (*look_up)(void *ctx, const GfName *job);
    /* A worker has seen a higher token: this term is over. */
    void (*fenced)(void *ctx, const GfName *worker);
} GfCellOps;

/* Settings of a term. former_token is that of the owner that this one has
 * replaced, 0 if there was none. ownership_valid_ms and uncertainty_ms count
 * from GfCell_Create. Workers get the serials serial_base + 1 and up, which
 * must not have been used before in the process. */
typedef struct {
    int64_t token;
    int64_t former_token;
    int64_t lease_ms;           /* length of the leases granted to workers */
    int64_t longest_lease_ms;   /* that workers take; 0: as lease_ms */
    int64_t ownership_valid_ms; /* after this a former owner starts no runs */
    int64_t uncertainty_ms; /* after this no run of a former owner is left */
    int64_t clock_drift_percent; /* most that clocks may drift apart */
    uint32_t serial_base;
    size_t single_row_bytes; /* a job with a larger row is stored in several;
                                0: 48 KB, which leaves space in the store's 64
                                KB for the next changes */
    GfFeatures features;
} GfCellSettings;

/* Reports the outcome of a cancellation: GF_OK, GF_NOT_FOUND or
 * GF_NO_OWNER. */
typedef void (*GfCellDone)(void *arg, GfErrorKind kind);

GfCell *GfCell_Create(const GfCellOps *ops, void *ctx,
                      const GfCellSettings *settings, const GfClock *clock);
void GfCell_Destroy(GfCell *cell);

void GfCell_SetConfig(GfCell *cell, const GfCellConfig *config);
void GfCell_SetEvacuated(GfCell *cell, const GfName *domains, size_t count);
void GfCell_SetAdviceCallers(GfCell *cell, const GfName *callers,
                             size_t count);
void GfCell_SetMayGrantLeases(GfCell *cell, bool may_grant_leases);
void GfCell_SetWorkersCurrent(GfCell *cell, bool current);
void GfCell_SetSharedClock(GfCell *cell, const GfTableClock *reading);

bool GfCell_AddJob(GfCell *cell, const GfName *id, const GfName *team,
                   const GfName *queue, int64_t age_ms, GfJobSpec *spec,
                   const json_t *progress, bool former_term);
bool GfCell_AddFinished(GfCell *cell, const GfName *id, const char *state);
void GfCell_AddWithdrawn(GfCell *cell, const GfName *id);
void GfCell_JobNotFound(GfCell *cell, const GfName *id);
void GfCell_LookupFailed(GfCell *cell, const GfName *id);
bool GfCell_HasJob(const GfCell *cell, const GfName *id);
bool GfCell_JobState(const GfCell *cell, const GfName *id, GfJobState *state);
void GfCell_CancelJob(GfCell *cell, const GfName *id, GfCellDone done,
                      void *arg);
size_t GfCell_CountQueuedJobs(const GfCell *cell, const GfName *queue);
size_t GfCell_JobCount(const GfCell *cell);
size_t GfCell_ListExpiredJobs(GfCell *cell, int64_t keep_ms, GfName *jobs,
                              size_t max);
void GfCell_JobRemoved(GfCell *cell, const GfName *id, bool removed);

void GfCell_SetWorker(GfCell *cell, const GfWorkerInfo *info);
void GfCell_AddLeasedWorker(GfCell *cell, const GfWorkerInfo *info);
void GfCell_AddClosedWorker(GfCell *cell, const GfWorkerInfo *info,
                            const GfInheritedTask *tasks, size_t count,
                            int64_t expires_ms);
void GfCell_UnlistWorker(GfCell *cell, const GfName *id);
void GfCell_UnlistMissingWorkers(GfCell *cell, const GfTableRow *rows,
                                 size_t count);
bool GfCell_AllContacted(const GfCell *cell);
bool GfCell_MayBeginPlacement(const GfCell *cell, int64_t loaded_ms);
void GfCell_SetLeaseParts(GfCell *cell, size_t count);
void GfCell_SetSettledToken(GfCell *cell, int64_t token);
void GfCell_FormerOwnerEnded(GfCell *cell);
bool GfCell_FormerOwnersEnded(const GfCell *cell);
void GfCell_StartPlacement(GfCell *cell);
bool GfCell_IsReady(const GfCell *cell);

void GfCell_StartDone(GfCell *cell, uint32_t serial, const GfTaskId *task,
                      int64_t run, GfOrderResult result);
void GfCell_StopDone(GfCell *cell, uint32_t serial, const GfTaskId *task,
                     int64_t run, GfOrderResult result);
void GfCell_PaceDone(GfCell *cell, uint32_t serial, const GfTaskId *task,
                     int64_t run, GfOrderResult result);
void GfCell_HoldDone(GfCell *cell, uint32_t serial, struct timespec sent_at,
                     GfOrderResult result, const GfInventory *inventory);
void GfCell_AdviceDone(GfCell *cell, const GfName *caller, const GfName *job,
                       uint32_t occurrence, uint32_t step, bool answered,
                       const GfTicket *tickets, size_t count,
                       int64_t valid_ms);
void GfCell_CommitDone(GfCell *cell, int64_t version);
void GfCell_CommitRejected(GfCell *cell);

void GfCell_Place(GfCell *cell);
void GfCell_Tick(GfCell *cell);
void GfCell_UpdateAdmission(GfCell *cell, GfAdmission *admission);
void GfCell_UpdateForecast(GfCell *cell, GfAdmission *admission);
void GfCell_UpdateMetrics(const GfCell *cell);
json_t *GfCell_Describe(const GfCell *cell);

const char *GfJobState_Name(GfJobState state);
const char *GfOrderResult_Name(GfOrderResult result);
const char *GfCompletionKind_Name(GfCompletionKind kind);
bool GfCompletionKind_FromName(const char *name, GfCompletionKind *kind);

#endif
