/* The scheduler's decisions under load. Each test generates the load that one
 * module is meant to handle (named in parentheses) and checks what submitters
 * get. They guard against jobs that are late or lost because scarce capacity,
 * limits or advice callers go to the wrong work, and because failing workers
 * are used on. The bound is the stated target: 70 percent of the jobs of the
 * worst kind and of the worst team complete in time. */
#include "guavaflow/cell.h"

#include <stdio.h>
#include <stdlib.h>

#include "cell_sim.h"
#include "guavaflow/log.h"
#include "suite.h"

/* Initializers of the features that are on; the build also makes this program
 * with others than the default. */
#ifndef FEATURES
#define FEATURES .overload_order = false
#endif
#define TARGET_PERCENT 70
/* Without regard to failures, a quarter of the starts would fall on failing
 * workers here; excluding those must save at least half of that. */
#define MAX_REPEATED_TASKS_PERCENT 12
/* Users measure availability, the share of jobs that complete at all, in
 * nines: with a third of the workers failing at once, at most one job in
 * twenty may be lost. */
#define MAX_LOST_JOBS_PERCENT 5
#define MAX_TRACKED 600
/* A backlog of jobs that need slow advice, and how long their requests take
 * with one caller. */
#define BACKLOG_JOBS 30
#define BACKLOG_MS (BACKLOG_JOBS * 500)

static const CellSimSettings FLEET = {.workers = 24,
                                      .mcores = 32000,
                                      .memory_mb = 128000,
                                      .rack_size = 6,
                                      .callers = 6,
                                      .latency_ms = 2,
                                      .seed = 3,
                                      .features = {FEATURES}};

/* A simulation, and the jobs whose completion times are checked. */
typedef struct {
    CellSim *sim;
    GfCellConfig *config;
    int jobs[MAX_TRACKED];
    int count;
} Load;

/* Creates a simulation with an owner and lets it settle for 300 ms. limit is
 * each team's, in mcores; 0: none. */
static Load
create_load(const CellSimSettings *settings, int64_t limit)
{
    GfLog_SetLevel(GF_LOG_ERROR);
    Load load = {.config = CellSim_MakeConfig(limit)};
    load.sim = CellSim_Create(settings, load.config);
    CellSim_TakeOver(load.sim);
    CellSim_Run(load.sim, 300);
    return load;
}

/* Submits a job of one step, which has checkpoints if it runs for more than
 * 2 s. tracked: its completion time is checked. */
static void
submit(Load *load, bool tracked, const char *queue, const char *team,
       uint32_t tasks, int64_t mcores, int64_t run_ms)
{
    CellSimJob job = {.queue = queue,
                      .team = team,
                      .run_ms = run_ms,
                      .steps = 1,
                      .step = {.task_count = tasks,
                               .need = {mcores, 100, 0},
                               .checkpointed = run_ms > 2000}};
    int number = CellSim_Submit(load->sim, &job);
    if (tracked) {
        load->jobs[load->count++] = number;
    }
}

/* Returns the percentage of tracked jobs that completed within this time after
 * their submission. */
static int
percent_within(const Load *load, int64_t ms)
{
    int good = 0;
    for (int i = 0; i < load->count; i++) {
        int64_t after = CellSim_FinishedAfterMs(load->sim, load->jobs[i]);
        good += after >= 0 && after <= ms;
    }
    return load->count == 0 ? 0 : good * 100 / load->count;
}

/* Checks that no invariant was violated, and frees the simulation. */
static void
finish_load(Load *load)
{
    CU_ASSERT_PTR_NULL(CellSim_Violation(load->sim));
    CellSim_Destroy(load->sim);
    GfCellConfig_Destroy(load->config);
}

/* A burst of quick jobs comes while batch jobs fill the fleet: they must
 * preempt batch tasks (preempt.c) and go before those that wait (order.c). */
