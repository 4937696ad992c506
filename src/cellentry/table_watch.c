/* Watching a table of the store: one full read, then long-poll calls for
 * the changes after it. The jobs table is read part by part. */
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "entry_private.h"
#include "guavaflow/log.h"

#define PART "store"
/* Pause after a failed call, and while the store is unreachable: its return
 * resumes the watch. */
#define RETRY_MS 300
#define UNREACHABLE_RETRY_MS 3000
/* An answer with as many rows may lack later changes; the next call follows
 * without a pause, so that the watch catches up. */
#define FULL_PAGE_ROWS 500

/* The watch of one table. */
struct TableWatch {
    GfCellEntry *entry;
    const char *table;
    int wait_ms;
    int pause_ms;
    TableWatchCallback callback;
    struct event *timer;
    int64_t after;         /* version up to which changes are known */
    bool job_parts;        /* the table has the parts of job_row.h */
    bool full_read_needed; /* the next call is a full read */
    uint32_t next_part;    /* of a full read of the jobs table */
    int64_t full_version;  /* of the first part read */
    bool call_open;        /* the current call is in progress */
    uint64_t call_number;  /* of the current call */
    struct timespec call_started_at;
    struct timespec current_at; /* all changes before this are known */
    size_t open_calls;          /* the current one and those it has replaced */
    bool destroyed;             /* freed when the calls in progress return */
    bool failing;               /* the last call failed */
};

/* A call of a watch. */
typedef struct {
    TableWatch *watch;
    uint64_t number;
} WatchCall;

static void start_call(TableWatch *watch);

/* Makes the call that was delayed. */
static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    start_call(arg);
}

/* Schedules the next call in ms milliseconds. */
static void
schedule_call(TableWatch *watch, int ms)
{
    struct timeval tv = GfTime_ToTimeval(ms);
    evtimer_add(watch->timer, &tv);
}

/* Frees a watch that has no call in progress. */
static void
free_watch(TableWatch *watch)
{
    event_free(watch->timer);
    free(watch);
}

/* Lets the next calls read the whole table. */
static void
begin_full_read(TableWatch *watch)
{
    watch->full_read_needed = true;
    watch->next_part = 0;
}

/* Handles the result of a read or long-poll call: passes the rows to the
 * callback, or retries after a failure. Without history the table is read
 * in full again. The result of a call that has been replaced is dropped. */
static void
on_rows(void *arg, GfTableResult result, int64_t version,
        const GfTableRow *rows, size_t count)
{
    WatchCall *call = arg;
    TableWatch *watch = call->watch;
    bool current = call->number == watch->call_number;
    free(call);
    watch->open_calls--;
    if (watch->destroyed) {
        if (watch->open_calls == 0) {
            free_watch(watch);
        }
        return;
    }
    if (!current) {
        return;
    }
    watch->call_open = false;
    EntryStore_RecordResult(watch->entry, result);
    if (result == GF_TABLE_NO_HISTORY) {
        GfLog(GF_LOG_INFO, PART,
              "change history not kept, reading table in full table=%s",
              watch->table);
        begin_full_read(watch);
        start_call(watch);
        return;
    }
    if (result != GF_TABLE_OK) {
        if (!watch->failing) {
            GfLog(GF_LOG_WARNING, PART,
                  "watching table failed table=%s cause=%s", watch->table,
                  GfTableResult_Name(result));
        }
        watch->failing = true;
        schedule_call(watch, EntryStore_IsReachable(watch->entry)
                                 ? RETRY_MS
                                 : UNREACHABLE_RETRY_MS);
        return;
    }
    if (watch->failing) {
        GfLog(GF_LOG_INFO, PART, "watching table again table=%s",
              watch->table);
    }
    watch->failing = false;
    bool whole = watch->full_read_needed;
    if (whole && watch->next_part == 0) {
        watch->full_version = version;
    }
    if (whole && watch->job_parts && ++watch->next_part < GF_JOB_ROW_PARTS) {
        watch->callback(watch->entry, rows, count, false);
        schedule_call(watch, 0);
        return;
    }
    watch->full_read_needed = false;
    if (whole || count < FULL_PAGE_ROWS) {
        watch->current_at = watch->call_started_at;
    }
    if (whole) {
        /* Changes after the first part was read may be missing in it. */
        version = watch->full_version;
    }
    if (version > watch->after || whole) {
        watch->after = version;
    }
    if (count > 0 || whole) {
        watch->callback(watch->entry, rows, count, whole && !watch->job_parts);
    }
    if (count > 0 && count < FULL_PAGE_ROWS && watch->pause_ms > 0) {
        schedule_call(watch, watch->pause_ms);
    }
    else {
        schedule_call(watch, 0);
    }
}

