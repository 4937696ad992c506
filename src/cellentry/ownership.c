/* Who owns the cell. The owner is named by one row in the store; the version
 * of the transaction that wrote it is the token of all its orders. Any entry
 * may take the row from an owner that it holds to be gone; a wrong suspicion
 * costs work, but no promise, since workers obey the highest token only. */
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>
#include <xxhash.h>

#include "entry_private.h"
#include "guavaflow/log.h"
#include "guavaflow/metrics.h"
#include "guavaflow/succession.h"

#define PART "owner"
/* Pause between heartbeats to the owner. */
#define BEAT_MS 150
/* Silence after which an owner is held to be gone: two heartbeats lost and
 * their time-outs. */
#define SILENT_MS 700
/* A peer that has heard the owner within this time speaks for it. */
#define VOUCH_MS 450
/* How long a peer's word for a silent owner holds back a claim. */
#define VOUCH_KEEP_MS 400
/* An owner that refuses connections this often in a row, and is silent this
 * long, has no process any more; one reset connection says nothing. */
#define LOST_BEATS 2
#define LOST_MS 250
/* Pause after a claim that failed. */
#define CLAIM_PAUSE_MS 150
/* As much of a slow store's time counts for the order of candidates. */
#define STORE_MS_MAX 500
/* An owner without the store is left this long; an outage that hits all
 * entries ends for all at once. */
#define STORELESS_MS 450
/* As for other calls to a slow store. */
#define CLAIM_TIMEOUT_MS 1500
/* Strength is counted in thousandths of a processor. */
#define PER_PROCESSOR 1000
/* That of a host that does not say it: a quarter of a processor. */
#define DEFAULT_STRENGTH 250
/* The owner of 350 workers moves some 10 Mbit/s in bursts. */
#define NARROW_LINK_MBPS 50
/* A loop this late on average is that of a slowed host. */
#define SLOW_LOOP_MS 25
#define SLOW_LOOP_FACTOR 8
/* Ownership moves to a host that is this much stronger, once it has been
 * known for a while; a takeover costs some 100 ms. */
#define YIELD_FACTOR 1.4
#define YIELD_AFTER_MS 1500

/* Returns the peer that owns the cell, or NULL if it is unknown or this entry
 * itself. */
Peer *
EntryOwnership_Peer(GfCellEntry *entry)
{
    return entry->owner.token == 0
               ? NULL
               : EntryMembers_Find(entry, &entry->owner.name);
}

/* Takes another owner into view if its token is higher. */
static void
set_owner(GfCellEntry *entry, const GfName *name, uint64_t incarnation,
          int64_t token, const char *source)
{
    if (token <= entry->owner.token) {
        return;
    }
    GfLog(GF_LOG_INFO, PART, "owner known member=%s token=%lld source=%s",
          name->data, (long long)token, source);
    entry->owner =
        (OwnerView){.name = *name, .incarnation = incarnation, .token = token};
    entry->owner.heard_at = GfClock_Now(entry->clock);
    entry->owner_row_version = token;
    entry->owner_row_known = true;
    entry->claim_planned = false;
    entry->next_beat_at = (struct timespec){0};
    if (entry->term != NULL && token > EntryTerm_Token(entry)) {
        EntryTerm_End(entry);
    }
}

/* Gives the ownership up, as after a worker showed a higher token. */
void
EntryOwnership_Lost(GfCellEntry *entry, const char *cause)
{
    if (entry->term == NULL) {
        return;
    }
    GfLog(GF_LOG_WARNING, PART, "ownership lost token=%lld cause=%s",
          (long long)EntryTerm_Token(entry), cause);
    EntryTerm_End(entry);
    entry->owner.disowned = true;
}

/* Takes the answer to a heartbeat. */
void
EntryOwnership_TakeReply(GfCellEntry *entry, Peer *peer,
                         const gfc_beat_reply *reply)
{
    struct timespec now = GfClock_Now(entry->clock);
    GfName name;
    if (reply->token > 0 && GfName_SetText(&name, reply->owner.member)) {
        EntryMembers_FromXdr(entry, &reply->owner);
        set_owner(entry, &name, reply->owner.incarnation,
                  (int64_t)reply->token, "peer");
    }
    if (!GfName_Equal(&peer->name, &entry->owner.name)) {
        if ((int64_t)reply->token == entry->owner.token && !reply->owns &&
            reply->owner_silent_ms < VOUCH_MS) {
            entry->other_heard_at =
                GfTime_AddMs(now, -(int64_t)reply->owner_silent_ms);
            entry->relay = peer->name;
        }
        return;
    }
    if (!reply->owns) {
        /* The answer to its claim may still be on the way. */
        bool pending = reply->claiming &&
                       reply->from.incarnation == entry->owner.incarnation;
        entry->owner.disowned = !pending;
        return;
    }
    entry->owner.disowned = false;
    entry->owner.heard_at = now;
    entry->owner.store_ms = reply->store_ms;
    entry->owner.ready = reply->ready;
    entry->owner.stopping = reply->stopping;
    if (reply->has_store) {
        entry->owner.storeless = false;
    }
    else if (!entry->owner.storeless) {
        entry->owner.storeless = true;
        entry->owner.storeless_since = now;
    }
}

