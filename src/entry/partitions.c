#include <assert.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "entry_private.h"
#include "guavaflow/log.h"
#include "guavaflow/metrics.h"

#define PART "partitions"
#define GROUP_MS 15
#define COMPACT_SEGMENTS 256
#define ALIVE_MS 5000
#define ALIVE_MARGIN_MS 500
#define UNOWNED_MS 4000
#define OWNER_HEARD_MS 3000
#define IDEM_KEEP_MS (24LL * 3600 * 1000)
#define ROW_FORGET_MS 60000

/* Returns the key of a member's row. */
static GfName
row_key(const GfName *member)
{
    return GfName_Format("member/%s", member->data);
}

/* Hands a record of a journal to the tables that keep it. */
static void
on_replay(void *ctx, const json_t *record)
{
    EntryPartition *p = ctx;
    GfIdem_Replay(p->idem, record);
    GfJobTracker_ReplayRecord(p->entry->job_tracker, record);
}

/* Opens, closes or clears what depends on the journal's state. */
static void
on_changed(void *ctx, GfJournalState state)
{
    EntryPartition *p = ctx;
    GfEntry *entry = p->entry;
    if (state == GF_JOURNAL_OWNED) {
        uint64_t epoch = GfJournal_Epoch(p->journal);
        GfJobTracker_OpenPartition(entry->job_tracker, p->number, epoch);
        EntryPartitions_NoteOwner(entry, p->number, epoch, &entry->member);
        GfLog(GF_LOG_INFO, PART,
              "Partition %" PRIu32 " is owned in epoch %" PRIu64 ".",
              p->number, epoch);
        return;
    }
    GfJobTracker_ClosePartition(entry->job_tracker, p->number);
    GfIdem_Clear(p->idem);
    if (state == GF_JOURNAL_UNOWNED || state == GF_JOURNAL_RELEASED) {
        if (Entry_IsSelf(entry, &p->owner)) {
            memset(&p->owner, 0, sizeof(p->owner));
        }
        EntryIdem_Lost(entry, p->number);
    }
}

/* Returns the records that stand for a partition's tables. */
static json_t *
on_snapshot(void *ctx)
{
    EntryPartition *p = ctx;
    json_t *records = json_array();
    GfJobTracker_Snapshot(p->entry->job_tracker, p->number, records);
    GfIdem_Snapshot(p->idem, records, GfTime_WallMs() - IDEM_KEEP_MS);
    return records;
}

static const GfJournalOps JOURNAL_OPS = {
    .replay = on_replay, .changed = on_changed, .snapshot = on_snapshot};

/* Creates the journals of all partitions; none is owned yet. */
void
EntryPartitions_Create(GfEntry *entry)
{
    for (uint32_t i = 0; i < entry->settings->partitions; i++) {
        EntryPartition *p = &entry->partitions[i];
        GfJournalConfig config = {.partition = i,
                                  .member = entry->member,
                                  .incarnation = entry->incarnation,
                                  .group_ms = GROUP_MS,
                                  .compact_segments = COMPACT_SEGMENTS};
        p->entry = entry;
        p->number = i;
        p->idem = GfIdem_Create();
        p->journal = GfJournal_Create(&config, entry->store, &JOURNAL_OPS, p);
    }
}

/* Frees the journals. */
void
EntryPartitions_Destroy(GfEntry *entry)
{
    for (uint32_t i = 0; i < entry->settings->partitions; i++) {
        GfJournal_Destroy(entry->partitions[i].journal);
        GfIdem_Destroy(entry->partitions[i].idem);
    }
}

/* Returns the partition of an id. */
uint32_t
EntryPartitions_Of(const GfEntry *entry, const GfName *id)
{
    return (uint32_t)(GfName_Hash(id, 0) % entry->settings->partitions);
}

/* Notes who says to own a partition; the highest epoch counts. */
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
        p->owner_heard = Entry_Now(entry);
    }
}

