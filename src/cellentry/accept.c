/* Accepting a job. One transaction stores the row of a job, sent by this
 * entry or, when the store is unreachable from here, by a peer. The
 * transaction requires that no row with the job's id exists. So any number
 * of attempts, also concurrent ones and ones that the store carries out
 * late, store the job once, and none after the job was cancelled. */
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
/* A store that has answered any call in the last STORE_ALIVE_MS counts as
 * slow, not as unavailable. */
#define STORE_ALIVE_MS 400
/* Timeout of asking a peer to store the row: enough for one transaction of
 * the peer. */
#define PEER_TIMEOUT_MS 900
/* A store that has been failing for this long counts as unavailable. */
#define STORE_UNAVAILABLE_MS 250
/* After this many transactions that were all refused the caller gets an
 * error. */
#define MAX_REFUSED_TRIES 3
/* Timeout of notifying the owner of a stored job. The owner also watches
 * the table, so a lost notification only delays the job. */
#define NOTIFY_TIMEOUT_MS 500

/* One job whose row is being stored. */
typedef struct {
    GfCellEntry *entry;
    GfName id;
    GfName queue;
    GfStr row; /* owned */
    struct timespec started_at;
    int64_t caller_timeout_ms; /* from started_at */
    uint32_t tries;            /* transactions that this entry sent */
    uint32_t open_calls;       /* calls not answered yet */
    bool for_peer;             /* requested by a peer */
    bool through_peer;         /* a peer was asked to store the row */
    bool own_call_open;        /* this entry's transaction is in progress */
    bool uncertain;            /* the row may be stored now or later */
    bool answered;             /* done was called */
    GfErrorKind refusal; /* why admission refused the job; GF_OK: admitted */
    struct event *timer;
    AcceptDone done;
    void *arg;
} Acceptance;

static void send_transaction(Acceptance *a);

