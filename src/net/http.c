#include "guavaflow/http.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>
#include <uthash.h>
#include <utlist.h>

#include "guavaflow/clock.h"

#define ENDPOINT_BYTES 80
#define GRACE_MS 20
#define MAX_IDLE_PER_ENDPOINT 64
/* How long a connection stays open without a call, unless the call says. */
#define IDLE_MS 10000
/* The same for further ones to a server with a limit: they end a burst of
 * calls, and the server may keep them for good if this host loses power. */
#define SPARE_IDLE_MS 1000
#define MAX_HEADER_BYTES 16384
#define MAX_BODY_BYTES (8 * 1024 * 1024)

typedef struct Endpoint Endpoint;
typedef struct Pending Pending;

/* A connection to an endpoint: idle, in use by a pending call, or retired. */
typedef struct Connection {
    struct evhttp_connection *evcon;
    GfHttp *http;
    Endpoint *endpoint;
    struct event *idle_timer; /* closes it; pending while it is idle */
    int64_t label;            /* set by callers; 0 once it was closed */
    struct Connection *next;
    struct Connection *prev;
} Connection;

/* A pool of connections to a server: its idle connections and the calls that
 * wait for one. key is ADDRESS:PORT/POOL. */
struct Endpoint {
    char key[ENDPOINT_BYTES];
    Connection *idle;
    int idle_count;
    int open; /* idle connections and those in use */
    Pending *waiting;
    uint64_t answered; /* highest number of a call that was answered */
    UT_hash_handle hh;
};

/* A call in flight, or one that waits for a connection. */
struct Pending {
    GfHttp *http;
    uint64_t number; /* in the order in which calls were started */
    Endpoint *endpoint;
    Connection *connection; /* NULL while it waits */
    char *address;
    uint16_t port;
    enum evhttp_cmd_type method;
    char *path;
    int max_connections;
    int timeout_ms;
    int idle_ms;
    bool urgent;
    GfHttpCallback callback;
    void *arg;
    struct evhttp_request *request; /* libevent's, until the call completes */
    struct event *timer;
    int progress_ms;
    int extension_ms; /* how much longer the call may take if it progresses */
    size_t received;  /* bytes of the answer at the last check */
    bool in_grace;
    Pending *next;
    Pending *prev;
};

struct GfHttp {
    struct event_base *base;
    Endpoint *endpoints;
    Pending *pending;
    Connection *retired;
    uint64_t last_number;
    struct event *reaper;
};

/* Closes and frees a connection that is in no list. */
static void
free_connection(Connection *c)
{
    event_free(c->idle_timer);
    evhttp_connection_free(c->evcon);
    free(c);
}

/* Frees the retired connections. Runs from the event loop, since a connection
 * must not be freed within its own callback. */
static void
on_reap(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    GfHttp *http = arg;
    Connection *c;
    Connection *tmp;
    DL_FOREACH_SAFE(http->retired, c, tmp)
    {
        DL_DELETE(http->retired, c);
        free_connection(c);
    }
}

/* Creates a client with an empty pool of connections. Borrows base;
 * GfHttp_Destroy frees the client. */
GfHttp *
GfHttp_Create(struct event_base *base)
{
    GfHttp *http = calloc(1, sizeof(*http));
    if (http == NULL) {
        abort();
    }
    http->base = base;
    http->reaper = event_new(base, -1, 0, on_reap, http);
    return http;
}

/* Marks a connection, which is in no list, as unusable; the event loop frees
 * it. */
static void
retire(Connection *c)
{
    c->endpoint->open--;
    DL_APPEND(c->http->retired, c);
    event_active(c->http->reaper, EV_TIMEOUT, 0);
}

/* Takes an idle connection out of the list of its endpoint. */
static void
remove_idle(Endpoint *e, Connection *c)
{
    evtimer_del(c->idle_timer);
    DL_DELETE(e->idle, c);
    e->idle_count--;
}

/* Timer callback: closes a connection that has been idle for long. */
static void
on_idle_timeout(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    Connection *c = arg;
    remove_idle(c->endpoint, c);
    retire(c);
}

