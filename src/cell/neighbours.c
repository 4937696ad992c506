/* Tasks that share a worker and slow each other down, for the load of tasks
 * with a latency target that leave processors idle beside batch and backfill
 * work. Measures how long tasks run, and how their tails are, beside which
 * others, makes placement prefer workers where they do not slow each other,
 * and lets backfill tasks run beside tasks with a latency target at a pace
 * that keeps the tails below the targets. A backfill task starts there at a
 * low pace that is raised while the tails are low, is slowed at once when one
 * comes near its target, and is stopped if that does not help. */
#include <math.h>
#include <stdlib.h>

#include <utlist.h>

#include "cell_private.h"
#include "guavaflow/log.h"
#include "guavaflow/metrics.h"

#define PACE_FULL 100
#define PACE_UNKNOWN (-1)
/* Pace at which a backfill task starts beside a task with a latency target,
 * and by which it is raised. A lower pace than PACE_MIN is set to 0. */
#define PACE_START 25
#define PACE_STEP 25
#define PACE_MIN 10
/* Shares of a target: a tail above the first is near it, and paces are cut;
 * only with all tails below the second are paces raised and backfill tasks
 * started. */
#define TAIL_NEAR 0.85
#define TAIL_CALM 0.7
/* Reported tails cover the last half second; a change of pace shows in them
 * after that and the time that the worker takes for it. */
#define SETTLE_MS 700
#define RAISE_INTERVAL_MS 1500
/* Backfill tasks are stopped if a tail is over its target for this long. With
 * the time to notice and to stop it is well below four seconds, the time for
 * which a task may be slowed beyond its target. */
#define STOP_OVER_MS 1200
/* A backfill task that stays at pace 0 is stopped after this, as it only takes
 * up memory. */
#define PARK_MS 6000
/* Pauses after a cut before a raise, and after a stop before a start. They
 * double with each, and begin anew after a time without any. */
#define RAISE_PAUSE_MS 2000
#define RAISE_PAUSE_MAX_MS 32000
#define FILL_PAUSE_MS 8000
#define FILL_PAUSE_MAX_MS 64000
#define CALM_AGAIN_MS 30000
/* Without an inventory for this long backfill tasks are paced to 0, then
 * stopped; those that would start need one that is not older than the last. */
#define STALE_MS 1500
#define STALE_STOP_MS 3000
#define FRESH_MS 2000
/* No backfill task starts beside a task with a latency target this soon after
 * a takeover. */
#define TAKEOVER_MS 3000
/* Interval of inventories of workers where both share, the shorter one if a
 * tail is above POLL_TAIL or a pace was changed lately. */
#define POLL_MS 400
#define POLL_CALM_MS 700
#define POLL_TAIL 0.5
#define POLL_RECENT_MS 2000
/* Pause before an order that was not carried out is sent again, and before one
 * that did not help is repeated: a late order may have undone it. */
#define REPEAT_MS 200
#define REFRESH_MS 500
/* Interval of updates of the estimates, and of the tails taken from one
 * worker. */
#define UPDATE_MS 500
#define SAMPLE_MS 400
/* A growth of tails is expected to be at most this many standard deviations
 * above its mean. */
#define CERTAIN_DEVIATIONS 2.0
/* Costs in placing: the lengthening at which it is highest; of a task with a
 * latency target and a backfill task on one worker, plus a part of the tail;
 * and the highest. */
#define FULL_COST_LENGTHENING 0.5
#define MIX_COST 0.5
#define MIX_TAIL_COST 0.4
#define MAX_COST 0.98
/* Pairs in the description, and teams named for each. */
#define LISTED_PAIRS 10
#define LISTED_TEAMS 4

