/* The scheduler of a cell against simulated workers: what must hold around
 * takeovers, lost answers and crashes. */
#include "guavaflow/cell.h"

#include <stdio.h>
#include <stdlib.h>

#include "cell_world.h"
#include "guavaflow/log.h"
#include "suite.h"

static const WorldSettings CALM = {.workers = 6,
                                   .mcores = 16000,
                                   .memory_mb = 64000,
                                   .rack_size = 3,
                                   .callers = 3,
                                   .latency_ms = 1,
                                   .seed = 1};

/* Describes a job of a queue. */
static WorldJob
job_of(const char *queue, uint32_t tasks, int64_t mcores, int64_t run_ms)
{
    return (WorldJob){.queue = queue,
                      .team = "a",
                      .run_ms = run_ms,
                      .steps = 1,
                      .step = {.task_count = tasks, .need = {mcores, 100, 0}}};
}

/* Makes a world with an owner. */
static World *
begin(const WorldSettings *settings, GfCellConfig **config, int64_t limit)
{
    GfLog_SetLevel(GF_LOG_ERROR);
    *config = World_MakeConfig(limit);
    World *w = World_Create(settings, *config);
    World_TakeOver(w);
    World_Run(w, 200);
    return w;
}

/* Ends a world and reports a breach. */
static void
finish(World *w, GfCellConfig *config)
{
    if (World_Breach(w) != NULL) {
        printf("  breach: %s\n", World_Breach(w));
    }
    CU_ASSERT_PTR_NULL(World_Breach(w));
    World_Destroy(w);
    GfCellConfig_Destroy(config);
}

/* Steps run one after another, and the job ends when the last is stored. */
static void
test_chain(void)
{
    GfCellConfig *config;
    World *w = begin(&CALM, &config, 0);
    WorldJob job = job_of("quick", 4, 1000, 300);
    job.steps = 3;
    int j = World_Submit(w, &job);
    World_Run(w, 2000);
    CU_ASSERT_EQUAL(World_State(w, j), GF_JOB_COMPLETED);
    CU_ASSERT_EQUAL(World_Starts(w, j), 12);
    CU_ASSERT_TRUE(World_FinishedAfterMs(w, j) < 1200);
    finish(w, config);
}

/* Advice is asked for once a step and its tickets are used. */
static void
test_advice(void)
{
    GfCellConfig *config;
    World *w = begin(&CALM, &config, 0);
    WorldJob job = job_of("quick-advised", 6, 1000, 300);
    int j = World_Submit(w, &job);
    World_Run(w, 1500);
    CU_ASSERT_EQUAL(World_State(w, j), GF_JOB_COMPLETED);
    CU_ASSERT_TRUE(World_CountAdvice(w) <= 2);
    finish(w, config);
}

/* A takeover adopts what runs and starts nothing again. */
static void
test_takeover(void)
{
    GfCellConfig *config;
    World *w = begin(&CALM, &config, 0);
    WorldJob job = job_of("batch", 10, 2000, 1500);
    int j = World_Submit(w, &job);
    World_Run(w, 500);
    World_Kill(w, World_Owner(w));
    World_Run(w, 700);
    World_TakeOver(w);
    World_Run(w, 2000);
    CU_ASSERT_EQUAL(World_State(w, j), GF_JOB_COMPLETED);
    CU_ASSERT_EQUAL(World_Starts(w, j), 10);
    finish(w, config);
}

/* Ends that the former owner never stored reach the next one, which runs
 * nothing again, whatever the order in which workers answer. */
static void
test_ends_after_takeover(void)
{
    GfCellConfig *config;
    World *w = begin(&CALM, &config, 0);
    World_SetStoreUp(w, false);
    WorldJob job = job_of("batch", 12, 4000, 300);
    int j = World_Submit(w, &job);
    World_Run(w, 1000);
    World_Kill(w, World_Owner(w));
    World_SetStoreUp(w, true);
    World_TakeOver(w);
    World_Run(w, 1000);
    CU_ASSERT_EQUAL(World_State(w, j), GF_JOB_COMPLETED);
    CU_ASSERT_EQUAL(World_Starts(w, j), 12);
    finish(w, config);
}