static void
test_quick_burst_on_full_fleet(void)
{
    Load load = create_load(&FLEET, 0);
    for (int i = 0; i < 40; i++) {
        submit(&load, false, "batch", "a", 12, 8000, 8000);
    }
    CellSim_Run(load.sim, 1500);
    for (int i = 0; i < 60; i++) {
        submit(&load, true, "quick", "b", 6, 4000, 500);
        CellSim_Run(load.sim, 50);
    }
    CellSim_Run(load.sim, 6000);
    /* The objective: 1.5 times the run time of 500 ms, plus 250 ms. */
    CU_ASSERT_TRUE(percent_within(&load, 1000) >= TARGET_PERCENT);
    finish_load(&load);
}

/* A team whose batch jobs reach its limit submits quick jobs all the time: its
 * batch class must leave part of the limit to classes of higher priority
 * (share.c). */
static void
test_quick_jobs_of_team_at_limit(void)
{
    Load load = create_load(&FLEET, 200000);
    for (int i = 0; i < 200; i++) {
        if (i % 8 == 0) {
            submit(&load, false, "batch", "a", 4, 24000, 9000);
        }
        submit(&load, i >= 40, "quick", "a", 4, 5000, 500);
        CellSim_Run(load.sim, 120);
    }
    CellSim_Run(load.sim, 5000);
    CU_ASSERT_TRUE(percent_within(&load, 1000) >= TARGET_PERCENT);
    finish_load(&load);
}

/* The same with quick jobs in occasional bursts: the part of the limit must
 * also be left free between bursts (share.c). */
static void
test_quick_bursts_of_team_at_limit(void)
{
    Load load = create_load(&FLEET, 200000);
    for (int i = 0; i < 200; i++) {
        if (i % 2 == 0) {
            submit(&load, false, "batch", "a", 4, 5000, 9000);
        }
        for (int k = 0; i % 25 == 0 && k < 5; k++) {
            submit(&load, i >= 50, "quick", "a", 4, 5000, 500);
        }
        CellSim_Run(load.sim, 120);
    }
    CellSim_Run(load.sim, 5000);
    CU_ASSERT_TRUE(percent_within(&load, 1000) >= TARGET_PERCENT);
    finish_load(&load);
}

/* More quick jobs come than the fleet can run: jobs that can still meet their
 * objective go before those that cannot, so that most of what the fleet can
 * run is in time (order.c). */
static void
test_overload(void)
{
    Load load = create_load(&FLEET, 0);
    for (int i = 0; i < 420; i++) {
        submit(&load, true, "quick", i % 2 == 0 ? "a" : "b", 6, 4000, 600);
        if (i % 2 == 0) {
            CellSim_Run(load.sim, 30);
        }
    }
    CellSim_Run(load.sim, 6000);
    /* 67 jobs a second of 14.4 core seconds each need more than the 768
     * processors of the fleet, which can run 79 percent of them. */
    CU_ASSERT_TRUE(percent_within(&load, 1150) >= 79 * TARGET_PERCENT / 100);
    finish_load(&load);
}

/* One team submits eight jobs at a time, and another team far fewer: the
 * latter must still be served in time (order.c). */
static void
test_hot_team(void)
{
    Load load = create_load(&FLEET, 0);
    for (int i = 0; i < 160; i++) {
        for (int k = 0; k < 8; k++) {
            submit(&load, false, "quick", "a", 4, 5000, 600);
        }
        if (i % 2 == 0) {
            submit(&load, true, "quick", "b", 4, 5000, 600);
        }
        CellSim_Run(load.sim, 60);
    }
    CellSim_Run(load.sim, 3000);
    CU_ASSERT_TRUE(percent_within(&load, 1150) >= TARGET_PERCENT);
    finish_load(&load);
}

/* A quarter of the workers fail every run: they are excluded after two
 * failures, so that jobs do not run out of attempts and few tasks are
 * repeated (inventory.c). */
