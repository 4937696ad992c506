#include "cell_world.h"

#include <assert.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#define MAX_JOBS 4096
#define MAX_WORKERS 512
#define ORDER_TIMEOUT_MS 220
#define STOP_MS 100
#define TICKET_MS 2000
#define DOUBT_MS 8200
#define PROOF_MS 1800
#define PROOF_AGE_MS 1500
#define HEAR_MS 350
#define LEASE_MS 6000
#define LATE_MIN_MS 2000
#define LATE_SPAN_MS 10000
#define START_WALL_MS 1700000000000

typedef struct Run {
    GfTaskId task;
    int64_t run;
    int64_t ends_at;
    bool fails;
    bool stopping;
    GfAmounts need;
    bool filler;
    bool serving;
    struct Run *next;
    struct Run *prev;
} Run;

typedef struct End {
    int64_t number;
    GfTaskId task;
    int64_t run;
    GfEndKind how;
    struct End *next;
    struct End *prev;
} End;

typedef struct Stopped {
    GfTaskId task;
    int64_t run;
    struct Stopped *next;
} Stopped;

typedef struct {
    GfWorkerInfo info;
    Run *runs;
    End *ends;
    Stopped *stopped;
    int64_t next_end;
    int64_t fence;
    int64_t until;
    bool alive;
    bool failing;
    bool hanging;
    bool cut[WORLD_OWNERS];
    bool cut_all;
    bool unlisted;
} SimWorker;

typedef enum { START, STOP, HOLD, ADVISE, COMMIT, LOOK_UP } Kind;

/* An order on its way, or the answer to it. */
typedef struct Message {
    Kind kind;
    int owner;
    int64_t due;
    bool is_answer;
    bool unanswered;
    int worker;
    uint32_t serial;
    int64_t token;
    int64_t lifetime;
    GfTaskId task;
    int64_t run;
    int64_t until;
    int64_t acked;
    int64_t wait_until;
    struct timespec sent_at;
    GfOrderResult result;
    json_t *rows; /* of a commit, and its leased list under "" */
    GfName caller;
    GfName named[128];
    size_t named_count;
    struct Message *next;
    struct Message *prev;
} Message;

typedef struct {
    GfName id;
    WorldJob job;
    int64_t submitted_at;
    int64_t finished_at;
    GfJobState stored;
    json_t *progress;
    int starts;
    bool hidden;
    bool *done; /* by step and index */
} SimJob;

typedef struct {
    World *world;
    int index;
    GfCell *cell;
    int64_t token;
    int64_t began_at;
    int64_t followed_at; /* when another owner took over; 0: none has */
} Owner;

struct World {
    WorldSettings settings;
    const GfCellConfig *config;
    GfManualClock clock;
    uint64_t random;
    SimWorker workers[MAX_WORKERS];
    SimJob *jobs;
    int job_count;
    Owner owners[WORLD_OWNERS];
    int owner_count;
    int current;
    int64_t token;
    json_t *leased;
    bool store_up;
    Message *messages;
    int starts;
    int advice;
    char breach[256];
};

/* Returns a number from 0 to 1 that depends on the seed alone. */
static double
chance(World *w)
{
    w->random = w->random * 6364136223846793005ULL + 1442695040888963407ULL;
    return (double)(w->random >> 40U) / (double)(1U << 24U);
}

/* Notes the first breach. */
static void
breach(World *w, const char *format, ...)
{
    if (w->breach[0] != '\0') {
        return;
    }
    va_list args;
    va_start(args, format);
    vsnprintf(w->breach, sizeof(w->breach), format, args);
    va_end(args);
}

int64_t
World_NowMs(const World *w)
{
    return GfTime_Ms(w->clock.time);
}

/* Finds a job by its id. */
static SimJob *
find_job(World *w, const GfName *id)
{
    long number = strtol(id->data, NULL, 16);
    return number >= 0 && number < w->job_count ? &w->jobs[number] : NULL;
}

/* Returns the place of a task in its job's list. */
static size_t
task_at(const SimJob *job, const GfTaskId *task)
{
    return task->step * job->job.step.task_count + task->index;
}

static Message *
send(World *w, Kind kind, int owner)
{
    Message *m = calloc(1, sizeof(*m));
    assert(m != NULL);
    m->kind = kind;
    m->owner = owner;
    m->due = World_NowMs(w) + w->settings.latency_ms;
    m->sent_at = w->clock.time;
    DL_APPEND(w->messages, m);
    return m;
}

