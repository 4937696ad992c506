#include "guavaflow/hosts.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "guavaflow/log.h"

#define PART "platform"
#define CALL_TIMEOUT_MS 2000
#define ADDRESS_BYTES 64
#define MAX_PORT 65535
#define PATH_BYTES 64
#define STATUS_OK 200

static const char *const KIND_NAMES[GF_HOST_KINDS] = {"worker", "target",
                                                      "entry"};
static const char *const STATE_NAMES[GF_HOST_STATES] = {"live", "leaving",
                                                        "gone"};

struct GfHosts {
    GfHttp *http;
    char address[ADDRESS_BYTES];
    uint16_t port;
    GfHostsCallback callback;
    void *ctx;
    bool in_flight;
    int64_t version;
};

/* Creates a reader of the platform's host list, served at address and port.
 * Borrows http; the callback gets ctx. GfHosts_Destroy frees the reader. */
GfHosts *
GfHosts_Create(GfHttp *http, const char *address, uint16_t port,
               GfHostsCallback callback, void *ctx)
{
    assert(http != NULL && callback != NULL);
    GfHosts *hosts = calloc(1, sizeof(*hosts));
    if (hosts == NULL) {
        abort();
    }
    hosts->http = http;
    snprintf(hosts->address, sizeof(hosts->address), "%s", address);
    hosts->port = port;
    hosts->callback = callback;
    hosts->ctx = ctx;
    return hosts;
}

/* Finds text, which may be NULL, in a list of names and sets *index to its
 * position. Returns false if it is not there. */
static bool
find_name(const char *const *names, int count, const char *text, int *index)
{
    for (int i = 0; text != NULL && i < count; i++) {
        if (strcmp(names[i], text) == 0) {
            *index = i;
            return true;
        }
    }
    return false;
}

/* Decodes one host of the list; rack, domain, service and slots are optional.
 * Returns false if a field is malformed or too long, or another one is
 * missing; *host is then unspecified. */
bool
GfHost_Parse(const json_t *json, GfHost *host)
{
    memset(host, 0, sizeof(*host));
    const char *address = json_string_value(json_object_get(json, "address"));
    json_int_t port = json_integer_value(json_object_get(json, "port"));
    json_int_t slots = json_integer_value(json_object_get(json, "slots"));
    int kind = 0;
    int state = 0;
    if (!find_name(KIND_NAMES, GF_HOST_KINDS,
                   json_string_value(json_object_get(json, "kind")), &kind) ||
        !find_name(STATE_NAMES, GF_HOST_STATES,
                   json_string_value(json_object_get(json, "state")),
                   &state) ||
        address == NULL || strlen(address) >= sizeof(host->address) ||
        port <= 0 || port > MAX_PORT || slots < 0 || slots > UINT16_MAX) {
        return false;
    }
    host->kind = (GfHostKind)kind;
    host->state = (GfHostState)state;
    snprintf(host->address, sizeof(host->address), "%s", address);
    host->port = (uint16_t)port;
    host->slots = (uint32_t)slots;
    return GfName_SetText(&host->name,
                          json_string_value(json_object_get(json, "name"))) &&
           GfName_SetText(&host->rack,
                          json_string_value(json_object_get(json, "rack"))) &&
           GfName_SetText(&host->domain, json_string_value(json_object_get(
                                             json, "domain"))) &&
           GfName_SetText(&host->service, json_string_value(json_object_get(
                                              json, "service"))) &&
           host->name.len > 0;
}

/* HTTP callback of a poll. Passes the list on without malformed hosts, or an
 * error if the answer has no list. An answer that gives just the version that
 * is known already means that nothing has changed. */
static void
on_answer(void *arg, const GfHttpResult *result)
{
    GfHosts *hosts = arg;
    hosts->in_flight = false;
    json_t *body =
        result->status == STATUS_OK ? GfHttp_ParseJson(result) : NULL;
    json_t *list = json_object_get(body, "hosts");
    json_t *version = json_object_get(body, "version");
    if (list == NULL && json_is_integer(version) &&
        json_integer_value(version) == hosts->version) {
        json_decref(body);
        return;
    }
    if (!json_is_array(list)) {
        hosts->callback(hosts->ctx, GF_STORE_UNAVAILABLE, NULL, 0);
        json_decref(body);
        return;
    }
    GfHost *parsed = calloc(json_array_size(list) + 1, sizeof(*parsed));
    if (parsed == NULL) {
        abort();
    }
    hosts->version = json_integer_value(version);
    size_t count = 0;
    size_t i;
    json_t *item;
    json_array_foreach(list, i, item)
    {
        if (GfHost_Parse(item, &parsed[count])) {
            count++;
        }
        else {
            GfLog(GF_LOG_WARNING, PART, "malformed host in the list index=%zu",
                  i);
        }
    }
    hosts->callback(hosts->ctx, GF_OK, parsed, count);
    free(parsed);
    json_decref(body);
}

/* Requests the list if it has changed since the last poll. Does nothing while
 * an earlier request is in flight. */
void
GfHosts_Poll(GfHosts *hosts)
{
    if (hosts->in_flight) {
        return;
    }
    hosts->in_flight = true;
    char path[PATH_BYTES];
    snprintf(path, sizeof(path), "/v1/hosts?known=%lld",
             (long long)hosts->version);
    GfHttpCall call = {.address = hosts->address,
                       .port = hosts->port,
                       .method = EVHTTP_REQ_GET,
                       .path = path,
                       .timeout_ms = CALL_TIMEOUT_MS};
    GfHttp_Start(hosts->http, &call, on_answer, hosts);
}

/* Frees the reader. While a poll is in flight, the HTTP client must be
 * destroyed first, so that the poll gets no callback. */
void
GfHosts_Destroy(GfHosts *hosts)
{
    free(hosts);
}