/* A former owner that goes on is fenced, and new jobs that both learn of run
 * once. */
static void
test_two_owners(void)
{
    GfCellConfig *config;
    WorldSettings settings = CALM;
    settings.latency_ms = 30;
    World *w = begin(&settings, &config, 0);
    World_TakeOver(w);
    int jobs[20];
    for (int i = 0; i < 20; i++) {
        WorldJob job = job_of("quick", 2, 500, 200);
        jobs[i] = World_Submit(w, &job);
        World_Run(w, 10);
    }
    World_Run(w, 3000);
    for (int i = 0; i < 20; i++) {
        CU_ASSERT_EQUAL(World_State(w, jobs[i]), GF_JOB_COMPLETED);
        CU_ASSERT_EQUAL(World_Starts(w, jobs[i]), 2);
    }
    finish(w, config);
}

/* A job that only the former owner knew when the next one read the jobs, and
 * that runs already, is not started again once the next one learns of it. */
static void
test_job_known_late(void)
{
    GfCellConfig *config;
    WorldSettings settings = CALM;
    World *w = begin(&settings, &config, 0);
    WorldJob job = job_of("quick", 4, 2000, 1500);
    int j = World_SubmitHidden(w, &job);
    World_Run(w, 100);
    World_TakeOver(w);
    World_Run(w, 30);
    World_Reveal(w, j);
    World_Run(w, 3000);
    CU_ASSERT_EQUAL(World_State(w, j), GF_JOB_COMPLETED);
    CU_ASSERT_EQUAL(World_Starts(w, j), 4);
    finish(w, config);
}

/* Failures that come from two workers in any order count, each once, also
 * over a takeover. */
static void
test_attempts(void)
{
    GfCellConfig *config;
    World *w = begin(&CALM, &config, 0);
    for (int i = 0; i < CALM.workers; i++) {
        World_SetFailing(w, i, true);
    }
    WorldJob job = job_of("batch", 1, 1000, 300);
    int j = World_Submit(w, &job);
    World_SetStoreUp(w, false);
    World_Run(w, 1500);
    World_Kill(w, World_Owner(w));
    World_SetStoreUp(w, true);
    World_TakeOver(w);
    World_Run(w, 3000);
    CU_ASSERT_EQUAL(World_State(w, j), GF_JOB_GIVEN_UP);
    CU_ASSERT_EQUAL(World_Starts(w, j), 2);
    finish(w, config);
}

/* Tasks of a worker that is silent for good run elsewhere once its lease has
 * surely run out, and not before. */
static void
test_silent_worker(void)
{
    GfCellConfig *config;
    World *w = begin(&CALM, &config, 0);
    WorldJob job = job_of("watch", 6, 10000, 0);
    job.step.lasting = true;
    int j = World_Submit(w, &job);
    World_Run(w, 500);
    CU_ASSERT_EQUAL(World_RunningOf(w, j), 6);
    World_Crash(w, 2);
    World_Run(w, 4000);
    CU_ASSERT_EQUAL(World_RunningOf(w, j), 5);
    World_Restart(w, 2);
    World_Run(w, 500);
    CU_ASSERT_EQUAL(World_RunningOf(w, j), 6);
    World_Crash(w, 3);
    World_Restart(w, 3);
    World_Crash(w, 1);
    World_Run(w, 8000);
    CU_ASSERT_EQUAL(World_RunningOf(w, j), 5);
    finish(w, config);
}

/* A worker that is cut off runs on under its lease; its tasks do not run
 * elsewhere meanwhile. */
