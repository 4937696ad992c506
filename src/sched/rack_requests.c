#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "guavaflow/log.h"
#include "guavaflow/metrics.h"
#include "rack_agent_private.h"

#define STATUS_ERROR 500
/* Pause of an instance after its first failed call; it doubles with each
 * further one up to MAX_BACK_OFF_MS. */
#define MIN_BACK_OFF_MS 500
#define MAX_BACK_OFF_MS 8000

/* A request that is queued or was sent to an instance. */
struct RackRequest {
    GfRackAgent *agent;
    GfServiceRequest request;
    struct timespec deadline;
    GfName instance;
    GfAnswerCallback callback;
    void *arg;
    struct event *slot_timer; /* set while the slot is kept after a failure */
    RackRequest *next;
    RackRequest *prev;
};

/* Finds an instance by name, or returns NULL. */
static RackInstance *
find_instance(const GfRackAgent *agent, const GfName *name)
{
    for (size_t i = 0; i < agent->instance_count; i++) {
        if (GfName_Equal(&agent->instances[i].name, name)) {
            return &agent->instances[i];
        }
    }
    return NULL;
}

/* Adds or updates a target from the platform's host list. */
void
RackRequests_SetTarget(GfRackAgent *agent, const GfHost *host)
{
    RackInstance *in = find_instance(agent, &host->name);
    if (in == NULL) {
        size_t bytes = (agent->instance_count + 1) * sizeof(*agent->instances);
        RackInstance *grown = realloc(agent->instances, bytes);
        if (grown == NULL) {
            abort();
        }
        agent->instances = grown;
        in = &agent->instances[agent->instance_count++];
        memset(in, 0, sizeof(*in));
        in->name = host->name;
    }
    snprintf(in->address, sizeof(in->address), "%s", host->address);
    in->port = host->port;
    in->state = host->state;
    in->service = host->service;
    in->slots = host->slots;
}

/* Finds the load record of a team, or adds an empty one. */
static RackTeamLoad *
get_team_load(GfRackAgent *agent, const GfName *team)
{
    RackTeamLoad *load;
    HASH_FIND(hh, agent->team_loads, team, sizeof(*team), load);
    if (load == NULL) {
        load = calloc(1, sizeof(*load));
        if (load == NULL) {
            abort();
        }
        load->team = *team;
        HASH_ADD(hh, agent->team_loads, team, sizeof(load->team), load);
    }
    return load;
}

/* Returns how many slots the requests of a team take. */
uint32_t
RackRequests_TeamLoad(const GfRackAgent *agent, const GfName *team)
{
    RackTeamLoad *load;
    HASH_FIND(hh, agent->team_loads, team, sizeof(*team), load);
    return load == NULL ? 0 : load->requests;
}

/* Frees a request with its body and timer. */
static void
free_request(RackRequest *r)
{
    if (r->slot_timer != NULL) {
        event_free(r->slot_timer);
    }
    GfStr_Clear(&r->request.body);
    free(r);
}

/* Removes a request from the queue, answers it with an error, and frees it. It
 * was never sent, so it did not run. */
static void
refuse_request(GfRackAgent *agent, RackRequest *r, GfErrorKind kind)
{
    DL_DELETE(agent->queue, r);
    agent->queued--;
    GfAnswer answer =
        GfAnswer_Make(kind, GF_RAN_NO, "rack %s refused the request: %s",
                      agent->name.data, GfError_Name(kind));
    r->callback(r->arg, &answer);
    free_request(r);
}

/* Answers every queued request with an error of the given kind. None of them
 * was sent. */
void
RackRequests_Fail(GfRackAgent *agent, GfErrorKind kind)
{
    while (agent->queue != NULL) {
        refuse_request(agent, agent->queue, kind);
    }
}

/* Returns the time limit of a service's requests in milliseconds, or 0 if the
 * service is unknown. */
