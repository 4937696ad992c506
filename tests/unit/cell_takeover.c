/* What a new owner may rely on after a takeover: the stored ends of leases and
 * the incarnations of the stored list. A wrong one lets a task run twice. And
 * tasks that are moved off leaving workers must be able to start elsewhere. */
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

/* A worker that leaves and answers is stored as closed without an end. The
 * next owner loads for 1.1 s, as in the incident. Then it extends the worker's
 * lease, as it has its clock, while a run there is still being looked up, so
 * that the worker does not count as contacted. The end that it stores
 * disregards that extension. */
static void
test_lease_extended_while_a_job_is_looked_up(void)
{
    GfCellConfig *config;
    CellSimSettings settings = SETTINGS;
    settings.load_ms = 1100;
    CellSim *sim = create(&settings, &config);
    CellSim_Run(sim, 4000);
    CellSimJob batch = {.queue = "batch",
                        .team = "a",
                        .run_ms = 60000,
                        .step = {.task_count = 4, .need = {1000, 100, 0}}};
    int job = CellSim_Submit(sim, &batch);
    CellSim_Run(sim, 500);
    int worker = CellSim_JobWorker(sim, job);
    batch.step.task_count = 12;
    batch.step.max_per_worker = 1;
    CellSim_SubmitHidden(sim, &batch);
    CellSim_Run(sim, 1000);
    CellSim_SetLeaving(sim, worker, true);
    CellSim_Run(sim, 500);

    /* Look-ups fail until the second owner begins to place tasks. */
    CellSim_KillOwner(sim, CellSim_Owner(sim));
    GfCell *second = CellSim_TakeOver(sim);
    CellSim_SetStoreAvailable(sim, false);
    CellSim_Run(sim, 1100 + 350);
    CellSim_SetIsolatedFrom(sim, worker, second, true);
    CellSim_SetStoreAvailable(sim, true);
    CellSim_Run(sim, 300);

    CellSim_KillOwner(sim, second);
    GfCell *third = CellSim_TakeOver(sim);
    CellSim_SetIsolatedFrom(sim, worker, third, true);
    CellSim_Run(sim, 8000);
    destroy(sim, config);
}

/* The stored list names a worker's new incarnation with an end, but the table
 * that the next owner reads still has the former one, and is read first. The
 * owner takes the answer as of another incarnation than the list's, and
 * extends the lease before the list is stored without its end. */
static void
look_at_new_incarnation(bool table_lags)
{
    GfCellConfig *config;
    CellSimSettings settings = SETTINGS;
    settings.table_lags = table_lags;
    CellSim *sim = create(&settings, &config);
    int worker = 3;
    CellSim_RestartWorker(sim, worker);
    CellSim_Run(sim, 3000);
    CellSimJob batch = {.queue = "batch",
                        .team = "a",
                        .run_ms = 60000,
                        .step = {.task_count = 12,
                                 .need = {1000, 100, 0},
                                 .max_per_worker = 2}};
    int job = CellSim_Submit(sim, &batch);
    CellSim_Run(sim, 1000);
    CU_ASSERT_EQUAL(CellSim_JobRunning(sim, job), 12);
    CellSim_SetIsolated(sim, worker, true);
    CellSim_Run(sim, 4000);
    CellSim_KillOwner(sim, CellSim_Owner(sim));
    GfCell *second = CellSim_TakeOver(sim);
    CellSim_SetIsolated(sim, worker, false);
    CellSim_SetStoreAvailable(sim, false);
    CellSim_Run(sim, 1500);
    CellSim_SetStoreAvailable(sim, true);
    CellSim_KillOwner(sim, second);
    GfCell *third = CellSim_TakeOver(sim);
    CellSim_SetIsolatedFrom(sim, worker, third, true);
    CellSim_Run(sim, 6000);
    printf("  table lags %d: starts %d\n", table_lags,
           CellSim_JobStarts(sim, job));
    destroy(sim, config);
}

static void
test_new_incarnation_of_the_list(void)
{
    look_at_new_incarnation(false);
    look_at_new_incarnation(true);
}

/* A task is moved although its job is uncertain, so that it cannot start. */
static void
test_move_while_the_job_is_uncertain(void)
{
    GfCellConfig *config;
    CellSim *sim = create(&SETTINGS, &config);
    int job = CellSim_Submit(sim, &SERVING);
    CellSim_Run(sim, 1500);
    int worker = CellSim_JobWorker(sim, job);
    int idle = 0;
    while (idle == worker || CellSim_ServingOn(sim, idle) > 0) {
        idle++;
    }
    CellSim_CrashWorker(sim, idle);
    CellSim_KillOwner(sim, CellSim_Owner(sim));
    CellSim_TakeOver(sim);
    CellSim_Run(sim, 500);
    CellSim_SetLeaving(sim, worker, true);
    for (int ms = 0; ms < 4500; ms += 100) {
        CellSim_Run(sim, 100);
        if (ms >= 600 && CellSim_JobRunning(sim, job) != TASKS) {
            printf("  %d ms after the notice %d of %d run\n", ms,
                   CellSim_JobRunning(sim, job), TASKS);
            CU_FAIL("task stopped and not started");
            break;
        }
    }
    int away = 4500;
    while (CellSim_JobRunning(sim, job) != TASKS && away < 20000) {
        CellSim_Run(sim, 100);
        away += 100;
    }
    printf("  all run again %d ms after the notice\n", away);
    destroy(sim, config);
}

