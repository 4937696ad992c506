/* Watching a table of the store: one full read, then long-poll calls for
 * the changes after it. */
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "entry_private.h"
#include "guavaflow/log.h"

#define PART "store"
/* Pause after a failed call. */
#define RETRY_MS 300

/* The watch of one table. */
struct Follow {
    GfCellEntry *entry;
    const char *table;
    int wait_ms;
    int pause_ms;
    FollowCallback callback;
    struct event *timer;
    int64_t after;     /* version up to which changes are known */
    bool whole_needed; /* the next call is a full read */
    bool in_flight;    /* a call is in progress */
    bool destroyed;    /* freed when the call in progress returns */
    bool failing;      /* the last call failed */
};

static void next_call(Follow *follow);

/* Makes the call that was delayed. */
static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    next_call(arg);
}

/* Schedules the next call in ms milliseconds. */
static void
pause_for(Follow *follow, int ms)
{
    struct timeval tv = GfTime_Interval(ms);
    evtimer_add(follow->timer, &tv);
}

/* Frees a watch that has no call in progress. */
static void
free_follow(Follow *follow)
{
    event_free(follow->timer);
    free(follow);
}

/* Handles the result of a read or long-poll call: passes the rows to the
 * callback, or retries after a failure. Without history the table is read
 * in full again. */
static void
on_rows(void *arg, GfTableResult result, int64_t version,
        const GfTableRow *rows, size_t count)
{
    Follow *follow = arg;
    follow->in_flight = false;
    if (follow->destroyed) {
        free_follow(follow);
        return;
    }
    EntryStore_Note(follow->entry, result);
    if (result == GF_TABLE_NO_HISTORY) {
        GfLog(GF_LOG_INFO, PART,
              "change history not kept, reading table in full table=%s",
              follow->table);
        follow->whole_needed = true;
        next_call(follow);
        return;
    }
    if (result != GF_TABLE_OK) {
        if (!follow->failing) {
            GfLog(GF_LOG_WARNING, PART,
                  "watching table failed table=%s cause=%s", follow->table,
                  GfTableResult_Name(result));
        }
        follow->failing = true;
        pause_for(follow, RETRY_MS);
        return;
    }
    if (follow->failing) {
        GfLog(GF_LOG_INFO, PART, "watching table again table=%s",
              follow->table);
    }
    follow->failing = false;
    bool whole = follow->whole_needed;
    follow->whole_needed = false;
    if (version > follow->after || whole) {
        follow->after = version;
    }
    if (count > 0 || whole) {
        follow->callback(follow->entry, rows, count, whole);
    }
    if (count > 0 && follow->pause_ms > 0) {
        pause_for(follow, follow->pause_ms);
    }
    else {
        pause_for(follow, 0);
    }
}

/* Starts a full read if one is needed, else a long-poll call for changes.
 * Does nothing while a call is in progress. */
static void
next_call(Follow *follow)
{
    if (follow->in_flight) {
        return;
    }
    follow->in_flight = true;
    if (follow->whole_needed) {
        GfTable_Read(follow->entry->table, follow->table, "", NULL, on_rows,
                     follow);
    }
    else {
        GfTable_Follow(follow->entry->table, follow->table, follow->after,
                       follow->wait_ms, on_rows, follow);
    }
}

/* Creates a watch of the rows in the empty part of a table. table is
 * borrowed and must outlive the watch. wait_ms is how long the store may
 * hold a call open; pause_ms is the pause after changes, so that changes
 * close together come in one call. Free it with TableWatch_Destroy. */
Follow *
Follow_Create(GfCellEntry *entry, const char *table, int wait_ms, int pause_ms,
              FollowCallback callback)
{
    Follow *follow = calloc(1, sizeof(*follow));
    if (follow == NULL) {
        abort();
    }
    follow->entry = entry;
    follow->table = table;
    follow->wait_ms = wait_ms;
    follow->pause_ms = pause_ms;
    follow->callback = callback;
    follow->timer = evtimer_new(entry->base, on_timer, follow);
    return follow;
}

/* Starts the watch with a full read. */
void
Follow_Begin(Follow *follow)
{
    follow->whole_needed = true;
    next_call(follow);
}

/* Starts the watch with the changes after a version up to which the table
 * has been read already. */
void
Follow_BeginAfter(Follow *follow, int64_t version)
{
    follow->after = version;
    next_call(follow);
}

/* Stops and frees a watch, which may be NULL. The result of a call in
 * progress is discarded. */
void
Follow_Destroy(Follow *follow)
{
    if (follow == NULL) {
        return;
    }
    follow->destroyed = true;
    if (!follow->in_flight) {
        free_follow(follow);
    }
}
