/* Orders without an answer that are carried out seconds later, by the next
 * life of the worker. Their tasks were settled in the life before and run
 * elsewhere by then. */
#include <stdio.h>

#include "cell_sim.h"
#include "guavaflow/log.h"
#include "suite.h"

#define PLAYS 40

static const CellSimSettings SETTINGS = {.workers = 4,
                                         .mcores = 16000,
                                         .memory_mb = 64000,
                                         .rack_size = 3,
                                         .callers = 3,
                                         .latency_ms = 5,
                                         .takes_former_orders = true,
                                         .longest_lease_ms = 10000};

/* Starts are carried out 2 to 12 s late at one worker, which crashes 3 s after
 * they were sent and is back at once. */
static void
test_late_start_runs_in_the_next_life(void)
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
        CellSimJob job = {.queue = "batch",
                          .team = "a",
                          .run_ms = 8000,
                          .step = {.task_count = 3, .need = {4000, 100, 0}}};
        CellSim_SetStartsDelayed(sim, 0, true);
        int number = CellSim_Submit(sim, &job);
        CellSim_Run(sim, 3000);
        CellSim_CrashWorker(sim, 0);
        CellSim_RestartWorker(sim, 0);
        CellSim_SetStartsDelayed(sim, 0, false);
        CellSim_Run(sim, 40000);
        CU_ASSERT_EQUAL(CellSim_JobState(sim, number), GF_JOB_COMPLETED);
        broken += CellSim_Violation(sim) != NULL;
        CellSim_Destroy(sim);
        GfCellConfig_Destroy(config);
    }
    printf("  plays broken: %d of %d\n", broken, PLAYS);
    CU_ASSERT_EQUAL(broken, 0);
}

static const SuiteTest TESTS[] = {{"late start runs in the next life",
                                   test_late_start_runs_in_the_next_life}};

SUITE_MAIN("cell lives late", TESTS)
