/* If room is divided among more jobs than it suffices for, each gets some of
 * it too late and most jobs miss their objective. These tests guard against
 * that in the order of the waiting steps, and against its side effects: a
 * changed order although there is room for all, jobs given up after they have
 * begun, and teams and classes that get nothing. */
#include "guavaflow/selection.h"

#include <stdio.h>
#include <stdlib.h>

#include "suite.h"

#define MAX_STEPS 64

/* A fleet of 100 cores, in use. */
static const GfSelectionRoom FULL = {100000, {100000, 0, 0, 0}};
static const GfSelectionTeam TEAMS[] = {{1, 0, 0}, {1, 0, 0}, {1, 0, 0}};

/* A step of 10 cores for 1 s, with 250 ms to spare. */
static const GfSelectionStep STEP = {.latest_start_ms = 250,
                                     .latest_value_ms = 3000,
                                     .room_mcores = 10000,
                                     .work = 10000.0 * 1000,
                                     .worth = 1};

static GfSelectionStep steps[MAX_STEPS];
static uint32_t order[MAX_STEPS];

/* Sets count steps to STEP. */
static void
reset(size_t count)
{
    for (size_t i = 0; i < count; i++) {
        steps[i] = STEP;
    }
}

/* Returns how many of count steps are in a group. */
static size_t
count_group(size_t count, GfSelectionGroup group)
{
    size_t n = 0;
    for (size_t i = 0; i < count; i++) {
        n += steps[i].group == group;
    }
    return n;
}

static void
test_enough_room(void)
{
    GfSelectionRoom free_room = {100000, {0, 0, 0, 0}};
    GfSelectionTeam teams[] = {{1, 20000, 0}, {1, 10000, 0}};
    reset(4);
    steps[0].work_class = 1;
    steps[1].age_ms = 10;
    steps[2].age_ms = 20;
    steps[3].team = 1;
    CU_ASSERT_EQUAL(GfSelection_Order(steps, 4, teams, 2, &free_room, order),
                    0);
    /* By class, share and age, as if there were no selection. */
    CU_ASSERT_EQUAL(order[0], 3);
    CU_ASSERT_EQUAL(order[1], 2);
    CU_ASSERT_EQUAL(order[2], 1);
    CU_ASSERT_EQUAL(order[3], 0);
    CU_ASSERT_EQUAL(GfSelection_Order(NULL, 0, TEAMS, 3, &FULL, NULL), 0);
}

/* Within 250 ms room frees for two to four of twenty jobs. */
static void
test_too_many(void)
{
    reset(20);
    for (int i = 0; i < 5; i++) {
        steps[i * 4].work /= 2;
    }
    CU_ASSERT_TRUE(GfSelection_Order(steps, 20, TEAMS, 3, &FULL, order) > 0);
    size_t kept = count_group(20, GF_SELECTION_KEPT);
    CU_ASSERT_TRUE(kept >= 2 && kept <= 5);
    /* The small jobs are kept and go first. */
    for (size_t i = 0; i < kept; i++) {
        CU_ASSERT_EQUAL(order[i] % 4, 0);
    }
}

static void
test_begun_first(void)
{
    reset(20);
    steps[7].begun = true;
    steps[7].work *= 2;
    GfSelection_Order(steps, 20, TEAMS, 3, &FULL, order);
    CU_ASSERT_EQUAL(order[0], 7);
    CU_ASSERT_EQUAL(steps[7].group, GF_SELECTION_KEPT);
}

static void
test_late_after_in_time(void)
{
    reset(20);
    steps[0].latest_start_ms = -1;
    steps[1].latest_start_ms = -1;
    steps[1].latest_value_ms = -1;
    steps[1].begun = true;
    GfSelection_Order(steps, 20, TEAMS, 3, &FULL, order);
    CU_ASSERT_EQUAL(order[18], 0);
    CU_ASSERT_EQUAL(order[19], 1);
    CU_ASSERT_EQUAL(steps[0].group, GF_SELECTION_LATE);
    CU_ASSERT_EQUAL(steps[1].group, GF_SELECTION_WORTHLESS);
}

