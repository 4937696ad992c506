/* Accepting a job. One transaction stores the row of a job, sent by this
 * entry or, when the store is unreachable from here, by a peer. The
 * transaction requires that no row with the job's id exists. So any number
 * of attempts, also concurrent ones and ones that the store carries out
 * late, store the job once. */
#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "entry_private.h"
#include "guavaflow/log.h"
#include "guavaflow/metrics.h"

#define PART "accept"
/* Part of the caller's timeout reserved for the answer to reach the caller. */
#define ANSWER_MARGIN_MS 250
/* Pause before the next attempt, and the shortest remaining time in which
 * an attempt is made. */
#define RETRY_MS 100
/* Timeout of one transaction. A slow store answers within some 350 ms, plus
 * the wait behind other transactions on the same part. */
#define ATTEMPT_TIMEOUT_MS 1500
/* A transaction without an answer for this long triggers a check whether
 * the store still answers other calls. */
#define OVERDUE_MS 450
/* A store that answered any call within this time counts as slow, not as
 * unavailable. */
#define ALIVE_MS 400
/* Timeout of asking a peer to store the row: enough for one transaction of
 * the peer. */
#define PEER_TIMEOUT_MS 900
/* A store that has been failing for this long counts as unavailable. */
#define AWAY_MS 250
/* After this many transactions that were all refused the caller gets an
 * error. */
#define REFUSED_TRIES 3
/* Timeout of notifying the owner of a stored job. The owner also watches
 * the table, so a lost notification only delays the job. */
#define REPORT_TIMEOUT_MS 500

/* One job whose row is being stored. */
typedef struct {
    GfCellEntry *entry;
    GfName id;
    GfName queue;
    GfStr row; /* owned */
    struct timespec began_at;
    int64_t patience_ms; /* the caller's timeout, from began_at */
    uint32_t tries;      /* transactions that this entry sent */
    uint32_t open;     /* calls to the store or a peer without an answer yet */
    bool for_peer;     /* requested by a peer */
    bool through_peer; /* a peer was asked to store the row */
    bool own_open;     /* this entry's transaction is in progress */
    bool uncertain;    /* the row may be stored now or later */
    bool answered;     /* done was called */
    GfErrorKind refusal; /* why admission refused the job; GF_OK: admitted */
    struct event *timer;
    AcceptDone done;
    void *arg;
} Acceptance;

static void attempt(Acceptance *a);

/* Frees an acceptance that is answered and has no call in progress. */
static void
free_if_idle(Acceptance *a)
{
    if (a->answered && a->open == 0) {
        event_free(a->timer);
        GfStr_Clear(&a->row);
        free(a);
    }
}

/* Reports the outcome through the done callback, once, and frees the
 * acceptance unless calls are still in progress. */
static void
finish(Acceptance *a, GfErrorKind kind)
{
    assert(!a->answered);
    a->answered = true;
    evtimer_del(a->timer);
    int64_t ms = GfTime_DiffMs(GfClock_Now(a->entry->clock), a->began_at);
    GfMetrics_Observe(GF_TIME_ACCEPT, ms);
    GfLog(GF_LOG_INFO, PART,
          "job %s id=%s queue=%s outcome=%s tries=%u through_peer=%d "
          "for_peer=%d after_ms=%lld config=%lld",
          kind == GF_OK ? "accepted" : "not accepted", a->id.data,
          a->queue.data, GfError_Name(kind), a->tries, a->through_peer,
          a->for_peer, (long long)ms,
          a->entry->config == NULL ? 0LL
                                   : (long long)a->entry->config->version);
    a->done(a->arg, kind);
    free_if_idle(a);
}

/* Returns the part of the caller's timeout that is left for attempts, in
 * ms; negative once it has passed. */
static int64_t
time_left(const Acceptance *a)
{
    return a->patience_ms - ANSWER_MARGIN_MS -
           GfTime_DiffMs(GfClock_Now(a->entry->clock), a->began_at);
}

/* Sets the timer, which serves both the check of an overdue transaction and
 * the pause before the next attempt. */
static void
set_timer(Acceptance *a, int ms)
{
    struct timeval tv = GfTime_Interval(ms);
    evtimer_add(a->timer, &tv);
}

/* Logs a notification that failed. The owner finds the row in the store
 * then. */
static void
on_reported(void *arg, const GfRpcOutcome *outcome)
{
    (void)arg;
    if (outcome->kind != GF_OK) {
        GfLog(GF_LOG_DEBUG, PART,
              "owner not notified of a stored job cause=%s",
              GfError_Name(outcome->kind));
    }
}

/* Notifies the owner of a job whose row is stored, without waiting for an
 * answer. Does nothing if no owner is known. row is borrowed. */
