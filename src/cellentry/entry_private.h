/* Internals of a cell entry, shared by its files: the configuration, the
 * peers, what is known of the owner, and the term if this entry is the
 * owner. */
#ifndef GUAVAFLOW_CELLENTRY_PRIVATE_H
#define GUAVAFLOW_CELLENTRY_PRIVATE_H

#include <event2/event.h>
#include <uthash.h>

#include "../rpc/cell_xdr.h"
#include "guavaflow/cell_entry.h"
#include "guavaflow/job_row.h"
#include "guavaflow/owner_silence.h"
#include "guavaflow/rpc.h"

#define ENTRY_CELL_TABLE "cell"
#define ENTRY_JOB_TABLE "jobs"
#define ENTRY_PROGRESS_TABLE "progress"
/* The part that holds the owner's row and everything that only the owner
 * writes. */
#define ENTRY_OWNER_PART "owner"
/* Keys in the cell table: the owner's row, the row that orders the owner's
 * commits, the list of workers that hold a lease, and the last owner that is
 * known to have outlasted all before it. */
#define ENTRY_OWNER_KEY "owner"
#define ENTRY_COMMIT_KEY "commit"
#define ENTRY_LEASED_KEY "leased"
#define ENTRY_SETTLED_KEY "settled"

typedef struct Peer Peer;
typedef struct Term Term;
typedef struct TableWatch TableWatch;

/* Receives rows of a watched table, which are valid during the call. whole:
 * rows is the complete table, otherwise the rows that changed. */
typedef void (*TableWatchCallback)(GfCellEntry *entry, const GfTableRow *rows,
                                   size_t count, bool whole);

/* A replaced connection, kept so that its calls in progress still get their
 * outcome. */
typedef struct RetiredClient {
    GfRpcClient *client;
    struct RetiredClient *next;
} RetiredClient;

/* Another entry of the cell, or a seed whose name is not known yet. */
struct Peer {
    GfCellEntry *entry;
    GfName name;
    char address[64];
    uint16_t port;
    uint64_t incarnation; /* start of its process, wall clock in ms; 0: not
                           * known */
    GfRpcClient *client;
    struct timespec last_contact_at; /* last direct contact */
    bool contacted;                  /* there was direct contact */
    bool heartbeat_open;             /* a heartbeat is in progress */
    struct timespec heartbeat_at;    /* when the last one was sent */
    bool is_member;                /* in the newest list that an owner sent */
    uint32_t lost_heartbeats;      /* heartbeats in a row whose connection was
                                    * refused or lost */
    struct timespec first_lost_at; /* when the first of them failed */
    bool stopping;
    bool store_unreachable;   /* as it reported last */
    uint32_t strength;        /* thousandths of a processor; 0: unknown */
    uint64_t config_version;  /* newest configuration that it reported */
    struct timespec added_at; /* when it was added */
    UT_hash_handle hh;
};

/* What this entry knows of the owner. */
typedef struct {
    GfName name;
    uint64_t incarnation;            /* of the claiming process; 0: unknown */
    int64_t token;                   /* 0: no owner is known */
    struct timespec last_contact_at; /* last direct contact */
    struct timespec store_unreachable_since; /* while store_unreachable */
    bool store_unreachable;                  /* as it reports */
    bool ready;                              /* its term is loaded */
    bool stopping;                           /* it wants to be replaced */
    bool denies_ownership; /* it does not own the cell any more: it answered
                            * so, or is this entry, which has no term */
    int64_t store_ms;      /* duration of its last commit */
} OwnerView;

struct GfCellEntry {
    struct event_base *base;
    const GfCellEntrySettings *settings;
    const GfClock *clock;
    GfTable *table;
    GfCommands *commands;
    const GfDecoder *decoder;
    GfName self;
    uint64_t incarnation; /* start of this process, wall clock in ms */
    struct event *tick;
    struct timespec started_at;
    GfRpcServer *rpc;

    GfCellConfig *config;      /* NULL: none is known */
    GfStr config_text;         /* its document, to send to peers */
    GfName *evacuated_domains; /* failure domains out of service */
    size_t evacuated_count;
    TableWatch *operator_watch;
    bool fetching_config; /* a fetch from a peer is in progress */
    /* The newest version that a peer reported, and since when a version newer
     * than ours is known. */
    uint64_t newer_version;
    struct timespec newer_since;
    struct timespec next_fetch_at; /* no fetch before this time */