/* Returns a pool of an address and a port, adding it if needed. */
static Endpoint *
get_endpoint(GfHttp *http, const char *address, uint16_t port, int pool)
{
    char key[ENDPOINT_BYTES];
    snprintf(key, sizeof(key), "%s:%u/%d", address, port, pool);
    Endpoint *e;
    HASH_FIND_STR(http->endpoints, key, e);
    if (e == NULL) {
        e = calloc(1, sizeof(*e));
        if (e == NULL) {
            abort();
        }
        memcpy(e->key, key, sizeof(key));
        HASH_ADD_STR(http->endpoints, key, e);
    }
    return e;
}

/* Callback of libevent for a connection that was closed. If it is used again,
 * it is opened anew, to whatever listens then. */
static void
on_close(struct evhttp_connection *evcon, void *arg)
{
    (void)evcon;
    Connection *c = arg;
    c->label = 0;
}

/* Returns an idle connection, or creates one. Returns NULL if that fails. */
static Connection *
acquire_connection(const Pending *p)
{
    Endpoint *e = p->endpoint;
    Connection *c = e->idle;
    if (c != NULL) {
        remove_idle(e, c);
        return c;
    }
    c = calloc(1, sizeof(*c));
    if (c == NULL) {
        abort();
    }
    c->http = p->http;
    c->endpoint = e;
    c->evcon =
        evhttp_connection_base_new(p->http->base, NULL, p->address, p->port);
    if (c->evcon == NULL) {
        free(c);
        return NULL;
    }
    c->idle_timer = evtimer_new(p->http->base, on_idle_timeout, c);
    evhttp_connection_set_max_headers_size(c->evcon, MAX_HEADER_BYTES);
    evhttp_connection_set_max_body_size(c->evcon, MAX_BODY_BYTES);
    evhttp_connection_set_retries(c->evcon, 0);
    evhttp_connection_set_closecb(c->evcon, on_close, c);
    e->open++;
    return c;
}

/* Returns whether a call may be sent now: a connection is idle, or the call's
 * limit allows one more. */
static bool
has_connection(const Pending *p)
{
    const Endpoint *e = p->endpoint;
    return e->idle != NULL || p->max_connections == 0 ||
           e->open < p->max_connections;
}

/* Frees a call that is in no list. Its request is libevent's or freed. */
static void
free_pending(Pending *p)
{
    event_free(p->timer);
    free(p->address);
    free(p->path);
    free(p);
}

static void send_call(Pending *p);

/* Sends the calls that wait for a connection to an endpoint, as far as there
 * are connections. */
static void
send_waiting(Endpoint *e)
{
    while (e->waiting != NULL && has_connection(e->waiting)) {
        Pending *p = e->waiting;
        DL_DELETE(e->waiting, p);
        send_call(p);
    }
}

/* Completes a call in flight: returns its connection, if any, to the pool if
 * reuse is set and the pool is not full, else retires it, then frees the call,
 * sends those that waited for the connection and runs the callback. */
static void
complete(Pending *p, const GfHttpResult *result, bool reuse)
{
    Endpoint *e = p->endpoint;
    DL_DELETE(p->http->pending, p);
    Connection *c = p->connection;
    if (c != NULL && reuse && e->idle_count < MAX_IDLE_PER_ENDPOINT) {
        bool spare = p->max_connections > 0 && e->idle_count > 0;
        struct timeval idle =
            GfTime_ToTimeval(spare ? SPARE_IDLE_MS : p->idle_ms);
        DL_PREPEND(e->idle, c);
        e->idle_count++;
        evtimer_add(c->idle_timer, &idle);
    }
    else if (c != NULL) {
        retire(c);
    }
    GfHttpCallback callback = p->callback;
    void *arg = p->arg;
    free_pending(p);
    send_waiting(e);
    callback(arg, result);
}

/* Completes a call that waits for a connection as not sent. */
static void
drop_waiting(Pending *p)
{
    GfHttpResult result = {.kind = GF_TIMEOUT, .sent = false};
    GfHttpCallback callback = p->callback;
    void *arg = p->arg;
    DL_DELETE(p->endpoint->waiting, p);
    evhttp_request_free(p->request);
    free_pending(p);
    callback(arg, &result);
}