/* Tells all entries that may be up of this owner, or that it is stopping. */
void
EntryOwnership_Announce(GfCellEntry *entry)
{
    for (Peer *p = entry->peers; p != NULL; p = p->hh.next) {
        if (p->listed || EntryMembers_IsHeard(entry, p)) {
            EntryMembers_Beat(entry, p);
        }
    }
}

/* Begins a term and tells those that may be up, so that they turn to the new
 * owner at once and serve it as callers for advice. */
static void
begin_term(GfCellEntry *entry, int64_t token)
{
    EntryTerm_Begin(entry, token);
    EntryOwnership_Announce(entry);
}

/* Takes the owner's row as it stands in the store. */
static void
take_row(GfCellEntry *entry, const GfTableRow *row)
{
    json_t *json = row->value == NULL
                       ? NULL
                       : json_loadb(row->value, row->value_len, 0, NULL);
    const char *member = json_string_value(json_object_get(json, "member"));
    const char *address = json_string_value(json_object_get(json, "address"));
    json_int_t port = json_integer_value(json_object_get(json, "port"));
    uint64_t nonce =
        (uint64_t)json_integer_value(json_object_get(json, "nonce"));
    GfName name;
    entry->last_owner_strength =
        (uint32_t)json_integer_value(json_object_get(json, "strength"));
    entry->owner_row_version = row->version;
    if (member == NULL || address == NULL || port < 1 || port > UINT16_MAX ||
        !GfName_SetText(&name, member)) {
        GfLog(GF_LOG_WARNING, PART, "the owner's row is not readable");
    }
    else if (GfName_Equal(&name, &entry->self)) {
        if (nonce == entry->claim_nonce && entry->claim_nonce != 0 &&
            entry->term == NULL && row->version > entry->owner.token) {
            /* A claim without an answer was carried out. */
            entry->claim_nonce = 0;
            begin_term(entry, row->version);
        }
        else if (entry->term == NULL) {
            set_owner(entry, &name, 0, row->version, "store");
            entry->owner.disowned = true;
        }
    }
    else {
        uint64_t incarnation =
            (uint64_t)json_integer_value(json_object_get(json, "incarnation"));
        EntryMembers_Get(entry, &name, address, (uint16_t)port, incarnation);
        set_owner(entry, &name, incarnation, row->version, "store");
    }
    json_decref(json);
}

/* Takes a heartbeat of an owner: it is new, or is stopping. */
void
EntryOwnership_TakeBeat(GfCellEntry *entry, const Peer *peer,
                        const gfc_beat *beat)
{
    if (beat->owns) {
        set_owner(entry, &peer->name, beat->from.incarnation,
                  (int64_t)beat->token, "itself");
        if (GfName_Equal(&peer->name, &entry->owner.name)) {
            entry->owner.stopping = beat->stopping;
        }
    }
}

/* Takes the outcome of a claim. */
static void
on_claim(void *arg, GfTableResult result, int64_t version,
         const GfTableRow *rows, size_t count)
{
    GfCellEntry *entry = arg;
    entry->claiming = false;
    entry->claim_planned = false;
    /* One without an answer may have been carried out: the row tells. */
    entry->owner_row_known =
        result == GF_TABLE_OK || result == GF_TABLE_CONFLICT;
    entry->claim_at = GfTime_AddMs(GfClock_Now(entry->clock), CLAIM_PAUSE_MS);
    EntryStore_Note(entry, result);
    GfLog(GF_LOG_INFO, PART, "claim expected=%lld outcome=%s",
          (long long)entry->owner_row_version, GfTableResult_Name(result));
    if (result == GF_TABLE_OK) {
        entry->owner_row_version = version;
        entry->claim_nonce = 0;
        if (!entry->stopping) {
            begin_term(entry, version);
        }
        return;
    }
    for (size_t i = 0; i < count; i++) {
        if (strcmp(rows[i].key, ENTRY_OWNER_KEY) == 0) {
            take_row(entry, &rows[i]);
        }
    }
}

