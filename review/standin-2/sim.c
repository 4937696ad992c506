#include "sim.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include <event2/event.h>
#include <sodium.h>

#include "guavaflow/clock.h"
#include "guavaflow/http.h"
#include "guavaflow/server.h"

#define ADDRESS "127.0.0.1"
#define TICK_MS 5
#define MAX_BODY (8 * 1024 * 1024)
#define ID_BYTES 640
#define MAX_RUN_S 115
#define FIRST_PORT 14000
#define PORTS 16000

/* A row of the store. A removed one stays, for the feeds. */
typedef struct Row {
    char id[ID_BYTES]; /* table, part and key, separated by line feeds */
    char table[64];
    json_t *row;
    int64_t version;
    bool deleted;
    struct Row *next;
} Row;

/* A feed request that waits for changes. */
typedef struct Feed {
    GfExchange *exchange;
    char table[64];
    int64_t after;
    int64_t until;
    struct Feed *next;
} Feed;

/* A hold order whose answer waits for an end. */
struct SimHold {
    GfExchange *exchange;
    int64_t until;
    struct SimHold *next;
};

/* An answer of the store on its way, or a transaction that is put off. */
typedef struct {
    GfExchange *exchange;
    json_t *reply;
    int status;
    struct event *timer;
} Later;

typedef struct {
    pid_t pid;
    uint16_t front;
    uint16_t ready;
    uint16_t peer;
    uint16_t metrics;
    int starts;
} Entry;

SimWorker sim_workers[SIM_MAX_WORKERS];
int sim_worker_count;
SimHooks sim_hooks;
int sim_store_ms = SIM_STORE_MS;
bool sim_store_down;

static struct event_base *base;
static GfHttp *http;
static FILE *record;
static int64_t epoch_ms;
static Row *rows;
static Feed *feeds;
static int64_t store_version;
static uint16_t store_port;
static uint16_t advice_port;
static Entry entries[SIM_MAX_ENTRIES];
static int entry_count;
static char work_dir[512];

