#include "guavaflow/server.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include <evhtp.h>

#include "guavaflow/log.h"

#define PART "http"
#define LISTEN_BACKLOG 512
#define IDLE_TIMEOUT_S 75
#define WRITE_TIMEOUT_S 30

struct GfServer {
    evhtp_t *http;
    GfServerHandler handler;
    void *ctx;
    size_t max_body_bytes;
    int open;
    bool stopping;
    bool draining;
};

struct GfExchange {
    GfServer *server;
    evhtp_request_t *request;
    bool paused;
    bool answered;
};

/* Returns the method as the caller wrote it, for the methods in use. */
const char *
GfExchange_Method(const GfExchange *exchange)
{
    switch (evhtp_request_get_method(exchange->request)) {
    case htp_method_GET:
        return "GET";
    case htp_method_POST:
        return "POST";
    case htp_method_PUT:
        return "PUT";
    case htp_method_DELETE:
        return "DELETE";
    default:
        return "OTHER";
    }
}

/* Returns the path without its query. */
const char *
GfExchange_Path(const GfExchange *exchange)
{
    evhtp_uri_t *uri = exchange->request->uri;
    if (uri == NULL || uri->path == NULL || uri->path->full == NULL) {
        return "/";
    }
    return uri->path->full;
}

/* Returns a query argument, or NULL. */
const char *
GfExchange_Query(const GfExchange *exchange, const char *name)
{
    evhtp_uri_t *uri = exchange->request->uri;
    if (uri == NULL || uri->query == NULL) {
        return NULL;
    }
    return evhtp_kv_find(uri->query, name);
}

/* Returns a request header, or NULL. */
const char *
GfExchange_Header(const GfExchange *exchange, const char *name)
{
    return evhtp_header_find(exchange->request->headers_in, name);
}

/* Copies the body; the caller of this function clears the copy. */
GfStr
GfExchange_Body(const GfExchange *exchange)
{
    struct evbuffer *in = exchange->request->buffer_in;
    size_t len = evbuffer_get_length(in);
    const char *data = (const char *)evbuffer_pullup(in, -1);
    return GfStr_Copy(data, len);
}

/* Adds a header to the answer to come. */
void
GfExchange_AddHeader(GfExchange *exchange, const char *name, const char *value)
{
    if (exchange->request == NULL) {
        return;
    }
    evhtp_headers_add_header(exchange->request->headers_out,
                             evhtp_header_new(name, value, 1, 1));
}

/* Ends an exchange and frees it. */
static void
finish(GfExchange *exchange)
{
    exchange->server->open--;
    free(exchange);
}

/* Notes that the caller's request is gone, so that a later answer is dropped
 * instead of written to a freed request. */
static evhtp_res
on_request_fini(evhtp_request_t *request, void *arg)
{
    (void)request;
    GfExchange *exchange = arg;
    exchange->request = NULL;
    return EVHTP_RES_OK;
}

/* Answers the exchange with the given bytes and frees it. An answer to a
 * caller that has gone is dropped. */
void
GfExchange_Reply(GfExchange *exchange, int status, const char *type,
                 const char *data, size_t len)
{
    assert(exchange != NULL);
    assert(!exchange->answered);
    exchange->answered = true;
    evhtp_request_t *request = exchange->request;
    if (request != NULL) {
        evhtp_request_unset_hook(request, evhtp_hook_on_request_fini);
        GfExchange_AddHeader(exchange, "Content-Type", type);
        if (exchange->server->stopping || exchange->server->draining) {
            GfExchange_AddHeader(exchange, "Connection", "close");
            request->flags &= (uint16_t)~EVHTP_REQ_FLAG_KEEPALIVE;
        }
        if (len > 0) {
            evbuffer_add(request->buffer_out, data, len);
        }
        evhtp_send_reply(request, (evhtp_res)status);
        if (exchange->paused) {
            evhtp_request_resume(request);
        }
    }
    finish(exchange);
}

/* Answers with a JSON document, whose reference it takes. */
void
GfExchange_ReplyJson(GfExchange *exchange, int status, json_t *body)
{
    assert(body != NULL);
    char *text = json_dumps(body, JSON_COMPACT);
    json_decref(body);
    assert(text != NULL);
    GfExchange_Reply(exchange, status, "application/json", text, strlen(text));
    free(text);
}

