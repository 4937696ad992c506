/* Estimates of run times are the submitters' and can be off by a factor; some
 * runs take several times as long as others. Taken as exact, late work looks
 * as if it could be in time, and a run past its estimate looks as if it were
 * about to end. These tests guard against that, and against decisions from
 * thin or old evidence and memory that grows with the names seen. */
#include "guavaflow/run_time.h"

#include <stdio.h>

#include "suite.h"

#define ESTIMATE_MS 1000

static const GfName QUEUE = {5, "quick"};
static const GfName TEAM = {1, "a"};
static const GfName OTHER_TEAM = {1, "b"};

/* Observes count runs of a team, one each 10 ms from start_ms on. */
static void
observe(GfRunTimes *times, const GfName *team, int count, int64_t run_ms,
        int64_t start_ms)
{
    for (int i = 0; i < count; i++) {
        GfRunTimes_Observe(times, &QUEUE, team, ESTIMATE_MS, run_ms,
                           GfTime_FromMs(start_ms + i * 10));
    }
}

/* Returns what is expected to remain of a run of a team. */
static int64_t
remaining(const GfRunTimes *times, const GfName *team, int64_t elapsed_ms)
{
    return GfRunTimes_RemainingMs(times, &QUEUE, team, ESTIMATE_MS,
                                  elapsed_ms);
}

/* Returns whether a is within a tenth of b. */
static bool
is_near(int64_t a, int64_t b)
{
    return a * 10 >= b * 9 && a * 10 <= b * 11;
}

static void
test_no_evidence(void)
{
    GfRunTimes *times = GfRunTimes_Create();
    CU_ASSERT_EQUAL(remaining(times, &TEAM, 0), ESTIMATE_MS);
    CU_ASSERT_EQUAL(remaining(times, &TEAM, 400), 600);
    CU_ASSERT_EQUAL(remaining(times, &TEAM, 1400), 0);
    observe(times, &TEAM, 2, 1900, 0);
    CU_ASSERT_EQUAL(remaining(times, &TEAM, 0), ESTIMATE_MS);
    observe(times, &TEAM, 50, 0, 0);
    CU_ASSERT_EQUAL(remaining(times, &TEAM, 0), ESTIMATE_MS);
    GfRunTimes_Destroy(times);
    GfRunTimes_Destroy(NULL);
}

static void
test_middle(void)
{
    GfRunTimes *times = GfRunTimes_Create();
    for (int i = 0; i < 100; i++) {
        observe(times, &TEAM, 1, i % 33 == 0 ? 13300 : 1900, i * 10);
    }
    CU_ASSERT_TRUE(is_near(remaining(times, &TEAM, 0), 1900));
    GfRunTimeSummary summary;
    CU_ASSERT_EQUAL(GfRunTimes_Summarize(times, &summary, 1), 1);
    CU_ASSERT_TRUE(GfName_Equal(&summary.queue, &QUEUE));
    CU_ASSERT_TRUE(summary.ratio > 1.7 && summary.ratio < 2.1);
    GfRunTimes_Destroy(times);
}

static void
test_tail(void)
{
    GfRunTimes *times = GfRunTimes_Create();
    for (int i = 0; i < 200; i++) {
        observe(times, &TEAM, 1, i % 33 == 0 ? 7000 : 1000, i * 10);
    }
    /* A run past the usual time is one of the long ones. */
    CU_ASSERT_TRUE(is_near(remaining(times, &TEAM, 2000), 5000));
    CU_ASSERT_TRUE(remaining(times, &TEAM, 500) < 700);
    /* One past all that were seen takes as long again. */
    CU_ASSERT_EQUAL(remaining(times, &TEAM, 20000), 20000);
    GfRunTimes_Destroy(times);
}

static void
test_chance(void)
{
    GfRunTimes *times = GfRunTimes_Create();
    CU_ASSERT_EQUAL(
        GfRunTimes_ChanceWithin(times, &QUEUE, &TEAM, ESTIMATE_MS, 10, 1000),
        1);
    CU_ASSERT_EQUAL(
        GfRunTimes_ChanceWithin(times, &QUEUE, &TEAM, ESTIMATE_MS, 10, 999),
        0);
    for (int i = 0; i < 200; i++) {
        observe(times, &TEAM, 1, i % 10 == 0 ? 7000 : 1000, i * 10);
    }
    /* One run in ten is long: 0.9 for one, 0.81 for two. */
    double one =
        GfRunTimes_ChanceWithin(times, &QUEUE, &TEAM, ESTIMATE_MS, 1, 2000);
    double two =
        GfRunTimes_ChanceWithin(times, &QUEUE, &TEAM, ESTIMATE_MS, 2, 2000);
    CU_ASSERT_DOUBLE_EQUAL(one, 0.9, 0.02);
    CU_ASSERT_DOUBLE_EQUAL(two, one * one, 0.001);
    CU_ASSERT_EQUAL(
        GfRunTimes_ChanceWithin(times, &QUEUE, &TEAM, ESTIMATE_MS, 1, 90000),
        1);
    GfRunTimes_Destroy(times);
}

static void
test_team_before_queue(void)
{
    GfRunTimes *times = GfRunTimes_Create();
    observe(times, &TEAM, 60, 500, 0);
    observe(times, &OTHER_TEAM, 3, 2000, 600);
    CU_ASSERT_TRUE(is_near(remaining(times, &OTHER_TEAM, 0), 500));
    observe(times, &OTHER_TEAM, 40, 2000, 700);
    CU_ASSERT_TRUE(is_near(remaining(times, &OTHER_TEAM, 0), 2000));
    CU_ASSERT_TRUE(is_near(remaining(times, &TEAM, 0), 500));
    GfRunTimes_Destroy(times);
}

static void
test_change(void)
{
    GfRunTimes *times = GfRunTimes_Create();
    observe(times, &TEAM, 1000, 1000, 0);
    observe(times, &TEAM, 1000, 1800, 10000);
    observe(times, &TEAM, 1000, 1800, 20000);
    CU_ASSERT_TRUE(is_near(remaining(times, &TEAM, 0), 1800));
    GfRunTimes_Destroy(times);
}

static void
test_many_names(void)
{
    GfRunTimes *times = GfRunTimes_Create();
    for (int i = 0; i < 3000; i++) {
        GfName team = GfName_Format("team-%d", i);
        observe(times, &team, 20, 2000, i * 200);
        CU_ASSERT_TRUE(is_near(remaining(times, &team, 0), 2000));
    }
    GfRunTimeSummary summaries[8];
    CU_ASSERT_EQUAL(GfRunTimes_Summarize(times, summaries, 8), 1);
    GfRunTimes_Destroy(times);
}

static const SuiteTest TESTS[] = {
    {"no or thin evidence: the estimate", test_no_evidence},
    {"long runs do not move the middle", test_middle},
    {"a run past its estimate has more left", test_tail},
    {"chance that several runs end in time", test_chance},
    {"a team's own ratio once there is enough", test_team_before_queue},
    {"a change is learnt within seconds", test_change},
    {"memory is bounded", test_many_names}};

SUITE_MAIN("run_time", TESTS)
