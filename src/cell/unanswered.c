/* Orders without an answer: a worker may answer hold calls while starts and
 * stops do not get through, as when it refuses further connections. Hold calls
 * alone do not show that a worker can be used. A start without an answer
 * expires by its time limit; see inventory.c. The limit is on the clock of the
 * worker's incarnation: if that ends, the next one may still carry the start
 * out, when its task has long been settled. So such starts are remembered, and
 * each further incarnation gets stop orders for them. */
#include <stdlib.h>

#include <utlist.h>

#include "cell_private.h"
#include "guavaflow/log.h"

/* After this many consecutive orders without an answer a worker gets no tasks
 * until PROBE_PAUSE_MS after the latest one. */
#define MAX_UNANSWERED 3
#define PROBE_PAUSE_MS 1000
/* A run that must be stopped ends with the lease if no order has been answered
 * for this long, during which a stop order is sent several times. */
#define STUCK_AFTER_MS 1500
/* Interval at which a stop order for a remembered start is repeated. */
#define BLOCK_REPEAT_MS 250

/* Records the outcome of a start, stop or pace order to a worker. One that was
 * not sent, as when too many wait, says nothing of the worker. */
void
CellUnanswered_Record(Worker *w, GfOrderResult result, struct timespec now)
{
    if (result == GF_ORDER_UNSENT) {
        return;
    }
    if (result != GF_ORDER_UNKNOWN) {
        if (w->unanswered_orders >= MAX_UNANSWERED) {
            GfLog(GF_LOG_INFO, CELL_PART,
                  "worker answers orders again worker=%s unanswered=%u",
                  w->info.id.data, w->unanswered_orders);
        }
        w->unanswered_orders = 0;
        return;
    }
    if (w->unanswered_orders++ == 0) {
        w->unanswered_since = now;
    }
    w->unanswered_at = now;
    if (w->unanswered_orders == MAX_UNANSWERED) {
        GfLog(GF_LOG_WARNING, CELL_PART,
              "worker does not answer orders worker=%s", w->info.id.data);
    }
}

/* Returns whether a worker may get tasks: its latest orders were answered, or
 * it is time to try another one. */
bool
CellUnanswered_MayStart(const GfCell *cell, const Worker *w)
{
    return w->unanswered_orders < MAX_UNANSWERED ||
           GfTime_DiffMs(GfClock_Now(cell->clock), w->unanswered_at) >=
               PROBE_PAUSE_MS;
}

/* Returns whether the lease of a worker may be extended. It must expire if a
 * run there has to be stopped and no order gets an answer: nothing else ends
 * the run. */
bool
CellUnanswered_MayExtendLease(const Worker *w, struct timespec now)
{
    if (w->unanswered_orders == 0 ||
        GfTime_DiffMs(now, w->unanswered_since) < STUCK_AFTER_MS) {
        return true;
    }
    const Task *t;
    DL_FOREACH(w->tasks, t)
    {
        if (t->state == TASK_RUNNING && t->stopping && !t->stop_acked) {
            return false;
        }
    }
    return w->orphan_count == 0;
}

/* Remembers a start that has got no answer until now. */
void
CellUnanswered_AddStart(Worker *w, const GfTaskId *id, int64_t run,
                        struct timespec now)
{
    w->unanswered_starts =
        realloc(w->unanswered_starts,
                (w->unanswered_start_count + 1) * sizeof(UnansweredStart));
    if (w->unanswered_starts == NULL) {
        abort();
    }
    w->unanswered_starts[w->unanswered_start_count++] =
        (UnansweredStart){.task = *id, .run = run, .sent_at = now};
}

/* Records that a worker begins a new incarnation, which has got no stop
 * orders. */
void
CellUnanswered_Restarted(Worker *w)
{
    for (size_t i = 0; i < w->unanswered_start_count; i++) {
        UnansweredStart *s = &w->unanswered_starts[i];
        s->former = true;
        s->blocked = false;
        s->stop_sent_at = (struct timespec){0};
    }
}

/* Records that a worker has carried out a stop order. */
void
CellUnanswered_Stopped(Worker *w, const GfTaskId *id, int64_t run)
{
    for (size_t i = 0; i < w->unanswered_start_count; i++) {
        UnansweredStart *s = &w->unanswered_starts[i];
        if (s->run == run && GfName_Equal(&s->task.job, &id->job) &&
            s->task.occurrence == id->occurrence && s->task.step == id->step &&
            s->task.index == id->index) {
            s->blocked = true;
        }
    }
}

/* Returns whether a remembered start is the current run of its task on the
 * worker. */
static bool
is_current(GfCell *cell, const Worker *w, const UnansweredStart *start)
{
    const Task *t = CellJob_Task(cell, &start->task);
    return t != NULL && t->worker == w && t->run == start->run;
}

/* Sends the stop orders that are due for starts that were meant for a former
 * incarnation of a worker in contact. Until they cannot arrive any more they
 * may extend its lease, also when they are refused. Forgets starts that are
 * too old to arrive. */
void
CellUnanswered_BlockStarts(GfCell *cell, Worker *w, struct timespec now)
{
    size_t left = 0;
    for (size_t i = 0; i < w->unanswered_start_count; i++) {
        UnansweredStart *s = &w->unanswered_starts[i];
        if (GfTime_DiffMs(now, s->sent_at) > CELL_LATE_ORDER_MS) {
            continue;
        }
        if (s->former) {
            CellWorker_AssumeForeignLease(cell, w);
        }
        if (s->former && !s->blocked && w->contacted &&
            !is_current(cell, w, s) &&
            GfTime_DiffMs(now, s->stop_sent_at) >= BLOCK_REPEAT_MS) {
            GfStopOrder order = {
                .target = CellTask_Target(w), .task = s->task, .run = s->run};
            s->stop_sent_at = now;
            cell->ops->stop(cell->ctx, &order);
        }
        w->unanswered_starts[left++] = *s;
    }
    w->unanswered_start_count = left;
}
