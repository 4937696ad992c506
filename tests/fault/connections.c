/* Faults of the network. The tests guard against requests that wait for
 * connections that have gone silent, as they do when a host or firewall drops
 * packets without closing them, and against two owners when an entry is cut
 * off from the others or from the store. */
#include "scenario.h"

/* Makes the open connections of a relay silent for good; new ones work. */
static void
silence(Cluster *c, uint16_t relay)
{
    json_decref(Cluster_Call(c, relay, "POST", "/relay", NULL,
                             json_pack("{s:b}", "silence", 1), NULL));
}

/* Connections between entries and to the platform go silent while new ones
 * work: the entries notice and replace them. From 3 s after the last fault, 99
 * percent of the requests are served. */
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
        silence(c, Cluster_PeerRelayControl(c, i));
        silence(c, Cluster_PlatformRelayControl(c, i));
        Cluster_Run(c, 1500);
    }
    int64_t silent_over = Cluster_NowMs() + 3000;
    Cluster_Run(c, 6000);
    int64_t end = Cluster_NowMs();
    Cluster_SetLoad(c, 0, 0, 0);
    Cluster_Run(c, 5500);
    size_t total = scenario_count_calls(c, silent_over, end, NULL);
    size_t served = scenario_count_calls(c, silent_over, end, "yes");
    printf("3 s after the silence: %zu of %zu served\n", served, total);
    CU_ASSERT_TRUE(total > 300);
    CU_ASSERT_TRUE(served * 100 >= total * 99);
    CU_ASSERT_TRUE(Cluster_WaitServing(c, 5000));
    CU_ASSERT_EQUAL(Cluster_CountViolations(c), 0);
    Cluster_Stop(c);
}

/* An entry is cut off from the other entries in both directions, another from
 * the store in one, and a third from both: no invariant is violated, and
 * afterwards 99 percent of the requests are served. */
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
    Cluster_SetCut(c, Cluster_PeerRelayControl(c, 2), true, true);
    Cluster_Run(c, 6000);
    Cluster_SetCut(c, Cluster_PeerRelayControl(c, 2), false, false);
    Cluster_Run(c, 2000);
    Cluster_SetCut(c, Cluster_PlatformRelayControl(c, 1), false, true);
    Cluster_Run(c, 9000);
    Cluster_SetCut(c, Cluster_PlatformRelayControl(c, 1), false, false);
    Cluster_Run(c, 2000);
    Cluster_SetCut(c, Cluster_PeerRelayControl(c, 3), false, true);
    Cluster_SetCut(c, Cluster_PlatformRelayControl(c, 3), true, true);
    Cluster_Run(c, 9000);
    Cluster_SetCut(c, Cluster_PeerRelayControl(c, 3), false, false);
    Cluster_SetCut(c, Cluster_PlatformRelayControl(c, 3), false, false);
    CU_ASSERT_TRUE(Cluster_WaitServing(c, 20000));
    int64_t restored = Cluster_NowMs();
    Cluster_Run(c, 3000);
    int64_t end = Cluster_NowMs();
    Cluster_SetLoad(c, 0, 0, 0);
    Cluster_Run(c, 5500);
    size_t total = scenario_count_calls(c, restored, end, NULL);
    size_t served = scenario_count_calls(c, restored, end, "yes");
    printf("after the cuts: %zu of %zu served\n", served, total);
    CU_ASSERT_TRUE(served * 100 >= total * 99);
    CU_ASSERT_EQUAL(Cluster_CountViolations(c), 0);
    Cluster_Stop(c);
}

static const SuiteTest TESTS[] = {{"silent", test_silent}, {"cut", test_cut}};

SUITE_MAIN("connections", TESTS)
