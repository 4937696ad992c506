/* Workers: their incarnations, their leases, and the hold calls that extend
 * the leases and return inventories. */
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "cell_private.h"
#include "guavaflow/log.h"

/* How long a worker may delay its answer to a hold call while no run ends
 * there. Within the lease this leaves time for two lost calls. The shorter
 * time applies where quick tasks run. */
#define HOLD_WAIT_MS 1500
#define HOLD_QUICK_WAIT_MS 500
/* Rate of these calls in a large fleet, where the wait grows with its size. */
#define MAX_QUICK_HOLDS_PER_S 1000
/* Pause after a failed hold call. It grows by this with each consecutive
 * failure, up to HOLD_RETRY_STEPS times as long. */
#define HOLD_RETRY_MS 120
#define HOLD_RETRY_STEPS 5
/* Shortest pause after a failed call to a worker that all jobs of a former
 * owner wait for, and the most such calls a second. */
#define UNHEARD_RETRY_MS 40
#define MAX_UNHEARD_CALLS_PER_S 500
/* Pause between hold calls while completions are known but not stored; extends
 * the lease in time while the store is unavailable. */
#define HOLD_UNSTORED_MS 900
/* The same where quick tasks run, whose completions must not wait for a slow
 * store. */
#define HOLD_UNSTORED_QUICK_MS 90
/* Pause between hold calls while orphan runs are being stopped, which takes a
 * worker up to 200 ms. */
#define HOLD_ORPHAN_MS 100
/* After this many consecutive failed hold calls a worker is closed. */
#define UNRESPONSIVE_AFTER_FAILURES 2
/* How much longer than its nominal length a lease may last because of
 * transport and timers. */
#define LEASE_MARGIN_MS 150
/* How long a worker that leaves stays at least, if it does not report it. */
#define LEAVE_NOTICE_MS 1800
/* An incarnation that has begun within this time before a term may have got
 * orders that were meant for the one before. Includes what wall clocks may
 * differ by. */
#define YOUNG_MS 20000
#define PERCENT 100
#define MS_PER_S 1000
/* A new owner waits at most this long for all workers to answer before it
 * places tasks, and at most CONTACT_WAIT_MS for MOST_PERCENT of them. */
#define ALL_CONTACT_WAIT_MS 60
#define CONTACT_WAIT_MS 350
#define MOST_PERCENT 80

/* Returns the worker with this serial, or NULL. */
Worker *
CellWorker_Find(const GfCell *cell, uint32_t serial)
{
    Worker *w = NULL;
    HASH_FIND(by_serial, cell->workers_by_serial, &serial, sizeof(serial), w);
    return w;
}

/* Returns the worker's rack, its last label; an empty name if it has no
 * labels. */
const GfName *
CellWorker_Rack(const Worker *w)
{
    static const GfName NONE;
    return w->info.label_count == 0 ? &NONE
                                    : &w->info.labels[w->info.label_count - 1];
}

/* Returns how long in ms, on the local clock, a lease granted now can last at
 * most. */
int64_t
CellWorker_LongestLeaseMs(const GfCell *cell)
{
    int64_t lease = cell->settings.lease_ms;
    return lease + lease * cell->settings.clock_drift_percent / PERCENT +
           LEASE_MARGIN_MS;
}

/* Returns how long in ms, on the local clock, a lease can last at most from
 * the moment at which a worker takes an order that was meant for its former
 * incarnation: the time in the order says nothing on the clock of this one. */
int64_t
CellWorker_ForeignLeaseMs(const GfCell *cell)
{
    int64_t own = CellWorker_LongestLeaseMs(cell);
    int64_t lease = cell->settings.longest_lease_ms;
    lease +=
        lease * cell->settings.clock_drift_percent / PERCENT + LEASE_MARGIN_MS;
    return lease > own ? lease : own;
}

/* Records that a worker may just have taken an order that was meant for its
 * former incarnation. */
void
CellWorker_AssumeForeignLease(GfCell *cell, Worker *w)
{
    struct timespec end = GfTime_AddMs(GfClock_Now(cell->clock),
                                       CellWorker_ForeignLeaseMs(cell));
    if (GfTime_Before(w->lease_until, end)) {
        w->lease_until = end;
    }
}

/* Extends the lease of a worker. Returns its new end in ms on the worker's
 * clock and records the time, on the local clock, by which it has expired in
 * any case. Returns 0 if no lease may be granted. */
