/* A worker: runs tasks under a lease and lists its runs and their ends.
 * "standin worker PORT ID STORE_PORT CPU MEM_MB RACK [REPORTED_PORT]". It
 * registers in the store with its birth time and reports every 1.5 s. It doesn't guard its
 * capacity.
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

#define MAX_RUNS 8192
#define MAX_ENDS 65536
#define MAX_TASKS 32768
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

static const char *id;
static char who[80];
static int port; /* that it reports */
static int store_port;
static int cpu;
static int mem_mb;
static const char *rack;
static int64_t began;
static int64_t born;
static int64_t fence;
static int64_t lease_until; /* on this worker's clock */
static Run runs[MAX_RUNS];
static size_t run_count;
static End ends[MAX_ENDS];
static size_t end_first; /* not acknowledged from here on */
static size_t end_count;
static Seen seen[MAX_TASKS];
static Hold *holds;
static int64_t acked;

static int64_t
clock_ms(void)
{
    return now_ms() - began + 1;
}

static Seen *
seen_of(const char *task)
{
    uint64_t hash = 1469598103934665603U;
    for (const char *c = task; *c != '\0'; c++) {
        hash = (hash ^ (unsigned char)*c) * 1099511628211U;
    }
    size_t at = hash % MAX_TASKS;
    while (seen[at].task[0] != '\0' && strcmp(seen[at].task, task) != 0) {
        at = (at + 1) % MAX_TASKS;
    }
    if (seen[at].task[0] == '\0') {
        snprintf(seen[at].task, sizeof(seen[at].task), "%s", task);
    }
    return &seen[at];
}

static void
end_run(size_t at, const char *how)
{
    if (end_count == MAX_ENDS) {
        abort();
    }
    End *e = &ends[end_count];
    e->number = (int64_t)++end_count;
    memcpy(e->task, runs[at].task, sizeof(e->task));
    e->run = runs[at].run;
    e->how = how;
    Seen *s = seen_of(e->task);
    s->run = s->run > e->run ? s->run : e->run;
    record(who, "end task=%s run=%lld how=%s n=%lld born=%lld", e->task,
           (long long)e->run, how, (long long)e->number, (long long)born);
    runs[at] = runs[--run_count];
}

static json_t *
encode_lists(void)
{
    json_t *running = json_array();
    json_t *ended = json_array();
    for (size_t i = 0; i < run_count; i++) {
        json_array_append_new(running,
                              json_pack("[s,I,s,i,i]", runs[i].task,
                                        (json_int_t)runs[i].run, "", 50, 0));
    }
    for (size_t i = end_first; i < end_count && i < end_first + PAGE_ENDS;
         i++) {
        json_array_append_new(ended,
                              json_pack("[I,s,I,s,s]",
                                        (json_int_t)ends[i].number,
                                        ends[i].task, (json_int_t)ends[i].run,
                                        ends[i].how, ""));
    }
    return json_pack("{s:I,s:I,s:o,s:o}", "clockMs", (json_int_t)clock_ms(),
                     "born", (json_int_t)born, "running", running, "ended",
                     ended);
}