    Peer *peers; /* hash table by name */
    RetiredClient *retired_clients;
    uint64_t members_digest; /* of the owner's list of members, as the owner
                              * last reported it */
    OwnerView owner;
    GfOwnerSilence silence;
    struct timespec next_heartbeat_at;
    struct timespec claim_at; /* no claim before this time */
    bool claim_scheduled;     /* a claim is due at claim_at */
    bool reading_owner_row;   /* a read of the owner's row is in progress */
    bool claiming;            /* a claim is in progress */
    uint64_t claim_nonce;     /* of the last claim without an answer */
    int64_t owner_row_version;
    bool owner_row_known; /* owner_row_version is the newest one seen, and no
                           * claim of ours may have changed it since */
    size_t next_seed;     /* index of the seed to contact next */
    size_t next_peer;     /* index of the peer to contact next */
    /* Last contact with the owner that a peer reported, and that peer. */
    struct timespec relay_contact_at;
    GfName relay;

    struct timespec store_answered_at; /* last answer of the store */
    struct timespec store_failed_at;
    bool store_failed;                 /* the store counts as unreachable */
    struct timespec store_returned_at; /* end of the last outage */
    int64_t store_outage_ms;    /* length of the outage that has just ended */
    struct event *store_probe;  /* timer of the next probe */
    struct event *store_return; /* active when an outage has ended */
    uint32_t store_probes;      /* probes since the store became unreachable */
    struct timespec store_probed_at;
    bool store_check_open;          /* a check is in progress */
    struct timespec store_check_at; /* when the last check was sent */

    GfAdmission admission; /* the limits that the owner applies */

    Term *term; /* NULL: this entry is not the owner */
    uint32_t term_count;
    bool stopping;      /* a planned stop has begun */
    double loop_lag_ms; /* smoothed lateness of ticks */
    struct timespec tick_due_at;
    uint32_t last_owner_strength; /* 0: not known */
};

/* table_watch.c: watching a table of the store. */
TableWatch *TableWatch_Create(GfCellEntry *entry, const char *table,
                              bool job_parts, int wait_ms, int pause_ms,
                              TableWatchCallback callback);
void TableWatch_Start(TableWatch *watch);
void TableWatch_StartAfter(TableWatch *watch, int64_t version,
                           struct timespec read_at);
int64_t TableWatch_AgeMs(const TableWatch *watch);
void TableWatch_SetWait(TableWatch *watch, int wait_ms);
void TableWatch_Resume(TableWatch *watch);
void TableWatch_Destroy(TableWatch *watch);

/* forecast.c: the owner's forecast between entries. */
typedef struct {
    gfc_queue_forecast queues[GFC_MAX_QUEUES];
    gfc_team_wait waits[GFC_MAX_WAITS];
} ForecastRows;
void EntryForecast_Fill(GfCellEntry *entry, uint64_t known_number,
                        ForecastRows *rows, gfc_forecast *out);
uint64_t EntryForecast_KnownNumber(const GfCellEntry *entry);
void EntryForecast_Apply(GfCellEntry *entry, const Peer *from,
                         struct timespec sent_at,
                         const gfc_forecast *forecast);

/* control.c: the operators' configuration. */
void EntryControl_Begin(GfCellEntry *entry);
void EntryControl_SetOwner(GfCellEntry *entry, bool owner);
int64_t EntryControl_WatchAgeMs(const GfCellEntry *entry);
void EntryControl_ApplyConfig(GfCellEntry *entry, const char *text, size_t len,
                              const char *source);
void EntryControl_SyncWithPeer(GfCellEntry *entry, Peer *peer,
                               uint64_t version);

/* peers.c: other entries. */
Peer *EntryMembers_FindOrCreate(GfCellEntry *entry, const GfName *name,
                                const char *address, uint16_t port,
                                uint64_t incarnation);
