/* A worker that starts again under its id, gets tasks, and is silent before it
 * has answered with its new token. Its tasks start elsewhere once its lease
 * has lapsed. */
#include <stdio.h>

#include "cell_sim.h"
#include "guavaflow/log.h"
#include "suite.h"

#define PLAYS 20
#define OPEN_MS 120000
#define TASKS_WAIT_STEPS 300
#define ROW_LAG_STEPS 20

static const CellSimSettings SETTINGS = {.workers = 4,
                                         .mcores = 16000,
                                         .memory_mb = 64000,
                                         .rack_size = 3,
                                         .callers = 3,
                                         .latency_ms = 5,
                                         .takes_former_orders = true,
                                         .longest_lease_ms = 10000};

/* How a play goes on after worker 0 has got tasks. */
typedef struct {
    int64_t after_ms; /* how long it is reachable */
    int latency_ms;
    bool isolated; /* cut off, not crashed */
} Case;

/* Creates a simulation with an owner that has 32 tasks to place. */
static CellSim *
create(uint32_t seed, const Case *c, bool table_lags, GfCellConfig **config)
{
    GfLog_SetLevel(GF_LOG_ERROR);
    *config = CellSim_MakeConfig(0);
    CellSimSettings settings = SETTINGS;
    settings.seed = seed;
    settings.latency_ms = c->latency_ms;
    settings.table_lags = table_lags;
    CellSim *sim = CellSim_Create(&settings, *config);
    CellSim_TakeOver(sim);
    CellSim_Run(sim, 300 + (int64_t)seed * 10);
    return sim;
}

static int
submit(CellSim *sim)
{
    CellSimJob job = {.queue = "batch",
                      .team = "a",
                      .run_ms = 3000,
                      .step = {.task_count = 32, .need = {2000, 100, 0}}};
    return CellSim_Submit(sim, &job);
}

/* Silences worker 0 for good and ends the play. Returns whether the job is
 * still open long after. */
static bool
is_open_after_silence(CellSim *sim, const Case *c, int number)
{
    CU_ASSERT(CellSim_RunsOn(sim, 0) > 0);
    CellSim_Run(sim, c->after_ms);
    if (c->isolated) {
        CellSim_SetIsolated(sim, 0, true);
    }
    else {
        CellSim_CrashWorker(sim, 0);
    }
    CellSim_SetListed(sim, 0, false);
    CellSim_Run(sim, OPEN_MS);
    CU_ASSERT_PTR_NULL(CellSim_Violation(sim));
    bool open = CellSim_JobState(sim, number) != GF_JOB_COMPLETED;
    CellSim_Destroy(sim);
    return open;
}

/* The worker restarts twice while the store is away. */
static void
test_tasks_kept_after_the_store_was_away(void)
{
    static const Case CASES[] = {
        {0, 5, false}, {500, 5, false}, {1000, 5, false}, {2000, 5, false},
        {0, 5, true},  {500, 5, true},  {1000, 5, true},  {2000, 5, true},
    };
    for (size_t i = 0; i < sizeof(CASES) / sizeof(CASES[0]); i++) {
        int open = 0;
        for (uint32_t seed = 1; seed <= PLAYS; seed++) {
            GfCellConfig *config;
            CellSim *sim = create(seed, &CASES[i], false, &config);
            CellSim_SetStoreAvailable(sim, false);
            for (int k = 0; k < 2; k++) {
                CellSim_CrashWorker(sim, 0);
                CellSim_RestartWorker(sim, 0);
                CellSim_Run(sim, 500);
            }
            CellSim_SetStoreAvailable(sim, true);
            int number = submit(sim);
            for (int k = 0;
                 k < TASKS_WAIT_STEPS && CellSim_RunsOn(sim, 0) == 0; k++) {
                CellSim_Run(sim, CELL_SIM_STEP_MS);
            }
            open += is_open_after_silence(sim, &CASES[i], number);
            GfCellConfig_Destroy(config);
        }
        printf("  case %zu: jobs open in %d of %d plays\n", i, open, PLAYS);
        CU_ASSERT_EQUAL(open, 0);
    }
}

/* A new owner reads the row of the worker's former life first. */
static void
test_tasks_kept_after_a_takeover(void)
{
    static const Case CASES[] = {{0, 5, true},    {100, 5, true},
                                 {300, 5, true},  {0, 40, true},
                                 {100, 40, true}, {500, 40, true}};
    for (size_t i = 0; i < sizeof(CASES) / sizeof(CASES[0]); i++) {
        int open = 0;
        for (uint32_t seed = 1; seed <= PLAYS; seed++) {
            GfCellConfig *config;
            CellSim *sim = create(seed, &CASES[i], true, &config);
            CellSim_CrashWorker(sim, 0);
            CellSim_RestartUnseen(sim, 0);
            CellSim_TakeOver(sim);
            int number = submit(sim);
            for (int k = 0;
                 k < TASKS_WAIT_STEPS && CellSim_RunsOn(sim, 0) == 0; k++) {
                CellSim_Run(sim, CELL_SIM_STEP_MS);
                if (k > ROW_LAG_STEPS) {
                    CellSim_SetListed(sim, 0, true);
                }
            }
            open += is_open_after_silence(sim, &CASES[i], number);
            GfCellConfig_Destroy(config);
        }
        printf("  case %zu: jobs open in %d of %d plays\n", i, open, PLAYS);
        CU_ASSERT_EQUAL(open, 0);
    }
}

static const SuiteTest TESTS[] = {
    {"tasks kept after the store was away",
     test_tasks_kept_after_the_store_was_away},
    {"tasks kept after a takeover", test_tasks_kept_after_a_takeover}};

SUITE_MAIN("cell token silent", TESTS)
