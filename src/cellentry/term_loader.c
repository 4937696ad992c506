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
/* Rows that are removed in one transaction, and its timeout. */
#define MAX_REMOVED 90
#define REMOVE_TIMEOUT_MS 1500
/* Reads besides those of the parts of the jobs table: progress, the owner's
 * rows and the table of workers. */
#define OTHER_READS 3

/* One of a loader's reads. */
typedef struct {
    TermLoader *loader;
    const char *table;
    const char *part;
    char part_text[PART_BYTES];
    struct event *timer; /* repeats the read after a failure */
} Read;

/* A job's row, kept until all reads are complete. */
typedef struct {
    GfName id;
    GfStr value;
} JobRow;

/* Loading the state of a term. */
struct TermLoader {
    GfCellEntry *entry;
    GfCell *cell;
    TermLoaderDone done;
    json_t *progress; /* progress rows by job id */
    JobRow *jobs;
    size_t job_count;
    Read reads[GF_JOB_ROW_PARTS + OTHER_READS];
    size_t read_count;
    size_t open_reads; /* reads in progress or waiting to be repeated */
    size_t reads_left; /* reads that have not succeeded yet */
    int64_t version;   /* the lowest of all reads */
    bool cancelled;    /* freed when no read is open */
    bool finished;
};

/* Frees a loader that has no open reads. */
static void
free_loader(TermLoader *loader)
{
    for (size_t i = 0; i < loader->read_count; i++) {
        event_free(loader->reads[i].timer);
    }
    json_decref(loader->progress);
    for (size_t i = 0; i < loader->job_count; i++) {
        GfStr_Clear(&loader->jobs[i].value);
    }
    free(loader->jobs);
    free(loader);
}

/* Keeps job rows until all reads are complete. Their bodies are decoded
 * only then, and never for jobs that have finished. Unreadable rows are
 * logged and skipped. */
static void
keep_job_rows(TermLoader *loader, const GfTableRow *rows, size_t count)
{
    loader->jobs = realloc(loader->jobs,
                           (loader->job_count + count + 1) * sizeof(JobRow));
    if (loader->jobs == NULL) {
        abort();
    }
    for (size_t i = 0; i < count; i++) {
        JobRow *job = &loader->jobs[loader->job_count];
        if (rows[i].value == NULL || !GfName_SetText(&job->id, rows[i].key)) {
            GfLog(GF_LOG_WARNING, PART, "job row unreadable key=%s",
                  rows[i].key);
            continue;
        }
        job->value = GfStr_Copy(rows[i].value, rows[i].value_len);
        loader->job_count++;
    }
}

/* Decodes progress rows and adds them to an object keyed by job id.
 * Unreadable rows are logged and skipped. */
static void
keep_progress_rows(json_t *into, const GfTableRow *rows, size_t count)
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

/* Adds a worker that got no more tasks from the former owner, with the tasks
 * listed as running on it. expires_ms is when its lease has expired, on the
 * store's clock, or 0. */
static void
add_closed_worker(GfCell *cell, const GfWorkerInfo *info, const json_t *list,
                  int64_t expires_ms)
{
    GfInheritedTask *tasks =
        calloc(json_array_size(list) + 1, sizeof(GfInheritedTask));
    if (tasks == NULL) {
        abort();
    }
    size_t count = 0;
    size_t i;
    json_t *item;
    json_array_foreach(list, i, item)
    {
        GfTaskId *id = &tasks[count].task;
        id->occurrence = (uint32_t)json_integer_value(json_array_get(item, 1));
        id->step = (uint32_t)json_integer_value(json_array_get(item, 2));
        id->index = (uint32_t)json_integer_value(json_array_get(item, 3));
        tasks[count].confirmed = !json_is_true(json_array_get(item, 4));
        if (GfName_SetText(&id->job,
                           json_string_value(json_array_get(item, 0)))) {
            count++;
        }
        else {
            GfLog(GF_LOG_WARNING, PART,
                  "list of leased workers, unreadable task skipped");
        }
    }
    GfCell_AddClosedWorker(cell, info, tasks, count, expires_ms);
    free(tasks);
}

