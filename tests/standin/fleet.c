/* The stand-in of the platform for entries whose ownership rests on a token:
 * a store of versioned rows with a feed of changes, an advice service, and
 * workers, in one process. It checks these invariants and lists violations: no
 * worker exceeds its capacity, no task runs twice at once, and no task starts
 * after its completion was acknowledged. Times are ms on the boot-time clock.
 */
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
#define STOP_DELAY_MS 80 /* from a stop order to the end of the run */
#define KEY_BYTES 640
#define MAX_LEASE_MS 10000
#define WORKER_MCORES 16000
#define WORKER_MEMORY_MB 64000
/* A delayed start is carried out LATE_MIN_MS to LATE_MIN_MS + LATE_SPAN_MS
 * after it arrived. */
#define LATE_MIN_MS 1500
#define LATE_SPAN_MS 4000

/* A row as the store returns it. A deleted row stays, marked "deleted", so
 * that feeds report the deletion. */
typedef struct {
    char id[KEY_BYTES]; /* table, part and key, separated by line feeds */
    json_t *row;
    int64_t version; /* of the transaction that wrote it */
    UT_hash_handle hh;
} Row;

/* A request that waits until a table has rows newer than version after, at
 * most until the given time. */
typedef struct Feed {
    GfExchange *exchange;
    char table[64];
    int64_t after;
    int64_t until;
    struct Feed *next;
    struct Feed *prev;
} Feed;

/* A run of a task on a worker. */
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

/* A completed run, listed until the owner acknowledges its number. */
typedef struct Completion {
    int64_t number; /* counted from 1 in each incarnation of the worker */
    char task[80];
    int64_t run;
    const char *outcome; /* done, failed, stopped or lapsed */
    struct Completion *next;
    struct Completion *prev;
} Completion;

/* A stop order that a worker has received: it refuses starts of the task with
 * this run number or a lower one. */
typedef struct {
    char key[100]; /* id of the task */
    int64_t run;
    UT_hash_handle hh;
} StopOrder;

/* A hold order, whose reply waits for a completion, at most until the given
 * time. */
typedef struct Hold {
    GfExchange *exchange;
    int64_t until;
    struct Hold *next;
    struct Hold *prev;
} Hold;

/* A start order that is carried out late, without a reply. */
typedef struct LateStart {
    json_t *body;
    bool start;
    int64_t due;
    struct LateStart *next;
    struct LateStart *prev;
} LateStart;

/* A simulated worker with a server of its own. */
typedef struct {
    int index;
    char id[16];
    GfServer *server;
    Run *runs;
    Completion *completions;
    StopOrder *stop_orders;
    Hold *holds;
    LateStart *late;
    int64_t last_completion; /* number of the latest completion */
    int64_t fence;           /* highest token seen */
    int64_t until;           /* end of the lease; then all runs lapse */
    int64_t born;            /* identifies the incarnation */
    bool alive;
    bool isolated;      /* drops all orders */
    bool failing;       /* runs that start now fail */
    bool delays_starts; /* carries out half of the starts late */
} SimWorker;

/* What the checks know of a task. */
typedef struct {
    char task[80];
    bool done; /* its completion was acknowledged */
    UT_hash_handle hh;
} TaskRecord;

/* The stand-in's state. */
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
    TaskRecord *tasks;
    json_t *violations;
    int starts;
} fleet;

/* Returns the next pseudorandom number in [0, 1). */
static double
random_unit(void)
{
    fleet.random = fleet.random * 6364136223846793005ULL + 1;
    return (double)(fleet.random >> 40U) / (double)(1U << 24U);
}

/* Adds a violated invariant to the list. */
static void
add_violation(const char *format, ...)
{
    char text[256];
    va_list args;
    va_start(args, format);
    vsnprintf(text, sizeof(text), format, args);
    va_end(args);
    json_array_append_new(fleet.violations, json_string(text));
}

/* Returns the text, or "" for NULL. */
static const char *
text_or_empty(const char *text)
{
    return text == NULL ? "" : text;
}

