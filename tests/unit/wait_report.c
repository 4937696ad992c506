/* The summary of waits. The tests guard against a busy second that cannot be
 * explained afterwards: sums that miss steps which are still waiting, the
 * wrong teams named as the worst, and memory or time that grow with the load
 * in the very second in which the owner has none to spare. */
#include "guavaflow/wait_report.h"

#include <stdlib.h>
#include <time.h>

#include "suite.h"

enum { CAUSE_LIMIT = 3, CAUSE_ROOM = 6 };
#define MANY_STEPS 20000
#define MANY_TEAMS 40
/* Processor time for the reports of a hundred seconds with MANY_STEPS waiting
 * steps: a twentieth of a core. */
#define MAX_REPORT_CPU_S 5.0

/* Adds a wait of a team that is named by a number. */
static void
add(GfWaitReport *report, uint32_t work_class, uint32_t cause, int team,
    int64_t ms)
{
    GfName name = GfName_Format("team%03d", team);
    GfWaitReport_Add(report, work_class, cause, &name, ms);
}

/* Thousands of steps of forty teams wait at once: the sums have all of them by
 * cause, and the three worst teams are named, the worst first. */
static void
test_thousands_of_steps(void)
{
    GfWaitReport *report = GfWaitReport_Create();
    int64_t limit_ms = 0;
    int64_t room_ms = 0;
    for (int i = 0; i < MANY_STEPS; i++) {
        int team = i % MANY_TEAMS;
        int64_t ms = team == 7 ? 900 : team == 31 ? 800 : team == 2 ? 700 : 50;
        uint32_t cause = i % 3 == 0 ? CAUSE_LIMIT : CAUSE_ROOM;
        *(cause == CAUSE_LIMIT ? &limit_ms : &room_ms) += ms;
        add(report, 1, cause, team, ms);
        GfWaitReport_CountWaiting(report, 1);
    }
    GfClassWaits waits;
    GfWaitReport_Summarize(report, 1, &waits);
    CU_ASSERT_EQUAL(waits.waiting, MANY_STEPS);
    CU_ASSERT_EQUAL(waits.by_cause_ms[CAUSE_LIMIT], limit_ms);
    CU_ASSERT_EQUAL(waits.by_cause_ms[CAUSE_ROOM], room_ms);
    CU_ASSERT_EQUAL(waits.total_ms, limit_ms + room_ms);
    CU_ASSERT_EQUAL(waits.worst_count, GF_WAIT_WORST_TEAMS);
    CU_ASSERT_STRING_EQUAL(waits.worst[0].team.data, "team007");
    CU_ASSERT_EQUAL(waits.worst[0].waited_ms, 900 * MANY_STEPS / MANY_TEAMS);
    CU_ASSERT_STRING_EQUAL(waits.worst[1].team.data, "team031");
    CU_ASSERT_STRING_EQUAL(waits.worst[2].team.data, "team002");
    CU_ASSERT_EQUAL(waits.other_teams_ms, 0);
    GfWaitReport_Destroy(report);
}

/* Classes are kept apart, and a new period starts from zero. */
static void
test_classes_and_periods(void)
{
    GfWaitReport *report = GfWaitReport_Create();
    add(report, 0, CAUSE_ROOM, 1, 10);
    add(report, 3, CAUSE_LIMIT, 2, 20);
    GfClassWaits waits;
    GfWaitReport_Summarize(report, 0, &waits);
    CU_ASSERT_EQUAL(waits.total_ms, 10);
    CU_ASSERT_EQUAL(waits.waiting, 0);
    CU_ASSERT_EQUAL(waits.worst_count, 1);
    CU_ASSERT_STRING_EQUAL(waits.worst[0].team.data, "team001");
    GfWaitReport_Summarize(report, 1, &waits);
    CU_ASSERT_EQUAL(waits.total_ms, 0);
    CU_ASSERT_EQUAL(waits.worst_count, 0);
    GfWaitReport_Clear(report);
    GfWaitReport_Summarize(report, 3, &waits);
    CU_ASSERT_EQUAL(waits.total_ms, 0);
    CU_ASSERT_EQUAL(waits.worst_count, 0);
    GfWaitReport_Destroy(report);
}

/* Work without a team has the empty name; NULL counts in the totals alone; a
 * wait of no time does not count. */
