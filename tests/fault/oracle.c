/* Checks the invariants that must hold whatever fails: no host exceeds its
 * capacity, no task runs twice at once, no team exceeds its limits, and each
 * answer of the load is true, with no request run more than once. What really
 * happened is taken from the histories of workers and targets. */
#include "cluster.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "oracle.h"

#define MAX_TEAMS 8

/* Returns a string member of an event, or "" if it is missing. */
static const char *
text_of(const json_t *event, const char *name)
{
    const char *text = json_string_value(json_object_get(event, name));
    return text == NULL ? "" : text;
}

/* Returns whether an event is of the given type. */
static bool
is_event(const json_t *event, const char *type)
{
    return strcmp(text_of(event, "event"), type) == 0;
}

/* Returns the time of an event in ms. */
static int64_t
time_of(const json_t *event)
{
    return json_integer_value(json_object_get(event, "at"));
}

/* A qsort comparison of events by time; at the same time, ends come before
 * starts. */
static int
compare_times(const void *a, const void *b)
{
    const json_t *x = *(json_t *const *)a;
    const json_t *y = *(json_t *const *)b;
    if (time_of(x) != time_of(y)) {
        return time_of(x) < time_of(y) ? -1 : 1;
    }
    bool x_ends = strstr(text_of(x, "event"), "_end") != NULL;
    bool y_ends = strstr(text_of(y, "event"), "_end") != NULL;
    return (int)y_ends - (int)x_ends;
}

/* Returns the events of all workers and targets, in order of time. The caller
 * owns the result. */
json_t *
Cluster_History(Cluster *c)
{
    const ClusterConfig *config = Oracle_Config(c);
    json_t *all = json_array();
    for (int r = 0; r < config->racks; r++) {
        uint16_t ports[2] = {Cluster_WorkersPort(c, r),
                             Cluster_TargetsPort(c, r)};
        for (int p = 0; p < 2; p++) {
            json_t *body = Cluster_Call(c, ports[p], "GET", "/test/history",
                                        NULL, NULL, NULL);
            json_array_extend(all, json_object_get(body, "history"));
            json_decref(body);
        }
    }
    size_t count = json_array_size(all);
    json_t **sorted = calloc(count + 1, sizeof(*sorted));
    for (size_t i = 0; i < count; i++) {
        sorted[i] = json_incref(json_array_get(all, i));
    }
    qsort(sorted, count, sizeof(*sorted), compare_times);
    json_decref(all);
    all = json_array();
    for (size_t i = 0; i < count; i++) {
        json_array_append_new(all, sorted[i]);
    }
    free(sorted);
    return all;
}

/* Prints a violation, with its event unless that is NULL. Returns 1, to be
 * added to the count. */
static int
report_violation(const char *what, const json_t *event)
{
    char *text = event == NULL ? NULL : json_dumps(event, JSON_COMPACT);
    printf("BREACH: %s %s\n", what, text == NULL ? "" : text);
    free(text);
    return 1;
}

/* Copies a task's id without the number of the attempt to a buffer of size
 * bytes. The rest identifies the job and the task in it. */
static void
task_key(const char *id, char *key, size_t size)
{
    snprintf(key, size, "%s", id);
    char *dot = strrchr(key, '.');
    if (dot != NULL) {
        *dot = '\0';
    }
}

/* Checks that no host exceeded its capacity. */
static int
check_overcommit(const json_t *history)
{
    int violations = 0;
    size_t i;
    json_t *event;
    json_array_foreach(history, i, event)
    {
        if (is_event(event, "overcommit")) {
            violations += report_violation("overcommitted host", event);
        }
    }
    return violations;
}

/* Checks that no two attempts of a task ran at the same time. */
static int
check_single_runs(const json_t *history)
{
    int violations = 0;
    json_t *running = json_object();
    size_t i;
    json_t *event;
    json_array_foreach(history, i, event)
    {
        char key[64];
        task_key(text_of(event, "task"), key, sizeof(key));
        if (is_event(event, "task_start")) {
            if (json_object_get(running, key) != NULL) {
                violations +=
                    report_violation("task runs twice at once", event);
            }
            json_object_set(running, key, event);
        }
        else if (is_event(event, "task_end")) {
            json_object_del(running, key);
        }
    }
    json_decref(running);
    return violations;
}

/* Checks that no team exceeded its limit of processors, and desk not its limit
 * of requests. Prints the most that the teams used. */
