/* Sends the cell's orders to workers and its requests to the advice
 * service, and passes the outcomes back to the cell. */
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "guavaflow/log.h"
#include "guavaflow/metrics.h"
#include "term_private.h"

#define PART "owner"

/* Sends an order to start a run. */
static void
op_start(void *ctx, const GfStartOrder *order)
{
    const Term *term = ctx;
    term->entry->commands->ops->start(term->entry->commands, order);
}

/* Sends an order to stop a run. */
static void
op_stop(void *ctx, const GfStopOrder *order)
{
    const Term *term = ctx;
    term->entry->commands->ops->stop(term->entry->commands, order);
}

/* Sends an order that sets the pace of a run. */
static void
op_pace(void *ctx, const GfPaceOrder *order)
{
    const Term *term = ctx;
    term->entry->commands->ops->pace(term->entry->commands, order);
}

/* Sends an order that extends a worker's lease and fetches its inventory. */
static void
op_hold(void *ctx, const GfHoldOrder *order)
{
    const Term *term = ctx;
    term->entry->commands->ops->hold(term->entry->commands, order);
}

/* Gives up ownership: a worker has seen a higher token. */
static void
op_fenced(void *ctx, const GfName *worker)
{
    Term *term = ctx;
    GfMetrics_Add(GF_METRIC_FENCES, 1);
    GfLog(GF_LOG_WARNING, PART, "order fenced worker=%s token=%lld",
          worker->data, (long long)term->token);
    EntryOwnership_GiveUp(term->entry, "a worker has seen a higher token");
}

/* A read of a job's row in progress. */
typedef struct {
    Term *term;
    GfName job;
} JobLookup;

/* Handles the read of the row of a job that a worker named: adds the job,
 * or reports that it is absent or that the lookup failed. */
static void
on_job_found(void *arg, GfTableResult result, int64_t version,
             const GfTableRow *rows, size_t count)
{
    (void)version;
    JobLookup *s = arg;
    Term *term = s->term;
    term->open_calls--;
    if (term->ended) {
        Term_FreeIfIdle(term);
    }
    else if (result != GF_TABLE_OK) {
        EntryStore_RecordResult(term->entry, result);
        GfCell_LookupFailed(term->cell, &s->job);
    }
    else if (count > 0 && rows[0].value != NULL) {
        EntryTerm_AddJobRow(term->entry, s->job.data, rows[0].value,
                            rows[0].value_len, NULL, true);
        if (!GfCell_HasJob(term->cell, &s->job)) {
            GfCell_JobNotFound(term->cell, &s->job);
        }
    }
    else {
        GfCell_JobNotFound(term->cell, &s->job);
    }
    free(s);
}

/* Reads the row of a job that a worker named and the cell does not know.
 * Its progress is not read: none can have been stored since the load for a
 * job that this term has not loaded. */
static void
op_look_up(void *ctx, const GfName *job)
{
    Term *term = ctx;
    JobLookup *s = calloc(1, sizeof(*s));
    if (s == NULL) {
        abort();
    }
    s->term = term;
    s->job = *job;
    term->open_calls++;
    GfJobRowPart part = GfJobRow_Part(job);
    GfTable_Read(term->entry->table, ENTRY_JOB_TABLE, part.text, job->data,
                 on_job_found, s);
}

/* A request to the advice service in progress. */
typedef struct {
    GfCellEntry *entry;
    int64_t token;
    GfName caller;
    GfName job;
    uint32_t occurrence;
    uint32_t step;
} AdviceRequest;

/* Passes an answer to the cell, if the term that asked still runs, and
 * frees the request. */
static void
finish_advice(AdviceRequest *q, GfErrorKind kind, const GfTicket *tickets,
              size_t count, int64_t valid_ms)
{
    Term *term = q->entry->term;
    if (term != NULL && term->token == q->token) {
        if (kind != GF_OK) {
            GfLog(GF_LOG_NOTICE, PART,
                  "asking for advice failed id=%s step=%u caller=%s cause=%s",
                  q->job.data, q->step, q->caller.data, GfError_Name(kind));
        }
        GfCell_AdviceDone(term->cell, &q->caller, &q->job, q->occurrence,
                          q->step, kind == GF_OK, tickets, count, valid_ms);
        Term_SchedulePlacement(term);
    }
    free(q);
}

/* Handles an answer of the advice service to this entry. */
static void
on_own_advice(void *arg, GfErrorKind kind, const GfTicket *tickets,
              size_t count, int64_t valid_ms)
{
    finish_advice(arg, kind, tickets, count, valid_ms);
}