/* Returns whether the answer is complete. It must have a Content-Length that
 * matches its body, or be chunked; the end of a body that lasts until the
 * connection closes cannot be told from a truncation. */
static bool
is_complete(struct evhttp_request *req)
{
    struct evkeyvalq *headers = evhttp_request_get_input_headers(req);
    const char *length = evhttp_find_header(headers, "Content-Length");
    if (length != NULL) {
        size_t got = evbuffer_get_length(evhttp_request_get_input_buffer(req));
        return strtoull(length, NULL, 10) == got;
    }
    const char *coding = evhttp_find_header(headers, "Transfer-Encoding");
    return coding != NULL && strcmp(coding, "chunked") == 0;
}

/* Callback of libevent for a call that was answered or failed. */
static void
on_response(struct evhttp_request *req, void *arg)
{
    Pending *p = arg;
    GfHttpResult result = {.kind = GF_CONNECTION_LOST, .sent = true};
    if (req == NULL || evhttp_request_get_response_code(req) == 0) {
        /* For a failed call, libevent passes the request only if connecting
         * failed; it passes NULL if the call may have been sent. */
        result.sent = req == NULL;
        complete(p, &result, false);
        return;
    }
    if (!is_complete(req)) {
        result.kind = GF_PROTOCOL;
        complete(p, &result, false);
        return;
    }
    struct evbuffer *in = evhttp_request_get_input_buffer(req);
    if (p->number > p->endpoint->answered) {
        p->endpoint->answered = p->number;
    }
    result.kind = GF_OK;
    result.label = &p->connection->label;
    result.status = evhttp_request_get_response_code(req);
    result.body_len = evbuffer_get_length(in);
    result.body = (const char *)evbuffer_pullup(in, -1);
    struct evkeyvalq *headers = evhttp_request_get_input_headers(req);
    result.request_id = evhttp_find_header(headers, GF_HTTP_ID_HEADER);
    const char *token = evhttp_find_header(headers, "Connection");
    bool reuse = token == NULL || evutil_ascii_strcasecmp(token, "close") != 0;
    GfStr copy = GfStr_Copy(result.body, result.body_len);
    result.body = copy.data;
    complete(p, &result, reuse);
    GfStr_Clear(&copy);
}

/* Retires the idle connections of an endpoint after a call to it timed out:
 * connections opened earlier may be dead too. New calls open new ones. */
static void
retire_idle(Endpoint *e)
{
    Connection *c;
    Connection *tmp;
    DL_FOREACH_SAFE(e->idle, c, tmp)
    {
        remove_idle(e, c);
        retire(c);
    }
}

/* Completes a call in flight as timed out. Its connection is closed, so that a
 * late answer cannot be taken for that of another call. */
static void
give_up(Pending *p)
{
    GfHttpResult result = {.kind = GF_TIMEOUT, .sent = true};
    GfHttpCallback callback = p->callback;
    void *callback_arg = p->arg;
    Endpoint *e = p->endpoint;
    DL_DELETE(p->http->pending, p);
    /* This frees the request without running its callback. */
    free_connection(p->connection);
    e->open--;
    free_pending(p);
    send_waiting(e);
    callback(callback_arg, &result);
}

/* Returns how many bytes of a call's answer wait to be handed over. */
static size_t
count_received(const Pending *p)
{
    struct bufferevent *bev =
        evhttp_connection_get_bufferevent(p->connection->evcon);
    return evbuffer_get_length(bufferevent_get_input(bev)) +
           evbuffer_get_length(evhttp_request_get_input_buffer(p->request));
}

/* Lets a call that has timed out go on if its answer is arriving. Returns
 * whether it does. */
static bool
extend(Pending *p)
{
    size_t received = p->progress_ms > 0 ? count_received(p) : 0;
    if (received <= p->received || p->extension_ms <= 0) {
        return false;
    }
    p->received = received;
    p->extension_ms -= p->progress_ms;
    p->in_grace = false;
    struct timeval tv = GfTime_ToTimeval(p->progress_ms);
    evtimer_add(p->timer, &tv);
    return true;
}

