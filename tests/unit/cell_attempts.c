/* The limit of failed runs, across changes of the configuration and takeovers.
 * A task starts once too often if the limit is applied only when a run fails,
 * and its queue is not in the configuration at that moment. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cell_sim.h"
#include "guavaflow/log.h"
#include "suite.h"

#define TASKS 3

/* A simulation in which all runs fail after 300 ms, with its configuration and
 * others that differ in the attempts of the queues. */
typedef struct {
    CellSim *sim;
    GfCellConfig *three; /* attempts */
    GfCellConfig *two;
    GfCellConfig *none; /* has no queues */
    int job;
} Fixture;

static void
set_up(Fixture *f, bool gang)
{
    static const CellSimSettings SETTINGS = {.workers = 6,
                                             .mcores = 16000,
                                             .memory_mb = 64000,
                                             .rack_size = 3,
                                             .callers = 3,
                                             .latency_ms = 1,
                                             .seed = 1,
                                             .fail_run = 1};
    GfLog_SetLevel(GF_LOG_ERROR);
    f->three = CellSim_MakeConfig(0);
    f->two = CellSim_MakeConfig(0);
    f->none = CellSim_MakeConfig(0);
    f->none->queue_count = 0;
    for (size_t i = 0; i < f->three->queue_count; i++) {
        f->three->queues[i].max_attempts = 3;
        f->two->queues[i].max_attempts = 2;
    }
    f->sim = CellSim_Create(&SETTINGS, f->three);
    CellSim_TakeOver(f->sim);
    CellSim_Run(f->sim, 200);
    CellSimJob job = {
        .queue = "batch",
        .team = "a",
        .run_ms = 900,
        .step = {.task_count = TASKS, .need = {1000, 1, 0}, .gang = gang}};
    f->job = CellSim_Submit(f->sim, &job);
}

static void
tear_down(Fixture *f)
{
    CU_ASSERT_PTR_NULL(CellSim_Violation(f->sim));
    CellSim_Destroy(f->sim);
    GfCellConfig_Destroy(f->three);
    GfCellConfig_Destroy(f->two);
    GfCellConfig_Destroy(f->none);
}

static void
set_config(Fixture *f, const GfCellConfig *config)
{
    GfCell_SetConfig(CellSim_Owner(f->sim), config);
}

/* Runs until all first or second runs have begun. */
static void
run_until_starts(Fixture *f, int starts)
{
    for (int i = 0; i < 300 && CellSim_JobStarts(f->sim, f->job) < starts;
         i++) {
        CellSim_Run(f->sim, 10);
    }
    CU_ASSERT_EQUAL(CellSim_JobStarts(f->sim, f->job), starts);
}

/* The queue is removed while the last attempts run, and comes back. */
static void
test_task_starts_again_after_its_queue_is_back(void)
{
    for (int gang = 0; gang < 2; gang++) {
        Fixture f;
        set_up(&f, gang != 0);
        run_until_starts(&f, 3 * TASKS);
        set_config(&f, f.none);
        CellSim_Run(f.sim, 1000);
        set_config(&f, f.three);
        CellSim_Run(f.sim, 3000);
        CU_ASSERT_EQUAL(CellSim_JobState(f.sim, f.job), GF_JOB_GIVEN_UP);
        CU_ASSERT_EQUAL(CellSim_JobStarts(f.sim, f.job), 3 * TASKS);
        tear_down(&f);
    }
}

/* The last allowed attempts fail; then the limit is lowered to what has
 * failed. */
static void
test_task_starts_again_after_the_limit_is_lowered(void)
{
    Fixture f;
    set_up(&f, false);
    run_until_starts(&f, 2 * TASKS);
    set_config(&f, f.none);
    CellSim_Run(f.sim, 1000);
    set_config(&f, f.two);
    CellSim_Run(f.sim, 3000);
    CU_ASSERT_EQUAL(CellSim_JobState(f.sim, f.job), GF_JOB_GIVEN_UP);
    CU_ASSERT_EQUAL(CellSim_JobStarts(f.sim, f.job), 2 * TASKS);
    tear_down(&f);
}

/* The owner that counted the last failure had no queue; the next one has. */
static void
test_task_starts_again_after_a_takeover(void)
{
    Fixture f;
    set_up(&f, false);
    run_until_starts(&f, 3 * TASKS);
    set_config(&f, f.none);
    CellSim_Run(f.sim, 1000);
    CellSim_KillOwner(f.sim, CellSim_Owner(f.sim));
    CellSim_TakeOver(f.sim);
    CellSim_Run(f.sim, 10000);
    CU_ASSERT_EQUAL(CellSim_JobState(f.sim, f.job), GF_JOB_GIVEN_UP);
    CU_ASSERT_EQUAL(CellSim_JobStarts(f.sim, f.job), 3 * TASKS);
    tear_down(&f);
}

/* Without its queue a job keeps its attempts. */
static void
test_job_given_up_without_its_queue(void)
{
    Fixture f;
    set_up(&f, false);
    run_until_starts(&f, 2 * TASKS);
    set_config(&f, f.none);
    CellSim_Run(f.sim, 3000);
    CU_ASSERT_EQUAL(CellSim_JobState(f.sim, f.job), GF_JOB_STARTED);
    set_config(&f, f.three);
    CellSim_Run(f.sim, 3000);
    CU_ASSERT_EQUAL(CellSim_JobStarts(f.sim, f.job), 3 * TASKS);
    tear_down(&f);
}

static const SuiteTest TESTS[] = {
    {"task starts again after its queue is back",
     test_task_starts_again_after_its_queue_is_back},
    {"task starts again after the limit is lowered",
     test_task_starts_again_after_the_limit_is_lowered},
    {"task starts again after a takeover",
     test_task_starts_again_after_a_takeover},
    {"job given up without its queue", test_job_given_up_without_its_queue}};

SUITE_MAIN("cell attempts", TESTS)
