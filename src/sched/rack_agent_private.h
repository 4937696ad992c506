/* What the parts of a rack's scheduler share. */
#ifndef GUAVAFLOW_SCHED_RACK_AGENT_PRIVATE_H
#define GUAVAFLOW_SCHED_RACK_AGENT_PRIVATE_H

#include <uthash.h>

#include "guavaflow/rack_agent.h"

#define RACK_MAX_FENCES 256
#define RACK_MAX_WORKERS 256

/* A task whose end is durable; the worker is to be told. */
typedef struct RackAck {
    GfName task;
    UT_hash_handle hh;
} RackAck;

/* A worker of the rack and the lease calls to it. */
typedef struct RackWorker {
    GfRackAgent *agent;
    GfName name;
    char address[64];
    uint16_t port;
    GfHostState state;
    bool gone;
    struct timespec gone_at;
    int calls;
    bool fencing;
    bool acking;
    struct timespec next_call;
    RackAck *acks;
    uint32_t starts;
    uint32_t failures;
    struct timespec aside_until;
} RackWorker;

/* An instance of a service on a target. */
typedef struct RackInstance {
    GfName name;
    char address[64];
    uint16_t port;
    GfHostState state;
    GfName service;
    uint32_t slots;
    uint32_t busy;
    struct timespec down_until;
    uint32_t failures;
} RackInstance;

typedef struct RackRequest RackRequest;
typedef struct RackBatch RackBatch;

/* A start that waits for the worker's answer. */
typedef struct RackStart {
    GfName task;
    RackBatch *batch;
    size_t index;
    UT_hash_handle hh;
} RackStart;

typedef struct {
    GfName team;
    uint32_t requests;
    UT_hash_handle hh;
} RackTeamLoad;

/* What a team lacks: in all, and for the last thing that was refused; and the
 * most that it used lately. */
typedef struct {
    GfName team;
    GfQuota lacking;
    GfQuota least;
    GfQuota peak;
    UT_hash_handle hh;
} RackDemand;

typedef enum {
    ALLOT_UNREAD,
    ALLOT_READING,
    ALLOT_CLAIMING,
    ALLOT_READY,
    ALLOT_MOVING
} RackAllotState;

typedef struct {
    RackAllotState state;
    uint64_t term;
    uint64_t work_term;
    bool frozen;
    GfParts *parts;
    GfParts *pool;
    GfParts *next_parts;
    int64_t row_version;
    int64_t pool_version;
    RackDemand *demand;
    struct timespec next_try;
    struct timespec next_return;
} RackAllot;

struct GfRackAgent {
    const GfRackEnv *env;
    GfName name;
    GfName domain;
    GfRack *rack;
    RackWorker **workers;
    size_t worker_count;
    RackInstance *instances;
    size_t instance_count;
    bool wanted;
    bool closing;
    bool released_clean;
    uint64_t released_sum;
    uint64_t clean_sum;
    uint64_t first_sum;
    bool refused;
    uint64_t term;
    struct timespec term_started;
    struct timespec minority_since;
    struct timespec back_off_until;
    struct timespec next_drain;
    struct timespec next_enforcement;
    RackStart *starts;
    struct {
        uint64_t epoch;
        uint64_t seq;
    } fences[RACK_MAX_FENCES];
    RackRequest *queue;
    uint32_t queued;
    uint32_t running;
    RackTeamLoad *loads;
    RackAllot allot;
    uint32_t random;
};

bool RackAgent_IsCleanTakeover(const GfRackAgent *agent);
struct timespec RackAgent_Now(const GfRackAgent *agent);
uint32_t RackAgent_Random(GfRackAgent *agent);
RackWorker *RackAgent_FindWorker(GfRackAgent *agent, const GfName *name);
bool RackAgent_MayStart(GfRackAgent *agent, GfErrorKind *why);

void RackLeases_CallWorker(RackWorker *worker, bool fence);
void RackLeases_Call(GfRackAgent *agent, struct timespec now);
void RackLeases_ReleaseAll(GfRackAgent *agent);

void RackTasks_OnFlight(void *ctx, const GfName *worker,
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
