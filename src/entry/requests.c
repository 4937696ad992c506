#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "entry_private.h"
#include "guavaflow/log.h"
#include "guavaflow/metrics.h"

#define MAX_TRIES 16
#define WAIT_MS 50
#define RPC_MARGIN_MS 100
#define RETRY_SHARE 0.2
#define MAX_RETRY_TOKENS 100.0

/* A request on its way to a rack. */
typedef struct {
    GfEntry *entry;
    EntryRequest request;
    struct timespec deadline;
    GfName tried[MAX_TRIES];
    size_t tries;
    uint32_t attempts;
    GfAnswer last;
    bool maybe_ran;
    GfAnswerCallback callback;
    void *arg;
    struct event *timer;
} Route;

static void route_next(Route *r);

/* Copies a request with its body. */
static EntryRequest
copy_request(const EntryRequest *request)
{
    EntryRequest copy = *request;
    copy.body = GfStr_Copy(request->body.data, request->body.len);
    return copy;
}

/* Answers the request and frees the route. */
static void
end_route(Route *r, const GfAnswer *answer)
{
    GfAnswer final = GfAnswer_Copy(answer);
    if (r->maybe_ran && final.ran == GF_RAN_NO) {
        /* An earlier attempt may have run. */
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

/* Returns the milliseconds that are left for a request. */
static int64_t
time_left(const Route *r)
{
    return GfTime_DiffMs(r->deadline, Entry_Now(r->entry));
}

/* Tries again after a short wait. */
static void
on_wait(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    Route *r = arg;
    event_free(r->timer);
    r->timer = NULL;
    route_next(r);
}

/* Waits a little before the next attempt, so that racks changing hands are
 * found open again. */
static void
wait_and_try(Route *r)
{
    r->tries = 0;
    r->timer = evtimer_new(r->entry->base, on_wait, r);
    struct timeval tv = GfTime_ToTimeval(WAIT_MS);
    evtimer_add(r->timer, &tv);
}

/* Takes a token for a further attempt that another target may have to bear.
 * Attempts are bounded by a share of the requests, so that they cannot
 * multiply the load. */
static bool
take_retry(Route *r)
{
    if (r->attempts >= r->entry->settings->front.attempts ||
        r->entry->retry_tokens < 1.0) {
        return false;
    }
    r->entry->retry_tokens -= 1.0;
    GfMetrics_Add(GF_METRIC_REQUEST_RETRIES, 1);
    return true;
}

/* Takes the answer to one attempt: passes it on, or tries another rack if
 * the request did not run or may run again. */
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
    if (!may_retry || time_left(r) <= WAIT_MS) {
        end_route(r, answer);
        return;
    }
    bool cheap = answer->kind == GF_NO_OWNER || answer->kind == GF_LEASE_LOST;
    if (cheap || take_retry(r)) {
        route_next(r);
        return;
    }
    end_route(r, answer);
}

/* Takes another entry's answer to an attempt. */
static void
on_executed(void *arg, const GfRpcOutcome *outcome)
{
    GfAnswer answer;
    if (outcome->kind == GF_OK) {
        answer = EntryXdr_ToAnswer(outcome->result);
    }
    else {
        answer = GfAnswer_Make(outcome->kind,
                               outcome->sent ? GF_RAN_UNKNOWN : GF_RAN_NO,
                               "the rack's holder gave no answer");
    }
    on_attempt(arg, &answer);
    GfAnswer_Clear(&answer);
}

/* Sends the request to the entry that holds the rack. */
static void
execute_there(Route *r, const GfRackView *view, int64_t left)
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
                         sizeof(gfx_answer), (int)left + RPC_MARGIN_MS,
                         on_executed, r)) {
        GfAnswer answer =
            GfAnswer_Make(GF_NO_OWNER, GF_RAN_NO, "the holder is not known");
        on_attempt(r, &answer);
    }
}

/* Sends the request to a rack of this entry's. */
static void
execute_here(Route *r, GfRackAgent *agent, int64_t left)
{
    GfServiceRequest request = {.id = r->request.id,
                                .service = r->request.service,
                                .team = r->request.team,
                                .time_ms = (int32_t)left,
                                .body = r->request.body};
    GfRackAgent_Execute(agent, &request, on_attempt, r);
}

