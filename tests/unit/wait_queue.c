/* The queue of waiting tasks. The tests guard against a task that overtakes
 * one of a higher class or of a team further below its share, and against
 * tasks that are held up by one that fits nowhere. */
#include "guavaflow/wait_queue.h"

#include "suite.h"

/* What teams a to c use of their shares, in mcores. */
static uint64_t team_use[3];

/* Returns a team's use or, unless need is NULL, what the need adds to it; all
 * shares are equal. */
static uint64_t
use_of(void *ctx, const GfName *team, const GfResourceVector *need)
{
    (void)ctx;
    return need != NULL ? need->mcores : team_use[team->data[0] - 'a'];
}

/* Creates a job of count equal tasks, which the caller owns. */
static GfJob *
make_job(const char *team, GfClass work_class, uint32_t mcores, uint32_t count)
{
    GfJobSpec spec = {.id = GfJob_MakeId(0, 1),
                      .work_class = work_class,
                      .need = {.mcores = mcores},
                      .count = count};
    GfName_SetText(&spec.team, team);
    return GfJob_Create(&spec);
}

/* Queues all tasks of a job, which stays the caller's. */
static void
push(GfWaitQueue *q, GfJob *job)
{
    for (uint32_t i = 0; i < job->spec.count; i++) {
        GfWaitQueue_Push(q, &job->tasks[i]);
    }
}

/* Tasks of a higher class come first; within a class, tasks of the team that
 * uses least of its share, counting what this round has placed. */
static void
test_order(void)
{
    static const struct timespec NOW = {.tv_sec = 5};
    GfWaitQueue *q = GfWaitQueue_Create();
    GfJob *batch_a = make_job("a", GF_CLASS_BATCH, 100, 2);
    GfJob *batch_b = make_job("b", GF_CLASS_BATCH, 100, 2);
    GfJob *urgent_a = make_job("a", GF_CLASS_URGENT, 100, 1);
    push(q, batch_a);
    push(q, batch_b);
    push(q, urgent_a);
    team_use[0] = 150;
    team_use[1] = 100;
    GfWaitQueue_BeginRound(q, use_of, NULL);
    GfJobTask *t = GfWaitQueue_Next(q, NOW);
    CU_ASSERT_PTR_EQUAL(t, &urgent_a->tasks[0]);
    GfWaitQueue_Remove(q, t);
    t = GfWaitQueue_Next(q, NOW);
    CU_ASSERT_PTR_EQUAL(t, &batch_b->tasks[0]);
    GfWaitQueue_Charge(q, t, use_of, NULL);
    GfWaitQueue_Remove(q, t);
    /* Team b uses 200 now, team a 150. */
    t = GfWaitQueue_Next(q, NOW);
    CU_ASSERT_PTR_EQUAL(t, &batch_a->tasks[0]);
    CU_ASSERT_EQUAL(GfWaitQueue_Count(q), 3);
    CU_ASSERT_EQUAL(GfWaitQueue_CountTeam(q, &batch_a->spec.team), 2);
    GfWaitQueue_Destroy(q);
    GfJob_Destroy(batch_a);
    GfJob_Destroy(batch_b);
    GfJob_Destroy(urgent_a);
}

/* A task that fits nowhere does not hold up a smaller one behind it, is tried
 * again in the next round, and no task is tried before its next_try time. */
static void
test_blocked(void)
{
    static const struct timespec NOW = {.tv_sec = 5};
    GfWaitQueue *q = GfWaitQueue_Create();
    GfJob *large = make_job("a", GF_CLASS_BATCH, 8000, 1);
    GfJob *small = make_job("a", GF_CLASS_BATCH, 100, 2);
    push(q, large);
    push(q, small);
    GfWaitQueue_BeginRound(q, use_of, NULL);
    GfJobTask *t = GfWaitQueue_Next(q, NOW);
    CU_ASSERT_PTR_EQUAL(t, &large->tasks[0]);
    small->tasks[0].next_try = (struct timespec){.tv_sec = 6};
    GfWaitQueue_Block(q, t);
    CU_ASSERT_PTR_EQUAL(GfWaitQueue_Next(q, NOW), &small->tasks[1]);
    GfWaitQueue_Block(q, &small->tasks[1]);
    CU_ASSERT_PTR_NULL(GfWaitQueue_Next(q, NOW));
    GfWaitQueue_BeginRound(q, use_of, NULL);
    CU_ASSERT_PTR_EQUAL(GfWaitQueue_Next(q, NOW), t);
    GfWaitQueue_Destroy(q);
    GfJob_Destroy(large);
    GfJob_Destroy(small);
}

/* Teams whose use is above the level are held back, except the favoured one;
 * urgent tasks are not. */
static void
test_hold(void)
{
    static const struct timespec NOW = {.tv_sec = 5};
    GfWaitQueue *q = GfWaitQueue_Create();
    GfJob *a = make_job("a", GF_CLASS_BATCH, 100, 1);
    GfJob *b = make_job("b", GF_CLASS_BATCH, 100, 1);
    GfJob *urgent = make_job("a", GF_CLASS_URGENT, 100, 1);
    GfName favoured = GfName_Format("b");
    team_use[0] = 50;
    team_use[1] = 500;
    push(q, a);
    push(q, b);
    GfWaitQueue_BeginRound(q, use_of, NULL);
    GfWaitQueue_SetCeiling(q, &favoured, 40);
    CU_ASSERT_PTR_EQUAL(GfWaitQueue_Next(q, NOW), &b->tasks[0]);
    push(q, urgent);
    CU_ASSERT_PTR_EQUAL(GfWaitQueue_Next(q, NOW), &urgent->tasks[0]);
    GfWaitQueue_Destroy(q);
    GfJob_Destroy(a);
    GfJob_Destroy(b);
    GfJob_Destroy(urgent);
}

static const SuiteTest TESTS[] = {
    {"order", test_order}, {"blocked", test_blocked}, {"hold", test_hold}};

SUITE_MAIN("wait_queue", TESTS)
