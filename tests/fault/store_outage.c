/* A store that is unavailable, slow, or loses replies. The tests guard against
 * entries that stop all work without the store, and requests with an
 * idempotency key that run twice because the outcome of a commit was unknown.
 */
#include "scenario.h"

#define MIN_SERVED_PERCENT 95

/* The store is unavailable for 10 s under load: at least MIN_SERVED_PERCENT of
 * the requests without a key are served, those with a key get an answer within
 * 2 s that says that they did not run, and running tasks go on. Afterwards
 * requests with a key are served again and the job completes. */
static void
test_unavailable(void)
{
    ClusterConfig config = scenario_config(23000);
    Cluster *c = Cluster_Start(&config);
    CU_ASSERT_TRUE(Cluster_WaitServing(c, 20000));
    char *batch = Cluster_Submit(c, 1, CLUSTER_NESTING_KEY,
                                 json_pack("{s:i,s:i,s:i}", "count", 400,
                                           "mcores", 1000, "run_ms", 500));
    CU_ASSERT_PTR_NOT_NULL_FATAL(batch);
    Cluster_SetLoad(c, 150, 10, 30);
    Cluster_Run(c, 4000);
    int64_t outage_start = Cluster_NowMs();
    size_t before = scenario_count_calls(c, outage_start - 4000,
                                         outage_start - 500, "yes");
    int done_before =
        scenario_count_in_state(c, 1, CLUSTER_NESTING_KEY, batch, "done");
    Cluster_SetFault(c, Cluster_PlatformPort(c), "away", "/v1", 0);
    Cluster_Run(c, 10000);
    int done_during =
        scenario_count_in_state(c, 1, CLUSTER_NESTING_KEY, batch, "done");
    int64_t outage_end = Cluster_NowMs();
    Cluster_SetFault(c, Cluster_PlatformPort(c), "none", "", 0);
    Cluster_Run(c, 4000);
    int64_t end = Cluster_NowMs();
    Cluster_SetLoad(c, 0, 0, 0);
    Cluster_Run(c, 1500);
    size_t plain = 0;
    size_t plain_served = 0;
    size_t keyed = 0;
    size_t keyed_refused = 0;
    size_t keyed_slow = 0;
    size_t keyed_after = 0;
    size_t count = 0;
    const ClusterCall *calls = Cluster_Calls(c, &count);
    for (size_t i = 0; i < count; i++) {
        const ClusterCall *call = &calls[i];
        bool yes = strcmp(call->ran, "yes") == 0;
        if (call->key[0] != '\0' && call->sent_at > outage_end + 1500 &&
            call->sent_at < end) {
            keyed_after += yes;
        }
        if (call->sent_at < outage_start + 500 ||
            call->sent_at > outage_end - 1000) {
            continue;
        }
        if (call->key[0] == '\0') {
            plain++;
            plain_served += yes;
            continue;
        }
        keyed++;
        keyed_refused += strcmp(call->kind, "store_unavailable") == 0 &&
                         strcmp(call->ran, "no") == 0;
        keyed_slow += call->answered_at - call->sent_at > 2000;
    }
    printf(
        "outage: %zu of %zu requests without key served (%zu in 3.5 s "
        "before), %zu of %zu with key refused as not run, %zu of them slow, "
        "%zu with key served after\n",
        plain_served, plain, before, keyed_refused, keyed, keyed_slow,
        keyed_after);
    printf("batch: %d done before, %d at the end of the outage\n", done_before,
           done_during);
    CU_ASSERT_TRUE(plain_served * 100 >= plain * MIN_SERVED_PERCENT);
    CU_ASSERT_TRUE(plain > 500);
    CU_ASSERT_EQUAL(keyed_refused, keyed);
    CU_ASSERT_EQUAL(keyed_slow, 0);
    CU_ASSERT_TRUE(keyed_after > 10);
    CU_ASSERT_TRUE(done_during > done_before);
    CU_ASSERT_TRUE(
        scenario_wait(c, 2, CLUSTER_NESTING_KEY, batch, "done", 400, 40000));
    CU_ASSERT_EQUAL(Cluster_CountViolations(c), 0);
    free(batch);
    Cluster_Stop(c);
}

/* Commits take effect but their replies are lost, and later the store is slow:
 * requests with a key run at most once and get a true answer. */
static void
test_lost_answers(void)
{
    ClusterConfig config = scenario_config(23500);
    Cluster *c = Cluster_Start(&config);
    CU_ASSERT_TRUE(Cluster_WaitServing(c, 20000));
    Cluster_SetLoad(c, 20, 60, 20);
    Cluster_Run(c, 2000);
    for (int i = 0; i < 4; i++) {
        Cluster_SetFault(c, Cluster_PlatformPort(c), "lose_answer", "/v1/txn",
                         0);
        Cluster_Run(c, 400);
        Cluster_SetFault(c, Cluster_PlatformPort(c), "none", "", 0);
        Cluster_Run(c, 1200);
    }
    Cluster_SetFault(c, Cluster_PlatformPort(c), "slow", "/v1", 300);
    Cluster_Run(c, 4000);
    Cluster_SetFault(c, Cluster_PlatformPort(c), "none", "", 0);
    Cluster_Run(c, 2000);
    Cluster_SetLoad(c, 0, 0, 0);
    Cluster_Run(c, 6000);
    size_t count = 0;
    size_t yes = 0;
    const ClusterCall *calls = Cluster_Calls(c, &count);
    for (size_t i = 0; i < count; i++) {
        yes += calls[i].key[0] != '\0' && strcmp(calls[i].ran, "yes") == 0;
    }
    printf("requests with key served in spite of lost replies: %zu\n", yes);
    CU_ASSERT_TRUE(yes > 100);
    CU_ASSERT_EQUAL(Cluster_CountViolations(c), 0);
    Cluster_Stop(c);
}

static const SuiteTest TESTS[] = {{"away", test_unavailable},
                                  {"lost answers", test_lost_answers}};

SUITE_MAIN("store_outage", TESTS)