/* Sends the request to the next rack, or waits for one. */
static void
route_next(Route *r)
{
    GfEntry *entry = r->entry;
    int64_t left = time_left(r);
    if (left <= 0) {
        GfAnswer answer =
            GfAnswer_Make(r->last.kind == GF_OK ? GF_NO_OWNER : r->last.kind,
                          GF_RAN_NO, "no rack took the request in time");
        end_route(r, &answer);
        return;
    }
    const GfRackView *view = NULL;
    if (r->tries < MAX_TRIES) {
        view = GfFleet_PickForRequest(entry->fleet, entry->control,
                                      &r->request.service, r->tried, r->tries);
    }
    if (view == NULL) {
        wait_and_try(r);
        return;
    }
    r->tried[r->tries++] = view->rack;
    r->attempts++;
    GfFleet_ReserveSlot(entry->fleet, &view->rack, &r->request.service);
    GfRackAgent *agent = Entry_FindRack(entry, &view->rack);
    if (Entry_IsSelf(entry, &view->holder) && agent != NULL) {
        execute_here(r, agent, left);
    }
    else {
        execute_there(r, view, left);
    }
}

/* Brings a request to a rack that serves it and answers its caller. */
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
    r->deadline = GfTime_AddMs(Entry_Now(entry), request->time_ms);
    r->callback = callback;
    r->arg = arg;
    entry->open_calls++;
    entry->retry_tokens += RETRY_SHARE;
    if (entry->retry_tokens > MAX_RETRY_TOKENS) {
        entry->retry_tokens = MAX_RETRY_TOKENS;
    }
    route_next(r);
}

/* A request with a key, on its way to the owner of the key's partition. */
typedef struct {
    GfEntry *entry;
    EntryRequest request;
    struct timespec deadline;
    GfAnswerCallback callback;
    void *arg;
    bool maybe_taken;
    struct event *timer;
} Keyed;

static void ask_owner(Keyed *k);

/* Answers the request and frees it. */
static void
end_keyed(Keyed *k, const GfAnswer *answer)
{
    k->entry->open_calls--;
    k->callback(k->arg, answer);
    GfStr_Clear(&k->request.body);
    if (k->timer != NULL) {
        event_free(k->timer);
    }
    free(k);
}

/* Asks the owner again after a short wait. */
static void
on_ask_again(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    Keyed *k = arg;
    event_free(k->timer);
    k->timer = NULL;
    ask_owner(k);
}

/* Asks again if time is left. The key makes that safe: the owner runs the
 * request at most once and returns its recorded outcome. */
static void
ask_again(Keyed *k)
{
    if (GfTime_DiffMs(k->deadline, Entry_Now(k->entry)) <= WAIT_MS) {
        GfAnswer answer =
            GfAnswer_Make(k->maybe_taken ? GF_OUTCOME_UNKNOWN : GF_NO_OWNER,
                          k->maybe_taken ? GF_RAN_UNKNOWN : GF_RAN_NO,
                          "the owner of the key gave no answer");
        end_keyed(k, &answer);
        return;
    }
    k->timer = evtimer_new(k->entry->base, on_ask_again, k);
    struct timeval tv = GfTime_ToTimeval(WAIT_MS);
    evtimer_add(k->timer, &tv);
}

/* Takes the owner's answer. */
static void
on_owner_answer(void *arg, const GfRpcOutcome *outcome)
{
    Keyed *k = arg;
    if (outcome->kind != GF_OK) {
        k->maybe_taken = k->maybe_taken || outcome->sent;
        ask_again(k);
        return;
    }
    GfAnswer answer = EntryXdr_ToAnswer(outcome->result);
    if (answer.kind == GF_NO_OWNER && answer.ran == GF_RAN_NO) {
        ask_again(k);
    }
    else {
        end_keyed(k, &answer);
    }
    GfAnswer_Clear(&answer);
}

/* Takes the answer of this entry, being the owner. */
static void
on_own_answer(void *arg, const GfAnswer *answer)
{
    end_keyed(arg, answer);
}

/* Sends the request to the owner of its key's partition. */
static void
ask_owner(Keyed *k)
{
    GfEntry *entry = k->entry;
    GfName id = GfIdem_Id(&k->request.team, &k->request.key);
    GfName owner;
    int64_t left = GfTime_DiffMs(k->deadline, Entry_Now(entry));
    if (left <= 0 || !EntryPartitions_Owner(
                         entry, EntryPartitions_Of(entry, &id), &owner)) {
        ask_again(k);
        return;
    }
    if (Entry_IsSelf(entry, &owner)) {
        EntryRequest own = k->request;
        own.time_ms = (int32_t)left;
        EntryIdem_Run(entry, &own, on_own_answer, k);
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
                         (int)left, on_owner_answer, k)) {
        ask_again(k);
    }
}

/* Serves a request: one with a key through the owner of the key, any other
 * straight on a rack. */
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
    Keyed *k = calloc(1, sizeof(*k));
    if (k == NULL) {
        abort();
    }
    k->entry = entry;
    k->request = copy_request(request);
    k->deadline = GfTime_AddMs(Entry_Now(entry), request->time_ms);
    k->callback = callback;
    k->arg = arg;
    entry->open_calls++;
    ask_owner(k);
}
