#include "guavaflow/server.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include <sys/queue.h>
#include <sys/socket.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <utlist.h>

#include "guavaflow/log.h"

#define PART "http"
#define IDLE_TIMEOUT_S 75
#define MAX_HEADER_BYTES 16384

struct GfServer {
    struct evhttp *http;
    struct evhttp_bound_socket *socket;
    GfServerHandler handler;
    void *ctx;
    GfExchange *exchanges;
    int open; /* number of exchanges */
    bool stopping;
    bool draining;
};

struct GfExchange {
    GfServer *server;
    struct evhttp_request *request; /* NULL once the client disconnected */
    struct evkeyvalq query;
    bool query_parsed;
    bool answered;
    GfExchange *next;
    GfExchange *prev;
};

/* Returns the HTTP method, or "OTHER" for one that no handler supports. */
const char *
GfExchange_Method(const GfExchange *exchange)
{
    switch (evhttp_request_get_command(exchange->request)) {
    case EVHTTP_REQ_GET:
        return "GET";
    case EVHTTP_REQ_POST:
        return "POST";
    case EVHTTP_REQ_PUT:
        return "PUT";
    case EVHTTP_REQ_DELETE:
        return "DELETE";
    default:
        return "OTHER";
    }
}

/* Returns the path without the query, "/" if it is empty. It is valid until
 * the handler returns or the exchange is answered. */
const char *
GfExchange_Path(const GfExchange *exchange)
{
    const struct evhttp_uri *uri =
        evhttp_request_get_evhttp_uri(exchange->request);
    const char *path = uri == NULL ? NULL : evhttp_uri_get_path(uri);
    return path == NULL || path[0] == '\0' ? "/" : path;
}

/* Returns the value of a query parameter, or NULL if it is absent or the query
 * is malformed. It is valid as long as the path. */
const char *
GfExchange_Query(const GfExchange *exchange, const char *name)
{
    GfExchange *e = (GfExchange *)exchange;
    if (!e->query_parsed) {
        const struct evhttp_uri *uri =
            evhttp_request_get_evhttp_uri(e->request);
        const char *text = uri == NULL ? NULL : evhttp_uri_get_query(uri);
        TAILQ_INIT(&e->query);
        e->query_parsed = true;
        if (text != NULL && evhttp_parse_query_str(text, &e->query) != 0) {
            GfLog(GF_LOG_INFO, PART,
                  "malformed query in the URL of a request");
        }
    }
    return evhttp_find_header(&e->query, name);
}

/* Returns the value of a request header, or NULL. It is valid as long as the
 * path. */
const char *
GfExchange_Header(const GfExchange *exchange, const char *name)
{
    return evhttp_find_header(
        evhttp_request_get_input_headers(exchange->request), name);
}

/* Returns a copy of the body, which the caller of this function clears. */
GfStr
GfExchange_Body(const GfExchange *exchange)
{
    struct evbuffer *in = evhttp_request_get_input_buffer(exchange->request);
    size_t len = evbuffer_get_length(in);
    const char *data = (const char *)evbuffer_pullup(in, -1);
    return GfStr_Copy(data, len);
}

/* Adds a header to the answer; does nothing if the client has disconnected. */
void
GfExchange_AddHeader(GfExchange *exchange, const char *name, const char *value)
{
    if (exchange->request != NULL) {
        evhttp_add_header(evhttp_request_get_output_headers(exchange->request),
                          name, value);
    }
}

/* Removes an exchange from its server and frees it. */
static void
remove_exchange(GfExchange *exchange)
{
    GfServer *server = exchange->server;
    DL_DELETE(server->exchanges, exchange);
    server->open--;
    if (exchange->query_parsed) {
        evhttp_clear_headers(&exchange->query);
    }
    free(exchange);
}

/* Callback of libevent for a closed connection. Sets the request of its
 * exchanges to NULL, so that a later answer is dropped instead of being
 * written to a freed request. */
static void
on_close(struct evhttp_connection *connection, void *arg)
{
    GfServer *server = arg;
    GfExchange *e;
    DL_FOREACH(server->exchanges, e)
    {
        if (e->request != NULL &&
            evhttp_request_get_connection(e->request) == connection) {
            e->request = NULL;
        }
    }
}

