#include "guavaflow/journal.h"

#include <assert.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>
#include <utlist.h>

#include "guavaflow/log.h"

#define PART "journal"
/* Time before an operation without a reply from the store is repeated. */
#define RETRY_MS 100
/* Bounds the size of a segment row; further records go into the next one. */
#define MAX_SEGMENT_RECORDS 2000

/* An append that is not durable yet. Owns the reference to the record. */
typedef struct PendingAppend {
    json_t *record;
    GfAppendCallback callback;
    void *arg;
    struct PendingAppend *next;
    struct PendingAppend *prev;
} PendingAppend;

/* What the transaction in progress does. */
typedef enum { TXN_CLAIM, TXN_APPEND, TXN_COMPACTION, TXN_RELEASE } TxnPurpose;

struct GfJournal {
    GfJournalConfig config;
    GfStore *store;
    const GfJournalOps *ops;
    void *ctx;
    GfJournalState state;
    int64_t head_version;  /* version of the head row, 0 if absent */
    uint64_t epoch;        /* number of the claim */
    uint64_t seq;          /* last committed segment */
    uint64_t snapshot_seq; /* last segment that the snapshot covers */
    GfName snapshot_name;  /* object with the snapshot; empty if none */
    PendingAppend *queue;  /* records for the next commit */
    size_t queue_length;
    PendingAppend *in_commit; /* records of the transaction in progress */
    GfTxn *txn;               /* in progress or to be sent again, or NULL */
    TxnPurpose purpose;
    uint64_t nonce;      /* identifies the head row written last */
    bool awaiting_store; /* a request to the store is outstanding */
    bool releasing;
    struct timespec last_tick;
    struct timespec next_action;   /* nothing is sent before this */
    struct timespec pending_since; /* the oldest pending commit or append */
    uint64_t commit_count;
};

static const char *const STATE_NAMES[GF_JOURNAL_STATES] = {
    "unowned", "claiming", "loading", "owned", "released"};

/* Returns the state's name in lower case, a static string. */
const char *
GfJournal_StateName(GfJournalState state)
{
    assert(state < GF_JOURNAL_STATES);
    return STATE_NAMES[state];
}

/* Returns the key of a partition's head row in the store: "part/" and the
 * partition's number. */
GfName
GfJournal_HeadKey(uint32_t partition)
{
    return GfName_Format("part/%03" PRIu32, partition);
}

/* Returns the key of the segment row with the given sequence number. Keys sort
 * in the order of the sequence numbers. */
static GfName
segment_key(const GfJournal *j, uint64_t seq)
{
    return GfName_Format("seg/%03" PRIu32 "/%012" PRIu64, j->config.partition,
                         seq);
}

/* Creates the journal of a partition, in state GF_JOURNAL_UNOWNED. The config
 * is copied; store, ops and ctx must outlive the journal. Never returns NULL.
 * The caller destroys it. */
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

/* Empties a list of appends and reports the given outcome to their callbacks.
 * The list is detached first, so a callback may append again. */