/* Several steps move for the same free capacity. */
static void
test_moves_for_the_same_capacity(void)
{
    GfCellConfig *config;
    CellSimSettings settings = SETTINGS;
    settings.workers = 2;
    CellSim *sim = create(&settings, &config);
    CellSimJob one = SERVING;
    one.step.task_count = 1;
    one.step.max_per_worker = 0;
    one.step.need = (GfResources){4000, 100, 0};
    int jobs[4];
    for (int i = 0; i < 4; i++) {
        jobs[i] = CellSim_Submit(sim, &one);
        CellSim_Run(sim, 100);
    }
    CellSim_Run(sim, 1000);
    int worker = CellSim_JobWorker(sim, jobs[0]);
    for (int i = 0; i < 4; i++) {
        CU_ASSERT_EQUAL(CellSim_JobWorker(sim, jobs[i]), worker);
    }
    /* The other worker has room for one of the four. */
    CellSimJob filler = one;
    filler.step.need = (GfResources){12000, 100, 0};
    int fill = CellSim_Submit(sim, &filler);
    CellSim_Run(sim, 1000);
    CU_ASSERT_EQUAL(CellSim_JobWorker(sim, fill), 1 - worker);
    CellSim_SetLeaving(sim, worker, true);
    CellSim_Run(sim, 1500);
    int running = 0;
    for (int i = 0; i < 4; i++) {
        running += CellSim_JobRunning(sim, jobs[i]);
    }
    printf("  1.5 s after the notice %d of 4 run, with the worker still up\n",
           running);
    CU_ASSERT_EQUAL(running, 4);
    destroy(sim, config);
}

/* A worker that is cut off shortly before a takeover. */
static void
test_takeover_with_an_open_worker(void)
{
    GfCellConfig *config;
    CellSim *sim = create(&SETTINGS, &config);
    int job = CellSim_Submit(sim, &SERVING);
    CellSim_Run(sim, 1500);
    int worker = CellSim_JobWorker(sim, job);
    CellSim_SetIsolated(sim, worker, true);
    CellSim_Run(sim, 2000);
    CellSim_KillOwner(sim, CellSim_Owner(sim));
    CellSim_TakeOver(sim);
    int ms = 2000;
    while (ms < 20000) {
        CellSim_Run(sim, 100);
        ms += 100;
        if (ms > 7000 && CellSim_JobRunning(sim, job) == TASKS) {
            break;
        }
    }
    printf("  all run %d ms after the worker was cut off\n", ms);
    CU_ASSERT(ms <= 9000);
    destroy(sim, config);
}

/* The owner ends after_ms after the store takes commits again, which it has
 * refused while more jobs completed than a commit holds. */
static void
end_after_refused_commits(int64_t after_ms)
{
    enum { JOBS = 300 };
    GfCellConfig *config;
    CellSimSettings settings = SETTINGS;
    settings.workers = 24;
    CellSim *sim = create(&settings, &config);
    CellSimJob quick = {.queue = "quick",
                        .team = "a",
                        .run_ms = 3000,
                        .step = {.task_count = 1, .need = {1000, 100, 0}}};
    for (int i = 0; i < JOBS; i++) {
        CellSim_Submit(sim, &quick);
    }
    CellSim_Run(sim, 2500);
    CellSim_SetStoreAvailable(sim, false);
    CellSim_Run(sim, 3000);
    CellSim_SetStoreAvailable(sim, true);
    CellSim_Run(sim, after_ms);
    CellSim_KillOwner(sim, CellSim_Owner(sim));
    CellSim_TakeOver(sim);
    CellSim_Run(sim, 10000);
    destroy(sim, config);
}

static void
test_completions_acknowledged_before_they_are_stored(void)
{
    for (int64_t ms = 20; ms <= 400; ms += 20) {
        end_after_refused_commits(ms);
    }
}

static const SuiteTest TESTS[] = {
    {"lease extended while a job is looked up",
     test_lease_extended_while_a_job_is_looked_up},
    {"new incarnation that only the list names",
     test_new_incarnation_of_the_list},
    {"move while the job is uncertain", test_move_while_the_job_is_uncertain},
    {"moves for the same capacity", test_moves_for_the_same_capacity},
    {"takeover with an open worker", test_takeover_with_an_open_worker},
    {"completions acknowledged before they are stored",
     test_completions_acknowledged_before_they_are_stored}};

SUITE_MAIN("cell takeover", TESTS)
