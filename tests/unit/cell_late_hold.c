/* A hold without an answer that is carried out seconds later, by the next life
 * of the worker. It acknowledges by the numbers of the former life, so that
 * ends of the new one are forgotten unread, and extends the lease to a time on
 * the former clock. */
#include <stdio.h>

#include "cell_sim.h"
#include "guavaflow/log.h"
#include "suite.h"

#define PLAYS 20
#define TASKS 3000
#define LATE_MS 2000

static const CellSimSettings SETTINGS = {.workers = 4,
                                         .mcores = 16000,
                                         .memory_mb = 64000,
                                         .rack_size = 3,
                                         .callers = 3,
                                         .latency_ms = 40,
                                         .late_min_ms = LATE_MS,
                                         .takes_former_orders = true,
                                         .longest_lease_ms = 10000};

/* Creates a simulation with an owner. */
static CellSim *
create(uint32_t seed, GfCellConfig **config)
{
    GfLog_SetLevel(GF_LOG_ERROR);
    CellSimSettings settings = SETTINGS;
    settings.seed = seed;
    *config = CellSim_MakeConfig(0);
    CellSim *sim = CellSim_Create(&settings, *config);
    CellSim_TakeOver(sim);
    CellSim_Run(sim, 300);
    return sim;
}

/* Delays the holds of a worker, which crashes after a time and is back at
 * once. */
static void
restart_with_late_holds(CellSim *sim, int worker, int64_t ms)
{
    CellSim_SetHoldsDelayed(sim, worker, true);
    CellSim_Run(sim, ms);
    CellSim_CrashWorker(sim, worker);
    CellSim_RestartWorker(sim, worker);
    CellSim_SetHoldsDelayed(sim, worker, false);
}

/* Prints how many plays broke an invariant; none may. */
static void
expect_none(int broken)
{
    printf("  plays broken: %d of %d\n", broken, PLAYS);
    CU_ASSERT_EQUAL(broken, 0);
}

/* Short tasks run, so that some ends are always unread. */
static void
test_late_hold_drops_ends_of_the_next_life_unread(void)
{
    int64_t run_ms[TASKS];
    for (int i = 0; i < TASKS; i++) {
        run_ms[i] = 200 + i * 37 % 200;
    }
    int broken = 0;
    for (uint32_t seed = 1; seed <= PLAYS; seed++) {
        GfCellConfig *config;
        CellSim *sim = create(seed, &config);
        CellSimJob job = {
            .queue = "batch",
            .team = "a",
            .run_ms = 300,
            .task_run_ms = run_ms,
            .step = {.task_count = TASKS, .need = {1000, 100, 0}}};
        int number = CellSim_Submit(sim, &job);
        CellSim_Run(sim, 5000);
        restart_with_late_holds(sim, 0, 100 + (int64_t)seed * 10);
        CellSim_Run(sim, 60000);
        CU_ASSERT_EQUAL(CellSim_JobState(sim, number), GF_JOB_COMPLETED);
        broken += CellSim_Violation(sim) != NULL;
        if (CellSim_Violation(sim) != NULL) {
            printf("  seed=%u: %s\n", seed, CellSim_Violation(sim));
        }
        CellSim_Destroy(sim);
        GfCellConfig_Destroy(config);
    }
    expect_none(broken);
}

/* The worker is cut off once the late hold has been carried out. */
static void
test_late_hold_extends_the_lease_of_the_next_life(void)
{
    int broken = 0;
    for (uint32_t seed = 1; seed <= PLAYS; seed++) {
        GfCellConfig *config;
        CellSim *sim = create(seed, &config);
        CellSimJob job = {.queue = "batch",
                          .team = "a",
                          .run_ms = 20000,
                          .step = {.task_count = 24, .need = {2000, 100, 0}}};
        restart_with_late_holds(sim, 0, 1600);
        CellSim_Run(sim, 500);
        int number = CellSim_Submit(sim, &job);
        CellSim_Run(sim, LATE_MS + 400);
        CellSim_SetIsolated(sim, 0, true);
        CellSim_Run(sim, 12000);
        CellSim_SetIsolated(sim, 0, false);
        CellSim_SetListed(sim, 0, true);
        CellSim_Run(sim, 60000);
        CU_ASSERT_EQUAL(CellSim_JobState(sim, number), GF_JOB_COMPLETED);
        broken += CellSim_Violation(sim) != NULL;
        if (CellSim_Violation(sim) != NULL) {
            printf("  seed=%u: %s\n", seed, CellSim_Violation(sim));
        }
        CellSim_Destroy(sim);
        GfCellConfig_Destroy(config);
    }
    expect_none(broken);
}

/* It restarts twice then, and is cut off once it has got tasks again. */
static void
test_late_hold_extends_the_lease_while_the_store_is_away(void)
{
    int64_t run_ms[32];
    for (int i = 0; i < 32; i++) {
        run_ms[i] = i < 24 ? 3000 : 20000;
    }
    int broken = 0;
    for (uint32_t seed = 1; seed <= PLAYS; seed++) {
        GfCellConfig *config;
        CellSim *sim = create(seed, &config);
        CellSimJob job = {.queue = "batch",
                          .team = "a",
                          .run_ms = 3000,
                          .task_run_ms = run_ms,
                          .step = {.task_count = 32, .need = {2000, 100, 0}}};
        CellSim_SetStoreAvailable(sim, false);
        restart_with_late_holds(sim, 0, 0);
        CellSim_Run(sim, 8000);
        restart_with_late_holds(sim, 0, 1600);
        CellSim_Run(sim, LATE_MS - 300 + (int64_t)seed * 50);
        CellSim_SetStoreAvailable(sim, true);
        int number = CellSim_Submit(sim, &job);
        for (int i = 0; i < 100 && CellSim_RunsOn(sim, 0) == 0; i++) {
            CellSim_Run(sim, CELL_SIM_STEP_MS);
        }
        CellSim_SetIsolated(sim, 0, true);
        CellSim_Run(sim, 12000);
        CellSim_SetIsolated(sim, 0, false);
        CellSim_SetListed(sim, 0, true);
        CellSim_Run(sim, 60000);
        CU_ASSERT_EQUAL(CellSim_JobState(sim, number), GF_JOB_COMPLETED);
        broken += CellSim_Violation(sim) != NULL;
        CellSim_Destroy(sim);
        GfCellConfig_Destroy(config);
    }
    expect_none(broken);
}

static const SuiteTest TESTS[] = {
    {"late hold drops ends of the next life unread",
     test_late_hold_drops_ends_of_the_next_life_unread},
    {"late hold extends the lease of the next life",
     test_late_hold_extends_the_lease_of_the_next_life},
    {"late hold extends the lease while the store is away",
     test_late_hold_extends_the_lease_while_the_store_is_away}};

SUITE_MAIN("cell late hold", TESTS)
