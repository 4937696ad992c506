/* The scheduler of a cell against simulated workers. The tests guard against
 * tasks that run twice, completions that are lost, and limits that are
 * exceeded. Such failures arise when an owner is replaced while its orders or
 * commits are in transit, when replies are lost or orders are carried out
 * late, and when workers crash or cannot be reached. */
#include "guavaflow/cell.h"

#include <stdio.h>
#include <stdlib.h>

#include "cell_sim.h"
#include "guavaflow/log.h"
#include "suite.h"

static const CellSimSettings FAULT_FREE = {.workers = 6,
                                           .mcores = 16000,
                                           .memory_mb = 64000,
                                           .rack_size = 3,
                                           .callers = 3,
                                           .latency_ms = 1,
                                           .seed = 1};

/* Describes a job of team a: one step of equal tasks with 100 MB each. */
static CellSimJob
make_job(const char *queue, uint32_t tasks, int64_t mcores, int64_t run_ms)
{
    return (CellSimJob){
        .queue = queue,
        .team = "a",
        .run_ms = run_ms,
        .steps = 1,
        .step = {.task_count = tasks, .need = {mcores, 100, 0}}};
}

/* Creates a simulation with an owner and lets it settle for 200 ms. limit is
 * each team's, in mcores; 0: none. finish_sim frees both. */
static CellSim *
create_sim(const CellSimSettings *settings, GfCellConfig **config,
           int64_t limit)
{
    GfLog_SetLevel(GF_LOG_ERROR);
    *config = CellSim_MakeConfig(limit);
    CellSim *w = CellSim_Create(settings, *config);
    CellSim_TakeOver(w);
    CellSim_Run(w, 200);
    return w;
}

/* Checks that no invariant was violated, and frees the simulation. */
static void
finish_sim(CellSim *w, GfCellConfig *config)
{
    if (CellSim_Violation(w) != NULL) {
        printf("  invariant violated: %s\n", CellSim_Violation(w));
    }
    CU_ASSERT_PTR_NULL(CellSim_Violation(w));
    CellSim_Destroy(w);
    GfCellConfig_Destroy(config);
}

/* The steps of a chain run one after another, and the job completes when the
 * last one is stored. */
static void
test_chain(void)
{
    GfCellConfig *config;
    CellSim *w = create_sim(&FAULT_FREE, &config, 0);
    CellSimJob job = make_job("quick", 4, 1000, 300);
    job.steps = 3;
    int j = CellSim_Submit(w, &job);
    CellSim_Run(w, 2000);
    CU_ASSERT_EQUAL(CellSim_JobState(w, j), GF_JOB_COMPLETED);
    CU_ASSERT_EQUAL(CellSim_JobStarts(w, j), 12);
    CU_ASSERT_TRUE(CellSim_FinishedAfterMs(w, j) < 1200);
    finish_sim(w, config);
}

/* Advice is requested for a step as a whole, not for each task, and its
 * tickets are used. */
static void
test_advice(void)
{
    GfCellConfig *config;
    CellSim *w = create_sim(&FAULT_FREE, &config, 0);
    CellSimJob job = make_job("quick-advised", 6, 1000, 300);
    int j = CellSim_Submit(w, &job);
    CellSim_Run(w, 1500);
    CU_ASSERT_EQUAL(CellSim_JobState(w, j), GF_JOB_COMPLETED);
    CU_ASSERT_TRUE(CellSim_CountAdvice(w) <= 2);
    finish_sim(w, config);
}

/* A new owner adopts the runs that it finds and starts none of their tasks
 * again. */
static void
test_takeover(void)
{
    GfCellConfig *config;
    CellSim *w = create_sim(&FAULT_FREE, &config, 0);
    CellSimJob job = make_job("batch", 10, 2000, 1500);
    int j = CellSim_Submit(w, &job);
    CellSim_Run(w, 500);
    CellSim_KillOwner(w, CellSim_Owner(w));
    CellSim_Run(w, 700);
    CellSim_TakeOver(w);
    CellSim_Run(w, 2000);
    CU_ASSERT_EQUAL(CellSim_JobState(w, j), GF_JOB_COMPLETED);
    CU_ASSERT_EQUAL(CellSim_JobStarts(w, j), 10);
    finish_sim(w, config);
}

/* Completions that the former owner could not store, as the store was
 * unavailable, reach the next owner from the workers: it runs no task again,
 * in whatever order the workers reply. */
