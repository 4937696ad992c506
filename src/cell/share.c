/* Resource use and limits of teams. A team at its limit would make its quick
 * tasks wait for its long ones, which hold their resources for seconds. Each
 * class therefore leaves a part of the limit free for what earlier classes
 * needed recently. After a takeover, what a former owner may have running on
 * workers that have not answered counts against the limit too. A team that
 * uses less than half of its limit may exceed it by one task. */
#include <math.h>
#include <stdlib.h>

#include "cell_private.h"

/* Time constant of the peaks' exponential decay: a peak falls to about a third
 * in this time. */
#define PEAK_DECAY_MS 8000.0
/* Largest part of the limit that is reserved for earlier classes. */
#define MAX_RESERVE_PERCENT 50
#define PERCENT 100
/* Weight of the latest sample, about one second, in a team's start rate. */
#define RATE_WEIGHT 0.3
#define MS_PER_S 1000
/* A team without waiting tasks matters to admission from this memory on. */
#define LISTED_JOB_BYTES ((size_t)512 * 1024)

/* Returns the entry of a team, which belongs to the cell; it is added if
 * missing. */
TeamUse *
Cell_TeamUse(GfCell *cell, const GfName *team)
{
    TeamUse *use = NULL;
    HASH_FIND(hh, cell->uses, team->data, team->len, use);
    if (use == NULL) {
        use = calloc(1, sizeof(*use));
        if (use == NULL) {
            abort();
        }
        use->team = *team;
        HASH_ADD(hh, cell->uses, team.data, use->team.len, use);
    }
    return use;
}

/* Returns the maximum of a and b, by component. */
static GfResources
larger(GfResources a, GfResources b)
{
    return (GfResources){
        .mcores = a.mcores > b.mcores ? a.mcores : b.mcores,
        .memory_mb = a.memory_mb > b.memory_mb ? a.memory_mb : b.memory_mb,
        .accelerators =
            a.accelerators > b.accelerators ? a.accelerators : b.accelerators};
}

/* Multiplies each component by factor, rounding towards zero. */
static GfResources
scale(GfResources a, double factor)
{
    return (GfResources){.mcores = (int64_t)((double)a.mcores * factor),
                         .memory_mb = (int64_t)((double)a.memory_mb * factor),
                         .accelerators =
                             (int64_t)((double)a.accelerators * factor)};
}

/* Adds the needs of one task of the step to its team's use and counts a
 * start. */
void
CellShare_AddTask(const Step *step)
{
    TeamUse *use = step->job->use;
    GfResources *class_use = &use->by_class[step->job->work_class];
    use->used = GfResources_Add(use->used, step->spec->need);
    use->starts++;
    *class_use = GfResources_Add(*class_use, step->spec->need);
}

/* Subtracts the needs of one task of the step from its team's use. */
void
CellShare_RemoveTask(const Step *step)
{
    TeamUse *use = step->job->use;
    GfResources *class_use = &use->by_class[step->job->work_class];
    use->used = GfResources_Subtract(use->used, step->spec->need);
    *class_use = GfResources_Subtract(*class_use, step->spec->need);
}

/* Returns the minimum of a and b, by component. */
static GfResources
smaller(GfResources a, GfResources b)
{
    return (GfResources){
        .mcores = a.mcores < b.mcores ? a.mcores : b.mcores,
        .memory_mb = a.memory_mb < b.memory_mb ? a.memory_mb : b.memory_mb,
        .accelerators =
            a.accelerators < b.accelerators ? a.accelerators : b.accelerators};
}

/* Computes for each team the resources that runs of a former owner may take
 * unseen. Any idle task of an uncertain job may run, but a team's tasks take
 * no more than the capacity of the leased workers that have not answered. This
 * bound applies only if the capacity of all these workers is known; that of a
 * worker that left the platform's table is not, as the stored lease list lacks
 * it. Tasks inherited on a closed worker are added one by one. */
static void
update_uncertain_use(GfCell *cell, struct timespec now)
{
    for (TeamUse *u = cell->uses; u != NULL; u = u->hh.next) {
        u->uncertain_use = (GfResources){0};
    }
    GfResources capacity = {0};
    bool capacity_known = true;
    for (const Worker *w = cell->workers; w != NULL; w = w->hh.next) {
        if (w->former_lease && !w->contacted) {
            capacity = GfResources_Add(capacity, w->info.capacity);
            capacity_known = capacity_known && w->info.capacity.mcores > 0;
        }
    }
    for (const Step *s = cell->waiting;
         cell->in_uncertainty_period && s != NULL; s = s->next) {
        if (s->job->uncertain) {
            GfResources *sum = &s->job->use->uncertain_use;
            *sum = GfResources_Add(*sum, scale(s->spec->need, s->idle));
        }
    }
    for (TeamUse *u = cell->uses; capacity_known && u != NULL;
         u = u->hh.next) {
        u->uncertain_use = smaller(u->uncertain_use, capacity);
    }
    for (const Worker *w = cell->workers; w != NULL; w = w->hh.next) {
        for (size_t i = 0; !w->contacted && i < w->inherited_count; i++) {
            const Task *task = CellJob_Task(cell, &w->inherited[i].task);
            if (task != NULL && task->state == TASK_IDLE &&
                CellFit_IsUncertain(cell, task, now)) {
                TeamUse *u = task->step->job->use;
                u->uncertain_use =
                    GfResources_Add(u->uncertain_use, task->step->spec->need);
            }
        }
    }
}