/* How a task on a worker shares it. */
struct TaskSharing {
    GfTaskClass class;
    GfTaskClass beside[GF_INTERFERENCE_BESIDE];
    double beside_ms[GF_INTERFERENCE_BESIDE]; /* weighted with the pace */
    size_t beside_count;
    bool resumed;   /* its run time is not that of the whole task */
    int64_t tail;   /* latest tail latency in ms; 0: not known */
    int pace;       /* in percent, as acknowledged; PACE_UNKNOWN */
    int wanted;     /* in percent */
    int sent;       /* that of the order without an outcome */
    bool in_flight; /* an order has no outcome yet */
    struct timespec sent_at;
};

/* Returns whether a time is set. */
static bool
is_set(struct timespec t)
{
    return t.tv_sec != 0 || t.tv_nsec != 0;
}

/* Returns whether the task has a latency target. */
static bool
is_serving(const Task *task)
{
    return task->step->spec->latency_target_ms > 0;
}

/* Returns whether the task is a backfill task whose pace is controlled. Left
 * out are long-running ones, as stopping them could interrupt more than their
 * step allows, and those with a latency target. */
static bool
is_paced(const Task *task)
{
    const GfStepSpec *spec = task->step->spec;
    return task->sharing != NULL && spec->backfill && !spec->long_running &&
           !is_serving(task) && !task->stopping;
}

/* Returns whether backfill tasks and tasks with a latency target share the
 * worker. */
static bool
is_shared(const Worker *w)
{
    return w->backfill_tasks > 0 && w->latency_tasks > 0;
}

/* Returns a task's pace as a part of the full one; full if it is unknown. */
static double
pace_part(const TaskSharing *s)
{
    return s->pace == PACE_UNKNOWN ? 1 : (double)s->pace / PACE_FULL;
}

/* Returns the class of a step's tasks: what they run or, if that is not known,
 * their queue, team and kind. */
static GfTaskClass
class_of(const Step *step, struct timespec now)
{
    const GfStepSpec *spec = step->spec;
    const Job *job = step->job;
    if (spec->image.len > 0) {
        return GfInterference_Class(job->cell->interference, &spec->image,
                                    now);
    }
    const char *kind = "task";
    if (spec->latency_target_ms > 0) {
        kind = "serving";
    }
    else if (spec->backfill) {
        kind = "backfill";
    }
    GfName name =
        GfName_Format("%.26s/%.26s/%s", job->queue.data, job->team.data, kind);
    return GfInterference_Class(job->cell->interference, &name, now);
}

/* Adds presence to the entry of a class in a sample; ignored if the sample has
 * no space for another class. */
static void
add_beside(GfInterferenceSample *sample, GfTaskClass class, double presence)
{
    size_t i = 0;
    while (i < sample->beside_count && sample->beside[i].class != class) {
        i++;
    }
    if (i == GF_INTERFERENCE_BESIDE || class == 0) {
        return;
    }
    if (i == sample->beside_count) {
        sample->beside[sample->beside_count++] = (GfBeside){.class = class};
    }
    sample->beside[i].presence += presence;
}

/* Adds ms to the time that a task had a class beside it. */
static void
add_time(TaskSharing *s, GfTaskClass class, double ms)
{
    size_t i = 0;
    while (i < s->beside_count && s->beside[i] != class) {
        i++;
    }
    if (i == GF_INTERFERENCE_BESIDE) {
        return;
    }
    if (i == s->beside_count) {
        s->beside[s->beside_count++] = class;
        s->beside_ms[i] = 0;
    }
    s->beside_ms[i] += ms;
}

/* Counts the time since the last call for which the worker's tasks were beside
 * each other. To be called before tasks or paces change. */
static void
accrue(Worker *w, struct timespec now)
{
    double ms = (double)GfTime_DiffMs(now, w->sharing.accrued_at);
    w->sharing.accrued_at = now;
    const Task *t;
    const Task *o;
    DL_FOREACH(w->tasks, t)
    {
        if (t->sharing == NULL || is_serving(t) || t->step->spec->backfill) {
            continue;
        }
        DL_FOREACH(w->tasks, o)
        {
            if (o != t && o->sharing != NULL && o->sharing->class != 0) {
                add_time(t->sharing, o->sharing->class,
                         ms * pace_part(o->sharing));
            }
        }
    }
}

