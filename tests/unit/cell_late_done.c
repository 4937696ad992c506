/* A start without an answer that is carried out by the next life of its worker
 * after the task's run has ended and its end was acknowledged: the task runs
 * once more. */
#include <stdio.h>

#include "cell_sim.h"
#include "guavaflow/log.h"
#include "suite.h"

#define PLAYS 20
#define TASKS 3

static const CellSimSettings SETTINGS = {.workers = 4,
                                         .mcores = 16000,
                                         .memory_mb = 64000,
                                         .rack_size = 3,
                                         .callers = 3,
                                         .latency_ms = 5,
                                         .late_min_ms = 4000,
                                         .takes_former_orders = true,
                                         .longest_lease_ms = 10000};

/* The starts are repeated and answered after 0.5 s, and the tasks end
 * after 1.5 s. The worker restarts after 3.9 s and answers no holds for 1.5 s.
 */
static void
test_completed_task_runs_again(void)
{
    GfLog_SetLevel(GF_LOG_ERROR);
    int broken = 0;
    for (uint32_t seed = 1; seed <= PLAYS; seed++) {
        GfCellConfig *config = CellSim_MakeConfig(0);
        CellSimSettings settings = SETTINGS;
        settings.seed = seed;
        CellSim *sim = CellSim_Create(&settings, config);
        CellSim_TakeOver(sim);
        CellSim_Run(sim, 300);
        CellSimJob job = {
            .queue = "batch",
            .team = "a",
            .run_ms = 1000,
            .step = {.task_count = TASKS, .need = {4000, 100, 0}}};
        CellSim_SetStartsDelayed(sim, 0, true);
        int number = CellSim_Submit(sim, &job);
        CellSim_Run(sim, 500);
        CellSim_SetStartsDelayed(sim, 0, false);
        CellSim_Run(sim, 3400);
        CU_ASSERT_EQUAL(CellSim_JobState(sim, number), GF_JOB_COMPLETED);
        CellSim_CrashWorker(sim, 0);
        CellSim_RestartWorker(sim, 0);
        CellSim_SetHoldsDelayed(sim, 0, true);
        CellSim_Run(sim, 1500);
        CellSim_SetHoldsDelayed(sim, 0, false);
        CellSim_Run(sim, 20000);
        broken += CellSim_Violation(sim) != NULL;
        if (CellSim_Violation(sim) != NULL) {
            printf("  seed=%u: %s\n", seed, CellSim_Violation(sim));
        }
        CellSim_Destroy(sim);
        GfCellConfig_Destroy(config);
    }
    printf("  plays broken: %d of %d\n", broken, PLAYS);
    CU_ASSERT_EQUAL(broken, 0);
}

static const SuiteTest TESTS[] = {
    {"completed task runs again", test_completed_task_runs_again}};

SUITE_MAIN("cell late done", TESTS)
