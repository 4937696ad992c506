/* A rolling restart of the entries. The test guards against requests in
 * progress that are cut off, and calls without an answer, when an entry is
 * stopped while a load balancer still sends it requests. */
#include "scenario.h"

static int stopping; /* the entry that is being stopped */

/* Returns whether the entry that is being stopped has ended. */
static bool
has_exited(Cluster *c, void *arg)
{
    (void)arg;
    return Cluster_EntryHasExited(c, stopping);
}

/* Entries are stopped and started one after another under load: no request in
 * progress is cut off, each call gets an answer, and at most 1 percent of them
 * are refused. */
static void
test_rolling(void)
{
    ClusterConfig config = scenario_config(24000);
    Cluster *c = Cluster_Start(&config);
    CU_ASSERT_TRUE(Cluster_WaitServing(c, 20000));
    Cluster_SetLoad(c, 150, 20, 120);
    Cluster_Run(c, 2000);
    for (stopping = 1; stopping <= 3; stopping++) {
        Cluster_SignalEntry(c, stopping, SIGTERM);
        /* The load balancer notices only after a while. */
        Cluster_Run(c, 300);
        Cluster_SetEntryInLoad(c, stopping, false);
        CU_ASSERT_TRUE(Cluster_RunUntil(c, has_exited, NULL, 15000));
        Cluster_StartEntry(c, stopping);
        Cluster_Run(c, 2500);
        Cluster_SetEntryInLoad(c, stopping, true);
        Cluster_Run(c, 1500);
    }
    Cluster_SetLoad(c, 0, 0, 0);
    Cluster_Run(c, 5500);
    size_t count = 0;
    size_t cut = 0;
    size_t refused = 0;
    const ClusterCall *calls = Cluster_Calls(c, &count);
    for (size_t i = 0; i < count; i++) {
        if (strcmp(calls[i].ran, "yes") == 0) {
            continue;
        }
        if (strcmp(calls[i].ran, "no") == 0) {
            refused++;
        }
        else {
            cut++;
            printf("  cut: entry %d kind %s\n", calls[i].entry, calls[i].kind);
        }
    }
    printf("calls %zu, refused %zu, cut %zu\n", count, refused, cut);
    CU_ASSERT_TRUE(count > 1500);
    CU_ASSERT_EQUAL(cut, 0);
    CU_ASSERT_TRUE(refused * 100 <= count);
    CU_ASSERT_EQUAL(Cluster_CountViolations(c), 0);
    Cluster_Stop(c);
}

static const SuiteTest TESTS[] = {{"rolling", test_rolling}};

SUITE_MAIN("planned_stop", TESTS)
