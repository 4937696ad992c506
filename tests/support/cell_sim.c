#include "cell_sim.h"

#include <assert.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#define MAX_JOBS 4096
#define MAX_WORKERS 512
/* An order that is lost or late, or whose reply is lost, is reported to its
 * owner as unknown this long after the message should have arrived. */
#define ORDER_TIMEOUT_MS 220
/* How long a run takes to end after a stop order. */
#define STOP_DELAY_MS 100
#define TICKET_VALID_MS 2000
/* Uncertainty period: after it no run of a former owner goes on. */
#define UNCERTAIN_MS 8200
/* From this long after a takeover the former owner starts nothing. */
#define PROOF_MS 1800
/* How long a replaced owner still counts its ownership as proved. */
#define PROOF_VALID_MS 1500
#define LEASE_MS 6000
/* The store's clock minus the simulated time. */
#define SHARED_CLOCK_OFFSET_MS 77000000
/* A late order is carried out LATE_MIN_MS to LATE_MIN_MS + LATE_SPAN_MS after
 * it would have arrived. */
#define LATE_MIN_MS 2000
#define LATE_SPAN_MS 10000
/* Completions that a worker lists at a time. */
#define COMPLETION_PAGE 500
/* What the store takes: the size of a row, the bytes and rows of a call less
 * the two rows of each commit, and what JSON adds to a row. */
#define ROW_BYTES 65536
#define CALL_BYTES (1000 * 1000 - 1000)
#define CALL_ROWS 98
#define ROW_OVERHEAD_BYTES 80
/* How long the platform's table names a worker that has crashed. */
#define UNLIST_MS 1500
/* After this many workers have crashed under a task, its starts are counted
 * apart. */
#define CRASH_LIMIT 3

/* A run of a task on a worker. serving: the task has a latency target. */
typedef struct Run {
    GfTaskId task;
    int64_t run;
    int64_t complete_at_ms; /* at speed 1 from now on */
    int64_t work_ms;        /* of the whole task, at speed 1 */
    double behind_ms;       /* not yet added to complete_at_ms */
    int64_t saved_ms;       /* work done when it was stopped */
    bool checkpointed;
    int64_t crash_at_ms; /* when it crashes its worker; INT64_MAX: never */
    bool fails;
    bool stopping;
    GfResources need;
    bool backfill;
    bool serving;
    double left_ms; /* of its work, at full pace and alone */
    double tail_ms; /* as reported: the mean of the last half second */
    int64_t started_ms;
    int64_t over_since_ms; /* above its target through backfill; 0: is not */
    double pace;           /* 0 to 1 */
    double next_pace;      /* from next_pace_ms on */
    int64_t next_pace_ms;
    struct Run *next;
    struct Run *prev;
} Run;

/* A completed run, listed by its worker until the owner acknowledges it. */
typedef struct Completion {
    int64_t number;
    GfTaskId task;
    int64_t run;
    GfCompletionKind kind;
    char checkpoint[16]; /* work done in ms */
    struct Completion *next;
    struct Completion *prev;
} Completion;

/* A stop order that a worker has received: it refuses starts of the task with
 * this run number or a lower one. */
typedef struct StopRecord {
    GfTaskId task;
    int64_t run;
    struct StopRecord *next;
} StopRecord;

/* A simulated worker. */
typedef struct {
    GfWorkerInfo info;
    Run *runs;
    Completion *completions;
    StopRecord *stop_records;
    int64_t last_completion; /* number of the latest completion */
    int64_t fence;           /* highest token seen */
    int64_t clock_zero_ms;   /* when the worker's clock showed 0 */
    int64_t lease_until_ms;  /* on the worker's clock */
    int64_t unlist_at_ms; /* when the table drops it after a crash; 0: never */
    int64_t back_at_ms;   /* when it starts again after a crash; 0: never */
    bool alive;
    bool failing;
    bool starts_delayed;
    bool holds_delayed;
    bool only_holds; /* no other orders get through */
    double speed;    /* work done in a ms, in ms at speed 1 */
    bool isolated_from[CELL_SIM_MAX_OWNERS]; /* by index of the owner */
    bool isolated;                           /* from all owners */
    bool unlisted;
} SimWorker;

typedef enum { START, STOP, PACE, HOLD, ADVISE, COMMIT, LOOK_UP } MessageKind;

/* An order in transit, or the reply to it. Each kind uses some of the fields,
 * which are named as in the scheduler's orders. */
typedef struct Message {
    MessageKind kind;
    int owner; /* index of the owner that sent the order */
    int64_t due_ms;
    bool is_reply;
    bool no_reply; /* the order is carried out without a reply */
    int worker;
    uint32_t serial;
    int64_t token;
    int64_t incarnation;
    GfTaskId task;
    int64_t run;
    int64_t until_ms; /* end of the lease that a start or hold asks for */
    int64_t done_ms;  /* work saved in the checkpoint of a start */
    int64_t acked;    /* highest acknowledged completion */
    int percent;      /* pace */
    int64_t wait_until_ms;
    struct timespec sent_at;
    GfOrderResult result;
    json_t *rows;   /* of a commit by key; null: to be removed. Parts of the
                       list of leased workers have "" or begin with a dot */
    size_t bytes;   /* of the commit's rows, as sent */
    bool too_large; /* one of them */
    int64_t settled_token; /* in a commit */
    GfName caller;
    GfName candidates[128]; /* workers that advice is requested for */
    size_t candidate_count;
    struct Message *next;
    struct Message *prev;
} Message;

/* Counts of a task: its starts, the workers that crashed while they ran it,
 * and the starts after CRASH_LIMIT of them. */
typedef struct {
    int starts;
    int crashes;
    int late_starts;
} TaskCounts;

/* A submitted job, and what the store has of it. */
typedef struct {
    GfName id;
    CellSimJob spec;
    int64_t submitted_ms;
    int64_t finished_ms; /* when a final state was stored; 0: not yet */
    GfJobState stored_state;
    json_t *progress; /* the stored main row; NULL: none */
    json_t *blocks;   /* the stored rows of its blocks, by key */
    int starts;
    int crashes; /* of workers, through its deadly tasks */
    bool hidden;
    bool refused;
    bool *done; /* by task_position; completions that were acknowledged */
    TaskCounts *tasks; /* by task_position */
} SimJob;

/* An owner of the cell. token is 0 once it has been told that it is not the
 * owner any more; its cell is destroyed at the end of that step. */
typedef struct {
    CellSim *sim;
    int index;
    GfCell *cell;
    int64_t token;
    int64_t started_ms;
    int64_t replaced_ms; /* when another owner took over; 0: none has */
} Owner;

struct CellSim {
    CellSimSettings settings;
    const GfCellConfig *config;
    GfManualClock clock;
    uint64_t random_state;
    SimWorker workers[MAX_WORKERS];
    SimJob *jobs;
    int job_count;
    Owner owners[CELL_SIM_MAX_OWNERS];
    int owner_count;
    int current_owner;      /* index of the latest owner; -1: none */
    int64_t token;          /* the latest owner's, as the store has it */
    int64_t version;        /* of the latest transaction */
    json_t *leased_workers; /* the stored parts of the list, by key */
    int64_t settled_token;  /* as stored */
    bool store_available;
    Message *messages;
    int start_count;
    int crash_count; /* of workers, through deadly tasks */
    int advice_count;
    bool paces_lost;
    int64_t serving_ms;
    int64_t over_ms;
    int64_t longest_over_ms;
    double backfill_ms;
    char violation[256];
};

/* Returns the next pseudorandom number in [0, 1); the sequence depends only on
 * the seed. */
static double
random_fraction(CellSim *w)
{
    w->random_state =
        w->random_state * 6364136223846793005ULL + 1442695040888963407ULL;
    return (double)(w->random_state >> 40U) / (double)(1U << 24U);
}

/* Records a violated invariant; only the first one is kept. */
static void
report_violation(CellSim *w, const char *format, ...)
{
    if (w->violation[0] != '\0') {
        return;
    }
    va_list args;
    va_start(args, format);
    vsnprintf(w->violation, sizeof(w->violation), format, args);
    va_end(args);
}

/* Returns the simulated monotonic time in ms. */
int64_t
CellSim_NowMs(const CellSim *w)
{
    return GfTime_ToMs(w->clock.time);
}

/* Finds a job by its id, which is its number in hexadecimal; NULL if there is
 * none. */
static SimJob *
find_job(CellSim *w, const GfName *id)
{
    long number = strtol(id->data, NULL, 16);
    return number >= 0 && number < w->job_count ? &w->jobs[number] : NULL;
}

/* Returns the index of a task in the job's arrays. */
static size_t
task_position(const SimJob *job, const GfTaskId *task)
{
    size_t step = task->occurrence * (size_t)job->spec.steps + task->step;
    return step * job->spec.step.task_count + task->index;
}

