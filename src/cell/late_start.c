/* Starts without an answer. Such a start may be carried out until
 * CELL_LATE_ORDER_MS after it was sent, by any incarnation of its worker that
 * has not seen a token of its own: a later one knows neither a stop order nor
 * the clock of the start's time limit. So its task runs on that worker or
 * nowhere until then. The order is repeated with the same run number, which a
 * worker carries out once, so that the task rarely waits. After a restart of
 * the worker the task waits for the answer that shows its runs; from then on
 * the new incarnation's token keeps the start out.
 *
 * The task is stored with its worker, as the next owner must keep to it too.
 * Starts that carry a ticket need none of this, since a ticket is valid for
 * one incarnation. */
#include <utlist.h>

#include "cell_private.h"
#include "guavaflow/log.h"

/* A long-running task must not be away for longer. */
#define MAX_AWAY_MS 6000
/* For how long a start is repeated, and the shortest time between two. */
#define REPEAT_FOR_MS 1000
#define REPEAT_INTERVAL_MS 100
#define PERCENT 100

/* Returns a key of a worker's id, exact as a number in JSON, never 0. */
int64_t
CellLateStart_WorkerKey(const GfName *id)
{
    return (int64_t)(GfName_Hash(id, 0) >> 16U) | 1;
}

/* Returns how long in ms a task waits for a start without an answer. */
static int64_t
longest_wait_ms(const Task *task)
{
    return task->step->spec->long_running ? MAX_AWAY_MS : CELL_LATE_ORDER_MS;
}

/* Records that a start of a task that was sent to a worker has got no answer
 * until now. */
void
CellLateStart_Record(Task *task, const Worker *w)
{
    const GfQueue *queue = task->step->job->queue_in_force;
    if (task->done || (queue != NULL && queue->needs_advice)) {
        return;
    }
    struct timespec now = GfClock_Now(task->step->job->cell->clock);
    task->late_worker = w->key;
    task->late_until = GfTime_AddMs(now, longest_wait_ms(task));
    if (CellJob_Active(task->step->job)) {
        CellJobRows_MarkTask(task);
    }
}

/* Returns whether a start of a task may still arrive at the worker to which it
 * was sent. */
bool
CellLateStart_IsPending(const Task *task, struct timespec now)
{
    return task->late_worker != 0 && GfTime_Before(now, task->late_until);
}

/* Returns whether a worker's present incarnation may have carried out starts
 * that no answer shows yet. One that the platform's table does not list is
 * taken as gone. */
static bool
may_run_unseen(const Worker *w)
{
    return w->listed && (!w->contacted || w->token_unseen);
}

/* Returns whether only the worker that may carry out an earlier start of a
 * task may run it. A start that has arrived late may run unseen there until
 * its lease ends. A worker that answers hold calls but no other order would
 * keep the task for long; it is taken as one that gets no orders. */
bool
CellLateStart_Binds(const GfCell *cell, const Task *task, struct timespec now)
{
    if (task->late_worker == 0 ||
        !GfTime_Before(now, GfTime_AddMs(task->late_until,
                                         CellWorker_ForeignLeaseMs(cell)))) {
        return false;
    }
    const Worker *w = cell->workers;
    while (w != NULL && w->key != task->late_worker) {
        w = w->hh.next;
    }
    if (!CellLateStart_IsPending(task, now)) {
        return w != NULL && may_run_unseen(w);
    }
    return w == NULL || !CellUnanswered_TakesNone(w, now);
}

/* Returns whether a task that is bound may start on a worker. A task that
 * failed waits rather than use its attempts up on a worker that fails. */
bool
CellLateStart_Allows(const Task *task, const Worker *w)
{
    return w->key == task->late_worker &&
           (task->failures == 0 || w->consecutive_failures == 0);
}

/* Returns whether the start of a task's current run has got no answer and may
 * be sent again. */
bool
CellLateStart_MayRepeat(const Task *task, struct timespec now)
{
    const Worker *w = task->worker;
    return task->state == TASK_UNCONFIRMED && !task->stopping &&
           !task->start_final && !task->former_start &&
           task->start_expires_ms > 0 && w->contacted &&
           w->hold_failures == 0 && !CellUnanswered_TakesNone(w, now) &&
           task->step->job->cell->may_grant_leases &&
           CellJob_Active(task->step->job) &&
           GfTime_DiffMs(now, task->started_at) < REPEAT_FOR_MS;
}

/* Sends the starts again that are due on a worker. */
void
CellLateStart_Repeat(GfCell *cell, Worker *w, struct timespec now)
{
    Task *t;
    DL_FOREACH(w->tasks, t)
    {
        if (GfTime_DiffMs(now, t->start_sent_at) >= REPEAT_INTERVAL_MS &&
            CellLateStart_MayRepeat(t, now)) {
            CellPlace_RepeatStart(cell, t, now);
        }
    }
}

/* Reports a run that an inventory lists for the first time, if it may come
 * from an order without an answer. */
void
CellLateStart_Listed(const Task *task, const Worker *w)
{
    struct timespec now = GfClock_Now(task->step->job->cell->clock);
    if (!CellLateStart_IsPending(task, now) || task->late_worker != w->key) {
        return;
    }
    GfLog(GF_LOG_INFO, CELL_PART,
          "start without an answer carried out id=%s step=%u task=%u "
          "worker=%s run=%lld incarnation_age_ms=%lld",
          task->step->job->id.data, task->step->number, task->index,
          w->info.id.data, (long long)task->run,
          (long long)(GfTime_WallMs() - w->info.incarnation));
}

/* Appends to list the worker to which a task is bound and until when, on the
 * shared clock; 0 if that is not known. at is the number of the task's step
 * over all occurrences. */
void
CellLateStart_Save(const Task *task, size_t at, json_t *list)
{
    const GfCell *cell = task->step->job->cell;
    struct timespec now = GfClock_Now(cell->clock);
    if (!CellLateStart_IsPending(task, now)) {
        return;
    }
    int64_t until_ms = 0;
    if (cell->has_shared_clock) {
        int64_t ms =
            GfTime_DiffMs(task->late_until, cell->shared_clock.earliest);
        until_ms = cell->shared_clock.ms + ms;
    }
    json_array_append_new(
        list, json_pack("[I,i,I,I]", (json_int_t)at, (int)task->index,
                        (json_int_t)task->late_worker, (json_int_t)until_ms));
}

/* Restores what CellLateStart_Save appended for a task. */
void
CellLateStart_Load(Task *task, const json_t *entry)
{
    const GfCell *cell = task->step->job->cell;
    const GfTableClock *c = &cell->shared_clock;
    int64_t until_ms = json_integer_value(json_array_get(entry, 3));
    int64_t ms = longest_wait_ms(task);
    struct timespec latest = GfTime_AddMs(GfClock_Now(cell->clock), ms);
    struct timespec until = latest;
    if (cell->has_shared_clock && until_ms > 0) {
        ms = until_ms - c->ms;
        ms += ms > 0 ? ms * cell->settings.clock_drift_percent / PERCENT : 0;
        until = GfTime_AddMs(c->latest, ms);
    }
    task->late_worker = json_integer_value(json_array_get(entry, 2));
    task->late_until = GfTime_Before(until, latest) ? until : latest;
}