static void
test_completions_after_takeover(void)
{
    GfCellConfig *config;
    CellSim *w = create_sim(&FAULT_FREE, &config, 0);
    CellSim_SetStoreAvailable(w, false);
    CellSimJob job = make_job("batch", 12, 4000, 300);
    int j = CellSim_Submit(w, &job);
    CellSim_Run(w, 1000);
    CellSim_KillOwner(w, CellSim_Owner(w));
    CellSim_SetStoreAvailable(w, true);
    CellSim_TakeOver(w);
    CellSim_Run(w, 1000);
    CU_ASSERT_EQUAL(CellSim_JobState(w, j), GF_JOB_COMPLETED);
    CU_ASSERT_EQUAL(CellSim_JobStarts(w, j), 12);
    finish_sim(w, config);
}

/* A former owner that goes on after a takeover is fenced: tasks of jobs that
 * both owners learn of run once. */
static void
test_two_owners(void)
{
    GfCellConfig *config;
    CellSimSettings settings = FAULT_FREE;
    settings.latency_ms = 30;
    CellSim *w = create_sim(&settings, &config, 0);
    CellSim_TakeOver(w);
    int jobs[20];
    for (int i = 0; i < 20; i++) {
        CellSimJob job = make_job("quick", 2, 500, 200);
        jobs[i] = CellSim_Submit(w, &job);
        CellSim_Run(w, 10);
    }
    CellSim_Run(w, 3000);
    for (int i = 0; i < 20; i++) {
        CU_ASSERT_EQUAL(CellSim_JobState(w, jobs[i]), GF_JOB_COMPLETED);
        CU_ASSERT_EQUAL(CellSim_JobStarts(w, jobs[i]), 2);
    }
    finish_sim(w, config);
}

/* A job that was stored after the new owner had read the jobs, and that the
 * former owner has started, is not started again when the new owner learns of
 * it. */
static void
test_job_learnt_after_start(void)
{
    GfCellConfig *config;
    CellSimSettings settings = FAULT_FREE;
    CellSim *w = create_sim(&settings, &config, 0);
    CellSimJob job = make_job("quick", 4, 2000, 1500);
    int j = CellSim_SubmitHidden(w, &job);
    CellSim_Run(w, 100);
    CellSim_TakeOver(w);
    CellSim_Run(w, 30);
    CellSim_RevealJob(w, j);
    CellSim_Run(w, 3000);
    CU_ASSERT_EQUAL(CellSim_JobState(w, j), GF_JOB_COMPLETED);
    CU_ASSERT_EQUAL(CellSim_JobStarts(w, j), 4);
    finish_sim(w, config);
}

/* Failed attempts that different workers report in any order count once each,
 * also if a takeover happens before they are stored: the job is given up after
 * exactly two. */
static void
test_attempts(void)
{
    GfCellConfig *config;
    CellSim *w = create_sim(&FAULT_FREE, &config, 0);
    for (int i = 0; i < FAULT_FREE.workers; i++) {
        CellSim_SetFailing(w, i, true);
    }
    CellSimJob job = make_job("batch", 1, 1000, 300);
    int j = CellSim_Submit(w, &job);
    CellSim_SetStoreAvailable(w, false);
    CellSim_Run(w, 1500);
    CellSim_KillOwner(w, CellSim_Owner(w));
    CellSim_SetStoreAvailable(w, true);
    CellSim_TakeOver(w);
    CellSim_Run(w, 3000);
    CU_ASSERT_EQUAL(CellSim_JobState(w, j), GF_JOB_GIVEN_UP);
    CU_ASSERT_EQUAL(CellSim_JobStarts(w, j), 2);
    finish_sim(w, config);
}

/* Tasks of a worker that falls silent may run elsewhere only once its lease
 * has expired for certain. A new incarnation of the worker runs them again at
 * once. */
static void
test_silent_worker(void)
{
    GfCellConfig *config;
    CellSim *w = create_sim(&FAULT_FREE, &config, 0);
    CellSimJob job = make_job("watch", 6, 10000, 0);
    job.step.long_running = true;
    int j = CellSim_Submit(w, &job);
    CellSim_Run(w, 500);
    CU_ASSERT_EQUAL(CellSim_JobRunning(w, j), 6);
    CellSim_CrashWorker(w, 2);
    CellSim_Run(w, 4000);
    CU_ASSERT_EQUAL(CellSim_JobRunning(w, j), 5);
    CellSim_RestartWorker(w, 2);
    CellSim_Run(w, 500);
    CU_ASSERT_EQUAL(CellSim_JobRunning(w, j), 6);
    CellSim_CrashWorker(w, 3);
    CellSim_RestartWorker(w, 3);
    CellSim_CrashWorker(w, 1);
    CellSim_Run(w, 8000);
    CU_ASSERT_EQUAL(CellSim_JobRunning(w, j), 5);
    finish_sim(w, config);
}