int64_t
CellWorker_ExtendLease(GfCell *cell, Worker *w, struct timespec now)
{
    if (!w->has_clock || !cell->may_grant_leases || w->lease_frozen ||
        !CellUnanswered_MayExtendLease(w, now)) {
        return 0;
    }
    struct timespec end = GfTime_AddMs(now, CellWorker_LongestLeaseMs(cell));
    if (GfTime_Before(w->lease_until, end)) {
        w->lease_until = end;
    }
    return w->clock_offset_ms + GfTime_ToMs(now) + cell->settings.lease_ms;
}

/* Releases all tasks of a worker on which none of them can run any more. cause
 * is for the log. */
void
CellWorker_ReleaseTasks(Worker *w, const char *cause)
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
              "tasks lost worker=%s cause=%s tasks=%zu", w->info.id.data,
              cause, count);
    }
}

/* Keeps a task whose start may be carried out by a new incarnation of its
 * worker, as it was sent before that was known, or is late. The task is
 * neither lost nor free to start elsewhere, and its resources stay in use,
 * until an inventory lists it, or a stop order has kept it from being started.
 */
static void
keep_former_start(Task *task, struct timespec now)
{
    task->state = TASK_UNCONFIRMED;
    task->former_start = true;
    task->unconfirmed_since = now;
    task->stop_acked = false;
    task->stop_in_flight = false;
    task->stop_sent_at = (struct timespec){0};
    task->listed = false;
    task->inventory_number = 0;
}

/* Releases the tasks of a worker that ran in its former incarnation, and keeps
 * those that may run in the new one. Returns how many it has kept. */
static size_t
divide_tasks(Worker *w, struct timespec now)
{
    size_t released = 0;
    size_t kept = 0;
    Task *t;
    Task *tmp;
    DL_FOREACH_SAFE(w->tasks, t, tmp)
    {
        if (t->listed && !CellLateStart_IsPending(t, now)) {
            CellTask_Release(t);
            released++;
        }
        else {
            keep_former_start(t, now);
            kept++;
        }
    }
    if (released + kept > 0) {
        GfLog(GF_LOG_WARNING, CELL_PART,
              "tasks lost worker=%s cause=restarted tasks=%zu in_doubt=%zu",
              w->info.id.data, released, kept);
    }
    return kept;
}

/* Resets a worker's state for a new incarnation, which has none of the former
 * one's runs and completions, another clock, and perhaps another size. It gets
 * no tasks before the stored lease list names it and its row is read. */
void
CellWorker_BeginIncarnation(GfCell *cell, Worker *w, int64_t incarnation)
{
    struct timespec now = GfClock_Now(cell->clock);
    CellCrash_WorkerGone(cell, w, true);
    CellSpeed_Restarted(cell, w, now);
    CellFence_Restarted(cell, w);
    size_t kept = divide_tasks(w, now);
    CellWorker_ClearOrphans(cell, w);
    w->described = false;
    w->former_orders = true;
    w->info.incarnation = incarnation;
    w->incarnation_began_at = now;
    w->hold_in_flight = false;
    w->hold_failures = 0;
    w->applied_completion = 0;
    w->acked_completion = 0;
    w->pending_completion = 0;
    w->pending_seq = 0;
    w->inventory_clock_ms = 0;
    w->poll_in_flight = false;
    w->has_unseen_ends = false;
    w->contacted = false;
    w->has_clock = false;
    w->consecutive_failures = 0;
    w->unanswered_orders = 0;
    w->has_success = false;
    w->lease_until = kept == 0
                         ? (struct timespec){0}
                         : GfTime_AddMs(now, CellWorker_ForeignLeaseMs(cell) +
                                                 CELL_LATE_ORDER_MS);
    w->poll_wanted = kept > 0;
    w->next_hold_at = (struct timespec){0};
    w->in_stored_list = false;
    w->in_commit = false;
    w->lease_frozen = false; /* the list's end is that of the former one */
    cell->lease_list_dirty = cell->lease_list_dirty || w->in_lease_list;
    cell->dirty = true;
}

/* Returns whether an incarnation has begun so recently that orders of a former
 * owner for the one before may have reached it. */
static bool
is_young(int64_t incarnation)
{
    return GfTime_WallMs() - incarnation < YOUNG_MS;
}

