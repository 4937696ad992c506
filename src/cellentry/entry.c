/* Lifecycle of a cell entry: creation, the periodic tick, planned stop and
 * destruction. */
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "entry_private.h"
#include "guavaflow/log.h"

#define PART "entry"
/* Tick intervals. The owner handles most events as they arrive and leaves
 * timers and batched writes to the next tick. The ticks of other entries only
 * send heartbeats and check the owner. */
#define OWNER_TICK_MS 10
#define NON_OWNER_TICK_MS 50
/* Weight of the newest tick in the moving average of tick lateness:
 * averages over some thirty ticks. */
#define LAG_AVERAGE_WEIGHT 0.03
/* An entry that has been without the store and out of contact with the owner
 * for this long reports itself as not ready, so that callers go elsewhere. */
#define ISOLATED_MS 900

/* Schedules the next tick and stores when it is due, to measure how late it
 * runs. */
static void
schedule_tick(GfCellEntry *entry)
{
    int64_t ms = entry->term != NULL ? OWNER_TICK_MS : NON_OWNER_TICK_MS;
    struct timeval tv = GfTime_ToTimeval(ms);
    entry->tick_due_at = GfTime_AddMs(GfClock_Now(entry->clock), ms);
    evtimer_add(entry->tick, &tv);
}

/* Runs one tick: updates the smoothed tick lateness, then checks the owner
 * and the term. */
static void
on_tick(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    GfCellEntry *entry = arg;
    struct timespec now = GfClock_Now(entry->clock);
    double late = (double)GfTime_DiffMs(now, entry->tick_due_at);
    entry->loop_lag_ms += (late - entry->loop_lag_ms) * LAG_AVERAGE_WEIGHT;
    EntryOwnership_Tick(entry, now);
    EntryTerm_Tick(entry, now);
    schedule_tick(entry);
}

/* Creates an entry, binds its RPC server to settings->peer_endpoint and starts
 * to watch the configuration. settings, clock, table, commands and decoder are
 * borrowed and must outlive the entry. Returns NULL and fills in error if
 * the address cannot be bound. */
GfCellEntry *
GfCellEntry_Create(struct event_base *base,
                   const GfCellEntrySettings *settings, const GfClock *clock,
                   GfTable *table, GfCommands *commands,
                   const GfDecoder *decoder, GfError *error)
{
    assert(base != NULL && settings != NULL && table != NULL);
    GfCellEntry *entry = calloc(1, sizeof(*entry));
    if (entry == NULL) {
        abort();
    }
    entry->base = base;
    entry->settings = settings;
    entry->clock = clock;
    entry->table = table;
    entry->commands = commands;
    entry->decoder = decoder;
    GfName_SetText(&entry->self, settings->member);
    entry->incarnation = (uint64_t)GfTime_WallMs();
    entry->started_at = GfClock_Now(clock);
    entry->rpc = GfRpcServer_Create(base, settings->peer_endpoint.address,
                                    (uint16_t)settings->peer_endpoint.port,
                                    &CELL_PEER_PROGRAM, entry, error);
    if (entry->rpc == NULL) {
        free(entry);
        return NULL;
    }
    entry->tick = evtimer_new(base, on_tick, entry);
    GfLog(GF_LOG_INFO, PART, "entry started member=%s domain=%s",
          settings->member, settings->failure_domain);
    EntryStore_Begin(entry);
    EntryControl_Begin(entry);
    schedule_tick(entry);
    return entry;
}

/* Ends the entry's term if it owns the cell, closes all connections and
 * frees the entry. entry may be NULL. */
void
GfCellEntry_Destroy(GfCellEntry *entry)
{
    if (entry == NULL) {
        return;
    }
    EntryTerm_End(entry);
    TableWatch_Destroy(entry->operator_watch);
    EntryMembers_Destroy(entry);
    GfRpcServer_Destroy(entry->rpc);
    event_free(entry->tick);
    EntryStore_End(entry);
    GfCellConfig_Destroy(entry->config);
    GfStr_Clear(&entry->config_text);
    free(entry->evacuated_domains);
    free(entry);
}

/* Returns whether the entry can serve callers: it has a configuration, is
 * not stopping, and reaches the store or the owner. */
bool
GfCellEntry_IsReady(const GfCellEntry *entry)
{
    if (entry->config == NULL || entry->stopping) {
        return false;
    }
    /* An entry that reaches neither the store nor the owner can serve no
     * request. */
    struct timespec now = GfClock_Now(entry->clock);
    bool isolated =
        entry->term == NULL && EntryStore_FailedMs(entry) > ISOLATED_MS &&
        GfTime_DiffMs(now, entry->owner.last_contact_at) > ISOLATED_MS;
    return !isolated;
}

/* Begins a planned stop. The owner announces it to the other entries at
 * once, so that one of them takes the cell over; any other entry tells the
 * owner with a heartbeat in the next tick. Requests are served until the
 * process ends. */
void
GfCellEntry_BeginStop(GfCellEntry *entry)
{
    entry->stopping = true;
    entry->next_heartbeat_at = (struct timespec){0};
    GfLog(GF_LOG_INFO, PART, "planned stop begun owner=%d",
          entry->term != NULL);
    if (entry->term != NULL) {
        EntryOwnership_Announce(entry);
    }
}
