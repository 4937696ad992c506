/* Whether the store is reachable. While it is not, this entry probes it at the
 * intervals of store_probe.h. When it is back, the entry tells the others,
 * abandons calls that wait since before the outage, and resumes its watches.
 */
#include <assert.h>

#include <sodium.h>

#include "entry_private.h"
#include "guavaflow/log.h"
#include "guavaflow/metrics.h"
#include "guavaflow/store_probe.h"

#define PART "store"
/* A store that has answered any call in the last STORE_TIMEOUT_MS counts as
 * reachable, even while other calls fail. */
#define STORE_TIMEOUT_MS 300
/* After a shorter outage no call is abandoned: a slow store, which answers
 * within some 350 ms, may still work on it. */
#define ABANDON_AFTER_MS 1000
/* A shorter outage is not announced: hardly any other entry has noticed it. */
#define ANNOUNCE_AFTER_MS 200
/* Shortest time between two probes that news from others cause. */
#define NEWS_INTERVAL_MS 50
/* Shortest time between two checks. */
#define CHECK_INTERVAL_MS 100

/* Returns the number of entries in the cell, as far as known here. */
static size_t
count_entries(const GfCellEntry *entry)
{
    size_t count = 1;
    for (const Peer *p = entry->peers; p != NULL; p = p->hh.next) {
        count += p->is_member || EntryMembers_IsInContact(entry, p);
    }
    return count;
}

/* Returns whether the owner, another entry that is in contact, reports that it
 * reaches the store. */
static bool
owner_reaches_store(GfCellEntry *entry)
{
    const Peer *owner = EntryOwnership_OwnerPeer(entry);
    return owner != NULL && EntryMembers_IsInContact(entry, owner) &&
           !owner->store_unreachable;
}

/* Schedules the next probe. */
static void
schedule_probe(GfCellEntry *entry)
{
    const GfStoreProbe p = {.entries = count_entries(entry),
                            .others_reach_it = owner_reaches_store(entry),
                            .probes = entry->store_probes,
                            .random_value = randombytes_random() & UINT16_MAX};
    struct timeval tv = GfTime_ToTimeval(GfStoreProbe_DelayMs(&p));
    evtimer_add(entry->store_probe, &tv);
}

/* Handles the result of a probe. */
static void
on_probed(void *arg, GfTableResult result, int64_t version,
          const GfTableRow *rows, size_t count)
{
    (void)version;
    (void)rows;
    (void)count;
    EntryStore_RecordResult(arg, result);
}

/* Probes the store by a read of the owner's row, and schedules the next probe.
 * It does not wait for the answer: a connection attempt that the outage has
 * swallowed is only repeated by the system after a second. */
static void
probe(GfCellEntry *entry)
{
    entry->store_probes++;
    entry->store_probed_at = GfClock_Now(entry->clock);
    schedule_probe(entry);
    GfTable_Read(entry->table, ENTRY_CELL_TABLE, ENTRY_OWNER_PART,
                 ENTRY_OWNER_KEY, on_probed, entry);
}

/* Handles the answer to a check. */
static void
on_checked(void *arg, GfTableResult result, int64_t version,
           const GfTableRow *rows, size_t count)
{
    (void)version;
    (void)rows;
    (void)count;
    GfCellEntry *entry = arg;
    entry->store_check_open = false;
    if (result == GF_TABLE_OK) {
        GfOwnerSilence_RecordAnswer(&entry->silence, entry->store_check_at,
                                    GfClock_Now(entry->clock));
    }
    EntryStore_RecordResult(entry, result);
}

/* Checks by a read of the owner's row whether a store that counts as reachable
 * answers. One check is in progress at a time. An unreachable store is probed
 * anyway. */
void
EntryStore_Check(GfCellEntry *entry)
{
    struct timespec now = GfClock_Now(entry->clock);
    if (entry->store_check_open || entry->store_failed ||
        GfTime_DiffMs(now, entry->store_check_at) < CHECK_INTERVAL_MS) {
        return;
    }
    entry->store_check_open = true;
    entry->store_check_at = now;
    GfTable_Read(entry->table, ENTRY_CELL_TABLE, ENTRY_OWNER_PART,
                 ENTRY_OWNER_KEY, on_checked, entry);
}