static void
test_failing_workers(void)
{
    Load load = create_load(&FLEET, 0);
    for (int i = 0; i < 6; i++) {
        CellSim_SetFailing(load.sim, i * 4, true);
    }
    for (int i = 0; i < 150; i++) {
        submit(&load, true, "batch", i % 2 == 0 ? "a" : "b", 8, 4000, 500);
        CellSim_Run(load.sim, 60);
    }
    CellSim_Run(load.sim, 6000);
    int completed = 0;
    for (int i = 0; i < load.count; i++) {
        completed +=
            CellSim_JobState(load.sim, load.jobs[i]) == GF_JOB_COMPLETED;
    }
    CU_ASSERT_TRUE(completed * 100 >= load.count * TARGET_PERCENT);
    int tasks = load.count * 8;
    int repeated = CellSim_CountStarts(load.sim) - tasks;
    CU_ASSERT_TRUE(repeated * 100 <= tasks * MAX_REPEATED_TASKS_PERCENT);
    finish_load(&load);
}

/* A third of the workers begin to fail every run while jobs keep coming: a
 * task is retried on workers where others have succeeded lately (fit.c). */
static void
test_workers_begin_to_fail(void)
{
    Load load = create_load(&FLEET, 0);
    for (int i = 0; i < 150; i++) {
        for (int k = 0; k < 8 && (i == 30 || i == 120); k++) {
            CellSim_SetFailing(load.sim, k * 3, i == 30);
        }
        submit(&load, true, "batch", i % 2 == 0 ? "a" : "b", 16, 4000, 500);
        CellSim_Run(load.sim, 60);
    }
    CellSim_Run(load.sim, 6000);
    int lost = 0;
    for (int i = 0; i < load.count; i++) {
        lost += CellSim_JobState(load.sim, load.jobs[i]) != GF_JOB_COMPLETED;
    }
    CU_ASSERT_TRUE(lost * 100 <= load.count * MAX_LOST_JOBS_PERCENT);
    finish_load(&load);
}

/* Slow and quick requests for advice compete for the advice callers: some
 * callers are reserved for quick ones (advice.c). */
static void
test_slow_advice_beside_quick(void)
{
    CellSimSettings settings = FLEET;
    settings.callers = 4;
    Load load = create_load(&settings, 0);
    for (int i = 0; i < 150; i++) {
        submit(&load, false, "batch-advised", "a", 2, 1000, 3000);
        submit(&load, true, "quick-advised", "b", 4, 2000, 500);
        CellSim_Run(load.sim, 80);
    }
    CellSim_Run(load.sim, 4000);
    CU_ASSERT_TRUE(percent_within(&load, 1000) >= TARGET_PERCENT);
    finish_load(&load);
}

/* The same with two callers, slow requests for wide steps, and quick jobs so
 * short that the time for advice decides whether they are in time. */
static void
test_many_slow_advice_requests(void)
{
    CellSimSettings settings = FLEET;
    settings.callers = 2;
    Load load = create_load(&settings, 0);
    for (int i = 0; i < 150; i++) {
        submit(&load, false, "batch-advised", "a", 12, 1000, 3000);
        submit(&load, true, "quick-advised", "b", 4, 2000, 100);
        CellSim_Run(load.sim, 80);
    }
    CellSim_Run(load.sim, 4000);
    /* The objective: 1.5 times the run time of 100 ms plus 27 ms for advice,
     * plus 250 ms. */
    CU_ASSERT_TRUE(percent_within(&load, 440) >= TARGET_PERCENT);
    finish_load(&load);
}

/* All but a few of many workers are full: the search for workers to ask about
 * finds those that are free, wherever it begins (advice.c). */
static void
test_few_free_workers(void)
{
    CellSimSettings settings = FLEET;
    settings.workers = 400;
    Load load = create_load(&settings, 0);
    for (int i = 0; i < settings.workers - 8; i++) {
        submit(&load, false, "batch", "a", 1, 32000, 60000);
    }
    CellSim_Run(load.sim, 1000);
    for (int i = 0; i < 40; i++) {
        submit(&load, true, "quick-advised", "b", 4, 2000, 500);
        CellSim_Run(load.sim, 200);
    }
    CellSim_Run(load.sim, 3000);
    CU_ASSERT_TRUE(percent_within(&load, 1000) >= TARGET_PERCENT);
    finish_load(&load);
}

