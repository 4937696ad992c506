#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include <event2/bufferevent.h>
#include <rpc/rpc.h>
#include <utlist.h>

#include "guavaflow/listener.h"
#include "guavaflow/log.h"
#include "guavaflow/metrics.h"
#include "guavaflow/rpc.h"
#include "record.h"

#define PART "rpc"
#define RECEIVE_BUFFER_BYTES (64 * 1024)
/* With so many connections open, the one that sent its last call longest ago
 * is closed for a new one. */
#define MAX_CONNECTIONS 600
/* Memory for records that have arrived in part, of all connections. Above it,
 * the connection that holds most is closed. */
#define MAX_HELD_BYTES (4 * GF_RPC_MAX_RECORD_BYTES)
/* A connection with so many bytes of replies to write, or so many calls that
 * are not answered, is not read. */
#define MAX_OUTPUT_BYTES (64 * 1024)
#define MAX_OPEN_CALLS 4096
/* Upper bound of the size of a reply message without its result. */
#define REPLY_HEADER_BYTES 512

/* A client's connection. Its reference count is one while it is open, plus
 * one for each call not answered yet; at 0 it is freed. */
typedef struct Connection {
    GfRpcServer *server;
    struct bufferevent *bev; /* NULL once closed */
    int references;
    size_t held_bytes; /* of records that have arrived in part */
    struct Connection *next;
    struct Connection *prev;
} Connection;

struct GfRpcServer {
    const GfRpcProgram *program;
    void *ctx;
    GfListener *listener;    /* NULL once stopped */
    Connection *connections; /* by their last call, the oldest first */
    uint32_t connection_count;
    uint32_t max_connections;
    size_t held_bytes;
    struct event_base *base;
};

struct GfRpcCall {
    Connection *connection;
    const GfRpcProcedure *procedure;
    uint32_t xid;
};

/* Releases a reference to the connection. */
static void
release_connection(Connection *c)
{
    c->references--;
    if (c->references == 0) {
        free(c);
    }
}

/* Closes the connection unless it is closed already. Answers to calls that are
 * still open are then dropped. */
static void
close_connection(Connection *c)
{
    if (c->bev == NULL) {
        return;
    }
    bufferevent_free(c->bev);
    c->bev = NULL;
    DL_DELETE(c->server->connections, c);
    c->server->connection_count--;
    c->server->held_bytes -= c->held_bytes;
    release_connection(c);
}

/* Writes a reply message to the connection. If result is not NULL, xdr gives
 * its size; the message's own result procedure encodes it. */
static void
write_reply(Connection *c, struct rpc_msg *reply, xdrproc_t xdr, void *result)
{
    size_t max_message_bytes =
        REPLY_HEADER_BYTES + (result == NULL ? 0 : xdr_sizeof(xdr, result));
    char *data = malloc(max_message_bytes);
    if (data == NULL) {
        abort();
    }
    XDR out;
    xdrmem_create(&out, data, (u_int)max_message_bytes, XDR_ENCODE);
    if (xdr_replymsg(&out, reply)) {
        Record_Write(bufferevent_get_output(c->bev), data, xdr_getpos(&out));
    }
    else {
        GfLog(GF_LOG_ERROR, PART,
              "reply to a call cannot be encoded, dropped");
    }
    xdr_destroy(&out);
    free(data);
}

/* Returns whether calls of a connection are read: not while the client leaves
 * too many replies unread, or too many calls are open. */
static bool
may_read(const Connection *c)
{
    return evbuffer_get_length(bufferevent_get_output(c->bev)) <=
               MAX_OUTPUT_BYTES &&
           c->references <= MAX_OPEN_CALLS;
}

/* Answers a call with a result, which stays the caller's, and frees the call.
 * The answer is dropped if the connection has closed. */
void
GfRpcCall_Reply(GfRpcCall *call, void *result)
{
    assert(call != NULL && result != NULL);
    Connection *c = call->connection;
    if (c->bev != NULL) {
        struct rpc_msg reply;
        memset(&reply, 0, sizeof(reply));
        reply.rm_xid = call->xid;
        reply.rm_direction = REPLY;
        reply.rm_reply.rp_stat = MSG_ACCEPTED;
        reply.acpted_rply.ar_verf = _null_auth;
        reply.acpted_rply.ar_stat = SUCCESS;
        reply.acpted_rply.ar_results.where = result;
        reply.acpted_rply.ar_results.proc = call->procedure->xdr_result;
        write_reply(c, &reply, call->procedure->xdr_result, result);
    }
    release_connection(c);
    free(call);
}