/* Adds a worker that has not answered yet. info is copied. */
static Worker *
add_worker(GfCell *cell, const GfWorkerInfo *info)
{
    Worker *w = calloc(1, sizeof(*w));
    if (w == NULL) {
        abort();
    }
    w->info = *info;
    w->serial = ++cell->next_serial;
    w->key = CellLateStart_WorkerKey(&info->id);
    w->token = cell->stored_version;
    HASH_ADD(hh, cell->workers, info.id.data, w->info.id.len, w);
    HASH_ADD(by_serial, cell->workers_by_serial, serial, sizeof(w->serial), w);
    cell->worker_count++;
    CellRemoved_Restore(cell, w);
    return w;
}

/* Adds or updates a worker from a row of the platform's table. A row of an
 * older incarnation is ignored; one of a newer incarnation resets the
 * worker. */
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
    else if (info->incarnation < w->info.incarnation) {
        return;
    }
    else if (info->incarnation > w->info.incarnation) {
        CellWorker_BeginIncarnation(cell, w, info->incarnation);
    }
    if (info->leaving &&
        (!w->info.leaving || info->remaining_ms != w->info.remaining_ms)) {
        w->leaves_at = GfTime_AddMs(GfClock_Now(cell->clock),
                                    info->remaining_ms > 0 ? info->remaining_ms
                                                           : LEAVE_NOTICE_MS);
    }
    if (w->info.leaving != info->leaving) {
        GfLog(GF_LOG_INFO, CELL_PART,
              "worker leaving state changed worker=%s leaving=%d",
              info->id.data, info->leaving);
    }
    if (!w->listed) {
        w->listed_at = GfClock_Now(cell->clock);
    }
    w->info = *info;
    w->listed = true;
    w->described = true;
    w->former_orders = w->former_orders || (!cell->placement_started &&
                                            is_young(info->incarnation));
    cell->dirty = true;
    CellCrash_WorkerSeen(cell, w, false);
}

/* Adds a worker that the stored list names, unless it is known. The list may
 * name a newer incarnation than the row of the table that was read before;
 * then the worker gets no tasks before its new row is read, as its capacity
 * may differ. */
static Worker *
add_from_list(GfCell *cell, const GfWorkerInfo *info)
{
    Worker *w = NULL;
    HASH_FIND(hh, cell->workers, info->id.data, info->id.len, w);
    if (w == NULL) {
        w = add_worker(cell, info);
    }
    else if (info->incarnation > w->info.incarnation) {
        CellWorker_BeginIncarnation(cell, w, info->incarnation);
        w->info.port = info->port;
        memcpy(w->info.address, info->address, sizeof(info->address));
        w->listed = false;
    }
    w->former_orders = w->former_orders || is_young(w->info.incarnation);
    return w;
}

/* Adds a worker, unless it is known, and records that a former owner granted
 * it a lease. It may have left the platform's table and still run tasks. The
 * stored list names this incarnation already, so it may get tasks before this
 * owner's first commit. info is copied. */
void
GfCell_AddLeasedWorker(GfCell *cell, const GfWorkerInfo *info)
{
    Worker *w = add_from_list(cell, info);
    w->former_lease = true;
    w->in_lease_list = true;
    w->in_stored_list = info->incarnation == w->info.incarnation;
    cell->lease_list_dirty = cell->lease_list_dirty || !w->in_stored_list;
}

/* Adds a worker, unless it is known, and records that the former owner had
 * closed it with only these tasks there; only they are uncertain, and not
 * longer than until expires_ms on the shared clock, unless that is 0. info and
 * tasks are copied. */
void
GfCell_AddClosedWorker(GfCell *cell, const GfWorkerInfo *info,
                       const GfInheritedTask *tasks, size_t count,
                       int64_t expires_ms)
{
    Worker *w = add_from_list(cell, info);
    w->closed = true;
    w->inherited = calloc(count + 1, sizeof(GfInheritedTask));
    if (w->inherited == NULL) {
        abort();
    }
    memcpy(w->inherited, tasks, count * sizeof(GfInheritedTask));
    w->inherited_count = count;
    for (size_t i = 0; i < count; i++) {
        CellCrash_Remember(cell, info, &tasks[i].task, tasks[i].confirmed);
    }
    w->expires_ms = expires_ms;
    w->expiry_wanted = expires_ms > 0;
    w->lease_frozen = expires_ms > 0;
}

/* Records that a worker left the platform's table. Its runs are still tracked
 * until its lease has expired. */
