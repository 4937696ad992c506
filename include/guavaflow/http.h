/* HTTP client on the event loop, with a pool of keep-alive connections for
 * each address. A connection carries one call at a time; after a timeout or a
 * failure it is closed and never used again. A connection without calls is
 * closed after some time. */
#ifndef GUAVAFLOW_HTTP_H
#define GUAVAFLOW_HTTP_H

#include <event2/event.h>
#include <event2/http.h>
#include <jansson.h>

#include "guavaflow/error.h"
#include "guavaflow/name.h"

#define GF_HTTP_ID_HEADER "X-Request-Id"

typedef struct GfHttp GfHttp;

/* The outcome of a call. kind is GF_OK if a complete answer arrived, whatever
 * its status; GF_TIMEOUT, GF_CONNECTION_LOST, or GF_PROTOCOL if the answer was
 * incomplete. A call that waited too long for a connection has timed out and
 * was not sent. sent is false only if no byte of the call left this process.
 * status, request_id (the answer's X-Request-Id, or NULL) and body are set
 * only if kind is GF_OK, and so is label: the callback may set it to what it
 * knows of the process at the other end, and it stays with the connection for
 * as long as that is open. */
typedef struct {
    GfErrorKind kind;
    bool sent;
    int status;
    const char *request_id;
    const char *body;
    size_t body_len;
    int64_t *label; /* of the connection; 0 at first */
} GfHttpResult;

/* Receives the outcome, whose texts are valid during the call only. */
typedef void (*GfHttpCallback)(void *arg, const GfHttpResult *result);

typedef struct {
    const char *name;
    const char *value;
} GfHttpHeader;

/* A call to start. All texts are borrowed until GfHttp_Start returns. */
typedef struct {
    const char *address;
    uint16_t port;
    enum evhttp_cmd_type method;
    const char *path; /* with the query, URL-encoded */
    const char *host; /* for the Host header; NULL: address and port */
    const GfHttpHeader *headers;
    size_t header_count;
    const char *body;
    size_t body_len;
    int timeout_ms; /* from when it is sent */
    int pool; /* calls to a server share connections within a pool only */
    int max_connections; /* above 0: with so many of the pool open, it waits
                            for one */
    int queue_ms;        /* longest such wait; it is then not sent */
    int idle_ms;         /* above 0: its connection is closed after this time
                            without a call */
    bool urgent;         /* sent before others that wait */
    int progress_ms; /* above 0: a call whose answer is arriving at its timeout
                        goes on until nothing has arrived for this long, or
                        as long again has passed */
} GfHttpCall;

GfHttp *GfHttp_Create(struct event_base *base);
void GfHttp_Destroy(GfHttp *http);
void GfHttp_Start(GfHttp *http, const GfHttpCall *call,
                  GfHttpCallback callback, void *arg);
void GfHttp_PostJson(GfHttp *http, const char *address, uint16_t port,
                     const char *path, json_t *body, int timeout_ms,
                     GfHttpCallback callback, void *arg);
void GfHttp_DropWaiting(GfHttp *http);
void GfHttp_AbandonOlder(GfHttp *http, const char *address, uint16_t port);
int64_t GfHttp_NextLabel(GfHttp *http, const char *address, uint16_t port,
                         int pool);
json_t *GfHttp_ParseJson(const GfHttpResult *result);

#endif
