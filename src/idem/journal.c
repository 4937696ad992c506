#include "guavaflow/journal.h"

#include <assert.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>
#include <utlist.h>

#include "guavaflow/log.h"

#define PART "journal"
#define RESEND_MS 100
#define MAX_GROUP_RECORDS 2000

typedef struct Entry {
    json_t *record;
    GfAppendCallback callback;
    void *arg;
    struct Entry *next;
    struct Entry *prev;
} Entry;

/* What the transaction under way is for. */
typedef enum { FOR_CLAIM, FOR_APPEND, FOR_COMPACTION, FOR_RELEASE } Purpose;

struct GfJournal {
    GfJournalConfig config;
    GfStore *store;
    const GfJournalOps *ops;
    void *ctx;
    GfJournalState state;
    int64_t head_version;
    uint64_t epoch;
    uint64_t seq;
    uint64_t base_seq;
    GfName snapshot;
    Entry *queue;
    size_t queued;
    Entry *sent;
    GfTxn *txn;
    Purpose purpose;
    uint64_t nonce;
    bool busy;
    bool releasing;
    struct timespec now;
    struct timespec next_try;
    struct timespec oldest;
    uint64_t commits;
};

static const char *const STATE_NAMES[GF_JOURNAL_STATES] = {
    "unowned", "claiming", "loading", "owned", "released"};

/* Returns the state's name. */
const char *
GfJournal_StateName(GfJournalState state)
{
    assert(state < GF_JOURNAL_STATES);
    return STATE_NAMES[state];
}

/* Returns the key of a partition's head row. */
GfName
GfJournal_HeadKey(uint32_t partition)
{
    return GfName_Format("part/%03" PRIu32, partition);
}

/* Returns the key of a segment's row. */
static GfName
segment_key(const GfJournal *j, uint64_t seq)
{
    return GfName_Format("seg/%03" PRIu32 "/%012" PRIu64, j->config.partition,
                         seq);
}

/* Creates the journal of a partition that this entry does not own. */
GfJournal *
GfJournal_Create(const GfJournalConfig *config, GfStore *store,
                 const GfJournalOps *ops, void *ctx)
{
    assert(config != NULL && store != NULL && ops != NULL);
    GfJournal *j = calloc(1, sizeof(*j));
    if (j == NULL) {
        abort();
    }
    j->config = *config;
    j->store = store;
    j->ops = ops;
    j->ctx = ctx;
    return j;
}

/* Ends the records of a list with the given outcome. */
static void
end_entries(Entry **list, GfErrorKind kind)
{
    Entry *all = *list;
    Entry *e;
    Entry *tmp;
    *list = NULL;
    DL_FOREACH_SAFE(all, e, tmp)
    {
        DL_DELETE(all, e);
        json_decref(e->record);
        if (e->callback != NULL) {
            e->callback(e->arg, kind);
        }
        free(e);
    }
}

/* Frees the journal. Records not yet durable get no callback. */
void
GfJournal_Destroy(GfJournal *journal)
{
    if (journal == NULL) {
        return;
    }
    Entry *lists[] = {journal->queue, journal->sent};
    for (int i = 0; i < 2; i++) {
        Entry *e;
        Entry *tmp;
        DL_FOREACH_SAFE(lists[i], e, tmp)
        {
            json_decref(e->record);
            free(e);
        }
    }
    GfTxn_Destroy(journal->txn);
    free(journal);
}

/* Changes the state and tells the owner of the journal. */
static void
set_state(GfJournal *j, GfJournalState state)
{
    j->state = state;
    j->ops->changed(j->ctx, state);
}

/* Gives the partition up because another entry has claimed it: nothing that
 * is not yet durable will be. */
void
GfJournal_Lose(GfJournal *journal)
{
    GfJournal *j = journal;
    GfLog(GF_LOG_WARNING, PART, "Partition %" PRIu32 " has another owner.",
          j->config.partition);
    GfTxn_Destroy(j->txn);
    j->txn = NULL;
    j->busy = false;
    set_state(j, GF_JOURNAL_UNOWNED);
    end_entries(&j->sent, GF_LEASE_LOST);
    end_entries(&j->queue, GF_LEASE_LOST);
    j->queued = 0;
}