/* Queues a message from an owner, due after the latency. The queue owns it. */
static Message *
send_message(CellSim *w, MessageKind kind, int owner)
{
    Message *m = calloc(1, sizeof(*m));
    assert(m != NULL);
    m->kind = kind;
    m->owner = owner;
    m->due_ms = CellSim_NowMs(w) + w->settings.latency_ms;
    m->sent_at = w->clock.time;
    DL_APPEND(w->messages, m);
    return m;
}

/* Sends an order to a worker. At random the order is lost, so that only its
 * timeout comes back, or is carried out late: then it is queued twice, as an
 * order without a reply and as the timeout. */
static Message *
send_order(CellSim *w, MessageKind kind, int owner,
           const GfOrderTarget *target)
{
    Message *m = send_message(w, kind, owner);
    m->serial = target->serial;
    m->token = target->token;
    m->incarnation = target->worker->incarnation;
    m->worker = (int)strtol(target->worker->id.data + 1, NULL, 10);
    const SimWorker *s = &w->workers[m->worker];
    double fraction = random_fraction(w);
    if (s->isolated || s->isolated_from[owner] || !s->alive ||
        fraction < w->settings.lose_order || (kind == PACE && w->paces_lost) ||
        (kind != HOLD && s->only_holds)) {
        m->is_reply = true;
        m->result = GF_ORDER_UNKNOWN;
        m->due_ms += ORDER_TIMEOUT_MS;
    }
    else if (fraction < w->settings.lose_order + w->settings.late_order ||
             (kind == START && s->starts_delayed) ||
             (kind == HOLD && s->holds_delayed)) {
        m->no_reply = true;
        int64_t least = w->settings.late_min_ms;
        m->due_ms +=
            (least > 0 ? least : LATE_MIN_MS) +
            (int64_t)(random_fraction(w) * (least > 0 ? 1000 : LATE_SPAN_MS));
        Message *reply = send_message(w, kind, owner);
        reply->serial = m->serial;
        reply->worker = m->worker;
        reply->is_reply = true;
        reply->result = GF_ORDER_UNKNOWN;
        reply->due_ms += ORDER_TIMEOUT_MS;
        reply->sent_at = m->sent_at;
        return m;
    }
    return m;
}

/* Sets the task and run of an order that was just queued, and of the last
 * message in the queue, which is the order's timeout or the order itself. */
static void
set_run(CellSim *w, Message *m, const GfTaskId *task, int64_t run)
{
    m->task = *task;
    m->run = run;
    Message *last = w->messages->prev;
    last->task = *task;
    last->run = run;
}

/* The operations that the scheduler calls; all of them but op_fenced queue a
 * message. */
static void
op_start(void *ctx, const GfStartOrder *order)
{
    Owner *o = ctx;
    Message *m = send_order(o->sim, START, o->index, &order->target);
    set_run(o->sim, m, &order->task, order->run);
    m->until_ms = order->until_ms;
    if (order->checkpoint != NULL) {
        m->done_ms = strtol(order->checkpoint, NULL, 10);
    }
}

static void
op_stop(void *ctx, const GfStopOrder *order)
{
    Owner *o = ctx;
    Message *m = send_order(o->sim, STOP, o->index, &order->target);
    set_run(o->sim, m, &order->task, order->run);
}

static void
op_pace(void *ctx, const GfPaceOrder *order)
{
    Owner *o = ctx;
    Message *m = send_order(o->sim, PACE, o->index, &order->target);
    set_run(o->sim, m, &order->task, order->run);
    m->percent = order->percent;
}

static void
op_hold(void *ctx, const GfHoldOrder *order)
{
    Owner *o = ctx;
    Message *m = send_order(o->sim, HOLD, o->index, &order->target);
    m->until_ms = order->until_ms;
    m->acked = order->acked;
    m->wait_until_ms = m->due_ms + order->wait_ms;
    m->sent_at = order->sent_at;
    o->sim->messages->prev->sent_at = order->sent_at;
}

/* Queues a request for advice, due after the time that the queue's
 * configuration expects for this number of workers. */
static void
op_advise(void *ctx, const GfAdviceOrder *order)
{
    Owner *o = ctx;
    CellSim *w = o->sim;
    w->advice_count++;
    Message *m = send_message(w, ADVISE, o->index);
    m->task.job = order->job;
    m->task.occurrence = order->occurrence;
    m->task.step = order->step;
    m->caller = order->caller;
    m->candidate_count = order->worker_count;
    memcpy(m->candidates, order->workers,
           order->worker_count * sizeof(GfName));
    const SimJob *job = find_job(w, &order->job);
    GfName queue;
    GfName_SetText(&queue, job->spec.queue);
    const GfQueue *q = GfCellConfig_FindQueue(w->config, &queue);
    m->due_ms += (int64_t)(q->advice_ms + q->advice_ms_per_worker *
                                              (double)order->worker_count);
}

/* Queues a commit with deep copies of its rows, which stay the caller's. */
static void
op_commit(void *ctx, const GfCellCommit *commit)
{
    Owner *o = ctx;
    Message *m = send_message(o->sim, COMMIT, o->index);
    m->token = o->token;
    m->rows = json_object();
    for (size_t i = 0; i < commit->count; i++) {
        const GfCellRow *row = &commit->rows[i];
        json_object_set_new(m->rows, row->key,
                            row->text == NULL
                                ? json_null()
                                : json_loadb(row->text, row->len, 0, NULL));
        m->bytes += row->text == NULL ? 0 : (row->len + 2) / 3 * 4;
        m->bytes += ROW_OVERHEAD_BYTES + strlen(row->key);
        m->too_large = m->too_large || row->len > ROW_BYTES;
    }
    m->settled_token = commit->settled_token;
}

static void
op_look_up(void *ctx, const GfName *job)
{
    Owner *o = ctx;
    Message *m = send_message(o->sim, LOOK_UP, o->index);
    m->task.job = *job;
}

static void
op_fenced(void *ctx, const GfName *worker)
{
    (void)worker;
    Owner *o = ctx;
    o->token = 0; /* the cell, which is running here, is freed later */
}

static const GfCellOps OPS = {.start = op_start,
                              .stop = op_stop,
                              .pace = op_pace,
                              .hold = op_hold,
                              .advise = op_advise,
                              .commit = op_commit,
                              .look_up = op_look_up,
                              .fenced = op_fenced};

/* Returns the ms of work that a run has done; work_ms if it never ends. */
static int64_t
work_done_ms(const CellSim *w, const Run *run)
{
    if (w->settings.factor != NULL) {
        return run->work_ms - (int64_t)run->left_ms;
    }
    int64_t left_ms = run->complete_at_ms - CellSim_NowMs(w);
    return run->complete_at_ms == INT64_MAX || left_ms < 0
               ? run->work_ms
               : run->work_ms - left_ms;
}

/* Makes a worker refuse starts of a task up to a run number. */
static void
refuse_starts(SimWorker *s, const GfTaskId *task, int64_t run)
{
    StopRecord *stop = calloc(1, sizeof(*stop));
    assert(stop != NULL);
    stop->task = *task;
    stop->run = run;
    LL_PREPEND(s->stop_records, stop);
}

/* Ends a run and adds it to the worker's completions; it is not started there
 * again. Frees the run. */
static void
complete_run(CellSim *w, SimWorker *s, Run *run, GfCompletionKind kind)
{
    Completion *c = calloc(1, sizeof(*c));
    assert(c != NULL);
    c->number = ++s->last_completion;
    c->task = run->task;
    c->run = run->run;
    c->kind = kind;
    if (w->settings.checkpoints && run->checkpointed) {
        snprintf(c->checkpoint, sizeof(c->checkpoint), "%lld",
                 (long long)run->saved_ms);
    }
    DL_APPEND(s->completions, c);
    DL_DELETE(s->runs, run);
    refuse_starts(s, &run->task, run->run);
    free(run);
}

/* Tells whether two ids name the same task. */
static bool
same_task(const GfTaskId *a, const GfTaskId *b)
{
    return GfName_Equal(&a->job, &b->job) && a->step == b->step &&
           a->index == b->index && a->occurrence == b->occurrence;
}

/* Returns whether a run that has just begun brings its team over its limit:
 * the team may be there with one task, if it used less than half of the limit
 * before. The members of a gang begin one after another. */
static bool
is_over_limit(int64_t limit, int64_t used, int64_t need, bool gang)
{
    int64_t before = used - need;
    return limit > 0 && used > limit && before * 2 >= limit &&
           !(gang && before <= limit);
}

/* Checks the invariants after a start: the worker's capacity, in which the
 * processors of backfill tasks do not count; a single run for each task; the
 * team's limit; and no start of a completed task, except a long-running one.
 */
