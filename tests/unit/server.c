/* The HTTP server: requests arrive in pieces, callers leave, connections are
 * asked to close. */
#include "guavaflow/server.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include "suite.h"

#define PORT 31758
#define REQUEST                                                               \
    "POST /jobs/0123456789abcdef?x=1 HTTP/1.1\r\nHost: a.example\r\n"         \
    "X-Api-Key: k\r\nContent-Length: 5\r\n\r\nhello"

typedef struct {
    struct event_base *base;
    GfServer *server;
    GfExchange *held;
    bool hold;
    int handled;
    char method[16];
    char path[128];
    char query[16];
    char host[64];
    char key[16];
    char body[64];
} World;

/* Copies what the handler sees; an absent text becomes "-". */
static void
keep(char *to, size_t room, const char *from)
{
    snprintf(to, room, "%s", from == NULL ? "-" : from);
}

static void
on_request(void *ctx, GfExchange *exchange)
{
    World *w = ctx;
    w->handled++;
    keep(w->method, sizeof(w->method), GfExchange_Method(exchange));
    keep(w->path, sizeof(w->path), GfExchange_Path(exchange));
    keep(w->query, sizeof(w->query), GfExchange_Query(exchange, "x"));
    keep(w->host, sizeof(w->host), GfExchange_Header(exchange, "Host"));
    keep(w->key, sizeof(w->key), GfExchange_Header(exchange, "X-Api-Key"));
    GfStr body = GfExchange_Body(exchange);
    keep(w->body, sizeof(w->body), body.data);
    GfStr_Clear(&body);
    if (w->hold) {
        w->held = exchange;
        return;
    }
    GfExchange_Reply(exchange, 200, "text/plain", "good", 4);
}

static void
open_world(World *w)
{
    memset(w, 0, sizeof(*w));
    w->base = event_base_new();
    GfError error;
    w->server = GfServer_Create(w->base, "127.0.0.1", PORT, 1024, on_request,
                                w, &error);
    CU_ASSERT_PTR_NOT_NULL_FATAL(w->server);
}

static void
close_world(World *w)
{
    GfServer_Destroy(w->server);
    event_base_free(w->base);
}

/* Runs the loop for a while. */
static void
run(World *w, int ms)
{
    struct timeval tv = {.tv_usec = ms * 1000};
    event_base_loopexit(w->base, &tv);
    event_base_dispatch(w->base);
}

/* Opens a connection. */
static struct bufferevent *
dial(World *w)
{
    struct sockaddr_in sin = {.sin_family = AF_INET, .sin_port = htons(PORT)};
    inet_pton(AF_INET, "127.0.0.1", &sin.sin_addr);
    struct bufferevent *bev =
        bufferevent_socket_new(w->base, -1, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_enable(bev, EV_READ | EV_WRITE);
    bufferevent_socket_connect(bev, (struct sockaddr *)&sin, sizeof(sin));
    return bev;
}

/* Waits for an answer with a text, at most a second, and takes it. */
static bool
await(World *w, struct bufferevent *bev, const char *text)
{
    struct evbuffer *in = bufferevent_get_input(bev);
    for (int i = 0; i < 500; i++) {
        if (evbuffer_search(in, text, strlen(text), NULL).pos >= 0) {
            evbuffer_drain(in, evbuffer_get_length(in));
            return true;
        }
        run(w, 2);
    }
    return false;
}

/* Tells whether an answer with a text has arrived, and takes it. */
static bool
got(struct bufferevent *bev, const char *text)
{
    struct evbuffer *in = bufferevent_get_input(bev);
    bool found = evbuffer_search(in, text, strlen(text), NULL).pos >= 0;
    evbuffer_drain(in, evbuffer_get_length(in));
    return found;
}

/* A request that is cut in two at any byte is read as it was sent. */
static void
test_pieces(void)
{
    World w;
    open_world(&w);
    struct bufferevent *bev = dial(&w);
    size_t len = strlen(REQUEST);
    for (size_t cut = 1; cut < len; cut++) {
        bufferevent_write(bev, REQUEST, cut);
        run(&w, 2);
        bufferevent_write(bev, REQUEST + cut, len - cut);
        CU_ASSERT_TRUE(await(&w, bev, "good"));
        CU_ASSERT_STRING_EQUAL(w.path, "/jobs/0123456789abcdef");
        CU_ASSERT_STRING_EQUAL(w.query, "1");
        CU_ASSERT_STRING_EQUAL(w.method, "POST");
        CU_ASSERT_STRING_EQUAL(w.host, "a.example");
        CU_ASSERT_STRING_EQUAL(w.key, "k");
        CU_ASSERT_STRING_EQUAL(w.body, "hello");
    }
    CU_ASSERT_EQUAL(w.handled, (int)len - 1);
    bufferevent_free(bev);
    run(&w, 5);
    close_world(&w);
}

/* An answer to a caller that has left is dropped. */
static void
test_caller_leaves(void)
{
    World w;
    open_world(&w);
    w.hold = true;
    struct bufferevent *bev = dial(&w);
    bufferevent_write(bev, REQUEST, strlen(REQUEST));
    run(&w, 10);
    CU_ASSERT_EQUAL(GfServer_OpenExchanges(w.server), 1);
    bufferevent_free(bev);
    run(&w, 10);
    CU_ASSERT_PTR_NOT_NULL_FATAL(w.held);
    GfExchange_Reply(w.held, 200, "text/plain", "late", 4);
    run(&w, 10);
    CU_ASSERT_EQUAL(GfServer_OpenExchanges(w.server), 0);
    close_world(&w);
}

/* While draining, new connections are served and told to close. */
static void
test_drain(void)
{
    World w;
    open_world(&w);
    GfServer_BeginDrain(w.server);
    struct bufferevent *bev = dial(&w);
    bufferevent_write(bev, REQUEST, strlen(REQUEST));
    CU_ASSERT_TRUE(await(&w, bev, "Connection: close"));
    bufferevent_free(bev);
    run(&w, 5);
    close_world(&w);
}

/* A connection can be closed without an answer. */
static void
test_drop(void)
{
    World w;
    open_world(&w);
    w.hold = true;
    struct bufferevent *bev = dial(&w);
    bufferevent_write(bev, REQUEST, strlen(REQUEST));
    run(&w, 10);
    CU_ASSERT_PTR_NOT_NULL_FATAL(w.held);
    GfExchange_Drop(w.held);
    run(&w, 10);
    CU_ASSERT_FALSE(got(bev, "HTTP"));
    CU_ASSERT_EQUAL(GfServer_OpenExchanges(w.server), 0);
    bufferevent_free(bev);
    close_world(&w);
}

static const SuiteTest TESTS[] = {{"pieces", test_pieces},
                                  {"caller leaves", test_caller_leaves},
                                  {"drain", test_drain},
                                  {"drop", test_drop}};

SUITE_MAIN("server", TESTS)
