/* The forecast that admission uses: collects per service what runs, waits and
 * arrives, has it played forward (forecast.h), and lists the waits of the
 * queues and teams for which a job may have to wait. A team's waits are listed
 * only where they differ from those of a team without work. */
#include <math.h>
#include <stdlib.h>

#include <utlist.h>

#include "cell_private.h"
#include "guavaflow/forecast.h"
#include "guavaflow/metrics.h"

/* Time constants of the average rates at which work arrives: now, and over a
 * longer time, which is expected once the present load has passed. */
#define RATE_NOW_MS 500.0
#define RATE_LATER_MS 20000
/* The rate over a longer time follows this many times slower while the work
 * has to wait, as that load is expected to pass. */
#define PRESSED_SLOWDOWN 5
/* A load is expected to last as long again as it has lasted, at least this
 * long. */
#define LASTING_MIN_MS 1000
/* Shortest expected time until the end of a run that takes longer than was
 * estimated. */
#define OVERRUN_MS 50
/* Waits of a team that differ by less from those of a new team are not
 * listed. */
#define SAME_WAIT_MS 50
/* Part of the spare capacity for callers that come back; the rest is for
 * bursts of new ones. At least SPARE_MIN_PERCENT of a queue's capacity counts
 * as spare. */
#define RETURN_PERCENT 50
#define SPARE_MIN_PERCENT 10
#define PERCENT 100
/* Forecasts of a term are numbered within this part of the number. */
#define NUMBER_BITS 24
#define MS_PER_S 1000

/* The rates at which a team's work of a class arrives, in mcores, and since
 * when it has had to wait; new_core_ms has arrived since the latest
 * forecast. */
typedef struct {
    double new_core_ms;
    double now_mcores;
    double later_mcores;
    bool pressed;
    struct timespec pressed_since;
} Arrivals;

/* A class: means of its arriving jobs, and what its tasks need. */
typedef struct {
    double run_ms;
    double slack_ms;
    double need_sum; /* mcores of its running and waiting tasks */
    size_t need_count;
    int64_t capacity_mcores;
} ClassState;

/* What is kept for a service from forecast to forecast. */
typedef struct ServiceState {
    GfName service;
    Arrivals arrivals[GF_FORECAST_TEAMS][GF_FORECAST_CLASSES];
    ClassState classes[GF_FORECAST_CLASSES];
    int64_t age_ms; /* since the rates are known */
    struct ServiceState *next;
} ServiceState;

struct Foresight {
    GfForecast *forecast;
    ServiceState *services;
    size_t service_count;
    uint32_t team_count;
    uint32_t count; /* of the forecasts made */
    struct timespec made_at;
};

/* Frees what is kept for forecasts; NULL is allowed. */
void
CellForesee_Destroy(Foresight *fs)
{
    if (fs == NULL) {
        return;
    }
    ServiceState *s;
    ServiceState *tmp;
    LL_FOREACH_SAFE(fs->services, s, tmp)
    {
        free(s);
    }
    GfForecast_Destroy(fs->forecast);
    free(fs);
}

/* Returns the state of a service, created if it is new; NULL beyond
 * GF_ADMISSION_MAX_SERVICES. */
static ServiceState *
find_service(Foresight *fs, const GfName *service)
{
    ServiceState *s;
    LL_FOREACH(fs->services, s)
    {
        if (GfName_Equal(&s->service, service)) {
            return s;
        }
    }
    if (fs->service_count == GF_ADMISSION_MAX_SERVICES) {
        return NULL;
    }
    s = calloc(1, sizeof(*s));
    if (s == NULL) {
        abort();
    }
    s->service = *service;
    fs->service_count++;
    LL_PREPEND(fs->services, s);
    return s;
}

/* Returns the number of a work class in forecasts. */
static uint32_t
class_of(const Job *job)
{
    return job->work_class < GF_FORECAST_CLASSES ? job->work_class
                                                 : GF_FORECAST_CLASSES - 1;
}

/* Returns the number of a team in forecasts; teams beyond the maximum share
 * the last one. */
static size_t
team_of(Foresight *fs, TeamUse *use)
{
    if (use->forecast_number == 0 && fs->team_count < GF_FORECAST_TEAMS) {
        use->forecast_number = ++fs->team_count;
    }
    return use->forecast_number == 0 ? GF_FORECAST_TEAMS - 1
                                     : use->forecast_number - 1;
}

/* Returns whether the workers of a service run the job. */
static bool
runs_on(const Job *job, const GfName *service)
{
    return job->queue_in_force != NULL &&
           GfName_Equal(&job->queue_in_force->service, service);
}

