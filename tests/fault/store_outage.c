#include "scenario.h"

#define SERVED_SHARE 95

/* The store goes away under load: requests go on, keyed ones hear at once
 * that they did not run, running services go on; later all is as before. */
static void
test_away(void)
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
    int64_t away = Cluster_NowMs();
    size_t before = scenario_count(c, away - 4000, away - 500, "yes");
    int done_before =
        scenario_in_state(c, 1, CLUSTER_NESTING_KEY, batch, "done");
    Cluster_Fault(c, Cluster_PlatformPort(c), "away", "/v1", 0);
    Cluster_Run(c, 10000);
    int done_during =
        scenario_in_state(c, 1, CLUSTER_NESTING_KEY, batch, "done");
    int64_t back = Cluster_NowMs();
    Cluster_Fault(c, Cluster_PlatformPort(c), "none", "", 0);
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
        if (call->key[0] != '\0' && call->sent_at > back + 1500 &&
            call->sent_at < end) {
            keyed_after += yes;
        }
        if (call->sent_at < away + 500 || call->sent_at > back - 1000) {
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
    printf("outage: %zu of %zu plain served (%zu in 3.5 s before), %zu of %zu "
           "keyed told not run, %zu slow, %zu keyed served after\n",
           plain_served, plain, before, keyed_refused, keyed, keyed_slow,
           keyed_after);
    printf("batch: %d done before, %d at the end of the outage\n", done_before,
           done_during);
    CU_ASSERT_TRUE(plain_served * 100 >= plain * SERVED_SHARE);
    CU_ASSERT_TRUE(plain > 500);
    CU_ASSERT_EQUAL(keyed_refused, keyed);
    CU_ASSERT_EQUAL(keyed_slow, 0);
    CU_ASSERT_TRUE(keyed_after > 10);
    CU_ASSERT_TRUE(done_during > done_before);
    CU_ASSERT_TRUE(
        scenario_wait(c, 2, CLUSTER_NESTING_KEY, batch, "done", 400, 40000));
    CU_ASSERT_EQUAL(Cluster_CountBreaches(c), 0);
    free(batch);
    Cluster_Stop(c);
}

/* Commits take effect while their answers are lost, then the store is slow:
 * keyed requests still run at most once and are answered truly. */
static void
test_lost_answers(void)
{
    ClusterConfig config = scenario_config(23500);
    Cluster *c = Cluster_Start(&config);
    CU_ASSERT_TRUE(Cluster_WaitServing(c, 20000));
    Cluster_SetLoad(c, 20, 60, 20);
    Cluster_Run(c, 2000);
    for (int i = 0; i < 4; i++) {
        Cluster_Fault(c, Cluster_PlatformPort(c), "lose_answer", "/v1/txn", 0);
        Cluster_Run(c, 400);
        Cluster_Fault(c, Cluster_PlatformPort(c), "none", "", 0);
        Cluster_Run(c, 1200);
    }
    Cluster_Fault(c, Cluster_PlatformPort(c), "slow", "/v1", 300);
    Cluster_Run(c, 4000);
    Cluster_Fault(c, Cluster_PlatformPort(c), "none", "", 0);
    Cluster_Run(c, 2000);
    Cluster_SetLoad(c, 0, 0, 0);
    Cluster_Run(c, 6000);
    size_t count = 0;
    size_t yes = 0;
    const ClusterCall *calls = Cluster_Calls(c, &count);
    for (size_t i = 0; i < count; i++) {
        yes += calls[i].key[0] != '\0' && strcmp(calls[i].ran, "yes") == 0;
    }
    printf("keyed served in spite of lost answers: %zu\n", yes);
    CU_ASSERT_TRUE(yes > 100);
    CU_ASSERT_EQUAL(Cluster_CountBreaches(c), 0);
    Cluster_Stop(c);
}

static const SuiteTest TESTS[] = {{"away", test_away},
                                  {"lost answers", test_lost_answers}};

SUITE_MAIN("store_outage", TESTS)
