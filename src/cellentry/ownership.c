/* Ownership of the cell. One row in the store names the owner, and the
 * version of the transaction that wrote the row is the token that the owner's
 * orders carry, or a version that it has stored since. Any entry may claim the
 * row from an owner that it considers failed. A wrong claim costs work but
 * breaks no guarantee, since workers obey only the highest token. */
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
/* Interval of heartbeats to the owner. */
#define HEARTBEAT_INTERVAL_MS 150
/* Time without contact after which the owner counts as failed: two lost
 * heartbeats and their timeouts. */
#define OWNER_TIMEOUT_MS 700
/* An owner that a peer had contact with less than this ago counts as alive
 * when the peer reports it. */
#define PEER_CONTACT_MS 450
/* A silent owner is not replaced until PEER_CONTACT_MS and this have passed
 * since such a contact. */
#define PEER_CONTACT_KEEP_MS 400
/* An owner whose connection was refused or lost for LOST_HEARTBEATS
 * heartbeats in a row, and which has been out of contact for OWNER_LOST_MS,
 * has no running process any more. One reset connection does not show that. */
#define LOST_HEARTBEATS 2
#define OWNER_LOST_MS 250
/* Pause after a failed claim, and between reads of the owner's row. */
#define CLAIM_PAUSE_MS 150
/* Limit of the store's transaction time in the delays of the takeover
 * order. */
#define MAX_STORE_MS 500
/* An owner that cannot reach the store keeps the cell for this long, also
 * after the store has returned here: an outage that affects all entries ends
 * for all of them within a few hundred ms, and then needs no takeover. */
#define STORE_UNREACHABLE_MS 450
/* Timeout of a claim, as for other calls to a slow store. */
#define CLAIM_TIMEOUT_MS 1500
/* Strength is measured in thousandths of a processor. */
#define MCORES_PER_PROCESSOR 1000
/* Strength of a host whose settings give no processor_share: a quarter of a
 * processor. */
#define DEFAULT_STRENGTH 250
/* A host with a slower link than this has half the strength: the owner of
 * 350 workers transfers some 10 Mbit/s in bursts. */
#define NARROW_LINK_MBPS 50
/* A host whose event loop runs its ticks this late on average counts as
 * slowed, and its strength is divided by SLOW_LOOP_DIVISOR. */
#define SLOW_LOOP_MS 25
#define SLOW_LOOP_DIVISOR 8
/* The owner yields to an entry that is stronger by YIELD_FACTOR and has
 * been known for YIELD_AFTER_MS; a takeover costs some 100 ms. */
#define YIELD_FACTOR 1.4
#define YIELD_AFTER_MS 1500

/* Returns the peer that owns the cell, or NULL if no owner is known or this
 * entry is the owner itself. */
Peer *
EntryOwnership_OwnerPeer(GfCellEntry *entry)
{
    return entry->owner.token == 0
               ? NULL
               : EntryMembers_Find(entry, &entry->owner.name);
}

/* Records a new owner if its token is higher than the one known, and ends
 * this entry's own term if the token is also higher than its own. source
 * names in the log where this was learned. */
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
    entry->owner.last_contact_at = GfClock_Now(entry->clock);
    entry->owner_row_version = token;
    entry->owner_row_known = true;
    entry->claim_scheduled = false;
    entry->next_heartbeat_at = (struct timespec){0};
    if (entry->term != NULL && token > EntryTerm_Token(entry)) {
        EntryTerm_End(entry);
    }
    /* The store has just answered the claim. */
    EntryStore_HandleNews(entry);
}

/* Gives up ownership and ends the term, for example after a worker has
 * shown a higher token. Does nothing if this entry is not the owner. */
void
EntryOwnership_GiveUp(GfCellEntry *entry, const char *cause)
{
    if (entry->term == NULL) {
        return;
    }
    GfLog(GF_LOG_WARNING, PART, "ownership lost token=%lld cause=%s",
          (long long)EntryTerm_Token(entry), cause);
    EntryTerm_End(entry);
    entry->owner.denies_ownership = true;
}

/* Handles the answer to a heartbeat. It may name a newer owner; a peer
 * other than the owner may report its own contact with the owner; the owner
 * reports its state. */
