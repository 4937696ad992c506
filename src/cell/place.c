/* Placement rounds: starts the tasks of waiting steps, in order, on the
 * workers that fit.c chooses. A gang is placed as a whole or not at all. */
#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "cell_private.h"

/* Run numbers of a term start at token * RUNS_PER_TOKEN, so that they rise
 * over takeovers without being stored. */
#define RUNS_PER_TOKEN 1000000
/* How long after it was sent a start may be carried out. */
#define START_VALID_MS 1500
/* A round that takes longer is interrupted, so that heartbeats are answered in
 * time. The time is checked every STEPS_PER_TIME_CHECK steps; every round
 * begins with the first step in order. */
#define ROUND_BUDGET_MS 20
#define STEPS_PER_TIME_CHECK 8

/* Stops the backfill tasks on the first worker that would suit a task with a
 * latency target without them. Their checkpoints are kept. */
static void
stop_backfill_tasks(GfCell *cell, const Step *step, bool needs_advice,
                    struct timespec now)
{
    for (Worker *w = cell->workers; w != NULL; w = w->hh.next) {
        if (w->backfill_tasks == 0 ||
            !GfResources_Fit(w->info.capacity, w->used, step->spec->need) ||
            !CellFit_Eligible(cell, w, step) ||
            (needs_advice &&
             CellAdvice_FindTicket(step, w->serial, now) == NULL) ||
            (step->spec->max_per_worker > 0 &&
             CellFit_CountOn(w, step) >= step->spec->max_per_worker)) {
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

/* Sends the start order of a task that has been assigned to a worker, with its
 * time limit. */
static void
send_order(GfCell *cell, Task *task, struct timespec now)
{
    Worker *w = task->worker;
    const AllowedWorker *allowed =
        CellAdvice_FindTicket(task->step, w->serial, now);
    task->start_sent_at = now;
    GfStartOrder order = {.target = CellTask_Target(w),
                          .task = CellTask_Id(task),
                          .run = task->run,
                          .payload = &task->step->job->spec.payload,
                          .until_ms = task->start_expires_ms,
                          .checkpoint = task->checkpoint,
                          .ticket =
                              allowed == NULL ? NULL : allowed->ticket.data};
    cell->ops->start(cell->ctx, &order);
}

/* Sends the first start order of a task's run. Its time limit is shorter than
 * the lease, which hold calls extend: until the limit has passed, a start
 * without an answer may still be carried out. */
static void
send_start(GfCell *cell, Task *task, struct timespec now)
{
    int64_t until_ms = CellWorker_ExtendLease(cell, task->worker, now);
    if (until_ms > 0 && cell->settings.lease_ms > START_VALID_MS) {
        until_ms -= cell->settings.lease_ms - START_VALID_MS;
    }
    task->start_expires_ms = until_ms;
    send_order(cell, task, now);
}

/* Sends the start order of a task's run, which has got no answer, again, with
 * the same run number and time limit. */
void
CellPlace_RepeatStart(GfCell *cell, Task *task, struct timespec now)
{
    task->state = TASK_STARTING;
    task->start_repeated = true;
    task->whole_run = false; /* it may have begun earlier */
    send_order(cell, task, now);
}

/* Places the idle tasks of a step one by one. For those that must not start
 * before their rows are stored, capacity is held, or steps that come later in
 * order would take it meanwhile. Returns how many tasks stay idle, or 0 if the
 * team's limit was reached. */
static uint32_t
place_tasks(GfCell *cell, Step *step, bool needs_advice, struct timespec now)
{
    uint32_t left = step->idle;
    for (uint32_t i = 0; i < step->spec->task_count && left > 0; i++) {
        Task *task = &step->tasks[i];
        if (task->done || task->state != TASK_IDLE ||
            CellFit_IsUncertain(cell, task, now) ||
            CellCrash_Awaits(cell, task, now)) {
            continue;
        }
        if (!CellAttempts_Check(task) || !CellShare_Allows(step, 1)) {
            return 0;
        }
        Worker *w =
            CellFit_ChooseWorker(cell, step, task, NULL, needs_advice, now);
        if (w == NULL && (task->failures + CellCrash_Suspicion(task) > 0 ||
                          CellLateStart_Binds(cell, task, now))) {
            continue; /* other tasks may accept more workers */
        }
        if (w == NULL) {
            if (step->spec->latency_target_ms > 0) {
                stop_backfill_tasks(cell, step, needs_advice, now);
            }
            return left;
        }
        if (!CellCrash_MayStart(cell, task, w)) {
            w->held =
                GfResources_Add(w->held, CellTask_CapacityTaken(step->spec));
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
        Worker *w = CellFit_ChooseWorker(cell, step, &step->tasks[i], rack,
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
    if (!CellAttempts_Check(&step->tasks[0])) {
        return true;
    }
    for (uint32_t i = 0; i < step->spec->task_count; i++) {
        if (CellFit_IsUncertain(cell, &step->tasks[i], now) ||
            CellCrash_Awaits(cell, &step->tasks[i], now)) {
            return true;
        }
    }
    bool placed = false;
    if (step->spec->same_rack) {
        for (Worker *w = cell->workers; w != NULL && !placed; w = w->hh.next) {
            if (CellFit_HasCapacity(w, step)) {
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

/* Returns how many idle tasks of a step would not use capacity yet: they may
 * still run unseen, wait for the one worker that may start them, or for
 * crash.c. */
static uint32_t
count_held(const GfCell *cell, const Step *step, struct timespec now)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < step->spec->task_count; i++) {
        const Task *t = &step->tasks[i];
        count += !t->done && t->state == TASK_IDLE &&
                 (CellFit_IsUncertain(cell, t, now) ||
                  CellLateStart_Binds(cell, t, now) ||
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

/* Returns whether tasks may be placed: not before a configuration is set and
 * placement is started, nor while leases may not be granted or the worker
 * table is out of date. */
bool
CellPlace_IsAllowed(const GfCell *cell)
{
    return cell->config != NULL && cell->placement_started &&
           cell->may_grant_leases && cell->workers_current;
}

/* Runs a placement round: places the tasks of the waiting steps in order,
 * within ROUND_BUDGET_MS. Does nothing while placing is not allowed. */
void
CellPlace_Round(GfCell *cell, struct timespec now)
{
    if (!CellPlace_IsAllowed(cell)) {
        return;
    }
    cell->dirty = false;
    cell->round_at = now;
    int64_t wall_ms = GfTime_WallMs();
    CellShare_Update(cell, now);
    for (Worker *w = cell->workers; w != NULL; w = w->hh.next) {
        w->held = (GfResources){0};
    }
    size_t count = CellOrder_Sort(cell, now);
    for (size_t i = 0; i < count; i++) {
        Step *step = cell->order[i];
        uint32_t idle = step->idle;
        WaitCause cause = place_step(cell, step, now, wall_ms);
        if (step->idle < idle) {
            step->unused_answers = 0;
            CellPlaceLog_Placed(cell, step, idle - step->idle);
        }
        CellPlaceLog_RecordWait(step, now, cause);
        if (i % STEPS_PER_TIME_CHECK == 0 &&
            GfTime_DiffMs(GfClock_Now(cell->clock), now) > ROUND_BUDGET_MS) {
            cell->dirty = true;
            break;
        }
    }
    CellPlaceLog_LongestWait(cell, now);
}
