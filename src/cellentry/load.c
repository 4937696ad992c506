/* Loads the state that a term starts from: job progress, jobs, workers, and
 * the workers that the former owner granted leases to. */
#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "entry_private.h"
#include "guavaflow/log.h"

#define PART "owner"
#define PART_BYTES GF_JOB_ROW_PART_BYTES
/* Pause before a failed read is repeated. */
#define RETRY_MS 150
/* Reads besides those of the parts of the jobs table: progress, leased
 * workers and the table of workers. */
#define OTHER_READS 3

/* One of a loader's reads. */
typedef struct {
    Load *load;
    const char *table;
    const char *part;
    const char *key; /* NULL: all rows of the part */
    char part_text[PART_BYTES];
    struct event *timer; /* repeats the read after a failure */
} Read;

/* A job's row, kept until all reads are complete. */
typedef struct {
    GfName id;
    GfStr value;
} JobRow;

/* Loading the state of a term. */
struct Load {
    GfCellEntry *entry;
    GfCell *cell;
    LoadDone done;
    json_t *progress; /* progress rows by job id */
    JobRow *jobs;
    size_t job_count;
    Read reads[GF_JOB_ROW_PARTS + OTHER_READS];
    size_t read_count;
    size_t open;     /* reads in progress or waiting to be repeated */
    size_t left;     /* reads without rows so far */
    int64_t version; /* the lowest of all reads */
    bool cancelled;  /* freed when no read is open */
    bool finished;
};

/* Frees a loader that has no open reads. */
static void
free_load(Load *load)
{
    for (size_t i = 0; i < load->read_count; i++) {
        event_free(load->reads[i].timer);
    }
    json_decref(load->progress);
    for (size_t i = 0; i < load->job_count; i++) {
        GfStr_Clear(&load->jobs[i].value);
    }
    free(load->jobs);
    free(load);
}

/* Keeps job rows until all reads are complete. Their bodies are decoded
 * only then, and never for jobs that have finished. Unreadable rows are
 * logged and skipped. */
static void
keep_jobs(Load *load, const GfTableRow *rows, size_t count)
{
    load->jobs =
        realloc(load->jobs, (load->job_count + count + 1) * sizeof(JobRow));
    if (load->jobs == NULL) {
        abort();
    }
    for (size_t i = 0; i < count; i++) {
        JobRow *job = &load->jobs[load->job_count];
        if (rows[i].value == NULL || !GfName_SetText(&job->id, rows[i].key)) {
            GfLog(GF_LOG_WARNING, PART, "job row unreadable key=%s",
                  rows[i].key);
            continue;
        }
        job->value = GfStr_Copy(rows[i].value, rows[i].value_len);
        load->job_count++;
    }
}

/* Decodes progress rows and adds them to an object keyed by job id.
 * Unreadable rows are logged and skipped. */
static void
keep_rows(json_t *into, const GfTableRow *rows, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        json_t *value =
            rows[i].value == NULL
                ? NULL
                : json_loadb(rows[i].value, rows[i].value_len, 0, NULL);
        if (value == NULL) {
            GfLog(GF_LOG_WARNING, PART,
                  "progress row unreadable table=%s key=%s", rows[i].table,
                  rows[i].key);
            continue;
        }
        json_object_set_new(into, rows[i].key, value);
    }
}

/* Adds a worker that was out of contact with the former owner, with the
 * tasks listed as running on it. */
static void
take_silent(GfCell *cell, const GfWorkerInfo *info, const json_t *list)
{
    GfTaskId *tasks = calloc(json_array_size(list) + 1, sizeof(GfTaskId));
    if (tasks == NULL) {
        abort();
    }
    size_t count = 0;
    size_t i;
    json_t *entry;
    json_array_foreach(list, i, entry)
    {
        GfTaskId *id = &tasks[count];
        id->occurrence =
            (uint32_t)json_integer_value(json_array_get(entry, 1));
        id->step = (uint32_t)json_integer_value(json_array_get(entry, 2));
        id->index = (uint32_t)json_integer_value(json_array_get(entry, 3));
        if (GfName_SetText(&id->job,
                           json_string_value(json_array_get(entry, 0)))) {
            count++;
        }
        else {
            GfLog(GF_LOG_WARNING, PART,
                  "task of an out-of-contact worker unreadable");
        }
    }
    GfCell_AddSilentWorker(cell, info, tasks, count);
    free(tasks);
}

/* Adds the workers on the former owner's list of granted leases. A list
 * entry with tasks is of a worker that was out of contact. */
static void
take_leased(GfCell *cell, const GfTableRow *row)
{
    json_t *list = row->value == NULL
                       ? NULL
                       : json_loadb(row->value, row->value_len, 0, NULL);
    size_t i;
    json_t *entry;
    json_array_foreach(list, i, entry)
    {
        GfWorkerInfo info = {
            .lifetime = json_integer_value(json_array_get(entry, 1)),
            .port = (uint16_t)json_integer_value(json_array_get(entry, 3))};
        const char *address = json_string_value(json_array_get(entry, 2));
        if (address == NULL ||
            !GfName_SetText(&info.id,
                            json_string_value(json_array_get(entry, 0)))) {
            GfLog(GF_LOG_WARNING, PART, "leased worker unreadable");
            continue;
        }
        snprintf(info.address, sizeof(info.address), "%s", address);
        const json_t *tasks = json_array_get(entry, 4);
        if (tasks == NULL) {
            GfCell_AddLeasedWorker(cell, &info);
        }
        else {
            take_silent(cell, &info, tasks);
        }
    }
    json_decref(list);
}

