/* What operators see of steps that wait and are placed: the wait by cause, the
 * step that waits longest, and once a second what each class waited. */
#include <inttypes.h>
#include <stdio.h>

#include <utlist.h>

#include "cell_private.h"
#include "guavaflow/log.h"
#include "guavaflow/metrics.h"

/* Buffer for the workers in a log line on placed tasks; the rest is left
 * out. */
#define PLACED_BYTES 400
/* A step that waits at least this long until its last task is placed is
 * logged. */
#define LATE_START_MS 300
/* Shortest wait that is logged for a waiting step, and the interval of these
 * lines. */
#define WAIT_LOG_MS 1000
/* Interval of the lines on the waits of classes. */
#define REPORT_MS 1000
/* Buffer for the teams in such a line. */
#define TEAMS_BYTES (GF_WAIT_WORST_TEAMS * (GF_NAME_MAX_BYTES + 24))

_Static_assert(GF_WAIT_CLASSES == CELL_CLASSES, "classes of the wait report");
_Static_assert(GF_WAIT_CAUSES == WAITS, "causes of the wait report");
_Static_assert(GF_HISTOGRAM_WAIT_CAPACITY - GF_HISTOGRAM_WAIT_ROUND ==
                   WAIT_CAPACITY - WAIT_NONE,
               "histograms of the causes");

/* Returns how many idle tasks of a step may still run on a worker that has not
 * answered in this term. */
static uint32_t
count_uncertain(const GfCell *cell, const Step *step, struct timespec now)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < step->spec->task_count; i++) {
        const Task *t = &step->tasks[i];
        count += !t->done && t->state == TASK_IDLE &&
                 CellFit_IsUncertain(cell, t, now);
    }
    return count;
}

/* Logs a step whose last idle task was placed late, with the wait by cause in
 * ms. */
static void
log_late_start(const Step *step, struct timespec now)
{
    int64_t ms = GfTime_DiffMs(now, step->idle_since);
    if (ms < LATE_START_MS) {
        return;
    }
    const int32_t *w = step->waited_ms;
    GfLog(GF_LOG_NOTICE, CELL_PART,
          "step placed late id=%s step=%u class=%u waited_ms=%lld due=%d "
          "doubt=%d limit=%d caller=%d advice=%d room=%d round=%d",
          step->job->id.data, step->number, step->job->work_class,
          (long long)ms, w[WAIT_DUE], w[WAIT_UNCERTAIN], w[WAIT_LIMIT],
          w[WAIT_CALLER], w[WAIT_ADVICE], w[WAIT_CAPACITY], w[WAIT_NONE]);
}

/* Logs the tasks of a step that a round has placed, with their workers. count
 * is how many; only pending starts are listed. */
void
CellPlaceLog_Placed(const GfCell *cell, const Step *step, uint32_t count)
{
    if (!GfLog_IsTaken(GF_LOG_DETAIL)) {
        return;
    }
    char workers[PLACED_BYTES] = "";
    size_t len = 0;
    for (uint32_t i = 0; i < step->spec->task_count; i++) {
        const Task *t = &step->tasks[i];
        if (t->state != TASK_STARTING ||
            len + GF_NAME_MAX_BYTES + 16 > sizeof(workers)) {
            continue;
        }
        len +=
            (size_t)snprintf(workers + len, sizeof(workers) - len, "%s%u:%s",
                             len > 0 ? "," : "", i, t->worker->info.id.data);
    }
    GfLog(GF_LOG_DETAIL, CELL_PART,
          "step placed id=%s step=%u placed=%u idle=%u waited_ms=%lld "
          "token=%lld on=%s",
          step->job->id.data, step->number, count, step->idle,
          (long long)GfTime_DiffMs(GfClock_Now(cell->clock), step->idle_since),
          (long long)cell->settings.token, workers);
}

/* Returns whether the step is not due yet, and so waits for nothing else. */
static bool
is_not_due(const Step *step)
{
    return step->wait_cause == WAIT_DUE && step->job->queue_in_force != NULL;
}

/* Adds what the step has waited since the last call to the wait report. Time
 * until a step is due is not put down to its team. */
static void
add_to_report(Step *step)
{
    Job *job = step->job;
    for (uint32_t c = 0; c < WAITS; c++) {
        bool due = c == WAIT_DUE && job->queue_in_force != NULL;
        int32_t ms = step->waited_ms[c] - step->reported_ms[c];
        if (ms > 0) {
            GfWaitReport_Add(job->cell->waits, job->work_class, c,
                             due ? NULL : &job->team, ms);
            step->reported_ms[c] = step->waited_ms[c];
        }
    }
}

/* Records the wait of a step whose last idle task was placed: in total, and
 * for each cause that it waited for. */
static void
observe_wait(const Step *step, struct timespec now)
{
    GfMetrics_Observe(GF_HISTOGRAM_STEP_WAIT,
                      GfTime_DiffMs(now, step->idle_since));
    for (int c = 0; c < WAITS; c++) {
        if (step->waited_ms[c] > 0) {
            GfMetrics_Observe((GfHistogram)(GF_HISTOGRAM_WAIT_ROUND + c),
                              step->waited_ms[c]);
        }
    }
}

/* Adds the time since the step's last round to the cause of that round's wait,
 * and records the cause of the wait that follows. */
