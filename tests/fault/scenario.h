/* Helpers of the failure tests: a usual cluster, waiting for tasks, and
 * searches in the load's calls and in the stand-ins' history. Times are ms on
 * the boot-time clock. */
#ifndef GUAVAFLOW_TESTS_SCENARIO_H
#define GUAVAFLOW_TESTS_SCENARIO_H

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cluster.h"
#include "suite.h"

/* Returns the usual cluster: three entries, three racks of four workers. */
static inline ClusterConfig
scenario_config(uint16_t base_port)
{
    return (ClusterConfig){.base_port = base_port,
                           .entries = 3,
                           .racks = 3,
                           .workers_per_rack = 4,
                           .targets_per_rack = 2,
                           .desk_cores = 40,
                           .nesting_cores = 24,
                           .desk_requests = 200};
}

/* Returns how many of a job's tasks are in a state. */
static inline int
scenario_count_in_state(Cluster *c, int entry, const char *key,
                        const char *job, const char *state)
{
    json_t *states = Cluster_JobStates(c, entry, key, job);
    int count = (int)json_integer_value(json_object_get(states, state));
    json_decref(states);
    return count;
}

/* A condition: at least count tasks of a job are in a state. */
typedef struct {
    int entry;
    const char *key;
    const char *job;
    const char *state;
    int count;
} ScenarioCondition;

/* Returns whether a ScenarioCondition holds. */
static inline bool
scenario_holds(Cluster *c, void *arg)
{
    const ScenarioCondition *w = arg;
    return scenario_count_in_state(c, w->entry, w->key, w->job, w->state) >=
           w->count;
}

/* Waits until at least count tasks of a job are in a state, at most limit_ms.
 * Returns whether they are. */
static inline bool
scenario_wait(Cluster *c, int entry, const char *key, const char *job,
              const char *state, int count, int limit_ms)
{
    ScenarioCondition want = {entry, key, job, state, count};
    return Cluster_RunUntil(c, scenario_holds, &want, limit_ms);
}

/* Counts the calls that were sent from a time until before another and whose
 * answers say this about whether they ran (NULL: anything). */
static inline size_t
scenario_count_calls(const Cluster *c, int64_t from, int64_t to,
                     const char *ran)
{
    size_t count = 0;
    size_t found = 0;
    const ClusterCall *calls = Cluster_Calls(c, &count);
    for (size_t i = 0; i < count; i++) {
        if (calls[i].sent_at >= from && calls[i].sent_at < to &&
            (ran == NULL || strcmp(calls[i].ran, ran) == 0)) {
            found++;
        }
    }
    return found;
}

/* Returns the time of the first event of a type at or after a time whose
 * member starts with the prefix; 0 if there is none. */
static inline int64_t
scenario_first_event(const json_t *history, const char *type, int64_t after,
                     const char *member, const char *prefix)
{
    size_t i;
    json_t *e;
    json_array_foreach(history, i, e)
    {
        const char *event = json_string_value(json_object_get(e, "event"));
        const char *text = json_string_value(json_object_get(e, member));
        int64_t at = json_integer_value(json_object_get(e, "at"));
        if (at >= after && strcmp(event, type) == 0 && text != NULL &&
            strncmp(text, prefix, strlen(prefix)) == 0) {
            return at;
        }
    }
    return 0;
}

/* Returns the time of the last event of a type whose member starts with the
 * prefix; 0 if there is none. */
static inline int64_t
scenario_last_event(const json_t *history, const char *type,
                    const char *member, const char *prefix)
{
    int64_t last = 0;
    size_t i;
    json_t *e;
    json_array_foreach(history, i, e)
    {
        const char *event = json_string_value(json_object_get(e, "event"));
        const char *text = json_string_value(json_object_get(e, member));
        if (strcmp(event, type) == 0 && text != NULL &&
            strncmp(text, prefix, strlen(prefix)) == 0) {
            last = json_integer_value(json_object_get(e, "at"));
        }
    }
    return last;
}

#endif