/* An isolated worker keeps running its tasks until its lease expires; they do
 * not run elsewhere meanwhile. */
static void
test_isolated_worker(void)
{
    GfCellConfig *config;
    CellSim *w = create_sim(&FAULT_FREE, &config, 0);
    CellSimJob job = make_job("batch", 6, 8000, 12000);
    int j = CellSim_Submit(w, &job);
    CellSim_Run(w, 500);
    CellSim_SetIsolated(w, 0, true);
    CellSim_Run(w, 9000);
    CellSim_SetIsolated(w, 0, false);
    CellSim_Run(w, 20000);
    CU_ASSERT_EQUAL(CellSim_JobState(w, j), GF_JOB_COMPLETED);
    finish_sim(w, config);
}

/* Two workers that only the former owner could reach: their tasks are
 * unconfirmed until the uncertainty period is over, and run again only then.
 */
static void
test_unreachable_for_new_owner(void)
{
    GfCellConfig *config;
    CellSim *w = create_sim(&FAULT_FREE, &config, 0);
    CellSimJob job = make_job("batch", 6, 8000, 5000);
    int j = CellSim_Submit(w, &job);
    CellSim_Run(w, 500);
    CellSim_KillOwner(w, CellSim_Owner(w));
    GfCell *next = CellSim_TakeOver(w);
    CellSim_SetIsolatedFrom(w, 0, next, true);
    CellSim_SetIsolatedFrom(w, 1, next, true);
    CellSim_Run(w, 25000);
    CU_ASSERT_EQUAL(CellSim_JobState(w, j), GF_JOB_COMPLETED);
    finish_sim(w, config);
}

/* Runs on workers that the new owner cannot reach count against their team's
 * limit: a new job of the team waits, one of another team does not. unlisted:
 * the workers have left the platform's worker table before the takeover. */
static void
limit_with_unreachable_runs(bool unlisted)
{
    GfCellConfig *config;
    CellSim *w = create_sim(&FAULT_FREE, &config, 8000);
    CellSimJob job = make_job("batch", 4, 2000, 9000);
    int j = CellSim_Submit(w, &job);
    CellSim_Run(w, 500);
    CU_ASSERT_EQUAL(CellSim_JobRunning(w, j), 4);
    for (int i = 0; unlisted && i < FAULT_FREE.workers - 1; i++) {
        CellSim_SetListed(w, i, false);
    }
    CellSim_KillOwner(w, CellSim_Owner(w));
    GfCell *next = CellSim_TakeOver(w);
    for (int i = 0; i < FAULT_FREE.workers - 1; i++) {
        CellSim_SetIsolatedFrom(w, i, next, true);
    }
    CellSim_Run(w, 3000);
    int later = CellSim_Submit(w, &job);
    CellSimJob other = make_job("batch", 1, 2000, 500);
    other.team = "b";
    int other_job = CellSim_Submit(w, &other);
    CellSim_Run(w, 2000);
    CU_ASSERT_EQUAL(CellSim_JobState(w, other_job), GF_JOB_COMPLETED);
    CU_ASSERT_EQUAL(CellSim_JobRunning(w, later), 0);
    CellSim_Run(w, 30000);
    CU_ASSERT_EQUAL(CellSim_JobState(w, j), GF_JOB_COMPLETED);
    CU_ASSERT_EQUAL(CellSim_JobState(w, later), GF_JOB_COMPLETED);
    finish_sim(w, config);
}

/* The same with listed and with unlisted workers. */
static void
test_limit_with_unreachable_runs(void)
{
    limit_with_unreachable_runs(false);
    limit_with_unreachable_runs(true);
}

/* A worker that was silent before a takeover delays its own tasks only: other
 * jobs start at once, and its tasks do not run twice. */
