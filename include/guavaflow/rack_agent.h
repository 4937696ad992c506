/* The scheduler of one rack: renews the leases of its workers, starts and
 * stops tasks under them, and serves requests on the slots of its targets.
 * It starts work only in a term and within the rack's allotments. */
#ifndef GUAVAFLOW_RACK_AGENT_H
#define GUAVAFLOW_RACK_AGENT_H

#include "guavaflow/allot.h"
#include "guavaflow/answer.h"
#include "guavaflow/fleet.h"
#include "guavaflow/hosts.h"
#include "guavaflow/rack.h"
#include "guavaflow/settings.h"
#include "guavaflow/store.h"

typedef struct GfRackAgent GfRackAgent;

/* What all agents of an entry share. */
typedef struct {
    struct event_base *base;
    const GfClock *clock;
    GfHttp *http;
    GfStore *store;
    const GfControl *control;
    const GfSettings *settings;
    GfName holder;
    GfName member;
    uint64_t first_term;
    size_t *rack_count;
} GfRackEnv;

/* A task to place: bound to the rack's term and, by epoch and seq, to the
 * owner of its job's partition. */
typedef struct {
    GfName rack;
    uint64_t term;
    uint32_t partition;
    uint64_t epoch;
    uint64_t seq;
    GfTaskSpec spec;
} GfPlacement;

typedef struct {
    GfErrorKind kind;
    GfRan ran;
    GfName worker;
} GfPlaced;

typedef struct {
    GfName id;
    GfName service;
    GfName team;
    int32_t time_ms;
    GfStr body;
} GfServiceRequest;

typedef struct {
    GfName task;
    GfName rack;
    GfName worker;
    GfTaskState state;
    int exit_code;
} GfTaskEvent;

typedef void (*GfPlacedCallback)(void *arg, const GfPlaced *placed,
                                 size_t count);
typedef void (*GfEventCallback)(void *ctx, const GfTaskEvent *event);

GfRackAgent *GfRackAgent_Create(const GfRackEnv *env, const GfName *name,
                                const GfName *domain);
void GfRackAgent_Destroy(GfRackAgent *agent);
const GfName *GfRackAgent_Name(const GfRackAgent *agent);
void GfRackAgent_SetHost(GfRackAgent *agent, const GfHost *host);
void GfRackAgent_Tick(GfRackAgent *agent, bool wanted);
void GfRackAgent_NoteClean(GfRackAgent *agent, uint64_t lease_sum);
bool GfRackAgent_IsHeld(GfRackAgent *agent);
bool GfRackAgent_HoldsAny(GfRackAgent *agent);
bool GfRackAgent_WasReleasedClean(const GfRackAgent *agent,
                                  uint64_t *lease_sum);
void GfRackAgent_View(GfRackAgent *agent, GfRackView *view);
GfQuota GfRackAgent_TeamUse(GfRackAgent *agent, const GfName *team);

void GfRackAgent_Place(GfRackAgent *agent, const GfPlacement *placements,
                       size_t count, bool gang, GfPlacedCallback callback,
                       void *arg);
void GfRackAgent_Stop(GfRackAgent *agent, const GfName *task, GfStopMode mode);
bool GfRackAgent_Find(GfRackAgent *agent, uint32_t partition, uint64_t epoch,
                      uint64_t seq, GfEventCallback callback, void *ctx);
void GfRackAgent_ForEachEnded(GfRackAgent *agent, GfEventCallback callback,
                              void *ctx);
void GfRackAgent_Ack(GfRackAgent *agent, const GfName *task);
void GfRackAgent_Execute(GfRackAgent *agent, const GfServiceRequest *request,
                         GfAnswerCallback callback, void *arg);

#endif
