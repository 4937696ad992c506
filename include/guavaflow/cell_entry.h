/* One entry of a cell that is owned by a token: it accepts jobs and answers
 * callers, puts questions for advice, and is a candidate for ownership. */
#ifndef GUAVAFLOW_CELL_ENTRY_H
#define GUAVAFLOW_CELL_ENTRY_H

#include <event2/event.h>

#include "guavaflow/cell.h"
#include "guavaflow/cell_settings.h"
#include "guavaflow/commands.h"
#include "guavaflow/table.h"

typedef struct GfCellEntry GfCellEntry;

/* A STATUS request whose path names no job becomes a COUNT. */
typedef enum {
    GF_JOB_SUBMIT,
    GF_JOB_STATUS,
    GF_JOB_CANCEL,
    GF_JOB_COUNT,
    GF_JOB_STORE, /* between entries: store a job for one without the store */
    GF_JOB_VERBS
} GfJobVerb;

/* What a caller is told. GF_NO_SUCH_JOB: no such job was accepted. A refusal
 * with an HTTP status of 429 or 503 is a promise that nothing has run and
 * nothing will. */
typedef struct {
    GfErrorKind kind;
    GfJobVerb verb;
    GfJobState state;
    size_t waiting;
    uint32_t retry_after_ms;
} GfJobAnswer;

typedef void (*GfJobAnswerCallback)(void *arg, const GfJobAnswer *answer);

typedef struct {
    GfJobVerb verb;
    const char *host;
    const char *path;
    const char *key;  /* NULL: none was presented */
    const char *body; /* of a SUBMIT */
    size_t body_len;
    int64_t patience_ms; /* how long the caller waits; 0: not said */
} GfJobRequest;

GfCellEntry *GfCellEntry_Create(struct event_base *base,
                                const GfCellEntrySettings *settings,
                                const GfClock *clock, GfTable *table,
                                GfCommands *commands, const GfDecoder *decoder,
                                GfError *error);
void GfCellEntry_Destroy(GfCellEntry *entry);
void GfCellEntry_Handle(GfCellEntry *entry, const GfJobRequest *request,
                        GfJobAnswerCallback callback, void *arg);
bool GfCellEntry_IsReady(const GfCellEntry *entry);
void GfCellEntry_BeginStop(GfCellEntry *entry);
void GfCellEntry_UpdateMetrics(const GfCellEntry *entry);
json_t *GfCellEntry_Describe(const GfCellEntry *entry);
json_t *GfCellEntry_DescribeMembers(const GfCellEntry *entry);
json_t *GfCellEntry_DescribeControl(const GfCellEntry *entry);

#endif
