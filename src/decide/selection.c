#include "guavaflow/selection.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

/* Part of the room that the plan counts on. The rest is lost between the end
 * of a run and the next start, and where what is free on a worker is too
 * little for a task. */
#define PLANNED_PART 0.8
/* Part of the room that the later classes together are guaranteed while they
 * have work that can be in time. */
#define LATER_CLASSES_PART 0.15

/* The rating of a team's jobs falls to a half when it comes to use this part
 * of an equal share of the room. */
#define SHARE_BASE 0.5

/* Above all values of steps. */
#define BEGUN_HOLD 1e9
/* Bits of a sort key for a class, a number and an age. */
#define CLASS_BITS 4
#define NUMBER_BITS 32
#define AGE_BITS 26
/* Digits by which keys are sorted. */
#define DIGIT_BITS 8
#define DIGITS (1 << DIGIT_BITS)

/* A step while it is planned. */
typedef struct {
    GfSelectionStep *step;
    double share;        /* the team's mcores in use by its weight */
    double value;        /* worth for the work */
    double hold;         /* value, higher if begun; given up lowest first */
    double rating;       /* value, lower for teams that use more than others */
    uint32_t rank;       /* place in the usual order */
    uint32_t class_rank; /* order in which the classes are served */
    bool kept;
} Candidate;

/* A candidate's index with the number that it is sorted by. */
typedef struct {
    uint64_t key;
    uint32_t index;
} Key;

/* A team in a plan. heap holds its kept candidates, the one to give up first
 * on top. */
typedef struct {
    Candidate **heap;
    size_t count;
    bool has_unbegun; /* in the heap */
    double load;      /* mcores in use and kept, by weight */
    double work;      /* kept */
    double rate;      /* mcores that the team may use; 0: no limit */
} TeamPlan;

/* All steps while they are planned, by the index of the caller's array; usual
 * has them in the usual order. The rest is scratch: sorted are candidates of
 * one class, and heaps is divided among the teams. */
typedef struct {
    Candidate *candidates;
    Key *usual;
    Key *keys;
    Key *spare;
    Candidate **sorted;
    Candidate **heaps;
    size_t count;
    const GfSelectionTeam *teams;
    TeamPlan *team_plans;
    size_t *team_counts; /* candidates of the class that is planned */
    size_t team_count;
} Plan;

/* Sorts keys, lowest first; equal ones keep their order. A radix sort from the
 * lowest digit, as there can be thousands of steps in each round. spare has as
 * many elements. */
static void
sort_keys(Key *keys, Key *spare, size_t count)
{
    Key *from = keys;
    Key *to = spare;
    for (uint32_t shift = 0; shift < 64; shift += DIGIT_BITS) {
        size_t begins[DIGITS + 1] = {0};
        for (size_t i = 0; i < count; i++) {
            begins[((from[i].key >> shift) & (DIGITS - 1)) + 1]++;
        }
        if (count == 0 ||
            begins[((from[0].key >> shift) & (DIGITS - 1)) + 1] == count) {
            continue; /* all have the same digit */
        }
        for (size_t d = 1; d < DIGITS; d++) {
            begins[d] += begins[d - 1];
        }
        for (size_t i = 0; i < count; i++) {
            to[begins[(from[i].key >> shift) & (DIGITS - 1)]++] = from[i];
        }
        Key *swap = from;
        from = to;
        to = swap;
    }
    if (from != keys) {
        memcpy(keys, from, count * sizeof(Key));
    }
}

/* Returns NUMBER_BITS bits that are ordered as the numbers are; negative ones
 * count as 0. */
static uint64_t
number_bits(double number)
{
    float f = number > 0 ? (float)number : 0;
    uint32_t bits = 0;
    memcpy(&bits, &f, sizeof(bits));
    return bits;
}

/* Returns ms in AGE_BITS bits. */
static uint64_t
age_bits(int64_t ms)
{
    int64_t most = ((int64_t)1 << AGE_BITS) - 1;
    return (uint64_t)(ms < 0 ? 0 : (ms > most ? most : ms));
}

/* Returns a class in CLASS_BITS bits. */
static uint64_t
class_bits(uint32_t class)
{
    uint32_t last = (1U << CLASS_BITS) - 1;
    return class < last ? class : last;
}

/* Returns the group of a step by its time alone: KEPT if it can be in time. */
static GfSelectionGroup
group_by_time(const GfSelectionStep *step)
{
    if (step->latest_start_ms >= 0) {
        return GF_SELECTION_KEPT;
    }
    return step->latest_value_ms >= 0 ? GF_SELECTION_LATE
                                      : GF_SELECTION_WORTHLESS;
}

