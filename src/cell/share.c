/* What teams use and may use. A team at its limit would let its long tasks
 * keep its quick ones waiting, as the former hold what they have for seconds.
 * A class therefore leaves room under the limit for what the classes before
 * it needed lately. This answers bursts of quick work of teams whose batch
 * work fills their limit. After a takeover what a former owner may have
 * running on workers not heard yet counts against the limit too. */
#include <math.h>
#include <stdlib.h>

#include "cell_private.h"

/* The peak of a class's need falls to a third in this time. */
#define PEAK_DECAY_MS 8000.0
/* Of the limit, no more than this is kept free for the classes before. */
#define MAX_RESERVE_PERCENT 50
#define PERCENT 100
/* Weight of the last second in a team's rate of starts. */
#define RATE_WEIGHT 0.3
#define MS_PER_S 1000

/* Returns what a team has running, with a new entry if there is none. */
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

/* Returns the larger of each amount. */
static GfAmounts
larger(GfAmounts a, GfAmounts b)
{
    return (GfAmounts){
        .mcores = a.mcores > b.mcores ? a.mcores : b.mcores,
        .memory_mb = a.memory_mb > b.memory_mb ? a.memory_mb : b.memory_mb,
        .accelerators =
            a.accelerators > b.accelerators ? a.accelerators : b.accelerators};
}

/* Multiplies each amount. */
static GfAmounts
scale(GfAmounts a, double factor)
{
    return (GfAmounts){.mcores = (int64_t)((double)a.mcores * factor),
                       .memory_mb = (int64_t)((double)a.memory_mb * factor),
                       .accelerators =
                           (int64_t)((double)a.accelerators * factor)};
}

/* Counts a task of a step as running. */
void
CellShare_Take(const Step *step)
{
    TeamUse *use = step->job->use;
    GfAmounts *own = &use->by_class[step->job->work_class];
    use->used = GfAmounts_Plus(use->used, step->spec->need);
    use->starts++;
    *own = GfAmounts_Plus(*own, step->spec->need);
}

/* Counts a task of a step as ended. */
void
CellShare_Give(const Step *step)
{
    TeamUse *use = step->job->use;
    GfAmounts *own = &use->by_class[step->job->work_class];
    use->used = GfAmounts_Minus(use->used, step->spec->need);
    *own = GfAmounts_Minus(*own, step->spec->need);
}

/* Returns the smaller of each amount. */
static GfAmounts
smaller(GfAmounts a, GfAmounts b)
{
    return (GfAmounts){
        .mcores = a.mcores < b.mcores ? a.mcores : b.mcores,
        .memory_mb = a.memory_mb < b.memory_mb ? a.memory_mb : b.memory_mb,
        .accelerators =
            a.accelerators < b.accelerators ? a.accelerators : b.accelerators};
}

/* Counts for each team what a former owner may have running unseen. Any idle
 * task of a job in doubt may run, but all together no more than the workers
 * not heard have room for, if all of that is known: a leased worker that left
 * the platform's table is stored without its room. Tasks carried over on a
 * silent worker count one by one. */
static void
update_doubtful(GfCell *cell, struct timespec now)
{
    for (TeamUse *u = cell->uses; u != NULL; u = u->hh.next) {
        u->doubtful = (GfAmounts){0};
    }
    GfAmounts room = {0};
    bool room_known = true;
    for (const Worker *w = cell->workers; w != NULL; w = w->hh.next) {
        if (w->suspect && !w->known) {
            room = GfAmounts_Plus(room, w->info.room);
            room_known = room_known && w->info.room.mcores > 0;
        }
    }
    for (const Step *s = cell->waiting; cell->doubt && s != NULL;
         s = s->next) {
        if (s->job->in_doubt) {
            GfAmounts *sum = &s->job->use->doubtful;
            *sum = GfAmounts_Plus(*sum, scale(s->spec->need, s->idle));
        }
    }
    for (TeamUse *u = cell->uses; room_known && u != NULL; u = u->hh.next) {
        u->doubtful = smaller(u->doubtful, room);
    }
    for (const Worker *w = cell->workers; w != NULL; w = w->hh.next) {
        for (size_t i = 0; !w->known && i < w->carried_count; i++) {
            const Task *task = CellJob_Task(cell, &w->carried[i]);
            if (task != NULL && task->state == TASK_IDLE &&
                CellPlace_InDoubt(cell, task, now)) {
                TeamUse *u = task->step->job->use;
                u->doubtful =
                    GfAmounts_Plus(u->doubtful, task->step->spec->need);
            }
        }
    }
}