static void
test_takeover_with_silent_worker(void)
{
    GfCellConfig *config;
    CellSim *w = create_sim(&FAULT_FREE, &config, 0);
    CellSimJob watched = make_job("watch", 6, 2000, 0);
    watched.step.long_running = true;
    int long_running = CellSim_Submit(w, &watched);
    CellSim_Run(w, 300);
    CellSim_SetIsolated(w, 0, true);
    CellSim_Run(w, 3000);
    CellSim_KillOwner(w, CellSim_Owner(w));
    CellSimJob job = make_job("quick", 4, 2000, 300);
    int quick = CellSim_Submit(w, &job);
    CellSim_TakeOver(w);
    CellSim_Run(w, 1000);
    CU_ASSERT_EQUAL(CellSim_JobState(w, quick), GF_JOB_COMPLETED);
    CellSim_Run(w, 12000);
    CU_ASSERT_EQUAL(CellSim_JobRunning(w, long_running), 6);
    finish_sim(w, config);
}

/* After a takeover workers restart and get tasks, and leave the platform's
 * worker table before the next one. The new owner must learn of the new
 * incarnations from the lease list: it takes workers that refuse orders to the
 * old ones as gone, and would run their tasks twice. */
static void
test_takeover_after_restarts(void)
{
    GfCellConfig *config;
    CellSim *w = create_sim(&FAULT_FREE, &config, 0);
    CellSim_KillOwner(w, CellSim_Owner(w));
    CellSim_TakeOver(w);
    CellSim_Run(w, 200);
    for (int i = 0; i < 3; i++) {
        CellSim_SetListed(w, i, false);
        CellSim_RestartWorker(w, i);
    }
    CellSim_Run(w, 300);
    CellSimJob job = make_job("batch", 12, 4000, 2000);
    int j = CellSim_Submit(w, &job);
    CellSim_Run(w, 500);
    CU_ASSERT_EQUAL(CellSim_JobRunning(w, j), 12);
    CellSim_KillOwner(w, CellSim_Owner(w));
    CellSim_TakeOver(w);
    CellSim_Run(w, 1000);
    for (int i = 0; i < 3; i++) {
        CellSim_SetListed(w, i, true);
    }
    CellSim_Run(w, 12000);
    CU_ASSERT_EQUAL(CellSim_JobState(w, j), GF_JOB_COMPLETED);
    CU_ASSERT_EQUAL(CellSim_JobStarts(w, j), 12);
    finish_sim(w, config);
}

/* The store fails right after a planned takeover: the new owner places tasks
 * all the same, since the stored lease list names the workers already. Before,
 * no worker was eligible until the first commit, and all waiting steps waited
 * for the end of the outage. */
static void
test_takeover_before_store_outage(void)
{
    GfCellConfig *config;
    CellSim *w = create_sim(&FAULT_FREE, &config, 0);
    CellSim_KillOwner(w, CellSim_Owner(w));
    CellSim_TakeOver(w);
    CellSim_SetStoreAvailable(w, false);
    CellSimJob job = make_job("quick", 4, 2000, 300);
    int j = CellSim_Submit(w, &job);
    CellSim_Run(w, 500);
    CU_ASSERT_EQUAL(CellSim_JobStarts(w, j), 4);
    CellSim_SetStoreAvailable(w, true);
    CellSim_Run(w, 1000);
    CU_ASSERT_EQUAL(CellSim_JobState(w, j), GF_JOB_COMPLETED);
    finish_sim(w, config);
}

/* One worker of six does not answer a new owner: new jobs start on the others
 * at once, not only when the wait for all workers is over. */
static void
test_takeover_begins_without_one(void)
{
    GfCellConfig *config;
    CellSim *w = create_sim(&FAULT_FREE, &config, 0);
    CellSim_SetIsolated(w, 0, true);
    CellSim_KillOwner(w, CellSim_Owner(w));
    CellSim_TakeOver(w);
    CellSimJob job = make_job("quick", 4, 2000, 300);
    int j = CellSim_Submit(w, &job);
    CellSim_Run(w, 150);
    CU_ASSERT_EQUAL(CellSim_JobRunning(w, j), 4);
    CellSim_Run(w, 1000);
    finish_sim(w, config);
}

/* Plays three owners in quick succession: the first goes on, with a worker
 * that only it reaches, while the second has been killed. A job that is
 * accepted then may be started by the first and the third. without_settled
 * leaves out the rule that the end of an owner that was not settled proves
 * nothing. Returns whether a violation was found. */
