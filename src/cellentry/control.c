/* The operators' configuration and the failure domains that are out of
 * service. Both are rows in the store, which every entry watches. A newer
 * configuration is also fetched from a peer that has it, so that an entry
 * that cannot reach the store stays up to date; an entry that reaches it
 * leaves time for its own watch, since a large document fills a narrow
 * link. */
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "entry_private.h"
#include "guavaflow/log.h"
#include "guavaflow/metrics.h"

#define PART "control"
/* How long the store holds a call open to wait for changes. A connection that
 * has gone silent is noticed only when the call times out, 1.2 s later, and an
 * entry has to be up to date again 3 s after the silence began: the owner may
 * be down or without news itself, so it cannot stand in for the watch. The
 * owner's interval is shorter since entries that the store turns away depend
 * on it. */
#define WATCH_WAIT_MS 1000
#define OWNER_WATCH_WAIT_MS 500
/* A process that has just started reads the configuration from the store; for
 * this long it takes none from a peer, which may have an older one, unless the
 * store is unreachable. */
#define FIRST_READ_MS 1000
/* A newer version that has been known for this long is reason to check whether
 * the store answers here. */
#define CHECK_AFTER_MS 300
/* How long the watch may take to deliver a version that a peer has, if the
 * store has answered no call here meanwhile, and if it has. A change must be
 * in force everywhere within 2 s, of which the fetch needs up to 0.7 s on a
 * link of 10 Mbit/s. */
#define WATCH_MS 700
#define ANSWERED_WATCH_MS 1200
/* Timeout of fetching the configuration: the largest document takes 0.9 s on a
 * link of 10 Mbit/s. */
#define FETCH_TIMEOUT_MS 1200
/* Pause after a fetch that timed out, so that its late answer, which may still
 * be on the way, and the next one do not share the link. A fetch that failed
 * otherwise is repeated after the next heartbeat. */
#define FETCH_PAUSE_MS 2000

/* Returns for how long, in ms, a peer has been known to have a newer version
 * than this entry; 0 if none has. */
static int64_t
newer_known_ms(const GfCellEntry *entry)
{
    uint64_t own =
        entry->config == NULL ? 0 : (uint64_t)entry->config->version;
    return entry->newer_version <= own
               ? 0
               : GfTime_DiffMs(GfClock_Now(entry->clock), entry->newer_since);
}

/* Decodes a configuration and applies it if its version is higher than that
 * of the current one. text is borrowed; source names in the log where it
 * came from. A text that cannot be decoded is logged and ignored. */
void
EntryControl_ApplyConfig(GfCellEntry *entry, const char *text, size_t len,
                         const char *source)
{
    GfError error;
    GfCellConfig *next = entry->decoder->config(text, len, &error);
    if (next == NULL) {
        GfMetrics_Add(GF_METRIC_CONTROL_IGNORED, 1);
        GfLog(GF_LOG_WARNING, PART, "configuration ignored source=%s cause=%s",
              source, error.text);
        return;
    }
    if (entry->config != NULL && next->version <= entry->config->version) {
        GfCellConfig_Destroy(next);
        return;
    }
    int64_t known_ms = newer_known_ms(entry);
    GfCellConfig *before = entry->config;
    entry->config = next;
    GfStr_Clear(&entry->config_text);
    entry->config_text = GfStr_Copy(text, len);
    GfMetrics_Set(GF_METRIC_CONTROL_VERSION, (uint64_t)next->version);
    GfLog(GF_LOG_INFO, PART,
          "configuration applied version=%lld before=%lld source=%s "
          "queues=%zu teams=%zu known_ms=%lld watch_age_ms=%lld",
          (long long)next->version,
          before == NULL ? 0LL : (long long)before->version, source,
          next->queue_count, next->team_count, (long long)known_ms,
          (long long)EntryControl_WatchAgeMs(entry));
    EntryTerm_ApplyConfig(entry);
    GfCellConfig_Destroy(before);
}

/* Adds a failure domain to those out of service or removes it from them. */
static void
set_out_of_service(GfCellEntry *entry, const GfName *domain, bool out)
{
    size_t at = 0;
    while (at < entry->evacuated_count &&
           !GfName_Equal(&entry->evacuated_domains[at], domain)) {
        at++;
    }
    if (out && at == entry->evacuated_count) {
        entry->evacuated_domains =
            realloc(entry->evacuated_domains, (at + 1) * sizeof(GfName));
        if (entry->evacuated_domains == NULL) {
            abort();
        }
        entry->evacuated_domains[entry->evacuated_count++] = *domain;
    }
    else if (!out && at < entry->evacuated_count) {
        entry->evacuated_domains[at] =
            entry->evacuated_domains[--entry->evacuated_count];
    }
    else {
        return;
    }
    GfLog(GF_LOG_INFO, PART, "failure domain %s domain=%s",
          out ? "taken out of service" : "back in service", domain->data);
}

/* Applies rows of the operators' table: configuration and evacuated failure
 * domains. whole: rows holds the complete table, not just changes. */
