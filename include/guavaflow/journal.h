/* The journal of one partition: JSON records that are kept in the store and
 * replayed when an entry takes the partition over. The store holds a head row
 * per partition, segment rows of records, and a snapshot object that replaces
 * the segments before it. Appends are grouped, one segment per commit. Every
 * commit checks the version of the head row and replaces it, so once another
 * entry has claimed the head, no commit of the former owner can take effect.
 *
 * The journal runs on the event loop: GfJournal_Tick drives it, and results
 * arrive by callback. */
#ifndef GUAVAFLOW_JOURNAL_H
#define GUAVAFLOW_JOURNAL_H

#include <jansson.h>

#include "guavaflow/clock.h"
#include "guavaflow/store.h"

typedef struct GfJournal GfJournal;

typedef enum {
    GF_JOURNAL_UNOWNED,  /* not owned here: never claimed, or lost */
    GF_JOURNAL_CLAIMING, /* the commit that takes the head is in progress */
    GF_JOURNAL_LOADING,  /* claimed; the stored records are being replayed */
    GF_JOURNAL_OWNED,    /* loaded; records can be appended */
    GF_JOURNAL_RELEASED, /* given back by GfJournal_Release */
    GF_JOURNAL_STATES
} GfJournalState;

/* Callbacks to the user of the journal; ctx is that of GfJournal_Create. */
typedef struct {
    /* Passes a stored record while the journal loads, oldest first. Records
     * can be passed again after a failed read. The record is only borrowed. */
    void (*replay)(void *ctx, const json_t *record);
    /* Called after each change of state. */
    void (*state_changed)(void *ctx, GfJournalState state);
    /* Returns a new array of records that are equivalent to all appended so
     * far, or NULL to skip this compaction. The journal takes the reference.
     */
    json_t *(*make_snapshot)(void *ctx);
} GfJournalOps;

typedef struct {
    uint32_t partition;
    GfName member;           /* name of this entry */
    uint64_t incarnation;    /* random number of this process; the low two
                                bits are not stored */
    int32_t group_commit_ms; /* least time between two appending commits */
    uint32_t
        compact_after_segments; /* segments after which a snapshot is made */
} GfJournalConfig;

/* Reports the outcome of an append: GF_OK once the record is durable,
 * GF_LEASE_LOST if ownership ended first. Then the record
 * is not durable, unless its commit was unconfirmed and took effect. */
typedef void (*GfAppendCallback)(void *arg, GfErrorKind kind);

GfJournal *GfJournal_Create(const GfJournalConfig *config, GfStore *store,
                            const GfJournalOps *ops, void *ctx);
void GfJournal_Destroy(GfJournal *journal);
void GfJournal_Claim(GfJournal *journal, int64_t head_version,
                     const json_t *head, const GfRow *owner_row);
bool GfJournal_OwnsHead(const GfJournal *journal, const json_t *head);
void GfJournal_LoseOwnership(GfJournal *journal);
void GfJournal_Append(GfJournal *journal, json_t *record,
                      GfAppendCallback callback, void *arg);
void GfJournal_Tick(GfJournal *journal, struct timespec now);
void GfJournal_Release(GfJournal *journal);
GfJournalState GfJournal_State(const GfJournal *journal);
const char *GfJournal_StateName(GfJournalState state);
uint64_t GfJournal_Epoch(const GfJournal *journal);
size_t GfJournal_CountPending(const GfJournal *journal);
bool GfJournal_IsStuck(const GfJournal *journal, struct timespec now,
                       int32_t limit_ms);
uint64_t GfJournal_CountCommits(const GfJournal *journal);
GfName GfJournal_HeadKey(uint32_t partition);

#endif
