/* Learning the speeds of workers. These tests guard against workers that are
 * taken as slow although only their tasks are long or wrongly estimated, so
 * that good workers are left unused; against slow and stuck workers that are
 * found too late; and against a belief that outlasts its cause. Fleets are
 * drawn at random, and their true speeds are known to the test. */
#include "guavaflow/worker_speed.h"

#include <math.h>
#include <stdlib.h>

#include "guavaflow/clock.h"
#include "suite.h"

#define WORKERS 300
#define SLOTS 4       /* runs on each worker */
#define STEP_TASKS 10 /* tasks that share an estimate */
#define TICK_MS 10
#define INVENTORY_MS 500
#define SLOW_EVERY 6 /* one worker in this many becomes slow */
#define SLOW_FACTOR 7.5
#define LONG_SHARE 0.03
#define LONG_FACTOR 7
#define MAX_ESTIMATE_ERROR 1.9
#define SEEDS 20
#define STEPS 64 /* that get new tasks at a time */
/* Jobs of the quickest queues take less than a second: of the slow workers
 * most must be known within two seconds, and few others be doubted. */
#define FIND_MS 2000
#define MIN_FOUND_PERCENT 90
#define MAX_FALSE_PERCENT 2

/* A step of which tasks are drawn. */
typedef struct {
    uint64_t number;
    int64_t estimate_ms;
    double work_ms; /* of a task of usual length */
    int left;       /* tasks not drawn yet */
    bool ran_well;
} FleetStep;

/* A run on a worker. */
typedef struct {
    FleetStep step; /* as of the start; ran_well is that of the fleet's */
    int at;         /* index of the fleet's step */
    double work_ms;
    double done_ms;
    GfRunProgress progress;
} FleetRun;

/* A worker, and what is believed of it. */
typedef struct {
    GfWorkerSpeed speed;
    double true_speed;
    FleetRun runs[SLOTS];
    int64_t next_inventory_ms;
} FleetWorker;

/* A fleet and the time in ms. */
typedef struct {
    FleetWorker workers[WORKERS];
    FleetStep steps[STEPS];
    GfSpeedKinds kinds;
    GfSpeedKind *kind_of[WORKERS];
    uint64_t step_count;
    uint64_t random_state;
    int64_t now_ms;
} Fleet;

/* Returns the next pseudorandom number in [0, 1). */
static double
draw(Fleet *fleet)
{
    fleet->random_state =
        fleet->random_state * 6364136223846793005ULL + 1442695040888963407ULL;
    return (double)(fleet->random_state >> 40U) / (double)(1U << 24U);
}

/* Starts the next task of a random step in a slot. */
static void
start_run(Fleet *fleet, FleetRun *run)
{
    int at = (int)(draw(fleet) * STEPS);
    FleetStep *step = &fleet->steps[at];
    if (step->left == 0) {
        double off = exp((2 * draw(fleet) - 1) * log(MAX_ESTIMATE_ERROR));
        *step = (FleetStep){.number = ++fleet->step_count,
                            .work_ms = 400 + 4000 * draw(fleet),
                            .left = STEP_TASKS};
        step->estimate_ms = (int64_t)(step->work_ms * off);
    }
    step->left--;
    *run = (FleetRun){.step = *step, .at = at, .work_ms = step->work_ms};
    if (draw(fleet) < LONG_SHARE) {
        run->work_ms *= LONG_FACTOR;
    }
    GfRunProgress_Begin(&run->progress, false, fleet->now_ms);
}

/* Creates a fleet whose workers are of the kinds a, a and b, b being 1.3 times
 * as fast. */
static Fleet *
create_fleet(uint64_t seed)
{
    Fleet *fleet = calloc(1, sizeof(*fleet));
    fleet->random_state = seed * 2654435761U + 1;
    fleet->now_ms = 1000;
    for (int i = 0; i < WORKERS; i++) {
        FleetWorker *w = &fleet->workers[i];
        GfName kind = GfName_Format("%c", i % 3 == 2 ? 'b' : 'a');
        fleet->kind_of[i] = GfSpeedKinds_Find(&fleet->kinds, &kind);
        w->true_speed = i % 3 == 2 ? 1.3 : 1;
        w->next_inventory_ms =
            fleet->now_ms + (int64_t)(draw(fleet) * INVENTORY_MS);
        for (int k = 0; k < SLOTS; k++) {
            start_run(fleet, &w->runs[k]);
        }
    }
    return fleet;
}

/* Applies an inventory of a worker; a slot whose run has completed gets the
 * next one. */