/* Answers the exchange with len bytes of the given content type, which are
 * copied, and frees it. The answer is dropped if the client has
 * disconnected. */
void
GfExchange_Reply(GfExchange *exchange, int status, const char *type,
                 const char *data, size_t len)
{
    assert(exchange != NULL);
    assert(!exchange->answered);
    exchange->answered = true;
    struct evhttp_request *request = exchange->request;
    if (request == NULL) {
        remove_exchange(exchange);
        return;
    }
    GfExchange_AddHeader(exchange, "Content-Type", type);
    if (exchange->server->stopping || exchange->server->draining) {
        GfExchange_AddHeader(exchange, "Connection", "close");
    }
    struct evbuffer *out = evbuffer_new();
    if (out == NULL) {
        abort();
    }
    if (len > 0) {
        evbuffer_add(out, data, len);
    }
    /* Sending may free the request. */
    exchange->request = NULL;
    remove_exchange(exchange);
    evhttp_send_reply(request, status, NULL, out);
    evbuffer_free(out);
}

/* Answers the exchange with a JSON document and frees it. Takes the reference
 * to body. */
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

/* Closes the client's connection without an answer and frees the exchange. */
void
GfExchange_Drop(GfExchange *exchange)
{
    struct evhttp_request *request = exchange->request;
    exchange->answered = true;
    if (request != NULL) {
        struct evhttp_connection *connection =
            evhttp_request_get_connection(request);
        evutil_socket_t fd =
            bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
        if (fd >= 0) {
            shutdown(fd, SHUT_RDWR);
        }
    }
    remove_exchange(exchange);
}

/* Callback of libevent for a complete request: passes it to the handler as an
 * exchange. */
static void
on_request(struct evhttp_request *request, void *arg)
{
    GfServer *server = arg;
    GfExchange *exchange = calloc(1, sizeof(*exchange));
    if (exchange == NULL) {
        abort();
    }
    exchange->server = server;
    exchange->request = request;
    server->open++;
    DL_APPEND(server->exchanges, exchange);
    evhttp_connection_set_closecb(evhttp_request_get_connection(request),
                                  on_close, server);
    server->handler(server->ctx, exchange);
}

/* Creates a server that listens on an address and a port. Requests with a body
 * over max_body_bytes are refused. Returns NULL and sets error to
 * GF_BAD_CONFIG if the address cannot be bound. Borrows base;
 * GfServer_Destroy frees the server. */
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
    server->http = evhttp_new(base);
    if (server->http == NULL) {
        abort();
    }
    evhttp_set_gencb(server->http, on_request, server);
    evhttp_set_max_body_size(server->http, (ev_ssize_t)max_body_bytes);
    evhttp_set_max_headers_size(server->http, MAX_HEADER_BYTES);
    evhttp_set_timeout(server->http, IDLE_TIMEOUT_S);
    server->socket =
        evhttp_bind_socket_with_handle(server->http, address, port);
    if (server->socket == NULL) {
        GfError_Set(error, GF_BAD_CONFIG, "cannot listen on %s port %u",
                    address, port);
        evhttp_free(server->http);
        free(server);
        return NULL;
    }
    return server;
}

/* Closes each connection after its next answer; new connections are still
 * accepted. */
void
GfServer_BeginDrain(GfServer *server)
{
    server->draining = true;
}

/* Closes the listening socket, and each connection after its next answer. */
void
GfServer_StopAccepting(GfServer *server)
{
    if (!server->stopping) {
        server->stopping = true;
        evhttp_del_accept_socket(server->http, server->socket);
    }
}

/* Returns the number of requests not answered yet. */
int
GfServer_OpenExchanges(const GfServer *server)
{
    return server->open;
}

/* Closes all connections and frees the server; NULL is allowed. Exchanges not
 * answered by then must not be used any more. */
void
GfServer_Destroy(GfServer *server)
{
    if (server == NULL) {
        return;
    }
    evhttp_free(server->http);
    free(server);
}
