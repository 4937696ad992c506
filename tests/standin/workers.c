/* The stand-in of workers whose leases decide ownership. A worker grants one
 * holder at a time a lease, starts and stops tasks for it, and lists its tasks
 * in an inventory whose version rises with each change. Starts, ends and
 * overcommits are recorded. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "guavaflow/clock.h"
#include "standin.h"

#define ID_BYTES 64
#define MAX_WORKERS 256

typedef struct Worker Worker;

static Worker *workers[MAX_WORKERS];
static int worker_count;

/* A task, kept after its end until the holder acknowledges it. Times are ms on
 * the boot-time clock. */
typedef struct {
    char id[ID_BYTES];
    json_t *spec;
    char state[16];
    int exit_code;
    int64_t lapses_at; /* when it ends unless a holder renews the lease */
    int throttle;
    struct event *timer; /* NULL: not running */
    Worker *worker;
    UT_hash_handle hh;
} Task;

/* A lease renewal whose reply waits until the inventory changes. */
typedef struct Waiter {
    Worker *worker;
    GfExchange *exchange;
    int64_t known; /* version of the inventory that the holder has */
    struct event *timer;
    struct Waiter *next;
} Waiter;

/* A worker. boot identifies its incarnation. */
struct Worker {
    Standin *standin;
    char name[ID_BYTES];
    char boot[ID_BYTES];
    int64_t lease; /* id of the latest lease */
    char holder[ID_BYTES];
    int64_t expires; /* end of the lease, ms on the boot-time clock */
    int64_t version; /* of the inventory */
    int mcores;
    int memory_mb;
    int accelerators;
    bool fail_all;
    Task *tasks;
    Waiter *waiters;
    json_t *history;
};

/* Returns whether this is the id of the lease in force. */
static bool
lease_is_valid(const Worker *w, int64_t lease)
{
    return lease != 0 && lease == w->lease && w->expires > Standin_NowMs();
}

/* Describes a task for the inventory; the caller owns the result. */
static json_t *
describe_task(const Task *t)
{
    return json_pack("{s:s,s:s,s:i,s:O}", "id", t->id, "state", t->state,
                     "exit_code", t->exit_code, "spec", t->spec);
}

/* Builds the reply to the lease's holder, which the caller owns. The inventory
 * is left out if known, the version that the holder has, is the current one.
 */
static json_t *
make_grant(const Worker *w, int64_t known)
{
    json_t *reply = json_pack(
        "{s:I,s:s,s:I,s:i,s:i,s:i}", "lease", (json_int_t)w->lease, "boot",
        w->boot, "version", (json_int_t)w->version, "mcores", w->mcores,
        "memory_mb", w->memory_mb, "accelerators", w->accelerators);
    if (known != w->version) {
        json_t *list = json_array();
        for (Task *t = w->tasks; t != NULL; t = t->hh.next) {
            json_array_append_new(list, describe_task(t));
        }
        json_object_set_new(reply, "tasks", list);
    }
    return reply;
}

/* Replies to a waiting renewal and frees the waiter. */
static void
reply_to_waiter(Worker *w, Waiter *waiter)
{
    Waiter **at = &w->waiters;
    while (*at != waiter) {
        at = &(*at)->next;
    }
    *at = waiter->next;
    event_free(waiter->timer);
    GfExchange_ReplyJson(waiter->exchange, 200, make_grant(w, waiter->known));
    free(waiter);
}

/* Replies to a renewal whose wait time is over. */
static void
on_wait_over(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    Waiter *waiter = arg;
    reply_to_waiter(waiter->worker, waiter);
}

/* Raises the inventory's version and replies to the waiting renewals. */
static void
inventory_changed(Worker *w)
{
    w->version++;
    while (w->waiters != NULL) {
        reply_to_waiter(w, w->waiters);
    }
}

