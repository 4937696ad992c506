/* A cell whose workers are of uneven speed. These tests guard against jobs
 * that are late as their tasks run on workers that have become slow, have
 * stopped working or come and go: such a worker has free capacity more often
 * than others, and gets tasks for it. They also guard against what the remedy
 * may break: tasks that run twice, and workers that are left unused for good.
 * Each runs the same load with the part on and off (decide/worker_speed.c,
 * speed.c, move.c). */
#include "guavaflow/cell.h"

#include "cell_sim.h"
#include "guavaflow/log.h"
#include "suite.h"

#define WORKERS 30
/* One worker in SLOW_EVERY is slow: a quick job may take at most
 * MAX_SLOWDOWN_PERCENT of its mean time on a fleet without slow workers. */
#define SLOW_EVERY 5
#define SLOW_SPEED (1 / 7.0)
#define MAX_SLOWDOWN_PERCENT 115
#define PHASE_MS 6000 /* for which workers are slow */
#define FLAP_MS 1400  /* for which a worker is down, then up */
#define QUICK_MS 640
#define BATCH_MS 4800
#define MAX_JOBS 2000
#define SEEDS 30
/* A job with free capacity has to start within 3 s, with a second for other
 * delays. */
#define MAX_START_MS 2000
#define LEAD_MS 70
#define UNFINISHED_MS 30000 /* counted for a job that does not complete */

/* What happens to the fleet. */
typedef struct {
    double speed;       /* of the slow workers */
    bool flapping;      /* in place of slow, they crash and come back */
    bool takeovers;     /* the owner is replaced in the middle of a phase */
    bool kinds;         /* every third worker is of a kind of speed 1.3 */
    double lose_answer; /* share of lost answers */
    int runs;           /* 0: one; others begin LEAD_MS later each */
} Scenario;

/* What the quick jobs that came in slow phases got. */
typedef struct {
    int mean_ms;
    int unfinished;
} Result;

/* A simulation and its quick jobs. */
typedef struct {
    CellSim *sim;
    GfCellConfig *config;
    int jobs[MAX_JOBS];
    int count;
    bool kinds; /* as in the scenario */
} Fleet;

/* Sets the speeds of one worker in every few, from worker first on, to a part
 * of that of their kind. */
static void
set_speeds(const Fleet *fleet, int first, int every, double part)
{
    for (int i = first; i < WORKERS; i += every) {
        bool quicker = fleet->kinds && i % 3 == 2;
        CellSim_SetSpeed(fleet->sim, i, part * (quicker ? 1.3 : 1));
    }
}

/* Creates a fleet with an owner. */
static Fleet
create_fleet(bool on, const Scenario *scenario)
{
    GfLog_SetLevel(GF_LOG_ERROR);
    CellSimSettings settings = {.workers = WORKERS,
                                .mcores = 32000,
                                .memory_mb = 128000,
                                .rack_size = 6,
                                .callers = 6,
                                .latency_ms = 2,
                                .checkpoints = true,
                                .lose_answer = scenario->lose_answer,
                                .features.worker_speeds = on,
                                .seed = 5};
    Fleet fleet = {.config = CellSim_MakeConfig(0), .kinds = scenario->kinds};
    fleet.sim = CellSim_Create(&settings, fleet.config);
    set_speeds(&fleet, 0, 1, 1);
    CellSim_TakeOver(fleet.sim);
    CellSim_Run(fleet.sim, 300);
    return fleet;
}

/* Submits a quick job of several tasks, of which some take long, with a wrong
 * estimate. */
static void
submit_quick(Fleet *fleet)
{
    static const double OFF[] = {0.53, 0.75, 1, 1.35, 1.9};
    double off = OFF[fleet->count % (int)(sizeof(OFF) / sizeof(OFF[0]))];
    CellSimJob job = {.queue = "quick",
                      .team = "a",
                      .run_ms = QUICK_MS,
                      .estimate_ms = (int64_t)(QUICK_MS * off),
                      .long_share = 0.03,
                      .long_factor = 7,
                      .step = {.task_count = 4, .need = {4500, 1000, 0}}};
    fleet->jobs[fleet->count++] = CellSim_Submit(fleet->sim, &job);
}

