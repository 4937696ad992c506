/* The HTTP server. The tests guard against requests that are misread when they
 * arrive in several segments, against leaks or crashes when a client
 * disconnects before it is answered or a connection is dropped, and against
 * clients that use up memory or connections at the cost of others. */
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

/* The request of a client that has disconnected can still be read. */
static void
test_request_outlives_client(void)
{
    ServerFixture f;
    create_fixture(&f);
    f.hold = true;
    struct bufferevent *bev = open_connection(&f);
    bufferevent_write(bev, REQUEST, strlen(REQUEST));
    run(&f, 10);
    CU_ASSERT_PTR_NOT_NULL_FATAL(f.held);
    bufferevent_free(bev);
    run(&f, 10);
    CU_ASSERT_STRING_EQUAL(GfExchange_Path(f.held), "/jobs/0123456789abcdef");
    CU_ASSERT_STRING_EQUAL(GfExchange_Header(f.held, "Host"), "a.example");
    GfStr body = GfExchange_TakeBody(f.held);
    CU_ASSERT_STRING_EQUAL(body.data, "hello");
    GfStr_Clear(&body);
    GfExchange_Drop(f.held);
    CU_ASSERT_EQUAL(GfServer_OpenExchanges(f.server), 0);
    destroy_fixture(&f);
}

/* Counts the occurrences of a text in the input, which is discarded. */
static int
count_text(struct bufferevent *bev, const char *text)
{
    struct evbuffer *in = bufferevent_get_input(bev);
    int count = 0;
    struct evbuffer_ptr at = evbuffer_search(in, text, strlen(text), NULL);
    while (at.pos >= 0) {
        count++;
        evbuffer_ptr_set(in, &at, 1, EVBUFFER_PTR_ADD);
        at = evbuffer_search(in, text, strlen(text), &at);
    }
    evbuffer_drain(in, evbuffer_get_length(in));
    return count;
}

/* Requests that are sent ahead are answered one by one, and not read while one
 * waits for its answer. */
static void
test_sent_ahead(void)
{
    ServerFixture f;
    create_fixture(&f);
    f.hold = true;
    struct bufferevent *bev = open_connection(&f);
    for (int i = 0; i < 200; i++) {
        bufferevent_write(bev, REQUEST, strlen(REQUEST));
    }
    run(&f, 20);
    CU_ASSERT_EQUAL(f.handled, 1);
    f.hold = false;
    GfExchange_Reply(f.held, 200, "text/plain", "good", 4);
    int answers = 0;
    for (int i = 0; i < 200 && answers < 200; i++) {
        run(&f, 5);
        answers += count_text(bev, "good");
    }
    CU_ASSERT_EQUAL(answers, 200);
    CU_ASSERT_EQUAL(f.handled, 200);
    bufferevent_free(bev);
    run(&f, 5);
    destroy_fixture(&f);
}

/* Sends a text on a connection of its own and returns whether the answer
 * contains the expected text, and what is passed to the handler. */
static bool
answers(ServerFixture *f, const char *text, const char *expected)
{
    struct bufferevent *bev = open_connection(f);
    bufferevent_write(bev, text, strlen(text));
    bool found = wait_for_text(f, bev, expected);
    bufferevent_free(bev);
    run(f, 5);
    return found;
}

/* A request that is too long or malformed is refused before the handler sees
 * it, with the status that says why. */
static void
test_refused_requests(void)
{
    ServerFixture f;
    create_fixture(&f);
    static char long_header[20000];
    snprintf(long_header, sizeof(long_header), "GET / HTTP/1.1\r\nA: ");
    size_t len = strlen(long_header);
    memset(long_header + len, 'x', sizeof(long_header) - len - 1);
    static char many_headers[2000] = "GET / HTTP/1.1\r\n";
    for (int i = 0; i < 200; i++) {
        strcat(many_headers, "A: b\r\n");
    }
    CU_ASSERT_TRUE(answers(
        &f, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1025\r\n\r\n",
        " 413 "));
    CU_ASSERT_TRUE(answers(&f,
                           "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: "
                           "99999999999\r\n\r\n",
                           " 413 "));
    static char chunk[2000] = "POST / HTTP/1.1\r\nHost: a\r\n"
                              "Transfer-Encoding: chunked\r\n\r\n500\r\n";
    len = strlen(chunk);
    memset(chunk + len, 'x', 1100);
    CU_ASSERT_TRUE(answers(&f, chunk, " 413 "));
    CU_ASSERT_TRUE(answers(&f, long_header, " 431 "));
    CU_ASSERT_TRUE(answers(&f, many_headers, " 431 "));
    CU_ASSERT_TRUE(answers(&f, "nonsense\r\n\r\n", " 400 "));
    CU_ASSERT_TRUE(
        answers(&f, "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", " 400 "));
    CU_ASSERT_EQUAL(f.handled, 0);
    CU_ASSERT_TRUE(answers(&f, REQUEST, "good"));
    destroy_fixture(&f);
}

/* Usual forms of requests are served: a chunked body, one that waits for 100
 * Continue, HTTP/1.0, HEAD, and one that ends its connection. */
