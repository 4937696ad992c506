/* The users' platform in small: a store of rows, an advice service and
 * workers, in one process. It watches what must hold and lists breaches. */
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>
#include <uthash.h>
#include <utlist.h>

#include "guavaflow/clock.h"
#include "standin.h"

#define MAX_WORKERS 64
#define TICK_MS 5
#define STOP_MS 80
#define KEY_BYTES 640
#define MAX_LEASE_MS 10000
#define WORKER_MCORES 16000
#define WORKER_MB 64000
#define LATE_MIN_MS 1500
#define LATE_SPAN_MS 4000

typedef struct {
    char id[KEY_BYTES]; /* table, part and key, each ended by a line feed */
    json_t *row;
    int64_t version;
    UT_hash_handle hh;
} Row;

typedef struct Feed {
    GfExchange *exchange;
    char table[64];
    int64_t after;
    int64_t until;
    struct Feed *next;
    struct Feed *prev;
} Feed;

typedef struct Run {
    char task[80];
    int64_t run;
    int64_t ends_at;
    bool fails;
    bool stopping;
    int64_t mcores;
    struct Run *next;
    struct Run *prev;
} Run;

typedef struct End {
    int64_t number;
    char task[80];
    int64_t run;
    const char *how;
    struct End *next;
    struct End *prev;
} End;

typedef struct {
    char key[100]; /* task and worker */
    int64_t run;
    UT_hash_handle hh;
} Stopped;

typedef struct Hold {
    GfExchange *exchange;
    int64_t until;
    struct Hold *next;
    struct Hold *prev;
} Hold;

typedef struct Late {
    json_t *body;
    bool start;
    int64_t due;
    struct Late *next;
    struct Late *prev;
} Late;

typedef struct {
    int index;
    char id[16];
    GfServer *server;
    Run *runs;
    End *ends;
    Stopped *stopped;
    Hold *holds;
    Late *late;
    int64_t next_end;
    int64_t fence;
    int64_t until;
    int64_t born;
    bool alive;
    bool cut;
    bool failing;
    bool lating;
} SimWorker;

typedef struct {
    char task[80];
    bool done; /* the end was acknowledged */
    UT_hash_handle hh;
} Known;

static struct {
    struct event_base *base;
    Row *rows;
    Feed *feeds;
    int64_t version;
    SimWorker workers[MAX_WORKERS];
    int worker_count;
    uint16_t port;
    char address[32];
    uint64_t random;
    Known *known;
    json_t *breaches;
    int starts;
} fleet;

/* Returns a number from 0 to 1. */
static double
chance(void)
{
    fleet.random = fleet.random * 6364136223846793005ULL + 1;
    return (double)(fleet.random >> 40U) / (double)(1U << 24U);
}

/* Lists a breach. */
static void
breach(const char *format, ...)
{
    char text[256];
    va_list args;
    va_start(args, format);
    vsnprintf(text, sizeof(text), format, args);
    va_end(args);
    json_array_append_new(fleet.breaches, json_string(text));
}

static const char *
text_or_empty(const char *text)
{
    return text == NULL ? "" : text;
}

/* Names a row. */
static void
row_id(char *id, const char *table, const char *part, const char *key)
{
    snprintf(id, KEY_BYTES, "%s\n%s\n%s", table, part, key);
}

static Row *
find_row(const json_t *names)
{
    char id[KEY_BYTES];
    row_id(id, Standin_Text(names, "table"), Standin_Text(names, "part"),
           Standin_Text(names, "key"));
    Row *row = NULL;
    HASH_FIND_STR(fleet.rows, id, row);
    return row;
}

/* Writes or, with no value, removes a row under the current version. */
static void
put_row(const json_t *names)
{
    Row *row = find_row(names);
    if (row == NULL) {
        row = calloc(1, sizeof(*row));
        row_id(row->id, Standin_Text(names, "table"),
               Standin_Text(names, "part"), Standin_Text(names, "key"));
        HASH_ADD_STR(fleet.rows, id, row);
    }
    json_decref(row->row);
    row->row = json_copy((json_t *)names);
    json_object_set_new(row->row, "ver", json_integer(fleet.version));
    if (json_object_get(names, "value") == NULL) {
        json_object_set_new(row->row, "deleted", json_true());
    }
    row->version = fleet.version;
}