static bool
play_two_former_owners(bool without_settled)
{
    CellSimSettings settings = FAULT_FREE;
    settings.without_settled = without_settled;
    GfCellConfig *config;
    CellSim *w = create_sim(&settings, &config, 0);
    CellSim_Run(w, 2000);
    for (int i = 3; i < FAULT_FREE.workers; i++) {
        CellSim_SetIsolatedFrom(w, i, CellSim_Owner(w), true);
    }
    GfCell *second = CellSim_TakeOver(w);
    for (int i = 0; i < FAULT_FREE.workers; i++) {
        CellSim_SetIsolatedFrom(w, i, second, true);
    }
    CellSim_Run(w, 20);
    CellSim_KillOwner(w, second);
    GfCell *third = CellSim_TakeOver(w);
    for (int i = 0; i < 3; i++) {
        CellSim_SetIsolatedFrom(w, i, third, true);
    }
    CellSim_Run(w, 100);
    CellSimJob job = make_job("quick", 4, 2000, 900);
    CellSim_Submit(w, &job);
    CellSim_Run(w, 700);
    bool violated = CellSim_Violation(w) != NULL;
    CellSim_Destroy(w);
    GfCellConfig_Destroy(config);
    return violated;
}

/* The end of the replaced owner counts only if that owner was settled. */
static void
test_two_former_owners(void)
{
    CU_ASSERT_TRUE(play_two_former_owners(true));
    CU_ASSERT_FALSE(play_two_former_owners(false));
}

/* An owner that does not know the current worker table starts nothing, as any
 * worker may have reported that it leaves. It goes on once it does. */
static void
test_outdated_worker_table(void)
{
    GfCellConfig *config;
    CellSim *w = create_sim(&FAULT_FREE, &config, 0);
    GfCell_SetWorkersCurrent(CellSim_Owner(w), false);
    CellSimJob job = make_job("quick", 4, 2000, 300);
    int j = CellSim_Submit(w, &job);
    CellSim_Run(w, 500);
    CU_ASSERT_EQUAL(CellSim_JobStarts(w, j), 0);
    GfCell_SetWorkersCurrent(CellSim_Owner(w), true);
    CellSim_Run(w, 500);
    CU_ASSERT_EQUAL(CellSim_JobState(w, j), GF_JOB_COMPLETED);
    finish_sim(w, config);
}

/* Workers that leave are gone when a new owner asks them: only the tasks that
 * they had are uncertain. Other jobs start at once, and after the uncertainty
 * period so do those tasks; none runs twice. Releases of many workers happen
 * while all entries restart, and then every job waited for the whole
 * period. */
static void
test_takeover_after_workers_left(void)
{
    GfCellConfig *config;
    CellSim *w = create_sim(&FAULT_FREE, &config, 0);
    CellSimJob watched = make_job("watch", 6, 2000, 0);
    watched.step.long_running = true;
    int long_running = CellSim_Submit(w, &watched);
    CellSim_Run(w, 300);
    CellSim_SetLeaving(w, 0, true);
    CellSim_SetLeaving(w, 1, true);
    CellSim_Run(w, 300);
    CellSim_KillOwner(w, CellSim_Owner(w));
    CellSim_CrashWorker(w, 0);
    CellSim_CrashWorker(w, 1);
    CellSim_SetListed(w, 0, false);
    CellSim_SetListed(w, 1, false);
    CellSimJob job = make_job("quick", 4, 2000, 300);
    int quick = CellSim_Submit(w, &job);
    CellSim_Run(w, 500);
    CellSim_TakeOver(w);
    CellSim_Run(w, 1000);
    CU_ASSERT_EQUAL(CellSim_JobState(w, quick), GF_JOB_COMPLETED);
    CellSim_Run(w, 12000);
    CU_ASSERT_EQUAL(CellSim_JobRunning(w, long_running), 6);
    finish_sim(w, config);
}

/* The same while the workers go on, isolated from the new owner: what they
 * run is not started again before their leases have expired. */
static void
test_takeover_while_workers_leave(void)
{
    GfCellConfig *config;
    CellSim *w = create_sim(&FAULT_FREE, &config, 0);
    CellSimJob slow = make_job("batch", 24, 4000, 4000);
    int j = CellSim_Submit(w, &slow);
    CellSim_Run(w, 300);
    for (int i = 0; i < 3; i++) {
        CellSim_SetLeaving(w, i, true);
    }
    CellSim_Run(w, 300);
    for (int i = 0; i < 3; i++) {
        CellSim_SetIsolated(w, i, true);
    }
    CellSim_KillOwner(w, CellSim_Owner(w));
    CellSim_Run(w, 500);
    CellSim_TakeOver(w);
    CellSim_Run(w, 20000);
    CU_ASSERT_EQUAL(CellSim_JobState(w, j), GF_JOB_COMPLETED);
    finish_sim(w, config);
}

