#include <assert.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "front_private.h"
#include "guavaflow/log.h"
#include "guavaflow/metrics.h"

#define PART "front"
/* Time that a call may take: without the header X-Timeout-Ms, and at most. */
#define DEFAULT_TIMEOUT_MS 5000
#define MAX_TIMEOUT_MS 60000
/* Team that requests without a key are charged to. */
#define OPEN_TEAM "open"
#define BEARER "Bearer "

/* A method and a path. The part of the path between prefix and suffix is the
 * resource. Without a suffix, the path is the prefix and has no resource. */
typedef struct {
    const char *method;
    const char *prefix;
    const char *suffix;
    FrontRoute route;
} RoutePattern;

/* The calls, except those of operators, which all begin with /v1/admin/. */
static const RoutePattern ROUTE_PATTERNS[] = {
    {"GET", "/health", NULL, ROUTE_HEALTH},
    {"GET", "/metrics", NULL, ROUTE_METRICS},
    {"POST", "/v1/services/", "/requests", ROUTE_REQUEST},
    {"POST", "/v1/jobs", NULL, ROUTE_JOB_SUBMIT},
    {"POST", "/v1/jobs/", "/cancel", ROUTE_JOB_CANCEL},
    {"GET", "/v1/jobs/", "", ROUTE_JOB_STATUS},
};

/* Returns whether a path matches a pattern, and sets the resource if the
 * pattern has one. */
static bool
match_path(const RoutePattern *pattern, const char *path, GfName *resource)
{
    size_t prefix_len = strlen(pattern->prefix);
    if (pattern->suffix == NULL) {
        return strcmp(path, pattern->prefix) == 0;
    }
    size_t suffix_len = strlen(pattern->suffix);
    size_t len = strlen(path);
    if (len <= prefix_len + suffix_len ||
        strncmp(path, pattern->prefix, prefix_len) != 0 ||
        strcmp(path + len - suffix_len, pattern->suffix) != 0) {
        return false;
    }
    size_t resource_len = len - prefix_len - suffix_len;
    return memchr(path + prefix_len, '/', resource_len) == NULL &&
           GfName_Set(resource, path + prefix_len, resource_len);
}

/* Gives the call an id and finds its route and resource. Refuses a known path
 * with another method with GF_BAD_REQUEST and an unknown path with
 * GF_NOT_FOUND. */
FilterResult
FrontFilter_Identify(FrontCall *call)
{
    const char *method = GfExchange_Method(call->exchange);
    const char *path = GfExchange_Path(call->exchange);
    call->request_id =
        GfName_Format("r%08" PRIx32 "%08" PRIx32 "%08" PRIx32,
                      (uint32_t)call->entry->incarnation,
                      Entry_Random(call->entry), Entry_Random(call->entry));
    if (strncmp(path, "/v1/admin/", strlen("/v1/admin/")) == 0) {
        call->route = ROUTE_ADMIN;
        return FILTER_PASS;
    }
    bool known_path = false;
    for (size_t i = 0; i < sizeof(ROUTE_PATTERNS) / sizeof(ROUTE_PATTERNS[0]);
         i++) {
        if (!match_path(&ROUTE_PATTERNS[i], path, &call->resource)) {
            continue;
        }
        known_path = true;
        if (strcmp(ROUTE_PATTERNS[i].method, method) == 0) {
            call->route = ROUTE_PATTERNS[i].route;
            return FILTER_PASS;
        }
    }
    return Front_Refuse(call, known_path ? GF_BAD_REQUEST : GF_NOT_FOUND,
                        "%s %.200s is not supported", method, path);
}

/* Returns GF_OK if the entry may accept work, GF_STOPPING if it is shutting
 * down, or GF_NOT_CONFIRMED if its control state is not confirmed. */
static GfErrorKind
check_readiness(const GfEntry *entry)
{
    if (entry->stopping) {
        return GF_STOPPING;
    }
    if (!GfControl_IsConfirmed(entry->control, Entry_Now(entry))) {
        return GF_NOT_CONFIRMED;
    }
    return GF_OK;
}

/* Answers calls for health and metrics. Refuses other calls if the control
 * state is not confirmed or too many calls are open. An entry that is shutting
 * down reports it in its health but still serves calls, until the load
 * balancer stops sending them. */
FilterResult
FrontFilter_Admit(FrontCall *call)
{
    GfErrorKind ready = check_readiness(call->entry);
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
                            "the control state of this entry is not "
                            "confirmed; try another entry");
    }
    uint32_t limit = call->entry->settings->front.max_open_requests;
    if ((uint32_t)GfServer_OpenExchanges(call->entry->server) > limit) {
        return Front_Refuse(
            call, GF_BUSY,
            "more than %" PRIu32 " calls are open at this entry", limit);
    }
    return FILTER_PASS;
}

/* Returns the key in the call's Authorization header, or NULL. It belongs to
 * the exchange. */
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

/* Returns whether a call is a request to an open service, which needs no
 * key. */
static bool
is_open_service(const FrontCall *call, const GfBundle *bundle)
{
    const GfService *service =
        call->route == ROUTE_REQUEST
            ? GfBundle_FindService(bundle, &call->resource)
            : NULL;
    return service != NULL && service->open;
}

/* Finds the team, or for administration the operator, by the key that the call
 * presents. Refuses unknown and missing keys with GF_UNAUTHENTICATED. */