static bool
exists(const Row *row)
{
    return row != NULL && json_object_get(row->row, "deleted") == NULL;
}

/* Answers the feeds of tables that changed, or whose time is over. */
static void
answer_feeds(void)
{
    Feed *f;
    Feed *tmp;
    DL_FOREACH_SAFE(fleet.feeds, f, tmp)
    {
        json_t *rows = json_array();
        for (Row *r = fleet.rows; r != NULL; r = r->hh.next) {
            if (r->version > f->after &&
                strcmp(Standin_Text(r->row, "table"), f->table) == 0) {
                json_array_append(rows, r->row);
            }
        }
        if (json_array_size(rows) == 0 && Standin_NowMs() < f->until) {
            json_decref(rows);
            continue;
        }
        DL_DELETE(fleet.feeds, f);
        GfExchange_ReplyJson(f->exchange, 200,
                             json_pack("{s:o,s:I,s:I}", "rows", rows, "ver",
                                       (json_int_t)fleet.version, "nowMs",
                                       (json_int_t)Standin_NowMs()));
        free(f);
    }
}

/* Handles a transaction. */
static int
transact(const json_t *body, json_t **reply)
{
    json_t *current = json_array();
    bool holds = true;
    size_t i;
    json_t *entry;
    json_array_foreach(json_object_get(body, "expect"), i, entry)
    {
        const Row *row = find_row(entry);
        int64_t version = exists(row) ? row->version : 0;
        holds = holds && version == Standin_Integer(entry, "ver", 0);
        if (exists(row)) {
            json_array_append(current, row->row);
        }
    }
    if (!holds) {
        *reply = json_pack("{s:o,s:I}", "rows", current, "ver",
                           (json_int_t)fleet.version);
        return 412;
    }
    json_decref(current);
    fleet.version++;
    json_array_foreach(json_object_get(body, "upserts"), i, entry)
    {
        put_row(entry);
    }
    json_array_foreach(json_object_get(body, "remove"), i, entry)
    {
        put_row(entry);
    }
    *reply = json_pack("{s:I,s:I}", "ver", (json_int_t)fleet.version, "nowMs",
                       (json_int_t)Standin_NowMs());
    return 200;
}

static int
compare_keys(const void *a, const void *b)
{
    return strcmp(Standin_Text(*(json_t *const *)a, "key"),
                  Standin_Text(*(json_t *const *)b, "key"));
}

/* Handles a read of a part or of one row. */
static int
read_rows(GfExchange *exchange, json_t **reply)
{
    const char *table = text_or_empty(GfExchange_Query(exchange, "table"));
    const char *part = text_or_empty(GfExchange_Query(exchange, "part"));
    const char *from = text_or_empty(GfExchange_Query(exchange, "from"));
    bool one = GfExchange_Query(exchange, "limit") != NULL;
    json_t **found = calloc(HASH_COUNT(fleet.rows) + 1, sizeof(json_t *));
    size_t count = 0;
    for (Row *r = fleet.rows; r != NULL; r = r->hh.next) {
        const char *key = Standin_Text(r->row, "key");
        if (exists(r) && strcmp(Standin_Text(r->row, "table"), table) == 0 &&
            strcmp(Standin_Text(r->row, "part"), part) == 0 &&
            (one ? strcmp(key, from) == 0 : strcmp(key, from) > 0)) {
            found[count++] = r->row;
        }
    }
    qsort(found, count, sizeof(json_t *), compare_keys);
    json_t *rows = json_array();
    for (size_t i = 0; i < count && i < 500; i++) {
        json_array_append(rows, found[i]);
    }
    free(found);
    *reply = json_pack("{s:o,s:b,s:I}", "rows", rows, "morePages", count > 500,
                       "ver", (json_int_t)fleet.version);
    return 200;
}

/* Keeps a call for changes. */
static int
follow(GfExchange *exchange)
{
    Feed *f = calloc(1, sizeof(*f));
    f->exchange = exchange;
    snprintf(f->table, sizeof(f->table), "%s",
             text_or_empty(GfExchange_Query(exchange, "table")));
    f->after =
        strtoll(text_or_empty(GfExchange_Query(exchange, "after")), NULL, 10);
    f->until =
        Standin_NowMs() +
        strtoll(text_or_empty(GfExchange_Query(exchange, "waitMs")), NULL, 10);
    DL_APPEND(fleet.feeds, f);
    answer_feeds();
    return 0;
}

