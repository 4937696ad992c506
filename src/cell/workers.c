/* Workers: their lives, leases and inventories. */
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "cell_private.h"
#include "guavaflow/log.h"

/* How long a worker may hold a call back while nothing ends there; within the
 * lease with room for two lost calls. */
#define HOLD_WAIT_MS 1500
#define HOLD_QUICK_WAIT_MS 500
/* Pause after a call to a worker that failed. */
#define HOLD_RETRY_MS 120
/* The pause grows with each failure up to this many times its length. */
#define HOLD_RETRY_STEPS 5
/* Pause while ends are known but not stored; keeps the lease alive while the
 * store is away. */
#define HOLD_UNSTORED_MS 900
/* The same where quick tasks run, whose ends must not wait for a slow store.
 */
#define HOLD_UNSTORED_QUICK_MS 90
/* Pause while runs are being stopped, which takes a worker up to 200 ms. */
#define HOLD_STRAY_MS 100
/* A worker that missed so many calls on end gets no tasks, and the stored list
 * names those that it has. */
#define CLOSED_AFTER_FAILURES 2
/* What a lease may outlast its nominal length by transport and timers. */
#define LEASE_MARGIN_MS 150
#define PERCENT 100
/* This many failures of different tasks on end put a worker aside. */
#define AVOID_AFTER_FAILURES 2
/* How long it is put aside at first, and at most; grey failures of a worker
 * last several seconds. */
#define AVOID_MS 1500
#define AVOID_MAX_MS 12000

/* Finds a worker by serial, or returns NULL. */
Worker *
CellWorker_Find(const GfCell *cell, uint32_t serial)
{
    Worker *w = NULL;
    HASH_FIND(by_serial, cell->workers_by_serial, &serial, sizeof(serial), w);
    return w;
}

/* Returns the worker's rack, which may be empty. */
const GfName *
CellWorker_Rack(const Worker *w)
{
    static const GfName NONE;
    return w->info.label_count == 0 ? &NONE
                                    : &w->info.labels[w->info.label_count - 1];
}

/* Returns how long a lease granted now can last on our clock. */
static int64_t
longest_lease_ms(const GfCell *cell)
{
    int64_t lease = cell->settings.lease_ms;
    return lease + lease * cell->settings.clock_drift_percent / PERCENT +
           LEASE_MARGIN_MS;
}

/* Extends the lease of a worker: returns until when on its clock, and notes
 * when the lease has surely run out on ours. 0: nothing may be granted. */
int64_t
CellWorker_Extend(GfCell *cell, Worker *w, struct timespec now)
{
    if (!w->has_clock || !cell->may_extend) {
        return 0;
    }
    struct timespec end = GfTime_AddMs(now, longest_lease_ms(cell));
    if (GfTime_Before(w->lease_until, end)) {
        w->lease_until = end;
    }
    return w->clock_offset_ms + GfTime_Ms(now) + cell->settings.lease_ms;
}

/* Takes all tasks off a worker on which they surely run no more. */
void
CellWorker_Lose(Worker *w, const char *why)
{
    size_t count = 0;
    Task *t;
    Task *tmp;
    DL_FOREACH_SAFE(w->tasks, t, tmp)
    {
        CellTask_Release(t);
        count++;
    }
    if (count > 0) {
        GfLog(GF_LOG_WARNING, CELL_PART,
              "tasks lost worker=%s cause=%s tasks=%zu", w->info.id.data, why,
              count);
    }
}

/* Begins another life of a worker, which knows nothing of before. */
static void
begin_life(GfCell *cell, Worker *w, int64_t lifetime)
{
    CellWorker_Lose(w, "restarted");
    CellWorker_ClearStrays(cell, w);
    w->info.lifetime = lifetime;
    w->life_began_at = GfClock_Now(cell->clock);
    w->hold_in_flight = false;
    w->hold_failures = 0;
    w->seen_end = 0;
    w->acked_end = 0;
    w->pending_end = 0;
    w->pending_seq = 0;
    w->inventory_clock_ms = 0;
    w->peek_in_flight = false;
    w->known = false;
    w->has_clock = false;
    w->failures_in_row = 0;
    w->lease_until = (struct timespec){0};
    w->next_hold_at = (struct timespec){0};
    cell->dirty = true;
}

