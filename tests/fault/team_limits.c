/* Limits of teams. The test guards against teams that exceed their limit when
 * several entries start their tasks at once, when an entry dies and others
 * take over its part of the limit, or when a limit is lowered below what runs.
 */
#include "scenario.h"

/* Returns the most millicores that a team used at once, from a time on. */
static int64_t
peak_after(const json_t *history, const char *team, int64_t after)
{
    int64_t use = 0;
    int64_t peak = 0;
    json_t *starts = json_object();
    size_t i;
    json_t *e;
    json_array_foreach(history, i, e)
    {
        const char *event = json_string_value(json_object_get(e, "event"));
        const char *id = json_string_value(json_object_get(e, "task"));
        int64_t at = json_integer_value(json_object_get(e, "at"));
        if (strcmp(event, "task_start") == 0 &&
            strcmp(json_string_value(json_object_get(e, "team")), team) == 0) {
            use += json_integer_value(json_object_get(e, "mcores"));
            json_object_set(starts, id, e);
        }
        else if (strcmp(event, "task_end") == 0 &&
                 json_object_get(starts, id) != NULL) {
            use -= json_integer_value(
                json_object_get(json_object_get(starts, id), "mcores"));
        }
        if (at >= after && use > peak) {
            peak = use;
        }
    }
    json_decref(starts);
    return peak;
}

/* Two teams submit more than the fleet can run to all entries, an entry is
 * killed and started again, and a limit is lowered: no team exceeds its limit,
 * and tasks above the lowered limit are stopped within 3 s. */
static void
test_limits(void)
{
    ClusterConfig config = scenario_config(26000);
    Cluster *c = Cluster_Start(&config);
    CU_ASSERT_TRUE(Cluster_WaitServing(c, 20000));
    for (int i = 1; i <= 6; i++) {
        free(Cluster_Submit(c, 1 + i % 3, CLUSTER_NESTING_KEY,
                            json_pack("{s:i,s:i,s:i}", "count", 150, "mcores",
                                      1000, "run_ms", 900)));
        free(Cluster_Submit(c, 1 + i % 3, CLUSTER_DESK_KEY,
                            json_pack("{s:i,s:i,s:i}", "count", 150, "mcores",
                                      1000, "run_ms", 700)));
    }
    Cluster_Run(c, 5000);
    Cluster_SignalEntry(c, 2, SIGKILL);
    Cluster_SetEntryInLoad(c, 2, false);
    Cluster_Run(c, 7000);
    Cluster_StartEntry(c, 2);
    Cluster_Run(c, 3000);
    Cluster_SetEntryInLoad(c, 2, true);
    json_t *history = Cluster_History(c);
    int64_t before = peak_after(history, "nesting", Cluster_NowMs() - 2000);
    json_decref(history);
    char *text = Cluster_MakeBundle(c, 2, CLUSTER_DESK_KEY, 40, 9);
    json_t *change = Cluster_Change(c, 1, "/v1/admin/bundle",
                                    Cluster_MakeProposal(c, text));
    CU_ASSERT_STRING_EQUAL(json_string_value(json_object_get(change, "kind")),
                           "ok");
    json_decref(change);
    free(text);
    int64_t lowered = Cluster_NowMs();
    Cluster_Run(c, 6000);
    history = Cluster_History(c);
    int64_t after = peak_after(history, "nesting", lowered + 3000);
    printf(
        "nesting: %lld millicores before, %lld from 3 s after its limit was "
        "lowered to 9000\n",
        (long long)before, (long long)after);
    CU_ASSERT_TRUE(before > 18000);
    CU_ASSERT_TRUE(after <= 9000);
    CU_ASSERT_TRUE(after > 0);
    json_decref(history);
    CU_ASSERT_EQUAL(Cluster_CountViolations(c), 0);
    Cluster_Stop(c);
}

static const SuiteTest TESTS[] = {{"limits", test_limits}};

SUITE_MAIN("team_limits", TESTS)