void
CellPlaceLog_RecordWait(Step *step, struct timespec now, WaitCause cause)
{
    step->waited_ms[step->wait_cause] +=
        (int32_t)GfTime_DiffMs(now, step->wait_updated_at);
    step->wait_updated_at = now;
    step->wait_cause = (uint8_t)cause;
    if (cause == WAIT_NONE) {
        add_to_report(step);
        observe_wait(step, now);
        log_late_start(step, now);
    }
}

/* Logs the step that has waited longest, with the likely causes, if it has
 * waited for WAIT_LOG_MS; at most once in that time. */
void
CellPlaceLog_LongestWait(GfCell *cell, struct timespec now)
{
    if (GfTime_DiffMs(now, cell->wait_logged_at) < WAIT_LOG_MS) {
        return;
    }
    const Step *longest = NULL;
    Step *step;
    DL_FOREACH(cell->waiting, step)
    {
        if (longest == NULL ||
            GfTime_Before(step->idle_since, longest->idle_since)) {
            longest = step;
        }
    }
    if (longest == NULL ||
        GfTime_DiffMs(now, longest->idle_since) < WAIT_LOG_MS) {
        return;
    }
    cell->wait_logged_at = now;
    int eligible = 0;
    int with_capacity = 0;
    int tickets = 0;
    for (const Worker *w = cell->workers; w != NULL; w = w->hh.next) {
        bool ok = CellFit_Eligible(cell, w, longest);
        eligible += ok;
        with_capacity += ok && CellFit_HasCapacity(w, longest);
        tickets += CellAdvice_FindTicket(longest, w->serial, now) != NULL;
    }
    GfLog(GF_LOG_INFO, CELL_PART,
          "step waits id=%s step=%u idle=%u since_ms=%lld eligible=%d "
          "with_room=%d tickets=%d allowed=%zu denied=%zu asking=%d "
          "lasting=%d in_limit=%d in_doubt=%d unseen=%u",
          longest->job->id.data, longest->number, longest->idle,
          (long long)GfTime_DiffMs(now, longest->idle_since), eligible,
          with_capacity, tickets, longest->allowed_count,
          longest->denied_count, longest->asking, longest->spec->long_running,
          CellShare_Allows(longest, 1),
          longest->job->uncertain && cell->in_uncertainty_period,
          count_uncertain(cell, longest, now));
}

/* Logs what the steps of a class waited in the period, unless none of them
 * waited for more than to be due. */
static void
log_class_waits(const GfCell *cell, uint32_t work_class, int64_t period_ms)
{
    GfClassWaits waits;
    GfWaitReport_Summarize(cell->waits, work_class, &waits);
    const int64_t *w = waits.by_cause_ms;
    if (waits.waiting == 0 && waits.total_ms == w[WAIT_DUE]) {
        return;
    }
    char teams[TEAMS_BYTES] = "";
    size_t len = 0;
    for (size_t i = 0; i < waits.worst_count && len < sizeof(teams); i++) {
        const GfTeamWait *t = &waits.worst[i];
        len += (size_t)snprintf(teams + len, sizeof(teams) - len,
                                "%s%s:%" PRId64, i > 0 ? "," : "",
                                t->team.len > 0 ? t->team.data : "-",
                                t->waited_ms);
    }
    GfLog(GF_LOG_INFO, CELL_PART,
          "steps waiting class=%u waiting=%u waited_ms=%" PRId64
          " due=%" PRId64 " doubt=%" PRId64 " limit=%" PRId64
          " caller=%" PRId64 " advice=%" PRId64 " room=%" PRId64
          " round=%" PRId64 " over_ms=%" PRId64 " other_teams=%" PRId64
          " teams=%s",
          work_class, waits.waiting, waits.total_ms, w[WAIT_DUE],
          w[WAIT_UNCERTAIN], w[WAIT_LIMIT], w[WAIT_CALLER], w[WAIT_ADVICE],
          w[WAIT_CAPACITY], w[WAIT_NONE], period_ms, waits.other_teams_ms,
          teams);
}

/* Logs once in REPORT_MS what the steps of each class have waited since the
 * last time: those placed in the meantime and those that wait on. While no
 * placement round may run, waiting steps wait for one. */
void
CellPlaceLog_ReportWaits(GfCell *cell, struct timespec now)
{
    int64_t period_ms = GfTime_DiffMs(now, cell->waits_reported_at);
    if (period_ms < REPORT_MS) {
        return;
    }
    cell->waits_reported_at = now;
    bool allowed = CellPlace_IsAllowed(cell);
    Step *step;
    DL_FOREACH(cell->waiting, step)
    {
        bool held_up = !allowed && !is_not_due(step);
        step->waited_ms[held_up ? WAIT_NONE : step->wait_cause] +=
            (int32_t)GfTime_DiffMs(now, step->wait_updated_at);
        step->wait_updated_at = now;
        add_to_report(step);
        if (!is_not_due(step)) {
            GfWaitReport_CountWaiting(cell->waits, step->job->work_class);
        }
    }
    for (uint32_t c = 0; c < CELL_CLASSES; c++) {
        log_class_waits(cell, c, period_ms);
    }
    GfWaitReport_Clear(cell->waits);
}
