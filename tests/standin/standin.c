#include "standin.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "guavaflow/clock.h"

#define MAX_BODY_BYTES (8 * 1024 * 1024)
#define MAX_HISTORY 400000

/* How a request fails. */
typedef enum {
    FAULT_NONE,
    FAULT_UNAVAILABLE, /* not handled, and the connection is closed */
    FAULT_SLOW,        /* handled after slow_ms */
    FAULT_FREEZE,      /* handled once another mode is set */
    FAULT_LOSE_REPLY   /* handled, but without a reply */
} Fault;

/* The modes of /test/fault. */
static const char *const FAULT_NAMES[] = {"none", "away", "slow", "freeze",
                                          "lose_answer"};

/* An HTTP server with a handler. The last four fields hold the current fault:
 * count is how many requests it still affects (-1: no bound), path the prefix
 * of their paths. The history stays the creator's. */
struct Standin {
    struct event_base *base;
    GfServer *server;
    StandinHandler handler;
    void *ctx;
    json_t *history;
    Fault fault;
    int slow_ms;
    int count;
    char path[64];
};

/* A delayed exchange. Without a reply its handler runs after the delay. */
typedef struct {
    Standin *standin;
    GfExchange *exchange;
    int status;
    json_t *reply;
    bool held;
    struct event *timer;
} DelayedExchange;

/* Returns the boot-time clock's time in ms, the same for all processes of a
 * host. */
int64_t
Standin_NowMs(void)
{
    return GfTime_ToMs(GfClock_Now(GfClock_System()));
}

/* Returns an integer member of an object; fallback if it is missing or of
 * another type. */
int64_t
Standin_Integer(const json_t *body, const char *name, int64_t fallback)
{
    json_t *value = json_object_get(body, name);
    return json_is_integer(value) ? json_integer_value(value) : fallback;
}

/* Returns a string member of an object, or "" if it is missing or of another
 * type. The string belongs to the object. */
const char *
Standin_Text(const json_t *body, const char *name)
{
    const char *text = json_string_value(json_object_get(body, name));
    return text == NULL ? "" : text;
}

/* Appends an event with its time to the history; dropped if the history is
 * full. Takes the reference to the fields. */
void
Standin_Record(json_t *history, const char *event, json_t *fields)
{
    if (json_array_size(history) >= MAX_HISTORY) {
        json_decref(fields);
        return;
    }
    json_object_set_new(fields, "at", json_integer(Standin_NowMs()));
    json_object_set_new(fields, "event", json_string(event));
    json_array_append_new(history, fields);
}

/* Returns the event loop that the stand-in runs on. */
struct event_base *
Standin_Base(Standin *standin)
{
    return standin->base;
}

/* Completes a delayed exchange; a frozen one waits on while the fault lasts.
 */
static void
on_delay_over(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    DelayedExchange *d = arg;
    if (d->held && d->standin->fault == FAULT_FREEZE) {
        struct timeval again = GfTime_ToTimeval(50);
        evtimer_add(d->timer, &again);
        return;
    }
    event_free(d->timer);
    if (d->reply != NULL) {
        GfExchange_ReplyJson(d->exchange, d->status, d->reply);
    }
    else {
        json_t *body = NULL;
        GfStr text = GfExchange_Body(d->exchange);
        body = json_loadb(text.data, text.len, 0, NULL);
        GfStr_Clear(&text);
        json_t *reply = NULL;
        int status =
            d->standin->handler(d->standin->ctx, d->exchange, body, &reply);
        json_decref(body);
        if (status != 0) {
            GfExchange_ReplyJson(d->exchange, status, reply);
        }
    }
    free(d);
}

/* Delays an exchange by a time in ms, and then sends the reply, or calls the
 * handler if reply is NULL. held: waits on while requests are frozen. Takes
 * the reference to the reply. */
static void
delay_exchange(Standin *s, GfExchange *exchange, int status, json_t *reply,
               int ms, bool held)
{
    DelayedExchange *d = calloc(1, sizeof(*d));
    *d = (DelayedExchange){.standin = s,
                           .exchange = exchange,
                           .status = status,
                           .reply = reply,
                           .held = held};
    d->timer = evtimer_new(s->base, on_delay_over, d);
    struct timeval t = GfTime_ToTimeval(ms);
    evtimer_add(d->timer, &t);
}

/* Handles /test/fault: sets the fault of later requests and records it. An
 * unknown mode ends the fault. */