/* Returns whether tasks of the step may be stopped for earlier classes. */
static bool
is_preemptible(const Step *step)
{
    return step->spec->checkpointed && !step->spec->gang &&
           !step->spec->long_running && !step->spec->backfill;
}

/* Returns the expected run time of a task of the step. */
static int64_t
run_ms(const Step *step)
{
    return step->spec->long_running ? GF_FORECAST_HORIZON_MS
                                    : step->spec->estimate_ms;
}

/* Updates a weighted mean by a further value. */
static void
update_mean(double *mean, double value, double weight)
{
    *mean = *mean == 0 ? value : *mean + (value - *mean) * weight;
}

/* Counts the work of a new job. Long-running work and what is not due yet does
 * not arrive at a rate. */
static void
count_arrival(Foresight *fs, ServiceState *s, const Job *job)
{
    double core_ms = 0;
    double mcores = 0;
    for (size_t i = 0; i < job->spec.step_count; i++) {
        const GfStepSpec *step = &job->spec.steps[i];
        if (!step->long_running && !step->backfill) {
            double need = (double)step->need.mcores * step->task_count;
            mcores += need;
            core_ms += need * (double)step->estimate_ms;
        }
    }
    if (mcores <= 0 || job->spec.first_due_ms > 0) {
        return;
    }
    uint32_t c = class_of(job);
    s->arrivals[team_of(fs, job->use)][c].new_core_ms += core_ms;
    const double weight = 0.05;
    update_mean(&s->classes[c].run_ms, core_ms / mcores, weight);
    int64_t path_ms = GfJobSpec_CriticalPathMs(
        &job->spec, GfQueue_AdviceMs(job->queue_in_force));
    int64_t slack_ms = job->objective_ms - path_ms - CELL_REPORT_DELAY_MS;
    update_mean(&s->classes[c].slack_ms, slack_ms > 0 ? (double)slack_ms : 1,
                weight);
}

/* Counts the jobs that were submitted since the latest forecast; they are the
 * last ones in the table. Those of a former term tell nothing of the rate. */
static void
count_arrivals(GfCell *cell, Foresight *fs)
{
    if (cell->jobs == NULL) {
        return;
    }
    Job *job = ELMT_FROM_HH(cell->jobs->hh.tbl, cell->jobs->hh.tbl->tail);
    for (; job != NULL && !job->foreseen; job = job->hh.prev) {
        job->foreseen = true;
        ServiceState *s =
            job->former || job->queue_in_force == NULL || job->use == NULL
                ? NULL
                : find_service(fs, &job->queue_in_force->service);
        if (s != NULL) {
            count_arrival(fs, s, job);
        }
    }
}

/* Updates the rates of arrival after ms more. The rate over a longer time is
 * the plain mean until that time has passed. */
static void
update_rates(ServiceState *s, int64_t ms)
{
    double now_weight = 1 - exp(-(double)ms / RATE_NOW_MS);
    s->age_ms += ms;
    double later_weight =
        (double)ms /
        (s->age_ms < RATE_LATER_MS ? (double)s->age_ms : RATE_LATER_MS);
    for (size_t t = 0; t < GF_FORECAST_TEAMS && ms > 0; t++) {
        for (uint32_t c = 0; c < GF_FORECAST_CLASSES; c++) {
            Arrivals *a = &s->arrivals[t][c];
            double rate = a->new_core_ms / (double)ms;
            a->now_mcores += (rate - a->now_mcores) * now_weight;
            a->later_mcores += (rate - a->later_mcores) * later_weight /
                               (a->pressed ? PRESSED_SLOWDOWN : 1);
            a->new_core_ms = 0;
        }
    }
}

/* Adds tasks of a step as waiting. Work that cannot be done in time to be of
 * value is left out, as it comes last. */
static void
add_waiting(Foresight *fs, ServiceState *s, const Step *step, uint32_t tasks,
            struct timespec now)
{
    const Job *job = step->job;
    int late = (int)CellOrder_Lateness(
        step, GfTime_DiffMs(now, step->job->accepted_at));
    if (step->spec->backfill || late > 1) {
        return;
    }
    uint32_t c = class_of(job);
    s->classes[c].need_sum += (double)step->spec->need.mcores * tasks;
    s->classes[c].need_count += tasks;
    GfForecast_AddWaiting(fs->forecast, team_of(fs, job->use), c,
                          step->spec->need.mcores * tasks, run_ms(step),
                          is_preemptible(step), late > 0);
}

