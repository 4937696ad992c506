/* Keeping up with a table: a whole read, then the changes after it. */
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "entry_private.h"
#include "guavaflow/log.h"

#define PART "store"
/* Pause after a call that failed. */
#define RETRY_MS 300

struct Follow {
    GfCellEntry *entry;
    const char *table;
    int wait_ms;
    int pause_ms;
    FollowCallback callback;
    struct event *timer;
    int64_t after;
    bool whole_needed;
    bool in_flight;
    bool destroyed;
    bool failing;
};

static void next_call(Follow *follow);

/* Makes the next call after a pause. */
static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    next_call(arg);
}

/* Waits before the next call. */
static void
pause_for(Follow *follow, int ms)
{
    struct timeval tv = GfTime_Interval(ms);
    evtimer_add(follow->timer, &tv);
}

/* Frees a follow that has no call under way. */
static void
free_follow(Follow *follow)
{
    event_free(follow->timer);
    free(follow);
}

/* Takes rows, or the failure of a call. */
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
        GfLog(GF_LOG_INFO, PART, "history is gone, reading anew table=%s",
              follow->table);
        follow->whole_needed = true;
        next_call(follow);
        return;
    }
    if (result != GF_TABLE_OK) {
        if (!follow->failing) {
            GfLog(GF_LOG_WARNING, PART, "table not in reach table=%s cause=%s",
                  follow->table, GfTableResult_Name(result));
        }
        follow->failing = true;
        pause_for(follow, RETRY_MS);
        return;
    }
    if (follow->failing) {
        GfLog(GF_LOG_INFO, PART, "table in reach again table=%s",
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

/* Reads the table or waits for its changes. */
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

/* Creates a follow of a table's rows in the empty part. wait_ms is how long
 * the store may hold a call; pause_ms gathers changes that come close
 * together into one call. */
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

/* Begins with a whole read. */
void
Follow_Begin(Follow *follow)
{
    follow->whole_needed = true;
    next_call(follow);
}

/* Begins with the changes after a version that has been read. */
void
Follow_BeginAfter(Follow *follow, int64_t version)
{
    follow->after = version;
    next_call(follow);
}

/* Ends the follow; a call under way is not reported. */
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