/* Adds the workers on the former owner's list of granted leases. An element
 * that lists tasks too stands for a closed worker; the end of its lease and
 * whether it leaves may follow. */
static void
add_leased_workers(GfCell *cell, const GfTableRow *row)
{
    json_t *list = row->value == NULL
                       ? NULL
                       : json_loadb(row->value, row->value_len, 0, NULL);
    size_t i;
    json_t *item;
    json_array_foreach(list, i, item)
    {
        GfWorkerInfo info = {
            .incarnation = json_integer_value(json_array_get(item, 1)),
            .port = (uint16_t)json_integer_value(json_array_get(item, 3))};
        const char *address = json_string_value(json_array_get(item, 2));
        if (address == NULL ||
            !GfName_SetText(&info.id,
                            json_string_value(json_array_get(item, 0)))) {
            GfLog(GF_LOG_WARNING, PART,
                  "list of leased workers, unreadable worker skipped");
            continue;
        }
        snprintf(info.address, sizeof(info.address), "%s", address);
        const json_t *tasks = json_array_get(item, 4);
        info.leaving = json_is_true(json_array_get(item, 6));
        if (tasks == NULL) {
            GfCell_AddLeasedWorker(cell, &info);
        }
        else {
            add_closed_worker(cell, &info, tasks,
                              json_integer_value(json_array_get(item, 5)));
        }
    }
    json_decref(list);
}

/* Returns whether a row holds a part of the list of leased workers. */
static bool
is_lease_list(const char *key)
{
    size_t len = strlen(ENTRY_LEASED_KEY);
    return strncmp(key, ENTRY_LEASED_KEY, len) == 0 &&
           (key[len] == '\0' || key[len] == '.');
}

/* Applies the rows that only owners write: the list of leased workers and the
 * token of the owner that was settled last. */
static void
add_owner_rows(GfCell *cell, const GfTableRow *rows, size_t count)
{
    int64_t settled_token = 0;
    size_t parts = 0;
    for (size_t i = 0; i < count; i++) {
        if (is_lease_list(rows[i].key)) {
            add_leased_workers(cell, &rows[i]);
            parts++;
        }
        else if (strcmp(rows[i].key, ENTRY_SETTLED_KEY) == 0 &&
                 rows[i].value != NULL) {
            json_t *row =
                json_loadb(rows[i].value, rows[i].value_len, 0, NULL);
            settled_token = json_integer_value(json_object_get(row, "token"));
            json_decref(row);
        }
    }
    GfCell_SetLeaseParts(cell, parts);
    GfCell_SetSettledToken(cell, settled_token);
}

/* Logs a failed removal. Rows that remain are removed by a later term. */
static void
on_leftovers_removed(void *arg, GfTableResult result, int64_t version,
                     const GfTableRow *rows, size_t count)
{
    (void)arg;
    (void)version;
    (void)rows;
    (void)count;
    if (result != GF_TABLE_OK) {
        GfLog(GF_LOG_INFO, PART, "removing leftover rows failed cause=%s",
              GfTableResult_Name(result));
    }
}

/* Removes progress rows; keys is an array of texts. */
static void
remove_rows(const TermLoader *loader, const json_t *keys)
{
    for (size_t first = 0; first < json_array_size(keys);
         first += MAX_REMOVED) {
        GfTableChange changes[MAX_REMOVED];
        size_t count = 0;
        while (count < MAX_REMOVED && first + count < json_array_size(keys)) {
            const json_t *key = json_array_get(keys, first + count);
            changes[count++] =
                (GfTableChange){ENTRY_PROGRESS_TABLE, ENTRY_OWNER_PART,
                                json_string_value(key), NULL, 0};
        }
        GfTableTransaction transaction = {.changes = changes,
                                          .change_count = count,
                                          .timeout_ms = REMOVE_TIMEOUT_MS};
        GfTable_Transact(loader->entry->table, &transaction,
                         on_leftovers_removed, NULL);
    }
}