static void
test_waits_without_team(void)
{
    GfWaitReport *report = GfWaitReport_Create();
    GfName none = {0};
    GfWaitReport_Add(report, 2, CAUSE_ROOM, &none, 30);
    GfWaitReport_Add(report, 2, CAUSE_LIMIT, NULL, 500);
    add(report, 2, CAUSE_ROOM, 5, 0);
    add(report, 2, CAUSE_ROOM, 5, -3);
    GfClassWaits waits;
    GfWaitReport_Summarize(report, 2, &waits);
    CU_ASSERT_EQUAL(waits.total_ms, 530);
    CU_ASSERT_EQUAL(waits.worst_count, 1);
    CU_ASSERT_EQUAL(waits.worst[0].team.len, 0);
    CU_ASSERT_EQUAL(waits.worst[0].waited_ms, 30);
    GfWaitReport_Destroy(report);
}

/* Teams with equal waits are named in the order of their names, whatever the
 * order of the steps. */
static void
test_equal_waits(void)
{
    GfWaitReport *report = GfWaitReport_Create();
    for (int team = 9; team >= 0; team--) {
        add(report, 0, CAUSE_ROOM, team, 100);
    }
    GfClassWaits waits;
    GfWaitReport_Summarize(report, 0, &waits);
    CU_ASSERT_STRING_EQUAL(waits.worst[0].team.data, "team000");
    CU_ASSERT_STRING_EQUAL(waits.worst[1].team.data, "team001");
    CU_ASSERT_STRING_EQUAL(waits.worst[2].team.data, "team002");
    GfWaitReport_Destroy(report);
}

/* With more teams than are kept, the totals stay right, and what the other
 * teams waited is told. */
static void
test_more_teams_than_are_kept(void)
{
    GfWaitReport *report = GfWaitReport_Create();
    for (int round = 0; round < 2; round++) {
        for (int team = 0; team < GF_WAIT_TEAMS + 100; team++) {
            add(report, 0, CAUSE_ROOM, team, 10);
        }
    }
    GfClassWaits waits;
    GfWaitReport_Summarize(report, 0, &waits);
    CU_ASSERT_EQUAL(waits.total_ms, 20 * (GF_WAIT_TEAMS + 100));
    CU_ASSERT_EQUAL(waits.other_teams_ms, 20 * 100);
    CU_ASSERT_EQUAL(waits.worst[0].waited_ms, 20);
    GfWaitReport_Destroy(report);
}

/* The processor time of the reports stays a small part of a core, also with as
 * many teams as are kept. */
static void
test_cost_is_bounded(void)
{
    GfName *names = calloc(GF_WAIT_TEAMS, sizeof(*names));
    CU_ASSERT_PTR_NOT_NULL_FATAL(names);
    for (int i = 0; i < GF_WAIT_TEAMS; i++) {
        names[i] = GfName_Format("team%03d", i);
    }
    GfWaitReport *report = GfWaitReport_Create();
    int64_t total = 0;
    clock_t begin = clock();
    for (int second = 0; second < 100; second++) {
        for (int i = 0; i < MANY_STEPS; i++) {
            GfWaitReport_Add(report, 0, CAUSE_ROOM, &names[i % GF_WAIT_TEAMS],
                             1000);
            GfWaitReport_CountWaiting(report, 0);
        }
        GfClassWaits waits;
        GfWaitReport_Summarize(report, 0, &waits);
        total += waits.total_ms;
        GfWaitReport_Clear(report);
    }
    double s = (double)(clock() - begin) / CLOCKS_PER_SEC;
    CU_ASSERT_EQUAL(total, 100LL * MANY_STEPS * 1000);
    CU_ASSERT_TRUE(s < MAX_REPORT_CPU_S);
    GfWaitReport_Destroy(report);
    free(names);
}

static const SuiteTest TESTS[] = {
    {"thousands of steps", test_thousands_of_steps},
    {"classes and periods", test_classes_and_periods},
    {"waits without team", test_waits_without_team},
    {"equal waits", test_equal_waits},
    {"more teams than are kept", test_more_teams_than_are_kept},
    {"cost is bounded", test_cost_is_bounded}};

SUITE_MAIN("wait_report", TESTS)
