/* Placement of tasks on workers. Tasks with a latency target and backfill
 * tasks, which use idle processors, never share a worker, since the latter
 * slow the former by an unpredictable amount. A gang is placed as a whole or
 * not at all. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "cell_private.h"
#include "guavaflow/log.h"
#include "guavaflow/metrics.h"

/* Backfill tasks share a worker's idle processors; a second one would mostly
 * slow the first. */
#define BACKFILL_TASKS_PER_WORKER 1
/* Added to a worker's score, whose base, the free share of its processors, is
 * below 1. Each penalty outweighs the base and all penalties below it
 * together. */
#define SUSPECT_PENALTY 16
#define AVOID_PENALTY 8
#define FAILED_HERE_PENALTY 4
#define OTHER_RACK_PENALTY 2
/* For this long after a failure a task is only placed on reliable workers; the
 * objective of the quickest jobs leaves about as much time. */
#define RECENT_FAILURE_MS 800
/* A worker is taken as reliable for the last attempt of a task if a run
 * succeeded there within this time. */
#define RECENT_SUCCESS_MS 500
/* Run numbers of a term start at token * RUNS_PER_TOKEN, so that they rise
 * over takeovers without being stored. */
#define RUNS_PER_TOKEN 1000000
/* A round that takes longer is interrupted, so that heartbeats are answered in
 * time. The time is checked every STEPS_PER_TIME_CHECK steps; every round
 * begins with the first step in order. */
#define ROUND_BUDGET_MS 20
#define STEPS_PER_TIME_CHECK 8
/* Buffer for the workers in a log line on placed tasks; the rest is left
 * out. */
#define PLACED_BYTES 400
/* A step that waits at least this long until its last task is placed is
 * logged. */
#define LATE_START_MS 300
/* Shortest wait that is logged for a waiting step, and the interval of these
 * lines. */
#define WAIT_LOG_MS 1000

/* Returns whether a task may still run, from before this term, on a worker
 * that has not answered in this term. */
bool
CellPlace_IsUncertain(const GfCell *cell, const Task *task,
                      struct timespec now)
{
    if (task->uncertain_serial == 0 ||
        !GfTime_Before(now, cell->uncertain_until)) {
        return false;
    }
    /* A worker is removed only when none of its former runs can be left. */
    const Worker *w = CellWorker_Find(cell, task->uncertain_serial);
    return w != NULL && !w->contacted &&
           GfTime_Before(now, CellLeaseEnd_Inherited(cell, w));
}

/* Returns whether a failure domain is out of service. */
static bool
is_evacuated(const GfCell *cell, const GfName *domain)
{
    for (size_t i = 0; i < cell->evacuated_count; i++) {
        if (GfName_Equal(&cell->evacuated[i], domain)) {
            return true;
        }
    }
    return false;
}

/* Returns whether the worker has the label; true for an empty label. */
static bool
has_label(const Worker *w, const GfName *label)
{
    if (label->len == 0) {
        return true;
    }
    for (size_t i = 0; i < w->info.label_count; i++) {
        if (GfName_Equal(&w->info.labels[i], label)) {
            return true;
        }
    }
    return false;
}

/* Returns whether tasks of the step may be started on a worker, its current
 * load aside: the worker is listed, in contact, in the stored lease list and
 * not leaving, it has no unidentified runs, and its service, labels, size and
 * failure domain suit the step. */
bool
CellPlace_Eligible(const GfCell *cell, const Worker *w, const Step *step)
{
    const GfQueue *queue = step->job->queue_in_force;
    if (queue == NULL || !w->listed || !w->contacted || !w->in_stored_list ||
        w->closed || w->info.leaving || w->hold_failures > 0 ||
        !w->has_clock || w->unidentified_runs > 0) {
        return false;
    }
    GfResources none = {0};
    GfResources need = step->spec->need;
    if (step->spec->backfill) {
        need.mcores = 0;
    }
    return GfName_Equal(&w->info.service, &queue->service) &&
           has_label(w, &step->spec->required_label) &&
           GfResources_Fit(w->info.capacity, none, need) &&
           !is_evacuated(cell, &w->info.domain);
}

/* Returns whether one more task of the step fits beside the current runs.
 * Backfill tasks and tasks with a latency target exclude each other. */
bool
CellPlace_HasCapacity(const Worker *w, const Step *step)
{
    GfResources need = step->spec->need;
    if (step->spec->backfill) {
        need.mcores = 0;
        if (w->backfill_tasks >= BACKFILL_TASKS_PER_WORKER ||
            w->latency_tasks > 0) {
            return false;
        }
    }
    if (step->spec->latency_target_ms > 0 && w->backfill_tasks > 0) {
        return false;
    }
    return GfResources_Fit(w->info.capacity, w->used, need);
}

