/* Which workers a task may start on, and which of them is best. Tasks with a
 * latency target and backfill tasks, which use idle processors, share a worker
 * only where neighbours.c allows it, since the latter slow the former by an
 * unpredictable amount. */
#include "cell_private.h"

/* Backfill tasks share a worker's idle processors; a second one would mostly
 * slow the first. */
#define BACKFILL_TASKS_PER_WORKER 1
/* Added to a worker's score, whose base, the free share of its processors, and
 * cost of slowing other tasks are each below 1. Each penalty outweighs the
 * base and all penalties below it together. */
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

/* Returns whether a task may still run, from before this term, on a worker
 * that has not answered in this term. */
bool
CellFit_IsUncertain(const GfCell *cell, const Task *task, struct timespec now)
{
    if (task->uncertain_serial == 0) {
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
 * not leaving, its incarnation has answered with its own token, its size is
 * known, it answers orders and has no unidentified runs, and its service,
 * labels, size and failure domain suit the step. */
bool
CellFit_Eligible(const GfCell *cell, const Worker *w, const Step *step)
{
    const GfQueue *queue = step->job->queue_in_force;
    if (queue == NULL || !w->listed || !w->described || !w->contacted ||
        !w->in_stored_list || w->token_unseen || w->closed ||
        w->info.leaving || w->hold_failures > 0 || !w->has_clock ||
        w->unidentified_runs > 0 || !CellUnanswered_MayStart(cell, w)) {
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

/* Returns whether one more task of the step fits beside the current runs and
 * what is held for tasks that were reached earlier in the round. Backfill
 * tasks and tasks with a latency target exclude each other, unless they bear
 * each other. */
bool
CellFit_HasCapacity(const Worker *w, const Step *step)
{
    GfResources need = step->spec->need;
    if (step->spec->backfill) {
        need.mcores = 0;
        if (w->backfill_tasks >= BACKFILL_TASKS_PER_WORKER ||
            (w->latency_tasks > 0 && !CellNeighbours_MayShare(w, step))) {
            return false;
        }
    }
    if (step->spec->latency_target_ms > 0 && w->backfill_tasks > 0 &&
        !CellNeighbours_MayShare(w, step)) {
        return false;
    }
    return GfResources_Fit(w->info.capacity, GfResources_Add(w->used, w->held),
                           need);
}

/* Returns the number of the step's tasks on a worker. */
uint32_t
CellFit_CountOn(const Worker *w, const Step *step)
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
    s += CellNeighbours_Cost(w, step);
    if (CellCrash_Discourages(step->job->cell, w, task)) {
        s += SUSPECT_PENALTY;
    }
    if (GfTime_Before(now, w->avoid_until) || w->unanswered_orders > 0) {
        s += AVOID_PENALTY;
    }
    if (task->avoid_serial == w->serial) {
        s += FAILED_HERE_PENALTY;
    }
    if (step->spec->preferred_rack.len > 0 &&
        !GfName_Equal(CellWorker_Rack(w), &step->spec->preferred_rack)) {
        s += OTHER_RACK_PENALTY;
    }
    return s + CellSpeed_Cost(step->job->cell, w, step, now);
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
CellFit_IsCandidate(const GfCell *cell, const Worker *w, const Step *step)
{
    return CellFit_HasCapacity(w, step) && CellFit_Eligible(cell, w, step) &&
           (step->spec->max_per_worker == 0 ||
            CellFit_CountOn(w, step) < step->spec->max_per_worker);
}

/* Returns the best worker for a task, or NULL if there is none. If the queue
 * needs advice, only workers with a valid ticket are considered. */
Worker *
CellFit_ChooseWorker(GfCell *cell, const Step *step, const Task *task,
                     const GfName *rack, bool needs_advice,
                     struct timespec now)
{
    Worker *best = NULL;
    double best_score = 0;
    bool reliable_only = failed_recently(task, now);
    bool bound = CellLateStart_Binds(cell, task, now);
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
        if (w == NULL || !CellFit_IsCandidate(cell, w, step) ||
            (bound && !CellLateStart_Allows(task, w)) ||
            (rack != NULL && !GfName_Equal(CellWorker_Rack(w), rack)) ||
            CellCrash_Excludes(cell, w, task) ||
            !CellSpeed_Allows(cell, w, step, now) ||
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