/* Returns the head row as it will be after the next commit. */
static json_t *
head_value(GfJournal *j, bool owned, uint64_t seq)
{
    randombytes_buf(&j->nonce, sizeof(j->nonce));
    j->nonce >>= 2;
    return json_pack("{s:s,s:I,s:I,s:I,s:I,s:I,s:s}", "owner",
                     owned ? j->config.member.data : "", "incarnation",
                     (json_int_t)(j->config.incarnation >> 2), "epoch",
                     (json_int_t)j->epoch, "seq", (json_int_t)seq, "base",
                     (json_int_t)j->base_seq, "nonce", (json_int_t)j->nonce,
                     "snapshot", j->snapshot.data);
}

/* Tells whether a head row is the one that this journal wrote last. */
static bool
is_mine(const GfJournal *j, const json_t *head)
{
    json_t *nonce = json_object_get(head, "nonce");
    return json_is_integer(nonce) &&
           (uint64_t)json_integer_value(nonce) == j->nonce;
}

/* Replays the rows of the segments that the head covers. */
static void
on_segments(void *arg, GfErrorKind kind, const GfRow *rows, size_t count)
{
    GfJournal *j = arg;
    if (j->state != GF_JOURNAL_LOADING) {
        return;
    }
    j->busy = false;
    if (kind != GF_OK) {
        j->next_try = GfTime_AddMs(j->now, RESEND_MS);
        return;
    }
    GfName last = segment_key(j, j->seq);
    GfName first = segment_key(j, j->base_seq);
    for (size_t i = 0; i < count; i++) {
        if (GfName_Compare(&rows[i].key, &last) > 0 ||
            GfName_Compare(&rows[i].key, &first) <= 0) {
            continue;
        }
        size_t k;
        json_t *record;
        json_array_foreach(rows[i].value, k, record)
        {
            j->ops->replay(j->ctx, record);
        }
    }
    set_state(j, GF_JOURNAL_OWNED);
}

/* Reads the segments written after the snapshot. */
static void
load_segments(GfJournal *j)
{
    GfName prefix = GfName_Format("seg/%03" PRIu32 "/", j->config.partition);
    GfStore_Read(j->store, prefix.data, on_segments, j);
}

/* Replays the snapshot, then goes on with the segments. */
static void
on_snapshot(void *arg, GfErrorKind kind, const char *data, size_t len)
{
    GfJournal *j = arg;
    if (j->state != GF_JOURNAL_LOADING) {
        return;
    }
    json_t *records = kind == GF_OK ? json_loadb(data, len, 0, NULL) : NULL;
    if (!json_is_array(records)) {
        json_decref(records);
        j->busy = false;
        j->next_try = GfTime_AddMs(j->now, RESEND_MS);
        return;
    }
    size_t i;
    json_t *record;
    json_array_foreach(records, i, record)
    {
        j->ops->replay(j->ctx, record);
    }
    json_decref(records);
    load_segments(j);
}

/* Starts loading what the journal holds. */
static void
load(GfJournal *j)
{
    j->busy = true;
    if (j->snapshot.len > 0) {
        GfStore_GetObject(j->store, &j->snapshot, on_snapshot, j);
        return;
    }
    load_segments(j);
}

/* Ends a successful commit. */
static void
on_committed(GfJournal *j, int64_t version)
{
    GfTxn_Destroy(j->txn);
    j->txn = NULL;
    j->busy = false;
    j->commits++;
    j->head_version = version;
    switch (j->purpose) {
    case FOR_CLAIM:
        set_state(j, GF_JOURNAL_LOADING);
        load(j);
        break;
    case FOR_APPEND:
        j->seq++;
        end_entries(&j->sent, GF_OK);
        break;
    case FOR_COMPACTION:
        break;
    case FOR_RELEASE:
        set_state(j, GF_JOURNAL_RELEASED);
        end_entries(&j->queue, GF_LEASE_LOST);
        j->queued = 0;
        break;
    }
}

/* Settles a commit whose check failed: either it, or an earlier sending of
 * it, was committed, or another entry has claimed the head. */
static void
on_head(void *arg, GfErrorKind kind, const GfRow *rows, size_t count)
{
    GfJournal *j = arg;
    if (j->txn == NULL) {
        return;
    }
    if (kind != GF_OK) {
        j->busy = false;
        j->next_try = GfTime_AddMs(j->now, RESEND_MS);
        return;
    }
    if (count == 1 && is_mine(j, rows[0].value)) {
        on_committed(j, rows[0].version);
        return;
    }
    GfJournal_Lose(j);
}

