/* The stored row of a job: its state, which tasks are done, their counted
 * failures and checkpoints. Current runs are not stored; the workers'
 * inventories report them. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "cell_private.h"
#include "guavaflow/log.h"

/* Returns a string with a character for each task of the step, '1' if it is
 * done, else '0'; NULL if none is done. */
static json_t *
save_done(const Job *job, uint32_t occurrence, uint32_t number)
{
    const Occurrence *o = &job->occurrences[occurrence];
    const Step *step = o->steps == NULL ? NULL : &o->steps[number];
    uint32_t count = job->spec.steps[number].task_count;
    if (step == NULL ? o->left > 0 : step->unfinished == count) {
        return NULL;
    }
    char *text = malloc(count + 1U);
    if (text == NULL) {
        abort();
    }
    for (uint32_t i = 0; i < count; i++) {
        bool done = step == NULL || step->tasks == NULL || step->tasks[i].done;
        text[i] = done ? '1' : '0';
    }
    json_t *json = json_stringn(text, count);
    free(text);
    return json;
}

/* The lists of a row that have entries for tasks. */
typedef struct {
    json_t *failures;
    json_t *checkpoints;
    json_t *crashes;
    json_t *placements;
} TaskLists;

/* Appends to the lists what is stored of the step's unfinished tasks. at is
 * the index of the step over all occurrences. */
static void
save_tasks(const Step *step, size_t at, const TaskLists *lists)
{
    for (uint32_t i = 0; i < step->spec->task_count; i++) {
        const Task *t = &step->tasks[i];
        if (t->done) {
            continue;
        }
        if (t->failures > 0 && !step->spec->long_running) {
            json_t *entry = json_pack("[I,i]", (json_int_t)at, (int)i);
            for (uint32_t k = 0; k < t->failures; k++) {
                json_array_append_new(
                    entry, json_integer((json_int_t)t->failed_runs[k]));
            }
            json_array_append_new(lists->failures, entry);
        }
        if (t->checkpoint != NULL) {
            json_array_append_new(
                lists->checkpoints,
                json_pack("[I,i,s]", (json_int_t)at, (int)i, t->checkpoint));
        }
        CellCrash_Save(t, at, lists->crashes, lists->placements);
    }
}

/* Moves a list to a row, unless it is empty. */
static void
set_list(json_t *row, const char *name, json_t *list)
{
    if (json_array_size(list) > 0) {
        json_object_set(row, name, list);
    }
    json_decref(list);
}

/* Returns the row of a job, which the caller owns. The row of a finished job
 * holds its state only. */
json_t *
CellProgress_Save(const Job *job)
{
    json_t *row = json_object();
    json_object_set_new(row, "state",
                        json_string(GfJobState_Name(job->state)));
    if (!CellJob_Active(job)) {
        return row;
    }
    json_t *done = json_object();
    TaskLists lists = {json_array(), json_array(), json_array(), json_array()};
    for (uint32_t k = 0; k < job->spec.occurrences; k++) {
        for (uint32_t i = 0; i < job->spec.step_count; i++) {
            size_t at = (size_t)k * job->spec.step_count + i;
            json_t *text = save_done(job, k, i);
            char key[16];
            snprintf(key, sizeof(key), "%zu", at);
            if (text != NULL) {
                json_object_set_new(done, key, text);
            }
            const Step *step = job->occurrences[k].steps == NULL
                                   ? NULL
                                   : &job->occurrences[k].steps[i];
            if (step != NULL && step->tasks != NULL) {
                save_tasks(step, at, &lists);
            }
        }
    }
    json_object_set_new(row, "done", done);
    set_list(row, "failures", lists.failures);
    set_list(row, "checkpoints", lists.checkpoints);
    set_list(row, "crashes", lists.crashes);
    set_list(row, "placements", lists.placements);
    return row;
}

/* Returns the task that a stored entry [step, index, ...] names, or NULL if it
 * is out of range or done. The step counts over all occurrences. */