/* Makes a worker that has not been heard. */
static Worker *
add_worker(GfCell *cell, const GfWorkerInfo *info)
{
    Worker *w = calloc(1, sizeof(*w));
    if (w == NULL) {
        abort();
    }
    w->info = *info;
    w->serial = ++cell->next_serial;
    HASH_ADD(hh, cell->workers, info.id.data, w->info.id.len, w);
    HASH_ADD(by_serial, cell->workers_by_serial, serial, sizeof(w->serial), w);
    cell->worker_count++;
    return w;
}

/* Takes a row of the platform's table of workers. clock_ms is the worker's
 * clock when the row was written, which is too old to grant leases by. */
void
GfCell_SetWorker(GfCell *cell, const GfWorkerInfo *info, int64_t clock_ms)
{
    (void)clock_ms;
    Worker *w = NULL;
    HASH_FIND(hh, cell->workers, info->id.data, info->id.len, w);
    if (w == NULL) {
        w = add_worker(cell, info);
        GfLog(GF_LOG_INFO, CELL_PART, "worker joined worker=%s domain=%s",
              info->id.data, info->domain.data);
    }
    else if (info->lifetime < w->info.lifetime) {
        return;
    }
    else if (info->lifetime > w->info.lifetime) {
        begin_life(cell, w, info->lifetime);
    }
    if (w->info.leaving != info->leaving) {
        GfLog(GF_LOG_INFO, CELL_PART, "worker changed worker=%s leaving=%d",
              info->id.data, info->leaving);
    }
    if (!w->listed) {
        w->listed_at = GfClock_Now(cell->clock);
    }
    w->info = *info;
    w->listed = true;
    cell->dirty = true;
}

/* Adds a worker on which a former owner held a lease. It may have left the
 * table and run on. */
void
GfCell_AddLeasedWorker(GfCell *cell, const GfWorkerInfo *info)
{
    Worker *w = NULL;
    HASH_FIND(hh, cell->workers, info->id.data, info->id.len, w);
    if (w == NULL) {
        w = add_worker(cell, info);
    }
    w->suspect = true;
}

/* Adds a worker that was silent for the former owner, which had these tasks
 * there and none since; only they are in doubt. */
void
GfCell_AddSilentWorker(GfCell *cell, const GfWorkerInfo *info,
                       const GfTaskId *tasks, size_t count)
{
    Worker *w = NULL;
    HASH_FIND(hh, cell->workers, info->id.data, info->id.len, w);
    if (w == NULL) {
        w = add_worker(cell, info);
    }
    w->closed = true;
    w->carried = calloc(count + 1, sizeof(GfTaskId));
    if (w->carried == NULL) {
        abort();
    }
    memcpy(w->carried, tasks, count * sizeof(GfTaskId));
    w->carried_count = count;
}

/* Notes that a worker left the table. What runs there is followed until its
 * lease has run out. */
void
GfCell_UnlistWorker(GfCell *cell, const GfName *id)
{
    Worker *w = NULL;
    HASH_FIND(hh, cell->workers, id->data, id->len, w);
    if (w != NULL && w->listed) {
        w->listed = false;
        cell->dirty = true;
        GfLog(GF_LOG_INFO, CELL_PART, "worker left the table worker=%s",
              id->data);
    }
}

/* Unlists the workers that a whole read of the table does not name. */
void
GfCell_UnlistOthers(GfCell *cell, const GfTableRow *rows, size_t count)
{
    for (Worker *w = cell->workers; w != NULL; w = w->hh.next) {
        bool named = false;
        for (size_t i = 0; !named && i < count; i++) {
            named = strcmp(rows[i].key, w->info.id.data) == 0;
        }
        if (!named) {
            GfCell_UnlistWorker(cell, &w->info.id);
        }
    }
}

/* Tells whether every worker that may run tasks has answered this term. */
bool
GfCell_AllHeard(const GfCell *cell)
{
    for (const Worker *w = cell->workers; w != NULL; w = w->hh.next) {
        if (w->suspect && !w->known) {
            return false;
        }
    }
    return true;
}

/* Notes the outcome of a run for the worker's record of failures. A task's
 * own fault shows on other workers too; only failures in a row count. */
static void
note_outcome(GfCell *cell, Worker *w, const Task *task, bool failed)
{
    if (!failed) {
        w->failures_in_row = 0;
        return;
    }
    if (task->failures > 1) {
        return;
    }
    w->failures_in_row++;
    if (w->failures_in_row >= AVOID_AFTER_FAILURES) {
        int64_t ms = (int64_t)AVOID_MS
                     << (w->failures_in_row - AVOID_AFTER_FAILURES);
        ms = ms > AVOID_MAX_MS || ms <= 0 ? AVOID_MAX_MS : ms;
        w->avoid_until = GfTime_AddMs(GfClock_Now(cell->clock), ms);
        GfLog(GF_LOG_WARNING, CELL_PART,
              "worker set aside worker=%s failures=%u for_ms=%lld",
              w->info.id.data, w->failures_in_row, (long long)ms);
    }
}

