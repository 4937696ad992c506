/* A start without an answer that is carried out seconds later, by the next
 * life of the worker, before that life has got any other order: nothing tells
 * it that the start was settled, and its task runs elsewhere by then. */
#include <stdio.h>

#include "cell_sim.h"
#include "guavaflow/log.h"
#include "suite.h"

#define PLAYS 20
#define TASKS 3
/* A task that lasts runs again 6 s after its last run, and 3 s later at most
 * while there is room. */
#define MAX_AWAY_MS 9000

static const CellSimSettings SETTINGS = {.workers = 4,
                                         .mcores = 16000,
                                         .memory_mb = 64000,
                                         .rack_size = 3,
                                         .callers = 3,
                                         .latency_ms = 5,
                                         .late_min_ms = 2000,
                                         .takes_former_orders = true,
                                         .longest_lease_ms = 10000};

static const CellSimJob BATCH = {
    .queue = "batch",
    .team = "a",
    .run_ms = 8000,
    .step = {.task_count = TASKS, .need = {4000, 100, 0}}};

static const CellSimJob GANG = {
    .queue = "batch",
    .team = "a",
    .run_ms = 8000,
    .step = {.task_count = TASKS, .need = {4000, 100, 0}, .gang = true}};

static const CellSimJob SERVING = {.queue = "watch",
                                   .team = "a",
                                   .step = {.task_count = TASKS,
                                            .need = {4000, 100, 0},
                                            .long_running = true}};

/* Creates a simulation with an owner and submits a job whose starts get no
 * answer; late_min_ms is that of the settings. */
static CellSim *
begin(uint32_t seed, int64_t late_min_ms, const CellSimJob *job,
      GfCellConfig **config, int *number)
{
    GfLog_SetLevel(GF_LOG_ERROR);
    CellSimSettings settings = SETTINGS;
    settings.seed = seed;
    settings.late_min_ms = late_min_ms;
    *config = CellSim_MakeConfig(0);
    CellSim *sim = CellSim_Create(&settings, *config);
    CellSim_TakeOver(sim);
    CellSim_Run(sim, 300);
    CellSim_SetStartsDelayed(sim, 0, true);
    *number = CellSim_Submit(sim, job);
    return sim;
}

/* Crashes the worker, which is back at once and takes starts, but answers no
 * hold for a time in ms. */
static void
restart(CellSim *sim, int64_t silent_ms)
{
    CellSim_CrashWorker(sim, 0);
    CellSim_RestartWorker(sim, 0);
    CellSim_SetStartsDelayed(sim, 0, false);
    CellSim_SetHoldsDelayed(sim, 0, true);
    CellSim_Run(sim, silent_ms);
    CellSim_SetHoldsDelayed(sim, 0, false);
}

/* Lets a play run to its end and frees it. Returns whether a rule was
 * broken. */
static bool
finish(CellSim *sim, GfCellConfig *config, const CellSimJob *job, int number,
       uint32_t seed)
{
    CellSim_Run(sim, 40000);
    if (job->step.long_running) {
        CU_ASSERT_EQUAL(CellSim_JobRunning(sim, number), TASKS);
    }
    else {
        CU_ASSERT_EQUAL(CellSim_JobState(sim, number), GF_JOB_COMPLETED);
    }
    const char *violation = CellSim_Violation(sim);
    if (violation != NULL) {
        printf("  seed=%u: %s\n", seed, violation);
    }
    bool broken = violation != NULL;
    CellSim_Destroy(sim);
    GfCellConfig_Destroy(config);
    return broken;
}

static void
expect_none(int broken)
{
    printf("  plays broken: %d of %d\n", broken, PLAYS);
    CU_ASSERT_EQUAL(broken, 0);
}

/* Plays a job whose worker crashes 1.5 s after the starts. */
static void
play_first_contact(const CellSimJob *job)
{
    int broken = 0;
    for (uint32_t seed = 1; seed <= PLAYS; seed++) {
        GfCellConfig *config;
        int number;
        CellSim *sim =
            begin(seed, SETTINGS.late_min_ms, job, &config, &number);
        CellSim_Run(sim, 1500);
        restart(sim, 1700);
        broken += finish(sim, config, job, number, seed);
    }
    expect_none(broken);
}

/* The worker crashes 1.5 s after the starts; its holds get no answer then. */
static void
test_late_start_runs_before_the_first_contact(void)
{
    play_first_contact(&BATCH);
}

static void
test_late_start_of_a_gang_member_runs_beside_its_next_run(void)
{
    play_first_contact(&GANG);
}

static void
test_late_start_of_a_lasting_task_runs_beside_its_next_run(void)
{
    play_first_contact(&SERVING);
}

/* The starts come after 11 to 12 s, when the worker's next life does not
 * answer. The time in which starts arrive ends before it does. */