static void
answer_holds(bool all)
{
    Hold **at = &holds;
    while (*at != NULL) {
        Hold *h = *at;
        if (h->req != NULL && !all && end_first == end_count &&
            now_ms() < h->until) {
            at = &h->next;
            continue;
        }
        *at = h->next;
        if (h->req != NULL) {
            reply_json(h->req, 200, encode_lists());
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
extend_lease(const json_t *body)
{
    int64_t until = json_integer_value(json_object_get(body, "untilMs"));
    int64_t most = clock_ms() + HOLD_MAX_MS;
    until = until < most ? until : most;
    lease_until = until > lease_until ? until : lease_until;
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
do_start(struct evhttp_request *req, const json_t *body)
{
    const char *task = json_string_value(json_object_get(body, "task"));
    const char *spec = json_string_value(json_object_get(body, "spec"));
    int64_t run = json_integer_value(json_object_get(body, "run"));
    if (task == NULL || spec == NULL || run < 1 || strlen(task) >= 64) {
        reply_json(req, 400, NULL);
        return;
    }
    const char *reason = NULL;
    for (size_t i = 0; i < run_count; i++) {
        if (strcmp(runs[i].task, task) == 0) {
            if (runs[i].run == run) {
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
        extend_lease(body);
    }
    if (run <= seen_of(task)->run) {
        reason = "old";
    }
    if (reason != NULL || run_count == MAX_RUNS) {
        record(who, "rejected task=%s run=%lld reason=%s", task,
               (long long)run, reason);
        reply_json(req, 409, refusal(reason));
        return;
    }
    Run *r = &runs[run_count++];
    *r = (Run){.run = run, .fails = strstr(spec, "fail") != NULL};
    snprintf(r->task, sizeof(r->task), "%s", task);
    r->ends_at = strstr(spec, "lasts") != NULL
                     ? 0
                     : now_ms() + duration_ms(spec, task);
    record(who, "start task=%s run=%lld fence=%lld", task, (long long)run,
           (long long)fence);
    reply_json(req, 200, done());
}

static void
do_stop(struct evhttp_request *req, const json_t *body)
{
    const char *task = json_string_value(json_object_get(body, "task"));
    int64_t run = json_integer_value(json_object_get(body, "run"));
    if (task == NULL || strlen(task) >= 64) {
        reply_json(req, 400, NULL);
        return;
    }
    Seen *s = seen_of(task);
    s->run = s->run > run ? s->run : run;
    for (size_t i = 0; i < run_count; i++) {
        if (strcmp(runs[i].task, task) == 0 && runs[i].run <= run &&
            !runs[i].stopping) {
            runs[i].stopping = true;
            runs[i].ends_at = now_ms() + STOP_MS;
            record(who, "stop task=%s run=%lld", task, (long long)run);
        }
    }
    reply_json(req, 200, done());
}

static void
on_hold_closed(struct evhttp_connection *connection, void *arg)
{
    (void)arg;
    for (Hold *h = holds; h != NULL; h = h->next) {
        if (h->req != NULL &&
            evhttp_request_get_connection(h->req) == connection) {
            h->req = NULL;
        }
    }
}

static void
do_hold(struct evhttp_request *req, const json_t *body)
{
    extend_lease(body);
    int64_t cursor = json_integer_value(json_object_get(body, "ackCursor"));
    while (end_first < end_count && ends[end_first].number <= cursor) {
        end_first++;
    }
    if (cursor > acked) {
        acked = cursor;
        record(who, "ack cursor=%lld born=%lld", (long long)cursor,
               (long long)born);
    }
    int64_t wait = json_integer_value(json_object_get(body, "waitMs"));
    wait = wait < 2000 ? wait : 2000;
    if (wait <= 0 || end_first < end_count) {
        reply_json(req, 200, encode_lists());
        return;
    }
    Hold *h = calloc(1, sizeof(*h));
    h->req = req;
    h->until = now_ms() + wait;
    h->next = holds;
    holds = h;
    evhttp_connection_set_closecb(evhttp_request_get_connection(req),
                                  on_hold_closed, NULL);
}

static void
on_request(struct evhttp_request *req, void *arg)
{
    (void)arg;
    const char *uri = evhttp_request_get_uri(req);
    const char *meant = evhttp_find_header(
        evhttp_request_get_input_headers(req),
        "X-Guavaflow-Expected-Instance");
    json_t *body = request_json(req);
    int64_t token = json_integer_value(json_object_get(body, "fence"));
    if (strncmp(uri, "/health", 7) == 0) {
        reply_json(req, 200, NULL);
    }
    else if (meant != NULL && strcmp(meant, id) != 0) {
        reply_json(req, 421, NULL);
    }
    else if (token < fence) {
        reply_json(req, 409, refusal("fence"));
    }
    else {
        fence = token;
        if (strcmp(uri, "/v1/run-start") == 0) {
            do_start(req, body);
        }
        else if (strcmp(uri, "/v1/run-stop") == 0) {
            do_stop(req, body);
        }
        else if (strcmp(uri, "/v1/hold") == 0) {
            do_hold(req, body);
        }
        else {
            reply_json(req, 404, NULL);
        }
    }
    json_decref(body);
}

/* Writes this worker's row, as the workers of the platform do. */
static void
beat(void)
{
    static int64_t seq;
    static int64_t last;
    if (seq > 0 && now_ms() - last < BEAT_MS) {
        return;
    }
    last = now_ms();
    char address[32];
    snprintf(address, sizeof(address), "127.0.0.1:%d", port);
    json_t *row = json_pack(
        "{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:I,s:I,s:{s:i,s:i,s:i},s:[s,s]}",
        "service", "svc", "address", address, "zone", "z1", "version", "1",
        "slots", 8, "state", "ready", "coldLeftMs", 0, "seq",
        (json_int_t)++seq, "born", (json_int_t)born, "capacity", "cpu", cpu,
        "memMb", mem_mb, "gpu", 0, "labels", "a", rack);
    char *value = json_dumps(row, JSON_COMPACT);
    char key[64];
    snprintf(key, sizeof(key), "%s", id);
    json_t *call = json_pack("{s:s,s:s,s:s}", "table", "servers", "key", key,
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
    bool ended = false;
    bool lapsed = run_count > 0 && clock_ms() > lease_until;
    for (size_t i = run_count; i-- > 0;) {
        const Run *r = &runs[i];
        if (lapsed || (r->ends_at > 0 && now_ms() >= r->ends_at)) {
            end_run(i, lapsed        ? "lapsed"
                       : r->stopping ? "stopped"
                       : r->fails    ? "failed"
                                     : "done");
            ended = true;
        }
    }
    (void)ended;
    answer_holds(false);
    beat();
}

int
worker_main(int argc, char **argv)
{
    if (argc < 7) {
        return 2;
    }
    port = atoi(argc > 7 ? argv[7] : argv[1]);
    id = argv[2];
    store_port = atoi(argv[3]);
    cpu = atoi(argv[4]);
    mem_mb = atoi(argv[5]);
    rack = argv[6];
    began = now_ms();
    born = wall_ms();
    snprintf(who, sizeof(who), "worker=%s", id);
    struct event_base *base = event_base_new();
    serve(base, atoi(argv[1]), on_request, NULL);
    record(who, "born=%lld", (long long)born);
    struct event *tick =
        event_new(base, -1, EV_PERSIST | EV_TIMEOUT, on_tick, NULL);
    struct timeval tv = {.tv_usec = TICK_US};
    event_add(tick, &tv);
    event_base_dispatch(base);
    return 0;
}
