/* The parts of the HTTP server. A connection reads one request at a time with
 * http_parser, hands it to the handler as an exchange, and reads on only once
 * its answer is written: what a client sends ahead stays in the read-ahead and
 * in the kernel's receive buffer, which are small.
 *
 * Two limits hold for all connections together. With max_connections open, the
 * one that has been inactive for longest is closed for a new one. When the
 * requests that are being read hold more than max_held_bytes, the largest of
 * them is refused. Connections whose exchange is open are exempt from both. */
#ifndef GUAVAFLOW_NET_SERVER_PRIVATE_H
#define GUAVAFLOW_NET_SERVER_PRIVATE_H

#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <http_parser.h>

#include "guavaflow/listener.h"
#include "guavaflow/server.h"

/* What a connection waits for. */
typedef enum {
    CONNECTION_READING,   /* the rest of a request, or a request */
    CONNECTION_HANDLED,   /* the handler's answer */
    CONNECTION_WRITING,   /* the client to take the answer */
    CONNECTION_LINGERING, /* the client to close; its input is discarded */
} ConnectionState;

/* Bytes that arrive in parts. size is what is allocated. */
typedef struct {
    char *data;
    size_t len;
    size_t size;
} Text;

/* A request: the connection's while it is being read, then the exchange's. */
typedef struct {
    Text url;
    Text field; /* name of the header that is being read */
    Text value;
    Text body;
    struct evkeyvalq headers;
    size_t header_count;
    size_t header_bytes; /* with the URL */
    bool in_value;       /* the last part read was of a value */
    bool complete;
    bool keep_alive;
    enum http_method method;
    size_t held_bytes; /* counted by the server */
} Request;

typedef struct Connection {
    GfServer *server;
    struct bufferevent *bev; /* NULL once closed */
    http_parser parser;
    ConnectionState state;
    Request request;
    size_t discarded_bytes; /* while lingering */
    int refusal;            /* status to answer to what was read; 0: none */
    bool in_use;            /* on the stack: freed by the caller */
    bool close_after_answer;
    GfExchange *exchange; /* while the state is HANDLED */
    struct Connection *next;
    struct Connection *prev;
} Connection;

struct GfServer {
    struct event_base *base;
    GfListener *listener; /* NULL once stopped */
    GfServerHandler handler;
    void *ctx;
    size_t max_body_bytes;
    uint32_t max_connections;
    size_t max_held_bytes;
    uint32_t connection_count;
    size_t held_bytes;
    Connection *waiting; /* by last activity, the oldest first */
    Connection *handled; /* with an open exchange */
    uint32_t handled_count;
    int open; /* number of exchanges */
    GfExchange *exchanges;
    uint16_t port;
    uint32_t refused;        /* requests, since the last log line */
    uint32_t evicted;        /* connections, since then */
    struct event *log_timer; /* pending while no further line is due */
    bool stopping;
    bool draining;
};

struct GfExchange {
    GfServer *server;
    Connection *connection; /* NULL once the client disconnected */
    Request request;
    struct evhttp_uri *uri; /* NULL if the URL is malformed */
    struct evkeyvalq query;
    bool query_parsed;
    struct evkeyvalq answer_headers;
    bool answered;
    GfExchange *next;
    GfExchange *prev;
};

void Connection_Open(GfServer *server, evutil_socket_t fd);
void Connection_Close(Connection *connection);
void Connection_Refuse(Connection *connection, int status);
void Connection_Answer(Connection *connection, int status,
                       const struct evkeyvalq *headers, const char *data,
                       size_t len);

void Request_Init(Request *request);
void Request_Clear(GfServer *server, Request *request);
GfStr Request_TakeBody(GfServer *server, Request *request);

void Server_Dispatch(Connection *connection);
void Server_Detach(GfExchange *exchange);
void Server_Held(GfServer *server, Connection *connection);
void Server_CountRefusal(GfServer *server);

#endif
