/* Operators' changes under load. The tests guard against entries that go on
 * with a former bundle or evacuated failure domain, against two changes that
 * both succeed on the same base, so that one is lost, and against changes
 * without a valid signature. */
#include "scenario.h"

#define IN_FORCE_MS 2000

/* Returns the kind of an answer, which belongs to it; "" if it has none. */
static const char *
kind_of(const json_t *answer)
{
    const char *kind = json_string_value(json_object_get(answer, "kind"));
    return kind == NULL ? "" : kind;
}

/* A failure domain is evacuated and an API key revoked under load: from
 * IN_FORCE_MS on nothing starts in the domain and no entry accepts the key. */
static void
test_in_force(void)
{
    ClusterConfig config = scenario_config(25000);
    Cluster *c = Cluster_Start(&config);
    CU_ASSERT_TRUE(Cluster_WaitServing(c, 20000));
    Cluster_SetLoad(c, 150, 0, 20);
    free(Cluster_Submit(c, 1, CLUSTER_NESTING_KEY,
                        json_pack("{s:i,s:i,s:i}", "count", 400, "mcores",
                                  1000, "run_ms", 500)));
    Cluster_Run(c, 2500);
    int64_t evacuated_at = Cluster_NowMs();
    json_t *change =
        Cluster_Change(c, 2, "/v1/admin/domain",
                       json_pack("{s:s,s:b}", "domain", "fd1", "out", 1));
    CU_ASSERT_STRING_EQUAL(kind_of(change), "ok");
    CU_ASSERT_TRUE(json_is_true(json_object_get(change, "in_force")));
    json_decref(change);
    Cluster_Run(c, 4000);
    int64_t returned_at = Cluster_NowMs();
    json_decref(
        Cluster_Change(c, 1, "/v1/admin/domain",
                       json_pack("{s:s,s:b}", "domain", "fd1", "out", 0)));
    Cluster_Run(c, 3000);
    json_t *history = Cluster_History(c);
    int64_t last_start = 0;
    size_t i;
    json_t *e;
    json_array_foreach(history, i, e)
    {
        const char *event = json_string_value(json_object_get(e, "event"));
        const char *worker = json_string_value(json_object_get(e, "worker"));
        const char *target = json_string_value(json_object_get(e, "target"));
        int64_t at = json_integer_value(json_object_get(e, "at"));
        const char *host = worker == NULL ? target : worker;
        if (strstr(event, "_start") != NULL && host != NULL &&
            strncmp(host + 1, "1-", 2) == 0 && at > evacuated_at &&
            at < returned_at) {
            last_start = at;
        }
    }
    printf("last start in the domain %lld ms after its evacuation\n",
           (long long)(last_start == 0 ? 0 : last_start - evacuated_at));
    CU_ASSERT_TRUE(last_start < evacuated_at + IN_FORCE_MS);
    int64_t restarted_at = scenario_first_event(history, "call_start",
                                                returned_at, "target", "t1-");
    printf("first start in the domain %lld ms after its return\n",
           (long long)(restarted_at - returned_at));
    CU_ASSERT_TRUE(restarted_at > 0);
    json_decref(history);

    char *text = Cluster_MakeBundle(c, 2, "gfk_desk_another", 40, 24);
    int64_t asked = Cluster_NowMs();
    change = Cluster_Change(c, 3, "/v1/admin/bundle",
                            Cluster_MakeProposal(c, text));
    CU_ASSERT_STRING_EQUAL(kind_of(change), "ok");
    CU_ASSERT_TRUE(json_is_true(json_object_get(change, "in_force")));
    json_decref(change);
    int64_t in_force = Cluster_NowMs();
    printf("bundle in force everywhere after %lld ms\n",
           (long long)(in_force - asked));
    CU_ASSERT_TRUE(in_force - asked <= IN_FORCE_MS);
    Cluster_Run(c, 4000);
    Cluster_SetLoad(c, 0, 0, 0);
    Cluster_Run(c, 500);
    size_t count = 0;
    size_t late = 0;
    size_t refused = 0;
    const ClusterCall *calls = Cluster_Calls(c, &count);
    for (size_t k = 0; k < count; k++) {
        bool known = strcmp(calls[k].kind, "unauthenticated") != 0;
        refused += !known;
        late += known && calls[k].sent_at > asked + IN_FORCE_MS;
    }
    CU_ASSERT_TRUE(refused > 100);
    CU_ASSERT_EQUAL(late, 0);
    CU_ASSERT_EQUAL(Cluster_CountViolations(c), 0);
    free(text);
    Cluster_Stop(c);
}