static void
complete_appends(PendingAppend **list, GfErrorKind kind)
{
    PendingAppend *all = *list;
    PendingAppend *e;
    PendingAppend *tmp;
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

/* Frees the journal; NULL is allowed. Appends that are not durable yet get no
 * callback. No reply of the store may arrive afterwards. */
void
GfJournal_Destroy(GfJournal *journal)
{
    if (journal == NULL) {
        return;
    }
    PendingAppend *lists[] = {journal->queue, journal->in_commit};
    for (int i = 0; i < 2; i++) {
        PendingAppend *e;
        PendingAppend *tmp;
        DL_FOREACH_SAFE(lists[i], e, tmp)
        {
            json_decref(e->record);
            free(e);
        }
    }
    GfTxn_Destroy(journal->txn);
    free(journal);
}

/* Changes the state and notifies the user of the journal. */
static void
set_state(GfJournal *j, GfJournalState state)
{
    j->state = state;
    j->ops->state_changed(j->ctx, state);
}

/* Gives up ownership, or a claim in progress, because another entry has
 * claimed the partition, or may have. All pending appends fail with
 * GF_LEASE_LOST. */
void
GfJournal_LoseOwnership(GfJournal *journal)
{
    GfJournal *j = journal;
    GfLog(GF_LOG_WARNING, PART,
          "partition ownership or claim lost partition=%" PRIu32,
          j->config.partition);
    GfTxn_Destroy(j->txn);
    j->txn = NULL;
    j->awaiting_store = false;
    set_state(j, GF_JOURNAL_UNOWNED);
    complete_appends(&j->in_commit, GF_LEASE_LOST);
    complete_appends(&j->queue, GF_LEASE_LOST);
    j->queue_length = 0;
}

/* Returns a new value for the head row: its owner (empty if owned is false),
 * the last segment and the snapshot. A new random nonce identifies this write;
 * it is shifted so that it fits a signed JSON integer. */
static json_t *
make_head_value(GfJournal *j, bool owned, uint64_t seq)
{
    randombytes_buf(&j->nonce, sizeof(j->nonce));
    j->nonce >>= 2;
    return json_pack("{s:s,s:I,s:I,s:I,s:I,s:I,s:s}", "owner",
                     owned ? j->config.member.data : "", "incarnation",
                     (json_int_t)(j->config.incarnation >> 2), "epoch",
                     (json_int_t)j->epoch, "seq", (json_int_t)seq, "base",
                     (json_int_t)j->snapshot_seq, "nonce",
                     (json_int_t)j->nonce, "snapshot", j->snapshot_name.data);
}

/* Returns whether a head row is the one that this journal wrote last. */
static bool
wrote_head(const GfJournal *j, const json_t *head)
{
    json_t *nonce = json_object_get(head, "nonce");
    return json_is_integer(nonce) &&
           (uint64_t)json_integer_value(nonce) == j->nonce;
}

/* Replays the segments after the snapshot up to the head's last one, and
 * then owns the partition. If the store did not reply, loading starts over
 * later. */
static void
on_segments_read(void *arg, GfErrorKind kind, const GfRow *rows, size_t count)
{
    GfJournal *j = arg;
    if (j->state != GF_JOURNAL_LOADING) {
        return;
    }
    j->awaiting_store = false;
    if (kind != GF_OK) {
        j->next_action = GfTime_AddMs(j->last_tick, RETRY_MS);
        return;
    }
    GfName last = segment_key(j, j->seq);
    GfName first = segment_key(j, j->snapshot_seq);
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

/* Reads all segment rows of the partition. */
static void
load_segments(GfJournal *j)
{
    GfName prefix = GfName_Format("seg/%03" PRIu32 "/", j->config.partition);
    GfStore_Read(j->store, prefix.data, on_segments_read, j);
}

/* Replays the snapshot and goes on with the segments. A snapshot that cannot
 * be read or parsed is tried again later. */
static void
on_snapshot_read(void *arg, GfErrorKind kind, const char *data, size_t len)
{
    GfJournal *j = arg;
    if (j->state != GF_JOURNAL_LOADING) {
        return;
    }
    json_t *records = kind == GF_OK ? json_loadb(data, len, 0, NULL) : NULL;
    if (!json_is_array(records)) {
        json_decref(records);
        j->awaiting_store = false;
        j->next_action = GfTime_AddMs(j->last_tick, RETRY_MS);
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

/* Loads the stored records: the snapshot, if there is one, then the
 * segments. */
static void
load_contents(GfJournal *j)
{
    j->awaiting_store = true;
    if (j->snapshot_name.len > 0) {
        GfStore_GetObject(j->store, &j->snapshot_name, on_snapshot_read, j);
        return;
    }
    load_segments(j);
}

/* Applies the effects of a transaction that was committed. version is the new
 * version of the head row. */
static void
handle_commit(GfJournal *j, int64_t version)
{
    GfTxn_Destroy(j->txn);
    j->txn = NULL;
    j->awaiting_store = false;
    j->commit_count++;
    j->head_version = version;
    switch (j->purpose) {
    case TXN_CLAIM:
        set_state(j, GF_JOURNAL_LOADING);
        load_contents(j);
        break;
    case TXN_APPEND:
        j->seq++;
        complete_appends(&j->in_commit, GF_OK);
        break;
    case TXN_COMPACTION:
        break;
    case TXN_RELEASE:
        set_state(j, GF_JOURNAL_RELEASED);
        complete_appends(&j->queue, GF_LEASE_LOST);
        j->queue_length = 0;
        break;
    }
}

/* Resolves a conflict by the head row that is in the store now. If it holds
 * the nonce of this transaction, an earlier attempt to commit it succeeded,
 * although its reply was lost. Otherwise another entry has claimed the
 * partition. */
static void
on_head_reread(void *arg, GfErrorKind kind, const GfRow *rows, size_t count)
{
    GfJournal *j = arg;
    if (j->txn == NULL) {
        return;
    }
    if (kind != GF_OK) {
        j->awaiting_store = false;
        j->next_action = GfTime_AddMs(j->last_tick, RETRY_MS);
        return;
    }
    if (count == 1 && wrote_head(j, rows[0].value)) {
        handle_commit(j, rows[0].version);
        return;
    }
    GfJournal_LoseOwnership(j);
}

/* Handles the outcome of a commit. If it is not known, the same transaction is
 * sent again later: it checks the head's version, so at most one of the
 * attempts takes effect. */
static void
on_txn_outcome(void *arg, const GfTxnOutcome *outcome)
{
    GfJournal *j = arg;
    if (j->txn == NULL) {
        return;
    }
    if (outcome->state == GF_TXN_COMMITTED) {
        handle_commit(j, outcome->version);
    }
    else if (outcome->state == GF_TXN_CONFLICT) {
        GfName key = GfJournal_HeadKey(j->config.partition);
        GfStore_Read(j->store, key.data, on_head_reread, j);
    }
    else {
        j->awaiting_store = false;
        j->next_action = GfTime_AddMs(j->last_tick, RETRY_MS);
    }
}

/* Sends the prepared transaction, for the first time or again. */
static void
send_txn(GfJournal *j)
{
    assert(j->txn != NULL);
    j->awaiting_store = true;
    GfStore_Commit(j->store, j->txn, on_txn_outcome, j);
}

/* Prepares a transaction that replaces the head row, on condition that it
 * still has the version known here. seq is the new last segment. The caller
 * can add further changes before sending it. */
static void
prepare_head_update(GfJournal *j, TxnPurpose purpose, uint64_t seq)
{
    j->purpose = purpose;
    GfName key = GfJournal_HeadKey(j->config.partition);
    j->txn = GfTxn_Create();
    GfTxn_Check(j->txn, &key, j->head_version);
    GfTxn_Put(j->txn, &key, make_head_value(j, purpose != TXN_RELEASE, seq));
}

/* Returns whether a head row names this process, not merely an entry of the
 * same name, as the owner. A head of NULL has no owner. */
bool
GfJournal_OwnsHead(const GfJournal *journal, const json_t *head)
{
    const char *owner = json_string_value(json_object_get(head, "owner"));
    json_t *incarnation = json_object_get(head, "incarnation");
    return owner != NULL && strcmp(owner, journal->config.member.data) == 0 &&
           json_integer_value(incarnation) ==
               (json_int_t)(journal->config.incarnation >> 2);
}

/* Claims the partition, given its head row as just read; ignored if the
 * partition is owned or a reply of the store is outstanding. The caller must
 * have made sure that the former owner can no longer act. head_version is 0
 * and head NULL if the partition has never been owned. owner_row, if not NULL,
 * is the member row of the former owner: the same transaction deletes it, so
 * that the former owner's next renewal conflicts and it checks what it still
 * owns before it acts again. All arguments are only read during the call. */
void
GfJournal_Claim(GfJournal *journal, int64_t head_version, const json_t *head,
                const GfRow *owner_row)
{
    bool unowned = journal->state == GF_JOURNAL_UNOWNED ||
                   journal->state == GF_JOURNAL_RELEASED;
    if (!unowned || journal->awaiting_store) {
        return;
    }
    journal->releasing = false;
    journal->head_version = head_version;
    journal->epoch =
        (uint64_t)json_integer_value(json_object_get(head, "epoch")) + 1;
    journal->seq = (uint64_t)json_integer_value(json_object_get(head, "seq"));
    journal->snapshot_seq =
        (uint64_t)json_integer_value(json_object_get(head, "base"));
    GfName_SetText(&journal->snapshot_name,
                   json_string_value(json_object_get(head, "snapshot")));
    set_state(journal, GF_JOURNAL_CLAIMING);
    prepare_head_update(journal, TXN_CLAIM, journal->seq);
    if (owner_row != NULL) {
        GfTxn_Check(journal->txn, &owner_row->key, owner_row->version);
        GfTxn_Delete(journal->txn, &owner_row->key);
    }
    send_txn(journal);
}

/* Queues a record for the next commit and takes its reference. The callback
 * may be NULL; it is called with GF_LEASE_LOST before this returns if the
 * partition is not owned. */
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
    PendingAppend *e = calloc(1, sizeof(*e));
    if (e == NULL) {
        abort();
    }
    *e = (PendingAppend){.record = record, .callback = callback, .arg = arg};
    if (journal->queue == NULL && journal->in_commit == NULL) {
        journal->pending_since = journal->last_tick;
    }
    DL_APPEND(journal->queue, e);
    journal->queue_length++;
}

/* Moves queued records into a new segment and commits it. */
static void
commit_queue(GfJournal *j)
{
    json_t *segment = json_array();
    size_t count = 0;
    while (j->queue != NULL && count < MAX_SEGMENT_RECORDS) {
        PendingAppend *e = j->queue;
        DL_DELETE(j->queue, e);
        DL_APPEND(j->in_commit, e);
        json_array_append(segment, e->record);
        j->queue_length--;
        count++;
    }
    j->pending_since = j->last_tick;
    prepare_head_update(j, TXN_APPEND, j->seq + 1);
    GfName key = segment_key(j, j->seq + 1);
    GfTxn_Put(j->txn, &key, segment);
    send_txn(j);
}

/* Commits a head that refers to the snapshot just written and deletes the
 * segments that the snapshot replaces. After a failed write the segments stay,
 * and the snapshot is made again later. */
static void
on_snapshot_written(void *arg, GfErrorKind kind, const char *data, size_t len)
{
    (void)data;
    (void)len;
    GfJournal *j = arg;
    j->awaiting_store = false;
    if (kind != GF_OK || j->state != GF_JOURNAL_OWNED) {
        return;
    }
    uint64_t old_snapshot_seq = j->snapshot_seq;
    j->snapshot_name = GfName_Format("snap-%03" PRIu32 "-%" PRIu64 "-%" PRIu64,
                                     j->config.partition, j->epoch, j->seq);
    j->snapshot_seq = j->seq;
    prepare_head_update(j, TXN_COMPACTION, j->seq);
    for (uint64_t seq = old_snapshot_seq + 1; seq <= j->seq; seq++) {
        GfName key = segment_key(j, seq);
        GfTxn_Delete(j->txn, &key);
    }
    send_txn(j);
}

/* Starts a compaction: writes a snapshot to the object store. */
static void
write_snapshot(GfJournal *j)
{
    json_t *records = j->ops->make_snapshot(j->ctx);
    if (records == NULL) {
        return;
    }
    char *text = json_dumps(records, JSON_COMPACT);
    GfName name = GfName_Format("snap-%03" PRIu32 "-%" PRIu64 "-%" PRIu64,
                                j->config.partition, j->epoch, j->seq);
    j->awaiting_store = true;
    GfStore_PutObject(j->store, &name, text,
                      json_dumpb(records, NULL, 0, JSON_COMPACT),
                      on_snapshot_written, j);
    free(text);
    json_decref(records);
}

/* Advances the journal: sends unconfirmed transactions again, repeats a failed
 * load, commits queued records, compacts, and releases. Call it every few
 * milliseconds; at most one operation on the store is outstanding. */
void
GfJournal_Tick(GfJournal *journal, struct timespec now)
{
    GfJournal *j = journal;
    j->last_tick = now;
    if (j->awaiting_store || GfTime_Before(now, j->next_action)) {
        return;
    }
    if (j->txn != NULL) {
        send_txn(j);
        return;
    }
    if (j->state == GF_JOURNAL_LOADING) {
        load_contents(j);
        return;
    }
    if (j->state != GF_JOURNAL_OWNED) {
        return;
    }
    if (j->queue != NULL) {
        commit_queue(j);
        j->next_action = GfTime_AddMs(now, j->config.group_commit_ms);
    }
    else if (j->releasing) {
        prepare_head_update(j, TXN_RELEASE, j->seq);
        send_txn(j);
    }
    else if (j->seq - j->snapshot_seq >= j->config.compact_after_segments) {
        write_snapshot(j);
    }
}

/* Gives the partition back after all queued records are durable, so that
 * another entry can claim it without waiting. A claim in progress is completed
 * first; an unowned journal changes to GF_JOURNAL_RELEASED at once. */
void
GfJournal_Release(GfJournal *journal)
{
    journal->releasing = true;
    if (journal->state == GF_JOURNAL_UNOWNED) {
        set_state(journal, GF_JOURNAL_RELEASED);
    }
}

/* Returns whether the partition is owned here, and which step of claiming or
 * releasing it is at. */
GfJournalState
GfJournal_State(const GfJournal *journal)
{
    return journal->state;
}

/* Returns the epoch of the last claim. Each claim of the partition, by any
 * entry, has a higher epoch than the one before; 0 means never claimed
 * here. */
uint64_t
GfJournal_Epoch(const GfJournal *journal)
{
    return journal->epoch;
}

/* Returns the number of queued records, plus one if a commit of records is in
 * progress. */
size_t
GfJournal_CountPending(const GfJournal *journal)
{
    return journal->queue_length + (journal->in_commit != NULL);
}

/* Returns whether records wait to become durable and the oldest commit of them
 * has taken longer than limit_ms milliseconds. */
bool
GfJournal_IsStuck(const GfJournal *journal, struct timespec now,
                  int32_t limit_ms)
{
    return GfJournal_CountPending(journal) > 0 &&
           GfTime_DiffMs(now, journal->pending_since) > limit_ms;
}

/* Returns how many transactions of this journal were committed, those of
 * claims, compactions and releases included. */
uint64_t
GfJournal_CountCommits(const GfJournal *journal)
{
    return journal->commit_count;
}