/* Sets the pace that a backfill task should have. */
static void
want_pace(Task *t, int percent, struct timespec now)
{
    if (t->sharing->wanted == percent) {
        return;
    }
    if (percent < t->sharing->wanted) {
        GfMetrics_Add(GF_METRIC_BACKFILL_PACED, 1);
    }
    t->sharing->wanted = percent;
    t->worker->sharing.paced_at = now;
}

/* Sets the pace of all backfill tasks on a worker to 0. */
static void
pause_backfill(Worker *w, struct timespec now)
{
    Task *t;
    DL_FOREACH(w->tasks, t)
    {
        if (is_paced(t)) {
            want_pace(t, 0, now);
        }
    }
}

/* Ends the observation of a task that is about to be released. */
void
CellNeighbours_Released(Task *task)
{
    GfCell *cell = task->step->job->cell;
    if (cell->interference != NULL) {
        accrue(task->worker, GfClock_Now(cell->clock));
        free(task->sharing);
        task->sharing = NULL;
    }
}

/* Records how long a task that has completed took, relative to its estimate,
 * and what ran beside it. Left out are tasks that did not run as a whole on
 * their worker or whose time depends on other things: resumed runs, gangs and
 * backfill tasks. */
void
CellNeighbours_Completed(Task *task)
{
    GfCell *cell = task->step->job->cell;
    const GfStepSpec *spec = task->step->spec;
    const TaskSharing *s = task->sharing;
    if (s == NULL || s->resumed || spec->gang || spec->backfill ||
        spec->long_running || is_serving(task) || spec->estimate_ms <= 0 ||
        task->state != TASK_RUNNING) {
        return;
    }
    struct timespec now = GfClock_Now(cell->clock);
    accrue(task->worker, now);
    double ms = (double)GfTime_DiffMs(now, task->started_at);
    if (ms <= 0) {
        return;
    }
    GfInterferenceSample sample = {.victim = s->class,
                                   .worker = task->worker->serial,
                                   .log_value =
                                       log(ms / (double)spec->estimate_ms)};
    for (size_t i = 0; i < s->beside_count; i++) {
        add_beside(&sample, s->beside[i], s->beside_ms[i] / ms);
    }
    GfInterference_Observe(cell->interference, &sample);
}

/* Notes the tail latency in a run's row of an inventory. */
void
CellNeighbours_Report(Task *task, const GfRunRow *row)
{
    if (task->sharing != NULL && is_serving(task)) {
        task->sharing->tail = row->load > 0 ? row->load : 0;
    }
}

/* Passes the tails of a worker's tasks on, with what runs beside them. Tails
 * of the time of a change of pace are left out. */
static void
sample_tails(GfCell *cell, Worker *w, struct timespec now)
{
    if (GfTime_DiffMs(now, w->sharing.sampled_at) < SAMPLE_MS ||
        (is_shared(w) &&
         GfTime_DiffMs(now, w->sharing.paced_at) < SETTLE_MS)) {
        return;
    }
    w->sharing.sampled_at = now;
    const Task *t;
    const Task *o;
    DL_FOREACH(w->tasks, t)
    {
        if (t->sharing == NULL || !is_serving(t) || t->sharing->tail == 0) {
            continue;
        }
        GfInterferenceSample sample = {.victim = t->sharing->class,
                                       .worker = w->serial,
                                       .log_value =
                                           log((double)t->sharing->tail)};
        DL_FOREACH(w->tasks, o)
        {
            if (o != t && o->sharing != NULL && o->state == TASK_RUNNING) {
                add_beside(&sample, o->sharing->class, pace_part(o->sharing));
            }
        }
        GfInterference_Observe(cell->interference, &sample);
    }
}

/* Finds the tail that is the largest part of its target in the inventory that
 * was applied last. */