/* Takes note of a run that failed. Returns false if it was counted before. */
static bool
count_failure(Task *task, int64_t run)
{
    Job *job = task->step->job;
    if (task->step->spec->lasting) {
        return true;
    }
    if (!CellTask_AddFailure(task, run)) {
        return false;
    }
    CellJob_MarkDirty(job);
    const GfQueue *queue = job->queue_in_force;
    if (queue != NULL && !task->done &&
        task->failures >= queue->max_attempts && CellJob_Active(job)) {
        GfLog(GF_LOG_INFO, CELL_PART,
              "job given up id=%s step=%u task=%u failures=%u", job->id.data,
              task->step->number, task->index, task->failures);
        CellJob_SetState(job, GF_JOB_GIVEN_UP);
        CellTask_StopJob(job);
    }
    return true;
}

/* Counts the failure of a gang on its first member, whichever member reports
 * it, so that one failed run counts once. */
static Task *
counted_task(Task *task)
{
    return task->step->spec->gang ? &task->step->tasks[0] : task;
}

/* Tells whether a job is known here or known not to exist. One that a former
 * owner took in late may have to be looked for in the store first. */
static bool
is_settled(GfCell *cell, const GfName *job)
{
    return CellJob_Find(cell, job) != NULL || CellJob_IsAbsent(cell, job);
}

/* Applies the end of a run that a worker has listed. */
static void
apply_end(GfCell *cell, Worker *w, const GfEndRow *end)
{
    Task *task = CellJob_Task(cell, &end->task);
    if (task == NULL) {
        GfLog(GF_LOG_INFO, CELL_PART,
              "an end of no task of ours id=%s worker=%s", end->task.job.data,
              w->info.id.data);
        return;
    }
    Job *job = task->step->job;
    bool current = task->worker == w && task->run == end->run;
    if (end->how != GF_END_DONE) {
        CellTask_SetCheckpoint(task, end->checkpoint);
    }
    if (current) {
        CellTask_Release(task);
    }
    if (!CellJob_Active(job)) {
        return;
    }
    if (end->how == GF_END_DONE && !task->step->spec->lasting) {
        note_outcome(cell, w, task, false);
        if (!task->done && task->state != TASK_IDLE) {
            /* An older run has ended well; the newer one is not needed. */
            CellTask_Stop(task);
        }
        CellJob_TaskDone(task);
    }
    else if (end->how == GF_END_FAILED) {
        Task *counted = counted_task(task);
        if (count_failure(counted, end->run)) {
            GfLog(GF_LOG_INFO, CELL_PART,
                  "run failed id=%s step=%u task=%u run=%lld worker=%s "
                  "failures=%u",
                  job->id.data, task->step->number, task->index,
                  (long long)end->run, w->info.id.data, counted->failures);
            task->avoid_serial = w->serial;
            note_outcome(cell, w, counted, true);
        }
    }
    else if (task->checkpoint != NULL) {
        CellJob_MarkDirty(job);
    }
    if (end->how == GF_END_ALONE) {
        GfLog(GF_LOG_WARNING, CELL_PART,
              "a gang did not come together id=%s worker=%s", job->id.data,
              w->info.id.data);
    }
}

/* Forgets the strays of a worker and gives back what they took. */
void
CellWorker_ClearStrays(GfCell *cell, Worker *w)
{
    for (size_t i = 0; i < w->stray_count; i++) {
        const Stray *s = &w->strays[i];
        w->used = GfAmounts_Minus(w->used, s->need);
        w->filling -= s->filler;
        TeamUse *use = Cell_TeamUse(cell, &s->team);
        use->used = GfAmounts_Minus(use->used, s->need);
    }
    free(w->strays);
    w->strays = NULL;
    w->stray_count = 0;
    w->unknown_runs = 0;
}

