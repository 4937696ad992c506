/* Tasks that crash every worker that starts them. The scheduler learns only
 * that a worker is back in a new incarnation; if it does not count the tasks
 * that the worker ran, it starts such a task for ever and the crashes spread
 * over the fleet. If it counts too much, it gives up tasks that ran beside the
 * deadly one, or on a worker that crashed by itself. */
#include <stdio.h>

#include "cell_sim.h"
#include "guavaflow/log.h"
#include "suite.h"

/* After MAX_CRASHES workers have crashed under a task, MAX_FURTHER_STARTS of
 * it are tolerated. */
#define MAX_CRASHES 3
#define MAX_FURTHER_STARTS 2
#define MAX_STARTS (MAX_CRASHES + MAX_FURTHER_STARTS)
#define CRASH_AFTER_MS 300
#define WORKER_BACK_MS 2000
/* Longer than a worker's lease with the drift of clocks, 6.33 s. */
#define BACK_AFTER_LEASE_MS 8000
/* Longest time until the job of a single deadly task is given up. */
#define GIVE_UP_MS 40000
/* The platform's bound for a long-running task to run again. */
#define SERVING_BACK_MS 6000
/* GIVE_UP_MS for many such jobs, or with owners that are replaced. */
#define LONG_GIVE_UP_MS 120000

static const CellSimSettings SETTINGS = {.workers = 12,
                                         .mcores = 16000,
                                         .memory_mb = 64000,
                                         .rack_size = 3,
                                         .callers = 3,
                                         .latency_ms = 1,
                                         .seed = 1,
                                         .worker_back_ms = WORKER_BACK_MS};

/* Whether workers return under another id, at the same address. */
static bool return_under_new_ids;

/* A simulation with its configuration. */
typedef struct {
    CellSim *sim;
    GfCellConfig *config;
} Scene;

