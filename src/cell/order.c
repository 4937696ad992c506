/* The order in which waiting steps get workers when demand exceeds capacity.
 * Work that can still meet its objective goes first, by class, and within a
 * class the team that uses the fewest cores for its weight; late work follows,
 * so that it does not make other work late as well. With the feature
 * overload_order, selection.h decides which work is served in time when there
 * is not enough capacity for all. */
#include <assert.h>
#include <stdio.h>
#include <stdlib.h>

#include <utlist.h>

#include "cell_private.h"
#include "guavaflow/log.h"
#include "guavaflow/metrics.h"
#include "guavaflow/selection.h"

/* A job is worth a fixed part, and a part in proportion to its work against
 * the mean of its queue; this is the documented definition. */
#define FIXED_WORTH 0.3
#define MAX_WORTH 4
/* Jobs over which a queue's mean work is taken, and queues that have one. */
#define MEAN_JOBS 200
#define MAX_QUEUES 64
/* Interval of the log lines on jobs set back, and what they hold. */
#define LOG_INTERVAL_MS 1000
#define LOGGED_QUEUES 8
#define RATIO_BYTES 256

/* The mean work of a queue's jobs, in mcore-ms, over the latest jobs. */
typedef struct {
    GfName queue;
    double work;
    double jobs; /* at most MEAN_JOBS */
} QueueMean;

/* What the selection needs; all but the means and logged_at is scratch. */
struct OverloadOrder {
    QueueMean means[MAX_QUEUES];
    size_t mean_count;
    struct timespec logged_at;
    GfSelectionStep *values;
    uint32_t *order;
    Step **steps;
    size_t capacity; /* of values, order and steps */
    GfSelectionTeam *teams;
    size_t team_capacity;
    size_t team_count;
};

/* The sort key of a waiting step. share is the number of mcores that the team
 * uses, divided by the team's weight. */
typedef struct {
    Step *step;
    uint32_t lateness;
    uint32_t work_class;
    double share;
    int64_t age_ms;
} Rank;

/* Orders for qsort by lateness, class and share, lowest first, then by age,
 * oldest first. */
static int
compare(const void *a, const void *b)
{
    const Rank *x = a;
    const Rank *y = b;
    if (x->lateness != y->lateness) {
        return x->lateness < y->lateness ? -1 : 1;
    }
    if (x->work_class != y->work_class) {
        return x->work_class < y->work_class ? -1 : 1;
    }
    if (x->share != y->share) {
        return x->share < y->share ? -1 : 1;
    }
    if (x->age_ms != y->age_ms) {
        return x->age_ms > y->age_ms ? -1 : 1;
    }
    return 0;
}

/* Returns how late the job would be done if the step started now: 0 in time, 1
 * late, 2 too late to be of value. A long-running step is never late, as all
 * its run time counts. */
uint32_t
CellOrder_Lateness(const Step *step, int64_t age_ms)
{
    const Job *job = step->job;
    int64_t done_ms = age_ms + step->remaining_ms + CELL_REPORT_DELAY_MS;
    if (step->spec->long_running || job->objective_ms == 0 ||
        done_ms <= job->objective_ms) {
        return 0;
    }
    return done_ms <= job->objective_ms * GF_NO_VALUE_FACTOR ? 1 : 2;
}

/* Returns the sort key of a step. */
static Rank
rank(Step *step, struct timespec now)
{
    const Job *job = step->job;
    Rank r = {.step = step};
    const GfQueue *queue = job->queue_in_force;
    const GfCellTeam *team = job->team_in_force;
    r.age_ms = GfTime_DiffMs(now, job->accepted_at);
    r.lateness = CellOrder_Lateness(step, r.age_ms);
    r.work_class = queue == NULL ? UINT32_MAX : queue->work_class;
    double weight = team == NULL || team->weight <= 0 ? 1 : team->weight;
    r.share = (double)job->use->used.mcores / weight;
    return r;
}

