/* What the parts of an entry share. */
#ifndef GUAVAFLOW_ENTRY_PRIVATE_H
#define GUAVAFLOW_ENTRY_PRIVATE_H

#include "guavaflow/control.h"
#include "guavaflow/entry.h"
#include "guavaflow/fleet.h"
#include "guavaflow/hosts.h"
#include "guavaflow/idem.h"
#include "guavaflow/journal.h"
#include "guavaflow/keeper.h"
#include "guavaflow/member.h"
#include "guavaflow/rack_agent.h"
#include "guavaflow/rpc.h"
#include "guavaflow/server.h"
#include "guavaflow/store.h"
#include "../rpc/peer_xdr.h"

#define ENTRY_MAX_PARTITIONS 256

typedef struct EntryPeer EntryPeer;
typedef struct EntryIdemOp EntryIdemOp;

/* A partition: its journal, and what is known of its owner. */
typedef struct {
    GfEntry *entry;
    uint32_t number;
    GfJournal *journal;
    GfIdem *idem;
    GfName owner;
    uint64_t owner_epoch;
    struct timespec owner_heard;
    GfName head_owner;
    int64_t head_incarnation;
    struct timespec suspect_since;
    bool suspect;
    struct timespec next_find;
} EntryPartition;

/* What the store last showed of a member's row. */
typedef struct {
    GfName name;
    int64_t incarnation;
    int64_t version;
    bool listed;
    struct timespec seen_at;
} EntryMemberRow;

struct GfEntry {
    struct event_base *base;
    const GfSettings *settings;
    const GfClock *clock;
    GfName member;
    uint64_t incarnation;
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
    GfRackEnv rack_env;
    GfRackAgent **racks;
    struct timespec *keep_until;
    bool *wanted;
    size_t rack_count;
    EntryPartition partitions[ENTRY_MAX_PARTITIONS];
    EntryMemberRow *rows;
    size_t row_count;
    int64_t own_row_version;
    bool own_row_busy;
    bool own_row_doubted;
    struct timespec own_row_sent;
    struct timespec alive_until;
    EntryIdemOp *idem_ops;
    struct event *fast_timer;
    struct event *beat_timer;
    struct event *slow_timer;
    struct timespec store_heard;
    struct timespec started;
    struct timespec last_fast;
    bool reading_control;
    struct timespec control_asked;
    bool bootstrapping;
    bool fetching_control;
    bool stopping;
    struct timespec stop_began;
    int open_calls;
    double retry_tokens;
    uint32_t random;
};

extern const GfRpcProgram ENTRY_PEER_PROGRAM;

struct timespec Entry_Now(const GfEntry *entry);
uint32_t Entry_Random(GfEntry *entry);
bool Entry_HasStore(const GfEntry *entry);
GfRackAgent *Entry_FindRack(const GfEntry *entry, const GfName *name);
bool Entry_IsSelf(const GfEntry *entry, const GfName *member);

void EntryPeers_Create(GfEntry *entry);
void EntryPeers_Destroy(GfEntry *entry);
void EntryPeers_SendBeats(GfEntry *entry);
void EntryPeers_TakeBeat(GfEntry *entry, const gfx_beat *beat);
bool EntryPeers_Call(GfEntry *entry, const GfName *member, uint32_t procedure,
                     void *args, size_t result_bytes, int timeout_ms,
                     GfRpcCallback callback, void *arg);

void EntryControl_Poll(GfEntry *entry);
void EntryControl_FetchFrom(GfEntry *entry, const GfName *member);
void EntryControl_Commit(GfEntry *entry, json_t *next, json_t *audit,
                         GfAnswerCallback callback, void *arg);
json_t *EntryControl_Missing(GfEntry *entry, uint64_t version);

void EntryPartitions_Create(GfEntry *entry);
void EntryPartitions_Destroy(GfEntry *entry);
void EntryPartitions_Poll(GfEntry *entry);
void EntryPartitions_Tick(GfEntry *entry);
bool EntryPartitions_Owner(const GfEntry *entry, uint32_t partition,
                           GfName *owner);
void EntryPartitions_NoteOwner(GfEntry *entry, uint32_t partition,
                               uint64_t epoch, const GfName *owner);
bool EntryPartitions_MayPlace(const GfEntry *entry, uint32_t partition);
bool EntryPartitions_AreReleased(const GfEntry *entry);
uint32_t EntryPartitions_Of(const GfEntry *entry, const GfName *id);

extern const GfJobTrackerOps ENTRY_JOB_TRACKER_OPS;
void EntryJobs_Find(GfEntry *entry);
void EntryJobs_SendEvents(GfEntry *entry);
void EntryJobs_HandleJob(GfEntry *entry, const gfx_job_call *call,
                         GfAnswerCallback callback, void *arg);

typedef enum {
    ENTRY_JOB_SUBMIT,
    ENTRY_JOB_STATUS,
    ENTRY_JOB_CANCEL
} EntryJobVerb;
void EntryJobs_Submit(GfEntry *entry, const GfName *team, const GfName *key,
                      const GfStr *body, int32_t time_ms,
                      GfAnswerCallback callback, void *arg);
void EntryJobs_Ask(GfEntry *entry, EntryJobVerb verb, const GfName *job,
                   const GfName *team, int32_t time_ms,
                   GfAnswerCallback callback, void *arg);

/* A request to a service on its way through this entry. key is empty unless
 * the request must not run twice. */
typedef struct {
    GfName id;
    GfName service;
    GfName team;
    GfName key;
    bool repeatable;
    int32_t time_ms;
    GfStr body;
} EntryRequest;

void EntryRequests_Serve(GfEntry *entry, const EntryRequest *request,
                         GfAnswerCallback callback, void *arg);
void EntryRequests_Route(GfEntry *entry, const EntryRequest *request,
                         GfAnswerCallback callback, void *arg);
void EntryIdem_Run(GfEntry *entry, const EntryRequest *request,
                   GfAnswerCallback callback, void *arg);
void EntryIdem_Lost(GfEntry *entry, uint32_t partition);
void EntryIdem_Destroy(GfEntry *entry);

void EntryFront_Handle(void *ctx, GfExchange *exchange);
void EntryAdmin_Handle(GfEntry *entry, GfExchange *exchange,
                       const GfName *operator_name);

GfAnswer EntryXdr_ToAnswer(const gfx_answer *xdr);
void EntryXdr_FromAnswer(const GfAnswer *answer, gfx_answer *xdr);

#endif