static void
find_worst_tail(Worker *w)
{
    w->sharing.worst_tail = 0;
    w->sharing.all_tails_known = true;
    const Task *t;
    DL_FOREACH(w->tasks, t)
    {
        if (!is_serving(t)) {
            continue;
        }
        if (t->sharing == NULL || t->sharing->tail == 0 ||
            t->inventory_number != w->inventory_number) {
            w->sharing.all_tails_known = false;
            continue;
        }
        double tail = (double)t->sharing->tail /
                      (double)t->step->spec->latency_target_ms;
        if (tail > w->sharing.worst_tail) {
            w->sharing.worst_tail = tail;
        }
    }
}

/* Returns a task's expected tail, as a part of its target, after a backfill
 * task of a class has changed its pace by delta percent. */
static double
expected_tail(const Task *serving, GfTaskClass class, int delta,
              struct timespec now)
{
    const GfCell *cell = serving->step->job->cell;
    GfInterferencePair pair;
    double tail = (double)serving->sharing->tail /
                  (double)serving->step->spec->latency_target_ms;
    if (!GfInterference_Estimate(cell->interference, serving->sharing->class,
                                 class, now, &pair) ||
        pair.effect <= 0) {
        return tail;
    }
    return tail * exp(pair.effect * delta / PACE_FULL);
}

/* Returns whether all tails of a worker are expected to stay below a part of
 * their targets if a backfill task of a class changes its pace by delta
 * percent. */
static bool
is_borne(const Worker *w, GfTaskClass class, int delta, double part,
         struct timespec now)
{
    const Task *t;
    DL_FOREACH(w->tasks, t)
    {
        if (is_serving(t) && (t->sharing == NULL || t->sharing->tail == 0 ||
                              expected_tail(t, class, delta, now) >= part)) {
            return false;
        }
    }
    return true;
}

/* Returns the pace, in steps of PACE_STEP, up to which the evidence says with
 * some certainty that all tails on a worker stay low if a backfill task
 * of a class changes its pace; pace, its present one, if it says nothing. */
static int
borne_pace(const Worker *w, GfTaskClass class, int pace, struct timespec now)
{
    const GfCell *cell = w->tasks->step->job->cell;
    double left = INFINITY; /* by which the log of a tail may grow */
    double most = 0;        /* growth of it with the full pace */
    const Task *t;
    DL_FOREACH(w->tasks, t)
    {
        if (!is_serving(t)) {
            continue;
        }
        GfInterferencePair pair;
        if (t->sharing == NULL || t->sharing->tail == 0 ||
            !GfInterference_Estimate(cell->interference, t->sharing->class,
                                     class, now, &pair)) {
            return pace;
        }
        double tail = (double)t->sharing->tail /
                      (double)t->step->spec->latency_target_ms;
        double room = log(TAIL_CALM) - log(tail);
        double growth = pair.effect + CERTAIN_DEVIATIONS * pair.doubt;
        left = room < left ? room : left;
        most = growth > most ? growth : most;
    }
    int best = pace;
    while (best < PACE_FULL &&
           most * (best + PACE_STEP - pace) / PACE_FULL < left) {
        best += PACE_STEP;
    }
    return best < PACE_FULL ? best : PACE_FULL;
}

/* Returns the pause that follows pause: twice as long, or the first if the
 * event before it was long ago. */
static int64_t
next_pause(int64_t pause, int64_t first, int64_t most, bool calm)
{
    if (calm || pause == 0) {
        return first;
    }
    return pause * 2 < most ? pause * 2 : most;
}

/* Stops the backfill tasks on a worker, and lets none start there for a
 * time. */
