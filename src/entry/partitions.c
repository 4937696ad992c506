#include <assert.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "entry_private.h"
#include "guavaflow/log.h"
#include "guavaflow/metrics.h"

#define PART "partitions"
/* Least time between two commits of a journal; records that arrive meanwhile
 * share the next one. */
#define GROUP_COMMIT_MS 15
/* Segments of a journal after which a snapshot replaces them. */
#define COMPACT_SEGMENTS 256
/* A member may act for its partitions for this time after it sent the last
 * renewal of its member row that was committed. */
#define MEMBER_LEASE_MS 5000
/* Safety margin that other members add before they take over. */
#define MEMBER_LEASE_MARGIN_MS 500
/* Time for the preferred entry to claim a free partition; afterwards any entry
 * claims it. */
#define FALLBACK_CLAIM_MS 4000
/* An owner that has not reported itself for this time is not called. */
#define OWNER_CONTACT_MS 3000
/* Idempotency keys older than a day are dropped at compaction. */
#define KEY_RETENTION_MS (24LL * 3600 * 1000)
/* The row of a member out of contact is deleted after this time without a
 * renewal. */
#define STALE_ROW_MS 60000

/* Returns the key of a member's row in the store. */
static GfName
member_row_key(const GfName *member)
{
    return GfName_Format("member/%s", member->data);
}

/* Passes a replayed record to the idempotency table and the job tracker; each
 * ignores the other's records. */
static void
on_replay(void *ctx, const json_t *record)
{
    EntryPartition *p = ctx;
    GfIdem_Replay(p->idem, record);
    GfJobTracker_ReplayRecord(p->entry->job_tracker, record);
}

/* Follows the state of a partition's journal: opens the partition for jobs
 * once it is owned. In every other state its tables are cleared, so that a
 * replay starts with empty ones. */
static void
on_state_changed(void *ctx, GfJournalState state)
{
    EntryPartition *p = ctx;
    GfEntry *entry = p->entry;
    if (state == GF_JOURNAL_OWNED) {
        uint64_t epoch = GfJournal_Epoch(p->journal);
        GfJobTracker_OpenPartition(entry->job_tracker, p->number, epoch);
        EntryPartitions_NoteOwner(entry, p->number, epoch, &entry->member);
        GfLog(GF_LOG_INFO, PART,
              "partition ownership taken partition=%" PRIu32 " epoch=%" PRIu64,
              p->number, epoch);
        return;
    }
    GfJobTracker_ClosePartition(entry->job_tracker, p->number);
    GfIdem_Clear(p->idem);
    if (state == GF_JOURNAL_UNOWNED || state == GF_JOURNAL_RELEASED) {
        if (Entry_IsSelf(entry, &p->owner)) {
            memset(&p->owner, 0, sizeof(p->owner));
        }
        EntryIdem_DetachPartition(entry, p->number);
    }
}

/* Returns a new array of the records from which the partition's tables can be
 * rebuilt. The journal, which calls this, owns it. */
static json_t *
make_snapshot(void *ctx)
{
    EntryPartition *p = ctx;
    json_t *records = json_array();
    GfJobTracker_Snapshot(p->entry->job_tracker, p->number, records);
    GfIdem_Snapshot(p->idem, records, GfTime_WallMs() - KEY_RETENTION_MS);
    return records;
}

static const GfJournalOps JOURNAL_OPS = {.replay = on_replay,
                                         .state_changed = on_state_changed,
                                         .make_snapshot = make_snapshot};

/* Creates the journals and tables of all partitions; none is owned yet. */
void
EntryPartitions_Create(GfEntry *entry)
{
    for (uint32_t i = 0; i < entry->settings->partitions; i++) {
        EntryPartition *p = &entry->partitions[i];
        GfJournalConfig config = {.partition = i,
                                  .member = entry->member,
                                  .incarnation = entry->incarnation,
                                  .group_commit_ms = GROUP_COMMIT_MS,
                                  .compact_after_segments = COMPACT_SEGMENTS};
        p->entry = entry;
        p->number = i;
        p->idem = GfIdem_Create();
        p->journal = GfJournal_Create(&config, entry->store, &JOURNAL_OPS, p);
    }
}

/* Frees the journals and tables of all partitions. */
void
EntryPartitions_Destroy(GfEntry *entry)
{
    for (uint32_t i = 0; i < entry->settings->partitions; i++) {
        GfJournal_Destroy(entry->partitions[i].journal);
        GfIdem_Destroy(entry->partitions[i].idem);
    }
}

