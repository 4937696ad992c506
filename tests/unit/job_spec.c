/* Estimates of a job's remaining time. The tests guard against estimates that
 * miss the longest chain of steps, which would make the scheduler treat late
 * jobs as in time. */
#include "guavaflow/job_spec.h"

#include "suite.h"

#define STEPS 4
#define PER_STEP_MS 10

/* Steps 1 and 2 depend on step 0, step 3 on both. */
static GfStepSpec steps[STEPS];
static uint32_t after_first[] = {0};
static uint32_t after_both[] = {1, 2};

/* Builds the job's spec in the static arrays. */
static GfJobSpec
make_spec(void)
{
    static const int64_t ESTIMATES[STEPS] = {100, 200, 500, 50};
    for (int i = 0; i < STEPS; i++) {
        steps[i] = (GfStepSpec){.task_count = 1, .estimate_ms = ESTIMATES[i]};
    }
    steps[1].prerequisites = after_first;
    steps[1].prerequisite_count = 1;
    steps[2].prerequisites = after_first;
    steps[2].prerequisite_count = 1;
    steps[3].prerequisites = after_both;
    steps[3].prerequisite_count = 2;
    return (GfJobSpec){.steps = steps, .step_count = STEPS, .occurrences = 1};
}

/* The remaining time of a step is the longest chain from it through the steps
 * that depend on it; for the first step that is the job's longest chain. */
static void
test_remaining(void)
{
    GfJobSpec spec = make_spec();
    int64_t remaining[STEPS];
    GfJobSpec_RemainingMs(&spec, PER_STEP_MS, remaining);
    CU_ASSERT_EQUAL(remaining[3], 60);
    CU_ASSERT_EQUAL(remaining[2], 570);
    CU_ASSERT_EQUAL(remaining[1], 270);
    CU_ASSERT_EQUAL(remaining[0], 680);
    CU_ASSERT_EQUAL(remaining[0],
                    GfJobSpec_CriticalPathMs(&spec, PER_STEP_MS));
}

/* A step's prerequisites may have higher numbers than the step. */
static void
test_remaining_in_any_order(void)
{
    uint32_t last[] = {3};
    uint32_t second[] = {1};
    GfJobSpec spec = make_spec();
    for (int i = 0; i < STEPS; i++) {
        steps[i].prerequisite_count = 0;
    }
    /* Step 0 depends on 1, which depends on 3; 2 is independent. */
    steps[1].prerequisites = last;
    steps[1].prerequisite_count = 1;
    steps[0].prerequisites = second;
    steps[0].prerequisite_count = 1;
    int64_t remaining[STEPS];
    GfJobSpec_RemainingMs(&spec, PER_STEP_MS, remaining);
    CU_ASSERT_EQUAL(remaining[0], 110);
    CU_ASSERT_EQUAL(remaining[1], 320);
    CU_ASSERT_EQUAL(remaining[2], 510);
    CU_ASSERT_EQUAL(remaining[3], 380);
}

static const SuiteTest TESTS[] = {
    {"remaining", test_remaining},
    {"remaining in any order", test_remaining_in_any_order},
};

SUITE_MAIN("job_spec", TESTS)