void
EntryAccept_Report(GfCellEntry *entry, const GfName *id, const GfName *queue,
                   const GfStr *row)
{
    if (entry->term != NULL) {
        if (EntryTerm_IsReady(entry)) {
            EntryTerm_TakeJobRow(entry, id->data, row->data, row->len, NULL,
                                 false);
        }
        return;
    }
    Peer *owner = EntryOwnership_Peer(entry);
    if (owner == NULL) {
        return;
    }
    gfc_job_call call = {.verb = GF_JOB_SUBMIT,
                         .job = (char *)id->data,
                         .queue = (char *)queue->data};
    call.body.body_val = row->data;
    call.body.body_len = (u_int)row->len;
    GfRpcClient_Start(owner->client, GFC_JOB, &call, sizeof(gfc_job_reply),
                      REPORT_TIMEOUT_MS, on_reported, NULL);
}

/* Returns whether the store has been failing long enough to refuse callers
 * without an attempt. */
bool
EntryAccept_StoreIsAway(const GfCellEntry *entry)
{
    return entry->store_failed &&
           GfTime_DiffMs(GfClock_Now(entry->clock), entry->store_failed_at) >
               AWAY_MS;
}

/* Returns a peer that can store a row: the owner if it is in contact, else
 * any peer that is in contact and not stopping, or NULL. */
static Peer *
choose_peer(GfCellEntry *entry)
{
    Peer *owner = EntryOwnership_Peer(entry);
    if (owner != NULL && EntryMembers_IsHeard(entry, owner)) {
        return owner;
    }
    for (Peer *p = entry->peers; p != NULL; p = p->hh.next) {
        if (EntryMembers_IsHeard(entry, p) && !p->stopping) {
            return p;
        }
    }
    return NULL;
}

/* Continues once no call is in progress and the row is not known to be
 * stored: asks a peer, schedules another attempt, or reports the failure. */
static void go_on(Acceptance *a);

/* Handles a peer's answer to a request to store the row. */
static void
on_stored_by_peer(void *arg, const GfRpcOutcome *outcome)
{
    Acceptance *a = arg;
    a->open--;
    int kind = GF_TIMEOUT;
    if (outcome->kind == GF_OK) {
        kind = ((const gfc_job_reply *)outcome->result)->kind;
    }
    else if (!outcome->sent) {
        kind = GF_STORE_UNAVAILABLE;
    }
    if (a->answered) {
        free_if_idle(a);
        return;
    }
    if (kind == GF_OK) {
        finish(a, GF_OK);
        return;
    }
    a->uncertain = a->uncertain || kind != GF_STORE_UNAVAILABLE;
    if (a->open == 0) {
        go_on(a);
    }
}

/* Asks a peer to store the row. Returns false without a call if the request
 * came from a peer itself, a peer was asked before, no peer is in contact,
 * or too little time is left. */
static bool
ask_peer(Acceptance *a)
{
    Peer *peer = choose_peer(a->entry);
    if (a->for_peer || a->through_peer || peer == NULL ||
        time_left(a) < RETRY_MS) {
        return false;
    }
    a->through_peer = true;
    a->open++;
    gfc_job_call call = {.verb = GF_JOB_STORE,
                         .hops = 1,
                         .job = a->id.data,
                         .queue = a->queue.data};
    call.body.body_val = a->row.data;
    call.body.body_len = (u_int)a->row.len;
    GfRpcClient_Start(peer->client, GFC_JOB, &call, sizeof(gfc_job_reply),
                      PEER_TIMEOUT_MS, on_stored_by_peer, a);
    return true;
}

static void
go_on(Acceptance *a)
{
    if (ask_peer(a)) {
        return;
    }
    bool hopeless = !a->uncertain && (a->tries >= REFUSED_TRIES ||
                                      EntryAccept_StoreIsAway(a->entry));
    if (!hopeless && time_left(a) > RETRY_MS) {
        set_timer(a, RETRY_MS);
        return;
    }
    finish(a, a->uncertain ? GF_TIMEOUT : GF_STORE_UNAVAILABLE);
}

/* Makes the next attempt, or checks the overdue transaction: if the store
 * has answered nothing else lately either, records a failure of the store
 * and asks a peer. */
static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    Acceptance *a = arg;
    if (!a->own_open) {
        if (a->open == 0) {
            attempt(a);
        }
        return;
    }
    int64_t silent =
        GfTime_DiffMs(GfClock_Now(a->entry->clock), a->entry->store_ok_at);
    if (silent < ALIVE_MS) {
        set_timer(a, RETRY_MS);
        return;
    }
    EntryStore_Note(a->entry, GF_TABLE_UNKNOWN);
    ask_peer(a);
}

/* Handles the result of this entry's own transaction. A conflict means that
 * an earlier attempt has stored the same job. */
