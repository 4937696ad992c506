/* Admission checks at submission. A job is refused if one of its tasks needs
 * more of a resource than any known worker has, or a gang more than its team's
 * limit, as it would wait for ever, or if its team's backlog is full: a team
 * that submits far more than gets started would take the owner's memory from
 * the other teams. It is also refused if the owner's forecast says that it
 * would be done too late to be of value, as its caller can do something else
 * meanwhile. A job that is merely late is accepted, since its caller relies on
 * it being done. */
#include "guavaflow/admission.h"

#include <assert.h>
#include <string.h>

/* Number of waiting tasks from which on a team is full. At 256 bytes a task
 * this is 10 MB of the 260 MB that hosts have. */
#define MAX_TEAM_TASKS 40000
/* Number of waiting tasks of all teams together, 50 MB, from which on every
 * team with at least an equal share of this number is full. */
#define MAX_TOTAL_TASKS 200000
/* The same limits for the memory of jobs without their tasks, which are
 * bounded by occurrence.c. */
#define MAX_TEAM_JOB_BYTES ((size_t)16 * 1024 * 1024)
#define MAX_TOTAL_JOB_BYTES ((size_t)64 * 1024 * 1024)
/* The retry time of a full team is the time in which this part of its backlog
 * is expected to start. */
#define RETRY_BACKLOG_PERCENT 10
#define PERCENT 100
/* Bounds of the retry time of a full team. It takes a second until a change of
 * the backlog is seen, and estimates beyond the upper bound are of little
 * value. */
#define RETRY_MIN_MS 1000
#define RETRY_MAX_MS 10000
#define MS_PER_S 1000
/* Bounds of the retry time while the store or the owner is unavailable. A
 * takeover is over within the lower bound, as are most short outages of the
 * store. */
#define OUTAGE_RETRY_MIN_MS 1000
#define OUTAGE_RETRY_MAX_MS 3000

/* A forecast that is older says nothing of a load that begins or ends within
 * seconds. It is several times the interval of the owner's heartbeats. */
#define FORECAST_VALID_MS 600
/* Longest retry time of a job refused by the forecast. Callers that were told
 * to come back sooner than there is capacity for all of them would be the next
 * overload. Longer times are spread over RETURN_SPREAD_MS before it. */
#define RETURN_MAX_MS 60000
#define RETURN_SPREAD_MS 20000
/* Time from the completion of a job's last task until the result is stored and
 * visible. */
#define REPORT_DELAY_MS 60

/* Returns the larger of a and b. */
static int64_t
larger(int64_t a, int64_t b)
{
    return a > b ? a : b;
}

/* Returns the known worker capacity of a service, or NULL if there is none. */
static const GfServiceCapacity *
find_service(const GfAdmission *a, const GfName *service)
{
    for (size_t i = 0; i < a->service_count; i++) {
        if (GfName_Equal(&a->services[i].service, service)) {
            return &a->services[i];
        }
    }
    return NULL;
}

/* Raises the largest known capacity of a service to that of one of its
 * workers. The value stays when the worker leaves, as it may return. Once the
 * table is full, further services are ignored and their jobs are not checked
 * for size. */
void
GfAdmission_AddCapacity(GfAdmission *a, const GfName *service,
                        GfResources capacity)
{
    assert(a != NULL && service != NULL);
    GfServiceCapacity *known = (GfServiceCapacity *)find_service(a, service);
    if (known == NULL) {
        if (a->service_count == GF_ADMISSION_MAX_SERVICES) {
            return;
        }
        known = &a->services[a->service_count++];
        *known = (GfServiceCapacity){.service = *service};
    }
    GfResources *l = &known->largest;
    l->mcores = larger(l->mcores, capacity.mcores);
    l->memory_mb = larger(l->memory_mb, capacity.memory_mb);
    l->accelerators = larger(l->accelerators, capacity.accelerators);
}

/* Returns the retry time in ms for a team with a full backlog, from the rate
 * at which its tasks start. */
static uint32_t
full_team_retry_ms(const GfTeamBacklog *b)
{
    if (b->job_bytes >= MAX_TEAM_JOB_BYTES) {
        return RETRY_MAX_MS; /* until jobs are finished */
    }
    double tasks = (double)b->waiting_tasks * RETRY_BACKLOG_PERCENT / PERCENT;
    double ms = b->starts_per_s > 0 ? tasks / b->starts_per_s * MS_PER_S
                                    : RETRY_MAX_MS;
    if (ms < RETRY_MIN_MS) {
        return RETRY_MIN_MS;
    }
    return ms > RETRY_MAX_MS ? RETRY_MAX_MS : (uint32_t)ms;
}

/* Replaces the list of full teams. backlogs has an entry for each team with
 * waiting tasks or jobs that take much memory and stays the caller's. */