void
GfCell_UnlistWorker(GfCell *cell, const GfName *id)
{
    Worker *w = NULL;
    HASH_FIND(hh, cell->workers, id->data, id->len, w);
    if (w != NULL && w->listed) {
        w->listed = false;
        cell->dirty = true;
        GfLog(GF_LOG_INFO, CELL_PART,
              "worker removed from platform table worker=%s", id->data);
    }
}

/* Applies GfCell_UnlistWorker to all workers that a complete read of the
 * platform's table does not contain. */
void
GfCell_UnlistMissingWorkers(GfCell *cell, const GfTableRow *rows, size_t count)
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

/* Returns whether all workers with a lease of a former owner have answered in
 * this term. */
bool
GfCell_AllContacted(const GfCell *cell)
{
    for (const Worker *w = cell->workers; w != NULL; w = w->hh.next) {
        if (w->former_lease && !w->contacted) {
            return false;
        }
    }
    return true;
}

/* Returns whether enough workers have answered for a new owner to place tasks,
 * loaded_ms after it has loaded its state. Until most of them have, placement
 * would crowd new tasks on the few that were quickest; the others must not
 * hold the work back. A task that may still run on a worker without an answer
 * waits longer in any case. */
bool
GfCell_MayBeginPlacement(const GfCell *cell, int64_t loaded_ms)
{
    size_t leased = 0;
    size_t contacted = 0;
    for (const Worker *w = cell->workers; w != NULL; w = w->hh.next) {
        leased += w->former_lease;
        contacted += w->former_lease && w->contacted;
    }
    bool most = contacted * PERCENT >= leased * MOST_PERCENT;
    return contacted == leased || (most && loaded_ms > ALL_CONTACT_WAIT_MS) ||
           loaded_ms > CONTACT_WAIT_MS;
}

/* Returns how long in ms a worker may delay its answer to a hold call where
 * quick tasks run. A lost call must be noticed soon there, but the calls of
 * all workers together must leave the owner time for its other work. */
static int
quick_wait_ms(const GfCell *cell)
{
    size_t ms = cell->worker_count * MS_PER_S / MAX_QUICK_HOLDS_PER_S;
    ms = ms > HOLD_QUICK_WAIT_MS ? ms : HOLD_QUICK_WAIT_MS;
    return ms < HOLD_WAIT_MS ? (int)ms : HOLD_WAIT_MS;
}

/* Returns whether quick tasks run on a worker. */
static bool
runs_quick_tasks(const Worker *w)
{
    const Task *t;
    DL_FOREACH(w->tasks, t)
    {
        if (t->step->job->work_class == 0) {
            return true;
        }
    }
    return false;
}

/* Returns whether two times are equal. A hold order is identified by the time
 * at which it was sent. */
static bool
same_time(struct timespec a, struct timespec b)
{
    return !GfTime_Before(a, b) && !GfTime_Before(b, a);
}

/* Returns the pause in ms after a failed hold call. It grows with each
 * failure, but not while all jobs of a former owner wait for the worker: one
 * that refuses a part of its calls answers soon if it is called often. Nor
 * does it while a new incarnation has not answered with its token. */
static int64_t
retry_pause_ms(const GfCell *cell, const Worker *w)
{
    int64_t tries = w->hold_failures < HOLD_RETRY_STEPS ? w->hold_failures
                                                        : HOLD_RETRY_STEPS;
    int64_t ms = HOLD_RETRY_MS * tries;
    if (w->token_unseen) {
        return HOLD_RETRY_MS;
    }
    if (!w->former_lease || w->contacted || !cell->in_uncertainty_period) {
        return ms;
    }
    int64_t shared = (int64_t)CellFormer_CountUnheard(cell) * MS_PER_S /
                     MAX_UNHEARD_CALLS_PER_S;
    shared = shared > UNHEARD_RETRY_MS ? shared : UNHEARD_RETRY_MS;
    return shared < ms ? shared : ms;
}

/* Handles the outcome of a hold order, sent as a hold call or by
 * CellWorker_Poll; serial and sent_at are those of the order. inventory is set
 * if the result is GF_ORDER_DONE and stays the caller's. */