/* Closes the caller's connection without an answer. */
void
GfExchange_Drop(GfExchange *exchange)
{
    evhtp_request_t *request = exchange->request;
    exchange->answered = true;
    if (request != NULL) {
        evhtp_request_unset_hook(request, evhtp_hook_on_request_fini);
        evutil_socket_t fd = bufferevent_getfd(request->conn->bev);
        if (fd >= 0) {
            shutdown(fd, SHUT_RDWR);
        }
        if (exchange->paused) {
            evhtp_request_resume(request);
        }
    }
    finish(exchange);
}

/* Takes a whole request from the library and hands it on. */
static void
on_request(evhtp_request_t *request, void *arg)
{
    GfServer *server = arg;
    GfExchange *exchange = calloc(1, sizeof(*exchange));
    if (exchange == NULL) {
        abort();
    }
    exchange->server = server;
    exchange->request = request;
    exchange->paused = true;
    server->open++;
    evhtp_request_set_hook(request, evhtp_hook_on_request_fini,
                           (evhtp_hook)on_request_fini, exchange);
    evhtp_request_pause(request);
    server->handler(server->ctx, exchange);
}

/* Logs a call that announces a body over the limit; the library closes its
 * connection. */
static evhtp_res
on_headers(evhtp_request_t *request, evhtp_headers_t *headers, void *arg)
{
    (void)request;
    const GfServer *server = arg;
    const char *length = evhtp_header_find(headers, "Content-Length");
    if (length != NULL &&
        strtoull(length, NULL, 10) > server->max_body_bytes) {
        GfLog(GF_LOG_WARNING, PART, "A call has a body over %zu bytes.",
              server->max_body_bytes);
    }
    return EVHTP_RES_OK;
}

/* Watches the headers of a new connection's calls. */
static evhtp_res
on_accept(evhtp_connection_t *connection, void *arg)
{
    evhtp_connection_set_hook(connection, evhtp_hook_on_headers,
                              (evhtp_hook)on_headers, arg);
    return EVHTP_RES_OK;
}

/* Opens a listening server. Fails with GF_BAD_CONFIG if the address cannot
 * be bound. Bodies over max_body_bytes end the connection. */
GfServer *
GfServer_Create(struct event_base *base, const char *address, uint16_t port,
                size_t max_body_bytes, GfServerHandler handler, void *ctx,
                GfError *error)
{
    assert(base != NULL && address != NULL && handler != NULL);
    GfServer *server = calloc(1, sizeof(*server));
    if (server == NULL) {
        abort();
    }
    server->handler = handler;
    server->ctx = ctx;
    server->http = evhtp_new(base, NULL);
    evhtp_set_gencb(server->http, on_request, server);
    evhtp_set_max_body_size(server->http, max_body_bytes);
    evhtp_set_post_accept_cb(server->http, on_accept, server);
    server->max_body_bytes = max_body_bytes;
    struct timeval idle = {.tv_sec = IDLE_TIMEOUT_S};
    struct timeval write = {.tv_sec = WRITE_TIMEOUT_S};
    evhtp_set_timeouts(server->http, &idle, &write);
    if (evhtp_bind_socket(server->http, address, port, LISTEN_BACKLOG) != 0) {
        GfError_Set(error, GF_BAD_CONFIG, "cannot listen on %s port %u",
                    address, port);
        evhtp_free(server->http);
        free(server);
        return NULL;
    }
    return server;
}

/* Tells callers to leave with their next answer; new connections are still
 * taken. */
void
GfServer_BeginDrain(GfServer *server)
{
    server->draining = true;
}

/* Closes the listening socket and tells callers to leave with their next
 * answer. */
void
GfServer_StopAccepting(GfServer *server)
{
    if (!server->stopping) {
        server->stopping = true;
        evhtp_unbind_socket(server->http);
    }
}

/* Returns how many requests wait for their answer. */
int
GfServer_OpenExchanges(const GfServer *server)
{
    return server->open;
}

/* Closes the server. Exchanges still open lose their callers. */
void
GfServer_Destroy(GfServer *server)
{
    if (server == NULL) {
        return;
    }
    GfServer_StopAccepting(server);
    evhtp_free(server->http);
    free(server);
}
