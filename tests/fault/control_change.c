#include "scenario.h"

#define IN_FORCE_MS 2000

/* Returns the kind of an operator's answer. */
static const char *
kind_of(const json_t *answer)
{
    const char *kind = json_string_value(json_object_get(answer, "kind"));
    return kind == NULL ? "" : kind;
}

/* A key is withdrawn and a failure domain taken out under load: within two
 * seconds no entry takes the key and nothing starts in the domain. */
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
    int64_t out_at = Cluster_NowMs();
    json_t *change =
        Cluster_Change(c, 2, "/v1/admin/domain",
                       json_pack("{s:s,s:b}", "domain", "fd1", "out", 1));
    CU_ASSERT_STRING_EQUAL(kind_of(change), "ok");
    CU_ASSERT_TRUE(json_is_true(json_object_get(change, "in_force")));
    json_decref(change);
    Cluster_Run(c, 4000);
    int64_t in_at = Cluster_NowMs();
    json_decref(
        Cluster_Change(c, 1, "/v1/admin/domain",
                       json_pack("{s:s,s:b}", "domain", "fd1", "out", 0)));
    Cluster_Run(c, 3000);
    json_t *history = Cluster_History(c);
    int64_t in_domain = 0;
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
            strncmp(host + 1, "1-", 2) == 0 && at > out_at && at < in_at) {
            in_domain = at;
        }
    }
    printf("last start in the domain %lld ms after it was taken out\n",
           (long long)(in_domain == 0 ? 0 : in_domain - out_at));
    CU_ASSERT_TRUE(in_domain < out_at + IN_FORCE_MS);
    int64_t again =
        scenario_first(history, "call_start", in_at, "target", "t1-");
    printf("first start after its return: %lld ms\n",
           (long long)(again - in_at));
    CU_ASSERT_TRUE(again > 0);
    json_decref(history);

    char *text = Cluster_Bundle(c, 2, "gfk_desk_another", 40, 24);
    int64_t asked = Cluster_NowMs();
    change =
        Cluster_Change(c, 3, "/v1/admin/bundle", Cluster_ProposeBody(c, text));
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
    CU_ASSERT_EQUAL(Cluster_CountBreaches(c), 0);
    free(text);
    Cluster_Stop(c);
}

/* Operators race: of two proposals on the same base one wins, the other
 * hears why; a stale base, a missing signature and an unknown member each
 * get their own answer. The audit trail stays whole. */
static void
test_race(void)
{
    ClusterConfig config = scenario_config(25500);
    Cluster *c = Cluster_Start(&config);
    CU_ASSERT_TRUE(Cluster_WaitServing(c, 20000));
    int won = 0;
    int lost = 0;
    for (int version = 2; version <= 4; version++) {
        char *a = Cluster_Bundle(c, version, CLUSTER_DESK_KEY, 40, 20);
        char *b = Cluster_Bundle(c, version, CLUSTER_DESK_KEY, 40, 22);
        json_t *first = NULL;
        json_t *second = NULL;
        Cluster_Race(c, "/v1/admin/bundle", Cluster_ProposeBody(c, a),
                     Cluster_ProposeBody(c, b), &first, &second);
        won += strcmp(kind_of(first), "ok") == 0;
        won += strcmp(kind_of(second), "ok") == 0;
        lost += strcmp(kind_of(first), "conflict") == 0;
        lost += strcmp(kind_of(second), "conflict") == 0;
        json_decref(first);
        json_decref(second);
        free(a);
        free(b);
    }
    printf("races: %d won, %d lost\n", won, lost);
    CU_ASSERT_EQUAL(won, 3);
    CU_ASSERT_EQUAL(lost, 3);
    char *next = Cluster_Bundle(c, 5, CLUSTER_DESK_KEY, 40, 24);
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
    /* A signature of another text does not fit. */
    char *other = Cluster_Bundle(c, 5, CLUSTER_DESK_KEY, 40, 23);
    json_t *body = Cluster_ProposeBody(c, other);
    json_object_set_new(body, "bundle", json_string(next));
    answer = Cluster_Change(c, 1, "/v1/admin/bundle", body);
    CU_ASSERT_STRING_EQUAL(kind_of(answer), "forbidden");
    json_decref(answer);
    answer =
        Cluster_Call(c, Cluster_CallerPort(c, 1), "POST", "/v1/admin/bundle",
                     CLUSTER_DESK_KEY, Cluster_ProposeBody(c, next), NULL);
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
                                  {"race", test_race}};

SUITE_MAIN("control_change", TESTS)