/* Returns the number of the step's tasks on a worker. */
uint32_t
CellPlace_CountOn(const Worker *w, const Step *step)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < step->spec->task_count; i++) {
        count += step->tasks[i].worker == w;
    }
    return count;
}

/* Returns a worker's score for a task; the lowest is best. Fuller workers are
 * preferred, so that free capacity for large tasks is not fragmented. */
static double
score(const Worker *w, const Step *step, const Task *task, struct timespec now)
{
    double s = (double)(w->info.capacity.mcores - w->used.mcores) /
               (double)(w->info.capacity.mcores + 1);
    if (CellCrash_Discourages(step->job->cell, w, task)) {
        s += SUSPECT_PENALTY;
    }
    if (GfTime_Before(now, w->avoid_until)) {
        s += AVOID_PENALTY;
    }
    if (task->avoid_serial == w->serial) {
        s += FAILED_HERE_PENALTY;
    }
    if (step->spec->preferred_rack.len > 0 &&
        !GfName_Equal(CellWorker_Rack(w), &step->spec->preferred_rack)) {
        s += OTHER_RACK_PENALTY;
    }
    return s;
}

/* Returns whether a task failed within the last RECENT_FAILURE_MS, so that
 * only reliable workers are tried next. Failures of a gang are counted on its
 * first task. */
static bool
failed_recently(const Task *task, struct timespec now)
{
    const Task *counted =
        task->step->spec->gang ? &task->step->tasks[0] : task;
    return counted->failures > 0 && !task->step->spec->long_running &&
           GfTime_DiffMs(now, counted->failed_at) <= RECENT_FAILURE_MS;
}

/* Returns whether to keep a task that failed recently off a worker: it failed
 * there, the worker's latest runs failed, or it is the last attempt and no run
 * has succeeded there lately. Without this, a task with few attempts is lost
 * when several workers begin to fail all that they start: its second attempt
 * goes to another such worker. */
static bool
is_unreliable(const Worker *w, const Task *task, struct timespec now)
{
    const Step *step = task->step;
    const Task *counted = step->spec->gang ? &step->tasks[0] : task;
    if (w->serial == task->avoid_serial ||
        w->serial == counted->avoid_serial || w->consecutive_failures > 0 ||
        GfTime_Before(now, w->avoid_until)) {
        return true;
    }
    const GfQueue *queue = step->job->queue_in_force;
    bool last = queue != NULL && counted->failures + 1 >= queue->max_attempts;
    return last && (!w->has_success || GfTime_DiffMs(now, w->last_success_at) >
                                           RECENT_SUCCESS_MS);
}

/* Returns whether a task of the step may start on a worker now. The caller
 * checks advice. */
bool
CellPlace_IsCandidate(const GfCell *cell, const Worker *w, const Step *step)
{
    return CellPlace_HasCapacity(w, step) &&
           CellPlace_Eligible(cell, w, step) &&
           (step->spec->max_per_worker == 0 ||
            CellPlace_CountOn(w, step) < step->spec->max_per_worker);
}

/* Returns the best worker for a task, or NULL if there is none. If the queue
 * needs advice, only workers with a valid ticket are considered. */
static Worker *
choose_worker(GfCell *cell, const Step *step, const Task *task,
              const GfName *rack, bool needs_advice, struct timespec now)
{
    Worker *best = NULL;
    double best_score = 0;
    bool reliable_only = failed_recently(task, now);
    size_t count =
        needs_advice ? step->allowed_count : HASH_COUNT(cell->workers);
    Worker *next = cell->workers;
    for (size_t i = 0; i < count; i++) {
        Worker *w = next;
        if (needs_advice) {
            const AllowedWorker *a = &step->allowed[i];
            w = GfTime_Before(now, a->expires)
                    ? CellWorker_Find(cell, a->serial)
                    : NULL;
        }
        else {
            next = w->hh.next;
        }
        if (w == NULL || !CellPlace_IsCandidate(cell, w, step) ||
            (rack != NULL && !GfName_Equal(CellWorker_Rack(w), rack)) ||
            CellCrash_Excludes(cell, w, task) ||
            (reliable_only && is_unreliable(w, task, now))) {
            continue;
        }
        if (w->serial == task->intended_serial) {
            return w;
        }
        double s = score(w, step, task, now);
        if (best == NULL || s < best_score) {
            best = w;
            best_score = s;
        }
    }
    return best;
}