static void
test_forms(void)
{
    ServerFixture f;
    create_fixture(&f);
    CU_ASSERT_TRUE(answers(&f,
                           "POST /c HTTP/1.1\r\nHost: a\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n"
                           "3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n",
                           "good"));
    CU_ASSERT_STRING_EQUAL(f.body, "hello");
    CU_ASSERT_TRUE(answers(&f,
                           "POST / HTTP/1.1\r\nHost: a\r\nExpect: "
                           "100-continue\r\nContent-Length: 5\r\n\r\n",
                           "HTTP/1.1 100 Continue\r\n\r\n"));
    CU_ASSERT_TRUE(answers(&f, "GET / HTTP/1.0\r\n\r\n", "good"));
    CU_ASSERT_STRING_EQUAL(f.host, "-");
    CU_ASSERT_TRUE(answers(&f, "HEAD / HTTP/1.1\r\nHost: a\r\n\r\n",
                           "Length: 4\r\n\r\n"));
    CU_ASSERT_STRING_EQUAL(f.method, "OTHER");
    CU_ASSERT_TRUE(
        answers(&f, "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
                "Connection: close"));
    CU_ASSERT_TRUE(
        answers(&f, "GET /a?x=2&y=3 HTTP/1.1\r\nHost:\r\n\r\n", "good"));
    CU_ASSERT_STRING_EQUAL(f.path, "/a");
    CU_ASSERT_STRING_EQUAL(f.query, "2");
    CU_ASSERT_STRING_EQUAL(f.host, "");
    destroy_fixture(&f);
}

#define SILENT_CLIENTS 40

/* Opens connections that send a part of a request. */
static void
open_silent(ServerFixture *f, struct bufferevent **clients, const char *text)
{
    for (int i = 0; i < SILENT_CLIENTS; i++) {
        clients[i] = open_connection(f);
        bufferevent_write(clients[i], text, strlen(text));
    }
    run(f, 50);
}

/* Closes the connections. */
static void
close_silent(struct bufferevent **clients)
{
    for (int i = 0; i < SILENT_CLIENTS; i++) {
        bufferevent_free(clients[i]);
    }
}

/* With as many connections open as allowed, one that is inactive gives way to
 * a new one, and one that waits for its answer does not. */
static void
test_connection_limit(void)
{
    ServerFixture f;
    create_fixture(&f);
    GfServer_SetLimits(f.server, &(GfServerLimits){.max_connections = 8});
    f.hold = true;
    struct bufferevent *first = open_connection(&f);
    bufferevent_write(first, REQUEST, strlen(REQUEST));
    run(&f, 10);
    CU_ASSERT_PTR_NOT_NULL_FATAL(f.held);
    f.hold = false;
    struct bufferevent *clients[SILENT_CLIENTS];
    open_silent(&f, clients, "GET /");
    CU_ASSERT_TRUE(answers(&f, REQUEST, "good"));
    GfExchange_Reply(f.held, 200, "text/plain", "kept", 4);
    CU_ASSERT_TRUE(wait_for_text(&f, first, "kept"));
    close_silent(clients);
    bufferevent_free(first);
    run(&f, 10);
    destroy_fixture(&f);
}

/* While all connections wait for their answers, a further one waits to be
 * accepted, and is served after them. */
static void
test_all_connections_wait(void)
{
    ServerFixture f;
    create_fixture(&f);
    GfServer_SetLimits(f.server, &(GfServerLimits){.max_connections = 1});
    f.hold = true;
    struct bufferevent *first = open_connection(&f);
    bufferevent_write(first, REQUEST, strlen(REQUEST));
    run(&f, 10);
    GfExchange *held = f.held;
    struct bufferevent *second = open_connection(&f);
    bufferevent_write(second, REQUEST, strlen(REQUEST));
    run(&f, 10);
    CU_ASSERT_EQUAL(f.handled, 1);
    f.hold = false;
    GfExchange_Reply(held, 200, "text/plain", "kept", 4);
    CU_ASSERT_TRUE(wait_for_text(&f, first, "kept"));
    CU_ASSERT_TRUE(wait_for_text(&f, second, "good"));
    bufferevent_free(first);
    bufferevent_free(second);
    run(&f, 10);
    destroy_fixture(&f);
}

/* When requests that are being read hold more memory than allowed, the largest
 * of them are answered with 503, and small ones are served. */
static void
test_held_limit(void)
{
    ServerFixture f;
    create_fixture(&f);
    GfServer_SetLimits(f.server, &(GfServerLimits){.max_held_bytes = 20000});
    static char text[1100] =
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1024\r\n\r\n";
    size_t len = strlen(text);
    memset(text + len, 'x', 1000);
    struct bufferevent *clients[SILENT_CLIENTS];
    open_silent(&f, clients, text);
    int refused = 0;
    for (int i = 0; i < SILENT_CLIENTS; i++) {
        refused += has_text(clients[i], " 503 ") ? 1 : 0;
    }
    CU_ASSERT_TRUE(refused > 0 && refused < SILENT_CLIENTS);
    CU_ASSERT_TRUE(answers(&f, REQUEST, "good"));
    close_silent(clients);
    run(&f, 10);
    destroy_fixture(&f);
}

static const SuiteTest TESTS[] = {
    {"pieces", test_pieces},
    {"caller leaves", test_caller_leaves},
    {"drain", test_drain},
    {"drop", test_drop},
    {"request outlives client", test_request_outlives_client},
    {"sent ahead", test_sent_ahead},
    {"refused requests", test_refused_requests},
    {"forms", test_forms},
    {"connection limit", test_connection_limit},
    {"all connections wait", test_all_connections_wait},
    {"held limit", test_held_limit}};

SUITE_MAIN("server", TESTS)
