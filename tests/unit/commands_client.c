/* The client for worker commands. A worker takes 64 connections in all; those
 * of an owner that lost power, or that went silent, stay open there. An owner
 * that opens many, or keeps them, leaves workers without connections. */
#include <string.h>

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include "platform.h"
#include "suite.h"

#define PORT 31769
#define STARTS 400
#define MAX_OPEN 512
/* An owner and the three before it leave most of the 64 to those to come. */
#define WORKER_LIMIT 64
#define OWNERS 4
#define CONNECTIONS (WORKER_LIMIT / 3 / OWNERS)
/* Idle connections are closed before they have been silent for this long. */
#define IDLE_LIMIT_MS 3000
/* All but one of them earlier. */
#define SPARE_LIMIT_MS 1500

/* A worker that answers each command, or none while it is silent. */
typedef struct {
    int64_t born;          /* of its current life */
    char request[1024];    /* the latest one */
    char hold[1024];       /* the latest hold */
    int hold_count;        /* holds with an outcome */
    GfInventory inventory; /* the latest one, without rows */

    struct event_base *base;
    struct evconnlistener *listener;
    GfHttp *http;
    GfCommands *commands;
    GfWorkerInfo worker;
    struct bufferevent *open[MAX_OPEN];
    int open_count;
    int open_max;
    bool silent;
    int requests;
    int results[GF_ORDER_RESULTS];
    int result_count;
} Worker;

static void
on_event(struct bufferevent *bev, short what, void *arg)
{
    (void)what;
    Worker *w = arg;
    for (int i = 0; i < w->open_count; i++) {
        if (w->open[i] == bev) {
            w->open[i] = w->open[--w->open_count];
            break;
        }
    }
    bufferevent_free(bev);
}

static void
on_read(struct bufferevent *bev, void *arg)
{
    Worker *w = arg;
    struct evbuffer *in = bufferevent_get_input(bev);
    struct evbuffer_ptr end = evbuffer_search(in, "\r\n\r\n", 4, NULL);
    if (end.pos < 0) {
        return;
    }
    int len = evbuffer_remove(in, w->request, sizeof(w->request) - 1);
    w->request[len] = '\0';
    evbuffer_drain(in, evbuffer_get_length(in));
    w->requests++;
    if (strstr(w->request, "/v1/hold") != NULL) {
        memcpy(w->hold, w->request, sizeof(w->hold));
    }
    char body[128];
    snprintf(body, sizeof(body),
             "{\"clockMs\":1,\"born\":%lld,\"running\":[],\"ended\":[]}",
             (long long)w->born);
    if (!w->silent) {
        evbuffer_add_printf(bufferevent_get_output(bev),
                            "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s",
                            strlen(body), body);
    }
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
          struct sockaddr *address, int len, void *arg)
{
    (void)address;
    (void)len;
    Worker *w = arg;
    struct bufferevent *bev = bufferevent_socket_new(
        evconnlistener_get_base(listener), fd, BEV_OPT_CLOSE_ON_FREE);
    CU_ASSERT_FATAL(w->open_count < MAX_OPEN);
    w->open[w->open_count++] = bev;
    w->open_max = w->open_count > w->open_max ? w->open_count : w->open_max;
    bufferevent_setcb(bev, on_read, NULL, on_event, w);
    bufferevent_enable(bev, EV_READ | EV_WRITE);
}

static void
on_start_done(void *ctx, uint32_t serial, const GfTaskId *task, int64_t run,
              GfOrderResult result)
{
    (void)serial;
    (void)task;
    (void)run;
    Worker *w = ctx;
    w->results[result]++;
    w->result_count++;
}

static void
on_hold_done(void *ctx, uint32_t serial, struct timespec sent_at,
             GfOrderResult result, const GfInventory *inventory)
{
    (void)serial;
    (void)sent_at;
    Worker *w = ctx;
    w->results[result]++;
    w->hold_count++;
    if (inventory != NULL) {
        w->inventory = *inventory;
    }
}

static const GfCommandSink SINK = {.start_done = on_start_done,
                                   .hold_done = on_hold_done};

static void
open_worker(Worker *w)
{
    memset(w, 0, sizeof(*w));
    w->base = event_base_new();
    w->http = GfHttp_Create(w->base);
    w->commands = PlatformCommands_Create(w->http, NULL, 0, GfClock_System());
    w->commands->ops->set_sink(w->commands, &SINK, w);
    struct sockaddr_in sin = {.sin_family = AF_INET, .sin_port = htons(PORT)};
    inet_pton(AF_INET, "127.0.0.1", &sin.sin_addr);
    w->listener = evconnlistener_new_bind(
        w->base, on_accept, w, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 512,
        (struct sockaddr *)&sin, sizeof(sin));
    CU_ASSERT_PTR_NOT_NULL_FATAL(w->listener);
    GfName_SetText(&w->worker.id, "i-1");
    strcpy(w->worker.address, "127.0.0.1");
    w->worker.port = PORT;
}

static void
close_worker(Worker *w)
{
    w->commands->ops->destroy(w->commands);
    GfHttp_Destroy(w->http);
    while (w->open_count > 0) {
        bufferevent_free(w->open[--w->open_count]);
    }
    evconnlistener_free(w->listener);
    event_base_free(w->base);
}

/* Sends starts to the worker, all at once. */
static void
send_starts(Worker *w, int count)
{
    static const GfStr PAYLOAD = {.data = "x", .len = 1};
    for (int i = 0; i < count; i++) {
        GfStartOrder order = {.target = {.worker = &w->worker, .serial = 1},
                              .task = {.index = (uint32_t)i},
                              .run = 1,
                              .payload = &PAYLOAD,
                              .until_ms = 1000};
        GfName_SetText(&order.task.job, "5c0e7a21d94b36f8");
        w->commands->ops->start(w->commands, &order);
    }
}

