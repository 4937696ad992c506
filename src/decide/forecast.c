/* Forecast of waits under overload. Time is divided into slices. In each one
 * the processors that have become free go to the waiting work in scheduling
 * order, and what is started there becomes free again after its run time. Work
 * that arrives in time goes before late work, so a job that turns late in a
 * lasting overload is not served, however little late work there is.
 *
 * The teams of a class share capacity by max-min fairness with weights
 * (Bertsekas and Gallager, Data Networks, 6.5.2), each up to its limit. */
#include "guavaflow/forecast.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

/* The slices: three bands, each with wider ones than the one before. */
#define BAND_SLICES 40
#define BANDS 3
#define SLICES (BAND_SLICES * BANDS)
/* Teams and the one that stands for a new team. */
#define TEAM_SLOTS (GF_FORECAST_TEAMS + 1)
/* Amounts of processors below this count as none. */
#define LEAST_MCORES 1.0
/* The doubt of a wait, beside the width of a slice. */
#define DOUBT_PERCENT 10
#define PERCENT 100
#define NOT_REACHED (-1)

static const int64_t BAND_WIDTHS_MS[BANDS] = {100, 250, 1000};

/* What a team has waiting in a class, in mcores. */
typedef struct {
    double present; /* in time, submitted before now */
    double late;
    double core_ms; /* of both, in mcore-ms */
    int64_t run_ms; /* mean of the tasks, at least 1 */
    double future;  /* arrived in a slice */
    GfForecastArrivals arrivals;
    int64_t wait_ms; /* NOT_REACHED until it is found */
    int64_t late_wait_ms;
    bool at_limit;
} Line;

/* A team. What it has running in the current slice, and what of it ends at the
 * beginning of each one, in mcores. */
typedef struct {
    double weight;
    double limit; /* 0: none */
    double running;
    double ends[SLICES + 1];
    Line lines[GF_FORECAST_CLASSES];
} Team;

/* A class, and its preemptible running work as in Team. */
typedef struct {
    GfForecastClass values;
    double running;
    double ends[SLICES + 1];
    double waiting;             /* mcores */
    double waiting_preemptible; /* part of waiting */
} Class;

struct GfForecast {
    Team teams[TEAM_SLOTS];
    Class classes[GF_FORECAST_CLASSES];
    double running; /* what cannot be preempted, as in Team */
    double ends[SLICES + 1];
    size_t team_count; /* of the teams that were set or used */
};

/* Creates an empty forecast; the caller destroys it. */
GfForecast *
GfForecast_Create(void)
{
    GfForecast *f = malloc(sizeof(*f));
    if (f == NULL) {
        abort();
    }
    GfForecast_Clear(f);
    return f;
}

/* Frees a forecast; NULL is allowed. */
void
GfForecast_Destroy(GfForecast *f)
{
    free(f);
}

/* Removes all that was set, added and computed. */
void
GfForecast_Clear(GfForecast *f)
{
    assert(f != NULL);
    memset(f, 0, sizeof(*f));
    for (size_t t = 0; t < TEAM_SLOTS; t++) {
        f->teams[t].weight = 1;
    }
}

/* Returns the class with this number, or the last one. */
static uint32_t
class_index(uint32_t work_class)
{
    return work_class < GF_FORECAST_CLASSES ? work_class
                                            : GF_FORECAST_CLASSES - 1;
}

/* Returns the slot of the team with this number, and counts it as used. */
static size_t
use_team(GfForecast *f, size_t team)
{
    size_t at = team < GF_FORECAST_TEAMS ? team : GF_FORECAST_TEAMS - 1;
    f->team_count = f->team_count > at ? f->team_count : at + 1;
    return at;
}

/* Sets what holds for a class. */
void
GfForecast_SetClass(GfForecast *f, uint32_t work_class,
                    const GfForecastClass *values)
{
    assert(f != NULL && values != NULL);
    f->classes[class_index(work_class)].values = *values;
}

/* Sets a team's weight, above 0, and its limit; 0: none. */
void
GfForecast_SetTeam(GfForecast *f, size_t team, double weight,
                   int64_t limit_mcores)
{
    assert(f != NULL && weight > 0);
    Team *t = &f->teams[use_team(f, team)];
    t->weight = weight;
    t->limit = (double)limit_mcores;
}

/* Sets how much work of a team and class arrives. */
void
GfForecast_SetArrivals(GfForecast *f, size_t team, uint32_t work_class,
                       const GfForecastArrivals *arrivals)
{
    assert(f != NULL && arrivals != NULL);
    f->teams[use_team(f, team)].lines[class_index(work_class)].arrivals =
        *arrivals;
}