/* Sends an order to a worker, which may be lost or late. */
static Message *
send_order(World *w, Kind kind, int owner, const GfOrderTarget *target)
{
    Message *m = send(w, kind, owner);
    m->serial = target->serial;
    m->token = target->token;
    m->lifetime = target->worker->lifetime;
    m->worker = (int)strtol(target->worker->id.data + 1, NULL, 10);
    const SimWorker *s = &w->workers[m->worker];
    double luck = chance(w);
    if (s->cut_all || s->cut[owner] || !s->alive ||
        luck < w->settings.lose_order) {
        m->is_answer = true;
        m->result = GF_ORDER_UNKNOWN;
        m->due += ORDER_TIMEOUT_MS;
    }
    else if (luck < w->settings.lose_order + w->settings.late_order ||
             (kind == START && s->hanging)) {
        m->unanswered = true;
        m->due += LATE_MIN_MS + (int64_t)(chance(w) * LATE_SPAN_MS);
        Message *answer = send(w, kind, owner);
        answer->serial = m->serial;
        answer->worker = m->worker;
        answer->is_answer = true;
        answer->result = GF_ORDER_UNKNOWN;
        answer->due += ORDER_TIMEOUT_MS;
        answer->sent_at = m->sent_at;
        return m;
    }
    return m;
}

/* Copies what identifies the run from an order to the messages just made. */
static void
name_run(World *w, Message *m, const GfTaskId *task, int64_t run)
{
    m->task = *task;
    m->run = run;
    Message *last = w->messages->prev;
    last->task = *task;
    last->run = run;
}

static void
op_start(void *ctx, const GfStartOrder *order)
{
    Owner *o = ctx;
    Message *m = send_order(o->world, START, o->index, &order->target);
    name_run(o->world, m, &order->task, order->run);
    m->until = order->until_ms;
}

static void
op_stop(void *ctx, const GfStopOrder *order)
{
    Owner *o = ctx;
    Message *m = send_order(o->world, STOP, o->index, &order->target);
    name_run(o->world, m, &order->task, order->run);
}

static void
op_hold(void *ctx, const GfHoldOrder *order)
{
    Owner *o = ctx;
    Message *m = send_order(o->world, HOLD, o->index, &order->target);
    m->until = order->until_ms;
    m->acked = order->acked;
    m->wait_until = m->due + order->wait_ms;
    m->sent_at = order->sent_at;
    o->world->messages->prev->sent_at = order->sent_at;
}

static void
op_advise(void *ctx, const GfAdviceOrder *order)
{
    Owner *o = ctx;
    World *w = o->world;
    w->advice++;
    Message *m = send(w, ADVISE, o->index);
    m->task.job = order->job;
    m->task.occurrence = order->occurrence;
    m->task.step = order->step;
    m->caller = order->caller;
    m->named_count = order->worker_count;
    memcpy(m->named, order->workers, order->worker_count * sizeof(GfName));
    const SimJob *job = find_job(w, &order->job);
    GfName queue;
    GfName_SetText(&queue, job->job.queue);
    const GfQueue *q = GfCellConfig_FindQueue(w->config, &queue);
    m->due += (int64_t)(q->advice_ms +
                        q->advice_ms_per_worker * (double)order->worker_count);
}

static void
op_commit(void *ctx, const GfCellCommit *commit)
{
    Owner *o = ctx;
    Message *m = send(o->world, COMMIT, o->index);
    m->token = o->token;
    m->rows = json_object();
    for (size_t i = 0; i < commit->count; i++) {
        json_object_set_new(m->rows, commit->jobs[i].data,
                            json_deep_copy(commit->rows[i]));
    }
    if (commit->leased != NULL) {
        json_object_set_new(m->rows, "", json_deep_copy(commit->leased));
    }
}

static void
op_look_up(void *ctx, const GfName *job)
{
    Owner *o = ctx;
    Message *m = send(o->world, LOOK_UP, o->index);
    m->task.job = *job;
}

static void
op_fenced(void *ctx, const GfName *worker)
{
    (void)worker;
    Owner *o = ctx;
    o->token = 0; /* freed after the step */
}