void
GfAdmission_SetBacklogs(GfAdmission *a, const GfTeamBacklog *backlogs,
                        size_t count)
{
    assert(a != NULL && (backlogs != NULL || count == 0));
    uint64_t total = 0;
    size_t total_bytes = 0;
    for (size_t i = 0; i < count; i++) {
        total += backlogs[i].waiting_tasks;
        total_bytes += backlogs[i].job_bytes;
    }
    size_t teams = count > 0 ? count : 1;
    uint64_t equal_share = MAX_TOTAL_TASKS / teams;
    size_t equal_bytes = MAX_TOTAL_JOB_BYTES / teams;
    a->full_count = 0;
    for (size_t i = 0; i < count; i++) {
        const GfTeamBacklog *b = &backlogs[i];
        bool full =
            b->waiting_tasks >= MAX_TEAM_TASKS ||
            (total >= MAX_TOTAL_TASKS && b->waiting_tasks >= equal_share) ||
            b->job_bytes >= MAX_TEAM_JOB_BYTES ||
            (total_bytes >= MAX_TOTAL_JOB_BYTES &&
             b->job_bytes >= equal_bytes);
        if (full && a->full_count < GF_ADMISSION_MAX_TEAMS) {
            a->full[a->full_count++] =
                (GfFullTeam){b->team, full_team_retry_ms(b)};
        }
    }
}

/* Returns the retry time in ms for a caller that is refused because the store
 * or the owner is unavailable. store_unavailable_ms is how long the store has
 * been unavailable, 0 if it answers. The time grows with the outage, as an
 * outage tends to last about as long again, and callers that retry too early
 * use up their attempts. */
uint32_t
GfAdmission_OutageRetryMs(int64_t store_unavailable_ms)
{
    if (store_unavailable_ms < OUTAGE_RETRY_MIN_MS) {
        return OUTAGE_RETRY_MIN_MS;
    }
    return store_unavailable_ms < OUTAGE_RETRY_MAX_MS
               ? (uint32_t)store_unavailable_ms
               : OUTAGE_RETRY_MAX_MS;
}

/* Returns whether a task of the step fits the largest known amounts of a
 * service's workers. Backfill tasks need no free processors. */
static bool
fits(const GfServiceCapacity *capacity, const GfStepSpec *step)
{
    const GfResources *l = &capacity->largest;
    return (step->backfill || step->need.mcores <= l->mcores) &&
           step->need.memory_mb <= l->memory_mb &&
           step->need.accelerators <= l->accelerators;
}

/* Decides whether to accept a job. Returns GF_OK; GF_NEVER_FITS if a task of
 * the job needs more of a resource than any known worker of the service has;
 * or GF_LIMIT_REACHED if the team's backlog is full, with the retry time in
 * *retry_after_ms, which is 0 otherwise. */
GfErrorKind
GfAdmission_Check(const GfAdmission *a, const GfName *service,
                  const GfName *team, const GfJobSpec *spec,
                  uint32_t *retry_after_ms)
{
    assert(a != NULL && service != NULL && team != NULL && spec != NULL);
    *retry_after_ms = 0;
    const GfServiceCapacity *capacity = find_service(a, service);
    for (size_t i = 0; capacity != NULL && i < spec->step_count; i++) {
        if (!fits(capacity, &spec->steps[i])) {
            return GF_NEVER_FITS;
        }
    }
    for (size_t i = 0; i < a->full_count; i++) {
        if (GfName_Equal(&a->full[i].team, team)) {
            *retry_after_ms = a->full[i].retry_after_ms;
            return GF_LIMIT_REACHED;
        }
    }
    return GF_OK;
}

/* Returns whether a gang of count tasks with this need may run within a limit,
 * which its last member may exceed; 0 is no limit. */
static bool
gang_fits(int64_t limit, int64_t need, int64_t count)
{
    return limit == 0 || need * (count - 1) <= limit;
}

/* Decides whether a job can run within its team's limit. A single task always
 * can, as a team may exceed its limit by one. Returns GF_OK, or GF_NEVER_FITS
 * if the members of a gang of the job exceed the limit together. */
GfErrorKind
GfAdmission_CheckLimit(const GfResources *limit, const GfJobSpec *spec)
{
    assert(limit != NULL && spec != NULL);
    for (size_t i = 0; i < spec->step_count; i++) {
        const GfStepSpec *step = &spec->steps[i];
        const GfResources *need = &step->need;
        if (step->gang &&
            !(gang_fits(limit->mcores, need->mcores, step->task_count) &&
              gang_fits(limit->memory_mb, need->memory_mb, step->task_count) &&
              gang_fits(limit->accelerators, need->accelerators,
                        step->task_count))) {
            return GF_NEVER_FITS;
        }
    }
    return GF_OK;
}

/* Removes the forecast, so that no job is refused for it. */
void
GfAdmission_ForgetForecast(GfAdmission *a)
{
    assert(a != NULL);
    a->forecast.number = 0;
    a->forecast.queue_count = 0;
    a->forecast.wait_count = 0;
}

/* Returns the forecast wait of a team's jobs in a queue, or NULL if they do
 * not have to wait. */