static void
check_start(CellSim *w, SimWorker *s, const Run *run, const SimJob *job)
{
    GfResources used = {0};
    Run *r;
    DL_FOREACH(s->runs, r)
    {
        GfResources need = r->need;
        need.mcores = r->backfill ? 0 : need.mcores;
        used = GfResources_Add(used, need);
    }
    if (used.mcores > s->info.capacity.mcores ||
        used.memory_mb > s->info.capacity.memory_mb) {
        report_violation(w, "worker over its capacity at %lld ms",
                         (long long)CellSim_NowMs(w));
    }
    GfResources team = {0};
    for (int i = 0; i < w->settings.workers; i++) {
        DL_FOREACH(w->workers[i].runs, r)
        {
            const SimJob *other = find_job(w, &r->task.job);
            if (strcmp(other->spec.team, job->spec.team) == 0) {
                team = GfResources_Add(team, r->need);
            }
            if (r != run && w->workers[i].alive &&
                same_task(&r->task, &run->task)) {
                report_violation(
                    w, "task runs twice at %lld ms: job %s step %u task %u",
                    (long long)CellSim_NowMs(w), run->task.job.data,
                    run->task.step, run->task.index);
            }
        }
    }
    GfName name;
    GfName_SetText(&name, job->spec.team);
    const GfCellTeam *t = GfCellConfig_FindTeam(w->config, &name);
    if (t != NULL &&
        (is_over_limit(t->limit.mcores, team.mcores, run->need.mcores,
                       job->spec.step.gang) ||
         is_over_limit(t->limit.memory_mb, team.memory_mb, run->need.memory_mb,
                       job->spec.step.gang))) {
        report_violation(w, "team over its limit at %lld ms",
                         (long long)CellSim_NowMs(w));
    }
    if (job->done[task_position(job, &run->task)] &&
        !job->spec.step.long_running) {
        report_violation(
            w, "completed task started again at %lld ms: job %s task %u",
            (long long)CellSim_NowMs(w), run->task.job.data, run->task.index);
    }
}

/* Returns whether a task is one of those of the job that take longer. All its
 * runs do. */
static bool
is_long(const SimJob *job, const GfTaskId *task)
{
    GfName name = GfName_Format("%u.%u", task->step, task->index);
    uint64_t hash = GfName_Hash(&name, GfName_Hash(&job->id, 0));
    return (double)(hash % 1000) < job->spec.long_share * 1000;
}

/* Returns the time that a worker's clock shows. */
static int64_t
worker_clock(const CellSim *w, const SimWorker *s)
{
    return CellSim_NowMs(w) - s->clock_zero_ms;
}

/* Extends a worker's lease to a time on its clock, but not beyond the longest
 * one that it takes. */
static void
extend_lease(const CellSim *w, SimWorker *s, int64_t until_ms)
{
    int64_t longest = w->settings.longest_lease_ms;
    int64_t most = worker_clock(w, s) + longest;
    if (longest > 0 && until_ms > most) {
        until_ms = most;
    }
    s->lease_until_ms =
        until_ms > s->lease_until_ms ? until_ms : s->lease_until_ms;
}

/* Carries out a start order at a worker. A repeated order for the same run
 * succeeds; one for another run of a task that runs, or for a run that ended
 * or was stopped before, is superseded; one whose lease end has passed is
 * late. */
static GfOrderResult
execute_start(CellSim *w, SimWorker *s, const Message *m)
{
    Run *r;
    DL_FOREACH(s->runs, r)
    {
        if (same_task(&r->task, &m->task)) {
            return r->run == m->run ? GF_ORDER_DONE : GF_ORDER_SUPERSEDED;
        }
    }
    StopRecord *stop;
    LL_FOREACH(s->stop_records, stop)
    {
        if (same_task(&stop->task, &m->task) && m->run <= stop->run) {
            return GF_ORDER_SUPERSEDED;
        }
    }
    int64_t now = CellSim_NowMs(w);
    if (m->until_ms <= worker_clock(w, s)) {
        return GF_ORDER_LATE;
    }
    extend_lease(w, s, m->until_ms);
    SimJob *job = find_job(w, &m->task.job);
    Run *run = calloc(1, sizeof(*run));
    assert(run != NULL);
    run->task = m->task;
    run->run = m->run;
    run->need = job->spec.step.need;
    run->backfill = job->spec.step.backfill;
    run->serving = job->spec.step.latency_target_ms > 0;
    run->started_ms = now;
    run->pace = 1;
    run->fails = s->failing || random_fraction(w) < w->settings.fail_run;
    int64_t run_ms = job->spec.task_run_ms == NULL
                         ? job->spec.run_ms
                         : job->spec.task_run_ms[task_position(job, &m->task)];
    run->work_ms = run_ms > 0 ? run_ms : 1;
    if (is_long(job, &run->task)) {
        run->work_ms = (int64_t)((double)run->work_ms * job->spec.long_factor);
    }
    run->checkpointed = job->spec.step.checkpointed;
    run->complete_at_ms =
        now + (run->fails ? run->work_ms / 3 + 1 : run->work_ms);
    run->left_ms = (double)run->work_ms;
    if (w->settings.checkpoints && run->checkpointed) {
        run->saved_ms = m->done_ms;
        run->complete_at_ms -= m->done_ms;
        run->left_ms -= (double)m->done_ms;
    }
    if (job->spec.step.long_running || w->settings.factor != NULL) {
        run->complete_at_ms = INT64_MAX;
    }
    run->crash_at_ms = (int64_t)run->task.index < job->spec.deadly_tasks
                           ? now + job->spec.crash_after_ms
                           : INT64_MAX;
    DL_APPEND(s->runs, run);
    job->starts++;
    TaskCounts *counts = &job->tasks[task_position(job, &run->task)];
    counts->starts++;
    counts->late_starts += counts->crashes >= CRASH_LIMIT;
    w->start_count++;
    check_start(w, s, run, job);
    return GF_ORDER_DONE;
}

/* Carries out a stop order: runs of the task up to this number end after
 * STOP_DELAY_MS, and starts of them that arrive later are refused. */
static GfOrderResult
execute_stop(CellSim *w, SimWorker *s, const Message *m)
{
    refuse_starts(s, &m->task, m->run);
    Run *r;
    DL_FOREACH(s->runs, r)
    {
        if (same_task(&r->task, &m->task) && r->run <= m->run &&
            !r->stopping) {
            r->stopping = true;
            r->saved_ms = work_done_ms(w, r);
            int64_t by = CellSim_NowMs(w) + STOP_DELAY_MS;
            r->complete_at_ms =
                by < r->complete_at_ms ? by : r->complete_at_ms;
        }
    }
    return GF_ORDER_DONE;
}

/* Carries out a pace order at a worker, after pace_ms. */
static GfOrderResult
execute_pace(CellSim *w, SimWorker *s, const Message *m)
{
    Run *r;
    DL_FOREACH(s->runs, r)
    {
        if (same_task(&r->task, &m->task) && r->run == m->run) {
            r->next_pace = m->percent / 100.0;
            r->next_pace_ms = CellSim_NowMs(w) + w->settings.pace_ms;
            return GF_ORDER_DONE;
        }
    }
    return GF_ORDER_SUPERSEDED;
}

/* Drops the completions up to number acked. The owner may acknowledge a
 * completion only once the store has it, so the job of a task that succeeded
 * must have a stored row. */
static void
drop_acknowledged(CellSim *w, SimWorker *s, int64_t acked)
{
    Completion *c;
    Completion *tmp;
    DL_FOREACH_SAFE(s->completions, c, tmp)
    {
        if (c->number > acked) {
            continue;
        }
        SimJob *job = find_job(w, &c->task.job);
        if (c->kind == GF_COMPLETION_DONE) {
            job->done[task_position(job, &c->task)] = true;
            if (job->progress == NULL) {
                report_violation(
                    w,
                    "completion acknowledged before it was stored at %lld ms",
                    (long long)CellSim_NowMs(w));
            }
        }
        DL_DELETE(s->completions, c);
        free(c);
    }
}

/* Replies to a hold order with an inventory: the worker's runs and the first
 * COMPLETION_PAGE of its completions that are not acknowledged yet. */
static void
reply_hold(CellSim *w, SimWorker *s, Message *m)
{
    size_t run_count;
    Run *r;
    DL_COUNT(s->runs, r, run_count);
    GfRunRow *runs = calloc(run_count + 1, sizeof(GfRunRow));
    GfCompletionRow *completions =
        calloc(COMPLETION_PAGE, sizeof(GfCompletionRow));
    assert(runs != NULL && completions != NULL);
    GfInventory inventory = {.incarnation = s->info.incarnation,
                             .clock_ms = worker_clock(w, s),
                             .runs = runs,
                             .completions = completions};
    DL_FOREACH(s->runs, r)
    {
        int64_t done_ms = r->stopping ? r->saved_ms : work_done_ms(w, r);
        int percent = w->settings.factor == NULL
                          ? (int)(done_ms * 100 / r->work_ms)
                          : 100;
        runs[inventory.run_count++] = (GfRunRow){.task = r->task,
                                                 .run = r->run,
                                                 .checkpoint = "",
                                                 .percent = percent,
                                                 .load = (int64_t)r->tail_ms};
    }
    Completion *c;
    DL_FOREACH(s->completions, c)
    {
        if (inventory.completion_count < COMPLETION_PAGE) {
            completions[inventory.completion_count++] =
                (GfCompletionRow){.number = c->number,
                                  .task = c->task,
                                  .run = c->run,
                                  .kind = c->kind,
                                  .checkpoint = c->checkpoint};
        }
    }
    inventory.more_completions = inventory.completion_count == COMPLETION_PAGE;
    Owner *o = &w->owners[m->owner];
    if (o->cell != NULL && o->token != 0) {
        GfCell_HoldDone(o->cell, m->serial, m->sent_at, GF_ORDER_DONE,
                        &inventory);
    }
    free(runs);
    free(completions);
}