static void
stop_backfill(Worker *w, const char *cause, struct timespec now)
{
    uint32_t stopped = 0;
    Task *t;
    DL_FOREACH(w->tasks, t)
    {
        if (is_paced(t)) {
            CellTask_Stop(t);
            stopped++;
        }
    }
    if (stopped == 0) {
        return;
    }
    WorkerSharing *s = &w->sharing;
    bool calm = GfTime_DiffMs(now, s->fill_again_at) > CALM_AGAIN_MS;
    s->fill_pause_ms =
        next_pause(s->fill_pause_ms, FILL_PAUSE_MS, FILL_PAUSE_MAX_MS, calm);
    s->fill_again_at = GfTime_AddMs(now, s->fill_pause_ms);
    GfMetrics_Add(GF_METRIC_BACKFILL_MOVED, stopped);
    GfLog(GF_LOG_INFO, CELL_PART,
          "backfill stopped beside serving tasks worker=%s cause=%s tasks=%u "
          "tail_percent=%d pause_ms=%lld",
          w->info.id.data, cause, stopped, (int)(s->worst_tail * PACE_FULL),
          (long long)s->fill_pause_ms);
    CellTask_SendStops(w, now);
}

/* Lowers the paces of the backfill tasks on a worker: to 0, or to half. */
static void
cut_paces(Worker *w, bool to_zero, struct timespec now)
{
    WorkerSharing *s = &w->sharing;
    bool changed = false;
    Task *t;
    DL_FOREACH(w->tasks, t)
    {
        if (!is_paced(t) || t->sharing->wanted == 0) {
            continue;
        }
        int half = t->sharing->wanted / 2;
        want_pace(t, to_zero || half < PACE_MIN ? 0 : half, now);
        changed = true;
    }
    if (changed) {
        bool calm = GfTime_DiffMs(now, s->cut_at) > CALM_AGAIN_MS;
        s->raise_pause_ms = next_pause(s->raise_pause_ms, RAISE_PAUSE_MS,
                                       RAISE_PAUSE_MAX_MS, calm);
        s->raise_at = GfTime_AddMs(now, s->raise_pause_ms);
        s->cut_at = now;
    }
}

/* Raises the paces of the backfill tasks on a worker where the tails are
 * expected to bear it: by PACE_STEP, or more where the evidence allows it. */
static void
raise_paces(Worker *w, struct timespec now)
{
    Task *t;
    DL_FOREACH(w->tasks, t)
    {
        if (!is_paced(t) || t->sharing->wanted >= PACE_FULL ||
            !is_borne(w, t->sharing->class, PACE_STEP, TAIL_NEAR, now)) {
            continue;
        }
        int next = t->sharing->wanted + PACE_STEP;
        int borne = borne_pace(w, t->sharing->class, t->sharing->wanted, now);
        next = borne > next ? borne : next;
        want_pace(t, next < PACE_FULL ? next : PACE_FULL, now);
    }
}

/* Stops backfill tasks that have been at pace 0 for PARK_MS. */
static void
stop_parked(Worker *w, struct timespec now)
{
    const Task *t;
    DL_FOREACH(w->tasks, t)
    {
        if (is_paced(t) && t->sharing->wanted == 0 &&
            GfTime_DiffMs(now, w->sharing.paced_at) >= PARK_MS) {
            stop_backfill(w, "no room", now);
            return;
        }
    }
}

/* Adapts the paces of backfill tasks to the tails that a worker has just
 * reported. */
static void
steer(Worker *w, struct timespec now)
{
    WorkerSharing *s = &w->sharing;
    if (s->worst_tail >= 1) {
        if (!is_set(s->over_since)) {
            s->over_since = now;
        }
        cut_paces(w, true, now);
        if (GfTime_DiffMs(now, s->over_since) >= STOP_OVER_MS) {
            stop_backfill(w, "tail over target", now);
        }
        return;
    }
    s->over_since = (struct timespec){0};
    if (!s->all_tails_known) {
        pause_backfill(w, now);
    }
    else if (s->worst_tail >= TAIL_NEAR) {
        if (GfTime_DiffMs(now, s->paced_at) >= SETTLE_MS) {
            cut_paces(w, false, now);
        }
    }
    else if (s->worst_tail < TAIL_CALM && !GfTime_Before(now, s->raise_at) &&
             GfTime_DiffMs(now, s->paced_at) >= RAISE_INTERVAL_MS) {
        raise_paces(w, now);
    }
    stop_parked(w, now);
}