static Task *
find_task(Job *job, const json_t *entry)
{
    json_int_t at = json_integer_value(json_array_get(entry, 0));
    json_int_t index = json_integer_value(json_array_get(entry, 1));
    size_t count = job->spec.step_count;
    if (at < 0 || (size_t)at >= job->spec.occurrences * count || index < 0 ||
        index >= job->spec.steps[(size_t)at % count].task_count) {
        return NULL;
    }
    return CellOccurrence_DemandTask(job, (uint32_t)((size_t)at / count),
                                     (uint32_t)((size_t)at % count),
                                     (uint32_t)index);
}

/* Marks the tasks of a step as done that the stored text says are done. */
static void
load_step(Job *job, uint32_t occurrence, uint32_t number, const char *text,
          size_t len)
{
    uint32_t count = job->spec.steps[number].task_count;
    if (len >= count && memchr(text, '0', count) == NULL) {
        CellOccurrence_FinishStep(job, occurrence, number);
        return;
    }
    for (uint32_t t = 0; t < len && t < count; t++) {
        Task *task =
            text[t] == '1'
                ? CellOccurrence_DemandTask(job, occurrence, number, t)
                : NULL;
        if (task != NULL) {
            CellJob_TaskDone(task);
        }
    }
}

/* Marks the tasks as done that the stored row says are done. */
static void
load_done(Job *job, json_t *done)
{
    const char *key;
    json_t *text;
    json_object_foreach(done, key, text)
    {
        unsigned long at = strtoul(key, NULL, 10);
        size_t count = job->spec.step_count;
        if (at < job->spec.occurrences * count && json_is_string(text)) {
            load_step(job, (uint32_t)(at / count), (uint32_t)(at % count),
                      json_string_value(text), json_string_length(text));
        }
    }
}

/* Restores the counted crashes of the job's tasks and where they ran. */
static void
load_crashes(Job *job, const json_t *row)
{
    size_t i;
    json_t *entry;
    json_array_foreach(json_object_get(row, "crashes"), i, entry)
    {
        Task *task = find_task(job, entry);
        for (size_t k = 2; task != NULL && k < json_array_size(entry); k++) {
            CellCrash_Add(task, json_integer_value(json_array_get(entry, k)));
        }
        if (task != NULL) {
            CellCrash_Loaded(task);
        }
    }
    json_array_foreach(json_object_get(row, "placements"), i, entry)
    {
        Task *task = find_task(job, entry);
        if (task != NULL) {
            CellCrash_LoadPlacement(task, entry);
        }
    }
}

/* Restores the state of a new job from its stored row, which stays the
 * caller's. The job is marked as changed only if its state differs from the
 * stored one. */
void
CellProgress_Load(Job *job, const json_t *row)
{
    const char *name = json_string_value(json_object_get(row, "state"));
    GfJobState state = GF_JOB_QUEUED;
    for (int i = 0; name != NULL && i < GF_JOB_STATES; i++) {
        if (strcmp(GfJobState_Name((GfJobState)i), name) == 0) {
            state = (GfJobState)i;
        }
    }
    if (name == NULL) {
        GfLog(GF_LOG_WARNING, CELL_PART, "stored job row has no state id=%s",
              job->id.data);
    }
    job->stored_state = state;
    job->state = state;
    if (!CellJob_Active(job)) {
        job->finished_at = GfClock_Now(job->cell->clock);
    }
    else {
        load_done(job, json_object_get(row, "done"));
        size_t i;
        json_t *entry;
        json_array_foreach(json_object_get(row, "failures"), i, entry)
        {
            Task *task = find_task(job, entry);
            for (size_t k = 2; task != NULL && k < json_array_size(entry);
                 k++) {
                CellTask_AddFailure(
                    task, json_integer_value(json_array_get(entry, k)));
            }
        }
        json_array_foreach(json_object_get(row, "checkpoints"), i, entry)
        {
            Task *task = find_task(job, entry);
            if (task != NULL) {
                CellTask_SetCheckpoint(
                    task, json_string_value(json_array_get(entry, 2)));
            }
        }
        load_crashes(job, row);
    }
    if (job->dirty && job->state == job->stored_state) {
        DL_DELETE2(job->cell->dirty_jobs, job, prev_dirty, next_dirty);
        job->dirty = false;
    }
}
