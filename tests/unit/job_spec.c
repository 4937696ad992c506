#include "guavaflow/job_spec.h"

#include "suite.h"

#define STEPS 4
#define PER_STEP_MS 10

/* A job: 0 is waited for by 1 and 2, both by 3. */
static GfStepSpec steps[STEPS];
static uint32_t first[] = {0};
static uint32_t both[] = {1, 2};

static GfJobSpec
make_spec(void)
{
    static const int64_t ESTIMATES[STEPS] = {100, 200, 500, 50};
    for (int i = 0; i < STEPS; i++) {
        steps[i] = (GfStepSpec){.task_count = 1, .estimate_ms = ESTIMATES[i]};
    }
    steps[1].prerequisites = first;
    steps[1].prerequisite_count = 1;
    steps[2].prerequisites = first;
    steps[2].prerequisite_count = 1;
    steps[3].prerequisites = both;
    steps[3].prerequisite_count = 2;
    return (GfJobSpec){.steps = steps, .step_count = STEPS, .occurrences = 1};
}

/* What remains from a step on is the longest way through those that wait for
 * it; from the first step on it is the whole chain. */
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
                    GfJobSpec_LongestChainMs(&spec, PER_STEP_MS));
}

/* Prerequisites need not be earlier steps. */
static void
test_remaining_in_any_order(void)
{
    uint32_t last[] = {3};
    uint32_t second[] = {1};
    GfJobSpec spec = make_spec();
    for (int i = 0; i < STEPS; i++) {
        steps[i].prerequisite_count = 0;
    }
    /* 3, then 1, then 0; 2 on its own. */
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