/* Passes the result of an order to its owner, unless the owner is gone. */
static void
deliver_result(CellSim *w, const Message *m)
{
    Owner *o = &w->owners[m->owner];
    if (o->cell == NULL || o->token == 0) {
        return;
    }
    if (m->kind == START) {
        GfCell_StartDone(o->cell, m->serial, &m->task, m->run, m->result);
    }
    else if (m->kind == STOP) {
        GfCell_StopDone(o->cell, m->serial, &m->task, m->run, m->result);
    }
    else if (m->kind == PACE) {
        GfCell_PaceDone(o->cell, m->serial, &m->task, m->run, m->result);
    }
    else if (m->kind == HOLD) {
        GfCell_HoldDone(o->cell, m->serial, m->sent_at, m->result, NULL);
    }
}

/* Turns an order into its reply, or into a timeout if the worker is isolated
 * or the reply is lost. Returns false if the message is to be freed, as no
 * reply is expected. */
static bool
make_reply(CellSim *w, Message *m, GfOrderResult result)
{
    if (m->no_reply) {
        return false;
    }
    m->is_reply = true;
    m->result = result;
    m->due_ms = CellSim_NowMs(w) + w->settings.latency_ms;
    const SimWorker *s = &w->workers[m->worker];
    if (s->isolated || s->isolated_from[m->owner] ||
        random_fraction(w) < w->settings.lose_answer) {
        m->result = GF_ORDER_UNKNOWN;
        m->due_ms += ORDER_TIMEOUT_MS;
    }
    return true;
}

/* Carries out an order at a worker, if the incarnation matches and no higher
 * token was seen. A hold extends the lease and acknowledges completions; its
 * reply is delayed until there is a completion or its wait time is over.
 * Returns true if the message stays in the queue. */
static bool
execute_order(CellSim *w, Message *m)
{
    SimWorker *s = &w->workers[m->worker];
    if (!s->alive || s->isolated || s->isolated_from[m->owner]) {
        return make_reply(w, m, GF_ORDER_UNKNOWN);
    }
    bool former = m->incarnation != s->info.incarnation;
    if (former && !w->settings.takes_former_orders) {
        return make_reply(w, m, GF_ORDER_OTHER_INCARNATION);
    }
    if (former && m->kind == HOLD && !m->no_reply) {
        m->until_ms = 0;
        m->acked = 0;
        m->wait_until_ms = 0;
    }
    if (m->token < s->fence && !w->settings.without_fence) {
        return make_reply(w, m, GF_ORDER_FENCED);
    }
    s->fence = m->token;
    if (m->kind == START) {
        return make_reply(w, m, execute_start(w, s, m));
    }
    if (m->kind == STOP) {
        return make_reply(w, m, execute_stop(w, s, m));
    }
    if (m->kind == PACE) {
        return make_reply(w, m, execute_pace(w, s, m));
    }
    extend_lease(w, s, m->until_ms);
    drop_acknowledged(w, s, m->acked);
    if (s->completions == NULL && CellSim_NowMs(w) < m->wait_until_ms &&
        !m->no_reply) {
        return true; /* no completion yet: keep the hold open */
    }
    if (m->no_reply) {
        return false;
    }
    if (random_fraction(w) < w->settings.lose_answer) {
        return make_reply(w, m, GF_ORDER_UNKNOWN);
    }
    reply_hold(w, s, m);
    return false;
}

/* Returns whether the store takes the rows of a commit: each has at most
 * ROW_BYTES, and all of them, in base64, at most CALL_BYTES in CALL_ROWS
 * rows. */
static bool
is_within_limits(const Message *m)
{
    return !m->too_large && json_object_size(m->rows) <= CALL_ROWS &&
           m->bytes <= CALL_BYTES;
}

/* Returns whether a commit has a row of a job that the store refuses. */
static bool
is_refused(CellSim *w, const Message *m)
{
    const char *key;
    json_t *row;
    json_object_foreach(m->rows, key, row)
    {
        GfName name;
        const char *state = json_string_value(json_object_get(row, "state"));
        if (state != NULL && GfName_SetText(&name, key) &&
            find_job(w, &name)->refused && strcmp(state, "completed") != 0) {
            return true;
        }
    }
    return false;
}

/* Applies a commit to the simulated store if its token is the current one. A
 * commit of a former owner makes that owner give up ownership. If the store is
 * unavailable the commit fails, and is reported so unless without_durability
 * is set. */
static void
apply_commit(CellSim *w, const Message *m)
{
    Owner *o = &w->owners[m->owner];
    bool holds = m->token == w->token || w->settings.without_condition;
    if (!w->store_available) {
        if (o->cell != NULL && o->token != 0) {
            GfCell_CommitDone(o->cell,
                              w->settings.without_durability ? w->version : 0);
        }
        return;
    }
    if (!holds) {
        o->token = 0;
        return;
    }
    if (!is_within_limits(m)) {
        report_violation(w, "commit beyond the limits of the store at %lld ms",
                         (long long)CellSim_NowMs(w));
    }
    if (!is_within_limits(m) || is_refused(w, m)) {
        if (o->cell != NULL && o->token != 0) {
            GfCell_CommitRejected(o->cell);
        }
        return;
    }
    int64_t version = ++w->version;
    if (m->settled_token != 0) {
        w->settled_token = m->settled_token;
    }
    const char *id;
    json_t *row;
    json_object_foreach(m->rows, id, row)
    {
        if (id[0] == '\0' || id[0] == '.') {
            json_object_set(w->leased_workers, id, row);
            continue;
        }
        GfName name;
        GfName_SetText(&name, id);
        SimJob *job = find_job(w, &name);
        if (strchr(id, '.') != NULL) {
            if (json_is_null(row)) {
                json_object_del(job->blocks, id);
            }
            else {
                json_object_set(job->blocks, id, row);
            }
            continue;
        }
        json_decref(job->progress);
        job->progress = json_incref(row);
        const char *state = json_string_value(json_object_get(row, "state"));
        for (int i = 0; i < GF_JOB_STATES; i++) {
            if (strcmp(GfJobState_Name((GfJobState)i), state) == 0) {
                job->stored_state = (GfJobState)i;
            }
        }
        if (job->finished_ms == 0 && job->stored_state != GF_JOB_QUEUED &&
            job->stored_state != GF_JOB_STARTED) {
            job->finished_ms = CellSim_NowMs(w);
        }
    }
    if (o->cell != NULL && o->token != 0) {
        GfCell_CommitDone(o->cell, version);
    }
}

/* Returns the number of a job's tasks over all steps and occurrences. */
static size_t
count_tasks(const SimJob *job)
{
    return (size_t)job->spec.occurrences * (size_t)job->spec.steps *
           job->spec.step.task_count;
}

/* Builds the job's spec as a chain of equal steps. The caller owns it. */
static GfJobSpec
make_spec(const SimJob *job)
{
    GfJobSpec spec = {.step_count = (size_t)job->spec.steps,
                      .occurrences = (uint32_t)job->spec.occurrences,
                      .payload = GfStr_Copy("x", 1)};
    spec.steps = calloc(spec.step_count, sizeof(GfStepSpec));
    assert(spec.steps != NULL);
    for (size_t i = 0; i < spec.step_count; i++) {
        spec.steps[i] = job->spec.step;
        spec.steps[i].estimate_ms = job->spec.estimate_ms > 0
                                        ? job->spec.estimate_ms
                                        : job->spec.run_ms;
        if (i > 0) {
            spec.steps[i].prerequisites = malloc(sizeof(uint32_t));
            assert(spec.steps[i].prerequisites != NULL);
            spec.steps[i].prerequisites[0] = (uint32_t)i - 1;
            spec.steps[i].prerequisite_count = 1;
        }
    }
    return spec;
}

/* Adds a job to an owner's cell. former: the job was submitted in an earlier
 * term, so its stored progress is passed along, or its final state. */