/* Writes the id of a row to a buffer of KEY_BYTES. */
static void
row_id(char *id, const char *table, const char *part, const char *key)
{
    snprintf(id, KEY_BYTES, "%s\n%s\n%s", table, part, key);
}

/* Finds the row that "table", "part" and "key" name; NULL if there is none. */
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

/* Writes a row with the current version, or marks it as deleted if it has no
 * value. Stores a copy of names, which stays the caller's. */
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

/* Returns whether a row exists and isn't deleted. */
static bool
exists(const Row *row)
{
    return row != NULL && json_object_get(row->row, "deleted") == NULL;
}

/* Replies to the feeds whose table has newer rows or whose time is over. */
static void
reply_to_feeds(void)
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

/* Handles a transaction: {"expect", "upserts", "remove"}. It is committed if
 * each expected row has the given version (0: doesn't exist); else the reply
 * is 412 with the current rows. */
static int
transact(const json_t *body, json_t **reply)
{
    json_t *current = json_array();
    bool matches = true;
    size_t i;
    json_t *entry;
    json_array_foreach(json_object_get(body, "expect"), i, entry)
    {
        const Row *row = find_row(entry);
        int64_t version = exists(row) ? row->version : 0;
        matches = matches && version == Standin_Integer(entry, "ver", 0);
        if (exists(row)) {
            json_array_append(current, row->row);
        }
    }
    if (!matches) {
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

/* A qsort comparison of rows by key. */
static int
compare_keys(const void *a, const void *b)
{
    return strcmp(Standin_Text(*(json_t *const *)a, "key"),
                  Standin_Text(*(json_t *const *)b, "key"));
}

/* Handles a read: with "limit" the row whose key is "from", else the rows of a
 * part with keys above "from", in order, at most 500. */
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

/* Handles a feed request: the reply waits for changes of its table, at most
 * "waitMs". */
static int
open_feed(GfExchange *exchange)
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
    reply_to_feeds();
    return 0;
}

/* Writes a row in the platform's name, its value as base64 of JSON text; NULL
 * deletes it. Takes the reference to the value. */
static void
write_platform_row(const char *table, const char *key, json_t *value)
{
    json_t *row =
        json_pack("{s:s,s:s,s:s}", "table", table, "part", "", "key", key);
    if (value != NULL) {
        char *text = json_dumps(value, JSON_COMPACT);
        size_t len = strlen(text);
        size_t size =
            sodium_base64_encoded_len(len, sodium_base64_VARIANT_ORIGINAL);
        char *encoded = malloc(size);
        sodium_bin2base64(encoded, size, (const unsigned char *)text, len,
                          sodium_base64_VARIANT_ORIGINAL);
        json_object_set_new(row, "value", json_string(encoded));
        free(encoded);
        free(text);
        json_decref(value);
    }
    fleet.version++;
    put_row(row);
    json_decref(row);
    reply_to_feeds();
}

/* Writes a worker's row in the table of servers, with its state, capacity and
 * incarnation. */
static void
publish_worker(const SimWorker *w)
{
    char address[64];
    snprintf(address, sizeof(address), "%s:%d", fleet.address,
             fleet.port + 10 + w->index);
    json_t *capacity = json_pack("{s:i,s:i,s:i}", "cpu", WORKER_MCORES,
                                 "memMb", WORKER_MEMORY_MB, "gpu", 0);
    write_platform_row("servers", w->id,
                       json_pack("{s:s,s:s,s:s,s:s,s:o,s:[s,s],s:I,s:I}",
                                 "service", "plan", "address", address, "zone",
                                 w->index % 2 == 0 ? "d0" : "d1", "state",
                                 "ready", "capacity", capacity, "labels", "a",
                                 "r0", "clockMs", (json_int_t)Standin_NowMs(),
                                 "born", (json_int_t)w->born));
}

/* Replies to a worker's holds with an inventory, if it has completions to
 * report or if their time is over. */
static void
reply_to_holds(SimWorker *w)
{
    Hold *h;
    Hold *tmp;
    DL_FOREACH_SAFE(w->holds, h, tmp)
    {
        if (w->completions == NULL && Standin_NowMs() < h->until) {
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
        json_t *completions = json_array();
        Completion *c;
        DL_FOREACH(w->completions, c)
        {
            json_array_append_new(
                completions,
                json_pack("[I,s,I,s,s]", (json_int_t)c->number, c->task,
                          (json_int_t)c->run, c->outcome, ""));
        }
        GfExchange_ReplyJson(h->exchange, 200,
                             json_pack("{s:I,s:I,s:o,s:o}", "clockMs",
                                       (json_int_t)Standin_NowMs(), "born",
                                       (json_int_t)w->born, "running", runs,
                                       "ended", completions));
        free(h);
    }
}

/* Makes a worker refuse starts of a task up to a run number. */
static void
refuse_starts(SimWorker *w, const char *task, int64_t number)
{
    StopOrder *stop = NULL;
    HASH_FIND_STR(w->stop_orders, task, stop);
    if (stop == NULL) {
        stop = calloc(1, sizeof(*stop));
        snprintf(stop->key, sizeof(stop->key), "%s", task);
        HASH_ADD_STR(w->stop_orders, key, stop);
    }
    stop->run = number > stop->run ? number : stop->run;
}

/* Ends a run and adds it to the worker's completions. Frees the run. */
static void
complete_run(SimWorker *w, Run *r, const char *outcome)
{
    Completion *c = calloc(1, sizeof(*c));
    c->number = ++w->last_completion;
    memcpy(c->task, r->task, sizeof(c->task));
    c->run = r->run;
    c->outcome = outcome;
    DL_APPEND(w->completions, c);
    DL_DELETE(w->runs, r);
    refuse_starts(w, r->task, r->run);
    free(r);
}

/* Returns the record of a task, which is created if there is none. */
static TaskRecord *
task_record(const char *task)
{
    TaskRecord *t = NULL;
    HASH_FIND_STR(fleet.tasks, task, t);
    if (t == NULL) {
        t = calloc(1, sizeof(*t));
        snprintf(t->task, sizeof(t->task), "%s", task);
        HASH_ADD_STR(fleet.tasks, task, t);
    }
    return t;
}

/* Checks the invariants after a run has started on a worker. */
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
        add_violation("worker %s exceeds its capacity", w->id);
    }
    for (int i = 0; i < fleet.worker_count; i++) {
        DL_FOREACH(fleet.workers[i].runs, r)
        {
            if (r != run && strcmp(r->task, run->task) == 0) {
                add_violation("task %s runs twice, on %s and %s", run->task,
                              w->id, fleet.workers[i].id);
            }
        }
    }
    if (task_record(run->task)->done) {
        add_violation("task %s starts after it was done", run->task);
    }
}

