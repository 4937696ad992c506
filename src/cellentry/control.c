/* The operators' configuration and the domains out of service. The store has
 * them; a peer with a newer configuration is asked for it, so that an entry
 * that the store turns away keeps up. */
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "entry_private.h"
#include "guavaflow/log.h"
#include "guavaflow/metrics.h"

#define PART "control"
/* How long the store holds a call for changes; it allows 30 s. */
#define FOLLOW_WAIT_MS 20000
/* A peer answers within some milliseconds; a lost call is made again. */
#define ASK_TIMEOUT_MS 800

/* Puts a configuration in force if it is newer than the one that is. */
void
EntryControl_TakeConfig(GfCellEntry *entry, const char *text, size_t len,
                        const char *source)
{
    GfError error;
    GfCellConfig *next = entry->decoder->config(text, len, &error);
    if (next == NULL) {
        GfLog(GF_LOG_WARNING, PART, "configuration ignored source=%s cause=%s",
              source, error.text);
        return;
    }
    if (entry->config != NULL && next->version <= entry->config->version) {
        GfCellConfig_Destroy(next);
        return;
    }
    GfCellConfig *before = entry->config;
    entry->config = next;
    GfStr_Clear(&entry->config_text);
    entry->config_text = GfStr_Copy(text, len);
    GfMetrics_Set(GF_METRIC_CONTROL_VERSION, (uint64_t)next->version);
    GfLog(GF_LOG_INFO, PART,
          "configuration in force version=%lld before=%lld source=%s "
          "queues=%zu teams=%zu",
          (long long)next->version,
          before == NULL ? 0LL : (long long)before->version, source,
          next->queue_count, next->team_count);
    EntryTerm_ConfigChanged(entry);
    GfCellConfig_Destroy(before);
}

/* Adds or removes a domain that is out of service. */
static void
set_evacuated(GfCellEntry *entry, const GfName *domain, bool out)
{
    size_t at = 0;
    while (at < entry->evacuated_count &&
           !GfName_Equal(&entry->evacuated[at], domain)) {
        at++;
    }
    if (out && at == entry->evacuated_count) {
        entry->evacuated =
            realloc(entry->evacuated, (at + 1) * sizeof(GfName));
        if (entry->evacuated == NULL) {
            abort();
        }
        entry->evacuated[entry->evacuated_count++] = *domain;
    }
    else if (!out && at < entry->evacuated_count) {
        entry->evacuated[at] = entry->evacuated[--entry->evacuated_count];
    }
    else {
        return;
    }
    GfLog(GF_LOG_INFO, PART, "domain %s domain=%s",
          out ? "taken out of service" : "back in service", domain->data);
}

/* Takes the operators' rows. */
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
            set_evacuated(entry, &domain, !row->deleted);
        }
        else if (strcmp(row->key, entry->decoder->config_key) == 0 &&
                 row->value != NULL) {
            EntryControl_TakeConfig(entry, row->value, row->value_len,
                                    "store");
        }
    }
    EntryTerm_ConfigChanged(entry);
}

/* Begins to follow the operators' rows. */
void
EntryControl_Begin(GfCellEntry *entry)
{
    entry->operator_follow = Follow_Create(
        entry, entry->decoder->operator_table, FOLLOW_WAIT_MS, 0, on_rows);
    Follow_Begin(entry->operator_follow);
}

/* Takes a peer's configuration. */
static void
on_config(void *arg, const GfRpcOutcome *outcome)
{
    GfCellEntry *entry = arg;
    entry->asking_config = false;
    if (outcome->kind != GF_OK) {
        GfLog(GF_LOG_INFO, PART, "configuration not got from a peer cause=%s",
              GfError_Name(outcome->kind));
        return;
    }
    const gfc_config_reply *reply = outcome->result;
    if (reply->document.document_len > 0) {
        EntryControl_TakeConfig(entry, reply->document.document_val,
                                reply->document.document_len, "peer");
    }
}

/* Asks a peer for its configuration if that is newer. */
void
EntryControl_CompareWithPeer(GfCellEntry *entry, Peer *peer, uint64_t version)
{
    uint64_t own =
        entry->config == NULL ? 0 : (uint64_t)entry->config->version;
    peer->config_version = version;
    if (version <= own || entry->asking_config) {
        return;
    }
    entry->asking_config = true;
    gfc_config_ask ask = {.known_version = own};
    GfRpcClient_Start(peer->client, GFC_CONFIG, &ask, sizeof(gfc_config_reply),
                      ASK_TIMEOUT_MS, on_config, entry);
}
