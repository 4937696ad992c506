/* What is stored of a job: its state, which tasks are done, their counted
 * failures and checkpoints. Current runs are not stored; the workers'
 * inventories report them. A job has one row, or a main row with its finished
 * steps and others with blocks of tasks; see job_rows.c. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>
#include <utlist.h>

#include "cell_private.h"
#include "guavaflow/log.h"

/* The latest failures of a task that are stored by their run; earlier ones are
 * reported no more, so their number is enough. */
#define SAVED_FAILURES 16
/* More earlier failures of a task are not read from a row. */
#define MAX_LOADED_FAILURES 100000
/* A longer checkpoint is not stored. */
#define SAVED_CHECKPOINT_BYTES 1024

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
    json_t *doubts;
    json_t *placements;
    json_t *intended;
    json_t *late_starts;
} TaskLists;

/* Returns empty lists; set_lists releases them. */
static TaskLists
make_lists(void)
{
    return (TaskLists){json_array(), json_array(), json_array(), json_array(),
                       json_array(), json_array(), json_array()};
}

/* Appends the entry of a task's failures. Those beyond SAVED_FAILURES are a
 * negative number, their count. */
static void
save_failures(const Task *t, size_t at, json_t *failures)
{
    json_t *entry = json_pack("[I,i]", (json_int_t)at, (int)t->index);
    uint32_t first =
        t->failures > SAVED_FAILURES ? t->failures - SAVED_FAILURES : 0;
    if (first > 0) {
        json_array_append_new(entry, json_integer(-(json_int_t)first));
    }
    for (uint32_t k = first; k < t->failures; k++) {
        json_array_append_new(entry,
                              json_integer((json_int_t)t->failed_runs[k]));
    }
    json_array_append_new(failures, entry);
}

/* Appends to the lists what is stored of the step's unfinished tasks from one
 * index to before another. at is the number of the step over all occurrences.
 * Checkpoints and workers are left out unless whole is set. */
static void
save_tasks(const Step *step, size_t at, uint32_t from, uint32_t to,
           const TaskLists *lists, bool whole)
{
    for (uint32_t i = from; i < to; i++) {
        const Task *t = &step->tasks[i];
        if (t->done) {
            continue;
        }
        if (t->failures > 0 && !step->spec->long_running) {
            save_failures(t, at, lists->failures);
        }
        if (whole && t->checkpoint != NULL &&
            strlen(t->checkpoint) <= SAVED_CHECKPOINT_BYTES) {
            json_array_append_new(
                lists->checkpoints,
                json_pack("[I,i,s]", (json_int_t)at, (int)i, t->checkpoint));
        }
        if (t->crashes > 0) {
            json_array_append_new(
                lists->crashes,
                CellCrash_SaveKeys(at, i, t->crashed_keys, t->crashes));
        }
        if (t->doubts > 0) {
            json_array_append_new(
                lists->doubts,
                CellCrash_SaveKeys(at, i, t->doubted_keys, t->doubts));
        }
        if (whole) {
            CellCrash_SavePlacements(t, at, lists->placements,
                                     lists->intended);
            CellLateStart_Save(t, at, lists->late_starts);
        }
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

/* Moves the lists of tasks to a row, those that are not empty. */
static void
set_lists(json_t *row, const TaskLists *lists)
{
    set_list(row, "failures", lists->failures);
    set_list(row, "checkpoints", lists->checkpoints);
    set_list(row, "crashes", lists->crashes);
    set_list(row, "doubts", lists->doubts);
    set_list(row, "placements", lists->placements);
    set_list(row, "intended", lists->intended);
    set_list(row, "late_starts", lists->late_starts);
}

/* Returns whether all tasks of a step of a job are done. */
static bool
is_finished(const Job *job, uint32_t occurrence, uint32_t number)
{
    const Occurrence *o = &job->occurrences[occurrence];
    return o->left == 0 ||
           (o->steps != NULL && o->steps[number].unfinished == 0);
}

/* Adds to the main row of a job with several rows which steps are finished, a
 * bit for each step over all occurrences. */
static void
save_finished(const Job *job, json_t *row)
{
    size_t total = (size_t)job->spec.occurrences * job->spec.step_count;
    size_t size = total / 8 + 1;
    size_t text_size =
        sodium_base64_encoded_len(size, sodium_base64_VARIANT_ORIGINAL);
    unsigned char *bits = calloc(size, 1);
    char *text = malloc(text_size);
    if (bits == NULL || text == NULL) {
        abort();
    }
    size_t at = 0;
    for (uint32_t k = 0; k < job->spec.occurrences; k++) {
        for (uint32_t i = 0; i < job->spec.step_count; i++, at++) {
            if (is_finished(job, k, i)) {
                bits[at / 8] |= (unsigned char)(1U << at % 8);
            }
        }
    }
    sodium_bin2base64(text, text_size, bits, size,
                      sodium_base64_VARIANT_ORIGINAL);
    json_object_set_new(row, "finished", json_string(text));
    free(bits);
    free(text);
}

/* Returns the main row of a job, which the caller owns. The row of a finished
 * job holds its state only. */
json_t *
CellProgress_Save(const Job *job)
{
    json_t *row = json_object();
    json_object_set_new(row, "state",
                        json_string(GfJobState_Name(job->state)));
    if (!CellJob_Active(job)) {
        return row;
    }
    if (job->spilled) {
        save_finished(job, row);
        return row;
    }
    json_t *done = json_object();
    TaskLists lists = make_lists();
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
                save_tasks(step, at, 0, step->spec->task_count, &lists, true);
            }
        }
    }
    json_object_set_new(row, "done", done);
    set_lists(row, &lists);
    return row;
}