void
GfCell_HoldDone(GfCell *cell, uint32_t serial, struct timespec sent_at,
                GfOrderResult result, const GfInventory *inventory)
{
    Worker *w = CellWorker_Find(cell, serial);
    if (w == NULL) {
        return;
    }
    struct timespec now = GfClock_Now(cell->clock);
    if (CellFence_HoldEndsTerm(cell, w, result, sent_at)) {
        return;
    }
    if (GfTime_Before(sent_at, w->incarnation_began_at)) {
        return; /* meant for a former incarnation */
    }
    if (result == GF_ORDER_DONE &&
        inventory->incarnation == w->info.incarnation) {
        CellFence_HoldAnswered(cell, w, sent_at);
    }
    if (!w->hold_in_flight || !same_time(sent_at, w->hold_sent_at)) {
        /* The outcome of an inventory request by CellWorker_Poll. */
        w->poll_in_flight = false;
        if (result == GF_ORDER_DONE) {
            CellInventory_Apply(cell, w, sent_at, inventory);
        }
        else {
            w->poll_wanted = true;
        }
        return;
    }
    w->hold_in_flight = false;
    if (result == GF_ORDER_OTHER_INCARNATION) {
        /* Another worker answers at the address, so this one is gone. */
        CellCrash_WorkerGone(cell, w, false);
        CellWorker_ReleaseTasks(w, "gone");
        w->contacted = true;
        w->listed = false;
    }
    if (result != GF_ORDER_DONE) {
        if (w->hold_failures == 0) {
            CellSpeed_Lost(cell, w, now);
        }
        w->hold_failures++;
        w->next_hold_at = GfTime_AddMs(now, retry_pause_ms(cell, w));
        return;
    }
    w->hold_failures = 0;
    w->last_contact_at = now;
    CellInventory_Apply(cell, w, sent_at, inventory);
    w->next_hold_at = now;
    if (w->applied_completion > w->acked_completion) {
        w->next_hold_at =
            GfTime_AddMs(now, runs_quick_tasks(w) ? HOLD_UNSTORED_QUICK_MS
                                                  : HOLD_UNSTORED_MS);
    }
    else if (w->orphan_count + w->unidentified_runs > 0) {
        w->next_hold_at = GfTime_AddMs(now, HOLD_ORPHAN_MS);
    }
}

/* Requests a worker's inventory at once, in parallel to a hold call that the
 * worker has not answered yet. If such a request is already pending, another
 * one follows it. */
void
CellWorker_Poll(GfCell *cell, Worker *w)
{
    w->poll_wanted = true;
    if (w->poll_in_flight) {
        return;
    }
    w->poll_wanted = false;
    w->poll_in_flight = true;
    GfHoldOrder order = {.target = CellTask_Target(w),
                         .acked =
                             w->hold_failures == 0 ? w->acked_completion : 0,
                         .sent_at = GfClock_Now(cell->clock)};
    cell->ops->hold(cell->ctx, &order);
}

/* Sends a hold call: extends the worker's lease, acknowledges completions and
 * requests an inventory. Nothing is acknowledged after a failed call, since
 * the worker may be in a new incarnation that numbers its completions from the
 * start again. */
static void
send_hold(GfCell *cell, Worker *w, struct timespec now)
{
    /* A worker that is not contacted yet may list further completions only
     * after the first ones are acknowledged. */
    bool reachable = w->has_clock && w->hold_failures == 0;
    GfHoldOrder order = {.target = CellTask_Target(w)};
    /* A call without an answer may extend the lease all the same; after a
     * failed one no extension is requested, so that the lease expires if the
     * worker is gone. */
    order.until_ms =
        w->hold_failures == 0 ? CellWorker_ExtendLease(cell, w, now) : 0;
    order.acked = reachable ? w->acked_completion : 0;
    bool shows_token = w->token_unseen && !w->token_wanted;
    bool nothing_pending = !w->has_unseen_ends && !shows_token &&
                           w->applied_completion == w->acked_completion &&
                           w->orphan_count + w->unidentified_runs == 0;
    int wait_ms = runs_quick_tasks(w) ? quick_wait_ms(cell) : HOLD_WAIT_MS;
    order.wait_ms = reachable && nothing_pending ? wait_ms : 0;
    order.sent_at = now;
    w->hold_sent_at = now;
    w->hold_in_flight = true;
    cell->ops->hold(cell->ctx, &order);
}

/* Removes a worker without tasks from the cell and frees it. Its id is
 * remembered for a while. */
static void
remove_worker(GfCell *cell, Worker *w)
{
    HASH_DELETE(hh, cell->workers, w);
    HASH_DELETE(by_serial, cell->workers_by_serial, w);
    cell->worker_count--;
    cell->lease_list_dirty = cell->lease_list_dirty || w->in_lease_list;
    CellWorker_ClearOrphans(cell, w);
    CellRemoved_Add(cell, w);
    free(w->inherited);
    free(w);
}