/* Timer callback: gives up a call that has timed out, or that has waited too
 * long for a connection. */
static void
on_timeout(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    Pending *p = arg;
    if (p->connection == NULL) {
        drop_waiting(p);
        return;
    }
    if (extend(p)) {
        return;
    }
    if (!p->in_grace) {
        /* If this process was paused, the answer may have arrived without
         * having been read yet: allow GRACE_MS to read it. */
        p->in_grace = true;
        struct timeval grace = GfTime_ToTimeval(GRACE_MS);
        evtimer_add(p->timer, &grace);
        return;
    }
    retire_idle(p->endpoint);
    give_up(p);
}

/* Completes with GF_TIMEOUT the calls of a server's pool 0 that were started
 * before the latest of them that has been answered. Meant for the end of an
 * outage, when the older ones wait on connections that it has silenced. Must
 * not be called from a GfHttpCallback. */
void
GfHttp_AbandonOlder(GfHttp *http, const char *address, uint16_t port)
{
    assert(http != NULL && address != NULL);
    Endpoint *e = get_endpoint(http, address, port, 0);
    retire_idle(e);
    Pending *p = http->pending;
    while (p != NULL) {
        if (p->endpoint != e || p->number >= e->answered) {
            p = p->next;
            continue;
        }
        give_up(p);
        /* The callback may have started or completed any other call. */
        p = http->pending;
    }
}

/* Adds the Host header and the call's headers to the request. */
static void
add_headers(struct evhttp_request *req, const GfHttpCall *call)
{
    struct evkeyvalq *out = evhttp_request_get_output_headers(req);
    char host[ENDPOINT_BYTES];
    snprintf(host, sizeof(host), "%s:%u", call->address, call->port);
    evhttp_add_header(out, "Host", call->host != NULL ? call->host : host);
    for (size_t i = 0; i < call->header_count; i++) {
        evhttp_add_header(out, call->headers[i].name, call->headers[i].value);
    }
}

/* Sends a call, which is in no list, on an idle or a new connection. */
static void
send_call(Pending *p)
{
    GfHttpResult refused = {.kind = GF_CONNECTION_LOST, .sent = false};
    DL_APPEND(p->http->pending, p);
    p->connection = acquire_connection(p);
    if (p->connection == NULL) {
        evhttp_request_free(p->request);
        complete(p, &refused, false);
        return;
    }
    struct timeval limit = GfTime_ToTimeval(p->timeout_ms);
    evtimer_add(p->timer, &limit);
    if (evhttp_make_request(p->connection->evcon, p->request, p->method,
                            p->path) != 0) {
        /* libevent has freed the request without running its callback. */
        complete(p, &refused, false);
    }
}

/* Queues a call until a connection to its endpoint is free, urgent calls
 * before the others. */
static void
enqueue(Pending *p, int queue_ms)
{
    Endpoint *e = p->endpoint;
    Pending *after = p->urgent ? e->waiting : NULL;
    while (after != NULL && after->urgent) {
        after = after->next;
    }
    if (after != NULL) {
        DL_PREPEND_ELEM(e->waiting, after, p);
    }
    else {
        DL_APPEND(e->waiting, p);
    }
    struct timeval limit = GfTime_ToTimeval(queue_ms);
    evtimer_add(p->timer, &limit);
}

/* Starts a call, copying what it needs of it. If the call limits the open
 * connections to the server and all are in use, it waits for one; its timeout
 * runs from when it is sent. The callback runs exactly once, unless the client
 * is destroyed first: from the event loop or, if the call cannot be sent at
 * all, before this function returns. */