static const GfAdmissionWait *
find_wait(const GfAdmissionForecast *f, const GfName *queue,
          const GfName *team)
{
    const GfAdmissionWait *any = NULL;
    for (size_t i = 0; i < f->wait_count; i++) {
        const GfAdmissionWait *w = &f->waits[i];
        if (w->queue >= f->queue_count ||
            !GfName_Equal(&f->queues[w->queue].queue, queue)) {
            continue;
        }
        if (w->team.len == 0) {
            any = w;
        }
        else if (GfName_Equal(&w->team, team)) {
            return w;
        }
    }
    return any;
}

/* Returns the work of a job in mcore-ms. */
static double
work_core_ms(const GfJobSpec *spec)
{
    double sum = 0;
    for (size_t i = 0; i < spec->step_count; i++) {
        const GfStepSpec *step = &spec->steps[i];
        sum += (double)step->need.mcores * step->task_count *
               (double)step->estimate_ms;
    }
    return sum;
}

/* Returns the time for which the next caller of a queue is told to come back;
 * NULL beyond GF_ADMISSION_MAX_QUEUES. Names of removed queues stay. */
static GfReturnTime *
find_return(GfAdmission *a, const GfName *queue)
{
    for (size_t i = 0; i < a->return_count; i++) {
        if (GfName_Equal(&a->returns[i].queue, queue)) {
            return &a->returns[i];
        }
    }
    if (a->return_count == GF_ADMISSION_MAX_QUEUES) {
        return NULL;
    }
    GfReturnTime *r = &a->returns[a->return_count++];
    *r = (GfReturnTime){.queue = *queue};
    return r;
}

/* Returns when a refused caller should retry. Capacity opens in opens_ms;
 * from then on callers come back in the order in which they were refused, each
 * after the time in which this entry's part of the spare capacity does the
 * work of the one before. */
static uint32_t
return_ms(GfAdmission *a, const GfName *queue, int64_t opens_ms,
          uint32_t spare_mcores, double core_ms, struct timespec now)
{
    int64_t ms = larger(opens_ms, RETRY_MIN_MS);
    GfReturnTime *r = find_return(a, queue);
    if (r != NULL) {
        struct timespec first = GfTime_AddMs(now, ms);
        if (GfTime_Before(r->next_at, first)) {
            r->next_at = first;
        }
        ms = GfTime_DiffMs(r->next_at, now);
        double step = core_ms / (spare_mcores > 0 ? spare_mcores : 1);
        if (ms < 2 * RETURN_MAX_MS && step < RETURN_MAX_MS) {
            r->next_at = GfTime_AddMs(r->next_at, (int64_t)step);
        }
    }
    return (uint32_t)(ms <= RETURN_MAX_MS
                          ? ms
                          : RETURN_MAX_MS - ms % RETURN_SPREAD_MS);
}

/* Decides whether to accept a job by the owner's forecast. A job of a queue
 * without an objective, a long-running job and one that is due later are
 * accepted, and so is every job if the forecast is too old. Returns GF_OK;
 * GF_BUSY if the job would be done too late to be of value; or
 * GF_LIMIT_REACHED if that is so because of its team's limit. Fills in
 * check. */
GfErrorKind
GfAdmission_CheckForecast(GfAdmission *a, const GfQueue *queue,
                          const GfName *team, const GfJobSpec *spec,
                          struct timespec now, GfForecastCheck *check)
{
    assert(a != NULL && queue != NULL && team != NULL && spec != NULL);
    *check = (GfForecastCheck){0};
    const GfAdmissionForecast *f = &a->forecast;
    check->age_ms = f->number == 0 ? 0 : GfTime_DiffMs(now, f->made_at);
    if (f->number == 0 || check->age_ms > FORECAST_VALID_MS ||
        GfJobSpec_IsLongRunning(spec) || spec->first_due_ms > 0) {
        return GF_OK;
    }
    const GfAdmissionWait *w = find_wait(f, &queue->name, team);
    int64_t path_ms = GfJobSpec_CriticalPathMs(spec, GfQueue_AdviceMs(queue));
    int64_t objective_ms = GfQueue_ObjectiveMs(queue, path_ms);
    if (w == NULL || objective_ms <= 0) {
        return GF_OK;
    }
    path_ms += REPORT_DELAY_MS;
    const GfQueueForecast *q = &f->queues[w->queue];
    int64_t growth_ms = check->age_ms * q->growth_ms / MS_PER_S;
    check->wait_ms = w->wait_ms == 0 ? 0 : w->wait_ms + growth_ms;
    check->doubt_ms = w->doubt_ms + check->age_ms;
    if (check->wait_ms == 0 || check->wait_ms + path_ms <= objective_ms) {
        return GF_OK;
    }
    check->wait_ms = w->late_wait_ms;
    if (w->late_wait_ms + path_ms - check->doubt_ms <=
        objective_ms * GF_NO_VALUE_FACTOR) {
        return GF_OK;
    }
    check->retry_after_ms =
        return_ms(a, &queue->name, w->late_wait_ms - check->age_ms,
                  q->spare_mcores, work_core_ms(spec), now);
    return w->at_limit ? GF_LIMIT_REACHED : GF_BUSY;
}
