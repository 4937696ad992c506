/* A worker: runs tasks under a lease and lists its runs and their ends.
 * "standin worker PORT ID STORE_PORT CPU MEM_MB RACK [REPORTED_PORT [COUNT]]".
 * It registers in the store with its birth time and reports every 1.5 s.
 * COUNT: so many workers in one process, at free ports, their ids numbered. It
 * doesn't guard its capacity.
 *
 * A task lasts as long as the job's spec says: words "ms=N" (default 500), or
 * "ms=N+S" for N to N+S by the task's index, and "fail" if all its runs end
 * failed. */
#include "standin.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>

#define STEP 256 /* by which lists grow */
#define PAGE_ENDS 500
#define HOLD_MAX_MS 10000
#define STOP_MS 60
#define BEAT_MS 1500
#define TICK_US 2000

typedef struct {
    char task[64];
    int64_t run;
    int64_t ends_at; /* 0: lasts */
    bool fails;
    bool stopping;
} Run;

typedef struct {
    int64_t number;
    char task[64];
    int64_t run;
    const char *how;
} End;

/* The highest run of a task that was stopped or ended here. */
typedef struct {
    char task[64];
    int64_t run;
} Seen;

typedef struct Hold {
    struct evhttp_request *req;
    int64_t until;
    struct Hold *next;
} Hold;

typedef struct {
    char id[64];
    char who[80];
    int port; /* that it reports */
    int64_t fence;
    int64_t lease_until; /* on this worker's clock */
    int64_t acked;
    Run *runs;
    size_t run_count;
    End *ends;
    size_t end_first; /* not acknowledged from here on */
    size_t end_count;
    Seen *seen;
    size_t seen_count;
    Hold *holds;
    int64_t seq;
    int64_t reported_at;
} Worker;

static Worker *workers;
static int worker_total = 1;
static int store_port;
static int cpu;
static int mem_mb;
static const char *rack;
static int64_t began;
static int64_t born;

static int64_t
clock_ms(void)
{
    return now_ms() - began + 1;
}

/* Returns a list with space for one more element. */
static void *
grow(void *list, size_t count, size_t element_bytes)
{
    if (count % STEP != 0) {
        return list;
    }
    void *longer = realloc(list, (count + STEP) * element_bytes);
    if (longer == NULL) {
        abort();
    }
    return longer;
}

static Seen *
seen_of(Worker *w, const char *task)
{
    for (size_t i = 0; i < w->seen_count; i++) {
        if (strcmp(w->seen[i].task, task) == 0) {
            return &w->seen[i];
        }
    }
    w->seen = grow(w->seen, w->seen_count, sizeof(Seen));
    Seen *s = &w->seen[w->seen_count++];
    memset(s, 0, sizeof(*s));
    snprintf(s->task, sizeof(s->task), "%s", task);
    return s;
}

static void
end_run(Worker *w, size_t at, const char *how)
{
    w->ends = grow(w->ends, w->end_count, sizeof(End));
    End *e = &w->ends[w->end_count];
    e->number = (int64_t)++w->end_count;
    memcpy(e->task, w->runs[at].task, sizeof(e->task));
    e->run = w->runs[at].run;
    e->how = how;
    Seen *s = seen_of(w, e->task);
    s->run = s->run > e->run ? s->run : e->run;
    record(w->who, "end task=%s run=%lld how=%s n=%lld born=%lld", e->task,
           (long long)e->run, how, (long long)e->number, (long long)born);
    w->runs[at] = w->runs[--w->run_count];
}

static json_t *
encode_lists(const Worker *w)
{
    json_t *running = json_array();
    json_t *ended = json_array();
    for (size_t i = 0; i < w->run_count; i++) {
        json_array_append_new(
            running, json_pack("[s,I,s,i,i]", w->runs[i].task,
                               (json_int_t)w->runs[i].run, "", 50, 0));
    }
    for (size_t i = w->end_first;
         i < w->end_count && i < w->end_first + PAGE_ENDS; i++) {
        json_array_append_new(
            ended, json_pack("[I,s,I,s,s]", (json_int_t)w->ends[i].number,
                             w->ends[i].task, (json_int_t)w->ends[i].run,
                             w->ends[i].how, ""));
    }
    return json_pack("{s:I,s:I,s:o,s:o}", "clockMs", (json_int_t)clock_ms(),
                     "born", (json_int_t)born, "running", running, "ended",
                     ended);
}

static void
answer_holds(Worker *w)
{
    Hold **at = &w->holds;
    while (*at != NULL) {
        Hold *h = *at;
        if (h->req != NULL && w->end_first == w->end_count &&
            now_ms() < h->until) {
            at = &h->next;
            continue;
        }
        *at = h->next;
        if (h->req != NULL) {
            reply_json(h->req, 200, encode_lists(w));
        }
        free(h);
    }
}