/* Submits a batch job with checkpoints; returns its number. */
static int
submit_batch(Fleet *fleet, uint32_t tasks)
{
    CellSimJob job = {.queue = "batch",
                      .team = "b",
                      .run_ms = BATCH_MS,
                      .step = {.task_count = tasks,
                               .need = {9000, 4000, 0},
                               .checkpointed = true}};
    return CellSim_Submit(fleet->sim, &job);
}

/* Runs a load that uses about seven tenths of the fleet. */
static void
run_load(Fleet *fleet, int64_t ms)
{
    for (int64_t t = 0; t < ms; t += 50) {
        submit_quick(fleet);
        if (t % 500 == 0) {
            submit_batch(fleet, 5);
        }
        CellSim_Run(fleet->sim, 50);
    }
}

/* Returns what some quick jobs got. */
static Result
judge(const Fleet *fleet, const int *jobs, int count)
{
    Result result = {0};
    int64_t sum_ms = 0;
    for (int i = 0; i < count; i++) {
        int64_t ms = CellSim_FinishedAfterMs(fleet->sim, jobs[i]);
        result.unfinished += ms < 0;
        sum_ms += ms < 0 ? UNFINISHED_MS : ms;
    }
    result.mean_ms = (int)(sum_ms / count);
    return result;
}

/* Checks that no invariant was violated, and frees the simulation. */
static void
finish_fleet(Fleet *fleet)
{
    CU_ASSERT_PTR_NULL(CellSim_Violation(fleet->sim));
    CellSim_Destroy(fleet->sim);
    GfCellConfig_Destroy(fleet->config);
}

/* Runs the load while one worker in SLOW_EVERY is slow. */
static void
run_slow_phase(Fleet *fleet, int first, const Scenario *scenario)
{
    set_speeds(fleet, first, SLOW_EVERY, scenario->speed);
    run_load(fleet, PHASE_MS / 2);
    if (scenario->takeovers) {
        CellSim_TakeOver(fleet->sim);
    }
    run_load(fleet, PHASE_MS / 2);
    set_speeds(fleet, first, SLOW_EVERY, 1);
}

/* Runs the load while one worker in SLOW_EVERY crashes and comes back. */
static void
run_flapping_phase(Fleet *fleet, int first)
{
    for (int64_t t = 0; t < PHASE_MS; t += 2 * FLAP_MS) {
        for (int i = first; i < WORKERS; i += SLOW_EVERY) {
            CellSim_CrashWorker(fleet->sim, i);
        }
        run_load(fleet, FLAP_MS);
        for (int i = first; i < WORKERS; i += SLOW_EVERY) {
            CellSim_RestartWorker(fleet->sim, i);
        }
        run_load(fleet, FLAP_MS);
    }
}

/* Runs a scenario of SLOW_EVERY phases, with other workers each time and 2 s
 * between them. The first one begins after lead_ms more than usual. Returns
 * what the quick jobs of the phases got. */
static Result
run_scenario(bool on, const Scenario *scenario, int64_t lead_ms)
{
    Fleet fleet = create_fleet(on, scenario);
    int slow[MAX_JOBS];
    int count = 0;
    run_load(&fleet, 3000 + lead_ms);
    for (int phase = 0; phase < SLOW_EVERY; phase++) {
        int from = fleet.count;
        if (scenario->flapping) {
            run_flapping_phase(&fleet, phase);
        }
        else {
            run_slow_phase(&fleet, phase, scenario);
        }
        for (int i = from; i < fleet.count; i++) {
            slow[count++] = fleet.jobs[i];
        }
        run_load(&fleet, 2000);
    }
    CellSim_Run(fleet.sim, 20000);
    Result result = judge(&fleet, slow, count);
    finish_fleet(&fleet);
    return result;
}

