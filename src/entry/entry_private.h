/* Types and functions shared by the source files of the entry and by the
 * front end and the admin API. The entry runs on one event loop and is not
 * thread-safe. Fields of type struct timespec are times of the entry's clock;
 * a zero tv_sec means "not yet". */
#ifndef GUAVAFLOW_ENTRY_PRIVATE_H
#define GUAVAFLOW_ENTRY_PRIVATE_H

#include "guavaflow/control.h"
#include "guavaflow/entry.h"
#include "guavaflow/fleet.h"
#include "guavaflow/hosts.h"
#include "guavaflow/idem.h"
#include "guavaflow/journal.h"
#include "guavaflow/job_tracker.h"
#include "guavaflow/member.h"
#include "guavaflow/rack_agent.h"
#include "guavaflow/rpc.h"
#include "guavaflow/server.h"
#include "guavaflow/store.h"
#include "../rpc/peer_xdr.h"

#define ENTRY_MAX_PARTITIONS 256

typedef struct EntryPeer EntryPeer;
typedef struct EntryIdemOp EntryIdemOp;

/* A partition of jobs and idempotency keys. */
typedef struct {
    GfEntry *entry;
    uint32_t number;
    GfJournal *journal;
    GfIdem *idem;
    /* The owner by heartbeats: of all claims reported, the one with the
     * highest epoch. The name is empty if none is known. */
    GfName owner;
    uint64_t owner_epoch;
    struct timespec owner_contact; /* its last report of owning this */
    /* The owner by the head row in the store, and since when that process has
     * not been seen to renew its member row. */
    GfName head_owner;
    int64_t head_incarnation; /* as stored: without the low two bits */
    struct timespec silent_since;
    bool silent_since_set;
    struct timespec next_find_at; /* next inventory query, if not urgent */
} EntryPartition;

/* A member's row in the store, as last read. */
typedef struct {
    GfName name;
    int64_t incarnation; /* as stored: without the low two bits */
    int64_t version;
    bool listed;                /* whether the last read returned the row */
    struct timespec changed_at; /* when this version was first read */
} EntryMemberRow;

struct GfEntry {
    struct event_base *base; /* borrowed, like settings and clock */
    const GfSettings *settings;
    const GfClock *clock;
    GfName member;        /* name of this entry */
    uint64_t incarnation; /* random number of this process */
    GfHttp *http;
    GfStore *store;
    GfHosts *hosts;
    GfControl *control;
    GfMembers *members;
    GfFleet *fleet;
    GfJobTracker *job_tracker;
    GfServer *server;
    GfRpcServer *rpc;
    EntryPeer *peers;

    /* Racks in the host list: three arrays with the same index. */
    GfRackEnv rack_env;
    GfRackAgent **racks;
    struct timespec *stand_in_until; /* end of standing in for another entry */
    bool *should_hold;               /* whether this entry is to schedule it */
    size_t rack_count;

    EntryPartition partitions[ENTRY_MAX_PARTITIONS];
    EntryMemberRow *member_rows; /* of the other members */
    size_t member_row_count;

    /* This entry's own member row. Each renewal extends the member lease,
     * under which the entry may act for its partitions. */
    int64_t own_row_version;
    bool own_row_pending;     /* a renewal or check is in progress */
    bool own_row_unconfirmed; /* partition heads must be checked first */
    struct timespec own_row_sent_at;
    struct timespec member_lease_until;

    EntryIdemOp *idem_ops;
    struct event *tick_timer;
    struct event *heartbeat_timer;
    struct event *poll_timer;
    struct timespec store_contact; /* last reply of the store */
    struct timespec started_at;
    struct timespec last_tick;
    bool control_read_pending;
    struct timespec control_read_at; /* when the last read was sent */
    bool bootstrapping;              /* the first bundle is being written */
    bool fetching_control; /* a peer was asked for the control state */
    bool stopping;
    struct timespec stop_began_at;
    int open_calls;        /* routed requests and job calls in progress */
    double retry_tokens;   /* one is spent for each retry of a request */
    uint32_t random_state; /* never 0 */
};

/* The RPC program between entries; ctx of its handlers is the entry. */
extern const GfRpcProgram ENTRY_PEER_PROGRAM;