/* Sorts the waiting steps without regard to how much capacity there is. */
static void
sort_by_lateness(GfCell *cell, size_t count, struct timespec now)
{
    Rank *ranks = malloc(count * sizeof(Rank));
    if (ranks == NULL) {
        abort();
    }
    size_t i = 0;
    Step *step;
    DL_FOREACH(cell->waiting, step)
    {
        ranks[i++] = rank(step, now);
    }
    qsort(ranks, count, sizeof(Rank), compare);
    for (i = 0; i < count; i++) {
        cell->order[i] = ranks[i].step;
    }
    free(ranks);
}

/* Returns the order's state, which belongs to the cell, with space for count
 * steps. */
static OverloadOrder *
prepare(GfCell *cell, size_t count)
{
    OverloadOrder *o = cell->overload;
    if (o == NULL) {
        o = calloc(1, sizeof(*o));
        if (o == NULL) {
            abort();
        }
        cell->overload = o;
    }
    if (o->capacity < count) {
        o->capacity = count * 2;
        o->values = realloc(o->values, o->capacity * sizeof(GfSelectionStep));
        o->order = realloc(o->order, o->capacity * sizeof(uint32_t));
        o->steps = realloc(o->steps, o->capacity * sizeof(Step *));
        if (o->values == NULL || o->order == NULL || o->steps == NULL) {
            abort();
        }
    }
    return o;
}

/* Frees what this file has allocated for the cell. */
void
CellOrder_Free(GfCell *cell)
{
    if (cell->overload != NULL) {
        free(cell->overload->values);
        free(cell->overload->order);
        free(cell->overload->steps);
        free(cell->overload->teams);
        free(cell->overload);
    }
}

/* Sets the worth of a job that is added and updates its queue's mean work.
 * Queues beyond MAX_QUEUES have no mean: their jobs are worth 1. */
void
CellOrder_AddJob(Job *job)
{
    job->worth = 1;
    if (!job->cell->settings.features.overload_order) {
        return;
    }
    double work = 0;
    for (size_t i = 0; i < job->spec.step_count; i++) {
        const GfStepSpec *s = &job->spec.steps[i];
        work += (double)s->task_count * (double)s->need.mcores *
                (double)s->estimate_ms;
    }
    OverloadOrder *o = prepare(job->cell, 0);
    QueueMean *mean = NULL;
    for (size_t i = 0; i < o->mean_count && mean == NULL; i++) {
        if (GfName_Equal(&o->means[i].queue, &job->queue)) {
            mean = &o->means[i];
        }
    }
    if (work <= 0 || (mean == NULL && o->mean_count == MAX_QUEUES)) {
        return;
    }
    if (mean == NULL) {
        mean = &o->means[o->mean_count++];
        *mean = (QueueMean){.queue = job->queue};
    }
    mean->jobs += mean->jobs < MEAN_JOBS;
    mean->work += (work - mean->work) / mean->jobs;
    double worth = FIXED_WORTH + (1 - FIXED_WORTH) * work / mean->work;
    job->worth = worth < MAX_WORTH ? worth : MAX_WORTH;
}

/* Numbers the teams in use and writes their values to o->teams. */
static void
fill_teams(GfCell *cell, OverloadOrder *o)
{
    size_t count = HASH_COUNT(cell->uses);
    if (o->teams == NULL || o->team_capacity < count) {
        o->team_capacity = (count + 1) * 2;
        o->teams =
            realloc(o->teams, o->team_capacity * sizeof(GfSelectionTeam));
        if (o->teams == NULL) {
            abort();
        }
    }
    o->team_count = 0;
    for (TeamUse *u = cell->uses; u != NULL; u = u->hh.next) {
        u->number = (uint32_t)o->team_count++;
        o->teams[u->number] =
            (GfSelectionTeam){.weight = 1, .used_mcores = u->used.mcores};
    }
}

/* Returns the processors of a service's workers, without what long-running
 * tasks hold, and what each class uses of them. */
