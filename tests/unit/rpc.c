/* RPC between peers over TCP. The tests guard against answers that reach the
 * wrong call, calls reported as not sent that may have had an effect, and a
 * server that malformed records bring down. Such failures arise when answers
 * are reordered, late or missing, and when other programs connect. */
#include "guavaflow/rpc.h"

#include <string.h>

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include "../../src/rpc/peer_xdr.h"
#include "suite.h"

#define PORT 31755

/* A server, a client, and what each of them has seen. */
typedef struct {
    struct event_base *base;
    GfRpcServer *server;
    GfRpcClient *client;
    GfRpcCall *held; /* a call to answer later */
    bool hold;       /* hold the next call */
    int calls;
    int answers;
    GfErrorKind last_kind;
    bool last_sent;
    uint64_t last_version;
} Peer;

static void handle_heartbeat(void *ctx, GfRpcCall *call, void *args);

static const GfRpcProcedure PROCEDURES[] = {
    {GFX_BEAT, (xdrproc_t)xdr_gfx_beat, sizeof(gfx_beat),
     (xdrproc_t)xdr_gfx_beat_reply, handle_heartbeat}};
static const GfRpcProgram PROGRAM = {.program = GFX_PEER,
                                     .version = GFX_PEER_V1,
                                     .procedures = PROCEDURES,
                                     .procedure_count = 1};

/* Answers a call with a control version. */
static void
reply(GfRpcCall *call, uint64_t version)
{
    gfx_beat_reply result = {.member = "m", .control_version = version};
    GfRpcCall_Reply(call, &result);
}

/* Answers a heartbeat with the control version that it holds, or holds the
 * first one back. */
static void
handle_heartbeat(void *ctx, GfRpcCall *call, void *args)
{
    Peer *p = ctx;
    const gfx_beat *heartbeat = args;
    p->calls++;
    if (p->hold && p->held == NULL) {
        p->held = call;
        return;
    }
    reply(call, heartbeat->control_version);
}

/* Records the outcome of a call. */
static void
on_answer(void *arg, const GfRpcOutcome *outcome)
{
    Peer *p = arg;
    p->answers++;
    p->last_kind = outcome->kind;
    p->last_sent = outcome->sent;
    if (outcome->kind == GF_OK) {
        const gfx_beat_reply *result = outcome->result;
        p->last_version = result->control_version;
    }
}

/* Creates a client and, if with_server is set, the server. */
static void
open_peer(Peer *p, bool with_server)
{
    memset(p, 0, sizeof(*p));
    p->base = event_base_new();
    GfError error;
    if (with_server) {
        p->server = GfRpcServer_Create(p->base, "127.0.0.1", PORT, &PROGRAM, p,
                                       &error);
        CU_ASSERT_PTR_NOT_NULL_FATAL(p->server);
    }
    p->client = GfRpcClient_Create(p->base, "127.0.0.1", PORT, &PROGRAM,
                                   GfClock_System());
}

/* Frees the client and the server. */
static void
close_peer(Peer *p)
{
    GfRpcClient_Destroy(p->client);
    GfRpcServer_Destroy(p->server);
    event_base_free(p->base);
}

/* Sends a heartbeat with a control version. */
static void
call(Peer *p, uint64_t version, int timeout_ms)
{
    gfx_beat heartbeat;
    memset(&heartbeat, 0, sizeof(heartbeat));
    heartbeat.member = "caller";
    heartbeat.control_version = version;
    GfRpcClient_Start(p->client, GFX_BEAT, &heartbeat, sizeof(gfx_beat_reply),
                      timeout_ms, on_answer, p);
}

/* Runs the event loop until this many calls have an outcome, at most 3 s. */
static void
run(Peer *p, int answers)
{
    struct timeval limit = {.tv_sec = 3};
    event_base_loopexit(p->base, &limit);
    do {
        event_base_loop(p->base, EVLOOP_ONCE);
    } while (p->answers < answers && !event_base_got_exit(p->base));
}

/* Answers that arrive in another order than the calls reach their own calls.
 */
static void
test_reordered(void)
{
    Peer p;
    open_peer(&p, true);
    p.hold = true;
    call(&p, 1, 2000);
    call(&p, 2, 2000);
    run(&p, 1);
    CU_ASSERT_EQUAL(p.last_version, 2);
    reply(p.held, 1);
    run(&p, 2);
    CU_ASSERT_EQUAL(p.last_version, 1);
    close_peer(&p);
}

