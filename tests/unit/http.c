/* The HTTP client. The tests guard against truncated answers that count as
 * whole, calls reported as not sent that may have had an effect, and late
 * answers that are taken for those of a later call. Such failures arise when a
 * server closes connections, does not answer, or answers late. */
#include "guavaflow/http.h"

#include <string.h>

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include "guavaflow/clock.h"
#include "suite.h"

#define PORT 31757
#define PIECE_MS 20

/* A server that answers every request with the same bytes (NULL: not at all),
 * the client under test, and the outcome of the latest call. */
typedef struct {
    struct event_base *base;
    struct evconnlistener *listener;
    GfHttp *http;
    const char *answer;
    bool close_after;
    int pieces; /* above 0: bytes of the body that follow, one each PIECE_MS */
    struct event *piece_timer;
    struct bufferevent *piece_to;
    struct bufferevent *open[8];
    int connections;
    int done;
    GfHttpResult result;
    char body[64];
} Server;

/* Sends the next byte of the body. */
static void
on_piece(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    Server *s = arg;
    if (s->pieces > 0) {
        s->pieces--;
        bufferevent_write(s->piece_to, "x", 1);
        struct timeval tv = {.tv_usec = PIECE_MS * 1000};
        evtimer_add(s->piece_timer, &tv);
    }
}

/* Answers once the headers of a request are complete, and closes the
 * connection if the test asks for that. */
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
    if (s->pieces > 0) {
        s->piece_to = bev;
        on_piece(-1, 0, s);
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

/* Serves a new connection. */
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

/* Creates the client and, if listens is set, the server. */
static void
open_server(Server *s, bool listens)
{
    memset(s, 0, sizeof(*s));
    s->base = event_base_new();
    s->http = GfHttp_Create(s->base);
    s->piece_timer = evtimer_new(s->base, on_piece, s);
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

/* Frees the client, the server and its connections. */
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
    event_free(s->piece_timer);
    event_base_free(s->base);
}

/* Records the outcome of a call with a copy of a short body. */
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

/* Sends one request and waits for its outcome. */
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

/* A complete answer is accepted and its connection is reused. */
static void
test_complete(void)
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

/* A call whose connection is refused is reported as not sent. */
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

/* A truncated answer, one without a length, and none at all are errors, and
 * the call is reported as sent, as it may have had an effect. */
static void
test_truncated(void)
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

/* A connection whose call timed out is not reused. */
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

/* After a timeout, idle connections to the same server are not reused either.
 */
static void
test_idle_connections(void)
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

/* At the end of an outage the calls that wait since before the latest answered
 * one are completed, as calls that may have had an effect, and idle
 * connections are not reused; a call that was started later goes on. */
static void
test_abandon_older(void)
{
    Server s;
    open_server(&s, true);
    GfHttpCall call = {.address = "127.0.0.1",
                       .port = PORT,
                       .method = EVHTTP_REQ_GET,
                       .path = "/",
                       .timeout_ms = 60000};
    GfHttp_Start(s.http, &call, on_result, &s);
    while (s.connections < 1) {
        event_base_loop(s.base, EVLOOP_ONCE);
    }
    GfHttp_AbandonOlder(s.http, "127.0.0.1", PORT);
    CU_ASSERT_EQUAL(s.done, 0);
    event_base_loop(s.base, EVLOOP_NONBLOCK);
    s.answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    get(&s, 1000);
    s.answer = NULL;
    GfHttp_Start(s.http, &call, on_result, &s);
    GfHttp_AbandonOlder(s.http, "127.0.0.1", PORT);
    CU_ASSERT_EQUAL(s.done, 2);
    CU_ASSERT_EQUAL(s.result.kind, GF_TIMEOUT);
    CU_ASSERT_TRUE(s.result.sent);
    close_server(&s);
}

/* Makes a call whose answer has a body of 20 bytes, of which some arrive, and
 * that may go on while it arrives. Returns how long the call took, in ms. */
static int64_t
get_slowly(Server *s, int pieces, int timeout_ms, int progress_ms)
{
    s->answer = "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n";
    s->pieces = pieces;
    GfHttpCall call = {.address = "127.0.0.1",
                       .port = PORT,
                       .method = EVHTTP_REQ_GET,
                       .path = "/",
                       .timeout_ms = timeout_ms,
                       .progress_ms = progress_ms};
    struct timespec begun = GfClock_Now(GfClock_System());
    GfHttp_Start(s->http, &call, on_result, s);
    while (s->done == 0) {
        event_base_loop(s->base, EVLOOP_ONCE);
    }
    return GfTime_DiffMs(GfClock_Now(GfClock_System()), begun);
}

/* The body takes 400 ms. */
static void
test_arriving_answer_given_up(void)
{
    Server s;
    open_server(&s, true);
    get_slowly(&s, 20, 250, 200);
    CU_ASSERT_EQUAL(s.result.kind, GF_OK);
    CU_ASSERT_EQUAL(s.result.body_len, 20);
    close_server(&s);
    open_server(&s, true);
    get_slowly(&s, 20, 250, 0);
    CU_ASSERT_EQUAL(s.result.kind, GF_TIMEOUT);
    close_server(&s);
}

/* An answer that stops, or takes more than twice the timeout, is given up. */
static void
test_stopped_answer(void)
{
    enum { GRACE_MS = 20, LATE_MS = 80 };
    Server s;
    open_server(&s, true);
    int64_t ms = get_slowly(&s, 5, 250, 100);
    CU_ASSERT_EQUAL(s.result.kind, GF_TIMEOUT);
    CU_ASSERT(ms <= 250 + 100 + GRACE_MS + LATE_MS);
    close_server(&s);
    open_server(&s, true);
    ms = get_slowly(&s, 19, 60, 50);
    CU_ASSERT_EQUAL(s.result.kind, GF_TIMEOUT);
    CU_ASSERT(ms <= 2 * 60 + 50 + GRACE_MS + LATE_MS);
    close_server(&s);
}

static const SuiteTest TESTS[] = {
    {"whole", test_complete},
    {"refused", test_refused},
    {"cut", test_truncated},
    {"timeout", test_timeout},
    {"idle connections", test_idle_connections},
    {"abandon older", test_abandon_older},
    {"arriving answer given up", test_arriving_answer_given_up},
    {"stopped answer", test_stopped_answer}};

SUITE_MAIN("http", TESTS)
