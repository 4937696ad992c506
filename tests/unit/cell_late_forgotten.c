/* A hold without an answer that reaches a worker which its owner has removed
 * since, and which is back under its id. */
#include <stdio.h>

#include "cell_sim.h"
#include "guavaflow/log.h"
#include "suite.h"

#define PLAYS 20
#define TASKS 32
#define SHORT_TASKS 24
#define TASKS_WAIT_STEPS 300

static const CellSimSettings SETTINGS = {.workers = 4,
                                         .mcores = 16000,
                                         .memory_mb = 64000,
                                         .rack_size = 3,
                                         .callers = 3,
                                         .latency_ms = 5,
                                         .takes_former_orders = true,
                                         .longest_lease_ms = 10000};

/* Creates a simulation with an owner. Delayed holds take late_min_ms or
 * more. */
static CellSim *
create(uint32_t seed, int64_t late_min_ms, GfCellConfig **config)
{
    GfLog_SetLevel(GF_LOG_ERROR);
    *config = CellSim_MakeConfig(0);
    CellSimSettings settings = SETTINGS;
    settings.seed = seed;
    settings.late_min_ms = late_min_ms;
    CellSim *sim = CellSim_Create(&settings, *config);
    CellSim_TakeOver(sim);
    return sim;
}

/* Ends a play once the job is complete. Returns whether a rule was broken. */
static bool
finish(CellSim *sim, GfCellConfig *config, uint32_t seed, int number)
{
    CellSim_Run(sim, 60000);
    CU_ASSERT_EQUAL(CellSim_JobState(sim, number), GF_JOB_COMPLETED);
    const char *violation = CellSim_Violation(sim);
    if (violation != NULL) {
        printf("  seed=%u: %s\n", seed, violation);
    }
    bool broken = violation != NULL;
    CellSim_Destroy(sim);
    GfCellConfig_Destroy(config);
    return broken;
}

/* Submits a job, and cuts worker 0 off for 12 s once it runs tasks of it.
 * Returns the job's number. */
static int
cut_off_under_tasks(CellSim *sim)
{
    int64_t run_ms[TASKS];
    for (int i = 0; i < TASKS; i++) {
        run_ms[i] = i < SHORT_TASKS ? 3000 : 20000;
    }
    CellSimJob job = {.queue = "batch",
                      .team = "a",
                      .run_ms = 3000,
                      .task_run_ms = run_ms,
                      .step = {.task_count = TASKS, .need = {2000, 100, 0}}};
    int number = CellSim_Submit(sim, &job);
    for (int i = 0; i < TASKS_WAIT_STEPS && CellSim_RunsOn(sim, 0) == 0; i++) {
        CellSim_Run(sim, CELL_SIM_STEP_MS);
    }
    CU_ASSERT(CellSim_RunsOn(sim, 0) > 0);
    CellSim_SetIsolated(sim, 0, true);
    CellSim_Run(sim, 12000);
    CellSim_SetIsolated(sim, 0, false);
    return number;
}

/* The worker is back, carries out the hold, and then its row is read. */
static void
test_late_hold_reaches_a_removed_worker(void)
{
    int broken = 0;
    for (uint32_t seed = 1; seed <= PLAYS; seed++) {
        GfCellConfig *config;
        CellSim *sim = create(seed, 8000, &config);
        CellSim_Run(sim, 15000);
        CellSim_SetHoldsDelayed(sim, 0, true);
        CellSim_Run(sim, 1600 + (int64_t)seed * 20);
        CellSim_CrashWorker(sim, 0);
        CellSim_SetListed(sim, 0, false);
        CellSim_Run(sim, 6500);
        CellSim_SetHoldsDelayed(sim, 0, false);
        CellSim_RestartUnseen(sim, 0);
        CellSim_Run(sim, 2500);
        CellSim_SetListed(sim, 0, true);
        CellSim_Run(sim, 100);
        int number = cut_off_under_tasks(sim);
        broken += finish(sim, config, seed, number);
    }
    printf("  plays broken: %d of %d\n", broken, PLAYS);
    CU_ASSERT_EQUAL(broken, 0);
}

/* The owner has read the row of the next life, which then goes away before a
 * hold is answered, and is back. The hold is carried out meanwhile. */
static void
test_late_hold_reaches_a_worker_whose_row_was_away(void)
{
    int broken = 0;
    for (uint32_t seed = 1; seed <= PLAYS; seed++) {
        GfCellConfig *config;
        CellSim *sim = create(seed, 2000, &config);
        CellSim_Run(sim, 15000);
        CellSim_SetHoldsDelayed(sim, 0, true);
        CellSim_Run(sim, 1600 + (int64_t)seed * 20);
        CellSim_CrashWorker(sim, 0);
        CellSim_RestartWorker(sim, 0);
        CellSim_Run(sim, 1000);
        CellSim_SetListed(sim, 0, false);
        CellSim_Run(sim, 1500);
        CellSim_SetHoldsDelayed(sim, 0, false);
        CellSim_SetListed(sim, 0, true);
        CellSim_Run(sim, 100);
        int number = cut_off_under_tasks(sim);
        broken += finish(sim, config, seed, number);
    }
    printf("  plays broken: %d of %d\n", broken, PLAYS);
    CU_ASSERT_EQUAL(broken, 0);
}

static const SuiteTest TESTS[] = {
    {"late hold reaches a removed worker",
     test_late_hold_reaches_a_removed_worker},
    {"late hold reaches a worker whose row was away",
     test_late_hold_reaches_a_worker_whose_row_was_away}};

SUITE_MAIN("cell late forgotten", TESTS)
