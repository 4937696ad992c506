/* Requests of callers. Any entry accepts a job itself, with one conditional
 * transaction; status, count and cancel requests are answered by the owner. */
#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "entry_private.h"
#include "guavaflow/log.h"
#include "guavaflow/metrics.h"

#define PART "jobs"
/* Length of a job id, without the terminating null byte. */
#define ID_BYTES 16
/* Timeout of a caller that gives none. */
#define DEFAULT_CALLER_TIMEOUT_MS 3000
/* Part of the caller's timeout reserved for the answer to reach the caller. */
#define ANSWER_MARGIN_MS 250
/* Pause before the next attempt. */
#define RETRY_MS 100
/* Timeout within which a job is stored on behalf of another entry. */
#define PEER_STORE_TIMEOUT_MS 1100
/* Timeouts of asking the owner, which answers within some milliseconds; a
 * cancel waits for a commit first. */
#define STATUS_TIMEOUT_MS 500
#define CANCEL_TIMEOUT_MS 1500
/* Timeout of storing that an unknown job is cancelled. */
#define WITHDRAW_TIMEOUT_MS 1500
/* A status request that found no owner for this long is answered from the
 * job's row in the store. */
#define OWNER_WAIT_MS 700
/* A forwarded request is not forwarded again: an entry that does not own
 * the cell answers that there is no owner. */
#define MAX_HOPS 1

/* A request of a caller, or of a peer on behalf of one. */
typedef struct {
    GfCellEntry *entry;
    GfJobVerb verb;
    GfName id;
    GfName queue;
    GfName team;
    GfStr row; /* owned */
    struct timespec started_at;
    int64_t caller_timeout_ms; /* from started_at */
    uint32_t tries;            /* attempts to have the owner answer */
    uint32_t hops;             /* how often the request was forwarded */
    uint32_t retry_after_ms;   /* of a refusal by admission */
    bool uncertain;            /* a cancel that may be carried out */
    bool answer_from_row;      /* the row is enough for a STATUS */
    struct event *timer;
    GfJobAnswerCallback callback;
    void *arg;
} Request;

static void ask_owner(Request *r);

/* Returns the level at which an answer is logged. The refusal of a job that
 * was identified has a line of its own. */
static GfLogLevel
answer_level(const Request *r, GfErrorKind kind)
{
    if (kind == GF_OK) {
        return GF_LOG_DEBUG;
    }
    return r->verb == GF_JOB_SUBMIT && r->id.len > 0 ? GF_LOG_DETAIL
                                                     : GF_LOG_NOTICE;
}

/* Logs and counts the answer, passes it to the callback and frees the request.
 * Successful status and count requests are not logged. */
static void
answer(Request *r, const GfJobAnswer *reply)
{
    GfJobAnswer full = *reply;
    full.verb = r->verb;
    if (full.kind != GF_OK || r->verb == GF_JOB_SUBMIT ||
        r->verb == GF_JOB_CANCEL) {
        GfLog(answer_level(r, full.kind), PART,
              "request answered id=%s verb=%d outcome=%s tries=%u hops=%u "
              "after_ms=%lld config=%lld owner_token=%lld",
              r->id.data, (int)r->verb, GfError_Name(full.kind), r->tries,
              r->hops,
              (long long)GfTime_DiffMs(GfClock_Now(r->entry->clock),
                                       r->started_at),
              r->entry->config == NULL ? 0LL
                                       : (long long)r->entry->config->version,
              (long long)r->entry->owner.token);
    }
    if (r->verb == GF_JOB_SUBMIT && r->hops == 0) {
        GfMetrics_CountRefusal(full.kind);
    }
    r->callback(r->arg, &full);
    if (r->timer != NULL) {
        event_free(r->timer);
    }
    GfStr_Clear(&r->row);
    free(r);
}

/* Returns how long a caller should wait before a retry, in ms, when its
 * request is refused because the store or the owner is unavailable. */
static uint32_t
outage_retry_ms(const GfCellEntry *entry)
{
    return GfAdmission_OutageRetryMs(EntryStore_FailedMs(entry));
}

/* Answers with an error kind, or GF_OK, and no job data. Adds the retry
 * time to refusals that promise that nothing has run. */
