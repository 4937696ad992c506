/* Workers: their lives, their leases, and the calls that extend these. */
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
int64_t
CellWorker_LongestLeaseMs(const GfCell *cell)
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
    struct timespec end = GfTime_AddMs(now, CellWorker_LongestLeaseMs(cell));
    if (GfTime_Before(w->lease_until, end)) {
        w->lease_until = end;
    }
    return w->clock_offset_ms + GfTime_ToMs(now) + cell->settings.lease_ms;
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
void
CellWorker_BeginLife(GfCell *cell, Worker *w, int64_t lifetime)
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
    w->has_done = false;
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

/* Takes a row of the platform's table of workers. */
void
GfCell_SetWorker(GfCell *cell, const GfWorkerInfo *info)
{
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
        CellWorker_BeginLife(cell, w, info->lifetime);
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

/* Tells whether two times are the same, which tells two calls apart. */
static bool
same_time(struct timespec a, struct timespec b)
{
    return !GfTime_Before(a, b) && !GfTime_Before(b, a);
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
    if (!w->hold_in_flight || !same_time(sent_at, w->hold_sent_at)) {
        w->peek_in_flight = false;
        if (result == GF_ORDER_DONE) {
            CellInventory_Apply(cell, w, sent_at, inventory);
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
    CellInventory_Apply(cell, w, sent_at, inventory);
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
    if (!cell->begun || !cell->doubt) {
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
        bool over = w->carried != NULL ? !GfTime_Before(now, cell->doubt_until)
                                       : !cell->doubt;
        bool lapsed = GfTime_Before(w->lease_until, now) && (w->known || over);
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