/* The key of the usual order: lateness, class and the team's share, lowest
 * first, then age, oldest first. */
static uint64_t
usual_key(const Candidate *c)
{
    uint64_t key = c->step->group;
    key = key << CLASS_BITS | class_bits(c->step->work_class);
    key = key << NUMBER_BITS | number_bits(c->share);
    return key << AGE_BITS | (age_bits(INT64_MAX) - age_bits(c->step->age_ms));
}

/* The key of the order in which steps are served under overload: by group and
 * class; what has begun goes before what has not, then by rating. Not by
 * latest start, which would make all late as soon as there is a little less
 * room than planned. Worthless steps stay in the usual order. */
static uint64_t
served_key(const Candidate *c)
{
    bool worthless = c->step->group == GF_SELECTION_WORTHLESS;
    uint64_t key = c->step->group;
    key = key << CLASS_BITS | (worthless ? 0 : class_bits(c->class_rank));
    key = key << 1U | (worthless || !c->step->begun);
    return key << NUMBER_BITS |
           (worthless ? 0 : UINT32_MAX - number_bits(c->rating));
}

/* Returns whether x is given up before y. */
static bool
is_given_up_before(const Candidate *x, const Candidate *y)
{
    return x->hold < y->hold || (x->hold == y->hold && x->rank > y->rank);
}

/* Adds a candidate to a team's heap, which has space for it. */
static void
push(TeamPlan *team, Candidate *candidate)
{
    size_t at = team->count++;
    while (at > 0 && is_given_up_before(candidate, team->heap[(at - 1) / 2])) {
        team->heap[at] = team->heap[(at - 1) / 2];
        at = (at - 1) / 2;
    }
    team->heap[at] = candidate;
    team->has_unbegun = team->heap[0]->hold < BEGUN_HOLD;
}

/* Removes the top of a team's heap, which is not empty, and returns it. */
static Candidate *
pop(TeamPlan *team)
{
    Candidate *top = team->heap[0];
    Candidate *last = team->heap[--team->count];
    size_t at = 0;
    for (size_t next = 1; next < team->count; next = 2 * at + 1) {
        if (next + 1 < team->count &&
            is_given_up_before(team->heap[next + 1], team->heap[next])) {
            next++;
        }
        if (!is_given_up_before(team->heap[next], last)) {
            break;
        }
        team->heap[at] = team->heap[next];
        at = next;
    }
    team->heap[at] = last;
    team->has_unbegun = team->count > 0 && team->heap[0]->hold < BEGUN_HOLD;
    return top;
}

/* Returns the team that gives up a job: the one with the highest load among
 * those with a job that has not begun, or else among all. At least one team
 * has a kept job. */
static TeamPlan *
choose_team(TeamPlan *plans, size_t count)
{
    TeamPlan *chosen = NULL;
    bool chosen_begun = true;
    for (size_t i = 0; i < count; i++) {
        TeamPlan *p = &plans[i];
        if (p->count == 0) {
            continue;
        }
        bool begun = !p->has_unbegun;
        if (chosen == NULL || (chosen_begun && !begun) ||
            (chosen_begun == begun && p->load > chosen->load)) {
            chosen = p;
            chosen_begun = begun;
        }
    }
    return chosen;
}

/* Returns whether a candidate takes part in the plan: it has work that is
 * planned and has not been given up. */
static bool
is_planned(const Candidate *c)
{
    return c->kept && c->step->work > 0 &&
           c->step->latest_start_ms != GF_SELECTION_NO_LIMIT;
}

/* Adds a candidate to its team's plan. */
static void
keep(Plan *p, TeamPlan *plan, Candidate *c)
{
    push(plan, c);
    plan->load +=
        (double)c->step->room_mcores / p->teams[c->step->team].weight;
}

/* Gives up the next job of a team's plan. Returns its work. */
static double
give_up(Plan *p, TeamPlan *plan)
{
    Candidate *c = pop(plan);
    c->kept = false;
    plan->load -=
        (double)c->step->room_mcores / p->teams[c->step->team].weight;
    return c->step->work;
}

/* Gives up the jobs, among the first n of p->sorted, for which the limits of
 * their own teams leave no room. */
static void
plan_by_team(Plan *p, size_t n)
{
    for (size_t i = 0; i < n; i++) {
        Candidate *c = p->sorted[i];
        TeamPlan *plan = &p->team_plans[c->step->team];
        if (plan->rate <= 0 || !is_planned(c)) {
            continue;
        }
        keep(p, plan, c);
        plan->work += c->step->work;
        double possible = plan->rate * (double)c->step->latest_start_ms;
        while (c->kept && plan->work - c->step->work > possible) {
            plan->work -= give_up(p, plan);
        }
    }
}

