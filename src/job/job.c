#include "guavaflow/job.h"

#include <assert.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Highest values that a job may ask for, for each task. */
#define MAX_MCORES 1024000
#define MAX_MEMORY_MB (64 * 1024 * 1024)
#define MAX_ACCELERATORS 64
#define MAX_RUN_MS (30 * 24 * 3600 * 1000u)

/* Names in a job's status, by state. */
static const char *const STATE_NAMES[GF_JOB_STATES] = {
    "waiting", "intended", "placing",   "in_doubt", "running",
    "done",    "failed",   "cancelled", "unknown"};

/* Whether a task has run, as callers are told, by state. A cancelled task that
 * reached a worker is the exception: see task_ran. */
static const GfRan STATE_RAN[GF_JOB_STATES] = {
    GF_RAN_UNKNOWN, GF_RAN_UNKNOWN, GF_RAN_UNKNOWN, GF_RAN_UNKNOWN, GF_RAN_YES,
    GF_RAN_YES,     GF_RAN_YES,     GF_RAN_NO,      GF_RAN_UNKNOWN};

/* Returns the name under which a job's status shows the state; a constant. */
const char *
GfJobTaskState_Name(GfJobTaskState state)
{
    assert(state < GF_JOB_STATES);
    return STATE_NAMES[state];
}

/* Reads an optional integer field of a job into *value, or the default if it
 * is absent. Fails with GF_BAD_REQUEST if it is not an integer from low to
 * high. */
static bool
parse_number(const json_t *body, const char *name, uint32_t low, uint32_t high,
             uint32_t default_value, uint32_t *value, GfError *error)
{
    json_t *json = json_object_get(body, name);
    *value = default_value;
    if (json == NULL) {
        return true;
    }
    json_int_t n = json_integer_value(json);
    if (!json_is_integer(json) || n < (json_int_t)low ||
        n > (json_int_t)high) {
        return GfError_Set(error, GF_BAD_REQUEST,
                           "\"%s\" must be a whole number from %" PRIu32
                           " to %" PRIu32,
                           name, low, high);
    }
    *value = (uint32_t)n;
    return true;
}

/* Reads an optional boolean field of a job into *value, or the default if it
 * is absent. Fails with GF_BAD_REQUEST if it is not a boolean. */
static bool
parse_bool(const json_t *body, const char *name, bool default_value,
           bool *value, GfError *error)
{
    json_t *json = json_object_get(body, name);
    *value = default_value;
    if (json == NULL) {
        return true;
    }
    if (!json_is_boolean(json)) {
        return GfError_Set(error, GF_BAD_REQUEST,
                           "\"%s\" must be true or false", name);
    }
    *value = json_is_true(json);
    return true;
}

/* Rejects fields that a job does not have, so that a misspelt option is not
 * silently ignored. Fails with GF_BAD_REQUEST. */
static bool
check_fields(const json_t *body, GfError *error)
{
    static const char *const FIELDS[] = {
        "class",  "mcores",     "memory_mb", "accelerators", "count",
        "run_ms", "repeatable", "gang",      "fails",        "key"};
    const char *name;
    json_t *value;
    json_object_foreach((json_t *)body, name, value)
    {
        bool known = false;
        for (size_t i = 0; i < sizeof(FIELDS) / sizeof(FIELDS[0]); i++) {
            known = known || strcmp(FIELDS[i], name) == 0;
        }
        if (!known) {
            return GfError_Set(error, GF_BAD_REQUEST,
                               "a job has no field \"%.60s\"", name);
        }
    }
    return true;
}

/* Reads a job from a caller's JSON document and checks it. Absent fields get
 * their defaults; id and team are left empty for the caller to set. Fails with
 * GF_BAD_REQUEST and a text that names the field. */