/* Reads a number from a task's spec, such as "ms=300 fail=1". The name ends
 * with "="; 0 if it isn't in the spec. */
static int64_t
payload_number(const json_t *body, const char *name)
{
    const char *at = strstr(Standin_Text(body, "spec"), name);
    return at == NULL ? 0 : strtoll(at + strlen(name), NULL, 10);
}

/* Builds the reply to an order, which the caller owns. reason: why it was
 * refused; NULL if it was carried out. */
static json_t *
order_reply(const char *reason)
{
    json_t *reply = json_pack("{s:I}", "clockMs", (json_int_t)Standin_NowMs());
    if (reason != NULL) {
        json_object_set_new(reply, "reason", json_string(reason));
    }
    return reply;
}

/* Carries out a start order. Returns the reason if it is refused, else NULL:
 * "old" if another run of the task goes on or this one ended or was stopped,
 * "late" if the lease it asks for has ended. A repeated order succeeds. */
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
    StopOrder *stop = NULL;
    HASH_FIND_STR(w->stop_orders, task, stop);
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
    r->mcores = payload_number(body, "mcores=");
    r->fails = w->failing || payload_number(body, "fail=") > 0;
    r->ends_at = Standin_NowMs() + payload_number(body, "ms=");
    DL_APPEND(w->runs, r);
    fleet.starts++;
    check_start(w, r);
    return NULL;
}

