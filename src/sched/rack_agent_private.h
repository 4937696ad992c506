/* Data and functions that the files of a rack's scheduler share: rack_agent.c
 * (terms and handover), rack_leases.c (lease calls), rack_tasks.c (tasks),
 * rack_requests.c (requests to services) and rack_allot.c (allotments). */
#ifndef GUAVAFLOW_SCHED_RACK_AGENT_PRIVATE_H
#define GUAVAFLOW_SCHED_RACK_AGENT_PRIVATE_H

#include <uthash.h>

#include "guavaflow/rack_agent.h"

/* Partitions that a rack keeps fences for; others can't place tasks. */
#define RACK_MAX_FENCES 256
/* Workers that are considered for a task. */
#define RACK_MAX_WORKERS 256

/* A task whose completion is durable with the owner of its job. The next lease
 * call tells the worker, which may then forget the task. */
typedef struct RackAck {
    GfName task;
    UT_hash_handle hh;
} RackAck;

/* A worker of the rack and the state of the lease calls to it. The worker's
 * lease and inventory are in GfRack. */
typedef struct RackWorker {
    GfRackAgent *agent;
    GfName name;
    char address[64];
    uint16_t port;
    GfHostState state;
    bool gone; /* the platform reports it as gone */
    struct timespec gone_at;
    int calls;    /* lease calls without an answer yet */
    bool fencing; /* one of them asks for a new lease */
    bool acking;  /* one of them carries acknowledgements */
    struct timespec next_call;
    RackAck *acks;
    uint32_t starts;   /* tasks started since the last exclusion */
    uint32_t failures; /* tasks failed since then */
    struct timespec excluded_until; /* gets no new tasks before */
} RackWorker;

/* A target: one instance of a service with a number of request slots. */
typedef struct RackInstance {
    GfName name;
    char address[64];
    uint16_t port;
    GfHostState state;
    GfName service;
    uint32_t slots;
    uint32_t busy; /* slots taken by requests of this entry */
    struct timespec backed_off_until; /* gets no requests before */
    uint32_t failures; /* calls in a row without a valid response */
} RackInstance;

typedef struct RackRequest RackRequest;
typedef struct RackBatch RackBatch;

/* A start that was sent and has no result yet: where its result goes in the
 * batch. */
typedef struct RackStart {
    GfName task;
    RackBatch *batch;
    size_t index;
    UT_hash_handle hh;
} RackStart;

/* The slots of the rack that the requests of one team take. */
typedef struct {
    GfName team;
    uint32_t requests;
    UT_hash_handle hh;
} RackTeamLoad;

/* A team's demand for allotment. */
typedef struct {
    GfName team;
    GfQuota wanted_amount; /* total need of what was refused */
    GfQuota min_amount;    /* shortfall of what was refused last */
    GfQuota peak;          /* highest use since surplus was last looked for */
    UT_hash_handle hh;
} RackDemand;

/* The step that the rack's allotments are in. */
typedef enum {
    ALLOT_UNREAD,      /* the rack's row must be read */
    ALLOT_READING,     /* reading it */
    ALLOT_CLAIMING,    /* writing it with this entry as the holder */
    ALLOT_READY,       /* no store operation is open */
    ALLOT_TRANSFERRING /* moving amounts between the row and the pool */
} RackAllotState;

/* The rack's allotments and the store operation on them. */
typedef struct {
    RackAllotState state;
    uint64_t term;           /* the term that usable is valid for */
    uint64_t operation_term; /* the term in which the operation began */
    bool from_inventory;     /* usable is what was found running, as the store
                                could not be reached */
    GfAllotments *usable;    /* allotments that the rack may use now */
    GfAllotments *pool;
    GfAllotments *planned; /* allotments once the operation is committed */
    int64_t row_version;
    int64_t pool_version;
    RackDemand *demand;
    struct timespec next_try;
    struct timespec next_return; /* when surplus is next given back */
} RackAllot;

/* The scheduler of one rack. */
struct GfRackAgent {
    const GfRackEnv *env;
    GfName name;
    GfName domain;
    GfRack *rack;
    RackWorker **workers;
    size_t worker_count;
    RackInstance *instances;
    size_t instance_count;
    bool wanted;         /* this entry should schedule the rack */
    bool handing_over;   /* no new work; leases are released when idle */
    bool released_clean; /* released with no request running */
    /* Sums of the workers' lease ids: at this entry's release, at the clean
     * release of the former holder (0 if none is known), and at the first
     * complete inventory of the term (0 before). */
    uint64_t released_lease_sum;
    uint64_t predecessor_lease_sum;
    uint64_t term_lease_sum;
    bool lease_refused; /* a worker refused a lease since the last term */
    uint64_t term;      /* the running term, 0 if there is none */
    struct timespec term_started;
    struct timespec minority_since; /* start of holding no majority */
    struct timespec back_off_until; /* no leases are requested before */
    struct timespec next_drain;
    struct timespec next_enforcement;
    RackStart *starts;
    /* By partition: placements up to this epoch and seq are refused. */
    struct {
        uint64_t epoch;
        uint64_t seq;
    } fences[RACK_MAX_FENCES];
    RackRequest *queue; /* requests that wait for a slot */
    uint32_t queued;    /* their number */
    uint32_t running;   /* slots that requests take */
    RackTeamLoad *team_loads;
    RackAllot allot;
    uint32_t random; /* state of the generator, never 0 */
};

bool RackAgent_IsCleanTakeover(const GfRackAgent *agent);
struct timespec RackAgent_Now(const GfRackAgent *agent);
uint32_t RackAgent_Random(GfRackAgent *agent);
RackWorker *RackAgent_FindWorker(GfRackAgent *agent, const GfName *name);
bool RackAgent_MayStart(GfRackAgent *agent, GfErrorKind *why);

void RackLeases_CallWorker(RackWorker *worker, bool fence);
void RackLeases_Call(GfRackAgent *agent, struct timespec now);
void RackLeases_ReleaseAll(GfRackAgent *agent);

void RackTasks_OnPendingStart(void *ctx, const GfName *worker,
                              const GfTaskSpec *spec, bool seen);
void RackTasks_Drain(GfRackAgent *agent);
void RackTasks_EnforceLimits(GfRackAgent *agent);

void RackRequests_Tick(GfRackAgent *agent);
void RackRequests_Fail(GfRackAgent *agent, GfErrorKind kind);
void RackRequests_View(GfRackAgent *agent, GfRackView *view);
uint32_t RackRequests_TeamLoad(const GfRackAgent *agent, const GfName *team);
void RackRequests_SetTarget(GfRackAgent *agent, const GfHost *host);

void RackAllot_Init(GfRackAgent *agent);
void RackAllot_Clear(GfRackAgent *agent);
void RackAllot_Tick(GfRackAgent *agent);
bool RackAllot_IsKnown(const GfRackAgent *agent);
uint64_t RackAllot_Excess(GfRackAgent *agent, const GfName *team);
bool RackAllot_Admits(GfRackAgent *agent, const GfName *team, GfQuota need);

#endif