/* Returns the start of a slice and sets *width_ms. */
static int64_t
slice_start_ms(size_t slice, int64_t *width_ms)
{
    int64_t start = 0;
    size_t band = 0;
    while (band + 1 < BANDS && slice >= BAND_SLICES) {
        start += BAND_SLICES * BAND_WIDTHS_MS[band++];
        slice -= BAND_SLICES;
    }
    *width_ms = BAND_WIDTHS_MS[band];
    return start + (int64_t)slice * BAND_WIDTHS_MS[band];
}

/* Returns the slice whose start is closest to a time, but at least first;
 * SLICES if that is beyond the horizon. */
static size_t
closest_slice(int64_t ms, size_t first)
{
    size_t slice = 0;
    for (size_t band = 0; band < BANDS; band++) {
        int64_t width = BAND_WIDTHS_MS[band];
        if (ms < BAND_SLICES * width) {
            slice += (size_t)((ms + width / 2) / width);
            return slice > first ? slice : first;
        }
        ms -= BAND_SLICES * width;
        slice += BAND_SLICES;
    }
    return SLICES;
}

/* Adds a running task, or several that end at the same time. */
void
GfForecast_AddRunning(GfForecast *f, size_t team, uint32_t work_class,
                      int64_t mcores, int64_t remaining_ms, bool preemptible)
{
    assert(f != NULL);
    size_t slice = closest_slice(remaining_ms > 0 ? remaining_ms : 0, 1);
    Team *t = &f->teams[use_team(f, team)];
    Class *c = &f->classes[class_index(work_class)];
    double amount = (double)mcores;
    t->running += amount;
    t->ends[slice] += amount;
    if (preemptible) {
        c->running += amount;
        c->ends[slice] += amount;
    }
    else {
        f->running += amount;
        f->ends[slice] += amount;
    }
}

/* Adds waiting tasks that need mcores together and run for run_ms each. late:
 * they cannot be in time, but are still of value to their caller. */
void
GfForecast_AddWaiting(GfForecast *f, size_t team, uint32_t work_class,
                      int64_t mcores, int64_t run_ms, bool preemptible,
                      bool late)
{
    assert(f != NULL);
    Line *line = &f->teams[use_team(f, team)].lines[class_index(work_class)];
    Class *c = &f->classes[class_index(work_class)];
    double amount = (double)mcores;
    *(late ? &line->late : &line->present) += amount;
    line->core_ms += amount * (double)run_ms;
    c->waiting += amount;
    c->waiting_preemptible += preemptible ? amount : 0;
}

/* Ends the runs that end before a slice. */
static void
end_runs(GfForecast *f, size_t slice)
{
    f->running -= f->ends[slice];
    for (uint32_t c = 0; c < GF_FORECAST_CLASSES; c++) {
        f->classes[c].running -= f->classes[c].ends[slice];
    }
    for (size_t t = 0; t < f->team_count; t++) {
        f->teams[t].running -= f->teams[t].ends[slice];
    }
}

/* Adds the work that arrives in a slice. What cannot be in time any more when
 * its turn comes is left out, as it goes behind work that is older. */
static void
add_arrivals(GfForecast *f, int64_t start_ms, int64_t width_ms)
{
    for (size_t t = 0; t < f->team_count; t++) {
        for (uint32_t c = 0; c < GF_FORECAST_CLASSES; c++) {
            Line *line = &f->teams[t].lines[c];
            const GfForecastClass *values = &f->classes[c].values;
            const GfForecastArrivals *a = &line->arrivals;
            double rate =
                start_ms < a->lasting_ms ? a->now_mcores : a->later_mcores;
            double run = values->run_ms > 0 ? (double)values->run_ms : 1;
            double most =
                rate * (double)(values->slack_ms > width_ms ? values->slack_ms
                                                            : width_ms);
            line->future += rate * (double)width_ms / run;
            if (line->future > most / run) {
                line->future = most / run;
            }
        }
    }
}

/* Returns the processors that a class can get in the current slice: free ones
 * and those of running work of later classes that can be preempted. */
static double
free_mcores(const GfForecast *f, uint32_t work_class)
{
    double amount = (double)f->classes[work_class].values.capacity_mcores;
    amount -= f->running;
    for (uint32_t c = 0; c <= work_class; c++) {
        amount -= f->classes[c].running;
    }
    return amount > 0 ? amount : 0;
}