/* Slow requests need three and a half of six callers, quick ones a quarter of
 * one: neither kind builds up a backlog (advice.c). */
static void
test_slow_advice_share(void)
{
    Load slow = create_load(&FLEET, 0);
    Load quick = slow;
    for (int i = 0; i < 240; i++) {
        submit(&slow, true, "batch-advised", "a", 2, 1000, 500);
        submit(&quick, true, "quick-advised", "b", 4, 2000, 100);
        CellSim_Run(slow.sim, 130);
    }
    CellSim_Run(slow.sim, 4000);
    /* Five times a request for advice and the run. */
    CU_ASSERT_TRUE(percent_within(&slow, 5000) >= 100 - MAX_LOST_JOBS_PERCENT);
    CU_ASSERT_TRUE(percent_within(&quick, 440) >= TARGET_PERCENT);
    finish_load(&slow);
}

/* Submits a backlog of jobs whose requests for advice take BACKLOG_MS one
 * after another, so that most of them are late before their turn comes, and
 * runs it for twice that time. */
static void
run_advice_backlog(Load *load)
{
    for (int i = 0; i < BACKLOG_JOBS; i++) {
        submit(load, true, "batch-advised", "a", 2, 1000, 500);
    }
    CellSim_Run(load->sim, 2 * BACKLOG_MS);
}

/* Steps that advice allows on no worker wait for good. They must not occupy
 * the callers for slow requests, of which there is one here: late jobs of the
 * same queue that came after them are served (advice.c). */
static void
test_denied_steps(void)
{
    CellSimSettings settings = FLEET;
    settings.callers = 2;
    Load load = create_load(&settings, 0);
    for (int i = 0; i < 4; i++) {
        CellSimJob job = {.queue = "batch-advised",
                          .team = "a",
                          .run_ms = 500,
                          .denied = true,
                          .step = {.task_count = 2, .need = {1000, 100, 0}}};
        CellSim_Submit(load.sim, &job);
    }
    CellSim_Run(load.sim, 6000);
    run_advice_backlog(&load);
    CU_ASSERT_EQUAL(percent_within(&load, 2 * BACKLOG_MS), 100);
    finish_load(&load);
}

/* Steps whose workers are full must not renew their tickets again and again:
 * late jobs that came after them, for which there is free capacity, need the
 * callers (advice.c). */
static void
test_tickets_of_full_workers(void)
{
    CellSimSettings settings = FLEET;
    settings.callers = 2;
    Load load = create_load(&settings, 0);
    for (int i = 0; i < settings.workers; i++) {
        /* Leaves 7 of 32 processors free on each worker. */
        submit(&load, false, "batch", "b", 1, 25000, 90000);
    }
    CellSim_Run(load.sim, 500);
    for (int i = 0; i < 6; i++) {
        submit(&load, false, "batch-advised", "a", 2, 20000, 500);
    }
    CellSim_Run(load.sim, 6000);
    run_advice_backlog(&load);
    CU_ASSERT_EQUAL(percent_within(&load, 2 * BACKLOG_MS), 100);
    finish_load(&load);
}

static const SuiteTest TESTS[] = {
    {"quick burst on a full fleet", test_quick_burst_on_full_fleet},
    {"quick jobs of a team at its limit", test_quick_jobs_of_team_at_limit},
    {"quick bursts of a team at its limit",
     test_quick_bursts_of_team_at_limit},
    {"more jobs than the fleet can run", test_overload},
    {"hot team", test_hot_team},
    {"failing workers", test_failing_workers},
    {"workers begin to fail", test_workers_begin_to_fail},
    {"slow advice beside quick", test_slow_advice_beside_quick},
    {"many slow advice requests", test_many_slow_advice_requests},
    {"few free workers", test_few_free_workers},
    {"slow advice share", test_slow_advice_share},
    {"denied steps", test_denied_steps},
    {"tickets of full workers", test_tickets_of_full_workers}};

SUITE_MAIN("cell_load", TESTS)
