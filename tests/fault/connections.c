#include "scenario.h"

/* Silences the open connections of a relay for good; new ones work. */
static void
silence(Cluster *c, uint16_t relay)
{
    json_decref(Cluster_Call(c, relay, "POST", "/relay", NULL,
                             json_pack("{s:b}", "silence", 1), NULL));
}

/* Connections between entries and to the platform go silent while new ones
 * work: they are found and replaced, and the work goes on. */
static void
test_silent(void)
{
    ClusterConfig config = scenario_config(27000);
    config.relays = true;
    Cluster *c = Cluster_Start(&config);
    CU_ASSERT_TRUE(Cluster_WaitServing(c, 20000));
    Cluster_SetLoad(c, 120, 20, 30);
    Cluster_Run(c, 2000);
    for (int i = 1; i <= 3; i++) {
        silence(c, Cluster_PeerRelay(c, i));
        silence(c, Cluster_PlatformRelay(c, i));
        Cluster_Run(c, 1500);
    }
    int64_t silent_over = Cluster_NowMs() + 3000;
    Cluster_Run(c, 6000);
    int64_t end = Cluster_NowMs();
    Cluster_SetLoad(c, 0, 0, 0);
    Cluster_Run(c, 5500);
    size_t all = scenario_count(c, silent_over, end, NULL);
    size_t yes = scenario_count(c, silent_over, end, "yes");
    printf("3 s after the silence: %zu of %zu served\n", yes, all);
    CU_ASSERT_TRUE(all > 300);
    CU_ASSERT_TRUE(yes * 100 >= all * 99);
    CU_ASSERT_TRUE(Cluster_WaitServing(c, 5000));
    CU_ASSERT_EQUAL(Cluster_CountBreaches(c), 0);
    Cluster_Stop(c);
}

/* One entry is cut off from the other entries and then from the store, in
 * one direction and in both: no breach, and all is well afterwards. */
static void
test_cut(void)
{
    ClusterConfig config = scenario_config(27500);
    config.relays = true;
    Cluster *c = Cluster_Start(&config);
    CU_ASSERT_TRUE(Cluster_WaitServing(c, 20000));
    Cluster_SetLoad(c, 120, 20, 30);
    for (int i = 0; i < 4; i++) {
        free(Cluster_Submit(c, 1 + i % 3, CLUSTER_NESTING_KEY,
                            json_pack("{s:i,s:i,s:i}", "count", 100, "mcores",
                                      1000, "run_ms", 600)));
    }
    Cluster_Run(c, 1500);
    Cluster_Cut(c, Cluster_PeerRelay(c, 2), true, true);
    Cluster_Run(c, 6000);
    Cluster_Cut(c, Cluster_PeerRelay(c, 2), false, false);
    Cluster_Run(c, 2000);
    Cluster_Cut(c, Cluster_PlatformRelay(c, 1), false, true);
    Cluster_Run(c, 9000);
    Cluster_Cut(c, Cluster_PlatformRelay(c, 1), false, false);
    Cluster_Run(c, 2000);
    Cluster_Cut(c, Cluster_PeerRelay(c, 3), false, true);
    Cluster_Cut(c, Cluster_PlatformRelay(c, 3), true, true);
    Cluster_Run(c, 9000);
    Cluster_Cut(c, Cluster_PeerRelay(c, 3), false, false);
    Cluster_Cut(c, Cluster_PlatformRelay(c, 3), false, false);
    CU_ASSERT_TRUE(Cluster_WaitServing(c, 20000));
    int64_t mended = Cluster_NowMs();
    Cluster_Run(c, 3000);
    int64_t end = Cluster_NowMs();
    Cluster_SetLoad(c, 0, 0, 0);
    Cluster_Run(c, 5500);
    size_t all = scenario_count(c, mended, end, NULL);
    size_t yes = scenario_count(c, mended, end, "yes");
    printf("after the cuts: %zu of %zu served\n", yes, all);
    CU_ASSERT_TRUE(yes * 100 >= all * 99);
    CU_ASSERT_EQUAL(Cluster_CountBreaches(c), 0);
    Cluster_Stop(c);
}

static const SuiteTest TESTS[] = {{"silent", test_silent}, {"cut", test_cut}};

SUITE_MAIN("connections", TESTS)