/* Notes what a stray takes until it has ended. */
static void
add_stray(GfCell *cell, Worker *w, const Task *task)
{
    if (task == NULL) {
        w->unknown_runs++;
        return;
    }
    Stray s = {.team = task->step->job->team,
               .need = CellTask_RoomTaken(task->step),
               .filler = task->step->spec->filler};
    w->strays = realloc(w->strays, (w->stray_count + 1) * sizeof(Stray));
    if (w->strays == NULL) {
        abort();
    }
    w->strays[w->stray_count++] = s;
    w->used = GfAmounts_Plus(w->used, s.need);
    w->filling += s.filler;
    TeamUse *use = Cell_TeamUse(cell, &s.team);
    use->used = GfAmounts_Plus(use->used, s.need);
}

/* Stops a run that no task of ours accounts for. What it takes counts until
 * an inventory does not list it any more. */
static void
stop_stray(GfCell *cell, Worker *w, const Task *task, const GfRunRow *row)
{
    GfStopOrder order = {
        .target = CellTask_Target(w), .task = row->task, .run = row->run};
    order.target.token = cell->settings.token;
    add_stray(cell, w, task);
    cell->ops->stop(cell->ctx, &order);
    GfLog(GF_LOG_INFO, CELL_PART,
          "stopping a stray run id=%s step=%u task=%u worker=%s known=%d",
          row->task.job.data, row->task.step, row->task.index, w->info.id.data,
          task != NULL);
}

/* Takes a row of what runs: confirms a task of ours, adopts one that waits,
 * or stops what should not run. */
static void
apply_run(GfCell *cell, Worker *w, const GfRunRow *row)
{
    Task *task = CellJob_Task(cell, &row->task);
    if (!is_settled(cell, &row->task.job)) {
        w->unknown_runs++;
        return;
    }
    if (task == NULL) {
        stop_stray(cell, w, task, row);
        return;
    }
    Job *job = task->step->job;
    if (task->worker == w && task->run == row->run) {
        if (task->state == TASK_STARTING ||
            (task->state == TASK_SETTLING && !task->stopping)) {
            task->state = TASK_RUNNING;
        }
    }
    else if (task->state == TASK_IDLE && !task->done && CellJob_Active(job)) {
        CellTask_Assign(task, w, row->run, TASK_RUNNING);
    }
    else {
        stop_stray(cell, w, task, row);
        return;
    }
    task->mark = w->mark;
    CellTask_SetCheckpoint(task, row->checkpoint);
    if (task->state == TASK_RUNNING && job->state == GF_JOB_QUEUED) {
        CellJob_SetState(job, GF_JOB_STARTED);
    }
}

/* Settles the tasks that an inventory asked for at sent_at does not list. */
static void
settle_missing(Worker *w, struct timespec sent_at)
{
    Task *t;
    Task *tmp;
    DL_FOREACH_SAFE(w->tasks, t, tmp)
    {
        if (t->mark == w->mark || t->state == TASK_STARTING) {
            continue;
        }
        if (t->state == TASK_SETTLING && !t->stopping) {
            if (!GfTime_Before(sent_at, t->doubted_at)) {
                /* Not there yet: a stop keeps it from coming late. */
                CellTask_Stop(t);
                if (t->step->spec->gang) {
                    CellTask_StopGang(t->step);
                }
            }
        }
        else if (t->state == TASK_SETTLING) {
            if (t->stop_acked && !GfTime_Before(sent_at, t->stop_acked_at)) {
                CellTask_Release(t);
            }
        }
        else if (GfTime_Before(t->started_at, sent_at)) {
            GfLog(GF_LOG_WARNING, CELL_PART,
                  "a run is missing id=%s step=%u task=%u worker=%s",
                  t->step->job->id.data, t->step->number, t->index,
                  w->info.id.data);
            CellTask_Release(t);
        }
    }
}