bool
GfJobSpec_Parse(const json_t *body, GfJobSpec *spec, GfError *error)
{
    memset(spec, 0, sizeof(*spec));
    if (!json_is_object(body)) {
        return GfError_Set(error, GF_BAD_REQUEST,
                           "a job must be a JSON object");
    }
    const char *name = "batch";
    json_t *work_class = json_object_get(body, "class");
    if (work_class != NULL) {
        name = json_string_value(work_class);
    }
    if (!GfClass_FromName(name, &spec->work_class)) {
        return GfError_Set(error, GF_BAD_REQUEST,
                           "\"class\" must be urgent, service, gang or batch");
    }
    bool is_service = spec->work_class == GF_CLASS_SERVICE;
    bool good =
        check_fields(body, error) &&
        parse_number(body, "mcores", 1, MAX_MCORES, 1000, &spec->need.mcores,
                     error) &&
        parse_number(body, "memory_mb", 0, MAX_MEMORY_MB, 256,
                     &spec->need.memory_mb, error) &&
        parse_number(body, "accelerators", 0, MAX_ACCELERATORS, 0,
                     &spec->need.accelerators, error) &&
        parse_number(body, "count", 1, GF_JOB_MAX_TASKS, 1, &spec->count,
                     error) &&
        parse_number(body, "run_ms", 0, MAX_RUN_MS, is_service ? 0 : 1000,
                     &spec->run_ms, error) &&
        parse_bool(body, "repeatable", true, &spec->repeatable, error) &&
        parse_bool(body, "gang", spec->work_class == GF_CLASS_GANG,
                   &spec->gang, error) &&
        parse_bool(body, "fails", false, &spec->fails, error);
    if (good && is_service && (!spec->repeatable || spec->gang)) {
        return GfError_Set(
            error, GF_BAD_REQUEST,
            "a service must be repeatable and must not be a gang");
    }
    if (good && !is_service && spec->run_ms == 0) {
        return GfError_Set(error, GF_BAD_REQUEST,
                           "\"run_ms\" may be 0 for a service only");
    }
    return good;
}

/* Returns the id of a job: its partition and a number that must be unique
 * within the partition. */
GfName
GfJob_MakeId(uint32_t partition, uint64_t number)
{
    return GfName_Format("j%03" PRIu32 "-%016" PRIx64, partition, number);
}

/* Creates a job that is not accepted yet and whose tasks all wait. The spec is
 * copied; its id must name a partition. Free with GfJob_Destroy. */
GfJob *
GfJob_Create(const GfJobSpec *spec)
{
    assert(spec->count > 0 && spec->count <= GF_JOB_MAX_TASKS);
    GfJob *job = calloc(1, sizeof(*job));
    if (job == NULL) {
        abort();
    }
    job->spec = *spec;
    job->tasks = calloc(spec->count, sizeof(*job->tasks));
    if (job->tasks == NULL) {
        abort();
    }
    GfTask_Partition(&spec->id, &job->partition);
    for (uint32_t i = 0; i < spec->count; i++) {
        job->tasks[i].job = job;
        job->tasks[i].index = i;
    }
    return job;
}

/* Frees a job and its tasks, which must not be queued. NULL is allowed. */
void
GfJob_Destroy(GfJob *job)
{
    if (job != NULL) {
        free(job->tasks);
        free(job);
    }
}

/* Returns whether the task's state is final. */
bool
GfJobTask_IsFinal(const GfJobTask *task)
{
    return task->state == GF_JOB_DONE || task->state == GF_JOB_FAILED ||
           task->state == GF_JOB_CANCELLED || task->state == GF_JOB_UNKNOWN;
}

/* Returns the id of the task's current attempt: JOB.INDEX.ATTEMPT. */
GfName
GfJobTask_Id(const GfJobTask *task)
{
    return GfName_Format("%s.%" PRIu32 ".%" PRIu32, task->job->spec.id.data,
                         task->index, task->attempt);
}

/* Returns what the scheduler of a rack needs to start the current attempt. */
GfTaskSpec
GfJobTask_Spec(const GfJobTask *task)
{
    const GfJobSpec *job = &task->job->spec;
    return (GfTaskSpec){.id = GfJobTask_Id(task),
                        .team = job->team,
                        .need = job->need,
                        .run_ms = job->run_ms,
                        .work_class = job->work_class,
                        .repeatable = job->repeatable,
                        .fails = job->fails};
}

/* Reads the task's index and the attempt from an attempt's id. Returns false
 * if the id has no such parts. */