void
EntryOwnership_HandleReply(GfCellEntry *entry, Peer *peer,
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
            reply->owner_silent_ms < PEER_CONTACT_MS) {
            entry->relay_contact_at =
                GfTime_AddMs(now, -(int64_t)reply->owner_silent_ms);
            entry->relay = peer->name;
        }
        return;
    }
    if (!reply->owns) {
        /* The store's answer to the owner's claim may still be on the way. */
        bool pending = reply->claiming &&
                       reply->from.incarnation == entry->owner.incarnation;
        entry->owner.denies_ownership = !pending;
        return;
    }
    entry->owner.denies_ownership = false;
    entry->owner.last_contact_at = now;
    entry->owner.store_ms = reply->store_ms;
    entry->owner.ready = reply->ready;
    entry->owner.stopping = reply->stopping;
    if (reply->has_store) {
        entry->owner.store_unreachable = false;
    }
    else if (!entry->owner.store_unreachable) {
        entry->owner.store_unreachable = true;
        entry->owner.store_unreachable_since = now;
    }
}

/* Sends a heartbeat to all entries that may be up, to announce a new owner
 * or a planned stop. */
void
EntryOwnership_Announce(GfCellEntry *entry)
{
    for (Peer *p = entry->peers; p != NULL; p = p->hh.next) {
        if (p->is_member || EntryMembers_IsInContact(entry, p)) {
            EntryMembers_SendHeartbeat(entry, p);
        }
    }
}

/* Begins a term and announces it, so that other entries turn to the new
 * owner at once. Those that answer can then ask the advice service for it.
 * former is the owner that the claim has replaced, with token 0 if there was
 * none and a negative one if it is unknown. */
static void
begin_term(GfCellEntry *entry, int64_t token, const OwnerView *former)
{
    EntryTerm_Begin(entry, token, former);
    EntryOwnership_Announce(entry);
}

/* Applies the owner's row as read from the store: records the owner that it
 * names, or begins a term if it was written by a claim of this entry whose
 * answer was lost. */
static void
apply_owner_row(GfCellEntry *entry, const GfTableRow *row)
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
        GfLog(GF_LOG_WARNING, PART, "owner row unreadable");
    }
    else if (GfName_Equal(&name, &entry->self)) {
        if (nonce == entry->claim_nonce && entry->claim_nonce != 0 &&
            entry->term == NULL && row->version > entry->owner.token) {
            /* A claim whose answer was lost has been committed. */
            entry->claim_nonce = 0;
            const OwnerView unknown = {.token = -1};
            begin_term(entry, row->version, &unknown);
        }
        else if (entry->term == NULL) {
            set_owner(entry, &name, 0, row->version, "store");
            entry->owner.denies_ownership = true;
        }
    }
    else {
        uint64_t incarnation =
            (uint64_t)json_integer_value(json_object_get(json, "incarnation"));
        EntryMembers_FindOrCreate(entry, &name, address, (uint16_t)port,
                                  incarnation);
        set_owner(entry, &name, incarnation, row->version, "store");
    }
    json_decref(json);
}

/* Handles a heartbeat from a peer. If the peer owns the cell, it may be a
 * new owner, and the heartbeat says whether it is stopping. */
void
EntryOwnership_HandleHeartbeat(GfCellEntry *entry, const Peer *peer,
                               const gfc_beat *heartbeat)
{
    if (heartbeat->owns) {
        set_owner(entry, &peer->name, heartbeat->from.incarnation,
                  (int64_t)heartbeat->token, "itself");
        if (GfName_Equal(&peer->name, &entry->owner.name)) {
            entry->owner.stopping = heartbeat->stopping;
        }
    }
}

/* Handles the result of a claim: begins a term, unless this entry is
 * stopping or knows a later owner, or applies the owner's row that a conflict
 * returns. */
