/* What the parts of an entry share: control state, peers, the view of the
 * owner, and the term if this entry is the owner. */
#ifndef GUAVAFLOW_CELLENTRY_PRIVATE_H
#define GUAVAFLOW_CELLENTRY_PRIVATE_H

#include <event2/event.h>
#include <uthash.h>

#include "../rpc/cell_xdr.h"
#include "guavaflow/cell_entry.h"
#include "guavaflow/job_row.h"
#include "guavaflow/rpc.h"

#define ENTRY_CELL_TABLE "cell"
#define ENTRY_JOB_TABLE "jobs"
#define ENTRY_PROGRESS_TABLE "progress"
/* The part of the owner's row and of all that only the owner writes. */
#define ENTRY_OWNER_PART "owner"
#define ENTRY_OWNER_KEY "owner"
#define ENTRY_COMMIT_KEY "commit"
#define ENTRY_LEASED_KEY "leased"

typedef struct Peer Peer;
typedef struct Term Term;
typedef struct Follow Follow;

typedef void (*FollowCallback)(GfCellEntry *entry, const GfTableRow *rows,
                               size_t count, bool whole);

/* A connection that was replaced. */
typedef struct Retired {
    GfRpcClient *client;
    struct Retired *next;
} Retired;

/* Another entry. */
struct Peer {
    GfCellEntry *entry;
    GfName name;
    char address[64];
    uint16_t port;
    uint64_t incarnation;
    GfRpcClient *client;
    struct timespec heard_at;
    bool heard;
    bool beating;
    bool listed;             /* in the newest list that an owner sent */
    uint32_t lost_beats;     /* in a row, its connection refused or lost */
    struct timespec lost_at; /* the first of them */
    bool stopping;
    uint32_t strength;
    uint64_t config_version; /* the newest that it said it has */
    struct timespec known_at;
    UT_hash_handle hh;
};

/* What this entry believes of the owner. token 0: none is known. */
typedef struct {
    GfName name;
    uint64_t incarnation; /* of the process that claimed; 0: not known */
    int64_t token;
    struct timespec heard_at;
    struct timespec storeless_since;
    bool storeless;
    bool ready;
    bool stopping;
    bool disowned;    /* it answered that it does not own the cell */
    int64_t store_ms; /* what its last commit took */
} OwnerView;

struct GfCellEntry {
    struct event_base *base;
    const GfCellEntrySettings *settings;
    const GfClock *clock;
    GfTable *table;
    GfCommands *commands;
    const GfDecoder *decoder;
    GfName self;
    uint64_t incarnation;
    struct event *tick;
    struct timespec started_at;
    GfRpcServer *rpc;

    GfCellConfig *config;
    GfStr config_text;
    GfName *evacuated;
    size_t evacuated_count;
    Follow *operator_follow;
    bool asking_config;

    Peer *peers;
    Retired *retired;
    uint64_t members_digest; /* of the owner's list as it was last sent */
    OwnerView owner;
    struct timespec next_beat_at;
    struct timespec claim_at;
    bool claim_planned;
    bool reading_owner;
    bool claiming;
    uint64_t claim_nonce;
    int64_t owner_row_version;
    bool owner_row_known; /* the version is the newest one seen, and no claim
                           * of ours may have changed it since */
    size_t next_seed;
    size_t next_peer;
    struct timespec other_heard_at; /* a peer hears an owner that we do not */
    GfName relay;

    struct timespec store_ok_at;
    struct timespec store_failed_at;
    bool store_failed;

    GfAdmission admission; /* as the owner has it */

    Term *term;
    uint32_t term_count;
    bool stopping;
    double loop_lag_ms; /* smoothed lateness of ticks */
    struct timespec tick_due_at;
    uint32_t last_owner_strength; /* 0: not known */
};

/* follow.c: keeps up with a table. */
Follow *Follow_Create(GfCellEntry *entry, const char *table, int wait_ms,
                      int pause_ms, FollowCallback callback);
void Follow_Begin(Follow *follow);
void Follow_BeginAfter(Follow *follow, int64_t version);
void Follow_Destroy(Follow *follow);

