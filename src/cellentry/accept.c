/* Accepting a job: one conditional transaction stores its row, from here or,
 * when the store is out of reach, through a peer. The condition that no row
 * of its id exists makes all attempts safe beside one another, also those that
 * are carried out late. */
#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "entry_private.h"
#include "guavaflow/log.h"
#include "guavaflow/metrics.h"

#define PART "accept"
/* What is kept of the caller's time for the answer to arrive. */
#define ANSWER_MARGIN_MS 250
/* Pause before another attempt, and the least time that one needs. */
#define RETRY_MS 100
/* A slow store answers within some 350 ms, and queues within a part. */
#define ATTEMPT_TIMEOUT_MS 1500
/* An attempt that is out this long is looked after. */
#define OVERDUE_MS 450
/* A store that answered any call within this time is slow, not away. */
#define ALIVE_MS 400
/* A peer may take one attempt at the store. */
#define PEER_TIMEOUT_MS 900
/* A store that has failed this long is taken to be away. */
#define AWAY_MS 250
/* A refused transaction is tried this often before the caller is told. */
#define REFUSED_TRIES 3
/* The owner also follows the table, so a lost report only costs time. */
#define REPORT_TIMEOUT_MS 500

typedef struct {
    GfCellEntry *entry;
    GfName id;
    GfName queue;
    GfStr row;
    struct timespec began_at;
    int64_t patience_ms;
    uint32_t tries;
    uint32_t open; /* calls that will still report */
    bool for_peer;
    bool through_peer;
    bool own_open;
    bool uncertain; /* an attempt may have stored the row, or may yet */
    bool answered;
    GfErrorKind refusal; /* why the job is to be refused; GF_OK: it is not */
    struct event *timer;
    AcceptDone done;
    void *arg;
} Acceptance;

static void attempt(Acceptance *a);

/* Frees an acceptance that no call reports to any more. */
static void
free_if_idle(Acceptance *a)
{
    if (a->answered && a->open == 0) {
        event_free(a->timer);
        GfStr_Clear(&a->row);
        free(a);
    }
}

/* Tells the caller of this module. */
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

/* Returns how much of the caller's time is left. */
static int64_t
time_left(const Acceptance *a)
{
    return a->patience_ms - ANSWER_MARGIN_MS -
           GfTime_DiffMs(GfClock_Now(a->entry->clock), a->began_at);
}

/* Sets the one timer: for a look after an attempt, or for the next one. */
static void
set_timer(Acceptance *a, int ms)
{
    struct timeval tv = GfTime_Interval(ms);
    evtimer_add(a->timer, &tv);
}

/* Drops the outcome of a report; the owner finds the row in the store if the
 * report is lost. */
static void
on_reported(void *arg, const GfRpcOutcome *outcome)
{
    (void)arg;
    if (outcome->kind != GF_OK) {
        GfLog(GF_LOG_DEBUG, PART, "job not reported to the owner cause=%s",
              GfError_Name(outcome->kind));
    }
}

/* Tells the owner of a job whose row is stored. */
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

/* Tells whether the store has failed long enough to say so at once. */
bool
EntryAccept_StoreIsAway(const GfCellEntry *entry)
{
    return entry->store_failed &&
           GfTime_DiffMs(GfClock_Now(entry->clock), entry->store_failed_at) >
               AWAY_MS;
}

/* Chooses a peer that can store a row: the owner if it was heard lately, else
 * any other that was. */
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

/* Decides what follows once no attempt is under way. */
static void go_on(Acceptance *a);

/* Takes the outcome of a row that a peer was asked to store. */
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

/* Has a peer store the row. Returns false if none was heard lately or one was
 * asked already. */
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

/* Looks after an attempt that is overdue, or makes the next one. */
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

/* Takes the outcome of our own transaction. On a conflict the same job was
 * stored by an earlier attempt. */
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

/* Sends the transaction. */
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

/* Makes an acceptance, which takes the row's reference. */
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

/* Begins to store the row. */
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

/* Stores a job's row, whose reference it takes. done is called once: with
 * GF_OK, with GF_STORE_UNAVAILABLE if surely nothing was or will be stored, or
 * with GF_TIMEOUT if that is open. for_peer: a peer asks, and is not asked in
 * turn. */
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

/* Takes the row that a refused job may have from an earlier attempt. */
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
    /* It was accepted before, or that cannot be known now. */
    begin(a);
}

/* Refuses a job, unless an earlier attempt of its caller was accepted: that
 * is still one job. done is called as by EntryAccept_Start, or with the
 * refusal. */
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