static json_t *
refusal(const char *reason)
{
    return json_pack("{s:I,s:s,s:I}", "clockMs", (json_int_t)clock_ms(),
                     "reason", reason, "born", (json_int_t)born);
}

static json_t *
done(void)
{
    return json_pack("{s:I,s:I}", "clockMs", (json_int_t)clock_ms(), "born",
                     (json_int_t)born);
}

static void
extend_lease(Worker *w, const json_t *body)
{
    int64_t until = json_integer_value(json_object_get(body, "untilMs"));
    int64_t most = clock_ms() + HOLD_MAX_MS;
    until = until < most ? until : most;
    w->lease_until = until > w->lease_until ? until : w->lease_until;
}

static int64_t
duration_ms(const char *spec, const char *task)
{
    const char *at = strstr(spec, "ms=");
    long long ms = 500;
    long long spread = 0;
    if (at != NULL) {
        sscanf(at, "ms=%lld+%lld", &ms, &spread);
    }
    const char *index = strrchr(task, '.');
    return ms + (spread > 0 ? atoll(index + 1) * 7919 % spread : 0);
}

static void
do_start(Worker *w, struct evhttp_request *req, const json_t *body)
{
    const char *task = json_string_value(json_object_get(body, "task"));
    const char *spec = json_string_value(json_object_get(body, "spec"));
    int64_t run = json_integer_value(json_object_get(body, "run"));
    if (task == NULL || spec == NULL || run < 1 || strlen(task) >= 64) {
        reply_json(req, 400, NULL);
        return;
    }
    const char *reason = NULL;
    for (size_t i = 0; i < w->run_count; i++) {
        if (strcmp(w->runs[i].task, task) == 0) {
            if (w->runs[i].run == run) {
                reply_json(req, 200, done());
                return;
            }
            reason = "old";
        }
    }
    if (json_integer_value(json_object_get(body, "untilMs")) <= clock_ms()) {
        reason = "late";
    }
    else {
        extend_lease(w, body);
    }
    if (run <= seen_of(w, task)->run) {
        reason = "old";
    }
    if (reason != NULL) {
        record(w->who, "rejected task=%s run=%lld reason=%s", task,
               (long long)run, reason);
        reply_json(req, 409, refusal(reason));
        return;
    }
    w->runs = grow(w->runs, w->run_count, sizeof(Run));
    Run *r = &w->runs[w->run_count++];
    *r = (Run){.run = run, .fails = strstr(spec, "fail") != NULL};
    snprintf(r->task, sizeof(r->task), "%s", task);
    r->ends_at =
        strstr(spec, "lasts") != NULL ? 0 : now_ms() + duration_ms(spec, task);
    record(w->who, "start task=%s run=%lld fence=%lld", task, (long long)run,
           (long long)w->fence);
    reply_json(req, 200, done());
}

static void
do_stop(Worker *w, struct evhttp_request *req, const json_t *body)
{
    const char *task = json_string_value(json_object_get(body, "task"));
    int64_t run = json_integer_value(json_object_get(body, "run"));
    if (task == NULL || strlen(task) >= 64) {
        reply_json(req, 400, NULL);
        return;
    }
    Seen *s = seen_of(w, task);
    s->run = s->run > run ? s->run : run;
    for (size_t i = 0; i < w->run_count; i++) {
        if (strcmp(w->runs[i].task, task) == 0 && w->runs[i].run <= run &&
            !w->runs[i].stopping) {
            w->runs[i].stopping = true;
            w->runs[i].ends_at = now_ms() + STOP_MS;
            record(w->who, "stop task=%s run=%lld", task, (long long)run);
        }
    }
    reply_json(req, 200, done());
}

static void
on_hold_closed(struct evhttp_connection *connection, void *arg)
{
    Worker *w = arg;
    for (Hold *h = w->holds; h != NULL; h = h->next) {
        if (h->req != NULL &&
            evhttp_request_get_connection(h->req) == connection) {
            h->req = NULL;
        }
    }
}

static void
do_hold(Worker *w, struct evhttp_request *req, const json_t *body)
{
    extend_lease(w, body);
    int64_t cursor = json_integer_value(json_object_get(body, "ackCursor"));
    while (w->end_first < w->end_count &&
           w->ends[w->end_first].number <= cursor) {
        w->end_first++;
    }
    if (cursor > w->acked) {
        w->acked = cursor;
        record(w->who, "ack cursor=%lld born=%lld", (long long)cursor,
               (long long)born);
    }
    int64_t wait = json_integer_value(json_object_get(body, "waitMs"));
    wait = wait < 2000 ? wait : 2000;
    if (wait <= 0 || w->end_first < w->end_count) {
        reply_json(req, 200, encode_lists(w));
        return;
    }
    Hold *h = calloc(1, sizeof(*h));
    h->req = req;
    h->until = now_ms() + wait;
    h->next = w->holds;
    w->holds = h;
    evhttp_connection_set_closecb(evhttp_request_get_connection(req),
                                  on_hold_closed, w);
}