/* Frees an acceptance that is answered and has no call in progress. */
static void
free_if_idle(Acceptance *a)
{
    if (a->answered && a->open_calls == 0) {
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
    int64_t ms = GfTime_DiffMs(GfClock_Now(a->entry->clock), a->started_at);
    GfMetrics_Observe(GF_HISTOGRAM_ACCEPT, ms);
    /* The cause of a refusal has been logged by the caller. */
    bool usual = kind == GF_OK || kind == a->refusal;
    GfLog(usual ? GF_LOG_DETAIL : GF_LOG_NOTICE, PART,
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
    return a->caller_timeout_ms - ANSWER_MARGIN_MS -
           GfTime_DiffMs(GfClock_Now(a->entry->clock), a->started_at);
}

/* Sets the timer, which serves both the check of an overdue transaction and
 * the pause before the next attempt. */
static void
set_timer(Acceptance *a, int ms)
{
    struct timeval tv = GfTime_ToTimeval(ms);
    evtimer_add(a->timer, &tv);
}

/* A notification of the owner in progress. */
typedef struct {
    Peer *owner;
    struct timespec sent_at;
} Notification;

/* Applies the forecast in the owner's answer, or logs a notification that
 * failed. The owner finds the row in the store then. */
static void
on_owner_notified(void *arg, const GfRpcOutcome *outcome)
{
    Notification *n = arg;
    if (outcome->kind == GF_OK) {
        const gfc_job_reply *reply = outcome->result;
        EntryForecast_Apply(n->owner->entry, n->owner, n->sent_at,
                            &reply->forecast);
    }
    else {
        GfLog(GF_LOG_DEBUG, PART,
              "owner not notified of a stored job cause=%s",
              GfError_Name(outcome->kind));
    }
    free(n);
}

/* Notifies the owner of a job whose row is stored, without waiting for an
 * answer. Does nothing if no owner is known, or if this entry is the owner
 * and still loads its term. row is borrowed. */
void
EntryAccept_NotifyOwner(GfCellEntry *entry, const GfName *id,
                        const GfName *queue, const GfStr *row)
{
    if (entry->term != NULL) {
        if (EntryTerm_IsReady(entry)) {
            EntryTerm_AddJobRow(entry, id->data, row->data, row->len, NULL,
                                false);
        }
        return;
    }
    Peer *owner = EntryOwnership_OwnerPeer(entry);
    if (owner == NULL) {
        return;
    }
    gfc_job_call call = {.verb = GF_JOB_SUBMIT,
                         .job = (char *)id->data,
                         .queue = (char *)queue->data,
                         .forecast_number = EntryForecast_KnownNumber(entry)};
    call.body.body_val = row->data;
    call.body.body_len = (u_int)row->len;
    Notification *n = malloc(sizeof(*n));
    if (n == NULL) {
        abort();
    }
    *n = (Notification){owner, GfClock_Now(entry->clock)};
    GfRpcClient_Start(owner->client, GFC_JOB, &call, sizeof(gfc_job_reply),
                      NOTIFY_TIMEOUT_MS, on_owner_notified, n);
}

/* Returns whether the store has been failing long enough to refuse callers
 * without an attempt. */
bool
EntryAccept_StoreIsUnavailable(const GfCellEntry *entry)
{
    return EntryStore_FailedMs(entry) > STORE_UNAVAILABLE_MS;
}

/* Returns a peer that can store a row: the owner if it is in contact, else
 * any peer that is in contact and not stopping, or NULL. */
static Peer *
choose_peer(GfCellEntry *entry)
{
    Peer *owner = EntryOwnership_OwnerPeer(entry);
    if (owner != NULL && EntryMembers_IsInContact(entry, owner)) {
        return owner;
    }
    for (Peer *p = entry->peers; p != NULL; p = p->hh.next) {
        if (EntryMembers_IsInContact(entry, p) && !p->stopping) {
            return p;
        }
    }
    return NULL;
}

/* Continues once no call is in progress and the row is not known to be
 * stored: asks a peer, schedules another attempt, or reports the failure. */
static void retry_or_finish(Acceptance *a);

/* Handles a peer's answer to a request to store the row. */
static void
on_stored_by_peer(void *arg, const GfRpcOutcome *outcome)
{
    Acceptance *a = arg;
    a->open_calls--;
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
    if (kind == GF_OK || kind == GF_NO_SUCH_JOB) {
        finish(a, (GfErrorKind)kind);
        return;
    }
    a->uncertain = a->uncertain || kind != GF_STORE_UNAVAILABLE;
    if (a->open_calls == 0) {
        retry_or_finish(a);
    }
}

/* Asks a peer to store the row. Returns false without a call if the request
 * came from a peer itself, a peer was asked before, no peer is in contact,
 * or too little time is left. */
static bool
store_through_peer(Acceptance *a)
{
    Peer *peer = choose_peer(a->entry);
    if (a->for_peer || a->through_peer || peer == NULL ||
        time_left(a) < RETRY_MS) {
        return false;
    }
    a->through_peer = true;
    a->open_calls++;
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
retry_or_finish(Acceptance *a)
{
    if (store_through_peer(a)) {
        return;
    }
    bool no_more_attempts =
        !a->uncertain && (a->tries >= MAX_REFUSED_TRIES ||
                          EntryAccept_StoreIsUnavailable(a->entry));
    if (!no_more_attempts && time_left(a) > RETRY_MS) {
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
    if (!a->own_call_open) {
        if (a->open_calls == 0) {
            send_transaction(a);
        }
        return;
    }
    int64_t no_answer_ms = GfTime_DiffMs(GfClock_Now(a->entry->clock),
                                         a->entry->store_answered_at);
    if (no_answer_ms < STORE_ALIVE_MS) {
        set_timer(a, RETRY_MS);
        return;
    }
    EntryStore_RecordResult(a->entry, GF_TABLE_UNKNOWN);
    store_through_peer(a);
}

/* Returns whether the row that a read or a conflict names is that of a job
 * which was cancelled before it was accepted. */
static bool
is_withdrawn(const GfTableRow *rows, size_t count)
{
    return count > 0 && GfJobRow_IsWithdrawn(rows[0].value, rows[0].value_len);
}

/* Handles the result of this entry's own transaction. A conflict means that
 * an earlier attempt has stored the same job, or that it was cancelled. A row
 * that the store takes for invalid, such as one that is too large, is a
 * mistake of the caller's. */
static void
on_stored(void *arg, GfTableResult result, int64_t version,
          const GfTableRow *rows, size_t count)
{
    (void)version;
    Acceptance *a = arg;
    a->open_calls--;
    a->own_call_open = false;
    EntryStore_RecordResult(a->entry, result);
    if (a->answered) {
        free_if_idle(a);
        return;
    }
    if (result == GF_TABLE_CONFLICT && is_withdrawn(rows, count)) {
        finish(a, GF_NO_SUCH_JOB);
        return;
    }
    if (result == GF_TABLE_OK || result == GF_TABLE_CONFLICT) {
        if (result == GF_TABLE_OK) {
            GfMetrics_Add(GF_METRIC_JOBS_ACCEPTED, 1);
        }
        EntryAccept_NotifyOwner(a->entry, &a->id, &a->queue, &a->row);
        finish(a, GF_OK);
        return;
    }
    if (result == GF_TABLE_INVALID) {
        GfLog(GF_LOG_WARNING, PART,
              "job's row refused by the store id=%s bytes=%zu", a->id.data,
              a->row.len);
        finish(a, GF_BAD_REQUEST);
        return;
    }
    a->uncertain = a->uncertain || result == GF_TABLE_UNKNOWN;
    if (a->open_calls == 0) {
        retry_or_finish(a);
    }
}

/* Sends the transaction that stores the row and starts the overdue timer.
 * The timeout of the transaction is the time left, but at least RETRY_MS and
 * at most ATTEMPT_TIMEOUT_MS. */
static void
send_transaction(Acceptance *a)
{
    a->tries++;
    a->open_calls++;
    a->own_call_open = true;
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
create_acceptance(GfCellEntry *entry, const GfName *id, const GfName *queue,
                  GfStr row, int64_t caller_timeout_ms, AcceptDone done,
                  void *arg)
{
    Acceptance *a = calloc(1, sizeof(*a));
    if (a == NULL) {
        abort();
    }
    *a = (Acceptance){.entry = entry,
                      .id = *id,
                      .queue = *queue,
                      .row = row,
                      .started_at = GfClock_Now(entry->clock),
                      .caller_timeout_ms = caller_timeout_ms,
                      .done = done,
                      .arg = arg};
    a->timer = evtimer_new(entry->base, on_timer, a);
    return a;
}

/* Makes the first attempt: at the store, or through a peer while the store
 * is unavailable. */
static void
start_storing(Acceptance *a)
{
    if (!EntryAccept_StoreIsUnavailable(a->entry)) {
        send_transaction(a);
    }
    else if (!store_through_peer(a)) {
        finish(a, GF_STORE_UNAVAILABLE);
    }
}

/* Stores the row of a job, waiting at most caller_timeout_ms. Takes
 * ownership of row. for_peer: a peer asks for it, so no other peer is
 * asked. done is called once, during this call or later: with GF_OK, with
 * GF_STORE_UNAVAILABLE if the row is certainly not and never will be stored,
 * with GF_NO_SUCH_JOB if the job was cancelled before, or with GF_TIMEOUT if
 * that is unknown. */
void
EntryAccept_Start(GfCellEntry *entry, const GfName *id, const GfName *queue,
                  GfStr row, int64_t caller_timeout_ms, bool for_peer,
                  AcceptDone done, void *arg)
{
    Acceptance *a =
        create_acceptance(entry, id, queue, row, caller_timeout_ms, done, arg);
    a->for_peer = for_peer;
    start_storing(a);
}

/* Handles the read of a refused job's row: without a row the refusal
 * stands. */
static void
on_earlier_row(void *arg, GfTableResult result, int64_t version,
               const GfTableRow *rows, size_t count)
{
    (void)version;
    Acceptance *a = arg;
    EntryStore_RecordResult(a->entry, result);
    if (result == GF_TABLE_OK &&
        (count == 0 || rows[0].value == NULL || is_withdrawn(rows, count))) {
        finish(a, a->refusal);
        return;
    }
    /* The job was accepted before, or that is unknown now. */
    start_storing(a);
}

/* Refuses a job, unless a row with its id exists: then the caller submits
 * again a job that was accepted before, and it stays accepted. Takes
 * ownership of row. done is called once, with the refusal or as by
 * EntryAccept_Start. */
void
EntryAccept_RefuseUnlessStored(GfCellEntry *entry, const GfName *id,
                               const GfName *queue, GfStr row,
                               int64_t caller_timeout_ms, GfErrorKind refusal,
                               AcceptDone done, void *arg)
{
    assert(refusal != GF_OK);
    Acceptance *a =
        create_acceptance(entry, id, queue, row, caller_timeout_ms, done, arg);
    a->refusal = refusal;
    GfJobRowPart part = GfJobRow_Part(id);
    GfTable_Read(entry->table, ENTRY_JOB_TABLE, part.text, id->data,
                 on_earlier_row, a);
}
