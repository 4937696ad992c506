/* Targets and workers that fail. The tests guard against callers that are told
 * something untrue about their request, new requests to a target that is
 * leaving, and tasks that run twice or never complete, when hosts lose
 * replies, are slow, freeze, restart or fail every task. */
#include "scenario.h"

#define LEAVING_MS 3000

/* Sends a request to the service and returns the answer, which the caller
 * owns. Takes the reference to the body. */
static json_t *
request(Cluster *c, json_t *body)
{
    return Cluster_Call(c, Cluster_CallerPort(c, 1), "POST",
                        "/v1/services/quotes/requests", CLUSTER_DESK_KEY, body,
                        NULL);
}

/* Returns a string member of an answer, which belongs to it; "" if missing. */
static const char *
text_of(const json_t *answer, const char *name)
{
    const char *text = json_string_value(json_object_get(answer, name));
    return text == NULL ? "" : text;
}

/* A target replies to another request, fails, replies too late, or is leaving:
 * each caller learns whether the request ran, and a target that is leaving
 * gets no requests after LEAVING_MS. */
static void
test_targets(void)
{
    ClusterConfig config = scenario_config(28000);
    Cluster *c = Cluster_Start(&config);
    CU_ASSERT_TRUE(Cluster_WaitServing(c, 20000));
    Cluster_Run(c, 2000);
    json_t *answer = request(c, json_pack("{s:b}", "crossed", 1));
    CU_ASSERT_STRING_EQUAL(text_of(answer, "kind"), "protocol");
    CU_ASSERT_STRING_EQUAL(text_of(answer, "ran"), "unknown");
    json_decref(answer);
    answer = request(c, json_pack("{s:b}", "fails", 1));
    CU_ASSERT_STRING_EQUAL(text_of(answer, "kind"), "target_failed");
    CU_ASSERT_STRING_EQUAL(text_of(answer, "ran"), "yes");
    json_decref(answer);
    answer = request(c, json_pack("{s:i}", "work_ms", 3000));
    CU_ASSERT_STRING_EQUAL(text_of(answer, "kind"), "timeout");
    CU_ASSERT_STRING_EQUAL(text_of(answer, "ran"), "unknown");
    json_decref(answer);
    Cluster_SetLoad(c, 150, 0, 20);
    Cluster_Run(c, 1500);
    int64_t leaving = Cluster_NowMs();
    json_decref(Cluster_Call(c, Cluster_PlatformPort(c), "POST", "/test/hosts",
                             NULL,
                             json_pack("{s:[{s:s,s:s}]}", "hosts", "name",
                                       "t0-0", "state", "leaving"),
                             NULL));
    Cluster_Run(c, 5000);
    Cluster_SetLoad(c, 0, 0, 0);
    Cluster_Run(c, 2000);
    json_t *history = Cluster_History(c);
    int64_t last =
        scenario_last_event(history, "call_start", "target", "t0-0");
    printf("last request to the leaving target after %lld ms\n",
           (long long)(last - leaving));
    CU_ASSERT_TRUE(last > 0 && last - leaving < LEAVING_MS);
    json_decref(history);
    CU_ASSERT_EQUAL(Cluster_CountViolations(c), 0);
    Cluster_Stop(c);
}

/* Workers lose replies, are slow, freeze and restart, and one fails every task
 * that it starts: no task runs twice, at least 200 of 250 batch tasks complete
 * and all tasks of the service run. */
static void
test_workers(void)
{
    ClusterConfig config = scenario_config(28500);
    Cluster *c = Cluster_Start(&config);
    CU_ASSERT_TRUE(Cluster_WaitServing(c, 20000));
    char *batch = Cluster_Submit(c, 1, CLUSTER_NESTING_KEY,
                                 json_pack("{s:i,s:i,s:i}", "count", 250,
                                           "mcores", 1000, "run_ms", 900));
    char *service =
        Cluster_Submit(c, 2, CLUSTER_DESK_KEY,
                       json_pack("{s:s,s:i,s:i}", "class", "service", "count",
                                 8, "mcores", 1000));
    CU_ASSERT_PTR_NOT_NULL_FATAL(batch);
    CU_ASSERT_PTR_NOT_NULL_FATAL(service);
    uint16_t first = Cluster_WorkersPort(c, 0);
    uint16_t second = Cluster_WorkersPort(c, 1);
    Cluster_SetFault(c, first, "lose_answer", "/v1/start", 0);
    Cluster_SetFault(c, second, "slow", "/v1/start", 1500);
    Cluster_Run(c, 4000);
    Cluster_SetFault(c, first, "freeze", "/v1", 0);
    Cluster_Run(c, 3000);
    Cluster_SetFault(c, first, "none", "", 0);
    Cluster_SetFault(c, second, "none", "", 0);
    json_decref(Cluster_Call(c, (uint16_t)(second + 1), "POST", "/test/reboot",
                             NULL, json_object(), NULL));
    json_decref(Cluster_Call(c, Cluster_WorkersPort(c, 2), "POST",
                             "/test/fail_all", NULL,
                             json_pack("{s:b}", "on", 1), NULL));
    CU_ASSERT_TRUE(
        scenario_wait(c, 1, CLUSTER_NESTING_KEY, batch, "done", 200, 50000));
    CU_ASSERT_TRUE(
        scenario_wait(c, 1, CLUSTER_DESK_KEY, service, "running", 8, 30000));
    json_t *states = Cluster_JobStates(c, 1, CLUSTER_NESTING_KEY, batch);
    char *text = json_dumps(states, JSON_COMPACT);
    printf("batch: %s\n", text);
    free(text);
    json_decref(states);
    CU_ASSERT_EQUAL(Cluster_CountViolations(c), 0);
    free(batch);
    free(service);
    Cluster_Stop(c);
}

static const SuiteTest TESTS[] = {{"targets", test_targets},
                                  {"workers", test_workers}};

SUITE_MAIN("hosts", TESTS)