/* Handles the outcome of a commit. One that is open is sent again as it was:
 * its check lets at most one of the two take effect. */
static void
on_outcome(void *arg, const GfTxnOutcome *outcome)
{
    GfJournal *j = arg;
    if (j->txn == NULL) {
        return;
    }
    if (outcome->state == GF_TXN_COMMITTED) {
        on_committed(j, outcome->version);
    }
    else if (outcome->state == GF_TXN_CONFLICT) {
        GfName key = GfJournal_HeadKey(j->config.partition);
        GfStore_Read(j->store, key.data, on_head, j);
    }
    else {
        j->busy = false;
        j->next_try = GfTime_AddMs(j->now, RESEND_MS);
    }
}

/* Sends the prepared transaction. */
static void
commit_txn(GfJournal *j)
{
    assert(j->txn != NULL);
    j->busy = true;
    GfStore_Commit(j->store, j->txn, on_outcome, j);
}

/* Prepares a transaction that replaces the head. */
static void
prepare(GfJournal *j, Purpose purpose, uint64_t seq)
{
    j->purpose = purpose;
    GfName key = GfJournal_HeadKey(j->config.partition);
    j->txn = GfTxn_Create();
    GfTxn_Check(j->txn, &key, j->head_version);
    GfTxn_Put(j->txn, &key, head_value(j, purpose != FOR_RELEASE, seq));
}

/* Tells whether a head row names this process as the owner. */
bool
GfJournal_IsHeadOwn(const GfJournal *journal, const json_t *head)
{
    const char *owner = json_string_value(json_object_get(head, "owner"));
    json_t *incarnation = json_object_get(head, "incarnation");
    return owner != NULL && strcmp(owner, journal->config.member.data) == 0 &&
           json_integer_value(incarnation) ==
               (json_int_t)(journal->config.incarnation >> 2);
}

/* Claims the partition from the head row that was just read; the caller has
 * made sure that its former owner has stopped. head is NULL if the partition
 * has never been owned. owner_row, if not NULL, is the former owner's own
 * row; the claim removes it, so that the owner must look before it acts. */
void
GfJournal_Claim(GfJournal *journal, int64_t head_version, const json_t *head,
                const GfRow *owner_row)
{
    bool free_state = journal->state == GF_JOURNAL_UNOWNED ||
                      journal->state == GF_JOURNAL_RELEASED;
    if (!free_state || journal->busy) {
        return;
    }
    journal->releasing = false;
    journal->head_version = head_version;
    journal->epoch =
        (uint64_t)json_integer_value(json_object_get(head, "epoch")) + 1;
    journal->seq = (uint64_t)json_integer_value(json_object_get(head, "seq"));
    journal->base_seq =
        (uint64_t)json_integer_value(json_object_get(head, "base"));
    GfName_SetText(&journal->snapshot,
                   json_string_value(json_object_get(head, "snapshot")));
    set_state(journal, GF_JOURNAL_CLAIMING);
    prepare(journal, FOR_CLAIM, journal->seq);
    if (owner_row != NULL) {
        GfTxn_Check(journal->txn, &owner_row->key, owner_row->version);
        GfTxn_Delete(journal->txn, &owner_row->key);
    }
    commit_txn(journal);
}

/* Adds a record to the next commit. Takes the record's reference. */
void
GfJournal_Append(GfJournal *journal, json_t *record, GfAppendCallback callback,
                 void *arg)
{
    assert(journal != NULL && record != NULL);
    if (journal->state != GF_JOURNAL_OWNED) {
        json_decref(record);
        if (callback != NULL) {
            callback(arg, GF_LEASE_LOST);
        }
        return;
    }
    Entry *e = calloc(1, sizeof(*e));
    if (e == NULL) {
        abort();
    }
    *e = (Entry){.record = record, .callback = callback, .arg = arg};
    if (journal->queue == NULL && journal->sent == NULL) {
        journal->oldest = journal->now;
    }
    DL_APPEND(journal->queue, e);
    journal->queued++;
}

