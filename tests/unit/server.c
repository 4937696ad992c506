/* The HTTP server. The tests guard against requests that are misread when they
 * arrive in several segments, and against leaks or crashes when a client
 * disconnects before it is answered or a connection is dropped. */
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

/* The server, and the latest request that its handler has seen. */
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
} ServerFixture;

/* Copies a text into a buffer of size bytes; NULL becomes "-". */
static void
copy_text(char *to, size_t size, const char *from)
{
    snprintf(to, size, "%s", from == NULL ? "-" : from);
}

/* Records a request and answers it, or holds it for the test. */
static void
on_request(void *ctx, GfExchange *exchange)
{
    ServerFixture *f = ctx;
    f->handled++;
    copy_text(f->method, sizeof(f->method), GfExchange_Method(exchange));
    copy_text(f->path, sizeof(f->path), GfExchange_Path(exchange));
    copy_text(f->query, sizeof(f->query), GfExchange_Query(exchange, "x"));
    copy_text(f->host, sizeof(f->host), GfExchange_Header(exchange, "Host"));
    copy_text(f->key, sizeof(f->key),
              GfExchange_Header(exchange, "X-Api-Key"));
    GfStr body = GfExchange_Body(exchange);
    copy_text(f->body, sizeof(f->body), body.data);
    GfStr_Clear(&body);
    if (f->hold) {
        f->held = exchange;
        return;
    }
    GfExchange_Reply(exchange, 200, "text/plain", "good", 4);
}

/* Creates the server with a limit of 1024 bytes for bodies. */
static void
create_fixture(ServerFixture *f)
{
    memset(f, 0, sizeof(*f));
    f->base = event_base_new();
    GfError error;
    f->server = GfServer_Create(f->base, "127.0.0.1", PORT, 1024, on_request,
                                f, &error);
    CU_ASSERT_PTR_NOT_NULL_FATAL(f->server);
}

/* Frees the server. */
static void
destroy_fixture(ServerFixture *f)
{
    GfServer_Destroy(f->server);
    event_base_free(f->base);
}

/* Runs the event loop for a time below 1000 ms. */
static void
run(ServerFixture *f, int ms)
{
    struct timeval tv = {.tv_usec = ms * 1000};
    event_base_loopexit(f->base, &tv);
    event_base_dispatch(f->base);
}

/* Starts to connect to the server; the caller frees the result. */
static struct bufferevent *
open_connection(ServerFixture *f)
{
    struct sockaddr_in sin = {.sin_family = AF_INET, .sin_port = htons(PORT)};
    inet_pton(AF_INET, "127.0.0.1", &sin.sin_addr);
    struct bufferevent *bev =
        bufferevent_socket_new(f->base, -1, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_enable(bev, EV_READ | EV_WRITE);
    bufferevent_socket_connect(bev, (struct sockaddr *)&sin, sizeof(sin));
    return bev;
}

/* Waits until the text has arrived, at most a second; then discards the input
 * and returns true. */
static bool
wait_for_text(ServerFixture *f, struct bufferevent *bev, const char *text)
{
    struct evbuffer *in = bufferevent_get_input(bev);
    for (int i = 0; i < 500; i++) {
        if (evbuffer_search(in, text, strlen(text), NULL).pos >= 0) {
            evbuffer_drain(in, evbuffer_get_length(in));
            return true;
        }
        run(f, 2);
    }
    return false;
}

/* Tells whether the text has arrived, and discards the input. */
static bool
has_text(struct bufferevent *bev, const char *text)
{
    struct evbuffer *in = bufferevent_get_input(bev);
    bool found = evbuffer_search(in, text, strlen(text), NULL).pos >= 0;
    evbuffer_drain(in, evbuffer_get_length(in));
    return found;
}

/* A request that arrives in two segments, divided at any byte, is read as it
 * was sent. */
static void
test_pieces(void)
{
    ServerFixture f;
    create_fixture(&f);
    struct bufferevent *bev = open_connection(&f);
    size_t len = strlen(REQUEST);
    for (size_t split = 1; split < len; split++) {
        bufferevent_write(bev, REQUEST, split);
        run(&f, 2);
        bufferevent_write(bev, REQUEST + split, len - split);
        CU_ASSERT_TRUE(wait_for_text(&f, bev, "good"));
        CU_ASSERT_STRING_EQUAL(f.path, "/jobs/0123456789abcdef");
        CU_ASSERT_STRING_EQUAL(f.query, "1");
        CU_ASSERT_STRING_EQUAL(f.method, "POST");
        CU_ASSERT_STRING_EQUAL(f.host, "a.example");
        CU_ASSERT_STRING_EQUAL(f.key, "k");
        CU_ASSERT_STRING_EQUAL(f.body, "hello");
    }
    CU_ASSERT_EQUAL(f.handled, (int)len - 1);
    bufferevent_free(bev);
    run(&f, 5);
    destroy_fixture(&f);
}

/* An answer to a client that has disconnected is discarded, and its exchange
 * is freed. */
static void
test_caller_leaves(void)
{
    ServerFixture f;
    create_fixture(&f);
    f.hold = true;
    struct bufferevent *bev = open_connection(&f);
    bufferevent_write(bev, REQUEST, strlen(REQUEST));
    run(&f, 10);
    CU_ASSERT_EQUAL(GfServer_OpenExchanges(f.server), 1);
    bufferevent_free(bev);
    run(&f, 10);
    CU_ASSERT_PTR_NOT_NULL_FATAL(f.held);
    GfExchange_Reply(f.held, 200, "text/plain", "late", 4);
    run(&f, 10);
    CU_ASSERT_EQUAL(GfServer_OpenExchanges(f.server), 0);
    destroy_fixture(&f);
}

/* While draining, requests on new connections are answered with "Connection:
 * close". */
static void
test_drain(void)
{
    ServerFixture f;
    create_fixture(&f);
    GfServer_BeginDrain(f.server);
    struct bufferevent *bev = open_connection(&f);
    bufferevent_write(bev, REQUEST, strlen(REQUEST));
    CU_ASSERT_TRUE(wait_for_text(&f, bev, "Connection: close"));
    bufferevent_free(bev);
    run(&f, 5);
    destroy_fixture(&f);
}

/* A dropped exchange closes its connection without an answer. */
static void
test_drop(void)
{
    ServerFixture f;
    create_fixture(&f);
    f.hold = true;
    struct bufferevent *bev = open_connection(&f);
    bufferevent_write(bev, REQUEST, strlen(REQUEST));
    run(&f, 10);
    CU_ASSERT_PTR_NOT_NULL_FATAL(f.held);
    GfExchange_Drop(f.held);
    run(&f, 10);
    CU_ASSERT_FALSE(has_text(bev, "HTTP"));
    CU_ASSERT_EQUAL(GfServer_OpenExchanges(f.server), 0);
    bufferevent_free(bev);
    destroy_fixture(&f);
}

static const SuiteTest TESTS[] = {{"pieces", test_pieces},
                                  {"caller leaves", test_caller_leaves},
                                  {"drain", test_drain},
                                  {"drop", test_drop}};

SUITE_MAIN("server", TESTS)