/* Returns the partition of an id, by its hash. */
uint32_t
EntryPartitions_ForId(const GfEntry *entry, const GfName *id)
{
    return (uint32_t)(GfName_Hash(id, 0) % entry->settings->partitions);
}

/* Stores that an entry reported to own a partition in an epoch. A report of a
 * lower epoch than known is ignored: that owner has been replaced. A report of
 * an unknown partition is ignored too. */
void
EntryPartitions_NoteOwner(GfEntry *entry, uint32_t partition, uint64_t epoch,
                          const GfName *owner)
{
    if (partition >= entry->settings->partitions) {
        return;
    }
    EntryPartition *p = &entry->partitions[partition];
    if (epoch >= p->owner_epoch) {
        p->owner = *owner;
        p->owner_epoch = epoch;
        p->owner_contact = Entry_Now(entry);
    }
}

/* Sets *owner to the owner of a partition. Returns false if none is known or
 * it has not reported itself in the last OWNER_CONTACT_MS. */
bool
EntryPartitions_FindOwner(const GfEntry *entry, uint32_t partition,
                          GfName *owner)
{
    const EntryPartition *p = &entry->partitions[partition];
    if (GfJournal_State(p->journal) == GF_JOURNAL_OWNED) {
        *owner = entry->member;
        return true;
    }
    if (p->owner.len == 0 || Entry_IsSelf(entry, &p->owner) ||
        GfTime_DiffMs(Entry_Now(entry), p->owner_contact) > OWNER_CONTACT_MS) {
        return false;
    }
    *owner = p->owner;
    return true;
}

/* Returns whether this entry owns a partition and no other entry can have
 * claimed it. That is so while the member lease holds. It is also so if no
 * member can reach the store, without which none can claim: this entry cannot,
 * and every other known member is in contact and reports that it cannot. */
bool
EntryPartitions_MayPlace(const GfEntry *entry, uint32_t partition)
{
    const EntryPartition *p = &entry->partitions[partition];
    struct timespec now = Entry_Now(entry);
    if (GfJournal_State(p->journal) != GF_JOURNAL_OWNED) {
        return false;
    }
    if (GfTime_Before(now, entry->member_lease_until)) {
        return true;
    }
    if (Entry_StoreIsReachable(entry) ||
        p->owner_epoch > GfJournal_Epoch(p->journal)) {
        return false;
    }
    for (size_t i = 0; i < GfMembers_Count(entry->members); i++) {
        const GfMember *m = GfMembers_At(entry->members, i);
        if (m->has_store || !GfMembers_InContact(entry->members, m, now)) {
            return false;
        }
    }
    return true;
}

/* Compares the partition heads with what this entry owned before its member
 * row was lost: partitions claimed by others are given up. Then the member
 * lease is valid again. */
static void
on_heads_verified(void *arg, GfErrorKind kind, const GfRow *rows, size_t count)
{
    GfEntry *entry = arg;
    entry->own_row_pending = false;
    if (kind != GF_OK) {
        return;
    }
    for (uint32_t i = 0; i < entry->settings->partitions; i++) {
        GfJournal *journal = entry->partitions[i].journal;
        GfName key = GfJournal_HeadKey(i);
        bool own = false;
        for (size_t k = 0; k < count; k++) {
            own = own || (GfName_Equal(&rows[k].key, &key) &&
                          GfJournal_OwnsHead(journal, rows[k].value));
        }
        if (!own && GfJournal_State(journal) == GF_JOURNAL_OWNED) {
            GfJournal_LoseOwnership(journal);
        }
    }
    entry->own_row_unconfirmed = false;
    entry->member_lease_until =
        GfTime_AddMs(entry->own_row_sent_at, MEMBER_LEASE_MS);
}

/* Ends the member lease until this entry's row is written again and the
 * partition heads are checked, as others may have claimed partitions
 * meanwhile. A lease that was held before is set to a time in the past but not
 * to zero, which means that it was never held. */
static void
mark_own_row_unconfirmed(GfEntry *entry)
{
    entry->own_row_unconfirmed = true;
    if (entry->member_lease_until.tv_sec != 0) {
        entry->member_lease_until = (struct timespec){.tv_sec = 1};
    }
}

/* Handles the outcome of a renewal of this entry's row. The lease runs from
 * when the renewal was sent, as others may see it from then on. */