static GfSelectionRoom
measure_room(const GfCell *cell, const GfName *service)
{
    GfSelectionRoom room = {0};
    for (const Worker *w = cell->workers; w != NULL; w = w->hh.next) {
        if (!w->listed || !w->contacted || w->closed || w->info.leaving ||
            w->hold_failures > 0 || !GfName_Equal(&w->info.service, service)) {
            continue;
        }
        room.mcores += w->info.capacity.mcores - w->long_running_mcores;
        for (int c = 0; c < CELL_CLASSES; c++) {
            room.used_mcores[c] += w->class_mcores[c];
        }
    }
    return room;
}

/* Writes to *values the work, in mcore-ms at the estimates, that the step's
 * occurrence of its job still needs, without tasks that run; other waiting
 * steps of it are counted with themselves. Also writes the room for the step's
 * waiting tasks and whether any task of the occurrence has started. */
static void
add_work(const Step *step, GfSelectionStep *values)
{
    Job *job = step->job;
    double later = 0;
    int waiting = 0;
    for (uint32_t i = 0; i < job->spec.step_count; i++) {
        const Step *s = CellJob_Step(job, step->occurrence, i);
        values->begun |= s->idle < s->spec->task_count;
        waiting += s->listed;
        if (s->blockers > 0) {
            later += (double)s->unfinished * (double)s->spec->need.mcores *
                     (double)s->spec->estimate_ms;
        }
    }
    values->room_mcores = (int64_t)step->idle * step->spec->need.mcores;
    values->work =
        (double)values->room_mcores * (double)step->spec->estimate_ms +
        later / (waiting > 0 ? waiting : 1);
}

/* Returns the values of a step by which it is selected. A step that is not due
 * yet, or that runs until it is cancelled, has no work that is planned; the
 * latter earns from its start on and is not put off. */
static GfSelectionStep
values_of(GfCell *cell, const Step *step, struct timespec now, int64_t wall_ms)
{
    const Job *job = step->job;
    const GfQueue *queue = job->queue_in_force;
    int64_t age_ms = GfTime_DiffMs(now, job->accepted_at);
    if (step->due_ms > 0 && wall_ms - step->due_ms < age_ms) {
        age_ms = wall_ms - step->due_ms;
    }
    GfSelectionStep v = {.latest_start_ms = GF_SELECTION_NO_LIMIT,
                         .latest_value_ms = GF_SELECTION_NO_LIMIT,
                         .age_ms = age_ms,
                         .worth = job->worth,
                         .team = job->use->number,
                         .work_class =
                             queue == NULL ? UINT32_MAX : queue->work_class};
    if (step->spec->long_running) {
        v.latest_start_ms = 0;
        return v;
    }
    if (wall_ms < step->due_ms || queue == NULL) {
        return v;
    }
    add_work(step, &v);
    if (job->objective_ms > 0) {
        int64_t left_ms = GfRunTimes_RemainingMs(
            cell->run_times, &job->queue, &job->team, step->remaining_ms, 0);
        int64_t done_ms = age_ms + left_ms + CELL_REPORT_DELAY_MS;
        if (step->remaining_ms > 0) {
            v.work *= (double)left_ms / (double)step->remaining_ms;
        }
        v.latest_start_ms = job->objective_ms - done_ms;
        v.worth *= GfRunTimes_ChanceWithin(
            cell->run_times, &job->queue, &job->team, step->remaining_ms,
            step->spec->task_count, v.latest_start_ms + left_ms);
        v.latest_value_ms = job->objective_ms * GF_NO_VALUE_FACTOR - done_ms;
    }
    return v;
}

/* Logs, at most every LOG_INTERVAL_MS, how many jobs are set back and what has
 * been learnt of the run times. */
static void
log_set_back(const GfCell *cell, OverloadOrder *o, size_t count,
             const size_t *groups, struct timespec now)
{
    if (GfTime_DiffMs(now, o->logged_at) < LOG_INTERVAL_MS) {
        return;
    }
    o->logged_at = now;
    char ratios[RATIO_BYTES] = "";
    GfRunTimeSummary queues[LOGGED_QUEUES];
    size_t queue_count =
        GfRunTimes_Summarize(cell->run_times, queues, LOGGED_QUEUES);
    size_t len = 0;
    for (size_t i = 0; i < queue_count && len < sizeof(ratios); i++) {
        len += (size_t)snprintf(ratios + len, sizeof(ratios) - len,
                                "%s%s:%.2f", i > 0 ? "," : "",
                                queues[i].queue.data, queues[i].ratio);
    }
    GfLog(GF_LOG_INFO, CELL_PART,
          "steps set back for lack of capacity waiting=%zu in_time=%zu "
          "set_back=%zu late=%zu worthless=%zu run_time_ratios=%s",
          count, groups[GF_SELECTION_KEPT], groups[GF_SELECTION_SET_BACK],
          groups[GF_SELECTION_LATE], groups[GF_SELECTION_WORTHLESS], ratios);
}