/* Rejects a call of an unknown program or procedure, or with malformed
 * arguments. */
static void
reject_call(Connection *c, uint32_t xid, enum accept_stat stat)
{
    struct rpc_msg reply;
    memset(&reply, 0, sizeof(reply));
    reply.rm_xid = xid;
    reply.rm_direction = REPLY;
    reply.rm_reply.rp_stat = MSG_ACCEPTED;
    reply.acpted_rply.ar_verf = _null_auth;
    reply.acpted_rply.ar_stat = stat;
    write_reply(c, &reply, NULL, NULL);
}

/* Decodes the arguments of a call and passes it to the procedure's handler;
 * rejects the call if they are malformed. */
static void
dispatch(Connection *c, XDR *in, const GfRpcProcedure *procedure, uint32_t xid)
{
    void *args = calloc(1, procedure->args_bytes + 1);
    GfRpcCall *call = calloc(1, sizeof(*call));
    if (args == NULL || call == NULL) {
        abort();
    }
    if (!procedure->xdr_args(in, args)) {
        GfLog(GF_LOG_WARNING, PART, "call rejected, malformed arguments");
        reject_call(c, xid, GARBAGE_ARGS);
        free(call);
    }
    else {
        *call = (GfRpcCall){.connection = c, .procedure = procedure};
        call->xid = xid;
        c->references++;
        procedure->handle(c->server->ctx, call, args);
    }
    xdr_free(procedure->xdr_args, args);
    free(args);
}

/* Decodes a call message and answers or dispatches the call. Returns false if
 * the record is not a call message; the connection must then be closed. */
static bool
handle_record(Connection *c, char *data, size_t len)
{
    XDR in;
    xdrmem_create(&in, data, (u_int)len, XDR_DECODE);
    struct rpc_msg msg;
    memset(&msg, 0, sizeof(msg));
    char cred[MAX_AUTH_BYTES];
    char verf[MAX_AUTH_BYTES];
    msg.rm_call.cb_cred.oa_base = cred;
    msg.rm_call.cb_verf.oa_base = verf;
    bool valid = xdr_callmsg(&in, &msg) && msg.rm_direction == CALL;
    if (valid) {
        const GfRpcProgram *program = c->server->program;
        const GfRpcProcedure *procedure =
            GfRpcProgram_Find(program, msg.rm_call.cb_proc);
        if (msg.rm_call.cb_prog != program->program ||
            msg.rm_call.cb_vers != program->version) {
            reject_call(c, msg.rm_xid, PROG_UNAVAIL);
        }
        else if (procedure == NULL) {
            reject_call(c, msg.rm_xid, PROC_UNAVAIL);
        }
        else {
            dispatch(c, &in, procedure, msg.rm_xid);
        }
    }
    xdr_destroy(&in);
    return valid;
}

/* Counts what a connection holds of a record that has arrived in part. While
 * all hold more than allowed, closes the one that holds most. */
static void
count_held(Connection *c)
{
    GfRpcServer *server = c->server;
    size_t held = evbuffer_get_length(bufferevent_get_input(c->bev));
    server->held_bytes += held - c->held_bytes;
    c->held_bytes = held;
    while (server->held_bytes > MAX_HELD_BYTES) {
        Connection *largest = server->connections;
        Connection *other;
        DL_FOREACH(server->connections, other)
        {
            if (other->held_bytes > largest->held_bytes) {
                largest = other;
            }
        }
        GfMetrics_Add(GF_METRIC_CONNECTIONS_EVICTED, 1);
        close_connection(largest);
    }
}

/* Handles all complete records that have arrived, as long as the connection
 * may be read. */