/* Writes a row of the platform itself. */
static void
write_own_row(const char *table, const char *key, json_t *value)
{
    json_t *row =
        json_pack("{s:s,s:s,s:s}", "table", table, "part", "", "key", key);
    if (value != NULL) {
        char *text = json_dumps(value, JSON_COMPACT);
        size_t len = strlen(text);
        size_t room =
            sodium_base64_encoded_len(len, sodium_base64_VARIANT_ORIGINAL);
        char *coded = malloc(room);
        sodium_bin2base64(coded, room, (const unsigned char *)text, len,
                          sodium_base64_VARIANT_ORIGINAL);
        json_object_set_new(row, "value", json_string(coded));
        free(coded);
        free(text);
        json_decref(value);
    }
    fleet.version++;
    put_row(row);
    json_decref(row);
    answer_feeds();
}

/* Reports a worker in the table. */
static void
report(const SimWorker *w)
{
    char address[64];
    snprintf(address, sizeof(address), "%s:%d", fleet.address,
             fleet.port + 10 + w->index);
    json_t *room = json_pack("{s:i,s:i,s:i}", "cpu", WORKER_MCORES, "memMb",
                             WORKER_MB, "gpu", 0);
    write_own_row("servers", w->id,
                  json_pack("{s:s,s:s,s:s,s:s,s:o,s:[s,s],s:I,s:I}", "service",
                            "plan", "address", address, "zone",
                            w->index % 2 == 0 ? "d0" : "d1", "state", "ready",
                            "capacity", room, "labels", "a", "r0", "clockMs",
                            (json_int_t)Standin_NowMs(), "born",
                            (json_int_t)w->born));
}

/* Answers the holds of a worker that have something to tell or whose time is
 * over. */
static void
answer_holds(SimWorker *w)
{
    Hold *h;
    Hold *tmp;
    DL_FOREACH_SAFE(w->holds, h, tmp)
    {
        if (w->ends == NULL && Standin_NowMs() < h->until) {
            continue;
        }
        DL_DELETE(w->holds, h);
        json_t *runs = json_array();
        Run *r;
        DL_FOREACH(w->runs, r)
        {
            json_array_append_new(runs,
                                  json_pack("[s,I,s,i,i]", r->task,
                                            (json_int_t)r->run, "", 100, 0));
        }
        json_t *ends = json_array();
        End *e;
        DL_FOREACH(w->ends, e)
        {
            json_array_append_new(
                ends, json_pack("[I,s,I,s,s]", (json_int_t)e->number, e->task,
                                (json_int_t)e->run, e->how, ""));
        }
        GfExchange_ReplyJson(h->exchange, 200,
                             json_pack("{s:I,s:I,s:o,s:o}", "clockMs",
                                       (json_int_t)Standin_NowMs(), "born",
                                       (json_int_t)w->born, "running", runs,
                                       "ended", ends));
        free(h);
    }
}

/* Ends a run. */
static void
end_run(SimWorker *w, Run *r, const char *how)
{
    End *e = calloc(1, sizeof(*e));
    e->number = ++w->next_end;
    memcpy(e->task, r->task, sizeof(e->task));
    e->run = r->run;
    e->how = how;
    DL_APPEND(w->ends, e);
    DL_DELETE(w->runs, r);
    free(r);
}

/* Finds what is known of a task. */
static Known *
known(const char *task)
{
    Known *k = NULL;
    HASH_FIND_STR(fleet.known, task, k);
    if (k == NULL) {
        k = calloc(1, sizeof(*k));
        snprintf(k->task, sizeof(k->task), "%s", task);
        HASH_ADD_STR(fleet.known, task, k);
    }
    return k;
}