/* Returns the number of a team's idle tasks in waiting steps. */
static uint32_t
count_waiting(const GfCell *cell, const TeamUse *use)
{
    uint32_t count = 0;
    for (const Step *s = cell->waiting; s != NULL; s = s->next) {
        count += s->job->use == use ? s->idle : 0;
    }
    return count;
}

/* Updates the data that decides on the admission of jobs. Meant to be called
 * about once a second by an owner that is in contact with its workers. */
void
GfCell_UpdateAdmission(GfCell *cell, GfAdmission *admission)
{
    struct timespec now = GfClock_Now(cell->clock);
    int64_t ms = GfTime_DiffMs(now, cell->backlogs_updated_at);
    cell->backlogs_updated_at = now;
    for (const Worker *w = cell->workers; w != NULL; w = w->hh.next) {
        if (w->contacted) {
            GfAdmission_AddCapacity(admission, &w->info.service,
                                    w->info.capacity);
        }
    }
    GfTeamBacklog backlogs[GF_ADMISSION_MAX_TEAMS];
    size_t count = 0;
    for (TeamUse *u = cell->uses; u != NULL; u = u->hh.next) {
        double rate = ms > 0 ? u->starts * MS_PER_S / (double)ms : 0;
        u->starts = 0;
        u->starts_per_s += (rate - u->starts_per_s) * RATE_WEIGHT;
        uint32_t waiting = count_waiting(cell, u);
        if ((waiting > 0 || u->job_bytes >= LISTED_JOB_BYTES) &&
            count < GF_ADMISSION_MAX_TEAMS) {
            backlogs[count++] = (GfTeamBacklog){u->team, waiting,
                                                u->starts_per_s, u->job_bytes};
        }
    }
    GfAdmission_SetBacklogs(admission, backlogs, count);
}

/* Updates the uncertain use and the peaks of all teams from running and
 * waiting tasks. */
void
CellShare_Update(GfCell *cell, struct timespec now)
{
    int64_t ms = GfTime_DiffMs(now, cell->shares_updated_at);
    double decay = exp(-(double)ms / PEAK_DECAY_MS);
    cell->shares_updated_at = now;
    update_uncertain_use(cell, now);
    for (TeamUse *u = cell->uses; u != NULL; u = u->hh.next) {
        for (int c = 0; c < CELL_CLASSES; c++) {
            u->waiting_need[c] = (GfResources){0};
        }
    }
    for (const Step *s = cell->waiting; s != NULL; s = s->next) {
        GfResources *waiting_need =
            &s->job->use->waiting_need[s->job->work_class];
        *waiting_need =
            GfResources_Add(*waiting_need, scale(s->spec->need, s->idle));
    }
    for (TeamUse *u = cell->uses; u != NULL; u = u->hh.next) {
        for (int c = 0; c < CELL_CLASSES; c++) {
            u->peak[c] =
                larger(scale(u->peak[c], decay),
                       GfResources_Add(u->by_class[c], u->waiting_need[c]));
        }
    }
}

/* Returns whether count tasks with this need may start within a limit: they
 * fit beside what is used and reserved, of which up to MAX_RESERVE_PERCENT of
 * the limit counts, or less than half of the limit is used and only the last
 * of them exceeds it. Without the latter a task that needs most of the limit
 * might wait for ever, and one that needs more would, once the limit is
 * lowered. A limit of 0 is no limit. */
static bool
fits(int64_t limit, int64_t used, int64_t reserved, int64_t need,
     int64_t count)
{
    int64_t most = limit * MAX_RESERVE_PERCENT / PERCENT;
    return limit == 0 ||
           used + (reserved < most ? reserved : most) + need * count <=
               limit ||
           (used * 2 < limit && used + need * (count - 1) <= limit);
}

/* Returns whether the limit of a step's team allows count further tasks of the
 * step beside what is used. What earlier classes needed recently is kept free,
 * but not from long-running tasks, since these should run at all times. */
static bool
allows(const Step *step, GfResources used, int64_t count)
{
    const GfCellTeam *team = step->job->team_in_force;
    if (team == NULL) {
        return true;
    }
    const TeamUse *use = step->job->use;
    GfResources reserved = {0};
    for (uint32_t c = 0;
         !step->spec->long_running && c < step->job->work_class; c++) {
        GfResources peak = larger(use->peak[c], use->by_class[c]);
        reserved = GfResources_Add(
            reserved, GfResources_Subtract(peak, use->by_class[c]));
    }
    const GfResources *l = &team->limit;
    const GfResources *need = &step->spec->need;
    used = GfResources_Add(used, use->uncertain_use);
    return fits(l->mcores, used.mcores, reserved.mcores, need->mcores,
                count) &&
           fits(l->memory_mb, used.memory_mb, reserved.memory_mb,
                need->memory_mb, count) &&
           fits(l->accelerators, used.accelerators, reserved.accelerators,
                need->accelerators, count);
}

/* Returns whether the limit of a step's team allows the given number of
 * further tasks of the step, at least one, to start together. */
bool
CellShare_Allows(const Step *step, int64_t count)
{
    return allows(step, step->job->use->used, count);
}

/* Returns whether the limit of a task's team would allow the task, which runs,
 * to start again after it has ended. */
bool
CellShare_AllowsAgain(const Task *task)
{
    GfResources rest = GfResources_Subtract(task->step->job->use->used,
                                            task->step->spec->need);
    return allows(task->step, rest, 1);
}