/* Checks that a scenario costs quick jobs no more than the target allows, in
 * each run, and that the part makes it cheaper over all runs. */
static void
check_scenario(const Scenario *scenario)
{
    static const Scenario EVEN = {.speed = 1};
    Result even = run_scenario(true, &EVEN, 0);
    int on_ms = 0;
    int off_ms = 0;
    for (int i = 0; i < scenario->runs || i == 0; i++) {
        Result off = run_scenario(false, scenario, i * LEAD_MS);
        Result on = run_scenario(true, scenario, i * LEAD_MS);
        CU_ASSERT_EQUAL(on.unfinished, 0);
        CU_ASSERT_TRUE(on.mean_ms * 100 <=
                       even.mean_ms * MAX_SLOWDOWN_PERCENT);
        on_ms += on.mean_ms;
        off_ms += off.mean_ms;
    }
    CU_ASSERT_TRUE(on_ms < off_ms);
}

/* Workers that become seven times slower for some seconds. */
static void
test_slow_workers(void)
{
    check_scenario(&(Scenario){.speed = SLOW_SPEED});
}

/* Workers on which no task advances for some seconds. */
static void
test_stuck_workers(void)
{
    check_scenario(&(Scenario){.speed = 0});
}

/* Workers that crash and come back by turns lose all that runs there. Which
 * runs these are differs between single runs by more than what the part
 * gains. */
static void
test_flapping_workers(void)
{
    check_scenario(&(Scenario){.flapping = true, .runs = 16});
}

/* The owner is replaced while workers are slow: the next one learns the speeds
 * anew, and no task runs twice. */
static void
test_owner_replaced(void)
{
    Scenario scenario = {.speed = SLOW_SPEED, .takeovers = true};
    Result off = run_scenario(false, &scenario, 0);
    Result on = run_scenario(true, &scenario, 0);
    CU_ASSERT_EQUAL(on.unfinished, 0);
    CU_ASSERT_TRUE(on.mean_ms < off.mean_ms);
}

/* One answer in ten is lost, so that inventories are old and the outcome of
 * orders is unknown: slow workers are found all the same. */
static void
test_lost_inventories(void)
{
    Scenario scenario = {.speed = SLOW_SPEED, .lose_answer = 0.1};
    Result off = run_scenario(false, &scenario, 0);
    Result on = run_scenario(true, &scenario, 0);
    CU_ASSERT_EQUAL(on.unfinished, 0);
    CU_ASSERT_TRUE(on.mean_ms < off.mean_ms);
}

/* A third of the workers is of a quicker kind: quick work is placed there
 * first, and takes less time. */
static void
test_quicker_kind(void)
{
    Scenario scenario = {.speed = 1, .kinds = true};
    Result off = run_scenario(false, &scenario, 0);
    Result on = run_scenario(true, &scenario, 0);
    CU_ASSERT_TRUE(on.mean_ms < off.mean_ms);
}

/* Starts two batch jobs of one task on the first workers and returns after
 * ms. */
static void
start_two(Fleet *fleet, int *jobs, int64_t ms)
{
    jobs[0] = submit_batch(fleet, 1);
    jobs[1] = submit_batch(fleet, 1);
    CellSim_Run(fleet->sim, ms);
}

/* Tasks with a checkpoint that cannot complete before their worker leaves are
 * moved in time, without loss; those that can complete stay. */