/* Two isolated workers leave the platform's worker table, and return after a
 * takeover: tasks that completed there meanwhile do not run again. */
static void
test_takeover_with_unlisted_worker(void)
{
    GfCellConfig *config;
    CellSim *w = create_sim(&FAULT_FREE, &config, 0);
    CellSimJob job = make_job("quick", 12, 4000, 900);
    int j = CellSim_Submit(w, &job);
    CellSim_Run(w, 300);
    CellSim_SetIsolated(w, 0, true);
    CellSim_SetIsolated(w, 1, true);
    CellSim_Run(w, 3500);
    CellSim_SetListed(w, 0, false);
    CellSim_SetListed(w, 1, false);
    CellSim_Run(w, 500);
    CellSim_KillOwner(w, CellSim_Owner(w));
    CellSim_TakeOver(w);
    CellSim_Run(w, 700);
    CellSim_SetIsolated(w, 0, false);
    CellSim_SetIsolated(w, 1, false);
    CellSim_SetListed(w, 0, true);
    CellSim_SetListed(w, 1, true);
    CellSim_Run(w, 12000);
    CU_ASSERT_EQUAL(CellSim_JobState(w, j), GF_JOB_COMPLETED);
    CU_ASSERT_EQUAL(CellSim_JobStarts(w, j), 12);
    finish_sim(w, config);
}

/* Starts that get no reply and are carried out late do not run a task twice
 * and do not occupy capacity for good. A task waits for its worker, as any
 * later incarnation of that may carry the start out. Once the worker takes
 * starts, they delay quick jobs, whose tasks run for 400 ms, by less than 900
 * ms, and no run is lost. */
static void
test_delayed_starts(void)
{
    GfCellConfig *config;
    CellSim *w = create_sim(&FAULT_FREE, &config, 0);
    CellSim_SetStartsDelayed(w, 0, true);
    CellSim_SetStartsDelayed(w, 1, true);
    int jobs[10];
    for (int i = 0; i < 10; i++) {
        CellSimJob job = make_job("quick", 3, 3000, 400);
        jobs[i] = CellSim_Submit(w, &job);
        CellSim_Run(w, 100);
    }
    CellSim_SetStartsDelayed(w, 0, false);
    CellSim_SetStartsDelayed(w, 1, false);
    CellSim_Run(w, 20000);
    for (int i = 0; i < 10; i++) {
        int64_t delayed_ms = (10 - i) * 100;
        CU_ASSERT_EQUAL(CellSim_JobState(w, jobs[i]), GF_JOB_COMPLETED);
        CU_ASSERT_TRUE(CellSim_FinishedAfterMs(w, jobs[i]) - delayed_ms <
                       400 + 2 * 450);
        CU_ASSERT_EQUAL(CellSim_JobStarts(w, jobs[i]), 3);
    }
    finish_sim(w, config);
}

/* A cancelled job stops on all workers, and its capacity is used again only
 * when they list the completions. */
static void
test_cancel(void)
{
    GfCellConfig *config;
    CellSim *w = create_sim(&FAULT_FREE, &config, 0);
    CellSimJob job = make_job("batch", 6, 16000, 60000);
    int first = CellSim_Submit(w, &job);
    CellSim_Run(w, 300);
    CellSimJob next = make_job("quick", 6, 16000, 200);
    int second = CellSim_Submit(w, &next);
    CellSim_CancelJob(w, first);
    CellSim_Run(w, 1500);
    CU_ASSERT_EQUAL(CellSim_JobState(w, first), GF_JOB_WITHDRAWN);
    CU_ASSERT_EQUAL(CellSim_JobRunning(w, first), 0);
    CU_ASSERT_EQUAL(CellSim_JobState(w, second), GF_JOB_COMPLETED);
    finish_sim(w, config);
}

/* A new owner does not use the capacity of orphan runs, here of a job that
 * was cancelled while the workers were isolated, until they have ended. */