/* Stops the backfill tasks on the first worker that would suit a task with a
 * latency target without them. Their checkpoints are kept. */
static void
stop_backfill_tasks(GfCell *cell, const Step *step, bool needs_advice,
                    struct timespec now)
{
    for (Worker *w = cell->workers; w != NULL; w = w->hh.next) {
        if (w->backfill_tasks == 0 ||
            !GfResources_Fit(w->info.capacity, w->used, step->spec->need) ||
            !CellPlace_Eligible(cell, w, step) ||
            (needs_advice &&
             CellAdvice_FindTicket(step, w->serial, now) == NULL) ||
            (step->spec->max_per_worker > 0 &&
             CellPlace_CountOn(w, step) >= step->spec->max_per_worker)) {
            continue;
        }
        Task *t;
        DL_FOREACH(w->tasks, t)
        {
            if (t->step->spec->backfill) {
                CellTask_Stop(t);
            }
        }
        CellTask_SendStops(w, now);
        return;
    }
}

/* Returns the number of the task's next run. */
static int64_t
next_run(const GfCell *cell, const Task *task)
{
    int64_t first = cell->settings.token * RUNS_PER_TOKEN;
    return (task->run > first ? task->run : first) + 1;
}

/* Sends the start order of a task that has been assigned to a worker, with the
 * lease extended. */
static void
send_start(GfCell *cell, Task *task, struct timespec now)
{
    Worker *w = task->worker;
    const AllowedWorker *allowed =
        CellAdvice_FindTicket(task->step, w->serial, now);
    GfStartOrder order = {.target = CellTask_Target(w),
                          .task = CellTask_Id(task),
                          .run = task->run,
                          .payload = &task->step->job->spec.payload,
                          .until_ms = CellWorker_ExtendLease(cell, w, now),
                          .checkpoint = task->checkpoint,
                          .ticket =
                              allowed == NULL ? NULL : allowed->ticket.data};
    order.target.token = cell->settings.token;
    cell->ops->start(cell->ctx, &order);
}

/* Places the idle tasks of a step one by one. Returns how many tasks stay
 * idle, or 0 if the team's limit was reached. */
static uint32_t
place_tasks(GfCell *cell, Step *step, bool needs_advice, struct timespec now)
{
    uint32_t left = step->idle;
    for (uint32_t i = 0; i < step->spec->task_count && left > 0; i++) {
        Task *task = &step->tasks[i];
        if (task->done || task->state != TASK_IDLE ||
            CellPlace_IsUncertain(cell, task, now) ||
            CellCrash_Awaits(cell, task, now)) {
            continue;
        }
        if (!CellShare_Allows(step, 1)) {
            return 0;
        }
        Worker *w = choose_worker(cell, step, task, NULL, needs_advice, now);
        if (w == NULL && task->failures + task->crashes > 0) {
            continue; /* other tasks may accept more workers */
        }
        if (w == NULL) {
            if (step->spec->latency_target_ms > 0) {
                stop_backfill_tasks(cell, step, needs_advice, now);
            }
            return left;
        }
        if (!CellCrash_MayStart(cell, task, w)) {
            continue;
        }
        CellTask_Assign(task, w, next_run(cell, task), TASK_STARTING);
        send_start(cell, task, now);
        left--;
    }
    return left;
}

/* Assigns all tasks of a gang to workers, within one rack unless that is NULL.
 * If one of them cannot be placed, none stays assigned and false is
 * returned. */
static bool
assign_gang(GfCell *cell, Step *step, const GfName *rack, bool needs_advice,
            struct timespec now)
{
    uint32_t count = step->spec->task_count;
    int64_t run = 0;
    for (uint32_t i = 0; i < count; i++) {
        int64_t next = next_run(cell, &step->tasks[i]);
        run = next > run ? next : run;
    }
    for (uint32_t i = 0; i < count; i++) {
        Worker *w = choose_worker(cell, step, &step->tasks[i], rack,
                                  needs_advice, now);
        if (w == NULL) {
            while (i-- > 0) {
                CellTask_Release(&step->tasks[i]);
                step->tasks[i].run = 0;
            }
            return false;
        }
        CellTask_Assign(&step->tasks[i], w, run, TASK_STARTING);
    }
    return true;
}

/* Places a gang, within one rack if it asks for that and a rack has the
 * capacity, else anywhere. Returns false if there is not enough capacity. Also
 * returns true, having placed nothing, while a former run of the gang may go
 * on. */