static void
test_short_notice(void)
{
    static const struct {
        int64_t after_ms;
        int starts;
    } CASES[] = {{2000, 2}, {4000, 1}};
    static const Scenario EVEN = {.speed = 1};
    for (size_t i = 0; i < sizeof(CASES) / sizeof(CASES[0]); i++) {
        Fleet fleet = create_fleet(true, &EVEN);
        int jobs[2];
        start_two(&fleet, jobs, CASES[i].after_ms);
        int worker = CellSim_JobWorker(fleet.sim, jobs[0]);
        CellSim_SetRemainingMs(fleet.sim, worker, 1800);
        CellSim_SetLeaving(fleet.sim, worker, true);
        CellSim_Run(fleet.sim, 1800);
        CellSim_CrashWorker(fleet.sim, worker);
        CellSim_Run(fleet.sim, 6000);
        int64_t ms = CellSim_FinishedAfterMs(fleet.sim, jobs[0]);
        CU_ASSERT_EQUAL(CellSim_JobStarts(fleet.sim, jobs[0]),
                        CASES[i].starts);
        CU_ASSERT_TRUE(ms > 0 && ms <= BATCH_MS + 1000);
        finish_fleet(&fleet);
    }
}

/* A task is moved off a slow worker once, not again when the next worker
 * becomes slow as well, and resumes there. */
static void
test_moved_once(void)
{
    static const Scenario EVEN = {.speed = 1};
    Fleet fleet = create_fleet(true, &EVEN);
    int jobs[2];
    start_two(&fleet, jobs, 1000);
    int first = CellSim_JobWorker(fleet.sim, jobs[0]);
    CU_ASSERT_EQUAL(CellSim_JobWorker(fleet.sim, jobs[1]), first);
    CellSim_SetSpeed(fleet.sim, first, SLOW_SPEED);
    CellSim_Run(fleet.sim, 4000);
    int second = CellSim_JobWorker(fleet.sim, jobs[0]);
    CU_ASSERT_NOT_EQUAL(second, first);
    CellSim_SetSpeed(fleet.sim, second, SLOW_SPEED);
    CellSim_Run(fleet.sim, 15000);
    CU_ASSERT_EQUAL(CellSim_JobStarts(fleet.sim, jobs[0]), 2);
    CU_ASSERT_EQUAL(CellSim_JobState(fleet.sim, jobs[0]), GF_JOB_COMPLETED);
    finish_fleet(&fleet);
}

/* Gangs and long-running tasks stay on a slow worker: the others of a gang
 * would be lost with a stopped one, and planned work may interrupt only few
 * long-running tasks. */
static void
test_tasks_that_stay(void)
{
    static const Scenario EVEN = {.speed = 1};
    Fleet fleet = create_fleet(true, &EVEN);
    CellSimJob gang = {.queue = "batch",
                       .team = "a",
                       .run_ms = BATCH_MS,
                       .step = {.task_count = 2,
                                .need = {1000, 100, 0},
                                .checkpointed = true,
                                .gang = true}};
    CellSimJob lasting = {.queue = "watch",
                          .team = "a",
                          .run_ms = QUICK_MS,
                          .step = {.task_count = 2,
                                   .need = {1000, 100, 0},
                                   .max_interrupted = 1,
                                   .long_running = true}};
    int staying[2] = {CellSim_Submit(fleet.sim, &gang),
                      CellSim_Submit(fleet.sim, &lasting)};
    int jobs[2];
    start_two(&fleet, jobs, 1000);
    set_speeds(&fleet, 0, 1, 1);
    for (int i = 0; i < 2; i++) {
        CellSim_SetSpeed(fleet.sim, CellSim_JobWorker(fleet.sim, staying[i]),
                         SLOW_SPEED);
    }
    CellSim_SetSpeed(fleet.sim, CellSim_JobWorker(fleet.sim, jobs[0]),
                     SLOW_SPEED);
    CellSim_Run(fleet.sim, 8000);
    CU_ASSERT_EQUAL(CellSim_JobStarts(fleet.sim, jobs[0]), 2);
    CU_ASSERT_EQUAL(CellSim_JobStarts(fleet.sim, staying[0]), 2);
    CU_ASSERT_EQUAL(CellSim_JobStarts(fleet.sim, staying[1]), 2);
    finish_fleet(&fleet);
}

/* All workers that suit a job are slow, and others free: the job waits for a
 * short time at most. */