static void
test_cut_worker(void)
{
    GfCellConfig *config;
    World *w = begin(&CALM, &config, 0);
    WorldJob job = job_of("batch", 6, 8000, 12000);
    int j = World_Submit(w, &job);
    World_Run(w, 500);
    World_Cut(w, 0, true);
    World_Run(w, 9000);
    World_Cut(w, 0, false);
    World_Run(w, 20000);
    CU_ASSERT_EQUAL(World_State(w, j), GF_JOB_COMPLETED);
    finish(w, config);
}

/* A worker that the new owner cannot reach and the former one could: its
 * tasks are in doubt until nothing of the former term can run. */
static void
test_unreachable_for_new_owner(void)
{
    GfCellConfig *config;
    World *w = begin(&CALM, &config, 0);
    WorldJob job = job_of("batch", 6, 8000, 5000);
    int j = World_Submit(w, &job);
    World_Run(w, 500);
    World_Kill(w, World_Owner(w));
    GfCell *next = World_TakeOver(w);
    World_CutFrom(w, 0, next, true);
    World_CutFrom(w, 1, next, true);
    World_Run(w, 25000);
    CU_ASSERT_EQUAL(World_State(w, j), GF_JOB_COMPLETED);
    finish(w, config);
}

/* What runs where the new owner cannot reach counts against its team's limit:
 * a new job of the team waits, one of another team does not. The workers may
 * have left the platform's table before the takeover. */
static void
limit_with_unreachable_runs(bool unlisted)
{
    GfCellConfig *config;
    World *w = begin(&CALM, &config, 8000);
    WorldJob job = job_of("batch", 4, 2000, 9000);
    int j = World_Submit(w, &job);
    World_Run(w, 500);
    CU_ASSERT_EQUAL(World_RunningOf(w, j), 4);
    for (int i = 0; unlisted && i < CALM.workers - 1; i++) {
        World_SetListed(w, i, false);
    }
    World_Kill(w, World_Owner(w));
    GfCell *next = World_TakeOver(w);
    for (int i = 0; i < CALM.workers - 1; i++) {
        World_CutFrom(w, i, next, true);
    }
    World_Run(w, 3000);
    int later = World_Submit(w, &job);
    WorldJob other = job_of("batch", 1, 2000, 500);
    other.team = "b";
    int apart = World_Submit(w, &other);
    World_Run(w, 2000);
    CU_ASSERT_EQUAL(World_State(w, apart), GF_JOB_COMPLETED);
    CU_ASSERT_EQUAL(World_RunningOf(w, later), 0);
    World_Run(w, 30000);
    CU_ASSERT_EQUAL(World_State(w, j), GF_JOB_COMPLETED);
    CU_ASSERT_EQUAL(World_State(w, later), GF_JOB_COMPLETED);
    finish(w, config);
}

static void
test_limit_with_unreachable_runs(void)
{
    limit_with_unreachable_runs(false);
    limit_with_unreachable_runs(true);
}

/* A worker that was silent before a takeover holds back its own tasks only:
 * other work goes on at once, and its tasks do not run twice. */
static void
test_takeover_with_silent_worker(void)
{
    GfCellConfig *config;
    World *w = begin(&CALM, &config, 0);
    WorldJob watched = job_of("watch", 6, 2000, 0);
    watched.step.lasting = true;
    int lasting = World_Submit(w, &watched);
    World_Run(w, 300);
    World_Cut(w, 0, true);
    World_Run(w, 3000);
    World_Kill(w, World_Owner(w));
    WorldJob job = job_of("quick", 4, 2000, 300);
    int quick = World_Submit(w, &job);
    World_TakeOver(w);
    World_Run(w, 1000);
    CU_ASSERT_EQUAL(World_State(w, quick), GF_JOB_COMPLETED);
    World_Run(w, 12000);
    CU_ASSERT_EQUAL(World_RunningOf(w, lasting), 6);
    finish(w, config);
}

/* The same with a worker that has left the platform's table meanwhile: what
 * ended there while it was cut off does not run again. */