static void
test_late_start_runs_unseen_after_its_time(void)
{
    CellSimJob job = BATCH;
    job.run_ms = 20000;
    int broken = 0;
    for (uint32_t seed = 1; seed <= PLAYS; seed++) {
        GfCellConfig *config;
        int number;
        CellSim *sim = begin(seed, 11000, &job, &config, &number);
        CellSim_Run(sim, 700);
        CellSim_SetStartsDelayed(sim, 0, false);
        CellSim_Run(sim, 8800);
        restart(sim, 5000);
        broken += finish(sim, config, &job, number, seed);
    }
    expect_none(broken);
}

/* The owner is killed after the starts have got no answer. Under the next one
 * the worker answers no holds any more, and restarts. */
static void
test_late_start_of_a_former_owner_forgotten(void)
{
    CellSimJob job = BATCH;
    job.run_ms = 20000;
    int broken = 0;
    for (uint32_t seed = 1; seed <= PLAYS; seed++) {
        GfCellConfig *config;
        int number;
        CellSim *sim = begin(seed, 5000, &job, &config, &number);
        CellSim_Run(sim, 600);
        CellSim_KillOwner(sim, CellSim_Owner(sim));
        CellSim_SetStartsDelayed(sim, 0, false);
        CellSim_TakeOver(sim);
        CellSim_Run(sim, 2100);
        CellSim_SetHoldsDelayed(sim, 0, true);
        CellSim_Run(sim, 1700);
        restart(sim, 2500);
        broken += finish(sim, config, &job, number, seed);
    }
    expect_none(broken);
}

/* The late starts are of a team that has reached its limit with them. Others
 * of its tasks wait when the worker restarts. */
static void
test_late_starts_bring_a_team_over_its_limit(void)
{
    int broken = 0;
    for (uint32_t seed = 1; seed <= PLAYS; seed++) {
        GfCellConfig *config;
        int number;
        CellSim *sim = begin(seed, 4000, &BATCH, &config, &number);
        for (size_t i = 0; i < config->team_count; i++) {
            config->teams[i].limit.mcores = TASKS * BATCH.step.need.mcores;
        }
        GfCell_SetConfig(CellSim_Owner(sim), config);
        CellSim_Run(sim, 500);
        CellSim_SetStartsDelayed(sim, 0, false);
        int next = CellSim_Submit(sim, &BATCH);
        CellSim_Run(sim, 3000);
        CU_ASSERT_EQUAL(CellSim_JobRunning(sim, number), TASKS);
        restart(sim, 2000);
        CellSim_Run(sim, 20000);
        CU_ASSERT_EQUAL(CellSim_JobState(sim, next), GF_JOB_COMPLETED);
        broken += finish(sim, config, &BATCH, number, seed);
    }
    expect_none(broken);
}

/* The worker takes starts again before the first one is given up. */
static void
test_task_moved_for_one_start_without_an_answer(void)
{
    GfCellConfig *config;
    int number;
    CellSimJob job = BATCH;
    job.queue = "quick";
    job.run_ms = 400;
    CellSim *sim = begin(1, SETTINGS.late_min_ms, &job, &config, &number);
    CellSim_Run(sim, 150);
    CU_ASSERT_EQUAL(CellSim_JobRunning(sim, number), 0);
    CellSim_SetStartsDelayed(sim, 0, false);
    CellSim_Run(sim, 2000);
    CU_ASSERT_EQUAL(CellSim_JobState(sim, number), GF_JOB_COMPLETED);
    CU_ASSERT(CellSim_FinishedAfterMs(sim, number) < 400 + 450);
    CU_ASSERT_EQUAL(CellSim_JobStarts(sim, number), TASKS);
    CU_ASSERT_FALSE(finish(sim, config, &job, number, 1));
}

/* The worker is gone for good right after the starts. */
static void
test_lasting_task_waits_for_a_dead_worker(void)
{
    GfCellConfig *config;
    int number;
    CellSim *sim = begin(1, SETTINGS.late_min_ms, &SERVING, &config, &number);
    CellSim_Run(sim, 300);
    CellSim_CrashWorker(sim, 0);
    CellSim_Run(sim, 3000);
    CellSim_SetListed(sim, 0, false);
    CellSim_Run(sim, MAX_AWAY_MS - 3300);
    CU_ASSERT_EQUAL(CellSim_JobRunning(sim, number), TASKS);
    CU_ASSERT_FALSE(finish(sim, config, &SERVING, number, 1));
}

static const SuiteTest TESTS[] = {
    {"late start runs before the first contact",
     test_late_start_runs_before_the_first_contact},
    {"late start of a gang member runs beside its next run",
     test_late_start_of_a_gang_member_runs_beside_its_next_run},
    {"late start of a lasting task runs beside its next run",
     test_late_start_of_a_lasting_task_runs_beside_its_next_run},
    {"late start runs unseen after its time",
     test_late_start_runs_unseen_after_its_time},
    {"late start of a former owner forgotten",
     test_late_start_of_a_former_owner_forgotten},
    {"late starts bring a team over its limit",
     test_late_starts_bring_a_team_over_its_limit},
    {"task moved for one start without an answer",
     test_task_moved_for_one_start_without_an_answer},
    {"lasting task waits for a dead worker",
     test_lasting_task_waits_for_a_dead_worker}};

SUITE_MAIN("cell late start", TESTS)