static void
test_orphan_runs_hold_capacity(void)
{
    GfCellConfig *config;
    CellSim *w = create_sim(&FAULT_FREE, &config, 0);
    CellSimJob job = make_job("batch", 6, 16000, 60000);
    int first = CellSim_Submit(w, &job);
    CellSim_Run(w, 300);
    for (int i = 0; i < FAULT_FREE.workers; i++) {
        CellSim_SetIsolated(w, i, true);
    }
    CellSim_CancelJob(w, first);
    CellSim_Run(w, 200);
    CellSim_KillOwner(w, CellSim_Owner(w));
    for (int i = 0; i < FAULT_FREE.workers; i++) {
        CellSim_SetIsolated(w, i, false);
    }
    CellSimJob next = make_job("quick", 6, 16000, 200);
    int second = CellSim_Submit(w, &next);
    CellSim_TakeOver(w);
    CellSim_Run(w, 2000);
    CU_ASSERT_EQUAL(CellSim_JobRunning(w, first), 0);
    CU_ASSERT_EQUAL(CellSim_JobState(w, second), GF_JOB_COMPLETED);
    finish_sim(w, config);
}

/* A team's runs use the whole limit and do not exceed it. */
static void
test_limit(void)
{
    GfCellConfig *config;
    CellSim *w = create_sim(&FAULT_FREE, &config, 8000);
    CellSimJob job = make_job("quick", 20, 1000, 500);
    int j = CellSim_Submit(w, &job);
    CellSim_Run(w, 300);
    CU_ASSERT_EQUAL(CellSim_JobRunning(w, j), 8);
    CellSim_Run(w, 2500);
    CU_ASSERT_EQUAL(CellSim_JobState(w, j), GF_JOB_COMPLETED);
    finish_sim(w, config);
}

/* The stored list of leased workers says that a worker is silent and runs no
 * tasks, so a new owner expects no runs on it. Then the worker comes back, but
 * only the former owner reaches it: that owner may start nothing there before
 * the stored list says that the worker is back. */
static void
test_silent_worker_back_for_former_owner(void)
{
    GfCellConfig *config;
    CellSim *w = create_sim(&FAULT_FREE, &config, 0);
    CellSim_SetIsolated(w, 0, true);
    CellSim_Run(w, 2000);
    GfCell *former = CellSim_TakeOver(w);
    CellSim_Run(w, 500);
    for (int i = 1; i < FAULT_FREE.workers; i++) {
        CellSim_SetIsolatedFrom(w, i, former, true);
    }
    CellSim_Run(w, 1200);
    CellSim_SetIsolatedFrom(w, 0, CellSim_TakeOver(w), true);
    CellSim_SetIsolated(w, 0, false);
    CellSimJob job = make_job("batch", 3, 4000, 2000);
    CellSim_Submit(w, &job);
    CellSim_Run(w, 2500);
    finish_sim(w, config);
}

/* The description for operators shows each team's use and limit, and how long
 * tasks have waited for which reason. */
static void
test_describe(void)
{
    GfCellConfig *config;
    CellSim *w = create_sim(&FAULT_FREE, &config, 8000);
    CellSimJob job = make_job("batch", 4, 4000, 20000);
    CellSim_Submit(w, &job);
    CellSim_Run(w, 1500);
    json_t *cell = GfCell_Describe(CellSim_Owner(w));
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
    finish_sim(w, config);
}

/* Long-running tasks, at most one on a worker, are restarted when a worker is
 * lost. Advice is not requested over and over for workers that cannot take
 * another task. */
static void
test_long_running_tasks_apart(void)
{
    GfCellConfig *config;
    CellSimSettings settings = FAULT_FREE;
    settings.workers = 12;
    CellSim *w = create_sim(&settings, &config, 0);
    CellSimJob job = make_job("batch-advised", 7, 6000, 0);
    job.step.long_running = true;
    job.step.max_per_worker = 1;
    int j = CellSim_Submit(w, &job);
    CellSim_Run(w, 4000);
    CU_ASSERT_EQUAL(CellSim_JobRunning(w, j), 7);
    CellSim_CrashWorker(w, 1);
    CellSim_CrashWorker(w, 2);
    CellSim_CrashWorker(w, 4);
    CellSim_Run(w, 12000);
    /* Advice allows eight of the workers, three of which have crashed. */
    CU_ASSERT_EQUAL(CellSim_JobRunning(w, j), 5);
    CellSim_RestartWorker(w, 1);
    CellSim_Run(w, 3000);
    CU_ASSERT_EQUAL(CellSim_JobRunning(w, j), 6);
    finish_sim(w, config);
}

/* Backfill tasks do not share a worker with tasks that have a latency target,
 * and are preempted for them. */