/* Adds the steps of a job that wait for those that run now. They are older
 * than a job that is submitted now, and go before it. */
static void
add_next_steps(Foresight *fs, ServiceState *s, Job *job, struct timespec now)
{
    if (job->foreseen_at == fs->count) {
        return;
    }
    job->foreseen_at = fs->count;
    if (job->spec.first_due_ms > 0) {
        return;
    }
    for (uint32_t k = 0; k < job->spec.occurrences; k++) {
        for (uint32_t i = 0; i < job->spec.step_count; i++) {
            const Step *step = CellJob_Step(job, k, i);
            if (step != NULL && step->blockers > 0) {
                add_waiting(fs, s, step, step->unfinished, now);
            }
        }
    }
}

/* Adds what runs on a worker. Orphan runs are expected to stay. */
static void
add_running(Foresight *fs, ServiceState *s, const Worker *w,
            struct timespec now)
{
    int64_t others = w->used.mcores;
    const Task *task;
    DL_FOREACH(w->tasks, task)
    {
        const Step *step = task->step;
        int64_t mcores = CellTask_CapacityTaken(step->spec).mcores;
        if (mcores == 0) {
            continue;
        }
        int64_t left = run_ms(step) - GfTime_DiffMs(now, task->started_at);
        left = left > OVERRUN_MS ? left : OVERRUN_MS;
        uint32_t c = class_of(step->job);
        others -= mcores;
        s->classes[c].need_sum += (double)mcores;
        s->classes[c].need_count++;
        GfForecast_AddRunning(fs->forecast, team_of(fs, step->job->use), c,
                              mcores, left, is_preemptible(step));
        add_next_steps(fs, s, step->job, now);
    }
    if (others > 0) {
        GfForecast_AddRunning(fs->forecast, GF_FORECAST_TEAMS - 1, 0, others,
                              GF_FORECAST_HORIZON_MS, false);
    }
}

/* Returns whether tasks may be started on a worker of the service. */
static bool
takes_tasks(const GfCell *cell, const Worker *w, const GfName *service)
{
    for (size_t i = 0; i < cell->evacuated_count; i++) {
        if (GfName_Equal(&cell->evacuated[i], &w->info.domain)) {
            return false;
        }
    }
    return w->listed && w->contacted && !w->closed && !w->info.leaving &&
           GfName_Equal(&w->info.service, service);
}

/* Sets the teams of a forecast: weights, limits and rates of arrival. */
static void
set_teams(GfCell *cell, Foresight *fs, const ServiceState *s,
          struct timespec now)
{
    for (TeamUse *use = cell->uses; use != NULL; use = use->hh.next) {
        const GfCellTeam *team =
            GfCellConfig_FindTeam(cell->config, &use->team);
        size_t t = team_of(fs, use);
        if (team != NULL) {
            GfForecast_SetTeam(fs->forecast, t,
                               team->weight > 0 ? team->weight : 1,
                               team->limit.mcores);
        }
        for (uint32_t c = 0; c < GF_FORECAST_CLASSES; c++) {
            const Arrivals *a = &s->arrivals[t][c];
            int64_t lasted =
                a->pressed ? GfTime_DiffMs(now, a->pressed_since) : 0;
            GfForecastArrivals arrivals = {
                .now_mcores = a->now_mcores,
                .later_mcores = a->later_mcores < a->now_mcores
                                    ? a->later_mcores
                                    : a->now_mcores,
                .lasting_ms =
                    lasted > LASTING_MIN_MS ? lasted : LASTING_MIN_MS};
            GfForecast_SetArrivals(fs->forecast, t, c, &arrivals);
        }
    }
}

/* Sets the classes of a forecast. The capacity of a class leaves out the part
 * of each worker that is too small for another of its tasks. */
static void
set_classes(const GfCell *cell, Foresight *fs, ServiceState *s)
{
    for (uint32_t c = 0; c < GF_FORECAST_CLASSES; c++) {
        ClassState *state = &s->classes[c];
        int64_t need =
            state->need_count == 0
                ? 0
                : (int64_t)(state->need_sum / (double)state->need_count);
        state->capacity_mcores = 0;
        for (const Worker *w = cell->workers; w != NULL; w = w->hh.next) {
            if (takes_tasks(cell, w, &s->service)) {
                int64_t mcores = w->info.capacity.mcores;
                state->capacity_mcores += need > 0 && need < mcores
                                              ? mcores - mcores % need
                                              : mcores;
            }
        }
        GfForecastClass values = {.capacity_mcores = state->capacity_mcores,
                                  .run_ms = (int64_t)state->run_ms,
                                  .slack_ms = (int64_t)state->slack_ms};
        GfForecast_SetClass(fs->forecast, c, &values);
    }
}