static void
on_claim(void *arg, GfTableResult result, int64_t version,
         const GfTableRow *rows, size_t count)
{
    GfCellEntry *entry = arg;
    entry->claiming = false;
    entry->claim_scheduled = false;
    /* A claim without an answer may have been committed, which only a read
     * of the row shows. */
    entry->owner_row_known =
        result == GF_TABLE_OK || result == GF_TABLE_CONFLICT;
    entry->claim_at = GfTime_AddMs(GfClock_Now(entry->clock), CLAIM_PAUSE_MS);
    EntryStore_RecordResult(entry, result);
    GfLog(GF_LOG_INFO, PART, "claim finished expected=%lld outcome=%s",
          (long long)entry->owner_row_version, GfTableResult_Name(result));
    if (result == GF_TABLE_OK) {
        OwnerView former = entry->owner;
        if (former.token != entry->owner_row_version) {
            former.token = entry->owner_row_version == 0 ? 0 : -1;
        }
        entry->claim_nonce = 0;
        if (version < entry->owner.token) {
            /* The answer was late, and the cell has another owner already. */
            return;
        }
        entry->owner_row_version = version;
        if (!entry->stopping) {
            begin_term(entry, version, &former);
        }
        return;
    }
    for (size_t i = 0; i < count; i++) {
        if (strcmp(rows[i].key, ENTRY_OWNER_KEY) == 0) {
            apply_owner_row(entry, &rows[i]);
        }
    }
}

/* Sends the transaction that makes this entry the owner. It requires that
 * the owner's row still has the version last seen, and writes the commit row
 * too, so that later commits of the former owner conflict. */
static void
claim(GfCellEntry *entry)
{
    entry->claiming = true;
    randombytes_buf(&entry->claim_nonce, sizeof(entry->claim_nonce));
    entry->claim_nonce >>= 16U; /* 48 bits are exact as a number in JSON */
    json_t *row = json_pack(
        "{s:s,s:s,s:I,s:I,s:I,s:I}", "member", entry->self.data, "address",
        entry->settings->peer_advertised_endpoint.address, "port",
        (json_int_t)entry->settings->peer_advertised_endpoint.port,
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

/* Returns the strength of this host as an owner: thousandths of a
 * processor, at least 1, reduced if its link is narrow or its event loop
 * late. */
uint32_t
EntryOwnership_Strength(const GfCellEntry *entry)
{
    const GfCellEntrySettings *s = entry->settings;
    double strength = s->processor_share > 0
                          ? s->processor_share * MCORES_PER_PROCESSOR
                          : DEFAULT_STRENGTH;
    if (s->link_mbps > 0 && s->link_mbps < NARROW_LINK_MBPS) {
        strength /= 2;
    }
    if (entry->loop_lag_ms > SLOW_LOOP_MS) {
        strength /= SLOW_LOOP_DIVISOR;
    }
    return strength < 1 ? 1 : (uint32_t)strength;
}

/* Returns whether this entry wants another one to take over the cell: it is
 * stopping, or it is the owner and a much stronger entry, known for
 * YIELD_AFTER_MS, is in contact. */
bool
EntryOwnership_ShouldYield(GfCellEntry *entry)
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
        if (EntryMembers_IsInContact(entry, p) && !p->stopping &&
            p->strength > own * YIELD_FACTOR &&
            GfTime_DiffMs(now, p->added_at) > YIELD_AFTER_MS) {
            return true;
        }
    }
    return false;
}

/* Returns whether a peer may be up and could take over the cell. */
static bool
may_take_over(const GfCellEntry *entry, const Peer *peer)
{
    return !GfName_Equal(&peer->name, &entry->owner.name) && !peer->stopping &&
           (peer->is_member || EntryMembers_IsInContact(entry, peer));
}

/* Returns how long ago any other entry was last heard from directly, in ms; -1
 * if none ever was. */
static int64_t
all_silent_ms(const GfCellEntry *entry, struct timespec now)
{
    int64_t least = -1;
    for (const Peer *p = entry->peers; p != NULL; p = p->hh.next) {
        int64_t ms = GfTime_DiffMs(now, p->last_contact_at);
        if (p->contacted && (least < 0 || ms < least)) {
            least = ms;
        }
    }
    return least;
}

/* Schedules a claim after the delay that this entry's place in the takeover
 * order gives. cause is only logged. */