static void
test_takeover_with_unlisted_worker(void)
{
    GfCellConfig *config;
    World *w = begin(&CALM, &config, 0);
    WorldJob job = job_of("quick", 12, 4000, 900);
    int j = World_Submit(w, &job);
    World_Run(w, 300);
    World_Cut(w, 0, true);
    World_Cut(w, 1, true);
    World_Run(w, 3500);
    World_SetListed(w, 0, false);
    World_SetListed(w, 1, false);
    World_Run(w, 500);
    World_Kill(w, World_Owner(w));
    World_TakeOver(w);
    World_Run(w, 700);
    World_Cut(w, 0, false);
    World_Cut(w, 1, false);
    World_SetListed(w, 0, true);
    World_SetListed(w, 1, true);
    World_Run(w, 12000);
    CU_ASSERT_EQUAL(World_State(w, j), GF_JOB_COMPLETED);
    CU_ASSERT_EQUAL(World_Starts(w, j), 12);
    finish(w, config);
}

/* Starts without an answer that are carried out late do not run a task
 * twice, hold no room for good, and delay quick work by less than half a
 * second: they are looked after as soon as an answer is overdue. */
static void
test_late_orders(void)
{
    GfCellConfig *config;
    World *w = begin(&CALM, &config, 0);
    World_SetHangingStarts(w, 0, true);
    World_SetHangingStarts(w, 1, true);
    int jobs[10];
    for (int i = 0; i < 10; i++) {
        WorldJob job = job_of("quick", 3, 3000, 400);
        jobs[i] = World_Submit(w, &job);
        World_Run(w, 100);
    }
    World_SetHangingStarts(w, 0, false);
    World_SetHangingStarts(w, 1, false);
    World_Run(w, 20000);
    for (int i = 0; i < 10; i++) {
        CU_ASSERT_EQUAL(World_State(w, jobs[i]), GF_JOB_COMPLETED);
        CU_ASSERT_TRUE(World_FinishedAfterMs(w, jobs[i]) < 400 + 2 * 450);
    }
    finish(w, config);
}

/* A cancelled job stops everywhere, and its room is used only when the ends
 * are listed. */
static void
test_cancel(void)
{
    GfCellConfig *config;
    World *w = begin(&CALM, &config, 0);
    WorldJob job = job_of("batch", 6, 16000, 60000);
    int first = World_Submit(w, &job);
    World_Run(w, 300);
    WorldJob next = job_of("quick", 6, 16000, 200);
    int second = World_Submit(w, &next);
    World_Cancel(w, first);
    World_Run(w, 1500);
    CU_ASSERT_EQUAL(World_State(w, first), GF_JOB_WITHDRAWN);
    CU_ASSERT_EQUAL(World_RunningOf(w, first), 0);
    CU_ASSERT_EQUAL(World_State(w, second), GF_JOB_COMPLETED);
    finish(w, config);
}

/* A new owner does not use the room of runs that it has ordered to stop. */
static void
test_strays_hold_room(void)
{
    GfCellConfig *config;
    World *w = begin(&CALM, &config, 0);
    WorldJob job = job_of("batch", 6, 16000, 60000);
    int first = World_Submit(w, &job);
    World_Run(w, 300);
    for (int i = 0; i < CALM.workers; i++) {
        World_Cut(w, i, true);
    }
    World_Cancel(w, first);
    World_Run(w, 200);
    World_Kill(w, World_Owner(w));
    for (int i = 0; i < CALM.workers; i++) {
        World_Cut(w, i, false);
    }
    WorldJob next = job_of("quick", 6, 16000, 200);
    int second = World_Submit(w, &next);
    World_TakeOver(w);
    World_Run(w, 2000);
    CU_ASSERT_EQUAL(World_RunningOf(w, first), 0);
    CU_ASSERT_EQUAL(World_State(w, second), GF_JOB_COMPLETED);
    finish(w, config);
}