/* Returns the id of the job that a block's row belongs to, which is the row's
 * key without its last two parts; an empty one if it is the row of a job. */
static GfName
block_owner(const char *key, const json_t *row)
{
    GfName id = {0};
    const char *end = strrchr(key, '.');
    if (end == NULL || !json_is_integer(json_object_get(row, "block"))) {
        return id;
    }
    while (end > key && *--end != '.') {
    }
    GfName_Set(&id, key, (size_t)(end - key));
    return id;
}

/* Returns the state of a job in its main row, or NULL without one. */
static const char *
state_of(const json_t *row)
{
    return json_string_value(json_object_get(row, "state"));
}

/* Adds main rows without progress for jobs that have none: a former owner may
 * have ended while it stored the first progress of a large job. */
static void
add_main_rows(TermLoader *loader)
{
    for (size_t i = 0; i < loader->job_count; i++) {
        const char *id = loader->jobs[i].id.data;
        if (json_object_get(loader->progress, id) == NULL) {
            json_object_set_new(
                loader->progress, id,
                json_pack("{s:s}", "state", GfJobState_Name(GF_JOB_QUEUED)));
        }
    }
}

/* Returns whether a main row is that of a job whose tasks may still run. */
static bool
is_active(const json_t *row)
{
    const char *state = state_of(row);
    return state != NULL &&
           (strcmp(state, GfJobState_Name(GF_JOB_QUEUED)) == 0 ||
            strcmp(state, GfJobState_Name(GF_JOB_STARTED)) == 0);
}

/* Moves the rows of blocks into the main rows of their jobs, as the array
 * "blocks". Removes those whose job has finished or is gone; those of others
 * may be written again by this owner, before a late removal takes effect. */
static void
join_blocks(TermLoader *loader)
{
    json_t *leftover = json_array();
    const char *key;
    json_t *row;
    json_object_foreach(loader->progress, key, row)
    {
        GfName id = block_owner(key, row);
        if (id.len == 0) {
            continue;
        }
        json_t *job = json_object_get(loader->progress, id.data);
        if (!is_active(job)) {
            json_array_append_new(leftover, json_string(key));
            continue;
        }
        json_t *blocks = json_object_get(job, "blocks");
        if (blocks == NULL) {
            blocks = json_array();
            json_object_set_new(job, "blocks", blocks);
        }
        json_array_append(blocks, row);
    }
    remove_rows(loader, leftover);
    json_decref(leftover);
}

/* Adds jobs whose own row is gone and whose progress is not: its removal was
 * interrupted. They are removed once more. */
static void
add_removed_jobs(TermLoader *loader)
{
    const char *key;
    json_t *row;
    json_object_foreach(loader->progress, key, row)
    {
        GfName id;
        const char *state = state_of(row);
        if (state != NULL && GfName_SetText(&id, key) &&
            !GfCell_HasJob(loader->cell, &id)) {
            GfCell_AddFinished(loader->cell, &id, state);
        }
    }
}

/* Adds all jobs with their progress to the cell and reports that loading is
 * complete. */
static void
finish(TermLoader *loader)
{
    loader->finished = true;
    add_main_rows(loader);
    join_blocks(loader);
    for (size_t i = 0; i < loader->job_count; i++) {
        JobRow *job = &loader->jobs[i];
        const json_t *progress =
            json_object_get(loader->progress, job->id.data);
        const char *state = state_of(progress);
        if (state == NULL ||
            !GfCell_AddFinished(loader->cell, &job->id, state)) {
            EntryTerm_AddJobRow(loader->entry, job->id.data, job->value.data,
                                job->value.len, progress, true);
        }
        GfStr_Clear(&job->value);
    }
    add_removed_jobs(loader);
    loader->done(loader->entry, loader->version);
}

static void start_read(Read *read);