static void
on_rows(GfCellEntry *entry, const GfTableRow *rows, size_t count, bool whole)
{
    if (whole) {
        entry->evacuated_count = 0;
    }
    for (size_t i = 0; i < count; i++) {
        const GfTableRow *row = &rows[i];
        GfName domain;
        if (entry->decoder->evacuation(row->key, &domain)) {
            set_out_of_service(entry, &domain, !row->deleted);
        }
        else if (strcmp(row->key, entry->decoder->config_key) != 0) {
            continue;
        }
        else if (row->value != NULL) {
            EntryControl_ApplyConfig(entry, row->value, row->value_len,
                                     "store");
        }
        else {
            GfMetrics_Add(GF_METRIC_CONTROL_IGNORED, 1);
            GfLog(GF_LOG_WARNING, PART,
                  "configuration row without a value deleted=%d version=%lld",
                  row->deleted, (long long)row->version);
        }
    }
    EntryTerm_ApplyConfig(entry);
}

/* Starts to watch the operators' table. */
void
EntryControl_Begin(GfCellEntry *entry)
{
    entry->operator_watch =
        TableWatch_Create(entry, entry->decoder->operator_table, false,
                          WATCH_WAIT_MS, 0, on_rows);
    TableWatch_Start(entry->operator_watch);
}

/* Adapts the watch of the operators' table to whether this entry owns the
 * cell. */
void
EntryControl_SetOwner(GfCellEntry *entry, bool owner)
{
    TableWatch_SetWait(entry->operator_watch,
                       owner ? OWNER_WATCH_WAIT_MS : WATCH_WAIT_MS);
}

/* Returns how old, in ms, what the watch knows of the operators' table is at
 * most. While nothing changes, it grows until the poll in progress is
 * answered. */
int64_t
EntryControl_WatchAgeMs(const GfCellEntry *entry)
{
    return entry->operator_watch == NULL
               ? 0
               : TableWatch_AgeMs(entry->operator_watch);
}

/* Handles a peer's answer with its configuration. */
static void
on_config(void *arg, const GfRpcOutcome *outcome)
{
    GfCellEntry *entry = arg;
    entry->fetching_config = false;
    if (outcome->kind != GF_OK) {
        if (outcome->kind == GF_TIMEOUT) {
            entry->next_fetch_at =
                GfTime_AddMs(GfClock_Now(entry->clock), FETCH_PAUSE_MS);
        }
        GfLog(GF_LOG_INFO, PART,
              "fetching configuration from peer failed cause=%s",
              GfError_Name(outcome->kind));
        return;
    }
    const gfc_config_reply *reply = outcome->result;
    if (reply->document.document_len > 0) {
        EntryControl_ApplyConfig(entry, reply->document.document_val,
                                 reply->document.document_len, "peer");
    }
}

/* Records since when a version newer than own is known. Returns whether there
 * is one. */
static bool
record_newer(GfCellEntry *entry, uint64_t version, uint64_t own,
             struct timespec now)
{
    if (version <= own) {
        return false;
    }
    if (entry->newer_version <= own) {
        entry->newer_since = now;
    }
    if (version > entry->newer_version) {
        entry->newer_version = version;
    }
    return true;
}

/* Returns whether a newer version may be fetched from a peer: the store is
 * unreachable here, or the watch has had time to deliver it. Checks the store
 * if it has not answered since the version became known. */
static bool
may_fetch(GfCellEntry *entry, struct timespec now)
{
    if (entry->fetching_config || GfTime_Before(now, entry->next_fetch_at)) {
        return false;
    }
    if (!EntryStore_IsReachable(entry)) {
        return true;
    }
    if (entry->config == NULL) {
        return GfTime_DiffMs(now, entry->started_at) >= FIRST_READ_MS;
    }
    int64_t known_ms = GfTime_DiffMs(now, entry->newer_since);
    bool answered =
        !GfTime_Before(entry->store_answered_at, entry->newer_since);
    if (!answered && known_ms >= CHECK_AFTER_MS) {
        EntryStore_Check(entry);
    }
    return known_ms >= (answered ? ANSWERED_WATCH_MS : WATCH_MS);
}

/* Records the configuration version that a peer has, and fetches the
 * configuration from it if that is newer than ours and the store does not
 * deliver it. One fetch runs at a time, and none while a new process waits for
 * the store: a key that has been withdrawn must not be accepted again after a
 * restart. */
void
EntryControl_SyncWithPeer(GfCellEntry *entry, Peer *peer, uint64_t version)
{
    struct timespec now = GfClock_Now(entry->clock);
    uint64_t own =
        entry->config == NULL ? 0 : (uint64_t)entry->config->version;
    peer->config_version = version;
    if (!record_newer(entry, version, own, now) || !may_fetch(entry, now)) {
        return;
    }
    entry->fetching_config = true;
    gfc_config_ask ask = {.known_version = own};
    GfRpcClient_Start(peer->client, GFC_CONFIG, &ask, sizeof(gfc_config_reply),
                      FETCH_TIMEOUT_MS, on_config, entry);
}