/* One team sends nearly all the jobs: what others send is kept. */
static void
test_hot_team(void)
{
    GfSelectionTeam teams[] = {{1, 90000, 0}, {1, 5000, 0}, {1, 5000, 0}};
    reset(40);
    steps[30].team = 1;
    steps[30].worth = 0.5;
    steps[35].team = 2;
    GfSelection_Order(steps, 40, teams, 3, &FULL, order);
    CU_ASSERT_EQUAL(steps[30].group, GF_SELECTION_KEPT);
    CU_ASSERT_EQUAL(steps[35].group, GF_SELECTION_KEPT);
    CU_ASSERT_EQUAL(order[0], 35);
    CU_ASSERT_EQUAL(order[1], 30);
}

/* A team at its limit cannot use what the fleet has; it keeps what fits. */
static void
test_team_limit(void)
{
    GfSelectionRoom room = {1000000, {10000, 0, 0, 0}};
    GfSelectionTeam teams[] = {{1, 10000, 10000}, {1, 0, 0}};
    reset(20);
    for (int i = 10; i < 20; i++) {
        steps[i].team = 1;
        steps[i].latest_start_ms = 5;
    }
    room.used_mcores[0] = room.mcores;
    GfSelection_Order(steps, 20, teams, 2, &room, order);
    size_t kept = 0;
    for (int i = 0; i < 10; i++) {
        kept += steps[i].group == GF_SELECTION_KEPT;
    }
    CU_ASSERT_EQUAL(kept, 1);
}

/* Quick jobs without end must not shut out a later class. */
static void
test_later_class(void)
{
    reset(40);
    steps[9].work_class = 2;
    steps[9].latest_start_ms = 2000;
    steps[9].work *= 10;
    GfSelection_Order(steps, 40, TEAMS, 3, &FULL, order);
    CU_ASSERT_EQUAL(order[0], 9);
    /* Once the class has its part, quick jobs go first. */
    GfSelectionRoom shared = {100000, {70000, 0, 30000, 0}};
    GfSelection_Order(steps, 40, TEAMS, 3, &shared, order);
    CU_ASSERT_NOT_EQUAL(order[0], 9);
    CU_ASSERT_EQUAL(steps[9].group, GF_SELECTION_KEPT);
}

/* Every index appears once, whatever the values. */
static void
test_permutation(void)
{
    srand(1);
    for (int round = 0; round < 200; round++) {
        size_t count = (size_t)(rand() % MAX_STEPS);
        for (size_t i = 0; i < count; i++) {
            steps[i] =
                (GfSelectionStep){.latest_start_ms = rand() % 900 - 300,
                                  .latest_value_ms = rand() % 3000 - 300,
                                  .age_ms = rand() % 500,
                                  .room_mcores = rand() % 30000,
                                  .work = (double)(rand() % 20) * 1000000,
                                  .worth = rand() % 4,
                                  .team = (uint32_t)(rand() % 3),
                                  .work_class = (uint32_t)(rand() % 6),
                                  .begun = rand() % 4 == 0};
        }
        size_t set_back =
            GfSelection_Order(steps, count, TEAMS, 3, &FULL, order);
        CU_ASSERT_EQUAL(set_back, count_group(count, GF_SELECTION_SET_BACK));
        uint64_t seen = 0;
        for (size_t i = 0; i < count; i++) {
            seen |= (uint64_t)1 << order[i];
        }
        CU_ASSERT_EQUAL(seen, count == 0 ? 0 : UINT64_MAX >> (64 - count));
    }
}

static const SuiteTest ALL[] = {
    {"room for all: the usual order", test_enough_room},
    {"too many: those that fit", test_too_many},
    {"what is begun is finished first", test_begun_first},
    {"late after in time, worthless last", test_late_after_in_time},
    {"a hot team gives up its own jobs", test_hot_team},
    {"a team keeps what its limit allows", test_team_limit},
    {"a later class is not shut out", test_later_class},
    {"the order holds each step once", test_permutation}};

SUITE_MAIN("selection", ALL)