/* Applies a whole inventory. */
static void
apply_inventory(GfCell *cell, Worker *w, struct timespec sent_at,
                const GfInventory *inventory)
{
    if (inventory->lifetime != w->info.lifetime) {
        GfLog(GF_LOG_INFO, CELL_PART, "worker restarted worker=%s",
              w->info.id.data);
        begin_life(cell, w, inventory->lifetime);
    }
    else if (inventory->clock_ms < w->inventory_clock_ms) {
        return; /* overtaken by a newer one */
    }
    w->inventory_clock_ms = inventory->clock_ms;
    struct timespec now = GfClock_Now(cell->clock);
    w->mark++;
    w->has_clock = true;
    w->clock_offset_ms = inventory->clock_ms - GfTime_Ms(now);
    if (!w->known) {
        /* A former owner may have granted a lease just now. */
        struct timespec end = GfTime_AddMs(now, longest_lease_ms(cell));
        w->lease_until = end;
    }
    size_t strays = w->stray_count + w->unknown_runs;
    CellWorker_ClearStrays(cell, w);
    for (size_t i = 0; i < inventory->end_count; i++) {
        const GfEndRow *end = &inventory->ends[i];
        if (end->number <= w->seen_end) {
            continue;
        }
        if (!is_settled(cell, &end->task.job)) {
            w->unknown_runs++; /* this end and those after it come again */
            break;
        }
        apply_end(cell, w, end);
        w->seen_end = end->number;
    }
    for (size_t i = 0; i < inventory->run_count; i++) {
        apply_run(cell, w, &inventory->runs[i]);
    }
    settle_missing(w, sent_at);
    if (!w->known && w->unknown_runs == 0) {
        /* With a run that is not understood yet, more is in doubt here. */
        w->known = true;
        cell->dirty = true;
    }
    if (strays > 0 && w->stray_count + w->unknown_runs == 0) {
        cell->dirty = true;
    }
    if (w->seen_end > w->acked_end && w->pending_end < w->seen_end) {
        w->pending_end = w->seen_end;
        w->pending_seq = cell->seq;
    }
    CellTask_SendStops(w, now);
}

/* Tells how long a worker may hold a call back. With quick tasks there a lost
 * call must show soon. */
static int
hold_wait_ms(const Worker *w)
{
    const Task *t;
    DL_FOREACH(w->tasks, t)
    {
        if (t->step->job->work_class == 0) {
            return HOLD_QUICK_WAIT_MS;
        }
    }
    return HOLD_WAIT_MS;
}

/* Takes the outcome of a hold. inventory is set if the result is
 * GF_ORDER_DONE. sent_at is when the call left. */
void
GfCell_HoldDone(GfCell *cell, uint32_t serial, struct timespec sent_at,
                GfOrderResult result, const GfInventory *inventory)
{
    Worker *w = CellWorker_Find(cell, serial);
    if (w == NULL) {
        return;
    }
    struct timespec now = GfClock_Now(cell->clock);
    if (result == GF_ORDER_FENCED) {
        cell->ops->fenced(cell->ctx, &w->info.id);
        return;
    }
    if (GfTime_Before(sent_at, w->life_began_at)) {
        return; /* meant for a life that is over */
    }
    bool peek = GfTime_DiffMs(sent_at, w->hold_sent_at) != 0 ||
                !w->hold_in_flight ||
                sent_at.tv_nsec != w->hold_sent_at.tv_nsec;
    if (peek) {
        w->peek_in_flight = false;
        if (result == GF_ORDER_DONE) {
            apply_inventory(cell, w, sent_at, inventory);
        }
        else {
            w->peek_wanted = true;
        }
        return;
    }
    w->hold_in_flight = false;
    if (result == GF_ORDER_OTHER_LIFE) {
        /* The address answers, but for another worker: this one is gone. */
        CellWorker_Lose(w, "gone");
        w->known = true;
        w->listed = false;
    }
    if (result != GF_ORDER_DONE) {
        w->hold_failures++;
        uint32_t tries = w->hold_failures < HOLD_RETRY_STEPS
                             ? w->hold_failures
                             : HOLD_RETRY_STEPS;
        w->next_hold_at = GfTime_AddMs(now, (int64_t)HOLD_RETRY_MS * tries);
        return;
    }
    w->hold_failures = 0;
    w->heard_at = now;
    apply_inventory(cell, w, sent_at, inventory);
    w->next_hold_at = now;
    if (w->seen_end > w->acked_end) {
        bool quick = hold_wait_ms(w) == HOLD_QUICK_WAIT_MS;
        w->next_hold_at = GfTime_AddMs(now, quick ? HOLD_UNSTORED_QUICK_MS
                                                  : HOLD_UNSTORED_MS);
    }
    else if (w->stray_count + w->unknown_runs > 0) {
        w->next_hold_at = GfTime_AddMs(now, HOLD_STRAY_MS);
    }
}

/* Asks a worker for its inventory at once, beside the call that waits. */
void
CellWorker_Peek(GfCell *cell, Worker *w)
{
    w->peek_wanted = true;
    if (w->peek_in_flight) {
        return;
    }
    w->peek_wanted = false;
    w->peek_in_flight = true;
    GfHoldOrder order = {.target = CellTask_Target(w),
                         .acked = w->hold_failures == 0 ? w->acked_end : 0,
                         .sent_at = GfClock_Now(cell->clock)};
    order.target.token = cell->settings.token;
    cell->ops->hold(cell->ctx, &order);
}

