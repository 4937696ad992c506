/* A start without an answer that is carried out seconds later, by the next
 * life of the worker, before that life has got any other order: nothing tells
 * it that the start was settled, and its task runs elsewhere by then. */
#include <stdio.h>

#include "cell_sim.h"
#include "guavaflow/log.h"
#include "suite.h"

#define PLAYS 20

static const CellSimSettings SETTINGS = {.workers = 4,
                                         .mcores = 16000,
                                         .memory_mb = 64000,
                                         .rack_size = 3,
                                         .callers = 3,
                                         .latency_ms = 5,
                                         .late_min_ms = 2000,
                                         .takes_former_orders = true,
                                         .longest_lease_ms = 10000};

/* The worker crashes 1.5 s after the starts; its holds get no answer then. */
static void
test_late_start_runs_before_the_first_contact(void)
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
        CellSim_Run(sim, 1500);
        CellSim_CrashWorker(sim, 0);
        CellSim_RestartWorker(sim, 0);
        CellSim_SetStartsDelayed(sim, 0, false);
        CellSim_SetHoldsDelayed(sim, 0, true);
        CellSim_Run(sim, 1700);
        CellSim_SetHoldsDelayed(sim, 0, false);
        CellSim_Run(sim, 40000);
        CU_ASSERT_EQUAL(CellSim_JobState(sim, number), GF_JOB_COMPLETED);
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
    {"late start runs before the first contact",
     test_late_start_runs_before_the_first_contact}};

SUITE_MAIN("cell late start", TESTS)