/* Begins to observe a task that was assigned to a worker. The pace of a run
 * that a former owner started is unknown; beside a task with a latency target
 * it is set to 0 until the tails are known. */
void
CellNeighbours_Assigned(Task *task)
{
    GfCell *cell = task->step->job->cell;
    if (cell->interference == NULL) {
        return;
    }
    Worker *w = task->worker;
    struct timespec now = GfClock_Now(cell->clock);
    accrue(w, now);
    TaskSharing *s = calloc(1, sizeof(*s));
    if (s == NULL) {
        abort();
    }
    bool adopted = task->state == TASK_RUNNING;
    s->class = class_of(task->step, now);
    s->resumed = adopted || task->checkpoint != NULL;
    s->pace = adopted ? PACE_UNKNOWN : PACE_FULL;
    s->wanted = PACE_FULL;
    free(task->sharing);
    task->sharing = s;
    if (!is_shared(w)) {
        return;
    }
    if (is_serving(task) || adopted) {
        pause_backfill(w, now);
    }
    else if (task->step->spec->backfill) {
        int borne = borne_pace(w, s->class, 0, now);
        s->wanted = borne > PACE_START ? borne : PACE_START;
        w->sharing.paced_at = now;
    }
}

/* Uses the tails in an inventory that was applied. What runs beside them is as
 * the inventory lists it. */
void
CellNeighbours_InventoryApplied(Worker *w)
{
    if (w->tasks == NULL || w->tasks->step->job->cell->interference == NULL) {
        w->sharing.worst_tail = 0;
        return;
    }
    GfCell *cell = w->tasks->step->job->cell;
    struct timespec now = GfClock_Now(cell->clock);
    w->sharing.reported_at = now;
    find_worst_tail(w);
    if (w->latency_tasks > 0) {
        sample_tails(cell, w, now);
    }
    if (is_shared(w)) {
        steer(w, now);
    }
}

/* Sends the pace orders that are due on a worker. */
static void
send_paces(GfCell *cell, Worker *w, struct timespec now)
{
    Task *t;
    DL_FOREACH(w->tasks, t)
    {
        TaskSharing *s = t->sharing;
        if (!is_paced(t) || t->state != TASK_RUNNING || s->in_flight) {
            continue;
        }
        int64_t ms = GfTime_DiffMs(now, s->sent_at);
        bool refresh = is_set(w->sharing.over_since) && s->wanted == 0 &&
                       ms >= REFRESH_MS;
        if (!refresh && (s->pace == s->wanted || ms < REPEAT_MS)) {
            continue;
        }
        s->in_flight = true;
        s->sent = s->wanted;
        s->sent_at = now;
        GfPaceOrder order = {.target = CellTask_Target(w),
                             .task = CellTask_Id(t),
                             .run = t->run,
                             .percent = s->wanted};
        cell->ops->pace(cell->ctx, &order);
    }
}

/* Handles the outcome of a pace order; serial, id and run are those of the
 * order. An order that was not carried out, or may not have been, is sent
 * again. GF_ORDER_FENCED is passed to ops->fenced. */
void
GfCell_PaceDone(GfCell *cell, uint32_t serial, const GfTaskId *id, int64_t run,
                GfOrderResult result)
{
    Worker *w = CellWorker_Find(cell, serial);
    if (CellFence_EndsTerm(cell, w, &result)) {
        return;
    }
    if (w != NULL) {
        CellUnanswered_Record(w, result, GfClock_Now(cell->clock));
    }
    Task *task = CellJob_Task(cell, id);
    if (task == NULL || w == NULL || task->worker != w || task->run != run ||
        task->sharing == NULL) {
        return;
    }
    TaskSharing *s = task->sharing;
    if (!s->in_flight) {
        return;
    }
    accrue(w, GfClock_Now(cell->clock));
    s->in_flight = false;
    if (result == GF_ORDER_DONE) {
        s->pace = s->sent;
    }
    else if (result == GF_ORDER_UNKNOWN) {
        s->pace = PACE_UNKNOWN;
    }
}