/* Returns the row of a block of a step with tasks, which the caller owns, or
 * NULL if there is nothing to store of them. at is the number of the step over
 * all occurrences. Checkpoints and workers are left out unless whole is
 * set. */
json_t *
CellProgress_SaveBlock(const Step *step, size_t at, uint32_t block, bool whole)
{
    uint32_t from = block * CELL_BLOCK_TASKS;
    uint32_t to = from + CELL_BLOCK_TASKS < step->spec->task_count
                      ? from + CELL_BLOCK_TASKS
                      : step->spec->task_count;
    char done[CELL_BLOCK_TASKS + 1] = "";
    bool any = false;
    for (uint32_t i = from; i < to; i++) {
        done[i - from] = step->tasks[i].done ? '1' : '0';
        any = any || step->tasks[i].done;
    }
    TaskLists lists = make_lists();
    save_tasks(step, at, from, to, &lists, whole);
    json_t *row =
        json_pack("{s:I,s:i}", "step", (json_int_t)at, "block", (int)block);
    if (any) {
        json_object_set_new(row, "done", json_string(done));
    }
    set_lists(row, &lists);
    if (json_object_size(row) == 2 &&
        (step->blocks[block] & CELL_BLOCK_STORED) == 0) {
        json_decref(row);
        return NULL;
    }
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

/* Restores the counted failures of the job's tasks. */
static void
load_failures(Job *job, const json_t *row)
{
    size_t i;
    json_t *entry;
    json_array_foreach(json_object_get(row, "failures"), i, entry)
    {
        job->has_failures = true;
        Task *task = find_task(job, entry);
        for (size_t k = 2; task != NULL && k < json_array_size(entry); k++) {
            json_int_t run = json_integer_value(json_array_get(entry, k));
            for (json_int_t n = run; n < -1 && n >= -MAX_LOADED_FAILURES;
                 n++) {
                CellTask_AddFailure(task, n);
            }
            CellTask_AddFailure(task, run < 0 ? -1 : run);
        }
    }
}

/* Restores on which workers tasks ran or, unless confirmed is set, may have
 * been started. */
static void
load_placements(Job *job, const json_t *list, bool confirmed)
{
    size_t i;
    json_t *entry;
    json_array_foreach(list, i, entry)
    {
        Task *task = find_task(job, entry);
        if (task != NULL) {
            CellCrash_LoadPlacement(task, entry, confirmed);
        }
    }
}

/* Restores what the lists of a row say of the job's tasks. */
static void
load_lists(Job *job, const json_t *row)
{
    load_failures(job, row);
    size_t i;
    json_t *entry;
    json_array_foreach(json_object_get(row, "checkpoints"), i, entry)
    {
        Task *task = find_task(job, entry);
        if (task != NULL) {
            CellTask_SetCheckpoint(
                task, json_string_value(json_array_get(entry, 2)));
        }
    }
    json_array_foreach(json_object_get(row, "crashes"), i, entry)
    {
        Task *task = find_task(job, entry);
        for (size_t k = 2; task != NULL && k < json_array_size(entry); k++) {
            CellCrash_Add(task, json_integer_value(json_array_get(entry, k)));
        }
        if (task != NULL) {
            CellCrash_Check(task);
        }
    }
    json_array_foreach(json_object_get(row, "doubts"), i, entry)
    {
        Task *task = find_task(job, entry);
        for (size_t k = 2; task != NULL && k < json_array_size(entry); k++) {
            CellCrash_AddDoubt(task,
                               json_integer_value(json_array_get(entry, k)));
        }
        if (task != NULL) {
            CellCrash_Check(task);
        }
    }
    load_placements(job, json_object_get(row, "placements"), true);
    load_placements(job, json_object_get(row, "intended"), false);
    json_array_foreach(json_object_get(row, "late_starts"), i, entry)
    {
        Task *task = find_task(job, entry);
        if (task != NULL) {
            CellLateStart_Load(task, entry);
        }
    }
}

/* Marks the steps as finished that the main row of a job with several rows
 * names. */
static void
load_finished(Job *job, const json_t *text)
{
    size_t total = (size_t)job->spec.occurrences * job->spec.step_count;
    unsigned char *bits = calloc(total / 8 + 1, 1);
    if (bits == NULL) {
        abort();
    }
    size_t len = 0;
    if (sodium_base642bin(bits, total / 8 + 1, json_string_value(text),
                          json_string_length(text), NULL, &len, NULL,
                          sodium_base64_VARIANT_ORIGINAL) != 0) {
        GfLog(GF_LOG_WARNING, CELL_PART,
              "finished steps of a stored job unreadable id=%s", job->id.data);
        len = 0;
    }
    for (size_t at = 0; at < total && at < len * 8; at++) {
        if ((bits[at / 8] >> at % 8 & 1U) != 0) {
            CellOccurrence_FinishStep(job,
                                      (uint32_t)(at / job->spec.step_count),
                                      (uint32_t)(at % job->spec.step_count));
        }
    }
    free(bits);
}

/* Restores a block of tasks from its row. */
static void
load_block(Job *job, const json_t *row)
{
    json_int_t at = json_integer_value(json_object_get(row, "step"));
    json_int_t block = json_integer_value(json_object_get(row, "block"));
    const char *done = json_string_value(json_object_get(row, "done"));
    if (at < 0 || block < 0 || block > GF_JOB_MAX_TASKS / CELL_BLOCK_TASKS) {
        return;
    }
    for (size_t i = 0; done != NULL && done[i] != '\0'; i++) {
        json_t *entry =
            json_pack("[I,I]", at, block * CELL_BLOCK_TASKS + (json_int_t)i);
        Task *task = done[i] == '1' ? find_task(job, entry) : NULL;
        if (task != NULL) {
            CellJob_TaskDone(task);
        }
        json_decref(entry);
    }
    load_lists(job, row);
    CellJobRows_Loaded(job, (size_t)at, (uint32_t)block);
}

/* Restores the progress of an active job. Beside blocks, its main row may be
 * the one row that it had before a former owner began to split it. */
static void
load_progress(Job *job, const json_t *row)
{
    const json_t *finished = json_object_get(row, "finished");
    const json_t *blocks = json_object_get(row, "blocks");
    if (json_is_string(finished)) {
        job->spilled = true;
        job->split_stored = true;
        load_finished(job, finished);
    }
    else {
        load_done(job, json_object_get(row, "done"));
        load_lists(job, row);
    }
    size_t i;
    json_t *block;
    json_array_foreach(blocks, i, block)
    {
        load_block(job, block);
    }
    if (!job->spilled && json_array_size(blocks) > 0) {
        GfLog(GF_LOG_INFO, CELL_PART,
              "job was being split into several rows id=%s blocks=%zu",
              job->id.data, json_array_size(blocks));
        CellJobRows_Split(job);
    }
}

/* Restores the state of a new job from its stored main row, with those of its
 * blocks as an array "blocks" in it; the row stays the caller's. The job is
 * marked as changed only if its state differs from the stored one or rows are
 * to be removed. */
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
        load_progress(job, row);
    }
    if (job->dirty && job->state == job->stored_state &&
        job->obsolete_count == 0) {
        DL_DELETE2(job->cell->dirty_jobs, job, prev_dirty, next_dirty);
        job->dirty = false;
    }
}
