#include "guavaflow/wait_queue.h"

#include "suite.h"

/* What each team has of its share in the tests: given by its last letter. */
static uint64_t has[3];

static uint64_t
share(void *ctx, const GfName *team, const GfRoom *need)
{
    (void)ctx;
    return need != NULL ? need->mcores : has[team->data[0] - 'a'];
}

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

static void
push(GfWaitQueue *q, GfJob *job)
{
    for (uint32_t i = 0; i < job->spec.count; i++) {
        GfWaitQueue_Push(q, &job->tasks[i]);
    }
}

/* Classes come in order; within one the team with least of its share. */
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
    has[0] = 150;
    has[1] = 100;
    GfWaitQueue_BeginRound(q, share, NULL);
    GfJobTask *t = GfWaitQueue_Next(q, NOW);
    CU_ASSERT_PTR_EQUAL(t, &urgent_a->tasks[0]);
    GfWaitQueue_Remove(q, t);
    t = GfWaitQueue_Next(q, NOW);
    CU_ASSERT_PTR_EQUAL(t, &batch_b->tasks[0]);
    GfWaitQueue_Charge(q, t, share, NULL);
    GfWaitQueue_Remove(q, t);
    /* b has 200 now, a 150. */
    t = GfWaitQueue_Next(q, NOW);
    CU_ASSERT_PTR_EQUAL(t, &batch_a->tasks[0]);
    CU_ASSERT_EQUAL(GfWaitQueue_Count(q), 3);
    CU_ASSERT_EQUAL(GfWaitQueue_CountTeam(q, &batch_a->spec.team), 2);
    GfWaitQueue_Destroy(q);
    GfJob_Destroy(batch_a);
    GfJob_Destroy(batch_b);
    GfJob_Destroy(urgent_a);
}

/* A need that found no room does not hold up a smaller one behind it, and a
 * task is not tried before its time. */
static void
test_blocked(void)
{
    static const struct timespec NOW = {.tv_sec = 5};
    GfWaitQueue *q = GfWaitQueue_Create();
    GfJob *large = make_job("a", GF_CLASS_BATCH, 8000, 1);
    GfJob *small = make_job("a", GF_CLASS_BATCH, 100, 2);
    push(q, large);
    push(q, small);
    GfWaitQueue_BeginRound(q, share, NULL);
    GfJobTask *t = GfWaitQueue_Next(q, NOW);
    CU_ASSERT_PTR_EQUAL(t, &large->tasks[0]);
    small->tasks[0].next_try = (struct timespec){.tv_sec = 6};
    GfWaitQueue_Block(q, t);
    CU_ASSERT_PTR_EQUAL(GfWaitQueue_Next(q, NOW), &small->tasks[1]);
    GfWaitQueue_Block(q, &small->tasks[1]);
    CU_ASSERT_PTR_NULL(GfWaitQueue_Next(q, NOW));
    GfWaitQueue_BeginRound(q, share, NULL);
    CU_ASSERT_PTR_EQUAL(GfWaitQueue_Next(q, NOW), t);
    GfWaitQueue_Destroy(q);
    GfJob_Destroy(large);
    GfJob_Destroy(small);
}

/* Teams above the level are held back, but not the favoured one and not what
 * is urgent. */
static void
test_hold(void)
{
    static const struct timespec NOW = {.tv_sec = 5};
    GfWaitQueue *q = GfWaitQueue_Create();
    GfJob *a = make_job("a", GF_CLASS_BATCH, 100, 1);
    GfJob *b = make_job("b", GF_CLASS_BATCH, 100, 1);
    GfJob *urgent = make_job("a", GF_CLASS_URGENT, 100, 1);
    GfName favoured = GfName_Format("b");
    has[0] = 50;
    has[1] = 500;
    push(q, a);
    push(q, b);
    GfWaitQueue_BeginRound(q, share, NULL);
    GfWaitQueue_HoldAbove(q, &favoured, 40);
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