/* Repeats a failed read. */
static void
on_retry(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    Read *read = arg;
    read->loader->open_reads--;
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
    TermLoader *loader = read->loader;
    loader->open_reads--;
    if (loader->cancelled) {
        if (loader->open_reads == 0) {
            free_loader(loader);
        }
        return;
    }
    EntryStore_RecordResult(loader->entry, result);
    if (result != GF_TABLE_OK) {
        loader->open_reads++;
        struct timeval tv = GfTime_ToTimeval(RETRY_MS);
        evtimer_add(read->timer, &tv);
        return;
    }
    if (loader->version == 0 || version < loader->version) {
        loader->version = version;
    }
    if (strcmp(read->table, ENTRY_PROGRESS_TABLE) == 0) {
        keep_progress_rows(loader->progress, rows, count);
    }
    else if (strcmp(read->table, ENTRY_JOB_TABLE) == 0) {
        keep_job_rows(loader, rows, count);
    }
    else if (strcmp(read->table, ENTRY_CELL_TABLE) == 0) {
        add_owner_rows(loader->cell, rows, count);
    }
    else {
        for (size_t i = 0; i < count; i++) {
            GfWorkerInfo info;
            GfError error;
            if (loader->entry->decoder->worker(rows[i].key, rows[i].value,
                                               rows[i].value_len, &info,
                                               &error)) {
                GfCell_SetWorker(loader->cell, &info);
            }
            else {
                GfLog(GF_LOG_WARNING, PART, "worker row ignored cause=%s",
                      error.text);
            }
        }
    }
    loader->reads_left--;
    if (loader->reads_left == 0) {
        finish(loader);
    }
}

/* Starts a read or repeats it; the result goes to on_rows. */
static void
start_read(Read *read)
{
    read->loader->open_reads++;
    GfTable_Read(read->loader->entry->table, read->table, read->part, NULL,
                 on_rows, read);
}

/* Prepares a read of a part. table is borrowed, part is copied. */
static void
add_read(TermLoader *loader, const char *table, const char *part)
{
    Read *read = &loader->reads[loader->read_count++];
    read->loader = loader;
    read->table = table;
    snprintf(read->part_text, sizeof(read->part_text), "%s", part);
    read->part = read->part_text;
    read->timer = evtimer_new(loader->entry->base, on_retry, read);
}

/* Starts loading into cell. done is called once from the event loop, with
 * the version after which changes must be watched, unless the loader is
 * cancelled first. Free it with TermLoader_Cancel. */
TermLoader *
TermLoader_Start(GfCellEntry *entry, GfCell *cell, TermLoaderDone done)
{
    TermLoader *loader = calloc(1, sizeof(*loader));
    if (loader == NULL) {
        abort();
    }
    loader->entry = entry;
    loader->cell = cell;
    loader->done = done;
    loader->progress = json_object();
    add_read(loader, ENTRY_PROGRESS_TABLE, ENTRY_OWNER_PART);
    add_read(loader, ENTRY_CELL_TABLE, ENTRY_OWNER_PART);
    add_read(loader, entry->decoder->worker_table, "");
    for (uint32_t i = 0; i < GF_JOB_ROW_PARTS; i++) {
        add_read(loader, ENTRY_JOB_TABLE, GfJobRow_PartAt(i).text);
    }
    loader->reads_left = loader->read_count;
    for (size_t i = 0; i < loader->read_count; i++) {
        start_read(&loader->reads[i]);
    }
    return loader;
}

/* Stops a loader, complete or not, and frees it once no read is in
 * progress. loader may be NULL and must not be used after this call. */
void
TermLoader_Cancel(TermLoader *loader)
{
    if (loader == NULL) {
        return;
    }
    loader->cancelled = true;
    for (size_t i = 0; i < loader->read_count; i++) {
        if (evtimer_pending(loader->reads[i].timer, NULL)) {
            evtimer_del(loader->reads[i].timer);
            loader->open_reads--;
        }
    }
    if (loader->open_reads == 0) {
        free_loader(loader);
    }
}
