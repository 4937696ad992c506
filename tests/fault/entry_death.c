/* Entries that are killed. The tests guard against racks on which nothing is
 * started after their holder was killed, accepted jobs that are lost with the
 * entries, and tasks that a successor runs again. */
#include "scenario.h"

#define TAKEOVER_LIMIT_MS 6000
#define BATCHES 6
#define TASKS 350

/* Returns the number of a rack that an entry holds, or -1. */
static int
find_rack_of(Cluster *c, int entry)
{
    char name[16];
    snprintf(name, sizeof(name), "entry%d", entry);
    int rack = -1;
    json_t *body =
        Cluster_Call(c, Cluster_CallerPort(c, entry), "GET",
                     "/v1/admin/members", CLUSTER_OPS_KEY, NULL, NULL);
    size_t i;
    json_t *item;
    json_array_foreach(json_object_get(body, "racks"), i, item)
    {
        const char *holder =
            json_string_value(json_object_get(item, "holder"));
        if (strcmp(holder, name) == 0) {
            rack = json_string_value(json_object_get(item, "rack"))[4] - '0';
        }
    }
    json_decref(body);
    return rack;
}

/* An entry is killed under load and started again 8 s later: its rack starts
 * tasks and requests again within TAKEOVER_LIMIT_MS, all jobs complete, and
 * nothing runs twice. */
static void
test_kill(void)
{
    ClusterConfig config = scenario_config(21000);
    /* More than two racks can run, so that each rack has tasks to start. */
    config.nesting_cores = 80;
    Cluster *c = Cluster_Start(&config);
    CU_ASSERT_TRUE(Cluster_WaitServing(c, 20000));
    int victim = 1;
    int rack = find_rack_of(c, 1);
    for (int i = 2; i <= 3 && rack < 0; i++) {
        victim = i;
        rack = find_rack_of(c, i);
    }
    int other = victim == 1 ? 2 : 1;
    Cluster_SetLoad(c, 120, 20, 30);
    char *service =
        Cluster_Submit(c, other, CLUSTER_DESK_KEY,
                       json_pack("{s:s,s:i,s:i}", "class", "service", "count",
                                 9, "mcores", 1000));
    char *batches[BATCHES];
    for (int i = 0; i < BATCHES; i++) {
        batches[i] = Cluster_Submit(c, other, CLUSTER_NESTING_KEY,
                                    json_pack("{s:i,s:i,s:i}", "count", TASKS,
                                              "mcores", 1000, "run_ms", 800));
        CU_ASSERT_PTR_NOT_NULL_FATAL(batches[i]);
    }
    CU_ASSERT_PTR_NOT_NULL_FATAL(service);
    CU_ASSERT_TRUE(scenario_wait(c, other, CLUSTER_DESK_KEY, service,
                                 "running", 9, 10000));
    Cluster_Run(c, 2000);
    int64_t killed = Cluster_NowMs();
    Cluster_SignalEntry(c, victim, SIGKILL);
    Cluster_SetEntryInLoad(c, victim, false);
    Cluster_Run(c, 8000);
    Cluster_StartEntry(c, victim);
    Cluster_Run(c, 3000);
    Cluster_SetEntryInLoad(c, victim, true);
    Cluster_Run(c, 3000);
    Cluster_SetLoad(c, 0, 0, 0);
    for (int i = 0; i < BATCHES; i++) {
        CU_ASSERT_TRUE(scenario_wait(c, other, CLUSTER_NESTING_KEY, batches[i],
                                     "done", TASKS, 40000));
        free(batches[i]);
    }
    CU_ASSERT_TRUE(scenario_wait(c, other, CLUSTER_DESK_KEY, service,
                                 "running", 9, 10000));
    json_t *history = Cluster_History(c);
    char worker[8];
    char target[8];
    snprintf(worker, sizeof(worker), "w%d-", rack);
    snprintf(target, sizeof(target), "t%d-", rack);
    /* Starts that the killed entry had sent may still arrive for a moment. */
    int64_t from = killed + 1000;
    int64_t task =
        scenario_first_event(history, "task_start", from, "worker", worker);
    int64_t call =
        scenario_first_event(history, "call_start", from, "target", target);
    printf("rack %d of entry %d: starts tasks again after %lld ms, requests "
           "after %lld ms\n",
           rack, victim, (long long)(task - killed),
           (long long)(call - killed));
    CU_ASSERT_TRUE(task > 0 && task - killed <= TAKEOVER_LIMIT_MS);
    CU_ASSERT_TRUE(call > 0 && call - killed <= TAKEOVER_LIMIT_MS);
    json_decref(history);
    CU_ASSERT_EQUAL(Cluster_CountViolations(c), 0);
    free(service);
    Cluster_Stop(c);
}

/* All entries are killed at once and started again: accepted jobs complete,
 * and no task of a job that isn't repeatable is started twice. */
static void
test_kill_all(void)
{
    ClusterConfig config = scenario_config(21500);
    Cluster *c = Cluster_Start(&config);
    CU_ASSERT_TRUE(Cluster_WaitServing(c, 20000));
    char *batch = Cluster_Submit(c, 1, CLUSTER_NESTING_KEY,
                                 json_pack("{s:i,s:i,s:i}", "count", 120,
                                           "mcores", 1000, "run_ms", 1500));
    char *once =
        Cluster_Submit(c, 2, CLUSTER_DESK_KEY,
                       json_pack("{s:i,s:i,s:i,s:b}", "count", 40, "mcores",
                                 1000, "run_ms", 1500, "repeatable", 0));
    CU_ASSERT_PTR_NOT_NULL_FATAL(batch);
    CU_ASSERT_PTR_NOT_NULL_FATAL(once);
    Cluster_Run(c, 1500);
    for (int i = 1; i <= 3; i++) {
        Cluster_SignalEntry(c, i, SIGKILL);
    }
    Cluster_Run(c, 1000);
    for (int i = 1; i <= 3; i++) {
        Cluster_StartEntry(c, i);
    }
    CU_ASSERT_TRUE(
        scenario_wait(c, 1, CLUSTER_NESTING_KEY, batch, "done", 120, 60000));
    Cluster_Run(c, 3000);
    json_t *states = Cluster_JobStates(c, 1, CLUSTER_DESK_KEY, once);
    int done = (int)json_integer_value(json_object_get(states, "done"));
    int unknown = (int)json_integer_value(json_object_get(states, "unknown"));
    printf("not repeatable: %d done, %d unknown\n", done, unknown);
    CU_ASSERT_EQUAL(done + unknown, 40);
    json_decref(states);
    json_t *history = Cluster_History(c);
    json_t *starts = json_object();
    size_t i;
    json_t *e;
    json_array_foreach(history, i, e)
    {
        const char *id = json_string_value(json_object_get(e, "task"));
        if (id == NULL || strncmp(id, once, strlen(once)) != 0 ||
            strcmp(json_string_value(json_object_get(e, "event")),
                   "task_start") != 0) {
            continue;
        }
        char key[64];
        snprintf(key, sizeof(key), "%s", id);
        *strrchr(key, '.') = '\0';
        CU_ASSERT_PTR_NULL(json_object_get(starts, key));
        json_object_set_new(starts, key, json_true());
    }
    json_decref(starts);
    json_decref(history);
    CU_ASSERT_EQUAL(Cluster_CountViolations(c), 0);
    free(batch);
    free(once);
    Cluster_Stop(c);
}

static const SuiteTest TESTS[] = {{"kill", test_kill},
                                  {"kill all", test_kill_all}};

SUITE_MAIN("entry_death", TESTS)
