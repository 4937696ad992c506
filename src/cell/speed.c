/* Uneven workers: passes the progress of runs to decide/worker_speed.c, and
 * keeps work off workers that are believed slow or stuck. For the load of
 * workers of different speeds, of which some turn several times slower or stop
 * for seconds while quick jobs come: without this, such a worker keeps getting
 * tasks as it has free capacity, and each of them makes its job late. */
#include <utlist.h>

#include "cell_private.h"
#include "guavaflow/log.h"
#include "guavaflow/metrics.h"

/* Added to a worker's score in fit.c: a slow worker is worse than a free one
 * elsewhere or in another rack, and better than one where the task failed. */
#define SLOW_COST 3.5
#define UNSTEADY_COST 3.0
/* How much a usual speed of half counts in the score against a full share of
 * free processors: for the quickest class, for other work with an objective,
 * and for work whose end does not depend on the speed, which leaves the quick
 * workers to the others. */
#define QUICK_PREFERENCE 1.5
#define OBJECTIVE_PREFERENCE 0.75
#define LASTING_PREFERENCE (-0.25)
/* Most that the preference adds. */
#define MAX_PREFERENCE_COST 0.9
/* Pause between tasks that are started on a worker to find out its speed; the
 * progress of the first one is known by then. */
#define PROBE_PAUSE_MS 1000
/* A step that has waited for this long takes any worker, as long as much of
 * the capacity is free: no work is to wait beside free workers for long, also
 * if those that suit it are all slow. */
#define MAX_WAIT_MS 1500
/* From this share of processors in use on, capacity is short, and slow workers
 * are left to work that is in time there. */
#define BUSY_PERCENT 60
/* Interval at which workers in doubt are counted. */
#define CHECK_INTERVAL_MS 100
#define PERCENT 100

/* Returns whether a run shows the speed of its worker: it runs alone, to its
 * end, with processors of its own, near its data. */
static bool
shows_speed(const Worker *w, const Task *task)
{
    const GfStepSpec *spec = task->step->spec;
    return task->state == TASK_RUNNING && !task->stopping && !spec->gang &&
           !spec->long_running && !spec->backfill &&
           (spec->preferred_rack.len == 0 ||
            GfName_Equal(CellWorker_Rack(w), &spec->preferred_rack));
}

/* Returns what is known of the worker's kind, its first label. */
static GfSpeedKind *
find_kind(GfCell *cell, const Worker *w)
{
    static const GfName NONE;
    return GfSpeedKinds_Find(&cell->speed_kinds, w->info.label_count > 1
                                                     ? &w->info.labels[0]
                                                     : &NONE);
}

/* Records that a worker has confirmed the start of a task. */
void
CellSpeed_Started(Task *task, struct timespec now)
{
    const Worker *w = task->worker;
    GfRunProgress_Begin(&task->progress, task->checkpoint != NULL,
                        GfTime_ToMs(now) + w->clock_offset_ms);
}

/* Prepares for the rows of an inventory, whose time is set in the worker. */
void
CellSpeed_BeginInventory(GfCell *cell, Worker *w, struct timespec now)
{
    if (cell->settings.features.worker_speeds) {
        GfWorkerSpeed_BeginInventory(&w->speed, find_kind(cell, w), now);
    }
}

/* Applies the percent that an inventory lists for a task's current run. */
void
CellSpeed_Listed(GfCell *cell, Worker *w, Task *task, int percent,
                 struct timespec now)
{
    if (!cell->settings.features.worker_speeds) {
        return;
    }
    Step *step = task->step;
    GfSpeedSample sample = {.step = (uint64_t)(uintptr_t)step,
                            .step_ran_well = step->ran_well};
    if (GfRunProgress_Measure(&task->progress, step->spec->estimate_ms,
                              percent, w->inventory_clock_ms, &sample) &&
        shows_speed(w, task) &&
        GfWorkerSpeed_Observe(&w->speed, find_kind(cell, w), &task->progress,
                              &sample, now)) {
        step->ran_well = true;
    }
}

/* Applies the successful completion of a task's current run. */
void
CellSpeed_Completed(GfCell *cell, Worker *w, Task *task)
{
    GfSpeedSample sample = {0};
    if (cell->settings.features.worker_speeds && shows_speed(w, task) &&
        GfRunProgress_Complete(&task->progress, task->step->spec->estimate_ms,
                               w->inventory_clock_ms, &sample)) {
        GfWorkerSpeed_ObserveEnd(&w->speed, &sample);
    }
}

/* Draws the conclusion from an inventory, and logs a changed belief. */
void
CellSpeed_EndInventory(GfCell *cell, Worker *w, struct timespec now)
{
    if (!cell->settings.features.worker_speeds) {
        return;
    }
    GfWorkerSpeed_EndInventory(&w->speed, now);
    uint8_t state = w->speed.state;
    if (state == w->logged_speed_state || state == GF_SPEED_PROBATION) {
        return;
    }
    w->logged_speed_state = state;
    cell->dirty = true;
    GfLog(GF_LOG_INFO, CELL_PART,
          "worker speed belief changed worker=%s state=%s speed=%.2f",
          w->info.id.data, GfSpeedState_Name((GfSpeedState)state),
          GfWorkerSpeed_At(&w->speed, now));
}

/* Records that a worker has begun a new incarnation. */
void
CellSpeed_Restarted(GfCell *cell, Worker *w, struct timespec now)
{
    if (cell->settings.features.worker_speeds) {
        GfWorkerSpeed_Restart(&w->speed, now);
    }
}

