/* Long-running tasks when workers go away and owners change. Such a task has
 * to run again within 9 s after its last run, if there is capacity for it. It
 * stays away longer if waits add up: one for a worker that is gone, and one in
 * each owner that takes over meanwhile. */
#include <stdio.h>

#include "cell_sim.h"
#include "guavaflow/log.h"
#include "suite.h"

/* Longest time from the end of a long-running task's run to its next one. */
#define RESTART_MS 9000
/* Shortest notice that a worker gives before it leaves. */
#define NOTICE_MS 2000
#define TASKS 4

static const CellSimSettings SETTINGS = {.workers = 12,
                                         .mcores = 16000,
                                         .memory_mb = 64000,
                                         .rack_size = 3,
                                         .callers = 3,
                                         .latency_ms = 1,
                                         .seed = 1};

/* A simulation in which a job's long-running tasks run on different workers;
 * worker is one of them. */
typedef struct {
    CellSim *sim;
    GfCellConfig *config;
    int job;
    int worker;
} Scene;

/* Starts a job of TASKS long-running tasks in a queue, one on a worker. */
static Scene
create_scene(const char *queue)
{
    GfLog_SetLevel(GF_LOG_ERROR);
    Scene s = {.config = CellSim_MakeConfig(0)};
    s.sim = CellSim_Create(&SETTINGS, s.config);
    CellSim_TakeOver(s.sim);
    CellSim_Run(s.sim, 200);
    CellSimJob job = {.queue = queue,
                      .team = "a",
                      .step = {.task_count = TASKS,
                               .need = {4000, 100, 0},
                               .long_running = true,
                               .latency_target_ms = 100,
                               .max_per_worker = 1}};
    s.job = CellSim_Submit(s.sim, &job);
    CellSim_Run(s.sim, 1500);
    CU_ASSERT_EQUAL(CellSim_JobRunning(s.sim, s.job), TASKS);
    while (s.worker < SETTINGS.workers - 1 &&
           CellSim_ServingOn(s.sim, s.worker) == 0) {
        s.worker++;
    }
    return s;
}

/* Checks that no invariant was violated, and frees the scene. */
static void
destroy_scene(Scene *s)
{
    if (CellSim_Violation(s->sim) != NULL) {
        printf("  invariant violated: %s\n", CellSim_Violation(s->sim));
    }
    CU_ASSERT_PTR_NULL(CellSim_Violation(s->sim));
    CellSim_Destroy(s->sim);
    GfCellConfig_Destroy(s->config);
}

/* Ends a worker for good and removes it from the platform's table. */
static void
lose_worker(Scene *s)
{
    CellSim_CrashWorker(s->sim, s->worker);
    CellSim_SetListed(s->sim, s->worker, false);
}

/* Replaces the owner, which has failed. */
static void
replace_owner(Scene *s)
{
    CellSim_KillOwner(s->sim, CellSim_Owner(s->sim));
    CellSim_TakeOver(s->sim);
}

static void
test_takeover_before_lease_expires(void)
{
    Scene s = create_scene("watch");
    lose_worker(&s);
    CellSim_Run(s.sim, 5000);
    replace_owner(&s);
    CellSim_Run(s.sim, RESTART_MS - 5000);
    CU_ASSERT_EQUAL(CellSim_JobRunning(s.sim, s.job), TASKS);
    destroy_scene(&s);
}

static void
test_takeovers_in_series(void)
{
    Scene s = create_scene("watch");
    lose_worker(&s);
    for (int i = 0; i < 5; i++) {
        CellSim_Run(s.sim, 1000);
        replace_owner(&s);
    }
    CellSim_Run(s.sim, RESTART_MS - 5000);
    CU_ASSERT_EQUAL(CellSim_JobRunning(s.sim, s.job), TASKS);
    destroy_scene(&s);
}

/* The former owner alone reaches the worker again, and cannot store the list.
 */
static void
test_lease_extended_after_its_end_was_stored(void)
{
    Scene s = create_scene("watch");
    GfCell *former = CellSim_Owner(s.sim);
    CellSim_SetIsolated(s.sim, s.worker, true);
    CellSim_Run(s.sim, 2500);
    GfCell *next = CellSim_TakeOver(s.sim);
    for (int i = 0; i < SETTINGS.workers; i++) {
        CellSim_SetIsolatedFrom(s.sim, i, i == s.worker ? next : former, true);
    }
    CellSim_SetIsolated(s.sim, s.worker, false);
    CellSim_Run(s.sim, RESTART_MS - 2500);
    CU_ASSERT_EQUAL(CellSim_JobRunning(s.sim, s.job), TASKS);
    destroy_scene(&s);
}

/* Expects the tasks of a leaving worker to run elsewhere before it is gone. */
static void
leave_worker(const char *queue)
{
    Scene s = create_scene(queue);
    CellSim_SetLeaving(s.sim, s.worker, true);
    CellSim_Run(s.sim, NOTICE_MS);
    CU_ASSERT_EQUAL(CellSim_ServingOn(s.sim, s.worker), 0);
    CU_ASSERT_EQUAL(CellSim_JobRunning(s.sim, s.job), TASKS);
    destroy_scene(&s);
}

static void
test_leaving_worker_keeps_long_running_tasks(void)
{
    leave_worker("watch");
    leave_worker("batch-advised");
}

static void
test_preemption_for_uncertain_task(void)
{
    Scene s = create_scene("watch");
    CellSimJob batch = {.queue = "batch",
                        .team = "b",
                        .run_ms = 60000,
                        .step = {.task_count = 44,
                                 .need = {4000, 100, 0},
                                 .checkpointed = true}};
    int filler = CellSim_Submit(s.sim, &batch);
    CellSim_Run(s.sim, 500);
    int starts = CellSim_JobStarts(s.sim, filler);
    CU_ASSERT_EQUAL(starts, 44);
    CellSim_SetIsolated(s.sim, s.worker, true);
    CellSim_Run(s.sim, 1000);
    replace_owner(&s);
    CellSim_Run(s.sim, 2000);
    CU_ASSERT_EQUAL(CellSim_JobRunning(s.sim, filler), 44);
    CU_ASSERT_EQUAL(CellSim_JobStarts(s.sim, filler), starts);
    destroy_scene(&s);
}

static void
test_advice_for_uncertain_task(void)
{
    Scene s = create_scene("batch-advised");
    CellSim_SetIsolated(s.sim, s.worker, true);
    CellSim_Run(s.sim, 1000);
    replace_owner(&s);
    int requests = CellSim_CountAdvice(s.sim);
    CellSim_Run(s.sim, 3000);
    CU_ASSERT_EQUAL(CellSim_CountAdvice(s.sim), requests);
    destroy_scene(&s);
}

static const SuiteTest TESTS[] = {
    {"takeover before a lost worker's lease expires",
     test_takeover_before_lease_expires},
    {"takeovers in series after a lost worker", test_takeovers_in_series},
    {"lease extended after its end was stored",
     test_lease_extended_after_its_end_was_stored},
    {"leaving worker keeps its long-running tasks",
     test_leaving_worker_keeps_long_running_tasks},
    {"preemption for a task that may still run",
     test_preemption_for_uncertain_task},
    {"advice for a task that may still run", test_advice_for_uncertain_task}};

SUITE_MAIN("cell recovery", TESTS)
