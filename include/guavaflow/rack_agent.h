/* The scheduler of one rack: renews the leases of the rack's workers, starts
 * and stops tasks under these leases, and forwards requests to free slots of
 * the rack's targets. It starts work only while this entry holds a majority
 * of the leases (a term) and within the rack's allotments of the teams'
 * limits.
 *
 * Every call must come from the thread that runs the event loop of GfRackEnv.
 * Memory exhaustion ends the process. */
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

/* What all agents of an entry use. The entry owns everything here and keeps
 * it until the last agent is destroyed. */
typedef struct {
    struct event_base *base;
    const GfClock *clock;
    GfHttp *http;
    GfStore *store;
    const GfControl *control;
    const GfSettings *settings;
    GfName holder;       /* sent to workers as the holder of their leases */
    GfName member;       /* this entry's name, reported to other entries */
    uint64_t first_term; /* terms are numbered from the next one on */
    size_t *rack_count;  /* number of racks that the entry knows */
} GfRackEnv;

/* A task to start on a rack. It is refused unless the rack is in the given
 * term, and unless epoch and seq are newer than the partition's fence: the
 * owner of the job's partition raises that fence by
 * GfRackAgent_ListPartitionTasks. */
typedef struct {
    GfName rack;
    uint64_t term;
    uint32_t partition;
    uint64_t epoch;
    uint64_t seq;
    GfTaskSpec spec;
} GfPlacement;

/* The outcome of a placement. kind is GF_OK if the task was started; worker
 * is set if a worker was called. */
typedef struct {
    GfErrorKind kind;
    GfRan ran;
    GfName worker;
} GfPlacementResult;

/* A request to a service. */
typedef struct {
    GfName id;
    GfName service;
    GfName team;
    int32_t time_left_ms; /* time until its deadline */
    GfStr body;
} GfServiceRequest;

/* The state of a task on a worker; exit_code is valid once it has completed.
 */
typedef struct {
    GfName task;
    GfName rack;
    GfName worker;
    GfTaskState state;
    int exit_code;
} GfTaskEvent;

/* Reports the outcomes of a call of GfRackAgent_Place, in the order of its
 * placements. The array is freed after the callback returns. */
typedef void (*GfPlacementCallback)(void *arg, const GfPlacementResult *placed,
                                    size_t count);

/* Reports one task; the event is valid during the callback. */
typedef void (*GfEventCallback)(void *ctx, const GfTaskEvent *event);

/* Life cycle, hosts and ownership. */
GfRackAgent *GfRackAgent_Create(const GfRackEnv *env, const GfName *name,
                                const GfName *domain);
void GfRackAgent_Destroy(GfRackAgent *agent);
const GfName *GfRackAgent_Name(const GfRackAgent *agent);
void GfRackAgent_SetHost(GfRackAgent *agent, const GfHost *host);
void GfRackAgent_Tick(GfRackAgent *agent, bool wanted);
void GfRackAgent_NoteCleanRelease(GfRackAgent *agent, uint64_t lease_sum);
bool GfRackAgent_IsHeld(GfRackAgent *agent);
bool GfRackAgent_HoldsAny(GfRackAgent *agent);
bool GfRackAgent_WasReleasedClean(const GfRackAgent *agent,
                                  uint64_t *lease_sum);
void GfRackAgent_View(GfRackAgent *agent, GfRackView *view);
GfQuota GfRackAgent_TeamUse(GfRackAgent *agent, const GfName *team);

/* Tasks and requests. */
void GfRackAgent_Place(GfRackAgent *agent, const GfPlacement *placements,
                       size_t count, bool gang, GfPlacementCallback callback,
                       void *arg);
void GfRackAgent_Stop(GfRackAgent *agent, const GfName *task, GfStopMode mode);
bool GfRackAgent_ListPartitionTasks(GfRackAgent *agent, uint32_t partition,
                                    uint64_t epoch, uint64_t seq,
                                    GfEventCallback callback, void *ctx);
void GfRackAgent_ForEachCompleted(GfRackAgent *agent, GfEventCallback callback,
                                  void *ctx);
void GfRackAgent_Ack(GfRackAgent *agent, const GfName *task);
void GfRackAgent_Execute(GfRackAgent *agent, const GfServiceRequest *request,
                         GfAnswerCallback callback, void *arg);

#endif
