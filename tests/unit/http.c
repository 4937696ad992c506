#include "guavaflow/http.h"

#include <string.h>

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include "suite.h"

#define PORT 31757

/* A server that writes fixed bytes to whoever asks. */
typedef struct {
    struct event_base *base;
    struct evconnlistener *listener;
    GfHttp *http;
    const char *answer;
    bool close_after;
    struct bufferevent *open[8];
    int connections;
    int done;
    GfHttpResult result;
    char body[64];
} Server;

static void
on_server_read(struct bufferevent *bev, void *arg)
{
    Server *s = arg;
    struct evbuffer *in = bufferevent_get_input(bev);
    if (evbuffer_search(in, "\r\n\r\n", 4, NULL).pos < 0) {
        return;
    }
    evbuffer_drain(in, evbuffer_get_length(in));
    if (s->answer != NULL) {
        bufferevent_write(bev, s->answer, strlen(s->answer));
    }
    if (s->close_after) {
        shutdown(bufferevent_getfd(bev), SHUT_RD);
        bufferevent_flush(bev, EV_WRITE, BEV_FINISHED);
        evbuffer_write(bufferevent_get_output(bev), bufferevent_getfd(bev));
        for (int i = 0; i < s->connections; i++) {
            s->open[i] = s->open[i] == bev ? NULL : s->open[i];
        }
        bufferevent_free(bev);
    }
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
          struct sockaddr *address, int len, void *arg)
{
    (void)address;
    (void)len;
    Server *s = arg;
    struct bufferevent *bev = bufferevent_socket_new(
        evconnlistener_get_base(listener), fd, BEV_OPT_CLOSE_ON_FREE);
    s->open[s->connections++ % 8] = bev;
    bufferevent_setcb(bev, on_server_read, NULL, NULL, s);
    bufferevent_enable(bev, EV_READ | EV_WRITE);
}

static void
open_server(Server *s, bool listens)
{
    memset(s, 0, sizeof(*s));
    s->base = event_base_new();
    s->http = GfHttp_Create(s->base);
    if (listens) {
        struct sockaddr_in sin = {.sin_family = AF_INET,
                                  .sin_port = htons(PORT)};
        inet_pton(AF_INET, "127.0.0.1", &sin.sin_addr);
        s->listener = evconnlistener_new_bind(
            s->base, on_accept, s, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
            16, (struct sockaddr *)&sin, sizeof(sin));
        CU_ASSERT_PTR_NOT_NULL_FATAL(s->listener);
    }
}

static void
close_server(Server *s)
{
    for (int i = 0; i < 8; i++) {
        if (s->open[i] != NULL) {
            bufferevent_free(s->open[i]);
        }
    }
    if (s->listener != NULL) {
        evconnlistener_free(s->listener);
    }
    GfHttp_Destroy(s->http);
    event_base_free(s->base);
}

static void
on_result(void *arg, const GfHttpResult *result)
{
    Server *s = arg;
    s->done++;
    s->result = *result;
    size_t len = result->body_len < sizeof(s->body) ? result->body_len : 0;
    memset(s->body, 0, sizeof(s->body));
    if (result->kind == GF_OK && len > 0) {
        memcpy(s->body, result->body, len);
    }
}

/* Makes one call and waits for its outcome. */
static void
get(Server *s, int timeout_ms)
{
    int before = s->done;
    GfHttpCall call = {.address = "127.0.0.1",
                       .port = PORT,
                       .method = EVHTTP_REQ_GET,
                       .path = "/",
                       .timeout_ms = timeout_ms};
    GfHttp_Start(s->http, &call, on_result, s);
    while (s->done == before) {
        event_base_loop(s->base, EVLOOP_ONCE);
    }
}

/* A whole answer is taken and its connection used again. */
static void
test_whole(void)
{
    Server s;
    open_server(&s, true);
    s.answer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";
    get(&s, 1000);
    CU_ASSERT_EQUAL(s.result.kind, GF_OK);
    CU_ASSERT_STRING_EQUAL(s.body, "hello");
    get(&s, 1000);
    CU_ASSERT_EQUAL(s.result.kind, GF_OK);
    CU_ASSERT_EQUAL(s.connections, 1);
    close_server(&s);
}

/* A connection that was refused carried nothing. */
static void
test_refused(void)
{
    Server s;
    open_server(&s, false);
    get(&s, 1000);
    CU_ASSERT_EQUAL(s.result.kind, GF_CONNECTION_LOST);
    CU_ASSERT_FALSE(s.result.sent);
    close_server(&s);
}

/* An answer that is cut, or does not state its length, is an error, and so is
 * none at all: the call may have had its effect. */
static void
test_cut(void)
{
    static const char *const ANSWERS[] = {
        "", "HTTP/1.1 200 OK\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\n\r\nhello", "nonsense\r\n\r\n"};
    for (size_t i = 0; i < sizeof(ANSWERS) / sizeof(ANSWERS[0]); i++) {
        Server s;
        open_server(&s, true);
        s.answer = ANSWERS[i];
        s.close_after = true;
        get(&s, 1000);
        CU_ASSERT_NOT_EQUAL(s.result.kind, GF_OK);
        CU_ASSERT_TRUE(s.result.sent);
        close_server(&s);
    }
}

/* A connection whose call timed out is not used again. */
static void
test_timeout(void)
{
    Server s;
    open_server(&s, true);
    get(&s, 150);
    CU_ASSERT_EQUAL(s.result.kind, GF_TIMEOUT);
    CU_ASSERT_TRUE(s.result.sent);
    s.answer = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nnew";
    get(&s, 1000);
    CU_ASSERT_STRING_EQUAL(s.body, "new");
    CU_ASSERT_EQUAL(s.connections, 2);
    close_server(&s);
}

/* After a timeout the connections that were idle are not trusted either. */
static void
test_silent_pool(void)
{
    Server s;
    open_server(&s, true);
    s.answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    GfHttpCall call = {.address = "127.0.0.1",
                       .port = PORT,
                       .method = EVHTTP_REQ_GET,
                       .path = "/",
                       .timeout_ms = 1000};
    GfHttp_Start(s.http, &call, on_result, &s);
    get(&s, 1000);
    while (s.done < 2) {
        event_base_loop(s.base, EVLOOP_ONCE);
    }
    CU_ASSERT_EQUAL(s.connections, 2);
    s.answer = NULL;
    get(&s, 150);
    CU_ASSERT_EQUAL(s.result.kind, GF_TIMEOUT);
    s.answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    get(&s, 1000);
    CU_ASSERT_EQUAL(s.result.kind, GF_OK);
    CU_ASSERT_EQUAL(s.connections, 3);
    close_server(&s);
}

static const SuiteTest TESTS[] = {{"whole", test_whole},
                                  {"refused", test_refused},
                                  {"cut", test_cut},
                                  {"timeout", test_timeout},
                                  {"silent pool", test_silent_pool}};

SUITE_MAIN("http", TESTS)