/* control.c: the operators' configuration. */
void EntryControl_Begin(GfCellEntry *entry);
void EntryControl_TakeConfig(GfCellEntry *entry, const char *text, size_t len,
                             const char *source);
void EntryControl_CompareWithPeer(GfCellEntry *entry, Peer *peer,
                                  uint64_t version);

/* peers.c: other entries. */
Peer *EntryMembers_Get(GfCellEntry *entry, const GfName *name,
                       const char *address, uint16_t port,
                       uint64_t incarnation);
Peer *EntryMembers_Find(GfCellEntry *entry, const GfName *name);
Peer *EntryMembers_FromXdr(GfCellEntry *entry, const gfc_peer *xdr);
void EntryMembers_ToXdr(GfCellEntry *entry, gfc_peer *self);
bool EntryMembers_IsHeard(const GfCellEntry *entry, const Peer *peer);
void EntryMembers_Beat(GfCellEntry *entry, Peer *peer);
void EntryMembers_Destroy(GfCellEntry *entry);
extern const GfRpcProgram CELL_PEER_PROGRAM;

/* ownership.c: who owns the cell. */
void EntryOwnership_Tick(GfCellEntry *entry, struct timespec now);
void EntryOwnership_TakeReply(GfCellEntry *entry, Peer *peer,
                              const gfc_beat_reply *reply);
void EntryOwnership_Announce(GfCellEntry *entry);
void EntryOwnership_TakeBeat(GfCellEntry *entry, const Peer *peer,
                             const gfc_beat *beat);
bool EntryOwnership_Yields(GfCellEntry *entry);
uint32_t EntryOwnership_Strength(const GfCellEntry *entry);
void EntryOwnership_Lost(GfCellEntry *entry, const char *cause);
Peer *EntryOwnership_Peer(GfCellEntry *entry);

/* term.c: this entry as the owner. */
void EntryTerm_Begin(GfCellEntry *entry, int64_t token);
void EntryTerm_End(GfCellEntry *entry);
void EntryTerm_Tick(GfCellEntry *entry, struct timespec now);
GfCell *EntryTerm_Cell(const GfCellEntry *entry);
bool EntryTerm_IsReady(const GfCellEntry *entry);
bool EntryTerm_CommitIsLate(const GfCellEntry *entry);
void EntryTerm_ConfigChanged(GfCellEntry *entry);
void EntryTerm_TakeJobRow(GfCellEntry *entry, const char *id,
                          const char *value, size_t len,
                          const json_t *progress, bool former_term);
int64_t EntryTerm_Token(const GfCellEntry *entry);
int64_t EntryTerm_AgeMs(const GfCellEntry *entry);
int64_t EntryTerm_StoreMs(const GfCellEntry *entry);

/* load.c: reads what a term begins with. */
typedef void (*LoadDone)(GfCellEntry *entry, int64_t version);
typedef struct Load Load;
Load *Load_Start(GfCellEntry *entry, GfCell *cell, LoadDone done);
void Load_Cancel(Load *load);

/* accept.c: storing a job. */
typedef void (*AcceptDone)(void *arg, GfErrorKind kind);
void EntryAccept_Refuse(GfCellEntry *entry, const GfName *id,
                        const GfName *queue, GfStr row, int64_t patience_ms,
                        GfErrorKind refusal, AcceptDone done, void *arg);
void EntryAccept_Start(GfCellEntry *entry, const GfName *id,
                       const GfName *queue, GfStr row, int64_t patience_ms,
                       bool for_peer, AcceptDone done, void *arg);
void EntryAccept_Report(GfCellEntry *entry, const GfName *id,
                        const GfName *queue, const GfStr *row);
bool EntryAccept_StoreIsAway(const GfCellEntry *entry);

/* jobs.c: callers' requests. */
void EntryJobs_HandlePeer(GfCellEntry *entry, const gfc_job_call *call,
                          GfRpcCall *rpc);

void EntryStore_Note(GfCellEntry *entry, GfTableResult result);
bool EntryStore_Answers(const GfCellEntry *entry);

#endif