/* Adds all jobs with their progress to the cell and reports that loading is
 * complete. */
static void
finish(Load *load)
{
    load->finished = true;
    for (size_t i = 0; i < load->job_count; i++) {
        const JobRow *job = &load->jobs[i];
        const json_t *progress = json_object_get(load->progress, job->id.data);
        const char *state =
            json_string_value(json_object_get(progress, "state"));
        if (state == NULL ||
            !GfCell_AddFinished(load->cell, &job->id, state)) {
            EntryTerm_TakeJobRow(load->entry, job->id.data, job->value.data,
                                 job->value.len, progress, true);
        }
    }
    load->done(load->entry, load->version);
}

static void start_read(Read *read);

/* Repeats a failed read. */
static void
on_retry(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    Read *read = arg;
    read->load->open--;
    start_read(read);
}

/* Handles the result of one read. A failed read is repeated without limit.
 * The lowest version of all reads is where the watches of the tables start,
 * so that no change is missed. */
static void
on_rows(void *arg, GfTableResult result, int64_t version,
        const GfTableRow *rows, size_t count)
{
    Read *read = arg;
    Load *load = read->load;
    load->open--;
    if (load->cancelled) {
        if (load->open == 0) {
            free_load(load);
        }
        return;
    }
    EntryStore_Note(load->entry, result);
    if (result != GF_TABLE_OK) {
        load->open++;
        struct timeval tv = GfTime_Interval(RETRY_MS);
        evtimer_add(read->timer, &tv);
        return;
    }
    if (load->version == 0 || version < load->version) {
        load->version = version;
    }
    if (strcmp(read->table, ENTRY_PROGRESS_TABLE) == 0) {
        keep_rows(load->progress, rows, count);
    }
    else if (strcmp(read->table, ENTRY_JOB_TABLE) == 0) {
        keep_jobs(load, rows, count);
    }
    else if (read->key != NULL) {
        if (count > 0) {
            take_leased(load->cell, &rows[0]);
        }
    }
    else {
        for (size_t i = 0; i < count; i++) {
            GfWorkerInfo info;
            GfError error;
            if (load->entry->decoder->worker(rows[i].key, rows[i].value,
                                             rows[i].value_len, &info,
                                             &error)) {
                GfCell_SetWorker(load->cell, &info);
            }
            else {
                GfLog(GF_LOG_WARNING, PART, "worker row ignored cause=%s",
                      error.text);
            }
        }
    }
    load->left--;
    if (load->left == 0) {
        finish(load);
    }
}

/* Starts one read. */
static void
start_read(Read *read)
{
    read->load->open++;
    GfTable_Read(read->load->entry->table, read->table, read->part, read->key,
                 on_rows, read);
}

/* Prepares a read of a part, or of one row of it if key is not NULL. table
 * and key are borrowed, part is copied. */
static void
add_read(Load *load, const char *table, const char *part, const char *key)
{
    Read *read = &load->reads[load->read_count++];
    read->load = load;
    read->table = table;
    snprintf(read->part_text, sizeof(read->part_text), "%s", part);
    read->part = read->part_text;
    read->key = key;
    read->timer = evtimer_new(load->entry->base, on_retry, read);
}

/* Starts loading into cell. done is called once from the event loop, with
 * the version from which to watch for changes, unless the loader is
 * cancelled first. Free it with TermLoader_Cancel. */
Load *
Load_Start(GfCellEntry *entry, GfCell *cell, LoadDone done)
{
    Load *load = calloc(1, sizeof(*load));
    if (load == NULL) {
        abort();
    }
    load->entry = entry;
    load->cell = cell;
    load->done = done;
    load->progress = json_object();
    add_read(load, ENTRY_PROGRESS_TABLE, ENTRY_OWNER_PART, NULL);
    add_read(load, ENTRY_CELL_TABLE, ENTRY_OWNER_PART, ENTRY_LEASED_KEY);
    add_read(load, entry->decoder->worker_table, "", NULL);
    for (uint32_t i = 0; i < GF_JOB_ROW_PARTS; i++) {
        add_read(load, ENTRY_JOB_TABLE, GfJobRow_PartAt(i).text, NULL);
    }
    load->left = load->read_count;
    for (size_t i = 0; i < load->read_count; i++) {
        start_read(&load->reads[i]);
    }
    return load;
}

/* Stops a loader, complete or not, and frees it once no read is in
 * progress. loader may be NULL and must not be used after this call. */
void
Load_Cancel(Load *load)
{
    if (load == NULL) {
        return;
    }
    load->cancelled = true;
    for (size_t i = 0; i < load->read_count; i++) {
        if (evtimer_pending(load->reads[i].timer, NULL)) {
            evtimer_del(load->reads[i].timer);
            load->open--;
        }
    }
    if (load->open == 0) {
        free_load(load);
    }
}
