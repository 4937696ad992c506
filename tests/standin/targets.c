/* The stand-in of targets, the servers that answer requests to a service. It
 * records each request's start and end, and requests beyond its slots. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "guavaflow/clock.h"
#include "standin.h"

#define ID_BYTES 64

/* A target. slots: how many requests it may have at a time; busy: how many it
 * has. The history is shared by all targets of the process. */
typedef struct {
    Standin *standin;
    char name[ID_BYTES];
    int slots;
    int busy;
    json_t *history;
} Target;

/* A request in progress. crossed: it gets another request's id in its reply.
 */
typedef struct {
    Target *target;
    GfExchange *exchange;
    char id[ID_BYTES];
    char team[ID_BYTES];
    bool fails;
    bool crossed;
    struct event *timer;
} Call;

/* Ends a request's work, replies and frees the call. */
static void
on_work_done(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    Call *c = arg;
    c->target->busy--;
    Standin_Record(c->target->history, "call_end",
                   json_pack("{s:s,s:s,s:s}", "target", c->target->name, "id",
                             c->id, "team", c->team));
    GfExchange_AddHeader(c->exchange, "X-Request-Id",
                         c->crossed ? "another-request" : c->id);
    GfExchange_ReplyJson(
        c->exchange, c->fails ? 500 : 200,
        json_pack("{s:s,s:s}", "echo", c->id, "served_by", c->target->name));
    event_free(c->timer);
    free(c);
}

/* Handles a request to a target: {"work_ms", "fails", "crossed", "work"}. A
 * request beyond the slots is served as well and recorded as an overcommit. */
static int
on_request(void *ctx, GfExchange *exchange, json_t *body, json_t **reply)
{
    Target *t = ctx;
    if (strcmp(GfExchange_Path(exchange), "/v1/call") != 0) {
        *reply = json_pack("{s:s}", "error", "no such path");
        return 404;
    }
    const char *id = GfExchange_Header(exchange, "X-Request-Id");
    const char *team = GfExchange_Header(exchange, "X-Team");
    Call *c = calloc(1, sizeof(*c));
    c->target = t;
    c->exchange = exchange;
    snprintf(c->id, sizeof(c->id), "%s", id == NULL ? "" : id);
    snprintf(c->team, sizeof(c->team), "%s", team == NULL ? "" : team);
    c->fails = json_is_true(json_object_get(body, "fails"));
    c->crossed = json_is_true(json_object_get(body, "crossed"));
    t->busy++;
    Standin_Record(t->history, "call_start",
                   json_pack("{s:s,s:s,s:s,s:s}", "target", t->name, "id",
                             c->id, "team", c->team, "work",
                             Standin_Text(body, "work")));
    if (t->busy > t->slots) {
        Standin_Record(
            t->history, "overcommit",
            json_pack("{s:s,s:i}", "target", t->name, "busy", t->busy));
    }
    c->timer = evtimer_new(Standin_Base(t->standin), on_work_done, c);
    struct timeval tv = GfTime_ToTimeval(Standin_Integer(body, "work_ms", 5));
    evtimer_add(c->timer, &tv);
    return 0;
}

/* Runs targets on consecutive ports: targets ADDRESS FIRST_PORT COUNT
 * NAME_PREFIX SLOTS. Returns only on a usage error or when the event loop
 * ends. */
int
Targets_Main(int argc, char **argv)
{
    if (argc < 6) {
        fprintf(stderr, "usage: standin targets ADDRESS FIRST_PORT COUNT "
                        "PREFIX SLOTS\n");
        return 2;
    }
    struct event_base *base = event_base_new();
    json_t *history = json_array();
    int count = atoi(argv[3]);
    for (int i = 0; i < count; i++) {
        Target *t = calloc(1, sizeof(*t));
        snprintf(t->name, sizeof(t->name), "%.40s%d", argv[4], i);
        t->slots = atoi(argv[5]);
        t->history = history;
        t->standin =
            Standin_Create(base, argv[1], (uint16_t)(atoi(argv[2]) + i),
                           on_request, t, history);
    }
    event_base_dispatch(base);
    return 0;
}