/* Handles an answer that a peer got from the advice service. */
static void
on_peer_advice(void *arg, const GfRpcOutcome *outcome)
{
    AdviceRequest *q = arg;
    if (outcome->kind != GF_OK) {
        finish_advice(q, outcome->kind, NULL, 0, 0);
        return;
    }
    const gfc_advice_reply *reply = outcome->result;
    GfTicket tickets[GFC_MAX_WORKERS];
    size_t count = 0;
    for (u_int i = 0; i < reply->tickets.tickets_len; i++) {
        const gfc_ticket *row = &reply->tickets.tickets_val[i];
        if (GfName_SetText(&tickets[count].worker, row->worker) &&
            GfName_SetText(&tickets[count].ticket, row->ticket)) {
            count++;
        }
    }
    GfErrorKind kind = reply->kind >= 0 && reply->kind < GF_ERROR_KINDS
                           ? (GfErrorKind)reply->kind
                           : GF_PROTOCOL;
    finish_advice(q, kind, tickets, count, (int64_t)reply->valid_ms);
}

/* Asks the advice service which workers may run a step, from this entry or
 * through the peer that the order names as caller. order is borrowed. */
static void
op_advise(void *ctx, const GfAdviceOrder *order)
{
    Term *term = ctx;
    GfCellEntry *entry = term->entry;
    AdviceRequest *q = calloc(1, sizeof(*q));
    if (q == NULL) {
        abort();
    }
    *q = (AdviceRequest){.entry = entry,
                         .token = term->token,
                         .caller = order->caller,
                         .job = order->job,
                         .occurrence = order->occurrence,
                         .step = order->step};
    GfName step = GfName_Format("%s.%u.%u", order->job.data, order->occurrence,
                                order->step);
    if (GfName_Equal(&order->caller, &entry->self)) {
        entry->commands->ops->advise(entry->commands, step.data,
                                     order->workers, order->worker_count,
                                     order->timeout_ms, on_own_advice, q);
        return;
    }
    Peer *peer = EntryMembers_Find(entry, &order->caller);
    if (peer == NULL) {
        finish_advice(q, GF_CONNECTION_LOST, NULL, 0, 0);
        return;
    }
    gfc_name workers[GFC_MAX_WORKERS];
    for (size_t i = 0; i < order->worker_count; i++) {
        workers[i] = (char *)order->workers[i].data;
    }
    gfc_advice_ask ask = {.step = step.data,
                          .timeout_ms = (u_int)order->timeout_ms};
    ask.workers.workers_val = workers;
    ask.workers.workers_len = (u_int)order->worker_count;
    GfRpcClient_Start(peer->client, GFC_ADVISE, &ask, sizeof(gfc_advice_reply),
                      order->timeout_ms, on_peer_advice, q);
}

const GfCellOps TERM_CELL_OPS = {.start = op_start,
                                 .stop = op_stop,
                                 .pace = op_pace,
                                 .hold = op_hold,
                                 .advise = op_advise,
                                 .commit = Term_Commit,
                                 .look_up = op_look_up,
                                 .fenced = op_fenced};

/* The functions of TERM_SINK pass the outcomes of orders to the cell of the
 * current term. Outcomes from an older term have no effect there: no later
 * term uses the serials that name their workers. */
static void
sink_start(void *ctx, uint32_t serial, const GfTaskId *task, int64_t run,
           GfOrderResult result)
{
    const GfCellEntry *entry = ctx;
    if (entry->term != NULL) {
        GfCell_StartDone(entry->term->cell, serial, task, run, result);
    }
}

static void
sink_stop(void *ctx, uint32_t serial, const GfTaskId *task, int64_t run,
          GfOrderResult result)
{
    const GfCellEntry *entry = ctx;
    if (entry->term != NULL) {
        GfCell_StopDone(entry->term->cell, serial, task, run, result);
    }
}

static void
sink_pace(void *ctx, uint32_t serial, const GfTaskId *task, int64_t run,
          GfOrderResult result)
{
    const GfCellEntry *entry = ctx;
    if (entry->term != NULL) {
        GfCell_PaceDone(entry->term->cell, serial, task, run, result);
    }
}

static void
sink_hold(void *ctx, uint32_t serial, struct timespec sent_at,
          GfOrderResult result, const GfInventory *inventory)
{
    const GfCellEntry *entry = ctx;
    if (entry->term != NULL) {
        Term *term = entry->term;
        GfCell_HoldDone(term->cell, serial, sent_at, result, inventory);
        if (entry->term == term) {
            Term_SchedulePlacement(term);
        }
    }
}

const GfCommandSink TERM_SINK = {.start_done = sink_start,
                                 .stop_done = sink_stop,
                                 .pace_done = sink_pace,
                                 .hold_done = sink_hold};
