#include "guavaflow/server.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include <sys/queue.h>

#include <utlist.h>

#include "guavaflow/clock.h"
#include "guavaflow/log.h"
#include "guavaflow/metrics.h"
#include "server_private.h"

#define PART "http"
/* Of the kernel, for a connection. What is received and not read counts as
 * memory of this process. */
#define RECEIVE_BUFFER_BYTES (16 * 1024)
#define SEND_BUFFER_BYTES (64 * 1024)
#define STATUS_UNAVAILABLE 503
/* Shortest time between two log lines on refused clients. */
#define LOG_INTERVAL_MS 10000

/* Returns the HTTP method, or "OTHER" for one that no handler supports. */
const char *
GfExchange_Method(const GfExchange *exchange)
{
    switch (exchange->request.method) {
    case HTTP_GET:
        return "GET";
    case HTTP_POST:
        return "POST";
    case HTTP_PUT:
        return "PUT";
    case HTTP_DELETE:
        return "DELETE";
    default:
        return "OTHER";
    }
}

/* Returns the path without the query, "/" if it is empty. It is valid until
 * the exchange is answered. */
const char *
GfExchange_Path(const GfExchange *exchange)
{
    const struct evhttp_uri *uri = exchange->uri;
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
        const char *text =
            e->uri == NULL ? NULL : evhttp_uri_get_query(e->uri);
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
    return evhttp_find_header(&exchange->request.headers, name);
}

/* Returns a copy of the body, which the caller of this function clears. */
GfStr
GfExchange_Body(const GfExchange *exchange)
{
    return GfStr_Copy(exchange->request.body.data, exchange->request.body.len);
}

/* Takes the body out of the exchange; the caller of this function clears it.
 * There is none the next time. */
GfStr
GfExchange_TakeBody(GfExchange *exchange)
{
    return Request_TakeBody(exchange->server, &exchange->request);
}

/* Adds a header to the answer; does nothing if the client has disconnected. */
void
GfExchange_AddHeader(GfExchange *exchange, const char *name, const char *value)
{
    if (exchange->connection != NULL) {
        evhttp_add_header(&exchange->answer_headers, name, value);
    }
}

/* Removes an exchange from its server and frees it. */
static void
remove_exchange(GfExchange *exchange)
{
    GfServer *server = exchange->server;
    DL_DELETE(server->exchanges, exchange);
    server->open--;
    if (exchange->connection != NULL) {
        exchange->connection->exchange = NULL;
    }
    evhttp_clear_headers(&exchange->query);
    if (exchange->uri != NULL) {
        evhttp_uri_free(exchange->uri);
    }
    Request_Clear(server, &exchange->request);
    evhttp_clear_headers(&exchange->answer_headers);
    free(exchange);
}

/* Records that the client of an exchange has disconnected: its answer will be
 * dropped. */
void
Server_Detach(GfExchange *exchange)
{
    exchange->connection = NULL;
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
    const GfServer *server = exchange->server;
    Connection *c = exchange->connection;
    if (c != NULL) {
        GfExchange_AddHeader(exchange, "Content-Type", type);
        c->exchange = NULL;
        c->close_after_answer = !exchange->request.keep_alive ||
                                server->stopping || server->draining;
        Connection_Answer(c, status, &exchange->answer_headers, data, len);
    }
    remove_exchange(exchange);
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
    Connection *c = exchange->connection;
    exchange->answered = true;
    remove_exchange(exchange);
    if (c != NULL) {
        Connection_Close(c);
    }
}

/* Passes the request that a connection has read to the handler, as an
 * exchange. The handler may answer it or drop it at once. */
void
Server_Dispatch(Connection *c)
{
    GfServer *server = c->server;
    GfExchange *exchange = calloc(1, sizeof(*exchange));
    if (exchange == NULL) {
        abort();
    }
    exchange->server = server;
    exchange->connection = c;
    exchange->request = c->request;
    TAILQ_INIT(&exchange->request.headers);
    TAILQ_CONCAT(&exchange->request.headers, &c->request.headers, next);
    Request_Init(&c->request);
    exchange->uri = evhttp_uri_parse_with_flags(exchange->request.url.data,
                                                EVHTTP_URI_NONCONFORMANT);
    TAILQ_INIT(&exchange->query);
    TAILQ_INIT(&exchange->answer_headers);
    c->exchange = exchange;
    server->open++;
    DL_APPEND(server->exchanges, exchange);
    server->handler(server->ctx, exchange);
}