/* Makes the forecast of a service. */
static void
compute(GfCell *cell, Foresight *fs, ServiceState *s, struct timespec now)
{
    fs->count++;
    GfForecast_Clear(fs->forecast);
    for (uint32_t c = 0; c < GF_FORECAST_CLASSES; c++) {
        s->classes[c].need_sum = 0;
        s->classes[c].need_count = 0;
    }
    for (const Worker *w = cell->workers; w != NULL; w = w->hh.next) {
        if (takes_tasks(cell, w, &s->service)) {
            add_running(fs, s, w, now);
        }
    }
    int64_t wall_ms = GfTime_WallMs();
    for (const Step *step = cell->waiting; step != NULL; step = step->next) {
        if (runs_on(step->job, &s->service) && step->due_ms <= wall_ms) {
            add_waiting(fs, s, step, step->idle, now);
        }
    }
    set_teams(cell, fs, s, now);
    set_classes(cell, fs, s);
    GfForecast_Compute(fs->forecast);
    for (size_t t = 0; t < fs->team_count; t++) {
        for (uint32_t c = 0; c < GF_FORECAST_CLASSES; c++) {
            Arrivals *a = &s->arrivals[t][c];
            bool waits = GfForecast_Wait(fs->forecast, t, c).wait_ms > 0;
            if (waits && !a->pressed) {
                a->pressed_since = now;
            }
            a->pressed = waits;
        }
    }
}

/* How long a job of a queue waits for a free advice caller, in time and
 * late. */
typedef struct {
    int64_t wait_ms;
    int64_t late_wait_ms;
} AdviceWait;

/* Returns the wait for advice in a queue; 0 if it needs none. */
static AdviceWait
advice_wait(const GfCell *cell, const GfQueue *queue, struct timespec now)
{
    size_t requests[3] = {0};
    for (const Step *step = cell->waiting; queue->needs_advice && step != NULL;
         step = step->next) {
        if (step->job->queue_in_force == queue && step->allowed_count == 0) {
            requests[CellOrder_Lateness(
                step, GfTime_DiffMs(now, step->job->accepted_at))]++;
        }
    }
    int64_t ms = GfQueue_AdviceMs(queue);
    return (AdviceWait){
        GfForecast_AdviceWaitMs(requests[0], GfCallers_Count(cell->callers),
                                ms),
        GfForecast_AdviceWaitMs(requests[0] + requests[1],
                                GfCallers_Count(cell->callers), ms)};
}

/* Adds the waits of a team in a queue to the list; team NULL: of all teams
 * that have none of their own. */
static void
add_wait(GfAdmissionForecast *out, const GfName *team, GfForecastWait wait,
         AdviceWait advice)
{
    if (out->wait_count == GF_ADMISSION_MAX_WAITS) {
        return;
    }
    GfAdmissionWait *row = &out->waits[out->wait_count++];
    *row = (GfAdmissionWait){.queue = (uint32_t)out->queue_count - 1,
                             .wait_ms = (uint32_t)wait.wait_ms,
                             .late_wait_ms = (uint32_t)wait.late_wait_ms,
                             .doubt_ms = (uint32_t)wait.doubt_ms,
                             .at_limit = wait.at_limit};
    if (row->wait_ms < advice.wait_ms) {
        row->wait_ms = (uint32_t)advice.wait_ms;
    }
    if (row->late_wait_ms < advice.late_wait_ms) {
        row->late_wait_ms = (uint32_t)advice.late_wait_ms;
    }
    if (team != NULL) {
        row->team = *team;
    }
}

/* Returns the processors that callers of a class that come back can count on
 * once the present load has passed, the part of one entry. */
static uint32_t
spare_mcores(const GfCell *cell, const ServiceState *s, uint32_t work_class)
{
    double capacity = (double)s->classes[work_class].capacity_mcores;
    double spare = capacity;
    for (size_t t = 0; t < GF_FORECAST_TEAMS; t++) {
        for (uint32_t c = 0; c < GF_FORECAST_CLASSES; c++) {
            spare -= s->arrivals[t][c].later_mcores;
        }
    }
    double least = capacity * SPARE_MIN_PERCENT / PERCENT;
    spare = (spare > least ? spare : least) * RETURN_PERCENT / PERCENT;
    return (uint32_t)(spare / (GfCallers_Count(cell->callers) > 0
                                   ? (double)GfCallers_Count(cell->callers)
                                   : 1));
}