/* Finds the owner of a partition. Returns false if none is known. */
bool
EntryPartitions_Owner(const GfEntry *entry, uint32_t partition, GfName *owner)
{
    const EntryPartition *p = &entry->partitions[partition];
    if (GfJournal_State(p->journal) == GF_JOURNAL_OWNED) {
        *owner = entry->member;
        return true;
    }
    if (p->owner.len == 0 || Entry_IsSelf(entry, &p->owner) ||
        GfTime_DiffMs(Entry_Now(entry), p->owner_heard) > OWNER_HEARD_MS) {
        return false;
    }
    *owner = p->owner;
    return true;
}

/* Tells whether no other entry can have claimed a partition: either this
 * entry's row was renewed lately, or the store is away for every member and
 * each of them, heard directly, says so. */
bool
EntryPartitions_MayPlace(const GfEntry *entry, uint32_t partition)
{
    const EntryPartition *p = &entry->partitions[partition];
    struct timespec now = Entry_Now(entry);
    if (GfJournal_State(p->journal) != GF_JOURNAL_OWNED) {
        return false;
    }
    if (GfTime_Before(now, entry->alive_until)) {
        return true;
    }
    if (Entry_HasStore(entry) ||
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

/* Gives up the partitions that other entries claimed while this entry's row
 * was not its own. After that this entry may act again. */
static void
on_verified(void *arg, GfErrorKind kind, const GfRow *rows, size_t count)
{
    GfEntry *entry = arg;
    entry->own_row_busy = false;
    if (kind != GF_OK) {
        return;
    }
    for (uint32_t i = 0; i < entry->settings->partitions; i++) {
        GfJournal *journal = entry->partitions[i].journal;
        GfName key = GfJournal_HeadKey(i);
        bool own = false;
        for (size_t k = 0; k < count; k++) {
            own = own || (GfName_Equal(&rows[k].key, &key) &&
                          GfJournal_IsHeadOwn(journal, rows[k].value));
        }
        if (!own && GfJournal_State(journal) == GF_JOURNAL_OWNED) {
            GfJournal_Lose(journal);
        }
    }
    entry->own_row_doubted = false;
    entry->alive_until = GfTime_AddMs(entry->own_row_sent, ALIVE_MS);
}

/* Stops acting for partitions until this entry's row is written anew and the
 * heads have been looked at. */
static void
doubt_own_row(GfEntry *entry)
{
    entry->own_row_doubted = true;
    if (entry->alive_until.tv_sec != 0) {
        entry->alive_until = (struct timespec){.tv_sec = 1};
    }
}

/* Handles the outcome of a renewal of this entry's row. */
static void
on_row_written(void *arg, const GfTxnOutcome *outcome)
{
    GfEntry *entry = arg;
    entry->own_row_busy = false;
    if (outcome->state == GF_TXN_CONFLICT) {
        doubt_own_row(entry);
        return;
    }
    if (outcome->state != GF_TXN_COMMITTED) {
        return;
    }
    entry->own_row_version = outcome->version;
    entry->store_heard = Entry_Now(entry);
    if (entry->own_row_doubted) {
        entry->own_row_busy = true;
        GfStore_Read(entry->store, "part/", on_verified, entry);
        return;
    }
    entry->alive_until = GfTime_AddMs(entry->own_row_sent, ALIVE_MS);
}

/* Renews this entry's row in the store. The check on its last version lets a
 * newer process of the same name put an end to this one's renewals. */
static void
write_row(GfEntry *entry)
{
    if (entry->own_row_busy || entry->stopping) {
        return;
    }
    const GfSettings *s = entry->settings;
    const GfEndpoint *peer =
        s->peer_advertised.address != NULL ? &s->peer_advertised : &s->peer;
    GfName key = row_key(&entry->member);
    GfTxn *txn = GfTxn_Create();
    GfTxn_Check(txn, &key, entry->own_row_version);
    GfTxn_Put(txn, &key,
              json_pack("{s:s,s:i,s:i,s:s,s:I}", "address", peer->address,
                        "port", (int)peer->port, "caller_port",
                        (int)s->caller.port, "domain", s->failure_domain,
                        "incarnation", (json_int_t)(entry->incarnation >> 2)));
    entry->own_row_busy = true;
    entry->own_row_sent = Entry_Now(entry);
    GfMetrics_Add(GF_METRIC_STORE_COMMITS, 1);
    GfStore_Commit(entry->store, txn, on_row_written, entry);
    GfTxn_Destroy(txn);
}

/* Finds the record of a member's row, or adds it. */
static EntryMemberRow *
get_row(GfEntry *entry, const GfName *name)
{
    for (size_t i = 0; i < entry->row_count; i++) {
        if (GfName_Equal(&entry->rows[i].name, name)) {
            return &entry->rows[i];
        }
    }
    size_t bytes = (entry->row_count + 1) * sizeof(*entry->rows);
    EntryMemberRow *grown = realloc(entry->rows, bytes);
    if (grown == NULL) {
        abort();
    }
    entry->rows = grown;
    EntryMemberRow *row = &grown[entry->row_count++];
    memset(row, 0, sizeof(*row));
    row->name = *name;
    return row;
}

/* Ignores the outcome of a removal: it is tried again if need be. */
static void
on_row_removed(void *arg, const GfTxnOutcome *outcome)
{
    (void)arg;
    (void)outcome;
}

/* Removes the row of a member that has been silent for long. */
static void
remove_row(GfEntry *entry, const GfRow *row)
{
    GfTxn *txn = GfTxn_Create();
    GfTxn_Check(txn, &row->key, row->version);
    GfTxn_Delete(txn, &row->key);
    GfStore_Commit(entry->store, txn, on_row_removed, NULL);
    GfTxn_Destroy(txn);
}

/* Takes this entry's own row as the store has it. If a newer process of the
 * same name wrote it, this one must not own anything. */
static void
take_own_row(GfEntry *entry, const GfRow *row)
{
    json_t *incarnation = json_object_get(row->value, "incarnation");
    bool own = json_integer_value(incarnation) ==
               (json_int_t)(entry->incarnation >> 2);
    if (entry->own_row_busy) {
        return;
    }
    if (!own && entry->alive_until.tv_sec != 0 && !entry->stopping) {
        GfLog(GF_LOG_ERROR, PART,
              "Another process has taken the name %s; this one stops.",
              entry->member.data);
        GfEntry_Stop(entry);
        return;
    }
    if (!own) {
        doubt_own_row(entry);
    }
    entry->own_row_version = row->version;
}

/* Takes another member's row. */
static void
take_row(GfEntry *entry, const GfName *name, const GfRow *row)
{
    struct timespec now = Entry_Now(entry);
    json_t *value = row->value;
    json_int_t incarnation =
        json_integer_value(json_object_get(value, "incarnation"));
    const char *address = json_string_value(json_object_get(value, "address"));
    json_int_t port = json_integer_value(json_object_get(value, "port"));
    json_int_t caller =
        json_integer_value(json_object_get(value, "caller_port"));
    EntryMemberRow *seen = get_row(entry, name);
    seen->listed = true;
    if (seen->version != row->version) {
        seen->version = row->version;
        seen->incarnation = incarnation;
        seen->seen_at = now;
    }
    if (address == NULL || port <= 0 || port > UINT16_MAX) {
        return;
    }
    const GfMember *m = GfMembers_Find(entry->members, name);
    bool in_contact = m != NULL && GfMembers_InContact(entry->members, m, now);
    if (!in_contact && GfTime_DiffMs(now, seen->seen_at) > ROW_FORGET_MS) {
        remove_row(entry, row);
        return;
    }
    GfMembers_List(entry->members, name, address, (uint16_t)port,
                   (uint16_t)caller, now);
}

/* Takes the rows of all members. */
static void
on_rows(void *arg, GfErrorKind kind, const GfRow *rows, size_t count)
{
    GfEntry *entry = arg;
    if (kind != GF_OK) {
        GfMetrics_Add(GF_METRIC_STORE_FAILURES, 1);
        return;
    }
    entry->store_heard = Entry_Now(entry);
    GfName own = row_key(&entry->member);
    bool found = false;
    for (size_t i = 0; i < entry->row_count; i++) {
        entry->rows[i].listed = false;
    }
    for (size_t i = 0; i < count; i++) {
        GfName name;
        if (GfName_Equal(&rows[i].key, &own)) {
            found = true;
            take_own_row(entry, &rows[i]);
        }
        else if (GfName_SetText(&name, rows[i].key.data + strlen("member/"))) {
            take_row(entry, &name, &rows[i]);
        }
    }
    if (!found && !entry->own_row_busy) {
        entry->own_row_version = 0;
        doubt_own_row(entry);
    }
    write_row(entry);
}

/* Finds the row that a process wrote, or NULL if there is none or another
 * process of the same name has replaced it. */
static const EntryMemberRow *
row_of(const GfEntry *entry, const GfName *owner, int64_t incarnation)
{
    for (size_t i = 0; i < entry->row_count; i++) {
        const EntryMemberRow *row = &entry->rows[i];
        if (GfName_Equal(&row->name, owner) &&
            row->incarnation == incarnation && row->listed) {
            return row;
        }
    }
    return NULL;
}

/* Tells whether this entry is the one that should own a partition. */
static bool
is_preferred(GfEntry *entry, uint32_t partition, struct timespec now)
{
    GfName owner;
    GfName key = GfJournal_HeadKey(partition);
    return !entry->stopping &&
           GfMembers_Owner(entry->members, &key, now, &owner) &&
           Entry_IsSelf(entry, &owner);
}

/* Claims a partition that is free: given back, or left by a process that can
 * not act any more. The process must have been seen without a sign of life
 * for the whole time for which its last renewal lets it act. */
static void
consider(GfEntry *entry, EntryPartition *p, int64_t version,
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
        p->suspect = false;
    }
    const EntryMemberRow *row = row_of(entry, &owner, incarnation);
    if (row != NULL) {
        p->suspect_since = row->seen_at;
        p->suspect = true;
    }
    else if (!p->suspect) {
        p->suspect_since = now;
        p->suspect = true;
    }
    int64_t waited = GfTime_DiffMs(now, p->suspect_since);
    bool given_back = owner.len == 0;
    bool over = given_back || waited > ALIVE_MS + ALIVE_MARGIN_MS;
    bool late = waited > ALIVE_MS + ALIVE_MARGIN_MS + UNOWNED_MS;
    if (over && !entry->stopping &&
        (is_preferred(entry, p->number, now) || late)) {
        GfRow owner_row = {.version = 0};
        if (row != NULL) {
            owner_row.key = row_key(&row->name);
            owner_row.version = row->version;
        }
        GfJournal_Claim(p->journal, version, head,
                        row == NULL ? NULL : &owner_row);
    }
}

/* Looks at the heads of all partitions. */
static void
on_heads(void *arg, GfErrorKind kind, const GfRow *rows, size_t count)
{
    GfEntry *entry = arg;
    if (kind != GF_OK ||
        !GfTime_Before(Entry_Now(entry), entry->alive_until)) {
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
        consider(entry, p, row == NULL ? 0 : row->version,
                 row == NULL ? NULL : row->value);
    }
}

/* Reads the members from the store and renews this entry's row; reads the
 * heads as well while some partition has no owner. */
void
EntryPartitions_Poll(GfEntry *entry)
{
    GfStore_Read(entry->store, "member/", on_rows, entry);
    GfName owner;
    for (uint32_t i = 0; i < entry->settings->partitions; i++) {
        if (!EntryPartitions_Owner(entry, i, &owner)) {
            GfStore_Read(entry->store, "part/", on_heads, entry);
            return;
        }
    }
}

/* Gives a partition to the entry that should own it, once that entry is in
 * contact, or to anyone when this one stops. */
static void
consider_release(GfEntry *entry, EntryPartition *p, struct timespec now)
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

/* Moves the journals on. */
void
EntryPartitions_Tick(GfEntry *entry)
{
    struct timespec now = Entry_Now(entry);
    size_t owned = 0;
    for (uint32_t i = 0; i < entry->settings->partitions; i++) {
        EntryPartition *p = &entry->partitions[i];
        consider_release(entry, p, now);
        GfJournal_Tick(p->journal, now);
        owned += GfJournal_State(p->journal) == GF_JOURNAL_OWNED;
    }
    GfMetrics_Set(GF_METRIC_PARTITIONS_OWNED, owned);
}

/* Tells whether no partition is owned here any more. */
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