static void
on_row_written(void *arg, const GfTxnOutcome *outcome)
{
    GfEntry *entry = arg;
    entry->own_row_pending = false;
    if (outcome->state == GF_TXN_CONFLICT) {
        mark_own_row_unconfirmed(entry);
        return;
    }
    if (outcome->state != GF_TXN_COMMITTED) {
        return;
    }
    entry->own_row_version = outcome->version;
    entry->store_contact = Entry_Now(entry);
    if (entry->own_row_unconfirmed) {
        entry->own_row_pending = true;
        GfStore_Read(entry->store, "part/", on_heads_verified, entry);
        return;
    }
    entry->member_lease_until =
        GfTime_AddMs(entry->own_row_sent_at, MEMBER_LEASE_MS);
}

/* Renews this entry's row in the store, unless a renewal is in progress. The
 * renewal conflicts if the row has changed: an entry that claimed a partition
 * of this one deletes the row, and a newer process of the same name replaces
 * it. */
static void
renew_own_row(GfEntry *entry)
{
    if (entry->own_row_pending || entry->stopping) {
        return;
    }
    const GfSettings *s = entry->settings;
    const GfEndpoint *peer =
        s->peer_advertised.address != NULL ? &s->peer_advertised : &s->peer;
    GfName key = member_row_key(&entry->member);
    GfTxn *txn = GfTxn_Create();
    GfTxn_Check(txn, &key, entry->own_row_version);
    GfTxn_Put(txn, &key,
              json_pack("{s:s,s:i,s:i,s:s,s:I}", "address", peer->address,
                        "port", (int)peer->port, "caller_port",
                        (int)s->caller.port, "domain", s->failure_domain,
                        "incarnation", (json_int_t)(entry->incarnation >> 2)));
    entry->own_row_pending = true;
    entry->own_row_sent_at = Entry_Now(entry);
    GfMetrics_Add(GF_METRIC_STORE_COMMITS, 1);
    GfStore_Commit(entry->store, txn, on_row_written, entry);
    GfTxn_Destroy(txn);
}

/* Returns the record of a member's row, adding one with only the name set if
 * there is none. The pointer is valid until the next call. */
static EntryMemberRow *
get_member_row(GfEntry *entry, const GfName *name)
{
    for (size_t i = 0; i < entry->member_row_count; i++) {
        if (GfName_Equal(&entry->member_rows[i].name, name)) {
            return &entry->member_rows[i];
        }
    }
    size_t bytes = (entry->member_row_count + 1) * sizeof(*entry->member_rows);
    EntryMemberRow *grown = realloc(entry->member_rows, bytes);
    if (grown == NULL) {
        abort();
    }
    entry->member_rows = grown;
    EntryMemberRow *row = &grown[entry->member_row_count++];
    memset(row, 0, sizeof(*row));
    row->name = *name;
    return row;
}

/* Ignores the outcome of a deletion; it is tried again with the next read. */
static void
ignore_removal(void *arg, const GfTxnOutcome *outcome)
{
    (void)arg;
    (void)outcome;
}

/* Deletes the row of a member that has not renewed it for long, unless it has
 * been renewed since the read. */
static void
remove_stale_row(GfEntry *entry, const GfRow *row)
{
    GfTxn *txn = GfTxn_Create();
    GfTxn_Check(txn, &row->key, row->version);
    GfTxn_Delete(txn, &row->key);
    GfStore_Commit(entry->store, txn, ignore_removal, NULL);
    GfTxn_Destroy(txn);
}

/* Compares this entry's row in the store with this process. If another process
 * of the same name wrote it after this one held the lease, this one stops. At
 * the start, the row is that of the predecessor and is replaced. */
static void
check_own_row(GfEntry *entry, const GfRow *row)
{
    json_t *incarnation = json_object_get(row->value, "incarnation");
    bool own = json_integer_value(incarnation) ==
               (json_int_t)(entry->incarnation >> 2);
    if (entry->own_row_pending) {
        return;
    }
    if (!own && entry->member_lease_until.tv_sec != 0 && !entry->stopping) {
        GfLog(GF_LOG_ERROR, PART,
              "member name taken by another process, stopping member=%s",
              entry->member.data);
        GfEntry_Stop(entry);
        return;
    }
    if (!own) {
        mark_own_row_unconfirmed(entry);
    }
    entry->own_row_version = row->version;
}