static void
add_job(CellSim *w, Owner *o, SimJob *job, bool former)
{
    GfName team;
    GfName queue;
    GfName_SetText(&team, job->spec.team);
    GfName_SetText(&queue, job->spec.queue);
    const char *state =
        json_string_value(json_object_get(job->progress, "state"));
    if (former && state != NULL &&
        GfCell_AddFinished(o->cell, &job->id, state)) {
        return;
    }
    if (former && job->progress == NULL && json_object_size(job->blocks) > 0) {
        job->progress = json_pack("{s:s}", "state", "queued");
    }
    if (former && job->progress != NULL) {
        json_t *blocks = json_array();
        const char *key;
        json_t *block;
        json_object_foreach(job->blocks, key, block)
        {
            json_array_append(blocks, block);
        }
        json_object_set_new(job->progress, "blocks", blocks);
    }
    GfJobSpec spec = make_spec(job);
    GfCell_AddJob(o->cell, &job->id, &team, &queue,
                  CellSim_NowMs(w) - job->submitted_ms, &spec,
                  former ? job->progress : NULL, former);
}

/* Replies to a request for advice: two of three workers get a ticket; which
 * ones depends on the step. */
static void
reply_advice(CellSim *w, const Message *m)
{
    Owner *o = &w->owners[m->owner];
    if (o->cell == NULL || o->token == 0) {
        return;
    }
    const SimJob *job = find_job(w, &m->task.job);
    GfTicket tickets[128];
    size_t count = 0;
    for (size_t i = 0; i < m->candidate_count; i++) {
        long number = strtol(m->candidates[i].data + 1, NULL, 10);
        if (!job->spec.denied && (number + (long)m->task.step) % 3 != 0) {
            tickets[count].worker = m->candidates[i];
            tickets[count++].ticket = GfName_Format("t");
        }
    }
    GfCell_AdviceDone(o->cell, &m->caller, &m->task.job, m->task.occurrence,
                      m->task.step, true, tickets, count, TICKET_VALID_MS);
}

/* Handles a message that is due. Returns true if it stays in the queue. */
static bool
handle_message(CellSim *w, Message *m)
{
    Owner *o = &w->owners[m->owner];
    switch (m->kind) {
    case ADVISE:
        reply_advice(w, m);
        return false;
    case COMMIT:
        apply_commit(w, m);
        return false;
    case LOOK_UP:
        if (o->cell != NULL && o->token != 0) {
            SimJob *job = find_job(w, &m->task.job);
            if (!w->store_available) {
                GfCell_LookupFailed(o->cell, &m->task.job);
            }
            else if (job == NULL) {
                GfCell_JobNotFound(o->cell, &m->task.job);
            }
            else {
                add_job(w, o, job, true);
            }
        }
        return false;
    default:
        break;
    }
    if (m->is_reply) {
        deliver_result(w, m);
        return false;
    }
    return execute_order(w, m);
}

/* Drops the runs and all other state of a worker. */
static void
reset_worker(SimWorker *s)
{
    Run *r;
    Run *rtmp;
    DL_FOREACH_SAFE(s->runs, r, rtmp)
    {
        DL_DELETE(s->runs, r);
        free(r);
    }
    Completion *c;
    Completion *ctmp;
    DL_FOREACH_SAFE(s->completions, c, ctmp)
    {
        DL_DELETE(s->completions, c);
        free(c);
    }
    StopRecord *st;
    StopRecord *stmp;
    LL_FOREACH_SAFE(s->stop_records, st, stmp)
    {
        free(st);
    }
    s->stop_records = NULL;
    s->last_completion = 0;
    s->fence = 0;
    s->lease_until_ms = 0;
    s->unlist_at_ms = 0;
    s->back_at_ms = 0;
}

/* Crashes a worker through a run of a deadly task. It starts again after
 * worker_back_ms, if that is set. */
static void
crash_through_run(CellSim *w, int worker, const Run *run)
{
    SimWorker *s = &w->workers[worker];
    find_job(w, &run->task.job)->crashes++;
    w->crash_count++;
    CellSim_CrashWorker(w, worker);
    int64_t now = CellSim_NowMs(w);
    int64_t back_ms = w->settings.worker_back_ms;
    s->back_at_ms = back_ms > 0 ? now + back_ms : 0;
    s->unlist_at_ms = now + UNLIST_MS;
}

/* Removes a worker that a deadly task has crashed from the table and starts it
 * again, each when it is due. Without an owner only the table changes, which
 * the next one reads. */
static void
tick_crashed_worker(CellSim *w, int worker)
{
    SimWorker *s = &w->workers[worker];
    int64_t now = CellSim_NowMs(w);
    if (s->back_at_ms != 0 && s->back_at_ms <= now) {
        CellSim_RestartWorker(w, worker);
    }
    else if (s->unlist_at_ms != 0 && s->unlist_at_ms <= now) {
        s->unlist_at_ms = 0;
        if (CellSim_Owner(w) != NULL) {
            GfCell_UnlistWorker(CellSim_Owner(w), &s->info.id);
        }
    }
}

/* Moves the end of a run by what a speed other than 1 adds in a time step. */
static void
slow_down(Run *run, double speed)
{
    if (speed == 1 || run->stopping || run->complete_at_ms == INT64_MAX) {
        return;
    }
    run->behind_ms += CELL_SIM_STEP_MS * (1 - speed);
    int64_t whole_ms = (int64_t)run->behind_ms;
    run->complete_at_ms += whole_ms;
    run->behind_ms -= (double)whole_ms;
}

/* Returns the factor by which the other runs of a worker lengthen a run; of
 * these, with without_fill, all but the backfill tasks. */
static double
lengthening(CellSim *w, const SimWorker *s, const Run *run, bool without_fill)
{
    const SimJob *job = find_job(w, &run->task.job);
    double factor = 1;
    const Run *r;
    DL_FOREACH(s->runs, r)
    {
        if (r != run && !(without_fill && r->backfill)) {
            const SimJob *other = find_job(w, &r->task.job);
            double full =
                w->settings.factor(&job->spec.step.image,
                                   &other->spec.step.image, CellSim_NowMs(w));
            factor *= 1 + (full - 1) * r->pace;
        }
    }
    return factor;
}

/* Updates the tail of a run that serves, and the times above its target. */
static void
tick_tail(CellSim *w, const SimWorker *s, Run *r, const SimJob *job)
{
    double tail = (double)job->spec.tail_ms * lengthening(w, s, r, false);
    double alone = (double)job->spec.tail_ms * lengthening(w, s, r, true);
    double target = (double)job->spec.tail_target_ms;
    int64_t now = CellSim_NowMs(w);
    double noise = 1 + w->settings.noise * (2 * random_fraction(w) - 1);
    if (now - r->started_ms >= 500) {
        double last = r->tail_ms > 0 ? r->tail_ms : tail;
        r->tail_ms = last + (tail * noise - last) * CELL_SIM_STEP_MS / 250;
    }
    w->serving_ms += CELL_SIM_STEP_MS;
    w->over_ms += tail > target ? CELL_SIM_STEP_MS : 0;
    if (tail <= target || alone > target) {
        r->over_since_ms = 0;
        return;
    }
    r->over_since_ms = r->over_since_ms == 0 ? now : r->over_since_ms;
    int64_t over_ms = now - r->over_since_ms;
    w->longest_over_ms =
        over_ms > w->longest_over_ms ? over_ms : w->longest_over_ms;
    if (over_ms >= CELL_SIM_HARM_MS) {
        report_violation(w, "tail above its target at %lld ms: job %s",
                         (long long)now, r->task.job.data);
    }
}

/* Lets the runs of a worker work for a step at their paces, slowed by each
 * other. */
static void
tick_neighbours(CellSim *w, SimWorker *s)
{
    int64_t now = CellSim_NowMs(w);
    Run *r;
    DL_FOREACH(s->runs, r)
    {
        if (r->next_pace_ms > 0 && r->next_pace_ms <= now) {
            r->pace = r->next_pace;
            r->next_pace_ms = 0;
        }
    }
    DL_FOREACH(s->runs, r)
    {
        const SimJob *job = find_job(w, &r->task.job);
        if (job->spec.tail_ms > 0) {
            tick_tail(w, s, r, job);
        }
        w->backfill_ms += r->backfill ? CELL_SIM_STEP_MS * r->pace : 0;
        if (!job->spec.step.long_running && !r->stopping) {
            r->left_ms -=
                CELL_SIM_STEP_MS * r->pace / lengthening(w, s, r, false);
            r->complete_at_ms = r->left_ms <= 0 ? now : INT64_MAX;
        }
    }
}

/* Completes a worker's runs that are due; all its runs lapse once its lease
 * has expired. A deadly run that is due crashes the worker. */
static void
tick_worker(CellSim *w, int worker)
{
    SimWorker *s = &w->workers[worker];
    int64_t now = CellSim_NowMs(w);
    Run *r;
    Run *tmp;
    DL_FOREACH_SAFE(s->runs, r, tmp)
    {
        if (w->settings.factor == NULL) {
            slow_down(r, s->speed);
        }
        if (s->lease_until_ms <= worker_clock(w, s)) {
            complete_run(w, s, r, GF_COMPLETION_LAPSED);
        }
        else if (r->crash_at_ms <= now && r->crash_at_ms < r->complete_at_ms) {
            crash_through_run(w, worker, r);
            return;
        }
        else if (r->complete_at_ms <= now) {
            GfCompletionKind kind = r->stopping ? GF_COMPLETION_STOPPED
                                    : r->fails  ? GF_COMPLETION_FAILED
                                                : GF_COMPLETION_DONE;
            complete_run(w, s, r, kind);
        }
    }
}