/* Starts a full read if one is needed, else a long-poll call for changes.
 * Does nothing while a call is in progress. */
static void
start_call(TableWatch *watch)
{
    if (watch->call_open) {
        return;
    }
    WatchCall *call = calloc(1, sizeof(*call));
    if (call == NULL) {
        abort();
    }
    *call = (WatchCall){.watch = watch, .number = ++watch->call_number};
    watch->call_started_at = GfClock_Now(watch->entry->clock);
    watch->call_open = true;
    watch->open_calls++;
    if (watch->full_read_needed) {
        GfJobRowPart part = {.text = ""};
        if (watch->job_parts) {
            part = GfJobRow_PartAt(watch->next_part);
        }
        GfTable_Read(watch->entry->table, watch->table, part.text, NULL,
                     on_rows, call);
    }
    else {
        GfTable_Follow(watch->entry->table, watch->table, watch->after,
                       watch->wait_ms, on_rows, call);
    }
}

/* Creates a watch of a table. Changes are reported of all parts. A full read
 * covers the parts of job_row.h if job_parts is set, else the rows whose part
 * is empty; only then the callback gets the whole table in one call. table is
 * borrowed and must outlive the watch. wait_ms is how long the store may hold
 * a call open; pause_ms is the pause after changes, so that changes close
 * together come in one call. Free it with TableWatch_Destroy. */
TableWatch *
TableWatch_Create(GfCellEntry *entry, const char *table, bool job_parts,
                  int wait_ms, int pause_ms, TableWatchCallback callback)
{
    TableWatch *watch = calloc(1, sizeof(*watch));
    if (watch == NULL) {
        abort();
    }
    watch->entry = entry;
    watch->table = table;
    watch->job_parts = job_parts;
    watch->wait_ms = wait_ms;
    watch->pause_ms = pause_ms;
    watch->callback = callback;
    watch->timer = evtimer_new(entry->base, on_timer, watch);
    return watch;
}

/* Starts the watch with a full read. */
void
TableWatch_Start(TableWatch *watch)
{
    begin_full_read(watch);
    start_call(watch);
}

/* Starts the watch with the changes after a version up to which the table has
 * been read already, by a read that was started at read_at. */
void
TableWatch_StartAfter(TableWatch *watch, int64_t version,
                      struct timespec read_at)
{
    watch->after = version;
    watch->current_at = read_at;
    start_call(watch);
}

/* Returns how old, in ms, what the watch knows of its table is at most: the
 * time since the start of the last call whose answer covered all changes. */
int64_t
TableWatch_AgeMs(const TableWatch *watch)
{
    return GfTime_DiffMs(GfClock_Now(watch->entry->clock), watch->current_at);
}

/* Changes how long the store may hold a call of the watch open, and replaces a
 * long poll in progress. watch may be NULL. */
void
TableWatch_SetWait(TableWatch *watch, int wait_ms)
{
    if (watch == NULL || watch->wait_ms == wait_ms) {
        return;
    }
    watch->wait_ms = wait_ms;
    if (watch->call_open && !watch->full_read_needed) {
        watch->call_open = false;
        start_call(watch);
    }
}

/* Makes the next call of a watch at once if its last one failed and it pauses.
 * watch may be NULL. */
void
TableWatch_Resume(TableWatch *watch)
{
    if (watch != NULL && watch->failing && !watch->call_open) {
        schedule_call(watch, 0);
    }
}

/* Stops and frees a watch, which may be NULL. The result of a call in
 * progress is discarded. */
void
TableWatch_Destroy(TableWatch *watch)
{
    if (watch == NULL) {
        return;
    }
    watch->destroyed = true;
    if (watch->open_calls == 0) {
        free_watch(watch);
    }
}