/* Checks what must hold when a run starts. */
static void
check_start(const SimWorker *w, const Run *run)
{
    int64_t used = 0;
    const Run *r;
    DL_FOREACH(w->runs, r)
    {
        used += r->mcores;
    }
    if (used > WORKER_MCORES) {
        breach("worker %s is over its room", w->id);
    }
    for (int i = 0; i < fleet.worker_count; i++) {
        DL_FOREACH(fleet.workers[i].runs, r)
        {
            if (r != run && strcmp(r->task, run->task) == 0) {
                breach("task %s runs twice, on %s and %s", run->task, w->id,
                       fleet.workers[i].id);
            }
        }
    }
    if (known(run->task)->done) {
        breach("task %s starts after it was done", run->task);
    }
}

/* Reads a number from the payload: "ms=300 fail=1". */
static int64_t
payload(const json_t *body, const char *name)
{
    const char *at = strstr(Standin_Text(body, "spec"), name);
    return at == NULL ? 0 : strtoll(at + strlen(name), NULL, 10);
}

/* Answers an order with a reason; NULL: it was carried out. */
static json_t *
order_reply(const char *reason)
{
    json_t *reply = json_pack("{s:I}", "clockMs", (json_int_t)Standin_NowMs());
    if (reason != NULL) {
        json_object_set_new(reply, "reason", json_string(reason));
    }
    return reply;
}

/* Carries out a start. Returns the reason of a refusal, or NULL. */
static const char *
start_run(SimWorker *w, const json_t *body)
{
    const char *task = Standin_Text(body, "task");
    int64_t number = Standin_Integer(body, "run", 0);
    int64_t until = Standin_Integer(body, "untilMs", 0);
    Run *r;
    DL_FOREACH(w->runs, r)
    {
        if (strcmp(r->task, task) == 0) {
            return r->run == number ? NULL : "old";
        }
    }
    Stopped *stop = NULL;
    HASH_FIND_STR(w->stopped, task, stop);
    if (stop != NULL && number <= stop->run) {
        return "old";
    }
    if (until <= Standin_NowMs()) {
        return "late";
    }
    w->until = until > w->until ? until : w->until;
    r = calloc(1, sizeof(*r));
    snprintf(r->task, sizeof(r->task), "%s", task);
    r->run = number;
    r->mcores = payload(body, "mcores=");
    r->fails = w->failing || payload(body, "fail=") > 0;
    r->ends_at = Standin_NowMs() + payload(body, "ms=");
    DL_APPEND(w->runs, r);
    fleet.starts++;
    check_start(w, r);
    return NULL;
}

/* Carries out a stop. */
static void
stop_run(SimWorker *w, const json_t *body)
{
    const char *task = Standin_Text(body, "task");
    int64_t number = Standin_Integer(body, "run", 0);
    Stopped *stop = NULL;
    HASH_FIND_STR(w->stopped, task, stop);
    if (stop == NULL) {
        stop = calloc(1, sizeof(*stop));
        snprintf(stop->key, sizeof(stop->key), "%s", task);
        HASH_ADD_STR(w->stopped, key, stop);
    }
    stop->run = number > stop->run ? number : stop->run;
    Run *r;
    DL_FOREACH(w->runs, r)
    {
        if (strcmp(r->task, task) == 0 && r->run <= number) {
            r->stopping = true;
            r->ends_at = Standin_NowMs() + STOP_MS;
        }
    }
}

/* Forgets acknowledged ends and keeps the call until something ends. */
static void
hold(SimWorker *w, const json_t *body, GfExchange *exchange)
{
    int64_t acked = Standin_Integer(body, "ackCursor", 0);
    End *e;
    End *tmp;
    DL_FOREACH_SAFE(w->ends, e, tmp)
    {
        if (e->number <= acked) {
            known(e->task)->done =
                known(e->task)->done || strcmp(e->how, "done") == 0;
            DL_DELETE(w->ends, e);
            free(e);
        }
    }
    int64_t until = Standin_Integer(body, "untilMs", 0);
    if (until > Standin_NowMs() + MAX_LEASE_MS) {
        until = Standin_NowMs() + MAX_LEASE_MS;
    }
    w->until = until > w->until ? until : w->until;
    Hold *h = calloc(1, sizeof(*h));
    h->exchange = exchange;
    h->until = Standin_NowMs() + Standin_Integer(body, "waitMs", 0);
    DL_APPEND(w->holds, h);
    answer_holds(w);
}