static const GfCellOps OPS = {.start = op_start,
                              .stop = op_stop,
                              .hold = op_hold,
                              .advise = op_advise,
                              .commit = op_commit,
                              .look_up = op_look_up,
                              .fenced = op_fenced};

/* Ends a run and lists the end. */
static void
end_run(World *w, SimWorker *s, Run *run, GfEndKind how)
{
    (void)w;
    End *end = calloc(1, sizeof(*end));
    assert(end != NULL);
    end->number = ++s->next_end;
    end->task = run->task;
    end->run = run->run;
    end->how = how;
    DL_APPEND(s->ends, end);
    DL_DELETE(s->runs, run);
    free(run);
}

/* Tells whether two names are of one task. */
static bool
same_task(const GfTaskId *a, const GfTaskId *b)
{
    return GfName_Equal(&a->job, &b->job) && a->step == b->step &&
           a->index == b->index && a->occurrence == b->occurrence;
}

/* Checks what must hold after a start. */
static void
check_start(World *w, SimWorker *s, const Run *run, const SimJob *job)
{
    GfAmounts used = {0};
    Run *r;
    DL_FOREACH(s->runs, r)
    {
        GfAmounts need = r->need;
        need.mcores = r->filler ? 0 : need.mcores;
        used = GfAmounts_Plus(used, need);
    }
    if (used.mcores > s->info.room.mcores ||
        used.memory_mb > s->info.room.memory_mb) {
        breach(w, "a worker is over its room at %lld",
               (long long)World_NowMs(w));
    }
    GfAmounts team = {0};
    for (int i = 0; i < w->settings.workers; i++) {
        DL_FOREACH(w->workers[i].runs, r)
        {
            const SimJob *other = find_job(w, &r->task.job);
            if (strcmp(other->job.team, job->job.team) == 0) {
                team = GfAmounts_Plus(team, r->need);
            }
            if (r != run && w->workers[i].alive &&
                same_task(&r->task, &run->task)) {
                breach(w, "a task runs twice at %lld: %s step %u task %u",
                       (long long)World_NowMs(w), run->task.job.data,
                       run->task.step, run->task.index);
            }
        }
    }
    GfName name;
    GfName_SetText(&name, job->job.team);
    const GfCellTeam *t = GfCellConfig_FindTeam(w->config, &name);
    if (t != NULL && t->limit.mcores > 0 && team.mcores > t->limit.mcores) {
        breach(w, "a team is over its limit at %lld",
               (long long)World_NowMs(w));
    }
    if (job->done[task_at(job, &run->task)] && !job->job.step.lasting) {
        breach(w, "a task starts after it was done at %lld: %s %u",
               (long long)World_NowMs(w), run->task.job.data, run->task.index);
    }
}

/* Carries out a start. */
static GfOrderResult
do_start(World *w, SimWorker *s, const Message *m)
{
    Run *r;
    DL_FOREACH(s->runs, r)
    {
        if (same_task(&r->task, &m->task)) {
            return r->run == m->run ? GF_ORDER_DONE : GF_ORDER_SUPERSEDED;
        }
    }
    Stopped *stop;
    LL_FOREACH(s->stopped, stop)
    {
        if (same_task(&stop->task, &m->task) && m->run <= stop->run) {
            return GF_ORDER_SUPERSEDED;
        }
    }
    int64_t now = World_NowMs(w);
    if (m->until <= now) {
        return GF_ORDER_LATE;
    }
    s->until = m->until > s->until ? m->until : s->until;
    SimJob *job = find_job(w, &m->task.job);
    Run *run = calloc(1, sizeof(*run));
    assert(run != NULL);
    run->task = m->task;
    run->run = m->run;
    run->need = job->job.step.need;
    run->filler = job->job.step.filler;
    run->serving = job->job.step.latency_target_ms > 0;
    run->fails = s->failing || chance(w) < w->settings.fail_run;
    run->ends_at =
        now + (run->fails ? job->job.run_ms / 3 + 1 : job->job.run_ms);
    if (job->job.step.lasting) {
        run->ends_at = INT64_MAX;
    }
    DL_APPEND(s->runs, run);
    job->starts++;
    w->starts++;
    check_start(w, s, run, job);
    return GF_ORDER_DONE;
}