/* A team stays under its limit and uses all of it. */
static void
test_limit(void)
{
    GfCellConfig *config;
    World *w = begin(&CALM, &config, 8000);
    WorldJob job = job_of("quick", 20, 1000, 500);
    int j = World_Submit(w, &job);
    World_Run(w, 300);
    CU_ASSERT_EQUAL(World_RunningOf(w, j), 8);
    World_Run(w, 2500);
    CU_ASSERT_EQUAL(World_State(w, j), GF_JOB_COMPLETED);
    finish(w, config);
}

/* A worker that the stored list names as silent, with no tasks, is heard for
 * the first time by an owner that has been replaced: the new owner does not
 * expect runs there, so there are none until the list says that it is back. */
static void
test_silent_worker_back_for_former_owner(void)
{
    GfCellConfig *config;
    World *w = begin(&CALM, &config, 0);
    World_Cut(w, 0, true);
    World_Run(w, 2000);
    GfCell *former = World_TakeOver(w);
    World_Run(w, 500);
    for (int i = 1; i < CALM.workers; i++) {
        World_CutFrom(w, i, former, true);
    }
    World_Run(w, 1200);
    World_CutFrom(w, 0, World_TakeOver(w), true);
    World_Cut(w, 0, false);
    WorldJob job = job_of("batch", 3, 4000, 2000);
    World_Submit(w, &job);
    World_Run(w, 2500);
    finish(w, config);
}

/* Operators see what a team has of its limit, and what waits for it. */
static void
test_describe(void)
{
    GfCellConfig *config;
    World *w = begin(&CALM, &config, 8000);
    WorldJob job = job_of("batch", 4, 4000, 20000);
    World_Submit(w, &job);
    World_Run(w, 1500);
    json_t *cell = GfCell_Describe(World_Owner(w));
    const json_t *team = json_array_get(json_object_get(cell, "teams"), 0);
    const json_t *used = json_object_get(team, "used");
    const json_t *limit = json_object_get(team, "limit");
    const json_t *jobs = json_object_get(team, "jobs");
    const json_t *wait = json_array_get(json_object_get(cell, "waiting"), 0);
    CU_ASSERT_STRING_EQUAL(json_string_value(json_object_get(team, "team")),
                           "a");
    CU_ASSERT_EQUAL(json_integer_value(json_object_get(used, "mcores")), 8000);
    CU_ASSERT_EQUAL(json_integer_value(json_object_get(limit, "mcores")),
                    8000);
    CU_ASSERT_EQUAL(json_integer_value(json_object_get(jobs, "started")), 1);
    CU_ASSERT_EQUAL(json_integer_value(json_object_get(wait, "tasks")), 2);
    CU_ASSERT_STRING_EQUAL(
        json_string_value(json_object_get(wait, "waits_for")), "limit");
    CU_ASSERT_TRUE(json_integer_value(json_object_get(wait, "waited_ms")) >
                   1000);
    json_decref(cell);
    finish(w, config);
}

/* Lasting tasks with a limit a worker are restarted when one ends, with
 * advice: workers that cannot take another are not asked for again and
 * again. */
static void
test_lasting_apart(void)
{
    GfCellConfig *config;
    WorldSettings settings = CALM;
    settings.workers = 12;
    World *w = begin(&settings, &config, 0);
    WorldJob job = job_of("batch-advised", 7, 6000, 0);
    job.step.lasting = true;
    job.step.max_per_worker = 1;
    int j = World_Submit(w, &job);
    World_Run(w, 4000);
    CU_ASSERT_EQUAL(World_RunningOf(w, j), 7);
    World_Crash(w, 1);
    World_Crash(w, 2);
    World_Crash(w, 4);
    World_Run(w, 12000);
    /* Advice allows eight of the workers; three of these are gone. */
    CU_ASSERT_EQUAL(World_RunningOf(w, j), 5);
    World_Restart(w, 1);
    World_Run(w, 3000);
    CU_ASSERT_EQUAL(World_RunningOf(w, j), 6);
    finish(w, config);
}