/* Handles an order to a worker. */
static void
on_order(void *ctx, GfExchange *exchange)
{
    SimWorker *w = ctx;
    GfStr text = GfExchange_Body(exchange);
    json_t *body = json_loadb(text.data, text.len, 0, NULL);
    GfStr_Clear(&text);
    const char *path = GfExchange_Path(exchange);
    const char *life =
        GfExchange_Header(exchange, "X-Guavaflow-Expected-Instance");
    bool start = strcmp(path, "/v1/run-start") == 0;
    int64_t fence = Standin_Integer(body, "fence", 0);
    if (!w->alive || w->cut) {
        GfExchange_Drop(exchange);
    }
    else if (life != NULL && strcmp(life, w->id) != 0) {
        GfExchange_ReplyJson(exchange, 421, order_reply(NULL));
    }
    else if (fence < w->fence) {
        GfExchange_ReplyJson(exchange, 409, order_reply("fence"));
    }
    else if (start && w->lating && chance() < 0.5) {
        Late *late = calloc(1, sizeof(*late));
        late->body = json_incref(body);
        late->start = true;
        late->due =
            Standin_NowMs() + LATE_MIN_MS + (int64_t)(chance() * LATE_SPAN_MS);
        DL_APPEND(w->late, late);
        GfExchange_Drop(exchange);
    }
    else {
        w->fence = fence;
        if (strcmp(path, "/v1/hold") == 0) {
            hold(w, body, exchange);
        }
        else if (start) {
            const char *reason = start_run(w, body);
            GfExchange_ReplyJson(exchange, reason == NULL ? 200 : 409,
                                 order_reply(reason));
        }
        else {
            if (strcmp(path, "/v1/run-stop") == 0) {
                stop_run(w, body);
            }
            GfExchange_ReplyJson(exchange, 200, order_reply(NULL));
        }
    }
    json_decref(body);
}

/* Drops all that a worker runs and knows. */
static void
forget_all(SimWorker *w)
{
    Run *r;
    Run *rtmp;
    DL_FOREACH_SAFE(w->runs, r, rtmp)
    {
        DL_DELETE(w->runs, r);
        free(r);
    }
    End *e;
    End *etmp;
    DL_FOREACH_SAFE(w->ends, e, etmp)
    {
        DL_DELETE(w->ends, e);
        free(e);
    }
    Stopped *s;
    Stopped *stmp;
    HASH_ITER(hh, w->stopped, s, stmp)
    {
        HASH_DEL(w->stopped, s);
        free(s);
    }
    Hold *h;
    Hold *htmp;
    DL_FOREACH_SAFE(w->holds, h, htmp)
    {
        DL_DELETE(w->holds, h);
        GfExchange_Drop(h->exchange);
        free(h);
    }
    Late *late;
    Late *ltmp;
    DL_FOREACH_SAFE(w->late, late, ltmp)
    {
        DL_DELETE(w->late, late);
        json_decref(late->body);
        free(late);
    }
    w->next_end = 0;
    w->fence = 0;
    w->until = 0;
}

/* Ends what is due on a worker, and carries out late orders. */
static void
step_worker(SimWorker *w)
{
    int64_t now = Standin_NowMs();
    Run *r;
    Run *rtmp;
    DL_FOREACH_SAFE(w->runs, r, rtmp)
    {
        if (w->until <= now) {
            end_run(w, r, "lapsed");
        }
        else if (r->ends_at <= now) {
            end_run(w, r,
                    r->stopping ? "stopped"
                    : r->fails  ? "failed"
                                : "done");
        }
    }
    Late *late;
    Late *ltmp;
    DL_FOREACH_SAFE(w->late, late, ltmp)
    {
        if (late->due <= now) {
            DL_DELETE(w->late, late);
            if (Standin_Integer(late->body, "fence", 0) >= w->fence) {
                start_run(w, late->body);
            }
            json_decref(late->body);
            free(late);
        }
    }
    if (!w->cut) {
        answer_holds(w);
    }
}