static void
answer_kind(Request *r, GfErrorKind kind)
{
    GfJobAnswer reply = {.kind = kind};
    if (kind == GF_LIMIT_REACHED || kind == GF_BUSY) {
        reply.retry_after_ms = r->retry_after_ms;
        GfMetrics_Add(GF_METRIC_REQUESTS_REFUSED, 1);
    }
    else if (GfError_MayRetry(kind) && GfError_HttpStatus(kind) == 503) {
        reply.retry_after_ms = outage_retry_ms(r->entry);
        GfMetrics_Add(GF_METRIC_REQUESTS_REFUSED, 1);
    }
    answer(r, &reply);
}

/* Returns the part of the caller's timeout that is left for attempts, in
 * ms; negative once it has passed. */
static int64_t
time_left(const Request *r)
{
    struct timespec now = GfClock_Now(r->entry->clock);
    return r->caller_timeout_ms - ANSWER_MARGIN_MS -
           GfTime_DiffMs(now, r->started_at);
}

/* Makes the attempt that was delayed. */
static void
on_retry(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    Request *r = arg;
    ask_owner(r);
}

/* Schedules another attempt after RETRY_MS. Returns false if the caller's
 * timeout leaves no time for it. */
static bool
retry_later(Request *r)
{
    if (time_left(r) < RETRY_MS) {
        return false;
    }
    if (r->timer == NULL) {
        r->timer = evtimer_new(r->entry->base, on_retry, r);
    }
    struct timeval tv = GfTime_ToTimeval(RETRY_MS);
    evtimer_add(r->timer, &tv);
    return true;
}

/* Answers the caller with the outcome of storing its job. */
static void
on_accepted(void *arg, GfErrorKind kind)
{
    answer_kind(arg, kind);
}

/* Continues a request whose job has a row that the owner may not know: the
 * owner is notified of it and then asked again, or a status request is
 * answered as queued. */
static void
use_row(Request *r, const GfTableRow *row)
{
    GfStr_Clear(&r->row);
    r->row = GfStr_Copy(row->value, row->value_len);
    EntryAccept_NotifyOwner(r->entry, &r->id, &r->queue, &r->row);
    if (r->verb == GF_JOB_STATUS && r->answer_from_row) {
        GfJobAnswer reply = {.kind = GF_OK, .state = GF_JOB_QUEUED};
        answer(r, &reply);
        return;
    }
    r->answer_from_row = true;
    if (!retry_later(r)) {
        answer_kind(r, r->uncertain ? GF_TIMEOUT : GF_NO_OWNER);
    }
}

/* Handles the read of a job's row, made because the owner does not know the
 * job or no owner could be asked. */
static void
on_job_row(void *arg, GfTableResult result, int64_t version,
           const GfTableRow *rows, size_t count)
{
    Request *r = arg;
    EntryStore_RecordResult(r->entry, result);
    if (result != GF_TABLE_OK) {
        if (!retry_later(r)) {
            answer_kind(r, GF_STORE_UNAVAILABLE);
        }
        return;
    }
    if (count == 0 || rows[0].value == NULL ||
        GfJobRow_IsWithdrawn(rows[0].value, rows[0].value_len)) {
        GfLog(GF_LOG_NOTICE, PART,
              "job row not found id=%s rows=%zu store_version=%lld owner=%s",
              r->id.data, count, (long long)version,
              r->entry->owner.name.data);
        answer_kind(r, GF_NO_SUCH_JOB);
        return;
    }
    use_row(r, &rows[0]);
}

/* Handles the outcome of storing that an unknown job is cancelled. Only once
 * that is stored, nothing can accept the job any more. If the job has a row by
 * now, the owner cancels it. */
static void
on_withdrawn(void *arg, GfTableResult result, int64_t version,
             const GfTableRow *rows, size_t count)
{
    (void)version;
    Request *r = arg;
    EntryStore_RecordResult(r->entry, result);
    bool has_row =
        result == GF_TABLE_CONFLICT && count > 0 && rows[0].value != NULL;
    if (result == GF_TABLE_OK ||
        (has_row && GfJobRow_IsWithdrawn(rows[0].value, rows[0].value_len))) {
        GfLog(GF_LOG_INFO, PART, "unknown job cancelled id=%s stored=%d",
              r->id.data, result == GF_TABLE_OK);
        answer_kind(r, GF_NO_SUCH_JOB);
        return;
    }
    if (has_row) {
        use_row(r, &rows[0]);
        return;
    }
    r->uncertain = r->uncertain || result == GF_TABLE_UNKNOWN;
    if (!retry_later(r)) {
        answer_kind(r, r->uncertain ? GF_TIMEOUT : GF_STORE_UNAVAILABLE);
    }
}