/* Appends the waiting steps of a service to cell->order, at index done, in the
 * order of the selection. Adds up the groups. Returns the number of steps. */
static size_t
select_service(GfCell *cell, OverloadOrder *o, const GfName *service,
               size_t done, size_t *groups, struct timespec now)
{
    int64_t wall_ms = GfTime_WallMs();
    size_t count = 0;
    Step *step;
    DL_FOREACH(cell->waiting, step)
    {
        const GfQueue *queue = step->job->queue_in_force;
        if (queue == NULL ? service->len > 0
                          : !GfName_Equal(&queue->service, service)) {
            continue;
        }
        GfSelectionTeam *team = &o->teams[step->job->use->number];
        const GfCellTeam *t = step->job->team_in_force;
        team->weight = t == NULL || t->weight <= 0 ? 1 : t->weight;
        team->limit_mcores = t == NULL ? 0 : t->limit.mcores;
        o->steps[count] = step;
        o->values[count++] = values_of(cell, step, now, wall_ms);
    }
    GfSelectionRoom room = measure_room(cell, service);
    GfSelection_Order(o->values, count, o->teams, o->team_count, &room,
                      o->order);
    for (size_t i = 0; i < count; i++) {
        uint32_t at = o->order[i];
        step = o->steps[at];
        cell->order[done + i] = step;
        uint8_t group = o->values[at].group;
        step->deferred = group != GF_SELECTION_KEPT;
        groups[group]++;
        if (group == GF_SELECTION_SET_BACK && !step->job->counted_set_back) {
            step->job->counted_set_back = true;
            GfMetrics_Add(GF_METRIC_JOBS_SET_BACK, 1);
        }
    }
    return count;
}

/* Sorts the waiting steps by what the capacity suffices for; the steps of each
 * service follow one another, as they need different workers. */
static void
sort_by_selection(GfCell *cell, size_t count, struct timespec now)
{
    static const GfName NO_SERVICE = {0};
    OverloadOrder *o = prepare(cell, count);
    size_t groups[GF_SELECTION_GROUPS] = {0};
    size_t done = 0;
    fill_teams(cell, o);
    const GfCellConfig *config = cell->config;
    for (size_t i = 0; config != NULL && i < config->queue_count; i++) {
        const GfName *service = &config->queues[i].service;
        size_t k = 0;
        while (!GfName_Equal(&config->queues[k].service, service)) {
            k++;
        }
        if (k == i && service->len > 0) {
            done += select_service(cell, o, service, done, groups, now);
        }
    }
    done += select_service(cell, o, &NO_SERVICE, done, groups, now);
    assert(done == count);
    if (groups[GF_SELECTION_SET_BACK] > 0) {
        log_set_back(cell, o, count, groups, now);
    }
}

/* Writes the waiting steps in scheduling order to cell->order. Returns their
 * number. */
size_t
CellOrder_Sort(GfCell *cell, struct timespec now)
{
    size_t count = 0;
    Step *step;
    DL_COUNT(cell->waiting, step, count);
    if (count == 0) {
        return 0;
    }
    if (cell->order_capacity < count) {
        cell->order_capacity = count * 2;
        free(cell->order);
        cell->order = malloc(cell->order_capacity * sizeof(Step *));
        if (cell->order == NULL) {
            abort();
        }
    }
    if (cell->settings.features.overload_order) {
        sort_by_selection(cell, count, now);
    }
    else {
        sort_by_lateness(cell, count, now);
    }
    return count;
}