/* Makes the scheduled probe. */
static void
on_probe_timer(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    GfCellEntry *entry = arg;
    if (entry->store_failed) {
        probe(entry);
    }
}

/* Goes back to work after an outage. Runs from the event loop, since calls
 * must not be abandoned within the callback of another. */
static void
on_return(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    GfCellEntry *entry = arg;
    if (entry->store_outage_ms > ABANDON_AFTER_MS) {
        GfTable_AbandonOlder(entry->table);
    }
    TableWatch_Resume(entry->operator_watch);
    EntryTerm_ResumeWatches(entry);
    if (entry->store_outage_ms <= ANNOUNCE_AFTER_MS) {
        return;
    }
    Peer *owner = EntryOwnership_OwnerPeer(entry);
    if (entry->term != NULL) {
        EntryOwnership_Announce(entry);
    }
    else if (owner != NULL) {
        EntryMembers_SendHeartbeat(entry, owner);
    }
}

/* Prepares the probes of an entry. */
void
EntryStore_Begin(GfCellEntry *entry)
{
    entry->store_probe = evtimer_new(entry->base, on_probe_timer, entry);
    entry->store_return = event_new(entry->base, -1, 0, on_return, entry);
}

/* Frees what EntryStore_Begin has created. */
void
EntryStore_End(GfCellEntry *entry)
{
    event_free(entry->store_probe);
    event_free(entry->store_return);
}

/* Records an answer of the store, which ends an outage. */
static void
record_answer(GfCellEntry *entry, struct timespec now)
{
    if (entry->store_failed) {
        entry->store_failed = false;
        entry->store_returned_at = now;
        entry->store_outage_ms = GfTime_DiffMs(now, entry->store_failed_at);
        evtimer_del(entry->store_probe);
        event_active(entry->store_return, EV_TIMEOUT, 0);
        GfLog(GF_LOG_INFO, PART,
              "store reachable again after_ms=%lld probes=%u",
              (long long)entry->store_outage_ms, entry->store_probes);
    }
    entry->store_answered_at = now;
}

/* Records the result of a call to the store and updates whether the store
 * counts as reachable. A conflict, an invalid transaction or a missing history
 * is an answer too. A single failure among successful calls does not mean that
 * the store is unreachable. */
void
EntryStore_RecordResult(GfCellEntry *entry, GfTableResult result)
{
    struct timespec now = GfClock_Now(entry->clock);
    if (result == GF_TABLE_OK || result == GF_TABLE_CONFLICT ||
        result == GF_TABLE_INVALID || result == GF_TABLE_NO_HISTORY) {
        record_answer(entry, now);
    }
    else if (!entry->store_failed &&
             GfTime_DiffMs(now, entry->store_answered_at) > STORE_TIMEOUT_MS) {
        entry->store_failed = true;
        entry->store_failed_at = now;
        entry->store_probes = 0;
        schedule_probe(entry);
        GfLog(GF_LOG_WARNING, PART, "store unreachable cause=%s",
              GfTableResult_Name(result));
    }
    GfMetrics_Set(GF_METRIC_STORE_UNREACHABLE, entry->store_failed);
}

/* Returns whether the store counts as reachable. */
bool
EntryStore_IsReachable(const GfCellEntry *entry)
{
    return !entry->store_failed;
}

/* Returns how long the store has counted as unreachable, in ms; 0 if it is
 * reachable. */
int64_t
EntryStore_FailedMs(const GfCellEntry *entry)
{
    return entry->store_failed ? GfTime_DiffMs(GfClock_Now(entry->clock),
                                               entry->store_failed_at)
                               : 0;
}

/* Handles news that the store is back for another entry: probes it at once if
 * it is unreachable here. */
void
EntryStore_HandleNews(GfCellEntry *entry)
{
    if (entry->store_failed &&
        GfTime_DiffMs(GfClock_Now(entry->clock), entry->store_probed_at) >
            NEWS_INTERVAL_MS) {
        probe(entry);
    }
}

/* Handles a peer's report whether it reaches the store. */
void
EntryStore_HandleReport(GfCellEntry *entry, Peer *peer, bool reaches)
{
    bool news = reaches && peer->store_unreachable;
    peer->store_unreachable = !reaches;
    if (news) {
        EntryStore_HandleNews(entry);
    }
}