/* Calls a worker: extends its lease, acknowledges ends, asks what runs. After
 * a failed call nothing is acknowledged, since the worker may have begun
 * another life whose ends have the same numbers. */
static void
send_hold(GfCell *cell, Worker *w, struct timespec now)
{
    bool sure = w->known && w->hold_failures == 0;
    GfHoldOrder order = {.target = CellTask_Target(w)};
    order.target.token = cell->settings.token;
    /* A call without an answer may extend the lease all the same; one that
     * asks for no extension lets it run out if the worker is gone. */
    order.until_ms =
        w->hold_failures == 0 ? CellWorker_Extend(cell, w, now) : 0;
    order.acked = sure ? w->acked_end : 0;
    bool quiet =
        w->seen_end == w->acked_end && w->stray_count + w->unknown_runs == 0;
    order.wait_ms = sure && quiet ? hold_wait_ms(w) : 0;
    order.sent_at = now;
    w->hold_sent_at = now;
    w->hold_in_flight = true;
    cell->ops->hold(cell->ctx, &order);
}

/* Frees a worker that has left and runs nothing. */
static void
remove_worker(GfCell *cell, Worker *w)
{
    HASH_DELETE(hh, cell->workers, w);
    HASH_DELETE(by_serial, cell->workers_by_serial, w);
    cell->worker_count--;
    cell->leased_dirty = cell->leased_dirty || w->in_list;
    CellWorker_ClearStrays(cell, w);
    free(w->carried);
    free(w);
}

/* Ends the doubt about a former owner's runs once every worker that may have
 * any has answered, or none can run any more. */
static void
check_doubt(GfCell *cell, struct timespec now)
{
    if (!cell->doubt) {
        return;
    }
    size_t unheard = 0;
    for (const Worker *w = cell->workers; w != NULL; w = w->hh.next) {
        unheard += w->suspect && !w->known;
    }
    if (unheard == 0 || !GfTime_Before(now, cell->doubt_until)) {
        cell->doubt = false;
        cell->dirty = true;
        for (Job *j = cell->jobs; j != NULL; j = j->hh.next) {
            j->in_doubt = false;
        }
        GfLog(GF_LOG_INFO, CELL_PART,
              "no run of a former owner is in doubt unheard=%zu", unheard);
    }
}

/* Calls the workers that are due, and gives up tasks whose lease has surely
 * run out. */
void
CellWorker_Tick(GfCell *cell, struct timespec now)
{
    Worker *w;
    Worker *tmp;
    HASH_ITER(hh, cell->workers, w, tmp)
    {
        if (w->tasks != NULL && w->known &&
            GfTime_Before(w->lease_until, now)) {
            CellWorker_Lose(w, "lease lapsed");
        }
        bool lapsed =
            GfTime_Before(w->lease_until, now) && (w->known || !cell->doubt);
        if (!w->listed && w->tasks == NULL && lapsed && !w->hold_in_flight) {
            remove_worker(cell, w);
            continue;
        }
        if (!w->hold_in_flight && !GfTime_Before(now, w->next_hold_at)) {
            send_hold(cell, w, now);
        }
        CellTask_SendStops(w, now);
        if (w->peek_wanted && !w->peek_in_flight && w->tasks != NULL) {
            CellWorker_Peek(cell, w);
        }
    }
    check_doubt(cell, now);
}

/* Decides which workers belong into the stored list: those that hold or may
 * get a lease. One that is silent beyond its lease is left out, so that a
 * later owner does not wait for it. */
void
CellWorker_UpdateList(GfCell *cell, struct timespec now)
{
    for (Worker *w = cell->workers; w != NULL; w = w->hh.next) {
        bool silent = (w->hold_failures > 0 || !w->listed) &&
                      w->tasks == NULL && w->known &&
                      GfTime_Before(w->lease_until, now);
        bool carried =
            w->carried != NULL && GfTime_Before(now, cell->doubt_until);
        bool wanted = w->known ? !silent : w->suspect || carried;
        bool closed =
            w->known ? w->hold_failures >= CLOSED_AFTER_FAILURES : w->closed;
        if (wanted && closed != w->closed) {
            w->closed = closed;
            w->stored = false;
            cell->leased_dirty = true;
        }
        if (w->in_list != wanted) {
            w->in_list = wanted;
            w->stored = w->stored && wanted;
            cell->leased_dirty = true;
        }
    }
}
