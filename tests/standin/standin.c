#include "standin.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "guavaflow/clock.h"

#define MAX_BODY_BYTES (8 * 1024 * 1024)
#define MAX_HISTORY 400000

typedef enum {
    FAULT_NONE,
    FAULT_AWAY,
    FAULT_SLOW,
    FAULT_FREEZE,
    FAULT_LOSE
} Fault;

static const char *const FAULT_NAMES[] = {"none", "away", "slow", "freeze",
                                          "lose_answer"};

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

typedef struct {
    Standin *standin;
    GfExchange *exchange;
    int status;
    json_t *reply;
    bool held;
    struct event *timer;
} Delayed;

/* Returns the time that all stand-ins of one machine share. */
int64_t
Standin_NowMs(void)
{
    return GfTime_ToMs(GfClock_Now(GfClock_System()));
}

/* Returns an integer member, or the given value. */
int64_t
Standin_Integer(const json_t *body, const char *name, int64_t otherwise)
{
    json_t *value = json_object_get(body, name);
    return json_is_integer(value) ? json_integer_value(value) : otherwise;
}

/* Returns a text member, or the empty text. */
const char *
Standin_Text(const json_t *body, const char *name)
{
    const char *text = json_string_value(json_object_get(body, name));
    return text == NULL ? "" : text;
}

/* Appends an event to the history. Takes the fields' reference. */
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

/* Returns the loop that the stand-in runs on. */
struct event_base *
Standin_Base(Standin *standin)
{
    return standin->base;
}

/* Sends a kept answer. */
static void
on_delay(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    Delayed *d = arg;
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

/* Keeps an exchange for some milliseconds; without a reply its handler runs
 * only then. */
static void
delay(Standin *s, GfExchange *exchange, int status, json_t *reply, int ms,
      bool held)
{
    Delayed *d = calloc(1, sizeof(*d));
    *d = (Delayed){.standin = s,
                   .exchange = exchange,
                   .status = status,
                   .reply = reply,
                   .held = held};
    d->timer = evtimer_new(s->base, on_delay, d);
    struct timeval t = GfTime_ToTimeval(ms);
    evtimer_add(d->timer, &t);
}

/* Sets the fault that the next requests meet. */
static void
set_fault(Standin *s, GfExchange *exchange, json_t *body)
{
    const char *mode = Standin_Text(body, "mode");
    s->fault = FAULT_NONE;
    for (int i = 0; i <= FAULT_LOSE; i++) {
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

/* Tells which fault this request meets, counting it off. */
static Fault
take_fault(Standin *s, GfExchange *exchange)
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

/* Sends a handler's answer. */
void
Standin_Reply(Standin *standin, GfExchange *exchange, int status,
              json_t *reply)
{
    (void)standin;
    GfExchange_ReplyJson(exchange, status, reply);
}

/* Serves a request under the fault in force. */
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
    Fault fault = take_fault(s, exchange);
    if (fault == FAULT_AWAY) {
        json_decref(body);
        GfExchange_Drop(exchange);
        return;
    }
    if (fault == FAULT_SLOW || fault == FAULT_FREEZE) {
        json_decref(body);
        delay(s, exchange, 0, NULL, fault == FAULT_SLOW ? s->slow_ms : 50,
              fault == FAULT_FREEZE);
        return;
    }
    json_t *reply = NULL;
    int status = s->handler(s->ctx, exchange, body, &reply);
    json_decref(body);
    if (status == 0) {
        return;
    }
    if (fault == FAULT_LOSE) {
        json_decref(reply);
        GfExchange_Drop(exchange);
        return;
    }
    GfExchange_ReplyJson(exchange, status, reply);
}

/* Opens a stand-in's server. Ends the process if the port is taken. */
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