/* Destroys the cell of an owner that gave up ownership or was killed. */
static void
free_owner(Owner *o)
{
    GfCell_Destroy(o->cell);
    o->cell = NULL;
}

/* Tells an owner that the one it has replaced has ended, if that is so. */
static void
report_former_owner(Owner *o)
{
    if (o->cell != NULL && o->index > 0 &&
        o->sim->owners[o->index - 1].cell == NULL) {
        GfCell_FormerOwnerEnded(o->cell);
    }
}

/* Passes an owner a reading of the store's clock, as of an answer that took
 * as long as a message there and back. */
static void
report_clock(Owner *o)
{
    const CellSim *w = o->sim;
    GfTableClock reading = {
        .ms =
            CellSim_NowMs(w) - w->settings.latency_ms + SHARED_CLOCK_OFFSET_MS,
        .earliest = GfTime_AddMs(w->clock.time, -2LL * w->settings.latency_ms),
        .latest = w->clock.time};
    if (o->cell != NULL && w->store_available) {
        GfCell_SetSharedClock(o->cell, &reading);
    }
}

/* Advances the simulation by a time in ms, in steps of CELL_SIM_STEP_MS. In
 * each step workers complete runs or crash, messages that are due are handled,
 * and each owner is ticked. */
void
CellSim_Run(CellSim *w, int64_t ms)
{
    for (int64_t t = 0; t < ms; t += CELL_SIM_STEP_MS) {
        GfManualClock_Advance(&w->clock, CELL_SIM_STEP_MS);
        for (int i = 0; i < w->settings.workers; i++) {
            if (w->workers[i].alive) {
                if (w->settings.factor != NULL) {
                    tick_neighbours(w, &w->workers[i]);
                }
                tick_worker(w, i);
            }
            else {
                tick_crashed_worker(w, i);
            }
        }
        Message *m;
        Message *tmp;
        Message *due = NULL;
        DL_FOREACH_SAFE(w->messages, m, tmp)
        {
            if (m->due_ms <= CellSim_NowMs(w)) {
                DL_DELETE(w->messages, m);
                DL_APPEND(due, m);
            }
        }
        DL_FOREACH_SAFE(due, m, tmp)
        {
            DL_DELETE(due, m);
            if (handle_message(w, m)) {
                DL_APPEND(w->messages, m);
            }
            else {
                json_decref(m->rows);
                free(m);
            }
        }
        for (int i = 0; i < w->owner_count; i++) {
            Owner *o = &w->owners[i];
            int64_t placed_ms =
                CellSim_NowMs(w) - o->started_ms - w->settings.load_ms;
            if (o->cell != NULL && o->token != 0 && placed_ms < 0) {
                continue; /* still loading */
            }
            if (o->cell != NULL && o->replaced_ms > 0) {
                /* A replaced owner may extend leases only while its last
                 * proof of ownership is valid. */
                GfCell_SetMayGrantLeases(o->cell,
                                         CellSim_NowMs(w) <
                                             o->replaced_ms + PROOF_VALID_MS);
            }
            report_former_owner(o);
            report_clock(o);
            if (o->cell != NULL && !GfCell_IsReady(o->cell) &&
                GfCell_MayBeginPlacement(o->cell, placed_ms)) {
                GfCell_StartPlacement(o->cell);
            }
            if (o->cell != NULL && o->token != 0) {
                GfCell_Tick(o->cell);
            }
            if (o->cell != NULL && o->token == 0) {
                free_owner(o);
            }
        }
    }
}

/* Creates a simulation without an owner. The settings are copied; the
 * configuration stays the caller's and must outlive the simulation. Domains
 * are d0 to d2 and the last label of a worker is its rack. */
CellSim *
CellSim_Create(const CellSimSettings *settings, const GfCellConfig *config)
{
    assert(settings->workers <= MAX_WORKERS);
    CellSim *w = calloc(1, sizeof(*w));
    assert(w != NULL);
    w->settings = *settings;
    w->config = config;
    w->random_state = settings->seed * 2654435761U + 1;
    w->store_available = true;
    w->leased_workers = json_object();
    w->current_owner = -1;
    w->jobs = calloc(MAX_JOBS, sizeof(SimJob));
    assert(w->jobs != NULL);
    GfManualClock_Init(&w->clock, 1000000);
    for (int i = 0; i < settings->workers; i++) {
        SimWorker *s = &w->workers[i];
        s->alive = true;
        s->speed = 1;
        s->info = (GfWorkerInfo){
            .id = GfName_Format("w%d", i),
            .incarnation = 1,
            .service = GfName_Format("service"),
            .domain = GfName_Format("d%d", i % 3),
            .port = (uint16_t)(i + 1),
            .address = "worker-host.rack-0.domain-a.example",
            .capacity = {settings->mcores, settings->memory_mb, 0},
            .label_count = 2};
        s->info.labels[0] = GfName_Format("%c", i % 3 == 2 ? 'b' : 'a');
        s->info.labels[1] = GfName_Format(
            "r%d", i / (settings->rack_size > 0 ? settings->rack_size : 6));
    }
    return w;
}

/* Tells whether an owner slot is free and the store is available, as a
 * takeover needs a commit. */
bool
CellSim_CanTakeOver(const CellSim *w)
{
    return w->owner_count < CELL_SIM_MAX_OWNERS && w->store_available;
}

/* Adds the workers of a part of the stored list to an owner's cell. */
static void
load_leased_workers(CellSim *w, Owner *o, const json_t *part)
{
    size_t i;
    json_t *entry;
    json_array_foreach(part, i, entry)
    {
        const char *id = json_string_value(json_array_get(entry, 0));
        long number = strtol(id + 1, NULL, 10);
        GfWorkerInfo info = w->workers[number].info;
        GfName_SetText(&info.id, id);
        info.incarnation = json_integer_value(json_array_get(entry, 1));
        info.capacity =
            (GfResources){0}; /* known only from the worker table */
        const json_t *tasks = json_array_get(entry, 4);
        if (tasks == NULL) {
            GfCell_AddLeasedWorker(o->cell, &info);
            continue;
        }
        size_t count = json_array_size(tasks);
        GfInheritedTask *named = calloc(count + 1, sizeof(GfInheritedTask));
        assert(named != NULL);
        for (size_t t = 0; t < count; t++) {
            const json_t *task = json_array_get(tasks, t);
            named[t].task = (GfTaskId){
                .occurrence =
                    (uint32_t)json_integer_value(json_array_get(task, 1)),
                .step = (uint32_t)json_integer_value(json_array_get(task, 2)),
                .index =
                    (uint32_t)json_integer_value(json_array_get(task, 3))};
            named[t].confirmed = !json_is_true(json_array_get(task, 4));
            GfName_SetText(&named[t].task.job,
                           json_string_value(json_array_get(task, 0)));
        }
        info.leaving = json_is_true(json_array_get(entry, 6));
        int64_t expires_ms = json_integer_value(json_array_get(entry, 5));
        if (expires_ms > 0 && w->settings.without_ends) {
            expires_ms -= LEASE_MS / 2;
        }
        GfCell_AddClosedWorker(o->cell, &info, named,
                               w->settings.without_names ? 0 : count,
                               expires_ms);
        free(named);
    }
}

/* Creates another owner with a higher token and loads it from the store: the
 * leased workers, the workers that are alive and listed, and the jobs that are
 * not hidden. The simulation owns the returned cell. */