/* Ends a running task in the given state and records that. */
static void
end_task(Task *t, const char *state, int exit_code)
{
    Worker *w = t->worker;
    snprintf(t->state, sizeof(t->state), "%s", state);
    t->exit_code = exit_code;
    event_free(t->timer);
    t->timer = NULL;
    Standin_Record(w->history, "task_end",
                   json_pack("{s:s,s:s,s:s}", "worker", w->name, "task", t->id,
                             "state", state));
    inventory_changed(w);
}

/* Ends a running task if its run time is over or if no holder has renewed the
 * lease in time, or else sets its timer to the next of these times. */
static void
on_task_timer(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    Task *t = arg;
    int64_t now = Standin_NowMs();
    int64_t run_ms = Standin_Integer(t->spec, "run_ms", 0);
    int64_t started = Standin_Integer(t->spec, "started", now);
    if (t->lapses_at <= now) {
        end_task(t, "lapsed", 0);
        return;
    }
    if (run_ms > 0 && now - started >= run_ms) {
        bool fails = t->worker->fail_all ||
                     json_is_true(json_object_get(t->spec, "fails"));
        end_task(t, fails ? "failed" : "ended", fails ? 1 : 0);
        return;
    }
    int64_t next = t->lapses_at - now;
    if (run_ms > 0 && started + run_ms - now < next) {
        next = started + run_ms - now;
    }
    struct timeval tv = GfTime_ToTimeval(next);
    evtimer_add(t->timer, &tv);
}

/* Handles a lease request: grants or renews the lease, or replies 409 if
 * another holder has it. Drops the ended tasks that are acknowledged, and sets
 * when the others lapse. The reply to a renewal by a holder that knows the
 * inventory waits for a change of it, at most wait_ms. */
static int
handle_lease(Worker *w, GfExchange *exchange, json_t *body, json_t **reply)
{
    const char *holder = Standin_Text(body, "holder");
    int64_t id = Standin_Integer(body, "lease", 0);
    int64_t ttl = Standin_Integer(body, "ttl_ms", 0);
    int64_t lapse = Standin_Integer(body, "task_lapse_ms", 0);
    int64_t now = Standin_NowMs();
    if (w->expires > now && strcmp(holder, w->holder) != 0) {
        *reply = json_pack("{s:s,s:I}", "holder", w->holder, "remaining_ms",
                           (json_int_t)(w->expires - now));
        return 409;
    }
    if (!lease_is_valid(w, id)) {
        w->lease++;
        snprintf(w->holder, sizeof(w->holder), "%s", holder);
        Standin_Record(w->history, "lease",
                       json_pack("{s:s,s:s,s:I}", "worker", w->name, "holder",
                                 holder, "lease", (json_int_t)w->lease));
    }
    w->expires = now + ttl;
    size_t i;
    json_t *ack;
    json_array_foreach(json_object_get(body, "acks"), i, ack)
    {
        Task *t;
        const char *task = json_string_value(ack);
        HASH_FIND_STR(w->tasks, task, t);
        if (t != NULL && t->timer == NULL) {
            HASH_DEL(w->tasks, t);
            json_decref(t->spec);
            free(t);
            w->version++;
        }
    }
    for (Task *t = w->tasks; t != NULL; t = t->hh.next) {
        t->lapses_at = now + lapse;
    }
    int64_t known = Standin_Integer(body, "known", -1);
    int64_t wait = Standin_Integer(body, "wait_ms", 0);
    if (wait > 0 && known == w->version && lease_is_valid(w, id)) {
        Waiter *waiter = calloc(1, sizeof(*waiter));
        *waiter = (Waiter){.worker = w, .exchange = exchange, .known = known};
        waiter->timer =
            evtimer_new(Standin_Base(w->standin), on_wait_over, waiter);
        struct timeval tv = GfTime_ToTimeval(wait);
        evtimer_add(waiter->timer, &tv);
        waiter->next = w->waiters;
        w->waiters = waiter;
        return 0;
    }
    *reply = make_grant(w, known);
    return 200;
}