FilterResult
FrontFilter_Authenticate(FrontCall *call)
{
    const GfBundle *bundle = GfControl_Bundle(call->entry->control);
    const char *key = bearer_key(call);
    if (call->route == ROUTE_ADMIN) {
        const char *name =
            key == NULL ? NULL : GfBundle_FindOperatorByKey(bundle, key);
        if (name == NULL) {
            GfMetrics_Add(GF_METRIC_UNAUTHENTICATED, 1);
            return Front_Refuse(call, GF_UNAUTHENTICATED,
                                "the key is missing or is not an operator's");
        }
        GfName_SetText(&call->operator_name, name);
        return FILTER_PASS;
    }
    if (key == NULL && is_open_service(call, bundle)) {
        GfName_SetText(&call->team, OPEN_TEAM);
        return FILTER_PASS;
    }
    const GfTeam *team =
        key == NULL ? NULL : GfBundle_FindTeamByKey(bundle, key);
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

/* Reads the headers Idempotency-Key, X-Timeout-Ms (milliseconds) and
 * X-Repeatable, which counts as false unless it is "true". Refuses an invalid
 * key or timeout, or a key together with X-Repeatable, with GF_BAD_REQUEST. */
FilterResult
FrontFilter_ReadHeaders(FrontCall *call)
{
    const char *key = GfExchange_Header(call->exchange, "Idempotency-Key");
    if (key != NULL && (!GfName_SetText(&call->idempotency_key, key) ||
                        call->idempotency_key.len == 0)) {
        return Front_Refuse(call, GF_BAD_REQUEST,
                            "Idempotency-Key must be 1 to %d visible ASCII "
                            "characters without quotes",
                            GF_NAME_MAX_BYTES);
    }
    const char *timeout = GfExchange_Header(call->exchange, "X-Timeout-Ms");
    call->timeout_ms = DEFAULT_TIMEOUT_MS;
    if (timeout != NULL) {
        char *end = NULL;
        long value = strtol(timeout, &end, 10);
        if (end == timeout || *end != '\0' || value < 1 ||
            value > MAX_TIMEOUT_MS) {
            return Front_Refuse(call, GF_BAD_REQUEST,
                                "X-Timeout-Ms must be a whole number from 1 "
                                "to %d",
                                MAX_TIMEOUT_MS);
        }
        call->timeout_ms = (int32_t)value;
    }
    const char *repeatable = GfExchange_Header(call->exchange, "X-Repeatable");
    call->repeatable = repeatable != NULL && strcmp(repeatable, "true") == 0;
    if (call->repeatable && call->idempotency_key.len > 0) {
        return Front_Refuse(
            call, GF_BAD_REQUEST,
            "X-Repeatable and Idempotency-Key cannot be combined");
    }
    return FILTER_PASS;
}

/* Reads the body. Refuses a job that is not JSON with GF_BAD_REQUEST. */
FilterResult
FrontFilter_ReadBody(FrontCall *call)
{
    call->body = GfExchange_TakeBody(call->exchange);
    if (call->route != ROUTE_JOB_SUBMIT) {
        return FILTER_PASS;
    }
    json_error_t error;
    json_t *body = json_loadb(call->body.data, call->body.len,
                              JSON_REJECT_DUPLICATES, &error);
    if (body == NULL) {
        return Front_Refuse(
            call, GF_BAD_REQUEST,
            "the body is not valid JSON: line %d column %d: %.100s",
            error.line, error.column, error.text);
    }
    json_decref(body);
    return FILTER_PASS;
}

/* Hands the call to the module that serves its route; Front_Answer is called
 * with the outcome. Operators' calls are answered by EntryAdmin_Handle itself.
 */
FilterResult
FrontFilter_Dispatch(FrontCall *call)
{
    GfEntry *entry = call->entry;
    const GfBundle *bundle = GfControl_Bundle(entry->control);
    EntryRequest request = {.id = call->request_id,
                            .service = call->resource,
                            .team = call->team,
                            .key = call->idempotency_key,
                            .repeatable = call->repeatable,
                            .remaining_ms = call->timeout_ms,
                            .body = call->body};
    switch (call->route) {
    case ROUTE_REQUEST:
        if (GfBundle_FindService(bundle, &call->resource) == NULL) {
            return Front_Refuse(call, GF_NOT_FOUND, "there is no service %s",
                                call->resource.data);
        }
        EntryRequests_Serve(entry, &request, Front_Answer, call);
        break;
    case ROUTE_JOB_SUBMIT:
        EntryJobs_Submit(entry, &call->team, &call->idempotency_key,
                         &call->body, call->timeout_ms, Front_Answer, call);
        break;
    case ROUTE_JOB_STATUS:
        EntryJobs_CallOwner(entry, ENTRY_JOB_STATUS, &call->resource,
                            &call->team, call->timeout_ms, Front_Answer, call);
        break;
    case ROUTE_JOB_CANCEL:
        EntryJobs_CallOwner(entry, ENTRY_JOB_CANCEL, &call->resource,
                            &call->team, call->timeout_ms, Front_Answer, call);
        break;
    case ROUTE_ADMIN:
        EntryAdmin_Handle(entry, call->exchange, &call->operator_name,
                          &call->body);
        Front_FreeCall(call);
        break;
    default:
        return Front_Refuse(call, GF_INTERNAL, "the call has no handler");
    }
    return FILTER_ANSWERED;
}
