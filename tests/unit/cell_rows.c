/* Rows of jobs and workers at the product's limits. The store refuses a row of
 * more than 64 KB, a call of more than 1 MB or 100 entries, and each
 * repetition of it; if one job or the list of workers grows beyond that,
 * nothing is stored for any job. The simulated store reports such commits as
 * violations. */
#include <stdio.h>

#include "cell_sim.h"
#include "guavaflow/log.h"
#include "suite.h"

#define WIDE_TASKS 1500

static const CellSimSettings SETTINGS = {.workers = 3,
                                         .mcores = 64000,
                                         .memory_mb = 640000,
                                         .rack_size = 3,
                                         .callers = 3,
                                         .latency_ms = 1,
                                         .seed = 1};

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

static void
replace_owner(CellSim *sim)
{
    CellSim_KillOwner(sim, CellSim_Owner(sim));
    CellSim_Run(sim, 300);
    CellSim_TakeOver(sim);
}

/* A job with many tasks that last is handed over twice; the next owner names
 * the worker of each of its tasks. */
static void
test_nothing_stored_after_hand_over_of_a_wide_job(void)
{
    GfCellConfig *config;
    CellSim *sim = create(&SETTINGS, &config);
    CellSimJob wide = {.queue = "watch",
                       .team = "a",
                       .step = {.task_count = WIDE_TASKS,
                                .need = {60, 100, 0},
                                .long_running = true}};
    int job = CellSim_Submit(sim, &wide);
    wide.step.task_count = 2;
    int small[4];
    for (int i = 0; i < 4; i++) {
        small[i] = CellSim_Submit(sim, &wide);
    }
    CellSim_Run(sim, 3000);
    for (int k = 0; k < 2; k++) {
        replace_owner(sim);
        CellSim_Run(sim, 3000);
        CellSim_CancelJob(sim, small[k]);
        CellSim_Run(sim, 1000);
        CU_ASSERT_EQUAL(CellSim_JobState(sim, small[k]), GF_JOB_WITHDRAWN);
    }
    CU_ASSERT_EQUAL(CellSim_JobRunning(sim, job), WIDE_TASKS);
    CU_ASSERT_EQUAL(CellSim_JobStarts(sim, job), WIDE_TASKS);
    destroy(sim, config);
}

/* The widest step, of which each task fails once or twice. */
static void
test_nothing_stored_after_many_failures(void)
{
    GfCellConfig *config;
    CellSimSettings settings = SETTINGS;
    settings.workers = 8;
    CellSim *sim = create(&settings, &config);
    CellSimJob wide = {
        .queue = "batch",
        .team = "a",
        .run_ms = 1000,
        .step = {.task_count = GF_JOB_MAX_TASKS, .need = {100, 100, 0}}};
    for (int i = 0; i < settings.workers; i++) {
        CellSim_SetFailing(sim, i, true);
    }
    int job = CellSim_Submit(sim, &wide);
    CellSim_Run(sim, 360);
    for (int i = 0; i < settings.workers; i++) {
        CellSim_SetFailing(sim, i, false);
    }
    CellSim_Run(sim, 600);
    replace_owner(sim);
    wide.step.task_count = 4;
    int other = CellSim_Submit(sim, &wide);
    CellSim_Run(sim, 12000);
    CU_ASSERT_EQUAL(CellSim_JobState(sim, job), GF_JOB_COMPLETED);
    CU_ASSERT_EQUAL(CellSim_JobState(sim, other), GF_JOB_COMPLETED);
    destroy(sim, config);
}

/* The row names each step that is finished. */
static void
test_nothing_stored_after_many_occurrences(void)
{
    GfCellConfig *config;
    CellSim *sim = create(&SETTINGS, &config);
    CellSimJob timed = {.queue = "batch",
                        .team = "a",
                        .run_ms = 20,
                        .steps = 8,
                        .occurrences = GF_JOB_MAX_OCCURRENCES,
                        .step = {.task_count = 1, .need = {1000, 1, 0}}};
    int job = CellSim_Submit(sim, &timed);
    CellSim_Run(sim, 3000);
    replace_owner(sim);
    for (int i = 0; i < 20 && CellSim_JobState(sim, job) != GF_JOB_COMPLETED;
         i++) {
        CellSim_Run(sim, 1000);
    }
    CU_ASSERT_EQUAL(CellSim_JobState(sim, job), GF_JOB_COMPLETED);
    CU_ASSERT_EQUAL(CellSim_JobStarts(sim, job), 8 * GF_JOB_MAX_OCCURRENCES);
    destroy(sim, config);
}

