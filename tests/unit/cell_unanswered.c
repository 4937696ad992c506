/* Workers that answer hold calls while starts and stops to them get no answer,
 * as when no further connection to them can be opened. Their tasks are never
 * started elsewhere, and they get more tasks, if the hold calls alone extend
 * their lease. */
#include <stdio.h>

#include "cell_sim.h"
#include "guavaflow/log.h"
#include "suite.h"

#define TASKS 4
#define WORKERS 6
/* A task that lasts runs again 6 s after its last run, and 3 s later at most
 * while there is room. */
#define LIMIT_MS 9000

static const CellSimSettings SETTINGS = {.workers = WORKERS,
                                         .mcores = 16000,
                                         .memory_mb = 64000,
                                         .rack_size = 3,
                                         .callers = 3,
                                         .latency_ms = 1,
                                         .seed = 1};

static const CellSimJob QUICK = {.queue = "quick",
                                 .team = "a",
                                 .run_ms = 300,
                                 .step = {.task_count = TASKS,
                                          .need = {4000, 100, 0},
                                          .max_per_worker = 1}};

static const CellSimJob SERVING = {.queue = "watch",
                                   .team = "a",
                                   .step = {.task_count = TASKS,
                                            .need = {4000, 100, 0},
                                            .long_running = true,
                                            .max_per_worker = 1}};

static CellSim *
create(GfCellConfig **config)
{
    GfLog_SetLevel(GF_LOG_ERROR);
    *config = CellSim_MakeConfig(0);
    CellSim *sim = CellSim_Create(&SETTINGS, *config);
    CellSim_TakeOver(sim);
    CellSim_Run(sim, 200);
    return sim;
}

static void
destroy(CellSim *sim, GfCellConfig *config)
{
    CU_ASSERT_PTR_NULL(CellSim_Violation(sim));
    CellSim_Destroy(sim);
    GfCellConfig_Destroy(config);
}

/* Only two of six workers take orders: the tasks sent to the others must run
 * in the end. */
static void
test_task_never_runs_as_only_holds_get_through(void)
{
    GfCellConfig *config;
    CellSim *sim = create(&config);
    for (int i = 0; i < 4; i++) {
        CellSim_SetOnlyHolds(sim, i, true);
    }
    CellSimJob job = QUICK;
    job.step.max_per_worker = 0;
    int id = CellSim_Submit(sim, &job);
    int ms = 0;
    while (CellSim_JobState(sim, id) != GF_JOB_COMPLETED && ms < 30000) {
        CellSim_Run(sim, 100);
        ms += 100;
    }
    printf("  completed after %d ms, starts %d\n", ms,
           CellSim_JobStarts(sim, id));
    CU_ASSERT(ms <= LIMIT_MS);
    destroy(sim, config);
}

/* A cancelled job whose stop order gets no answer. */
static void
test_cancelled_run_goes_on_as_only_holds_get_through(void)
{
    GfCellConfig *config;
    CellSim *sim = create(&config);
    int id = CellSim_Submit(sim, &SERVING);
    CellSim_Run(sim, 1500);
    CU_ASSERT_EQUAL(CellSim_JobRunning(sim, id), TASKS);
    for (int i = 0; i < WORKERS; i++) {
        CellSim_SetOnlyHolds(sim, i, true);
    }
    CellSim_CancelJob(sim, id);
    int ms = 0;
    while (CellSim_JobRunning(sim, id) > 0 && ms < 30000) {
        CellSim_Run(sim, 100);
        ms += 100;
    }
    printf("  gone after %d ms\n", ms);
    CU_ASSERT(ms <= LIMIT_MS);
    destroy(sim, config);
}

/* While orders get no answer, a worker keeps what runs there, as long as
 * nothing has to be started or stopped. */
static void
test_run_lost_though_only_orders_fail(void)
{
    GfCellConfig *config;
    CellSim *sim = create(&config);
    int id = CellSim_Submit(sim, &SERVING);
    CellSim_Run(sim, 1500);
    for (int i = 0; i < WORKERS; i++) {
        CellSim_SetOnlyHolds(sim, i, true);
    }
    CellSim_Run(sim, 20000);
    CU_ASSERT_EQUAL(CellSim_JobRunning(sim, id), TASKS);
    CU_ASSERT_EQUAL(CellSim_JobStarts(sim, id), TASKS);
    destroy(sim, config);
}

/* Orders get through again. */
static void
test_worker_unused_after_orders_are_answered_again(void)
{
    GfCellConfig *config;
    CellSim *sim = create(&config);
    for (int i = 0; i < WORKERS; i++) {
        CellSim_SetOnlyHolds(sim, i, true);
    }
    int id = CellSim_Submit(sim, &QUICK);
    CellSim_Run(sim, 5000);
    for (int i = 0; i < WORKERS; i++) {
        CellSim_SetOnlyHolds(sim, i, false);
    }
    int ms = 0;
    while (CellSim_JobState(sim, id) != GF_JOB_COMPLETED && ms < 30000) {
        CellSim_Run(sim, 100);
        ms += 100;
    }
    printf("  completed after %d ms\n", ms);
    CU_ASSERT(ms <= 3000);
    destroy(sim, config);
}

/* Starts without an answer are carried out up to 1.3 s later. */
static void
test_start_taken_as_void_is_carried_out(void)
{
    for (uint32_t seed = 1; seed <= 10; seed++) {
        GfLog_SetLevel(GF_LOG_ERROR);
        GfCellConfig *config = CellSim_MakeConfig(0);
        CellSimSettings settings = SETTINGS;
        settings.seed = seed;
        settings.late_order = 0.3;
        settings.late_min_ms = 300;
        CellSim *sim = CellSim_Create(&settings, config);
        CellSim_TakeOver(sim);
        CellSim_Run(sim, 200);
        CellSimJob job = QUICK;
        job.run_ms = 3000;
        job.step.task_count = 20;
        job.step.max_per_worker = 0;
        int id = CellSim_Submit(sim, &job);
        CellSim_Run(sim, 20000);
        CU_ASSERT_EQUAL(CellSim_JobState(sim, id), GF_JOB_COMPLETED);
        destroy(sim, config);
    }
}

static const SuiteTest TESTS[] = {
    {"task never runs as only holds get through",
     test_task_never_runs_as_only_holds_get_through},
    {"cancelled run goes on as only holds get through",
     test_cancelled_run_goes_on_as_only_holds_get_through},
    {"start taken as void is carried out",
     test_start_taken_as_void_is_carried_out},
    {"run lost though only orders fail",
     test_run_lost_though_only_orders_fail},
    {"worker unused after orders are answered again",
     test_worker_unused_after_orders_are_answered_again}};

SUITE_MAIN("cell unanswered orders", TESTS)