static void
take_inventory(Fleet *fleet, int worker)
{
    FleetWorker *w = &fleet->workers[worker];
    GfSpeedKind *kind = fleet->kind_of[worker];
    struct timespec now = GfTime_FromMs(fleet->now_ms);
    GfWorkerSpeed_BeginInventory(&w->speed, kind, now);
    for (int k = 0; k < SLOTS; k++) {
        FleetRun *run = &w->runs[k];
        FleetStep *step = &fleet->steps[run->at];
        bool same = step->number == run->step.number;
        GfSpeedSample sample = {.step = run->step.number,
                                .step_ran_well = same && step->ran_well};
        if (run->done_ms >= run->work_ms) {
            if (GfRunProgress_Complete(&run->progress, run->step.estimate_ms,
                                       fleet->now_ms, &sample)) {
                GfWorkerSpeed_ObserveEnd(&w->speed, &sample);
            }
            start_run(fleet, run);
        }
        else if (GfRunProgress_Measure(
                     &run->progress, run->step.estimate_ms,
                     (int)(run->done_ms * 100 / run->work_ms), fleet->now_ms,
                     &sample) &&
                 GfWorkerSpeed_Observe(&w->speed, kind, &run->progress,
                                       &sample, now) &&
                 same) {
            step->ran_well = true;
        }
    }
    GfWorkerSpeed_EndInventory(&w->speed, now);
    w->next_inventory_ms = fleet->now_ms + INVENTORY_MS;
}

/* Runs a fleet for some ms. A worker lists its runs each INVENTORY_MS, and
 * when one of them completes. */
static void
run_fleet(Fleet *fleet, int64_t ms)
{
    for (int64_t end = fleet->now_ms + ms; fleet->now_ms < end;) {
        fleet->now_ms += TICK_MS;
        for (int i = 0; i < WORKERS; i++) {
            FleetWorker *w = &fleet->workers[i];
            bool completed = false;
            for (int k = 0; k < SLOTS; k++) {
                w->runs[k].done_ms += TICK_MS * w->true_speed;
                completed |= w->runs[k].done_ms >= w->runs[k].work_ms;
            }
            if (completed || fleet->now_ms >= w->next_inventory_ms) {
                take_inventory(fleet, i);
            }
        }
    }
}

/* Returns the percentage of workers that are doubted, of those with this
 * remainder by SLOW_EVERY or, if others is set, of the rest. */
static double
doubted_percent(const Fleet *fleet, bool others)
{
    int count = 0;
    int doubted = 0;
    for (int i = 0; i < WORKERS; i++) {
        if ((i % SLOW_EVERY != 0) == others) {
            count++;
            doubted += GfWorkerSpeed_State(&fleet->workers[i].speed,
                                           GfTime_FromMs(fleet->now_ms)) !=
                       GF_SPEED_TRUSTED;
        }
    }
    return 100.0 * doubted / count;
}

/* Multiplies the speeds of one worker in SLOW_EVERY. */
static void
change_speeds(Fleet *fleet, double factor)
{
    for (int i = 0; i < WORKERS; i += SLOW_EVERY) {
        fleet->workers[i].true_speed *= factor;
    }
}

/* Some workers become slow: most are found soon, few others are doubted
 * meanwhile, and all are trusted again soon after. */
static void
test_slow_workers_are_found(void)
{
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        Fleet *fleet = create_fleet(seed);
        run_fleet(fleet, 10000);
        change_speeds(fleet, 1 / SLOW_FACTOR);
        run_fleet(fleet, FIND_MS);
        double found = doubted_percent(fleet, false);
        double wrong = doubted_percent(fleet, true);
        CU_ASSERT_TRUE(found >= MIN_FOUND_PERCENT);
        CU_ASSERT_TRUE(wrong <= MAX_FALSE_PERCENT);
        run_fleet(fleet, 4000);
        double still_found = doubted_percent(fleet, false);
        change_speeds(fleet, SLOW_FACTOR);
        run_fleet(fleet, FIND_MS);
        double left = doubted_percent(fleet, false);
        CU_ASSERT_TRUE(still_found >= MIN_FOUND_PERCENT);
        CU_ASSERT_TRUE(left <= 100 - MIN_FOUND_PERCENT);
        free(fleet);
    }
}

/* No worker is slow, but tasks are long and estimates wrong: few workers are
 * doubted at any time, and usual speeds are learned. */
static void
test_long_tasks_and_wrong_estimates(void)
{
    Fleet *fleet = create_fleet(7);
    double sum = 0;
    int looks = 0;
    for (int i = 0; i < 120; i++) {
        run_fleet(fleet, INVENTORY_MS);
        sum += doubted_percent(fleet, true);
        looks++;
    }
    CU_ASSERT_TRUE(sum / looks <= MAX_FALSE_PERCENT);
    double ratio =
        exp(fleet->kind_of[2]->log_speed) / exp(fleet->kind_of[0]->log_speed);
    CU_ASSERT_DOUBLE_EQUAL(ratio, 1.3, 0.15);
    free(fleet);
}

/* Applies an inventory with a single run. */
static void
list_run(GfWorkerSpeed *speed, GfSpeedKind *kind, FleetRun *run, int percent,
         int64_t now_ms)
{
    struct timespec now = GfTime_FromMs(now_ms);
    GfSpeedSample sample = {.step = run->step.number};
    GfWorkerSpeed_BeginInventory(speed, kind, now);
    if (GfRunProgress_Measure(&run->progress, run->step.estimate_ms, percent,
                              now_ms, &sample)) {
        GfWorkerSpeed_Observe(speed, kind, &run->progress, &sample, now);
    }
    GfWorkerSpeed_EndInventory(speed, now);
}

