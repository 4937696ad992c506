#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "entry_private.h"
#include "guavaflow/log.h"
#include "guavaflow/metrics.h"

/* Racks tried before a pause. */
#define MAX_TRIED_RACKS 16
/* Pause before racks or the owner of a key are tried again. */
#define RETRY_MS 50
/* Added to the timeout of a forwarded request, so that the holder's answer to
 * an expired one still arrives. */
#define REPLY_MARGIN_MS 100
/* Retries are limited to a fifth of the requests; the tokens kept for a burst
 * are bounded. */
#define RETRY_TOKENS_PER_REQUEST 0.2
#define MAX_RETRY_TOKENS 100.0

/* A request and its attempts on racks. */
typedef struct {
    GfEntry *entry;
    EntryRequest request;
    struct timespec deadline;
    GfName tried[MAX_TRIED_RACKS]; /* since the last pause */
    size_t tried_count;
    uint32_t attempts;
    GfAnswer last;  /* of the last attempt */
    bool maybe_ran; /* the outcome of some attempt is unknown */
    GfAnswerCallback callback;
    void *arg;
    struct event *timer;
} Route;

static void try_next_rack(Route *r);

/* Returns a copy of a request; the caller clears its body. */
static EntryRequest
copy_request(const EntryRequest *request)
{
    EntryRequest copy = *request;
    copy.body = GfStr_Copy(request->body.data, request->body.len);
    return copy;
}

/* Answers the request, counts it and frees the route. If an earlier attempt
 * may have run, the answer must not say that nothing ran. */
static void
end_route(Route *r, const GfAnswer *answer)
{
    GfAnswer final = GfAnswer_Copy(answer);
    if (r->maybe_ran && final.ran == GF_RAN_NO) {
        final.ran = GF_RAN_UNKNOWN;
    }
    GfMetric metric = GF_METRIC_REQUESTS_UNKNOWN;
    if (final.ran != GF_RAN_UNKNOWN) {
        metric = final.ran == GF_RAN_YES ? GF_METRIC_REQUESTS_SERVED
                                         : GF_METRIC_REQUESTS_REFUSED;
    }
    GfMetrics_Add(metric, 1);
    r->entry->open_calls--;
    r->callback(r->arg, &final);
    GfAnswer_Clear(&final);
    GfAnswer_Clear(&r->last);
    GfStr_Clear(&r->request.body);
    if (r->timer != NULL) {
        event_free(r->timer);
    }
    free(r);
}

/* Returns the milliseconds until the deadline of a request. */
static int64_t
time_left(const Route *r)
{
    return GfTime_DiffMs(r->deadline, Entry_Now(r->entry));
}

/* Tries the racks again after a pause. */
static void
on_route_timer(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    Route *r = arg;
    event_free(r->timer);
    r->timer = NULL;
    try_next_rack(r);
}

/* Makes a pause, after which every rack may be tried again: one that is
 * changing hands may have a new holder by then. */
static void
retry_after_wait(Route *r)
{
    r->tried_count = 0;
    r->timer = evtimer_new(r->entry->base, on_route_timer, r);
    struct timeval tv = GfTime_ToTimeval(RETRY_MS);
    evtimer_add(r->timer, &tv);
}

/* Takes a token for another attempt and returns whether it may be made.
 * Retries are limited to a share of the requests, so that they cannot multiply
 * the load when targets fail. */
static bool
take_retry_token(Route *r)
{
    if (r->attempts >= r->entry->settings->front.attempts ||
        r->entry->retry_tokens < 1.0) {
        return false;
    }
    r->entry->retry_tokens -= 1.0;
    GfMetrics_Add(GF_METRIC_REQUEST_RETRIES, 1);
    return true;
}

/* Handles the answer to one attempt. Tries another rack if the error allows a
 * retry, time is left, and the request did not run or is repeatable; otherwise
 * passes the answer to the caller. A retry because the rack changed its holder
 * needs no token, as it does not add to the load of failing targets. */
static void
on_attempt(void *arg, const GfAnswer *answer)
{
    Route *r = arg;
    bool unknown = answer->ran == GF_RAN_UNKNOWN;
    r->maybe_ran = r->maybe_ran || unknown;
    GfAnswer_Clear(&r->last);
    r->last = GfAnswer_Copy(answer);
    bool may_retry =
        GfError_MayRetry(answer->kind) &&
        (answer->ran == GF_RAN_NO || (unknown && r->request.repeatable));
    if (!may_retry || time_left(r) <= RETRY_MS) {
        end_route(r, answer);
        return;
    }
    bool holder_changed =
        answer->kind == GF_NO_OWNER || answer->kind == GF_LEASE_LOST;
    if (holder_changed || take_retry_token(r)) {
        try_next_rack(r);
        return;
    }
    end_route(r, answer);
}

