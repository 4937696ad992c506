#include <assert.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "front_private.h"
#include "guavaflow/log.h"
#include "guavaflow/metrics.h"

#define PART "front"
#define DEFAULT_TIME_MS 5000
#define MAX_TIME_MS 60000
#define OPEN_TEAM "open"
#define BEARER "Bearer "

typedef struct {
    const char *method;
    const char *before;
    const char *after;
    FrontRoute route;
} Pattern;

/* Paths: what stands between before and after is the subject. */
static const Pattern PATTERNS[] = {
    {"GET", "/health", NULL, ROUTE_HEALTH},
    {"GET", "/metrics", NULL, ROUTE_METRICS},
    {"POST", "/v1/services/", "/requests", ROUTE_REQUEST},
    {"POST", "/v1/jobs", NULL, ROUTE_JOB_SUBMIT},
    {"POST", "/v1/jobs/", "/cancel", ROUTE_JOB_CANCEL},
    {"GET", "/v1/jobs/", "", ROUTE_JOB_STATUS},
};

/* Tells whether a path matches a pattern and sets the subject. */
static bool
matches(const Pattern *pattern, const char *path, GfName *subject)
{
    size_t before = strlen(pattern->before);
    if (pattern->after == NULL) {
        return strcmp(path, pattern->before) == 0;
    }
    size_t after = strlen(pattern->after);
    size_t len = strlen(path);
    if (len <= before + after || strncmp(path, pattern->before, before) != 0 ||
        strcmp(path + len - after, pattern->after) != 0) {
        return false;
    }
    size_t middle = len - before - after;
    return memchr(path + before, '/', middle) == NULL &&
           GfName_Set(subject, path + before, middle);
}

/* Finds out what a call asks for. */
FilterResult
FrontFilter_Identify(FrontCall *call)
{
    const char *method = GfExchange_Method(call->exchange);
    const char *path = GfExchange_Path(call->exchange);
    call->request =
        GfName_Format("r%08" PRIx32 "%08" PRIx32 "%08" PRIx32,
                      (uint32_t)call->entry->incarnation,
                      Entry_Random(call->entry), Entry_Random(call->entry));
    if (strncmp(path, "/v1/admin/", strlen("/v1/admin/")) == 0) {
        call->route = ROUTE_ADMIN;
        return FILTER_PASS;
    }
    bool known_path = false;
    for (size_t i = 0; i < sizeof(PATTERNS) / sizeof(PATTERNS[0]); i++) {
        if (!matches(&PATTERNS[i], path, &call->subject)) {
            continue;
        }
        known_path = true;
        if (strcmp(PATTERNS[i].method, method) == 0) {
            call->route = PATTERNS[i].route;
            return FILTER_PASS;
        }
    }
    return Front_Refuse(call, known_path ? GF_BAD_REQUEST : GF_NOT_FOUND,
                        "there is no %s %.200s", method, path);
}

/* Tells whether the entry may take work in: it is not stopping and its
 * control state is confirmed. */
static GfErrorKind
readiness(const GfEntry *entry)
{
    if (entry->stopping) {
        return GF_STOPPING;
    }
    if (!GfControl_IsConfirmed(entry->control, Entry_Now(entry))) {
        return GF_NOT_CONFIRMED;
    }
    return GF_OK;
}

/* Answers health and counters; bounds the number of open calls. A stopping
 * entry still serves callers until the balancer has noticed. */
FilterResult
FrontFilter_Admit(FrontCall *call)
{
    GfErrorKind ready = readiness(call->entry);
    if (call->route == ROUTE_HEALTH) {
        GfAnswer answer = GfAnswer_Make(ready, GF_RAN_NO, "%s", "");
        Front_Answer(call, &answer);
        return FILTER_ANSWERED;
    }
    if (call->route == ROUTE_METRICS) {
        GfStr text = GfMetrics_Format();
        GfExchange_Reply(call->exchange, 200, "text/plain; version=0.0.4",
                         text.data, text.len);
        GfStr_Clear(&text);
        Front_FreeCall(call);
        return FILTER_ANSWERED;
    }
    if (ready == GF_NOT_CONFIRMED) {
        return Front_Refuse(call, ready,
                            "this entry has lost contact; try another");
    }
    uint32_t limit = call->entry->settings->front.max_open_requests;
    if ((uint32_t)GfServer_OpenExchanges(call->entry->server) > limit) {
        return Front_Refuse(call, GF_BUSY, "more than %" PRIu32 " calls open",
                            limit);
    }
    return FILTER_PASS;
}

/* Returns the key that a call presents, or NULL. */
static const char *
bearer_key(const FrontCall *call)
{
    const char *header = GfExchange_Header(call->exchange, "Authorization");
    size_t len = strlen(BEARER);
    if (header == NULL || strncasecmp(header, BEARER, len) != 0 ||
        header[len] == '\0') {
        return NULL;
    }
    return header + len;
}

/* Tells whether a call goes to an open queue, which takes work without a
 * key. */
static bool
is_open_queue(const FrontCall *call, const GfBundle *bundle)
{
    const GfService *service =
        call->route == ROUTE_REQUEST
            ? GfBundle_FindService(bundle, &call->subject)
            : NULL;
    return service != NULL && service->open;
}