/* Records an overcommit if the running tasks exceed the worker's capacity. */
static void
check_capacity(Worker *w)
{
    int64_t mcores = 0;
    int64_t memory = 0;
    int64_t accelerators = 0;
    for (Task *t = w->tasks; t != NULL; t = t->hh.next) {
        if (t->timer != NULL) {
            mcores += Standin_Integer(t->spec, "mcores", 0);
            memory += Standin_Integer(t->spec, "memory_mb", 0);
            accelerators += Standin_Integer(t->spec, "accelerators", 0);
        }
    }
    if (mcores > w->mcores || memory > w->memory_mb ||
        accelerators > w->accelerators) {
        Standin_Record(w->history, "overcommit",
                       json_pack("{s:s,s:I}", "worker", w->name, "mcores",
                                 (json_int_t)mcores));
    }
}

/* Starts a task unless its id is known already. Returns its part of the reply,
 * which the caller owns. The spec stays the caller's. */
static json_t *
start_task(Worker *w, json_t *spec)
{
    const char *id = Standin_Text(spec, "id");
    Task *t;
    HASH_FIND_STR(w->tasks, id, t);
    if (t == NULL) {
        t = calloc(1, sizeof(*t));
        snprintf(t->id, sizeof(t->id), "%s", id);
        t->spec = json_deep_copy(spec);
        t->worker = w;
        int64_t now = Standin_NowMs();
        json_object_set_new(t->spec, "started", json_integer(now));
        snprintf(t->state, sizeof(t->state), "running");
        t->lapses_at = now + Standin_Integer(spec, "task_lapse_ms", 20000);
        t->timer = evtimer_new(Standin_Base(w->standin), on_task_timer, t);
        HASH_ADD_STR(w->tasks, id, t);
        Standin_Record(
            w->history, "task_start",
            json_pack("{s:s,s:s,s:s,s:I}", "worker", w->name, "task", id,
                      "team", Standin_Text(spec, "team"), "mcores",
                      (json_int_t)Standin_Integer(spec, "mcores", 0)));
        check_capacity(w);
        on_task_timer(-1, 0, t);
    }
    return json_pack("{s:s,s:b}", "id", id, "started", 1);
}

/* Handles a start request for some tasks; replies 409 if the lease isn't the
 * one in force. */
static int
handle_start(Worker *w, json_t *body, json_t **reply)
{
    if (!lease_is_valid(w, Standin_Integer(body, "lease", 0))) {
        *reply = json_pack("{s:s}", "refused", "lease");
        return 409;
    }
    json_t *list = json_array();
    size_t i;
    json_t *spec;
    json_array_foreach(json_object_get(body, "tasks"), i, spec)
    {
        json_array_append_new(list, start_task(w, spec));
    }
    inventory_changed(w);
    *reply = json_pack("{s:o,s:I}", "tasks", list, "version",
                       (json_int_t)w->version);
    return 200;
}

/* Handles a stop request: stops, checkpoints or throttles a task; replies 409
 * if the lease isn't the one in force. */
static int
handle_stop(Worker *w, json_t *body, json_t **reply)
{
    if (!lease_is_valid(w, Standin_Integer(body, "lease", 0))) {
        *reply = json_pack("{s:s}", "refused", "lease");
        return 409;
    }
    Task *t;
    const char *id = Standin_Text(body, "task");
    const char *mode = Standin_Text(body, "mode");
    HASH_FIND_STR(w->tasks, id, t);
    if (t != NULL && t->timer != NULL) {
        if (strcmp(mode, "throttle") == 0) {
            t->throttle = 1;
        }
        else {
            end_task(t,
                     strcmp(mode, "checkpoint") == 0 ? "checkpointed"
                                                     : "stopped",
                     0);
        }
    }
    *reply = json_pack("{s:I}", "version", (json_int_t)w->version);
    return 200;
}

/* Handles the release of a lease; without effect if it isn't in force. */
static int
handle_release(Worker *w, json_t *body, json_t **reply)
{
    if (lease_is_valid(w, Standin_Integer(body, "lease", 0))) {
        w->expires = 0;
        w->holder[0] = '\0';
        Standin_Record(w->history, "release",
                       json_pack("{s:s}", "worker", w->name));
    }
    *reply = json_object();
    return 200;
}

