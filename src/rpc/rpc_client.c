#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <rpc/rpc.h>
#include <uthash.h>

#include "guavaflow/log.h"
#include "guavaflow/rpc.h"
#include "record.h"

#define PART "rpc"
#define ADDRESS_BYTES 64
/* Upper bound of the size of a call message without its arguments. */
#define CALL_HEADER_BYTES 512
/* Pause after a failure before the next attempt to connect. */
#define RECONNECT_MS 100
#define GRACE_MS 20

/* A call in flight. */
typedef struct Pending {
    GfRpcClient *client;
    uint32_t xid;
    const GfRpcProcedure *procedure;
    size_t result_bytes;
    struct timespec started;
    struct event *timer;
    bool in_grace;
    GfRpcCallback callback;
    void *arg;
    UT_hash_handle hh;
} Pending;

struct GfRpcClient {
    struct event_base *base;
    char address[ADDRESS_BYTES];
    uint16_t port;
    const GfRpcProgram *program;
    const GfClock *clock;
    struct bufferevent *bev;
    bool connected;
    struct timespec last_read;
    struct timespec last_failure;
    bool has_failed;
    uint32_t next_xid;
    uint64_t replacements;
    Pending *pending;
};

/* Creates a client for a program at an IPv4 address and a port; it connects
 * with the first call. Borrows base, program and clock; GfRpcClient_Destroy
 * frees the client. */
GfRpcClient *
GfRpcClient_Create(struct event_base *base, const char *address, uint16_t port,
                   const GfRpcProgram *program, const GfClock *clock)
{
    assert(base != NULL && address != NULL && program != NULL);
    GfRpcClient *client = calloc(1, sizeof(*client));
    if (client == NULL) {
        abort();
    }
    client->base = base;
    snprintf(client->address, sizeof(client->address), "%s", address);
    client->port = port;
    client->program = program;
    client->clock = clock;
    evutil_secure_rng_get_bytes(&client->next_xid, sizeof(client->next_xid));
    return client;
}

/* Completes a call: removes it from the hash table, frees it and runs its
 * callback. */
static void
complete(Pending *p, const GfRpcOutcome *outcome)
{
    HASH_DEL(p->client->pending, p);
    event_free(p->timer);
    GfRpcCallback callback = p->callback;
    void *arg = p->arg;
    free(p);
    callback(arg, outcome);
}

/* Closes the connection and completes every call in flight with
 * GF_CONNECTION_LOST. */
static void
close_connection(GfRpcClient *client)
{
    GfRpcOutcome outcome = {.kind = GF_CONNECTION_LOST};
    outcome.sent = client->connected;
    if (client->bev != NULL) {
        bufferevent_free(client->bev);
        client->bev = NULL;
    }
    client->connected = false;
    client->last_failure = GfClock_Now(client->clock);
    client->has_failed = true;
    /* Calls that the callbacks start now must not be completed too, so the
     * hash table is emptied and gets back one call at a time for complete. */
    Pending *all = client->pending;
    Pending *p;
    Pending *tmp;
    client->pending = NULL;
    HASH_ITER(hh, all, p, tmp)
    {
        HASH_DEL(all, p);
        HASH_ADD(hh, client->pending, xid, sizeof(p->xid), p);
        complete(p, &outcome);
    }
}

/* Placeholder for the result procedure of a reply message; decodes nothing.
 * The result is decoded after the transaction id has given its type. */
static bool_t
skip_result(XDR *in, ...)
{
    (void)in;
    return TRUE;
}

/* Decodes a reply and completes the call with its transaction id. A reply to
 * no call in flight is late and is dropped. Returns false if the record is
 * not a reply message. */
