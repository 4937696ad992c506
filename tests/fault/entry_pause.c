/* An entry that is paused for longer than its leases, as by a stopped virtual
 * machine. The tests guard against an entry that resumes with outdated control
 * state, and so uses an evacuated failure domain or accepts a revoked key. */
#include "scenario.h"

#define PAUSE_MS 12000
#define IN_FORCE_MS 2000

/* Starts a cluster under load and pauses entry 2. */
static Cluster *
start_and_pause(uint16_t base_port)
{
    ClusterConfig config = scenario_config(base_port);
    Cluster *c = Cluster_Start(&config);
    CU_ASSERT_TRUE(Cluster_WaitServing(c, 20000));
    Cluster_SetLoad(c, 120, 20, 30);
    for (int i = 0; i < 6; i++) {
        free(Cluster_Submit(c, 1, CLUSTER_NESTING_KEY,
                            json_pack("{s:i,s:i,s:i}", "count", 200, "mcores",
                                      1000, "run_ms", 700)));
    }
    Cluster_Run(c, 2000);
    Cluster_SignalEntry(c, 2, SIGSTOP);
    Cluster_SetEntryInLoad(c, 2, false);
    Cluster_Run(c, 3000);
    return c;
}

/* Checks an operator's answer to a change, resumes the paused entry 6 s later,
 * and returns the time of that. Takes the reference to the answer. */
static int64_t
check_and_resume(Cluster *c, json_t *change)
{
    CU_ASSERT_STRING_EQUAL(json_string_value(json_object_get(change, "kind")),
                           "ok");
    /* The answer says that the paused entry does not have the change. */
    CU_ASSERT_FALSE(json_is_true(json_object_get(change, "in_force")));
    CU_ASSERT_EQUAL(json_array_size(json_object_get(change, "missing")), 1);
    json_decref(change);
    Cluster_Run(c, PAUSE_MS - 6000);
    int64_t resumed = Cluster_NowMs();
    Cluster_SignalEntry(c, 2, SIGCONT);
    Cluster_SetEntryInLoad(c, 2, true);
    return resumed;
}

/* A failure domain is evacuated while an entry is paused for longer than any
 * lease: when it resumes it starts nothing there. */
static void
test_domain(void)
{
    Cluster *c = start_and_pause(22000);
    int64_t asked = Cluster_NowMs();
    json_t *change =
        Cluster_Change(c, 3, "/v1/admin/domain",
                       json_pack("{s:s,s:b}", "domain", "fd0", "out", 1));
    check_and_resume(c, change);
    Cluster_Run(c, 6000);
    Cluster_SetLoad(c, 0, 0, 0);
    json_t *history = Cluster_History(c);
    int64_t started =
        scenario_last_event(history, "task_start", "worker", "w0-");
    int64_t called =
        scenario_last_event(history, "call_start", "target", "t0-");
    printf("last start in the domain: task %lld ms, call %lld ms after its "
           "evacuation\n",
           (long long)(started - asked), (long long)(called - asked));
    CU_ASSERT_TRUE(started > 0 && started < asked + IN_FORCE_MS);
    CU_ASSERT_TRUE(called > 0 && called < asked + IN_FORCE_MS);
    json_decref(history);
    CU_ASSERT_EQUAL(Cluster_CountViolations(c), 0);
    Cluster_Stop(c);
}

/* An API key is revoked while an entry is paused: from IN_FORCE_MS after it
 * resumes, it refuses the key. */
static void
test_key(void)
{
    Cluster *c = start_and_pause(22500);
    char *text = Cluster_MakeBundle(c, 2, "gfk_desk_another", 40, 24);
    json_t *change = Cluster_Change(c, 1, "/v1/admin/bundle",
                                    Cluster_MakeProposal(c, text));
    int64_t resumed = check_and_resume(c, change);
    Cluster_SetEntryInLoad(c, 1, false);
    Cluster_SetEntryInLoad(c, 3, false);
    Cluster_Run(c, 5000);
    Cluster_SetLoad(c, 0, 0, 0);
    Cluster_Run(c, 500);
    size_t count = 0;
    const ClusterCall *calls = Cluster_Calls(c, &count);
    size_t late = 0;
    size_t asked = 0;
    for (size_t i = 0; i < count; i++) {
        if (calls[i].sent_at >= resumed + IN_FORCE_MS) {
            asked++;
            late += strcmp(calls[i].kind, "unauthenticated") != 0;
        }
    }
    printf("revoked key: %zu of %zu accepted after the limit\n", late, asked);
    CU_ASSERT_TRUE(asked > 100);
    CU_ASSERT_EQUAL(late, 0);
    CU_ASSERT_EQUAL(Cluster_CountViolations(c), 0);
    free(text);
    Cluster_Stop(c);
}

static const SuiteTest TESTS[] = {{"domain", test_domain}, {"key", test_key}};

SUITE_MAIN("entry_pause", TESTS)