/* Simulates a restart of the host: running tasks end, all tasks are dropped,
 * the lease ends and the boot id changes. */
static int
handle_reboot(Worker *w, json_t **reply)
{
    Task *t;
    Task *tmp;
    HASH_ITER(hh, w->tasks, t, tmp)
    {
        if (t->timer != NULL) {
            end_task(t, "rebooted", 0);
        }
        HASH_DEL(w->tasks, t);
        json_decref(t->spec);
        free(t);
    }
    w->expires = 0;
    snprintf(w->boot, sizeof(w->boot), "b%lld", (long long)Standin_NowMs());
    *reply = json_object();
    return 200;
}

/* Returns the millicores of each team's running tasks, over all workers of
 * this process. */
static json_t *
sum_running(void)
{
    json_t *sums = json_object();
    for (int i = 0; i < worker_count; i++) {
        for (Task *t = workers[i]->tasks; t != NULL; t = t->hh.next) {
            const char *team = Standin_Text(t->spec, "team");
            if (t->timer != NULL) {
                json_int_t sum =
                    json_integer_value(json_object_get(sums, team)) +
                    Standin_Integer(t->spec, "mcores", 0);
                json_object_set_new(sums, team, json_integer(sum));
            }
        }
    }
    return sums;
}

/* Dispatches a request to a worker by its path. */
static int
on_request(void *ctx, GfExchange *exchange, json_t *body, json_t **reply)
{
    Worker *w = ctx;
    const char *path = GfExchange_Path(exchange);
    if (strcmp(path, "/v1/lease") == 0) {
        return handle_lease(w, exchange, body, reply);
    }
    if (strcmp(path, "/v1/start") == 0) {
        return handle_start(w, body, reply);
    }
    if (strcmp(path, "/v1/stop") == 0) {
        return handle_stop(w, body, reply);
    }
    if (strcmp(path, "/v1/release") == 0) {
        return handle_release(w, body, reply);
    }
    if (strcmp(path, "/test/fail_all") == 0) {
        w->fail_all = json_is_true(json_object_get(body, "on"));
        *reply = json_object();
        return 200;
    }
    if (strcmp(path, "/test/running") == 0) {
        *reply = sum_running();
        return 200;
    }
    if (strcmp(path, "/test/reboot") == 0) {
        return handle_reboot(w, reply);
    }
    *reply = json_pack("{s:s}", "error", "no such path");
    return 404;
}

/* Runs workers on consecutive ports: workers ADDRESS FIRST_PORT COUNT
 * NAME_PREFIX MCORES MEMORY_MB ACCELERATORS, the last three for each worker.
 * Returns only on a usage error or when the event loop ends. */
int
Workers_Main(int argc, char **argv)
{
    if (argc < 8) {
        fprintf(stderr, "usage: standin workers ADDRESS FIRST_PORT COUNT "
                        "PREFIX MCORES MEMORY_MB ACCELERATORS\n");
        return 2;
    }
    struct event_base *base = event_base_new();
    json_t *history = json_array();
    int count = atoi(argv[3]);
    for (int i = 0; i < count && i < MAX_WORKERS; i++) {
        Worker *w = calloc(1, sizeof(*w));
        workers[worker_count++] = w;
        snprintf(w->name, sizeof(w->name), "%.40s%d", argv[4], i);
        snprintf(w->boot, sizeof(w->boot), "b%lld",
                 (long long)Standin_NowMs());
        w->mcores = atoi(argv[5]);
        w->memory_mb = atoi(argv[6]);
        w->accelerators = atoi(argv[7]);
        w->history = history;
        w->standin =
            Standin_Create(base, argv[1], (uint16_t)(atoi(argv[2]) + i),
                           on_request, w, history);
    }
    event_base_dispatch(base);
    return 0;
}