static void
test_only_slow_workers_suit(void)
{
    static const Scenario EVEN = {.speed = 1};
    Fleet fleet = create_fleet(true, &EVEN);
    CellSimJob job = {.queue = "batch",
                      .team = "a",
                      .run_ms = 2 * BATCH_MS,
                      .step = {.task_count = WORKERS / 3,
                               .need = {1000, 100, 0},
                               .max_per_worker = 1,
                               .required_label = GfName_Format("b")}};
    CellSim_Submit(fleet.sim, &job);
    CellSim_Submit(fleet.sim, &job);
    CellSim_Run(fleet.sim, 1000);
    for (int i = 2; i < WORKERS; i += 3) {
        CellSim_SetSpeed(fleet.sim, i, 0); /* those with the label b */
    }
    CellSim_Run(fleet.sim, 5000);
    job.queue = "quick";
    job.run_ms = QUICK_MS;
    int number = CellSim_Submit(fleet.sim, &job);
    CellSim_Run(fleet.sim, 500);
    CU_ASSERT_EQUAL(CellSim_JobStarts(fleet.sim, number), 0);
    CellSim_Run(fleet.sim, MAX_START_MS - 500);
    CU_ASSERT_EQUAL(CellSim_JobStarts(fleet.sim, number), WORKERS / 3);
    finish_fleet(&fleet);
}

/* Workers change their speeds while orders are lost or late, the owner is
 * replaced and a worker is isolated: tasks are moved, none runs twice, no
 * limit is exceeded, and all jobs complete. */
static void
test_faults_at_random(void)
{
    for (uint32_t seed = 1; seed <= SEEDS; seed++) {
        CellSimSettings settings = {.workers = 8,
                                    .mcores = 16000,
                                    .memory_mb = 64000,
                                    .rack_size = 4,
                                    .callers = 4,
                                    .latency_ms = 2,
                                    .checkpoints = true,
                                    .lose_order = 0.02,
                                    .lose_answer = 0.03,
                                    .late_order = 0.02,
                                    .features.worker_speeds = true,
                                    .seed = seed};
        Fleet fleet = {.config = CellSim_MakeConfig(80000)};
        fleet.sim = CellSim_Create(&settings, fleet.config);
        CellSim_TakeOver(fleet.sim);
        CellSim_Run(fleet.sim, 300);
        for (int i = 0; i < 60; i++) {
            submit_quick(&fleet);
            if (i % 4 == 0) {
                fleet.jobs[fleet.count++] = submit_batch(&fleet, 2);
            }
            if (i % 10 == 0) {
                CellSim_SetSpeed(fleet.sim, (i / 10 + (int)seed) % 8,
                                 i % 20 == 0 ? SLOW_SPEED : 0);
            }
            if (i % 10 == 9) {
                CellSim_SetSpeed(fleet.sim, (i / 10 + (int)seed + 7) % 8, 1);
            }
            if (i == 20 || i == 40) {
                CellSim_TakeOver(fleet.sim);
            }
            CellSim_SetIsolated(fleet.sim, (int)seed % 8, i >= 25 && i < 35);
            CellSim_Run(fleet.sim, 200);
        }
        for (int i = 0; i < settings.workers; i++) {
            CellSim_SetSpeed(fleet.sim, i, 1);
        }
        CellSim_Run(fleet.sim, 60000);
        CU_ASSERT_EQUAL(judge(&fleet, fleet.jobs, fleet.count).unfinished, 0);
        finish_fleet(&fleet);
    }
}

static const SuiteTest TESTS[] = {
    {"slow workers", test_slow_workers},
    {"stuck workers", test_stuck_workers},
    {"flapping workers", test_flapping_workers},
    {"owner replaced", test_owner_replaced},
    {"lost inventories", test_lost_inventories},
    {"quicker kind", test_quicker_kind},
    {"short notice", test_short_notice},
    {"task is moved once", test_moved_once},
    {"tasks that stay", test_tasks_that_stay},
    {"only slow workers suit", test_only_slow_workers_suit},
    {"faults at random", test_faults_at_random}};

SUITE_MAIN("uneven_workers", TESTS)