/* Creates a simulation with an owner that has taken over. */
static Scene
create_scene(const CellSimSettings *settings)
{
    GfLog_SetLevel(GF_LOG_ERROR);
    Scene s = {.config = CellSim_MakeConfig(0)};
    CellSimSettings own = *settings;
    own.new_ids = return_under_new_ids;
    s.sim = CellSim_Create(&own, s.config);
    CellSim_TakeOver(s.sim);
    CellSim_Run(s.sim, 200);
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

/* Submits a job of one step whose tasks need 1000 mcores each; the first ones
 * are deadly. Returns its number. */
static int
submit(const Scene *s, const char *queue, uint32_t tasks, int deadly_tasks,
       int64_t run_ms)
{
    CellSimJob job = {.queue = queue,
                      .team = deadly_tasks > 0 ? "a" : "b",
                      .run_ms = run_ms,
                      .step = {.task_count = tasks, .need = {1000, 100, 0}},
                      .deadly_tasks = deadly_tasks,
                      .crash_after_ms = CRASH_AFTER_MS};
    return CellSim_Submit(s->sim, &job);
}

/* Runs the simulation until a job is given up, for at most the given time. */
static void
run_until_given_up(const Scene *s, int job, int64_t ms)
{
    int64_t end_ms = CellSim_NowMs(s->sim) + ms;
    while (CellSim_JobState(s->sim, job) != GF_JOB_GIVEN_UP &&
           CellSim_NowMs(s->sim) < end_ms) {
        CellSim_Run(s->sim, CELL_SIM_STEP_MS);
    }
}

/* Prints what happened to a job with one deadly task, its first, and checks
 * that the job was given up without a start too many. */
static void
check_given_up(const Scene *s, int job)
{
    int starts = CellSim_TaskStarts(s->sim, job, 0);
    int late = CellSim_StartsAfterCrashes(s->sim, job);
    printf("\n  crashes=%d starts=%d starts_after_3_crashes=%d state=%s "
           "after_ms=%lld\n",
           CellSim_JobCrashes(s->sim, job), starts, late,
           GfJobState_Name(CellSim_JobState(s->sim, job)),
           (long long)CellSim_FinishedAfterMs(s->sim, job));
    CU_ASSERT_EQUAL(CellSim_JobState(s->sim, job), GF_JOB_GIVEN_UP);
    CU_ASSERT_TRUE(starts <= MAX_STARTS);
    CU_ASSERT_TRUE(late <= MAX_FURTHER_STARTS);
}

/* Checks that jobs without deadly tasks have completed; prints how many have
 * and under how many crashes a task of theirs came at most. */
static void
check_completed(const Scene *s, const int *jobs, int count, int tasks)
{
    int completed = 0;
    int given_up = 0;
    int crashes = 0;
    int late = 0;
    for (int i = 0; i < count; i++) {
        GfJobState state = CellSim_JobState(s->sim, jobs[i]);
        completed += state == GF_JOB_COMPLETED;
        given_up += state == GF_JOB_GIVEN_UP;
        int starts = CellSim_StartsAfterCrashes(s->sim, jobs[i]);
        late = starts > late ? starts : late;
        for (int t = 0; t < tasks; t++) {
            int n = CellSim_TaskCrashes(s->sim, jobs[i], t);
            crashes = n > crashes ? n : crashes;
        }
    }
    printf("\n  innocent jobs=%d completed=%d given_up=%d most crashes under "
           "a task=%d starts_after_3_crashes=%d\n",
           count, completed, given_up, crashes, late);
    CU_ASSERT_EQUAL(given_up, 0);
    CU_ASSERT_EQUAL(completed, count);
}

/* Runs a deadly task alone and expects that it crashes 3 workers at most and
 * that its job is given up in time. */
static void
run_alone(const char *queue, int64_t back_ms, bool long_running)
{
    CellSimSettings settings = SETTINGS;
    settings.worker_back_ms = back_ms;
    Scene s = create_scene(&settings);
    CellSimJob job = {.queue = queue,
                      .team = "a",
                      .run_ms = long_running ? 0 : 5000,
                      .step = {.task_count = 1,
                               .need = {1000, 100, 0},
                               .long_running = long_running,
                               .latency_target_ms = long_running ? 100 : 0},
                      .deadly_tasks = 1,
                      .crash_after_ms = CRASH_AFTER_MS};
    int deadly = CellSim_Submit(s.sim, &job);
    CellSim_Run(s.sim, GIVE_UP_MS);
    check_given_up(&s, deadly);
    CU_ASSERT_TRUE(CellSim_JobCrashes(s.sim, deadly) <= MAX_CRASHES);
    destroy_scene(&s);
}

static void
test_alone(void)
{
    run_alone("batch", WORKER_BACK_MS, false);
}

static void
test_alone_back_after_lease(void)
{
    run_alone("batch", BACK_AFTER_LEASE_MS, false);
}

static void
test_alone_long_running(void)
{
    run_alone("watch", WORKER_BACK_MS, true);
    run_alone("watch", BACK_AFTER_LEASE_MS, true);
}

static void
test_alone_advised(void)
{
    run_alone("batch-advised", WORKER_BACK_MS, false);
    run_alone("quick-advised", WORKER_BACK_MS, false);
}

/* Runs a deadly task among innocent jobs of several queues, which share its
 * workers, and jobs that arrive while it crashes them. */
static void
run_beside(int64_t back_ms)
{
    enum { TASKS = 4, JOBS = 16, LATER = 8 };
    static const char *const QUEUES[] = {"batch", "quick", "watch",
                                         "batch-advised"};
    CellSimSettings settings = SETTINGS;
    settings.worker_back_ms = back_ms;
    Scene s = create_scene(&settings);
    CellSimJob serving = {.queue = "watch",
                          .team = "b",
                          .step = {.task_count = TASKS,
                                   .need = {1000, 100, 0},
                                   .long_running = true,
                                   .latency_target_ms = 100}};
    int serving_job = CellSim_Submit(s.sim, &serving);
    int innocent[JOBS + LATER];
    int deadly = -1;
    for (int i = 0; i < JOBS; i++) {
        if (i == JOBS / 2) {
            deadly = submit(&s, "batch", 1, 1, 5000);
        }
        innocent[i] = submit(&s, QUEUES[i % 4], TASKS, 0, 3000);
    }
    for (int i = JOBS; i < JOBS + LATER; i++) {
        CellSim_Run(s.sim, 1000);
        innocent[i] = submit(&s, QUEUES[i % 4], TASKS, 0, 3000);
    }
    CellSim_Run(s.sim, GIVE_UP_MS);
    check_given_up(&s, deadly);
    check_completed(&s, innocent, JOBS + LATER, TASKS);
    CU_ASSERT_NOT_EQUAL(CellSim_JobState(s.sim, serving_job), GF_JOB_GIVEN_UP);
    CU_ASSERT_EQUAL(CellSim_JobRunning(s.sim, serving_job), TASKS);
    destroy_scene(&s);
}

static void
test_beside_innocent_tasks(void)
{
    run_beside(WORKER_BACK_MS);
}

static void
test_beside_innocent_tasks_back_after_lease(void)
{
    run_beside(BACK_AFTER_LEASE_MS);
}

static void
test_several_deadly_jobs(void)
{
    enum { DEADLY = 6, DEADLY_TASKS = 6, INNOCENT = 30, TASKS = 4 };
    CellSimSettings settings = SETTINGS;
    settings.workers = 24;
    Scene s = create_scene(&settings);
    int deadly[DEADLY];
    int innocent[INNOCENT];
    for (int i = 0; i < INNOCENT; i++) {
        if (i % (INNOCENT / DEADLY) == 0) {
            deadly[i / (INNOCENT / DEADLY)] =
                submit(&s, "batch", DEADLY_TASKS, DEADLY_TASKS, 5000);
        }
        innocent[i] = submit(&s, "batch", TASKS, 0, 2000);
    }
    CellSim_Run(s.sim, LONG_GIVE_UP_MS);
    int given_up = 0;
    int starts = 0;
    int late = 0;
    for (int i = 0; i < DEADLY; i++) {
        given_up += CellSim_JobState(s.sim, deadly[i]) == GF_JOB_GIVEN_UP;
        for (int t = 0; t < DEADLY_TASKS; t++) {
            int n = CellSim_TaskStarts(s.sim, deadly[i], t);
            starts = n > starts ? n : starts;
        }
        int n = CellSim_StartsAfterCrashes(s.sim, deadly[i]);
        late = n > late ? n : late;
    }
    printf("\n  deadly jobs=%d given_up=%d most starts of a task=%d "
           "starts_after_3_crashes=%d crashes=%d\n",
           DEADLY, given_up, starts, late, CellSim_CountCrashes(s.sim));
    CU_ASSERT_EQUAL(given_up, DEADLY);
    CU_ASSERT_TRUE(starts <= MAX_STARTS);
    CU_ASSERT_TRUE(late <= MAX_FURTHER_STARTS);
    CU_ASSERT_TRUE(CellSim_CountCrashes(s.sim) <= MAX_STARTS * DEADLY);
    check_completed(&s, innocent, INNOCENT, TASKS);
    destroy_scene(&s);
}

/* Runs until the next crash through a deadly task or until a job is given up;
 * false if neither has happened within 20 s or the job is given up. */
static bool
run_until_crash(const Scene *s, int job)
{
    int crashes = CellSim_CountCrashes(s->sim);
    for (int64_t t = 0; t < 20000; t += CELL_SIM_STEP_MS) {
        CellSim_Run(s->sim, CELL_SIM_STEP_MS);
        if (CellSim_JobState(s->sim, job) == GF_JOB_GIVEN_UP) {
            return false;
        }
        if (CellSim_CountCrashes(s->sim) > crashes) {
            return true;
        }
    }
    return false;
}

/* Kills the owner; the next one takes over 300 ms later. */
static void
replace_owner(const Scene *s)
{
    CellSim_KillOwner(s->sim, CellSim_Owner(s->sim));
    CellSim_Run(s->sim, 300);
    CellSim_TakeOver(s->sim);
}

/* Replaces the owner after each crash of a deadly task's workers, at once, 500
 * ms after the worker's return, or both, as often as the simulation allows. */
static void
replace_after_crashes(bool at_once, bool after_return)
{
    Scene s = create_scene(&SETTINGS);
    int deadly = submit(&s, "batch", 1, 1, 5000);
    while (CellSim_CanTakeOver(s.sim) && run_until_crash(&s, deadly)) {
        int64_t back_ms = CellSim_NowMs(s.sim) + WORKER_BACK_MS;
        if (at_once) {
            replace_owner(&s);
        }
        if (after_return && CellSim_CanTakeOver(s.sim)) {
            CellSim_Run(s.sim, back_ms + 500 - CellSim_NowMs(s.sim));
            replace_owner(&s);
        }
    }
    run_until_given_up(&s, deadly, LONG_GIVE_UP_MS);
    check_given_up(&s, deadly);
    destroy_scene(&s);
}

static void
test_owner_replaced_after_crash(void)
{
    replace_after_crashes(true, false);
}

static void
test_owner_replaced_after_return(void)
{
    replace_after_crashes(false, true);
}

static void
test_owner_replaced_after_crash_and_return(void)
{
    replace_after_crashes(true, true);
}

/* Runs until a job has more starts than before or is given up, for at most 20
 * s. */
static void
run_until_start(const Scene *s, int job)
{
    int starts = CellSim_JobStarts(s->sim, job);
    for (int64_t t = 0;
         t < 20000 && CellSim_JobStarts(s->sim, job) == starts &&
         CellSim_JobState(s->sim, job) != GF_JOB_GIVEN_UP;
         t += CELL_SIM_STEP_MS) {
        CellSim_Run(s->sim, CELL_SIM_STEP_MS);
    }
}

/* Replaces the owner after each crash in an outage of the store. The owner
 * ends outage_ms after the crash, the outage 300 ms later; it begins with the
 * crash or, if early, with the start before it. */
static void
replace_in_outage(bool early, int64_t outage_ms)
{
    Scene s = create_scene(&SETTINGS);
    int deadly = submit(&s, "batch", 1, 1, 5000);
    for (int i = 1; i < CELL_SIM_MAX_OWNERS; i++) {
        if (early) {
            run_until_start(&s, deadly);
            CellSim_SetStoreAvailable(s.sim, false);
        }
        if (!run_until_crash(&s, deadly)) {
            break;
        }
        CellSim_SetStoreAvailable(s.sim, false);
        CellSim_Run(s.sim, outage_ms);
        CellSim_KillOwner(s.sim, CellSim_Owner(s.sim));
        CellSim_Run(s.sim, 300);
        CellSim_SetStoreAvailable(s.sim, true);
        CellSim_TakeOver(s.sim);
    }
    CellSim_SetStoreAvailable(s.sim, true);
    run_until_given_up(&s, deadly, LONG_GIVE_UP_MS);
    check_given_up(&s, deadly);
    destroy_scene(&s);
}

static void
test_owner_replaced_in_outage(void)
{
    replace_in_outage(false, 1000);
    replace_in_outage(false, 3500);
}

static void
test_owner_replaced_in_outage_before_crash(void)
{
    replace_in_outage(true, 1000);
    replace_in_outage(true, 3500);
}

/* Chooses a worker that was not chosen before, if possible one that runs a
 * task of the jobs, and returns its number. */
static int
choose_worker(const Scene *s, const int *jobs, int count, bool *chosen)
{
    int worker = -1;
    for (int i = 0; i < count && worker < 0; i++) {
        int w = CellSim_JobWorker(s->sim, jobs[i]);
        worker = w >= 0 && !chosen[w] ? w : -1;
    }
    if (worker < 0) {
        worker = 0;
        while (chosen[worker]) {
            worker++;
        }
    }
    chosen[worker] = true;
    return worker;
}

/* Crashes a third of the workers in each of three rounds, always others, while
 * they run jobs without deadly tasks. */
static void
crash_thirds(int count)
{
    enum { WORKERS = 24, MAX_JOBS = 40, TASKS = 8 };
    enum { ROUNDS = 3, THIRD = WORKERS / ROUNDS, ROUND_MS = 3000 };
    CellSimSettings settings = SETTINGS;
    settings.workers = WORKERS;
    Scene s = create_scene(&settings);
    int jobs[MAX_JOBS];
    for (int i = 0; i < count; i++) {
        jobs[i] = submit(&s, i % 2 == 0 ? "batch" : "quick", TASKS, 0, 8000);
    }
    CellSim_Run(s.sim, 1000);
    bool chosen[WORKERS] = {false};
    for (int round = 0; round < ROUNDS; round++) {
        int workers[THIRD];
        for (int i = 0; i < THIRD; i++) {
            workers[i] = choose_worker(&s, jobs, count, chosen);
        }
        for (int i = 0; i < THIRD; i++) {
            CellSim_CrashWorker(s.sim, workers[i]);
        }
        CellSim_Run(s.sim, WORKER_BACK_MS);
        for (int i = 0; i < THIRD; i++) {
            CellSim_RestartWorker(s.sim, workers[i]);
        }
        CellSim_Run(s.sim, ROUND_MS - WORKER_BACK_MS);
    }
    CellSim_Run(s.sim, 60000);
    check_completed(&s, jobs, count, TASKS);
    destroy_scene(&s);
}

static void
test_workers_crash_by_themselves(void)
{
    crash_thirds(40);
    crash_thirds(15);
    crash_thirds(4);
}

/* Crashes one worker 300 ms after each of its returns, while all workers are
 * needed. */
static void
test_bad_worker(void)
{
    enum { JOBS = 50, TASKS = 8, CRASHES = 10, BAD = 5 };
    Scene s = create_scene(&SETTINGS);
    int jobs[JOBS];
    for (int i = 0; i < JOBS; i++) {
        jobs[i] = submit(&s, i % 2 == 0 ? "batch" : "quick", TASKS, 0, 8000);
    }
    CellSim_Run(s.sim, 1000);
    for (int i = 0; i < CRASHES; i++) {
        CellSim_CrashWorker(s.sim, BAD);
        CellSim_Run(s.sim, WORKER_BACK_MS);
        CellSim_RestartWorker(s.sim, BAD);
        CellSim_Run(s.sim, CRASH_AFTER_MS);
    }
    CellSim_Run(s.sim, 60000);
    check_completed(&s, jobs, JOBS, TASKS);
    destroy_scene(&s);
}

/* Isolates whichever worker runs a task, three times and for longer than the
 * lease; the table drops the worker meanwhile if unlist is set. */
static void
isolate_workers(bool unlist, bool long_running)
{
    enum { TIMES = 3, ISOLATED_MS = 8000 };
    Scene s = create_scene(&SETTINGS);
    CellSimJob job = {.queue = "watch",
                      .team = "a",
                      .run_ms = long_running ? 0 : 12000,
                      .step = {.task_count = 1,
                               .need = {1000, 100, 0},
                               .long_running = long_running}};
    int j = CellSim_Submit(s.sim, &job);
    for (int i = 0; i < TIMES; i++) {
        CellSim_Run(s.sim, 1000);
        int worker = CellSim_JobWorker(s.sim, j);
        CU_ASSERT_TRUE_FATAL(worker >= 0);
        CellSim_SetIsolated(s.sim, worker, true);
        if (unlist) {
            CellSim_SetListed(s.sim, worker, false);
        }
        CellSim_Run(s.sim, ISOLATED_MS);
        CellSim_SetIsolated(s.sim, worker, false);
        if (unlist) {
            CellSim_SetListed(s.sim, worker, true);
        }
    }
    CellSim_Run(s.sim, GIVE_UP_MS);
    printf("\n  starts=%d state=%s\n", CellSim_JobStarts(s.sim, j),
           GfJobState_Name(CellSim_JobState(s.sim, j)));
    CU_ASSERT_TRUE(CellSim_JobStarts(s.sim, j) > TIMES);
    if (long_running) {
        CU_ASSERT_EQUAL(CellSim_JobRunning(s.sim, j), 1);
    }
    else {
        CU_ASSERT_EQUAL(CellSim_JobState(s.sim, j), GF_JOB_COMPLETED);
    }
    destroy_scene(&s);
}

static void
test_isolated_workers(void)
{
    isolate_workers(false, false);
    isolate_workers(true, false);
    isolate_workers(false, true);
    isolate_workers(true, true);
}

/* Crashes of workers under long-running tasks, twice each; then these serve
 * for ten minutes. */
static void
test_serving_suspects_keep_workers(void)
{
    CellSimSettings settings = SETTINGS;
    settings.workers = 3;
    Scene s = create_scene(&settings);
    CellSimJob serving = {.queue = "watch",
                          .team = "b",
                          .step = {.task_count = 3,
                                   .need = {1000, 100, 0},
                                   .max_per_worker = 1,
                                   .long_running = true}};
    int j = CellSim_Submit(s.sim, &serving);
    for (int i = 0; i < 2; i++) {
        CellSim_Run(s.sim, 2000);
        for (int w = 0; w < 3; w++)
            CellSim_CrashWorker(s.sim, w);
        CellSim_Run(s.sim, 2000);
        for (int w = 0; w < 3; w++)
            CellSim_RestartWorker(s.sim, w);
        CellSim_Run(s.sim, 3000);
    }
    CellSim_Run(s.sim, 15000);
    printf("\n  serving running=%d state=%s", CellSim_JobRunning(s.sim, j),
           GfJobState_Name(CellSim_JobState(s.sim, j)));
    CellSim_Run(s.sim, 600000);
    int b = submit(&s, "batch", 1, 0, 2000);
    CellSim_Run(s.sim, 120000);
    printf(" later job starts=%d state=%s serving=%d\n",
           CellSim_JobStarts(s.sim, b),
           GfJobState_Name(CellSim_JobState(s.sim, b)),
           CellSim_JobRunning(s.sim, j));
    CU_ASSERT_EQUAL(CellSim_JobState(s.sim, b), GF_JOB_COMPLETED);
    destroy_scene(&s);
}

/* A worker is missing at a takeover; an outage of the store comes later. */
static void
lose_worker_in_outage(bool missing)
{
    Scene s = create_scene(&SETTINGS);
    CellSimJob job = {.queue = "watch",
                      .team = "a",
                      .step = {.task_count = 1,
                               .need = {1000, 100, 0},
                               .long_running = true}};
    int j = CellSim_Submit(s.sim, &job);
    CellSim_Run(s.sim, 12000);
    int w = CellSim_JobWorker(s.sim, j);
    int other = w == 0 ? 1 : 0;
    if (missing) {
        CellSim_CrashWorker(s.sim, other);
    }
    replace_owner(&s);
    CellSim_Run(s.sim, 1000);
    if (missing) {
        CellSim_RestartWorker(s.sim, other);
    }
    CellSim_Run(s.sim, 60000);
    CellSim_SetStoreAvailable(s.sim, false);
    CellSim_Run(s.sim, 100);
    CellSim_CrashWorker(s.sim, w); /* runs for over a minute: not the cause */
    CellSim_Run(s.sim, 9000);
    printf("\n  missing=%d running 9 s later=%d starts=%d\n", missing,
           CellSim_JobRunning(s.sim, j), CellSim_JobStarts(s.sim, j));
    CU_ASSERT_EQUAL(CellSim_JobRunning(s.sim, j), 1);
    CellSim_Run(s.sim, 30000);
    printf("  39 s later=%d\n", CellSim_JobRunning(s.sim, j));
    destroy_scene(&s);
}

static void
test_restart_waits_for_the_store(void)
{
    lose_worker_in_outage(false);
    lose_worker_in_outage(true);
}

static void
test_planned_leave_at_takeover(void)
{
    Scene s = create_scene(&SETTINGS);
    int j = submit(&s, "batch", 1, 0, 20000);
    for (int i = 0; i < 3; i++) {
        CellSim_Run(s.sim, 1500);
        int w = CellSim_JobWorker(s.sim, j);
        if (w < 0) {
            printf(" no worker %d", i);
            break;
        }
        CellSim_SetLeaving(s.sim, w, true);
        CellSim_Run(s.sim, 2000);
        CellSim_CrashWorker(s.sim, w); /* planned: it is released */
        CellSim_SetListed(s.sim, w, false);
        CellSim_Run(s.sim, 500);
        replace_owner(&s);
        CellSim_Run(s.sim, 12000);
    }
    CellSim_Run(s.sim, 60000);
    printf("\n  starts=%d state=%s\n", CellSim_JobStarts(s.sim, j),
           GfJobState_Name(CellSim_JobState(s.sim, j)));
    CU_ASSERT_EQUAL(CellSim_JobState(s.sim, j), GF_JOB_COMPLETED);
    destroy_scene(&s);
}

/* Cuts a worker off and drops it from the table, four times. */
static void
cut_off(int64_t cut, bool takeover)
{
    Scene s = create_scene(&SETTINGS);
    int j = submit(&s, "batch", 1, 0, 14000);
    for (int i = 0; i < 4; i++) {
        CellSim_Run(s.sim, 1000);
        int64_t end = CellSim_NowMs(s.sim) + 20000;
        int w = -1;
        while ((w = CellSim_JobWorker(s.sim, j)) < 0 &&
               CellSim_NowMs(s.sim) < end)
            CellSim_Run(s.sim, 10);
        if (w < 0) {
            printf(" no worker %d", i);
            break;
        }
        CellSim_SetIsolated(s.sim, w, true);
        CellSim_SetListed(s.sim, w, false);
        if (takeover) {
            CellSim_Run(s.sim, 1500);
            replace_owner(&s);
        }
        CellSim_Run(s.sim, cut);
        CellSim_SetIsolated(s.sim, w, false);
        CellSim_SetListed(s.sim, w, true);
    }
    CellSim_Run(s.sim, 60000);
    printf("\n  cut=%d takeover=%d starts=%d crashes=%d state=%s\n", (int)cut,
           takeover, CellSim_JobStarts(s.sim, j), CellSim_CountCrashes(s.sim),
           GfJobState_Name(CellSim_JobState(s.sim, j)));
    CU_ASSERT_EQUAL(CellSim_JobState(s.sim, j), GF_JOB_COMPLETED);
    destroy_scene(&s);
}

static void
test_long_cuts(void)
{
    cut_off(14500, false);
    cut_off(8500, true);
}

static void
preempt_for_suspect(bool outage)
{
    CellSimSettings settings = SETTINGS;
    Scene s = create_scene(&settings);
    CellSimJob big = {.queue = "batch",
                      .team = "b",
                      .run_ms = 60000,
                      .step = {.task_count = 9,
                               .need = {16000, 100, 0},
                               .checkpointed = true}};
    int b = CellSim_Submit(s.sim, &big);
    CellSim_Run(s.sim, 1000);
    int d = submit(&s, "quick", 1, 1, 5000);
    run_until_crash(&s, d);
    int before = CellSim_JobStarts(s.sim, b);
    if (outage)
        CellSim_SetStoreAvailable(s.sim, false);
    CellSim_Run(s.sim, 15000);
    if (outage)
        CellSim_SetStoreAvailable(s.sim, true);
    printf("\n  preempt outage=%d batch starts before=%d after=%d running=%d "
           "deadly starts=%d\n",
           outage, before, CellSim_JobStarts(s.sim, b),
           CellSim_JobRunning(s.sim, b), CellSim_JobStarts(s.sim, d));
    CU_ASSERT_TRUE(CellSim_JobStarts(s.sim, b) - before <= 3);
    destroy_scene(&s);
}

static void
test_preemption_for_a_held_suspect(void)
{
    preempt_for_suspect(false);
    preempt_for_suspect(true);
}

static void
end_before_judgement(int64_t after_return, bool gang, uint32_t tasks)
{
    Scene s = create_scene(&SETTINGS);
    CellSimJob job = {
        .queue = "batch",
        .team = "a",
        .run_ms = 5000,
        .step = {.task_count = tasks, .need = {1000, 100, 0}, .gang = gang},
        .deadly_tasks = 1,
        .crash_after_ms = CRASH_AFTER_MS};
    int deadly = CellSim_Submit(s.sim, &job);
    while (run_until_crash(&s, deadly)) {
        if (CellSim_TaskCrashes(s.sim, deadly, 0) >= 3 &&
            CellSim_CanTakeOver(s.sim)) {
            CellSim_Run(s.sim, WORKER_BACK_MS + after_return);
            replace_owner(&s);
        }
    }
    run_until_given_up(&s, deadly, LONG_GIVE_UP_MS);
    printf(
        "\n  judge after=%d gang=%d crashes=%d starts=%d after3=%d state=%s\n",
        (int)after_return, gang, CellSim_TaskCrashes(s.sim, deadly, 0),
        CellSim_TaskStarts(s.sim, deadly, 0),
        CellSim_StartsAfterCrashes(s.sim, deadly),
        GfJobState_Name(CellSim_JobState(s.sim, deadly)));
    CU_ASSERT_TRUE(CellSim_StartsAfterCrashes(s.sim, deadly) <=
                   MAX_FURTHER_STARTS);
    CU_ASSERT_EQUAL(CellSim_JobState(s.sim, deadly), GF_JOB_GIVEN_UP);
    destroy_scene(&s);
}

static void
test_owner_ends_before_judgement(void)
{
    end_before_judgement(150, false, 1);
    end_before_judgement(200, false, 1);
}

/* Runs until the store names a worker for the next start of a job that runs
 * nowhere, and ends the owner and that worker before the start arrives.
 * Returns the worker. */
static int
end_before_start(const Scene *s, int job)
{
    int worker = -1;
    for (int t = 0; t < 2000 && worker < 0; t++) {
        CellSim_Run(s->sim, CELL_SIM_STEP_MS);
        worker = CellSim_NamedWorker(s->sim, job);
    }
    CU_ASSERT_FATAL(worker >= 0);
    CU_ASSERT_EQUAL(CellSim_JobRunning(s->sim, job), 0);
    CellSim_KillOwner(s->sim, CellSim_Owner(s->sim));
    CellSim_CrashWorker(s->sim, worker);
    return worker;
}

/* A worker crashes under a job. The workers meant for its next starts crash
 * too, each together with the owner and before the start arrives. */
static void
test_workers_that_never_ran_the_job(void)
{
    Scene s = create_scene(&SETTINGS);
    int job = submit(&s, "batch", 1, 0, 3000);
    CellSim_Run(s.sim, 500);
    int worker = CellSim_JobWorker(s.sim, job);
    CellSim_CrashWorker(s.sim, worker);
    CellSim_Run(s.sim, 1000);
    CellSim_RestartWorker(s.sim, worker);
    for (int i = 0; i < 2; i++) {
        worker = end_before_start(&s, job);
        CellSim_Run(s.sim, 300);
        CellSim_TakeOver(s.sim);
        CellSim_Run(s.sim, 700);
        CellSim_RestartWorker(s.sim, worker);
    }
    CellSim_Run(s.sim, 30000);
    printf("\n  starts=%d crashes under it=%d state=%s\n",
           CellSim_JobStarts(s.sim, job), CellSim_TaskCrashes(s.sim, job, 0),
           GfJobState_Name(CellSim_JobState(s.sim, job)));
    CU_ASSERT_EQUAL(CellSim_TaskCrashes(s.sim, job, 0), 1);
    CU_ASSERT_EQUAL(CellSim_JobState(s.sim, job), GF_JOB_COMPLETED);
    destroy_scene(&s);
}

static void
test_return_under_new_ids(void)
{
    return_under_new_ids = true;
    test_alone();
    test_alone_back_after_lease();
    test_alone_long_running();
    test_beside_innocent_tasks();
    test_several_deadly_jobs();
    test_owner_replaced_after_crash();
    test_owner_replaced_after_return();
    return_under_new_ids = false;
}

/* Crashes the worker of a serving task once, while batch work waits for all
 * processors. The worker returns, without processors if shrunk is set, so that
 * the task needs preempted capacity. */
static void
restart_in_full_fleet(bool shrunk, bool overload_order)
{
    enum { JOBS = 20, TASKS = 4, BATCH_RUN_MS = 8000 };
    CellSimSettings settings = SETTINGS;
    settings.checkpoints = true;
    settings.features.overload_order = overload_order;
    Scene s = create_scene(&settings);
    CellSimJob serving = {.queue = "watch",
                          .team = "a",
                          .step = {.task_count = 1,
                                   .need = {16000, 100, 0},
                                   .long_running = true}};
    int j = CellSim_Submit(s.sim, &serving);
    CellSim_Run(s.sim, 500);
    CellSimJob batch = {.queue = "batch",
                        .team = "b",
                        .run_ms = BATCH_RUN_MS,
                        .step = {.task_count = TASKS,
                                 .need = {8000, 100, 0},
                                 .checkpointed = true}};
    int jobs[JOBS];
    for (int i = 0; i < JOBS; i++) {
        jobs[i] = CellSim_Submit(s.sim, &batch);
    }
    CellSim_Run(s.sim, 2000);
    int w = CellSim_JobWorker(s.sim, j);
    CU_ASSERT_TRUE_FATAL(w >= 0);
    int64_t crashed_ms = CellSim_NowMs(s.sim);
    CellSim_CrashWorker(s.sim, w);
    CellSim_Run(s.sim, WORKER_BACK_MS);
    if (shrunk) {
        CellSim_SetCapacity(s.sim, w, 0);
    }
    CellSim_RestartWorker(s.sim, w);
    while (CellSim_JobRunning(s.sim, j) == 0 &&
           CellSim_NowMs(s.sim) - crashed_ms < LONG_GIVE_UP_MS) {
        CellSim_Run(s.sim, CELL_SIM_STEP_MS);
    }
    int64_t away_ms = CellSim_NowMs(s.sim) - crashed_ms;
    printf("\n  shrunk=%d overload_order=%d serving again after %lld ms\n",
           shrunk, overload_order, (long long)away_ms);
    CU_ASSERT_EQUAL(CellSim_JobRunning(s.sim, j), 1);
    CU_ASSERT_TRUE(away_ms <= SERVING_BACK_MS);
    CellSim_Run(s.sim, 60000);
    check_completed(&s, jobs, JOBS, TASKS);
    destroy_scene(&s);
}

static void
test_serving_suspect_in_full_fleet(void)
{
    restart_in_full_fleet(false, false);
    restart_in_full_fleet(true, false);
    restart_in_full_fleet(false, true);
    restart_in_full_fleet(true, true);
}

static const SuiteTest TESTS[] = {
    {"job given up for workers that it never ran on",
     test_workers_that_never_ran_the_job},
    {"deadly task crashes workers for ever", test_alone},
    {"deadly task is not counted if workers return after their lease",
     test_alone_back_after_lease},
    {"deadly long-running task crashes workers for ever",
     test_alone_long_running},
    {"deadly task of an advised queue crashes workers for ever",
     test_alone_advised},
    {"innocent tasks are given up for a deadly one beside them",
     test_beside_innocent_tasks},
    {"innocent tasks are given up if workers return after their lease",
     test_beside_innocent_tasks_back_after_lease},
    {"several deadly jobs crash the fleet", test_several_deadly_jobs},
    {"crash count is lost if the owner ends right after the crash",
     test_owner_replaced_after_crash},
    {"crash count is lost if the owner ends after the worker's return",
     test_owner_replaced_after_return},
    {"crash count is lost if owners end after the crash and the return",
     test_owner_replaced_after_crash_and_return},
    {"crash count is lost if the store is unavailable",
     test_owner_replaced_in_outage},
    {"crash count is lost if the store fails before the crash",
     test_owner_replaced_in_outage_before_crash},
    {"jobs are given up for workers that crash by themselves",
     test_workers_crash_by_themselves},
    {"jobs are given up for one bad worker", test_bad_worker},
    {"isolated workers are counted as crashed", test_isolated_workers},
    {"crashes are not counted if workers return under new ids",
     test_return_under_new_ids},
    {"serving suspects keep workers for themselves",
     test_serving_suspects_keep_workers},
    {"restart waits for the store after an unseen crash",
     test_restart_waits_for_the_store},
    {"planned leave is counted as a crash at a takeover",
     test_planned_leave_at_takeover},
    {"long cuts are counted as crashes", test_long_cuts},
    {"batch is preempted for a suspect that may not start",
     test_preemption_for_a_held_suspect},
    {"crash count is not judged if the owner ends first",
     test_owner_ends_before_judgement},
    {"other work takes the capacity for a suspect while its row is stored",
     test_serving_suspect_in_full_fleet}};

SUITE_MAIN("cell crash", TESTS)
