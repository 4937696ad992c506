/* The journal of one partition: records in the store, appended in grouped
 * commits and fenced by a check on the partition's head row. Whoever claims
 * the head ends the appends of its former owner. */
#ifndef GUAVAFLOW_JOURNAL_H
#define GUAVAFLOW_JOURNAL_H

#include <jansson.h>

#include "guavaflow/clock.h"
#include "guavaflow/store.h"

typedef struct GfJournal GfJournal;

typedef enum {
    GF_JOURNAL_UNOWNED,
    GF_JOURNAL_CLAIMING,
    GF_JOURNAL_LOADING,
    GF_JOURNAL_OWNED,
    GF_JOURNAL_RELEASED,
    GF_JOURNAL_STATES
} GfJournalState;

typedef struct {
    /* Hands over a record while the journal loads. */
    void (*replay)(void *ctx, const json_t *record);
    /* Tells that the state has changed. */
    void (*changed)(void *ctx, GfJournalState state);
    /* Returns the records that stand for all appended so far. */
    json_t *(*snapshot)(void *ctx);
} GfJournalOps;

typedef struct {
    uint32_t partition;
    GfName member;
    uint64_t incarnation;
    int32_t group_ms;
    uint32_t compact_segments;
} GfJournalConfig;

/* kind is GF_OK once the record is durable, GF_LEASE_LOST if it never will
 * be. */
typedef void (*GfAppendCallback)(void *arg, GfErrorKind kind);

GfJournal *GfJournal_Create(const GfJournalConfig *config, GfStore *store,
                            const GfJournalOps *ops, void *ctx);
void GfJournal_Destroy(GfJournal *journal);
void GfJournal_Claim(GfJournal *journal, int64_t head_version,
                     const json_t *head, const GfRow *owner_row);
bool GfJournal_IsHeadOwn(const GfJournal *journal, const json_t *head);
void GfJournal_Lose(GfJournal *journal);
void GfJournal_Append(GfJournal *journal, json_t *record,
                      GfAppendCallback callback, void *arg);
void GfJournal_Tick(GfJournal *journal, struct timespec now);
void GfJournal_Release(GfJournal *journal);
GfJournalState GfJournal_State(const GfJournal *journal);
const char *GfJournal_StateName(GfJournalState state);
uint64_t GfJournal_Epoch(const GfJournal *journal);
size_t GfJournal_Waiting(const GfJournal *journal);
bool GfJournal_IsStuck(const GfJournal *journal, struct timespec now,
                       int32_t limit_ms);
uint64_t GfJournal_Commits(const GfJournal *journal);
GfName GfJournal_HeadKey(uint32_t partition);

#endif