static bool
handle_record(GfRpcClient *client, char *data, size_t len)
{
    XDR in;
    xdrmem_create(&in, data, (u_int)len, XDR_DECODE);
    struct rpc_msg msg;
    memset(&msg, 0, sizeof(msg));
    char verf[MAX_AUTH_BYTES];
    msg.acpted_rply.ar_verf.oa_base = verf;
    msg.acpted_rply.ar_results.proc = skip_result;
    bool valid = xdr_replymsg(&in, &msg) && msg.rm_direction == REPLY;
    Pending *p = NULL;
    if (valid) {
        uint32_t xid = msg.rm_xid;
        HASH_FIND(hh, client->pending, &xid, sizeof(xid), p);
    }
    if (p != NULL) {
        GfRpcOutcome outcome = {.kind = GF_PROTOCOL, .sent = true};
        void *result = calloc(1, p->result_bytes + 1);
        if (result == NULL) {
            abort();
        }
        xdrproc_t xdr = p->procedure->xdr_result;
        if (msg.rm_reply.rp_stat == MSG_ACCEPTED &&
            msg.acpted_rply.ar_stat == SUCCESS && xdr(&in, result)) {
            outcome.kind = GF_OK;
            outcome.result = result;
        }
        complete(p, &outcome);
        xdr_free(xdr, result);
        free(result);
    }
    xdr_destroy(&in);
    return valid;
}

/* Callback of libevent: handles all complete records that have arrived. */
static void
on_read(struct bufferevent *bev, void *arg)
{
    GfRpcClient *client = arg;
    client->last_read = GfClock_Now(client->clock);
    while (client->bev == bev) {
        char *data = NULL;
        size_t len = 0;
        RecordState state = Record_Read(bufferevent_get_input(bev),
                                        GF_RPC_MAX_RECORD_BYTES, &data, &len);
        if (state == RECORD_PARTIAL) {
            return;
        }
        bool valid = state == RECORD_WHOLE && handle_record(client, data, len);
        free(data);
        if (!valid && client->bev == bev) {
            GfLog(GF_LOG_WARNING, PART,
                  "malformed record from a peer, connection closed");
            close_connection(client);
            return;
        }
    }
}

/* Callback of libevent for a connection that was established or closed. */
static void
on_event(struct bufferevent *bev, short what, void *arg)
{
    (void)bev;
    GfRpcClient *client = arg;
    if (what & BEV_EVENT_CONNECTED) {
        client->connected = true;
        return;
    }
    close_connection(client);
}

/* Timer callback: completes a call that has timed out. If nothing was received
 * since the call started, the connection is taken for dead and closed; the
 * next call opens a new one. */
static void
on_timeout(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    Pending *p = arg;
    GfRpcClient *client = p->client;
    if (!p->in_grace) {
        /* If this process was paused, the answer may have arrived without
         * having been read yet: allow GRACE_MS to read it. */
        p->in_grace = true;
        struct timeval grace = GfTime_ToTimeval(GRACE_MS);
        evtimer_add(p->timer, &grace);
        return;
    }
    GfRpcOutcome outcome = {.kind = GF_TIMEOUT, .sent = true};
    bool nothing_received = GfTime_Before(client->last_read, p->started);
    complete(p, &outcome);
    if (nothing_received && client->bev != NULL) {
        GfLog(GF_LOG_INFO, PART,
              "connection silent until a call timed out, closed address=%s:%u",
              client->address, client->port);
        client->replacements++;
        close_connection(client);
    }
}

/* Starts connecting. Returns false if that fails or if the connection failed
 * less than RECONNECT_MS ago. */