/* Counts what a team has waiting. */
static uint32_t
count_waiting(const GfCell *cell, const TeamUse *use)
{
    uint32_t count = 0;
    for (const Step *s = cell->waiting; s != NULL; s = s->next) {
        count += s->job->use == use ? s->idle : 0;
    }
    return count;
}

/* Brings what decides on the admission of jobs up to date; meant to be called
 * about once a second by an owner that hears its workers. */
void
GfCell_UpdateAdmission(GfCell *cell, GfAdmission *admission)
{
    struct timespec now = GfClock_Now(cell->clock);
    int64_t ms = GfTime_DiffMs(now, cell->backlogs_updated_at);
    cell->backlogs_updated_at = now;
    for (const Worker *w = cell->workers; w != NULL; w = w->hh.next) {
        if (w->known) {
            GfAdmission_AddRoom(admission, &w->info.service, w->info.room);
        }
    }
    GfTeamBacklog backlogs[GF_ADMISSION_MAX_TEAMS];
    size_t count = 0;
    for (TeamUse *u = cell->uses; u != NULL; u = u->hh.next) {
        double rate = ms > 0 ? u->starts * MS_PER_S / (double)ms : 0;
        u->starts = 0;
        u->starts_per_s += (rate - u->starts_per_s) * RATE_WEIGHT;
        uint32_t waiting = count_waiting(cell, u);
        if (waiting > 0 && count < GF_ADMISSION_MAX_TEAMS) {
            backlogs[count++] =
                (GfTeamBacklog){u->team, waiting, u->starts_per_s};
        }
    }
    GfAdmission_SetBacklogs(admission, backlogs, count);
}

/* Brings the peaks up to date with what runs and waits. */
void
CellShare_Update(GfCell *cell, struct timespec now)
{
    int64_t ms = GfTime_DiffMs(now, cell->shares_updated_at);
    double decay = exp(-(double)ms / PEAK_DECAY_MS);
    cell->shares_updated_at = now;
    update_doubtful(cell, now);
    for (TeamUse *u = cell->uses; u != NULL; u = u->hh.next) {
        for (int c = 0; c < CELL_CLASSES; c++) {
            u->asked[c] = (GfAmounts){0};
        }
    }
    for (const Step *s = cell->waiting; s != NULL; s = s->next) {
        GfAmounts *asked = &s->job->use->asked[s->job->work_class];
        *asked = GfAmounts_Plus(*asked, scale(s->spec->need, s->idle));
    }
    for (TeamUse *u = cell->uses; u != NULL; u = u->hh.next) {
        for (int c = 0; c < CELL_CLASSES; c++) {
            u->peak[c] = larger(scale(u->peak[c], decay),
                                GfAmounts_Plus(u->by_class[c], u->asked[c]));
        }
    }
}

/* Tells whether an amount fits under a limit of which something is kept for
 * others. A limit of 0 is none. */
static bool
fits(int64_t limit, int64_t used, int64_t kept, int64_t need)
{
    int64_t most = limit * MAX_RESERVE_PERCENT / PERCENT;
    return limit == 0 || used + (kept < most ? kept : most) + need <= limit;
}

/* Tells whether the team may run so many more tasks of a step. Tasks that
 * last are held to the limit alone, since they are to be at work always. */
bool
CellShare_Allows(const Step *step, int64_t times)
{
    const GfCellTeam *team = step->job->team_in_force;
    if (team == NULL) {
        return true;
    }
    const TeamUse *use = step->job->use;
    GfAmounts need = scale(step->spec->need, (double)times);
    GfAmounts kept = {0};
    for (uint32_t c = 0; !step->spec->lasting && c < step->job->work_class;
         c++) {
        GfAmounts peak = larger(use->peak[c], use->by_class[c]);
        kept = GfAmounts_Plus(kept, GfAmounts_Minus(peak, use->by_class[c]));
    }
    const GfAmounts *l = &team->limit;
    GfAmounts used = GfAmounts_Plus(use->used, use->doubtful);
    return fits(l->mcores, used.mcores, kept.mcores, need.mcores) &&
           fits(l->memory_mb, used.memory_mb, kept.memory_mb,
                need.memory_mb) &&
           fits(l->accelerators, used.accelerators, kept.accelerators,
                need.accelerators);
}
