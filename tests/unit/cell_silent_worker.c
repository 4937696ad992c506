/* Workers that fell silent, across takeovers and outages of the store. Their
 * long-running tasks stay away longer than 9 s, or are lost, if each owner
 * waits anew or a lease is not extended after the worker has returned. */
#include <stdio.h>

#include "cell_sim.h"
#include "guavaflow/log.h"
#include "suite.h"

#define TASKS 4

static const CellSimSettings SETTINGS = {.workers = 12,
                                         .mcores = 16000,
                                         .memory_mb = 64000,
                                         .rack_size = 3,
                                         .callers = 3,
                                         .latency_ms = 1,
                                         .seed = 1};

static const CellSimJob SERVING = {.queue = "watch",
                                   .team = "a",
                                   .step = {.task_count = TASKS,
                                            .need = {4000, 100, 0},
                                            .long_running = true,
                                            .latency_target_ms = 100,
                                            .max_per_worker = 1}};

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

static void
destroy(CellSim *sim, GfCellConfig *config)
{
    if (CellSim_Violation(sim) != NULL) {
        printf("  invariant violated: %s\n", CellSim_Violation(sim));
    }
    CU_ASSERT_PTR_NULL(CellSim_Violation(sim));
    CellSim_Destroy(sim);
    GfCellConfig_Destroy(config);
}

/* A worker that was still open when the owner changed is never given an end:
 * each new owner waits anew. */
static void
test_takeovers_in_series_with_an_open_worker(void)
{
    GfCellConfig *config;
    CellSim *sim = create(&SETTINGS, &config);
    int job = CellSim_Submit(sim, &SERVING);
    CellSim_Run(sim, 1500);
    int worker = CellSim_JobWorker(sim, job);
    CellSim_CrashWorker(sim, worker);
    CellSim_SetListed(sim, worker, false);
    for (int i = 0; i < 5; i++) {
        CellSim_KillOwner(sim, CellSim_Owner(sim));
        CellSim_TakeOver(sim);
        CellSim_Run(sim, 1000);
    }
    int ms = 5000;
    while (CellSim_JobRunning(sim, job) != TASKS && ms < 30000) {
        CellSim_Run(sim, 100);
        ms += 100;
    }
    printf("  all run again %d ms after the crash\n", ms);
    CU_ASSERT(ms <= 9000);
    destroy(sim, config);
}

/* A worker is silent for a moment; then the store is away for longer than a
 * lease. */
static void
test_store_away_after_a_silent_worker(void)
{
    GfCellConfig *config;
    CellSim *sim = create(&SETTINGS, &config);
    int job = CellSim_Submit(sim, &SERVING);
    CellSim_Run(sim, 1500);
    int worker = CellSim_JobWorker(sim, job);
    int starts = CellSim_JobStarts(sim, job);
    CellSim_SetIsolated(sim, worker, true);
    CellSim_Run(sim, 3500);
    CellSim_SetStoreAvailable(sim, false);
    CellSim_SetIsolated(sim, worker, false);
    CellSim_Run(sim, 7000);
    printf("  running %d, starts %d of %d\n", CellSim_JobRunning(sim, job),
           CellSim_JobStarts(sim, job), starts);
    CU_ASSERT_EQUAL(CellSim_JobRunning(sim, job), TASKS);
    CU_ASSERT_EQUAL(CellSim_JobStarts(sim, job), starts);
    destroy(sim, config);
}

static const SuiteTest TESTS[] = {
    {"takeovers in series with an open worker",
     test_takeovers_in_series_with_an_open_worker},
    {"store away after a silent worker",
     test_store_away_after_a_silent_worker}};

SUITE_MAIN("cell silent worker", TESTS)