/* Stores that a job is cancelled of which the owner knows nothing. A write of
 * its row may still be on its way: the caller may have given up the call that
 * submits it. */
static void
withdraw(Request *r)
{
    GfStr row = GfJobRow_EncodeWithdrawn();
    GfJobRowPart part = GfJobRow_Part(&r->id);
    const GfTableExpectation expectation = {ENTRY_JOB_TABLE, part.text,
                                            r->id.data, 0};
    const GfTableChange change = {ENTRY_JOB_TABLE, part.text, r->id.data,
                                  row.data, row.len};
    int64_t left = time_left(r);
    int64_t limit = left < WITHDRAW_TIMEOUT_MS ? left : WITHDRAW_TIMEOUT_MS;
    GfTableTransaction transaction = {
        .expectations = &expectation,
        .expectation_count = 1,
        .changes = &change,
        .change_count = 1,
        .timeout_ms = (int)(limit > RETRY_MS ? limit : RETRY_MS)};
    GfTable_Transact(r->entry->table, &transaction, on_withdrawn, r);
    GfStr_Clear(&row);
}

/* Reads the job's row from the store. */
static void
ask_store(Request *r)
{
    GfJobRowPart part = GfJobRow_Part(&r->id);
    GfTable_Read(r->entry->table, ENTRY_JOB_TABLE, part.text, r->id.data,
                 on_job_row, r);
}

/* Handles the owner's answer. If the owner does not know the job the store
 * is asked, or told that the job is cancelled, and without an answer the
 * request is tried again. A request that a peer forwarded is answered at once
 * instead. GF_TIMEOUT means that a cancel may be carried out; after that no
 * answer may say that it was not. */
static void
handle_owner_reply(Request *r, const GfJobAnswer *reply)
{
    if (reply->kind == GF_NO_SUCH_JOB && r->hops == 0) {
        if (r->verb == GF_JOB_CANCEL) {
            withdraw(r);
        }
        else {
            ask_store(r);
        }
    }
    else if (reply->kind == GF_NO_OWNER || reply->kind == GF_TIMEOUT) {
        r->uncertain = r->uncertain || reply->kind == GF_TIMEOUT;
        if (r->hops > 0 || !retry_later(r)) {
            answer_kind(r, r->uncertain ? GF_TIMEOUT : GF_NO_OWNER);
        }
    }
    else {
        answer(r, reply);
    }
}

/* Converts the owner's RPC reply. A failed call counts as GF_NO_OWNER, or as
 * GF_TIMEOUT if the owner may have got a cancel, an unknown error kind as
 * GF_PROTOCOL and an unknown state as queued. */
static void
on_owner_reply(void *arg, const GfRpcOutcome *outcome)
{
    Request *r = arg;
    GfJobAnswer reply = {.kind = GF_NO_OWNER};
    if (outcome->kind == GF_OK) {
        const gfc_job_reply *xdr = outcome->result;
        reply.kind = xdr->kind >= 0 && xdr->kind < GF_ERROR_KINDS
                         ? (GfErrorKind)xdr->kind
                         : GF_PROTOCOL;
        reply.state = xdr->state >= 0 && xdr->state < GF_JOB_STATES
                          ? (GfJobState)xdr->state
                          : GF_JOB_QUEUED;
        reply.waiting = xdr->waiting;
    }
    else if (r->verb == GF_JOB_CANCEL && outcome->sent) {
        reply.kind = GF_TIMEOUT;
    }
    handle_owner_reply(r, &reply);
}

/* Handles the outcome of a cancel, reported once it is stored. If the term has
 * ended before that, it may be stored all the same. */
static void
on_cancelled(void *arg, GfErrorKind kind)
{
    GfJobAnswer reply = {.kind = kind};
    if (kind == GF_NOT_FOUND) {
        reply.kind = GF_NO_SUCH_JOB;
    }
    else if (kind == GF_NO_OWNER) {
        reply.kind = GF_TIMEOUT;
    }
    handle_owner_reply(arg, &reply);
}

