/* A TCP relay that injects network faults: it can hold back the bytes of one
 * or both directions, refuse new connections, or make open connections go
 * silent without closing them. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <utlist.h>

#include "standin.h"

/* A relayed connection: one from the caller to the relay, and one from the
 * relay to the callee. silent: no more bytes are forwarded, and neither end is
 * closed. */
typedef struct Pair {
    struct bufferevent *caller;
    struct bufferevent *callee;
    bool silent;
    struct Pair *next;
    struct Pair *prev;
} Pair;

/* The relay's state; the byte counts are of bytes forwarded. */
typedef struct {
    struct event_base *base;
    struct sockaddr_in callee_address;
    Pair *pairs;
    bool cut_forward; /* hold back what callers send */
    bool cut_back;    /* hold back what the callee sends */
    bool refuse;      /* close new connections at once */
    uint64_t forward_bytes;
    uint64_t back_bytes;
} Relay;

static Relay relay;

/* Closes both connections of a pair and frees it. */
static void
close_pair(Pair *p)
{
    DL_DELETE(relay.pairs, p);
    bufferevent_free(p->caller);
    bufferevent_free(p->callee);
    free(p);
}

/* Forwards data from the caller, unless that direction is cut or the pair is
 * silent. */
static void
on_forward(struct bufferevent *bev, void *arg)
{
    Pair *p = arg;
    if (!p->silent && !relay.cut_forward) {
        relay.forward_bytes += evbuffer_get_length(bufferevent_get_input(bev));
        bufferevent_read_buffer(bev, bufferevent_get_output(p->callee));
    }
}

/* Forwards data from the callee, unless that direction is cut or the pair is
 * silent. */
static void
on_back(struct bufferevent *bev, void *arg)
{
    Pair *p = arg;
    if (!p->silent && !relay.cut_back) {
        relay.back_bytes += evbuffer_get_length(bufferevent_get_input(bev));
        bufferevent_read_buffer(bev, bufferevent_get_output(p->caller));
    }
}

/* Closes a pair when one end closes or fails. While the pair is silent or a
 * direction is cut, the other end must not notice, so the pair stays open. */
static void
on_event(struct bufferevent *bev, short what, void *arg)
{
    (void)bev;
    Pair *p = arg;
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) && !p->silent &&
        !relay.cut_forward && !relay.cut_back) {
        close_pair(p);
    }
}

/* Accepts a connection and opens one to the callee, or refuses it. */
static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
          struct sockaddr *address, int len, void *arg)
{
    (void)listener;
    (void)address;
    (void)len;
    (void)arg;
    if (relay.refuse) {
        evutil_closesocket(fd);
        return;
    }
    Pair *p = calloc(1, sizeof(*p));
    p->caller = bufferevent_socket_new(relay.base, fd, BEV_OPT_CLOSE_ON_FREE);
    p->callee = bufferevent_socket_new(relay.base, -1, BEV_OPT_CLOSE_ON_FREE);
    DL_APPEND(relay.pairs, p);
    bufferevent_setcb(p->caller, on_forward, NULL, on_event, p);
    bufferevent_setcb(p->callee, on_back, NULL, on_event, p);
    bufferevent_enable(p->caller, EV_READ | EV_WRITE);
    bufferevent_enable(p->callee, EV_READ | EV_WRITE);
    bufferevent_socket_connect(p->callee,
                               (struct sockaddr *)&relay.callee_address,
                               sizeof(relay.callee_address));
}

/* Forwards the data that was held back, in directions that aren't cut now. */
static void
deliver_held(void)
{
    Pair *p;
    DL_FOREACH(relay.pairs, p)
    {
        on_forward(p->caller, p);
        on_back(p->callee, p);
    }
}

/* Handles a request of a test. {"cut_forward", "cut_back", "refuse"} sets the
 * three faults; {"silence": true} makes the connections that are open now
 * silent for good. Returns the bytes forwarded so far. */
static int
on_request(void *ctx, GfExchange *exchange, json_t *body, json_t **reply)
{
    (void)ctx;
    (void)exchange;
    if (json_is_true(json_object_get(body, "silence"))) {
        Pair *p;
        DL_FOREACH(relay.pairs, p)
        {
            p->silent = true;
        }
    }
    if (json_object_get(body, "cut_forward") != NULL) {
        relay.cut_forward = json_is_true(json_object_get(body, "cut_forward"));
        relay.cut_back = json_is_true(json_object_get(body, "cut_back"));
        relay.refuse = json_is_true(json_object_get(body, "refuse"));
        deliver_held();
    }
    *reply = json_pack("{s:I,s:I}", "forward_bytes",
                       (json_int_t)relay.forward_bytes, "back_bytes",
                       (json_int_t)relay.back_bytes);
    return 200;
}

/* Runs the stand-in: relay ADDRESS PORT TO_PORT CONTROL_PORT. It forwards
 * connections to PORT to TO_PORT, and takes the tests' requests at
 * CONTROL_PORT. Returns only on an error or when the event loop ends. */
int
Relay_Main(int argc, char **argv)
{
    if (argc < 5) {
        fprintf(stderr,
                "usage: standin relay ADDRESS PORT TO_PORT CONTROL_PORT\n");
        return 2;
    }
    relay.base = event_base_new();
    struct sockaddr_in sin;
    memset(&sin, 0, sizeof(sin));
    sin.sin_family = AF_INET;
    inet_pton(AF_INET, argv[1], &sin.sin_addr);
    relay.callee_address = sin;
    relay.callee_address.sin_port = htons((uint16_t)atoi(argv[3]));
    sin.sin_port = htons((uint16_t)atoi(argv[2]));
    if (evconnlistener_new_bind(relay.base, on_accept, NULL,
                                LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 128,
                                (struct sockaddr *)&sin,
                                sizeof(sin)) == NULL) {
        fprintf(stderr, "standin: relay cannot listen\n");
        return 1;
    }
    Standin_Create(relay.base, argv[1], (uint16_t)atoi(argv[4]), on_request,
                   NULL, json_array());
    event_base_dispatch(relay.base);
    return 0;
}