/* Groups the waiting records into one segment and commits it. */
static void
flush(GfJournal *j)
{
    json_t *segment = json_array();
    size_t count = 0;
    while (j->queue != NULL && count < MAX_GROUP_RECORDS) {
        Entry *e = j->queue;
        DL_DELETE(j->queue, e);
        DL_APPEND(j->sent, e);
        json_array_append(segment, e->record);
        j->queued--;
        count++;
    }
    j->oldest = j->now;
    prepare(j, FOR_APPEND, j->seq + 1);
    GfName key = segment_key(j, j->seq + 1);
    GfTxn_Put(j->txn, &key, segment);
    commit_txn(j);
}

/* Points the head at a written snapshot and removes what it stands for. */
static void
on_snapshot_written(void *arg, GfErrorKind kind, const char *data, size_t len)
{
    (void)data;
    (void)len;
    GfJournal *j = arg;
    j->busy = false;
    if (kind != GF_OK || j->state != GF_JOURNAL_OWNED) {
        return;
    }
    uint64_t old_base = j->base_seq;
    j->snapshot = GfName_Format("snap-%03" PRIu32 "-%" PRIu64 "-%" PRIu64,
                                j->config.partition, j->epoch, j->seq);
    j->base_seq = j->seq;
    prepare(j, FOR_COMPACTION, j->seq);
    for (uint64_t seq = old_base + 1; seq <= j->seq; seq++) {
        GfName key = segment_key(j, seq);
        GfTxn_Delete(j->txn, &key);
    }
    commit_txn(j);
}

/* Writes a snapshot to the object store. */
static void
compact(GfJournal *j)
{
    json_t *records = j->ops->snapshot(j->ctx);
    if (records == NULL) {
        return;
    }
    char *text = json_dumps(records, JSON_COMPACT);
    GfName name = GfName_Format("snap-%03" PRIu32 "-%" PRIu64 "-%" PRIu64,
                                j->config.partition, j->epoch, j->seq);
    j->busy = true;
    GfStore_PutObject(j->store, &name, text,
                      json_dumpb(records, NULL, 0, JSON_COMPACT),
                      on_snapshot_written, j);
    free(text);
    json_decref(records);
}

/* Moves the journal on: resends, commits what waits, compacts, releases. */
void
GfJournal_Tick(GfJournal *journal, struct timespec now)
{
    GfJournal *j = journal;
    j->now = now;
    if (j->busy || GfTime_Before(now, j->next_try)) {
        return;
    }
    if (j->txn != NULL) {
        commit_txn(j);
        return;
    }
    if (j->state == GF_JOURNAL_LOADING) {
        load(j);
        return;
    }
    if (j->state != GF_JOURNAL_OWNED) {
        return;
    }
    if (j->queue != NULL) {
        flush(j);
        j->next_try = GfTime_AddMs(now, j->config.group_ms);
    }
    else if (j->releasing) {
        prepare(j, FOR_RELEASE, j->seq);
        commit_txn(j);
    }
    else if (j->seq - j->base_seq >= j->config.compact_segments) {
        compact(j);
    }
}

/* Gives the partition back once all that waits is durable, so that another
 * entry can claim it at once. */
void
GfJournal_Release(GfJournal *journal)
{
    journal->releasing = true;
    if (journal->state == GF_JOURNAL_UNOWNED) {
        set_state(journal, GF_JOURNAL_RELEASED);
    }
}

/* Returns the state. */
GfJournalState
GfJournal_State(const GfJournal *journal)
{
    return journal->state;
}

/* Returns the epoch of the last claim; it rises with each claim. */
uint64_t
GfJournal_Epoch(const GfJournal *journal)
{
    return journal->epoch;
}

/* Returns how many records wait to become durable. */
size_t
GfJournal_Waiting(const GfJournal *journal)
{
    return journal->queued + (journal->sent != NULL);
}

/* Tells whether records have waited longer than limit_ms. */
bool
GfJournal_IsStuck(const GfJournal *journal, struct timespec now,
                  int32_t limit_ms)
{
    return GfJournal_Waiting(journal) > 0 &&
           GfTime_DiffMs(now, journal->oldest) > limit_ms;
}

/* Returns how many commits took effect. */
uint64_t
GfJournal_Commits(const GfJournal *journal)
{
    return journal->commits;
}