/* Handles the reply of another entry to an attempt. Without a reply, a request
 * that was sent may have run. */
static void
on_remote_attempt(void *arg, const GfRpcOutcome *outcome)
{
    GfAnswer answer;
    if (outcome->kind == GF_OK) {
        answer = EntryXdr_ToAnswer(outcome->result);
    }
    else {
        answer = GfAnswer_Make(outcome->kind,
                               outcome->sent ? GF_RAN_UNKNOWN : GF_RAN_NO,
                               "the holder of the rack did not reply");
    }
    on_attempt(arg, &answer);
    GfAnswer_Clear(&answer);
}

/* Sends the request to the entry that holds the rack. left is the time until
 * the deadline in milliseconds. */
static void
execute_remotely(Route *r, const GfRackView *view, int64_t left)
{
    gfx_request args;
    memset(&args, 0, sizeof(args));
    args.id = r->request.id.data;
    args.service = r->request.service.data;
    args.team = r->request.team.data;
    args.key = "";
    args.rack = (char *)view->rack.data;
    args.time_ms = (u_int)left;
    args.body.body_val = r->request.body.data;
    args.body.body_len = (u_int)r->request.body.len;
    GfMetrics_Add(GF_METRIC_FORWARDED, 1);
    GfName holder = view->holder;
    if (!EntryPeers_Call(r->entry, &holder, GFX_EXECUTE, &args,
                         sizeof(gfx_answer), (int)left + REPLY_MARGIN_MS,
                         on_remote_attempt, r)) {
        GfAnswer answer =
            GfAnswer_Make(GF_NO_OWNER, GF_RAN_NO,
                          "the holder of the rack is not a known member");
        on_attempt(r, &answer);
    }
}

/* Runs the request on a rack that this entry holds. */
static void
execute_locally(Route *r, GfRackAgent *agent, int64_t left)
{
    GfServiceRequest request = {.id = r->request.id,
                                .service = r->request.service,
                                .team = r->request.team,
                                .time_left_ms = (int32_t)left,
                                .body = r->request.body};
    GfRackAgent_Execute(agent, &request, on_attempt, r);
}

/* Sends the request to a rack that was not tried yet, or makes a pause if
 * there is none. After the deadline the last error is returned. */
static void
try_next_rack(Route *r)
{
    GfEntry *entry = r->entry;
    int64_t left = time_left(r);
    if (left <= 0) {
        GfAnswer answer = GfAnswer_Make(
            r->last.kind == GF_OK ? GF_NO_OWNER : r->last.kind, GF_RAN_NO,
            "no rack accepted the request before its deadline");
        end_route(r, &answer);
        return;
    }
    const GfRackView *view = NULL;
    if (r->tried_count < MAX_TRIED_RACKS) {
        view = GfFleet_PickForRequest(entry->fleet, entry->control,
                                      &r->request.service, r->tried,
                                      r->tried_count);
    }
    if (view == NULL) {
        retry_after_wait(r);
        return;
    }
    r->tried[r->tried_count++] = view->rack;
    r->attempts++;
    GfFleet_ReserveSlot(entry->fleet, &view->rack, &r->request.service);
    GfRackAgent *agent = Entry_FindRack(entry, &view->rack);
    if (Entry_IsSelf(entry, &view->holder) && agent != NULL) {
        execute_locally(r, agent, left);
    }
    else {
        execute_remotely(r, view, left);
    }
}

/* Sends a request to a rack that serves it, with retries until its deadline.
 * The request is copied. The callback is called once with the answer. */
void
EntryRequests_Route(GfEntry *entry, const EntryRequest *request,
                    GfAnswerCallback callback, void *arg)
{
    Route *r = calloc(1, sizeof(*r));
    if (r == NULL) {
        abort();
    }
    r->entry = entry;
    r->request = copy_request(request);
    r->deadline = GfTime_AddMs(Entry_Now(entry), request->remaining_ms);
    r->callback = callback;
    r->arg = arg;
    entry->open_calls++;
    entry->retry_tokens += RETRY_TOKENS_PER_REQUEST;
    if (entry->retry_tokens > MAX_RETRY_TOKENS) {
        entry->retry_tokens = MAX_RETRY_TOKENS;
    }
    try_next_rack(r);
}

/* A request with an idempotency key, until the owner of the key answers. */
typedef struct {
    GfEntry *entry;
    EntryRequest request;
    struct timespec deadline;
    GfAnswerCallback callback;
    void *arg;
    bool maybe_received; /* a call that got no reply may have arrived */
    struct event *timer;
} KeyedRequest;