/* Returns by how many ms the waits of a class grow in a second: the work of
 * this class and earlier ones that arrives beyond its capacity. */
static uint32_t
growth_ms(const ServiceState *s, uint32_t work_class)
{
    double capacity = (double)s->classes[work_class].capacity_mcores;
    double beyond = -capacity;
    for (size_t t = 0; t < GF_FORECAST_TEAMS; t++) {
        for (uint32_t c = 0; c <= work_class; c++) {
            beyond += s->arrivals[t][c].now_mcores;
        }
    }
    return beyond > 0 && capacity > 0
               ? (uint32_t)(beyond / capacity * MS_PER_S)
               : 0;
}

/* Adds a queue with its waits, unless its jobs have no objective or none of
 * them has to wait. */
static void
add_queue(GfCell *cell, Foresight *fs, const ServiceState *s,
          const GfQueue *queue, GfAdmissionForecast *out)
{
    if (GfQueue_ObjectiveMs(queue, MS_PER_S) <= 0 ||
        out->queue_count == GF_ADMISSION_MAX_QUEUES) {
        return;
    }
    uint32_t c = queue->work_class < GF_FORECAST_CLASSES
                     ? queue->work_class
                     : GF_FORECAST_CLASSES - 1;
    AdviceWait advice = advice_wait(cell, queue, out->made_at);
    GfForecastWait any =
        GfForecast_Wait(fs->forecast, GF_FORECAST_NEW_TEAM, c);
    size_t first = out->wait_count;
    out->queue_count++;
    for (TeamUse *use = cell->uses; use != NULL; use = use->hh.next) {
        GfForecastWait own =
            GfForecast_Wait(fs->forecast, team_of(fs, use), c);
        bool differs =
            llabs(own.wait_ms - any.wait_ms) >= SAME_WAIT_MS ||
            llabs(own.late_wait_ms - any.late_wait_ms) >= SAME_WAIT_MS;
        /* Jobs without a team count as those of a new one. */
        if (differs && use->team.len > 0) {
            add_wait(out, &use->team, own, advice);
        }
    }
    if (any.wait_ms > 0 || advice.wait_ms > 0) {
        add_wait(out, NULL, any, advice);
    }
    if (out->wait_count == first) {
        out->queue_count--;
        return;
    }
    out->queues[out->queue_count - 1] =
        (GfQueueForecast){.queue = queue->name,
                          .spare_mcores = spare_mcores(cell, s, c),
                          .growth_ms = growth_ms(s, c)};
}

/* Makes a forecast of the waits of all queues with an objective and puts it
 * into admission. Without the feature, before placement has started or without
 * a configuration, there is none. Meant to be called a few times a second. */
void
GfCell_UpdateForecast(GfCell *cell, GfAdmission *admission)
{
    if (!cell->settings.features.overload_refusal || cell->config == NULL ||
        !cell->placement_started) {
        GfAdmission_ForgetForecast(admission);
        return;
    }
    struct timespec now = GfClock_Now(cell->clock);
    Foresight *fs = cell->foresight;
    if (fs == NULL) {
        fs = calloc(1, sizeof(*fs));
        if (fs == NULL) {
            abort();
        }
        fs->forecast = GfForecast_Create();
        fs->made_at = now;
        cell->foresight = fs;
    }
    count_arrivals(cell, fs);
    for (size_t i = 0; i < cell->config->queue_count; i++) {
        find_service(fs, &cell->config->queues[i].service);
    }
    GfAdmissionForecast *out = &admission->forecast;
    *out = (GfAdmissionForecast){.made_at = now};
    uint64_t longest = 0;
    ServiceState *s;
    LL_FOREACH(fs->services, s)
    {
        update_rates(s, GfTime_DiffMs(now, fs->made_at));
        compute(cell, fs, s, now);
        for (size_t i = 0; i < cell->config->queue_count; i++) {
            if (GfName_Equal(&cell->config->queues[i].service, &s->service)) {
                add_queue(cell, fs, s, &cell->config->queues[i], out);
            }
        }
    }
    for (size_t i = 0; i < out->wait_count; i++) {
        longest =
            out->waits[i].wait_ms > longest ? out->waits[i].wait_ms : longest;
    }
    GfMetrics_Set(GF_METRIC_FORECAST_WAIT_MS, longest);
    fs->made_at = now;
    out->number = ((uint64_t)cell->settings.token << NUMBER_BITS) + fs->count;
}