bool
GfJobTask_ParseId(const GfName *id, uint32_t *index, uint32_t *attempt)
{
    const char *dot = strchr(id->data, '.');
    return dot != NULL &&
           sscanf(dot, ".%" SCNu32 ".%" SCNu32, index, attempt) == 2;
}

/* Returns the journal record of an accepted job; the caller owns it. Its
 * fields but t, id and team are those of GfJobSpec_Parse, which reads them
 * back. */
json_t *
GfJob_Record(const GfJob *job)
{
    const GfJobSpec *s = &job->spec;
    return json_pack(
        "{s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:i,s:I,s:b,s:b,s:b}", "t", "job", "id",
        s->id.data, "team", s->team.data, "class", GfClass_Name(s->work_class),
        "mcores", (int)s->need.mcores, "memory_mb", (int)s->need.memory_mb,
        "accelerators", (int)s->need.accelerators, "count", (int)s->count,
        "run_ms", (json_int_t)s->run_ms, "repeatable", s->repeatable, "gang",
        s->gang, "fails", s->fails);
}

/* Returns the journal record of a task's state, attempt, exit code and rack;
 * the caller owns it. */
json_t *
GfJobTask_Record(const GfJobTask *task)
{
    return json_pack("{s:s,s:s,s:i,s:i,s:i,s:i,s:s}", "t", "task", "id",
                     task->job->spec.id.data, "i", (int)task->index, "s",
                     (int)task->state, "a", (int)task->attempt, "x",
                     task->exit_code, "r", task->rack.data);
}

/* Returns the journal record of a job's cancellation; the caller owns it. */
json_t *
GfJob_CancelRecord(const GfJob *job)
{
    return json_pack("{s:s,s:s}", "t", "cancel", "id", job->spec.id.data);
}

/* Reads a job from a record made by GfJob_Record. Returns false if the record
 * is malformed. */
bool
GfJob_FromRecord(const json_t *record, GfJobSpec *spec)
{
    json_t *fields = json_copy((json_t *)record);
    json_object_del(fields, "t");
    json_object_del(fields, "id");
    json_object_del(fields, "team");
    GfError error;
    bool good =
        GfJobSpec_Parse(fields, spec, &error) &&
        GfName_SetText(&spec->id,
                       json_string_value(json_object_get(record, "id"))) &&
        GfName_SetText(&spec->team,
                       json_string_value(json_object_get(record, "team")));
    json_decref(fields);
    return good;
}

/* Returns whether a task has run. A cancelled task has if a worker is known
 * for it. */
static GfRan
task_ran(const GfJobTask *task)
{
    if (task->state == GF_JOB_CANCELLED && task->worker.len > 0) {
        return GF_RAN_YES;
    }
    return STATE_RAN[task->state];
}

/* Returns the job as callers see it: the number of tasks in each state, and
 * details of the first MAX_LISTED tasks. The caller owns the result. */
json_t *
GfJob_Status(const GfJob *job)
{
    enum { MAX_LISTED = 64 };
    uint32_t counts[GF_JOB_STATES] = {0};
    json_t *tasks = json_array();
    for (uint32_t i = 0; i < job->spec.count; i++) {
        const GfJobTask *t = &job->tasks[i];
        counts[t->state]++;
        if (i < MAX_LISTED) {
            GfRan ran = task_ran(t);
            json_array_append_new(
                tasks, json_pack("{s:i,s:s,s:s,s:s,s:i,s:i}", "index", (int)i,
                                 "state", STATE_NAMES[t->state], "ran",
                                 GfRan_Name(ran), "worker", t->worker.data,
                                 "attempts", (int)t->attempt, "exit_code",
                                 t->exit_code));
        }
    }
    json_t *by_state = json_object();
    for (int i = 0; i < GF_JOB_STATES; i++) {
        if (counts[i] > 0) {
            json_object_set_new(by_state, STATE_NAMES[i],
                                json_integer(counts[i]));
        }
    }
    return json_pack("{s:s,s:s,s:s,s:i,s:b,s:o,s:o}", "job", job->spec.id.data,
                     "team", job->spec.team.data, "class",
                     GfClass_Name(job->spec.work_class), "count",
                     (int)job->spec.count, "cancelled", job->cancelled,
                     "states", by_state, "tasks", tasks);
}