struct timespec Entry_Now(const GfEntry *entry);
uint32_t Entry_Random(GfEntry *entry);
bool Entry_StoreIsReachable(const GfEntry *entry);
GfRackAgent *Entry_FindRack(const GfEntry *entry, const GfName *name);
bool Entry_IsSelf(const GfEntry *entry, const GfName *member);

void EntryPeers_Create(GfEntry *entry);
void EntryPeers_Destroy(GfEntry *entry);
void EntryPeers_SendHeartbeats(GfEntry *entry);
void EntryPeers_HandleHeartbeat(GfEntry *entry, const gfx_beat *heartbeat);
bool EntryPeers_Call(GfEntry *entry, const GfName *member, uint32_t procedure,
                     void *args, size_t result_bytes, int timeout_ms,
                     GfRpcCallback callback, void *arg);

void EntryControl_Poll(GfEntry *entry);
void EntryControl_FetchFrom(GfEntry *entry, const GfName *member);
void EntryControl_Commit(GfEntry *entry, json_t *next, json_t *audit,
                         GfAnswerCallback callback, void *arg);
json_t *EntryControl_ListOutdatedMembers(GfEntry *entry, uint64_t version);

void EntryPartitions_Create(GfEntry *entry);
void EntryPartitions_Destroy(GfEntry *entry);
void EntryPartitions_Poll(GfEntry *entry);
void EntryPartitions_Tick(GfEntry *entry);
bool EntryPartitions_FindOwner(const GfEntry *entry, uint32_t partition,
                               GfName *owner);
void EntryPartitions_NoteOwner(GfEntry *entry, uint32_t partition,
                               uint64_t epoch, const GfName *owner);
bool EntryPartitions_MayPlace(const GfEntry *entry, uint32_t partition);
bool EntryPartitions_AreReleased(const GfEntry *entry);
uint32_t EntryPartitions_ForId(const GfEntry *entry, const GfName *id);

/* Callbacks by which the job tracker reaches racks and journals; ctx is the
 * entry. */
extern const GfJobTrackerOps ENTRY_JOB_TRACKER_OPS;

void EntryJobs_LocateTasks(GfEntry *entry);
void EntryJobs_ReportCompletions(GfEntry *entry);
void EntryJobs_HandleCall(GfEntry *entry, const gfx_job_call *call,
                          GfAnswerCallback callback, void *arg);

/* What a call about a job asks for; also the verb of gfx_job_call, so the
 * order is part of the protocol between entries. */
typedef enum {
    ENTRY_JOB_SUBMIT,
    ENTRY_JOB_STATUS,
    ENTRY_JOB_CANCEL
} EntryJobVerb;
void EntryJobs_Submit(GfEntry *entry, const GfName *team, const GfName *key,
                      const GfStr *body, int32_t time_ms,
                      GfAnswerCallback callback, void *arg);
void EntryJobs_CallOwner(GfEntry *entry, EntryJobVerb verb, const GfName *job,
                         const GfName *team, int32_t time_ms,
                         GfAnswerCallback callback, void *arg);

/* A request to a service. */
typedef struct {
    GfName id;
    GfName service;
    GfName team;
    GfName key;           /* idempotency key; empty if the caller sent none */
    bool repeatable;      /* may be run again if its outcome is unknown */
    int32_t remaining_ms; /* time left until its deadline */
    GfStr body;
} EntryRequest;

void EntryRequests_Serve(GfEntry *entry, const EntryRequest *request,
                         GfAnswerCallback callback, void *arg);
void EntryRequests_Route(GfEntry *entry, const EntryRequest *request,
                         GfAnswerCallback callback, void *arg);
void EntryIdem_Run(GfEntry *entry, const EntryRequest *request,
                   GfAnswerCallback callback, void *arg);
void EntryIdem_DetachPartition(GfEntry *entry, uint32_t partition);
void EntryIdem_Destroy(GfEntry *entry);

void EntryFront_Handle(void *ctx, GfExchange *exchange);
void EntryAdmin_Handle(GfEntry *entry, GfExchange *exchange,
                       const GfName *operator_name, const GfStr *text);

GfAnswer EntryXdr_ToAnswer(const gfx_answer *xdr);
void EntryXdr_FromAnswer(const GfAnswer *answer, gfx_answer *xdr);

#endif