static void
schedule_claim(GfCellEntry *entry, const char *cause)
{
    GfCandidate *others =
        calloc(HASH_COUNT(entry->peers) + 1, sizeof(GfCandidate));
    if (others == NULL) {
        abort();
    }
    GfSuccession s = {.self = {entry->self, EntryOwnership_Strength(entry),
                               entry->incarnation},
                      .others = others,
                      .token = entry->owner.token,
                      .last_owner_strength = entry->last_owner_strength,
                      .planned = entry->owner.stopping,
                      .store_ms = entry->owner.store_ms < MAX_STORE_MS
                                      ? entry->owner.store_ms
                                      : MAX_STORE_MS,
                      .uptime_ms = GfTime_DiffMs(GfClock_Now(entry->clock),
                                                 entry->started_at),
                      .random_value = randombytes_random() & UINT16_MAX};
    for (const Peer *p = entry->peers; p != NULL; p = p->hh.next) {
        if (may_take_over(entry, p)) {
            others[s.other_count++] =
                (GfCandidate){p->name, p->strength, p->incarnation};
        }
    }
    int64_t ms = GfSuccession_ClaimDelayMs(&s);
    free(others);
    struct timespec now = GfClock_Now(entry->clock);
    const GfOwnerSilence *silence = &entry->silence;
    GfLog(GF_LOG_INFO, PART,
          "claim planned token=%lld in_ms=%lld known=%zu store_ms=%lld "
          "strength=%u owner_silent_ms=%lld all_silent_ms=%lld "
          "store_silent_ms=%lld asked_ms=%lld answer_before_ms=%lld "
          "answer_after_ms=%lld cause=%s",
          (long long)entry->owner.token, (long long)ms, s.other_count,
          (long long)s.store_ms, s.self.strength,
          (long long)GfTime_DiffMs(now, entry->owner.last_contact_at),
          (long long)all_silent_ms(entry, now),
          (long long)GfTime_DiffMs(now, entry->store_answered_at),
          (long long)(silence->asked ? GfTime_DiffMs(now, silence->asked_at)
                                     : -1),
          (long long)(silence->answered_before ? silence->before_ms : -1),
          (long long)(silence->answered_after ? silence->after_ms : -1),
          cause);
    entry->claim_scheduled = true;
    entry->claim_at = GfTime_AddMs(now, ms);
}

/* Handles the read of the owner's row, made because the owner has to be
 * replaced or is unknown. Schedules a claim if the row names no newer owner,
 * or names this entry although it is not in a term. */
static void
on_owner_row(void *arg, GfTableResult result, int64_t version,
             const GfTableRow *rows, size_t count)
{
    (void)version;
    GfCellEntry *entry = arg;
    entry->reading_owner_row = false;
    EntryStore_RecordResult(entry, result);
    if (result != GF_TABLE_OK) {
        return;
    }
    entry->owner_row_known = true;
    int64_t before = entry->owner.token;
    if (count == 0) {
        entry->owner_row_version = 0;
    }
    else {
        apply_owner_row(entry, &rows[0]);
    }
    bool same = entry->owner.token == before && entry->term == NULL;
    bool own_row = GfName_Equal(&entry->owner.name, &entry->self);
    if ((same || own_row) && !entry->claim_scheduled && entry->term == NULL) {
        schedule_claim(entry, "as its row says");
    }
}

/* Returns why the owner should be replaced, as a text for the log, or NULL
 * if it should not. */
static const char *
replacement_reason(GfCellEntry *entry, struct timespec now)
{
    const OwnerView *o = &entry->owner;
    if (o->token == 0) {
        return "none is known";
    }
    if (o->denies_ownership) {
        return "it does not own the cell";
    }
    int64_t no_contact_ms = GfTime_DiffMs(now, o->last_contact_at);
    const Peer *peer = EntryOwnership_OwnerPeer(entry);
    if (peer != NULL && peer->lost_heartbeats >= LOST_HEARTBEATS &&
        no_contact_ms > OWNER_LOST_MS &&
        !GfTime_Before(peer->first_lost_at, entry->relay_contact_at)) {
        return "its process is gone";
    }
    if (no_contact_ms > OWNER_TIMEOUT_MS) {
        bool reported_alive = GfTime_DiffMs(now, entry->relay_contact_at) <
                              PEER_CONTACT_MS + PEER_CONTACT_KEEP_MS;
        /* An owner that is no peer, as this entry itself, cannot be asked. */
        bool shown =
            peer == NULL || GfOwnerSilence_IsShown(&entry->silence, now);
        return shown && !reported_alive ? "it is silent" : NULL;
    }
    if (o->stopping) {
        return "it is stopping";
    }
    struct timespec since = o->store_unreachable_since;
    if (GfTime_Before(since, entry->store_returned_at)) {
        since = entry->store_returned_at;
    }
    if (o->store_unreachable && !entry->store_failed &&
        GfTime_DiffMs(now, since) > STORE_UNREACHABLE_MS) {
        return "it is without the store";
    }
    return NULL;
}