/* Fillers and tasks that serve users do not share a worker, and fillers make
 * way. */
static void
test_fillers(void)
{
    GfCellConfig *config;
    World *w = begin(&CALM, &config, 0);
    WorldJob filler = job_of("batch", 6, 4000, 5000);
    filler.step.filler = true;
    World_Submit(w, &filler);
    World_Run(w, 300);
    CU_ASSERT_EQUAL(World_FillersOn(w, 0), 1);
    WorldJob watch = job_of("watch", 4, 2000, 0);
    watch.step.lasting = true;
    watch.step.latency_target_ms = 100;
    int j = World_Submit(w, &watch);
    World_Run(w, 2000);
    CU_ASSERT_EQUAL(World_RunningOf(w, j), 4);
    for (int i = 0; i < CALM.workers; i++) {
        CU_ASSERT_TRUE(World_FillersOn(w, i) == 0 ||
                       World_ServingOn(w, i) == 0);
    }
    finish(w, config);
}

/* Random troubles, with takeovers: nothing that must hold breaks, and all
 * work is done in the end. */
static void
test_random(void)
{
    for (uint32_t seed = 1; seed <= 40; seed++) {
        GfCellConfig *config;
        WorldSettings settings = CALM;
        settings.seed = seed;
        settings.lose_order = 0.02;
        settings.lose_answer = 0.03;
        settings.late_order = 0.03;
        World *w = begin(&settings, &config, 40000);
        int jobs[30];
        for (int i = 0; i < 30; i++) {
            WorldJob job = job_of(i % 3 == 0 ? "batch" : "quick",
                                  1 + (uint32_t)(i % 5), 1500, 700);
            job.team = i % 2 == 0 ? "a" : "b";
            job.steps = 1 + i % 2;
            jobs[i] = World_Submit(w, &job);
            World_Run(w, 150);
            if (i == 10 || i == 20) {
                if (seed % 2 == 0) {
                    World_Kill(w, World_Owner(w));
                }
                World_TakeOver(w);
            }
            if (i == 12) {
                World_Cut(w, (int)(seed % 6), true);
            }
            if (i == 25) {
                World_Cut(w, (int)(seed % 6), false);
            }
        }
        World_Run(w, 40000);
        int completed = 0;
        for (int i = 0; i < 30; i++) {
            completed += World_State(w, jobs[i]) == GF_JOB_COMPLETED;
        }
        if (completed != 30) {
            printf("  seed %u: %d of 30 completed\n", seed, completed);
        }
        CU_ASSERT_EQUAL(completed, 30);
        finish(w, config);
    }
}

static const SuiteTest TESTS[] = {
    {"chain", test_chain},
    {"advice", test_advice},
    {"takeover", test_takeover},
    {"ends after takeover", test_ends_after_takeover},
    {"two owners", test_two_owners},
    {"job known late", test_job_known_late},
    {"attempts", test_attempts},
    {"silent worker", test_silent_worker},
    {"cut worker", test_cut_worker},
    {"unreachable for the new owner", test_unreachable_for_new_owner},
    {"limit with unreachable runs", test_limit_with_unreachable_runs},
    {"takeover with a silent worker", test_takeover_with_silent_worker},
    {"takeover with an unlisted worker", test_takeover_with_unlisted_worker},
    {"late orders", test_late_orders},
    {"cancel", test_cancel},
    {"strays hold room", test_strays_hold_room},
    {"limit", test_limit},
    {"silent worker back for the former owner",
     test_silent_worker_back_for_former_owner},
    {"describe", test_describe},
    {"lasting apart", test_lasting_apart},
    {"fillers", test_fillers},
    {"random", test_random}};

SUITE_MAIN("cell", TESTS)