/* A single task that takes ten times as long as estimated does not brand its
 * worker, however often it is listed. */
static void
test_single_long_task(void)
{
    GfWorkerSpeed speed = {0};
    GfSpeedKind kind = {0};
    FleetRun run = {.step = {.number = 1, .estimate_ms = 1000}};
    GfRunProgress_Begin(&run.progress, false, 1000);
    for (int i = 1; i <= 20; i++) {
        list_run(&speed, &kind, &run, i * 5, 1000 + i * 500);
        CU_ASSERT_EQUAL(
            GfWorkerSpeed_State(&speed, GfTime_FromMs(1000 + i * 500)),
            GF_SPEED_TRUSTED);
    }
}

/* A belief for which there is no new evidence turns into probation, in which
 * one slow run is enough to renew it and one run of usual speed to drop it;
 * otherwise it is forgotten. */
static void
test_belief_ages(void)
{
    GfWorkerSpeed speed = {0};
    GfSpeedKind kind = {0};
    for (uint64_t i = 1; i <= 2; i++) {
        FleetRun run = {.step = {.number = i, .estimate_ms = 1000}};
        GfRunProgress_Begin(&run.progress, false, 1000);
        list_run(&speed, &kind, &run, 6, 1500);
    }
    CU_ASSERT_EQUAL(GfWorkerSpeed_State(&speed, GfTime_FromMs(1600)),
                    GF_SPEED_SLOW);
    CU_ASSERT_TRUE(GfWorkerSpeed_At(&speed, GfTime_FromMs(1600)) < 0.2);
    CU_ASSERT_EQUAL(GfWorkerSpeed_State(&speed, GfTime_FromMs(5000)),
                    GF_SPEED_PROBATION);
    CU_ASSERT_EQUAL(GfWorkerSpeed_State(&speed, GfTime_FromMs(9000)),
                    GF_SPEED_TRUSTED);
    GfWorkerSpeed renewed = speed;
    FleetRun probe = {.step = {.number = 3, .estimate_ms = 1000}};
    GfRunProgress_Begin(&probe.progress, false, 5000);
    list_run(&renewed, &kind, &probe, 6, 5500);
    CU_ASSERT_EQUAL(GfWorkerSpeed_State(&renewed, GfTime_FromMs(5600)),
                    GF_SPEED_SLOW);
    GfRunProgress_Begin(&probe.progress, false, 5000);
    list_run(&speed, &kind, &probe, 50, 5500);
    CU_ASSERT_EQUAL(GfWorkerSpeed_State(&speed, GfTime_FromMs(5600)),
                    GF_SPEED_TRUSTED);
}

/* A worker of whose runs none advances is told apart from a slow one. */
static void
test_standing_worker(void)
{
    Fleet *fleet = create_fleet(9);
    run_fleet(fleet, 5000);
    change_speeds(fleet, 0);
    run_fleet(fleet, FIND_MS);
    int standing = 0;
    for (int i = 0; i < WORKERS; i += SLOW_EVERY) {
        standing += GfWorkerSpeed_State(&fleet->workers[i].speed,
                                        GfTime_FromMs(fleet->now_ms)) ==
                    GF_SPEED_STILL;
    }
    CU_ASSERT_TRUE(standing * 100 >= WORKERS / SLOW_EVERY * MIN_FOUND_PERCENT);
    CU_ASSERT_TRUE(doubted_percent(fleet, true) <= MAX_FALSE_PERCENT);
    free(fleet);
}

/* One loss does not make a worker unsteady, a second one soon after does, for
 * some seconds; a restart keeps that and forgets the speed. */
static void
test_unsteady_worker(void)
{
    GfWorkerSpeed speed = {.speed = 2};
    GfWorkerSpeed_Lost(&speed, GfTime_FromMs(1000));
    CU_ASSERT_FALSE(GfWorkerSpeed_IsUnsteady(&speed, GfTime_FromMs(1100)));
    GfWorkerSpeed_Restart(&speed, GfTime_FromMs(3800));
    CU_ASSERT_TRUE(GfWorkerSpeed_IsUnsteady(&speed, GfTime_FromMs(3900)));
    CU_ASSERT_EQUAL(GfWorkerSpeed_At(&speed, GfTime_FromMs(3900)), 1);
    CU_ASSERT_FALSE(GfWorkerSpeed_IsUnsteady(&speed, GfTime_FromMs(10000)));
}

static const SuiteTest TESTS[] = {
    {"slow workers are found", test_slow_workers_are_found},
    {"long tasks and wrong estimates", test_long_tasks_and_wrong_estimates},
    {"single long task", test_single_long_task},
    {"belief ages", test_belief_ages},
    {"standing worker", test_standing_worker},
    {"unsteady worker", test_unsteady_worker}};

SUITE_MAIN("worker_speed", TESTS)