static void
test_backfill(void)
{
    GfCellConfig *config;
    CellSim *w = create_sim(&FAULT_FREE, &config, 0);
    CellSimJob backfill = make_job("batch", 6, 4000, 5000);
    backfill.step.backfill = true;
    CellSim_Submit(w, &backfill);
    CellSim_Run(w, 300);
    CU_ASSERT_EQUAL(CellSim_BackfillOn(w, 0), 1);
    CellSimJob watch = make_job("watch", 4, 2000, 0);
    watch.step.long_running = true;
    watch.step.latency_target_ms = 100;
    int j = CellSim_Submit(w, &watch);
    CellSim_Run(w, 2000);
    CU_ASSERT_EQUAL(CellSim_JobRunning(w, j), 4);
    for (int i = 0; i < FAULT_FREE.workers; i++) {
        CU_ASSERT_TRUE(CellSim_BackfillOn(w, i) == 0 ||
                       CellSim_ServingOn(w, i) == 0);
    }
    finish_sim(w, config);
}

/* Random losses and delays of orders, with takeovers and isolated workers: no
 * invariant is violated, and all jobs complete in the end. */
static void
test_random(void)
{
    for (uint32_t seed = 1; seed <= 40; seed++) {
        GfCellConfig *config;
        CellSimSettings settings = FAULT_FREE;
        settings.seed = seed;
        settings.lose_order = 0.02;
        settings.lose_answer = 0.03;
        settings.late_order = 0.03;
        CellSim *w = create_sim(&settings, &config, 40000);
        int jobs[30];
        for (int i = 0; i < 30; i++) {
            CellSimJob job = make_job(i % 3 == 0 ? "batch" : "quick",
                                      1 + (uint32_t)(i % 5), 1500, 700);
            job.team = i % 2 == 0 ? "a" : "b";
            job.steps = 1 + i % 2;
            jobs[i] = CellSim_Submit(w, &job);
            CellSim_Run(w, 150);
            if (i == 10 || i == 20) {
                if (seed % 2 == 0) {
                    CellSim_KillOwner(w, CellSim_Owner(w));
                }
                CellSim_TakeOver(w);
            }
            if (i == 12) {
                CellSim_SetIsolated(w, (int)(seed % 6), true);
            }
            if (i == 25) {
                CellSim_SetIsolated(w, (int)(seed % 6), false);
            }
        }
        CellSim_Run(w, 40000);
        int completed = 0;
        for (int i = 0; i < 30; i++) {
            completed += CellSim_JobState(w, jobs[i]) == GF_JOB_COMPLETED;
        }
        if (completed != 30) {
            printf("  seed %u: %d of 30 completed\n", seed, completed);
        }
        CU_ASSERT_EQUAL(completed, 30);
        finish_sim(w, config);
    }
}

static const SuiteTest TESTS[] = {
    {"chain", test_chain},
    {"advice", test_advice},
    {"takeover", test_takeover},
    {"completions after takeover", test_completions_after_takeover},
    {"two owners", test_two_owners},
    {"job learnt of after its start", test_job_learnt_after_start},
    {"attempts", test_attempts},
    {"silent worker", test_silent_worker},
    {"isolated worker", test_isolated_worker},
    {"unreachable for the new owner", test_unreachable_for_new_owner},
    {"limit with unreachable runs", test_limit_with_unreachable_runs},
    {"takeover with a silent worker", test_takeover_with_silent_worker},
    {"takeover after restarts", test_takeover_after_restarts},
    {"takeover before a store outage", test_takeover_before_store_outage},
    {"takeover begins without one", test_takeover_begins_without_one},
    {"two former owners", test_two_former_owners},
    {"outdated worker table", test_outdated_worker_table},
    {"takeover after workers left", test_takeover_after_workers_left},
    {"takeover while workers leave", test_takeover_while_workers_leave},
    {"takeover with an unlisted worker", test_takeover_with_unlisted_worker},
    {"delayed starts", test_delayed_starts},
    {"cancel", test_cancel},
    {"orphan runs hold capacity", test_orphan_runs_hold_capacity},
    {"limit", test_limit},
    {"silent worker back for the former owner",
     test_silent_worker_back_for_former_owner},
    {"describe", test_describe},
    {"long-running tasks apart", test_long_running_tasks_apart},
    {"fillers", test_backfill},
    {"random", test_random}};

SUITE_MAIN("cell", TESTS)