static uint32_t
request_limit(const GfRackAgent *agent, const GfName *service)
{
    const GfBundle *bundle = GfControl_Bundle(agent->env->control);
    const GfService *s =
        bundle == NULL ? NULL : GfBundle_FindService(bundle, service);
    return s == NULL ? 0 : s->request_limit_ms;
}

/* Tells whether requests of a former holder may still be running on the rack's
 * targets (the uncertainty period): it may have sent some until its leases
 * expired. The period lasts one request limit from the start of the term;
 * after a clean takeover there is none. */
static bool
slots_uncertain(const GfRackAgent *agent, const GfName *service,
                struct timespec now)
{
    if (RackAgent_IsCleanTakeover(agent)) {
        return false;
    }
    return GfTime_DiffMs(now, agent->term_started) <
           request_limit(agent, service);
}

/* Tells whether an instance can take a request now. */
static bool
has_slot(const RackInstance *in, struct timespec now)
{
    return in->state == GF_HOST_LIVE && in->busy < in->slots &&
           !GfTime_Before(now, in->backed_off_until);
}

/* Picks the instance of a service with the most free slots, or returns NULL if
 * none is free. */
static RackInstance *
pick_instance(GfRackAgent *agent, const GfName *service, struct timespec now)
{
    RackInstance *best = NULL;
    for (size_t i = 0; i < agent->instance_count; i++) {
        RackInstance *in = &agent->instances[i];
        if (!GfName_Equal(&in->service, service) || !has_slot(in, now)) {
            continue;
        }
        if (best == NULL || in->slots - in->busy > best->slots - best->busy) {
            best = in;
        }
    }
    return best;
}

/* Frees the slot that a sent request holds. */
static void
free_slot(RackRequest *r)
{
    GfRackAgent *agent = r->agent;
    RackInstance *in = find_instance(agent, &r->instance);
    if (in != NULL && in->busy > 0) {
        in->busy--;
    }
    RackTeamLoad *load = get_team_load(agent, &r->request.team);
    load->requests -= load->requests > 0;
    agent->running--;
}

/* Frees the slot of a request without a valid response, once its time limit
 * has passed and the target must have stopped it. */
static void
on_slot_timeout(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    RackRequest *r = arg;
    GfRackAgent *agent = r->agent;
    free_slot(r);
    free_request(r);
    RackRequests_Tick(agent);
}

/* Keeps the slot of a request that may still be running on its target, for the
 * service's request limit. */
static void
hold_slot(RackRequest *r)
{
    uint32_t limit = request_limit(r->agent, &r->request.service);
    r->slot_timer = evtimer_new(r->agent->env->base, on_slot_timeout, r);
    struct timeval tv = GfTime_ToTimeval(limit);
    evtimer_add(r->slot_timer, &tv);
}

/* Sends no requests to an instance for a while after a failed call, longer
 * with each further failure. */
static void
back_off_instance(GfRackAgent *agent, RackInstance *in)
{
    int64_t ms = (int64_t)MIN_BACK_OFF_MS
                 << (in->failures < 4 ? in->failures : 4);
    in->failures++;
    in->backed_off_until = GfTime_AddMs(
        RackAgent_Now(agent), ms < MAX_BACK_OFF_MS ? ms : MAX_BACK_OFF_MS);
}

/* Turns a target's response into the answer for the caller, who clears it. A
 * status of 500 or more counts as a failure of the target. A response that is
 * incomplete or carries another request's id leaves open whether the request
 * ran. */
static GfAnswer
make_answer(const RackRequest *r, const GfHttpResult *result)
{
    if (result->kind != GF_OK && !result->sent) {
        return GfAnswer_Make(GF_CONNECTION_LOST, GF_RAN_NO,
                             "target %s cannot be reached", r->instance.data);
    }
    if (result->kind != GF_OK) {
        return GfAnswer_Make(result->kind, GF_RAN_UNKNOWN,
                             "target %s returned no complete response",
                             r->instance.data);
    }
    if (result->request_id == NULL ||
        strcmp(result->request_id, r->request.id.data) != 0) {
        return GfAnswer_Make(
            GF_PROTOCOL, GF_RAN_UNKNOWN,
            "target %s returned the response to another request",
            r->instance.data);
    }
    GfAnswer answer =
        GfAnswer_Make(result->status < STATUS_ERROR ? GF_OK : GF_TARGET_FAILED,
                      GF_RAN_YES, "%s", "");
    answer.body = GfStr_Copy(result->body, result->body_len);
    return answer;
}