/* Answers a request from the cell of this entry's own term. A cancel is
 * answered later, by on_cancelled. */
static void
answer_as_owner(Request *r, GfCell *cell)
{
    GfJobAnswer reply = {.kind = GF_OK};
    switch (r->verb) {
    case GF_JOB_STATUS:
        if (!GfCell_JobState(cell, &r->id, &reply.state)) {
            reply.kind = GF_NO_SUCH_JOB;
        }
        break;
    case GF_JOB_COUNT:
        reply.waiting = GfCell_CountQueuedJobs(cell, &r->queue);
        break;
    default:
        GfCell_CancelJob(cell, &r->id, on_cancelled, r);
        return;
    }
    handle_owner_reply(r, &reply);
}

/* Makes one attempt to have the owner answer: by this entry's own cell, the
 * owner, or a peer that is in contact with the owner when this entry is
 * not. A status request of a caller that has found no owner for
 * OWNER_WAIT_MS is answered from the job's row instead. */
static void
ask_owner(Request *r)
{
    GfCellEntry *entry = r->entry;
    r->tries++;
    GfCell *cell = EntryTerm_Cell(entry);
    if (cell != NULL) {
        answer_as_owner(r, cell);
        return;
    }
    struct timespec now = GfClock_Now(entry->clock);
    Peer *peer = entry->term != NULL ? NULL : EntryOwnership_OwnerPeer(entry);
    if (peer != NULL && !EntryMembers_IsInContact(entry, peer)) {
        Peer *relay = EntryMembers_Find(entry, &entry->relay);
        peer = relay != NULL && EntryMembers_IsInContact(entry, relay) ? relay
                                                                       : peer;
    }
    if (peer == NULL || r->hops >= MAX_HOPS) {
        GfJobAnswer reply = {.kind = GF_NO_OWNER};
        if (r->verb == GF_JOB_STATUS && r->hops == 0 &&
            GfTime_DiffMs(now, r->started_at) > OWNER_WAIT_MS) {
            r->answer_from_row = true;
            ask_store(r);
            return;
        }
        handle_owner_reply(r, &reply);
        return;
    }
    gfc_job_call call = {.verb = (int)r->verb,
                         .hops = r->hops + 1,
                         .job = r->id.data,
                         .queue = r->queue.data};
    int limit =
        r->verb == GF_JOB_CANCEL ? CANCEL_TIMEOUT_MS : STATUS_TIMEOUT_MS;
    int64_t left = time_left(r);
    if (left < limit) {
        limit = left > RETRY_MS ? (int)left : RETRY_MS;
    }
    GfRpcClient_Start(peer->client, GFC_JOB, &call, sizeof(gfc_job_reply),
                      limit, on_owner_reply, r);
}

/* Sends the answer to a forwarded request. arg is the GfRpcCall. */
static void
reply_to_peer(void *arg, const GfJobAnswer *reply)
{
    gfc_job_reply xdr = {.kind = (int)reply->kind,
                         .state = (int)reply->state,
                         .waiting = (u_int)reply->waiting,
                         .retry_after_ms = reply->retry_after_ms};
    GfRpcCall_Reply(arg, &xdr);
}

/* Handles the notification of a stored job. The answer has the forecast, as
 * the entry that accepts jobs needs the newest. */
static void
answer_notification(GfCellEntry *entry, const gfc_job_call *call,
                    GfRpcCall *rpc, const GfName *id)
{
    gfc_job_reply reply = {.kind = GF_NO_OWNER};
    ForecastRows rows;
    if (EntryTerm_IsReady(entry)) {
        reply.kind = GF_OK;
        EntryTerm_AddJobRow(entry, id->data, call->body.body_val,
                            call->body.body_len, NULL, false);
    }
    EntryForecast_Fill(entry, call->forecast_number, &rows, &reply.forecast);
    GfRpcCall_Reply(rpc, &reply);
}

/* Handles a request from another entry: a forwarded request of a caller
 * (STATUS, COUNT, CANCEL), notification of a stored job (SUBMIT), or a job
 * to store on its behalf (STORE). call is borrowed; rpc is answered exactly
 * once. */