static int64_t
steady_ms(void)
{
    struct timespec t;
    clock_gettime(CLOCK_MONOTONIC, &t);
    return t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

int64_t
Sim_Now(void)
{
    return steady_ms() - epoch_ms;
}

void
Sim_Record(const char *format, ...)
{
    va_list args;
    va_start(args, format);
    fprintf(record, "%8.3f ", (double)Sim_Now() / 1000);
    vfprintf(record, format, args);
    fputc('\n', record);
    fflush(record);
    va_end(args);
}

void
Sim_Run(int ms)
{
    struct timeval tv = {ms / 1000, ms % 1000 * 1000};
    event_base_loopexit(base, &tv);
    event_base_dispatch(base);
}

/* Returns a port of loopback that is free now and was not returned before. The
 * ports are below those that the system gives to outgoing connections. */
static uint16_t
free_port(void)
{
    static uint16_t next;
    if (next == 0) {
        next = (uint16_t)(FIRST_PORT + randombytes_uniform(PORTS));
    }
    for (int i = 0; i < PORTS; i++) {
        next = next + 1 < FIRST_PORT + PORTS ? next + 1 : FIRST_PORT;
        int fd = socket(AF_INET, SOCK_STREAM, 0);
        int on = 1;
        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        struct sockaddr_in sin = {.sin_family = AF_INET,
                                  .sin_port = htons(next)};
        inet_pton(AF_INET, ADDRESS, &sin.sin_addr);
        int bound = bind(fd, (struct sockaddr *)&sin, sizeof(sin));
        close(fd);
        if (bound == 0) {
            return next;
        }
    }
    fprintf(stderr, "sim: no free port\n");
    exit(2);
}

static const char *
text_of(const json_t *json, const char *name)
{
    const char *text = json_string_value(json_object_get(json, name));
    return text == NULL ? "" : text;
}

static int64_t
integer_of(const json_t *json, const char *name)
{
    return json_integer_value(json_object_get(json, name));
}

/* The store. */

static void
on_later(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    Later *l = arg;
    event_free(l->timer);
    GfExchange_ReplyJson(l->exchange, l->status, l->reply);
    free(l);
}

/* Answers a call to the store after the time that an answer takes. */
static void
reply_later(GfExchange *exchange, int status, json_t *reply)
{
    Later *l = calloc(1, sizeof(*l));
    *l = (Later){.exchange = exchange, .reply = reply, .status = status};
    l->timer = evtimer_new(base, on_later, l);
    struct timeval tv = {sim_store_ms / 1000, sim_store_ms % 1000 * 1000};
    evtimer_add(l->timer, &tv);
}

static Row *
find_row(const json_t *names, bool add)
{
    char id[ID_BYTES];
    snprintf(id, sizeof(id), "%s\n%s\n%s", text_of(names, "table"),
             text_of(names, "part"), text_of(names, "key"));
    for (Row *r = rows; r != NULL; r = r->next) {
        if (strcmp(r->id, id) == 0) {
            return r;
        }
    }
    if (!add) {
        return NULL;
    }
    Row *r = calloc(1, sizeof(*r));
    memcpy(r->id, id, sizeof(id));
    snprintf(r->table, sizeof(r->table), "%s", text_of(names, "table"));
    r->deleted = true;
    r->next = rows;
    rows = r;
    return r;
}

static void
put_row(const json_t *names, bool deleted)
{
    Row *r = find_row(names, true);
    json_decref(r->row);
    r->row = json_copy((json_t *)names);
    r->version = store_version;
    r->deleted = deleted;
    json_object_set_new(r->row, "ver", json_integer(store_version));
    if (deleted) {
        json_object_del(r->row, "value");
        json_object_set_new(r->row, "deleted", json_true());
    }
}

static int
by_version(const void *a, const void *b)
{
    int64_t x = (*(Row *const *)a)->version;
    int64_t y = (*(Row *const *)b)->version;
    return x < y ? -1 : x > y;
}

static int
by_id(const void *a, const void *b)
{
    return strcmp((*(Row *const *)a)->id, (*(Row *const *)b)->id);
}

/* Answers the feeds whose table has changed or whose time is over. */
static void
serve_feeds(void)
{
    Feed **at = &feeds;
    while (*at != NULL) {
        Feed *f = *at;
        if (sim_store_down) {
            *at = f->next;
            GfExchange_Drop(f->exchange);
            free(f);
            continue;
        }
        Row *found[4096];
        size_t count = 0;
        for (Row *r = rows; r != NULL && count < 4096; r = r->next) {
            if (r->version > f->after && strcmp(r->table, f->table) == 0) {
                found[count++] = r;
            }
        }
        if (count == 0 && Sim_Now() < f->until) {
            at = &f->next;
            continue;
        }
        qsort(found, count, sizeof(Row *), by_version);
        json_t *list = json_array();
        int64_t version = store_version;
        for (size_t i = 0; i < count && i < 500; i++) {
            json_array_append(list, found[i]->row);
            version = count > 500 ? found[i]->version : store_version;
        }
        *at = f->next;
        reply_later(f->exchange, 200,
                    json_pack("{s:o,s:I,s:I}", "rows", list, "ver",
                              (json_int_t)version, "nowMs",
                              (json_int_t)Sim_Now()));
        free(f);
    }
}

/* Carries out a transaction, if its condition holds; returns the status. */
static int
transact(const json_t *body, json_t **reply)
{
    json_t *current = json_array();
    bool holds = true;
    size_t i;
    json_t *e;
    json_array_foreach(json_object_get(body, "expect"), i, e)
    {
        const Row *r = find_row(e, false);
        bool there = r != NULL && !r->deleted;
        holds = holds && (there ? r->version : 0) == integer_of(e, "ver");
        if (there) {
            json_array_append(current, r->row);
        }
    }
    if (!holds) {
        *reply = json_pack("{s:o,s:I,s:I}", "rows", current, "ver",
                           (json_int_t)store_version, "nowMs",
                           (json_int_t)Sim_Now());
        return 412;
    }
    json_decref(current);
    store_version++;
    json_array_foreach(json_object_get(body, "upserts"), i, e)
    {
        put_row(e, false);
    }
    json_array_foreach(json_object_get(body, "remove"), i, e)
    {
        put_row(e, true);
    }
    *reply = json_pack("{s:I,s:I}", "ver", (json_int_t)store_version, "nowMs",
                       (json_int_t)Sim_Now());
    return 200;
}

typedef struct {
    json_t *body;
    struct event *timer;
} PutOff;

static void
on_put_off(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    PutOff *p = arg;
    json_t *reply = NULL;
    int status = transact(p->body, &reply);
    Sim_Record("store: the transaction that was put off is carried out, "
               "status %d",
               status);
    json_decref(reply);
    json_decref(p->body);
    event_free(p->timer);
    free(p);
    serve_feeds();
}

/* Answers a read of rows. A key that ends with a NUL is the least one after
 * the key without it; the query shows it cut off there. */
static void
read_rows(GfExchange *exchange)
{
    const char *table = GfExchange_Query(exchange, "table");
    const char *part = GfExchange_Query(exchange, "part");
    const char *from = GfExchange_Query(exchange, "from");
    const char *to = GfExchange_Query(exchange, "to");
    char prefix[ID_BYTES];
    snprintf(prefix, sizeof(prefix), "%s\n%s\n", table == NULL ? "" : table,
             part == NULL ? "" : part);
    Row *found[4096];
    size_t count = 0;
    for (Row *r = rows; r != NULL && count < 4096; r = r->next) {
        size_t len = strlen(prefix);
        if (r->deleted || strncmp(r->id, prefix, len) != 0) {
            continue;
        }
        const char *key = r->id + len;
        bool in = to != NULL ? strcmp(key, from == NULL ? "" : from) == 0
                             : from == NULL || strcmp(key, from) > 0;
        if (in) {
            found[count++] = r;
        }
    }
    qsort(found, count, sizeof(Row *), by_id);
    json_t *list = json_array();
    for (size_t i = 0; i < count && i < 500; i++) {
        json_array_append(list, found[i]->row);
    }
    reply_later(exchange, 200,
                json_pack("{s:o,s:b,s:I,s:I}", "rows", list, "morePages",
                          count > 500, "ver", (json_int_t)store_version,
                          "nowMs", (json_int_t)Sim_Now()));
}

static void
on_store(void *ctx, GfExchange *exchange)
{
    (void)ctx;
    const char *path = GfExchange_Path(exchange);
    if (sim_store_down) {
        GfExchange_Drop(exchange);
        return;
    }
    if (strcmp(path, "/v1/rows-get") == 0) {
        read_rows(exchange);
        return;
    }
    if (strcmp(path, "/v1/rows-feed") == 0) {
        Feed *f = calloc(1, sizeof(*f));
        const char *table = GfExchange_Query(exchange, "table");
        const char *after = GfExchange_Query(exchange, "after");
        const char *wait = GfExchange_Query(exchange, "waitMs");
        f->exchange = exchange;
        snprintf(f->table, sizeof(f->table), "%s", table == NULL ? "" : table);
        f->after = after == NULL ? 0 : strtoll(after, NULL, 10);
        f->until = Sim_Now() + (wait == NULL ? 0 : strtoll(wait, NULL, 10));
        f->next = feeds;
        feeds = f;
        serve_feeds();
        return;
    }
    GfStr text = GfExchange_Body(exchange);
    json_t *body = json_loadb(text.data, text.len, 0, NULL);
    GfStr_Clear(&text);
    int64_t put_off = sim_hooks.hold_tx == NULL ? 0 : sim_hooks.hold_tx(body);
    if (put_off > 0) {
        PutOff *p = calloc(1, sizeof(*p));
        p->body = body;
        p->timer = evtimer_new(base, on_put_off, p);
        struct timeval tv = {put_off / 1000, put_off % 1000 * 1000};
        evtimer_add(p->timer, &tv);
        return; /* its connection delivers nothing further */
    }
    json_t *reply = NULL;
    int status = transact(body, &reply);
    reply_later(exchange, status, reply);
    serve_feeds();
    if (status == 200 && sim_hooks.on_tx != NULL) {
        sim_hooks.on_tx(body);
    }
    json_decref(body);
}

/* Writes a row in the name of the operator or of a worker. */
static void
write_row(const char *table, const char *key, json_t *value)
{
    char *text = json_dumps(value, JSON_COMPACT);
    size_t len = strlen(text);
    size_t size =
        sodium_base64_encoded_len(len, sodium_base64_VARIANT_ORIGINAL);
    char *encoded = malloc(size);
    sodium_bin2base64(encoded, size, (const unsigned char *)text, len,
                      sodium_base64_VARIANT_ORIGINAL);
    json_t *row = json_pack("{s:s,s:s,s:s,s:s}", "table", table, "part", "",
                            "key", key, "value", encoded);
    store_version++;
    put_row(row, false);
    json_decref(row);
    json_decref(value);
    free(encoded);
    free(text);
    serve_feeds();
}

void
Sim_Config(json_t *config)
{
    write_row("op", "config", config);
}

json_t *
Sim_Tenant(const char *name, const char *key, int64_t max_mcores)
{
    return json_pack("{s:s,s:[s],s:i,s:i,s:{s:I,s:i,s:i}}", "name", name,
                     "apiKeys", key, "priority", 1, "weight", 10, "maximum",
                     "cpu", (json_int_t)max_mcores, "memMb", 0, "gpu", 0);
}

json_t *
Sim_Route(const char *name, const char *prefix, int priority, int max_attempts)
{
    return json_pack("{s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:s,s:i,s:f,s:b}", "name",
                     name, "host", SIM_HOST, "pathPrefix", prefix, "kind",
                     "non_idempotent", "timeoutMs", 3000, "targetLatencyMs",
                     1200, "priority", priority, "service", "plan",
                     "maxAttempts", max_attempts, "stretch", 2.2, "public", 0);
}

/* The workers. */

static int64_t
worker_clock(const SimWorker *w)
{
    return Sim_Now() - w->born_at;
}

static void
publish(SimWorker *w)
{
    w->next_beat_at = Sim_Now() + SIM_BEAT_MS;
    if (sim_store_down) {
        return; /* tried again with the next beat */
    }
    char address[40];
    snprintf(address, sizeof(address), ADDRESS ":%u", w->port);
    char rack[16];
    snprintf(rack, sizeof(rack), "r1-%d", w->index / 4);
    write_row("servers", w->id,
              json_pack("{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:{s:I,s:I,s:i},"
                        "s:[s,s],s:I,s:I,s:I}",
                        "service", "plan", "address", address, "zone",
                        w->index % 2 == 0 ? "z-a" : "z-b", "version", "v1",
                        "slots", 8, "state", "ready", "coldLeftMs", 0,
                        "capacity", "cpu", (json_int_t)w->mcores, "memMb",
                        (json_int_t)w->memory_mb, "gpu", 0, "labels", w->kind,
                        rack, "clockMs", (json_int_t)worker_clock(w), "seq",
                        (json_int_t)++w->seq, "born", (json_int_t)w->born));
}

static json_t *
order_reply(const SimWorker *w, const char *reason)
{
    json_t *reply =
        json_pack("{s:I,s:I}", "clockMs", (json_int_t)worker_clock(w), "born",
                  (json_int_t)w->born);
    if (reason != NULL) {
        json_object_set_new(reply, "reason", json_string(reason));
    }
    return reply;
}

/* Answers the holds of a worker that has ends to list or whose time is over.
 */
static void
serve_holds(SimWorker *w)
{
    SimHold **at = &w->holds;
    while (*at != NULL) {
        SimHold *h = *at;
        if (w->ends == NULL && Sim_Now() < h->until) {
            at = &h->next;
            continue;
        }
        *at = h->next;
        json_t *reply = order_reply(w, NULL);
        json_t *running = json_array();
        for (const SimRun *r = w->runs; r != NULL; r = r->next) {
            int64_t all = r->ends_at - r->started_at;
            int64_t done = Sim_Now() - r->started_at;
            int percent = all <= 0 ? 100 : (int)(done * 100 / all);
            char saved[24] = "";
            if (r->saves && done >= SIM_CHECKPOINT_MS) {
                snprintf(saved, sizeof(saved), "%016llx",
                         (unsigned long long)(done / SIM_CHECKPOINT_MS));
            }
            json_array_append_new(
                running, json_pack("[s,I,s,i,I]", r->task, (json_int_t)r->run,
                                   saved, percent < 100 ? percent : 100,
                                   (json_int_t)r->mcores));
        }
        json_t *ended = json_array();
        int listed = 0;
        for (const SimEnd *e = w->ends; e != NULL && listed < 500;
             e = e->next) {
            json_array_append_new(
                ended, json_pack("[I,s,I,s,s]", (json_int_t)e->number, e->task,
                                 (json_int_t)e->run, e->how, ""));
            listed++;
        }
        json_object_set_new(reply, "running", running);
        json_object_set_new(reply, "ended", ended);
        if (w->cut) {
            json_decref(reply); /* the answer is lost */
        }
        else {
            GfExchange_ReplyJson(h->exchange, 200, reply);
        }
        free(h);
    }
}

static void
note_stopped(SimWorker *w, const char *task, int64_t run)
{
    SimStopped *s = w->stopped;
    while (s != NULL && strcmp(s->task, task) != 0) {
        s = s->next;
    }
    if (s == NULL) {
        s = calloc(1, sizeof(*s));
        snprintf(s->task, sizeof(s->task), "%s", task);
        s->next = w->stopped;
        w->stopped = s;
    }
    s->run = run > s->run ? run : s->run;
}

static void
end_run(SimWorker *w, SimRun *run, const char *how)
{
    SimRun **at = &w->runs;
    while (*at != run) {
        at = &(*at)->next;
    }
    *at = run->next;
    SimEnd *e = calloc(1, sizeof(*e));
    e->number = ++w->last_end;
    memcpy(e->task, run->task, sizeof(e->task));
    e->run = run->run;
    e->how = how;
    SimEnd **last = &w->ends;
    while (*last != NULL) {
        last = &(*last)->next;
    }
    *last = e;
    note_stopped(w, run->task, run->run);
    Sim_Record("%s: end of %s run %lld: %s", w->id, run->task,
               (long long)run->run, how);
    if (sim_hooks.on_end != NULL) {
        sim_hooks.on_end(w, run, how);
    }
    free(run);
}

static void
extend_lease(SimWorker *w, int64_t until)
{
    int64_t most = worker_clock(w) + SIM_HOLD_MAX_MS;
    until = until < most ? until : most;
    w->until = until > w->until ? until : w->until;
}

/* Returns a number from the job's text, as "ms=300 cpu=500". */
static int64_t
number_in(const char *text, const char *name)
{
    const char *at = strstr(text, name);
    return at == NULL ? 0 : strtoll(at + strlen(name), NULL, 10);
}

/* Carries out a start. Returns why it is refused, or NULL. */
static const char *
start_run(SimWorker *w, const json_t *body)
{
    const char *task = text_of(body, "task");
    int64_t number = integer_of(body, "run");
    int64_t until = integer_of(body, "untilMs");
    for (const SimRun *r = w->runs; r != NULL; r = r->next) {
        if (strcmp(r->task, task) == 0) {
            extend_lease(w, until);
            return r->run == number ? NULL : "old";
        }
    }
    for (const SimStopped *s = w->stopped; s != NULL; s = s->next) {
        if (strcmp(s->task, task) == 0 && number <= s->run) {
            extend_lease(w, until);
            return "old";
        }
    }
    if (until <= worker_clock(w)) {
        return "late";
    }
    extend_lease(w, until);
    const char *spec = text_of(body, "spec");
    SimRun *r = calloc(1, sizeof(*r));
    snprintf(r->task, sizeof(r->task), "%s", task);
    r->run = number;
    r->mcores = number_in(spec, "cpu=");
    r->fails = number_in(spec, "fail=") > 0;
    r->saves = number_in(spec, "saves=") > 0;
    r->started_at = Sim_Now();
    const char *index = strrchr(task, '.');
    int64_t ms = sim_hooks.task_ms == NULL || index == NULL
                     ? 0
                     : sim_hooks.task_ms(atoi(index + 1));
    r->ends_at = r->started_at + (ms > 0 ? ms : number_in(spec, "ms="));
    r->next = w->runs;
    w->runs = r;
    Sim_Record("%s: start of %s run %lld fence %lld mcores %lld", w->id, task,
               (long long)number, (long long)integer_of(body, "fence"),
               (long long)r->mcores);
    if (sim_hooks.on_start != NULL) {
        sim_hooks.on_start(w, r);
    }
    return NULL;
}

static void
stop_run(SimWorker *w, const json_t *body)
{
    const char *task = text_of(body, "task");
    int64_t number = integer_of(body, "run");
    note_stopped(w, task, number);
    for (SimRun *r = w->runs; r != NULL; r = r->next) {
        if (strcmp(r->task, task) == 0 && r->run <= number && !r->stopping) {
            r->stopping = true;
            r->ends_at = Sim_Now() + SIM_STOP_MS / 2;
        }
    }
}

static void
hold(SimWorker *w, const json_t *body, GfExchange *exchange)
{
    int64_t acked = integer_of(body, "ackCursor");
    if (acked > 0 || w->acked == 0) {
        Sim_Record("%s: hold, ackCursor %lld, untilMs %lld at clock %lld",
                   w->id, (long long)acked,
                   (long long)integer_of(body, "untilMs"),
                   (long long)worker_clock(w));
    }
    w->hold_at = Sim_Now();
    w->acked = acked > w->acked ? acked : w->acked;
    while (w->ends != NULL && w->ends->number <= acked) {
        SimEnd *e = w->ends;
        w->ends = e->next;
        if (sim_hooks.on_acked != NULL) {
            sim_hooks.on_acked(w, e);
        }
        free(e);
    }
    extend_lease(w, integer_of(body, "untilMs"));
    SimHold *h = calloc(1, sizeof(*h));
    h->exchange = exchange;
    h->until = Sim_Now() + integer_of(body, "waitMs");
    h->next = w->holds;
    w->holds = h;
    serve_holds(w);
}

static void
on_order(void *ctx, GfExchange *exchange)
{
    SimWorker *w = ctx;
    if (w->cut) {
        return; /* lost on its way; the connection stays silent */
    }
    GfStr text = GfExchange_Body(exchange);
    json_t *body = json_loadb(text.data, text.len, 0, NULL);
    GfStr_Clear(&text);
    const char *path = GfExchange_Path(exchange);
    const char *instance =
        GfExchange_Header(exchange, "X-Guavaflow-Expected-Instance");
    int64_t fence = integer_of(body, "fence");
    if (instance != NULL && strcmp(instance, w->id) != 0) {
        GfExchange_ReplyJson(exchange, 421, order_reply(w, NULL));
    }
    else if (fence < w->fence) {
        GfExchange_ReplyJson(exchange, 409, order_reply(w, "fence"));
    }
    else {
        w->fence = fence;
        if (strcmp(path, "/v1/hold") == 0) {
            hold(w, body, exchange);
        }
        else if (strcmp(path, "/v1/run-start") == 0) {
            const char *reason = start_run(w, body);
            GfExchange_ReplyJson(exchange, reason == NULL ? 200 : 409,
                                 order_reply(w, reason));
        }
        else {
            if (strcmp(path, "/v1/run-stop") == 0) {
                stop_run(w, body);
            }
            GfExchange_ReplyJson(exchange, 200, order_reply(w, NULL));
        }
    }
    json_decref(body);
}

/* Ends the runs that are due, or all if the lease is over, and beats. */
static void
advance(SimWorker *w)
{
    SimRun *r = w->runs;
    while (r != NULL) {
        SimRun *next = r->next;
        if (w->until <= worker_clock(w)) {
            end_run(w, r, "lapsed");
        }
        else if (r->ends_at <= Sim_Now()) {
            end_run(w, r,
                    r->stopping ? "stopped"
                    : r->fails  ? "failed"
                                : "done");
        }
        r = next;
    }
    serve_holds(w);
    if (Sim_Now() >= w->next_beat_at) {
        publish(w);
    }
}

static void
on_tick(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    (void)arg;
    for (int i = 0; i < sim_worker_count; i++) {
        if (sim_workers[i].server != NULL) {
            advance(&sim_workers[i]);
        }
    }
    serve_feeds();
}

/* Kills a worker: its connections are closed and it runs nothing. */
void
Sim_CrashWorker(SimWorker *w)
{
    Sim_Record("%s: crashes", w->id);
    GfServer_Destroy(w->server);
    w->server = NULL;
    while (w->runs != NULL) {
        SimRun *r = w->runs;
        w->runs = r->next;
        Sim_Record("%s: run lost with its worker: %s run %lld", w->id, r->task,
                   (long long)r->run);
        if (sim_hooks.on_end != NULL) {
            sim_hooks.on_end(w, r, "lost");
        }
        free(r);
    }
    while (w->ends != NULL) {
        SimEnd *e = w->ends;
        w->ends = e->next;
        free(e);
    }
    while (w->stopped != NULL) {
        SimStopped *s = w->stopped;
        w->stopped = s->next;
        free(s);
    }
    while (w->holds != NULL) {
        SimHold *h = w->holds;
        w->holds = h->next;
        free(h);
    }
}

/* Starts a life of a worker, which registers at once. */
void
Sim_BootWorker(SimWorker *w, int64_t mcores, const char *kind)
{
    GfError error;
    struct timespec t;
    clock_gettime(CLOCK_REALTIME, &t);
    w->born = t.tv_sec * 1000 + t.tv_nsec / 1000000;
    w->born_at = Sim_Now();
    w->mcores = mcores;
    w->kind = kind;
    w->last_end = 0;
    w->acked = 0;
    w->hold_at = 0;
    w->fence = 0;
    w->until = 0;
    w->seq = 0;
    w->server =
        GfServer_Create(base, ADDRESS, w->port, MAX_BODY, on_order, w, &error);
    if (w->server == NULL) {
        fprintf(stderr, "sim: %s\n", error.text);
        exit(2);
    }
    Sim_Record("%s: life begins kind=%s mcores=%lld born=%lld", w->id, kind,
               (long long)mcores, (long long)w->born);
    publish(w);
}

void
Sim_CutWorker(SimWorker *w, bool cut)
{
    Sim_Record("%s: %s", w->id, cut ? "cut off" : "reached again");
    w->cut = cut;
}

static void
on_advice(void *ctx, GfExchange *exchange)
{
    (void)ctx;
    GfExchange_ReplyJson(exchange, 200,
                         json_pack("{s:[],s:i}", "good", "validMs", 2500));
}

void
Sim_StartPlatform(int workers, int64_t mcores, int64_t memory_mb)
{
    GfError error;
    store_port = free_port();
    void *store = GfServer_Create(base, ADDRESS, store_port, MAX_BODY,
                                  on_store, NULL, &error);
    advice_port = free_port();
    void *advice = GfServer_Create(base, ADDRESS, advice_port, MAX_BODY,
                                   on_advice, NULL, &error);
    if (store == NULL || advice == NULL) {
        fprintf(stderr, "sim: %s\n", error.text);
        exit(2);
    }
    sim_worker_count = workers;
    for (int i = 0; i < workers; i++) {
        SimWorker *w = &sim_workers[i];
        w->index = i;
        w->port = free_port();
        w->memory_mb = memory_mb;
        snprintf(w->id, sizeof(w->id), "i-%08x", 0x7f3a9100 + i);
        Sim_BootWorker(w, mcores, "a");
    }
    struct event *tick =
        event_new(base, -1, EV_PERSIST | EV_TIMEOUT, on_tick, NULL);
    struct timeval tv = {0, TICK_MS * 1000};
    event_add(tick, &tv);
}

/* The entries. */

static void
launch(int i)
{
    Entry *e = &entries[i];
    char path[600];
    snprintf(path, sizeof(path), "%s/entry-%d.yaml", work_dir, i);
    FILE *file = fopen(path, "w");
    fprintf(file,
            "ownership: token\nmember: \"e%d\"\nfailure_domain: \"%s\"\n"
            "front: \"" ADDRESS ":%u\"\nready: \"" ADDRESS ":%u\"\n"
            "peer: \"" ADDRESS ":%u\"\nstore: \"" ADDRESS ":%u\"\n"
            "advice: \"" ADDRESS ":%u\"\nseeds: \"",
            i, i % 2 == 0 ? "z-a" : "z-b", e->front, e->ready, e->peer,
            store_port, advice_port);
    for (int k = 0; k < entry_count && k < 3; k++) {
        fprintf(file, "%s" ADDRESS ":%u", k == 0 ? "" : ",", entries[k].peer);
    }
    fprintf(file,
            "\"\nmetrics_port: %u\nprocessor_share: 0.25\n"
            "link_mbps: 1000.0\nstop_grace_s: 6\nlongest_lease_ms: %d\n"
            "keep_finished_s: 120\noverload_order: true\n"
            "overload_refusal: true\nworker_speeds: true\n",
            e->metrics, SIM_HOLD_MAX_MS);
    fclose(file);
    char log[600];
    snprintf(log, sizeof(log), "%s/entry-%d.%d.log", work_dir, i, e->starts++);
    e->pid = fork();
    if (e->pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        int fd = open(log, O_WRONLY | O_CREAT | O_TRUNC, 0644);
        dup2(fd, 1);
        dup2(fd, 2);
        setenv("GUAVAFLOW_CONFIG", path, 1);
        execl("target/guavaflow", "target/guavaflow", "entry", (char *)NULL);
        _exit(127);
    }
    Sim_Record("entry e%d: started", i);
}

void
Sim_StartEntries(int count)
{
    entry_count = count;
    for (int i = 0; i < count; i++) {
        entries[i].front = free_port();
        entries[i].ready = free_port();
        entries[i].peer = free_port();
        entries[i].metrics = free_port();
    }
    for (int i = 0; i < count; i++) {
        launch(i);
    }
}

void
Sim_KillEntry(int i)
{
    Sim_Record("entry e%d: killed", i);
    kill(entries[i].pid, SIGKILL);
    waitpid(entries[i].pid, NULL, 0);
    entries[i].pid = 0;
}

void
Sim_RestartEntry(int i)
{
    launch(i);
}

json_t *
Sim_StoredRow(const char *table, const char *part, const char *key)
{
    json_t *names =
        json_pack("{s:s,s:s,s:s}", "table", table, "part", part, "key", key);
    const Row *r = find_row(names, false);
    json_decref(names);
    if (r == NULL || r->deleted) {
        return NULL;
    }
    const char *value = text_of(r->row, "value");
    size_t len = strlen(value);
    char *text = malloc(len + 1);
    json_t *json = NULL;
    if (sodium_base642bin((unsigned char *)text, len + 1, value, len, NULL,
                          &len, NULL, sodium_base64_VARIANT_ORIGINAL) == 0) {
        json = json_loadb(text, len, 0, NULL);
    }
    free(text);
    return json;
}

/* Returns the entry that the owner's row names, or -1. */
int
Sim_Owner(void)
{
    json_t *json = Sim_StoredRow("cell", "owner", "owner");
    int entry = -1;
    sscanf(text_of(json, "member"), "e%d", &entry);
    json_decref(json);
    return entry;
}

static void
on_exit_kill(void)
{
    for (int i = 0; i < entry_count; i++) {
        if (entries[i].pid > 0) {
            kill(entries[i].pid, SIGKILL);
            waitpid(entries[i].pid, NULL, 0);
            entries[i].pid = 0;
        }
    }
}

/* The callers. */

typedef struct {
    bool over;
    int status;
    json_t *reply;
} Answer;

static void
on_answer(void *arg, const GfHttpResult *result)
{
    Answer *a = arg;
    a->over = true;
    a->status = result->kind == GF_OK ? result->status : 0;
    a->reply = GfHttp_ParseJson(result);
}

static int
call_port(uint16_t port, const char *method, const char *path, const char *key,
          const char *body, int timeout_ms, json_t **reply)
{
    Answer a = {0};
    char deadline[16];
    snprintf(deadline, sizeof(deadline), "%d", 3000);
    GfHttpHeader headers[] = {{"Content-Type", "application/json"},
                              {"X-Guavaflow-Deadline", deadline},
                              {"X-Api-Key", key}};
    GfHttpCall call = {.address = ADDRESS,
                       .port = port,
                       .method = strcmp(method, "POST") == 0 ? EVHTTP_REQ_POST
                                 : strcmp(method, "DELETE") == 0
                                     ? EVHTTP_REQ_DELETE
                                     : EVHTTP_REQ_GET,
                       .path = path,
                       .host = SIM_HOST,
                       .headers = headers,
                       .header_count = key == NULL ? 2 : 3,
                       .body = body,
                       .body_len = body == NULL ? 0 : strlen(body),
                       .timeout_ms = timeout_ms};
    GfHttp_Start(http, &call, on_answer, &a);
    while (!a.over) {
        Sim_Run(2);
    }
    if (reply != NULL) {
        *reply = a.reply;
    }
    else {
        json_decref(a.reply);
    }
    return a.status;
}

int
Sim_Call(int entry, const char *method, const char *path, const char *key,
         const char *body, int timeout_ms, json_t **reply)
{
    return call_port(entries[entry].front, method, path, key, body, timeout_ms,
                     reply);
}

/* Waits until all entries are ready and one owns the cell. */
bool
Sim_WaitReady(int ms)
{
    int64_t end = Sim_Now() + ms;
    bool all = false;
    while (!all && Sim_Now() < end) {
        Sim_Run(100);
        all = Sim_Owner() >= 0;
        for (int i = 0; i < entry_count; i++) {
            all = all && call_port(entries[i].ready, "GET", "/v1/ready", NULL,
                                   NULL, 500, NULL) == 200;
        }
    }
    Sim_Record("entries ready: %s, owner e%d", all ? "yes" : "no",
               Sim_Owner());
    return all;
}

int
Sim_SubmitBody(int entry, const char *prefix, const char *id, const char *key,
               const char *body, int timeout_ms)
{
    char path[128];
    snprintf(path, sizeof(path), "%s%s", prefix, id);
    int status = Sim_Call(entry, "POST", path, key, body, timeout_ms, NULL);
    Sim_Record("caller: POST %s at e%d %s: %d", path, entry, body, status);
    return status;
}

/* Writes the body of a job of one step. */
static void
format_job(char *body, size_t size, int count, int64_t mcores, int64_t ms)
{
    snprintf(body, size,
             "{\"spec\":\"ms=%lld cpu=%lld\",\"steps\":[{\"count\":%d,"
             "\"cpu\":%lld,\"memMb\":256,\"estMs\":%lld}]}",
             (long long)ms, (long long)mcores, count, (long long)mcores,
             (long long)ms);
}

int
Sim_Submit(int entry, const char *prefix, const char *id, const char *key,
           int count, int64_t mcores, int64_t ms, int timeout_ms)
{
    char body[512];
    format_job(body, sizeof(body), count, mcores, ms);
    return Sim_SubmitBody(entry, prefix, id, key, body, timeout_ms);
}

int
Sim_SubmitChain(int entry, const char *prefix, const char *id, const char *key,
                int steps, int count, int64_t mcores, int64_t ms)
{
    char body[4096];
    int len = snprintf(body, sizeof(body),
                       "{\"spec\":\"ms=%lld cpu=%lld\","
                       "\"steps\":[",
                       (long long)ms, (long long)mcores);
    for (int i = 0; i < steps; i++) {
        len += snprintf(body + len, sizeof(body) - (size_t)len,
                        "%s{\"count\":%d,\"cpu\":%lld,\"memMb\":256,"
                        "\"estMs\":%lld",
                        i == 0 ? "" : ",", count, (long long)mcores,
                        (long long)ms);
        if (i > 0) {
            len += snprintf(body + len, sizeof(body) - (size_t)len,
                            ",\"after\":[%d]", i - 1);
        }
        len += snprintf(body + len, sizeof(body) - (size_t)len, "}");
    }
    snprintf(body + len, sizeof(body) - (size_t)len, "]}");
    return Sim_SubmitBody(entry, prefix, id, key, body, 3000);
}

static void
on_later_answer(void *arg, const GfHttpResult *result)
{
    char *path = arg;
    int status = result->kind == GF_OK ? result->status : 0;
    Sim_Record("caller: POST %s: %d", path, status);
    free(path);
}

void
Sim_SubmitLater(int entry, const char *prefix, const char *id, const char *key,
                int count, int64_t mcores, int64_t ms)
{
    char body[512];
    char *path = malloc(128);
    format_job(body, sizeof(body), count, mcores, ms);
    snprintf(path, 128, "%s%s", prefix, id);
    GfHttpHeader headers[] = {{"Content-Type", "application/json"},
                              {"X-Guavaflow-Deadline", "3000"},
                              {"X-Api-Key", key}};
    GfHttpCall call = {.address = ADDRESS,
                       .port = entries[entry].front,
                       .method = EVHTTP_REQ_POST,
                       .path = path,
                       .host = SIM_HOST,
                       .headers = headers,
                       .header_count = 3,
                       .body = body,
                       .body_len = strlen(body),
                       .timeout_ms = 3000};
    GfHttp_Start(http, &call, on_later_answer, path);
}

const char *
Sim_State(int entry, const char *prefix, const char *id, const char *key)
{
    static char state[32];
    char path[128];
    json_t *reply = NULL;
    snprintf(path, sizeof(path), "%s%s", prefix, id);
    int status = Sim_Call(entry, "GET", path, key, NULL, 3000, &reply);
    snprintf(state, sizeof(state), "%s",
             status == 200 ? text_of(reply, "state") : "");
    Sim_Record("caller: GET %s at e%d: %d %s", path, entry, status, state);
    json_decref(reply);
    return state;
}

/* Runs the case: PROGRAM RECORD. TROUBLE=0 in the environment leaves the
 * disruption out. The work folder is a temporary one; its path is printed if
 * KEEP is set, and else it is removed. */
int
main(int argc, char **argv)
{
    if (argc < 2 || sodium_init() < 0) {
        fprintf(stderr, "usage: %s RECORD\n", argv[0]);
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    const char *trouble = getenv("TROUBLE");
    record = fopen(argv[1], "w");
    const char *tmp = getenv("TMPDIR");
    snprintf(work_dir, sizeof(work_dir), "%s/review-XXXXXX",
             tmp == NULL ? "/tmp" : tmp);
    if (record == NULL || mkdtemp(work_dir) == NULL) {
        fprintf(stderr, "sim: no record or no temporary folder\n");
        return 2;
    }
    epoch_ms = steady_ms();
    base = event_base_new();
    http = GfHttp_Create(base);
    atexit(on_exit_kill);
    alarm(MAX_RUN_S); /* the entries end with this process */
    int code = Case_Run(trouble == NULL || strcmp(trouble, "0") != 0);
    Sim_Record("result: %s", code == 0   ? "the rule held"
                             : code == 1 ? "the rule was broken"
                                         : "the case could not run");
    on_exit_kill();
    if (getenv("KEEP") != NULL) {
        printf("%s\n", work_dir);
    }
    else {
        char command[600];
        snprintf(command, sizeof(command), "rm -rf '%s'", work_dir);
        if (system(command) != 0) {
            fprintf(stderr, "sim: cannot remove %s\n", work_dir);
        }
    }
    return code;
}