/* Gives up the jobs, among the first n of p->sorted, for which the fleet has
 * no room. rate is in mcores; idle is the work that can begin at once on what
 * is free. */
static void
plan_fleet(Plan *p, size_t n, double rate, double idle)
{
    double work = 0;
    for (size_t i = 0; i < n; i++) {
        Candidate *c = p->sorted[i];
        if (!is_planned(c)) {
            continue;
        }
        keep(p, &p->team_plans[c->step->team], c);
        work += c->step->work;
        double possible = rate * (double)c->step->latest_start_ms + idle;
        while (c->kept && work - c->step->work > possible) {
            work -= give_up(p, choose_team(p->team_plans, p->team_count));
        }
    }
}

/* Returns whether the usual order serves all in time that can still be. idle
 * is the work that can begin at once. */
static bool
usual_order_suffices(const Plan *p, double rate, double idle)
{
    double work = 0;
    for (size_t i = 0; i < p->count; i++) {
        const GfSelectionStep *s = p->candidates[p->usual[i].index].step;
        if (s->group != GF_SELECTION_KEPT) {
            break;
        }
        if (s->work <= 0 || s->latest_start_ms == GF_SELECTION_NO_LIMIT) {
            continue;
        }
        if (work > rate * (double)s->latest_start_ms + idle) {
            return false;
        }
        work += s->work;
    }
    return true;
}

/* Returns the class in which a step is planned. */
static uint32_t
planned_class(const GfSelectionStep *step)
{
    return step->work_class < GF_SELECTION_CLASSES ? step->work_class
                                                   : GF_SELECTION_CLASSES - 1;
}

/* Returns the work that can begin at once on the free room: that room for as
 * long as the waiting tasks run on average. */
static double
idle_work(const GfSelectionStep *steps, size_t count,
          const GfSelectionRoom *room)
{
    double work = 0;
    double mcores = 0;
    for (size_t i = 0; i < count; i++) {
        if (steps[i].work > 0) {
            work += steps[i].work;
            mcores += (double)steps[i].room_mcores;
        }
    }
    double idle = (double)room->mcores;
    for (int c = 0; c < GF_SELECTION_CLASSES; c++) {
        idle -= (double)room->used_mcores[c];
    }
    return idle > 0 && mcores > 0 ? idle * work / mcores : 0;
}

/* Returns the share of the room, by weight, that each team would have if all
 * used the same; above 0. */
static double
mean_team_share(const GfSelectionTeam *teams, size_t team_count,
                const GfSelectionRoom *room)
{
    double weights = 0;
    for (size_t i = 0; i < team_count; i++) {
        weights += teams[i].weight;
    }
    return (double)(room->mcores > 0 ? room->mcores : 1) /
           (weights > 0 ? weights : 1);
}

/* Collects the kept candidates of a class by latest start; those before it in
 * the usual order go first among equals. Returns their number. */
static size_t
collect_class(Plan *p, uint32_t class)
{
    size_t n = 0;
    memset(p->team_counts, 0, p->team_count * sizeof(size_t));
    for (size_t i = 0; i < p->count; i++) {
        const Candidate *c = &p->candidates[p->usual[i].index];
        if (c->step->group == GF_SELECTION_KEPT &&
            planned_class(c->step) == class) {
            p->keys[n++] = (Key){.key = (uint64_t)c->step->latest_start_ms,
                                 .index = p->usual[i].index};
            p->team_counts[c->step->team]++;
        }
    }
    sort_keys(p->keys, p->spare, n);
    for (size_t i = 0; i < n; i++) {
        p->sorted[i] = &p->candidates[p->keys[i].index];
    }
    return n;
}

/* Empties the teams' plans. Each heap gets space for the team's candidates. */
static void
reset_teams(Plan *p)
{
    size_t begin = 0;
    for (size_t t = 0; t < p->team_count; t++) {
        const GfSelectionTeam *team = &p->teams[t];
        p->team_plans[t] =
            (TeamPlan){.heap = &p->heaps[begin],
                       .load = (double)team->used_mcores / team->weight,
                       .rate = (double)team->limit_mcores};
        begin += p->team_counts[t];
    }
}

/* Plans the candidates of each class in turn and sets the groups of those that
 * are given up. A class that uses less than its guaranteed part is served
 * before the others. idle is the work that can begin at once. */