/* Handles the response of a target: answers the caller and frees the request,
 * or keeps its slot if it may still be running. */
static void
on_target(void *arg, const GfHttpResult *result)
{
    RackRequest *r = arg;
    GfRackAgent *agent = r->agent;
    RackInstance *in = find_instance(agent, &r->instance);
    GfAnswer answer = make_answer(r, result);
    if (in != NULL && answer.ran == GF_RAN_YES) {
        in->failures = 0;
    }
    else if (in != NULL) {
        back_off_instance(agent, in);
    }
    r->callback(r->arg, &answer);
    bool may_be_running = answer.ran == GF_RAN_UNKNOWN;
    GfAnswer_Clear(&answer);
    if (may_be_running) {
        hold_slot(r);
        return;
    }
    free_slot(r);
    free_request(r);
    RackRequests_Tick(agent);
}

/* Sends a request to an instance and takes one of its slots. The time limit is
 * the smaller of the time left and the service's request limit. */
static void
send_request(GfRackAgent *agent, RackRequest *r, RackInstance *in,
             struct timespec now)
{
    r->instance = in->name;
    in->busy++;
    agent->running++;
    get_team_load(agent, &r->request.team)->requests++;
    int64_t left = GfTime_DiffMs(r->deadline, now);
    uint32_t limit = request_limit(agent, &r->request.service);
    GfHttpHeader headers[] = {{GF_HTTP_ID_HEADER, r->request.id.data},
                              {"X-Team", r->request.team.data},
                              {"Content-Type", "application/json"}};
    GfHttpCall call = {.address = in->address,
                       .port = in->port,
                       .method = EVHTTP_REQ_POST,
                       .path = "/v1/call",
                       .headers = headers,
                       .header_count = 3,
                       .body = r->request.body.data,
                       .body_len = r->request.body.len,
                       .timeout_ms = (int)(left < limit ? left : limit)};
    GfHttp_Start(agent->env->http, &call, on_target, r);
}

/* Scores a team's slots in proportion to its share, scaled by 2^20; lower
 * means it is further below its share. A team without a share counts as having
 * 1. */
static uint64_t
score_team(GfRackAgent *agent, const GfName *team)
{
    const GfBundle *bundle = GfControl_Bundle(agent->env->control);
    const GfTeam *t = GfBundle_FindTeam(bundle, team);
    uint32_t share = t == NULL ? 1 : t->share;
    return ((uint64_t)RackRequests_TeamLoad(agent, team) << 20) / share;
}

/* Finds the queued request to send next: of those that have a free slot and
 * are within the allotment, the first one of the team with the fewest slots
 * for its share. instance gets the target. Returns NULL if there is none. */
static RackRequest *
next_request(GfRackAgent *agent, struct timespec now, RackInstance **instance)
{
    RackRequest *best = NULL;
    uint64_t least = UINT64_MAX;
    RackRequest *r;
    DL_FOREACH(agent->queue, r)
    {
        uint64_t score = score_team(agent, &r->request.team);
        if (score >= least ||
            slots_uncertain(agent, &r->request.service, now)) {
            continue;
        }
        RackInstance *in = pick_instance(agent, &r->request.service, now);
        GfQuota need = {.requests = 1};
        if (in != NULL && RackAllot_Admits(agent, &r->request.team, need)) {
            best = r;
            least = score;
            *instance = in;
        }
    }
    return best;
}