/* Tries to take the cell from the owner that the last row named. */
static void
claim(GfCellEntry *entry)
{
    entry->claiming = true;
    randombytes_buf(&entry->claim_nonce, sizeof(entry->claim_nonce));
    entry->claim_nonce >>= 16U; /* stays exact in JSON */
    json_t *row =
        json_pack("{s:s,s:s,s:I,s:I,s:I,s:I}", "member", entry->self.data,
                  "address", entry->settings->peer_advertised_at.address,
                  "port", (json_int_t)entry->settings->peer_advertised_at.port,
                  "incarnation", (json_int_t)entry->incarnation, "nonce",
                  (json_int_t)entry->claim_nonce, "strength",
                  (json_int_t)EntryOwnership_Strength(entry));
    char *text = json_dumps(row, JSON_COMPACT);
    json_decref(row);
    const GfTableExpectation expectation = {.table = ENTRY_CELL_TABLE,
                                            .part = ENTRY_OWNER_PART,
                                            .key = ENTRY_OWNER_KEY,
                                            .version =
                                                entry->owner_row_version};
    const GfTableChange changes[] = {
        {ENTRY_CELL_TABLE, ENTRY_OWNER_PART, ENTRY_OWNER_KEY, text,
         strlen(text)},
        {ENTRY_CELL_TABLE, ENTRY_OWNER_PART, ENTRY_COMMIT_KEY, "{}", 2}};
    GfTableTransaction transaction = {.expectations = &expectation,
                                      .expectation_count = 1,
                                      .changes = changes,
                                      .change_count = 2,
                                      .timeout_ms = CLAIM_TIMEOUT_MS};
    GfTable_Transact(entry->table, &transaction, on_claim, entry);
    free(text);
}

/* Returns how fit this entry is to own the cell: thousandths of a processor,
 * less on a narrow link, and little while its loop is late. */
uint32_t
EntryOwnership_Strength(const GfCellEntry *entry)
{
    const GfCellEntrySettings *s = entry->settings;
    double strength = s->processor_share > 0
                          ? s->processor_share * PER_PROCESSOR
                          : DEFAULT_STRENGTH;
    if (s->link_mbps > 0 && s->link_mbps < NARROW_LINK_MBPS) {
        strength /= 2;
    }
    if (entry->loop_lag_ms > SLOW_LOOP_MS) {
        strength /= SLOW_LOOP_FACTOR;
    }
    return strength < 1 ? 1 : (uint32_t)strength;
}

/* Tells whether this entry would rather not own the cell: it is stopping, or
 * a much stronger one has been in contact for a while. */
bool
EntryOwnership_Yields(GfCellEntry *entry)
{
    if (entry->stopping) {
        return true;
    }
    if (entry->term == NULL) {
        return false;
    }
    struct timespec now = GfClock_Now(entry->clock);
    uint32_t own = EntryOwnership_Strength(entry);
    for (const Peer *p = entry->peers; p != NULL; p = p->hh.next) {
        if (EntryMembers_IsHeard(entry, p) && !p->stopping &&
            p->strength > own * YIELD_FACTOR &&
            GfTime_DiffMs(now, p->known_at) > YIELD_AFTER_MS) {
            return true;
        }
    }
    return false;
}

/* Tells whether a peer may be up and take the cell. */
static bool
may_succeed(const GfCellEntry *entry, const Peer *peer)
{
    return !GfName_Equal(&peer->name, &entry->owner.name) && !peer->stopping &&
           (peer->listed || EntryMembers_IsHeard(entry, peer));
}

/* Plans a claim. */
static void
plan_claim(GfCellEntry *entry, const char *cause)
{
    GfCandidate *others =
        calloc(HASH_COUNT(entry->peers) + 1, sizeof(GfCandidate));
    if (others == NULL) {
        abort();
    }
    GfSuccession s = {
        .self = {entry->self, EntryOwnership_Strength(entry),
                 entry->incarnation},
        .others = others,
        .token = entry->owner.token,
        .last_owner_strength = entry->last_owner_strength,
        .planned = entry->owner.stopping,
        .store_ms = entry->owner.store_ms < STORE_MS_MAX
                        ? entry->owner.store_ms
                        : STORE_MS_MAX,
        .up_ms = GfTime_DiffMs(GfClock_Now(entry->clock), entry->started_at),
        .chance = randombytes_random() & UINT16_MAX};
    for (const Peer *p = entry->peers; p != NULL; p = p->hh.next) {
        if (may_succeed(entry, p)) {
            others[s.other_count++] =
                (GfCandidate){p->name, p->strength, p->incarnation};
        }
    }
    int64_t ms = GfSuccession_DelayMs(&s);
    free(others);
    GfLog(GF_LOG_INFO, PART,
          "claim planned token=%lld in_ms=%lld known=%zu store_ms=%lld "
          "strength=%u cause=%s",
          (long long)entry->owner.token, (long long)ms, s.other_count,
          (long long)s.store_ms, s.self.strength, cause);
    entry->claim_planned = true;
    entry->claim_at = GfTime_AddMs(GfClock_Now(entry->clock), ms);
}

/* Takes the owner's row, read because the owner seems gone, and plans a claim
 * if it still names that owner. */