static void
run_loop(Worker *w, int64_t ms)
{
    struct timeval tv = GfTime_ToTimeval(ms);
    event_base_loopexit(w->base, &tv);
    event_base_dispatch(w->base);
}

static void
test_connections_grow_with_starts(void)
{
    Worker w;
    open_worker(&w);
    send_starts(&w, STARTS);
    for (int i = 0; i < 100 && w.result_count < STARTS; i++) {
        run_loop(&w, 20);
    }
    CU_ASSERT_EQUAL(w.results[GF_ORDER_DONE], STARTS);
    CU_ASSERT_EQUAL(w.requests, STARTS);
    CU_ASSERT(w.open_max <= CONNECTIONS);
    close_worker(&w);
}

static void
test_idle_connections_kept_for_good(void)
{
    Worker w;
    open_worker(&w);
    send_starts(&w, 10);
    run_loop(&w, SPARE_LIMIT_MS);
    CU_ASSERT_EQUAL(w.open_count, 1);
    run_loop(&w, IDLE_LIMIT_MS);
    CU_ASSERT_EQUAL(w.results[GF_ORDER_DONE], 10);
    CU_ASSERT_EQUAL(w.open_count, 0);
    close_worker(&w);
}

/* A start that waited for a connection has not been sent. */
static void
test_waiting_start_in_doubt(void)
{
    Worker w;
    open_worker(&w);
    w.silent = true;
    send_starts(&w, 100);
    run_loop(&w, 1500);
    CU_ASSERT_EQUAL(w.result_count, 100);
    CU_ASSERT_EQUAL(w.results[GF_ORDER_UNKNOWN], w.requests);
    CU_ASSERT_EQUAL(w.results[GF_ORDER_UNSENT], 100 - w.requests);
    CU_ASSERT(w.requests < 50);
    close_worker(&w);
}

/* Ownership has ended while starts wait for a connection. */
static void
test_start_sent_after_the_term(void)
{
    Worker w;
    open_worker(&w);
    send_starts(&w, 100);
    w.commands->ops->set_sink(w.commands, NULL, NULL);
    run_loop(&w, 1000);
    CU_ASSERT(w.requests <= CONNECTIONS);
    close_worker(&w);
}

/* Sends a hold for a life of the worker and waits for its outcome. */
static void
hold(Worker *w, int64_t incarnation, int64_t acked)
{
    w->worker.incarnation = incarnation;
    GfHoldOrder order = {.target = {.worker = &w->worker, .serial = 1},
                         .until_ms = 9000,
                         .acked = acked,
                         .wait_ms = 1000};
    int before = w->hold_count;
    w->commands->ops->hold(w->commands, &order);
    for (int i = 0; i < 100 && w->hold_count == before; i++) {
        run_loop(w, 5);
    }
}

/* Returns whether the latest request acknowledges ends or extends the lease.
 */
static bool
names_a_life(const Worker *w)
{
    return strstr(w->request, "\"ackCursor\":0") == NULL ||
           strstr(w->request, "untilMs") != NULL;
}

/* Ends the worker's life: its connections are closed, and the next life
 * listens at the same address. */
static void
restart(Worker *w)
{
    while (w->open_count > 0) {
        bufferevent_free(w->open[--w->open_count]);
    }
    w->born++;
}

/* A worker starts again under its id between two holds. */
static void
test_end_of_a_new_life_acknowledged_unread(void)
{
    Worker w;
    open_worker(&w);
    w.born = 100;
    hold(&w, 100, 8);
    CU_ASSERT_FALSE(names_a_life(&w)); /* not yet known who answers there */
    hold(&w, 100, 8);
    CU_ASSERT_TRUE(names_a_life(&w));
    for (int seen = 0; seen < 2; seen++) {
        /* seen: the client has noticed that the connections are closed. */
        restart(&w);
        run_loop(&w, seen * 50);
        hold(&w, w.born - 1, 8);
        hold(&w, w.born - 1, 8);
        CU_ASSERT_FALSE(names_a_life(&w));
        hold(&w, w.born - 1, 8);
        CU_ASSERT_FALSE(names_a_life(&w));
        CU_ASSERT_EQUAL(w.inventory.incarnation, w.born);
        hold(&w, w.born, 3);
        CU_ASSERT_TRUE(names_a_life(&w));
    }
    close_worker(&w);
}

/* Starts and holds do not share connections: else a start on its way would
 * keep a hold from the connection on which the worker is known. */
static void
test_holds_lose_their_connection_to_starts(void)
{
    Worker w;
    open_worker(&w);
    w.born = 100;
    hold(&w, 100, 8);
    send_starts(&w, 10);
    hold(&w, 100, 8);
    CU_ASSERT_TRUE(strstr(w.hold, "\"ackCursor\":8") != NULL);
    for (int i = 0; i < 100 && w.result_count < 10; i++) {
        run_loop(&w, 5);
    }
    CU_ASSERT(w.open_max <= CONNECTIONS);
    close_worker(&w);
}

static const SuiteTest TESTS[] = {
    {"connections grow with starts", test_connections_grow_with_starts},
    {"idle connections kept for good", test_idle_connections_kept_for_good},
    {"waiting start in doubt", test_waiting_start_in_doubt},
    {"start sent after the term", test_start_sent_after_the_term},
    {"end of a new life acknowledged unread",
     test_end_of_a_new_life_acknowledged_unread},
    {"holds lose their connection to starts",
     test_holds_lose_their_connection_to_starts}};

SUITE_MAIN("commands client", TESTS)