/* Starts work of a team in a slice: it holds amount mcores until it ends. */
static void
start_work(GfForecast *f, size_t team, uint32_t work_class, double amount,
           size_t end_slice)
{
    Team *t = &f->teams[team];
    Class *c = &f->classes[work_class];
    bool preemptible = c->waiting_preemptible * 2 > c->waiting;
    t->running += amount;
    t->ends[end_slice] += amount;
    if (preemptible) {
        c->running += amount;
        c->ends[end_slice] += amount;
    }
    else {
        f->running += amount;
        f->ends[end_slice] += amount;
    }
}

/* The work of one class, in time or late, while capacity is shared out in a
 * slice. */
typedef struct {
    uint32_t work_class;
    bool late;
    size_t slice;
    int64_t start_ms;
    int64_t width_ms;
    double wanted[TEAM_SLOTS]; /* mcores that the teams want to hold */
    double room[TEAM_SLOTS];   /* mcores that their limits leave them */
    double given[TEAM_SLOTS];
    double was_free; /* mcores that were free */
    double left;     /* mcores that still are */
    double level; /* mcores per weight that a team can get; 0: all it wants */
} Round;

/* Returns how many tasks in a row a processor can run in a slice. */
static double
turns(const GfForecast *f, const Round *r, size_t team)
{
    double n = (double)r->width_ms /
               (double)f->teams[team].lines[r->work_class].run_ms;
    return n > 1 ? n : 1;
}

/* Shares the free processors among the teams in proportion to their weights.
 * Those that need less than their part, or are at their limit, leave the rest
 * to the others. */
static void
share_out(const GfForecast *f, Round *r)
{
    bool settled = false;
    while (!settled && r->left >= LEAST_MCORES) {
        double weights = 0;
        for (size_t t = 0; t < f->team_count; t++) {
            weights += r->wanted[t] > 0 ? f->teams[t].weight : 0;
        }
        if (weights <= 0) {
            return;
        }
        double left = r->left;
        settled = true;
        for (size_t t = 0; t < f->team_count; t++) {
            double part = left * f->teams[t].weight / weights;
            if (r->wanted[t] > 0 && r->wanted[t] <= part) {
                r->given[t] += r->wanted[t];
                r->left -= r->wanted[t];
                r->wanted[t] = 0;
                settled = false;
            }
        }
        if (settled) {
            for (size_t t = 0; t < f->team_count; t++) {
                if (r->wanted[t] > 0) {
                    r->given[t] += left * f->teams[t].weight / weights;
                }
            }
            r->left = 0;
            r->level = left / weights;
        }
    }
}

/* Returns when in the slice the work before a new job of a team has started;
 * what is free at the beginning of the forecast is so at once. */
static int64_t
start_in_slice(const Round *r, double before, double rest)
{
    if (r->slice == 0 || before < LEAST_MCORES) {
        return r->start_ms;
    }
    return r->start_ms +
           (int64_t)((double)r->width_ms * before / (before + rest));
}

/* Notes the wait of a team's next job once nothing of the team goes before it
 * and there is room. before is what had to go before it in this slice, after
 * what still has to, rest what is left for later work. */
static void
note_wait(GfForecast *f, const Round *r, size_t team, double before,
          double after, double rest)
{
    Line *line = &f->teams[team].lines[r->work_class];
    int64_t *wait = r->late ? &line->late_wait_ms : &line->wait_ms;
    if (*wait != NOT_REACHED) {
        return;
    }
    if (r->room[team] < LEAST_MCORES && r->was_free >= LEAST_MCORES) {
        line->at_limit = true;
    }
    else if (after < LEAST_MCORES && rest >= LEAST_MCORES) {
        *wait = start_in_slice(r, before, rest);
    }
}

/* Starts the waiting work of a class in a slice, either all that is in time or
 * all that is late, as far as there is room. Returns whether some is left. */