static void
handle_input(Connection *c)
{
    c->references++;
    while (c->bev != NULL && may_read(c)) {
        char *data = NULL;
        size_t len = 0;
        RecordState state = Record_Read(bufferevent_get_input(c->bev),
                                        GF_RPC_MAX_RECORD_BYTES, &data, &len);
        if (state == RECORD_PARTIAL) {
            break;
        }
        if (state == RECORD_BAD || !handle_record(c, data, len)) {
            GfLog(GF_LOG_WARNING, PART,
                  "malformed record from a client, connection closed");
            close_connection(c);
        }
        else if (c->bev != NULL && c->next != NULL) {
            DL_DELETE(c->server->connections, c);
            DL_APPEND(c->server->connections, c);
        }
        free(data);
    }
    if (c->bev != NULL) {
        if (!may_read(c)) {
            bufferevent_disable(c->bev, EV_READ);
        }
        count_held(c);
    }
    release_connection(c);
}

/* Callback of libevent for input. */
static void
on_read(struct bufferevent *bev, void *arg)
{
    (void)bev;
    handle_input(arg);
}

/* Callback of libevent for replies that are wholly written: reads the
 * connection again if that was put off. */
static void
on_write(struct bufferevent *bev, void *arg)
{
    Connection *c = arg;
    if ((bufferevent_get_enabled(bev) & EV_READ) == 0 && may_read(c)) {
        bufferevent_enable(bev, EV_READ);
        handle_input(c);
    }
}

/* Callback of libevent for a connection that the client closed or that
 * failed. */
static void
on_event(struct bufferevent *bev, short what, void *arg)
{
    (void)bev;
    if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) {
        close_connection(arg);
    }
}

/* Callback of the listener for a new connection. */
static void
on_accept(void *ctx, evutil_socket_t fd)
{
    GfRpcServer *server = ctx;
    if (server->connection_count >= server->max_connections) {
        GfMetrics_Add(GF_METRIC_CONNECTIONS_EVICTED, 1);
        close_connection(server->connections);
    }
    Connection *c = calloc(1, sizeof(*c));
    if (c == NULL) {
        abort();
    }
    c->server = server;
    c->references = 1;
    c->bev = bufferevent_socket_new(server->base, fd, BEV_OPT_CLOSE_ON_FREE);
    if (c->bev == NULL) {
        abort();
    }
    DL_APPEND(server->connections, c);
    server->connection_count++;
    bufferevent_setcb(c->bev, on_read, on_write, on_event, c);
    bufferevent_enable(c->bev, EV_READ | EV_WRITE);
}

/* Creates a server for one program that listens on an IPv4 address and a port.
 * Handlers get ctx. Returns NULL and sets error to GF_BAD_CONFIG if the
 * address is malformed or cannot be bound. Borrows base and program;
 * GfRpcServer_Destroy frees the server. */
GfRpcServer *
GfRpcServer_Create(struct event_base *base, const char *address, uint16_t port,
                   const GfRpcProgram *program, void *ctx, GfError *error)
{
    assert(base != NULL && address != NULL && program != NULL);
    GfRpcServer *server = calloc(1, sizeof(*server));
    if (server == NULL) {
        abort();
    }
    server->base = base;
    server->program = program;
    server->ctx = ctx;
    server->max_connections =
        GfListener_MaxConnections(MAX_CONNECTIONS, GF_LISTENER_SHARE);
    GfListenerConfig config = {.address = address,
                               .port = port,
                               .receive_buffer_bytes = RECEIVE_BUFFER_BYTES};
    server->listener =
        GfListener_Create(base, &config, on_accept, server, error);
    if (server->listener == NULL) {
        free(server);
        return NULL;
    }
    return server;
}

/* Closes the listening socket; open connections are kept. */
void
GfRpcServer_StopAccepting(GfRpcServer *server)
{
    GfListener_Destroy(server->listener);
    server->listener = NULL;
}

/* Closes all connections and frees the server; NULL is allowed. Calls not
 * answered by then may still be answered; the answers are dropped. */
void
GfRpcServer_Destroy(GfRpcServer *server)
{
    if (server == NULL) {
        return;
    }
    GfRpcServer_StopAccepting(server);
    Connection *c;
    Connection *tmp;
    DL_FOREACH_SAFE(server->connections, c, tmp)
    {
        close_connection(c);
    }
    free(server);
}