void
GfHttp_Start(GfHttp *http, const GfHttpCall *call, GfHttpCallback callback,
             void *arg)
{
    assert(http != NULL && call != NULL && callback != NULL);
    Pending *p = calloc(1, sizeof(*p));
    if (p == NULL) {
        abort();
    }
    *p = (Pending){
        .http = http,
        .number = ++http->last_number,
        .endpoint = get_endpoint(http, call->address, call->port, call->pool),
        .address = strdup(call->address),
        .port = call->port,
        .method = call->method,
        .path = strdup(call->path),
        .max_connections = call->max_connections,
        .timeout_ms = call->timeout_ms,
        .idle_ms = call->idle_ms > 0 ? call->idle_ms : IDLE_MS,
        .urgent = call->urgent,
        .progress_ms = call->progress_ms,
        .extension_ms = call->timeout_ms,
        .callback = callback,
        .arg = arg};
    if (p->address == NULL || p->path == NULL) {
        abort();
    }
    p->timer = evtimer_new(http->base, on_timeout, p);
    p->request = evhttp_request_new(on_response, p);
    add_headers(p->request, call);
    if (call->body_len > 0) {
        evbuffer_add(evhttp_request_get_output_buffer(p->request), call->body,
                     call->body_len);
    }
    if (has_connection(p)) {
        send_call(p);
    }
    else {
        enqueue(p, call->queue_ms);
    }
}

/* Returns the label of the connection on which the next call of a pool to a
 * server would be sent now; 0 if that is a new one or has no label, or if the
 * call would wait. */
int64_t
GfHttp_NextLabel(GfHttp *http, const char *address, uint16_t port, int pool)
{
    assert(http != NULL && address != NULL);
    const Endpoint *e = get_endpoint(http, address, port, pool);
    return e->idle == NULL ? 0 : e->idle->label;
}

/* Completes the calls that wait for a connection as not sent. Their callbacks
 * must not start calls that would wait. */
void
GfHttp_DropWaiting(GfHttp *http)
{
    assert(http != NULL);
    for (Endpoint *e = http->endpoints; e != NULL; e = e->hh.next) {
        while (e->waiting != NULL) {
            drop_waiting(e->waiting);
        }
    }
}

/* Starts a POST of a JSON document; see GfHttp_Start. Takes the reference to
 * body. */
void
GfHttp_PostJson(GfHttp *http, const char *address, uint16_t port,
                const char *path, json_t *body, int timeout_ms,
                GfHttpCallback callback, void *arg)
{
    static const GfHttpHeader TYPE = {"Content-Type", "application/json"};
    char *text = json_dumps(body, JSON_COMPACT);
    json_decref(body);
    assert(text != NULL);
    GfHttpCall call = {.address = address,
                       .port = port,
                       .method = EVHTTP_REQ_POST,
                       .path = path,
                       .headers = &TYPE,
                       .header_count = 1,
                       .body = text,
                       .body_len = strlen(text),
                       .timeout_ms = timeout_ms};
    GfHttp_Start(http, &call, callback, arg);
    free(text);
}

/* Parses the body of an answer as JSON. Returns NULL if the call failed or the
 * body is not JSON or has duplicate keys. The caller owns the reference. */
json_t *
GfHttp_ParseJson(const GfHttpResult *result)
{
    if (result->kind != GF_OK) {
        return NULL;
    }
    return json_loadb(result->body, result->body_len, JSON_REJECT_DUPLICATES,
                      NULL);
}

/* Closes all connections and frees the client; NULL is allowed. Callbacks of
 * calls still in flight do not run. */
void
GfHttp_Destroy(GfHttp *http)
{
    if (http == NULL) {
        return;
    }
    Pending *p;
    Pending *ptmp;
    DL_FOREACH_SAFE(http->pending, p, ptmp)
    {
        DL_DELETE(http->pending, p);
        free_connection(p->connection);
        free_pending(p);
    }
    Endpoint *e;
    Endpoint *etmp;
    for (e = http->endpoints; e != NULL; e = e->hh.next) {
        retire_idle(e);
        DL_FOREACH_SAFE(e->waiting, p, ptmp)
        {
            DL_DELETE(e->waiting, p);
            evhttp_request_free(p->request);
            free_pending(p);
        }
    }
    HASH_ITER(hh, http->endpoints, e, etmp)
    {
        HASH_DEL(http->endpoints, e);
        free(e);
    }
    on_reap(-1, 0, http);
    event_free(http->reaper);
    free(http);
}