static void call_key_owner(KeyedRequest *k);

/* Answers the request and frees it. */
static void
end_keyed(KeyedRequest *k, const GfAnswer *answer)
{
    k->entry->open_calls--;
    k->callback(k->arg, answer);
    GfStr_Clear(&k->request.body);
    if (k->timer != NULL) {
        event_free(k->timer);
    }
    free(k);
}

/* Looks up the key's owner again after a pause. */
static void
on_keyed_retry_timer(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    KeyedRequest *k = arg;
    event_free(k->timer);
    k->timer = NULL;
    call_key_owner(k);
}

/* Tries again after a pause if time is left. The key makes this safe: the
 * owner runs the request at most once and returns the recorded outcome. */
static void
retry_keyed(KeyedRequest *k)
{
    if (GfTime_DiffMs(k->deadline, Entry_Now(k->entry)) <= RETRY_MS) {
        GfAnswer answer =
            GfAnswer_Make(k->maybe_received ? GF_OUTCOME_UNKNOWN : GF_NO_OWNER,
                          k->maybe_received ? GF_RAN_UNKNOWN : GF_RAN_NO,
                          "the owner of the idempotency key did not reply "
                          "before the deadline");
        end_keyed(k, &answer);
        return;
    }
    k->timer = evtimer_new(k->entry->base, on_keyed_retry_timer, k);
    struct timeval tv = GfTime_ToTimeval(RETRY_MS);
    evtimer_add(k->timer, &tv);
}

/* Handles the reply of another entry that owns the key. */
static void
on_remote_answer(void *arg, const GfRpcOutcome *outcome)
{
    KeyedRequest *k = arg;
    if (outcome->kind != GF_OK) {
        k->maybe_received = k->maybe_received || outcome->sent;
        retry_keyed(k);
        return;
    }
    GfAnswer answer = EntryXdr_ToAnswer(outcome->result);
    if (answer.kind == GF_NO_OWNER && answer.ran == GF_RAN_NO) {
        retry_keyed(k);
    }
    else {
        end_keyed(k, &answer);
    }
    GfAnswer_Clear(&answer);
}

/* Handles the answer of this entry, which owns the key. */
static void
on_local_answer(void *arg, const GfAnswer *answer)
{
    end_keyed(arg, answer);
}

/* Passes the request to the owner of the key's partition: this entry or a
 * peer. */
static void
call_key_owner(KeyedRequest *k)
{
    GfEntry *entry = k->entry;
    GfName id = GfIdem_Id(&k->request.team, &k->request.key);
    GfName owner;
    int64_t left = GfTime_DiffMs(k->deadline, Entry_Now(entry));
    if (left <= 0 || !EntryPartitions_FindOwner(
                         entry, EntryPartitions_ForId(entry, &id), &owner)) {
        retry_keyed(k);
        return;
    }
    if (Entry_IsSelf(entry, &owner)) {
        EntryRequest own = k->request;
        own.remaining_ms = (int32_t)left;
        EntryIdem_Run(entry, &own, on_local_answer, k);
        return;
    }
    gfx_request args;
    memset(&args, 0, sizeof(args));
    args.id = k->request.id.data;
    args.service = k->request.service.data;
    args.team = k->request.team.data;
    args.key = k->request.key.data;
    args.rack = "";
    args.time_ms = (u_int)left;
    args.body.body_val = k->request.body.data;
    args.body.body_len = (u_int)k->request.body.len;
    GfMetrics_Add(GF_METRIC_FORWARDED, 1);
    if (!EntryPeers_Call(entry, &owner, GFX_REQUEST, &args, sizeof(gfx_answer),
                         (int)left, on_remote_answer, k)) {
        retry_keyed(k);
    }
}

/* Serves a caller's request: one with an idempotency key by the owner of the
 * key, any other by a rack directly. The request is copied. The callback is
 * called once with the answer, possibly before this returns. */
void
EntryRequests_Serve(GfEntry *entry, const EntryRequest *request,
                    GfAnswerCallback callback, void *arg)
{
    assert(entry != NULL && request != NULL && callback != NULL);
    GfMetrics_Add(GF_METRIC_REQUESTS, 1);
    if (request->key.len == 0) {
        EntryRequests_Route(entry, request, callback, arg);
        return;
    }
    KeyedRequest *k = calloc(1, sizeof(*k));
    if (k == NULL) {
        abort();
    }
    k->entry = entry;
    k->request = copy_request(request);
    k->deadline = GfTime_AddMs(Entry_Now(entry), request->remaining_ms);
    k->callback = callback;
    k->arg = arg;
    entry->open_calls++;
    call_key_owner(k);
}