GfCell *
CellSim_TakeOver(CellSim *w)
{
    assert(w->owner_count < CELL_SIM_MAX_OWNERS);
    Owner *o = &w->owners[w->owner_count];
    o->sim = w;
    o->index = w->owner_count;
    int64_t former_token = w->token;
    w->version += 10;
    w->token = w->version;
    o->token = w->token;
    GfCellSettings settings = {
        .token = o->token,
        .former_token = former_token,
        .lease_ms = LEASE_MS,
        .longest_lease_ms = w->settings.longest_lease_ms,
        .ownership_valid_ms = w->settings.without_uncertainty ? 0 : PROOF_MS,
        .uncertainty_ms = w->settings.without_uncertainty ? 0 : UNCERTAIN_MS,
        .clock_drift_percent = 3,
        .serial_base = (uint32_t)(o->index + 1) * 10000U,
        .single_row_bytes = w->settings.single_row_bytes,
        .features = w->settings.features};
    o->cell = GfCell_Create(&OPS, o, &settings, &w->clock.clock);
    if (w->current_owner >= 0) {
        w->owners[w->current_owner].replaced_ms = CellSim_NowMs(w);
    }
    w->current_owner = w->owner_count++;
    GfCell_SetConfig(o->cell, w->config);
    GfName callers[64];
    for (int i = 0; i < w->settings.callers; i++) {
        callers[i] = GfName_Format("c%d", i);
    }
    GfCell_SetAdviceCallers(o->cell, callers, (size_t)w->settings.callers);
    for (int k = 0; w->settings.table_lags && k < w->settings.workers; k++) {
        GfWorkerInfo info = w->workers[k].info;
        info.incarnation -= info.incarnation > 1;
        GfCell_SetWorker(o->cell, &info);
    }
    const char *key;
    json_t *part;
    json_object_foreach(w->leased_workers, key, part)
    {
        load_leased_workers(w, o, part);
    }
    GfCell_SetLeaseParts(o->cell, json_object_size(w->leased_workers));
    for (int k = 0; k < w->settings.workers; k++) {
        if (w->workers[k].alive && !w->workers[k].unlisted &&
            !w->settings.table_lags) {
            GfCell_SetWorker(o->cell, &w->workers[k].info);
        }
    }
    for (int k = 0; k < w->job_count; k++) {
        if (!w->jobs[k].hidden) {
            add_job(w, o, &w->jobs[k], true);
        }
    }
    o->started_ms = CellSim_NowMs(w);
    GfCell_SetSettledToken(o->cell, w->settings.without_settled
                                        ? former_token
                                        : w->settled_token);
    report_former_owner(o);
    report_clock(o);
    return o->cell;
}

/* Ends an owner at once, without a release of its ownership. */
void
CellSim_KillOwner(CellSim *w, GfCell *cell)
{
    for (int i = 0; i < w->owner_count; i++) {
        if (w->owners[i].cell == cell) {
            w->owners[i].token = 0;
            free_owner(&w->owners[i]);
        }
    }
}

/* Returns the cell of the latest owner, or NULL if there is none. */
GfCell *
CellSim_Owner(const CellSim *w)
{
    return w->current_owner < 0 ? NULL : w->owners[w->current_owner].cell;
}

/* Has the store refuse the rows of a job for good, but not that of its
 * completion. */
void
CellSim_RefuseJob(CellSim *w, int job)
{
    w->jobs[job].refused = true;
}

/* Makes the store available, or unavailable: then commits fail. */
void
CellSim_SetStoreAvailable(CellSim *w, bool available)
{
    w->store_available = available;
}

/* Submits a job to all owners that have a cell; returns its number. */
int
CellSim_Submit(CellSim *w, const CellSimJob *job)
{
    assert(w->job_count < MAX_JOBS);
    int number = w->job_count++;
    SimJob *j = &w->jobs[number];
    j->id = GfName_Format("%016x", (unsigned)number);
    j->spec = *job;
    j->spec.steps = job->steps > 0 ? job->steps : 1;
    j->spec.occurrences = job->occurrences > 0 ? job->occurrences : 1;
    j->submitted_ms = CellSim_NowMs(w);
    j->blocks = json_object();
    j->done = calloc(count_tasks(j), sizeof(bool));
    j->tasks = calloc(count_tasks(j), sizeof(TaskCounts));
    assert(j->done != NULL && j->tasks != NULL);
    for (int i = 0; i < w->owner_count; i++) {
        if (w->owners[i].cell != NULL) {
            add_job(w, &w->owners[i], j, false);
        }
    }
    return number;
}

/* Submits a job that later owners do not load; returns its number. */
int
CellSim_SubmitHidden(CellSim *w, const CellSimJob *job)
{
    int number = CellSim_Submit(w, job);
    w->jobs[number].hidden = true;
    return number;
}

/* Adds a hidden job to the latest owner's cell as a new one. */
void
CellSim_RevealJob(CellSim *w, int job)
{
    w->jobs[job].hidden = false;
    add_job(w, &w->owners[w->current_owner], &w->jobs[job], false);
}

/* A completion callback that does nothing. */
static void
ignore_result(void *arg, GfErrorKind kind)
{
    (void)arg;
    (void)kind;
}

/* Asks the latest owner, which must have a cell, to cancel a job. */
void
CellSim_CancelJob(CellSim *w, int job)
{
    GfCell_CancelJob(CellSim_Owner(w), &w->jobs[job].id, ignore_result, NULL);
}

/* Returns the state of a job in the store. */
GfJobState
CellSim_JobState(const CellSim *w, int job)
{
    return w->jobs[job].stored_state;
}

/* Returns the ms from a job's submission until its final state was stored, or
 * -1 if it is not final. */
int64_t
CellSim_FinishedAfterMs(const CellSim *w, int job)
{
    const SimJob *j = &w->jobs[job];
    return j->finished_ms == 0 ? -1 : j->finished_ms - j->submitted_ms;
}

/* Returns how many rows of blocks of tasks the store has. */
int
CellSim_CountBlockRows(const CellSim *w)
{
    size_t count = 0;
    for (int i = 0; i < w->job_count; i++) {
        count += json_object_size(w->jobs[i].blocks);
    }
    return (int)count;
}

/* Returns the number of a worker that the stored main row of a job names, in
 * its present incarnation, for a task that runs there or is to; or -1. */
int
CellSim_NamedWorker(const CellSim *w, int job)
{
    static const char *const LISTS[] = {"placements", "intended"};
    for (size_t i = 0; i < sizeof(LISTS) / sizeof(LISTS[0]); i++) {
        const json_t *list = json_object_get(w->jobs[job].progress, LISTS[i]);
        size_t k;
        json_t *entry;
        json_array_foreach(list, k, entry)
        {
            const char *id = json_string_value(json_array_get(entry, 2));
            long number = strtol(id + 1, NULL, 10);
            const SimWorker *s = &w->workers[number];
            if (s->alive && s->info.incarnation ==
                                json_integer_value(json_array_get(entry, 3))) {
                return (int)number;
            }
        }
    }
    return -1;
}

/* Returns how many runs of a job were started. */
int
CellSim_JobStarts(const CellSim *w, int job)
{
    return w->jobs[job].starts;
}

/* Counts the runs of a job on workers that are alive. */
int
CellSim_JobRunning(const CellSim *w, int job)
{
    int count = 0;
    for (int i = 0; i < w->settings.workers; i++) {
        Run *r;
        DL_FOREACH(w->workers[i].runs, r)
        {
            count += w->workers[i].alive &&
                     GfName_Equal(&r->task.job, &w->jobs[job].id);
        }
    }
    return count;
}

/* Returns the number of a worker that is alive and runs a task of a job, or -1
 * if there is none. */
int
CellSim_JobWorker(const CellSim *w, int job)
{
    for (int i = 0; i < w->settings.workers; i++) {
        Run *r;
        DL_FOREACH(w->workers[i].runs, r)
        {
            if (w->workers[i].alive &&
                GfName_Equal(&r->task.job, &w->jobs[job].id)) {
                return i;
            }
        }
    }
    return -1;
}

/* Returns how many workers the deadly tasks of a job have crashed; a worker
 * that has come back counts again. */
int
CellSim_JobCrashes(const CellSim *w, int job)
{
    return w->jobs[job].crashes;
}

/* Returns how many workers deadly tasks have crashed in all. */
int
CellSim_CountCrashes(const CellSim *w)
{
    return w->crash_count;
}

/* Returns how many runs of a task were started. */
int
CellSim_TaskStarts(const CellSim *w, int job, int task)
{
    return w->jobs[job].tasks[task].starts;
}

/* Returns how many workers crashed while they ran a task. */
int
CellSim_TaskCrashes(const CellSim *w, int job, int task)
{
    return w->jobs[job].tasks[task].crashes;
}

/* Returns the most starts of one task of a job after three workers have
 * crashed under that task. */
int
CellSim_StartsAfterCrashes(const CellSim *w, int job)
{
    const SimJob *j = &w->jobs[job];
    int most = 0;
    for (size_t i = 0; i < count_tasks(j); i++) {
        most = j->tasks[i].late_starts > most ? j->tasks[i].late_starts : most;
    }
    return most;
}

/* Ends a worker at once; its runs and completions are lost. */
void
CellSim_CrashWorker(CellSim *w, int worker)
{
    Run *r;
    DL_FOREACH(w->workers[worker].runs, r)
    {
        SimJob *job = find_job(w, &r->task.job);
        job->tasks[task_position(job, &r->task)].crashes++;
    }
    w->workers[worker].alive = false;
    reset_worker(&w->workers[worker]);
}

/* Starts a new incarnation of a worker under the same id, without any state.
 * The latest owner does not read its row yet; CellSim_SetListed changes that.
 */
void
CellSim_RestartUnseen(CellSim *w, int worker)
{
    SimWorker *s = &w->workers[worker];
    reset_worker(s);
    s->alive = true;
    s->info.incarnation++;
    if (w->settings.takes_former_orders) {
        s->info.incarnation = GfTime_WallMs() + s->info.incarnation;
        s->clock_zero_ms = CellSim_NowMs(w);
    }
}

/* Starts a new incarnation of a worker under the same id, without any state;
 * the latest owner reads its row. */
