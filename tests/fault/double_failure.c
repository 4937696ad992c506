/* Two failures at once. The tests guard against invariants that hold for each
 * failure alone but not for both, and against two processes with the same
 * member name, which arise when the platform replaces a host that it takes for
 * dead. */
#include "scenario.h"

/* An entry is killed while the store is unavailable, and another one is paused
 * when the store returns: no invariant is violated, each answer is true, and
 * afterwards 99 percent of the requests are served. */
static void
test_store_and_entry(void)
{
    ClusterConfig config = scenario_config(31000);
    Cluster *c = Cluster_Start(&config);
    CU_ASSERT_TRUE(Cluster_WaitServing(c, 20000));
    Cluster_SetLoad(c, 100, 15, 30);
    for (int i = 0; i < 4; i++) {
        free(Cluster_Submit(c, 1 + i % 3, CLUSTER_NESTING_KEY,
                            json_pack("{s:i,s:i,s:i}", "count", 120, "mcores",
                                      1000, "run_ms", 700)));
    }
    Cluster_Run(c, 2500);
    Cluster_SetFault(c, Cluster_PlatformPort(c), "away", "/v1", 0);
    Cluster_Run(c, 1500);
    Cluster_SignalEntry(c, 3, SIGKILL);
    Cluster_SetEntryInLoad(c, 3, false);
    Cluster_Run(c, 9000);
    int64_t settled = Cluster_NowMs();
    Cluster_Run(c, 3000);
    size_t total = scenario_count_calls(c, settled - 3000, settled, NULL);
    size_t served = scenario_count_calls(c, settled - 3000, settled, "yes");
    printf("6 to 9 s after the kill, store unavailable: %zu of %zu served\n",
           served, total);
    Cluster_SignalEntry(c, 2, SIGSTOP);
    Cluster_SetEntryInLoad(c, 2, false);
    Cluster_SetFault(c, Cluster_PlatformPort(c), "none", "", 0);
    Cluster_Run(c, 7000);
    Cluster_SignalEntry(c, 2, SIGCONT);
    Cluster_StartEntry(c, 3);
    Cluster_Run(c, 4000);
    Cluster_SetEntryInLoad(c, 2, true);
    Cluster_SetEntryInLoad(c, 3, true);
    CU_ASSERT_TRUE(Cluster_WaitServing(c, 25000));
    int64_t restored = Cluster_NowMs();
    Cluster_Run(c, 3000);
    int64_t end = Cluster_NowMs();
    Cluster_SetLoad(c, 0, 0, 0);
    Cluster_Run(c, 5500);
    total = scenario_count_calls(c, restored, end, NULL);
    served = scenario_count_calls(c, restored, end, "yes");
    printf("afterwards: %zu of %zu served\n", served, total);
    CU_ASSERT_TRUE(total > 200);
    CU_ASSERT_TRUE(served * 100 >= total * 99);
    CU_ASSERT_EQUAL(Cluster_CountViolations(c), 0);
    Cluster_Stop(c);
}

/* A second process is started with the member name of one that is paused: when
 * the older one resumes it exits by itself, and nothing runs twice. */
static void
test_same_name(void)
{
    ClusterConfig config = scenario_config(31500);
    Cluster *c = Cluster_Start(&config);
    CU_ASSERT_TRUE(Cluster_WaitServing(c, 20000));
    Cluster_SetLoad(c, 80, 15, 30);
    free(Cluster_Submit(c, 1, CLUSTER_NESTING_KEY,
                        json_pack("{s:i,s:i,s:i}", "count", 300, "mcores",
                                  1000, "run_ms", 700)));
    Cluster_Run(c, 2000);
    Cluster_SignalEntry(c, 2, SIGSTOP);
    Cluster_SetEntryInLoad(c, 2, false);
    /* The platform assigns the name to a new host, on other ports. */
    Cluster_StartDuplicate(c, 2);
    Cluster_Run(c, 9000);
    Cluster_SignalEntry(c, 2, SIGCONT);
    Cluster_Run(c, 8000);
    CU_ASSERT_TRUE(Cluster_EntryHasExited(c, 2));
    Cluster_SetLoad(c, 0, 0, 0);
    Cluster_Run(c, 5500);
    CU_ASSERT_EQUAL(Cluster_CountViolations(c), 0);
    Cluster_Stop(c);
}

static const SuiteTest TESTS[] = {{"store and entry", test_store_and_entry},
                                  {"same name", test_same_name}};

SUITE_MAIN("double_failure", TESTS)