/* Returns whether the present incarnation of a worker may still carry out
 * orders that were meant for the one before. */
static bool
may_obey_former_orders(const Worker *w, struct timespec now)
{
    return w->token_unseen &&
           GfTime_DiffMs(now, w->incarnation_began_at) <= CELL_LATE_ORDER_MS;
}

/* Sends the hold calls and stop orders that are due, releases the tasks of
 * workers whose lease has expired, and removes workers that are gone. */
void
CellWorker_Tick(GfCell *cell, struct timespec now)
{
    Worker *w;
    Worker *tmp;
    HASH_ITER(hh, cell->workers, w, tmp)
    {
        if (w->contacted && may_obey_former_orders(w, now)) {
            CellWorker_AssumeForeignLease(cell, w);
        }
        if (w->tasks != NULL && GfTime_Before(w->lease_until, now)) {
            CellCrash_WorkerSilent(w);
            CellWorker_ReleaseTasks(w, "lease lapsed");
        }
        bool no_former_runs =
            w->inherited != NULL
                ? !GfTime_Before(now, CellLeaseEnd_Inherited(cell, w))
                : !cell->in_uncertainty_period;
        bool expired = GfTime_Before(w->lease_until, now) &&
                       (w->contacted || no_former_runs);
        if (!w->listed && w->tasks == NULL && expired && !w->hold_in_flight) {
            remove_worker(cell, w);
            continue;
        }
        if (!w->hold_in_flight && !GfTime_Before(now, w->next_hold_at)) {
            send_hold(cell, w, now);
        }
        CellTask_SendStops(w, now);
        CellLateStart_Repeat(cell, w, now);
        bool asks_slowly = w->token_unseen && !w->token_wanted &&
                           GfTime_DiffMs(now, w->hold_sent_at) > HOLD_RETRY_MS;
        if (!w->poll_in_flight &&
            (asks_slowly || (w->poll_wanted && w->tasks != NULL))) {
            CellWorker_Poll(cell, w);
        }
    }
    CellRemoved_Forget(cell, &now);
    CellFormer_Tick(cell, now);
    CellCrash_PresumeLost(cell, now);
    CellCrash_Judge(cell, now);
    CellCrash_Forget(cell, &now);
}

/* Returns whether a worker is closed: it gets no more tasks, and the stored
 * lease list names those it has, so that the next owner waits for the worker
 * with these tasks only. That holds for workers that do not answer and for
 * those that leave, which may be gone before the next owner can ask them. A
 * worker with a run that no task here accounts for is not closed, since its
 * list of tasks would be incomplete. One that has not answered in this term
 * stays as the former owner left it. */
static bool
is_closed(const Worker *w)
{
    if (!w->contacted) {
        return w->closed;
    }
    return (w->hold_failures >= UNRESPONSIVE_AFTER_FAILURES ||
            w->info.leaving) &&
           w->orphan_count + w->unidentified_runs == 0;
}

/* Decides which workers belong to the stored lease list, those that hold or
 * may get a lease, which of them are closed, and for which of these the list
 * gives the end of the lease. A worker whose latest hold
 * call failed, or that left the platform's table, is left out once its lease
 * has expired, so that the next owner does not wait for it. */
void
CellWorker_UpdateList(GfCell *cell, struct timespec now)
{
    for (Worker *w = cell->workers; w != NULL; w = w->hh.next) {
        bool expired = (w->hold_failures > 0 || !w->listed) &&
                       w->tasks == NULL && w->contacted &&
                       GfTime_Before(w->lease_until, now);
        bool inherited = w->inherited != NULL &&
                         GfTime_Before(now, CellLeaseEnd_Inherited(cell, w));
        bool wanted = w->contacted ? !expired
                                   : w->former_lease || inherited ||
                                         GfTime_Before(now, w->lease_until);
        bool closed = is_closed(w);
        if (wanted && closed != w->closed) {
            w->closed = closed;
            w->in_stored_list = false;
            cell->lease_list_dirty = true;
        }
        bool expiry_wanted = closed && CellLeaseEnd_IsKnown(cell, w);
        if (wanted && expiry_wanted != w->expiry_wanted) {
            w->expiry_wanted = expiry_wanted;
            cell->lease_list_dirty = true;
        }
        if (w->in_lease_list != wanted) {
            w->in_lease_list = wanted;
            w->in_stored_list = w->in_stored_list && wanted;
            cell->lease_list_dirty = true;
        }
    }
}