static void
plan_classes(Plan *p, const GfSelectionRoom *room, double idle)
{
    double left = (double)room->mcores;
    double guaranteed = LATER_CLASSES_PART * (double)room->mcores;
    bool has_earlier = false;
    for (uint32_t class = 0; class < GF_SELECTION_CLASSES; class ++) {
        size_t n = collect_class(p, class);
        bool below = has_earlier && n > 0 &&
                     (double)room->used_mcores[class] < guaranteed;
        double rate = left > guaranteed ? left : guaranteed;
        reset_teams(p);
        plan_by_team(p, n);
        reset_teams(p);
        plan_fleet(p, n, rate * PLANNED_PART, idle);
        for (size_t i = 0; i < n; i++) {
            if (below) {
                p->sorted[i]->class_rank = class;
            }
            if (!p->sorted[i]->kept) {
                p->sorted[i]->step->group = GF_SELECTION_SET_BACK;
            }
        }
        left -= (double)room->used_mcores[class];
        has_earlier = has_earlier || n > 0;
    }
}

/* Allocates an array of count elements, not initialized; never returns
 * NULL. */
static void *
allocate(size_t count, size_t size)
{
    void *array = malloc((count + 1) * size);
    if (array == NULL) {
        abort();
    }
    return array;
}

/* Returns a plan of the steps, sorted in the usual order. free_plan frees it.
 */
static Plan
make_plan(GfSelectionStep *steps, size_t count, const GfSelectionTeam *teams,
          size_t team_count, const GfSelectionRoom *room)
{
    Plan p = {.candidates = allocate(count, sizeof(Candidate)),
              .usual = allocate(count, sizeof(Key)),
              .keys = allocate(count, sizeof(Key)),
              .spare = allocate(count, sizeof(Key)),
              .sorted = allocate(count, sizeof(Candidate *)),
              .heaps = allocate(count, sizeof(Candidate *)),
              .count = count,
              .teams = teams,
              .team_plans = allocate(team_count, sizeof(TeamPlan)),
              .team_counts = allocate(team_count, sizeof(size_t)),
              .team_count = team_count};
    double mean_share = mean_team_share(teams, team_count, room);
    for (size_t i = 0; i < count; i++) {
        GfSelectionStep *s = &steps[i];
        assert(s->team < team_count);
        const GfSelectionTeam *team = &teams[s->team];
        s->group = (uint8_t)group_by_time(s);
        Candidate *c = &p.candidates[i];
        *c = (Candidate){.step = s,
                         .share = (double)team->used_mcores / team->weight,
                         .value = s->work > 0 ? s->worth / s->work : s->worth,
                         .class_rank = planned_class(s) + GF_SELECTION_CLASSES,
                         .kept = true};
        c->hold = c->value + (s->begun ? BEGUN_HOLD : 0);
        c->rating = c->value / (c->share + SHARE_BASE * mean_share);
        p.usual[i] = (Key){.key = usual_key(c), .index = (uint32_t)i};
    }
    sort_keys(p.usual, p.spare, count);
    for (size_t i = 0; i < count; i++) {
        p.candidates[p.usual[i].index].rank = (uint32_t)i;
    }
    return p;
}

/* Frees the arrays of a plan. */
static void
free_plan(Plan *p)
{
    free(p->candidates);
    free(p->usual);
    free(p->keys);
    free(p->spare);
    free(p->sorted);
    free(p->heaps);
    free(p->team_plans);
    free(p->team_counts);
}

/* Writes the indices of the steps to order, which has space for count, in the
 * order in which they are to be served, and sets their groups. Returns how
 * many are set back; 0 if the usual order serves all in time that can still
 * be, which is then the order. Aborts if out of memory. */
size_t
GfSelection_Order(GfSelectionStep *steps, size_t count,
                  const GfSelectionTeam *teams, size_t team_count,
                  const GfSelectionRoom *room, uint32_t *order)
{
    assert(room != NULL && (count == 0 || (steps != NULL && order != NULL)));
    Plan p = make_plan(steps, count, teams, team_count, room);
    double idle = idle_work(steps, count, room);
    size_t set_back = 0;
    if (!usual_order_suffices(&p, (double)room->mcores * PLANNED_PART, idle)) {
        plan_classes(&p, room, idle);
        for (size_t i = 0; i < count; i++) {
            uint32_t at = p.usual[i].index;
            p.keys[i] =
                (Key){.key = served_key(&p.candidates[at]), .index = at};
            set_back += steps[i].group == GF_SELECTION_SET_BACK;
        }
        sort_keys(p.keys, p.spare, count);
        memcpy(p.usual, p.keys, count * sizeof(Key));
    }
    for (size_t i = 0; i < count; i++) {
        order[i] = p.usual[i].index;
    }
    free_plan(&p);
    return set_back;
}