/* Records that a worker has stopped answering. */
void
CellSpeed_Lost(GfCell *cell, Worker *w, struct timespec now)
{
    if (cell->settings.features.worker_speeds) {
        GfWorkerSpeed_Lost(&w->speed, now);
    }
}

/* Returns whether a worker is believed slow or stuck, or was so a short time
 * ago. If that holds for more than half of the workers, the cause is not
 * theirs, and none is doubted. */
bool
CellSpeed_IsDoubted(const GfCell *cell, const Worker *w, struct timespec now)
{
    return w->speed.state != GF_SPEED_TRUSTED &&
           GfWorkerSpeed_State(&w->speed, now) != GF_SPEED_TRUSTED &&
           cell->doubted_workers * 2 <= cell->worker_count;
}

/* Returns whether the job of a step would be done within its objective if a
 * task of the step ran on this worker from now on. */
static bool
ends_in_time(const Worker *w, const Step *step, struct timespec now)
{
    const Job *job = step->job;
    int64_t work_ms = step->spec->estimate_ms;
    int64_t done_ms =
        GfTime_DiffMs(now, job->accepted_at) + step->remaining_ms - work_ms +
        GfWorkerSpeed_RunMs(&w->speed, work_ms, now) + CELL_REPORT_DELAY_MS;
    return job->objective_ms == 0 || done_ms <= job->objective_ms;
}

/* Returns whether a step has waited too long to do without a worker for its
 * speed. That of a long-running step does not depend on the capacity in
 * use. */
static bool
takes_any_worker(const GfCell *cell, const Step *step, struct timespec now)
{
    return (step->spec->long_running || !cell->capacity_short) &&
           GfTime_DiffMs(now, step->idle_since) > MAX_WAIT_MS;
}

/* Returns whether a worker's speed allows to start a task of the step there:
 * none on one that stands still; on a slow one those whose job is in time all
 * the same, or whose end does not depend on the speed; and during probation
 * one task at a time, which is in time or can be moved. A step that has waited
 * for long may start on any. */
bool
CellSpeed_Allows(const GfCell *cell, const Worker *w, const Step *step,
                 struct timespec now)
{
    if (!CellSpeed_IsDoubted(cell, w, now) ||
        takes_any_worker(cell, step, now)) {
        return true;
    }
    const GfStepSpec *spec = step->spec;
    GfSpeedState state = GfWorkerSpeed_State(&w->speed, now);
    if (state == GF_SPEED_STILL) {
        return false;
    }
    if (spec->long_running || spec->backfill) {
        return true;
    }
    if (state == GF_SPEED_SLOW) {
        return ends_in_time(w, step, now);
    }
    return !spec->gang && GfTime_DiffMs(now, w->probed_at) > PROBE_PAUSE_MS &&
           (spec->checkpointed || ends_in_time(w, step, now));
}

/* Returns what a worker's speed adds to its score for a task of the step. */
double
CellSpeed_Cost(const GfCell *cell, const Worker *w, const Step *step,
               struct timespec now)
{
    if (!cell->settings.features.worker_speeds) {
        return 0;
    }
    if (CellSpeed_IsDoubted(cell, w, now)) {
        return SLOW_COST;
    }
    if (GfWorkerSpeed_IsUnsteady(&w->speed, now)) {
        return UNSTEADY_COST;
    }
    double weight = 0;
    if (step->spec->long_running || step->spec->backfill) {
        weight = LASTING_PREFERENCE;
    }
    else if (step->job->objective_ms > 0) {
        weight = step->job->work_class == 0 ? QUICK_PREFERENCE
                                            : OBJECTIVE_PREFERENCE;
    }
    double cost = weight * (1 / GfWorkerSpeed_At(&w->speed, now) - 1);
    return cost < MAX_PREFERENCE_COST ? cost : MAX_PREFERENCE_COST;
}

/* Returns how long in ms the current run of a task is expected to go on. Since
 * it was last listed, or began, the run is taken to have advanced as
 * expected. */
int64_t
CellSpeed_LeftMs(const Worker *w, const Task *task, struct timespec now)
{
    const GfRunProgress *progress = &task->progress;
    int64_t work_ms = task->step->spec->estimate_ms *
                      (PERCENT - progress->percent) / PERCENT;
    int64_t left_ms = GfWorkerSpeed_RunMs(&w->speed, work_ms, now);
    if (progress->clock_ms == 0) {
        return left_ms; /* not listed yet, its start is not known */
    }
    int64_t known_ms = progress->clock_ms > w->inventory_clock_ms
                           ? progress->clock_ms
                           : w->inventory_clock_ms;
    left_ms -= GfTime_ToMs(now) + w->clock_offset_ms - known_ms;
    return left_ms > 0 ? left_ms : 0;
}

/* Counts the workers in doubt and finds out whether capacity is short. */
void
CellSpeed_Tick(GfCell *cell, struct timespec now)
{
    if (!cell->settings.features.worker_speeds ||
        GfTime_DiffMs(now, cell->speeds_checked_at) < CHECK_INTERVAL_MS) {
        return;
    }
    cell->speeds_checked_at = now;
    cell->doubted_workers = 0;
    int64_t used = 0;
    int64_t capacity = 0;
    for (const Worker *w = cell->workers; w != NULL; w = w->hh.next) {
        cell->doubted_workers +=
            w->speed.state != GF_SPEED_TRUSTED &&
            GfWorkerSpeed_State(&w->speed, now) != GF_SPEED_TRUSTED;
        used += w->used.mcores;
        capacity += w->info.capacity.mcores;
    }
    cell->capacity_short = used * PERCENT >= capacity * BUSY_PERCENT;
    GfMetrics_Set(GF_METRIC_WORKERS_SLOW, cell->doubted_workers);
}