/* Each of the workers crashes under many tasks. */
static void
test_nothing_stored_after_crashes_under_many_tasks(void)
{
    GfCellConfig *config;
    CellSimSettings settings = SETTINGS;
    settings.workers = 6;
    CellSim *sim = create(&settings, &config);
    CellSimJob wide = {.queue = "watch",
                       .team = "a",
                       .step = {.task_count = 1500,
                                .need = {80, 100, 0},
                                .long_running = true}};
    int job = CellSim_Submit(sim, &wide);
    CellSim_Run(sim, 2000);
    for (int i = 0; i < 3; i++) {
        CellSim_CrashWorker(sim, i);
    }
    CellSim_Run(sim, 500);
    for (int i = 0; i < 3; i++) {
        CellSim_RestartWorker(sim, i);
    }
    CellSim_Run(sim, 1000);
    replace_owner(sim);
    CellSim_Run(sim, 10000);
    CU_ASSERT_EQUAL(CellSim_JobRunning(sim, job), 1500);
    CellSim_CancelJob(sim, job);
    CellSim_Run(sim, 1000);
    CU_ASSERT_EQUAL(CellSim_JobState(sim, job), GF_JOB_WITHDRAWN);
    destroy(sim, config);
}

/* Many jobs change at once, each of which fits a row. */
static void
test_nothing_stored_as_many_rows_change(void)
{
    GfCellConfig *config;
    CellSimSettings settings = SETTINGS;
    settings.workers = 8;
    CellSim *sim = create(&settings, &config);
    CellSimJob wide = {.queue = "watch",
                       .team = "a",
                       .step = {.task_count = 600,
                                .need = {25, 10, 0},
                                .long_running = true}};
    for (int i = 0; i < 30; i++) {
        CellSim_Submit(sim, &wide);
    }
    CellSim_Run(sim, 3000);
    replace_owner(sim);
    CellSim_Run(sim, 3000);
    CellSim_CancelJob(sim, 0);
    CellSim_Run(sim, 1000);
    CU_ASSERT_EQUAL(CellSim_JobState(sim, 0), GF_JOB_WITHDRAWN);
    destroy(sim, config);
}

/* The store refuses the row of one job, whatever the reason. */
static void
test_nothing_stored_beside_a_refused_row(void)
{
    GfCellConfig *config;
    CellSim *sim = create(&SETTINGS, &config);
    CellSimJob job = {.queue = "batch",
                      .team = "a",
                      .run_ms = 400,
                      .steps = 4,
                      .step = {.task_count = 8, .need = {1000, 1, 0}}};
    int jobs[6];
    for (int i = 0; i < 6; i++) {
        jobs[i] = CellSim_Submit(sim, &job);
    }
    CellSim_RefuseJob(sim, jobs[2]);
    int cancelled = CellSim_Submit(sim, &job);
    CellSim_Run(sim, 600);
    CellSim_CancelJob(sim, cancelled);
    CellSim_Run(sim, 1000);
    CU_ASSERT_EQUAL(CellSim_JobState(sim, cancelled), GF_JOB_WITHDRAWN);
    CellSim_Run(sim, 3000);
    for (int i = 0; i < 6; i++) {
        CU_ASSERT_EQUAL(CellSim_JobState(sim, jobs[i]), GF_JOB_COMPLETED);
        CU_ASSERT_EQUAL(CellSim_JobStarts(sim, jobs[i]), 32);
    }
    CellSim_Destroy(sim);
    GfCellConfig_Destroy(config);
}

