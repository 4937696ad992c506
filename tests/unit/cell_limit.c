/* Tasks that need more than is left of their team's limit, or more than all of
 * it. They are never started, with the team below half of its limit, if they
 * have to fit beside what it uses; or the team exceeds the limit by more than
 * one task if they need not. */
#include <stdio.h>

#include "cell_sim.h"
#include "guavaflow/log.h"
#include "suite.h"

#define LIMIT 12000
#define LARGE 14000
/* A task must start within this time while its team uses less than half of its
 * limit and there is room. */
#define START_MS 3000
#define PLAYS 10

static const CellSimSettings SETTINGS = {.workers = 6,
                                         .mcores = 16000,
                                         .memory_mb = 64000,
                                         .rack_size = 3,
                                         .callers = 3,
                                         .latency_ms = 5,
                                         .seed = 1};

static const CellSimJob LARGE_TASK = {
    .queue = "batch",
    .team = "a",
    .run_ms = 2000,
    .step = {.task_count = 1, .need = {LARGE, 1000, 0}}};

static const CellSimJob SMALL_TASK = {
    .queue = "batch",
    .team = "a",
    .run_ms = 60000,
    .step = {.task_count = 1, .need = {4000, 1000, 0}}};

/* Creates a simulation with an owner. */
static CellSim *
create(GfCellConfig **config, int64_t limit)
{
    GfLog_SetLevel(GF_LOG_ERROR);
    *config = CellSim_MakeConfig(limit);
    CellSim *sim = CellSim_Create(&SETTINGS, *config);
    CellSim_TakeOver(sim);
    CellSim_Run(sim, 300);
    return sim;
}

/* Changes the limit of both teams. */
static void
set_limit(CellSim *sim, GfCellConfig *config, GfResources limit)
{
    for (size_t i = 0; i < config->team_count; i++) {
        config->teams[i].limit = limit;
    }
    GfCell_SetConfig(CellSim_Owner(sim), config);
}

/* Checks that a job runs within START_MS. */
static void
expect_start(CellSim *sim, int number)
{
    int64_t begin = CellSim_NowMs(sim);
    while (CellSim_JobRunning(sim, number) == 0 &&
           CellSim_NowMs(sim) < begin + 2 * START_MS) {
        CellSim_Run(sim, CELL_SIM_STEP_MS);
    }
    printf("  started after %lld ms\n",
           (long long)(CellSim_NowMs(sim) - begin));
    CU_ASSERT(CellSim_JobRunning(sim, number) > 0);
    CU_ASSERT(CellSim_NowMs(sim) <= begin + START_MS);
}

/* Checks that no invariant was violated, and frees the simulation. */
static void
destroy(CellSim *sim, GfCellConfig *config)
{
    CU_ASSERT_PTR_NULL(CellSim_Violation(sim));
    if (CellSim_Violation(sim) != NULL) {
        printf("  %s\n", CellSim_Violation(sim));
    }
    CellSim_Destroy(sim);
    GfCellConfig_Destroy(config);
}

/* The second step's turn comes after the limit was lowered. */
static void
test_task_above_a_lowered_limit_never_starts(void)
{
    GfCellConfig *config;
    CellSim *sim = create(&config, 64000);
    CellSimJob job = LARGE_TASK;
    job.steps = 2;
    int number = CellSim_Submit(sim, &job);
    CellSim_Run(sim, 1000);
    set_limit(sim, config, (GfResources){LIMIT, 0, 0});
    CellSim_Run(sim, 1200);
    expect_start(sim, number);
    CellSim_Run(sim, START_MS);
    CU_ASSERT_EQUAL(CellSim_JobState(sim, number), GF_JOB_COMPLETED);
    destroy(sim, config);
}

static void
test_task_waits_with_its_team_below_half_of_the_limit(void)
{
    GfCellConfig *config;
    CellSim *sim = create(&config, LIMIT);
    CellSim_Submit(sim, &SMALL_TASK);
    CellSim_Run(sim, 300);
    CellSimJob job = LARGE_TASK;
    job.step.need.mcores = 10000;
    int number = CellSim_Submit(sim, &job);
    expect_start(sim, number);
    destroy(sim, config);
}

static void
test_task_above_the_limit_of_memory_never_starts(void)
{
    GfCellConfig *config;
    CellSim *sim = create(&config, 0);
    set_limit(sim, config, (GfResources){0, 6000, 0});
    CellSim_Submit(sim, &SMALL_TASK);
    CellSim_Run(sim, 300);
    CellSimJob job = LARGE_TASK;
    job.step.need.memory_mb = 7000;
    int number = CellSim_Submit(sim, &job);
    expect_start(sim, number);
    destroy(sim, config);
}

/* The limit is lowered, then two owners are killed one after another. */
static void
test_task_above_the_limit_never_starts_after_takeovers(void)
{
    GfCellConfig *config;
    CellSim *sim = create(&config, 64000);
    CellSimJob job = LARGE_TASK;
    job.steps = 2;
    int number = CellSim_Submit(sim, &job);
    CellSim_Run(sim, 500);
    set_limit(sim, config, (GfResources){LIMIT, 0, 0});
    for (int i = 0; i < 2; i++) {
        CellSim_Run(sim, 700);
        CellSim_KillOwner(sim, CellSim_Owner(sim));
        CellSim_TakeOver(sim);
    }
    CellSim_Run(sim, 500);
    expect_start(sim, number);
    destroy(sim, config);
}