/* A call to a peer that refuses the connection is reported as not sent. */
static void
test_not_sent(void)
{
    Peer p;
    open_peer(&p, false);
    call(&p, 1, 1000);
    run(&p, 1);
    CU_ASSERT_EQUAL(p.last_kind, GF_CONNECTION_LOST);
    CU_ASSERT_FALSE(p.last_sent);
    close_peer(&p);
}

/* A call without an answer times out and is reported as sent. Its connection
 * is replaced, and its late answer does not reach another call. */
static void
test_silent(void)
{
    Peer p;
    open_peer(&p, true);
    p.hold = true;
    call(&p, 1, 200);
    run(&p, 1);
    CU_ASSERT_EQUAL(p.last_kind, GF_TIMEOUT);
    CU_ASSERT_TRUE(p.last_sent);
    CU_ASSERT_EQUAL(GfRpcClient_ReplacedConnections(p.client), 1);
    reply(p.held, 1);
    struct timeval pause = {.tv_usec = 150000};
    event_base_loopexit(p.base, &pause);
    event_base_dispatch(p.base);
    call(&p, 7, 1000);
    run(&p, 2);
    CU_ASSERT_EQUAL(p.last_kind, GF_OK);
    CU_ASSERT_EQUAL(p.last_version, 7);
    close_peer(&p);
}

/* Notes that the server closed the connection. */
static void
on_raw_event(struct bufferevent *bev, short what, void *arg)
{
    (void)bev;
    if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) {
        *(bool *)arg = true;
    }
}

/* Discards what the server sends. */
static void
on_raw_read(struct bufferevent *bev, void *arg)
{
    (void)arg;
    evbuffer_drain(bufferevent_get_input(bev),
                   evbuffer_get_length(bufferevent_get_input(bev)));
}

/* Sends raw bytes on a new connection; returns whether the server closed it
 * within 100 ms. */
static bool
send_raw(Peer *p, const void *data, size_t len)
{
    struct sockaddr_in sin = {.sin_family = AF_INET, .sin_port = htons(PORT)};
    inet_pton(AF_INET, "127.0.0.1", &sin.sin_addr);
    bool closed = false;
    struct bufferevent *bev =
        bufferevent_socket_new(p->base, -1, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(bev, on_raw_read, NULL, on_raw_event, &closed);
    bufferevent_enable(bev, EV_READ | EV_WRITE);
    bufferevent_socket_connect(bev, (struct sockaddr *)&sin, sizeof(sin));
    bufferevent_write(bev, data, len);
    struct timeval pause = {.tv_usec = 100000};
    event_base_loopexit(p->base, &pause);
    event_base_dispatch(p->base);
    bufferevent_free(bev);
    return closed;
}

/* Malformed and oversized records close their connection, truncated ones wait
 * for the rest; the server keeps serving others. */
static void
test_bad_records(void)
{
    Peer p;
    open_peer(&p, true);
    CU_ASSERT_TRUE(send_raw(&p, "\xff\xff\xff\xff", 4));
    CU_ASSERT_TRUE(send_raw(&p, "\x00\x00\x00\x00", 4));
    CU_ASSERT_TRUE(send_raw(&p, "\x80\x00\x00\x04garb", 8));
    CU_ASSERT_TRUE(send_raw(&p, "GET / HTTP/1.1\r\n\r\n", 18));
    CU_ASSERT_FALSE(send_raw(&p, "\x80\x00\x00\x40half", 8));
    /* A call with truncated arguments is rejected, not handled. */
    const char truncated[] = "\x80\x00\x00\x2c"
                             "\x00\x00\x00\x09\x00\x00\x00\x00\x00\x00\x00\x02"
                             "\x20\x00\x47\x46\x00\x00\x00\x01\x00\x00\x00\x01"
                             "\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00"
                             "\x00\x00\x00\x00\x00\x00\xff\xff";
    send_raw(&p, truncated, sizeof(truncated) - 1);
    CU_ASSERT_EQUAL(p.calls, 0);
    call(&p, 3, 1000);
    run(&p, 1);
    CU_ASSERT_EQUAL(p.last_kind, GF_OK);
    CU_ASSERT_EQUAL(p.last_version, 3);
    close_peer(&p);
}

static const SuiteTest TESTS[] = {{"crossed", test_reordered},
                                  {"not sent", test_not_sent},
                                  {"silent", test_silent},
                                  {"bad records", test_bad_records}};

SUITE_MAIN("rpc", TESTS)