/* Jobs of several rows, with losses, outages and takeovers. */
static void
test_progress_lost_between_rows(void)
{
    for (uint32_t seed = 1; seed <= 12; seed++) {
        GfCellConfig *config;
        CellSimSettings settings = SETTINGS;
        settings.seed = seed;
        settings.workers = 6;
        settings.lose_answer = 0.02;
        settings.lose_order = 0.01;
        settings.late_order = 0.01;
        settings.single_row_bytes = seed % 3 * 100 + 60;
        CellSim *sim = create(&settings, &config);
        CellSimJob batch = {.queue = "batch",
                            .team = "a",
                            .run_ms = 150,
                            .steps = 3,
                            .occurrences = 4,
                            .step = {.task_count = 70, .need = {1000, 1, 0}}};
        CellSimJob serving = {.queue = "watch",
                              .team = "b",
                              .step = {.task_count = 100,
                                       .need = {200, 100, 0},
                                       .long_running = true}};
        int jobs[3];
        int block_rows = 0;
        int watch = CellSim_Submit(sim, &serving);
        for (int i = 0; i < 3; i++) {
            jobs[i] = CellSim_Submit(sim, &batch);
            CellSim_Run(sim, 250);
            CellSim_SetStoreAvailable(sim, i == 1);
            CellSim_Run(sim, 350);
            CellSim_SetStoreAvailable(sim, true);
            CellSim_Run(sim, 10 * (int64_t)seed);
            block_rows += CellSim_CountBlockRows(sim);
            replace_owner(sim);
            CellSim_CrashWorker(sim, i);
            CellSim_Run(sim, 600);
            CellSim_RestartWorker(sim, i);
            replace_owner(sim);
        }
        CellSim_Run(sim, 40000);
        for (int i = 0; i < 3; i++) {
            CU_ASSERT_EQUAL(CellSim_JobState(sim, jobs[i]), GF_JOB_COMPLETED);
        }
        CU_ASSERT_EQUAL(CellSim_JobRunning(sim, watch), 100);
        CellSim_CancelJob(sim, watch);
        CellSim_Run(sim, 3000);
        CU_ASSERT_EQUAL(CellSim_JobState(sim, watch), GF_JOB_WITHDRAWN);
        CU_ASSERT(block_rows > 0);
        CU_ASSERT_EQUAL(CellSim_CountBlockRows(sim), 0);
        destroy(sim, config);
    }
}

/* Runs until the store has a number of rows of blocks or, if it is 0, for 500
 * ms more, and replaces the owner. */
static void
replace_owner_at_blocks(CellSim *sim, int blocks)
{
    for (int t = 0;
         t < 50 && (blocks == 0 || CellSim_CountBlockRows(sim) < blocks);
         t++) {
        CellSim_Run(sim, CELL_SIM_STEP_MS);
    }
    CU_ASSERT(CellSim_CountBlockRows(sim) >= blocks);
    replace_owner(sim);
}

/* The widest step, half of whose tasks are done, outgrows its row. Its blocks
 * need two transactions; the owner ends after the first one, once or in a
 * row. */
static void
test_finished_tasks_run_again_after_a_split(void)
{
    for (int ends = 1; ends <= 3; ends++) {
        GfCellConfig *config;
        CellSimSettings settings = SETTINGS;
        settings.workers = 8;
        CellSim *sim = create(&settings, &config);
        static int64_t run_ms[GF_JOB_MAX_TASKS];
        for (int i = 0; i < GF_JOB_MAX_TASKS; i++) {
            run_ms[i] = i % 2 == 0 ? 500 : 6000 + i % 7 * 300;
        }
        CellSimJob wide = {
            .queue = "batch",
            .team = "a",
            .run_ms = 6000,
            .task_run_ms = run_ms,
            .step = {.task_count = GF_JOB_MAX_TASKS, .need = {100, 100, 0}}};
        int job = CellSim_Submit(sim, &wide);
        CellSim_Run(sim, 2500);
        CU_ASSERT_EQUAL(CellSim_CountBlockRows(sim), 0);
        for (int i = 0; i < settings.workers; i += 2) {
            CellSim_CrashWorker(sim, i);
        }
        CellSim_Run(sim, 500);
        for (int i = 0; i < settings.workers; i += 2) {
            CellSim_RestartWorker(sim, i);
        }
        for (int i = 0; i < ends; i++) {
            replace_owner_at_blocks(sim, i == 0 ? 1 : 0);
        }
        CellSim_Run(sim, 60000);
        CU_ASSERT_EQUAL(CellSim_JobState(sim, job), GF_JOB_COMPLETED);
        CU_ASSERT_EQUAL(CellSim_CountBlockRows(sim), 0);
        destroy(sim, config);
    }
}

static const SuiteTest TESTS[] = {
    {"nothing stored after hand-over of a wide job",
     test_nothing_stored_after_hand_over_of_a_wide_job},
    {"nothing stored after many failures",
     test_nothing_stored_after_many_failures},
    {"nothing stored after many occurrences",
     test_nothing_stored_after_many_occurrences},
    {"nothing stored after crashes under many tasks",
     test_nothing_stored_after_crashes_under_many_tasks},
    {"nothing stored as many rows change",
     test_nothing_stored_as_many_rows_change},
    {"nothing stored beside a refused row",
     test_nothing_stored_beside_a_refused_row},
    {"progress lost between rows", test_progress_lost_between_rows},
    {"finished tasks run again after a split",
     test_finished_tasks_run_again_after_a_split}};

SUITE_MAIN("cell rows", TESTS)