/* Changes a worker: {"index", "action"}. */
static void
change_worker(const json_t *body)
{
    int64_t index = Standin_Integer(body, "index", 0);
    const char *action = Standin_Text(body, "action");
    SimWorker *w = &fleet.workers[index % fleet.worker_count];
    if (strcmp(action, "crash") == 0) {
        w->alive = false;
        forget_all(w);
    }
    else if (strcmp(action, "restart") == 0 && !w->alive) {
        w->alive = true;
        w->born++;
        report(w);
    }
    else if (strcmp(action, "cut") == 0) {
        w->cut = true;
    }
    else if (strcmp(action, "join") == 0) {
        w->cut = false;
    }
    else if (strcmp(action, "fail") == 0) {
        w->failing = true;
    }
    else if (strcmp(action, "late") == 0) {
        w->lating = true;
    }
    else if (strcmp(action, "heal") == 0) {
        w->failing = false;
        w->lating = false;
    }
}

/* Handles calls to the store and those of the test. */
static int
on_store(void *ctx, GfExchange *exchange, json_t *body, json_t **reply)
{
    (void)ctx;
    const char *path = GfExchange_Path(exchange);
    if (strcmp(path, "/v1/rows-tx") == 0) {
        int status = transact(body, reply);
        answer_feeds();
        return status;
    }
    if (strcmp(path, "/v1/rows-get") == 0) {
        return read_rows(exchange, reply);
    }
    if (strcmp(path, "/v1/rows-feed") == 0) {
        return follow(exchange);
    }
    if (strcmp(path, "/test/config") == 0) {
        write_own_row("op", "config", json_incref(body));
    }
    else if (strcmp(path, "/test/worker") == 0) {
        change_worker(body);
    }
    *reply = json_pack("{s:O,s:i}", "breaches", fleet.breaches, "starts",
                       fleet.starts);
    return 200;
}

/* Answers a question for advice: two workers of three may run a step. */
static int
on_advice(void *ctx, GfExchange *exchange, json_t *body, json_t **reply)
{
    (void)ctx;
    (void)exchange;
    json_t *good = json_array();
    size_t i;
    json_t *worker;
    json_array_foreach(json_object_get(body, "workers"), i, worker)
    {
        const char *id = json_string_value(worker);
        if (id != NULL && strtol(id + 1, NULL, 10) % 3 != 0) {
            json_array_append_new(good, json_pack("[s,s]", id, "ticket"));
        }
    }
    *reply = json_pack("{s:o,s:i}", "good", good, "validMs", 2000);
    return 200;
}

static void
on_tick(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    (void)arg;
    for (int i = 0; i < fleet.worker_count; i++) {
        if (fleet.workers[i].alive) {
            step_worker(&fleet.workers[i]);
        }
    }
    answer_feeds();
}

/* Runs the platform: fleet ADDRESS PORT WORKERS SEED. The advice service is
 * at the next port, workers from ten ports above on. */
int
Fleet_Main(int argc, char **argv)
{
    if (argc < 5 || sodium_init() < 0) {
        fprintf(stderr, "usage: standin fleet ADDRESS PORT WORKERS SEED\n");
        return 2;
    }
    snprintf(fleet.address, sizeof(fleet.address), "%s", argv[1]);
    fleet.base = event_base_new();
    fleet.port = (uint16_t)atoi(argv[2]);
    fleet.worker_count = atoi(argv[3]) % (MAX_WORKERS + 1);
    fleet.random = strtoull(argv[4], NULL, 10) * 2654435761U + 1;
    fleet.breaches = json_array();
    Standin_Create(fleet.base, argv[1], fleet.port, on_store, NULL,
                   json_array());
    Standin_Create(fleet.base, argv[1], (uint16_t)(fleet.port + 1), on_advice,
                   NULL, json_array());
    for (int i = 0; i < fleet.worker_count; i++) {
        SimWorker *w = &fleet.workers[i];
        w->index = i;
        snprintf(w->id, sizeof(w->id), "w%d", i);
        w->alive = true;
        w->born = 1000 + i;
        GfError error;
        w->server = GfServer_Create(fleet.base, argv[1],
                                    (uint16_t)(fleet.port + 10 + i),
                                    1024 * 1024, on_order, w, &error);
        if (w->server == NULL) {
            fprintf(stderr, "standin: %s\n", error.text);
            return 1;
        }
        report(w);
    }
    struct event *tick =
        event_new(fleet.base, -1, EV_PERSIST | EV_TIMEOUT, on_tick, NULL);
    struct timeval tv = GfTime_ToTimeval(TICK_MS);
    event_add(tick, &tv);
    event_base_dispatch(fleet.base);
    return 0;
}