static void
on_stored(void *arg, GfTableResult result, int64_t version,
          const GfTableRow *rows, size_t count)
{
    (void)version;
    (void)rows;
    (void)count;
    Acceptance *a = arg;
    a->open--;
    a->own_open = false;
    EntryStore_Note(a->entry, result);
    if (a->answered) {
        free_if_idle(a);
        return;
    }
    if (result == GF_TABLE_OK || result == GF_TABLE_CONFLICT) {
        if (result == GF_TABLE_OK) {
            GfMetrics_Add(GF_METRIC_JOBS_ACCEPTED, 1);
        }
        EntryAccept_Report(a->entry, &a->id, &a->queue, &a->row);
        finish(a, GF_OK);
        return;
    }
    a->uncertain = a->uncertain || result == GF_TABLE_UNKNOWN;
    if (a->open == 0) {
        go_on(a);
    }
}

/* Sends the transaction that stores the row, with a timeout of at most the
 * time left, and starts the overdue timer. */
static void
attempt(Acceptance *a)
{
    a->tries++;
    a->open++;
    a->own_open = true;
    GfJobRowPart part = GfJobRow_Part(&a->id);
    const GfTableExpectation expectation = {ENTRY_JOB_TABLE, part.text,
                                            a->id.data, 0};
    const GfTableChange change = {ENTRY_JOB_TABLE, part.text, a->id.data,
                                  a->row.data, a->row.len};
    int64_t left = time_left(a);
    int64_t limit = left < ATTEMPT_TIMEOUT_MS ? left : ATTEMPT_TIMEOUT_MS;
    GfTableTransaction transaction = {
        .expectations = &expectation,
        .expectation_count = 1,
        .changes = &change,
        .change_count = 1,
        .timeout_ms = (int)(limit > RETRY_MS ? limit : RETRY_MS)};
    set_timer(a, OVERDUE_MS);
    GfTable_Transact(a->entry->table, &transaction, on_stored, a);
}

/* Creates an acceptance, which takes ownership of row. done is called with
 * arg exactly once. */
static Acceptance *
make_acceptance(GfCellEntry *entry, const GfName *id, const GfName *queue,
                GfStr row, int64_t patience_ms, AcceptDone done, void *arg)
{
    Acceptance *a = calloc(1, sizeof(*a));
    if (a == NULL) {
        abort();
    }
    *a = (Acceptance){.entry = entry,
                      .id = *id,
                      .queue = *queue,
                      .row = row,
                      .began_at = GfClock_Now(entry->clock),
                      .patience_ms = patience_ms,
                      .done = done,
                      .arg = arg};
    a->timer = evtimer_new(entry->base, on_timer, a);
    return a;
}

/* Makes the first attempt: at the store, or through a peer while the store
 * is unavailable. */
static void
begin(Acceptance *a)
{
    if (!EntryAccept_StoreIsAway(a->entry)) {
        attempt(a);
    }
    else if (!ask_peer(a)) {
        finish(a, GF_STORE_UNAVAILABLE);
    }
}

/* Stores the row of a job, waiting at most caller_timeout_ms. Takes
 * ownership of row. for_peer: a peer asks for it, so no other peer is
 * asked. done is called once: with GF_OK, with GF_STORE_UNAVAILABLE if the
 * row is certainly not and never will be stored, or with GF_TIMEOUT if that
 * is unknown. */
void
EntryAccept_Start(GfCellEntry *entry, const GfName *id, const GfName *queue,
                  GfStr row, int64_t patience_ms, bool for_peer,
                  AcceptDone done, void *arg)
{
    Acceptance *a =
        make_acceptance(entry, id, queue, row, patience_ms, done, arg);
    a->for_peer = for_peer;
    begin(a);
}

/* Handles the read of a refused job's row: without a row the refusal
 * stands. */
static void
on_earlier_row(void *arg, GfTableResult result, int64_t version,
               const GfTableRow *rows, size_t count)
{
    (void)version;
    Acceptance *a = arg;
    EntryStore_Note(a->entry, result);
    if (result == GF_TABLE_OK && (count == 0 || rows[0].value == NULL)) {
        finish(a, a->refusal);
        return;
    }
    /* The job was accepted before, or that is unknown now. */
    begin(a);
}

/* Refuses a job, unless its row exists because the same caller submitted it
 * before and it was accepted: that stays one accepted job. Takes ownership
 * of row. done is called once, with the refusal or as by EntryAccept_Start. */
void
EntryAccept_Refuse(GfCellEntry *entry, const GfName *id, const GfName *queue,
                   GfStr row, int64_t patience_ms, GfErrorKind refusal,
                   AcceptDone done, void *arg)
{
    assert(refusal != GF_OK);
    Acceptance *a =
        make_acceptance(entry, id, queue, row, patience_ms, done, arg);
    a->refusal = refusal;
    GfJobRowPart part = GfJobRow_Part(id);
    GfTable_Read(entry->table, ENTRY_JOB_TABLE, part.text, id->data,
                 on_earlier_row, a);
}