/* Returns the connection that holds most of the requests that are being
 * read. */
static Connection *
find_largest(const GfServer *server)
{
    Connection *largest = NULL;
    Connection *c;
    DL_FOREACH(server->waiting, c)
    {
        if (largest == NULL ||
            c->request.held_bytes > largest->request.held_bytes) {
            largest = c;
        }
    }
    return largest;
}

/* Refuses requests that are being read while they hold more than allowed, the
 * largest first. c is the connection that reads now. */
void
Server_Held(GfServer *server, Connection *c)
{
    while (server->held_bytes > server->max_held_bytes && c->refusal == 0) {
        Connection *largest = find_largest(server);
        if (largest == NULL || largest->request.held_bytes == 0) {
            return;
        }
        Connection_Refuse(largest, STATUS_UNAVAILABLE);
    }
}

/* Logs how many clients were refused since the last such line, unless one was
 * written less than LOG_INTERVAL_MS ago. */
static void
log_refusals(GfServer *server)
{
    if (evtimer_pending(server->log_timer, NULL)) {
        return;
    }
    GfLog(GF_LOG_INFO, PART,
          "clients refused port=%u requests=%u evicted=%u open=%u",
          server->port, server->refused, server->evicted,
          server->connection_count);
    server->refused = 0;
    server->evicted = 0;
    struct timeval interval = GfTime_ToTimeval(LOG_INTERVAL_MS);
    evtimer_add(server->log_timer, &interval);
}

/* Timer callback: logs what was counted since the last line. */
static void
on_log_interval(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    GfServer *server = arg;
    if (server->refused > 0 || server->evicted > 0) {
        log_refusals(server);
    }
}

/* Counts a request that was refused before the handler saw it. */
void
Server_CountRefusal(GfServer *server)
{
    GfMetrics_Add(GF_METRIC_REQUESTS_UNREAD, 1);
    server->refused++;
    log_refusals(server);
}

/* Callback of the listener for a new connection. With as many open as
 * allowed, the one that has been inactive for longest is closed. */
static void
on_accept(void *ctx, evutil_socket_t fd)
{
    GfServer *server = ctx;
    if (server->connection_count >= server->max_connections &&
        server->waiting != NULL) {
        GfMetrics_Add(GF_METRIC_CONNECTIONS_EVICTED, 1);
        server->evicted++;
        log_refusals(server);
        Connection_Close(server->waiting);
    }
    Connection_Open(server, fd);
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
    server->base = base;
    server->handler = handler;
    server->ctx = ctx;
    server->port = port;
    server->max_body_bytes = max_body_bytes;
    GfServer_SetLimits(server, &(GfServerLimits){0});
    GfListenerConfig config = {.address = address,
                               .port = port,
                               .receive_buffer_bytes = RECEIVE_BUFFER_BYTES,
                               .send_buffer_bytes = SEND_BUFFER_BYTES};
    server->listener =
        GfListener_Create(base, &config, on_accept, server, error);
    if (server->listener == NULL) {
        free(server);
        return NULL;
    }
    server->log_timer = evtimer_new(base, on_log_interval, server);
    return server;
}

/* Sets the limits for all connections together; a limit of 0 is the default.
 * Connections above the limit stay open until others are accepted. */
void
GfServer_SetLimits(GfServer *server, const GfServerLimits *limits)
{
    server->max_connections = GfListener_MaxConnections(
        limits->max_connections > 0 ? limits->max_connections
                                    : GF_SERVER_MAX_CONNECTIONS,
        GF_LISTENER_SHARE);
    server->max_held_bytes = limits->max_held_bytes > 0
                                 ? limits->max_held_bytes
                                 : GF_SERVER_MAX_HELD_BYTES;
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
    server->stopping = true;
    GfListener_Destroy(server->listener);
    server->listener = NULL;
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
    GfListener_Destroy(server->listener);
    server->listener = NULL;
    event_free(server->log_timer);
    while (server->handled != NULL) {
        Connection_Close(server->handled);
    }
    while (server->waiting != NULL) {
        Connection_Close(server->waiting);
    }
    while (server->exchanges != NULL) {
        remove_exchange(server->exchanges);
    }
    free(server);
}