static void
set_fault(Standin *s, GfExchange *exchange, json_t *body)
{
    const char *mode = Standin_Text(body, "mode");
    s->fault = FAULT_NONE;
    for (int i = 0; i <= FAULT_LOSE_REPLY; i++) {
        if (strcmp(FAULT_NAMES[i], mode) == 0) {
            s->fault = (Fault)i;
        }
    }
    s->slow_ms = (int)Standin_Integer(body, "slow_ms", 500);
    s->count = (int)Standin_Integer(body, "count", -1);
    snprintf(s->path, sizeof(s->path), "%s", Standin_Text(body, "path"));
    Standin_Record(s->history, "fault", json_pack("{s:s}", "mode", mode));
    GfExchange_ReplyJson(exchange, 200, json_pack("{s:s}", "mode", mode));
}

/* Returns the fault that applies to a request, and counts it. */
static Fault
consume_fault(Standin *s, GfExchange *exchange)
{
    const char *path = GfExchange_Path(exchange);
    if (s->fault == FAULT_NONE || s->count == 0 ||
        strncmp(path, s->path, strlen(s->path)) != 0) {
        return FAULT_NONE;
    }
    if (s->count > 0) {
        s->count--;
    }
    return s->fault;
}

/* Replies to an exchange that its handler kept. Takes the reference to the
 * reply. */
void
Standin_Reply(Standin *standin, GfExchange *exchange, int status,
              json_t *reply)
{
    (void)standin;
    GfExchange_ReplyJson(exchange, status, reply);
}

/* Handles a request, subject to the current fault. */
static void
on_exchange(void *ctx, GfExchange *exchange)
{
    Standin *s = ctx;
    const char *path = GfExchange_Path(exchange);
    GfStr text = GfExchange_Body(exchange);
    json_t *body = json_loadb(text.data, text.len, 0, NULL);
    GfStr_Clear(&text);
    if (strcmp(path, "/test/fault") == 0) {
        set_fault(s, exchange, body);
        json_decref(body);
        return;
    }
    if (strcmp(path, "/test/history") == 0) {
        json_decref(body);
        GfExchange_ReplyJson(exchange, 200,
                             json_pack("{s:O}", "history", s->history));
        return;
    }
    Fault fault = consume_fault(s, exchange);
    if (fault == FAULT_UNAVAILABLE) {
        json_decref(body);
        GfExchange_Drop(exchange);
        return;
    }
    if (fault == FAULT_SLOW || fault == FAULT_FREEZE) {
        json_decref(body);
        delay_exchange(s, exchange, 0, NULL,
                       fault == FAULT_SLOW ? s->slow_ms : 50,
                       fault == FAULT_FREEZE);
        return;
    }
    json_t *reply = NULL;
    int status = s->handler(s->ctx, exchange, body, &reply);
    json_decref(body);
    if (status == 0) {
        return;
    }
    if (fault == FAULT_LOSE_REPLY) {
        json_decref(reply);
        GfExchange_Drop(exchange);
        return;
    }
    GfExchange_ReplyJson(exchange, status, reply);
}

/* Starts a stand-in's server on an event loop. The history and ctx stay the
 * caller's and must outlive it. Exits the process if the server can't listen,
 * as when the port is in use. */
Standin *
Standin_Create(struct event_base *base, const char *address, uint16_t port,
               StandinHandler handler, void *ctx, json_t *history)
{
    Standin *s = calloc(1, sizeof(*s));
    s->base = base;
    s->handler = handler;
    s->ctx = ctx;
    s->history = history;
    GfError error;
    s->server = GfServer_Create(base, address, port, MAX_BODY_BYTES,
                                on_exchange, s, &error);
    if (s->server == NULL) {
        fprintf(stderr, "standin: %s\n", error.text);
        exit(1);
    }
    return s;
}

/* Runs the stand-in that the first argument names. */
int
main(int argc, char **argv)
{
    signal(SIGPIPE, SIG_IGN);
    static const struct {
        const char *name;
        int (*run)(int argc, char **argv);
    } KINDS[] = {{"platform", Platform_Main},
                 {"workers", Workers_Main},
                 {"targets", Targets_Main},
                 {"relay", Relay_Main},
                 {"fleet", Fleet_Main}};
    for (size_t i = 0; argc > 1 && i < sizeof(KINDS) / sizeof(KINDS[0]); i++) {
        if (strcmp(argv[1], KINDS[i].name) == 0) {
            return KINDS[i].run(argc - 1, argv + 1);
        }
    }
    fprintf(stderr,
            "usage: standin platform|workers|targets|relay|fleet ...\n");
    return 2;
}