/* Finds the team that a call is for by the key it presents. */
FilterResult
FrontFilter_Authenticate(FrontCall *call)
{
    const GfBundle *bundle = GfControl_Bundle(call->entry->control);
    const char *key = bearer_key(call);
    if (call->route == ROUTE_ADMIN) {
        const char *name =
            key == NULL ? NULL : GfBundle_OperatorOfKey(bundle, key);
        if (name == NULL) {
            GfMetrics_Add(GF_METRIC_UNAUTHENTICATED, 1);
            return Front_Refuse(call, GF_UNAUTHENTICATED,
                                "no operator's key was presented");
        }
        GfName_SetText(&call->operator_name, name);
        return FILTER_PASS;
    }
    if (key == NULL && is_open_queue(call, bundle)) {
        GfName_SetText(&call->team, OPEN_TEAM);
        return FILTER_PASS;
    }
    const GfTeam *team = key == NULL ? NULL : GfBundle_TeamOfKey(bundle, key);
    if (team == NULL) {
        GfMetrics_Add(GF_METRIC_UNAUTHENTICATED, 1);
        return Front_Refuse(call, GF_UNAUTHENTICATED,
                            key == NULL ? "a key is required; send it as "
                                          "\"Authorization: Bearer KEY\""
                                        : "the key is unknown or withdrawn");
    }
    call->team = team->name;
    return FILTER_PASS;
}

/* Reads the headers that say how a request is to be run. */
FilterResult
FrontFilter_ReadHeaders(FrontCall *call)
{
    const char *key = GfExchange_Header(call->exchange, "Idempotency-Key");
    if (key != NULL &&
        (!GfName_SetText(&call->key, key) || call->key.len == 0)) {
        return Front_Refuse(call, GF_BAD_REQUEST,
                            "Idempotency-Key must be 1 to %d visible ASCII "
                            "characters without quotes",
                            GF_NAME_MAX_BYTES);
    }
    const char *time = GfExchange_Header(call->exchange, "X-Timeout-Ms");
    call->time_ms = DEFAULT_TIME_MS;
    if (time != NULL) {
        char *end = NULL;
        long value = strtol(time, &end, 10);
        if (end == time || *end != '\0' || value < 1 || value > MAX_TIME_MS) {
            return Front_Refuse(call, GF_BAD_REQUEST,
                                "X-Timeout-Ms must be a whole number from 1 "
                                "to %d",
                                MAX_TIME_MS);
        }
        call->time_ms = (int32_t)value;
    }
    const char *repeatable = GfExchange_Header(call->exchange, "X-Repeatable");
    call->repeatable = repeatable != NULL && strcmp(repeatable, "true") == 0;
    if (call->repeatable && call->key.len > 0) {
        return Front_Refuse(call, GF_BAD_REQUEST,
                            "X-Repeatable and Idempotency-Key contradict "
                            "each other");
    }
    return FILTER_PASS;
}

/* Reads the body; for jobs it must be JSON. */
FilterResult
FrontFilter_ReadBody(FrontCall *call)
{
    call->body = GfExchange_Body(call->exchange);
    if (call->route != ROUTE_JOB_SUBMIT) {
        return FILTER_PASS;
    }
    json_error_t error;
    json_t *body = json_loadb(call->body.data, call->body.len,
                              JSON_REJECT_DUPLICATES, &error);
    if (body == NULL) {
        return Front_Refuse(call, GF_BAD_REQUEST,
                            "the body is no JSON: line %d column %d: %.100s",
                            error.line, error.column, error.text);
    }
    json_decref(body);
    return FILTER_PASS;
}

/* Hands the call to the part that serves it. */
FilterResult
FrontFilter_Dispatch(FrontCall *call)
{
    GfEntry *entry = call->entry;
    const GfBundle *bundle = GfControl_Bundle(entry->control);
    EntryRequest request = {.id = call->request,
                            .service = call->subject,
                            .team = call->team,
                            .key = call->key,
                            .repeatable = call->repeatable,
                            .time_ms = call->time_ms,
                            .body = call->body};
    switch (call->route) {
    case ROUTE_REQUEST:
        if (GfBundle_FindService(bundle, &call->subject) == NULL) {
            return Front_Refuse(call, GF_NOT_FOUND, "there is no service %s",
                                call->subject.data);
        }
        EntryRequests_Serve(entry, &request, Front_Answer, call);
        break;
    case ROUTE_JOB_SUBMIT:
        EntryJobs_Submit(entry, &call->team, &call->key, &call->body,
                         call->time_ms, Front_Answer, call);
        break;
    case ROUTE_JOB_STATUS:
        EntryJobs_Ask(entry, ENTRY_JOB_STATUS, &call->subject, &call->team,
                      call->time_ms, Front_Answer, call);
        break;
    case ROUTE_JOB_CANCEL:
        EntryJobs_Ask(entry, ENTRY_JOB_CANCEL, &call->subject, &call->team,
                      call->time_ms, Front_Answer, call);
        break;
    case ROUTE_ADMIN:
        EntryAdmin_Handle(entry, call->exchange, &call->operator_name);
        Front_FreeCall(call);
        break;
    default:
        return Front_Refuse(call, GF_INTERNAL, "no part serves this call");
    }
    return FILTER_ANSWERED;
}
