/* The order in which waiting steps get workers when demand exceeds capacity.
 * Work that can still meet its objective goes first, by class, and within a
 * class the team that uses the fewest cores for its weight; late work follows,
 * so that it does not make other work late as well. */
#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "cell_private.h"

/* Work that takes longer than its objective is late, and beyond three times
 * the objective its result has no value to the caller; this is the documented
 * definition. */
#define NO_VALUE_FACTOR 3
/* Time from the completion of a job's last task until the result is stored and
 * visible: the worker's report, the commit interval and a transaction. */
#define REPORT_DELAY_MS 60

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
static uint32_t
lateness(const Step *step, int64_t age_ms)
{
    const Job *job = step->job;
    int64_t done_ms = age_ms + step->remaining_ms + REPORT_DELAY_MS;
    if (step->spec->long_running || job->objective_ms == 0 ||
        done_ms <= job->objective_ms) {
        return 0;
    }
    return done_ms <= job->objective_ms * NO_VALUE_FACTOR ? 1 : 2;
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
    r.lateness = lateness(step, r.age_ms);
    r.work_class = queue == NULL ? UINT32_MAX : queue->work_class;
    double weight = team == NULL || team->weight <= 0 ? 1 : team->weight;
    r.share = (double)job->use->used.mcores / weight;
    return r;
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
    Rank *ranks = malloc(count * sizeof(Rank));
    if (ranks == NULL) {
        abort();
    }
    size_t i = 0;
    DL_FOREACH(cell->waiting, step)
    {
        ranks[i++] = rank(step, now);
    }
    qsort(ranks, count, sizeof(Rank), compare);
    for (i = 0; i < count; i++) {
        cell->order[i] = ranks[i].step;
    }
    free(ranks);
    return count;
}