/* Keeps the backfill tasks of a worker at their paces: where no task with a
 * latency target is left, the full one, unless runs are not known yet that may
 * have one; where the worker's inventory is not recent, 0. */
static void
tick_worker(GfCell *cell, Worker *w, struct timespec now)
{
    WorkerSharing *s = &w->sharing;
    if (!is_shared(w) && (w->unidentified_runs > 0 || !w->contacted)) {
        return;
    }
    if (!is_shared(w)) {
        s->over_since = (struct timespec){0};
        Task *t;
        DL_FOREACH(w->tasks, t)
        {
            if (is_paced(t)) {
                t->sharing->wanted = PACE_FULL;
            }
        }
        send_paces(cell, w, now);
        return;
    }
    int64_t age_ms = GfTime_DiffMs(now, s->reported_at);
    if (age_ms >= STALE_STOP_MS) {
        stop_backfill(w, "no inventory", now);
    }
    else if (age_ms >= STALE_MS) {
        cut_paces(w, true, now);
    }
    bool quick = s->worst_tail > POLL_TAIL ||
                 GfTime_DiffMs(now, s->paced_at) < POLL_RECENT_MS;
    if (w->contacted && !w->poll_in_flight && !w->poll_wanted &&
        age_ms >= (quick ? POLL_MS : POLL_CALM_MS)) {
        CellWorker_Poll(cell, w);
    }
    send_paces(cell, w, now);
}

/* Logs a pair that is established or dropped. */
static void
log_pair(void *ctx, const GfInterferencePair *pair)
{
    (void)ctx;
    GfLog(GF_LOG_INFO, CELL_PART,
          "interference %s victim=%s disturber=%s factor=%.2f doubt=%.2f",
          pair->established ? "established" : "dropped", pair->victim.data,
          pair->disturber.data, exp(pair->effect), pair->doubt);
}

/* Applies what was observed, and controls the paces of backfill tasks. */
void
CellNeighbours_Tick(GfCell *cell, struct timespec now)
{
    if (cell->interference == NULL) {
        return;
    }
    if (GfTime_DiffMs(now, cell->interference_updated_at) >= UPDATE_MS) {
        cell->interference_updated_at = now;
        GfInterference_Update(cell->interference, now, log_pair, NULL);
        GfMetrics_Set(GF_METRIC_INTERFERENCE_PAIRS,
                      GfInterference_EstablishedCount(cell->interference));
    }
    size_t shared = 0;
    for (Worker *w = cell->workers; w != NULL; w = w->hh.next) {
        if (w->backfill_tasks > 0) {
            shared += is_shared(w);
            tick_worker(cell, w, now);
        }
    }
    GfMetrics_Set(GF_METRIC_BACKFILL_SHARED, shared);
}

/* Returns whether a backfill task may start beside the tasks with a latency
 * target on a worker: their tails are known, low, and expected to stay so at
 * full pace, which it has until its first pace order has taken effect. */
static bool
may_fill(const GfCell *cell, const Worker *w, const Step *step)
{
    struct timespec now = GfClock_Now(cell->clock);
    const WorkerSharing *s = &w->sharing;
    return !cell->in_uncertainty_period &&
           GfTime_DiffMs(now, cell->created_at) >= TAKEOVER_MS &&
           !GfTime_Before(now, s->fill_again_at) &&
           GfTime_DiffMs(now, s->reported_at) < FRESH_MS &&
           s->all_tails_known && s->worst_tail < TAIL_CALM &&
           is_borne(w, class_of(step, now), PACE_FULL, TAIL_NEAR, now);
}

/* Returns whether a task of the step may start on a worker although one of
 * them is a backfill task and the others have latency targets, or the other
 * way round. A task with a latency target may, as the backfill tasks there are
 * paused for it. Backfill tasks that are not paced never share. */
