/* Memory of jobs at the product's limits: 4,096 tasks in each of 64 steps,
 * 1,024 times. An owner that keeps all tasks of all occurrences in memory is
 * ended by the platform, and each owner after it; so nothing runs any more. */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>

#ifdef __SANITIZE_ADDRESS__
size_t __sanitizer_get_current_allocated_bytes(void);
#endif

#include "cell_sim.h"
#include "guavaflow/log.h"
#include "suite.h"

/* What an owner may take, of the 260 MB that hosts have at least. */
#define OWNER_BYTES ((size_t)200 * 1000 * 1000)
#define TIMED_JOB_BYTES ((size_t)1000 * 1000)
#define LATER_MS (10LL * 60 * 1000)

/* A cell without workers that accepts jobs. */
typedef struct {
    GfCellConfig *config;
    GfManualClock clock;
    GfCell *cell;
    size_t bytes_before;
    int jobs;
} Fixture;

static size_t
count_bytes(void)
{
#ifdef __SANITIZE_ADDRESS__
    return __sanitizer_get_current_allocated_bytes();
#else
    struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
#endif
}

static void
ignore_commit(void *ctx, const GfCellCommit *commit)
{
    (void)ctx;
    (void)commit;
}

static void
ignore_result(void *arg, GfErrorKind kind)
{
    (void)arg;
    (void)kind;
}

static const GfCellOps OPS = {.commit = ignore_commit};

static void
setup(Fixture *f)
{
    GfLog_SetLevel(GF_LOG_ERROR);
    *f = (Fixture){.config = CellSim_MakeConfig(0)};
    GfManualClock_Init(&f->clock, 1000000);
    GfCellSettings settings = {
        .token = 10, .lease_ms = 6000, .serial_base = 1000};
    f->cell = GfCell_Create(&OPS, NULL, &settings, &f->clock.clock);
    GfCell_SetConfig(f->cell, f->config);
    GfCell_StartPlacement(f->cell);
    f->bytes_before = count_bytes();
}

static void
teardown(Fixture *f)
{
    GfCell_Destroy(f->cell);
    GfCellConfig_Destroy(f->config);
}

/* Adds a job whose steps do not depend on each other. */
static void
add_job(Fixture *f, const char *team_name, uint32_t tasks, size_t steps,
        uint32_t occurrences, int64_t due_in_ms)
{
    static char payload[4000];
    GfJobSpec spec = {.payload = GfStr_Copy(payload, sizeof(payload)),
                      .step_count = steps,
                      .occurrences = occurrences,
                      .first_due_ms = GfTime_WallMs() + due_in_ms,
                      .interval_ms = 1};
    spec.steps = calloc(steps, sizeof(GfStepSpec));
    for (size_t i = 0; i < steps; i++) {
        spec.steps[i].task_count = tasks;
        spec.steps[i].need.mcores = 100;
        spec.steps[i].estimate_ms = 1000;
    }
    GfName id = GfName_Format("%016x", (unsigned)f->jobs++);
    GfName team = GfName_Format("%s", team_name);
    GfName queue = GfName_Format("quick");
    GfCell_AddJob(f->cell, &id, &team, &queue, 0, &spec, NULL, false);
}

static void
run(Fixture *f, int ticks)
{
    for (int i = 0; i < ticks; i++) {
        GfManualClock_Advance(&f->clock, 10);
        GfCell_Tick(f->cell);
    }
}

static size_t
used_bytes(const Fixture *f)
{
    size_t bytes = count_bytes() - f->bytes_before;
    printf("  %zu kB\n", bytes / 1000);
    return bytes;
}

static void
test_tasks_not_due_take_memory(void)
{
    Fixture f;
    setup(&f);
    add_job(&f, "a", 64, 5, 1000, LATER_MS);
    run(&f, 10);
    CU_ASSERT(used_bytes(&f) < TIMED_JOB_BYTES);
    teardown(&f);
}

/* 320,000 tasks of a timed job wait for their time, not for workers. */
static void
test_jobs_refused_for_tasks_not_due(void)
{
    Fixture f;
    setup(&f);
    add_job(&f, "a", 64, 5, 1000, LATER_MS);
    GfAdmission admission = {0};
    GfManualClock_Advance(&f.clock, 5000);
    run(&f, 10);
    GfCell_UpdateAdmission(f.cell, &admission);
    CU_ASSERT_EQUAL(admission.full_count, 0);
    teardown(&f);
}

/* The largest job, due at once. */
static void
test_largest_job_outgrows_owner(void)
{
    Fixture f;
    setup(&f);
    add_job(&f, "a", GF_JOB_MAX_TASKS, GF_JOB_MAX_STEPS,
            GF_JOB_MAX_OCCURRENCES, -LATER_MS);
    run(&f, 10);
    CU_ASSERT(used_bytes(&f) < OWNER_BYTES);
    teardown(&f);
}

/* All teams hand in the widest jobs before admission counts them. */
static void
test_wide_jobs_of_all_teams_outgrow_owner(void)
{
    Fixture f;
    setup(&f);
    for (int i = 0; i < 64 * 4; i++) {
        char team[8];
        snprintf(team, sizeof(team), "t%d", i % 64);
        add_job(&f, team, GF_JOB_MAX_TASKS, GF_JOB_MAX_STEPS, 1, -LATER_MS);
    }
    run(&f, 10);
    CU_ASSERT(used_bytes(&f) < OWNER_BYTES);
    teardown(&f);
}

