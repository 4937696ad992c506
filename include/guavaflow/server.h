/* HTTP server on the event loop. Each request becomes an exchange, which is
 * answered exactly once, within the handler or later. That holds also if the
 * client has disconnected meanwhile; the answer is then dropped.
 *
 * A connection has one request at a time; the next one is read when the answer
 * is written. A request that is too long or malformed is answered with a 4xx
 * status before the handler sees it, and its connection is closed. */
#ifndef GUAVAFLOW_SERVER_H
#define GUAVAFLOW_SERVER_H

#include <event2/event.h>
#include <jansson.h>

#include "guavaflow/error.h"
#include "guavaflow/name.h"

#define GF_SERVER_MAX_CONNECTIONS 1000
#define GF_SERVER_MAX_HELD_BYTES (16 * 1024 * 1024)

typedef struct GfServer GfServer;
typedef struct GfExchange GfExchange;

/* Limits for all connections of a server together. A connection that waits
 * for its answer counts, and is not closed for others. */
typedef struct {
    uint32_t max_connections; /* with so many open, the one inactive for
                                 longest is closed for a new one; at most a
                                 quarter of the descriptors of the process */
    size_t max_held_bytes;    /* memory for requests that are being read; above
                                 it, the largest are answered with 503 */
} GfServerLimits;

/* Handles a request. Answering or dropping the exchange frees it. Until then
 * the request can be read, also when the client has disconnected. */
typedef void (*GfServerHandler)(void *ctx, GfExchange *exchange);

GfServer *GfServer_Create(struct event_base *base, const char *address,
                          uint16_t port, size_t max_body_bytes,
                          GfServerHandler handler, void *ctx, GfError *error);
void GfServer_SetLimits(GfServer *server, const GfServerLimits *limits);
void GfServer_BeginDrain(GfServer *server);
void GfServer_StopAccepting(GfServer *server);
int GfServer_OpenExchanges(const GfServer *server);
void GfServer_Destroy(GfServer *server);

const char *GfExchange_Method(const GfExchange *exchange);
const char *GfExchange_Path(const GfExchange *exchange);
const char *GfExchange_Query(const GfExchange *exchange, const char *name);
const char *GfExchange_Header(const GfExchange *exchange, const char *name);
GfStr GfExchange_Body(const GfExchange *exchange);
GfStr GfExchange_TakeBody(GfExchange *exchange);
void GfExchange_AddHeader(GfExchange *exchange, const char *name,
                          const char *value);
void GfExchange_Reply(GfExchange *exchange, int status, const char *type,
                      const char *data, size_t len);
void GfExchange_ReplyJson(GfExchange *exchange, int status, json_t *body);
void GfExchange_Drop(GfExchange *exchange);

#endif