static void
on_request(struct evhttp_request *req, void *arg)
{
    Worker *w = arg;
    const char *uri = evhttp_request_get_uri(req);
    const char *meant =
        evhttp_find_header(evhttp_request_get_input_headers(req),
                           "X-Guavaflow-Expected-Instance");
    json_t *body = request_json(req);
    int64_t token = json_integer_value(json_object_get(body, "fence"));
    if (strncmp(uri, "/health", 7) == 0) {
        reply_json(req, 200, NULL);
    }
    else if (meant != NULL && strcmp(meant, w->id) != 0) {
        reply_json(req, 421, NULL);
    }
    else if (token < w->fence) {
        reply_json(req, 409, refusal("fence"));
    }
    else {
        w->fence = token;
        if (strcmp(uri, "/v1/run-start") == 0) {
            do_start(w, req, body);
        }
        else if (strcmp(uri, "/v1/run-stop") == 0) {
            do_stop(w, req, body);
        }
        else if (strcmp(uri, "/v1/hold") == 0) {
            do_hold(w, req, body);
        }
        else {
            reply_json(req, 404, NULL);
        }
    }
    json_decref(body);
}

/* Writes the worker's row, as the workers of the platform do: one of many only
 * once, as nothing in it changes but seq. */
static void
report(Worker *w)
{
    if (w->seq > 0 &&
        (worker_total > 1 || now_ms() - w->reported_at < BEAT_MS)) {
        return;
    }
    w->reported_at = now_ms();
    char address[32];
    snprintf(address, sizeof(address), "127.0.0.1:%d", w->port);
    json_t *row = json_pack(
        "{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:I,s:I,s:{s:i,s:i,s:i},s:[s,s]}",
        "service", "svc", "address", address, "zone", "z1", "version", "1",
        "slots", 8, "state", "ready", "coldLeftMs", 0, "seq",
        (json_int_t)++w->seq, "born", (json_int_t)born, "capacity", "cpu", cpu,
        "memMb", mem_mb, "gpu", 0, "labels", "a", rack);
    char *value = json_dumps(row, JSON_COMPACT);
    json_t *call = json_pack("{s:s,s:s,s:s}", "table", "servers", "key", w->id,
                             "value", value);
    char *text = json_dumps(call, JSON_COMPACT);
    http_call(store_port, "POST", "/test/row", NULL, text, 300, NULL);
    free(text);
    free(value);
    json_decref(call);
    json_decref(row);
}

static void
on_tick(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    (void)arg;
    for (int k = 0; k < worker_total; k++) {
        Worker *w = &workers[k];
        bool lapsed = w->run_count > 0 && clock_ms() > w->lease_until;
        for (size_t i = w->run_count; i-- > 0;) {
            const Run *r = &w->runs[i];
            if (lapsed || (r->ends_at > 0 && now_ms() >= r->ends_at)) {
                end_run(w, i,
                        lapsed        ? "lapsed"
                        : r->stopping ? "stopped"
                        : r->fails    ? "failed"
                                      : "done");
            }
        }
        answer_holds(w);
        report(w);
    }
}

int
worker_main(int argc, char **argv)
{
    if (argc < 7) {
        return 2;
    }
    store_port = atoi(argv[3]);
    cpu = atoi(argv[4]);
    mem_mb = atoi(argv[5]);
    rack = argv[6];
    worker_total = argc > 8 ? atoi(argv[8]) : 1;
    workers = calloc((size_t)worker_total, sizeof(Worker));
    began = now_ms();
    born = wall_ms();
    struct event_base *base = event_base_new();
    for (int i = 0; i < worker_total; i++) {
        Worker *w = &workers[i];
        if (worker_total > 1) {
            snprintf(w->id, sizeof(w->id), "%s%04x", argv[2], i);
        }
        else {
            snprintf(w->id, sizeof(w->id), "%s", argv[2]);
        }
        snprintf(w->who, sizeof(w->who), "worker=%s", w->id);
        w->port =
            serve(base, worker_total > 1 ? 0 : atoi(argv[1]), on_request, w);
        w->port = argc > 7 && worker_total == 1 ? atoi(argv[7]) : w->port;
        record(w->who, "born=%lld", (long long)born);
    }
    struct event *tick =
        event_new(base, -1, EV_PERSIST | EV_TIMEOUT, on_tick, NULL);
    struct timeval tv = {.tv_usec = TICK_US};
    event_add(tick, &tv);
    event_base_dispatch(base);
    return 0;
}