/* Of two concurrent changes with the same base one succeeds and the other gets
 * a conflict. A missing signature, an unknown member, a signature of another
 * text and a team's key are refused. The audit trail holds the three changes
 * that succeeded. */
static void
test_concurrent_changes(void)
{
    ClusterConfig config = scenario_config(25500);
    Cluster *c = Cluster_Start(&config);
    CU_ASSERT_TRUE(Cluster_WaitServing(c, 20000));
    int succeeded = 0;
    int conflicted = 0;
    for (int version = 2; version <= 4; version++) {
        char *a = Cluster_MakeBundle(c, version, CLUSTER_DESK_KEY, 40, 20);
        char *b = Cluster_MakeBundle(c, version, CLUSTER_DESK_KEY, 40, 22);
        json_t *first = NULL;
        json_t *second = NULL;
        Cluster_ChangeConcurrently(
            c, "/v1/admin/bundle", Cluster_MakeProposal(c, a),
            Cluster_MakeProposal(c, b), &first, &second);
        succeeded += strcmp(kind_of(first), "ok") == 0;
        succeeded += strcmp(kind_of(second), "ok") == 0;
        conflicted += strcmp(kind_of(first), "conflict") == 0;
        conflicted += strcmp(kind_of(second), "conflict") == 0;
        json_decref(first);
        json_decref(second);
        free(a);
        free(b);
    }
    printf("concurrent changes: %d succeeded, %d conflicted\n", succeeded,
           conflicted);
    CU_ASSERT_EQUAL(succeeded, 3);
    CU_ASSERT_EQUAL(conflicted, 3);
    char *next = Cluster_MakeBundle(c, 5, CLUSTER_DESK_KEY, 40, 24);
    json_t *answer =
        Cluster_Change(c, 1, "/v1/admin/bundle",
                       json_pack("{s:s,s:{}}", "bundle", next, "signatures"));
    CU_ASSERT_STRING_EQUAL(kind_of(answer), "forbidden");
    json_decref(answer);
    answer = Cluster_Change(c, 1, "/v1/admin/bundle",
                            json_pack("{s:s,s:{s:s}}", "bundle", next,
                                      "signatures", "mallory", "00"));
    CU_ASSERT_STRING_EQUAL(kind_of(answer), "forbidden");
    json_decref(answer);
    /* A valid signature, but of another text. */
    char *other = Cluster_MakeBundle(c, 5, CLUSTER_DESK_KEY, 40, 23);
    json_t *body = Cluster_MakeProposal(c, other);
    json_object_set_new(body, "bundle", json_string(next));
    answer = Cluster_Change(c, 1, "/v1/admin/bundle", body);
    CU_ASSERT_STRING_EQUAL(kind_of(answer), "forbidden");
    json_decref(answer);
    answer =
        Cluster_Call(c, Cluster_CallerPort(c, 1), "POST", "/v1/admin/bundle",
                     CLUSTER_DESK_KEY, Cluster_MakeProposal(c, next), NULL);
    CU_ASSERT_STRING_EQUAL(kind_of(answer), "unauthenticated");
    json_decref(answer);
    answer = Cluster_Call(c, Cluster_CallerPort(c, 3), "GET",
                          "/v1/admin/audit", CLUSTER_OPS_KEY, NULL, NULL);
    json_t *records = json_object_get(answer, "records");
    CU_ASSERT_EQUAL(json_array_size(records), 3);
    json_decref(answer);
    free(next);
    free(other);
    Cluster_Stop(c);
}

static const SuiteTest TESTS[] = {{"in force", test_in_force},
                                  {"race", test_concurrent_changes}};

SUITE_MAIN("control_change", TESTS)