void
EntryJobs_HandlePeer(GfCellEntry *entry, const gfc_job_call *call,
                     GfRpcCall *rpc)
{
    GfJobAnswer reply = {.kind = GF_BAD_REQUEST};
    GfName id;
    GfName queue;
    if (call->verb < 0 || call->verb >= GF_JOB_VERBS ||
        !GfName_SetText(&id, call->job) ||
        !GfName_SetText(&queue, call->queue)) {
        reply_to_peer(rpc, &reply);
        return;
    }
    if (call->verb == GF_JOB_SUBMIT) {
        answer_notification(entry, call, rpc, &id);
        return;
    }
    if (call->verb == GF_JOB_STORE && EntryAccept_StoreIsUnavailable(entry)) {
        reply.kind = GF_STORE_UNAVAILABLE;
        reply_to_peer(rpc, &reply);
        return;
    }
    Request *r = calloc(1, sizeof(*r));
    if (r == NULL) {
        abort();
    }
    r->entry = entry;
    r->verb = (GfJobVerb)call->verb;
    r->id = id;
    r->queue = queue;
    r->hops = call->hops;
    r->started_at = GfClock_Now(entry->clock);
    r->caller_timeout_ms = CANCEL_TIMEOUT_MS + ANSWER_MARGIN_MS;
    r->callback = reply_to_peer;
    r->arg = rpc;
    if (r->verb == GF_JOB_STORE) {
        r->verb = GF_JOB_SUBMIT;
        EntryAccept_Start(entry, &id, &queue,
                          GfStr_Copy(call->body.body_val, call->body.body_len),
                          PEER_STORE_TIMEOUT_MS, true, on_accepted, r);
        return;
    }
    ask_owner(r);
}

/* Returns whether text is a valid job id: 16 hexadecimal digits. */
static bool
is_job_id(const char *text)
{
    return strlen(text) == ID_BYTES &&
           strspn(text, "0123456789abcdefABCDEF") == ID_BYTES;
}

/* Returns the row of a job as compact JSON, owned by the caller, or an
 * empty string if the request's body cannot be stored in JSON. */
static GfStr
encode_row(const Request *r, const GfJobRequest *request)
{
    json_t *row =
        json_pack("{s:s,s:s,s:I,s:s%}", "queue", r->queue.data, "team",
                  r->team.data, "accepted_ms", (json_int_t)GfTime_WallMs(),
                  "body", request->body, request->body_len);
    if (row == NULL) {
        return (GfStr){0};
    }
    char *text = json_dumps(row, JSON_COMPACT);
    json_decref(row);
    return (GfStr){.len = strlen(text), .data = text};
}

/* Checks a job against the limits and the forecast of the owner. Without an
 * owner there is no forecast. Sets the time to retry; fills in forecast. */
static GfErrorKind
check_admission(Request *r, const GfQueue *queue, const GfJobSpec *spec,
                GfForecastCheck *forecast)
{
    GfCellEntry *entry = r->entry;
    GfErrorKind refusal =
        GfAdmission_Check(&entry->admission, &queue->service, &r->team, spec,
                          &r->retry_after_ms);
    const GfCellTeam *team = GfCellConfig_FindTeam(entry->config, &r->team);
    if (refusal == GF_OK && team != NULL) {
        refusal = GfAdmission_CheckLimit(&team->limit, spec);
    }
    bool has_owner = entry->term != NULL || (entry->owner.token != 0 &&
                                             !entry->owner.denies_ownership);
    if (refusal == GF_OK && has_owner &&
        entry->settings->features.overload_refusal) {
        refusal =
            GfAdmission_CheckForecast(&entry->admission, queue, &r->team, spec,
                                      GfClock_Now(entry->clock), forecast);
        r->retry_after_ms = forecast->retry_after_ms;
    }
    return refusal;
}

/* Decodes and checks a submitted job, then stores its row. If admission
 * refuses the job, an earlier accepted submit of the same id still counts. */