/* Refuses the requests whose deadline passed in the queue. */
static void
refuse_expired(GfRackAgent *agent, struct timespec now)
{
    RackRequest *r;
    RackRequest *tmp;
    DL_FOREACH_SAFE(agent->queue, r, tmp)
    {
        if (!GfTime_Before(now, r->deadline)) {
            refuse_request(agent, r, GF_BUSY);
        }
    }
}

/* Refuses expired requests and sends as many of the others as slots and
 * allotments allow. If the rack may start no work, all are refused. */
void
RackRequests_Tick(GfRackAgent *agent)
{
    struct timespec now = RackAgent_Now(agent);
    GfErrorKind why = GF_OK;
    refuse_expired(agent, now);
    if (agent->queue == NULL) {
        return;
    }
    if (!RackAgent_MayStart(agent, &why)) {
        RackRequests_Fail(agent, why);
        return;
    }
    RackInstance *in = NULL;
    RackRequest *r = next_request(agent, now, &in);
    while (r != NULL) {
        DL_DELETE(agent->queue, r);
        agent->queued--;
        send_request(agent, r, in, now);
        r = next_request(agent, now, &in);
    }
}

/* Takes a request to a service of the rack: it is sent to a target or queued,
 * or refused at once if the rack may not start work or its queue is full. The
 * request is copied. The callback runs exactly once, possibly before this call
 * returns. */
void
GfRackAgent_Execute(GfRackAgent *agent, const GfServiceRequest *request,
                    GfAnswerCallback callback, void *arg)
{
    assert(agent != NULL && request != NULL && callback != NULL);
    GfErrorKind why = GF_BUSY;
    if (!RackAgent_MayStart(agent, &why) ||
        agent->queued >= agent->env->settings->front.rack_queue) {
        GfAnswer answer =
            GfAnswer_Make(why, GF_RAN_NO, "rack %s refused the request: %s",
                          agent->name.data, GfError_Name(why));
        callback(arg, &answer);
        return;
    }
    RackRequest *r = calloc(1, sizeof(*r));
    if (r == NULL) {
        abort();
    }
    r->agent = agent;
    r->request = *request;
    r->request.body = GfStr_Copy(request->body.data, request->body.len);
    r->deadline = GfTime_AddMs(RackAgent_Now(agent), request->time_left_ms);
    r->callback = callback;
    r->arg = arg;
    DL_APPEND(agent->queue, r);
    agent->queued++;
    RackRequests_Tick(agent);
}

/* Finds a service in a rack view, or adds it. Returns NULL if the view is
 * full. */
static GfServiceSlots *
view_service(GfRackView *view, const GfName *service)
{
    for (size_t i = 0; i < view->service_count; i++) {
        if (GfName_Equal(&view->services[i].service, service)) {
            return &view->services[i];
        }
    }
    if (view->service_count == GF_RACK_MAX_SERVICES) {
        return NULL;
    }
    GfServiceSlots *slots = &view->services[view->service_count++];
    memset(slots, 0, sizeof(*slots));
    slots->service = *service;
    return slots;
}

/* Adds the free slots and the queued requests of each service to the report
 * about the rack. During the uncertainty period slots count as taken. */
void
RackRequests_View(GfRackAgent *agent, GfRackView *view)
{
    struct timespec now = RackAgent_Now(agent);
    for (size_t i = 0; i < agent->instance_count; i++) {
        const RackInstance *in = &agent->instances[i];
        if (in->state != GF_HOST_LIVE) {
            continue;
        }
        GfServiceSlots *slots = view_service(view, &in->service);
        if (slots != NULL && has_slot(in, now) &&
            !slots_uncertain(agent, &in->service, now)) {
            slots->free_slots += in->slots - in->busy;
        }
    }
    RackRequest *r;
    DL_FOREACH(agent->queue, r)
    {
        GfServiceSlots *slots = view_service(view, &r->request.service);
        if (slots != NULL) {
            slots->queued++;
        }
    }
}
