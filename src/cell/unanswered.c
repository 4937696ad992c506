/* Orders without an answer: a worker may answer hold calls while starts and
 * stops do not get through, as when it refuses further connections. Hold calls
 * alone do not show that a worker can be used. What a start without an answer
 * means for its task is in late_start.c. */
#include <utlist.h>

#include "cell_private.h"
#include "guavaflow/log.h"

/* After this many consecutive orders without an answer a worker gets no tasks
 * until PROBE_PAUSE_MS after the latest one. */
#define MAX_UNANSWERED 3
#define PROBE_PAUSE_MS 1000
/* No order is taken to reach a worker after so many without an answer. Where
 * half of the orders are late, so many in a row are rare. */
#define NONE_TAKEN_AFTER 8
/* A run that must be stopped ends with the lease if no order has been answered
 * for this long, during which a stop order is sent several times. */
#define STUCK_AFTER_MS 1500

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

/* Returns whether a worker in contact has left so many orders without an
 * answer, for so long, that they are taken not to reach it, rather than to be
 * late. */
bool
CellUnanswered_TakesNone(const Worker *w, struct timespec now)
{
    return w->contacted && w->hold_failures == 0 &&
           w->unanswered_orders >= NONE_TAKEN_AFTER &&
           GfTime_DiffMs(now, w->unanswered_since) >= STUCK_AFTER_MS;
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