bool
CellNeighbours_MayShare(const Worker *w, const Step *step)
{
    const GfCell *cell = step->job->cell;
    if (cell->interference == NULL || step->spec->gang) {
        return false;
    }
    if (step->spec->backfill) {
        return step->spec->latency_target_ms <= 0 &&
               !step->spec->long_running && may_fill(cell, w, step);
    }
    uint32_t paced = 0;
    const Task *t;
    DL_FOREACH(w->tasks, t)
    {
        paced += is_paced(t) && !t->step->spec->gang;
    }
    return paced == w->backfill_tasks;
}

/* Returns by how much a task of the step and those on a worker would slow each
 * other, at most MAX_COST; 0 if nothing is known. */
double
CellNeighbours_Cost(const Worker *w, const Step *step)
{
    const GfCell *cell = step->job->cell;
    if (cell->interference == NULL) {
        return 0;
    }
    double cost = 0;
    if (step->spec->backfill && w->latency_tasks > 0) {
        cost = MIX_COST + MIX_TAIL_COST * w->sharing.worst_tail;
    }
    else if (step->spec->latency_target_ms > 0 && w->backfill_tasks > 0) {
        cost = MIX_COST;
    }
    if (GfInterference_EstablishedCount(cell->interference) > 0) {
        GfTaskClass class = class_of(step, GfClock_Now(cell->clock));
        double lengthening = 0;
        const Task *t;
        DL_FOREACH(w->tasks, t)
        {
            if (t->sharing != NULL) {
                lengthening += GfInterference_Lengthening(
                    cell->interference, class, t->sharing->class);
                lengthening += GfInterference_Lengthening(
                    cell->interference, t->sharing->class, class);
            }
        }
        cost += lengthening / FULL_COST_LENGTHENING;
    }
    return cost < MAX_COST ? cost : MAX_COST;
}

/* Counts the tasks of a class beside one of another class now, and adds up to
 * LISTED_TEAMS of their teams to a JSON array. */
static int
count_victims(const GfCell *cell, GfTaskClass victim, GfTaskClass disturber,
              json_t *teams)
{
    const GfName *listed[LISTED_TEAMS];
    size_t listed_count = 0;
    int count = 0;
    for (const Worker *w = cell->workers; w != NULL; w = w->hh.next) {
        const Task *t;
        const Task *o;
        DL_FOREACH(w->tasks, t)
        {
            if (t->sharing == NULL || t->sharing->class != victim) {
                continue;
            }
            bool beside = false;
            DL_FOREACH(w->tasks, o)
            {
                beside = beside || (o != t && o->sharing != NULL &&
                                    o->sharing->class == disturber);
            }
            count += beside;
            const GfName *team = &t->step->job->team;
            size_t i = 0;
            while (i < listed_count && !GfName_Equal(listed[i], team)) {
                i++;
            }
            if (beside && i == listed_count && i < LISTED_TEAMS) {
                listed[listed_count++] = team;
                json_array_append_new(teams, json_string(team->data));
            }
        }
    }
    return count;
}

/* Lists the heaviest established pairs, with the number of victims that share
 * a worker with the disturber now and their teams. The caller owns the
 * array. */
json_t *
CellNeighbours_Describe(const GfCell *cell)
{
    json_t *list = json_array();
    if (cell->interference == NULL) {
        return list;
    }
    struct timespec now = GfClock_Now(cell->clock);
    GfInterferencePair pairs[LISTED_PAIRS];
    size_t count =
        GfInterference_Heaviest(cell->interference, now, pairs, LISTED_PAIRS);
    for (size_t i = 0; i < count; i++) {
        const GfInterferencePair *p = &pairs[i];
        json_t *teams = json_array();
        int tasks = count_victims(
            cell, GfInterference_Class(cell->interference, &p->victim, now),
            GfInterference_Class(cell->interference, &p->disturber, now),
            teams);
        json_array_append_new(
            list,
            json_pack("{s:s,s:s,s:f,s:f,s:i,s:o}", "victim", p->victim.data,
                      "disturber", p->disturber.data, "factor", exp(p->effect),
                      "doubt", p->doubt, "tasks", tasks, "teams", teams));
    }
    return list;
}