/* Sends a heartbeat to the owner. If the owner is unknown or out of contact
 * for two intervals, another peer gets one too, and if it is unknown also a
 * seed, each in turn: they may know a newer owner. */
static void
send_heartbeats(GfCellEntry *entry, struct timespec now)
{
    if (GfTime_Before(now, entry->next_heartbeat_at)) {
        return;
    }
    entry->next_heartbeat_at = GfTime_AddMs(now, HEARTBEAT_INTERVAL_MS);
    Peer *owner = EntryOwnership_OwnerPeer(entry);
    if (owner != NULL && !owner->heartbeat_open) {
        EntryMembers_SendHeartbeat(entry, owner);
        if (owner->heartbeat_open) {
            GfOwnerSilence_RecordAsked(&entry->silence, now);
        }
    }
    bool no_contact =
        owner == NULL || GfTime_DiffMs(now, entry->owner.last_contact_at) >
                             HEARTBEAT_INTERVAL_MS * 2;
    if (!no_contact) {
        return;
    }
    size_t count = HASH_COUNT(entry->peers);
    size_t at = count == 0 ? 0 : entry->next_peer++ % count;
    for (Peer *p = entry->peers; p != NULL; p = p->hh.next) {
        if (at-- == 0 && p != owner) {
            EntryMembers_SendHeartbeat(entry, p);
        }
    }
    if (entry->settings->seed_count > 0 && owner == NULL) {
        const GfEndpoint *seed =
            &entry->settings->seed_endpoints[entry->next_seed++ %
                                             entry->settings->seed_count];
        GfName name = GfName_Format("seed-%s:%u", seed->address, seed->port);
        if (strcmp(seed->address,
                   entry->settings->peer_advertised_endpoint.address) != 0 ||
            seed->port != entry->settings->peer_advertised_endpoint.port) {
            Peer *p = EntryMembers_FindOrCreate(entry, &name, seed->address,
                                                (uint16_t)seed->port, 0);
            EntryMembers_SendHeartbeat(entry, p);
        }
    }
}

/* Checks the owner and claims the cell once the owner has failed and the
 * delay of the takeover order has passed. The owner itself only updates its
 * own last contact. */
void
EntryOwnership_Tick(GfCellEntry *entry, struct timespec now)
{
    if (entry->term != NULL) {
        entry->owner.last_contact_at = now;
        return;
    }
    GfOwnerSilence_SetContact(&entry->silence, entry->owner.last_contact_at);
    send_heartbeats(entry, now);
    if (entry->owner.token > 0 &&
        GfOwnerSilence_NeedsAnswer(&entry->silence, now)) {
        EntryStore_Check(entry);
    }
    const char *reason = replacement_reason(entry, now);
    if (reason == NULL) {
        entry->claim_scheduled = false;
        return;
    }
    if (entry->stopping || entry->claiming || entry->reading_owner_row) {
        return;
    }
    if (!entry->claim_scheduled) {
        if (GfTime_Before(now, entry->claim_at)) {
            return;
        }
        if (!entry->owner_row_known) {
            entry->claim_at = GfTime_AddMs(now, CLAIM_PAUSE_MS);
            entry->reading_owner_row = true;
            GfTable_Read(entry->table, ENTRY_CELL_TABLE, ENTRY_OWNER_PART,
                         ENTRY_OWNER_KEY, on_owner_row, entry);
            return;
        }
        schedule_claim(entry, reason);
    }
    if (!GfTime_Before(now, entry->claim_at)) {
        GfLog(GF_LOG_INFO, PART,
              "claiming the cell from=%s token=%lld cause=%s",
              entry->owner.name.data, (long long)entry->owner.token, reason);
        claim(entry);
    }
}