/* Carries out a stop. */
static GfOrderResult
do_stop(World *w, SimWorker *s, const Message *m)
{
    Stopped *stop = calloc(1, sizeof(*stop));
    assert(stop != NULL);
    stop->task = m->task;
    stop->run = m->run;
    LL_PREPEND(s->stopped, stop);
    Run *r;
    DL_FOREACH(s->runs, r)
    {
        if (same_task(&r->task, &m->task) && r->run <= m->run &&
            !r->stopping) {
            r->stopping = true;
            int64_t by = World_NowMs(w) + STOP_MS;
            r->ends_at = by < r->ends_at ? by : r->ends_at;
        }
    }
    return GF_ORDER_DONE;
}

/* Forgets acknowledged ends; each must be stored by then. */
static void
forget_ends(World *w, SimWorker *s, int64_t acked)
{
    End *e;
    End *tmp;
    DL_FOREACH_SAFE(s->ends, e, tmp)
    {
        if (e->number > acked) {
            continue;
        }
        SimJob *job = find_job(w, &e->task.job);
        if (e->how == GF_END_DONE) {
            job->done[task_at(job, &e->task)] = true;
            if (job->progress == NULL) {
                breach(w, "an end was forgotten before it was stored at %lld",
                       (long long)World_NowMs(w));
            }
        }
        DL_DELETE(s->ends, e);
        free(e);
    }
}

/* Answers a hold with both lists. */
static void
answer_hold(World *w, SimWorker *s, Message *m)
{
    GfRunRow runs[512];
    GfEndRow ends[512];
    GfInventory inventory = {.lifetime = s->info.lifetime,
                             .clock_ms = World_NowMs(w),
                             .runs = runs,
                             .ends = ends};
    Run *r;
    DL_FOREACH(s->runs, r)
    {
        runs[inventory.run_count++] = (GfRunRow){
            .task = r->task, .run = r->run, .checkpoint = "", .percent = 100};
    }
    End *e;
    DL_FOREACH(s->ends, e)
    {
        if (inventory.end_count < 512) {
            ends[inventory.end_count++] = (GfEndRow){.number = e->number,
                                                     .task = e->task,
                                                     .run = e->run,
                                                     .how = e->how,
                                                     .checkpoint = ""};
        }
    }
    Owner *o = &w->owners[m->owner];
    if (o->cell != NULL && o->token != 0) {
        GfCell_HoldDone(o->cell, m->serial, m->sent_at, GF_ORDER_DONE,
                        &inventory);
    }
}

/* Delivers the outcome of an order to its owner. */
static void
deliver_answer(World *w, const Message *m)
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
    else if (m->kind == HOLD) {
        GfCell_HoldDone(o->cell, m->serial, m->sent_at, m->result, NULL);
    }
}

/* Turns an order that was carried out into its answer, or drops it. Returns
 * true if the message stays. */
static bool
answer(World *w, Message *m, GfOrderResult result)
{
    if (m->unanswered) {
        return false;
    }
    m->is_answer = true;
    m->result = result;
    m->due = World_NowMs(w) + w->settings.latency_ms;
    const SimWorker *s = &w->workers[m->worker];
    if (s->cut_all || s->cut[m->owner] ||
        chance(w) < w->settings.lose_answer) {
        m->result = GF_ORDER_UNKNOWN;
        m->due += ORDER_TIMEOUT_MS;
    }
    return true;
}

/* Carries out an order at a worker. Returns true if the message stays. */
static bool
arrive(World *w, Message *m)
{
    SimWorker *s = &w->workers[m->worker];
    if (!s->alive || s->cut_all || s->cut[m->owner]) {
        return answer(w, m, GF_ORDER_UNKNOWN);
    }
    if (m->lifetime != s->info.lifetime) {
        return answer(w, m, GF_ORDER_OTHER_LIFE);
    }
    if (m->token < s->fence && !w->settings.without_fence) {
        return answer(w, m, GF_ORDER_FENCED);
    }
    s->fence = m->token;
    if (m->kind == START) {
        return answer(w, m, do_start(w, s, m));
    }
    if (m->kind == STOP) {
        return answer(w, m, do_stop(w, s, m));
    }
    if (m->until > s->until) {
        s->until = m->until;
    }
    forget_ends(w, s, m->acked);
    if (s->ends == NULL && World_NowMs(w) < m->wait_until && !m->unanswered) {
        return true; /* waits for an end */
    }
    if (m->unanswered) {
        return false;
    }
    if (chance(w) < w->settings.lose_answer) {
        return answer(w, m, GF_ORDER_UNKNOWN);
    }
    answer_hold(w, s, m);
    return false;
}