static bool
start_connecting(GfRpcClient *client)
{
    struct timespec now = GfClock_Now(client->clock);
    if (client->has_failed &&
        GfTime_DiffMs(now, client->last_failure) < RECONNECT_MS) {
        return false;
    }
    struct sockaddr_in sin;
    memset(&sin, 0, sizeof(sin));
    sin.sin_family = AF_INET;
    sin.sin_port = htons(client->port);
    if (inet_pton(AF_INET, client->address, &sin.sin_addr) != 1) {
        return false;
    }
    client->bev =
        bufferevent_socket_new(client->base, -1, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(client->bev, on_read, NULL, on_event, client);
    bufferevent_enable(client->bev, EV_READ | EV_WRITE);
    client->last_read = now;
    if (bufferevent_socket_connect(client->bev, (struct sockaddr *)&sin,
                                   sizeof(sin)) != 0) {
        if (client->bev != NULL) {
            bufferevent_free(client->bev);
            client->bev = NULL;
        }
        client->last_failure = now;
        client->has_failed = true;
        return false;
    }
    return true;
}

/* Writes the call message and its arguments to the connection. Returns false
 * if they cannot be encoded; nothing was written then. */
static bool
write_call(GfRpcClient *client, const Pending *p, void *args)
{
    size_t max_message_bytes =
        CALL_HEADER_BYTES + xdr_sizeof(p->procedure->xdr_args, args);
    char *data = malloc(max_message_bytes);
    if (data == NULL) {
        abort();
    }
    struct rpc_msg msg;
    memset(&msg, 0, sizeof(msg));
    msg.rm_xid = p->xid;
    msg.rm_direction = CALL;
    msg.rm_call.cb_rpcvers = RPC_MSG_VERSION;
    msg.rm_call.cb_prog = client->program->program;
    msg.rm_call.cb_vers = client->program->version;
    msg.rm_call.cb_proc = p->procedure->number;
    msg.rm_call.cb_cred = _null_auth;
    msg.rm_call.cb_verf = _null_auth;
    XDR out;
    xdrmem_create(&out, data, (u_int)max_message_bytes, XDR_ENCODE);
    bool encoded =
        xdr_callmsg(&out, &msg) && p->procedure->xdr_args(&out, args);
    if (encoded) {
        Record_Write(bufferevent_get_output(client->bev), data,
                     xdr_getpos(&out));
    }
    xdr_destroy(&out);
    free(data);
    return encoded;
}

/* Starts a call of a procedure. args is encoded before this function returns;
 * result_bytes is the size of the procedure's result type. The callback runs
 * exactly once, unless the client is destroyed first: from the event loop or,
 * if the call cannot be sent, before this function returns. */
void
GfRpcClient_Start(GfRpcClient *client, uint32_t procedure, void *args,
                  size_t result_bytes, int timeout_ms, GfRpcCallback callback,
                  void *arg)
{
    assert(client != NULL && args != NULL && callback != NULL);
    GfRpcOutcome refused = {.kind = GF_CONNECTION_LOST, .sent = false};
    if (client->bev == NULL && !start_connecting(client)) {
        callback(arg, &refused);
        return;
    }
    Pending *p = calloc(1, sizeof(*p));
    if (p == NULL) {
        abort();
    }
    p->client = client;
    p->xid = client->next_xid++;
    p->procedure = GfRpcProgram_Find(client->program, procedure);
    assert(p->procedure != NULL);
    p->result_bytes = result_bytes;
    p->started = GfClock_Now(client->clock);
    p->callback = callback;
    p->arg = arg;
    p->timer = evtimer_new(client->base, on_timeout, p);
    struct timeval limit = GfTime_ToTimeval(timeout_ms);
    evtimer_add(p->timer, &limit);
    HASH_ADD(hh, client->pending, xid, sizeof(p->xid), p);
    if (!write_call(client, p, args)) {
        refused.kind = GF_PROTOCOL;
        complete(p, &refused);
    }
}

/* Returns the number of connections closed because a call on them timed out
 * without anything being received. */
uint64_t
GfRpcClient_ReplacedConnections(const GfRpcClient *client)
{
    return client->replacements;
}

/* Closes the connection and frees the client; NULL is allowed. Callbacks of
 * calls still in flight do not run. */
void
GfRpcClient_Destroy(GfRpcClient *client)
{
    if (client == NULL) {
        return;
    }
    Pending *p;
    Pending *tmp;
    HASH_ITER(hh, client->pending, p, tmp)
    {
        HASH_DEL(client->pending, p);
        event_free(p->timer);
        free(p);
    }
    if (client->bev != NULL) {
        bufferevent_free(client->bev);
    }
    free(client);
}