/* A team that fills its part leaves room for the others. */
static void
test_team_without_memory_beside_another(void)
{
    Fixture f;
    setup(&f);
    for (int i = 0; i < 4; i++) {
        add_job(&f, "a", GF_JOB_MAX_TASKS, GF_JOB_MAX_STEPS, 4, -LATER_MS);
    }
    add_job(&f, "b", GF_JOB_MAX_TASKS, 1, 1, -LATER_MS);
    GfAdmission admission = {0};
    GfManualClock_Advance(&f.clock, 5000);
    run(&f, 10);
    GfCell_UpdateAdmission(f.cell, &admission);
    CU_ASSERT_EQUAL(admission.full_count, 1);
    CU_ASSERT_STRING_EQUAL(admission.full[0].team.data, "a");
    teardown(&f);
}

/* Timed jobs with large payloads, none of them due, from eight teams. */
static void
test_many_small_jobs_outgrow_owner(void)
{
    enum { BATCH = 800, MAX_JOBS = 70000 };
    Fixture f;
    setup(&f);
    GfAdmission admission = {0};
    while (admission.full_count < 8 && f.jobs < MAX_JOBS) {
        for (int i = 0; i < BATCH; i++) {
            char team[8];
            snprintf(team, sizeof(team), "t%d", i % 8);
            add_job(&f, team, 1, 1, 1, LATER_MS);
        }
        GfManualClock_Advance(&f.clock, 1000);
        GfCell_UpdateAdmission(f.cell, &admission);
    }
    CU_ASSERT_EQUAL(admission.full_count, 8);
    CU_ASSERT(used_bytes(&f) < OWNER_BYTES);
    teardown(&f);
}

/* What a cancelled job frees goes to the next one of its team. */
static void
test_task_never_opened(void)
{
    Fixture f;
    setup(&f);
    add_job(&f, "a", GF_JOB_MAX_TASKS, GF_JOB_MAX_STEPS, 1, -LATER_MS);
    size_t full = used_bytes(&f);
    add_job(&f, "a", GF_JOB_MAX_TASKS, 1, 1, -LATER_MS);
    run(&f, 10);
    CU_ASSERT(used_bytes(&f) < full + TIMED_JOB_BYTES);
    GfName first = GfName_Format("%016x", 0U);
    GfCell_CancelJob(f.cell, &first, ignore_result, NULL);
    run(&f, 10);
    size_t left = used_bytes(&f);
    CU_ASSERT(left > GF_JOB_MAX_TASKS * sizeof(void *));
    CU_ASSERT(left < full / 10);
    teardown(&f);
}

/* Occurrences are finished, opened and loaded across takeovers. */
static void
test_occurrence_lost_by_takeover(void)
{
    GfLog_SetLevel(GF_LOG_ERROR);
    GfCellConfig *config = CellSim_MakeConfig(0);
    CellSimSettings settings = {.workers = 4,
                                .mcores = 4000,
                                .memory_mb = 64000,
                                .rack_size = 2,
                                .callers = 3,
                                .latency_ms = 1,
                                .seed = 1};
    CellSim *sim = CellSim_Create(&settings, config);
    CellSim_TakeOver(sim);
    CellSim_Run(sim, 200);
    CellSimJob job = {.queue = "batch",
                      .team = "a",
                      .run_ms = 150,
                      .steps = 3,
                      .occurrences = 30,
                      .step = {.task_count = 4, .need = {1000, 1, 0}}};
    int id = CellSim_Submit(sim, &job);
    for (int i = 0; i < 4; i++) {
        CellSim_Run(sim, 900);
        CellSim_KillOwner(sim, CellSim_Owner(sim));
        CellSim_Run(sim, 300);
        CellSim_TakeOver(sim);
    }
    CellSim_Run(sim, 12000);
    CU_ASSERT_EQUAL(CellSim_JobState(sim, id), GF_JOB_COMPLETED);
    CU_ASSERT_EQUAL(CellSim_JobStarts(sim, id), 30 * 3 * 4);
    CU_ASSERT_PTR_NULL(CellSim_Violation(sim));
    CellSim_Destroy(sim);
    GfCellConfig_Destroy(config);
}

static const SuiteTest TESTS[] = {
    {"tasks not due take memory", test_tasks_not_due_take_memory},
    {"jobs refused for tasks not due", test_jobs_refused_for_tasks_not_due},
    {"largest job outgrows owner", test_largest_job_outgrows_owner},
    {"wide jobs of all teams outgrow owner",
     test_wide_jobs_of_all_teams_outgrow_owner},
    {"team without memory beside another",
     test_team_without_memory_beside_another},
    {"many small jobs outgrow owner", test_many_small_jobs_outgrow_owner},
    {"task never opened", test_task_never_opened},
    {"occurrence lost by takeover", test_occurrence_lost_by_takeover}};

SUITE_MAIN("cell memory", TESTS)