/* Applies another member's row: the time of its last renewal and its address.
 * Deletes the row of a member that is out of contact and has not renewed it
 * for STALE_ROW_MS. */
static void
update_member_row(GfEntry *entry, const GfName *name, const GfRow *row)
{
    struct timespec now = Entry_Now(entry);
    json_t *value = row->value;
    json_int_t incarnation =
        json_integer_value(json_object_get(value, "incarnation"));
    const char *address = json_string_value(json_object_get(value, "address"));
    json_int_t port = json_integer_value(json_object_get(value, "port"));
    json_int_t caller =
        json_integer_value(json_object_get(value, "caller_port"));
    EntryMemberRow *seen = get_member_row(entry, name);
    seen->listed = true;
    if (seen->version != row->version) {
        seen->version = row->version;
        seen->incarnation = incarnation;
        seen->changed_at = now;
    }
    if (address == NULL || port <= 0 || port > UINT16_MAX) {
        return;
    }
    const GfMember *m = GfMembers_Find(entry->members, name);
    bool in_contact = m != NULL && GfMembers_InContact(entry->members, m, now);
    if (!in_contact && GfTime_DiffMs(now, seen->changed_at) > STALE_ROW_MS) {
        remove_stale_row(entry, row);
        return;
    }
    GfMembers_Add(entry->members, name, address, (uint16_t)port,
                  (uint16_t)caller, now);
}

/* Applies the rows of all members and renews the row of this entry. A missing
 * own row is written anew. */
static void
on_member_rows(void *arg, GfErrorKind kind, const GfRow *rows, size_t count)
{
    GfEntry *entry = arg;
    if (kind != GF_OK) {
        GfMetrics_Add(GF_METRIC_STORE_FAILURES, 1);
        return;
    }
    entry->store_contact = Entry_Now(entry);
    GfName own = member_row_key(&entry->member);
    bool found = false;
    for (size_t i = 0; i < entry->member_row_count; i++) {
        entry->member_rows[i].listed = false;
    }
    for (size_t i = 0; i < count; i++) {
        GfName name;
        if (GfName_Equal(&rows[i].key, &own)) {
            found = true;
            check_own_row(entry, &rows[i]);
        }
        else if (GfName_SetText(&name, rows[i].key.data + strlen("member/"))) {
            update_member_row(entry, &name, &rows[i]);
        }
    }
    if (!found && !entry->own_row_pending) {
        entry->own_row_version = 0;
        mark_own_row_unconfirmed(entry);
    }
    renew_own_row(entry);
}

/* Returns the row that a process wrote, or NULL if the row is missing or
 * another process of the same name wrote it. */
static const EntryMemberRow *
find_process_row(const GfEntry *entry, const GfName *owner,
                 int64_t incarnation)
{
    for (size_t i = 0; i < entry->member_row_count; i++) {
        const EntryMemberRow *row = &entry->member_rows[i];
        if (GfName_Equal(&row->name, owner) &&
            row->incarnation == incarnation && row->listed) {
            return row;
        }
    }
    return NULL;
}

/* Returns whether rendezvous hashing chooses this entry as the owner of a
 * partition, among the members in contact. */
static bool
is_preferred(GfEntry *entry, uint32_t partition, struct timespec now)
{
    GfName owner;
    GfName key = GfJournal_HeadKey(partition);
    return !entry->stopping &&
           GfMembers_Owner(entry->members, &key, now, &owner) &&
           Entry_IsSelf(entry, &owner);
}

/* Claims a partition that was released, or whose owner can no longer act: for
 * the length of a member lease and a margin, this entry has seen no renewal by
 * the process that the head names. Unless this entry is the preferred owner,
 * it waits FALLBACK_CLAIM_MS longer. version and head are the version and the
 * value of the head row as read, 0 and NULL if it is missing. */
