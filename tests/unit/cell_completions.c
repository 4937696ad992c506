/* More completions at a worker than it lists at a time, as after an outage of
 * the store. Tasks whose completions are not listed yet are run again if they
 * count as lost, or as waiting after a takeover. */
#include <stdio.h>

#include "cell_sim.h"
#include "guavaflow/log.h"
#include "suite.h"

#define TASKS 1600

static const CellSimSettings SETTINGS = {.workers = 2,
                                         .mcores = 64000,
                                         .memory_mb = 640000,
                                         .rack_size = 2,
                                         .callers = 3,
                                         .latency_ms = 1,
                                         .seed = 1};

static const CellSimJob MANY = {
    .queue = "batch",
    .team = "a",
    .run_ms = 2000,
    .step = {.task_count = TASKS, .need = {75, 1, 0}}};

static CellSim *
create(const CellSimSettings *settings, GfCellConfig **config)
{
    GfLog_SetLevel(GF_LOG_ERROR);
    *config = CellSim_MakeConfig(0);
    CellSim *sim = CellSim_Create(settings, *config);
    CellSim_TakeOver(sim);
    CellSim_Run(sim, 200);
    return sim;
}

/* Runs until the job is completed and checks that no task ran twice. */
static void
finish(CellSim *sim, GfCellConfig *config, int job, int limit_ms)
{
    int ms = 0;
    while (CellSim_JobState(sim, job) != GF_JOB_COMPLETED && ms < 30000) {
        CellSim_Run(sim, 100);
        ms += 100;
    }
    printf("  completed after %d ms, starts %d\n", ms,
           CellSim_JobStarts(sim, job));
    if (CellSim_Violation(sim) != NULL) {
        printf("  invariant violated: %s\n", CellSim_Violation(sim));
    }
    CU_ASSERT(ms <= limit_ms);
    CU_ASSERT_EQUAL(CellSim_JobStarts(sim, job), TASKS);
    CU_ASSERT_PTR_NULL(CellSim_Violation(sim));
    CellSim_Destroy(sim);
    GfCellConfig_Destroy(config);
}

/* The store is away while the tasks end; no other trouble. */
static void
test_finished_task_runs_again_after_an_outage(void)
{
    GfCellConfig *config;
    CellSim *sim = create(&SETTINGS, &config);
    int job = CellSim_Submit(sim, &MANY);
    CellSim_Run(sim, 1000);
    CellSim_SetStoreAvailable(sim, false);
    CellSim_Run(sim, 10000);
    CellSim_SetStoreAvailable(sim, true);
    finish(sim, config, job, 2000);
}

/* The owner ends during the outage; the next one finds the completions. */
static void
test_finished_task_runs_again_after_a_takeover(void)
{
    GfCellConfig *config;
    CellSim *sim = create(&SETTINGS, &config);
    int job = CellSim_Submit(sim, &MANY);
    CellSim_Run(sim, 1000);
    CellSim_SetStoreAvailable(sim, false);
    CellSim_Run(sim, 3000);
    CellSim_KillOwner(sim, CellSim_Owner(sim));
    CellSim_SetStoreAvailable(sim, true);
    CellSim_TakeOver(sim);
    finish(sim, config, job, 3000);
}

/* The store goes away again before the new owner has seen all completions, for
 * longer than the uncertainty period. */
static void
test_finished_task_runs_again_in_a_second_outage(void)
{
    GfCellConfig *config;
    CellSimSettings settings = SETTINGS;
    settings.workers = 4;
    CellSim *sim = create(&settings, &config);
    CellSim_SetListed(sim, 2, false);
    CellSim_SetListed(sim, 3, false);
    int job = CellSim_Submit(sim, &MANY);
    CellSim_Run(sim, 1000);
    CellSim_SetListed(sim, 2, true);
    CellSim_SetListed(sim, 3, true);
    CellSim_Run(sim, 100);
    CellSim_SetStoreAvailable(sim, false);
    CellSim_Run(sim, 3000);
    CellSim_KillOwner(sim, CellSim_Owner(sim));
    CellSim_SetStoreAvailable(sim, true);
    CellSim_TakeOver(sim);
    CellSim_Run(sim, 60);
    CellSim_SetStoreAvailable(sim, false);
    CellSim_Run(sim, 15000);
    CellSim_SetStoreAvailable(sim, true);
    finish(sim, config, job, 3000);
}

/* Answers between two pages are lost. */
static void
test_finished_task_runs_again_after_lost_answers(void)
{
    for (uint32_t seed = 1; seed <= 5; seed++) {
        GfCellConfig *config;
        CellSimSettings settings = SETTINGS;
        settings.seed = seed;
        settings.lose_answer = 0.1;
        CellSim *sim = create(&settings, &config);
        int job = CellSim_Submit(sim, &MANY);
        CellSim_Run(sim, 1000);
        CellSim_SetStoreAvailable(sim, false);
        CellSim_Run(sim, 4000);
        CellSim_SetStoreAvailable(sim, true);
        finish(sim, config, job, 8000);
    }
}

/* The first completion is one of a job that has to be looked up. */
static void
test_finished_task_runs_again_behind_an_unknown_job(void)
{
    GfCellConfig *config;
    CellSim *sim = create(&SETTINGS, &config);
    CellSimJob first = MANY;
    first.run_ms = 500;
    first.step.task_count = 4;
    CellSim_SubmitHidden(sim, &first);
    CellSim_Run(sim, 100);
    int job = CellSim_Submit(sim, &MANY);
    CellSim_Run(sim, 300);
    CellSim_SetStoreAvailable(sim, false);
    CellSim_Run(sim, 4000);
    CellSim_KillOwner(sim, CellSim_Owner(sim));
    CellSim_SetStoreAvailable(sim, true);
    CellSim_TakeOver(sim);
    CellSim_Run(sim, 20);
    CellSim_SetStoreAvailable(sim, false);
    CellSim_Run(sim, 1000);
    CellSim_SetStoreAvailable(sim, true);
    finish(sim, config, job, 8000);
}

static const SuiteTest TESTS[] = {
    {"finished task runs again after an outage",
     test_finished_task_runs_again_after_an_outage},
    {"finished task runs again after a takeover",
     test_finished_task_runs_again_after_a_takeover},
    {"finished task runs again in a second outage",
     test_finished_task_runs_again_in_a_second_outage},
    {"finished task runs again after lost answers",
     test_finished_task_runs_again_after_lost_answers},
    {"finished task runs again behind an unknown job",
     test_finished_task_runs_again_behind_an_unknown_job}};

SUITE_MAIN("cell completions", TESTS)