Peer *EntryMembers_Find(GfCellEntry *entry, const GfName *name);
Peer *EntryMembers_FromXdr(GfCellEntry *entry, const gfc_peer *xdr);
void EntryMembers_DescribeSelf(GfCellEntry *entry, gfc_peer *self);
bool EntryMembers_IsInContact(const GfCellEntry *entry, const Peer *peer);
void EntryMembers_SendHeartbeat(GfCellEntry *entry, Peer *peer);
void EntryMembers_Destroy(GfCellEntry *entry);
extern const GfRpcProgram CELL_PEER_PROGRAM;

/* ownership.c: who owns the cell. */
void EntryOwnership_Tick(GfCellEntry *entry, struct timespec now);
void EntryOwnership_HandleReply(GfCellEntry *entry, Peer *peer,
                                const gfc_beat_reply *reply);
void EntryOwnership_Announce(GfCellEntry *entry);
void EntryOwnership_HandleHeartbeat(GfCellEntry *entry, const Peer *peer,
                                    const gfc_beat *heartbeat);
bool EntryOwnership_ShouldYield(GfCellEntry *entry);
uint32_t EntryOwnership_Strength(const GfCellEntry *entry);
void EntryOwnership_GiveUp(GfCellEntry *entry, const char *cause);
Peer *EntryOwnership_OwnerPeer(GfCellEntry *entry);

/* term.c: this entry as the owner. */
void EntryTerm_Begin(GfCellEntry *entry, int64_t token,
                     const OwnerView *former);
void EntryTerm_HandleFormerOwner(GfCellEntry *entry, const Peer *peer,
                                 const gfc_beat_reply *reply);
void EntryTerm_End(GfCellEntry *entry);
void EntryTerm_Tick(GfCellEntry *entry, struct timespec now);
GfCell *EntryTerm_Cell(const GfCellEntry *entry);
bool EntryTerm_IsReady(const GfCellEntry *entry);
bool EntryTerm_CommitIsLate(const GfCellEntry *entry);
void EntryTerm_ResumeWatches(GfCellEntry *entry);
void EntryTerm_ApplyConfig(GfCellEntry *entry);
void EntryTerm_AddJobRow(GfCellEntry *entry, const char *id, const char *value,
                         size_t len, const json_t *progress, bool former_term);
int64_t EntryTerm_Token(const GfCellEntry *entry);
int64_t EntryTerm_AgeMs(const GfCellEntry *entry);
int64_t EntryTerm_StoreMs(const GfCellEntry *entry);

/* term_loader.c: loads the state that a term starts from. done is called once,
 * with the version after which changes must be watched. */
typedef void (*TermLoaderDone)(GfCellEntry *entry, int64_t version);
typedef struct TermLoader TermLoader;
TermLoader *TermLoader_Start(GfCellEntry *entry, GfCell *cell,
                             TermLoaderDone done);
void TermLoader_Cancel(TermLoader *loader);

/* accept.c: storing a job. done is called once. */
typedef void (*AcceptDone)(void *arg, GfErrorKind kind);
void EntryAccept_RefuseUnlessStored(GfCellEntry *entry, const GfName *id,
                                    const GfName *queue, GfStr row,
                                    int64_t caller_timeout_ms,
                                    GfErrorKind refusal, AcceptDone done,
                                    void *arg);
void EntryAccept_Start(GfCellEntry *entry, const GfName *id,
                       const GfName *queue, GfStr row,
                       int64_t caller_timeout_ms, bool for_peer,
                       AcceptDone done, void *arg);
void EntryAccept_NotifyOwner(GfCellEntry *entry, const GfName *id,
                             const GfName *queue, const GfStr *row);
bool EntryAccept_StoreIsUnavailable(const GfCellEntry *entry);

/* jobs.c: callers' requests. */
void EntryJobs_HandlePeer(GfCellEntry *entry, const gfc_job_call *call,
                          GfRpcCall *rpc);

/* store_state.c: whether the store is reachable. */
void EntryStore_Begin(GfCellEntry *entry);
void EntryStore_End(GfCellEntry *entry);
void EntryStore_RecordResult(GfCellEntry *entry, GfTableResult result);
void EntryStore_Check(GfCellEntry *entry);
bool EntryStore_IsReachable(const GfCellEntry *entry);
int64_t EntryStore_FailedMs(const GfCellEntry *entry);
void EntryStore_HandleReport(GfCellEntry *entry, Peer *peer, bool reaches);
void EntryStore_HandleNews(GfCellEntry *entry);

#endif
