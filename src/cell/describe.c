/* What operators see of a cell: gauges, jobs by state and team, the teams'
 * resource use and limits, and the steps that have waited longest. */
#include <utlist.h>

#include "cell_private.h"
#include "guavaflow/metrics.h"

/* Most waiting steps in the description. */
#define LISTED_STEPS 20

static const char *const WAIT_NAMES[WAITS] = {
    "none", "due_time", "doubt", "limit", "advice_caller", "advice", "room"};

/* Updates the gauges of workers, steps, jobs and tasks. */
void
GfCell_UpdateMetrics(const GfCell *cell)
{
    size_t contacted = 0;
    for (const Worker *w = cell->workers; w != NULL; w = w->hh.next) {
        contacted += w->contacted && w->hold_failures == 0;
    }
    size_t waiting = 0;
    const Step *step;
    DL_COUNT(cell->waiting, step, waiting);
    GfMetrics_Set(GF_METRIC_WORKERS_IN_CONTACT, contacted);
    GfMetrics_Set(GF_METRIC_STEPS_WAITING, waiting);
    GfMetrics_Set(GF_METRIC_JOBS_KNOWN, HASH_COUNT(cell->jobs));
    GfMetrics_Set(GF_METRIC_TASKS_RUNNING, cell->running);
}

/* Returns resource amounts as a JSON object. */
static json_t *
describe_amounts(GfResources amounts)
{
    return json_pack("{s:I,s:I,s:I}", "mcores", (json_int_t)amounts.mcores,
                     "memory_mb", (json_int_t)amounts.memory_mb,
                     "accelerators", (json_int_t)amounts.accelerators);
}

/* Counts jobs by state: those of one team, or all if team is NULL. */
static json_t *
describe_jobs(const GfCell *cell, const GfName *team)
{
    int states[GF_JOB_STATES] = {0};
    for (const Job *j = cell->jobs; j != NULL; j = j->hh.next) {
        states[j->state] += team == NULL || GfName_Equal(&j->team, team);
    }
    json_t *jobs = json_object();
    for (int i = 0; i < GF_JOB_STATES; i++) {
        json_object_set_new(jobs, GfJobState_Name((GfJobState)i),
                            json_integer(states[i]));
    }
    return jobs;
}

/* Lists each team's jobs, resource use and limit, and what the team may have
 * running unseen after a takeover ("unheard"). */
static json_t *
describe_teams(const GfCell *cell)
{
    json_t *teams = json_array();
    for (const TeamUse *u = cell->uses; u != NULL; u = u->hh.next) {
        const GfCellTeam *team =
            cell->config == NULL
                ? NULL
                : GfCellConfig_FindTeam(cell->config, &u->team);
        GfResources none = {0};
        json_array_append_new(
            teams,
            json_pack("{s:s,s:o,s:o,s:o,s:o}", "team", u->team.data, "jobs",
                      describe_jobs(cell, &u->team), "used",
                      describe_amounts(u->used), "unheard",
                      describe_amounts(u->uncertain_use), "limit",
                      describe_amounts(team == NULL ? none : team->limit)));
    }
    return teams;
}

/* Finds up to LISTED_STEPS steps with the longest waits and writes them to the
 * array longest, the longest wait first. Returns their number. */
static size_t
find_longest(const GfCell *cell, const Step **longest)
{
    size_t count = 0;
    const Step *step;
    DL_FOREACH(cell->waiting, step)
    {
        size_t at = count;
        while (at > 0 &&
               GfTime_Before(step->idle_since, longest[at - 1]->idle_since)) {
            if (at < LISTED_STEPS) {
                longest[at] = longest[at - 1];
            }
            at--;
        }
        if (at < LISTED_STEPS) {
            longest[at] = step;
            count += count < LISTED_STEPS;
        }
    }
    return count;
}

/* Lists the steps that have waited longest, with time and cause of each
 * wait. */
static json_t *
describe_waiting(const GfCell *cell)
{
    const Step *longest[LISTED_STEPS];
    size_t count = find_longest(cell, longest);
    struct timespec now = GfClock_Now(cell->clock);
    json_t *list = json_array();
    for (size_t i = 0; i < count; i++) {
        const Step *s = longest[i];
        json_array_append_new(
            list, json_pack("{s:s,s:s,s:s,s:i,s:i,s:I,s:s}", "job",
                            s->job->id.data, "team", s->job->team.data,
                            "queue", s->job->queue.data, "step",
                            (int)s->number, "tasks", (int)s->idle, "waited_ms",
                            (json_int_t)GfTime_DiffMs(now, s->idle_since),
                            "waits_for", WAIT_NAMES[s->wait_cause]));
    }
    return list;
}

/* Returns a description of the cell for operators, which the caller owns. */
json_t *
GfCell_Describe(const GfCell *cell)
{
    int listed = 0;
    int contacted = 0;
    for (const Worker *w = cell->workers; w != NULL; w = w->hh.next) {
        listed += w->listed;
        contacted += w->contacted && w->hold_failures == 0;
    }
    size_t waiting = 0;
    const Step *step;
    DL_COUNT(cell->waiting, step, waiting);
    return json_pack(
        "{s:I,s:o,s:i,s:i,s:I,s:I,s:o,s:o,s:o,s:b}", "token",
        (json_int_t)cell->settings.token, "jobs", describe_jobs(cell, NULL),
        "workers_listed", listed, "workers_heard", contacted, "tasks_running",
        (json_int_t)cell->running, "steps_waiting", (json_int_t)waiting,
        "teams", describe_teams(cell), "waiting", describe_waiting(cell),
        "interference", CellNeighbours_Describe(cell), "in_doubt",
        cell->in_uncertainty_period);
}