static void
begin_submit(Request *r, const GfJobRequest *request)
{
    GfJobSpec spec;
    GfError error;
    if (!r->entry->decoder->job(request->body, request->body_len, &spec,
                                &error)) {
        GfLog(GF_LOG_NOTICE, PART, "invalid job refused id=%s cause=%s",
              r->id.data, error.text);
        answer_kind(r, GF_BAD_REQUEST);
        return;
    }
    const GfQueue *queue = GfCellConfig_FindQueue(r->entry->config, &r->queue);
    assert(queue != NULL); /* resolve_request has found it before */
    GfForecastCheck forecast = {0};
    GfErrorKind refusal = check_admission(r, queue, &spec, &forecast);
    GfJobSpec_Clear(&spec);
    r->row = encode_row(r, request);
    if (r->row.data == NULL) {
        answer_kind(r, GF_BAD_REQUEST);
        return;
    }
    GfStr row = r->row;
    r->row = (GfStr){0};
    if (refusal != GF_OK) {
        GfLog(GF_LOG_NOTICE, PART,
              "job not admitted id=%s queue=%s team=%s cause=%s "
              "retry_after_ms=%u wait_ms=%lld wait_doubt_ms=%lld "
              "forecast_age_ms=%lld owner_token=%lld",
              r->id.data, r->queue.data, r->team.data, GfError_Name(refusal),
              r->retry_after_ms, (long long)forecast.wait_ms,
              (long long)forecast.doubt_ms, (long long)forecast.age_ms,
              (long long)r->entry->owner.token);
        EntryAccept_RefuseUnlessStored(r->entry, &r->id, &r->queue, row,
                                       r->caller_timeout_ms, refusal,
                                       on_accepted, r);
        return;
    }
    EntryAccept_Start(r->entry, &r->id, &r->queue, row, r->caller_timeout_ms,
                      false, on_accepted, r);
}

/* Finds the queue, team and job id of a request and stores them in r.
 * Returns GF_OK or why the request is refused. */
static GfErrorKind
resolve_request(Request *r, const GfJobRequest *request)
{
    const GfCellConfig *config = r->entry->config;
    if (config == NULL) {
        return GF_NOT_CONFIRMED;
    }
    const GfQueue *queue = GfCellConfig_Route(
        config, request->host, strcspn(request->host, ":"), request->path);
    if (queue == NULL) {
        return GF_NOT_FOUND;
    }
    const GfCellTeam *team =
        request->key == NULL
            ? NULL
            : GfCellConfig_FindTeamByKey(config, request->key);
    if (team == NULL && !queue->open) {
        GfMetrics_Add(GF_METRIC_UNAUTHENTICATED, 1);
        return GF_UNAUTHENTICATED;
    }
    r->queue = queue->name;
    if (team != NULL) {
        r->team = team->name;
    }
    const char *id = request->path + queue->path_prefix.len;
    if (*id == '\0' && r->verb == GF_JOB_STATUS) {
        r->verb = GF_JOB_COUNT;
        return GF_OK;
    }
    if (!is_job_id(id) || !GfName_SetText(&r->id, id)) {
        GfLog(GF_LOG_NOTICE, PART, "invalid job id path=%s verb=%d",
              request->path, (int)r->verb);
        return r->verb == GF_JOB_SUBMIT ? GF_BAD_REQUEST : GF_NO_SUCH_JOB;
    }
    return GF_OK;
}

/* Handles a request of a caller. request and what it points to are borrowed
 * for this call only. callback runs exactly once, during this call or
 * later; its answer is valid during the callback. */
void
GfCellEntry_Handle(GfCellEntry *entry, const GfJobRequest *request,
                   GfJobAnswerCallback callback, void *arg)
{
    assert(entry != NULL && request != NULL && callback != NULL);
    GfMetrics_Add(GF_METRIC_REQUESTS, 1);
    Request *r = calloc(1, sizeof(*r));
    if (r == NULL) {
        abort();
    }
    r->entry = entry;
    r->verb = request->verb;
    r->started_at = GfClock_Now(entry->clock);
    r->caller_timeout_ms = request->timeout_ms > 0 ? request->timeout_ms
                                                   : DEFAULT_CALLER_TIMEOUT_MS;
    r->callback = callback;
    r->arg = arg;
    GfErrorKind kind = resolve_request(r, request);
    if (kind != GF_OK) {
        answer_kind(r, kind);
    }
    else if (r->verb == GF_JOB_SUBMIT) {
        begin_submit(r, request);
    }
    else {
        ask_owner(r);
    }
}