/* Applies a commit if its owner still is the owner. */
static void
apply_commit(World *w, const Message *m)
{
    Owner *o = &w->owners[m->owner];
    bool holds = m->token == w->token || w->settings.without_condition;
    if (!w->store_up) {
        if (o->cell != NULL && o->token != 0) {
            GfCell_CommitDone(o->cell, w->settings.without_storing);
        }
        return;
    }
    if (!holds) {
        o->token = 0;
        return;
    }
    const char *id;
    json_t *row;
    json_object_foreach(m->rows, id, row)
    {
        if (id[0] == '\0') {
            json_decref(w->leased);
            w->leased = json_incref(row);
            continue;
        }
        GfName name;
        GfName_SetText(&name, id);
        SimJob *job = find_job(w, &name);
        json_decref(job->progress);
        job->progress = json_incref(row);
        const char *state = json_string_value(json_object_get(row, "state"));
        for (int i = 0; i < GF_JOB_STATES; i++) {
            if (strcmp(GfJobState_Name((GfJobState)i), state) == 0) {
                job->stored = (GfJobState)i;
            }
        }
        if (job->finished_at == 0 && job->stored != GF_JOB_QUEUED &&
            job->stored != GF_JOB_STARTED) {
            job->finished_at = World_NowMs(w);
        }
    }
    if (o->cell != NULL && o->token != 0) {
        GfCell_CommitDone(o->cell, true);
    }
}

/* Makes a job's spec. */
static GfJobSpec
make_spec(const SimJob *job)
{
    GfJobSpec spec = {.step_count = (size_t)job->job.steps,
                      .occurrences = 1,
                      .payload = GfStr_Copy("x", 1)};
    spec.steps = calloc(spec.step_count, sizeof(GfStepSpec));
    assert(spec.steps != NULL);
    for (size_t i = 0; i < spec.step_count; i++) {
        spec.steps[i] = job->job.step;
        spec.steps[i].estimate_ms = job->job.run_ms;
        if (i > 0) {
            spec.steps[i].prerequisites = malloc(sizeof(uint32_t));
            assert(spec.steps[i].prerequisites != NULL);
            spec.steps[i].prerequisites[0] = (uint32_t)i - 1;
            spec.steps[i].prerequisite_count = 1;
        }
    }
    return spec;
}

/* Hands a job to an owner. */
static void
give_job(World *w, Owner *o, SimJob *job, bool former)
{
    GfName team;
    GfName queue;
    GfName_SetText(&team, job->job.team);
    GfName_SetText(&queue, job->job.queue);
    const char *state =
        json_string_value(json_object_get(job->progress, "state"));
    if (former && state != NULL &&
        GfCell_AddFinished(o->cell, &job->id, state)) {
        return;
    }
    GfJobSpec spec = make_spec(job);
    GfCell_AddJob(o->cell, &job->id, &team, &queue,
                  World_NowMs(w) - job->submitted_at, &spec,
                  former ? job->progress : NULL, former);
}

/* Answers a question for advice: two workers of three may run a step. */
static void
answer_advice(World *w, const Message *m)
{
    Owner *o = &w->owners[m->owner];
    if (o->cell == NULL || o->token == 0) {
        return;
    }
    GfTicket tickets[128];
    size_t count = 0;
    for (size_t i = 0; i < m->named_count; i++) {
        long number = strtol(m->named[i].data + 1, NULL, 10);
        if ((number + (long)m->task.step) % 3 != 0) {
            tickets[count].worker = m->named[i];
            tickets[count++].ticket = GfName_Format("t");
        }
    }
    GfCell_AdviceDone(o->cell, &m->caller, &m->task.job, m->task.occurrence,
                      m->task.step, true, tickets, count, TICKET_MS);
}

/* Handles a message that is due. Returns true if it stays. */
static bool
handle(World *w, Message *m)
{
    Owner *o = &w->owners[m->owner];
    switch (m->kind) {
    case ADVISE:
        answer_advice(w, m);
        return false;
    case COMMIT:
        apply_commit(w, m);
        return false;
    case LOOK_UP:
        if (o->cell != NULL && o->token != 0) {
            SimJob *job = find_job(w, &m->task.job);
            if (job == NULL) {
                GfCell_JobAbsent(o->cell, &m->task.job);
            }
            else {
                give_job(w, o, job, true);
            }
        }
        return false;
    default:
        break;
    }
    if (m->is_answer) {
        deliver_answer(w, m);
        return false;
    }
    return arrive(w, m);
}

