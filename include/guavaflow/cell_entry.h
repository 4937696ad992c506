/* One entry of a cell. It accepts jobs, answers callers, sends requests to
 * the advice service, and is a candidate for ownership of the cell: the entry
 * that owns it also schedules its jobs. Each period of ownership has a token,
 * and workers obey only the highest one. */
#ifndef GUAVAFLOW_CELL_ENTRY_H
#define GUAVAFLOW_CELL_ENTRY_H

#include <event2/event.h>

#include "guavaflow/cell.h"
#include "guavaflow/cell_settings.h"
#include "guavaflow/commands.h"
#include "guavaflow/table.h"

typedef struct GfCellEntry GfCellEntry;

/* What a request asks for. */
typedef enum {
    GF_JOB_SUBMIT, /* between entries: notifies the owner of a stored job */
    GF_JOB_STATUS, /* becomes a COUNT if the path names no job */
    GF_JOB_CANCEL,
    GF_JOB_COUNT, /* how many jobs of a queue are waiting */
    GF_JOB_STORE, /* between entries only: store a job on behalf of an entry
                   * that cannot reach the store */
    GF_JOB_VERBS
} GfJobVerb;

/* The answer to a request. The refusal of a SUBMIT with an HTTP status of 429
 * or 503 promises that the job has not run and never will. */
typedef struct {
    GfErrorKind kind; /* GF_NO_SUCH_JOB: no such job was accepted */
    GfJobVerb verb;   /* of the request; COUNT for a STATUS without a job */
    GfJobState state; /* of the job, for STATUS */
    size_t waiting;   /* jobs waiting in the queue, for COUNT */
    uint32_t retry_after_ms; /* pause before a retry; 0: not said */
} GfJobAnswer;

/* Receives the answer, which is valid during the call only. */
typedef void (*GfJobAnswerCallback)(void *arg, const GfJobAnswer *answer);

/* A caller's request. All texts are borrowed. */
typedef struct {
    GfJobVerb verb;
    const char *host; /* HTTP host, which with path selects the queue */
    const char *path; /* path prefix of a queue, then a job id or nothing */
    const char *key;  /* the caller's key; NULL: none was presented */
    const char *body; /* job specification, for SUBMIT */
    size_t body_len;
    int64_t timeout_ms; /* timeout of the caller; 0: not said */
} GfJobRequest;

/* Creates an entry and binds its address for peers. All arguments but error
 * are borrowed and must outlive the entry. Returns NULL and fills in error if
 * the address cannot be bound. */
GfCellEntry *GfCellEntry_Create(struct event_base *base,
                                const GfCellEntrySettings *settings,
                                const GfClock *clock, GfTable *table,
                                GfCommands *commands, const GfDecoder *decoder,
                                GfError *error);
void GfCellEntry_Destroy(GfCellEntry *entry);
/* Handles a request, which is borrowed for the call only. The callback runs
 * exactly once, during this call or later. */
void GfCellEntry_Handle(GfCellEntry *entry, const GfJobRequest *request,
                        GfJobAnswerCallback callback, void *arg);
/* Returns whether the entry can serve callers. */
bool GfCellEntry_IsReady(const GfCellEntry *entry);
/* Begins a planned stop: if this entry owns the cell, another one is to take
 * it over. Requests are served until the process ends. */
void GfCellEntry_BeginStop(GfCellEntry *entry);
/* Sets the gauges of the entry and, if it owns the cell, of the cell. */
void GfCellEntry_UpdateMetrics(const GfCellEntry *entry);
/* Each returns a new JSON object that the caller releases: the state of the
 * entry and its cell, the members, and the configuration version with the
 * failure domains out of service. */
json_t *GfCellEntry_Describe(const GfCellEntry *entry);
json_t *GfCellEntry_DescribeMembers(const GfCellEntry *entry);
json_t *GfCellEntry_DescribeControl(const GfCellEntry *entry);

#endif