/* They run one after another. */
static void
test_tasks_above_the_limit_start_together(void)
{
    GfCellConfig *config;
    CellSim *sim = create(&config, LIMIT);
    CellSimJob job = LARGE_TASK;
    job.step.task_count = 3;
    int number = CellSim_Submit(sim, &job);
    expect_start(sim, number);
    for (int i = 0; i < 300; i++) {
        CellSim_Run(sim, 30);
        CU_ASSERT(CellSim_JobRunning(sim, number) <= 1);
    }
    CU_ASSERT_EQUAL(CellSim_JobState(sim, number), GF_JOB_COMPLETED);
    destroy(sim, config);
}

/* Quick jobs of the team have used all of the limit until shortly before, and
 * part of it is kept free for them. */
static void
test_reserve_for_quick_jobs_keeps_a_large_task_waiting(void)
{
    GfCellConfig *config;
    CellSim *sim = create(&config, LIMIT);
    CellSimJob quick = {.queue = "quick",
                        .team = "a",
                        .run_ms = 1000,
                        .step = {.task_count = 12, .need = {1000, 100, 0}}};
    CellSim_Submit(sim, &quick);
    CellSim_Run(sim, 1300);
    CellSimJob job = LARGE_TASK;
    job.step.need.mcores = 9600;
    int number = CellSim_Submit(sim, &job);
    expect_start(sim, number);
    destroy(sim, config);
}

/* Tasks of several sizes, some above the limit, and owners killed beside. */
static void
test_team_above_its_limit_by_more_than_a_task(void)
{
    for (uint32_t seed = 1; seed <= PLAYS; seed++) {
        GfLog_SetLevel(GF_LOG_ERROR);
        GfCellConfig *config = CellSim_MakeConfig(LIMIT);
        CellSimSettings settings = SETTINGS;
        settings.seed = seed;
        settings.lose_answer = 0.05;
        settings.late_order = 0.05;
        CellSim *sim = CellSim_Create(&settings, config);
        CellSim_TakeOver(sim);
        int numbers[12];
        for (int i = 0; i < 12; i++) {
            CellSimJob job = LARGE_TASK;
            job.run_ms = 700;
            job.step.task_count = 1 + i % 3;
            job.step.need.mcores = 3000 + (i * 5 + (int)seed) % 12 * 1000;
            numbers[i] = CellSim_Submit(sim, &job);
            CellSim_Run(sim, 200);
            if (i % 4 == 3) {
                CellSim_KillOwner(sim, CellSim_Owner(sim));
                CellSim_TakeOver(sim);
            }
        }
        CellSim_Run(sim, 60000);
        for (int i = 0; i < 12; i++) {
            CU_ASSERT_EQUAL(CellSim_JobState(sim, numbers[i]),
                            GF_JOB_COMPLETED);
        }
        destroy(sim, config);
    }
}

/* The members together exceed the limit, by one of them or by more. The latter
 * waits until the limit is raised. */
static void
test_gang_exceeds_the_limit_by_more_than_a_task(void)
{
    GfCellConfig *config;
    CellSim *sim = create(&config, 64000);
    CellSimJob job = LARGE_TASK;
    job.step.gang = true;
    job.step.task_count = 3;
    job.step.need.mcores = 6000;
    set_limit(sim, config, (GfResources){LIMIT, 0, 0});
    int number = CellSim_Submit(sim, &job);
    expect_start(sim, number);
    CellSim_Run(sim, 4000);
    job.step.task_count = 4;
    number = CellSim_Submit(sim, &job);
    CellSim_Run(sim, 10000);
    CU_ASSERT_EQUAL(CellSim_JobStarts(sim, number), 0);
    set_limit(sim, config, (GfResources){64000, 0, 0});
    expect_start(sim, number);
    destroy(sim, config);
}

/* It must run elsewhere before its worker has left. */
static void
test_lasting_task_above_the_limit_not_moved(void)
{
    GfCellConfig *config;
    CellSim *sim = create(&config, LIMIT);
    CellSimJob job = {.queue = "watch",
                      .team = "a",
                      .step = {.task_count = 1,
                               .need = {LARGE, 1000, 0},
                               .long_running = true}};
    int number = CellSim_Submit(sim, &job);
    expect_start(sim, number);
    int worker = CellSim_JobWorker(sim, number);
    CellSim_SetLeaving(sim, worker, true);
    CellSim_Run(sim, 1500);
    CU_ASSERT_EQUAL(CellSim_JobRunning(sim, number), 1);
    CU_ASSERT_NOT_EQUAL(CellSim_JobWorker(sim, number), worker);
    destroy(sim, config);
}

static const SuiteTest TESTS[] = {
    {"task above a lowered limit never starts",
     test_task_above_a_lowered_limit_never_starts},
    {"task waits with its team below half of the limit",
     test_task_waits_with_its_team_below_half_of_the_limit},
    {"task above the limit of memory never starts",
     test_task_above_the_limit_of_memory_never_starts},
    {"task above the limit never starts after takeovers",
     test_task_above_the_limit_never_starts_after_takeovers},
    {"tasks above the limit start together",
     test_tasks_above_the_limit_start_together},
    {"reserve for quick jobs keeps a large task waiting",
     test_reserve_for_quick_jobs_keeps_a_large_task_waiting},
    {"team above its limit by more than a task",
     test_team_above_its_limit_by_more_than_a_task},
    {"gang exceeds the limit by more than a task",
     test_gang_exceeds_the_limit_by_more_than_a_task},
    {"lasting task above the limit not moved",
     test_lasting_task_above_the_limit_not_moved}};

SUITE_MAIN("cell limit", TESTS)