static bool
place_gang(GfCell *cell, Step *step, bool needs_advice, struct timespec now)
{
    if (step->idle < step->spec->task_count) {
        return true; /* the former run has not ended on all workers */
    }
    for (uint32_t i = 0; i < step->spec->task_count; i++) {
        if (CellPlace_IsUncertain(cell, &step->tasks[i], now) ||
            CellCrash_Awaits(cell, &step->tasks[i], now)) {
            return true;
        }
    }
    bool placed = false;
    if (step->spec->same_rack) {
        for (Worker *w = cell->workers; w != NULL && !placed; w = w->hh.next) {
            if (CellPlace_HasCapacity(w, step)) {
                placed = assign_gang(cell, step, CellWorker_Rack(w),
                                     needs_advice, now);
            }
        }
    }
    placed = placed || assign_gang(cell, step, NULL, needs_advice, now);
    for (uint32_t i = 0; placed && i < step->spec->task_count; i++) {
        send_start(cell, &step->tasks[i], now);
    }
    return placed;
}

/* Returns how many idle tasks of a step may still run on a worker that has not
 * answered in this term. */
static uint32_t
count_uncertain(const GfCell *cell, const Step *step, struct timespec now)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < step->spec->task_count; i++) {
        const Task *t = &step->tasks[i];
        count += !t->done && t->state == TASK_IDLE &&
                 CellPlace_IsUncertain(cell, t, now);
    }
    return count;
}

/* Returns how many idle tasks of a step would not use capacity yet: they may
 * still run unseen, or wait for crash.c. */
static uint32_t
count_held(const GfCell *cell, const Step *step, struct timespec now)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < step->spec->task_count; i++) {
        const Task *t = &step->tasks[i];
        count += !t->done && t->state == TASK_IDLE &&
                 (CellPlace_IsUncertain(cell, t, now) ||
                  CellCrash_IsHeld(cell, t, now));
    }
    return count;
}

/* Places as many tasks of a step as possible. If capacity is short, preempts
 * tasks of later classes and asks for advice on more workers. Returns why
 * tasks stay idle. */
static WaitCause
place_step(GfCell *cell, Step *step, struct timespec now, int64_t wall_ms)
{
    const GfQueue *queue = step->job->queue_in_force;
    if (queue == NULL || wall_ms < step->due_ms) {
        return WAIT_DUE;
    }
    if (step->job->uncertain && cell->in_uncertainty_period) {
        return WAIT_UNCERTAIN;
    }
    int64_t at_once = step->spec->gang ? step->spec->task_count : 1;
    if (!CellShare_Allows(step, at_once)) {
        return WAIT_LIMIT;
    }
    bool placed = step->spec->gang
                      ? place_gang(cell, step, queue->needs_advice, now)
                      : place_tasks(cell, step, queue->needs_advice, now) == 0;
    if (placed) {
        return step->idle > 0 ? WAIT_LIMIT : WAIT_NONE;
    }
    uint32_t held = count_held(cell, step, now);
    if (held == step->idle) {
        return WAIT_UNCERTAIN; /* capacity would not be used yet */
    }
    if (!step->spec->gang && !step->spec->backfill &&
        step->job->work_class + 1 < CELL_CLASSES) {
        CellPreempt_FreeCapacity(cell, step, step->idle - held,
                                 queue->needs_advice, now);
    }
    if (!queue->needs_advice) {
        return WAIT_CAPACITY;
    }
    if (CellAdvice_MayAsk(cell, step, now)) {
        CellAdvice_Ask(cell, step, now);
    }
    if (step->asking) {
        return WAIT_ADVICE;
    }
    return GfTime_Before(now, step->next_ask_at) ? WAIT_CAPACITY : WAIT_CALLER;
}

/* Logs a step whose last idle task was placed late, with the wait by cause in
 * ms. */
static void
log_late_start(const Step *step, struct timespec now)
{
    int64_t ms = GfTime_DiffMs(now, step->idle_since);
    if (ms < LATE_START_MS) {
        return;
    }
    const int32_t *w = step->waited_ms;
    GfLog(GF_LOG_INFO, CELL_PART,
          "step placed late id=%s step=%u class=%u waited_ms=%lld due=%d "
          "doubt=%d limit=%d caller=%d advice=%d room=%d",
          step->job->id.data, step->number, step->job->work_class,
          (long long)ms, w[WAIT_DUE], w[WAIT_UNCERTAIN], w[WAIT_LIMIT],
          w[WAIT_CALLER], w[WAIT_ADVICE], w[WAIT_CAPACITY]);
}

/* Logs the tasks of a step that a round has placed, with their workers. count
 * is how many; only pending starts are listed. */