/* Ends the runs that are due or whose lease has run out. */
static void
step_worker(World *w, SimWorker *s)
{
    int64_t now = World_NowMs(w);
    Run *r;
    Run *tmp;
    DL_FOREACH_SAFE(s->runs, r, tmp)
    {
        if (s->until <= now) {
            end_run(w, s, r, GF_END_LAPSED);
        }
        else if (r->ends_at <= now) {
            GfEndKind how = r->stopping ? GF_END_STOPPED
                            : r->fails  ? GF_END_FAILED
                                        : GF_END_DONE;
            end_run(w, s, r, how);
        }
    }
}

/* Frees the cell of an owner that was told that it is none any more. */
static void
free_owner(Owner *o)
{
    GfCell_Destroy(o->cell);
    o->cell = NULL;
}

/* Moves the world on. */
void
World_Run(World *w, int64_t ms)
{
    for (int64_t t = 0; t < ms; t += WORLD_STEP_MS) {
        GfManualClock_Advance(&w->clock, WORLD_STEP_MS);
        for (int i = 0; i < w->settings.workers; i++) {
            if (w->workers[i].alive) {
                step_worker(w, &w->workers[i]);
            }
        }
        Message *m;
        Message *tmp;
        Message *due = NULL;
        DL_FOREACH_SAFE(w->messages, m, tmp)
        {
            if (m->due <= World_NowMs(w)) {
                DL_DELETE(w->messages, m);
                DL_APPEND(due, m);
            }
        }
        DL_FOREACH_SAFE(due, m, tmp)
        {
            DL_DELETE(due, m);
            if (handle(w, m)) {
                DL_APPEND(w->messages, m);
            }
            else {
                json_decref(m->rows);
                free(m);
            }
        }
        for (int i = 0; i < w->owner_count; i++) {
            Owner *o = &w->owners[i];
            if (o->cell != NULL && o->followed_at > 0) {
                /* Its ownership is not proved any more after this. */
                GfCell_SetMayExtend(
                    o->cell, World_NowMs(w) < o->followed_at + PROOF_AGE_MS);
            }
            if (o->cell != NULL && !GfCell_IsReady(o->cell) &&
                (GfCell_AllHeard(o->cell) ||
                 World_NowMs(w) > o->began_at + HEAR_MS)) {
                GfCell_Begin(o->cell);
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

/* Makes a world with no owner yet. */
World *
World_Create(const WorldSettings *settings, const GfCellConfig *config)
{
    assert(settings->workers <= MAX_WORKERS);
    World *w = calloc(1, sizeof(*w));
    assert(w != NULL);
    w->settings = *settings;
    w->config = config;
    w->random = settings->seed * 2654435761U + 1;
    w->store_up = true;
    w->current = -1;
    w->jobs = calloc(MAX_JOBS, sizeof(SimJob));
    assert(w->jobs != NULL);
    GfManualClock_Init(&w->clock, 1000000);
    for (int i = 0; i < settings->workers; i++) {
        SimWorker *s = &w->workers[i];
        s->alive = true;
        s->info =
            (GfWorkerInfo){.id = GfName_Format("w%d", i),
                           .lifetime = 1,
                           .service = GfName_Format("service"),
                           .domain = GfName_Format("d%d", i % 3),
                           .room = {settings->mcores, settings->memory_mb, 0},
                           .label_count = 2};
        s->info.labels[0] = GfName_Format("%c", i % 3 == 2 ? 'b' : 'a');
        s->info.labels[1] = GfName_Format(
            "r%d", i / (settings->rack_size > 0 ? settings->rack_size : 6));
    }
    return w;
}

/* Tells whether another owner can be made, and the store would let it. */
bool
World_CanTakeOver(const World *w)
{
    return w->owner_count < WORLD_OWNERS && w->store_up;
}

/* Lets another owner take the cell. */
GfCell *
World_TakeOver(World *w)
{
    assert(w->owner_count < WORLD_OWNERS);
    Owner *o = &w->owners[w->owner_count];
    o->world = w;
    o->index = w->owner_count;
    w->token += 10;
    o->token = w->token;
    GfCellSettings settings = {
        .token = o->token,
        .lease_ms = LEASE_MS,
        .proof_ms = w->settings.without_doubt ? 0 : PROOF_MS,
        .doubt_ms = w->settings.without_doubt ? 0 : DOUBT_MS,
        .clock_drift_percent = 3,
        .first_serial = (uint32_t)(o->index + 1) * 10000U};
    o->cell = GfCell_Create(&OPS, o, &settings, &w->clock.clock);
    if (w->current >= 0) {
        w->owners[w->current].followed_at = World_NowMs(w);
    }
    w->current = w->owner_count++;
    GfCell_SetConfig(o->cell, w->config);
    GfName callers[64];
    for (int i = 0; i < w->settings.callers; i++) {
        callers[i] = GfName_Format("c%d", i);
    }
    GfCell_SetCallers(o->cell, callers, (size_t)w->settings.callers);
    size_t i;
    json_t *entry;
    json_array_foreach(w->leased, i, entry)
    {
        const char *id = json_string_value(json_array_get(entry, 0));
        long number = strtol(id + 1, NULL, 10);
        GfWorkerInfo info = w->workers[number].info;
        info.lifetime = json_integer_value(json_array_get(entry, 1));
        info.room = (GfAmounts){0}; /* only the table of workers has it */
        const json_t *tasks = json_array_get(entry, 4);
        if (tasks == NULL) {
            GfCell_AddLeasedWorker(o->cell, &info);
            continue;
        }
        GfTaskId named[256];
        size_t count = json_array_size(tasks);
        assert(count <= 256);
        for (size_t t = 0; t < count; t++) {
            const json_t *task = json_array_get(tasks, t);
            named[t] = (GfTaskId){
                .occurrence =
                    (uint32_t)json_integer_value(json_array_get(task, 1)),
                .step = (uint32_t)json_integer_value(json_array_get(task, 2)),
                .index =
                    (uint32_t)json_integer_value(json_array_get(task, 3))};
            GfName_SetText(&named[t].job,
                           json_string_value(json_array_get(task, 0)));
        }
        GfCell_AddSilentWorker(o->cell, &info, named, count);
    }
    for (int k = 0; k < w->settings.workers; k++) {
        if (w->workers[k].alive && !w->workers[k].unlisted) {
            GfCell_SetWorker(o->cell, &w->workers[k].info);
        }
    }
    for (int k = 0; k < w->job_count; k++) {
        if (!w->jobs[k].hidden) {
            give_job(w, o, &w->jobs[k], true);
        }
    }
    o->began_at = World_NowMs(w);
    return o->cell;
}

/* Ends an owner without a word. */
void
World_Kill(World *w, GfCell *cell)
{
    for (int i = 0; i < w->owner_count; i++) {
        if (w->owners[i].cell == cell) {
            w->owners[i].token = 0;
            free_owner(&w->owners[i]);
        }
    }
}

GfCell *
World_Owner(const World *w)
{
    return w->current < 0 ? NULL : w->owners[w->current].cell;
}

void
World_SetStoreUp(World *w, bool up)
{
    w->store_up = up;
}

/* Hands a job in; every owner that runs learns of it. */
int
World_Submit(World *w, const WorldJob *job)
{
    assert(w->job_count < MAX_JOBS);
    int number = w->job_count++;
    SimJob *j = &w->jobs[number];
    j->id = GfName_Format("%016x", (unsigned)number);
    j->job = *job;
    j->job.steps = job->steps > 0 ? job->steps : 1;
    j->submitted_at = World_NowMs(w);
    j->done =
        calloc((size_t)j->job.steps * job->step.task_count, sizeof(bool));
    assert(j->done != NULL);
    for (int i = 0; i < w->owner_count; i++) {
        if (w->owners[i].cell != NULL) {
            give_job(w, &w->owners[i], j, false);
        }
    }
    return number;
}

int
World_SubmitHidden(World *w, const WorldJob *job)
{
    int number = World_Submit(w, job);
    w->jobs[number].hidden = true;
    return number;
}

void
World_Reveal(World *w, int job)
{
    w->jobs[job].hidden = false;
    give_job(w, &w->owners[w->current], &w->jobs[job], false);
}

static void
ignore(void *arg, GfErrorKind kind)
{
    (void)arg;
    (void)kind;
}

void
World_Cancel(World *w, int job)
{
    GfCell_CancelJob(World_Owner(w), &w->jobs[job].id, ignore, NULL);
}

GfJobState
World_State(const World *w, int job)
{
    return w->jobs[job].stored;
}

/* Returns how long after it was handed in a job's end was stored, or -1. */
int64_t
World_FinishedAfterMs(const World *w, int job)
{
    const SimJob *j = &w->jobs[job];
    return j->finished_at == 0 ? -1 : j->finished_at - j->submitted_at;
}

int
World_Starts(const World *w, int job)
{
    return w->jobs[job].starts;
}

/* Counts the runs of a job. */
int
World_RunningOf(const World *w, int job)
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

/* Drops all that a worker runs and knows. */
static void
forget_all(SimWorker *s)
{
    Run *r;
    Run *rtmp;
    DL_FOREACH_SAFE(s->runs, r, rtmp)
    {
        DL_DELETE(s->runs, r);
        free(r);
    }
    End *e;
    End *etmp;
    DL_FOREACH_SAFE(s->ends, e, etmp)
    {
        DL_DELETE(s->ends, e);
        free(e);
    }
    Stopped *st;
    Stopped *stmp;
    LL_FOREACH_SAFE(s->stopped, st, stmp)
    {
        free(st);
    }
    s->stopped = NULL;
    s->next_end = 0;
    s->fence = 0;
    s->until = 0;
}

void
World_Crash(World *w, int worker)
{
    w->workers[worker].alive = false;
    forget_all(&w->workers[worker]);
}

/* Starts a worker anew under its id; the owner reads its row. */
void
World_Restart(World *w, int worker)
{
    SimWorker *s = &w->workers[worker];
    forget_all(s);
    s->alive = true;
    s->info.lifetime++;
    if (World_Owner(w) != NULL) {
        GfCell_SetWorker(World_Owner(w), &s->info);
    }
}

void
World_Cut(World *w, int worker, bool cut)
{
    w->workers[worker].cut_all = cut;
}

void
World_CutFrom(World *w, int worker, const GfCell *cell, bool cut)
{
    for (int i = 0; i < w->owner_count; i++) {
        if (w->owners[i].cell == cell) {
            w->workers[worker].cut[i] = cut;
        }
    }
}

/* Takes a worker out of the platform's table, or puts it back. */
void
World_SetListed(World *w, int worker, bool listed)
{
    SimWorker *s = &w->workers[worker];
    s->unlisted = !listed;
    if (World_Owner(w) == NULL) {
        return;
    }
    if (listed) {
        GfCell_SetWorker(World_Owner(w), &s->info);
    }
    else {
        GfCell_UnlistWorker(World_Owner(w), &s->info.id);
    }
}

void
World_SetFailing(World *w, int worker, bool failing)
{
    w->workers[worker].failing = failing;
}

void
World_SetHangingStarts(World *w, int worker, bool hanging)
{
    w->workers[worker].hanging = hanging;
}

int
World_FillersOn(const World *w, int worker)
{
    int count = 0;
    Run *r;
    DL_FOREACH(w->workers[worker].runs, r)
    {
        count += r->filler;
    }
    return count;
}

int
World_ServingOn(const World *w, int worker)
{
    int count = 0;
    Run *r;
    DL_FOREACH(w->workers[worker].runs, r)
    {
        count += r->serving;
    }
    return count;
}

const char *
World_Breach(const World *w)
{
    return w->breach[0] == '\0' ? NULL : w->breach;
}

int
World_CountStarts(const World *w)
{
    return w->starts;
}

int
World_CountAdvice(const World *w)
{
    return w->advice;
}

/* Builds a configuration: queues quick, batch and watch without advice, and
 * quick-advised and batch-advised; teams a and b. */
GfCellConfig *
World_MakeConfig(int64_t team_limit_mcores)
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

/* Frees the world; the configuration stays the caller's. */
void
World_Destroy(World *w)
{
    for (int i = 0; i < w->owner_count; i++) {
        free_owner(&w->owners[i]);
    }
    for (int i = 0; i < w->settings.workers; i++) {
        forget_all(&w->workers[i]);
    }
    for (int i = 0; i < w->job_count; i++) {
        json_decref(w->jobs[i].progress);
        free(w->jobs[i].done);
    }
    free(w->jobs);
    json_decref(w->leased);
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