void
CellSim_RestartWorker(CellSim *w, int worker)
{
    SimWorker *s = &w->workers[worker];
    CellSim_RestartUnseen(w, worker);
    if (w->settings.new_ids) {
        if (CellSim_Owner(w) != NULL) {
            GfCell_UnlistWorker(CellSim_Owner(w), &s->info.id);
        }
        s->info.id = GfName_Format("w%d.%d", worker, (int)s->info.incarnation);
    }
    if (CellSim_Owner(w) != NULL) {
        GfCell_SetWorker(CellSim_Owner(w), &s->info);
    }
}

/* Isolates a worker from all owners, or ends that. */
void
CellSim_SetIsolated(CellSim *w, int worker, bool isolated)
{
    w->workers[worker].isolated = isolated;
}

/* Lets only hold calls reach a worker, or ends that. */
void
CellSim_SetOnlyHolds(CellSim *w, int worker, bool only_holds)
{
    w->workers[worker].only_holds = only_holds;
}

/* Isolates a worker from one owner, or ends that. */
void
CellSim_SetIsolatedFrom(CellSim *w, int worker, const GfCell *cell,
                        bool isolated)
{
    for (int i = 0; i < w->owner_count; i++) {
        if (w->owners[i].cell == cell) {
            w->workers[worker].isolated_from[i] = isolated;
        }
    }
}

/* Removes a worker from the platform's worker table, or adds it again. The
 * worker itself goes on. */
void
CellSim_SetListed(CellSim *w, int worker, bool listed)
{
    SimWorker *s = &w->workers[worker];
    s->unlisted = !listed;
    if (CellSim_Owner(w) == NULL) {
        return;
    }
    if (listed) {
        GfCell_SetWorker(CellSim_Owner(w), &s->info);
    }
    else {
        GfCell_UnlistWorker(CellSim_Owner(w), &s->info.id);
    }
}

/* Sets whether a worker reports that it leaves. */
void
CellSim_SetLeaving(CellSim *w, int worker, bool leaving)
{
    SimWorker *s = &w->workers[worker];
    s->info.leaving = leaving;
    if (CellSim_Owner(w) != NULL && s->alive && !s->unlisted) {
        GfCell_SetWorker(CellSim_Owner(w), &s->info);
    }
}

/* Makes all later starts on a worker fail, or ends that. */
void
CellSim_SetFailing(CellSim *w, int worker, bool failing)
{
    w->workers[worker].failing = failing;
}

/* Sets how fast a worker runs its tasks from now on, from 0 on: not at all. */
void
CellSim_SetSpeed(CellSim *w, int worker, double speed)
{
    w->workers[worker].speed = speed;
}

/* Sets the processors of a worker, from its next incarnation on. */
void
CellSim_SetCapacity(CellSim *w, int worker, int64_t mcores)
{
    w->workers[worker].info.capacity.mcores = mcores;
}

/* Sets how long a worker says that it stays when it leaves; to be called
 * before CellSim_SetLeaving. */
void
CellSim_SetRemainingMs(CellSim *w, int worker, int64_t ms)
{
    w->workers[worker].info.remaining_ms = ms;
}

/* Counts the runs on a worker. */
int
CellSim_RunsOn(const CellSim *w, int worker)
{
    int count = 0;
    Run *r;
    DL_FOREACH(w->workers[worker].runs, r)
    {
        count++;
    }
    return count;
}

/* Makes a worker carry out later starts 2 to 12 s late and without a reply, or
 * ends that. */
void
CellSim_SetStartsDelayed(CellSim *w, int worker, bool delayed)
{
    w->workers[worker].starts_delayed = delayed;
}

/* Makes a worker carry out later holds 2 to 12 s late and without a reply, or
 * ends that. */
void
CellSim_SetHoldsDelayed(CellSim *w, int worker, bool delayed)
{
    w->workers[worker].holds_delayed = delayed;
}

/* Counts the backfill tasks that run on a worker. */
int
CellSim_BackfillOn(const CellSim *w, int worker)
{
    int count = 0;
    Run *r;
    DL_FOREACH(w->workers[worker].runs, r)
    {
        count += r->backfill;
    }
    return count;
}

/* Counts the tasks with a latency target that run on a worker. */
int
CellSim_ServingOn(const CellSim *w, int worker)
{
    int count = 0;
    Run *r;
    DL_FOREACH(w->workers[worker].runs, r)
    {
        count += r->serving;
    }
    return count;
}

/* Sets the tail latency that the tasks of a job have alone. */
void
CellSim_SetTail(CellSim *w, int job, int64_t tail_ms)
{
    w->jobs[job].spec.tail_ms = tail_ms;
}

/* Makes all pace orders be lost, or ends that. */
void
CellSim_SetPacesLost(CellSim *w, bool lost)
{
    w->paces_lost = lost;
}

/* Begins to count the times of neighbours anew. */
void
CellSim_ResetTimes(CellSim *w)
{
    w->serving_ms = 0;
    w->over_ms = 0;
    w->longest_over_ms = 0;
    w->backfill_ms = 0;
}

/* Returns the time that tasks with a tail have run. */
int64_t
CellSim_ServingMs(const CellSim *w)
{
    return w->serving_ms;
}

/* Returns the part of that time with the tail above its target. */
int64_t
CellSim_OverTargetMs(const CellSim *w)
{
    return w->over_ms;
}

/* Returns the longest time on end for which a tail was above its target and
 * would not have been without backfill tasks. */
int64_t
CellSim_LongestOverMs(const CellSim *w)
{
    return w->longest_over_ms;
}

/* Returns how long backfill tasks have run, weighted with their pace. */
int64_t
CellSim_BackfillMs(const CellSim *w)
{
    return (int64_t)w->backfill_ms;
}

/* Describes the first violated invariant, or returns NULL. The text belongs to
 * the simulation. */
const char *
CellSim_Violation(const CellSim *w)
{
    return w->violation[0] == '\0' ? NULL : w->violation;
}

/* Returns how many runs were started in all. */
int
CellSim_CountStarts(const CellSim *w)
{
    return w->start_count;
}

/* Returns how many requests for advice were sent. */
int
CellSim_CountAdvice(const CellSim *w)
{
    return w->advice_count;
}

/* Builds a configuration that the caller owns: queues quick, batch and watch
 * without advice, quick-advised and batch-advised with it; teams a and b with
 * the same weight and limit (0: no limit). */
GfCellConfig *
CellSim_MakeConfig(int64_t team_limit_mcores)
{
    static const struct {
        const char *name;
        uint32_t work_class;
        uint32_t attempts;
        double advice_ms;
    } QUEUES[] = {{"quick", 0, 3, 0},
                  {"batch", 2, 2, 0},
                  {"watch", 1, 3, 0},
                  {"quick-advised", 0, 3, 19},
                  {"batch-advised", 2, 2, 430}};
    size_t count = sizeof(QUEUES) / sizeof(QUEUES[0]);
    GfCellConfig *c = calloc(1, sizeof(*c));
    assert(c != NULL);
    c->version = 1;
    c->queues = calloc(count, sizeof(GfQueue));
    c->teams = calloc(2, sizeof(GfCellTeam));
    assert(c->queues != NULL && c->teams != NULL);
    c->queue_count = count;
    for (size_t i = 0; i < count; i++) {
        c->queues[i].name = GfName_Format("%s", QUEUES[i].name);
        c->queues[i].service = GfName_Format("service");
        c->queues[i].work_class = QUEUES[i].work_class;
        c->queues[i].max_attempts = QUEUES[i].attempts;
        c->queues[i].stretch = 1.5;
        c->queues[i].latency_target_ms = 250;
        c->queues[i].needs_advice = QUEUES[i].advice_ms > 0;
        c->queues[i].advice_ms = QUEUES[i].advice_ms;
        c->queues[i].advice_ms_per_worker = QUEUES[i].advice_ms / 70;
    }
    c->team_count = 2;
    for (int i = 0; i < 2; i++) {
        c->teams[i].name = GfName_Format("%c", 'a' + i);
        c->teams[i].weight = 1;
        c->teams[i].limit.mcores = team_limit_mcores;
    }
    return c;
}

/* Frees the simulation and its cells, but not the configuration. */
void
CellSim_Destroy(CellSim *w)
{
    for (int i = 0; i < w->owner_count; i++) {
        free_owner(&w->owners[i]);
    }
    for (int i = 0; i < w->settings.workers; i++) {
        reset_worker(&w->workers[i]);
    }
    for (int i = 0; i < w->job_count; i++) {
        json_decref(w->jobs[i].progress);
        json_decref(w->jobs[i].blocks);
        free(w->jobs[i].done);
        free(w->jobs[i].tasks);
    }
    free(w->jobs);
    json_decref(w->leased_workers);
    Message *m;
    Message *tmp;
    DL_FOREACH_SAFE(w->messages, m, tmp)
    {
        DL_DELETE(w->messages, m);
        json_decref(m->rows);
        free(m);
    }
    free(w);
}