static void
on_owner_row(void *arg, GfTableResult result, int64_t version,
             const GfTableRow *rows, size_t count)
{
    (void)version;
    GfCellEntry *entry = arg;
    entry->reading_owner = false;
    EntryStore_Note(entry, result);
    if (result != GF_TABLE_OK) {
        return;
    }
    entry->owner_row_known = true;
    int64_t before = entry->owner.token;
    if (count == 0) {
        entry->owner_row_version = 0;
    }
    else {
        take_row(entry, &rows[0]);
    }
    bool same = entry->owner.token == before && entry->term == NULL;
    bool own_row = GfName_Equal(&entry->owner.name, &entry->self);
    if ((same || own_row) && !entry->claim_planned && entry->term == NULL) {
        plan_claim(entry, "as its row says");
    }
}

/* Tells whether the owner should be replaced, and why. */
static const char *
find_fault(GfCellEntry *entry, struct timespec now)
{
    const OwnerView *o = &entry->owner;
    if (o->token == 0) {
        return "none is known";
    }
    if (o->disowned) {
        return "it does not own the cell";
    }
    int64_t silent = GfTime_DiffMs(now, o->heard_at);
    const Peer *peer = EntryOwnership_Peer(entry);
    if (peer != NULL && peer->lost_beats >= LOST_BEATS && silent > LOST_MS &&
        !GfTime_Before(peer->lost_at, entry->other_heard_at)) {
        return "its process is gone";
    }
    if (silent > SILENT_MS) {
        bool vouched = GfTime_DiffMs(now, entry->other_heard_at) <
                       VOUCH_MS + VOUCH_KEEP_MS;
        return vouched ? NULL : "it is silent";
    }
    if (o->stopping) {
        return "it is stopping";
    }
    if (o->storeless &&
        GfTime_DiffMs(now, o->storeless_since) > STORELESS_MS &&
        !entry->store_failed) {
        return "it is without the store";
    }
    return NULL;
}

/* Sends heartbeats to the owner; if it is unknown or silent, to others as
 * well, who may know better. */
static void
send_beats(GfCellEntry *entry, struct timespec now)
{
    if (GfTime_Before(now, entry->next_beat_at)) {
        return;
    }
    entry->next_beat_at = GfTime_AddMs(now, BEAT_MS);
    Peer *owner = EntryOwnership_Peer(entry);
    if (owner != NULL) {
        EntryMembers_Beat(entry, owner);
    }
    bool silent = owner == NULL ||
                  GfTime_DiffMs(now, entry->owner.heard_at) > BEAT_MS * 2;
    if (!silent) {
        return;
    }
    size_t count = HASH_COUNT(entry->peers);
    size_t at = count == 0 ? 0 : entry->next_peer++ % count;
    for (Peer *p = entry->peers; p != NULL; p = p->hh.next) {
        if (at-- == 0 && p != owner) {
            EntryMembers_Beat(entry, p);
        }
    }
    if (entry->settings->seed_count > 0 && owner == NULL) {
        const GfEndpoint *seed =
            &entry->settings
                 ->seed_at[entry->next_seed++ % entry->settings->seed_count];
        GfName name = GfName_Format("seed-%s:%u", seed->address, seed->port);
        if (strcmp(seed->address,
                   entry->settings->peer_advertised_at.address) != 0 ||
            seed->port != entry->settings->peer_advertised_at.port) {
            Peer *p = EntryMembers_Get(entry, &name, seed->address,
                                       (uint16_t)seed->port, 0);
            EntryMembers_Beat(entry, p);
        }
    }
}

/* Watches the owner, and replaces it when it is gone. */
void
EntryOwnership_Tick(GfCellEntry *entry, struct timespec now)
{
    if (entry->term != NULL) {
        entry->owner.heard_at = now;
        return;
    }
    send_beats(entry, now);
    const char *fault = find_fault(entry, now);
    if (fault == NULL) {
        entry->claim_planned = false;
        return;
    }
    if (entry->stopping || entry->claiming || entry->reading_owner) {
        return;
    }
    if (!entry->claim_planned) {
        if (GfTime_Before(now, entry->claim_at)) {
            return;
        }
        if (!entry->owner_row_known) {
            entry->claim_at = GfTime_AddMs(now, CLAIM_PAUSE_MS);
            entry->reading_owner = true;
            GfTable_Read(entry->table, ENTRY_CELL_TABLE, ENTRY_OWNER_PART,
                         ENTRY_OWNER_KEY, on_owner_row, entry);
            return;
        }
        plan_claim(entry, fault);
    }
    if (!GfTime_Before(now, entry->claim_at)) {
        GfLog(GF_LOG_INFO, PART,
              "claiming the cell from=%s token=%lld cause=%s",
              entry->owner.name.data, (long long)entry->owner.token, fault);
        claim(entry);
    }
}