/* Carries out a stop order: runs of the task up to this number end after
 * STOP_DELAY_MS, and starts of them that arrive later are refused. */
static void
stop_run(SimWorker *w, const json_t *body)
{
    const char *task = Standin_Text(body, "task");
    int64_t number = Standin_Integer(body, "run", 0);
    refuse_starts(w, task, number);
    Run *r;
    DL_FOREACH(w->runs, r)
    {
        if (strcmp(r->task, task) == 0 && r->run <= number) {
            r->stopping = true;
            r->ends_at = Standin_NowMs() + STOP_DELAY_MS;
        }
    }
}

/* Carries out a hold order: drops acknowledged completions, extends the lease
 * by at most MAX_LEASE_MS from now, and delays the reply until there is a
 * completion or "waitMs" are over. */
static void
hold(SimWorker *w, const json_t *body, GfExchange *exchange)
{
    int64_t acked = Standin_Integer(body, "ackCursor", 0);
    Completion *c;
    Completion *tmp;
    DL_FOREACH_SAFE(w->completions, c, tmp)
    {
        if (c->number <= acked) {
            task_record(c->task)->done =
                task_record(c->task)->done || strcmp(c->outcome, "done") == 0;
            DL_DELETE(w->completions, c);
            free(c);
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
    reply_to_holds(w);
}

/* Handles an order to a worker. A worker that is isolated or has crashed drops
 * it; it is refused if it is meant for another instance, or if its token, the
 * fence, is lower than the highest seen. A worker that delays starts carries
 * out half of them late, without a reply. */
static void
on_order(void *ctx, GfExchange *exchange)
{
    SimWorker *w = ctx;
    GfStr text = GfExchange_Body(exchange);
    json_t *body = json_loadb(text.data, text.len, 0, NULL);
    GfStr_Clear(&text);
    const char *path = GfExchange_Path(exchange);
    const char *instance =
        GfExchange_Header(exchange, "X-Guavaflow-Expected-Instance");
    bool start = strcmp(path, "/v1/run-start") == 0;
    int64_t fence = Standin_Integer(body, "fence", 0);
    if (!w->alive || w->isolated) {
        GfExchange_Drop(exchange);
    }
    else if (instance != NULL && strcmp(instance, w->id) != 0) {
        GfExchange_ReplyJson(exchange, 421, order_reply(NULL));
    }
    else if (fence < w->fence) {
        GfExchange_ReplyJson(exchange, 409, order_reply("fence"));
    }
    else if (start && w->delays_starts && random_unit() < 0.5) {
        LateStart *late = calloc(1, sizeof(*late));
        late->body = json_incref(body);
        late->start = true;
        late->due = Standin_NowMs() + LATE_MIN_MS +
                    (int64_t)(random_unit() * LATE_SPAN_MS);
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

/* Drops the runs and all other state of a worker that crashed. */
static void
reset_worker(SimWorker *w)
{
    Run *r;
    Run *rtmp;
    DL_FOREACH_SAFE(w->runs, r, rtmp)
    {
        DL_DELETE(w->runs, r);
        free(r);
    }
    Completion *c;
    Completion *ctmp;
    DL_FOREACH_SAFE(w->completions, c, ctmp)
    {
        DL_DELETE(w->completions, c);
        free(c);
    }
    StopOrder *s;
    StopOrder *stmp;
    HASH_ITER(hh, w->stop_orders, s, stmp)
    {
        HASH_DEL(w->stop_orders, s);
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
    LateStart *late;
    LateStart *ltmp;
    DL_FOREACH_SAFE(w->late, late, ltmp)
    {
        DL_DELETE(w->late, late);
        json_decref(late->body);
        free(late);
    }
    w->last_completion = 0;
    w->fence = 0;
    w->until = 0;
}

/* Ends the runs that are due, or all runs if the lease has ended, carries out
 * delayed starts that are due, and replies to holds. */
static void
advance_worker(SimWorker *w)
{
    int64_t now = Standin_NowMs();
    Run *r;
    Run *rtmp;
    DL_FOREACH_SAFE(w->runs, r, rtmp)
    {
        if (w->until <= now) {
            complete_run(w, r, "lapsed");
        }
        else if (r->ends_at <= now) {
            complete_run(w, r,
                         r->stopping ? "stopped"
                         : r->fails  ? "failed"
                                     : "done");
        }
    }
    LateStart *late;
    LateStart *ltmp;
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
    if (!w->isolated) {
        reply_to_holds(w);
    }
}

/* Handles /test/worker: {"index", "action"}. The actions are crash, ended by
 * restart; cut (isolates the worker), ended by join; fail (new runs fail) and
 * late (delays starts), both ended by heal. */
static void
change_worker(const json_t *body)
{
    int64_t index = Standin_Integer(body, "index", 0);
    const char *action = Standin_Text(body, "action");
    SimWorker *w = &fleet.workers[index % fleet.worker_count];
    if (strcmp(action, "crash") == 0) {
        w->alive = false;
        reset_worker(w);
    }
    else if (strcmp(action, "restart") == 0 && !w->alive) {
        w->alive = true;
        w->born++;
        publish_worker(w);
    }
    else if (strcmp(action, "cut") == 0) {
        w->isolated = true;
    }
    else if (strcmp(action, "join") == 0) {
        w->isolated = false;
    }
    else if (strcmp(action, "fail") == 0) {
        w->failing = true;
    }
    else if (strcmp(action, "late") == 0) {
        w->delays_starts = true;
    }
    else if (strcmp(action, "heal") == 0) {
        w->failing = false;
        w->delays_starts = false;
    }
}

/* Dispatches a request to the store or of a test by its path. Requests of
 * tests return the violations and the number of starts so far. */
static int
on_store(void *ctx, GfExchange *exchange, json_t *body, json_t **reply)
{
    (void)ctx;
    const char *path = GfExchange_Path(exchange);
    if (strcmp(path, "/v1/rows-tx") == 0) {
        int status = transact(body, reply);
        reply_to_feeds();
        return status;
    }
    if (strcmp(path, "/v1/rows-get") == 0) {
        return read_rows(exchange, reply);
    }
    if (strcmp(path, "/v1/rows-feed") == 0) {
        return open_feed(exchange);
    }
    if (strcmp(path, "/test/config") == 0) {
        write_platform_row("op", "config", json_incref(body));
    }
    else if (strcmp(path, "/test/worker") == 0) {
        change_worker(body);
    }
    *reply = json_pack("{s:O,s:i}", "breaches", fleet.violations, "starts",
                       fleet.starts);
    return 200;
}

/* Replies to a request for advice: a step may run on two of three workers. */
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

/* Advances all workers that are alive and replies to feeds. */
static void
on_tick(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    (void)arg;
    for (int i = 0; i < fleet.worker_count; i++) {
        if (fleet.workers[i].alive) {
            advance_worker(&fleet.workers[i]);
        }
    }
    reply_to_feeds();
}

/* Runs the stand-in: fleet ADDRESS PORT WORKERS SEED. The store is at PORT,
 * the advice service at PORT + 1, the workers from PORT + 10 on. Returns only
 * on an error or when the event loop ends. */
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
    fleet.violations = json_array();
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
        publish_worker(w);
    }
    struct event *tick =
        event_new(fleet.base, -1, EV_PERSIST | EV_TIMEOUT, on_tick, NULL);
    struct timeval tv = GfTime_ToTimeval(TICK_MS);
    event_add(tick, &tv);
    event_base_dispatch(fleet.base);
    return 0;
}