static int
check_limits(const ClusterConfig *config, const json_t *history)
{
    int violations = 0;
    int64_t mcores[2] = {0};
    int64_t requests = 0;
    int64_t peak[2] = {0};
    int64_t limits[2] = {config->desk_cores * 1000,
                         config->nesting_cores * 1000};
    json_t *starts_by_id = json_object();
    size_t i;
    json_t *event;
    json_array_foreach(history, i, event)
    {
        const char *id = text_of(event, "task");
        if (is_event(event, "task_start")) {
            int team = strcmp(text_of(event, "team"), "desk") == 0 ? 0 : 1;
            json_object_set(starts_by_id, id, event);
            mcores[team] +=
                json_integer_value(json_object_get(event, "mcores"));
            peak[team] = mcores[team] > peak[team] ? mcores[team] : peak[team];
            if (mcores[team] > limits[team]) {
                violations +=
                    report_violation("team over its limit of cores", event);
            }
        }
        else if (is_event(event, "task_end")) {
            json_t *start = json_object_get(starts_by_id, id);
            int team = strcmp(text_of(start, "team"), "desk") == 0 ? 0 : 1;
            mcores[team] -=
                json_integer_value(json_object_get(start, "mcores"));
            json_object_del(starts_by_id, id);
        }
        else if (is_event(event, "call_start") &&
                 strcmp(text_of(event, "team"), "desk") == 0) {
            requests++;
            if (requests > config->desk_requests) {
                violations +=
                    report_violation("team over its limit of requests", event);
            }
        }
        else if (is_event(event, "call_end") &&
                 strcmp(text_of(event, "team"), "desk") == 0) {
            requests--;
        }
    }
    json_decref(starts_by_id);
    printf("peaks: desk %lld and nesting %lld millicores\n",
           (long long)peak[0], (long long)peak[1]);
    return violations;
}

/* Prints how many calls were answered with each kind. */
static void
print_kinds(const ClusterCall *calls, size_t count)
{
    json_t *kinds = json_object();
    for (size_t i = 0; i < count; i++) {
        const char *kind =
            calls[i].kind[0] == '\0' ? "unanswered" : calls[i].kind;
        json_int_t n = json_integer_value(json_object_get(kinds, kind));
        json_object_set_new(kinds, kind, json_integer(n + 1));
    }
    char *text = json_dumps(kinds, JSON_COMPACT);
    printf("kinds: %s\n", text);
    free(text);
    json_decref(kinds);
}

/* Checks the answer to each call of the load against what the targets ran: an
 * answer that says yes or no is true, no request ran more than once, and none
 * got the answer of another. */
static int
check_answers(Cluster *c, const json_t *history)
{
    int violations = 0;
    json_t *starts = json_object();
    json_t *ids = json_object();
    size_t i;
    json_t *event;
    json_array_foreach(history, i, event)
    {
        if (is_event(event, "call_start")) {
            const char *work = text_of(event, "work");
            json_int_t n = json_integer_value(json_object_get(starts, work));
            json_object_set_new(starts, work, json_integer(n + 1));
            json_object_set_new(ids, text_of(event, "id"), json_string(work));
        }
    }
    size_t count = 0;
    const ClusterCall *calls = Cluster_Calls(c, &count);
    size_t served = 0;
    size_t refused = 0;
    size_t unknown = 0;
    for (i = 0; i < count; i++) {
        const ClusterCall *call = &calls[i];
        json_int_t ran =
            json_integer_value(json_object_get(starts, call->tag));
        served += strcmp(call->ran, "yes") == 0;
        refused += strcmp(call->ran, "no") == 0;
        unknown += strcmp(call->ran, "unknown") == 0;
        if (strcmp(call->ran, "no") == 0 && ran > 0) {
            violations += report_violation(
                "request ran although the answer says no", NULL);
            printf("  %s kind %s ran %lld times\n", call->tag, call->kind,
                   (long long)ran);
        }
        if (strcmp(call->ran, "yes") == 0 && ran == 0) {
            violations += report_violation(
                "request did not run although the answer says yes", NULL);
        }
        if (ran > 1) {
            violations += report_violation("request ran more than once", NULL);
            printf("  %s key %s kind %s ran %lld times\n", call->tag,
                   call->key, call->kind, (long long)ran);
        }
        const char *work = text_of(ids, call->echo);
        if (call->echo[0] != '\0' && strcmp(work, call->tag) != 0) {
            violations += report_violation(
                "request got the answer of another one", NULL);
        }
    }
    printf("calls %zu: ran yes %zu, no %zu, unknown %zu\n", count, served,
           refused, unknown);
    print_kinds(calls, count);
    json_decref(starts);
    json_decref(ids);
    return violations;
}

/* Checks all invariants on what happened so far and returns the number of
 * violations. */
int
Cluster_CountViolations(Cluster *c)
{
    json_t *history = Cluster_History(c);
    int violations = check_overcommit(history) + check_single_runs(history) +
                     check_limits(Oracle_Config(c), history) +
                     check_answers(c, history);
    json_decref(history);
    return violations;
}