static void
claim_if_free(GfEntry *entry, EntryPartition *p, int64_t version,
              const json_t *head)
{
    struct timespec now = Entry_Now(entry);
    GfName owner = {0};
    GfName_SetText(&owner, json_string_value(json_object_get(head, "owner")));
    int64_t incarnation =
        json_integer_value(json_object_get(head, "incarnation"));
    bool same = GfName_Equal(&owner, &p->head_owner) &&
                incarnation == p->head_incarnation;
    if (!same) {
        p->head_owner = owner;
        p->head_incarnation = incarnation;
        p->silent_since_set = false;
    }
    const EntryMemberRow *row = find_process_row(entry, &owner, incarnation);
    if (row != NULL) {
        p->silent_since = row->changed_at;
        p->silent_since_set = true;
    }
    else if (!p->silent_since_set) {
        p->silent_since = now;
        p->silent_since_set = true;
    }
    int64_t waited = GfTime_DiffMs(now, p->silent_since);
    bool released = owner.len == 0;
    bool lease_over =
        released || waited > MEMBER_LEASE_MS + MEMBER_LEASE_MARGIN_MS;
    bool fallback =
        waited > MEMBER_LEASE_MS + MEMBER_LEASE_MARGIN_MS + FALLBACK_CLAIM_MS;
    if (lease_over && !entry->stopping &&
        (is_preferred(entry, p->number, now) || fallback)) {
        GfRow owner_row = {.version = 0};
        if (row != NULL) {
            owner_row.key = member_row_key(&row->name);
            owner_row.version = row->version;
        }
        GfJournal_Claim(p->journal, version, head,
                        row == NULL ? NULL : &owner_row);
    }
}

/* Claims free partitions, given the heads of all, if this entry holds the
 * member lease. */
static void
on_heads(void *arg, GfErrorKind kind, const GfRow *rows, size_t count)
{
    GfEntry *entry = arg;
    if (kind != GF_OK ||
        !GfTime_Before(Entry_Now(entry), entry->member_lease_until)) {
        return;
    }
    for (uint32_t i = 0; i < entry->settings->partitions; i++) {
        EntryPartition *p = &entry->partitions[i];
        GfJournalState state = GfJournal_State(p->journal);
        if (state != GF_JOURNAL_UNOWNED && state != GF_JOURNAL_RELEASED) {
            continue;
        }
        GfName key = GfJournal_HeadKey(i);
        const GfRow *row = NULL;
        for (size_t k = 0; k < count; k++) {
            if (GfName_Equal(&rows[k].key, &key)) {
                row = &rows[k];
            }
        }
        claim_if_free(entry, p, row == NULL ? 0 : row->version,
                      row == NULL ? NULL : row->value);
    }
}

/* Reads the member rows from the store and renews this entry's row. While some
 * partition has no known owner, the partition heads are read as well. */
void
EntryPartitions_Poll(GfEntry *entry)
{
    GfStore_Read(entry->store, "member/", on_member_rows, entry);
    GfName owner;
    for (uint32_t i = 0; i < entry->settings->partitions; i++) {
        if (!EntryPartitions_FindOwner(entry, i, &owner)) {
            GfStore_Read(entry->store, "part/", on_heads, entry);
            return;
        }
    }
}

/* Releases a partition that another member in contact should own, or any if
 * this entry is stopping. */
static void
release_if_not_preferred(GfEntry *entry, EntryPartition *p,
                         struct timespec now)
{
    GfName owner;
    GfName key = GfJournal_HeadKey(p->number);
    if (entry->stopping) {
        GfJournal_Release(p->journal);
        return;
    }
    if (GfJournal_State(p->journal) == GF_JOURNAL_OWNED &&
        GfMembers_Owner(entry->members, &key, now, &owner) &&
        !Entry_IsSelf(entry, &owner)) {
        GfJournal_Release(p->journal);
    }
}

/* Advances the journals of all partitions and updates the metric of those
 * owned. */
void
EntryPartitions_Tick(GfEntry *entry)
{
    struct timespec now = Entry_Now(entry);
    size_t owned = 0;
    for (uint32_t i = 0; i < entry->settings->partitions; i++) {
        EntryPartition *p = &entry->partitions[i];
        release_if_not_preferred(entry, p, now);
        GfJournal_Tick(p->journal, now);
        owned += GfJournal_State(p->journal) == GF_JOURNAL_OWNED;
    }
    GfMetrics_Set(GF_METRIC_PARTITIONS_OWNED, owned);
}

/* Returns whether no partition is owned, being claimed or being loaded by this
 * entry. */
bool
EntryPartitions_AreReleased(const GfEntry *entry)
{
    for (uint32_t i = 0; i < entry->settings->partitions; i++) {
        GfJournalState state = GfJournal_State(entry->partitions[i].journal);
        if (state != GF_JOURNAL_UNOWNED && state != GF_JOURNAL_RELEASED) {
            return false;
        }
    }
    return true;
}