static void
log_placed(const GfCell *cell, const Step *step, uint32_t count)
{
    char workers[PLACED_BYTES] = "";
    size_t len = 0;
    for (uint32_t i = 0; i < step->spec->task_count; i++) {
        const Task *t = &step->tasks[i];
        if (t->state != TASK_STARTING ||
            len + GF_NAME_MAX_BYTES + 16 > sizeof(workers)) {
            continue;
        }
        len +=
            (size_t)snprintf(workers + len, sizeof(workers) - len, "%s%u:%s",
                             len > 0 ? "," : "", i, t->worker->info.id.data);
    }
    GfLog(GF_LOG_INFO, CELL_PART,
          "step placed id=%s step=%u placed=%u idle=%u waited_ms=%lld "
          "token=%lld on=%s",
          step->job->id.data, step->number, count, step->idle,
          (long long)GfTime_DiffMs(GfClock_Now(cell->clock), step->idle_since),
          (long long)cell->settings.token, workers);
}

/* Adds the time since the step's last round to the cause of that round's wait,
 * and records the cause of the wait that follows. */
static void
record_wait(Step *step, struct timespec now, WaitCause cause)
{
    step->waited_ms[step->wait_cause] +=
        (int32_t)GfTime_DiffMs(now, step->wait_updated_at);
    step->wait_updated_at = now;
    step->wait_cause = (uint8_t)cause;
    if (cause == WAIT_NONE) {
        GfMetrics_Observe(GF_HISTOGRAM_STEP_WAIT,
                          GfTime_DiffMs(now, step->idle_since));
        log_late_start(step, now);
    }
}

/* Logs the step that has waited longest, with the likely causes, if it has
 * waited for WAIT_LOG_MS; at most once in that time. */
static void
log_longest_wait(GfCell *cell, struct timespec now)
{
    if (GfTime_DiffMs(now, cell->wait_logged_at) < WAIT_LOG_MS) {
        return;
    }
    const Step *longest = NULL;
    Step *step;
    DL_FOREACH(cell->waiting, step)
    {
        if (longest == NULL ||
            GfTime_Before(step->idle_since, longest->idle_since)) {
            longest = step;
        }
    }
    if (longest == NULL ||
        GfTime_DiffMs(now, longest->idle_since) < WAIT_LOG_MS) {
        return;
    }
    cell->wait_logged_at = now;
    int eligible = 0;
    int with_capacity = 0;
    int tickets = 0;
    for (const Worker *w = cell->workers; w != NULL; w = w->hh.next) {
        bool ok = CellPlace_Eligible(cell, w, longest);
        eligible += ok;
        with_capacity += ok && CellPlace_HasCapacity(w, longest);
        tickets += CellAdvice_FindTicket(longest, w->serial, now) != NULL;
    }
    GfLog(GF_LOG_INFO, CELL_PART,
          "step waits id=%s step=%u idle=%u since_ms=%lld eligible=%d "
          "with_room=%d tickets=%d allowed=%zu denied=%zu asking=%d "
          "lasting=%d in_limit=%d in_doubt=%d unseen=%u",
          longest->job->id.data, longest->number, longest->idle,
          (long long)GfTime_DiffMs(now, longest->idle_since), eligible,
          with_capacity, tickets, longest->allowed_count,
          longest->denied_count, longest->asking, longest->spec->long_running,
          CellShare_Allows(longest, 1),
          longest->job->uncertain && cell->in_uncertainty_period,
          count_uncertain(cell, longest, now));
}

/* Runs a placement round: places the tasks of the waiting steps in order,
 * within ROUND_BUDGET_MS. Nothing is done before a configuration is set and
 * placement is started, and while leases may not be granted or the worker
 * table is out of date. */
void
CellPlace_Round(GfCell *cell, struct timespec now)
{
    if (cell->config == NULL || !cell->placement_started ||
        !cell->may_grant_leases || !cell->workers_current) {
        return;
    }
    cell->dirty = false;
    cell->round_at = now;
    int64_t wall_ms = GfTime_WallMs();
    CellShare_Update(cell, now);
    size_t count = CellOrder_Sort(cell, now);
    for (size_t i = 0; i < count; i++) {
        Step *step = cell->order[i];
        uint32_t idle = step->idle;
        WaitCause cause = place_step(cell, step, now, wall_ms);
        if (step->idle < idle) {
            step->unused_answers = 0;
            log_placed(cell, step, idle - step->idle);
        }
        record_wait(step, now, cause);
        if (i % STEPS_PER_TIME_CHECK == 0 &&
            GfTime_DiffMs(GfClock_Now(cell->clock), now) > ROUND_BUDGET_MS) {
            cell->dirty = true;
            break;
        }
    }
    log_longest_wait(cell, now);
}