static bool
serve(GfForecast *f, uint32_t work_class, bool late, size_t slice)
{
    Round r = {.work_class = work_class, .late = late, .slice = slice};
    r.start_ms = slice_start_ms(slice, &r.width_ms);
    r.left = free_mcores(f, work_class);
    r.was_free = r.left;
    for (size_t t = 0; t < f->team_count; t++) {
        const Team *team = &f->teams[t];
        const Line *line = &team->lines[work_class];
        double wanted = late ? line->late : line->present + line->future;
        r.room[t] =
            team->limit > 0 ? team->limit - team->running : r.was_free + 1;
        wanted /= turns(f, &r, t);
        r.wanted[t] = wanted < r.room[t] ? wanted : r.room[t];
    }
    r.room[GF_FORECAST_NEW_TEAM] = r.was_free + 1;
    share_out(f, &r);
    bool some_left = false;
    for (size_t t = 0; t < f->team_count; t++) {
        Line *line = &f->teams[t].lines[work_class];
        double *first = late ? &line->late : &line->present;
        double before = *first;
        double n = turns(f, &r, t);
        double started = r.given[t] * n;
        double rest = r.level * f->teams[t].weight - r.given[t];
        rest = rest > r.left ? rest : r.left;
        if (started >= before) {
            rest += (started - before) / n;
            line->future -= late ? 0 : started - before;
            line->future = line->future > 0 ? line->future : 0;
            started = before;
        }
        *first -= started;
        double room = r.room[t] - before / n;
        rest = rest < room ? rest : room;
        if (r.given[t] > 0) {
            start_work(f, t, work_class, r.given[t],
                       closest_slice(r.start_ms + line->run_ms, slice + 1));
        }
        note_wait(f, &r, t, before, *first, rest);
        bool at_limit = r.room[t] - r.given[t] < LEAST_MCORES;
        some_left = some_left ||
                    (!at_limit && (*first >= LEAST_MCORES ||
                                   (!late && line->future >= LEAST_MCORES)));
    }
    note_wait(f, &r, GF_FORECAST_NEW_TEAM, 0, 0, late ? r.left : r.was_free);
    return some_left;
}

/* Prepares the line of a team and class for the first slice. */
static void
begin_line(Line *line, const Class *work_class)
{
    double sum = line->present + line->late;
    int64_t run =
        sum > 0 ? (int64_t)(line->core_ms / sum) : work_class->values.run_ms;
    line->run_ms = run > 1 ? run : 1;
    line->wait_ms = NOT_REACHED;
    line->late_wait_ms = NOT_REACHED;
}

/* Plays the scheduling order forward and finds all waits. What was set and
 * added is used up: the next forecast begins with GfForecast_Clear. */
void
GfForecast_Compute(GfForecast *f)
{
    assert(f != NULL);
    for (size_t t = 0; t < TEAM_SLOTS; t++) {
        for (uint32_t c = 0; c < GF_FORECAST_CLASSES; c++) {
            begin_line(&f->teams[t].lines[c], &f->classes[c]);
        }
    }
    for (size_t slice = 0; slice < SLICES; slice++) {
        int64_t width;
        int64_t start = slice_start_ms(slice, &width);
        end_runs(f, slice);
        if (slice > 0) {
            add_arrivals(f, start, width);
        }
        bool some_left = false;
        for (uint32_t c = 0; c < GF_FORECAST_CLASSES; c++) {
            some_left |= serve(f, c, false, slice);
        }
        for (uint32_t c = 0; !some_left && c < GF_FORECAST_CLASSES; c++) {
            some_left = serve(f, c, true, slice);
        }
    }
}

/* Returns the wait of a job of a team and class that is submitted now, after
 * GfForecast_Compute. */
GfForecastWait
GfForecast_Wait(const GfForecast *f, size_t team, uint32_t work_class)
{
    assert(f != NULL);
    size_t at = team < f->team_count ? team : GF_FORECAST_NEW_TEAM;
    const Line *line = &f->teams[at].lines[class_index(work_class)];
    GfForecastWait w = {.wait_ms = line->wait_ms,
                        .late_wait_ms = line->late_wait_ms};
    if (w.wait_ms == NOT_REACHED) {
        w.wait_ms = GF_FORECAST_HORIZON_MS;
    }
    if (w.late_wait_ms == NOT_REACHED) {
        w.late_wait_ms = GF_FORECAST_HORIZON_MS;
    }
    if (w.late_wait_ms < w.wait_ms) {
        w.late_wait_ms = w.wait_ms;
    }
    w.at_limit = line->at_limit;
    w.doubt_ms = w.late_wait_ms * DOUBT_PERCENT / PERCENT + BAND_WIDTHS_MS[0];
    return w;
}

/* Returns how long a request for advice waits behind others that take
 * request_ms each, with a number of callers that take one at a time; 0 without
 * callers, as nothing is known then. */
int64_t
GfForecast_AdviceWaitMs(size_t requests, size_t callers, int64_t request_ms)
{
    return callers == 0 || requests < callers
               ? 0
               : (int64_t)(requests / callers) * request_ms;
}
